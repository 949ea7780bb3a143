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
 * The backend servers of the shard, with what the configuration, health probes
 * and their own reports show of them.
 */

/* Servers so many times slower than the fastest are outliers. */
enum { OUTLIER_FACTOR = 4 };

struct pick_set
disp_set_of(const struct disp *d)
{
	struct pick_set set = {(struct pick_backend **)d->backends->pdata,
	    d->backends->len, d->params.bulk_percent, d->mean_pace};

	return set;
}

static void
backend_free(struct disp *d, struct pick_backend *b)
{
	disp_doubt_settle(d, b, false);
	if (d->emptied == b)
		d->emptied = NULL;
	d->ops.release(d->ops.ctx, b);
	str_free(&b->name);
	str_free(&b->address);
	g_free(b);
}

void
disp_set_free(struct disp *d)
{
	guint i;

	for (i = 0; i < d->backends->len; i++)
		backend_free(d, g_ptr_array_index(d->backends, i));
	g_ptr_array_free(d->backends, TRUE);
}

struct pick_backend *
disp_find(const struct disp *d, struct str name)
{
	struct pick_backend *b;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!b->gone && str_eq(b->name, name))
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
is_new_instance(const struct pick_backend *b, const struct disp_backend *conf)
{
	return !str_eq(b->address, conf->address) ||
	    (b->born_ms != 0 && conf->born_ms != 0 &&
		b->born_ms != conf->born_ms);
}

/* Applies what the server has reported before, to this box or to another. */
static void
apply_reports(struct disp *d, struct pick_backend *b)
{
	const struct word *w = d->params.words == NULL
	    ? NULL
	    : words_find(d->params.words, b->name, b->born_ms);

	if (w == NULL)
		return;
	b->leaves = b->leaves || w->leaves;
	b->rest_until = MAX(b->rest_until, w->rest_until);
	quota_told(&b->quota, w->rate, w->heard, clk_ns(d->clk));
}

void
disp_words_told(struct disp *d)
{
	guint i;

	for (i = 0; i < d->backends->len; i++)
		apply_reports(d, g_ptr_array_index(d->backends, i));
	disp_serve(d);
}

/*
 * Adds or updates a backend server.  `assume_up` is set for servers that
 * probably served requests before this dispatcher learned of them.
 */
static void
update(struct disp *d, const struct disp_backend *conf, bool assume_up)
{
	struct pick_backend *b = disp_find(d, conf->name);
	bool added;

	if (b != NULL && is_new_instance(b, conf)) {
		b->gone = true;
		b = NULL;
	}
	added = b == NULL;
	if (added) {
		b = g_new0(struct pick_backend, 1);
		b->name = str_dup(conf->name);
		b->address = str_dup(conf->address);
		b->state = (enum pick_state)chart_start(d->params.chart);
		if (assume_up)
			b->state = PICK_UP;
		b->heard_at = clk_ns(d->clk);
		b->cold_bound = &d->params.cold;
		disp_cold_suspect(d, b, conf->warm_ns);
		g_ptr_array_add(d->backends, b);
	}
	b->slots = conf->slots;
	b->is_new = conf->is_new;
	b->born_ms = conf->born_ms;
	if (added)
		apply_reports(d, b);
	if (b->evacuated && !conf->evacuated)
		disp_cold_suspect(d, b, conf->warm_ns);
	pick_evacuate(b, d->params.chart, conf->evacuated);
	if (b->drain_told != conf->drain)
		pick_drain(b, d->params.chart, conf->drain);
	b->drain_told = conf->drain;
}

static bool
is_listed(const struct disp_backend *v, unsigned n, struct str name)
{
	unsigned i;

	for (i = 0; i < n; i++)
		if (str_eq(v[i].name, name))
			return true;
	return false;
}

/*
 * The first list of a gate that has just become the shard's owner does not show
 * when its backend servers started.  If they started in the chart's state for
 * cold servers, each would get one request at a time while all requests that
 * arrived during an outage wait.
 */
void
disp_backends(struct disp *d, const struct disp_backend *v, unsigned n)
{
	bool first = d->backends->len == 0 && d->params.policy->paced;
	struct pick_backend *b;
	unsigned i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!is_listed(v, n, b->name))
			b->gone = true;
	}
	for (i = 0; i < n; i++)
		update(d, &v[i], first);
	disp_roll_mark(d);
	disp_sweep(d);
	disp_conc_set(d, clk_ns(d->clk));
	disp_cold_ask(d, clk_ns(d->clk));
	disp_serve(d);
}

