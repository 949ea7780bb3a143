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
#include <sys/socket.h>
#include <sys/time.h>

#include "libhsrv.h"

/*
 * A connection that speaks HTTP/1.1.  What may run beside others does as soon
 * as it is read, so that a request does not wait for the answer to the one
 * before it; answers go out in the order of the requests.  Reading goes on
 * meanwhile, so that a caller that goes away is seen at once.
 *
 * Read one after another, a quick request would wait in us for its neighbours'
 * answers while backend servers are idle.
 */

enum {
	/* Requests of a connection, each with 256 KiB of its answer at most. */
	BESIDE_MAX = 8,
	INPUT_MAX = 64 * 1024, /* bytes that are read ahead beyond these */
	HEAD_MAX = 4096 /* bytes looked through for an upgrade to HTTP/2 */
};

static void on_alloc(uv_handle_t *, size_t, uv_buf_t *);
static void on_read(uv_stream_t *, ssize_t, const uv_buf_t *);
static void on_written(uv_write_t *, int);
static void on_idle(h2o_timeout_entry_t *);
static void on_lingered(h2o_timeout_entry_t *);
static void close_conn(struct hsrv_conn *);
static void advance(struct hsrv_conn *);
static void flush(struct hsrv_conn *);

static socklen_t
get_sockname(h2o_conn_t *conn, struct sockaddr *sa)
{
	int n = sizeof(struct sockaddr_storage);

	return uv_tcp_getsockname(((struct hsrv_conn *)conn)->tcp, sa, &n) == 0
	    ? (socklen_t)n
	    : 0;
}

static socklen_t
get_peername(h2o_conn_t *conn, struct sockaddr *sa)
{
	int n = sizeof(struct sockaddr_storage);

	return uv_tcp_getpeername(((struct hsrv_conn *)conn)->tcp, sa, &n) == 0
	    ? (socklen_t)n
	    : 0;
}

static h2o_socket_t *
get_socket(h2o_conn_t *conn)
{
	(void)conn;
	return NULL;
}

static const h2o_conn_callbacks_t callbacks = {
    .get_sockname = get_sockname,
    .get_peername = get_peername,
    .get_socket = get_socket,
};

void
hsrv_conn_open(struct hsrv *s, uv_tcp_t *tcp)
{
	struct timeval now;
	struct hsrv_conn *c;

	gettimeofday(&now, NULL);
	c = (struct hsrv_conn *)h2o_create_connection(
	    sizeof(*c), &s->ctx, s->accept.hosts, now, &callbacks);
	memset((char *)c + sizeof(c->super), 0, sizeof(*c) - sizeof(c->super));
	c->srv = s;
	c->tcp = tcp;
	c->on_output_ready = flush;
	c->protocol_unknown = true;
	c->input = g_byte_array_new();
	c->head = g_string_new(NULL);
	c->out_bufs = g_array_new(FALSE, FALSE, sizeof(uv_buf_t));
	c->idle_timeout.cb = on_idle;
	c->linger_timeout.cb = on_lingered;
	tcp->data = c;
	hsrv_parser_init(c);
	h2o_timeout_link(s->loop, &s->ctx.http1.req_timeout, &c->idle_timeout);
	uv_read_start((uv_stream_t *)tcp, on_alloc, on_read);
}

/* All that the connection holds but for what its handle still needs. */
static void
drop_reqs(struct hsrv_conn *c)
{
	struct hsrv_req *r;

	h2o_timeout_unlink(&c->idle_timeout);
	h2o_timeout_unlink(&c->linger_timeout);
	while ((r = g_queue_peek_head(&c->reqs)) != NULL)
		hsrv_req_free(r);
}

static void
on_closed(uv_handle_t *tcp)
{
	struct hsrv_conn *c = tcp->data;

	g_byte_array_free(c->input, TRUE);
	g_string_free(c->head, TRUE);
	g_array_free(c->out_bufs, TRUE);
	free(tcp);
	free(c);
}

/* Whatever is under way is broken off: its caller is gone. */
static void
close_conn(struct hsrv_conn *c)
{
	if (c->closed)
		return;
	c->closed = true;
	drop_reqs(c);
	uv_close((uv_handle_t *)c->tcp, on_closed);
}

static void
on_idle(h2o_timeout_entry_t *e)
{
	close_conn((struct hsrv_conn *)((char *)e -
	    offsetof(struct hsrv_conn, idle_timeout)));
}

static void
on_lingered(h2o_timeout_entry_t *e)
{
	close_conn((struct hsrv_conn *)((char *)e -
	    offsetof(struct hsrv_conn, linger_timeout)));
}

static void
on_shutdown(uv_shutdown_t *req, int status)
{
	(void)req;
	(void)status;
}

