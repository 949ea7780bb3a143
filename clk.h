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
#ifndef CLK_H
#define CLK_H

#include <stdint.h>
#include <time.h>

/* Nanoseconds in the customary units; every interval is an int64_t of ns. */
#define NS_US INT64_C(1000)
#define NS_MS INT64_C(1000000)
#define NS_S INT64_C(1000000000)

/* A clock, passed in so that tests and harnesses drive time themselves. */
struct clk {
	/* Never steps back, and counts the time in which a box is suspended. */
	struct timespec (*mono)(void *);
	struct timespec (*wall)(void *); /* time of day, UTC */
	void *ctx;
};

/* A source of random numbers, passed in for the same reason. */
struct rnd {
	uint64_t (*next)(void *);
	void *ctx;
};

/* The system's clocks and a random source seeded by the system. */
const struct clk *clk_system(void);
const struct rnd *rnd_system(void);

/* Monotonic time of a clock in ns. */
int64_t clk_ns(const struct clk *);

/* Wall time of a clock in ms since 1970. */
int64_t clk_wall_ms(const struct clk *);

/* A number in [0, n), or 0 when n is 0. */
uint64_t rnd_below(const struct rnd *, uint64_t n);

/* An interval spread evenly over +-25 % of ns, so that no two keep step. */
int64_t rnd_jitter(const struct rnd *, int64_t ns);

/* One step of a small generator over a caller's state (splitmix64). */
uint64_t rnd_split(uint64_t *state);

#endif
