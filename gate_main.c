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
#include "daemon.h"
#include "set.h"
#include "slog.h"

enum {
	TICK_MS = 5,
	CALLER_CHECK_TICKS = 10,
	REPORT_TICKS = 200,
	ADMIN_BODY_MAX = 4096
};
/* A tick that comes so late tells that the process was paused. */
#define PAUSE_NS (1 * NS_S)

static void on_tick(uv_timer_t *);
static bool open_charts(struct gate *, GError **);

#define F(member) offsetof(struct gate_set, member)

static const char *const words_route[] = {"home", "alone", NULL};

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
	.type = FIELD_WORD,
	.offset = F(route),
	.words = words_route},
    {.name = "body_max",
	.type = FIELD_INT,
	.offset = F(body_max),
	.dflt = 1 << 20,
	.min = 0,
	.max = 1 << 28},
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
	    g_strdup_printf("%s/%s.toml", g->set.charts.p, names->name);
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
	g->chart_box = open_chart(g, &gate_box_chart_names, err);
	return g->chart_box != NULL;
}

static bool
load(void *ctx, const char *file, GError **err)
{
	struct gate *g = ctx;

	if (!set_load(file, fields, G_N_ELEMENTS(fields), &g->set, err))
		return false;
	if (pick_by_name(g->set.policy) == NULL)
		return err_set(err, ERR_SETTINGS,
		    "%s: policy: found \"%s\"; allowed is fern or naive", file,
		    g->set.policy.p);
	return open_charts(g, err);
}

static bool
open_all(void *ctx, GError **err)
{
	struct gate *g = ctx;
	size_t body = (size_t)g->set.body_max;

	g->loop = uv_default_loop();
	g->boot = (uint64_t)clk_wall_ms(g->clk);
	g->boxes = 1;
	tmr_open(&g->tmr, g->loop, g->clk);
	g->up = up_open(g->loop, &g->tmr, g->clk);
	g->plat = plat_http_open(g->up, &g->tmr, g->clk, g->set.platform);
	g->cnt = gate_stat_open();
	g->peers = g_ptr_array_new();
	if (!gate_conf_open(g, err) || !gate_req_open(g, err))
		return false;
	g->wire = wire_open(g->loop, g->set.inbox, gate_conf_take, g, err);
	if (g->wire == NULL)
		return false;
	g->callers =
	    hsrv_open(g->loop, g->set.listen, body, gate_req_caller, g, err);
	if (g->callers == NULL)
		return false;
	g->pass = hsrv_open(
	    g->loop, g->set.pass_listen, body, gate_req_passed, g, err);
	if (g->pass == NULL)
		return false;
	g->admin = hsrv_open(g->loop, g->set.admin_listen, ADMIN_BODY_MAX,
	    gate_stat_page, g, err);
	return g->admin != NULL;
}

static void
on_tick(uv_timer_t *timer)
{
	struct gate *g = timer->data;
	int64_t now = clk_ns(g->clk), gap = now - g->last_tick;
	struct gate_shard *s;
	struct gate_peer *p;
	GHashTableIter it;
	gpointer value;
	static uint64_t ticks;
	guint i;

	if (g->last_tick != 0 && gap > PAUSE_NS) {
		slog(SLOG_GATE, "Was paused for %lld ms.",
		    (long long)(gap / NS_MS));
		for (i = 0; i < g->peers->len; i++) {
			p = g_ptr_array_index(g->peers, i);
			p->heard = now;
			p->pinged = 0;
		}
	}
	g->last_tick = now;
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		disp_tick(s->disp);
	}
	gate_home_tick(g, now);
	if (++ticks % CALLER_CHECK_TICKS == 0)
		gate_req_tick(g, now);
	if (ticks % REPORT_TICKS == 0)
		gate_conf_report(g);
	gate_box_tick(g, now);
	slog_flush();
}

static void
start_loop(void *ctx)
{
	struct gate *g = ctx;

	uv_timer_init(g->loop, &g->tick);
	g->tick.data = g;
	uv_timer_start(&g->tick, on_tick, TICK_MS, TICK_MS);
	gate_box_open(g);
	slog(SLOG_GATE, "Box %s in hall %s serves on %s.", g->set.box.p,
	    g->set.hall.p, g->set.listen.p);
	gate_conf_report(g);
	uv_run(g->loop, UV_RUN_DEFAULT);
}

int
main(int argc, char **argv)
{
	static struct gate gate;
	const struct daemon_ops ops = {"ferngate",
	    "The data path of a fernjunction box.", load, open_all, start_loop,
	    &gate};

	gate.clk = clk_system();
	gate.rnd = rnd_system();
	return daemon_main(argc, argv, &ops);
}
