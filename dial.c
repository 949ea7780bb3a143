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
#include <glib.h>
#include <stdio.h>

#include "dial.h"

/* What callers and backend servers say by headers, in our own dialect. */

enum { PACE_USUAL = 100, MS_A_SECOND = 1000 };

static bool refused(int, const h2o_header_t *, size_t);
static bool moved(int, const h2o_header_t *, size_t);
static void word(int, const h2o_header_t *, size_t, struct dial_report *);

const struct dialect fern_dialect = {
    .name = "fern",
    .deadline = {"fern-deadline-ms", 16},
    .retried = {"fern-retried", 12},
    .not_executed = refused,
    .address_reassigned = moved,
    .parse_report = word,
};

static const struct dial_report_headers word_names = {
    .load = {"fern-load", 9},
    .slow_start = {"fern-cold-ms", 12},
    .leaving = {"fern-drain", 10},
    .rate_limit = {"fern-limit", 10},
    .retry_after = {"retry-after", 11},
};

struct str
dial_find_header(const h2o_header_t *headers, size_t n, struct str name)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (h2o_lcstris(headers[i].name->base, headers[i].name->len,
			name.p, name.n))
			return str_n(
			    headers[i].value.base, headers[i].value.len);
	return str_c(NULL);
}

bool
dial_parse_load(struct str text, struct dial_load *out)
{
	char copy[64];
	int n;

	if (text.n == 0 || text.n >= sizeof(copy))
		return false;
	memcpy(copy, text.p, text.n);
	copy[text.n] = '\0';
	out->latency_percent = PACE_USUAL;
	n = sscanf(copy, "%d,%d,%d,%d", &out->running, &out->waiting,
	    &out->slots, &out->latency_percent);
	return n >= 3 && out->running >= 0 && out->waiting >= 0 &&
	    out->slots > 0 && out->latency_percent > 0;
}

/*
 * "Fern-Ran: no" is a backend server's word that it refused before running.
 * Without it a 5xx may have run.
 */
static bool
refused(int status, const h2o_header_t *headers, size_t n)
{
	struct str ran = dial_find_header(headers, n, STR_LIT("fern-ran"));

	return status >= 400 && str_eq(ran, STR_LIT("no"));
}

static bool
moved(int status, const h2o_header_t *headers, size_t n)
{
	(void)status;
	(void)headers;
	(void)n;
	return false;
}

int64_t
dial_parse_ms(struct str text)
{
	unsigned long long ms;

	return str_u64(text, &ms) ? (int64_t)MIN(ms, DIAL_MS_MAX) : 0;
}

static bool
says_yes(struct str text)
{
	return text.n > 0 && !str_eq(text, STR_LIT("0"));
}

/* A plain decimal number, without sign or exponent. */
static bool
read_decimal(struct str text, double *out)
{
	char copy[DIAL_DECIMAL_MAX + 1];
	size_t i, points = 0, digits = 0;

	if (text.n >= sizeof(copy))
		return false;
	for (i = 0; i < text.n; i++) {
		points += text.p[i] == '.';
		digits += g_ascii_isdigit(text.p[i]);
	}
	if (digits == 0 || points > 1 || digits + points != text.n)
		return false;
	memcpy(copy, text.p, text.n);
	copy[text.n] = '\0';
	*out = g_ascii_strtod(copy, NULL);
	return true;
}

bool
dial_parse_rate(struct str text, double *out)
{
	double rate;

	if (!read_decimal(text, &rate))
		return false;
	*out = MAX(rate, DIAL_RATE_MIN);
	return true;
}

bool
dial_parse_seconds(struct str text, int64_t *ms)
{
	double seconds;

	if (!read_decimal(text, &seconds))
		return false;
	*ms = (int64_t)MIN(seconds * MS_A_SECOND, DIAL_MS_MAX);
	return true;
}

/* Only with these does Retry-After tell of the backend server itself. */
static bool
asks_for_rest(int status)
{
	return status == 429 || status == 503;
}

void
dial_parse_report(const struct dial_report_headers *names, int status,
    const h2o_header_t *headers, size_t n, struct dial_report *out)
{
	struct str load = dial_find_header(headers, n, names->load);
	struct str limit = dial_find_header(headers, n, names->rate_limit);
	struct str rest = dial_find_header(headers, n, names->retry_after);

	*out = (struct dial_report){
	    .slow_start_ms =
		dial_parse_ms(dial_find_header(headers, n, names->slow_start)),
	    .leaving = says_yes(dial_find_header(headers, n, names->leaving)),
	};
	out->has_load = dial_parse_load(load, &out->load);
	if (limit.p != NULL && !dial_parse_rate(limit, &out->rate_limit))
		out->malformed = true;
	if (rest.p != NULL && asks_for_rest(status) &&
	    !dial_parse_seconds(rest, &out->retry_after_ms))
		out->malformed = true;
}

static void
word(int status, const h2o_header_t *headers, size_t n, struct dial_report *out)
{
	dial_parse_report(&word_names, status, headers, n, out);
}
