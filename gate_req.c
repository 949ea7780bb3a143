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
 * The life cycle of a request in the gate: it arrives, is routed to the owner
 * of its shard, and ends with its response, its deadline or the loss of its
 * caller.
 */

/*
 * Refused requests that are remembered, so that they are recognized when they
 * come back.
 */
enum { RETURNS_MAX = 4096 };

static void on_dispose(void *);

static const char *const state_names[] = {"new", "claiming", "held",
    "connecting", "sent", "streaming", "done", "broken"};
static const char *const event_names[] = {
    "claim", "hold", "try", "connected", "head", "retry", "end"};

const struct chart_names req_chart_names = {
    "request", state_names, REQ_STATE_MAX, event_names, REQ_EVENT_MAX};

/*
 * Part of h2o's memory pool of a request; when the pool is freed, on_dispose()
 * ends the request.
 */
struct pool_guard {
	struct gate_req *r;
};

void
gate_req_event(struct gate_req *r, enum req_event event)
{
	enum req_state old_state = r->state;

	r->state = (enum req_state)chart_step(
	    r->gate->chart_request, (int)r->state, (int)event);
	if (r->state == REQ_BROKEN && old_state != REQ_BROKEN)
		slog(SLOG_GATE, "event is not allowed in this state",
		    "id=%.*s event=%s state=%s", STR_ARG(r->request_id),
		    event_names[event], state_names[old_state]);
}

enum err_ran
gate_req_ran(const struct gate_req *r)
{
	if (r->maybe_ran || r->state == REQ_SENT || r->state == REQ_STREAMING ||
	    r->state == REQ_BROKEN)
		return RAN_UNKNOWN;
	return RAN_NO;
}

/*
 * Returns the request's id, as its caller gave it or else its number; the
 * caller of this function frees it.
 */
static struct str
request_id_of(const struct gate *g, const h2o_req_t *req, uint64_t seq)
{
	struct str id = str_c(NULL);
	char text[24];

	if (g->dialect->request_id.n > 0)
		id = hsrv_header(req, g->dialect->request_id.p);
	if (id.n > 0)
		return str_dup(id);
	snprintf(text, sizeof(text), "%llu", (unsigned long long)seq);
	return str_dup(str_c(text));
}

struct hsrv *
gate_req_server(const struct gate_req *r)
{
	return r->forwarded ? r->gate->forward_server : r->gate->caller_server;
}

static struct gate_req *
req_new(struct gate *g, h2o_req_t *req)
{
	struct gate_req *r = g_new0(struct gate_req, 1);
	struct pool_guard *pool_guard;

	pool_guard =
	    h2o_mem_alloc_shared(&req->pool, sizeof(*pool_guard), on_dispose);
	pool_guard->r = r;
	r->gate = g;
	r->req = req;
	r->seq = ++g->last_seq;
	r->request_id = request_id_of(g, req, r->seq);
	r->arrived_at = clk_ns(g->clk);
	r->ahead = hsrv_count_ahead(req);
	r->state = (enum req_state)chart_start(g->chart_request);
	r->link.data = r;
	g_queue_push_tail_link(&g->reqs, &r->link);
	gate_tick_soon(g);
	h2o_doublebuffer_init(&r->send_buffer, &h2o_socket_buffer_prototype);
	h2o_buffer_init(&r->unsent_body, &h2o_socket_buffer_prototype);
	return r;
}

static void
arrive(struct gate *g, h2o_req_t *req, bool forwarded)
{
	struct gate_req *r = req_new(g, req);

	r->forwarded = forwarded;
	cnt_add(g->cnt, forwarded ? GC_FORWARDED_IN : GC_REQUESTS, 1);
	if (g->refuses_new || (g->refuses_callers && !forwarded))
		gate_respond(r, ERR_LEAVING, RAN_NO, 0);
	else if (g->configured_ms > 0)
		gate_admit(r);
	else
		gate_early_wait(r);
}

void
gate_req_from_caller(void *ctx, h2o_req_t *req)
{
	arrive(ctx, req, false);
}

void
gate_req_from_gate(void *ctx, h2o_req_t *req)
{
	struct gate *g = ctx;

	g->last_forwarded_in = clk_ns(g->clk);
	arrive(ctx, req, true);
}

/* Sets the hall whose slots the request is to use. */
void
gate_req_set_hall(struct gate_req *r, struct str hall)
{
	struct str copy = str_dup(hall);

	str_free(&r->hall);
	r->hall = copy;
}

/*
 * Returns the hall whose slots the request uses; empty if none may serve it, or
 * if each box schedules its own requests.  The hall that a forwarding gate
 * chose is kept, as this gate may own a shard of a hall that has no hubs.
 */
static struct str
hall_for(struct gate_req *r, const struct route_service *svc)
{
	if (r->gate->settings.route == ROUTE_ALONE)
		return str_c(NULL);
	if (r->hops > 0 && r->hall.n > 0)
		return r->hall;
	gate_req_set_hall(r,
	    region_choose_hall(r->gate->settings.regions,
		r->gate->settings.hall, svc, r->regions, r->gate->rnd));
	return r->hall;
}

