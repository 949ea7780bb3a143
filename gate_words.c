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
 * Gates exchange what backend servers reported about themselves, so that the
 * next owner of a shard knows it.  That a backend server is leaving is sent to
 * all hubs at once, as a request that it still gets may be lost.  A rate limit
 * may change many times a second, so changes are sent periodically to the hubs
 * of this hall, one of which will be the next owner.  All reports are also sent
 * periodically, as a list to one hub at random: with n hubs each of them
 * receives them within some seconds, so restarted hubs do too.
 *
 * A list has at most LIST_MAX reports, 2 KB.  Nothing is sent while there are
 * no reports.
 */
#define CHANGES_INTERVAL_NS (250 * NS_MS)
#define LIST_INTERVAL_NS (1 * NS_S)

enum { LIST_MAX = 32, MILLI = 1000 };

static void
encode_report(struct msg_word *out, const struct word *report, int64_t now)
{
	*out = (struct msg_word){.backend = report->backend,
	    .born_ms = (uint64_t)report->born_ms,
	    .leaves = report->leaves,
	    .rate_milli = (uint64_t)llround(report->rate * MILLI),
	    .heard_ms = (uint64_t)(MAX(now - report->heard, 0) / NS_MS)};
}

/* An age that exceeds the uptime is read as the uptime. */
static void
decode_report(struct word *out, const struct msg_word *in, int64_t now)
{
	uint64_t age = MIN(in->heard_ms, (uint64_t)(now / NS_MS));

	*out = (struct word){.backend = in->backend,
	    .born_ms = (int64_t)MIN(in->born_ms, (uint64_t)INT64_MAX),
	    .leaves = in->leaves,
	    .rate = (double)in->rate_milli / MILLI,
	    .heard = now - (int64_t)age * NS_MS};
}

/*
 * Sends reports to one gate, or, if `to` is NULL, to all that are listed, only
 * to those of this hall if same_hall is set.
 */
static void
send_reports(struct gate *g, const struct word *reports, unsigned n,
    const struct gate_peer *to, bool same_hall)
{
	struct msg_word items[LIST_MAX];
	struct msg m = {.kind = MSG_WORDS};
	const struct gate_peer *p;
	unsigned i;

	for (i = 0; i < n; i++)
		encode_report(&items[i], &reports[i], clk_ns(g->clk));
	m.u.words.words = (struct msg_list){items, n};
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (!p->listed || (to != NULL && to != p) ||
		    (same_hall && !str_eq(p->info.hall, g->set.hall)))
			continue;
		wire_send(g->wire, p->info.gate_inbox, &m);
	}
}

static void
send_list(struct gate *g, const struct gate_peer *to)
{
	struct word reports[LIST_MAX];
	unsigned n = words_list(g->words, reports, LIST_MAX);

	if (n > 0)
		send_reports(g, reports, n, to, false);
}

static void
send_changes(struct gate *g)
{
	struct word reports[LIST_MAX];
	unsigned n = words_untold(g->words, reports, LIST_MAX);

	if (n > 0)
		send_reports(g, reports, n, NULL, true);
}

void
gate_words_hear(struct gate *g, const struct word *report)
{
	const struct word *known =
	    words_find(g->words, report->backend, report->born_ms);
	bool was_leaving = known != NULL && known->leaves;

	if (!words_take(g->words, report))
		return;
	if (report->leaves && !was_leaving)
		send_reports(g, report, 1, NULL, false);
	else
		words_mark(g->words, report->backend);
}

void
gate_words_tick(struct gate *g, int64_t now)
{
	unsigned index;

	if (now - g->words_told >= CHANGES_INTERVAL_NS) {
		g->words_told = now;
		send_changes(g);
	}
	if (now - g->words_turn < LIST_INTERVAL_NS)
		return;
	g->words_turn = now;
	words_tick(g->words, now);
	if (g->peers->len == 0)
		return;
	index = (unsigned)rnd_below(g->rnd, g->peers->len);
	send_list(g, g_ptr_array_index(g->peers, index));
}

void
gate_words_take(struct gate *g, const struct msg_words *m)
{
	const struct msg_word *v = m->words.items;
	int64_t now = clk_ns(g->clk);
	GHashTableIter it;
	struct word report;
	bool changed = false;
	gpointer value;
	size_t i;

	for (i = 0; i < MIN(m->words.n, (size_t)LIST_MAX); i++) {
		decode_report(&report, &v[i], now);
		changed = words_take(g->words, &report) || changed;
	}
	if (!changed)
		return;
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value))
		disp_words_told(((struct gate_shard *)value)->disp);
}

void
gate_words_greet(struct gate *g, const struct gate_peer *p)
{
	send_list(g, p);
}
