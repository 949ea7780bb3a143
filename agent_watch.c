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

#include "libagent.h"
#include "slog.h"

/*
 * Few boxes of each hall watch the platform; the others learn from them.  A
 * box lists by itself only if it is a watcher, or if no peer has given it a
 * complete configuration soon after its start.
 */

#define RECHECK_NS (1 * NS_S)
#define BACKOFF_FIRST_NS (250 * NS_MS)
/* Boxes that start know each other sooner than that. */
#define FIRST_WATCH_NS (1 * NS_S)
#define BOXES_OTHER_NS (60 * NS_S)
#define STATUS_SOON_NS (300 * NS_MS)
#define STATUS_AGAIN_NS (60 * NS_S)
/* Statuses of all boxes together: at most so many writes a second. */
#define STATUS_FLEET_RATE 150

enum {
	LIST_TIMEOUT_MS = 2000, /* a page; a slow store takes some 250 ms */
	BACKOFF_SHIFT_MAX = 7,
	STATUS_PATIENCE = 4 /* a status may wait longer than a list */
};

static void watch_soon(struct agent_feed *, int64_t);
static void on_watch_due(void *);
static void on_list(void *, enum plat_result, json_t *);
static void on_watch(void *, enum plat_result, json_t *);
static void on_boxes_due(void *);
static void on_boxes(void *, enum plat_result, json_t *);
static void on_status_due(void *);
static void on_status(void *, enum plat_result, json_t *);

/* Start a call if the budget has one; NULL if it must be put off. */
static struct plat_call *
call(struct agent *a, const struct plat_request *rq, plat_done_fn *done,
    void *ctx)
{
	if (!limit_take(&a->plat_budget, (double)a->set.platform_rate,
		clk_ns(a->clk))) {
		cnt_add(a->cnt, AC_PLATFORM_PUT_OFF, 1);
		return NULL;
	}
	cnt_add(a->cnt, AC_PLATFORM_CALLS, 1);
	return plat_start(a->plat, rq, done, ctx);
}

static int64_t
backoff(struct agent *a, int fails)
{
	int64_t ns = BACKOFF_FIRST_NS << MIN(fails, BACKOFF_SHIFT_MAX);

	return rnd_jitter(a->rnd, MIN(ns, a->set.retry_ms * NS_MS));
}

/* What was left to the first feed's calls goes on. */
static void
resume_calls(struct agent *a)
{
	int64_t now = clk_ns(a->clk);
	struct agent_feed *f;
	unsigned i;

	for (i = 0; i < a->nfeeds; i++) {
		f = &a->feeds[i];
		/* A call of before the outage may never be answered. */
		if (f->call != NULL)
			plat_cancel(a->plat, f->call);
		if (f->call != NULL || (i > 0 && !f->timer.set))
			watch_soon(f, 0);
		f->call = NULL;
	}
	if (a->boxes_call == NULL && !a->boxes_timer.set)
		tmr_set(&a->tmr, &a->boxes_timer, now, on_boxes_due, a);
	if (a->status_call == NULL && !a->status_timer.set)
		agent_status_soon(a);
}

static void
note_result(struct agent *a, enum plat_result result)
{
	bool up = result != PLAT_DOWN && result != PLAT_UNSURE;

	if (!up)
		cnt_add(a->cnt, AC_PLATFORM_DOWN, 1);
	if (up && !a->platform_up)
		a->platform_back = clk_ns(a->clk);
	if (up != a->platform_up)
		slog(SLOG_WATCH,
		    up ? "platform answers again" : "platform does not answer",
		    "platform=%s result=%s", a->set.platform.p,
		    plat_result_name(result));
	if (up != a->platform_up)
		agent_peer_blind(a, !up);
	a->platform_up = up;
	if (up)
		resume_calls(a);
}

/*
 * While the platform is away, the first feed's calls find out when it is
 * back, and all others wait; each call has its price, a refused one too.
 */
static bool
first_feed_asks(struct agent *a)
{
	return !a->platform_up && a->feeds[0].listed_at == 0 &&
	    (agent_is_watcher(a) || conf_floor(a->conf) == 0);
}

