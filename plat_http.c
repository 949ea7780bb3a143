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
#include <string.h>

#include "plat.h"
#include "tmr.h"
#include "up.h"

/* Calls to the platform over HTTP, page by page, whatever its form. */

enum { ANSWER_MAX = 64 << 20, TIMEOUT_MS = 2000 };
#define CONNECT_NS (1 * NS_S)

struct plat_http {
	struct plat plat;
	struct up *up;
	struct tmr *tmr;
	const struct clk *clk;
	struct str address;
	const struct plat_codec *codec;
};

struct plat_call {
	struct plat_http *http;
	struct plat_request rq; /* with copies of its strings */
	struct plat_exchange ex;
	struct up_call *up;
	struct tmr_item timer;
	int64_t patience; /* ns for an answer, or one page of it */
	plat_done_fn *done;
	void *ctx;
	bool sent, reads;
	int status;
	GString *answer;
	json_t *pages; /* of a list, as far as they are here */
};

static struct plat_call *
start(void *, const struct plat_request *, plat_done_fn *, void *);
static void cancel(void *, struct plat_call *);
static void exchange(struct plat_call *, struct str after);
static void on_connected(void *, struct up_call *);
static void
on_head(void *, struct up_call *, int, const h2o_header_t *, size_t);
static void on_body(void *, struct up_call *);
static void on_end(void *, struct up_call *);
static void on_fail(void *, struct up_call *, enum err_kind);
static void on_timeout(void *);
static void finish(struct plat_call *, enum plat_result, json_t *);

static const struct up_ops ops = {
    on_connected, on_head, on_body, on_end, on_fail};

struct plat *
plat_http_open(struct up *up, struct tmr *tmr, const struct clk *clk,
    struct str address, const struct plat_codec *codec)
{
	struct plat_http *h = g_new0(struct plat_http, 1);

	h->plat.start = start;
	h->plat.cancel = cancel;
	h->plat.ctx = h;
	h->up = up;
	h->tmr = tmr;
	h->clk = clk;
	h->address = str_dup(address);
	h->codec = codec;
	return &h->plat;
}

void
plat_http_close(struct plat *p)
{
	struct plat_http *h = p->ctx;

	str_free(&h->address);
	g_free(h);
}

static struct plat_call *
start(void *ctx, const struct plat_request *rq, plat_done_fn *done, void *arg)
{
	struct plat_http *h = ctx;
	struct plat_call *c = g_new0(struct plat_call, 1);
	int64_t ms = rq->timeout_ms > 0 ? rq->timeout_ms : TIMEOUT_MS;

	c->http = h;
	c->done = done;
	c->ctx = arg;
	c->rq = *rq;
	c->rq.kind = str_dup(rq->kind);
	c->rq.name = str_dup(rq->name);
	c->answer = g_string_new(NULL);
	c->patience = (ms + rq->wait_ms) * NS_MS;
	exchange(c, str_c(NULL));
	c->rq.value = NULL;
	return c;
}

static void
exchange_clear(struct plat_call *c)
{
	g_free(c->ex.path);
	g_free(c->ex.header_value);
	free(c->ex.body);
	memset(&c->ex, 0, sizeof(c->ex));
}

/* Send the call, or ask for its next page. */
static void
exchange(struct plat_call *c, struct str after)
{
	struct plat_http *h = c->http;
	struct up_request up = {0};
	h2o_header_t header;
	h2o_iovec_t name;

	exchange_clear(c);
	g_string_truncate(c->answer, 0);
	tmr_set(h->tmr, &c->timer, clk_ns(h->clk) + c->patience, on_timeout, c);
	h->codec->encode(&c->rq, after, &c->ex);
	c->reads = strcmp(c->ex.method, "GET") == 0;
	up.address = h->address;
	up.host = h->address;
	up.method = str_c(c->ex.method);
	up.path = str_c(c->ex.path);
	up.body = str_c(c->ex.body);
	up.connect_timeout_ns = CONNECT_NS;
	if (c->ex.header_name != NULL) {
		name = h2o_iovec_init(
		    c->ex.header_name, strlen(c->ex.header_name));
		header.name = &name;
		header.value = h2o_iovec_init(
		    c->ex.header_value, strlen(c->ex.header_value));
		up.headers = &header;
		up.nheaders = 1;
	}
	c->up = up_start(h->up, &up, &ops, c);
}

