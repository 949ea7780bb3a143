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
#ifndef PROBE_H
#define PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "limit.h"
#include "msg.h"
#include "str.h"

/*
 * Schedules health probes and derives the states of backend servers from their
 * outcomes.  It does no I/O: probes are sent by a callback, and their outcomes
 * are passed in.  A rate limit applies to all probes of a box together.
 */
struct probe_ops {
	/* Sends a probe; its outcome is passed to probe_record_outcome(). */
	void (*start_probe)(
	    void *, struct str backend, struct str address, struct str path);
	/* The state of a backend server has changed. */
	void (*state_changed)(
	    void *, struct str backend, enum msg_health_state);
	void *ctx;
};

/* The outcome of a probe. */
enum probe_outcome { PROBE_OK, PROBE_FAILED, PROBE_DRAINING };

struct probe;

/* `rate` is the maximum number of probes per second. */
struct probe *
probe_new(const struct probe_ops *, const struct rnd *, double rate);
void probe_free(struct probe *);

/*
 * Replace the set of backend servers to probe: begin, add each of them, then
 * commit, which removes those not added.  Times are in ns.
 */
void probe_targets_begin(struct probe *);
void probe_targets_add(struct probe *, struct str backend, struct str address,
    struct str path, int64_t interval, int64_t now);
void probe_targets_commit(struct probe *);

/* Starts the probes whose time has come, within the rate limit. */
void probe_tick(struct probe *, int64_t now);

/* Records the outcome of a probe. */
void probe_record_outcome(
    struct probe *, struct str backend, enum probe_outcome, int64_t now);

/* Calls a function with the current state of each backend server. */
typedef void probe_each_fn(void *, struct str backend, enum msg_health_state);
void probe_each(const struct probe *, probe_each_fn *, void *);

unsigned probe_target_count(const struct probe *);

/*
 * The number of probes started, and how often the rate limit delayed probes to
 * a later tick.
 */
uint64_t probe_started_count(const struct probe *);
uint64_t probe_deferred_count(const struct probe *);

#endif
