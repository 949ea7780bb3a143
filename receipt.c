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

#include "clk.h"
#include "receipt.h"

/* A gate is told again after this time, as long as there is anything to tell.
 */
#define TELL_GAP_NS (100 * NS_MS)
/* Gates that granted to a customer in one window and are told apart. */
enum { SOURCES_MAX = 4 };
/* Gates whose starts are kept; more than any fleet has at a time. */
enum { STARTS_MAX = 4096 };

struct source {
	char *granter; /* inbox; NULL: none */
	uint64_t started_ms;
	struct allowance got;
};

struct receipt {
	struct source sources[SOURCES_MAX];
	char *told; /* inbox of the gate that was told last; NULL: none */
	int64_t told_at; /* 0: nothing was told that is known there */
};

struct receipts {
	int64_t window;
	GHashTable *customers; /* char * to struct receipt * */
	GHashTable *starts; /* char * inbox of a gate to uint64_t * */
};

static void
receipt_free(void *p)
{
	struct receipt *r = p;
	unsigned i;

	for (i = 0; i < SOURCES_MAX; i++)
		g_free(r->sources[i].granter);
	g_free(r->told);
	g_free(r);
}

struct receipts *
receipts_new(void)
{
	struct receipts *rs = g_new0(struct receipts, 1);

	rs->customers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, receipt_free);
	rs->starts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return rs;
}

void
receipts_free(struct receipts *rs)
{
	g_hash_table_destroy(rs->starts);
	g_hash_table_destroy(rs->customers);
	g_free(rs);
}

void
receipts_set_window(struct receipts *rs, int64_t window)
{
	rs->window = window;
	g_hash_table_remove_all(rs->customers);
}

static struct receipt *
find(const struct receipts *rs, struct str customer)
{
	char *key = g_strndup(customer.p, customer.n);
	struct receipt *r = g_hash_table_lookup(rs->customers, key);

	g_free(key);
	return r;
}

/* Returns the start of a gate that was heard last; 0: not known. */
static uint64_t
start_of(const struct receipts *rs, struct str granter)
{
	char *key = g_strndup(granter.p, granter.n);
	const uint64_t *start = g_hash_table_lookup(rs->starts, key);

	g_free(key);
	return start == NULL ? 0 : *start;
}

void
receipts_heard(struct receipts *rs, struct str granter, uint64_t started_ms)
{
	uint64_t *start;
	GHashTableIter it;
	gpointer value;

	if (start_of(rs, granter) == started_ms)
		return;
	if (g_hash_table_size(rs->starts) >= STARTS_MAX)
		g_hash_table_remove_all(rs->starts);
	start = g_new(uint64_t, 1);
	*start = started_ms;
	g_hash_table_insert(rs->starts, g_strndup(granter.p, granter.n), start);
	/* It does not know what it was told before either. */
	g_hash_table_iter_init(&it, rs->customers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct receipt *)value)->told_at = 0;
}

static bool
is_of(const struct source *s, struct str granter, uint64_t started_ms)
{
	return s->granter != NULL && s->started_ms == started_ms &&
	    str_eq(str_c(s->granter), granter);
}

/* Returns the entry of a gate, or the one of which least counts, emptied. */
static struct source *
source_of(
    struct receipts *rs, struct receipt *r, struct str granter, int64_t now)
{
	struct source *s, *least = NULL;
	uint64_t started_ms = start_of(rs, granter);
	unsigned i;

	for (i = 0; i < SOURCES_MAX; i++) {
		s = &r->sources[i];
		if (is_of(s, granter, started_ms))
			return s;
		if (least == NULL || s->granter == NULL ||
		    (least->granter != NULL &&
			allowance_used(&s->got, now) <
			    allowance_used(&least->got, now)))
			least = s;
	}
	g_free(least->granter);
	least->granter = g_strndup(granter.p, granter.n);
	least->started_ms = started_ms;
	allowance_init(&least->got, rs->window, now);
	return least;
}

void
receipts_add(
    struct receipts *rs, struct str customer, struct str granter, int64_t now)
{
	struct receipt *r;

	if (rs->window == 0)
		return;
	r = find(rs, customer);
	if (r == NULL) {
		r = g_new0(struct receipt, 1);
		g_hash_table_insert(
		    rs->customers, g_strndup(customer.p, customer.n), r);
	}
	allowance_add(&source_of(rs, r, granter, now)->got, 1, now);
}

void
receipts_give_back(
    struct receipts *rs, struct str customer, struct str granter, int64_t now)
{
	struct receipt *r = find(rs, customer);
	uint64_t started_ms = start_of(rs, granter);
	unsigned i;

	for (i = 0; r != NULL && i < SOURCES_MAX; i++)
		if (is_of(&r->sources[i], granter, started_ms))
			allowance_give_back(&r->sources[i].got, 1, now);
}

/* Adds up what other gates than one granted. */
static void
add_others(const struct receipts *rs, struct receipt *r, struct str target,
    int64_t now, struct allowance *sum)
{
	uint64_t started_ms = start_of(rs, target);
	struct source *s;
	unsigned i;

	for (i = 0; i < SOURCES_MAX; i++) {
		s = &r->sources[i];
		if (s->granter != NULL && !is_of(s, target, started_ms))
			allowance_merge(sum, &s->got, now);
	}
}

size_t
receipts_pack(struct receipts *rs, struct str customer, struct str target,
    int64_t now, char out[ALLOWANCE_PACKED_MAX])
{
	struct receipt *r = find(rs, customer);
	struct allowance sum;

	if (r == NULL ||
	    (r->told_at != 0 && str_eq(str_c(r->told), target) &&
		now - r->told_at < TELL_GAP_NS))
		return 0;
	allowance_init(&sum, rs->window, now);
	add_others(rs, r, target, now, &sum);
	if (allowance_used(&sum, now) == 0)
		return 0;
	g_free(r->told);
	r->told = g_strndup(target.p, target.n);
	r->told_at = now;
	return allowance_pack(&sum, now, out);
}

static gboolean
is_unused(gpointer key, gpointer value, gpointer ctx)
{
	struct receipt *r = value;
	int64_t now = *(const int64_t *)ctx;
	unsigned i;

	(void)key;
	for (i = 0; i < SOURCES_MAX; i++)
		if (r->sources[i].granter != NULL &&
		    allowance_used(&r->sources[i].got, now) > 0)
			return FALSE;
	return TRUE;
}

void
receipts_expire(struct receipts *rs, int64_t now)
{
	g_hash_table_foreach_remove(rs->customers, is_unused, &now);
}
