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
#ifndef USAGE_H
#define USAGE_H

#include <glib.h>
#include <stdint.h>

#include "str.h"

/*
 * The customers with the most requests in the last seconds, in a table of fixed
 * size, by the space-saving algorithm: A. Metwally, D. Agrawal, A. El Abbadi,
 * "Efficient Computation of Frequent and Top-k Elements in Data Streams", ICDT
 * 2005.  A customer that has no entry takes over the entry with the smallest
 * count, and keeps that count as its possible error.  So any customer with more
 * than one in USAGE_ENTRIES of all requests has an entry.
 *
 * Two tables are kept, of the current and of the last period, so that the
 * figures are those of the last USAGE_PERIOD_NS to twice that.  There is no
 * I/O; the time is passed in.
 */

/* A few times the customers shown, as the error is smaller with more. */
enum { USAGE_ENTRIES = 64, USAGE_SHOWN = 10 };
/* The window of customers' rates is 5 s, too. */
#define USAGE_PERIOD_NS (5 * INT64_C(1000000000))

/* How a request ended.  Each request counts once, when it ends. */
enum usage_end {
	USAGE_OVER_RATE, /* refused, as its customer's rate was used up */
	USAGE_REFUSED, /* refused for another reason, not run */
	USAGE_IN_TIME, /* answered within its target, or without a target */
	USAGE_LATE, /* answered after its target */
	USAGE_FAILED, /* answered with an error, cut off, or its caller left */
	USAGE_END_MAX
};

struct usage_entry {
	struct str name;
	uint64_t hash; /* of the name */
	/* Upper bound of its requests; at most `error` of them are not its. */
	uint64_t count, error;
	uint64_t ends[USAGE_END_MAX]; /* since it got the entry; exact */
};

struct usage_table {
	struct usage_entry entries[USAGE_ENTRIES];
	unsigned n;
	uint64_t ends[USAGE_END_MAX]; /* of all customers; exact */
};

struct usage {
	struct usage_table current, last;
	int64_t started_at; /* start of the current period, monotonic ns */
	int64_t last_length; /* of the last period, ns; 0: none yet */
};

struct usage *usage_new(int64_t now);
void usage_free(struct usage *);

/* Counts a request of a customer that ended. */
void usage_add(struct usage *, struct str name, enum usage_end, int64_t now);

/* The figures of one customer, or of all others. */
struct usage_row {
	struct str name; /* points into the tables; empty: the others */
	uint64_t requests; /* sum of ends[] */
	uint64_t ends[USAGE_END_MAX];
	/* So many more may be its, which are among those of the others. */
	uint64_t error;
};

struct usage_report {
	struct usage_row rows[USAGE_SHOWN]; /* most requests first */
	unsigned n;
	struct usage_row others;
	int64_t length; /* time that the figures cover, ns */
};

/* Reports the largest customers; the sum of all rows is exact. */
void usage_summarize(struct usage *, int64_t now, struct usage_report *);

const char *usage_end_name(enum usage_end);

#endif
