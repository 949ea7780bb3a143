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
#include "libreq.h"
#include "slog.h"

/*
 * Deputies of shards that this gate owns while none of their backend servers
 * responds to it (deputy.h).  A deputy needs no message: a gate acts as the
 * owner of every request that is forwarded to it as such.
 */

struct candidate {
	const struct deputy *deputy;
	int64_t now;
};

static bool
may_try(void *ctx, const struct gate_peer *p)
{
	const struct candidate *c = ctx;

	return deputy_may_try(c->deputy, p->info.box, c->now);
}

static void
log_deputy(const struct gate_shard *s, const char *text, struct str box)
{
	slog(SLOG_PICK, text, "service=%.*s hall=%.*s box=%.*s",
	    STR_ARG(s->service), STR_ARG(s->hall), STR_ARG(box));
}

static void
record(struct gate_shard *s, struct str box, enum deputy_result result)
{
	int64_t now = clk_ns(s->gate->clk);

	if (!deputy_responded(&s->deputy, box, result, now))
		return;
	log_deputy(s,
	    result == DEPUTY_REACHES ? "shard has a deputy"
				     : "shard has no deputy",
	    box);
}

/* Returns the deputy if it can be used now. */
static struct gate_peer *
current_deputy(struct gate *g, struct gate_shard *s, int64_t now)
{
	struct gate_peer *p;

	if (s->deputy.state != DEPUTY_SERVING)
		return NULL;
	p = gate_owner_find_peer(g, s->deputy.box);
	if (p != NULL && gate_owner_peer_is_usable(p, now))
		return p;
	record(s, s->deputy.box, DEPUTY_FAILED);
	return NULL;
}

struct gate_peer *
gate_deputy_choose(struct gate *g, struct gate_shard *s)
{
	int64_t now = clk_ns(g->clk);
	struct candidate c = {&s->deputy, now};
	struct gate_peer *p = current_deputy(g, s, now);

	if (p != NULL || !deputy_is_wanted(&s->deputy))
		return p;
	p = gate_owner_other(g, s->service, s->hall, may_try, &c);
	if (p != NULL)
		deputy_start_trial(&s->deputy, p->info.box, now);
	return p;
}

/*
 * Returns whether an error of a gate says nothing of its connections: it lacks
 * time or memory for the request, or one of many requests there took too long.
 */
static bool
is_undecided(const struct deputy *d, enum err_kind kind)
{
	return kind == ERR_BUSY || kind == ERR_NO_ROOM ||
	    (kind == ERR_DEADLINE && d->state == DEPUTY_SERVING);
}

void
gate_deputy_responded(const struct gate_req *r, enum err_kind kind)
{
	enum deputy_result result = DEPUTY_FAILED;

	if (!r->at_deputy)
		return;
	if (kind == ERR_NONE)
		result = DEPUTY_REACHES;
	else if (is_undecided(&r->shard->deputy, kind))
		result = DEPUTY_UNDECIDED;
	record(r->shard, r->owner->info.box, result);
}

void
gate_deputy_tick(struct gate *g, int64_t now)
{
	struct gate_shard *s;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (deputy_update(&s->deputy, disp_none_responds(s->disp), now))
			log_deputy(s, "shard is dispatched here again",
			    g->settings.box);
	}
}
