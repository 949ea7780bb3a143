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
 * Customers and their keys.  Only digests of keys are kept, so that no log,
 * message or memory has a key, and the time of a lookup reveals nothing about
 * it.  No I/O.
 */
struct customer {
	struct str name;
	const struct obj_customer *obj;
};

/*
 * Size of a digest: the first 128 bits of a SHA-256 in hexadecimal digits, and
 * a NUL.  Keys longer than CUSTOMER_KEY_MAX bytes are not valid.
 */
enum { CUSTOMER_DIGEST_SIZE = 33, CUSTOMER_KEY_MAX = 512 };

/*
 * Computes the digest of a key.  Returns false if the key is empty or too long,
 * so that no customer can have it.
 */
bool customer_digest(struct str key, char digest[CUSTOMER_DIGEST_SIZE]);

struct customers;
struct customers *customers_new(void);
void customers_free(struct customers *);

/*
 * Adds a customer.  The name and the object are not copied and must outlive the
 * customers.
 */
void
customers_add(struct customers *, struct str name, const struct obj_customer *);
size_t customers_count(const struct customers *);

/*
 * Returns the customer that has the key; NULL if there is none or more than
 * one.
 */
const struct customer *customers_find(const struct customers *, struct str key);

/* Calls the function for each customer. */
typedef void customers_each_fn(void *, const struct customer *);
void customers_each(const struct customers *, customers_each_fn *, void *);

/* Returns the customer of a name; NULL if there is none. */
const struct customer *
customers_by_name(const struct customers *, struct str name);

#endif
