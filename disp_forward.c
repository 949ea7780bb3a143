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
 * Other halls: the capacity that they reported, and the forwarding of requests
 * to them.
 */

/* Forwarding must save at least twice this much waiting. */
#define FORWARD_GAIN_NS (3 * NS_MS)

enum { RESERVED_SLOTS = 1 }; /* free slots that are left to the other hall */

static struct disp_remote_hall *
find_or_add(struct disp *d, struct str hall)
{
	struct disp_remote_hall *h, add = {0};
	guint i;

	for (i = 0; i < d->remote_halls->len; i++) {
		h = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		if (str_eq(h->hall, hall))
			return h;
	}
	add.hall = str_dup(hall);
	g_array_append_val(d->remote_halls, add);
	return &g_array_index(
	    d->remote_halls, struct disp_remote_hall, d->remote_halls->len - 1);
}

/* Returns whether another hall recently reported free slots. */
static bool
has_free_slots(const struct disp_remote_hall *h, int64_t now)
{
	return h->reported_at != 0 &&
	    now - h->reported_at <= HALL_CAPACITY_TTL_NS &&
	    h->capacity.queued == 0 && h->capacity.free_slots > RESERVED_SLOTS;
}

void
disp_forward_free(struct disp *d)
{
	struct disp_remote_hall *h;
	guint i;

	for (i = 0; i < d->remote_halls->len; i++) {
		h = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		str_free(&h->hall);
		str_free(&h->region);
	}
	g_array_free(d->remote_halls, TRUE);
}

/* Returns whether the hall has slots and the rule allows its region. */
static bool
is_allowed(const struct disp_remote_hall *h, const struct disp_req *r)
{
	return h->configured_slots > 0 &&
	    region_allows(r->allowed_regions, h->region);
}

/* Returns whether the hall recently reported usable slots, free or not. */
bool
disp_forward_can_serve(
    const struct disp_remote_hall *h, const struct disp_req *r, int64_t now)
{
	return is_allowed(h, r) && h->reported_at != 0 &&
	    now - h->reported_at <= HALL_CAPACITY_TTL_NS &&
	    h->capacity.slots > 0;
}

bool
disp_forward_has_capacity(
    const struct disp *d, const struct disp_req *r, int64_t now)
{
	const struct disp_remote_hall *h;
	guint i;

	for (i = 0; i < d->remote_halls->len; i++) {
		h = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		if (is_allowed(h, r) && has_free_slots(h, now))
			return true;
	}
	return false;
}

/* Prefers halls in the own region, then the one with the most free slots. */
static bool
is_better(const struct disp_remote_hall *h, const struct disp_remote_hall *best)
{
	if (best == NULL || h->other_region != best->other_region)
		return best == NULL || best->other_region;
	return h->capacity.free_slots > best->capacity.free_slots;
}

/*
 * Forwards the request to another hall with free slots.  If this hall has no
 * usable backend server, any hall that has slots by configuration is chosen,
 * whatever it reported.  Only then is a request forwarded of which an attempt
 * was stopped here, as the other hall could refuse it.
 */
bool
disp_forward(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk);
	bool none_usable = disp_usable_backends(d) == 0;
	struct disp_remote_hall *h, *best = NULL;
	guint i;

	if (!r->can_forward || !d->params.policy->holds_requests ||
	    (r->stopped && !none_usable))
		return false;
	for (i = 0; i < d->remote_halls->len; i++) {
		h = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		if (!is_allowed(h, r) ||
		    (!none_usable && !has_free_slots(h, now)) ||
		    (r->over_share && !disp_share_hall_has_spare(d, h)))
			continue;
		if (is_better(h, best))
			best = h;
	}
	if (best == NULL)
		return false;
	best->capacity.free_slots--;
	d->ops.forward(d->ops.ctx, r, best->hall);
	return true;
}

/*
 * Forwards the request to a hall of the region where it would wait much less
 * than `wait` ns.  Where all halls of a region have queues, this keeps them
 * balanced, so that a surge ends everywhere at about the same time.
 */
bool
disp_forward_to_shorter(struct disp *d, struct disp_req *r, int64_t wait)
{
	int64_t now = clk_ns(d->clk), usual = disp_usual_latency(d),
		remote_wait;
	struct disp_remote_hall *h, *best = NULL;
	int64_t best_wait = wait - 2 * FORWARD_GAIN_NS;
	guint i;

	if (!r->can_forward || !d->params.policy->holds_requests)
		return false;
	for (i = 0; i < d->remote_halls->len; i++) {
		h = &g_array_index(d->remote_halls, struct disp_remote_hall, i);
		if (!is_allowed(h, r) || h->other_region ||
		    h->reported_at == 0 || h->capacity.slots == 0 ||
		    now - h->reported_at > HALL_CAPACITY_TTL_NS)
			continue;
		remote_wait = (int64_t)((double)usual *
		    (h->capacity.queued + 1) / h->capacity.slots);
		if (remote_wait >= best_wait)
			continue;
		best_wait = remote_wait;
		best = h;
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
	find_or_add(d, hall)->configured_slots = slots;
}

void
disp_set_hall_region(
    struct disp *d, struct str hall, struct str region, bool same_region)
{
	struct disp_remote_hall *h = find_or_add(d, hall);

	h->other_region = !same_region;
	if (str_eq(h->region, region))
		return;
	str_free(&h->region);
	h->region = str_dup(region);
}

void
disp_set_hall_capacity(
    struct disp *d, struct str hall, const struct disp_capacity *capacity)
{
	struct disp_remote_hall *h = find_or_add(d, hall);

	h->capacity = *capacity;
	h->reported_at = clk_ns(d->clk);
	disp_serve_queues(d);
}

void
disp_set_hall_unusable(struct disp *d, struct str hall)
{
	find_or_add(d, hall)->capacity = (struct disp_capacity){0};
}
