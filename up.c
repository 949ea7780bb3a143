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
#include "libup.h"

/* Starts and cancels calls; each uses an idle connection or a new one. */

/*
 * Default time limit for connecting.  Within a hall, connecting takes well
 * below a millisecond.
 */
#define CONNECT_TIMEOUT_NS (300 * NS_MS)

/* A response that is discarded may take so long to its end. */
#define DRAIN_TIMEOUT_NS (500 * NS_MS)

static void
pool_free(void *p)
{
	struct up_pool *pool = p;
	struct up_conn *conn;

	while ((conn = g_queue_peek_head(&pool->idle_conns)) != NULL)
		up_conn_close(conn);
	g_free(pool);
}

struct up *
up_open(uv_loop_t *loop, struct tmr *tmr, const struct clk *clk)
{
	struct up *up = g_new0(struct up, 1);

	up->loop = loop;
	up->tmr = tmr;
	up->clk = clk;
	up->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pool_free);
	return up;
}

/* Idle connections close asynchronously, if the loop still runs. */
void
up_close(struct up *up)
{
	g_hash_table_destroy(up->pools);
}

bool
up_parse_address(struct str address, struct sockaddr_storage *sa)
{
	char ip[INET6_ADDRSTRLEN];
	uint16_t port = 0;

	if (!field_parse_address(address, ip, sizeof(ip), &port))
		return false;
	if (uv_ip4_addr(ip, port, (struct sockaddr_in *)sa) == 0)
		return true;
	return uv_ip6_addr(ip, port, (struct sockaddr_in6 *)sa) == 0;
}

static struct up_pool *
get_pool(struct up *up, struct str address)
{
	char *key = g_strndup(address.p, address.n);
	struct up_pool *pool = g_hash_table_lookup(up->pools, key);

	if (pool != NULL) {
		g_free(key);
		return pool;
	}
	pool = g_new0(struct up_pool, 1);
	pool->up = up;
	if (!up_parse_address(address, &pool->sa))
		g_error("up: invalid address: %s", key);
	g_queue_init(&pool->idle_conns);
	g_hash_table_insert(up->pools, key, pool);
	return pool;
}

static void
build_request(struct up_call *c, const struct up_request *rq)
{
	GString *s = g_string_sized_new(512);
	size_t i;

	g_string_append_printf(s, "%.*s %.*s HTTP/1.1\r\nHost: %.*s\r\n",
	    STR_ARG(rq->method), STR_ARG(rq->path), STR_ARG(rq->host));
	for (i = 0; i < rq->nheaders; i++) {
		g_string_append_len(s, rq->headers[i].name->base,
		    (gssize)rq->headers[i].name->len);
		g_string_append(s, ": ");
		g_string_append_len(s, rq->headers[i].value.base,
		    (gssize)rq->headers[i].value.len);
		g_string_append(s, "\r\n");
	}
	if (rq->body.n > 0 ||
	    !(str_eq(rq->method, STR_LIT("GET")) ||
		str_eq(rq->method, STR_LIT("HEAD"))))
		g_string_append_printf(
		    s, "content-length: %zu\r\n", rq->body.n);
	if (rq->new_connection)
		g_string_append(s, "connection: close\r\n");
	g_string_append(s, "\r\n");
	c->request_head = s;
	c->out_bufs[0] = uv_buf_init(s->str, (unsigned)s->len);
	c->out_bufs[1] = uv_buf_init((char *)rq->body.p, (unsigned)rq->body.n);
}

struct up_call *
up_start(struct up *up, const struct up_request *rq, const struct up_ops *ops,
    void *ctx)
{
	struct up_call *c = g_new0(struct up_call, 1);
	int64_t timeout = rq->connect_timeout_ns > 0 ? rq->connect_timeout_ns
						     : CONNECT_TIMEOUT_NS;
	struct up_pool *pool = get_pool(up, rq->address);
	struct up_conn *conn = NULL;

	c->up = up;
	c->ops = ops;
	c->ctx = ctx;
	c->new_connection = rq->new_connection;
	c->is_head_request = str_eq(rq->method, STR_LIT("HEAD"));
	h2o_buffer_init(&c->body, &h2o_socket_buffer_prototype);
	build_request(c, rq);
	if (!rq->new_connection)
		conn = up_conn_pop_idle(pool);
	if (conn != NULL)
		up_conn_send_request(conn, c);
	else
		up_conn_connect(pool, c, timeout);
	return c;
}

void
up_cancel(struct up_call *c)
{
	if (c->conn != NULL) {
		c->conn->call = NULL;
		up_conn_close(c->conn);
	}
	up_call_free(c);
}

static void
on_drain_timeout(void *ctx)
{
	up_cancel(ctx);
}

void
up_drain(struct up_call *c)
{
	if (c->conn == NULL || c->conn->writing) {
		up_cancel(c);
		return;
	}
	c->ops = &up_drain_ops;
	h2o_buffer_consume(&c->body, c->body->size);
	tmr_set(c->up->tmr, &c->timer, clk_ns(c->up->clk) + DRAIN_TIMEOUT_NS,
	    on_drain_timeout, c);
	up_resume(c);
}

size_t
up_unsent(const struct up_call *c)
{
	if (c->conn == NULL)
		return 0;
	return uv_stream_get_write_queue_size((uv_stream_t *)&c->conn->tcp);
}

h2o_buffer_t **
up_body(struct up_call *c)
{
	return &c->body;
}

void
up_pause(struct up_call *c)
{
	if (c->paused || c->conn == NULL)
		return;
	c->paused = true;
	c->conn->reading = false;
	uv_read_stop((uv_stream_t *)&c->conn->tcp);
}

void
up_resume(struct up_call *c)
{
	if (!c->paused)
		return;
	c->paused = false;
	if (c->conn != NULL && up_conn_start_reading(c->conn) != 0)
		up_conn_fail(c->conn, ERR_CUT);
}
