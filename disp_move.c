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
 * elsewhere it comes in time.
 */

/* A try that has taken so many times what was expected met a spell. */
static const double OVERDUE = 2.0;
/* Elsewhere it is reckoned with this much more than the work. */
static const double RESERVE = 1.2;

enum { TRIES_MAX = 3 };

/* When the try under way is likely to end. */
static int64_t
end_here(const struct disp *d, const struct disp_req *r, int64_t now)
{
	double own = r->backend->service_time_ratio > 0
	    ? r->backend->service_time_ratio
	    : 1;
	double work = (double)r->service_time * own * r->slowdown;
	double expected = work * (r->load_report_fresh ? r->latency_factor : 1);

	if (pick_is_unresponsive(r->backend))
		return INT64_MAX;
	if ((double)(now - r->sent_at) > expected * OVERDUE)
		expected =
		    work * MAX(d->slow_latency_factor, r->latency_factor);
	return MAX(r->sent_at + (int64_t)expected, now);
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
may_move(struct disp *d, const struct disp_req *r)
{
	int tries = r->max_attempts > 0 ? r->max_attempts : TRIES_MAX;

	return r->target != 0 && r->service_time != 0 && r->repeatable &&
	    !r->in_trial && r->attempt_count < tries &&
	    disp_can_retry(d, r, DISP_STOPPED_SLOW);
}

/*
 * True if the try should be moved now.  Where no good place is known, some
 * are asked, and their answers lead here again.
 */
static bool
should_move(struct disp *d, const struct disp_req *r, int64_t now)
{
	struct pick_set set = disp_pick_set(d);
	struct pick_criteria want = {r->cls, r->backend, r->service_time};
	int64_t here = end_here(d, r, now);
	int64_t there = now + (int64_t)((double)r->service_time * RESERVE);
	int at;

	if (!is_worth_more(r, here, there))
		return false;
	at = d->params.policy->choose(&set, &want, now, d->rnd);
	if (at == PICK_NONE || set.v[at] == r->backend)
		return false;
	if (pace_is_near_usual(set.v[at], now)) {
		there = now +
		    pace_service_time(set.v[at], r->service_time,
			d->mean_latency_factor, now);
		return is_worth_more(r, here, there);
	}
	disp_query_best(d, r->service_time, now);
	return false;
}

static struct disp_req *
first_to_move(struct disp *d, int64_t now)
{
	struct disp_req *r;
	GList *at;

	for (at = d->inflight.head; at != NULL; at = at->next) {
		r = at->data;
		if (may_move(d, r) && should_move(d, r, now))
			return r;
	}
	return NULL;
}

/* Each move changes the list, so it is looked through anew. */
void
disp_reassign_slow(struct disp *d, int64_t now)
{
	struct disp_req *r;

	while ((r = first_to_move(d, now)) != NULL)
		d->ops.stop(d->ops.ctx, r);
}
