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

/* The metric types of Prometheus's text format. */
enum cnt_type { CNT_COUNTER, CNT_GAUGE, CNT_HISTOGRAM };

/* The description of one metric; its name contains the unit. */
struct cnt_desc {
	const char *name;
	const char *help;
	enum cnt_type type;
};

/* The values of a set of metrics. */
struct cnt;

/*
 * Creates metrics with the value 0 from a table of descriptions, which must
 * outlive them.  A metric's id is its index in the table.  The caller frees
 * them with cnt_free().
 */
struct cnt *cnt_new(const struct cnt_desc *, size_t);
void cnt_free(struct cnt *);

/* Adds n to a counter, sets a gauge, adds a sample in ns to a histogram. */
void cnt_add(struct cnt *, unsigned id, uint64_t n);
void cnt_set(struct cnt *, unsigned id, uint64_t v);
void cnt_sample(struct cnt *, unsigned id, int64_t ns);

/* Returns the value of a counter or gauge. */
uint64_t cnt_get(const struct cnt *, unsigned id);

/* Appends all metrics in Prometheus's text format. */
void cnt_print(const struct cnt *, GString *);

#endif
