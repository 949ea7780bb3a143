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
#include "granter.h"
#include "libreq.h"
#include "slog.h"

/*
 * Rate limits of customers over the whole fleet.  The gate that receives a
 * request queries the gate that grants the customer's requests before the
 * request waits for anything else.  granter.h decides which gate that is, and
 * what it grants; this file connects it to requests and messages.
 */

/*
 * Timeout of a query.  Replies arrive within some milliseconds unless the owner
 * is lost.
 */
#define QUERY_TIMEOUT_NS (120 * NS_MS)

enum { OWNERS_MAX = 2 }; /* owners that are queried for one request */

/* Queries without a reply in time that are remembered. */
enum { LOST_MAX = 256 };

/* A query without a reply in time; a grant that still comes is not used. */
struct lost_query {
	uint64_t seq;
	struct str customer;
	int64_t queried_at;
};

static void on_query_timeout(void *);
static void on_token(void *);
static void query_owner(struct gate_req *);

static struct str
inbox_of(const struct gate *g, const struct gate_peer *p)
{
	return p == NULL ? g->settings.inbox : p->info.gate_inbox;
}

static unsigned
op_rank(void *ctx, struct str customer, struct str out[GRANTER_RANKS])
{
	struct gate *g = ctx;
	struct gate_peer *peers[GRANTER_RANKS];
	unsigned i, n = gate_owner_rank(g, customer, peers, GRANTER_RANKS);

	for (i = 0; i < n; i++)
		out[i] = inbox_of(g, peers[i]);
	/* While no hub is known, this gate has to do. */
	if (n == 0)
		out[n++] = g->settings.inbox;
	return n;
}

static bool
op_terms(void *ctx, struct str customer, double *rate, double *burst)
{
	struct gate *g = ctx;
	const struct customer *c =
	    customers_by_name(route_customers(g->routes), customer);

	if (c == NULL)
		return false;
	*rate = c->obj->rate;
	*burst = c->obj->burst;
	return true;
}

static bool
op_is_listed(void *ctx, struct str inbox)
{
	struct gate *g = ctx;
	const struct gate_peer *p;
	guint i;

	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (p->listed && str_eq(p->info.gate_inbox, inbox))
			return true;
	}
	return false;
}

static void
op_send_query(void *ctx, struct str to, const struct msg_rate_query *query)
{
	struct gate *g = ctx;
	struct msg m = {.kind = MSG_RATE_QUERY, .u.rate_query = *query};

	wire_send(g->wire, to, &m);
}

static void
op_send_grant(void *ctx, struct str to, const struct msg_rate_grant *grant)
{
	struct gate *g = ctx;
	struct msg m = {.kind = MSG_RATE_GRANT, .u.rate_grant = *grant};

	if (str_eq(to, g->settings.inbox))
		gate_rate_on_grant(g, to, grant);
	else
		wire_send(g->wire, to, &m);
}

static void
op_send_usage(void *ctx, struct str to, const struct msg_rate_usage *usage)
{
	struct gate *g = ctx;
	struct msg m = {.kind = MSG_RATE_USAGE, .u.rate_usage = *usage};

	cnt_add(g->cnt, GC_RATE_RECORDS, (int64_t)usage->records.n);
	wire_send(g->wire, to, &m);
}

static void
op_ping(void *ctx, struct str to)
{
	struct gate *g = ctx;
	struct msg m = {.kind = MSG_PING};

	m.u.ping.nonce = (uint64_t)clk_ns(g->clk);
	wire_send(g->wire, to, &m);
}

static void
on_granter_timer(void *ctx)
{
	struct gate *g = ctx;

	granter_tick(g->granter, clk_ns(g->clk));
}

static void
op_wake(void *ctx, int64_t at)
{
	struct gate *g = ctx;

	if (!g->granter_timer.armed || g->granter_timer.item.deadline > at)
		tmr_set(&g->tmr, &g->granter_timer, at, on_granter_timer, g);
}

static void
op_taken_over(void *ctx, struct str customer, enum granter_basis basis,
    uint32_t used, uint32_t limit)
{
	struct gate *g = ctx;

	cnt_add(g->cnt, GC_RATE_TAKEOVERS, 1);
	cnt_add(g->cnt, GC_RATE_TAKEOVERS_UNKNOWN, basis == GRANTER_UNKNOWN);
	slog_decision(SLOG_ROUTE, "customer's requests are granted here",
	    "customer=%.*s usage=%s used=%u limit=%u", STR_ARG(customer),
	    basis == GRANTER_UNKNOWN ? "unknown" : "reported", used, limit);
}

