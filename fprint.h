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
 * A fingerprint tells whether a request is the same again.  To backend servers
 * it is that if method, host, path, query, body and the identity that it shows
 * are the same.  From where it comes they do not see; that is a part by itself.
 * Its id and its deadline are no part of it, as they are new each time.
 */
struct fprint {
	uint64_t hi, lo; /* of what backend servers see */
	uint64_t caller; /* of the address that it comes from */
};

/* What makes up a request for this purpose. */
struct fprint_parts {
	struct str address; /* of the caller */
	struct str identity; /* that the request shows; may be empty */
	struct str method;
	struct str host;
	struct str path; /* with its query */
	struct str body;
};

struct fprint fprint_of(const struct fprint_parts *);

/* No fingerprint: of a request of which it is not known. */
bool fprint_is_none(struct fprint);

/* The same request from the same caller. */
bool fprint_eq(struct fprint, struct fprint);

/* The same request, whoever sends it. */
bool fprint_same(struct fprint, struct fprint);

/* For the log: printf("print=" FPRINT_FMT, FPRINT_ARG(print)). */
#define FPRINT_FMT "%016llx/%08x"
#define FPRINT_ARG(f) (unsigned long long)(f).lo, (unsigned)(f).caller

#endif
