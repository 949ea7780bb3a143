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
#include "contact.h"

void
contacts_init(struct contacts *c, struct str own_hall)
{
	c->halls = g_ptr_array_new();
	c->own = g_new0(struct contact_hall, 1);
	c->own->name = str_dup(own_hall);
	g_ptr_array_add(c->halls, c->own);
}

void
contacts_clear(struct contacts *c)
{
	struct contact_hall *h;
	guint i;

	for (i = 0; i < c->halls->len; i++) {
		h = g_ptr_array_index(c->halls, i);
		str_free(&h->name);
		str_free(&h->leaf);
		g_free(h);
	}
	g_ptr_array_free(c->halls, TRUE);
}

struct contact_hall *
contacts_get(struct contacts *c, struct str hall, int64_t now)
{
	struct contact_hall *h;
	guint i;

	if (hall.n == 0)
		return NULL;
	for (i = 0; i < c->halls->len; i++) {
		h = g_ptr_array_index(c->halls, i);
		if (str_eq(h->name, hall))
			return h;
	}
	if (c->halls->len >= CONTACT_HALLS_MAX)
		return NULL;
	h = g_new0(struct contact_hall, 1);
	h->name = str_dup(hall);
	h->unlisted_at = now;
	g_ptr_array_add(c->halls, h);
	return h;
}

void
contacts_list_begin(struct contacts *c)
{
	struct contact_hall *h;
	guint i;

	for (i = 0; i < c->halls->len; i++) {
		h = g_ptr_array_index(c->halls, i);
		if (h->is_listed)
			h->unlisted_at = 0;
		h->is_listed = false;
	}
}

struct contact_hall *
contacts_list_add(struct contacts *c, struct str hall, int64_t now)
{
	struct contact_hall *h = contacts_get(c, hall, now);

	if (h != NULL)
		h->is_listed = true;
	return h;
}

void
contacts_list_end(struct contacts *c, int64_t now)
{
	struct contact_hall *h;
	guint i;

	for (i = 0; i < c->halls->len; i++) {
		h = g_ptr_array_index(c->halls, i);
		if (h->is_listed || h->unlisted_at != 0)
			continue;
		h->unlisted_at = now;
		if (h->first_pinged_at == 0)
			h->first_pinged_at = now;
	}
}

enum contact_state
contacts_state(
    const struct contacts *c, const struct contact_hall *h, int64_t now)
{
	if (h == NULL || h == c->own)
		return CONTACT_JOINED;
	if (h->heard_at == 0 || now - h->heard_at >= CONTACT_SILENT_NS)
		return CONTACT_SILENT;
	return now < h->joined_at ? CONTACT_JOINING : CONTACT_JOINED;
}

unsigned
contacts_count(const struct contacts *c, enum contact_state state, int64_t now)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < c->halls->len; i++)
		n += contacts_state(c, g_ptr_array_index(c->halls, i), now) ==
		    state;
	return n;
}

double
contact_unknown_use(const struct contact_hall *h, int64_t window, int64_t now)
{
	int64_t since = now - (h->joined_at - CONTACT_JOIN_NS);

	return (double)MIN(h->silence, window) / (double)window *
	    (1 - (double)MIN(since, window) / (double)window / 2);
}

static bool
is_forgotten(
    const struct contacts *c, const struct contact_hall *h, int64_t now)
{
	return !h->is_listed && contacts_state(c, h, now) == CONTACT_SILENT &&
	    now - h->unlisted_at >= CONTACT_FORGET_NS;
}

unsigned
contacts_count_all(const struct contacts *c, int64_t now)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < c->halls->len; i++)
		n += !is_forgotten(c, g_ptr_array_index(c->halls, i), now);
	return n;
}

/* Returns whether the hall did not answer, or had no hubs, since it was heard.
 */
static bool
is_lost(const struct contact_hall *h, int64_t now)
{
	return h->first_pinged_at != 0 &&
	    now - h->first_pinged_at >= CONTACT_ANSWER_NS;
}

void
contact_heard(struct contact_hall *h, int64_t now)
{
	if (h == NULL)
		return;
	if (h->heard_at != 0 && is_lost(h, now)) {
		h->joined_at = now + CONTACT_JOIN_NS;
		h->silence = now - h->heard_at;
	}
	h->heard_at = now;
	h->first_pinged_at = 0;
}

void
contact_set_leaf(struct contact_hall *h, struct str inbox)
{
	if (str_eq(h->leaf, inbox))
		return;
	str_free(&h->leaf);
	h->leaf = str_dup(inbox);
}

struct contact_hall *
contacts_of_leaf(const struct contacts *c, struct str inbox)
{
	struct contact_hall *h;
	guint i;

	for (i = 0; i < c->halls->len; i++) {
		h = g_ptr_array_index(c->halls, i);
		if (h->leaf.n > 0 && str_eq(h->leaf, inbox))
			return h;
	}
	return NULL;
}

void
contact_pinged(struct contact_hall *h, int64_t now)
{
	h->pinged_at = now;
	if (h->first_pinged_at == 0)
		h->first_pinged_at = now;
}

bool
contact_is_ping_due(const struct contact_hall *h, int64_t now)
{
	return now - h->heard_at >= CONTACT_PING_NS &&
	    now - h->pinged_at >= CONTACT_PING_NS;
}

bool
contacts_are_ping_due(const struct contacts *c, int64_t now)
{
	const struct contact_hall *h;
	guint i;

	for (i = 0; i < c->halls->len; i++) {
		h = g_ptr_array_index(c->halls, i);
		if (h != c->own && contact_is_ping_due(h, now))
			return true;
	}
	return false;
}

bool
contacts_are_awaited(const struct contacts *c, int64_t now)
{
	const struct contact_hall *h;
	guint i;

	for (i = 0; i < c->halls->len; i++) {
		h = g_ptr_array_index(c->halls, i);
		if (contacts_state(c, h, now) == CONTACT_SILENT &&
		    h->first_pinged_at != 0 &&
		    now - h->first_pinged_at < CONTACT_ANSWER_NS)
			return true;
	}
	return false;
}
