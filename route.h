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
 * The routing table: maps requests to rules, rules to services and services to
 * the backend servers that their selectors match, grouped by hall.  It is built
 * from the configuration in force.  No I/O is done here.
 */

/* The backend servers of a service in one hall. */
struct route_hall {
	struct str hall;
	struct disp_backend_conf *backends;
	unsigned n;
	int slots; /* of those that accept new requests */
	bool evacuated; /* none of them accepts new requests */
};

struct route_service {
	struct str name;
	const struct obj_service *obj;
	struct route_hall *halls;
	unsigned nhalls;
	int slots; /* sum over all halls */
	const struct obj_rollout *rollout; /* NULL: none */
	bool has_new_version; /* there are servers of the roll-out's version */
};

/* One of the services that the requests of a rule are distributed to. */
struct route_target {
	const struct route_service *service; /* NULL: does not exist */
	double weight;
};

struct route_rule {
	struct str name;
	const struct obj_rule *obj;
	struct route_target *targets;
	unsigned ntargets; /* at least one */
	double total_weight; /* of all targets */
};

/* The properties of a request that rules match. */
struct route_query {
	struct str host;
	struct str method;
	struct str path;
	/* Returns the value of a header, empty if the request lacks it. */
	struct str (*header)(void *, struct str name);
	void *ctx;
};

struct route_table;

/*
 * The table holds references to the objects that it was built from.  Pointers
 * returned by the functions below are valid until route_free().
 */
struct route_table *route_build(const struct conf *);
void route_free(struct route_table *);

/*
 * Returns the most specific rule that matches the request, or NULL: a rule with
 * a host comes before one without, then the longer path, then a rule with a
 * header, then one with a method.  Among equals the order of names decides.
 */
const struct route_rule *
route_match(const struct route_table *, const struct route_query *);

/*
 * Returns a service for a request, at random by the weights of the rule, or
 * NULL if the chosen service does not exist.
 */
const struct route_service *
route_choose_service(const struct route_rule *, const struct rnd *);

/* Returns NULL if there is no such service. */
const struct route_service *
route_service(const struct route_table *, struct str name);

/*
 * Returns the highest version of the entries that the table was built from,
 * other than backend servers.
 */
uint64_t route_version(const struct route_table *);

/*
 * Returns a digest of all objects but backend servers.  The highest version
 * stays if an object changes below it, as by an update that arrives late.
 */
uint64_t route_digest(const struct route_table *);

/* Returns the number of rules. */
unsigned route_count_rules(const struct route_table *);

/*
 * Returns a rule that sets no time limit, so that the default of its service
 * applies, and the number of such rules; NULL if there are none.
 */
const struct route_rule *
route_rule_without_limit(const struct route_table *, unsigned *count);

/* Returns the number of evacuated halls. */
unsigned route_count_evacuations(const struct route_table *);

/* Returns the customers, which can be looked up by their keys. */
const struct customers *route_customers(const struct route_table *);

/* Returns the limits for callers, or NULL if none are configured. */
const struct obj_listener *route_listener(const struct route_table *);
/* Returns the limits of heads of requests; NULL if there are none. */
const struct obj_listener *route_head_limits(const struct route_table *);

/* Returns NULL if the service has no backend servers in the hall. */
const struct route_hall *
route_hall(const struct route_service *, struct str hall);

/* Calls the function for all services. */
typedef void route_visit_fn(void *, const struct route_service *);
void route_each(const struct route_table *, route_visit_fn *, void *);

/*
 * Returns whether a request may be sent again if it is not known whether it was
 * executed.  This is false for requests with an idempotency key (`has_key`).
 */
bool
route_is_repeatable(const struct obj_rule *, struct str method, bool has_key);

#endif
