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
 * Messages between fernjunction's processes over ZeroMQ.  Each process binds an
 * inbox (a PULL socket) and connects to the inboxes that it sends to (PUSH
 * sockets).  Sending never blocks: if the queue to a peer is full, the message
 * is dropped and counted, and anti-entropy makes up for the loss.
 */
struct wire;

/*
 * Receives a message.  The message is freed after the call.  The first argument
 * is the pointer given to wire_open().
 */
typedef void wire_receive_fn(void *, const struct msg *);

/*
 * Binds the inbox to an address such as "127.0.0.1:9000" and reads it on the
 * loop.  Returns NULL and sets ERR_SYSTEM on failure.
 */
struct wire *
wire_open(uv_loop_t *, struct str inbox, wire_receive_fn *, void *, GError **);

/* Stops reading and frees all resources; queued messages are dropped. */
void wire_close(struct wire *);

/*
 * Sends a message to the inbox at an address and sets its member `from`.
 * Returns false if the message was dropped.
 */
bool wire_send(struct wire *, struct str to, struct msg *);

/*
 * Bytes and messages received and sent since the start, messages that could
 * not be sent, and messages received that were malformed.
 */
struct wire_totals {
	uint64_t bytes_in, bytes_out, messages_in, messages_out, dropped,
	    malformed;
};
const struct wire_totals *wire_get_totals(const struct wire *);

#endif
