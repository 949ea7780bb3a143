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
 * A TOML document as a tree of jansson values, with the line number of each
 * key.  toml++ does the parsing.
 */
struct doc {
	json_t *root; /* always an object */
	GHashTable *lines; /* line number by table and key */
	char *file; /* the file's name, for messages */
};

/*
 * Reads a file; the caller frees the document with doc_free().  Returns NULL
 * with ERR_SETTINGS if the file cannot be read or parsed.
 */
struct doc *doc_load(const char *file, GError **);

/* As doc_load(), from n bytes in memory; `name` is the file in messages. */
struct doc *doc_parse(const char *text, size_t n, const char *name, GError **);

void doc_free(struct doc *);

/*
 * Returns the line number of a key in a table, 0 if the key is not in the
 * document or doc is NULL.
 */
int doc_line(const struct doc *, const json_t *table, const char *key);

#ifdef __cplusplus
}
#endif
#endif
