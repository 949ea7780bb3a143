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
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "libhsrv.h"

/*
 * An HTTP/1.1 connection.  Pipelined requests that may run concurrently are
 * passed to the handler as soon as they are parsed; their responses are sent
 * in the order of the requests.  If they ran one after another, a quick
 * request would wait for the responses to the requests before it while backend
 * servers are idle.
 *
 * Reading continues while requests are in flight, so that a caller that closes
 * the connection is detected at once.
 */

/* How a connection of HTTP/2 begins. */
#define PREFACE "PRI * HTTP/2"

enum {
	/*
	 * Requests in flight on a connection.  Each buffers at most 256 KiB of
	 * its response.
	 */
	IN_FLIGHT_MAX = 8,
	INPUT_MAX = 64 * 1024, /* unparsed bytes at which reading pauses */
	/*
	 * A body may take so long in all while there is no room for others, as
	 * is judged after the first time.
	 */
	BODY_MAX_MS = 30000,
	BODY_JUDGED_MS = 1000,
	INPUT_KEPT = 8 * 1024, /* size of an empty buffer that is kept */
	/* About the bytes of a connection that has no request. */
	CONN_SIZE = sizeof(struct hsrv_conn) + sizeof(struct hsrv_tcp) + 1024,
	FIN_SIZE = 1 /* of the end of a stream, among unacknowledged bytes */
};

static void on_alloc(uv_handle_t *, size_t, uv_buf_t *);
static void on_read(uv_stream_t *, ssize_t, const uv_buf_t *);
static void on_written(uv_write_t *, int);
static void on_idle(h2o_timeout_entry_t *);
static void on_linger_timeout(h2o_timeout_entry_t *);
static void on_stall_timeout(h2o_timeout_entry_t *);
static void await_peer_close(struct hsrv_conn *);
static void close_conn(struct hsrv_conn *, const char *why);
static void process_input(struct hsrv_conn *);
static void resume_reading(struct hsrv_conn *);
static void shutdown_conn(struct hsrv_conn *, const char *why);
static void write_response(struct hsrv_conn *);

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

/* Returns the time for the report of the connection's end. */
static int64_t
end_now(const struct hsrv_conn *c)
{
	return c->srv->on_end != NULL ? clk_ns(c->srv->end_clk) : 0;
}

/* Notes why the connection ends; the first reason stays. */
static void
note_end(struct hsrv_conn *c, const char *why)
{
	if (c->why != NULL)
		return;
	c->why = why;
	c->ended_at = end_now(c);
}

/* Notes that bytes are discarded, as the end of the connection was decided. */
static void
note_discarded(struct hsrv_conn *c, size_t n)
{
	if (n > 0 && c->discarded == 0)
		c->discarded_at = end_now(c);
	c->discarded += n;
}

static void
report_end(struct hsrv_conn *c)
{
	struct hsrv_end end = {.why = c->why,
	    .unanswered = c->reqs.length,
	    .idle_ns = c->ended_at - c->active_at,
	    .discarded = c->discarded,
	    .discarded_ns = MAX(c->discarded_at - c->ended_at, 0)};

	if (c->srv->on_end == NULL)
		return;
	c->srv->on_end(c->srv->end_ctx, &end);
}

/* Sets when the connection is closed at the latest, unless that is set. */
static void
link_linger(struct hsrv_conn *c, h2o_timeout_t *timeout)
{
	if (!h2o_timeout_is_linked(&c->linger_timeout))
		h2o_timeout_link(c->srv->loop, timeout, &c->linger_timeout);
}

static void
start_idle_timeout(struct hsrv_conn *c, h2o_timeout_t *timeout)
{
	/* The loop's time is that of the last poll. */
	uv_update_time(c->srv->loop);
	c->idle_since = h2o_now(c->srv->loop);
	c->unacked = SIZE_MAX;
	h2o_timeout_link(c->srv->loop, timeout, &c->idle_timeout);
}

struct hsrv_tcp *
hsrv_conn_tcp(const h2o_req_t *req)
{
	if (req->conn->callbacks != &callbacks)
		return NULL;
	return (struct hsrv_tcp *)((struct hsrv_conn *)req->conn)->tcp;
}

