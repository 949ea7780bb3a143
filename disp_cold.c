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
 * Slow start: backend servers that have just started are cold, and get requests
 * at a limited rate.  One may be cold if it is new in the list, new to the
 * shard's owner, in a hall that returns from an evacuation, was unreachable, or
 * is said to be cold by its entry or a probe.  Such a server is treated as cold
 * until its response to a load query confirms or denies it.
 */

/* Interval of load queries to a server that has not confirmed its state. */
#define COLD_QUERY_GAP_NS (50 * NS_MS)
/*
 * A server with requests in flight is queried again after so long, as it may
 * turn cold at any moment: while no slot is free, no request would query it.
 */
#define COLD_CHECK_NS (500 * NS_MS)

/*
 * Marks a backend server as possibly cold, for `duration` ns or the duration
 * that is configured for the service, whichever is longer.  Does nothing if the
 * service has no limit for cold servers.
 */
void
disp_cold_suspect(struct disp *d, struct pick_backend *b, int64_t duration)
{
	if (d->params.cold.rate <= 0)
		return;
	cold_set_suspected(
	    &b->cold, MAX(duration, d->params.cold.duration), clk_ns(d->clk));
	d->cold_unconfirmed = true;
}

/* Another gate may have owned the shard if no request has come for so long. */
#define OWNER_GAP_NS (1 * NS_S)

void
disp_resumed(struct disp *d)
{
	struct pick_backend *b;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		cold_empty(&b->cold, clk_ns(d->clk));
	}
}

/*
 * A request arrives.  Where the gate begins to stand in for an owner that does
 * not answer, cold servers have just had the requests of that one.
 */
void
disp_cold_note_request(struct disp *d, int64_t now)
{
	if (d->requested_at != 0 && now - d->requested_at >= OWNER_GAP_NS)
		disp_resumed(d);
	d->requested_at = now;
}

/* Returns whether a load query is needed to learn if a server is cold. */
static bool
needs_query(const struct pick_backend *b, int64_t now)
{
	return cold_is_unconfirmed(&b->cold, now) && !pick_is_unresponsive(b) &&
	    pick_is_usable(b, now);
}

/* The same for one that is presumed warm, or has said so. */
static bool
needs_check(const struct pick_backend *b, int64_t now)
{
	return !needs_query(b, now) && b->inflight > 0 &&
	    !b->reserved_for_trial && !pick_is_unresponsive(b) &&
	    pick_is_usable(b, now);
}

/*
 * Sends load queries to servers whose state is unconfirmed, in turn; the
 * responses report the remaining slow start.
 */
static void
query_unconfirmed(struct disp *d, int64_t now)
{
	const struct pick_backend *b;
	guint i;

	if (!d->cold_unconfirmed)
		return;
	d->cold_unconfirmed = false;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		d->cold_unconfirmed =
		    d->cold_unconfirmed || cold_is_unconfirmed(&b->cold, now);
	}
	if (d->cold_unconfirmed)
		disp_query_round_robin(d, needs_query, COLD_QUERY_GAP_NS, now);
}

void
disp_cold_query(struct disp *d, int64_t now)
{
	if (d->params.cold.rate <= 0 || !d->params.policy->latency_aware)
		return;
	query_unconfirmed(d, now);
	disp_query_round_robin(d, needs_check, COLD_CHECK_NS, now);
}

/*
 * Returns whether the response to a load query is expected that may show that a
 * server is warm.  Requests are not refused until it arrives: a new owner would
 * otherwise refuse the requests that are retried after a failure of all boxes,
 * during the few milliseconds that the responses take.  Queries to a server
 * that left the previous one unanswered do not count.
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
 * Returns how many slots of a server count in estimates of the queueing time.
 * For a cold server this is the number that its rate limit keeps occupied, so
 * that a hall that returns with cold servers does not queue requests that it
 * cannot serve in time.
 */
double
disp_cold_slots(const struct disp *d, const struct pick_backend *b, int64_t now)
{
	double occupied =
	    d->params.cold.rate * (double)d->mean_service_time / NS_S;
	double slots = pick_slot_limit(b);

	if (d->params.cold.rate <= 0 || !cold_is_cold(&b->cold, now) ||
	    d->mean_service_time == 0)
		return slots;
	return MIN(occupied, slots);
}
