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
#ifndef TAKEOVER_H
#define TAKEOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "cold.h"

/*
 * The state in which the owner of a shard starts with a backend server.  An
 * owner that is new, as its gate has just started or the shard has moved to it,
 * does not know whether the servers are warm.  Servers that served before are
 * presumed up, as the capacity of the shard would otherwise be one request for
 * each server, while all requests that waited for an owner arrive at once.  A
 * server that joins later starts cold.
 *
 * These functions do no I/O and read no clock.
 */

/*
 * Returns whether a version of a configured server that comes into force now
 * counts as one that existed before this gate's first complete configuration.
 * `floor` is the revision up to which a complete list of the servers is known;
 * 0: none is known yet.
 */
bool takeover_existed(uint64_t floor, bool deleted);

/*
 * Returns whether a server that started at started_ms existed when the gate had
 * its first complete configuration at configured_ms, by its own start time; 0:
 * unknown.
 */
bool takeover_started_before(int64_t started_ms, int64_t configured_ms);

/* What a dispatcher knows of a server that it finds in its list. */
struct takeover_facts {
	bool latency_aware; /* by the policy */
	bool existed; /* before the gate's first complete configuration */
	bool first_list; /* the dispatcher had no servers before this list */
	bool restarted; /* it replaces an earlier instance of this name */
};

/*
 * Returns whether the server is presumed up.  If it may be cold, its rate limit
 * applies all the same until it reports that it is warm: cold.h.
 */
bool takeover_presumes_up(const struct takeover_facts *);

/*
 * Returns when a server that joined cold at `joined_at` is warm without any
 * success: after the slow start that its service or its entry states, whichever
 * is longer, in ns.  Returns 0 if neither does, or if the service limits the
 * rate of cold servers.
 */
int64_t takeover_warm_at(
    const struct cold_limit *, int64_t slow_start, int64_t joined_at);

/* What is known of a message with the state of a shard. */
struct takeover_state_facts {
	bool known_sender; /* it is the gate of a box in the member list */
	/* Start and number of the message, and of the last one of this box. */
	uint64_t started_ms, seq, last_started_ms, last_seq;
	bool is_owner; /* by the member list; it may not be up to date */
	/* Time since the first request sent as owner, ns; -1: none was sent. */
	int64_t sending_ns;
};

/* Why a message with the state of a shard is not used. */
enum takeover_refusal {
	TAKEOVER_USED,
	TAKEOVER_UNKNOWN_SENDER,
	TAKEOVER_REPEATED,
	TAKEOVER_TOO_LATE,
	TAKEOVER_REFUSAL_MAX
};

enum takeover_refusal takeover_check_state(const struct takeover_state_facts *);

#endif
