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
#include <math.h>

#include "home.h"
#include "libgate.h"
#include "slog.h"

/* Which gate is home for a shard, and what homes tell one another. */

/* A home that does not answer a ping is left for so long. */
#define SUSPECT_NS (2 * NS_S)
/* What has not changed is told again after this time. */
#define TELL_AGAIN_NS (500 * NS_MS)

enum { KEY_MAX = 300 };

static void tell_room(struct gate *, struct gate_shard *, int64_t);

/* Where a service is at home in a hall; peer NULL: at our gate. */
struct home {
	struct gate_peer *peer;
};

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

/* Gates among which homes are chosen, from the best choice to the last. */
enum tier {
	TIER_READY, /* hubs of the hall that serve */
	TIER_NEAR, /* hubs of the hall: they hold requests until they serve */
	TIER_REGION, /* hubs of the hall's region that serve */
	TIER_FAR, /* hubs of all halls that serve */
	TIER_MAX
};

/* Is a box of hall `at` close enough to a hall for a tier? */
static bool
is_within(const struct gate *g, struct str at, struct str hall, enum tier tier)
{
	if (tier == TIER_FAR)
		return true;
	if (tier == TIER_REGION)
		return region_is_same(g->settings.regions, at, hall);
	return str_eq(at, hall);
}

static bool
is_in_tier(const struct gate *g, const struct memb_info *info, struct str hall,
    enum tier tier)
{
	if (info->leaving || info->forward_address.n == 0 ||
	    !is_within(g, info->hall, hall, tier))
		return false;
	return tier == TIER_NEAR ? g->settings.early_ms > 0 : info->ready;
}

static bool
self_may(const struct gate *g, struct str hall, enum tier tier)
{
	return g->is_hub && !gate_box_leaving(g) &&
	    is_within(g, g->settings.hall, hall, tier);
}

/* The gates of a tier as those that homes are dealt to; data NULL: ours. */
static GArray *
gates_of(struct gate *g, struct str hall, enum tier tier)
{
	GArray *gates = g_array_new(FALSE, TRUE, sizeof(struct home_gate));
	struct home_gate gate = {.box = g->settings.box};
	struct gate_peer *p;
	guint i;

	if (self_may(g, hall, tier))
		g_array_append_val(gates, gate);
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (!p->listed || !is_in_tier(g, &p->info, hall, tier))
			continue;
		gate = (struct home_gate){.box = p->info.box, .data = p};
		g_array_append_val(gates, gate);
	}
	return gates;
}

/* The first tier that has gates for a hall. */
static GArray *
best_gates(struct gate *g, struct str hall)
{
	GArray *gates = NULL;
	enum tier tier;

	for (tier = TIER_READY; tier < TIER_MAX; tier++) {
		gates = gates_of(g, hall, tier);
		if (gates->len > 0 || tier == TIER_FAR)
			break;
		g_array_free(gates, TRUE);
	}
	return gates;
}

static char *
home_key(struct str service, struct str hall)
{
	return g_strdup_printf("%.*s/%.*s", STR_ARG(service), STR_ARG(hall));
}

static void
gather_service(void *ctx, const struct route_service *svc)
{
	struct home_service s = {.name = svc->name};
	GArray *services = ctx;

	g_array_append_val(services, s);
}

/*
 * All services are dealt, whether they have backend servers in the hall or
 * not: leaves do not know, and must find the same homes as hubs.
 */
static void
deal_hall(struct gate *g, struct str hall)
{
	GArray *services =
	    g_array_new(FALSE, TRUE, sizeof(struct home_service));
	GArray *gates = best_gates(g, hall);
	const struct home_service *s;
	struct home *home;
	guint i;

	route_each(g->routes, gather_service, services);
	home_assign(hall, (struct home_service *)services->data, services->len,
	    (struct home_gate *)gates->data, gates->len);
	for (i = 0; i < services->len; i++) {
		s = &g_array_index(services, struct home_service, i);
		home = g_new0(struct home, 1);
		home->peer = s->gate == NULL ? NULL : s->gate->data;
		g_hash_table_insert(g->owners, home_key(s->name, hall), home);
	}
	g_array_free(gates, TRUE);
	g_array_free(services, TRUE);
}

