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
 * Decides whether a new version of a service answers worse than the old one,
 * separately for each kind of request.  No I/O.
 *
 * Each response of the new version updates two cumulative sums (CUSUM, Page
 * 1954), of failures and of slow responses, against the recent share of these
 * in the old version's responses.  Faults that affect both versions alike do
 * not raise the sums, and a version that degrades late is found as fast as one
 * that is bad from the start.
 */

/* Outcome of one attempt, as far as it counts for or against a version. */
enum verdict_outcome {
	VERDICT_GOOD,
	VERDICT_SLOW, /* took several times the expected time */
	VERDICT_FAILED,
	VERDICT_IGNORED /* says nothing about the version */
};

/*
 * What is measured, each with a sum of its own: how much more often the new
 * version fails or is slow.
 */
enum verdict_measure {
	VERDICT_FAILS_MORE,
	VERDICT_SLOW_MORE,
	VERDICT_SLOW_OFTEN,
	VERDICT_MEASURES
};

/*
 * The sums by measure, of the kind of request that has the highest.  Those of
 * several owners, which see different responses, can be added.
 */
struct verdict_sums {
	double of[VERDICT_MEASURES];
};

struct verdict {
	GArray *kinds; /* struct verdict_kind */
	uint64_t responses; /* responses of the new version that count */
	uint64_t bad; /* those of them that are failed or slow */
};

void verdict_open(struct verdict *);
void verdict_close(struct verdict *);

/* Adds a response of the old version. */
void verdict_add_old(struct verdict *, unsigned kind, enum verdict_outcome);

/*
 * Adds a response of the new version.  Returns NULL, or a static string with
 * the reason if the new version is worse by now.
 */
const char *
verdict_add_new(struct verdict *, unsigned kind, enum verdict_outcome);

struct verdict_sums verdict_get_sums(const struct verdict *);
void verdict_sums_add(struct verdict_sums *, const struct verdict_sums *);

/* The same as verdict_add_new() returns, by sums of several owners. */
const char *verdict_by_sums(const struct verdict_sums *);

/* Returns whether the last responses raise no doubt about the new version. */
bool verdict_is_clear(const struct verdict_sums *);

#endif
