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
#include "err.h"
#include <string.h>
#include <zlib.h>

#include "slog.h"
#include "sync.h"

enum {
	OBJECTS_PER_MESSAGE = 128,
	DEFLATE_MIN = 4096, /* bytes of text */
	DEFLATE_LEVEL = 1, /* the fastest; routes shrink tenfold all the same */
	TEXT_MAX = 64 << 20 /* of what a peer says its text has */
};

/* Objects on their way out.  Keys are the configuration's own. */
struct sync_pack {
	GArray *objects; /* struct msg_object */
	GPtrArray *texts;
};

/* What goes on while versions of some buckets are gathered. */
struct gather {
	const struct sync *sync;
	uint64_t buckets;
	GArray *versions; /* struct msg_version */
};

static void send_buckets(struct sync *, struct str);
static void send_versions(struct sync *, struct str, uint64_t);
static void take_buckets(struct sync *, const struct msg *);
static void take_versions(struct sync *, const struct msg *);
static void take_want(struct sync *, const struct msg *);
static void take_objects(struct sync *, const struct msg *);

static void
post(struct sync *s, struct str to, const struct msg *m)
{
	s->messages++;
	s->send(s->ctx, to, m);
}

void
sync_compare(struct sync *s, struct str from, uint64_t digest, uint64_t floor)
{
	if (digest != conf_digest(s->conf))
		send_buckets(s, from);
	else if (floor > conf_floor(s->conf))
		conf_raise_floor(s->conf, floor);
}

static void
send_buckets(struct sync *s, struct str to)
{
	struct msg_u64 digests[CONF_BUCKETS];
	struct msg m = {.kind = MSG_BUCKETS};
	unsigned i;

	for (i = 0; i < CONF_BUCKETS; i++)
		digests[i].v = conf_bucket_digest(s->conf, i);
	m.u.buckets.digests.items = digests;
	m.u.buckets.digests.n = CONF_BUCKETS;
	post(s, to, &m);
}

static void
take_buckets(struct sync *s, const struct msg *m)
{
	const struct msg_list *list = &m->u.buckets.digests;
	const struct msg_u64 *digests = list->items;
	uint64_t differ = 0;
	unsigned i;

	if (list->n != CONF_BUCKETS)
		return;
	for (i = 0; i < CONF_BUCKETS; i++)
		if (digests[i].v != conf_bucket_digest(s->conf, i))
			differ |= UINT64_C(1) << i;
	if (differ != 0)
		send_versions(s, m->from, differ);
}

static void
gather_version(void *ctx, const struct conf_entry *e)
{
	struct gather *g = ctx;
	struct msg_version v = {e->key, e->version, e->bad_version, e->hash};

	if (g->buckets >> conf_bucket(e->key) & 1)
		g_array_append_val(g->versions, v);
}

static void
send_versions(struct sync *s, struct str to, uint64_t buckets)
{
	struct gather g = {s, buckets, NULL};
	struct msg m = {.kind = MSG_VERSIONS};

	g.versions = g_array_new(FALSE, FALSE, sizeof(struct msg_version));
	conf_each(s->conf, gather_version, &g);
	m.u.versions.buckets = buckets;
	m.u.versions.versions.items = g.versions->data;
	m.u.versions.versions.n = g.versions->len;
	post(s, to, &m);
	g_array_free(g.versions, TRUE);
}

