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

#include "libgate.h"
#include "slog.h"

/* The gate's metrics and its admin pages. */

static void page_metrics(struct gate *, h2o_req_t *);
static void page_ready(struct gate *, h2o_req_t *);
static void page_backends(struct gate *, h2o_req_t *);
static void page_owners(struct gate *, h2o_req_t *);

static const struct cnt_desc descs[GC_MAX] = {
    [GC_REQUESTS] = {"fern_requests_total",
	"Requests that callers sent to this box.", CNT_COUNTER},
    [GC_FORWARDED_IN] = {"fern_passed_in_total",
	"Requests that other boxes passed to this one.", CNT_COUNTER},
    [GC_FORWARDED_OUT] = {"fern_passed_out_total",
	"Requests passed to other boxes.", CNT_COUNTER},
    [GC_RESPONSES_COMPLETE] = {"fern_answered_total",
	"Requests whose answer was complete.", CNT_COUNTER},
    [GC_REFUSED] = {"fern_refused_total",
	"Requests answered by this box with an error.", CNT_COUNTER},
    [GC_RETRIES] = {"fern_retries_total", "Tries after the first.",
	CNT_COUNTER},
    [GC_ATTEMPTS_STOPPED] = {"fern_stopped_total",
	"Tries stopped as far too slow and begun elsewhere.", CNT_COUNTER},
    [GC_ATTEMPTS_BROKEN] = {"fern_tries_broken_total",
	"Tries whose connection to a backend server broke or never stood.",
	CNT_COUNTER},
    [GC_SERVERS_CRASHED] = {"fern_servers_ended_total",
	"Backend servers that ended with requests there.", CNT_COUNTER},
    [GC_REPORT_OVERRIDDEN] = {"fern_against_word_total",
	"Requests sent to a backend server against what it says of itself.",
	CNT_COUNTER},
    [GC_RETRY_AFTER_PAUSES] = {"fern_rests_total",
	"Times that a backend server asked for a rest.", CNT_COUNTER},
    [GC_MALFORMED_REPORTS] = {"fern_malformed_words_total",
	"Answers in which a backend server says what cannot be read.",
	CNT_COUNTER},
    [GC_POISON] = {"fern_poison",
	"Requests refused because backend servers end when they run them.",
	CNT_GAUGE},
    [GC_NO_KEY] = {"fern_no_key_total",
	"Requests refused for want of a customer's key.", CNT_COUNTER},
    [GC_OVER_RATE] = {"fern_over_rate_total",
	"Requests refused as their customer's rate was used up.", CNT_COUNTER},
    [GC_OVER_SHARE_SENT] = {"fern_over_share_sent_total",
	"Attempts of requests beyond their customer's share.", CNT_COUNTER},
    [GC_OVER_SHARE_REFUSED] = {"fern_over_share_refused_total",
	"Requests refused that were beyond their customer's share.",
	CNT_COUNTER},
    [GC_RATE_QUERIES] = {"fern_rate_asks_total",
	"Questions whether a customer may make a request.", CNT_COUNTER},
    [GC_RATE_QUERIES_LOST] = {"fern_rate_asks_lost_total",
	"Such questions that were not answered in time.", CNT_COUNTER},
    [GC_RATE_TAKEOVERS] = {"fern_rate_takeovers_total",
	"Times that this box began to grant a customer's requests.",
	CNT_COUNTER},
    [GC_RATE_TAKEOVERS_UNKNOWN] = {"fern_rate_takeovers_unknown_total",
	"Such times when no box could report what had been granted.",
	CNT_COUNTER},
    [GC_RATE_RECORDS] = {"fern_rate_usage_records_total",
	"Reports to other boxes of what a customer was granted.", CNT_COUNTER},
    [GC_RATE_SHARES] = {"fern_rate_shares_total",
	"changes after which customers' limits are shared with halls that are "
	"not in touch"},
    [GC_RATE_RETURNED] = {"fern_rate_returned_total",
	"Grants given back because their request did not run.", CNT_COUNTER},
    [GC_RESPONSES_CUT] = {"fern_cut_total",
	"Answers that broke off and were told as broken.", CNT_COUNTER},
    [GC_CALLERS_GONE] = {"fern_callers_gone_total",
	"Requests whose caller went away.", CNT_COUNTER},
    [GC_CLAIMS] = {"fern_claims_total", "Requests with a key.", CNT_COUNTER},
    [GC_CLAIM_CALLS] = {"fern_claim_calls_total",
	"Calls to the platform for claims.", CNT_COUNTER},
    [GC_DUPLICATES] = {"fern_duplicates_total",
	"Requests refused because their key was taken.", CNT_COUNTER},
    [GC_STATES_SENT] = {"fern_shard_states_sent_total",
	"States of shards sent to their next owners.", CNT_COUNTER},
    [GC_STATES_RECEIVED] = {"fern_shard_states_received_total",
	"States of shards received from their former owners, and used.",
	CNT_COUNTER},
    [GC_STATES_IGNORED] = {"fern_shard_states_ignored_total",
	"Such states that were not used: malformed, repeated or too late.",
	CNT_COUNTER},
    [GC_OWNERS_SUSPECTED] = {"fern_homes_left_total",
	"Homes left because they did not answer.", CNT_COUNTER},
    [GC_BOXES] = {"fern_boxes", "Gates that serve, this one among them.",
	CNT_GAUGE},
    [GC_INFLIGHT] = {"fern_requests_inflight", "Requests being worked on.",
	CNT_GAUGE},
    [GC_OBJECTS] = {"fern_objects", "Objects in force.", CNT_GAUGE},
    [GC_BODY_BYTES] = {"fern_body_bytes",
	"Bytes of request bodies that are held or announced.", CNT_GAUGE},
    [GC_LOG_DROPPED] = {"fern_log_dropped_total",
	"Log lines dropped under pressure.", CNT_COUNTER},
    [GC_CONTROL_IN] = {"fern_control_in_bytes_total",
	"Bytes of messages from other processes.", CNT_COUNTER},
    [GC_CONTROL_OUT] = {"fern_control_out_bytes_total",
	"Bytes of messages to other processes.", CNT_COUNTER},
    [GC_LOAD_QUERIES] = {"fern_peeks_total",
	"Questions for the load of a backend server.", CNT_COUNTER},
    [GC_LOAD_QUERIES_LOST] = {"fern_peeks_lost_total",
	"Questions for the load that were not answered.", CNT_COUNTER},
    [GC_EVACUATED] = {"fern_halls_evacuated",
	"Halls whose backend servers get nothing new.", CNT_GAUGE},
    [GC_CONF_AGE] = {"fern_conf_age_ms",
	"Time since the rules here were confirmed by the platform.", CNT_GAUGE},
    [GC_VERSIONS_REVERTED] = {"fern_conf_reverts_total",
	"Rules that came into force in an older version.", CNT_COUNTER},
    [GC_IDLE_CLOSED] = {"fern_idle_closed_total",
	"Callers' connections closed by the idle timeout.", CNT_COUNTER},
    [GC_CLOSE_CROSSED] = {"fern_close_crossed_total",
	"Callers' connections on which bytes came after this box ended them.",
	CNT_COUNTER},
    [GC_LOOP_BUSY] = {"fern_loop_busy_total",
	"Times that the event loop handled no event for 50 ms or more.",
	CNT_COUNTER},
    [GC_LATENCY] = {"fern_answer_seconds",
	"Time from a request's arrival to its answer's head.", CNT_HISTOGRAM},
    [GC_QUEUE_TIME] = {"fern_held_seconds",
	"Time from a request's arrival to its sending.", CNT_HISTOGRAM},
};

