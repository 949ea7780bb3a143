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
#ifndef LIBUP_H
#define LIBUP_H

#include <http_parser.h>

#include "up.h"

/*
 * Shared by the files of the HTTP client: up_call.c, up_answer.c, up_conn.c and
 * up.c, each of which uses only those before it.
 */

enum {
	UP_READ_MAX = 64 * 1024, /* bytes per read */
	UP_HEADERS_MAX = 100, /* headers of a response */
	UP_INTERIM_MAX = 64, /* interim responses (1xx) before the final one */
	UP_STATUS_LINE = sizeof("HTTP/1.1 200 ") - 1
};

/* The idle connections to one address. */
struct up_pool {
	struct up *up;
	struct sockaddr_storage sa;
	GQueue idle_conns; /* struct up_conn *, most recently used first */
};

struct up {
	uv_loop_t *loop;
	struct tmr *tmr;
	const struct clk *clk;
	GHashTable *pools; /* char * address to struct up_pool * */
	char read_buf[UP_READ_MAX]; /* shared read buffer of all connections */
};

struct up_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct up_pool *pool;
	struct up_call *call; /* NULL: idle, or closing */
	GList link; /* in pool->idle_conns */
	bool idle, closing, reading, writing;
	bool response_complete;
	bool has_surplus; /* bytes were received after the response */
	bool write_failed; /* the socket has told its error */
	bool head_complete; /* and not yet passed to the call */
	bool chunk_begun; /* the line with its size has come */
	/* Bytes of the line end behind a chunk that are yet to come. */
	size_t line_end_due;
	const char *read_end; /* of the bytes that are being parsed */
	int64_t idle_timeout_ns; /* according to the last response */
	int64_t idle_until; /* not reused after this time, in ns */
	http_parser parser;
	/* The beginning of the head, with a line end behind a short one. */
	char status_line[UP_STATUS_LINE];
	size_t status_line_len;
	unsigned ninterim; /* interim responses so far */
	GString *header_text; /* header names and values, concatenated */
	GArray *header_spans; /* struct up_header_span */
	bool in_value; /* the last part parsed was of a value */
};

/* Offsets and lengths of a header's name and value in up_conn.header_text. */
struct up_header_span {
	size_t name, nname, value, nvalue;
};

struct up_call {
	struct up *up;
	const struct up_ops *ops;
	void *ctx;
	struct up_conn *conn;
	struct tmr_item timer;
	GString *request_head;
	uv_buf_t out_bufs[2]; /* head and body of the request */
	h2o_buffer_t *body; /* response body, not consumed yet */
	bool new_connection, paused;
	bool is_head_request; /* the method is HEAD */
};

/* up_call.c: the end of a call. */

/* Callbacks of a call whose response is discarded. */
extern const struct up_ops up_drain_ops;
void up_call_free(struct up_call *);

/* up_conn.c: connections. */

/* Connects within `timeout_ns`, then sends the request of the call. */
void up_conn_connect(struct up_pool *, struct up_call *, int64_t timeout_ns);
/* Removes an idle connection from the pool; returns NULL if there is none. */
struct up_conn *up_conn_pop_idle(struct up_pool *);
/* Sends the request of a call on an established connection. */
void up_conn_send_request(struct up_conn *, struct up_call *);
/* Starts reading if it is paused.  Returns 0 or an error of libuv. */
int up_conn_start_reading(struct up_conn *);
/* Fails the call on the connection, if there is one, and closes it. */
void up_conn_fail(struct up_conn *, enum err_kind);
void up_conn_close(struct up_conn *);

/* up_answer.c: parses responses. */
extern const http_parser_settings up_response_settings;
/* Prepares the parser for the next response on the connection. */
void up_response_begin(struct up_conn *);
/*
 * Parses received bytes, up to the end of the response, and stores how many
 * were used.  Returns false if they are not valid.  The callbacks may close the
 * connection.
 */
bool up_response_parse(struct up_conn *, const char *, size_t, size_t *used);

#endif
