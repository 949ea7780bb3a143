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
 * Who hands a change of the configuration on to whom.  Pure.
 *
 * What the platform tells a hub it hands on to all hubs; what it has from
 * there or from another hub, to leaves of its hall.  So each box sends to its
 * own hall and to hubs only, and a change is two steps from each box.
 */

enum spread_origin {
	SPREAD_FROM_PLATFORM, /* by the platform */
	SPREAD_FROM_BOX /* of another box */
};

/* Does our box hand a change on to another one? */
bool spread_should_send(struct memb *, const struct memb_member *to,
    enum spread_origin, bool large);

/* What is known where another box holds another configuration than ours. */
struct spread_difference {
	bool same_hall; /* it is of our hall */
	bool lists_complete; /* we have seen complete lists */
	bool hall_has_platform; /* the platform answers us or a box of our hall
				 */
	bool hall_box_silent; /* a box of our hall does not answer us */
	int64_t duration_ns; /* ns for which it has been so */
};

/* Is the difference to be found out and healed by that box? */
bool spread_should_compare(const struct spread_difference *);

#endif
