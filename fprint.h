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
 * A fingerprint tells whether a request is the same again: the same caller
 * sends the same method, host, path, query and body.  Its id and its deadline
 * are not part of it, as they are new each time it is sent.
 */
struct fprint {
	uint64_t hi, lo;
};

/* What makes up a request for this purpose. */
struct fprint_parts {
	struct str caller; /* as its rule tells callers apart */
	struct str method;
	struct str host;
	struct str path; /* with its query */
	struct str body;
};

struct fprint fprint_of(const struct fprint_parts *);

/* No fingerprint: of a request of which it is not known. */
bool fprint_is_none(struct fprint);

bool fprint_eq(struct fprint, struct fprint);

/* For the log: printf("print=" FPRINT_FMT, FPRINT_ARG(print)). */
#define FPRINT_FMT "%016llx"
#define FPRINT_ARG(f) (unsigned long long)(f).lo

#endif
