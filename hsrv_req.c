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
#include "libhsrv.h"

/* Requests of a connection, and the output of their responses by h2o. */

/* About the bytes of a request with the first part of its memory pool. */
enum { REQ_SIZE = sizeof(struct hsrv_req) + 4096 };

/*
 * Receives the next part of the response from h2o.  For a response that is
 * aborted, h2o passes an invalid chunk.  It is not sent, because with it a
 * caller could not tell the bytes received so far from a malformed response;
 * the connection is closed instead.
 */
static void
on_send(h2o_ostream_t *out, h2o_req_t *req, h2o_iovec_t *bufs, size_t n,
    h2o_send_state_t state)
{
	struct hsrv_req *r = (struct hsrv_req *)((char *)out -
	    offsetof(struct hsrv_req, ostream));
	uv_buf_t buf;
	size_t i;

	(void)req;
	if (state == H2O_SEND_STATE_ERROR)
		n = 0;
	for (i = 0; i < n; i++) {
		buf = uv_buf_init(bufs[i].base, (unsigned)bufs[i].len);
		if (buf.len > 0)
			g_array_append_val(r->out_bufs, buf);
	}
	r->send_state = state;
	r->output_ready = true;
	r->conn->on_output_ready(r->conn);
}

struct hsrv_req *
hsrv_req_new(struct hsrv_conn *c)
{
	struct hsrv_req *r = g_new0(struct hsrv_req, 1);

	h2o_init_request(&r->req, &c->super, NULL);
	r->ostream.do_send = on_send;
	r->req._ostr_top = &r->ostream;
	r->conn = c;
	r->head_text = g_string_new(NULL);
	r->offsets = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	r->out_bufs = g_array_new(FALSE, FALSE, sizeof(uv_buf_t));
	r->link.data = r;
	g_queue_push_tail_link(&c->reqs, &r->link);
	return r;
}

size_t
hsrv_req_count_held(const struct hsrv_req *r)
{
	size_t n = REQ_SIZE + r->head_held;

	if (r->head_text != NULL)
		n += r->head_text->allocated_len +
		    2 * r->offsets->len * sizeof(uint32_t);
	if (r->body != NULL)
		n += r->body->len;
	return n;
}

void
hsrv_req_free_head(struct hsrv_req *r)
{
	if (r->head_text == NULL)
		return;
	g_string_free(r->head_text, TRUE);
	g_array_free(r->offsets, TRUE);
	r->head_text = NULL;
	r->offsets = NULL;
}

void
hsrv_req_free(struct hsrv_req *r)
{
	g_queue_unlink(&r->conn->reqs, &r->link);
	if (r->conn->parsing == r)
		r->conn->parsing = NULL;
	h2o_dispose_request(&r->req);
	hsrv_req_free_head(r);
	g_array_free(r->out_bufs, TRUE);
	if (r->body != NULL)
		g_byte_array_free(r->body, TRUE);
	if (r->reserved > 0)
		r->conn->srv->room->held -= r->reserved;
	g_free(r);
}

void
hsrv_req_handle(struct hsrv_req *r)
{
	r->handled = true;
	if (r->body != NULL)
		r->req.entity = h2o_iovec_init(r->body->data, r->body->len);
	h2o_process_request(&r->req);
}

/*
 * The parts of the request that were not parsed get default values, which h2o
 * needs for the error response.
 */
void
hsrv_req_reject(struct hsrv_req *r)
{
	r->handled = true;
	r->req.http1_is_persistent = 0;
	if (r->req.input.method.base == NULL)
		r->req.input.method = h2o_iovec_init(H2O_STRLIT("GET"));
	if (r->req.input.path.base == NULL)
		r->req.input.path = h2o_iovec_init(H2O_STRLIT("/"));
	r->req.input.scheme = &H2O_URL_SCHEME_HTTP;
	if (r->head_too_large)
		h2o_send_error_generic(&r->req, 431,
		    "Request Header Fields Too Large",
		    "the head is too large\n", 0);
	else if (r->no_room)
		h2o_send_error_generic(&r->req, 503, "Service Unavailable",
		    "there is no memory for the body now\n", 0);
	else if (r->too_large)
		h2o_send_error_generic(&r->req, 413, "Payload Too Large",
		    "the body is too large\n", 0);
	else
		h2o_send_error_400(
		    &r->req, "Bad Request", "the request cannot be read\n", 0);
}

static void
append_iovec(GString *to, h2o_iovec_t v)
{
	g_string_append_len(to, v.base, (gssize)v.len);
}

void
hsrv_req_format_head(const struct hsrv_req *r, GString *to)
{
	const h2o_res_t *res = &r->req.res;
	const h2o_timestamp_t *time = &r->req.processed_at;
	const struct hsrv *srv = r->conn->srv;
	size_t i;

	g_string_printf(to, "HTTP/1.1 %d %s\r\nconnection: %s\r\n", res->status,
	    res->reason, r->closes_conn ? "close" : "keep-alive");
	if (!r->closes_conn && srv->stated_idle_s > 0)
		g_string_append_printf(to, "keep-alive: timeout=%llu\r\n",
		    (unsigned long long)srv->stated_idle_s);
	append_iovec(
	    to, h2o_iovec_init(H2O_STRLIT("server: fernjunction\r\n")));
	if (time->str != NULL)
		g_string_append_printf(to, "date: %s\r\n", time->str->rfc1123);
	if (res->content_length != SIZE_MAX)
		g_string_append_printf(
		    to, "content-length: %zu\r\n", res->content_length);
	for (i = 0; i < res->headers.size; i++) {
		append_iovec(to, *res->headers.entries[i].name);
		g_string_append(to, ": ");
		append_iovec(to, res->headers.entries[i].value);
		g_string_append(to, "\r\n");
	}
	g_string_append(to, "\r\n");
}
