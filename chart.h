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
 * A state chart is read from a TOML file, which names the start state and, for
 * each state, the next state on each event.  It is compiled at load into a
 * table, so that a step is one array look-up.
 */
struct chart;

/*
 * The names of the states and events that the code has for a chart, in the
 * order of the code's enums.  It must live as long as the chart.
 */
struct chart_names {
	const char *name; /* of the chart */
	const char *const *states;
	int nstates;
	const char *const *events;
	int nevents;
};

/*
 * Loads a chart and checks that it has exactly the named states and events,
 * that each state names the next state for each event, and that each state can
 * be reached from the start state.  The caller frees it with chart_free().
 * Returns NULL with ERR_CHART or ERR_SETTINGS on failure.
 */
struct chart *
chart_load(const char *file, const struct chart_names *, GError **);

/* As chart_load(), from n bytes in memory; `file` is used in messages. */
struct chart *chart_parse(const char *text, size_t n, const char *file,
    const struct chart_names *, GError **);

void chart_free(struct chart *);

/* Returns the start state, an index into chart_names.states. */
int chart_start(const struct chart *);

/* Returns the state that follows on an event. */
int chart_step(const struct chart *, int state, int event);

const char *chart_state_name(const struct chart *, int state);

#endif
