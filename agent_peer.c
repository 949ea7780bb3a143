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
#include "spread.h"

/*
 * Messages to and from other boxes: membership, which gossip.c handles, and
 * comparison of configurations.
 */

/* Interval at which hubs that do not watch fetch the list of boxes. */
#define HUB_LIST_INTERVAL_NS (60 * NS_S)

static void run_gossip(void *);

static void
send_to(void *ctx, struct str to, const struct msg *m)
{
	struct agent *a = ctx;
	struct msg copy = *m;

	wire_send(a->wire, to, &copy);
}

/* Returns an announcement of this box's state and configuration digests. */
struct msg
agent_peer_own_announcement(const struct agent *a)
{
	struct msg m = {.kind = MSG_ANNOUNCEMENT};

	m.u.announcement.self = *memb_self(a->memb);
	m.u.announcement.conf_summary = sync_conf_summary(&a->sync);
	return m;
}

static void
op_send_announcement(
    void *ctx, struct str to, const struct msg_announcement *announcement)
{
	struct msg m = {
	    .kind = MSG_ANNOUNCEMENT, .u.announcement = *announcement};
	struct agent *a = ctx;

	wire_send(a->wire, to, &m);
}

static void
op_send_heartbeat(
    void *ctx, struct str to, const struct msg_heartbeat *heartbeat)
{
	struct msg m = {.kind = MSG_HEARTBEAT, .u.heartbeat = *heartbeat};
	struct agent *a = ctx;

	wire_send(a->wire, to, &m);
}

static void
op_send_members(void *ctx, struct str to, const struct msg_members *list)
{
	struct msg m = {.kind = MSG_MEMBERS, .u.members = *list};
	struct agent *a = ctx;

	wire_send(a->wire, to, &m);
}

static struct msg_conf_summary
op_conf_summary(void *ctx)
{
	struct agent *a = ctx;

	return sync_conf_summary(&a->sync);
}

static void
op_list_boxes(void *ctx)
{
	agent_box_fetch_list(ctx);
}

void
agent_peer_configure(struct agent *a)
{
	struct gossip_settings settings = {
	    .announce_interval_ns = a->settings.hello_ms * NS_MS,
	    .list_interval_ns = a->settings.boxes_ms * NS_MS,
	    .hub_list_interval_ns = HUB_LIST_INTERVAL_NS,
	    .watchers = (int)a->settings.watchers,
	    .seeds = a->settings.seeds,
	};

	gossip_configure(a->gossip, &settings);
}

void
agent_peer_open(struct agent *a)
{
	const struct gossip_ops ops = {op_send_announcement, op_send_heartbeat,
	    op_send_members, op_conf_summary, op_list_boxes, a};

	a->sync.conf = a->conf;
	a->sync.send = send_to;
	a->sync.clk = a->clk;
	a->sync.ctx = a;
	a->gossip = gossip_new(&ops, a->memb, a->clk, a->rnd);
	a->halls = spread_halls_new();
	agent_peer_configure(a);
	run_gossip(a);
}

/* Once the boxes of the hall are known, the gate may serve. */
static void
check_peers_known(struct agent *a)
{
	if (a->peers_known || !gossip_is_settled(a->gossip))
		return;
	a->peers_known = true;
	slog(SLOG_PEER, "knows the other boxes", "asked=%u alive=%zu hubs=%zu",
	    gossip_initial_requests(a->gossip), memb_count_alive(a->memb),
	    memb_count_hubs(a->memb));
	agent_gate_send_ready(a);
}

/*
 * A box is unattended while no hub that has contact with the platform answers
 * it, so that it receives no changes.  A watcher reads changes by itself.
 */
static void
check_unattended(struct agent *a)
{
	bool unattended =
	    !agent_is_watcher(a) && gossip_is_unattended(a->gossip);

	if (unattended == a->unattended)
		return;
	a->unattended = unattended;
	cnt_set(a->cnt, AC_UNATTENDED, unattended);
	slog(SLOG_PEER,
	    unattended ? "no box that hears from the platform answers"
		       : "a box that hears from the platform answers again",
	    "hubs=%zu alive=%zu conf_age_ms=%lld", memb_count_hubs(a->memb),
	    memb_count_alive(a->memb), (long long)sync_age_ms(&a->sync));
	if (unattended)
		agent_watch_start_unattended(a);
}

/* Runs the gossip actions that are due and sets the timer for the next. */
static void
run_gossip(void *ctx)
{
	struct agent *a = ctx;
	int64_t next = gossip_run(a->gossip);

	check_peers_known(a);
	check_unattended(a);
	agent_watch_update_role(a);
	tmr_set(&a->tmr, &a->gossip_timer, next, run_gossip, a);
}

/* Handles a new list of boxes, which is in memb already. */
void
agent_peer_on_boxes_listed(struct agent *a)
{
	gossip_list_received(a->gossip);
	agent_scope_update(a);
	run_gossip(a);
}

/* Whether this box or another of its hall has contact with the platform. */
struct hall_contact {
	const struct agent *agent;
	bool platform_reachable;
};

