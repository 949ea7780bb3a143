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

#include "clk.h"
#include "returns.h"

struct refused {
	struct fprint print;
	int64_t first, at; /* sent first, refused last */
	GList *link; /* in the order of refusals */
};

enum { USUAL_WEIGHT = 8 }; /* of the past against one */

struct returns {
	int64_t usual, usual_at; /* time waited; when one came back last */
	GHashTable *known; /* struct fprint * in a struct refused to that */
	GQueue order; /* struct refused *, the latest first */
	unsigned max;
};

static guint
hash(gconstpointer p)
{
	const struct fprint *f = p;

	return (guint)(f->lo ^ f->caller);
}

static gboolean
equal(gconstpointer a, gconstpointer b)
{
	const struct fprint *fa = a, *fb = b;

	return fprint_eq(*fa, *fb);
}

struct returns *
returns_new(unsigned max)
{
	struct returns *r = g_new0(struct returns, 1);

	r->known = g_hash_table_new_full(hash, equal, NULL, g_free);
	g_queue_init(&r->order);
	r->max = max;
	return r;
}

void
returns_free(struct returns *r)
{
	g_hash_table_destroy(r->known);
	g_queue_clear(&r->order);
	g_free(r);
}

static void
forget(struct returns *r, struct refused *e)
{
	g_queue_delete_link(&r->order, e->link);
	g_hash_table_remove(r->known, &e->print);
}

void
returns_record_refusal(
    struct returns *r, struct fprint print, int64_t first, int64_t now)
{
	struct refused *e = g_hash_table_lookup(r->known, &print);

	if (fprint_is_none(print))
		return;
	if (e != NULL)
		forget(r, e);
	if (r->order.length >= r->max)
		forget(r, g_queue_peek_tail(&r->order));
	e = g_new0(struct refused, 1);
	e->print = print;
	e->first = first;
	e->at = now;
	g_queue_push_head(&r->order, e);
	e->link = r->order.head;
	g_hash_table_insert(r->known, &e->print, e);
}

static void
learn(struct returns *r, int64_t waited, int64_t now)
{
	if (r->usual == 0 || now - r->usual_at > RETURNS_TTL_NS)
		r->usual = waited;
	r->usual += (waited - r->usual) / USUAL_WEIGHT;
	r->usual_at = now;
}

int64_t
returns_consume(struct returns *r, struct fprint print, int64_t now)
{
	struct refused *e = g_hash_table_lookup(r->known, &print);
	int64_t first;

	if (e == NULL)
		return 0;
	first = now - e->at <= RETURNS_TTL_NS ? e->first : 0;
	forget(r, e);
	if (first > 0)
		learn(r, now - first, now);
	return first;
}

int64_t
returns_mean_wait(const struct returns *r, int64_t now)
{
	return now - r->usual_at <= RETURNS_TTL_NS ? r->usual : 0;
}
