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
 * A try that sits in a slow spell is begun elsewhere where that changes what
 * the answer is worth: it would come after its target, or not at all, and
 * elsewhere it comes in time.  Both ends are asked for their speed first.
 */

/* No try is moved before this share of its work should be done. */
static const double EARLIEST = 0.7;
/* Some work may always be left, whatever was summed up. */
static const double LEFT_MIN = 0.15;
/* A move must spare at least this share of the work. */
static const double GAIN_MIN = 0.25;

enum { TRIES_MAX = 3 };

/* Is the backend server known to be dead or cut off: nothing answers? */
static bool
is_silent(const struct pick_backend *b)
{
	return b->silent >= 2;
}

static int64_t
end_here(const struct disp *d, const struct disp_req *r, int64_t now)
{
	double done = r->done +
	    (double)(now - r->done_at) * pace_rate(r->at, d->mean_rate, now);
	double work = (double)r->work;
	double left = MAX(work - done, work * LEFT_MIN);

	if (is_silent(r->at))
		return INT64_MAX;
	return now + pace_time(r->at, (int64_t)left, d->mean_rate, now);
}

/* Would an end at `there` be worth more than one at `here`? */
static bool
is_worth_more(const struct disp_req *r, int64_t here, int64_t there)
{
	if (here > r->target && there <= r->target)
		return true;
	return here > r->deadline && there <= r->deadline;
}

static bool
may_move(const struct disp *d, const struct disp_req *r, int64_t now)
{
	int tries = r->attempts > 0 ? r->attempts : TRIES_MAX;

	return r->target != 0 && r->work != 0 && r->repeatable &&
	    r->tries < tries &&
	    (double)(now - r->sent) >= (double)r->work * EARLIEST &&
	    disp_retryable(d, r, DISP_SLOW);
}

/*
 * True if the try should be moved now.  Where that rests on old words, those
 * concerned are asked, and the next look decides.
 */
static bool
should_move(struct disp *d, const struct disp_req *r, int64_t now)
{
	struct pick_set set = disp_set_of(d);
	struct pick_want want = {r->cls, r->at, r->work};
	int64_t here = end_here(d, r, now), there;
	int at;

	if (!is_worth_more(r, here, now + r->work))
		return false;
	if (!is_silent(r->at) && !pace_is_fresh(r->at, now)) {
		disp_peek_one(d, r->at, now);
		return false;
	}
	at = d->params.policy->choose(&set, &want, now, d->rnd);
	if (at == PICK_NONE || set.v[at] == r->at)
		return false;
	if (!pace_is_fresh(set.v[at], now) && disp_peek_one(d, set.v[at], now))
		return false;
	there = now + pace_time(set.v[at], r->work, d->mean_rate, now);
	return is_worth_more(r, here, there) &&
	    (double)there + (double)r->work * GAIN_MIN < (double)here;
}

static struct disp_req *
first_to_move(struct disp *d, int64_t now)
{
	struct disp_req *r;
	GList *at;

	for (at = d->out.head; at != NULL; at = at->next) {
		r = at->data;
		if (may_move(d, r, now) && should_move(d, r, now))
			return r;
	}
	return NULL;
}

/* Each move changes the list, so it is looked through anew. */
void
disp_move(struct disp *d, int64_t now)
{
	struct disp_req *r;

	while ((r = first_to_move(d, now)) != NULL)
		d->ops.stop(d->ops.ctx, r);
}