static void
find_hall_contact(void *ctx, const struct memb_member *m)
{
	struct hall_contact *contact = ctx;

	if (memb_is_alive(m) && !m->info.platform_unreachable &&
	    str_eq(m->info.hall, contact->agent->settings.hall))
		contact->platform_reachable = true;
}

static bool
should_compare(struct agent *a, struct str hall,
    const struct msg_conf_summary *summary, int64_t now)
{
	struct hall_contact contact = {a, a->platform_up};
	struct spread_difference difference = {
	    .same_hall = str_eq(hall, a->settings.hall),
	    .lists_complete = agent_conf_is_complete(a),
	    .hall_box_silent = gossip_has_unresponsive_peer(a->gossip),
	    .duration_ns = spread_halls_record(
		a->halls, hall, !sync_is_equal(&a->sync, summary), now)};

	if (!contact.platform_reachable)
		memb_each(a->memb, find_hall_contact, &contact);
	difference.hall_has_platform = contact.platform_reachable;
	return spread_should_compare(&difference);
}

/* Handles the summary of another box's configuration. */
static void
handle_conf_summary(struct agent *a, struct str from, struct str hall,
    const struct msg_conf_summary *summary)
{
	sync_confirm_from_peer(&a->sync, summary);
	if (should_compare(a, hall, summary, clk_ns(a->clk)))
		sync_compare(&a->sync, from, summary);
}

static void
handle_announcement(struct agent *a, const struct msg *m)
{
	const struct msg_announcement *announcement = &m->u.announcement;

	gossip_on_announcement(a->gossip, m->from, announcement);
	handle_conf_summary(
	    a, m->from, announcement->self.hall, &announcement->conf_summary);
	agent_gate_send_ready(a);
	agent_gate_schedule_members(a);
	run_gossip(a);
}

static void
handle_heartbeat(struct agent *a, const struct msg *m)
{
	const struct msg_heartbeat *heartbeat = &m->u.heartbeat;
	const struct memb_member *member;

	gossip_on_heartbeat(a->gossip, m->from, heartbeat);
	member = memb_find(a->memb, heartbeat->box);
	if (member != NULL)
		handle_conf_summary(
		    a, m->from, member->info.hall, &heartbeat->conf_summary);
	agent_gate_send_ready(a);
	run_gossip(a);
}

static void
handle_members(struct agent *a, const struct msg_members *list)
{
	gossip_on_members(a->gossip, list);
	agent_gate_schedule_members(a);
	run_gossip(a);
}

void
agent_peer_tick(struct agent *a, int64_t now)
{
	if (memb_tick(a->memb, now)) {
		slog(SLOG_PEER, "a box did not answer",
		    "alive=%zu hubs=%zu lost=%zu strong=%d",
		    memb_count_alive(a->memb), memb_count_hubs(a->memb),
		    memb_count_lost(a->memb), memb_is_strong(a->memb));
		agent_gate_schedule_members(a);
	}
	agent_scope_update(a);
	agent_watch_update_role(a);
	agent_box_tick(a);
}

/* Announces to other boxes whether the platform answers this box. */
void
agent_peer_announce_outage(struct agent *a, bool unreachable)
{
	memb_self(a->memb)->platform_unreachable = unreachable;
	memb_self_changed(a->memb);
	gossip_announce(a->gossip, false);
	tmr_set(&a->tmr, &a->gossip_timer, clk_ns(a->clk), run_gossip, a);
}

/*
 * Announces at once that the gate serves and may own services.  If this were
 * left to the periodic announcements, then after a loss of all boxes each box
 * would act as the owner of all services for a second, and together
 * they would overload the backend servers.
 */
void
agent_peer_announce_ready(struct agent *a)
{
	gossip_announce(a->gossip, false);
	run_gossip(a);
}

void
agent_peer_announce_leaving(struct agent *a)
{
	slog(SLOG_PEER, "box announces that it is leaving", "boxes=%zu",
	    memb_count_alive(a->memb));
	memb_self(a->memb)->leaving = true;
	memb_self_changed(a->memb);
	gossip_announce(a->gossip, true);
	agent_box_schedule_status(a);
}

/* The gate of another box did not answer our gate; checks that box at once. */
void
agent_peer_suspect(struct agent *a, struct str box)
{
	gossip_check_suspect(a->gossip, box);
	run_gossip(a);
}

void
agent_peer_on_message(void *ctx, const struct msg *m)
{
	struct agent *a = ctx;

	switch (m->kind) {
	case MSG_ANNOUNCEMENT:
		handle_announcement(a, m);
		break;
	case MSG_HEARTBEAT:
		handle_heartbeat(a, m);
		break;
	case MSG_SUSPECTS:
		agent_poison_merge(a, &m->u.suspects);
		break;
	case MSG_GATE_STATUS:
		agent_gate_on_status(a, m);
		break;
	case MSG_MEMBERS:
		handle_members(a, &m->u.members);
		break;
	case MSG_HEALTH:
		agent_probe_on_health(a, &m->u.health);
		break;
	default:
		sync_on_message(&a->sync, m);
		break;
	}
}
