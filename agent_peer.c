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
 * What this box says to the others, and what it makes of theirs: hellos,
 * members, configuration that differs.
 */

enum {
	GOSSIP_MEMBERS = 12,
	AWAY_ROUNDS = 3, /* one question in so many may go to another hall */
	SEEDS_PER_ROUND = 2,
	SEEDS_ONE_IN = 10
};

/* Between two lists of members for boxes that know few. */
#define MEMBERS_GAP_NS (40 * NS_MS)
/* A difference to another hall that lasts so long is healed from there. */
#define AWAY_WAIT_NS (1500 * NS_MS)

static void on_hello_due(void *);

static void
send_to(void *ctx, struct str to, const struct msg *m)
{
	struct agent *a = ctx;
	struct msg copy = *m;

	wire_send(a->wire, to, &copy);
}

void
agent_peer_open(struct agent *a)
{
	a->sync.conf = a->conf;
	a->sync.send = send_to;
	a->sync.ctx = a;
	on_hello_due(a);
}

/* A hello: who we are and what configuration we have. */
struct msg
agent_peer_hello_of(const struct agent *a)
{
	struct msg m = {.kind = MSG_HELLO};

	m.u.hello.self = *memb_self(a->memb);
	m.u.hello.digest = conf_digest(a->conf);
	m.u.hello.floor = conf_floor(a->conf);
	return m;
}

void
agent_peer_hello(struct agent *a, struct str to, struct str box, bool asks)
{
	const struct memb_member *some[GOSSIP_MEMBERS];
	struct memb_info infos[GOSSIP_MEMBERS];
	struct msg m = agent_peer_hello_of(a);
	size_t i, n;

	n = memb_news(a->memb, a->rnd, box, some, GOSSIP_MEMBERS);
	for (i = 0; i < n; i++)
		infos[i] = some[i]->info;
	m.u.hello.members = memb_count_alive(a->memb);
	m.u.hello.asks = asks;
	m.u.hello.others.items = infos;
	m.u.hello.others.n = n;
	if (asks)
		memb_asked(a->memb, box, clk_ns(a->clk));
	wire_send(a->wire, to, &m);
}

static void
ask(struct agent *a, struct str hall)
{
	const struct memb_member *m = memb_ask_next(a->memb, a->rnd, hall);

	if (m != NULL)
		agent_peer_hello(a, m->info.inbox, m->info.box, true);
}

/*
 * Seeds are asked while we know no other box, and then so seldom that they
 * get few questions from the whole fleet.
 */
static void
ask_seeds(struct agent *a)
{
	size_t n = json_array_size(a->set.seeds), i;
	json_t *seed;

	for (i = 0; i < MIN(n, SEEDS_PER_ROUND); i++) {
		seed = json_array_get(a->set.seeds, rnd_below(a->rnd, n));
		if (!str_eq(str_c(json_string_value(seed)), a->set.inbox))
			agent_peer_hello(a, str_c(json_string_value(seed)),
			    str_c(NULL), true);
	}
}

static void
on_hello_due(void *ctx)
{
	struct agent *a = ctx;
	int64_t now = clk_ns(a->clk);
	size_t alive = memb_count_alive(a->memb);

	ask(a, a->set.hall);
	if (a->rounds++ % AWAY_ROUNDS == 0)
		ask(a, str_c(NULL));
	if (rnd_below(a->rnd, SEEDS_ONE_IN * (alive - 1)) == 0)
		ask_seeds(a);
	agent_gate_hello(a);
	tmr_set(&a->tmr, &a->hello_timer,
	    now + rnd_jitter(a->rnd, a->set.hello_ms * NS_MS), on_hello_due, a);
}

static void
gather_alive(void *ctx, const struct memb_member *m)
{
	GArray *infos = ctx;

	if (memb_alive(m))
		g_array_append_val(infos, m->info);
}

/* All boxes that are alive, for our gate or a box that knows few. */
void
agent_peer_send_members(struct agent *a, struct str to)
{
	GArray *infos = g_array_new(FALSE, FALSE, sizeof(struct memb_info));
	struct msg m = {.kind = MSG_MEMBERS};

	memb_each(a->memb, gather_alive, infos);
	m.u.members.members.items = (struct memb_info *)infos->data;
	m.u.members.members.n = infos->len;
	wire_send(a->wire, to, &m);
	g_array_free(infos, TRUE);
}

