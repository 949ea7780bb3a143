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
#ifndef UP_H
#define UP_H

#include <h2o.h>
#include <stdbool.h>
#include <uv.h>

#include "err.h"
#include "str.h"
#include "tmr.h"

/*
 * An HTTP/1.1 client for upstream servers, on libuv and http_parser.  It
 * reports exactly how far a call got: whether the server may have received the
 * request, and whether the response was complete.
 */

struct up; /* a client, with its connections to all addresses */
struct up_call; /* one request and its response */

struct up_request {
	struct str address; /* IP address and port */
	struct str method;
	struct str path;
	struct str host; /* Host header */
	const h2o_header_t *headers; /* without Host and Content-Length */
	size_t nheaders;
	/* Must outlive the call, up to its end or up_drain(). */
	struct str body;
	bool new_connection; /* use a new connection and close it afterwards */
	int64_t connect_timeout_ns; /* 0: the default */
};

/*
 * Callbacks of a call.  The first argument is the pointer given to up_start().
 * Every call ends with exactly one of end(), fail() and up_cancel(), which
 * frees it.
 */
struct up_ops {
	/* The connection is established; the request is sent now. */
	void (*connected)(void *, struct up_call *);
	/* The head of the response was received. */
	void (*head)(
	    void *, struct up_call *, int status, const h2o_header_t *, size_t);
	/* Bytes of the response body were received; see up_body(). */
	void (*body)(void *, struct up_call *);
	/* The response is complete; up_body() has its unconsumed bytes. */
	void (*end)(void *, struct up_call *);
	/* ERR_CONNECT: nothing was sent.  ERR_CUT: the connection broke. */
	void (*fail)(void *, struct up_call *, enum err_kind);
};

struct up *up_open(uv_loop_t *, struct tmr *, const struct clk *);
/* Closes the idle connections. */
void up_close(struct up *);

/* Parses "IP:PORT"; returns false if the text is malformed. */
bool up_parse_address(struct str, struct sockaddr_storage *);

/* Starts a call.  No callback but connected() is called before it returns. */
struct up_call *
up_start(struct up *, const struct up_request *, const struct up_ops *, void *);

/* Cancels a call and closes its connection, which the server can detect. */
void up_cancel(struct up_call *);

/*
 * Discards the rest of the response, so that the connection can be reused if
 * that comes soon.  While the request is still being written, the connection is
 * closed instead, as its body need not outlive this function.  No further
 * callback of the owner is called, and the call frees itself.
 */
void up_drain(struct up_call *);

/* Returns how many bytes of the request wait to be written. */
size_t up_unsent(const struct up_call *);

/*
 * Returns the bytes of the response body that are not consumed yet.  They are
 * valid during the callbacks body() and end().
 */
h2o_buffer_t **up_body(struct up_call *);

/* Callbacks that do nothing, and that consume and discard the body. */
void up_ignore(void *, struct up_call *);
void up_skip_body(void *, struct up_call *);

/* Pause and resume reading the response, for back-pressure. */
void up_pause(struct up_call *);
void up_resume(struct up_call *);

#endif
