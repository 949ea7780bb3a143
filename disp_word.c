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
 * Backend servers that say what they take: how many requests a second, or that
 * they want none for a while.  What that is worth when waits are reckoned.
 */

/* Waits are not looked for beyond this. */
#define WAIT_MAX_NS (10 * NS_S)

/* A wait is known this well. */
#define WAIT_STEP_NS NS_MS

/* What a request takes now, in seconds; 0: not known. */
static double
work_s(const struct disp *d)
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
	return MIN(b->quota.rate * work_s(d), pick_slot_limit(b));
}

static bool
is_limited(const struct pick_backend *b, int64_t now)
{
	(void)now;
	return b->quota.rate > 0;
}

static bool
is_bound(const struct pick_backend *b, int64_t now)
{
	return is_limited(b, now) || now < b->pause_until;
}

/* Are there some that may be used, and is each of them so? */
static bool
all_are(const struct disp *d, int64_t now,
    bool (*is)(const struct pick_backend *, int64_t))
{
	const struct pick_backend *b;
	bool some = false;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!pick_is_usable(b, now))
			continue;
		if (!is(b, now))
			return false;
		some = true;
	}
	return some;
}

/* How many requests one takes from now to a later time. */
static double
takes_by(const struct disp *d, const struct pick_backend *b, int64_t now,
    int64_t then)
{
	int64_t from = MAX(now, b->pause_until);

	if (then < from)
		return 0;
	if (b->quota.rate > 0)
		return quota_available_by(&b->quota, from, then);
	if (work_s(d) <= 0)
		return pick_slot_limit(b);
	return pick_slot_limit(b) *
	    (1 + (double)(then - from) / NS_S / work_s(d));
}

/* The same of all that may be used. */
static double
all_take_by(const struct disp *d, int64_t now, int64_t then)
{
	const struct pick_backend *b;
	double n = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (pick_is_usable(b, now))
			n += takes_by(d, b, now, then);
	}
	return n;
}

bool
disp_report_wait(const struct disp *d, size_t ahead, int64_t *wait)
{
	int64_t now = clk_ns(d->clk), least = 0, most = WAIT_MAX_NS, half;

	if (!all_are(d, now, is_bound))
		return false;
	while (most - least > WAIT_STEP_NS) {
		half = least + (most - least) / 2;
		if (all_take_by(d, now, now + half) > (double)ahead)
			most = half;
		else
			least = half;
	}
	*wait = most;
	return true;
}

/*
 * With a limit on all of them new requests go before a late one up to its
 * deadline; after a rest it may still be served.
 */
bool
disp_report_refuses_late(const struct disp *d, const struct disp_req *r)
{
	size_t ahead = d->queues[CLASS_INTERACTIVE].n + d->queues[QUEUE_LATE].n;
	int64_t now = clk_ns(d->clk), wait;

	if (!disp_report_wait(d, ahead, &wait))
		return false;
	return all_are(d, now, is_limited) ||
	    now + wait + r->service_time > r->deadline;
}
