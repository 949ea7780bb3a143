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
 * What answers, refusals and time make of a backend server, and how many slots
 * of it are free.
 */

#define EJECT_FIRST_NS (1 * NS_S)
#define EJECT_LAST_NS (30 * NS_S)
/*
 * Without an answer for so long, and asked since, one is lost.  Two questions
 * alone are no ground: a box that has just started gets its answers too late,
 * and gave up servers that were well.
 */
#define LOST_NS (500 * NS_MS)
/* A backend server that refused has no slot for this long, then doubled. */
#define FULL_NS (5 * NS_MS)

enum {
	BAD_ROW_LIMIT = 3, /* bad answers in a row that eject */
	WARM_ROW = 3, /* good answers in a row that warm up */
	USUAL_WEIGHT = 8, /* of the past against one sample */
	FAILING_WEIGHT = 8,
	EJECTIONS_MAX = 6,
	REFUSED_ROW_MAX = 6,
	SILENT_ROW = 2 /* questions without an answer */
};

static const char *const state_names[] = {
    "cold", "up", "ejected", "trial", "draining"};
static const char *const event_names[] = {
    "ok", "warm", "failing", "timer", "drain", "undrain"};

const struct chart_names pick_chart_names = {
    "backend", state_names, PICK_STATE_MAX, event_names, PICK_EVENT_MAX};

static unsigned count_in_use(const struct pick_set *, int64_t);
static void step(struct pick_backend *, const struct chart *, enum pick_event);

static void
step(struct pick_backend *b, const struct chart *chart, enum pick_event ev)
{
	b->state = (enum pick_state)chart_step(chart, b->state, ev);
}

bool
pick_is_unresponsive(const struct pick_backend *b)
{
	return b->unanswered_queries >= SILENT_ROW;
}

bool
pick_is_presumed_down(const struct pick_backend *b, int64_t now)
{
	return pick_is_unresponsive(b) && now - b->last_answer_at >= LOST_NS;
}

/*
 * Where nothing runs is where a trial goes, and nothing runs on one that has
 * just ended: requests beside the first end were sent there, and lost.
 */
void
pick_mark_crashed(struct pick_backend *b, int64_t now)
{
	b->unanswered_queries = MAX(b->unanswered_queries, SILENT_ROW);
	b->last_answer_at = MIN(b->last_answer_at, now - LOST_NS);
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
 * A cold or tried one gets one request at a time, and one that says what it
 * takes gets no more: it may answer each and fall behind all the same.
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
	if (b->state == PICK_COLD || b->state == PICK_TRIAL)
		slots = 1;
	return MIN(
	    MAX(slots - b->inflight, 0), quota_available(&b->quota, now));
}

void
pick_record_success(struct pick_backend *b, const struct chart *chart,
    int64_t now, int64_t took)
{
	if (b->usual_latency == 0)
		b->usual_latency = took;
	else
		b->usual_latency += (took - b->usual_latency) / USUAL_WEIGHT;
	b->consecutive_bad = 0;
	b->consecutive_refused = 0;
	b->unanswered_queries = 0;
	b->last_answer_at = now;
	b->failure_rate -= b->failure_rate / FAILING_WEIGHT;
	b->consecutive_good++;
	step(b, chart, PICK_EV_OK);
	if (b->consecutive_good < WARM_ROW)
		return;
	b->ejections = 0;
	step(b, chart, PICK_EV_WARM);
}

void
pick_record_refusal(struct pick_backend *b, int64_t now, const struct rnd *rnd)
{
	b->full_until =
	    now + rnd_jitter(rnd, FULL_NS << b->consecutive_refused);
	b->consecutive_refused =
	    MIN(b->consecutive_refused + 1, REFUSED_ROW_MAX);
}

/* The true time is not known, but it is no less than this. */
void
pick_record_slow(struct pick_backend *b, int64_t age)
{
	b->usual_latency = MAX(b->usual_latency, age);
	b->consecutive_good = 0;
}

static unsigned
count_in_use(const struct pick_set *set, int64_t now)
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
	b->failure_rate += (1 - b->failure_rate) / FAILING_WEIGHT;
	b->consecutive_bad++;
	if (b->consecutive_bad < BAD_ROW_LIMIT && b->state != PICK_TRIAL)
		return;
	if (!pick_is_usable(b, now) || count_in_use(set, now) * 2 <= set->n)
		return;
	b->consecutive_bad = 0;
	b->ejections = MIN(b->ejections + 1, EJECTIONS_MAX);
	wait = MIN(EJECT_FIRST_NS << (b->ejections - 1), EJECT_LAST_NS);
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
pick_set_evacuated(
    struct pick_backend *b, const struct chart *chart, bool evacuated)
{
	if (b->evacuated && !evacuated && b->state != PICK_DRAINING) {
		b->state = (enum pick_state)chart_start(chart);
		b->consecutive_good = 0;
	}
	b->evacuated = evacuated;
}

void
pick_set_drain(struct pick_backend *b, const struct chart *chart, bool drain)
{
	step(b, chart, drain ? PICK_EV_DRAIN : PICK_EV_UNDRAIN);
}
