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
 * Probes of backend servers, what other boxes found, and what of both is told
 * on.
 */

#define TARGETS_NS (1 * NS_S)
#define HEALTH_AGAIN_NS (10 * NS_S)
#define PROBE_TIMEOUT_NS (1 * NS_S)
/* What nobody has said again for so long is no longer held against one. */
#define HEALTH_KEEP_MS 35000

/* What is thought of a backend server, by us or by the box that probes it. */
struct agent_health {
	enum msg_health_state state;
	uint64_t at_ms;
};

/* One probe under way. */
struct flight {
	struct agent *agent;
	struct str backend;
	struct up_call *call;
	struct tmr_item timer;
	enum probe_outcome found;
};

static void start_probe(void *, struct str, struct str, struct str);
static void on_changed(void *, struct str, enum msg_health_state);
static void
on_head(void *, struct up_call *, int, const h2o_header_t *, size_t);
static void on_end(void *, struct up_call *);
static void on_fail(void *, struct up_call *, enum err_kind);
static void on_timeout(void *);
static void land(struct flight *, enum probe_outcome);
static void
remember(struct agent *, struct str, enum msg_health_state, uint64_t);
static void want_service(void *, const struct route_service *);

static const struct up_ops probe_flight_ops = {
    up_ignore, on_head, up_skip_body, on_end, on_fail};

void
agent_probe_open(struct agent *a)
{
	struct probe_ops ops = {start_probe, on_changed, a};

	a->probe = probe_new(&ops, a->rnd, (double)a->settings.probe_rate);
	a->health =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
start_probe(void *ctx, struct str backend, struct str address, struct str path)
{
	struct agent *a = ctx;
	struct flight *f = g_new0(struct flight, 1);
	struct up_request rq = {.address = address,
	    .method = STR_LIT("GET"),
	    .path = path,
	    .host = address};

	f->agent = a;
	f->backend = str_dup(backend);
	tmr_set(&a->tmr, &f->timer, clk_ns(a->clk) + PROBE_TIMEOUT_NS,
	    on_timeout, f);
	f->call = up_start(a->up, &rq, &probe_flight_ops, f);
}

static void
land(struct flight *f, enum probe_outcome found)
{
	struct agent *a = f->agent;

	tmr_clear(&a->tmr, &f->timer);
	probe_record_outcome(a->probe, f->backend, found, clk_ns(a->clk));
	str_free(&f->backend);
	g_free(f);
}

static void
on_timeout(void *ctx)
{
	struct flight *f = ctx;

	up_cancel(f->call);
	land(f, PROBE_FAILED);
}

static void
on_head(void *ctx, struct up_call *call, int status,
    const h2o_header_t *headers, size_t n)
{
	struct flight *f = ctx;
	struct dial_report word;

	(void)call;
	f->found = status < 400 ? PROBE_OK : PROBE_FAILED;
	f->agent->form->dialect->parse_report(status, headers, n, &word);
	if (word.leaving)
		f->found = PROBE_DRAINING;
}

static void
on_end(void *ctx, struct up_call *call)
{
	struct flight *f = ctx;

	(void)call;
	land(f, f->found);
}

static void
on_fail(void *ctx, struct up_call *call, enum err_kind kind)
{
	(void)call;
	(void)kind;
	land(ctx, PROBE_FAILED);
}

static void
remember(struct agent *a, struct str backend, enum msg_health_state state,
    uint64_t at_ms)
{
	char *key = g_strndup(backend.p, backend.n);
	struct agent_health *h = g_hash_table_lookup(a->health, key);

	if (h == NULL) {
		h = g_new0(struct agent_health, 1);
		g_hash_table_insert(a->health, g_strdup(key), h);
	}
	g_free(key);
	if (at_ms < h->at_ms)
		return;
	h->state = state;
	h->at_ms = at_ms;
}

static void
tell(struct agent *a, struct str backend, enum msg_health_state state, bool all)
{
	struct msg_backend_health st = {
	    backend, state, (uint64_t)clk_wall_ms(a->clk)};
	struct msg m = {.kind = MSG_HEALTH};

	remember(a, backend, state, st.probed_ms);
	m.u.health.states.items = &st;
	m.u.health.states.n = 1;
	wire_send(a->wire, a->settings.gate_inbox, &m);
	if (all)
		agent_push_to_all(a, &m);
}

static void
on_changed(void *ctx, struct str backend, enum msg_health_state state)
{
	static const char *const names[] = {
	    "unknown", "up", "down", "draining"};

	slog(SLOG_PROBE, "backend server by probes", "backend=%.*s state=%s",
	    STR_ARG(backend), names[state]);
	tell(ctx, backend, state, true);
}

/* Passed on to the gate unless we know something newer. */
void
agent_probe_on_health(struct agent *a, const struct msg_health *health)
{
	const struct msg_backend_health *st = health->states.items;
	struct msg m = {.kind = MSG_HEALTH};
	size_t i;

	for (i = 0; i < health->states.n; i++)
		remember(a, st[i].backend, (enum msg_health_state)st[i].state,
		    st[i].probed_ms);
	m.u.health = *health;
	wire_send(a->wire, a->settings.gate_inbox, &m);
}

void
agent_probe_send_to_gate(struct agent *a)
{
	const struct agent_health *h;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, a->health);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		h = value;
		tell(a, str_c(key), h->state, false);
	}
}

/*
 * One hub of a hall probes each backend server there; where a hall has none,
 * one of all hubs does.
 */
static bool
is_prober(struct agent *a, struct str backend, struct str hall)
{
	const struct memb_info *hubs[MEMB_HUBS_MAX];
	bool served = memb_hubs(a->memb, hall, hubs) > 0;

	return memb_is_in_top_hubs(
	    a->memb, backend, served ? hall : str_c(NULL), 1);
}

static void
want_service(void *ctx, const struct route_service *svc)
{
	struct agent *a = ctx;
	int64_t now = clk_ns(a->clk);
	const struct route_hall *h;
	unsigned i, j;

	for (i = 0; i < svc->nhalls; i++) {
		h = &svc->halls[i];
		for (j = 0; j < h->n; j++)
			if (is_prober(a, h->backends[j].name, h->hall))
				probe_targets_add(a->probe, h->backends[j].name,
				    h->backends[j].address,
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
	route_each(a->routes, want_service, a);
	probe_targets_commit(a->probe);
}

static void
tell_again(void *ctx, struct str backend, enum msg_health_state state)
{
	if (state == HEALTH_DOWN || state == HEALTH_DRAINING)
		tell(ctx, backend, state, true);
}

/* Nobody says any more that it is down: it may be tried again. */
static void
forget_old(struct agent *a)
{
	uint64_t now = (uint64_t)clk_wall_ms(a->clk);
	struct agent_health *h;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, a->health);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		h = value;
		if (now - h->at_ms < HEALTH_KEEP_MS)
			continue;
		if (h->state == HEALTH_DOWN || h->state == HEALTH_DRAINING)
			tell(a, str_c(key), HEALTH_UNKNOWN, false);
		else
			g_hash_table_iter_remove(&it);
	}
}

void
agent_probe_tick(struct agent *a, int64_t now)
{
	if (a->settings.probe_rate == 0)
		return;
	if (now - a->targets_refreshed_at > TARGETS_NS) {
		a->targets_refreshed_at = now;
		refresh_targets(a);
	}
	if (now - a->health_sent_at > HEALTH_AGAIN_NS) {
		a->health_sent_at = now;
		probe_each(a->probe, tell_again, a);
		forget_old(a);
	}
	probe_tick(a->probe, now);
}
