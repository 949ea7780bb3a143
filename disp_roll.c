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
#include "libdisp.h"

/*
 * Two versions of a service, while a roll-out replaces one by the other.
 *
 * The servers of the new version start beside the old ones.  As they are idle
 * and respond fast they would get most of the requests at once; or they would
 * get none, as their load is not known.  So they may be chosen only while they
 * have got less than their share of the requests, and are then preferred.
 * Their capacity is not counted until they get all requests.
 */

enum {
	/*
	 * Free servers of the new version that are needed to prefer it: among
	 * so many one is nearly always fast.  If it has fewer usable servers,
	 * all of them must be free, as nothing would be learned otherwise.
	 */
	PREFER_FREE_MIN = 3,
	/* With more queued requests the new version is not preferred. */
	PREFER_QUEUED_MAX = 3
};

/* A response is slow if it took so many times the expected time, */
static const double SLOW_FACTOR = 3;
/* and so much longer: new servers first need a new connection each. */
#define SLOW_MIN_EXCESS_NS (10 * NS_MS)

/* Updates what the roll-out allows for a backend server. */
static void
mark_backend(struct pick_backend *b, const struct disp *d)
{
	const struct roll *roll = d->params.rollout;

	b->version_excluded =
	    !(b->is_new_version ? d->new_allowed : d->old_allowed);
	b->version_deferred = d->prefer_new && !b->is_new_version;
	b->capacity_uncounted =
	    roll != NULL && !roll_counts_as_capacity(roll, b->is_new_version);
}

/* Returns whether servers of the new version are preferred now. */
static bool
should_prefer_new(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	unsigned all = 0, n = 0;
	guint i;

	if (d->queues[CLASS_INTERACTIVE].n > PREFER_QUEUED_MAX)
		return false;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		all += b->is_new_version && pick_is_usable(b, now);
		n += b->is_new_version && pick_free_slots(b, now) > 0;
	}
	return n > 0 && n >= MIN(all, PREFER_FREE_MIN);
}

void
disp_roll_update(struct disp *d)
{
	const struct roll *roll = d->params.rollout;
	guint i;

	d->new_allowed = roll == NULL || roll_allows(roll, true);
	d->old_allowed = roll == NULL || roll_allows(roll, false);
	d->prefer_new = false;
	for (i = 0; i < d->backends->len; i++)
		mark_backend(g_ptr_array_index(d->backends, i), d);
}

/* Updates the marks if needed; called before a server is chosen. */
void
disp_roll_update_if_changed(struct disp *d)
{
	const struct roll *roll = d->params.rollout;
	bool prefer_new;
	guint i;

	if (roll == NULL)
		return;
	if (d->new_allowed != roll_allows(roll, true) ||
	    d->old_allowed != roll_allows(roll, false))
		disp_roll_update(d);
	prefer_new = d->new_allowed && d->old_allowed && should_prefer_new(d);
	if (prefer_new == d->prefer_new)
		return;
	d->prefer_new = prefer_new;
	for (i = 0; i < d->backends->len; i++)
		mark_backend(g_ptr_array_index(d->backends, i), d);
}

void
disp_roll_attempt_sent(struct disp *d, const struct pick_backend *b)
{
	if (d->params.rollout == NULL)
		return;
	roll_request_sent(d->params.rollout, b->is_new_version);
	disp_roll_update_if_changed(d);
}

/*
 * Returns whether the attempt was slower than expected.  If the server reports
 * its load but no report was recent, an attempt never counts as slow, as it may
 * have met a slow period of the server.
 */
static bool
is_slow(const struct disp *d, const struct disp_req *r,
    const struct pick_backend *b)
{
	double elapsed = (double)(clk_ns(d->clk) - r->sent_at);
	double expected = (double)r->service_time * r->slowdown;

	if (r->service_time == 0 ||
	    (!r->load_report_fresh && !b->reports_no_load))
		return false;
	if (r->load_report_fresh)
		expected *= r->latency_factor;
	return elapsed > SLOW_FACTOR * expected &&
	    elapsed - expected > SLOW_MIN_EXCESS_NS;
}

static enum verdict_outcome
classify_response(const struct disp *d, const struct disp_req *r,
    const struct pick_backend *b, enum disp_outcome outcome)
{
	switch (outcome) {
	case DISP_SERVER_ERROR:
	case DISP_CONN_BROKEN:
		return VERDICT_FAILED;
	case DISP_OK:
		return is_slow(d, r, b) ? VERDICT_SLOW : VERDICT_GOOD;
	case DISP_STOPPED_SLOW:
		return r->load_report_fresh || b->reports_no_load
		    ? VERDICT_SLOW
		    : VERDICT_IGNORED;
	case DISP_TIMED_OUT:
	case DISP_CANCELED:
		return is_slow(d, r, b) ? VERDICT_SLOW : VERDICT_IGNORED;
	default:
		return VERDICT_IGNORED;
	}
}

void
disp_roll_attempt_done(struct disp *d, const struct disp_req *r,
    const struct pick_backend *b, enum disp_outcome outcome)
{
	struct roll *roll = d->params.rollout;

	if (roll == NULL)
		return;
	roll_request_ended(roll, b->is_new_version, r->kind,
	    classify_response(d, r, b, outcome));
	disp_roll_update_if_changed(d);
}

bool
disp_roll_is_canary(const struct disp *d, const struct pick_backend *b)
{
	const struct roll *roll = d->params.rollout;

	return roll != NULL && b->is_new_version &&
	    !roll_counts_as_capacity(roll, true);
}

unsigned
disp_old_version_inflight(const struct disp *d)
{
	const struct pick_backend *b;
	unsigned n = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		n += b->is_new_version ? 0 : (unsigned)b->inflight;
	}
	return n;
}
