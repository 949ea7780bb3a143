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
 * HTTP requests to other processes, over libuv and http_parser.  A call tells
 * exactly how far it came: whether its request may have been read by the
 * other side, and whether its answer was complete.
 */

struct up; /* connections to all destinations */
struct up_call; /* one request */

struct up_request {
	struct str address; /* IP number and port */
	struct str method;
	struct str path;
	struct str host; /* Host header */
	const h2o_header_t *headers; /* without Host and Content-Length */
	size_t nheaders;
	struct str body; /* must outlive the call */
	bool new_connection; /* no kept-alive connection */
	int64_t
	    connect_timeout_ns; /* time to make a connection; 0: the default */
};

/* Every call ends with just one of end, fail or the owner's up_cancel(). */
struct up_ops {
	/* The connection stands and the request goes out now. */
	void (*connected)(void *, struct up_call *);
	/* The answer's head has come. */
	void (*head)(
	    void *, struct up_call *, int status, const h2o_header_t *, size_t);
	/* Bytes of the body have come; see up_body(). */
	void (*body)(void *, struct up_call *);
	/* The answer is complete; the rest of it is in up_body(). */
	void (*end)(void *, struct up_call *);
	/* ERR_CONNECT: nothing was sent.  ERR_CUT: the connection broke. */
	void (*fail)(void *, struct up_call *, enum err_kind);
};

struct up *up_open(uv_loop_t *, struct tmr *, const struct clk *);
void up_close(struct up *);

struct up_call *
up_start(struct up *, const struct up_request *, const struct up_ops *, void *);

/* End a call; the connection is closed, which tells the other side. */
void up_cancel(struct up_call *);

/* Let the answer run out unread, to keep the connection. */
void up_drain(struct up_call *);

/* The body's bytes not consumed yet; valid during ops.body and ops.end. */
h2o_buffer_t **up_body(struct up_call *);

/* For ops of owners whom it does not concern, or who need no body. */
void up_ignore(void *, struct up_call *);
void up_skip_body(void *, struct up_call *);

/* Stop and go on reading, for back-pressure. */
void up_pause(struct up_call *);
void up_resume(struct up_call *);

#endif
