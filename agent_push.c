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
#include "libagent.h"

/* Messages to many boxes: to all, to our hall, and changes to those in need. */

enum {
	PUSH_SMALL_MAX = 8192, /* bytes of an object that several push */
	SMALL_COPIES = 4, /* watchers that push it to one box */
	LARGE_COPIES = 2 /* and a large one: it takes a weak link seconds */
};

/* A message to many boxes. */
struct many {
	struct agent *agent;
	struct msg *msg;
};

/* Which of the boxes get something from us: one in `share`, the `own` one. */
struct part {
	unsigned share; /* 0: none */
	unsigned own;
};

/* The changes that are on their way out. */
struct push {
	struct agent *agent;
	struct sync_pack *small, *large; /* what the platform told us */
	struct sync_pack *heard; /* what other boxes told us */
	struct part of_small, of_large;
};

static void on_push(void *);

void
agent_push_open(struct agent *a)
{
	a->unsent =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
send_one(void *ctx, const struct memb_member *m)
{
	struct many *many = ctx;

	wire_send(many->agent->wire, m->info.inbox, many->msg);
}

void
agent_push_all(struct agent *a, struct msg *msg)
{
	struct many many = {a, msg};

	memb_each(a->memb, send_one, &many);
}

static bool
is_in_hall(const struct agent *a, const struct memb_member *m)
{
	return memb_alive(m) && str_eq(m->info.hall, a->set.hall);
}

static void
send_in_hall(void *ctx, const struct memb_member *m)
{
	struct many *many = ctx;

	if (is_in_hall(many->agent, m))
		send_one(many, m);
}

void
agent_push_hall(struct agent *a, struct msg *msg)
{
	struct many many = {a, msg};

	memb_each(a->memb, send_in_hall, &many);
}

static bool
is_ours(const struct part *p, struct str box)
{
	return p->share > 0 &&
	    memb_weight(STR_LIT("push"), box) % p->share == p->own;
}

/* A watcher hears it from the platform. */
static void
push_one(void *ctx, const struct memb_member *m)
{
	struct push *p = ctx;
	struct agent *a = p->agent;

	if (!is_in_hall(a, m) || agent_watches(a, &m->info))
		return;
	if (is_ours(&p->of_small, m->info.box))
		sync_pack_send(&a->sync, p->small, m->info.inbox);
	if (is_ours(&p->of_large, m->info.box))
		sync_pack_send(&a->sync, p->large, m->info.inbox);
}

/*
 * What is small reaches each box from several watchers, so that one that is
 * cut off is not missed.  What is large comes from strong ones, and from few:
 * weak boxes would be busy with it for seconds, as senders and as receivers.
 * Digests heal what is missed.
 */
static void
divide(struct push *p)
{
	struct agent *a = p->agent;
	unsigned watchers = (unsigned)a->set.watchers;
	unsigned rank, strong;
	int nstrong;

	rank = (unsigned)memb_rank_seeing(a->memb, memb_self(a->memb),
	    STR_LIT("watch"), a->set.hall, &nstrong);
	strong = (unsigned)nstrong;
	p->of_small.share = MAX(watchers / SMALL_COPIES, 1);
	p->of_small.own = rank % p->of_small.share;
	if (rank >= strong)
		return;
	p->of_large.share = MAX(MIN(strong, watchers) / LARGE_COPIES, 1);
	p->of_large.own = rank % p->of_large.share;
}

static void
gather_unsent(struct push *p)
{
	struct agent *a = p->agent;
	const struct conf_entry *e;
	GHashTableIter it;
	gpointer key, told;

	g_hash_table_iter_init(&it, a->unsent);
	while (g_hash_table_iter_next(&it, &key, &told)) {
		e = conf_get(a->conf, str_c(key));
		if (e == NULL)
			continue;
		if (!GPOINTER_TO_INT(told))
			sync_pack_add(p->heard, e);
		else if (sync_pack_add(p->small, e) > PUSH_SMALL_MAX &&
		    e->bad_version == 0)
			sync_pack_move_last(p->small, p->large);
	}
}

/*
 * What has changed goes out in few messages, written down once: to our gate,
 * and what the platform told us to the boxes of our hall that do not watch.
 * Other halls have watchers of their own.
 */
static void
on_push(void *ctx)
{
	struct agent *a = ctx;
	struct push p = {.agent = a};

	p.small = sync_pack_new();
	p.large = sync_pack_new();
	p.heard = sync_pack_new();
	gather_unsent(&p);
	g_hash_table_remove_all(a->unsent);
	if (!a->shares_conf) {
		sync_pack_send(&a->sync, p.small, a->set.gate_inbox);
		sync_pack_send(&a->sync, p.large, a->set.gate_inbox);
		sync_pack_send(&a->sync, p.heard, a->set.gate_inbox);
	}
	divide(&p);
	memb_each(a->memb, push_one, &p);
	sync_pack_free(p.small);
	sync_pack_free(p.large);
	sync_pack_free(p.heard);
}

/* A change is to be told; those of one turn of the loop go out together. */
void
agent_push_change(struct agent *a, const struct conf_entry *e)
{
	if (!a->from_platform && a->shares_conf)
		return;
	g_hash_table_insert(
	    a->unsent, g_strdup(e->key.p), GINT_TO_POINTER(a->from_platform));
	if (!a->push_timer.set)
		tmr_set(&a->tmr, &a->push_timer, clk_ns(a->clk), on_push, a);
}
