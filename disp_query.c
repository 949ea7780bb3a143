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
 * Load queries to backend servers.  A load report is outdated after some tens
 * of milliseconds, and a request that starts in a slow period stays slow to its
 * end.  So if no recent report shows a fast server, a request gets some servers
 * queried, and waits for a fast one as long as it can still meet its target.
 */

/* Shortest interval of queries to one backend server. */
#define QUERY_GAP_NS (10 * NS_MS)
/* The same for one that left the last queries unanswered. */
#define UNRESPONSIVE_GAP_NS (100 * NS_MS)
/* A server with no free slot is queried after so long without a response. */
#define SILENCE_NS (300 * NS_MS)
/* Longest wait for query results of a request without a target. */
#define QUERY_WAIT_NS (12 * NS_MS)

enum {
	QUERY_FANOUT = 3, /* backend servers queried at once for a request */
	ROUND_ROBIN_MAX = 32 /* outstanding queries of round-robin querying */
};

/* Share of the service time that is kept as a margin before the target. */
static const double START_MARGIN = 0.35;

static bool
can_query(const struct disp *d, const struct pick_backend *b, int64_t now)
{
	return d->ops.query_load != NULL && !b->reports_no_load &&
	    !b->query_pending && now - b->queried_at >= QUERY_GAP_NS;
}

/*
 * Sends a query to a backend server, whether it reports its load or not.
 * Returns false if a query is outstanding, or the last one was sent less than
 * `gap` ns ago.
 */
bool
disp_query_after_gap(
    struct disp *d, struct pick_backend *b, int64_t gap, int64_t now)
{
	if (d->ops.query_load == NULL || b->query_pending ||
	    now - b->queried_at < gap)
		return false;
	b->query_pending = true;
	b->queried_at = now;
	b->query_connected = false;
	d->ops.query_load(d->ops.ctx, b);
	return true;
}

/*
 * Queries the load of a backend server.  Returns false if that was done just
 * now or the server does not report its load.
 */
bool
disp_query_one(struct disp *d, struct pick_backend *b, int64_t now)
{
	return !b->reports_no_load &&
	    disp_query_after_gap(d, b, QUERY_GAP_NS, now);
}

/*
 * Returns the backend server with the shortest expected service time among
 * those that have a free slot, no recent report, and can be queried; NULL if
 * none.
 */
static struct pick_backend *
best_to_query(const struct disp *d, int64_t service_time, int64_t now)
{
	struct pick_backend *b, *best = NULL;
	int64_t t, least = INT64_MAX;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (pick_free_slots(b, now) == 0 ||
		    pace_report_is_fresh(b, now) || !can_query(d, b, now))
			continue;
		t = pace_service_time(
		    b, service_time, d->mean_latency_factor, now);
		if (t < least) {
			least = t;
			best = b;
		}
	}
	return best;
}

/* Queries the most promising servers with free slots. */
void
disp_query_best(struct disp *d, int64_t service_time, int64_t now)
{
	struct pick_backend *b;
	unsigned i;

	for (i = 0; i < QUERY_FANOUT; i++) {
		b = best_to_query(d, service_time, now);
		if (b == NULL)
			return;
		disp_query_one(d, b, now);
	}
}

static unsigned
count_outstanding(const struct disp *d)
{
	const struct pick_backend *b;
	unsigned n = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		n += b->query_pending;
	}
	return n;
}

/*
 * Queries the servers for which a condition holds in turn, with a limit on
 * outstanding queries.  Without the limit, queries to the 430 servers of a hall
 * that had failed opened 4,500 connections a second and took 190 MB in the box
 * that owned the shard.
 */
void
disp_query_round_robin(struct disp *d,
    bool (*condition)(const struct pick_backend *, int64_t now), int64_t gap,
    int64_t now)
{
	unsigned outstanding = count_outstanding(d);
	struct pick_backend *b;
	guint i, n = d->backends->len;

	for (i = 0; i < n && outstanding < ROUND_ROBIN_MAX; i++) {
		b = g_ptr_array_index(d->backends, (d->query_next + i) % n);
		outstanding +=
		    condition(b, now) && disp_query_after_gap(d, b, gap, now);
	}
	d->query_next = n == 0 ? 0 : (d->query_next + i) % n;
}

/*
 * Returns whether a server has no free slot and has been silent: the requests
 * there may take long, or its connections hang.  Only servers that report their
 * load answer a query while they are busy.  One that is reserved for a trial is
 * left alone: if it crashes there and restarts before the request's deadline,
 * its answer would hide the crash.
 */
static bool
is_busy_and_silent(const struct pick_backend *b, int64_t now)
{
	return b->inflight > 0 && !b->reserved_for_trial &&
	    b->reported_at != 0 && !b->reports_no_load &&
	    now - b->last_response_at >= SILENCE_NS &&
	    pick_free_slots(b, now) == 0;
}

static bool
needs_query(const struct pick_backend *b, int64_t now)
{
	return (pick_is_unresponsive(b) || is_busy_and_silent(b, now)) &&
	    !b->removed && !b->evacuated && !b->leaving &&
	    b->state != PICK_DRAINING;
}

/*
 * Queries servers that left queries unanswered, or may do so.  They get no
 * requests, so only a query can show that they work again.  If servers that are
 * unreachable counted as usable, the shard's owner would queue requests for
 * them until their deadlines and refuse them only then.
 */
void
disp_query_unresponsive(struct disp *d, int64_t now)
{
	disp_query_round_robin(d, needs_query, UNRESPONSIVE_GAP_NS, now);
}

/*
 * Returns how many servers have a free slot and report their load.  *fast is
 * set if a recent report shows that one of them is fast, *queried if one of
 * them has an outstanding query.
 */
static unsigned
count_free(const struct disp *d, int64_t now, bool *fast, bool *queried)
{
	const struct pick_backend *b;
	unsigned n = 0;
	guint i;

	*fast = *queried = false;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (pick_free_slots(b, now) == 0 || b->reports_no_load)
			continue;
		n++;
		*fast = *fast || pace_is_near_usual(b, now);
		*queried = *queried || b->query_pending;
	}
	return n;
}

/* Returns the time at which the request is sent even without a fast server. */
static int64_t
latest_start(const struct disp_req *r, int64_t now)
{
	if (r->target == 0)
		return r->queried ? 0 : now + QUERY_WAIT_NS;
	return r->target -
	    (int64_t)((double)r->service_time * (1 + START_MARGIN));
}

/*
 * Returns whether the request should wait for a fast server before it is sent;
 * if so, servers have been queried.
 */
bool
disp_query_before_send(struct disp *d, struct disp_req *r, int64_t now)
{
	bool fast, queried;

	if (!d->params.policy->latency_aware || d->ops.query_load == NULL ||
	    r->service_time == 0 || now >= latest_start(r, now))
		return false;
	if (count_free(d, now, &fast, &queried) == 0 || fast)
		return false;
	/* All queried servers are slow; another hall has free slots. */
	if (r->queried && !queried && r->can_forward &&
	    disp_forward_has_capacity(d, r, now))
		return false;
	disp_query_best(d, r->service_time, now);
	r->queried = true;
	return true;
}
