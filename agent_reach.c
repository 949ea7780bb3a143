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
#include "libagent.h"
#include "slog.h"

/*
 * Connects to the inboxes of dead strong boxes.  If the host refuses the
 * connection, the process has ended, and the weaker boxes of its hall need not
 * wait for it.
 */

enum { ATTEMPTS_MAX = 8 };

/* A connection that is not refused is given up after this time. */
#define ATTEMPT_TIMEOUT_NS (1 * NS_S)

struct attempt {
	struct agent *agent;
	struct str box;
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct tmr_item timer;
};

void
agent_reach_open(struct agent *a)
{
	a->attempts = g_ptr_array_new();
}

static void
on_closed(uv_handle_t *handle)
{
	struct attempt *at = handle->data;

	str_free(&at->box);
	g_free(at);
}

static void
end_attempt(struct attempt *at)
{
	tmr_clear(&at->agent->tmr, &at->timer);
	g_ptr_array_remove_fast(at->agent->attempts, at);
	uv_close((uv_handle_t *)&at->tcp, on_closed);
}

static void
on_refused(struct agent *a, struct str box)
{
	if (!memb_connection_refused(a->memb, box))
		return;
	slog(SLOG_PEER, "a dead box refuses connections",
	    "box=%.*s hubs=%zu lost=%zu strong=%d", STR_ARG(box),
	    memb_count_hubs(a->memb), memb_count_lost(a->memb),
	    memb_is_strong(a->memb));
	agent_scope_update(a);
	agent_gate_schedule_members(a);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	struct attempt *at = connect->data;

	if (uv_is_closing((uv_handle_t *)&at->tcp))
		return;
	if (status == UV_ECONNREFUSED)
		on_refused(at->agent, at->box);
	end_attempt(at);
}

static void
on_timeout(void *ctx)
{
	end_attempt(ctx);
}

static bool
is_attempted(const struct agent *a, struct str box)
{
	const struct attempt *at;
	guint i;

	for (i = 0; i < a->attempts->len; i++) {
		at = g_ptr_array_index(a->attempts, i);
		if (str_eq(at->box, box))
			return true;
	}
	return false;
}

static void
start_attempt(struct agent *a, const struct memb_info *box, int64_t now)
{
	struct attempt *at;
	struct sockaddr_storage sa;

	if (!up_parse_address(box->inbox, &sa))
		return;
	at = g_new0(struct attempt, 1);
	at->agent = a;
	at->box = str_dup(box->box);
	at->tcp.data = at->connect.data = at;
	uv_tcp_init(a->loop, &at->tcp);
	g_ptr_array_add(a->attempts, at);
	if (uv_tcp_connect(&at->connect, &at->tcp, (struct sockaddr *)&sa,
		on_connected) != 0)
		end_attempt(at);
	else
		tmr_set(&a->tmr, &at->timer, now + ATTEMPT_TIMEOUT_NS,
		    on_timeout, at);
}

void
agent_reach_tick(struct agent *a, int64_t now)
{
	const struct memb_member *members[ATTEMPTS_MAX];
	size_t n = memb_dead_strong(a->memb, members, ATTEMPTS_MAX), i;

	for (i = 0; i < n && a->attempts->len < ATTEMPTS_MAX; i++)
		if (!is_attempted(a, members[i]->info.box))
			start_attempt(a, &members[i]->info, now);
}
