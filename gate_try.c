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
 * One try of a request: at a backend server, when this gate is its home, or
 * at another gate.  What the flow reports is judged here: answer, or again.
 */

enum { LOST_TRIES = 2 };

static void op_send(void *, struct disp_req *, struct pick_backend *);
static void op_pass(void *, struct disp_req *, struct str);
static void op_give_up(void *, struct disp_req *, enum err_kind, int64_t);
static void op_stop(void *, struct disp_req *);
static void op_peek(void *, struct pick_backend *);
static void op_ended(void *, const struct pick_backend *, unsigned);
static void op_release(void *, struct pick_backend *);
static enum disp_outcome
outcome_of(const struct gate_req *, int, const h2o_header_t *, size_t);
static void leave_home(struct gate_req *);

const struct disp_ops gate_req_disp_ops = {
    op_send, op_pass, op_give_up, op_stop, op_peek, op_ended, op_release, NULL};

static const char *const against_names[VIOLATION_MAX] = {
    "none", "quota", "rest", "leaving"};

static struct gate_req *
req_of(struct disp_req *d)
{
	return (struct gate_req *)((char *)d - offsetof(struct gate_req, disp));
}

/* What must not repeat goes out on a connection of its own. */
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
	    against_names[d->violation]);
	cnt_add(
	    r->gate->cnt, GC_REPORT_OVERRIDDEN, d->violation != VIOLATION_NONE);
	cnt_sample(r->gate->cnt, GC_HELD, d->sent_at - r->arrived_at);
	gate_flow_send(r, b->address, !d->repeatable);
}

static void
op_pass(void *ctx, struct disp_req *d, struct str hall)
{
	struct gate_req *r = req_of(d);
	bool self;

	(void)ctx;
	r->disp.can_forward = false;
	gate_req_set_hall(r, hall);
	r->owner =
	    gate_owner_in_regions(r->gate, r->service, hall, r->regions, &self);
	if (!self) {
		gate_try_owner(r);
		return;
	}
	r->shard = gate_conf_shard(
	    r->gate, route_service(r->gate->routes, r->service), r->hall);
	disp_submit(r->shard->disp, &r->disp);
}

static void
op_give_up(void *ctx, struct disp_req *d, enum err_kind kind, int64_t after)
{
	struct gate_req *r = req_of(d);

	(void)ctx;
	gate_respond(r, kind, gate_req_ran(r), after);
}

/* Only what may be repeated is stopped, before any of its answer came. */
static void
op_stop(void *ctx, struct disp_req *d)
{
	struct gate_req *r = req_of(d);
	struct gate_shard *s = ctx;

	slog_decision(SLOG_PICK, "moved, it is too slow there",
	    "id=%.*s backend=%.*s out_ms=%lld work_ms=%lld",
	    STR_ARG(r->request_id), STR_ARG(d->backend->name),
	    (long long)((clk_ns(r->gate->clk) - d->sent_at) / NS_MS),
	    (long long)(d->service_time / NS_MS));
	r->maybe_ran = true;
	gate_flow_stop(r);
	gate_req_event(r, REQ_EV_RETRY);
	cnt_add(r->gate->cnt, GC_ATTEMPTS_STOPPED, 1);
	if (!disp_attempt_done(s->disp, d, DISP_STOPPED_SLOW))
		gate_respond(r, ERR_DEADLINE, RAN_UNKNOWN, 0);
}

static void
op_peek(void *ctx, struct pick_backend *b)
{
	gate_load_query_start(ctx, b);
}

static void
op_ended(void *ctx, const struct pick_backend *b, unsigned there)
{
	struct gate_shard *s = ctx;

	cnt_add(s->gate->cnt, GC_SERVERS_CRASHED, 1);
	slog(SLOG_PICK, "a backend server ended with requests there",
	    "service=%.*s backend=%.*s requests=%u", STR_ARG(s->service),
	    STR_ARG(b->name), there);
	gate_poison_tick(s->gate, clk_ns(s->gate->clk));
}

static void
op_release(void *ctx, struct pick_backend *b)
{
	(void)ctx;
	(void)b;
}

