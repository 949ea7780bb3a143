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
 * Detects backend servers that crashed with requests in flight.  A broken
 * connection or a timeout alone does not show a crash, so a load query is sent
 * on a new connection.  Requests that may have caused the crash are recorded
 * until the result of the query is known.
 */

/* Limit of recorded attempts for each backend server. */
enum { SUSPECTS_MAX = 16 };

/*
 * Returns whether the backend server may have crashed during an attempt: the
 * connection broke, or the server has answered nothing since the request was
 * sent, as when its machine loses power.
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
 * Handles the end of an attempt.  If the backend server may have crashed, sends
 * a load query to find out; a request that is to be retried waits for the
 * result, which takes about a millisecond.
 */
void
disp_doubt_done(struct disp *d, struct disp_req *r, struct pick_backend *b,
    enum disp_outcome outcome)
{
	struct disp_doubt suspect = {r->print, r->trial};

	if (d->params.poison == NULL || fprint_is_none(r->print) ||
	    d->ops.peek == NULL || !may_have_ended(r, b, outcome))
		return;
	if (b->doubts == NULL)
		b->doubts = g_array_new(FALSE, FALSE, sizeof(suspect));
	if (b->doubts->len < SUSPECTS_MAX)
		g_array_append_val(b->doubts, suspect);
	b->doubted_at = clk_ns(d->clk);
	r->doubted = b;
	disp_peek_after(d, b, 0, b->doubted_at);
}

/* Lets requests continue that wait to learn whether the server crashed. */
static void
release_waiting(struct disp *d, const struct pick_backend *b)
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

/* Handles the decision whether a backend server has crashed. */
void
disp_doubt_settle(struct disp *d, struct pick_backend *b, bool crashed)
{
	GArray *suspects = b->doubts;
	const struct disp_doubt *suspect;
	guint i;

	if (suspects == NULL)
		return;
	b->doubts = NULL;
	for (i = 0; crashed && i < suspects->len; i++) {
		suspect = &g_array_index(suspects, struct disp_doubt, i);
		poison_ended(d->params.poison, suspect->print, suspect->trial);
	}
	if (crashed)
		pick_ended(b, clk_ns(d->clk));
	if (crashed && d->ops.ended != NULL)
		d->ops.ended(d->ops.ctx, b, suspects->len);
	g_array_free(suspects, TRUE);
	release_waiting(d, b);
}

/*
 * Handles the result of a load query.  A query that was sent before the attempt
 * ended shows nothing, and is repeated.  A backend server that accepts the
 * connection and then closes it is overloaded, but has not crashed.
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

/*
 * Returns whether an isolated run of this request broke off at the backend
 * server, and it is not known yet whether the server crashed.
 */
bool
disp_doubt_waits(const struct pick_backend *b, struct fprint fingerprint)
{
	const struct disp_doubt *suspect;
	guint i;

	for (i = 0; b->doubts != NULL && i < b->doubts->len; i++) {
		suspect = &g_array_index(b->doubts, struct disp_doubt, i);
		if (suspect->trial && fprint_same(suspect->print, fingerprint))
			return true;
	}
	return false;
}
