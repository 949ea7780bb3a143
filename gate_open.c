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
#include <signal.h>

#include "libreq.h"
#include "mem.h"
#include "set.h"
#include "slog.h"

/* The gate's settings and start-up, and the tick that all its parts share. */

enum { ADMIN_BODY_MAX = 4096 };

/* Largest limit of a request's body that may be set, in bytes. */
enum { BODY_MAX = 1 << 28 };

/*
 * Intervals of the tick: with requests queued, with requests in flight, and
 * with none.
 */
#define TICK_QUEUED_NS (10 * NS_MS)
#define TICK_BUSY_NS (25 * NS_MS)
#define TICK_IDLE_NS (250 * NS_MS)
#define REPORT_INTERVAL_NS (1 * NS_S)
/* A tick that is so late means that the process was suspended. */
#define SUSPENDED_NS (1 * NS_S)

static void on_tick(void *);
static bool open_charts(struct gate *, GError **);

#define F(member) offsetof(struct gate_settings, member)

static const char *const route_names[] = {"home", "alone", NULL};

static const struct field fields[] = {
    {.name = "box", .type = FIELD_NAME, .offset = F(box), .required = true},
    {.name = "hall", .type = FIELD_NAME, .offset = F(hall), .required = true},
    {.name = "listen",
	.type = FIELD_ADDRESS,
	.offset = F(listen),
	.required = true},
    {.name = "pass_listen",
	.type = FIELD_ADDRESS,
	.offset = F(pass_listen),
	.required = true},
    {.name = "admin_listen",
	.type = FIELD_ADDRESS,
	.offset = F(admin_listen),
	.required = true},
    {.name = "inbox",
	.type = FIELD_ADDRESS,
	.offset = F(inbox),
	.required = true},
    {.name = "agent",
	.type = FIELD_ADDRESS,
	.offset = F(agent),
	.required = true},
    {.name = "platform",
	.type = FIELD_ADDRESS,
	.offset = F(platform),
	.required = true},
    {.name = "charts",
	.type = FIELD_STR,
	.offset = F(charts),
	.text_dflt = "/usr/local/share/fernjunction/charts"},
    {.name = "policy",
	.type = FIELD_NAME,
	.offset = F(policy),
	.text_dflt = "fern"},
    {.name = "route",
	.type = FIELD_CHOICE,
	.offset = F(route),
	.choices = route_names},
    {.name = "body_max",
	.type = FIELD_INT,
	.offset = F(body_max),
	.dflt = 1 << 20,
	.min = 0,
	.max = BODY_MAX},
    {.name = "bodies_max",
	.type = FIELD_INT,
	.offset = F(bodies_max),
	.dflt = 1 << 27,
	.min = 1,
	.max = INT64_MAX},
    {.name = "held_max",
	.type = FIELD_INT,
	.offset = F(held_max),
	.dflt = 0,
	.min = 0,
	.max = INT64_MAX},
    {.name = "memory_mb",
	.type = FIELD_INT,
	.offset = F(memory_mb),
	.dflt = 0,
	.min = 0,
	.max = 1 << 24},
    {.name = "leave_wait_ms",
	.type = FIELD_INT,
	.offset = F(leave_wait_ms),
	.dflt = 5000,
	.min = 0,
	.max = 600000},
    {.name = "grace_ms",
	.type = FIELD_INT,
	.offset = F(grace_ms),
	.dflt = 600000,
	.min = 0,
	.max = 86400000},
    {.name = "power",
	.type = FIELD_REAL,
	.offset = F(power),
	.dflt = 1,
	.min = 0,
	.max = 1024},
    {.name = "silent_ms",
	.type = FIELD_INT,
	.offset = F(silent_ms),
	.dflt = 20,
	.min = 5,
	.max = 60000},
    {.name = "early_ms",
	.type = FIELD_INT,
	.offset = F(early_ms),
	.dflt = 0,
	.min = 0,
	.max = 60000},
    {.name = "ping_wait_ms",
	.type = FIELD_INT,
	.offset = F(ping_wait_ms),
	.dflt = 40,
	.min = 5,
	.max = 60000},
    {.name = "regions", .type = FIELD_LABELS, .offset = F(regions)},
    {.name = "bounds", .type = FIELD_STR, .offset = F(bounds), .text_dflt = ""},
    {.name = "platform_form",
	.type = FIELD_NAME,
	.offset = F(platform_form),
	.text_dflt = "fern"},
    {.name = "summary_ms",
	.type = FIELD_INT,
	.offset = F(summary_ms),
	.dflt = 10,
	.min = 5,
	.max = 1000},
};

static struct chart *
open_chart(struct gate *g, const struct chart_names *names, GError **err)
{
	char *path =
	    g_strdup_printf("%s/%s.toml", g->settings.charts.p, names->name);
	struct chart *chart = chart_load(path, names, err);

	g_free(path);
	return chart;
}

