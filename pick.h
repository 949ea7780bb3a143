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
	int64_t born_ms; /* its start, ms since 1970; 0: unsaid */
	int limit; /* of requests at once, as learned; 0: all slots */
	const struct conc *conc; /* how others slow it; NULL: not known */
	struct cold cold;
	const struct cold_bound *cold_bound; /* NULL: none */
	struct quota quota; /* what it takes in a second, by its own word */
	bool leaves; /* it said so itself, in an answer */
	int64_t rest_until; /* it asked us for nothing more before this */
	bool malformed; /* it said something that cannot be read */
	int inflight; /* sent and not finished */
	int inflight_bulk; /* of these, class bulk */
	enum pick_state state;
	bool drain_told; /* by its object */
	bool evacuated; /* its hall is to get nothing new */
	bool is_new; /* of the version that a roll-out brings in */
	bool excluded; /* its version gets nothing now */
	bool passed_over; /* the next request is owed to the other version */
	bool uncounted; /* nor is its room counted on */
	bool probe_down; /* probes say that it does not work */
	int64_t usual; /* ns an answer usually takes; 0: not known */
	int64_t oldest; /* start of the oldest in flight; 0: none */
	int64_t full_until; /* it refused for want of a slot */
	int64_t eject_until;
	/* What it told of itself last; told_at 0: nothing yet. */
	int told_running, told_waiting;
	int told_pace; /* percent of the usual time that work takes */
	int64_t told_at;
	double factor; /* its own time for work against that of all; 0: 1 */
	double failing; /* share of bad answers lately */
	/* A question for its load is out; the last one; unanswered in a row. */
	bool peeking;
	bool mute; /* it answered without telling a load */
	int64_t peeked_at;
	int silent;
	int64_t heard_at; /* the last answer of any kind, or when we met it */
	int ejections; /* in a row, for the length of the next */
	int bad_row, good_row, refused_row;
	bool gone; /* no longer selected; waits for its last answer */
	bool alone; /* nothing new: a request runs by itself, or will */
	/* Requests that were there when connections broke: struct disp_doubt.
	 */
	GArray *doubts;
	int64_t doubted_at; /* when the last one did */
	bool reached; /* the last question got a connection */
	uint64_t turns; /* requests sent, for round robin */
	void *data; /* the owner's */
};

/* The backend servers of one service in one hall. */
struct pick_set {
	struct pick_backend **v;
	unsigned n;
	int bulk_percent;
	double mean_pace; /* of all backend servers over time: pace.h */
};

/* What is looked for. */
struct pick_want {
	enum obj_class cls;
	const struct pick_backend *avoid;
	int64_t work; /* ns that it takes at the usual speed; 0: not known */
};

/* What a policy chooses: an index, or PICK_NONE to hold the request. */
enum { PICK_NONE = -1 };

struct pick_policy {
	const char *name;
	int (*choose)(const struct pick_set *, const struct pick_want *,
	    int64_t now, const struct rnd *);
	bool holds; /* waits for a free slot instead of queueing there */
	bool paced; /* goes by how fast backend servers say they are now */
};

/* By free slots, usual time and the age of what is in flight. */
extern const struct pick_policy pick_fern;

/* By the time that the work would take at the speed told last. */
extern const struct pick_policy pick_pace;

/* Round robin without any knowledge: the baseline. */
extern const struct pick_policy pick_naive;

const struct pick_policy *pick_by_name(struct str);

/* Were the last questions not answered? */
bool pick_is_silent(const struct pick_backend *);

/*
 * Has nothing answered there for so long that it is taken for gone?  A box that
 * has just started, or is slow for a moment, gets some answers too late.
 */
bool pick_is_lost(const struct pick_backend *, int64_t now);

/* May anything new be sent there? */
bool pick_usable(const struct pick_backend *, int64_t now);

/* The slots that are worth using at once. */
int pick_slots(const struct pick_backend *);

/* How many requests one may get now, 0 if nothing new may be sent. */
int pick_free(const struct pick_backend *, int64_t now);

/*
 * A good or bad answer has come; moves the chart.  Ejection is bounded: it
 * is left out when fewer than half of the set would remain in use.
 */
void pick_good(
    struct pick_backend *, const struct chart *, int64_t now, int64_t took);
void pick_bad(struct pick_backend *, const struct pick_set *,
    const struct chart *, int64_t now, const struct rnd *);

/*
 * It has ended, as far as is known: it is lost until it answers a question.
 */
void pick_ended(struct pick_backend *, int64_t now);

/* It refused without running: it is full, or does not want any. */
void pick_refused(struct pick_backend *, int64_t now, const struct rnd *);

/* A request there was stopped after `age` ns, as it took far too long. */
void pick_slow(struct pick_backend *, int64_t age);

/* Let ejections end whose time has come. */
void pick_tick(const struct pick_set *, const struct chart *, int64_t now);

/*
 * Its hall is evacuated, or is not any more.  Then it begins as one that has
 * just started: what it was before says nothing of it now.
 */
void pick_evacuate(struct pick_backend *, const struct chart *, bool evacuated);

/* Drain begins or ends, in whichever way it was told. */
void pick_drain(struct pick_backend *, const struct chart *, bool drain);

#endif
