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
 * The state of the shards that this gate owns, and the customers with the most
 * requests, as log lines and admin pages.  Nothing here decides about requests.
 */

static json_t *
left_out_json(const struct tally *t)
{
	json_t *o = json_object();
	int i;

	for (i = 0; i < LEFT_MAX; i++)
		json_object_set_new(o, tally_reason_name((enum tally_reason)i),
		    json_integer(t->left_out[i]));
	return o;
}

static json_t *
waiting_json(const struct tally *t)
{
	json_t *o = json_object();
	int i;

	for (i = 0; i < WAITING_MAX; i++)
		json_object_set_new(o, tally_queue_name((enum tally_queue)i),
		    json_integer((json_int_t)t->waiting[i]));
	return o;
}

/* Only the errors that occurred, as most kinds never do here. */
static json_t *
refused_json(const struct tally *t)
{
	json_t *o = json_object();
	int i;

	for (i = 0; i < ERR_MAX; i++)
		if (t->refused[i] > 0)
			json_object_set_new(o,
			    err_lookup((enum err_kind)i)->name,
			    json_integer((json_int_t)t->refused[i]));
	return o;
}

static json_t *
shard_json(const struct gate_shard *s)
{
	struct tally t;

	disp_tally(s->disp, &t);
	return json_pack("{s:s%, s:s%, s:b, s:i, s:i, s:o, s:o, s:o, s:b}",
	    "service", s->service.p, s->service.n, "hall", s->hall.p, s->hall.n,
	    "owner", (int)s->is_owner, "slots", t.slots, "usable", t.usable,
	    "left_out", left_out_json(&t), "waiting", waiting_json(&t),
	    "refused", refused_json(&t), "reduced", (int)s->alarm.reduced);
}

void
gate_stat_page_shards(struct gate *g, h2o_req_t *req)
{
	json_t *list = json_array();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value))
		json_array_append_new(list, shard_json(value));
	gate_stat_respond_json(req, list);
}

static void
log_change(const struct gate_shard *s, const struct tally *t,
    enum tally_change change, int64_t lasted)
{
	char left_out[TALLY_TEXT_MAX];

	tally_print_left_out(t, left_out, sizeof(left_out));
	if (change == TALLY_REDUCED)
		slog(SLOG_PICK, "shard capacity is reduced",
		    "service=%.*s hall=%.*s slots=%d usable=%d waiting=%zu %s",
		    STR_ARG(s->service), STR_ARG(s->hall), t->slots, t->usable,
		    tally_waiting(t), left_out);
	else
		slog(SLOG_PICK, "shard capacity is restored",
		    "service=%.*s hall=%.*s slots=%d usable=%d waiting=%zu "
		    "for_ms=%lld %s",
		    STR_ARG(s->service), STR_ARG(s->hall), t->slots, t->usable,
		    tally_waiting(t), (long long)(lasted / NS_MS), left_out);
}

/*
 * Most ticks find nothing that waits, and need no tally: without waiting
 * requests the capacity does not count as reduced.
 */
static void
check_shard(struct gate_shard *s, int64_t now)
{
	struct tally t = {0};
	enum tally_change change;
	int64_t lasted = 0;

	if (disp_queued(s->disp) > 0)
		disp_tally(s->disp, &t);
	change = tally_alarm_update(&s->alarm, &t, now, &lasted);
	if (change == TALLY_UNCHANGED)
		return;
	disp_tally(s->disp, &t);
	log_change(s, &t, change, lasted);
}

void
gate_stat_shards_tick(struct gate *g, int64_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value))
		check_shard(value, now);
}

/*
 * A request counts at the gate that its caller sent it to, and not at those
 * that it is forwarded to.
 */
static void
count(const struct gate_req *r, enum usage_end end)
{
	struct gate *g = r->gate;

	if (r->customer.n == 0 || r->forwarded)
		return;
	if (g->usage == NULL)
		g->usage = usage_new(clk_ns(g->clk));
	usage_add(g->usage, r->customer, end, clk_ns(g->clk));
}

/*
 * The limits of rules are checked before the customer's rate, and those of
 * shards after the request got a shard or an owner.
 */
static bool
is_over_rate(const struct gate_req *r, enum err_kind kind)
{
	return kind == ERR_OVER_LIMIT && r->rate_owners_tried > 0 &&
	    r->shard == NULL && r->forwards == 0;
}

void
gate_stat_refused(
    const struct gate_req *r, enum err_kind kind, enum err_ran ran)
{
	if (is_over_rate(r, kind))
		count(r, USAGE_OVER_RATE);
	else
		count(r, ran == RAN_NO ? USAGE_REFUSED : USAGE_FAILED);
}

void
gate_stat_answered(const struct gate_req *r, bool in_time)
{
	if (r->body_cut)
		count(r, USAGE_FAILED);
	else if (r->response_not_run)
		count(r, USAGE_REFUSED);
	else if (r->req->res.status >= 500)
		count(r, USAGE_FAILED);
	else
		count(r, in_time ? USAGE_IN_TIME : USAGE_LATE);
}

void
gate_stat_abandoned(const struct gate_req *r)
{
	count(r, USAGE_FAILED);
}

static json_t *
row_json(const struct usage_row *row)
{
	json_t *o = json_object();
	int i;

	if (row->name.n > 0)
		json_object_set_new(
		    o, "customer", json_stringn(row->name.p, row->name.n));
	json_object_set_new(
	    o, "requests", json_integer((json_int_t)row->requests));
	for (i = 0; i < USAGE_END_MAX; i++)
		json_object_set_new(o, usage_end_name((enum usage_end)i),
		    json_integer((json_int_t)row->ends[i]));
	json_object_set_new(o, "error", json_integer((json_int_t)row->error));
	return o;
}

void
gate_stat_page_customers(struct gate *g, h2o_req_t *req)
{
	struct usage_report report = {0};
	json_t *list = json_array();
	unsigned i;

	if (g->usage != NULL)
		usage_summarize(g->usage, clk_ns(g->clk), &report);
	for (i = 0; i < report.n; i++)
		json_array_append_new(list, row_json(&report.rows[i]));
	gate_stat_respond_json(req,
	    json_pack("{s:I, s:o, s:o}", "span_ms",
		(json_int_t)(report.length / NS_MS), "customers", list,
		"others", row_json(&report.others)));
}
