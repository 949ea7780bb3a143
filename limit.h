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
#ifndef LIMIT_H
#define LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/*
 * Rate limits as token buckets.  These functions do no I/O; the time is passed
 * in.  A limit for the whole fleet must be divided by the caller among the
 * processes that enforce it.
 */
struct limit {
	double tokens;
	int64_t updated_at; /* monotonic ns; 0: never used */
};

/*
 * Consumes one token of a bucket that is filled with `rate` tokens per second
 * and holds those of LIMIT_BURST_NS, but at least one.  Returns false if there
 * is no token.  A rate of 0 means no limit.
 */
bool limit_allow(struct limit *, double rate, int64_t now);

#define LIMIT_BURST_NS (INT64_C(200) * 1000 * 1000)

/* A token bucket whose rate and size are passed in with each call. */
struct bucket {
	double tokens; /* tokens at the time below */
	int64_t updated_at; /* last update, monotonic ns */
};

/* Returns the current tokens, at `rate` tokens per second and up to `burst`. */
double
bucket_tokens(const struct bucket *, double rate, double burst, int64_t now);

/* Consumes one token, or the fraction of one that there is. */
void bucket_consume(struct bucket *, double rate, double burst, int64_t now);

/*
 * Reserves one token, which may become available later: sets *wait to the time
 * until then in ns.  Returns false, and reserves nothing, if that is more than
 * `max_wait`.
 */
bool bucket_reserve(struct bucket *, double rate, double burst,
    int64_t max_wait, int64_t now, int64_t *wait);

/*
 * A table of rate limits by key, for up to `max` keys; the least recently used
 * key is evicted.  The caller frees it with limit_table_free().
 */
struct limit_table;
struct limit_table *limit_table_new(unsigned max);
void limit_table_free(struct limit_table *);
/* Does the same as limit_allow(), with the limit of this key. */
bool limit_table_allow(
    struct limit_table *, struct str key, double rate, int64_t now);

/*
 * A retry budget that limits retries to a share of requests.  Each request adds
 * `percent` hundredths of a token, and each retry consumes one token.
 */
struct retry_budget {
	double tokens;
	double max; /* size in tokens; 0: the default */
	bool initialized;
};
void retry_budget_deposit(struct retry_budget *, int64_t percent);
/* Returns whether there is a token for a retry. */
bool retry_budget_available(struct retry_budget *);
/*
 * The same for a request that has other chances: half of the budget is reserved
 * for requests that have none.
 */
bool retry_budget_above_reserve(struct retry_budget *);
void retry_budget_withdraw(struct retry_budget *);
/* Takes half of the tokens out of the budget, and returns their number. */
double retry_budget_split(struct retry_budget *);
/* Sets the number of tokens, within the size of the budget. */
void retry_budget_set(struct retry_budget *, double tokens);
/* Reduces the tokens to half of the number that a new budget has. */
void retry_budget_halve_initial(struct retry_budget *);

#endif