bool
hsrv_conn_is_handling(const struct hsrv_conn *c)
{
	const struct hsrv_req *r = g_queue_peek_head((GQueue *)&c->reqs);

	return r != NULL && r->handled;
}

/* Returns whether a body would take longer than it may at its present pace. */
static bool
has_slow_body(const struct hsrv_conn *c, uint64_t now)
{
	const struct hsrv_req *r = c->parsing;
	uint64_t taken_ms, got;

	if (r == NULL || r->reserved == 0)
		return false;
	taken_ms = now - r->body_since;
	got = r->body != NULL ? MAX(r->body->len, 1u) : 1;
	return taken_ms >= BODY_JUDGED_MS &&
	    taken_ms * r->reserved / got > BODY_MAX_MS;
}

/* Counts what the connection holds, and frees a large buffer that is empty. */
static void
update_held(struct hsrv_conn *c)
{
	struct hsrv_tcp *t = (struct hsrv_tcp *)c->tcp;
	const GList *link;
	size_t n;

	if (c->input->len == 0 && c->input_peak > INPUT_KEPT) {
		g_byte_array_free(c->input, TRUE);
		c->input = g_byte_array_new();
		c->input_peak = 0;
	}
	n = CONN_SIZE + c->input_peak + t->handler_held;
	for (link = c->reqs.head; link != NULL; link = link->next)
		n += hsrv_req_count_held(link->data);
	hsrv_tcp_set_held(t, n);
}

static struct hsrv_conn *
open_conn(struct hsrv *s, uv_tcp_t *tcp)
{
	struct timeval now;
	struct hsrv_conn *c;

	gettimeofday(&now, NULL);
	c = (struct hsrv_conn *)h2o_create_connection(
	    sizeof(*c), &s->ctx, s->accept.hosts, now, &callbacks);
	memset((char *)c + sizeof(c->super), 0, sizeof(*c) - sizeof(c->super));
	c->srv = s;
	c->tcp = tcp;
	c->on_output_ready = write_response;
	c->protocol_unknown = true;
	c->input = g_byte_array_new();
	c->head = g_string_new(NULL);
	c->out_bufs = g_array_new(FALSE, FALSE, sizeof(uv_buf_t));
	c->idle_timeout.cb = on_idle;
	c->linger_timeout.cb = on_linger_timeout;
	c->stall_timeout.cb = on_stall_timeout;
	tcp->data = c;
	((struct hsrv_tcp *)tcp)->conn = c;
	c->active_at = end_now(c);
	hsrv_parser_init(c);
	start_idle_timeout(c, &s->ctx.http1.req_timeout);
	uv_read_start((uv_stream_t *)tcp, on_alloc, on_read);
	return c;
}

void
hsrv_conn_open(struct hsrv *s, uv_tcp_t *tcp)
{
	open_conn(s, tcp);
}

/*
 * Frees the requests and unlinks the timeouts.  The rest is freed once the
 * handle is closed or passed to h2o.
 */
static void
free_reqs(struct hsrv_conn *c)
{
	struct hsrv_req *r;

	h2o_timeout_unlink(&c->idle_timeout);
	h2o_timeout_unlink(&c->linger_timeout);
	h2o_timeout_unlink(&c->stall_timeout);
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
	hsrv_tcp_free(tcp);
	free(c);
}

/* Closes the connection and aborts its requests. */
static void
close_conn(struct hsrv_conn *c, const char *why)
{
	if (c->closed)
		return;
	c->closed = true;
	note_end(c, why);
	report_end(c);
	free_reqs(c);
	uv_close((uv_handle_t *)c->tcp, on_closed);
}

/* Ends the connection for this side.  Returns false if that fails. */
static bool
shutdown_writing(struct hsrv_conn *c)
{
	int fd;

	/*
	 * uv_shutdown() would wait for the timers that are due.  No response
	 * is being written when a connection ends.
	 */
	return uv_fileno((uv_handle_t *)c->tcp, &fd) == 0 &&
	    shutdown(fd, SHUT_WR) == 0;
}

