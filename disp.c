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
 * The dispatcher's core: a request arrives, is started or held, and its try
 * ends; what is held is served as slots come free.
 */

/* Of a slow spell, until one was told. */
static const double SLOW_PACE_FIRST = 3;

/* Limits of concurrency are set anew each so often. */
#define LIMIT_NS (100 * NS_MS)
/* Callers come back as long as one has within this time. */
#define RETURNS_NS (1 * NS_S)

enum { TRIES_MAX = 4 };

/* What each outcome means. */
static const struct {
	bool not_run; /* it surely did not run */
	bool bad; /* it speaks against the backend server */
	bool good; /* it speaks for it */
} outcomes[DISP_OUTCOME_MAX] = {
    [DISP_OK] = {false, false, true},
    [DISP_REFUSED] = {true, false, false},
    [DISP_CONNECT_FAILED] = {true, true, false},
    [DISP_SERVER_ERROR] = {false, true, false},
    [DISP_CONN_BROKEN] = {false, true, false},
    [DISP_TIMED_OUT] = {false, true, false},
    [DISP_CANCELED] = {false, false, false},
    [DISP_STOPPED_SLOW] = {false, false, false},
    [DISP_WRONG_INSTANCE] = {true, false, false},
};

struct disp *
disp_new(
    const struct disp_ops *ops, const struct clk *clk, const struct rnd *rnd)
{
	struct disp *d = g_new0(struct disp, 1);
	int i;

	d->ops = *ops;
	d->clk = clk;
	d->rnd = rnd;
	d->backends = g_ptr_array_new();
	d->remote_halls =
	    g_array_new(FALSE, TRUE, sizeof(struct disp_remote_hall));
	d->service_times =
	    g_array_new(FALSE, TRUE, sizeof(struct disp_service_times));
	d->mean_latency_factor = d->start_latency_factor = 1;
	d->slow_latency_factor = SLOW_PACE_FIRST;
	g_queue_init(&d->inflight);
	for (i = 0; i < QUEUE_COUNT; i++)
		queue_init(&d->queues[i]);
	return d;
}

void
disp_free(struct disp *d)
{
	int i;

	disp_free_backends(d);
	disp_forward_free(d);
	for (i = 0; i < QUEUE_COUNT; i++)
		queue_clear(&d->queues[i]);
	g_array_free(d->service_times, TRUE);
	g_free(d);
}

void
disp_configure(struct disp *d, const struct disp_params *params)
{
	d->params = *params;
	d->retry_budget.max = params->retry_budget_max;
	disp_roll_update(d);
}

/*
 * The time until a new request of a class would get a slot: those before it,
 * at the pace at which all usable slots free up.
 */
static int64_t
expected_wait(const struct disp *d, enum obj_class cls)
{
	int64_t now = clk_ns(d->clk), usual, ahead;
	const struct pick_backend *b;
	double pace = 0, one;
	int64_t wait;
	guint i;

	ahead = (int64_t)d->queues[CLASS_INTERACTIVE].n;
	if (cls == CLASS_BULK)
		ahead += (int64_t)d->queues[CLASS_BULK].n;
	if (disp_report_wait(d, (size_t)ahead, &wait))
		return wait;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!pick_is_usable(b, now) || now < b->pause_until)
			continue;
		usual = b->usual_latency == 0 ? DEFAULT_LATENCY_NS
					      : b->usual_latency;
		one = (double)b->slots / (double)usual;
		if (b->quota.rate > 0)
			one = MIN(one, b->quota.rate / NS_S);
		pace += one;
	}
	return pace == 0 ? 0 : (int64_t)((double)ahead / pace);
}

void
disp_fail(struct disp *d, struct disp_req *r, enum err_kind kind, int64_t after)
{
	d->ops.fail(d->ops.ctx, r, kind, after);
}

/* Try to start a request now; false if it has to wait. */
bool
disp_try_send(struct disp *d, struct disp_req *r)
{
	struct pick_set set = disp_pick_set(d);
	struct pick_criteria want = {r->cls, r->avoid, r->service_time};
	int64_t now = clk_ns(d->clk);
	struct pick_backend *b;
	int at;

	at = d->params.policy->choose(&set, &want, now, d->rnd);
	if (at == PICK_NONE)
		return false;
	b = set.v[at];
	if (disp_latency_should_wait(d, r, b, now))
		return false;
	if (disp_latency_remote_better(d, r, b, now) && disp_forward(d, r))
		return true;
	disp_send(d, r, b);
	return true;
}

/* Is something sent there now against what it says of itself? */
static enum disp_violation
against(const struct pick_backend *b, int64_t now)
{
	if (b->leaving)
		return VIOLATION_LEAVING;
	if (now < b->pause_until)
		return VIOLATION_PAUSE;
	return quota_available(&b->quota, now) == 0 ? VIOLATION_QUOTA
						    : VIOLATION_NONE;
}

