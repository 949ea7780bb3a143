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
#include <http_parser.h>
#include <netinet/tcp.h>

#include "field.h"
#include "up.h"

/* Time to make a connection; one in a hall takes well below a millisecond. */
#define CONNECT_NS (300 * NS_MS)
/* An idle connection is kept so long where the other side says nothing. */
#define IDLE_NS (2 * NS_S)

enum {
	READ_MAX = 64 * 1024, /* bytes read at once */
	/* Of the idle time that the other side states, this share is used. */
	IDLE_USED_PERCENT = 80,
	IDLE_PER_ADDRESS = 64,
	/* A peer that is dead or cut off is noticed after about so long. */
	KEEPALIVE_IDLE_S = 1,
	KEEPALIVE_STEP_S = 1,
	KEEPALIVE_STEPS = 2,
	UNACKED_MS = 2000,
	HEADERS_MAX = 100
};

/* Connections to one address that no call uses now. */
struct pool {
	struct up *up;
	struct sockaddr_storage sa;
	GQueue idle; /* struct conn *, the one used last first */
};

struct up {
	uv_loop_t *loop;
	struct tmr *tmr;
	const struct clk *clk;
	GHashTable *pools; /* char * address to struct pool * */
	char chunk[READ_MAX];
};

struct conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct pool *pool;
	struct up_call *call; /* NULL: idle, or closing */
	GList link; /* in pool->idle */
	bool idle, closing, reading, writing, done, surplus;
	int64_t idle_ns; /* how long it may be idle, by the last answer */
	int64_t idle_until;
	http_parser parser;
	GString *head; /* names and values of the headers, one behind another */
	GArray *marks; /* struct mark */
	bool in_value;
};

/* Where a header lies in conn.head. */
struct mark {
	size_t name, nname, value, nvalue;
};

struct up_call {
	struct up *up;
	const struct up_ops *ops;
	void *ctx;
	struct conn *conn;
	struct tmr_item timer;
	GString *request; /* the request's head */
	uv_buf_t bufs[2];
	h2o_buffer_t *body; /* of the answer, not consumed yet */
	bool fresh, paused, is_head;
};

static void conn_close(struct conn *);
static void conn_start(struct conn *, struct up_call *);
static void conn_fail(struct conn *, enum err_kind);
static void conn_finish(struct conn *);
static void on_connect_timeout(void *);
static void call_free(struct up_call *);

static int on_header_field(http_parser *, const char *, size_t);
static int on_header_value(http_parser *, const char *, size_t);
static int on_headers_complete(http_parser *);
static int on_body(http_parser *, const char *, size_t);
static int on_message_complete(http_parser *);

static const http_parser_settings parser_settings = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

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

static void
pool_free(void *p)
{
	struct pool *pool = p;
	struct conn *conn;

	while ((conn = g_queue_peek_head(&pool->idle)) != NULL)
		conn_close(conn);
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

/* Connections close on the loop, which need not run any more. */
void
up_close(struct up *up)
{
	g_hash_table_destroy(up->pools);
}

static bool
to_sockaddr(struct str address, struct sockaddr_storage *sa)
{
	char ip[INET6_ADDRSTRLEN];
	uint16_t port = 0;

	if (!field_address(address, ip, sizeof(ip), &port))
		return false;
	if (uv_ip4_addr(ip, port, (struct sockaddr_in *)sa) == 0)
		return true;
	return uv_ip6_addr(ip, port, (struct sockaddr_in6 *)sa) == 0;
}

static struct pool *
pool_of(struct up *up, struct str address)
{
	char *key = g_strndup(address.p, address.n);
	struct pool *pool = g_hash_table_lookup(up->pools, key);

	if (pool != NULL) {
		g_free(key);
		return pool;
	}
	pool = g_new0(struct pool, 1);
	pool->up = up;
	if (!to_sockaddr(address, &pool->sa))
		g_error("up: %s is no address", key);
	g_queue_init(&pool->idle);
	g_hash_table_insert(up->pools, key, pool);
	return pool;
}

static void
build_head(struct up_call *c, const struct up_request *rq)
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
	if (rq->fresh)
		g_string_append(s, "connection: close\r\n");
	g_string_append(s, "\r\n");
	c->request = s;
	c->bufs[0] = uv_buf_init(s->str, (unsigned)s->len);
	c->bufs[1] = uv_buf_init((char *)rq->body.p, (unsigned)rq->body.n);
}

