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

#include "libgate.h"
#include "slog.h"

/*
 * The life of the box's gate, by charts/box.toml: empty until it has a
 * configuration, then ready, and at a planned stop leaving, closing, gone.
 */

enum {
	PASS_QUIET_MS = 500, /* no other gate has passed us anything */
	IDLE_LEAVING_MS = 100 /* then a caller's connection is closed */
};

/*
 * What is not answered so long before the grace is over gets an answer of
 * ours: a connection that just ends tells its caller nothing.
 */
#define LAST_WORD_NS (200 * NS_MS)

/*
 * A tenth of the platform's grace is left for the last answers and the end of
 * the process, which take a weak box some hundreds of milliseconds; with 400 ms
 * of ten seconds some of them did not end by themselves.
 */
enum { GRACE_RESERVE = 10 };

static const char *const state_names[] = {
    "empty", "ready", "leaving", "closing", "gone"};
static const char *const event_names[] = {
    "configured", "leave", "waited", "emptied", "ended"};

const struct chart_names gate_box_chart_names = {
    "box", state_names, BOX_STATE_MAX, event_names, BOX_EVENT_MAX};

static void on_signal(uv_signal_t *, int);
static void enter(struct gate *, enum box_event, const char *);

void
gate_box_open(struct gate *g)
{
	g->state = (enum box_state)chart_start(g->chart_box);
	uv_signal_init(g->loop, &g->term);
	uv_signal_init(g->loop, &g->intr);
	g->term.data = g->intr.data = g;
	uv_signal_start(&g->term, on_signal, SIGTERM);
	uv_signal_start(&g->intr, on_signal, SIGINT);
}

/* Step the chart and do what entering the new state asks for. */
static void
enter(struct gate *g, enum box_event ev, const char *why)
{
	enum box_state old = g->state;

	g->state = (enum box_state)chart_step(g->chart_box, (int)old, (int)ev);
	if (g->state == old)
		return;
	switch (g->state) {
	case BOX_READY:
		slog(SLOG_GATE, "ready", "objects=%zu conf=%llu",
		    conf_count(g->conf),
		    (unsigned long long)route_version(g->routes));
		gate_early_admit(g);
		break;
	case BOX_LEAVING:
		slog(SLOG_GATE, "leaves", "requests=%u", gate_req_count(g));
		g->leaving_since = clk_ns(g->clk);
		hsrv_shutdown(g->caller_server);
		break;
	case BOX_CLOSING:
		hsrv_stop_accepting(g->caller_server);
		hsrv_stop_accepting(g->forward_server);
		hsrv_shutdown(g->caller_server);
		break;
	case BOX_GONE:
		slog(SLOG_GATE, "ends", "why=%s requests_cut=%u",
		    slog_quote(why), gate_req_count(g));
		uv_stop(g->loop);
		break;
	default:
		break;
	}
	gate_conf_report(g);
}

void
gate_box_configured(struct gate *g)
{
	enter(g, BOX_EV_CONFIGURED, "");
}

bool
gate_box_leaving(const struct gate *g)
{
	return g->state >= BOX_LEAVING;
}

static void
on_signal(uv_signal_t *sig, int signum)
{
	(void)signum;
	enter(sig->data, BOX_EV_LEAVE, "asked a second time");
}

/*
 * The longest time between the signal to leave and the end.  What the platform
 * says goes before the setting: a stop that is shorter than need be cuts off
 * requests at which backend servers work.
 */
static int64_t
longest_leave(const struct gate *g)
{
	int64_t ms = g->settings.leave_wait_ms + g->settings.grace_ms;

	if (g->bounds.stop_grace_ms > 0)
		ms = MAX(g->bounds.stop_grace_ms -
			g->bounds.stop_grace_ms / GRACE_RESERVE,
		    g->settings.leave_wait_ms);
	return ms * NS_MS;
}

/*
 * Leaving: callers and other gates are told and have time to go elsewhere;
 * then the doors close, and the last answers go out.
 */
void
gate_box_tick(struct gate *g, int64_t now)
{
	int64_t away = now - g->leaving_since;
	int64_t end = longest_leave(g);

	if (!gate_box_leaving(g) || away < g->settings.leave_wait_ms * NS_MS)
		return;
	/* Other gates may still pass us requests; callers have had their time.
	 */
	hsrv_stop_accepting(g->caller_server);
	hsrv_close_idle(g->caller_server, IDLE_LEAVING_MS);
	if (away > end - LAST_WORD_NS)
		gate_req_end_all(g);
	if (away > end) {
		enter(g, BOX_EV_ENDED, "the grace is over");
		return;
	}
	if (now - g->last_forwarded_in < PASS_QUIET_MS * NS_MS)
		return;
	enter(g, BOX_EV_WAITED, "");
	if (gate_req_count(g) == 0)
		enter(g, BOX_EV_EMPTIED, "all is answered");
}
