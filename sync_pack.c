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
#include "libsync.h"
#include "version.h"
#include "zip.h"

/* Encodes and decodes the objects in messages between processes. */

enum {
	OBJECTS_PER_MESSAGE = 128,
	DEFLATE_MIN = 4096 /* bytes of text; shorter texts are not deflated */
};

/* Encoded objects.  The keys belong to the caller. */
struct sync_pack {
	GArray *objects; /* struct msg_object */
	GPtrArray *texts;
};

struct sync_pack *
sync_pack_new(void)
{
	struct sync_pack *p = g_new0(struct sync_pack, 1);

	p->objects = g_array_new(FALSE, FALSE, sizeof(struct msg_object));
	p->texts = g_ptr_array_new_with_free_func(g_free);
	return p;
}

void
sync_pack_free(struct sync_pack *p)
{
	g_array_free(p->objects, TRUE);
	g_ptr_array_free(p->texts, TRUE);
	g_free(p);
}

/*
 * Deflates large texts, as the links between boxes may be slow.  A spec that is
 * rejected need not be a table.
 */
static void
encode_spec(struct msg_object *o, const json_t *spec)
{
	char *text = json_dumps(spec, JSON_COMPACT | JSON_ENCODE_ANY);
	size_t size = strlen(text);
	struct str deflated = {0};

	if (size >= DEFLATE_MIN)
		deflated = zip_deflate(str_n(text, size));
	o->spec = deflated.n > 0 ? deflated : str_dup(str_n(text, size));
	o->size = deflated.n > 0 ? size : 0;
	free(text);
}

/* Appends a copy of an object and its contents; returns their size in bytes. */
static size_t
pack_append(
    struct sync_pack *p, const struct msg_object *object, const json_t *spec)
{
	struct msg_object o = *object;

	if (spec != NULL) {
		encode_spec(&o, spec);
		g_ptr_array_add(p->texts, (void *)o.spec.p);
	}
	g_array_append_val(p->objects, o);
	return o.spec.n;
}

void
sync_pack_add_deleted(struct sync_pack *p, struct str key, uint64_t version)
{
	struct msg_object deletion = {.key = key,
	    .version = version_revision(version),
	    .epoch = version_epoch(version),
	    .deleted = true};

	pack_append(p, &deletion, NULL);
}

size_t
sync_pack_add(struct sync_pack *p, const struct conf_entry *e)
{
	struct msg_object valid = {.key = e->key,
	    .version = version_revision(e->version),
	    .epoch = version_epoch(e->version),
	    .serial = e->serial,
	    .deleted = e->deleted,
	    .hash = e->rejected_version > 0 ? 0 : e->hash};
	struct msg_object rejected = {.key = e->key,
	    .version = version_revision(e->rejected_version),
	    .epoch = version_epoch(e->rejected_version)};
	size_t size = 0;

	if (e->version > 0)
		size += pack_append(p, &valid, e->spec);
	if (e->rejected_version > 0)
		size += pack_append(p, &rejected, e->rejected_spec);
	return size;
}

void
sync_pack_move_last(struct sync_pack *from, struct sync_pack *to)
{
	guint index = from->objects->len - 1;

	g_array_append_vals(to->objects,
	    &g_array_index(from->objects, struct msg_object, index), 1);
	g_array_set_size(from->objects, index);
	g_ptr_array_add(to->texts,
	    g_ptr_array_steal_index(from->texts, from->texts->len - 1));
}

void
sync_send(struct sync *s, struct str to, const struct msg *m)
{
	s->messages_sent++;
	s->send(s->ctx, to, m);
}

void
sync_pack_send(struct sync *s, const struct sync_pack *p, struct str to)
{
	struct msg m = {.kind = MSG_OBJECTS};
	guint index;

	for (index = 0; index < p->objects->len; index += OBJECTS_PER_MESSAGE) {
		m.u.objects.objects.items =
		    &g_array_index(p->objects, struct msg_object, index);
		m.u.objects.objects.n =
		    MIN(p->objects->len - index, OBJECTS_PER_MESSAGE);
		sync_send(s, to, &m);
	}
}

json_t *
sync_decode_spec(const struct msg_object *o)
{
	struct str text;
	json_t *spec;
	const size_t flags = JSON_ALLOW_NUL | JSON_DECODE_ANY;

	if (o->size == 0)
		return json_loadb(o->spec.p, o->spec.n, flags, NULL);
	text = zip_inflate(o->spec, o->size);
	spec = json_loadb(text.n > 0 ? text.p : "", text.n, flags, NULL);
	str_free(&text);
	return spec;
}
