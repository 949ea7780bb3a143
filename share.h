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
#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/*
 * Decides which requests are within their customer's fair share of a capacity.
 * Use and capacity are measured in service time per time, so that a capacity of
 * 10 is ten requests at once.  The shares are max-min fair with equal weights:
 * a customer that wants less than its share gets all that it wants, and what it
 * leaves is shared by the others.  No request is beyond a share while the
 * demand is below the capacity, apart from bursts.
 *
 * There is no I/O; the time, monotonic ns, is passed in.  A request costs
 * O(log n) of the customers that sent requests lately.  At most 10,000 of them
 * are kept; the one without requests for the longest time is forgotten first.
 */
struct share;

struct share *share_new(void);
void share_free(struct share *);

/* Sets the capacity from now on. */
void share_set_capacity(struct share *, double capacity, int64_t now);

/*
 * Counts a request that takes `cost` ns and returns true if it is within its
 * customer's share.  One beyond it is not counted, as it may be refused.
 */
bool
share_admit(struct share *, struct str customer, int64_t cost, int64_t now);

/*
 * Gives back the cost of a counted request that was refused.  Otherwise a
 * moment in which all customers want more than there is, such as after a loss
 * of the owner, would count against them for seconds.
 */
void
share_give_back(struct share *, struct str customer, int64_t cost, int64_t now);

/* Counts a request that has no customer; it takes precedence over all shares.
 */
void share_admit_unlimited(struct share *, int64_t cost, int64_t now);

/* Returns whether the customer had a request beyond its share lately. */
bool share_in_excess(const struct share *, struct str customer, int64_t now);

/*
 * Returns the recent demand of counted requests without those of customers that
 * are in excess, which go last: service time per time.
 */
double share_others_demand(struct share *, int64_t now);

/* Returns the number of customers that are kept. */
unsigned share_customers(const struct share *);

#endif
