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
 * The gossip protocol by which boxes discover each other and keep their
 * membership up to date: decides what is sent to which box and when.  No I/O is
 * done here: messages, lists and time come in by calls, and messages to send go
 * out by callbacks.
 *
 * A box that starts reads the platform's list, which contains only hubs, and
 * sends requests to the hubs of its hall, or to the configured seeds if it
 * finds none.  Afterwards a leaf sends one request a round to a hub of its
 * hall, and a hub sends requests to hubs and to one leaf.
 *
 * The requests are announcements.  An announcement contains the state of its
 * sender, updates about other boxes, and digests of what the sender knows; a
 * receiver with different digests sends its list of members.  Boxes that know
 * each other's present state exchange heartbeats of about 90 bytes in place of
 * announcements of 250 or more, so that a leaf can send a request each second.
 */

struct gossip_ops {
	/*
	 * Send a message to the inbox `to`: the whole state of this box, a
	 * heartbeat if nothing has changed, or a list of members.
	 */
	void (*send_announcement)(
	    void *, struct str to, const struct msg_announcement *);
	void (*send_heartbeat)(
	    void *, struct str to, const struct msg_heartbeat *);
	void (*send_members)(void *, struct str to, const struct msg_members *);
	/* Returns a summary of the configuration that this box holds. */
	struct msg_conf_summary (*conf_summary)(void *);
	/*
	 * Starts listing the boxes of the platform.  The callee enters them
	 * into the membership and then calls gossip_list_received(); it retries
	 * by itself on failure.
	 */
	void (*list_boxes)(void *);
	void *ctx;
};

/* Settings, which may change at run time. */
struct gossip_settings {
	int64_t announce_interval_ns; /* between rounds of requests */
	int64_t list_interval_ns; /* between lists of boxes, of watchers */
	int64_t hub_list_interval_ns; /* the same, of the other hubs */
	int watchers; /* boxes of the fleet that watch the platform */
	const json_t *seeds; /* addresses of inboxes; borrowed */
};

struct gossip;

/* The pointers are borrowed and must outlive the result; `ops` is copied. */
struct gossip *gossip_new(const struct gossip_ops *, struct memb *,
    const struct clk *, const struct rnd *);
void gossip_free(struct gossip *);
void gossip_configure(struct gossip *, const struct gossip_settings *);

/*
 * Does everything that is due, and returns the time of the next event in
 * monotonic ns, at which it is to be called again at the latest.
 */
int64_t gossip_run(struct gossip *);

/* Continues after the platform's list was entered into the membership. */
void gossip_list_received(struct gossip *);

/* Process a message from another box, whose inbox is `from`. */
void gossip_on_announcement(
    struct gossip *, struct str from, const struct msg_announcement *);
void gossip_on_heartbeat(
    struct gossip *, struct str from, const struct msg_heartbeat *);
void gossip_on_members(struct gossip *, const struct msg_members *);

/*
 * Sends the changed state of this box to all boxes that must know of it.  The
 * messages go out in batches, or all in this call if `at_once` is set, as is
 * needed before the process exits.
 */
void gossip_announce(struct gossip *, bool at_once);

/* Checks now if a box is alive whose gate has not replied to ours. */
void gossip_check_suspect(struct gossip *, struct str box);

/*
 * Returns whether the discovery is complete: at least half of the boxes that
 * were contacted first are known, or the time for their replies is over.
 */
bool gossip_is_settled(const struct gossip *);

/*
 * Returns whether this box can know if it is strong in its hall: the platform
 * lists other boxes of the hall, or stronger ones had enough time to announce
 * themselves.
 */
bool gossip_knows_relative_power(const struct gossip *);

/* Returns whether this box is a hub; false while that cannot be known. */
bool gossip_is_hub(struct gossip *);

/* Returns whether a box of our hall has not replied to a request in time. */
bool gossip_has_unresponsive_peer(const struct gossip *);

/*
 * Returns whether this box has waited too long for a message of a hub that can
 * reach the platform.  It then learns of no changes of the configuration.
 */
bool gossip_is_unattended(const struct gossip *);

/*
 * Returns whether hubs have reported during that wait that they cannot reach
 * the platform.
 */
bool gossip_hubs_lost_platform(const struct gossip *);

/* Returns the number of serving gates of our hall reported by its hubs. */
uint64_t gossip_serving_gates(struct gossip *);

/* Starts the next round now, as this box may know what its hubs do not. */
void gossip_start_round_now(struct gossip *);

/* Returns the number of boxes contacted during discovery. */
unsigned gossip_initial_requests(const struct gossip *);

#endif
