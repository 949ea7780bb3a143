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
 * The interface to the platform's object API.  An adapter implements it for the
 * API of one platform.  Objects have a kind, a name, a version that increases
 * with every write, and a JSON value.  A revision orders the writes to all
 * objects.  Versions and revisions in requests and results include the epoch
 * of the platform, see version.h.
 */
enum plat_op {
	PLAT_LIST, /* all objects of the kinds, complete at a revision */
	PLAT_GET, /* one object */
	PLAT_CREATE, /* only if the object does not exist */
	PLAT_UPDATE, /* only if the object has the given version */
	PLAT_UPDATE_STATUS, /* like an update, but of the object's status only
			     */
	PLAT_DELETE, /* only if the object has the given version */
	PLAT_WATCH, /* changes since a revision; long poll */
	PLAT_LIST_BOXES /* the list of boxes */
};

enum plat_result {
	PLAT_OK,
	PLAT_CONFLICT, /* the condition was not met; the body has the object */
	PLAT_NOT_FOUND, /* the object does not exist */
	PLAT_TOO_OLD, /* changes since the given revision are not kept */
	PLAT_UNKNOWN, /* sent, but it is unknown whether it took effect */
	PLAT_UNAVAILABLE, /* not sent, or failed without effect */
	PLAT_BAD_REQUEST /* the platform rejected the call as invalid */
};

struct plat_request {
	enum plat_op op;
	struct str kind; /* list, watch: may be several, joined by commas */
	struct str name;
	/*
	 * update, status, delete: the condition; watch: the revision.  If it is
	 * of an earlier epoch, an update or deletion ends as PLAT_CONFLICT and
	 * a watch as PLAT_TOO_OLD.
	 */
	uint64_t version;
	const json_t *value;
	/*
	 * list, watch: allows a result that is some seconds old, which costs
	 * the platform far less.
	 */
	bool allow_stale;
	int64_t timeout_ms; /* for each page of a list; 0: the default */
	int64_t wait_ms; /* watch: time to wait for a change */
};

/* Receives the result of a call.  `body` is borrowed and may be NULL. */
typedef void plat_done_fn(void *, enum plat_result, json_t *body);

struct plat_call;

/* Called when a response shows that the platform has a later epoch. */
typedef void plat_epoch_fn(void *, uint64_t epoch);

struct plat {
	struct plat_call *(*start)(
	    void *, const struct plat_request *, plat_done_fn *, void *);
	void (*cancel)(void *, struct plat_call *);
	void *ctx;
	uint64_t calls_started; /* number of calls started */
	uint64_t epoch; /* the latest that a response told; see version.h */
	plat_epoch_fn *on_epoch; /* may be NULL */
	void *epoch_ctx;
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

/*
 * An HTTP request to the platform.  The path, header value and body are
 * allocated by the codec and freed by the caller.
 */
struct plat_exchange {
	const char *method;
	char *path;
	const char *header_name; /* name of a header, or NULL */
	char *header_value; /* its value */
	char *body; /* or NULL */
};

/*
 * Encodes calls as HTTP requests and decodes the responses to a common format:
 *
 *	list, watch	{"revision": N, "objects": [OBJECT, ...], "ignored": N}
 *	get		OBJECT
 *	create, update, status	{"version": N}
 *	conflict	{"current": OBJECT or null}
 *	boxes		{"boxes": [{"name", "hall", "inbox", "power", "leaving",
 *			"poison"}, ...]}
 *
 * with OBJECT {"kind", "name", "version", "serial", "deleted", "spec",
 * "change"}; serial as in struct conf_object, 0 or missing if there is none;
 * ignored is the number of entries without a valid name, or missing.
 */
struct plat_codec {
	/* Name of the header that tells the epoch, in lower case. */
	struct str epoch_header;
	/* Added to it, as epochs count from 1. */
	uint64_t epoch_offset;
	/* `after` was set by decode() for the previous page, else empty. */
	void (*encode)(const struct plat_request *, struct str after,
	    struct plat_exchange *);
	/* Returns the result that an HTTP status means. */
	enum plat_result (*result_from_status)(
	    const struct plat_request *, int status);
	/*
	 * Returns a new reference, or NULL if the body cannot be decoded.  Sets
	 * *after to a new string if there is a further page to fetch.
	 */
	json_t *(*decode)(const struct plat_request *, enum plat_result,
	    json_t *body, char **after);
};

/*
 * Parses JSON.  Returns NULL if it is malformed.  Bytes that are not valid
 * UTF-8 are replaced by the replacement character, and values that the parser
 * refuses as json_mend() does: they belong to one object, and without this the
 * whole list would be lost.  Strings may contain NUL.
 */
json_t *plat_parse_json(struct str);

/* The same; tells what json_mend() replaced. */
struct json_mends;
json_t *plat_parse_mended(struct str, struct json_mends *);

/* Limits that the platform sets; zero if it sets none. */
struct plat_bounds {
	/* Retries allowed in each window: a share of the requests ... */
	double retry_ratio;
	int64_t retry_slack; /* ... and a number of retries in addition */
	/*
	 * Requests per second allowed to a cold backend server: a multiple of
	 * the rate that it can serve, and a number of requests in addition.
	 */
	double cold_rate_factor, cold_rate_slack;
	/*
	 * Window in which a customer may make as many requests as its rate
	 * gives in that time, and its burst; 0: token buckets are used.
	 */
	int64_t quota_window_ms;
	/* Share of the requests that an unproven version may get. */
	double unproven_share;
	int64_t stop_grace_ms; /* from the stop signal until the process is
				  killed */
};

struct dialect;

/* Everything that depends on the platform in use. */
struct plat_adapter {
	const char *name;
	const struct plat_codec *codec;
	const struct dialect *dialect;
	/*
	 * Feeds of configuration, a list that ends with NULL.  Each is a kind
	 * or several kinds joined by commas, and is listed and watched on its
	 * own.
	 */
	const char *const *feeds;
	/*
	 * The configuration is a single object, and has not been written yet as
	 * long as there is no rule.  If this is false, a configuration without
	 * rules is valid.
	 */
	bool requires_rules;
	/* Parses the limits from the text of a setting; may be NULL. */
	void (*parse_bounds)(struct str, struct plat_bounds *);
	/*
	 * Returns whether a feed may contain objects, given the setting
	 * `contracts`.  NULL: every feed may.
	 */
	bool (*has_feed)(struct str contracts, const char *feed);
};

/*
 * Returns the adapter "fern", for the API of fernplatform(7), or "objects".
 * Returns NULL if the name is unknown.
 */
const struct plat_adapter *plat_adapter_by_name(struct str);

/*
 * Opens a client that sends calls over HTTP as the codec encodes them.
 * plat_http_close() frees it.
 */
struct up;
struct tmr;
struct clk;
struct plat *plat_http_open(struct up *, struct tmr *, const struct clk *,
    struct str address, const struct plat_codec *);
void plat_http_close(struct plat *);

#endif
