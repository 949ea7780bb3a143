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
#include <limits.h>
#include <math.h>

#include "clk.h"
#include "quota.h"

/*
 * Time that the bucket accumulates for.  Queued requests are dispatched every
 * 10 ms, and a tick may be late.
 */
static const double BURST_S = 0.02;

static double
burst(const struct quota *q)
{
	return MAX(q->rate * BURST_S, 1);
}

bool
quota_update(struct quota *q, double rate, int64_t sent, int64_t now)
{
	bool is_lower;

	rate = MIN(rate, QUOTA_RATE_MAX);
	is_lower = rate > 0 && (q->rate == 0 || rate < q->rate);
	if (rate == q->rate) {
		q->updated_at = now;
		return false;
	}
	if (!is_lower && sent < q->updated_at)
		return false;
	if (q->rate == 0)
		q->bucket = (struct bucket){0, now};
	q->rate = rate;
	q->updated_at = now;
	return true;
}

int
quota_available(const struct quota *q, int64_t now)
{
	if (q->rate == 0)
		return INT_MAX;
	return (int)bucket_tokens(&q->bucket, q->rate, burst(q), now);
}

double
quota_available_by(const struct quota *q, int64_t now, int64_t until)
{
	double tokens = bucket_tokens(&q->bucket, q->rate, burst(q), now);

	return floor(tokens + q->rate * (double)(until - now) / NS_S);
}

void
quota_consume(struct quota *q, int64_t now)
{
	if (q->rate > 0)
		bucket_consume(&q->bucket, q->rate, burst(q), now);
}
