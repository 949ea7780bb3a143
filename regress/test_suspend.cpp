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
#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

extern "C" {
#include "tmr.h"
}

/*
 * A box that is suspended: the steady clock stands still meanwhile, the one
 * that counts from the start of the machine goes on.  This program has a clock
 * of its own, in which the time of suspensions is added to the latter.
 */

namespace
{

int64_t suspended_ns;

void
suspend(int64_t ns)
{
	suspended_ns += ns;
}

} // namespace

extern "C" int
clock_gettime(clockid_t id, struct timespec *ts) noexcept
{
	long rc = syscall(SYS_clock_gettime, id, ts);

	if (rc != 0 || id != CLOCK_BOOTTIME)
		return static_cast<int>(rc);
	ts->tv_sec += suspended_ns / NS_S;
	ts->tv_nsec += suspended_ns % NS_S;
	if (ts->tv_nsec >= NS_S) {
		ts->tv_sec++;
		ts->tv_nsec -= NS_S;
	}
	return 0;
}

/* All that rests on age ages by it: there is one clock for all. */
TEST(Suspend, TheClockGoesOn)
{
	int64_t before = clk_ns(clk_system());

	suspend(5 * NS_S);
	EXPECT_LE(5 * NS_S, clk_ns(clk_system()) - before);
	EXPECT_GE(6 * NS_S, clk_ns(clk_system()) - before);
}

namespace
{

struct Alarm {
	struct tmr *t;
	struct tmr_item item = {};
	int64_t fired = 0;
};

void
ring(void *ctx)
{
	static_cast<Alarm *>(ctx)->fired = clk_ns(clk_system());
}

/* A tick, as both daemons have one. */
void
tick(void *ctx)
{
	Alarm *a = static_cast<Alarm *>(ctx);

	tmr_set(a->t, &a->item, clk_ns(clk_system()) + 25 * NS_MS, tick, a);
}

} // namespace

/* What was due meanwhile is done at the next tick, and not when it was set. */
TEST(Suspend, WhatWasDueMeanwhileIsDoneAtOnce)
{
	uv_loop_t loop;
	struct tmr t;
	Alarm deadline{&t}, ticks{&t};

	uv_loop_init(&loop);
	tmr_open(&t, &loop, clk_system());
	tick(&ticks);
	tmr_set(&t, &deadline.item, clk_ns(clk_system()) + 3 * NS_S, ring,
	    &deadline);
	suspend(5 * NS_S);
	int64_t resumed = clk_ns(clk_system());
	while (deadline.fired == 0 && clk_ns(clk_system()) - resumed < 2 * NS_S)
		uv_run(&loop, UV_RUN_ONCE);
	EXPECT_NE(0, deadline.fired);
	EXPECT_GE(500 * NS_MS, deadline.fired - resumed);
	tmr_close(&t);
}
