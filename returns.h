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
#ifndef RETURNS_H
#define RETURNS_H

#include <stdint.h>

#include "clk.h"
#include "fprint.h"

/*
 * Requests that were refused as not run, and when their callers sent them
 * first.  Pure.
 *
 * Load pattern: servers turn requests away while they have room, and callers
 * come back within milliseconds.  What a caller says of its deadline does not
 * tell how long it has waited, as some wait shorter the second time: taken for
 * late, it stood behind all others.  That it is the same request again, from
 * the same caller, tells it.  In a large fleet it comes to another box each
 * time, and to the same home.
 */
struct returns;

/* At most `max` requests are kept, the latest refused ones. */
struct returns *returns_new(unsigned max);
void returns_free(struct returns *);

/* A request was refused that its caller sent at `first`, monotonic ns. */
void returns_record_refusal(
    struct returns *, struct fprint, int64_t first, int64_t now);

/*
 * One arrives: when was it sent first, if it was refused within
 * RETURNS_TTL_NS? 0: it was not.  It is forgotten, and refused again where it
 * is.
 */
int64_t returns_consume(struct returns *, struct fprint, int64_t now);

/*
 * How long those who came back lately had waited, ns; 0: nobody did.  One that
 * was refused by another home may be thought to have waited as long.
 */
int64_t returns_mean_wait(const struct returns *, int64_t now);

/* Callers who come back do so within this time. */
#define RETURNS_TTL_NS (5 * NS_S)

#endif
