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
#include "disp_state.h"
#include "libdisp.h"

/*
 * The core of the dispatcher: it accepts requests, sends or queues them,
 * handles the ends of attempts, and serves the queues when slots become free.
 */

/* Assumed latency factor of slow periods until one is reported. */
static const double INITIAL_SLOW_FACTOR = 3;

/* Interval of updates of the concurrency limits. */
#define CONC_UPDATE_NS (100 * NS_MS)
/* Callers are expected to retry if one has done so within this time. */
#define RETURN_SEEN_NS (1 * NS_S)

enum { DEFAULT_MAX_ATTEMPTS = 4 };

/* What each outcome shows of the request and of the backend server. */
static const struct {
	bool not_run; /* the request certainly did not run */
	bool bad; /* counts as a failure of the backend server */
	bool good; /* counts as a success of the backend server */
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
	d->is_owner = true;
	d->mean_latency_factor = d->start_latency_factor = 1;
	d->slow_latency_factor = INITIAL_SLOW_FACTOR;
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
	share_free(d->share);
	g_free(d);
}

void
disp_set_owner(struct disp *d, bool is_owner)
{
	d->is_owner = is_owner;
}

void
disp_configure(struct disp *d, const struct disp_params *params)
{
	d->params = *params;
	d->retry_budget.max = params->retry_budget_max;
	disp_roll_update(d);
}

/*
 * Estimates the time in ns until a new request of a class gets a slot, from the
 * number of requests before it and the rate at which usable slots become free.
 */
static int64_t
expected_wait(const struct disp *d, enum obj_class cls)
{
	int64_t now = clk_ns(d->clk), usual, ahead;
	const struct pick_backend *b;
	double rate = 0, backend_rate;
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
		backend_rate = (double)b->slots / (double)usual;
		if (b->quota.rate > 0)
			backend_rate = MIN(backend_rate, b->quota.rate / NS_S);
		rate += backend_rate;
	}
	return rate == 0 ? 0 : (int64_t)((double)ahead / rate);
}

void
disp_fail(struct disp *d, struct disp_req *r, enum err_kind kind, int64_t after)
{
	d->refused[kind]++;
	disp_share_refused(d, r);
	d->ops.fail(d->ops.ctx, r, kind, after);
}

bool
disp_try_send(struct disp *d, struct disp_req *r)
{
	struct pick_set set = disp_pick_set(d);
	struct pick_criteria criteria = {
	    r->cls, r->avoid, r->service_time, r->over_share};
	int64_t now = clk_ns(d->clk);
	struct pick_backend *b;
	int chosen;

	chosen = d->params.policy->choose(&set, &criteria, now, d->rnd);
	if (chosen == PICK_NONE)
		return false;
	b = set.v[chosen];
	if (disp_latency_should_wait(d, r, b, now))
		return false;
	if (disp_latency_remote_better(d, r, b, now) && disp_forward(d, r))
		return true;
	disp_send(d, r, b);
	return true;
}

/* Returns the reported limit that a request sent now would violate. */
static enum disp_violation
violated_limit(const struct pick_backend *b, int64_t now)
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

	if (d->sending_since == 0)
		d->sending_since = now;
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
	r->violation = violated_limit(b, now);
	quota_consume(&b->quota, now);
	disp_roll_attempt_sent(d, b);
	disp_conc_attempt_sent(d, r);
	disp_work_attempt_sent(d, r);
	d->ops.send(d->ops.ctx, r, b);
}

/*
 * Checks the deadline, the rate limit and the retry budget; answers a request
 * that fails a check.  A request that another gate has already sent counts as a
 * retry.
 */
static bool
admit(struct disp *d, struct disp_req *r)
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

	r->over_share = r->in_excess = false;
	r->share_cost = 0;
	disp_cold_note_request(d, now);
	if (r->previously_refused)
		d->last_return_at = now;
	if (disp_state_pass_on(d, r))
		return;
	if (!admit(d, r) || disp_trial_submit(d, r))
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

