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
 * Structured logging through GLib with a log writer of this file: lines of
 * key=value pairs go into a ring buffer in memory and from there to standard
 * output, without ever blocking the event loop:
 *
 *	time=1768204449.036 level=info part=pick msg="sent" id=9c41 slots=3
 *
 * A line is dropped if the buffer is full, or if it is above the rate limit of
 * its kind.  A later line says how many were dropped.
 */

/* The parts of the system; each has a fixed name in the log. */
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
	SLOG_DAEMON,
	SLOG_STANDIN,
	SLOG_PART_MAX
};

/*
 * Installs the log writer.  Until then, slog() and its like write nothing.
 * `quiet` suppresses the lines of slog_decision().
 */
void slog_open(const struct clk *, bool quiet);

/*
 * Logs one line: a short message, and its fields as a printf format.  Takes a
 * few microseconds and never blocks.
 */
void slog(enum slog_part, const char *msg, const char *fields, ...)
    G_GNUC_PRINTF(3, 4);

/* The same with level=warning, for what should never happen. */
void slog_warn(enum slog_part, const char *msg, const char *fields, ...)
    G_GNUC_PRINTF(3, 4);

/* The same for a decision about a request; these lines are rate-limited. */
void slog_decision(enum slog_part, const char *msg, const char *fields, ...)
    G_GNUC_PRINTF(3, 4);

/*
 * Quotes and escapes a text from outside the program as a value of a log line.
 * The result is static and valid until the next call.
 */
const char *slog_quote(const char *);

/* Writes out as much of the buffer as is possible without blocking. */
void slog_flush(void);

/*
 * Writes out the whole buffer before the process exits.  Gives up if standard
 * output accepts nothing for 100 ms.
 */
void slog_close(void);

/*
 * From now on a fatal signal, as of an assertion or an invalid access, writes
 * out the buffer and a line that names it before it ends the process.
 */
void slog_on_fatal_signals(void);

/* Returns the number of lines dropped since the process started. */
uint64_t slog_dropped(void);

#endif
