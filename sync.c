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
#include "libsync.h"
#include "slog.h"
#include "version.h"

/* A longer age that a peer reports is reduced to this one, a year. */
#define AGE_MAX_MS (UINT64_C(366) * 24 * 3600 * 1000)

/* Collects the versions of the objects in some buckets. */
struct version_list {
	const struct sync *sync;
	uint64_t buckets;
	GArray *versions; /* struct msg_version */
};

static void send_buckets(struct sync *, struct str);
static void send_versions(struct sync *, struct str, uint64_t);
static void handle_buckets(struct sync *, const struct msg *);
static void handle_versions(struct sync *, const struct msg *);
static void handle_request(struct sync *, const struct msg *);
static void handle_objects(struct sync *, const struct msg *);

struct msg_conf_summary
sync_conf_summary(const struct sync *s)
{
	uint64_t floor = s->rules_only ? conf_floor_of(s->conf, CONF_RULES)
				       : conf_floor(s->conf);
	struct msg_conf_summary summary = {
	    .digest = conf_digest(s->conf),
	    .rules_digest = conf_digest_of(s->conf, CONF_RULES),
	    .floor = version_revision(floor),
	    .epoch = version_epoch(floor),
	    .rules_only = s->rules_only,
	    .confirmed_age = (uint64_t)(sync_age_ms(s) + 1),
	};

	if (s->rules_only)
		summary.digest = summary.rules_digest;
	return summary;
}

/*
 * Returns the version that a peer sent as a revision and an epoch.  A peer of
 * an older build sends no epoch, and goes on as if the platform had not been
 * restored; or it sends those of an object whose revision no write can have,
 * which is that of none here.
 */
static uint64_t
version_of_peer(const struct sync *s, uint64_t revision, uint64_t epoch)
{
	if (revision == 0 || revision >= VERSION_EPOCH_STEP ||
	    epoch > VERSION_EPOCH_MAX)
		return 0;
	return version_make(
	    epoch > 0 ? epoch : conf_first_epoch(s->conf), revision);
}

void
sync_confirm(struct sync *s)
{
	s->confirmed_at = clk_ns(s->clk);
}

void
sync_confirm_from_peer(struct sync *s, const struct msg_conf_summary *summary)
{
	int64_t age_ms = (int64_t)MIN(summary->confirmed_age, AGE_MAX_MS) - 1;

	if (summary->confirmed_age == 0 ||
	    summary->rules_digest != conf_digest_of(s->conf, CONF_RULES))
		return;
	s->confirmed_at = MAX(s->confirmed_at, clk_ns(s->clk) - age_ms * NS_MS);
}

int64_t
sync_age_ms(const struct sync *s)
{
	if (s->confirmed_at == 0)
		return -1;
	return MAX(clk_ns(s->clk) - s->confirmed_at, 0) / NS_MS;
}

bool
sync_is_equal(const struct sync *s, const struct msg_conf_summary *summary)
{
	if (s->rules_only || summary->rules_only)
		return summary->rules_digest ==
		    conf_digest_of(s->conf, CONF_RULES);
	return summary->digest == conf_digest(s->conf);
}

void
sync_compare(
    struct sync *s, struct str from, const struct msg_conf_summary *summary)
{
	uint64_t floor = version_of_peer(s, summary->floor, summary->epoch);

	conf_note_epoch(s->conf, version_epoch(floor));
	if (!sync_is_equal(s, summary)) {
		send_buckets(s, from);
		return;
	}
	conf_raise_floor(s->conf, CONF_RULES, floor);
	if (!s->rules_only && !summary->rules_only)
		conf_raise_floor(s->conf, CONF_BACKENDS, floor);
}

static void
send_buckets(struct sync *s, struct str to)
{
	struct msg_u64 digests[CONF_BUCKETS];
	struct msg m = {.kind = MSG_BUCKETS};
	unsigned i;

	for (i = 0; i < CONF_BUCKETS; i++)
		digests[i].v = conf_bucket_digest(s->conf, i);
	m.u.buckets.rules_only = s->rules_only;
	m.u.buckets.digests.items = digests;
	m.u.buckets.digests.n = CONF_BUCKETS;
	sync_send(s, to, &m);
}