/* Returns why a connection ends whose timeout has passed. */
static const char *
end_by_timeout(const struct hsrv_conn *c)
{
	if (c->reqs.length == 0)
		return "idle";
	return c->parsing != NULL && c->parsing->head_text != NULL
	    ? "slow-head"
	    : "slow-request";
}

/*
 * Ends a connection without a request in flight.  From here on nothing is read:
 * the caller of a request that comes now learns by the end or a reset of the
 * connection that it was not processed, however long the loop is busy.  A reset
 * might cost the peer the last response, so the connection lingers unless that
 * was taken long ago.
 */
static void
end_idle(struct hsrv_conn *c)
{
	struct hsrv *s = c->srv;

	note_end(c, end_by_timeout(c));
	if (h2o_now(s->loop) - c->idle_since >= s->linger_timeout.timeout &&
	    hsrv_tcp_unacked(c->tcp) == 0) {
		close_conn(c, c->why);
		return;
	}
	c->ends_unread = true;
	if (c->reading_paused)
		uv_read_start((uv_stream_t *)c->tcp, on_alloc, on_read);
	await_peer_close(c);
}

/*
 * Returns whether the peer has yet to take bytes, and has taken some within the
 * stall limit.
 */
static bool
still_takes(struct hsrv_conn *c, size_t unacked)
{
	uint64_t now = h2o_now(c->srv->loop);

	if (unacked == 0)
		return false;
	if (unacked < c->unacked) {
		c->unacked = unacked;
		c->taken_at = now;
	}
	return now - c->taken_at < c->srv->stall_timeout.timeout;
}

/*
 * Returns whether the connection may rest beyond the timeout: the limit was
 * higher when the last response stated an idle time, or the peer has not taken
 * that response yet.  A stop does not wait for that.
 */
static bool
may_rest_longer(struct hsrv_conn *c)
{
	if (c->srv->idle_ending || c->reqs.length > 0)
		return false;
	if (still_takes(c, hsrv_tcp_unacked(c->tcp))) {
		c->idle_since = h2o_now(c->srv->loop);
		return true;
	}
	return h2o_now(c->srv->loop) - c->idle_since < c->promised_idle_ms;
}

/*
 * Returns whether bytes are in the socket that came while the loop was busy, as
 * timers run before sockets are read.  They may be a whole request, so they are
 * read first, once for each timeout.  The timeout may pass again before that,
 * beside long timers and where a signal interrupts the poll.
 */
static bool
awaits_read(struct hsrv_conn *c)
{
	if (c->idle_delayed && (c->was_read || c->reading_paused))
		return false;
	if (!hsrv_tcp_has_unread(c->tcp))
		return false;
	c->idle_delayed = true;
	c->was_read = false;
	return true;
}

static void
on_idle(h2o_timeout_entry_t *e)
{
	struct hsrv_conn *c = (struct hsrv_conn *)((char *)e -
	    offsetof(struct hsrv_conn, idle_timeout));

	if (awaits_read(c) || may_rest_longer(c))
		h2o_timeout_link(
		    c->srv->loop, &c->srv->linger_timeout, &c->idle_timeout);
	else
		end_idle(c);
}

/*
 * Returns whether the peer still takes what was written before the write side
 * was shut down.
 */
static bool
takes_rest(struct hsrv_conn *c)
{
	size_t unacked = hsrv_tcp_unacked(c->tcp);

	return !((struct hsrv_tcp *)c->tcp)->ending && c->awaiting_peer_close &&
	    unacked > FIN_SIZE && still_takes(c, unacked);
}

static void
on_linger_timeout(h2o_timeout_entry_t *e)
{
	struct hsrv_conn *c = (struct hsrv_conn *)((char *)e -
	    offsetof(struct hsrv_conn, linger_timeout));

	if (takes_rest(c))
		h2o_timeout_link(
		    c->srv->loop, &c->srv->linger_timeout, &c->linger_timeout);
	else
		close_conn(c, "write-error");
}

/* Begins to check that the peer takes what is being written. */
static void
watch_write(struct hsrv_conn *c)
{
	if (uv_stream_get_write_queue_size((uv_stream_t *)c->tcp) == 0)
		return;
	c->unacked = SIZE_MAX;
	h2o_timeout_link(
	    c->srv->loop, &c->srv->stall_timeout, &c->stall_timeout);
}

