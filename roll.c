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
#include "roll.h"

/* Parts of an order's duration at which its steps are taken. */
static const double WIDER_AT = 0.5;
/* The wider step lasts for so much. */
static const double WIDER_LASTS = 0.06;
/* Without a proof by then the old version stays: it is known to work. */
static const double TOO_LATE_AT = 0.85;

/* Share of the requests in the wider step, if the first one is smaller. */
static const double WIDER_SHARE = 0.3;
/* Requests that the new version may be owed at once. */
static const double CREDIT_MAX = 3;

/* Answers of the new version, from all homes, that prove it. */
enum { PROOF_MIN = 30 };

/* Old servers have been left by all for so long before they may end. */
#define SETTLED_NS (300 * NS_MS)
/* What a home told holds for so long. */
#define WORD_FRESH_NS (1200 * NS_MS)
/* One that told of requests at the old version is waited for as long. */
#define WORD_KEPT_NS (3 * NS_S)

static const char *const state_names[] = {
    "waiting", "small", "wider", "all", "completed", "rolled_back"};
static const char *const event_names[] = {
    "servers", "proven", "bad", "completed"};

const struct chart_names roll_chart_names = {
    "rollout", state_names, ROLL_STATE_MAX, event_names, ROLL_EVENT_MAX};

/* A box that is home for a hall, and its last word. */
struct other {
	struct str box, hall;
	struct roll_report word;
	int64_t told;
};

struct roll {
	const struct chart *chart;
	enum roll_state state;
	int64_t since; /* the state's begin */
	struct str version;
	int64_t duration; /* ns */
	int64_t ordered; /* when, as far as any home knows */
	double share; /* of the first step */
	double credit; /* requests that the new version may get */
	struct verdict verdict;
	const char *why;
	bool settled; /* the platform has its end */
	GArray *others; /* struct other */
};

struct roll *
roll_new(const struct obj_rollout *order, const struct chart *chart,
    double share, int64_t now)
{
	struct roll *r = g_new0(struct roll, 1);

	r->chart = chart;
	r->state = (enum roll_state)chart_start(chart);
	r->since = r->ordered = now;
	r->version = str_dup(order->version);
	r->duration = order->duration_ms * NS_MS;
	r->share = share;
	verdict_open(&r->verdict);
	r->others = g_array_new(FALSE, TRUE, sizeof(struct other));
	return r;
}

void
roll_free(struct roll *r)
{
	struct other *o;
	guint i;

	if (r == NULL)
		return;
	for (i = 0; i < r->others->len; i++) {
		o = &g_array_index(r->others, struct other, i);
		str_free(&o->box);
		str_free(&o->hall);
	}
	g_array_free(r->others, TRUE);
	verdict_close(&r->verdict);
	str_free(&r->version);
	g_free(r);
}

/* One that was decided and is open again was ordered anew. */
bool
roll_matches(const struct roll *r, const struct obj_rollout *order)
{
	bool decided = order->state == ROLLOUT_COMPLETED ||
	    order->state == ROLLOUT_ROLLED_BACK;

	return str_eq(r->version, order->version) &&
	    r->duration == order->duration_ms * NS_MS &&
	    (!r->settled || decided);
}

static void
step(struct roll *r, enum roll_event ev, int64_t now)
{
	enum roll_state old = r->state;

	r->state = (enum roll_state)chart_step(r->chart, (int)old, (int)ev);
	if (r->state != old)
		r->since = now;
}

void
roll_set_platform_state(struct roll *r, enum obj_rollout_state state)
{
	r->settled = r->settled || state == ROLLOUT_COMPLETED ||
	    state == ROLLOUT_ROLLED_BACK;
	if (state == ROLLOUT_COMPLETED)
		step(r, ROLL_EV_COMPLETED, r->since);
	if (state != ROLLOUT_ROLLED_BACK)
		return;
	step(r, ROLL_EV_BAD, r->since);
	if (r->why == NULL)
		r->why = "the platform says so";
}

bool
roll_allows(const struct roll *r, bool to_new)
{
	switch (r->state) {
	case ROLL_SMALL:
	case ROLL_WIDER:
		return !to_new || r->credit >= 1;
	case ROLL_ALL:
	case ROLL_COMPLETED:
		return to_new;
	default:
		return !to_new;
	}
}

bool
roll_counts_as_capacity(const struct roll *r, bool is_new)
{
	bool has_moved = r->state == ROLL_ALL || r->state == ROLL_COMPLETED;

	return is_new == has_moved;
}

bool
roll_is_undecided(const struct roll *r)
{
	return r->state != ROLL_COMPLETED && r->state != ROLL_ROLLED_BACK;
}

enum roll_state
roll_state(const struct roll *r)
{
	return r->state;
}

const char *
roll_reason(const struct roll *r)
{
	return r->why;
}

/* The new version's part of all requests, its own among them. */
static double
share_of(const struct roll *r)
{
	if (r->state == ROLL_SMALL)
		return r->share;
	return r->state == ROLL_WIDER ? MAX(r->share, WIDER_SHARE) : 0;
}

