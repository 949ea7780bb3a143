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
	cnt_add(g->cnt, GC_MALFORMED, 1);
	if (!b->malformed)
		slog_decision(SLOG_PICK,
		    "a backend server says what cannot be read",
		    "id=%.*s backend=%.*s", STR_ARG(id), STR_ARG(b->name));
	b->malformed = true;
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
	cnt_add(s->gate->cnt, GC_RESTS, 1);
	slog_decision(SLOG_PICK, "a backend server asks for a rest",
	    "id=%.*s service=%.*s backend=%.*s rest_ms=%lld", STR_ARG(id),
	    STR_ARG(s->service), STR_ARG(backend), (long long)pause_ms);
}

/*
 * Returns whether a response tells the rate limit.  A response without a limit
 * ends the limit, except for refusals, as the part of a backend server that
 * refuses may not know the limit.
 */
static bool
states_quota(const struct gate_req *r, int status, const h2o_header_t *headers,
    size_t n, const struct dial_word *report)
{
	return report->limit > 0 ||
	    (!report->malformed && !r->gate->dial->refused(status, headers, n));
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
	struct word stored = {.backend = b->name,
	    .born_ms = b->born_ms,
	    .leaves = b->leaves && g->dial->leaves_for_life,
	    .rate = b->quota.rate,
	    .heard = clk_ns(g->clk),
	    .rest_until = b->rest_until};

	gate_words_hear(g, &stored);
}

/*
 * Applies a report.  `sent` is when the request or load query that it answers
 * was sent.
 */
static void
apply(struct gate_shard *s, struct pick_backend *b, struct str id,
    const struct dial_word *report, int64_t sent, bool has_quota)
{
	bool changed = false;

	if (report->malformed)
		log_malformed(s->gate, b, id);
	if (report->leaves && disp_leaves_told(b))
		log_leaving(s, b->name, id);
	if (disp_rest_told(s->disp, b, report->rest_ms * NS_MS))
		log_pause(s, b->name, id, report->rest_ms);
	if (has_quota && disp_quota_told(s->disp, b, report->limit, sent)) {
		log_quota(s, b->name, id, report->limit);
		changed = true;
	}
	if (changed || report->limit > 0 || report->leaves ||
	    report->rest_ms > 0)
		store_report(s->gate, b);
}

void
gate_word_answer(
    struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	const struct dial *dial = r->gate->dial;
	struct gate_shard *s = r->shard;
	struct dial_word report;

	/*
	 * Another backend server has the address now; the report is about that
	 * one.
	 */
	if (dial->moved(status, headers, n))
		return;
	dial->word(status, headers, n, &report);
	if (report.tells_load)
		disp_load_told(s->disp, r->d.at, report.load.running,
		    report.load.waiting, report.load.pace);
	apply(s, r->d.at, r->name, &report, r->d.sent,
	    states_quota(r, status, headers, n, &report));
}

/*
 * Responses to requests may state a limit where responses to load queries do
 * not, so a query's response without a limit does not end the limit.
 */
void
gate_word_peeked(struct gate_shard *s, struct pick_backend *b,
    const struct dial_word *report)
{
	if (disp_cold_told(s->disp, b->name, report->cold_ms * NS_MS))
		slog_decision(SLOG_PICK,
		    report->cold_ms > 0 ? "a backend server is cold"
					: "a backend server is warm",
		    "backend=%.*s service=%.*s cold_ms=%lld", STR_ARG(b->name),
		    STR_ARG(s->service), (long long)report->cold_ms);
	apply(s, b, str_c(NULL), report, b->peeked_at, report->limit > 0);
}
