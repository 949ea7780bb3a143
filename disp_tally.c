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
#include "pace.h"

/* The state of the shard for operators: tally.h. */

G_STATIC_ASSERT((int)WAITING_MAX == (int)QUEUE_COUNT);
G_STATIC_ASSERT((int)WAITING_INTERACTIVE == (int)CLASS_INTERACTIVE);
G_STATIC_ASSERT((int)WAITING_BULK == (int)CLASS_BULK);
G_STATIC_ASSERT((int)WAITING_LATE == (int)QUEUE_LATE);
G_STATIC_ASSERT((int)WAITING_TRIAL == (int)QUEUE_TRIAL);
G_STATIC_ASSERT((int)WAITING_OVER_SHARE == (int)QUEUE_OVER);

/*
 * Returns why a backend server gets no requests at all; LEFT_MAX if it is
 * usable.  The conditions are those of pick_is_usable().
 */
static enum tally_reason
unusable_reason(const struct pick_backend *b, int64_t now)
{
	if (b->evacuated)
		return LEFT_EVACUATED;
	if (b->leaving || b->state == PICK_DRAINING)
		return LEFT_DRAINING;
	if (b->probe_down || pick_is_presumed_down(b, now))
		return LEFT_DOWN;
	if (b->state == PICK_EJECTED)
		return LEFT_EJECTED;
	return b->version_excluded ? LEFT_VERSION : LEFT_MAX;
}

/*
 * Returns why a usable backend server gets no requests now, whatever it has
 * free; LEFT_MAX if it gets some.  The conditions are those of
 * pick_free_slots().
 */
static enum tally_reason
blocked_reason(const struct pick_backend *b, int64_t now)
{
	if (b->version_deferred)
		return LEFT_VERSION;
	if (b->reserved_for_trial)
		return LEFT_TRIAL;
	if (now < b->pause_until)
		return LEFT_PAUSE;
	if (now < b->full_until)
		return LEFT_BACKOFF;
	if (b->cold_limit != NULL &&
	    !cold_can_send(&b->cold, b->cold_limit, now))
		return LEFT_COLD;
	return LEFT_MAX;
}

/*
 * Returns whether a request of mean service time waits rather than start here,
 * where the server has free slots: disp_latency_should_wait().
 */
static bool
is_avoided_as_slow(
    const struct disp *d, const struct pick_backend *b, int64_t now)
{
	return d->params.policy->latency_aware && d->mean_service_time > 0 &&
	    pace_waiting_is_faster(
		b, d->mean_service_time, d->mean_latency_factor, now);
}

/*
 * Reduces the usable slots of a backend server to a limit, but not below those
 * in use.
 */
static void
reduce(struct tally *t, enum tally_reason reason, const struct pick_backend *b,
    int limit, int *usable)
{
	int left = MAX(limit, MIN(b->inflight, b->slots));

	if (left >= *usable)
		return;
	t->left_out[reason] += *usable - left;
	*usable = left;
}

static void
add_backend(const struct disp *d, struct tally *t, const struct pick_backend *b,
    int64_t now)
{
	enum tally_reason reason = unusable_reason(b, now);
	int usable = b->slots;

	t->slots += b->slots;
	if (reason != LEFT_MAX) {
		t->left_out[reason] += b->slots;
		return;
	}
	if (b->state == PICK_TRIAL)
		reduce(t, LEFT_EJECTED, b, 1, &usable);
	reason = blocked_reason(b, now);
	if (reason != LEFT_MAX)
		reduce(t, reason, b, 0, &usable);
	if (b->state == PICK_COLD)
		reduce(t, LEFT_COLD, b, 1, &usable);
	/* Without a limit INT_MAX requests are available. */
	reduce(t, LEFT_RATE, b,
	    b->inflight + MIN(quota_available(&b->quota, now), b->slots),
	    &usable);
	reduce(t, LEFT_LIMIT, b, pick_slot_limit(b), &usable);
	if (is_avoided_as_slow(d, b, now))
		reduce(t, LEFT_SLOW, b, 0, &usable);
	t->usable += usable;
}

/* Backend servers that are no longer configured are no capacity. */
void
disp_tally(const struct disp *d, struct tally *t)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	guint i;
	int q;

	memset(t, 0, sizeof(*t));
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!b->removed)
			add_backend(d, t, b, now);
	}
	for (q = 0; q < QUEUE_COUNT; q++)
		t->waiting[q] = d->queues[q].n;
	memcpy(t->refused, d->refused, sizeof(t->refused));
}

unsigned
disp_queued(const struct disp *d)
{
	size_t n = 0;
	int q;

	for (q = 0; q < QUEUE_COUNT; q++)
		n += d->queues[q].n;
	return (unsigned)n;
}