void
disp_send(struct disp *d, struct disp_req *r, struct pick_backend *b)
{
	int64_t now = clk_ns(d->clk);

	b->inflight++;
	b->inflight_bulk += r->cls == CLASS_BULK;
	b->sent_count++;
	if (b->oldest_sent_at == 0)
		b->oldest_sent_at = now;
	r->inflight_link.data = r;
	g_queue_push_tail_link(&d->inflight, &r->inflight_link);
	r->backend = b;
	r->sent_at = now;
	r->attempt_count++;
	cold_record_send(&b->cold, &d->params.cold, now);
	r->violation = against(b, now);
	quota_consume(&b->quota, now);
	disp_roll_attempt_sent(d, b);
	disp_conc_attempt_sent(d, r);
	disp_work_attempt_sent(d, r);
	d->ops.send(d->ops.ctx, r, b);
}

/* A request that was sent before, from another gate, counts as a retry. */
static bool
may_arrive(struct disp *d, struct disp_req *r)
{
	if (clk_ns(d->clk) >= r->deadline) {
		disp_fail(d, r, ERR_DEADLINE, 0);
		return false;
	}
	if (!limit_allow(&d->rate_limit, d->params.rate, clk_ns(d->clk))) {
		disp_fail(d, r, ERR_OVER_LIMIT, 0);
		return false;
	}
	if (r->attempt_count == 0 || r->budget_charged) {
		retry_budget_deposit(&d->retry_budget, d->params.retry_percent);
		return true;
	}
	if (!retry_budget_available(&d->retry_budget)) {
		disp_fail(d, r, ERR_CUT, 0);
		return false;
	}
	retry_budget_withdraw(&d->retry_budget);
	return true;
}

void
disp_submit(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), wait;

	if (r->previously_refused)
		d->last_return_at = now;
	if (!may_arrive(d, r) || disp_trial_submit(d, r))
		return;
	disp_roll_update_if_changed(d);
	if (d->params.policy->latency_aware) {
		disp_latency_submit(d, r);
		return;
	}
	if (d->queues[r->cls].n == 0 && disp_try_send(d, r))
		return;
	wait = expected_wait(d, r->cls);
	if (disp_forward(d, r) || disp_forward_to_shorter(d, r, wait))
		return;
	if (disp_usable_backends(d) == 0) {
		disp_fail(d, r, ERR_NO_BACKEND, 0);
		return;
	}
	if ((int64_t)d->queues[r->cls].n >= d->params.queue_max ||
	    now + wait >= r->deadline) {
		disp_fail(d, r, ERR_BUSY, MAX(wait, NS_S));
		return;
	}
	disp_enqueue(d, r);
}

static bool
serve_queue(struct disp *d, int queue)
{
	struct queue_item *item = queue_first(&d->queues[queue]);
	struct disp_req *r;

	if (item == NULL)
		return false;
	r = item->data;
	if (disp_trial_intercept(d, r))
		return true;
	if (disp_query_before_send(d, r, clk_ns(d->clk)))
		return false;
	disp_dequeue(d, r);
	if (disp_try_send(d, r) || disp_forward(d, r))
		return true;
	if (d->params.policy->latency_aware && !r->wait_decided &&
	    !disp_cold_query_pending(d, clk_ns(d->clk)) &&
	    !disp_latency_admit(d, r))
		return true;
	disp_enqueue(d, r);
	return false;
}

/*
 * Serve what is held, the interactive ones first.  A callback may end a
 * request and so bring us here again; one level then looks twice.
 */
void
disp_serve_queues(struct disp *d)
{
	d->serve_again = true;
	if (d->serving)
		return;
	d->serving = true;
	while (d->serve_again) {
		d->serve_again = false;
		disp_roll_update_if_changed(d);
		disp_separate_late(d);
		disp_trial_serve_queue(d);
		while (serve_queue(d, CLASS_INTERACTIVE))
			;
		if (d->queues[CLASS_INTERACTIVE].n > 0)
			continue;
		while (serve_queue(d, QUEUE_LATE))
			;
		while (serve_queue(d, CLASS_BULK))
			;
	}
	d->serving = false;
}

/* The requests that are out are in the order of their start. */
static void
refresh_oldest(struct disp *d, struct pick_backend *b)
{
	const struct disp_req *r;
	const GList *at;

	b->oldest_sent_at = 0;
	for (at = d->inflight.head; b->inflight > 0 && at != NULL;
	     at = at->next) {
		r = at->data;
		if (r->backend != b)
			continue;
		b->oldest_sent_at = r->sent_at;
		return;
	}
}

static void
judge(struct disp *d, struct disp_req *r, struct pick_backend *b,
    enum disp_outcome outcome)
{
	struct pick_set set = disp_pick_set(d);
	int64_t now = clk_ns(d->clk);

