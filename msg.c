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
    STR(memb_info, hall), STR(memb_info, inbox), STR(memb_info, pass),
    STR(memb_info, gate_inbox), U64(memb_info, boot), U64(memb_info, beat),
    U64(memb_info, power), U64(memb_info, crowd), BOOL(memb_info, dead),
    BOOL(memb_info, leaving), BOOL(memb_info, ready), BOOL(memb_info, blind)};
static const struct shape info_shape = SHAPE(memb_info, info_fields);

static const struct msg_field u64_fields[] = {U64(msg_u64, v)};
static const struct shape u64_shape = SHAPE(msg_u64, u64_fields);

static const struct msg_field version_fields[] = {STR(msg_version, key),
    U64(msg_version, version), U64(msg_version, bad_version),
    U64(msg_version, hash)};
static const struct shape version_shape = SHAPE(msg_version, version_fields);

static const struct msg_field key_fields[] = {STR(msg_key, key)};
static const struct shape key_shape = SHAPE(msg_key, key_fields);

static const struct msg_field object_fields[] = {STR(msg_object, key),
    U64(msg_object, version), BOOL(msg_object, deleted), STR(msg_object, spec),
    U64(msg_object, size), U64(msg_object, hash)};
static const struct shape object_shape = SHAPE(msg_object, object_fields);

static const struct msg_field state_fields[] = {STR(msg_state_of, backend),
    U64(msg_state_of, state), U64(msg_state_of, at_ms)};
static const struct shape state_shape = SHAPE(msg_state_of, state_fields);

static const struct msg_field hello_fields[] = {STR(msg_hello, self.box),
    STR(msg_hello, self.hall), STR(msg_hello, self.inbox),
    STR(msg_hello, self.pass), STR(msg_hello, self.gate_inbox),
    U64(msg_hello, self.boot), U64(msg_hello, self.beat),
    U64(msg_hello, self.power), U64(msg_hello, self.crowd),
    BOOL(msg_hello, self.dead), BOOL(msg_hello, self.leaving),
    BOOL(msg_hello, self.ready), BOOL(msg_hello, self.blind),
    U64(msg_hello, holds.digest), U64(msg_hello, holds.rules),
    U64(msg_hello, holds.floor), BOOL(msg_hello, holds.partial),
    U64(msg_hello, holds.confirmed), U64(msg_hello, hubs), U64(msg_hello, near),
    BOOL(msg_hello, asks), LIST(msg_hello, others, info_shape)};
static const struct msg_field beat_fields[] = {STR(msg_beat, box),
    U64(msg_beat, boot), U64(msg_beat, beat), U64(msg_beat, hubs),
    U64(msg_beat, near), U64(msg_beat, holds.digest),
    U64(msg_beat, holds.rules), U64(msg_beat, holds.floor),
    BOOL(msg_beat, holds.partial), U64(msg_beat, holds.confirmed),
    BOOL(msg_beat, asks)};
static const struct msg_field buckets_fields[] = {
    BOOL(msg_buckets, partial), LIST(msg_buckets, digests, u64_shape)};
static const struct msg_field versions_fields[] = {
    U64(msg_versions, buckets), LIST(msg_versions, versions, version_shape)};
static const struct msg_field want_fields[] = {LIST(msg_want, keys, key_shape)};
static const struct msg_field objects_fields[] = {
    LIST(msg_objects, objects, object_shape)};
static const struct msg_field members_fields[] = {
    LIST(msg_members, members, info_shape), U64(msg_members, fleet),
    BOOL(msg_members, hub)};
static const struct msg_field gate_fields[] = {STR(msg_gate, box),
    U64(msg_gate, boot), U64(msg_gate, holds.digest),
    U64(msg_gate, holds.rules), U64(msg_gate, holds.floor),
    BOOL(msg_gate, holds.partial), U64(msg_gate, holds.confirmed),
    U64(msg_gate, objects), BOOL(msg_gate, leaving), BOOL(msg_gate, ready),
    STR(msg_gate, doubted)};
