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
	return r->doubted != NULL ||
	    poison_look(d->params.poison, r->print) == POISON_SUSPECT;
}

/* Where a request has to wait for a trial. */
bool
disp_trial_holds(const struct disp *d, const struct disp_req *r)
{
	return d->params.poison != NULL && is_suspect(d, r);
}

static bool
is_proved(const struct disp *d, const struct disp_req *r)
{
	return poison_look(d->params.poison, r->print) == POISON_PROVED;
}

static void
drop_proved(struct disp *d, struct disp_req *r)
{
	disp_drop(d, r, ERR_POISON,
	    poison_until(d->params.poison, r->print) - clk_ns(d->clk));
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
	uint64_t best_w = weight(d->params.hall, r->print), w;
	struct str best = str_c(NULL);
	const struct disp_remote_hall *m;
	guint i;

	if (disp_usable(d) == 0)
		best_w = 0;
	for (i = 0; i < d->remotes->len; i++) {
		m = &g_array_index(d->remotes, struct disp_remote_hall, i);
		if (!disp_pass_may_try(m, r, now))
			continue;
		w = weight(m->hall, r->print);
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

	for (at = d->out.head; at != NULL; at = at->next) {
		other = at->data;
		if (other->trial && fprint_same(other->print, r->print))
			return true;
	}
	for (i = 0; i < d->backends->len; i++)
		if (disp_doubt_waits(
			g_ptr_array_index(d->backends, i), r->print))
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
		n += b->alone && b->inflight > 0 && b != d->emptied;
	}
	return n;
}

/* Give back the backend server that was being emptied. */
static void
let_go(struct disp *d)
{
	if (d->emptied != NULL)
		d->emptied->alone = false;
	d->emptied = NULL;
}

/* Nothing new goes to the one that will be empty first, as far as is known. */
static void
empty_one(struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	struct pick_backend *b, *best = NULL;
	guint i;

	if (d->emptied != NULL && pick_usable(d->emptied, now))
		return;
	let_go(d);
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->alone || !pick_usable(b, now) || pick_is_silent(b))
			continue;
		if (best == NULL || b->inflight < best->inflight)
			best = b;
	}
	if (best == NULL)
		return;
	best->alone = true;
	d->emptied = best;
}

/* The best of those where nothing runs; NULL if there is none. */
static struct pick_backend *
choose_empty(struct disp *d, const struct disp_req *r)
{
	GPtrArray *empty = g_ptr_array_new();
	struct pick_set set = disp_set_of(d);
	struct pick_want want = {r->cls, r->avoid, r->work};
	struct pick_backend *b = NULL;
	guint i;
	int at;

	if (d->emptied != NULL && d->emptied->inflight == 0)
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

	if (count_trials(d) >= MAX(disp_usable(d) / TRIAL_SHARE, 1))
		return false;
	b = choose_empty(d, r);
	if (b == NULL) {
		empty_one(d);
		return false;
	}
	disp_unhold(d, r);
	b->alone = true;
	r->trial = true;
	disp_begin(d, r, b);
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

	if (r->doubted != NULL)
		return WAITS;
	if (is_proved(d, r)) {
		disp_unhold(d, r);
		drop_proved(d, r);
		return SERVED;
	}
	if (!is_suspect(d, r)) {
		disp_unhold(d, r);
		disp_hold(d, r);
		return SERVED;
	}
	hall = r->may_pass ? trial_hall(d, r) : str_c(NULL);
	if (hall.n > 0) {
		disp_unhold(d, r);
		d->ops.pass(d->ops.ctx, r, hall);
		return SERVED;
	}
	if (is_on_trial(d, r))
		return WAITS;
	return start_trial(d, r) ? SERVED : WANTS_PLACE;
}

/* Whatever is done may change the queue, so it is looked through anew. */
void
disp_trial_serve(struct disp *d)
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
	unsigned places = MAX(disp_usable(d) / TRIAL_SHARE, 1);
	double one = (double)d->mean_work * d->begin_pace;

	return (int64_t)((double)(d->queues[QUEUE_TRIAL].n + 1) * one / places);
}

/*
 * A request arrives.  True if it was taken: poison is refused at once, and a
 * suspect waits for its trial, or is refused if that would come too late.
 */
bool
disp_trial_arrive(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk), end;

	r->doubted = NULL;
	if (d->params.poison == NULL)
		return false;
	if (is_proved(d, r)) {
		drop_proved(d, r);
		return true;
	}
	if (!is_suspect(d, r))
		return false;
	r->work = disp_work_of(d, r->kind);
	r->judged = true;
	end = now + trial_wait(d) + r->work;
	if (end > r->deadline) {
		disp_drop(d, r, ERR_BUSY, COME_BACK_NS);
		return true;
	}
	disp_hold(d, r);
	disp_serve(d);
	return true;
}

/* Some requests that are held have become suspects, or poison. */
bool
disp_trial_takes(struct disp *d, struct disp_req *r)
{
	if (d->params.poison == NULL)
		return false;
	if (is_proved(d, r)) {
		disp_unhold(d, r);
		drop_proved(d, r);
		return true;
	}
	if (!is_suspect(d, r))
		return false;
	disp_unhold(d, r);
	disp_hold(d, r);
	return true;
}

/* A try has ended: the backend server of a trial takes others again. */
void
disp_trial_done(struct disp *d, struct disp_req *r, struct pick_backend *b,
    enum disp_outcome outcome)
{
	if (d->params.poison != NULL && outcome == DISP_OK)
		poison_served(d->params.poison, r->print);
	disp_doubt_done(d, r, b, outcome);
	if (r->trial)
		b->alone = false;
	r->trial = false;
}
