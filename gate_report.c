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
#include "libreq.h"
#include "slog.h"

/*
 * Reports that backend servers make about themselves in responses to requests
 * and to load queries: they are applied to the shard, and changes are logged.
 */

/*
 * Logs a malformed report.  A backend server whose reports are always malformed
 * gets one line.
 */
static void
log_malformed(struct gate *g, struct pick_backend *b, struct str id)
{
	cnt_add(g->cnt, GC_MALFORMED_REPORTS, 1);
	if (!b->malformed_report)
		slog_decision(SLOG_PICK,
		    "a backend server says what cannot be read",
		    "id=%.*s backend=%.*s", STR_ARG(id), STR_ARG(b->name));
	b->malformed_report = true;
}

static void
log_quota(
    const struct gate_shard *s, struct str backend, struct str id, double rate)
{
	slog_decision(SLOG_PICK,
	    rate > 0 ? "a backend server says how many requests it takes"
		     : "a backend server has no rate limit any more",
	    "id=%.*s service=%.*s backend=%.*s a_second=%.2f", STR_ARG(id),
	    STR_ARG(s->service), STR_ARG(backend), rate);
}

static void
log_leaving(const struct gate_shard *s, struct str backend, struct str id)
{
	slog_decision(SLOG_PICK, "a backend server says that it leaves",
	    "id=%.*s service=%.*s backend=%.*s", STR_ARG(id),
	    STR_ARG(s->service), STR_ARG(backend));
}

static void
log_pause(const struct gate_shard *s, struct str backend, struct str id,
    int64_t pause_ms)
{
	cnt_add(s->gate->cnt, GC_RETRY_AFTER_PAUSES, 1);
	slog_decision(SLOG_PICK, "a backend server asks for a rest",
	    "id=%.*s service=%.*s backend=%.*s rest_ms=%lld", STR_ARG(id),
	    STR_ARG(s->service), STR_ARG(backend), (long long)pause_ms);
}

/*
 * Returns whether a response states the rate limit.  A response without a limit
 * ends the limit, except for refusals, as the part of a backend server that
 * refuses may not know the limit.
 */
static bool
states_quota(const struct gate_req *r, int status, const h2o_header_t *headers,
    size_t n, const struct dial_report *report)
{
	return report->rate_limit > 0 ||
	    (!report->malformed &&
		!r->gate->dialect->not_executed(status, headers, n));
}

/*
 * Stores the current report of a backend server, which outlives its
 * configuration, and sends it to other gates.  In dialects where a backend
 * server may cancel that it is leaving, this is not stored: the probes of each
 * box find it.
 */
static void
store_report(struct gate *g, const struct pick_backend *b)
{
	struct backend_report stored = {.backend = b->name,
	    .started_ms = b->started_ms,
	    .leaving = b->leaving && g->dialect->leaving_is_final,
	    .rate = b->quota.rate,
	    .reported_at = clk_ns(g->clk),
	    .pause_until = b->pause_until};

	gate_reports_add(g, &stored);
}

/*
 * Applies a report.  `sent` is when the request or load query that it answers
 * was sent.
 */
static void
apply(struct gate_shard *s, struct pick_backend *b, struct str id,
    const struct dial_report *report, int64_t sent, bool has_quota)
{
	bool changed = false;

	if (report->malformed)
		log_malformed(s->gate, b, id);
	if (report->leaving && disp_leaving_reported(b))
		log_leaving(s, b->name, id);
	if (disp_pause_reported(s->disp, b, report->retry_after_ms * NS_MS))
		log_pause(s, b->name, id, report->retry_after_ms);
	if (has_quota &&
	    disp_quota_reported(s->disp, b, report->rate_limit, sent)) {
		log_quota(s, b->name, id, report->rate_limit);
		changed = true;
	}
	if (changed || report->rate_limit > 0 || report->leaving ||
	    report->retry_after_ms > 0)
		store_report(s->gate, b);
}

static void
apply_cold(
    struct gate_shard *s, const struct pick_backend *b, int64_t slow_start_ms)
{
	if (disp_cold_reported(s->disp, b->name, slow_start_ms * NS_MS))
		slog_decision(SLOG_PICK,
		    slow_start_ms > 0 ? "a backend server is cold"
				      : "a backend server is warm",
		    "backend=%.*s service=%.*s cold_ms=%lld", STR_ARG(b->name),
		    STR_ARG(s->service), (long long)slow_start_ms);
}

void
gate_report_from_response(
    struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	const struct dialect *dialect = r->gate->dialect;
	struct gate_shard *s = r->shard;
	struct dial_report report;

	/*
	 * Another backend server has the address now; the report is about that
	 * one.
	 */
	if (dialect->address_reassigned(status, headers, n))
		return;
	dialect->parse_report(status, headers, n, &report);
	if (report.has_load)
		disp_load_reported(s->disp, r->disp.backend,
		    report.load.running, report.load.waiting,
		    report.load.latency_percent);
	/* A response that does not state a slow start does not end one. */
	if (report.slow_start_ms > 0)
		apply_cold(s, r->disp.backend, report.slow_start_ms);
	apply(s, r->disp.backend, r->request_id, &report, r->disp.sent_at,
	    states_quota(r, status, headers, n, &report));
}

/*
 * Responses to requests may state a limit where responses to load queries do
 * not, so a query's response without a limit does not end the limit.
 */
void
gate_report_from_query(struct gate_shard *s, struct pick_backend *b,
    const struct dial_report *report)
{
	apply_cold(s, b, report->slow_start_ms);
	apply(s, b, str_c(NULL), report, b->queried_at, report->rate_limit > 0);
}
