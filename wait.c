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
#include <math.h>

#include "clk.h"
#include "wait.h"

/*
 * Added to both times before they are compared: a request that is first in the
 * queue waits a few milliseconds, and the ratio of such times is noise.
 */
#define FLOOR_NS (10 * NS_MS)
/* What was learned loses weight with this time constant without samples. */
#define DECAY_NS (1 * NS_S)
/* The same for rates. */
#define RATE_DECAY_NS (1 * NS_S)
/* The same for rates by rank: about the time that requests wait. */
#define MIX_DECAY_NS (300 * NS_MS)

enum { MEAN_WEIGHT = 32 }; /* of the past against one sample */

/* The share of requests that may exceed the bound. */
static const double EXCEED_SHARE = 0.05;
/* Step of the bound for a sample above it, relative. */
static const double BOUND_STEP = 0.05;
/* Bounds of what is learned, so that a recovery is quick. */
static const double RATIO_MIN = 0.25, RATIO_MAX = 3;
/* The bound before anything was learned, and its least distance to the mean. */
static const double INITIAL_BOUND = 1.0, LEAST_BOUND = 1.05;

/* Weight of an assumed rate, seconds. */
static const double RATE_PRIOR_S = 0.02;

static int64_t
scale(int64_t estimate, double ratio)
{
	return MAX(
	    (int64_t)((double)(estimate + FLOOR_NS) * ratio) - FLOOR_NS, 0);
}

/* Returns a learned ratio as it counts now: old ones approach `initial`. */
static double
current(const struct wait_ratio *r, double learned, double initial, int64_t now)
{
	double age = (double)(now - r->updated_at) / DECAY_NS;

	if (r->mean == 0)
		return initial;
	return initial + (learned - initial) * exp(-age);
}

int64_t
wait_expected(const struct wait_ratio *r, int64_t estimate, int64_t now)
{
	return scale(estimate, current(r, r->mean, 1, now));
}

int64_t
wait_bound(const struct wait_ratio *r, int64_t estimate, int64_t now)
{
	return scale(estimate, current(r, r->high, INITIAL_BOUND, now));
}

void
wait_learn(struct wait_ratio *r, int64_t estimate, int64_t real, bool waiting,
    int64_t now)
{
	double ratio =
	    (double)(real + FLOOR_NS) / (double)(estimate + FLOOR_NS);

	r->high = current(r, r->high, INITIAL_BOUND, now);
	r->mean = current(r, r->mean, 1, now);
	if (waiting && ratio <= r->high)
		return;
	r->updated_at = now;
	r->mean += (ratio - r->mean) / MEAN_WEIGHT;
	r->mean = CLAMP(r->mean, RATIO_MIN, RATIO_MAX);
	if (ratio > r->high)
		r->high *= 1 + BOUND_STEP * (1 - EXCEED_SHARE);
	else
		r->high *= 1 - BOUND_STEP * EXCEED_SHARE;
	r->high = CLAMP(r->high, r->mean * LEAST_BOUND, RATIO_MAX);
}

/* Returns the weight that numbers of the last update have now. */
static double
mix_weight(const struct wait_mix *m, int64_t now)
{
	return exp(-(double)(now - m->updated_at) / MIX_DECAY_NS);
}

/* Returns the group of a rank; more urgent groups come first. */
static int
group_of(int rank)
{
	enum { CUSTOMER_RANK_WEIGHT = 1000, SIDE = 4 };
	int customer = MIN(MAX(rank, 0) / CUSTOMER_RANK_WEIGHT, SIDE - 1),
	    rule = MIN(MAX(rank, 0) % CUSTOMER_RANK_WEIGHT, SIDE - 1);

	return customer * SIDE + rule;
}

void
wait_mix_start(struct wait_mix *m, int rank, int64_t now)
{
	double weight = mix_weight(m, now);
	int i;

	for (i = 0; i < WAIT_RANKS; i++)
		m->starts[i] *= weight;
	m->starts[group_of(rank)]++;
	m->updated_at = now;
}

double
wait_mix_urgent(const struct wait_mix *m, int rank, int64_t now)
{
	double n = 0;
	int i;

	for (i = 0; i < group_of(rank); i++)
		n += m->starts[i];
	return n * mix_weight(m, now) * NS_S / MIX_DECAY_NS;
}

void
wait_rate_update(struct wait_rate *r, bool waiting, int64_t now)
{
	double passed = (double)(now - r->updated_at);

	if (r->updated_at != 0) {
		r->starts *= exp(-passed / RATE_DECAY_NS);
		r->waiting_s *= exp(-passed / RATE_DECAY_NS);
		if (r->waiting)
			r->waiting_s += passed / NS_S;
	}
	r->waiting = waiting;
	r->updated_at = now;
}

void
wait_rate_start(struct wait_rate *r)
{
	r->starts++;
}

double
wait_rate_get(const struct wait_rate *r, double assumed)
{
	return (r->starts + assumed * RATE_PRIOR_S) /
	    (r->waiting_s + RATE_PRIOR_S);
}
