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
#include "libgate.h"
#include "slog.h"
#include "version.h"

/*
 * Roll-outs: the owners of a service's shards report their state to each other
 * and to the platform.  The owner of the first hall writes to the platform, on
 * condition that the roll-out object has not changed; if two gates consider
 * themselves that owner, the platform accepts only one write.  After a restore
 * of the platform the outcome may be lost; it is then written again.
 */
#define REPORT_INTERVAL_NS (250 * NS_MS)
/*
 * The same state is not written again within this time, in which the platform's
 * watch should deliver the last write.
 */
#define WRITE_INTERVAL_NS (1500 * NS_MS)

enum { CALL_TIMEOUT_MS = 1000 };

/* A higher sum of another owner, in 1/1000, is reduced to this one. */
#define SUM_MILLI_MAX UINT64_C(1000000)

/* Part of the platform's allowed share for an unproven version that is used. */
static const double EXPOSED_PART = 0.8;
/* Share of the requests if the platform sets none. */
static const double DEFAULT_SHARE = 0.05;

static const struct str rollout_kind = STR_LIT("rollout");

static double
first_share(const struct gate *g)
{
	if (g->bounds.unproven_share > 0)
		return g->bounds.unproven_share * EXPOSED_PART;
	return DEFAULT_SHARE;
}

void
gate_roll_close(struct gate_shard *s)
{
	if (s->roll_call != NULL)
		plat_cancel(s->gate->plat, s->roll_call);
	s->roll_call = NULL;
	roll_free(s->rollout);
	s->rollout = NULL;
	s->roll_outcome_at = 0;
}

static const struct conf_entry *
find_entry(struct gate *g, const struct gate_shard *s)
{
	char *key = g_strdup_printf("rollout/%.*s", STR_ARG(s->service));
	const struct conf_entry *e = conf_get(g->conf, str_c(key));

	g_free(key);
	return e;
}

static bool
is_outcome(enum obj_rollout_state state)
{
	return state == ROLLOUT_COMPLETED || state == ROLLOUT_ROLLED_BACK;
}

/* Records that the platform has the outcome in this version of the object. */
static void
confirm_outcome(struct gate_shard *s, uint64_t version)
{
	s->roll_confirmed_epoch =
	    MAX(s->roll_confirmed_epoch, version_epoch(version));
}

/* Records that the configuration has the outcome. */
static void
note_outcome(struct gate_shard *s, uint64_t version)
{
	confirm_outcome(s, version);
	s->roll_outcome_epoch = version_epoch(version);
	if (s->roll_outcome_at == 0)
		s->roll_outcome_at = clk_ns(s->gate->clk);
}

/* Updates the roll-out of a shard from the service's roll-out object. */
void
gate_roll_update(
    struct gate *g, struct gate_shard *s, const struct route_service *svc)
{
	const struct obj_rollout *spec = svc->rollout;
	const struct conf_entry *e = find_entry(g, s);
	uint64_t version = e == NULL ? 0 : e->version;

	if (s->rollout != NULL &&
	    version_epoch(version) > s->roll_outcome_epoch)
		roll_forget_stored_outcome(s->rollout);
	if (s->rollout != NULL &&
	    (spec == NULL || !roll_matches(s->rollout, spec)))
		gate_roll_close(s);
	if (spec == NULL)
		return;
	if (s->rollout == NULL) {
		s->rollout = roll_new(
		    spec, g->chart_roll, first_share(g), clk_ns(g->clk));
		s->roll_logged_state = ROLL_WAITING;
	}
	roll_set_platform_state(
	    s->rollout, (enum obj_rollout_state)spec->state);
	if (is_outcome((enum obj_rollout_state)spec->state))
		note_outcome(s, version);
}

static void
log_state_change(struct gate_shard *s, int64_t now)
{
	enum roll_state state = roll_state(s->rollout);
	struct roll_report report;
	const char *reason;

	if (state == s->roll_logged_state)
		return;
	s->roll_logged_state = state;
	report = roll_make_report(
	    s->rollout, disp_old_version_inflight(s->disp), now);
	reason = roll_reason(s->rollout);
	slog(SLOG_PICK, "a roll-out goes on",
	    "service=%.*s hall=%.*s state=%s age_ms=%lld answers=%llu "
	    "bad=%llu failed_sum=%.1f slow_sum=%.1f old_out=%u why=%s",
	    STR_ARG(s->service), STR_ARG(s->hall),
	    roll_chart_names.states[state], (long long)(report.age / NS_MS),
	    (unsigned long long)report.responses,
	    (unsigned long long)report.failures,
	    report.sums.of[VERDICT_FAILS_MORE],
	    report.sums.of[VERDICT_SLOW_MORE], report.old_in_flight,
	    slog_quote(reason != NULL ? reason : ""));
}

