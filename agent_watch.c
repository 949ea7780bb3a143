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
#include "version.h"

/*
 * Lists and watches of the platform's objects.  Few boxes of the fleet, the
 * watchers, watch the platform; the others get changes from them.  A box calls
 * the platform itself if it is a watcher, if no peer has sent it a complete
 * configuration soon after its start, or while it is unattended: while no hub
 * that has contact with the platform answers it.
 *
 * All calls to the platform share a rate limit, a backoff and one state of
 * whether the platform answers.
 */

#define BACKOFF_FIRST_NS (250 * NS_MS)
/* Spreads the restarts of watches that were closed at the same time. */
#define RELIST_DELAY_NS (20 * NS_MS)
/*
 * After a change arrived by another way, the watch has this time to return it.
 * A slow platform takes about 300 ms.
 */
#define BYPASS_TIMEOUT_NS (1 * NS_S)
/* A box that does not watch assumes that an outage is over after this time. */
#define ASSUMED_OUTAGE_NS (10 * NS_S)
/* Boxes that start have found each other within this time. */
#define FIRST_WATCH_DELAY_NS (1 * NS_S)
/* Retry interval of unattended boxes; long, as there may be many of them. */
#define UNATTENDED_RETRY_NS (4 * NS_S)

enum {
	LIST_TIMEOUT_MS = 2000, /* a page; a slow platform takes 250 ms */
	/*
	 * If the hubs of a hall report that the platform does not answer them,
	 * this number of its boxes per second start to call the platform.  A
	 * box that receives a change forwards it to the hubs.
	 */
	UNATTENDED_RATE = 4,
	BACKOFF_SHIFT_MAX = 7
};

static void schedule_call(struct agent_feed *, int64_t);
static void start_next_call(void *);
static void on_list_done(void *, enum plat_result, json_t *);
static void on_watch_done(void *, enum plat_result, json_t *);

/*
 * Starts a call to the platform within the rate limit.  Returns NULL if the
 * limit is reached; the caller then tries again later.
 */
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

/* Returns the delay in ns after a number of consecutive failures. */
int64_t
agent_backoff(struct agent *a, int failures)
{
	int64_t ns = BACKOFF_FIRST_NS << MIN(failures, BACKOFF_SHIFT_MAX);

	return rnd_jitter(a->rnd, MIN(ns, a->settings.retry_ms * NS_MS));
}

/* After an outage, restarts the calls of all feeds. */
static void
restart_calls(struct agent *a)
{
	struct agent_feed *f;
	unsigned i;

	for (i = 0; i < a->nfeeds; i++) {
		f = &a->feeds[i];
		/* A call from before the outage may never be answered. */
		if (f->call != NULL)
			plat_cancel(a->plat, f->call);
		if (f->call != NULL || (i > 0 && !f->timer.armed))
			schedule_call(f, 0);
		f->call = NULL;
	}
	agent_box_resume_calls(a);
}

/* Updates the state of the platform by the result of a call. */
void
agent_platform_call_ended(struct agent *a, enum plat_result result)
{
	bool up = result != PLAT_UNAVAILABLE && result != PLAT_UNKNOWN;
	bool recovered = up && !a->platform_up;

	if (!up)
		cnt_add(a->cnt, AC_PLATFORM_DOWN, 1);
	if (recovered)
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
	if (recovered)
		restart_calls(a);
}

/*
 * Returns whether only the first feed may call the platform.  During an outage
 * its calls detect that the platform answers again, and all others wait, as
 * calls are expensive even if they are refused.
 */
bool
agent_first_feed_only(struct agent *a)
{
	return !a->platform_up && a->feeds[0].listed_at == 0 &&
	    (agent_watches_platform(a) || !agent_conf_is_complete(a));
}

/* Returns whether this box is one of the few that watch for the fleet. */
bool
agent_is_watcher(struct agent *a)
{
	return gossip_is_hub(a->gossip) &&
	    memb_is_watcher(
		a->memb, a->settings.box, (int)a->settings.watchers);
}

/*
 * Returns whether this box has to read changes from the platform itself.  An
 * unattended box has to, as the watchers, which are strong boxes, may all be
 * dead, frozen or refused by the platform.
 */
bool
agent_watches_platform(struct agent *a)
{
	return agent_is_watcher(a) || a->unattended;
}