static void
on_closed(uv_handle_t *handle)
{
	struct conn *conn = handle->data;

	g_string_free(conn->head, TRUE);
	g_array_free(conn->marks, TRUE);
	g_free(conn);
}

static void
conn_close(struct conn *conn)
{
	if (conn->closing)
		return;
	if (conn->idle)
		g_queue_unlink(&conn->pool->idle, &conn->link);
	conn->idle = false;
	conn->closing = true;
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

/* End the call of a connection with a failure, and close the connection. */
static void
conn_fail(struct conn *conn, enum err_kind kind)
{
	struct up_call *c = conn->call;

	conn->call = NULL;
	conn_close(conn);
	if (c == NULL)
		return;
	c->conn = NULL;
	c->ops->fail(c->ctx, c, kind);
	call_free(c);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct conn *conn = handle->data;

	(void)suggested;
	*buf = uv_buf_init(conn->pool->up->chunk, READ_MAX);
}

/*
 * Was the connection closed in order?  libuv tells a reset that comes right
 * behind data as an end of file, so the socket itself is asked.
 */
static bool
closed_in_order(struct conn *conn, ssize_t nread)
{
	uv_os_fd_t fd;
	char byte;

	return nread == UV_EOF &&
	    uv_fileno((uv_handle_t *)&conn->tcp, &fd) == 0 &&
	    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/*
 * An answer without a length ends with its connection, but only where that
 * was closed in order: one that was reset is not complete.
 */
static void
on_closed_by_peer(struct conn *conn, ssize_t nread)
{
	if (conn->call == NULL) {
		conn_close(conn);
		return;
	}
	if (closed_in_order(conn, nread))
		http_parser_execute(&conn->parser, &parser_settings, NULL, 0);
	if (conn->call != NULL && conn->done)
		conn_finish(conn);
	else
		conn_fail(conn, ERR_CUT);
}

static void
on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	struct conn *conn = stream->data;
	size_t used;

	if (nread == 0 || conn->closing)
		return;
	if (nread < 0) {
		on_closed_by_peer(conn, nread);
		return;
	}
	/* Bytes that no call asked for: the connection is of no use. */
	if (conn->call == NULL) {
		conn_close(conn);
		return;
	}
	used = http_parser_execute(
	    &conn->parser, &parser_settings, buf->base, (size_t)nread);
	if (conn->closing)
		return;
	if (conn->done) {
		conn->surplus = used < (size_t)nread;
		conn_finish(conn);
	} else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
		conn_fail(conn, ERR_CUT);
	}
}

static void
on_written(uv_write_t *req, int status)
{
	struct conn *conn = req->data;

	conn->writing = false;
	/* A peer may answer early and then read no more: wait for that answer.
	 */
	if (status < 0 && !conn->closing && conn->call != NULL &&
	    status != UV_EPIPE && status != UV_ECONNRESET)
		conn_fail(conn, ERR_CUT);
}

static int
read_start(struct conn *conn)
{
	int rc = 0;

	if (!conn->reading)
		rc =
		    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	conn->reading = rc == 0;
	return rc;
}

/* Fail a call whose up_start() has not returned yet: a moment later. */
static void
fail_soon(struct conn *conn, struct up_call *c)
{
	conn->call = NULL;
	c->conn = NULL;
	conn_close(conn);
	tmr_set(
	    c->up->tmr, &c->timer, clk_ns(c->up->clk), on_connect_timeout, c);
}

/* Send the call's request on a connection that stands. */
static void
conn_start(struct conn *conn, struct up_call *c)
{
	int rc;

	conn->call = c;
	c->conn = conn;
	conn->done = conn->surplus = false;
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	g_string_truncate(conn->head, 0);
	g_array_set_size(conn->marks, 0);
	conn->in_value = false;
	conn->writing = true;
	conn->write.data = conn;
	c->ops->connected(c->ctx, c);
	rc = uv_write(&conn->write, (uv_stream_t *)&conn->tcp, c->bufs,
	    c->bufs[1].len > 0 ? 2 : 1, on_written);
	if (rc == 0)
		rc = read_start(conn);
	if (rc != 0)
		fail_soon(conn, c);
}

