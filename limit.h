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
 * Limits as token buckets, pure functions of the times handed in.  A limit
 * that is meant for the fleet is divided over the places that enforce it.
 */
struct limit {
	double tokens;
	int64_t updated_at; /* monotonic ns; 0: never used */
};

/*
 * Take one token of a bucket that fills at `rate` a second and holds
 * LIMIT_BURST_NS worth of it, at least one.  A rate of 0 is no limit.
 */
bool limit_allow(struct limit *, double rate, int64_t now);

#define LIMIT_BURST_NS (INT64_C(200) * 1000 * 1000)

/* A bucket of whole tokens whose rate and size its owner knows. */
struct bucket {
	double tokens; /* tokens that it held */
	int64_t updated_at; /* at this time; monotonic ns */
};

/* What it holds by now, at `rate` tokens a second and `burst` at most. */
double
bucket_tokens(const struct bucket *, double rate, double burst, int64_t now);

/* Take one token, or the part of one that is there. */
void bucket_consume(struct bucket *, double rate, double burst, int64_t now);

/*
 * Take one token, which may be there only after a while; *wait is that time, in
 * ns.  False if it would be more than `most`; nothing is taken then.
 */
bool bucket_reserve(struct bucket *, double rate, double burst, int64_t most,
    int64_t now, int64_t *wait);

/* Buckets for many callers; the least lately used goes when it is full. */
struct limit_table;
struct limit_table *limit_table_new(unsigned max);
void limit_table_free(struct limit_table *);
bool limit_table_allow(
    struct limit_table *, struct str key, double rate, int64_t now);

/*
 * A budget for retries as a share of requests: each request pays in
 * `percent` hundredths, each retry takes a whole one out.
 */
struct retry_budget {
	double tokens;
	double max; /* what may be saved up; 0: the default */
	bool initialized;
};
void retry_budget_deposit(struct retry_budget *, int64_t percent);
bool retry_budget_available(struct retry_budget *);
/* The same for one who has other chances: a half is left to those without. */
bool retry_budget_above_reserve(struct retry_budget *);
void retry_budget_withdraw(struct retry_budget *);

#endif
