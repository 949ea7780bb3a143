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

/*
 * Roll-outs: what the homes of a service tell one another of them, and what
 * the platform is told.  That is written by the home of the first hall, on
 * condition that the order is as it was; where two boxes take themselves for
 * that home, the platform takes one write.
 */
#define TELL_NS (250 * NS_MS)
/* Nothing is written again before the platform's word of it is back. */
#define WRITE_NS (1500 * NS_MS)

enum { CALL_MS = 1000 };

/* Of the share that the platform allows an unproven version, so much is used.
 */
static const double EXPOSE_USED = 0.5;
/* Where it does not say. */
static const double SHARE = 0.05;

static const struct str rollout_kind = STR_LIT("rollout");

static double
first_share(const struct gate *g)
{
	if (g->bounds.unproven_share > 0)
		return g->bounds.unproven_share * EXPOSE_USED;
	return SHARE;
}

void
gate_roll_close(struct gate_shard *s)
{
	if (s->roll_call != NULL)
		plat_cancel(s->gate->plat, s->roll_call);
	s->roll_call = NULL;
	roll_free(s->roll);
	s->roll = NULL;
}

/* Bring a shard's roll-out up to date with the service's order. */
void
gate_roll_update(
    struct gate *g, struct gate_shard *s, const struct route_service *svc)
{
	const struct obj_rollout *order = svc->rollout;

	if (s->roll != NULL && (order == NULL || !roll_matches(s->roll, order)))
		gate_roll_close(s);
	if (order == NULL)
		return;
	if (s->roll == NULL) {
		s->roll = roll_new(
		    order, g->chart_roll, first_share(g), clk_ns(g->clk));
		s->roll_logged_state = ROLL_WAITING;
	}
	roll_set_platform_state(s->roll, (enum obj_rollout_state)order->state);
}

static void
note_step(struct gate_shard *s, int64_t now)
{
	enum roll_state state = roll_state(s->roll);
	struct roll_report word;
	const char *why;

	if (state == s->roll_logged_state)
		return;
	s->roll_logged_state = state;
	word =
	    roll_make_report(s->roll, disp_old_version_inflight(s->disp), now);
	why = roll_reason(s->roll);
	slog(SLOG_PICK, "a roll-out goes on",
	    "service=%.*s hall=%.*s state=%s age_ms=%lld answers=%llu "
	    "bad=%llu old_out=%u why=%s",
	    STR_ARG(s->service), STR_ARG(s->hall),
	    roll_chart_names.states[state], (long long)(word.age / NS_MS),
	    (unsigned long long)word.responses,
	    (unsigned long long)word.failures, word.old_in_flight,
	    slog_quote(why != NULL ? why : ""));
}

/* Tell the service's homes in the other halls; ours among them. */
static void
tell(struct gate *g, struct gate_shard *s, const struct route_service *svc,
    int64_t now)
{
	struct roll_report w =
	    roll_make_report(s->roll, disp_old_version_inflight(s->disp), now);
	struct msg m = {.kind = MSG_ROLLOUT};

	s->roll_sent_at = now;
	m.u.rollout = (struct msg_rollout){.service = s->service,
	    .hall = s->hall,
	    .box = g->settings.box,
	    .version = svc->rollout->version,
	    .age_ms = (uint64_t)(w.age / NS_MS),
	    .state = (uint64_t)w.state,
	    .responses = w.responses,
	    .failures = w.failures,
	    .old_in_flight = w.old_in_flight};
	gate_owner_send_others(g, s, svc, &m);
}

