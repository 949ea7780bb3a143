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
#include <stdio.h>
#include <sys/socket.h>

#include "libreq.h"
#include "slog.h"

/* A gate that passes a request on gives up a little before the deadline. */
enum { DEADLINE_MIN_MS = 1, HOPS_MAX = 2, DEFAULT_DEADLINE_MS = 5000 };

/* When one that came too early is to come back. */
#define EARLY_AGAIN_NS (200 * NS_MS)

/* A request that has waited so long is checked for its caller. */
#define CALLER_CHECK_NS (20 * NS_MS)

static void arrive(struct gate *, h2o_req_t *, bool passed);
static void admit(struct gate_req *, const struct route_rule *);
static void admit_passed(struct gate_req *);
static void on_dispose(void *);
static void on_deadline(void *);
static void on_claimed(void *, enum err_kind, bool);
static bool over_limit(struct gate_req *, const struct route_rule *);
static bool caller_gone(const struct gate_req *);
static const struct route_rule *match(struct gate *, const h2o_req_t *);

static const char *const state_names[] = {"new", "claiming", "held",
    "connecting", "sent", "streaming", "done", "broken"};
static const char *const event_names[] = {
    "claim", "hold", "try", "connected", "head", "retry", "end"};

const struct chart_names req_chart_names = {
    "request", state_names, REQ_STATE_MAX, event_names, REQ_EVENT_MAX};

/* Held by h2o's memory pool, so that its end tells us of the request's. */
struct guard {
	struct gate_req *r;
};

void
gate_req_event(struct gate_req *r, enum req_event ev)
{
	enum req_state old = r->state;

	r->state = (enum req_state)chart_step(
	    r->gate->chart_request, (int)r->state, (int)ev);
	if (r->state == REQ_BROKEN && old != REQ_BROKEN)
		slog(SLOG_GATE, "a state met an event that it must not meet",
		    "id=%.*s event=%s state=%s", STR_ARG(r->name),
		    event_names[ev], state_names[old]);
}

enum err_ran
gate_req_ran(const struct gate_req *r)
{
	if (r->maybe_ran || r->state == REQ_SENT || r->state == REQ_STREAMING ||
	    r->state == REQ_BROKEN)
		return RAN_UNKNOWN;
	return RAN_NO;
}

void
gate_req_caller(void *ctx, h2o_req_t *req)
{
	arrive(ctx, req, false);
}

void
gate_req_passed(void *ctx, h2o_req_t *req)
{
	struct gate *g = ctx;

	g->last_pass = clk_ns(g->clk);
	arrive(ctx, req, true);
}

static struct str
query_header(void *ctx, struct str name)
{
	const h2o_req_t *req = ctx;
	ssize_t at =
	    h2o_find_header_by_str(&req->headers, name.p, name.n, SIZE_MAX);

	if (at < 0)
		return str_c(NULL);
	return str_n(req->headers.entries[at].value.base,
	    req->headers.entries[at].value.len);
}

static const struct route_rule *
match(struct gate *g, const h2o_req_t *req)
{
	struct route_query q = {
	    .host = str_n(req->authority.base, req->authority.len),
	    .method = str_n(req->method.base, req->method.len),
	    .path = str_n(req->path.base, req->path.len),
	    .header = query_header,
	    .ctx = (void *)req,
	};
	const char *colon = memrchr(q.host.p, ':', q.host.n);

	if (colon != NULL)
		q.host.n = (size_t)(colon - q.host.p);
	return route_match(g->routes, &q);
}

/* As its caller names it, or else by our own count; a copy. */
static struct str
request_name(const struct gate *g, const h2o_req_t *req, uint64_t seq)
{
	struct str name = str_c(NULL);
	char number[24];

	if (g->dial->id.n > 0)
		name = hsrv_header(req, g->dial->id.p);
	if (name.n > 0)
		return str_dup(name);
	snprintf(number, sizeof(number), "%llu", (unsigned long long)seq);
	return str_dup(str_c(number));
}

