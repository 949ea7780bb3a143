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
 * The parser's findings in an answer: its headers are gathered until the head
 * is complete, its body goes to the call, its end marks the connection.
 */

/* An idle connection is kept so long where the other side says nothing. */
#define IDLE_NS (2 * NS_S)

/* Of the idle time that the other side states, this share is used. */
enum { IDLE_USED_PERCENT = 80 };

static int on_header_field(http_parser *, const char *, size_t);
static int on_header_value(http_parser *, const char *, size_t);
static int on_headers_complete(http_parser *);
static int on_body(http_parser *, const char *, size_t);
static int on_message_complete(http_parser *);

const http_parser_settings up_response_settings = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
forget_headers(struct up_conn *conn)
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
	forget_headers(conn);
}

static struct up_header_span *
last_mark(struct up_conn *conn)
{
	return &g_array_index(conn->header_spans, struct up_header_span,
	    conn->header_spans->len - 1);
}

/* Names are kept in lower case, as h2o looks them up. */
static int
on_header_field(http_parser *parser, const char *p, size_t n)
{
	struct up_conn *conn = parser->data;
	struct up_header_span mark = {0};
	size_t i;

	if (conn->header_spans->len == 0 || conn->in_value) {
		if (conn->header_spans->len == UP_HEADERS_MAX)
			return -1;
		mark.name = conn->header_text->len;
		g_array_append_val(conn->header_spans, mark);
		conn->in_value = false;
	}
	for (i = 0; i < n; i++)
		g_string_append_c(conn->header_text, g_ascii_tolower(p[i]));
	last_mark(conn)->nname += n;
	return 0;
}

static int
on_header_value(http_parser *parser, const char *p, size_t n)
{
	struct up_conn *conn = parser->data;
	struct up_header_span *mark = last_mark(conn);

	if (!conn->in_value)
		mark->value = conn->header_text->len;
	conn->in_value = true;
	g_string_append_len(conn->header_text, p, (gssize)n);
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
	struct up_conn *conn = parser->data;
	struct up_call *c = conn->call;
	h2o_header_t headers[UP_HEADERS_MAX];
	h2o_iovec_t names[UP_HEADERS_MAX];
	const struct up_header_span *m;
	int64_t idle = IDLE_NS;
	guint i;

	for (i = 0; i < conn->header_spans->len; i++) {
		m = &g_array_index(
		    conn->header_spans, struct up_header_span, i);
		names[i] =
		    h2o_iovec_init(conn->header_text->str + m->name, m->nname);
		headers[i] = (h2o_header_t){.name = &names[i],
		    .value = h2o_iovec_init(
			conn->header_text->str + m->value, m->nvalue)};
		if (h2o_memis(
			names[i].base, names[i].len, H2O_STRLIT("keep-alive")))
			idle = idle_time(
			    str_n(headers[i].value.base, headers[i].value.len));
	}
	/* An interim answer (100) is no answer yet. */
	if (parser->status_code < 200)
		return 0;
	conn->idle_timeout_ns = idle;
	c->ops->head(
	    c->ctx, c, parser->status_code, headers, conn->header_spans->len);
	if (conn->closing)
		return -1;
	return c->is_head_request ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *p, size_t n)
{
	struct up_conn *conn = parser->data;
	struct up_call *c = conn->call;

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
		forget_headers(conn);
		return 0;
	}
	conn->response_complete = true;
	http_parser_pause(parser, 1);
	return 0;
}
