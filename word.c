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

struct words {
	GPtrArray *v; /* struct word * */
	GHashTable *by_name; /* struct str * of a word to the word */
	GPtrArray *untold; /* struct word *, of these */
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
	struct word *w = p;

	str_free(&w->backend);
	g_free(w);
}

struct words *
words_new(void)
{
	struct words *ws = g_new0(struct words, 1);

	ws->v = g_ptr_array_new_with_free_func(word_free);
	ws->by_name = g_hash_table_new(hash_name, same_name);
	ws->untold = g_ptr_array_new();
	return ws;
}

void
words_free(struct words *ws)
{
	g_hash_table_destroy(ws->by_name);
	g_ptr_array_free(ws->untold, TRUE);
	g_ptr_array_free(ws->v, TRUE);
	g_free(ws);
}

static void
drop(struct words *ws, guint at)
{
	struct word *w = g_ptr_array_index(ws->v, at);

	g_hash_table_remove(ws->by_name, &w->backend);
	g_ptr_array_remove_fast(ws->untold, w);
	g_ptr_array_remove_index_fast(ws->v, at);
}

/* Make room for one more, at the cost of what was heard longest ago. */
static void
make_room(struct words *ws)
{
	const struct word *w, *old;
	guint i, oldest = 0;

	if (ws->v->len < WORDS_MAX)
		return;
	for (i = 1; i < ws->v->len; i++) {
		w = g_ptr_array_index(ws->v, i);
		old = g_ptr_array_index(ws->v, oldest);
		if (w->heard < old->heard)
			oldest = i;
	}
	drop(ws, oldest);
}

static struct word *
add(struct words *ws, struct str backend)
{
	struct word *w = g_new0(struct word, 1);

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
begin_life(struct word *w, int64_t born_ms)
{
	struct str backend = w->backend;

	*w = (struct word){.backend = backend, .born_ms = born_ms};
}

bool
words_take(struct words *ws, const struct word *said)
{
	struct word *w = g_hash_table_lookup(ws->by_name, &said->backend);
	bool news;

	if (w == NULL)
		w = add(ws, said->backend);
	if (is_another(w->born_ms, said->born_ms)) {
		if (said->born_ms < w->born_ms)
			return false;
		begin_life(w, said->born_ms);
	}
	w->born_ms = MAX(w->born_ms, said->born_ms);
	w->rest_until = MAX(w->rest_until, said->rest_until);
	news = said->leaves && !w->leaves;
	w->leaves = w->leaves || said->leaves;
	if (said->heard <= w->heard)
		return news;
	news = news || said->rate != w->rate;
	w->rate = said->rate;
	w->heard = said->heard;
	return news;
}

const struct word *
words_find(const struct words *ws, struct str backend, int64_t born_ms)
{
	const struct word *w = g_hash_table_lookup(ws->by_name, &backend);

	return w == NULL || is_another(w->born_ms, born_ms) ? NULL : w;
}

void
words_mark(struct words *ws, struct str backend)
{
	struct word *w = g_hash_table_lookup(ws->by_name, &backend);

	if (w == NULL)
		return;
	g_ptr_array_remove_fast(ws->untold, w);
	g_ptr_array_add(ws->untold, w);
}

unsigned
words_untold(struct words *ws, struct word *out, unsigned max)
{
	unsigned n = 0;
	guint last;

	while (n < max && ws->untold->len > 0) {
		last = ws->untold->len - 1;
		out[n] = *(struct word *)g_ptr_array_index(ws->untold, last);
		g_ptr_array_remove_index_fast(ws->untold, last);
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
		w = g_ptr_array_index(ws->v, (ws->turn + i) % ws->v->len);
		out[i] = *w;
	}
	ws->turn = n == 0 ? 0 : (ws->turn + n) % ws->v->len;
	return n;
}

void
words_tick(struct words *ws, int64_t now)
{
	const struct word *w;
	guint i;

	for (i = ws->v->len; i-- > 0;) {
		w = g_ptr_array_index(ws->v, i);
		if (now - w->heard >= KEEP_NS && now >= w->rest_until)
			drop(ws, i);
	}
}
