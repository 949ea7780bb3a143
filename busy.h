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
#ifndef BUSY_H
#define BUSY_H

#include <uv.h>

#include "clk.h"

/*
 * Measures the iterations of an event loop: how long each takes besides waiting
 * for events.  While one runs, no event is handled.
 */

struct busy_report {
	int64_t busy_ns; /* from the end of the wait to the next wait */
	int64_t timers_ns; /* the part of it after the events, in timers */
	int64_t cpu_ns; /* processor time of it; the rest went to others */
};

/* Receives the iterations that took long; the first argument is a context. */
typedef void busy_fn(void *, const struct busy_report *);

struct busy {
	uv_prepare_t prepare;
	uv_check_t check;
	uv_loop_t *loop;
	const struct clk *clk;
	const struct clk *cpu;
	busy_fn *fn;
	void *ctx;
	int64_t last_ns, last_cpu_ns;
	int64_t events_ns; /* when the events had been handled */
	uint64_t last_wait_ns; /* of all iterations so far */
};

/*
 * Begins to measure.  `cpu` is the processor time of this thread.  It ends with
 * the loop, which it does not keep alive.
 */
void busy_open(struct busy *, uv_loop_t *, const struct clk *,
    const struct clk *cpu, busy_fn *, void *);

#endif