/* Handles the first request of a queue; returns false if it has to wait. */
static bool
serve_first(struct disp *d, int queue)
{
	struct queue_item *item = queue_first(&d->queues[queue]);
	struct disp_req *r;

	if (item == NULL)
		return false;
	r = item->data;
	if (disp_state_holds(d, r))
		return false;
	if (disp_state_pass_on(d, r) || disp_trial_intercept(d, r))
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

/* Handles the next interactive request; returns false if it has to wait. */
static bool
serve_interactive(struct disp *d)
{
	return (disp_share_is_next(d) && serve_first(d, QUEUE_OVER)) ||
	    serve_first(d, CLASS_INTERACTIVE);
}

/*
 * Serves the queues, interactive requests first.  A callback may end a request
 * and so call this function recursively; the inner call then only makes the
 * outer one repeat its loop.
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
		while (serve_interactive(d))
			;
		if (d->queues[CLASS_INTERACTIVE].n > 0)
			continue;
		while (serve_first(d, QUEUE_LATE))
			;
		while (serve_first(d, CLASS_BULK))
			;
	}
	d->serving = false;
}

/*
 * Finds the oldest request in flight at a backend server: the list of requests
 * in flight is sorted by start time.
 */
static void
update_oldest(struct disp *d, struct pick_backend *b)
{
	const struct disp_req *r;
	const GList *node;

	b->oldest_sent_at = 0;
	for (node = d->inflight.head; b->inflight > 0 && node != NULL;
	     node = node->next) {
		r = node->data;
		if (r->backend != b)
			continue;
		b->oldest_sent_at = r->sent_at;
		return;
	}
}

/* Updates the state and the statistics of the backend server. */
static void
record_outcome(struct disp *d, struct disp_req *r, struct pick_backend *b,
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
	/* Only those that must not repeat are always sent on a new one. */
	if (outcome == DISP_CONNECT_FAILED || !r->repeatable)
		pick_record_connect(b, outcome != DISP_CONNECT_FAILED, now);
}

/*
 * Returns whether the retry budget allows another attempt of a refused request.
 *
 * Where servers with free slots refuse most requests at random, the budget is
 * too small for all retries.  Callers who get a refusal for the first time
 * retry at once themselves, without cost for the budget, while those who have
 * already done so get no further chance.  As long as callers retry, half of the
 * budget is therefore reserved for requests that were refused before.
 */
static bool
refusal_budget_allows(struct disp *d, const struct disp_req *r)
{
	bool callers_retry = d->last_return_at != 0 &&
	    clk_ns(d->clk) - d->last_return_at < RETURN_SEEN_NS;

	if (r->previously_refused || !callers_retry)
		return retry_budget_available(&d->retry_budget);
	return retry_budget_above_reserve(&d->retry_budget);
}

/*
 * Where services call each other, retries must not multiply along the chain: a
 * request that is already a retry is not retried once it may have run.
 *
 * A refused request is queued again without charging the budget, unless its
 * number of attempts is configured: the backend server that refused it gets no
 * requests for a time that doubles with each consecutive refusal, which bounds
 * the number of refusals.
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
		return r->max_attempts == 0 || refusal_budget_allows(d, r);
	if (!outcomes[outcome].not_run && !r->repeatable)
		return false;
	if (!outcomes[outcome].not_run && r->is_retry)
		return false;
	return r->attempt_count < DEFAULT_MAX_ATTEMPTS &&
	    retry_budget_available(&d->retry_budget);
}

/*
 * Retries the request if that is allowed: sends it to the server that it is
 * moved to, which has a free slot, or else queues it.
 */
static bool
retry(struct disp *d, struct disp_req *r, enum disp_outcome outcome)
{
	struct pick_backend *next = r->next;

	r->next = NULL;
	if (next == NULL && !disp_can_retry(d, r, outcome))
		return false;
	if (outcome != DISP_REFUSED || r->max_attempts > 0)
		retry_budget_withdraw(&d->retry_budget);
	r->wait_decided = true;
	r->budget_charged = true;
	if (next != NULL)
		disp_send(d, r, next);
	else
		disp_enqueue(d, r);
	return true;
}

/*
 * Requests of a shard that this gate does not own are not moved, as which slots
 * are free is known to the owner only, nor those of customers in excess, as a
 * moved request takes the time of two servers.
 */
bool
disp_can_move(struct disp *d, const struct disp_req *r)
{
	return d->is_owner && d->handover == DISP_OWNED && !r->in_trial &&
	    !r->over_share && !r->in_excess &&
	    disp_can_retry(d, r, DISP_STOPPED_SLOW);
}

void
disp_move(struct disp *d, struct disp_req *r, struct pick_backend *to)
{
	r->stopped = true;
	r->next = to;
	d->ops.stop(d->ops.ctx, r);
}

bool
disp_attempt_done(struct disp *d, struct disp_req *r, enum disp_outcome outcome)
{
	struct pick_backend *b = r->backend;
	bool retried;

	b->inflight--;
	b->inflight_bulk -= r->cls == CLASS_BULK;
	g_queue_unlink(&d->inflight, &r->inflight_link);
	r->backend = NULL;
	r->avoid = b;
	if (b->oldest_sent_at == r->sent_at || b->inflight == 0)
		update_oldest(d, b);
	record_outcome(d, r, b, outcome);
	disp_trial_attempt_done(d, r, b, outcome);
	retried = retry(d, r, outcome);
	disp_serve_queues(d);
	if (b->removed)
		disp_free_removed(d);
	return retried;
}

void
disp_transfer(struct disp *d, struct disp_req *from, struct disp_req *to)
{
	*to = *from;
	to->customer = to->allowed_regions = str_c(NULL);
	to->can_retry = false;
	to->inflight_link = (GList){.data = to};
	g_queue_unlink(&d->inflight, &from->inflight_link);
	g_queue_push_tail_link(&d->inflight, &to->inflight_link);
	from->backend = NULL;
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
	if (now - d->limits_set_at >= CONC_UPDATE_NS)
		disp_conc_update_limits(d, now);
	disp_cold_query(d, now);
	disp_query_unresponsive(d, now);
	disp_state_tick(d, now);
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
