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
#include "clk.h"
#include "cnt.h"

/* Upper bounds of the histogram buckets in microseconds, inclusive. */
static const int64_t bounds_us[] = {50, 100, 200, 300, 500, 750, 1000, 1500,
    2000, 3000, 5000, 7500, 10000, 15000, 20000, 30000, 50000, 75000, 100000,
    200000, 500000, 1000000, 5000000};

enum { N_BOUNDS = G_N_ELEMENTS(bounds_us) };

struct hist {
	uint64_t bucket[N_BOUNDS + 1];
	uint64_t count;
	int64_t sum_ns;
};

struct cnt {
	const struct cnt_desc *descs;
	size_t n;
	uint64_t *values;
	struct hist *hists; /* one for each metric; unused for the others */
};

static void print_hist(const struct hist *, const char *, GString *);

struct cnt *
cnt_new(const struct cnt_desc *descs, size_t n)
{
	struct cnt *c = g_new0(struct cnt, 1);

	c->descs = descs;
	c->n = n;
	c->values = g_new0(uint64_t, n);
	c->hists = g_new0(struct hist, n);
	return c;
}

void
cnt_free(struct cnt *c)
{
	g_free(c->values);
	g_free(c->hists);
	g_free(c);
}

void
cnt_add(struct cnt *c, unsigned id, uint64_t n)
{
	c->values[id] += n;
}

void
cnt_set(struct cnt *c, unsigned id, uint64_t v)
{
	c->values[id] = v;
}

uint64_t
cnt_get(const struct cnt *c, unsigned id)
{
	return c->values[id];
}

void
cnt_sample(struct cnt *c, unsigned id, int64_t ns)
{
	struct hist *h = &c->hists[id];
	int64_t us = ns / NS_US;
	size_t i = 0;

	while (i < N_BOUNDS && us > bounds_us[i])
		i++;
	h->bucket[i]++;
	h->count++;
	h->sum_ns += ns;
}

static void
print_hist(const struct hist *h, const char *name, GString *out)
{
	uint64_t cumulative = 0;
	size_t i;

	for (i = 0; i < N_BOUNDS; i++) {
		cumulative += h->bucket[i];
		g_string_append_printf(out, "%s_bucket{le=\"%g\"} %llu\n", name,
		    (double)bounds_us[i] / 1e6, (unsigned long long)cumulative);
	}
	g_string_append_printf(out,
	    "%s_bucket{le=\"+Inf\"} %llu\n%s_sum %.6f\n%s_count %llu\n", name,
	    (unsigned long long)h->count, name, (double)h->sum_ns / NS_S, name,
	    (unsigned long long)h->count);
}

void
cnt_print(const struct cnt *c, GString *out)
{
	static const char *const types[] = {"counter", "gauge", "histogram"};
	const struct cnt_desc *d;
	size_t i;

	for (i = 0; i < c->n; i++) {
		d = &c->descs[i];
		g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
		    d->name, d->help, d->name, types[d->type]);
		if (d->type == CNT_HISTOGRAM)
			print_hist(&c->hists[i], d->name, out);
		else
			g_string_append_printf(out, "%s %llu\n", d->name,
			    (unsigned long long)c->values[i]);
	}
}
