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
    [DISP_CONNECT] = {true, true, false},
    [DISP_FAILED] = {false, true, false},
    [DISP_CUT] = {false, true, false},
    [DISP_LATE] = {false, true, false},
    [DISP_GONE] = {false, false, false},
    [DISP_SLOW] = {false, false, false},
    [DISP_MOVED] = {true, false, false},
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
	d->remotes = g_array_new(FALSE, TRUE, sizeof(struct disp_remote_hall));
	d->works = g_array_new(FALSE, TRUE, sizeof(struct disp_work));
	d->mean_pace = d->begin_pace = 1;
	d->slow_pace = INITIAL_SLOW_FACTOR;
	g_queue_init(&d->out);
	for (i = 0; i < QUEUES; i++)
		queue_init(&d->queues[i]);
	return d;
}

void
disp_free(struct disp *d)
{
	int i;

	disp_set_free(d);
	disp_pass_free(d);
	for (i = 0; i < QUEUES; i++)
		queue_clear(&d->queues[i]);
	g_array_free(d->works, TRUE);
	g_free(d);
}

void
disp_configure(struct disp *d, const struct disp_params *params)
{
	d->params = *params;
	d->budget.max = params->retry_max;
	disp_roll_mark(d);
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
	if (disp_word_wait(d, (size_t)ahead, &wait))
		return wait;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!pick_usable(b, now) || now < b->rest_until)
			continue;
		usual = b->usual == 0 ? USUAL_UNKNOWN_NS : b->usual;
		backend_rate = (double)b->slots / (double)usual;
		if (b->quota.rate > 0)
			backend_rate = MIN(backend_rate, b->quota.rate / NS_S);
		rate += backend_rate;
	}
	return rate == 0 ? 0 : (int64_t)((double)ahead / rate);
}

void
disp_drop(struct disp *d, struct disp_req *r, enum err_kind kind, int64_t after)
{
	d->ops.give_up(d->ops.ctx, r, kind, after);
}

bool
disp_start(struct disp *d, struct disp_req *r)
{
	struct pick_set set = disp_set_of(d);
	struct pick_want criteria = {r->cls, r->avoid, r->work};
	int64_t now = clk_ns(d->clk);
	struct pick_backend *b;
	int chosen;

	chosen = d->params.policy->choose(&set, &criteria, now, d->rnd);
	if (chosen == PICK_NONE)
		return false;
	b = set.v[chosen];
	if (disp_pace_should_wait(d, r, b, now))
		return false;
	if (disp_pace_better_elsewhere(d, r, b, now) && disp_pass(d, r))
		return true;
	disp_begin(d, r, b);
	return true;
}

/* Returns the reported limit that a request sent now would violate. */
static enum disp_against
violated_limit(const struct pick_backend *b, int64_t now)
{
	if (b->leaves)
		return AGAINST_LEAVING;
	if (now < b->rest_until)
		return AGAINST_REST;
	return quota_free(&b->quota, now) == 0 ? AGAINST_QUOTA
					       : AGAINST_NOTHING;
}

void
disp_begin(struct disp *d, struct disp_req *r, struct pick_backend *b)
{
	int64_t now = clk_ns(d->clk);

	b->inflight++;
	b->inflight_bulk += r->cls == CLASS_BULK;
	b->turns++;
	if (b->oldest == 0)
		b->oldest = now;
	r->link.data = r;
	g_queue_push_tail_link(&d->out, &r->link);
	r->at = b;
	r->sent = now;
	r->tries++;
	cold_sent(&b->cold, &d->params.cold, now);
	r->against = violated_limit(b, now);
	quota_sent(&b->quota, now);
	disp_roll_sent(d, b);
	disp_conc_begin(d, r);
	disp_work_begin(d, r);
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
		disp_drop(d, r, ERR_DEADLINE, 0);
		return false;
	}
	if (!limit_take(&d->limit, d->params.rate, clk_ns(d->clk))) {
		disp_drop(d, r, ERR_OVER_LIMIT, 0);
		return false;
	}
	if (r->tries == 0 || r->paid) {
		retry_budget_pay(&d->budget, d->params.retry_percent);
		return true;
	}
	if (!retry_budget_has(&d->budget)) {
		disp_drop(d, r, ERR_CUT, 0);
		return false;
	}
	retry_budget_take(&d->budget);
	return true;
}

void
disp_arrive(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), wait;

	if (r->came_back)
		d->came_back = now;
	if (!admit(d, r) || disp_trial_arrive(d, r))
		return;
	disp_roll_look(d);
	if (d->params.policy->paced) {
		disp_pace_arrive(d, r);
		return;
	}
	if (d->queues[r->cls].n == 0 && disp_start(d, r))
		return;
	wait = expected_wait(d, r->cls);
	if (disp_pass(d, r) || disp_pass_to_shorter(d, r, wait))
		return;
	if (disp_usable(d) == 0) {
		disp_drop(d, r, ERR_NO_BACKEND, 0);
		return;
	}
	if ((int64_t)d->queues[r->cls].n >= d->params.queue_max ||
	    now + wait >= r->deadline) {
		disp_drop(d, r, ERR_BUSY, MAX(wait, NS_S));
		return;
	}
	disp_hold(d, r);
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
	if (disp_trial_takes(d, r))
		return true;
	if (disp_peek_first(d, r, clk_ns(d->clk)))
		return false;
	disp_unhold(d, r);
	if (disp_start(d, r) || disp_pass(d, r))
		return true;
	if (d->params.policy->paced && !r->judged &&
	    !disp_cold_asks(d, clk_ns(d->clk)) && !disp_pace_may_wait(d, r))
		return true;
	disp_hold(d, r);
	return false;
}

