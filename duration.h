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
#ifndef DURATION_H
#define DURATION_H

#include <stdint.h>

/*
 * How long requests of a kind usually take, by moving averages of their time
 * and of its deviation.  There is no I/O.  All zero: none was seen yet.
 */
struct duration {
	double mean, deviation; /* ns */
	unsigned count; /* up to DURATION_KNOWN */
};

/* Nothing is known before so many requests. */
enum { DURATION_KNOWN = 4 };

/* Records that a request took so long, in ns. */
void duration_add(struct duration *, int64_t ns);

/* Returns the time in which most requests end, in ns; 0: not known. */
int64_t duration_most(const struct duration *);

#endif
