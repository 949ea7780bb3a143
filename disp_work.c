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
#include "pace.h"

/*
 * What requests take.  The work of a kind is learned in ns at the usual pace:
 * the time that a request took, over the pace at which it began.
 */

enum {
	MEAN_WEIGHT = 16, /* of the past against one request */
	FACTOR_WEIGHT = 8,
	PACE_WEIGHT = 64,
	MEAN_PACE_WEIGHT = 10, /* of the past against one look at all */
	PERCENT = 100,
	SLOW_PACE = 150 /* percent; above, it counts as a slow spell */
};

/* Beyond so many times the work a request met a spell that nobody told. */
static const double ODD = 2.5;
/* A backend server's own factor stays within these. */
static const double FACTOR_MIN = 0.5, FACTOR_MAX = 8;

static struct disp_work *
find(const struct disp *d, unsigned kind)
{
	struct disp_work *w;
	guint i;

	for (i = 0; i < d->works->len; i++) {
		w = &g_array_index(d->works, struct disp_work, i);
		if (w->kind == kind)
			return w;
	}
	return NULL;
}

/* 0 where nothing is known of the kind. */
int64_t
disp_work_of(const struct disp *d, unsigned kind)
{
	const struct disp_work *w = find(d, kind);

	return w == NULL ? 0 : (int64_t)conc_usual(&w->times);
}

void
disp_work_begin(struct disp *d, struct disp_req *r)
{
	r->work = disp_work_of(d, r->kind);
	r->pace = pace_now(r->at, d->mean_pace, r->sent);
	r->told = pace_is_fresh(r->at, r->sent);
	d->begin_pace += (r->pace - d->begin_pace) / PACE_WEIGHT;
}

void
disp_work_told(struct disp *d, int pace)
{
	double p = (double)pace / PERCENT;

	if (pace > SLOW_PACE)
		d->slow_pace += (p - d->slow_pace) / PACE_WEIGHT;
}

/*
 * The mean pace is that of the backend servers, each with what it told last.
 * By the words themselves it would be that of slow ones: these stay free, and
 * are asked again and again.
 */
void
disp_work_mean_pace(struct disp *d)
{
	const struct pick_backend *b;
	double sum = 0;
	guint i, n = 0;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->told_at == 0)
			continue;
		sum += (double)b->told_pace / PERCENT;
		n++;
	}
	if (n > 0)
		d->mean_pace += (sum / n - d->mean_pace) / MEAN_PACE_WEIGHT;
}

static void
learn_factor(struct pick_backend *b, double ratio)
{
	if (b->factor == 0)
		b->factor = 1;
	b->factor += (ratio - b->factor) / FACTOR_WEIGHT;
	b->factor = CLAMP(b->factor, FACTOR_MIN, FACTOR_MAX);
}

static struct disp_work *
find_or_add(struct disp *d, unsigned kind)
{
	struct disp_work add = {.kind = kind}, *w = find(d, kind);

	if (w != NULL)
		return w;
	g_array_append_val(d->works, add);
	return find(d, kind);
}

static void
learn_mean(int64_t *mean, double ns)
{
	if (*mean == 0)
		*mean = (int64_t)ns;
	*mean += (int64_t)((ns - (double)*mean) / MEAN_WEIGHT);
}

/*
 * A request was answered: learn from it.  One that took far longer than its
 * like, where no pace was told, met a spell and shows nothing of the work.
 * What the backend servers have in common is learned without their factors:
 * learned from each other, both would drift apart without end.
 */
void
disp_work_done(struct disp *d, const struct disp_req *r, struct pick_backend *b,
    int64_t now)
{
	struct disp_work *w = find_or_add(d, r->kind);
	double usual = conc_usual(&w->times),
	       own = b->factor > 0 ? b->factor : 1;
	double ns = (double)(now - r->sent) / (r->told ? r->pace : 1);

	/* One that tells nothing is known by its answers alone. */
	if (usual > 0 && (r->told || b->mute))
		learn_factor(b, ns / (usual * r->slowdown));
	if (usual > 0 && !r->told && ns > ODD * own * usual * r->slowdown)
		return;
	conc_learn(&w->times, r->beside, b->slots, ns, now);
	learn_mean(&d->mean_work, ns);
}