static bool
open_charts(struct gate *g, GError **err)
{
	g->chart_backend = open_chart(g, &pick_chart_names, err);
	if (g->chart_backend == NULL)
		return false;
	g->chart_request = open_chart(g, &req_chart_names, err);
	if (g->chart_request == NULL)
		return false;
	g->chart_roll = open_chart(g, &roll_chart_names, err);
	if (g->chart_roll == NULL)
		return false;
	g->chart_box = open_chart(g, &gate_box_chart_names, err);
	return g->chart_box != NULL;
}

/*
 * Reads the settings file again and applies the settings that may change at run
 * time.  A file that is not valid changes nothing.
 */
void
gate_reload(struct gate *g)
{
	struct gate_settings set = {0};
	GError *err = NULL;

	if (!set_load(g->settings_file, g->settings_section, fields,
		G_N_ELEMENTS(fields), &set, &err)) {
		slog(SLOG_GATE, "settings are kept, the new ones are not valid",
		    "why=%s", slog_quote(err->message));
		g_error_free(err);
		return;
	}
	g->settings.leave_wait_ms = set.leave_wait_ms;
	g->settings.grace_ms = set.grace_ms;
	g->settings.summary_ms = set.summary_ms;
	g->settings.silent_ms = set.silent_ms;
	g->settings.ping_wait_ms = set.ping_wait_ms;
	if (g->platform_adapter->parse_bounds != NULL)
		g->platform_adapter->parse_bounds(set.bounds, &g->bounds);
	field_free(fields, G_N_ELEMENTS(fields), &set);
	slog(SLOG_GATE, "settings are read anew", "file=%s", g->settings_file);
}

bool
gate_load(struct gate *g, const char *file, const char *section, GError **err)
{
	g->settings_file = g_strdup(file);
	g->settings_section = section;
	if (!set_load(
		file, section, fields, G_N_ELEMENTS(fields), &g->settings, err))
		return false;
	if (pick_by_name(g->settings.policy) == NULL)
		return err_set(err, ERR_SETTINGS,
		    "%s: policy: found \"%s\"; allowed is fern, pace or naive",
		    file, g->settings.policy.p);
	g->platform_adapter = plat_adapter_by_name(g->settings.platform_form);
	if (g->platform_adapter == NULL)
		return err_set(err, ERR_SETTINGS,
		    "%s: platform_form: found \"%s\"; allowed is fern or "
		    "objects",
		    file, g->settings.platform_form.p);
	g->dialect = g->platform_adapter->dialect;
	if (g->platform_adapter->parse_bounds != NULL)
		g->platform_adapter->parse_bounds(
		    g->settings.bounds, &g->bounds);
	slog(SLOG_GATE, "bounds", "retry_ratio=%.2f retry_slack=%lld",
	    g->bounds.retry_ratio, (long long)g->bounds.retry_slack);
	return open_charts(g, err);
}

/*
 * Callers may take half of the memory, bodies three quarters of that.  A single
 * body of the greatest size always has room.  By default there is room for all
 * bodies, and for heads and responses beside them.
 */
static void
bound_by_memory(struct gate_settings *set)
{
	int64_t half = mem_allowed() / 2;

	if (set->memory_mb != 0)
		half = set->memory_mb * (1 << 20) / 2;
	if (set->bodies_max > half / 4 * 3)
		set->bodies_max = MAX(half / 4 * 3, set->body_max);
	if (set->held_max == 0)
		set->held_max = set->bodies_max / 2 * 3;
	if (set->held_max > half)
		set->held_max =
		    MAX(half, set->bodies_max + set->bodies_max / 8);
	slog(SLOG_GATE, "memory is bounded",
	    "half_mb=%lld bodies_max=%lld held_max=%lld",
	    (long long)(half >> 20), (long long)set->bodies_max,
	    (long long)set->held_max);
}

/* Bounds what the callers of all listeners make the gate hold. */
static void
share_pool(struct gate *g)
{
	g->pool.held_max = (size_t)g->settings.held_max;
	hsrv_pool_add(&g->pool, g->caller_server);
	hsrv_pool_add(&g->pool, g->forward_server);
	hsrv_pool_add(&g->pool, g->admin_server);
}

