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
#ifndef MEMB_H
#define MEMB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "str.h"

/*
 * Membership: the platform's lagging list of boxes joined with what was
 * heard from the boxes themselves.  A box counts as alive when it was heard,
 * from itself or through others, within MEMB_ALIVE_NS and did not say that
 * it is leaving; the list only tells whom to try.  No I/O is done here.
 */

#define MEMB_ALIVE_NS (6 * NS_S)
#define MEMB_FORGET_NS (120 * NS_S)

/* What a box tells about itself. */
struct memb_info {
	struct str box;
	struct str hall;
	struct str inbox; /* its agent's ZeroMQ address */
	struct str pass; /* its gate's address for passed requests */
	struct str gate_inbox; /* its gate's ZeroMQ address */
	uint64_t boot; /* start of its agent, ms since 1970 */
	uint64_t beat; /* counts up while it lives */
	bool leaving;
	bool ready; /* its gate serves */
};

struct memb_member {
	struct memb_info info;
	int64_t heard; /* monotonic ns of the last new beat; 0: never */
	bool listed; /* on the platform's list */
};

struct memb;

struct memb *memb_new(const struct memb_info *self);
void memb_free(struct memb *);

/* The box's own entry, to be changed in place by its owner. */
struct memb_info *memb_self(struct memb *);

/* A box was heard of.  True if this tells something new. */
bool memb_heard(struct memb *, const struct memb_info *, int64_t now);

/* The platform's list names a box; those not named since begin are unlisted. */
void memb_list_begin(struct memb *);
void memb_listed(struct memb *, struct str box, struct str hall,
    struct str inbox, bool leaving, int64_t now);

/* Forget boxes that are neither listed nor heard of for long. */
void memb_tick(struct memb *, int64_t now);

/* We were paused for `away` ns: what we did not hear meanwhile tells nothing.
 */
void memb_paused(struct memb *, int64_t away);

bool memb_alive(const struct memb *, const struct memb_member *, int64_t now);

/* Visit all members except ourselves. */
typedef void memb_visit_fn(void *, const struct memb_member *);
void memb_each(const struct memb *, memb_visit_fn *, void *);

size_t memb_count_alive(const struct memb *, int64_t now);

/*
 * Is our box among the k that come first for a key, by highest random
 * weight over the boxes of `hall` that are alive (of all, if hall is empty)?
 * Needs no agreement: boxes that see other lists may both think so.
 */
bool memb_is_first(
    const struct memb *, struct str key, struct str hall, int k, int64_t now);

/* The weight of a box for a key, as memb_is_first() ranks them. */
uint64_t memb_weight(struct str key, struct str box);

/* Copy up to n members at random, for gossip; returns how many. */
size_t memb_sample(const struct memb *, const struct rnd *, int64_t now,
    const struct memb_member **, size_t n);

void memb_info_copy(struct memb_info *, const struct memb_info *);
void memb_info_clear(struct memb_info *);

#endif
