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
#include <math.h>

#include "libdisp.h"

/*
 * The shard's backend servers, as configuration, probes and they themselves
 * tell.
 */

/* Those so many times as slow as the fastest say nothing of the rest. */
enum { FAR_FACTOR = 4 };

struct pick_set
disp_pick_set(const struct disp *d)
{
	struct pick_set set = {(struct pick_backend **)d->backends->pdata,
	    d->backends->len, d->params.bulk_percent, d->mean_latency_factor};

	return set;
}

static void
backend_free(struct disp *d, struct pick_backend *b)
{
	disp_crash_resolve(d, b, false);
	if (d->trial_reserved == b)
		d->trial_reserved = NULL;
	d->ops.release(d->ops.ctx, b);
	str_free(&b->name);
	str_free(&b->address);
	g_free(b);
}

void
disp_free_backends(struct disp *d)
{
	guint i;

	for (i = 0; i < d->backends->len; i++)
		backend_free(d, g_ptr_array_index(d->backends, i));
	g_ptr_array_free(d->backends, TRUE);
}

struct pick_backend *
disp_find_backend(const struct disp *d, struct str name)
{
	struct pick_backend *b;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!b->removed && str_eq(b->name, name))
			return b;
	}
	return NULL;
}

/*
 * Has it another address, or started anew under its name?  Then it holds
 * nothing of what was there, and none of what we know of it holds.
 */
static bool
is_another(const struct pick_backend *b, const struct disp_backend_conf *conf)
{
	return !str_eq(b->address, conf->address) ||
	    (b->started_ms != 0 && conf->started_ms != 0 &&
		b->started_ms != conf->started_ms);
}

/* Go by what it said before, to this box or another. */
static void
recall(struct disp *d, struct pick_backend *b)
{
	const struct backend_report *w = d->params.reports == NULL
	    ? NULL
	    : reports_find(d->params.reports, b->name, b->started_ms);

	if (w == NULL)
		return;
	b->leaving = b->leaving || w->leaving;
	b->pause_until = MAX(b->pause_until, w->pause_until);
	quota_update(&b->quota, w->rate, w->reported_at, clk_ns(d->clk));
}

void
disp_apply_reports(struct disp *d)
{
	guint i;

	for (i = 0; i < d->backends->len; i++)
		recall(d, g_ptr_array_index(d->backends, i));
	disp_serve_queues(d);
}

/*
 * Known ones have served before we learned of them, and are warm.
 */
static void
update(struct disp *d, const struct disp_backend_conf *conf, bool known)
{
	struct pick_backend *b = disp_find_backend(d, conf->name);
	bool fresh;

	if (b != NULL && is_another(b, conf)) {
		b->removed = true;
		b = NULL;
	}
	fresh = b == NULL;
	if (fresh) {
		b = g_new0(struct pick_backend, 1);
		b->name = str_dup(conf->name);
		b->address = str_dup(conf->address);
		b->state = (enum pick_state)chart_start(d->params.chart);
		if (known)
			b->state = PICK_UP;
		b->last_answer_at = clk_ns(d->clk);
		b->cold_limit = &d->params.cold;
		disp_cold_suspect(d, b, conf->slow_start_ns);
		g_ptr_array_add(d->backends, b);
	}
	b->slots = conf->slots;
	b->is_new_version = conf->is_new_version;
	b->started_ms = conf->started_ms;
	if (fresh)
		recall(d, b);
	if (b->evacuated && !conf->evacuated)
		disp_cold_suspect(d, b, conf->slow_start_ns);
	pick_set_evacuated(b, d->params.chart, conf->evacuated);
	if (b->drain_configured != conf->drain)
		pick_set_drain(b, d->params.chart, conf->drain);
	b->drain_configured = conf->drain;
}

static bool
listed(const struct disp_backend_conf *v, unsigned n, struct str name)
{
	unsigned i;

	for (i = 0; i < n; i++)
		if (str_eq(v[i].name, name))
			return true;
	return false;
}

/*
 * The first list of a gate that has just become home tells nothing of when its
 * backend servers started.  Taken for cold, they would get one request each
 * while all that came in an outage waits.
 */
void
disp_set_backends(struct disp *d, const struct disp_backend_conf *v, unsigned n)
{
	bool first = d->backends->len == 0 && d->params.policy->latency_aware;
	struct pick_backend *b;
	unsigned i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!listed(v, n, b->name))
			b->removed = true;
	}
	for (i = 0; i < n; i++)
		update(d, &v[i], first);
	disp_roll_update(d);
	disp_free_removed(d);
	disp_conc_update_limits(d, clk_ns(d->clk));
	disp_cold_query(d, clk_ns(d->clk));
	disp_serve_queues(d);
}

/* Free the backend servers that are gone and have answered all. */
void
disp_free_removed(struct disp *d)
{
	struct pick_backend *b;
	guint i;

	for (i = d->backends->len; i-- > 0;) {
		b = g_ptr_array_index(d->backends, i);
		if (!b->removed || b->inflight > 0)
			continue;
		g_ptr_array_remove_index_fast(d->backends, i);
		backend_free(d, b);
	}
}

