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
#include <stdlib.h>
#include <xxhash.h>

#include "usage.h"

static const char *const end_names[USAGE_END_MAX] = {
    [USAGE_OVER_RATE] = "over_rate",
    [USAGE_REFUSED] = "refused",
    [USAGE_IN_TIME] = "in_time",
    [USAGE_LATE] = "late",
    [USAGE_FAILED] = "failed",
};

const char *
usage_end_name(enum usage_end end)
{
	return end_names[end];
}

struct usage *
usage_new(int64_t now)
{
	struct usage *u = g_new0(struct usage, 1);

	u->started_at = now;
	return u;
}

static void
table_clear(struct usage_table *t)
{
	unsigned i;

	for (i = 0; i < t->n; i++)
		str_free(&t->entries[i].name);
	*t = (struct usage_table){0};
}

void
usage_free(struct usage *u)
{
	table_clear(&u->current);
	table_clear(&u->last);
	g_free(u);
}

/* Ends the current period if its time is over. */
static void
advance(struct usage *u, int64_t now)
{
	int64_t length = now - u->started_at;

	if (length < USAGE_PERIOD_NS)
		return;
	table_clear(&u->last);
	u->last_length = 0;
	/* After a whole period without requests the figures are too old. */
	if (length < 2 * USAGE_PERIOD_NS) {
		u->last = u->current;
		u->last_length = length;
		u->current = (struct usage_table){0};
	}
	table_clear(&u->current);
	u->started_at = now;
}

static struct usage_entry *
find(struct usage_table *t, struct str name, uint64_t hash)
{
	unsigned i;

	for (i = 0; i < t->n; i++)
		if (t->entries[i].hash == hash &&
		    str_eq(t->entries[i].name, name))
			return &t->entries[i];
	return NULL;
}

static struct usage_entry *
smallest(struct usage_table *t)
{
	struct usage_entry *least = &t->entries[0];
	unsigned i;

	for (i = 1; i < t->n; i++)
		if (t->entries[i].count < least->count)
			least = &t->entries[i];
	return least;
}

/* Returns an entry for a customer that has none. */
static struct usage_entry *
take_entry(struct usage_table *t, struct str name, uint64_t hash)
{
	struct usage_entry *e;
	uint64_t error = 0;

	if (t->n < USAGE_ENTRIES) {
		e = &t->entries[t->n++];
	} else {
		e = smallest(t);
		error = e->count;
		str_free(&e->name);
	}
	*e = (struct usage_entry){
	    .name = str_dup(name),
	    .hash = hash,
	    .count = error,
	    .error = error,
	};
	return e;
}

void
usage_add(struct usage *u, struct str name, enum usage_end end, int64_t now)
{
	uint64_t hash = XXH3_64bits(name.p, name.n);
	struct usage_entry *e;

	advance(u, now);
	e = find(&u->current, name, hash);
	if (e == NULL)
		e = take_entry(&u->current, name, hash);
	e->count++;
	e->ends[end]++;
	u->current.ends[end]++;
}

static void
add_ends(struct usage_row *row, const uint64_t *ends)
{
	int i;

	for (i = 0; i < USAGE_END_MAX; i++) {
		row->ends[i] += ends[i];
		row->requests += ends[i];
	}
}

static void
subtract_row(struct usage_row *row, const struct usage_row *part)
{
	int i;

	for (i = 0; i < USAGE_END_MAX; i++)
		row->ends[i] -= part->ends[i];
	row->requests -= part->requests;
}

static int
by_requests(const void *pa, const void *pb)
{
	const struct usage_row *a = pa, *b = pb;

	return (a->requests < b->requests) - (a->requests > b->requests);
}

/*
 * Adds what a table has of a customer.  One that has no entry in a full table
 * may have had as many requests as the smallest entry counts.
 */
static void
add_table(struct usage_row *row, struct usage_table *t, uint64_t hash)
{
	const struct usage_entry *e = find(t, row->name, hash);

	if (e != NULL) {
		add_ends(row, e->ends);
		row->error += e->error;
	} else if (t->n == USAGE_ENTRIES) {
		row->error += smallest(t)->count;
	}
}

/* Writes one row for each customer in either table; returns their number. */
static unsigned
merge_tables(struct usage *u, struct usage_row *rows)
{
	const struct usage_entry *e;
	unsigned i, n = 0;

	for (i = 0; i < u->current.n + u->last.n; i++) {
		e = i < u->current.n ? &u->current.entries[i]
				     : &u->last.entries[i - u->current.n];
		if (i >= u->current.n &&
		    find(&u->current, e->name, e->hash) != NULL)
			continue;
		rows[n] = (struct usage_row){.name = e->name};
		add_table(&rows[n], &u->current, e->hash);
		add_table(&rows[n++], &u->last, e->hash);
	}
	return n;
}

void
usage_summarize(struct usage *u, int64_t now, struct usage_report *report)
{
	struct usage_row rows[2 * USAGE_ENTRIES];
	unsigned i, n;

	advance(u, now);
	*report = (struct usage_report){
	    .length = now - u->started_at + u->last_length};
	n = merge_tables(u, rows);
	qsort(rows, n, sizeof(rows[0]), by_requests);
	add_ends(&report->others, u->current.ends);
	add_ends(&report->others, u->last.ends);
	report->n = MIN(n, (unsigned)USAGE_SHOWN);
	for (i = 0; i < report->n; i++) {
		report->rows[i] = rows[i];
		subtract_row(&report->others, &rows[i]);
	}
}
