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

/*
 * The configuration in force, and the routes, shards and limits that are built
 * from it.
 */

/* Changes that arrive within this time lead to one new routing table. */
#define REBUILD_DELAY_NS (2 * NS_MS)

enum { SHARD_KEY_SIZE = 300 };

enum {
	HEAD_LIMIT_MAX = 1 << 20, /* largest limit of a head, bytes */
	FORWARDED_MAX = 4096, /* bytes that a gate adds to a head it forwards */
	FORWARDED_MS = 10000 /* for a head from another gate */
};

/* Share of the platform's retry allowance that is used. */
static const double RETRY_SHARE = 0.75;
/*
 * Share of the platform's burst for a cold backend server that is used, so that
 * the bursts of two owners fit into it.
 */
static const double COLD_SLACK_SHARE = 0.5;

static void on_changed(void *, const struct conf_entry *);
static void on_rebuild(void *);
static void send_to(void *, struct str, const struct msg *);
static void change_free(void *);
static void shard_free(void *);
static void
shard_update(struct gate *, struct gate_shard *, const struct route_service *);
static void apply_health(struct gate *, const struct msg_health *);
static void refresh_shard(void *, struct gate_shard *);
static void shard_key(char *, struct str, struct str);

bool
gate_conf_open(struct gate *g, GError **err)
{
	(void)err;
	if (g->conf == NULL)
		g->conf = conf_new(NULL, NULL);
	conf_add_listener(g->conf, on_changed, g);
	g->sync.conf = g->conf;
	g->sync.send = send_to;
	g->sync.clk = g->clk;
	g->sync.ctx = g;
	g->routes = route_build(g->conf);
	g->pending_changes = g_ptr_array_new_with_free_func(change_free);
	g->rule_versions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->shards =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, shard_free);
	return true;
}

static void
send_to(void *ctx, struct str to, const struct msg *m)
{
	struct gate *g = ctx;
	struct msg copy = *m;

	wire_send(g->wire, to, &copy);
}

/* A change that is logged once routes have been built from it. */
struct change {
	bool deleted;
	struct str from; /* source of the object; empty for a backend server */
	char fields[];
};

static struct change *
change_new(const struct conf_entry *e)
{
	char *text =
	    g_strdup_printf("key=%.*s version=%llu from=%.*s", STR_ARG(e->key),
		(unsigned long long)e->version, STR_ARG(e->source));
	size_t n = strlen(text) + 1;
	struct change *change = g_malloc(sizeof(*change) + n);

	change->deleted = e->deleted;
	change->from =
	    e->kind == OBJ_BACKEND ? str_c(NULL) : str_dup(e->source);
	memcpy(change->fields, text, n);
	g_free(text);
	return change;
}

static void
change_free(void *p)
{
	struct change *change = p;

	str_free(&change->from);
	g_free(change);
}

/*
 * Checks that a rule does not come into force in an older version than before.
 * That must not happen, so it is logged and counted.
 */
static void
check_for_revert(struct gate *g, const struct conf_entry *e)
{
	uint64_t *last = g_hash_table_lookup(g->rule_versions, e->key.p);

	if (last == NULL) {
		last = g_new0(uint64_t, 1);
		g_hash_table_insert(g->rule_versions, g_strdup(e->key.p), last);
	}
	if (e->version < *last) {
		cnt_add(g->cnt, GC_VERSIONS_REVERTED, 1);
		slog_warn(SLOG_CONF, "a version went back",
		    "key=%.*s version=%llu before=%llu from=%.*s",
		    STR_ARG(e->key), (unsigned long long)e->version,
		    (unsigned long long)*last, STR_ARG(e->source));
	}
	*last = e->version;
}

static void
on_changed(void *ctx, const struct conf_entry *e)
{
	struct gate *g = ctx;

	if (e->kind != OBJ_BACKEND)
		check_for_revert(g, e);
	g_ptr_array_add(g->pending_changes, change_new(e));
	if (!g->rebuild.armed)
		tmr_set(&g->tmr, &g->rebuild, clk_ns(g->clk) + REBUILD_DELAY_NS,
		    on_rebuild, g);
}

