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
#ifndef ALLOWANCE_H
#define ALLOWANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/*
 * The requests that a gate granted to a customer in a sliding window.  No I/O:
 * times are passed in.
 *
 * Grants are counted in time slots.  A grant counts from the start of its slot
 * until a whole window after the end of it, so no window of any position has
 * more grants than the limit.  The cost is that a grant counts for up to one
 * slot, 1/50 of the window, longer than necessary.
 */
enum { ALLOWANCE_SLOTS = 50, ALLOWANCE_RING = ALLOWANCE_SLOTS + 1 };

struct allowance {
	int64_t window; /* ns */
	int64_t slot; /* number of the newest slot in use */
	uint32_t counts[ALLOWANCE_RING]; /* slot i is at i % ALLOWANCE_RING */
	uint32_t used; /* sum of the counts */
};

/* Longest encoding of the counts by allowance_pack(), in bytes. */
enum { ALLOWANCE_PACKED_MAX = 5 * ALLOWANCE_RING };

void allowance_init(struct allowance *, int64_t window, int64_t now);

/* Returns how many requests may be granted in a window; at least 1. */
uint32_t allowance_limit(double rate, double burst, int64_t window);

/* Returns how many grants count at this time. */
uint32_t allowance_used(struct allowance *, int64_t now);

/* Returns the time until the oldest grants no longer count; 0: there are none.
 */
int64_t allowance_wait(struct allowance *, int64_t now);

/* Counts grants that are given now. */
void allowance_add(struct allowance *, uint32_t n, int64_t now);

/*
 * Grants that were not used: stops counting the n oldest.  As these are never
 * newer than the unused ones, what is left counts for at least as long as it
 * has to.
 */
void allowance_give_back(struct allowance *, uint32_t n, int64_t now);

/* Counts grants as spread evenly over the window before now. */
void allowance_add_spread(struct allowance *, uint32_t n, int64_t now);

/* Counts the grants of another one, of the same window, as well. */
void allowance_merge(struct allowance *, struct allowance *from, int64_t now);

/*
 * Encodes the counts by age into a buffer of ALLOWANCE_PACKED_MAX bytes, and
 * returns the length.
 */
size_t allowance_pack(struct allowance *, int64_t now, char *out);

/*
 * Replaces the counts by encoded ones.  Returns false, and changes nothing, if
 * they are malformed.
 */
bool allowance_unpack(struct allowance *, struct str packed, int64_t now);

#endif
