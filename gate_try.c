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

#include "libreq.h"
#include "slog.h"

/*
 * An attempt of a request: at a backend server, if this gate owns the shard, or
 * at another gate.  When the flow reports how the attempt goes, this file
 * decides whether the request is answered or retried.
 */

enum { LOST_ATTEMPTS = 2 };

/*
 * An error response or refusal of a backend server with less time left than
 * this means that the server has reached the deadline.
 */
#define AT_DEADLINE_NS (10 * NS_MS)

static void op_send(void *, struct disp_req *, struct pick_backend *);
static void op_forward(void *, struct disp_req *, struct str);
static void op_fail(void *, struct disp_req *, enum err_kind, int64_t);
static void op_stop(void *, struct disp_req *);
static void op_query_load(void *, struct pick_backend *);
static void op_crashed(void *, const struct pick_backend *, unsigned);
static void op_release(void *, struct pick_backend *);
static enum disp_outcome
outcome_of(const struct gate_req *, int, const h2o_header_t *, size_t);

const struct disp_ops gate_req_disp_ops = {op_send, op_forward, op_fail,
    op_stop, op_query_load, op_crashed, op_release, NULL};

static const char *const violation_names[VIOLATION_MAX] = {
    "none", "quota", "rest", "leaving"};

static struct gate_req *
req_of(struct disp_req *d)
{
	return (struct gate_req *)((char *)d - offsetof(struct gate_req, disp));
}

/* A request that must not be repeated is sent on a new connection. */
static void
op_send(void *ctx, struct disp_req *d, struct pick_backend *b)
{
	struct gate_req *r = req_of(d);

	(void)ctx;
	if (gate_next_is_due(r)) {
		gate_next_assign_server(r, b);
		return;
	}
	slog_decision(SLOG_PICK, "sent",
	    "id=%.*s print=" FPRINT_FMT
	    " service=%.*s backend=%.*s in_use=%d limit=%d slots=%d "
	    "pace=%d "
	    "pace_age_ms=%lld held_us=%lld left_ms=%lld waited_ms=%lld "
	    "tries=%d conf=%llu "
	    "conf_age_ms=%lld a_second=%.2f against=%s over_share=%d",
	    STR_ARG(r->request_id), FPRINT_ARG(r->disp.fingerprint),
	    STR_ARG(r->service), STR_ARG(b->name), b->inflight - 1,
	    pick_slot_limit(b), b->slots, b->reported_latency_percent,
	    b->reported_at == 0
		? -1LL
		: (long long)((d->sent_at - b->reported_at) / NS_MS),
	    (long long)((d->sent_at - r->arrived_at) / NS_US),
	    (long long)((d->deadline - d->sent_at) / NS_MS),
	    (long long)r->waited_ms, d->attempt_count,
	    (unsigned long long)r->conf_version,
	    (long long)sync_age_ms(&r->gate->sync), b->quota.rate,
	    violation_names[d->violation], d->over_share);
	cnt_add(
	    r->gate->cnt, GC_REPORT_OVERRIDDEN, d->violation != VIOLATION_NONE);
	cnt_add(r->gate->cnt, GC_OVER_SHARE_SENT, d->over_share);
	cnt_sample(r->gate->cnt, GC_QUEUE_TIME, d->sent_at - r->arrived_at);
	gate_flow_send(r, b->address, !d->repeatable);
}

static void
op_forward(void *ctx, struct disp_req *d, struct str hall)
{
	struct gate_req *r = req_of(d);
	const struct route_service *service;
	const struct gate_peer *next;
	bool self;

	(void)ctx;
	r->disp.can_forward = false;
	gate_req_set_hall(r, hall);
	r->owner =
	    gate_owner_in_regions(r->gate, r->service, hall, r->regions, &self);
	if (!self && gate_next_is_due(r)) {
		next = r->owner;
		r->owner = NULL;
		self = r->is_last_owner || next->info.leaving;
		if (!self) {
			gate_next_name_owner(r, r->hall, next);
			return;
		}
	}
	if (!self) {
		gate_attempt_forward(r);
		return;
	}
	service = route_service(r->gate->routes, r->service);
	if (service == NULL) {
		gate_respond(r, ERR_NO_SERVICE, gate_req_ran(r), 0);
		return;
	}
	r->shard = gate_conf_shard(r->gate, service, r->hall);
	disp_submit(r->shard->disp, &r->disp);
}

