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
#include <arpa/inet.h>
#include <stdio.h>

#include "err.h"
#include "field.h"

enum {
	NAME_MAX_LEN = 128,
	WEIGHT_MAX = 1000000,
	FOUND_MAX = 200 /* bytes of a value or name in an error */
};

/* What the read functions need for their error messages. */
struct read_context {
	const struct doc *doc;
	const json_t *table;
	const char *source;
	enum err_kind kind;
	GError **err;
};

typedef bool
read_fn(const struct read_context *, const struct field *, json_t *, void *);

static read_fn read_str;
static read_fn read_name;
static read_fn read_address;
static read_fn read_int;
static read_fn read_real;
static read_fn read_bool;
static read_fn read_choice;
static read_fn read_labels;
static read_fn read_addresses;
static read_fn read_weights;
static bool set_value_error(const struct read_context *, const struct field *,
    const json_t *, const char *);
static bool set_unknown_error(
    const struct read_context *, const struct field *, size_t, const char *);
static bool is_known(const struct field *, size_t, const char *);
static void set_default(const struct field *, void *);

static read_fn *const readers[] = {
    [FIELD_STR] = read_str,
    [FIELD_NAME] = read_name,
    [FIELD_ADDRESS] = read_address,
    [FIELD_INT] = read_int,
    [FIELD_REAL] = read_real,
    [FIELD_BOOL] = read_bool,
    [FIELD_CHOICE] = read_choice,
    [FIELD_LABELS] = read_labels,
    [FIELD_ADDRESSES] = read_addresses,
    [FIELD_WEIGHTS] = read_weights,
};

static void *
member(const struct field *f, void *out)
{
	return (char *)out + f->offset;
}

/*
 * Returns the start of a text, of whole characters.  Errors go into the log and
 * the box's status, and another writer's values may have any length.
 */
static char *
shorten(const char *text)
{
	const char *end = text + strlen(text);

	if (end - text > FOUND_MAX)
		end = g_utf8_find_prev_char(text, text + FOUND_MAX);
	return g_strndup(text, (gsize)(end - text));
}

/* Sets an error with file and line, the value found and what is allowed. */
static bool
set_value_error(const struct read_context *r, const struct field *f,
    const json_t *value, const char *allowed)
{
	char *dumped = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	char *found = shorten(dumped == NULL ? "" : dumped);
	int line = doc_line(r->doc, r->table, f->name);

	if (line > 0)
		err_set(r->err, r->kind, "%s:%d: %s: found %s; allowed is %s",
		    r->source, line, f->name, found, allowed);
	else
		err_set(r->err, r->kind, "%s: %s: found %s; allowed is %s",
		    r->source, f->name, found, allowed);
	g_free(found);
	free(dumped);
	return false;
}

/* Cut off at a NUL, a string would stand for another one. */
static bool
is_text(const json_t *value)
{
	return json_is_string(value) &&
	    strlen(json_string_value(value)) == json_string_length(value);
}

static bool
read_str(const struct read_context *r, const struct field *f, json_t *value,
    void *out)
{
	if (!is_text(value))
		return set_value_error(r, f, value, "a string without NUL");
	*(struct str *)member(f, out) =
	    str_dup(str_n(json_string_value(value), json_string_length(value)));
	return true;
}

static bool
read_name(const struct read_context *r, const struct field *f, json_t *value,
    void *out)
{
	if (!json_is_string(value) ||
	    !field_is_name(
		str_n(json_string_value(value), json_string_length(value))))
		return set_value_error(
		    r, f, value, "a name of letters, digits, '-', '_' and '.'");
	return read_str(r, f, value, out);
}

static bool
is_address(const json_t *value)
{
	char ip[INET6_ADDRSTRLEN];
	uint16_t port;

	return json_is_string(value) &&
	    field_parse_address(
		str_n(json_string_value(value), json_string_length(value)), ip,
		sizeof(ip), &port);
}

static bool
read_address(const struct read_context *r, const struct field *f, json_t *value,
    void *out)
{
	if (!is_address(value))
		return set_value_error(r, f, value, "an IP number and a port");
	return read_str(r, f, value, out);
}

