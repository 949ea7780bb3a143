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

#include "pick.h"

/* Lookup of policies by name. */

static const struct pick_policy *const policies[] = {
    &pick_fern, &pick_pace, &pick_naive};

const struct pick_policy *
pick_by_name(struct str name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(policies); i++)
		if (str_eq(str_c(policies[i]->name), name))
			return policies[i];
	return NULL;
}