static void
set_option(int fd, int level, int option, int value)
{
	/* Only a matter of noticing sooner; the timers notice anyway. */
	(void)setsockopt(fd, level, option, &value, sizeof(value));
}

static void
set_options(struct conn *conn)
{
	uv_os_fd_t fd;

	uv_tcp_nodelay(&conn->tcp, 1);
	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) != 0)
		return;
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_STEP_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_STEPS);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_MS);
}

static void
on_connected(uv_connect_t *req, int status)
{
	struct conn *conn = req->data;
	struct up_call *c = conn->call;

	if (conn->closing || c == NULL)
		return;
	tmr_clear(c->up->tmr, &c->timer);
	if (status != 0) {
		conn_fail(conn, ERR_CONNECT);
		return;
	}
	set_options(conn);
	conn_start(conn, c);
}

static void
on_connect_timeout(void *ctx)
{
	struct up_call *c = ctx;

	if (c->conn != NULL) {
		conn_fail(c->conn, ERR_CONNECT);
		return;
	}
	c->ops->fail(c->ctx, c, ERR_CONNECT);
	call_free(c);
}

static struct conn *
conn_new(struct pool *pool)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->pool = pool;
	conn->link.data = conn;
	conn->head = g_string_new(NULL);
	conn->marks = g_array_new(FALSE, FALSE, sizeof(struct mark));
	uv_tcp_init(pool->up->loop, &conn->tcp);
	conn->tcp.data = conn;
	return conn;
}

/* Connect, and send the request once the connection stands. */
static void
connect_for(struct pool *pool, struct up_call *c, int64_t wait)
{
	struct conn *conn = conn_new(pool);
	int rc;

	conn->call = c;
	c->conn = conn;
	conn->connect.data = conn;
	rc = uv_tcp_connect(&conn->connect, &conn->tcp,
	    (struct sockaddr *)&pool->sa, on_connected);
	if (rc != 0) {
		fail_soon(conn, c);
		return;
	}
	tmr_set(pool->up->tmr, &c->timer, clk_ns(pool->up->clk) + wait,
	    on_connect_timeout, c);
}

/* The connection used last is the one that is least likely to be closed. */
static struct conn *
take_idle(struct pool *pool)
{
	int64_t now = clk_ns(pool->up->clk);
	struct conn *conn;

	while ((conn = g_queue_peek_head(&pool->idle)) != NULL) {
		if (now < conn->idle_until) {
			g_queue_unlink(&pool->idle, &conn->link);
			conn->idle = false;
			return conn;
		}
		conn_close(conn);
	}
	return NULL;
}

struct up_call *
up_start(struct up *up, const struct up_request *rq, const struct up_ops *ops,
    void *ctx)
{
	struct up_call *c = g_new0(struct up_call, 1);
	int64_t wait = rq->connect_ns > 0 ? rq->connect_ns : CONNECT_NS;
	struct pool *pool = pool_of(up, rq->address);
	struct conn *conn = NULL;

	c->up = up;
	c->ops = ops;
	c->ctx = ctx;
	c->fresh = rq->fresh;
	c->is_head = str_eq(rq->method, STR_LIT("HEAD"));
	h2o_buffer_init(&c->body, &h2o_socket_buffer_prototype);
	build_head(c, rq);
	if (!rq->fresh)
		conn = take_idle(pool);
	if (conn != NULL)
		conn_start(conn, c);
	else
		connect_for(pool, c, wait);
	return c;
}

static void
call_free(struct up_call *c)
{
	tmr_clear(c->up->tmr, &c->timer);
	h2o_buffer_dispose(&c->body);
	g_string_free(c->request, TRUE);
	g_free(c);
}

static struct mark *
last_mark(struct conn *conn)
{
	return &g_array_index(conn->marks, struct mark, conn->marks->len - 1);
}

