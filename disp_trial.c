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
#include <xxhash.h>

#include "libdisp.h"

/*
 * Isolated runs, called trials, of requests that may crash backend servers:
 * poison.h.
 *
 * A request is a suspect if it was in flight when a backend server crashed.  It
 * is sent to an idle backend server, which gets no other request meanwhile: if
 * that server crashes too, the suspect is the cause, and no other request is
 * lost.  All halls forward a suspect to the same hall, which runs one trial of
 * it at a time.  So a request of which many copies arrive at once crashes one
 * backend server, and not one for each hall or copy.  If each arrival led to
 * new trials, the copies of one request would crash all servers of a service.
 */

/*
 * Only one in so many usable backend servers may run a trial at a time.  After
 * a crash of many servers there are many suspects, and these must not use up
 * the capacity for other requests.
 */
enum { TRIAL_SHARE = 3 };

static bool
is_suspect(const struct disp *d, const struct disp_req *r)
{
	return r->maybe_crashed != NULL ||
	    poison_status_of(d->params.poison, r->fingerprint) ==
	    POISON_SUSPECT;
}

/* Returns whether a request has to wait for a trial. */
bool
disp_trial_required(const struct disp *d, const struct disp_req *r)
{
	return d->params.poison != NULL && is_suspect(d, r);
}

static bool
is_proved(const struct disp *d, const struct disp_req *r)
{
	return poison_status_of(d->params.poison, r->fingerprint) ==
	    POISON_PROVED;
}

static void
refuse_proved(struct disp *d, struct disp_req *r)
{
	disp_fail(d, r, ERR_POISON,
	    poison_retry_at(d->params.poison, r->fingerprint) - clk_ns(d->clk));
}

/* The weight of a hall in rendezvous hashing of a fingerprint. */
static uint64_t
hall_weight(struct str hall, struct fprint fingerprint)
{
	return XXH3_64bits_withSeed(hall.p, hall.n, fingerprint.lo);
}

/* Returns the hall that runs the trials of a suspect; empty: this one. */
static struct str
trial_hall(const struct disp *d, const struct disp_req *r)
{
	int64_t now = clk_ns(d->clk);
	uint64_t best_weight = hall_weight(d->params.hall, r->fingerprint),
		 weight;
	struct str best = str_c(NULL);
	const struct disp_remote_hall *h;
	guint i;

	if (disp_usable_backends(d) == 0)
		best_weight = 0;
	for (i = 0; i < d->remote_halls->len; i++) {
		h = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		if (!disp_forward_can_serve(h, r, now))
			continue;
		weight = hall_weight(h->hall, r->fingerprint);
		if (weight < best_weight)
			continue;
		best_weight = weight;
		best = h->hall;
	}
	return best;
}

/* Returns whether a trial is running or its result is still unknown. */
static bool
is_trial_running(const struct disp *d, const struct disp_req *r)
{
	const struct disp_req *other;
	const GList *node;
	guint i;

	for (node = d->inflight.head; node != NULL; node = node->next) {
		other = node->data;
		if (other->in_trial &&
		    fprint_same_request(other->fingerprint, r->fingerprint))
			return true;
	}
	for (i = 0; i < d->backends->len; i++)
		if (disp_crash_trial_pending(
			g_ptr_array_index(d->backends, i), r->fingerprint))
			return true;
	return false;
}

static unsigned
count_trials(const struct disp *d)
{
	const struct pick_backend *b;
	unsigned n = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		n += b->reserved_for_trial && b->inflight > 0 &&
		    b != d->trial_reserved;
	}
	return n;
}

/* Releases the backend server that was reserved for the next trial. */
static void
release_reserved(struct disp *d)
{
	if (d->trial_reserved != NULL)
		d->trial_reserved->reserved_for_trial = false;
	d->trial_reserved = NULL;
}

/*
 * Reserves the backend server with the fewest requests in flight for the next
 * trial.  It gets no new requests until it is idle.
 */
static void
reserve_backend(struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	struct pick_backend *b, *best = NULL;
	guint i;

	if (d->trial_reserved != NULL && pick_is_usable(d->trial_reserved, now))
		return;
	release_reserved(d);
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->reserved_for_trial || !pick_is_usable(b, now) ||
		    pick_is_unresponsive(b))
			continue;
		if (best == NULL || b->inflight < best->inflight)
			best = b;
	}
	if (best == NULL)
		return;
	best->reserved_for_trial = true;
	d->trial_reserved = best;
}

/* Returns the best idle backend server, or NULL if there is none. */
static struct pick_backend *
choose_idle(struct disp *d, const struct disp_req *r)
{
	GPtrArray *idle = g_ptr_array_new();
	struct pick_set set = disp_pick_set(d);
	struct pick_criteria criteria = {
	    r->cls, r->avoid, r->service_time, r->over_share};
	struct pick_backend *b = NULL;
	guint i;
	int chosen;

	if (d->trial_reserved != NULL && d->trial_reserved->inflight == 0 &&
	    d->trial_reserved->inherited == 0)
		release_reserved(d);
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->inflight == 0 && b->inherited == 0)
			g_ptr_array_add(idle, b);
	}
	set.v = (struct pick_backend **)idle->pdata;
	set.n = idle->len;
	chosen =
	    d->params.policy->choose(&set, &criteria, clk_ns(d->clk), d->rnd);
	b = chosen == PICK_NONE ? NULL : set.v[chosen];
	g_ptr_array_free(idle, TRUE);
	return b;
}

