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
#include "disp_state.h"
#include "libdisp.h"

/*
 * State that one owner of a shard hands over to the next.  Requests in flight
 * at the former owner occupy slots of the servers, so they are subtracted from
 * the free slots here until the servers' own load reports show fewer.
 */

/*
 * Requests of the former owner are counted for so long at most: reports may
 * not come, and slots that are free would stay unused.
 */
#define INHERITED_MAX_NS (1 * NS_S)
/*
 * A request that was sent less than this ago may not have reached the server
 * when it made its report: the round trip between halls is 2 ms, and a box with
 * a tenth of a processor handles an event some milliseconds late.
 */
#define REPORT_AGE_NS (20 * NS_MS)
/* Interval of load queries to a server with such requests. */
#define INHERITED_QUERY_GAP_NS (40 * NS_MS)

static int64_t
remaining(int64_t until, int64_t now)
{
	return CLAMP(until - now, 0, DISP_STATE_TIME_MAX_NS);
}

static void
export_server(
    struct disp_server_state *out, const struct pick_backend *b, int64_t now)
{
	*out = (struct disp_server_state){.name = b->name,
	    .started_ms = b->started_ms,
	    .inflight = b->inflight + b->inherited,
	    .state = b->state,
	    .eject_ns =
		b->state == PICK_EJECTED ? remaining(b->eject_until, now) : 0,
	    .cold_ns = remaining(b->cold.cold_until, now),
	    .cold_reported = b->cold.reported,
	    .pause_ns = remaining(b->pause_until, now),
	    .service_time_ratio = b->service_time_ratio};
}

static void
export_work(const struct disp *d, struct disp_state *out)
{
	const struct disp_service_times *times;
	const struct conc_step *step;
	unsigned i, k;

	out->work = g_new0(struct disp_work_state, DISP_STATE_WORK_MAX);
	for (i = 0; i < d->service_times->len; i++) {
		times = &g_array_index(
		    d->service_times, struct disp_service_times, i);
		for (k = 0; k < CONC_STEPS; k++) {
			step = &times->times.steps[k];
			if (step->samples == 0 ||
			    out->nwork == DISP_STATE_WORK_MAX)
				continue;
			out->work[out->nwork++] = (struct disp_work_state){
			    times->kind, k, step->mean_time, step->samples};
		}
	}
}

void
disp_export_state(struct disp *d, struct disp_state *out)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	guint i;

	*out = (struct disp_state){
	    .retry_tokens = retry_budget_split(&d->retry_budget),
	    .mean_service_time = d->mean_service_time};
	out->servers =
	    g_new0(struct disp_server_state, MAX(d->backends->len, 1));
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!b->removed && out->nservers < DISP_STATE_SERVERS_MAX)
			export_server(&out->servers[out->nservers++], b, now);
	}
	export_work(d, out);
}

void
disp_state_clear(struct disp_state *state)
{
	g_free(state->servers);
	g_free(state->work);
	*state = (struct disp_state){0};
}

/*
 * Own observations that a server fails or drains are newer than those of the
 * former owner, and are kept.
 */
static void
import_health(
    struct pick_backend *b, const struct disp_server_state *in, int64_t now)
{
	if (b->state != PICK_COLD && b->state != PICK_UP)
		return;
	if (in->state != PICK_DRAINING && in->state != b->state) {
		b->state = in->state;
		b->warm_at = 0;
	}
	if (in->state == PICK_EJECTED)
		b->eject_until =
		    now + MIN(in->eject_ns, DISP_STATE_TIME_MAX_NS);
}

/*
 * A report of the server about its slow start holds for its start time.  If
 * that is unknown, the server may have restarted since, and is queried.
 */
static void
import_cold(struct disp *d, struct pick_backend *b,
    const struct disp_server_state *in, int64_t now)
{
	int64_t ns = MIN(in->cold_ns, DISP_STATE_TIME_MAX_NS);

	if (d->params.cold.rate <= 0 || b->cold.reported)
		return;
	if (in->cold_reported && in->started_ms != 0)
		cold_set_reported(&b->cold, ns, now);
	else if (ns > 0)
		disp_cold_suspect(d, b, ns);
}

