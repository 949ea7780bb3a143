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

/* suspect_fields lists the elements of `trials` one by one. */
G_STATIC_ASSERT(POISON_TRIALS == 2);

enum field_kind { F_U64, F_STR, F_BOOL, F_LIST };

struct layout;

/* One element of an encoded record, and its offset in the struct. */
struct msg_field {
	enum field_kind kind;
	size_t offset;
	const struct layout *item; /* F_LIST */
};

/* The layout of a record, which is encoded as an array of n elements. */
struct layout {
	const char *name;
	size_t size; /* of the struct */
	const struct msg_field *fields;
	size_t n;
	size_t noptional; /* of the last ones, which older peers leave out */
};

static void pack_record(msgpack_packer *, const struct layout *, const void *);
static bool unpack_record(struct msg *, const struct layout *,
    const msgpack_object *, size_t, void *);
static bool unpack_field(
    struct msg *, const struct msg_field *, const msgpack_object *, void *);
static bool unpack_list(
    struct msg *, const struct layout *, const msgpack_object *, void *);

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
#define LAYOUT_WITH_OPTIONAL(type, f, noptional)                               \
	{                                                                      \
#type, sizeof(struct type), f, G_N_ELEMENTS(f), noptional      \
	}
#define LAYOUT(type, f) LAYOUT_WITH_OPTIONAL(type, f, 0)

static const struct msg_field info_fields[] = {STR(memb_info, box),
    STR(memb_info, hall), STR(memb_info, inbox),
    STR(memb_info, forward_address), STR(memb_info, gate_inbox),
    U64(memb_info, started_ms), U64(memb_info, incarnation),
    U64(memb_info, power), U64(memb_info, serving_gates), BOOL(memb_info, dead),
    BOOL(memb_info, leaving), BOOL(memb_info, ready),
    BOOL(memb_info, platform_unreachable)};
static const struct layout info_layout = LAYOUT(memb_info, info_fields);

static const struct msg_field u64_fields[] = {U64(msg_u64, v)};
static const struct layout u64_layout = LAYOUT(msg_u64, u64_fields);

static const struct msg_field version_fields[] = {STR(msg_version, key),
    U64(msg_version, version), U64(msg_version, rejected_version),
    U64(msg_version, hash), U64(msg_version, epoch),
    U64(msg_version, rejected_epoch)};
static const struct layout version_layout =
    LAYOUT_WITH_OPTIONAL(msg_version, version_fields, 2);

static const struct msg_field key_fields[] = {STR(msg_key, key)};
static const struct layout key_layout = LAYOUT(msg_key, key_fields);

static const struct msg_field object_fields[] = {STR(msg_object, key),
    U64(msg_object, version), BOOL(msg_object, deleted), STR(msg_object, spec),
    U64(msg_object, size), U64(msg_object, hash), U64(msg_object, epoch),
    U64(msg_object, serial)};
static const struct layout object_layout =
    LAYOUT_WITH_OPTIONAL(msg_object, object_fields, 2);

static const struct msg_field backend_health_fields[] = {
    STR(msg_backend_health, backend), U64(msg_backend_health, state),
    U64(msg_backend_health, probed_ms), U64(msg_backend_health, cold_ms)};
static const struct layout backend_health_layout =
    LAYOUT_WITH_OPTIONAL(msg_backend_health, backend_health_fields, 1);

static const struct msg_field announcement_fields[] = {
    STR(msg_announcement, self.box), STR(msg_announcement, self.hall),
    STR(msg_announcement, self.inbox),
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
    LIST(msg_announcement, updates, info_layout),
    U64(msg_announcement, conf_summary.epoch)};
static const struct msg_field heartbeat_fields[] = {STR(msg_heartbeat, box),
    U64(msg_heartbeat, started_ms), U64(msg_heartbeat, incarnation),
    U64(msg_heartbeat, hubs_digest), U64(msg_heartbeat, hall_digest),
    U64(msg_heartbeat, conf_summary.digest),
    U64(msg_heartbeat, conf_summary.rules_digest),
    U64(msg_heartbeat, conf_summary.floor),
    BOOL(msg_heartbeat, conf_summary.rules_only),
    U64(msg_heartbeat, conf_summary.confirmed_age),
    BOOL(msg_heartbeat, expects_reply), U64(msg_heartbeat, conf_summary.epoch)};
