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
#include "pace.h"

/*
 * Fair shares of customers under the latency-aware policy: what the usable
 * servers can do without slowing each other is shared by share.h.  Requests
 * beyond their customers' shares come after the others of their rank, get only
 * slots where they slow nobody, as long as enough slots stay free for the
 * others, and are refused if they would wait too long for these.  A request
 * without a customer is never beyond a share.
 */

/* Interval of updates of the capacity: that of the dispatcher's timers. */
#define CAPACITY_UPDATE_NS (10 * NS_MS)

/* Reports of one server so far apart are unrelated. */
#define UNRELATED_NS (3 * PACE_DECAY_NS)

/* Slots up to this slowdown count as unslowed, as the means are noisy. */
static const double UNSLOWED_MAX = 1.15;
/*
 * Requests arrive at random, so that a mean use of n slots becomes n and two
 * standard deviations, 2 sqrt(n), in all but one of 40 moments.
 */
static const double DEVIATIONS = 2;

enum {
	PERCENT = 100,
	USE_WEIGHT = 50, /* of the past, 500 ms, in the mean of others' use */
	SPEED_SAMPLES_MAX = 64, /* weight of the past, some seconds */
	BULK_RANK = 1 << 24 /* beyond all ranks of interactive requests */
};

/*
 * Returns how many requests can run at a server without slowing each other.  As
 * long as the slowdown is not known, that is presumed of half of the slots.
 */
static int
count_unslowed(const struct disp *d, const struct pick_backend *b)
{
	int n = 1;

	while (n < pick_slot_limit(b) && conc_is_known(&d->conc, n, b->slots) &&
	    conc_slowdown(&d->conc, n, b->slots) <= UNSLOWED_MAX)
		n++;
	return n;
}

/*
 * Updates the mean speed of the servers, 1 being the usual one.  A server in a
 * slow period keeps free slots and is queried more often, while its last report
 * stands until it is queried again, so neither a mean over all reports nor one
 * over the last reports is right: where 0.3 of the servers were slow, the last
 * reports of 0.6 were.  A report counts if the one before is too old to be
 * related to it, as the server was then chosen whatever its speed is.
 */
void
disp_share_load_reported(
    struct disp *d, const struct pick_backend *b, int percent, int64_t now)
{
	double speed = MIN(PERCENT / (double)MAX(percent, 1), 1);

	if (b->reported_at != 0 && now - b->reported_at < UNRELATED_NS)
		return;
	d->speed_samples = MIN(d->speed_samples + 1, SPEED_SAMPLES_MAX);
	d->slowness += (1 - speed - d->slowness) / d->speed_samples;
}

/* Returns the slots that a mean use of n needs at times. */
static double
with_deviations(double n)
{
	return n + DEVIATIONS * sqrt(n);
}

/* Returns the part of the capacity that requests of others use. */
static double
others_use(const struct disp *d)
{
	const struct disp_req *r;
	const GList *node;
	double sum = 0;

	for (node = d->inflight.head; node != NULL; node = node->next) {
		r = node->data;
		if (!r->over_share && !r->in_excess)
			sum += 1 / MAX(r->latency_factor, 1);
	}
	return sum;
}

static void
update_capacity(struct disp *d, int64_t now)
{
	struct pick_backend *b;
	double all = 0;
	guint i;

	if (d->share_updated_at != 0 &&
	    now - d->share_updated_at < CAPACITY_UPDATE_NS)
		return;
	d->share_updated_at = now;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		b->unslowed_slots = count_unslowed(d, b);
		if (b->capacity_uncounted || !pick_is_usable(b, now))
			continue;
		all += MIN(disp_report_slots(d, b), b->unslowed_slots);
	}
	/*
	 * The service time ratios of servers are left out: the service times of
	 * requests, in which the demand is measured, are means over all
	 * servers.
	 */
	d->unslowed_capacity = all * (1 - d->slowness);
	share_set_capacity(d->share, d->unslowed_capacity, now);
	d->mean_others_use += (others_use(d) - d->mean_others_use) / USE_WEIGHT;
}

/* Returns the slots that are free. */
static double
free_slots(const struct disp *d, int64_t now)
{
	const struct pick_backend *b;
	double sum = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		if (!b->capacity_uncounted)
			sum += pick_free_slots(b, now);
	}
	return sum;
}

