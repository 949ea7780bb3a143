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
 * Has a backend server ended with the requests that were there?  A broken
 * connection tells of itself only, and a try that ends late tells nothing; a
 * question on a new connection tells.  What was there is remembered until then.
 */

/* Tries of one backend server that are remembered so. */
enum { DOUBTS_MAX = 16 };

/*
 * May the backend server have ended with a try?  Its connection broke, or no
 * sign of life came while the request was there, as where a machine loses its
 * power.
 */
static bool
may_have_ended(const struct disp_req *r, const struct pick_backend *b,
    enum disp_outcome outcome)
{
	if (outcome == DISP_CONN_BROKEN)
		return true;
	if (outcome == DISP_CANCELED)
		return pick_is_unresponsive(b);
	return (outcome == DISP_TIMED_OUT || outcome == DISP_STOPPED_SLOW) &&
	    b->last_answer_at <= r->sent_at;
}

/*
 * A try has ended.  Where the backend server may have ended with it, a question
 * tells; a request that may be tried again waits for its answer, which takes a
 * millisecond.
 */
void
disp_crash_attempt_done(struct disp *d, struct disp_req *r,
    struct pick_backend *b, enum disp_outcome outcome)
{
	struct disp_crash_suspect doubt = {r->fingerprint, r->in_trial};

	if (d->params.poison == NULL || fprint_is_none(r->fingerprint) ||
	    d->ops.query_load == NULL || !may_have_ended(r, b, outcome))
		return;
	if (b->crash_suspects == NULL)
		b->crash_suspects = g_array_new(FALSE, FALSE, sizeof(doubt));
	if (b->crash_suspects->len < DOUBTS_MAX)
		g_array_append_val(b->crash_suspects, doubt);
	b->crash_suspected_at = clk_ns(d->clk);
	r->maybe_crashed = b;
	disp_query_after_gap(d, b, 0, b->crash_suspected_at);
}

/* Those that wait to learn what became of a backend server wait no more. */
static void
release_held(struct disp *d, const struct pick_backend *b)
{
	const struct queue *q = &d->queues[QUEUE_TRIAL];
	struct disp_req *r;
	size_t i;

	for (i = 0; i < q->n; i++) {
		r = q->heap[i]->data;
		if (r->maybe_crashed == b)
			r->maybe_crashed = NULL;
	}
}

/* It is known now whether a backend server has ended. */
void
disp_crash_resolve(struct disp *d, struct pick_backend *b, bool ended)
{
	GArray *doubts = b->crash_suspects;
	const struct disp_crash_suspect *doubt;
	guint i;

	if (doubts == NULL)
		return;
	b->crash_suspects = NULL;
	for (i = 0; ended && i < doubts->len; i++) {
		doubt = &g_array_index(doubts, struct disp_crash_suspect, i);
		poison_record_crash(
		    d->params.poison, doubt->fingerprint, doubt->in_trial);
	}
	if (ended)
		pick_mark_crashed(b, clk_ns(d->clk));
	if (ended && d->ops.crashed != NULL)
		d->ops.crashed(d->ops.ctx, b, doubts->len);
	g_array_free(doubts, TRUE);
	release_held(d, b);
}

/*
 * A question was answered, or was not.  One that was asked before the try
 * ended tells nothing, and is asked again.  A backend server that takes a
 * connection and breaks it off is full, and has not ended.
 */
void
disp_crash_query_done(struct disp *d, struct pick_backend *b, bool answered)
{
	if (b->crash_suspects == NULL)
		return;
	if (b->queried_at >= b->crash_suspected_at)
		disp_crash_resolve(d, b, !answered && !b->query_connected);
	else
		disp_query_after_gap(d, b, 0, clk_ns(d->clk));
}

/* Did a trial of it break off at a backend server that may have ended? */
bool
disp_crash_trial_pending(const struct pick_backend *b, struct fprint print)
{
	const struct disp_crash_suspect *doubt;
	guint i;

	for (i = 0; b->crash_suspects != NULL && i < b->crash_suspects->len;
	     i++) {
		doubt = &g_array_index(
		    b->crash_suspects, struct disp_crash_suspect, i);
		if (doubt->in_trial &&
		    fprint_same_request(doubt->fingerprint, print))
			return true;
	}
	return false;
}