static void
op_fail(void *ctx, struct disp_req *d, enum err_kind kind, int64_t retry_after)
{
	struct gate_req *r = req_of(d);

	(void)ctx;
	gate_respond(r, kind, gate_req_ran(r), retry_after);
}

/*
 * Only requests that may be repeated are stopped, and only before any part of
 * their response has come.
 */
static void
op_stop(void *ctx, struct disp_req *d)
{
	struct gate_req *r = req_of(d);
	struct gate_shard *s = ctx;

	slog_decision(SLOG_PICK, "attempt stopped as too slow",
	    "id=%.*s backend=%.*s out_ms=%lld work_ms=%lld owner=%d "
	    "queued=%u",
	    STR_ARG(r->request_id), STR_ARG(d->backend->name),
	    (long long)((clk_ns(r->gate->clk) - d->sent_at) / NS_MS),
	    (long long)(d->service_time / NS_MS), s->is_owner,
	    disp_queued(s->disp));
	r->stopped++;
	r->maybe_ran = true;
	gate_flow_stop(r);
	gate_req_event(r, REQ_EV_RETRY);
	cnt_add(r->gate->cnt, GC_ATTEMPTS_STOPPED, 1);
	if (!disp_attempt_done(s->disp, d, DISP_STOPPED_SLOW))
		gate_respond(r, ERR_DEADLINE, RAN_UNKNOWN, 0);
}

static void
op_query_load(void *ctx, struct pick_backend *b)
{
	gate_load_query_start(ctx, b);
}

static void
op_crashed(void *ctx, const struct pick_backend *b, unsigned inflight)
{
	struct gate_shard *s = ctx;

	cnt_add(s->gate->cnt, GC_SERVERS_CRASHED, 1);
	slog(SLOG_PICK, "a backend server ended with requests there",
	    "service=%.*s backend=%.*s requests=%u", STR_ARG(s->service),
	    STR_ARG(b->name), inflight);
	gate_poison_tick(s->gate, clk_ns(s->gate->clk));
}

static void
op_release(void *ctx, struct pick_backend *b)
{
	(void)ctx;
	(void)b;
}

/*
 * Forwards the request to r->owner.  A gate that leaves closes connections that
 * are idle, which a request could cross, so it gets one of its own.
 */
void
gate_attempt_forward(struct gate_req *r)
{
	struct gate_peer *p = r->owner;

	r->forwards++;
	if (p->outstanding++ == 0)
		p->last_seen = clk_ns(r->gate->clk);
	cnt_add(r->gate->cnt, GC_FORWARDED_OUT, 1);
	slog_decision(SLOG_ROUTE, "forwarded to its owner",
	    "id=%.*s rule=%.*s service=%.*s box=%.*s hall=%.*s hops=%d "
	    "tries=%d left_ms=%lld conf=%llu conf_age_ms=%lld",
	    STR_ARG(r->request_id), STR_ARG(r->rule), STR_ARG(r->service),
	    STR_ARG(p->info.box), STR_ARG(p->info.hall), r->hops,
	    r->disp.attempt_count,
	    (long long)((r->disp.deadline - clk_ns(r->gate->clk)) / NS_MS),
	    (unsigned long long)r->conf_version,
	    (long long)sync_age_ms(&r->gate->sync));
	gate_flow_send(r, p->info.forward_address, p->info.leaving);
}

void
gate_attempt_leave_owner(struct gate_req *r)
{
	if (r->owner == NULL)
		return;
	r->owner->outstanding--;
	r->owner = NULL;
	r->at_deputy = false;
}

static bool
is_at_deadline(const struct gate_req *r)
{
	return r->disp.deadline - clk_ns(r->gate->clk) < AT_DEADLINE_NS;
}

/*
 * A request with a 5xx response may have run, unless the backend server states
 * that it refused the request before running it.  Another gate states that in
 * the dialect fern_dialect.
 */
static enum disp_outcome
outcome_of(
    const struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	const struct dialect *dialect =
	    r->owner != NULL ? &fern_dialect : r->gate->dialect;

	if (dialect->address_reassigned(status, headers, n))
		return DISP_WRONG_INSTANCE;
	if (dialect->not_executed(status, headers, n))
		return DISP_REFUSED;
	if (status < 500)
		return DISP_OK;
	return is_at_deadline(r) ? DISP_TIMED_OUT : DISP_SERVER_ERROR;
}

