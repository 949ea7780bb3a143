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
#ifndef PICK_H
#define PICK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "chart.h"
#include "clk.h"
#include "cold.h"
#include "conc.h"
#include "obj.h"
#include "quota.h"
#include "str.h"

/*
 * The choice of a backend server for a request, and the health state of backend
 * servers (outlier ejection, warm-up, draining).  There is no I/O and no global
 * state: time and random numbers are passed in.
 */

/* States and events of a backend server, as in charts/backend.toml. */
enum pick_state {
	PICK_COLD, /* new or back: warming up, one request at a time */
	PICK_UP,
	PICK_EJECTED, /* failing: gets no requests */
	PICK_TRIAL, /* after an ejection: the result of one request decides */
	PICK_DRAINING, /* gets no new requests */
	PICK_STATE_MAX
};

enum pick_event {
	PICK_EV_OK,
	PICK_EV_WARM, /* enough consecutive successes */
	PICK_EV_FAILING, /* too many consecutive failures */
	PICK_EV_TIMER, /* the ejection time is over */
	PICK_EV_DRAIN,
	PICK_EV_UNDRAIN,
	PICK_EVENT_MAX
};

extern const struct chart_names pick_chart_names;

/*
 * One backend server as the owner of its shard sees it.  All times that are not
 * said to be in ms are monotonic ns.
 */
struct pick_backend {
	struct str name;
	struct str address;
	int slots; /* concurrent requests that it is configured for */
	int64_t started_ms; /* start time, ms since 1970; 0: unknown */
	int unslowed_slots; /* in use at once without a slowdown */
	int max_inflight; /* learned concurrency limit; 0: all slots */
	const struct conc *conc; /* slowdown by concurrency; NULL: unknown */
	struct cold cold;
	const struct cold_limit *cold_limit; /* NULL: none */
	struct quota quota; /* the rate limit that it reported */
	bool leaving; /* it reported that it is shutting down */
	int64_t pause_until; /* end of the pause that it asked for */
	bool malformed_report; /* it sent a report that could not be parsed */
	int inflight; /* sent and not finished */
	int inflight_bulk; /* of these, class bulk */
	/* In flight, sent by the former owner of the shard: disp_state.h. */
	int inherited;
	enum pick_state state;
	/* End of its first warm-up, unless it failed; 0: by successes only. */
	int64_t warm_at;
	bool drain_configured; /* its object says that it drains */
	bool evacuated; /* its hall must get no new requests */
	bool is_new_version; /* of the new version of a roll-out */
	bool version_excluded; /* the roll-out gives its version no requests */
	bool version_deferred; /* the roll-out prefers the other version now */
	bool capacity_uncounted; /* its slots do not count as capacity */
	bool probe_down; /* health probes fail */
	uint64_t entry_version; /* version of its entry, see version.h */
	int64_t usual_latency; /* moving average in ns; 0: unknown */
	int64_t oldest_sent_at; /* start of the oldest in flight; 0: none */
	int64_t full_until; /* no requests before, as it refused one */
	int64_t eject_until;
	/* Its last load report; the time is 0 before the first one. */
	int reported_running, reported_waiting; /* requests */
	int reported_latency_percent; /* latency factor; 100: usual speed */
	int64_t reported_at;
	/* Its service time divided by that of all servers; 0: presumed 1. */
	double service_time_ratio;
	double failure_rate; /* recent share of failures, 0 to 1 */
	bool query_pending; /* a load query is outstanding */
	bool reports_no_load; /* its last load query returned no load */
	int64_t queried_at; /* time of the last load query */
	int unanswered_queries; /* consecutive ones */
	/* Failures to connect since a new connection was last of use. */
	int connect_failures;
	int64_t last_response_at; /* initially the time of its adding */
	int ejections; /* consecutive; sets the length of the next one */
	/* Numbers of consecutive results of attempts. */
	int consecutive_bad, consecutive_good, consecutive_refused;
	bool removed; /* no longer configured; freed after its last response */
	bool reserved_for_trial; /* an isolated run: gets no other requests */
	/* struct disp_crash_suspect: in flight when connections broke. */
	GArray *crash_suspects;
	int64_t crash_suspected_at; /* when the last one was recorded */
	bool query_connected; /* the last load query got a connection */
	uint64_t sent_count; /* requests sent, for round robin */
	void *data; /* for the gate */
};