static void
op_given_up(void *ctx, struct str customer, struct str to)
{
	(void)ctx;
	slog_decision(SLOG_ROUTE, "customer's requests are granted elsewhere",
	    "customer=%.*s box=%.*s", STR_ARG(customer), STR_ARG(to));
}

static void
op_share_changed(void *ctx, unsigned in_touch, unsigned all)
{
	struct gate *g = ctx;

	cnt_add(g->cnt, GC_RATE_SHARES, in_touch < all);
	slog_decision(SLOG_ROUTE,
	    in_touch < all
		? "customers' limits are shared, as halls are not in touch"
		: "customers' limits are whole, as all halls are in touch",
	    "in_touch=%u halls=%u", in_touch, all);
}

static const struct granter_ops granter_ops = {
    .rank = op_rank,
    .terms = op_terms,
    .is_listed = op_is_listed,
    .send_query = op_send_query,
    .send_grant = op_send_grant,
    .send_usage = op_send_usage,
    .ping = op_ping,
    .wake = op_wake,
    .taken_over = op_taken_over,
    .given_up = op_given_up,
    .share_changed = op_share_changed,
};

void
gate_rate_open(struct gate *g)
{
	g->granter = granter_new(g->settings.inbox, g->settings.hall,
	    g->started_ms, &granter_ops, g);
	g->rate_queries = g_hash_table_new(g_int64_hash, g_int64_equal);
}

static void
update_customer(void *ctx, const struct customer *c)
{
	struct gate *g = ctx;

	if (c->obj->rate > 0)
		granter_update_customer(g->granter, c->name, clk_ns(g->clk));
}

/* Hubs, customers or the window may have changed. */
void
gate_rate_update_owned(struct gate *g)
{
	int64_t window = g->bounds.quota_window_ms * NS_MS;
	uint64_t hash = gate_owner_hash_hubs(g) ^ route_digest(g->routes) ^
	    (uint64_t)window;
	const struct gate_peer *p;
	guint i;

	if (hash == g->rate_owners_hash)
		return;
	g->rate_owners_hash = hash;
	granter_set_window(g->granter, window);
	granter_update_begin(g->granter);
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (p->listed)
			granter_update_hub(g->granter, p->info.gate_inbox,
			    p->info.hall, p->info.started_ms, clk_ns(g->clk));
	}
	customers_each(route_customers(g->routes), update_customer, g);
	granter_update_end(g->granter, clk_ns(g->clk));
}

void
gate_rate_reply(
    struct gate *g, struct str sender, const struct msg_rate_query *query)
{
	granter_query(g->granter, sender, query, clk_ns(g->clk));
}

void
gate_rate_on_usage(
    struct gate *g, struct str from, const struct msg_rate_usage *usage)
{
	granter_usage(g->granter, from, usage, clk_ns(g->clk));
}

void
gate_rate_heard(struct gate *g, struct str from)
{
	granter_heard(g->granter, from, clk_ns(g->clk));
}

void
gate_rate_cancel(struct gate_req *r)
{
	tmr_clear(&r->gate->tmr, &r->rate_timer);
	if (r->rate_query != 0)
		g_hash_table_remove(r->gate->rate_queries, &r->rate_query);
	r->rate_query = 0;
}

void
gate_rate_dispose(struct gate_req *r)
{
	gate_rate_cancel(r);
	str_free(&r->rate_owner);
}

/* Returns a grant that was not used to the gate that gave it. */
static void
return_grant(
    struct gate *g, struct str to, struct str customer, int64_t queried_at)
{
	int64_t now = clk_ns(g->clk), age = now - queried_at;
	struct msg_rate_record record = {.customer = customer,
	    .returned = 1,
	    .age_us = (uint64_t)(age / NS_US)};
	struct msg m = {.kind = MSG_RATE_USAGE};

	if (g->bounds.quota_window_ms == 0)
		return;
	cnt_add(g->cnt, GC_RATE_RETURNED, 1);
	if (str_eq(to, g->settings.inbox)) {
		granter_give_back(g->granter, customer, age, now);
		return;
	}
	m.u.rate_usage.kind = RATE_USAGE_RETURN;
	m.u.rate_usage.started_ms = g->started_ms;
	m.u.rate_usage.records = (struct msg_list){&record, 1};
	wire_send(g->wire, to, &m);
}

void
gate_rate_give_back(struct gate_req *r)
{
	if (!r->rate_granted)
		return;
	r->rate_granted = false;
	granter_not_used(
	    r->gate->granter, r->rate_owner, r->customer, clk_ns(r->gate->clk));
	return_grant(r->gate, r->rate_owner, r->customer, r->rate_queried_at);
}