static uint64_t
to_milli(double sum)
{
	return (uint64_t)(sum * 1000);
}

static double
from_milli(uint64_t milli)
{
	return (double)MIN(milli, SUM_MILLI_MAX) / 1000;
}

/*
 * Sends a report to the owners of the service's shards in other halls, which
 * may include this gate.
 */
static void
send_report(struct gate *g, struct gate_shard *s,
    const struct route_service *svc, int64_t now)
{
	struct roll_report report = roll_make_report(
	    s->rollout, disp_old_version_inflight(s->disp), now);
	struct msg m = {.kind = MSG_ROLLOUT};

	s->roll_sent_at = now;
	m.u.rollout = (struct msg_rollout){.service = s->service,
	    .hall = s->hall,
	    .box = g->settings.box,
	    .version = svc->rollout->version,
	    .age_ms = (uint64_t)(report.age / NS_MS),
	    .state = (uint64_t)report.state,
	    .responses = report.responses,
	    .failures = report.failures,
	    .old_in_flight = report.old_in_flight,
	    .fails_more_milli = to_milli(report.sums.of[VERDICT_FAILS_MORE]),
	    .slow_more_milli = to_milli(report.sums.of[VERDICT_SLOW_MORE]),
	    .slow_often_milli = to_milli(report.sums.of[VERDICT_SLOW_OFTEN])};
	gate_owner_send_others(g, s, svc, &m);
}

/*
 * Applies the report of another owner to this gate's shards of the service in
 * other halls.
 */
void
gate_roll_merge(struct gate *g, const struct msg_rollout *m)
{
	const struct route_service *svc = route_service(g->routes, m->service);
	int64_t now = clk_ns(g->clk);
	struct roll_report report = {
	    .age = (int64_t)MIN(m->age_ms, (uint64_t)(now / NS_MS)) * NS_MS,
	    .state = (enum roll_state)MIN(m->state, ROLL_ROLLED_BACK),
	    .responses = m->responses,
	    .failures = m->failures,
	    .old_in_flight = (unsigned)MIN(m->old_in_flight, G_MAXUINT),
	    .sums = {{[VERDICT_FAILS_MORE] = from_milli(m->fails_more_milli),
		[VERDICT_SLOW_MORE] = from_milli(m->slow_more_milli),
		[VERDICT_SLOW_OFTEN] = from_milli(m->slow_often_milli)}}};
	struct gate_shard *s;
	GHashTableIter it;
	gpointer value;

	if (svc == NULL || svc->rollout == NULL ||
	    !str_eq(svc->rollout->version, m->version))
		return;
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (s->rollout == NULL || !str_eq(s->service, m->service) ||
		    str_eq(s->hall, m->hall))
			continue;
		roll_merge_report(s->rollout, m->box, m->hall, &report, now);
	}
}

/*
 * The watch delivers the object as it is now; until it does, the version in
 * this response is the condition for the next write.
 */
static void
on_written(void *ctx, enum plat_result result, json_t *body)
{
	struct gate_shard *s = ctx;
	const json_t *object =
	    result == PLAT_CONFLICT ? json_object_get(body, "current") : body;

	s->roll_call = NULL;
	s->roll_version =
	    (uint64_t)json_integer_value(json_object_get(object, "version"));
	if (result == PLAT_OK && is_outcome(s->roll_written_state))
		confirm_outcome(s, s->roll_version);
	slog(SLOG_PICK, "roll-out state was written", "service=%.*s result=%s",
	    STR_ARG(s->service), plat_result_name(result));
}

static void
write_state(struct gate_shard *s, struct str target, uint64_t version)
{
	struct gate *g = s->gate;
	struct plat_request rq = {.op = PLAT_UPDATE_STATUS,
	    .kind = rollout_kind,
	    .name = s->service,
	    .version = version,
	    .timeout_ms = CALL_TIMEOUT_MS};
	json_t *value = json_pack("{s:s, s:s%}", "state",
	    obj_rollout_state_name(s->roll_written_state), "version", target.p,
	    target.n);

	rq.value = value;
	s->roll_call = plat_start(g->plat, &rq, on_written, s);
	json_decref(value);
}

/* Returns whether a text member of an object equals a string. */
static bool
has_text(const json_t *o, const char *key, struct str text)
{
	return str_eq(str_c(json_string_value(json_object_get(o, key))), text);
}

