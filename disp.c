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
#include "disp.h"

/* A remote home's word is worth nothing after this long. */
#define REMOTE_FRESH_NS (1200 * NS_MS)
/* Passing to another hall must spare at least this much waiting. */
#define PASS_GAIN_NS (3 * NS_MS)
#define USUAL_UNKNOWN_NS (5 * NS_MS)
/* A try is stopped after so many times its usual length, and no sooner. */
#define STOP_MIN_NS (40 * NS_MS)

enum { TRIES_MAX = 4, REMOTE_SPARE = 1, STOP_FACTOR = 4 };

/* What another hall's home said last. */
struct remote {
	struct str hall;
	int slots; /* by configuration */
	int free, waiting;
	int64_t told; /* 0: never */
};

struct disp {
	struct disp_ops ops;
	const struct clk *clk;
	const struct rnd *rnd;
	struct disp_params params;
	GPtrArray *backends; /* struct pick_backend * */
	struct queue queues[CLASS_MAX];
	GArray *remotes; /* struct remote */
	struct retry_budget budget;
	struct limit limit;
	GQueue out; /* struct disp_req *, the longest out first */
	bool serving; /* serve() is under way */
	bool again; /* and must look once more */
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
};

static struct pick_set set_of(const struct disp *);
static void serve(struct disp *);
static bool serve_class(struct disp *, enum obj_class);
static bool start(struct disp *, struct disp_req *);
static bool pass(struct disp *, struct disp_req *);
static void hold(struct disp *, struct disp_req *);
static void drop(struct disp *, struct disp_req *, enum err_kind, int64_t);
static int64_t usual_of(const struct disp *);
static int64_t expected_wait(const struct disp *, enum obj_class);
static bool pass_to_shorter(struct disp *, struct disp_req *, int64_t);
static void expire(struct disp *, enum obj_class, int64_t);
static struct pick_backend *find(const struct disp *, struct str);
static void sweep(struct disp *);
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
	d->remotes = g_array_new(FALSE, TRUE, sizeof(struct remote));
	g_queue_init(&d->out);
	for (i = 0; i < CLASS_MAX; i++)
		queue_init(&d->queues[i]);
	return d;
}

static void
backend_free(struct disp *d, struct pick_backend *b)
{
	d->ops.release(d->ops.ctx, b);
	str_free(&b->name);
	str_free(&b->address);
	g_free(b);
}

void
disp_free(struct disp *d)
{
	guint i;

	for (i = 0; i < d->backends->len; i++)
		backend_free(d, g_ptr_array_index(d->backends, i));
	for (i = 0; i < d->remotes->len; i++)
		str_free(&g_array_index(d->remotes, struct remote, i).hall);
	for (i = 0; i < CLASS_MAX; i++)
		queue_clear(&d->queues[i]);
	g_ptr_array_free(d->backends, TRUE);
	g_array_free(d->remotes, TRUE);
	g_free(d);
}

void
disp_configure(struct disp *d, const struct disp_params *params)
{
	d->params = *params;
}

static struct pick_set
set_of(const struct disp *d)
{
	struct pick_set set = {(struct pick_backend **)d->backends->pdata,
	    d->backends->len, d->params.bulk_percent};

	return set;
}

static struct pick_backend *
find(const struct disp *d, struct str name)
{
	struct pick_backend *b;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!b->gone && str_eq(b->name, name))
			return b;
	}
	return NULL;
}

/* A backend server with another address is another backend server. */
static void
update(struct disp *d, const struct disp_backend *conf)
{
	struct pick_backend *b = find(d, conf->name);

	if (b != NULL && !str_eq(b->address, conf->address)) {
		b->gone = true;
		b = NULL;
	}
	if (b == NULL) {
		b = g_new0(struct pick_backend, 1);
		b->name = str_dup(conf->name);
		b->address = str_dup(conf->address);
		b->state = (enum pick_state)chart_start(d->params.chart);
		g_ptr_array_add(d->backends, b);
	}
	b->slots = conf->slots;
	if (b->drain_told != conf->drain)
		pick_drain(b, d->params.chart, conf->drain);
	b->drain_told = conf->drain;
}

