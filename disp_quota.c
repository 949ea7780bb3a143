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
 * Backend servers that say how many requests a second they take: what that is
 * worth when waits are reckoned.
 */

/* Waits are not looked for beyond this. */
#define WAIT_MAX_NS (10 * NS_S)

/* A wait is known this well. */
#define WAIT_STEP_NS NS_MS

double
disp_quota_slots(const struct disp *d, const struct pick_backend *b)
{
	double work = (double)d->mean_work * d->begin_pace / NS_S;

	return MIN(b->quota.rate * work, pick_slots(b));
}

bool
disp_quota_limits(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	bool some = false;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!pick_usable(b, now))
			continue;
		if (b->quota.rate == 0)
			return false;
		some = true;
	}
	return some;
}

/* How many requests all of them take by a time. */
static double
taken_by(const struct disp *d, int64_t now, int64_t then)
{
	const struct pick_backend *b;
	double n = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (pick_usable(b, now))
			n += quota_by(&b->quota, now, then);
	}
	return n;
}

bool
disp_quota_wait(const struct disp *d, size_t ahead, int64_t *wait)
{
	int64_t now = clk_ns(d->clk), least = 0, most = WAIT_MAX_NS, half;

	if (!disp_quota_limits(d))
		return false;
	while (most - least > WAIT_STEP_NS) {
		half = least + (most - least) / 2;
		if (taken_by(d, now, now + half) > (double)ahead)
			most = half;
		else
			least = half;
	}
	*wait = most;
	return true;
}
