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
	if (outcome == DISP_CUT)
		return true;
	if (outcome == DISP_GONE)
		return pick_is_silent(b);
	return (outcome == DISP_LATE || outcome == DISP_SLOW) &&
	    b->heard_at <= r->sent;
}

/*
 * A try has ended.  Where the backend server may have ended with it, a question
 * tells; a request that may be tried again waits for its answer, which takes a
 * millisecond.
 */
void
disp_doubt_done(struct disp *d, struct disp_req *r, struct pick_backend *b,
    enum disp_outcome outcome)
{
	struct disp_doubt doubt = {r->print, r->trial};

	if (d->params.poison == NULL || fprint_is_none(r->print) ||
	    d->ops.peek == NULL || !may_have_ended(r, b, outcome))
		return;
	if (b->doubts == NULL)
		b->doubts = g_array_new(FALSE, FALSE, sizeof(doubt));
	if (b->doubts->len < DOUBTS_MAX)
		g_array_append_val(b->doubts, doubt);
	b->doubted_at = clk_ns(d->clk);
	r->doubted = b;
	disp_peek_after(d, b, 0, b->doubted_at);
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
		if (r->doubted == b)
			r->doubted = NULL;
	}
}

/* It is known now whether a backend server has ended. */
void
disp_doubt_settle(struct disp *d, struct pick_backend *b, bool ended)
{
	GArray *doubts = b->doubts;
	const struct disp_doubt *doubt;
	guint i;

	if (doubts == NULL)
		return;
	b->doubts = NULL;
	for (i = 0; ended && i < doubts->len; i++) {
		doubt = &g_array_index(doubts, struct disp_doubt, i);
		poison_ended(d->params.poison, doubt->print, doubt->trial);
	}
	if (ended)
		pick_ended(b, clk_ns(d->clk));
	if (ended && d->ops.ended != NULL)
		d->ops.ended(d->ops.ctx, b, doubts->len);
	g_array_free(doubts, TRUE);
	release_held(d, b);
}

/*
 * A question was answered, or was not.  One that was asked before the try
 * ended tells nothing, and is asked again.  A backend server that takes a
 * connection and breaks it off is full, and has not ended.
 */
void
disp_doubt_peeked(struct disp *d, struct pick_backend *b, bool answered)
{
	if (b->doubts == NULL)
		return;
	if (b->peeked_at >= b->doubted_at)
		disp_doubt_settle(d, b, !answered && !b->reached);
	else
		disp_peek_after(d, b, 0, clk_ns(d->clk));
}

/* Did a trial of it break off at a backend server that may have ended? */
bool
disp_doubt_waits(const struct pick_backend *b, struct fprint print)
{
	const struct disp_doubt *doubt;
	guint i;

	for (i = 0; b->doubts != NULL && i < b->doubts->len; i++) {
		doubt = &g_array_index(b->doubts, struct disp_doubt, i);
		if (doubt->trial && fprint_same(doubt->print, print))
			return true;
	}
	return false;
}