/*
 * Returns whether a request beyond a share may take a slot: as many stay free
 * as the demand of the others needs at times.  Slots on which requests slow
 * each other count too.  Without them two thirds of an excess were refused that
 * could have been answered in time.
 */
static bool
has_spare(struct disp *d, int64_t now)
{
	double others =
	    MAX(share_others_demand(d->share, now), d->mean_others_use);

	return free_slots(d, now) - 1 >= DEVIATIONS * sqrt(others);
}

int
disp_share_rank(const struct disp_req *r)
{
	return r->rank + (r->cls == CLASS_BULK ? BULK_RANK : 0);
}

/* Returns whether a request that waits is served before one of this rank. */
static bool
is_behind_others(const struct disp *d, int rank)
{
	const struct queue_item *first =
	    queue_first(&d->queues[CLASS_INTERACTIVE]);

	return first != NULL && first->rank <= rank;
}

bool
disp_share_is_next(struct disp *d)
{
	const struct queue_item *first = queue_first(&d->queues[QUEUE_OVER]);
	int64_t now = clk_ns(d->clk);

	if (first == NULL)
		return false;
	if (d->share == NULL)
		return true;
	update_capacity(d, now);
	return !is_behind_others(d, first->rank) && has_spare(d, now);
}

bool
disp_share_hall_has_spare(
    const struct disp *d, const struct disp_remote_hall *h)
{
	double slots = disp_usable_slots(d), used;

	if (slots == 0)
		return true;
	used = h->capacity.slots - h->capacity.free_slots;
	return with_deviations(used) + 1 <= h->capacity.slots;
}

/* Returns whether the request is beyond its customer's share. */
static bool
is_over_share(struct disp *d, struct disp_req *r, int64_t now)
{
	if (d->share == NULL && r->customer.n == 0)
		return false;
	if (d->share == NULL)
		d->share = share_new();
	update_capacity(d, now);
	if (r->customer.n == 0) {
		share_admit_unlimited(d->share, r->service_time, now);
		return false;
	}
	r->over_share = d->unslowed_capacity > 0 &&
	    !share_admit(d->share, r->customer, r->service_time, now);
	r->share_cost = r->over_share ? 0 : r->service_time;
	r->in_excess = share_in_excess(d->share, r->customer, now);
	return r->over_share;
}

void
disp_share_refused(struct disp *d, struct disp_req *r)
{
	if (d->share != NULL && r->share_cost > 0 && r->attempt_count == 0)
		share_give_back(
		    d->share, r->customer, r->share_cost, clk_ns(d->clk));
	r->share_cost = 0;
}

/* Estimates the time in ns until the others leave a slot for the request. */
static int64_t
expected_wait(const struct disp *d)
{
	double left =
	    disp_usable_slots(d) - with_deviations(d->mean_others_use);
	double ahead = (double)(d->queues[CLASS_INTERACTIVE].n +
	    d->queues[QUEUE_OVER].n + 1);

	if (left < 1)
		left = 1;
	return (int64_t)(ahead * (double)d->mean_service_time / left);
}

/* Queues a request that cannot be sent yet, or refuses it. */
static void
wait_or_refuse(struct disp *d, struct disp_req *r, int64_t now)
{
	int64_t wait = expected_wait(d);

	r->wait_decided = true;
	if (disp_usable_backends(d) == 0)
		disp_fail(d, r, ERR_NO_BACKEND, RETRY_AFTER_MAX_NS);
	else if (now + wait + r->service_time > r->deadline ||
	    !disp_can_meet_target(r, now + wait))
		disp_latency_refuse(d, r, wait);
	else
		disp_enqueue(d, r);
}

bool
disp_share_submit(struct disp *d, struct disp_req *r)
{
	int64_t now = clk_ns(d->clk);

	if (!is_over_share(d, r, now))
		return false;
	if (!is_behind_others(d, disp_share_rank(r)) &&
	    d->queues[QUEUE_OVER].n == 0 && has_spare(d, now)) {
		if (disp_query_before_send(d, r, now)) {
			r->wait_decided = true;
			disp_enqueue(d, r);
			return true;
		}
		if (disp_try_send(d, r))
			return true;
	}
	if (!disp_forward(d, r))
		wait_or_refuse(d, r, now);
	return true;
}
