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
pick_is_silent(const struct pick_backend *b)
{
	return b->silent >= SILENT_ROW;
}

bool
pick_is_lost(const struct pick_backend *b, int64_t now)
{
	return pick_is_silent(b) && now - b->heard_at >= LOST_NS;
}

/*
 * Where nothing runs is where a trial goes, and nothing runs on one that has
 * just ended: requests beside the first end were sent there, and lost.
 */
void
pick_ended(struct pick_backend *b, int64_t now)
{
	b->silent = MAX(b->silent, SILENT_ROW);
	b->heard_at = MIN(b->heard_at, now - LOST_NS);
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
 * A cold or tried one gets one request at a time, and one that says what it
 * takes gets no more: it may answer each and fall behind all the same.
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
		b->usual += (took - b->usual) / USUAL_WEIGHT;
	b->bad_row = 0;
	b->refused_row = 0;
	b->silent = 0;
	b->heard_at = now;
	b->failing -= b->failing / FAILING_WEIGHT;
	b->good_row++;
	step(b, chart, PICK_EV_OK);
	if (b->good_row < WARM_ROW)
		return;
	b->ejections = 0;
	step(b, chart, PICK_EV_WARM);
}

void
pick_refused(struct pick_backend *b, int64_t now, const struct rnd *rnd)
{
	b->full_until = now + rnd_jitter(rnd, FULL_NS << b->refused_row);
	b->refused_row = MIN(b->refused_row + 1, REFUSED_ROW_MAX);
}

/* The true time is not known, but it is no less than this. */
void
pick_slow(struct pick_backend *b, int64_t age)
{
	b->usual = MAX(b->usual, age);
	b->good_row = 0;
}

static unsigned
count_in_use(const struct pick_set *set, int64_t now)
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
	b->failing += (1 - b->failing) / FAILING_WEIGHT;
	b->bad_row++;
	if (b->bad_row < BAD_ROW_LIMIT && b->state != PICK_TRIAL)
		return;
	if (!pick_usable(b, now) || count_in_use(set, now) * 2 <= set->n)
		return;
	b->bad_row = 0;
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