/*
 * Without a time of its own a head has the time of a connection that is idle.
 * Gates that forward requests add headers to them.
 */
static void
apply_head_limits(struct gate *g, const struct obj_listener *main)
{
	const struct obj_listener *head = route_head_limits(g->routes);
	size_t max = HSRV_HEAD_MAX;

	if (head != NULL)
		max = (size_t)CLAMP(head->body_max, 1, HEAD_LIMIT_MAX);
	if (head != NULL || main != NULL)
		hsrv_set_head_limits(g->caller_server, max,
		    (uint64_t)(head != NULL ? head->idle_ms : main->idle_ms));
	hsrv_set_head_limits(g->forward_server,
	    MAX(max, (size_t)HSRV_HEAD_MAX) + FORWARDED_MAX, FORWARDED_MS);
}

/* Applies the configured limits of the listener, bounded by the settings. */
static void
apply_listener(struct gate *g)
{
	const struct obj_listener *l = route_listener(g->routes);

	if (g->caller_server == NULL)
		return;
	if (l != NULL)
		hsrv_set_limits(g->caller_server,
		    (size_t)MIN(l->body_max, g->settings.body_max),
		    (uint64_t)l->idle_ms);
	apply_head_limits(g, l);
}

/*
 * Records the box or platform that the rules in the routes came from, and when.
 */
static void
set_rules_source(struct gate *g, struct str from)
{
	str_free(&g->rules_source);
	g->rules_source = str_dup(from);
	g->rules_since = clk_ns(g->clk);
}

/*
 * Returns how long the routes have had their rules, in ms; -1 if there are
 * none.
 */
long long
gate_conf_in_force_ms(const struct gate *g)
{
	if (g->rules_since == 0)
		return -1;
	return (long long)((clk_ns(g->clk) - g->rules_since) / NS_MS);
}

/*
 * Logs the changes that the routes contain now: requests follow them from now
 * on, and not before.
 */
static void
log_in_force(struct gate *g)
{
	const struct change *change;
	guint i;

	for (i = 0; i < g->pending_changes->len; i++) {
		change = g_ptr_array_index(g->pending_changes, i);
		slog(SLOG_CONF,
		    change->deleted ? "deletion is in force" : "in force", "%s",
		    change->fields);
		if (change->from.n > 0)
			set_rules_source(g, change->from);
	}
	g_ptr_array_set_size(g->pending_changes, 0);
}

/* Logs once for each version of the rules if some set no time limit. */
static void
log_default_limits(struct gate *g)
{
	const struct route_rule *rule;
	unsigned count;

	if (route_version(g->routes) == g->default_limits_version)
		return;
	g->default_limits_version = route_version(g->routes);
	rule = route_rule_without_limit(g->routes, &count);
	if (rule == NULL)
		return;
	slog(SLOG_CONF, "rules without a time limit",
	    "rules=%u first=%.*s service=%.*s limit_ms=%lld conf=%llu", count,
	    STR_ARG(rule->name), STR_ARG(rule->obj->service),
	    rule->targets[0].service == NULL
		? -1LL
		: (long long)rule->targets[0].service->obj->deadline_ms,
	    (unsigned long long)g->default_limits_version);
}

static void
on_rebuild(void *ctx)
{
	struct gate *g = ctx;

	route_free(g->routes);
	g->routes = route_build(g->conf);
	gate_conf_each_shard(g, refresh_shard, g);
	apply_listener(g);
	gate_conf_update_owners(g);
	log_in_force(g);
	log_default_limits(g);
	cnt_set(g->cnt, GC_OBJECTS, conf_count(g->conf));
	cnt_set(g->cnt, GC_EVACUATED, route_count_evacuations(g->routes));
	gate_conf_report(g);
}

/* Rebuilds the routes now if a rebuild is pending. */
static void
rebuild_now(struct gate *g)
{
	if (!g->rebuild.armed)
		return;
	tmr_clear(&g->tmr, &g->rebuild);
	on_rebuild(g);
}