static const struct msg_field buckets_fields[] = {
    BOOL(msg_buckets, rules_only), LIST(msg_buckets, digests, u64_layout)};
static const struct msg_field versions_fields[] = {
    U64(msg_versions, buckets), LIST(msg_versions, versions, version_layout)};
static const struct msg_field object_request_fields[] = {
    LIST(msg_object_request, keys, key_layout)};
static const struct msg_field objects_fields[] = {
    LIST(msg_objects, objects, object_layout)};
static const struct msg_field members_fields[] = {
    LIST(msg_members, members, info_layout), U64(msg_members, serving_gates),
    BOOL(msg_members, is_hub)};
static const struct msg_field gate_status_fields[] = {STR(msg_gate_status, box),
    U64(msg_gate_status, started_ms), U64(msg_gate_status, conf_summary.digest),
    U64(msg_gate_status, conf_summary.rules_digest),
    U64(msg_gate_status, conf_summary.floor),
    BOOL(msg_gate_status, conf_summary.rules_only),
    U64(msg_gate_status, conf_summary.confirmed_age),
    U64(msg_gate_status, object_count), BOOL(msg_gate_status, leaving),
    BOOL(msg_gate_status, ready), STR(msg_gate_status, suspect_box),
    U64(msg_gate_status, conf_summary.epoch)};
static const struct msg_field health_fields[] = {
    LIST(msg_health, states, backend_health_layout)};
static const struct msg_field capacity_fields[] = {STR(msg_capacity, service),
    STR(msg_capacity, hall), U64(msg_capacity, slot_tenths),
    U64(msg_capacity, free_slots), U64(msg_capacity, queued)};
static const struct msg_field suspect_fields[] = {
    U64(msg_suspect, fingerprint_hi), U64(msg_suspect, fingerprint_lo),
    U64(msg_suspect, fingerprint_caller), U64(msg_suspect, trials[0]),
    U64(msg_suspect, trials[1]), U64(msg_suspect, crash_age_ms),
    U64(msg_suspect, cleared_age_ms)};
static const struct layout suspect_layout = LAYOUT(msg_suspect, suspect_fields);
static const struct msg_field suspects_fields[] = {
    LIST(msg_suspects, suspects, suspect_layout)};
static const struct msg_field report_fields[] = {STR(msg_report, backend),
    U64(msg_report, started_ms), BOOL(msg_report, leaving),
    U64(msg_report, rate_milli), U64(msg_report, age_ms)};
static const struct layout report_layout = LAYOUT(msg_report, report_fields);
static const struct msg_field reports_fields[] = {
    LIST(msg_reports, reports, report_layout)};
static const struct msg_field rollout_fields[] = {STR(msg_rollout, service),
    STR(msg_rollout, hall), STR(msg_rollout, box), STR(msg_rollout, version),
    U64(msg_rollout, age_ms), U64(msg_rollout, state),
    U64(msg_rollout, responses), U64(msg_rollout, failures),
    U64(msg_rollout, old_in_flight), U64(msg_rollout, fails_more_milli),
    U64(msg_rollout, slow_more_milli), U64(msg_rollout, slow_often_milli)};
static const struct msg_field rate_query_fields[] = {U64(msg_rate_query, seq),
    STR(msg_rate_query, customer), STR(msg_rate_query, requester),
    BOOL(msg_rate_query, is_retry), STR(msg_rate_query, hall),
    STR(msg_rate_query, counts)};
static const struct msg_field rate_grant_fields[] = {U64(msg_rate_grant, seq),
    BOOL(msg_rate_grant, granted), U64(msg_rate_grant, wait_us),
    U64(msg_rate_grant, started_ms)};
static const struct msg_field server_state_fields[] = {
    STR(msg_server_state, name), U64(msg_server_state, started_ms),
    U64(msg_server_state, inflight), U64(msg_server_state, state),
    U64(msg_server_state, eject_ms), U64(msg_server_state, cold_ms),
    U64(msg_server_state, pause_ms), BOOL(msg_server_state, cold_reported),
    U64(msg_server_state, ratio_milli)};
