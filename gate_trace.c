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
#include "libgate.h"
#include "slog.h"

/*
 * Traces of what callers meet beside their requests: the ends of their
 * connections, and times in which the event loop handles no event.
 */

static long long
ms(int64_t ns)
{
	return ns < 0 ? -1 : (long long)(ns / NS_MS);
}

/*
 * Logs the ends that a caller may not have expected: those by the idle timeout,
 * and those with a request that has no answer or was discarded.
 */
static void
on_end(void *ctx, const struct hsrv_end *end)
{
	struct gate *g = ctx;
	bool by_timeout = g_str_equal(end->why, "idle");

	cnt_add(g->cnt, GC_IDLE_CLOSED, by_timeout);
	cnt_add(g->cnt, GC_CLOSE_CROSSED, end->discarded > 0);
	if (!by_timeout && end->unanswered == 0 && end->discarded == 0)
		return;
	slog_decision(SLOG_GATE, "caller's connection ended",
	    "why=%s idle_ms=%lld unanswered=%u discarded=%zu discarded_ms=%lld",
	    end->why, ms(end->idle_ns), end->unanswered, end->discarded,
	    ms(end->discarded_ns));
}

static void
on_busy(void *ctx, const struct busy_report *report)
{
	struct gate *g = ctx;

	cnt_add(g->cnt, GC_LOOP_BUSY, 1);
	slog(SLOG_GATE, "event loop was busy",
	    "busy_ms=%lld timers_ms=%lld cpu_ms=%lld", ms(report->busy_ns),
	    ms(report->timers_ns), ms(report->cpu_ns));
}

void
gate_trace_open(struct gate *g)
{
	hsrv_watch_ends(g->caller_server, g->clk, on_end, g);
	busy_open(&g->busy, g->loop, g->clk, clk_cpu(), on_busy, g);
}
