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
#include <arpa/inet.h>
#include <stdio.h>
#include <xxhash.h>

#include "libagent.h"
#include "slog.h"
#include "version.h"

/*
 * Boxes on the platform: fetches the list of boxes and writes the status of
 * this one.
 */

#define STATUS_DELAY_NS (300 * NS_MS)
/* An unchanged status is written again after this time, or status_ms. */
#define STATUS_REFRESH_NS (60 * NS_S)

enum {
	/* Limit of status writes of all boxes together, per second. */
	STATUS_FLEET_RATE = 150,
	/* Of a box, in processors; the setting allows no more. */
	POWER_MAX = 1024,
	/* Multiplies the backoff, as a status is less urgent than a list. */
	STATUS_BACKOFF_FACTOR = 4
};

static void fetch_boxes(void *);
static void on_boxes(void *, enum plat_result, json_t *);
static void write_status(void *);
static void on_status(void *, enum plat_result, json_t *);

/* Fetches the list of boxes, with retries until it succeeds. */
void
agent_box_fetch_list(struct agent *a)
{
	a->boxes_pending = true;
	tmr_set(&a->tmr, &a->boxes_timer, clk_ns(a->clk), fetch_boxes, a);
}

/* Restarts the calls that were suspended during an outage of the platform. */
void
agent_box_resume_calls(struct agent *a)
{
	if (a->boxes_pending && a->boxes_call == NULL && !a->boxes_timer.armed)
		agent_box_fetch_list(a);
	if (a->status_call == NULL && !a->status_timer.armed)
		agent_box_schedule_status(a);
}

static void
fetch_boxes(void *ctx)
{
	struct agent *a = ctx;
	struct plat_request rq = {.op = PLAT_LIST_BOXES};

	if (a->boxes_call != NULL || agent_first_feed_only(a))
		return;
	a->boxes_call = agent_platform_call(a, &rq, on_boxes, a);
	if (a->boxes_call == NULL)
		tmr_set(&a->tmr, &a->boxes_timer,
		    clk_ns(a->clk) + rnd_jitter(a->rnd, AGENT_RECHECK_NS),
		    fetch_boxes, a);
}

static struct str
get_text(const json_t *o, const char *key)
{
	const json_t *text = json_object_get(o, key);

	return str_n(json_string_value(text), json_string_length(text));
}

static bool
is_own_entry(struct agent *a, const struct memb_info *info)
{
	const struct memb_info *self = memb_self(a->memb);

	return str_eq(info->box, self->box) && str_eq(info->hall, self->hall) &&
	    str_eq(info->inbox, self->inbox) && info->power == self->power &&
	    !info->leaving;
}

static void
set_listed(struct agent *a)
{
	a->is_listed = true;
	a->listed_at = clk_ns(a->clk);
}

/* Reads a status; returns false if it cannot be that of a box. */
static bool
read_box(const json_t *status, struct memb_info *out)
{
	const json_t *power = json_object_get(status, "power");
	char ip[INET6_ADDRSTRLEN];
	uint16_t port;

	*out = (struct memb_info){
	    .box = get_text(status, "name"),
	    .hall = get_text(status, "hall"),
	    .inbox = get_text(status, "inbox"),
	    .power = (uint64_t)json_integer_value(power),
	    .leaving = json_is_true(json_object_get(status, "leaving")),
	};
	return field_is_name(out->box) && field_is_name(out->hall) &&
	    field_parse_address(out->inbox, ip, sizeof(ip), &port) &&
	    (power == NULL || json_is_integer(power)) &&
	    out->power <= (uint64_t)POWER_MAX * MEMB_POWER_ONE_CPU;
}

/* The box of a status that is not valid would not answer, but might be a hub.
 */
static void
log_ignored(struct agent *a, const json_t *status)
{
	const char *name = json_string_value(json_object_get(status, "name"));
	char *fault = g_strdup_printf("status %s", name == NULL ? "" : name);

	if (once_is_new(&a->logged, clk_ns(a->clk), str_c(fault)))
		slog_warn(SLOG_AGENT, "status of a box is ignored", "name=%s",
		    slog_quote(name == NULL ? "" : name));
	g_free(fault);
}

