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
#include <string.h>

#include "chart.h"
#include "doc.h"
#include "err.h"

struct chart {
	const struct chart_names *names;
	int start;
	int *next; /* the next state: nstates rows of nevents */
};

/* Returns the index of a name, -1 if there is none. */
static int find_name(const char *const *, int, const char *);
static bool read_states(struct chart *, const struct doc *, GError **);
static bool
read_state(struct chart *, int, const struct doc *, json_t *, GError **);
/* Checks that each state can be reached from the start state. */
static bool check_reachable(const struct chart *, const char *, GError **);
static struct chart *
compile(struct doc *, const struct chart_names *, GError **);

static int
find_name(const char *const *names, int n, const char *name)
{
	int i;

	for (i = 0; i < n; i++)
		if (name != NULL && strcmp(names[i], name) == 0)
			return i;
	return -1;
}

static bool
read_state(struct chart *c, int state, const struct doc *doc, json_t *row,
    GError **err)
{
	const struct chart_names *names = c->names;
	const char *key;
	json_t *value;
	int i, next_state;

	json_object_foreach (row, key, value) {
		if (find_name(names->events, names->nevents, key) < 0)
			return err_set(err, ERR_CHART,
			    "%s:%d: %s: unknown event %s", doc->file,
			    doc_line(doc, row, key), names->states[state], key);
	}
	for (i = 0; i < names->nevents; i++) {
		value = json_object_get(row, names->events[i]);
		next_state = find_name(
		    names->states, names->nstates, json_string_value(value));
		if (next_state < 0)
			return err_set(err, ERR_CHART,
			    "%s: state %s: event %s leads to no known state",
			    doc->file, names->states[state], names->events[i]);
		c->next[state * names->nevents + i] = next_state;
	}
	return true;
}

static bool
read_states(struct chart *c, const struct doc *doc, GError **err)
{
	const struct chart_names *names = c->names;
	json_t *states = json_object_get(doc->root, "state"), *row;
	const char *key;
	int i;

	json_object_foreach (states, key, row) {
		if (find_name(names->states, names->nstates, key) < 0)
			return err_set(err, ERR_CHART,
			    "%s:%d: unknown state %s", doc->file,
			    doc_line(doc, states, key), key);
	}
	for (i = 0; i < names->nstates; i++) {
		row = json_object_get(states, names->states[i]);
		if (!json_is_object(row))
			return err_set(err, ERR_CHART,
			    "%s: state %s is missing", doc->file,
			    names->states[i]);
		if (!read_state(c, i, doc, row, err))
			return false;
	}
	return true;
}

static bool
check_reachable(const struct chart *c, const char *file, GError **err)
{
	const struct chart_names *names = c->names;
	bool *reached = g_new0(bool, names->nstates), changed = true, ok = true;
	int i, j;

	reached[c->start] = true;
	while (changed) {
		changed = false;
		for (i = 0; i < names->nstates; i++) {
			for (j = 0; reached[i] && j < names->nevents; j++) {
				if (reached[chart_step(c, i, j)])
					continue;
				reached[chart_step(c, i, j)] = changed = true;
			}
		}
	}
	for (i = 0; ok && i < names->nstates; i++)
		if (!reached[i])
			ok = err_set(err, ERR_CHART,
			    "%s: state %s cannot be reached", file,
			    names->states[i]);
	g_free(reached);
	return ok;
}

static struct chart *
compile(struct doc *doc, const struct chart_names *names, GError **err)
{
	struct chart *c = g_new0(struct chart, 1);
	const char *start;

	c->names = names;
	c->next = g_new0(int, names->nstates * names->nevents);
	start = json_string_value(json_object_get(doc->root, "start"));
	c->start = find_name(names->states, names->nstates, start);
	if (c->start < 0)
		err_set(err, ERR_CHART, "%s: start: names no known state",
		    doc->file);
	else if (read_states(c, doc, err) && check_reachable(c, doc->file, err))
		return c;
	chart_free(c);
	return NULL;
}

struct chart *
chart_load(const char *file, const struct chart_names *names, GError **err)
{
	struct doc *doc = doc_load(file, err);
	struct chart *c = doc == NULL ? NULL : compile(doc, names, err);

	doc_free(doc);
	return c;
}

struct chart *
chart_parse(const char *text, size_t n, const char *file,
    const struct chart_names *names, GError **err)
{
	struct doc *doc = doc_parse(text, n, file, err);
	struct chart *c = doc == NULL ? NULL : compile(doc, names, err);

	doc_free(doc);
	return c;
}

void
chart_free(struct chart *c)
{
	if (c == NULL)
		return;
	g_free(c->next);
	g_free(c);
}

int
chart_start(const struct chart *c)
{
	return c->start;
}

int
chart_step(const struct chart *c, int state, int event)
{
	return c->next[state * c->names->nevents + event];
}

const char *
chart_state_name(const struct chart *c, int state)
{
	return c->names->states[state];
}
