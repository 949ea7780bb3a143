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
#ifndef SYNC_H
#define SYNC_H

#include "clk.h"
#include "conf.h"
#include "msg.h"

/*
 * Anti-entropy exchange of configuration between two processes, in at most
 * four messages.  If their digests differ, one sends the digests of all
 * buckets; the other answers with the versions in the buckets that differ; and
 * objects whose versions differ are sent or requested.  The number of bytes
 * sent grows with the difference, not with the size of the configuration.
 *
 * Used between agents, and between an agent and its gate.  No I/O is done
 * here: messages are sent through a callback.
 */

/* Sends a message to an inbox.  The message is valid during the call only. */
typedef void sync_send_fn(void *, struct str to, const struct msg *);

struct sync {
	struct conf *conf;
	sync_send_fn *send;
	void *ctx;
	bool rules_only; /* this process stores rules, but no backend servers */
	uint64_t messages_sent;
	const struct clk *clk;
	/*
	 * Monotonic ns of the last confirmation by the platform that the rules
	 * here are current; 0: never.
	 */
	int64_t confirmed_at;
};

/* Returns the digests, floor and age of our configuration, for a peer. */
struct msg_conf_summary sync_conf_summary(const struct sync *);

/* The platform confirmed just now that the rules here are current. */
void sync_confirm(struct sync *);

/*
 * Applies the time at which the platform last confirmed the rules of a peer,
 * if the peer has the same rules.
 */
void sync_confirm_from_peer(struct sync *, const struct msg_conf_summary *);

/* Returns the time since the last confirmation in ms; -1: never. */
int64_t sync_age_ms(const struct sync *);

/*
 * Returns whether a peer has the same configuration, in the parts that both
 * store.
 */
bool sync_is_equal(const struct sync *, const struct msg_conf_summary *);

/*
 * Compares our configuration with that of a peer.  If they are equal, the
 * floor of the peer is applied; if not, the exchange starts.
 */
void
sync_compare(struct sync *, struct str from, const struct msg_conf_summary *);

/*
 * Handles MSG_BUCKETS, MSG_VERSIONS, MSG_OBJECT_REQUEST and MSG_OBJECTS;
 * ignores other messages.
 */
void sync_on_message(struct sync *, const struct msg *);

/* Objects that are encoded once, to be sent to many peers. */
struct sync_pack;
struct sync_pack *sync_pack_new(void);
void sync_pack_free(struct sync_pack *);

/*
 * Adds the present state of an object, whose key must outlive the pack.
 * Returns the size of its encoded text in bytes.
 */
size_t sync_pack_add(struct sync_pack *, const struct conf_entry *);

/* Moves the object that was added last; it must have a text. */
void sync_pack_move_last(struct sync_pack *from, struct sync_pack *to);

/* Sends all objects of a pack, in as many messages as needed. */
void sync_pack_send(struct sync *, const struct sync_pack *, struct str to);

#endif