/* Pass the request to r->peer. */
void
gate_try_owner(struct gate_req *r)
{
	struct gate_peer *p = r->owner;

	r->forwards++;
	if (p->outstanding++ == 0)
		p->last_seen = clk_ns(r->gate->clk);
	cnt_add(r->gate->cnt, GC_FORWARDED_OUT, 1);
	slog_decision(SLOG_ROUTE, "passed to its home",
	    "id=%.*s rule=%.*s service=%.*s box=%.*s hall=%.*s hops=%d "
	    "tries=%d conf=%llu conf_age_ms=%lld",
	    STR_ARG(r->request_id), STR_ARG(r->rule), STR_ARG(r->service),
	    STR_ARG(p->info.box), STR_ARG(p->info.hall), r->hops,
	    r->disp.attempt_count, (unsigned long long)r->conf_version,
	    (long long)sync_age_ms(&r->gate->sync));
	gate_flow_send(r, p->info.forward_address, false);
}

static void
leave_home(struct gate_req *r)
{
	if (r->owner == NULL)
		return;
	r->owner->outstanding--;
	r->owner->last_seen = clk_ns(r->gate->clk);
	r->owner = NULL;
}

/*
 * Without a word of the backend server that it refused before running, a 5xx
 * may have run.  Another gate says so in our own dialect.
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
	return status >= 500 ? DISP_SERVER_ERROR : DISP_OK;
}

/* Why a home answers by itself; ERR_NONE if a backend server has answered. */
static enum err_kind
home_error(const h2o_header_t *headers, size_t n)
{
	struct str name = dial_find_header(headers, n, STR_LIT("fern-error"));

	return name.n > 0 ? err_by_name(name) : ERR_NONE;
}

/* A home that could not even decide leaves the request to us. */
static bool
home_declined(enum err_kind kind)
{
	static const enum err_kind kinds[] = {
	    ERR_LEAVING, ERR_NOT_READY, ERR_NO_RULE, ERR_NO_SERVICE};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (kind == kinds[i])
			return true;
	return false;
}

/* Another hall has nothing that can be used, but this one has by now. */
static bool
serves_better_here(const struct gate_req *r, enum err_kind kind)
{
	return kind == ERR_NO_BACKEND && r->shard != NULL &&
	    disp_usable_backends(r->shard->disp) > 0;
}

static bool
retry_home(struct gate_req *r)
{
	gate_req_event(r, REQ_EV_RETRY);
	cnt_add(r->gate->cnt, GC_RETRIES, 1);
	gate_req_route(r);
	return true;
}

static bool
head_from_home(
    struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	enum disp_outcome outcome = outcome_of(r, status, headers, n);
	enum err_kind kind = home_error(headers, n);

	if ((!home_declined(kind) && !serves_better_here(r, kind)) ||
	    r->forwards > HOPS_MAX) {
		r->maybe_ran = r->maybe_ran || outcome != DISP_REFUSED;
		r->response_not_run = !r->maybe_ran;
		return false;
	}
	leave_home(r);
	return retry_home(r);
}

/*
 * A refusal is not handed on as it is: whether the request has run depends
 * on its earlier tries too.
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
gate_try_head(
    struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	enum disp_outcome outcome;

	if (r->owner != NULL)
		return head_from_home(r, status, headers, n);
	gate_report_from_answer(r, status, headers, n);
	outcome = outcome_of(r, status, headers, n);
	if (outcome == DISP_OK)
		return false;
	r->maybe_ran = r->maybe_ran || outcome == DISP_SERVER_ERROR;
	r->response_not_run = outcome == DISP_REFUSED && !r->maybe_ran;
	if (!disp_can_retry(r->shard->disp, &r->disp, outcome)) {
		if (outcome != DISP_SERVER_ERROR &&
		    r->gate->dialect->status_means_not_run)
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

/* The whole answer is here; the slot is free again. */
void
gate_try_end(struct gate_req *r)
{
	leave_home(r);
	if (r->disp.backend != NULL)
		disp_attempt_done(r->shard->disp, &r->disp, DISP_OK);
}

/*
 * A home that is lost with a request may have sent it to a backend server,
 * and moved it to another one; nothing was charged for it that we know of.
 */
static void
count_lost_try(struct gate_req *r)
{
	r->maybe_ran = true;
	r->disp.attempt_count += LOST_TRIES;
	r->disp.budget_charged = false;
}

