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
 * Label selectors: terms joined by commas, all of which must match.
 *
 *	key		the label exists
 *	!key		the label does not exist
 *	key=value	also written key==value
 *	key!=value	also matches if the label does not exist
 *	key in (a,b)
 *	key notin (a,b)	also matches if the label does not exist
 *
 * The empty selector matches nothing, so that one left empty by mistake does
 * not select every server.
 */
struct sel;

/*
 * Parses a selector; the caller frees it with sel_free().  Returns NULL with
 * ERR_SELECTOR, which names the column, on failure.
 */
struct sel *sel_parse(struct str, GError **);
void sel_free(struct sel *);

/* Returns whether an object of label names and string values matches. */
bool sel_match(const struct sel *, const json_t *labels);

#endif
