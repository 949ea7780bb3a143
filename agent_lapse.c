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
#include "libagent.h"
#include "slog.h"

/*
 * A backend server's entry that is gone from the platform without having
 * drained may have lapsed only because the platform was away; then the
 * backend server writes it anew.  So its deletion is held for a moment, and
 * taken if nothing newer has come by then.
 */

/* Within a drain's time, as the backend server may be leaving unannounced. */
#define HOLD_NS (1 * NS_S)
/* Entries are written anew within two seconds of the platform's return. */
#define HOLD_AFTER_OUTAGE_NS (2200 * NS_MS)

struct agent_lapse {
	struct agent *agent;
	struct str key;
	uint64_t version; /* of the deletion */
	struct tmr_item timer;
};

static void
lapse_free(void *p)
{
	struct agent_lapse *l = p;

	tmr_clear(&l->agent->tmr, &l->timer);
	str_free(&l->key);
	g_free(l);
}

void
agent_deletion_open(struct agent *a)
{
	a->held_deletions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, lapse_free);
}

static void
on_due(void *ctx)
{
	struct agent_lapse *l = ctx;
	struct agent *a = l->agent;
	const struct conf_entry *e = conf_get(a->conf, l->key);
	bool gone = e != NULL && !e->deleted && e->version <= l->version;

	slog(SLOG_WATCH,
	    gone ? "lapsed entry is gone" : "lapsed entry came back",
	    "key=%.*s version=%llu", STR_ARG(l->key),
	    (unsigned long long)l->version);
	a->offer_from_platform = true;
	conf_offer(
	    a->conf, l->key, l->version, true, NULL, STR_LIT("platform"), NULL);
	a->offer_from_platform = false;
	g_hash_table_remove(a->held_deletions, l->key.p);
}

/* True if the deletion of what is in force is held for now. */
bool
agent_deletion_hold(
    struct agent *a, const struct conf_entry *e, uint64_t version)
{
	int64_t now = clk_ns(a->clk), due = now + HOLD_NS;
	struct agent_lapse *l;

	if (e == NULL || e->kind != OBJ_BACKEND || e->obj == NULL ||
	    e->obj->u.backend.drain || version < e->version)
		return false;
	l = g_hash_table_lookup(a->held_deletions, e->key.p);
	if (l != NULL) {
		l->version = MAX(l->version, version);
		return true;
	}
	if (a->platform_up_at != 0)
		due = MAX(due, a->platform_up_at + HOLD_AFTER_OUTAGE_NS);
	l = g_new0(struct agent_lapse, 1);
	l->agent = a;
	l->key = str_dup(e->key);
	l->version = version;
	g_hash_table_insert(a->held_deletions, (char *)l->key.p, l);
	tmr_set(&a->tmr, &l->timer, due, on_due, l);
	slog(SLOG_WATCH, "entry lapsed, deletion is held",
	    "key=%.*s version=%llu hold_ms=%lld", STR_ARG(e->key),
	    (unsigned long long)version, (long long)((due - now) / NS_MS));
	return true;
}
