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

#include "doc.h"
#include "libctl.h"

/* An object that an operator gives, in a file or on the command line. */
struct item {
	enum obj_kind kind;
	struct str name; /* a heap copy if read from a file */
	json_t *spec;
};

typedef bool item_fn(struct ctl *, const struct item *, GError **);

static bool read_items(struct doc *, GArray *, GError **);
static bool for_each_item(struct ctl *, item_fn *, GError **);
static bool apply_item(struct ctl *, const struct item *, GError **);
static bool diff_item(struct ctl *, const struct item *, GError **);
static bool
edit_backend(struct ctl *, json_t *(*)(json_t *, char **), char **, GError **);
static void print_result(
    const struct ctl *, const char *, struct str, const char *, uint64_t);

/* Prints the result of a change. */
static void
print_result(const struct ctl *c, const char *kind, struct str name,
    const char *result, uint64_t version)
{
	if (c->json)
		printf("{\"key\":\"%s/%.*s\",\"result\":\"%s\","
		       "\"version\":%llu}\n",
		    kind, STR_ARG(name), result, (unsigned long long)version);
	else
		printf("%s/%.*s %s, version %llu\n", kind, STR_ARG(name),
		    result, (unsigned long long)version);
}

/* Appends one table of a file to the items; false if it is not valid. */
static bool
read_item(struct doc *doc, enum obj_kind kind, json_t *table, GArray *items,
    GError **err)
{
	struct item item = {.kind = kind};
	json_t *name = json_object_get(table, "name");
	struct obj *obj;

	if (!json_is_string(name))
		return err_set(err, ERR_OBJECT, "%s: a %s has no name",
		    doc->file, obj_kind_name(kind));
	item.name =
	    str_dup(str_n(json_string_value(name), json_string_length(name)));
	json_object_del(table, "name");
	item.spec = table;
	obj = obj_read(kind, item.name, table, doc, err);
	obj_free(obj);
	g_array_append_val(items, item);
	return obj != NULL;
}

/* Reads and checks all objects of a file; false if any is not valid. */
static bool
read_items(struct doc *doc, GArray *items, GError **err)
{
	json_t *list, *table;
	enum obj_kind kind;
	const char *key;
	size_t i;

	json_object_foreach (doc->root, key, list) {
		if (!obj_kind_by_name(str_c(key), &kind) ||
		    !json_is_array(list))
			return err_set(err, ERR_OBJECT,
			    "%s:%d: %s: expected [[backend]], [[service]] or "
			    "[[rule]]",
			    doc->file, doc_line(doc, doc->root, key), key);
		json_array_foreach (list, i, table) {
			if (!read_item(doc, kind, table, items, err))
				return false;
		}
	}
	return true;
}

/* Reads and checks all files, and only then calls fn for each object. */
static bool
for_each_item(struct ctl *c, item_fn *fn, GError **err)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct item));
	GPtrArray *docs =
	    g_ptr_array_new_with_free_func((GDestroyNotify)doc_free);
	struct doc *doc;
	bool ok = true;
	int i;
	guint j;

	if (c->nargs == 0)
		ok = err_set(err, ERR_USAGE, "expected a file");
	for (i = 0; ok && i < c->nargs; i++) {
		doc = doc_load(c->args[i], err);
		if (doc != NULL)
			g_ptr_array_add(docs, doc);
		ok = doc != NULL && read_items(doc, items, err);
	}
	for (j = 0; ok && j < items->len; j++)
		ok = fn(c, &g_array_index(items, struct item, j), err);
	for (j = 0; j < items->len; j++)
		str_free(&g_array_index(items, struct item, j).name);
	g_array_free(items, TRUE);
	g_ptr_array_free(docs, TRUE);
	return ok;
}

/* Creates or changes an object, unless it has this spec already. */
static bool
apply_item(struct ctl *c, const struct item *it, GError **err)
{
	const char *kind = obj_kind_name(it->kind);
	GError *error = NULL;
	json_t *old = ctl_read(c, str_c(kind), it->name, &error);
	uint64_t version = 0;
	bool ok = error == NULL;

	if (ok && old != NULL &&
	    json_equal(json_object_get(old, "spec"), it->spec)) {
		version = (uint64_t)json_integer_value(
		    json_object_get(old, "version"));
		print_result(c, kind, it->name, "unchanged", version);
	} else if (ok) {
		ok = ctl_write(
		    c, str_c(kind), it->name, old, it->spec, &version, &error);
		if (ok)
			print_result(c, kind, it->name,
			    old == NULL ? "created" : "changed", version);
	}
	json_decref(old);
	if (error != NULL)
		g_propagate_error(err, error);
	return ok;
}

