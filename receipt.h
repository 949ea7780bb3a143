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
#ifndef RECEIPT_H
#define RECEIPT_H

#include <glib.h>
#include <stdint.h>

#include "allowance.h"
#include "msg.h"
#include "str.h"

/*
 * What this box was granted for each customer in the last window, by which
 * gates.  A query to one gate carries what the others granted.  So a gate that
 * begins to grant learns what was used from those that used it, whether the
 * gates that granted it can be asked or not.  There is no I/O; times are passed
 * in.
 */
struct receipts;

struct receipts *receipts_new(void);
void receipts_free(struct receipts *);

/* Sets the length of the window, ns, and drops all that is known. */
void receipts_set_window(struct receipts *, int64_t window);

/*
 * A gate has decided about a request of this box.  Its start is told apart, as
 * it knows nothing of what it granted before.
 */
void receipts_heard(struct receipts *, struct str granter, uint64_t started_ms);

/* A gate granted a request of this box, or such a grant was not used. */
void receipts_add(
    struct receipts *, struct str customer, struct str granter, int64_t now);
void receipts_give_back(
    struct receipts *, struct str customer, struct str granter, int64_t now);

/*
 * Encodes what other gates than `target` granted, if it is time to tell that
 * gate, and returns the length; 0: nothing is to be told.
 */
size_t receipts_pack(struct receipts *, struct str customer, struct str target,
    int64_t now, char out[ALLOWANCE_PACKED_MAX]);

/* Drops the customers of which nothing counts any more. */
void receipts_expire(struct receipts *, int64_t now);

#endif
