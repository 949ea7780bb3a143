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
 * Questions for the load of a backend server, on its service's probe path.
 * They are asked by the gate that is home for it and uses the answer.
 */

/* Health answers come at once; one that takes longer counts as none. */
#define TIMEOUT_NS (60 * NS_MS)

struct peek {
	struct gate *gate;
	struct str service, hall, backend, address;
	int64_t born_ms; /* which life was asked */
	struct up_call *call;
	struct tmr_item timer;
	struct dial_report word; /* pace 0: it tells no load */
};

static void on_connected(void *, struct up_call *);
static void
on_head(void *, struct up_call *, int, const h2o_header_t *, size_t);
static void on_end(void *, struct up_call *);
static void on_fail(void *, struct up_call *, enum err_kind);
static void on_timeout(void *);

static const struct up_ops peek_ops = {
    on_connected, on_head, up_skip_body, on_end, on_fail};

/*
 * Whether a backend server has ended is told by a new connection: a kept one
 * may have broken with it, and not be known for it yet.
 */
void
gate_load_query_start(struct gate_shard *s, const struct pick_backend *b)
{
	struct gate *g = s->gate;
	const struct route_service *svc = route_service(g->routes, s->service);
	struct peek *p = g_new0(struct peek, 1);
	struct up_request rq = {.address = b->address,
	    .method = STR_LIT("GET"),
	    .path = svc == NULL ? STR_LIT("/health") : svc->obj->probe_path,
	    .host = b->address,
	    .new_connection = b->crash_suspects != NULL,
	    .connect_timeout_ns = TIMEOUT_NS};

	p->gate = g;
	p->service = str_dup(s->service);
	p->hall = str_dup(s->hall);
	p->backend = str_dup(b->name);
	p->address = str_dup(b->address);
	p->born_ms = b->started_ms;
	cnt_add(g->cnt, GC_LOAD_QUERIES, 1);
	tmr_set(&g->tmr, &p->timer, clk_ns(g->clk) + TIMEOUT_NS, on_timeout, p);
	p->call = up_start(g->up, &rq, &peek_ops, p);
}

/* What an earlier life says holds for no later one. */
static void
take_word(const struct peek *p, struct gate_shard *s)
{
	struct pick_backend *b = disp_find_backend(s->disp, p->backend);

	if (b != NULL && b->started_ms == p->born_ms &&
	    str_eq(b->address, p->address))
		gate_report_from_query(s, b, &p->word);
}

/* The shard and the backend server may be gone by now. */
static void
finish(struct peek *p, bool answered)
{
	struct gate *g = p->gate;
	struct gate_shard *s = gate_conf_find_shard(g, p->service, p->hall);

	tmr_clear(&g->tmr, &p->timer);
	if (!answered)
		cnt_add(g->cnt, GC_LOAD_QUERIES_LOST, 1);
	if (s != NULL && answered)
		take_word(p, s);
	if (s != NULL)
		disp_load_query_done(s->disp, p->backend, answered,
		    p->word.load.running, p->word.load.waiting,
		    p->word.load.latency_percent);
	str_free(&p->service);
	str_free(&p->hall);
	str_free(&p->backend);
	str_free(&p->address);
	g_free(p);
}

static void
on_connected(void *ctx, struct up_call *call)
{
	struct peek *p = ctx;
	struct gate_shard *s =
	    gate_conf_find_shard(p->gate, p->service, p->hall);

	(void)call;
	if (s != NULL)
		disp_load_query_connected(s->disp, p->backend);
}

static void
on_head(void *ctx, struct up_call *call, int status,
    const h2o_header_t *headers, size_t n)
{
	struct peek *p = ctx;

	(void)call;
	p->gate->dialect->parse_report(status, headers, n, &p->word);
	if (!p->word.has_load)
		p->word.load.latency_percent = 0;
}

static void
on_end(void *ctx, struct up_call *call)
{
	struct peek *p = ctx;

	(void)call;
	finish(p, true);
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
	struct peek *p = ctx;

	up_cancel(p->call);
	finish(p, false);
}
