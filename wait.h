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
#ifndef WAIT_H
#define WAIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Corrects estimates of queueing times by comparison with real ones.  The
 * caller computes an estimate from the length of the queue; the real time is
 * usually a multiple of it, as more urgent requests arrive later and pass, as
 * servers are in slow periods, and as learned limits change.  That multiple is
 * learned for each kind of request.  These functions do no I/O; the time is
 * passed in.
 */

/* What was learned; all 0: nothing yet. */
struct wait_ratio {
	double mean; /* mean of real by estimated time; 0: unknown */
	double high; /* exceeded by few */
	int64_t updated_at; /* monotonic ns of the last sample */
};

/* Returns the expected wait in ns for an estimate. */
int64_t wait_expected(const struct wait_ratio *, int64_t estimate, int64_t now);

/* Returns a wait in ns that is rarely exceeded, for the same estimate. */
int64_t wait_bound(const struct wait_ratio *, int64_t estimate, int64_t now);

/*
 * Learns from a request that was estimated to wait `estimate` ns and waited
 * `real` ns.  For one that is still waiting, `real` is its time so far, and it
 * only counts if that exceeds what was expected.
 */
void wait_learn(struct wait_ratio *, int64_t estimate, int64_t real,
    bool waiting, int64_t now);

/*
 * Groups of ranks that are counted apart.  A rank is that of the customer, from
 * 0, times 1000, and that of the rule; less urgent ones count as the last of
 * four.
 */
enum { WAIT_RANKS = 16 };

/* The recent rates at which requests of each rank start.  All 0: none yet. */
struct wait_mix {
	double starts[WAIT_RANKS]; /* decaying numbers */
	int64_t updated_at; /* monotonic ns */
};

/* Records that a request started. */
void wait_mix_start(struct wait_mix *, int rank, int64_t now);

/* Returns the rate per second of requests that are more urgent than a rank. */
double wait_mix_urgent(const struct wait_mix *, int rank, int64_t now);

/*
 * The rate at which waiting requests of some sort start, while there are any.
 * It is used where the length of the queue does not tell: requests that are
 * late get only the slots that those in time leave.  All 0: nothing yet.
 */
struct wait_rate {
	double starts; /* decaying number of starts */
	double waiting_s; /* decaying time with waiting requests, seconds */
	bool waiting; /* since the last update */
	int64_t updated_at; /* monotonic ns */
};

/* Records whether requests are waiting from now on. */
void wait_rate_update(struct wait_rate *, bool waiting, int64_t now);

/* Records that a waiting request started. */
void wait_rate_start(struct wait_rate *);

/* Returns the rate per second; `assumed` has the weight of a short time. */
double wait_rate_get(const struct wait_rate *, double assumed);

#endif
