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
#include "region.h"

/*
 * Other halls: what their homes told of their room, and what is passed to
 * them.
 */

/* Passing to another hall must spare at least this much waiting. */
#define PASS_GAIN_NS (3 * NS_MS)

enum { REMOTE_SPARE = 1 }; /* slots left to the hall they are in */

static struct disp_remote_hall *
remote_of(struct disp *d, struct str hall)
{
	struct disp_remote_hall *m, add = {0};
	guint i;

	for (i = 0; i < d->remote_halls->len; i++) {
		m = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		if (str_eq(m->hall, hall))
			return m;
	}
	add.hall = str_dup(hall);
	g_array_append_val(d->remote_halls, add);
	return &g_array_index(
	    d->remote_halls, struct disp_remote_hall, d->remote_halls->len - 1);
}

/* Is there room in another hall, as far as its home has told lately? */
static bool
has_room(const struct disp_remote_hall *m, int64_t now)
{
	return m->reported_at != 0 &&
	    now - m->reported_at <= HALL_CAPACITY_TTL_NS &&
	    m->capacity.queued == 0 && m->capacity.free_slots > REMOTE_SPARE;
}

void
disp_forward_free(struct disp *d)
{
	struct disp_remote_hall *m;
	guint i;

	for (i = 0; i < d->remote_halls->len; i++) {
		m = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		str_free(&m->hall);
		str_free(&m->region);
	}
	g_array_free(d->remote_halls, TRUE);
}

/* May the request be served there, as far as its rule and the hall go? */
static bool
may_serve(const struct disp_remote_hall *m, const struct disp_req *r)
{
	return m->configured_slots > 0 &&
	    region_allows(r->allowed_regions, m->region);
}

/* Can a backend server there be tried, as far as its home has told lately? */
bool
disp_forward_can_serve(
    const struct disp_remote_hall *m, const struct disp_req *r, int64_t now)
{
	return may_serve(m, r) && m->reported_at != 0 &&
	    now - m->reported_at <= HALL_CAPACITY_TTL_NS &&
	    m->capacity.slots > 0;
}

bool
disp_forward_has_capacity(
    const struct disp *d, const struct disp_req *r, int64_t now)
{
	const struct disp_remote_hall *m;
	guint i;

	for (i = 0; i < d->remote_halls->len; i++) {
		m = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		if (may_serve(m, r) && has_room(m, now))
			return true;
	}
	return false;
}

/* Halls of our region go before others, and then the most free slots. */
static bool
is_better(const struct disp_remote_hall *m, const struct disp_remote_hall *best)
{
	if (best == NULL || m->other_region != best->other_region)
		return best == NULL || best->other_region;
	return m->capacity.free_slots > best->capacity.free_slots;
}

/*
 * Pass to another hall whose home has room.  If nothing here can be used, a
 * hall that has slots will do, whatever its home said last.
 */
bool
disp_forward(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk);
	bool must = disp_usable_backends(d) == 0;
	struct disp_remote_hall *m, *best = NULL;
	guint i;

	if (!r->can_forward || !d->params.policy->holds_requests)
		return false;
	for (i = 0; i < d->remote_halls->len; i++) {
		m = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		if (!may_serve(m, r) || (!must && !has_room(m, now)))
			continue;
		if (is_better(m, best))
			best = m;
	}
	if (best == NULL)
		return false;
	best->capacity.free_slots--;
	d->ops.forward(d->ops.ctx, r, best->hall);
	return true;
}

/*
 * Where all halls of a region hold requests, a new one goes to a hall that
 * would take it much sooner, so that a surge ends everywhere at the same time.
 */
bool
disp_forward_to_shorter(struct disp *d, struct disp_req *r, int64_t wait)
{
	int64_t now = clk_ns(d->clk), usual = disp_usual_latency(d), there;
	struct disp_remote_hall *m, *best = NULL;
	int64_t best_wait = wait - 2 * PASS_GAIN_NS;
	guint i;

	if (!r->can_forward || !d->params.policy->holds_requests)
		return false;
	for (i = 0; i < d->remote_halls->len; i++) {
		m = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		if (!may_serve(m, r) || m->other_region ||
		    m->reported_at == 0 || m->capacity.slots == 0 ||
		    now - m->reported_at > HALL_CAPACITY_TTL_NS)
			continue;
		there = (int64_t)((double)usual * (m->capacity.queued + 1) /
		    m->capacity.slots);
		if (there >= best_wait)
			continue;
		best_wait = there;
		best = m;
	}
	if (best == NULL)
		return false;
	best->capacity.queued++;
	d->ops.forward(d->ops.ctx, r, best->hall);
	return true;
}

void
disp_set_hall_slots(struct disp *d, struct str hall, int slots)
{
	remote_of(d, hall)->configured_slots = slots;
}

void
disp_set_hall_region(
    struct disp *d, struct str hall, struct str region, bool near)
{
	struct disp_remote_hall *m = remote_of(d, hall);

	m->other_region = !near;
	if (str_eq(m->region, region))
		return;
	str_free(&m->region);
	m->region = str_dup(region);
}

void
disp_set_hall_capacity(
    struct disp *d, struct str hall, const struct disp_capacity *room)
{
	struct disp_remote_hall *m = remote_of(d, hall);

	m->capacity = *room;
	m->reported_at = clk_ns(d->clk);
	disp_serve_queues(d);
}
