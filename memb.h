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
 * beat.  No I/O is done here.
 *
 * The first few strong boxes of a hall are its hubs.  Hubs know all boxes of
 * their hall and the hubs of all halls; the other boxes, the leaves, know hubs
 * only.  So what a leaf holds and hears does not grow with the fleet, and what
 * a hub does grows with its hall.  Which boxes are hubs follows from who is
 * alive; boxes that see others may differ for a moment.
 */

#define MEMB_ANSWER_TIMEOUT_NS                                                 \
	(3 * NS_S) /* time to answer before it is told dead */
#define MEMB_DEAD_RETENTION_NS (120 * NS_S)

enum {
	MEMB_POWER_ONE_CPU = 1000, /* the power of a whole processor */
	MEMB_STRONG_RATIO = 2, /* strong: half the greatest power, or more */
	/*
	 * Hubs of a hall: so many that the loss of half of them leaves some
	 * to share its services, and that all boxes of a small hall are hubs.
	 */
	MEMB_HUBS_MAX = 6,
	/* So many of those that watch the platform should be answered by it. */
	MEMB_WATCHERS_WITH_PLATFORM_MIN = 2
};

/* What a box tells about itself. */
struct memb_info {
	struct str box;
	struct str hall;
	struct str inbox; /* its agent's ZeroMQ address */
	struct str forward_address; /* its gate's address for passed requests */
	struct str gate_inbox; /* its gate's ZeroMQ address */
	uint64_t started_ms; /* start of its agent, ms since 1970 */
	uint64_t incarnation; /* counts up with each change of its word */
	uint64_t power; /* its share of a processor, in thousandths */
	uint64_t serving_gates; /* gates that serve in its hall, as far as it
				   knows */
	bool dead; /* told by a box that got no answer */
	bool leaving;
	bool ready; /* its gate serves */
	bool platform_unreachable; /* the platform does not answer it */
};

struct memb_member {
	struct memb_info info;
	int64_t last_update; /* monotonic ns of the last news; 0: never */
	int64_t unanswered_since; /* monotonic ns of a question without answer;
				     0: none */
	unsigned sends_left; /* how often this news is still to be passed on */
	bool listed; /* on the platform's list */
	uint64_t
	    sent_incarnation; /* the beat of ours that was sent to it last */
	/* The rest is memb.c's own. */
	uint64_t weight; /* the order among strong boxes */
	bool strong; /* by the most powerful box of its hall */
	bool was_hub; /* in its present state, or before it died or left */
	bool found_dead_here; /* it was we who found it dead */
	bool death_uncertain; /* and nobody spoke to us then */
	int hub_rank; /* hubs of its hall before it; -1: it is none */
};

/* Whom a box may ask. */
enum memb_target { MEMB_OWN_HALL_HUB, MEMB_OWN_HALL_LEAF, MEMB_OTHER_HALL_HUB };

struct memb;

struct memb *memb_new(const struct memb_info *self);
void memb_free(struct memb *);

/*
 * The box's own entry.  Whoever changes it calls memb_self_changed() then, so
 * that the others take the new word.
 */
struct memb_info *memb_self(struct memb *);
void memb_self_changed(struct memb *);

/* A box was heard of.  True if this tells something new. */
bool memb_update(struct memb *, const struct memb_info *, int64_t now);

/*
 * A box was asked; it answered, or told something by itself, and lives if it
 * was we who found it dead.
 */
void memb_request_sent(struct memb *, struct str box, int64_t now);
void memb_message_received(struct memb *, struct str box, int64_t now);

/*
 * Since when a box of our hall has a question of ours that it has not answered,
 * in monotonic ns; 0: none has.
 */
int64_t memb_oldest_unanswered(const struct memb *);

/* A box was sent our own word. */
void memb_self_sent(struct memb *, struct str box);

/*
 * Whom to ask next, at random; now and then one that is dead or only listed,
 * as it may be back.  NULL if none.
 */
const struct memb_member *
memb_pick_target(struct memb *, const struct rnd *, enum memb_target);

/* The same among those that live and owe us no answer. */
const struct memb_member *
memb_pick_responsive(struct memb *, const struct rnd *, enum memb_target);