struct sync_pack *
sync_pack_new(void)
{
	struct sync_pack *p = g_new0(struct sync_pack, 1);

	p->objects = g_array_new(FALSE, FALSE, sizeof(struct msg_object));
	p->texts = g_ptr_array_new_with_free_func(free);
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
	uLongf len = compressBound(n);
	Bytef *packed;

	o->spec = str_n(text, n);
	if (n < DEFLATE_MIN)
		return;
	packed = malloc(len);
	if (packed == NULL ||
	    compress2(packed, &len, (Bytef *)text, n, DEFLATE_LEVEL) != Z_OK) {
		free(packed);
		return;
	}
	free(text);
	o->spec = str_n((char *)packed, len);
	o->size = n;
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

size_t
sync_pack_add(struct sync_pack *p, const struct conf_entry *e)
{
	struct msg_object good = {.key = e->key,
	    .version = e->version,
	    .deleted = e->deleted,
	    .hash = e->bad_version > 0 ? 0 : e->hash};
	struct msg_object bad = {.key = e->key, .version = e->bad_version};
	size_t n = 0;

	if (e->version > 0)
		n += pack_put(p, &good, e->spec);
	if (e->bad_version > 0)
		n += pack_put(p, &bad, e->bad_spec);
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
sync_pack_send(struct sync *s, const struct sync_pack *p, struct str to)
{
	struct msg m = {.kind = MSG_OBJECTS};
	guint at;

	for (at = 0; at < p->objects->len; at += OBJECTS_PER_MESSAGE) {
		m.u.objects.objects.items =
		    &g_array_index(p->objects, struct msg_object, at);
		m.u.objects.objects.n =
		    MIN(p->objects->len - at, OBJECTS_PER_MESSAGE);
		post(s, to, &m);
	}
}

static void
send_and_free(struct sync *s, struct sync_pack *p, struct str to)
{
	sync_pack_send(s, p, to);
	sync_pack_free(p);
}

/* Offer the peer all of its buckets that it did not list. */
struct missing {
	struct sync_pack *pack;
	GHashTable *listed;
	uint64_t buckets;
};

static void
add_missing(void *ctx, const struct conf_entry *e)
{
	struct missing *mi = ctx;

	if ((mi->buckets >> conf_bucket(e->key) & 1) &&
	    !g_hash_table_contains(mi->listed, e->key.p))
		sync_pack_add(mi->pack, e);
}

/* Compare one version of the peer's; true if its object is wanted. */
static bool
compare_version(
    struct sync *s, struct sync_pack *pack, const struct msg_version *v)
{
	const struct conf_entry *e = conf_get(s->conf, v->key);
	struct msg_object gone = {
	    .key = v->key, .version = conf_floor(s->conf), .deleted = true};

	if (e == NULL &&
	    MAX(v->version, v->bad_version) <= conf_floor(s->conf)) {
		if (v->hash != 0)
			pack_put(pack, &gone, NULL);
		return false;
	}
	if (e == NULL)
		return true;
	if (e->hash == v->hash && v->hash != 0)
		return false;
	if (e->version > v->version || e->bad_version > v->bad_version)
		sync_pack_add(pack, e);
	return v->version > e->version ||
	    v->bad_version > MAX(e->bad_version, e->version) ||
	    (v->version == e->version && v->version > 0);
}

static void
take_versions(struct sync *s, const struct msg *m)
{
	const struct msg_list *list = &m->u.versions.versions;
	const struct msg_version *v = list->items;
	struct msg want = {.kind = MSG_WANT};
	struct missing mi;
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(struct msg_key));
	size_t i;

	mi.pack = sync_pack_new();
	mi.buckets = m->u.versions.buckets;
	mi.listed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < list->n; i++) {
		struct msg_key k = {v[i].key};

		g_hash_table_add(mi.listed, g_strndup(k.key.p, k.key.n));
		if (compare_version(s, mi.pack, &v[i]))
			g_array_append_val(keys, k);
	}
	conf_each(s->conf, add_missing, &mi);
	send_and_free(s, mi.pack, m->from);
	want.u.want.keys.items = keys->data;
	want.u.want.keys.n = keys->len;
	if (keys->len > 0)
		post(s, m->from, &want);
	g_hash_table_destroy(mi.listed);
	g_array_free(keys, TRUE);
}

static void
take_want(struct sync *s, const struct msg *m)
{
	const struct msg_list *list = &m->u.want.keys;
	const struct msg_key *keys = list->items;
	struct sync_pack *pack = sync_pack_new();
	const struct conf_entry *e;
	size_t i;

	for (i = 0; i < list->n; i++) {
		e = conf_get(s->conf, keys[i].key);
		if (e != NULL)
			sync_pack_add(pack, e);
	}
	send_and_free(s, pack, m->from);
}

/* The same contents came before, so that they need not be read again. */
static bool
is_known(const struct sync *s, const struct msg_object *o)
{
	const struct conf_entry *e = conf_get(s->conf, o->key);

	return e != NULL && o->hash != 0 && e->hash == o->hash &&
	    e->version == o->version;
}

static json_t *
read_spec(const struct msg_object *o)
{
	uLongf n = o->size;
	json_t *spec;
	char *text;

	if (o->size == 0)
		return json_loadb(o->spec.p, o->spec.n, 0, NULL);
	if (o->size > TEXT_MAX)
		return NULL;
	text = malloc(n);
	if (text == NULL ||
	    uncompress((Bytef *)text, &n, (const Bytef *)o->spec.p,
		o->spec.n) != Z_OK) {
		free(text);
		return NULL;
	}
	spec = json_loadb(text, n, 0, NULL);
	free(text);
	return spec;
}

static void
take_objects(struct sync *s, const struct msg *m)
{
	const struct msg_list *list = &m->u.objects.objects;
	const struct msg_object *o = list->items;
	enum conf_result got;
	GError *err = NULL;
	json_t *spec;
	size_t i;

	for (i = 0; i < list->n; i++) {
		if (is_known(s, &o[i]))
			continue;
		spec = o[i].deleted ? NULL : read_spec(&o[i]);
		if (!o[i].deleted && spec == NULL) {
			slog(SLOG_CONF, "an object of a peer's cannot be read",
			    "from=%.*s key=%.*s", STR_ARG(m->from),
			    STR_ARG(o[i].key));
			continue;
		}
		got = conf_offer(s->conf, o[i].key, o[i].version, o[i].deleted,
		    spec, m->from, &err);
		json_decref(spec);
		if (err != NULL)
			slog(SLOG_CONF, "an object of a peer's is refused",
			    "from=%.*s why=%s", STR_ARG(m->from),
			    slog_quote(err->message));
		else if (got == CONF_REJECTED)
			slog(SLOG_CONF, "an object of a peer's is rejected",
			    "from=%.*s key=%.*s version=%llu", STR_ARG(m->from),
			    STR_ARG(o[i].key),
			    (unsigned long long)o[i].version);
		g_clear_error(&err);
	}
}

void
sync_take(struct sync *s, const struct msg *m)
{
	switch (m->kind) {
	case MSG_BUCKETS:
		take_buckets(s, m);
		break;
	case MSG_VERSIONS:
		take_versions(s, m);
		break;
	case MSG_WANT:
		take_want(s, m);
		break;
	case MSG_OBJECTS:
		take_objects(s, m);
		break;
	default:
		break;
	}
}