static bool
read_int(const struct read_context *r, const struct field *f, json_t *value,
    void *out)
{
	char allowed[80];
	json_int_t v = json_integer_value(value);

	if (!json_is_integer(value) || v < f->min || v > f->max) {
		snprintf(allowed, sizeof(allowed),
		    "a whole number from %lld to %lld", (long long)f->min,
		    (long long)f->max);
		return set_value_error(r, f, value, allowed);
	}
	*(int64_t *)member(f, out) = v;
	return true;
}

static bool
read_real(const struct read_context *r, const struct field *f, json_t *value,
    void *out)
{
	char allowed[80];
	double v = json_number_value(value);

	if (!json_is_number(value) || v < (double)f->min ||
	    v > (double)f->max) {
		snprintf(allowed, sizeof(allowed), "a number from %lld to %lld",
		    (long long)f->min, (long long)f->max);
		return set_value_error(r, f, value, allowed);
	}
	*(double *)member(f, out) = v;
	return true;
}

static bool
read_bool(const struct read_context *r, const struct field *f, json_t *value,
    void *out)
{
	if (!json_is_boolean(value))
		return set_value_error(r, f, value, "true or false");
	*(bool *)member(f, out) = json_is_true(value);
	return true;
}

static bool
read_choice(const struct read_context *r, const struct field *f, json_t *value,
    void *out)
{
	const char *s = json_string_value(value);
	char *allowed;
	int i;

	for (i = 0; s != NULL && f->choices[i] != NULL; i++) {
		if (strcmp(f->choices[i], s) == 0) {
			*(int *)member(f, out) = i;
			return true;
		}
	}
	allowed = g_strjoinv(" or ", (char **)f->choices);
	set_value_error(r, f, value, allowed);
	g_free(allowed);
	return false;
}

static bool
read_labels(const struct read_context *r, const struct field *f, json_t *value,
    void *out)
{
	const char *key;
	json_t *item;

	if (!json_is_object(value))
		return set_value_error(
		    r, f, value, "a table of names to strings");
	json_object_foreach (value, key, item) {
		if (!field_is_name(str_c(key)) || !is_text(item))
			return set_value_error(
			    r, f, value, "a table of names to strings");
	}
	*(json_t **)member(f, out) = json_incref(value);
	return true;
}

static bool
read_weights(const struct read_context *r, const struct field *f, json_t *value,
    void *out)
{
	const char *key;
	json_t *item;

	if (!json_is_object(value))
		return set_value_error(
		    r, f, value, "a table of names to weights");
	json_object_foreach (value, key, item) {
		if (!field_is_name(str_c(key)) || !json_is_number(item) ||
		    json_number_value(item) < 0 ||
		    json_number_value(item) > WEIGHT_MAX)
			return set_value_error(
			    r, f, value, "a table of names to weights");
	}
	*(json_t **)member(f, out) = json_incref(value);
	return true;
}

static bool
read_addresses(const struct read_context *r, const struct field *f,
    json_t *value, void *out)
{
	json_t *item;
	size_t i;

	if (!json_is_array(value))
		return set_value_error(
		    r, f, value, "a list of IP numbers and ports");
	json_array_foreach (value, i, item) {
		if (!is_address(item))
			return set_value_error(
			    r, f, item, "an IP number and a port");
	}
	*(json_t **)member(f, out) = json_incref(value);
	return true;
}

static bool
is_known(const struct field *fields, size_t n, const char *name)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (strcmp(fields[i].name, name) == 0)
			return true;
	return false;
}

/* Sets an error for an unknown name, with the nearest known one. */
static bool
set_unknown_error(const struct read_context *r, const struct field *fields,
    size_t n, const char *name)
{
	size_t i, d, best = SIZE_MAX;
	const char *nearest = "";
	char *start = shorten(name);
	int line = doc_line(r->doc, r->table, name);

	for (i = 0; i < n; i++) {
		d = str_distance(str_c(fields[i].name), str_c(name));
		if (d < best) {
			best = d;
			nearest = fields[i].name;
		}
	}
	err_set(r->err, r->kind,
	    "%s:%d: %s: unknown; the nearest known name is %s", r->source, line,
	    start, nearest);
	g_free(start);
	return false;
}