static const struct {
	const char *path;
	void (*page)(struct gate *, h2o_req_t *);
} pages[] = {
    {"/metrics", page_metrics},
    {"/ready", page_ready},
    {"/backends", page_backends},
    {"/homes", page_owners},
    {"/shards", gate_stat_page_shards},
    {"/customers", gate_stat_page_customers},
};

struct cnt *
gate_stat_open(void)
{
	return cnt_new(descs, G_N_ELEMENTS(descs));
}

static void
page_metrics(struct gate *g, h2o_req_t *req)
{
	GString *out = g_string_new(NULL);

	cnt_set(g->cnt, GC_BOXES, g->live_boxes);
	cnt_set(g->cnt, GC_BODY_BYTES, g->room.held);
	cnt_set(g->cnt, GC_POISON, poison_count_proved(g->poison));
	cnt_set(g->cnt, GC_INFLIGHT, gate_req_count(g));
	cnt_set(g->cnt, GC_CONF_AGE, (uint64_t)MAX(sync_age_ms(&g->sync), 0));
	cnt_set(g->cnt, GC_LOG_DROPPED, slog_dropped());
	cnt_set(g->cnt, GC_CONTROL_IN, wire_get_totals(g->wire)->bytes_in);
	cnt_set(g->cnt, GC_CONTROL_OUT, wire_get_totals(g->wire)->bytes_out);
	cnt_print(g->cnt, out);
	hsrv_send_response(
	    req, 200, "text/plain; version=0.0.4", str_n(out->str, out->len));
	g_string_free(out, TRUE);
}