/* May it be sent to one more backend server? */
static bool
may_try_more(const struct gate_req *r)
{
	return r->disp.max_attempts == 0 ||
	    r->disp.attempt_count < r->disp.max_attempts;
}

static void
home_failed(struct gate_req *r, enum err_kind kind)
{
	struct gate_peer *p = r->owner;

	leave_home(r);
	gate_owner_suspect(r->gate, p,
	    kind == ERR_CONNECT ? "no connection" : "the connection broke");
	if (r->response_started)
		return;
	if (kind != ERR_CONNECT)
		count_lost_try(r);
	if (kind != ERR_CONNECT && !may_try_more(r))
		gate_respond(r, kind, RAN_UNKNOWN, 0);
	else if ((kind == ERR_CONNECT || r->disp.repeatable) &&
	    r->forwards <= HOPS_MAX)
		retry_home(r);
	else
		gate_respond(r, kind, gate_req_ran(r), 0);
}

/*
 * A connection to a backend server broke.  Whether the server has ended, or
 * only this connection, is told by the lines of the others that were there.
 */
static void
note_broken(struct gate_req *r, enum err_kind kind)
{
	const struct pick_backend *b = r->disp.backend;

	cnt_add(r->gate->cnt, GC_ATTEMPTS_BROKEN, 1);
	slog_decision(SLOG_PICK, "a try broke off",
	    "id=%.*s print=" FPRINT_FMT " why=%s service=%.*s backend=%.*s "
	    "out_ms=%lld beside=%d tries=%d",
	    STR_ARG(r->request_id), FPRINT_ARG(r->disp.fingerprint),
	    err_lookup(kind)->name, STR_ARG(r->service), STR_ARG(b->name),
	    (long long)((clk_ns(r->gate->clk) - r->disp.sent_at) / NS_MS),
	    b->inflight - 1, r->disp.attempt_count);
}

void
gate_try_failed(struct gate_req *r, enum err_kind kind)
{
	enum disp_outcome outcome =
	    kind == ERR_CONNECT ? DISP_CONNECT_FAILED : DISP_CONN_BROKEN;
	bool again;

	if (r->owner != NULL) {
		home_failed(r, kind);
		return;
	}
	if (r->disp.backend == NULL)
		return;
	if (kind != ERR_CONNECT)
		r->maybe_ran = true;
	note_broken(r, kind);
	r->disp.can_retry = !r->response_started;
	if (!r->response_started)
		gate_req_event(r, REQ_EV_RETRY);
	again = disp_attempt_done(r->shard->disp, &r->disp, outcome);
	if (again)
		cnt_add(r->gate->cnt, GC_RETRIES, 1);
	else if (!r->response_started)
		gate_respond(r, kind, gate_req_ran(r), 0);
}

void
gate_try_abandon(struct gate_req *r, enum disp_outcome outcome)
{
	gate_flow_stop(r);
	leave_home(r);
	r->disp.can_retry = false;
	if (r->disp.queued)
		disp_cancel(r->shard->disp, &r->disp);
	if (r->disp.backend != NULL)
		disp_attempt_done(r->shard->disp, &r->disp, outcome);
}

/*
 * Is the request better brought elsewhere, now that its home does not answer?
 * A home may be slow only: what cannot be tried once more is left there, as
 * its answer may still come.
 */
static bool
may_leave(const struct gate_req *r)
{
	if (!r->disp.repeatable || r->response_started ||
	    r->forwards > HOPS_MAX)
		return false;
	return r->state != REQ_SENT || r->disp.max_attempts == 0 ||
	    r->disp.attempt_count + LOST_TRIES < r->disp.max_attempts;
}

/* A home is given up: what may be repeated is brought elsewhere now. */
void
gate_req_owner_lost(struct gate *g, struct gate_peer *p)
{
	GPtrArray *lost = g_ptr_array_new();
	struct gate_req *r;
	GList *at;
	guint i;

	for (at = g->reqs.head; at != NULL; at = at->next) {
		r = at->data;
		if (r->owner == p && may_leave(r))
			g_ptr_array_add(lost, r);
	}
	for (i = 0; i < lost->len; i++) {
		r = g_ptr_array_index(lost, i);
		if (r->state == REQ_SENT)
			count_lost_try(r);
		gate_flow_stop(r);
		leave_home(r);
		retry_home(r);
	}
	g_ptr_array_free(lost, TRUE);
}
