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

#include "caller.h"

/* The values that are seen most often stay in a small table. */

enum { MEMORY = 500 }; /* requests that count */

/* A value that so many in all send is that of first attempts. */
static const double COMMON = 0.1;
/* Enough to tell common values from others. */
static const double ENOUGH = 20;

static void
forget(struct callers *c)
{
	int i;

	if (c->total_weight < MEMORY)
		return;
	for (i = 0; i < CALLER_VALUES; i++)
		c->values[i].weight /= 2;
	c->total_weight /= 2;
}

/* The value's place; a new one takes that of the rarest. */
static void
count(struct callers *c, int64_t left_ms)
{
	struct caller_value *v, *rarest = &c->values[0];
	int i;

	c->total_weight++;
	for (i = 0; i < CALLER_VALUES; i++) {
		v = &c->values[i];
		if (v->remaining_ms == left_ms) {
			v->weight++;
			return;
		}
		if (v->weight < rarest->weight)
			rarest = v;
	}
	/* Halved, so that rare values do not add up in one place. */
	rarest->weight = rarest->weight / 2 + 1;
	rarest->remaining_ms = left_ms;
}

int64_t
callers_elapsed_ms(struct callers *c, int64_t left_ms)
{
	const struct caller_value *v;
	int64_t waited = 0;
	int i;

	forget(c);
	count(c, left_ms);
	if (c->total_weight < ENOUGH)
		return 0;
	for (i = 0; i < CALLER_VALUES; i++) {
		v = &c->values[i];
		if (v->weight < COMMON * c->total_weight ||
		    v->remaining_ms < left_ms)
			continue;
		if (waited == 0 || v->remaining_ms - left_ms < waited)
			waited = v->remaining_ms - left_ms;
		if (v->remaining_ms == left_ms)
			return 0;
	}
	return waited;
}