static void
take_members(struct agent *a, const struct memb_info *infos, size_t n)
{
	int64_t now = clk_ns(a->clk);
	size_t i;

	for (i = 0; i < n; i++)
		memb_heard(a->memb, &infos[i], now);
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

/*
 * A difference to a box of another hall heals by itself while our own hall
 * hears from the platform; bytes between halls are dear.
 */
static bool
should_compare(struct agent *a, const struct msg_hello *h, int64_t now)
{
	struct sight s = {a, a->platform_up};

	if (h->digest == conf_digest(a->conf))
		a->differs_since = 0;
	else if (a->differs_since == 0)
		a->differs_since = now;
	if (str_eq(h->self.hall, a->set.hall) || conf_floor(a->conf) == 0 ||
	    a->differs_since == 0 || now - a->differs_since > AWAY_WAIT_NS)
		return true;
	memb_each(a->memb, look_for_sight, &s);
	return !s.seeing;
}

static void
take_hello(struct agent *a, const struct msg *m)
{
	const struct msg_hello *h = &m->u.hello;
	int64_t now = clk_ns(a->clk);
	bool news;

	news = memb_heard(a->memb, &h->self, now);
	memb_answered(a->memb, h->self.box);
	take_members(a, h->others.items, h->others.n);
	if (h->asks || news)
		agent_peer_hello(a, m->from, h->self.box, false);
	if (h->members * 2 < memb_count_alive(a->memb) &&
	    now - a->all_members_sent >= MEMBERS_GAP_NS) {
		a->all_members_sent = now;
		agent_peer_send_members(a, m->from);
	}
	if (should_compare(a, h, now))
		sync_compare(&a->sync, m->from, h->digest, h->floor);
	agent_greet_answered(a);
	agent_gate_tell_ready(a);
	agent_gate_members_soon(a);
}

void
agent_peer_tick(struct agent *a, int64_t now)
{
	if (memb_tick(a->memb, now))
		slog(SLOG_PEER, "a box did not answer", "alive=%zu",
		    memb_count_alive(a->memb));
	if (conf_digest(a->conf) != a->status_told)
		agent_box_status_soon(a);
}

/* Tell our hall that the platform does, or does not, answer us. */
void
agent_peer_blind(struct agent *a, bool blind)
{
	struct memb_info *self = memb_self(a->memb);
	struct msg m;

	self->blind = blind;
	self->beat++;
	m = agent_peer_hello_of(a);
	m.u.hello.members = memb_count_alive(a->memb);
	agent_push_hall(a, &m);
}

/*
 * Our gate serves now, and may be home: all are told at once.  Left to the
 * next hellos, each box takes itself for home of everything for a second
 * after a fault that took all of them, and they crowd the backend servers.
 */
void
agent_peer_ready(struct agent *a)
{
	struct msg m = agent_peer_hello_of(a);

	m.u.hello.members = memb_count_alive(a->memb);
	agent_push_all(a, &m);
}

void
agent_peer_leave(struct agent *a)
{
	struct memb_info *self = memb_self(a->memb);
	struct msg m;

	slog(SLOG_PEER, "tells the other boxes that this one leaves",
	    "boxes=%zu", memb_count_alive(a->memb));
	self->leaving = true;
	self->beat++;
	m = agent_peer_hello_of(a);
	agent_push_all(a, &m);
	agent_box_status_soon(a);
}

void
agent_peer_take(void *ctx, const struct msg *m)
{
	struct agent *a = ctx;

	switch (m->kind) {
	case MSG_HELLO:
		take_hello(a, m);
		break;
	case MSG_GATE:
		agent_gate_take(a, m);
		break;
	case MSG_MEMBERS:
		take_members(
		    a, m->u.members.members.items, m->u.members.members.n);
		break;
	case MSG_HEALTH:
		agent_probe_take(a, &m->u.health);
		break;
	default:
		sync_take(&a->sync, m);
		break;
	}
}