static void
call_free(struct plat_call *c)
{
	tmr_clear(c->http->tmr, &c->timer);
	g_string_free(c->answer, TRUE);
	exchange_clear(c);
	json_decref(c->pages);
	str_free(&c->rq.kind);
	str_free(&c->rq.name);
	g_free(c);
}

static void
cancel(void *ctx, struct plat_call *c)
{
	(void)ctx;
	if (c->up != NULL)
		up_cancel(c->up);
	call_free(c);
}

static void
finish(struct plat_call *c, enum plat_result result, json_t *body)
{
	c->done(c->ctx, result, body);
	call_free(c);
}

static void
on_timeout(void *ctx)
{
	struct plat_call *c = ctx;

	up_cancel(c->up);
	c->up = NULL;
	finish(c, c->sent && !c->reads ? PLAT_UNKNOWN : PLAT_UNAVAILABLE, NULL);
}

static void
on_connected(void *ctx, struct up_call *up)
{
	struct plat_call *c = ctx;

	(void)up;
	c->sent = true;
}

static void
on_head(void *ctx, struct up_call *up, int status, const h2o_header_t *headers,
    size_t n)
{
	struct plat_call *c = ctx;

	(void)up;
	(void)headers;
	(void)n;
	c->status = status;
}

static void
take(struct plat_call *c, struct up_call *up)
{
	h2o_buffer_t **buf = up_body(up);

	if (c->answer->len + (*buf)->size <= ANSWER_MAX)
		g_string_append_len(
		    c->answer, (*buf)->bytes, (gssize)(*buf)->size);
	h2o_buffer_consume(buf, (*buf)->size);
}

static void
on_body(void *ctx, struct up_call *up)
{
	take(ctx, up);
}

/*
 * A later page adds its objects to those before it.  The list is complete at
 * the oldest revision of its pages only: a stale page may be older than the
 * one before it.
 */
static void
add_page(struct plat_call *c, json_t *page)
{
	json_t *first = json_object_get(c->pages, "revision");
	json_t *own = json_object_get(page, "revision");

	if (c->pages == NULL) {
		c->pages = json_incref(page);
		return;
	}
	json_array_extend(json_object_get(c->pages, "objects"),
	    json_object_get(page, "objects"));
	if (json_integer_value(own) < json_integer_value(first))
		json_object_set(c->pages, "revision", own);
}

static void
on_end(void *ctx, struct up_call *up)
{
	struct plat_call *c = ctx;
	const struct plat_codec *codec = c->http->codec;
	enum plat_result result = codec->result_from_status(&c->rq, c->status);
	json_t *body, *page = NULL;
	char *after = NULL;

	take(c, up);
	c->up = NULL;
	body = plat_parse_json(str_n(c->answer->str, c->answer->len));
	if (body != NULL)
		page = codec->decode(&c->rq, result, body, &after);
	json_decref(body);
	if (page == NULL && result == PLAT_OK && c->rq.op != PLAT_DELETE)
		result = c->reads ? PLAT_UNAVAILABLE : PLAT_UNKNOWN;
	if (page != NULL)
		add_page(c, page);
	json_decref(page);
	if (after != NULL && result == PLAT_OK)
		exchange(c, str_c(after));
	else
		finish(c, result, c->pages);
	g_free(after);
}

static void
on_fail(void *ctx, struct up_call *up, enum err_kind kind)
{
	struct plat_call *c = ctx;

	(void)up;
	c->up = NULL;
	finish(c,
	    kind == ERR_CONNECT || c->reads ? PLAT_UNAVAILABLE : PLAT_UNKNOWN,
	    NULL);
}
