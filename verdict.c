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
#include <math.h>

#include "verdict.h"

/*
 * Number of recent responses that the old version's shares are averaged over.
 */
enum { WINDOW = 200 };
/*
 * Share that is assumed of the old version at first, with the weight of
 * PRIOR_WEIGHT responses.
 */
static const double PRIOR_SHARE = 0.02;
enum { PRIOR_WEIGHT = 20 };

/*
 * Sum at which the new version counts as worse.  A version as good as the old
 * one reaches it by chance about once in a million responses.
 */
static const double SUM_THRESHOLD = 13.8;
/*
 * With a lower sum the new version is not in doubt.  A bad response raises a
 * sum by about 2 and a good one lowers it by a tenth, so that two bad responses
 * raise no doubt, and three do until some good ones have followed.
 */
static const double SUM_CLEAR = 6;

/*
 * The outcomes that are counted, and how much larger a share of them makes a
 * version bad.
 */
static const struct measure {
	const char *why;
	enum verdict_outcome outcome;
	/* The old version's share is taken for at least this. */
	double share_min;
	/* Excess of a bad version's share over the old one's. */
	double share_excess;
} measures[VERDICT_MEASURES] = {
    [VERDICT_FAILS_MORE] = {"it fails more often", VERDICT_FAILED, 0.01, 0.08},
    [VERDICT_SLOW_MORE] = {"it is several times slower more often",
	VERDICT_SLOW, 0.01, 0.08},
    /* Reaches the threshold sooner if most responses are slow. */
    [VERDICT_SLOW_OFTEN] = {"it is several times slower", VERDICT_SLOW, 0.02,
	0.3},
};
static const double SHARE_MAX = 0.6;

struct verdict_kind {
	unsigned kind;
	unsigned n; /* responses of the old version, up to WINDOW */
	double share[VERDICT_MEASURES]; /* of the old version's responses */
	double sum[VERDICT_MEASURES]; /* cumulative sums of the new version */
};

void
verdict_open(struct verdict *v)
{
	v->kinds = g_array_new(FALSE, TRUE, sizeof(struct verdict_kind));
	v->responses = v->bad = 0;
}

void
verdict_close(struct verdict *v)
{
	g_array_free(v->kinds, TRUE);
}

static struct verdict_kind *
find_or_add_kind(struct verdict *v, unsigned kind)
{
	struct verdict_kind new_kind = {.kind = kind, .n = PRIOR_WEIGHT};
	struct verdict_kind *k;
	guint i;

	for (i = 0; i < v->kinds->len; i++) {
		k = &g_array_index(v->kinds, struct verdict_kind, i);
		if (k->kind == kind)
			return k;
	}
	for (i = 0; i < VERDICT_MEASURES; i++)
		new_kind.share[i] = PRIOR_SHARE;
	g_array_append_val(v->kinds, new_kind);
	return &g_array_index(v->kinds, struct verdict_kind, v->kinds->len - 1);
}

void
verdict_add_old(struct verdict *v, unsigned kind, enum verdict_outcome outcome)
{
	struct verdict_kind *k = find_or_add_kind(v, kind);
	int i;

	if (outcome == VERDICT_IGNORED)
		return;
	k->n = MIN(k->n + 1, WINDOW);
	for (i = 0; i < VERDICT_MEASURES; i++)
		k->share[i] +=
		    ((outcome == measures[i].outcome) - k->share[i]) / k->n;
}

/*
 * Returns the log-likelihood ratio of one response: of a bad version against
 * one as good as the old one.
 */
static double
log_likelihood_ratio(const struct measure *m, double share, bool has_outcome)
{
	double good_share = CLAMP(share, m->share_min, SHARE_MAX);
	double bad_share = good_share + m->share_excess;

	return has_outcome ? log(bad_share / good_share)
			   : log((1 - bad_share) / (1 - good_share));
}

const char *
verdict_add_new(struct verdict *v, unsigned kind, enum verdict_outcome outcome)
{
	struct verdict_kind *k = find_or_add_kind(v, kind);
	const struct measure *m;
	int i;

	if (outcome == VERDICT_IGNORED)
		return NULL;
	v->responses++;
	v->bad += outcome != VERDICT_GOOD;
	for (i = 0; i < VERDICT_MEASURES; i++) {
		m = &measures[i];
		k->sum[i] +=
		    log_likelihood_ratio(m, k->share[i], outcome == m->outcome);
		k->sum[i] = MAX(k->sum[i], 0);
		if (k->sum[i] >= SUM_THRESHOLD)
			return m->why;
	}
	return NULL;
}

struct verdict_sums
verdict_get_sums(const struct verdict *v)
{
	struct verdict_sums sums = {{0}};
	const struct verdict_kind *k;
	guint i;
	int j;

	for (i = 0; i < v->kinds->len; i++) {
		k = &g_array_index(v->kinds, struct verdict_kind, i);
		for (j = 0; j < VERDICT_MEASURES; j++)
			sums.of[j] = MAX(sums.of[j], k->sum[j]);
	}
	return sums;
}

void
verdict_sums_add(struct verdict_sums *sums, const struct verdict_sums *add)
{
	int i;

	for (i = 0; i < VERDICT_MEASURES; i++)
		sums->of[i] += add->of[i];
}

const char *
verdict_by_sums(const struct verdict_sums *sums)
{
	int i;

	for (i = 0; i < VERDICT_MEASURES; i++)
		if (sums->of[i] >= SUM_THRESHOLD)
			return measures[i].why;
	return NULL;
}

bool
verdict_is_clear(const struct verdict_sums *sums)
{
	int i;

	for (i = 0; i < VERDICT_MEASURES; i++)
		if (sums->of[i] >= SUM_CLEAR)
			return false;
	return true;
}