/* Watchers retry soon; unattended boxes rarely, as they may be many. */
static int64_t
watch_backoff(struct agent_feed *f)
{
	struct agent *a = f->agent;
	int failures = f->failures++;

	if (a->unattended)
		return rnd_jitter(a->rnd, UNATTENDED_RETRY_NS);
	return agent_backoff(a, failures);
}

/* Returns the bit mask of comma-separated kinds. */
static unsigned
parse_kinds(const char *kinds)
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

/* A feed without objects on this platform would cost calls for nothing. */
static bool
feed_exists(const struct agent *a, const char *feed)
{
	return a->adapter->has_feed == NULL ||
	    a->adapter->has_feed(a->settings.contracts, feed);
}

void
agent_watch_open(struct agent *a)
{
	struct agent_feed *f;
	unsigned i;

	a->platform_up = true;
	for (i = 0; a->adapter->feeds[i] != NULL; i++) {
		if (!feed_exists(a, a->adapter->feeds[i]))
			continue;
		g_assert(a->nfeeds < AGENT_FEEDS_MAX);
		f = &a->feeds[a->nfeeds++];
		f->agent = a;
		f->kinds = a->adapter->feeds[i];
		f->kind_mask = parse_kinds(f->kinds);
		schedule_call(
		    f, rnd_jitter(a->rnd, a->settings.first_ms * NS_MS));
	}
}

/*
 * Lists everything again after the process was suspended, as the state of the
 * feeds may be old.
 */
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
		schedule_call(f, 0);
	}
}

/*
 * Starts lists because the box has become unattended.  If the hubs report that
 * the platform does not answer them, the boxes of the hall start at random
 * times, UNATTENDED_RATE per second.
 */
void
agent_watch_start_unattended(struct agent *a)
{
	uint64_t serving_gates = MAX(gossip_serving_gates(a->gossip), 1),
		 delay = 0;
	unsigned i;

	if (gossip_hubs_lost_platform(a->gossip))
		delay =
		    rnd_below(a->rnd, serving_gates * NS_S / UNATTENDED_RATE);
	for (i = 0; i < a->nfeeds; i++) {
		if (a->feeds[i].call != NULL)
			continue;
		a->feeds[i].listed_at = 0;
		schedule_call(&a->feeds[i], (int64_t)delay);
	}
}

void
agent_watch_update_role(struct agent *a)
{
	bool watcher = agent_is_watcher(a);
	struct agent_feed *f;
	unsigned i;

	if (watcher == a->was_watcher)
		return;
	a->was_watcher = watcher;
	slog(SLOG_WATCH,
	    watcher ? "watches the platform" : "watches the platform no longer",
	    "hubs=%zu", memb_count_hubs(a->memb));
	for (i = 0; watcher && i < a->nfeeds; i++) {
		f = &a->feeds[i];
		if (f->call == NULL && f->listed_revision > 0 &&
		    clk_ns(a->clk) - f->call_started_at >= AGENT_RECHECK_NS)
			schedule_call(f, 0);
	}
}

void
agent_watch_now(struct agent_feed *f)
{
	schedule_call(f, 0);
}

static void
schedule_call(struct agent_feed *f, int64_t delay)
{
	struct agent *a = f->agent;

	tmr_set(&a->tmr, &f->timer, clk_ns(a->clk) + delay, start_next_call, f);
}

/*
 * The first list may be stale: a watch continues from its revision, or peers
 * send newer changes.
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
	f->call = agent_platform_call(f->agent, &rq, on_list_done, f);
	if (f->call == NULL)
		schedule_call(f, rnd_jitter(f->agent->rnd, AGENT_RECHECK_NS));
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
	f->call = agent_platform_call(a, &rq, on_watch_done, f);
	if (f->call == NULL)
		schedule_call(f, rnd_jitter(a->rnd, AGENT_RECHECK_NS));
}

/*
 * A box that does not call the platform cannot detect the end of an outage.
 * After ASSUMED_OUTAGE_NS it assumes the end, so that it can become a watcher
 * if the platform answers too few of the others.
 */
static void
expire_outage(struct agent *a)
{
	if (a->platform_up ||
	    clk_ns(a->clk) - a->platform_down_at < ASSUMED_OUTAGE_NS)
		return;
	a->platform_up = true;
	agent_peer_announce_outage(a, false);
	agent_box_resume_calls(a);
}

