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
#include <stdio.h>
#include <xxhash.h>

#include "libgate.h"
#include "slog.h"

/*
 * A request with an Idempotency-Key is claimed by a conditional create in the
 * platform's store before it is sent anywhere.  So requests with the same key
 * run once, whichever boxes receive them and however often they come.  If the
 * response to a create is lost, the claim is read back: it carries an id that
 * is unique to the request.
 */

enum {
	CALLS_MAX = 4, /* creates and reads for one claim */
	RELEASES_MAX = 6, /* attempts to delete a claim */
	CALL_TIMEOUT_MS = 500
};
#define RELEASE_BACKOFF_NS (500 * NS_MS)

enum phase { PHASE_CREATE, PHASE_READ, PHASE_CLAIMED, PHASE_RELEASE };

struct gate_claim {
	struct gate *gate;
	enum phase phase;
	char name[40];
	char id[80];
	/* Of the claim that this request created; 0: not known. */
	uint64_t version;
	int calls;
	bool allow_outage;
	/* A create of unknown outcome may have taken effect. */
	bool maybe_there;
	bool called; /* the platform was called for it */
	struct claim_record *record; /* see gate_renew.c; NULL: none */
	gate_claim_fn *done;
	void *ctx;
	struct plat_call *call;
	struct tmr_item timer;
};

static void refuse(void *);
static void create_or_read(struct gate_claim *);
static void on_create(void *, enum plat_result, json_t *);
static void on_read(void *, enum plat_result, json_t *);
static void on_release(void *, enum plat_result, json_t *);
static void finish(struct gate_claim *, enum err_kind);
static void retry_release(struct gate_claim *);

static const struct str claim_kind = STR_LIT("claim");

/*
 * After a restore of the platform, claims may be missing until all gates have
 * written theirs again.
 */
static bool
is_refused_now(struct gate_claim *c)
{
	return !c->allow_outage && gate_renew_hold_left(c->gate) > 0;
}

struct gate_claim *
gate_claim_start(struct gate *g, struct str rule, struct str key,
    bool allow_outage, gate_claim_fn *done, void *ctx)
{
	struct gate_claim *c = g_new0(struct gate_claim, 1);
	XXH128_hash_t h;

	h = XXH3_128bits_withSeed(key.p, key.n, XXH3_64bits(rule.p, rule.n));
	snprintf(c->name, sizeof(c->name), "%016llx%016llx",
	    (unsigned long long)h.high64, (unsigned long long)h.low64);
	snprintf(c->id, sizeof(c->id), "%.*s-%llu-%llu",
	    (int)MIN(g->settings.box.n, 32), g->settings.box.p,
	    (unsigned long long)g->started_ms,
	    (unsigned long long)++g->last_seq);
	c->gate = g;
	c->allow_outage = allow_outage;
	c->done = done;
	c->ctx = ctx;
	cnt_add(g->cnt, GC_CLAIMS, 1);
	if (is_refused_now(c))
		tmr_set(&g->tmr, &c->timer, clk_ns(g->clk), refuse, c);
	else
		create_or_read(c);
	return c;
}

json_t *
gate_claim_value(const struct gate *g, const char *id)
{
	return json_pack("{s:{s:s, s:I}, s:s}", "spec", "box", id, "at",
	    (json_int_t)clk_wall_ms(g->clk), "change", id);
}

static void
start_call(
    struct gate_claim *c, enum plat_op op, json_t *value, plat_done_fn *done)
{
	struct plat_request rq = {
	    .op = op,
	    .kind = claim_kind,
	    .name = str_c(c->name),
	    .version = c->version,
	    .value = value,
	    .timeout_ms = CALL_TIMEOUT_MS,
	};

	cnt_add(c->gate->cnt, GC_CLAIM_CALLS, 1);
	c->called = true;
	c->call = plat_start(c->gate->plat, &rq, done, c);
}

static void
create_or_read(struct gate_claim *c)
{
	json_t *value;

	if (c->phase == PHASE_READ) {
		start_call(c, PLAT_GET, NULL, on_read);
		return;
	}
	value = gate_claim_value(c->gate, c->id);
	start_call(c, PLAT_CREATE, value, on_create);
	json_decref(value);
}

static void
finish(struct gate_claim *c, enum err_kind kind)
{
	gate_claim_fn *done = c->done;
	void *ctx = c->ctx;
	struct gate *g = c->gate;
	bool claimed = kind == ERR_NONE;

	slog_decision(SLOG_CLAIM, "claim", "claim=%s result=%s", c->name,
	    kind == ERR_NONE ? "ours" : err_lookup(kind)->name);
	if (kind == ERR_DUPLICATE)
		cnt_add(g->cnt, GC_DUPLICATES, 1);
	c->phase = PHASE_CLAIMED;
	if (!claimed && c->maybe_there && kind != ERR_DUPLICATE)
		gate_claim_release(c);
	else if (!claimed)
		gate_claim_keep(c);
	done(ctx, kind, claimed);
}

