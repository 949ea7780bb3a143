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

/* Which halls of a service are meant. */
struct want {
	const json_t *halls;
	struct str own;
	struct str list;
	bool near;
};

static bool
is_wanted(const struct want *w, const struct route_hall *h)
{
	return h->slots > 0 &&
	    region_allows(w->list, region_of(w->halls, h->hall)) &&
	    (!w->near || region_is_same(w->halls, w->own, h->hall));
}

/* One of them, by slots at random; empty if there is none. */
static struct str
draw(const struct want *w, const struct route_service *svc,
    const struct rnd *rnd)
{
	uint64_t slots = 0, at;
	unsigned i;

	for (i = 0; i < svc->nhalls; i++)
		if (is_wanted(w, &svc->halls[i]))
			slots += (uint64_t)svc->halls[i].slots;
	if (slots == 0)
		return str_c(NULL);
	at = rnd_below(rnd, slots);
	for (i = 0; i < svc->nhalls; i++) {
		if (!is_wanted(w, &svc->halls[i]))
			continue;
		if (at < (uint64_t)svc->halls[i].slots)
			break;
		at -= (uint64_t)svc->halls[i].slots;
	}
	return svc->halls[i].hall;
}

/* A hall that may serve it, by the table alone; empty if there is none. */
static struct str
draw_unseen(const struct want *w, const struct rnd *rnd)
{
	struct str found = str_c(NULL);
	const char *hall;
	json_t *region;
	uint64_t n = 0;

	json_object_foreach ((json_t *)w->halls, hall, region) {
		if (!region_allows(w->list, str_c(json_string_value(region))))
			continue;
		if (rnd_below(rnd, ++n) == 0)
			found = str_c(hall);
	}
	return found;
}

struct str
region_choose_hall(const json_t *halls, struct str own,
    const struct route_service *svc, struct str list, const struct rnd *rnd)
{
	const struct route_hall *here = route_hall(svc, own);
	struct want want = {halls, own, list, true};
	bool allowed = region_allows(list, region_of(halls, own));
	struct str hall;

	if (allowed && (svc->slots == 0 || (here != NULL && here->slots > 0)))
		return own;
	if (svc->slots == 0 && svc->nhalls == 0)
		return draw_unseen(&want, rnd);
	hall = draw(&want, svc, rnd);
	if (hall.n > 0)
		return hall;
	want.near = false;
	return draw(&want, svc, rnd);
}
