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
#include "libgate.h"

/* The gate, the data path of a box, as a process of its own. */

static bool
load(void *ctx, const char *file, GError **err)
{
	return gate_load(ctx, file, NULL, err);
}

static bool
open_gate(void *ctx, GError **err)
{
	return gate_open(ctx, err);
}

static void
on_reload(void *ctx)
{
	gate_reload(ctx);
}

static void
run(void *ctx)
{
	struct gate *g = ctx;

	gate_start(g);
	reload_open(
	    &g->reload, g->loop, &g->tmr, g->settings_file, on_reload, g);
	uv_run(g->loop, UV_RUN_DEFAULT);
	gate_box_log_exit(g);
}

int
main(int argc, char **argv)
{
	static struct gate gate;
	const struct daemon_ops ops = {"ferngate",
	    "The data path of a fernjunction box.", load, open_gate, run,
	    &gate};

	gate.clk = clk_system();
	gate.rnd = rnd_system();
	return daemon_main(argc, argv, &ops);
}
