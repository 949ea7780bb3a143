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
#ifndef HSRV_H
#define HSRV_H

#include <h2o.h>
#include <stdbool.h>
#include <uv.h>

#include "clk.h"
#include "err.h"
#include "str.h"

/*
 * An HTTP server on libuv.  h2o processes requests and responses and serves
 * HTTP/2; hsrv_conn.c serves HTTP/1.1 connections.  There is no TLS.
 */
struct hsrv;

/*
 * Handles a request and sends the response with h2o's functions, either at
 * once or later.  The first argument is the pointer given to hsrv_open().
 */
typedef void hsrv_handler_fn(void *, h2o_req_t *);

/*
 * Listens on an address, an IP address and a port.  Request bodies are limited
 * to `body_max` bytes.  Returns NULL and sets ERR_SYSTEM on failure.
 */
struct hsrv *hsrv_open(uv_loop_t *, struct str address, size_t body_max,
    hsrv_handler_fn *, void *, GError **);

/*
 * From now on, pipelined requests of an HTTP/1.1 connection are handled
 * concurrently if the function returns true for them.  Without it, each waits
 * for the response to the one before.  When the function is called, the
 * request has not been processed yet: its method, path and authority are in
 * its member `input`.
 */
typedef bool hsrv_concurrent_fn(void *, const h2o_req_t *);
void hsrv_allow_concurrent(struct hsrv *, hsrv_concurrent_fn *);

/*
 * Stops accepting connections; open connections continue.  Returns false if it
 * had been stopped before.
 */
bool hsrv_stop_accepting(struct hsrv *);

/*
 * Sets the maximum size of a request body in bytes and the idle timeout of
 * HTTP/1.1 connections in ms.  Responses state an idle time in Keep-Alive that
 * is shorter by a fifth or a second, whichever is more, so that callers do not
 * use a connection that is about to be closed.  A shorter timeout applies to a
 * connection once its next response has stated it.
 */
void hsrv_set_limits(struct hsrv *, size_t body_max, uint64_t idle_ms);

/*
 * Sets the maximum size of a request's head in bytes, and in
 * ms the time from its first byte to its last.  That time is by default, and
 * after each hsrv_set_limits(), the idle timeout.  A larger head is refused
 * with 431, as not run.
 */
void hsrv_set_head_limits(struct hsrv *, size_t max, uint64_t ms);

/* Default of the maximum size of a request's head, bytes. */
enum { HSRV_HEAD_MAX = 80 * 1024 };

/* Bytes of request bodies, which several servers may hold together. */
struct hsrv_room {
	size_t max, held;
};

/*
 * From now on a body takes its room, which another server may share, until its
 * request is freed.  A request for whose body there is none is refused with
 * ERR_NO_ROOM, as not run.  Only for HTTP/1.1.
 */
void hsrv_limit_room(struct hsrv *, struct hsrv_room *);

/* What the connections of several servers hold together. */
struct hsrv_pool {
	size_t held_max, held; /* bytes */
	size_t ending; /* of those, by connections that are being closed */
	/* Descriptors of connections, and how many they may have. */
	unsigned descriptors, descriptors_max;
	uint64_t accepted, closed; /* connections; closed for a limit */
	GSList *servers; /* struct hsrv */
};

/*
 * From now on the connections of a server, its input, requests and responses
 * count in a pool.  When they hold more than its maximum, the connection that
 * holds most is closed, with all requests on it.  When they have more than
 * three quarters of the process's descriptors, the one that has been silent for
 * longest is closed, of those on which no request is being handled.
 */
void hsrv_pool_add(struct hsrv_pool *, struct hsrv *);

/*
 * Records how many bytes the handler holds for a request, by its response for
 * one; *held keeps the number, 0 at first.  It must be set to 0 before the
 * request is freed.  The connection may be closed, though not at once.
 */
void hsrv_set_held(struct hsrv *, h2o_req_t *, size_t *held, size_t);

/*
 * Sets after how long, in ms, an HTTP/1.1 connection is closed whose caller
 * takes nothing of the response being written; it may be twice as long.  The
 * default is 15 s.
 */
void hsrv_set_stall_limit(struct hsrv *, uint64_t ms);

/*
 * Closes the HTTP/1.1 connections that have been idle for at least `idle_ms`.
 * This is for a planned shutdown, after which a request on one of them could
 * not be answered any more.
 */
void hsrv_close_idle(struct hsrv *, uint64_t idle_ms);

/*
 * Ends HTTP/1.1 connections whose callers always have a request outstanding:
 * those on which requests wait for their responses read no further ones, and
 * end with the last of these responses; others do so once a request has come.
 */
void hsrv_end_input(struct hsrv *);

/* How an HTTP/1.1 connection ended. */
struct hsrv_end {
	const char *why; /* a word for logs */
	unsigned unanswered; /* requests that had begun to arrive */
	int64_t idle_ns; /* since the last request or response, when it ended */
	/* Bytes that were read and discarded after it ended, and when. */
	size_t discarded;
	int64_t discarded_ns; /* the first of them, after the end; 0: none */
};

/*
 * Receives the end of each HTTP/1.1 connection from now on.  The first argument
 * is a context.
 */
typedef void hsrv_end_fn(void *, const struct hsrv_end *);
void
hsrv_watch_ends(struct hsrv *, const struct clk *, hsrv_end_fn *, void *ctx);

/* The open connections of a server, of either protocol. */
struct hsrv_open_count {
	unsigned connections;
	/* Bytes that their peers have not acknowledged. */
	size_t unacked;
};

struct hsrv_open_count hsrv_count_open(const struct hsrv *);

/*
 * Begins a graceful shutdown: sends GOAWAY on HTTP/2 connections, and ends
 * HTTP/1.1 connections with the response to the last request that was read.
 */
void hsrv_shutdown(struct hsrv *);

/*
 * Shuts down the HTTP/1.1 connection of a request at once, with all requests in
 * flight on it.  Only for test servers that simulate faults.
 */
void hsrv_abort(const h2o_req_t *);

/*
 * Cuts a response whose last part has not been written yet: nothing more of it
 * is sent, and its HTTP/1.1 connection is closed when the responses before it
 * are written.  The request is freed later.  Returns false on HTTP/2, where the
 * response can only be ended once that part has been written.
 */
bool hsrv_cut(h2o_req_t *);

/*
 * Returns how many requests of its HTTP/1.1 connection have to be answered
 * before this one; 0 on HTTP/2.
 */
unsigned hsrv_count_ahead(const h2o_req_t *);

/* Sends a complete response.  `type` is its content type. */
void
hsrv_send_response(h2o_req_t *, int status, const char *type, struct str body);

/*
 * Returns the value of a request header, or an empty string if it is absent.
 * The string belongs to the request.
 */
struct str hsrv_header(const h2o_req_t *, const char *name);

/*
 * Returns the value of a query argument without decoding it, or an empty
 * string if it is absent.
 */
struct str hsrv_query(const h2o_req_t *, const char *name);

/* Returns the path of a request without its query. */
struct str hsrv_path(const h2o_req_t *);

#endif