/*
 * Returns the error for which the owner itself answered; ERR_NONE if the
 * response is that of a backend server.
 */
static enum err_kind
owner_error(const h2o_header_t *headers, size_t n)
{
	struct str name = dial_find_header(headers, n, STR_LIT("fern-error"));

	return name.n > 0 ? err_by_name(name) : ERR_NONE;
}

/*
 * Returns whether the owner could not schedule the request, so that this gate
 * is to route it again.
 */
static bool
owner_declined(enum err_kind kind)
{
	static const enum err_kind kinds[] = {
	    ERR_LEAVING, ERR_NOT_READY, ERR_NO_RULE, ERR_NO_SERVICE};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (kind == kinds[i])
			return true;
	return false;
}

/*
 * Returns whether the other hall has no usable backend servers, but this one
 * has some by now.
 */
static bool
is_usable_here_only(const struct gate_req *r, enum err_kind kind)
{
	return kind == ERR_NO_BACKEND && r->shard != NULL &&
	    disp_usable_backends(r->shard->disp) > 0;
}

/*
 * Another hall has refused the request, and this one is to serve it: it is not
 * forwarded there again by a report that is out of date.
 */
static void
return_from_hall(struct gate_req *r)
{
	if (str_eq(r->hall, r->shard->hall))
		return;
	disp_set_hall_unusable(r->shard->disp, r->hall);
	gate_req_set_hall(r, r->shard->hall);
}

/*
 * Returns whether the deputy of this gate's shard refused the request because
 * it reaches no backend server either.
 */
static bool
deputy_failed(
    const struct gate_req *r, enum err_kind kind, enum disp_outcome outcome)
{
	return kind == ERR_NO_BACKEND && outcome == DISP_REFUSED &&
	    r->at_deputy;
}

bool
gate_attempt_route_again(struct gate_req *r)
{
	gate_req_event(r, REQ_EV_RETRY);
	cnt_add(r->gate->cnt, GC_RETRIES, 1);
	gate_req_route(r);
	return true;
}

/*
 * Returns whether a request that the owner refused is to be routed again.
 */
static bool
can_route_again(
    const struct gate_req *r, enum err_kind kind, enum disp_outcome outcome)
{
	return r->forwards <= HOPS_MAX &&
	    (owner_declined(kind) || is_usable_here_only(r, kind) ||
		deputy_failed(r, kind, outcome));
}

/*
 * Answers a request that may have run before its owner refused it.  A gate that
 * gets the refusal of one that could not schedule it would route it again and
 * forget these attempts, so another kind is told then.
 */
static bool
end_refused_by_owner(struct gate_req *r, enum err_kind kind)
{
	gate_attempt_leave_owner(r);
	if (kind == ERR_NONE)
		kind = ERR_REFUSED;
	gate_respond(r, owner_declined(kind) ? ERR_BUSY : kind, RAN_UNKNOWN, 0);
	return true;
}

/*
 * What an owner says of a refusal is about itself: it may not know of attempts
 * before it.  A response that the request may have run is final.
 */
static bool
head_from_owner(
    struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	enum disp_outcome outcome = outcome_of(r, status, headers, n);
	enum err_kind kind = owner_error(headers, n);

	r->owner->last_seen = clk_ns(r->gate->clk);
	gate_deputy_responded(r, kind);
	if (outcome != DISP_REFUSED)
		r->maybe_ran = true;
	if (kind == ERR_LEAVING && gate_next_take(r, headers, n))
		return true;
	if (outcome != DISP_REFUSED)
		return kind != ERR_NONE && gate_kept_resume(r);
	if (!can_route_again(r, kind, outcome)) {
		if (r->maybe_ran)
			return end_refused_by_owner(r, kind);
		r->response_not_run = true;
		return false;
	}
	if (kind == ERR_LEAVING)
		gate_owner_avoid(r->gate, r->owner);
	if (is_usable_here_only(r, kind))
		return_from_hall(r);
	gate_attempt_leave_owner(r);
	return gate_attempt_route_again(r);
}

