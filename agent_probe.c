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
#include <strings.h>

#include "libagent.h"
#include "slog.h"

/*
 * Probes backend servers, sends the results to other boxes and to the gate, and
 * stores the results of other boxes.
 */

/* Interval at which the list of targets is updated. */
#define TARGETS_INTERVAL_NS (1 * NS_S)
/* Interval at which servers that are down or draining are sent again. */
#define HEALTH_RESEND_NS (10 * NS_S)
#define PROBE_TIMEOUT_NS (1 * NS_S)
/* A state that was not sent again for this time expires. */
#define HEALTH_EXPIRE_MS 35000

/* State of a backend server, by probes of this box or of another one. */
struct health {
	enum msg_health_state state;
	uint64_t probed_ms;
};

/* One probe in flight. */
struct probe_call {
	struct agent *agent;
	struct str backend;
	struct up_call *call;
	struct tmr_item timer;
	enum probe_outcome outcome;
	int64_t cold_ms; /* remaining slow start, as the answer says */
};

static void on_probe_start(void *, struct str, struct str, struct str);
static void on_state_changed(void *, struct str, enum msg_health_state);
static void
on_head(void *, struct up_call *, int, const h2o_header_t *, size_t);
static void on_end(void *, struct up_call *);
static void on_fail(void *, struct up_call *, enum err_kind);
static void on_timeout(void *);
static void finish_probe(struct probe_call *, enum probe_outcome);
static void
store_state(struct agent *, struct str, enum msg_health_state, uint64_t);
static void send_cold(struct agent *, struct str, int64_t cold_ms);
static void add_service_targets(void *, const struct route_service *);

static const struct up_ops probe_call_ops = {
    up_ignore, on_head, up_skip_body, on_end, on_fail};

void
agent_probe_open(struct agent *a)
{
	struct probe_ops ops = {on_probe_start, on_state_changed, a};

	a->probe = probe_new(&ops, a->rnd, (double)a->settings.probe_rate);
	a->health =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
on_probe_start(
    void *ctx, struct str backend, struct str address, struct str path)
{
	struct agent *a = ctx;
	struct probe_call *pc = g_new0(struct probe_call, 1);
	struct up_request rq = {.address = address,
	    .method = STR_LIT("GET"),
	    .path = path,
	    .host = address};

	pc->agent = a;
	pc->backend = str_dup(backend);
	tmr_set(&a->tmr, &pc->timer, clk_ns(a->clk) + PROBE_TIMEOUT_NS,
	    on_timeout, pc);
	pc->call = up_start(a->up, &rq, &probe_call_ops, pc);
}

static void
finish_probe(struct probe_call *pc, enum probe_outcome outcome)
{
	struct agent *a = pc->agent;

	tmr_clear(&a->tmr, &pc->timer);
	probe_record_outcome(a->probe, pc->backend, outcome, clk_ns(a->clk));
	if (outcome == PROBE_OK && pc->cold_ms > 0)
		send_cold(a, pc->backend, pc->cold_ms);
	str_free(&pc->backend);
	g_free(pc);
}

static void
on_timeout(void *ctx)
{
	struct probe_call *pc = ctx;

	up_cancel(pc->call);
	finish_probe(pc, PROBE_FAILED);
}

static void
on_head(void *ctx, struct up_call *call, int status,
    const h2o_header_t *headers, size_t n)
{
	struct probe_call *pc = ctx;
	struct dial_report report;

	(void)call;
	pc->outcome = status < 400 ? PROBE_OK : PROBE_FAILED;
	pc->agent->adapter->dialect->parse_report(status, headers, n, &report);
	if (report.leaving)
		pc->outcome = PROBE_DRAINING;
	pc->cold_ms = report.slow_start_ms;
}

static void
on_end(void *ctx, struct up_call *call)
{
	struct probe_call *pc = ctx;

	(void)call;
	finish_probe(pc, pc->outcome);
}

static void
on_fail(void *ctx, struct up_call *call, enum err_kind kind)
{
	(void)call;
	(void)kind;
	finish_probe(ctx, PROBE_FAILED);
}

static void
store_state(struct agent *a, struct str backend, enum msg_health_state state,
    uint64_t probed_ms)
{
	char *key = g_strndup(backend.p, backend.n);
	struct health *health = g_hash_table_lookup(a->health, key);

	if (health == NULL) {
		health = g_new0(struct health, 1);
		g_hash_table_insert(a->health, g_strdup(key), health);
	}
	g_free(key);
	if (probed_ms < health->probed_ms)
		return;
	health->state = state;
	health->probed_ms = probed_ms;
}

static void
send_health(struct agent *a, struct str backend, enum msg_health_state state,
    int64_t cold_ms, bool all)
{
	struct msg_backend_health st = {
	    backend, state, (uint64_t)clk_wall_ms(a->clk), (uint64_t)cold_ms};
	struct msg m = {.kind = MSG_HEALTH};

	store_state(a, backend, state, st.probed_ms);
	m.u.health.states.items = &st;
	m.u.health.states.n = 1;
	wire_send(a->wire, a->settings.gate_inbox, &m);
	if (all)
		agent_push_to_all(a, &m);
}

static void
send_state(
    struct agent *a, struct str backend, enum msg_health_state state, bool all)
{
	send_health(a, backend, state, 0, all);
}

/* Sends that a server is cold, with its state, which the probe did not change.
 */
static void
send_cold(struct agent *a, struct str backend, int64_t cold_ms)
{
	char *key = g_strndup(backend.p, backend.n);
	const struct health *health = g_hash_table_lookup(a->health, key);

	g_free(key);
	send_health(a, backend, health == NULL ? HEALTH_UP : health->state,
	    cold_ms, true);
}

static void
on_state_changed(void *ctx, struct str backend, enum msg_health_state state)
{
	static const char *const names[] = {
	    "unknown", "up", "down", "draining"};

	slog(SLOG_PROBE, "backend server changed state by probes",
	    "backend=%.*s state=%s", STR_ARG(backend), names[state]);
	send_state(ctx, backend, state, true);
}

/* Stores states from another box, if newer, and forwards all to the gate. */
void
agent_probe_on_health(struct agent *a, const struct msg_health *health)
{
	const struct msg_backend_health *st = health->states.items;
	struct msg m = {.kind = MSG_HEALTH};
	size_t i;

	for (i = 0; i < health->states.n; i++)
		store_state(a, st[i].backend,
		    (enum msg_health_state)st[i].state, st[i].probed_ms);
	m.u.health = *health;
	wire_send(a->wire, a->settings.gate_inbox, &m);
}

void
agent_probe_send_to_gate(struct agent *a)
{
	const struct health *health;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, a->health);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		health = value;
		send_state(a, str_c(key), health->state, false);
	}
}

