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
#ifndef FPRINT_H
#define FPRINT_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/*
 * A fingerprint identifies a request that is sent again.  Two requests are the
 * same to a backend server if the method, host, path, query, body and the
 * caller's identity in the request are equal.  The address that a request comes
 * from is not visible to backend servers and is hashed separately.  The request
 * id and the deadline are not included, as they differ each time.
 */
struct fprint {
	uint64_t hi, lo; /* 128-bit hash of what backend servers see */
	uint64_t caller; /* hash of the address that it comes from */
};

/* The parts of a request that its fingerprint is computed from. */
struct fprint_parts {
	struct str address; /* of the caller */
	struct str identity; /* of the caller, in the request; may be empty */
	struct str method;
	struct str host;
	struct str path; /* with its query */
	struct str body;
};

/* Returns the fingerprint of a request. */
struct fprint fprint_compute(const struct fprint_parts *);

/* Returns whether it is unset, with hi and lo 0: not known for the request. */
bool fprint_is_none(struct fprint);

/* Returns whether it is the same request from the same caller address. */
bool fprint_eq(struct fprint, struct fprint);

/* Returns whether it is the same request, from whatever address. */
bool fprint_same_request(struct fprint, struct fprint);

/* For logs: printf("print=" FPRINT_FMT, FPRINT_ARG(fingerprint)). */
#define FPRINT_FMT "%016llx/%08x"
#define FPRINT_ARG(f) (unsigned long long)(f).lo, (unsigned)(f).caller

#endif
