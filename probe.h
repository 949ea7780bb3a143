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
 * The schedule of probes and what is concluded from them.  Pure: probes go
 * out through a callback, their results come in by calls.  A budget holds
 * the probes of a box together, whatever there is to probe.
 */
struct probe_ops {
	/* Probe a backend server now; the result comes by
	 * probe_record_outcome(). */
	void (*start_probe)(
	    void *, struct str backend, struct str address, struct str path);
	/* What is thought of a backend server has changed. */
	void (*state_changed)(
	    void *, struct str backend, enum msg_health_state);
	void *ctx;
};

/* What one probe found. */
enum probe_outcome { PROBE_OK, PROBE_FAILED, PROBE_DRAINING };

struct probe;

struct probe *
probe_new(const struct probe_ops *, const struct rnd *, double rate);
void probe_free(struct probe *);

/* The backend servers that this box has to probe, told anew each time. */
void probe_targets_begin(struct probe *);
void probe_targets_add(struct probe *, struct str backend, struct str address,
    struct str path, int64_t interval, int64_t now);
void probe_targets_commit(struct probe *);

/* Start the probes that are due, as far as the budget allows. */
void probe_tick(struct probe *, int64_t now);

void probe_record_outcome(
    struct probe *, struct str backend, enum probe_outcome, int64_t now);

/* Visit what is thought now. */
typedef void probe_each_fn(void *, struct str backend, enum msg_health_state);
void probe_each(const struct probe *, probe_each_fn *, void *);

unsigned probe_target_count(const struct probe *);

/* Probes started, and those put off for want of budget. */
uint64_t probe_started_count(const struct probe *);
uint64_t probe_deferred_count(const struct probe *);

#endif
