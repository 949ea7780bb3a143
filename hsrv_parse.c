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

#include "libhsrv.h"
#include "slog.h"

/* Parses the input of a connection into requests with http_parser. */

/* Bytes of a header in h2o's list, and of its name there. */
enum { FIELD_SIZE = sizeof(h2o_header_t) + 2 * sizeof(h2o_iovec_t) };

/* Latest version of HTTP in which connections of this kind are served. */
enum { HTTP_VERSION_MAX = 0x101 };

static int on_message_begin(http_parser *);
static int on_url(http_parser *, const char *, size_t);
static int on_header_field(http_parser *, const char *, size_t);
static int on_header_value(http_parser *, const char *, size_t);
static int on_headers_complete(http_parser *);
static int on_body(http_parser *, const char *, size_t);
static int on_message_complete(http_parser *);

static const http_parser_settings settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static struct hsrv_req *
current_req(http_parser *p)
{
	return ((struct hsrv_conn *)p->data)->parsing;
}

static int
on_message_begin(http_parser *p)
{
	struct hsrv_conn *c = p->data;

	c->parsing = hsrv_req_new(c);
	c->progress = true;
	return 0;
}

/*
 * Appends to the text of the head.  Returns -1, for the parser, if the head is
 * larger than the limit.
 */
static int
append_text(struct hsrv_req *r, const char *at, size_t n)
{
	/* A header takes a colon and a line end besides. */
	size_t ends = r->offsets->len / 2 * strlen(":\r\n");

	r->head_too_large =
	    r->head_text->len + n + ends > r->conn->srv->head_max;
	if (r->head_too_large)
		return -1;
	g_string_append_len(r->head_text, at, (gssize)n);
	return 0;
}

static int
on_url(http_parser *p, const char *at, size_t n)
{
	return append_text(current_req(p), at, n);
}

/*
 * Appends a part of a header name or value; the parser may split both.  The
 * number of offsets is odd while the last part belongs to a name: names and
 * values alternate, and the request target before them has no offset.  What
 * comes behind the head is a trailer, which is not used.
 */
static int
append_part(struct hsrv_req *r, bool is_name, const char *at, size_t n)
{
	uint32_t offset;

	if (r->head_text == NULL)
		return 0;
	offset = (uint32_t)r->head_text->len;
	if ((r->offsets->len % 2 == 0) == is_name)
		g_array_append_val(r->offsets, offset);
	return append_text(r, at, n);
}

/*
 * The parser accepts blanks in names, and knows no length by such a name, but a
 * backend server may.
 */
static int
on_header_field(http_parser *p, const char *at, size_t n)
{
	if (!str_is_token(str_n(at, n)))
		return -1;
	return append_part(current_req(p), true, at, n);
}

static int
on_header_value(http_parser *p, const char *at, size_t n)
{
	return append_part(current_req(p), false, at, n);
}

/* Sets a header that h2o does not keep in its header list. */
static void
set_special(struct hsrv_req *r, const h2o_token_t *token, h2o_iovec_t value)
{
	if (token == H2O_TOKEN_HOST)
		r->req.input.authority = value;
	else if (token == H2O_TOKEN_EXPECT)
		r->expects_continue = h2o_lcstris(
		    value.base, value.len, H2O_STRLIT("100-continue"));
}

static void
add_header(struct hsrv_req *r, h2o_iovec_t name, h2o_iovec_t value)
{
	h2o_req_t *req = &r->req;
	const h2o_token_t *token;

	h2o_strtolower(name.base, name.len);
	token = h2o_lookup_token(name.base, name.len);
	if (token == NULL)
		h2o_add_header_by_str(&req->pool, &req->headers, name.base,
		    name.len, 0, NULL, value.base, value.len);
	else if (token->is_init_header_special)
		set_special(r, token, value);
	else
		h2o_add_header(&req->pool, &req->headers, token, NULL,
		    value.base, value.len);
}

/*
 * Returns the start of the i-th name or value, counting both; the end of the
 * text if i is past the last one.
 */
static char *
start_of(const struct hsrv_req *r, h2o_iovec_t text, guint i)
{
	if (i >= r->offsets->len)
		return text.base + text.len;
	return text.base + g_array_index(r->offsets, uint32_t, i);
}

static void
add_headers(struct hsrv_req *r, h2o_iovec_t text)
{
	char *name, *value, *end;
	guint i;

	/* A vector that grows leaves what it had in the memory pool. */
	h2o_vector_reserve(
	    &r->req.pool, &r->req.headers, MAX(r->offsets->len / 2, 1));
	for (i = 0; i + 1 < r->offsets->len; i += 2) {
		name = start_of(r, text, i);
		value = start_of(r, text, i + 1);
		end = start_of(r, text, i + 2);
		add_header(r, h2o_iovec_init(name, (size_t)(value - name)),
		    h2o_iovec_init(value, (size_t)(end - value)));
	}
}

