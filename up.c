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
#include <arpa/inet.h>

#include "field.h"
#include "up.h"

/* Deadlines are the caller's; h2o's own timeout must never come first. */
#define IO_TIMEOUT_MS (UINT64_C(24) * 3600 * 1000)
#define CONNECT_NS (300 * NS_MS)

enum {
	POOL_IDLE_MS = 2000, /* before a backend server closes it by itself */
	POOL_MAX = 4096
};

struct up {
	uv_loop_t *loop;
	struct tmr *tmr;
	const struct clk *clk;
	h2o_multithread_queue_t *queue;
	h2o_multithread_receiver_t receiver;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t ctx;
	GHashTable *pools; /* char * address to h2o_socketpool_t * */
};

struct up_call {
	struct up *up;
	const struct up_ops *ops;
	void *ctx;
	h2o_http1client_t *client;
	struct tmr_item connect_timer;
	h2o_mem_pool_t pool;
	h2o_iovec_t bufs[2];
	h2o_buffer_t *rest; /* what was left when the connection went back */
	h2o_socket_cb read_cb;
	bool head_seen, paused, is_head;
	bool in_callback; /* h2o's client must not be cancelled now */
};

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *, const char *, h2o_iovec_t **, size_t *, int *);
static h2o_http1client_body_cb on_head(h2o_http1client_t *, const char *, int,
    int, h2o_iovec_t, struct st_h2o_header_t *, size_t, int);
static int on_body(h2o_http1client_t *, const char *);
static void on_connect_timeout(void *);
static void on_late_cancel(void *);
static void call_free(struct up_call *);
static void finish(struct up_call *, const char *);
static h2o_iovec_t build_head(struct up_call *, const struct up_request *);
static h2o_socketpool_t *pool_of(struct up *, struct str);
static void pool_free(void *);

/* What a drained call does: nothing, to the end. */
static void
ignore(void *ctx, struct up_call *c)
{
	(void)ctx;
	(void)c;
}

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

static const struct up_ops drain_ops = {
    ignore, ignore_head, ignore, ignore, ignore_fail};

struct up *
up_open(uv_loop_t *loop, struct tmr *tmr, const struct clk *clk)
{
	struct up *up = g_new0(struct up, 1);

	up->loop = loop;
	up->tmr = tmr;
	up->clk = clk;
	up->queue = h2o_multithread_create_queue(loop);
	h2o_multithread_register_receiver(
	    up->queue, &up->receiver, h2o_hostinfo_getaddr_receiver);
	h2o_timeout_init(loop, &up->io_timeout, IO_TIMEOUT_MS);
	up->ctx.loop = loop;
	up->ctx.getaddr_receiver = &up->receiver;
	up->ctx.io_timeout = &up->io_timeout;
	up->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pool_free);
	return up;
}

/* Sockets of the pools close on the loop, which need not run any more. */
void
up_close(struct up *up)
{
	g_hash_table_destroy(up->pools);
	h2o_timeout_dispose(up->loop, &up->io_timeout);
}

static void
pool_free(void *p)
{
	h2o_socketpool_dispose(p);
	g_free(p);
}

static socklen_t
to_sockaddr(struct str address, struct sockaddr_storage *sa)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)sa;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)sa;
	char ip[INET6_ADDRSTRLEN];
	uint16_t port = 0;

	memset(sa, 0, sizeof(*sa));
	if (!field_address(address, ip, sizeof(ip), &port))
		return 0;
	if (inet_pton(AF_INET, ip, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		return sizeof(*v4);
	}
	inet_pton(AF_INET6, ip, &v6->sin6_addr);
	v6->sin6_family = AF_INET6;
	v6->sin6_port = htons(port);
	return sizeof(*v6);
}

