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
 * What requests take.  The work of a kind is learned in ns at the usual
 * speed, so that slow spells do not count as work: while a request is out,
 * the work done is summed up by what its backend server tells.
 */

enum {
	WORK_WEIGHT = 16, /* of the past against one request */
	FACTOR_WEIGHT = 8,
	RATE_WEIGHT = 64,
	PERCENT = 100
};

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

	return w == NULL ? 0 : w->ns;
}

void
disp_work_begin(struct disp *d, struct disp_req *r)
{
	r->work = disp_work_of(d, r->kind);
	r->done = 0;
	r->done_at = r->sent;
}

/* Sum up what was done since the last word, at the mean of both rates. */
static void
advance(struct disp *d, struct disp_req *r, double rate, int64_t now)
{
	double before = pace_rate(r->at, d->mean_rate, now);

	r->done += (double)(now - r->done_at) * (before + rate) / 2;
	r->done_at = now;
}

void
disp_work_told(struct disp *d, struct pick_backend *b, int pace)
{
	double rate = (double)PERCENT / pace;
	int64_t now = clk_ns(d->clk);
	struct disp_req *r;
	GList *at;

	for (at = d->out.head; at != NULL; at = at->next) {
		r = at->data;
		if (r->at == b)
			advance(d, r, rate, now);
	}
	d->mean_rate += (rate - d->mean_rate) / RATE_WEIGHT;
}

static void
learn_factor(struct pick_backend *b, double ratio)
{
	if (b->factor == 0)
		b->factor = 1;
	b->factor += (ratio - b->factor) / FACTOR_WEIGHT;
	b->factor = CLAMP(b->factor, FACTOR_MIN, FACTOR_MAX);
}

/* A request was answered: learn from it. */
void
disp_work_done(struct disp *d, const struct disp_req *r, struct pick_backend *b,
    int64_t now)
{
	double rate = pace_rate(b, d->mean_rate, now);
	double ns = r->done + (double)(now - r->done_at) * rate;
	double own = b->factor > 0 ? b->factor : 1;
	struct disp_work add = {r->kind, (int64_t)ns};
	struct disp_work *w = find(d, r->kind);

	if (w == NULL) {
		g_array_append_val(d->works, add);
	} else {
		learn_factor(b, ns / (double)w->ns);
		w->ns += (int64_t)(ns / own - (double)w->ns) / WORK_WEIGHT;
		w->ns = MAX(w->ns, NS_US);
	}
	if (d->mean_work == 0)
		d->mean_work = (int64_t)ns;
	d->mean_work += ((int64_t)ns - d->mean_work) / WORK_WEIGHT;
}
