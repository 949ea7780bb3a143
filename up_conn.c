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
#include <errno.h>
#include <netinet/tcp.h>

#include "libup.h"

/*
 * Connections.  One is opened for a call, kept for later calls if the response
 * allows it, and closed on an error or when the server closes it.
 */

enum {
	IDLE_PER_ADDRESS_MAX = 64,
	/*
	 * TCP keepalive.  On Linux, TCP_USER_TIMEOUT decides when probes give
	 * up, whatever their number: with the first probe that is due
	 * UNACKED_MS or later after the last data received, while another one
	 * is unanswered.  An idle connection to a server that is dead or
	 * unreachable is thus closed 2 to 3 s after it.
	 */
	KEEPALIVE_IDLE_S = 1,
	KEEPALIVE_INTERVAL_S = 1,
	/* A connection with data unacknowledged for so long is closed. */
	UNACKED_MS = 2000
};

static void finish_call(struct up_conn *);
static void on_start_timer(void *);

static void
on_closed(uv_handle_t *handle)
{
	struct up_conn *conn = handle->data;

	g_string_free(conn->header_text, TRUE);
	g_array_free(conn->header_spans, TRUE);
	g_free(conn);
}

void
up_conn_close(struct up_conn *conn)
{
	if (conn->closing)
		return;
	if (conn->idle)
		g_queue_unlink(&conn->pool->idle_conns, &conn->link);
	conn->idle = false;
	conn->closing = true;
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

void
up_conn_fail(struct up_conn *conn, enum err_kind kind)
{
	struct up_call *c = conn->call;

	conn->call = NULL;
	up_conn_close(conn);
	if (c == NULL)
		return;
	c->conn = NULL;
	c->ops->fail(c->ctx, c, kind);
	up_call_free(c);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct up_conn *conn = handle->data;

	(void)suggested;
	*buf = uv_buf_init(conn->pool->up->read_buf, UP_READ_MAX);
}

/*
 * Looks at the next byte in the socket without reading it.  Returns 0 at the
 * end, and -1 with errno set on failure: EAGAIN if nothing has come.
 */
static ssize_t
peek(struct up_conn *conn)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) != 0) {
		errno = EBADF;
		return -1;
	}
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

/*
 * Returns whether the server closed the connection without a reset.  libuv
 * reports a reset that follows data as an end of file, so this looks at the
 * socket itself.  A socket tells its error once: after a write that has failed,
 * an end of file may be that of a reset.
 */
static bool
closed_without_reset(struct up_conn *conn, ssize_t nread)
{
	return nread == UV_EOF && !conn->write_failed && peek(conn) == 0;
}

/*
 * A response without a length ends with its connection.  If the connection was
 * reset, the response is incomplete.
 */
static void
on_read_error(struct up_conn *conn, ssize_t nread)
{
	if (conn->call == NULL) {
		up_conn_close(conn);
		return;
	}
	if (closed_without_reset(conn, nread))
		http_parser_execute(
		    &conn->parser, &up_response_settings, NULL, 0);
	if (conn->call != NULL && conn->response_complete)
		finish_call(conn);
	else
		up_conn_fail(conn, ERR_CUT);
}

static void
on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	struct up_conn *conn = stream->data;
	bool valid;
	size_t used;

	if (nread == 0 || conn->closing)
		return;
	if (nread < 0) {
		on_read_error(conn, nread);
		return;
	}
	/* Data on an idle connection belongs to no response. */
	if (conn->call == NULL) {
		up_conn_close(conn);
		return;
	}
	valid = up_response_parse(conn, buf->base, (size_t)nread, &used);
	if (conn->closing)
		return;
	if (!valid) {
		up_conn_fail(conn, ERR_CUT);
	} else if (conn->response_complete) {
		conn->has_surplus = used < (size_t)nread;
		finish_call(conn);
	}
}

static void
on_written(uv_write_t *req, int status)
{
	struct up_conn *conn = req->data;

	conn->writing = false;
	conn->write_failed = status < 0;
	/*
	 * A server may respond before it has read the whole request, and then
	 * stop reading.  Its response may still arrive.
	 */
	if (status < 0 && !conn->closing && conn->call != NULL &&
	    status != UV_EPIPE && status != UV_ECONNRESET)
		up_conn_fail(conn, ERR_CUT);
}

int
up_conn_start_reading(struct up_conn *conn)
{
	int rc = 0;

	if (!conn->reading)
		rc =
		    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	conn->reading = rc == 0;
	return rc;
}

/*
 * Fails a call from a timer, because up_start() may not have returned yet, and
 * then the owner does not know the call.
 */
static void
fail_later(struct up_conn *conn, struct up_call *c)
{
	conn->call = NULL;
	c->conn = NULL;
	up_conn_close(conn);
	tmr_set(c->up->tmr, &c->timer, clk_ns(c->up->clk), on_start_timer, c);
}

