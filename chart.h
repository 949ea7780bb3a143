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
#ifndef CHART_H
#define CHART_H

#include <glib.h>
#include <stdbool.h>

/*
 * State charts are TOML files that the code interprets.  A chart names its
 * start state and, for each state, the next state on each event.  It is
 * compiled at load into a table, so that a step is one array look-up.
 */
struct chart;

/* The names a chart's states and events have in code, in enum order. */
struct chart_names {
	const char *name;
	const char *const *states;
	int nstates;
	const char *const *events;
	int nevents;
};

/*
 * Load a chart and check that it has just the named states and events, that
 * each state answers each event, and that each state can be reached.
 * NULL and ERR_CHART or ERR_SETTINGS on failure.
 */
struct chart *
chart_load(const char *file, const struct chart_names *, GError **);

/* The same from text in memory. */
struct chart *chart_parse(const char *text, size_t n, const char *file,
    const struct chart_names *, GError **);

void chart_free(struct chart *);

int chart_start(const struct chart *);

/* The state after an event. */
int chart_step(const struct chart *, int state, int event);

const char *chart_state_name(const struct chart *, int state);

#endif