static const struct msg_field health_fields[] = {
    LIST(msg_health, states, state_shape)};
static const struct msg_field summary_fields[] = {STR(msg_summary, service),
    STR(msg_summary, hall), U64(msg_summary, slot_tenths),
    U64(msg_summary, free), U64(msg_summary, waiting)};
static const struct msg_field suspect_fields[] = {U64(msg_suspect, print_hi),
    U64(msg_suspect, print_lo), U64(msg_suspect, print_caller),
    U64(msg_suspect, trials[0]), U64(msg_suspect, trials[1]),
    U64(msg_suspect, ended_ms), U64(msg_suspect, cleared_ms)};
static const struct shape suspect_shape = SHAPE(msg_suspect, suspect_fields);
static const struct msg_field suspects_fields[] = {
    LIST(msg_suspects, suspects, suspect_shape)};
static const struct msg_field word_fields[] = {STR(msg_word, backend),
    U64(msg_word, born_ms), BOOL(msg_word, leaves), U64(msg_word, rate_milli),
    U64(msg_word, heard_ms)};
static const struct shape word_shape = SHAPE(msg_word, word_fields);
static const struct msg_field words_fields[] = {
    LIST(msg_words, words, word_shape)};
static const struct msg_field roll_fields[] = {STR(msg_roll, service),
    STR(msg_roll, hall), STR(msg_roll, box), STR(msg_roll, version),
    U64(msg_roll, age_ms), U64(msg_roll, state), U64(msg_roll, answers),
    U64(msg_roll, bad), U64(msg_roll, old_out)};
static const struct msg_field ask_fields[] = {U64(msg_ask, seq),
    STR(msg_ask, customer), STR(msg_ask, asker), BOOL(msg_ask, again)};
static const struct msg_field grant_fields[] = {
    U64(msg_grant, seq), BOOL(msg_grant, granted), U64(msg_grant, wait_us)};
static const struct msg_field ping_fields[] = {U64(msg_ping, nonce)};
static const struct msg_field deflated_fields[] = {
    U64(msg_deflated, size), STR(msg_deflated, data)};

static const struct shape shapes[MSG_KIND_MAX] = {
    [MSG_HELLO] = SHAPE(msg_hello, hello_fields),
    [MSG_BEAT] = SHAPE(msg_beat, beat_fields),
    [MSG_BUCKETS] = SHAPE(msg_buckets, buckets_fields),
    [MSG_VERSIONS] = SHAPE(msg_versions, versions_fields),
    [MSG_WANT] = SHAPE(msg_want, want_fields),
    [MSG_OBJECTS] = SHAPE(msg_objects, objects_fields),
    [MSG_MEMBERS] = SHAPE(msg_members, members_fields),
    [MSG_GATE] = SHAPE(msg_gate, gate_fields),
    [MSG_HEALTH] = SHAPE(msg_health, health_fields),
    [MSG_SUMMARY] = SHAPE(msg_summary, summary_fields),
    [MSG_PING] = SHAPE(msg_ping, ping_fields),
    [MSG_PONG] = SHAPE(msg_ping, ping_fields),
    [MSG_DEFLATED] = SHAPE(msg_deflated, deflated_fields),
    [MSG_SUSPECTS] = SHAPE(msg_suspects, suspects_fields),
    [MSG_WORDS] = SHAPE(msg_words, words_fields),
    [MSG_ROLL] = SHAPE(msg_roll, roll_fields),
    [MSG_ASK] = SHAPE(msg_ask, ask_fields),
    [MSG_GRANT] = SHAPE(msg_grant, grant_fields),
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
	msg_done(m);
	return err_set(
	    err, ERR_MESSAGE, "a message of %zu bytes is malformed", n);
}

void
msg_done(struct msg *m)
{
	msgpack_unpacked_destroy(&m->raw);
	g_ptr_array_free(m->arrays, TRUE);
}
