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
#ifndef JSON_MEND_H
#define JSON_MEND_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "str.h"

/*
 * Mends JSON texts with single values that the parser refuses: it would refuse
 * the whole text for one of them, and with it all that others wrote.
 */
enum {
	JSON_MEND_DEPTH_MAX = 64, /* levels of objects and arrays */
	JSON_MENDS_KEPT = 4
};

/* A replaced value: why, and where it was, as in "items/3/spec/slots". */
struct json_mend {
	const char *why;
	char path[96];
};

struct json_mends {
	struct json_mend first[JSON_MENDS_KEPT];
	size_t count; /* of all, also of those that were not kept */
};

/* Returns whether a text may be nested deeper than JSON_MEND_DEPTH_MAX. */
bool json_mend_is_deep(struct str);

/*
 * Returns a copy of a text of valid UTF-8 in which a number that does not fit
 * and a word that JSON lacks are an array of an array of their text, a value
 * that is nested too deeply is the string "too deep", and what is no character
 * in a string is the replacement character.  No known field is an array of
 * arrays: it gets a wrong type, never a default or another text, and is
 * rejected with its object.  Other errors stay as they are.
 */
GString *json_mend(struct str, struct json_mends *);

#endif
