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
#ifndef REGION_H
#define REGION_H

#include <jansson.h>
#include <stdbool.h>

#include "clk.h"
#include "route.h"
#include "str.h"

/*
 * Regions: groups of halls with a long network distance between groups.  A rule
 * may restrict its requests to some regions.  No I/O is done here.
 *
 * `halls` is the setting that maps the names of halls to their regions.
 */

/*
 * Returns whether a list of regions, joined by commas as in a rule, contains a
 * region.  An empty list allows any region.
 */
bool region_allows(struct str list, struct str region);

/* Returns the region of a hall; empty if the table does not contain it. */
struct str region_of(const json_t *halls, struct str hall);

/* Returns whether two halls are in the same region according to the table. */
bool region_is_same(const json_t *halls, struct str a, struct str b);

/*
 * Returns the hall whose backend servers a request is to use.  This is the hall
 * of this box, `own`, if the list allows it and the service has slots there, or
 * no slots anywhere.  Otherwise it is a random hall that the list allows,
 * weighted by slots, preferably in the region of this box.  A box that holds no
 * backend servers does not know the slots and takes any allowed hall of the
 * table.  Empty if there is no such hall.
 */
struct str region_choose_hall(const json_t *halls, struct str own,
    const struct route_service *, struct str list, const struct rnd *);

#endif
