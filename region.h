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
 * Regions: halls that are far from those of another one.  A rule may name the
 * regions where its requests may be served.  Pure.
 */

/* Names of regions joined by commas, as a rule has them; empty: any region. */
bool region_allows(struct str list, struct str region);

/* The region of a hall by a table of halls; empty if it is not in it. */
struct str region_of(const json_t *halls, struct str hall);

/* Are two halls in one region, as far as the table tells? */
bool region_is_same(const json_t *halls, struct str a, struct str b);

/*
 * The hall whose slots a request is to use: its box's own, if that may serve it
 * and has slots or if the box holds no backend servers and cannot know; else
 * one that may and has, of the own region first, by slots at random.  Empty if
 * no hall may serve it.
 */
struct str region_choose_hall(const json_t *halls, struct str own,
    const struct route_service *, struct str list, const struct rnd *);

#endif
