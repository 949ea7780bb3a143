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

/* When the wider step begins, as a fraction of the roll-out's duration. */
static const double WIDER_AT = 0.5;
/* How long the wider step lasts, as such a fraction. */
static const double WIDER_DURATION = 0.06;
/*
 * How long the old version is kept, as such a fraction, while the new one gets
 * all requests and may still be found bad.
 */
static const double ALL_DURATION = 0.06;
/*
 * When a roll-out is rolled back that has not enough responses, or some that
 * raise doubts, as such a fraction.  The old version stays, as it is known to
 * work.
 */
static const double TOO_LATE_AT = 0.85;

/* Minimum share of the requests in the wider step. */
static const double WIDER_SHARE = 0.3;
/* Maximum burst of requests to the new version. */
static const double BURST_MAX = 3;

/* Responses of the new version to all owners needed for the next step. */
enum { RESPONSES_MIN = 30 };

/* How long the old version is kept after the last step before completion. */
#define OLD_IDLE_NS (300 * NS_MS)
/* How long a report counts as proof that its owner left the old version. */
#define REPORT_FRESH_NS (1200 * NS_MS)
/* How long a report of requests at the old version delays completion. */
#define REPORT_DELAYS_NS (3 * NS_S)

static const char *const state_names[] = {
    "waiting", "small", "wider", "all", "completed", "rolled_back"};
static const char *const event_names[] = {
    "servers", "proven", "bad", "completed"};

const struct chart_names roll_chart_names = {
    "rollout", state_names, ROLL_STATE_MAX, event_names, ROLL_EVENT_MAX};

/* Another owner of the service, and its last report. */
struct owner {
	struct str box, hall;
	struct roll_report report;
	int64_t received; /* when it was received, monotonic ns */
};

struct roll {
	const struct chart *chart;
	enum roll_state state;
	int64_t state_since; /* when the state began, monotonic ns */
	struct str version; /* the new one */
	int64_t duration; /* ns */
	int64_t started; /* when any owner first saw it, monotonic ns */
	double share; /* of the new version in the first step */
	double credit; /* requests that the new version may get now */
	struct verdict verdict;
	const char *reason;
	bool outcome_stored; /* the platform has stored the outcome */
	GArray *owners; /* struct owner */
};

struct roll *
roll_new(const struct obj_rollout *rollout, const struct chart *chart,
    double share, int64_t now)
{
	struct roll *r = g_new0(struct roll, 1);

	r->chart = chart;
	r->state = (enum roll_state)chart_start(chart);
	r->state_since = r->started = now;
	r->version = str_dup(rollout->version);
	r->duration = rollout->duration_ms * NS_MS;
	r->share = share;
	verdict_open(&r->verdict);
	r->owners = g_array_new(FALSE, TRUE, sizeof(struct owner));
	return r;
}

void
roll_free(struct roll *r)
{
	struct owner *o;
	guint i;

	if (r == NULL)
		return;
	for (i = 0; i < r->owners->len; i++) {
		o = &g_array_index(r->owners, struct owner, i);
		str_free(&o->box);
		str_free(&o->hall);
	}
	g_array_free(r->owners, TRUE);
	verdict_close(&r->verdict);
	str_free(&r->version);
	g_free(r);
}

/* If the stored outcome has been removed, the roll-out was started again. */
bool
roll_matches(const struct roll *r, const struct obj_rollout *rollout)
{
	bool decided = rollout->state == ROLLOUT_COMPLETED ||
	    rollout->state == ROLLOUT_ROLLED_BACK;

	return str_eq(r->version, rollout->version) &&
	    r->duration == rollout->duration_ms * NS_MS &&
	    (!r->outcome_stored || decided);
}

void
roll_forget_stored_outcome(struct roll *r)
{
	r->outcome_stored = false;
}

static void
step(struct roll *r, enum roll_event ev, int64_t now)
{
	enum roll_state old = r->state;

	r->state = (enum roll_state)chart_step(r->chart, (int)old, (int)ev);
	if (r->state != old)
		r->state_since = now;
}

void
roll_set_platform_state(struct roll *r, enum obj_rollout_state state)
{
	r->outcome_stored = r->outcome_stored || state == ROLLOUT_COMPLETED ||
	    state == ROLLOUT_ROLLED_BACK;
	if (state == ROLLOUT_COMPLETED)
		step(r, ROLL_EV_COMPLETED, r->state_since);
	if (state != ROLLOUT_ROLLED_BACK)
		return;
	step(r, ROLL_EV_BAD, r->state_since);
	if (r->reason == NULL)
		r->reason = "rolled back on the platform";
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
	return r->reason;
}

/* Returns the share of the new version in all requests. */
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
	r->credit = MIN(r->credit + share_of(r), BURST_MAX);
	if (to_new)
		r->credit = MAX(r->credit - 1, 0);
}

static void
roll_back(struct roll *r, const char *reason)
{
	r->reason = reason;
	step(r, ROLL_EV_BAD, r->state_since);
}

/* Returns what speaks against the new version by the responses to all owners.
 */
static struct verdict_sums
all_sums(const struct roll *r)
{
	struct verdict_sums sums = verdict_get_sums(&r->verdict);
	guint i;

	for (i = 0; i < r->owners->len; i++)
		verdict_sums_add(&sums,
		    &g_array_index(r->owners, struct owner, i).report.sums);
	return sums;
}

