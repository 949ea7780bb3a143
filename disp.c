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

/* A try is stopped after so many times its usual length, and no sooner. */
#define STOP_MIN_NS (40 * NS_MS)

enum { TRIES_MAX = 4, STOP_FACTOR = 4 };

/* What each outcome means. */
static const struct {
	bool not_run; /* it surely did not run */
	bool bad; /* it speaks against the backend server */
	bool good; /* it speaks for it */
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

static bool serve_class(struct disp *, enum obj_class);
static bool start(struct disp *, struct disp_req *);
static void hold(struct disp *, struct disp_req *);
static void drop(struct disp *, struct disp_req *, enum err_kind, int64_t);
static int64_t expected_wait(const struct disp *, enum obj_class);
static void expire(struct disp *, enum obj_class, int64_t);
static void refresh_oldest(struct disp *, struct pick_backend *);

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
	g_queue_init(&d->out);
	for (i = 0; i < CLASS_MAX; i++)
		queue_init(&d->queues[i]);
	return d;
}

void
disp_free(struct disp *d)
{
	guint i;

	disp_set_free(d);
	for (i = 0; i < d->remotes->len; i++)
		str_free(&g_array_index(d->remotes, struct disp_remote_hall, i)
			      .hall);
	for (i = 0; i < CLASS_MAX; i++)
		queue_clear(&d->queues[i]);
	g_array_free(d->remotes, TRUE);
	g_free(d);
}

void
disp_configure(struct disp *d, const struct disp_params *params)
{
	d->params = *params;
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
	double pace = 0;
	guint i;

	ahead = (int64_t)d->queues[CLASS_INTERACTIVE].n;
	if (cls == CLASS_BULK)
		ahead += (int64_t)d->queues[CLASS_BULK].n;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!pick_usable(b, now))
			continue;
		usual = b->usual == 0 ? USUAL_UNKNOWN_NS : b->usual;
		pace += (double)b->slots / (double)usual;
	}
	return pace == 0 ? 0 : (int64_t)((double)ahead / pace);
}

static void
drop(struct disp *d, struct disp_req *r, enum err_kind kind, int64_t after)
{
	d->ops.give_up(d->ops.ctx, r, kind, after);
}

static void
hold(struct disp *d, struct disp_req *r)
{
	r->held = true;
	r->item.deadline = r->deadline;
	r->item.data = r;
	queue_push(&d->queues[r->cls], &r->item);
}

static void
unhold(struct disp *d, struct disp_req *r)
{
	queue_remove(&d->queues[r->cls], &r->item);
	r->held = false;
}

/* Try to start a request now; false if it has to wait. */
static bool
start(struct disp *d, struct disp_req *r)
{
	struct pick_set set = disp_set_of(d);
	int64_t now = clk_ns(d->clk);
	struct pick_backend *b;
	int at;

	at = d->params.policy->choose(&set, r->cls, r->avoid, now, d->rnd);
	if (at == PICK_NONE)
		return false;
	b = set.v[at];
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
	d->ops.send(d->ops.ctx, r, b);
	return true;
}

void
disp_arrive(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), wait;

	if (now >= r->deadline) {
		drop(d, r, ERR_DEADLINE, 0);
		return;
	}
	if (!limit_take(&d->limit, d->params.rate, now)) {
		drop(d, r, ERR_OVER_LIMIT, 0);
		return;
	}
	retry_budget_pay(&d->budget, d->params.retry_percent);
	if (d->queues[r->cls].n == 0 && start(d, r))
		return;
	wait = expected_wait(d, r->cls);
	if (disp_pass(d, r) || disp_pass_to_shorter(d, r, wait))
		return;
	if (disp_usable(d) == 0) {
		drop(d, r, ERR_NO_BACKEND, 0);
		return;
	}
	if ((int64_t)d->queues[r->cls].n >= d->params.queue_max ||
	    now + wait >= r->deadline) {
		drop(d, r, ERR_BUSY, MAX(wait, NS_S));
		return;
	}
	hold(d, r);
}

static bool
serve_class(struct disp *d, enum obj_class cls)
{
	struct queue_item *item = queue_first(&d->queues[cls]);
	struct disp_req *r;

	if (item == NULL)
		return false;
	r = item->data;
	unhold(d, r);
	if (start(d, r) || disp_pass(d, r))
		return true;
	hold(d, r);
	return false;
}