static void
handle_buckets(struct sync *s, const struct msg *m)
{
	const struct msg_list *list = &m->u.buckets.digests;
	const struct msg_u64 *digests = list->items;
	bool rules_only = s->rules_only || m->u.buckets.rules_only;
	uint64_t differ = 0;
	unsigned i;

	if (list->n != CONF_BUCKETS)
		return;
	for (i = 0; i < CONF_BUCKETS; i++)
		if (digests[i].v != conf_bucket_digest(s->conf, i) &&
		    !(rules_only && conf_part_of_bucket(i) == CONF_BACKENDS))
			differ |= UINT64_C(1) << i;
	if (differ != 0)
		send_versions(s, m->from, differ);
}

static void
add_version(void *ctx, const struct conf_entry *e)
{
	struct version_list *list = ctx;
	struct msg_version v = {.key = e->key,
	    .version = version_revision(e->version),
	    .epoch = version_epoch(e->version),
	    .rejected_version = version_revision(e->rejected_version),
	    .rejected_epoch = version_epoch(e->rejected_version),
	    .hash = e->hash};

	if ((list->buckets >> conf_bucket(e->key) & 1) &&
	    !conf_is_implied(list->sync->conf, e))
		g_array_append_val(list->versions, v);
}

static void
send_versions(struct sync *s, struct str to, uint64_t buckets)
{
	struct version_list list = {s, buckets, NULL};
	struct msg m = {.kind = MSG_VERSIONS};

	list.versions = g_array_new(FALSE, FALSE, sizeof(struct msg_version));
	conf_each(s->conf, add_version, &list);
	m.u.versions.buckets = buckets;
	m.u.versions.versions.items = list.versions->data;
	m.u.versions.versions.n = list.versions->len;
	sync_send(s, to, &m);
	g_array_free(list.versions, TRUE);
}

static void
send_and_free(struct sync *s, struct sync_pack *p, struct str to)
{
	sync_pack_send(s, p, to);
	sync_pack_free(p);
}

/* Finds our objects in some buckets that the peer did not list. */
struct missing {
	const struct conf *conf;
	struct sync_pack *pack;
	GHashTable *listed;
	uint64_t buckets;
};

static void
add_missing(void *ctx, const struct conf_entry *e)
{
	struct missing *missing = ctx;

	if ((missing->buckets >> conf_bucket(e->key) & 1) &&
	    !conf_is_implied(missing->conf, e) &&
	    !g_hash_table_contains(missing->listed, e->key.p))
		sync_pack_add(missing->pack, e);
}

/*
 * Returns the version of the deletion of an object that is absent here and has
 * a version at or below the floor.  In an earlier epoch it may be one that the
 * platform lost, and that the peer still keeps: the lowest version leaves that
 * to the peer.
 */
static uint64_t
deletion_version(uint64_t floor, uint64_t version)
{
	return version_epoch(version) < version_epoch(floor)
	    ? version_make(version_epoch(floor), 1)
	    : floor;
}

/* Returns whether an object is absent, though its deletion may be kept. */
static bool
is_absent(const struct sync *s, const struct conf_entry *e, uint64_t version)
{
	return e == NULL || conf_is_implied(s->conf, e) ||
	    (e->deleted && e->version <= version);
}

/*
 * Compares one version of the peer.  Adds our object to the pack if it is
 * newer; returns true if the peer's object is needed.
 */
static bool
compare_version(
    struct sync *s, struct sync_pack *pack, const struct msg_version *v)
{
	const struct conf_entry *e = conf_get(s->conf, v->key);
	uint64_t floor =
	    conf_floor_of(s->conf, conf_part_of_bucket(conf_bucket(v->key)));
	uint64_t version = version_of_peer(s, v->version, v->epoch);
	uint64_t rejected =
	    version_of_peer(s, v->rejected_version, v->rejected_epoch);

	if (is_absent(s, e, version) && MAX(version, rejected) <= floor) {
		if (v->hash != 0)
			sync_pack_add_deleted(pack, v->key,
			    deletion_version(floor, MAX(version, rejected)));
		return false;
	}
	if (e == NULL)
		return true;
	if (e->hash == v->hash && v->hash != 0)
		return false;
	if (e->version > version || e->rejected_version > rejected)
		sync_pack_add(pack, e);
	return version > e->version ||
	    rejected > MAX(e->rejected_version, e->version) ||
	    (version == e->version && version > 0);
}