/*
 * What a request usually takes here: the mean over the backend servers, but
 * for those that are far slower than the fastest.
 */
int64_t
disp_usual_latency(const struct disp *d)
{
	const struct pick_backend *b;
	int64_t sum = 0, least = 0;
	guint i, n = 0;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->usual_latency > 0 &&
		    (least == 0 || b->usual_latency < least))
			least = b->usual_latency;
	}
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->usual_latency == 0 ||
		    b->usual_latency > least * FAR_FACTOR)
			continue;
		sum += b->usual_latency;
		n++;
	}
	return n == 0 ? DEFAULT_LATENCY_NS : sum / n;
}

/*
 * A drain that its object tells is not undone by a probe; one that the backend
 * server told itself is, as what it answers to a probe is its word, too.
 */
void
disp_probe_result(struct disp *d, struct str backend, bool down, bool drain)
{
	struct pick_backend *b = disp_find_backend(d, backend);

	if (b == NULL)
		return;
	b->probe_down = down;
	if (drain)
		pick_set_drain(b, d->params.chart, true);
	else if (!down && !b->drain_configured && b->state == PICK_DRAINING)
		pick_set_drain(b, d->params.chart, false);
	if (!drain && !down)
		b->leaving = false;
	disp_serve_queues(d);
}

void
disp_load_reported(
    struct disp *d, struct pick_backend *b, int running, int waiting, int pace)
{
	disp_work_load_reported(d, pace);
	b->reported_running = running;
	b->reported_waiting = waiting;
	b->reported_latency_percent = pace;
	b->reported_at = clk_ns(d->clk);
}

/* Two questions in a row without an answer speak against a backend server. */
void
disp_load_query_done(struct disp *d, struct str backend, bool answered,
    int running, int waiting, int pace)
{
	struct pick_backend *b = disp_find_backend(d, backend);

	if (b == NULL)
		return;
	b->query_pending = false;
	if (answered) {
		b->unanswered_queries = 0;
		b->last_answer_at = clk_ns(d->clk);
		b->reports_no_load = pace == 0;
	}
	if (answered && !b->reports_no_load) {
		disp_load_reported(d, b, running, waiting, pace);
	} else if (!answered) {
		b->unanswered_queries++;
		disp_cold_suspect(d, b, 0);
	}
	disp_crash_query_done(d, b, answered);
	disp_cold_query(d, clk_ns(d->clk));
	if (d->params.policy->latency_aware)
		disp_reassign_slow(d, clk_ns(d->clk));
	disp_serve_queues(d);
}

void
disp_load_query_connected(struct disp *d, struct str backend)
{
	struct pick_backend *b = disp_find_backend(d, backend);

	if (b != NULL)
		b->query_connected = true;
}

bool
disp_cold_reported(struct disp *d, struct str backend, int64_t ns)
{
	struct pick_backend *b = disp_find_backend(d, backend);
	int64_t now = clk_ns(d->clk);
	bool knew;

	if (b == NULL || d->params.cold.rate <= 0)
		return false;
	knew =
	    cold_is_cold(&b->cold, now) && !cold_is_unconfirmed(&b->cold, now);
	cold_set_reported(&b->cold, ns, now);
	return cold_is_cold(&b->cold, now) != knew;
}

/*
 * Its own word goes before its entry, which may be of before or cannot be
 * written: it holds for as long as it lives.
 */
bool
disp_leaving_reported(struct pick_backend *b)
{
	bool news = !b->leaving;

	b->leaving = true;
	return news;
}

bool
disp_pause_reported(struct disp *d, struct pick_backend *b, int64_t ns)
{
	int64_t now = clk_ns(d->clk);
	bool news = ns > 0 && b->pause_until <= now;

	b->pause_until = MAX(b->pause_until, now + ns);
	return news;
}

bool
disp_quota_reported(
    struct disp *d, struct pick_backend *b, double rate, int64_t sent)
{
	return quota_update(&b->quota, rate, sent, clk_ns(d->clk));
}

double
disp_usable_slots(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	double slots = 0, bound = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->capacity_uncounted || !pick_is_usable(b, now))
			continue;
		if (b->quota.rate > 0)
			bound += disp_report_slots(d, b);
		else
			slots += disp_report_slots(d, b);
	}
	return ceil(slots) + bound;
}

struct disp_capacity
disp_capacity_of(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	struct disp_capacity room = {
	    .slots = ceil(disp_usable_slots(d) * SLOT_TENTHS) / SLOT_TENTHS};
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		room.free_slots +=
		    b->capacity_uncounted ? 0 : pick_free_slots(b, now);
	}
	for (i = 0; i < QUEUE_COUNT; i++)
		room.queued += (int)d->queues[i].n;
	return room;
}

unsigned
disp_usable_backends(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	unsigned n = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		n += !b->capacity_uncounted && pick_is_usable(b, now);
	}
	return n;
}

void
disp_foreach_backend(const struct disp *d, disp_backend_fn *visit, void *ctx)
{
	guint i;

	for (i = 0; i < d->backends->len; i++)
		visit(ctx, g_ptr_array_index(d->backends, i));
}
