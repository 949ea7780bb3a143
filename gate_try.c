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

static void op_send(void *, struct disp_req *, struct pick_backend *);
static void op_forward(void *, struct disp_req *, struct str);
static void op_fail(void *, struct disp_req *, enum err_kind, int64_t);
static void op_stop(void *, struct disp_req *);
static void op_query_load(void *, struct pick_backend *);
static void op_crashed(void *, const struct pick_backend *, unsigned);
static void op_release(void *, struct pick_backend *);
static enum disp_outcome
outcome_of(const struct gate_req *, int, const h2o_header_t *, size_t);
static void leave_owner(struct gate_req *);

const struct disp_ops gate_req_disp_ops = {op_send, op_forward, op_fail,
    op_stop, op_query_load, op_crashed, op_release, NULL};

static const char *const violation_names[AGAINST_MAX] = {
    "none", "quota", "rest", "leaving"};

static struct gate_req *
req_of(struct disp_req *d)
{
	return (struct gate_req *)((char *)d - offsetof(struct gate_req, d));
}

/* A request that must not be repeated is sent on a new connection. */
static void
op_send(void *ctx, struct disp_req *d, struct pick_backend *b)
{
	struct gate_req *r = req_of(d);

	(void)ctx;
	slog_decision(SLOG_PICK, "sent",
	    "id=%.*s print=" FPRINT_FMT
	    " service=%.*s backend=%.*s in_use=%d limit=%d slots=%d "
	    "pace=%d "
	    "pace_age_ms=%lld held_us=%lld left_ms=%lld waited_ms=%lld "
	    "tries=%d conf=%llu "
	    "conf_age_ms=%lld a_second=%.2f against=%s",
	    STR_ARG(r->name), FPRINT_ARG(r->d.print), STR_ARG(r->service),
	    STR_ARG(b->name), b->inflight - 1, pick_slots(b), b->slots,
	    b->told_pace,
	    b->told_at == 0 ? -1LL
			    : (long long)((d->sent - b->told_at) / NS_MS),
	    (long long)((d->sent - r->began) / NS_US),
	    (long long)((d->deadline - d->sent) / NS_MS),
	    (long long)r->waited_ms, d->tries, (unsigned long long)r->conf,
	    (long long)sync_age_ms(&r->gate->sync), b->quota.rate,
	    violation_names[d->against]);
	cnt_add(r->gate->cnt, GC_AGAINST, d->against != AGAINST_NOTHING);
	cnt_sample(r->gate->cnt, GC_HELD, d->sent - r->began);
	gate_flow_send(r, b->address, !d->repeatable);
}

static void
op_forward(void *ctx, struct disp_req *d, struct str hall)
{
	struct gate_req *r = req_of(d);
	bool self;

	(void)ctx;
	r->d.may_pass = false;
	gate_req_set_hall(r, hall);
	r->peer = gate_home_for(r->gate, r->service, hall, r->regions, &self);
	if (!self) {
		gate_try_home(r);
		return;
	}
	r->shard = gate_conf_shard(
	    r->gate, route_service(r->gate->routes, r->service), r->hall);
	disp_arrive(r->shard->disp, &r->d);
}

static void
op_fail(void *ctx, struct disp_req *d, enum err_kind kind, int64_t retry_after)
{
	struct gate_req *r = req_of(d);

	(void)ctx;
	gate_answer(r, kind, gate_req_ran(r), retry_after);
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

	slog_decision(SLOG_PICK, "moved, it is too slow there",
	    "id=%.*s backend=%.*s out_ms=%lld work_ms=%lld", STR_ARG(r->name),
	    STR_ARG(d->at->name),
	    (long long)((clk_ns(r->gate->clk) - d->sent) / NS_MS),
	    (long long)(d->work / NS_MS));
	r->maybe_ran = true;
	gate_flow_stop(r);
	gate_req_event(r, REQ_EV_RETRY);
	cnt_add(r->gate->cnt, GC_STOPPED, 1);
	if (!disp_done(s->disp, d, DISP_SLOW))
		gate_answer(r, ERR_DEADLINE, RAN_UNKNOWN, 0);
}

static void
op_query_load(void *ctx, struct pick_backend *b)
{
	gate_peek_start(ctx, b);
}

