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
#include "libgate.h"
#include "slog.h"
#include "state_msg.h"
#include "takeover.h"

/*
 * A shard moves to another gate as planned: the gate that owned it shuts down,
 * or a box of its hall has come back and owns it again.  The former owner sends
 * the state of the shard to the next one, once, and then forwards its queued
 * requests.  If the message is lost, or the next owner is of an older build,
 * that gate queries the servers as after a failure of the former owner.
 */

static const char *const refusal_names[TAKEOVER_REFUSAL_MAX] = {
    "used", "unknown sender", "repeated", "too late"};

static struct gate_peer *
find_sender(struct gate *g, struct str inbox)
{
	struct gate_peer *p;
	guint i;

	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (p->listed && str_eq(p->info.gate_inbox, inbox))
			return p;
	}
	return NULL;
}

static void
send_state(struct gate *g, struct gate_shard *s, const struct gate_peer *to)
{
	struct msg m = {.kind = MSG_SHARD_STATE};
	struct disp_state state;

	disp_export_state(s->disp, &state);
	state_msg_write(&m.u.shard_state, &state);
	m.u.shard_state.service = s->service;
	m.u.shard_state.hall = s->hall;
	m.u.shard_state.started_ms = g->started_ms;
	m.u.shard_state.seq = ++g->states_sent;
	wire_send(g->wire, to->info.gate_inbox, &m);
	cnt_add(g->cnt, GC_STATES_SENT, 1);
	slog(SLOG_PICK, "shard state sent",
	    "service=%.*s hall=%.*s box=%.*s backends=%u inflight=%u",
	    STR_ARG(s->service), STR_ARG(s->hall), STR_ARG(to->info.box),
	    state.nservers, disp_inflight(s->disp));
	state_msg_clear(&m.u.shard_state);
	disp_state_clear(&state);
}

/*
 * Messages to one gate arrive in order, so the answer to a ping shows that it
 * has the state.  Without that, the first forwarded requests were faster than
 * the state, and went to servers that had no free slot.
 */
static void
send_ping(struct gate *g, struct gate_shard *s, const struct gate_peer *to)
{
	struct msg m = {.kind = MSG_PING};

	s->handover_at = clk_ns(g->clk);
	s->handover_ping = m.u.ping.nonce =
	    (uint64_t)s->handover_at + g->states_sent;
	wire_send(g->wire, to->info.gate_inbox, &m);
}

static void
hand_over(struct gate *g, struct gate_shard *s)
{
	const struct gate_peer *next;
	bool self;

	next = gate_owner(g, s->service, s->hall, &self);
	if (self)
		return;
	/* A shard that has sent no request here has no state. */
	if (disp_sending_for(s->disp) < 0) {
		disp_set_handover(s->disp, DISP_HANDED_OVER);
		return;
	}
	send_state(g, s, next);
	send_ping(g, s, next);
	disp_set_handover(s->disp, DISP_HOLDING);
}

static void
end_holding(struct gate_shard *s)
{
	s->handover_ping = 0;
	disp_set_handover(s->disp, DISP_HANDED_OVER);
}

void
gate_handover_on_pong(struct gate *g, uint64_t nonce)
{
	GList *shards = g_hash_table_get_values(g->shards), *link;
	struct gate_shard *s;

	for (link = shards; link != NULL; link = link->next) {
		s = link->data;
		if (s->handover_ping != 0 && s->handover_ping == nonce)
			end_holding(s);
	}
	g_list_free(shards);
}

/*
 * The answer may be lost.  A gate that takes longer for it than ping_wait_ms is
 * suspected anyway, so requests are not held any longer for that.
 */
void
gate_handover_tick(struct gate *g, int64_t now)
{
	GList *shards = g_hash_table_get_values(g->shards), *link;
	struct gate_shard *s;

	for (link = shards; link != NULL; link = link->next) {
		s = link->data;
		if (s->handover_ping != 0 &&
		    now - s->handover_at > g->settings.ping_wait_ms * NS_MS)
			end_holding(s);
	}
	g_list_free(shards);
}

/*
 * The shards of a gate that starts are not moves, unless their state has come.
 */
