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
#ifndef POISON_MSG_H
#define POISON_MSG_H

#include "msg.h"
#include "poison.h"

/* Words of poison.h as messages between processes: ages in place of times. */

/* Write the words worth telling, at most POISON_MSG_RECORDS_MAX; how many. */
unsigned poison_msg_encode(struct poison *, int64_t now, struct msg_suspect *);

/* Take a message's words, no more of them than one may have. */
void
poison_msg_merge(struct poison *, int64_t now, const struct msg_suspects *);

#endif
