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
#include <math.h>

#include "pace.h"

/*
 * What a backend server told loses its worth with this time constant, as its
 * speed changes several times a second.
 */
#define MEMORY_NS (100 * NS_MS)
/* Below this age asking again is not worth a probe. */
#define FRESH_NS (25 * NS_MS)

/* Up to so many percent of the usual time counts as usual. */
enum { GOOD_PACE = 150, PERCENT = 100 };
/* A full backend server may be slower; also spreads work over equals. */
static const double FULL_SLOWER = 0.1;
/* Rounds until the time for some work is found well enough. */
enum { ROUNDS = 6 };

static double
told_rate(const struct pick_backend *b)
{
	return (double)PERCENT / b->told_pace;
}

double
pace_rate(const struct pick_backend *b, double mean, int64_t now)
{
	double left;

	if (b->told_at == 0)
		return mean;
	left = exp(-(double)(now - b->told_at) / MEMORY_NS);
	return mean + (told_rate(b) - mean) * left;
}

/*
 * With the rate going over from r0 to the mean m, the work done by a time t
 * is m * t + (r0 - m) * MEMORY * (1 - exp(-t / MEMORY)).
 */
int64_t
pace_time(const struct pick_backend *b, int64_t work, double mean, int64_t now)
{
	double full = b->slots > 0 ? (double)b->inflight / b->slots : 0;
	double own = b->factor > 0 ? b->factor : 1;
	double w = (double)work * own * (1 + FULL_SLOWER * full);
	double extra = (pace_rate(b, mean, now) - mean) * MEMORY_NS;
	double t = w / mean;
	int i;

	for (i = 0; i < ROUNDS; i++)
		t = fmax((w - extra * (1 - exp(-t / MEMORY_NS))) / mean, 0);
	return (int64_t)t;
}

bool
pace_is_fresh(const struct pick_backend *b, int64_t now)
{
	return b->told_at != 0 && now - b->told_at <= FRESH_NS;
}

bool
pace_is_good(const struct pick_backend *b, int64_t now)
{
	return pace_is_fresh(b, now) && b->told_pace <= GOOD_PACE;
}
