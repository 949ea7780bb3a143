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
#include "pace.h"

/*
 * Questions.  What a backend server told is old after some tens of
 * milliseconds; a request that has no freshly told good place has a few of
 * them asked, and waits for the answers for a moment.
 */

/* One backend server is asked no more often than this. */
#define GAP_NS (20 * NS_MS)
/* A request waits for answers no longer than this. */
#define WAIT_NS (12 * NS_MS)

enum { FAN = 3 }; /* backend servers that are asked for one request */

static bool
may_ask(const struct disp *d, const struct pick_backend *b, int64_t now)
{
	return d->ops.peek != NULL && b->told_at != 0 && !b->peeking &&
	    now - b->peeked_at >= GAP_NS;
}

/* Ask one backend server; false if it was asked just now. */
bool
disp_peek_one(struct disp *d, struct pick_backend *b, int64_t now)
{
	if (!may_ask(d, b, now))
		return false;
	b->peeking = true;
	b->peeked_at = now;
	d->ops.peek(d->ops.ctx, b);
	return true;
}

/* The free one that may be asked and looks best by now. */
static struct pick_backend *
best_to_ask(const struct disp *d, int64_t work, int64_t now)
{
	struct pick_backend *b, *best = NULL;
	int64_t t, least = INT64_MAX;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (pick_free(b, now) == 0 || pace_is_fresh(b, now) ||
		    !may_ask(d, b, now))
			continue;
		t = pace_time(b, work, d->mean_rate, now);
		if (t < least) {
			least = t;
			best = b;
		}
	}
	return best;
}

/* How many are free, and whether one of them is known to be good now. */
static unsigned
count_free(const struct disp *d, int64_t now, bool *good, bool *asked)
{
	const struct pick_backend *b;
	unsigned n = 0;
	guint i;

	*good = *asked = false;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (pick_free(b, now) == 0)
			continue;
		n++;
		*good = *good || pace_is_good(b, now);
		*asked = *asked || b->peeking;
	}
	return n;
}

/* True if the request should wait for answers before it is sent. */
bool
disp_peek_first(struct disp *d, struct disp_req *r, int64_t now)
{
	struct pick_backend *b;
	bool good, asked;
	unsigned i;

	if (!d->params.policy->paced || d->ops.peek == NULL || r->work == 0 ||
	    (r->peek_until != 0 && now >= r->peek_until))
		return false;
	if (count_free(d, now, &good, &asked) < 2 || good)
		return false;
	if (r->peek_until != 0)
		return asked;
	for (i = 0; i < FAN; i++) {
		b = best_to_ask(d, r->work, now);
		if (b == NULL)
			break;
		asked = disp_peek_one(d, b, now) || asked;
	}
	r->peek_until = now + WAIT_NS;
	return asked;
}