/*
 * Returns whether this box probes a backend server.  One hub of its hall does;
 * if the hall has no hub, one of all hubs.
 */
static bool
is_prober(struct agent *a, struct str backend, struct str hall)
{
	const struct memb_info *hubs[MEMB_HUBS_MAX];
	bool has_hubs = memb_hubs(a->memb, hall, hubs) > 0;

	return memb_is_in_top_hubs(
	    a->memb, backend, has_hubs ? hall : str_c(NULL), 1);
}

static void
add_service_targets(void *ctx, const struct route_service *svc)
{
	struct agent *a = ctx;
	int64_t now = clk_ns(a->clk);
	const struct route_hall *hall;
	unsigned i, j;

	for (i = 0; i < svc->nhalls; i++) {
		hall = &svc->halls[i];
		for (j = 0; j < hall->n; j++)
			if (is_prober(a, hall->backends[j].name, hall->hall))
				probe_targets_add(a->probe,
				    hall->backends[j].name,
				    hall->backends[j].address,
				    svc->obj->probe_path,
				    svc->obj->probe_ms * NS_MS, now);
	}
}

static void
refresh_targets(struct agent *a)
{
	if (a->targets_dirty || a->routes == NULL) {
		route_free(a->routes);
		a->routes = route_build(a->conf);
		a->targets_dirty = false;
	}
	probe_targets_begin(a->probe);
	route_each(a->routes, add_service_targets, a);
	probe_targets_commit(a->probe);
}

static void
resend_state(void *ctx, struct str backend, enum msg_health_state state)
{
	if (state == HEALTH_DOWN || state == HEALTH_DRAINING)
		send_state(ctx, backend, state, true);
}

/*
 * A state that is no longer confirmed expires, so that the gate may use a
 * backend server that was down again.
 */
static void
expire_states(struct agent *a)
{
	uint64_t now = (uint64_t)clk_wall_ms(a->clk);
	struct health *health;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, a->health);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		health = value;
		if (now - health->probed_ms < HEALTH_EXPIRE_MS)
			continue;
		if (health->state == HEALTH_DOWN ||
		    health->state == HEALTH_DRAINING)
			send_state(a, str_c(key), HEALTH_UNKNOWN, false);
		else
			g_hash_table_iter_remove(&it);
	}
}

void
agent_probe_tick(struct agent *a, int64_t now)
{
	if (a->settings.probe_rate == 0)
		return;
	if (now - a->targets_refreshed_at > TARGETS_INTERVAL_NS) {
		a->targets_refreshed_at = now;
		refresh_targets(a);
	}
	if (now - a->health_sent_at > HEALTH_RESEND_NS) {
		a->health_sent_at = now;
		probe_each(a->probe, resend_state, a);
		expire_states(a);
	}
	probe_tick(a->probe, now);
}
