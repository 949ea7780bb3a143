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
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "conf.h"
#include "err.h"
#include "takeover.h"
#include "version.h"

/*
 * A platform that was restored from a copy has older versions of the objects
 * that were written last.  They have versions of a later epoch, but are not
 * newer.  Two things tell them apart.  The serial of an object, where its
 * operator gives one, decides before the version.  For all others the revisions
 * are compared for some seconds, as the copy has the same history as the epoch
 * before it up to its revision; by the end of that time whoever wrote an object
 * has written it again.
 */

enum {
	BUCKETS_PER_PART = CONF_BUCKETS / CONF_PARTS,
	/*
	 * The last deletions are kept below the floor too, to recognize the
	 * objects in an older copy of the platform.
	 */
	DELETIONS_KEPT = 1024
};

struct listener {
	conf_changed_fn *changed;
	void *ctx;
};

struct conf {
	GHashTable *entries; /* char * key to struct conf_entry * */
	uint64_t buckets[CONF_BUCKETS];
	uint64_t digests[CONF_PARTS];
	uint64_t floors[CONF_PARTS];
	size_t live_count;
	struct listener listeners[CONF_LISTENERS_MAX];
	unsigned nlisteners;
	uint64_t deletions; /* number of deletions so far */
	uint64_t epoch, first_epoch; /* latest and first known; 0: none */
	bool is_restoring; /* entries of earlier epochs may be kept */
	/* The copy that was restored is at or below this revision. */
	uint64_t copy_revision_max;
	conf_epoch_fn *on_restore; /* NULL: none are kept */
	void *restore_ctx;
};

static uint64_t hash_spec(const json_t *);
static void entry_free(void *);
static struct conf_entry *entry_new(struct conf *, struct str, GError **);
static void rehash(struct conf *, struct conf_entry *);
static enum conf_result
reject_spec(struct conf *, struct conf_entry *, uint64_t, json_t *, GError *);
static void put_in_force(struct conf *, struct conf_entry *,
    const struct conf_object *, struct obj *, struct str);
static bool supersedes(const struct conf_entry *, const struct conf_object *);
static gboolean is_redundant(gpointer, gpointer, gpointer);

static void
clear_rejected(struct conf_entry *e)
{
	json_decref(e->rejected_spec);
	g_free(e->rejected_reason);
	e->rejected_spec = NULL;
	e->rejected_reason = NULL;
	e->rejected_version = 0;
}

static void
entry_free(void *p)
{
	struct conf_entry *e = p;

	clear_rejected(e);
	json_decref(e->spec);
	obj_free(e->obj);
	str_free(&e->source);
	str_free(&e->key);
	g_free(e);
}

struct conf *
conf_new(conf_changed_fn *changed, void *ctx)
{
	struct conf *c = g_new0(struct conf, 1);

	c->entries =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
	if (changed != NULL)
		conf_add_listener(c, changed, ctx);
	return c;
}

void
conf_add_listener(struct conf *c, conf_changed_fn *changed, void *ctx)
{
	g_assert(c->nlisteners < CONF_LISTENERS_MAX);
	c->listeners[c->nlisteners++] = (struct listener){changed, ctx};
}

void
conf_free(struct conf *c)
{
	g_hash_table_destroy(c->entries);
	g_free(c);
}

enum conf_part
conf_part_of(enum obj_kind kind)
{
	return kind == OBJ_BACKEND ? CONF_BACKENDS : CONF_RULES;
}

static enum conf_part
part_of_key(struct str key)
{
	struct str prefix = STR_LIT("backend/");

	return key.n > prefix.n && memcmp(key.p, prefix.p, prefix.n) == 0
	    ? CONF_BACKENDS
	    : CONF_RULES;
}

/* The first half of the buckets is for rules, the second for backends. */
unsigned
conf_bucket(struct str key)
{
	unsigned in_part =
	    (unsigned)(XXH3_64bits(key.p, key.n) % BUCKETS_PER_PART);

	return (unsigned)part_of_key(key) * BUCKETS_PER_PART + in_part;
}

