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
 * Membership: merges the platform's list of boxes, which lags behind, with the
 * state that the boxes send each other by gossip.  A box counts as alive from
 * the first state received of it until it announces that it is leaving, or
 * until some box gets no reply from it and reports it dead.  A box that
 * receives a report of its own death refutes it by sending its state with a
 * higher incarnation number.  No I/O is done here.
 *
 * Up to MEMB_HUBS_MAX strong boxes of a hall, chosen by a hash of their names,
 * are its hubs.  Hubs know all boxes of their hall and the hubs of all halls;
 * the other boxes, the leaves, know only hubs.  So the state and traffic of a
 * leaf do not grow with the fleet, and those of a hub grow with its hall.  Each
 * box computes the hubs from the set of boxes that it considers alive; boxes
 * with different sets may disagree for a short time.
 */

/* A box that has not replied to a request for longer is declared dead. */
#define MEMB_REPLY_TIMEOUT_NS (3 * NS_S)
/*
 * A box that has not been alive for so long counts as lost: its power no longer
 * decides which boxes of its hall are strong.  This leaves strong boxes time to
 * restart, and this box time to hear of others again if it was cut off itself.
 */
#define MEMB_LOSS_TIMEOUT_NS (5 * NS_S)
/* How long a dead or departed box is kept that the platform does not list. */
#define MEMB_DEAD_RETENTION_NS (120 * NS_S)

enum {
	MEMB_POWER_ONE_CPU = 1000, /* `power` of one whole processor */
	/*
	 * A strong box has at least 1/2 of the greatest power of its hall.
	 * Boxes that are lost do not count: the platform's list contains them
	 * for as long as nobody removes their entries.
	 */
	MEMB_STRONG_RATIO = 2,
	/*
	 * Maximum number of hubs of a hall.  If half of them fail, several are
	 * left to share the services of the hall, and in a small hall all
	 * boxes are hubs.
	 */
	MEMB_HUBS_MAX = 6,
	/* Desired number of watchers that can reach the platform. */
	MEMB_WATCHERS_WITH_PLATFORM_MIN = 2
};

/* The state of a box, as it sends it to other boxes. */
struct memb_info {
	struct str box;
	struct str hall;
	struct str inbox; /* ZeroMQ address of its agent */
	struct str forward_address; /* of its gate, for forwarded requests */
	struct str gate_inbox; /* ZeroMQ address of its gate */
	uint64_t started_ms; /* start of its agent, ms since 1970 */
	uint64_t incarnation; /* incremented with each change of this state */
	uint64_t power; /* its processor share, in 1/MEMB_POWER_ONE_CPU */
	/* Number of serving gates of its hall, as far as it knows. */
	uint64_t serving_gates;
	bool dead; /* reported by a box that got no reply from it */
	bool leaving;
	bool ready; /* its gate serves */
	bool platform_unreachable; /* it gets no responses of the platform */
};

struct memb_member {
	struct memb_info info;
	int64_t last_update; /* monotonic ns of the last update; 0: none */
	/* When the unanswered request was sent, monotonic ns; 0: none. */
	int64_t unanswered_since;
	unsigned sends_left; /* how often `info` is still to be relayed */
	bool listed; /* on the platform's list */
	/* Incarnation of our own state last sent to it; 0: none. */
	uint64_t sent_incarnation;
	/* The members below are maintained by memb.c. */
	uint64_t weight; /* orders the strong boxes of a hall */
	bool strong; /* see MEMB_STRONG_RATIO */
	bool was_hub; /* is a hub, or was one when it died or left */
	bool was_alive; /* this box has known it alive */
	/* Since when it is dead, leaving or only listed; 0: it is alive. */
	int64_t absent_since;
	/* For MEMB_LOSS_TIMEOUT_NS, or dead and refusing connections. */
	bool lost;
	bool found_dead_here; /* dead, and this box detected it */
	bool death_uncertain; /* and this box received no messages meanwhile */
	/* This box received no messages when it sent the unanswered request. */
	bool asked_in_isolation;
	bool to_recheck; /* it is to be asked again, see memb_tick() */
	int hub_rank; /* position among the hubs of its hall; -1: not a hub */
};

