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
#include "takeover.h"

/*
 * The backend servers of the shard, with what the configuration, health probes
 * and their own reports show of them.
 */

/* Servers so many times slower than the fastest are outliers. */
enum { OUTLIER_FACTOR = 4 };

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
 * Returns whether a configured server has another address or start time than
 * the known one of this name.  It is then a new instance, to which none of the
 * state of the old one applies.
 */
static bool
is_new_instance(
    const struct pick_backend *b, const struct disp_backend_conf *conf)
{
	return !str_eq(b->address, conf->address) ||
	    (b->started_ms != 0 && conf->started_ms != 0 &&
		b->started_ms != conf->started_ms);
}

/* Applies what the server has reported before, to this box or to another. */
static void
apply_reports(struct disp *d, struct pick_backend *b)
{
	const struct backend_report *report = d->params.reports == NULL
	    ? NULL
	    : reports_find(d->params.reports, b->name, b->started_ms);

	if (report == NULL)
		return;
	b->leaving = b->leaving || report->leaving;
	b->pause_until = MAX(b->pause_until, report->pause_until);
	quota_update(
	    &b->quota, report->rate, report->reported_at, clk_ns(d->clk));
}

void
disp_apply_reports(struct disp *d)
{
	guint i;

	for (i = 0; i < d->backends->len; i++)
		apply_reports(d, g_ptr_array_index(d->backends, i));
	disp_serve_queues(d);
}

/*
 * Adds or updates a backend server.  `first_list` is set if the dispatcher had
 * none before.
 */
static void
update(struct disp *d, const struct disp_backend_conf *conf, bool first_list)
{
	struct pick_backend *b = disp_find_backend(d, conf->name);
	struct takeover_facts facts = {d->params.policy->latency_aware,
	    conf->existed ||
		takeover_started_before(
		    conf->started_ms, d->params.configured_ms),
	    first_list, b != NULL && is_new_instance(b, conf)};
	bool added;

	if (facts.restarted) {
		b->removed = true;
		b = NULL;
	}
	added = b == NULL;
	if (added) {
		b = g_new0(struct pick_backend, 1);
		b->name = str_dup(conf->name);
		b->address = str_dup(conf->address);
		b->state = (enum pick_state)chart_start(d->params.chart);
		if (takeover_presumes_up(&facts))
			b->state = PICK_UP;
		b->last_response_at = clk_ns(d->clk);
		if (d->params.policy->latency_aware)
			b->warm_at = takeover_warm_at(&d->params.cold,
			    conf->slow_start_ns, b->last_response_at);
		b->cold_limit = &d->params.cold;
		disp_cold_suspect(d, b, conf->slow_start_ns);
		g_ptr_array_add(d->backends, b);
	}
	b->slots = conf->slots;
	b->is_new_version = conf->is_new_version;
	b->started_ms = conf->started_ms;
	if (added)
		apply_reports(d, b);
	if (b->evacuated && !conf->evacuated)
		disp_cold_suspect(d, b, conf->slow_start_ns);
	/* It may turn cold at any moment, and its entry then says so anew. */
	if (!added && conf->slow_start_ns > 0 &&
	    conf->entry_version != b->entry_version)
		disp_cold_suspect(d, b, conf->slow_start_ns);
	b->entry_version = conf->entry_version;
	pick_set_evacuated(b, d->params.chart, conf->evacuated);
	if (b->drain_configured != conf->drain)
		pick_set_drain(b, d->params.chart, conf->drain);
	b->drain_configured = conf->drain;
}

static bool
is_listed(const struct disp_backend_conf *v, unsigned n, struct str name)
{
	unsigned i;

	for (i = 0; i < n; i++)
		if (str_eq(v[i].name, name))
			return true;
	return false;
}

void
disp_set_backends(struct disp *d, const struct disp_backend_conf *v, unsigned n)
{
	bool first_list = d->backends->len == 0;
	struct pick_backend *b;
	unsigned i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!is_listed(v, n, b->name))
			b->removed = true;
	}
	for (i = 0; i < n; i++)
		update(d, &v[i], first_list);
	disp_roll_update(d);
	disp_free_removed(d);
	disp_conc_update_limits(d, clk_ns(d->clk));
	disp_cold_query(d, clk_ns(d->clk));
	disp_serve_queues(d);
}

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
 * The mean over the backend servers, without those that are far slower than the
 * fastest.
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
		    b->usual_latency > least * OUTLIER_FACTOR)
			continue;
		sum += b->usual_latency;
		n++;
	}
	return n == 0 ? DEFAULT_LATENCY_NS : sum / n;
}

