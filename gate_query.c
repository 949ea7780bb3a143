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
#include "libgate.h"
#include "slog.h"

/*
 * Load queries to backend servers, on the probe path of their service.  The
 * gate that owns a shard sends them and uses the results.
 */

/*
 * Backend servers answer health requests at once; a response that takes longer
 * than this is dropped.
 */
#define TIMEOUT_NS (60 * NS_MS)

struct load_query {
	struct gate *gate;
	struct str service, hall, backend, address;
	int64_t started_ms; /* start time of the process that is queried */
	struct up_call *call;
	struct tmr_item timer;
	struct dial_report report; /* load.latency_percent 0: no load */
};

static void on_connected(void *, struct up_call *);
static void
on_head(void *, struct up_call *, int, const h2o_header_t *, size_t);
static void on_end(void *, struct up_call *);
static void on_fail(void *, struct up_call *, enum err_kind);
static void on_timeout(void *);

static const struct up_ops load_query_ops = {
    on_connected, on_head, up_skip_body, on_end, on_fail};

/*
 * Returns whether a query needs a new connection.  While a backend server may
 * have crashed, a kept-alive connection may be broken without having been
 * noticed.  While it counts as unresponsive, such a connection may still work
 * although new ones fail, on which requests that must not repeat are sent.
 */
static bool
needs_new_connection(const struct pick_backend *b)
{
	return b->crash_suspects != NULL || pick_is_unresponsive(b);
}

/* Sends a load query. */
void
gate_load_query_start(struct gate_shard *s, const struct pick_backend *b)
{
	struct gate *g = s->gate;
	const struct route_service *svc = route_service(g->routes, s->service);
	struct load_query *q = g_new0(struct load_query, 1);
	struct up_request request = {.address = b->address,
	    .method = STR_LIT("GET"),
	    .path = svc == NULL ? STR_LIT("/health") : svc->obj->probe_path,
	    .host = b->address,
	    .new_connection = needs_new_connection(b),
	    .connect_timeout_ns = TIMEOUT_NS};

	q->gate = g;
	q->service = str_dup(s->service);
	q->hall = str_dup(s->hall);
	q->backend = str_dup(b->name);
	q->address = str_dup(b->address);
	q->started_ms = b->started_ms;
	cnt_add(g->cnt, GC_LOAD_QUERIES, 1);
	tmr_set(&g->tmr, &q->timer, clk_ns(g->clk) + TIMEOUT_NS, on_timeout, q);
	q->call = up_start(g->up, &request, &load_query_ops, q);
}

/*
 * Applies the report, unless the backend server has restarted since: a report
 * of an earlier process does not hold for a later one.
 */
static void
apply_report(const struct load_query *q, struct gate_shard *s)
{
	struct pick_backend *b = disp_find_backend(s->disp, q->backend);

	if (b != NULL && b->started_ms == q->started_ms &&
	    str_eq(b->address, q->address))
		gate_report_from_query(s, b, &q->report);
}

/* Ends the query.  The shard and the backend server may be gone by now. */
static void
finish(struct load_query *q, bool answered)
{
	struct gate *g = q->gate;
	struct gate_shard *s = gate_conf_find_shard(g, q->service, q->hall);

	tmr_clear(&g->tmr, &q->timer);
	if (!answered)
		cnt_add(g->cnt, GC_LOAD_QUERIES_LOST, 1);
	if (s != NULL && answered)
		apply_report(q, s);
	if (s != NULL)
		disp_load_query_done(s->disp, q->backend, answered,
		    q->report.load.running, q->report.load.waiting,
		    q->report.load.latency_percent);
	str_free(&q->service);
	str_free(&q->hall);
	str_free(&q->backend);
	str_free(&q->address);
	g_free(q);
}

static void
on_connected(void *ctx, struct up_call *call)
{
	struct load_query *q = ctx;
	struct gate_shard *s =
	    gate_conf_find_shard(q->gate, q->service, q->hall);

	(void)call;
	if (s != NULL)
		disp_load_query_connected(s->disp, q->backend);
}

static void
on_head(void *ctx, struct up_call *call, int status,
    const h2o_header_t *headers, size_t n)
{
	struct load_query *q = ctx;

	(void)call;
	q->gate->dialect->parse_report(status, headers, n, &q->report);
	if (!q->report.has_load)
		q->report.load.latency_percent = 0;
}

static void
on_end(void *ctx, struct up_call *call)
{
	struct load_query *q = ctx;

	(void)call;
	finish(q, true);
}

static void
on_fail(void *ctx, struct up_call *call, enum err_kind kind)
{
	(void)call;
	(void)kind;
	finish(ctx, false);
}

static void
on_timeout(void *ctx)
{
	struct load_query *q = ctx;

	up_cancel(q->call);
	finish(q, false);
}