static void
note_hall(GHashTable *halls, struct str hall)
{
	g_hash_table_insert(halls, g_strndup(hall.p, hall.n), NULL);
}

static void
note_halls(void *ctx, const struct route_service *svc)
{
	unsigned i;

	for (i = 0; i < svc->nhalls; i++)
		note_hall(ctx, svc->halls[i].hall);
}

/* Gates or services have changed: find out anew where services are at home. */
void
gate_owner_assign(struct gate *g)
{
	GHashTable *halls =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const struct gate_peer *p;
	GHashTableIter it;
	gpointer key;
	guint i;

	g_hash_table_remove_all(g->owners);
	note_hall(halls, g->settings.hall);
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		note_hall(halls, p->info.hall);
	}
	route_each(g->routes, note_halls, halls);
	g_hash_table_iter_init(&it, halls);
	while (g_hash_table_iter_next(&it, &key, NULL))
		deal_hall(g, str_c(key));
	g_hash_table_destroy(halls);
}

/*
 * The gate that a service was dealt to cannot be used now: the one with the
 * highest weight among the others takes its place.
 */
static struct gate_peer *
stand_in(struct gate *g, struct str service, struct str hall, int64_t now)
{
	GArray *gates = best_gates(g, hall);
	struct gate_peer *p, *best = NULL;
	const struct home_gate *gate;
	uint64_t w, best_w = 0;
	guint i;

	for (i = 0; i < gates->len; i++) {
		gate = &g_array_index(gates, struct home_gate, i);
		p = gate->data;
		w = home_weight(service, hall, gate->box);
		if ((p != NULL && now < p->suspect_until) || w < best_w)
			continue;
		best = p;
		best_w = w;
	}
	g_array_free(gates, TRUE);
	return best;
}

/*
 * The home of a service in a hall is one of the hall's hubs, or of all hubs
 * where the hall has none: all requests for the service there go through it.
 * No gate has to agree: one that is taken for home acts as home.
 */
struct gate_peer *
gate_owner(struct gate *g, struct str service, struct str hall, bool *self)
{
	int64_t now = clk_ns(g->clk);
	char *key = home_key(service, hall);
	const struct home *home = g_hash_table_lookup(g->owners, key);
	struct gate_peer *p = home == NULL ? NULL : home->peer;
	bool usable = p == NULL ? home != NULL && !gate_box_leaving(g)
				: now >= p->suspect_until;

	g_free(key);
	if (!usable)
		p = stand_in(g, service, hall, now);
	*self = p == NULL;
	return p;
}

/*
 * The same for a request that only some regions may serve.  Where the hall's
 * home stands in a region that may not, as it may while the hall has no hubs,
 * our own box acts as home: its caller chose it, and what it sends goes to the
 * hall itself.
 */
struct gate_peer *
gate_owner_in_regions(struct gate *g, struct str service, struct str hall,
    struct str regions, bool *self)
{
	struct gate_peer *p = gate_owner(g, service, hall, self);

	if (p == NULL ||
	    region_is_same(g->settings.regions, p->info.hall, hall) ||
	    region_allows(
		regions, region_of(g->settings.regions, p->info.hall)))
		return p;
	*self = true;
	return NULL;
}

struct ranked {
	struct gate_peer *peer; /* NULL: ours */
	uint64_t weight;
};

static int
by_weight(const void *pa, const void *pb)
{
	const struct ranked *a = pa, *b = pb;

	return (a->weight < b->weight) - (a->weight > b->weight);
}

