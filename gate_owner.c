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

#include "assign.h"
#include "libreq.h"
#include "slog.h"

/*
 * Which gate owns a shard, and the capacity that owners report to each other.
 */

/* An owner that does not answer a ping is not used for so long. */
#define SUSPECT_NS (2 * NS_S)
/* Capacity that has not changed is sent again after this time. */
#define CAPACITY_RESEND_NS (500 * NS_MS)

enum { KEY_MAX = 300 };

static void send_capacity(struct gate *, struct gate_shard *, int64_t);

/*
 * Owner of the shard of a service in a hall; peer is NULL if it is this gate.
 */
struct shard_owner {
	struct gate_peer *peer;
};

struct gate_peer *
gate_owner_find_peer(struct gate *g, struct str box)
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

/*
 * Tiers of gates among which owners are chosen, the best first.  Hubs that do
 * not serve yet queue requests until they do.
 */
enum tier {
	TIER_READY, /* hubs of the hall that serve */
	TIER_STARTING, /* hubs of the hall, serving or not */
	TIER_REGION, /* hubs of the hall's region that serve */
	TIER_ANY, /* hubs of all halls that serve */
	TIER_LEAVING, /* strong gates of the hall that leave */
	TIER_LEAVING_ANY, /* strong gates of all halls that leave */
	TIER_MAX
};

/*
 * Returns whether a box in hall box_hall is close enough to a hall for a tier.
 */
static bool
is_in_range(
    const struct gate *g, struct str box_hall, struct str hall, enum tier tier)
{
	if (tier == TIER_ANY || tier == TIER_LEAVING_ANY)
		return true;
	if (tier == TIER_REGION)
		return region_is_same(g->settings.regions, box_hall, hall);
	return str_eq(box_hall, hall);
}

static bool
is_in_tier(const struct gate *g, const struct memb_info *info, struct str hall,
    enum tier tier)
{
	if (info->leaving != (tier >= TIER_LEAVING) ||
	    info->forward_address.n == 0 ||
	    !is_in_range(g, info->hall, hall, tier))
		return false;
	return tier == TIER_STARTING ? g->settings.early_ms > 0 : info->ready;
}

static bool
self_is_in_tier(const struct gate *g, struct str hall, enum tier tier)
{
	bool leaving = gate_box_leaving(g);

	return leaving == (tier >= TIER_LEAVING) &&
	    (leaving ? !g->sync.rules_only : g->is_hub) &&
	    is_in_range(g, g->settings.hall, hall, tier);
}

/*
 * Returns the gates of a tier as an array of struct assign_gate that the caller
 * frees.  data is NULL for this gate.
 */
static GArray *
gates_in_tier(struct gate *g, struct str hall, enum tier tier)
{
	GArray *gates = g_array_new(FALSE, TRUE, sizeof(struct assign_gate));
	struct assign_gate gate = {.box = g->settings.box};
	struct gate_peer *p;
	guint i;

	if (self_is_in_tier(g, hall, tier))
		g_array_append_val(gates, gate);
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (!p->listed || !is_in_tier(g, &p->info, hall, tier))
			continue;
		gate = (struct assign_gate){.box = p->info.box, .data = p};
		g_array_append_val(gates, gate);
	}
	return gates;
}

/*
 * Returns the gates of the first tier that has any for a hall, as
 * gates_in_tier() does.
 */
static GArray *
best_gates(struct gate *g, struct str hall)
{
	GArray *gates = NULL;
	enum tier tier;

	for (tier = TIER_READY; tier < TIER_MAX; tier++) {
		gates = gates_in_tier(g, hall, tier);
		if (gates->len > 0 || tier == TIER_MAX - 1)
			break;
		g_array_free(gates, TRUE);
	}
	return gates;
}

static char *
shard_key(struct str service, struct str hall)
{
	return g_strdup_printf("%.*s/%.*s", STR_ARG(service), STR_ARG(hall));
}

static void
add_service(void *ctx, const struct route_service *svc)
{
	struct assign_service s = {.name = svc->name};
	GArray *services = ctx;

	g_array_append_val(services, s);
}

/*
 * Assigns the services of a hall to owners.  All services are assigned, whether
 * they have backend servers in the hall or not: leaves do not know that, and
 * must find the same owners as hubs do.
 */
static void
assign_hall(struct gate *g, struct str hall)
{
	GArray *services =
	    g_array_new(FALSE, TRUE, sizeof(struct assign_service));
	GArray *gates = best_gates(g, hall);
	const struct assign_service *s;
	struct shard_owner *owner;
	guint i;

	route_each(g->routes, add_service, services);
	assign_owners(hall, (struct assign_service *)services->data,
	    services->len, (struct assign_gate *)gates->data, gates->len);
	for (i = 0; i < services->len; i++) {
		s = &g_array_index(services, struct assign_service, i);
		owner = g_new0(struct shard_owner, 1);
		owner->peer = s->gate == NULL ? NULL : s->gate->data;
		g_hash_table_insert(g->owners, shard_key(s->name, hall), owner);
	}
	g_array_free(gates, TRUE);
	g_array_free(services, TRUE);
}

