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
 * Shared by the parts of the HTTP client, each of which uses those before it:
 * calls, answers, connections, and what starts and ends calls.
 */

enum {
	UP_READ_MAX = 64 * 1024, /* bytes read at once */
	UP_HEADERS_MAX = 100
};

/* Connections to one address that no call uses now. */
struct up_pool {
	struct up *up;
	struct sockaddr_storage sa;
	GQueue idle_conns; /* struct up_conn *, the one used last first */
};

struct up {
	uv_loop_t *loop;
	struct tmr *tmr;
	const struct clk *clk;
	GHashTable *pools; /* char * address to struct up_pool * */
	char read_buf[UP_READ_MAX];
};

struct up_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct up_pool *pool;
	struct up_call *call; /* NULL: idle, or closing */
	GList link; /* in pool->idle */
	bool idle, closing, reading, writing, response_complete, has_surplus;
	int64_t
	    idle_timeout_ns; /* how long it may be idle, by the last answer */
	int64_t idle_until;
	http_parser parser;
	GString *header_text; /* names and values of the headers, one behind
				 another */
	GArray *header_spans; /* struct up_header_span */
	bool in_value;
};

/* Where a header lies in up_conn.head. */
struct up_header_span {
	size_t name, nname, value, nvalue;
};

struct up_call {
	struct up *up;
	const struct up_ops *ops;
	void *ctx;
	struct up_conn *conn;
	struct tmr_item timer;
	GString *request_head; /* the request's head */
	uv_buf_t out_bufs[2];
	h2o_buffer_t *body; /* of the answer, not consumed yet */
	bool new_connection, paused, is_head_request;
};

/* up_call.c */
extern const struct up_ops up_drain_ops; /* of a call that is drained */
void up_call_free(struct up_call *);

/* up_conn.c: connections, from the first to the last call on them. */
void up_conn_connect(struct up_pool *, struct up_call *, int64_t wait);
struct up_conn *up_conn_pop_idle(struct up_pool *);
void up_conn_send_request(struct up_conn *, struct up_call *);
int up_conn_start_reading(struct up_conn *);
void up_conn_fail(struct up_conn *, enum err_kind);
void up_conn_close(struct up_conn *);

/* up_answer.c: what the parser finds in an answer. */
extern const http_parser_settings up_response_settings;
void up_response_begin(struct up_conn *);

#endif
