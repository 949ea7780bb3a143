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
#ifndef SLOG_H
#define SLOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

/*
 * Structured logging by GLib through a writer of ours: lines of key=value
 * pairs go into a ring in memory and from there to standard output, without
 * ever blocking the loop:
 *
 *	time=1768204449.036 level=info part=pick msg="sent" id=9c41 slots=3
 *
 * Lines that find the ring full, or that come faster than their bound, are
 * left out, and how many is said later.
 */

/* The parts of the system; each has one fixed prefix in the log. */
enum slog_part {
	SLOG_GATE,
	SLOG_ROUTE,
	SLOG_PICK,
	SLOG_CLAIM,
	SLOG_CONF,
	SLOG_PEER,
	SLOG_PROBE,
	SLOG_WATCH,
	SLOG_AGENT,
	SLOG_STANDIN,
	SLOG_PART_MAX
};

/* Install the writer.  `quiet` keeps back the lines for decisions. */
void slog_open(const struct clk *, bool quiet);

/*
 * Write one line: a short message and, in printf's form, its fields.  Takes a
 * few microseconds and never blocks.
 */
void slog(enum slog_part, const char *msg, const char *fields, ...)
    G_GNUC_PRINTF(3, 4);

/* The same for what must never be: level=warning. */
void slog_warn(enum slog_part, const char *msg, const char *fields, ...)
    G_GNUC_PRINTF(3, 4);

/* The same for a decision on a request; these lines are bounded in number. */
void slog_decision(enum slog_part, const char *msg, const char *fields, ...)
    G_GNUC_PRINTF(3, 4);

/*
 * A text as a quoted value, for texts that are not ours.  Valid until the
 * next call.
 */
const char *slog_quote(const char *);

/* Hand what the ring holds to the system, as far as it takes it now. */
void slog_flush(void);

/* Flush and wait until all is written; for the end of a process. */
void slog_close(void);

/* Lines left out since the start. */
uint64_t slog_dropped(void);

#endif
