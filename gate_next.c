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
#include "libreq.h"
#include "slog.h"

/*
 * Requests that may outlast the gate that owns their shard, as it is leaving.
 * That gate still chooses the backend server or the next owner, but does not
 * send the request there: it answers the gate that forwarded the request, which
 * sends it itself.  So the end of the owner does not end the request.
 */

/*
 * An attempt that another gate sends, and the slot that it takes here until
 * that gate reports its end, or until its deadline.
 */
struct lease {
	struct disp_req disp;
	struct gate_shard *shard;
	uint64_t number;
	struct tmr_item timer;
};

void
gate_next_open(struct gate *g)
{
	g->leases = g_hash_table_new(g_int64_hash, g_int64_equal);
}

enum { LEASES_PER_MS = 1000 }; /* more than a gate assigns */

bool
gate_next_is_due(const struct gate_req *r)
{
	return r->forwarded && r->takes_next &&
	    gate_box_ends_before(r->gate, r->disp.deadline);
}

static void
respond(struct gate_req *r, struct gate_next *next)
{
	char text[GATE_FORWARD_MAX];
	h2o_iovec_t copy;

	next->attempts = (unsigned)r->disp.attempt_count;
	next->within_retry_budget = r->disp.budget_charged;
	copy = h2o_strdup(
	    &r->req->pool, text, gate_next_write(next, text, sizeof(text)));
	h2o_add_header_by_str(&r->req->pool, &r->req->res.headers,
	    GATE_NEXT_HEADER, strlen(GATE_NEXT_HEADER), 1, NULL, copy.base,
	    copy.len);
	/* It is not refused, and does not count as such if it comes back. */
	r->shard = NULL;
	gate_respond(r, ERR_LEAVING, gate_req_ran(r), 0);
}

static void
end_lease(struct lease *lease, enum disp_outcome outcome)
{
	struct gate *g = lease->shard->gate;

	g_hash_table_remove(g->leases, &lease->number);
	tmr_clear(&g->tmr, &lease->timer);
	disp_attempt_done(lease->shard->disp, &lease->disp, outcome);
	g_free(lease);
}

static void
on_lease_timeout(void *ctx)
{
	end_lease(ctx, DISP_CANCELED);
}

void
gate_next_end_lease(struct gate *g, const struct msg_attempt_end *msg)
{
	struct lease *lease = g_hash_table_lookup(g->leases, &msg->lease);

	if (lease != NULL && msg->outcome < DISP_OUTCOME_MAX)
		end_lease(lease, (enum disp_outcome)msg->outcome);
}

/*
 * Numbers differ between two starts of this gate, as a report may come after
 * the next start.
 */
static uint64_t
lease_slot(struct gate_req *r)
{
	struct lease *lease = g_new0(struct lease, 1);
	struct gate *g = r->gate;

	lease->shard = r->shard;
	lease->number = g->started_ms * LEASES_PER_MS + ++g->last_lease;
	disp_transfer(r->shard->disp, &r->disp, &lease->disp);
	g_hash_table_insert(g->leases, &lease->number, lease);
	tmr_set(
	    &g->tmr, &lease->timer, r->disp.deadline, on_lease_timeout, lease);
	return lease->number;
}

void
gate_next_assign_server(struct gate_req *r, const struct pick_backend *b)
{
	struct gate_next next = {.to_server = true,
	    .name = b->name,
	    .address = b->address,
	    .inbox = r->gate->settings.inbox};

	slog_decision(SLOG_PICK, "assigned, for the gate before to send it",
	    "id=%.*s service=%.*s backend=%.*s left_ms=%lld tries=%d",
	    STR_ARG(r->request_id), STR_ARG(r->service), STR_ARG(b->name),
	    (long long)((r->disp.deadline - r->disp.sent_at) / NS_MS),
	    r->disp.attempt_count);
	next.lease = lease_slot(r);
	respond(r, &next);
}

void
gate_next_name_owner(
    struct gate_req *r, struct str target_hall, const struct gate_peer *p)
{
	struct gate_next next = {.name = p->info.box,
	    .address = p->info.forward_address,
	    .hall = p->info.hall,
	    .inbox = p->info.gate_inbox,
	    .started_ms = p->info.started_ms,
	    .target_hall = target_hall};

	respond(r, &next);
}