/*
 * Sets the request target, which is a path or an absolute URL.  Returns false
 * for any other form.
 */
static bool
set_target(struct hsrv_req *r, const char *target, size_t n)
{
	h2o_url_t url;

	r->req.input.scheme = &H2O_URL_SCHEME_HTTP;
	r->req.input.path = h2o_iovec_init(target, n);
	if (n > 0 && target[0] == '/')
		return true;
	if (h2o_url_parse(target, n, &url) != 0)
		return false;
	r->req.input.authority = url.authority;
	r->req.input.path = url.path;
	return true;
}

static bool
set_head(struct hsrv_req *r, const http_parser *p)
{
	const char *method = http_method_str((enum http_method)p->method);
	h2o_iovec_t text;
	bool valid;

	/* It is copied here, and once more when the request is sent. */
	r->head_held = 2 * r->head_text->len + r->offsets->len / 2 * FIELD_SIZE;
	text = h2o_strdup(&r->req.pool, r->head_text->str, r->head_text->len);
	r->req.input.method = h2o_iovec_init(method, strlen(method));
	/* h2o sends chunks to callers of exactly this version. */
	r->req.version =
	    MIN(p->http_major << 8 | p->http_minor, HTTP_VERSION_MAX);
	r->req.http1_is_persistent = http_should_keep_alive(p) != 0;
	add_headers(r, text);
	valid = set_target(
	    r, text.base, (size_t)(start_of(r, text, 0) - text.base));
	hsrv_req_free_head(r);
	return valid;
}

/*
 * Takes room for bytes of a body; returns false if there is none now, or never
 * for so many.
 */
static bool
reserve(struct hsrv_req *r, uint64_t n)
{
	struct hsrv_room *room = r->conn->srv->room;

	if (room == NULL)
		return true;
	r->too_large = n > room->max - r->reserved;
	if (r->too_large)
		return false;
	if (n > room->max - MIN(room->held, room->max))
		hsrv_conn_end_slow_bodies(r->conn);
	r->no_room = n > room->max - MIN(room->held, room->max);
	if (r->no_room) {
		slog_decision(SLOG_GATE, "no room for a body",
		    "bytes=%llu held=%zu max=%zu", (unsigned long long)n,
		    room->held, room->max);
		return false;
	}
	room->held += n;
	r->reserved += n;
	return true;
}

/* A request to upgrade to another protocol is ignored. */
static int
on_headers_complete(http_parser *p)
{
	struct hsrv_req *r = current_req(p);

	if (!set_head(r, p))
		return -1;
	r->conn->progress = true;
	r->body_since = h2o_now(r->conn->srv->loop);
	p->upgrade = 0;
	r->too_large = (p->flags & F_CONTENTLENGTH) != 0 &&
	    p->content_length > r->conn->srv->conf.max_request_entity_size;
	if (r->too_large)
		return -1;
	if ((p->flags & F_CONTENTLENGTH) != 0 && !reserve(r, p->content_length))
		return -1;
	return 0;
}

/* A body that grows would leave holes of its former sizes in the heap. */
static GByteArray *
new_body(const http_parser *p, size_t first)
{
	uint64_t rest =
	    (p->flags & F_CONTENTLENGTH) != 0 ? p->content_length : 0;

	return g_byte_array_sized_new((guint)(first + rest));
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
	struct hsrv_req *r = current_req(p);

	if (r->body == NULL)
		r->body = new_body(p, n);
	r->too_large =
	    r->body->len + n > r->conn->srv->conf.max_request_entity_size;
	if (r->too_large)
		return -1;
	if ((p->flags & F_CONTENTLENGTH) == 0 && !reserve(r, n))
		return -1;
	g_byte_array_append(r->body, (const guint8 *)at, (guint)n);
	r->conn->progress = true;
	return 0;
}

/* Pauses the parser, so that it parses one request per call. */
static int
on_message_complete(http_parser *p)
{
	struct hsrv_req *r = current_req(p);

	r->complete = true;
	r->expects_continue = false;
	((struct hsrv_conn *)p->data)->parsing = NULL;
	http_parser_pause(p, 1);
	return 0;
}

void
hsrv_parser_init(struct hsrv_conn *c)
{
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
}

bool
hsrv_parse_request(struct hsrv_conn *c)
{
	size_t n;

	n = http_parser_execute(
	    &c->parser, &settings, (const char *)c->input->data, c->input->len);
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED)
		http_parser_pause(&c->parser, 0);
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_HEADER_OVERFLOW &&
	    c->parsing != NULL)
		c->parsing->head_too_large = true;
	if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK)
		return false;
	g_byte_array_remove_range(c->input, 0, (guint)n);
	return true;
}
