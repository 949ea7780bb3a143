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
#ifndef CNT_H
#define CNT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* The types of a metric, as Prometheus's text form names them. */
enum cnt_type { CNT_COUNTER, CNT_GAUGE, CNT_HISTOGRAM };

/* One metric: its name, the unit in the name, and what it tells. */
struct cnt_desc {
	const char *name;
	const char *help;
	enum cnt_type type;
};

/* A set of metrics over a constant table of descriptions. */
struct cnt;

struct cnt *cnt_new(const struct cnt_desc *, size_t);
void cnt_free(struct cnt *);

/* Count up a counter, set a gauge, take a sample in ns into a histogram. */
void cnt_add(struct cnt *, unsigned id, uint64_t n);
void cnt_set(struct cnt *, unsigned id, uint64_t v);
void cnt_sample(struct cnt *, unsigned id, int64_t ns);

uint64_t cnt_get(const struct cnt *, unsigned id);

/* Append all metrics in the text form that Prometheus reads. */
void cnt_print(const struct cnt *, GString *);

#endif
