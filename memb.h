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
 * Membership: the platform's lagging list of boxes joined with what the boxes
 * tell of each other.  A box counts as alive from its first word until it
 * says that it leaves, or until some box that asked it got no answer and
 * tells so.  A box that hears itself told as dead refutes that with a higher
 * beat.  At rest nothing is told but questions and answers, so that the cost
 * does not grow with the fleet.  No I/O is done here.
 */

#define MEMB_ANSWER_NS (3 * NS_S) /* time to answer before it is told dead */
#define MEMB_FORGET_NS (120 * NS_S)

enum {
	MEMB_POWER_UNIT = 1000, /* the power of a whole processor */
	MEMB_STRONG_RATIO = 2 /* strong: half the greatest power, or more */
};

/* What a box tells about itself. */
struct memb_info {
	struct str box;
	struct str hall;
	struct str inbox; /* its agent's ZeroMQ address */
	struct str pass; /* its gate's address for passed requests */
	struct str gate_inbox; /* its gate's ZeroMQ address */
	uint64_t boot; /* start of its agent, ms since 1970 */
	uint64_t beat; /* counts up with each change of its word */
	uint64_t power; /* its share of a processor, in thousandths */
	bool dead; /* told by a box that got no answer */
	bool leaving;
	bool ready; /* its gate serves */
	bool blind; /* the platform does not answer it */
};

struct memb_member {
	struct memb_info info;
	int64_t heard; /* monotonic ns of the last news; 0: never */
	int64_t asked; /* monotonic ns of a question without answer; 0: none */
	unsigned untold; /* how often this news is still to be passed on */
	bool listed; /* on the platform's list */
};

struct memb;

struct memb *memb_new(const struct memb_info *self);
void memb_free(struct memb *);

/* The box's own entry, to be changed in place by its owner. */
struct memb_info *memb_self(struct memb *);

/* A box was heard of.  True if this tells something new. */
bool memb_heard(struct memb *, const struct memb_info *, int64_t now);

/* A box was asked; it answered, or told something by itself. */
void memb_asked(struct memb *, struct str box, int64_t now);
void memb_answered(struct memb *, struct str box);

/*
 * Whom to ask next: any box (hall empty) or one of a hall, at random; now and
 * then one that is dead or only listed, as it may be back.  NULL if none.
 */
const struct memb_member *
memb_ask_next(const struct memb *, const struct rnd *, struct str hall);

/* The platform's list names a box; those not named since begin are unlisted. */
void memb_list_begin(struct memb *);
void memb_listed(struct memb *, const struct memb_info *);

/*
 * Time passes: boxes that did not answer are dead, and those that are dead
 * for long and not listed are forgotten.  True if somebody died.
 */
bool memb_tick(struct memb *, int64_t now);

/* We were paused: that nobody answered meanwhile tells nothing. */
void memb_paused(struct memb *);

bool memb_alive(const struct memb_member *);

/* Visit all members except ourselves. */
typedef void memb_visit_fn(void *, const struct memb_member *);
void memb_each(const struct memb *, memb_visit_fn *, void *);

size_t memb_count_alive(const struct memb *);

/*
 * Is our box among the k that come first for a key, by highest random
 * weight over the boxes of `hall` that are alive (of all, if hall is empty)?
 * Needs no agreement: boxes that see other lists may both think so.
 */
bool memb_is_first(const struct memb *, struct str key, struct str hall, int k);

/*
 * The same of any box, ours or another one that is alive; with by_power, the
 * strong boxes of the hall come first.
 */
bool memb_ranks_first(const struct memb *, const struct memb_info *,
    struct str key, struct str hall, int k, bool by_power);

/*
 * How many boxes of a hall that the platform answers come before a box, the
 * strong ones first; and how many of these there are.
 */
int memb_rank_seeing(const struct memb *, const struct memb_info *,
    struct str key, struct str hall, int *strong);

/*
 * The same among those that the platform answers; where these are fewer than
 * k, a box that is first among all is first here too.
 */
bool memb_ranks_first_seeing(const struct memb *, const struct memb_info *,
    struct str key, struct str hall, int k);

/* The weight of a box for a key, as memb_is_first() ranks them. */
uint64_t memb_weight(struct str key, struct str box);

/*
 * Up to n members worth passing on to a box: what is held of that box itself
 * if that is not its own word, then news, then one at random.
 */
size_t memb_news(struct memb *, const struct rnd *, struct str to,
    const struct memb_member **, size_t n);

void memb_info_copy(struct memb_info *, const struct memb_info *);
void memb_info_clear(struct memb_info *);

#endif
