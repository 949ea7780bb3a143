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
#include "refusal.h"

/* A refused request. */
struct refusal {
	struct fprint fingerprint;
	int64_t first_sent, refused_at; /* monotonic ns */
	GList *link; /* in refusals.order */
};

enum { MEAN_WEIGHT = 8 }; /* of the past against one sample */

struct refusals {
	int64_t mean_wait; /* moving average, ns; 0: none yet */
	int64_t last_return; /* monotonic ns */
	GHashTable *refusals; /* by &refusal.fingerprint */
	GQueue order; /* struct refusal *, latest first */
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

struct refusals *
refusals_new(unsigned max)
{
	struct refusals *r = g_new0(struct refusals, 1);

	r->refusals = g_hash_table_new_full(hash, equal, NULL, g_free);
	g_queue_init(&r->order);
	r->max = max;
	return r;
}

void
refusals_free(struct refusals *r)
{
	g_hash_table_destroy(r->refusals);
	g_queue_clear(&r->order);
	g_free(r);
}

static void
remove_refusal(struct refusals *r, struct refusal *e)
{
	g_queue_delete_link(&r->order, e->link);
	g_hash_table_remove(r->refusals, &e->fingerprint);
}

void
refusals_record_refusal(struct refusals *r, struct fprint fingerprint,
    int64_t first_sent, int64_t now)
{
	struct refusal *e = g_hash_table_lookup(r->refusals, &fingerprint);

	if (fprint_is_none(fingerprint))
		return;
	if (e != NULL)
		remove_refusal(r, e);
	if (r->order.length >= r->max)
		remove_refusal(r, g_queue_peek_tail(&r->order));
	e = g_new0(struct refusal, 1);
	e->fingerprint = fingerprint;
	e->first_sent = first_sent;
	e->refused_at = now;
	g_queue_push_head(&r->order, e);
	e->link = r->order.head;
	g_hash_table_insert(r->refusals, &e->fingerprint, e);
}

static void
update_mean(struct refusals *r, int64_t waited, int64_t now)
{
	if (r->mean_wait == 0 || now - r->last_return > REFUSALS_TTL_NS)
		r->mean_wait = waited;
	r->mean_wait += (waited - r->mean_wait) / MEAN_WEIGHT;
	r->last_return = now;
}

int64_t
refusals_consume(struct refusals *r, struct fprint fingerprint, int64_t now)
{
	struct refusal *e = g_hash_table_lookup(r->refusals, &fingerprint);
	int64_t first_sent;

	if (e == NULL)
		return 0;
	first_sent = now - e->refused_at <= REFUSALS_TTL_NS ? e->first_sent : 0;
	remove_refusal(r, e);
	if (first_sent > 0)
		update_mean(r, now - first_sent, now);
	return first_sent;
}

int64_t
refusals_mean_wait(const struct refusals *r, int64_t now)
{
	return now - r->last_return <= REFUSALS_TTL_NS ? r->mean_wait : 0;
}
