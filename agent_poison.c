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
 * Requests that are refused because they end backend servers, kept in the
 * box's status on the platform: after a loss of all boxes nobody else could
 * tell those that start.  All boxes read all statuses when they start, so that
 * this costs a write for each request that is proved, and no call besides.
 *
 * A status has them as hexadecimal texts, and the time of the last end in
 * seconds since 1970: in ms it would seem to change from look to look.
 */

enum { HEX_SIZE = 17, HEX_BASE = 16, MS_A_SECOND = 1000 };

static uint64_t
hex_of(const json_t *o, const char *key)
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
tell_gate(struct agent *a)
{
	struct msg_suspect items[POISON_MSG_RECORDS_MAX];
	struct msg m = {.kind = MSG_SUSPECTS};
	unsigned n = poison_msg_encode(a->poison, clk_ns(a->clk), items);

	m.u.suspects.suspects = (struct msg_list){items, n};
	if (n > 0)
		wire_send(a->wire, a->settings.gate_inbox, &m);
}

/* Our gate has proved something, by trials of its own. */
void
agent_poison_merge(struct agent *a, const struct msg_suspects *m)
{
	poison_expire(a->poison);
	poison_msg_merge(a->poison, clk_ns(a->clk), m);
	a->poison_unsaved =
	    a->poison_unsaved || poison_count_proved(a->poison) > 0;
}

static json_t *
word_spec(struct agent *a, const struct poison_record *w)
{
	int64_t ago = (clk_ns(a->clk) - w->crashed_at) / NS_MS;
	int64_t ended = clk_wall_ms(a->clk) - ago;
	json_t *o = json_object();

	add_hex(o, "hi", w->fingerprint.hi);
	add_hex(o, "lo", w->fingerprint.lo);
	add_hex(o, "caller", w->fingerprint.caller);
	add_hex(o, "first", w->trial_ids[0]);
	add_hex(o, "second", w->trial_ids[1]);
	json_object_set_new(o, "ended_s",
	    json_integer((ended + MS_A_SECOND / 2) / MS_A_SECOND));
	return o;
}

/* What is proved, for our status; NULL if there is nothing. */
json_t *
agent_poison_spec(struct agent *a)
{
	struct poison_record words[POISON_MSG_RECORDS_MAX];
	unsigned i, n = poison_records(a->poison, words);
	json_t *list = json_array();

	for (i = 0; i < n; i++)
		if (poison_status_of(a->poison, words[i].fingerprint) ==
		    POISON_PROVED)
			json_array_append_new(list, word_spec(a, &words[i]));
	if (json_array_size(list) > 0)
		return list;
	json_decref(list);
	return NULL;
}

static void
take_word(struct agent *a, const json_t *o)
{
	int64_t now = clk_ns(a->clk);
	int64_t at = json_integer_value(json_object_get(o, "ended_s"));
	int64_t ago = clk_wall_ms(a->clk) - at * MS_A_SECOND;
	struct poison_record w = {.fingerprint = {hex_of(o, "hi"),
				      hex_of(o, "lo"), hex_of(o, "caller")},
	    .trial_ids = {hex_of(o, "first"), hex_of(o, "second")}};

	if (at <= 0 || ago >= POISON_HOLD_NS / NS_MS)
		return;
	w.crashed_at = now - MAX(ago, 0) * NS_MS;
	poison_merge(a->poison, &w);
}

/* The platform listed a box, and what it had proved. */
void
agent_poison_merge_listed(struct agent *a, const json_t *list)
{
	const json_t *o;
	size_t i;

	json_array_foreach (list, i, o)
		take_word(a, o);
}

/* The whole list has been read: our gate is told before it serves. */
void
agent_poison_send_to_gate(struct agent *a)
{
	poison_expire(a->poison);
	tell_gate(a);
}
