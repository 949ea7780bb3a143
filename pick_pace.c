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
 * The choice among backend servers that tell how fast they are at a moment:
 * the one where the work will be done first.
 */

/* A request that fails costs about so many times its own time. */
static const double FAILING_COST = 4;
/* What is looked for where its work is not known yet. */
#define WORK_UNKNOWN_NS (50 * NS_MS)

static int choose(const struct pick_set *, const struct pick_criteria *,
    int64_t, const struct rnd *);

const struct pick_policy pick_pace = {"pace", choose, true, true};

static double
cost(const struct pick_set *set, const struct pick_backend *b, int64_t work,
    int64_t now)
{
	double ns =
	    (double)pace_service_time(b, work, set->mean_latency_factor, now);

	ns *= 1 + FAILING_COST * b->failure_rate;
	return ns * (1 + b->unanswered_queries);
}

static int
choose(const struct pick_set *set, const struct pick_criteria *want,
    int64_t now, const struct rnd *rnd)
{
	int64_t work =
	    want->service_time > 0 ? want->service_time : WORK_UNKNOWN_NS;
	double c, best_cost = G_MAXDOUBLE;
	unsigned i, at, from;
	int best = PICK_NONE;

	if (set->n == 0)
		return PICK_NONE;
	from = (unsigned)rnd_below(rnd, set->n);
	for (i = 0; i < set->n; i++) {
		at = (from + i) % set->n;
		if (pick_free_slots(set->v[at], now) == 0)
			continue;
		c = cost(set, set->v[at], work, now);
		if (set->v[at] == want->avoid)
			c = G_MAXDOUBLE / 2;
		if (c < best_cost) {
			best_cost = c;
			best = (int)at;
		}
	}
	return best;
}
