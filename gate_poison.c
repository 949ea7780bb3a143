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
 * Gates tell one another of requests that end backend servers.  A trial that
 * ended so is told to all hubs at once, as any of them may be home and have
 * the next copy, and to our agent, which keeps what is proved.  All else goes
 * by turns, a list to one hub of all at random: from n hubs each hears of it
 * within a second or two, whoever restarts.
 *
 * A list has POISON_MSG_RECORDS_MAX at most, 2 KB, so that a hub sends 4 KB a
 * second at worst, and nothing where nobody is suspected.
 */
#define TURN_NS (500 * NS_MS)

/* Send what we know to one gate, or to all that are listed and our agent. */
static void
tell(struct gate *g, const struct gate_peer *to)
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
on_changed(void *ctx, struct fprint print, enum poison_status verdict)
{
	static const char *const msgs[] = {
	    [POISON_NONE] = "a request is cleared, it was answered",
	    [POISON_SUSPECT] = "a request is suspected, it runs by itself now",
	    [POISON_PROVED] = "a request is refused now, it ends servers",
	};

	(void)ctx;
	slog_decision(
	    SLOG_PICK, msgs[verdict], "print=" FPRINT_FMT, FPRINT_ARG(print));
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
	unsigned at;

	if (poison_has_unsent_trial(g->poison))
		tell(g, NULL);
	if (now - g->poison_sent_at < TURN_NS)
		return;
	g->poison_sent_at = now;
	poison_expire(g->poison);
	if (g->peers->len == 0)
		return;
	at = (unsigned)rnd_below(g->rnd, g->peers->len);
	tell(g, g_ptr_array_index(g->peers, at));
}

void
gate_poison_merge(struct gate *g, const struct msg_suspects *m)
{
	poison_msg_merge(g->poison, clk_ns(g->clk), m);
}

void
gate_poison_send_to(struct gate *g, const struct gate_peer *p)
{
	tell(g, p);
}
