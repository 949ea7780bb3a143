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

/* A small table keeps the most frequent values. */

enum { DECAY_AT = 500 }; /* all weights are halved at this total */

/* A value with this share of all requests is that of first attempts. */
static const double COMMON_SHARE = 0.1;
/* Total weight from which common values can be recognized. */
static const double MIN_TOTAL = 20;

static void
decay(struct callers *c)
{
	int i;

	if (c->total_weight < DECAY_AT)
		return;
	for (i = 0; i < CALLER_VALUES; i++)
		c->values[i].weight /= 2;
	c->total_weight /= 2;
}

/* Counts a value; a new one replaces the rarest. */
static void
count(struct callers *c, int64_t remaining_ms)
{
	struct caller_value *v, *rarest = &c->values[0];
	int i;

	c->total_weight++;
	for (i = 0; i < CALLER_VALUES; i++) {
		v = &c->values[i];
		if (v->remaining_ms == remaining_ms) {
			v->weight++;
			return;
		}
		if (v->weight < rarest->weight)
			rarest = v;
	}
	/* Halved, so that the weights of rare values do not add up. */
	rarest->weight = rarest->weight / 2 + 1;
	rarest->remaining_ms = remaining_ms;
}

int64_t
callers_elapsed_ms(struct callers *c, int64_t remaining_ms)
{
	const struct caller_value *v;
	int64_t elapsed = 0;
	int i;

	decay(c);
	count(c, remaining_ms);
	if (c->total_weight < MIN_TOTAL)
		return 0;
	for (i = 0; i < CALLER_VALUES; i++) {
		v = &c->values[i];
		if (v->weight < COMMON_SHARE * c->total_weight ||
		    v->remaining_ms < remaining_ms)
			continue;
		if (elapsed == 0 || v->remaining_ms - remaining_ms < elapsed)
			elapsed = v->remaining_ms - remaining_ms;
		if (v->remaining_ms == remaining_ms)
			return 0;
	}
	return elapsed;
}
