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
#include <string.h>

#include "poison.h"

/*
 * A word that went to another box and back is a little later each time; what
 * differs by less is the same.
 */
#define SAME_NS (200 * NS_MS)

struct poison {
	const struct clk *clk;
	const struct rnd *rnd;
	GHashTable *words; /* struct fprint * to struct poison_word * */
	bool news;
	poison_fn *changed; /* NULL: nobody listens */
	void *ctx;
};

static guint
hash(gconstpointer p)
{
	const struct fprint *f = p;

	return (guint)f->lo;
}

static gboolean
equal(gconstpointer a, gconstpointer b)
{
	const struct fprint *fa = a, *fb = b;

	return fprint_eq(*fa, *fb);
}

struct poison *
poison_new(const struct clk *clk, const struct rnd *rnd)
{
	struct poison *p = g_new0(struct poison, 1);

	p->clk = clk;
	p->rnd = rnd;
	p->words = g_hash_table_new_full(hash, equal, NULL, g_free);
	return p;
}

void
poison_listen(struct poison *p, poison_fn *changed, void *ctx)
{
	p->changed = changed;
	p->ctx = ctx;
}

void
poison_free(struct poison *p)
{
	g_hash_table_destroy(p->words);
	g_free(p);
}

static unsigned
trials(const struct poison_word *w)
{
	unsigned i, n = 0;

	for (i = 0; i < POISON_TRIALS; i++)
		n += w->trials[i] != 0;
	return n;
}

static enum poison_verdict
judge(const struct poison_word *w, int64_t now)
{
	int64_t age = now - w->ended;

	if (w->cleared >= w->ended)
		return POISON_NONE;
	if (trials(w) == POISON_TRIALS && age < POISON_HOLD_NS)
		return POISON_PROVED;
	/* Proved once, it stays a suspect for a while after its time. */
	if (trials(w) == POISON_TRIALS)
		age -= POISON_HOLD_NS;
	return age < POISON_SUSPECT_NS ? POISON_SUSPECT : POISON_NONE;
}

static struct poison_word *
find(const struct poison *p, struct fprint print)
{
	if (g_hash_table_size(p->words) == 0)
		return NULL;
	return g_hash_table_lookup(p->words, &print);
}

enum poison_verdict
poison_look(const struct poison *p, struct fprint print)
{
	const struct poison_word *w = find(p, print);

	return w == NULL ? POISON_NONE : judge(w, clk_ns(p->clk));
}

/* Tell who listens, if something is thought now that was not before. */
static void
note(struct poison *p, struct fprint print, enum poison_verdict before)
{
	enum poison_verdict now = poison_look(p, print);

	if (now != before && p->changed != NULL)
		p->changed(p->ctx, print, now);
}

int64_t
poison_until(const struct poison *p, struct fprint print)
{
	const struct poison_word *w = find(p, print);

	return w == NULL ? 0 : w->ended + POISON_HOLD_NS;
}

/* Does one word matter more than another? */
static bool
is_weightier(const struct poison_word *a, const struct poison_word *b)
{
	if (trials(a) != trials(b))
		return trials(a) > trials(b);
	return a->ended > b->ended;
}

/* What matters least makes room for something new. */
static void
make_room(struct poison *p)
{
	struct poison_word *least = NULL;
	GHashTableIter it;
	gpointer value;

	if (g_hash_table_size(p->words) < POISON_MAX)
		return;
	g_hash_table_iter_init(&it, p->words);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (least == NULL || is_weightier(least, value))
			least = value;
	g_hash_table_remove(p->words, &least->print);
}

static struct poison_word *
find_or_add(struct poison *p, struct fprint print)
{
	struct poison_word *w = find(p, print);

	if (w != NULL)
		return w;
	make_room(p);
	w = g_new0(struct poison_word, 1);
	w->print = print;
	g_hash_table_insert(p->words, &w->print, w);
	return w;
}

