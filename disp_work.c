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
#include "disp_state.h"
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

static struct disp_service_times *
find(const struct disp *d, unsigned kind)
{
	struct disp_service_times *stats;
	guint i;

	for (i = 0; i < d->service_times->len; i++) {
		stats = &g_array_index(
		    d->service_times, struct disp_service_times, i);
		if (stats->kind == kind)
			return stats;
	}
	return NULL;
}

int64_t
disp_work_estimate(const struct disp *d, unsigned kind)
{
	const struct disp_service_times *stats = find(d, kind);

	return stats == NULL ? 0 : (int64_t)conc_base_time(&stats->times);
}

void
disp_work_attempt_sent(struct disp *d, struct disp_req *r)
{
	r->service_time = disp_work_estimate(d, r->kind);
	r->latency_factor =
	    pace_latency_factor(r->backend, d->mean_latency_factor, r->sent_at);
	r->load_report_fresh = pace_report_is_fresh(r->backend, r->sent_at);
	d->start_latency_factor +=
	    (r->latency_factor - d->start_latency_factor) / FACTOR_WEIGHT;
}

void
disp_work_load_reported(struct disp *d, int percent)
{
	double factor = (double)percent / PERCENT;

	if (percent > SLOW_PERCENT)
		d->slow_latency_factor +=
		    (factor - d->slow_latency_factor) / FACTOR_WEIGHT;
}

/*
 * The mean is taken over the backend servers, with the last report of each.  A
 * mean over all reports would be too high: slow servers keep free slots and are
 * queried more often.
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
		    (sum / n - d->mean_latency_factor) / MEAN_FACTOR_WEIGHT;
}

static void
learn_ratio(struct pick_backend *b, double ratio)
{
	if (b->service_time_ratio == 0)
		b->service_time_ratio = 1;
	b->service_time_ratio += (ratio - b->service_time_ratio) / RATIO_WEIGHT;
	b->service_time_ratio =
	    CLAMP(b->service_time_ratio, RATIO_MIN, RATIO_MAX);
}

static struct disp_service_times *
find_or_add(struct disp *d, unsigned kind)
{
	struct disp_service_times add = {.kind = kind}, *stats = find(d, kind);

	if (stats != NULL)
		return stats;
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
 * An attempt that took far longer than others of its kind, without a recent
 * load report, met a slow period, and is not used for the service time of the
 * kind.  That service time is learned without dividing by the ratio of the
 * server: if each of the two were learned from the other, both could drift
 * without bound.
 */
void
disp_work_learn(struct disp *d, const struct disp_req *r,
    struct pick_backend *b, int64_t now)
{
	struct disp_service_times *stats = find_or_add(d, r->kind);
	double usual = conc_base_time(&stats->times),
	       ratio = b->service_time_ratio > 0 ? b->service_time_ratio : 1;
	double ns = (double)(now - r->sent_at) /
	    (r->load_report_fresh ? r->latency_factor : 1);

	/* Without load reports only the durations show how fast it is. */
	if (usual > 0 && (r->load_report_fresh || b->reports_no_load))
		learn_ratio(b, ns / (usual * r->slowdown));
	if (usual > 0 && !r->load_report_fresh &&
	    ns > OUTLIER_FACTOR * ratio * usual * r->slowdown)
		return;
	conc_add_sample(&stats->times, r->concurrent, b->slots, ns, now);
	learn_mean(&d->mean_service_time, ns);
}

void
disp_work_import_ratio(struct pick_backend *b, double ratio)
{
	if (b->service_time_ratio == 0 && ratio > 0)
		b->service_time_ratio = CLAMP(ratio, RATIO_MIN, RATIO_MAX);
}

/* Returns whether the service time of a kind is unknown here. */
static bool
is_unknown(const struct disp *d, unsigned kind)
{
	return disp_work_estimate(d, kind) == 0;
}

/*
 * Kinds that this owner has measured itself are kept: its own samples are
 * newer.
 */
void
disp_work_import(struct disp *d, const struct disp_state *in, int64_t now)
{
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(bool));
	const struct disp_work_state *w;
	bool add;
	unsigned i;

	for (i = 0; i < in->nwork; i++) {
		add = is_unknown(d, in->work[i].kind);
		g_array_append_val(unknown, add);
	}
	for (i = 0; i < in->nwork; i++) {
		w = &in->work[i];
		if (g_array_index(unknown, bool, i) && w->step < CONC_STEPS)
			conc_set_step(&find_or_add(d, w->kind)->times, w->step,
			    w->mean_time, w->samples, now);
	}
	g_array_free(unknown, TRUE);
	if (d->mean_service_time == 0)
		d->mean_service_time = in->mean_service_time;
}
