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

#include "libagent.h"
#include "set.h"
#include "slog.h"

/*
 * The agent's settings, its start and shutdown, and the periodic tick that runs
 * all its parts.
 */

/* Time to send the last messages before the process exits. */
enum {
	SHUTDOWN_MS = 300,
	ADMIN_BODY_MAX = 4096,
	ADMIN_HELD_MAX = 8 << 20 /* bytes for all connections */
};
/*
 * A change is logged as late if the rules were confirmed longer ago than this.
 * A confirmation by the platform takes up to a second from box to box, and a
 * second more to the last box.
 */
enum { RULES_LATE_MS = 3000 };
/* Interval of the tick, with probes enabled or disabled. */
#define TICK_NS (100 * NS_MS)
#define TICK_IDLE_NS (500 * NS_MS)
/* A longer gap between two ticks means that the process was suspended. */
#define SUSPEND_GAP_NS (2 * NS_S)

static void on_tick(void *);
static void on_signal(uv_signal_t *, int);
static void on_shutdown_timer(void *);
static void on_conf_changed(void *, const struct conf_entry *);

#define F(member) offsetof(struct agent_settings, member)

static const char *const status_by_names[] = {"all", "hubs", NULL};

static const struct field fields[] = {
    {.name = "box", .type = FIELD_NAME, .offset = F(box), .required = true},
    {.name = "hall", .type = FIELD_NAME, .offset = F(hall), .required = true},
    {.name = "inbox",
	.type = FIELD_ADDRESS,
	.offset = F(inbox),
	.required = true},
    {.name = "gate_inbox",
	.type = FIELD_ADDRESS,
	.offset = F(gate_inbox),
	.required = true},
    {.name = "pass",
	.type = FIELD_ADDRESS,
	.offset = F(pass),
	.required = true},
    {.name = "admin_listen",
	.type = FIELD_ADDRESS,
	.offset = F(admin_listen),
	.text_dflt = ""},
    {.name = "platform",
	.type = FIELD_ADDRESS,
	.offset = F(platform),
	.required = true},
    {.name = "seeds", .type = FIELD_ADDRESSES, .offset = F(seeds)},
    {.name = "power",
	.type = FIELD_REAL,
	.offset = F(power),
	.dflt = 1,
	.min = 0,
	.max = 1024},
    {.name = "watchers",
	.type = FIELD_INT,
	.offset = F(watchers),
	.dflt = 4,
	.min = 1,
	.max = 16},
    {.name = "probe_rate",
	.type = FIELD_INT,
	.offset = F(probe_rate),
	.dflt = 40,
	.min = 0,
	.max = 10000},
    {.name = "platform_rate",
	.type = FIELD_INT,
	.offset = F(platform_rate),
	.dflt = 5,
	.min = 1,
	.max = 1000},
    {.name = "hello_ms",
	.type = FIELD_INT,
	.offset = F(hello_ms),
	.dflt = 1000,
	.min = 50,
	.max = 2000},
    {.name = "list_ms",
	.type = FIELD_INT,
	.offset = F(list_ms),
	.dflt = 30000,
	.min = 500,
	.max = 3600000},
    {.name = "watch_ms",
	.type = FIELD_INT,
	.offset = F(watch_ms),
	.dflt = 20000,
	.min = 500,
	.max = 30000},
    {.name = "gather_ms",
	.type = FIELD_INT,
	.offset = F(gather_ms),
	.dflt = 0,
	.min = 0,
	.max = 10000},
    {.name = "first_ms",
	.type = FIELD_INT,
	.offset = F(first_ms),
	.dflt = 400,
	.min = 0,
	.max = 10000},
    {.name = "boxes_ms",
	.type = FIELD_INT,
	.offset = F(boxes_ms),
	.dflt = 2000,
	.min = 100,
	.max = 3600000},
    {.name = "look_ms",
	.type = FIELD_INT,
	.offset = F(look_ms),
	.dflt = 1000,
	.min = 0,
	.max = 60000},
    {.name = "retry_ms",
	.type = FIELD_INT,
	.offset = F(retry_ms),
	.dflt = 15000,
	.min = 250,
	.max = 600000},
    {.name = "status_ms",
	.type = FIELD_INT,
	.offset = F(status_ms),
	.dflt = 0,
	.min = 0,
	.max = 86400000},
    {.name = "status_by",
	.type = FIELD_CHOICE,
	.offset = F(status_by),
	.choices = status_by_names},
    {.name = "contracts",
	.type = FIELD_STR,
	.offset = F(contracts),
	.text_dflt = ""},
    {.name = "platform_form",
	.type = FIELD_NAME,
	.offset = F(platform_form),
	.text_dflt = "fern"},
};

