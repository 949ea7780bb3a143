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
#include "msg.h"

enum { LIST_MAX = 65536 };

/* The shape of a suspect names each of its trials. */
G_STATIC_ASSERT(POISON_TRIALS == 2);

enum field_kind { F_U64, F_STR, F_BOOL, F_LIST };

struct shape;

/* One element of a record, and where it goes in the struct. */
struct msg_field {
	enum field_kind kind;
	size_t offset;
	const struct shape *item; /* F_LIST */
};

/* A record: an array of so many elements. */
struct shape {
	const char *name;
	size_t size;
	const struct msg_field *fields;
	size_t n;
};

static void pack_record(msgpack_packer *, const struct shape *, const void *);
static bool unpack_record(
    struct msg *, const struct shape *, const msgpack_object *, size_t, void *);
static bool unpack_field(
    struct msg *, const struct msg_field *, const msgpack_object *, void *);
static bool
unpack_list(struct msg *, const struct shape *, const msgpack_object *, void *);

#define U64(type, m)                                                           \
	{                                                                      \
		F_U64, offsetof(struct type, m), NULL                          \
	}
#define STR(type, m)                                                           \
	{                                                                      \
		F_STR, offsetof(struct type, m), NULL                          \
	}
#define BOOL(type, m)                                                          \
	{                                                                      \
		F_BOOL, offsetof(struct type, m), NULL                         \
	}
#define LIST(type, m, s)                                                       \
	{                                                                      \
		F_LIST, offsetof(struct type, m), &(s)                         \
	}
#define SHAPE(type, f)                                                         \
	{                                                                      \
#type, sizeof(struct type), f, G_N_ELEMENTS(f)                 \
	}

static const struct msg_field info_fields[] = {STR(memb_info, box),
    STR(memb_info, hall), STR(memb_info, inbox),
    STR(memb_info, forward_address), STR(memb_info, gate_inbox),
    U64(memb_info, started_ms), U64(memb_info, incarnation),
    U64(memb_info, power), U64(memb_info, serving_gates), BOOL(memb_info, dead),
    BOOL(memb_info, leaving), BOOL(memb_info, ready),
    BOOL(memb_info, platform_unreachable)};
static const struct shape info_shape = SHAPE(memb_info, info_fields);

static const struct msg_field u64_fields[] = {U64(msg_u64, v)};
static const struct shape u64_shape = SHAPE(msg_u64, u64_fields);

static const struct msg_field version_fields[] = {STR(msg_version, key),
    U64(msg_version, version), U64(msg_version, rejected_version),
    U64(msg_version, hash)};
static const struct shape version_shape = SHAPE(msg_version, version_fields);

static const struct msg_field key_fields[] = {STR(msg_key, key)};
static const struct shape key_shape = SHAPE(msg_key, key_fields);

static const struct msg_field object_fields[] = {STR(msg_object, key),
    U64(msg_object, version), BOOL(msg_object, deleted), STR(msg_object, spec),
    U64(msg_object, size), U64(msg_object, hash)};
static const struct shape object_shape = SHAPE(msg_object, object_fields);

static const struct msg_field state_fields[] = {
    STR(msg_backend_health, backend), U64(msg_backend_health, state),
    U64(msg_backend_health, probed_ms)};
static const struct shape state_shape = SHAPE(msg_backend_health, state_fields);

static const struct msg_field hello_fields[] = {STR(msg_announcement, self.box),
    STR(msg_announcement, self.hall), STR(msg_announcement, self.inbox),
    STR(msg_announcement, self.forward_address),
    STR(msg_announcement, self.gate_inbox),
    U64(msg_announcement, self.started_ms),
    U64(msg_announcement, self.incarnation), U64(msg_announcement, self.power),
    U64(msg_announcement, self.serving_gates),
    BOOL(msg_announcement, self.dead), BOOL(msg_announcement, self.leaving),
    BOOL(msg_announcement, self.ready),
    BOOL(msg_announcement, self.platform_unreachable),
    U64(msg_announcement, conf_summary.digest),
    U64(msg_announcement, conf_summary.rules_digest),
    U64(msg_announcement, conf_summary.floor),
    BOOL(msg_announcement, conf_summary.rules_only),
    U64(msg_announcement, conf_summary.confirmed_age),
    U64(msg_announcement, hubs_digest), U64(msg_announcement, hall_digest),
    BOOL(msg_announcement, expects_reply),
    LIST(msg_announcement, updates, info_shape)};
static const struct msg_field beat_fields[] = {STR(msg_heartbeat, box),
    U64(msg_heartbeat, started_ms), U64(msg_heartbeat, incarnation),
    U64(msg_heartbeat, hubs_digest), U64(msg_heartbeat, hall_digest),
    U64(msg_heartbeat, conf_summary.digest),
    U64(msg_heartbeat, conf_summary.rules_digest),
    U64(msg_heartbeat, conf_summary.floor),
    BOOL(msg_heartbeat, conf_summary.rules_only),
    U64(msg_heartbeat, conf_summary.confirmed_age),
    BOOL(msg_heartbeat, expects_reply)};
