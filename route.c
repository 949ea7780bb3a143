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
#include <glib.h>
#include <stdlib.h>
#include <strings.h>

#include "route.h"

struct route_table {
	GPtrArray *services; /* struct route_service * */
	GPtrArray *rules; /* struct route_rule *, in order of matching */
	GPtrArray *backends; /* struct obj *, sorted by name */
	/* struct obj * to const struct conf_entry *, while the table is built
	 */
	GHashTable *entries;
	GPtrArray *evacuations; /* struct obj *, named after halls */
	GPtrArray *rollouts; /* struct obj *, named after services */
	GPtrArray *objects; /* struct obj *, references held by the table */
	struct customers *customers;
	const struct obj_listener *listener, *head_limits;
	uint64_t version; /* highest, without backend servers */
	uint64_t digest; /* of all objects but backend servers */
};

static void collect_entry(void *, const struct conf_entry *);
static void collect_obj(struct route_table *, struct obj *);
static void bind_parts(const struct route_table *, struct route_rule *);
static void fill_service(struct route_table *, struct route_service *);
static struct route_hall *
get_hall(const struct route_table *, struct route_service *, struct str);
static int by_specificity(const void *, const void *);
static int by_name(const void *, const void *);
static bool rule_matches(const struct obj_rule *, const struct route_query *);

static int
str_cmp(struct str a, struct str b)
{
	int c = memcmp(a.p, b.p, MIN(a.n, b.n));

	return c != 0 ? c : (a.n > b.n) - (a.n < b.n);
}

static void
service_free(void *p)
{
	struct route_service *s = p;
	unsigned i;

	for (i = 0; i < s->nhalls; i++)
		g_free(s->halls[i].backends);
	g_free(s->halls);
	g_free(s);
}

static void
rule_free(void *p)
{
	struct route_rule *r = p;

	g_free(r->targets);
	g_free(r);
}

static void
collect_entry(void *ctx, const struct conf_entry *e)
{
	struct route_table *t = ctx;

	if (e->kind != OBJ_BACKEND)
		t->version = MAX(t->version, e->version);
	if (e->obj == NULL)
		return;
	g_ptr_array_add(t->objects, obj_ref(e->obj));
	g_hash_table_insert(t->entries, e->obj, (void *)e);
	collect_obj(t, e->obj);
}

static void
collect_obj(struct route_table *t, struct obj *o)
{
	struct route_service *s;
	struct route_rule *r;
	guint i;

	switch (o->kind) {
	case OBJ_BACKEND:
		g_ptr_array_add(t->backends, o);
		break;
	case OBJ_SERVICE:
		s = g_new0(struct route_service, 1);
		s->name = o->name;
		s->obj = &o->u.service;
		g_ptr_array_add(t->services, s);
		break;
	case OBJ_RULE:
		r = g_new0(struct route_rule, 1);
		r->name = o->name;
		r->obj = &o->u.rule;
		g_ptr_array_add(t->rules, r);
		break;
	case OBJ_EVACUATION:
		g_ptr_array_add(t->evacuations, o);
		break;
	case OBJ_CUSTOMER:
		customers_add(t->customers, o->name, &o->u.customer);
		break;
	case OBJ_ROLLOUT:
		g_ptr_array_add(t->rollouts, o);
		break;
	case OBJ_LISTENER:
		if (str_eq(o->name, STR_LIT(OBJ_HEAD_LIMITS)))
			t->head_limits = &o->u.listener;
		else
			t->listener = &o->u.listener;
		break;
	case OBJ_BUNDLE:
		for (i = 0; i < o->u.bundle.objects->len; i++)
			collect_obj(
			    t, g_ptr_array_index(o->u.bundle.objects, i));
		break;
	default:
		break;
	}
}

/* Resolves the names of the services of a rule. */
static void
bind_parts(const struct route_table *t, struct route_rule *r)
{
	json_t *weight;
	const char *name;
	unsigned i = 0;

	r->ntargets = MAX(1u, (unsigned)json_object_size(r->obj->split));
	r->targets = g_new0(struct route_target, r->ntargets);
	r->targets[0] = (struct route_target){
	    r->obj->service.n == 0 ? NULL : route_service(t, r->obj->service),
	    1};
	json_object_foreach (r->obj->split, name, weight) {
		r->targets[i].service = route_service(t, str_c(name));
		r->targets[i++].weight = json_number_value(weight);
	}
	for (i = 0; i < r->ntargets; i++)
		r->total_weight += r->targets[i].weight;
}

static bool
is_evacuated(const struct route_table *t, struct str hall)
{
	const struct obj *o;
	guint i;

	for (i = 0; i < t->evacuations->len; i++) {
		o = g_ptr_array_index(t->evacuations, i);
		if (str_eq(o->name, hall))
			return true;
	}
	return false;
}

