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
#include <strings.h>

#include "conf.h"
#include "libctl.h"
#include "route.h"

static struct conf *load_conf(struct ctl *, json_t *);
static void print_json(json_t *);
static void
print_backends(const struct route_service *svc)
{
	const struct disp_backend_conf *b;
	unsigned i, j;

	if (svc->nhalls == 0)
		printf("backends    none: the selector matches no backend "
		       "server\n");
	for (i = 0; i < svc->nhalls; i++) {
		for (j = 0; j < svc->halls[i].n; j++) {
			b = &svc->halls[i].backends[j];
			printf("backend     %.*s in %.*s at %.*s, %d "
			       "slots%s%s\n",
			    STR_ARG(b->name), STR_ARG(svc->halls[i].hall),
			    STR_ARG(b->address), b->slots,
			    b->drain ? ", draining" : "",
			    b->evacuated ? ", evacuated" : "");
		}
	}
}

/* Prints one target of a rule: its service, selector, weight and servers. */
static void
print_target(const struct route_rule *rule, const struct route_target *target)
{
	const struct route_service *svc = target->service;

	if (svc == NULL) {
		printf("service     %s: there is no such service\n",
		    rule->obj->service.n > 0 ? rule->obj->service.p
					     : "of the split");
		return;
	}
	printf("service     %.*s: %s", STR_ARG(svc->name),
	    svc->obj->select_text.p);
	if (rule->ntargets > 1)
		printf(", %g of %g", target->weight, rule->total_weight);
	printf("\n");
	print_backends(svc);
}

static void
print_explain(struct ctl *, const struct route_rule *, const struct obj_rule *);

static const struct str config_kinds =
    STR_LIT("backend,service,rule,evacuation");

static const char *
string_member(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s == NULL ? "" : s;
}

static long long
integer_member(const json_t *o, const char *key)
{
	return (long long)json_integer_value(json_object_get(o, key));
}

static void
print_json(json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(2) | JSON_SORT_KEYS);

	printf("%s\n", text);
	free(text);
}

/* get [KIND | KIND/NAME]: prints the matching objects. */
bool
ctl_get(struct ctl *c, GError **err)
{
	struct str kinds = config_kinds;
	const char *only_name = NULL;
	json_t *objects, *o;
	char *spec;
	size_t i;

	if (c->nargs > 0 && strchr(c->args[0], '/') != NULL) {
		only_name = strchr(c->args[0], '/') + 1;
		kinds = str_n(c->args[0], (size_t)(only_name - 1 - c->args[0]));
	} else if (c->nargs > 0) {
		kinds = str_c(c->args[0]);
	}
	objects = ctl_list(c, kinds, err);
	if (objects == NULL)
		return false;
	for (i = json_array_size(objects); i-- > 0;) {
		o = json_array_get(objects, i);
		if (only_name != NULL &&
		    strcmp(string_member(o, "name"), only_name) != 0)
			json_array_remove(objects, i);
	}
	if (c->json) {
		print_json(objects);
	} else {
		printf(
		    "%-9s %-24s %-14s %s\n", "KIND", "NAME", "VERSION", "SPEC");
		json_array_foreach (objects, i, o) {
			spec = json_dumps(json_object_get(o, "spec"),
			    JSON_COMPACT | JSON_SORT_KEYS);
			printf("%-9s %-24s %-14lld %s\n",
			    string_member(o, "kind"), string_member(o, "name"),
			    integer_member(o, "version"),
			    spec == NULL ? "" : spec);
			free(spec);
		}
	}
	if (only_name != NULL && json_array_size(objects) == 0)
		err_set(err, ERR_OBJECT, "%s is not there", c->args[0]);
	json_decref(objects);
	return err == NULL || *err == NULL;
}

