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

enum { FAILS_DOWN = 2 };

struct target {
	struct str backend, address, path;
	int64_t interval, next;
	bool wanted, out;
	int fails;
	enum msg_health_state state;
};

struct probe {
	struct probe_ops ops;
	const struct rnd *rnd;
	double rate;
	struct limit budget;
	GHashTable *targets; /* char * backend to struct target * */
	uint64_t started, put_off;
};

static void target_free(void *);
static gboolean is_unwanted(gpointer, gpointer, gpointer);
static void conclude(struct probe *, struct target *, enum msg_health_state);

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
		((struct target *)value)->wanted = false;
}

static void
replace(struct str *s, struct str with)
{
	if (str_eq(*s, with))
		return;
	str_free(s);
	*s = str_dup(with);
}

/* A new target's first probe comes at once, the others spread out. */
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
	t->wanted = true;
}

static gboolean
is_unwanted(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	(void)ctx;
	return !((struct target *)value)->wanted;
}

void
probe_targets_commit(struct probe *p)
{
	g_hash_table_foreach_remove(p->targets, is_unwanted, NULL);
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
		if (t->out || now < t->next)
			continue;
		if (!limit_allow(&p->budget, p->rate, now)) {
			p->put_off++;
			return;
		}
		t->out = true;
		t->next = now + rnd_jitter(p->rnd, t->interval);
		p->started++;
		p->ops.start_probe(p->ops.ctx, t->backend, t->address, t->path);
	}
}

static void
conclude(struct probe *p, struct target *t, enum msg_health_state state)
{
	if (t->state == state)
		return;
	t->state = state;
	p->ops.state_changed(p->ops.ctx, t->backend, state);
}

void
probe_record_outcome(
    struct probe *p, struct str backend, enum probe_outcome found, int64_t now)
{
	char *key = g_strndup(backend.p, backend.n);
	struct target *t = g_hash_table_lookup(p->targets, key);

	(void)now;
	g_free(key);
	if (t == NULL)
		return;
	t->out = false;
	if (found != PROBE_FAILED)
		t->fails = 0;
	if (found == PROBE_OK)
		conclude(p, t, HEALTH_UP);
	else if (found == PROBE_DRAINING)
		conclude(p, t, HEALTH_DRAINING);
	else if (++t->fails >= FAILS_DOWN)
		conclude(p, t, HEALTH_DOWN);
}

void
probe_each(const struct probe *p, probe_each_fn *visit, void *ctx)
{
	const struct target *t;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		t = value;
		visit(ctx, t->backend, t->state);
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
	return p->put_off;
}