/*
 * Starts the next list or watch of a feed.  A watch may miss a change, so that
 * a watcher lists again at intervals.  A list has a revision, so that a stale
 * list does no harm.
 */
static void
start_next_call(void *ctx)
{
	struct agent_feed *f = ctx;
	struct agent *a = f->agent;
	int64_t now = clk_ns(a->clk);
	bool watches = agent_watches_platform(a);

	cnt_set(a->cnt, AC_WATCHING, watches);
	if (f->call != NULL || a->leaving || !agent_scope_includes(a, f) ||
	    (f != &a->feeds[0] && agent_first_feed_only(a)))
		return;
	if (!watches && (f->listed_revision > 0 || agent_conf_is_complete(a))) {
		expire_outage(a);
		f->listed_at = 0;
		schedule_call(f, rnd_jitter(a->rnd, AGENT_RECHECK_NS));
		return;
	}
	if (f->listed_at == 0 || f->reached_revision == 0 ||
	    now - f->listed_at > a->settings.list_ms * NS_MS)
		start_list(f);
	else
		start_watch(f);
}

static const char *
rejection_reason(struct agent *a, const char *key, const GError *err)
{
	const struct conf_entry *e = conf_get(a->conf, str_c(key));

	if (err != NULL)
		return err->message;
	return e != NULL && e->rejected_reason != NULL ? e->rejected_reason
						       : "unknown";
}

static void
log_rejection(struct agent *a, const struct conf_object *o, const char *key,
    const GError *err)
{
	bool is_valid = conf_get(a->conf, o->key) != NULL;

	slog(SLOG_CONF,
	    str_has_prefix(o->key, STR_LIT("backend/"))
		? "object is rejected, its last version is withdrawn"
		: "object is rejected, its last valid version stays",
	    "key=%s version=%llu why=%s", is_valid ? key : slog_quote(key),
	    (unsigned long long)o->version,
	    slog_quote(rejection_reason(a, key, err)));
}

/* Returns whether a fault of an object is to be logged. */
static bool
is_new_fault(struct agent *a, const char *key, const char *why)
{
	char *fault = g_strdup_printf("%s %s", key, why);
	bool is_new = once_is_new(&a->logged, clk_ns(a->clk), str_c(fault));

	g_free(fault);
	return is_new;
}

/*
 * Ignores an object whose version is none.  What is in force stays, a backend
 * server excepted: requests would go to one that may be gone.
 */
static void
ignore_object(struct agent *a, const char *key, GHashTable *keys)
{
	bool is_backend = g_str_has_prefix(key, "backend/");

	if (is_new_fault(a, key, "version"))
		slog_warn(SLOG_CONF, "object is ignored, it has no version",
		    "key=%s", slog_quote(key));
	if (keys != NULL && !is_backend)
		g_hash_table_add(keys, g_strdup(key));
}

/* Cut off at a NUL, a name could be that of another object. */
static const char *
get_name(const json_t *json, const char *member)
{
	const json_t *value = json_object_get(json, member);
	const char *name = json_string_value(value);

	return name != NULL && strlen(name) == json_string_length(value) ? name
									 : NULL;
}

static void
offer_object(struct agent *a, json_t *json, GHashTable *keys)
{
	const char *kind = get_name(json, "kind");
	const char *name = get_name(json, "name");
	struct conf_object o = {.version = (uint64_t)json_integer_value(
				    json_object_get(json, "version")),
	    .serial =
		(uint64_t)json_integer_value(json_object_get(json, "serial")),
	    .deleted = json_is_true(json_object_get(json, "deleted")),
	    .spec = json_object_get(json, "spec")};
	enum conf_result result = CONF_DUPLICATE;
	GError *err = NULL;
	char *key;

	if (kind == NULL || name == NULL) {
		if (is_new_fault(a, "", "name"))
			slog_warn(SLOG_CONF,
			    "object is ignored, it has no valid name",
			    "version=%llu", (unsigned long long)o.version);
		return;
	}
	key = g_strdup_printf("%s/%s", kind, name);
	o.key = str_c(key);
	if (o.version == 0) {
		ignore_object(a, key, keys);
		g_free(key);
		return;
	}
	if (!o.deleted ||
	    !agent_deletion_hold(a, conf_get(a->conf, o.key), o.version))
		result = conf_offer(a->conf, &o,
		    a->offer_may_be_stale ? STR_LIT("platform-copy")
					  : STR_LIT("platform"),
		    &err);
	/* One whose name is not valid is rejected with each list. */
	if (result == CONF_REJECTED &&
	    (conf_get(a->conf, o.key) != NULL || is_new_fault(a, key, "name")))
		log_rejection(a, &o, key, err);
	g_clear_error(&err);
	agent_lastvalid_check(a, o.key);
	if (keys != NULL)
		g_hash_table_add(keys, key);
	else
		g_free(key);
}