enum conf_part
conf_part_of_bucket(unsigned bucket)
{
	return (enum conf_part)(bucket / BUCKETS_PER_PART);
}

static uint64_t
hash_number(const json_t *v)
{
	json_int_t i = json_integer_value(v);
	double d = json_real_value(v);

	return json_is_integer(v) ? XXH3_64bits(&i, sizeof(i))
				  : XXH3_64bits(&d, sizeof(d));
}

/* The hash does not depend on the order of the members. */
static uint64_t
hash_object(const json_t *v)
{
	const char *key;
	json_t *member;
	uint64_t h = 1;

	json_object_foreach ((json_t *)v, key, member)
		h += XXH3_64bits_withSeed(key, strlen(key), hash_spec(member));
	return h;
}

static uint64_t
hash_array(const json_t *v)
{
	uint64_t h = 2, item_hash;
	json_t *item;
	size_t i;

	json_array_foreach (v, i, item) {
		item_hash = hash_spec(item);
		h = XXH3_64bits_withSeed(&item_hash, sizeof(item_hash), h);
	}
	return h;
}

/* Hashes the tree itself; serializing it would take as long as parsing. */
static uint64_t
hash_spec(const json_t *v)
{
	switch (v == NULL ? JSON_NULL : json_typeof(v)) {
	case JSON_OBJECT:
		return hash_object(v);
	case JSON_ARRAY:
		return hash_array(v);
	case JSON_STRING:
		return XXH3_64bits_withSeed(
		    json_string_value(v), json_string_length(v), JSON_STRING);
	case JSON_INTEGER:
	case JSON_REAL:
		return hash_number(v);
	default:
		return v == NULL ? 0 : (uint64_t)json_typeof(v);
	}
}

/*
 * Returns the contribution of an entry to the digests.  Deletions have none,
 * as one box may have dropped a deletion that another one still keeps.  The
 * epoch does not count, so that a restore does not change what stays as it was.
 */
static uint64_t
hash_entry(const struct conf_entry *e)
{
	uint64_t parts[4] = {0};

	if (!e->deleted && e->version > 0) {
		parts[0] = version_revision(e->version);
		parts[1] = hash_spec(e->spec);
	}
	if (e->rejected_version > 0) {
		parts[2] = version_revision(e->rejected_version);
		parts[3] = hash_spec(e->rejected_spec);
	}
	if (parts[0] == 0 && parts[2] == 0)
		return 0;
	return XXH3_64bits_withSeed(
	    parts, sizeof(parts), XXH3_64bits(e->key.p, e->key.n));
}

static void
rehash(struct conf *c, struct conf_entry *e)
{
	uint64_t h = hash_entry(e), diff = h ^ e->hash;

	c->buckets[conf_bucket(e->key)] ^= diff;
	c->digests[conf_part_of(e->kind)] ^= diff;
	e->hash = h;
}

static struct conf_entry *
entry_new(struct conf *c, struct str key, GError **err)
{
	const char *slash = memchr(key.p, '/', key.n);
	struct conf_entry *e;
	enum obj_kind kind;
	size_t kind_len;

	kind_len = slash == NULL ? 0 : (size_t)(slash - key.p);
	if (!obj_kind_by_name(str_n(key.p, kind_len), &kind) ||
	    !field_is_name(str_n(key.p + kind_len + 1, key.n - kind_len - 1))) {
		err_set(err, ERR_OBJECT, "invalid object key \"%.*s\"",
		    STR_ARG(key));
		return NULL;
	}
	e = g_new0(struct conf_entry, 1);
	e->key = str_dup(key);
	e->kind = kind;
	e->name = str_n(e->key.p + kind_len + 1, key.n - kind_len - 1);
	g_hash_table_insert(c->entries, (char *)e->key.p, e);
	return e;
}

static bool
has_serials(const struct conf_entry *e, const struct conf_object *o)
{
	return e->serial > 0 && o->serial > 0;
}