/* Routes the request to the owner of its shard, which may be this gate. */
void
gate_req_route(struct gate_req *r)
{
	struct gate *g = r->gate;
	const struct route_service *svc = route_service(g->routes, r->service);
	struct str hall;
	bool self;

	gate_req_event(r, REQ_EV_HOLD);
	if (svc == NULL) {
		gate_respond(r, ERR_NO_SERVICE, gate_req_ran(r), 0);
		return;
	}
	hall = hall_for(r, svc);
	if (hall.n == 0 && g->settings.route == ROUTE_HOME) {
		gate_respond(r, ERR_NO_BACKEND, gate_req_ran(r), 0);
		return;
	}
	if (r->hops > 0 || g->settings.route == ROUTE_ALONE)
		self = true;
	else
		r->owner = gate_owner_in_regions(
		    g, svc->name, hall, r->regions, &self);
	if (!self && r->forwards < HOPS_MAX + 1 &&
	    !gate_handover_is_holding(g, svc->name, hall)) {
		gate_attempt_forward(r);
		return;
	}
	r->owner = NULL;
	r->shard = gate_conf_shard(g, svc, hall);
	r->disp.can_forward = r->hops < HOPS_MAX && r->forwards <= HOPS_MAX &&
	    g->settings.route == ROUTE_HOME;
	gate_admit_set_waited(r);
	if (r->disp.can_forward && !gate_next_is_due(r))
		r->owner = gate_deputy_choose(g, r->shard);
	r->at_deputy = r->owner != NULL;
	if (r->at_deputy) {
		gate_attempt_forward(r);
		return;
	}
	disp_submit(r->shard->disp, &r->disp);
}

/*
 * Releases or keeps the claim of a request, if it has one, once it is known
 * whether the request ran.  If it did not, its customer's grant is given back.
 */
void
gate_req_settle_claim(struct gate_req *r, bool not_run)
{
	struct gate_claim *claim = r->claim;

	if (not_run)
		gate_rate_give_back(r);
	r->rate_granted = false;
	r->claim = NULL;
	if (claim == NULL)
		return;
	if (not_run)
		gate_claim_release(claim);
	else
		gate_claim_keep(claim);
}

static void
on_deadline(void *ctx)
{
	struct gate_req *r = ctx;
	enum err_ran ran = gate_req_ran(r);

	if (r->response_started) {
		gate_flow_expire(r);
		return;
	}
	gate_attempt_abandon(r, DISP_TIMED_OUT);
	gate_respond(r, ERR_DEADLINE, ran, 0);
}

/*
 * Sets the timer that ends the request at its deadline, whatever its state is
 * then, unless its response is complete here.
 */
void
gate_req_set_deadline(struct gate_req *r)
{
	tmr_set(&r->gate->tmr, &r->timer, r->disp.deadline, on_deadline, r);
}

/* h2o disposes of the request: its response was sent, or its caller is gone. */
static void
on_dispose(void *p)
{
	struct pool_guard *pool_guard = p;
	struct gate_req *r = pool_guard->r;
	struct gate *g = r->gate;
	bool not_run = gate_req_ran(r) == RAN_NO;

	hsrv_set_held(gate_req_server(r), r->req, &r->held, 0);
	r->req = NULL;
	tmr_clear(&g->tmr, &r->timer);
	gate_rate_cancel(r);
	if (r->state != REQ_DONE) {
		cnt_add(g->cnt, GC_CALLERS_GONE, 1);
		gate_stat_abandoned(r);
		slog_decision(SLOG_ROUTE, "its caller went away",
		    "id=%.*s why=gone age_ms=%lld state=%s %s",
		    STR_ARG(r->request_id),
		    (long long)((clk_ns(g->clk) - r->arrived_at) / NS_MS),
		    state_names[r->state], gate_flow_wait(r).text);
		gate_attempt_abandon(r, DISP_CANCELED);
		gate_req_event(r, REQ_EV_END);
	}
	gate_req_settle_claim(r, not_run);
	g_queue_unlink(&g->reqs, &r->link);
	gate_flow_dispose(r);
	str_free(&r->rule);
	str_free(&r->service);
	str_free(&r->assigned_server);
	str_free(&r->lease_inbox);
	str_free(&r->hall);
	str_free(&r->regions);
	gate_rate_dispose(r);
	str_free(&r->customer);
	str_free(&r->request_id);
	g_free(r);
}

/*
 * Returns whether a request gets an error response when the gate exits.  If
 * another gate forwarded it and it may have run, it gets none: that gate sees
 * its connection close, from which it concludes that the request may have run.
 */
static bool
should_end(const struct gate_req *r)
{
	return r->state != REQ_DONE && !r->response_started && r->req != NULL &&
	    (!r->forwarded || gate_req_ran(r) == RAN_NO);
}

static void
end_each(struct gate *g, bool queued)
{
	struct gate_req *r;
	GList *link, *next;
	enum err_ran ran;

	for (link = g->reqs.head; link != NULL; link = next) {
		next = link->next;
		r = link->data;
		if (!should_end(r) || r->disp.queued != queued)
			continue;
		ran = gate_req_ran(r);
		gate_attempt_abandon(r, DISP_CANCELED);
		gate_respond(r, ERR_LEAVING, ran, 0);
	}
}

/*
 * Queued requests are ended first, as otherwise they would be sent when the end
 * of others frees slots.
 */
void
gate_req_end_all(struct gate *g)
{
	end_each(g, true);
	end_each(g, false);
}

bool
gate_req_uses_shard(const struct gate *g, const struct gate_shard *s)
{
	const struct gate_req *r;
	const GList *link;

	for (link = g->reqs.head; link != NULL; link = link->next) {
		r = link->data;
		if (r->shard == s)
			return true;
	}
	return false;
}

bool
gate_req_has_forwarded(const struct gate *g)
{
	const struct gate_req *r;
	const GList *link;

	for (link = g->reqs.head; link != NULL; link = link->next) {
		r = link->data;
		if (r->forwarded && r->state != REQ_DONE)
			return true;
	}
	return false;
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
	g->refusals = refusals_new(RETURNS_MAX);
	g->callers_by_kind =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->rule_limits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->durations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return true;
}
