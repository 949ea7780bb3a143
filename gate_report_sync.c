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
encode_report(
    struct msg_report *out, const struct backend_report *report, int64_t now)
{
	*out = (struct msg_report){.backend = report->backend,
	    .started_ms = (uint64_t)report->started_ms,
	    .leaving = report->leaving,
	    .rate_milli = (uint64_t)llround(report->rate * MILLI),
	    .age_ms = (uint64_t)(MAX(now - report->reported_at, 0) / NS_MS)};
}

/* An age that exceeds the uptime is read as the uptime. */
static void
decode_report(
    struct backend_report *out, const struct msg_report *in, int64_t now)
{
	uint64_t age = MIN(in->age_ms, (uint64_t)(now / NS_MS));

	*out = (struct backend_report){.backend = in->backend,
	    .started_ms = (int64_t)MIN(in->started_ms, (uint64_t)INT64_MAX),
	    .leaving = in->leaving,
	    .rate = (double)in->rate_milli / MILLI,
	    .reported_at = now - (int64_t)age * NS_MS};
}

/*
 * Sends reports to one gate, or, if `to` is NULL, to all listed gates, or to
 * those of this hall if same_hall is set.
 */
static void
send_reports(struct gate *g, const struct backend_report *reports, unsigned n,
    const struct gate_peer *to, bool same_hall)
{
	struct msg_report items[LIST_MAX];
	struct msg m = {.kind = MSG_REPORTS};
	const struct gate_peer *p;
	unsigned i;

	for (i = 0; i < n; i++)
		encode_report(&items[i], &reports[i], clk_ns(g->clk));
	m.u.reports.reports = (struct msg_list){items, n};
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (!p->listed || (to != NULL && to != p) ||
		    (same_hall && !str_eq(p->info.hall, g->settings.hall)))
			continue;
		wire_send(g->wire, p->info.gate_inbox, &m);
	}
}

static void
send_list(struct gate *g, const struct gate_peer *to)
{
	struct backend_report reports[LIST_MAX];
	unsigned n = reports_next(g->reports, reports, LIST_MAX);

	if (n > 0)
		send_reports(g, reports, n, to, false);
}

static void
send_changes(struct gate *g)
{
	struct backend_report reports[LIST_MAX];
	unsigned n = reports_pop_unsent(g->reports, reports, LIST_MAX);

	if (n > 0)
		send_reports(g, reports, n, NULL, true);
}

void
gate_reports_add(struct gate *g, const struct backend_report *report)
{
	const struct backend_report *known =
	    reports_find(g->reports, report->backend, report->started_ms);
	bool was_leaving = known != NULL && known->leaving;

	if (!reports_merge(g->reports, report))
		return;
	if (report->leaving && !was_leaving)
		send_reports(g, report, 1, NULL, false);
	else
		reports_mark_unsent(g->reports, report->backend);
}

void
gate_reports_tick(struct gate *g, int64_t now)
{
	unsigned index;

	if (now - g->reports_sent_at >= CHANGES_INTERVAL_NS) {
		g->reports_sent_at = now;
		send_changes(g);
	}
	if (now - g->reports_gossiped_at < LIST_INTERVAL_NS)
		return;
	g->reports_gossiped_at = now;
	reports_expire(g->reports, now);
	if (g->peers->len == 0)
		return;
	index = (unsigned)rnd_below(g->rnd, g->peers->len);
	send_list(g, g_ptr_array_index(g->peers, index));
}

void
gate_reports_merge(struct gate *g, const struct msg_reports *m)
{
	const struct msg_report *v = m->reports.items;
	int64_t now = clk_ns(g->clk);
	GHashTableIter it;
	struct backend_report report;
	bool changed = false;
	gpointer value;
	size_t i;

	for (i = 0; i < MIN(m->reports.n, (size_t)LIST_MAX); i++) {
		decode_report(&report, &v[i], now);
		changed = reports_merge(g->reports, &report) || changed;
	}
	if (!changed)
		return;
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value))
		disp_apply_reports(((struct gate_shard *)value)->disp);
}

void
gate_reports_send_to(struct gate *g, const struct gate_peer *p)
{
	send_list(g, p);
}