void
gate_conf_each_shard(struct gate *g, gate_shard_fn *fn, void *ctx)
{
	GList *shards = g_hash_table_get_values(g->shards), *link;

	for (link = shards; link != NULL; link = link->next)
		fn(ctx, link->data);
	g_list_free(shards);
}

/*
 * Updates a shard, or removes it if its service is gone and it has no requests
 * left.  One that was forwarded to another hall may come back.
 */
static void
refresh_shard(void *ctx, struct gate_shard *s)
{
	struct gate *g = ctx;
	const struct route_service *svc = route_service(g->routes, s->service);
	char key[SHARD_KEY_SIZE];

	if (svc != NULL) {
		shard_update(g, s, svc);
		return;
	}
	disp_set_backends(s->disp, NULL, 0);
	if (gate_req_uses_shard(g, s) || disp_inflight(s->disp) > 0)
		return;
	shard_key(key, s->service, s->hall);
	g_hash_table_remove(g->shards, key);
}

/*
 * Where each box schedules its own requests, its shard has the backend servers
 * of all halls.
 */
static void
use_all_halls(struct gate_shard *s, const struct route_service *svc)
{
	GArray *backends =
	    g_array_new(FALSE, FALSE, sizeof(struct disp_backend_conf));
	unsigned i;

	for (i = 0; i < svc->nhalls; i++)
		g_array_append_vals(
		    backends, svc->halls[i].backends, svc->halls[i].n);
	disp_set_backends(s->disp,
	    (const struct disp_backend_conf *)backends->data, backends->len);
	g_array_free(backends, TRUE);
}

/*
 * Returns the rate limit of a cold backend server: the rate that the platform
 * allows, and half of what it allows beyond that (cold.h).  If the platform
 * gives no limits, the limit is what the service sets, with a burst of one
 * second's worth.
 */
static struct cold_limit
cold_limit_of(const struct gate *g, const struct obj_service *svc)
{
	struct cold_limit limit = {.rate = svc->cold_rate,
	    .burst = svc->cold_rate,
	    .duration = svc->cold_ms * NS_MS};

	if (g->bounds.cold_rate_factor > 0)
		limit.rate *= g->bounds.cold_rate_factor;
	if (g->bounds.cold_rate_slack > 0)
		limit.burst = g->bounds.cold_rate_slack * COLD_SLACK_SHARE;
	limit.burst = MAX(limit.burst, 1);
	return limit;
}

static void
shard_update(
    struct gate *g, struct gate_shard *s, const struct route_service *svc)
{
	const struct route_hall *hall = route_hall(svc, s->hall);
	struct disp_params p = {
	    .policy = pick_by_name(g->settings.policy),
	    .chart = g->chart_backend,
	    .queue_max = svc->obj->queue_max,
	    .bulk_percent = (int)svc->obj->bulk_percent,
	    .retry_percent = svc->obj->retry_percent,
	    .cold = cold_limit_of(g, svc->obj),
	    .poison = g->poison,
	    .reports = g->reports,
	    .hall = s->hall,
	    .configured_ms = g->configured_ms,
	};
	struct str other_hall;
	unsigned i;

	gate_roll_update(g, s, svc);
	p.rollout = s->rollout;
	if (g->bounds.retry_slack > 0) {
		p.retry_percent =
		    (int64_t)(g->bounds.retry_ratio * RETRY_SHARE * 100);
		p.retry_budget_max = (double)g->bounds.retry_slack *
		    RETRY_SHARE / MAX(svc->nhalls, 1u);
	}
	if (hall != NULL && svc->slots > 0)
		p.rate = (double)svc->obj->rate * hall->slots / svc->slots;
	else if (s->hall.n == 0)
		p.rate = (double)svc->obj->rate / MAX(g->live_boxes, 1u);
	disp_configure(s->disp, &p);
	if (s->hall.n == 0) {
		use_all_halls(s, svc);
		return;
	}
	for (i = 0; i < svc->nhalls; i++) {
		other_hall = svc->halls[i].hall;
		if (str_eq(other_hall, s->hall))
			continue;
		disp_set_hall_slots(s->disp, other_hall, svc->halls[i].slots);
		disp_set_hall_region(s->disp, other_hall,
		    region_of(g->settings.regions, other_hall),
		    region_is_same(g->settings.regions, s->hall, other_hall));
	}
	disp_set_backends(s->disp, hall == NULL ? NULL : hall->backends,
	    hall == NULL ? 0 : hall->n);
}

