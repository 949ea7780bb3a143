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
 * Requests under which a backend server ended: poison.h.
 *
 * A suspect is sent to a backend server where nothing else runs, and nothing
 * else is sent there meanwhile: if that ends too, nobody else is to blame or
 * is harmed.  All halls bring a suspect to one of them, and that one runs one
 * trial of it at a time, so that a request of which many copies come at once
 * ends one backend server and not one for each hall or copy.
 *
 * Load pattern: a request that ends what runs it comes twelve times, with three
 * others each time, to six backend servers.  Each arrival began anew: all six
 * ended, and 28 of 36 others were not served; now three end, and all others
 * are served (real processes, three runs each).
 */

/*
 * Of the backend servers that may be used, one in so many may have a trial at
 * a time: after a loss of many there are many suspects, and the others' room
 * must not go to them.
 */
enum { TRIAL_SHARE = 3 };

static bool
is_suspect(const struct disp *d, const struct disp_req *r)
{
	return r->maybe_crashed != NULL ||
	    poison_status_of(d->params.poison, r->fingerprint) ==
	    POISON_SUSPECT;
}

/* Where a request has to wait for a trial. */
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
drop_proved(struct disp *d, struct disp_req *r)
{
	disp_fail(d, r, ERR_POISON,
	    poison_retry_at(d->params.poison, r->fingerprint) - clk_ns(d->clk));
}

static uint64_t
weight(struct str hall, struct fprint print)
{
	return XXH3_64bits_withSeed(hall.p, hall.n, print.lo);
}

/* The hall where a suspect has its trials; empty: ours. */
static struct str
trial_hall(const struct disp *d, const struct disp_req *r)
{
	int64_t now = clk_ns(d->clk);
	uint64_t best_w = weight(d->params.hall, r->fingerprint), w;
	struct str best = str_c(NULL);
	const struct disp_remote_hall *m;
	guint i;

	if (disp_usable_backends(d) == 0)
		best_w = 0;
	for (i = 0; i < d->remote_halls->len; i++) {
		m = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		if (!disp_forward_can_serve(m, r, now))
			continue;
		w = weight(m->hall, r->fingerprint);
		if (w < best_w)
			continue;
		best_w = w;
		best = m->hall;
	}
	return best;
}

/* Is a trial of it under way, or is its outcome not known yet? */
static bool
is_on_trial(const struct disp *d, const struct disp_req *r)
{
	const struct disp_req *other;
	const GList *at;
	guint i;

	for (at = d->inflight.head; at != NULL; at = at->next) {
		other = at->data;
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

/* Give back the backend server that was being emptied. */
static void
let_go(struct disp *d)
{
	if (d->trial_reserved != NULL)
		d->trial_reserved->reserved_for_trial = false;
	d->trial_reserved = NULL;
}

/* Nothing new goes to the one that will be empty first, as far as is known. */
static void
empty_one(struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	struct pick_backend *b, *best = NULL;
	guint i;

	if (d->trial_reserved != NULL && pick_is_usable(d->trial_reserved, now))
		return;
	let_go(d);
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

/* The best of those where nothing runs; NULL if there is none. */
static struct pick_backend *
choose_empty(struct disp *d, const struct disp_req *r)
{
	GPtrArray *empty = g_ptr_array_new();
	struct pick_set set = disp_pick_set(d);
	struct pick_criteria want = {r->cls, r->avoid, r->service_time};
	struct pick_backend *b = NULL;
	guint i;
	int at;

	if (d->trial_reserved != NULL && d->trial_reserved->inflight == 0)
		let_go(d);
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->inflight == 0)
			g_ptr_array_add(empty, b);
	}
	set.v = (struct pick_backend **)empty->pdata;
	set.n = empty->len;
	at = d->params.policy->choose(&set, &want, clk_ns(d->clk), d->rnd);
	b = at == PICK_NONE ? NULL : set.v[at];
	g_ptr_array_free(empty, TRUE);
	return b;
}

/* Start a trial if there is a place; otherwise one is made. */
static bool
start_trial(struct disp *d, struct disp_req *r)
{
	struct pick_backend *b;

	if (count_trials(d) >= MAX(disp_usable_backends(d) / TRIAL_SHARE, 1))
		return false;
	b = choose_empty(d, r);
	if (b == NULL) {
		empty_one(d);
		return false;
	}
	disp_dequeue(d, r);
	b->reserved_for_trial = true;
	r->in_trial = true;
	disp_send(d, r, b);
	return true;
}

/* What came of a look at a held request. */
enum served {
	SERVED, /* it was started, passed on, refused or held elsewhere */
	WAITS, /* for an answer, or for another trial of its kind */
	WANTS_PLACE
};

static enum served
serve_one(struct disp *d, struct disp_req *r)
{
	struct str hall;

	if (r->maybe_crashed != NULL)
		return WAITS;
	if (is_proved(d, r)) {
		disp_dequeue(d, r);
		drop_proved(d, r);
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
	if (is_on_trial(d, r))
		return WAITS;
	return start_trial(d, r) ? SERVED : WANTS_PLACE;
}

/* Whatever is done may change the queue, so it is looked through anew. */
void
disp_trial_serve_queue(struct disp *d)
{
	const struct queue *q = &d->queues[QUEUE_TRIAL];
	bool wanted = false;
	enum served served;
	size_t i = 0;

	while (i < q->n) {
		served = serve_one(d, q->heap[i]->data);
		wanted = served != SERVED && (wanted || served == WANTS_PLACE);
		i = served == SERVED ? 0 : i + 1;
	}
	if (!wanted)
		let_go(d);
}

/*
 * How long a suspect would wait: for those before it, as many at a time as
 * there may be trials.
 */
static int64_t
trial_wait(const struct disp *d)
{
	unsigned places = MAX(disp_usable_backends(d) / TRIAL_SHARE, 1);
	double one = (double)d->mean_service_time * d->start_latency_factor;

	return (int64_t)((double)(d->queues[QUEUE_TRIAL].n + 1) * one / places);
}

/*
 * A request arrives.  True if it was taken: poison is refused at once, and a
 * suspect waits for its trial, or is refused if that would come too late.
 */
bool
disp_trial_submit(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), end;

	r->maybe_crashed = NULL;
	if (d->params.poison == NULL)
		return false;
	if (is_proved(d, r)) {
		drop_proved(d, r);
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

/* Some requests that are held have become suspects, or poison. */
bool
disp_trial_intercept(struct disp *d, struct disp_req *r)
{
	if (d->params.poison == NULL)
		return false;
	if (is_proved(d, r)) {
		disp_dequeue(d, r);
		drop_proved(d, r);
		return true;
	}
	if (!is_suspect(d, r))
		return false;
	disp_dequeue(d, r);
	disp_enqueue(d, r);
	return true;
}

/* A try has ended: the backend server of a trial takes others again. */
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