/* Which boxes a request may go to. */
enum memb_target { MEMB_OWN_HALL_HUB, MEMB_OWN_HALL_LEAF, MEMB_OTHER_HALL_HUB };

struct memb;

/* `self` is copied. */
struct memb *memb_new(const struct memb_info *self);
void memb_free(struct memb *);

/*
 * The state of this box.  The caller may modify it, and then calls
 * memb_self_changed(), which increments its incarnation number so that other
 * boxes accept the new state.
 */
struct memb_info *memb_self(struct memb *);
void memb_self_changed(struct memb *);

/*
 * Merges the state of a box that was received from it or from another box.
 * Returns whether it was newer than the known state.
 */
bool memb_update(struct memb *, const struct memb_info *, int64_t now);

/* Records that a request was sent to a box. */
void memb_request_sent(struct memb *, struct str box, int64_t now);

/*
 * Records that a message, reply or not, was received from a box.  The box is
 * alive again if it was this box that had declared it dead.
 */
void memb_message_received(struct memb *, struct str box, int64_t now);

/*
 * Stores up to max boxes that are to be asked again now, see memb_tick(), and
 * returns their number.  Each is returned once.
 */
size_t
memb_take_rechecks(struct memb *, const struct memb_member **, size_t max);

/*
 * Returns when the oldest unanswered request to a box of our hall was sent, in
 * monotonic ns, or 0 if there is none.
 */
int64_t memb_oldest_unanswered(const struct memb *);

/* Returns whether a live hub has not replied to a request sent by `since`. */
bool memb_has_silent_hub(struct memb *, int64_t since);

/* Records that our own state was sent to a box. */
void memb_self_sent(struct memb *, struct str box);

/*
 * Returns a random box of a class to send a request to, or NULL if there is
 * none.  Occasionally picks a box that is dead or only listed, as it may have
 * returned.
 */
const struct memb_member *
memb_pick_target(struct memb *, const struct rnd *, enum memb_target);

/* The same among the live boxes without an unanswered request. */
const struct memb_member *
memb_pick_responsive(struct memb *, const struct rnd *, enum memb_target);

/*
 * Stores one strong box that is dead or only listed for each hall that has
 * any, n at most, and returns their number.  They may have returned, or this
 * box may have been cut off from them.
 */
size_t memb_pick_lost(
    struct memb *, const struct rnd *, const struct memb_member **, size_t n);

/*
 * Replace the platform's list: memb_list_begin() marks all boxes as unlisted,
 * memb_list_add() marks one as listed and adds it if it is not known.
 */
void memb_list_begin(struct memb *);
void memb_list_add(struct memb *, const struct memb_info *);

/*
 * Declares boxes dead that have not replied in MEMB_REPLY_TIMEOUT_NS, counts
 * those as lost that have not been alive for MEMB_LOSS_TIMEOUT_NS, and removes
 * unlisted ones that have been dead or gone for MEMB_DEAD_RETENTION_NS.
 * Returns whether any box was declared dead or lost.
 *
 * If no message at all has been received since the request, this box itself
 * may be cut off: such deaths are uncertain.  They are not reported to others,
 * and with the next message from any box the silent ones are to be asked again,
 * see memb_take_rechecks().  A death becomes certain when a later request gets
 * no reply while other boxes' messages come, or when another box reports it.  A
 * death in another hall is not reported either: the boxes of that hall know
 * better, and a hall that was cut off would otherwise report all others dead
 * when its connection is restored.
 */
bool memb_tick(struct memb *, int64_t now);

/*
 * Stores up to max strong boxes that are dead and not lost yet, and returns
 * their number.
 */
size_t memb_dead_strong(struct memb *, const struct memb_member **, size_t max);

/*
 * Records that the host of a dead box refused a connection to its inbox: its
 * process has ended, and it counts as lost at once.  Returns whether it does
 * from now on.
 */
bool memb_connection_refused(struct memb *, struct str box);

/*
 * Forgets all unanswered requests and the absences that are no losses yet.  For
 * use after this process was paused, when missing replies say nothing about
 * other boxes.
 */
void memb_cancel_requests(struct memb *);

bool memb_is_alive(const struct memb_member *);

/*
 * Returns whether a box is alive or has announced that it is leaving: it needs
 * to know the hubs until it has exited.
 */
