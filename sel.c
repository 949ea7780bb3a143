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

enum op { OP_THERE, OP_NOT_THERE, OP_IN, OP_NOT_IN };

struct term {
	enum op op;
	struct str key;
	GPtrArray *values; /* struct str * of heap copies */
};

struct sel {
	GPtrArray *terms;
};

/* A parser's place in the text. */
struct cursor {
	struct str text;
	size_t at;
	GError **err;
};

static struct term *parse_term(struct cursor *);
static bool parse_op(struct cursor *, struct term *);
static bool parse_list(struct cursor *, struct term *);
static bool parse_word(struct cursor *, struct str *);
static bool take(struct cursor *, const char *);
static bool bad(const struct cursor *, const char *);
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
bad(const struct cursor *c, const char *wanted)
{
	return err_set(c->err, ERR_SELECTOR,
	    "selector \"%.*s\": column %zu: %s is wanted", STR_ARG(c->text),
	    c->at + 1, wanted);
}

static void
skip_space(struct cursor *c)
{
	while (c->at < c->text.n &&
	    (c->text.p[c->at] == ' ' || c->text.p[c->at] == '\t'))
		c->at++;
}

/* Take a symbol if it stands here. */
static bool
take(struct cursor *c, const char *symbol)
{
	struct str rest;

	skip_space(c);
	rest = str_n(c->text.p + c->at, c->text.n - c->at);
	if (!str_starts(rest, str_c(symbol)))
		return false;
	c->at += strlen(symbol);
	return true;
}

static bool
parse_word(struct cursor *c, struct str *word)
{
	size_t from;

	skip_space(c);
	from = c->at;
	while (c->at < c->text.n && field_is_name(str_n(c->text.p + c->at, 1)))
		c->at++;
	*word = str_n(c->text.p + from, c->at - from);
	return field_is_name(*word);
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

	if (!take(c, "("))
		return bad(c, "'('");
	do {
		if (!parse_word(c, &v))
			return bad(c, "a value");
		add_value(t, v);
	} while (take(c, ","));
	return take(c, ")") || bad(c, "',' or ')'");
}

static bool
parse_op(struct cursor *c, struct term *t)
{
	static const struct {
		const char *symbol;
		enum op op;
	} ops[] = {{"!=", OP_NOT_IN}, {"==", OP_IN}, {"=", OP_IN}};
	struct str word;
	size_t i, from;

	for (i = 0; i < G_N_ELEMENTS(ops); i++) {
		if (!take(c, ops[i].symbol))
			continue;
		t->op = ops[i].op;
		if (!parse_word(c, &word))
			return bad(c, "a value");
		add_value(t, word);
		return true;
	}
	from = c->at;
	if (!parse_word(c, &word)) {
		t->op = OP_THERE;
		return true;
	}
	if (str_eq(word, str_c("in")))
		t->op = OP_IN;
	else if (str_eq(word, str_c("notin")))
		t->op = OP_NOT_IN;
	else {
		c->at = from;
		return bad(c, "'=', '!=', 'in', 'notin' or ','");
	}
	return parse_list(c, t);
}

static struct term *
parse_term(struct cursor *c)
{
	struct term *t = g_new0(struct term, 1);
	bool not_there = take(c, "!"), ok;
	struct str key;

	t->values = g_ptr_array_new_with_free_func(str_destroy);
	if (!parse_word(c, &key)) {
		bad(c, "a label's name");
		term_destroy(t);
		return NULL;
	}
	t->key = str_dup(key);
	t->op = OP_NOT_THERE;
	ok = not_there || parse_op(c, t);
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
	if (c.at == text.n)
		return s;
	do {
		t = parse_term(&c);
		if (t == NULL)
			break;
		g_ptr_array_add(s->terms, t);
	} while (take(&c, ","));
	skip_space(&c);
	if (t != NULL && c.at == text.n)
		return s;
	if (t != NULL)
		bad(&c, "','");
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
	struct str have;
	guint i;

	if (t->op == OP_THERE)
		return label != NULL;
	if (t->op == OP_NOT_THERE)
		return label == NULL;
	if (label == NULL)
		return t->op == OP_NOT_IN;
	have = str_n(json_string_value(label), json_string_length(label));
	for (i = 0; i < t->values->len; i++) {
		v = g_ptr_array_index(t->values, i);
		if (str_eq(*v, have))
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
