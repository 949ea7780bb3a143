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
#include "spread.h"

/* Messages to many boxes; spread.c has who hands a change on to whom. */

enum {
	PUSH_SMALL_MAX = 8192, /* bytes of an object that several push */
	/*
	 * A hub that has heard of more changes at once was cut off, and its
	 * leaves know them from other hubs.
	 */
	FORWARD_MAX = 128
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
};

static void on_push(void *);

void
agent_push_open(struct agent *a)
{
	a->unsent_changes =
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
agent_push_to_all(struct agent *a, struct msg *msg)
{
	struct many many = {a, msg};

	memb_each(a->memb, send_one, &many);
}

static void
send_changes(struct push *p, const struct changes *c, enum spread_origin origin,
    const struct memb_member *to)
{
	struct agent *a = p->agent;
	struct str inbox = to->info.inbox;
	bool small = spread_should_send(a->memb, to, origin, false);

	if (small)
		sync_pack_send(&a->sync, c->small, inbox);
	/* A weak box holds no backend servers: agent_scope.c. */
	if (small && (to->strong || !agent_scope_is_split(a)))
		sync_pack_send(&a->sync, c->backends, inbox);
	if (spread_should_send(a->memb, to, origin, true))
		sync_pack_send(&a->sync, c->large, inbox);
}

static void
push_one(void *ctx, const struct memb_member *m)
{
	struct push *p = ctx;

	send_changes(p, &p->told, SPREAD_FROM_PLATFORM, m);
	if (p->nheard <= FORWARD_MAX)
		send_changes(p, &p->heard, SPREAD_FROM_BOX, m);
}

/*
 * A box that has just started reads what all know, and leaves only read.  Each
 * box would else send a whole configuration to its hall after a loss of all.
 */
static bool
tells_others(struct agent *a)
{
	return gossip_is_settled(a->gossip) && agent_conf_is_complete(a) &&
	    memb_is_hub(a->memb, a->settings.box);
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
	    e->rejected_version == 0)
		sync_pack_move_last(c->small, c->large);
}

static void
gather_unsent(struct push *p)
{
	struct agent *a = p->agent;
	const struct conf_entry *e;
	GHashTableIter it;
	gpointer key, told;

	g_hash_table_iter_init(&it, a->unsent_changes);
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
	sync_pack_send(&a->sync, c->small, a->settings.gate_inbox);
	sync_pack_send(&a->sync, c->backends, a->settings.gate_inbox);
	sync_pack_send(&a->sync, c->large, a->settings.gate_inbox);
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
	g_hash_table_remove_all(a->unsent_changes);
	if (!a->shares_conf) {
		send_to_gate(a, &p.told);
		send_to_gate(a, &p.heard);
	}
	if (tells_others(a))
		memb_each(a->memb, push_one, &p);
	changes_free(&p.told);
	changes_free(&p.heard);
}

/* A change is to be told; those of one turn of the loop go out together. */
void
agent_push_queue_change(struct agent *a, const struct conf_entry *e)
{
	if (a->unattended && a->offer_from_platform)
		gossip_start_round_now(a->gossip);
	if (a->shares_conf && !tells_others(a))
		return;
	g_hash_table_insert(a->unsent_changes, g_strdup(e->key.p),
	    GINT_TO_POINTER(a->offer_from_platform));
	if (!a->push_timer.armed)
		tmr_set(&a->tmr, &a->push_timer, clk_ns(a->clk), on_push, a);
}