static struct gate_req *
req_new(struct gate *g, h2o_req_t *req)
{
	struct gate_req *r = g_new0(struct gate_req, 1);
	struct guard *guard;

	guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard), on_dispose);
	guard->r = r;
	r->gate = g;
	r->req = req;
	r->id = ++g->seq;
	r->name = request_name(g, req, r->id);
	r->began = clk_ns(g->clk);
	r->state = (enum req_state)chart_start(g->chart_request);
	r->link.data = r;
	g_queue_push_tail_link(&g->reqs, &r->link);
	gate_tick_soon(g);
	h2o_doublebuffer_init(&r->sending, &h2o_socket_buffer_prototype);
	h2o_buffer_init(&r->rest, &h2o_socket_buffer_prototype);
	return r;
}

/* The gate has a configuration: what its rule says is found out now. */
static void
find_rule(struct gate_req *r)
{
	const struct route_rule *rule;

	if (r->passed) {
		admit_passed(r);
		return;
	}
	rule = match(r->gate, r->req);
	if (rule == NULL)
		gate_req_answer(r, ERR_NO_RULE, RAN_NO, 0);
	else
		admit(r, rule);
}

static void
on_too_early(void *ctx)
{
	struct gate_req *r = ctx;

	r->early = false;
	gate_req_answer(r, ERR_NOT_READY, RAN_NO, EARLY_AGAIN_NS);
}

static void
arrive(struct gate *g, h2o_req_t *req, bool passed)
{
	struct gate_req *r = req_new(g, req);

	r->passed = passed;
	cnt_add(g->cnt, passed ? GC_PASSED_IN : GC_REQUESTS, 1);
	if (gate_box_leaving(g))
		req->http1_is_persistent = 0;
	if (g->state != BOX_EMPTY) {
		find_rule(r);
		return;
	}
	if (g->set.early_ms == 0) {
		gate_req_answer(r, ERR_NOT_READY, RAN_NO, 0);
		return;
	}
	r->early = true;
	tmr_set(&g->tmr, &r->timer, r->began + g->set.early_ms * NS_MS,
	    on_too_early, r);
}

/* The first configuration is here: serve what came before it. */
void
gate_req_admit_early(struct gate *g)
{
	GPtrArray *early = g_ptr_array_new();
	struct gate_req *r;
	GList *at;
	guint i;

	for (at = g->reqs.head; at != NULL; at = at->next) {
		r = at->data;
		if (r->early)
			g_ptr_array_add(early, r);
	}
	for (i = 0; i < early->len; i++) {
		r = g_ptr_array_index(early, i);
		r->early = false;
		find_rule(r);
	}
	g_ptr_array_free(early, TRUE);
}

/* The caller's own deadline counts where it is the shorter one. */
static int64_t
shorter_deadline(const struct gate_req *r, int64_t own)
{
	unsigned long long ms;

	if (str_u64(hsrv_header(r->req, r->gate->dial->deadline.p), &ms) &&
	    (int64_t)ms < own)
		own = MAX((int64_t)ms, DEADLINE_MIN_MS);
	return r->began + own * NS_MS;
}

static int64_t
deadline_of(const struct gate_req *r, const struct route_rule *rule,
    const struct route_service *svc)
{
	int64_t own = rule->obj->deadline_ms;

	if (own == 0)
		own = svc->obj->deadline_ms;
	return shorter_deadline(r, own);
}

/*
 * A request that another gate passed to us: what its rule says was found
 * there, so that both gates agree even while their configurations differ.
 */
