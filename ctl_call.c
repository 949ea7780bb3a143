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

enum { TRIES_MAX = 8, TIMEOUT_MS = 3000, PAUSE_MS = 200 };

/* One call's answer on its way to the one that waits. */
struct wait {
	struct ctl *ctl;
	bool done;
	enum plat_result result;
	json_t *body;
};

static void on_done(void *, enum plat_result, json_t *);
static bool lost_race(struct str, struct str, json_t *, json_t *, GError **);

static void
on_done(void *ctx, enum plat_result result, json_t *body)
{
	struct wait *w = ctx;

	w->done = true;
	w->result = result;
	w->body = json_incref(body);
	uv_stop(w->ctl->loop);
}

enum plat_result
ctl_call(struct ctl *c, const struct plat_request *rq, json_t **body)
{
	struct wait w = {.ctl = c};
	struct plat_request copy = *rq;

	copy.timeout_ms = TIMEOUT_MS;
	plat_start(c->plat, &copy, on_done, &w);
	while (!w.done)
		uv_run(c->loop, UV_RUN_DEFAULT);
	*body = w.body;
	return w.result;
}

static bool
no_answer(GError **err)
{
	return err_set(err, ERR_PLATFORM,
	    "the platform does not answer; nothing was changed");
}

/* Reading is free of effect, so it is tried again. */
static enum plat_result
read_call(struct ctl *c, const struct plat_request *rq, json_t **body)
{
	enum plat_result result = PLAT_UNAVAILABLE;
	int i;

	for (i = 0; i < TRIES_MAX; i++) {
		result = ctl_call(c, rq, body);
		if (result != PLAT_UNAVAILABLE)
			break;
		json_decref(*body);
		*body = NULL;
		g_usleep(PAUSE_MS * 1000);
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
		no_answer(err);
	return NULL;
}

json_t *
ctl_list(struct ctl *c, struct str kinds, GError **err)
{
	struct plat_request rq = {.op = PLAT_LIST, .kind = kinds};
	json_t *body = NULL, *objects;

	if (read_call(c, &rq, &body) != PLAT_OK) {
		json_decref(body);
		no_answer(err);
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

static bool
lost_race(
    struct str kind, struct str name, json_t *old, json_t *now, GError **err)
{
	char *text = json_dumps(
	    json_object_get(now, "spec"), JSON_COMPACT | JSON_SORT_KEYS);

	err_set(err, ERR_CONFLICT,
	    "%.*s/%.*s: another change came first: yours was based on version "
	    "%lld, now it is %lld: %s",
	    STR_ARG(kind), STR_ARG(name), (long long)version_of(old),
	    (long long)version_of(now), text == NULL ? "deleted" : text);
	free(text);
	return false;
}

/* What became of a write whose answer was lost. */
enum fate { FATE_DONE, FATE_NOT_DONE, FATE_OVERTAKEN, FATE_UNKNOWN };

static enum fate
read_back(struct ctl *c, struct str kind, struct str name, json_t *old,
    const char *id, bool deletes, json_t **now)
{
	GError *err = NULL;
	const char *change;

	*now = ctl_read(c, kind, name, &err);
	if (err != NULL) {
		g_error_free(err);
		return FATE_UNKNOWN;
	}
	if (*now == NULL)
		return deletes	  ? FATE_DONE
		    : old == NULL ? FATE_NOT_DONE
				  : FATE_OVERTAKEN;
	change = json_string_value(json_object_get(*now, "change"));
	if (change != NULL && strcmp(change, id) == 0)
		return FATE_DONE;
	return version_of(*now) == version_of(old) ? FATE_NOT_DONE
						   : FATE_OVERTAKEN;
}

bool
ctl_write(struct ctl *c, struct str kind, struct str name, json_t *old,
    json_t *spec, uint64_t *version, GError **err)
{
	struct plat_request rq = {.kind = kind, .name = name};
	json_t *value, *body = NULL, *now;
	enum plat_result result;
	enum fate fate;
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
	for (i = 0; i < TRIES_MAX; i++) {
		result = ctl_call(c, &rq, &body);
		if (result == PLAT_OK) {
			*version = (uint64_t)version_of(body);
			break;
		}
		now = json_incref(json_object_get(body, "current"));
		json_decref(body);
		body = NULL;
		fate = result == PLAT_CONFLICT || result == PLAT_NOT_FOUND
		    ? FATE_OVERTAKEN
		    : FATE_NOT_DONE;
		/* Our own earlier try may be what we now collide with. */
		if (result == PLAT_UNKNOWN || (fate == FATE_OVERTAKEN && i > 0))
			fate = read_back(
			    c, kind, name, old, id, spec == NULL, &now);
		if (fate == FATE_DONE)
			*version = (uint64_t)version_of(now);
		if (fate == FATE_OVERTAKEN)
			lost_race(kind, name, old, now, err);
		if (result == PLAT_BAD_REQUEST)
			err_set(err, ERR_PLATFORM,
			    "%.*s/%.*s: the platform refuses the call",
			    STR_ARG(kind), STR_ARG(name));
		json_decref(now);
		if (fate == FATE_DONE || fate == FATE_OVERTAKEN ||
		    result == PLAT_BAD_REQUEST)
			break;
		g_usleep(PAUSE_MS * 1000);
	}
	json_decref(body);
	json_decref(value);
	if (i == TRIES_MAX)
		err_set(err, ERR_PLATFORM,
		    "%.*s/%.*s: the platform does not answer; whether the "
		    "change took effect is not known: look with 'get'",
		    STR_ARG(kind), STR_ARG(name));
	return err == NULL || *err == NULL;
}

bool
ctl_key(const char *text, enum obj_kind *kind, struct str *name, GError **err)
{
	const char *slash = strchr(text, '/');

	if (slash != NULL &&
	    obj_kind_by_name(str_n(text, (size_t)(slash - text)), kind) &&
	    field_is_name(str_c(slash + 1))) {
		*name = str_c(slash + 1);
		return true;
	}
	return err_set(err, ERR_USAGE,
	    "\"%s\": wanted is KIND/NAME, with backend, service or rule", text);
}