static void
import_server(struct disp *d, struct pick_backend *b,
    const struct disp_server_state *in, int64_t now)
{
	b->inherited = MIN(b->inherited + in->inflight, b->slots);
	if (b->inherited > 0)
		d->inherited_until = now + INHERITED_MAX_NS;
	import_health(b, in, now);
	import_cold(d, b, in, now);
	b->pause_until = MAX(
	    b->pause_until, now + MIN(in->pause_ns, DISP_STATE_TIME_MAX_NS));
	disp_work_import_ratio(b, in->service_time_ratio);
}

unsigned
disp_import_state(struct disp *d, const struct disp_state *in)
{
	int64_t now = clk_ns(d->clk);
	struct pick_backend *b;
	unsigned i, n = 0;

	for (i = 0; i < in->nservers; i++) {
		b = disp_find_backend(d, in->servers[i].name);
		if (b == NULL || b->started_ms != in->servers[i].started_ms)
			continue;
		import_server(d, b, &in->servers[i], now);
		n++;
	}
	disp_work_import(d, in, now);
	retry_budget_set(&d->retry_budget, in->retry_tokens);
	disp_conc_update_limits(d, now);
	disp_state_tick(d, now);
	disp_serve_queues(d);
	return n;
}

/* Counts own requests that have certainly reached the server. */
static int
count_arrived(const struct disp *d, const struct pick_backend *b, int64_t now)
{
	const struct disp_req *r;
	const GList *node;
	int n = 0;

	for (node = d->inflight.head; node != NULL; node = node->next) {
		r = node->data;
		if (r->sent_at > now - REPORT_AGE_NS)
			break;
		n += r->backend == b;
	}
	return n;
}

void
disp_state_load_reported(struct disp *d, struct pick_backend *b, int ended)
{
	int others;

	if (b->inherited == 0)
		return;
	others = b->reported_running + b->reported_waiting + ended -
	    count_arrived(d, b, clk_ns(d->clk));
	b->inherited = CLAMP(others, 0, b->inherited);
}

static bool
has_inherited(const struct pick_backend *b, int64_t now)
{
	(void)now;
	return b->inherited > 0 && !b->reports_no_load && !b->removed &&
	    !pick_is_unresponsive(b);
}

void
disp_state_tick(struct disp *d, int64_t now)
{
	struct pick_backend *b;
	guint i;

	if (d->inherited_until == 0)
		return;
	if (now < d->inherited_until) {
		disp_query_round_robin(
		    d, has_inherited, INHERITED_QUERY_GAP_NS, now);
		return;
	}
	d->inherited_until = 0;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		b->inherited = 0;
	}
}

/*
 * A request whose attempt was stopped here is finished here, as the next owner
 * could refuse it.  Where the shard has no usable server, its requests go to
 * another hall.  They are forwarded there from here: the next owner could not
 * forward a request that two gates have forwarded already.
 */
static bool
goes_to_next_owner(const struct disp *d, const struct disp_req *r)
{
	return d->handover != DISP_OWNED && r->can_forward && !r->stopped &&
	    disp_usable_backends(d) > 0;
}

bool
disp_state_holds(const struct disp *d, const struct disp_req *r)
{
	return d->handover == DISP_HOLDING && goes_to_next_owner(d, r);
}

bool
disp_state_pass_on(struct disp *d, struct disp_req *r)
{
	if (!goes_to_next_owner(d, r))
		return false;
	if (d->handover == DISP_HOLDING) {
		if (!r->queued)
			disp_enqueue(d, r);
		return true;
	}
	if (r->queued)
		disp_dequeue(d, r);
	d->ops.forward(d->ops.ctx, r, d->params.hall);
	return true;
}

void
disp_set_handover(struct disp *d, enum disp_handover handover)
{
	d->handover = handover;
	d->sending_since = 0;
	if (handover == DISP_HANDED_OVER)
		disp_serve_queues(d);
}

void
disp_start_as_successor(struct disp *d)
{
	retry_budget_halve_initial(&d->retry_budget);
}

int64_t
disp_sending_for(const struct disp *d)
{
	return d->sending_since == 0 ? -1 : clk_ns(d->clk) - d->sending_since;
}
