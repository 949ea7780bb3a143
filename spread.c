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
#include "spread.h"

/*
 * Hubs of a hall that send the same to one of its leaves, or a few more: one
 * that is cut off is then not missed.  What is large takes a weak link long.
 */
enum { SMALL_COPIES = 3, LARGE_COPIES = 2 };

/* Of a leaf's hubs, one in `share` sends to it: the `own` one. */
static bool
is_our_leaf(struct memb *mb, const struct memb_member *to, bool large)
{
	const struct memb_info *hubs[MEMB_HUBS_MAX];
	const struct memb_info *self = memb_self(mb);
	unsigned n = (unsigned)memb_hubs(mb, self->hall, hubs), own;
	unsigned share =
	    MAX(n / (unsigned)(large ? LARGE_COPIES : SMALL_COPIES), 1);

	for (own = 0; own < n; own++)
		if (hubs[own] == self)
			break;
	return own < n &&
	    memb_weight(STR_LIT("spread"), to->info.box) % share == own % share;
}

/*
 * All hubs get a change from each box that the platform tells it.  With each
 * such box sending to some of them, a change that only one box was told took
 * two seconds to the hubs that this one left to others.
 */
bool
spread_should_send(struct memb *mb, const struct memb_member *to,
    enum spread_origin origin, bool large)
{
	const struct memb_info *self = memb_self(mb);

	if (!memb_is_alive(to) || !memb_is_hub(mb, self->box))
		return false;
	if (memb_is_hub(mb, to->info.box))
		return origin == SPREAD_FROM_PLATFORM;
	return str_eq(to->info.hall, self->hall) && is_our_leaf(mb, to, large);
}

/* A difference to another hall that lasts so long is healed from there. */
#define AWAY_WAIT_NS (1500 * NS_MS)
/*
 * So long the first lists of a box that starts may take: they are on their way
 * from the platform.  Compared at once, the versions of all objects crossed
 * between halls for each hub that started: with 296 boxes and 3,000 backend
 * servers 10 of 37 MB of a day, most of them after a loss of all boxes.
 */
#define START_WAIT_NS (700 * NS_MS)

/*
 * A difference to a box of another hall heals by itself while our own hall
 * hears from the platform; bytes between halls are dear.
 */
bool
spread_should_compare(const struct spread_difference *d)
{
	int64_t wait = d->lists_complete ? AWAY_WAIT_NS : START_WAIT_NS;

	return d->same_hall || d->hall_box_silent || !d->hall_has_platform ||
	    d->duration_ns == 0 || d->duration_ns > wait;
}
