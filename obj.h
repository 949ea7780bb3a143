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
#ifndef OBJ_H
#define OBJ_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "field.h"
#include "sel.h"
#include "str.h"

/*
 * The objects that operators write, each versioned by itself: a backend
 * server, a service and a rule, bounds for callers, and a bundle, which is a
 * set of the latter three and of customers under one version: it comes into
 * force whole or not at all.  An evacuation has the name of a hall: while it is
 * there, the hall's backend servers get nothing new.  A roll-out has the name
 * of a service, and brings in a version of it.  Specs are JSON on the platform
 * and TOML in operators' files; both are checked here, by the same tables.
 */
enum obj_kind {
	OBJ_BACKEND,
	OBJ_SERVICE,
	OBJ_RULE,
	OBJ_LISTENER,
	OBJ_BUNDLE,
	OBJ_EVACUATION,
	OBJ_ROLLOUT,
	OBJ_CUSTOMER,
	OBJ_KIND_MAX
};

/* The class of a request. */
enum obj_class { CLASS_INTERACTIVE, CLASS_BULK, CLASS_MAX };

/* What a keyed request does while the platform cannot take its claim. */
enum obj_outage { OUTAGE_REFUSE, OUTAGE_ALLOW };

struct obj_backend {
	struct str address;
	struct str hall;
	int64_t slots;
	int64_t connections;
	bool drain;
	int64_t slow_start_ms; /* it is slow for so long after its start */
	int64_t started_ms; /* its start, ms since 1970; 0: unsaid */
	json_t *labels; /* with "hall" and "name" added */
};

struct obj_service {
	struct str select_text;
	struct sel *select;
	int64_t deadline_ms; /* for requests that bring none */
	int64_t queue_max; /* requests that a home may hold */
	int64_t bulk_percent; /* share of the slots that bulk may take */
	int64_t rate; /* requests a second, fleet-wide; 0: no limit */
	int64_t probe_ms; /* interval between probes of one backend */
	struct str probe_path;
	int64_t retry_percent; /* retries, as a share of requests */
	double cold_rate; /* requests a second that a cold one bears; 0: any */
	int64_t cold_ms; /* so long after its start one is cold, at most */
};

struct obj_rule {
	struct str host; /* exact, or empty for any */
	struct str path; /* a prefix */
	struct str method; /* exact, or empty for any */
	struct str header; /* "name: value", or empty for any */
	struct str service; /* empty where a split is given */
	struct str regions; /* joined by commas; empty: any may serve it */
	json_t *split; /* names of services to their weights */
	int64_t target_ms; /* an answer is worth most within it; 0: unsaid */
	int64_t attempts; /* backend servers one request may see; 0: unsaid */
	int64_t rank; /* the lower, the more urgent */
	int repeatable; /* 0: by method, 1: yes, 2: no */
	int request_class; /* enum obj_class */
	int64_t rate; /* requests a second, fleet-wide; 0: no limit */
	int64_t caller_rate; /* the same for each caller */
	struct str caller_header; /* names the caller; empty: by address */
	int on_outage; /* enum obj_outage */
	int64_t deadline_ms; /* 0: the service's */
	bool is_public; /* it asks for no customer's key */
};

/* What callers may send, and how long they may take or be idle. */
struct obj_listener {
	int64_t body_max; /* bytes of a request's body */
	int64_t idle_ms; /* a kept connection without a request */
};

/* The hall that it is named after gets nothing new. */
struct obj_evacuation {
	struct str reason; /* for operators; may be empty */
};

/* How far a roll-out is, as the platform has it. */
enum obj_rollout_state {
	ROLLOUT_OPEN, /* nothing is written yet */
	ROLLOUT_RUNNING,
	ROLLOUT_COMPLETED, /* servers of other versions may end at once */
	ROLLOUT_ROLLED_BACK, /* servers of the new version will end */
	ROLLOUT_STATE_MAX
};

/* Bring in a version of a service: servers with that label `version`. */
struct obj_rollout {
	struct str version;
	int64_t duration_ms; /* it is to be decided within it */
	int state; /* enum obj_rollout_state */
};

/* One for whom requests are made, known by its keys. */
struct obj_customer {
	struct str keys; /* digests of its keys, joined by commas */
	int64_t rank; /* the lower, the more urgent */
	double rate; /* requests a second, fleet-wide; 0: no limit */
	double burst; /* requests beyond, at once */
};

/* Services, rules and a listener that come into force together. */
struct obj_bundle {
	GPtrArray *objects; /* struct obj * */
};

/* Values of a rule's `repeatable`. */
enum { REPEATABLE_BY_METHOD, REPEATABLE_YES, REPEATABLE_NO };

/* One checked object. */
struct obj {
	enum obj_kind kind;
	int refs;
	struct str name;
	union {
		struct obj_backend backend;
		struct obj_service service;
		struct obj_rule rule;
		struct obj_listener listener;
		struct obj_bundle bundle;
		struct obj_evacuation evacuation;
		struct obj_rollout rollout;
		struct obj_customer customer;
	} u;
};

/* Names of kinds, as operators write them: "backend" and so on. */
const char *obj_kind_name(enum obj_kind);
bool obj_kind_by_name(struct str, enum obj_kind *);

/* Name of a roll-out's state: "running" and so on. */
const char *obj_rollout_state_name(enum obj_rollout_state);

/* Name of a class: "interactive", "bulk". */
const char *obj_class_name(enum obj_class);

/*
 * Check a spec and make an object of it.  `doc` gives line numbers and may
 * be NULL.  NULL and ERR_OBJECT or ERR_SELECTOR on failure.
 */
struct obj *obj_read(enum obj_kind, struct str name, const json_t *spec,
    const struct doc *, GError **);

/* Objects are shared by counting references; the last one frees. */
struct obj *obj_ref(struct obj *);
void obj_free(struct obj *);

#endif
