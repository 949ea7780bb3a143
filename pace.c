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
pace_latency_factor(const struct pick_backend *b, double mean, int64_t now)
{
	double told = (double)b->reported_latency_percent / PERCENT;
	double left;

	if (b->reported_at == 0)
		return mean;
	left = exp(-(double)(now - b->reported_at) / PACE_DECAY_NS);
	return mean + (told - mean) * left;
}

double
pace_concurrency_slowdown(const struct pick_backend *b)
{
	if (b->conc == NULL)
		return 1;
	return conc_slowdown(b->conc, b->inflight, b->slots);
}

int64_t
pace_service_time(
    const struct pick_backend *b, int64_t work, double mean, int64_t now)
{
	double full = b->slots > 0 ? (double)b->inflight / b->slots : 0;
	double own = b->service_time_ratio > 0 ? b->service_time_ratio : 1;

	return (int64_t)((double)work * own *
	    pace_latency_factor(b, mean, now) * pace_concurrency_slowdown(b) *
	    (1 + SPREAD * full));
}

bool
pace_report_is_fresh(const struct pick_backend *b, int64_t now)
{
	return b->reported_at != 0 && now - b->reported_at <= FRESH_NS;
}

/*
 * In a wait of t the pace falls from p towards the mean m as (p - m) e^(-t/T),
 * so the end of the work comes sooner with t as long as work (p - m) > T.
 */
bool
pace_waiting_is_faster(
    const struct pick_backend *b, int64_t work, double mean, int64_t now)
{
	double over = (double)b->reported_latency_percent / PERCENT - mean;

	return b->reported_at != 0 && now - b->reported_at < PACE_DECAY_NS &&
	    (double)work * over > PACE_DECAY_NS;
}

bool
pace_is_near_usual(const struct pick_backend *b, int64_t now)
{
	return pace_report_is_fresh(b, now) &&
	    b->reported_latency_percent <= GOOD_PACE;
}