/* Rolls back if the new version is worse by the responses to all owners. */
static void
judge(struct roll *r)
{
	struct verdict_sums sums = all_sums(r);
	const char *reason = verdict_by_sums(&sums);

	if (reason != NULL && roll_is_undecided(r))
		roll_back(r, reason);
}

void
roll_request_ended(
    struct roll *r, bool at_new, unsigned kind, enum verdict_outcome answer)
{
	if (!roll_is_undecided(r))
		return;
	if (!at_new) {
		verdict_add_old(&r->verdict, kind, answer);
		return;
	}
	verdict_add_new(&r->verdict, kind, answer);
	judge(r);
}

/* Counts the responses of the new version to all owners. */
static uint64_t
count_responses(const struct roll *r)
{
	uint64_t n = r->verdict.responses;
	guint i;

	for (i = 0; i < r->owners->len; i++)
		n += g_array_index(r->owners, struct owner, i).report.responses;
	return n;
}

/*
 * Returns whether the present step is over: its time is, and the responses
 * raise no doubt.
 */
static bool
is_step_over(const struct roll *r, int64_t now)
{
	double age = (double)(now - r->started);
	struct verdict_sums sums = all_sums(r);

	if (!verdict_is_clear(&sums))
		return false;
	if (r->state == ROLL_WIDER)
		return (double)(now - r->state_since) >=
		    WIDER_DURATION * (double)r->duration;
	return age >= WIDER_AT * (double)r->duration;
}

void
roll_tick(struct roll *r, bool has_new, int64_t now)
{
	bool proven = count_responses(r) >= RESPONSES_MIN;
	struct verdict_sums sums = all_sums(r);

	if (has_new)
		step(r, ROLL_EV_SERVERS, now);
	if (proven && r->state != ROLL_WAITING && is_step_over(r, now))
		step(r, ROLL_EV_PROVEN, now);
	if (!roll_is_undecided(r) ||
	    (double)(now - r->started) < TOO_LATE_AT * (double)r->duration)
		return;
	if (!proven)
		roll_back(r, "too few responses to decide in time");
	else if (!verdict_is_clear(&sums))
		roll_back(r, "too many bad responses to decide in time");
}

struct roll_report
roll_make_report(const struct roll *r, unsigned old_in_flight, int64_t now)
{
	return (struct roll_report){.age = now - r->started,
	    .state = r->state,
	    .responses = r->verdict.responses,
	    .failures = r->verdict.bad,
	    .old_in_flight = old_in_flight,
	    .sums = verdict_get_sums(&r->verdict)};
}

static struct owner *
get_owner(struct roll *r, struct str box, struct str hall)
{
	struct owner *o, add = {0};
	guint i;

	for (i = 0; i < r->owners->len; i++) {
		o = &g_array_index(r->owners, struct owner, i);
		if (str_eq(o->box, box) && str_eq(o->hall, hall))
			return o;
	}
	add.box = str_dup(box);
	add.hall = str_dup(hall);
	g_array_append_val(r->owners, add);
	return &g_array_index(r->owners, struct owner, r->owners->len - 1);
}

void
roll_merge_report(struct roll *r, struct str box, struct str hall,
    const struct roll_report *report, int64_t now)
{
	struct owner *o = get_owner(r, box, hall);

	o->report = *report;
	o->received = now;
	r->started = MIN(r->started, now - report->age);
	if (report->state == ROLL_ROLLED_BACK && roll_is_undecided(r))
		roll_back(r, "rolled back by another owner");
	judge(r);
}

/* Returns whether a hall's owner recently reported leaving the old version. */
static bool
has_left(const struct roll *r, struct str hall, int64_t now)
{
	const struct owner *o;
	guint i;

	for (i = 0; i < r->owners->len; i++) {
		o = &g_array_index(r->owners, struct owner, i);
		if (str_eq(o->hall, hall) &&
		    now - o->received <= REPORT_FRESH_NS &&
		    o->report.state == ROLL_ALL && o->report.old_in_flight == 0)
			return true;
	}
	return false;
}

/* Returns whether an owner recently reported that it uses the old version. */
static bool
is_used_by_other(const struct roll *r, int64_t now)
{
	const struct owner *o;
	guint i;

	for (i = 0; i < r->owners->len; i++) {
		o = &g_array_index(r->owners, struct owner, i);
		if (now - o->received <= REPORT_DELAYS_NS &&
		    (o->report.state < ROLL_ALL || o->report.old_in_flight > 0))
			return true;
	}
	return false;
}

enum obj_rollout_state
roll_state_to_write(const struct roll *r, const struct str *halls, unsigned n,
    unsigned old_in_flight, int64_t now)
{
	int64_t all_min =
	    MAX(OLD_IDLE_NS, (int64_t)(ALL_DURATION * (double)r->duration));
	struct verdict_sums sums = all_sums(r);
	unsigned i;

	if (r->state == ROLL_ROLLED_BACK)
		return ROLLOUT_ROLLED_BACK;
	if (r->state == ROLL_COMPLETED)
		return ROLLOUT_COMPLETED;
	if (r->state != ROLL_ALL || old_in_flight > 0 ||
	    now - r->state_since < all_min || !verdict_is_clear(&sums) ||
	    is_used_by_other(r, now))
		return ROLLOUT_RUNNING;
	for (i = 0; i < n; i++)
		if (!has_left(r, halls[i], now))
			return ROLLOUT_RUNNING;
	return ROLLOUT_COMPLETED;
}
