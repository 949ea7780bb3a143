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
#ifndef STATE_MSG_H
#define STATE_MSG_H

#include "disp_state.h"
#include "msg.h"

/* Converts the state of a shard to the fields of MSG_SHARD_STATE and back. */

/*
 * Fills in the lists and numbers of the message.  state_msg_clear() frees the
 * lists; the names belong to the state.
 */
void state_msg_write(struct msg_shard_state *, const struct disp_state *);
void state_msg_clear(struct msg_shard_state *);

/*
 * Reads a decoded message; disp_state_clear() frees the state, whose names
 * belong to the message.  Returns false if a value is not possible; the state
 * is then empty.
 */
bool state_msg_read(const struct msg_shard_state *, struct disp_state *);

#endif
