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

#include "err.h"
#include "obj.h"

enum {
	SLOTS_MAX = 4096,
	CONNECTIONS_MAX = 65536,
	QUEUE_MAX = 100000,
	RATE_MAX = 10000000,
	PROBE_MIN_MS = 100,
	PROBE_MAX_MS = 600000,
	ATTEMPTS_MAX = 1000000,
	RANK_MAX = 1000000,
	ROLLOUT_MIN_MS = 1000
};

static bool finish_backend(struct obj *, GError **);
static bool finish_service(struct obj *, GError **);
static bool finish_rule(struct obj *, GError **);
static bool finish_rollout(struct obj *, GError **);
static bool finish_any(struct obj *, GError **);
static struct obj *read_bundle(
    struct str, const json_t *, const struct doc *, const char *, GError **);

static const char *const repeatable_names[] = {"by-method", "yes", "no", NULL};
static const char *const class_names[] = {"interactive", "bulk", NULL};
static const char *const outage_names[] = {"refuse", "allow", NULL};
static const char *const rollout_state_names[] = {
    "open", "running", "completed", "rolled-back", NULL};

#define B(member) offsetof(struct obj, u.backend.member)
#define S(member) offsetof(struct obj, u.service.member)
#define R(member) offsetof(struct obj, u.rule.member)
#define L(member) offsetof(struct obj, u.listener.member)
#define E(member) offsetof(struct obj, u.evacuation.member)
#define C(member) offsetof(struct obj, u.customer.member)
#define O(member) offsetof(struct obj, u.rollout.member)

static const struct field backend_fields[] = {
    {.name = "address",
	.type = FIELD_ADDRESS,
	.offset = B(address),
	.required = true},
    {.name = "hall", .type = FIELD_NAME, .offset = B(hall), .required = true},
    {.name = "slots",
	.type = FIELD_INT,
	.offset = B(slots),
	.dflt = 3,
	.min = 1,
	.max = SLOTS_MAX},
    {.name = "connections",
	.type = FIELD_INT,
	.offset = B(connections),
	.dflt = 200,
	.min = 1,
	.max = CONNECTIONS_MAX},
    {.name = "drain", .type = FIELD_BOOL, .offset = B(drain)},
    {.name = "warm_ms",
	.type = FIELD_INT,
	.offset = B(slow_start_ms),
	.min = 0,
	.max = OBJ_DEADLINE_MAX_MS},
    {.name = "born_ms",
	.type = FIELD_INT,
	.offset = B(started_ms),
	.min = 0,
	.max = INT64_MAX},
    {.name = "labels", .type = FIELD_LABELS, .offset = B(labels)},
};

static const struct field service_fields[] = {
    {.name = "select",
	.type = FIELD_STR,
	.offset = S(select_text),
	.required = true},
    {.name = "deadline_ms",
	.type = FIELD_INT,
	.offset = S(deadline_ms),
	.dflt = 5000,
	.min = 1,
	.max = OBJ_DEADLINE_MAX_MS},
    {.name = "queue",
	.type = FIELD_INT,
	.offset = S(queue_max),
	.dflt = 1000,
	.min = 0,
	.max = QUEUE_MAX},
    {.name = "bulk_percent",
	.type = FIELD_INT,
	.offset = S(bulk_percent),
	.dflt = 40,
	.min = 1,
	.max = 100},
    {.name = "rate",
	.type = FIELD_INT,
	.offset = S(rate),
	.min = 0,
	.max = RATE_MAX},
    {.name = "probe_ms",
	.type = FIELD_INT,
	.offset = S(probe_ms),
	.dflt = 1000,
	.min = PROBE_MIN_MS,
	.max = PROBE_MAX_MS},
    {.name = "probe_path",
	.type = FIELD_STR,
	.offset = S(probe_path),
	.text_dflt = "/health"},
    {.name = "retry_percent",
	.type = FIELD_INT,
	.offset = S(retry_percent),
	.dflt = 10,
	.min = 0,
	.max = 100},
    {.name = "cold_rate",
	.type = FIELD_REAL,
	.offset = S(cold_rate),
	.min = 0,
	.max = RATE_MAX},
    {.name = "cold_ms",
	.type = FIELD_INT,
	.offset = S(cold_ms),
	.dflt = 5000,
	.min = 0,
	.max = OBJ_DEADLINE_MAX_MS},
};

