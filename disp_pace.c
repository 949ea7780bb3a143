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
 * Arrivals under the policy that goes by pace: a request waits for a place
 * where it can be in time, goes to another hall, or is refused at once.
 */

/* A pass to another hall and back takes about so long. */
#define PASS_COST_NS (5 * NS_MS)

enum {
	WORK_GUESS = 4 /* of a target, where nothing is known of the work */
};

/*
 * Is the request late at the best place here, and may be in time in another
 * hall that has room?
 */
bool
disp_pace_better_elsewhere(const struct disp *d, const struct disp_req *r,
    const struct pick_backend *b, int64_t now)
{
	if (!d->params.policy->paced || !r->may_pass || r->target == 0 ||
	    r->work == 0 || !disp_is_in_time(r, now + PASS_COST_NS))
		return false;
	return now + pace_time(b, r->work, d->mean_pace, now) > r->target;
}

/*
 * Even the best place here is in a slow spell, which passes sooner than the
 * work would be done in it; unless there is no time left to wait.
 */
bool
disp_pace_should_wait(struct disp *d, const struct disp_req *r,
    struct pick_backend *b, int64_t now)
{
	int64_t end = now + pace_time(b, r->work, d->mean_pace, now);

	if (!d->params.policy->paced || r->work == 0 ||
	    end + PACE_MEMORY_NS >= r->deadline ||
	    !pace_passes(b, r->work, d->mean_pace, now))
		return false;
	if (!pace_is_fresh(b, now))
		disp_peek_one(d, b, now);
	return true;
}

/* The time until a slot is free for one more request, with all that wait. */
static int64_t
paced_wait(const struct disp *d)
{
	int slots = disp_slots(d);

	if (slots == 0)
		return 0;
	return (int64_t)((double)(d->queues[CLASS_INTERACTIVE].n + 1) *
	    (double)d->mean_work * d->begin_pace / slots);
}

/*
 * May the request wait for a slot?  What would be late is refused at once,
 * with the time when to come back, while coming back can still be worth
 * something; it is worth more than a late answer, and spares the queue.
 */
bool
disp_pace_may_wait(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), wait = paced_wait(d);
	int64_t end = now + wait + (int64_t)((double)r->work * d->begin_pace);

	r->judged = true;
	if (disp_usable(d) == 0) {
		disp_drop(d, r, ERR_NO_BACKEND, COME_BACK_NS);
		return false;
	}
	if (end > r->deadline || (r->target != 0 && end > r->target)) {
		disp_drop(d, r, ERR_BUSY,
		    CLAMP(wait, COME_BACK_MIN_NS, COME_BACK_NS));
		return false;
	}
	return true;
}

void
disp_pace_arrive(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk);

	r->work = disp_work_of(d, r->kind);
	if (r->work == 0 && r->target != 0)
		r->work = (r->target - now) / WORK_GUESS;
	if (disp_peek_first(d, r, now)) {
		disp_hold(d, r);
		return;
	}
	if (d->queues[r->cls].n == 0 && disp_start(d, r))
		return;
	if (disp_pass(d, r) || disp_pass_to_shorter(d, r, paced_wait(d)))
		return;
	if (disp_pace_may_wait(d, r))
		disp_hold(d, r);
}