static const struct layout server_state_layout =
    LAYOUT(msg_server_state, server_state_fields);
static const struct msg_field work_state_fields[] = {U64(msg_work_state, kind),
    U64(msg_work_state, step), U64(msg_work_state, mean_us),
    U64(msg_work_state, samples)};
static const struct layout work_state_layout =
    LAYOUT(msg_work_state, work_state_fields);
static const struct msg_field shard_state_fields[] = {
    STR(msg_shard_state, service), STR(msg_shard_state, hall),
    U64(msg_shard_state, started_ms), U64(msg_shard_state, seq),
    U64(msg_shard_state, retry_milli), U64(msg_shard_state, mean_us),
    LIST(msg_shard_state, servers, server_state_layout),
    LIST(msg_shard_state, work, work_state_layout)};
static const struct msg_field rate_record_fields[] = {
    STR(msg_rate_record, customer), STR(msg_rate_record, granter),
    U64(msg_rate_record, started_ms), U64(msg_rate_record, granted),
    U64(msg_rate_record, returned), U64(msg_rate_record, age_us),
    STR(msg_rate_record, counts)};
static const struct layout rate_record_layout =
    LAYOUT(msg_rate_record, rate_record_fields);
static const struct msg_field rate_usage_fields[] = {U64(msg_rate_usage, kind),
    U64(msg_rate_usage, started_ms), BOOL(msg_rate_usage, is_listed),
    BOOL(msg_rate_usage, is_informed),
    LIST(msg_rate_usage, records, rate_record_layout)};
static const struct msg_field ping_fields[] = {U64(msg_ping, nonce)};
static const struct msg_field attempt_end_fields[] = {
    U64(msg_attempt_end, lease), U64(msg_attempt_end, outcome)};
static const struct msg_field deflated_fields[] = {
    U64(msg_deflated, size), STR(msg_deflated, data)};

static const struct layout layouts[MSG_KIND_MAX] = {
    [MSG_ANNOUNCEMENT] =
	LAYOUT_WITH_OPTIONAL(msg_announcement, announcement_fields, 1),
    [MSG_HEARTBEAT] = LAYOUT_WITH_OPTIONAL(msg_heartbeat, heartbeat_fields, 1),
    [MSG_BUCKETS] = LAYOUT(msg_buckets, buckets_fields),
    [MSG_VERSIONS] = LAYOUT(msg_versions, versions_fields),
    [MSG_OBJECT_REQUEST] = LAYOUT(msg_object_request, object_request_fields),
    [MSG_OBJECTS] = LAYOUT(msg_objects, objects_fields),
    [MSG_MEMBERS] = LAYOUT(msg_members, members_fields),
    [MSG_GATE_STATUS] =
	LAYOUT_WITH_OPTIONAL(msg_gate_status, gate_status_fields, 1),
    [MSG_HEALTH] = LAYOUT(msg_health, health_fields),
    [MSG_CAPACITY] = LAYOUT(msg_capacity, capacity_fields),
    [MSG_PING] = LAYOUT(msg_ping, ping_fields),
    [MSG_PONG] = LAYOUT(msg_ping, ping_fields),
    [MSG_DEFLATED] = LAYOUT(msg_deflated, deflated_fields),
    [MSG_SUSPECTS] = LAYOUT(msg_suspects, suspects_fields),
    [MSG_REPORTS] = LAYOUT(msg_reports, reports_fields),
    [MSG_ROLLOUT] = LAYOUT_WITH_OPTIONAL(msg_rollout, rollout_fields, 3),
    [MSG_RATE_QUERY] =
	LAYOUT_WITH_OPTIONAL(msg_rate_query, rate_query_fields, 2),
    [MSG_RATE_GRANT] =
	LAYOUT_WITH_OPTIONAL(msg_rate_grant, rate_grant_fields, 1),
    [MSG_SHARD_STATE] = LAYOUT(msg_shard_state, shard_state_fields),
    [MSG_RATE_USAGE] = LAYOUT(msg_rate_usage, rate_usage_fields),
    [MSG_ATTEMPT_END] = LAYOUT(msg_attempt_end, attempt_end_fields),
};

const char *
msg_kind_name(enum msg_kind kind)
{
	return layouts[kind].name;
}

