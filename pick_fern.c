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
 * A backend server whose oldest request has been in flight for so many times
 * the usual latency, and at least AGE_MIN_NS, is presumed to be in a slow
 * period, and is avoided.
 */
enum { AGE_FACTOR = 4 };
/*
 * A server that would take so many times as long as the best one gets only one
 * request at a time, even if the others have no free slot: they will have one
 * sooner than it answers.
 */
enum { SLOW_FACTOR = 4 };
#define AGE_MIN_NS (30 * NS_MS)
#define DEFAULT_LATENCY_NS (5 * NS_MS)

static int choose(const struct pick_set *, const struct pick_criteria *,
    int64_t, const struct rnd *);
static int64_t cost(const struct pick_backend *, int64_t);
static bool bulk_allowed(const struct pick_set *, int64_t);
static bool bulk_fits(const struct pick_set *, const struct pick_backend *);

const struct pick_policy pick_fern = {"fern", choose, true, false};

/* Estimates the latency of one more request at a backend server, in ns. */
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

/* The least cost over usable servers with known latency, free slot or not. */
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
 * Bulk requests get at most their share of all slots, and leave one slot free,
 * so that the next interactive request does not have to wait for a bulk
 * response.  A first bulk request is always allowed if nothing is in flight.
 */
static bool
bulk_allowed(const struct pick_set *set, int64_t now)
{
	int slots = 0, bulk = 0, free_slots = 0, inflight = 0;
	unsigned i;

	for (i = 0; i < set->n; i++) {
		if (!pick_is_usable(set->v[i], now))
			continue;
		slots += set->v[i]->slots;
		bulk += set->v[i]->inflight_bulk;
		inflight += set->v[i]->inflight;
		free_slots += pick_free_slots(set->v[i], now);
	}
	if (inflight == 0)
		return true;
	return free_slots > 1 &&
	    (bulk == 0 || (bulk + 1) * 100 <= slots * set->bulk_percent);
}

/* The share of bulk requests also holds for each backend server. */
static bool
bulk_fits(const struct pick_set *set, const struct pick_backend *b)
{
	return b->inflight_bulk == 0 ||
	    (b->inflight_bulk + 1) * 100 <= b->slots * set->bulk_percent;
}

static int
choose(const struct pick_set *set, const struct pick_criteria *criteria,
    int64_t now, const struct rnd *rnd)
{
	enum obj_class cls = criteria->cls;
	const struct pick_backend *b;
	int64_t c, best_cost = INT64_MAX, least = least_cost(set, now);
	unsigned i, index, start;
	int best = PICK_NONE;

	if (set->n == 0 || (cls == CLASS_BULK && !bulk_allowed(set, now)))
		return PICK_NONE;
	start = (unsigned)rnd_below(rnd, set->n);
	for (i = 0; i < set->n; i++) {
		index = (start + i) % set->n;
		b = set->v[index];
		if (pick_free_slots(b, now) == 0 ||
		    (cls == CLASS_BULK && !bulk_fits(set, b)))
			continue;
		c = cost(b, now);
		/* An idle server of unknown latency is tried first. */
		if (b->usual_latency == 0 && b->inflight == 0)
			c = 0;
		if (b->inflight > 0 && c > least * SLOW_FACTOR)
			continue;
		if (b == criteria->avoid)
			c = INT64_MAX - 1;
		if (c < best_cost) {
			best_cost = c;
			best = (int)index;
		}
	}
	return best;
}
