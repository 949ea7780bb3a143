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
#include <stdio.h>

#include "libreq.h"
#include "slog.h"

/*
 * The states of the gate, by charts/box.toml: empty until it has a
 * configuration, then ready, and at a planned shutdown leaving, closing, gone.
 */

enum {
	/* No other gate has forwarded a request for so long. */
	FORWARD_QUIET_MS = 500,
	IDLE_LEAVING_MS = 100 /* an idle connection is closed after this */
};

/*
 * Requests without a response so long before the end of the grace period get an
 * error response, as a connection that just closes does not tell the caller
 * whether its request ran.
 */
#define FINAL_RESPONSE_NS (200 * NS_MS)

/*
 * From this long before the end on, new requests are refused as not run, so
 * that those in flight can end before the last error responses.
 */
#define NO_NEW_NS (2 * FINAL_RESPONSE_NS)

/*
 * A tenth of the platform's grace period is left for the last responses and the
 * exit of the process, which take a weak box some hundreds of milliseconds;
 * with 400 ms of ten seconds some gates were killed before they exited.
 */
enum { GRACE_RESERVE_DIVISOR = 10 };

/* The same if no last responses are left: the exit alone is fast. */
#define EXIT_NS (100 * NS_MS)

static const char *const state_names[] = {
    "empty", "ready", "leaving", "closing", "gone"};
static const char *const event_names[] = {
    "configured", "leave", "waited", "emptied", "ended"};

const struct chart_names gate_box_chart_names = {
    "box", state_names, BOX_STATE_MAX, event_names, BOX_EVENT_MAX};

static void on_signal(uv_signal_t *, int);
static void step(struct gate *, enum box_event, const char *);

void
gate_box_open(struct gate *g)
{
	g->state = (enum box_state)chart_start(g->chart_box);
	uv_signal_init(g->loop, &g->sigterm);
	uv_signal_init(g->loop, &g->sigint);
	g->sigterm.data = g->sigint.data = g;
	uv_signal_start(&g->sigterm, on_signal, SIGTERM);
	uv_signal_start(&g->sigint, on_signal, SIGINT);
}