static void
add_trial(struct poison_word *w, uint64_t number)
{
	unsigned i;

	for (i = 0; i < POISON_TRIALS; i++)
		if (w->trials[i] == number)
			return;
	for (i = 0; i < POISON_TRIALS; i++)
		if (w->trials[i] == 0) {
			w->trials[i] = number;
			return;
		}
}

/* Trials from before an answer, or from before its time was over, are void. */
static void
begin_anew(struct poison_word *w, int64_t now)
{
	if (judge(w, now) == POISON_NONE)
		memset(w->trials, 0, sizeof(w->trials));
}

void
poison_ended(struct poison *p, struct fprint print, bool trial)
{
	enum poison_verdict before = poison_look(p, print);
	int64_t now = clk_ns(p->clk);
	struct poison_word *w;

	if (fprint_is_none(print))
		return;
	w = find_or_add(p, print);
	begin_anew(w, now);
	w->ended = MAX(now, w->cleared + 1);
	if (trial)
		add_trial(w, MAX(p->rnd->next(p->rnd->ctx), 1));
	p->news = p->news || trial;
	note(p, print, before);
}

void
poison_accuse(struct poison *p, struct fprint print)
{
	if (poison_look(p, print) == POISON_NONE)
		poison_ended(p, print, false);
}

void
poison_served(struct poison *p, struct fprint print)
{
	enum poison_verdict before = poison_look(p, print);
	struct poison_word *w = find(p, print);

	if (w == NULL)
		return;
	w->cleared = MAX(clk_ns(p->clk), w->ended);
	memset(w->trials, 0, sizeof(w->trials));
	note(p, print, before);
}

/* The union of both, without what an answer has made void. */
static void
merge(struct poison_word *w, const struct poison_word *told)
{
	unsigned i;

	if (told->cleared > w->cleared + SAME_NS)
		w->cleared = told->cleared;
	if (told->ended > w->ended + SAME_NS)
		w->ended = told->ended;
	if (w->cleared >= w->ended) {
		memset(w->trials, 0, sizeof(w->trials));
		return;
	}
	for (i = 0; told->ended > w->cleared && i < POISON_TRIALS; i++)
		if (told->trials[i] != 0)
			add_trial(w, told->trials[i]);
}

void
poison_take(struct poison *p, const struct poison_word *told)
{
	enum poison_verdict before = poison_look(p, told->print);

	if (fprint_is_none(told->print) || told->ended > clk_ns(p->clk))
		return;
	merge(find_or_add(p, told->print), told);
	note(p, told->print, before);
}

static gint
by_weight(gconstpointer pa, gconstpointer pb)
{
	const struct poison_word *const *a = pa, *const *b = pb;

	if (is_weightier(*a, *b))
		return -1;
	return is_weightier(*b, *a);
}

unsigned
poison_words(const struct poison *p, struct poison_word *out)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	unsigned i, n;

	g_hash_table_iter_init(&it, p->words);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(all, value);
	g_ptr_array_sort(all, by_weight);
	n = MIN(all->len, POISON_WORDS);
	for (i = 0; i < n; i++)
		out[i] = *(const struct poison_word *)g_ptr_array_index(all, i);
	g_ptr_array_free(all, TRUE);
	return n;
}

bool
poison_has_news(struct poison *p)
{
	bool news = p->news;

	p->news = false;
	return news;
}

/* An answer is remembered as long as an end, so that no old word undoes it. */
static gboolean
is_over(gpointer key, gpointer value, gpointer ctx)
{
	const struct poison_word *w = value;
	const int64_t *now = ctx;

	(void)key;
	return judge(w, *now) == POISON_NONE &&
	    *now - MAX(w->ended, w->cleared) >= POISON_SUSPECT_NS;
}

void
poison_tick(struct poison *p)
{
	int64_t now = clk_ns(p->clk);

	g_hash_table_foreach_remove(p->words, is_over, &now);
}

unsigned
poison_proved(const struct poison *p)
{
	int64_t now = clk_ns(p->clk);
	GHashTableIter it;
	gpointer value;
	unsigned n = 0;

	g_hash_table_iter_init(&it, p->words);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += judge(value, now) == POISON_PROVED;
	return n;
}
