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

/*
 * Conversion of the records of poison.h to and from messages, which have ages
 * in place of times.
 */

/* Writes up to POISON_MSG_RECORDS_MAX records to an array; returns their
 * number. */
unsigned poison_msg_encode(struct poison *, int64_t now, struct msg_suspect *);

/* Merges the records of a message, POISON_MSG_RECORDS_MAX at most. */
void
poison_msg_merge(struct poison *, int64_t now, const struct msg_suspects *);

#endif
