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
#include "busy.h"

/* An iteration that takes as long is reported. */
#define LONG_NS (50 * NS_MS)

static void on_prepare(uv_prepare_t *);
static void on_check(uv_check_t *);

void
busy_open(struct busy *b, uv_loop_t *loop, const struct clk *clk,
    const struct clk *cpu, busy_fn *fn, void *ctx)
{
	*b = (struct busy){
	    .loop = loop, .clk = clk, .cpu = cpu, .fn = fn, .ctx = ctx};
	uv_loop_configure(loop, UV_METRICS_IDLE_TIME);
	uv_prepare_init(loop, &b->prepare);
	b->prepare.data = b;
	uv_prepare_start(&b->prepare, on_prepare);
	uv_unref((uv_handle_t *)&b->prepare);
	uv_check_init(loop, &b->check);
	b->check.data = b;
	uv_check_start(&b->check, on_check);
	uv_unref((uv_handle_t *)&b->check);
	b->last_ns = b->events_ns = clk_ns(clk);
	b->last_cpu_ns = clk_ns(cpu);
	b->last_wait_ns = uv_metrics_idle_time(loop);
}

/* Called right before the loop waits for events. */
static void
on_prepare(uv_prepare_t *handle)
{
	struct busy *b = handle->data;
	int64_t now = clk_ns(b->clk), cpu = clk_ns(b->cpu);
	uint64_t wait = uv_metrics_idle_time(b->loop);
	struct busy_report report = {
	    .busy_ns = now - b->last_ns - (int64_t)(wait - b->last_wait_ns),
	    .timers_ns = now - b->events_ns,
	    .cpu_ns = cpu - b->last_cpu_ns};

	b->last_ns = now;
	b->last_cpu_ns = cpu;
	b->last_wait_ns = wait;
	if (report.busy_ns >= LONG_NS)
		b->fn(b->ctx, &report);
}

/* Called once the events of an iteration have been handled. */
static void
on_check(uv_check_t *handle)
{
	struct busy *b = handle->data;

	b->events_ns = clk_ns(b->clk);
}