/*
 * Serve what is held, the interactive ones first.  A callback may end a
 * request and so bring us here again; one level then looks twice.
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
		while (serve_class(d, CLASS_INTERACTIVE))
			;
		if (d->queues[CLASS_INTERACTIVE].n > 0)
			continue;
		while (serve_class(d, CLASS_BULK))
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

	b->oldest = 0;
	for (at = d->out.head; b->inflight > 0 && at != NULL; at = at->next) {
		r = at->data;
		if (r->at != b)
			continue;
		b->oldest = r->sent;
		return;
	}
}

static void
judge(struct disp *d, struct disp_req *r, struct pick_backend *b,
    enum disp_outcome outcome)
{
	struct pick_set set = disp_set_of(d);
	int64_t now = clk_ns(d->clk);

	if (outcomes[outcome].good)
		pick_good(b, d->params.chart, now - r->sent);
	else if (outcomes[outcome].bad)
		pick_bad(b, &set, d->params.chart, now, d->rnd);
	else if (outcome == DISP_REFUSED)
		pick_refused(b, now, d->rnd);
	else if (outcome == DISP_SLOW)
		pick_slow(b, now - r->sent);
	else if (outcome == DISP_MOVED)
		pick_drain(b, d->params.chart, true);
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
disp_retryable(
    const struct disp *d, const struct disp_req *r, enum disp_outcome outcome)
{
	if (outcome == DISP_OK || outcome == DISP_LATE || outcome == DISP_GONE)
		return false;
	if (!r->may_retry || clk_ns(d->clk) >= r->deadline)
		return false;
	if (r->attempts > 0 && r->tries >= r->attempts)
		return false;
	if (outcome == DISP_REFUSED)
		return true;
	if (!outcomes[outcome].not_run && !r->repeatable)
		return false;
	if (!outcomes[outcome].not_run && r->retried)
		return false;
	return r->tries < TRIES_MAX && retry_budget_has(&d->budget);
}

static bool
retry(struct disp *d, struct disp_req *r, enum disp_outcome outcome)
{
	if (!disp_retryable(d, r, outcome))
		return false;
	if (outcome != DISP_REFUSED)
		retry_budget_take(&d->budget);
	hold(d, r);
	return true;
}

bool
disp_done(struct disp *d, struct disp_req *r, enum disp_outcome outcome)
{
	struct pick_backend *b = r->at;
	bool again;

	b->inflight--;
	b->inflight_bulk -= r->cls == CLASS_BULK;
	g_queue_unlink(&d->out, &r->link);
	r->at = NULL;
	r->avoid = b;
	if (b->oldest == r->sent || b->inflight == 0)
		refresh_oldest(d, b);
	judge(d, r, b, outcome);
	again = retry(d, r, outcome);
	disp_serve(d);
	if (b->gone)
		disp_sweep(d);
	return again;
}

void
disp_forget(struct disp *d, struct disp_req *r)
{
	if (r->held)
		unhold(d, r);
}

/* Nothing can be used any more: what is held need not wait for that. */
static void
give_up_all(struct disp *d, enum obj_class cls)
{
	struct queue_item *item;
	struct disp_req *r;

	while ((item = queue_first(&d->queues[cls])) != NULL) {
		r = item->data;
		unhold(d, r);
		if (!disp_pass(d, r))
			drop(d, r, ERR_NO_BACKEND, 0);
	}
}

static void
expire(struct disp *d, enum obj_class cls, int64_t now)
{
	struct queue_item *item;
	struct disp_req *r;

	for (;;) {
		item = queue_first(&d->queues[cls]);
		if (item == NULL || item->deadline > now)
			return;
		r = item->data;
		unhold(d, r);
		drop(d, r, ERR_DEADLINE, 0);
	}
}

/*
 * A try that takes far longer than usual is stopped and begun elsewhere,
 * once for each request and within the retry budget, where that can be done
 * at once.  Bulk takes the time it takes.
 */
static bool
is_stuck(struct disp *d, const struct disp_req *r, int64_t now)
{
	const struct pick_backend *b = r->at;
	struct pick_set set = disp_set_of(d);
	int64_t limit = MAX(disp_usual(d) * STOP_FACTOR, STOP_MIN_NS);
	int at;

	if (now - r->sent <= limit || r->stopped ||
	    r->cls != CLASS_INTERACTIVE || !disp_retryable(d, r, DISP_SLOW))
		return false;
	at = d->params.policy->choose(&set, r->cls, b, now, d->rnd);
	return at != PICK_NONE && set.v[at] != b;
}

static struct disp_req *
first_stuck(struct disp *d, int64_t now)
{
	struct disp_req *r;
	GList *at;

	for (at = d->out.head; at != NULL; at = at->next) {
		r = at->data;
		if (now - r->sent <= STOP_MIN_NS)
			return NULL;
		if (is_stuck(d, r, now))
			return r;
	}
	return NULL;
}

/* Each stop changes the list, so it is looked through anew. */
static void
stop_stuck(struct disp *d, int64_t now)
{
	struct disp_req *r;

	while ((r = first_stuck(d, now)) != NULL) {
		r->stopped = true;
		d->ops.stop(d->ops.ctx, r);
	}
}

void
disp_tick(struct disp *d)
{
	struct pick_set set = disp_set_of(d);
	int64_t now = clk_ns(d->clk);
	int i;

	for (i = 0; i < CLASS_MAX; i++)
		expire(d, (enum obj_class)i, now);
	pick_tick(&set, d->params.chart, now);
	if (d->params.policy->holds)
		stop_stuck(d, now);
	for (i = 0; i < CLASS_MAX && disp_usable(d) == 0; i++)
		give_up_all(d, (enum obj_class)i);
	disp_serve(d);
}

unsigned
disp_inflight(const struct disp *d)
{
	return d->out.length;
}
