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
set_load(const char *file, const char *section, const struct field *fields,
    size_t n, void *out, GError **err)
{
	struct doc *doc = doc_load(file, err);
	json_t *values;
	bool ok;

	if (doc == NULL)
		return false;
	values =
	    section == NULL ? doc->root : json_object_get(doc->root, section);
	if (values == NULL)
		ok = err_set(err, ERR_SETTINGS, "%s: [%s]: is missing%s", file,
		    section,
		    json_object_size(doc->root) == 0
			? "; the file has no settings"
			: "");
	else
		ok = field_read(
		    fields, n, values, doc, file, ERR_SETTINGS, out, err);
	doc_free(doc);
	return ok;
}
