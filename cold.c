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
	if (c->bucket.updated_at == 0)
		c->bucket.updated_at = now;
}

void
cold_set_suspected(struct cold *c, int64_t duration, int64_t now)
{
	start_bucket(c, now);
	c->cold_until = MAX(c->cold_until, now + duration);
	c->reported = false;
}

void
cold_set_reported(struct cold *c, int64_t ns, int64_t now)
{
	start_bucket(c, now);
	c->cold_until = ns > 0 ? now + ns : 0;
	c->reported = true;
}

void
cold_empty(struct cold *c, int64_t now)
{
	c->bucket = (struct bucket){0, now};
}

bool
cold_is_cold(const struct cold *c, int64_t now)
{
	return now < c->cold_until;
}

bool
cold_is_unconfirmed(const struct cold *c, int64_t now)
{
	return cold_is_cold(c, now) && !c->reported;
}

bool
cold_can_send(const struct cold *c, const struct cold_limit *limit, int64_t now)
{
	return limit->rate <= 0 || !cold_is_cold(c, now) ||
	    bucket_tokens(&c->bucket, limit->rate, limit->burst, now) >= 1;
}

/*
 * Requests to a warm server use up tokens, too, so that none are saved up when
 * it restarts and is cold again.
 */
void
cold_record_send(struct cold *c, const struct cold_limit *limit, int64_t now)
{
	bucket_consume(&c->bucket, limit->rate, limit->burst, now);
}