/*
 * Returns whether an offer supersedes the version in force.  The platform does
 * not assign a version twice in an epoch.  If two contents have the same
 * version anyway, as on a platform that does not tell its epoch, all boxes make
 * the same choice: a deletion wins, then the greater hash.
 */
static bool
supersedes(const struct conf_entry *e, const struct conf_object *o)
{
	if (has_serials(e, o) && o->serial != e->serial)
		return o->serial > e->serial;
	if (o->version != e->version)
		return o->version > e->version;
	if (e->deleted || o->deleted)
		return !e->deleted;
	return hash_spec(o->spec) > hash_spec(e->spec);
}

static void
put_in_force(struct conf *c, struct conf_entry *e, const struct conf_object *o,
    struct obj *obj, struct str source)
{
	bool was_live = e->version > 0 && !e->deleted;
	unsigned i;

	json_decref(e->spec);
	obj_free(e->obj);
	str_free(&e->source);
	e->spec = o->deleted ? NULL : json_incref(o->spec);
	e->obj = obj;
	/* A higher serial may come with a version of an earlier epoch. */
	e->version = MAX(e->version, o->version);
	e->serial = o->serial;
	e->deleted = o->deleted;
	if (o->deleted)
		e->deletion_number = c->deletions++;
	e->existed =
	    takeover_existed(c->floors[conf_part_of(e->kind)], o->deleted);
	e->source = str_dup(source);
	if (e->rejected_version <= e->version)
		clear_rejected(e);
	c->live_count += (size_t)!o->deleted - (size_t)was_live;
	rehash(c, e);
	for (i = 0; i < c->nlisteners; i++)
		c->listeners[i].changed(c->listeners[i].ctx, e);
}

/* Deletes an object as of a version. */
static void
delete_entry(
    struct conf *c, struct conf_entry *e, uint64_t version, struct str source)
{
	struct conf_object deletion = {.version = version, .deleted = true};

	put_in_force(c, e, &deletion, NULL, source);
}

static enum conf_result
reject_spec(struct conf *c, struct conf_entry *e, uint64_t version,
    json_t *spec, GError *reason)
{
	bool newer = version > e->version && version > e->rejected_version;

	if (newer) {
		clear_rejected(e);
		e->rejected_version = version;
		e->rejected_spec = json_incref(spec);
		e->rejected_reason = g_strdup(reason->message);
		rehash(c, e);
	}
	g_error_free(reason);
	return newer ? CONF_REJECTED : CONF_STALE;
}

/*
 * Handles an invalid spec of a backend server like a deletion.  With the former
 * spec in force, requests would go to a server that may be gone.
 */
static enum conf_result
reject_backend(struct conf *c, struct conf_entry *e, uint64_t version,
    struct str source, GError *reason, GError **err)
{
	delete_entry(c, e, version, source);
	g_propagate_error(err, reason);
	return CONF_REJECTED;
}

/*
 * Returns whether an offer only confirms what is in force: it has the same
 * contents, and the same revision or a later epoch.  A copy of the platform has
 * most objects unchanged, and its lost ones are written again.
 */
static bool
is_confirmed(const struct conf_entry *e, const struct conf_object *o)
{
	if (has_serials(e, o) && o->serial != e->serial)
		return false;
	if (e->version == 0 || o->deleted != e->deleted ||
	    (version_revision(o->version) != version_revision(e->version) &&
		version_epoch(o->version) <= version_epoch(e->version)))
		return false;
	return o->deleted || json_equal(o->spec, e->spec);
}

static bool
is_drain(const struct conf_entry *e, const struct conf_object *o)
{
	return e->kind == OBJ_BACKEND &&
	    json_is_true(json_object_get(o->spec, "drain"));
}

/*
 * Returns whether a version of a later epoch may be one of the copy, replaced
 * before the platform was restored.  A drain is never held back.
 */
