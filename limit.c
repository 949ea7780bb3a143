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

#include "limit.h"

static const double NS_A_SECOND = 1e9;
/* What a quiet budget may save up, and what a new one begins with. */
static const double BUDGET_MAX = 20.0;
static const double BUDGET_START_SHARE = 0.25;
/* What is kept for those who have no other chance. */
static const double BUDGET_KEPT_SHARE = 0.5;

struct slot {
	struct limit limit;
	char *key;
	GList *link; /* in the order of use */
};

struct limit_table {
	GHashTable *slots;
	GQueue order; /* struct slot *, the latest used first */
	unsigned max;
};

static void slot_free(void *);

bool
limit_allow(struct limit *l, double rate, int64_t now)
{
	double burst = rate * (double)LIMIT_BURST_NS / NS_A_SECOND;

	if (rate <= 0)
		return true;
	if (burst < 1)
		burst = 1;
	if (l->updated_at == 0)
		l->tokens = burst;
	else
		l->tokens += rate * (double)(now - l->updated_at) / NS_A_SECOND;
	l->updated_at = now;
	if (l->tokens > burst)
		l->tokens = burst;
	if (l->tokens < 1)
		return false;
	l->tokens -= 1;
	return true;
}

double
bucket_tokens(const struct bucket *b, double rate, double burst, int64_t now)
{
	double since = (double)(now - b->updated_at) / NS_A_SECOND;

	return MIN(b->tokens + rate * since, burst);
}

void
bucket_consume(struct bucket *b, double rate, double burst, int64_t now)
{
	b->tokens = MAX(bucket_tokens(b, rate, burst, now) - 1, 0);
	b->updated_at = now;
}

bool
bucket_reserve(struct bucket *b, double rate, double burst, int64_t most,
    int64_t now, int64_t *wait)
{
	double holds = bucket_tokens(b, rate, burst, now);

	*wait = 0;
	if (holds < 1)
		*wait = (int64_t)((1 - holds) / rate * NS_A_SECOND);
	if (*wait > most)
		return false;
	b->tokens = holds - 1;
	b->updated_at = now;
	return true;
}

static void
slot_free(void *p)
{
	struct slot *s = p;

	g_free(s->key);
	g_free(s);
}

struct limit_table *
limit_table_new(unsigned max)
{
	struct limit_table *t = g_new0(struct limit_table, 1);

	t->slots =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, slot_free);
	g_queue_init(&t->order);
	t->max = max;
	return t;
}

void
limit_table_free(struct limit_table *t)
{
	g_hash_table_destroy(t->slots);
	g_queue_clear(&t->order);
	g_free(t);
}

bool
limit_table_allow(
    struct limit_table *t, struct str key, double rate, int64_t now)
{
	char *text = g_strndup(key.p, key.n);
	struct slot *s = g_hash_table_lookup(t->slots, text);
	struct slot *old;

	if (s == NULL) {
		s = g_new0(struct slot, 1);
		s->key = g_strdup(text);
		g_queue_push_head(&t->order, s);
		s->link = t->order.head;
		g_hash_table_insert(t->slots, s->key, s);
	} else {
		g_queue_unlink(&t->order, s->link);
		g_queue_push_head_link(&t->order, s->link);
	}
	g_free(text);
	if (t->order.length > t->max) {
		old = g_queue_pop_tail(&t->order);
		g_hash_table_remove(t->slots, old->key);
	}
	return limit_allow(&s->limit, rate, now);
}

static double
budget_max(const struct retry_budget *b)
{
	return b->max > 0 ? b->max : BUDGET_MAX;
}

/* A new budget begins with a part of what it may save up. */
static void
budget_begin(struct retry_budget *b)
{
	if (!b->initialized)
		b->tokens = budget_max(b) * BUDGET_START_SHARE;
	b->initialized = true;
}

void
retry_budget_deposit(struct retry_budget *b, int64_t percent)
{
	budget_begin(b);
	b->tokens += (double)percent / 100;
	if (b->tokens > budget_max(b))
		b->tokens = budget_max(b);
}

bool
retry_budget_available(struct retry_budget *b)
{
	budget_begin(b);
	return b->tokens >= 1;
}

bool
retry_budget_above_reserve(struct retry_budget *b)
{
	budget_begin(b);
	return b->tokens >= budget_max(b) * BUDGET_KEPT_SHARE;
}

void
retry_budget_withdraw(struct retry_budget *b)
{
	b->tokens -= 1;
}
