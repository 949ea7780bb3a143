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

/* An accepted connection of either protocol. */
struct hsrv_tcp {
	uv_tcp_t tcp;
	struct hsrv *srv;
	struct hsrv_conn *conn; /* NULL: h2o serves it */
	GList link; /* in hsrv.connections */
	/* Copy of the descriptor of an HTTP/2 connection; -1: none. */
	int linger_fd;
	struct hsrv_h2 *h2; /* NULL: it is not served by h2o */
	size_t held; /* bytes, in hsrv.pool */
	size_t handler_held; /* of those, by the handler; see hsrv_set_held() */
	bool ending; /* it is being closed for the pool */
	uint64_t read_at; /* when it was last read, or accepted; h2o_now() */
};

struct hsrv {
	uv_loop_t *loop;
	GQueue connections; /* struct hsrv_tcp, until they are closed */
	GQueue h2_conns; /* struct hsrv_h2 */
	GHashTable *h2_socks; /* h2o_socket_t * to struct hsrv_tcp; or NULL */
	uv_prepare_t h2_prepare; /* while there are HTTP/2 connections */
	h2o_globalconf_t conf;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	/*
	 * Time limit for the peer to close after the write side was shut, or
	 * between two checks that it still takes what was written before.
	 */
	h2o_timeout_t linger_timeout;
	h2o_timeout_t stall_timeout; /* see hsrv_set_stall_limit() */
	h2o_timeout_t request_timeout; /* between two parts of a request */
	h2o_timeout_t head_timeout; /* for the head of a request */
	size_t head_max; /* bytes of the head of a request */
	uv_tcp_t listener;
	bool listening;
	bool input_ended; /* hsrv_end_input() was called */
	bool idle_ending; /* hsrv_close_idle() was called */
	/* Idle time that responses state to callers, s; 0: none. */
	uint64_t stated_idle_s;
	hsrv_handler_fn *handler;
	hsrv_concurrent_fn *may_run_concurrently; /* NULL: none may */
	void *handler_ctx;
	struct hsrv_room *room; /* for request bodies; NULL: any */
	struct hsrv_pool *pool; /* NULL: none */
	hsrv_end_fn *on_end; /* NULL: not watched */
	const struct clk *end_clk;
	void *end_ctx;
	char read_buf[64 * 1024]; /* shared read buffer of all connections */
};

/* A request, from its first byte to the last byte of its response. */
struct hsrv_req {
	h2o_req_t req;
	h2o_ostream_t ostream; /* receives the response from h2o */
	struct hsrv_conn *conn;
	GList link; /* in hsrv_conn.reqs */
	/*
	 * The request target, header names and values, one after another; NULL
	 * once the head is complete.
	 */
	GString *head_text;
	/* uint32_t; offsets in head_text of names and values, alternately */
	GArray *offsets;
	GByteArray *body;
	size_t reserved; /* bytes of hsrv.room */
	uint64_t body_since; /* when its head was complete; h2o_now() */
	size_t head_held; /* bytes, about, that the complete head takes */
	bool too_large, head_too_large, no_room;
	bool expects_continue; /* the caller waits for "100 Continue" */
	bool complete; /* the whole request was read */
	bool handled; /* it was passed to the handler or rejected */
	bool output_ready; /* out_bufs are to be written */
	bool head_sent; /* the head of the response was written */
	bool closes_conn; /* the connection ends with this response */
	h2o_send_state_t send_state; /* whether out_bufs are the last ones */
	GArray *out_bufs; /* uv_buf_t; next part of the response body */
};

/* An HTTP/1.1 connection of a caller. */
struct hsrv_conn {
	h2o_conn_t super;
	struct hsrv *srv;
	uv_tcp_t *tcp;
	/* Called when a request has a part of its response to write. */
	void (*on_output_ready)(struct hsrv_conn *);
	http_parser parser;
	GByteArray *input; /* not parsed yet */
	size_t input_peak; /* its greatest length so far */
	GQueue reqs; /* struct hsrv_req, in the order received */
	struct hsrv_req *parsing; /* the one that is being parsed, or NULL */
	uv_write_t write;
	uv_write_t continue_write; /* of "100 Continue" */
	GString *head; /* of the response that is being written */
	GArray *out_bufs; /* uv_buf_t; buffers that are being written */
	h2o_timeout_entry_t idle_timeout, linger_timeout, stall_timeout;
	uint64_t idle_since; /* start of the idle timeout; h2o_now() */
	/* Bytes that the peer had not acknowledged at the last check. */
	size_t unacked;
	/* When it last had fewer, after the write side was shut; h2o_now() */
	uint64_t taken_at;
	bool protocol_unknown; /* the first bytes have not been inspected */
	/* Idle timeout when the last response stated one, ms; 0: it did not. */
	uint64_t promised_idle_ms;
	bool idle_delayed; /* the idle timeout passed with bytes unread */
	bool was_read; /* since then */
	bool reading_paused; /* too many bytes wait to be parsed */
	/* A request began, its head is complete, or a part of its body came. */
	bool progress;
	bool writing;
	bool no_more_requests; /* no further request is accepted */
	bool input_due; /* it ends with the next response */
	bool input_ended; /* what comes from now on is discarded */
	bool awaiting_peer_close; /* the write side was shut */
	bool ends_unread; /* and nothing is read any more */
	bool closed;
	/* For hsrv_watch_ends(); times are in ns, 0 if they are not known. */
	const char *why; /* why it ends; NULL: it does not */
	int64_t active_at; /* time of the last request or response */
	int64_t ended_at, discarded_at;
	size_t discarded; /* bytes read after the end was decided */
};

