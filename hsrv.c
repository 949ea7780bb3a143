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
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "field.h"
#include "libhsrv.h"

/* Setup, limits and shutdown of the HTTP server, and access to requests. */

enum {
	BACKLOG = 1024,
	LINGER_MS = 500, /* time for a caller to read the last response */
	STALL_MS = 15000,
	/*
	 * A caller may be told of a close as late as this: the loop or the link
	 * of the box may be busy.
	 */
	STATED_MARGIN_MS = 1000
};

struct request_handler {
	h2o_handler_t super;
	struct hsrv *srv;
};

static int on_request(h2o_handler_t *, h2o_req_t *);
static void on_connection(uv_stream_t *, int);
static bool listen_on(struct hsrv *, struct str, GError **);
static void change_timeout(struct hsrv *, h2o_timeout_t *, uint64_t);

/*
 * Adds headers to the error responses that are sent before a handler gets the
 * request: the error kind, and "fern-ran: no", because no backend server has
 * received the request.
 */
static void
add_error_headers(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **next)
{
	enum err_kind kind = ERR_BAD_REQUEST;

	(void)self;
	if (req->res.status == 413 || req->res.status == 431)
		kind = ERR_TOO_LARGE;
	if (req->res.status == 503)
		kind = ERR_NO_ROOM;
	if (kind == ERR_NO_ROOM)
		h2o_add_header_by_str(&req->pool, &req->res.headers,
		    H2O_STRLIT("retry-after"), 0, NULL, H2O_STRLIT("1"));
	h2o_add_header_by_str(&req->pool, &req->res.headers,
	    H2O_STRLIT("fern-error"), 0, NULL, err_lookup(kind)->name,
	    strlen(err_lookup(kind)->name));
	h2o_add_header_by_str(&req->pool, &req->res.headers,
	    H2O_STRLIT("fern-ran"), 0, NULL, H2O_STRLIT("no"));
	h2o_setup_next_ostream(req, next);
}

struct hsrv *
hsrv_open(uv_loop_t *loop, struct str address, size_t body_max,
    hsrv_handler_fn *fn, void *ctx, GError **err)
{
	struct hsrv *s = g_new0(struct hsrv, 1);
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	h2o_filter_t *filter;
	struct request_handler *handler;

	s->loop = loop;
	s->handler = fn;
	s->handler_ctx = ctx;
	h2o_config_init(&s->conf);
	s->conf.max_request_entity_size = body_max;
	s->conf.server_name = h2o_iovec_init(H2O_STRLIT("fernjunction"));
	host = h2o_config_register_host(
	    &s->conf, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct request_handler *)h2o_create_handler(
	    path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->srv = s;
	filter = h2o_create_filter(&host->fallback_path, sizeof(*filter));
	filter->on_setup_ostream = add_error_headers;
	h2o_context_init(&s->ctx, loop, &s->conf);
	h2o_timeout_init(loop, &s->linger_timeout, LINGER_MS);
	h2o_timeout_init(loop, &s->stall_timeout, STALL_MS);
	h2o_timeout_init(
	    loop, &s->request_timeout, s->ctx.http1.req_timeout.timeout);
	h2o_timeout_init(
	    loop, &s->head_timeout, s->ctx.http1.req_timeout.timeout);
	s->head_max = HSRV_HEAD_MAX;
	s->accept.ctx = &s->ctx;
	s->accept.hosts = s->conf.hosts;
	if (listen_on(s, address, err))
		return s;
	return NULL;
}

static bool
listen_on(struct hsrv *s, struct str address, GError **err)
{
	struct sockaddr_storage sa;
	char ip[INET6_ADDRSTRLEN];
	uint16_t port = 0;
	int rc;

	if (!field_parse_address(address, ip, sizeof(ip), &port))
		return err_set(
		    err, ERR_SYSTEM, "invalid address: %.*s", STR_ARG(address));
	if (uv_ip4_addr(ip, port, (struct sockaddr_in *)&sa) != 0)
		uv_ip6_addr(ip, port, (struct sockaddr_in6 *)&sa);
	uv_tcp_init(s->loop, &s->listener);
	s->listener.data = s;
	rc = uv_tcp_bind(&s->listener, (struct sockaddr *)&sa, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&s->listener, BACKLOG, on_connection);
	if (rc != 0)
		return err_set(err, ERR_SYSTEM, "%.*s: %s", STR_ARG(address),
		    uv_strerror(rc));
	s->listening = true;
	return true;
}

struct hsrv_tcp *
hsrv_tcp_new(struct hsrv *s)
{
	struct hsrv_tcp *t = g_new0(struct hsrv_tcp, 1);

	t->srv = s;
	t->linger_fd = -1;
	t->read_at = h2o_now(s->loop);
	hsrv_pool_count_descriptors(s, 1);
	t->link.data = t;
	g_queue_push_tail_link(&s->connections, &t->link);
	uv_tcp_init(s->loop, &t->tcp);
	return t;
}

void
hsrv_tcp_free(uv_handle_t *handle)
{
	struct hsrv_tcp *t = (struct hsrv_tcp *)handle;

	hsrv_tcp_leave_pool(t);
	hsrv_pool_count_descriptors(t->srv, -1);
	g_queue_unlink(&t->srv->connections, &t->link);
	g_free(t);
}

size_t
hsrv_tcp_unacked(const uv_tcp_t *tcp)
{
	int fd, in_socket = 0;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
	    ioctl(fd, SIOCOUTQ, &in_socket) != 0)
		in_socket = 0;
	return uv_stream_get_write_queue_size((const uv_stream_t *)tcp) +
	    (size_t)in_socket;
}