static void
shard_free(void *p)
{
	struct gate_shard *s = p;

	disp_free(s->disp);
	gate_roll_close(s);
	deputy_clear(&s->deputy);
	str_free(&s->service);
	str_free(&s->hall);
	g_free(s);
}

static void
shard_key(char *key, struct str service, struct str hall)
{
	snprintf(
	    key, SHARD_KEY_SIZE, "%.*s/%.*s", STR_ARG(service), STR_ARG(hall));
}

struct gate_shard *
gate_conf_find_shard(struct gate *g, struct str service, struct str hall)
{
	char key[SHARD_KEY_SIZE];

	shard_key(key, service, hall);
	return g_hash_table_lookup(g->shards, key);
}

/* Where each box dispatches its own requests, no shard has an owner. */
void
gate_conf_set_owner(struct gate_shard *s)
{
	disp_set_owner(
	    s->disp, s->is_owner || s->gate->settings.route == ROUTE_ALONE);
}

struct gate_shard *
gate_conf_shard(
    struct gate *g, const struct route_service *svc, struct str hall)
{
	struct disp_ops ops = gate_req_disp_ops;
	struct gate_shard *s = gate_conf_find_shard(g, svc->name, hall);
	char key[SHARD_KEY_SIZE];

	if (s == NULL) {
		shard_key(key, svc->name, hall);
		s = g_new0(struct gate_shard, 1);
		s->gate = g;
		s->service = str_dup(svc->name);
		s->hall = str_dup(hall);
		ops.ctx = s;
		s->disp = disp_new(&ops, g->clk, g->rnd);
		gate_conf_set_owner(s);
		g_hash_table_insert(g->shards, g_strdup(key), s);
		shard_update(g, s, svc);
	}
	return s;
}

/*
 * Returns whether this gate owns a shard.  Where all gates that could own it
 * are leaving, each of them is the owner of what it is sent.
 */
static bool
owns_shard(struct gate *g, const struct route_service *svc, struct str hall)
{
	const struct gate_peer *p;
	bool self;

	p = gate_owner(g, svc->name, hall, &self);
	return self ||
	    (p->info.leaving && gate_box_leaving(g) &&
		gate_conf_find_shard(g, svc->name, hall) != NULL);
}

/* Creates a shard for each hall of a service whose shard this gate owns. */
static void
open_owned_shards(void *ctx, const struct route_service *svc)
{
	struct gate *g = ctx;
	unsigned i;

	for (i = 0; i < svc->nhalls; i++)
		if (owns_shard(g, svc, svc->halls[i].hall))
			gate_conf_shard(g, svc, svc->halls[i].hall)->is_owner =
			    true;
}

void
gate_conf_update_shard_owners(struct gate *g)
{
	struct gate_shard *s;
	GHashTableIter it;
	gpointer value;

	gate_owner_assign(g);
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		s->was_owner = s->is_owner;
		s->is_owner = false;
	}
	route_each(g->routes, open_owned_shards, g);
	gate_handover_update(g);
}

/*
 * Boxes or services have changed: determines anew which shards this gate owns.
 */
void
gate_conf_update_owners(struct gate *g)
{
	gate_conf_update_shard_owners(g);
	gate_rate_update_owned(g);
}

/*
 * Reports to the agent which configuration is in force here, and whether this
 * gate serves.
 */
void
gate_conf_report(struct gate *g)
{
	gate_conf_report_suspect(g, str_c(NULL));
}

/*
 * Reports the same, and that the gate of another box does not answer; an empty
 * name for none.
 */
