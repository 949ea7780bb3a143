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
#ifndef PLAT_H
#define PLAT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/*
 * The platform's object API behind one interface, so that another wire form
 * can be put in its place.  Objects have a kind, a name, a version that
 * grows with every write, and a JSON value.
 */
enum plat_op {
	PLAT_LIST, /* all objects of the kinds; complete at a revision */
	PLAT_GET, /* one object */
	PLAT_CREATE, /* only if it is not there */
	PLAT_UPDATE, /* only if it has the version given */
	PLAT_UPDATE_STATUS, /* the same, of what we may write of another's
			       object */
	PLAT_DELETE, /* only if it has the version given */
	PLAT_WATCH, /* changes since a revision; waits for one */
	PLAT_LIST_BOXES /* the list of boxes */
};

enum plat_result {
	PLAT_OK,
	PLAT_CONFLICT, /* the condition did not hold; the object is given */
	PLAT_NOT_FOUND, /* no such object */
	PLAT_TOO_OLD, /* the watch's revision is no longer kept */
	PLAT_UNKNOWN, /* sent; whether it took effect is not known */
	PLAT_UNAVAILABLE, /* not sent, or refused without effect */
	PLAT_BAD_REQUEST /* the platform says the call is wrong */
};

struct plat_request {
	enum plat_op op;
	struct str kind; /* or kinds, joined by commas, for list and watch */
	struct str name;
	uint64_t version; /* update, delete: condition; watch: since */
	const json_t *value;
	/* List, watch: may be some seconds old, and is far cheaper. */
	bool allow_stale;
	int64_t timeout_ms; /* for each page of a list */
	int64_t wait_ms; /* watch: how long to wait for a change */
};

/* The answer; `body` is borrowed and may be NULL. */
typedef void plat_done_fn(void *, enum plat_result, json_t *body);

struct plat_call;

struct plat {
	struct plat_call *(*start)(
	    void *, const struct plat_request *, plat_done_fn *, void *);
	void (*cancel)(void *, struct plat_call *);
	void *ctx;
	uint64_t calls_started; /* started since the beginning */
};

static inline struct plat_call *
plat_start(struct plat *p, const struct plat_request *rq, plat_done_fn *done,
    void *ctx)
{
	p->calls_started++;
	return p->start(p->ctx, rq, done, ctx);
}

static inline void
plat_cancel(struct plat *p, struct plat_call *call)
{
	p->cancel(p->ctx, call);
}

const char *plat_result_name(enum plat_result);

/* One HTTP exchange with the platform; what it points to is freed after it. */
struct plat_exchange {
	const char *method;
	char *path;
	const char *header_name; /* one header, or NULL */
	char *header_value;
	char *body; /* or NULL */
};

/*
 * How calls and answers are written down.  Answers are given in one form,
 * whatever the platform's is:
 *
 *	list, watch	{"revision": N, "objects": [OBJECT, ...]}
 *	get		OBJECT
 *	create, update, status	{"version": N}
 *	conflict	{"current": OBJECT or null}
 *	boxes		{"boxes": [{"name", "hall", "inbox", "power", "leaving",
 *			"poison"}, ...]}
 *
 * with OBJECT {"kind", "name", "version", "deleted", "spec", "change"}.
 */
struct plat_codec {
	/* `after` is what decode() gave for the page before, else empty. */
	void (*encode)(const struct plat_request *, struct str after,
	    struct plat_exchange *);
	enum plat_result (*result_from_status)(
	    const struct plat_request *, int status);
	/*
	 * A new reference, NULL if the body cannot be understood.  Sets *after
	 * to a new string where a further page has to be fetched.
	 */
	json_t *(*decode)(const struct plat_request *, enum plat_result,
	    json_t *body, char **after);
};

/*
 * Read an answer's body; NULL if it is no JSON.  Bytes that are no text are
 * replaced by a sign for that: they stand in one object, and a list is read
 * whole or not at all.  Strings may hold a NUL.
 */
json_t *plat_parse_json(struct str);

/* What the platform bounds us by; zero where it does not say. */
struct plat_bounds {
	double retry_ratio; /* tries beyond the first, as a share of requests */
	int64_t retry_slack; /* and so many more in each window */
	/*
	 * A cold backend server may get so many times the rate that it bears,
	 * and so many requests more, in a second.
	 */
	double cold_rate_factor, cold_rate_slack;
	/* Share of the requests that an unproven version may get; 0: unsaid */
	double unproven_share;
	int64_t stop_grace_ms; /* between the signal to stop and the end */
};

struct dialect;

/* All that depends on whose platform it is. */
struct plat_adapter {
	const char *name;
	const struct plat_codec *codec;
	const struct dialect *dialect;
	/* Kinds of configuration; each entry is listed and watched by itself.
	 */
	const char *const *feeds;
	/*
	 * Its configuration is one object: none has been written yet as long
	 * as there is no rule.  Elsewhere no rule is a configuration as well.
	 */
	bool requires_rules;
	/* Read the platform's bounds from a setting's text; NULL: none. */
	void (*parse_bounds)(struct str, struct plat_bounds *);
	/*
	 * Can there be anything in a feed, by what the settings say of the
	 * platform?  NULL: in all of them.
	 */
	bool (*has_feed)(struct str contracts, const char *feed);
};

/* The forms are "fern", of fernplatform(7), and "objects".  NULL: unknown. */
const struct plat_adapter *plat_adapter_by_name(struct str);

/* A client that speaks HTTP and JSON in the form that the codec knows. */
struct up;
struct tmr;
struct clk;
struct plat *plat_http_open(struct up *, struct tmr *, const struct clk *,
    struct str address, const struct plat_codec *);
void plat_http_close(struct plat *);

#endif
