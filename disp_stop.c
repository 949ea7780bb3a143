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
 * Tries that are far too slow, under the policies that hold and do not go by
 * pace; disp_reassign_slow.c has those of the policy that does.
 */

/* A try is stopped after so many times its usual length, and no sooner. */
#define STOP_MIN_NS (40 * NS_MS)

enum { STOP_FACTOR = 4 };

/*
 * A try that takes far longer than usual is stopped and begun elsewhere,
 * once for each request and within the retry budget, where that can be done
 * at once.  Bulk takes the time it takes.
 */
static bool
is_stuck(struct disp *d, const struct disp_req *r, int64_t now)
{
	const struct pick_backend *b = r->backend;
	struct pick_set set = disp_pick_set(d);
	struct pick_criteria want = {r->cls, b, r->service_time};
	int64_t limit = MAX(disp_usual_latency(d) * STOP_FACTOR, STOP_MIN_NS);
	int at;

	if (now - r->sent_at <= limit || r->stopped || r->in_trial ||
	    r->cls != CLASS_INTERACTIVE ||
	    !disp_can_retry(d, r, DISP_STOPPED_SLOW))
		return false;
	at = d->params.policy->choose(&set, &want, now, d->rnd);
	return at != PICK_NONE && set.v[at] != b;
}

static struct disp_req *
first_stuck(struct disp *d, int64_t now)
{
	struct disp_req *r;
	GList *at;

	for (at = d->inflight.head; at != NULL; at = at->next) {
		r = at->data;
		if (now - r->sent_at <= STOP_MIN_NS)
			return NULL;
		if (is_stuck(d, r, now))
			return r;
	}
	return NULL;
}

/* Each stop changes the list, so it is looked through anew. */
void
disp_stop_slow(struct disp *d, int64_t now)
{
	struct disp_req *r;

	while ((r = first_stuck(d, now)) != NULL) {
		r->stopped = true;
		d->ops.stop(d->ops.ctx, r);
	}
}
