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
#include <glib.h>
#include <math.h>
#include <string.h>

#include "allowance.h"
#include "clk.h"

/* Bits of a count in each byte of its encoding; the last byte has no MORE. */
enum { PACK_BITS = 7, PACK_MASK = 0x7f, PACK_MORE = 0x80, PACK_BYTES = 5 };

static int64_t
slot_length(const struct allowance *a)
{
	return (a->window + ALLOWANCE_SLOTS - 1) / ALLOWANCE_SLOTS;
}

void
allowance_init(struct allowance *a, int64_t window, int64_t now)
{
	memset(a, 0, sizeof(*a));
	a->window = MAX(window, ALLOWANCE_SLOTS);
	a->slot = now / slot_length(a);
}

uint32_t
allowance_limit(double rate, double burst, int64_t window)
{
	double limit = floor(rate * (double)window / NS_S + burst);

	return (uint32_t)CLAMP(limit, 1, (double)(G_MAXINT32));
}

static uint32_t *
count_of(struct allowance *a, int64_t slot)
{
	return &a->counts[slot % ALLOWANCE_RING];
}

/* Empties the slots that have become too old. */
static void
advance(struct allowance *a, int64_t now)
{
	int64_t slot = now / slot_length(a), i;

	if (slot - a->slot >= ALLOWANCE_RING) {
		memset(a->counts, 0, sizeof(a->counts));
		a->used = 0;
		a->slot = slot;
	}
	for (i = a->slot + 1; i <= slot; i++) {
		a->used -= *count_of(a, i);
		*count_of(a, i) = 0;
	}
	a->slot = MAX(a->slot, slot);
}

uint32_t
allowance_used(struct allowance *a, int64_t now)
{
	advance(a, now);
	return a->used;
}

/* Returns the oldest slot with grants; the newest if there is none. */
static int64_t
oldest_slot(struct allowance *a)
{
	int64_t slot = MAX(a->slot - ALLOWANCE_SLOTS, 0);

	while (slot < a->slot && *count_of(a, slot) == 0)
		slot++;
	return slot;
}

static void
add_to_slot(struct allowance *a, int64_t slot, uint32_t n)
{
	n = MIN(n, G_MAXUINT32 - a->used);
	*count_of(a, slot) += n;
	a->used += n;
}

int64_t
allowance_wait(struct allowance *a, int64_t now)
{
	advance(a, now);
	if (a->used == 0)
		return 0;
	return (oldest_slot(a) + ALLOWANCE_RING) * slot_length(a) - now;
}

void
allowance_add(struct allowance *a, uint32_t n, int64_t now)
{
	advance(a, now);
	add_to_slot(a, a->slot, n);
}

void
allowance_give_back(struct allowance *a, uint32_t n, int64_t now)
{
	uint32_t part, *count;

	advance(a, now);
	for (n = MIN(n, a->used); n > 0; n -= part) {
		count = count_of(a, oldest_slot(a));
		part = MIN(n, *count);
		*count -= part;
		a->used -= part;
	}
}

void
allowance_add_spread(struct allowance *a, uint32_t n, int64_t now)
{
	int64_t slot;
	uint32_t part;

	advance(a, now);
	for (slot = MAX(a->slot - ALLOWANCE_SLOTS + 1, 0); slot <= a->slot;
	     slot++) {
		part = n / (uint32_t)(a->slot - slot + 1);
		add_to_slot(a, slot, part);
		n -= part;
	}
}

void
allowance_merge(struct allowance *a, struct allowance *from, int64_t now)
{
	int64_t slot;

	advance(a, now);
	advance(from, now);
	for (slot = MAX(a->slot - ALLOWANCE_SLOTS, 0); slot <= a->slot; slot++)
		add_to_slot(a, slot, *count_of(from, slot));
}

static size_t
pack_count(uint32_t n, char *out)
{
	size_t len = 0;

	for (; n > PACK_MASK; n >>= PACK_BITS)
		out[len++] = (char)((n & PACK_MASK) | PACK_MORE);
	out[len++] = (char)n;
	return len;
}

/* The newest slot comes first; the empty slots at the end are left out. */
size_t
allowance_pack(struct allowance *a, int64_t now, char *out)
{
	int64_t slot, oldest;
	size_t n = 0;

	advance(a, now);
	oldest = oldest_slot(a);
	for (slot = a->slot; slot >= oldest; slot--)
		n += pack_count(*count_of(a, slot), out + n);
	return n;
}

static bool
unpack_count(struct str *in, uint32_t *n)
{
	uint64_t value = 0;
	unsigned i;
	uint8_t byte;

	for (i = 0; i < PACK_BYTES && in->n > 0; i++) {
		byte = (uint8_t)in->p[0];
		*in = str_n(in->p + 1, in->n - 1);
		value |= (uint64_t)(byte & PACK_MASK) << (i * PACK_BITS);
		if ((byte & PACK_MORE) == 0) {
			*n = (uint32_t)MIN(value, G_MAXINT32);
			return true;
		}
	}
	return false;
}

/*
 * The slots of two gates do not begin at the same time, so each count is put
 * into the slot after the one of its age, in which it counts for longer.
 */
bool
allowance_unpack(struct allowance *a, struct str packed, int64_t now)
{
	struct allowance copy;
	uint32_t n;
	int64_t age;

	advance(a, now);
	allowance_init(&copy, a->window, now);
	for (age = 0; packed.n > 0; age++) {
		if (age > ALLOWANCE_SLOTS || !unpack_count(&packed, &n))
			return false;
		if (age <= copy.slot)
			add_to_slot(&copy, copy.slot - MAX(age - 1, 0), n);
	}
	*a = copy;
	return true;
}
