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
 * Claims that a restore of the platform may have lost.  A gate remembers the
 * claims that it made or gave back lately, and repeats these writes in the
 * platform's new epoch.  Until all gates have had time for that, no key can be
 * claimed: another gate's claim of the same key may be missing.
 */

/*
 * Time for all gates to learn of an epoch, which heartbeats tell within a
 * second, and to write their claims again.
 */
#define HOLD_NS (3 * NS_S)
/* Backoff after the first failed call. */
#define RETRY_NS (50 * NS_MS)

enum {
	RECORDS_MAX = 4096,
	CALLS_MAX = 4, /* renewals in flight */
	CALL_TIMEOUT_MS = 500,
	BACKOFF_SHIFT_MAX = 6
};

/* Steps of a renewal. */
enum step { STEP_CREATE, STEP_REPLACE, STEP_READ, STEP_DELETE };

struct claim_record {
	struct gate *gate;
	struct claim_record **holder; /* pointer to this record, or NULL */
	char *name, *id;
	int64_t written_at; /* last successful write, monotonic ns */
	bool is_released;
	bool is_pending; /* it has yet to be written in the present epoch */
	enum step step;
	uint64_t version; /* condition of a replacement or deletion */
	uint64_t epoch; /* that the call in flight was started in */
	struct plat_call *call;
	GList link; /* in claim_records.all */
};

struct claim_records {
	GQueue all; /* struct claim_record *, the oldest first */
	GQueue pending; /* those to be renewed, the newest first */
	uint64_t epoch; /* the latest that the gate has acted on */
	int64_t held_until; /* no key is claimed before, monotonic ns */
	unsigned calls; /* in flight */
	unsigned failures; /* consecutive calls that failed */
	struct tmr_item retry;
};

static void renew_some(void *);
static void on_renewed(void *, enum plat_result, json_t *);

static const struct str claim_kind = STR_LIT("claim");

static void
on_platform_epoch(void *ctx, uint64_t epoch)
{
	struct gate *g = ctx;

	conf_note_epoch(g->conf, epoch);
}

void
gate_renew_open(struct gate *g)
{
	g->claim_records = g_new0(struct claim_records, 1);
	g_queue_init(&g->claim_records->all);
	g_queue_init(&g->claim_records->pending);
	g->plat->on_epoch = on_platform_epoch;
	g->plat->epoch_ctx = g;
}

static void
record_free(struct claim_record *rec)
{
	if (rec->holder != NULL)
		*rec->holder = NULL;
	g_free(rec->name);
	g_free(rec->id);
	g_free(rec);
}

/* Drops the records that a restore cannot lose any more. */
static void
expire(struct claim_records *records, int64_t now)
{
	struct claim_record *rec = g_queue_peek_head(&records->all);

	while (rec != NULL && !rec->is_pending &&
	    (now - rec->written_at > VERSION_COPY_AGE_MAX_MS * NS_MS ||
		records->all.length > RECORDS_MAX)) {
		g_queue_unlink(&records->all, &rec->link);
		record_free(rec);
		rec = g_queue_peek_head(&records->all);
	}
}

void
gate_renew_add(struct gate *g, const char *name, const char *id,
    struct claim_record **holder)
{
	struct claim_record *rec = g_new0(struct claim_record, 1);

	rec->gate = g;
	rec->holder = holder;
	rec->name = g_strdup(name);
	rec->id = g_strdup(id);
	rec->written_at = clk_ns(g->clk);
	rec->link.data = rec;
	*holder = rec;
	g_queue_push_tail_link(&g->claim_records->all, &rec->link);
	expire(g->claim_records, rec->written_at);
}

void
gate_renew_forget_holder(struct claim_record *rec)
{
	if (rec != NULL)
		rec->holder = NULL;
}

void
gate_renew_released(struct claim_record *rec)
{
	if (rec == NULL)
		return;
	rec->is_released = true;
	rec->written_at = clk_ns(rec->gate->clk);
	if (rec->is_pending && rec->call == NULL)
		rec->step = STEP_READ;
}

/* Queues all records for renewal, the newest first: these may be missing. */
static void
queue_all(struct gate *g)
{
	struct claim_records *records = g->claim_records;
	struct claim_record *rec;
	GList *l;

	g_queue_clear(&records->pending);
	for (l = records->all.head; l != NULL; l = l->next) {
		rec = l->data;
		rec->is_pending = true;
		rec->step = rec->is_released ? STEP_READ : STEP_CREATE;
		if (rec->call == NULL)
			g_queue_push_head(&records->pending, rec);
	}
}

/*
 * A first epoch above VERSION_EPOCH_FIRST may have begun just before this gate
 * started, so that the other gates still renew their claims.
 */
static void
note_epoch(struct gate *g)
{
	struct claim_records *records = g->claim_records;
	uint64_t epoch = MAX(g->plat->epoch, conf_epoch(g->conf));
	bool is_first = records->epoch == 0 && records->all.length == 0;
	int64_t now = clk_ns(g->clk);

	if (epoch <= records->epoch)
		return;
	records->epoch = epoch;
	if (is_first && epoch <= VERSION_EPOCH_FIRST)
		return;
	records->held_until = now + HOLD_NS;
	expire(records, now);
	queue_all(g);
	slog(SLOG_CLAIM, "no key is claimed after a restore of the platform",
	    "epoch=%llu for_ms=%lld renewed=%u", (unsigned long long)epoch,
	    (long long)(HOLD_NS / NS_MS), records->all.length);
	renew_some(g);
}

