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
 * What this box says to the others, and what it makes of theirs: membership,
 * which gossip.c decides on, and configuration that differs.
 */

/* Hubs that do not watch list the boxes this seldom. */
#define LIST_OTHER_NS (60 * NS_S)

static void on_due(void *);

static void
send_to(void *ctx, struct str to, const struct msg *m)
{
	struct agent *a = ctx;
	struct msg copy = *m;

	wire_send(a->wire, to, &copy);
}

/* A announcement to our own gate: who we are and what configuration we have. */
struct msg
agent_peer_own_state(const struct agent *a)
{
	struct msg m = {.kind = MSG_ANNOUNCEMENT};

	m.u.announcement.self = *memb_self(a->memb);
	m.u.announcement.conf_summary = sync_conf_summary(&a->sync);
	return m;
}

static void
op_hello(void *ctx, struct str to, const struct msg_announcement *h)
{
	struct msg m = {.kind = MSG_ANNOUNCEMENT, .u.announcement = *h};
	struct agent *a = ctx;

	wire_send(a->wire, to, &m);
}

static void
op_beat(void *ctx, struct str to, const struct msg_heartbeat *b)
{
	struct msg m = {.kind = MSG_HEARTBEAT, .u.heartbeat = *b};
	struct agent *a = ctx;

	wire_send(a->wire, to, &m);
}

static void
op_members(void *ctx, struct str to, const struct msg_members *list)
{
	struct msg m = {.kind = MSG_MEMBERS, .u.members = *list};
	struct agent *a = ctx;

	wire_send(a->wire, to, &m);
}

static struct msg_conf_summary
op_holds(void *ctx)
{
	struct agent *a = ctx;

	return sync_conf_summary(&a->sync);
}

static void
op_list(void *ctx)
{
	agent_box_fetch_list(ctx);
}

void
agent_peer_configure(struct agent *a)
{
	struct gossip_settings set = {
	    .announce_interval_ns = a->settings.hello_ms * NS_MS,
	    .list_interval_ns = a->settings.boxes_ms * NS_MS,
	    .hub_list_interval_ns = LIST_OTHER_NS,
	    .watchers = (int)a->settings.watchers,
	    .seeds = a->settings.seeds,
	};

	gossip_configure(a->gossip, &set);
}

void
agent_peer_open(struct agent *a)
{
	const struct gossip_ops ops = {
	    op_hello, op_beat, op_members, op_holds, op_list, a};

	a->sync.conf = a->conf;
	a->sync.send = send_to;
	a->sync.clk = a->clk;
	a->sync.ctx = a;
	a->gossip = gossip_new(&ops, a->memb, a->clk, a->rnd);
	agent_peer_configure(a);
	on_due(a);
}

/* The boxes near are known: our gate may serve. */
static void
look_settled(struct agent *a)
{
	if (a->peers_known || !gossip_is_settled(a->gossip))
		return;
	a->peers_known = true;
	slog(SLOG_PEER, "knows the other boxes", "asked=%u alive=%zu hubs=%zu",
	    gossip_initial_requests(a->gossip), memb_count_alive(a->memb),
	    memb_count_hubs(a->memb));
	agent_gate_send_ready(a);
}

/* Who watches needs nobody to tell it of changes. */
static void
look_unattended(struct agent *a)
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

/* Do what is due, and wake up for what is due next. */
static void
on_due(void *ctx)
{
	struct agent *a = ctx;
	int64_t next = gossip_run(a->gossip);

	look_settled(a);
	look_unattended(a);
	tmr_set(&a->tmr, &a->gossip_timer, next, on_due, a);
}

/* The platform's list of boxes is here. */
void
agent_peer_on_boxes_listed(struct agent *a)
{
	gossip_list_received(a->gossip);
	agent_scope_update(a);
	on_due(a);
}

/* Does a box of our hall, or this one, hear from the platform? */
struct sight {
	const struct agent *agent;
	bool seeing;
};

static void
look_for_sight(void *ctx, const struct memb_member *m)
{
	struct sight *s = ctx;

	if (memb_is_alive(m) && !m->info.platform_unreachable &&
	    str_eq(m->info.hall, s->agent->settings.hall))
		s->seeing = true;
}