/* Opens the sockets that the gate listens on. */
static bool
open_listeners(struct gate *g, GError **err)
{
	size_t body = (size_t)g->settings.body_max;

	g->wire =
	    wire_open(g->loop, g->settings.inbox, gate_conf_on_message, g, err);
	if (g->wire == NULL)
		return err_prefix_setting(err, "inbox");
	g->caller_server = hsrv_open(
	    g->loop, g->settings.listen, body, gate_req_from_caller, g, err);
	if (g->caller_server == NULL)
		return err_prefix_setting(err, "listen");
	hsrv_allow_concurrent(g->caller_server, gate_admit_pipelined);
	/* The gate that forwards a request has applied its own limit. */
	g->forward_server = hsrv_open(g->loop, g->settings.pass_listen,
	    BODY_MAX, gate_req_from_gate, g, err);
	if (g->forward_server == NULL)
		return err_prefix_setting(err, "pass_listen");
	bound_by_memory(&g->settings);
	g->room.max = (size_t)g->settings.bodies_max;
	hsrv_limit_room(g->caller_server, &g->room);
	hsrv_limit_room(g->forward_server, &g->room);
	g->admin_server = hsrv_open(g->loop, g->settings.admin_listen,
	    ADMIN_BODY_MAX, gate_stat_page, g, err);
	if (g->admin_server == NULL)
		return err_prefix_setting(err, "admin_listen");
	share_pool(g);
	return true;
}

bool
gate_open(struct gate *g, GError **err)
{
	g->loop = uv_default_loop();
	g->started_ms = (uint64_t)clk_wall_ms(g->clk);
	g->live_boxes = 1;
	tmr_open(&g->tmr, g->loop, g->clk);
	g->up = up_open(g->loop, &g->tmr, g->clk);
	g->plat = plat_http_open(g->up, &g->tmr, g->clk, g->settings.platform,
	    g->platform_adapter->codec);
	g->cnt = gate_stat_open();
	g->peers = g_ptr_array_new();
	g->owners =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	/* Until the agent sends a member list, this gate owns all shards. */
	g->is_hub = true;
	gate_poison_open(g);
	gate_next_open(g);
	gate_renew_open(g);
	g->reports = reports_new();
	gate_rate_open(g);
	if (!gate_conf_open(g, err) || !gate_req_open(g, err) ||
	    !open_listeners(g, err))
		return false;
	gate_trace_open(g);
	return true;
}

static void
resume_shard(void *ctx, struct gate_shard *s)
{
	(void)ctx;
	disp_resumed(s->disp);
}

/*
 * After a suspension of this process the silence of other gates means nothing,
 * and its shards may have had another owner.
 */
static void
on_suspended(struct gate *g, int64_t now, int64_t gap)
{
	struct gate_peer *p;
	guint i;

	slog(SLOG_GATE, "was paused", "gap_ms=%lld", (long long)(gap / NS_MS));
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		p->last_seen = now;
		p->ping_sent = 0;
	}
	gate_conf_each_shard(g, resume_shard, NULL);
}

/*
 * Returns the time until the next tick.  Work that needs no exact time is done
 * by one tick, which is rare while there is little to do, as wake-ups are most
 * of the cost of an idle process.
 */
static int64_t
next_tick(const struct gate *g)
{
	struct gate_shard *s;
	GHashTableIter it;
	gpointer value;

	if (gate_req_count(g) == 0)
		return gate_box_leaving(g) ? TICK_BUSY_NS : TICK_IDLE_NS;
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (disp_capacity_of(s->disp).queued > 0)
			return TICK_QUEUED_NS;
	}
	return TICK_BUSY_NS;
}

static void
on_tick(void *ctx)
{
	struct gate *g = ctx;
	int64_t now = clk_ns(g->clk), gap = now - g->last_tick;
	struct gate_shard *s;
	GHashTableIter it;
	gpointer value;

	if (g->last_tick != 0 && gap > SUSPENDED_NS)
		on_suspended(g, now, gap);
	g->last_tick = now;
	gate_owner_extend_pings(g, now - g->tick.item.deadline);
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		disp_tick(s->disp);
	}
	gate_owner_tick(g, now);
	gate_handover_tick(g, now);
	gate_deputy_tick(g, now);
	gate_poison_tick(g, now);
	gate_renew_tick(g, now);
	gate_reports_tick(g, now);
	gate_roll_tick(g, now);
	gate_stat_shards_tick(g, now);
	if (now - g->last_report >= REPORT_INTERVAL_NS) {
		g->last_report = now;
		gate_conf_report(g);
	}
	gate_box_tick(g, now);
	slog_flush();
	tmr_set(&g->tmr, &g->tick, now + next_tick(g), on_tick, g);
}

/* A request has arrived: makes sure that the next tick is soon. */
void
gate_tick_soon(struct gate *g)
{
	int64_t at = clk_ns(g->clk) + TICK_QUEUED_NS;

	if (g->tick.armed && g->tick.item.deadline > at)
		tmr_set(&g->tmr, &g->tick, at, on_tick, g);
}

void
gate_start(struct gate *g)
{
	tmr_set(&g->tmr, &g->tick, clk_ns(g->clk), on_tick, g);
	gate_box_open(g);
	slog(SLOG_GATE, "started", "box=%s hall=%s listen=%s policy=%s form=%s",
	    g->settings.box.p, g->settings.hall.p, g->settings.listen.p,
	    g->settings.policy.p, g->platform_adapter->name);
	gate_conf_report(g);
}
