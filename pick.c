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
#include <glib.h>

#include "pick.h"

/*
 * The state of backend servers: updates by responses, refusals and time, and
 * the number of free slots.
 */

/* Length of the first ejection; it doubles with each consecutive one. */
#define EJECT_MIN_NS (1 * NS_S)
#define EJECT_MAX_NS (30 * NS_S)
/*
 * A server with unanswered queries is presumed down after this time without any
 * response.  Two unanswered queries alone are not enough: a box that has just
 * started gets its responses too late, and would stop using healthy servers.
 */
#define PRESUMED_DOWN_NS (500 * NS_MS)
/* Time without requests after a refusal; doubles with each consecutive one. */
#define REFUSAL_BACKOFF_NS (5 * NS_MS)

enum {
	EJECT_FAILURES = 3, /* consecutive failures that cause an ejection */
	WARM_SUCCESSES = 3, /* consecutive successes that end the warm-up */
	/* Weights of the past against one sample in moving averages. */
	LATENCY_WEIGHT = 8,
	FAILURE_WEIGHT = 8,
	/* Limits of the doubling of ejections and refusal backoffs. */
	EJECTIONS_MAX = 6,
	REFUSALS_MAX = 6,
	/* Consecutive failures to connect, then it is presumed down. */
	CONNECT_FAILURES = 3,
	UNRESPONSIVE_QUERIES = 2 /* consecutive unanswered queries */
};

static const char *const state_names[] = {
    "cold", "up", "ejected", "trial", "draining"};
static const char *const event_names[] = {
    "ok", "warm", "failing", "timer", "drain", "undrain"};

const struct chart_names pick_chart_names = {
    "backend", state_names, PICK_STATE_MAX, event_names, PICK_EVENT_MAX};

static unsigned count_usable(const struct pick_set *, int64_t);
static void step(struct pick_backend *, const struct chart *, enum pick_event);

static void
step(struct pick_backend *b, const struct chart *chart, enum pick_event ev)
{
	b->state = (enum pick_state)chart_step(chart, b->state, ev);
	if (b->state != PICK_COLD)
		b->warm_at = 0;
}

bool
pick_is_unresponsive(const struct pick_backend *b)
{
	return b->unanswered_queries >= UNRESPONSIVE_QUERIES;
}

bool
pick_is_presumed_down(const struct pick_backend *b, int64_t now)
{
	return pick_is_unresponsive(b) &&
	    now - b->last_response_at >= PRESUMED_DOWN_NS;
}

/*
 * Without this, a server that has just crashed would look idle, and suspects
 * would be sent there for their isolated runs, and lost.
 */
void
pick_mark_crashed(struct pick_backend *b, int64_t now)
{
	b->unanswered_queries =
	    MAX(b->unanswered_queries, UNRESPONSIVE_QUERIES);
	b->last_response_at = MIN(b->last_response_at, now - PRESUMED_DOWN_NS);
}

/*
 * Kept connections may go on while new ones fail.  Requests that must not
 * repeat need new ones, and successes on the kept ones prevent an ejection.
 */
void
pick_record_connect(struct pick_backend *b, bool connected, int64_t now)
{
	b->connect_failures = connected ? 0 : b->connect_failures + 1;
	if (b->connect_failures < CONNECT_FAILURES)
		return;
	b->connect_failures = 0;
	pick_mark_crashed(b, now);
}

bool
pick_is_usable(const struct pick_backend *b, int64_t now)
{
	return !pick_is_presumed_down(b, now) && !b->removed && !b->evacuated &&
	    !b->version_excluded && !b->leaving && !b->probe_down &&
	    b->state != PICK_EJECTED && b->state != PICK_DRAINING;
}

int
pick_slot_limit(const struct pick_backend *b)
{
	return b->max_inflight > 0 ? MIN(b->max_inflight, b->slots) : b->slots;
}

/*
 * Returns how many requests a server that warms up may have.  The number
 * doubles with each success in the first warm-up: with one at a time, a third
 * of the servers that are replaced in a surge would take several seconds to
 * serve with all slots.
 */
static int
warm_up_slots(const struct pick_backend *b, int slots)
{
	return b->warm_at == 0
	    ? 1
	    : MIN(slots, 1 << MIN(b->consecutive_good, WARM_SUCCESSES));
}