static struct route_hall *
get_hall(const struct route_table *t, struct route_service *s, struct str hall)
{
	struct route_hall *h;
	unsigned i;

	for (i = 0; i < s->nhalls; i++)
		if (str_eq(s->halls[i].hall, hall))
			return &s->halls[i];
	s->halls = g_renew(struct route_hall, s->halls, s->nhalls + 1);
	h = &s->halls[s->nhalls++];
	*h = (struct route_hall){
	    .hall = hall, .evacuated = is_evacuated(t, hall)};
	return h;
}

static const struct obj_rollout *
find_rollout(const struct route_table *t, struct str service)
{
	const struct obj *o;
	guint i;

	for (i = 0; i < t->rollouts->len; i++) {
		o = g_ptr_array_index(t->rollouts, i);
		if (str_eq(o->name, service))
			return &o->u.rollout;
	}
	return NULL;
}

/* Returns whether a backend server has the version of the roll-out. */
static bool
has_new_version(const struct route_service *s, const struct obj_backend *b)
{
	const char *version =
	    json_string_value(json_object_get(b->labels, "version"));

	return s->rollout != NULL && version != NULL &&
	    str_eq(s->rollout->version, str_c(version));
}

static void
fill_service(struct route_table *t, struct route_service *s)
{
	const struct obj *o;
	const struct conf_entry *e;
	const struct obj_backend *b;
	struct route_hall *h;
	guint i;

	s->rollout = find_rollout(t, s->name);
	for (i = 0; i < t->backends->len; i++) {
		o = g_ptr_array_index(t->backends, i);
		b = &o->u.backend;
		e = g_hash_table_lookup(t->entries, o);
		if (!sel_match(s->obj->select, b->labels))
			continue;
		h = get_hall(t, s, b->hall);
		h->backends =
		    g_renew(struct disp_backend_conf, h->backends, h->n + 1);
		h->backends[h->n++] =
		    (struct disp_backend_conf){.name = o->name,
			.address = b->address,
			.slots = (int)b->slots,
			.drain = b->drain,
			.evacuated = h->evacuated,
			.slow_start_ns = b->slow_start_ms * NS_MS,
			.started_ms = b->started_ms,
			.is_new_version = has_new_version(s, b),
			.entry_version = e->version,
			.existed = e->existed};
		s->has_new_version =
		    s->has_new_version || has_new_version(s, b);
		if (b->drain || h->evacuated)
			continue;
		h->slots += (int)b->slots;
		s->slots += (int)b->slots;
	}
}

static int
by_name(const void *pa, const void *pb)
{
	const struct obj *const *a = pa, *const *b = pb;

	return str_cmp((*a)->name, (*b)->name);
}

static int
by_specificity(const void *pa, const void *pb)
{
	const struct route_rule *const *pra = pa, *const *prb = pb;
	const struct obj_rule *a = (*pra)->obj, *b = (*prb)->obj;

	if ((a->host.n > 0) != (b->host.n > 0))
		return a->host.n > 0 ? -1 : 1;
	if (a->path.n != b->path.n)
		return a->path.n > b->path.n ? -1 : 1;
	if ((a->header.n > 0) != (b->header.n > 0))
		return a->header.n > 0 ? -1 : 1;
	if ((a->method.n > 0) != (b->method.n > 0))
		return a->method.n > 0 ? -1 : 1;
	return str_cmp((*pra)->name, (*prb)->name);
}

struct route_table *
route_build(const struct conf *conf)
{
	struct route_table *t = g_new0(struct route_table, 1);
	guint i;

	t->services = g_ptr_array_new_with_free_func(service_free);
	t->rules = g_ptr_array_new_with_free_func(rule_free);
	t->backends = g_ptr_array_new();
	t->entries = g_hash_table_new(NULL, NULL);
	t->evacuations = g_ptr_array_new();
	t->rollouts = g_ptr_array_new();
	t->customers = customers_new();
	t->objects = g_ptr_array_new_with_free_func((GDestroyNotify)obj_free);
	t->digest = conf_digest_of(conf, CONF_RULES);
	conf_each(conf, collect_entry, t);
	g_ptr_array_sort(t->backends, by_name);
	g_ptr_array_sort(t->rules, by_specificity);
	for (i = 0; i < t->services->len; i++)
		fill_service(t, g_ptr_array_index(t->services, i));
	for (i = 0; i < t->rules->len; i++)
		bind_parts(t, g_ptr_array_index(t->rules, i));
	g_hash_table_destroy(t->entries);
	return t;
}

