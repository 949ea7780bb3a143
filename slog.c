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
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "limit.h"
#include "slog.h"

enum {
	RING_SIZE = 1 << 20,
	LINE_MAX_LEN = 512,
	CHUNK_SIZE = 4096, /* PIPE_BUF; POLLOUT on a pipe means that it fits */
	PREFIX_MAX_LEN = 128, /* for the time, level, part and message */
	QUOTE_MAX = 400 /* escaped bytes; longer texts are cut off */
};

/*
 * Rate limit of decision lines, in lines a second: enough for several lines per
 * request at a box's usual request rate, with a margin for a surge.
 */
static const double DECISION_LINES_PER_S = 2000;

static GLogWriterOutput
writer(GLogLevelFlags, const GLogField *, gsize, gpointer);
static void
log_line(GLogLevelFlags, enum slog_part, const char *, const char *, va_list);
static void ring_put(const char *, size_t);
static bool ring_write(void);

static const char *const part_names[SLOG_PART_MAX] = {
    [SLOG_GATE] = "gate",
    [SLOG_ROUTE] = "route",
    [SLOG_PICK] = "pick",
    [SLOG_CLAIM] = "claim",
    [SLOG_CONF] = "conf",
    [SLOG_PEER] = "peer",
    [SLOG_PROBE] = "probe",
    [SLOG_WATCH] = "watch",
    [SLOG_AGENT] = "agent",
    [SLOG_DAEMON] = "daemon",
    [SLOG_STANDIN] = "standin",
};

/* A process writes one log, so there is one ring buffer per process. */
static struct {
	const struct clk *clk;
	bool quiet;
	size_t head, used;
	uint64_t dropped, reported; /* lines dropped; as last logged */
	struct limit decisions;
	char bytes[RING_SIZE];
} ring;

/* Appends a line, or counts it as dropped if it does not fit. */
static void
ring_put(const char *p, size_t n)
{
	size_t pos, first;

	if (n > RING_SIZE - ring.used) {
		ring.dropped++;
		return;
	}
	pos = (ring.head + ring.used) % RING_SIZE;
	first = MIN(n, RING_SIZE - pos);
	memcpy(ring.bytes + pos, p, first);
	memcpy(ring.bytes, p + first, n - first);
	ring.used += n;
}

/* Writes one chunk if that cannot block; false if nothing was written. */
static bool
ring_write(void)
{
	struct pollfd pfd = {STDOUT_FILENO, POLLOUT, 0};
	size_t n = MIN(MIN(ring.used, RING_SIZE - ring.head), CHUNK_SIZE);
	ssize_t written;

	if (n == 0 || poll(&pfd, 1, 0) != 1 || !(pfd.revents & POLLOUT))
		return false;
	written = write(STDOUT_FILENO, ring.bytes + ring.head, n);
	if (written <= 0)
		return false;
	ring.head = (ring.head + (size_t)written) % RING_SIZE;
	ring.used -= (size_t)written;
	return true;
}

static const char *
find_field(const GLogField *fields, gsize n, const char *key)
{
	gsize i;

	for (i = 0; i < n; i++)
		if (strcmp(fields[i].key, key) == 0)
			return fields[i].value;
	return "";
}

/*
 * Formats a log line.  The time is in seconds since 1970.  Lines that GLib
 * itself logs have no part and no fields.
 */
static GLogWriterOutput
writer(GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
	char line[LINE_MAX_LEN + PREFIX_MAX_LEN];
	const char *part = find_field(fields, n, "FERN_PART");
	int64_t ms = clk_wall_ms(ring.clk);
	int len;

	(void)data;
	len = snprintf(line, sizeof(line),
	    "time=%lld.%03d level=%s part=%s msg=%s %s\n",
	    (long long)(ms / 1000), (int)(ms % 1000),
	    level & G_LOG_LEVEL_MASK & ~(G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO)
		? "warning"
		: "info",
	    part[0] != '\0' ? part : "glib",
	    slog_quote(find_field(fields, n, "MESSAGE")),
	    find_field(fields, n, "FERN_FIELDS"));
	if (len >= (int)sizeof(line)) {
		len = sizeof(line) - 1;
		line[len - 1] = '\n';
	}
	ring_put(line, (size_t)len);
	return G_LOG_WRITER_HANDLED;
}

