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
#include "zip.h"

/* Objects as they go between processes: written down, and read. */

enum {
	OBJECTS_PER_MESSAGE = 128,
	DEFLATE_MIN = 4096 /* bytes of text */
};

/* Objects on their way out.  Keys are those of whoever added them. */
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

/* Large texts are deflated: links of boxes may be slow. */
static void
write_spec(struct msg_object *o, const json_t *spec)
{
	char *text = json_dumps(spec, JSON_COMPACT);
	size_t n = strlen(text);
	struct str packed = {0};

	if (n >= DEFLATE_MIN)
		packed = zip_deflate(str_n(text, n));
	o->spec = packed.n > 0 ? packed : str_dup(str_n(text, n));
	o->size = packed.n > 0 ? n : 0;
	free(text);
}

/* Returns the bytes that the object's text takes. */
static size_t
pack_put(struct sync_pack *p, const struct msg_object *what, const json_t *spec)
{
	struct msg_object o = *what;

	if (spec != NULL) {
		write_spec(&o, spec);
		g_ptr_array_add(p->texts, (void *)o.spec.p);
	}
	g_array_append_val(p->objects, o);
	return o.spec.n;
}

/* Add one that is not known here, as it was deleted at or before a version. */
void
sync_pack_add_deleted(struct sync_pack *p, struct str key, uint64_t version)
{
	struct msg_object gone = {
	    .key = key, .version = version, .deleted = true};

	pack_put(p, &gone, NULL);
}

size_t
sync_pack_add(struct sync_pack *p, const struct conf_entry *e)
{
	struct msg_object good = {.key = e->key,
	    .version = e->version,
	    .deleted = e->deleted,
	    .hash = e->rejected_version > 0 ? 0 : e->hash};
	struct msg_object bad = {.key = e->key, .version = e->rejected_version};
	size_t n = 0;

	if (e->version > 0)
		n += pack_put(p, &good, e->spec);
	if (e->rejected_version > 0)
		n += pack_put(p, &bad, e->rejected_spec);
	return n;
}

void
sync_pack_move_last(struct sync_pack *from, struct sync_pack *to)
{
	guint at = from->objects->len - 1;

	g_array_append_vals(to->objects,
	    &g_array_index(from->objects, struct msg_object, at), 1);
	g_array_set_size(from->objects, at);
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
	guint at;

	for (at = 0; at < p->objects->len; at += OBJECTS_PER_MESSAGE) {
		m.u.objects.objects.items =
		    &g_array_index(p->objects, struct msg_object, at);
		m.u.objects.objects.n =
		    MIN(p->objects->len - at, OBJECTS_PER_MESSAGE);
		sync_send(s, to, &m);
	}
}

/* The contents of an object that came; NULL if it cannot be read. */
json_t *
sync_decode_spec(const struct msg_object *o)
{
	struct str text;
	json_t *spec;

	if (o->size == 0)
		return json_loadb(o->spec.p, o->spec.n, 0, NULL);
	text = zip_inflate(o->spec, o->size);
	spec = json_loadb(text.n > 0 ? text.p : "", text.n, 0, NULL);
	str_free(&text);
	return spec;
}
