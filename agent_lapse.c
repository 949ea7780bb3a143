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
 * The entry of a backend server that disappears from the platform without a
 * drain may have expired only because the backend server could not renew it
 * during an outage of the platform.  The backend server then writes it again.
 * So the deletion is held for a short time, and applied if no newer version
 * has arrived by then.
 */

/* Shorter than a drain, as the backend server may be leaving unannounced. */
#define HOLD_NS (1 * NS_S)
/* Entries are written again within two seconds of the end of an outage. */
#define HOLD_AFTER_OUTAGE_NS (2200 * NS_MS)

struct held_deletion {
	struct agent *agent;
	struct str key;
	uint64_t version; /* revision of the deletion */
	struct tmr_item timer;
};

static void
held_deletion_free(void *p)
{
	struct held_deletion *held = p;

	tmr_clear(&held->agent->tmr, &held->timer);
	str_free(&held->key);
	g_free(held);
}

void
agent_deletion_open(struct agent *a)
{
	a->held_deletions = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, held_deletion_free);
}

static void
apply_deletion(void *ctx)
{
	struct held_deletion *held = ctx;
	struct agent *a = held->agent;
	const struct conf_entry *e = conf_get(a->conf, held->key);
	struct conf_object deletion = {
	    .key = held->key, .version = held->version, .deleted = true};
	bool still_missing =
	    e != NULL && !e->deleted && e->version <= held->version;

	slog(SLOG_WATCH,
	    still_missing ? "lapsed entry is gone" : "lapsed entry came back",
	    "key=%.*s version=%llu", STR_ARG(held->key),
	    (unsigned long long)held->version);
	a->offer_from_platform = true;
	conf_offer(a->conf, &deletion, STR_LIT("platform"), NULL);
	a->offer_from_platform = false;
	g_hash_table_remove(a->held_deletions, held->key.p);
}

/*
 * Called for a deletion of `e` at `version`, before it is applied.  Returns
 * true if the deletion is held, and the caller must not apply it.
 */
bool
agent_deletion_hold(
    struct agent *a, const struct conf_entry *e, uint64_t version)
{
	int64_t now = clk_ns(a->clk), apply_at = now + HOLD_NS;
	struct held_deletion *held;

	if (e == NULL || e->kind != OBJ_BACKEND || e->obj == NULL ||
	    e->obj->u.backend.drain || version < e->version)
		return false;
	held = g_hash_table_lookup(a->held_deletions, e->key.p);
	if (held != NULL) {
		held->version = MAX(held->version, version);
		return true;
	}
	if (a->platform_up_at != 0)
		apply_at =
		    MAX(apply_at, a->platform_up_at + HOLD_AFTER_OUTAGE_NS);
	if (a->restored_at != 0)
		apply_at = MAX(apply_at, a->restored_at + AGENT_RESTORE_NS);
	held = g_new0(struct held_deletion, 1);
	held->agent = a;
	held->key = str_dup(e->key);
	held->version = version;
	g_hash_table_insert(a->held_deletions, (char *)held->key.p, held);
	tmr_set(&a->tmr, &held->timer, apply_at, apply_deletion, held);
	slog(SLOG_WATCH, "entry lapsed, deletion is held",
	    "key=%.*s version=%llu hold_ms=%lld", STR_ARG(e->key),
	    (unsigned long long)version, (long long)((apply_at - now) / NS_MS));
	return true;
}
