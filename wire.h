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
#ifndef WIRE_H
#define WIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "msg.h"

/*
 * Messages between our processes over ZeroMQ: each process binds one inbox
 * (PULL) and connects to the inboxes it writes to (PUSH).  Nothing waits:
 * what a peer cannot take now is dropped and counted, and the exchange of
 * digests heals it.
 */
struct wire;

typedef void wire_receive_fn(void *, const struct msg *);

/*
 * Bind the inbox at an address ("127.0.0.1:9000") and read it on the loop.
 * NULL and ERR_SYSTEM on failure.
 */
struct wire *
wire_open(uv_loop_t *, struct str inbox, wire_receive_fn *, void *, GError **);

/* Stop reading and free; messages still on their way out are dropped. */
void wire_close(struct wire *);

/* Send a message to an inbox.  False if it was dropped. */
bool wire_send(struct wire *, struct str to, struct msg *);

/* Bytes and messages in and out since the start, and those dropped. */
struct wire_totals {
	uint64_t bytes_in, bytes_out, messages_in, messages_out, dropped,
	    malformed;
};
const struct wire_totals *wire_get_totals(const struct wire *);

#endif
