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
#include "doc.h"
#include "err.h"
#include "set.h"

bool
set_load(const char *file, const struct field *tab, size_t n, void *out,
    GError **err)
{
	struct doc *doc = doc_load(file, err);
	bool ok;

	if (doc == NULL)
		return false;
	ok = field_read(tab, n, doc->root, doc, file, ERR_SETTINGS, out, err);
	doc_free(doc);
	return ok;
}