static void
admit_passed(struct gate_req *r)
{
	struct gate *g = r->gate;
	struct gate_pass pass;
	const struct route_service *svc;

	if (!gate_pass_read(hsrv_header(r->req, GATE_PASS_HEADER), &pass)) {
		gate_req_answer(r, ERR_BAD_REQUEST, RAN_NO, 0);
		return;
	}
	svc = route_service(g->routes, pass.service);
	if (svc == NULL) {
		gate_req_answer(r, ERR_NO_SERVICE, RAN_NO, 0);
		return;
	}
	r->hops = (int)MIN(pass.hops, HOPS_MAX);
	r->service = str_dup(svc->name);
	r->d.cls = pass.bulk ? CLASS_BULK : CLASS_INTERACTIVE;
	r->d.repeatable = pass.repeatable;
	r->d.may_retry = true;
	r->d.retried = pass.retried;
	r->d.tries = (int)pass.tries;
	r->d.paid = pass.paid;
	r->d.attempts = (int)pass.attempts;
	r->d.rank = (int)pass.rank;
	r->d.kind = pass.kind;
	r->maybe_ran = pass.retried;
	if (pass.target_ms > 0)
		r->d.target = r->began + pass.target_ms * NS_MS;
	r->d.deadline = shorter_deadline(r, svc->obj->deadline_ms);
	tmr_set(&g->tmr, &r->timer, r->d.deadline, on_deadline, r);
	gate_req_route(r);
}

static bool
rule_limited(struct gate_req *r, const struct route_rule *rule, double share)
{
	struct gate *g = r->gate;
	struct limit *l;

	if (rule->obj->rate == 0)
		return false;
	l = g_hash_table_lookup(g->rule_limits, rule->name.p);
	if (l == NULL) {
		l = g_new0(struct limit, 1);
		g_hash_table_insert(g->rule_limits, g_strdup(rule->name.p), l);
	}
	return !limit_take(l, (double)rule->obj->rate * share, r->began);
}

/* Who calls: by the rule's header, else by address; valid until *sa goes. */
static struct str
caller_of(const struct gate_req *r, const struct route_rule *rule,
    struct sockaddr_storage *sa)
{
	struct str caller = {0};

	if (rule->obj->caller_header.n > 0)
		caller = hsrv_header(r->req, rule->obj->caller_header.p);
	if (caller.n > 0)
		return caller;
	memset(sa, 0, sizeof(*sa));
	r->req->conn->callbacks->get_peername(
	    r->req->conn, (struct sockaddr *)sa);
	if (sa->ss_family == AF_INET6)
		return str_n(
		    (char *)&((struct sockaddr_in6 *)sa)->sin6_addr, 16);
	return str_n((char *)&((struct sockaddr_in *)sa)->sin_addr, 4);
}

static bool
caller_limited(struct gate_req *r, const struct route_rule *rule, double share)
{
	struct sockaddr_storage sa;
	struct str caller;
	char key[256];
	size_t n;

	if (rule->obj->caller_rate == 0)
		return false;
	caller = caller_of(r, rule, &sa);
	n = (size_t)snprintf(key, sizeof(key), "%.*s ", STR_ARG(rule->name));
	caller.n = MIN(caller.n, sizeof(key) - n);
	memcpy(key + n, caller.p, caller.n);
	return !limit_table_take(r->gate->caller_limits,
	    str_n(key, n + caller.n), (double)rule->obj->caller_rate * share,
	    r->began);
}

/* Each gate that serves enforces its share of the fleet's limits. */
static bool
over_limit(struct gate_req *r, const struct route_rule *rule)
{
	double share = 1.0 / MAX(r->gate->boxes, 1u);

	return rule_limited(r, rule, share) || caller_limited(r, rule, share);
}

/*
 * Limits and claims are for the gate where a request comes in; a home takes
 * both as done.
 */
