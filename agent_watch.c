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
 * Few boxes of the fleet watch the platform; the others learn from them.  A
 * box lists by itself only if it is a watcher, if no peer has given it a
 * complete configuration soon after its start, or while nobody attends to it.
 * All calls to the platform share a budget, a backoff and the belief whether it
 * answers.
 */

#define BACKOFF_FIRST_NS (250 * NS_MS)
/* Watches that were cut together are not renewed all at once. */
#define CUT_NS (20 * NS_MS)
/*
 * So long after news came past a watch its own answer is waited for; a slow
 * store takes some 300 ms.
 */
#define PASSED_NS (1 * NS_S)
/* What a box that does not watch knows of the platform's outage holds on. */
#define BLIND_NS (10 * NS_S)
/* Boxes that start know each other sooner than that. */
#define FIRST_WATCH_NS (1 * NS_S)
/* Boxes that nobody attends to are many, and ask again this seldom. */
#define UNATTENDED_RETRY_NS (4 * NS_S)

enum {
	LIST_TIMEOUT_MS = 2000, /* a page; a slow store takes some 250 ms */
	/*
	 * Of a hall's boxes so many a second begin to ask where its hubs say
	 * that the platform does not answer them; one that learns of a change
	 * tells it to the hubs.
	 */
	UNATTENDED_RATE = 4,
	BACKOFF_SHIFT_MAX = 7
};

static void watch_soon(struct agent_feed *, int64_t);
static void on_watch_due(void *);
static void on_list(void *, enum plat_result, json_t *);
static void on_watch(void *, enum plat_result, json_t *);

/* Start a call if the budget has one; NULL if it must be put off. */
struct plat_call *
agent_platform_call(struct agent *a, const struct plat_request *rq,
    plat_done_fn *done, void *ctx)
{
	if (!limit_allow(&a->plat_budget, (double)a->settings.platform_rate,
		clk_ns(a->clk))) {
		cnt_add(a->cnt, AC_PLATFORM_DEFERRED, 1);
		return NULL;
	}
	cnt_add(a->cnt, AC_PLATFORM_CALLS, 1);
	return plat_start(a->plat, rq, done, ctx);
}

/* How long to wait after so many failures in a row. */
int64_t
agent_backoff(struct agent *a, int fails)
{
	int64_t ns = BACKOFF_FIRST_NS << MIN(fails, BACKOFF_SHIFT_MAX);

	return rnd_jitter(a->rnd, MIN(ns, a->settings.retry_ms * NS_MS));
}

/* What was left to the first feed's calls goes on. */
static void
resume_calls(struct agent *a)
{
	struct agent_feed *f;
	unsigned i;

	for (i = 0; i < a->nfeeds; i++) {
		f = &a->feeds[i];
		/* A call of before the outage may never be answered. */
		if (f->call != NULL)
			plat_cancel(a->plat, f->call);
		if (f->call != NULL || (i > 0 && !f->timer.armed))
			watch_soon(f, 0);
		f->call = NULL;
	}
	agent_box_resume_calls(a);
}

/* A call's result tells whether the platform answers. */
void
agent_platform_call_ended(struct agent *a, enum plat_result result)
{
	bool up = result != PLAT_UNAVAILABLE && result != PLAT_UNKNOWN;
	bool back = up && !a->platform_up;

	if (!up)
		cnt_add(a->cnt, AC_PLATFORM_DOWN, 1);
	if (back)
		a->platform_up_at = clk_ns(a->clk);
	if (!up)
		a->platform_down_at = clk_ns(a->clk);
	if (up != a->platform_up)
		slog(SLOG_WATCH,
		    up ? "platform answers again" : "platform does not answer",
		    "platform=%s result=%s", a->settings.platform.p,
		    plat_result_name(result));
	if (up != a->platform_up)
		agent_peer_announce_outage(a, !up);
	a->platform_up = up;
	if (back)
		resume_calls(a);
}

/*
 * While the platform is away, the first feed's calls find out when it is
 * back, and all others wait; each call has its price, a refused one too.
 */
bool
agent_first_feed_only(struct agent *a)
{
	return !a->platform_up && a->feeds[0].listed_at == 0 &&
	    (agent_watches_platform(a) || !agent_conf_is_complete(a));
}

/* Is our box one of the few that watch the platform for the fleet? */
bool
agent_is_watcher(struct agent *a)
{
	return gossip_is_hub(a->gossip) &&
	    memb_is_watcher(
		a->memb, a->settings.box, (int)a->settings.watchers);
}

