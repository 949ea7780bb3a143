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

#include "cold.h"

/* What was sent before we knew of it counts as if all had been. */
static void
begin(struct cold *c, int64_t now)
{
	if (c->bucket.filled == 0)
		c->bucket.filled = now;
}

void
cold_suspect(struct cold *c, int64_t lasts, int64_t now)
{
	begin(c, now);
	c->until = MAX(c->until, now + lasts);
	c->told = false;
}

void
cold_told(struct cold *c, int64_t ns, int64_t now)
{
	begin(c, now);
	c->until = ns > 0 ? now + ns : 0;
	c->told = true;
}

bool
cold_is(const struct cold *c, int64_t now)
{
	return now < c->until;
}

bool
cold_in_doubt(const struct cold *c, int64_t now)
{
	return cold_is(c, now) && !c->told;
}

bool
cold_may(const struct cold *c, const struct cold_bound *bound, int64_t now)
{
	return bound->rate <= 0 || !cold_is(c, now) ||
	    bucket_holds(&c->bucket, bound->rate, bound->burst, now) >= 1;
}

/* A warm one may get any number; then nothing is saved when it turns cold. */
void
cold_sent(struct cold *c, const struct cold_bound *bound, int64_t now)
{
	bucket_take(&c->bucket, bound->rate, bound->burst, now);
}
