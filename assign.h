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
#ifndef ASSIGN_H
#define ASSIGN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/*
 * Assigns each service of a hall to one gate, its owner or home, which
 * dispatches all its requests.  A pure function: boxes that know the same gates
 * and services get the same result without any agreement.
 *
 * No gate gets more than its share of the number of services, and each service
 * goes to the gate with the highest weight for it among those below their
 * share.  Rendezvous hashing alone gives some gates many more services than
 * others.  Where a hall has three strong boxes and few services, one of which
 * gets half of all requests, two thirds or more of the requests would go to one
 * box in most halls, and all of them in one hall of nine.
 */

/* A gate that services may be assigned to. */
struct assign_gate {
	struct str box;
	unsigned nservices; /* assigned so far */
	void *data; /* for the caller */
};

/* A service and the gate that it is assigned to. */
struct assign_service {
	struct str name;
	const struct assign_gate *gate; /* NULL: none */
};

/*
 * Assigns the services of a hall to gates; sets `gate` in each service, counts
 * services in each gate, and reorders the services.  Gates start with a count
 * of 0.
 */
void assign_owners(struct str hall, struct assign_service *, size_t nservices,
    struct assign_gate *, size_t ngates);

/*
 * Returns the weight of a box for a service in a hall; the box with the highest
 * weight is preferred.
 */
uint64_t assign_weight(struct str service, struct str hall, struct str box);

#endif
