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
#ifndef SET_H
#define SET_H

#include <glib.h>
#include <stdbool.h>

#include "field.h"

/*
 * Loads a settings file into a struct according to a table of its keys.
 * `section` is the TOML table to read, NULL for the whole file.  Returns false
 * with ERR_SETTINGS on failure; its message names the file, line and key, the
 * value found and what is allowed.  field_free() frees the values.
 */
bool set_load(const char *file, const char *section, const struct field *,
    size_t, void *, GError **);

/* The version that the programs print. */
#define SET_VERSION "0.1.0"

#endif
