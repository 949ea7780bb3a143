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

/*
 * Starts the bucket empty: the requests that were sent before, by this gate or
 * another, are unknown, so all tokens are presumed used.
 */
static void
start_bucket(struct cold *c, int64_t now)
{
	if (c->bucket.filled == 0)
		c->bucket.filled = now;
}

void
cold_suspect(struct cold *c, int64_t duration, int64_t now)
{
	start_bucket(c, now);
	c->until = MAX(c->until, now + duration);
	c->told = false;
}

void
cold_told(struct cold *c, int64_t ns, int64_t now)
{
	start_bucket(c, now);
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
cold_may(const struct cold *c, const struct cold_bound *limit, int64_t now)
{
	return limit->rate <= 0 || !cold_is(c, now) ||
	    bucket_holds(&c->bucket, limit->rate, limit->burst, now) >= 1;
}

/*
 * Requests to a warm server use up tokens, too, so that none are saved up when
 * it restarts and is cold again.
 */
void
cold_sent(struct cold *c, const struct cold_bound *limit, int64_t now)
{
	bucket_take(&c->bucket, limit->rate, limit->burst, now);
}
