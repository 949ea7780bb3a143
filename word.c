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
#include "word.h"

/* One that leaves has ended by then, and one with a limit speaks again. */
#define KEEP_NS (600 * NS_S)

/* Of so many backend servers, each with some 100 bytes. */
enum { WORDS_MAX = 1024 };

struct backend_reports {
	GPtrArray *v; /* struct backend_report * */
	GHashTable *by_name; /* struct str * of a word to the word */
	GPtrArray *untold; /* struct backend_report *, of these */
	guint turn; /* whose turn it is to be told */
};

static guint
hash_name(gconstpointer p)
{
	const struct str *s = p;
	guint h = 5381;
	size_t i;

	for (i = 0; i < s->n; i++)
		h = h * 33 + (guchar)s->p[i];
	return h;
}

static gboolean
same_name(gconstpointer a, gconstpointer b)
{
	return str_eq(*(const struct str *)a, *(const struct str *)b);
}

static void
word_free(void *p)
{
	struct backend_report *w = p;

	str_free(&w->backend);
	g_free(w);
}

struct backend_reports *
reports_new(void)
{
	struct backend_reports *ws = g_new0(struct backend_reports, 1);

	ws->v = g_ptr_array_new_with_free_func(word_free);
	ws->by_name = g_hash_table_new(hash_name, same_name);
	ws->untold = g_ptr_array_new();
	return ws;
}

void
reports_free(struct backend_reports *ws)
{
	g_hash_table_destroy(ws->by_name);
	g_ptr_array_free(ws->untold, TRUE);
	g_ptr_array_free(ws->v, TRUE);
	g_free(ws);
}

static void
drop(struct backend_reports *ws, guint at)
{
	struct backend_report *w = g_ptr_array_index(ws->v, at);

	g_hash_table_remove(ws->by_name, &w->backend);
	g_ptr_array_remove_fast(ws->untold, w);
	g_ptr_array_remove_index_fast(ws->v, at);
}

/* Make room for one more, at the cost of what was heard longest ago. */
static void
make_room(struct backend_reports *ws)
{
	const struct backend_report *w, *old;
	guint i, oldest = 0;

	if (ws->v->len < WORDS_MAX)
		return;
	for (i = 1; i < ws->v->len; i++) {
		w = g_ptr_array_index(ws->v, i);
		old = g_ptr_array_index(ws->v, oldest);
		if (w->reported_at < old->reported_at)
			oldest = i;
	}
	drop(ws, oldest);
}

static struct backend_report *
add(struct backend_reports *ws, struct str backend)
{
	struct backend_report *w = g_new0(struct backend_report, 1);

	make_room(ws);
	w->backend = str_dup(backend);
	g_ptr_array_add(ws->v, w);
	g_hash_table_insert(ws->by_name, &w->backend, w);
	return w;
}

/* Are these two lives?  One whose start is unsaid may be any. */
static bool
is_another(int64_t born_ms, int64_t other_ms)
{
	return born_ms != 0 && other_ms != 0 && born_ms != other_ms;
}

static void
begin_life(struct backend_report *w, int64_t born_ms)
{
	struct str backend = w->backend;

	*w = (struct backend_report){.backend = backend, .started_ms = born_ms};
}

bool
reports_merge(struct backend_reports *ws, const struct backend_report *said)
{
	struct backend_report *w =
	    g_hash_table_lookup(ws->by_name, &said->backend);
	bool news;

	if (w == NULL)
		w = add(ws, said->backend);
	if (is_another(w->started_ms, said->started_ms)) {
		if (said->started_ms < w->started_ms)
			return false;
		begin_life(w, said->started_ms);
	}
	w->started_ms = MAX(w->started_ms, said->started_ms);
	w->pause_until = MAX(w->pause_until, said->pause_until);
	news = said->leaving && !w->leaving;
	w->leaving = w->leaving || said->leaving;
	if (said->reported_at <= w->reported_at)
		return news;
	news = news || said->rate != w->rate;
	w->rate = said->rate;
	w->reported_at = said->reported_at;
	return news;
}

const struct backend_report *
reports_find(
    const struct backend_reports *ws, struct str backend, int64_t born_ms)
{
	const struct backend_report *w =
	    g_hash_table_lookup(ws->by_name, &backend);

	return w == NULL || is_another(w->started_ms, born_ms) ? NULL : w;
}

void
reports_mark_unsent(struct backend_reports *ws, struct str backend)
{
	struct backend_report *w = g_hash_table_lookup(ws->by_name, &backend);

	if (w == NULL)
		return;
	g_ptr_array_remove_fast(ws->untold, w);
	g_ptr_array_add(ws->untold, w);
}

unsigned
reports_pop_unsent(
    struct backend_reports *ws, struct backend_report *out, unsigned max)
{
	unsigned n = 0;
	guint last;

	while (n < max && ws->untold->len > 0) {
		last = ws->untold->len - 1;
		out[n] = *(struct backend_report *)g_ptr_array_index(
		    ws->untold, last);
		g_ptr_array_remove_index_fast(ws->untold, last);
		n++;
	}
	return n;
}

unsigned
reports_next(
    struct backend_reports *ws, struct backend_report *out, unsigned max)
{
	unsigned i, n = MIN(ws->v->len, max);
	const struct backend_report *w;

	for (i = 0; i < n; i++) {
		w = g_ptr_array_index(ws->v, (ws->turn + i) % ws->v->len);
		out[i] = *w;
	}
	ws->turn = n == 0 ? 0 : (ws->turn + n) % ws->v->len;
	return n;
}

void
reports_expire(struct backend_reports *ws, int64_t now)
{
	const struct backend_report *w;
	guint i;

	for (i = ws->v->len; i-- > 0;) {
		w = g_ptr_array_index(ws->v, i);
		if (now - w->reported_at >= KEEP_NS && now >= w->pause_until)
			drop(ws, i);
	}
}
