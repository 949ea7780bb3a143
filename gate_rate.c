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
 * Customers' rates over the whole fleet.  Each customer with a rate has its
 * bucket at one gate, chosen among all hubs by hashing; the gate at which a
 * request comes in asks there before it waits for anything else.
 *
 * A gate that becomes a customer's home does not know what the one before let
 * in, nor does one that is asked before it has heard that it is home.  So each
 * bucket begins with one token, when its gate finds itself home, or is asked:
 * all gates together keep to the rate, and the burst, however often homes move.
 */

/* An answer is here within some milliseconds, unless the home is lost. */
#define ANSWER_NS (120 * NS_MS)
/*
 * A request waits for room no longer than this; else it is refused.  All of a
 * customer that asks for more than its rate wait so long.
 */
#define DELAY_NS (10 * NS_MS)
/* When to come back where no home answered. */
#define AGAIN_NS (300 * NS_MS)

enum { HOMES_MAX = 2 }; /* that are asked for one request */

static void on_silent(void *);
static void on_room(void *);
static void ask_home(struct gate_req *);

void
gate_rate_open(struct gate *g)
{
	g->customer_buckets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->rate_queries = g_hash_table_new(g_int64_hash, g_int64_equal);
}

static gboolean
is_not_ours(gpointer key, gpointer value, gpointer ctx)
{
	struct gate *g = ctx;
	bool self;

	(void)value;
	gate_owner_by_name(g, str_c(key), 0, &self);
	return !self ||
	    customers_by_name(route_customers(g->routes), str_c(key)) == NULL;
}

static struct bucket *
bucket_of(struct gate *g, struct str customer)
{
	char *name = g_strndup(customer.p, customer.n);
	struct bucket *b = g_hash_table_lookup(g->customer_buckets, name);

	if (b != NULL) {
		g_free(name);
		return b;
	}
	b = g_new0(struct bucket, 1);
	*b = (struct bucket){1, clk_ns(g->clk)};
	g_hash_table_insert(g->customer_buckets, name, b);
	return b;
}

static void
begin(void *ctx, const struct customer *c)
{
	bool self;

	if (c->obj->rate <= 0)
		return;
	gate_owner_by_name(ctx, c->name, 0, &self);
	if (self)
		bucket_of(ctx, c->name);
}

/*
 * Hubs or customers may have changed: buckets of which we are home no more end,
 * and those of which we are home now begin to fill.
 */
void
gate_rate_update_owned(struct gate *g)
{
	uint64_t seen = gate_owner_hash_hubs(g) ^ route_version(g->routes);

	if (seen == g->rate_owners_hash)
		return;
	g->rate_owners_hash = seen;
	g_hash_table_foreach_remove(g->customer_buckets, is_not_ours, g);
	customers_each(route_customers(g->routes), begin, g);
}

/* May the customer make one more request?  *wait as bucket_reserve() has it. */
static bool
take(struct gate *g, struct str name, int64_t *wait)
{
	const struct customer *c =
	    customers_by_name(route_customers(g->routes), name);

	*wait = AGAIN_NS;
	if (c == NULL)
		return false;
	*wait = 0;
	if (c->obj->rate <= 0)
		return true;
	return bucket_reserve(bucket_of(g, name), c->obj->rate,
	    MAX(c->obj->burst, 1), DELAY_NS, clk_ns(g->clk), wait);
}

/*
 * A hub that comes back is home again for hubs at once, and for the last leaf a
 * second later.  Until then the hub that was home meanwhile hands on what it is
 * asked: two that answer would let in twice the rate.
 */
static bool
hand_on(struct gate *g, struct str from, const struct msg_rate_query *ask)
{
	struct msg m = {.kind = MSG_RATE_QUERY, .u.rate_query = *ask};
	struct gate_peer *p;
	bool self;

	if (ask->is_retry || ask->requester.n > 0)
		return false;
	p = gate_owner_by_name(g, ask->customer, 0, &self);
	if (self)
		return false;
	m.u.rate_query.requester = from;
	wire_send(g->wire, p->info.gate_inbox, &m);
	return true;
}

void
gate_rate_answer(
    struct gate *g, struct str from, const struct msg_rate_query *ask)
{
	struct msg m = {.kind = MSG_RATE_GRANT};
	int64_t wait;

	if (hand_on(g, from, ask))
		return;
	if (ask->requester.n > 0)
		from = ask->requester;
	m.u.rate_grant.seq = ask->seq;
	m.u.rate_grant.granted = take(g, ask->customer, &wait);
	m.u.rate_grant.wait_us = (uint64_t)(wait / NS_US);
	wire_send(g->wire, from, &m);
}

void
gate_rate_cancel(struct gate_req *r)
{
	tmr_clear(&r->gate->tmr, &r->rate_timer);
	if (r->rate_query != 0)
		g_hash_table_remove(r->gate->rate_queries, &r->rate_query);
	r->rate_query = 0;
}

static void
on_room(void *ctx)
{
	gate_admit_continue(ctx);
}

static void
settle(struct gate_req *r, bool granted, int64_t wait)
{
	struct gate *g = r->gate;

	gate_rate_cancel(r);
	if (!granted) {
		cnt_add(g->cnt, GC_OVER_RATE, 1);
		gate_respond(r, ERR_OVER_LIMIT, RAN_NO, wait);
	} else if (wait > 0) {
		tmr_set(
		    &g->tmr, &r->rate_timer, clk_ns(g->clk) + wait, on_room, r);
	} else {
		gate_admit_continue(r);
	}
}

void
gate_rate_granted(struct gate *g, const struct msg_rate_grant *m)
{
	struct gate_req *r = g_hash_table_lookup(g->rate_queries, &m->seq);
	uint64_t most = (uint64_t)(G_MAXINT64 / NS_US);

	if (r != NULL)
		settle(r, m->granted, (int64_t)MIN(m->wait_us, most) * NS_US);
}

static void
on_silent(void *ctx)
{
	struct gate_req *r = ctx;

	cnt_add(r->gate->cnt, GC_RATE_QUERIES_LOST, 1);
	gate_rate_cancel(r);
	if (r->rate_owners_tried < HOMES_MAX)
		ask_home(r);
	else
		gate_respond(r, ERR_BUSY, RAN_NO, AGAIN_NS);
}

static void
ask_home(struct gate_req *r)
{
	struct gate *g = r->gate;
	struct msg m = {.kind = MSG_RATE_QUERY};
	bool self, again = r->rate_owners_tried > 0, granted;
	struct gate_peer *p =
	    gate_owner_by_name(g, r->customer, r->rate_owners_tried++, &self);
	int64_t wait;

	if (self) {
		granted = take(g, r->customer, &wait);
		settle(r, granted, wait);
		return;
	}
	cnt_add(g->cnt, GC_RATE_QUERIES, 1);
	r->rate_query = ++g->seq;
	g_hash_table_insert(g->rate_queries, &r->rate_query, r);
	m.u.rate_query.seq = r->rate_query;
	m.u.rate_query.customer = r->customer;
	m.u.rate_query.is_retry = again;
	wire_send(g->wire, p->info.gate_inbox, &m);
	tmr_set(
	    &g->tmr, &r->rate_timer, clk_ns(g->clk) + ANSWER_NS, on_silent, r);
}

void
gate_rate_query(struct gate_req *r)
{
	gate_req_event(r, REQ_EV_CLAIM);
	ask_home(r);
}
