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
#include <stdio.h>
#include <stdlib.h>

#include "assign.h"
#include "memb.h"

enum { KEY_MAX = 300 };

uint64_t
assign_weight(struct str service, struct str hall, struct str box)
{
	char key[KEY_MAX];
	int n = snprintf(
	    key, sizeof(key), "%.*s/%.*s", STR_ARG(service), STR_ARG(hall));

	return memb_weight(str_n(key, (size_t)MIN(n, KEY_MAX - 1)), box);
}

/* Orders services by a hash of their names, which is the same on all boxes. */
static int
by_hash(const void *pa, const void *pb)
{
	const struct assign_service *a = pa, *b = pb;
	uint64_t wa = memb_weight(STR_LIT("deal"), a->name);
	uint64_t wb = memb_weight(STR_LIT("deal"), b->name);

	return wa < wb ? -1 : wa > wb;
}

static struct assign_gate *
best_gate(struct str hall, struct str service, struct assign_gate *gates,
    size_t n, unsigned max_services)
{
	struct assign_gate *best = NULL;
	uint64_t w, best_w = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (gates[i].nservices >= max_services)
			continue;
		w = assign_weight(service, hall, gates[i].box);
		if (best != NULL && w < best_w)
			continue;
		best = &gates[i];
		best_w = w;
	}
	return best;
}

void
assign_owners(struct str hall, struct assign_service *services,
    size_t nservices, struct assign_gate *gates, size_t ngates)
{
	unsigned max_services;
	size_t i;

	if (ngates == 0 || nservices == 0)
		return;
	max_services = (unsigned)((nservices + ngates - 1) / ngates);
	qsort(services, nservices, sizeof(*services), by_hash);
	for (i = 0; i < nservices; i++) {
		struct assign_gate *gate = best_gate(
		    hall, services[i].name, gates, ngates, max_services);

		gate->nservices++;
		services[i].gate = gate;
	}
}