static const struct field rule_fields[] = {
    {.name = "host", .type = FIELD_STR, .offset = R(host), .text_dflt = ""},
    {.name = "path", .type = FIELD_STR, .offset = R(path), .text_dflt = "/"},
    {.name = "method", .type = FIELD_STR, .offset = R(method), .text_dflt = ""},
    {.name = "header", .type = FIELD_STR, .offset = R(header), .text_dflt = ""},
    {.name = "service",
	.type = FIELD_NAME,
	.offset = R(service),
	.text_dflt = ""},
    {.name = "regions",
	.type = FIELD_STR,
	.offset = R(regions),
	.text_dflt = ""},
    {.name = "split", .type = FIELD_WEIGHTS, .offset = R(split)},
    {.name = "target_ms",
	.type = FIELD_INT,
	.offset = R(target_ms),
	.min = 0,
	.max = OBJ_DEADLINE_MAX_MS},
    {.name = "attempts",
	.type = FIELD_INT,
	.offset = R(attempts),
	.min = 0,
	.max = ATTEMPTS_MAX},
    {.name = "rank",
	.type = FIELD_INT,
	.offset = R(rank),
	.min = 0,
	.max = RANK_MAX},
    {.name = "repeatable",
	.type = FIELD_CHOICE,
	.offset = R(repeatable),
	.choices = repeatable_names},
    {.name = "class",
	.type = FIELD_CHOICE,
	.offset = R(request_class),
	.choices = class_names},
    {.name = "rate",
	.type = FIELD_INT,
	.offset = R(rate),
	.min = 0,
	.max = RATE_MAX},
    {.name = "caller_rate",
	.type = FIELD_INT,
	.offset = R(caller_rate),
	.min = 0,
	.max = RATE_MAX},
    {.name = "caller_header",
	.type = FIELD_STR,
	.offset = R(caller_header),
	.text_dflt = ""},
    {.name = "on_outage",
	.type = FIELD_CHOICE,
	.offset = R(on_outage),
	.choices = outage_names},
    {.name = "deadline_ms",
	.type = FIELD_INT,
	.offset = R(deadline_ms),
	.min = 0,
	.max = OBJ_DEADLINE_MAX_MS},
    {.name = "open", .type = FIELD_BOOL, .offset = R(is_public)},
};

static const struct field listener_fields[] = {
    {.name = "body_max",
	.type = FIELD_INT,
	.offset = L(body_max),
	.dflt = 1 << 20,
	.min = 0,
	.max = INT64_MAX},
    {.name = "idle_ms",
	.type = FIELD_INT,
	.offset = L(idle_ms),
	.dflt = 10000,
	.min = 1,
	.max = OBJ_DEADLINE_MAX_MS},
};

static const struct field evacuation_fields[] = {
    {.name = "why", .type = FIELD_STR, .offset = E(reason), .text_dflt = ""},
};

static const struct field rollout_fields[] = {
    {.name = "version",
	.type = FIELD_STR,
	.offset = O(version),
	.required = true},
    {.name = "duration_ms",
	.type = FIELD_INT,
	.offset = O(duration_ms),
	.min = ROLLOUT_MIN_MS,
	.max = OBJ_DEADLINE_MAX_MS,
	.required = true},
    {.name = "state",
	.type = FIELD_CHOICE,
	.offset = O(state),
	.choices = rollout_state_names},
};

static const struct field customer_fields[] = {
    {.name = "keys", .type = FIELD_STR, .offset = C(keys), .text_dflt = ""},
    {.name = "rank",
	.type = FIELD_INT,
	.offset = C(rank),
	.min = 0,
	.max = RANK_MAX},
    {.name = "rate",
	.type = FIELD_REAL,
	.offset = C(rate),
	.min = 0,
	.max = RATE_MAX},
    {.name = "burst",
	.type = FIELD_REAL,
	.offset = C(burst),
	.min = 0,
	.max = RATE_MAX},
};

