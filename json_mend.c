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
#include <errno.h>
#include <math.h>
#include <string.h>

#include "json_mend.h"

enum {
	WORD_KEPT = 64, /* bytes of a number or word that becomes a string */
	ESCAPE_LEN = 6 /* of a character's number, as in \u00e4 */
};

#define REPLACEMENT "\\ufffd"

/* An object or array around the current position. */
struct level {
	bool is_object, expects_key;
	size_t index; /* of the current item of an array */
	struct str key; /* of the current member, as it is written */
};

struct scan {
	const char *p, *end;
	GString *out;
	struct level levels[JSON_MEND_DEPTH_MAX];
	unsigned depth;
	struct json_mends *mends;
};

bool
json_mend_is_deep(struct str text)
{
	const char *p = text.p, *end = text.p + text.n;
	size_t depth = 0, deepest = 0;
	bool in_string = false;

	for (; p < end; p++) {
		if (in_string && *p == '\\') {
			p++;
		} else if (*p == '"') {
			in_string = !in_string;
		} else if (!in_string && (*p == '[' || *p == '{')) {
			depth++;
			deepest = MAX(deepest, depth);
		} else if (!in_string && (*p == ']' || *p == '}') &&
		    depth > 0) {
			depth--;
		}
	}
	return deepest > JSON_MEND_DEPTH_MAX;
}

/* Notes that the current value is replaced, with its path. */
static void
note(struct scan *s, const char *why)
{
	struct json_mend *mend;
	const struct level *l;
	size_t n = 0;
	unsigned i;

	if (s->mends->count++ >= JSON_MENDS_KEPT)
		return;
	mend = &s->mends->first[s->mends->count - 1];
	mend->why = why;
	mend->path[0] = '\0';
	for (i = 0; i < s->depth && n < sizeof(mend->path); i++) {
		l = &s->levels[i];
		if (l->is_object)
			n += (size_t)g_snprintf(mend->path + n,
			    sizeof(mend->path) - n, "%s%.*s", i > 0 ? "/" : "",
			    (int)MIN(l->key.n, WORD_KEPT),
			    l->key.p == NULL ? "" : l->key.p);
		else
			n += (size_t)g_snprintf(mend->path + n,
			    sizeof(mend->path) - n, "%s%zu", i > 0 ? "/" : "",
			    l->index);
	}
}

/* Replaces a part of a string, of n bytes at the current position. */
static void
replace_part(struct scan *s, size_t n, const char *why)
{
	g_string_append(s->out, REPLACEMENT);
	s->p += MIN(n, (size_t)(s->end - s->p));
	note(s, why);
}

/* Returns the number of an escaped character, or -1 if it is malformed. */
static int
escaped_char(const char *p, const char *end)
{
	int value = 0, i;

	if (end - p < ESCAPE_LEN || p[0] != '\\' || p[1] != 'u')
		return -1;
	for (i = 2; i < ESCAPE_LEN; i++) {
		if (!g_ascii_isxdigit(p[i]))
			return -1;
		value = value * 16 + g_ascii_xdigit_value(p[i]);
	}
	return value;
}

static void
copy(struct scan *s, size_t n)
{
	g_string_append_len(s->out, s->p, (gssize)n);
	s->p += n;
}

/* The parser takes no NUL in the name of a member. */
static void
scan_char_number(struct scan *s, bool is_key)
{
	int c = escaped_char(s->p, s->end), second;

	if (c < 0) {
		replace_part(s, 2, "a malformed escape in a string");
	} else if (c == 0 && is_key) {
		replace_part(s, ESCAPE_LEN, "a NUL in a name");
	} else if (c < 0xd800 || c > 0xdfff) {
		copy(s, ESCAPE_LEN);
	} else {
		second = escaped_char(s->p + ESCAPE_LEN, s->end);
		if (c < 0xdc00 && second >= 0xdc00 && second <= 0xdfff)
			copy(s, 2 * (size_t)ESCAPE_LEN);
		else
			replace_part(s, ESCAPE_LEN, "half a surrogate pair");
	}
}

static void
scan_escape(struct scan *s, bool is_key)
{
	char c = s->end - s->p < 2 ? '\0' : s->p[1];

	if (c == 'u')
		scan_char_number(s, is_key);
	else if (c != '\0' && strchr("\"\\/bfnrt", c) != NULL)
		copy(s, 2);
	else
		replace_part(s, 2, "a malformed escape in a string");
}

static void
scan_string(struct scan *s)
{
	struct level *l = s->depth > 0 ? &s->levels[s->depth - 1] : NULL;
	bool is_key = l != NULL && l->is_object && l->expects_key;
	const char *start = s->p + 1;

	copy(s, 1);
	while (s->p < s->end && *s->p != '"') {
		if (*s->p == '\\')
			scan_escape(s, is_key);
		else if ((unsigned char)*s->p < ' ')
			replace_part(s, 1, "a control character in a string");
		else
			copy(s, 1);
	}
	if (is_key)
		l->key = str_n(start, (size_t)(s->p - start));
	if (s->p < s->end)
		copy(s, 1);
}

