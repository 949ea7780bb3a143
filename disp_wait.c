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
 * Estimates of queueing times under the latency-aware policy, and their
 * comparison with the real ones: wait.h.
 */

/*
 * A refusal within this part of the time to the target leaves the caller time
 * for another attempt.
 */
enum { EARLY_DIVISOR = 4 };
/*
 * While requests that could be in time are refused, the next slot is left to
 * one of these for so long.
 */
#define LATE_HOLD_NS (200 * NS_MS)

/* Some slots are always left by more urgent requests. */
static const double URGENT_SHARE_MAX = 0.9;

/* Returns whether a queued request is served before this one. */
static bool
is_ahead(const struct disp_req *other, const struct disp_req *r, int64_t key)
{
	if (other == r)
		return false;
	if (other->rank != r->rank)
		return other->rank < r->rank;
	return other->item.deadline <= key;
}

/*
 * Counts the requests in a queue that are served before this one, which is
 * ordered by `key` in its rank.  Less urgent ones do not count, or an overload
 * by them would get urgent requests refused.
 */
static size_t
count_ahead(
    const struct disp *d, int queue, const struct disp_req *r, int64_t key)
{
	const struct queue *q = &d->queues[queue];
	size_t i, n = 0;

	for (i = 0; i < q->n; i++)
		n += is_ahead(q->heap[i]->data, r, key);
	return n;
}

/* Estimates how many requests per second start; 0: unknown. */
static double
start_rate(const struct disp *d)
{
	double time = (double)disp_work_mean(d) * d->start_latency_factor;

	return time == 0 ? 0 : disp_usable_slots(d) * NS_S / time;
}

/*
 * The next three functions get the rate of start_rate(), which goes through all
 * servers and is therefore computed once for all requests of a queue.
 */

/* Returns the share of starts that more urgent requests take. */
static double
urgent_share(const struct disp *d, double rate, int rank)
{
	if (rate == 0)
		return 0;
	return MIN(wait_mix_urgent(&d->mix, rank, clk_ns(d->clk)) / rate,
	    URGENT_SHARE_MAX);
}

/* Estimates the wait of a request that has so many before it. */
static int64_t
estimate(const struct disp *d, double rate, int rank, size_t ahead)
{
	rate *= 1 - urgent_share(d, rate, rank);
	return rate == 0 ? 0 : (int64_t)((double)(ahead + 1) * NS_S / rate);
}

/* The same for one that is late: it gets what those in time leave. */
static int64_t
estimate_late(const struct disp *d, double rate, size_t ahead)
{
	rate = wait_rate_get(&d->late_rate, rate);
	return rate == 0 ? 0 : (int64_t)((double)(ahead + 1) * NS_S / rate);
}

void
disp_wait_estimate(const struct disp *d, struct disp_req *r, int64_t *bound)
{
	const struct wait_ratio *w = disp_work_waits(d, r->kind);
	int64_t now = clk_ns(d->clk);
	double rate = start_rate(d);
	size_t ahead;

	if (!disp_can_meet_target(r, now)) {
		r->wait_estimate = 0;
		r->expected_wait = *bound = estimate_late(
		    d, rate, count_ahead(d, QUEUE_LATE, r, r->deadline));
		return;
	}
	ahead = count_ahead(d, CLASS_INTERACTIVE, r, disp_queue_key(r));
	if (disp_report_wait(d, ahead, &r->expected_wait)) {
		r->wait_estimate = 0;
		*bound = r->expected_wait;
		return;
	}
	r->wait_estimate = estimate(d, rate, r->rank, ahead);
	r->expected_wait = wait_expected(w, r->wait_estimate, now);
	*bound = wait_bound(w, r->wait_estimate, now);
}

void
disp_wait_begin(struct disp *d, struct disp_req *r)
{
	r->wait_started_at = clk_ns(d->clk);
}

void
disp_wait_end(struct disp *d, struct disp_req *r, bool started)
{
	int64_t now = clk_ns(d->clk);

	if (r->wait_started_at != 0)
		r->real_wait = now - r->wait_started_at;
	if (started)
		wait_mix_start(&d->mix, r->rank, now);
	if (started && r->queue == QUEUE_LATE)
		wait_rate_start(&d->late_rate);
	if (r->wait_started_at != 0 && r->wait_estimate > 0)
		wait_learn(disp_work_waits_to_learn(d, r->kind),
		    r->wait_estimate, now - r->wait_started_at, !started, now);
	r->wait_started_at = 0;
}

