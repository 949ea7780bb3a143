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

#include "err.h"
#include "str.h"

/*
 * An HTTP server on libuv: requests, their answers and HTTP/2 by h2o, the
 * connections of HTTP/1.1 by us (hsrv_conn.c).  No TLS.
 */
struct hsrv;

/* Answer a request with h2o; it may be kept and answered later. */
typedef void hsrv_handler_fn(void *, h2o_req_t *);

/* Listen on an address.  NULL and ERR_SYSTEM on failure. */
struct hsrv *hsrv_open(uv_loop_t *, struct str address, size_t body_max,
    hsrv_handler_fn *, void *, GError **);

/*
 * From now on requests that a caller sends before the last one was answered
 * run side by side, where the function says that they may.  What a request
 * says is in its `input`.
 */
typedef bool hsrv_concurrent_fn(void *, const h2o_req_t *);
void hsrv_allow_concurrent(struct hsrv *, hsrv_concurrent_fn *);

/* Stop taking connections; those that are open go on. */
void hsrv_stop_accepting(struct hsrv *);

/* From now on: bytes of a body, and ms that a connection may be idle. */
void hsrv_set_limits(struct hsrv *, size_t body_max, uint64_t idle_ms);

/*
 * Close the connections on which nothing has come for so long, in ms: after a
 * planned stop a request on one of them could not be answered any more.
 */
void hsrv_close_idle(struct hsrv *, uint64_t idle_ms);

/* Tell HTTP/2 callers to go elsewhere (GOAWAY). */
void hsrv_shutdown(struct hsrv *);

/*
 * Break a connection of HTTP/1.1 off, whatever is under way on it: for
 * stand-ins that behave badly.
 */
void hsrv_abort(const h2o_req_t *);

/* Send a short answer: JSON or text. */
void
hsrv_send_response(h2o_req_t *, int status, const char *type, struct str body);

/* The value of a request's header; an empty string if it is not there. */
struct str hsrv_header(const h2o_req_t *, const char *name);

/* The value of a query argument, as written; empty if not there. */
struct str hsrv_query(const h2o_req_t *, const char *name);

/* A request's path without its query. */
struct str hsrv_path(const h2o_req_t *);

#endif
