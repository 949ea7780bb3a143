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
#include "tmr.h"

/* A timer that is this late means that the event loop was blocked. */
#define LATE_NS (20 * NS_MS)

/* A timer that is this late means that the process was suspended. */
#define SUSPENDED_NS (1 * NS_S)

/* The shortest delay that libuv does not run in the same loop iteration. */
enum { DEFER_MS = 1 };

static void on_timer(uv_timer_t *);
static void arm(struct tmr *);

void
tmr_open(struct tmr *t, uv_loop_t *loop, const struct clk *clk)
{
	uv_timer_init(loop, &t->timer);
	t->timer.data = t;
	t->deferred_at = 0;
	queue_init(&t->queue);
	t->clk = clk;
}

void
tmr_close(struct tmr *t)
{
	uv_timer_stop(&t->timer);
	queue_clear(&t->queue);
}

/*
 * Starts the libuv timer for the first item.  libuv counts in ms; rounding up
 * prevents that an item fires early.
 */
static void
arm(struct tmr *t)
{
	const struct queue_item *first = queue_first(&t->queue);
	int64_t left;

	if (first == NULL) {
		uv_timer_stop(&t->timer);
		return;
	}
	left = first->deadline - clk_ns(t->clk);
	if (left < 0)
		left = 0;
	uv_update_time(t->timer.loop);
	uv_timer_start(
	    &t->timer, on_timer, (uint64_t)((left + NS_MS - 1) / NS_MS), 0);
}

/*
 * Defers late timers once after each stall, so that pending I/O runs before
 * them.  If the loop was blocked, data may have arrived in time although its
 * timeout has expired, and libuv would run the timer first.  If the process was
 * suspended, timers run first, because overdue operations must end before
 * anything is sent.
 */
static bool
defer(struct tmr *t, const struct queue_item *first, int64_t begun, int64_t now)
{
	int64_t late = now - first->deadline;

	if (late < LATE_NS || late >= SUSPENDED_NS)
		return false;
	/* The loop has stalled again if the timers before took long. */
	if (first->deadline <= t->deferred_at && now - begun < LATE_NS)
		return false;
	t->deferred_at = now;
	uv_update_time(t->timer.loop);
	uv_timer_start(&t->timer, on_timer, DEFER_MS, 0);
	return true;
}

static void
on_timer(uv_timer_t *timer)
{
	struct tmr *t = timer->data;
	struct queue_item *first;
	struct tmr_item *item;
	int64_t begun = clk_ns(t->clk), now;

	for (;;) {
		first = queue_first(&t->queue);
		now = clk_ns(t->clk);
		if (first == NULL || first->deadline > now)
			break;
		if (defer(t, first, begun, now))
			return;
		queue_pop(&t->queue);
		item = first->data;
		item->armed = false;
		item->callback(item->ctx);
	}
	arm(t);
}

void
tmr_set(struct tmr *t, struct tmr_item *item, int64_t at, tmr_fn *callback,
    void *ctx)
{
	tmr_clear(t, item);
	item->item.deadline = at;
	item->item.data = item;
	item->callback = callback;
	item->ctx = ctx;
	item->armed = true;
	queue_push(&t->queue, &item->item);
	if (queue_first(&t->queue) == &item->item)
		arm(t);
}

void
tmr_clear(struct tmr *t, struct tmr_item *item)
{
	if (!item->armed)
		return;
	queue_remove(&t->queue, &item->item);
	item->armed = false;
}
