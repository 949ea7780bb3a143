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
#include "err.h"
#include "field.h"
#include "sel.h"

enum op { OP_EXISTS, OP_NOT_EXISTS, OP_IN, OP_NOT_IN };

struct term {
	enum op op;
	struct str key;
	GPtrArray *values; /* struct str * of heap copies */
};

struct sel {
	GPtrArray *terms;
};

/* The text under parsing, the position in it, and where errors go. */
struct cursor {
	struct str text;
	size_t pos;
	GError **err;
};

static struct term *parse_term(struct cursor *);
static bool parse_op(struct cursor *, struct term *);
static bool parse_list(struct cursor *, struct term *);
static bool parse_name(struct cursor *, struct str *);
static bool skip_symbol(struct cursor *, const char *);
static bool syntax_error(const struct cursor *, const char *);
static bool term_match(const struct term *, const json_t *);

static void
str_destroy(void *p)
{
	str_free(p);
	g_free(p);
}

static void
term_destroy(void *p)
{
	struct term *t = p;

	str_free(&t->key);
	g_ptr_array_free(t->values, TRUE);
	g_free(t);
}

static bool
syntax_error(const struct cursor *c, const char *expected)
{
	return err_set(c->err, ERR_SELECTOR,
	    "selector \"%.*s\": column %zu: expected %s", STR_ARG(c->text),
	    c->pos + 1, expected);
}

static void
skip_space(struct cursor *c)
{
	while (c->pos < c->text.n &&
	    (c->text.p[c->pos] == ' ' || c->text.p[c->pos] == '\t'))
		c->pos++;
}

/* Skips white space, and a symbol if it comes next; returns whether it did. */
static bool
skip_symbol(struct cursor *c, const char *symbol)
{
	struct str remaining;

	skip_space(c);
	remaining = str_n(c->text.p + c->pos, c->text.n - c->pos);
	if (!str_has_prefix(remaining, str_c(symbol)))
		return false;
	c->pos += strlen(symbol);
	return true;
}

/* Parses a label name, a value or an operator; false if none comes next. */
static bool
parse_name(struct cursor *c, struct str *name)
{
	size_t start;

	skip_space(c);
	start = c->pos;
	while (
	    c->pos < c->text.n && field_is_name(str_n(c->text.p + c->pos, 1)))
		c->pos++;
	*name = str_n(c->text.p + start, c->pos - start);
	return field_is_name(*name);
}

static void
add_value(struct term *t, struct str v)
{
	struct str *copy = g_new(struct str, 1);

	*copy = str_dup(v);
	g_ptr_array_add(t->values, copy);
}

static bool
parse_list(struct cursor *c, struct term *t)
{
	struct str v;

	if (!skip_symbol(c, "("))
		return syntax_error(c, "'('");
	do {
		if (!parse_name(c, &v))
			return syntax_error(c, "a value");
		add_value(t, v);
	} while (skip_symbol(c, ","));
	return skip_symbol(c, ")") || syntax_error(c, "',' or ')'");
}

static bool
parse_op(struct cursor *c, struct term *t)
{
	static const struct {
		const char *symbol;
		enum op op;
	} ops[] = {{"!=", OP_NOT_IN}, {"==", OP_IN}, {"=", OP_IN}};
	struct str name;
	size_t i, start;

	for (i = 0; i < G_N_ELEMENTS(ops); i++) {
		if (!skip_symbol(c, ops[i].symbol))
			continue;
		t->op = ops[i].op;
		if (!parse_name(c, &name))
			return syntax_error(c, "a value");
		add_value(t, name);
		return true;
	}
	start = c->pos;
	if (!parse_name(c, &name)) {
		t->op = OP_EXISTS;
		return true;
	}
	if (str_eq(name, str_c("in")))
		t->op = OP_IN;
	else if (str_eq(name, str_c("notin")))
		t->op = OP_NOT_IN;
	else {
		c->pos = start;
		return syntax_error(c, "'=', '!=', 'in', 'notin' or ','");
	}
	return parse_list(c, t);
}

static struct term *
parse_term(struct cursor *c)
{
	struct term *t = g_new0(struct term, 1);
	bool negated = skip_symbol(c, "!"), ok;
	struct str key;

	t->values = g_ptr_array_new_with_free_func(str_destroy);
	if (!parse_name(c, &key)) {
		syntax_error(c, "a label's name");
		term_destroy(t);
		return NULL;
	}
	t->key = str_dup(key);
	t->op = OP_NOT_EXISTS;
	ok = negated || parse_op(c, t);
	if (ok)
		return t;
	term_destroy(t);
	return NULL;
}

struct sel *
sel_parse(struct str text, GError **err)
{
	struct cursor c = {text, 0, err};
	struct sel *s = g_new0(struct sel, 1);
	struct term *t;

	s->terms = g_ptr_array_new_with_free_func(term_destroy);
	skip_space(&c);
	if (c.pos == text.n)
		return s;
	do {
		t = parse_term(&c);
		if (t == NULL)
			break;
		g_ptr_array_add(s->terms, t);
	} while (skip_symbol(&c, ","));
	skip_space(&c);
	if (t != NULL && c.pos == text.n)
		return s;
	if (t != NULL)
		syntax_error(&c, "','");
	sel_free(s);
	return NULL;
}

void
sel_free(struct sel *s)
{
	if (s == NULL)
		return;
	g_ptr_array_free(s->terms, TRUE);
	g_free(s);
}

static bool
term_match(const struct term *t, const json_t *labels)
{
	const json_t *label = json_object_get(labels, t->key.p);
	const struct str *v;
	struct str actual;
	guint i;

	if (t->op == OP_EXISTS)
		return label != NULL;
	if (t->op == OP_NOT_EXISTS)
		return label == NULL;
	if (label == NULL)
		return t->op == OP_NOT_IN;
	actual = str_n(json_string_value(label), json_string_length(label));
	for (i = 0; i < t->values->len; i++) {
		v = g_ptr_array_index(t->values, i);
		if (str_eq(*v, actual))
			return t->op == OP_IN;
	}
	return t->op == OP_NOT_IN;
}

bool
sel_match(const struct sel *s, const json_t *labels)
{
	guint i;

	for (i = 0; i < s->terms->len; i++)
		if (!term_match(g_ptr_array_index(s->terms, i), labels))
			return false;
	return s->terms->len > 0;
}
