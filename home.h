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
#ifndef HOME_H
#define HOME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/*
 * Which gate is home for which service in a hall.  Pure: from the same gates
 * and services each box finds the same homes, without any agreement.
 *
 * Load pattern: a hall of few strong boxes and few services, one of which has
 * half of all requests.  With each service by hashing alone, all of a hall's
 * requests meet on one of three boxes in one hall of nine, and two thirds or
 * more of them in most.  So services are dealt: no gate gets more than its
 * share of their number, and each goes to the gate that has the highest weight
 * for it among those that still take one.
 */

/* A gate that may be home. */
struct home_gate {
	struct str box;
	unsigned nservices; /* services that it has got so far */
	void *data; /* the owner's */
};

/* One service, and the gate that it was dealt to. */
struct home_service {
	struct str name;
	const struct home_gate *gate; /* NULL where there is none */
};

/* Deal the services of a hall; their order is changed. */
void home_assign(struct str hall, struct home_service *, size_t nservices,
    struct home_gate *, size_t ngates);

/* The weight of a box for a service in a hall. */
uint64_t home_weight(struct str service, struct str hall, struct str box);

#endif
