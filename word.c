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

/*
 * Time that a report is kept after its rate was received.  By then a leaving
 * backend server has exited, and one with a limit has reported it again.
 */
#define REPORT_TTL_NS (600 * NS_S)

/* Most reports that are kept, each of some 100 bytes. */
enum { REPORTS_MAX = 1024 };

struct words {
	GPtrArray *v; /* struct backend_report * */
	GHashTable *by_name; /* struct str * in a report to the report */
	/* struct backend_report *, those in v not sent yet. */
	GPtrArray *unsent;
	guint next; /* index in v where reports_next() continues */
};

static guint
name_hash(gconstpointer p)
{
	const struct str *s = p;
	guint h = 5381;
	size_t i;

	for (i = 0; i < s->n; i++)
		h = h * 33 + (guchar)s->p[i];
	return h;
}

static gboolean
name_equal(gconstpointer a, gconstpointer b)
{
	return str_eq(*(const struct str *)a, *(const struct str *)b);
}

static void
word_free(void *p)
{
	struct word *w = p;

	str_free(&w->backend);
	g_free(w);
}

struct words *
words_new(void)
{
	struct words *ws = g_new0(struct words, 1);

	ws->v = g_ptr_array_new_with_free_func(word_free);
	ws->by_name = g_hash_table_new(name_hash, name_equal);
	ws->unsent = g_ptr_array_new();
	return ws;
}

void
words_free(struct words *ws)
{
	g_hash_table_destroy(ws->by_name);
	g_ptr_array_free(ws->unsent, TRUE);
	g_ptr_array_free(ws->v, TRUE);
	g_free(ws);
}

static void
remove_at(struct words *ws, guint index)
{
	struct word *w = g_ptr_array_index(ws->v, index);

	g_hash_table_remove(ws->by_name, &w->backend);
	g_ptr_array_remove_fast(ws->unsent, w);
	g_ptr_array_remove_index_fast(ws->v, index);
}

/*
 * Drops the report whose rate was received longest ago if there are too many.
 */
static void
evict_oldest(struct words *ws)
{
	const struct word *w, *oldest_report;
	guint i, oldest = 0;

	if (ws->v->len < REPORTS_MAX)
		return;
	for (i = 1; i < ws->v->len; i++) {
		w = g_ptr_array_index(ws->v, i);
		oldest_report = g_ptr_array_index(ws->v, oldest);
		if (w->heard < oldest_report->heard)
			oldest = i;
	}
	remove_at(ws, oldest);
}

static struct word *
add(struct words *ws, struct str backend)
{
	struct word *w = g_new0(struct word, 1);

	evict_oldest(ws);
	w->backend = str_dup(backend);
	g_ptr_array_add(ws->v, w);
	g_hash_table_insert(ws->by_name, &w->backend, w);
	return w;
}

/*
 * Returns whether two start times are those of different runs of a backend
 * server.  An unknown one matches any.
 */
static bool
is_other_start(int64_t born_ms, int64_t other_ms)
{
	return born_ms != 0 && other_ms != 0 && born_ms != other_ms;
}

static void
reset(struct word *w, int64_t born_ms)
{
	struct str backend = w->backend;

	*w = (struct word){.backend = backend, .born_ms = born_ms};
}

bool
words_take(struct words *ws, const struct word *new_report)
{
	struct word *w = g_hash_table_lookup(ws->by_name, &new_report->backend);
	bool changed;

	if (w == NULL)
		w = add(ws, new_report->backend);
	if (is_other_start(w->born_ms, new_report->born_ms)) {
		if (new_report->born_ms < w->born_ms)
			return false;
		reset(w, new_report->born_ms);
	}
	w->born_ms = MAX(w->born_ms, new_report->born_ms);
	w->rest_until = MAX(w->rest_until, new_report->rest_until);
	changed = new_report->leaves && !w->leaves;
	w->leaves = w->leaves || new_report->leaves;
	if (new_report->heard <= w->heard)
		return changed;
	changed = changed || new_report->rate != w->rate;
	w->rate = new_report->rate;
	w->heard = new_report->heard;
	return changed;
}

const struct word *
words_find(const struct words *ws, struct str backend, int64_t born_ms)
{
	const struct word *w = g_hash_table_lookup(ws->by_name, &backend);

	return w == NULL || is_other_start(w->born_ms, born_ms) ? NULL : w;
}

void
words_mark(struct words *ws, struct str backend)
{
	struct word *w = g_hash_table_lookup(ws->by_name, &backend);

	if (w == NULL)
		return;
	g_ptr_array_remove_fast(ws->unsent, w);
	g_ptr_array_add(ws->unsent, w);
}

unsigned
words_untold(struct words *ws, struct word *out, unsigned max)
{
	unsigned n = 0;
	guint last;

	while (n < max && ws->unsent->len > 0) {
		last = ws->unsent->len - 1;
		out[n] = *(struct word *)g_ptr_array_index(ws->unsent, last);
		g_ptr_array_remove_index_fast(ws->unsent, last);
		n++;
	}
	return n;
}

unsigned
words_list(struct words *ws, struct word *out, unsigned max)
{
	unsigned i, n = MIN(ws->v->len, max);
	const struct word *w;

	for (i = 0; i < n; i++) {
		w = g_ptr_array_index(ws->v, (ws->next + i) % ws->v->len);
		out[i] = *w;
	}
	ws->next = n == 0 ? 0 : (ws->next + n) % ws->v->len;
	return n;
}

void
words_tick(struct words *ws, int64_t now)
{
	const struct word *w;
	guint i;

	for (i = ws->v->len; i-- > 0;) {
		w = g_ptr_array_index(ws->v, i);
		if (now - w->heard >= REPORT_TTL_NS && now >= w->rest_until)
			remove_at(ws, i);
	}
}
