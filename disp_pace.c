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
 * Admission under the latency-aware policy: a request waits for a server where
 * it can meet its target, is forwarded to another hall, or is refused at once.
 */

/* Approximate round trip of a request that is forwarded to another hall. */
#define FORWARD_COST_NS (5 * NS_MS)

enum {
	/* Share of the time to the target that is assumed as service time. */
	SERVICE_TIME_DIVISOR = 4,
	/* Shares of the caller's remaining time, as bounds of Retry-After. */
	RETRY_AFTER_MIN_DIVISOR = 4,
	RETRY_AFTER_MAX_DIVISOR = 3
};

/*
 * Returns whether the request would be late at `b`, the best server of this
 * hall, and may be in time in another hall.
 */
bool
disp_latency_remote_better(const struct disp *d, const struct disp_req *r,
    const struct pick_backend *b, int64_t now)
{
	if (!d->params.policy->latency_aware || !r->can_forward ||
	    r->target == 0 || r->service_time == 0 ||
	    !disp_can_meet_target(r, now + FORWARD_COST_NS))
		return false;
	return now +
	    pace_service_time(b, r->service_time, d->mean_latency_factor, now) >
	    r->target;
}

/*
 * Returns whether the request should wait because `b`, the best server, is in a
 * slow period, and the response comes sooner if the request starts after that.
 * Returns false if there is no time left to wait.
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
 * Counts the queued requests that are served before this one: those of its rank
 * and of more urgent ranks.  Less urgent ones do not count, or an overload by
 * them would get urgent requests refused.
 */
static size_t
count_ahead(const struct disp *d, const struct disp_req *r)
{
	const struct queue *q = &d->queues[CLASS_INTERACTIVE];
	const struct disp_req *other;
	size_t i, n = 0;

	for (i = 0; i < q->n; i++) {
		other = q->heap[i]->data;
		n += other->rank <= r->rank;
	}
	return n;
}

/* Estimates the time in ns until a slot is free for the request. */
static int64_t
queue_wait(const struct disp *d, const struct disp_req *r)
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
 * Returns the Retry-After in ns of a request that is refused for lack of time:
 * a random time between a quarter and a third of the time that its caller has
 * left.
 *
 * In a surge that lasts longer than the targets, or after a failure of all
 * boxes, a refused request is late in any case, and its caller makes only a few
 * attempts.  A Retry-After of just the queueing time would bring it back into
 * the same surge, and its caller would give up without a response.
 */
static int64_t
retry_after(const struct disp *d, const struct disp_req *r, int64_t wait)
{
	int64_t remaining = r->deadline - clk_ns(d->clk) - r->service_time;
	int64_t min = remaining / RETRY_AFTER_MIN_DIVISOR;
	int64_t max = remaining / RETRY_AFTER_MAX_DIVISOR;

	if (r->target == 0 || min <= RETRY_AFTER_MIN_NS)
		return CLAMP(wait, RETRY_AFTER_MIN_NS, RETRY_AFTER_MAX_NS);
	return min + (int64_t)rnd_below(d->rnd, (uint64_t)(max - min));
}

void
disp_latency_refuse(struct disp *d, struct disp_req *r, int64_t wait)
{
	disp_fail(d, r, ERR_BUSY, retry_after(d, r, wait));
}

int64_t
disp_refused_retry_after(struct disp *d, const struct disp_req *r)
{
	int64_t wait;

	if (!disp_report_wait(d, 0, &wait) || wait <= DISP_REFUSED_RETRY_NS)
		return DISP_REFUSED_RETRY_NS;
	return retry_after(d, r, wait);
}

/*
 * Decides whether the request may wait for a slot.  One that would be late is
 * refused at once with a Retry-After, while a retry can still be useful: that
 * is better than a late response, and keeps the queue short.
 */
bool
disp_latency_admit(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), wait = queue_wait(d, r);
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
		r->service_time =
		    MAX((r->target - now) / SERVICE_TIME_DIVISOR, 0);
	if (disp_share_submit(d, r))
		return;
	if (disp_query_before_send(d, r, now)) {
		disp_enqueue(d, r);
		return;
	}
	if (d->queues[r->cls].n == 0 && disp_try_send(d, r))
		return;
	if (disp_forward(d, r) ||
	    disp_forward_to_shorter(d, r, queue_wait(d, r)))
		return;
	if (disp_cold_query_pending(d, now) || disp_latency_admit(d, r))
		disp_enqueue(d, r);
}
