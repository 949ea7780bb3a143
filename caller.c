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

	if (c->all < MEMORY)
		return;
	for (i = 0; i < CALLER_VALUES; i++)
		c->values[i].seen /= 2;
	c->all /= 2;
}

/* The value's place; a new one takes that of the rarest. */
static void
count(struct callers *c, int64_t left_ms)
{
	struct caller_value *v, *rarest = &c->values[0];
	int i;

	c->all++;
	for (i = 0; i < CALLER_VALUES; i++) {
		v = &c->values[i];
		if (v->left_ms == left_ms) {
			v->seen++;
			return;
		}
		if (v->seen < rarest->seen)
			rarest = v;
	}
	/* Halved, so that rare values do not add up in one place. */
	rarest->seen = rarest->seen / 2 + 1;
	rarest->left_ms = left_ms;
}

int64_t
callers_waited(struct callers *c, int64_t left_ms)
{
	const struct caller_value *v;
	int64_t waited = 0;
	int i;

	forget(c);
	count(c, left_ms);
	if (c->all < ENOUGH)
		return 0;
	for (i = 0; i < CALLER_VALUES; i++) {
		v = &c->values[i];
		if (v->seen < COMMON * c->all || v->left_ms < left_ms)
			continue;
		if (waited == 0 || v->left_ms - left_ms < waited)
			waited = v->left_ms - left_ms;
		if (v->left_ms == left_ms)
			return 0;
	}
	return waited;
}