/*
 * Is a box one of its hall's that watch the platform?  The strong ones come
 * first: they read and hand on a list while a weak one still parses it.
 */
bool
agent_watches(struct agent *a, const struct memb_info *box)
{
	return memb_ranks_first(a->memb, box, STR_LIT("watch"), box->hall,
	    (int)a->set.watchers, true);
}

bool
agent_is_watcher(struct agent *a)
{
	return agent_watches(a, memb_self(a->memb));
}

/* The kinds that a feed's text names, as bits. */
static unsigned
mask_of(const char *kinds)
{
	char **names = g_strsplit(kinds, ",", -1);
	enum obj_kind kind;
	unsigned mask = 0;
	int i;

	for (i = 0; names[i] != NULL; i++)
		if (obj_kind_by_name(str_c(names[i]), &kind))
			mask |= 1u << kind;
	g_strfreev(names);
	return mask;
}

void
agent_watch_open(struct agent *a)
{
	struct agent_feed *f;
	unsigned i;

	a->platform_up = true;
	tmr_set(&a->tmr, &a->boxes_timer, clk_ns(a->clk), on_boxes_due, a);
	for (i = 0; i < AGENT_FEEDS_MAX && a->form->feeds[i] != NULL; i++) {
		f = &a->feeds[i];
		f->agent = a;
		f->kinds = a->form->feeds[i];
		f->mask = mask_of(f->kinds);
		watch_soon(f, rnd_jitter(a->rnd, a->set.first_ms * NS_MS));
	}
	a->nfeeds = i;
}

/* After a pause nothing that we held of the platform is taken for new. */
void
agent_watch_resume(struct agent *a)
{
	struct agent_feed *f;
	unsigned i;

	for (i = 0; i < a->nfeeds; i++) {
		f = &a->feeds[i];
		if (f->call != NULL)
			plat_cancel(a->plat, f->call);
		f->call = NULL;
		f->listed_at = 0;
		watch_soon(f, 0);
	}
}

static void
watch_soon(struct agent_feed *f, int64_t in)
{
	struct agent *a = f->agent;

	tmr_set(&a->tmr, &f->timer, clk_ns(a->clk) + in, on_watch_due, f);
}

/*
 * The first list may be a stale one: a watch goes on from its revision, or
 * peers tell what is newer.
 */
static void
start_list(struct agent_feed *f)
{
	struct plat_request rq = {.op = PLAT_LIST,
	    .kind = str_c(f->kinds),
	    .stale = f->complete == 0,
	    .timeout_ms = LIST_TIMEOUT_MS};

	f->call = call(f->agent, &rq, on_list, f);
	if (f->call == NULL)
		watch_soon(f, rnd_jitter(f->agent->rnd, RECHECK_NS));
}

static void
start_watch(struct agent_feed *f)
{
	struct agent *a = f->agent;
	struct plat_request rq = {.op = PLAT_WATCH,
	    .kind = str_c(f->kinds),
	    .version = f->since,
	    .wait_ms = MIN(a->set.watch_ms, a->set.list_ms)};

	f->call = call(a, &rq, on_watch, f);
	if (f->call == NULL)
		watch_soon(f, rnd_jitter(a->rnd, RECHECK_NS));
}

/*
 * A watch may skip a change, so a watcher lists anew now and then; a list
 * names its revision, so that a stale one does no harm.
 */
static void
on_watch_due(void *ctx)
{
	struct agent_feed *f = ctx;
	struct agent *a = f->agent;
	int64_t now = clk_ns(a->clk);
	bool watcher = agent_is_watcher(a);

	cnt_set(a->cnt, AC_WATCHING, watcher);
	if (f->call != NULL || a->leaving ||
	    (f != &a->feeds[0] && first_feed_asks(a)))
		return;
	if (!watcher && conf_floor(a->conf) > 0) {
		f->listed_at = 0;
		watch_soon(f, rnd_jitter(a->rnd, RECHECK_NS));
		return;
	}
	if (f->listed_at == 0 || f->since == 0 ||
	    now - f->listed_at > a->set.list_ms * NS_MS)
		start_list(f);
	else
		start_watch(f);
}

