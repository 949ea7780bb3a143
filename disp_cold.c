/*
 * Copyright (c) 2026 the fernjunction authors
 *
 * Permission to use, copy, modify, and distribute this software for any
 * purpose with or without fee is hereby granted, provided that the above
 * copyright notice and this permission notice appear in all copies.
 *
 * THE SOFTWARE IS PROVIDED "AS IS" AND THE AUTHOR DISCLAIMS ALL WARRANTIES
 * WITH REGARD TO THIS SOFTWARE.  See LICENSE for the whole text.
 */
#include "libdisp.h"

/*
 * Backend servers that have just started, or may have: those that join, those
 * that a new home finds, those of a hall that returns, those that could not be
 * reached.  They are asked before more than a few requests go there; what they
 * bear while it is not known is what a cold one bears.
 */

/* One that does not answer is asked again after this time. */
#define ASK_AGAIN_NS (50 * NS_MS)

/*
 * It may be cold, for so long or for as long as any one of the service is.  One
 * whose service has no bound is not asked for it.
 */
void
disp_cold_suspect(struct disp *d, struct pick_backend *b, int64_t lasts)
{
	if (d->params.cold.rate <= 0)
		return;
	cold_set_suspected(
	    &b->cold, MAX(lasts, d->params.cold.duration), clk_ns(d->clk));
	d->cold_unconfirmed = true;
}

/* Does only a question tell whether it is cold, and does one answer there? */
static bool
is_asked(const struct pick_backend *b, int64_t now)
{
	return cold_is_unconfirmed(&b->cold, now) && !pick_is_unresponsive(b) &&
	    pick_is_usable(b, now);
}

/* Ask those of which it is not known, in turn; health answers tell at once. */
void
disp_cold_query(struct disp *d, int64_t now)
{
	const struct pick_backend *b;
	guint i;

	if (!d->cold_unconfirmed || !d->params.policy->latency_aware)
		return;
	d->cold_unconfirmed = false;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		d->cold_unconfirmed =
		    d->cold_unconfirmed || cold_is_unconfirmed(&b->cold, now);
	}
	if (d->cold_unconfirmed)
		disp_query_round_robin(d, is_asked, ASK_AGAIN_NS, now);
}

/*
 * Is an answer due that tells of more room?  Requests wait for it unjudged: a
 * home that has just begun would else refuse, within the few milliseconds that
 * the answers take, those that came back after a loss of all boxes.  For one
 * that did not answer before nobody waits.
 */
bool
disp_cold_query_pending(const struct disp *d, int64_t now)
{
	const struct pick_backend *b;
	guint i;

	for (i = 0; d->cold_unconfirmed && i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->query_pending && b->unanswered_queries == 0 &&
		    pick_is_usable(b, now) &&
		    cold_is_unconfirmed(&b->cold, now))
			return true;
	}
	return false;
}

/*
 * The slots worth counting when the wait for one is reckoned: of a cold one as
 * many as its rate keeps at work, so that a hall that returns cold does not
 * hold what it cannot serve in time.
 */
double
disp_cold_slots(const struct disp *d, const struct pick_backend *b, int64_t now)
{
	double at_work =
	    d->params.cold.rate * (double)d->mean_service_time / NS_S;
	double slots = pick_slot_limit(b);

	if (d->params.cold.rate <= 0 || !cold_is_cold(&b->cold, now) ||
	    d->mean_service_time == 0)
		return slots;
	return MIN(at_work, slots);
}
