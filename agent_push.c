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
	PUSH_COPIES = 4 /* watchers that push it to one box */
};

/* A message to many boxes. */
struct many {
	struct agent *agent;
	struct msg *msg;
};

/* A change to those that do not hear of it from the platform. */
struct push {
	struct agent *agent;
	const struct conf_entry *entry;
	unsigned share; /* one in so many gets it from us */
	unsigned own; /* which ones */
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

/* A watcher hears it from the platform. */
static void
push_one(void *ctx, const struct memb_member *m)
{
	struct push *p = ctx;
	struct agent *a = p->agent;

	if (is_in_hall(a, m) && !agent_watches(a, &m->info) &&
	    memb_weight(STR_LIT("push"), m->info.box) % p->share == p->own)
		sync_push(&a->sync, m->info.inbox, p->entry);
}

static size_t
size_of(const struct conf_entry *e)
{
	return e->spec == NULL ? 0 : json_dumpb(e->spec, NULL, 0, JSON_COMPACT);
}

/*
 * A change that the platform told us goes out at once to the boxes of our
 * hall that do not watch; other halls have watchers of their own.  What is
 * small reaches each box from several watchers, so that one that is cut off
 * is not missed; what is large comes from one, and digests heal the rest.
 */
void
agent_push_change(struct agent *a, const struct conf_entry *e)
{
	struct push p = {a, e, 1, 0};

	sync_push(&a->sync, a->set.gate_inbox, e);
	if (!a->from_platform)
		return;
	p.share = (unsigned)a->set.watchers;
	if (size_of(e) <= PUSH_SMALL_MAX)
		p.share = MAX(p.share / PUSH_COPIES, 1);
	p.own = (unsigned)memb_rank_seeing(a->memb, memb_self(a->memb),
		    STR_LIT("watch"), a->set.hall) %
	    p.share;
	memb_each(a->memb, push_one, &p);
}
