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
#ifndef ROUTE_H
#define ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "conf.h"
#include "customer.h"
#include "disp.h"
#include "obj.h"
#include "str.h"

/*
 * The routing table: which rule takes a request, which service it leads to
 * and which backend servers that service's selector picks out, by hall.
 * Built from the configuration in force; pure.
 */

/* The backend servers of a service in one hall. */
struct route_hall {
	struct str hall;
	struct disp_backend_conf *backends;
	unsigned n;
	int slots; /* of those that may get something new */
	bool evacuated; /* none of them may */
};

struct route_service {
	struct str name;
	const struct obj_service *obj;
	struct route_hall *halls;
	unsigned nhalls;
	int slots; /* of all halls */
	const struct obj_rollout *rollout; /* NULL: none */
	bool has_new_version; /* servers of the version that it brings in */
};

/* One of the services that a rule's requests are divided among. */
struct route_target {
	const struct route_service *service; /* NULL: it is not there */
	uint64_t weight;
};

struct route_rule {
	struct str name;
	const struct obj_rule *obj;
	struct route_target *targets;
	unsigned ntargets; /* at least one */
	uint64_t total_weight; /* of all parts */
};

/* A request as rules see it. */
struct route_query {
	struct str host;
	struct str method;
	struct str path;
	/* The value of a header, empty if it is not there. */
	struct str (*header)(void *, struct str name);
	void *ctx;
};

struct route_table;

/* The table keeps the objects it was built from. */
struct route_table *route_build(const struct conf *);
void route_free(struct route_table *);

/*
 * The first rule that takes the request: a rule with a host goes before one
 * without, then the longer path, then a header, then a method, then the
 * name.
 */
const struct route_rule *
route_match(const struct route_table *, const struct route_query *);

/* A service for a request, by the parts' weights; NULL: it is not there. */
const struct route_service *
route_choose_service(const struct route_rule *, const struct rnd *);

const struct route_service *
route_service(const struct route_table *, struct str name);

/* The highest version of what routes are built from but backend servers. */
uint64_t route_version(const struct route_table *);

/* How many rules there are. */
unsigned route_count_rules(const struct route_table *);

/* How many halls are evacuated. */
unsigned route_count_evacuations(const struct route_table *);

/* Who may call, by their keys. */
const struct customers *route_customers(const struct route_table *);

/* What callers may send; NULL where the configuration does not say. */
const struct obj_listener *route_listener(const struct route_table *);

const struct route_hall *
route_hall(const struct route_service *, struct str hall);

/* Visit all services. */
typedef void route_visit_fn(void *, const struct route_service *);
void route_each(const struct route_table *, route_visit_fn *, void *);

/* May the request be sent again if it is not known whether it ran? */
bool
route_is_repeatable(const struct obj_rule *, struct str method, bool has_key);

#endif
