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
#ifndef SEL_H
#define SEL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "str.h"

/*
 * Label selectors: terms joined by commas, all of which must hold.
 *
 *	key		the label is there
 *	!key		the label is not there
 *	key=value	also written key==value
 *	key!=value	true as well where the label is not there
 *	key in (a,b)
 *	key notin (a,b)	true as well where the label is not there
 *
 * The empty selector matches nothing, so that a slip selects no one.
 */
struct sel;

/* NULL and ERR_SELECTOR, with the column, on failure. */
struct sel *sel_parse(struct str, GError **);
void sel_free(struct sel *);

/* Does a table of label names to strings match? */
bool sel_match(const struct sel *, const json_t *labels);

#endif