bool
ctl_apply(struct ctl *c, GError **err)
{
	return for_each_item(c, apply_item, err);
}

/*
 * Prints the fields of `spec` that are absent from `old` or differ there;
 * returns their number.
 */
static unsigned
diff_specs(const json_t *old, const json_t *spec, const char *sign)
{
	const char *key;
	json_t *value;
	unsigned n = 0;
	char *text;

	json_object_foreach ((json_t *)spec, key, value) {
		if (json_equal(json_object_get(old, key), value))
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
		printf("  %s %s = %s\n", sign, key, text);
		free(text);
		n++;
	}
	return n;
}

static bool
diff_item(struct ctl *c, const struct item *it, GError **err)
{
	const char *kind = obj_kind_name(it->kind);
	GError *error = NULL;
	json_t *old = ctl_read(c, str_c(kind), it->name, &error);
	json_t *spec = json_object_get(old, "spec");

	if (error != NULL) {
		g_propagate_error(err, error);
		return false;
	}
	if (old == NULL || !json_equal(spec, it->spec)) {
		printf("%s/%.*s\n", kind, STR_ARG(it->name));
		diff_specs(it->spec, spec, "-");
		diff_specs(spec, it->spec, "+");
	}
	json_decref(old);
	return true;
}

bool
ctl_diff(struct ctl *c, GError **err)
{
	return for_each_item(c, diff_item, err);
}

/*
 * Reads an object, changes its spec and writes it back, provided that no one
 * else has changed it in between.  `change` takes over a copy of the spec and
 * returns it, or NULL if the arguments are not valid.
 */
static bool
edit_object(struct ctl *c, enum obj_kind kind, struct str name,
    json_t *(*change)(json_t *, char **), char **args, GError **err)
{
	struct str kind_name = str_c(obj_kind_name(kind));
	GError *error = NULL;
	json_t *old = ctl_read(c, kind_name, name, &error), *spec;
	struct obj *obj = NULL;
	uint64_t version = 0;

	if (old == NULL) {
		if (error != NULL)
			g_propagate_error(err, error);
		else
			err_set(err, ERR_OBJECT, "%s/%.*s is not there",
			    kind_name.p, STR_ARG(name));
		return false;
	}
	spec = change(json_deep_copy(json_object_get(old, "spec")), args);
	if (spec == NULL)
		err_set(
		    &error, ERR_USAGE, "expected arguments like NAME=VALUE");
	else
		obj = obj_read(kind, name, spec, NULL, &error);
	if (obj != NULL &&
	    ctl_write(c, kind_name, name, old, spec, &version, &error))
		print_result(c, kind_name.p, name, "changed", version);
	obj_free(obj);
	json_decref(spec);
	json_decref(old);
	if (error == NULL)
		return true;
	g_propagate_error(err, error);
	return false;
}

static bool
edit_backend(struct ctl *c, json_t *(*change)(json_t *, char **), char **args,
    GError **err)
{
	if (c->nargs < 1)
		return err_set(err, ERR_USAGE, "expected a backend server");
	return edit_object(
	    c, OBJ_BACKEND, str_c(c->args[0]), change, args, err);
}

/* Changes labels: "key=value" sets one, "key-" removes it. */
static json_t *
change_labels(json_t *spec, char **args)
{
	json_t *labels = json_object_get(spec, "labels");
	char *equals, *arg;
	size_t n;

	if (labels == NULL) {
		labels = json_object();
		json_object_set_new(spec, "labels", labels);
	}
	for (; *args != NULL; args++) {
		arg = *args;
		n = strlen(arg);
		equals = strchr(arg, '=');
		if (equals != NULL) {
			char *key = g_strndup(arg, (size_t)(equals - arg));

			json_object_set_new(
			    labels, key, json_string(equals + 1));
			g_free(key);
		} else if (n > 1 && arg[n - 1] == '-') {
			char *key = g_strndup(arg, n - 1);

			json_object_del(labels, key);
			g_free(key);
		} else {
			json_decref(spec);
			return NULL;
		}
	}
	return spec;
}