static const char *
why_rejected(struct agent *a, const char *key, const GError *err)
{
	const struct conf_entry *e = conf_get(a->conf, str_c(key));

	if (err != NULL)
		return err->message;
	return e != NULL && e->bad_why != NULL ? e->bad_why : "unknown";
}

static void
offer(struct agent *a, json_t *o, GHashTable *keys)
{
	const char *kind = json_string_value(json_object_get(o, "kind"));
	const char *name = json_string_value(json_object_get(o, "name"));
	uint64_t version =
	    (uint64_t)json_integer_value(json_object_get(o, "version"));
	bool deleted = json_is_true(json_object_get(o, "deleted"));
	json_t *spec = json_object_get(o, "spec");
	enum conf_result got = CONF_KNOWN;
	GError *err = NULL;
	char *key;

	if (kind == NULL || name == NULL || version == 0)
		return;
	key = g_strdup_printf("%s/%s", kind, name);
	if (!deleted ||
	    !agent_lapse_hold(a, conf_get(a->conf, str_c(key)), version))
		got = conf_offer(a->conf, str_c(key), version, deleted, spec,
		    STR_LIT("platform"), &err);
	if (got == CONF_REJECTED)
		slog(SLOG_CONF, "object is rejected, the last good one stays",
		    "key=%s version=%llu why=%s", key,
		    (unsigned long long)version,
		    slog_quote(why_rejected(a, key, err)));
	g_clear_error(&err);
	if (keys != NULL)
		g_hash_table_add(keys, key);
	else
		g_free(key);
}

static void
offer_all(struct agent *a, json_t *body, GHashTable *keys)
{
	json_t *objects = json_object_get(body, "objects"), *o;
	size_t i;

	a->from_platform = true;
	json_array_foreach (objects, i, o)
		offer(a, o, keys);
	a->from_platform = false;
}

static uint64_t
revision_of(json_t *body)
{
	return (uint64_t)json_integer_value(json_object_get(body, "revision"));
}

/* What a list lacks, and whether that may have lapsed only. */
struct absent {
	struct agent_feed *feed;
	GHashTable *keys;
	uint64_t revision;
};

static void
hold_absent(void *ctx, const struct conf_entry *e)
{
	struct absent *ab = ctx;

	if ((ab->feed->mask >> e->kind & 1) == 0 || e->deleted ||
	    e->version > ab->revision ||
	    g_hash_table_contains(ab->keys, e->key.p))
		return;
	if (agent_lapse_hold(ab->feed->agent, e, ab->revision))
		g_hash_table_add(ab->keys, g_strdup(e->key.p));
}

/* The floor is what the lists of all feeds have reached. */
static void
raise_floor(struct agent *a)
{
	uint64_t floor = UINT64_MAX;
	unsigned i;

	for (i = 0; i < a->nfeeds; i++)
		floor = MIN(floor, a->feeds[i].complete);
	conf_raise_floor(a->conf, floor);
	agent_peer_tell_gate(a);
}

static void
on_list(void *ctx, enum plat_result result, json_t *body)
{
	struct agent_feed *f = ctx;
	struct agent *a = f->agent;
	uint64_t revision = revision_of(body);
	struct absent ab = {f, NULL, revision};
	bool first = f->complete == 0;

	f->call = NULL;
	note_result(a, result);
	if (result != PLAT_OK ||
	    !json_is_array(json_object_get(body, "objects"))) {
		watch_soon(f, backoff(a, f->fails++));
		return;
	}
	f->fails = 0;
	ab.keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	offer_all(a, body, ab.keys);
	conf_each(a->conf, hold_absent, &ab);
	a->from_platform = true;
	if (revision >= conf_floor(a->conf))
		conf_complete_kinds(a->conf, f->mask, revision, ab.keys);
	a->from_platform = false;
	g_hash_table_destroy(ab.keys);
	f->listed_at = clk_ns(a->clk);
	f->since = MAX(f->since, revision);
	f->complete = MAX(f->complete, revision);
	raise_floor(a);
	slog(SLOG_WATCH, "listed", "kinds=%s revision=%llu in_force=%zu",
	    f->kinds, (unsigned long long)revision, conf_count(a->conf));
	agent_status_soon(a);
	/* A weak box that starts hears first whether it must watch at all. */
	watch_soon(f, first && !a->greet.strong ? FIRST_WATCH_NS : 0);
}

