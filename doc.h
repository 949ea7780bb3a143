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
#ifndef DOC_H
#define DOC_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A TOML text as a tree of jansson values, with the line that each value
 * stands on.  The parser is toml++, behind this header.
 */
struct doc {
	json_t *root; /* always an object */
	GHashTable *lines; /* table and key to line number */
	char *file; /* name for messages */
};

/* Read a file.  NULL and ERR_SETTINGS if it cannot be read or parsed. */
struct doc *doc_load(const char *file, GError **);

/* Parse n bytes; name stands for the file in messages. */
struct doc *doc_parse(const char *text, size_t n, const char *name, GError **);

void doc_free(struct doc *);

/* The line a table's key stands on; 0 if it is not of this document. */
int doc_line(const struct doc *, const json_t *table, const char *key);

#ifdef __cplusplus
}
#endif
#endif