	disp_roll_attempt_done(d, r, b, outcome);
	if (outcomes[outcome].good && d->params.policy->latency_aware &&
	    !disp_roll_is_canary(d, b))
		disp_work_learn(d, r, b, now);
	if (outcomes[outcome].good)
		pick_record_success(b, d->params.chart, now, now - r->sent_at);
	else if (outcomes[outcome].bad)
		pick_record_failure(b, &set, d->params.chart, now, d->rnd);
	else if (outcome == DISP_REFUSED)
		pick_record_refusal(b, now, d->rnd);
	else if (outcome == DISP_STOPPED_SLOW)
		pick_record_slow(b, now - r->sent_at);
	else if (outcome == DISP_WRONG_INSTANCE)
		pick_set_drain(b, d->params.chart, true);
	if (outcome == DISP_CONNECT_FAILED || outcome == DISP_CONN_BROKEN)
		disp_cold_suspect(d, b, 0);
	if (outcome == DISP_CONNECT_FAILED)
		disp_crash_resolve(d, b, true);
}

/*
 * May the budget pay for another try of one that was refused?
 *
 * Load pattern: servers that have room turn more than half of the requests away
 * at random, and the budget pays for less than each of them needs.  Callers who
 * are turned away for the first time come back at once, and that costs no
 * budget; those who have come back are refused for good.  So while callers do
 * come back, half of what may be saved up is kept for them.
 */
static bool
has_budget(struct disp *d, const struct disp_req *r)
{
	bool others_return = d->last_return_at != 0 &&
	    clk_ns(d->clk) - d->last_return_at < RETURNS_NS;

	if (r->previously_refused || !others_return)
		return retry_budget_available(&d->retry_budget);
	return retry_budget_above_reserve(&d->retry_budget);
}

/*
 * Where calls nest, retries must not multiply down the chain: a request that
 * is a retry already is not tried again once it may have run.
 *
 * What was refused for want of a slot is held again, without a budget: the
 * refusing backend server gets nothing for a while that doubles with each
 * refusal in a row, and that bounds the refusals.
 */
bool
disp_can_retry(
    struct disp *d, const struct disp_req *r, enum disp_outcome outcome)
{
	if (outcome == DISP_OK || outcome == DISP_TIMED_OUT ||
	    outcome == DISP_CANCELED)
		return false;
	if (!r->can_retry || clk_ns(d->clk) >= r->deadline)
		return false;
	if (r->max_attempts > 0 && r->attempt_count >= r->max_attempts)
		return false;
	if (outcome == DISP_REFUSED)
		return r->max_attempts == 0 || has_budget(d, r);
	if (!outcomes[outcome].not_run && !r->repeatable)
		return false;
	if (!outcomes[outcome].not_run && r->is_retry)
		return false;
	return r->attempt_count < TRIES_MAX &&
	    retry_budget_available(&d->retry_budget);
}

static bool
retry(struct disp *d, struct disp_req *r, enum disp_outcome outcome)
{
	if (!disp_can_retry(d, r, outcome))
		return false;
	if (outcome != DISP_REFUSED || r->max_attempts > 0)
		retry_budget_withdraw(&d->retry_budget);
	r->wait_decided = true;
	r->budget_charged = true;
	disp_enqueue(d, r);
	return true;
}

bool
disp_attempt_done(struct disp *d, struct disp_req *r, enum disp_outcome outcome)
{
	struct pick_backend *b = r->backend;
	bool again;

	b->inflight--;
	b->inflight_bulk -= r->cls == CLASS_BULK;
	g_queue_unlink(&d->inflight, &r->inflight_link);
	r->backend = NULL;
	r->avoid = b;
	if (b->oldest_sent_at == r->sent_at || b->inflight == 0)
		refresh_oldest(d, b);
	judge(d, r, b, outcome);
	disp_trial_attempt_done(d, r, b, outcome);
	again = retry(d, r, outcome);
	disp_serve_queues(d);
	if (b->removed)
		disp_free_removed(d);
	return again;
}

void
disp_cancel(struct disp *d, struct disp_req *r)
{
	if (r->queued)
		disp_dequeue(d, r);
}

void
disp_tick(struct disp *d)
{
	struct pick_set set = disp_pick_set(d);
	int64_t now = clk_ns(d->clk);
	int i;

	disp_roll_update(d);
	if (now - d->limits_set_at >= LIMIT_NS)
		disp_conc_update_limits(d, now);
	disp_cold_query(d, now);
	disp_query_unresponsive(d, now);
	disp_separate_late(d);
	for (i = 0; i < QUEUE_COUNT; i++)
		disp_expire(d, i, now);
	pick_tick(&set, d->params.chart, now);
	if (d->params.policy->latency_aware)
		disp_reassign_slow(d, now);
	else if (d->params.policy->holds_requests)
		disp_stop_slow(d, now);
	disp_serve_queues(d);
	for (i = 0; i < QUEUE_COUNT && disp_usable_backends(d) == 0; i++)
		disp_fail_all(d, i);
}

unsigned
disp_inflight(const struct disp *d)
{
	return d->inflight.length;
}