/* hsrv.c */
/* Creates a handle that is counted as a connection of the server. */
struct hsrv_tcp *hsrv_tcp_new(struct hsrv *);
/* Frees the handle of an accepted connection once it is closed. */
void hsrv_tcp_free(uv_handle_t *);
/*
 * Returns how many bytes the peer has not acknowledged, in this process and in
 * the socket.
 */
size_t hsrv_tcp_unacked(const uv_tcp_t *);
/* Returns whether the socket holds bytes that have not been read. */
bool hsrv_tcp_has_unread(const uv_tcp_t *);

/* hsrv_conn.c: runs requests concurrently, sends responses in order. */

/* Serves an accepted connection; takes ownership of the handle. */
void hsrv_conn_open(struct hsrv *, uv_tcp_t *);
/* See hsrv_end_input(). */
void hsrv_conn_end_input(struct hsrv_conn *);
/*
 * Closes a connection, with all requests on it, at once or, if it is in use by
 * a caller of this function, soon; nothing more is read then.
 */
void hsrv_conn_end_now(struct hsrv_conn *, const char *why, bool in_use);
/* Returns whether a request is being handled. */
bool hsrv_conn_is_handling(const struct hsrv_conn *);
/* Returns the HTTP/1.1 connection of a request; NULL on HTTP/2. */
struct hsrv_tcp *hsrv_conn_tcp(const h2o_req_t *);

/*
 * Closes the other connections of a server whose bodies arrive so slowly that
 * they would keep their room for long.
 */
void hsrv_conn_end_slow_bodies(const struct hsrv_conn *);

/* hsrv_h2.c: what HTTP/2 connections hold. */

/* Counts what a connection reads that is passed to h2o. */
void hsrv_h2_open(struct hsrv_tcp *, h2o_socket_t *);
/* h2o has closed the connection. */
void hsrv_h2_free(struct hsrv_tcp *);
/* Lets h2o close a connection, soon if it or h2o is a caller of this function.
 */
void hsrv_h2_end(struct hsrv_tcp *, bool in_use);
/* Returns whether a request is being handled. */
bool hsrv_h2_is_handling(const struct hsrv_tcp *);
/* Returns the HTTP/2 connection of a request; NULL if it has none. */
struct hsrv_tcp *hsrv_h2_tcp(const struct hsrv *, const h2o_req_t *);
/*
 * Counts a whole request until it is freed.  Returns false if its head is
 * larger than the limit.
 */
bool hsrv_h2_begin(struct hsrv *, h2o_req_t *);

/* hsrv_pool.c: what all connections hold. */

/*
 * Sets how many bytes a connection holds.  This may close it soon, and others
 * at once.
 */
void hsrv_tcp_set_held(struct hsrv_tcp *, size_t);
/* Counts a descriptor more or less. */
void hsrv_pool_count_descriptors(struct hsrv *, int);
/* One was accepted: closes connections if there are too many. */
void hsrv_pool_bound_descriptors(struct hsrv *);
/*
 * Returns whether nothing is to be read from a connection now: the limit is
 * exceeded, and connections that are being closed hold bytes still.
 */
bool hsrv_pool_must_wait(const struct hsrv_tcp *);
/* Removes what a connection holds from the pool, before it is freed. */
void hsrv_tcp_leave_pool(struct hsrv_tcp *);

/* hsrv_parse.c: parses requests. */
void hsrv_parser_init(struct hsrv_conn *);
/*
 * Parses the bytes read so far, up to the end of one request.  Returns false
 * if they are not valid HTTP or the request is too large; the request that was
 * begun is then the last one of the connection.
 */
bool hsrv_parse_request(struct hsrv_conn *);

/* hsrv_req.c: a request, and its response as h2o produces it. */

/* Creates a request and appends it to those of the connection. */
struct hsrv_req *hsrv_req_new(struct hsrv_conn *);
void hsrv_req_free(struct hsrv_req *);
/* Frees the text of the head, which is needed only while it is parsed. */
void hsrv_req_free_head(struct hsrv_req *);
/* Returns about how many bytes a request holds, without its response. */
size_t hsrv_req_count_held(const struct hsrv_req *);
/* Passes a complete request to the handler. */
void hsrv_req_handle(struct hsrv_req *);
/* Responds with 400, 413, 431 or 503 to a request that is not read to its end.
 */
void hsrv_req_reject(struct hsrv_req *);
/* Formats the head of the response. */
void hsrv_req_format_head(const struct hsrv_req *, GString *);

#endif
