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
 * Concurrency limits of the backend servers.  Above the learned limit a server
 * has a lower throughput, so further requests wait in the dispatcher's queues,
 * from where they can still be sent to any server.
 */

/* Time for which a backend server explores another limit. */
#define EXPLORE_NS (1 * NS_S)

enum { EXPLORE_EVERY = 4 }; /* one in so many servers explores at a time */

/*
 * Fills in the expected slowdown by other requests.  The request is about to be
 * sent, and is already counted as in flight.
 */
void
disp_conc_attempt_sent(const struct disp *d, struct disp_req *r)
{
	r->concurrent = r->backend->inflight + r->backend->inherited - 1;
	r->slowdown = conc_slowdown(&d->conc, r->concurrent, r->backend->slots);
}

/*
 * Updates the slowdown over all kinds of requests.  Under the latency-aware
 * policy, also sets the learned limit for all backend servers; a few of them,
 * in turn, get another limit instead that has too few recent samples.
 */
void
disp_conc_update_limits(struct disp *d, int64_t now)
{
	guint turn = (guint)(now / EXPLORE_NS), i;
	struct pick_backend *b;
	int other;

	d->limits_set_at = now;
	disp_work_update_mean(d);
	memset(&d->conc, 0, sizeof(d->conc));
	for (i = 0; i < d->service_times->len; i++)
		conc_merge(&d->conc,
		    &g_array_index(
			d->service_times, struct disp_service_times, i)
			 .times);
	if (!d->params.policy->latency_aware)
		return;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		b->conc = &d->conc;
		b->max_inflight = conc_limit(&d->conc, b->slots);
		if (i % EXPLORE_EVERY != turn % EXPLORE_EVERY)
			continue;
		other = conc_next_to_explore(&d->conc, b->slots, now);
		if (other > 0)
			b->max_inflight = other;
	}
}
