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
 * Rate limits of customers over the whole fleet.  The bucket of each customer
 * with a limit is at one gate, its owner, which is chosen among all hubs by
 * hashing.  The gate that receives a request queries the owner before the
 * request waits for anything else.
 *
 * A gate that becomes the owner of a customer does not know how many requests
 * the previous owner allowed, nor does a gate that is queried before it has
 * learnt that it is the owner.  So each bucket starts with one token, when its
 * gate finds that it is the owner or is queried.  Thus all gates together keep
 * to the rate and the burst, however often owners change.
 */

/*
 * Timeout of a query.  Replies arrive within some milliseconds unless the owner
 * is lost.
 */
#define QUERY_TIMEOUT_NS (120 * NS_MS)
/*
 * Longest time that a request waits for a token; it is refused if it would be
 * longer.  Requests of a customer that exceeds its rate all wait so long.
 */
#define TOKEN_WAIT_MAX_NS (10 * NS_MS)
/* Retry-After where no owner replied, or the customer is not known. */
#define RETRY_AFTER_NS (300 * NS_MS)

enum { OWNERS_MAX = 2 }; /* owners that are queried for one request */

static void on_query_timeout(void *);
static void on_token(void *);
static void query_owner(struct gate_req *);

void
gate_rate_open(struct gate *g)
{
	g->customer_buckets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->rate_queries = g_hash_table_new(g_int64_hash, g_int64_equal);
}

static gboolean
is_not_owned(gpointer key, gpointer value, gpointer ctx)
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
start_bucket(void *ctx, const struct customer *c)
{
	bool self;

	if (c->obj->rate <= 0)
		return;
	gate_owner_by_name(ctx, c->name, 0, &self);
	if (self)
		bucket_of(ctx, c->name);
}

/*
 * Hubs or customers may have changed: drops the buckets that this gate does not
 * own any more, and starts those that it owns now.
 */
void
gate_rate_update_owned(struct gate *g)
{
	uint64_t hash = gate_owner_hash_hubs(g) ^ route_version(g->routes);

	if (hash == g->rate_owners_hash)
		return;
	g->rate_owners_hash = hash;
	g_hash_table_foreach_remove(g->customer_buckets, is_not_owned, g);
	customers_each(route_customers(g->routes), start_bucket, g);
}

/*
 * Takes a token of the customer's bucket and returns whether that was possible.
 * *wait is as bucket_reserve() sets it.
 */
static bool
take_token(struct gate *g, struct str name, int64_t *wait)
{
	const struct customer *c =
	    customers_by_name(route_customers(g->routes), name);

	*wait = RETRY_AFTER_NS;
	if (c == NULL)
		return false;
	*wait = 0;
	if (c->obj->rate <= 0)
		return true;
	return bucket_reserve(bucket_of(g, name), c->obj->rate,
	    MAX(c->obj->burst, 1), TOKEN_WAIT_MAX_NS, clk_ns(g->clk), wait);
}

/*
 * Forwards a query to the owner if this gate is not the owner.  Returns whether
 * it did.  When a hub comes back, other hubs consider it the owner at once, but
 * the last leaves only a second later.  Until then the hub that was the owner
 * meanwhile forwards the queries that it receives: if two gates replied, they
 * would allow twice the rate.
 */
static bool
forward_query(
    struct gate *g, struct str sender, const struct msg_rate_query *query)
{
	struct msg m = {.kind = MSG_RATE_QUERY, .u.rate_query = *query};
	struct gate_peer *p;
	bool self;

	if (query->is_retry || query->requester.n > 0)
		return false;
	p = gate_owner_by_name(g, query->customer, 0, &self);
	if (self)
		return false;
	m.u.rate_query.requester = sender;
	wire_send(g->wire, p->info.gate_inbox, &m);
	return true;
}

void
gate_rate_reply(
    struct gate *g, struct str sender, const struct msg_rate_query *query)
{
	struct msg m = {.kind = MSG_RATE_GRANT};
	int64_t wait;

	if (forward_query(g, sender, query))
		return;
	if (query->requester.n > 0)
		sender = query->requester;
	m.u.rate_grant.seq = query->seq;
	m.u.rate_grant.granted = take_token(g, query->customer, &wait);
	m.u.rate_grant.wait_us = (uint64_t)(wait / NS_US);
	wire_send(g->wire, sender, &m);
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
on_token(void *ctx)
{
	gate_admit_continue(ctx);
}

static void
finish_query(struct gate_req *r, bool granted, int64_t wait)
{
	struct gate *g = r->gate;

	gate_rate_cancel(r);
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
gate_rate_on_grant(struct gate *g, const struct msg_rate_grant *m)
{
	struct gate_req *r = g_hash_table_lookup(g->rate_queries, &m->seq);
	uint64_t max_us = (uint64_t)(G_MAXINT64 / NS_US);

	if (r != NULL)
		finish_query(
		    r, m->granted, (int64_t)MIN(m->wait_us, max_us) * NS_US);
}

static void
on_query_timeout(void *ctx)
{
	struct gate_req *r = ctx;

	cnt_add(r->gate->cnt, GC_RATE_QUERIES_LOST, 1);
	gate_rate_cancel(r);
	if (r->rate_owners_tried < OWNERS_MAX)
		query_owner(r);
	else
		gate_respond(r, ERR_BUSY, RAN_NO, RETRY_AFTER_NS);
}

static void
query_owner(struct gate_req *r)
{
	struct gate *g = r->gate;
	struct msg m = {.kind = MSG_RATE_QUERY};
	bool self, is_retry = r->rate_owners_tried > 0, granted;
	struct gate_peer *p =
	    gate_owner_by_name(g, r->customer, r->rate_owners_tried++, &self);
	int64_t wait;

	if (self) {
		granted = take_token(g, r->customer, &wait);
		finish_query(r, granted, wait);
		return;
	}
	cnt_add(g->cnt, GC_RATE_QUERIES, 1);
	r->rate_query = ++g->last_seq;
	g_hash_table_insert(g->rate_queries, &r->rate_query, r);
	m.u.rate_query.seq = r->rate_query;
	m.u.rate_query.customer = r->customer;
	m.u.rate_query.is_retry = is_retry;
	wire_send(g->wire, p->info.gate_inbox, &m);
	tmr_set(&g->tmr, &r->rate_timer, clk_ns(g->clk) + QUERY_TIMEOUT_NS,
	    on_query_timeout, r);
}

void
gate_rate_query(struct gate_req *r)
{
	gate_req_event(r, REQ_EV_CLAIM);
	query_owner(r);
}
