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

#include "libgate.h"
#include "slog.h"

/* Which gate is home for a shard, and what homes tell one another. */

/* A home that does not answer a ping is left for so long. */
#define SUSPECT_NS (2 * NS_S)
/* What has not changed is told again after this time. */
#define TELL_AGAIN_NS (500 * NS_MS)

static struct gate_peer *find(struct gate *, struct str);
static bool usable(const struct gate_peer *, int64_t);
static bool hall_serves(const struct gate *, struct str, int64_t);
static struct str shard_key(char *, size_t, struct str, struct str);
static void tell_room(struct gate *, struct gate_shard *, int64_t);

static struct gate_peer *
find(struct gate *g, struct str box)
{
	struct gate_peer *p;
	guint i;

	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (str_eq(p->info.box, box))
			return p;
	}
	return NULL;
}

static bool
usable(const struct gate_peer *p, int64_t now)
{
	return p->listed && p->info.ready && !p->info.leaving &&
	    p->info.pass.n > 0 && now >= p->suspect_until;
}

static struct str
shard_key(char *text, size_t size, struct str service, struct str hall)
{
	int n =
	    snprintf(text, size, "%.*s/%.*s", STR_ARG(service), STR_ARG(hall));

	return str_n(text, (size_t)MIN(n, (int)size - 1));
}

static uint64_t
own_power(const struct gate *g)
{
	return (uint64_t)(g->set.power * MEMB_POWER_UNIT);
}

/* Does any gate of a hall serve? */
static bool
hall_serves(const struct gate *g, struct str hall, int64_t now)
{
	const struct gate_peer *p;
	guint i;

	if (str_eq(g->set.hall, hall) && !gate_box_leaving(g))
		return true;
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (usable(p, now) && str_eq(p->info.hall, hall))
			return true;
	}
	return false;
}

/* May our gate be home for shards of a hall?  near: its own gates only. */
static bool
self_may(const struct gate *g, struct str hall, bool near)
{
	return !gate_box_leaving(g) && (!near || str_eq(g->set.hall, hall));
}

/* The same of another gate. */
static bool
peer_may(const struct gate_peer *p, struct str hall, bool near, int64_t now)
{
	return usable(p, now) && (!near || str_eq(p->info.hall, hall));
}

/* The most powerful gate that may be home, in thousandths of a processor. */
static uint64_t
most_power(const struct gate *g, struct str hall, bool near, int64_t now)
{
	const struct gate_peer *p;
	uint64_t most = 0;
	guint i;

	if (self_may(g, hall, near))
		most = own_power(g);
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (peer_may(p, hall, near, now))
			most = MAX(most, p->info.power);
	}
	return most;
}

/*
 * The home of a shard is the gate with the highest weight for it among those
 * of the shard's hall that serve, or among all, where that hall has none.
 * Only strong boxes are homes: all of a shard's requests go through its home.
 * No gate has to agree: one that is taken for home acts as home.
 */
struct gate_peer *
gate_home(struct gate *g, struct str service, struct str hall, bool *self)
{
	int64_t now = clk_ns(g->clk);
	struct gate_peer *p, *best = NULL;
	uint64_t w, best_w = 0;
	char text[300];
	struct str key = shard_key(text, sizeof(text), service, hall);
	bool near = hall_serves(g, hall, now);
	uint64_t least = most_power(g, hall, near, now) / MEMB_STRONG_RATIO;
	guint i;

	if (self_may(g, hall, near) && own_power(g) >= least)
		best_w = memb_weight(key, g->set.box);
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (!peer_may(p, hall, near, now) || p->info.power < least)
			continue;
		w = memb_weight(key, p->info.box);
		if (w < best_w)
			continue;
		best_w = w;
		best = p;
	}
	*self = best == NULL;
	return best;
}

/* The hall to send a request to: ours, if the service has slots here. */
struct str
gate_home_hall(struct gate *g, const struct route_service *svc)
{
	const struct route_hall *own = route_hall(svc, g->set.hall);
	uint64_t at;
	unsigned i;

	if (svc->slots == 0 || (own != NULL && own->slots > 0))
		return g->set.hall;
	at = rnd_below(g->rnd, (uint64_t)svc->slots);
	for (i = 0; i < svc->nhalls; i++) {
		if (at < (uint64_t)svc->halls[i].slots)
			break;
		at -= (uint64_t)svc->halls[i].slots;
	}
	return svc->halls[i].hall;
}

