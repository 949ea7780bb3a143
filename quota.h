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
#ifndef QUOTA_H
#define QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#include "limit.h"

/*
 * The rate limit that an overloaded backend server sets, in requests a second
 * from all boxes together.  No I/O: times are passed in.
 *
 * How many requests were sent before the limit arrived is not known, so the
 * bucket starts empty.  It holds one request, or what accumulates between two
 * ticks of the dispatcher.
 */
struct quota {
	double rate; /* requests a second; 0: no limit */
	/* When this rate was last reported, monotonic ns; 0: never. */
	int64_t updated_at;
	struct bucket bucket;
};

/* Higher limits are lowered to this, which no box exceeds. */
#define QUOTA_RATE_MAX 1e6

/*
 * Applies the limit in a response to a request that was sent at `sent`; 0 if
 * the response states none.  Responses overtake each other, so a lower limit
 * applies at once, a higher one only if the response is to a request that was
 * sent after the current limit was reported.  Returns whether the limit
 * changed.
 */
bool quota_update(struct quota *, double rate, int64_t sent, int64_t now);

/* Returns how many requests may be sent now; INT_MAX without a limit. */
int quota_available(const struct quota *, int64_t now);

/*
 * Returns how many requests may be sent from now to a later time.  There must
 * be a limit.
 */
double quota_available_by(const struct quota *, int64_t now, int64_t then);

/* Takes one request out of the bucket. */
void quota_consume(struct quota *, int64_t now);

#endif