/*
 * Must the box find out by itself what changes?  Who watches for the fleet is
 * dealt among strong boxes, and these may all be dead, frozen or refused.
 */
bool
agent_watches_platform(struct agent *a)
{
	return agent_is_watcher(a) || a->unattended;
}

/* Boxes that watch for the fleet ask soon again; the others are many. */
static int64_t
watch_backoff(struct agent_feed *f)
{
	struct agent *a = f->agent;
	int fails = f->failures++;

	if (a->unattended)
		return rnd_jitter(a->rnd, UNATTENDED_RETRY_NS);
	return agent_backoff(a, fails);
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

/* Watching what cannot be there would cost calls all day. */
static bool
has_feed(const struct agent *a, const char *feed)
{
	return a->form->has_feed == NULL ||
	    a->form->has_feed(a->settings.contracts, feed);
}

void
agent_watch_open(struct agent *a)
{
	struct agent_feed *f;
	unsigned i;

	a->platform_up = true;
	for (i = 0; a->form->feeds[i] != NULL; i++) {
		if (!has_feed(a, a->form->feeds[i]))
			continue;
		g_assert(a->nfeeds < AGENT_FEEDS_MAX);
		f = &a->feeds[a->nfeeds++];
		f->agent = a;
		f->kinds = a->form->feeds[i];
		f->kind_mask = mask_of(f->kinds);
		watch_soon(f, rnd_jitter(a->rnd, a->settings.first_ms * NS_MS));
	}
}

/* After a pause nothing that we held of the platform is taken for new. */
void
agent_watch_restart(struct agent *a)
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

/* Nobody attends to the box any more. */
void
agent_watch_start_unattended(struct agent *a)
{
	uint64_t crowd = MAX(gossip_serving_gates(a->gossip), 1), in = 0;
	unsigned i;

	if (gossip_hubs_lost_platform(a->gossip))
		in = rnd_below(a->rnd, crowd * NS_S / UNATTENDED_RATE);
	for (i = 0; i < a->nfeeds; i++) {
		if (a->feeds[i].call != NULL)
			continue;
		a->feeds[i].listed_at = 0;
		watch_soon(&a->feeds[i], (int64_t)in);
	}
}

void
agent_watch_now(struct agent_feed *f)
{
	watch_soon(f, 0);
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
	    .allow_stale = f->listed_revision == 0 && !f->agent->unattended,
	    .timeout_ms = LIST_TIMEOUT_MS};

	f->may_be_stale = rq.allow_stale;
	f->call_started_at = clk_ns(f->agent->clk);
	f->is_watch = false;
	f->call = agent_platform_call(f->agent, &rq, on_list, f);
	if (f->call == NULL)
		watch_soon(f, rnd_jitter(f->agent->rnd, AGENT_RECHECK_NS));
}

static void
start_watch(struct agent_feed *f)
{
	struct agent *a = f->agent;
	struct plat_request rq = {.op = PLAT_WATCH,
	    .kind = str_c(f->kinds),
	    .version = f->reached_revision,
	    .wait_ms = MIN(a->settings.watch_ms, a->settings.list_ms)};

	f->call_started_at = clk_ns(a->clk);
	f->is_watch = true;
	f->call = agent_platform_call(a, &rq, on_watch, f);
	if (f->call == NULL)
		watch_soon(f, rnd_jitter(a->rnd, AGENT_RECHECK_NS));
}

/*
 * A box that does not watch does not find out when the platform answers again.
 * After a while it counts as one that it answers, so that it watches where too
 * few others can.
 */