void
hsrv_abort(const h2o_req_t *req)
{
	int fd;

	if (uv_fileno(
		(uv_handle_t *)((struct hsrv_conn *)req->conn)->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

/*
 * All is written.  The other side reads it and ends too; a connection that is
 * closed with bytes unread would take the last answer with it.
 */
static void
end_conn(struct hsrv_conn *c)
{
	struct hsrv *s = c->srv;

	c->awaiting_peer_close = true;
	h2o_timeout_unlink(&c->idle_timeout);
	h2o_timeout_link(s->loop, &s->linger_timeout, &c->linger_timeout);
	if (uv_shutdown(&c->shutdown, (uv_stream_t *)c->tcp, on_shutdown) != 0)
		close_conn(c);
}

/* Requests that nobody has begun with are not read, for their caller. */
static void
drop_unhandled(struct hsrv_conn *c)
{
	struct hsrv_req *r;

	while ((r = g_queue_peek_tail(&c->reqs)) != NULL && !r->handled)
		hsrv_req_free(r);
}

/* Its length is told by the connection's end only. */
static bool
ends_by_close(const struct hsrv_req *r)
{
	return r->req.version < 0x101 && r->req.res.content_length == SIZE_MAX;
}

/*
 * Does the connection end with this answer?  Those that run behind it are
 * answered first, where that is possible.
 */
static bool
decide_end(struct hsrv_req *r)
{
	struct hsrv_conn *c = r->conn;

	if (!r->req.http1_is_persistent || c->super.ctx->shutdown_requested ||
	    ends_by_close(r))
		c->no_more_requests = true;
	if (!c->no_more_requests)
		return false;
	drop_unhandled(c);
	return r->link.next == NULL || ends_by_close(r);
}

static void
begin_answer(struct hsrv_req *r)
{
	uv_buf_t buf;

	r->head_sent = true;
	r->closes_conn = decide_end(r);
	hsrv_req_format_head(r, r->conn->head);
	buf = uv_buf_init(r->conn->head->str, (unsigned)r->conn->head->len);
	g_array_append_val(r->conn->out_bufs, buf);
}

/* Write what the first request's answer has ready. */
static void
flush(struct hsrv_conn *c)
{
	struct hsrv_req *r = g_queue_peek_head(&c->reqs);
	uv_buf_t none = uv_buf_init(NULL, 0);

	if (c->closed || c->writing || r == NULL || !r->output_ready)
		return;
	r->output_ready = false;
	c->writing = true;
	g_array_set_size(c->out_bufs, 0);
	if (!r->head_sent)
		begin_answer(r);
	g_array_append_vals(c->out_bufs, r->out_bufs->data, r->out_bufs->len);
	if (c->out_bufs->len == 0)
		g_array_append_val(c->out_bufs, none);
	g_array_set_size(r->out_bufs, 0);
	if (uv_write(&c->write, (uv_stream_t *)c->tcp,
		(uv_buf_t *)c->out_bufs->data, c->out_bufs->len,
		on_written) != 0)
		/* Its owner is in the midst of it: closed a little later. */
		h2o_timeout_link(
		    c->srv->loop, &c->srv->linger_timeout, &c->linger_timeout);
}

/* The first request is answered: the next one's turn. */
static void
finish(struct hsrv_conn *c, struct hsrv_req *r)
{
	bool cut = r->send_state == H2O_SEND_STATE_ERROR;
	bool ends =
	    r->closes_conn || (c->no_more_requests && r->link.next == NULL);

	hsrv_req_free(r);
	if (cut)
		close_conn(c);
	else if (ends)
		end_conn(c);
	else
		advance(c);
}

static void
on_written(uv_write_t *req, int status)
{
	struct hsrv_conn *c = (struct hsrv_conn *)((char *)req -
	    offsetof(struct hsrv_conn, write));
	struct hsrv_req *r;

	c->writing = false;
	if (c->closed)
		return;
	if (status != 0) {
		close_conn(c);
		return;
	}
	r = g_queue_peek_head(&c->reqs);
	if (r->send_state != H2O_SEND_STATE_IN_PROGRESS)
		finish(c, r);
	else
		h2o_proceed_response(&r->req);
}

/* May the request run now, with others of its connection under way? */
static bool
may_run(struct hsrv_conn *c, const struct hsrv_req *r)
{
	if (g_queue_peek_head(&c->reqs) == r)
		return true;
	return c->srv->may_run_concurrently != NULL &&
	    c->srv->may_run_concurrently(c->srv->handler_ctx, &r->req);
}

/* The last request, if nobody has begun with it. */
static struct hsrv_req *
unhandled(struct hsrv_conn *c)
{
	struct hsrv_req *r = g_queue_peek_tail(&c->reqs);

	return r != NULL && !r->handled ? r : NULL;
}

/* Begin with the request that was read last; false if it has to wait. */
static bool
run_next(struct hsrv_conn *c)
{
	struct hsrv_req *r = unhandled(c);

	if (r == NULL || !r->complete)
		return true;
	if (!may_run(c, r))
		return false;
	if (!r->req.http1_is_persistent)
		c->no_more_requests = true;
	hsrv_req_handle(r);
	return true;
}

/* A request that waits for a word of ours before it sends its body. */
static void
ask_for_body(struct hsrv_conn *c)
{
	static char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct hsrv_req *r = g_queue_peek_head(&c->reqs);
	uv_buf_t buf = uv_buf_init(text, sizeof(text) - 1);

	if (r == NULL || !r->expects_continue)
		return;
	r->expects_continue = false;
	if (uv_try_write((uv_stream_t *)c->tcp, &buf, 1) != (int)buf.len)
		close_conn(c);
}

static void
refuse(struct hsrv_conn *c)
{
	struct hsrv_req *r = unhandled(c);

	c->no_more_requests = true;
	if (r == NULL)
		r = hsrv_req_new(c);
	hsrv_req_reject(r);
}

/* The idle time runs while no request is under way, and for a slow head. */
static void
watch_idle(struct hsrv_conn *c)
{
	h2o_timeout_t *time = &c->srv->ctx.http1.req_timeout;
	struct hsrv_req *r = g_queue_peek_head(&c->reqs);

	if (c->awaiting_peer_close || (r != NULL && r->handled))
		h2o_timeout_unlink(&c->idle_timeout);
	else if (!h2o_timeout_is_linked(&c->idle_timeout))
		h2o_timeout_link(c->srv->loop, time, &c->idle_timeout);
}

static void
resume(struct hsrv_conn *c)
{
	if (c->closed || !c->reading_paused || c->input->len >= INPUT_MAX)
		return;
	c->reading_paused = false;
	uv_read_start((uv_stream_t *)c->tcp, on_alloc, on_read);
}

/* Go on with what was read, as far as requests may be begun. */
static void
advance(struct hsrv_conn *c)
{
	while (!c->closed && run_next(c) && !c->no_more_requests &&
	    c->input->len > 0 && c->reqs.length < BESIDE_MAX) {
		if (hsrv_parse_request(c))
			continue;
		refuse(c);
		break;
	}
	if (c->closed)
		return;
	ask_for_body(c);
	watch_idle(c);
	flush(c);
	resume(c);
}

/* HTTP/2, at once or by an upgrade, is h2o's. */
static bool
is_http2(const char *p, size_t n)
{
	static const char preface[] = "PRI * HTTP/2";

	if (n >= sizeof(preface) - 1 &&
	    memcmp(p, preface, sizeof(preface) - 1) == 0)
		return true;
	return memmem(p, n, "\r\nUpgrade: h2c\r\n", 16) != NULL;
}

static void
hand_over(struct hsrv_conn *c)
{
	struct hsrv *s = c->srv;
	uv_tcp_t *tcp = c->tcp;

	uv_read_stop((uv_stream_t *)tcp);
	drop_reqs(c);
	g_byte_array_free(c->input, TRUE);
	g_string_free(c->head, TRUE);
	g_array_free(c->out_bufs, TRUE);
	free(c);
	h2o_accept(&s->accept,
	    h2o_uv_socket_create((uv_stream_t *)tcp, (uv_close_cb)free));
}

/* The first bytes are looked at and left where they are. */
static void
look_first(struct hsrv_conn *c)
{
	char head[HEAD_MAX];
	ssize_t n;
	int fd;

	c->protocol_unknown = false;
	uv_fileno((uv_handle_t *)c->tcp, &fd);
	n = recv(fd, head, sizeof(head), MSG_PEEK | MSG_DONTWAIT);
	if (n > 0 && is_http2(head, (size_t)n))
		hand_over(c);
}

/* No room is given before the first bytes were looked at. */
static void
on_alloc(uv_handle_t *tcp, size_t n, uv_buf_t *buf)
{
	struct hsrv_conn *c = tcp->data;

	(void)n;
	*buf = uv_buf_init(c->srv->read_buf, sizeof(c->srv->read_buf));
	if (c->protocol_unknown)
		buf->len = 0;
}

static void
on_read(uv_stream_t *tcp, ssize_t n, const uv_buf_t *buf)
{
	struct hsrv_conn *c = tcp->data;

	if (n == UV_ENOBUFS) {
		look_first(c);
		return;
	}
	if (n < 0) {
		close_conn(c);
		return;
	}
	if (c->awaiting_peer_close || n == 0)
		return;
	g_byte_array_append(c->input, (const guint8 *)buf->base, (guint)n);
	if (c->input->len >= INPUT_MAX) {
		c->reading_paused = true;
		uv_read_stop(tcp);
	}
	advance(c);
}
