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
	int64_t now = clk_ns(d->clk);

	/* A rate limit that is not used up by late requests would be lost. */
	if (r->target != 0 && r->wait_estimate > 0 &&
	    disp_can_meet_target(r, now))
		d->lack_at = now;
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
 * Returns whether the request may wait although it will be late: it was late
 * when it came, as its caller had to wait until the time it was told.
 */
static bool
may_be_late(const struct disp_req *r, int64_t now)
{
	return r->returned_on_time && !disp_can_meet_target(r, now);
}

/*
 * Decides whether the request may wait for a slot.  One that would be late is
 * refused at once with a Retry-After, while a retry can still be useful: that
 * is better than a late response, and keeps the queue short.
 */
bool
disp_latency_admit(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), wait, end, limit;

	disp_wait_estimate(d, r, &wait);
	end = now + wait + r->service_time;
	limit = r->deadline;
	if (r->target != 0 && !may_be_late(r, now))
		limit = MIN(limit, r->target);
	r->wait_decided = true;
	if (disp_usable_backends(d) == 0) {
		disp_fail(d, r, ERR_NO_BACKEND, RETRY_AFTER_MAX_NS);
		return false;
	}
	if (end > limit) {
		disp_latency_refuse(d, r, r->expected_wait);
		return false;
	}
	disp_wait_begin(d, r);
	return true;
}

void
disp_latency_submit(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), bound;

	r->service_time = disp_work_estimate(d, r->kind);
	if (r->service_time == 0 && r->target != 0)
		r->service_time =
		    MAX((r->target - now) / SERVICE_TIME_DIVISOR, 0);
	if (r->service_time > 0)
		d->assumed_service_time = r->service_time;
	r->place_at =
	    r->returned_on_time && disp_can_meet_target(r, now) ? now : 0;
	if (disp_share_submit(d, r))
		return;
	if (disp_query_before_send(d, r, now)) {
		if (d->queues[r->cls].n == 0 || disp_latency_admit(d, r))
			disp_enqueue(d, r);
		return;
	}
	if (d->queues[r->cls].n == 0 &&
	    (disp_can_meet_target(r, now) || !disp_wait_late_held(d)) &&
	    disp_try_send(d, r))
		return;
	if (disp_forward(d, r))
		return;
	disp_wait_estimate(d, r, &bound);
	if (disp_forward_to_shorter(d, r, r->expected_wait))
		return;
	if (disp_cold_query_pending(d, now) || disp_latency_admit(d, r))
		disp_enqueue(d, r);
}