/*
 * A server in trial after an ejection gets one request at a time, and one that
 * warms up only a few.  One that reported a rate limit gets no more than that,
 * even if it answers all requests, as it may still fall behind.
 */
int
pick_free_slots(const struct pick_backend *b, int64_t now)
{
	int slots = pick_slot_limit(b);

	if (!pick_is_usable(b, now) || b->reserved_for_trial ||
	    b->version_deferred || now < b->full_until ||
	    now < b->pause_until ||
	    (b->cold_limit != NULL &&
		!cold_can_send(&b->cold, b->cold_limit, now)))
		return 0;
	if (b->state == PICK_TRIAL)
		slots = 1;
	else if (b->state == PICK_COLD)
		slots = warm_up_slots(b, slots);
	return MIN(MAX(slots - b->inflight - b->inherited, 0),
	    quota_available(&b->quota, now));
}

void
pick_record_success(struct pick_backend *b, const struct chart *chart,
    int64_t now, int64_t took)
{
	if (b->usual_latency == 0)
		b->usual_latency = took;
	else
		b->usual_latency += (took - b->usual_latency) / LATENCY_WEIGHT;
	b->consecutive_bad = 0;
	b->consecutive_refused = 0;
	b->unanswered_queries = 0;
	b->last_response_at = now;
	b->failure_rate -= b->failure_rate / FAILURE_WEIGHT;
	b->consecutive_good++;
	step(b, chart, PICK_EV_OK);
	if (b->consecutive_good < WARM_SUCCESSES)
		return;
	b->ejections = 0;
	step(b, chart, PICK_EV_WARM);
}

void
pick_record_refusal(struct pick_backend *b, int64_t now, const struct rnd *rnd)
{
	b->full_until =
	    now + rnd_jitter(rnd, REFUSAL_BACKOFF_NS << b->consecutive_refused);
	b->consecutive_refused = MIN(b->consecutive_refused + 1, REFUSALS_MAX);
}

/* The full latency is unknown, but it is at least `age`. */
void
pick_record_slow(struct pick_backend *b, int64_t age)
{
	b->usual_latency = MAX(b->usual_latency, age);
	b->consecutive_good = 0;
}

static unsigned
count_usable(const struct pick_set *set, int64_t now)
{
	unsigned i, n = 0;

	for (i = 0; i < set->n; i++)
		n += pick_is_usable(set->v[i], now);
	return n;
}

void
pick_record_failure(struct pick_backend *b, const struct pick_set *set,
    const struct chart *chart, int64_t now, const struct rnd *rnd)
{
	int64_t wait;

	b->consecutive_good = 0;
	b->warm_at = 0;
	b->failure_rate += (1 - b->failure_rate) / FAILURE_WEIGHT;
	b->consecutive_bad++;
	if (b->consecutive_bad < EJECT_FAILURES && b->state != PICK_TRIAL)
		return;
	if (!pick_is_usable(b, now) || count_usable(set, now) * 2 <= set->n)
		return;
	b->consecutive_bad = 0;
	b->ejections = MIN(b->ejections + 1, EJECTIONS_MAX);
	wait = MIN(EJECT_MIN_NS << (b->ejections - 1), EJECT_MAX_NS);
	b->eject_until = now + rnd_jitter(rnd, wait);
	step(b, chart, PICK_EV_FAILING);
}

void
pick_tick(const struct pick_set *set, const struct chart *chart, int64_t now)
{
	struct pick_backend *b;
	unsigned i;

	for (i = 0; i < set->n; i++) {
		b = set->v[i];
		if (b->state == PICK_EJECTED && now >= b->eject_until)
			step(b, chart, PICK_EV_TIMER);
		else if (b->state == PICK_COLD && b->warm_at != 0 &&
		    now >= b->warm_at)
			step(b, chart, PICK_EV_WARM);
	}
}

void
pick_set_evacuated(
    struct pick_backend *b, const struct chart *chart, bool evacuated)
{
	if (b->evacuated && !evacuated && b->state != PICK_DRAINING) {
		b->state = (enum pick_state)chart_start(chart);
		b->consecutive_good = 0;
		b->warm_at = 0;
	}
	b->evacuated = evacuated;
}

void
pick_set_drain(struct pick_backend *b, const struct chart *chart, bool drain)
{
	step(b, chart, drain ? PICK_EV_DRAIN : PICK_EV_UNDRAIN);
}
