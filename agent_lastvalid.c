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

#include "libagent.h"
#include "slog.h"
#include "version.h"

/*
 * Copies of last valid versions on the platform.  While the newest version of
 * an object is not valid, the platform has only that one, and the valid one
 * before it is known to the boxes alone.  It would be lost if all boxes ended
 * at once, and no request could be served until an operator corrects the
 * object.  So the boxes that watch the platform write a copy of the valid
 * version there, as an object of the kind "lastvalid", and delete it once a
 * newer valid version or a deletion is in force.  A box that knows no valid
 * version reads the copy.  If there is none, as the platform refused calls
 * until the last box ended, it searches the changes that the platform still
 * has.
 */

#define KIND "lastvalid"
/* Delay before a copy that does not exist is read again. */
#define MISSING_RETRY_NS (2 * NS_S)

enum {
	/*
	 * Number of revisions before the rejected one from which the changes
	 * are searched first; divided as long as the platform no longer has
	 * them.
	 */
	SEARCH_SPAN_MAX = 16384,
	SEARCH_DIVISOR = 4,
	SEARCH_TIMEOUT_MS = 1000
};

enum copy_op { COPY_NONE, COPY_WRITE, COPY_READ, COPY_SEARCH, COPY_DELETE };

struct copy {
	struct agent *agent;
	struct str key; /* of the object */
	char *name; /* of the copy */
	struct tmr_item timer;
	struct plat_call *call;
	enum copy_op op; /* of the call */
	uint64_t sent; /* version of the object that the call writes */
	uint64_t version; /* of the copy on the platform; 0: none is known */
	uint64_t of; /* version of the object that it has */
	int failures; /* consecutive calls that failed */
	bool refused; /* the platform does not accept the copy of `sent` */
	uint64_t span; /* revisions to search; 0: the copy is to be read */
	uint64_t searched; /* rejected version before which all was searched */
};

static void run(void *);
static void on_done(void *, enum plat_result, json_t *);

static void
copy_free(void *p)
{
	struct copy *c = p;

	tmr_clear(&c->agent->tmr, &c->timer);
	if (c->call != NULL)
		plat_cancel(c->agent->plat, c->call);
	str_free(&c->key);
	g_free(c->name);
	g_free(c);
}

void
agent_lastvalid_open(struct agent *a)
{
	a->copies =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, copy_free);
}

static struct copy *
find_or_add(struct agent *a, struct str key)
{
	struct copy *c = g_hash_table_lookup(a->copies, key.p);

	if (c != NULL)
		return c;
	c = g_new0(struct copy, 1);
	c->agent = a;
	c->key = str_dup(key);
	c->name = g_strdelimit(g_strndup(key.p, key.n), "/", '-');
	g_hash_table_insert(a->copies, (char *)c->key.p, c);
	return c;
}

/* Returns the call that the copy of an object needs now. */
static enum copy_op
next_op(const struct copy *c)
{
	struct agent *a = c->agent;
	const struct conf_entry *e = conf_get(a->conf, c->key);

	if (e == NULL)
		return COPY_NONE;
	if (e->rejected_version > 0 && e->version == 0)
		return c->span > 0 ? COPY_SEARCH : COPY_READ;
	if (!agent_watches_platform(a))
		return COPY_NONE;
	if (e->rejected_version > 0 && !e->deleted)
		return c->of >= e->version ||
			(c->refused && c->sent == e->version)
		    ? COPY_NONE
		    : COPY_WRITE;
	return c->version != 0 && e->version > c->of ? COPY_DELETE : COPY_NONE;
}

static json_t *
make_value(struct copy *c)
{
	const struct conf_entry *e = conf_get(c->agent->conf, c->key);

	c->sent = e->version;
	c->refused = false;
	return json_pack("{s:{s:s%, s:I, s:I, s:O}, s:s}", "spec", "key",
	    e->key.p, e->key.n, "version", (json_int_t)e->version, "serial",
	    (json_int_t)e->serial, "spec", e->spec, "change", KIND);
}

static void
run_after(struct copy *c, int64_t delay)
{
	struct agent *a = c->agent;

	tmr_set(&a->tmr, &c->timer, clk_ns(a->clk) + delay, run, c);
}

