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
 * Estimates of service times.  The service time of a kind is learned in ns at
 * the usual speed: the duration of an attempt, divided by the latency factor
 * that the server had at its start.
 */

enum {
	/* Weights of the past against one sample in moving averages. */
	MEAN_WEIGHT = 16, /* service time of all requests */
	RATIO_WEIGHT = 8, /* service time ratio of a server */
	FACTOR_WEIGHT = 64, /* latency factors of attempts and reports */
	MEAN_FACTOR_WEIGHT = 10, /* mean latency factor of all servers */
	PERCENT = 100,
	SLOW_PERCENT = 150 /* latency factor above which a period is slow */
};

/*
 * An attempt that took so many times the expected time without a recent load
 * report met a slow period that was not reported.
 */
static const double OUTLIER_FACTOR = 2.5;
/* Bounds of the service time ratio of a server. */
static const double RATIO_MIN = 0.5, RATIO_MAX = 8;

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
	d->begin_pace += (r->pace - d->begin_pace) / FACTOR_WEIGHT;
}

void
disp_work_told(struct disp *d, int percent)
{
	double factor = (double)percent / PERCENT;

	if (percent > SLOW_PERCENT)
		d->slow_pace += (factor - d->slow_pace) / FACTOR_WEIGHT;
}

/*
 * The mean is taken over the backend servers, with the last report of each.  A
 * mean over all reports would be too high: slow servers keep free slots and are
 * queried more often.
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
		d->mean_pace += (sum / n - d->mean_pace) / MEAN_FACTOR_WEIGHT;
}

static void
learn_ratio(struct pick_backend *b, double ratio)
{
	if (b->factor == 0)
		b->factor = 1;
	b->factor += (ratio - b->factor) / RATIO_WEIGHT;
	b->factor = CLAMP(b->factor, RATIO_MIN, RATIO_MAX);
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
 * An attempt that took far longer than others of its kind, without a recent
 * load report, met a slow period, and is not used for the service time of the
 * kind. That service time is learned without dividing by the ratio of the
 * server: if each of the two were learned from the other, both could drift
 * without bound.
 */
void
disp_work_done(struct disp *d, const struct disp_req *r, struct pick_backend *b,
    int64_t now)
{
	struct disp_work *w = find_or_add(d, r->kind);
	double usual = conc_usual(&w->times),
	       ratio = b->factor > 0 ? b->factor : 1;
	double ns = (double)(now - r->sent) / (r->told ? r->pace : 1);

	/* Without load reports only the durations show how fast it is. */
	if (usual > 0 && (r->told || b->mute))
		learn_ratio(b, ns / (usual * r->slowdown));
	if (usual > 0 && !r->told &&
	    ns > OUTLIER_FACTOR * ratio * usual * r->slowdown)
		return;
	conc_learn(&w->times, r->beside, b->slots, ns, now);
	learn_mean(&d->mean_work, ns);
}