static bool
listed(const struct disp_backend *v, unsigned n, struct str name)
{
	unsigned i;

	for (i = 0; i < n; i++)
		if (str_eq(v[i].name, name))
			return true;
	return false;
}

void
disp_backends(struct disp *d, const struct disp_backend *v, unsigned n)
{
	struct pick_backend *b;
	unsigned i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!listed(v, n, b->name))
			b->gone = true;
	}
	for (i = 0; i < n; i++)
		update(d, &v[i]);
	sweep(d);
	serve(d);
}

/* Free the backend servers that are gone and have answered all. */
static void
sweep(struct disp *d)
{
	struct pick_backend *b;
	guint i;

	for (i = d->backends->len; i-- > 0;) {
		b = g_ptr_array_index(d->backends, i);
		if (!b->gone || b->inflight > 0)
			continue;
		g_ptr_array_remove_index_fast(d->backends, i);
		backend_free(d, b);
	}
}

/*
 * What a request usually takes here: the mean over the backend servers, but
 * for those that are far slower than the fastest.
 */
static int64_t
usual_of(const struct disp *d)
{
	const struct pick_backend *b;
	int64_t sum = 0, least = 0;
	guint i, n = 0;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->usual > 0 && (least == 0 || b->usual < least))
			least = b->usual;
	}
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->usual == 0 || b->usual > least * STOP_FACTOR)
			continue;
		sum += b->usual;
		n++;
	}
	return n == 0 ? USUAL_UNKNOWN_NS : sum / n;
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
	struct pick_set set = set_of(d);
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

/* Is there room in another hall, as far as its home has told lately? */
static bool
has_room(const struct remote *m, int64_t now)
{
	return m->told != 0 && now - m->told <= REMOTE_FRESH_NS &&
	    m->waiting == 0 && m->free > REMOTE_SPARE;
}

/*
 * Pass to another hall whose home has room.  If nothing here can be used, a
 * hall that has slots will do, whatever its home said last.
 */
static bool
pass(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk);
	bool must = disp_usable(d) == 0;
	struct remote *m, *best = NULL;
	guint i;

	if (!r->may_pass || !d->params.policy->holds)
		return false;
	for (i = 0; i < d->remotes->len; i++) {
		m = &g_array_index(d->remotes, struct remote, i);
		if (m->slots == 0 || (!must && !has_room(m, now)))
			continue;
		if (best == NULL || m->free > best->free)
			best = m;
	}
	if (best == NULL)
		return false;
	best->free--;
	d->ops.pass(d->ops.ctx, r, best->hall);
	return true;
}

/*
 * Where all halls hold requests, a new one goes to a hall that would take it
 * much sooner, so that a surge ends everywhere at the same time.
 */
static bool
pass_to_shorter(struct disp *d, struct disp_req *r, int64_t wait)
{
	int64_t now = clk_ns(d->clk), usual = usual_of(d), there;
	struct remote *m, *best = NULL;
	int64_t best_wait = wait - 2 * PASS_GAIN_NS;
	guint i;

	if (!r->may_pass || !d->params.policy->holds)
		return false;
	for (i = 0; i < d->remotes->len; i++) {
		m = &g_array_index(d->remotes, struct remote, i);
		if (m->slots == 0 || m->told == 0 ||
		    now - m->told > REMOTE_FRESH_NS)
			continue;
		there = usual * (m->waiting + 1) / m->slots;
		if (there >= best_wait)
			continue;
		best_wait = there;
		best = m;
	}
	if (best == NULL)
		return false;
	best->waiting++;
	d->ops.pass(d->ops.ctx, r, best->hall);
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
	if (pass(d, r) || pass_to_shorter(d, r, wait))
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
	if (start(d, r) || pass(d, r))
		return true;
	hold(d, r);
	return false;
}

