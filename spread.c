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
 * Number of hubs, or a few more, that send the same change to a leaf of their
 * hall, so that the leaf gets it even if one of them is disconnected.  Large
 * changes are sent by fewer hubs, as they take a slow link a long time.
 */
enum { SMALL_SENDERS = 3, LARGE_SENDERS = 2 };

/*
 * Returns whether this box is one of the hubs that send changes to a leaf.  One
 * in `stride` hubs does; a hash of the leaf's name selects which.
 */
static bool
forwards_to_leaf(struct memb *mb, const struct memb_member *to, bool large)
{
	const struct memb_info *hubs[MEMB_HUBS_MAX];
	const struct memb_info *self = memb_self(mb);
	unsigned n = (unsigned)memb_hubs(mb, self->hall, hubs), own_rank;
	unsigned stride =
	    MAX(n / (unsigned)(large ? LARGE_SENDERS : SMALL_SENDERS), 1);

	for (own_rank = 0; own_rank < n; own_rank++)
		if (hubs[own_rank] == self)
			break;
	return own_rank < n &&
	    memb_weight(STR_LIT("spread"), to->info.box) % stride ==
	    own_rank % stride;
}

/*
 * Each box that receives a change from the platform forwards it to all hubs.
 * With each such box forwarding to some hubs only, a change that the platform
 * sent to one box only took two seconds to reach the other hubs.
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
	return str_eq(to->info.hall, self->hall) &&
	    forwards_to_leaf(mb, to, large);
}

/* A difference to a box of another hall is compared after this time. */
#define OTHER_HALL_DELAY_NS (1500 * NS_MS)
/*
 * Time for the first lists of a starting box to arrive from the platform.  If
 * configurations were compared at once, each starting hub would exchange the
 * versions of all objects between halls: with 296 boxes and 3,000 backend
 * servers this made 10 of 37 MB a day, most of them after a loss of all boxes.
 */
#define START_DELAY_NS (700 * NS_MS)

/*
 * A difference to a box of another hall usually disappears by itself while our
 * own hall has contact with the platform.  Traffic between halls is expensive,
 * so that such a box is compared with only if the difference lasts.
 */
bool
spread_should_compare(const struct spread_difference *d)
{
	int64_t delay =
	    d->lists_complete ? OTHER_HALL_DELAY_NS : START_DELAY_NS;

	return d->same_hall || d->hall_box_silent || !d->hall_has_platform ||
	    d->duration_ns == 0 || d->duration_ns > delay;
}

struct spread_halls {
	/*
	 * char * hall to int64_t *, the monotonic time in ns since when it
	 * differs.
	 */
	GHashTable *since;
};

struct spread_halls *
spread_halls_new(void)
{
	struct spread_halls *h = g_new0(struct spread_halls, 1);

	h->since =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return h;
}

void
spread_halls_free(struct spread_halls *h)
{
	g_hash_table_destroy(h->since);
	g_free(h);
}

int64_t
spread_halls_record(
    struct spread_halls *h, struct str hall, bool differs, int64_t now)
{
	char *name = g_strndup(hall.p, hall.n);
	int64_t *since = g_hash_table_lookup(h->since, name);

	if (!differs) {
		g_hash_table_remove(h->since, name);
		g_free(name);
		return 0;
	}
	if (since == NULL) {
		since = g_new(int64_t, 1);
		*since = now;
		g_hash_table_insert(h->since, name, since);
	} else {
		g_free(name);
	}
	return MAX(now - *since, 1);
}
