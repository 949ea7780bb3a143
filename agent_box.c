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

/*
 * Boxes on the platform: the list of those that are there, and the status by
 * which each tells of itself.
 */

#define STATUS_SOON_NS (300 * NS_MS)
#define STATUS_AGAIN_NS (60 * NS_S)

enum {
	/* Statuses of all boxes together: at most so many writes a second. */
	STATUS_FLEET_RATE = 150,
	STATUS_PATIENCE = 4 /* a status may wait longer than a list */
};

static void on_boxes_due(void *);
static void on_boxes(void *, enum plat_result, json_t *);
static void on_status_due(void *);
static void on_status(void *, enum plat_result, json_t *);

/* Fetch the list of boxes, and again until it comes. */
void
agent_box_fetch_list(struct agent *a)
{
	a->boxes_pending = true;
	tmr_set(&a->tmr, &a->boxes_timer, clk_ns(a->clk), on_boxes_due, a);
}

/* What waited while the platform was away goes on. */
void
agent_box_resume_calls(struct agent *a)
{
	if (a->boxes_pending && a->boxes_call == NULL && !a->boxes_timer.armed)
		agent_box_fetch_list(a);
	if (a->status_call == NULL && !a->status_timer.armed)
		agent_box_schedule_status(a);
}

static void
on_boxes_due(void *ctx)
{
	struct agent *a = ctx;
	struct plat_request rq = {.op = PLAT_LIST_BOXES};

	if (a->boxes_call != NULL || agent_first_feed_only(a))
		return;
	a->boxes_call = agent_platform_call(a, &rq, on_boxes, a);
	if (a->boxes_call == NULL)
		tmr_set(&a->tmr, &a->boxes_timer,
		    clk_ns(a->clk) + rnd_jitter(a->rnd, AGENT_RECHECK_NS),
		    on_boxes_due, a);
}

static struct str
text_of(const json_t *o, const char *key)
{
	return str_c(json_string_value(json_object_get(o, key)));
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

		if (info.box.n == 0)
			continue;
		memb_list_add(a->memb, &info);
		agent_poison_merge_listed(a, json_object_get(box, "poison"));
		a->is_listed = a->is_listed || is_own_entry(a, &info);
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
		    on_boxes_due, a);
		return;
	}
	a->boxes_failures = 0;
	a->boxes_pending = false;
	take_boxes(a, body);
	agent_poison_send_to_gate(a);
	agent_peer_on_boxes_listed(a);
}

/*
 * Where only hubs tell of themselves they do so once: a leaf finds them by the
 * list, and they get to know it by its question.  Each call to the platform
 * has its price, and a start of all boxes is as many calls as there are hubs.
 */
static bool
wants_status(struct agent *a)
{
	return a->settings.status_by == STATUS_BY_ALL || a->poison_unsaved ||
	    (!a->is_listed && gossip_is_hub(a->gossip));
}

/* Has anything to be told that was not when we last looked? */
void
agent_box_tick(struct agent *a)
{
	bool first = a->status_written_at == 0 && wants_status(a);

	if (a->poison_unsaved ||
	    conf_digest(a->conf) != a->status_conf_digest ||
	    (first && a->status_call == NULL && !a->status_timer.armed))
		agent_box_schedule_status(a);
}

/*
 * A status is written soon after a change, but so seldom that all boxes
 * together stay within the platform's rate.
 */
void
agent_box_schedule_status(struct agent *a)
{
	int64_t now = clk_ns(a->clk);
	int64_t spread =
	    (int64_t)memb_count_alive(a->memb) * NS_S / STATUS_FLEET_RATE;
	int64_t at = now + rnd_jitter(a->rnd, STATUS_SOON_NS + spread);

	/* What ends backend servers is rare, and must outlive us. */
	if (a->poison_unsaved)
		at = now;
	else if (a->status_written_at != 0)
		at = MAX(
		    at, a->status_written_at + a->settings.status_ms * NS_MS);
	a->status_conf_digest = conf_digest(a->conf);
	if (a->status_call != NULL ||
	    (a->status_timer.armed && a->status_timer.item.deadline <= at))
		return;
	tmr_set(&a->tmr, &a->status_timer, at, on_status_due, a);
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

/* A number that is equal where two statuses tell the same. */
static uint64_t
status_digest(const json_t *spec)
{
	char *text = json_dumps(spec, JSON_COMPACT | JSON_SORT_KEYS);
	uint64_t digest = XXH3_64bits(text, strlen(text));

	free(text);
	return digest;
}

/* Does the status that was written last still tell how it is? */
static bool
status_holds(struct agent *a)
{
	json_t *spec = status_spec(a);
	bool holds = status_digest(spec) == a->status_digest;

	json_decref(spec);
	return holds;
}

static void
on_status_due(void *ctx)
{
	struct agent *a = ctx;
	struct plat_request rq = {.kind = STR_LIT("status"),
	    .name = a->settings.box,
	    .version = a->status_version};
	json_t *spec, *value;

	if (!wants_status(a) || agent_first_feed_only(a))
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

/* A lost race for our own status is against an earlier start of ours. */
static void
on_status(void *ctx, enum plat_result result, json_t *body)
{
	struct agent *a = ctx;
	json_t *current = json_object_get(body, "current");
	int64_t in = rnd_jitter(
	    a->rnd, MAX(STATUS_AGAIN_NS, a->settings.status_ms * NS_MS));

	a->status_call = NULL;
	agent_platform_call_ended(a, result);
	if (result == PLAT_OK)
		a->status_version = (uint64_t)json_integer_value(
		    json_object_get(body, "version"));
	else if (result == PLAT_CONFLICT)
		a->status_version = (uint64_t)json_integer_value(
		    json_object_get(current, "version"));
	if (result == PLAT_OK) {
		a->status_failures = 0;
		a->status_written_at = clk_ns(a->clk);
		a->is_listed = true;
		if (!status_holds(a)) {
			agent_box_schedule_status(a);
			return;
		}
	} else {
		a->poison_unsaved = poison_count_proved(a->poison) > 0;
		in = STATUS_PATIENCE * agent_backoff(a, a->status_failures++);
	}
	tmr_set(
	    &a->tmr, &a->status_timer, clk_ns(a->clk) + in, on_status_due, a);
}
