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
#include "clk.h"
#include <glib.h>

#include "takeover.h"

/*
 * An owner that has sent requests for so long has observed more itself than the
 * state of its predecessor can tell, of which the requests in flight would not
 * be used for longer than this either.
 */
#define STATE_USEFUL_NS (1 * NS_S)

/*
 * A gate builds its shards from what it has received so far.  The list of
 * servers may arrive in parts: it is relayed by other boxes in messages of at
 * most 128 objects, or comes from the platform while the first parts are
 * already in force.  All parts come into force before the floor is raised,
 * which happens when the list is known to be complete.  A version of an object
 * does not show this: the objects of a list that is fetched in pages may be
 * newer than the revision at which the list is complete.
 */
bool
takeover_existed(uint64_t floor, bool deleted)
{
	return floor == 0 && !deleted;
}

/*
 * The first list of a gate may be seconds old, as the platform answers stale
 * reads from copies.  It is complete at its revision, and the servers that it
 * lacks come into force later, as do those that joined since.  Only the start
 * time of a server tells the two apart.  It is by the clock of the server: if
 * that differs, a server is presumed up while it is cold, or the reverse, for
 * as long as the difference after the start of a gate.
 */
bool
takeover_started_before(int64_t started_ms, int64_t configured_ms)
{
	return started_ms > 0 && started_ms <= configured_ms;
}

/*
 * The first list of a dispatcher that is created later shows the servers that
 * the former owner of the shard has used.  An instance that replaces another
 * one has just started, whenever its name was first listed.
 */
bool
takeover_presumes_up(const struct takeover_facts *facts)
{
	return facts->latency_aware && !facts->restarted &&
	    (facts->existed || facts->first_list);
}

enum takeover_refusal
takeover_check_state(const struct takeover_state_facts *facts)
{
	if (!facts->known_sender)
		return TAKEOVER_UNKNOWN_SENDER;
	if (facts->started_ms < facts->last_started_ms ||
	    (facts->started_ms == facts->last_started_ms &&
		facts->seq <= facts->last_seq))
		return TAKEOVER_REPEATED;
	if (facts->is_owner && facts->sending_ns > STATE_USEFUL_NS)
		return TAKEOVER_TOO_LATE;
	return TAKEOVER_USED;
}

/*
 * A server that gets no requests cannot show by successes that it is warm: the
 * first requests of an idle service would find one slot of each server.  Where
 * cold servers have a rate limit, their load reports show when they are warm.
 */
int64_t
takeover_warm_at(
    const struct cold_limit *limit, int64_t slow_start, int64_t joined_at)
{
	int64_t duration = MAX(limit->duration, slow_start);

	return limit->rate > 0 || duration <= 0 ? 0 : joined_at + duration;
}
