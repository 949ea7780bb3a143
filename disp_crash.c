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
may_have_crashed(const struct disp_req *r, const struct pick_backend *b,
    enum disp_outcome outcome)
{
	if (outcome == DISP_CONN_BROKEN)
		return true;
	if (outcome == DISP_CANCELED)
		return pick_is_unresponsive(b);
	return (outcome == DISP_TIMED_OUT || outcome == DISP_STOPPED_SLOW) &&
	    b->last_response_at <= r->sent_at;
}

/*
 * Handles the end of an attempt.  If the backend server may have crashed, sends
 * a load query to find out; a request that is to be retried waits for the
 * result, which takes about a millisecond.
 */
void
disp_crash_attempt_done(struct disp *d, struct disp_req *r,
    struct pick_backend *b, enum disp_outcome outcome)
{
	struct disp_crash_suspect suspect = {r->fingerprint, r->in_trial};

	if (d->params.poison == NULL || fprint_is_none(r->fingerprint) ||
	    d->ops.query_load == NULL || !may_have_crashed(r, b, outcome))
		return;
	if (b->crash_suspects == NULL)
		b->crash_suspects = g_array_new(FALSE, FALSE, sizeof(suspect));
	if (b->crash_suspects->len < SUSPECTS_MAX)
		g_array_append_val(b->crash_suspects, suspect);
	b->crash_suspected_at = clk_ns(d->clk);
	r->maybe_crashed = b;
	disp_query_after_gap(d, b, 0, b->crash_suspected_at);
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
		if (r->maybe_crashed == b)
			r->maybe_crashed = NULL;
	}
}

/* Called when it is known whether a backend server has crashed. */
void
disp_crash_resolve(struct disp *d, struct pick_backend *b, bool crashed)
{
	GArray *suspects = b->crash_suspects;
	const struct disp_crash_suspect *suspect;
	guint i;

	if (suspects == NULL)
		return;
	b->crash_suspects = NULL;
	for (i = 0; crashed && i < suspects->len; i++) {
		suspect =
		    &g_array_index(suspects, struct disp_crash_suspect, i);
		poison_record_crash(
		    d->params.poison, suspect->fingerprint, suspect->in_trial);
	}
	if (crashed)
		pick_mark_crashed(b, clk_ns(d->clk));
	if (crashed && d->ops.crashed != NULL)
		d->ops.crashed(d->ops.ctx, b, suspects->len);
	g_array_free(suspects, TRUE);
	release_waiting(d, b);
}

/*
 * Handles the result of a load query.  A query that was sent before the attempt
 * ended shows nothing, and is repeated.  A backend server that accepts the
 * connection and then closes it is overloaded, but has not crashed.
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

/*
 * Returns whether an isolated run of this request broke off at the backend
 * server, and it is not known yet whether the server crashed.
 */
bool
disp_crash_trial_pending(
    const struct pick_backend *b, struct fprint fingerprint)
{
	const struct disp_crash_suspect *suspect;
	guint i;

	for (i = 0; b->crash_suspects != NULL && i < b->crash_suspects->len;
	     i++) {
		suspect = &g_array_index(
		    b->crash_suspects, struct disp_crash_suspect, i);
		if (suspect->in_trial &&
		    fprint_same_request(suspect->fingerprint, fingerprint))
			return true;
	}
	return false;
}
