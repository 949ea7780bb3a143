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
	if (c->bucket.updated_at == 0)
		c->bucket.updated_at = now;
}

void
cold_set_suspected(struct cold *c, int64_t lasts, int64_t now)
{
	begin(c, now);
	c->cold_until = MAX(c->cold_until, now + lasts);
	c->reported = false;
}

void
cold_set_reported(struct cold *c, int64_t ns, int64_t now)
{
	begin(c, now);
	c->cold_until = ns > 0 ? now + ns : 0;
	c->reported = true;
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
cold_can_send(const struct cold *c, const struct cold_limit *bound, int64_t now)
{
	return bound->rate <= 0 || !cold_is_cold(c, now) ||
	    bucket_tokens(&c->bucket, bound->rate, bound->burst, now) >= 1;
}

/* A warm one may get any number; then nothing is saved when it turns cold. */
void
cold_record_send(struct cold *c, const struct cold_limit *bound, int64_t now)
{
	bucket_consume(&c->bucket, bound->rate, bound->burst, now);
}
