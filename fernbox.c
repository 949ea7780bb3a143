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
#include "libgate.h"

/*
 * Runs the gate and the agent of a box in one process, for boxes with a small
 * share of a CPU, as each process that wakes up costs CPU time even if it does
 * nothing.  Both run on one event loop and exchange the same messages as
 * separate processes do.
 */
struct box {
	struct gate gate;
	struct agent agent;
};

static bool
load(void *ctx, const char *file, GError **err)
{
	struct box *b = ctx;

	return gate_load(&b->gate, file, "gate", err) &&
	    agent_load(&b->agent, file, "agent", err);
}

static bool
open_all(void *ctx, GError **err)
{
	struct box *b = ctx;

	/* One configuration for both, which halves the cost of a change. */
	b->gate.conf = b->agent.conf = conf_new(NULL, NULL);
	return gate_open(&b->gate, err) && agent_open(&b->agent, err);
}

static void
on_reload(void *ctx)
{
	struct box *b = ctx;

	gate_reload(&b->gate);
	agent_reload(&b->agent);
}

static void
run(void *ctx)
{
	struct box *b = ctx;

	gate_start(&b->gate);
	agent_start(&b->agent);
	reload_open(&b->gate.reload, b->gate.loop, &b->gate.tmr,
	    b->gate.settings_file, on_reload, b);
	uv_run(b->gate.loop, UV_RUN_DEFAULT);
	gate_box_log_exit(&b->gate);
}

int
main(int argc, char **argv)
{
	static struct box box;
	const struct daemon_ops ops = {"fernbox",
	    "Data path and control of a fernjunction box in one process.", load,
	    open_all, run, &box};

	box.gate.clk = box.agent.clk = clk_system();
	box.gate.rnd = box.agent.rnd = rnd_system();
	return daemon_main(argc, argv, &ops);
}