/* Names are kept in lower case, as h2o looks them up. */
static int
on_header_field(http_parser *parser, const char *p, size_t n)
{
	struct conn *conn = parser->data;
	struct mark mark = {0};
	size_t i;

	if (conn->marks->len == 0 || conn->in_value) {
		if (conn->marks->len == HEADERS_MAX)
			return -1;
		mark.name = conn->head->len;
		g_array_append_val(conn->marks, mark);
		conn->in_value = false;
	}
	for (i = 0; i < n; i++)
		g_string_append_c(conn->head, g_ascii_tolower(p[i]));
	last_mark(conn)->nname += n;
	return 0;
}

static int
on_header_value(http_parser *parser, const char *p, size_t n)
{
	struct conn *conn = parser->data;
	struct mark *mark = last_mark(conn);

	if (!conn->in_value)
		mark->value = conn->head->len;
	conn->in_value = true;
	g_string_append_len(conn->head, p, (gssize)n);
	mark->nvalue += n;
	return 0;
}

/* "timeout=5" of a Keep-Alive header tells how long it may be idle. */
static int64_t
idle_time(struct str value)
{
	static const char key[] = "timeout=";
	char text[64];
	const char *at;

	snprintf(text, sizeof(text), "%.*s", STR_ARG(value));
	at = strstr(text, key);
	if (at == NULL)
		return IDLE_NS;
	return g_ascii_strtoll(at + sizeof(key) - 1, NULL, 10) * NS_S / 100 *
	    IDLE_USED_PERCENT;
}

static int
on_headers_complete(http_parser *parser)
{
	struct conn *conn = parser->data;
	struct up_call *c = conn->call;
	h2o_header_t headers[HEADERS_MAX];
	h2o_iovec_t names[HEADERS_MAX];
	const struct mark *m;
	int64_t idle = IDLE_NS;
	guint i;

	for (i = 0; i < conn->marks->len; i++) {
		m = &g_array_index(conn->marks, struct mark, i);
		names[i] = h2o_iovec_init(conn->head->str + m->name, m->nname);
		headers[i] = (h2o_header_t){.name = &names[i],
		    .value =
			h2o_iovec_init(conn->head->str + m->value, m->nvalue)};
		if (h2o_memis(
			names[i].base, names[i].len, H2O_STRLIT("keep-alive")))
			idle = idle_time(
			    str_n(headers[i].value.base, headers[i].value.len));
	}
	/* An interim answer (100) is no answer yet. */
	if (parser->status_code < 200)
		return 0;
	conn->idle_ns = idle;
	c->ops->head(c->ctx, c, parser->status_code, headers, conn->marks->len);
	if (conn->closing)
		return -1;
	return c->is_head ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *p, size_t n)
{
	struct conn *conn = parser->data;
	struct up_call *c = conn->call;

	if (c->ops == &drain_ops)
		return 0;
	h2o_buffer_reserve(&c->body, n);
	memcpy(c->body->bytes + c->body->size, p, n);
	c->body->size += n;
	c->ops->body(c->ctx, c);
	return conn->closing ? -1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
	struct conn *conn = parser->data;

	if (parser->status_code < 200) {
		g_string_truncate(conn->head, 0);
		g_array_set_size(conn->marks, 0);
		conn->in_value = false;
		return 0;
	}
	conn->done = true;
	http_parser_pause(parser, 1);
	return 0;
}

/*
 * The answer is complete.  The connection is kept where nothing came behind
 * the answer and the request has gone out whole.
 */
static void
conn_finish(struct conn *conn)
{
	struct up_call *c = conn->call;
	struct pool *pool = conn->pool;
	bool keep;

	keep = http_should_keep_alive(&conn->parser) && !conn->surplus &&
	    !conn->writing && !c->fresh && !c->paused &&
	    pool->idle.length < IDLE_PER_ADDRESS;
	conn->call = NULL;
	c->conn = NULL;
	if (keep) {
		conn->idle = true;
		conn->idle_until = clk_ns(pool->up->clk) + conn->idle_ns;
		g_queue_push_head_link(&pool->idle, &conn->link);
	} else {
		conn_close(conn);
	}
	c->ops->end(c->ctx, c);
	call_free(c);
}

void
up_cancel(struct up_call *c)
{
	if (c->conn != NULL) {
		c->conn->call = NULL;
		conn_close(c->conn);
	}
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
	if (c->conn != NULL && read_start(c->conn) != 0)
		conn_fail(c->conn, ERR_CUT);
}