struct gate_peer *
gate_owner_by_name(struct gate *g, struct str name, unsigned nth, bool *self)
{
	GArray *gates = gates_of(g, g->settings.hall, TIER_FAR);
	GArray *order = g_array_new(FALSE, FALSE, sizeof(struct ranked));
	int64_t now = clk_ns(g->clk);
	const struct home_gate *gate;
	struct ranked r = {NULL, 0};
	guint i;

	for (i = 0; i < gates->len; i++) {
		gate = &g_array_index(gates, struct home_gate, i);
		r.peer = gate->data;
		r.weight = home_weight(name, str_c(""), gate->box);
		if (r.peer == NULL || now >= r.peer->suspect_until)
			g_array_append_val(order, r);
	}
	g_array_sort(order, by_weight);
	r.peer = NULL;
	if (order->len > 0)
		r = g_array_index(
		    order, struct ranked, MIN(nth, order->len - 1));
	g_array_free(order, TRUE);
	g_array_free(gates, TRUE);
	*self = r.peer == NULL;
	return r.peer;
}

/* A hash of the gates that may be homes, in any order. */
uint64_t
gate_owner_hash_hubs(struct gate *g)
{
	GArray *gates = gates_of(g, g->settings.hall, TIER_FAR);
	const struct home_gate *gate;
	const struct gate_peer *p;
	uint64_t sum = 0;
	guint i;

	for (i = 0; i < gates->len; i++) {
		gate = &g_array_index(gates, struct home_gate, i);
		p = gate->data;
		sum += home_weight(gate->box, str_c(""), gate->box) *
		    (p == NULL ? 1 : p->info.started_ms | 1);
	}
	g_array_free(gates, TRUE);
	return sum;
}

/* Take a gate of the agent's list; true if it has started since, or is new. */
static bool
take_member(struct gate *g, const struct memb_info *info)
{
	struct gate_peer *p = find(g, info->box);
	bool started = p == NULL || p->info.started_ms != info->started_ms;

	if (p == NULL) {
		p = g_new0(struct gate_peer, 1);
		g_ptr_array_add(g->peers, p);
	} else {
		memb_info_clear(&p->info);
	}
	/* A new start clears what we held against a box. */
	if (started)
		p->suspect_until = 0;
	memb_info_copy(&p->info, info);
	p->listed = true;
	return started;
}

static void
drop_unlisted(struct gate *g)
{
	struct gate_peer *p;
	guint i;

	for (i = g->peers->len; i-- > 0;) {
		p = g_ptr_array_index(g->peers, i);
		if (p->listed || p->outstanding > 0)
			continue;
		memb_info_clear(&p->info);
		g_free(p);
		g_ptr_array_remove_index_fast(g->peers, i);
	}
}

/* One that starts, or was not known, is told what no configuration holds. */
static void
greet(struct gate *g, const struct gate_peer *p)
{
	gate_poison_send_to(g, p);
	gate_reports_send_to(g, p);
}

void
gate_owner_set_members(struct gate *g, const struct msg_members *members)
{
	const struct memb_info *v = members->members.items;
	struct gate_peer *p;
	guint i;
	size_t j;

	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		p->listed = false;
	}
	g->is_hub = members->is_hub;
	g->live_boxes = (unsigned)MAX(members->serving_gates, 1);
	for (j = 0; j < members->members.n; j++)
		if (!str_eq(v[j].box, g->settings.box) && take_member(g, &v[j]))
			greet(g, find(g, v[j].box));
	drop_unlisted(g);
}

void
gate_owner_suspect(struct gate *g, struct gate_peer *p, const char *why)
{
	int64_t now = clk_ns(g->clk);

	p->ping_sent = 0;
	if (now < p->suspect_until)
		return;
	p->suspect_until = now + rnd_jitter(g->rnd, SUSPECT_NS);
	cnt_add(g->cnt, GC_OWNERS_SUSPECTED, 1);
	slog(SLOG_ROUTE, "a home is left", "box=%.*s why=%s outstanding=%u",
	    STR_ARG(p->info.box), slog_quote(why), p->outstanding);
	gate_conf_report_suspect(g, p->info.box);
	gate_req_owner_lost(g, p);
}

