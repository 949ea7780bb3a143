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
#ifndef REFUSAL_H
#define REFUSAL_H

#include <stdint.h>

#include "clk.h"
#include "fprint.h"

/*
 * Requests that were refused without being run, and the times when their
 * callers first sent them, to recognize retries.  There is no I/O; the time is
 * passed in.
 *
 * Servers may refuse requests although they have free slots, and callers then
 * retry within milliseconds.  The remaining time that a caller sends does not
 * show how long it has waited, as some use a shorter timeout for a retry; such
 * a request would be presumed late and queued behind all others.  The
 * fingerprint shows that it is the same request of the same caller.  In a large
 * fleet a retry usually reaches another box, but the same owner of the shard.
 */
struct refusals;

/*
 * Keeps up to `max` requests, the ones refused last.  The caller frees the
 * structure with refusals_free().
 */
struct refusals *refusals_new(unsigned max);
void refusals_free(struct refusals *);

/* Records a refused request that its caller sent at `first_sent`. */
void refusals_record_refusal(
    struct refusals *, struct fprint, int64_t first_sent, int64_t now);

/*
 * Looks up a request that arrives, and removes it.  Returns the time at which
 * it was first sent, monotonic ns, or 0 if it was not refused within
 * REFUSALS_TTL_NS.  If it is refused again, it must be recorded again.
 */
int64_t refusals_consume(struct refusals *, struct fprint, int64_t now);

/*
 * Returns the mean time in ns that recently retried requests had waited; 0: no
 * recent retry.  It is an estimate for requests that another owner refused.
 */
int64_t refusals_mean_wait(const struct refusals *, int64_t now);

/* Callers are expected to retry within this time, if at all. */
#define REFUSALS_TTL_NS (5 * NS_S)

#endif
