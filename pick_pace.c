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

#include "pace.h"

/*
 * The latency-aware policy, for backend servers that report how fast they are:
 * chooses the one where the request is expected to end first.
 */

/* A failed request costs about so many times its service time. */
static const double FAILURE_COST = 4;
/* Assumed service time of a request whose service time is unknown. */
#define DEFAULT_SERVICE_TIME_NS (50 * NS_MS)

static int choose(const struct pick_set *, const struct pick_criteria *,
    int64_t, const struct rnd *);

const struct pick_policy pick_pace = {"pace", choose, true, true};

/* The expected service time in ns, with penalties for failures. */
static double
cost(const struct pick_set *set, const struct pick_backend *b,
    int64_t service_time, int64_t now)
{
	double ns = (double)pace_service_time(
	    b, service_time, set->mean_latency_factor, now);

	ns *= 1 + FAILURE_COST * b->failure_rate;
	return ns * (1 + b->unanswered_queries);
}

static int
choose(const struct pick_set *set, const struct pick_criteria *criteria,
    int64_t now, const struct rnd *rnd)
{
	int64_t service_time = criteria->service_time > 0
	    ? criteria->service_time
	    : DEFAULT_SERVICE_TIME_NS;
	double c, best_cost = G_MAXDOUBLE;
	unsigned i, index, start;
	int best = PICK_NONE;

	if (set->n == 0)
		return PICK_NONE;
	start = (unsigned)rnd_below(rnd, set->n);
	for (i = 0; i < set->n; i++) {
		index = (start + i) % set->n;
		if (pick_free_slots(set->v[index], now) == 0 ||
		    (criteria->unslowed_only &&
			set->v[index]->inflight >=
			    set->v[index]->unslowed_slots))
			continue;
		c = cost(set, set->v[index], service_time, now);
		if (set->v[index] == criteria->avoid)
			c = G_MAXDOUBLE / 2;
		if (c < best_cost) {
			best_cost = c;
			best = (int)index;
		}
	}
	return best;
}