static h2o_socketpool_t *
pool_of(struct up *up, struct str address)
{
	struct sockaddr_storage sa;
	h2o_socketpool_t *pool;
	char *key = g_strndup(address.p, address.n);
	socklen_t len;

	pool = g_hash_table_lookup(up->pools, key);
	if (pool != NULL) {
		g_free(key);
		return pool;
	}
	len = to_sockaddr(address, &sa);
	if (len == 0)
		g_error("up: %s is no address", key);
	pool = g_new0(h2o_socketpool_t, 1);
	h2o_socketpool_init_by_address(
	    pool, (struct sockaddr *)&sa, len, 0, POOL_MAX);
	h2o_socketpool_set_timeout(pool, up->loop, POOL_IDLE_MS);
	g_hash_table_insert(up->pools, key, pool);
	return pool;
}

static void
append(h2o_mem_pool_t *mem, h2o_iovec_vector_t *parts, const char *p, size_t n)
{
	h2o_vector_reserve(mem, parts, parts->size + 1);
	parts->entries[parts->size++] = h2o_iovec_init(p, n);
}

static h2o_iovec_t
build_head(struct up_call *c, const struct up_request *rq)
{
	h2o_iovec_vector_t parts = {NULL};
	h2o_mem_pool_t *mem = &c->pool;
	size_t i, at = 0, sum = 0;
	char *out, num[48];
	int n;

	append(mem, &parts, rq->method.p, rq->method.n);
	append(mem, &parts, H2O_STRLIT(" "));
	append(mem, &parts, rq->path.p, rq->path.n);
	append(mem, &parts, H2O_STRLIT(" HTTP/1.1\r\nHost: "));
	append(mem, &parts, rq->host.p, rq->host.n);
	append(mem, &parts, H2O_STRLIT("\r\n"));
	for (i = 0; i < rq->nheaders; i++) {
		append(mem, &parts, rq->headers[i].name->base,
		    rq->headers[i].name->len);
		append(mem, &parts, H2O_STRLIT(": "));
		append(mem, &parts, rq->headers[i].value.base,
		    rq->headers[i].value.len);
		append(mem, &parts, H2O_STRLIT("\r\n"));
	}
	n = snprintf(num, sizeof(num), "content-length: %zu\r\n", rq->body.n);
	if (rq->body.n > 0 ||
	    !(str_eq(rq->method, STR_LIT("GET")) ||
		str_eq(rq->method, STR_LIT("HEAD"))))
		append(mem, &parts, num, (size_t)n);
	if (rq->fresh)
		append(mem, &parts, H2O_STRLIT("connection: close\r\n"));
	append(mem, &parts, H2O_STRLIT("\r\n"));
	for (i = 0; i < parts.size; i++)
		sum += parts.entries[i].len;
	out = h2o_mem_alloc_pool(mem, sum);
	for (i = 0; i < parts.size; i++) {
		memcpy(out + at, parts.entries[i].base, parts.entries[i].len);
		at += parts.entries[i].len;
	}
	return h2o_iovec_init(out, sum);
}

struct up_call *
up_start(struct up *up, const struct up_request *rq, const struct up_ops *ops,
    void *ctx)
{
	struct up_call *c = g_new0(struct up_call, 1);
	int64_t wait = rq->connect_ns > 0 ? rq->connect_ns : CONNECT_NS;
	char ip[INET6_ADDRSTRLEN];
	uint16_t port = 0;

	c->up = up;
	c->ops = ops;
	c->ctx = ctx;
	h2o_mem_init_pool(&c->pool);
	c->is_head = str_eq(rq->method, STR_LIT("HEAD"));
	c->bufs[0] = build_head(c, rq);
	c->bufs[1] = h2o_iovec_init(rq->body.p, rq->body.n);
	tmr_set(up->tmr, &c->connect_timer, clk_ns(up->clk) + wait,
	    on_connect_timeout, c);
	if (rq->fresh && field_address(rq->address, ip, sizeof(ip), &port))
		h2o_http1client_connect(&c->client, c, &up->ctx,
		    h2o_strdup(&c->pool, ip, SIZE_MAX), port, 0, on_connect);
	else
		h2o_http1client_connect_with_pool(&c->client, c, &up->ctx,
		    pool_of(up, rq->address), on_connect);
	return c;
}

