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
 * The state of backend servers: updates by answers, refusals and time, and the
 * number of free slots.
 */

/* Length of the first ejection; it doubles with each consecutive one. */
#define EJECT_MIN_NS (1 * NS_S)
#define EJECT_MAX_NS (30 * NS_S)
/*
 * A server with unanswered queries is presumed down after this time without any
 * answer.  Two unanswered queries alone are not enough: a box that has just
 * started gets its answers too late, and would stop using healthy servers.
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
}

bool
pick_is_silent(const struct pick_backend *b)
{
	return b->silent >= UNRESPONSIVE_QUERIES;
}

bool
pick_is_lost(const struct pick_backend *b, int64_t now)
{
	return pick_is_silent(b) && now - b->heard_at >= PRESUMED_DOWN_NS;
}

/*
 * Without this, a server that has just crashed would look idle, and suspects
 * would be sent there for their isolated runs, and lost.
 */
void
pick_ended(struct pick_backend *b, int64_t now)
{
	b->silent = MAX(b->silent, UNRESPONSIVE_QUERIES);
	b->heard_at = MIN(b->heard_at, now - PRESUMED_DOWN_NS);
}

bool
pick_usable(const struct pick_backend *b, int64_t now)
{
	return !pick_is_lost(b, now) && !b->gone && !b->evacuated &&
	    !b->excluded && !b->leaves && !b->probe_down &&
	    b->state != PICK_EJECTED && b->state != PICK_DRAINING;
}

int
pick_slots(const struct pick_backend *b)
{
	return b->limit > 0 ? MIN(b->limit, b->slots) : b->slots;
}

/*
 * A server that warms up or is in trial after an ejection gets one request at a
 * time.  One that reported a rate limit gets no more than that, even if it
 * answers all requests, as it may still fall behind.
 */
int
pick_free(const struct pick_backend *b, int64_t now)
{
	int slots = pick_slots(b);

	if (!pick_usable(b, now) || b->alone || b->passed_over ||
	    now < b->full_until || now < b->rest_until ||
	    (b->cold_bound != NULL && !cold_may(&b->cold, b->cold_bound, now)))
		return 0;
	if (b->state == PICK_COLD || b->state == PICK_TRIAL)
		slots = 1;
	return MIN(MAX(slots - b->inflight, 0), quota_free(&b->quota, now));
}

void
pick_good(struct pick_backend *b, const struct chart *chart, int64_t now,
    int64_t took)
{
	if (b->usual == 0)
		b->usual = took;
	else
		b->usual += (took - b->usual) / LATENCY_WEIGHT;
	b->bad_row = 0;
	b->refused_row = 0;
	b->silent = 0;
	b->heard_at = now;
	b->failing -= b->failing / FAILURE_WEIGHT;
	b->good_row++;
	step(b, chart, PICK_EV_OK);
	if (b->good_row < WARM_SUCCESSES)
		return;
	b->ejections = 0;
	step(b, chart, PICK_EV_WARM);
}

void
pick_refused(struct pick_backend *b, int64_t now, const struct rnd *rnd)
{
	b->full_until =
	    now + rnd_jitter(rnd, REFUSAL_BACKOFF_NS << b->refused_row);
	b->refused_row = MIN(b->refused_row + 1, REFUSALS_MAX);
}

/* The full latency is unknown, but it is at least `age`. */
void
pick_slow(struct pick_backend *b, int64_t age)
{
	b->usual = MAX(b->usual, age);
	b->good_row = 0;
}

static unsigned
count_usable(const struct pick_set *set, int64_t now)
{
	unsigned i, n = 0;

	for (i = 0; i < set->n; i++)
		n += pick_usable(set->v[i], now);
	return n;
}

void
pick_bad(struct pick_backend *b, const struct pick_set *set,
    const struct chart *chart, int64_t now, const struct rnd *rnd)
{
	int64_t wait;

	b->good_row = 0;
	b->failing += (1 - b->failing) / FAILURE_WEIGHT;
	b->bad_row++;
	if (b->bad_row < EJECT_FAILURES && b->state != PICK_TRIAL)
		return;
	if (!pick_usable(b, now) || count_usable(set, now) * 2 <= set->n)
		return;
	b->bad_row = 0;
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
	}
}

void
pick_evacuate(struct pick_backend *b, const struct chart *chart, bool evacuated)
{
	if (b->evacuated && !evacuated && b->state != PICK_DRAINING) {
		b->state = (enum pick_state)chart_start(chart);
		b->good_row = 0;
	}
	b->evacuated = evacuated;
}

void
pick_drain(struct pick_backend *b, const struct chart *chart, bool drain)
{
	step(b, chart, drain ? PICK_EV_DRAIN : PICK_EV_UNDRAIN);
}
