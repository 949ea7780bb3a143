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
#include <glib.h>
#include <math.h>
#include <string.h>

#include "clk.h"
#include "queue.h"
#include "share.h"

/*
 * A fluid server of the shard's capacity is simulated, which works on the
 * admitted requests of all customers at once, at the same rate for each
 * customer that has work there: generalized processor sharing, as weighted fair
 * queueing and start-time fair queueing use it (Demers, Keshav, Shenker 1989;
 * Parekh, Gallager 1993; Goyal, Vin, Cheng 1996).  The backlog of a customer
 * with less demand than its max-min share stays short, and that of one with
 * more grows.  A request is beyond the share if the backlogs of its customer
 * and of all together are longer than in a burst.  It is then not added, so the
 * backlogs are bounded, and a customer is within its share again soon after its
 * excess ends.
 *
 * Virtual time is the service, in ns, that each customer with a backlog has
 * got.  A customer's finish tag is the virtual time at which its backlog ends,
 * and a heap of the tags tells who is next: O(log n) per request.
 */

/*
 * The demand exceeds the capacity if the fluid server is behind by so much:
 * half of the time that a request with a target of 400 ms and a service time of
 * 160 ms can wait.  With a longer time, requests of others would be refused for
 * lack of time before those of the customer in excess count as such.
 */
#define BURST_NS (120 * NS_MS)
/*
 * Longest time that the server may need for the bursts of all customers that
 * have a backlog; an excess of many is noticed within about this time.
 */
#define BURSTS_NS (1 * NS_S)
/* Longest backlog of requests without a customer, as nothing limits these. */
#define UNLIMITED_NS (480 * NS_MS)
/* A customer without requests for this time is forgotten. */
#define IDLE_NS (10 * NS_S)
/* A customer is in excess for so long after a request beyond its share. */
#define EXCESS_NS (500 * NS_MS)
/* Time constant of the demand. */
#define DEMAND_NS (500 * NS_MS)

enum {
	CUSTOMERS_MAX = 10000,
	/*
	 * Bounds of the longest backlog of a customer that is a burst, in
	 * requests.  Poisson arrivals at 0.8 of the share find more than 16 in
	 * 1 of 900 cases.  A few at once are a burst also where the capacity is
	 * that of one server.
	 */
	BURST_REQUESTS_MIN = 4,
	BURST_REQUESTS_MAX = 16,
	COST_WEIGHT = 64 /* of the past in the mean cost of requests */
};

struct customer_share {
	char *name; /* key of the table */
	struct queue_item tag; /* its deadline is the finish tag */
	bool backlogged; /* the tag is in the heap */
	int64_t seen_at; /* last request */
	int64_t over_at; /* last request beyond the share; 0: none */
	GList link; /* in share.recent */
};

struct share {
	GHashTable *customers; /* struct customer_share by name */
	GQueue recent; /* the same; the last one seen is the first */
	struct queue tags; /* of customers with a backlog */
	double tag_sum; /* of these */
	double capacity; /* service time per time */
	double mean_cost; /* of a request, ns; 0: none yet */
	double virtual_time; /* ns */
	int64_t advanced_at; /* time up to which the server is simulated */
	double unlimited; /* backlog of requests without a customer, ns */
	/* Recent work that was counted, ns, of others: share.h. */
	double others_demand;
	int64_t demand_at; /* time up to which it has decayed */
};

static void
customer_free(void *p)
{
	struct customer_share *c = p;

	g_free(c->name);
	g_free(c);
}

struct share *
share_new(void)
{
	struct share *s = g_new0(struct share, 1);

	s->customers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, customer_free);
	g_queue_init(&s->recent);
	queue_init(&s->tags);
	return s;
}

void
share_free(struct share *s)
{
	if (s == NULL)
		return;
	queue_clear(&s->tags);
	g_hash_table_destroy(s->customers);
	g_free(s);
}

static void
add_tag(struct share *s, struct customer_share *c, int64_t tag)
{
	c->tag.deadline = tag;
	c->backlogged = true;
	s->tag_sum += (double)tag;
	queue_push(&s->tags, &c->tag);
}

static void
remove_tag(struct share *s, struct customer_share *c)
{
	if (!c->backlogged)
		return;
	c->backlogged = false;
	s->tag_sum -= (double)c->tag.deadline;
	queue_remove(&s->tags, &c->tag);
}

/* Gives each customer with a backlog the same service, `work` ns in total. */
static void
serve(struct share *s, double work)
{
	struct queue_item *first;
	double need;

	while ((first = queue_first(&s->tags)) != NULL) {
		need = ((double)first->deadline - s->virtual_time) *
		    (double)s->tags.n;
		if (need > work) {
			s->virtual_time += work / (double)s->tags.n;
			return;
		}
		work -= MAX(need, 0);
		s->virtual_time = (double)first->deadline;
		remove_tag(s, first->data);
	}
	/* Without a backlog no tag matters, and the time can start again. */
	s->virtual_time = s->tag_sum = 0;
}

