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

/* Below this age asking again is not worth a probe. */
#define FRESH_NS (6 * NS_MS)

/* Up to so many percent of the usual time counts as usual. */
enum { GOOD_PACE = 150, PERCENT = 100 };
/* Spreads work over backend servers that look alike. */
static const double SPREAD = 0.1;

double
pace_now(const struct pick_backend *b, double mean, int64_t now)
{
	double told = (double)b->told_pace / PERCENT;
	double left;

	if (b->told_at == 0)
		return mean;
	left = exp(-(double)(now - b->told_at) / PACE_MEMORY_NS);
	return mean + (told - mean) * left;
}

double
pace_slowdown(const struct pick_backend *b)
{
	if (b->conc == NULL)
		return 1;
	return conc_slowdown(b->conc, b->inflight, b->slots);
}

int64_t
pace_time(const struct pick_backend *b, int64_t work, double mean, int64_t now)
{
	double full = b->slots > 0 ? (double)b->inflight / b->slots : 0;
	double own = b->factor > 0 ? b->factor : 1;

	return (int64_t)((double)work * own * pace_now(b, mean, now) *
	    pace_slowdown(b) * (1 + SPREAD * full));
}

bool
pace_is_fresh(const struct pick_backend *b, int64_t now)
{
	return b->told_at != 0 && now - b->told_at <= FRESH_NS;
}

/*
 * In a wait of t the pace falls from p towards the mean m as (p - m) e^(-t/T),
 * so the end of the work comes sooner with t as long as work (p - m) > T.
 */
bool
pace_passes(
    const struct pick_backend *b, int64_t work, double mean, int64_t now)
{
	double over = (double)b->told_pace / PERCENT - mean;

	return b->told_at != 0 && now - b->told_at < PACE_MEMORY_NS &&
	    (double)work * over > PACE_MEMORY_NS;
}

bool
pace_is_good(const struct pick_backend *b, int64_t now)
{
	return pace_is_fresh(b, now) && b->told_pace <= GOOD_PACE;
}
