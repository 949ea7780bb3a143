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

#include "libctl.h"
#include "version.h"

enum { MAX_ATTEMPTS = 8, TIMEOUT_MS = 3000, RETRY_DELAY_MS = 200 };

/* A call in progress, and its result once it is done. */
struct pending_call {
	struct ctl *ctl;
	bool done;
	enum plat_result result;
	json_t *body;
};

static void on_done(void *, enum plat_result, json_t *);
static bool
set_conflict_error(struct str, struct str, json_t *, json_t *, GError **);

static void
on_done(void *ctx, enum plat_result result, json_t *body)
{
	struct pending_call *call = ctx;

	call->done = true;
	call->result = result;
	call->body = json_incref(body);
	uv_stop(call->ctl->loop);
}

enum plat_result
ctl_call(struct ctl *c, const struct plat_request *rq, json_t **body)
{
	struct pending_call call = {.ctl = c};
	struct plat_request copy = *rq;

	copy.timeout_ms = TIMEOUT_MS;
	plat_start(c->plat, &copy, on_done, &call);
	while (!call.done)
		uv_run(c->loop, UV_RUN_DEFAULT);
	*body = call.body;
	return call.result;
}

static bool
set_unavailable_error(GError **err)
{
	return err_set(err, ERR_PLATFORM,
	    "the platform does not answer; nothing was changed");
}

/* Makes a read call, which is retried, as reading has no side effects. */
static enum plat_result
read_call(struct ctl *c, const struct plat_request *rq, json_t **body)
{
	enum plat_result result = PLAT_UNAVAILABLE;
	int i;

	for (i = 0; i < MAX_ATTEMPTS; i++) {
		result = ctl_call(c, rq, body);
		if (result != PLAT_UNAVAILABLE)
			break;
		json_decref(*body);
		*body = NULL;
		g_usleep(RETRY_DELAY_MS * 1000);
	}
	return result;
}

json_t *
ctl_read(struct ctl *c, struct str kind, struct str name, GError **err)
{
	struct plat_request rq = {.op = PLAT_GET, .kind = kind, .name = name};
	json_t *body = NULL;
	enum plat_result result = read_call(c, &rq, &body);

	if (result == PLAT_OK)
		return body;
	json_decref(body);
	if (result != PLAT_NOT_FOUND)
		set_unavailable_error(err);
	return NULL;
}

json_t *
ctl_list(struct ctl *c, struct str kinds, GError **err)
{
	struct plat_request rq = {.op = PLAT_LIST, .kind = kinds};
	json_t *body = NULL, *objects;

	if (read_call(c, &rq, &body) != PLAT_OK) {
		json_decref(body);
		set_unavailable_error(err);
		return NULL;
	}
	objects = json_incref(json_object_get(body, "objects"));
	json_decref(body);
	return objects;
}

static json_int_t
version_of(const json_t *o)
{
	return json_integer_value(json_object_get(o, "version"));
}

/* Sets an error with both versions of an object that was changed meanwhile. */
static bool
set_conflict_error(struct str kind, struct str name, json_t *old,
    json_t *current, GError **err)
{
	char *text = json_dumps(
	    json_object_get(current, "spec"), JSON_COMPACT | JSON_SORT_KEYS);

	err_set(err, ERR_CONFLICT,
	    "%.*s/%.*s: another change came first: yours was based on version "
	    "%lld, now it is %lld: %s",
	    STR_ARG(kind), STR_ARG(name), (long long)version_of(old),
	    (long long)version_of(current), text == NULL ? "deleted" : text);
	free(text);
	return false;
}

/* The outcome of a write; WRITE_CONFLICT: another change came first. */
enum write_outcome {
	WRITE_DONE,
	WRITE_NOT_DONE,
	WRITE_CONFLICT,
	WRITE_UNKNOWN
};

/*
 * Returns whether an object is as it was read.  After a restore of the platform
 * it has a version of a later epoch.
 */
static bool
is_unchanged(const json_t *old, const json_t *current)
{
	uint64_t before = (uint64_t)version_of(old);
	uint64_t now = (uint64_t)version_of(current);

	return version_revision(before) == version_revision(now) &&
	    json_equal(
		json_object_get(old, "spec"), json_object_get(current, "spec"));
}