/*
 * Serve what is held, the interactive ones first.  A callback may end a
 * request and so bring us here again; one level then looks twice.
 */
static void
serve(struct disp *d)
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
	struct pick_set set = set_of(d);
	int64_t now = clk_ns(d->clk);

	if (outcomes[outcome].good)
		pick_good(b, d->params.chart, now - r->sent);
	else if (outcomes[outcome].bad)
		pick_bad(b, &set, d->params.chart, now, d->rnd);
	else if (outcome == DISP_REFUSED)
		pick_refused(b, now, d->rnd);
	else if (outcome == DISP_SLOW)
		pick_slow(b, now - r->sent);
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
	serve(d);
	if (b->gone)
		sweep(d);
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
		if (!pass(d, r))
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
	struct pick_set set = set_of(d);
	int64_t limit = MAX(usual_of(d) * STOP_FACTOR, STOP_MIN_NS);
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
	struct pick_set set = set_of(d);
	int64_t now = clk_ns(d->clk);
	int i;

	for (i = 0; i < CLASS_MAX; i++)
		expire(d, (enum obj_class)i, now);
	pick_tick(&set, d->params.chart, now);
	if (d->params.policy->holds)
		stop_stuck(d, now);
	for (i = 0; i < CLASS_MAX && disp_usable(d) == 0; i++)
		give_up_all(d, (enum obj_class)i);
	serve(d);
}

void
disp_drain_told(struct disp *d, struct pick_backend *b)
{
	pick_drain(b, d->params.chart, true);
}

/* A drain that its object tells is not undone by a probe. */
void
disp_health(struct disp *d, struct str backend, bool down, bool drain)
{
	struct pick_backend *b = find(d, backend);

	if (b == NULL)
		return;
	b->probe_down = down;
	if (drain)
		pick_drain(b, d->params.chart, true);
	else if (!down && !b->drain_told && b->state == PICK_DRAINING)
		pick_drain(b, d->params.chart, false);
	serve(d);
}

static struct remote *
remote_of(struct disp *d, struct str hall)
{
	struct remote *m, add = {0};
	guint i;

	for (i = 0; i < d->remotes->len; i++) {
		m = &g_array_index(d->remotes, struct remote, i);
		if (str_eq(m->hall, hall))
			return m;
	}
	add.hall = str_dup(hall);
	g_array_append_val(d->remotes, add);
	return &g_array_index(d->remotes, struct remote, d->remotes->len - 1);
}

void
disp_hall(struct disp *d, struct str hall, int slots)
{
	remote_of(d, hall)->slots = slots;
}

void
disp_remote(struct disp *d, struct str hall, int free, int waiting)
{
	struct remote *m = remote_of(d, hall);

	m->free = free;
	m->waiting = waiting;
	m->told = clk_ns(d->clk);
	serve(d);
}

void
disp_room(const struct disp *d, int *free, int *waiting)
{
	int64_t now = clk_ns(d->clk);
	guint i;

	*free = 0;
	*waiting = 0;
	for (i = 0; i < d->backends->len; i++)
		*free += pick_free(g_ptr_array_index(d->backends, i), now);
	for (i = 0; i < CLASS_MAX; i++)
		*waiting += (int)d->queues[i].n;
}

unsigned
disp_inflight(const struct disp *d)
{
	return d->out.length;
}

unsigned
disp_usable(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	unsigned n = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++)
		n += pick_usable(g_ptr_array_index(d->backends, i), now);
	return n;
}

void
disp_each(const struct disp *d, disp_visit_fn *visit, void *ctx)
{
	guint i;

	for (i = 0; i < d->backends->len; i++)
		visit(ctx, g_ptr_array_index(d->backends, i));
}
