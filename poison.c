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
#include <string.h>

#include "poison.h"

/*
 * Times that differ by less are taken as equal, as the time in a record shifts
 * a little whenever the record goes to another box and back.
 */
#define SAME_TIME_NS (200 * NS_MS)

struct poison {
	const struct clk *clk;
	const struct rnd *rnd;
	GPtrArray *records; /* struct poison_record * */
	bool has_unsent_trial;
	poison_changed_fn *changed; /* may be NULL */
	void *ctx;
};

struct poison *
poison_new(const struct clk *clk, const struct rnd *rnd)
{
	struct poison *p = g_new0(struct poison, 1);

	p->clk = clk;
	p->rnd = rnd;
	p->records = g_ptr_array_new_with_free_func(g_free);
	return p;
}

void
poison_listen(struct poison *p, poison_changed_fn *changed, void *ctx)
{
	p->changed = changed;
	p->ctx = ctx;
}

void
poison_free(struct poison *p)
{
	g_ptr_array_free(p->records, TRUE);
	g_free(p);
}

static unsigned
count_trials(const struct poison_record *rec)
{
	unsigned i, n = 0;

	for (i = 0; i < POISON_TRIALS; i++)
		n += rec->trial_ids[i] != 0;
	return n;
}

/* Returns the status of a request by the record of one caller alone. */
static enum poison_status
record_status(const struct poison_record *rec, int64_t now)
{
	int64_t age = now - rec->crashed_at;

	if (rec->cleared_at >= rec->crashed_at)
		return POISON_NONE;
	if (age < POISON_HOLD_NS)
		return count_trials(rec) == POISON_TRIALS ? POISON_PROVED
							  : POISON_SUSPECT;
	/* A request with trials stays a suspect for the same time again. */
	return count_trials(rec) > 0 && age < 2 * POISON_HOLD_NS
	    ? POISON_SUSPECT
	    : POISON_NONE;
}

static struct poison_record *
find(const struct poison *p, struct fprint fingerprint)
{
	struct poison_record *rec;
	guint i;

	for (i = 0; i < p->records->len; i++) {
		rec = g_ptr_array_index(p->records, i);
		if (fprint_eq(rec->fingerprint, fingerprint))
			return rec;
	}
	return NULL;
}

/* The records of all callers for a request. */
struct combined_status {
	const struct poison_record *caller_record; /* NULL: none */
	unsigned callers_tried; /* callers with a recent crash in a trial */
	int64_t last_crash; /* monotonic ns; 0: no suspect */
};

static struct combined_status
combine_records(const struct poison *p, struct fprint fingerprint, int64_t now)
{
	struct combined_status combined = {0};
	const struct poison_record *rec;
	guint i;

	for (i = 0; i < p->records->len; i++) {
		rec = g_ptr_array_index(p->records, i);
		if (!fprint_same_request(rec->fingerprint, fingerprint))
			continue;
		if (fprint_eq(rec->fingerprint, fingerprint))
			combined.caller_record = rec;
		if (record_status(rec, now) == POISON_NONE)
			continue;
		combined.last_crash = MAX(combined.last_crash, rec->crashed_at);
		combined.callers_tried += count_trials(rec) > 0 &&
		    now - rec->crashed_at < POISON_HOLD_NS;
	}
	return combined;
}

enum poison_status
poison_status_of(const struct poison *p, struct fprint fingerprint)
{
	int64_t now = clk_ns(p->clk);
	struct combined_status combined = combine_records(p, fingerprint, now);

	if (combined.last_crash == 0 ||
	    (combined.caller_record != NULL &&
		combined.caller_record->cleared_at >= combined.last_crash))
		return POISON_NONE;
	if (combined.caller_record != NULL &&
	    record_status(combined.caller_record, now) == POISON_PROVED)
		return POISON_PROVED;
	return combined.callers_tried >= POISON_CALLERS ? POISON_PROVED
							: POISON_SUSPECT;
}

/* Calls the callback if the status differs from the one before. */
static void
notify_change(
    struct poison *p, struct fprint fingerprint, enum poison_status before)
{
	enum poison_status now = poison_status_of(p, fingerprint);

	if (now != before && p->changed != NULL)
		p->changed(p->ctx, fingerprint, now);
}

int64_t
poison_retry_at(const struct poison *p, struct fprint fingerprint)
{
	struct combined_status combined =
	    combine_records(p, fingerprint, clk_ns(p->clk));

	return combined.last_crash == 0 ? 0
					: combined.last_crash + POISON_HOLD_NS;
}

/* Order of records: those with more trials first, then the newer ones. */
static bool
ranks_before(const struct poison_record *a, const struct poison_record *b)
{
	if (count_trials(a) != count_trials(b))
		return count_trials(a) > count_trials(b);
	return MAX(a->crashed_at, a->cleared_at) >
	    MAX(b->crashed_at, b->cleared_at);
}

/* If the store is full, removes the record that ranks last. */
static void
evict_least(struct poison *p)
{
	struct poison_record *lowest = NULL, *rec;
	guint i;

	if (p->records->len < POISON_RECORDS_MAX)
		return;
	for (i = 0; i < p->records->len; i++) {
		rec = g_ptr_array_index(p->records, i);
		if (lowest == NULL || ranks_before(lowest, rec))
			lowest = rec;
	}
	g_ptr_array_remove_fast(p->records, lowest);
}