void
route_free(struct route_table *t)
{
	if (t == NULL)
		return;
	g_ptr_array_free(t->services, TRUE);
	g_ptr_array_free(t->rules, TRUE);
	g_ptr_array_free(t->backends, TRUE);
	g_ptr_array_free(t->evacuations, TRUE);
	g_ptr_array_free(t->rollouts, TRUE);
	customers_free(t->customers);
	g_ptr_array_free(t->objects, TRUE);
	g_free(t);
}

static bool
eq_nocase(struct str a, struct str b)
{
	return a.n == b.n && strncasecmp(a.p, b.p, a.n) == 0;
}

/* The prefix must end at a path boundary: "/a" does not match "/ab". */
static bool
path_matches(struct str prefix, struct str path)
{
	if (!str_has_prefix(path, prefix))
		return false;
	return path.n == prefix.n || prefix.p[prefix.n - 1] == '/' ||
	    path.p[prefix.n] == '/' || path.p[prefix.n] == '?';
}

static bool
header_matches(struct str pattern, const struct route_query *q)
{
	const char *colon = memchr(pattern.p, ':', pattern.n);
	struct str name = str_n(pattern.p, (size_t)(colon - pattern.p));
	struct str value = str_n(colon + 1, pattern.n - name.n - 1);

	while (value.n > 0 && value.p[0] == ' ')
		value = str_n(value.p + 1, value.n - 1);
	return str_eq(q->header(q->ctx, name), value);
}

static bool
rule_matches(const struct obj_rule *r, const struct route_query *q)
{
	if (r->host.n > 0 && !eq_nocase(r->host, q->host))
		return false;
	if (r->method.n > 0 && !str_eq(r->method, q->method))
		return false;
	if (!path_matches(r->path, q->path))
		return false;
	return r->header.n == 0 || header_matches(r->header, q);
}

const struct route_rule *
route_match(const struct route_table *t, const struct route_query *q)
{
	const struct route_rule *r;
	guint i;

	for (i = 0; i < t->rules->len; i++) {
		r = g_ptr_array_index(t->rules, i);
		if (rule_matches(r->obj, q))
			return r;
	}
	return NULL;
}

const struct route_service *
route_choose_service(const struct route_rule *r, const struct rnd *rnd)
{
	double offset = rnd_unit(rnd) * r->total_weight;
	unsigned i;

	for (i = 0; i + 1 < r->ntargets; i++) {
		if (offset < r->targets[i].weight)
			break;
		offset -= r->targets[i].weight;
	}
	return r->targets[i].service;
}

uint64_t
route_version(const struct route_table *t)
{
	return t->version;
}

uint64_t
route_digest(const struct route_table *t)
{
	return t->digest;
}

unsigned
route_count_rules(const struct route_table *t)
{
	return t->rules->len;
}

const struct route_rule *
route_rule_without_limit(const struct route_table *t, unsigned *count)
{
	const struct route_rule *r, *found = NULL;
	guint i;

	*count = 0;
	for (i = 0; i < t->rules->len; i++) {
		r = g_ptr_array_index(t->rules, i);
		if (r->obj->deadline_ms > 0)
			continue;
		if (found == NULL)
			found = r;
		++*count;
	}
	return found;
}

unsigned
route_count_evacuations(const struct route_table *t)
{
	return t->evacuations->len;
}

const struct obj_listener *
route_listener(const struct route_table *t)
{
	return t->listener;
}

const struct obj_listener *
route_head_limits(const struct route_table *t)
{
	return t->head_limits;
}

const struct customers *
route_customers(const struct route_table *t)
{
	return t->customers;
}

const struct route_service *
route_service(const struct route_table *t, struct str name)
{
	const struct route_service *s;
	guint i;

	for (i = 0; i < t->services->len; i++) {
		s = g_ptr_array_index(t->services, i);
		if (str_eq(s->name, name))
			return s;
	}
	return NULL;
}

const struct route_hall *
route_hall(const struct route_service *s, struct str hall)
{
	unsigned i;

	for (i = 0; i < s->nhalls; i++)
		if (str_eq(s->halls[i].hall, hall))
			return &s->halls[i];
	return NULL;
}

void
route_each(const struct route_table *t, route_visit_fn *visit, void *ctx)
{
	guint i;

	for (i = 0; i < t->services->len; i++)
		visit(ctx, g_ptr_array_index(t->services, i));
}

bool
route_is_repeatable(const struct obj_rule *r, struct str method, bool has_key)
{
	if (has_key || r->repeatable == REPEATABLE_NO)
		return false;
	if (r->repeatable == REPEATABLE_YES)
		return true;
	return str_eq(method, STR_LIT("GET")) ||
	    str_eq(method, STR_LIT("HEAD")) ||
	    str_eq(method, STR_LIT("OPTIONS"));
}
