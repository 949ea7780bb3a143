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
 * The platform was restored from a copy some seconds old.  Operators and
 * backend servers write again what it lost; until then, conf.c keeps it.  The
 * status of this box is written again by the box itself.
 */

static void
on_platform_epoch(void *ctx, uint64_t epoch)
{
	struct agent *a = ctx;

	conf_note_epoch(a->conf, epoch);
}

static void
on_restore_end(void *ctx)
{
	struct agent *a = ctx;

	conf_end_restore(a->conf);
	if (agent_watches_platform(a))
		agent_watch_restart(a);
}

static void
on_restore(void *ctx, uint64_t epoch)
{
	struct agent *a = ctx;

	slog(SLOG_WATCH, "platform was restored from a copy",
	    "epoch=%llu keeps_ms=%lld", (unsigned long long)epoch,
	    (long long)(AGENT_RESTORE_NS / NS_MS));
	a->restored_at = clk_ns(a->clk);
	tmr_set(&a->tmr, &a->restore_timer, a->restored_at + AGENT_RESTORE_NS,
	    on_restore_end, a);
	agent_box_on_restore(a);
	agent_lastvalid_on_restore(a);
}

void
agent_restore_open(struct agent *a)
{
	a->plat->on_epoch = on_platform_epoch;
	a->plat->epoch_ctx = a;
	conf_on_restore(a->conf, on_restore, a);
}
