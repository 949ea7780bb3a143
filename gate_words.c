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
write_word(struct msg_report *out, const struct backend_report *w, int64_t now)
{
	*out = (struct msg_report){.backend = w->backend,
	    .started_ms = (uint64_t)w->started_ms,
	    .leaving = w->leaving,
	    .rate_milli = (uint64_t)llround(w->rate * MILLI),
	    .age_ms = (uint64_t)(MAX(now - w->reported_at, 0) / NS_MS)};
}

/* An age beyond the start of our clock counts as of then. */
static void
read_word(struct backend_report *out, const struct msg_report *in, int64_t now)
{
	uint64_t age = MIN(in->age_ms, (uint64_t)(now / NS_MS));

	*out = (struct backend_report){.backend = in->backend,
	    .started_ms = (int64_t)MIN(in->started_ms, (uint64_t)INT64_MAX),
	    .leaving = in->leaving,
	    .rate = (double)in->rate_milli / MILLI,
	    .reported_at = now - (int64_t)age * NS_MS};
}

/* Send words to one gate, or to all that are listed, or to those near. */
static void
tell(struct gate *g, const struct backend_report *words, unsigned n,
    const struct gate_peer *to, bool near)
{
	struct msg_report items[LIST_MAX];
	struct msg m = {.kind = MSG_REPORTS};
	const struct gate_peer *p;
	unsigned i;

	for (i = 0; i < n; i++)
		write_word(&items[i], &words[i], clk_ns(g->clk));
	m.u.reports.reports = (struct msg_list){items, n};
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (!p->listed || (to != NULL && to != p) ||
		    (near && !str_eq(p->info.hall, g->settings.hall)))
			continue;
		wire_send(g->wire, p->info.gate_inbox, &m);
	}
}

static void
tell_list(struct gate *g, const struct gate_peer *to)
{
	struct backend_report words[LIST_MAX];
	unsigned n = reports_next(g->reports, words, LIST_MAX);

	if (n > 0)
		tell(g, words, n, to, false);
}

static void
tell_news(struct gate *g)
{
	struct backend_report words[LIST_MAX];
	unsigned n = reports_pop_unsent(g->reports, words, LIST_MAX);

	if (n > 0)
		tell(g, words, n, NULL, true);
}

void
gate_reports_add(struct gate *g, const struct backend_report *w)
{
	const struct backend_report *before =
	    reports_find(g->reports, w->backend, w->started_ms);
	bool left = before != NULL && before->leaving;

	if (!reports_merge(g->reports, w))
		return;
	if (w->leaving && !left)
		tell(g, w, 1, NULL, false);
	else
		reports_mark_unsent(g->reports, w->backend);
}

void
gate_reports_tick(struct gate *g, int64_t now)
{
	unsigned at;

	if (now - g->reports_sent_at >= NEWS_NS) {
		g->reports_sent_at = now;
		tell_news(g);
	}
	if (now - g->reports_gossiped_at < TURN_NS)
		return;
	g->reports_gossiped_at = now;
	reports_expire(g->reports, now);
	if (g->peers->len == 0)
		return;
	at = (unsigned)rnd_below(g->rnd, g->peers->len);
	tell_list(g, g_ptr_array_index(g->peers, at));
}

void
gate_reports_merge(struct gate *g, const struct msg_reports *m)
{
	const struct msg_report *v = m->reports.items;
	int64_t now = clk_ns(g->clk);
	GHashTableIter it;
	struct backend_report word;
	bool news = false;
	gpointer value;
	size_t i;

	for (i = 0; i < MIN(m->reports.n, (size_t)LIST_MAX); i++) {
		read_word(&word, &v[i], now);
		news = reports_merge(g->reports, &word) || news;
	}
	if (!news)
		return;
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value))
		disp_apply_reports(((struct gate_shard *)value)->disp);
}

void
gate_reports_send_to(struct gate *g, const struct gate_peer *p)
{
	tell_list(g, p);
}