static bool
is_held_back(const struct conf *c, const struct conf_entry *e,
    const struct conf_object *o)
{
	return c->is_restoring &&
	    version_epoch(o->version) > version_epoch(e->version) &&
	    version_revision(o->version) <= c->copy_revision_max &&
	    (o->deleted ||
		version_revision(o->version) < version_revision(e->version)) &&
	    !has_serials(e, o) && !is_drain(e, o);
}

/*
 * The contents stay: they are the same, or their serial is higher.  They get
 * the higher version, so that no version in between replaces them.
 */
static void
raise_version(struct conf *c, struct conf_entry *e, uint64_t version)
{
	if (version <= e->version)
		return;
	e->version = version;
	if (e->rejected_version <= version)
		clear_rejected(e);
	rehash(c, e);
}

/*
 * Settles an offer that does not come into force.  Returns false if it may, and
 * its spec has to be read.
 */
static bool
settle_offer(struct conf *c, struct conf_entry *e, const struct conf_object *o,
    enum conf_result *result)
{
	*result = CONF_STALE;
	if ((e == NULL || e->deleted) &&
	    (o->version == 0 || o->version <= c->floors[part_of_key(o->key)]))
		return true;
	if (e == NULL)
		return false;
	*result = CONF_DUPLICATE;
	if (is_confirmed(e, o)) {
		/* A peer of an older build may have sent it without one. */
		e->serial = MAX(e->serial, o->serial);
		raise_version(c, e, o->version);
		return true;
	}
	if (o->version == e->rejected_version && o->version > 0)
		return true;
	*result = CONF_STALE;
	if (is_held_back(c, e, o))
		return true;
	if (has_serials(e, o) && o->serial < e->serial) {
		raise_version(c, e, o->version);
		return true;
	}
	return !supersedes(e, o);
}

static struct conf_entry *
find(const struct conf *c, struct str key)
{
	char *text = g_strndup(key.p, key.n);
	struct conf_entry *e = g_hash_table_lookup(c->entries, text);

	g_free(text);
	return e;
}

enum conf_result
conf_offer(struct conf *c, const struct conf_object *o, struct str source,
    GError **err)
{
	struct conf_entry *e = find(c, o->key);
	enum conf_result result;
	struct obj *obj = NULL;
	GError *reason = NULL;

	conf_note_epoch(c, version_epoch(o->version));
	if (settle_offer(c, e, o, &result))
		return result;
	if (e == NULL)
		e = entry_new(c, o->key, err);
	if (e == NULL)
		return CONF_REJECTED;
	if (!o->deleted) {
		obj = obj_read(e->kind, e->name, o->spec, NULL, &reason);
		if (obj == NULL && e->kind == OBJ_BACKEND)
			return reject_backend(
			    c, e, o->version, source, reason, err);
		if (obj == NULL)
			return reject_spec(c, e, o->version, o->spec, reason);
	}
	put_in_force(c, e, o, obj, source);
	return CONF_APPLIED;
}

bool
conf_is_implied(const struct conf *c, const struct conf_entry *e)
{
	return (e->deleted || e->version == 0) && e->rejected_version == 0 &&
	    e->version <= c->floors[conf_part_of(e->kind)];
}

/* Returns whether an entry can be dropped; the last deletions are kept. */
static gboolean
is_redundant(gpointer key, gpointer value, gpointer ctx)
{
	const struct conf_entry *e = value;
	const struct conf *c = ctx;

	(void)key;
	return conf_is_implied(c, e) &&
	    (!e->deleted || c->deletions - e->deletion_number > DELETIONS_KEPT);
}

/* A version of the copy that is held back now may be taken later. */
uint64_t
conf_applied_revision(const struct conf *c, uint64_t listed)
{
	return c->is_restoring ? MIN(listed, version_make(c->epoch, 0))
			       : listed;
}

void
conf_raise_floor(struct conf *c, enum conf_part part, uint64_t revision)
{
	conf_note_epoch(c, version_epoch(revision));
	revision = conf_applied_revision(c, revision);
	if (revision <= c->floors[part])
		return;
	c->floors[part] = revision;
	g_hash_table_foreach_remove(c->entries, is_redundant, c);
}

