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

/* Nanoseconds in each unit; every interval is an int64_t in ns. */
#define NS_US INT64_C(1000)
#define NS_MS INT64_C(1000000)
#define NS_S INT64_C(1000000000)

/* A clock, passed in so that tests and harnesses can control the time. */
struct clk {
	/* Never goes back, and includes the time that a box is suspended. */
	struct timespec (*mono)(void *);
	struct timespec (*wall)(void *); /* time of day, UTC */
	void *ctx;
};

/*
 * A source of random 64-bit numbers, passed in so that tests can make it
 * deterministic.
 */
struct rnd {
	uint64_t (*next)(void *);
	void *ctx;
};

/*
 * The system's clocks, and a random source seeded by the system.  The process
 * aborts if the system has no seed.
 */
const struct clk *clk_system(void);
const struct rnd *rnd_system(void);

/* Returns a clock whose monotonic time is the processor time of this thread. */
const struct clk *clk_cpu(void);

/* Returns the monotonic time in ns. */
int64_t clk_ns(const struct clk *);

/* Returns the wall clock time in ms since 1970. */
int64_t clk_wall_ms(const struct clk *);

/* Returns a random number in [0, n), or 0 if n is 0. */
uint64_t rnd_below(const struct rnd *, uint64_t n);

/* Returns a random number of at least 0 and less than 1. */
double rnd_unit(const struct rnd *);

/*
 * Returns a random interval within +-25 % of ns, evenly distributed, so that
 * processes with the same interval do not stay synchronised.
 */
int64_t rnd_jitter(const struct rnd *, int64_t ns);

/* Advances a caller's state and returns the next number of splitmix64. */
uint64_t rnd_splitmix64(uint64_t *state);

#endif