static void
forget_outage(struct agent *a)
{
	if (a->platform_up || clk_ns(a->clk) - a->platform_down_at < BLIND_NS)
		return;
	a->platform_up = true;
	agent_peer_announce_outage(a, false);
	agent_box_resume_calls(a);
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
	bool asks = agent_watches_platform(a);

	cnt_set(a->cnt, AC_WATCHING, asks);
	if (f->call != NULL || a->leaving || !agent_scope_includes(a, f) ||
	    (f != &a->feeds[0] && agent_first_feed_only(a)))
		return;
	if (!asks && (f->listed_revision > 0 || agent_conf_is_complete(a))) {
		forget_outage(a);
		f->listed_at = 0;
		watch_soon(f, rnd_jitter(a->rnd, AGENT_RECHECK_NS));
		return;
	}
	if (f->listed_at == 0 || f->reached_revision == 0 ||
	    now - f->listed_at > a->settings.list_ms * NS_MS)
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
	return e != NULL && e->rejected_reason != NULL ? e->rejected_reason
						       : "unknown";
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
	enum conf_result got = CONF_DUPLICATE;
	GError *err = NULL;
	char *key;

	if (kind == NULL || name == NULL || version == 0)
		return;
	key = g_strdup_printf("%s/%s", kind, name);
	if (!deleted ||
	    !agent_deletion_hold(a, conf_get(a->conf, str_c(key)), version))
		got = conf_offer(a->conf, str_c(key), version, deleted, spec,
		    a->offer_may_be_stale ? STR_LIT("platform-copy")
					  : STR_LIT("platform"),
		    &err);
	if (got == CONF_REJECTED)
		slog(SLOG_CONF,
		    strcmp(kind, obj_kind_name(OBJ_BACKEND)) == 0
			? "object is rejected, it ends"
			: "object is rejected, the last good one stays",
		    "key=%s version=%llu why=%s", key,
		    (unsigned long long)version,
		    slog_quote(why_rejected(a, key, err)));
	g_clear_error(&err);
	if (keys != NULL)
		g_hash_table_add(keys, key);
	else
		g_free(key);
}

/* `copy`: the answer may be stale. */
static void
offer_all(struct agent *a, json_t *body, GHashTable *keys, bool copy)
{
	json_t *objects = json_object_get(body, "objects"), *o;
	size_t i;

	a->offer_from_platform = true;
	a->offer_may_be_stale = copy;
	json_array_foreach (objects, i, o)
		offer(a, o, keys);
	a->offer_from_platform = a->offer_may_be_stale = false;
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

	if ((ab->feed->kind_mask >> e->kind & 1) == 0 || e->deleted ||
	    e->version > ab->revision ||
	    g_hash_table_contains(ab->keys, e->key.p))
		return;
	if (agent_deletion_hold(ab->feed->agent, e, ab->revision))
		g_hash_table_add(ab->keys, g_strdup(e->key.p));
}

/* Has a feed kinds of a part of the configuration? */
static bool
has_part(const struct agent_feed *f, enum conf_part part)
{
	unsigned backends = 1u << OBJ_BACKEND;

	return (f->kind_mask &
		   (part == CONF_BACKENDS ? backends : ~backends)) != 0;
}

/* A part's floor is what the lists of all feeds that have it have reached. */
static void
raise_floor(struct agent *a, enum conf_part part)
{
	uint64_t floor = UINT64_MAX;
	unsigned i;

	for (i = 0; i < a->nfeeds; i++)
		if (has_part(&a->feeds[i], part))
			floor = MIN(floor, a->feeds[i].listed_revision);
	conf_raise_floor(a->conf, part, floor);
}

/* Is a list at least as new as all complete ones of what is on it? */
static bool
is_newest(const struct agent_feed *f, uint64_t revision)
{
	int part;

	for (part = 0; part < CONF_PARTS; part++)
		if (has_part(f, (enum conf_part)part) &&
		    revision <
			conf_floor_of(f->agent->conf, (enum conf_part)part))
			return false;
	return true;
}

/* The feed that is asked first has the rules. */
static void
confirm(struct agent_feed *f)
{
	if (f == &f->agent->feeds[0])
		sync_confirm(&f->agent->sync);
}

static void
on_list(void *ctx, enum plat_result result, json_t *body)
{
	struct agent_feed *f = ctx;
	struct agent *a = f->agent;
	uint64_t revision = revision_of(body);
	struct absent ab = {f, NULL, revision};
	bool first = f->listed_revision == 0;

	f->call = NULL;
	agent_platform_call_ended(a, result);
	if (result != PLAT_OK ||
	    !json_is_array(json_object_get(body, "objects"))) {
		watch_soon(f, watch_backoff(f));
		return;
	}
	f->failures = 0;
	ab.keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	offer_all(a, body, ab.keys, f->may_be_stale);
	conf_each(a->conf, hold_absent, &ab);
	a->offer_from_platform = true;
	if (is_newest(f, revision))
		conf_apply_list_of_kinds(
		    a->conf, f->kind_mask, revision, ab.keys);
	a->offer_from_platform = false;
	g_hash_table_destroy(ab.keys);
	if (!f->may_be_stale)
		confirm(f);
	f->listed_at = clk_ns(a->clk);
	f->reached_revision = MAX(f->reached_revision, revision);
	f->listed_revision = MAX(f->listed_revision, revision);
	raise_floor(a, CONF_RULES);
	raise_floor(a, CONF_BACKENDS);
	agent_gate_send_ready(a);
	slog(SLOG_WATCH, "listed",
	    "kinds=%s revision=%llu in_force=%zu copy=%d", f->kinds,
	    (unsigned long long)revision, conf_count(a->conf), f->may_be_stale);
	agent_box_schedule_status(a);
	/* A weak box that starts hears first whether it must watch at all. */
	watch_soon(f, first && !agent_watches_platform(a) ? FIRST_WATCH_NS : 0);
}

