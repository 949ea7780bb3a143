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
#ifndef TMR_H
#define TMR_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "clk.h"
#include "queue.h"

/*
 * Any number of timers on one libuv timer.  An item is embedded in a struct of
 * its owner and must be cleared before that is freed.  An item filled with
 * zeros is not armed.
 */
typedef void tmr_fn(void *);

struct tmr_item {
	struct queue_item item;
	tmr_fn *callback;
	void *ctx;
	bool armed;
};

struct tmr {
	uv_timer_t timer;
	struct queue queue;
	const struct clk *clk;
	/* Timers due by then were deferred, so that I/O runs; 0: none were. */
	int64_t deferred_at;
};

void tmr_open(struct tmr *, uv_loop_t *, const struct clk *);
void tmr_close(struct tmr *);

/*
 * Arms an item to call the function once, at a monotonic time in ns.  An item
 * that is already armed is rearmed.
 */
void tmr_set(struct tmr *, struct tmr_item *, int64_t at, tmr_fn *, void *);
void tmr_clear(struct tmr *, struct tmr_item *);

#endif