static void
admit(struct gate_req *r, const struct route_rule *rule)
{
	struct gate *g = r->gate;
	struct str key = hsrv_header(r->req, "idempotency-key");
	struct str method = str_n(r->req->method.base, r->req->method.len);
	const struct route_service *svc = route_choose(rule, g->rnd);

	if (svc == NULL) {
		gate_req_answer(r, ERR_NO_SERVICE, RAN_NO, 0);
		return;
	}
	r->rule = str_dup(rule->name);
	r->service = str_dup(svc->name);
	r->keyed = key.n > 0;
	r->allow_outage = rule->obj->on_outage == OUTAGE_ALLOW;
	r->d.cls = (enum obj_class)rule->obj->cls;
	r->d.repeatable = route_repeatable(rule->obj, method, r->keyed);
	r->d.may_retry = true;
	r->d.retried = hsrv_header(r->req, "fern-retried").n > 0;
	r->d.attempts = (int)rule->obj->attempts;
	r->d.rank = (int)rule->obj->rank;
	r->d.kind = (unsigned)rule->obj->target_ms;
	if (rule->obj->target_ms > 0)
		r->d.target = r->began + rule->obj->target_ms * NS_MS;
	r->d.deadline = deadline_of(r, rule, svc);
	tmr_set(&g->tmr, &r->timer, r->d.deadline, on_deadline, r);
	if (over_limit(r, rule)) {
		gate_req_answer(r, ERR_OVER_LIMIT, RAN_NO, 0);
		return;
	}
	if (r->keyed) {
		gate_req_event(r, REQ_EV_CLAIM);
		r->claim = gate_claim_start(
		    g, r->rule, key, r->allow_outage, on_claimed, r);
		return;
	}
	gate_req_route(r);
}

static void
on_claimed(void *ctx, enum err_kind kind, bool claimed)
{
	struct gate_req *r = ctx;

	if (!claimed)
		r->claim = NULL;
	if (kind == ERR_NONE)
		gate_req_route(r);
	else
		gate_req_answer(
		    r, kind, kind == ERR_DUPLICATE ? RAN_UNKNOWN : RAN_NO, 0);
}

/* Bring the request to its service's home, which may be this gate. */
void
gate_req_route(struct gate_req *r)
{
	struct gate *g = r->gate;
	const struct route_service *svc = route_service(g->routes, r->service);
	struct str hall;
	bool self;

	gate_req_event(r, REQ_EV_HOLD);
	if (svc == NULL) {
		gate_req_answer(r, ERR_NO_SERVICE, gate_req_ran(r), 0);
		return;
	}
	hall =
	    g->set.route == ROUTE_ALONE ? str_c(NULL) : gate_home_hall(g, svc);
	if (r->hops > 0 || g->set.route == ROUTE_ALONE)
		self = true;
	else
		r->peer = gate_home(g, svc->name, hall, &self);
	if (!self && r->passes < HOPS_MAX + 1) {
		gate_try_home(r);
		return;
	}
	r->peer = NULL;
	r->shard = gate_conf_shard(g, svc, hall);
	r->d.may_pass = r->hops < HOPS_MAX && g->set.route == ROUTE_HOME;
	disp_arrive(r->shard->disp, &r->d);
}

/* What the claim comes to, once it is known how the request ended. */
void
gate_req_settle(struct gate_req *r, bool not_run)
{
	struct gate_claim *claim = r->claim;

	r->claim = NULL;
	if (claim == NULL)
		return;
	if (not_run)
		gate_claim_release(claim);
	else
		gate_claim_keep(claim);
}

static void
add_header(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t copy = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
	    1, NULL, copy.base, copy.len);
}

/* When to come back; whole seconds unless fractions are understood. */
static void
add_retry_after(struct gate_req *r, int64_t after)
{
	char num[24];

	if (after <= 0)
		return;
	if (r->gate->dial->fractions)
		snprintf(num, sizeof(num), "%.3f", (double)after / NS_S);
	else
		snprintf(num, sizeof(num), "%lld",
		    (long long)((after + NS_S - 1) / NS_S));
	add_header(r->req, "retry-after", num);
}

