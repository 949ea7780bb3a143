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

/* The queues of requests that wait for a slot, in time or late. */

/* Can it be answered before its target, if it starts now? */
bool
disp_can_meet_target(const struct disp_req *r, int64_t now)
{
	return r->target == 0 || now + r->service_time <= r->target;
}

/*
 * Requests that can be in time wait by the latest moment to start them; late
 * ones behind all of them, by their deadlines.
 */
void
disp_enqueue(struct disp *d, struct disp_req *r)
{
	r->queued = true;
	r->queue = (int)r->cls;
	r->item.rank = r->rank;
	r->item.deadline = r->deadline;
	r->item.data = r;
	if (r->target != 0 && disp_can_meet_target(r, clk_ns(d->clk)))
		r->item.deadline = r->target - r->service_time;
	else if (r->target != 0)
		r->queue = QUEUE_LATE;
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
 * A held request to which something applies.  Any of a queue may be it: by its
 * rank one stands behind others that have more time.
 */
static struct disp_req *
find(const struct disp *d, int queue,
    bool (*applies)(const struct disp_req *, int64_t), int64_t now)
{
	const struct queue *q = &d->queues[queue];
	size_t i;

	for (i = 0; i < q->n; i++)
		if (applies(q->heap[i]->data, now))
			return q->heap[i]->data;
	return NULL;
}

static bool
is_late(const struct disp_req *r, int64_t now)
{
	return !disp_can_meet_target(r, now);
}

/*
 * What can no longer be in time makes way for what can, and is not held where
 * that would only end at its deadline.
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
}

/* One that is late, or a suspect, cannot be answered in time any more. */
static bool
is_hopeless(const struct disp_req *r, int64_t now)
{
	return (r->queue == QUEUE_LATE || r->queue == QUEUE_TRIAL) &&
	    now + r->service_time > r->deadline;
}

static bool
is_expired(const struct disp_req *r, int64_t now)
{
	return r->deadline <= now || is_hopeless(r, now);
}

/*
 * Those whose deadline has passed.  A late one is refused as soon as it
 * cannot be answered before its deadline any more: it has not run.
 */
void
disp_expire(struct disp *d, int queue, int64_t now)
{
	struct disp_req *r;
	bool hopeless;

	while ((r = find(d, queue, is_expired, now)) != NULL) {
		hopeless = is_hopeless(r, now);
		disp_dequeue(d, r);
		if (hopeless)
			disp_fail(d, r, ERR_BUSY, RETRY_AFTER_MIN_NS);
		else
			disp_fail(d, r, ERR_DEADLINE, 0);
	}
}

/* Nothing can be used any more: what is held need not wait for that. */
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