bool
hsrv_tcp_has_unread(const uv_tcp_t *tcp)
{
	int fd, in_socket = 0;

	return uv_fileno((const uv_handle_t *)tcp, &fd) == 0 &&
	    ioctl(fd, FIONREAD, &in_socket) == 0 && in_socket > 0;
}

struct hsrv_open_count
hsrv_count_open(const struct hsrv *s)
{
	struct hsrv_open_count count = {0};
	const struct hsrv_tcp *t;
	const GList *link;

	for (link = s->connections.head; link != NULL; link = link->next) {
		t = link->data;
		count.connections++;
		count.unacked += hsrv_tcp_unacked(&t->tcp);
	}
	return count;
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct hsrv *s = listener->data;
	struct hsrv_tcp *t;

	if (status != 0)
		return;
	t = hsrv_tcp_new(s);
	if (uv_accept(listener, (uv_stream_t *)&t->tcp) != 0) {
		uv_close((uv_handle_t *)&t->tcp, hsrv_tcp_free);
		return;
	}
	uv_tcp_nodelay(&t->tcp, 1);
	hsrv_conn_open(s, &t->tcp);
	hsrv_pool_bound_descriptors(s);
}

/*
 * Accepts the connections in the listener's queue, which its close would reset
 * together with the requests that have come on them.
 */
static void
accept_queued(struct hsrv *s)
{
	struct hsrv_tcp *t;
	int listener, fd;

	if (uv_fileno((uv_handle_t *)&s->listener, &listener) != 0)
		return;
	while ((fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		t = hsrv_tcp_new(s);
		if (uv_tcp_open(&t->tcp, fd) != 0) {
			close(fd);
			uv_close((uv_handle_t *)&t->tcp, hsrv_tcp_free);
			continue;
		}
		uv_tcp_nodelay(&t->tcp, 1);
		hsrv_conn_open(s, &t->tcp);
	}
}

static int
on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct hsrv *s = ((struct request_handler *)self)->srv;

	if (hsrv_conn_tcp(req) == NULL && !hsrv_h2_begin(s, req))
		h2o_send_error_generic(req, 431,
		    "Request Header Fields Too Large",
		    "the head is too large\n", 0);
	else
		s->handler(s->handler_ctx, req);
	return 0;
}

void
hsrv_allow_concurrent(struct hsrv *s, hsrv_concurrent_fn *fn)
{
	s->may_run_concurrently = fn;
}

/*
 * Changes a timeout of entries that may be linked.  h2o does not set its timer
 * anew for them, so that a shorter timeout would wait for the former one.
 */
static void
change_timeout(struct hsrv *s, h2o_timeout_t *timeout, uint64_t ms)
{
	timeout->timeout = ms;
	h2o_timeout_run(s->loop, timeout, h2o_now(s->loop));
	if (!h2o_linklist_is_empty(&timeout->_entries))
		h2o_timeout__do_link(s->loop, timeout,
		    H2O_STRUCT_FROM_MEMBER(
			h2o_timeout_entry_t, _link, timeout->_entries.next));
}

