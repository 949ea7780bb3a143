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
#include "libup.h"

/* A call by itself: its end, and what it does once nobody waits for it. */

void
up_call_free(struct up_call *c)
{
	tmr_clear(c->up->tmr, &c->timer);
	h2o_buffer_dispose(&c->body);
	g_string_free(c->request_head, TRUE);
	g_free(c);
}

void
up_ignore(void *ctx, struct up_call *c)
{
	(void)ctx;
	(void)c;
}

void
up_skip_body(void *ctx, struct up_call *c)
{
	(void)ctx;
	h2o_buffer_consume(&c->body, c->body->size);
}

/* What a drained call does: nothing, to the end. */

static void
ignore_head(void *ctx, struct up_call *c, int status,
    const h2o_header_t *headers, size_t n)
{
	(void)ctx;
	(void)c;
	(void)status;
	(void)headers;
	(void)n;
}

static void
ignore_fail(void *ctx, struct up_call *c, enum err_kind kind)
{
	(void)ctx;
	(void)c;
	(void)kind;
}

const struct up_ops up_drain_ops = {
    up_ignore, ignore_head, up_ignore, up_ignore, ignore_fail};
