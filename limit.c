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

static const double NS_PER_SECOND = 1e9;
/* Default size of a retry budget in tokens, and the share it starts with. */
static const double BUDGET_MAX = 20.0;
static const double BUDGET_INITIAL_SHARE = 0.25;
/* Share reserved by retry_budget_above_reserve(). */
static const double BUDGET_RESERVED_SHARE = 0.5;

struct entry {
	struct limit limit;
	char *key;
	GList *link; /* in limit_table.lru */
};

struct limit_table {
	GHashTable *entries; /* struct entry * by key */
	GQueue lru; /* struct entry *, most recently used first */
	unsigned max;
};

static void entry_free(void *);

bool
limit_allow(struct limit *l, double rate, int64_t now)
{
	double burst = rate * (double)LIMIT_BURST_NS / NS_PER_SECOND;

	if (rate <= 0)
		return true;
	if (burst < 1)
		burst = 1;
	if (l->updated_at == 0)
		l->tokens = burst;
	else
		l->tokens +=
		    rate * (double)(now - l->updated_at) / NS_PER_SECOND;
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
	double seconds = (double)(now - b->updated_at) / NS_PER_SECOND;

	return MIN(b->tokens + rate * seconds, burst);
}

void
bucket_consume(struct bucket *b, double rate, double burst, int64_t now)
{
	b->tokens = MAX(bucket_tokens(b, rate, burst, now) - 1, 0);
	b->updated_at = now;
}

bool
bucket_reserve(struct bucket *b, double rate, double burst, int64_t max_wait,
    int64_t now, int64_t *wait)
{
	double tokens = bucket_tokens(b, rate, burst, now);

	*wait = 0;
	if (tokens < 1)
		*wait = (int64_t)((1 - tokens) / rate * NS_PER_SECOND);
	if (*wait > max_wait)
		return false;
	b->tokens = tokens - 1;
	b->updated_at = now;
	return true;
}

static void
entry_free(void *p)
{
	struct entry *e = p;

	g_free(e->key);
	g_free(e);
}

struct limit_table *
limit_table_new(unsigned max)
{
	struct limit_table *t = g_new0(struct limit_table, 1);

	t->entries =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
	g_queue_init(&t->lru);
	t->max = max;
	return t;
}

void
limit_table_free(struct limit_table *t)
{
	g_hash_table_destroy(t->entries);
	g_queue_clear(&t->lru);
	g_free(t);
}

bool
limit_table_allow(
    struct limit_table *t, struct str key, double rate, int64_t now)
{
	char *text = g_strndup(key.p, key.n);
	struct entry *e = g_hash_table_lookup(t->entries, text);
	struct entry *oldest;

	if (e == NULL) {
		e = g_new0(struct entry, 1);
		e->key = g_strdup(text);
		g_queue_push_head(&t->lru, e);
		e->link = t->lru.head;
		g_hash_table_insert(t->entries, e->key, e);
	} else {
		g_queue_unlink(&t->lru, e->link);
		g_queue_push_head_link(&t->lru, e->link);
	}
	g_free(text);
	if (t->lru.length > t->max) {
		oldest = g_queue_pop_tail(&t->lru);
		g_hash_table_remove(t->entries, oldest->key);
	}
	return limit_allow(&e->limit, rate, now);
}

static double
budget_max(const struct retry_budget *b)
{
	return b->max > 0 ? b->max : BUDGET_MAX;
}

/* A new budget starts with a share of its size. */
static void
budget_init(struct retry_budget *b)
{
	if (!b->initialized)
		b->tokens = budget_max(b) * BUDGET_INITIAL_SHARE;
	b->initialized = true;
}

void
retry_budget_deposit(struct retry_budget *b, int64_t percent)
{
	budget_init(b);
	b->tokens += (double)percent / 100;
	if (b->tokens > budget_max(b))
		b->tokens = budget_max(b);
}

bool
retry_budget_available(struct retry_budget *b)
{
	budget_init(b);
	return b->tokens >= 1;
}

bool
retry_budget_above_reserve(struct retry_budget *b)
{
	budget_init(b);
	return b->tokens >= budget_max(b) * BUDGET_RESERVED_SHARE;
}

void
retry_budget_withdraw(struct retry_budget *b)
{
	b->tokens -= 1;
}

double
retry_budget_split(struct retry_budget *b)
{
	double half;

	budget_init(b);
	half = MAX(b->tokens, 0) / 2;
	b->tokens -= half;
	return half;
}

void
retry_budget_set(struct retry_budget *b, double tokens)
{
	b->initialized = true;
	b->tokens = CLAMP(tokens, 0, budget_max(b));
}

void
retry_budget_halve_initial(struct retry_budget *b)
{
	budget_init(b);
	b->tokens = MIN(b->tokens, budget_max(b) * BUDGET_INITIAL_SHARE / 2);
}
