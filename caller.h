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
 * How long callers have waited before they came to us.  Most send the same
 * deadline with their first attempt, and what is left of it with the next; so
 * what is missing to a value that many send has passed already.  Where no
 * value is common, nothing is known.  Pure.
 */

enum { CALLER_VALUES = 8 };

struct caller_value {
	int64_t remaining_ms;
	double weight; /* how often, the older the less */
};

/* The callers of one rule. */
struct callers {
	struct caller_value values[CALLER_VALUES];
	double total_weight;
};

/*
 * A caller says that it waits `left_ms` more.  How many ms it has waited, 0
 * where that is not known.
 */
int64_t callers_elapsed_ms(struct callers *, int64_t left_ms);

#endif
