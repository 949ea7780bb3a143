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
#ifndef CALLER_H
#define CALLER_H

#include <stdint.h>

/*
 * Estimates how long a caller has waited before its request arrived.  Most
 * callers send the same timeout with each first attempt, and the rest of it
 * with a retry.  The difference between a value and the next larger common one
 * is therefore the time that has elapsed.  Without common values nothing is
 * known.  There is no I/O.
 */

/* Number of values that are tracked. */
enum { CALLER_VALUES = 8 };

struct caller_value {
	int64_t remaining_ms; /* remaining time that requests carried */
	double weight; /* number of these requests, older ones count less */
};

/* The callers of one rule. */
struct callers {
	struct caller_value values[CALLER_VALUES];
	double total_weight;
};

/*
 * Records a request whose caller waits for another `remaining_ms`.  Returns the
 * time in ms that the caller has waited; 0: none, or unknown.
 */
int64_t callers_elapsed_ms(struct callers *, int64_t remaining_ms);

#endif
