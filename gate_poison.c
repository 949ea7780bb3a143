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
#include "libgate.h"
#include "poison_msg.h"
#include "slog.h"

/*
 * Gates exchange which requests crash backend servers.  When a request that ran
 * alone in a trial crashes a backend server, this is sent to all hubs at once,
 * as any of them may own the shard that the next copy comes to, and to the
 * agent of this box, which keeps the proved ones.  All else is sent
 * periodically, as a list to one hub at random: with n hubs each of them
 * receives it within a second or two, so restarted hubs do too.
 *
 * A list has at most POISON_MSG_RECORDS_MAX records, 2 KB, so a hub sends 4 KB
 * a second at worst, and nothing while no request is suspected.
 */
#define LIST_INTERVAL_NS (500 * NS_MS)

/*
 * Sends what this gate knows to one gate, or, if `to` is NULL, to all listed
 * gates and the agent.
 */
static void
send_list(struct gate *g, const struct gate_peer *to)
{
	struct msg_suspect items[POISON_MSG_RECORDS_MAX];
	struct msg m = {.kind = MSG_SUSPECTS};
	unsigned i, n = poison_msg_encode(g->poison, clk_ns(g->clk), items);
	const struct gate_peer *p;

	if (n == 0)
		return;
	m.u.suspects.suspects = (struct msg_list){items, n};
	for (i = 0; i < g->peers->len; i++) {
		p = g_ptr_array_index(g->peers, i);
		if (p->listed && (to == NULL || to == p))
			wire_send(g->wire, p->info.gate_inbox, &m);
	}
	if (to == NULL)
		wire_send(g->wire, g->settings.agent, &m);
}

static void
on_changed(void *ctx, struct fprint fingerprint, enum poison_status verdict)
{
	static const char *const messages[] = {
	    [POISON_NONE] = "a request is cleared, it was answered",
	    [POISON_SUSPECT] = "a request is suspected, it runs by itself now",
	    [POISON_PROVED] = "a request is refused now, it ends servers",
	};

	(void)ctx;
	slog_decision(SLOG_PICK, messages[verdict], "print=" FPRINT_FMT,
	    FPRINT_ARG(fingerprint));
}

void
gate_poison_open(struct gate *g)
{
	g->poison = poison_new(g->clk, g->rnd);
	poison_listen(g->poison, on_changed, g);
}

void
gate_poison_tick(struct gate *g, int64_t now)
{
	unsigned index;

	if (poison_has_unsent_trial(g->poison))
		send_list(g, NULL);
	if (now - g->poison_sent_at < LIST_INTERVAL_NS)
		return;
	g->poison_sent_at = now;
	poison_expire(g->poison);
	if (g->peers->len == 0)
		return;
	index = (unsigned)rnd_below(g->rnd, g->peers->len);
	send_list(g, g_ptr_array_index(g->peers, index));
}

void
gate_poison_merge(struct gate *g, const struct msg_suspects *m)
{
	poison_msg_merge(g->poison, clk_ns(g->clk), m);
}

void
gate_poison_send_to(struct gate *g, const struct gate_peer *p)
{
	send_list(g, p);
}
