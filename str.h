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

/* A string with a length.  The bytes need not be NUL-terminated. */
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

/* Returns a view of a NUL-terminated string; NULL gives the empty string. */
static inline struct str
str_c(const char *p)
{
	struct str s = {p, p == NULL ? 0 : strlen(p)};

	return s;
}

/* Returns a view of n bytes at p. */
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
str_has_prefix(struct str s, struct str prefix)
{
	return s.n >= prefix.n &&
	    (prefix.n == 0 || memcmp(s.p, prefix.p, prefix.n) == 0);
}

/* Copies to the heap, with a NUL after the bytes; free it with str_free(). */
struct str str_dup(struct str);

/* Frees a copy made by str_dup(), and sets the pointer and length to 0. */
void str_free(struct str *);

/*
 * Parses an unsigned decimal number of 1 to 18 digits; false if the string is
 * anything else.
 */
bool str_u64(struct str, unsigned long long *);

/* Returns whether all bytes may be part of a header's name (RFC 9110, 5.6.2).
 */
bool str_is_token(struct str);

/*
 * Returns the Levenshtein distance of two names, to suggest a similar name for
 * an unknown one; 64 if either is longer than 64 bytes.
 */
size_t str_distance(struct str, struct str);

#endif