/*
 * Reads the settings file again and applies the settings that may change while
 * the agent runs.  An invalid file changes nothing.
 */
void
agent_reload(struct agent *a)
{
	struct agent_settings settings = {0};
	GError *err = NULL;
	json_t *seeds;

	if (!set_load(a->settings_file, a->settings_section, fields,
		G_N_ELEMENTS(fields), &settings, &err)) {
		slog(SLOG_AGENT, "settings are kept, the new file is invalid",
		    "why=%s", slog_quote(err->message));
		g_error_free(err);
		return;
	}
	seeds = a->settings.seeds;
	a->settings.seeds = settings.seeds;
	settings.seeds = seeds;
	a->settings.watchers = settings.watchers;
	a->settings.probe_rate = settings.probe_rate;
	a->settings.platform_rate = settings.platform_rate;
	a->settings.hello_ms = settings.hello_ms;
	a->settings.list_ms = settings.list_ms;
	a->settings.watch_ms = settings.watch_ms;
	a->settings.gather_ms = settings.gather_ms;
	a->settings.boxes_ms = settings.boxes_ms;
	a->settings.look_ms = settings.look_ms;
	a->settings.retry_ms = settings.retry_ms;
	a->settings.status_ms = settings.status_ms;
	agent_peer_configure(a);
	field_free(fields, G_N_ELEMENTS(fields), &settings);
	slog(SLOG_AGENT, "settings are read anew", "file=%s", a->settings_file);
}

bool
agent_load(struct agent *a, const char *file, const char *section, GError **err)
{
	a->settings_file = g_strdup(file);
	a->settings_section = section;
	if (!set_load(
		file, section, fields, G_N_ELEMENTS(fields), &a->settings, err))
		return false;
	a->adapter = plat_adapter_by_name(a->settings.platform_form);
	if (a->adapter == NULL)
		return err_set(err, ERR_SETTINGS,
		    "%s: platform_form: found \"%s\"; allowed is fern or "
		    "objects",
		    file, a->settings.platform_form.p);
	return true;
}

bool
agent_open(struct agent *a, GError **err)
{
	struct memb_info self = {
	    .box = a->settings.box,
	    .hall = a->settings.hall,
	    .inbox = a->settings.inbox,
	    .forward_address = a->settings.pass,
	    .gate_inbox = a->settings.gate_inbox,
	    .started_ms = (uint64_t)clk_wall_ms(a->clk),
	    .power = (uint64_t)(a->settings.power * MEMB_POWER_ONE_CPU),
	};

	a->loop = uv_default_loop();
	tmr_open(&a->tmr, a->loop, a->clk);
	a->up = up_open(a->loop, &a->tmr, a->clk);
	a->plat = plat_http_open(
	    a->up, &a->tmr, a->clk, a->settings.platform, a->adapter->codec);
	a->cnt = agent_stat_open();
	a->shares_conf = a->conf != NULL;
	if (!a->shares_conf)
		a->conf = conf_new(NULL, NULL);
	conf_add_listener(a->conf, on_conf_changed, a);
	a->memb = memb_new(&self);
	a->wire = wire_open(
	    a->loop, a->settings.inbox, agent_peer_on_message, a, err);
	if (a->wire == NULL)
		return err_prefix_setting(err, "inbox");
	if (a->settings.admin_listen.n > 0) {
		a->admin = hsrv_open(a->loop, a->settings.admin_listen,
		    ADMIN_BODY_MAX, agent_stat_page, a, err);
		if (a->admin == NULL)
			return err_prefix_setting(err, "admin_listen");
		a->admin_pool.held_max = ADMIN_HELD_MAX;
		hsrv_pool_add(&a->admin_pool, a->admin);
	}
	agent_restore_open(a);
	agent_deletion_open(a);
	agent_lastvalid_open(a);
	agent_push_open(a);
	agent_probe_open(a);
	agent_reach_open(a);
	agent_watch_open(a);
	agent_poll_open(a);
	agent_scope_open(a);
	agent_poison_open(a);
	agent_peer_open(a);
	return true;
}