/*
 * Idle connections and slow requests have the same limit, until idle ones are
 * closed earlier by hsrv_close_idle().
 */
void
hsrv_set_limits(struct hsrv *s, size_t body_max, uint64_t idle_ms)
{
	uint64_t margin_ms = MAX(idle_ms / 5, (uint64_t)STATED_MARGIN_MS);

	s->stated_idle_s =
	    idle_ms > margin_ms ? (idle_ms - margin_ms) / 1000 : 0;
	s->conf.max_request_entity_size = body_max;
	change_timeout(s, &s->ctx.http1.req_timeout, idle_ms);
	change_timeout(s, &s->request_timeout, idle_ms);
	change_timeout(s, &s->head_timeout, idle_ms);
}

void
hsrv_set_head_limits(struct hsrv *s, size_t max, uint64_t ms)
{
	static size_t parser_max = HSRV_HEAD_MAX;

	s->head_max = max;
	change_timeout(s, &s->head_timeout, ms);
	/* One limit holds for all parsers of the process. */
	parser_max = MAX(parser_max, max);
	http_parser_set_max_header_size((uint32_t)parser_max);
}

void
hsrv_limit_room(struct hsrv *s, struct hsrv_room *room)
{
	s->room = room;
}

void
hsrv_set_stall_limit(struct hsrv *s, uint64_t ms)
{
	s->stall_timeout.timeout = ms;
}

void
hsrv_watch_ends(
    struct hsrv *s, const struct clk *clk, hsrv_end_fn *fn, void *ctx)
{
	s->end_clk = clk;
	s->on_end = fn;
	s->end_ctx = ctx;
}

void
hsrv_close_idle(struct hsrv *s, uint64_t idle_ms)
{
	h2o_timeout_t *idle = &s->ctx.http1.req_timeout;

	s->idle_ending = true;
	change_timeout(s, idle, MIN(idle->timeout, idle_ms));
}

void
hsrv_end_input(struct hsrv *s)
{
	const struct hsrv_tcp *t;
	const GList *link;

	if (s->input_ended)
		return;
	s->input_ended = true;
	for (link = s->connections.head; link != NULL; link = link->next) {
		t = link->data;
		if (t->conn != NULL)
			hsrv_conn_end_input(t->conn);
	}
}

bool
hsrv_stop_accepting(struct hsrv *s)
{
	if (!s->listening)
		return false;
	s->listening = false;
	accept_queued(s);
	uv_close((uv_handle_t *)&s->listener, NULL);
	return true;
}

void
hsrv_shutdown(struct hsrv *s)
{
	h2o_context_request_shutdown(&s->ctx);
}

void
hsrv_send_response(
    h2o_req_t *req, int status, const char *type, struct str body)
{
	h2o_iovec_t copy = h2o_strdup(&req->pool, body.p, body.n);

	req->res.status = status;
	req->res.reason = status < 400 ? "OK" : "Refused";
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
	    NULL, type, strlen(type));
	req->res.content_length = copy.len;
	h2o_send_inline(req, copy.base, copy.len);
}

struct str
hsrv_header(const h2o_req_t *req, const char *name)
{
	ssize_t i =
	    h2o_find_header_by_str(&req->headers, name, strlen(name), SIZE_MAX);

	if (i < 0)
		return str_c(NULL);
	return str_n(req->headers.entries[i].value.base,
	    req->headers.entries[i].value.len);
}

struct str
hsrv_query(const h2o_req_t *req, const char *name)
{
	size_t n = strlen(name), start, end;

	if (req->query_at == SIZE_MAX)
		return str_c(NULL);
	for (start = req->query_at + 1; start < req->path.len;
	     start = end + 1) {
		const char *p = req->path.base + start;

		for (end = start; end < req->path.len; end++)
			if (req->path.base[end] == '&')
				break;
		if (end - start > n && memcmp(p, name, n) == 0 && p[n] == '=')
			return str_n(p + n + 1, end - start - n - 1);
	}
	return str_c(NULL);
}

struct str
hsrv_path(const h2o_req_t *req)
{
	size_t n = req->query_at == SIZE_MAX ? req->path.len : req->query_at;

	return str_n(req->path.base, n);
}
