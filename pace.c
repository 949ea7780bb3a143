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

/* A load report of up to this age is recent: a new query is not worthwhile. */
#define FRESH_NS (6 * NS_MS)

/* A latency factor of up to so many percent counts as usual speed. */
enum { USUAL_MAX_PERCENT = 150, PERCENT = 100 };
/*
 * Factor on the service time per share of slots in use; spreads requests over
 * backend servers that are otherwise equal.
 */
static const double SPREAD = 0.1;

double
pace_now(const struct pick_backend *b, double mean, int64_t now)
{
	double reported = (double)b->told_pace / PERCENT;
	double weight;

	if (b->told_at == 0)
		return mean;
	weight = exp(-(double)(now - b->told_at) / PACE_MEMORY_NS);
	return mean + (reported - mean) * weight;
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
	double used = b->slots > 0 ? (double)b->inflight / b->slots : 0;
	double ratio = b->factor > 0 ? b->factor : 1;

	return (int64_t)((double)work * ratio * pace_now(b, mean, now) *
	    pace_slowdown(b) * (1 + SPREAD * used));
}

bool
pace_is_fresh(const struct pick_backend *b, int64_t now)
{
	return b->told_at != 0 && now - b->told_at <= FRESH_NS;
}

/*
 * While the request waits for a time t, the latency factor p decays towards the
 * mean m as m + (p - m) e^(-t/T).  A longer wait makes the request end sooner
 * as long as service_time * (p - m) > T.
 */
bool
pace_passes(
    const struct pick_backend *b, int64_t work, double mean, int64_t now)
{
	double excess = (double)b->told_pace / PERCENT - mean;

	return b->told_at != 0 && now - b->told_at < PACE_MEMORY_NS &&
	    (double)work * excess > PACE_MEMORY_NS;
}

bool
pace_is_good(const struct pick_backend *b, int64_t now)
{
	return pace_is_fresh(b, now) && b->told_pace <= USUAL_MAX_PERCENT;
}
