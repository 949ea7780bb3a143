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
 * Two versions of a service, while a roll-out replaces one by the other.
 *
 * Load pattern: the new version's servers start beside the old ones, empty and
 * quick to answer, and would draw most of the requests at once; or nobody asks
 * them how fast they are, and they get none.  So they may be chosen only while
 * the roll-out owes them a request, and are chosen first then; their room is
 * not counted on before they get all.
 */

enum {
	/*
	 * Of so many there is a good one at each moment, for nearly all; where
	 * there are fewer in all, these must do, or nothing would be learned.
	 */
	FIRST_FREE_MIN = 3,
	/* No more requests wait for a server of the new version. */
	FIRST_HELD_MAX = 3
};

/* An answer that took so many times what was expected is slow. */
static const double SLOW_FACTOR = 3;
/* And so much more: servers that are new cost a connection each at first. */
#define SLOW_LEAST_NS (10 * NS_MS)

static void
mark(struct pick_backend *b, const struct disp *d)
{
	const struct roll *roll = d->params.rollout;

	b->version_excluded =
	    !(b->is_new_version ? d->new_allowed : d->old_allowed);
	b->version_deferred = d->prefer_new && !b->is_new_version;
	b->capacity_uncounted =
	    roll != NULL && !roll_counts_as_capacity(roll, b->is_new_version);
}

/* Does the next request go to the new version, if that has a good server? */
static bool
is_new_first(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	unsigned all = 0, n = 0;
	guint i;

	if (d->queues[CLASS_INTERACTIVE].n > FIRST_HELD_MAX)
		return false;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		all += b->is_new_version && pick_is_usable(b, now);
		n += b->is_new_version && pick_free_slots(b, now) > 0;
	}
	return n > 0 && n >= MIN(all, FIRST_FREE_MIN);
}

void
disp_roll_update(struct disp *d)
{
	const struct roll *roll = d->params.rollout;
	guint i;

	d->new_allowed = roll == NULL || roll_allows(roll, true);
	d->old_allowed = roll == NULL || roll_allows(roll, false);
	d->prefer_new = false;
	for (i = 0; i < d->backends->len; i++)
		mark(g_ptr_array_index(d->backends, i), d);
}

/* A request is about to be placed. */
void
disp_roll_update_if_changed(struct disp *d)
{
	const struct roll *roll = d->params.rollout;
	bool first;
	guint i;

	if (roll == NULL)
		return;
	if (d->new_allowed != roll_allows(roll, true) ||
	    d->old_allowed != roll_allows(roll, false))
		disp_roll_update(d);
	first = d->new_allowed && d->old_allowed && is_new_first(d);
	if (first == d->prefer_new)
		return;
	d->prefer_new = first;
	for (i = 0; i < d->backends->len; i++)
		mark(g_ptr_array_index(d->backends, i), d);
}

void
disp_roll_attempt_sent(struct disp *d, const struct pick_backend *b)
{
	if (d->params.rollout == NULL)
		return;
	roll_request_sent(d->params.rollout, b->is_new_version);
	disp_roll_update_if_changed(d);
}

/* Where no pace was told, the time may be that of a slow spell. */
static bool
is_slow(const struct disp *d, const struct disp_req *r,
    const struct pick_backend *b)
{
	double took = (double)(clk_ns(d->clk) - r->sent_at);
	double expected = (double)r->service_time * r->slowdown;

	if (r->service_time == 0 ||
	    (!r->load_report_fresh && !b->reports_no_load))
		return false;
	if (r->load_report_fresh)
		expected *= r->latency_factor;
	return took > SLOW_FACTOR * expected && took - expected > SLOW_LEAST_NS;
}

static enum verdict_outcome
answer_of(const struct disp *d, const struct disp_req *r,
    const struct pick_backend *b, enum disp_outcome outcome)
{
	switch (outcome) {
	case DISP_SERVER_ERROR:
	case DISP_CONN_BROKEN:
		return VERDICT_FAILED;
	case DISP_OK:
		return is_slow(d, r, b) ? VERDICT_SLOW : VERDICT_GOOD;
	case DISP_STOPPED_SLOW:
		return r->load_report_fresh || b->reports_no_load
		    ? VERDICT_SLOW
		    : VERDICT_IGNORED;
	case DISP_TIMED_OUT:
	case DISP_CANCELED:
		return is_slow(d, r, b) ? VERDICT_SLOW : VERDICT_IGNORED;
	default:
		return VERDICT_IGNORED;
	}
}

void
disp_roll_attempt_done(struct disp *d, const struct disp_req *r,
    const struct pick_backend *b, enum disp_outcome outcome)
{
	struct roll *roll = d->params.rollout;

	if (roll == NULL)
		return;
	roll_request_ended(
	    roll, b->is_new_version, r->kind, answer_of(d, r, b, outcome));
	disp_roll_update_if_changed(d);
}

bool
disp_roll_is_canary(const struct disp *d, const struct pick_backend *b)
{
	const struct roll *roll = d->params.rollout;

	return roll != NULL && b->is_new_version &&
	    !roll_counts_as_capacity(roll, true);
}

unsigned
disp_old_version_inflight(const struct disp *d)
{
	const struct pick_backend *b;
	unsigned n = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		n += b->is_new_version ? 0 : (unsigned)b->inflight;
	}
	return n;
}