void
disp_sweep(struct disp *d)
{
	struct pick_backend *b;
	guint i;

	for (i = d->backends->len; i-- > 0;) {
		b = g_ptr_array_index(d->backends, i);
		if (!b->gone || b->inflight > 0)
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
disp_usual(const struct disp *d)
{
	const struct pick_backend *b;
	int64_t sum = 0, least = 0;
	guint i, n = 0;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->usual > 0 && (least == 0 || b->usual < least))
			least = b->usual;
	}
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->usual == 0 || b->usual > least * OUTLIER_FACTOR)
			continue;
		sum += b->usual;
		n++;
	}
	return n == 0 ? USUAL_UNKNOWN_NS : sum / n;
}

/*
 * A probe result does not end a drain that is configured in the server's
 * object. It ends one that the server reported itself, as the answer to a probe
 * is a report of the server, too.
 */
void
disp_health(struct disp *d, struct str backend, bool down, bool drain)
{
	struct pick_backend *b = disp_find(d, backend);

	if (b == NULL)
		return;
	b->probe_down = down;
	if (drain)
		pick_drain(b, d->params.chart, true);
	else if (!down && !b->drain_told && b->state == PICK_DRAINING)
		pick_drain(b, d->params.chart, false);
	if (!drain && !down)
		b->leaves = false;
	disp_serve(d);
}

void
disp_load_told(struct disp *d, struct pick_backend *b, int running, int waiting,
    int percent)
{
	disp_work_told(d, percent);
	b->told_running = running;
	b->told_waiting = waiting;
	b->told_pace = percent;
	b->told_at = clk_ns(d->clk);
}

void
disp_peeked(struct disp *d, struct str backend, bool answered, int running,
    int waiting, int percent)
{
	struct pick_backend *b = disp_find(d, backend);

	if (b == NULL)
		return;
	b->peeking = false;
	if (answered) {
		b->silent = 0;
		b->heard_at = clk_ns(d->clk);
		b->mute = percent == 0;
	}
	if (answered && !b->mute) {
		disp_load_told(d, b, running, waiting, percent);
	} else if (!answered) {
		b->silent++;
		disp_cold_suspect(d, b, 0);
	}
	disp_doubt_peeked(d, b, answered);
	disp_cold_ask(d, clk_ns(d->clk));
	if (d->params.policy->paced)
		disp_move(d, clk_ns(d->clk));
	disp_serve(d);
}

void
disp_reached(struct disp *d, struct str backend)
{
	struct pick_backend *b = disp_find(d, backend);

	if (b != NULL)
		b->reached = true;
}

bool
disp_cold_told(struct disp *d, struct str backend, int64_t ns)
{
	struct pick_backend *b = disp_find(d, backend);
	int64_t now = clk_ns(d->clk);
	bool was_confirmed;

	if (b == NULL || d->params.cold.rate <= 0)
		return false;
	was_confirmed = cold_is(&b->cold, now) && !cold_in_doubt(&b->cold, now);
	cold_told(&b->cold, ns, now);
	return cold_is(&b->cold, now) != was_confirmed;
}

/*
 * The server's own report has priority over its configuration entry, which may
 * be older or may not be writable now.  It holds until the process ends.
 */
bool
disp_leaves_told(struct pick_backend *b)
{
	bool changed = !b->leaves;

	b->leaves = true;
	return changed;
}

bool
disp_rest_told(struct disp *d, struct pick_backend *b, int64_t ns)
{
	int64_t now = clk_ns(d->clk);
	bool changed = ns > 0 && b->rest_until <= now;

	b->rest_until = MAX(b->rest_until, now + ns);
	return changed;
}

bool
disp_quota_told(
    struct disp *d, struct pick_backend *b, double rate, int64_t sent)
{
	return quota_told(&b->quota, rate, sent, clk_ns(d->clk));
}

double
disp_slots(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	double slots = 0, limited_slots = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (b->uncounted || !pick_usable(b, now))
			continue;
		if (b->quota.rate > 0)
			limited_slots += disp_word_slots(d, b);
		else
			slots += disp_word_slots(d, b);
	}
	return ceil(slots) + limited_slots;
}

struct disp_room
disp_room_of(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	struct disp_room room = {
	    .slots = ceil(disp_slots(d) * SLOT_TENTHS) / SLOT_TENTHS};
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		room.free += b->uncounted ? 0 : pick_free(b, now);
	}
	for (i = 0; i < QUEUES; i++)
		room.waiting += (int)d->queues[i].n;
	return room;
}

unsigned
disp_usable(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	unsigned n = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		n += !b->uncounted && pick_usable(b, now);
	}
	return n;
}

void
disp_each(const struct disp *d, disp_visit_fn *fn, void *ctx)
{
	guint i;

	for (i = 0; i < d->backends->len; i++)
		fn(ctx, g_ptr_array_index(d->backends, i));
}
