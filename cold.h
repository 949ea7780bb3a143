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
 * A backend server that has just started is cold: it bears few requests a
 * second and falls over at many more.  Pure: a token bucket, with the times
 * handed in.
 *
 * Load pattern: a hall or a fleet that returns with all its servers cold into
 * the load that waited for it, tries that are reset and sent again at once, and
 * a home that takes another's place.  Two homes for a moment do not know of
 * each other's sends.  So a bucket begins empty, and holds no more than half of
 * what a server bears at once: the old home's burst and the new one's rate
 * together stay below what it bears.
 */

/* What one bears while it is cold. */
struct cold_limit {
	double rate; /* requests a second; 0: it is not bounded */
	double burst; /* requests beyond, at once */
	int64_t duration; /* ns that it takes to warm up, at most */
};

/* Whether one is cold, as far as is known, and what it got. */
struct cold {
	int64_t
	    cold_until; /* monotonic ns; it is cold before that, or may be */
	bool reported; /* by itself; otherwise it is suspected */
	struct bucket bucket; /* requests that it may get; filled 0: unused */
};

/* It has started, or may have: cold for so many ns unless it says better. */
void cold_set_suspected(struct cold *, int64_t lasts, int64_t now);

/* It says itself that it is cold for so many ns more; 0: it is warm. */
void cold_set_reported(struct cold *, int64_t ns, int64_t now);

bool cold_is_cold(const struct cold *, int64_t now);

/* Is it suspected, so that asking it would tell? */
bool cold_is_unconfirmed(const struct cold *, int64_t now);

/* May it get a request now? */
bool cold_can_send(const struct cold *, const struct cold_limit *, int64_t now);

/* It gets one, cold or not. */
void cold_record_send(struct cold *, const struct cold_limit *, int64_t now);

#endif
