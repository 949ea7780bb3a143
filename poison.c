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
 * A word that went to another box and back is a little later each time; what
 * differs by less is the same.
 */
#define SAME_NS (200 * NS_MS)

struct poison {
	const struct clk *clk;
	const struct rnd *rnd;
	GPtrArray *words; /* struct poison_record * */
	bool news;
	poison_changed_fn *changed; /* NULL: nobody listens */
	void *ctx;
};

struct poison *
poison_new(const struct clk *clk, const struct rnd *rnd)
{
	struct poison *p = g_new0(struct poison, 1);

	p->clk = clk;
	p->rnd = rnd;
	p->words = g_ptr_array_new_with_free_func(g_free);
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
	g_ptr_array_free(p->words, TRUE);
	g_free(p);
}

static unsigned
trials(const struct poison_record *w)
{
	unsigned i, n = 0;

	for (i = 0; i < POISON_TRIALS; i++)
		n += w->trial_ids[i] != 0;
	return n;
}

/* What a word says of its caller's request by itself. */
static enum poison_status
judge(const struct poison_record *w, int64_t now)
{
	int64_t age = now - w->crashed_at;

	if (w->cleared_at >= w->crashed_at)
		return POISON_NONE;
	if (age < POISON_HOLD_NS)
		return trials(w) == POISON_TRIALS ? POISON_PROVED
						  : POISON_SUSPECT;
	/* What was tried stays a suspect for the same time again. */
	return trials(w) > 0 && age < 2 * POISON_HOLD_NS ? POISON_SUSPECT
							 : POISON_NONE;
}

static struct poison_record *
find(const struct poison *p, struct fprint print)
{
	struct poison_record *w;
	guint i;

	for (i = 0; i < p->words->len; i++) {
		w = g_ptr_array_index(p->words, i);
		if (fprint_eq(w->fingerprint, print))
			return w;
	}
	return NULL;
}

/* What the words of all callers say of a request. */
struct opinion {
	const struct poison_record *own; /* the caller's; NULL: none */
	unsigned tried; /* callers whose trials ended backend servers lately */
	int64_t ended; /* the last end; 0: it is no suspect */
};

static struct opinion
opinion_of(const struct poison *p, struct fprint print, int64_t now)
{
	struct opinion o = {0};
	const struct poison_record *w;
	guint i;

	for (i = 0; i < p->words->len; i++) {
		w = g_ptr_array_index(p->words, i);
		if (!fprint_same_request(w->fingerprint, print))
			continue;
		if (fprint_eq(w->fingerprint, print))
			o.own = w;
		if (judge(w, now) == POISON_NONE)
			continue;
		o.ended = MAX(o.ended, w->crashed_at);
		o.tried +=
		    trials(w) > 0 && now - w->crashed_at < POISON_HOLD_NS;
	}
	return o;
}

enum poison_status
poison_status_of(const struct poison *p, struct fprint print)
{
	int64_t now = clk_ns(p->clk);
	struct opinion o = opinion_of(p, print, now);

	if (o.ended == 0 || (o.own != NULL && o.own->cleared_at >= o.ended))
		return POISON_NONE;
	if (o.own != NULL && judge(o.own, now) == POISON_PROVED)
		return POISON_PROVED;
	return o.tried >= POISON_CALLERS ? POISON_PROVED : POISON_SUSPECT;
}

/* Tell who listens, if something is thought now that was not before. */
static void
note(struct poison *p, struct fprint print, enum poison_status before)
{
	enum poison_status now = poison_status_of(p, print);

	if (now != before && p->changed != NULL)
		p->changed(p->ctx, print, now);
}

int64_t
poison_retry_at(const struct poison *p, struct fprint print)
{
	struct opinion o = opinion_of(p, print, clk_ns(p->clk));

	return o.ended == 0 ? 0 : o.ended + POISON_HOLD_NS;
}

/* Does one word matter more than another? */
static bool
is_weightier(const struct poison_record *a, const struct poison_record *b)
{
	if (trials(a) != trials(b))
		return trials(a) > trials(b);
	return MAX(a->crashed_at, a->cleared_at) >
	    MAX(b->crashed_at, b->cleared_at);
}

/* What matters least makes room for something new. */
static void
make_room(struct poison *p)
{
	struct poison_record *least = NULL, *w;
	guint i;

	if (p->words->len < POISON_RECORDS_MAX)
		return;
	for (i = 0; i < p->words->len; i++) {
		w = g_ptr_array_index(p->words, i);
		if (least == NULL || is_weightier(least, w))
			least = w;
	}
	g_ptr_array_remove_fast(p->words, least);
}

