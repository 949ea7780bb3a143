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
#include "libdisp.h"

/*
 * Estimates of queueing times where backend servers have reported limits: a
 * rate limit in requests per second, or a pause (Retry-After).
 */

/* Upper bound of estimates. */
#define WAIT_MAX_NS (10 * NS_S)

/* Precision of estimates. */
#define WAIT_STEP_NS NS_MS

/* Returns the current service time in seconds; 0: unknown. */
static double
service_time_s(const struct disp *d)
{
	return (double)d->mean_service_time * d->start_latency_factor / NS_S;
}

double
disp_report_slots(const struct disp *d, const struct pick_backend *b)
{
	int64_t now = clk_ns(d->clk);

	if (now < b->pause_until)
		return 0;
	if (b->quota.rate == 0)
		return disp_cold_slots(d, b, now);
	return MIN(b->quota.rate * service_time_s(d), pick_slot_limit(b));
}

static bool
has_rate_limit(const struct pick_backend *b, int64_t now)
{
	(void)now;
	return b->quota.rate > 0;
}

static bool
has_limit_or_pause(const struct pick_backend *b, int64_t now)
{
	return has_rate_limit(b, now) || now < b->pause_until;
}

/*
 * Returns whether there are usable backend servers and the condition holds for
 * all of them.
 */
static bool
all_usable(const struct disp *d, int64_t now,
    bool (*condition)(const struct pick_backend *, int64_t))
{
	const struct pick_backend *b;
	bool any = false;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!pick_is_usable(b, now))
			continue;
		if (!condition(b, now))
			return false;
		any = true;
	}
	return any;
}

/* Estimates how many requests a server accepts between two times. */
static double
accepted_by(const struct disp *d, const struct pick_backend *b, int64_t now,
    int64_t end)
{
	int64_t from = MAX(now, b->pause_until);

	if (end < from)
		return 0;
	if (b->quota.rate > 0)
		return quota_available_by(&b->quota, from, end);
	if (service_time_s(d) <= 0)
		return pick_slot_limit(b);
	return pick_slot_limit(b) *
	    (1 + (double)(end - from) / NS_S / service_time_s(d));
}

/* The same for all usable backend servers together. */
static double
total_accepted_by(const struct disp *d, int64_t now, int64_t end)
{
	const struct pick_backend *b;
	double n = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (pick_is_usable(b, now))
			n += accepted_by(d, b, now, end);
	}
	return n;
}

/* Bisects for the time by which more than `ahead` requests are accepted. */
bool
disp_report_wait(const struct disp *d, size_t ahead, int64_t *wait)
{
	int64_t now = clk_ns(d->clk), low = 0, high = WAIT_MAX_NS, middle;

	if (!all_usable(d, now, has_limit_or_pause))
		return false;
	while (high - low > WAIT_STEP_NS) {
		middle = low + (high - low) / 2;
		if (total_accepted_by(d, now, now + middle) > (double)ahead)
			high = middle;
		else
			low = middle;
	}
	*wait = high;
	return true;
}

/*
 * If all servers have rate limits, new requests are served before a late one
 * until its deadline, so it is refused.  After a pause it may still be served.
 */
bool
disp_report_refuses_late(const struct disp *d, const struct disp_req *r)
{
	size_t ahead = d->queues[CLASS_INTERACTIVE].n + d->queues[QUEUE_LATE].n;
	int64_t now = clk_ns(d->clk), wait;

	if (!disp_report_wait(d, ahead, &wait))
		return false;
	return all_usable(d, now, has_rate_limit) ||
	    now + wait + r->service_time > r->deadline;
}