static void
pack_str(msgpack_packer *pk, struct str s)
{
	msgpack_pack_str(pk, s.n);
	msgpack_pack_str_body(pk, s.p, s.n);
}

static void
pack_list(
    msgpack_packer *pk, const struct layout *item, const struct msg_list *list)
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
pack_record(msgpack_packer *pk, const struct layout *layout, const void *record)
{
	const struct msg_field *f;
	const void *field;
	size_t i;

	for (i = 0; i < layout->n; i++) {
		f = &layout->fields[i];
		field = (const char *)record + f->offset;
		if (f->kind == F_U64)
			msgpack_pack_uint64(pk, *(const uint64_t *)field);
		else if (f->kind == F_STR)
			pack_str(pk, *(const struct str *)field);
		else if (f->kind == F_LIST)
			pack_list(pk, f->item, field);
		else if (*(const bool *)field)
			msgpack_pack_true(pk);
		else
			msgpack_pack_false(pk);
	}
}

void
msg_encode(const struct msg *m, msgpack_sbuffer *out)
{
	const struct layout *layout = &layouts[m->kind];
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 2 + layout->n);
	msgpack_pack_uint64(&pk, (uint64_t)m->kind);
	pack_str(&pk, m->from);
	pack_record(&pk, layout, &m->u);
}

static bool
unpack_list(struct msg *m, const struct layout *item, const msgpack_object *o,
    void *field)
{
	struct msg_list *list = field;
	const msgpack_object *record;
	size_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > LIST_MAX)
		return false;
	list->n = o->via.array.size;
	list->items = g_malloc0_n(list->n + 1, item->size);
	g_ptr_array_add(m->arrays, list->items);
	for (i = 0; i < list->n; i++) {
		record = &o->via.array.ptr[i];
		if (record->type != MSGPACK_OBJECT_ARRAY ||
		    !unpack_record(m, item, record->via.array.ptr,
			record->via.array.size,
			(char *)list->items + i * item->size))
			return false;
	}
	return true;
}

static bool
unpack_field(struct msg *m, const struct msg_field *f, const msgpack_object *o,
    void *field)
{
	switch (f->kind) {
	case F_U64:
		if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		*(uint64_t *)field = o->via.u64;
		return true;
	case F_STR:
		if (o->type != MSGPACK_OBJECT_STR)
			return false;
		*(struct str *)field = str_n(o->via.str.ptr, o->via.str.size);
		return true;
	case F_BOOL:
		if (o->type != MSGPACK_OBJECT_BOOLEAN)
			return false;
		*(bool *)field = o->via.boolean;
		return true;
	case F_LIST:
		return unpack_list(m, f->item, o, field);
	}
	return false;
}

/*
 * Ignores further elements after the known ones: a newer peer may add some.
 * Optional elements that are not there stay zero.
 */
static bool
unpack_record(struct msg *m, const struct layout *layout,
    const msgpack_object *elements, size_t n, void *record)
{
	size_t i;

	if (n < layout->n - layout->noptional)
		return false;
	for (i = 0; i < MIN(n, layout->n); i++)
		if (!unpack_field(m, &layout->fields[i], &elements[i],
			(char *)record + layout->fields[i].offset))
			return false;
	return true;
}

bool
msg_decode(const char *p, size_t n, struct msg *m, GError **err)
{
	const msgpack_object *o, *elements;
	size_t off = 0;

	memset(m, 0, sizeof(*m));
	m->arrays = g_ptr_array_new_with_free_func(g_free);
	msgpack_unpacked_init(&m->raw);
	if (msgpack_unpack_next(&m->raw, p, n, &off) != MSGPACK_UNPACK_SUCCESS)
		goto bad;
	o = &m->raw.data;
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 2)
		goto bad;
	elements = o->via.array.ptr;
	if (elements[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    elements[0].via.u64 >= MSG_KIND_MAX ||
	    elements[1].type != MSGPACK_OBJECT_STR)
		goto bad;
	m->kind = (enum msg_kind)elements[0].via.u64;
	m->from = str_n(elements[1].via.str.ptr, elements[1].via.str.size);
	if (unpack_record(m, &layouts[m->kind], elements + 2,
		o->via.array.size - 2, &m->u))
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
