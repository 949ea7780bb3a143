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
 * What a box holds of the configuration.  A weak box is home of nothing: it
 * passes requests to homes, for which the rules are enough.  So it neither
 * lists backend servers nor is told of them, which is most of what a start of
 * all boxes takes it: on boxes of a tenth of a processor, with 719 backend
 * servers, a list of them takes 0.3 s and 3 MB.
 *
 * Whether a box is weak it learns from the platform's list of boxes.  Where
 * the platform lists backend servers together with all else, all boxes hold
 * all.
 */

/* The feed that lists backend servers only; NULL if there is none. */
static struct agent_feed *
backends_feed(struct agent *a)
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
	return backends_feed(a) != NULL;
}

/* Is a feed of use to a box of our scope, as far as that is known? */
bool
agent_scope_includes(struct agent *a, const struct agent_feed *f)
{
	return f != backends_feed(a) || a->scope == SCOPE_ALL;
}

/*
 * Until it is known, a box takes no backend servers: the few that it would hear
 * of meanwhile would stay, and lead its requests to the halls that they are in.
 */
void
agent_scope_open(struct agent *a)
{
	a->sync.rules_only = agent_scope_is_split(a);
}

static void
enter(struct agent *a, enum agent_scope scope)
{
	if (a->scope == scope)
		return;
	a->scope = scope;
	a->sync.rules_only = scope != SCOPE_ALL;
	slog(SLOG_AGENT, "knows what to hold", "backends=%d",
	    scope == SCOPE_ALL);
	if (scope == SCOPE_ALL && backends_feed(a) != NULL)
		agent_watch_now(backends_feed(a));
	agent_gate_send_ready(a);
}

/* Boxes have come or gone, or time has passed: what do we hold now? */
void
agent_scope_update(struct agent *a)
{
	if (a->scope == SCOPE_ALL)
		return;
	if (!agent_scope_is_split(a))
		enter(a, SCOPE_ALL);
	else if (gossip_knows_relative_power(a->gossip))
		enter(a, memb_is_strong(a->memb) ? SCOPE_ALL : SCOPE_RULES);
}

/* Have we seen complete lists of all that we hold? */
bool
agent_conf_is_complete(const struct agent *a)
{
	if (a->scope == SCOPE_RULES)
		return conf_floor_of(a->conf, CONF_RULES) > 0;
	return conf_floor(a->conf) > 0;
}
