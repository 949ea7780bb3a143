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

	if (c->all < DECAY_AT)
		return;
	for (i = 0; i < CALLER_VALUES; i++)
		c->values[i].seen /= 2;
	c->all /= 2;
}

/* Counts a value; a new one replaces the rarest. */
static void
count(struct callers *c, int64_t remaining_ms)
{
	struct caller_value *v, *rarest = &c->values[0];
	int i;

	c->all++;
	for (i = 0; i < CALLER_VALUES; i++) {
		v = &c->values[i];
		if (v->left_ms == remaining_ms) {
			v->seen++;
			return;
		}
		if (v->seen < rarest->seen)
			rarest = v;
	}
	/* Halved, so that the weights of rare values do not add up. */
	rarest->seen = rarest->seen / 2 + 1;
	rarest->left_ms = remaining_ms;
}

int64_t
callers_waited(struct callers *c, int64_t remaining_ms)
{
	const struct caller_value *v;
	int64_t elapsed = 0;
	int i;

	decay(c);
	count(c, remaining_ms);
	if (c->all < MIN_TOTAL)
		return 0;
	for (i = 0; i < CALLER_VALUES; i++) {
		v = &c->values[i];
		if (v->seen < COMMON_SHARE * c->all ||
		    v->left_ms < remaining_ms)
			continue;
		if (elapsed == 0 || v->left_ms - remaining_ms < elapsed)
			elapsed = v->left_ms - remaining_ms;
		if (v->left_ms == remaining_ms)
			return 0;
	}
	return elapsed;
}
