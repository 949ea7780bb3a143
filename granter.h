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
#ifndef GRANTER_H
#define GRANTER_H

#include <stdbool.h>
#include <stdint.h>

#include "allowance.h"
#include "msg.h"
#include "str.h"

/*
 * Decides which gate grants the requests of a customer, and how many.  No I/O:
 * times are passed in, and messages go through the operations below.
 *
 * Gates are identified by their inboxes.  The hubs are ranked for each
 * customer.  The first one in the ranking, the owner, grants the customer's
 * requests.  Each other one grants only while none of those before it answers
 * its pings.  Whoever grants reports what it has granted to the first two
 * others that answer, so that each of them can continue.
 *
 * While halls are cut off from each other each part has a gate that grants.  A
 * gate that is not in touch with all halls grants the share of those that it is
 * in touch with, and counts only what their boxes used.  Each query tells the
 * hall of the box that took the request, and what other gates granted to it.
 */
enum { GRANTER_RANKS = 5, GRANTER_TOLD = 2 };

/* What is known of a customer's usage when a gate begins to grant. */
enum granter_basis {
	GRANTER_REPORTED, /* usage was reported, or there was little of it */
	GRANTER_UNKNOWN /* no other gate of the ranking could report it */
};

struct granter_ops {
	/*
	 * Sets the inboxes of the first gates in the customer's ranking, which
	 * may include this gate, and returns their number.
	 */
	unsigned (*rank)(
	    void *, struct str customer, struct str[GRANTER_RANKS]);
	/* Returns false if there is no such customer.  A rate of 0: no limit */
	bool (*terms)(void *, struct str customer, double *rate, double *burst);
	/* Returns whether a gate is one of the hubs that this gate knows. */
	bool (*is_listed)(void *, struct str inbox);
	void (*send_query)(
	    void *, struct str to, const struct msg_rate_query *);
	/* The receiver may be this gate. */
	void (*send_grant)(
	    void *, struct str to, const struct msg_rate_grant *);
	void (*send_usage)(
	    void *, struct str to, const struct msg_rate_usage *);
	void (*ping)(void *, struct str to);
	/* granter_tick() is to be called at this time. */
	void (*wake)(void *, int64_t at);
	/* This gate begins to grant the customer's requests. */
	void (*taken_over)(void *, struct str customer, enum granter_basis,
	    uint32_t used, uint32_t limit);
	/* Another gate grants them from now on. */
	void (*given_up)(void *, struct str customer, struct str to);
	/* This gate grants the share of so many halls from now on. */
	void (*share_changed)(void *, unsigned joined, unsigned all);
};

/* Longest time that a request waits for a token of a bucket. */
#define GRANTER_WAIT_MAX_NS (INT64_C(10) * 1000 * 1000)
/* Retry-After where no owner replied, or the customer is not known. */
#define GRANTER_RETRY_AFTER_NS (INT64_C(300) * 1000 * 1000)

struct granter;
/* The gate has this inbox and hall, and started at this time, ms since 1970. */
struct granter *granter_new(struct str inbox, struct str hall,
    uint64_t started_ms, const struct granter_ops *, void *ctx);
void granter_free(struct granter *);

/*
 * Sets the length of the window in ns.  0, as at first: grants are given by
 * token buckets, and nothing is reported of them.  A change drops all usage.
 */
void granter_set_window(struct granter *, int64_t window);

/*
 * Hubs or customers have changed: call granter_update_begin(), then the other
 * functions for each hub and for each customer with a rate, then
 * granter_update_end().  A hub is new if its start time is.
 */
void granter_update_begin(struct granter *);
void granter_update_hub(struct granter *, struct str inbox, struct str hall,
    uint64_t started_ms, int64_t now);
void granter_update_customer(struct granter *, struct str name, int64_t now);
void granter_update_end(struct granter *, int64_t now);

/*
 * Returns the gate to query for a request, which may be this gate.  Gates that
 * recently did not reply are left out.
 */
struct str granter_target(
    struct granter *, struct str customer, bool *is_retry, int64_t now);
/*
 * Fills in what a query of this box to a gate tells besides its customer.  The
 * strings are valid as long as the granter and the buffer.
 */
void granter_fill_query(struct granter *, struct str target,
    struct msg_rate_query *, char counts[ALLOWANCE_PACKED_MAX], int64_t now);
/*
 * A gate has decided about a request of this box for a customer; a grant of it
 * was not used.
 */
void granter_received(struct granter *, struct str from, struct str customer,
    const struct msg_rate_grant *, int64_t now);
void granter_not_used(
    struct granter *, struct str from, struct str customer, int64_t now);
/* A query to this gate had no reply in time. */
void granter_query_lost(struct granter *, struct str inbox, int64_t now);

/*
 * A query has arrived from a gate, or from this one: grants or refuses it,
 * forwards it, or holds it until it is known whether another gate answers.
 */
void granter_query(struct granter *, struct str from,
    const struct msg_rate_query *, int64_t now);

/* A message from a gate has arrived. */
void granter_heard(struct granter *, struct str from, int64_t now);
void granter_usage(struct granter *, struct str from,
    const struct msg_rate_usage *, int64_t now);

/* A grant of this gate, given so long ago, was not used. */
void granter_give_back(
    struct granter *, struct str customer, int64_t age, int64_t now);

/* Sends reports that are due, and decides about gates that do not answer. */
void granter_tick(struct granter *, int64_t now);

#endif