/* Our own answer: one kind, whether the request ran, when to come back. */
void
gate_req_answer(struct gate_req *r, enum err_kind kind, enum err_ran ran,
    int64_t retry_after)
{
	const struct err_row *a = err_answer(kind);
	const struct dial *dial = r->gate->dial;
	h2o_req_t *req = r->req;
	int status = a->status;
	char body[160];
	int n;

	if (r->state == REQ_DONE)
		return;
	gate_req_event(r, REQ_EV_END);
	r->early = false;
	tmr_clear(&r->gate->tmr, &r->timer);
	gate_req_settle(r, ran == RAN_NO);
	cnt_add(r->gate->cnt, GC_REFUSED, 1);
	if (dial->status_promises)
		status = err_promise_status(kind, ran);
	slog_decision(SLOG_ROUTE, "refused",
	    "id=%.*s why=%s ran=%s status=%d age_ms=%lld tries=%d "
	    "retry_after_ms=%lld rule=%.*s service=%.*s conf=%llu",
	    STR_ARG(r->name), a->name, err_ran_name(ran), status,
	    (long long)((clk_ns(r->gate->clk) - r->began) / NS_MS), r->d.tries,
	    (long long)(retry_after / NS_MS), STR_ARG(r->rule),
	    STR_ARG(r->service), (unsigned long long)r->gate->conf_version);
	if (req == NULL)
		return;
	add_header(req, "fern-error", a->name);
	add_header(req, "fern-ran", err_ran_name(ran));
	add_retry_after(
	    r, retry_after > 0 ? retry_after : a->retry_after_s * NS_S);
	n = snprintf(body, sizeof(body),
	    "{\"error\":\"%s\",\"ran\":\"%s\",\"text\":\"%s\"}\n", a->name,
	    err_ran_name(ran), a->sentence);
	hsrv_answer(req, status, "application/json", str_n(body, (size_t)n));
}

static void
on_deadline(void *ctx)
{
	struct gate_req *r = ctx;
	enum err_ran ran = gate_req_ran(r);

	gate_try_abandon(r, DISP_LATE);
	gate_req_answer(r, ERR_DEADLINE, ran, 0);
}

/* h2o lets go of the request: it is answered, or its caller went away. */
static void
on_dispose(void *p)
{
	struct guard *guard = p;
	struct gate_req *r = guard->r;
	struct gate *g = r->gate;
	bool not_run = gate_req_ran(r) == RAN_NO;

	r->req = NULL;
	tmr_clear(&g->tmr, &r->timer);
	if (r->state != REQ_DONE) {
		cnt_add(g->cnt, GC_GONE, 1);
		slog_decision(SLOG_ROUTE, "its caller went away",
		    "id=%.*s age_ms=%lld state=%s", STR_ARG(r->name),
		    (long long)((clk_ns(g->clk) - r->began) / NS_MS),
		    state_names[r->state]);
		gate_try_abandon(r, DISP_GONE);
		gate_req_event(r, REQ_EV_END);
	}
	gate_req_settle(r, not_run);
	g_queue_unlink(&g->reqs, &r->link);
	gate_flow_dispose(r);
	str_free(&r->rule);
	str_free(&r->service);
	str_free(&r->name);
	g_free(r);
}

/* HTTP/1 is not read while a request is under way, so look for its end. */
static bool
caller_gone(const struct gate_req *r)
{
	h2o_socket_t *sock;
	char byte;

	if (r->req->version >= 0x200)
		return false;
	sock = r->req->conn->callbacks->get_socket(r->req->conn);
	return sock != NULL &&
	    recv(h2o_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT) ==
	    0;
}

void
gate_req_tick(struct gate *g, int64_t now)
{
	struct gate_req *r;
	GList *at, *next;

	for (at = g->reqs.head; at != NULL; at = next) {
		next = at->next;
		r = at->data;
		if (r->state == REQ_DONE || r->started || r->req == NULL ||
		    now - r->began < CALLER_CHECK_NS || !caller_gone(r))
			continue;
		cnt_add(g->cnt, GC_GONE, 1);
		gate_try_abandon(r, DISP_GONE);
		gate_req_answer(r, ERR_GONE, gate_req_ran(r), 0);
	}
}

unsigned
gate_req_count(const struct gate *g)
{
	return g->reqs.length;
}

bool
gate_req_open(struct gate *g, GError **err)
{
	(void)err;
	g_queue_init(&g->reqs);
	g->caller_limits = limit_table_new(10000);
	g->rule_limits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return true;
}
