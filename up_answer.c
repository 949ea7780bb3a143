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
#include "libup.h"

/*
 * Callbacks of the response parser.  They collect the headers until the head
 * is complete, pass the body to the call and note the end of the response.
 */

/* Idle timeout of a connection if the server states none. */
#define IDLE_DEFAULT_NS (2 * NS_S)

/* A connection is reused for this share of the server's idle timeout. */
enum {
	IDLE_USED_PERCENT = 80,
	IDLE_MAX_S = 24 * 3600 /* of a timeout that a server states */
};

static int on_status(http_parser *, const char *, size_t);
static int on_header_field(http_parser *, const char *, size_t);
static int on_header_value(http_parser *, const char *, size_t);
static int on_headers_complete(http_parser *);
static int on_chunk_header(http_parser *);
static int on_body(http_parser *, const char *, size_t);
static int on_message_complete(http_parser *);

const http_parser_settings up_response_settings = {
    .on_status = on_status,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_chunk_header = on_chunk_header,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
clear_headers(struct up_conn *conn)
{
	g_string_truncate(conn->header_text, 0);
	g_array_set_size(conn->header_spans, 0);
	conn->in_value = false;
}

void
up_response_begin(struct up_conn *conn)
{
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	conn->head_complete = conn->chunk_begun = false;
	conn->line_end_due = conn->status_line_len = 0;
	conn->ninterim = 0;
	clear_headers(conn);
}

static struct up_header_span *
last_span(struct up_conn *conn)
{
	return &g_array_index(conn->header_spans, struct up_header_span,
	    conn->header_spans->len - 1);
}

/* The parser accepts any byte but line ends in the reason of a status line. */
static int
on_status(http_parser *parser, const char *p, size_t n)
{
	size_t i;

	(void)parser;
	for (i = 0; i < n; i++)
		if (g_ascii_iscntrl(p[i]) && p[i] != '\t')
			return -1;
	return 0;
}

/*
 * Names are stored in lower case, because h2o looks them up that way.  The
 * parser accepts blanks in them, also before the colon, and does not recognize
 * a length or a coding by such a name.
 */
static int
on_header_field(http_parser *parser, const char *p, size_t n)
{
	struct up_conn *conn = parser->data;
	struct up_header_span span = {0};
	size_t i;

	if (!str_is_token(str_n(p, n)))
		return -1;
	if (conn->header_spans->len == 0 || conn->in_value) {
		if (conn->header_spans->len == UP_HEADERS_MAX)
			return -1;
		span.name = conn->header_text->len;
		g_array_append_val(conn->header_spans, span);
		conn->in_value = false;
	}
	for (i = 0; i < n; i++)
		g_string_append_c(conn->header_text, g_ascii_tolower(p[i]));
	last_span(conn)->nname += n;
	return 0;
}

static int
on_header_value(http_parser *parser, const char *p, size_t n)
{
	struct up_conn *conn = parser->data;
	struct up_header_span *span = last_span(conn);

	if (!conn->in_value)
		span->value = conn->header_text->len;
	conn->in_value = true;
	g_string_append_len(conn->header_text, p, (gssize)n);
	span->nvalue += n;
	return 0;
}

/*
 * Returns how long to keep an idle connection, by a Keep-Alive header such as
 * "timeout=5" (seconds).
 */
static int64_t
parse_keep_alive(struct str value)
{
	static const char key[] = "timeout=";
	char text[64];
	const char *found;
	int64_t seconds;

	snprintf(text, sizeof(text), "%.*s", STR_ARG(value));
	found = strstr(text, key);
	if (found == NULL)
		return IDLE_DEFAULT_NS;
	seconds = g_ascii_strtoll(found + sizeof(key) - 1, NULL, 10);
	return CLAMP(seconds, 0, IDLE_MAX_S) * NS_S / 100 * IDLE_USED_PERCENT;
}

/*
 * Returns whether a response has no body, whatever length it states: that is
 * the length of the body that another request would get.
 */
static bool
has_no_body(const struct up_call *c, unsigned status)
{
	return c->is_head_request || status < 200 || status == 204 ||
	    status == 304;
}

/* Stores the headers of the head. */
static size_t
read_headers(struct up_conn *conn, h2o_header_t *headers, h2o_iovec_t *names)
{
	struct up_header_span *span;
	guint i;

	for (i = 0; i < conn->header_spans->len; i++) {
		span = &g_array_index(
		    conn->header_spans, struct up_header_span, i);
		names[i] = h2o_iovec_init(
		    conn->header_text->str + span->name, span->nname);
		headers[i] = (h2o_header_t){.name = &names[i],
		    .value = h2o_iovec_init(
			conn->header_text->str + span->value, span->nvalue)};
	}
	return i;
}

static bool
has_name(const h2o_header_t *header, struct str name)
{
	return h2o_memis(header->name->base, header->name->len, name.p, name.n);
}

/*
 * Returns whether the parser undoes the transfer coding of a response.  With
 * any other than "chunked" it passes the body on as it is, up to the end of the
 * connection.
 */
static bool
undoes_coding(const http_parser *parser, const h2o_header_t *headers, size_t n)
{
	const h2o_iovec_t *value;
	size_t i, codings = 0, len;
	bool chunked = false;

	for (i = 0; i < n; i++) {
		if (!has_name(&headers[i], STR_LIT("transfer-encoding")))
			continue;
		value = &headers[i].value;
		for (len = value->len;
		     len > 0 && g_ascii_isspace(value->base[len - 1]); len--)
			;
		codings++;
		chunked = len == strlen("chunked") &&
		    g_ascii_strncasecmp(value->base, "chunked", len) == 0;
		if (!chunked &&
		    (len != strlen("identity") ||
			g_ascii_strncasecmp(value->base, "identity", len) != 0))
			return false;
	}
	return codings <= 1 && chunked == ((parser->flags & F_CHUNKED) != 0);
}

/*
 * Returns 1 if no body follows, which http_parser does not conclude itself.
 * The parser stops at the last byte of the head, for up_response_parse().
 */
static int
on_headers_complete(http_parser *parser)
{
	struct up_conn *conn = parser->data;

	conn->head_complete = true;
	http_parser_pause(parser, 1);
	return has_no_body(conn->call, parser->status_code) ? 1 : 0;
}

/* Keeps the beginning of the status line, behind empty lines. */
static void
read_status_line(struct up_conn *conn, const char *p, size_t n)
{
	for (; n > 0 && conn->status_line_len < UP_STATUS_LINE; p++, n--)
		if (conn->status_line_len > 0 || (*p != '\r' && *p != '\n'))
			conn->status_line[conn->status_line_len++] = *p;
}

/*
 * Returns whether the status has three digits and is one that HTTP allows.  The
 * parser accepts any number of digits, and any number up to 999.
 */
static bool
has_valid_status(const struct up_conn *conn)
{
	const char *status = conn->status_line + strlen("HTTP/1.1 ");
	unsigned code = conn->parser.status_code;

	return code >= 100 && code < 600 &&
	    (unsigned)(status[0] - '0') == code / 100 &&
	    !g_ascii_isdigit(status[3]);
}

/* Passes the head to the call.  Returns false if it is not valid. */
static bool
pass_head(struct up_conn *conn)
{
	struct up_call *c = conn->call;
	unsigned status = conn->parser.status_code;
	h2o_header_t headers[UP_HEADERS_MAX];
	h2o_iovec_t names[UP_HEADERS_MAX];
	int64_t idle_ns = IDLE_DEFAULT_NS;
	size_t i, n = read_headers(conn, headers, names);

	if (!has_valid_status(conn))
		return false;
	/* No request asks for another protocol. */
	if (status == 101 || !undoes_coding(&conn->parser, headers, n))
		return false;
	/* An interim response (1xx) precedes the final one. */
	if (status < 200) {
		conn->status_line_len = 0;
		return ++conn->ninterim <= UP_INTERIM_MAX;
	}
	for (i = 0; i < n; i++)
		if (has_name(&headers[i], STR_LIT("keep-alive")))
			idle_ns = parse_keep_alive(
			    str_n(headers[i].value.base, headers[i].value.len));
	conn->idle_timeout_ns = idle_ns;
	c->ops->head(c->ctx, c, (int)status, headers, n);
	return true;
}

/* The parser stops behind the line with the size of a chunk. */
static int
on_chunk_header(http_parser *parser)
{
	struct up_conn *conn = parser->data;

	conn->chunk_begun = true;
	http_parser_pause(parser, 1);
	return 0;
}

/* Checks the line end behind a chunk, of which a part may have come before. */
static bool
is_line_end(struct up_conn *conn, const char *p)
{
	size_t n = MIN((size_t)(conn->read_end - p), conn->line_end_due);
	bool same = memcmp(p, "\r\n" + 2 - conn->line_end_due, n) == 0;

	conn->line_end_due -= n;
	return same;
}

/*
 * Continues where the parser has stopped before the last byte of a head or
 * behind the line with the size of a chunk, with `next` as the next byte.
 * Returns false if the line feed is missing or the head is not valid.
 */
static bool
pass_stop(struct up_conn *conn, const char *next)
{
	bool head_complete = conn->head_complete;

	conn->head_complete = conn->chunk_begun = false;
	http_parser_pause(&conn->parser, 0);
	if (!head_complete)
		return next[-1] == '\n';
	return *next == '\n' && pass_head(conn);
}

/*
 * http_parser as it is built by distributions takes any byte for the line feed
 * behind a carriage return that ends a head, a trailer or the size of a chunk,
 * and any two for the line end behind a chunk, so these are checked here.
 */
bool
up_response_parse(struct up_conn *conn, const char *p, size_t n, size_t *used)
{
	http_parser *parser = &conn->parser;

	conn->read_end = p + n;
	*used = 0;
	if (!is_line_end(conn, p))
		return false;
	/* No bytes would be the end of the connection for the parser. */
	while (*used < n) {
		read_status_line(conn, p + *used, n - *used);
		*used += http_parser_execute(
		    parser, &up_response_settings, p + *used, n - *used);
		if (conn->closing ||
		    (!conn->head_complete && !conn->chunk_begun))
			break;
		if (!pass_stop(conn, p + *used))
			return false;
		if (conn->closing)
			break;
	}
	if (conn->response_complete && (parser->flags & F_CHUNKED) != 0 &&
	    (parser->flags & F_SKIPBODY) == 0 && p[*used - 1] != '\n')
		return false;
	return conn->response_complete || HTTP_PARSER_ERRNO(parser) == HPE_OK;
}

static int
on_body(http_parser *parser, const char *p, size_t n)
{
	struct up_conn *conn = parser->data;
	struct up_call *c = conn->call;

	if ((parser->flags & F_CHUNKED) != 0 && parser->content_length == 0) {
		conn->line_end_due = 2;
		if (!is_line_end(conn, p + n))
			return -1;
	}
	if (c->ops == &up_drain_ops)
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
	struct up_conn *conn = parser->data;

	if (parser->status_code < 200) {
		clear_headers(conn);
		return 0;
	}
	conn->response_complete = true;
	http_parser_pause(parser, 1);
	return 0;
}