static void
note_broken(struct agent_feed *f)
{
	struct agent *a = f->agent;

	cnt_add(a->cnt, AC_WATCHES_BROKEN, 1);
	slog(SLOG_WATCH, "a watch failed", "kinds=%s since=%llu waited_ms=%lld",
	    f->kinds, (unsigned long long)f->reached_revision,
	    (long long)((clk_ns(a->clk) - f->call_started_at) / NS_MS));
}

/*
 * A watch that breaks off says nothing of the platform yet, which may cut those
 * that wait, as it does when it has forgotten its history.  So a list is asked
 * for at once: with the backoff of an outage a change of that moment came half
 * a second later to the whole fleet.  A new watch from where the old one was
 * may wait for seconds before it says that this history is gone.
 */
static void
on_watch(void *ctx, enum plat_result result, json_t *body)
{
	struct agent_feed *f = ctx;
	struct agent *a = f->agent;

	f->call = NULL;
	if (result == PLAT_UNAVAILABLE)
		note_broken(f);
	if (result == PLAT_UNAVAILABLE && f->failures == 0) {
		f->failures++;
		f->listed_at = 0;
		watch_soon(f, rnd_jitter(a->rnd, CUT_NS));
		return;
	}
	agent_platform_call_ended(a, result);
	if (result == PLAT_TOO_OLD) {
		f->listed_at = 0;
		watch_soon(f, 0);
		return;
	}
	if (result != PLAT_OK) {
		/* What happened meanwhile is asked for whole. */
		f->listed_at = 0;
		watch_soon(f, watch_backoff(f));
		return;
	}
	f->failures = 0;
	slog(SLOG_WATCH, "watched", "kinds=%s revision=%llu changes=%zu",
	    f->kinds, (unsigned long long)revision_of(body),
	    json_array_size(json_object_get(body, "objects")));
	offer_all(a, body, NULL, false);
	confirm(f);
	f->reached_revision = MAX(f->reached_revision, revision_of(body));
	/* Changes come in rows; those of a moment are fetched together. */
	watch_soon(f, a->settings.gather_ms * NS_MS);
}

/* The watch has had its time to bring what came past it. */
static void
on_passed(void *ctx)
{
	struct agent_feed *f = ctx;

	if (f->call == NULL || !f->is_watch ||
	    clk_ns(f->agent->clk) - f->call_started_at < PASSED_NS)
		return;
	note_broken(f);
	plat_cancel(f->agent->plat, f->call);
	f->call = NULL;
	watch_soon(f, 0);
}

/*
 * Other calls or peers brought what a watch should have: nobody may hear any
 * more on its connection.
 */
static void
wait_for_watch(struct agent_feed *f)
{
	struct agent *a = f->agent;

	if (f->call != NULL && f->is_watch && !f->bypass_timer.armed)
		tmr_set(&a->tmr, &f->bypass_timer, clk_ns(a->clk) + PASSED_NS,
		    on_passed, f);
}

void
agent_watch_apply(struct agent_feed *f, json_t *body)
{
	uint64_t revision = revision_of(body);

	if (json_array_size(json_object_get(body, "objects")) > 0) {
		offer_all(f->agent, body, NULL, false);
		wait_for_watch(f);
	}
	confirm(f);
	f->reached_revision = MAX(f->reached_revision, revision);
}

void
agent_watch_history_lost(struct agent_feed *f)
{
	if (f->listed_at == 0)
		return;
	if (f->call != NULL)
		plat_cancel(f->agent->plat, f->call);
	f->call = NULL;
	f->listed_at = 0;
	watch_soon(f, 0);
}

void
agent_watch_bypassed(struct agent *a, const struct conf_entry *e)
{
	struct agent_feed *f;
	unsigned i;

	if (a->offer_from_platform)
		return;
	for (i = 0; i < a->nfeeds; i++) {
		f = &a->feeds[i];
		if ((f->kind_mask >> e->kind & 1) != 0 &&
		    e->version > f->reached_revision)
			wait_for_watch(f);
	}
}
