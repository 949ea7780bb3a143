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
 * The exchange of configuration between two processes, in at most four
 * messages: digests that differ lead to the digests of all buckets, buckets
 * that differ to the versions in them, and versions that differ to objects.
 * What crosses the wire grows with the difference, not with what is kept.
 * Used between agents and between an agent and its gate.  No I/O is done
 * here: replies go out through a callback.
 */

/* Send a message to an inbox.  The message is valid during the call only. */
typedef void sync_send_fn(void *, struct str to, const struct msg *);

struct sync {
	struct conf *conf;
	sync_send_fn *send;
	void *ctx;
	bool rules_only; /* we hold rules only, and no backend servers */
	uint64_t messages_sent; /* sent, for the counters */
	const struct clk *clk; /* for `confirmed` */
	int64_t
	    confirmed_at; /* the platform last did, for our rules; 0: never */
};

/* What we hold, to be told to a peer. */
struct msg_conf_summary sync_conf_summary(const struct sync *);

/*
 * The platform has said, now, that our rules are the ones that it has.  What a
 * peer with the same rules was told counts as well: sync_confirm_from_peer().
 */
void sync_confirm(struct sync *);
void sync_confirm_from_peer(struct sync *, const struct msg_conf_summary *);

/* How long ago that was, in ms; -1: it never was. */
int64_t sync_age_ms(const struct sync *);

/* Does a peer hold the same, as far as both hold it? */
bool sync_is_equal(const struct sync *, const struct msg_conf_summary *);

/*
 * A peer has told what it holds.  Where that equals ours, its floor is taken
 * over; where not, the exchange begins.
 */
void
sync_compare(struct sync *, struct str from, const struct msg_conf_summary *);

/* Take one of MSG_BUCKETS, MSG_VERSIONS, MSG_OBJECT_REQUEST and MSG_OBJECTS. */
void sync_on_message(struct sync *, const struct msg *);

/* Objects written down once, to be sent to many peers. */
struct sync_pack;
struct sync_pack *sync_pack_new(void);
void sync_pack_free(struct sync_pack *);

/* Add an object in the state that is known here; the bytes that it takes. */
size_t sync_pack_add(struct sync_pack *, const struct conf_entry *);

/* Move the object that was added last; it must have a text. */
void sync_pack_move_last(struct sync_pack *from, struct sync_pack *to);

/* Send what a pack holds, in as many messages as it takes. */
void sync_pack_send(struct sync *, const struct sync_pack *, struct str to);

#endif