void
roll_request_sent(struct roll *r, bool to_new)
{
	r->credit = MIN(r->credit + share_of(r), CREDIT_MAX);
	if (to_new)
		r->credit = MAX(r->credit - 1, 0);
}

static void
convict(struct roll *r, const char *why)
{
	r->why = why;
	step(r, ROLL_EV_BAD, r->since);
}

void
roll_request_ended(
    struct roll *r, bool at_new, unsigned kind, enum verdict_outcome answer)
{
	const char *why;

	if (!roll_is_undecided(r))
		return;
	if (!at_new) {
		verdict_add_old(&r->verdict, kind, answer);
		return;
	}
	why = verdict_add_new(&r->verdict, kind, answer);
	if (why != NULL)
		convict(r, why);
}

/* Answers of the new version at all homes. */
static uint64_t
answers_of(const struct roll *r)
{
	uint64_t n = r->verdict.responses;
	guint i;

	for (i = 0; i < r->others->len; i++)
		n += g_array_index(r->others, struct other, i).word.answers;
	return n;
}

/* Is the time of the state over? */
static bool
is_due(const struct roll *r, int64_t now)
{
	double age = (double)(now - r->ordered);

	if (r->state == ROLL_WIDER)
		return (double)(now - r->since) >=
		    WIDER_LASTS * (double)r->duration;
	return age >= WIDER_AT * (double)r->duration;
}

void
roll_tick(struct roll *r, bool has_new, int64_t now)
{
	bool proven = answers_of(r) >= PROOF_MIN;

	if (has_new)
		step(r, ROLL_EV_SERVERS, now);
	if (proven && r->state != ROLL_WAITING && is_due(r, now))
		step(r, ROLL_EV_PROVEN, now);
	if (!proven && roll_is_undecided(r) &&
	    (double)(now - r->ordered) >= TOO_LATE_AT * (double)r->duration)
		convict(r, "too few answers by now to tell");
}

struct roll_report
roll_make_report(const struct roll *r, unsigned old_out, int64_t now)
{
	return (struct roll_report){.age = now - r->ordered,
	    .state = r->state,
	    .answers = r->verdict.responses,
	    .failures = r->verdict.bad,
	    .old_in_flight = old_out};
}

static struct other *
find_other(struct roll *r, struct str box, struct str hall)
{
	struct other *o, add = {0};
	guint i;

	for (i = 0; i < r->others->len; i++) {
		o = &g_array_index(r->others, struct other, i);
		if (str_eq(o->box, box) && str_eq(o->hall, hall))
			return o;
	}
	add.box = str_dup(box);
	add.hall = str_dup(hall);
	g_array_append_val(r->others, add);
	return &g_array_index(r->others, struct other, r->others->len - 1);
}

void
roll_merge_report(struct roll *r, struct str box, struct str hall,
    const struct roll_report *word, int64_t now)
{
	struct other *o = find_other(r, box, hall);

	o->word = *word;
	o->told = now;
	r->ordered = MIN(r->ordered, now - word->age);
	if (word->state == ROLL_ROLLED_BACK && roll_is_undecided(r))
		convict(r, "another home found it bad");
}

/* Does a home of the hall say that it has left the old version? */
static bool
has_left(const struct roll *r, struct str hall, int64_t now)
{
	const struct other *o;
	guint i;

	for (i = 0; i < r->others->len; i++) {
		o = &g_array_index(r->others, struct other, i);
		if (str_eq(o->hall, hall) && now - o->told <= WORD_FRESH_NS &&
		    o->word.state == ROLL_ALL && o->word.old_in_flight == 0)
			return true;
	}
	return false;
}

/* Did a home say lately that it has not? */
static bool
is_used_by_any(const struct roll *r, int64_t now)
{
	const struct other *o;
	guint i;

	for (i = 0; i < r->others->len; i++) {
		o = &g_array_index(r->others, struct other, i);
		if (now - o->told <= WORD_KEPT_NS &&
		    (o->word.state < ROLL_ALL || o->word.old_in_flight > 0))
			return true;
	}
	return false;
}

/* `halls` are those of the other homes. */
enum obj_rollout_state
roll_state_to_write(const struct roll *r, const struct str *halls, unsigned n,
    unsigned old_out, int64_t now)
{
	unsigned i;

	if (r->state == ROLL_ROLLED_BACK)
		return ROLLOUT_ROLLED_BACK;
	if (r->state == ROLL_COMPLETED)
		return ROLLOUT_COMPLETED;
	if (r->state != ROLL_ALL || old_out > 0 ||
	    now - r->since < SETTLED_NS || is_used_by_any(r, now))
		return ROLLOUT_RUNNING;
	for (i = 0; i < n; i++)
		if (!has_left(r, halls[i], now))
			return ROLLOUT_RUNNING;
	return ROLLOUT_COMPLETED;
}
