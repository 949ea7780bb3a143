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
#ifndef CONTACT_H
#define CONTACT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/*
 * Which halls a gate is in touch with.  A hall is in touch if something was
 * heard of it lately: a message of one of its hubs, or a query for a request
 * that one of its boxes took.  Whether a hall that is silent is cut off or has
 * failed cannot be told.  There is no I/O; times are passed in.
 */

/* A hall of which nothing was heard for so long is not in touch. */
#define CONTACT_SILENT_NS (INT64_C(250) * 1000 * 1000)
/* Interval of pings to the hubs of a hall that is to be heard. */
#define CONTACT_PING_NS (INT64_C(100) * 1000 * 1000)
/* A hall that is there answers a ping within this time. */
#define CONTACT_ANSWER_NS (INT64_C(50) * 1000 * 1000)
/*
 * A hall that was lost has joined after this time in touch: until then its
 * gates and ours may not know yet which of them grants.
 */
#define CONTACT_JOIN_NS (INT64_C(1500) * 1000 * 1000)
/* A hall without hubs is forgotten after this time. */
#define CONTACT_FORGET_NS (INT64_C(120) * 1000 * 1000 * 1000)

/* More halls are not told apart: messages of others name them. */
enum { CONTACT_HALLS_MAX = 64 };

enum contact_state {
	CONTACT_SILENT, /* not in touch */
	CONTACT_JOINING, /* in touch again, for less than CONTACT_JOIN_NS */
	CONTACT_JOINED
};

struct contact_hall {
	struct str name;
	struct str leaf; /* inbox of a leaf that was heard; empty: none */
	/* Monotonic ns; 0: never. */
	int64_t heard_at, pinged_at;
	int64_t first_pinged_at; /* of the pings since it was heard; 0: none */
	int64_t joined_at; /* it has joined from then on; 0: it was not lost */
	int64_t silence; /* how long it was silent before, ns */
	bool is_listed; /* it has hubs, by the member list */
	int64_t unlisted_at; /* since when it has none */
};

struct contacts {
	struct contact_hall *own;
	GPtrArray *halls; /* struct contact_hall * */
};

void contacts_init(struct contacts *, struct str own_hall);
void contacts_clear(struct contacts *);

/*
 * Returns the entry of a hall, which is added if it is new; NULL if the name is
 * empty or there are too many.
 */
struct contact_hall *
contacts_get(struct contacts *, struct str hall, int64_t now);

/*
 * The member list has changed: call contacts_list_begin(), then
 * contacts_list_add() for the hall of each hub, then contacts_list_end().
 */
void contacts_list_begin(struct contacts *);
struct contact_hall *
contacts_list_add(struct contacts *, struct str hall, int64_t now);
void contacts_list_end(struct contacts *, int64_t now);

/* The state of a hall; that of one that is not known (NULL) is JOINED. */
enum contact_state contacts_state(
    const struct contacts *, const struct contact_hall *, int64_t now);

/*
 * Returns how much of its own share of a limit, 0 to 1, a hall that is joining
 * may have used of which this gate does not know: others may have granted for
 * as long as it was silent.  It declines at half the rate at which use ends
 * that is spread evenly, as it may have come at once.
 */
double
contact_unknown_use(const struct contact_hall *, int64_t window, int64_t now);

/* Return how many halls are in a state, and how many there are. */
unsigned
contacts_count(const struct contacts *, enum contact_state, int64_t now);
unsigned contacts_count_all(const struct contacts *, int64_t now);

/* A message of a box of a hall has arrived; the hall may be NULL. */
void contact_heard(struct contact_hall *, int64_t now);
void contact_set_leaf(struct contact_hall *, struct str inbox);
/* Returns the hall of the leaf that was heard last; NULL if it is not one. */
struct contact_hall *
contacts_of_leaf(const struct contacts *, struct str inbox);
/* The hall's hubs and its leaf were pinged. */
void contact_pinged(struct contact_hall *, int64_t now);

/* Returns whether the hubs of a hall are to be pinged now. */
bool contact_is_ping_due(const struct contact_hall *, int64_t now);

/* Returns whether those of any other hall are. */
bool contacts_are_ping_due(const struct contacts *, int64_t now);

/* Returns whether a hall that is not in touch may still answer its ping. */
bool contacts_are_awaited(const struct contacts *, int64_t now);

#endif
