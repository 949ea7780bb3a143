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
#ifndef ZIP_H
#define ZIP_H

#include "str.h"

/*
 * Bytes deflated at the fastest level; texts of routes and entries of backend
 * servers shrink five to tenfold.
 */

/* A copy, to be freed by str_free(); empty if there is no memory. */
struct str zip_deflate(struct str);

/*
 * The `size` bytes that were deflated, to be freed by str_free(); empty if they
 * are not that, or more than ZIP_INFLATED_MAX.
 */
struct str zip_inflate(struct str, size_t size);

enum { ZIP_INFLATED_MAX = 64 << 20 };

#endif