static void
lost_free(void *p)
{
	struct lost_query *lost = p;

	str_free(&lost->customer);
	g_free(lost);
}

/* The reply to a query has not come in time: remembers the query. */
static void
add_lost(struct gate_req *r)
{
	struct gate *g = r->gate;
	struct lost_query *lost = g_new0(struct lost_query, 1);

	if (g->rate_lost.length >= LOST_MAX)
		lost_free(g_queue_pop_head(&g->rate_lost));
	lost->seq = r->rate_query;
	lost->customer = str_dup(r->customer);
	lost->queried_at = r->rate_queried_at;
	g_queue_push_tail(&g->rate_lost, lost);
}

static void
on_late_grant(struct gate *g, struct str from, const struct msg_rate_grant *m)
{
	struct lost_query *lost;
	GList *link;

	for (link = g->rate_lost.head; link != NULL; link = link->next) {
		lost = link->data;
		if (lost->seq != m->seq)
			continue;
		if (m->granted)
			return_grant(g, from, lost->customer, lost->queried_at);
		lost_free(lost);
		g_queue_delete_link(&g->rate_lost, link);
		return;
	}
}

static void
on_token(void *ctx)
{
	gate_admit_continue(ctx);
}

static void
finish_query(struct gate_req *r, bool granted, int64_t wait)
{
	struct gate *g = r->gate;

	gate_rate_cancel(r);
	r->rate_granted = granted;
	if (!granted) {
		cnt_add(g->cnt, GC_OVER_RATE, 1);
		gate_respond(r, ERR_OVER_LIMIT, RAN_NO, wait);
	} else if (wait > 0) {
		tmr_set(&g->tmr, &r->rate_timer, clk_ns(g->clk) + wait,
		    on_token, r);
	} else {
		gate_admit_continue(r);
	}
}

void
gate_rate_on_grant(
    struct gate *g, struct str from, const struct msg_rate_grant *m)
{
	struct gate_req *r = g_hash_table_lookup(g->rate_queries, &m->seq);
	uint64_t max_us = (uint64_t)(G_MAXINT64 / NS_US);

	if (r == NULL) {
		on_late_grant(g, from, m);
		return;
	}
	/* A query may have been forwarded. */
	str_free(&r->rate_owner);
	r->rate_owner = str_dup(from);
	granter_received(g->granter, from, r->customer, m, clk_ns(g->clk));
	finish_query(r, m->granted, (int64_t)MIN(m->wait_us, max_us) * NS_US);
}

static void
on_query_timeout(void *ctx)
{
	struct gate_req *r = ctx;
	struct gate *g = r->gate;

	cnt_add(g->cnt, GC_RATE_QUERIES_LOST, 1);
	granter_query_lost(g->granter, r->rate_owner, clk_ns(g->clk));
	add_lost(r);
	gate_rate_cancel(r);
	if (r->rate_owners_tried < OWNERS_MAX)
		query_owner(r);
	else
		gate_respond(r, ERR_BUSY, RAN_NO, GRANTER_RETRY_AFTER_NS);
}

static void
query_owner(struct gate_req *r)
{
	struct gate *g = r->gate;
	struct msg m = {.kind = MSG_RATE_QUERY};
	struct msg_rate_query *q = &m.u.rate_query;
	char counts[ALLOWANCE_PACKED_MAX];
	int64_t now = clk_ns(g->clk);
	struct str target =
	    granter_target(g->granter, r->customer, &q->is_retry, now);

	q->is_retry = q->is_retry || r->rate_owners_tried > 0;
	r->rate_owners_tried++;
	r->rate_query = ++g->last_seq;
	r->rate_queried_at = now;
	str_free(&r->rate_owner);
	r->rate_owner = str_dup(target);
	g_hash_table_insert(g->rate_queries, &r->rate_query, r);
	tmr_set(&g->tmr, &r->rate_timer, now + QUERY_TIMEOUT_NS,
	    on_query_timeout, r);
	q->seq = r->rate_query;
	q->customer = r->customer;
	granter_fill_query(g->granter, target, q, counts, now);
	if (str_eq(target, g->settings.inbox)) {
		granter_query(g->granter, target, q, now);
	} else {
		cnt_add(g->cnt, GC_RATE_QUERIES, 1);
		wire_send(g->wire, target, &m);
	}
}

void
gate_rate_query(struct gate_req *r)
{
	gate_req_event(r, REQ_EV_CLAIM);
	query_owner(r);
}
