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
#include <string.h>

#include "customer.h"

struct customers {
	GPtrArray *list; /* struct customer * */
	GHashTable *by_digest; /* char * to struct customer *, or `shared` */
	GHashTable *by_name; /* char * to struct customer * */
};

/*
 * Stands in by_digest for a key that several customers have, which is then
 * valid for none.
 */
static struct customer shared_key;

bool
customer_digest(struct str key, char digest[CUSTOMER_DIGEST_SIZE])
{
	char *hex;

	if (key.n == 0 || key.n > CUSTOMER_KEY_MAX)
		return false;
	hex = g_compute_checksum_for_data(
	    G_CHECKSUM_SHA256, (const guchar *)key.p, key.n);
	g_strlcpy(digest, hex, CUSTOMER_DIGEST_SIZE);
	g_free(hex);
	return true;
}

struct customers *
customers_new(void)
{
	struct customers *c = g_new0(struct customers, 1);

	c->list = g_ptr_array_new_with_free_func(g_free);
	c->by_digest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

void
customers_free(struct customers *c)
{
	g_hash_table_destroy(c->by_digest);
	g_hash_table_destroy(c->by_name);
	g_ptr_array_free(c->list, TRUE);
	g_free(c);
}

static void
add_key(struct customers *c, struct customer *customer, const char *digest)
{
	struct customer *other = g_hash_table_lookup(c->by_digest, digest);

	if (digest[0] == '\0')
		return;
	if (other != NULL && other != customer)
		customer = &shared_key;
	g_hash_table_insert(c->by_digest, g_strdup(digest), customer);
}

void
customers_add(
    struct customers *c, struct str name, const struct obj_customer *obj)
{
	struct customer *customer = g_new0(struct customer, 1);
	char *text = g_strndup(obj->keys.p, obj->keys.n);
	char **digests = g_strsplit(text, ",", -1);
	int i;

	customer->name = name;
	customer->obj = obj;
	g_ptr_array_add(c->list, customer);
	g_hash_table_insert(c->by_name, g_strndup(name.p, name.n), customer);
	for (i = 0; digests[i] != NULL; i++)
		add_key(c, customer, digests[i]);
	g_strfreev(digests);
	g_free(text);
}

size_t
customers_count(const struct customers *c)
{
	return c->list->len;
}

const struct customer *
customers_find(const struct customers *c, struct str key)
{
	char digest[CUSTOMER_DIGEST_SIZE];
	const struct customer *found;

	if (!customer_digest(key, digest))
		return NULL;
	found = g_hash_table_lookup(c->by_digest, digest);
	return found == &shared_key ? NULL : found;
}

void
customers_each(const struct customers *c, customers_each_fn *fn, void *ctx)
{
	guint i;

	for (i = 0; i < c->list->len; i++)
		fn(ctx, g_ptr_array_index(c->list, i));
}

const struct customer *
customers_by_name(const struct customers *c, struct str name)
{
	char *text = g_strndup(name.p, name.n);
	const struct customer *found = g_hash_table_lookup(c->by_name, text);

	g_free(text);
	return found;
}
