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

/* Messages to many boxes; spread.c decides which box forwards to which. */

enum {
	/* Bytes; larger objects are sent by fewer hubs. */
	SMALL_OBJECT_MAX = 8192,
	/*
	 * More changes at once are not forwarded: the hub was disconnected,
	 * and its leaves have them from other hubs.
	 */
	FORWARD_MAX = 128
};

/* Encoded changes of one origin. */
struct changes {
	struct sync_pack *small, *large; /* rules */
	struct sync_pack *backends;
};

/* The changes of one turn of the loop. */
struct push {
	struct agent *agent;
	struct changes from_platform;
	struct changes from_boxes;
	unsigned nfrom_boxes;
};

static void on_push(void *);

void
agent_push_open(struct agent *a)
{
	a->unsent_changes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Context of send_one(). */
struct broadcast {
	struct agent *agent;
	struct msg *msg;
};

static void
send_one(void *ctx, const struct memb_member *m)
{
	struct broadcast *broadcast = ctx;

	wire_send(broadcast->agent->wire, m->info.inbox, broadcast->msg);
}

void
agent_push_to_all(struct agent *a, struct msg *msg)
{
	struct broadcast broadcast = {a, msg};

	memb_each(a->memb, send_one, &broadcast);
}

static void
send_changes(struct push *p, const struct changes *c, enum spread_origin origin,
    const struct memb_member *to)
{
	struct agent *a = p->agent;
	struct str inbox = to->info.inbox;
	bool send_small = spread_should_send(a->memb, to, origin, false);

	if (send_small)
		sync_pack_send(&a->sync, c->small, inbox);
	/* Weak boxes store no backend servers; see agent_scope.c. */
	if (send_small && (to->strong || !agent_scope_is_split(a)))
		sync_pack_send(&a->sync, c->backends, inbox);
	if (spread_should_send(a->memb, to, origin, true))
		sync_pack_send(&a->sync, c->large, inbox);
}

static void
push_one(void *ctx, const struct memb_member *m)
{
	struct push *p = ctx;

	send_changes(p, &p->from_platform, SPREAD_FROM_PLATFORM, m);
	if (p->nfrom_boxes <= FORWARD_MAX)
		send_changes(p, &p->from_boxes, SPREAD_FROM_BOX, m);
}

/*
 * Only a hub that has a complete configuration forwards changes.  A box that
 * has just started reads objects that the others have already; after a loss of
 * all boxes, each would otherwise send a whole configuration to its hall.
 */
static bool
forwards_changes(struct agent *a)
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
pack_change(const struct conf_entry *e, struct changes *c)
{
	if (e->kind == OBJ_BACKEND)
		sync_pack_add(c->backends, e);
	else if (sync_pack_add(c->small, e) > SMALL_OBJECT_MAX &&
	    e->rejected_version == 0)
		sync_pack_move_last(c->small, c->large);
}

static void
collect_unsent(struct push *p)
{
	struct agent *a = p->agent;
	const struct conf_entry *e;
	GHashTableIter it;
	gpointer key, from_platform;

	g_hash_table_iter_init(&it, a->unsent_changes);
	while (g_hash_table_iter_next(&it, &key, &from_platform)) {
		e = conf_get(a->conf, str_c(key));
		if (e == NULL)
			continue;
		pack_change(e,
		    GPOINTER_TO_INT(from_platform) ? &p->from_platform
						   : &p->from_boxes);
		p->nfrom_boxes += !GPOINTER_TO_INT(from_platform);
	}
}

static void
send_to_gate(struct agent *a, const struct changes *c)
{
	sync_pack_send(&a->sync, c->small, a->settings.gate_inbox);
	sync_pack_send(&a->sync, c->backends, a->settings.gate_inbox);
	sync_pack_send(&a->sync, c->large, a->settings.gate_inbox);
}

/* Encodes the unsent changes once and sends them in few messages. */
static void
on_push(void *ctx)
{
	struct agent *a = ctx;
	struct push p = {.agent = a};

	changes_open(&p.from_platform);
	changes_open(&p.from_boxes);
	collect_unsent(&p);
	g_hash_table_remove_all(a->unsent_changes);
	if (!a->shares_conf) {
		send_to_gate(a, &p.from_platform);
		send_to_gate(a, &p.from_boxes);
	}
	if (forwards_changes(a))
		memb_each(a->memb, push_one, &p);
	changes_free(&p.from_platform);
	changes_free(&p.from_boxes);
}

/* Queues a change; all changes of one turn of the loop are sent together. */
void
agent_push_queue_change(struct agent *a, const struct conf_entry *e)
{
	if (a->unattended && a->offer_from_platform)
		gossip_start_round_now(a->gossip);
	if (a->shares_conf && !forwards_changes(a))
		return;
	g_hash_table_insert(a->unsent_changes, g_strdup(e->key.p),
	    GINT_TO_POINTER(a->offer_from_platform));
	if (!a->push_timer.armed)
		tmr_set(&a->tmr, &a->push_timer, clk_ns(a->clk), on_push, a);
}