void
up_conn_send_request(struct up_conn *conn, struct up_call *c)
{
	int rc;

	conn->call = c;
	c->conn = conn;
	conn->response_complete = conn->has_surplus = conn->write_failed =
	    false;
	up_response_begin(conn);
	conn->writing = true;
	conn->write.data = conn;
	c->ops->connected(c->ctx, c);
	rc = uv_write(&conn->write, (uv_stream_t *)&conn->tcp, c->out_bufs,
	    c->out_bufs[1].len > 0 ? 2 : 1, on_written);
	if (rc == 0)
		rc = up_conn_start_reading(conn);
	if (rc != 0)
		fail_later(conn, c);
}

static void
set_option(int fd, int level, int option, int value)
{
	/* On failure, timeouts of the callers detect a dead server later. */
	(void)setsockopt(fd, level, option, &value, sizeof(value));
}

static void
set_options(struct up_conn *conn)
{
	uv_os_fd_t fd;

	uv_tcp_nodelay(&conn->tcp, 1);
	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) != 0)
		return;
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_MS);
}

static void
on_connected(uv_connect_t *req, int status)
{
	struct up_conn *conn = req->data;
	struct up_call *c = conn->call;

	if (conn->closing || c == NULL)
		return;
	tmr_clear(c->up->tmr, &c->timer);
	if (status != 0) {
		up_conn_fail(conn, ERR_CONNECT);
		return;
	}
	set_options(conn);
	up_conn_send_request(conn, c);
}

/* The time limit for connecting has passed, or fail_later() was called. */
static void
on_start_timer(void *ctx)
{
	struct up_call *c = ctx;

	if (c->conn != NULL) {
		up_conn_fail(c->conn, ERR_CONNECT);
		return;
	}
	c->ops->fail(c->ctx, c, ERR_CONNECT);
	up_call_free(c);
}

static struct up_conn *
conn_new(struct up_pool *pool)
{
	struct up_conn *conn = g_new0(struct up_conn, 1);

	conn->pool = pool;
	conn->link.data = conn;
	conn->header_text = g_string_new(NULL);
	conn->header_spans =
	    g_array_new(FALSE, FALSE, sizeof(struct up_header_span));
	uv_tcp_init(pool->up->loop, &conn->tcp);
	conn->tcp.data = conn;
	return conn;
}

void
up_conn_connect(struct up_pool *pool, struct up_call *c, int64_t timeout_ns)
{
	struct up_conn *conn = conn_new(pool);
	int rc;

	conn->call = c;
	c->conn = conn;
	conn->connect.data = conn;
	rc = uv_tcp_connect(&conn->connect, &conn->tcp,
	    (struct sockaddr *)&pool->sa, on_connected);
	if (rc != 0) {
		fail_later(conn, c);
		return;
	}
	tmr_set(pool->up->tmr, &c->timer, clk_ns(pool->up->clk) + timeout_ns,
	    on_start_timer, c);
}

/*
 * Returns whether nothing has come on an idle connection since the last
 * response: neither its end, nor an error, nor bytes, which no request asked
 * for.  While the loop was busy, any of them may lie in the socket unread.
 */
static bool
is_silent(struct up_conn *conn)
{
	return peek(conn) < 0 && errno == EAGAIN;
}

/*
 * The most recently used connection comes first, as the server is least likely
 * to have closed it.
 */
struct up_conn *
up_conn_pop_idle(struct up_pool *pool)
{
	int64_t now = clk_ns(pool->up->clk);
	struct up_conn *conn;

	while ((conn = g_queue_peek_head(&pool->idle_conns)) != NULL) {
		if (now < conn->idle_until && is_silent(conn)) {
			g_queue_unlink(&pool->idle_conns, &conn->link);
			conn->idle = false;
			return conn;
		}
		up_conn_close(conn);
	}
	return NULL;
}

/*
 * Ends a call whose response is complete.  The connection is kept for reuse
 * only if the whole request was sent and nothing followed the response.
 */
static void
finish_call(struct up_conn *conn)
{
	struct up_call *c = conn->call;
	struct up_pool *pool = conn->pool;
	bool keep;

	keep = http_should_keep_alive(&conn->parser) && !conn->has_surplus &&
	    !conn->writing && !c->new_connection && !c->paused &&
	    pool->idle_conns.length < IDLE_PER_ADDRESS_MAX;
	conn->call = NULL;
	c->conn = NULL;
	if (keep) {
		conn->idle = true;
		conn->idle_until =
		    clk_ns(pool->up->clk) + conn->idle_timeout_ns;
		g_queue_push_head_link(&pool->idle_conns, &conn->link);
	} else {
		up_conn_close(conn);
	}
	c->ops->end(c->ctx, c);
	up_call_free(c);
}