void
gate_conf_report_suspect(struct gate *g, struct str box)
{
	struct msg m = {.kind = MSG_GATE_STATUS};

	m.u.gate_status.box = g->settings.box;
	m.u.gate_status.started_ms = g->started_ms;
	m.u.gate_status.conf_summary = sync_conf_summary(&g->sync);
	m.u.gate_status.object_count = conf_count(g->conf);
	m.u.gate_status.leaving = gate_box_leaving(g);
	m.u.gate_status.ready = g->state != BOX_EMPTY;
	m.u.gate_status.suspect_box = box;
	wire_send(g->wire, g->settings.agent, &m);
}

static void
apply_health_to_shard(void *ctx, struct gate_shard *s)
{
	const struct msg_backend_health *health = ctx;

	disp_probe_result(s->disp, health->backend,
	    health->state == HEALTH_DOWN, health->state == HEALTH_DRAINING);
	if (disp_cold_probed(s->disp, health->backend,
		(int64_t)MIN(health->cold_ms, DIAL_MS_MAX) * NS_MS))
		slog_decision(SLOG_PICK, "a probe found a backend server cold",
		    "backend=%.*s service=%.*s cold_ms=%llu",
		    STR_ARG(health->backend), STR_ARG(s->service),
		    (unsigned long long)health->cold_ms);
}

static void
apply_health(struct gate *g, const struct msg_health *health)
{
	struct msg_backend_health *states = health->states.items;
	size_t i;

	for (i = 0; i < health->states.n; i++)
		gate_conf_each_shard(g, apply_health_to_shard, &states[i]);
}

/* Handles a message from the agent or from another gate. */
void
gate_conf_on_message(void *ctx, const struct msg *m)
{
	struct gate *g = ctx;

	switch (m->kind) {
	case MSG_ANNOUNCEMENT:
		g->sync.rules_only = m->u.announcement.conf_summary.rules_only;
		sync_confirm_from_peer(
		    &g->sync, &m->u.announcement.conf_summary);
		sync_compare(
		    &g->sync, m->from, &m->u.announcement.conf_summary);
		if (sync_is_equal(&g->sync, &m->u.announcement.conf_summary) &&
		    m->u.announcement.self.ready) {
			rebuild_now(g);
			/* Without a rule each request would get a 404. */
			if (!g->platform_adapter->requires_rules ||
			    route_count_rules(g->routes) > 0)
				gate_box_configured(g);
		}
		gate_conf_report(g);
		break;
	case MSG_MEMBERS:
		gate_owner_set_members(g, &m->u.members);
		gate_conf_update_owners(g);
		break;
	case MSG_HEALTH:
		apply_health(g, &m->u.health);
		break;
	case MSG_CAPACITY:
		gate_owner_mark_alive(g, m->from);
		gate_owner_on_summary(g, &m->u.capacity);
		break;
	case MSG_SUSPECTS:
		gate_owner_mark_alive(g, m->from);
		gate_poison_merge(g, &m->u.suspects);
		break;
	case MSG_REPORTS:
		gate_owner_mark_alive(g, m->from);
		gate_reports_merge(g, &m->u.reports);
		break;
	case MSG_ROLLOUT:
		gate_owner_mark_alive(g, m->from);
		gate_roll_merge(g, &m->u.rollout);
		break;
	case MSG_RATE_QUERY:
		gate_rate_reply(g, m->from, &m->u.rate_query);
		break;
	case MSG_RATE_GRANT:
		gate_owner_mark_alive(g, m->from);
		gate_rate_on_grant(g, m->from, &m->u.rate_grant);
		break;
	case MSG_RATE_USAGE:
		gate_owner_mark_alive(g, m->from);
		gate_rate_on_usage(g, m->from, &m->u.rate_usage);
		break;
	case MSG_SHARD_STATE:
		gate_owner_mark_alive(g, m->from);
		gate_handover_receive(g, m->from, &m->u.shard_state);
		break;
	case MSG_ATTEMPT_END:
		gate_next_end_lease(g, &m->u.attempt_end);
		break;
	case MSG_PING:
	case MSG_PONG:
		gate_owner_mark_alive(g, m->from);
		gate_owner_on_ping(g, m);
		if (m->kind == MSG_PONG)
			gate_handover_on_pong(g, m->u.ping.nonce);
		break;
	default:
		sync_on_message(&g->sync, m);
		break;
	}
}
