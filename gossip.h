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
#ifndef GOSSIP_H
#define GOSSIP_H

#include <jansson.h>

#include "clk.h"
#include "memb.h"
#include "msg.h"

/*
 * How boxes come to know each other, and keep that up to date: who is asked
 * and told what, and when.  Pure: messages, lists and time come in by calls,
 * and what is to be sent goes out by callbacks.
 *
 * A box that starts reads the platform's list, which only hubs are on, and
 * asks the hubs of its hall; seeds are asked where that leads to nobody.  From
 * then on a leaf asks one hub of its hall at a time, and a hub asks hubs and,
 * seldom, a leaf.  Each announcement tells digests of what its sender knows,
 * and a receiver that knows otherwise sends its list.  Between boxes that know
 * each other's present word a beat of some 90 bytes stands for an announcement
 * of 250 and more, so that a leaf can ask each second.
 */

struct gossip_ops {
	/* Send an announcement, or what stands for one where nothing has
	 * changed. */
	void (*announcement)(
	    void *, struct str to, const struct msg_announcement *);
	void (*send_heartbeat)(
	    void *, struct str to, const struct msg_heartbeat *);
	/* Send a list of members. */
	void (*send_members)(void *, struct str to, const struct msg_members *);
	/* Which configuration we have. */
	struct msg_conf_summary (*conf_summary)(void *);
	/*
	 * Have the platform list its boxes, tell memb of these, and call
	 * gossip_list_received(); whoever does it tries again where that fails.
	 */
	void (*list_boxes)(void *);
	void *ctx;
};

/* What may change while a box runs. */
struct gossip_settings {
	int64_t announce_interval_ns; /* between two rounds of questions */
	int64_t list_interval_ns; /* between two lists, for those that watch */
	int64_t hub_list_interval_ns; /* and for the other hubs */
	int watchers; /* boxes that watch the platform, of the fleet */
	const json_t *seeds; /* addresses of inboxes */
};

struct gossip;

/* `memb` stays the owner's, and outlives it. */
struct gossip *gossip_new(const struct gossip_ops *, struct memb *,
    const struct clk *, const struct rnd *);
void gossip_free(struct gossip *);
void gossip_configure(struct gossip *, const struct gossip_settings *);

/* Do what is due; returns when something will be, in monotonic ns. */
int64_t gossip_run(struct gossip *);

/* The platform's list is in memb. */
void gossip_list_received(struct gossip *);

/* Messages of another box. */
void gossip_on_announcement(
    struct gossip *, struct str from, const struct msg_announcement *);
void gossip_on_heartbeat(
    struct gossip *, struct str from, const struct msg_heartbeat *);
void gossip_on_members(struct gossip *, const struct msg_members *);

/*
 * Our own word has changed in a way that the others have to hear at once: all
 * whom it concerns are told.  Before an end nothing is put off.
 */
void gossip_announce(struct gossip *, bool at_once);

/* Our gate got no answer of a box's: ask it now whether it lives. */
void gossip_check_suspect(struct gossip *, struct str box);

/* Are the boxes near known, or was there time for them to answer? */
bool gossip_is_settled(const struct gossip *);

/*
 * Do we know how strong our box is among its hall's: does the platform list
 * others of them, or has there been time for stronger ones to tell of
 * themselves?
 */
bool gossip_knows_relative_power(const struct gossip *);

/* Is our box a hub, as far as that is known? */
bool gossip_is_hub(struct gossip *);

/* Does a box of our hall leave a question of ours without an answer? */
bool gossip_has_unresponsive_peer(const struct gossip *);

/*
 * Has no hub that hears from the platform said anything for a while, though
 * some box was asked?  Then nobody tells us of changes.
 */
bool gossip_is_unattended(const struct gossip *);

/* Have hubs said, though, that the platform does not answer them? */
bool gossip_hubs_lost_platform(const struct gossip *);

/* Gates that serve in our hall, as its hubs say. */
uint64_t gossip_serving_gates(struct gossip *);

/* We know what our hubs may not: the next round is now. */
void gossip_start_round_now(struct gossip *);

/* Boxes that were asked at the start. */
unsigned gossip_initial_requests(const struct gossip *);

#endif