/* The backend servers of one service in one hall. */
struct pick_set {
	struct pick_backend **v;
	unsigned n;
	int bulk_percent;
	double mean_latency_factor; /* of all, moving average: pace.h */
};

/* Properties of the request that a backend server is chosen for. */
struct pick_criteria {
	enum obj_class cls;
	const struct pick_backend *avoid; /* last resort; or NULL */
	int64_t service_time; /* at the usual speed, ns; 0: unknown */
	bool unslowed_only; /* a slot is not taken if that slows others */
};

/* A policy chooses an index, or PICK_NONE if the request has to wait. */
enum { PICK_NONE = -1 };

struct pick_policy {
	const char *name;
	int (*choose)(const struct pick_set *, const struct pick_criteria *,
	    int64_t now, const struct rnd *);
	bool holds_requests; /* queues requests until a slot is free */
	bool latency_aware; /* uses reported latency factors */
};

/* By free slots, usual latency and the age of requests in flight. */
extern const struct pick_policy pick_fern;

/* Latency-aware: by the expected service time at the last reported speed. */
extern const struct pick_policy pick_pace;

/* Round robin without regard to state: the baseline for comparisons. */
extern const struct pick_policy pick_naive;

/* Returns the policy with this name, or NULL. */
const struct pick_policy *pick_by_name(struct str);

/* Returns whether the last load queries were not answered. */
bool pick_is_unresponsive(const struct pick_backend *);

/*
 * Returns whether it has answered nothing for so long that it is presumed down.
 * Unanswered queries alone are not enough: a box that has just started, or is
 * slow for a moment, gets some responses too late.
 */
bool pick_is_presumed_down(const struct pick_backend *, int64_t now);

/* Returns whether it may get new requests, now or when a slot is free. */
bool pick_is_usable(const struct pick_backend *, int64_t now);

/* Returns how many requests it may get at once. */
int pick_slot_limit(const struct pick_backend *);

/* Returns how many more requests it may get now. */
int pick_free_slots(const struct pick_backend *, int64_t now);

/*
 * Records a success that took so many ns, or a failure, and updates the chart
 * state.  A server is not ejected unless more than half of the set is usable.
 */
void pick_record_success(
    struct pick_backend *, const struct chart *, int64_t now, int64_t took);
void pick_record_failure(struct pick_backend *, const struct pick_set *,
    const struct chart *, int64_t now, const struct rnd *);

/* Records a crash: it is presumed down until it answers a load query. */
void pick_mark_crashed(struct pick_backend *, int64_t now);

/*
 * Records whether a new connection to it was made.  After several failures in a
 * row it is presumed down as after a crash.
 */
void pick_record_connect(struct pick_backend *, bool connected, int64_t now);

/*
 * Records that it refused a request without running it.  It gets no requests
 * for a random time that grows with each consecutive refusal.
 */
void
pick_record_refusal(struct pick_backend *, int64_t now, const struct rnd *);

/* Records that an attempt was stopped after `age` ns, as it was too slow. */
void pick_record_slow(struct pick_backend *, int64_t age);

/* Ends the ejections whose time is over. */
void pick_tick(const struct pick_set *, const struct chart *, int64_t now);

/*
 * Sets whether the hall of the server is evacuated.  At the end of an
 * evacuation the server starts again in the chart's initial state, as its
 * former state may no longer apply.
 */
void
pick_set_evacuated(struct pick_backend *, const struct chart *, bool evacuated);

/* Starts or ends a drain. */
void pick_set_drain(struct pick_backend *, const struct chart *, bool drain);

#endif
