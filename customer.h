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
#ifndef CUSTOMER_H
#define CUSTOMER_H

#include <stdbool.h>
#include <stddef.h>

#include "obj.h"
#include "str.h"

/*
 * Customers by their keys.  Only digests of keys are kept, so that no log,
 * message or memory of ours has a key, and a look-up tells nothing of one by
 * the time it takes.  Pure.
 */
struct customer {
	struct str name;
	const struct obj_customer *obj;
};

/* The first 128 bits of a SHA-256, in hexadecimal digits, and a NUL. */
enum { CUSTOMER_DIGEST_SIZE = 33, CUSTOMER_KEY_MAX = 512 };

/* False if it can be nobody's key: it is empty, or too long. */
bool customer_digest(struct str key, char digest[CUSTOMER_DIGEST_SIZE]);

struct customers;
struct customers *customers_new(void);
void customers_free(struct customers *);

/* Name and object must outlive the customers. */
void
customers_add(struct customers *, struct str name, const struct obj_customer *);
size_t customers_count(const struct customers *);

/* Whose key is it?  NULL: nobody's, or that of more than one. */
const struct customer *customers_find(const struct customers *, struct str key);

/* Visit all. */
typedef void customers_visit_fn(void *, const struct customer *);
void customers_each(const struct customers *, customers_visit_fn *, void *);

/* One by its name; NULL if there is none. */
const struct customer *
customers_by_name(const struct customers *, struct str name);

#endif