/* Skips an object or array, to the bracket that closes it. */
static void
skip_nested(struct scan *s)
{
	size_t depth = 0;
	bool in_string = false;

	for (; s->p < s->end; s->p++) {
		if (in_string && *s->p == '\\') {
			if (++s->p == s->end)
				return;
		} else if (*s->p == '"') {
			in_string = !in_string;
		} else if (!in_string && (*s->p == '[' || *s->p == '{')) {
			depth++;
		} else if (!in_string && (*s->p == ']' || *s->p == '}') &&
		    --depth == 0) {
			s->p++;
			return;
		}
	}
}

static void
scan_open(struct scan *s)
{
	struct level *l;

	if (s->depth == JSON_MEND_DEPTH_MAX) {
		note(s, "nested too deeply");
		skip_nested(s);
		g_string_append(s->out, "\"too deep\"");
		return;
	}
	l = &s->levels[s->depth++];
	memset(l, 0, sizeof(*l));
	l->is_object = l->expects_key = *s->p == '{';
	copy(s, 1);
}

static void
scan_separator(struct scan *s)
{
	struct level *l = s->depth > 0 ? &s->levels[s->depth - 1] : NULL;

	if (l != NULL && *s->p == ',') {
		l->index++;
		l->expects_key = l->is_object;
	} else if (l != NULL && *s->p == ':') {
		l->expects_key = false;
	} else if ((*s->p == ']' || *s->p == '}') && s->depth > 0) {
		s->depth--;
	}
	copy(s, 1);
}

static const char *
skip_digits(const char *p, const char *end)
{
	while (p < end && g_ascii_isdigit(*p))
		p++;
	return p;
}

/* Returns whether a text is a number as JSON writes it. */
static bool
is_number(struct str text, bool *is_real)
{
	const char *p = text.p, *end = text.p + text.n, *start;

	if (p < end && *p == '-')
		p++;
	start = p;
	p = skip_digits(p, end);
	if (p == start || (*start == '0' && p - start > 1))
		return false;
	*is_real = p < end;
	if (p < end && *p == '.') {
		start = ++p;
		p = skip_digits(p, end);
		if (p == start)
			return false;
	}
	if (p < end && (*p == 'e' || *p == 'E')) {
		p++;
		if (p < end && (*p == '+' || *p == '-'))
			p++;
		start = p;
		p = skip_digits(p, end);
		if (p == start)
			return false;
	}
	return p == end;
}

/* Returns whether a number fits into the parser's types. */
static bool
is_in_range(struct str text, bool is_real)
{
	char *number = g_strndup(text.p, text.n);
	double real = is_real ? g_ascii_strtod(number, NULL) : 0;

	errno = 0;
	if (!is_real)
		(void)g_ascii_strtoll(number, NULL, 10);
	g_free(number);
	return isfinite(real) && errno != ERANGE;
}

/* Returns NULL if a text is a word or number that the parser accepts. */
static const char *
word_fault(struct str text)
{
	bool is_real;

	if (str_eq(text, STR_LIT("true")) || str_eq(text, STR_LIT("false")) ||
	    str_eq(text, STR_LIT("null")))
		return NULL;
	if (!is_number(text, &is_real))
		return "neither a number nor a word of JSON";
	return is_in_range(text, is_real) ? NULL : "a number out of range";
}

static void
append_as_string(GString *out, struct str text)
{
	size_t i;

	g_string_append_c(out, '"');
	for (i = 0; i < MIN(text.n, WORD_KEPT); i++) {
		if (g_ascii_isgraph(text.p[i]) && text.p[i] != '\\')
			g_string_append_c(out, text.p[i]);
		else
			g_string_append_c(out, '?');
	}
	g_string_append_c(out, '"');
}

/* What stands outside of all objects and arrays stays as it is. */
static void
scan_word(struct scan *s)
{
	const struct level *l = s->depth > 0 ? &s->levels[s->depth - 1] : NULL;
	const char *start = s->p, *why = NULL;
	struct str text;

	while (s->p < s->end && *s->p != '\0' &&
	    strchr(" \t\r\n,:[]{}\"", *s->p) == NULL)
		s->p++;
	if (s->p == start)
		s->p++;
	text = str_n(start, (size_t)(s->p - start));
	if (l != NULL)
		why = word_fault(text);
	if (why == NULL) {
		g_string_append_len(s->out, text.p, (gssize)text.n);
		return;
	}
	g_string_append(s->out, l->expects_key ? "" : "[[");
	append_as_string(s->out, text);
	g_string_append(s->out, l->expects_key ? "" : "]]");
	note(s, why);
}

GString *
json_mend(struct str text, struct json_mends *mends)
{
	struct scan s = {.p = text.p,
	    .end = text.p + text.n,
	    .out = g_string_sized_new(text.n + 1),
	    .mends = mends};

	memset(mends, 0, sizeof(*mends));
	while (s.p < s.end) {
		if (*s.p == '"')
			scan_string(&s);
		else if (*s.p == '{' || *s.p == '[')
			scan_open(&s);
		else if (*s.p != '\0' && strchr(",:]}", *s.p) != NULL)
			scan_separator(&s);
		else if (*s.p != '\0' && strchr(" \t\r\n", *s.p) != NULL)
			copy(&s, 1);
		else
			scan_word(&s);
	}
	return s.out;
}
