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

static struct disp_service_times *
find(const struct disp *d, unsigned kind)
{
	struct disp_service_times *w;
	guint i;

	for (i = 0; i < d->service_times->len; i++) {
		w = &g_array_index(
		    d->service_times, struct disp_service_times, i);
		if (w->kind == kind)
			return w;
	}
	return NULL;
}

/* 0 where nothing is known of the kind. */
int64_t
disp_work_estimate(const struct disp *d, unsigned kind)
{
	const struct disp_service_times *w = find(d, kind);

	return w == NULL ? 0 : (int64_t)conc_base_time(&w->times);
}

void
disp_work_attempt_sent(struct disp *d, struct disp_req *r)
{
	r->service_time = disp_work_estimate(d, r->kind);
	r->latency_factor =
	    pace_latency_factor(r->backend, d->mean_latency_factor, r->sent_at);
	r->load_report_fresh = pace_report_is_fresh(r->backend, r->sent_at);
	d->start_latency_factor +=
	    (r->latency_factor - d->start_latency_factor) / PACE_WEIGHT;
}

void
disp_work_load_reported(struct disp *d, int pace)
{
	double p = (double)pace / PERCENT;

	if (pace > SLOW_PACE)
		d->slow_latency_factor +=
		    (p - d->slow_latency_factor) / PACE_WEIGHT;
}

/*
 * The mean pace is that of the backend servers, each with what it told last.
 * By the words themselves it would be that of slow ones: these stay free, and
 * are asked again and again.
 */
void
disp_work_update_mean(struct disp *d)
{
	const struct pick_backend *b;
	double sum = 0;
	guint i, n = 0;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->reported_at == 0)
			continue;
		sum += (double)b->reported_latency_percent / PERCENT;
		n++;
	}
	if (n > 0)
		d->mean_latency_factor +=
		    (sum / n - d->mean_latency_factor) / MEAN_PACE_WEIGHT;
}

static void
learn_factor(struct pick_backend *b, double ratio)
{
	if (b->service_time_ratio == 0)
		b->service_time_ratio = 1;
	b->service_time_ratio +=
	    (ratio - b->service_time_ratio) / FACTOR_WEIGHT;
	b->service_time_ratio =
	    CLAMP(b->service_time_ratio, FACTOR_MIN, FACTOR_MAX);
}

static struct disp_service_times *
find_or_add(struct disp *d, unsigned kind)
{
	struct disp_service_times add = {.kind = kind}, *w = find(d, kind);

	if (w != NULL)
		return w;
	g_array_append_val(d->service_times, add);
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
disp_work_learn(struct disp *d, const struct disp_req *r,
    struct pick_backend *b, int64_t now)
{
	struct disp_service_times *w = find_or_add(d, r->kind);
	double usual = conc_base_time(&w->times),
	       own = b->service_time_ratio > 0 ? b->service_time_ratio : 1;
	double ns = (double)(now - r->sent_at) /
	    (r->load_report_fresh ? r->latency_factor : 1);

	/* One that tells nothing is known by its answers alone. */
	if (usual > 0 && (r->load_report_fresh || b->reports_no_load))
		learn_factor(b, ns / (usual * r->slowdown));
	if (usual > 0 && !r->load_report_fresh &&
	    ns > ODD * own * usual * r->slowdown)
		return;
	conc_add_sample(&w->times, r->concurrent, b->slots, ns, now);
	learn_mean(&d->mean_service_time, ns);
}