static void
on_conf_changed(void *ctx, const struct conf_entry *e)
{
	struct agent *a = ctx;

	if (!a->shares_conf)
		slog(SLOG_CONF,
		    e->deleted ? "object deleted" : "object version applied",
		    "key=%.*s version=%llu from=%.*s", STR_ARG(e->key),
		    (unsigned long long)e->version, STR_ARG(e->source));
	if (e->kind != OBJ_BACKEND && sync_age_ms(&a->sync) > RULES_LATE_MS)
		slog(SLOG_CONF, "rules were unconfirmed for long",
		    "key=%.*s version=%llu from=%.*s for_ms=%lld",
		    STR_ARG(e->key), (unsigned long long)e->version,
		    STR_ARG(e->source), (long long)sync_age_ms(&a->sync));
	agent_watch_bypassed(a, e);
	cnt_add(a->cnt, AC_CHANGES, 1);
	a->targets_dirty = true;
	a->targets_refreshed_at = 0;
	agent_push_queue_change(a, e);
	agent_box_schedule_status(a);
}

static void
on_tick(void *ctx)
{
	struct agent *a = ctx;
	int64_t now = clk_ns(a->clk), gap = now - a->last_tick_at;

	if (a->last_tick_at != 0 && gap > SUSPEND_GAP_NS) {
		slog(SLOG_AGENT, "was paused, looks anew", "gap_ms=%lld",
		    (long long)(gap / NS_MS));
		memb_cancel_requests(a->memb);
		agent_watch_restart(a);
	}
	a->last_tick_at = now;
	agent_peer_tick(a, now);
	agent_reach_tick(a, now);
	agent_gate_tick(a, now);
	agent_probe_tick(a, now);
	slog_flush();
	tmr_set(&a->tmr, &a->tick,
	    now + (a->settings.probe_rate > 0 ? TICK_NS : TICK_IDLE_NS),
	    on_tick, a);
}

static void
on_shutdown_timer(void *ctx)
{
	struct agent *a = ctx;

	uv_stop(a->loop);
}

static void
on_signal(uv_signal_t *signal, int signum)
{
	static struct tmr_item shutdown_timer;
	struct agent *a = signal->data;

	(void)signum;
	if (a->leaving) {
		uv_stop(a->loop);
		return;
	}
	slog(SLOG_AGENT, "agent shuts down", "boxes=%zu",
	    memb_count_alive(a->memb));
	a->leaving = true;
	agent_peer_announce_leaving(a);
	tmr_set(&a->tmr, &shutdown_timer, clk_ns(a->clk) + SHUTDOWN_MS * NS_MS,
	    on_shutdown_timer, a);
}

void
agent_start(struct agent *a)
{
	tmr_set(&a->tmr, &a->tick, clk_ns(a->clk), on_tick, a);
	slog(SLOG_AGENT, "agent started", "box=%s hall=%s inbox=%s platform=%s",
	    a->settings.box.p, a->settings.hall.p, a->settings.inbox.p,
	    a->settings.platform.p);
}

/*
 * Shuts down on SIGTERM or SIGINT.  An agent in the same process as its gate
 * does not use this, as the gate handles the signals for both.
 */
void
agent_handle_signals(struct agent *a)
{
	uv_signal_init(a->loop, &a->sigterm);
	uv_signal_init(a->loop, &a->sigint);
	a->sigterm.data = a->sigint.data = a;
	uv_signal_start(&a->sigterm, on_signal, SIGTERM);
	uv_signal_start(&a->sigint, on_signal, SIGINT);
}