/* Prints each box's configuration in force, and the objects it rejects. */
static void
print_status(json_t *objects)
{
	json_t *o, *spec, *rejected, *r;
	size_t i, j;

	printf("%-12s %-10s %-14s %-17s %-17s %-6s %s\n", "BOX", "HALL",
	    "NEWEST", "AGENT HAS", "GATE HAS", "READY", "OBJECTS");
	json_array_foreach (objects, i, o) {
		spec = json_object_get(o, "spec");
		printf("%-12s %-10s %-14lld %-17s %-17s %-6s %lld\n",
		    string_member(spec, "box"), string_member(spec, "hall"),
		    integer_member(spec, "newest"),
		    string_member(spec, "digest"),
		    string_member(spec, "gate_digest"),
		    json_is_true(json_object_get(spec, "leaving")) ? "leaves"
			: json_is_true(json_object_get(spec, "gate_ready"))
			? "yes"
			: "no",
		    integer_member(spec, "objects"));
		rejected = json_object_get(spec, "rejected");
		json_array_foreach (rejected, j, r) {
			printf("  rejected: %s version %lld, in force is %lld: "
			       "%s\n",
			    string_member(r, "key"),
			    integer_member(r, "rejected"),
			    integer_member(r, "in_force"),
			    string_member(r, "why"));
		}
	}
}

bool
ctl_status(struct ctl *c, GError **err)
{
	json_t *objects = ctl_list(c, STR_LIT("status"), err);

	if (objects == NULL)
		return false;
	if (c->json)
		print_json(objects);
	else
		print_status(objects);
	json_decref(objects);
	return true;
}

/* Builds the configuration that a gate has from the platform's objects. */
static struct conf *
load_conf(struct ctl *c, json_t *objects)
{
	struct conf *conf = conf_new(NULL, NULL);
	struct conf_object object;
	json_t *o;
	char *key;
	size_t i;

	json_array_foreach (objects, i, o) {
		key = g_strdup_printf("%s/%s", string_member(o, "kind"),
		    string_member(o, "name"));
		object = (struct conf_object){.key = str_c(key),
		    .version = (uint64_t)integer_member(o, "version"),
		    .spec = json_object_get(o, "spec")};
		conf_offer(conf, &object, STR_LIT("platform"), NULL);
		g_free(key);
	}
	(void)c;
	return conf;
}

/* Returns the value of a header if --header gives it as "name: value". */
static struct str
find_header(void *ctx, struct str name)
{
	const struct ctl *c = ctx;
	const char *value;

	if (c->header == NULL || strncasecmp(c->header, name.p, name.n) != 0 ||
	    c->header[name.n] != ':')
		return str_c(NULL);
	value = c->header + name.n + 1;
	while (*value == ' ')
		value++;
	return str_c(value);
}

static void
print_explain(
    struct ctl *c, const struct route_rule *rule, const struct obj_rule *obj)
{
	struct str method = str_c(c->method);
	bool key = find_header(c, STR_LIT("idempotency-key")).n > 0;
	unsigned i;

	printf("rule        %.*s (host \"%s\", path \"%s\", method \"%s\")\n",
	    STR_ARG(rule->name), obj->host.p, obj->path.p, obj->method.p);
	printf("repeatable  %s\n",
	    route_is_repeatable(obj, method, key) ? "yes"
		: key ? "no: it carries an Idempotency-Key"
		: obj->repeatable == REPEATABLE_NO ? "no: the rule says so"
						   : "no: by its method");
	if (obj->regions.n > 0)
		printf("regions     %s\n", obj->regions.p);
	printf("class       %s\n",
	    obj_class_name((enum obj_class)obj->request_class));
	for (i = 0; i < rule->ntargets; i++)
		print_target(rule, &rule->targets[i]);
}

/* explain PATH: matches a request with the routing code of the gate. */
bool
ctl_explain(struct ctl *c, GError **err)
{
	struct route_query q = {.header = find_header, .ctx = c};
	const struct route_rule *rule;
	struct route_table *t;
	struct conf *conf;
	json_t *objects;

	if (c->nargs != 1)
		return err_set(err, ERR_USAGE, "expected a path");
	objects = ctl_list(c, config_kinds, err);
	if (objects == NULL)
		return false;
	conf = load_conf(c, objects);
	t = route_build(conf);
	q.host = str_c(c->host);
	q.method = str_c(c->method);
	q.path = str_c(c->args[0]);
	rule = route_match(t, &q);
	if (rule != NULL)
		print_explain(c, rule, rule->obj);
	else
		err_set(err, ERR_NO_RULE, "no rule takes %s %s%s", c->method,
		    c->host, c->args[0]);
	route_free(t);
	conf_free(conf);
	json_decref(objects);
	return rule != NULL;
}