static void
add_hall(GHashTable *halls, struct str hall)
{
	g_hash_table_insert(halls, g_strndup(hall.p, hall.n), NULL);
}

static void
add_halls(void *ctx, const struct route_service *svc)
{
	unsigned i;

	for (i = 0; i < svc->nhalls; i++)
		add_hall(ctx, svc->halls[i].hall);
}

/* Gates or services have changed: assigns the owners of all shards anew. */
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
	add_hall(halls, g->settings.hall);
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		add_hall(halls, p->info.hall);
	}
	route_each(g->routes, add_halls, halls);
	g_hash_table_iter_init(&it, halls);
	while (g_hash_table_iter_next(&it, &key, NULL))
		assign_hall(g, str_c(key));
	g_hash_table_destroy(halls);
}

/*
 * Finds the gate of a tier that has the highest weight for a shard among those
 * that are not suspected at `now`; 0: among all.  *best is NULL if it is this
 * gate.  Returns whether there is one.
 */
static bool
heaviest_unsuspected(struct gate *g, struct str service, struct str hall,
    enum tier tier, int64_t now, struct gate_peer **best)
{
	GArray *gates = gates_in_tier(g, hall, tier);
	const struct assign_gate *gate;
	uint64_t weight, best_weight = 0;
	bool found = false;
	struct gate_peer *p;
	guint i;

	for (i = 0; i < gates->len; i++) {
		gate = &g_array_index(gates, struct assign_gate, i);
		p = gate->data;
		weight = assign_weight(service, hall, gate->box);
		if ((p != NULL && now > 0 && now < p->suspect_until) ||
		    (found && weight < best_weight))
			continue;
		*best = p;
		best_weight = weight;
		found = true;
	}
	g_array_free(gates, TRUE);
	return found;
}

/*
 * Returns the owner of a shard whose assigned gate cannot be used now: a gate
 * of the best tier that has one which is not suspected.  NULL: this gate, which
 * is of no use without backend servers, so that a suspected one is better.
 */
static struct gate_peer *
fallback_owner(struct gate *g, struct str service, struct str hall)
{
	int64_t now = clk_ns(g->clk);
	struct gate_peer *best = NULL;
	enum tier tier;

	for (tier = TIER_READY; tier < TIER_MAX; tier++)
		if (heaviest_unsuspected(g, service, hall, tier, now, &best))
			return best;
	for (tier = TIER_LEAVING; g->sync.rules_only && tier < TIER_MAX; tier++)
		if (heaviest_unsuspected(g, service, hall, tier, 0, &best))
			break;
	return best;
}

bool
gate_owner_peer_is_usable(const struct gate_peer *p, int64_t now)
{
	return p->listed && !p->info.leaving && p->info.ready &&
	    p->info.forward_address.n > 0 && now >= p->suspect_until;
}

/* Returns the accepted gate of a tier with the highest weight for a shard. */
static struct gate_peer *
heaviest_in_tier(struct gate *g, struct str service, struct str hall,
    enum tier tier, gate_owner_filter_fn *accepts, void *ctx)
{
	GArray *gates = gates_in_tier(g, hall, tier);
	struct gate_peer *p, *best = NULL;
	int64_t now = clk_ns(g->clk);
	uint64_t weight, best_weight = 0;
	guint i;

	for (i = 0; i < gates->len; i++) {
		p = g_array_index(gates, struct assign_gate, i).data;
		if (p == NULL || !gate_owner_peer_is_usable(p, now) ||
		    !accepts(ctx, p))
			continue;
		weight = assign_weight(service, hall, p->info.box);
		if (best != NULL && weight < best_weight)
			continue;
		best = p;
		best_weight = weight;
	}
	g_array_free(gates, TRUE);
	return best;
}

struct gate_peer *
gate_owner_other(struct gate *g, struct str service, struct str hall,
    gate_owner_filter_fn *accepts, void *ctx)
{
	struct gate_peer *p =
	    heaviest_in_tier(g, service, hall, TIER_READY, accepts, ctx);

	if (p != NULL)
		return p;
	return heaviest_in_tier(g, service, hall, TIER_REGION, accepts, ctx);
}

/*
 * The owner of a shard is one of the hubs of its hall, or of all hubs where the
 * hall has none.  All requests for the service in that hall go through it.
 * Gates need not agree on the owner: a gate acts as the owner of every request
 * that others forward to it as such.
 */
