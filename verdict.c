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

/* Of each share of the old version the last so many answers count. */
enum { MEMORY = 200 };
/* Until it has answered, it is thought to have this share, of so many. */
static const double PRIOR = 0.02;
enum { PRIOR_WEIGHT = 20 };

/* A sum beyond this convicts: by chance, about one in a million answers. */
static const double CONVICTS = 13.8;

/* What is counted, and how much worse than the old version is bad. */
static const struct measure {
	const char *why;
	enum verdict_answer answer;
	double least; /* share that the old version is thought to have */
	double worse; /* share beyond that */
} measures[] = {
    {"it fails more often", VERDICT_FAILED, 0.01, 0.08},
    {"it is several times slower", VERDICT_SLOW, 0.02, 0.3},
};
enum { MEASURES = G_N_ELEMENTS(measures) };
static const double SHARE_MAX = 0.6;

struct verdict_kind {
	unsigned kind;
	unsigned n; /* answers of the old version, up to MEMORY */
	double share[MEASURES]; /* of the old version */
	double sum[MEASURES]; /* of the new version */
};

void
verdict_open(struct verdict *v)
{
	v->kinds = g_array_new(FALSE, TRUE, sizeof(struct verdict_kind));
	v->answers = v->bad = 0;
}

void
verdict_close(struct verdict *v)
{
	g_array_free(v->kinds, TRUE);
}

static struct verdict_kind *
kind_of(struct verdict *v, unsigned kind)
{
	struct verdict_kind add = {.kind = kind, .n = PRIOR_WEIGHT};
	struct verdict_kind *k;
	guint i;

	for (i = 0; i < v->kinds->len; i++) {
		k = &g_array_index(v->kinds, struct verdict_kind, i);
		if (k->kind == kind)
			return k;
	}
	for (i = 0; i < MEASURES; i++)
		add.share[i] = PRIOR;
	g_array_append_val(v->kinds, add);
	return &g_array_index(v->kinds, struct verdict_kind, v->kinds->len - 1);
}

void
verdict_add_old(struct verdict *v, unsigned kind, enum verdict_answer answer)
{
	struct verdict_kind *k = kind_of(v, kind);
	int i;

	if (answer == VERDICT_IGNORED)
		return;
	k->n = MIN(k->n + 1, MEMORY);
	for (i = 0; i < MEASURES; i++)
		k->share[i] +=
		    ((answer == measures[i].answer) - k->share[i]) / k->n;
}

/* Log-likelihood ratio of one answer: bad against as good as the old one. */
static double
weight(const struct measure *m, double share, bool counts)
{
	double good = CLAMP(share, m->least, SHARE_MAX);
	double bad = good + m->worse;

	return counts ? log(bad / good) : log((1 - bad) / (1 - good));
}

const char *
verdict_add_new(struct verdict *v, unsigned kind, enum verdict_answer answer)
{
	struct verdict_kind *k = kind_of(v, kind);
	const struct measure *m;
	int i;

	if (answer == VERDICT_IGNORED)
		return NULL;
	v->answers++;
	v->bad += answer != VERDICT_GOOD;
	for (i = 0; i < MEASURES; i++) {
		m = &measures[i];
		k->sum[i] += weight(m, k->share[i], answer == m->answer);
		k->sum[i] = MAX(k->sum[i], 0);
		if (k->sum[i] >= CONVICTS)
			return m->why;
	}
	return NULL;
}