/*
 * Serves the queues, interactive requests first.  A callback may end a request
 * and so call this function recursively; the inner call then only makes the
 * outer one repeat its loop.
 */
void
disp_serve(struct disp *d)
{
	d->again = true;
	if (d->serving)
		return;
	d->serving = true;
	while (d->again) {
		d->again = false;
		disp_roll_look(d);
		disp_sort_late(d);
		disp_trial_serve(d);
		while (serve_first(d, CLASS_INTERACTIVE))
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

	b->oldest = 0;
	for (node = d->out.head; b->inflight > 0 && node != NULL;
	     node = node->next) {
		r = node->data;
		if (r->at != b)
			continue;
		b->oldest = r->sent;
		return;
	}
}

/* Updates the state and the statistics of the backend server. */
static void
record_outcome(struct disp *d, struct disp_req *r, struct pick_backend *b,
    enum disp_outcome outcome)
{
	struct pick_set set = disp_set_of(d);
	int64_t now = clk_ns(d->clk);

	disp_roll_done(d, r, b, outcome);
	if (outcomes[outcome].good && d->params.policy->paced &&
	    !disp_roll_is_trial(d, b))
		disp_work_done(d, r, b, now);
	if (outcomes[outcome].good)
		pick_good(b, d->params.chart, now, now - r->sent);
	else if (outcomes[outcome].bad)
		pick_bad(b, &set, d->params.chart, now, d->rnd);
	else if (outcome == DISP_REFUSED)
		pick_refused(b, now, d->rnd);
	else if (outcome == DISP_SLOW)
		pick_slow(b, now - r->sent);
	else if (outcome == DISP_MOVED)
		pick_drain(b, d->params.chart, true);
	if (outcome == DISP_CONNECT || outcome == DISP_CUT)
		disp_cold_suspect(d, b, 0);
	if (outcome == DISP_CONNECT)
		disp_doubt_settle(d, b, true);
}

/*
 * Returns whether the retry budget allows another attempt of a refused request.
 *
 * Where servers with free slots refuse most requests at random, the budget is
 * too small for all retries.  Callers who get a refusal for the first time
 * retry at once themselves, without cost for the budget, while those who have
 * already done so get no further chance.  As long as callers retry, half of the
 * budget is therefore reserved for requests of the latter.
 */
static bool
refusal_budget_allows(struct disp *d, const struct disp_req *r)
{
	bool others_return =
	    d->came_back != 0 && clk_ns(d->clk) - d->came_back < RETURN_SEEN_NS;

	if (r->came_back || !others_return)
		return retry_budget_has(&d->budget);
	return retry_budget_has_spare(&d->budget);
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
disp_retryable(
    struct disp *d, const struct disp_req *r, enum disp_outcome outcome)
{
	if (outcome == DISP_OK || outcome == DISP_LATE || outcome == DISP_GONE)
		return false;
	if (!r->may_retry || clk_ns(d->clk) >= r->deadline)
		return false;
	if (r->attempts > 0 && r->tries >= r->attempts)
		return false;
	if (outcome == DISP_REFUSED)
		return r->attempts == 0 || refusal_budget_allows(d, r);
	if (!outcomes[outcome].not_run && !r->repeatable)
		return false;
	if (!outcomes[outcome].not_run && r->retried)
		return false;
	return r->tries < DEFAULT_MAX_ATTEMPTS && retry_budget_has(&d->budget);
}

/* Queues the request for a retry if that is allowed. */
static bool
retry(struct disp *d, struct disp_req *r, enum disp_outcome outcome)
{
	if (!disp_retryable(d, r, outcome))
		return false;
	if (outcome != DISP_REFUSED || r->attempts > 0)
		retry_budget_take(&d->budget);
	r->judged = true;
	r->paid = true;
	disp_hold(d, r);
	return true;
}

bool
disp_done(struct disp *d, struct disp_req *r, enum disp_outcome outcome)
{
	struct pick_backend *b = r->at;
	bool retried;

	b->inflight--;
	b->inflight_bulk -= r->cls == CLASS_BULK;
	g_queue_unlink(&d->out, &r->link);
	r->at = NULL;
	r->avoid = b;
	if (b->oldest == r->sent || b->inflight == 0)
		update_oldest(d, b);
	record_outcome(d, r, b, outcome);
	disp_trial_done(d, r, b, outcome);
	retried = retry(d, r, outcome);
	disp_serve(d);
	if (b->gone)
		disp_sweep(d);
	return retried;
}

void
disp_forget(struct disp *d, struct disp_req *r)
{
	if (r->held)
		disp_unhold(d, r);
}

void
disp_tick(struct disp *d)
{
	struct pick_set set = disp_set_of(d);
	int64_t now = clk_ns(d->clk);
	int i;

	disp_roll_mark(d);
	if (now - d->limited >= CONC_UPDATE_NS)
		disp_conc_set(d, now);
	disp_cold_ask(d, now);
	disp_peek_silent(d, now);
	disp_sort_late(d);
	for (i = 0; i < QUEUES; i++)
		disp_expire(d, i, now);
	pick_tick(&set, d->params.chart, now);
	if (d->params.policy->paced)
		disp_move(d, now);
	else if (d->params.policy->holds)
		disp_stop_stuck(d, now);
	disp_serve(d);
	for (i = 0; i < QUEUES && disp_usable(d) == 0; i++)
		disp_give_up_all(d, i);
}

unsigned
disp_inflight(const struct disp *d)
{
	return d->out.length;
}
