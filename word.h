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
#ifndef WORD_H
#define WORD_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/*
 * Reports that backend servers made about themselves.  They are kept apart from
 * the configuration and outlive the servers' entries there.  Boxes send them to
 * each other, so that the next owner of a shard knows them.  No I/O:
 * times are passed in.
 */

/*
 * What a backend server reported since it was started.  A restart, which has
 * another start time, makes the earlier reports void.
 */
struct word {
	struct str backend; /* name of the backend server */
	int64_t born_ms; /* its start, ms since 1970; 0: unknown */
	bool leaves; /* it is shutting down and accepts no new requests */
	double rate; /* limit in requests a second from all boxes; 0: none */
	int64_t heard; /* when a box received the rate, monotonic ns */
	/*
	 * End of a pause that it requested by Retry-After, of this box only;
	 * monotonic ns.
	 */
	int64_t rest_until;
};

struct words;

struct words *words_new(void);
void words_free(struct words *);

/*
 * Merges a report that this box or another one received.  The rate that was
 * received last applies.  Leaving lasts until the backend server restarts; the
 * reports of a later start replace those of an earlier one.  Returns whether
 * anything changed that other boxes need.
 */
bool words_take(struct words *, const struct word *);

/*
 * Returns the report of a backend server with this start time; NULL if there is
 * none.
 */
const struct word *
words_find(const struct words *, struct str backend, int64_t born_ms);

/* Marks the report of a backend server as changed and not sent yet. */
void words_mark(struct words *, struct str backend);

/*
 * Copies up to max reports that are not sent yet to `out`, marks them as sent,
 * and returns their number.  The names belong to the reports.
 */
unsigned words_untold(struct words *, struct word *out, unsigned max);

/*
 * Copies up to max reports to `out`, continuing where the last call ended, and
 * returns their number.  The names belong to the reports.
 */
unsigned words_list(struct words *, struct word *out, unsigned max);

/* Drops the reports that are too old. */
void words_tick(struct words *, int64_t now);

#endif