static void
on_stall_timeout(h2o_timeout_entry_t *e)
{
	struct hsrv_conn *c = (struct hsrv_conn *)((char *)e -
	    offsetof(struct hsrv_conn, stall_timeout));
	size_t unacked = hsrv_tcp_unacked(c->tcp);

	if (unacked >= c->unacked) {
		close_conn(c, "stalled");
		return;
	}
	c->unacked = unacked;
	h2o_timeout_link(
	    c->srv->loop, &c->srv->stall_timeout, &c->stall_timeout);
}

void
hsrv_abort(const h2o_req_t *req)
{
	int fd;

	if (uv_fileno(
		(uv_handle_t *)((struct hsrv_conn *)req->conn)->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

/* Closes the connection once the caller of this function has returned. */
static void
close_soon(struct hsrv_conn *c, const char *why)
{
	note_end(c, why);
	link_linger(c, &c->srv->ctx.zero_timeout);
}

bool
hsrv_cut(h2o_req_t *req)
{
	struct hsrv_req *r = (struct hsrv_req *)req;
	struct hsrv_conn *c;

	if (req->conn->callbacks != &callbacks)
		return false;
	c = r->conn;
	r->send_state = H2O_SEND_STATE_ERROR;
	r->output_ready = true;
	if (g_queue_peek_head(&c->reqs) == r)
		close_soon(c, "cut");
	return true;
}

void
hsrv_conn_end_now(struct hsrv_conn *c, const char *why, bool in_use)
{
	if (!in_use) {
		close_conn(c, why);
		return;
	}
	c->no_more_requests = true;
	c->reading_paused = false;
	uv_read_stop((uv_stream_t *)c->tcp);
	h2o_timeout_unlink(&c->linger_timeout);
	close_soon(c, why);
}

unsigned
hsrv_count_ahead(const h2o_req_t *req)
{
	const struct hsrv_req *r = (const struct hsrv_req *)req;
	const GList *link;
	unsigned n = 0;

	if (req->conn->callbacks != &callbacks)
		return 0;
	for (link = r->link.prev; link != NULL; link = link->prev)
		n++;
	return n;
}

void
hsrv_conn_end_slow_bodies(const struct hsrv_conn *c)
{
	uint64_t now = h2o_now(c->srv->loop);
	struct hsrv_tcp *t;
	GList *link, *next;

	for (link = c->srv->connections.head; link != NULL; link = next) {
		next = link->next;
		t = link->data;
		if (t->conn != NULL && t->conn != c && !t->conn->closed &&
		    has_slow_body(t->conn, now))
			close_conn(t->conn, "slow-body");
	}
}

/* Shuts down the write side and waits for the peer to close. */
static void
await_peer_close(struct hsrv_conn *c)
{
	struct hsrv *s = c->srv;

	c->awaiting_peer_close = true;
	c->unacked = SIZE_MAX;
	h2o_timeout_unlink(&c->idle_timeout);
	link_linger(c, &s->linger_timeout);
	if (!shutdown_writing(c))
		close_conn(c, "write-error");
}

/*
 * Shuts down the write side after the last response, and waits for the peer to
 * take it and to close.  If the connection were closed before, any bytes from
 * the peer that are unread or come later would reset it, and the peer would
 * lose the rest of the response.  Bytes that are read meanwhile are discarded.
 */
static void
shutdown_conn(struct hsrv_conn *c, const char *why)
{
	note_end(c, why);
	note_discarded(c, c->input->len);
	g_byte_array_set_size(c->input, 0);
	resume_reading(c);
	await_peer_close(c);
}

/*
 * Frees requests that have not been handled.  The connection ends before them,
 * so the caller has to treat them as not processed.
 */
static void
free_unhandled(struct hsrv_conn *c)
{
	struct hsrv_req *r;

	while ((r = g_queue_peek_tail(&c->reqs)) != NULL && !r->handled)
		hsrv_req_free(r);
}

/* Returns whether the end of the connection marks the end of the response. */
static bool
is_close_delimited(const struct hsrv_req *r)
{
	return r->req.version < 0x101 && r->req.res.content_length == SIZE_MAX;
}

/* Returns the last request if it has not been handled, else NULL. */
static struct hsrv_req *
unhandled_req(struct hsrv_conn *c)
{
	struct hsrv_req *r = g_queue_peek_tail(&c->reqs);

	return r != NULL && !r->handled ? r : NULL;
}

/*
 * Returns whether the response to the last whole request has not begun, so that
 * it can say that the connection closes.
 */
static bool
has_response_to_begin(struct hsrv_conn *c)
{
	const struct hsrv_req *r = g_queue_peek_tail(&c->reqs);

	if (r != NULL && !r->handled && !r->complete)
		r = r->link.prev == NULL ? NULL : r->link.prev->data;
	return r != NULL && !r->head_sent;
}

/* Rejects input that cannot be parsed; no further request is accepted. */
static void
reject_input(struct hsrv_conn *c)
{
	struct hsrv_req *r = unhandled_req(c);

	c->no_more_requests = true;
	if (r == NULL)
		r = hsrv_req_new(c);
	hsrv_req_reject(r);
}

/*
 * Parses up to the end of the last request, or of a new one behind it.  Returns
 * false if there is nothing to parse, or if the last request has yet to be
 * handled.
 */
static bool
parse_input(struct hsrv_conn *c)
{
	const struct hsrv_req *r = unhandled_req(c);

	if (c->closed || c->no_more_requests || c->input->len == 0)
		return false;
	if (r != NULL ? r->complete : c->reqs.length >= IN_FLIGHT_MAX)
		return false;
	if (hsrv_parse_request(c))
		return true;
	reject_input(c);
	return false;
}

/*
 * Ends the input of a connection on which a request waits for its response:
 * what has been read is still answered, what comes later is discarded, as is a
 * request that has not been read whole.  The last response says that the
 * connection closes, so that callers take the requests behind it as not
 * processed.
 */
static void
end_input(struct hsrv_conn *c)
{
	struct hsrv_req *r = unhandled_req(c);

	c->input_ended = true;
	if (r != NULL && !r->complete)
		hsrv_req_free(r);
}

/*
 * From hsrv_end_input() on, the next response ends the input, as callers that
 * pipeline may always have a request outstanding.  What is in the socket then
 * is read first, so that the response behind it ends the input.
 */
static void
end_input_if_due(struct hsrv_conn *c)
{
	if (!c->srv->input_ended)
		return;
	if (c->input_due || !hsrv_tcp_has_unread(c->tcp))
		end_input(c);
	c->input_due = true;
}

/*
 * Parses what was read behind the last request before the input ended.  A whole
 * request will be answered; of one that is not whole the rest is discarded, so
 * it must not keep the connection open.
 */
static void
parse_rest(struct hsrv_conn *c)
{
	if (parse_input(c))
		end_input(c);
}

/*
 * Returns whether the connection ends with this response.  If it is to end,
 * but later requests are already being handled, it ends after their responses,
 * unless this response is delimited by the close.  At a shutdown it ends once
 * everything that was read, or waits in the socket, has been answered.
 */
static bool
ends_connection(struct hsrv_req *r)
{
	struct hsrv_conn *c = r->conn;

	end_input_if_due(c);
	if (c->input_ended && r->link.next == NULL)
		parse_rest(c);
	if (!r->req.http1_is_persistent || is_close_delimited(r) ||
	    (c->super.ctx->shutdown_requested && r->link.next == NULL &&
		c->input->len == 0 &&
		(c->input_ended || !hsrv_tcp_has_unread(c->tcp))))
		c->no_more_requests = true;
	if (!c->no_more_requests)
		return false;
	free_unhandled(c);
	return r->link.next == NULL || is_close_delimited(r);
}

/*
 * Sets whether the connection ends with a reset when it is closed, also by the
 * end of the process.
 */
static void
set_reset_on_close(struct hsrv_conn *c, bool on)
{
	struct linger linger = {.l_onoff = on};
	int fd;

	if (uv_fileno((uv_handle_t *)c->tcp, &fd) == 0)
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/*
 * Until a response that the end of the connection delimits is written, the
 * connection ends with a reset: without one the response would look whole.
 */
static void
begin_response(struct hsrv_req *r)
{
	uv_buf_t buf;

	r->head_sent = true;
	r->closes_conn = ends_connection(r);
	r->conn->promised_idle_ms = r->conn->srv->stated_idle_s > 0
	    ? r->conn->srv->ctx.http1.req_timeout.timeout
	    : 0;
	if (is_close_delimited(r))
		set_reset_on_close(r->conn, true);
	hsrv_req_format_head(r, r->conn->head);
	buf = uv_buf_init(r->conn->head->str, (unsigned)r->conn->head->len);
	g_array_append_val(r->conn->out_bufs, buf);
}

/* Writes the available part of the response to the first request. */
static void
write_response(struct hsrv_conn *c)
{
	struct hsrv_req *r = g_queue_peek_head(&c->reqs);
	uv_buf_t empty = uv_buf_init(NULL, 0);

	if (c->closed || c->writing || r == NULL || !r->output_ready)
		return;
	r->output_ready = false;
	c->writing = true;
	g_array_set_size(c->out_bufs, 0);
	if (!r->head_sent)
		begin_response(r);
	g_array_append_vals(c->out_bufs, r->out_bufs->data, r->out_bufs->len);
	if (c->out_bufs->len == 0)
		g_array_append_val(c->out_bufs, empty);
	g_array_set_size(r->out_bufs, 0);
	if (uv_write(&c->write, (uv_stream_t *)c->tcp,
		(uv_buf_t *)c->out_bufs->data, c->out_bufs->len,
		on_written) != 0)
		/*
		 * Closing now would free the request while the caller of this
		 * function still uses it.
		 */
		link_linger(c, &c->srv->linger_timeout);
	else
		watch_write(c);
}

/*
 * Ends the first request, whose response was written.  Then continues with the
 * next one or ends the connection.
 */
static void
finish_req(struct hsrv_conn *c, struct hsrv_req *r)
{
	bool truncated = r->send_state == H2O_SEND_STATE_ERROR;
	bool ends =
	    r->closes_conn || (c->no_more_requests && r->link.next == NULL);

	if (!truncated && is_close_delimited(r))
		set_reset_on_close(c, false);
	hsrv_req_free(r);
	c->active_at = end_now(c);
	if (truncated)
		close_conn(c, "cut");
	else if (ends)
		shutdown_conn(c, "last-response");
	else
		process_input(c);
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
	h2o_timeout_unlink(&c->stall_timeout);
	if (status != 0) {
		close_conn(c, "write-error");
		return;
	}
	r = g_queue_peek_head(&c->reqs);
	if (r->send_state != H2O_SEND_STATE_IN_PROGRESS)
		finish_req(c, r);
	else
		h2o_proceed_response(&r->req);
}

/*
 * Returns whether the request can be handled now: either no other request of
 * the connection is in flight, or it may run concurrently with them.  At a
 * shutdown it waits behind a response that is being written and did not say
 * that the connection ends, as it may take the peer longer to read that
 * response than the process lives.
 */
static bool
can_handle(struct hsrv_conn *c, const struct hsrv_req *r)
{
	const struct hsrv_req *first = g_queue_peek_head(&c->reqs);

	if (first == r)
		return true;
	if (c->super.ctx->shutdown_requested && first->head_sent)
		return false;
	return c->srv->may_run_concurrently != NULL &&
	    c->srv->may_run_concurrently(c->srv->handler_ctx, &r->req);
}

/*
 * Handles the last request if it is complete.  Returns false if it has to wait
 * for the responses to earlier ones.
 */
static bool
handle_next(struct hsrv_conn *c)
{
	struct hsrv_req *r = unhandled_req(c);

	if (r == NULL || !r->complete)
		return true;
	if (!can_handle(c, r))
		return false;
	if (!r->req.http1_is_persistent)
		c->no_more_requests = true;
	hsrv_req_handle(r);
	return true;
}

static void
on_continue_written(uv_write_t *req, int status)
{
	struct hsrv_conn *c = (struct hsrv_conn *)((char *)req -
	    offsetof(struct hsrv_conn, continue_write));

	if (status != 0 && !c->closed && !c->awaiting_peer_close)
		close_conn(c, "write-error");
}

/*
 * Sends "100 Continue" if the caller waits for it before sending the body.  It
 * may have to wait itself, behind the rest of an earlier response.  A second
 * one is sent only after the response to this request, and so after this one.
 */
static void
send_continue(struct hsrv_conn *c)
{
	static char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct hsrv_req *r = g_queue_peek_head(&c->reqs);
	uv_buf_t buf = uv_buf_init(text, sizeof(text) - 1);

	if (r == NULL || !r->expects_continue)
		return;
	r->expects_continue = false;
	if (uv_write(&c->continue_write, (uv_stream_t *)c->tcp, &buf, 1,
		on_continue_written) != 0)
		close_conn(c, "write-error");
}

/*
 * Starts or stops the idle timeout.  It runs while no request is being handled,
 * and so also limits the time for reading the head of a request, and the time
 * between two parts of its body.  A request that has begun has the usual time
 * at a stop, too.
 */
static void
update_idle_timeout(struct hsrv_conn *c)
{
	struct hsrv_req *r = g_queue_peek_head(&c->reqs);
	h2o_timeout_t *timeout = &c->srv->ctx.http1.req_timeout;

	if (r != NULL)
		timeout = r->head_text != NULL ? &c->srv->head_timeout
					       : &c->srv->request_timeout;

	if (c->progress) {
		h2o_timeout_unlink(&c->idle_timeout);
		c->idle_delayed = false;
	}
	c->progress = false;
	if (c->awaiting_peer_close || (r != NULL && r->handled))
		h2o_timeout_unlink(&c->idle_timeout);
	else if (!h2o_timeout_is_linked(&c->idle_timeout))
		start_idle_timeout(c, timeout);
}

static void
resume_reading(struct hsrv_conn *c)
{
	if (c->closed || !c->reading_paused || c->input->len >= INPUT_MAX)
		return;
	c->reading_paused = false;
	uv_read_start((uv_stream_t *)c->tcp, on_alloc, on_read);
}

/* Parses the input and handles requests until one has to wait. */
static void
process_input(struct hsrv_conn *c)
{
	while (!c->closed && handle_next(c) && parse_input(c))
		;
	if (!c->closed)
		send_continue(c);
	if (c->closed)
		return;
	update_idle_timeout(c);
	write_response(c);
	resume_reading(c);
	update_held(c);
}

/* Without a response that says so, callers would not learn of the end. */
void
hsrv_conn_end_input(struct hsrv_conn *c)
{
	if (!c->closed && has_response_to_begin(c))
		end_input(c);
}

/*
 * Recognizes the HTTP/2 preface.  A request to upgrade to HTTP/2 is served by
 * HTTP/1.1, as h2o would take over its limits and those of requests behind it.
 */
static bool
is_http2(const char *p, size_t n)
{
	return n == strlen(PREFACE) && memcmp(p, PREFACE, n) == 0;
}

/*
 * h2o closes a connection once its last response was handed to the kernel.  The
 * peer may not have taken it by then, so the connection lingers by the copy of
 * its descriptor.
 */
static void
on_h2o_closed(uv_handle_t *handle)
{
	struct hsrv_tcp *t = (struct hsrv_tcp *)handle, *copy;
	struct hsrv *s = t->srv;
	int fd = t->linger_fd;
	struct hsrv_conn *c;

	hsrv_h2_free(t);
	hsrv_tcp_free(handle);
	if (fd < 0)
		return;
	hsrv_pool_count_descriptors(s, -1);
	copy = hsrv_tcp_new(s);
	if (uv_tcp_open(&copy->tcp, fd) != 0) {
		close(fd);
		uv_close((uv_handle_t *)&copy->tcp, hsrv_tcp_free);
		return;
	}
	c = open_conn(s, &copy->tcp);
	c->protocol_unknown = false;
	shutdown_conn(c, "http2-ended");
}

/*
 * A second after a shutdown is requested, h2o tells the connections of that
 * time which streams are the last ones.  This repeats it for those that are
 * accepted later.
 */
static void
announce_shutdown(struct hsrv *s)
{
	h2o_timeout_entry_t *e = &s->ctx.http2._graceful_shutdown_timeout;

	if (s->ctx.shutdown_requested && !h2o_timeout_is_linked(e))
		h2o_timeout_link(s->loop, &s->ctx.one_sec_timeout, e);
}

/* Passes an HTTP/2 connection to h2o. */
static void
pass_to_h2o(struct hsrv_conn *c)
{
	struct hsrv *s = c->srv;
	uv_tcp_t *tcp = c->tcp;
	h2o_socket_t *sock;
	int fd;

	if (uv_fileno((uv_handle_t *)tcp, &fd) == 0)
		((struct hsrv_tcp *)tcp)->linger_fd =
		    fcntl(fd, F_DUPFD_CLOEXEC, 0);
	if (((struct hsrv_tcp *)tcp)->linger_fd >= 0)
		hsrv_pool_count_descriptors(s, 1);

	((struct hsrv_tcp *)tcp)->conn = NULL;
	uv_read_stop((uv_stream_t *)tcp);
	free_reqs(c);
	g_byte_array_free(c->input, TRUE);
	g_string_free(c->head, TRUE);
	g_array_free(c->out_bufs, TRUE);
	free(c);
	sock = h2o_uv_socket_create((uv_stream_t *)tcp, on_h2o_closed);
	hsrv_h2_open((struct hsrv_tcp *)tcp, sock);
	h2o_accept(&s->accept, sock);
	announce_shutdown(s);
}

/*
 * Inspects the first bytes of the connection without consuming them: h2o reads
 * them again if this is HTTP/2.
 */
static void
detect_http2(struct hsrv_conn *c)
{
	char head[sizeof(PREFACE) - 1];
	ssize_t n;
	int fd;

	c->protocol_unknown = false;
	uv_fileno((uv_handle_t *)c->tcp, &fd);
	n = recv(fd, head, sizeof(head), MSG_PEEK | MSG_DONTWAIT);
	if (n > 0 && is_http2(head, (size_t)n))
		pass_to_h2o(c);
}

/*
 * Called when a connection whose end is not read has something to read: the end
 * of the peer closes it, bytes are left in the socket.
 */
static void
inspect_unread(struct hsrv_conn *c)
{
	char byte;
	ssize_t n;
	int fd;

	uv_fileno((uv_handle_t *)c->tcp, &fd);
	n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0)
		uv_read_stop((uv_stream_t *)c->tcp);
	else if (n == 0 || errno != EAGAIN)
		close_conn(c, "peer-closed");
}

/*
 * Where no bytes may be read, an empty buffer makes libuv report UV_ENOBUFS and
 * read nothing: before the first bytes were inspected, after the end of an idle
 * connection, and while the pool waits for connections to be closed.
 */
static void
on_alloc(uv_handle_t *tcp, size_t n, uv_buf_t *buf)
{
	struct hsrv_conn *c = tcp->data;

	(void)n;
	*buf = uv_buf_init(c->srv->read_buf, sizeof(c->srv->read_buf));
	if (c->protocol_unknown || c->ends_unread ||
	    hsrv_pool_must_wait((struct hsrv_tcp *)c->tcp))
		buf->len = 0;
}

static void
on_read(uv_stream_t *tcp, ssize_t n, const uv_buf_t *buf)
{
	struct hsrv_conn *c = tcp->data;

	if (n == UV_ENOBUFS) {
		if (c->ends_unread)
			inspect_unread(c);
		else if (c->protocol_unknown)
			detect_http2(c);
		return;
	}
	if (n < 0) {
		close_conn(c, n == UV_EOF ? "peer-closed" : "read-error");
		return;
	}
	c->was_read = true;
	((struct hsrv_tcp *)tcp)->read_at = h2o_now(c->srv->loop);
	if (c->awaiting_peer_close)
		note_discarded(c, (size_t)n);
	if (c->awaiting_peer_close || n == 0 ||
	    (c->input_ended && has_response_to_begin(c)))
		return;
	c->active_at = end_now(c);
	g_byte_array_append(c->input, (const guint8 *)buf->base, (guint)n);
	c->input_peak = MAX(c->input_peak, c->input->len);
	if (c->input->len >= INPUT_MAX) {
		c->reading_paused = true;
		uv_read_stop(tcp);
	}
	process_input(c);
}
