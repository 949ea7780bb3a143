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

/* The queues of requests that wait for a slot. */

/* Before all ranks of requests: of those whose attempt was stopped here. */
enum { STOPPED_RANK = -1 };

bool
disp_can_meet_target(const struct disp_req *r, int64_t now)
{
	return r->target == 0 || now + r->service_time <= r->target;
}

/*
 * Queues a request.  Within a rank, requests that can meet their targets are
 * ordered by the latest time to start them; late ones wait in a queue of their
 * own, which is served after these, ordered by deadline.  Requests beyond their
 * customers' shares come after the others of their rank.  They have a queue of
 * their own, as they may not take each slot, and must not block the others.
 *
 * A request whose attempt was stopped here goes first and waits until its
 * deadline, as it cannot be refused any more as one that has not run.
 */
void
disp_enqueue(struct disp *d, struct disp_req *r)
{
	r->queued = true;
	r->queue = (int)r->cls;
	r->item.rank = r->rank;
	r->item.deadline = r->deadline;
	r->item.data = r;
	if (r->stopped)
		r->item.rank = STOPPED_RANK;
	else if (r->target != 0 && disp_can_meet_target(r, clk_ns(d->clk)))
		r->item.deadline = r->target - r->service_time;
	else if (r->target != 0)
		r->queue = QUEUE_LATE;
	if (r->over_share && !r->stopped) {
		r->queue = QUEUE_OVER;
		r->item.rank = disp_share_rank(r);
	}
	if (disp_trial_required(d, r))
		r->queue = QUEUE_TRIAL;
	queue_push(&d->queues[r->queue], &r->item);
}

void
disp_dequeue(struct disp *d, struct disp_req *r)
{
	queue_remove(&d->queues[r->queue], &r->item);
	r->queued = false;
}

/*
 * Returns a queued request for which a condition holds, or NULL.  The whole
 * queue is searched, as it is ordered by rank first: a request may be behind
 * others that have more time left.
 */
static struct disp_req *
find(const struct disp *d, int queue,
    bool (*condition)(const struct disp_req *, int64_t), int64_t now)
{
	const struct queue *q = &d->queues[queue];
	size_t i;

	for (i = 0; i < q->n; i++)
		if (condition(q->heap[i]->data, now))
			return q->heap[i]->data;
	return NULL;
}

static bool
is_late(const struct disp_req *r, int64_t now)
{
	return !r->stopped && !disp_can_meet_target(r, now);
}

/*
 * Moves requests that can no longer meet their targets to the queue of late
 * ones, or refuses them where they would only wait until their deadlines.  Late
 * requests beyond their customers' shares are refused.
 */
void
disp_separate_late(struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	struct disp_req *r;

	while ((r = find(d, CLASS_INTERACTIVE, is_late, now)) != NULL) {
		disp_dequeue(d, r);
		if (disp_report_refuses_late(d, r))
			disp_latency_refuse(d, r, 0);
		else
			disp_enqueue(d, r);
	}
	while ((r = find(d, QUEUE_OVER, is_late, now)) != NULL) {
		disp_dequeue(d, r);
		disp_latency_refuse(d, r, 0);
	}
}

/*
 * Returns whether a late request, or one that waits for an isolated run or for
 * what others leave, can no longer be answered before its deadline.
 */
static bool
misses_deadline(const struct disp_req *r, int64_t now)
{
	return (r->queue == QUEUE_LATE || r->queue == QUEUE_TRIAL ||
		   r->queue == QUEUE_OVER) &&
	    now + r->service_time > r->deadline;
}

static bool
is_expired(const struct disp_req *r, int64_t now)
{
	return r->deadline <= now || misses_deadline(r, now);
}

/*
 * A request that would miss its deadline is refused before that, so that its
 * caller learns that it has not run.
 */
void
disp_expire(struct disp *d, int queue, int64_t now)
{
	struct disp_req *r;
	bool missed;

	while ((r = find(d, queue, is_expired, now)) != NULL) {
		missed = misses_deadline(r, now);
		disp_dequeue(d, r);
		if (missed)
			disp_fail(d, r, ERR_BUSY, RETRY_AFTER_MIN_NS);
		else
			disp_fail(d, r, ERR_DEADLINE, 0);
	}
}

/* Called when no backend server is usable; waiting would be useless then. */
void
disp_fail_all(struct disp *d, int queue)
{
	struct queue_item *item;
	struct disp_req *r;

	while ((item = queue_first(&d->queues[queue])) != NULL) {
		r = item->data;
		disp_dequeue(d, r);
		if (!disp_forward(d, r))
			disp_fail(d, r, ERR_NO_BACKEND, RETRY_AFTER_MAX_NS);
	}
}