static const struct msg_field buckets_fields[] = {
    BOOL(msg_buckets, rules_only), LIST(msg_buckets, digests, u64_shape)};
static const struct msg_field versions_fields[] = {
    U64(msg_versions, buckets), LIST(msg_versions, versions, version_shape)};
static const struct msg_field want_fields[] = {
    LIST(msg_object_request, keys, key_shape)};
static const struct msg_field objects_fields[] = {
    LIST(msg_objects, objects, object_shape)};
static const struct msg_field members_fields[] = {
    LIST(msg_members, members, info_shape), U64(msg_members, serving_gates),
    BOOL(msg_members, is_hub)};
static const struct msg_field gate_fields[] = {STR(msg_gate_status, box),
    U64(msg_gate_status, started_ms), U64(msg_gate_status, conf_summary.digest),
    U64(msg_gate_status, conf_summary.rules_digest),
    U64(msg_gate_status, conf_summary.floor),
    BOOL(msg_gate_status, conf_summary.rules_only),
    U64(msg_gate_status, conf_summary.confirmed_age),
    U64(msg_gate_status, object_count), BOOL(msg_gate_status, leaving),
    BOOL(msg_gate_status, ready), STR(msg_gate_status, suspect_box)};
static const struct msg_field health_fields[] = {
    LIST(msg_health, states, state_shape)};
static const struct msg_field summary_fields[] = {STR(msg_capacity, service),
    STR(msg_capacity, hall), U64(msg_capacity, slot_tenths),
    U64(msg_capacity, free_slots), U64(msg_capacity, queued)};
static const struct msg_field suspect_fields[] = {
    U64(msg_suspect, fingerprint_hi), U64(msg_suspect, fingerprint_lo),
    U64(msg_suspect, fingerprint_caller), U64(msg_suspect, trials[0]),
    U64(msg_suspect, trials[1]), U64(msg_suspect, crash_age_ms),
    U64(msg_suspect, cleared_age_ms)};
static const struct shape suspect_shape = SHAPE(msg_suspect, suspect_fields);
static const struct msg_field suspects_fields[] = {
    LIST(msg_suspects, suspects, suspect_shape)};
static const struct msg_field word_fields[] = {STR(msg_report, backend),
    U64(msg_report, started_ms), BOOL(msg_report, leaving),
    U64(msg_report, rate_milli), U64(msg_report, age_ms)};
static const struct shape word_shape = SHAPE(msg_report, word_fields);
static const struct msg_field words_fields[] = {
    LIST(msg_reports, reports, word_shape)};
static const struct msg_field roll_fields[] = {STR(msg_rollout, service),
    STR(msg_rollout, hall), STR(msg_rollout, box), STR(msg_rollout, version),
    U64(msg_rollout, age_ms), U64(msg_rollout, state),
    U64(msg_rollout, answers), U64(msg_rollout, failures),
    U64(msg_rollout, old_in_flight)};
static const struct msg_field ask_fields[] = {U64(msg_rate_query, seq),
    STR(msg_rate_query, customer), STR(msg_rate_query, requester),
    BOOL(msg_rate_query, is_retry)};
static const struct msg_field grant_fields[] = {U64(msg_rate_grant, seq),
    BOOL(msg_rate_grant, granted), U64(msg_rate_grant, wait_us)};
static const struct msg_field ping_fields[] = {U64(msg_ping, nonce)};
static const struct msg_field deflated_fields[] = {
    U64(msg_deflated, size), STR(msg_deflated, data)};

static const struct shape shapes[MSG_KIND_MAX] = {
    [MSG_ANNOUNCEMENT] = SHAPE(msg_announcement, hello_fields),
    [MSG_HEARTBEAT] = SHAPE(msg_heartbeat, beat_fields),
    [MSG_BUCKETS] = SHAPE(msg_buckets, buckets_fields),
    [MSG_VERSIONS] = SHAPE(msg_versions, versions_fields),
    [MSG_OBJECT_REQUEST] = SHAPE(msg_object_request, want_fields),
    [MSG_OBJECTS] = SHAPE(msg_objects, objects_fields),
    [MSG_MEMBERS] = SHAPE(msg_members, members_fields),
    [MSG_GATE_STATUS] = SHAPE(msg_gate_status, gate_fields),
    [MSG_HEALTH] = SHAPE(msg_health, health_fields),
    [MSG_CAPACITY] = SHAPE(msg_capacity, summary_fields),
    [MSG_PING] = SHAPE(msg_ping, ping_fields),
    [MSG_PONG] = SHAPE(msg_ping, ping_fields),
    [MSG_DEFLATED] = SHAPE(msg_deflated, deflated_fields),
    [MSG_SUSPECTS] = SHAPE(msg_suspects, suspects_fields),
    [MSG_REPORTS] = SHAPE(msg_reports, words_fields),
    [MSG_ROLLOUT] = SHAPE(msg_rollout, roll_fields),
    [MSG_RATE_QUERY] = SHAPE(msg_rate_query, ask_fields),
    [MSG_RATE_GRANT] = SHAPE(msg_rate_grant, grant_fields),
};