static void
apply_boxes(struct agent *a, json_t *body)
{
	json_t *boxes = json_object_get(body, "boxes"), *box;
	size_t i;

	memb_list_begin(a->memb);
	json_array_foreach (boxes, i, box) {
		struct memb_info info;

		if (!read_box(box, &info)) {
			log_ignored(a, box);
			continue;
		}
		memb_list_add(a->memb, &info);
		agent_poison_merge_listed(a, json_object_get(box, "poison"));
		if (!a->is_listed && is_own_entry(a, &info))
			set_listed(a);
	}
}

static void
on_boxes(void *ctx, enum plat_result result, json_t *body)
{
	struct agent *a = ctx;

	a->boxes_call = NULL;
	agent_platform_call_ended(a, result);
	if (result != PLAT_OK) {
		tmr_set(&a->tmr, &a->boxes_timer,
		    clk_ns(a->clk) + agent_backoff(a, a->boxes_failures++),
		    fetch_boxes, a);
		return;
	}
	a->boxes_failures = 0;
	a->boxes_pending = false;
	apply_boxes(a, body);
	agent_poison_send_to_gate(a);
	agent_peer_on_boxes_listed(a);
}

/*
 * Where only hubs write a status, each does so once: a leaf finds the hubs on
 * the list of boxes, and the hubs learn of the leaf from its first message.
 * Calls to the platform are expensive, so that a start of all boxes takes only
 * one write per hub.
 */
static bool
must_write_status(struct agent *a)
{
	return a->settings.status_by == STATUS_BY_ALL || a->poison_unsaved ||
	    (!a->is_listed && gossip_is_hub(a->gossip));
}

/* Schedules a status if something changed since the last one. */
void
agent_box_tick(struct agent *a)
{
	bool first = a->status_written_at == 0 && must_write_status(a);

	if (a->poison_unsaved ||
	    conf_digest(a->conf) != a->status_conf_digest ||
	    (first && a->status_call == NULL && !a->status_timer.armed))
		agent_box_schedule_status(a);
}

/*
 * A status is written soon after a change, with a random delay that grows with
 * the number of boxes, so that all together stay within STATUS_FLEET_RATE.
 */
void
agent_box_schedule_status(struct agent *a)
{
	int64_t now = clk_ns(a->clk);
	int64_t max_spread =
	    (int64_t)memb_count_alive(a->memb) * NS_S / STATUS_FLEET_RATE;
	int64_t write_at =
	    now + rnd_jitter(a->rnd, STATUS_DELAY_NS + max_spread);

	/* Poison records are rare, and must outlive this process. */
	if (a->poison_unsaved)
		write_at = now;
	else if (a->status_written_at != 0)
		write_at = MAX(write_at,
		    a->status_written_at + a->settings.status_ms * NS_MS);
	a->status_conf_digest = conf_digest(a->conf);
	if (a->status_call != NULL ||
	    (a->status_timer.armed &&
		a->status_timer.item.deadline <= write_at))
		return;
	tmr_set(&a->tmr, &a->status_timer, write_at, write_status, a);
}

static void
add_rejected(void *ctx, const struct conf_entry *e)
{
	if (e->rejected_version > 0)
		json_array_append_new(ctx,
		    json_pack("{s:s%, s:I, s:I, s:s}", "key", e->key.p,
			e->key.n, "rejected", (json_int_t)e->rejected_version,
			"in_force", (json_int_t)e->version, "why",
			e->rejected_reason));
}

static void
find_newest(void *ctx, const struct conf_entry *e)
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
	conf_each(a->conf, find_newest, &newest);
	snprintf(digest, sizeof(digest), "%016llx",
	    (unsigned long long)conf_digest(a->conf));
	snprintf(gate, sizeof(gate), "%016llx",
	    (unsigned long long)a->gate_conf_digest);
	return json_pack(
	    "{s:s%, s:s%, s:s%, s:I, s:I, s:I, s:s, s:s, s:b, s:b, "
	    "s:i, s:o, s:o*}",
	    "box", a->settings.box.p, a->settings.box.n, "hall",
	    a->settings.hall.p, a->settings.hall.n, "inbox",
	    a->settings.inbox.p, a->settings.inbox.n, "power",
	    (json_int_t)memb_self(a->memb)->power, "newest", (json_int_t)newest,
	    "floor", (json_int_t)conf_floor(a->conf), "digest", digest,
	    "gate_digest", gate, "gate_ready", (int)a->gate_ready, "leaving",
	    (int)a->leaving, "objects", (int)conf_count(a->conf), "rejected",
	    rejected, "poison", agent_poison_spec(a));
}

