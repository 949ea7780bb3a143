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
#include <glib.h>

#include "probe.h"

/* Consecutive failed probes after which a backend server is down. */
enum { FAILURES_DOWN = 2 };

struct target {
	struct str backend, address, path;
	int64_t interval, next; /* ns */
	bool keep; /* added since probe_targets_begin() */
	bool in_flight; /* a probe was started, its outcome is pending */
	int failures; /* consecutive ones */
	enum msg_health_state state;
};

struct probe {
	struct probe_ops ops;
	const struct rnd *rnd;
	double rate;
	struct limit limit;
	GHashTable *targets; /* char * backend to struct target * */
	uint64_t started, deferred;
};

static void target_free(void *);
static gboolean is_removed(gpointer, gpointer, gpointer);
static void set_state(struct probe *, struct target *, enum msg_health_state);

static void
target_free(void *p)
{
	struct target *t = p;

	str_free(&t->backend);
	str_free(&t->address);
	str_free(&t->path);
	g_free(t);
}

struct probe *
probe_new(const struct probe_ops *ops, const struct rnd *rnd, double rate)
{
	struct probe *p = g_new0(struct probe, 1);

	p->ops = *ops;
	p->rnd = rnd;
	p->rate = rate;
	p->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
	return p;
}

void
probe_free(struct probe *p)
{
	g_hash_table_destroy(p->targets);
	g_free(p);
}

void
probe_targets_begin(struct probe *p)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->targets);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct target *)value)->keep = false;
}

static void
replace(struct str *s, struct str value)
{
	if (str_eq(*s, value))
		return;
	str_free(s);
	*s = str_dup(value);
}

/*
 * The first probe of a new target is sent at once.  probe_tick() adds jitter to
 * the interval, which spreads out later ones.
 */
void
probe_targets_add(struct probe *p, struct str backend, struct str address,
    struct str path, int64_t interval, int64_t now)
{
	char *key = g_strndup(backend.p, backend.n);
	struct target *t = g_hash_table_lookup(p->targets, key);

	g_free(key);
	if (t == NULL) {
		t = g_new0(struct target, 1);
		t->backend = str_dup(backend);
		t->next = now;
		g_hash_table_insert(p->targets, (char *)t->backend.p, t);
	}
	replace(&t->address, address);
	replace(&t->path, path);
	t->interval = interval;
	t->keep = true;
}

static gboolean
is_removed(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	(void)ctx;
	return !((struct target *)value)->keep;
}

void
probe_targets_commit(struct probe *p)
{
	g_hash_table_foreach_remove(p->targets, is_removed, NULL);
}

void
probe_tick(struct probe *p, int64_t now)
{
	GHashTableIter it;
	struct target *t;
	gpointer value;

	g_hash_table_iter_init(&it, p->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		t = value;
		if (t->in_flight || now < t->next)
			continue;
		if (!limit_allow(&p->limit, p->rate, now)) {
			p->deferred++;
			return;
		}
		t->in_flight = true;
		t->next = now + rnd_jitter(p->rnd, t->interval);
		p->started++;
		p->ops.start_probe(p->ops.ctx, t->backend, t->address, t->path);
	}
}

static void
set_state(struct probe *p, struct target *t, enum msg_health_state state)
{
	if (t->state == state)
		return;
	t->state = state;
	p->ops.state_changed(p->ops.ctx, t->backend, state);
}

void
probe_record_outcome(struct probe *p, struct str backend,
    enum probe_outcome outcome, int64_t now)
{
	char *key = g_strndup(backend.p, backend.n);
	struct target *t = g_hash_table_lookup(p->targets, key);

	(void)now;
	g_free(key);
	if (t == NULL)
		return;
	t->in_flight = false;
	if (outcome != PROBE_FAILED)
		t->failures = 0;
	if (outcome == PROBE_OK)
		set_state(p, t, HEALTH_UP);
	else if (outcome == PROBE_DRAINING)
		set_state(p, t, HEALTH_DRAINING);
	else if (++t->failures >= FAILURES_DOWN)
		set_state(p, t, HEALTH_DOWN);
}

void
probe_each(const struct probe *p, probe_each_fn *fn, void *ctx)
{
	const struct target *t;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		t = value;
		fn(ctx, t->backend, t->state);
	}
}

unsigned
probe_target_count(const struct probe *p)
{
	return g_hash_table_size(p->targets);
}

uint64_t
probe_started_count(const struct probe *p)
{
	return p->started;
}

uint64_t
probe_deferred_count(const struct probe *p)
{
	return p->deferred;
}
