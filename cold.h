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
#ifndef COLD_H
#define COLD_H

#include <stdbool.h>
#include <stdint.h>

#include "limit.h"

/*
 * Slow start: a backend server that has just started is cold.  It can process
 * only few requests per second, and fails under many more, so a token bucket
 * limits its requests.  These functions do no I/O; the time is passed in.
 *
 * The limit matters when a hall or a whole fleet returns with cold servers to
 * the load that has built up, when connections are reset and the requests are
 * sent again at once, and when a shard gets a new owner.  In the last case two
 * owners may send for a moment without knowing of each other's requests.  The
 * bucket therefore starts empty and should hold no more than half of what a
 * server can process at once: the old owner's burst and the new owner's rate
 * together then stay below what it can process.
 */

/* The configured limit of cold backend servers of a service. */
struct cold_limit {
	double rate; /* requests per second; 0: no limit */
	double burst; /* size of the token bucket, requests */
	int64_t duration; /* longest time to warm up, ns */
};

/* Whether a backend server is cold, and the tokens that it has left. */
struct cold {
	int64_t cold_until; /* end of the slow start, monotonic ns */
	bool reported; /* reported by the server; otherwise presumed */
	struct bucket bucket; /* a fill time of 0 means unused */
};

/*
 * Records that the server has started, or may have: it is presumed cold for
 * `duration` ns unless it reports otherwise.
 */
void cold_set_suspected(struct cold *, int64_t duration, int64_t now);

/* Records its report that it is cold for `ns` more; 0: it is warm. */
void cold_set_reported(struct cold *, int64_t ns, int64_t now);

/*
 * Others may have sent to it meanwhile, as this process was suspended: nothing
 * is saved up.
 */
void cold_empty(struct cold *, int64_t now);

/* Returns whether it is cold, by its report or presumably. */
bool cold_is_cold(const struct cold *, int64_t now);

/* Returns whether it is only presumed to be cold. */
bool cold_is_unconfirmed(const struct cold *, int64_t now);

/* Returns whether it may get a request now. */
bool cold_can_send(const struct cold *, const struct cold_limit *, int64_t now);

/* Records that it gets a request, cold or warm. */
void cold_record_send(struct cold *, const struct cold_limit *, int64_t now);

#endif
