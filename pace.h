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
#ifndef PACE_H
#define PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "pick.h"

/*
 * Estimates how fast a backend server is now, and how long a request will take
 * there.  A latency factor is the current service time divided by the usual
 * one: 1 is the usual speed, 5 is five times slower.  A request keeps the
 * factor that the server had when the request started.  As a load report grows
 * older, the estimate moves from the reported factor to the mean of all
 * servers.  These functions do no I/O; the time is passed in.
 */

/*
 * Time constant of the decay of load reports.  It is short, as the latency
 * factor of a server changes several times a second.
 */
#define PACE_DECAY_NS (100 * NS_MS)

/* Returns the latency factor expected for a request that starts now. */
double
pace_latency_factor(const struct pick_backend *, double mean, int64_t now);

/* Returns the slowdown, >= 1, by the requests in flight at the server. */
double pace_concurrency_slowdown(const struct pick_backend *);

/*
 * Returns the expected service time in ns of a request that starts now;
 * `service_time` is the service time at the usual speed.
 */
int64_t pace_service_time(const struct pick_backend *, int64_t service_time,
    double mean, int64_t now);

/*
 * Returns whether the request ends sooner if it waits until a server that
 * recently reported to be slow has come closer to the mean speed.
 */
bool pace_waiting_is_faster(const struct pick_backend *, int64_t service_time,
    double mean, int64_t now);

/* Returns whether the last load report is too recent for a new query. */
bool pace_report_is_fresh(const struct pick_backend *, int64_t now);

/* Returns whether a recent report shows about the usual speed or better. */
bool pace_is_near_usual(const struct pick_backend *, int64_t now);

#endif