struct gate_peer *
gate_owner(struct gate *g, struct str service, struct str hall, bool *self)
{
	int64_t now = clk_ns(g->clk);
	char *key = shard_key(service, hall);
	const struct shard_owner *owner = g_hash_table_lookup(g->owners, key);
	struct gate_peer *p = owner == NULL ? NULL : owner->peer;
	bool usable = p == NULL ? owner != NULL && !gate_box_leaving(g)
				: now >= p->suspect_until;

	g_free(key);
	if (!usable)
		p = fallback_owner(g, service, hall);
	*self = p == NULL;
	return p;
}

bool
gate_owner_is_allowed(const struct gate *g, const struct gate_peer *p,
    struct str hall, struct str regions)
{
	return region_is_same(g->settings.regions, p->info.hall, hall) ||
	    region_allows(
		regions, region_of(g->settings.regions, p->info.hall));
}

/*
 * Returns the owner for a request that only some regions may serve.  The owner
 * may be in a region that is not allowed while the hall has no hubs.  In that
 * case this gate acts as the owner: the caller chose its box, and the request
 * goes from here to the hall itself.
 */
struct gate_peer *
gate_owner_in_regions(struct gate *g, struct str service, struct str hall,
    struct str regions, bool *self)
{
	struct gate_peer *p = gate_owner(g, service, hall, self);

	if (p == NULL || gate_owner_is_allowed(g, p, hall, regions))
		return p;
	*self = true;
	return NULL;
}

struct ranked {
	struct gate_peer *peer; /* NULL: this gate */
	uint64_t weight;
};

static int
by_weight(const void *pa, const void *pb)
{
	const struct ranked *a = pa, *b = pb;

	return (a->weight < b->weight) - (a->weight > b->weight);
}

unsigned
gate_owner_rank(
    struct gate *g, struct str name, struct gate_peer **out, unsigned max)
{
	GArray *gates = gates_in_tier(g, g->settings.hall, TIER_ANY);
	GArray *order = g_array_new(FALSE, FALSE, sizeof(struct ranked));
	const struct assign_gate *gate;
	struct ranked r;
	unsigned n;
	guint i;

	for (i = 0; i < gates->len; i++) {
		gate = &g_array_index(gates, struct assign_gate, i);
		r.peer = gate->data;
		r.weight = assign_weight(name, str_c(""), gate->box);
		g_array_append_val(order, r);
	}
	g_array_sort(order, by_weight);
	n = MIN(order->len, max);
	for (i = 0; i < n; i++)
		out[i] = g_array_index(order, struct ranked, i).peer;
	g_array_free(order, TRUE);
	g_array_free(gates, TRUE);
	return n;
}

/*
 * Returns a hash of the gates that may be owners, independent of their order.
 */
uint64_t
gate_owner_hash_hubs(struct gate *g)
{
	GArray *gates = gates_in_tier(g, g->settings.hall, TIER_ANY);
	const struct assign_gate *gate;
	const struct gate_peer *p;
	uint64_t sum = 0;
	guint i;

	for (i = 0; i < gates->len; i++) {
		gate = &g_array_index(gates, struct assign_gate, i);
		p = gate->data;
		sum += assign_weight(gate->box, str_c(""), gate->box) *
		    (p == NULL ? 1 : p->info.started_ms | 1);
	}
	g_array_free(gates, TRUE);
	return sum;
}

/*
 * Adds or updates a gate of the agent's member list.  Returns whether it is new
 * or has restarted.
 */
static bool
update_member(struct gate *g, const struct memb_info *info)
{
	struct gate_peer *p = gate_owner_find_peer(g, info->box);
	bool started = p == NULL || p->info.started_ms != info->started_ms;

	if (p == NULL) {
		p = g_new0(struct gate_peer, 1);
		g_ptr_array_add(g->peers, p);
	} else {
		memb_info_clear(&p->info);
	}
	/* A gate that has restarted is not suspected any more. */
	if (started)
		p->suspect_until = 0;
	memb_info_copy(&p->info, info);
	p->listed = true;
	return started;
}

static void
remove_unlisted(struct gate *g)
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

/*
 * Sends a gate that is new or has restarted what this gate knows beyond the
 * configuration.
 */
static void
send_state_to(struct gate *g, const struct gate_peer *p)
{
	gate_poison_send_to(g, p);
	gate_reports_send_to(g, p);
}

void
gate_owner_set_members(struct gate *g, const struct msg_members *msg)
{
	const struct memb_info *v = msg->members.items;
	struct gate_peer *p;
	guint i;
	size_t j;

	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		p->listed = false;
	}
	g->is_hub = msg->is_hub;
	g->live_boxes = (unsigned)MAX(msg->serving_gates, 1);
	for (j = 0; j < msg->members.n; j++)
		if (!str_eq(v[j].box, g->settings.box) &&
		    update_member(g, &v[j]))
			send_state_to(g, gate_owner_find_peer(g, v[j].box));
	remove_unlisted(g);
}

