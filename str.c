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

#include "str.h"

enum { DISTANCE_MAX = 64 };

struct str
str_dup(struct str s)
{
	char *p = g_malloc(s.n + 1);

	if (s.n > 0)
		memcpy(p, s.p, s.n);
	p[s.n] = '\0';
	return str_n(p, s.n);
}

void
str_free(struct str *s)
{
	g_free((char *)s->p);
	s->p = NULL;
	s->n = 0;
}

bool
str_u64(struct str s, unsigned long long *out)
{
	unsigned long long v = 0;
	size_t i;

	if (s.n == 0 || s.n > 18)
		return false;
	for (i = 0; i < s.n; i++) {
		if (s.p[i] < '0' || s.p[i] > '9')
			return false;
		v = v * 10 + (unsigned long long)(s.p[i] - '0');
	}
	*out = v;
	return true;
}

bool
str_is_token(struct str s)
{
	size_t i;

	for (i = 0; i < s.n; i++)
		if (!g_ascii_isalnum(s.p[i]) &&
		    (s.p[i] == '\0' ||
			strchr("!#$%&'*+-.^_`|~", s.p[i]) == NULL))
			return false;
	return true;
}

size_t
str_distance(struct str a, struct str b)
{
	size_t row[DISTANCE_MAX + 1], i, j, diag, above;

	if (a.n > DISTANCE_MAX || b.n > DISTANCE_MAX)
		return DISTANCE_MAX;
	for (j = 0; j <= b.n; j++)
		row[j] = j;
	for (i = 1; i <= a.n; i++) {
		diag = row[0];
		row[0] = i;
		for (j = 1; j <= b.n; j++) {
			above = row[j];
			row[j] = diag + (a.p[i - 1] != b.p[j - 1]);
			row[j] = MIN(row[j], above + 1);
			row[j] = MIN(row[j], row[j - 1] + 1);
			diag = above;
		}
	}
	return row[b.n];
}
