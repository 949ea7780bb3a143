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
#ifndef LIBHSRV_H
#define LIBHSRV_H

#include <glib.h>
#include <http_parser.h>

#include "hsrv.h"

struct hsrv {
	uv_loop_t *loop;
	h2o_globalconf_t conf;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	h2o_timeout_t linger_timeout; /* of connections that we have ended */
	uv_tcp_t listener;
	bool listening;
	hsrv_handler_fn *handler;
	hsrv_concurrent_fn
	    *may_run_concurrently; /* NULL: requests run one after another */
	void *handler_ctx;
	char read_buf[64 * 1024]; /* of the connection that is read right now */
};

/* One request of a connection, from its first byte to its answer's last. */
struct hsrv_req {
	h2o_req_t req;
	h2o_ostream_t ostream; /* where h2o hands us the answer */
	struct hsrv_conn *conn;
	GList link; /* in the connection's requests */
	/* While it is read: names and values, and where each begins. */
	GString *head_text;
	GArray *offsets; /* gsize; names and values in turns */
	GByteArray *body;
	bool too_large;
	bool expects_continue; /* waits for "100 Continue" */
	bool complete; /* all of it was read */
	bool handled; /* the server's function has it */
	/* A piece of its answer that waits to be written. */
	bool output_ready;
	bool head_sent;
	bool closes_conn; /* the connection ends with this answer */
	h2o_send_state_t send_state;
	GArray *out_bufs; /* uv_buf_t */
};

/* A caller's connection that speaks HTTP/1.1. */
struct hsrv_conn {
	h2o_conn_t super;
	struct hsrv *srv;
	uv_tcp_t *tcp;
	void (*on_output_ready)(
	    struct hsrv_conn *); /* a request has a piece of answer */
	http_parser parser;
	GByteArray *input; /* not parsed yet */
	GQueue reqs; /* struct hsrv_req, in the order of their answers */
	struct hsrv_req *parsing; /* of these, the one that is read; or NULL */
	uv_write_t write;
	uv_shutdown_t shutdown;
	GString *head; /* of the answer that is written */
	GArray *out_bufs; /* uv_buf_t */
	h2o_timeout_entry_t idle_timeout, linger_timeout;
	bool protocol_unknown; /* nothing was read yet */
	bool reading_paused; /* too much was read ahead */
	bool writing;
	bool no_more_requests; /* no more requests are taken */
	bool awaiting_peer_close; /* all is written, the other side's end is
				     awaited */
	bool closed;
};

/* hsrv_conn.c: a connection's requests side by side, answers in order. */
void hsrv_conn_open(struct hsrv *, uv_tcp_t *);

/* hsrv_parse_request.c: bytes to requests. */
void hsrv_parser_init(struct hsrv_conn *);
/*
 * Parse what was read, up to the end of one request.  False if it cannot be
 * read as HTTP; what is there of the request is then the connection's last.
 */
bool hsrv_parse_request(struct hsrv_conn *);

/* hsrv_req.c: one request, and its answer's way from h2o. */
struct hsrv_req *hsrv_req_new(struct hsrv_conn *);
void hsrv_req_free(struct hsrv_req *);
void hsrv_req_handle(struct hsrv_req *);
void hsrv_req_reject(struct hsrv_req *);
/* The head of its answer, as text. */
void hsrv_req_format_head(const struct hsrv_req *, GString *);

#endif
