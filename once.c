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
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "clk.h"
#include "once.h"

#define PERIOD_NS (3600 * NS_S)

bool
once_is_new(struct once *o, int64_t now, struct str fault)
{
	uint64_t hash = XXH3_64bits(fault.p, fault.n);
	unsigned i;

	if (o->n > 0 && now - o->since >= PERIOD_NS)
		o->n = 0;
	for (i = 0; i < o->n; i++)
		if (o->seen[i] == hash)
			return false;
	if (o->n == ONCE_MAX)
		return false;
	if (o->n == 0)
		o->since = now;
	o->seen[o->n++] = hash;
	return true;
}