static struct poison_record *
find_or_add(struct poison *p, struct fprint fingerprint)
{
	struct poison_record *rec = find(p, fingerprint);

	if (rec != NULL)
		return rec;
	evict_least(p);
	rec = g_new0(struct poison_record, 1);
	rec->fingerprint = fingerprint;
	g_ptr_array_add(p->records, rec);
	return rec;
}

static void
add_trial(struct poison_record *rec, uint64_t id)
{
	unsigned i;

	for (i = 0; i < POISON_TRIALS; i++)
		if (rec->trial_ids[i] == id)
			return;
	for (i = 0; i < POISON_TRIALS; i++)
		if (rec->trial_ids[i] == 0) {
			rec->trial_ids[i] = id;
			return;
		}
}

/* Drops trials that an answer has cleared or that have expired. */
static void
reset_expired_trials(struct poison_record *rec, int64_t now)
{
	if (record_status(rec, now) == POISON_NONE)
		memset(rec->trial_ids, 0, sizeof(rec->trial_ids));
}

void
poison_record_crash(struct poison *p, struct fprint fingerprint, bool trial)
{
	enum poison_status before = poison_status_of(p, fingerprint);
	int64_t now = clk_ns(p->clk);
	struct poison_record *rec;

	if (fprint_is_none(fingerprint))
		return;
	rec = find_or_add(p, fingerprint);
	reset_expired_trials(rec, now);
	rec->crashed_at = MAX(now, rec->cleared_at + 1);
	if (trial)
		add_trial(rec, MAX(p->rnd->next(p->rnd->ctx), 1));
	p->has_unsent_trial = p->has_unsent_trial || trial;
	notify_change(p, fingerprint, before);
}

void
poison_mark_suspect(struct poison *p, struct fprint fingerprint)
{
	if (poison_status_of(p, fingerprint) == POISON_NONE)
		poison_record_crash(p, fingerprint, false);
}

void
poison_record_success(struct poison *p, struct fprint fingerprint)
{
	enum poison_status before = poison_status_of(p, fingerprint);
	struct poison_record *rec;

	if (before == POISON_NONE)
		return;
	rec = find_or_add(p, fingerprint);
	rec->cleared_at = MAX(clk_ns(p->clk), rec->crashed_at);
	memset(rec->trial_ids, 0, sizeof(rec->trial_ids));
	notify_change(p, fingerprint, before);
}

/* Merges a record into another; trials before an answer are left out. */
static void
merge(struct poison_record *rec, const struct poison_record *received)
{
	unsigned i;

	if (received->cleared_at > rec->cleared_at + SAME_TIME_NS)
		rec->cleared_at = received->cleared_at;
	if (received->crashed_at > rec->crashed_at + SAME_TIME_NS)
		rec->crashed_at = received->crashed_at;
	if (rec->cleared_at >= rec->crashed_at) {
		memset(rec->trial_ids, 0, sizeof(rec->trial_ids));
		return;
	}
	for (i = 0; received->crashed_at > rec->cleared_at && i < POISON_TRIALS;
	     i++)
		if (received->trial_ids[i] != 0)
			add_trial(rec, received->trial_ids[i]);
}

void
poison_merge(struct poison *p, const struct poison_record *received)
{
	enum poison_status before = poison_status_of(p, received->fingerprint);

	if (fprint_is_none(received->fingerprint) ||
	    received->crashed_at > clk_ns(p->clk))
		return;
	merge(find_or_add(p, received->fingerprint), received);
	notify_change(p, received->fingerprint, before);
}

static gint
by_rank(gconstpointer pa, gconstpointer pb)
{
	const struct poison_record *const *a = pa, *const *b = pb;

	if (ranks_before(*a, *b))
		return -1;
	return ranks_before(*b, *a);
}

unsigned
poison_records(struct poison *p, struct poison_record *out)
{
	unsigned i, n = MIN(p->records->len, (guint)POISON_MSG_RECORDS_MAX);

	g_ptr_array_sort(p->records, by_rank);
	for (i = 0; i < n; i++)
		out[i] = *(const struct poison_record *)g_ptr_array_index(
		    p->records, i);
	return n;
}

bool
poison_has_unsent_trial(struct poison *p)
{
	bool unsent = p->has_unsent_trial;

	p->has_unsent_trial = false;
	return unsent;
}

/*
 * An answer is stored as long as a crash, so that an old record from another
 * box cannot make the request a suspect again.
 */
static bool
is_expired(const struct poison_record *rec, int64_t now)
{
	return record_status(rec, now) == POISON_NONE &&
	    now - MAX(rec->crashed_at, rec->cleared_at) >= POISON_HOLD_NS;
}

void
poison_expire(struct poison *p)
{
	int64_t now = clk_ns(p->clk);
	guint i;

	for (i = p->records->len; i-- > 0;)
		if (is_expired(g_ptr_array_index(p->records, i), now))
			g_ptr_array_remove_index_fast(p->records, i);
}

unsigned
poison_count_proved(const struct poison *p)
{
	const struct poison_record *rec;
	unsigned n = 0;
	guint i;

	for (i = 0; i < p->records->len; i++) {
		rec = g_ptr_array_index(p->records, i);
		n += poison_status_of(p, rec->fingerprint) == POISON_PROVED;
	}
	return n;
}