static void
offer_all(struct agent *a, json_t *body, GHashTable *keys, bool may_be_stale)
{
	json_t *objects = json_object_get(body, "objects"), *o;
	size_t i;

	a->offer_from_platform = true;
	a->offer_may_be_stale = may_be_stale;
	json_array_foreach (objects, i, o)
		offer_object(a, o, keys);
	a->offer_from_platform = a->offer_may_be_stale = false;
}

static uint64_t
get_revision(json_t *body)
{
	return (uint64_t)json_integer_value(json_object_get(body, "revision"));
}

/*
 * Finds objects that are in force but missing from a list.  Those whose
 * deletion is held are treated as if they were on the list.
 */
struct missing {
	struct agent_feed *feed;
	GHashTable *keys;
	uint64_t revision;
};

static void
hold_missing(void *ctx, const struct conf_entry *e)
{
	struct missing *missing = ctx;

	if ((missing->feed->kind_mask >> e->kind & 1) == 0 || e->deleted ||
	    e->version > missing->revision ||
	    g_hash_table_contains(missing->keys, e->key.p))
		return;
	if (agent_deletion_hold(missing->feed->agent, e, missing->revision))
		g_hash_table_add(missing->keys, g_strdup(e->key.p));
}

/* Returns whether a feed has kinds of a part of the configuration. */
static bool
has_part(const struct agent_feed *f, enum conf_part part)
{
	unsigned backends = 1u << OBJ_BACKEND;

	return (f->kind_mask &
		   (part == CONF_BACKENDS ? backends : ~backends)) != 0;
}

/*
 * The floor of a part is the lowest revision of the complete lists of all feeds
 * that have kinds of it.
 */
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

/*
 * Returns whether a list is at least as new as the floors of the parts that it
 * covers.
 */
static bool
is_up_to_date(const struct agent_feed *f, uint64_t revision)
{
	int part;

	for (part = 0; part < CONF_PARTS; part++)
		if (has_part(f, (enum conf_part)part) &&
		    revision <
			conf_floor_of(f->agent->conf, (enum conf_part)part))
			return false;
	return true;
}

/* The first feed has the rules; its answers confirm them. */
static void
confirm_rules(struct agent_feed *f)
{
	if (f == &f->agent->feeds[0])
		sync_confirm(&f->agent->sync);
}

static void
on_list_done(void *ctx, enum plat_result result, json_t *body)
{
	struct agent_feed *f = ctx;
	struct agent *a = f->agent;
	uint64_t revision = get_revision(body);
	struct missing missing = {f, NULL, revision};
	bool first = f->listed_revision == 0;

	f->call = NULL;
	agent_platform_call_ended(a, result);
	if (result != PLAT_OK ||
	    !json_is_array(json_object_get(body, "objects"))) {
		schedule_call(f, watch_backoff(f));
		return;
	}
	missing.keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	offer_all(a, body, missing.keys, f->may_be_stale);
	conf_each(a->conf, hold_missing, &missing);
	a->offer_from_platform = true;
	if (is_up_to_date(f, revision))
		conf_apply_list_of_kinds(
		    a->conf, f->kind_mask, revision, missing.keys);
	a->offer_from_platform = false;
	agent_lastvalid_check_all(a);
	g_hash_table_destroy(missing.keys);
	if (!f->may_be_stale) {
		conf_note_revision(a->conf, revision);
		if (version_epoch(revision) == conf_epoch(a->conf))
			confirm_rules(f);
	}
	f->listed_at = clk_ns(a->clk);
	f->reached_revision = MAX(f->reached_revision, revision);
	f->listed_revision =
	    MAX(f->listed_revision, conf_applied_revision(a->conf, revision));
	raise_floor(a, CONF_RULES);
	raise_floor(a, CONF_BACKENDS);
	agent_gate_send_ready(a);
	slog(SLOG_WATCH, "listed",
	    "kinds=%s revision=%llu in_force=%zu copy=%d", f->kinds,
	    (unsigned long long)revision, conf_count(a->conf), f->may_be_stale);
	agent_box_schedule_status(a);
	/* The next watch would be answered that its revision is too old. */
	if (revision < f->reached_revision) {
		schedule_call(f, watch_backoff(f));
		return;
	}
	f->failures = 0;
	/* A starting box waits until it is known whether it has to watch. */
	schedule_call(
	    f, first && !agent_watches_platform(a) ? FIRST_WATCH_DELAY_NS : 0);
}