void
gate_home_members(struct gate *g, const struct msg_members *members)
{
	const struct memb_info *v = members->members.items;
	struct gate_peer *p;
	guint i;
	size_t j;

	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		p->listed = false;
	}
	g->boxes = 1;
	for (j = 0; j < members->members.n; j++) {
		if (str_eq(v[j].box, g->set.box))
			continue;
		p = find(g, v[j].box);
		if (p == NULL) {
			p = g_new0(struct gate_peer, 1);
			g_ptr_array_add(g->peers, p);
		} else {
			/* A new start clears what we held against a box. */
			if (p->info.boot != v[j].boot)
				p->suspect_until = 0;
			memb_info_clear(&p->info);
		}
		memb_info_copy(&p->info, &v[j]);
		p->listed = true;
		g->boxes += p->info.ready && !p->info.leaving;
	}
	for (i = g->peers->len; i-- > 0;) {
		p = g_ptr_array_index(g->peers, i);
		if (p->listed || p->outstanding > 0)
			continue;
		memb_info_clear(&p->info);
		g_free(p);
		g_ptr_array_remove_index_fast(g->peers, i);
	}
}

void
gate_home_suspect(struct gate *g, struct gate_peer *p, const char *why)
{
	int64_t now = clk_ns(g->clk);

	p->pinged = 0;
	if (now < p->suspect_until)
		return;
	p->suspect_until = now + rnd_jitter(g->rnd, SUSPECT_NS);
	cnt_add(g->cnt, GC_SUSPECTS, 1);
	slog(SLOG_ROUTE, "a home is left", "box=%.*s why=%s outstanding=%u",
	    STR_ARG(p->info.box), slog_quote(why), p->outstanding);
	gate_req_home_lost(g, p);
}

void
gate_home_heard(struct gate *g, struct str inbox)
{
	struct gate_peer *p;
	guint i;

	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (!str_eq(p->info.gate_inbox, inbox))
			continue;
		p->heard = clk_ns(g->clk);
		p->pinged = 0;
	}
}

void
gate_home_ping(struct gate *g, const struct msg *m)
{
	struct msg pong = {.kind = MSG_PONG};

	if (m->kind != MSG_PING)
		return;
	pong.u.ping.nonce = m->u.ping.nonce;
	wire_send(g->wire, m->from, &pong);
}

/* Tell the homes of the service's other halls what room there is. */
static void
tell_room(struct gate *g, struct gate_shard *s, int64_t now)
{
	const struct route_service *svc = route_service(g->routes, s->service);
	struct msg m = {.kind = MSG_SUMMARY};
	struct gate_peer *p;
	struct disp_room room;
	unsigned i;
	bool self;

	if (svc == NULL || svc->nhalls < 2 || !s->home ||
	    now - s->told_at < g->set.summary_ms * NS_MS)
		return;
	room = disp_room_of(s->disp);
	if (memcmp(&room, &s->told, sizeof(room)) == 0 &&
	    now - s->told_at < TELL_AGAIN_NS)
		return;
	s->told = room;
	s->told_at = now;
	m.u.summary.service = s->service;
	m.u.summary.hall = s->hall;
	m.u.summary.slots = (uint64_t)room.slots;
	m.u.summary.free = (uint64_t)room.free;
	m.u.summary.waiting = (uint64_t)room.waiting;
	for (i = 0; i < svc->nhalls; i++) {
		if (str_eq(svc->halls[i].hall, s->hall))
			continue;
		p = gate_home(g, s->service, svc->halls[i].hall, &self);
		if (self)
			gate_home_summary(g, &m.u.summary);
		else
			wire_send(g->wire, p->info.gate_inbox, &m);
	}
}

void
gate_home_summary(struct gate *g, const struct msg_summary *sum)
{
	struct disp_room room = {
	    (int)sum->slots, (int)sum->free, (int)sum->waiting};
	struct gate_shard *s;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (str_eq(s->service, sum->service) &&
		    !str_eq(s->hall, sum->hall))
			disp_remote(s->disp, sum->hall, &room);
	}
}

static void
watch_peer(struct gate *g, struct gate_peer *p, int64_t now)
{
	struct msg m = {.kind = MSG_PING};

	if (p->outstanding == 0 || now < p->suspect_until) {
		p->pinged = 0;
		return;
	}
	if (p->pinged != 0 && now - p->pinged > g->set.ping_wait_ms * NS_MS) {
		gate_home_suspect(g, p, "it does not answer");
		return;
	}
	if (p->pinged != 0 || now - p->heard < g->set.silent_ms * NS_MS)
		return;
	p->pinged = now;
	m.u.ping.nonce = (uint64_t)now;
	wire_send(g->wire, p->info.gate_inbox, &m);
}

void
gate_home_tick(struct gate *g, int64_t now)
{
	GHashTableIter it;
	gpointer value;
	guint i;

	for (i = 0; i < g->peers->len; i++)
		watch_peer(g, g_ptr_array_index(g->peers, i), now);
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tell_room(g, value, now);
}
