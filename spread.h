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
#ifndef SPREAD_H
#define SPREAD_H

#include "memb.h"

/*
 * Decides which box forwards a change of the configuration to which.  Pure
 * functions without I/O.
 *
 * A hub forwards a change from the platform to all hubs, and a change from the
 * platform or from another hub to leaves of its hall.  So each box sends to its
 * own hall and to hubs only, and a change takes two hops to reach all boxes.
 */

enum spread_origin {
	SPREAD_FROM_PLATFORM, /* received from the platform */
	SPREAD_FROM_BOX /* received from another box */
};

/*
 * Returns whether this box forwards a change to another box.  Large changes
 * are sent to each leaf by fewer hubs.
 */
bool spread_should_send(struct memb *, const struct memb_member *to,
    enum spread_origin, bool large);

/* A difference between our configuration and that of another box. */
struct spread_difference {
	bool same_hall; /* the other box is in our hall */
	bool lists_complete; /* we have seen complete lists */
	/* The platform answers this box or another one of our hall. */
	bool hall_has_platform;
	bool hall_box_silent; /* a box of our hall does not answer us */
	int64_t duration_ns; /* since configurations differ; 0: equal */
};

/* Returns whether to compare configurations with that box now. */
bool spread_should_compare(const struct spread_difference *);

/* For how long the configuration of each hall has differed from ours. */
struct spread_halls;

struct spread_halls *spread_halls_new(void);
void spread_halls_free(struct spread_halls *);

/*
 * Records whether the configuration of a box differs from ours.  Returns for
 * how long, in ns, no box of its hall had an equal one; 0: this box has.
 */
int64_t spread_halls_record(
    struct spread_halls *, struct str hall, bool differs, int64_t now);

#endif