static struct poison_record *
find_or_add(struct poison *p, struct fprint print)
{
	struct poison_record *w = find(p, print);

	if (w != NULL)
		return w;
	make_room(p);
	w = g_new0(struct poison_record, 1);
	w->fingerprint = print;
	g_ptr_array_add(p->words, w);
	return w;
}

static void
add_trial(struct poison_record *w, uint64_t number)
{
	unsigned i;

	for (i = 0; i < POISON_TRIALS; i++)
		if (w->trial_ids[i] == number)
			return;
	for (i = 0; i < POISON_TRIALS; i++)
		if (w->trial_ids[i] == 0) {
			w->trial_ids[i] = number;
			return;
		}
}

/* Trials from before an answer, or from before its time was over, are void. */
static void
begin_anew(struct poison_record *w, int64_t now)
{
	if (judge(w, now) == POISON_NONE)
		memset(w->trial_ids, 0, sizeof(w->trial_ids));
}

void
poison_record_crash(struct poison *p, struct fprint print, bool trial)
{
	enum poison_status before = poison_status_of(p, print);
	int64_t now = clk_ns(p->clk);
	struct poison_record *w;

	if (fprint_is_none(print))
		return;
	w = find_or_add(p, print);
	begin_anew(w, now);
	w->crashed_at = MAX(now, w->cleared_at + 1);
	if (trial)
		add_trial(w, MAX(p->rnd->next(p->rnd->ctx), 1));
	p->news = p->news || trial;
	note(p, print, before);
}

void
poison_mark_suspect(struct poison *p, struct fprint print)
{
	if (poison_status_of(p, print) == POISON_NONE)
		poison_record_crash(p, print, false);
}

void
poison_record_success(struct poison *p, struct fprint print)
{
	enum poison_status before = poison_status_of(p, print);
	struct poison_record *w;

	if (before == POISON_NONE)
		return;
	w = find_or_add(p, print);
	w->cleared_at = MAX(clk_ns(p->clk), w->crashed_at);
	memset(w->trial_ids, 0, sizeof(w->trial_ids));
	note(p, print, before);
}

/* The union of both, without what an answer has made void. */
static void
merge(struct poison_record *w, const struct poison_record *told)
{
	unsigned i;

	if (told->cleared_at > w->cleared_at + SAME_NS)
		w->cleared_at = told->cleared_at;
	if (told->crashed_at > w->crashed_at + SAME_NS)
		w->crashed_at = told->crashed_at;
	if (w->cleared_at >= w->crashed_at) {
		memset(w->trial_ids, 0, sizeof(w->trial_ids));
		return;
	}
	for (i = 0; told->crashed_at > w->cleared_at && i < POISON_TRIALS; i++)
		if (told->trial_ids[i] != 0)
			add_trial(w, told->trial_ids[i]);
}

void
poison_merge(struct poison *p, const struct poison_record *told)
{
	enum poison_status before = poison_status_of(p, told->fingerprint);

	if (fprint_is_none(told->fingerprint) ||
	    told->crashed_at > clk_ns(p->clk))
		return;
	merge(find_or_add(p, told->fingerprint), told);
	note(p, told->fingerprint, before);
}

static gint
by_weight(gconstpointer pa, gconstpointer pb)
{
	const struct poison_record *const *a = pa, *const *b = pb;

	if (is_weightier(*a, *b))
		return -1;
	return is_weightier(*b, *a);
}

unsigned
poison_records(struct poison *p, struct poison_record *out)
{
	unsigned i, n = MIN(p->words->len, (guint)POISON_MSG_RECORDS_MAX);

	g_ptr_array_sort(p->words, by_weight);
	for (i = 0; i < n; i++)
		out[i] = *(const struct poison_record *)g_ptr_array_index(
		    p->words, i);
	return n;
}

bool
poison_has_unsent_trial(struct poison *p)
{
	bool news = p->news;

	p->news = false;
	return news;
}

/* An answer is remembered as long as an end, so that no old word undoes it. */
static bool
is_over(const struct poison_record *w, int64_t now)
{
	return judge(w, now) == POISON_NONE &&
	    now - MAX(w->crashed_at, w->cleared_at) >= POISON_HOLD_NS;
}

void
poison_expire(struct poison *p)
{
	int64_t now = clk_ns(p->clk);
	guint i;

	for (i = p->words->len; i-- > 0;)
		if (is_over(g_ptr_array_index(p->words, i), now))
			g_ptr_array_remove_index_fast(p->words, i);
}

unsigned
poison_count_proved(const struct poison *p)
{
	const struct poison_record *w;
	unsigned n = 0;
	guint i;

	for (i = 0; i < p->words->len; i++) {
		w = g_ptr_array_index(p->words, i);
		n += poison_status_of(p, w->fingerprint) == POISON_PROVED;
	}
	return n;
}