/* Determines the outcome of a write whose reply was lost. */
static enum write_outcome
read_back(struct ctl *c, struct str kind, struct str name, json_t *old,
    const char *id, bool is_delete, json_t **current)
{
	GError *err = NULL;
	const char *change;

	*current = ctl_read(c, kind, name, &err);
	if (err != NULL) {
		g_error_free(err);
		return WRITE_UNKNOWN;
	}
	if (*current == NULL)
		return is_delete  ? WRITE_DONE
		    : old == NULL ? WRITE_NOT_DONE
				  : WRITE_CONFLICT;
	change = json_string_value(json_object_get(*current, "change"));
	if (change != NULL && strcmp(change, id) == 0)
		return WRITE_DONE;
	return is_unchanged(old, *current) ? WRITE_NOT_DONE : WRITE_CONFLICT;
}

bool
ctl_write(struct ctl *c, struct str kind, struct str name, json_t *old,
    json_t *spec, uint64_t *version, GError **err)
{
	struct plat_request rq = {.kind = kind, .name = name};
	json_t *value, *body = NULL, *current;
	enum plat_result result;
	enum write_outcome outcome;
	char id[40];
	int i;

	snprintf(id, sizeof(id), "ctl-%016llx",
	    (unsigned long long)c->rnd->next(c->rnd->ctx));
	value = json_pack("{s:O?, s:s}", "spec", spec, "change", id);
	rq.op = spec == NULL ? PLAT_DELETE
	    : old == NULL    ? PLAT_CREATE
			     : PLAT_UPDATE;
	rq.version = (uint64_t)version_of(old);
	rq.value = value;
	for (i = 0; i < MAX_ATTEMPTS; i++) {
		result = ctl_call(c, &rq, &body);
		if (result == PLAT_OK) {
			*version = (uint64_t)version_of(body);
			break;
		}
		current = json_incref(json_object_get(body, "current"));
		json_decref(body);
		body = NULL;
		outcome = result == PLAT_CONFLICT || result == PLAT_NOT_FOUND
		    ? WRITE_CONFLICT
		    : WRITE_NOT_DONE;
		/* A conflict may be with an earlier attempt of this write. */
		if (result == PLAT_UNKNOWN ||
		    (outcome == WRITE_CONFLICT && i > 0)) {
			json_decref(current);
			outcome = read_back(
			    c, kind, name, old, id, spec == NULL, &current);
		}
		if (outcome == WRITE_NOT_DONE && current != NULL)
			rq.version = (uint64_t)version_of(current);
		if (outcome == WRITE_DONE)
			*version = (uint64_t)version_of(current);
		if (outcome == WRITE_CONFLICT)
			set_conflict_error(kind, name, old, current, err);
		if (result == PLAT_BAD_REQUEST)
			err_set(err, ERR_PLATFORM,
			    "%.*s/%.*s: the platform rejects the call",
			    STR_ARG(kind), STR_ARG(name));
		json_decref(current);
		if (outcome == WRITE_DONE || outcome == WRITE_CONFLICT ||
		    result == PLAT_BAD_REQUEST)
			break;
		g_usleep(RETRY_DELAY_MS * 1000);
	}
	json_decref(body);
	json_decref(value);
	if (i == MAX_ATTEMPTS)
		err_set(err, ERR_PLATFORM,
		    "%.*s/%.*s: the platform does not answer; whether the "
		    "change took effect is not known: check with 'get'",
		    STR_ARG(kind), STR_ARG(name));
	return err == NULL || *err == NULL;
}

bool
ctl_parse_key(
    const char *text, enum obj_kind *kind, struct str *name, GError **err)
{
	const char *slash = strchr(text, '/');

	if (slash != NULL &&
	    obj_kind_by_name(str_n(text, (size_t)(slash - text)), kind) &&
	    field_is_name(str_c(slash + 1))) {
		*name = str_c(slash + 1);
		return true;
	}
	return err_set(err, ERR_USAGE,
	    "\"%s\": expected KIND/NAME, with backend, service or rule", text);
}