bool
disp_wait_late_held(const struct disp *d)
{
	return d->lack_at != 0 && clk_ns(d->clk) - d->lack_at < LATE_HOLD_NS;
}

static int
compare(const void *a, const void *b)
{
	const struct queue_item *x =
				    &(*(const struct disp_req *const *)a)->item,
				*y =
				    &(*(const struct disp_req *const *)b)->item;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->deadline != y->deadline)
		return x->deadline < y->deadline ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

/* Returns the requests of a queue in the order in which they are served. */
static GPtrArray *
in_order(const struct queue *q)
{
	GPtrArray *all = g_ptr_array_sized_new((guint)q->n);
	size_t i;

	for (i = 0; i < q->n; i++)
		g_ptr_array_add(all, q->heap[i]->data);
	g_ptr_array_sort(all, compare);
	return all;
}

/* Returns whether a late request will not be answered before its deadline. */
static bool
misses_deadline(const struct disp *d, double rate, const struct disp_req *r,
    size_t ahead, int64_t now)
{
	return now + estimate_late(d, rate, ahead) + r->service_time >
	    r->deadline;
}

/*
 * Returns whether a request that was let wait just before will start too late,
 * as more urgent ones came since.  The first of the queue may also wait for
 * the end of a slow period, which the length of the queue does not tell.
 */
static bool
misses_target(const struct disp *d, double rate, const struct disp_req *r,
    size_t ahead, int64_t now)
{
	int64_t wait;

	if (ahead == 0 || r->target == 0 || r->wait_estimate == 0 ||
	    r->wait_started_at == 0 ||
	    now - r->wait_started_at >
		(r->target - r->wait_started_at) / EARLY_DIVISOR)
		return false;
	wait = wait_expected(disp_work_waits(d, r->kind),
	    estimate(d, rate, r->rank, ahead), now);
	return !disp_can_meet_target(r, now + wait);
}

/*
 * Decides on a request that was the first of the queue when it came, and so was
 * queued without a decision, if others are before it now.
 */
static void
decide(const struct disp *d, double rate, struct disp_req *r, size_t ahead,
    int64_t now)
{
	if (r->wait_decided || ahead == 0 || disp_cold_query_pending(d, now))
		return;
	r->wait_decided = true;
	r->wait_estimate = estimate(d, rate, r->rank, ahead);
	r->expected_wait =
	    wait_expected(disp_work_waits(d, r->kind), r->wait_estimate, now);
	r->wait_started_at = now;
}

/* Marks the queued requests that are better refused now. */
static void
mark_hopeless(const struct disp *d, int queue, int64_t now)
{
	GPtrArray *all = in_order(&d->queues[queue]);
	double rate = start_rate(d);
	struct disp_req *r;
	size_t ahead = 0;
	guint i;

	for (i = 0; i < all->len; i++) {
		r = g_ptr_array_index(all, i);
		if (queue == CLASS_INTERACTIVE)
			decide(d, rate, r, ahead, now);
		r->hopeless = queue == QUEUE_LATE
		    ? misses_deadline(d, rate, r, ahead, now)
		    : misses_target(d, rate, r, ahead, now);
		ahead += !r->hopeless;
	}
	g_ptr_array_free(all, TRUE);
}

static struct disp_req *
find_hopeless(const struct queue *q)
{
	struct disp_req *r;
	size_t i;

	for (i = 0; i < q->n; i++) {
		r = q->heap[i]->data;
		if (r->hopeless)
			return r;
	}
	return NULL;
}

static void
refuse_hopeless(struct disp *d, int queue, int64_t now)
{
	struct disp_req *r;

	if (d->queues[queue].n == 0)
		return;
	mark_hopeless(d, queue, now);
	while ((r = find_hopeless(&d->queues[queue])) != NULL) {
		disp_dequeue(d, r);
		disp_wait_end(d, r, false);
		r->hopeless = false;
		disp_latency_refuse(d, r, 0);
	}
}

/*
 * Without this a request that is late would be held until shortly before its
 * deadline although those in time leave it no slot.  A callback may change the
 * queue, so each search starts again after it.
 */
void
disp_wait_review(struct disp *d, int64_t now)
{
	wait_rate_update(&d->late_rate, d->queues[QUEUE_LATE].n > 0, now);
	if (!d->params.policy->latency_aware)
		return;
	refuse_hopeless(d, CLASS_INTERACTIVE, now);
	refuse_hopeless(d, QUEUE_LATE, now);
}