static void
page_ready(struct gate *g, h2o_req_t *req)
{
	const char *name = chart_state_name(g->chart_box, (int)g->state);

	hsrv_send_response(
	    req, g->state == BOX_READY ? 200 : 503, "text/plain", str_c(name));
}

/*
 * State of print_backend(): the list that is written, and the shard of the
 * backend servers.
 */
struct backend_list {
	json_t *list;
	const struct gate_shard *shard;
};

static int64_t
pause_left(const struct gate_shard *s, const struct pick_backend *b)
{
	return MAX(b->pause_until - clk_ns(s->gate->clk), 0);
}

static void
print_backend(void *ctx, const struct pick_backend *b)
{
	struct backend_list *p = ctx;

	json_array_append_new(p->list,
	    json_pack(
		"{s:s%, s:s%, s:s%, s:s, s:i, s:i, s:f, s:b, s:f, s:b, s:I}",
		"service", p->shard->service.p, p->shard->service.n, "hall",
		p->shard->hall.p, p->shard->hall.n, "backend", b->name.p,
		b->name.n, "state",
		chart_state_name(p->shard->gate->chart_backend, (int)b->state),
		"inflight", b->inflight, "slots", b->slots, "usual_ms",
		(double)b->usual_latency / NS_MS, "probe_down",
		(int)b->probe_down, "takes_a_second", b->quota.rate, "leaves",
		(int)b->leaving, "rest_ms",
		(json_int_t)(pause_left(p->shard, b) / NS_MS)));
}

void
gate_stat_respond_json(h2o_req_t *req, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	hsrv_send_response(req, 200, "application/json", str_c(text));
	free(text);
	json_decref(value);
}

static void
page_backends(struct gate *g, h2o_req_t *req)
{
	struct backend_list p = {json_array(), NULL};
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		p.shard = value;
		disp_foreach_backend(p.shard->disp, print_backend, &p);
	}
	gate_stat_respond_json(req, p.list);
}

struct owner_list {
	struct gate *gate;
	json_t *list;
};

static void
print_service(void *ctx, const struct route_service *svc)
{
	struct owner_list *owners = ctx;
	struct gate_peer *p;
	struct str box;
	unsigned i;
	bool self;

	for (i = 0; i < svc->nhalls; i++) {
		p = gate_owner(
		    owners->gate, svc->name, svc->halls[i].hall, &self);
		box = self ? owners->gate->settings.box : p->info.box;
		json_array_append_new(owners->list,
		    json_pack("{s:s%, s:s%, s:s%, s:i}", "service", svc->name.p,
			svc->name.n, "hall", svc->halls[i].hall.p,
			svc->halls[i].hall.n, "home", box.p, box.n, "slots",
			svc->halls[i].slots));
	}
}

static void
page_owners(struct gate *g, h2o_req_t *req)
{
	struct owner_list owners = {g, json_array()};

	route_each(g->routes, print_service, &owners);
	gate_stat_respond_json(req, owners.list);
}

void
gate_stat_page(void *ctx, h2o_req_t *req)
{
	struct str path = hsrv_path(req);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(pages); i++) {
		if (!str_eq(path, str_c(pages[i].path)))
			continue;
		pages[i].page(ctx, req);
		return;
	}
	hsrv_send_response(req, 404, "text/plain",
	    str_c("pages: /metrics /ready /backends /homes /shards "
		  "/customers\n"));
}