/* Steps the chart and runs the actions of the state that is entered. */
static void
step(struct gate *g, enum box_event event, const char *reason)
{
	enum box_state old_state = g->state;

	g->state = (enum box_state)chart_step(
	    g->chart_box, (int)old_state, (int)event);
	if (g->state == old_state)
		return;
	switch (g->state) {
	case BOX_READY:
		slog(SLOG_GATE, "ready", "objects=%zu conf=%llu",
		    conf_count(g->conf),
		    (unsigned long long)route_version(g->routes));
		g->configured_ms = clk_wall_ms(g->clk);
		gate_early_admit(g);
		break;
	case BOX_LEAVING:
		slog(SLOG_GATE, "leaves", "requests=%u", gate_req_count(g));
		g->leaving_since = clk_ns(g->clk);
		/* This gate does not own any shard from now on. */
		gate_conf_update_shard_owners(g);
		/* This gate owns no customers any more. */
		gate_rate_update_owned(g);
		hsrv_shutdown(g->caller_server);
		hsrv_shutdown(g->forward_server);
		gate_early_refuse(g);
		break;
	case BOX_CLOSING:
		hsrv_stop_accepting(g->caller_server);
		hsrv_stop_accepting(g->forward_server);
		break;
	case BOX_GONE:
		slog(SLOG_GATE, "ends", "why=%s requests_cut=%u",
		    slog_quote(reason), gate_req_count(g));
		/* The event loop still reads once more. */
		g->refuses_new = true;
		gate_req_end_all(g);
		g->seq_at_end = g->last_seq;
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
	step(g, BOX_EV_CONFIGURED, "");
}

bool
gate_box_leaving(const struct gate *g)
{
	return g->state >= BOX_LEAVING;
}

struct gate_arrival_text
gate_box_arrival(const struct gate_req *r)
{
	struct gate_arrival_text arrival = {""};

	if (gate_box_leaving(r->gate))
		snprintf(arrival.text, sizeof(arrival.text),
		    " since_signal_ms=%lld ahead=%u",
		    (long long)((r->arrived_at - r->gate->leaving_since) /
			NS_MS),
		    r->ahead);
	return arrival;
}

void
gate_box_log_exit(const struct gate *g)
{
	struct hsrv_open_count callers = hsrv_count_open(g->caller_server);
	struct hsrv_open_count gates = hsrv_count_open(g->forward_server);

	slog(SLOG_GATE, "event loop ended",
	    "requests=%u read_since=%llu connections=%u unsent=%zu "
	    "from_boxes=%u unsent_to_boxes=%zu",
	    gate_req_count(g),
	    (unsigned long long)(g->last_seq - g->seq_at_end),
	    callers.connections, callers.unacked, gates.connections,
	    gates.unacked);
}

static void
on_signal(uv_signal_t *sig, int signum)
{
	(void)signum;
	step(sig->data, BOX_EV_LEAVE, "second signal");
}

/*
 * Returns the longest time from the signal to the exit, in ns.  The platform's
 * grace period takes precedence over the setting: a shutdown that is shorter
 * than it may be cuts off requests that backend servers still work on.
 */
static int64_t
shutdown_limit(const struct gate *g)
{
	int64_t ms = g->settings.leave_wait_ms + g->settings.grace_ms;

	if (g->bounds.stop_grace_ms > 0)
		ms = MAX(g->bounds.stop_grace_ms -
			g->bounds.stop_grace_ms / GRACE_RESERVE_DIVISOR,
		    g->settings.leave_wait_ms);
	return ms * NS_MS;
}

/*
 * Returns the same for requests that other gates forwarded.  They get no last
 * response, so that only the exit has to fit into the platform's grace period.
 */
static int64_t
forwarded_limit(const struct gate *g)
{
	return MAX(
	    shutdown_limit(g), g->bounds.stop_grace_ms * NS_MS - EXIT_NS);
}

bool
gate_box_ends_before(const struct gate *g, int64_t deadline)
{
	return gate_box_leaving(g) &&
	    deadline > g->leaving_since + forwarded_limit(g) - NO_NEW_NS;
}

bool
gate_box_ends_within(const struct gate *g, int64_t ns)
{
	return gate_box_leaving(g) &&
	    clk_ns(g->clk) + ns >
	    g->leaving_since + shutdown_limit(g) - FINAL_RESPONSE_NS;
}

/* Callers have had the time to go elsewhere. */
static void
stop_accepting_callers(struct gate *g)
{
	if (hsrv_stop_accepting(g->caller_server))
		slog(SLOG_GATE, "accepts no more connections",
		    "connections=%u requests=%u",
		    hsrv_count_open(g->caller_server).connections,
		    gate_req_count(g));
	hsrv_close_idle(g->caller_server, IDLE_LEAVING_MS);
}

/* Returns whether callers or other gates have open connections. */
static bool
has_connections(const struct gate *g)
{
	return hsrv_count_open(g->caller_server).connections > 0 ||
	    hsrv_count_open(g->forward_server).connections > 0;
}

/*
 * Drives a planned shutdown.  Callers and other gates learn that the gate is
 * leaving and get time to go elsewhere; then the listeners close, the last
 * responses are sent, and connections are closed as they become idle.  Those
 * that never are take no requests any more from half of the time at the latest.
 * Requests that come all the same, as their body was late or as they waited
 * behind others, are refused as not run in the second half of what is left, as
 * their backend servers may need longer.  The gate exits after the last
 * connection: as long as one is open, a request may be read from it.
 */
void
gate_box_tick(struct gate *g, int64_t now)
{
	int64_t elapsed = now - g->leaving_since;
	int64_t leave_wait = g->settings.leave_wait_ms * NS_MS;
	int64_t limit = shutdown_limit(g);
	int64_t input_end = MIN(leave_wait, limit / 2);

	if (!gate_box_leaving(g))
		return;
	if (elapsed >= input_end)
		hsrv_end_input(g->caller_server);
	g->refuses_callers = elapsed > (input_end + limit) / 2;
	if (elapsed < leave_wait)
		return;
	/* Other gates may still forward requests. */
	stop_accepting_callers(g);
	g->refuses_new = elapsed > limit - NO_NEW_NS;
	if (elapsed > limit - FINAL_RESPONSE_NS)
		gate_req_end_all(g);
	if (elapsed >
	    (gate_req_has_forwarded(g) ? forwarded_limit(g) : limit)) {
		step(g, BOX_EV_ENDED, "grace period expired");
		return;
	}
	/*
	 * Where other gates never stop, the listener closes before the last
	 * requests could be cut off in its queue.
	 */
	if (!g->refuses_new &&
	    now - g->last_forwarded_in < FORWARD_QUIET_MS * NS_MS)
		return;
	step(g, BOX_EV_WAITED, "");
	hsrv_close_idle(g->forward_server, IDLE_LEAVING_MS);
	if (gate_req_count(g) == 0 && !has_connections(g))
		step(g, BOX_EV_EMPTIED, "all is answered");
}
