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
 * A request with an Idempotency-Key is claimed by a conditional create in
 * the platform's store before it is sent anywhere, so that the same key runs
 * once whichever box it comes in by, and however often.  A create whose
 * answer is lost is settled by reading the claim back: it carries an id of
 * our own.
 */

enum {
	ASKS_MAX = 4, /* creates and read-backs for one claim */
	RELEASES_MAX = 6, /* tries to give a key back */
	CALL_MS = 500
};
#define RELEASE_WAIT_NS (500 * NS_MS)

enum phase { PHASE_CREATE, PHASE_READ, PHASE_HELD, PHASE_RELEASE };

struct gate_claim {
	struct gate *gate;
	enum phase phase;
	char name[40];
	char id[80];
	uint64_t version; /* of the claim once it is ours; 0: not known */
	int asks;
	bool allow_outage;
	bool maybe_there; /* a create may have taken effect */
	gate_claim_fn *done;
	void *ctx;
	struct plat_call *call;
	struct tmr_item timer;
};

static void ask(struct gate_claim *);
static void on_create(void *, enum plat_result, json_t *);
static void on_read(void *, enum plat_result, json_t *);
static void on_release(void *, enum plat_result, json_t *);
static void tell(struct gate_claim *, enum err_kind);
static void release_later(struct gate_claim *);

static const struct str claim_kind = STR_LIT("claim");

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
	    (unsigned long long)g->boot, (unsigned long long)++g->seq);
	c->gate = g;
	c->allow_outage = allow_outage;
	c->done = done;
	c->ctx = ctx;
	cnt_add(g->cnt, GC_CLAIMS, 1);
	ask(c);
	return c;
}

static void
call(struct gate_claim *c, enum plat_op op, json_t *value, plat_done_fn *done)
{
	struct plat_request rq = {
	    .op = op,
	    .kind = claim_kind,
	    .name = str_c(c->name),
	    .version = c->version,
	    .value = value,
	    .timeout_ms = CALL_MS,
	};

	cnt_add(c->gate->cnt, GC_CLAIM_CALLS, 1);
	c->call = plat_start(c->gate->plat, &rq, done, c);
}

static void
ask(struct gate_claim *c)
{
	json_t *value;

	if (c->phase == PHASE_READ) {
		call(c, PLAT_GET, NULL, on_read);
		return;
	}
	value = json_pack("{s:{s:s, s:I}, s:s}", "spec", "box", c->id, "at",
	    (json_int_t)clk_wall_ms(c->gate->clk), "change", c->id);
	call(c, PLAT_CREATE, value, on_create);
	json_decref(value);
}

static void
tell(struct gate_claim *c, enum err_kind kind)
{
	gate_claim_fn *done = c->done;
	void *ctx = c->ctx;
	struct gate *g = c->gate;
	bool ours = kind == ERR_NONE;

	slog_decision(SLOG_CLAIM, "claim", "claim=%s result=%s", c->name,
	    kind == ERR_NONE ? "ours" : err_lookup(kind)->name);
	if (kind == ERR_DUPLICATE)
		cnt_add(g->cnt, GC_DUPLICATES, 1);
	c->phase = PHASE_HELD;
	if (!ours && c->maybe_there && kind != ERR_DUPLICATE)
		gate_claim_release(c);
	else if (!ours)
		gate_claim_keep(c);
	done(ctx, kind, ours);
}

/* The platform cannot say: go on only where the rule allows that. */
static void
unavailable(struct gate_claim *c)
{
	tell(c, c->allow_outage ? ERR_NONE : ERR_CLAIM);
}

static bool
is_ours(struct gate_claim *c, json_t *object)
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
	c->asks++;
	switch (result) {
	case PLAT_OK:
		is_ours(c, body);
		tell(c, ERR_NONE);
		break;
	case PLAT_CONFLICT:
		tell(c,
		    is_ours(c, json_object_get(body, "current"))
			? ERR_NONE
			: ERR_DUPLICATE);
		break;
	case PLAT_UNKNOWN:
		c->maybe_there = true;
		c->phase = PHASE_READ;
		ask(c);
		break;
	default:
		unavailable(c);
		break;
	}
}

static void
on_read(void *ctx, enum plat_result result, json_t *body)
{
	struct gate_claim *c = ctx;

	c->call = NULL;
	c->asks++;
	if (result == PLAT_OK) {
		tell(c, is_ours(c, body) ? ERR_NONE : ERR_DUPLICATE);
	} else if (result == PLAT_NOT_FOUND && c->asks < ASKS_MAX) {
		c->phase = PHASE_CREATE;
		ask(c);
	} else {
		unavailable(c);
	}
}

static void
claim_free(struct gate_claim *c)
{
	if (c->call != NULL)
		plat_cancel(c->gate->plat, c->call);
	tmr_clear(&c->gate->tmr, &c->timer);
	g_free(c);
}

void
gate_claim_keep(struct gate_claim *c)
{
	/* A create that is under way may still take effect, and stays then. */
	claim_free(c);
}

static void
try_release(void *ctx)
{
	struct gate_claim *c = ctx;

	if (c->version > 0)
		call(c, PLAT_DELETE, NULL, on_release);
	else
		call(c, PLAT_GET, NULL, on_release);
}

void
gate_claim_release(struct gate_claim *c)
{
	if (c->call != NULL)
		plat_cancel(c->gate->plat, c->call);
	c->call = NULL;
	c->phase = PHASE_RELEASE;
	c->asks = 0;
	try_release(c);
}

static void
release_later(struct gate_claim *c)
{
	struct gate *g = c->gate;

	if (++c->asks >= RELEASES_MAX) {
		slog(SLOG_CLAIM, "claim stays, it cannot be given back",
		    "claim=%s", c->name);
		claim_free(c);
		return;
	}
	tmr_set(&g->tmr, &c->timer,
	    clk_ns(g->clk) + rnd_jitter(g->rnd, RELEASE_WAIT_NS << c->asks),
	    try_release, c);
}

/* Only a claim with our own id is deleted, and only in that version. */
static void
on_release(void *ctx, enum plat_result result, json_t *body)
{
	struct gate_claim *c = ctx;

	c->call = NULL;
	if (c->version == 0 && result == PLAT_OK && is_ours(c, body)) {
		try_release(c);
		return;
	}
	if (result == PLAT_UNAVAILABLE || result == PLAT_UNKNOWN)
		release_later(c);
	else
		claim_free(c);
}
