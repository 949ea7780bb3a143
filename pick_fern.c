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
 * A backend server whose oldest request has been out for so many times its
 * usual time is taken to be in a slow spell, and is taken last.
 */
enum { AGE_FACTOR = 4 };
/*
 * One that would take so many times as long as the best of all is not used
 * beyond one request at a time, even if the others have no slot: they will
 * have one sooner.
 */
enum { SLOW_FACTOR = 4 };
#define AGE_MIN_NS (30 * NS_MS)
#define DEFAULT_LATENCY_NS (5 * NS_MS)

static int choose(const struct pick_set *, const struct pick_criteria *,
    int64_t, const struct rnd *);
static int64_t cost(const struct pick_backend *, int64_t);
static bool bulk_may(const struct pick_set *, int64_t);
static bool bulk_fits(const struct pick_set *, const struct pick_backend *);

const struct pick_policy pick_fern = {"fern", choose, true, false};

/* The time that one more request is likely to take there. */
static int64_t
cost(const struct pick_backend *b, int64_t now)
{
	int64_t usual =
	    b->usual_latency == 0 ? DEFAULT_LATENCY_NS : b->usual_latency;
	int64_t age = b->oldest_sent_at == 0 ? 0 : now - b->oldest_sent_at;
	int64_t ns = usual * (b->slots + b->inflight) / b->slots;

	if (age > MAX(usual * AGE_FACTOR, AGE_MIN_NS))
		ns += age;
	return ns;
}

/* The least cost of all that can be used, with or without a free slot. */
static int64_t
least_cost(const struct pick_set *set, int64_t now)
{
	int64_t c, least = INT64_MAX / SLOW_FACTOR;
	unsigned i;

	for (i = 0; i < set->n; i++) {
		if (!pick_is_usable(set->v[i], now) ||
		    set->v[i]->usual_latency == 0)
			continue;
		c = cost(set->v[i], now);
		if (c < least)
			least = c;
	}
	return least;
}

/*
 * Bulk takes at most its share of all slots, and leaves one free slot, so
 * that the next interactive request need not wait for a bulk answer.  Where
 * nothing at all is under way it may begin.
 */
static bool
bulk_may(const struct pick_set *set, int64_t now)
{
	int slots = 0, bulk = 0, left = 0, inflight = 0;
	unsigned i;

	for (i = 0; i < set->n; i++) {
		if (!pick_is_usable(set->v[i], now))
			continue;
		slots += set->v[i]->slots;
		bulk += set->v[i]->inflight_bulk;
		inflight += set->v[i]->inflight;
		left += pick_free_slots(set->v[i], now);
	}
	if (inflight == 0)
		return true;
	return left > 1 &&
	    (bulk == 0 || (bulk + 1) * 100 <= slots * set->bulk_percent);
}

static bool
bulk_fits(const struct pick_set *set, const struct pick_backend *b)
{
	return b->inflight_bulk == 0 ||
	    (b->inflight_bulk + 1) * 100 <= b->slots * set->bulk_percent;
}

static int
choose(const struct pick_set *set, const struct pick_criteria *want,
    int64_t now, const struct rnd *rnd)
{
	enum obj_class cls = want->cls;
	const struct pick_backend *b;
	int64_t c, best_cost = INT64_MAX, least = least_cost(set, now);
	unsigned i, at, from;
	int best = PICK_NONE;

	if (set->n == 0 || (cls == CLASS_BULK && !bulk_may(set, now)))
		return PICK_NONE;
	from = (unsigned)rnd_below(rnd, set->n);
	for (i = 0; i < set->n; i++) {
		at = (from + i) % set->n;
		b = set->v[at];
		if (pick_free_slots(b, now) == 0 ||
		    (cls == CLASS_BULK && !bulk_fits(set, b)))
			continue;
		c = cost(b, now);
		/* What is not known yet is tried, or it never would be. */
		if (b->usual_latency == 0 && b->inflight == 0)
			c = 0;
		if (b->inflight > 0 && c > least * SLOW_FACTOR)
			continue;
		if (b == want->avoid)
			c = INT64_MAX - 1;
		if (c < best_cost) {
			best_cost = c;
			best = (int)at;
		}
	}
	return best;
}
