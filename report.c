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
#include <glib.h>

#include "clk.h"
#include "report.h"

/*
 * Time that a report is kept after its rate was received.  By then a leaving
 * backend server has exited, and one with a limit has reported it again.
 */
#define REPORT_TTL_NS (600 * NS_S)

/* Most reports that are kept, each of some 100 bytes. */
enum { REPORTS_MAX = 1024 };

struct backend_reports {
	GPtrArray *v; /* struct backend_report * */
	GHashTable *by_name; /* struct str * in a report to the report */
	/* struct backend_report *, those in v not sent yet. */
	GPtrArray *unsent;
	guint next; /* index in v where reports_next() continues */
};

static guint
name_hash(gconstpointer p)
{
	const struct str *s = p;
	guint h = 5381;
	size_t i;

	for (i = 0; i < s->n; i++)
		h = h * 33 + (guchar)s->p[i];
	return h;
}

static gboolean
name_equal(gconstpointer a, gconstpointer b)
{
	return str_eq(*(const struct str *)a, *(const struct str *)b);
}

static void
report_free(void *p)
{
	struct backend_report *report = p;

	str_free(&report->backend);
	g_free(report);
}

struct backend_reports *
reports_new(void)
{
	struct backend_reports *reports = g_new0(struct backend_reports, 1);

	reports->v = g_ptr_array_new_with_free_func(report_free);
	reports->by_name = g_hash_table_new(name_hash, name_equal);
	reports->unsent = g_ptr_array_new();
	return reports;
}

void
reports_free(struct backend_reports *reports)
{
	g_hash_table_destroy(reports->by_name);
	g_ptr_array_free(reports->unsent, TRUE);
	g_ptr_array_free(reports->v, TRUE);
	g_free(reports);
}

static void
remove_at(struct backend_reports *reports, guint index)
{
	struct backend_report *report = g_ptr_array_index(reports->v, index);

	g_hash_table_remove(reports->by_name, &report->backend);
	g_ptr_array_remove_fast(reports->unsent, report);
	g_ptr_array_remove_index_fast(reports->v, index);
}

/*
 * Drops the report whose rate was received longest ago if there are too many.
 */
static void
evict_oldest(struct backend_reports *reports)
{
	const struct backend_report *report, *oldest_report;
	guint i, oldest = 0;

	if (reports->v->len < REPORTS_MAX)
		return;
	for (i = 1; i < reports->v->len; i++) {
		report = g_ptr_array_index(reports->v, i);
		oldest_report = g_ptr_array_index(reports->v, oldest);
		if (report->reported_at < oldest_report->reported_at)
			oldest = i;
	}
	remove_at(reports, oldest);
}

static struct backend_report *
add(struct backend_reports *reports, struct str backend)
{
	struct backend_report *report = g_new0(struct backend_report, 1);

	evict_oldest(reports);
	report->backend = str_dup(backend);
	g_ptr_array_add(reports->v, report);
	g_hash_table_insert(reports->by_name, &report->backend, report);
	return report;
}

/*
 * Returns whether two start times are those of different runs of a backend
 * server.  An unknown one matches any.
 */
static bool
is_other_start(int64_t started_ms, int64_t other_started_ms)
{
	return started_ms != 0 && other_started_ms != 0 &&
	    started_ms != other_started_ms;
}

static void
reset(struct backend_report *report, int64_t started_ms)
{
	struct str backend = report->backend;

	*report = (struct backend_report){
	    .backend = backend, .started_ms = started_ms};
}

bool
reports_merge(
    struct backend_reports *reports, const struct backend_report *new_report)
{
	struct backend_report *report =
	    g_hash_table_lookup(reports->by_name, &new_report->backend);
	bool changed;

	if (report == NULL)
		report = add(reports, new_report->backend);
	if (is_other_start(report->started_ms, new_report->started_ms)) {
		if (new_report->started_ms < report->started_ms)
			return false;
		reset(report, new_report->started_ms);
	}
	report->started_ms = MAX(report->started_ms, new_report->started_ms);
	report->pause_until = MAX(report->pause_until, new_report->pause_until);
	changed = new_report->leaving && !report->leaving;
	report->leaving = report->leaving || new_report->leaving;
	if (new_report->reported_at <= report->reported_at)
		return changed;
	changed = changed || new_report->rate != report->rate;
	report->rate = new_report->rate;
	report->reported_at = new_report->reported_at;
	return changed;
}

const struct backend_report *
reports_find(const struct backend_reports *reports, struct str backend,
    int64_t started_ms)
{
	const struct backend_report *report =
	    g_hash_table_lookup(reports->by_name, &backend);

	return report == NULL || is_other_start(report->started_ms, started_ms)
	    ? NULL
	    : report;
}

void
reports_mark_unsent(struct backend_reports *reports, struct str backend)
{
	struct backend_report *report =
	    g_hash_table_lookup(reports->by_name, &backend);

	if (report == NULL)
		return;
	g_ptr_array_remove_fast(reports->unsent, report);
	g_ptr_array_add(reports->unsent, report);
}

unsigned
reports_pop_unsent(
    struct backend_reports *reports, struct backend_report *out, unsigned max)
{
	unsigned n = 0;
	guint last;

	while (n < max && reports->unsent->len > 0) {
		last = reports->unsent->len - 1;
		out[n] = *(struct backend_report *)g_ptr_array_index(
		    reports->unsent, last);
		g_ptr_array_remove_index_fast(reports->unsent, last);
		n++;
	}
	return n;
}

unsigned
reports_next(
    struct backend_reports *reports, struct backend_report *out, unsigned max)
{
	unsigned i, n = MIN(reports->v->len, max);
	const struct backend_report *report;

	for (i = 0; i < n; i++) {
		report = g_ptr_array_index(
		    reports->v, (reports->next + i) % reports->v->len);
		out[i] = *report;
	}
	reports->next = n == 0 ? 0 : (reports->next + n) % reports->v->len;
	return n;
}

void
reports_expire(struct backend_reports *reports, int64_t now)
{
	const struct backend_report *report;
	guint i;

	for (i = reports->v->len; i-- > 0;) {
		report = g_ptr_array_index(reports->v, i);
		if (now - report->reported_at >= REPORT_TTL_NS &&
		    now >= report->pause_until)
			remove_at(reports, i);
	}
}
