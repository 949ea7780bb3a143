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
#ifndef CONC_H
#define CONC_H

#include <stdint.h>

/*
 * How long work takes on a backend server that already works on other
 * requests, learned from answers, and how many requests at once serve the
 * most there.  What is learned goes by the share of slots in use, so that
 * backend servers of one service teach each other whatever their size.  Pure.
 */

/* Shares of slots in use are told apart in so many steps. */
enum { CONC_STEPS = 16 };

struct conc_step {
	double mean_time; /* that work takes; 0: unknown */
	unsigned samples;
	unsigned recent_samples; /* of these, since there were none for long */
	int64_t updated_at; /* monotonic ns of the last sample */
};

struct conc {
	struct conc_step steps[CONC_STEPS];
};

/* A request that began beside `beside` others took so long. */
void
conc_add_sample(struct conc *, int beside, int slots, double time, int64_t now);

/* What work takes that other work does not slow; 0: unknown. */
double conc_base_time(const struct conc *);

/*
 * Add what is known of another kind of work.  A sum tells nothing of times,
 * but how they compare.
 */
void conc_merge(struct conc *, const struct conc *);

/* How many times longer work takes that begins beside so many others; >= 1. */
double conc_slowdown(const struct conc *, int beside, int slots);

/* How many requests at once serve the most; from 1 to `slots`. */
int conc_limit(const struct conc *, int slots);

/*
 * The number of requests at once that should be tried next to learn whether
 * the limit holds; 0 if all that matters was learned lately.
 */
int conc_next_to_explore(const struct conc *, int slots, int64_t now);

#endif