/* What a home told reaches our shards of the service's other halls. */
void
gate_roll_merge(struct gate *g, const struct msg_rollout *m)
{
	const struct route_service *svc = route_service(g->routes, m->service);
	int64_t now = clk_ns(g->clk);
	struct roll_report w = {
	    .age = (int64_t)MIN(m->age_ms, (uint64_t)(now / NS_MS)) * NS_MS,
	    .state = (enum roll_state)MIN(m->state, ROLL_ROLLED_BACK),
	    .responses = m->responses,
	    .failures = m->failures,
	    .old_in_flight = (unsigned)MIN(m->old_in_flight, G_MAXUINT)};
	struct gate_shard *s;
	GHashTableIter it;
	gpointer value;

	if (svc == NULL || svc->rollout == NULL ||
	    !str_eq(svc->rollout->version, m->version))
		return;
	g_hash_table_iter_init(&it, g->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (s->roll == NULL || !str_eq(s->service, m->service) ||
		    str_eq(s->hall, m->hall))
			continue;
		roll_merge_report(s->roll, m->box, m->hall, &w, now);
	}
}

/*
 * The watch brings what is there now; until it does, what the answer tells of
 * it is the condition for the next write.
 */
static void
on_written(void *ctx, enum plat_result result, json_t *body)
{
	struct gate_shard *s = ctx;
	const json_t *there =
	    result == PLAT_CONFLICT ? json_object_get(body, "current") : body;

	s->roll_call = NULL;
	s->roll_version =
	    (uint64_t)json_integer_value(json_object_get(there, "version"));
	slog(SLOG_PICK, "a roll-out's state is written",
	    "service=%.*s result=%s", STR_ARG(s->service),
	    plat_result_name(result));
}

static void
write_state(struct gate *g, struct gate_shard *s,
    const struct route_service *svc, enum obj_rollout_state state, int64_t now)
{
	char *key = g_strdup_printf("rollout/%.*s", STR_ARG(s->service));
	const struct conf_entry *e = conf_get(g->conf, str_c(key));
	struct plat_request rq = {.op = PLAT_UPDATE_STATUS,
	    .kind = rollout_kind,
	    .name = s->service,
	    .version = MAX(e == NULL ? 0 : e->version, s->roll_version),
	    .timeout_ms = CALL_MS};
	json_t *value;

	g_free(key);
	value = json_pack("{s:s, s:s%}", "state", obj_rollout_state_name(state),
	    "version", svc->rollout->version.p, svc->rollout->version.n);
	rq.value = value;
	s->roll_written_at = now;
	s->roll_call = plat_start(g->plat, &rq, on_written, s);
	json_decref(value);
}

/* The hall whose home writes: the first one by name. */
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
write_if_due(struct gate *g, struct gate_shard *s,
    const struct route_service *svc, int64_t now)
{
	struct str *halls = g_new0(struct str, svc->nhalls);
	enum obj_rollout_state wants;
	unsigned i, n = 0;

	for (i = 0; i < svc->nhalls; i++)
		if (!str_eq(svc->halls[i].hall, s->hall))
			halls[n++] = svc->halls[i].hall;
	wants = roll_state_to_write(
	    s->roll, halls, n, disp_old_version_inflight(s->disp), now);
	g_free(halls);
	if ((int)wants == svc->rollout->state || s->roll_call != NULL ||
	    (wants == s->roll_written_state &&
		now - s->roll_written_at < WRITE_NS))
		return;
	s->roll_written_state = wants;
	write_state(g, s, svc, wants, now);
}

/*
 * Is there anything to tell the other homes?  One that is home no more tells of
 * the requests that it still has at the old version.
 */
static bool
is_news(const struct gate_shard *s, int64_t now)
{
	if (!s->is_owner && disp_old_version_inflight(s->disp) == 0)
		return false;
	if (roll_state(s->roll) == ROLL_COMPLETED)
		return false;
	return now - s->roll_sent_at >= TELL_NS ||
	    roll_state(s->roll) != s->roll_logged_state;
}

static void
tick_shard(struct gate *g, struct gate_shard *s, int64_t now)
{
	const struct route_service *svc = route_service(g->routes, s->service);

	if (s->roll == NULL || svc == NULL || svc->rollout == NULL)
		return;
	if (s->is_owner)
		roll_tick(s->roll, svc->has_new_version, now);
	if (is_news(s, now))
		tell(g, s, svc, now);
	note_step(s, now);
	if (s->is_owner && str_eq(s->hall, first_hall(svc)))
		write_if_due(g, s, svc, now);
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
