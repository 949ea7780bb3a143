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
#include <math.h>

#include "libgate.h"

/*
 * Gates tell one another what backend servers said of themselves, so that the
 * next home of a shard goes on with it.  That one leaves is told to all hubs at
 * once: a single request too many is lost with it.  A limit may change many
 * times a second, so it is told by turns to the hubs of our hall, one of which
 * is the next home.  All else goes to one hub of all at random: from n hubs
 * each hears of it within some seconds, whoever restarts.
 *
 * A list has LIST_MAX words at most, 2 KB, and nothing is sent where backend
 * servers say nothing of the kind.
 */
#define NEWS_NS (250 * NS_MS)
#define TURN_NS (1 * NS_S)

enum { LIST_MAX = 32, MILLI = 1000 };

static void
write_word(struct msg_word *out, const struct word *w, int64_t now)
{
	*out = (struct msg_word){.backend = w->backend,
	    .born_ms = (uint64_t)w->born_ms,
	    .leaves = w->leaves,
	    .rate_milli = (uint64_t)llround(w->rate * MILLI),
	    .heard_ms = (uint64_t)(MAX(now - w->heard, 0) / NS_MS)};
}

/* An age beyond the start of our clock counts as of then. */
static void
read_word(struct word *out, const struct msg_word *in, int64_t now)
{
	uint64_t age = MIN(in->heard_ms, (uint64_t)(now / NS_MS));

	*out = (struct word){.backend = in->backend,
	    .born_ms = (int64_t)MIN(in->born_ms, (uint64_t)INT64_MAX),
	    .leaves = in->leaves,
	    .rate = (double)in->rate_milli / MILLI,
	    .heard = now - (int64_t)age * NS_MS};
}

/* Send words to one gate, or to all that are listed, or to those near. */
static void
tell(struct gate *g, const struct word *words, unsigned n,
    const struct gate_peer *to, bool near)
{
	struct msg_word items[LIST_MAX];
	struct msg m = {.kind = MSG_WORDS};
	const struct gate_peer *p;
	unsigned i;

	for (i = 0; i < n; i++)
		write_word(&items[i], &words[i], clk_ns(g->clk));
	m.u.words.words = (struct msg_list){items, n};
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (!p->listed || (to != NULL && to != p) ||
		    (near && !str_eq(p->info.hall, g->set.hall)))
			continue;
		wire_send(g->wire, p->info.gate_inbox, &m);
	}
}

static void
tell_list(struct gate *g, const struct gate_peer *to)
{
	struct word words[LIST_MAX];
	unsigned n = words_list(g->words, words, LIST_MAX);

	if (n > 0)
		tell(g, words, n, to, false);
}

static void
tell_news(struct gate *g)
{
	struct word words[LIST_MAX];
	unsigned n = words_untold(g->words, words, LIST_MAX);

	if (n > 0)
		tell(g, words, n, NULL, true);
}

void
gate_words_hear(struct gate *g, const struct word *w)
{
	const struct word *before =
	    words_find(g->words, w->backend, w->born_ms);
	bool left = before != NULL && before->leaves;

	if (!words_take(g->words, w))
		return;
	if (w->leaves && !left)
		tell(g, w, 1, NULL, false);
	else
		words_mark(g->words, w->backend);
}

void
gate_words_tick(struct gate *g, int64_t now)
{
	unsigned at;

	if (now - g->words_told >= NEWS_NS) {
		g->words_told = now;
		tell_news(g);
	}
	if (now - g->words_turn < TURN_NS)
		return;
	g->words_turn = now;
	words_tick(g->words, now);
	if (g->peers->len == 0)
		return;
	at = (unsigned)rnd_below(g->rnd, g->peers->len);
	tell_list(g, g_ptr_array_index(g->peers, at));
}

void
gate_words_take(struct gate *g, const struct msg_words *m)
{
	const struct msg_word *v = m->words.items;
	int64_t now = clk_ns(g->clk);
	GHashTableIter it;
	struct word word;
	bool news = false;
	gpointer value;
	size_t i;

	for (i = 0; i < MIN(m->words.n, (size_t)LIST_MAX); i++) {
		read_word(&word, &v[i], now);
		news = words_take(g->words, &word) || news;
	}
	if (!news)
		return;
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value))
		disp_words_told(((struct gate_shard *)value)->disp);
}

void
gate_words_greet(struct gate *g, const struct gate_peer *p)
{
	tell_list(g, p);
}