static bool
should_compare(struct agent *a, struct str hall,
    const struct msg_conf_summary *holds, int64_t now)
{
	struct sight s = {a, a->platform_up};
	struct spread_difference d = {
	    .same_hall = str_eq(hall, a->settings.hall),
	    .lists_complete = agent_conf_is_complete(a),
	    .hall_box_silent = gossip_has_unresponsive_peer(a->gossip)};

	if (sync_is_equal(&a->sync, holds))
		a->differs_since = 0;
	else if (a->differs_since == 0)
		a->differs_since = now;
	if (a->differs_since != 0)
		d.duration_ns = MAX(now - a->differs_since, 1);
	if (!s.seeing)
		memb_each(a->memb, look_for_sight, &s);
	d.hall_has_platform = s.seeing;
	return spread_should_compare(&d);
}

/* A box has told which configuration it has. */
static void
take_holds(struct agent *a, struct str from, struct str hall,
    const struct msg_conf_summary *holds)
{
	sync_confirm_from_peer(&a->sync, holds);
	if (should_compare(a, hall, holds, clk_ns(a->clk)))
		sync_compare(&a->sync, from, holds);
}

static void
take_hello(struct agent *a, const struct msg *m)
{
	const struct msg_announcement *h = &m->u.announcement;

	gossip_on_announcement(a->gossip, m->from, h);
	take_holds(a, m->from, h->self.hall, &h->conf_summary);
	agent_gate_send_ready(a);
	agent_gate_schedule_members(a);
	on_due(a);
}

static void
take_beat(struct agent *a, const struct msg *m)
{
	const struct msg_heartbeat *b = &m->u.heartbeat;
	const struct memb_member *member;

	gossip_on_heartbeat(a->gossip, m->from, b);
	member = memb_find(a->memb, b->box);
	if (member != NULL)
		take_holds(a, m->from, member->info.hall, &b->conf_summary);
	agent_gate_send_ready(a);
	on_due(a);
}

static void
take_members(struct agent *a, const struct msg_members *list)
{
	gossip_on_members(a->gossip, list);
	agent_gate_schedule_members(a);
	on_due(a);
}

void
agent_peer_tick(struct agent *a, int64_t now)
{
	if (memb_tick(a->memb, now))
		slog(SLOG_PEER, "a box did not answer", "alive=%zu hubs=%zu",
		    memb_count_alive(a->memb), memb_count_hubs(a->memb));
	agent_scope_update(a);
	agent_box_tick(a);
}

/* Tell the others that the platform does, or does not, answer us. */
void
agent_peer_announce_outage(struct agent *a, bool blind)
{
	memb_self(a->memb)->platform_unreachable = blind;
	memb_self_changed(a->memb);
	gossip_announce(a->gossip, false);
}

/*
 * Our gate serves now, and may be home: all whom it concerns are told at once.
 * Left to the next hellos, each box takes itself for home of everything for a
 * second after a fault that took all of them, and they crowd the backend
 * servers.
 */
void
agent_peer_announce_ready(struct agent *a)
{
	gossip_announce(a->gossip, false);
	on_due(a);
}

void
agent_peer_announce_leaving(struct agent *a)
{
	slog(SLOG_PEER, "tells the other boxes that this one leaves",
	    "boxes=%zu", memb_count_alive(a->memb));
	memb_self(a->memb)->leaving = true;
	memb_self_changed(a->memb);
	gossip_announce(a->gossip, true);
	agent_box_schedule_status(a);
}

/* Our gate got no answer of another one. */
void
agent_peer_suspect(struct agent *a, struct str box)
{
	gossip_check_suspect(a->gossip, box);
	on_due(a);
}

void
agent_peer_on_message(void *ctx, const struct msg *m)
{
	struct agent *a = ctx;

	switch (m->kind) {
	case MSG_ANNOUNCEMENT:
		take_hello(a, m);
		break;
	case MSG_HEARTBEAT:
		take_beat(a, m);
		break;
	case MSG_SUSPECTS:
		agent_poison_merge(a, &m->u.suspects);
		break;
	case MSG_GATE_STATUS:
		agent_gate_on_status(a, m);
		break;
	case MSG_MEMBERS:
		take_members(a, &m->u.members);
		break;
	case MSG_HEALTH:
		agent_probe_on_health(a, &m->u.health);
		break;
	default:
		sync_on_message(&a->sync, m);
		break;
	}
}
