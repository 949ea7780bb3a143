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
#ifndef STR_H
#define STR_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/* A length-counted string.  The bytes are not NUL-terminated. */
struct str {
	const char *p;
	size_t n;
};

/* A string constant as a struct str initialiser. */
#define STR_LIT(s)                                                             \
	(struct str)                                                           \
	{                                                                      \
		.p = (s), .n = sizeof(s) - 1                                   \
	}

/* Printf helpers: printf("%.*s", STR_ARG(s)). */
#define STR_ARG(s) (int)(s).n, (s).p

/* View a NUL-terminated string; NULL gives the empty string. */
static inline struct str
str_c(const char *p)
{
	struct str s = {p, p == NULL ? 0 : strlen(p)};

	return s;
}

/* View n bytes at p. */
static inline struct str
str_n(const char *p, size_t n)
{
	struct str s = {p, n};

	return s;
}

static inline bool
str_eq(struct str a, struct str b)
{
	return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

static inline bool
str_starts(struct str s, struct str head)
{
	return s.n >= head.n &&
	    (head.n == 0 || memcmp(s.p, head.p, head.n) == 0);
}

/* Copy to the heap; the copy carries a NUL behind its bytes as well. */
struct str str_dup(struct str);

/* Free a copy made by str_dup() and clear the view. */
void str_free(struct str *);

/* Parse a whole decimal number, without sign; false if it is none. */
bool str_u64(struct str, unsigned long long *);

/* The number of edits between two names, for "did you mean". */
size_t str_distance(struct str, struct str);

#endif