static void
call_free(struct up_call *c)
{
	tmr_clear(c->up->tmr, &c->connect_timer);
	if (c->rest != NULL)
		h2o_buffer_dispose(&c->rest);
	h2o_mem_clear_pool(&c->pool);
	g_free(c);
}

static void
on_connect_timeout(void *ctx)
{
	struct up_call *c = ctx;

	h2o_http1client_cancel(c->client);
	c->client = NULL;
	c->ops->fail(c->ctx, c, ERR_CONNECT);
	call_free(c);
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *errstr, h2o_iovec_t **bufs,
    size_t *nbufs, int *is_head)
{
	struct up_call *c = client->data;

	tmr_clear(c->up->tmr, &c->connect_timer);
	if (errstr != NULL) {
		c->client = NULL;
		c->ops->fail(c->ctx, c, ERR_CONNECT);
		call_free(c);
		return NULL;
	}
	c->client = client;
	*bufs = c->bufs;
	*nbufs = c->bufs[1].len > 0 ? 2 : 1;
	*is_head = c->is_head;
	c->in_callback = true;
	c->ops->connected(c->ctx, c);
	c->in_callback = false;
	return on_head;
}

/* The client is done with the connection: keep what was read of it. */
static void
finish(struct up_call *c, const char *errstr)
{
	if (c->client->sock != NULL) {
		c->rest = c->client->sock->input;
		h2o_buffer_init(
		    &c->client->sock->input, &h2o_socket_buffer_prototype);
	}
	c->client = NULL;
	if (errstr == h2o_http1client_error_is_eos)
		c->ops->end(c->ctx, c);
	else
		c->ops->fail(c->ctx, c, ERR_CUT);
	call_free(c);
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *errstr, int minor, int status,
    h2o_iovec_t msg, struct st_h2o_header_t *headers, size_t n, int rlen)
{
	struct up_call *c = client->data;

	(void)minor;
	(void)msg;
	(void)rlen;
	if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
		c->client = NULL;
		c->ops->fail(c->ctx, c, ERR_CUT);
		call_free(c);
		return NULL;
	}
	c->head_seen = true;
	c->in_callback = true;
	c->ops->head(c->ctx, c, status, headers, n);
	c->in_callback = false;
	if (errstr == NULL)
		return on_body;
	c->client = NULL;
	h2o_buffer_init(&c->rest, &h2o_socket_buffer_prototype);
	c->ops->end(c->ctx, c);
	call_free(c);
	return NULL;
}

static int
on_body(h2o_http1client_t *client, const char *errstr)
{
	struct up_call *c = client->data;

	if (errstr != NULL) {
		finish(c, errstr);
		return 0;
	}
	c->in_callback = true;
	c->ops->body(c->ctx, c);
	c->in_callback = false;
	if (c->ops == &drain_ops)
		h2o_buffer_consume(
		    &client->sock->input, client->sock->input->size);
	return 0;
}

static void
on_late_cancel(void *ctx)
{
	up_cancel(ctx);
}

void
up_cancel(struct up_call *c)
{
	if (c->in_callback) {
		c->ops = &drain_ops;
		tmr_set(c->up->tmr, &c->connect_timer, clk_ns(c->up->clk),
		    on_late_cancel, c);
		return;
	}
	if (c->client != NULL)
		h2o_http1client_cancel(c->client);
	call_free(c);
}

void
up_drain(struct up_call *c)
{
	c->ops = &drain_ops;
	up_resume(c);
}

h2o_buffer_t **
up_body(struct up_call *c)
{
	return c->client == NULL ? &c->rest : &c->client->sock->input;
}

/* h2o's client has no call for this; its socket has. */
void
up_pause(struct up_call *c)
{
	if (c->paused || c->client == NULL || c->client->sock == NULL)
		return;
	c->read_cb = c->client->sock->_cb.read;
	if (c->read_cb == NULL)
		return;
	c->paused = true;
	h2o_socket_read_stop(c->client->sock);
}

void
up_resume(struct up_call *c)
{
	if (!c->paused)
		return;
	c->paused = false;
	if (c->client != NULL)
		h2o_socket_read_start(c->client->sock, c->read_cb);
}