bool
ctl_label(struct ctl *c, GError **err)
{
	if (c->nargs < 2)
		return err_set(err, ERR_USAGE,
		    "expected a backend server and NAME=VALUE or NAME-");
	return edit_backend(c, change_labels, c->args + 1, err);
}

static json_t *
set_drain(json_t *spec, char **args)
{
	(void)args;
	json_object_set_new(spec, "drain", json_true());
	return spec;
}

static json_t *
unset_drain(json_t *spec, char **args)
{
	(void)args;
	json_object_del(spec, "drain");
	return spec;
}

bool
ctl_drain(struct ctl *c, GError **err)
{
	return edit_backend(c, set_drain, NULL, err);
}

bool
ctl_undrain(struct ctl *c, GError **err)
{
	return edit_backend(c, unset_drain, NULL, err);
}

/* Evacuates a hall; repeating the command changes nothing. */
bool
ctl_evacuate(struct ctl *c, GError **err)
{
	struct item it = {.kind = OBJ_EVACUATION};
	struct obj *obj;
	bool ok;

	if (c->nargs < 1 || c->nargs > 2)
		return err_set(err, ERR_USAGE,
		    "expected a hall and optionally the reason");
	it.name = str_c(c->args[0]);
	it.spec = json_object();
	if (c->nargs > 1)
		json_object_set_new(it.spec, "why", json_string(c->args[1]));
	obj = obj_read(it.kind, it.name, it.spec, NULL, err);
	ok = obj != NULL && apply_item(c, &it, err);
	obj_free(obj);
	json_decref(it.spec);
	return ok;
}

/* Sets "field=number"; edit_object() checks the resulting object afterwards. */
static json_t *
change_limits(json_t *spec, char **args)
{
	unsigned long long v;
	char *equals, *key;

	for (; *args != NULL; args++) {
		equals = strchr(*args, '=');
		if (equals == NULL || !str_u64(str_c(equals + 1), &v)) {
			json_decref(spec);
			return NULL;
		}
		key = g_strndup(*args, (size_t)(equals - *args));
		json_object_set_new(spec, key, json_integer((json_int_t)v));
		g_free(key);
	}
	return spec;
}

bool
ctl_limits(struct ctl *c, GError **err)
{
	enum obj_kind kind;
	struct str name;

	if (c->nargs < 2)
		return err_set(err, ERR_USAGE,
		    "expected service/NAME or rule/NAME, and FIELD=NUMBER");
	if (!ctl_parse_key(c->args[0], &kind, &name, err))
		return false;
	return edit_object(c, kind, name, change_limits, c->args + 1, err);
}

static bool
delete_object(struct ctl *c, enum obj_kind kind, struct str name, GError **err)
{
	struct str kind_name = str_c(obj_kind_name(kind));
	GError *error = NULL;
	uint64_t version = 0;
	json_t *old;
	bool ok;

	old = ctl_read(c, kind_name, name, &error);
	if (error != NULL) {
		g_propagate_error(err, error);
		return false;
	}
	if (old == NULL)
		return err_set(err, ERR_OBJECT, "%s/%.*s is not there",
		    kind_name.p, STR_ARG(name));
	ok = ctl_write(c, kind_name, name, old, NULL, &version, err);
	if (ok)
		print_result(c, kind_name.p, name, "deleted", version);
	json_decref(old);
	return ok;
}

bool
ctl_delete(struct ctl *c, GError **err)
{
	enum obj_kind kind;
	struct str name;

	if (c->nargs != 1)
		return err_set(err, ERR_USAGE, "expected KIND/NAME");
	if (!ctl_parse_key(c->args[0], &kind, &name, err))
		return false;
	return delete_object(c, kind, name, err);
}

bool
ctl_return(struct ctl *c, GError **err)
{
	if (c->nargs != 1)
		return err_set(err, ERR_USAGE, "expected a hall");
	return delete_object(c, OBJ_EVACUATION, str_c(c->args[0]), err);
}
