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
 * What backend servers say of themselves with their answers, to requests and
 * to questions: brought to the shard, and told in the log.
 */

/* One that is told wrong each time gets one line. */
static void
note_malformed(struct gate *g, struct pick_backend *b, struct str id)
{
	cnt_add(g->cnt, GC_MALFORMED_REPORTS, 1);
	if (!b->malformed_report)
		slog_decision(SLOG_PICK,
		    "a backend server says what cannot be read",
		    "id=%.*s backend=%.*s", STR_ARG(id), STR_ARG(b->name));
	b->malformed_report = true;
}

static void
note_quota(
    const struct gate_shard *s, struct str backend, struct str id, double rate)
{
	slog_decision(SLOG_PICK,
	    rate > 0 ? "a backend server says how many requests it takes"
		     : "a backend server takes any number again",
	    "id=%.*s service=%.*s backend=%.*s a_second=%.2f", STR_ARG(id),
	    STR_ARG(s->service), STR_ARG(backend), rate);
}

static void
note_leaving(const struct gate_shard *s, struct str backend, struct str id)
{
	slog_decision(SLOG_PICK, "a backend server says that it leaves",
	    "id=%.*s service=%.*s backend=%.*s", STR_ARG(id),
	    STR_ARG(s->service), STR_ARG(backend));
}

static void
note_rest(const struct gate_shard *s, struct str backend, struct str id,
    int64_t rest_ms)
{
	cnt_add(s->gate->cnt, GC_RETRY_AFTER_PAUSES, 1);
	slog_decision(SLOG_PICK, "a backend server asks for a rest",
	    "id=%.*s service=%.*s backend=%.*s rest_ms=%lld", STR_ARG(id),
	    STR_ARG(s->service), STR_ARG(backend), (long long)rest_ms);
}

/*
 * An answer that says nothing of a limit ends it; but a refusal may be written
 * where the limit is not known.
 */
static bool
tells_quota(const struct gate_req *r, int status, const h2o_header_t *headers,
    size_t n, const struct dial_report *word)
{
	return word->rate_limit > 0 ||
	    (!word->malformed &&
		!r->gate->dialect->not_executed(status, headers, n));
}

/*
 * What it has said by now is kept beside its entry, and told to others.  One
 * that may take back that it leaves tells that to probes, and they tell it.
 */
static void
keep(struct gate *g, const struct pick_backend *b)
{
	struct backend_report w = {.backend = b->name,
	    .started_ms = b->started_ms,
	    .leaving = b->leaving && g->dialect->leaving_is_final,
	    .rate = b->quota.rate,
	    .reported_at = clk_ns(g->clk),
	    .pause_until = b->pause_until};

	gate_reports_add(g, &w);
}

/* The answer is to what was sent at a time, a request's or a question's. */
static void
take(struct gate_shard *s, struct pick_backend *b, struct str id,
    const struct dial_report *word, int64_t sent, bool quota)
{
	bool news = false;

	if (word->malformed)
		note_malformed(s->gate, b, id);
	if (word->leaving && disp_leaving_reported(b))
		note_leaving(s, b->name, id);
	if (disp_pause_reported(s->disp, b, word->retry_after_ms * NS_MS))
		note_rest(s, b->name, id, word->retry_after_ms);
	if (quota && disp_quota_reported(s->disp, b, word->rate_limit, sent)) {
		note_quota(s, b->name, id, word->rate_limit);
		news = true;
	}
	if (news || word->rate_limit > 0 || word->leaving ||
	    word->retry_after_ms > 0)
		keep(s->gate, b);
}

void
gate_report_from_answer(
    struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	const struct dialect *dialect = r->gate->dialect;
	struct gate_shard *s = r->shard;
	struct dial_report word;

	/* Another backend server has the address, and speaks of itself. */
	if (dialect->address_reassigned(status, headers, n))
		return;
	dialect->parse_report(status, headers, n, &word);
	if (word.has_load)
		disp_load_reported(s->disp, r->disp.backend, word.load.running,
		    word.load.waiting, word.load.latency_percent);
	take(s, r->disp.backend, r->request_id, &word, r->disp.sent_at,
	    tells_quota(r, status, headers, n, &word));
}

/* Where answers to requests name a limit, those to questions may not. */
void
gate_report_from_query(struct gate_shard *s, struct pick_backend *b,
    const struct dial_report *word)
{
	if (disp_cold_reported(s->disp, b->name, word->slow_start_ms * NS_MS))
		slog_decision(SLOG_PICK,
		    word->slow_start_ms > 0 ? "a backend server is cold"
					    : "a backend server is warm",
		    "backend=%.*s service=%.*s cold_ms=%lld", STR_ARG(b->name),
		    STR_ARG(s->service), (long long)word->slow_start_ms);
	take(s, b, str_c(NULL), word, b->queried_at, word->rate_limit > 0);
}