/* Sends the request to the server that its owner has chosen. */
static void
send_to_server(struct gate_req *r, const struct gate_next *next)
{
	str_free(&r->assigned_server);
	r->assigned_server = str_dup(next->name);
	r->lease = next->lease;
	slog_decision(SLOG_PICK, "sent as its owner assigned",
	    "id=%.*s service=%.*s backend=%.*s left_ms=%lld tries=%d",
	    STR_ARG(r->request_id), STR_ARG(r->service), STR_ARG(next->name),
	    (long long)((r->disp.deadline - clk_ns(r->gate->clk)) / NS_MS),
	    r->disp.attempt_count);
	gate_flow_send(r, next->address, !r->disp.repeatable);
}

/*
 * Forwards the request to the owner that a gate that leaves has named.  Where
 * the owner can be used, the gate that leaves is not asked for a while.
 */
static void
forward_to_owner(
    struct gate_req *r, const struct gate_next *next, struct gate_peer *leaving)
{
	struct gate *g = r->gate;
	struct gate_peer *p = gate_owner_learn(g, next);

	gate_req_set_hall(r, next->target_hall);
	if (p != NULL || str_eq(next->name, g->settings.box))
		gate_owner_avoid(g, leaving);
	if (p == NULL || r->forwards > HOPS_MAX ||
	    !gate_owner_is_allowed(g, p, next->target_hall, r->regions)) {
		gate_req_route(r);
		return;
	}
	r->owner = p;
	gate_attempt_forward(r);
}

bool
gate_next_take(struct gate_req *r, const h2o_header_t *headers, size_t n)
{
	struct str text =
	    dial_find_header(headers, n, STR_LIT(GATE_NEXT_HEADER));
	struct gate_peer *owner = r->owner;
	struct gate_next next;

	if (!gate_next_read(text, &next))
		return false;
	str_free(&r->lease_inbox);
	if (next.to_server && !gate_next_is_due(r))
		r->lease_inbox = str_dup(next.inbox);
	gate_attempt_leave_owner(r);
	gate_req_event(r, REQ_EV_RETRY);
	r->disp.attempt_count = (int)next.attempts;
	r->disp.budget_charged = next.within_retry_budget;
	if (gate_next_is_due(r))
		respond(r, &next);
	else if (next.to_server)
		send_to_server(r, &next);
	else
		forward_to_owner(r, &next, owner);
	return true;
}

void
gate_next_end(struct gate_req *r, enum disp_outcome outcome)
{
	struct msg m = {.kind = MSG_ATTEMPT_END};

	if (r->lease_inbox.n == 0)
		return;
	m.u.attempt_end.lease = r->lease;
	m.u.attempt_end.outcome = outcome;
	wire_send(r->gate->wire, r->lease_inbox, &m);
	str_free(&r->lease_inbox);
}

/* Returns whether the request may be forwarded once more. */
static bool
may_ask_owner_again(const struct gate_req *r, bool not_run)
{
	return (not_run || r->disp.repeatable) && r->forwards <= HOPS_MAX &&
	    (r->disp.max_attempts == 0 ||
		r->disp.attempt_count < r->disp.max_attempts);
}

bool
gate_next_head(struct gate_req *r, enum disp_outcome outcome)
{
	bool not_run =
	    outcome == DISP_REFUSED || outcome == DISP_WRONG_INSTANCE;

	if (outcome == DISP_OK)
		return false;
	gate_next_end(r, outcome);
	if (!not_run) {
		r->maybe_ran = true;
		return false;
	}
	if (may_ask_owner_again(r, true))
		return gate_attempt_route_again(r);
	gate_req_event(r, REQ_EV_RETRY);
	gate_respond(r, ERR_REFUSED, gate_req_ran(r), DISP_REFUSED_RETRY_NS);
	return true;
}

void
gate_next_failed(struct gate_req *r, enum err_kind kind)
{
	bool not_run = kind == ERR_CONNECT;

	gate_next_end(r, not_run ? DISP_CONNECT_FAILED : DISP_CONN_BROKEN);
	if (r->response_started)
		return;
	if (!not_run)
		r->maybe_ran = true;
	if (may_ask_owner_again(r, not_run))
		gate_attempt_route_again(r);
	else
		gate_respond(r, kind, gate_req_ran(r), 0);
}