static void
advance(struct share *s, int64_t now)
{
	double work = s->capacity * (double)(now - s->advanced_at),
	       unlimited = MIN(work, s->unlimited);

	if (now <= s->advanced_at)
		return;
	s->advanced_at = now;
	s->unlimited -= unlimited;
	serve(s, work - unlimited);
}

void
share_set_capacity(struct share *s, double capacity, int64_t now)
{
	advance(s, now);
	s->capacity = capacity;
}

static void
forget(struct share *s, struct customer_share *c)
{
	remove_tag(s, c);
	g_queue_unlink(&s->recent, &c->link);
	g_hash_table_remove(s->customers, c->name);
}

static void
forget_idle(struct share *s, int64_t now)
{
	struct customer_share *c;

	while (s->recent.tail != NULL) {
		c = s->recent.tail->data;
		if (now - c->seen_at < IDLE_NS &&
		    share_customers(s) <= CUSTOMERS_MAX)
			return;
		forget(s, c);
	}
}

static struct customer_share *
find_or_add(struct share *s, struct str name, int64_t now)
{
	char *key = g_strndup(name.p, name.n);
	struct customer_share *c = g_hash_table_lookup(s->customers, key);

	if (c == NULL) {
		c = g_new0(struct customer_share, 1);
		c->name = key;
		c->tag.data = c;
		c->link.data = c;
		g_hash_table_insert(s->customers, c->name, c);
	} else {
		g_free(key);
		g_queue_unlink(&s->recent, &c->link);
	}
	g_queue_push_head_link(&s->recent, &c->link);
	c->seen_at = now;
	return c;
}

/* Returns the backlog of all customers, in ns. */
static double
backlog_of_all(const struct share *s)
{
	return s->tag_sum - (double)s->tags.n * s->virtual_time;
}

/* Returns the longest backlog of one customer, in ns, that is a burst. */
static double
longest_burst(const struct share *s)
{
	double burst =
	    MIN((double)BURST_NS, BURSTS_NS / MAX((double)s->tags.n, 1));

	return CLAMP(burst * s->capacity, BURST_REQUESTS_MIN * s->mean_cost,
	    BURST_REQUESTS_MAX * s->mean_cost);
}

/*
 * Returns whether a backlog of its customer, in ns, makes a request an excess.
 * As long as the server's whole backlog is that of a burst, the demand does not
 * exceed the capacity.
 */
static bool
is_excess(const struct share *s, double backlog, int64_t cost)
{
	return backlog_of_all(s) + (double)cost > BURST_NS * s->capacity &&
	    backlog > longest_burst(s);
}

static void
decay_demand(struct share *s, int64_t now)
{
	double passed = (double)(now - s->demand_at);

	if (passed <= 0)
		return;
	s->others_demand *= exp(-passed / DEMAND_NS);
	s->demand_at = now;
}

static void
add_demand(struct share *s, int64_t cost, bool in_excess, int64_t now)
{
	decay_demand(s, now);
	s->others_demand += in_excess ? 0 : (double)cost;
}

static bool
is_in_excess(const struct customer_share *c, int64_t now)
{
	return c->over_at != 0 && now - c->over_at < EXCESS_NS;
}

bool
share_admit(struct share *s, struct str name, int64_t cost, int64_t now)
{
	struct customer_share *c = find_or_add(s, name, now);
	double start;

	if (s->mean_cost == 0)
		s->mean_cost = (double)cost;
	s->mean_cost += ((double)cost - s->mean_cost) / COST_WEIGHT;
	forget_idle(s, now);
	advance(s, now);
	start = c->backlogged ? (double)c->tag.deadline : s->virtual_time;
	if (is_excess(s, start + (double)cost - s->virtual_time, cost)) {
		c->over_at = now;
		return false;
	}
	add_demand(s, cost, is_in_excess(c, now), now);
	remove_tag(s, c);
	add_tag(s, c, (int64_t)start + cost);
	return true;
}

void
share_give_back(struct share *s, struct str name, int64_t cost, int64_t now)
{
	char *key = g_strndup(name.p, name.n);
	struct customer_share *c = g_hash_table_lookup(s->customers, key);
	int64_t tag;

	g_free(key);
	advance(s, now);
	if (c == NULL || !c->backlogged)
		return;
	tag = c->tag.deadline - cost;
	remove_tag(s, c);
	if ((double)tag > s->virtual_time)
		add_tag(s, c, tag);
}

void
share_admit_unlimited(struct share *s, int64_t cost, int64_t now)
{
	advance(s, now);
	s->unlimited =
	    MIN(s->unlimited + (double)cost, UNLIMITED_NS * s->capacity);
	add_demand(s, cost, false, now);
}

bool
share_in_excess(const struct share *s, struct str name, int64_t now)
{
	char *key = g_strndup(name.p, name.n);
	const struct customer_share *c = g_hash_table_lookup(s->customers, key);

	g_free(key);
	return c != NULL && is_in_excess(c, now);
}

double
share_others_demand(struct share *s, int64_t now)
{
	decay_demand(s, now);
	return s->others_demand / DEMAND_NS;
}

unsigned
share_customers(const struct share *s)
{
	return g_hash_table_size(s->customers);
}
