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

/*
 * Messages to many boxes.  A change goes from those that watch the platform to
 * the hubs of all halls, and from hubs to the leaves of their hall, so that
 * each box sends to its own hall and to hubs only.
 */

enum {
	PUSH_SMALL_MAX = 8192, /* bytes of an object that several push */
	SMALL_COPIES = 3, /* senders of it to one box, or a few more */
	LARGE_COPIES = 2, /* and of a large one: it takes a weak link seconds */
	/*
	 * A hub that has heard of more changes at once was cut off, and its
	 * leaves know them from other hubs.
	 */
	FORWARD_MAX = 128
};

/* Which of the boxes get something from us: one in `share`, the `own` one. */
struct part {
	unsigned share; /* 0: none */
	unsigned own;
};

/* What one kind of receivers gets of us. */
struct parts {
	struct part small, large;
};

/* Changes of one origin, written down once. */
struct changes {
	struct sync_pack *small, *large; /* rules */
	struct sync_pack *backends;
};

/* The changes that are on their way out. */
struct push {
	struct agent *agent;
	struct changes told; /* by the platform */
	struct changes heard; /* of other boxes */
	unsigned nheard;
	struct parts to_hubs, to_leaves;
};

static void on_push(void *);

void
agent_push_open(struct agent *a)
{
	a->unsent =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* A message to many boxes. */
struct many {
	struct agent *agent;
	struct msg *msg;
};

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
is_ours(const struct part *p, struct str box)
{
	return p->share > 0 &&
	    memb_weight(STR_LIT("push"), box) % p->share == p->own;
}

static void
send_changes(struct push *p, const struct parts *parts, const struct changes *c,
    const struct memb_member *to)
{
	struct agent *a = p->agent;
	const struct memb_info *info = &to->info;

	if (is_ours(&parts->small, info->box))
		sync_pack_send(&a->sync, c->small, info->inbox);
	/* A weak box holds no backend servers: agent_scope.c. */
	if (is_ours(&parts->small, info->box) &&
	    (to->strong || !agent_scope_divides(a)))
		sync_pack_send(&a->sync, c->backends, info->inbox);
	if (is_ours(&parts->large, info->box))
		sync_pack_send(&a->sync, c->large, info->inbox);
}

/* A hub gets what the platform told us, and a leaf of our hall all. */
static void
push_one(void *ctx, const struct memb_member *m)
{
	struct push *p = ctx;
	bool near = str_eq(m->info.hall, p->agent->set.hall);

	if (!memb_alive(m))
		return;
	if (m->rank >= 0) {
		send_changes(p, &p->to_hubs, &p->told, m);
	} else if (near) {
		send_changes(p, &p->to_leaves, &p->told, m);
		if (p->nheard <= FORWARD_MAX)
			send_changes(p, &p->to_leaves, &p->heard, m);
	}
}

static void
set_part(struct part *p, unsigned senders, unsigned copies, unsigned own)
{
	p->share = MAX(senders / copies, 1);
	p->own = own % p->share;
}

static void
set_parts(struct parts *p, unsigned senders, unsigned own)
{
	set_part(&p->small, senders, SMALL_COPIES, own);
	set_part(&p->large, senders, LARGE_COPIES, own);
}

/*
 * A box that has just started reads what all know, and leaves only read.  Each
 * box would else send a whole configuration to its hall after a loss of all.
 */
static bool
tells_others(struct agent *a)
{
	return gossip_settled(a->gossip) && agent_is_complete(a) &&
	    memb_is_hub(a->memb, a->set.box);
}

/*
 * Each change reaches a box from several others, so that one that is cut off
 * is not missed; digests heal what is missed all the same.
 */
static void
divide(struct push *p)
{
	struct agent *a = p->agent;
	const struct memb_info *hubs[MEMB_HUBS];
	size_t n = memb_hubs(a->memb, a->set.hall, hubs), i;

	if (!tells_others(a))
		return;
	set_parts(&p->to_hubs, (unsigned)a->set.watchers,
	    (unsigned)memb_watch_rank(a->memb));
	for (i = 0; i < n; i++)
		if (hubs[i] == memb_self(a->memb))
			set_parts(&p->to_leaves, (unsigned)n, (unsigned)i);
}

static void
changes_open(struct changes *c)
{
	c->small = sync_pack_new();
	c->large = sync_pack_new();
	c->backends = sync_pack_new();
}

static void
changes_free(struct changes *c)
{
	sync_pack_free(c->small);
	sync_pack_free(c->large);
	sync_pack_free(c->backends);
}

static void
add_change(const struct conf_entry *e, struct changes *c)
{
	if (e->kind == OBJ_BACKEND)
		sync_pack_add(c->backends, e);
	else if (sync_pack_add(c->small, e) > PUSH_SMALL_MAX &&
	    e->bad_version == 0)
		sync_pack_move_last(c->small, c->large);
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
		add_change(e, GPOINTER_TO_INT(told) ? &p->told : &p->heard);
		p->nheard += !GPOINTER_TO_INT(told);
	}
}

static void
send_to_gate(struct agent *a, const struct changes *c)
{
	sync_pack_send(&a->sync, c->small, a->set.gate_inbox);
	sync_pack_send(&a->sync, c->backends, a->set.gate_inbox);
	sync_pack_send(&a->sync, c->large, a->set.gate_inbox);
}

/* What has changed goes out in few messages, written down once. */
static void
on_push(void *ctx)
{
	struct agent *a = ctx;
	struct push p = {.agent = a};

	changes_open(&p.told);
	changes_open(&p.heard);
	gather_unsent(&p);
	g_hash_table_remove_all(a->unsent);
	if (!a->shares_conf) {
		send_to_gate(a, &p.told);
		send_to_gate(a, &p.heard);
	}
	divide(&p);
	memb_each(a->memb, push_one, &p);
	changes_free(&p.told);
	changes_free(&p.heard);
}

/* A change is to be told; those of one turn of the loop go out together. */
void
agent_push_change(struct agent *a, const struct conf_entry *e)
{
	if (a->shares_conf && !tells_others(a))
		return;
	g_hash_table_insert(
	    a->unsent, g_strdup(e->key.p), GINT_TO_POINTER(a->from_platform));
	if (!a->push_timer.set)
		tmr_set(&a->tmr, &a->push_timer, clk_ns(a->clk), on_push, a);
}