static void
set_default(const struct field *f, void *out)
{
	switch (f->type) {
	case FIELD_STR:
	case FIELD_NAME:
	case FIELD_ADDRESS:
		*(struct str *)member(f, out) = str_dup(str_c(f->text_dflt));
		break;
	case FIELD_INT:
		*(int64_t *)member(f, out) = f->dflt;
		break;
	case FIELD_REAL:
		*(double *)member(f, out) = (double)f->dflt;
		break;
	case FIELD_BOOL:
		*(bool *)member(f, out) = f->dflt != 0;
		break;
	case FIELD_CHOICE:
		*(int *)member(f, out) = (int)f->dflt;
		break;
	case FIELD_LABELS:
	case FIELD_WEIGHTS:
		*(json_t **)member(f, out) = json_object();
		break;
	case FIELD_ADDRESSES:
		*(json_t **)member(f, out) = json_array();
		break;
	}
}

bool
field_read(const struct field *fields, size_t n, const json_t *obj,
    const struct doc *doc, const char *source, enum err_kind kind, void *out,
    GError **err)
{
	const struct read_context r = {doc, obj, source, kind, err};
	const char *key;
	json_t *value;
	size_t i;

	if (!json_is_object(obj))
		return err_set(err, kind, "%s: is not a table", source);
	json_object_foreach ((json_t *)obj, key, value) {
		if (!is_known(fields, n, key))
			return set_unknown_error(&r, fields, n, key);
	}
	for (i = 0; i < n; i++) {
		value = json_object_get(obj, fields[i].name);
		if (value == NULL && fields[i].required) {
			err_set(err, kind, "%s: %s: is missing", source,
			    fields[i].name);
			break;
		}
		if (value == NULL)
			set_default(&fields[i], out);
		else if (!readers[fields[i].type](&r, &fields[i], value, out))
			break;
	}
	if (i == n)
		return true;
	field_free(fields, i, out);
	return false;
}

void
field_free(const struct field *fields, size_t n, void *out)
{
	size_t i;

	for (i = 0; i < n; i++) {
		switch (fields[i].type) {
		case FIELD_STR:
		case FIELD_NAME:
		case FIELD_ADDRESS:
			str_free(member(&fields[i], out));
			break;
		case FIELD_LABELS:
		case FIELD_WEIGHTS:
		case FIELD_ADDRESSES:
			json_decref(*(json_t **)member(&fields[i], out));
			break;
		default:
			break;
		}
	}
}

bool
field_parse_address(struct str s, char *ip, size_t ipsz, uint16_t *port)
{
	const char *colon = memrchr(s.p, ':', s.n);
	unsigned char addr[sizeof(struct in6_addr)];
	unsigned long long v;
	struct str host, port_text;

	if (colon == NULL)
		return false;
	host = str_n(s.p, (size_t)(colon - s.p));
	port_text = str_n(colon + 1, s.n - host.n - 1);
	if (host.n >= 2 && host.p[0] == '[' && host.p[host.n - 1] == ']')
		host = str_n(host.p + 1, host.n - 2);
	if (host.n == 0 || host.n >= ipsz || !str_u64(port_text, &v) ||
	    v == 0 || v > UINT16_MAX)
		return false;
	memcpy(ip, host.p, host.n);
	ip[host.n] = '\0';
	*port = (uint16_t)v;
	return inet_pton(AF_INET, ip, addr) == 1 ||
	    inet_pton(AF_INET6, ip, addr) == 1;
}

bool
field_is_name(struct str s)
{
	size_t i;

	if (s.n == 0 || s.n > NAME_MAX_LEN)
		return false;
	for (i = 0; i < s.n; i++)
		if (!g_ascii_isalnum(s.p[i]) && s.p[i] != '-' &&
		    s.p[i] != '_' && s.p[i] != '.')
			return false;
	return true;
}
