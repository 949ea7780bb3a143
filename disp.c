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

/* A try is stopped after so many times its usual length, and no sooner. */
#define STOP_MIN_NS (40 * NS_MS)

/* When a refused request may come back: no sooner, and no later. */
#define COME_BACK_MIN_NS (50 * NS_MS)
#define COME_BACK_NS (300 * NS_MS)
/* A pass to another hall and back takes about so long. */
#define PASS_COST_NS (5 * NS_MS)

/* Of a slow spell, until one was told. */
static const double SLOW_PACE_FIRST = 3;

enum {
	TRIES_MAX = 4,
	STOP_FACTOR = 4,
	WORK_GUESS = 4 /* of a target, where nothing is known of the work */
};

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

static bool serve_queue(struct disp *, int queue);
static bool start(struct disp *, struct disp_req *);
static void hold(struct disp *, struct disp_req *);
static void drop(struct disp *, struct disp_req *, enum err_kind, int64_t);
static int64_t expected_wait(const struct disp *, enum obj_class);
static void expire(struct disp *, int queue, int64_t);
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
	d->works = g_array_new(FALSE, TRUE, sizeof(struct disp_work));
	d->mean_pace = 1;
	d->slow_pace = SLOW_PACE_FIRST;
	g_queue_init(&d->out);
	for (i = 0; i < QUEUES; i++)
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
	for (i = 0; i < QUEUES; i++)
		queue_clear(&d->queues[i]);
	g_array_free(d->works, TRUE);
	g_array_free(d->remotes, TRUE);
	g_free(d);
}

void
disp_configure(struct disp *d, const struct disp_params *params)
{
	d->params = *params;
	d->budget.max = params->retry_max;
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

/* Can it be answered before its target, if it starts now? */
static bool
is_in_time(const struct disp_req *r, int64_t now)
{
	return r->target == 0 || now + r->work <= r->target;
}

/*
 * Requests that can be in time wait by the latest moment to start them; late
 * ones behind all of them, by their deadlines.
 */
static void
hold(struct disp *d, struct disp_req *r)
{
	r->held = true;
	r->queue = (int)r->cls;
	r->item.deadline = r->deadline;
	r->item.data = r;
	if (r->target != 0 && is_in_time(r, clk_ns(d->clk)))
		r->item.deadline = r->target - r->work;
	else if (r->target != 0)
		r->queue = QUEUE_LATE;
	queue_push(&d->queues[r->queue], &r->item);
}

static void
unhold(struct disp *d, struct disp_req *r)
{
	queue_remove(&d->queues[r->queue], &r->item);
	r->held = false;
}

/*
 * Is the request late at the best place here, and may be in time in another
 * hall that has room?
 */
static bool
is_better_elsewhere(const struct disp *d, const struct disp_req *r,
    const struct pick_backend *b, int64_t now)
{
	if (!d->params.policy->paced || !r->may_pass || r->target == 0 ||
	    r->work == 0 || !is_in_time(r, now + PASS_COST_NS))
		return false;
	return now + pace_time(b, r->work, d->mean_pace, now) > r->target;
}

/* Try to start a request now; false if it has to wait. */
static bool
start(struct disp *d, struct disp_req *r)
{
	struct pick_set set = disp_set_of(d);
	struct pick_want want = {r->cls, r->avoid, r->work};
	int64_t now = clk_ns(d->clk);
	struct pick_backend *b;
	int at;

	at = d->params.policy->choose(&set, &want, now, d->rnd);
	if (at == PICK_NONE)
		return false;
	b = set.v[at];
	if (is_better_elsewhere(d, r, b, now) && disp_pass(d, r))
		return true;
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
	disp_work_begin(d, r);
	d->ops.send(d->ops.ctx, r, b);
	return true;
}

/* The time until a slot is free for one more request, with all that wait. */
static int64_t
paced_wait(const struct disp *d)
{
	int64_t now = clk_ns(d->clk), work = d->mean_work;
	const struct pick_backend *b;
	double slots = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (pick_usable(b, now))
			slots += b->slots;
	}
	if (slots == 0)
		return 0;
	return (int64_t)((double)(d->queues[CLASS_INTERACTIVE].n + 1) *
	    (double)work * d->mean_pace / slots);
}

/*
 * May the request wait for a slot?  What would be late is refused at once,
 * with the time when to come back, while coming back can still be worth
 * something; it is worth more than a late answer, and spares the queue.
 */
static bool
may_wait(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), wait = paced_wait(d);
	int64_t end = now + wait + (int64_t)((double)r->work * d->mean_pace);

	r->judged = true;
	if (disp_usable(d) == 0) {
		drop(d, r, ERR_NO_BACKEND, COME_BACK_NS);
		return false;
	}
	if (end > r->deadline || (r->target != 0 && end > r->target)) {
		drop(d, r, ERR_BUSY,
		    CLAMP(wait, COME_BACK_MIN_NS, COME_BACK_NS));
		return false;
	}
	return true;
}

