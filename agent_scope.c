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
#include "slog.h"

/*
 * Which parts of the configuration a box stores.  A weak box, one with less
 * than half the power of the strongest in its hall, owns no services: it
 * forwards requests to their owners, and needs only the rules for that.  So it
 * neither lists nor receives backend servers.  On a box with a tenth of a
 * processor a list of 719 backend servers takes 0.3 s and 3 MB, which would be
 * most of the work at a start of all boxes.
 *
 * A box learns from the platform's list of boxes whether it is weak.  If the
 * platform does not list backend servers separately, all boxes store all parts.
 */

/* Returns the feed that lists backend servers only; NULL if there is none. */
static struct agent_feed *
find_backends_feed(struct agent *a)
{
	unsigned i;

	for (i = 0; i < a->nfeeds; i++)
		if (a->feeds[i].kind_mask == 1u << OBJ_BACKEND)
			return &a->feeds[i];
	return NULL;
}

bool
agent_scope_is_split(struct agent *a)
{
	return find_backends_feed(a) != NULL;
}

/* Returns whether this box needs a feed, by its scope as far as known. */
bool
agent_scope_includes(struct agent *a, const struct agent_feed *f)
{
	return f != find_backends_feed(a) || a->scope == SCOPE_ALL;
}

/*
 * A box accepts no backend servers until its scope is known.  The few that it
 * would receive until then would stay, and its requests would all go to the
 * halls of these few.
 */
void
agent_scope_open(struct agent *a)
{
	a->sync.rules_only = agent_scope_is_split(a);
}

static void
set_scope(struct agent *a, enum agent_scope scope)
{
	if (a->scope == scope)
		return;
	a->scope = scope;
	a->sync.rules_only = scope != SCOPE_ALL;
	slog(SLOG_AGENT, "configuration scope is set", "backends=%d",
	    scope == SCOPE_ALL);
	if (scope == SCOPE_ALL && find_backends_feed(a) != NULL)
		agent_watch_now(find_backends_feed(a));
	agent_gate_send_ready(a);
}

/* Updates the scope after a change of the members, and at intervals. */
void
agent_scope_update(struct agent *a)
{
	if (a->scope == SCOPE_ALL)
		return;
	if (!agent_scope_is_split(a))
		set_scope(a, SCOPE_ALL);
	else if (gossip_knows_relative_power(a->gossip))
		set_scope(a, memb_is_strong(a->memb) ? SCOPE_ALL : SCOPE_RULES);
}

/* Returns whether complete lists of all parts in the scope have been seen. */
bool
agent_conf_is_complete(const struct agent *a)
{
	if (a->scope == SCOPE_RULES)
		return conf_floor_of(a->conf, CONF_RULES) > 0;
	return conf_floor(a->conf) > 0;
}