/* Returns the kind of the object, the part of its key before the slash. */
static struct str
kind_of(const struct copy *c)
{
	return str_n(c->key.p, strcspn(c->key.p, "/"));
}

/* Makes a request for the changes of the last `span` revisions. */
static void
make_search(const struct copy *c, struct plat_request *rq)
{
	const struct conf *conf = c->agent->conf;
	uint64_t revision =
	    version_revision(conf_get(conf, c->key)->rejected_version);

	rq->op = PLAT_WATCH;
	rq->kind = kind_of(c);
	rq->version =
	    version_make(conf_epoch(conf), revision - MIN(revision, c->span));
	rq->timeout_ms = SEARCH_TIMEOUT_MS;
}

static void
run(void *ctx)
{
	struct copy *c = ctx;
	struct agent *a = c->agent;
	struct plat_request rq = {.kind = STR_LIT(KIND),
	    .name = str_c(c->name),
	    .version = c->version};
	json_t *value = NULL;

	if (c->call != NULL || a->leaving)
		return;
	c->op = next_op(c);
	if (c->op == COPY_NONE)
		return;
	if (c->op == COPY_WRITE) {
		value = make_value(c);
		rq.op = c->version == 0 ? PLAT_CREATE : PLAT_UPDATE;
		rq.value = value;
	} else if (c->op == COPY_SEARCH) {
		make_search(c, &rq);
	} else {
		rq.op = c->op == COPY_READ ? PLAT_GET : PLAT_DELETE;
	}
	c->call = agent_platform_call(a, &rq, on_done, c);
	json_decref(value);
	if (c->call == NULL)
		run_after(c, rnd_jitter(a->rnd, AGENT_RECHECK_NS));
}

/* Records what the platform has: an object in the common format, or NULL. */
static void
set_present(struct copy *c, const json_t *object)
{
	const json_t *spec = json_object_get(object, "spec");

	c->version =
	    (uint64_t)json_integer_value(json_object_get(object, "version"));
	c->of = (uint64_t)json_integer_value(json_object_get(spec, "version"));
}

/* Returns whether the object has come into force. */
static bool
offer(struct copy *c, struct conf_object *o, struct str source)
{
	struct agent *a = c->agent;
	enum conf_result result;
	GError *err = NULL;

	o->key = c->key;
	result = conf_offer(a->conf, o, source, &err);
	g_clear_error(&err);
	if (result != CONF_APPLIED)
		return false;
	slog(SLOG_CONF, "last valid version is restored",
	    "key=%.*s version=%llu from=%.*s", STR_ARG(c->key),
	    (unsigned long long)o->version, STR_ARG(source));
	agent_gate_send_ready(a);
	return true;
}

/* Puts the copy in force unless a valid version has arrived meanwhile. */
static void
take_copy(struct copy *c, const json_t *object)
{
	json_t *spec = json_object_get(object, "spec");
	struct conf_object o = {.serial = (uint64_t)json_integer_value(
				    json_object_get(spec, "serial")),
	    .spec = json_object_get(spec, "spec")};

	set_present(c, object);
	/* A version of an epoch to come would make all others out of date. */
	if (version_epoch(c->of) > conf_epoch(c->agent->conf))
		c->of = 0;
	o.version = c->of;
	if (next_op(c) == COPY_READ && o.version > 0)
		offer(c, &o, STR_LIT("platform-" KIND));
}

static bool
is_version_of(const struct copy *c, const json_t *object)
{
	const json_t *text = json_object_get(object, "name");
	struct str name =
	    str_n(json_string_value(text), json_string_length(text));
	size_t kind_len = kind_of(c).n + 1;

	return str_eq(name, str_n(c->key.p + kind_len, c->key.n - kind_len));
}

/*
 * Puts the newest valid version among the changes in force, unless a deletion
 * comes after it.
 */
