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
#ifndef ROLL_H
#define ROLL_H

#include <stdbool.h>
#include <stdint.h>

#include "chart.h"
#include "obj.h"
#include "str.h"
#include "verdict.h"

/*
 * The canary roll-out of a new version of a service, as one owner of the
 * service performs it: decides which share of the requests goes to the new
 * version, whether that version is worse than the old one, and which state to
 * write to the platform.  No I/O is done here.
 *
 * An owner is the gate that dispatches the requests for the service to one
 * hall. All owners reach the same decisions without a coordinator: they
 * exchange reports, use the highest age of the roll-out that any of them
 * reports, judge the new version by the responses to all of them, and roll back
 * if any of them does.  So nothing is lost when an owner fails or another gate
 * becomes the owner.
 */

/* States and events of charts/rollout.toml. */
enum roll_state {
	ROLL_WAITING, /* no server of the new version is usable yet */
	ROLL_SMALL, /* the new version gets a small share of the requests */
	ROLL_WIDER, /* it gets a larger share */
	ROLL_ALL, /* it gets all new requests */
	ROLL_COMPLETED,
	ROLL_ROLLED_BACK, /* the old version gets all new requests */
	ROLL_STATE_MAX
};

enum roll_event {
	ROLL_EV_SERVERS, /* there are usable servers of the new version */
	ROLL_EV_PROVEN, /* enough responses, and the step's time is over */
	ROLL_EV_BAD, /* the new version is to be rolled back */
	ROLL_EV_COMPLETED,
	ROLL_EVENT_MAX
};

extern const struct chart_names roll_chart_names;

/* What an owner reports to the other owners of the service. */
struct roll_report {
	int64_t age; /* since any owner first saw the roll-out, ns */
	enum roll_state state;
	uint64_t responses; /* of the new version */
	uint64_t failures; /* of these, failed or slow ones */
	unsigned old_in_flight; /* requests in flight at the old version */
	struct verdict_sums sums; /* what speaks against the new version */
};

struct roll;

/* `share` is that of the new version in the first step, from 0 to 1. */
struct roll *roll_new(const struct obj_rollout *, const struct chart *,
    double share, int64_t now);
void roll_free(struct roll *);

/*
 * Returns whether an object of the configuration still describes this roll-out;
 * if not, a new one has been started.
 */
bool roll_matches(const struct roll *, const struct obj_rollout *);

/*
 * The platform may have lost the outcome that it had stored: the roll-out goes
 * on as it is if an object without outcome follows.
 */
void roll_forget_stored_outcome(struct roll *);

/* Takes over the state that the platform has stored. */
void roll_set_platform_state(struct roll *, enum obj_rollout_state);

/* Returns whether a server of the new or old version may get a request now. */
bool roll_allows(const struct roll *, bool to_new);

/* Returns whether the slots of a version count as capacity for new requests. */
bool roll_counts_as_capacity(const struct roll *, bool is_new);

/* Returns whether it is undecided which version stays. */
bool roll_is_undecided(const struct roll *);

enum roll_state roll_state(const struct roll *);

/* Returns the reason of a rollback, a static string, or NULL without one. */
const char *roll_reason(const struct roll *);

/* Records that a request was sent to a server of the new or old version. */
void roll_request_sent(struct roll *, bool to_new);

/*
 * Records the outcome of a request.  `kind` is a number that is equal for
 * requests that are comparable.
 */
void roll_request_ended(
    struct roll *, bool at_new, unsigned kind, enum verdict_outcome);

/* Advances the state; `has_new`: servers of the new version are usable here. */
void roll_tick(struct roll *, bool has_new, int64_t now);

/* Returns the report for the other owners of the service. */
struct roll_report
roll_make_report(const struct roll *, unsigned old_in_flight, int64_t);

/* Merges a report of the box that owns the service for a hall. */
void roll_merge_report(struct roll *, struct str box, struct str hall,
    const struct roll_report *, int64_t now);

/*
 * Returns the state that the platform should have stored.  This is completed
 * only when no owner has requests in flight at the old version.  `halls` are
 * those of the other owners, and `old_in_flight` counts the requests of this
 * owner.
 */
enum obj_rollout_state roll_state_to_write(const struct roll *,
    const struct str *halls, unsigned n, unsigned old_in_flight, int64_t now);

#endif