/* Returns a hash that is equal for statuses with equal contents. */
static uint64_t
status_digest(const json_t *spec)
{
	char *text = json_dumps(spec, JSON_COMPACT | JSON_SORT_KEYS);
	uint64_t digest = XXH3_64bits(text, strlen(text));

	free(text);
	return digest;
}

/* Returns whether the status that was written last is still up to date. */
static bool
is_status_current(struct agent *a)
{
	json_t *spec = status_spec(a);
	bool is_current = status_digest(spec) == a->status_digest;

	json_decref(spec);
	return is_current;
}

static void
write_status(void *ctx)
{
	struct agent *a = ctx;
	struct plat_request rq = {.kind = STR_LIT("status"),
	    .name = a->settings.box,
	    .version = a->status_version};
	json_t *spec, *value;

	if (!must_write_status(a) || agent_first_feed_only(a))
		return;
	spec = status_spec(a);
	rq.op = a->status_version == 0 ? PLAT_CREATE : PLAT_UPDATE;
	a->status_digest = status_digest(spec);
	value = json_pack("{s:o, s:s}", "spec", spec, "change", "status");
	rq.value = value;
	a->status_call = agent_platform_call(a, &rq, on_status, a);
	json_decref(value);
	if (a->status_call == NULL)
		agent_box_schedule_status(a);
	else
		a->poison_unsaved = false;
}

/* A status that was written before a restore of the platform may be lost. */
static enum plat_result
result_in_epoch(struct agent *a, enum plat_result result, const json_t *body)
{
	uint64_t version =
	    (uint64_t)json_integer_value(json_object_get(body, "version"));

	if (result == PLAT_OK && version_epoch(version) < conf_epoch(a->conf))
		return PLAT_UNKNOWN;
	return result;
}

/*
 * A conflict means that an earlier process of this box wrote the status; the
 * next write uses the version that it left.
 */
static void
on_status(void *ctx, enum plat_result result, json_t *body)
{
	struct agent *a = ctx;
	json_t *current = json_object_get(body, "current");
	int64_t delay = rnd_jitter(
	    a->rnd, MAX(STATUS_REFRESH_NS, a->settings.status_ms * NS_MS));

	a->status_call = NULL;
	agent_platform_call_ended(a, result);
	result = result_in_epoch(a, result, body);
	if (result == PLAT_OK)
		a->status_version = (uint64_t)json_integer_value(
		    json_object_get(body, "version"));
	else if (result == PLAT_CONFLICT)
		a->status_version = (uint64_t)json_integer_value(
		    json_object_get(current, "version"));
	if (result == PLAT_OK) {
		a->status_failures = 0;
		a->status_written_at = clk_ns(a->clk);
		set_listed(a);
		if (!is_status_current(a)) {
			agent_box_schedule_status(a);
			return;
		}
	} else {
		a->poison_unsaved = poison_count_proved(a->poison) > 0;
		delay = STATUS_BACKOFF_FACTOR *
		    agent_backoff(a, a->status_failures++);
	}
	tmr_set(
	    &a->tmr, &a->status_timer, clk_ns(a->clk) + delay, write_status, a);
}

/*
 * A status that is older than any copy is not lost.  A call in flight is not
 * repeated here: on_status() does so unless the call succeeds in the new epoch.
 */
void
agent_box_on_restore(struct agent *a)
{
	int64_t age = clk_ns(a->clk) - a->listed_at;
	uint64_t revision = version_revision(a->status_version);

	a->status_version = 0;
	if (!a->is_listed || age > VERSION_COPY_AGE_MAX_MS * NS_MS) {
		if (revision > 0)
			a->status_version =
			    version_make(conf_epoch(a->conf), revision);
		return;
	}
	a->is_listed = false;
	a->status_written_at = 0;
	a->poison_unsaved =
	    a->poison_unsaved || poison_count_proved(a->poison) > 0;
	tmr_clear(&a->tmr, &a->status_timer);
	agent_box_schedule_status(a);
}
