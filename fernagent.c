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
#include "daemon.h"
#include "libagent.h"

/* The control of a box as a process of its own. */

static bool
load(void *ctx, const char *file, GError **err)
{
	return agent_load(ctx, file, NULL, err);
}

static bool
open_all(void *ctx, GError **err)
{
	return agent_open(ctx, err);
}

static void
on_reload(void *ctx)
{
	agent_reload(ctx);
}

static void
run(void *ctx)
{
	struct agent *a = ctx;

	agent_start(a);
	agent_handle_signals(a);
	reload_open(
	    &a->reload, a->loop, &a->tmr, a->settings_file, on_reload, a);
	uv_run(a->loop, UV_RUN_DEFAULT);
}

int
main(int argc, char **argv)
{
	static struct agent agent;
	const struct daemon_ops ops = {"fernagent",
	    "The control process of a fernjunction box.", load, open_all, run,
	    &agent};

	agent.clk = clk_system();
	agent.rnd = rnd_system();
	return daemon_main(argc, argv, &ops);
}
