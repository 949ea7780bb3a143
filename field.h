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
#ifndef FIELD_H
#define FIELD_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "doc.h"
#include "err.h"
#include "str.h"

/* The types that a settings key or an object's field may have. */
enum field_type {
	FIELD_STR, /* struct str, a heap copy */
	FIELD_NAME, /* struct str: letters, digits, '-', '_', '.' */
	FIELD_ADDRESS, /* struct str: an IP number and a port */
	FIELD_INT, /* int64_t within min and max */
	FIELD_REAL, /* double within min and max */
	FIELD_BOOL, /* bool */
	FIELD_WORD, /* int: index into words */
	FIELD_LABELS, /* json_t *: an object of strings; a reference */
	FIELD_ADDRESSES, /* json_t *: an array of addresses; a reference */
	FIELD_WEIGHTS, /* json_t *: an object of weights; a reference */
};

/* One settings key or object field, with where its value goes. */
struct field {
	const char *name;
	enum field_type type;
	size_t offset; /* of the member in the struct that is filled */
	bool required;
	int64_t dflt;
	int64_t min, max;
	const char *const *words; /* FIELD_WORD: NULL-terminated */
	const char *text_dflt; /* strings: the default */
};

/*
 * Fill a struct from an object by a table.  Unknown names are errors that
 * name the nearest known one.  On failure nothing is kept.  `where` is the
 * name that messages begin with; `doc` may be NULL and gives line numbers.
 */
bool field_read(const struct field *, size_t, const json_t *,
    const struct doc *, const char *where, enum err_kind, void *, GError **);

/* Free what field_read() put into a struct. */
void field_free(const struct field *, size_t, void *);

/* Split "127.0.0.1:80" or "[::1]:80"; false if it is not IP and port. */
bool field_address(struct str, char *ip, size_t ipsz, uint16_t *port);

/* True for a name of letters, digits, '-', '_' and '.', at most 128. */
bool field_is_name(struct str);

#endif
