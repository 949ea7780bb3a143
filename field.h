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

/* The types of a settings key or an object's field, with the C type. */
enum field_type {
	FIELD_STR, /* struct str, a heap copy */
	FIELD_NAME, /* struct str: letters, digits, '-', '_', '.' */
	FIELD_ADDRESS, /* struct str: an IP address and a port */
	FIELD_INT, /* int64_t within min and max */
	FIELD_REAL, /* double within min and max */
	FIELD_BOOL, /* bool */
	FIELD_CHOICE, /* int: an index into choices */
	FIELD_LABELS, /* json_t *, referenced: an object of strings */
	FIELD_ADDRESSES, /* json_t *, referenced: an array of addresses */
	FIELD_WEIGHTS, /* json_t *, referenced: an object of numbers >= 0 */
};

/* One settings key or object field, and the member that holds its value. */
struct field {
	const char *name;
	enum field_type type;
	size_t offset; /* of the member, in bytes */
	bool required; /* an error if absent; otherwise the default is used */
	int64_t dflt; /* the default of numbers, booleans and choices */
	int64_t min, max; /* FIELD_INT, FIELD_REAL: inclusive bounds */
	const char *const *choices; /* FIELD_CHOICE: NULL-terminated */
	const char *text_dflt; /* the default of strings */
};

/*
 * Fills a struct from an object according to a table of fields.  An unknown
 * name is an error, whose message suggests the nearest known one.  On failure
 * returns false with an error of the given kind, and frees all that was read.
 * Messages begin with `source`; `doc` gives line numbers and may be NULL.
 */
bool field_read(const struct field *, size_t, const json_t *,
    const struct doc *, const char *source, enum err_kind, void *, GError **);

/* Frees the values that field_read() stored in a struct. */
void field_free(const struct field *, size_t, void *);

/*
 * Splits "127.0.0.1:80" or "[::1]:80" into a NUL-terminated IP address and a
 * port.  Returns false if it is no IP address with a port from 1 to 65535.
 */
bool field_parse_address(struct str, char *ip, size_t ipsz, uint16_t *port);

/* Returns whether it is 1 to 128 letters, digits, '-', '_' and '.'. */
bool field_is_name(struct str);

#endif