/*
 * A probe result does not end a drain that is configured in the server's
 * object.  It ends one that the server reported itself, as the response to a
 * probe is a report of the server, too.
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
disp_load_reported(struct disp *d, struct pick_backend *b, int running,
    int waiting, int percent)
{
	disp_work_load_reported(d, percent);
	disp_share_load_reported(d, b, percent, clk_ns(d->clk));
	b->reported_running = running;
	b->reported_waiting = waiting;
	b->reported_latency_percent = percent;
	b->reported_at = clk_ns(d->clk);
	disp_state_load_reported(d, b, 1);
}

void
disp_load_query_done(struct disp *d, struct str backend, bool answered,
    int running, int waiting, int percent)
{
	struct pick_backend *b = disp_find_backend(d, backend);

	if (b == NULL)
		return;
	b->query_pending = false;
	if (answered) {
		b->unanswered_queries = 0;
		b->last_response_at = clk_ns(d->clk);
		b->reports_no_load = percent == 0;
	}
	if (answered && !b->reports_no_load) {
		disp_load_reported(d, b, running, waiting, percent);
		disp_state_load_reported(d, b, 0);
	} else if (!answered) {
		b->unanswered_queries++;
		disp_cold_suspect(d, b, 0);
	}
	disp_crash_query_done(d, b, answered);
	disp_cold_query(d, clk_ns(d->clk));
	disp_state_tick(d, clk_ns(d->clk));
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
	bool was_cold;

	if (b == NULL || d->params.cold.rate <= 0)
		return false;
	was_cold =
	    cold_is_cold(&b->cold, now) && !cold_is_unconfirmed(&b->cold, now);
	cold_set_reported(&b->cold, ns, now);
	return cold_is_cold(&b->cold, now) != was_cold;
}

bool
disp_cold_probed(struct disp *d, struct str backend, int64_t ns)
{
	struct pick_backend *b = disp_find_backend(d, backend);
	int64_t now = clk_ns(d->clk);

	if (b == NULL || ns <= 0 || d->params.cold.rate <= 0 ||
	    cold_is_cold(&b->cold, now))
		return false;
	disp_cold_suspect(d, b, ns);
	disp_cold_query(d, now);
	return true;
}

/*
 * The server's own report has priority over its configuration entry, which may
 * be older or may not be writable now.  It holds until the process ends.
 */
bool
disp_leaving_reported(struct pick_backend *b)
{
	bool changed = !b->leaving;

	b->leaving = true;
	return changed;
}

bool
disp_pause_reported(struct disp *d, struct pick_backend *b, int64_t ns)
{
	int64_t now = clk_ns(d->clk);
	bool changed = ns > 0 && b->pause_until <= now;

	b->pause_until = MAX(b->pause_until, now + ns);
	return changed;
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
	double slots = 0, limited_slots = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->capacity_uncounted || !pick_is_usable(b, now))
			continue;
		if (b->quota.rate > 0)
			limited_slots += disp_report_slots(d, b);
		else
			slots += disp_report_slots(d, b);
	}
	return ceil(slots) + limited_slots;
}

struct disp_capacity
disp_capacity_of(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	struct disp_capacity capacity = {
	    .slots = ceil(disp_usable_slots(d) * SLOT_TENTHS) / SLOT_TENTHS};
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		capacity.free_slots +=
		    b->capacity_uncounted ? 0 : pick_free_slots(b, now);
	}
	for (i = 0; i < QUEUE_COUNT; i++)
		capacity.queued += i == QUEUE_OVER ? 0 : (int)d->queues[i].n;
	return capacity;
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

static bool
is_wanted(const struct pick_backend *b)
{
	return !b->removed && !b->evacuated && !b->version_excluded &&
	    !b->leaving && b->state != PICK_DRAINING;
}

bool
disp_none_responds(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	bool any = false;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!is_wanted(b))
			continue;
		any = true;
		if (!pick_is_presumed_down(b, now))
			return false;
	}
	return any;
}

void
disp_foreach_backend(const struct disp *d, disp_backend_fn *fn, void *ctx)
{
	guint i;

	for (i = 0; i < d->backends->len; i++)
		fn(ctx, g_ptr_array_index(d->backends, i));
}