const char *
msg_kind_name(enum msg_kind kind)
{
	return shapes[kind].name;
}

static void
pack_str(msgpack_packer *pk, struct str s)
{
	msgpack_pack_str(pk, s.n);
	msgpack_pack_str_body(pk, s.p, s.n);
}

static void
pack_list(
    msgpack_packer *pk, const struct shape *item, const struct msg_list *list)
{
	size_t i;

	msgpack_pack_array(pk, list->n);
	for (i = 0; i < list->n; i++) {
		msgpack_pack_array(pk, item->n);
		pack_record(
		    pk, item, (const char *)list->items + i * item->size);
	}
}

static void
pack_record(msgpack_packer *pk, const struct shape *shape, const void *rec)
{
	const struct msg_field *f;
	const void *at;
	size_t i;

	for (i = 0; i < shape->n; i++) {
		f = &shape->fields[i];
		at = (const char *)rec + f->offset;
		if (f->kind == F_U64)
			msgpack_pack_uint64(pk, *(const uint64_t *)at);
		else if (f->kind == F_STR)
			pack_str(pk, *(const struct str *)at);
		else if (f->kind == F_LIST)
			pack_list(pk, f->item, at);
		else if (*(const bool *)at)
			msgpack_pack_true(pk);
		else
			msgpack_pack_false(pk);
	}
}

void
msg_encode(const struct msg *m, msgpack_sbuffer *out)
{
	const struct shape *shape = &shapes[m->kind];
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 2 + shape->n);
	msgpack_pack_uint64(&pk, (uint64_t)m->kind);
	pack_str(&pk, m->from);
	pack_record(&pk, shape, &m->u);
}

static bool
unpack_list(
    struct msg *m, const struct shape *item, const msgpack_object *o, void *at)
{
	struct msg_list *list = at;
	const msgpack_object *rec;
	size_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > LIST_MAX)
		return false;
	list->n = o->via.array.size;
	list->items = g_malloc0_n(list->n + 1, item->size);
	g_ptr_array_add(m->arrays, list->items);
	for (i = 0; i < list->n; i++) {
		rec = &o->via.array.ptr[i];
		if (rec->type != MSGPACK_OBJECT_ARRAY ||
		    !unpack_record(m, item, rec->via.array.ptr,
			rec->via.array.size,
			(char *)list->items + i * item->size))
			return false;
	}
	return true;
}

static bool
unpack_field(
    struct msg *m, const struct msg_field *f, const msgpack_object *o, void *at)
{
	switch (f->kind) {
	case F_U64:
		if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		*(uint64_t *)at = o->via.u64;
		return true;
	case F_STR:
		if (o->type != MSGPACK_OBJECT_STR)
			return false;
		*(struct str *)at = str_n(o->via.str.ptr, o->via.str.size);
		return true;
	case F_BOOL:
		if (o->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)at = o->via.boolean;
		return true;
	case F_LIST:
		return unpack_list(m, f->item, o, at);
	}
	return false;
}

/* Elements behind those we know are let pass: a newer peer may add some. */
static bool
unpack_record(struct msg *m, const struct shape *shape,
    const msgpack_object *elems, size_t n, void *rec)
{
	size_t i;

	if (n < shape->n)
		return false;
	for (i = 0; i < shape->n; i++)
		if (!unpack_field(m, &shape->fields[i], &elems[i],
			(char *)rec + shape->fields[i].offset))
			return false;
	return true;
}

bool
msg_decode(const char *p, size_t n, struct msg *m, GError **err)
{
	const msgpack_object *o, *elems;
	size_t off = 0;

	memset(m, 0, sizeof(*m));
	m->arrays = g_ptr_array_new_with_free_func(g_free);
	msgpack_unpacked_init(&m->raw);
	if (msgpack_unpack_next(&m->raw, p, n, &off) != MSGPACK_UNPACK_SUCCESS)
		goto bad;
	o = &m->raw.data;
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 2)
		goto bad;
	elems = o->via.array.ptr;
	if (elems[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    elems[0].via.u64 >= MSG_KIND_MAX ||
	    elems[1].type != MSGPACK_OBJECT_STR)
		goto bad;
	m->kind = (enum msg_kind)elems[0].via.u64;
	m->from = str_n(elems[1].via.str.ptr, elems[1].via.str.size);
	if (unpack_record(
		m, &shapes[m->kind], elems + 2, o->via.array.size - 2, &m->u))
		return true;
bad:
	msg_release(m);
	return err_set(
	    err, ERR_MESSAGE, "a message of %zu bytes is malformed", n);
}

void
msg_release(struct msg *m)
{
	msgpack_unpacked_destroy(&m->raw);
	g_ptr_array_free(m->arrays, TRUE);
}