static void
handle_versions(struct sync *s, const struct msg *m)
{
	const struct msg_list *list = &m->u.versions.versions;
	const struct msg_version *v = list->items;
	struct msg request = {.kind = MSG_OBJECT_REQUEST};
	struct missing missing;
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(struct msg_key));
	size_t i;

	missing.conf = s->conf;
	missing.pack = sync_pack_new();
	missing.buckets = m->u.versions.buckets;
	missing.listed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < list->n; i++) {
		struct msg_key k = {v[i].key};

		g_hash_table_add(missing.listed, g_strndup(k.key.p, k.key.n));
		if (compare_version(s, missing.pack, &v[i]))
			g_array_append_val(keys, k);
	}
	conf_each(s->conf, add_missing, &missing);
	send_and_free(s, missing.pack, m->from);
	request.u.object_request.keys.items = keys->data;
	request.u.object_request.keys.n = keys->len;
	if (keys->len > 0)
		sync_send(s, m->from, &request);
	g_hash_table_destroy(missing.listed);
	g_array_free(keys, TRUE);
}

static void
handle_request(struct sync *s, const struct msg *m)
{
	const struct msg_list *list = &m->u.object_request.keys;
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

/* Returns whether this process does not store the object with this key. */
static bool
is_out_of_scope(const struct sync *s, struct str key)
{
	return s->rules_only &&
	    conf_part_of_bucket(conf_bucket(key)) == CONF_BACKENDS;
}

/* Returns whether the same contents are stored and need not be decoded. */
static bool
is_known(const struct sync *s, const struct msg_object *o)
{
	const struct conf_entry *e = conf_get(s->conf, o->key);

	return e != NULL && o->hash != 0 && e->hash == o->hash &&
	    version_revision(e->version) == o->version &&
	    (e->serial == o->serial || o->serial == 0);
}

/* Offers an object of a peer to the configuration. */
static void
offer_object(
    struct sync *s, const struct msg_object *o, json_t *spec, struct str from)
{
	struct conf_object object = {.key = o->key,
	    .version = version_of_peer(s, o->version, o->epoch),
	    .serial = o->serial,
	    .deleted = o->deleted,
	    .spec = spec};
	GError *err = NULL;
	enum conf_result result = conf_offer(s->conf, &object, from, &err);

	if (err != NULL)
		slog(SLOG_CONF, "object from a peer is invalid",
		    "from=%.*s why=%s", STR_ARG(from),
		    slog_quote(err->message));
	else if (result == CONF_REJECTED)
		slog(SLOG_CONF, "object from a peer is rejected",
		    "from=%.*s key=%.*s version=%llu", STR_ARG(from),
		    STR_ARG(o->key), (unsigned long long)object.version);
	g_clear_error(&err);
}

static void
handle_objects(struct sync *s, const struct msg *m)
{
	const struct msg_list *list = &m->u.objects.objects;
	const struct msg_object *o = list->items;
	json_t *spec;
	size_t i;

	for (i = 0; i < list->n; i++) {
		if (is_out_of_scope(s, o[i].key) || is_known(s, &o[i]))
			continue;
		spec = o[i].deleted ? NULL : sync_decode_spec(&o[i]);
		if (!o[i].deleted && spec == NULL) {
			slog(SLOG_CONF, "object from a peer cannot be decoded",
			    "from=%.*s key=%.*s", STR_ARG(m->from),
			    STR_ARG(o[i].key));
			continue;
		}
		offer_object(s, &o[i], spec, m->from);
		json_decref(spec);
	}
}

void
sync_on_message(struct sync *s, const struct msg *m)
{
	switch (m->kind) {
	case MSG_BUCKETS:
		handle_buckets(s, m);
		break;
	case MSG_VERSIONS:
		handle_versions(s, m);
		break;
	case MSG_OBJECT_REQUEST:
		handle_request(s, m);
		break;
	case MSG_OBJECTS:
		handle_objects(s, m);
		break;
	default:
		break;
	}
}
