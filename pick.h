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
 * Choosing a backend server for a request.  Pure: the state of the backend
 * servers comes in as an array, time and random numbers are passed in, and
 * the choice is the only thing that goes out.
 */

/* States and events of a backend server, as charts/backend.toml has them. */
enum pick_state {
	PICK_COLD, /* new or back: warming up, one request at a time */
	PICK_UP,
	PICK_EJECTED, /* too slow or failing: nothing is sent */
	PICK_TRIAL, /* ejection over: one request decides */
	PICK_DRAINING, /* leaving: nothing new is sent */
	PICK_STATE_MAX
};

enum pick_event {
	PICK_EV_OK,
	PICK_EV_WARM, /* enough good answers in a row */
	PICK_EV_FAILING, /* too many bad answers in a row */
	PICK_EV_TIMER, /* the ejection is over */
	PICK_EV_DRAIN,
	PICK_EV_UNDRAIN,
	PICK_EVENT_MAX
};

extern const struct chart_names pick_chart_names;

/* One backend server as its home sees it. */
struct pick_backend {
	struct str name;
	struct str address;
	int slots;
	int64_t started_ms; /* its start, ms since 1970; 0: unsaid */
	int max_inflight; /* of requests at once, as learned; 0: all slots */
	const struct conc *conc; /* how others slow it; NULL: not known */
	struct cold cold;
	const struct cold_limit *cold_limit; /* NULL: none */
	struct quota quota; /* what it takes in a second, by its own word */
	bool leaving; /* it said so itself, in an answer */
	int64_t pause_until; /* it asked us for nothing more before this */
	bool malformed_report; /* it said something that cannot be read */
	int inflight; /* sent and not finished */
	int inflight_bulk; /* of these, class bulk */
	enum pick_state state;
	bool drain_configured; /* by its object */
	bool evacuated; /* its hall is to get nothing new */
	bool is_new_version; /* of the version that a roll-out brings in */
	bool version_excluded; /* its version gets nothing now */
	bool version_deferred; /* the next request is owed to the other version
				*/
	bool capacity_uncounted; /* nor is its room counted on */
	bool probe_down; /* probes say that it does not work */
	int64_t usual_latency; /* ns an answer usually takes; 0: not known */
	int64_t oldest_sent_at; /* start of the oldest in flight; 0: none */
	int64_t full_until; /* it refused for want of a slot */
	int64_t eject_until;
	/* What it told of itself last; told_at 0: nothing yet. */
	int reported_running, reported_waiting;
	int reported_latency_percent; /* percent of the usual time that work
					 takes */
	int64_t reported_at;
	double service_time_ratio; /* its own time for work against that of all;
				      0: 1 */
	double failure_rate; /* share of bad answers lately */
	/* A question for its load is out; the last one; unanswered in a row. */
	bool query_pending;
	bool reports_no_load; /* it answered without telling a load */
	int64_t queried_at;
	int unanswered_queries;
	int64_t
	    last_answer_at; /* the last answer of any kind, or when we met it */
	int ejections; /* in a row, for the length of the next */
	int consecutive_bad, consecutive_good, consecutive_refused;
	bool removed; /* no longer selected; waits for its last answer */
	bool reserved_for_trial; /* nothing new: a request runs by itself, or
				    will */
	/* Requests that were there when connections broke: struct
	 * disp_crash_suspect.
	 */
	GArray *crash_suspects;
	int64_t crash_suspected_at; /* when the last one did */
	bool query_connected; /* the last question got a connection */
	uint64_t sent_count; /* requests sent, for round robin */
	void *data; /* the owner's */
};

/* The backend servers of one service in one hall. */
struct pick_set {
	struct pick_backend **v;
	unsigned n;
	int bulk_percent;
	double
	    mean_latency_factor; /* of all backend servers over time: pace.h */
};

/* What is looked for. */
struct pick_criteria {
	enum obj_class cls;
	const struct pick_backend *avoid;
	int64_t service_time; /* ns that it takes at the usual speed; 0: not
				 known */
};

/* What a policy chooses: an index, or PICK_NONE to hold the request. */
enum { PICK_NONE = -1 };

struct pick_policy {
	const char *name;
	int (*choose)(const struct pick_set *, const struct pick_criteria *,
	    int64_t now, const struct rnd *);
	bool holds_requests; /* waits for a free slot instead of queueing there
			      */
	bool latency_aware; /* goes by how fast backend servers say they are now
			     */
};

/* By free slots, usual time and the age of what is in flight. */
extern const struct pick_policy pick_fern;

/* By the time that the work would take at the speed told last. */
extern const struct pick_policy pick_pace;

/* Round robin without any knowledge: the baseline. */
extern const struct pick_policy pick_naive;

const struct pick_policy *pick_by_name(struct str);

/* Were the last questions not answered? */
bool pick_is_unresponsive(const struct pick_backend *);

/*
 * Has nothing answered there for so long that it is taken for gone?  A box that
 * has just started, or is slow for a moment, gets some answers too late.
 */
bool pick_is_presumed_down(const struct pick_backend *, int64_t now);

/* May anything new be sent there? */
bool pick_is_usable(const struct pick_backend *, int64_t now);

/* The slots that are worth using at once. */
int pick_slot_limit(const struct pick_backend *);

/* How many requests one may get now, 0 if nothing new may be sent. */
int pick_free_slots(const struct pick_backend *, int64_t now);

/*
 * A good or bad answer has come; moves the chart.  Ejection is bounded: it
 * is left out when fewer than half of the set would remain in use.
 */
void pick_record_success(
    struct pick_backend *, const struct chart *, int64_t now, int64_t took);
void pick_record_failure(struct pick_backend *, const struct pick_set *,
    const struct chart *, int64_t now, const struct rnd *);

/*
 * It has ended, as far as is known: it is lost until it answers a question.
 */
void pick_mark_crashed(struct pick_backend *, int64_t now);

/* It refused without running: it is full, or does not want any. */
void
pick_record_refusal(struct pick_backend *, int64_t now, const struct rnd *);

/* A request there was stopped after `age` ns, as it took far too long. */
void pick_record_slow(struct pick_backend *, int64_t age);

/* Let ejections end whose time has come. */
void pick_tick(const struct pick_set *, const struct chart *, int64_t now);

/*
 * Its hall is evacuated, or is not any more.  Then it begins as one that has
 * just started: what it was before says nothing of it now.
 */
void
pick_set_evacuated(struct pick_backend *, const struct chart *, bool evacuated);

/* Drain begins or ends, in whichever way it was told. */
void pick_set_drain(struct pick_backend *, const struct chart *, bool drain);

#endif
