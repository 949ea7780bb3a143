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
#ifndef DEPUTY_H
#define DEPUTY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "str.h"

/*
 * The deputy of a shard: another gate, which dispatches the shard's requests
 * while none of its backend servers responds to its owner.  The owner cannot
 * tell whether the servers are down or only its own connections to them.  So it
 * sends one request at a time to another gate on trial, until one of them is
 * answered by a backend server.  That gate then gets all requests until the
 * servers respond to the owner again.  While all trials fail, the servers
 * count as down.
 *
 * These functions do no I/O and read no clock.
 */

/* A gate whose trial failed gets no other one for this time. */
#define DEPUTY_RETRY_NS (3 * NS_S)
/*
 * The next gate gets a trial after this time without a response.  Gates that
 * are cut off as well answer only after several connects have timed out.
 */
#define DEPUTY_TRIAL_NS (250 * NS_MS)
/* The owner dispatches again when servers have responded for this time. */
#define DEPUTY_RETURN_NS (300 * NS_MS)

enum deputy_state {
	DEPUTY_NONE,
	DEPUTY_TRIAL, /* one request was sent to `box` */
	DEPUTY_SERVING, /* `box` gets all requests */
};

/* What a response of another gate shows of its connections to the servers. */
enum deputy_result {
	DEPUTY_REACHES, /* it is that of a backend server */
	DEPUTY_FAILED, /* none of the servers responds there, or it is lost */
	DEPUTY_UNDECIDED /* the gate refused the request for another reason */
};

/* All zero: there is no deputy, and none was needed yet. */
struct deputy {
	enum deputy_state state;
	struct str box; /* empty if there is none */
	int64_t trial_at; /* start of the trial, monotonic ns */
	bool needed; /* no server responds to the owner */
	/* Since when servers respond again, monotonic ns; 0: they do not. */
	int64_t responding_since;
	GArray *failed; /* struct deputy_failure; NULL: none */
};

/* A gate whose trial failed. */
struct deputy_failure {
	struct str box;
	int64_t until; /* no other trial before this time, monotonic ns */
};

/* Frees what it holds, and leaves it as at first. */
void deputy_clear(struct deputy *);

/*
 * Applies whether none of the servers responds to the owner.  Returns true if
 * the owner dispatches the requests again from now on.
 */
bool deputy_update(struct deputy *, bool none_responds, int64_t now);

/* Returns whether a gate is to be looked for that could be the deputy. */
bool deputy_is_wanted(const struct deputy *);

/* Returns whether a gate may get a trial. */
bool deputy_may_try(const struct deputy *, struct str box, int64_t now);

/* A request was sent to a gate as its trial. */
void deputy_start_trial(struct deputy *, struct str box, int64_t now);

/*
 * A gate has responded to a request for the shard, or was lost with it.
 * Returns whether that changed which gate is the deputy.
 */
bool deputy_responded(
    struct deputy *, struct str box, enum deputy_result, int64_t now);

#endif