/*
 * A refusal is not sent to the caller as it is, since whether the request ran
 * depends on its earlier attempts too.
 */
static bool
end_refused(struct gate_req *r, enum disp_outcome outcome)
{
	gate_req_event(r, REQ_EV_RETRY);
	disp_attempt_done(r->shard->disp, &r->disp, outcome);
	gate_respond(r, ERR_REFUSED, gate_req_ran(r),
	    disp_refused_retry_after(r->shard->disp, &r->disp));
	return true;
}

bool
gate_attempt_head(
    struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	enum disp_outcome outcome;
	bool is_error;

	if (r->owner != NULL)
		return head_from_owner(r, status, headers, n);
	if (r->disp.backend == NULL)
		return gate_next_head(r, outcome_of(r, status, headers, n));
	gate_report_from_response(r, status, headers, n);
	outcome = outcome_of(r, status, headers, n);
	if (outcome == DISP_OK)
		return false;
	/* Another server could not finish it, but could begin to run it. */
	if (is_at_deadline(r))
		r->disp.can_retry = false;
	is_error = outcome == DISP_SERVER_ERROR || outcome == DISP_TIMED_OUT;
	r->maybe_ran = r->maybe_ran || is_error;
	r->response_not_run = outcome == DISP_REFUSED && !r->maybe_ran;
	if (!disp_can_retry(r->shard->disp, &r->disp, outcome)) {
		if (!is_error && r->gate->dialect->status_means_not_run)
			return end_refused(r, outcome);
		disp_attempt_done(r->shard->disp, &r->disp, outcome);
		return false;
	}
	gate_req_event(r, REQ_EV_RETRY);
	disp_attempt_done(r->shard->disp, &r->disp, outcome);
	slog_decision(SLOG_PICK, "tried again",
	    "id=%.*s why=%s status=%d tries=%d", STR_ARG(r->request_id),
	    outcome == DISP_SERVER_ERROR ? "failed" : "refused", status,
	    r->disp.attempt_count);
	cnt_add(r->gate->cnt, GC_RETRIES, 1);
	return true;
}

/* The response is complete; frees the slot. */
void
gate_attempt_done(struct gate_req *r)
{
	if (r->owner != NULL)
		r->owner->last_seen = clk_ns(r->gate->clk);
	gate_attempt_leave_owner(r);
	gate_admit_answered(r);
	gate_next_end(r, DISP_OK);
	if (r->disp.backend != NULL)
		disp_attempt_done(r->shard->disp, &r->disp, DISP_OK);
}

/*
 * Counts the attempts of a request at an owner that was lost.  The owner may
 * have sent it to a backend server and moved it to a second one.  Whether they
 * were charged to a retry budget is not known, so they count as not charged.
 */
static void
count_lost_attempts(struct gate_req *r)
{
	r->maybe_ran = true;
	r->disp.attempt_count += LOST_ATTEMPTS;
	r->disp.budget_charged = false;
}

/* Returns whether the request may be sent to one more backend server. */
static bool
has_attempts_left(const struct gate_req *r)
{
	return r->disp.max_attempts == 0 ||
	    r->disp.attempt_count < r->disp.max_attempts;
}

static void
owner_failed(struct gate_req *r, enum err_kind kind)
{
	struct gate_peer *p = r->owner;

	/*
	 * An owner closes the connection of a response that its backend server
	 * breaks off or has not completed at the deadline.
	 */
	if (r->response_started) {
		gate_attempt_leave_owner(r);
		return;
	}
	gate_deputy_responded(r, kind);
	gate_attempt_leave_owner(r);
	gate_owner_suspect(r->gate, p,
	    kind == ERR_CONNECT ? "no connection" : "the connection broke");
	if (kind != ERR_CONNECT)
		count_lost_attempts(r);
	if (kind != ERR_CONNECT && !has_attempts_left(r))
		gate_respond(r, kind, RAN_UNKNOWN, 0);
	else if ((kind == ERR_CONNECT || r->disp.repeatable) &&
	    r->forwards <= HOPS_MAX)
		gate_attempt_route_again(r);
	else
		gate_respond(r, kind, gate_req_ran(r), 0);
}

/*
 * Logs that a connection to a backend server broke.  The lines of the other
 * requests that were there tell whether the server has crashed or only this
 * connection broke.
 */
