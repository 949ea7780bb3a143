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
#ifndef REPORT_H
#define REPORT_H

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
struct backend_report {
	struct str backend; /* name of the backend server */
	int64_t started_ms; /* its start, ms since 1970; 0: unknown */
	bool leaving; /* it is shutting down and accepts no new requests */
	double rate; /* limit in requests a second from all boxes; 0: none */
	int64_t reported_at; /* when a box received the rate, monotonic ns */
	/*
	 * End of a pause that it requested by Retry-After, of this box only;
	 * monotonic ns.
	 */
	int64_t pause_until;
};

struct backend_reports;

struct backend_reports *reports_new(void);
void reports_free(struct backend_reports *);

/*
 * Merges a report that this box or another one received.  The rate that was
 * received last applies.  Leaving lasts until the backend server restarts; the
 * reports of a later start replace those of an earlier one.  Returns whether
 * anything changed that other boxes need.
 */
bool reports_merge(struct backend_reports *, const struct backend_report *);

/*
 * Returns the report of a backend server with this start time; NULL if there is
 * none.
 */
const struct backend_report *reports_find(
    const struct backend_reports *, struct str backend, int64_t started_ms);

/* Marks the report of a backend server as changed and not sent yet. */
void reports_mark_unsent(struct backend_reports *, struct str backend);

/*
 * Copies up to max reports that are not sent yet to `out`, marks them as sent,
 * and returns their number.  The names belong to the reports.
 */
unsigned reports_pop_unsent(
    struct backend_reports *, struct backend_report *out, unsigned max);

/*
 * Copies up to max reports to `out`, continuing where the last call ended, and
 * returns their number.  The names belong to the reports.
 */
unsigned reports_next(
    struct backend_reports *, struct backend_report *out, unsigned max);

/* Drops the reports that are too old. */
void reports_expire(struct backend_reports *, int64_t now);

#endif