static void
op_crashed(void *ctx, const struct pick_backend *b, unsigned inflight)
{
	struct gate_shard *s = ctx;

	cnt_add(s->gate->cnt, GC_ENDED, 1);
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

/* Forwards the request to r->peer. */
void
gate_try_home(struct gate_req *r)
{
	struct gate_peer *p = r->peer;

	r->passes++;
	if (p->outstanding++ == 0)
		p->heard = clk_ns(r->gate->clk);
	cnt_add(r->gate->cnt, GC_PASSED_OUT, 1);
	slog_decision(SLOG_ROUTE, "passed to its home",
	    "id=%.*s rule=%.*s service=%.*s box=%.*s hall=%.*s hops=%d "
	    "tries=%d conf=%llu conf_age_ms=%lld",
	    STR_ARG(r->name), STR_ARG(r->rule), STR_ARG(r->service),
	    STR_ARG(p->info.box), STR_ARG(p->info.hall), r->hops, r->d.tries,
	    (unsigned long long)r->conf,
	    (long long)sync_age_ms(&r->gate->sync));
	gate_flow_send(r, p->info.pass, false);
}

static void
leave_owner(struct gate_req *r)
{
	if (r->peer == NULL)
		return;
	r->peer->outstanding--;
	r->peer->heard = clk_ns(r->gate->clk);
	r->peer = NULL;
}

/*
 * A request with a 5xx response may have run, unless the backend server states
 * that it refused the request before running it.  Another gate states that in
 * the dialect dial_fern.
 */
static enum disp_outcome
outcome_of(
    const struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	const struct dial *dial = r->peer != NULL ? &dial_fern : r->gate->dial;

	if (dial->moved(status, headers, n))
		return DISP_MOVED;
	if (dial->refused(status, headers, n))
		return DISP_REFUSED;
	return status >= 500 ? DISP_FAILED : DISP_OK;
}

/*
 * Returns the error for which the owner itself answered; ERR_NONE if the
 * response is that of a backend server.
 */
static enum err_kind
owner_error(const h2o_header_t *headers, size_t n)
{
	struct str name = dial_header(headers, n, STR_LIT("fern-error"));

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
	    disp_usable(r->shard->disp) > 0;
}

static bool
route_again(struct gate_req *r)
{
	gate_req_event(r, REQ_EV_RETRY);
	cnt_add(r->gate->cnt, GC_RETRIES, 1);
	gate_req_route(r);
	return true;
}

static bool
head_from_owner(
    struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	enum disp_outcome outcome = outcome_of(r, status, headers, n);
	enum err_kind kind = owner_error(headers, n);

	if ((!owner_declined(kind) && !is_usable_here_only(r, kind)) ||
	    r->passes > HOPS_MAX) {
		r->maybe_ran = r->maybe_ran || outcome != DISP_REFUSED;
		r->refused = !r->maybe_ran;
		return false;
	}
	leave_owner(r);
	return route_again(r);
}

/*
 * A refusal is not sent to the caller as it is, since whether the request ran
 * depends on its earlier attempts too.
 */
static bool
end_refused(struct gate_req *r, enum disp_outcome outcome)
{
	gate_req_event(r, REQ_EV_RETRY);
	disp_done(r->shard->disp, &r->d, outcome);
	gate_answer(r, ERR_REFUSED, gate_req_ran(r),
	    disp_refused_again(r->shard->disp, &r->d));
	return true;
}

bool
gate_try_head(
    struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	enum disp_outcome outcome;

	if (r->peer != NULL)
		return head_from_owner(r, status, headers, n);
	gate_word_answer(r, status, headers, n);
	outcome = outcome_of(r, status, headers, n);
	if (outcome == DISP_OK)
		return false;
	r->maybe_ran = r->maybe_ran || outcome == DISP_FAILED;
	r->refused = outcome == DISP_REFUSED && !r->maybe_ran;
	if (!disp_retryable(r->shard->disp, &r->d, outcome)) {
		if (outcome != DISP_FAILED && r->gate->dial->status_promises)
			return end_refused(r, outcome);
		disp_done(r->shard->disp, &r->d, outcome);
		return false;
	}
	gate_req_event(r, REQ_EV_RETRY);
	disp_done(r->shard->disp, &r->d, outcome);
	slog_decision(SLOG_PICK, "tried again",
	    "id=%.*s why=%s status=%d tries=%d", STR_ARG(r->name),
	    outcome == DISP_FAILED ? "failed" : "refused", status, r->d.tries);
	cnt_add(r->gate->cnt, GC_RETRIES, 1);
	return true;
}

/* The response is complete; frees the slot. */
void
gate_try_end(struct gate_req *r)
{
	leave_owner(r);
	if (r->d.at != NULL)
		disp_done(r->shard->disp, &r->d, DISP_OK);
}

/*
 * Counts the attempts of a request at an owner that was lost.  The owner may
 * have sent it to a backend server and moved it to a second one.  Whether it
 * charged the retry budget is not known.
 */
static void
count_lost_attempts(struct gate_req *r)
{
	r->maybe_ran = true;
	r->d.tries += LOST_ATTEMPTS;
	r->d.paid = false;
}

/* Returns whether the request may be sent to one more backend server. */
static bool
has_attempts_left(const struct gate_req *r)
{
	return r->d.attempts == 0 || r->d.tries < r->d.attempts;
}

static void
owner_failed(struct gate_req *r, enum err_kind kind)
{
	struct gate_peer *p = r->peer;

	leave_owner(r);
	gate_home_suspect(r->gate, p,
	    kind == ERR_CONNECT ? "no connection" : "the connection broke");
	if (r->started)
		return;
	if (kind != ERR_CONNECT)
		count_lost_attempts(r);
	if (kind != ERR_CONNECT && !has_attempts_left(r))
		gate_answer(r, kind, RAN_UNKNOWN, 0);
	else if ((kind == ERR_CONNECT || r->d.repeatable) &&
	    r->passes <= HOPS_MAX)
		route_again(r);
	else
		gate_answer(r, kind, gate_req_ran(r), 0);
}

/*
 * Logs that a connection to a backend server broke.  The lines of the other
 * requests that were there tell whether the server has crashed or only this
 * connection broke.
 */
static void
log_broken_attempt(struct gate_req *r, enum err_kind kind)
{
	const struct pick_backend *b = r->d.at;

	cnt_add(r->gate->cnt, GC_BROKEN, 1);
	slog_decision(SLOG_PICK, "a try broke off",
	    "id=%.*s print=" FPRINT_FMT " why=%s service=%.*s backend=%.*s "
	    "out_ms=%lld beside=%d tries=%d",
	    STR_ARG(r->name), FPRINT_ARG(r->d.print), err_answer(kind)->name,
	    STR_ARG(r->service), STR_ARG(b->name),
	    (long long)((clk_ns(r->gate->clk) - r->d.sent) / NS_MS),
	    b->inflight - 1, r->d.tries);
}

void
gate_try_failed(struct gate_req *r, enum err_kind kind)
{
	enum disp_outcome outcome =
	    kind == ERR_CONNECT ? DISP_CONNECT : DISP_CUT;
	bool retried;

	if (r->peer != NULL) {
		owner_failed(r, kind);
		return;
	}
	if (r->d.at == NULL)
		return;
	if (kind != ERR_CONNECT)
		r->maybe_ran = true;
	log_broken_attempt(r, kind);
	r->d.may_retry = !r->started;
	if (!r->started)
		gate_req_event(r, REQ_EV_RETRY);
	retried = disp_done(r->shard->disp, &r->d, outcome);
	if (retried)
		cnt_add(r->gate->cnt, GC_RETRIES, 1);
	else if (!r->started)
		gate_answer(r, kind, gate_req_ran(r), 0);
}

void
gate_try_abandon(struct gate_req *r, enum disp_outcome outcome)
{
	gate_flow_stop(r);
	leave_owner(r);
	r->d.may_retry = false;
	if (r->d.held)
		disp_forget(r->shard->disp, &r->d);
	if (r->d.at != NULL)
		disp_done(r->shard->disp, &r->d, outcome);
}

/*
 * Returns whether a request is to be routed again as its owner does not answer.
 * The owner may only be slow: a request that has no attempts left stays there,
 * as its response may still come.
 */
static bool
may_reroute(const struct gate_req *r)
{
	if (!r->d.repeatable || r->started || r->passes > HOPS_MAX)
		return false;
	return r->state != REQ_SENT || r->d.attempts == 0 ||
	    r->d.tries + LOST_ATTEMPTS < r->d.attempts;
}

/*
 * An owner is suspected: requests there that may be repeated are routed again.
 */
void
gate_req_home_lost(struct gate *g, struct gate_peer *p)
{
	GPtrArray *lost = g_ptr_array_new();
	struct gate_req *r;
	GList *link;
	guint i;

	for (link = g->reqs.head; link != NULL; link = link->next) {
		r = link->data;
		if (r->peer == p && may_reroute(r))
			g_ptr_array_add(lost, r);
	}
	for (i = 0; i < lost->len; i++) {
		r = g_ptr_array_index(lost, i);
		if (r->state == REQ_SENT)
			count_lost_attempts(r);
		gate_flow_stop(r);
		leave_owner(r);
		route_again(r);
	}
	g_ptr_array_free(lost, TRUE);
}
