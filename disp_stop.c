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
#include "libdisp.h"

/*
 * Attempts that are far too slow, under policies that queue requests but are
 * not latency-aware; disp_reassign.c handles those of the latency-aware
 * policy.
 */

/* An attempt is not stopped before this time, */
#define STOP_MIN_NS (40 * NS_MS)

enum { STOP_FACTOR = 4 }; /* nor before so many times the usual latency */

/*
 * Returns the server to which an attempt that takes far longer than usual
 * should be moved, or NULL.  This is done once for each request, within the
 * retry budget, and only if another server has a free slot now.  Bulk requests
 * are never moved.
 */
static struct pick_backend *
find_faster(struct disp *d, const struct disp_req *r, int64_t now)
{
	const struct pick_backend *b = r->backend;
	struct pick_set set = disp_pick_set(d);
	struct pick_criteria criteria = {r->cls, b, r->service_time, false};
	int64_t limit = MAX(disp_usual_latency(d) * STOP_FACTOR, STOP_MIN_NS);
	int chosen;

	if (now - r->sent_at <= limit || r->stopped ||
	    r->cls != CLASS_INTERACTIVE || !disp_can_move(d, r))
		return NULL;
	chosen = d->params.policy->choose(&set, &criteria, now, d->rnd);
	return chosen == PICK_NONE || set.v[chosen] == b ? NULL : set.v[chosen];
}

/* Returns the first request to move, and sets the server to move it to. */
static struct disp_req *
first_too_slow(struct disp *d, int64_t now, struct pick_backend **to)
{
	struct disp_req *r;
	GList *node;

	for (node = d->inflight.head; node != NULL; node = node->next) {
		r = node->data;
		if (now - r->sent_at <= STOP_MIN_NS)
			return NULL;
		*to = find_faster(d, r, now);
		if (*to != NULL)
			return r;
	}
	return NULL;
}

/* Each move changes the list, so the search starts again after it. */
void
disp_stop_slow(struct disp *d, int64_t now)
{
	struct pick_backend *to;
	struct disp_req *r;

	while ((r = first_too_slow(d, now, &to)) != NULL)
		disp_move(d, r, to);
}
