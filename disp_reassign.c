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
#include "pace.h"

/*
 * Moves attempts away from slow backend servers.  An attempt that is slowed
 * down is stopped and repeated at another server if it would miss its target or
 * its deadline and the new attempt is expected to meet it.
 */

/* An attempt that took so many times the expected time met a slow period. */
static const double OVERDUE_FACTOR = 2.0;
/* Factor on the service time when the end of a new attempt is estimated. */
static const double NEW_ATTEMPT_MARGIN = 1.2;

enum { DEFAULT_MAX_ATTEMPTS = 3 };

/* Returns the expected end of the current attempt. */
static int64_t
estimate_end(const struct disp *d, const struct disp_req *r, int64_t now)
{
	double ratio = r->backend->service_time_ratio > 0
	    ? r->backend->service_time_ratio
	    : 1;
	double service_time = (double)r->service_time * ratio * r->slowdown;
	double expected =
	    service_time * (r->load_report_fresh ? r->latency_factor : 1);

	if (pick_is_unresponsive(r->backend))
		return INT64_MAX;
	if ((double)(now - r->sent_at) > expected * OVERDUE_FACTOR)
		expected = service_time *
		    MAX(d->slow_latency_factor, r->latency_factor);
	return MAX(r->sent_at + (int64_t)expected, now);
}

/*
 * Returns whether only the new attempt, which ends at `new_end`, meets the
 * target or the deadline.
 */
static bool
is_better_end(const struct disp_req *r, int64_t current_end, int64_t new_end)
{
	if (current_end > r->target && new_end <= r->target)
		return true;
	return current_end > r->deadline && new_end <= r->deadline;
}

static bool
is_movable(struct disp *d, const struct disp_req *r)
{
	int max = r->max_attempts > 0 ? r->max_attempts : DEFAULT_MAX_ATTEMPTS;

	return r->target != 0 && r->service_time != 0 && r->repeatable &&
	    r->attempt_count < max && disp_can_move(d, r);
}

/*
 * Returns the server to which the attempt should be moved now, or NULL.  If no
 * fast server is known, sends load queries; the check is repeated when their
 * responses arrive.
 */
static struct pick_backend *
find_better(struct disp *d, const struct disp_req *r, int64_t now)
{
	struct pick_set set = disp_pick_set(d);
	struct pick_criteria criteria = {
	    r->cls, r->backend, r->service_time, r->over_share};
	int64_t current_end = estimate_end(d, r, now);
	int64_t new_end =
	    now + (int64_t)((double)r->service_time * NEW_ATTEMPT_MARGIN);
	struct pick_backend *b;
	int chosen;

	if (!is_better_end(r, current_end, new_end))
		return NULL;
	chosen = d->params.policy->choose(&set, &criteria, now, d->rnd);
	if (chosen == PICK_NONE || set.v[chosen] == r->backend)
		return NULL;
	b = set.v[chosen];
	if (pace_is_near_usual(b, now)) {
		new_end = now +
		    pace_service_time(
			b, r->service_time, d->mean_latency_factor, now);
		return is_better_end(r, current_end, new_end) ? b : NULL;
	}
	disp_query_best(d, r->service_time, now);
	return NULL;
}

/* Returns the first request to move, and sets the server to move it to. */
static struct disp_req *
first_to_move(struct disp *d, int64_t now, struct pick_backend **to)
{
	struct disp_req *r;
	GList *node;

	for (node = d->inflight.head; node != NULL; node = node->next) {
		r = node->data;
		*to = is_movable(d, r) ? find_better(d, r, now) : NULL;
		if (*to != NULL)
			return r;
	}
	return NULL;
}

/* Each move changes the list, so the search starts again after it. */
void
disp_reassign_slow(struct disp *d, int64_t now)
{
	struct pick_backend *to;
	struct disp_req *r;

	while ((r = first_to_move(d, now, &to)) != NULL)
		disp_move(d, r, to);
}