void
conf_apply_list(struct conf *c, uint64_t revision, GHashTable *keys)
{
	int part;

	if (revision < conf_floor(c))
		return;
	conf_apply_list_of_kinds(c, ~0u, revision, keys);
	for (part = 0; part < CONF_PARTS; part++)
		conf_raise_floor(c, (enum conf_part)part, revision);
}

/*
 * Returns whether an object that a list of a later epoch lacks may be one that
 * the platform lost.  The revision of the list does not tell, as it has risen
 * with each write since the restore.
 */
static bool
may_be_lost(const struct conf *c, const struct conf_entry *e, uint64_t revision)
{
	return c->is_restoring &&
	    version_epoch(revision) > version_epoch(e->version);
}

void
conf_apply_list_of_kinds(
    struct conf *c, unsigned kinds, uint64_t revision, GHashTable *keys)
{
	struct conf_entry *e;
	GHashTableIter it;
	gpointer key, value;

	conf_note_epoch(c, version_epoch(revision));
	g_hash_table_iter_init(&it, c->entries);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		e = value;
		if ((kinds >> e->kind & 1) == 0 ||
		    g_hash_table_contains(keys, key))
			continue;
		if (e->rejected_version > 0 &&
		    e->rejected_version <= revision) {
			clear_rejected(e);
			rehash(c, e);
		}
		if (!e->deleted && e->version > 0 && e->version <= revision &&
		    !may_be_lost(c, e, revision))
			delete_entry(c, e, revision, STR_LIT("platform"));
	}
}

uint64_t
conf_floor_of(const struct conf *c, enum conf_part part)
{
	return c->floors[part];
}

uint64_t
conf_floor(const struct conf *c)
{
	return MIN(c->floors[CONF_RULES], c->floors[CONF_BACKENDS]);
}

uint64_t
conf_digest_of(const struct conf *c, enum conf_part part)
{
	return c->digests[part];
}

uint64_t
conf_digest(const struct conf *c)
{
	return c->digests[CONF_RULES] ^ c->digests[CONF_BACKENDS];
}

uint64_t
conf_bucket_digest(const struct conf *c, unsigned bucket)
{
	return c->buckets[bucket % CONF_BUCKETS];
}

const struct conf_entry *
conf_get(const struct conf *c, struct str key)
{
	return find(c, key);
}

void
conf_on_restore(struct conf *c, conf_epoch_fn *fn, void *ctx)
{
	c->on_restore = fn;
	c->restore_ctx = ctx;
}

void
conf_end_restore(struct conf *c)
{
	c->is_restoring = false;
}

bool
conf_is_restoring(const struct conf *c)
{
	return c->is_restoring;
}

void
conf_note_epoch(struct conf *c, uint64_t epoch)
{
	bool is_first = c->epoch == 0;

	if (epoch <= c->epoch)
		return;
	c->epoch = epoch;
	if (is_first)
		c->first_epoch = epoch;
	if (is_first || c->on_restore == NULL)
		return;
	c->is_restoring = true;
	c->copy_revision_max = UINT64_MAX;
	c->on_restore(c->restore_ctx, epoch);
}

void
conf_note_revision(struct conf *c, uint64_t revision)
{
	conf_note_epoch(c, version_epoch(revision));
	if (version_revision(revision) > 0 &&
	    version_epoch(revision) == c->epoch)
		c->copy_revision_max =
		    MIN(c->copy_revision_max, version_revision(revision));
}

uint64_t
conf_epoch(const struct conf *c)
{
	return c->epoch;
}

uint64_t
conf_first_epoch(const struct conf *c)
{
	return c->first_epoch;
}

void
conf_each(const struct conf *c, conf_visit_fn *visit, void *ctx)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->entries);
	while (g_hash_table_iter_next(&it, NULL, &value))
		visit(ctx, value);
}

size_t
conf_count(const struct conf *c)
{
	return c->live_count;
}