int64_t
gate_renew_hold_left(struct gate *g)
{
	note_epoch(g);
	return MAX(g->claim_records->held_until - clk_ns(g->clk), 0);
}

void
gate_renew_tick(struct gate *g, int64_t now)
{
	note_epoch(g);
	expire(g->claim_records, now);
}

static void
start_call(struct claim_record *rec)
{
	static const enum plat_op ops[] = {[STEP_CREATE] = PLAT_CREATE,
	    [STEP_REPLACE] = PLAT_UPDATE,
	    [STEP_READ] = PLAT_GET,
	    [STEP_DELETE] = PLAT_DELETE};
	struct gate *g = rec->gate;
	struct plat_request rq = {.op = ops[rec->step],
	    .kind = claim_kind,
	    .name = str_c(rec->name),
	    .version = rec->version,
	    .timeout_ms = CALL_TIMEOUT_MS};
	json_t *value = NULL;

	if (rec->step == STEP_CREATE || rec->step == STEP_REPLACE)
		value = gate_claim_value(g, rec->id);
	rq.value = value;
	cnt_add(g->cnt, GC_CLAIM_CALLS, 1);
	g->claim_records->calls++;
	rec->epoch = g->claim_records->epoch;
	rec->call = plat_start(g->plat, &rq, on_renewed, rec);
	json_decref(value);
}

static void
renew_some(void *ctx)
{
	struct gate *g = ctx;
	struct claim_records *records = g->claim_records;

	while (records->calls < CALLS_MAX && records->pending.length > 0 &&
	    !records->retry.armed)
		start_call(g_queue_pop_head(&records->pending));
}

/* Queues another call of a renewal. */
static void
continue_renewal(struct claim_record *rec, enum step step)
{
	rec->step = step;
	g_queue_push_head(&rec->gate->claim_records->pending, rec);
}

/* Starts a renewal again, after a time in which none is continued. */
static void
retry_renewal(struct claim_record *rec)
{
	struct gate *g = rec->gate;
	struct claim_records *records = g->claim_records;
	unsigned shift = MIN(records->failures, BACKOFF_SHIFT_MAX);

	continue_renewal(rec, rec->is_released ? STEP_READ : STEP_CREATE);
	if (records->retry.armed)
		return;
	records->failures++;
	tmr_set(&g->tmr, &records->retry,
	    clk_ns(g->clk) + rnd_jitter(g->rnd, RETRY_NS << shift), renew_some,
	    g);
}

static void
end_renewal(struct claim_record *rec, const char *result)
{
	struct claim_records *records = rec->gate->claim_records;

	rec->is_pending = false;
	rec->written_at = clk_ns(rec->gate->clk);
	slog_decision(SLOG_CLAIM, "claim is renewed", "claim=%s result=%s",
	    rec->name, result);
	/* The queue is ordered by time. */
	g_queue_unlink(&records->all, &rec->link);
	g_queue_push_tail_link(&records->all, &rec->link);
}

static uint64_t
version_of(json_t *object)
{
	return (uint64_t)json_integer_value(json_object_get(object, "version"));
}

/* Handles a claim that was created or replaced. */
static void
on_written(struct claim_record *rec, json_t *body)
{
	if (version_epoch(version_of(body)) < rec->gate->claim_records->epoch)
		retry_renewal(rec);
	else if (rec->is_released)
		continue_renewal(rec, STEP_READ);
	else
		end_renewal(rec, "kept");
}

/*
 * Handles the claim that the platform has.  That of another request with the
 * same key is replaced: it was refused, or it came after this one.
 */
static void
on_current(struct claim_record *rec, json_t *object)
{
	const char *id = json_string_value(json_object_get(object, "change"));
	bool is_own = id != NULL && strcmp(id, rec->id) == 0;

	rec->version = version_of(object);
	if (rec->version == 0 ||
	    version_epoch(rec->version) < rec->gate->claim_records->epoch)
		retry_renewal(rec);
	else if (is_own && rec->is_released)
		continue_renewal(rec, STEP_DELETE);
	else if (is_own || rec->is_released)
		end_renewal(rec, is_own ? "kept" : "gone");
	else
		continue_renewal(rec, STEP_REPLACE);
}

/* Handles the result of a call that the platform executed. */
static void
on_executed(struct claim_record *rec, enum plat_result result, json_t *body)
{
	if (rec->step == STEP_DELETE ||
	    (result == PLAT_NOT_FOUND && rec->is_released))
		end_renewal(rec, "gone");
	else if (result == PLAT_NOT_FOUND)
		continue_renewal(rec, STEP_CREATE);
	else if (result == PLAT_CONFLICT)
		on_current(rec, json_object_get(body, "current"));
	else if (rec->step == STEP_READ)
		on_current(rec, body);
	else
		on_written(rec, body);
}

static void
on_renewed(void *ctx, enum plat_result result, json_t *body)
{
	struct claim_record *rec = ctx;
	struct claim_records *records = rec->gate->claim_records;

	rec->call = NULL;
	records->calls--;
	if (result == PLAT_UNAVAILABLE || result == PLAT_UNKNOWN ||
	    rec->epoch != records->epoch) {
		retry_renewal(rec);
	} else if (result == PLAT_BAD_REQUEST) {
		end_renewal(rec, "rejected");
	} else {
		records->failures = 0;
		on_executed(rec, result, body);
	}
	renew_some(rec->gate);
}