static void
on_watch(void *ctx, enum plat_result result, json_t *body)
{
	struct agent_feed *f = ctx;
	struct agent *a = f->agent;

	f->call = NULL;
	note_result(a, result);
	if (result == PLAT_TOO_OLD) {
		f->listed_at = 0;
		watch_soon(f, 0);
		return;
	}
	if (result != PLAT_OK) {
		/* What happened meanwhile is asked for whole. */
		f->listed_at = 0;
		watch_soon(f, backoff(a, f->fails++));
		return;
	}
	f->fails = 0;
	slog(SLOG_WATCH, "watched", "kinds=%s revision=%llu changes=%zu",
	    f->kinds, (unsigned long long)revision_of(body),
	    json_array_size(json_object_get(body, "objects")));
	offer_all(a, body, NULL);
	f->since = MAX(f->since, revision_of(body));
	/* Changes come in rows; those of a moment are fetched together. */
	watch_soon(f, a->set.gather_ms * NS_MS);
}

static void
on_boxes_due(void *ctx)
{
	struct agent *a = ctx;
	struct plat_request rq = {.op = PLAT_BOXES};

	if (first_feed_asks(a))
		return;
	a->boxes_call = call(a, &rq, on_boxes, a);
	if (a->boxes_call == NULL)
		tmr_set(&a->tmr, &a->boxes_timer,
		    clk_ns(a->clk) + rnd_jitter(a->rnd, RECHECK_NS),
		    on_boxes_due, a);
}

static struct str
text_of(const json_t *o, const char *key)
{
	return str_c(json_string_value(json_object_get(o, key)));
}

static void
take_boxes(struct agent *a, json_t *body)
{
	json_t *boxes = json_object_get(body, "boxes"), *box;
	size_t i;

	memb_list_begin(a->memb);
	json_array_foreach (boxes, i, box) {
		struct memb_info info = {
		    .box = text_of(box, "name"),
		    .hall = text_of(box, "hall"),
		    .inbox = text_of(box, "inbox"),
		    .power = (uint64_t)json_integer_value(
			json_object_get(box, "power")),
		    .leaving = json_is_true(json_object_get(box, "leaving")),
		};

		if (info.box.n > 0)
			memb_listed(a->memb, &info);
	}
}

static void
on_boxes(void *ctx, enum plat_result result, json_t *body)
{
	struct agent *a = ctx;
	int64_t in;

	a->boxes_call = NULL;
	note_result(a, result);
	if (result == PLAT_OK) {
		a->boxes_fails = 0;
		take_boxes(a, body);
		agent_greet_listed(a);
		in = rnd_jitter(a->rnd,
		    agent_is_watcher(a) ? a->set.boxes_ms * NS_MS
					: BOXES_OTHER_NS);
	} else {
		in = backoff(a, a->boxes_fails++);
	}
	tmr_set(&a->tmr, &a->boxes_timer, clk_ns(a->clk) + in, on_boxes_due, a);
}

/*
 * A status is written soon after a change, but so seldom that all boxes
 * together stay within the platform's rate.
 */
void
agent_status_soon(struct agent *a)
{
	int64_t now = clk_ns(a->clk);
	int64_t spread =
	    (int64_t)memb_count_alive(a->memb) * NS_S / STATUS_FLEET_RATE;

	int64_t at = now + rnd_jitter(a->rnd, STATUS_SOON_NS + spread);

	if (a->status_at != 0)
		at = MAX(at, a->status_at + a->set.status_ms * NS_MS);

	a->status_told = conf_digest(a->conf);
	if (a->status_call != NULL ||
	    (a->status_timer.set && a->status_timer.item.deadline <= at))
		return;
	tmr_set(&a->tmr, &a->status_timer, at, on_status_due, a);
}