struct gate_peer *
gate_owner_learn(struct gate *g, const struct gate_next *next)
{
	const struct memb_info info = {.box = next->name,
	    .hall = next->hall,
	    .forward_address = next->address,
	    .gate_inbox = next->inbox,
	    .started_ms = next->started_ms,
	    .ready = true};
	struct gate_peer *p = gate_owner_find_peer(g, next->name);

	if (str_eq(next->name, g->settings.box))
		return NULL;
	if (p == NULL || !p->listed || p->info.started_ms < next->started_ms) {
		update_member(g, &info);
		gate_owner_assign(g);
		p = gate_owner_find_peer(g, next->name);
	}
	return gate_owner_peer_is_usable(p, clk_ns(g->clk)) ? p : NULL;
}

void
gate_owner_avoid(struct gate *g, struct gate_peer *p)
{
	p->suspect_until = clk_ns(g->clk) + rnd_jitter(g->rnd, SUSPECT_NS);
}

void
gate_owner_suspect(struct gate *g, struct gate_peer *p, const char *reason)
{
	int64_t now = clk_ns(g->clk);

	if (now < p->suspect_until)
		return;
	p->suspect_until = now + rnd_jitter(g->rnd, SUSPECT_NS);
	cnt_add(g->cnt, GC_OWNERS_SUSPECTED, 1);
	slog(SLOG_ROUTE, "owner is suspected", "box=%.*s why=%s outstanding=%u",
	    STR_ARG(p->info.box), slog_quote(reason), p->outstanding);
	gate_conf_report_suspect(g, p->info.box);
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
	gate_rate_heard(g, inbox);
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

/*
 * Sends a message to the owners of the service's shards in other halls, which
 * may include this gate.
 */
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

/*
 * Sends the capacity of a shard to the owners of the service's shards in other
 * halls.
 */
static void
send_capacity(struct gate *g, struct gate_shard *s, int64_t now)
{
	const struct route_service *svc = route_service(g->routes, s->service);
	struct msg m = {.kind = MSG_CAPACITY};
	struct disp_capacity capacity;

	if (svc == NULL || svc->nhalls < 2 || !s->is_owner ||
	    now - s->capacity_sent_at < g->settings.summary_ms * NS_MS)
		return;
	capacity = disp_capacity_of(s->disp);
	if (memcmp(&capacity, &s->sent_capacity, sizeof(capacity)) == 0 &&
	    now - s->capacity_sent_at < CAPACITY_RESEND_NS)
		return;
	s->sent_capacity = capacity;
	s->capacity_sent_at = now;
	m.u.capacity.service = s->service;
	m.u.capacity.hall = s->hall;
	m.u.capacity.slot_tenths =
	    (uint64_t)lround(capacity.slots * SLOT_TENTHS);
	m.u.capacity.free_slots = (uint64_t)capacity.free_slots;
	m.u.capacity.queued = (uint64_t)capacity.queued;
	gate_owner_send_others(g, s, svc, &m);
}

static void
apply_summary(void *ctx, struct gate_shard *s)
{
	const struct msg_capacity *summary = ctx;
	struct disp_capacity capacity = {
	    (double)summary->slot_tenths / SLOT_TENTHS,
	    (int)summary->free_slots, (int)summary->queued};

	if (str_eq(s->service, summary->service) &&
	    !str_eq(s->hall, summary->hall))
		disp_set_hall_capacity(s->disp, summary->hall, &capacity);
}

void
gate_owner_on_summary(struct gate *g, const struct msg_capacity *summary)
{
	struct msg_capacity copy = *summary;

	gate_conf_each_shard(g, apply_summary, &copy);
}

/*
 * Only an owner that does not answer a ping has lost its requests: one that
 * refuses a connection may still be finishing them.
 */
static void
check_peer(struct gate *g, struct gate_peer *p, int64_t now)
{
	struct msg m = {.kind = MSG_PING};

	if (p->outstanding == 0) {
		p->ping_sent = 0;
		return;
	}
	if (p->ping_sent != 0 &&
	    now - p->ping_sent > g->settings.ping_wait_ms * NS_MS) {
		p->ping_sent = 0;
		gate_owner_suspect(g, p, "it does not answer");
		gate_req_owner_lost(g, p);
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
gate_owner_extend_pings(struct gate *g, int64_t late)
{
	struct gate_peer *p;
	guint i;

	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (p->ping_sent != 0)
			p->ping_sent += late;
	}
}

void
gate_owner_tick(struct gate *g, int64_t now)
{
	GHashTableIter it;
	gpointer value;
	guint i;

	for (i = 0; i < g->peers->len; i++)
		check_peer(g, g_ptr_array_index(g->peers, i), now);
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value))
		send_capacity(g, value, now);
}