static const struct {
	const char *name;
	const struct field *fields;
	size_t n;
	bool (*finish)(struct obj *, GError **);
} kinds[OBJ_KIND_MAX] = {
    [OBJ_BACKEND] = {"backend", backend_fields, G_N_ELEMENTS(backend_fields),
	finish_backend},
    [OBJ_SERVICE] = {"service", service_fields, G_N_ELEMENTS(service_fields),
	finish_service},
    [OBJ_RULE] = {"rule", rule_fields, G_N_ELEMENTS(rule_fields), finish_rule},
    [OBJ_LISTENER] = {"listener", listener_fields,
	G_N_ELEMENTS(listener_fields), finish_any},
    [OBJ_BUNDLE] = {"bundle", NULL, 0, finish_any},
    [OBJ_EVACUATION] = {"evacuation", evacuation_fields,
	G_N_ELEMENTS(evacuation_fields), finish_any},
    [OBJ_ROLLOUT] = {"rollout", rollout_fields, G_N_ELEMENTS(rollout_fields),
	finish_rollout},
    [OBJ_CUSTOMER] = {"customer", customer_fields,
	G_N_ELEMENTS(customer_fields), finish_any},
};

const char *
obj_kind_name(enum obj_kind kind)
{
	return kinds[kind].name;
}

bool
obj_kind_by_name(struct str name, enum obj_kind *kind)
{
	int i;

	for (i = 0; i < OBJ_KIND_MAX; i++) {
		if (!str_eq(str_c(kinds[i].name), name))
			continue;
		*kind = (enum obj_kind)i;
		return true;
	}
	return false;
}

const char *
obj_rollout_state_name(enum obj_rollout_state state)
{
	return rollout_state_names[state];
}

const char *
obj_class_name(enum obj_class cls)
{
	return class_names[cls];
}

static bool
finish_backend(struct obj *o, GError **err)
{
	struct obj_backend *b = &o->u.backend;
	json_t *labels = json_copy(b->labels);

	(void)err;
	json_decref(b->labels);
	b->labels = labels;
	json_object_set_new(labels, "hall", json_stringn(b->hall.p, b->hall.n));
	json_object_set_new(labels, "name", json_stringn(o->name.p, o->name.n));
	if (json_object_get(labels, "drain") != NULL)
		b->drain = true;
	return true;
}

static bool
finish_service(struct obj *o, GError **err)
{
	struct obj_service *s = &o->u.service;

	if (s->probe_path.n == 0 || s->probe_path.p[0] != '/')
		return err_set(err, ERR_OBJECT,
		    "service %s: probe_path: must begin with '/'", o->name.p);
	s->select = sel_parse(s->select_text, err);
	return s->select != NULL;
}

static bool
is_name_list(struct str list)
{
	char *text = g_strndup(list.p, list.n);
	char **names = g_strsplit(text, ",", -1);
	bool ok = true;
	int i;

	for (i = 0; names[i] != NULL; i++)
		ok = ok && field_is_name(str_c(names[i]));
	g_strfreev(names);
	g_free(text);
	return ok;
}

static bool
finish_rule(struct obj *o, GError **err)
{
	struct obj_rule *r = &o->u.rule;

	if (r->regions.n > 0 && !is_name_list(r->regions))
		return err_set(err, ERR_OBJECT,
		    "rule %s: regions: must be names joined by commas",
		    o->name.p);

	if (r->path.n == 0 || r->path.p[0] != '/')
		return err_set(err, ERR_OBJECT,
		    "rule %s: path: must begin with '/'", o->name.p);
	if (r->header.n > 0 && memchr(r->header.p, ':', r->header.n) == NULL)
		return err_set(err, ERR_OBJECT,
		    "rule %s: header: must be \"name: value\"", o->name.p);
	if ((r->service.n > 0) == (json_object_size(r->split) > 0))
		return err_set(err, ERR_OBJECT,
		    "rule %s: must have either a service or a split",
		    o->name.p);
	return true;
}

