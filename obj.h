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
 * The objects of the configuration, which operators write.  Each has its own
 * version.  Specs are JSON on the platform and TOML in the files of operators;
 * both are parsed here with the same tables.
 */
enum obj_kind {
	OBJ_BACKEND, /* a backend server */
	OBJ_SERVICE, /* a set of backend servers and how they are used */
	OBJ_RULE, /* which requests go to which service */
	OBJ_LISTENER, /* limits for callers */
	OBJ_BUNDLE, /* other objects, applied as a whole or not at all */
	OBJ_EVACUATION, /* evacuation of the hall with its name */
	OBJ_ROLLOUT, /* roll-out of a version of the service with its name */
	OBJ_CUSTOMER,
	OBJ_KIND_MAX
};

/* Longest deadline that may be configured, in ms: a day. */
enum { OBJ_DEADLINE_MAX_MS = 24 * 3600 * 1000 };

/* The class of a request. */
enum obj_class { CLASS_INTERACTIVE, CLASS_BULK, CLASS_MAX };

/*
 * Whether a request with an idempotency key is refused or allowed while the
 * platform is not available to store its claim.
 */
enum obj_outage { OUTAGE_REFUSE, OUTAGE_ALLOW };

struct obj_backend {
	struct str address;
	struct str hall;
	int64_t slots; /* requests that it executes at a time */
	int64_t connections; /* maximum number of connections to it */
	bool drain; /* it gets no new requests */
	int64_t slow_start_ms; /* how long it is slow after its start */
	int64_t started_ms; /* its start, ms since 1970; 0: unknown */
	json_t *labels; /* with "hall" and "name" added */
};

struct obj_service {
	struct str select_text; /* selector of its backend servers */
	struct sel *select; /* the parsed selector */
	int64_t deadline_ms; /* for requests without a deadline */
	int64_t queue_max; /* maximum queue length of an owner */
	int64_t bulk_percent; /* share of the slots that bulk may use */
	int64_t rate; /* requests a second, all gates together; 0: no limit */
	int64_t probe_ms; /* interval between probes of one backend */
	struct str probe_path;
	int64_t retry_percent; /* retry budget, percent of the requests */
	/* Requests a second that a cold backend server gets; 0: no limit. */
	double cold_rate;
	int64_t cold_ms; /* maximum time a server is cold after its start */
};

struct obj_rule {
	struct str host; /* exact, or empty for any */
	struct str path; /* a prefix */
	struct str method; /* exact, or empty for any */
	struct str header; /* "name: value", or empty for any */
	struct str service; /* empty if `split` is given */
	struct str regions; /* joined by commas; empty: all regions */
	json_t *split; /* names of services to their weights */
	int64_t target_ms; /* target latency; 0: none */
	int64_t attempts; /* maximum backend servers tried; 0: no limit */
	int64_t rank; /* priority: a lower rank is more urgent */
	int repeatable; /* REPEATABLE_* */
	int request_class; /* enum obj_class */
	int64_t rate; /* requests a second, all gates together; 0: no limit */
	int64_t caller_rate; /* the same for each caller */
	struct str caller_header; /* identifies callers; empty: by address */
	int on_outage; /* enum obj_outage */
	int64_t deadline_ms; /* 0: that of the service */
	bool is_public; /* no customer's key is required */
};

/* The listener of this name limits the heads of requests, not their bodies. */
#define OBJ_HEAD_LIMITS "head"
/* Default of the maximum size of a head, bytes. */
enum { OBJ_HEAD_MAX = 80 * 1024 };

/* Limits for callers. */
struct obj_listener {
	/* Maximum size of a request's body, or of its head, bytes. */
	int64_t body_max;
	int64_t idle_ms; /* timeout of idle connections and slow requests */
};

/* The backend servers of the hall with its name get no new requests. */
struct obj_evacuation {
	struct str reason; /* for operators; may be empty */
};

/* The state of a roll-out as stored on the platform. */
enum obj_rollout_state {
	ROLLOUT_OPEN, /* no state is stored yet */
	ROLLOUT_RUNNING,
	ROLLOUT_COMPLETED, /* servers of other versions may be stopped */
	ROLLOUT_ROLLED_BACK, /* servers of the new version will be stopped */
	ROLLOUT_STATE_MAX
};

/* The roll-out of a version of a service: servers with that label `version`. */
struct obj_rollout {
	struct str version;
	int64_t duration_ms; /* time limit for the decision */
	int state; /* enum obj_rollout_state */
};

/* A customer, whose requests are recognized by its keys. */
struct obj_customer {
	struct str keys; /* digests of its keys, joined by commas */
	int64_t rank; /* priority: a lower rank is more urgent */
	double rate; /* requests a second, all gates together; 0: no limit */
	double burst; /* requests that may exceed the rate at once */
};

/* Services, rules, a listener and customers that come into force together. */
struct obj_bundle {
	GPtrArray *objects; /* struct obj * */
};

/* Values of `repeatable` of a rule; the method decides by default. */
enum { REPEATABLE_BY_METHOD, REPEATABLE_YES, REPEATABLE_NO };

/* A parsed object. */
struct obj {
	enum obj_kind kind;
	int refs; /* reference count */
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

/* Returns false if no kind has the name. */
bool obj_kind_by_name(struct str, enum obj_kind *);

/* Returns the name of a roll-out's state: "running" and so on. */
const char *obj_rollout_state_name(enum obj_rollout_state);

/* Returns the name of a class: "interactive" or "bulk". */
const char *obj_class_name(enum obj_class);

/*
 * Parses and checks a spec.  `doc` provides the line numbers for errors and may
 * be NULL.  Returns a new reference, or NULL and ERR_OBJECT or ERR_SELECTOR.
 */
struct obj *obj_read(enum obj_kind, struct str name, const json_t *spec,
    const struct doc *, GError **);

/*
 * Objects are reference-counted: obj_ref() adds a reference and returns its
 * argument, obj_free() drops one.  The argument of the latter may be NULL.
 */
struct obj *obj_ref(struct obj *);
void obj_free(struct obj *);

#endif