static void
arrive_paced(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk);

	r->work = disp_work_of(d, r->kind);
	if (r->work == 0 && r->target != 0)
		r->work = (r->target - now) / WORK_GUESS;
	if (disp_peek_first(d, r, now)) {
		hold(d, r);
		return;
	}
	if (d->queues[r->cls].n == 0 && start(d, r))
		return;
	if (disp_pass(d, r) || disp_pass_to_shorter(d, r, paced_wait(d)))
		return;
	if (may_wait(d, r))
		hold(d, r);
}

/* A request that was sent before, from another gate, counts as a retry. */
static bool
may_arrive(struct disp *d, struct disp_req *r)
{
	if (clk_ns(d->clk) >= r->deadline) {
		drop(d, r, ERR_DEADLINE, 0);
		return false;
	}
	if (!limit_take(&d->limit, d->params.rate, clk_ns(d->clk))) {
		drop(d, r, ERR_OVER_LIMIT, 0);
		return false;
	}
	if (r->tries == 0 || r->paid) {
		retry_budget_pay(&d->budget, d->params.retry_percent);
		return true;
	}
	if (!retry_budget_has(&d->budget)) {
		drop(d, r, ERR_CUT, 0);
		return false;
	}
	retry_budget_take(&d->budget);
	return true;
}

void
disp_arrive(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), wait;

	if (!may_arrive(d, r))
		return;
	if (d->params.policy->paced) {
		arrive_paced(d, r);
		return;
	}
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

/* What can no longer be in time makes way for what can. */
static void
sort_late(struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	struct queue_item *item;
	struct disp_req *r;

	for (;;) {
		item = queue_first(&d->queues[CLASS_INTERACTIVE]);
		r = item == NULL ? NULL : item->data;
		if (r == NULL || r->target == 0 || is_in_time(r, now))
			return;
		unhold(d, r);
		hold(d, r);
	}
}

static bool
serve_queue(struct disp *d, int queue)
{
	struct queue_item *item = queue_first(&d->queues[queue]);
	struct disp_req *r;

	if (item == NULL)
		return false;
	r = item->data;
	if (disp_peek_first(d, r, clk_ns(d->clk)))
		return false;
	unhold(d, r);
	if (start(d, r) || disp_pass(d, r))
		return true;
	if (d->params.policy->paced && !r->judged && !may_wait(d, r))
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
		sort_late(d);
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

	if (outcomes[outcome].good && d->params.policy->paced)
		disp_work_done(d, r, b, now);
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
    struct disp *d, const struct disp_req *r, enum disp_outcome outcome)
{
	if (outcome == DISP_OK || outcome == DISP_LATE || outcome == DISP_GONE)
		return false;
	if (!r->may_retry || clk_ns(d->clk) >= r->deadline)
		return false;
	if (r->attempts > 0 && r->tries >= r->attempts)
		return false;
	if (outcome == DISP_REFUSED)
		return r->attempts == 0 || retry_budget_has(&d->budget);
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
	if (outcome != DISP_REFUSED || r->attempts > 0)
		retry_budget_take(&d->budget);
	r->judged = true;
	r->paid = true;
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
give_up_all(struct disp *d, int queue)
{
	struct queue_item *item;
	struct disp_req *r;

	while ((item = queue_first(&d->queues[queue])) != NULL) {
		r = item->data;
		unhold(d, r);
		if (!disp_pass(d, r))
			drop(d, r, ERR_NO_BACKEND, COME_BACK_NS);
	}
}

/*
 * Those whose deadline has passed.  A late one is refused as soon as it
 * cannot be answered before its deadline any more: it has not run.
 */
static void
expire(struct disp *d, int queue, int64_t now)
{
	struct queue_item *item;
	struct disp_req *r;

	for (;;) {
		item = queue_first(&d->queues[queue]);
		r = item == NULL ? NULL : item->data;
		if (r == NULL)
			return;
		if (queue == QUEUE_LATE && now + r->work > r->deadline) {
			unhold(d, r);
			drop(d, r, ERR_BUSY, COME_BACK_MIN_NS);
		} else if (r->deadline <= now) {
			unhold(d, r);
			drop(d, r, ERR_DEADLINE, 0);
		} else {
			return;
		}
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
	struct pick_want want = {r->cls, b, r->work};
	int64_t limit = MAX(disp_usual(d) * STOP_FACTOR, STOP_MIN_NS);
	int at;

	if (now - r->sent <= limit || r->stopped ||
	    r->cls != CLASS_INTERACTIVE || !disp_retryable(d, r, DISP_SLOW))
		return false;
	at = d->params.policy->choose(&set, &want, now, d->rnd);
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

	sort_late(d);
	for (i = 0; i < QUEUES; i++)
		expire(d, i, now);
	pick_tick(&set, d->params.chart, now);
	if (d->params.policy->paced)
		disp_move(d, now);
	else if (d->params.policy->holds)
		stop_stuck(d, now);
	for (i = 0; i < QUEUES && disp_usable(d) == 0; i++)
		give_up_all(d, i);
	disp_serve(d);
}

unsigned
disp_inflight(const struct disp *d)
{
	return d->out.length;
}
