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
 * How fast a backend server works now, and how long a piece of work will take
 * there.  A pace is the time that work takes against the usual: 1 is as
 * usual, 5 is five times slower.  A request keeps the pace at which it began.
 * What a backend server told is the better the fresher it is; with age the
 * estimate goes over to the mean of all.  Pure.
 */

/*
 * What a backend server told loses its worth with this time constant, as its
 * pace changes several times a second.
 */
#define PACE_DECAY_NS (100 * NS_MS)

/* The pace that is expected of a request that begins now. */
double
pace_latency_factor(const struct pick_backend *, double mean, int64_t now);

/* How many times longer work takes there beside what is in flight. */
double pace_concurrency_slowdown(const struct pick_backend *);

/* The time that `work`, in ns at the usual pace, takes if it begins now. */
int64_t pace_service_time(
    const struct pick_backend *, int64_t work, double mean, int64_t now);

/*
 * Is such work done sooner if it waits until the backend server, which told
 * just now that it is slow, is as usual again?
 */
bool pace_waiting_is_faster(
    const struct pick_backend *, int64_t work, double mean, int64_t now);

/* Is what it told so fresh that asking again would bring nothing? */
bool pace_report_is_fresh(const struct pick_backend *, int64_t now);

/* Did it tell freshly that it works about as usual? */
bool pace_is_near_usual(const struct pick_backend *, int64_t now);

#endif
