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
#include <stdio.h>

#include "libagent.h"
#include "poison_msg.h"

/*
 * Stores the requests that are refused because they crash backend servers in
 * the box's status on the platform, so that they outlive a loss of all boxes.
 * Each box reads all statuses when it starts, so that this costs one write for
 * each request that is proved, and no other call.
 *
 * A status has fingerprints and trial ids as hexadecimal strings, and the time
 * of the last crash in seconds since 1970.  In ms that time would vary with
 * rounding, and an unchanged status would seem to differ from the written one.
 */

enum { HEX_SIZE = 17, HEX_BASE = 16, MS_PER_S = 1000 };

static uint64_t
get_hex(const json_t *o, const char *key)
{
	const char *text = json_string_value(json_object_get(o, key));

	return text == NULL ? 0 : g_ascii_strtoull(text, NULL, HEX_BASE);
}

static void
add_hex(json_t *o, const char *key, uint64_t v)
{
	char text[HEX_SIZE];

	snprintf(text, sizeof(text), "%016llx", (unsigned long long)v);
	json_object_set_new(o, key, json_string(text));
}

void
agent_poison_open(struct agent *a)
{
	a->poison = poison_new(a->clk, a->rnd);
}

static void
send_to_gate(struct agent *a)
{
	struct msg_suspect items[POISON_MSG_RECORDS_MAX];
	struct msg m = {.kind = MSG_SUSPECTS};
	unsigned n = poison_msg_encode(a->poison, clk_ns(a->clk), items);

	m.u.suspects.suspects = (struct msg_list){items, n};
	if (n > 0)
		wire_send(a->wire, a->settings.gate_inbox, &m);
}

/* Merges records of the gate, which has proved a request by its own trials. */
void
agent_poison_merge(struct agent *a, const struct msg_suspects *m)
{
	poison_expire(a->poison);
	poison_msg_merge(a->poison, clk_ns(a->clk), m);
	a->poison_unsaved =
	    a->poison_unsaved || poison_count_proved(a->poison) > 0;
}

static json_t *
record_to_json(struct agent *a, const struct poison_record *rec)
{
	int64_t age_ms = (clk_ns(a->clk) - rec->crashed_at) / NS_MS;
	int64_t crashed_ms = clk_wall_ms(a->clk) - age_ms;
	json_t *o = json_object();

	add_hex(o, "hi", rec->fingerprint.hi);
	add_hex(o, "lo", rec->fingerprint.lo);
	add_hex(o, "caller", rec->fingerprint.caller);
	add_hex(o, "first", rec->trial_ids[0]);
	add_hex(o, "second", rec->trial_ids[1]);
	json_object_set_new(
	    o, "ended_s", json_integer((crashed_ms + MS_PER_S / 2) / MS_PER_S));
	return o;
}

/*
 * Returns the proved requests as a JSON array for the status, which the caller
 * owns; NULL if there are none.
 */
json_t *
agent_poison_spec(struct agent *a)
{
	struct poison_record records[POISON_MSG_RECORDS_MAX];
	unsigned i, n = poison_records(a->poison, records);
	json_t *list = json_array();

	for (i = 0; i < n; i++)
		if (poison_status_of(a->poison, records[i].fingerprint) ==
		    POISON_PROVED)
			json_array_append_new(
			    list, record_to_json(a, &records[i]));
	if (json_array_size(list) > 0)
		return list;
	json_decref(list);
	return NULL;
}

static void
merge_json(struct agent *a, const json_t *o)
{
	int64_t now = clk_ns(a->clk);
	int64_t crashed_s = json_integer_value(json_object_get(o, "ended_s"));
	int64_t age_ms = clk_wall_ms(a->clk) -
	    MIN(crashed_s, INT64_MAX / MS_PER_S) * MS_PER_S;
	struct poison_record rec = {.fingerprint = {get_hex(o, "hi"),
					get_hex(o, "lo"), get_hex(o, "caller")},
	    .trial_ids = {get_hex(o, "first"), get_hex(o, "second")}};

	if (crashed_s <= 0 || age_ms >= POISON_HOLD_NS / NS_MS)
		return;
	rec.crashed_at = now - MAX(age_ms, 0) * NS_MS;
	poison_merge(a->poison, &rec);
}

/* Merges the records in the listed status of a box; `list` may be NULL. */
void
agent_poison_merge_listed(struct agent *a, const json_t *list)
{
	const json_t *o;
	size_t i;

	json_array_foreach (list, i, o)
		merge_json(a, o);
}

/* Called after the whole list of boxes was read, before the gate may serve. */
void
agent_poison_send_to_gate(struct agent *a)
{
	poison_expire(a->poison);
	send_to_gate(a);
}
