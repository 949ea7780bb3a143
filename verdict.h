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
#ifndef VERDICT_H
#define VERDICT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Whether a new version of a service answers worse than the old one, kind of
 * request by kind of request.  Pure.
 *
 * Each answer of the new version moves two cumulative sums (CUSUM, Page 1954),
 * of failures and of slow answers, against the share that the old version has
 * of them lately.  What hits both versions alike moves none, and a version that
 * turns bad late is found as fast as one that is bad at once.
 */

/* How one try ended, as far as it speaks for or against a version. */
enum verdict_answer {
	VERDICT_GOOD,
	VERDICT_SLOW, /* several times the expected time */
	VERDICT_FAILED,
	VERDICT_IGNORED /* it says nothing of the version */
};

struct verdict {
	GArray *kinds; /* struct verdict_kind */
	uint64_t answers; /* of the new version that count */
	uint64_t bad; /* of these */
};

void verdict_open(struct verdict *);
void verdict_close(struct verdict *);

/* The old version answered. */
void verdict_add_old(struct verdict *, unsigned kind, enum verdict_answer);

/*
 * The new one did.  Not NULL if it is bad by now: a few words on why, valid for
 * ever.
 */
const char *
verdict_add_new(struct verdict *, unsigned kind, enum verdict_answer);

#endif
