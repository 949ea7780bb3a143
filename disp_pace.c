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
	WORK_GUESS = 4, /* of a target, where nothing is known of the work */
	/* Parts of the time that a caller has left, to come back after. */
	COME_BACK_FIRST = 4,
	COME_BACK_LAST = 3
};

/*
 * Is the request late at the best place here, and may be in time in another
 * hall that has room?
 */
bool
disp_latency_remote_better(const struct disp *d, const struct disp_req *r,
    const struct pick_backend *b, int64_t now)
{
	if (!d->params.policy->latency_aware || !r->can_forward ||
	    r->target == 0 || r->service_time == 0 ||
	    !disp_can_meet_target(r, now + PASS_COST_NS))
		return false;
	return now +
	    pace_service_time(b, r->service_time, d->mean_latency_factor, now) >
	    r->target;
}

/*
 * Even the best place here is in a slow spell, which passes sooner than the
 * work would be done in it; unless there is no time left to wait.
 */
bool
disp_latency_should_wait(struct disp *d, const struct disp_req *r,
    struct pick_backend *b, int64_t now)
{
	int64_t end = now +
	    pace_service_time(b, r->service_time, d->mean_latency_factor, now);

	if (!d->params.policy->latency_aware || r->service_time == 0 ||
	    end + PACE_DECAY_NS >= r->deadline ||
	    !pace_waiting_is_faster(
		b, r->service_time, d->mean_latency_factor, now))
		return false;
	if (!pace_report_is_fresh(b, now))
		disp_query_one(d, b, now);
	return true;
}

/*
 * Those that are served before the request: the held ones of its rank and of
 * more urgent ones.
 *
 * Load pattern: three times the load that all slots can do in time, for three
 * seconds, by a kind of rank 1 and two of rank 2.  With all that are held
 * counted, urgent requests were refused for the sake of others: 95.1 in 100 of
 * them were in time, and 99.8 are (virtual time, four seeds; 57 and 75 in 1.7
 * times the load where backend servers tell no load).
 */
static size_t
count_ahead(const struct disp *d, const struct disp_req *r)
{
	const struct queue *q = &d->queues[CLASS_INTERACTIVE];
	const struct disp_req *held;
	size_t i, n = 0;

	for (i = 0; i < q->n; i++) {
		held = q->heap[i]->data;
		n += held->rank <= r->rank;
	}
	return n;
}

/* The time until a slot is free for the request. */
static int64_t
paced_wait(const struct disp *d, const struct disp_req *r)
{
	size_t ahead = count_ahead(d, r);
	double slots = disp_usable_slots(d);
	int64_t wait;

	if (disp_report_wait(d, ahead, &wait))
		return wait;
	if (slots == 0)
		return 0;
	return (int64_t)((double)(ahead + 1) * (double)d->mean_service_time *
	    d->start_latency_factor / slots);
}

/*
 * When a request that is refused for want of time may come back: some time
 * between a quarter and a third of what its caller has left, which is as long
 * as callers wait.
 *
 * Load pattern: a surge that outlasts the targets, or all callers at once after
 * a loss of all boxes.  What is refused then will be late in any case, and its
 * caller tries a few times only.  Sent back after the wait of the queue it met
 * the same surge again: 7.1 in 100 were not served at all in a surge of three
 * times the load, and 4.1 after a loss of all boxes; spread over this time it
 * is 0.8 and none, and as many are in time (virtual time, four seeds).
 */
static int64_t
come_back(const struct disp *d, const struct disp_req *r, int64_t wait)
{
	int64_t left = r->deadline - clk_ns(d->clk) - r->service_time;
	int64_t first = left / COME_BACK_FIRST, last = left / COME_BACK_LAST;

	if (r->target == 0 || first <= RETRY_AFTER_MIN_NS)
		return CLAMP(wait, RETRY_AFTER_MIN_NS, RETRY_AFTER_MAX_NS);
	return first + (int64_t)rnd_below(d->rnd, (uint64_t)(last - first));
}

void
disp_latency_refuse(struct disp *d, struct disp_req *r, int64_t wait)
{
	disp_fail(d, r, ERR_BUSY, come_back(d, r, wait));
}

int64_t
disp_refused_retry_after(struct disp *d, const struct disp_req *r)
{
	int64_t wait;

	if (!disp_report_wait(d, 0, &wait) || wait <= DISP_REFUSED_RETRY_NS)
		return DISP_REFUSED_RETRY_NS;
	return come_back(d, r, wait);
}

/*
 * May the request wait for a slot?  What would be late is refused at once,
 * with the time when to come back, while coming back can still be worth
 * something; it is worth more than a late answer, and spares the queue.
 */
bool
disp_latency_admit(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), wait = paced_wait(d, r);
	int64_t end = now + wait +
	    (int64_t)((double)r->service_time * d->start_latency_factor);

	r->wait_decided = true;
	if (disp_usable_backends(d) == 0) {
		disp_fail(d, r, ERR_NO_BACKEND, RETRY_AFTER_MAX_NS);
		return false;
	}
	if (end > r->deadline || (r->target != 0 && end > r->target)) {
		disp_latency_refuse(d, r, wait);
		return false;
	}
	return true;
}

void
disp_latency_submit(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk);

	r->service_time = disp_work_estimate(d, r->kind);
	if (r->service_time == 0 && r->target != 0)
		r->service_time = MAX((r->target - now) / WORK_GUESS, 0);
	if (disp_query_before_send(d, r, now)) {
		disp_enqueue(d, r);
		return;
	}
	if (d->queues[r->cls].n == 0 && disp_try_send(d, r))
		return;
	if (disp_forward(d, r) ||
	    disp_forward_to_shorter(d, r, paced_wait(d, r)))
		return;
	if (disp_cold_query_pending(d, now) || disp_latency_admit(d, r))
		disp_enqueue(d, r);
}
