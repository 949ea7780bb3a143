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
#include <zlib.h>

#include "zip.h"

enum { LEVEL = 1 };

struct str
zip_deflate(struct str in)
{
	uLongf len = compressBound(in.n);
	Bytef *out = g_try_malloc(len);

	if (out == NULL ||
	    compress2(out, &len, (const Bytef *)in.p, in.n, LEVEL) != Z_OK) {
		g_free(out);
		return str_c(NULL);
	}
	return str_n((char *)out, len);
}

struct str
zip_inflate(struct str in, size_t size)
{
	uLongf len = size;
	Bytef *out = size > ZIP_INFLATED_MAX ? NULL : g_try_malloc(size + 1);

	if (out == NULL ||
	    uncompress(out, &len, (const Bytef *)in.p, in.n) != Z_OK ||
	    len != size) {
		g_free(out);
		return str_c(NULL);
	}
	return str_n((char *)out, len);
}
