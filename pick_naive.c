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
#include "pick.h"

/* Round robin, to compare with. */

static int choose(const struct pick_set *, const struct pick_criteria *,
    int64_t, const struct rnd *);

const struct pick_policy pick_naive = {"naive", choose, false, false};

/* Round robin: the one that has had the fewest turns comes next. */
static int
choose(const struct pick_set *set, const struct pick_criteria *want,
    int64_t now, const struct rnd *rnd)
{
	int best = PICK_NONE;
	unsigned i;

	(void)want;
	(void)now;
	(void)rnd;
	for (i = 0; i < set->n; i++) {
		if (set->v[i]->removed || set->v[i]->state == PICK_DRAINING)
			continue;
		if (best == PICK_NONE ||
		    set->v[i]->sent_count < set->v[best]->sent_count)
			best = (int)i;
	}
	return best;
}
