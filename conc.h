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

#include <stdbool.h>
#include <stdint.h>

/*
 * Learns from the durations of requests how service times depend on the number
 * of concurrent requests at a backend server, and which concurrency limit is
 * best.  The samples are indexed by the share of slots in use, so that they are
 * shared by all backend servers of a service whatever their numbers of slots.
 * These functions do no I/O; the time is passed in.
 */

/* Number of steps into which the share of slots in use is divided. */
enum { CONC_STEPS = 16 };

struct conc_step {
	double mean_time; /* mean service time; 0: unknown */
	unsigned samples;
	unsigned recent_samples; /* of these, since the last long gap */
	int64_t updated_at; /* monotonic ns of the last sample */
};

struct conc {
	struct conc_step steps[CONC_STEPS];
};

/*
 * Adds the duration of a request that started with `concurrent` other requests
 * in flight at the backend server.
 */
void conc_add_sample(
    struct conc *, int concurrent, int slots, double time, int64_t now);

/* Sets the samples of one step that another owner measured until now. */
void conc_set_step(
    struct conc *, unsigned step, double mean, unsigned samples, int64_t now);

/* Returns the service time without slowdown by other requests; 0: unknown. */
double conc_base_time(const struct conc *);

/*
 * Adds the samples of another kind of request, relative to its base time.
 * After that only ratios of times are meaningful.
 */
void conc_merge(struct conc *, const struct conc *);

/* Returns the slowdown, >= 1, of a request beside so many other requests. */
double conc_slowdown(const struct conc *, int concurrent, int slots);

/*
 * Returns whether that slowdown is known: up to half of the slots it is
 * presumed to be 1, and beyond, it takes some samples.
 */
bool conc_is_known(const struct conc *, int concurrent, int slots);

/* Returns the best concurrency limit, from half of the slots to all of them. */
int conc_limit(const struct conc *, int slots);

/*
 * Returns the limit that should be explored next to learn whether conc_limit()
 * is still right; 0 if there are enough recent samples.
 */
int conc_next_to_explore(const struct conc *, int slots, int64_t now);

#endif