/*
 * The platform did not give a usable answer: the request only runs if its rule
 * allows that.
 */
static void
store_unavailable(struct gate_claim *c)
{
	finish(c, c->allow_outage ? ERR_NONE : ERR_CLAIM);
}

static void
refuse(void *ctx)
{
	finish(ctx, ERR_CLAIM);
}

/*
 * The claim in the store is this request's.  If the platform was restored while
 * it was made, that of another request with the same key may be missing.
 */
static void
finish_claimed(struct gate_claim *c)
{
	if (is_refused_now(c)) {
		c->maybe_there = true;
		refuse(c);
		return;
	}
	gate_renew_add(c->gate, c->name, c->id, &c->record);
	finish(c, ERR_NONE);
}

/* The claim in the store is another request's, which may have ended since. */
static void
finish_duplicate(struct gate_claim *c)
{
	finish(c, is_refused_now(c) ? ERR_CLAIM : ERR_DUPLICATE);
}

/*
 * Returns whether a claim in the store is the one of this request; if so, its
 * version is noted.
 */
static bool
is_own_claim(struct gate_claim *c, json_t *object)
{
	const char *id = json_string_value(json_object_get(object, "change"));

	if (id == NULL || strcmp(id, c->id) != 0)
		return false;
	c->version =
	    (uint64_t)json_integer_value(json_object_get(object, "version"));
	return true;
}

static void
on_create(void *ctx, enum plat_result result, json_t *body)
{
	struct gate_claim *c = ctx;

	c->call = NULL;
	c->calls++;
	switch (result) {
	case PLAT_OK:
		is_own_claim(c, body);
		finish_claimed(c);
		break;
	case PLAT_CONFLICT:
		if (is_own_claim(c, json_object_get(body, "current")))
			finish_claimed(c);
		else
			finish_duplicate(c);
		break;
	case PLAT_UNKNOWN:
		c->maybe_there = true;
		c->phase = PHASE_READ;
		create_or_read(c);
		break;
	default:
		store_unavailable(c);
		break;
	}
}

static void
on_read(void *ctx, enum plat_result result, json_t *body)
{
	struct gate_claim *c = ctx;

	c->call = NULL;
	c->calls++;
	if (result == PLAT_OK && is_own_claim(c, body)) {
		finish_claimed(c);
	} else if (result == PLAT_OK) {
		finish_duplicate(c);
	} else if (result == PLAT_NOT_FOUND && c->calls < CALLS_MAX) {
		c->phase = PHASE_CREATE;
		create_or_read(c);
	} else {
		store_unavailable(c);
	}
}

static void
claim_free(struct gate_claim *c)
{
	if (c->call != NULL)
		plat_cancel(c->gate->plat, c->call);
	tmr_clear(&c->gate->tmr, &c->timer);
	gate_renew_forget_holder(c->record);
	g_free(c);
}

void
gate_claim_keep(struct gate_claim *c)
{
	/*
	 * A create in flight may still take effect; its claim then stays in the
	 * store.
	 */
	claim_free(c);
}

static void
delete_claim(void *ctx)
{
	struct gate_claim *c = ctx;

	if (c->version > 0)
		start_call(c, PLAT_DELETE, NULL, on_release);
	else
		start_call(c, PLAT_GET, NULL, on_release);
}

void
gate_claim_release(struct gate_claim *c)
{
	if (c->call != NULL)
		plat_cancel(c->gate->plat, c->call);
	c->call = NULL;
	c->phase = PHASE_RELEASE;
	c->calls = 0;
	gate_renew_released(c->record);
	if (c->called)
		delete_claim(c);
	else
		claim_free(c);
}

static void
retry_release(struct gate_claim *c)
{
	struct gate *g = c->gate;

	if (++c->calls >= RELEASES_MAX) {
		slog(SLOG_CLAIM,
		    "claim cannot be deleted and stays in the store",
		    "claim=%s", c->name);
		claim_free(c);
		return;
	}
	tmr_set(&g->tmr, &c->timer,
	    clk_ns(g->clk) + rnd_jitter(g->rnd, RELEASE_BACKOFF_NS << c->calls),
	    delete_claim, c);
}

/*
 * A claim is only deleted if it has this request's id, and only in that
 * version.  It has another version if it was renewed after a restore of the
 * platform.
 */
static void
on_release(void *ctx, enum plat_result result, json_t *body)
{
	struct gate_claim *c = ctx;

	c->call = NULL;
	if (c->version == 0 && result == PLAT_OK && is_own_claim(c, body)) {
		delete_claim(c);
		return;
	}
	if (c->version > 0 && result == PLAT_CONFLICT &&
	    ++c->calls < RELEASES_MAX) {
		c->version = 0;
		delete_claim(c);
		return;
	}
	if (result == PLAT_UNAVAILABLE || result == PLAT_UNKNOWN)
		retry_release(c);
	else
		claim_free(c);
}
