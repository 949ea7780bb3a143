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
#include <xxhash.h>

#include "fprint.h"

/*
 * Hashes one part.  Its length goes first, so that different lists of parts
 * never give the same input to the hash.
 */
static void
hash_part(XXH3_state_t *state, struct str part)
{
	uint64_t n = part.n;

	XXH3_128bits_update(state, &n, sizeof(n));
	if (part.n > 0)
		XXH3_128bits_update(state, part.p, part.n);
}

struct fprint
fprint_compute(const struct fprint_parts *parts)
{
	XXH3_state_t *state = XXH3_createState();
	XXH128_hash_t hash;

	XXH3_128bits_reset(state);
	hash_part(state, parts->identity);
	hash_part(state, parts->method);
	hash_part(state, parts->host);
	hash_part(state, parts->path);
	hash_part(state, parts->body);
	hash = XXH3_128bits_digest(state);
	XXH3_freeState(state);
	return (struct fprint){hash.high64, hash.low64,
	    XXH3_64bits(parts->address.p, parts->address.n)};
}

bool
fprint_is_none(struct fprint f)
{
	return f.hi == 0 && f.lo == 0;
}

bool
fprint_same_request(struct fprint a, struct fprint b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

bool
fprint_eq(struct fprint a, struct fprint b)
{
	return fprint_same_request(a, b) && a.caller == b.caller;
}
