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
 * How many requests a second a backend server in need takes from all boxes
 * together, by its own word.  Pure: times are handed in.
 *
 * What was sent before its word is not known to be little, so the bucket begins
 * empty, and it holds one request, or what comes free between two looks.
 */
struct quota {
	double rate; /* requests a second; 0: any number */
	int64_t updated_at; /* when this was said last; 0: never */
	struct bucket bucket;
};

/* More than this is as good as any number. */
#define QUOTA_RATE_MAX 1e6

/*
 * An answer to a request of the time `sent` says so many a second; 0: it says
 * nothing of it.  Answers overtake each other: less holds at once, more only by
 * the answer to a request that was sent after what holds was said.  True if
 * that changes what holds.
 */
bool quota_update(struct quota *, double rate, int64_t sent, int64_t now);

/* How many requests it may get now; INT_MAX where it takes any number. */
int quota_available(const struct quota *, int64_t now);

/* How many it takes from now to a later time; it has a rate. */
double quota_available_by(const struct quota *, int64_t now, int64_t then);

/* It gets one. */
void quota_consume(struct quota *, int64_t now);

#endif
