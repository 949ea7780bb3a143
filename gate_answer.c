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
#include <stdio.h>

#include "libreq.h"
#include "slog.h"

/*
 * Error responses that the gate itself sends for requests that it does not
 * serve.
 */

static void
add_header(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t copy = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
	    1, NULL, copy.base, copy.len);
}

/*
 * Adds Retry-After, in whole seconds, rounded up, unless the dialect allows
 * fractions.
 */
static void
add_retry_after(struct gate_req *r, int64_t after)
{
	char num[24];

	if (after <= 0)
		return;
	if (r->gate->dialect->fractional_retry_after)
		snprintf(num, sizeof(num), "%.3f", (double)after / NS_S);
	else
		snprintf(num, sizeof(num), "%lld",
		    (long long)((after + NS_S - 1) / NS_S));
	add_header(r->req, "retry-after", num);
}

/*
 * Ends the request with an error response.  Its headers and body state the kind
 * of error and whether the request ran.
 */
void
gate_respond(struct gate_req *r, enum err_kind kind, enum err_ran ran,
    int64_t retry_after)
{
	const struct err_info *row = err_lookup(kind);
	const struct dialect *dialect = r->gate->dialect;
	h2o_req_t *req = r->req;
	int status = row->status;
	char body[160];
	int n;

	if (r->state == REQ_DONE || gate_kept_resume(r))
		return;
	gate_req_event(r, REQ_EV_END);
	r->waits_for_conf = false;
	tmr_clear(&r->gate->tmr, &r->timer);
	gate_rate_cancel(r);
	if (ran == RAN_NO && r->shard != NULL)
		refusals_record_refusal(r->gate->refusals, r->disp.fingerprint,
		    r->arrived_at - r->waited_ms * NS_MS, clk_ns(r->gate->clk));
	gate_req_settle_claim(r, ran == RAN_NO);
	cnt_add(r->gate->cnt, GC_REFUSED, 1);
	gate_stat_refused(r, kind, ran);
	cnt_add(r->gate->cnt, GC_OVER_SHARE_REFUSED,
	    r->disp.over_share && ran == RAN_NO);
	if (dialect->status_means_not_run)
		status = err_status_for_ran(kind, ran);
	slog_decision(SLOG_ROUTE, "refused",
	    "id=%.*s print=" FPRINT_FMT
	    " why=%s ran=%s status=%d age_ms=%lld tries=%d stopped=%d "
	    "retry_after_ms=%lld rule=%.*s service=%.*s customer=%.*s "
	    "over_share=%d "
	    "conf=%llu "
	    "conf_age_ms=%lld conf_held_ms=%lld conf_from=%.*s %s%s",
	    STR_ARG(r->request_id), FPRINT_ARG(r->disp.fingerprint), row->name,
	    err_ran_name(ran), status,
	    (long long)((clk_ns(r->gate->clk) - r->arrived_at) / NS_MS),
	    r->disp.attempt_count, r->stopped, (long long)(retry_after / NS_MS),
	    STR_ARG(r->rule), STR_ARG(r->service), STR_ARG(r->customer),
	    r->disp.over_share, (unsigned long long)r->conf_version,
	    (long long)sync_age_ms(&r->gate->sync),
	    gate_conf_in_force_ms(r->gate), STR_ARG(r->gate->rules_source),
	    gate_admit_limit(r).text, gate_box_arrival(r).text);
	if (req == NULL)
		return;
	add_header(req, "fern-error", row->name);
	add_header(req, "fern-ran", err_ran_name(ran));
	add_retry_after(
	    r, retry_after > 0 ? retry_after : row->retry_after_s * NS_S);
	n = snprintf(body, sizeof(body),
	    "{\"error\":\"%s\",\"ran\":\"%s\",\"text\":\"%s\"}\n", row->name,
	    err_ran_name(ran), row->sentence);
	hsrv_send_response(
	    req, status, "application/json", str_n(body, (size_t)n));
}
