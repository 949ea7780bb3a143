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
 * Messages between the agent and its gate.  The agent sends whether the gate
 * may serve and which hubs are alive; the gate reports its status.
 */

/* An unchanged list of members is sent again after this time. */
#define MEMBERS_REFRESH_NS (30 * NS_S)
/* Delay that combines several changes into one list of members. */
#define MEMBERS_DELAY_NS (40 * NS_MS)
#define GATE_TIMEOUT_NS (4 * NS_S)

/* The gates that may own shards: hubs of all halls, and those that leave. */
struct owner_list {
	struct agent *agent;
	GArray *infos; /* struct memb_info */
	uint64_t leaving; /* digest of those that leave */
};

static void
add_owner(void *ctx, const struct memb_member *m)
{
	struct owner_list *list = ctx;

	if (memb_is_leaving_strong(list->agent->memb, m))
		list->leaving += m->weight * (m->info.started_ms | 1);
	else if (!memb_is_hub(list->agent->memb, m->info.box))
		return;
	g_array_append_val(list->infos, m->info);
}

/* The caller frees list.infos. */
static struct owner_list
list_owners(struct agent *a)
{
	struct owner_list list = {
	    a, g_array_new(FALSE, FALSE, sizeof(struct memb_info)), 0};

	memb_each(a->memb, add_owner, &list);
	return list;
}

static bool
knows_owner(struct agent *a)
{
	struct owner_list list;
	bool known;

	if (memb_count_hubs(a->memb) > 0)
		return true;
	list = list_owners(a);
	known = list.infos->len > 0;
	g_array_free(list.infos, TRUE);
	return known;
}

/*
 * The gate may serve once the configuration is complete and the boxes of the
 * hall are known: a gate that knows no other box would act as the owner of all
 * services.  A gate without backend servers needs an owner to forward to.
 */
static bool
gate_may_serve(struct agent *a)
{
	if (a->scope == SCOPE_RULES && !knows_owner(a))
		return false;
	return agent_conf_is_complete(a) && a->peers_known;
}

/* Sends this box's announcement to the gate; `ready` means: it may serve. */
void
agent_gate_send_announcement(struct agent *a)
{
	struct msg m = agent_peer_own_announcement(a);

	m.u.announcement.self.ready = gate_may_serve(a);
	wire_send(a->wire, a->settings.gate_inbox, &m);
}

static void
send_owners(struct agent *a, const struct owner_list *list)
{
	struct msg m = {.kind = MSG_MEMBERS};

	m.u.members.members.items = (struct memb_info *)list->infos->data;
	m.u.members.members.n = list->infos->len;
	m.u.members.serving_gates = memb_count_fleet_serving(a->memb);
	m.u.members.is_hub = memb_is_hub(a->memb, a->settings.box);
	wire_send(a->wire, a->settings.gate_inbox, &m);
}

/* Notifies the gate as soon as it may serve. */
void
agent_gate_send_ready(struct agent *a)
{
	bool ready = gate_may_serve(a);
	struct owner_list list;

	if (ready && !a->ready_sent) {
		/* The gate needs them to find the owners of services. */
		list = list_owners(a);
		send_owners(a, &list);
		g_array_free(list.infos, TRUE);
		agent_gate_send_announcement(a);
	}
	a->ready_sent = ready;
}

/* Sends the members if they changed, or if the last list is old. */
static void
send_members(void *ctx)
{
	struct agent *a = ctx;
	int64_t now = clk_ns(a->clk);
	struct owner_list list = list_owners(a);
	uint64_t hash = memb_digest_hubs(a->memb) +
	    memb_count_fleet_serving(a->memb) + list.leaving;

	if (hash != a->members_sent_hash ||
	    now - a->members_sent_at > MEMBERS_REFRESH_NS) {
		a->members_sent_hash = hash;
		a->members_sent_at = now;
		send_owners(a, &list);
	}
	g_array_free(list.infos, TRUE);
}

/* Members change often while all boxes start, so that changes are combined. */
void
agent_gate_schedule_members(struct agent *a)
{
	if (!a->members_timer.armed)
		tmr_set(&a->tmr, &a->members_timer,
		    clk_ns(a->clk) + MEMBERS_DELAY_NS, send_members, a);
}

/* Handles a status message of the gate. */
void
agent_gate_on_status(struct agent *a, const struct msg *m)
{
	const struct msg_gate_status *status = &m->u.gate_status;
	struct memb_info *self = memb_self(a->memb);
	bool was_leaving = self->leaving;
	bool is_new = status->started_ms != a->gate_started_ms, starts_serving;

	a->gate_received_at = clk_ns(a->clk);
	if (status->conf_summary.digest != a->gate_conf_digest ||
	    status->ready != a->gate_ready)
		agent_box_schedule_status(a);
	a->gate_started_ms = status->started_ms;
	a->gate_conf_digest = status->conf_summary.digest;
	a->gate_ready = status->ready;
	if (is_new) {
		/* The gate restarted: peers must drop the old state. */
		self->started_ms =
		    MAX(self->started_ms + 1, status->started_ms);
		self->leaving = false;
		a->members_sent_at = 0;
		agent_probe_send_to_gate(a);
	}
	starts_serving = status->ready && !self->ready;
	if (is_new || self->ready != status->ready) {
		self->ready = status->ready;
		memb_self_changed(a->memb);
	}
	if (starts_serving && memb_is_hub(a->memb, self->box))
		agent_peer_announce_ready(a);
	if (status->leaving && !was_leaving)
		agent_peer_announce_leaving(a);
	else if (is_new)
		agent_gate_send_announcement(a);
	if (status->suspect_box.n > 0)
		agent_peer_suspect(a, status->suspect_box);
	sync_compare(&a->sync, m->from, &status->conf_summary);
	agent_gate_schedule_members(a);
}

void
agent_gate_tick(struct agent *a, int64_t now)
{
	struct memb_info *self = memb_self(a->memb);

	if (self->ready && now - a->gate_received_at > GATE_TIMEOUT_NS) {
		self->ready = false;
		memb_self_changed(a->memb);
		slog(SLOG_AGENT, "gate does not answer", "for_ms=%lld",
		    (long long)((now - a->gate_received_at) / NS_MS));
	}
	if (now - a->gate_sent_at >= a->settings.hello_ms * NS_MS) {
		a->gate_sent_at = now;
		agent_gate_send_announcement(a);
	}
	agent_gate_schedule_members(a);
}
