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
#include "libagent.h"
#include "slog.h"

/*
 * What goes between this agent and its gate: that it may serve, which boxes
 * there are, and how the gate does.
 */

#define MEMBERS_AGAIN_NS (30 * NS_S)
/* Between two lists of members. */
#define MEMBERS_GAP_NS (40 * NS_MS)
#define GATE_SILENT_NS (4 * NS_S)

/*
 * The configuration is whole, and so are the boxes as far as they answer: a
 * gate that knows no other takes itself for home of everything.  One that holds
 * no backend servers can do nothing without a home.
 */
static bool
may_serve(struct agent *a)
{
	if (a->scope == SCOPE_RULES && memb_count_hubs(a->memb) == 0)
		return false;
	return agent_conf_is_complete(a) && a->peers_known;
}

/* To the gate: ready means that it may serve. */
void
agent_gate_send_state(struct agent *a)
{
	struct msg m = agent_peer_own_state(a);

	m.u.announcement.self.ready = may_serve(a);
	wire_send(a->wire, a->settings.gate_inbox, &m);
}

/* The hubs of all halls, for our gate. */
struct hub_list {
	struct agent *agent;
	GArray *infos; /* struct memb_info */
};

static void
gather_hub(void *ctx, const struct memb_member *m)
{
	struct hub_list *l = ctx;

	if (memb_is_hub(l->agent->memb, m->info.box))
		g_array_append_val(l->infos, m->info);
}

static void
send_hubs(struct agent *a)
{
	struct hub_list l = {
	    a, g_array_new(FALSE, FALSE, sizeof(struct memb_info))};
	struct msg m = {.kind = MSG_MEMBERS};

	memb_each(a->memb, gather_hub, &l);
	m.u.members.members.items = (struct memb_info *)l.infos->data;
	m.u.members.members.n = l.infos->len;
	m.u.members.serving_gates = memb_count_fleet_serving(a->memb);
	m.u.members.is_hub = memb_is_hub(a->memb, a->settings.box);
	wire_send(a->wire, a->settings.gate_inbox, &m);
	g_array_free(l.infos, TRUE);
}

/* The gate waits until it may serve: tell it so at once. */
void
agent_gate_send_ready(struct agent *a)
{
	bool ready = may_serve(a);

	if (ready && !a->ready_sent) {
		/* It has to know homes before it serves. */
		send_hubs(a);
		agent_gate_send_state(a);
	}
	a->ready_sent = ready;
}

/* To the gate, when they have changed and now and then. */
static void
on_members_due(void *ctx)
{
	struct agent *a = ctx;
	int64_t now = clk_ns(a->clk);
	uint64_t hash =
	    memb_digest_hubs(a->memb) + memb_count_fleet_serving(a->memb);

	if (hash == a->members_sent_hash &&
	    now - a->members_sent_at <= MEMBERS_AGAIN_NS)
		return;
	a->members_sent_hash = hash;
	a->members_sent_at = now;
	send_hubs(a);
}

/* When all boxes start, news come by the dozen, and go on together. */
void
agent_gate_schedule_members(struct agent *a)
{
	if (!a->members_timer.armed)
		tmr_set(&a->tmr, &a->members_timer,
		    clk_ns(a->clk) + MEMBERS_GAP_NS, on_members_due, a);
}

/* Our gate told of itself. */
void
agent_gate_on_status(struct agent *a, const struct msg *m)
{
	const struct msg_gate_status *gt = &m->u.gate_status;
	struct memb_info *self = memb_self(a->memb);
	bool was_leaving = self->leaving;
	bool fresh = gt->started_ms != a->gate_boot, begins;

	a->gate_received_at = clk_ns(a->clk);
	if (gt->conf_summary.digest != a->gate_digest ||
	    gt->ready != a->gate_ready)
		agent_box_schedule_status(a);
	a->gate_boot = gt->started_ms;
	a->gate_digest = gt->conf_summary.digest;
	a->gate_ready = gt->ready;
	if (fresh) {
		/* A new gate: whoever knew the old one must look anew. */
		self->started_ms = MAX(self->started_ms + 1, gt->started_ms);
		self->leaving = false;
		a->members_sent_at = 0;
		agent_probe_send_to_gate(a);
	}
	begins = gt->ready && !self->ready;
	if (fresh || self->ready != gt->ready) {
		self->ready = gt->ready;
		memb_self_changed(a->memb);
	}
	if (begins && memb_is_hub(a->memb, self->box))
		agent_peer_announce_ready(a);
	if (gt->leaving && !was_leaving)
		agent_peer_announce_leaving(a);
	else if (fresh)
		agent_gate_send_state(a);
	if (gt->suspect_box.n > 0)
		agent_peer_suspect(a, gt->suspect_box);
	sync_compare(&a->sync, m->from, &gt->conf_summary);
	agent_gate_schedule_members(a);
}

void
agent_gate_tick(struct agent *a, int64_t now)
{
	struct memb_info *self = memb_self(a->memb);

	if (self->ready && now - a->gate_received_at > GATE_SILENT_NS) {
		self->ready = false;
		memb_self_changed(a->memb);
		slog(SLOG_AGENT, "the gate is silent", "for_ms=%lld",
		    (long long)((now - a->gate_received_at) / NS_MS));
	}
	if (now - a->gate_sent_at >= a->settings.hello_ms * NS_MS) {
		a->gate_sent_at = now;
		agent_gate_send_state(a);
	}
	agent_gate_schedule_members(a);
}