/*
 * One strong box, dead or only listed, of each hall that has any; n at most.
 * They may be back, or we are.
 */
size_t memb_pick_lost(
    struct memb *, const struct rnd *, const struct memb_member **, size_t n);

/* The platform's list names a box; those not named since begin are unlisted. */
void memb_list_begin(struct memb *);
void memb_list_add(struct memb *, const struct memb_info *);

/*
 * Time passes: boxes that did not answer are dead, and those that are dead
 * for long and not listed are forgotten.  True if somebody died.
 *
 * Where nobody has spoken to us since we asked, it may be we that are cut off:
 * such deaths are not told, and forgotten with the next word of any box.  A
 * death in another hall is kept to ourselves as well: the boxes of that hall
 * know better, and a hall that was cut off would tell all others dead when it
 * is back.
 */
bool memb_tick(struct memb *, int64_t now);

/* We were paused: that nobody answered meanwhile tells nothing. */
void memb_cancel_requests(struct memb *);

bool memb_is_alive(const struct memb_member *);

/* Visit all members except ourselves. */
typedef void memb_visit_fn(void *, const struct memb_member *);
void memb_each(const struct memb *, memb_visit_fn *, void *);

size_t memb_count_alive(const struct memb *);

/* Boxes that are alive in a hall, ours among them; and how many serve. */
size_t memb_count_hall(const struct memb *, struct str hall);

/*
 * Numbers that are equal where two boxes know the same hubs, or the same boxes
 * of one hall, each in its present start and state.
 */
uint64_t memb_digest_hubs(struct memb *);
uint64_t memb_digest_hall(const struct memb *);

/* Gates that serve in our hall, as far as we know ourselves. */
uint64_t memb_count_serving(const struct memb *);

/* Gates that serve in the fleet, ours counted, as far as hubs have told. */
uint64_t memb_count_fleet_serving(struct memb *);

/* Is a box, ours or another one, a hub of its hall? */
bool memb_is_hub(struct memb *, struct str box);

/* Has our box half the power of its hall's strongest, or more? */
bool memb_is_strong(struct memb *);

/* Hubs alive in all halls, ours among them if it is one. */
size_t memb_count_hubs(struct memb *);

/* Does the platform answer any hub, as far as hubs have told? */
bool memb_has_hub_with_platform(struct memb *);

/* The hubs of a hall in their order; how many there are. */
size_t memb_hubs(
    struct memb *, struct str hall, const struct memb_info *[MEMB_HUBS_MAX]);

/*
 * Must a box know of a member?  Hubs are everybody's concern; leaves are that
 * of the hubs of their hall.
 */
bool memb_must_know(
    struct memb *, const struct memb_member *to, const struct memb_member *);

/*
 * Is it one to put on a list for others: alive, or a hub that is not any more,
 * as others have to hear of that too?
 */
bool memb_should_list(const struct memb *, const struct memb_member *);

const struct memb_member *memb_find(const struct memb *, struct str box);

/*
 * Is our box among the k hubs that come first for a key, by highest random
 * weight over the hubs of `hall` that are alive (of all, if hall is empty)?
 * Needs no agreement: boxes that see other lists may both think so.
 */
bool memb_is_in_top_hubs(struct memb *, struct str key, struct str hall, int k);

/*
 * Is a box one of the k that watch the platform for the fleet?  The first hub
 * of each hall goes before the second of any.  Where the platform answers too
 * few of these, the next hubs that it answers watch as well.
 */
bool memb_is_watcher(struct memb *, struct str box, int k);

/* Is there news that a box, which may be NULL, has not been told? */
bool memb_has_updates(struct memb *, const struct memb_member *to);

/* The weight of a box for a key, as memb_is_in_top_hubs() ranks them. */
uint64_t memb_weight(struct str key, struct str box);

/*
 * Up to n members worth passing on to a box: what is held of that box itself
 * if that is not its own word, then news, then one at random; only such as
 * concern it.
 */
size_t memb_collect_updates(struct memb *, const struct rnd *, struct str to,
    const struct memb_member **, size_t n);

void memb_info_copy(struct memb_info *, const struct memb_info *);
void memb_info_clear(struct memb_info *);

#endif