static void
take_over(struct gate *g, struct gate_shard *s)
{
	bool received = s->state_received_at != 0 &&
	    clk_ns(g->clk) - s->state_received_at < NS_S;

	s->handover_ping = 0;
	disp_set_handover(s->disp, DISP_OWNED);
	if (g->configured_ms > 0 && !received)
		disp_start_as_successor(s->disp);
}

void
gate_handover_update(struct gate *g)
{
	GList *shards = g_hash_table_get_values(g->shards), *link;
	struct gate_shard *s;

	/* Forwarding a request may add a shard to the table. */
	for (link = shards; link != NULL; link = link->next) {
		s = link->data;
		gate_conf_set_owner(s);
		if (s->is_owner && !s->was_owner)
			take_over(g, s);
		else if (!s->is_owner && s->was_owner)
			hand_over(g, s);
		s->was_owner = s->is_owner;
	}
	g_list_free(shards);
}

bool
gate_handover_is_holding(struct gate *g, struct str service, struct str hall)
{
	const struct gate_shard *s = gate_conf_find_shard(g, service, hall);

	return s != NULL && s->handover_ping != 0;
}

/* Returns the shard that a message is about; NULL if it does not exist. */
static struct gate_shard *
shard_of(struct gate *g, const struct msg_shard_state *m)
{
	const struct route_service *svc = route_service(g->routes, m->service);

	if (svc == NULL || route_hall(svc, m->hall) == NULL)
		return NULL;
	return gate_conf_shard(g, svc, m->hall);
}

static enum takeover_refusal
check(const struct gate_peer *sender, const struct gate_shard *s,
    const struct msg_shard_state *m)
{
	struct takeover_state_facts facts = {.known_sender = true,
	    .started_ms = m->started_ms,
	    .seq = m->seq,
	    .last_started_ms = sender->state_started_ms,
	    .last_seq = sender->state_seq,
	    .is_owner = s->is_owner,
	    .sending_ns = disp_sending_for(s->disp)};

	return takeover_check_state(&facts);
}

static void
ignore(struct gate *g, const struct msg_shard_state *m, const char *reason)
{
	cnt_add(g->cnt, GC_STATES_IGNORED, 1);
	slog(SLOG_PICK, "shard state is ignored",
	    "service=%.*s hall=%.*s why=%s", STR_ARG(m->service),
	    STR_ARG(m->hall), slog_quote(reason));
}

static void
apply(struct gate *g, struct gate_shard *s, struct gate_peer *from,
    const struct msg_shard_state *m)
{
	struct disp_state state;
	unsigned applied, inflight = 0, i;

	if (!state_msg_read(m, &state)) {
		ignore(g, m, "malformed");
		return;
	}
	from->state_started_ms = m->started_ms;
	from->state_seq = m->seq;
	for (i = 0; i < state.nservers; i++)
		inflight += (unsigned)state.servers[i].inflight;
	s->state_received_at = clk_ns(g->clk);
	applied = disp_import_state(s->disp, &state);
	cnt_add(g->cnt, GC_STATES_RECEIVED, 1);
	slog(SLOG_PICK, "shard state received",
	    "service=%.*s hall=%.*s box=%.*s backends=%u of=%u inflight=%u",
	    STR_ARG(m->service), STR_ARG(m->hall), STR_ARG(from->info.box),
	    applied, state.nservers, inflight);
	disp_state_clear(&state);
}

void
gate_handover_receive(
    struct gate *g, struct str from, const struct msg_shard_state *m)
{
	struct gate_peer *sender = find_sender(g, from);
	struct gate_shard *s = sender == NULL ? NULL : shard_of(g, m);
	enum takeover_refusal refusal;

	if (s == NULL) {
		ignore(g, m,
		    sender == NULL ? refusal_names[TAKEOVER_UNKNOWN_SENDER]
				   : "unknown shard");
		return;
	}
	refusal = check(sender, s, m);
	if (refusal == TAKEOVER_USED)
		apply(g, s, sender, m);
	else
		ignore(g, m, refusal_names[refusal]);
}
