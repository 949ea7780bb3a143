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
#ifndef ONCE_H
#define ONCE_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/*
 * Bounds log lines on faults that are seen again with each poll: one for each
 * fault and ONCE_MAX in all, every hour.
 */
enum { ONCE_MAX = 32 };

struct once {
	int64_t since;
	unsigned n;
	uint64_t seen[ONCE_MAX];
};

/* Returns whether a fault, told by its text, is to be logged now. */
bool once_is_new(struct once *, int64_t now, struct str fault);

#endif
