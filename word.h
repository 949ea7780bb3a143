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
 * What backend servers said of themselves, kept beside the configuration: it
 * outlives their entries there, and boxes tell it one another, so that the next
 * home of a shard goes on with it.  Pure: times are handed in.
 */

/* What one said in one of its lives. */
struct word {
	struct str backend; /* its name */
	int64_t born_ms; /* start of that life, ms since 1970; 0: unsaid */
	bool leaves; /* it wants nothing new */
	double rate; /* requests a second from all boxes; 0: any number */
	int64_t heard; /* monotonic ns, when some box heard the rate */
	int64_t rest_until; /* monotonic ns; what it asked of this box alone */
};

struct words;

struct words *words_new(void);
void words_free(struct words *);

/*
 * Take what one said, to this box or another.  Of the rates the one that was
 * heard last holds; leaving holds for a life, and a later life begins anew.
 * True if that changes what other boxes should know.
 */
bool words_take(struct words *, const struct word *);

/* What one said in a life; NULL if nothing is known. */
const struct word *
words_find(const struct words *, struct str backend, int64_t born_ms);

/* One has changed, and is to be told. */
void words_mark(struct words *, struct str backend);

/* Some of those that are to be told, which they are then; how many. */
unsigned words_untold(struct words *, struct word *out, unsigned max);

/* Some of all words, others of them each time; how many. */
unsigned words_list(struct words *, struct word *out, unsigned max);

/* Forget what was heard too long ago. */
void words_tick(struct words *, int64_t now);

#endif