static void
take_changes(struct copy *c, const json_t *body)
{
	const json_t *objects = json_object_get(body, "objects"), *object;
	size_t i = json_array_size(objects);

	while (i-- > 0) {
		object = json_array_get(objects, i);
		if (!is_version_of(c, object))
			continue;
		struct conf_object o = {.version = (uint64_t)json_integer_value(
					    json_object_get(object, "version")),
		    .serial = (uint64_t)json_integer_value(
			json_object_get(object, "serial")),
		    .spec = json_object_get(object, "spec")};

		if (json_is_true(json_object_get(object, "deleted")) ||
		    offer(c, &o, STR_LIT("platform-history")))
			return;
	}
}

/* The copy does not exist: searches the changes, once for each version. */
static int64_t
start_search(struct copy *c)
{
	const struct conf_entry *e = conf_get(c->agent->conf, c->key);

	if (e == NULL || e->rejected_version == c->searched)
		return MISSING_RETRY_NS;
	c->span = MIN(version_revision(e->rejected_version), SEARCH_SPAN_MAX);
	c->searched = e->rejected_version;
	return 0;
}

/* Handles the result of a search; the platform may lack the first changes. */
static int64_t
finish_search(struct copy *c, enum plat_result result, json_t *body)
{
	c->span = result == PLAT_TOO_OLD ? c->span / SEARCH_DIVISOR : 0;
	if (result == PLAT_OK)
		take_changes(c, body);
	return c->span > 0 ? 0 : MISSING_RETRY_NS;
}

/*
 * Handles the result of a call.  Returns the delay before the next one, if one
 * is needed.
 */
static int64_t
finish(struct copy *c, enum plat_result result, json_t *body)
{
	if (result == PLAT_UNAVAILABLE || result == PLAT_UNKNOWN)
		return agent_backoff(c->agent, c->failures++);
	c->failures = 0;
	if (c->op == COPY_SEARCH)
		return finish_search(c, result, body);
	if (c->op == COPY_READ && result == PLAT_OK) {
		take_copy(c, body);
		return next_op(c) == COPY_READ ? start_search(c)
					       : MISSING_RETRY_NS;
	}
	if (c->op == COPY_READ)
		return start_search(c);
	set_present(c, json_object_get(body, "current"));
	if (c->op == COPY_WRITE && result == PLAT_OK) {
		c->version = (uint64_t)json_integer_value(
		    json_object_get(body, "version"));
		c->of = c->sent;
	}
	c->refused = c->op == COPY_WRITE && result == PLAT_BAD_REQUEST;
	/* The platform did not tell what it has. */
	if (result == PLAT_CONFLICT && c->version == 0)
		return agent_backoff(c->agent, c->failures++);
	return 0;
}

static const char *const op_names[] = {[COPY_NONE] = "none",
    [COPY_WRITE] = "write",
    [COPY_READ] = "read",
    [COPY_SEARCH] = "search",
    [COPY_DELETE] = "delete"};

static void
on_done(void *ctx, enum plat_result result, json_t *body)
{
	struct copy *c = ctx;
	struct agent *a = c->agent;
	int64_t delay;

	c->call = NULL;
	agent_platform_call_ended(a, result);
	slog(SLOG_CONF, "copy of the last valid version",
	    "key=%.*s op=%s result=%s", STR_ARG(c->key), op_names[c->op],
	    plat_result_name(result));
	delay = finish(c, result, body);
	if (next_op(c) != COPY_NONE)
		run_after(c, delay);
}

void
agent_lastvalid_check(struct agent *a, struct str key)
{
	const struct conf_entry *e;

	/* Backend servers are many, and no version of theirs stays. */
	if (str_has_prefix(key, STR_LIT("backend/")))
		return;
	e = conf_get(a->conf, key);
	if (e == NULL)
		return;
	if (e->rejected_version > 0 ||
	    g_hash_table_contains(a->copies, e->key.p))
		run(find_or_add(a, e->key));
}

void
agent_lastvalid_check_all(struct agent *a)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, a->copies);
	while (g_hash_table_iter_next(&it, NULL, &value))
		run(value);
}

/* A copy that was written lately may be lost. */
void
agent_lastvalid_on_restore(struct agent *a)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, a->copies);
	while (g_hash_table_iter_next(&it, NULL, &value))
		set_present(value, NULL);
	agent_lastvalid_check_all(a);
}