/* Alternates between two buffers. */
const char *
slog_quote(const char *text)
{
	static char out[2][QUOTE_MAX + 3];
	static unsigned next_buffer;
	char *dst = out[next_buffer++ % 2], *start = dst;

	*dst++ = '"';
	for (; *text != '\0' && dst < start + QUOTE_MAX; text++) {
		if (*text == '"' || *text == '\\')
			*dst++ = '\\';
		*dst++ = (unsigned char)*text < ' ' ? ' ' : *text;
	}
	*dst++ = '"';
	*dst = '\0';
	return start;
}

void
slog_open(const struct clk *clk, bool quiet)
{
	ring.clk = clk;
	ring.quiet = quiet;
	g_log_set_writer_func(writer, NULL, NULL);
}

static void
log_line(GLogLevelFlags level, enum slog_part part, const char *msg,
    const char *fmt, va_list ap)
{
	char text[LINE_MAX_LEN];
	const GLogField fields[] = {
	    {"FERN_PART", part_names[part], -1},
	    {"MESSAGE", msg, -1},
	    {"FERN_FIELDS", text, -1},
	};

	if (ring.clk == NULL)
		return;
	vsnprintf(text, sizeof(text), fmt, ap);
	g_log_structured_array(level, fields, G_N_ELEMENTS(fields));
}

void
slog(enum slog_part part, const char *msg, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	log_line(G_LOG_LEVEL_MESSAGE, part, msg, fmt, ap);
	va_end(ap);
}

void
slog_warn(enum slog_part part, const char *msg, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	log_line(G_LOG_LEVEL_WARNING, part, msg, fmt, ap);
	va_end(ap);
}

void
slog_decision(enum slog_part part, const char *msg, const char *fmt, ...)
{
	va_list ap;

	if (ring.quiet || ring.clk == NULL)
		return;
	if (!limit_allow(
		&ring.decisions, DECISION_LINES_PER_S, clk_ns(ring.clk))) {
		ring.dropped++;
		return;
	}
	va_start(ap, fmt);
	log_line(G_LOG_LEVEL_INFO, part, msg, fmt, ap);
	va_end(ap);
}

/* Writes as much as is possible without blocking; for a signal handler. */
static void
write_now(const char *p, size_t n)
{
	struct pollfd pfd = {STDOUT_FILENO, POLLOUT, 0};
	ssize_t written;

	while (n > 0 && poll(&pfd, 1, 0) == 1 && (pfd.revents & POLLOUT)) {
		written = write(STDOUT_FILENO, p, MIN(n, (size_t)CHUNK_SIZE));
		if (written <= 0)
			return;
		p += written;
		n -= (size_t)written;
	}
}

/*
 * Writes the buffered lines, which say what led to the signal, and ends the
 * process by it.  The handler is reset by then.
 */
static void
on_fatal_signal(int signum)
{
	char text[] = "part=gate msg=\"ended by a fatal signal\" signal=00\n";
	char *units = text + sizeof(text) - 3;
	size_t first = MIN(ring.used, RING_SIZE - ring.head);

	units[-1] = (char)('0' + signum / 10);
	units[0] = (char)('0' + signum % 10);
	write_now(ring.bytes + ring.head, first);
	write_now(ring.bytes, ring.used - first);
	write_now(text, sizeof(text) - 1);
	raise(signum);
}

void
slog_on_fatal_signals(void)
{
	static const int signals[] = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};
	struct sigaction action = {.sa_handler = on_fatal_signal,
	    .sa_flags = (int)(SA_RESETHAND | SA_NODEFER)};
	size_t i;

	sigemptyset(&action.sa_mask);
	for (i = 0; i < G_N_ELEMENTS(signals); i++)
		sigaction(signals[i], &action, NULL);
}

void
slog_flush(void)
{
	uint64_t unreported = ring.dropped - ring.reported;

	while (ring.used > 0 && ring_write())
		;
	if (unreported > 0 && ring.used < RING_SIZE / 2) {
		ring.reported = ring.dropped;
		slog(SLOG_GATE, "log lines were dropped", "lines=%llu",
		    (unsigned long long)unreported);
	}
}

void
slog_close(void)
{
	struct pollfd pfd = {STDOUT_FILENO, POLLOUT, 0};

	/* Without a reader poll() says at once that a write would not block. */
	while (ring.used > 0)
		if (!ring_write() &&
		    (poll(&pfd, 1, 100) <= 0 ||
			(pfd.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0))
			return;
}

uint64_t
slog_dropped(void)
{
	return ring.dropped;
}