static void
record_broken_watch(struct agent_feed *f)
{
	struct agent *a = f->agent;

	cnt_add(a->cnt, AC_WATCHES_BROKEN, 1);
	slog(SLOG_WATCH, "a watch failed", "kinds=%s since=%llu waited_ms=%lld",
	    f->kinds, (unsigned long long)f->reached_revision,
	    (long long)((clk_ns(a->clk) - f->call_started_at) / NS_MS));
}

/*
 * A broken watch is not yet an outage, as the platform closes waiting watches
 * when it has lost its history, for example.  So the first failure leads to a
 * list at once: with the backoff of an outage, a change at that moment reached
 * the whole fleet half a second later.  A new watch from the old revision could
 * wait for seconds until the platform reports that the history is gone.
 */
static void
on_watch_done(void *ctx, enum plat_result result, json_t *body)
{
	struct agent_feed *f = ctx;
	struct agent *a = f->agent;

	f->call = NULL;
	if (result == PLAT_UNAVAILABLE)
		record_broken_watch(f);
	if (result == PLAT_UNAVAILABLE && f->failures == 0) {
		f->failures++;
		f->listed_at = 0;
		schedule_call(f, rnd_jitter(a->rnd, RELIST_DELAY_NS));
		return;
	}
	agent_platform_call_ended(a, result);
	if (result == PLAT_TOO_OLD) {
		f->listed_at = 0;
		schedule_call(f, 0);
		return;
	}
	if (result != PLAT_OK) {
		/* A list then also returns the changes in between. */
		f->listed_at = 0;
		schedule_call(f, watch_backoff(f));
		return;
	}
	f->failures = 0;
	slog(SLOG_WATCH, "watched", "kinds=%s revision=%llu changes=%zu",
	    f->kinds, (unsigned long long)get_revision(body),
	    json_array_size(json_object_get(body, "objects")));
	offer_all(a, body, NULL, false);
	confirm_rules(f);
	f->reached_revision = MAX(f->reached_revision, get_revision(body));
	/* Changes often come in bursts, which one watch then returns. */
	schedule_call(f, a->settings.gather_ms * NS_MS);
}

/* The watch has not returned a change that arrived by another way. */
static void
on_bypass_timeout(void *ctx)
{
	struct agent_feed *f = ctx;

	if (f->call == NULL || !f->is_watch ||
	    clk_ns(f->agent->clk) - f->call_started_at < BYPASS_TIMEOUT_NS)
		return;
	record_broken_watch(f);
	plat_cancel(f->agent->plat, f->call);
	f->call = NULL;
	schedule_call(f, 0);
}

/*
 * A poll or a peer brought a change that the watch should have returned: its
 * connection may be dead.  The watch gets some time to return it too.
 */
static void
expect_watch_answer(struct agent_feed *f)
{
	struct agent *a = f->agent;

	if (f->call != NULL && f->is_watch && !f->bypass_timer.armed)
		tmr_set(&a->tmr, &f->bypass_timer,
		    clk_ns(a->clk) + BYPASS_TIMEOUT_NS, on_bypass_timeout, f);
}

void
agent_watch_apply(struct agent_feed *f, json_t *body)
{
	uint64_t revision = get_revision(body);

	if (json_array_size(json_object_get(body, "objects")) > 0) {
		offer_all(f->agent, body, NULL, false);
		expect_watch_answer(f);
	}
	confirm_rules(f);
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
	schedule_call(f, 0);
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
			expect_watch_answer(f);
	}
}