bool memb_is_running(const struct memb_member *);

/* Calls the function for all members except this box. */
typedef void memb_visit_fn(void *, const struct memb_member *);
void memb_each(const struct memb *, memb_visit_fn *, void *);

/* Returns the number of live boxes, including this one. */
size_t memb_count_alive(const struct memb *);

/* Returns the number of boxes that are lost, see MEMB_LOSS_TIMEOUT_NS. */
size_t memb_count_lost(const struct memb *);

/* Returns the number of live boxes of a hall, including this one. */
size_t memb_count_hall(const struct memb *, struct str hall);

/*
 * Digests of the known hubs, and of the known live boxes of our hall.  They
 * cover name, start time and readiness of each.  Two boxes that know the same
 * compute equal digests.
 */
uint64_t memb_digest_hubs(struct memb *);
uint64_t memb_digest_hall(const struct memb *);

/* Returns the number of serving gates of our hall known to this box. */
uint64_t memb_count_serving(const struct memb *);

/*
 * Returns the number of serving gates of the fleet, by this box's knowledge
 * and that of the hubs.  Always counts the gate of this box.
 */
uint64_t memb_count_fleet_serving(struct memb *);

/* Returns whether a box, which may be this one, is a hub of its hall. */
bool memb_is_hub(struct memb *, struct str box);

/* Returns whether this box is a strong one, see MEMB_STRONG_RATIO. */
bool memb_is_strong(struct memb *);

/* Returns the number of live hubs of all halls, including this box. */
size_t memb_count_hubs(struct memb *);

/*
 * Returns whether a box is a strong one that is leaving.  It may still be
 * running, holds backend servers, and is of use where no hub is alive.
 */
bool memb_is_leaving_strong(struct memb *, const struct memb_member *);

/* Returns whether any hub can reach the platform, by the state that it sent. */
bool memb_has_hub_with_platform(struct memb *);

/* Stores the hubs of a hall, ordered by rank, and returns their number. */
size_t memb_hubs(
    struct memb *, struct str hall, const struct memb_info *[MEMB_HUBS_MAX]);

/*
 * Returns whether the box `to` must know of a member: all boxes must know the
 * hubs, and the hubs of a hall must know its leaves.
 */
bool memb_must_know(
    struct memb *, const struct memb_member *to, const struct memb_member *);

/*
 * Returns whether a member belongs on a list sent to other boxes: it is alive,
 * or is leaving and was known alive here, or it was a hub and others have to
 * learn that it died or left.
 */
bool memb_should_list(const struct memb *, const struct memb_member *);

/* Returns NULL if the box is not known, or is this box. */
const struct memb_member *memb_find(const struct memb *, struct str box);

/*
 * Returns whether this box is among the first k hubs for a key, by highest
 * random weight over the live hubs of `hall`, or of all halls if `hall` is
 * empty.  This needs no agreement, so that more than k boxes may get true
 * while they know different hubs.
 */
bool memb_is_in_top_hubs(struct memb *, struct str key, struct str hall, int k);

/*
 * Returns whether a box is one of the k that watch the platform for the fleet.
 * Hubs are chosen by rank: the first hubs of all halls, then the second ones,
 * and so on.  If fewer than k of them, or MEMB_WATCHERS_WITH_PLATFORM_MIN, can
 * reach the platform, the next hubs that can reach it watch as well.
 */
bool memb_is_watcher(struct memb *, struct str box, int k);

/* Returns whether updates remain to be relayed to a box; it may be NULL. */
bool memb_has_updates(struct memb *, const struct memb_member *to);

/* Returns the weight of a box for a key, used by memb_is_in_top_hubs(). */
uint64_t memb_weight(struct str key, struct str box);

/*
 * Stores up to n members to relay to a box and returns their number.  First
 * comes the box's own entry if it is certainly dead here, so that it can refute
 * that, then updates that remain to be relayed, and if there are none of either
 * a random member.  Only members that the box must know are stored.
 */
size_t memb_collect_updates(struct memb *, const struct rnd *, struct str to,
    const struct memb_member **, size_t n);

/* Copies the strings too; memb_info_clear() frees them. */
void memb_info_copy(struct memb_info *, const struct memb_info *);
void memb_info_clear(struct memb_info *);

#endif
