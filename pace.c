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
pace_latency_factor(const struct pick_backend *b, double mean, int64_t now)
{
	double reported = (double)b->reported_latency_percent / PERCENT;
	double weight;

	if (b->reported_at == 0)
		return mean;
	weight = exp(-(double)(now - b->reported_at) / PACE_DECAY_NS);
	return mean + (reported - mean) * weight;
}

double
pace_concurrency_slowdown(const struct pick_backend *b)
{
	if (b->conc == NULL)
		return 1;
	return conc_slowdown(b->conc, b->inflight, b->slots);
}

int64_t
pace_service_time(const struct pick_backend *b, int64_t service_time,
    double mean, int64_t now)
{
	double used = b->slots > 0 ? (double)b->inflight / b->slots : 0;
	double ratio = b->service_time_ratio > 0 ? b->service_time_ratio : 1;

	return (int64_t)((double)service_time * ratio *
	    pace_latency_factor(b, mean, now) * pace_concurrency_slowdown(b) *
	    (1 + SPREAD * used));
}

bool
pace_report_is_fresh(const struct pick_backend *b, int64_t now)
{
	return b->reported_at != 0 && now - b->reported_at <= FRESH_NS;
}

/*
 * While the request waits for a time t, the latency factor p decays towards the
 * mean m as m + (p - m) e^(-t/T).  A longer wait makes the request end sooner
 * as long as service_time * (p - m) > T, where T is PACE_DECAY_NS.
 */
bool
pace_waiting_is_faster(const struct pick_backend *b, int64_t service_time,
    double mean, int64_t now)
{
	double excess = (double)b->reported_latency_percent / PERCENT - mean;

	return b->reported_at != 0 && now - b->reported_at < PACE_DECAY_NS &&
	    (double)service_time * excess > PACE_DECAY_NS;
}

bool
pace_is_near_usual(const struct pick_backend *b, int64_t now)
{
	return pace_report_is_fresh(b, now) &&
	    b->reported_latency_percent <= USUAL_MAX_PERCENT;
}