void
gate_owner_mark_alive(struct gate *g, struct str inbox)
{
	struct gate_peer *p;
	guint i;

	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (!str_eq(p->info.gate_inbox, inbox))
			continue;
		p->last_seen = clk_ns(g->clk);
		p->ping_sent = 0;
	}
}

void
gate_owner_on_ping(struct gate *g, const struct msg *m)
{
	struct msg pong = {.kind = MSG_PONG};

	if (m->kind != MSG_PING)
		return;
	pong.u.ping.nonce = m->u.ping.nonce;
	wire_send(g->wire, m->from, &pong);
}

/* Send a message to the homes of the service's other halls, ours among them. */
void
gate_owner_send_others(struct gate *g, const struct gate_shard *s,
    const struct route_service *svc, struct msg *m)
{
	struct gate_peer *p;
	unsigned i;
	bool self;

	for (i = 0; i < svc->nhalls; i++) {
		if (str_eq(svc->halls[i].hall, s->hall))
			continue;
		p = gate_owner(g, s->service, svc->halls[i].hall, &self);
		if (self)
			gate_conf_on_message(g, m);
		else
			wire_send(g->wire, p->info.gate_inbox, m);
	}
}

/* Tell the homes of the service's other halls what room there is. */
static void
tell_room(struct gate *g, struct gate_shard *s, int64_t now)
{
	const struct route_service *svc = route_service(g->routes, s->service);
	struct msg m = {.kind = MSG_CAPACITY};
	struct disp_capacity room;

	if (svc == NULL || svc->nhalls < 2 || !s->is_owner ||
	    now - s->capacity_sent_at < g->settings.summary_ms * NS_MS)
		return;
	room = disp_capacity_of(s->disp);
	if (memcmp(&room, &s->sent_capacity, sizeof(room)) == 0 &&
	    now - s->capacity_sent_at < TELL_AGAIN_NS)
		return;
	s->sent_capacity = room;
	s->capacity_sent_at = now;
	m.u.capacity.service = s->service;
	m.u.capacity.hall = s->hall;
	m.u.capacity.slot_tenths = (uint64_t)lround(room.slots * SLOT_TENTHS);
	m.u.capacity.free_slots = (uint64_t)room.free_slots;
	m.u.capacity.queued = (uint64_t)room.queued;
	gate_owner_send_others(g, s, svc, &m);
}

void
gate_owner_on_summary(struct gate *g, const struct msg_capacity *sum)
{
	struct disp_capacity room = {(double)sum->slot_tenths / SLOT_TENTHS,
	    (int)sum->free_slots, (int)sum->queued};
	struct gate_shard *s;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (str_eq(s->service, sum->service) &&
		    !str_eq(s->hall, sum->hall))
			disp_set_hall_capacity(s->disp, sum->hall, &room);
	}
}

static void
watch_peer(struct gate *g, struct gate_peer *p, int64_t now)
{
	struct msg m = {.kind = MSG_PING};

	if (p->outstanding == 0 || now < p->suspect_until) {
		p->ping_sent = 0;
		return;
	}
	if (p->ping_sent != 0 &&
	    now - p->ping_sent > g->settings.ping_wait_ms * NS_MS) {
		gate_owner_suspect(g, p, "it does not answer");
		return;
	}
	if (p->ping_sent != 0 ||
	    now - p->last_seen < g->settings.silent_ms * NS_MS)
		return;
	p->ping_sent = now;
	m.u.ping.nonce = (uint64_t)now;
	wire_send(g->wire, p->info.gate_inbox, &m);
}

void
gate_owner_tick(struct gate *g, int64_t now)
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
