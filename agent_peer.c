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

/* A hello to our own gate: who we are and what configuration we have. */
struct msg
agent_peer_hello_of(const struct agent *a)
{
	struct msg m = {.kind = MSG_HELLO};

	m.u.hello.self = *memb_self(a->memb);
	m.u.hello.holds = sync_holds(&a->sync);
	return m;
}

static void
op_hello(void *ctx, struct str to, const struct msg_hello *h)
{
	struct msg m = {.kind = MSG_HELLO, .u.hello = *h};
	struct agent *a = ctx;

	wire_send(a->wire, to, &m);
}

static void
op_beat(void *ctx, struct str to, const struct msg_beat *b)
{
	struct msg m = {.kind = MSG_BEAT, .u.beat = *b};
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

static struct msg_holds
op_holds(void *ctx)
{
	struct agent *a = ctx;

	return sync_holds(&a->sync);
}

static void
op_list(void *ctx)
{
	agent_box_list(ctx);
}

void
agent_peer_configure(struct agent *a)
{
	struct gossip_set set = {
	    .hello_ns = a->set.hello_ms * NS_MS,
	    .list_ns = a->set.boxes_ms * NS_MS,
	    .list_other_ns = LIST_OTHER_NS,
	    .watchers = (int)a->set.watchers,
	    .seeds = a->set.seeds,
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
	if (a->settled || !gossip_settled(a->gossip))
		return;
	a->settled = true;
	slog(SLOG_PEER, "knows the other boxes", "asked=%u alive=%zu hubs=%zu",
	    gossip_asked(a->gossip), memb_count_alive(a->memb),
	    memb_count_hubs(a->memb));
	agent_gate_tell_ready(a);
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
		agent_watch_unattended(a);
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
agent_peer_listed(struct agent *a)
{
	gossip_listed(a->gossip);
	agent_scope_look(a);
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

	if (memb_alive(m) && !m->info.blind &&
	    str_eq(m->info.hall, s->agent->set.hall))
		s->seeing = true;
}

static bool
should_compare(struct agent *a, struct str hall, const struct msg_holds *holds,
    int64_t now)
{
	struct sight s = {a, a->platform_up};
	struct spread_difference d = {.near = str_eq(hall, a->set.hall),
	    .complete = agent_is_complete(a),
	    .alone = gossip_is_left_alone(a->gossip)};

	if (sync_equal(&a->sync, holds))
		a->differs_since = 0;
	else if (a->differs_since == 0)
		a->differs_since = now;
	if (a->differs_since != 0)
		d.lasts = MAX(now - a->differs_since, 1);
	if (!s.seeing)
		memb_each(a->memb, look_for_sight, &s);
	d.seeing = s.seeing;
	return spread_should_compare(&d);
}

/* A box has told which configuration it has. */
static void
take_holds(struct agent *a, struct str from, struct str hall,
    const struct msg_holds *holds)
{
	sync_hear(&a->sync, holds);
	if (should_compare(a, hall, holds, clk_ns(a->clk)))
		sync_compare(&a->sync, from, holds);
}

static void
take_hello(struct agent *a, const struct msg *m)
{
	const struct msg_hello *h = &m->u.hello;

	gossip_take_hello(a->gossip, m->from, h);
	take_holds(a, m->from, h->self.hall, &h->holds);
	agent_gate_tell_ready(a);
	agent_gate_members_soon(a);
	on_due(a);
}

static void
take_beat(struct agent *a, const struct msg *m)
{
	const struct msg_beat *b = &m->u.beat;
	const struct memb_member *member;

	gossip_take_beat(a->gossip, m->from, b);
	member = memb_find(a->memb, b->box);
	if (member != NULL)
		take_holds(a, m->from, member->info.hall, &b->holds);
	agent_gate_tell_ready(a);
	on_due(a);
}

static void
take_members(struct agent *a, const struct msg_members *list)
{
	gossip_take_members(a->gossip, list);
	agent_gate_members_soon(a);
	on_due(a);
}

void
agent_peer_tick(struct agent *a, int64_t now)
{
	if (memb_tick(a->memb, now))
		slog(SLOG_PEER, "a box did not answer", "alive=%zu hubs=%zu",
		    memb_count_alive(a->memb), memb_count_hubs(a->memb));
	agent_scope_look(a);
	agent_box_tick(a);
}

/* Tell the others that the platform does, or does not, answer us. */
void
agent_peer_blind(struct agent *a, bool blind)
{
	memb_self(a->memb)->blind = blind;
	memb_changed(a->memb);
	gossip_announce(a->gossip, false);
}

/*
 * Our gate serves now, and may be home: all whom it concerns are told at once.
 * Left to the next hellos, each box takes itself for home of everything for a
 * second after a fault that took all of them, and they crowd the backend
 * servers.
 */
void
agent_peer_ready(struct agent *a)
{
	gossip_announce(a->gossip, false);
	on_due(a);
}

void
agent_peer_leave(struct agent *a)
{
	slog(SLOG_PEER, "tells the other boxes that this one leaves",
	    "boxes=%zu", memb_count_alive(a->memb));
	memb_self(a->memb)->leaving = true;
	memb_changed(a->memb);
	gossip_announce(a->gossip, true);
	agent_box_status_soon(a);
}

/* Our gate got no answer of another one. */
void
agent_peer_doubt(struct agent *a, struct str box)
{
	gossip_doubt(a->gossip, box);
	on_due(a);
}

void
agent_peer_take(void *ctx, const struct msg *m)
{
	struct agent *a = ctx;

	switch (m->kind) {
	case MSG_HELLO:
		take_hello(a, m);
		break;
	case MSG_BEAT:
		take_beat(a, m);
		break;
	case MSG_SUSPECTS:
		agent_poison_take(a, &m->u.suspects);
		break;
	case MSG_GATE:
		agent_gate_take(a, m);
		break;
	case MSG_MEMBERS:
		take_members(a, &m->u.members);
		break;
	case MSG_HEALTH:
		agent_probe_take(a, &m->u.health);
		break;
	default:
		sync_take(&a->sync, m);
		break;
	}
}