/*
 * Writes the state to the object that the platform has since its restore,
 * unless it has the state, or another target.
 */
static void
on_read(void *ctx, enum plat_result result, json_t *body)
{
	struct gate_shard *s = ctx;
	const struct route_service *svc =
	    route_service(s->gate->routes, s->service);
	const json_t *spec = json_object_get(body, "spec");
	struct str state = str_c(obj_rollout_state_name(s->roll_written_state));

	s->roll_call = NULL;
	if (result != PLAT_OK || svc == NULL || svc->rollout == NULL ||
	    !has_text(spec, "version", svc->rollout->version))
		return;
	s->roll_version =
	    (uint64_t)json_integer_value(json_object_get(body, "version"));
	if (!has_text(spec, "state", state))
		write_state(s, svc->rollout->version, s->roll_version);
	else if (is_outcome(s->roll_written_state))
		confirm_outcome(s, s->roll_version);
}

static void
read_object(struct gate_shard *s)
{
	struct plat_request rq = {.op = PLAT_GET,
	    .kind = rollout_kind,
	    .name = s->service,
	    .timeout_ms = CALL_TIMEOUT_MS};

	s->roll_call = plat_start(s->gate->plat, &rq, on_read, s);
}

/* A version of an earlier epoch is no condition for a write. */
static void
read_or_write_state(struct gate *g, struct gate_shard *s,
    const struct route_service *svc, int64_t now)
{
	const struct conf_entry *e = find_entry(g, s);
	uint64_t version = MAX(e == NULL ? 0 : e->version, s->roll_version);

	s->roll_written_at = now;
	if (version_epoch(version) < conf_epoch(g->conf))
		read_object(s);
	else
		write_state(s, svc->rollout->version, version);
}

/* Returns whether a restore of the platform may have lost the outcome. */
static bool
may_be_lost(const struct gate *g, const struct gate_shard *s, int64_t now)
{
	return s->roll_outcome_at != 0 &&
	    s->roll_confirmed_epoch < conf_epoch(g->conf) &&
	    now - s->roll_outcome_at < VERSION_COPY_AGE_MAX_MS * NS_MS;
}

/*
 * Returns the hall whose owner writes to the platform: the first one by name.
 */
static struct str
first_hall(const struct route_service *svc)
{
	struct str first = svc->halls[0].hall;
	unsigned i;

	for (i = 1; i < svc->nhalls; i++)
		if (strcmp(svc->halls[i].hall.p, first.p) < 0)
			first = svc->halls[i].hall;
	return first;
}

static void
write_if_changed(struct gate *g, struct gate_shard *s,
    const struct route_service *svc, int64_t now)
{
	struct str *halls = g_new0(struct str, svc->nhalls);
	enum obj_rollout_state state;
	unsigned i, n = 0;

	for (i = 0; i < svc->nhalls; i++)
		if (!str_eq(svc->halls[i].hall, s->hall))
			halls[n++] = svc->halls[i].hall;
	state = roll_state_to_write(
	    s->rollout, halls, n, disp_old_version_inflight(s->disp), now);
	g_free(halls);
	if (((int)state == svc->rollout->state && !may_be_lost(g, s, now)) ||
	    s->roll_call != NULL ||
	    (state == s->roll_written_state &&
		now - s->roll_written_at < WRITE_INTERVAL_NS))
		return;
	s->roll_written_state = state;
	read_or_write_state(g, s, svc, now);
}

/*
 * Returns whether a report to the other owners is due.  A gate that no longer
 * owns the shard still reports the requests that it has at the old version.
 */
static bool
is_report_due(const struct gate_shard *s, int64_t now)
{
	if (!s->is_owner && disp_old_version_inflight(s->disp) == 0)
		return false;
	if (roll_state(s->rollout) == ROLL_COMPLETED)
		return false;
	return now - s->roll_sent_at >= REPORT_INTERVAL_NS ||
	    roll_state(s->rollout) != s->roll_logged_state;
}

static void
tick_shard(struct gate *g, struct gate_shard *s, int64_t now)
{
	const struct route_service *svc = route_service(g->routes, s->service);

	if (s->rollout == NULL || svc == NULL || svc->rollout == NULL)
		return;
	if (s->is_owner)
		roll_tick(s->rollout, svc->has_new_version, now);
	if (is_report_due(s, now))
		send_report(g, s, svc, now);
	log_state_change(s, now);
	if (s->is_owner && str_eq(s->hall, first_hall(svc)))
		write_if_changed(g, s, svc, now);
}

void
gate_roll_tick(struct gate *g, int64_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tick_shard(g, value, now);
}