static bool
finish_rollout(struct obj *o, GError **err)
{
	if (o->u.rollout.version.n > 0)
		return true;
	return err_set(err, ERR_OBJECT,
	    "rollout %s: version: must not be empty", o->name.p);
}

static bool
finish_any(struct obj *o, GError **err)
{
	(void)o;
	(void)err;
	return true;
}

/* Parses the objects of one kind in a bundle: a table of names to specs. */
static bool
read_members(struct obj *bundle, enum obj_kind kind, const json_t *specs,
    const struct doc *doc, GError **err)
{
	const char *name;
	json_t *spec;
	struct obj *o;

	json_object_foreach ((json_t *)specs, name, spec) {
		o = obj_read(kind, str_c(name), spec, doc, err);
		if (o == NULL)
			return false;
		g_ptr_array_add(bundle->u.bundle.objects, o);
	}
	return true;
}

static bool
read_all_members(struct obj *bundle, const json_t *spec, const struct doc *doc,
    const char *where, GError **err)
{
	enum obj_kind kind;
	const char *key;
	json_t *specs;

	json_object_foreach ((json_t *)spec, key, specs) {
		if (!obj_kind_by_name(str_c(key), &kind) ||
		    (kind != OBJ_SERVICE && kind != OBJ_RULE &&
			kind != OBJ_LISTENER && kind != OBJ_CUSTOMER))
			return err_set(err, ERR_OBJECT,
			    "%s: %s: a bundle holds service, rule, listener "
			    "and customer",
			    where, key);
		if (!json_is_object(specs))
			return err_set(err, ERR_OBJECT,
			    "%s: %s: must be a table of names to specs", where,
			    key);
		if (!read_members(bundle, kind, specs, doc, err))
			return false;
	}
	return true;
}

static struct obj *
read_bundle(struct str name, const json_t *spec, const struct doc *doc,
    const char *where, GError **err)
{
	struct obj *o;

	if (!json_is_object(spec)) {
		err_set(err, ERR_OBJECT, "%s: is not a table", where);
		return NULL;
	}
	o = g_new0(struct obj, 1);
	o->kind = OBJ_BUNDLE;
	o->refs = 1;
	o->name = str_dup(name);
	o->u.bundle.objects =
	    g_ptr_array_new_with_free_func((GDestroyNotify)obj_free);
	if (read_all_members(o, spec, doc, where, err))
		return o;
	obj_free(o);
	return NULL;
}

struct obj *
obj_read(enum obj_kind kind, struct str name, const json_t *spec,
    const struct doc *doc, GError **err)
{
	char where[192];
	struct obj *o;

	if (!field_is_name(name)) {
		err_set(err, ERR_OBJECT, "%s \"%.*s\": the name is not valid",
		    kinds[kind].name, STR_ARG(name));
		return NULL;
	}
	if (doc == NULL)
		snprintf(where, sizeof(where), "%s %.*s", kinds[kind].name,
		    STR_ARG(name));
	else
		snprintf(where, sizeof(where), "%s", doc->file);
	if (kind == OBJ_BUNDLE)
		return read_bundle(name, spec, doc, where, err);
	o = g_new0(struct obj, 1);
	o->kind = kind;
	o->refs = 1;
	if (!field_read(kinds[kind].fields, kinds[kind].n, spec, doc, where,
		ERR_OBJECT, o, err)) {
		g_free(o);
		return NULL;
	}
	o->name = str_dup(name);
	if (kinds[kind].finish(o, err))
		return o;
	obj_free(o);
	return NULL;
}

struct obj *
obj_ref(struct obj *o)
{
	o->refs++;
	return o;
}

void
obj_free(struct obj *o)
{
	if (o == NULL || --o->refs > 0)
		return;
	if (o->kind == OBJ_SERVICE)
		sel_free(o->u.service.select);
	if (o->kind == OBJ_BUNDLE)
		g_ptr_array_free(o->u.bundle.objects, TRUE);
	field_free(kinds[o->kind].fields, kinds[o->kind].n, o);
	str_free(&o->name);
	g_free(o);
}
