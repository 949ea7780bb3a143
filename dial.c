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
#include "dial.h"

/* Fernjunction's own dialect, and functions that parse headers. */

enum {
	LATENCY_USUAL_PERCENT = 100,
	MS_PER_SECOND = 1000,
	LOAD_MAX = 1000000, /* of any part of a reported load */
	LOAD_FIELDS_MIN = 3,
	LOAD_FIELDS_MAX = 4
};

static bool not_executed(int, const h2o_header_t *, size_t);
static bool address_reassigned(int, const h2o_header_t *, size_t);
static void
parse_report(int, const h2o_header_t *, size_t, struct dial_report *);

const struct dialect fern_dialect = {
    .name = "fern",
    .deadline = {"fern-deadline-ms", 16},
    .retried = {"fern-retried", 12},
    .not_executed = not_executed,
    .address_reassigned = address_reassigned,
    .parse_report = parse_report,
};

static const struct dial_report_headers report_headers = {
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

/*
 * Cuts a number and the comma after it off a text.  Returns false if there is
 * no number.
 */
static bool
cut_number(struct str *text, unsigned long long *out)
{
	const char *p = text->p, *end = text->p + text->n, *digits;

	while (p < end && *p == ' ')
		p++;
	for (digits = p; p < end && g_ascii_isdigit(*p);)
		p++;
	if (!str_u64(str_n(digits, (size_t)(p - digits)), out))
		return false;
	while (p < end && *p++ != ',')
		continue;
	*text = str_n(p, (size_t)(end - p));
	return true;
}

bool
dial_parse_load(struct str text, struct dial_load *out)
{
	unsigned long long numbers[LOAD_FIELDS_MAX] = {
	    0, 0, 0, LATENCY_USUAL_PERCENT};
	unsigned n, i;

	for (n = 0; n < LOAD_FIELDS_MAX; n++)
		if (!cut_number(&text, &numbers[n]))
			break;
	for (i = 0; i < n; i++)
		if (numbers[i] > LOAD_MAX)
			return false;
	out->running = (int)numbers[0];
	out->waiting = (int)numbers[1];
	out->slots = (int)numbers[2];
	out->latency_percent = (int)numbers[3];
	return n >= LOAD_FIELDS_MIN && out->slots > 0 &&
	    out->latency_percent > 0;
}

/*
 * "Fern-Ran: no" means that the backend server refused the request and did not
 * run it.  A request that got a 5xx without this header may have run.
 */
static bool
not_executed(int status, const h2o_header_t *headers, size_t n)
{
	struct str ran = dial_find_header(headers, n, STR_LIT("fern-ran"));

	return status >= 400 && str_eq(ran, STR_LIT("no"));
}

static bool
address_reassigned(int status, const h2o_header_t *headers, size_t n)
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

/* Any value but "0" is true. */
static bool
parse_flag(struct str text)
{
	return text.n > 0 && !str_eq(text, STR_LIT("0"));
}

/* Parses a decimal number without sign or exponent. */
static bool
parse_decimal(struct str text, double *out)
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

	if (!parse_decimal(text, &rate))
		return false;
	*out = MAX(rate, DIAL_RATE_MIN);
	return true;
}

bool
dial_parse_seconds(struct str text, int64_t *ms)
{
	double seconds;

	if (!parse_decimal(text, &seconds))
		return false;
	*ms = (int64_t)MIN(seconds * MS_PER_SECOND, DIAL_MS_MAX);
	return true;
}

/*
 * Returns whether Retry-After applies to the backend server itself, not just to
 * the request.
 */
static bool
is_overload_status(int status)
{
	return status == 429 || status == 503;
}

void
dial_parse_report(const struct dial_report_headers *names, int status,
    const h2o_header_t *headers, size_t n, struct dial_report *out)
{
	struct str load = dial_find_header(headers, n, names->load);
	struct str limit = dial_find_header(headers, n, names->rate_limit);
	struct str retry_after =
	    dial_find_header(headers, n, names->retry_after);

	*out = (struct dial_report){
	    .slow_start_ms =
		dial_parse_ms(dial_find_header(headers, n, names->slow_start)),
	    .leaving = parse_flag(dial_find_header(headers, n, names->leaving)),
	};
	out->has_load = dial_parse_load(load, &out->load);
	if (limit.p != NULL && !dial_parse_rate(limit, &out->rate_limit))
		out->malformed = true;
	if (retry_after.p != NULL && is_overload_status(status) &&
	    !dial_parse_seconds(retry_after, &out->retry_after_ms))
		out->malformed = true;
}

static void
parse_report(
    int status, const h2o_header_t *headers, size_t n, struct dial_report *out)
{
	dial_parse_report(&report_headers, status, headers, n, out);
}
