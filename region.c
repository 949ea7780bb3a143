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
#include <string.h>

#include "region.h"

bool
region_allows(struct str list, struct str region)
{
	const char *comma;
	struct str name;

	if (list.n == 0)
		return true;
	while (list.n > 0) {
		comma = memchr(list.p, ',', list.n);
		name = comma == NULL ? list
				     : str_n(list.p, (size_t)(comma - list.p));
		if (str_eq(name, region))
			return true;
		list = comma == NULL ? str_c(NULL)
				     : str_n(comma + 1, list.n - name.n - 1);
	}
	return false;
}

struct str
region_of(const json_t *halls, struct str hall)
{
	return str_c(
	    json_string_value(json_object_getn(halls, hall.p, hall.n)));
}

bool
region_is_same(const json_t *halls, struct str a, struct str b)
{
	return str_eq(region_of(halls, a), region_of(halls, b));
}

/* Criteria for the halls of a service. */
struct hall_filter {
	const json_t *halls;
	struct str own;
	struct str list; /* allowed regions */
	bool same_region; /* only in the region of `own` */
};

static bool
filter_matches(const struct hall_filter *filter, const struct route_hall *h)
{
	return h->slots > 0 &&
	    region_allows(filter->list, region_of(filter->halls, h->hall)) &&
	    (!filter->same_region ||
		region_is_same(filter->halls, filter->own, h->hall));
}

/* Returns a random matching hall, weighted by slots; empty if none matches. */
static struct str
pick_by_slots(const struct hall_filter *filter, const struct route_service *svc,
    const struct rnd *rnd)
{
	uint64_t slots = 0, offset;
	unsigned i;

	for (i = 0; i < svc->nhalls; i++)
		if (filter_matches(filter, &svc->halls[i]))
			slots += (uint64_t)svc->halls[i].slots;
	if (slots == 0)
		return str_c(NULL);
	offset = rnd_below(rnd, slots);
	for (i = 0; i < svc->nhalls; i++) {
		if (!filter_matches(filter, &svc->halls[i]))
			continue;
		if (offset < (uint64_t)svc->halls[i].slots)
			break;
		offset -= (uint64_t)svc->halls[i].slots;
	}
	return svc->halls[i].hall;
}

/* Returns a random allowed hall of the table; empty if there is none. */
static struct str
pick_from_table(const struct hall_filter *filter, const struct rnd *rnd)
{
	struct str chosen = str_c(NULL);
	const char *hall;
	json_t *region;
	uint64_t n = 0;

	json_object_foreach ((json_t *)filter->halls, hall, region) {
		if (!region_allows(
			filter->list, str_c(json_string_value(region))))
			continue;
		if (rnd_below(rnd, ++n) == 0)
			chosen = str_c(hall);
	}
	return chosen;
}

struct str
region_choose_hall(const json_t *halls, struct str own,
    const struct route_service *svc, struct str list, const struct rnd *rnd)
{
	const struct route_hall *own_hall = route_hall(svc, own);
	struct hall_filter filter = {halls, own, list, true};
	bool allowed = region_allows(list, region_of(halls, own));
	struct str hall;

	if (allowed &&
	    (svc->slots == 0 || (own_hall != NULL && own_hall->slots > 0)))
		return own;
	if (svc->slots == 0 && svc->nhalls == 0)
		return pick_from_table(&filter, rnd);
	hall = pick_by_slots(&filter, svc, rnd);
	if (hall.n > 0)
		return hall;
	filter.same_region = false;
	return pick_by_slots(&filter, svc, rnd);
}
