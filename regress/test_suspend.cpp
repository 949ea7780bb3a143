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
 * Guards against ages and deadlines that ignore the time for which a box was
 * suspended: CLOCK_MONOTONIC stops meanwhile, CLOCK_BOOTTIME goes on.  This
 * program replaces clock_gettime() to add suspensions to CLOCK_BOOTTIME.
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

/* The system clock includes suspensions; all ages are computed by it. */
TEST(Suspend, TheClockIncludesSuspensions)
{
	int64_t before = clk_ns(clk_system());

	suspend(5 * NS_S);
	EXPECT_LE(5 * NS_S, clk_ns(clk_system()) - before);
	EXPECT_GE(6 * NS_S, clk_ns(clk_system()) - before);
}

namespace
{

struct TestTimer {
	struct tmr *t;
	struct tmr_item item = {};
	int64_t fired = 0;
};

void
fire(void *ctx)
{
	static_cast<TestTimer *>(ctx)->fired = clk_ns(clk_system());
}

/* A periodic timer, as both daemons have one. */
void
tick(void *ctx)
{
	TestTimer *a = static_cast<TestTimer *>(ctx);

	tmr_set(a->t, &a->item, clk_ns(clk_system()) + 25 * NS_MS, tick, a);
}

} // namespace

/*
 * A timer that expired during a suspension fires at the next tick after it, and
 * not only after its whole time has passed again.
 */
TEST(Suspend, TimersThatExpiredMeanwhileFireAtOnce)
{
	uv_loop_t loop;
	struct tmr t;
	TestTimer deadline{&t}, ticks{&t};

	uv_loop_init(&loop);
	tmr_open(&t, &loop, clk_system());
	tick(&ticks);
	tmr_set(&t, &deadline.item, clk_ns(clk_system()) + 3 * NS_S, fire,
	    &deadline);
	suspend(5 * NS_S);
	int64_t resumed = clk_ns(clk_system());
	while (deadline.fired == 0 && clk_ns(clk_system()) - resumed < 2 * NS_S)
		uv_run(&loop, UV_RUN_ONCE);
	EXPECT_NE(0, deadline.fired);
	EXPECT_GE(500 * NS_MS, deadline.fired - resumed);
	tmr_close(&t);
}