/* Starts a trial, or reserves a backend server for one if none is idle. */
static bool
start_trial(struct disp *d, struct disp_req *r)
{
	struct pick_backend *b;

	if (count_trials(d) >= MAX(disp_usable_backends(d) / TRIAL_SHARE, 1))
		return false;
	b = choose_idle(d, r);
	if (b == NULL) {
		reserve_backend(d);
		return false;
	}
	disp_dequeue(d, r);
	b->reserved_for_trial = true;
	r->in_trial = true;
	disp_send(d, r, b);
	return true;
}

/* Result of an attempt to serve a suspect from the queue. */
enum serve_result {
	SERVED, /* it was sent, forwarded, refused or put in another queue */
	WAITS, /* for a load query, or for another trial of the same request */
	NEEDS_BACKEND
};

static enum serve_result
serve_suspect(struct disp *d, struct disp_req *r)
{
	struct str hall;

	if (r->maybe_crashed != NULL)
		return WAITS;
	if (is_proved(d, r)) {
		disp_dequeue(d, r);
		refuse_proved(d, r);
		return SERVED;
	}
	if (!is_suspect(d, r)) {
		disp_dequeue(d, r);
		disp_enqueue(d, r);
		return SERVED;
	}
	hall = r->can_forward ? trial_hall(d, r) : str_c(NULL);
	if (hall.n > 0) {
		disp_dequeue(d, r);
		d->ops.forward(d->ops.ctx, r, hall);
		return SERVED;
	}
	if (is_trial_running(d, r))
		return WAITS;
	return start_trial(d, r) ? SERVED : NEEDS_BACKEND;
}

/* Serving a request may change the queue, so the loop starts again after it. */
void
disp_trial_serve_queue(struct disp *d)
{
	const struct queue *q = &d->queues[QUEUE_TRIAL];
	bool needed = false;
	enum serve_result result;
	size_t i = 0;

	while (i < q->n) {
		result = serve_suspect(d, q->heap[i]->data);
		needed =
		    result != SERVED && (needed || result == NEEDS_BACKEND);
		i = result == SERVED ? 0 : i + 1;
	}
	if (!needed)
		release_reserved(d);
}

/*
 * Estimates the time in ns until the trial of a new suspect ends: the suspects
 * before it run in parallel, up to the limit of trials.
 */
static int64_t
trial_wait(const struct disp *d)
{
	unsigned parallel = MAX(disp_usable_backends(d) / TRIAL_SHARE, 1);
	double duration =
	    (double)d->mean_service_time * d->start_latency_factor;

	return (int64_t)((double)(d->queues[QUEUE_TRIAL].n + 1) * duration /
	    parallel);
}

/*
 * Checks a new request.  Returns true if it was handled here: one that is
 * proved to crash servers is refused at once, and a suspect is queued for a
 * trial, or refused if the trial would end after the deadline.
 */
bool
disp_trial_submit(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), end;

	r->maybe_crashed = NULL;
	if (d->params.poison == NULL)
		return false;
	if (is_proved(d, r)) {
		refuse_proved(d, r);
		return true;
	}
	if (!is_suspect(d, r))
		return false;
	r->service_time = disp_work_estimate(d, r->kind);
	r->wait_decided = true;
	end = now + trial_wait(d) + r->service_time;
	if (end > r->deadline) {
		disp_fail(d, r, ERR_BUSY, RETRY_AFTER_MAX_NS);
		return true;
	}
	disp_enqueue(d, r);
	disp_serve_queues(d);
	return true;
}

/*
 * Checks a queued request again before it is sent, as it may have become a
 * suspect or proved to be poison since.  Returns true if it was handled here.
 */
bool
disp_trial_intercept(struct disp *d, struct disp_req *r)
{
	if (d->params.poison == NULL)
		return false;
	if (is_proved(d, r)) {
		disp_dequeue(d, r);
		refuse_proved(d, r);
		return true;
	}
	if (!is_suspect(d, r))
		return false;
	disp_dequeue(d, r);
	disp_enqueue(d, r);
	return true;
}

/* Handles the end of an attempt; releases the backend server of a trial. */
void
disp_trial_attempt_done(struct disp *d, struct disp_req *r,
    struct pick_backend *b, enum disp_outcome outcome)
{
	if (d->params.poison != NULL && outcome == DISP_OK)
		poison_record_success(d->params.poison, r->fingerprint);
	disp_crash_attempt_done(d, r, b, outcome);
	if (r->in_trial)
		b->reserved_for_trial = false;
	r->in_trial = false;
}
