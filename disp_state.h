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
#ifndef DISP_STATE_H
#define DISP_STATE_H

#include "disp.h"

/*
 * The state of a shard, as its owner hands it over to the next one: what the
 * next owner would otherwise have to learn anew from requests and load queries.
 * Times are remaining or measured times in ns.
 */

/* A backend server. */
struct disp_server_state {
	struct str name;
	int64_t started_ms; /* ms since 1970; 0: unknown */
	int inflight; /* sent by this owner or an earlier one, not finished */
	enum pick_state state;
	int64_t eject_ns; /* until the end of its ejection */
	int64_t cold_ns; /* until the end of its slow start; 0: warm */
	bool cold_reported; /* it reported that; otherwise presumed */
	int64_t pause_ns; /* until the end of the pause that it asked for */
	double service_time_ratio; /* 0: unknown */
};

/* Service times of one kind at one step of struct conc. */
struct disp_work_state {
	unsigned kind;
	unsigned step;
	double mean_time;
	unsigned samples;
};

struct disp_state {
	double retry_tokens; /* retry budget that the next owner may use */
	int64_t mean_service_time; /* 0: unknown */
	struct disp_server_state *servers;
	unsigned nservers;
	struct disp_work_state *work;
	unsigned nwork;
};

/* Bounds of the lists; what is beyond them is learned anew. */
enum { DISP_STATE_SERVERS_MAX = 1024, DISP_STATE_WORK_MAX = 256 };

/* Remaining times beyond this are cut: the longest ejection. */
#define DISP_STATE_TIME_MAX_NS (30 * NS_S)

/*
 * Exports the state, which disp_state_clear() frees; the names belong to the
 * dispatcher.  Half of the retry budget is part of it and leaves the
 * dispatcher, whose requests in flight may still need the other half.
 */
void disp_export_state(struct disp *, struct disp_state *);
void disp_state_clear(struct disp_state *);

/*
 * Applies the state that the former owner exported.  Servers that are not
 * listed here, or have another start time, are skipped.  Its requests in flight
 * occupy slots for a second at most, and fewer as the servers report their
 * load.  Returns the number of servers that were updated.
 */
unsigned disp_import_state(struct disp *, const struct disp_state *);

/* Whether the shard is handed over to another gate. */
enum disp_handover {
	DISP_OWNED,
	/*
	 * Requests that can be forwarded wait in the queues, until the next
	 * owner has the state.
	 */
	DISP_HOLDING,
	/*
	 * Requests that can be forwarded are passed to op forward with the
	 * shard's own hall, whether they are queued now, arrive later or are
	 * to be retried.
	 */
	DISP_HANDED_OVER
};

void disp_set_handover(struct disp *, enum disp_handover);

/*
 * The gate has become the owner after another one.  Unless state is imported,
 * the retry budget starts with half of what a new shard has, as the requests
 * of the former owner have used an unknown part.
 */
void disp_start_as_successor(struct disp *);

/* Time since the first request sent by this owner, ns; -1: none was sent. */
int64_t disp_sending_for(const struct disp *);

#endif
