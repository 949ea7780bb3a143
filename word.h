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
struct backend_report {
	struct str backend; /* its name */
	int64_t started_ms; /* start of that life, ms since 1970; 0: unsaid */
	bool leaving; /* it wants nothing new */
	double rate; /* requests a second from all boxes; 0: any number */
	int64_t reported_at; /* monotonic ns, when some box heard the rate */
	int64_t pause_until; /* monotonic ns; what it asked of this box alone */
};

struct backend_reports;

struct backend_reports *reports_new(void);
void reports_free(struct backend_reports *);

/*
 * Take what one said, to this box or another.  Of the rates the one that was
 * heard last holds; leaving holds for a life, and a later life begins anew.
 * True if that changes what other boxes should know.
 */
bool reports_merge(struct backend_reports *, const struct backend_report *);

/* What one said in a life; NULL if nothing is known. */
const struct backend_report *reports_find(
    const struct backend_reports *, struct str backend, int64_t born_ms);

/* One has changed, and is to be told. */
void reports_mark_unsent(struct backend_reports *, struct str backend);

/* Some of those that are to be told, which they are then; how many. */
unsigned reports_pop_unsent(
    struct backend_reports *, struct backend_report *out, unsigned max);

/* Some of all words, others of them each time; how many. */
unsigned reports_next(
    struct backend_reports *, struct backend_report *out, unsigned max);

/* Forget what was heard too long ago. */
void reports_expire(struct backend_reports *, int64_t now);

#endif