static void
add_rejected(void *ctx, const struct conf_entry *e)
{
	if (e->bad_version > 0)
		json_array_append_new(ctx,
		    json_pack("{s:s%, s:I, s:I, s:s}", "key", e->key.p,
			e->key.n, "rejected", (json_int_t)e->bad_version,
			"in_force", (json_int_t)e->version, "why", e->bad_why));
}

static void
add_version(void *ctx, const struct conf_entry *e)
{
	uint64_t *newest = ctx;

	*newest = MAX(*newest, e->version);
}

static json_t *
status_spec(struct agent *a)
{
	json_t *rejected = json_array();
	uint64_t newest = 0;
	char digest[20], gate[20];

	conf_each(a->conf, add_rejected, rejected);
	conf_each(a->conf, add_version, &newest);
	snprintf(digest, sizeof(digest), "%016llx",
	    (unsigned long long)conf_digest(a->conf));
	snprintf(
	    gate, sizeof(gate), "%016llx", (unsigned long long)a->gate_digest);
	return json_pack(
	    "{s:s%, s:s%, s:s%, s:I, s:I, s:I, s:s, s:s, s:b, s:b, s:i, s:o}",
	    "box", a->set.box.p, a->set.box.n, "hall", a->set.hall.p,
	    a->set.hall.n, "inbox", a->set.inbox.p, a->set.inbox.n, "power",
	    (json_int_t)memb_self(a->memb)->power, "newest", (json_int_t)newest,
	    "floor", (json_int_t)conf_floor(a->conf), "digest", digest,
	    "gate_digest", gate, "gate_ready", (int)a->gate_ready, "leaving",
	    (int)a->leaving, "objects", (int)conf_count(a->conf), "rejected",
	    rejected);
}

static void
on_status_due(void *ctx)
{
	struct agent *a = ctx;
	struct plat_request rq = {.kind = STR_LIT("status"),
	    .name = a->set.box,
	    .version = a->status_version};
	json_t *spec, *value;
	char *text;

	if (first_feed_asks(a))
		return;
	spec = status_spec(a);
	text = json_dumps(spec, JSON_COMPACT | JSON_SORT_KEYS);
	rq.op = a->status_version == 0 ? PLAT_CREATE : PLAT_UPDATE;
	a->status_digest = XXH3_64bits(text, strlen(text));
	free(text);
	value = json_pack("{s:o, s:s}", "spec", spec, "change", "status");
	rq.value = value;
	a->status_call = call(a, &rq, on_status, a);
	json_decref(value);
	if (a->status_call == NULL)
		agent_status_soon(a);
}

/* A lost race for our own status is against an earlier start of ours. */
static void
on_status(void *ctx, enum plat_result result, json_t *body)
{
	struct agent *a = ctx;
	json_t *spec, *current = json_object_get(body, "current");
	int64_t in =
	    rnd_jitter(a->rnd, MAX(STATUS_AGAIN_NS, a->set.status_ms * NS_MS));
	uint64_t digest;
	char *text;

	a->status_call = NULL;
	note_result(a, result);
	if (result == PLAT_OK)
		a->status_version = (uint64_t)json_integer_value(
		    json_object_get(body, "version"));
	else if (result == PLAT_CONFLICT)
		a->status_version = (uint64_t)json_integer_value(
		    json_object_get(current, "version"));
	if (result == PLAT_OK) {
		a->status_fails = 0;
		a->status_at = clk_ns(a->clk);
		spec = status_spec(a);
		text = json_dumps(spec, JSON_COMPACT | JSON_SORT_KEYS);
		digest = XXH3_64bits(text, strlen(text));
		free(text);
		json_decref(spec);
		if (digest != a->status_digest) {
			agent_status_soon(a);
			return;
		}
	} else {
		in = STATUS_PATIENCE * backoff(a, a->status_fails++);
	}
	tmr_set(
	    &a->tmr, &a->status_timer, clk_ns(a->clk) + in, on_status_due, a);
}