static void
log_broken_attempt(struct gate_req *r, enum err_kind kind)
{
	const struct pick_backend *b = r->disp.backend;

	cnt_add(r->gate->cnt, GC_ATTEMPTS_BROKEN, 1);
	slog_decision(SLOG_PICK, "connection lost",
	    "id=%.*s print=" FPRINT_FMT " why=%s service=%.*s backend=%.*s "
	    "out_ms=%lld beside=%d tries=%d",
	    STR_ARG(r->request_id), FPRINT_ARG(r->disp.fingerprint),
	    err_lookup(kind)->name, STR_ARG(r->service), STR_ARG(b->name),
	    (long long)((clk_ns(r->gate->clk) - r->disp.sent_at) / NS_MS),
	    b->inflight - 1, r->disp.attempt_count);
}

void
gate_attempt_failed(struct gate_req *r, enum err_kind kind)
{
	enum disp_outcome outcome =
	    kind == ERR_CONNECT ? DISP_CONNECT_FAILED : DISP_CONN_BROKEN;
	bool retried;

	if (r->owner != NULL) {
		owner_failed(r, kind);
		return;
	}
	if (r->disp.backend == NULL) {
		gate_next_failed(r, kind);
		return;
	}
	if (kind != ERR_CONNECT)
		r->maybe_ran = true;
	log_broken_attempt(r, kind);
	r->disp.can_retry = !r->response_started;
	if (!r->response_started)
		gate_req_event(r, REQ_EV_RETRY);
	retried = disp_attempt_done(r->shard->disp, &r->disp, outcome);
	if (retried)
		cnt_add(r->gate->cnt, GC_RETRIES, 1);
	else if (!r->response_started)
		gate_respond(r, kind, gate_req_ran(r), 0);
}

void
gate_attempt_stop(struct gate_req *r, enum disp_outcome outcome)
{
	gate_flow_stop(r);
	gate_attempt_leave_owner(r);
	gate_next_end(r, outcome);
	r->disp.can_retry = false;
	if (r->disp.queued)
		disp_cancel(r->shard->disp, &r->disp);
	if (r->disp.backend != NULL)
		disp_attempt_done(r->shard->disp, &r->disp, outcome);
}

void
gate_attempt_abandon(struct gate_req *r, enum disp_outcome outcome)
{
	gate_kept_end(r);
	gate_attempt_stop(r, outcome);
}

/*
 * Returns whether a request is to be routed again as its owner does not answer.
 * The owner may only be slow: a request that has no attempts left, or that was
 * refused elsewhere, stays there, as its response may still come.
 */
static bool
may_reroute(const struct gate_req *r)
{
	if (!r->disp.repeatable || r->response_started || r->was_kept ||
	    r->forwards > HOPS_MAX)
		return false;
	return r->state != REQ_SENT || r->disp.max_attempts == 0 ||
	    r->disp.attempt_count + LOST_ATTEMPTS < r->disp.max_attempts;
}

/*
 * Returns whether the attempt at an owner goes on while the request is routed
 * again.  The owner may use all attempts that its rule allows, so there must be
 * no limit of them.
 */
static bool
may_keep(const struct gate_req *r)
{
	return r->state == REQ_SENT && !r->at_deputy && r->kept_call == NULL &&
	    r->disp.max_attempts == 0;
}

/*
 * An owner answers no ping: requests there that may be repeated are routed
 * again.  Attempts there go on if may_keep().
 */
void
gate_req_owner_lost(struct gate *g, struct gate_peer *p)
{
	GPtrArray *rerouted = g_ptr_array_new();
	struct gate_req *r;
	GList *link;
	guint i;

	for (link = g->reqs.head; link != NULL; link = link->next) {
		r = link->data;
		if (r->owner == p && may_reroute(r))
			g_ptr_array_add(rerouted, r);
	}
	for (i = 0; i < rerouted->len; i++) {
		r = g_ptr_array_index(rerouted, i);
		if (r->state == REQ_SENT)
			count_lost_attempts(r);
		if (may_keep(r))
			gate_kept_begin(r);
		gate_flow_stop(r);
		gate_attempt_leave_owner(r);
		gate_attempt_route_again(r);
	}
	g_ptr_array_free(rerouted, TRUE);
}
