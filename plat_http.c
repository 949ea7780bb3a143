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
#include <stdio.h>

#include "plat.h"
#include "tmr.h"
#include "up.h"

enum { ANSWER_MAX = 64 << 20, TIMEOUT_MS = 2000 };
#define CONNECT_NS (1 * NS_S)

struct plat_http {
	struct plat plat;
	struct up *up;
	struct tmr *tmr;
	const struct clk *clk;
	struct str address;
};

struct plat_call {
	struct plat_http *http;
	struct up_call *up;
	struct tmr_item timer;
	plat_done_fn *done;
	void *ctx;
	char *path, *body;
	bool sent, reads;
	int status;
	GString *answer;
};

static struct plat_call *
start(void *, const struct plat_request *, plat_done_fn *, void *);
static void cancel(void *, struct plat_call *);
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

static const char *const result_names[] = {
    "ok", "conflict", "none", "too-old", "unsure", "down", "bad"};

static const char *const methods[] = {[PLAT_LIST] = "GET",
    [PLAT_GET] = "GET",
    [PLAT_CREATE] = "PUT",
    [PLAT_UPDATE] = "PUT",
    [PLAT_DELETE] = "DELETE",
    [PLAT_WATCH] = "GET",
    [PLAT_BOXES] = "GET"};

const char *
plat_result_name(enum plat_result r)
{
	return result_names[r];
}

struct plat *
plat_http_open(
    struct up *up, struct tmr *tmr, const struct clk *clk, struct str address)
{
	struct plat_http *h = g_new0(struct plat_http, 1);

	h->plat.start = start;
	h->plat.cancel = cancel;
	h->plat.ctx = h;
	h->up = up;
	h->tmr = tmr;
	h->clk = clk;
	h->address = str_dup(address);
	return &h->plat;
}

void
plat_http_close(struct plat *p)
{
	struct plat_http *h = p->ctx;

	str_free(&h->address);
	g_free(h);
}

static char *
path_of(const struct plat_request *rq)
{
	switch (rq->op) {
	case PLAT_LIST:
		return g_strdup_printf(
		    "/v1/objects?kind=%.*s", STR_ARG(rq->kind));
	case PLAT_WATCH:
		return g_strdup_printf(
		    "/v1/watch?kind=%.*s&since=%llu&wait_ms=%lld",
		    STR_ARG(rq->kind), (unsigned long long)rq->version,
		    (long long)rq->wait_ms);
	case PLAT_BOXES:
		return g_strdup("/v1/boxes");
	default:
		return g_strdup_printf("/v1/objects/%.*s/%.*s",
		    STR_ARG(rq->kind), STR_ARG(rq->name));
	}
}

static struct plat_call *
start(void *ctx, const struct plat_request *rq, plat_done_fn *done, void *arg)
{
	struct plat_http *h = ctx;
	struct plat_call *c = g_new0(struct plat_call, 1);
	static const h2o_iovec_t if_match = {H2O_STRLIT("if-match")};
	static const h2o_iovec_t if_none = {H2O_STRLIT("if-none-match")};
	h2o_header_t header = {0};
	struct up_request up = {0};
	char version[32];
	int64_t ms = rq->timeout_ms > 0 ? rq->timeout_ms : TIMEOUT_MS;
	int n;

	c->http = h;
	c->done = done;
	c->ctx = arg;
	c->path = path_of(rq);
	c->answer = g_string_new(NULL);
	c->reads = strcmp(methods[rq->op], "GET") == 0;
	if (rq->value != NULL)
		c->body = json_dumps(rq->value, JSON_COMPACT);
	n = snprintf(
	    version, sizeof(version), "%llu", (unsigned long long)rq->version);
	if (rq->op == PLAT_CREATE) {
		header.name = (h2o_iovec_t *)&if_none;
		header.value = h2o_iovec_init(H2O_STRLIT("*"));
	} else {
		header.name = (h2o_iovec_t *)&if_match;
		header.value = h2o_iovec_init(version, (size_t)n);
	}
	up.address = h->address;
	up.host = h->address;
	up.method = str_c(methods[rq->op]);
	up.path = str_c(c->path);
	up.body = str_c(c->body);
	up.headers = &header;
	up.nheaders = !c->reads;
	up.connect_ns = CONNECT_NS;
	tmr_set(h->tmr, &c->timer, clk_ns(h->clk) + (ms + rq->wait_ms) * NS_MS,
	    on_timeout, c);
	c->up = up_start(h->up, &up, &ops, c);
	return c;
}

static void
call_free(struct plat_call *c)
{
	tmr_clear(c->http->tmr, &c->timer);
	g_string_free(c->answer, TRUE);
	g_free(c->path);
	free(c->body);
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
	finish(c, c->sent && !c->reads ? PLAT_UNSURE : PLAT_DOWN, NULL);
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

static enum plat_result
result_of(const struct plat_call *c)
{
	if (c->status >= 200 && c->status < 300)
		return PLAT_OK;
	if (c->status == 412)
		return PLAT_CONFLICT;
	if (c->status == 404)
		return PLAT_NONE;
	if (c->status == 410)
		return PLAT_TOO_OLD;
	if (c->status == 503 || c->status == 429)
		return PLAT_DOWN;
	if (c->status >= 500)
		return c->reads ? PLAT_DOWN : PLAT_UNSURE;
	return PLAT_BAD;
}

static void
on_end(void *ctx, struct up_call *up)
{
	struct plat_call *c = ctx;
	enum plat_result result = result_of(c);
	json_t *body;

	take(c, up);
	c->up = NULL;
	body = json_loadb(c->answer->str, c->answer->len, 0, NULL);
	if (body == NULL && result == PLAT_OK)
		result = c->reads ? PLAT_DOWN : PLAT_UNSURE;
	finish(c, result, body);
	json_decref(body);
}

static void
on_fail(void *ctx, struct up_call *up, enum err_kind kind)
{
	struct plat_call *c = ctx;

	(void)up;
	c->up = NULL;
	finish(
	    c, kind == ERR_CONNECT || c->reads ? PLAT_DOWN : PLAT_UNSURE, NULL);
}
