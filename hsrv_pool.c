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
#include <limits.h>
#include <sys/resource.h>

#include "libhsrv.h"
#include "slog.h"

/*
 * What the connections of several servers hold together.  A limit of each
 * connection would not bound their sum, so the one that holds most is closed
 * when the sum exceeds the limit.  An ordinary request holds little and is
 * served beside connections that hold much.  The same holds for descriptors and
 * connections that are silent.
 */

enum {
	/* Descriptors of a process that are not for connections of callers. */
	OWN_DESCRIPTORS = 64,
	/* The limit may change; it is read after so many connections. */
	LIMIT_INTERVAL = 16
};

/* Sets the limit of descriptors: the rest is for those to other servers. */
static void
set_descriptors_max(struct hsrv_pool *p)
{
	struct rlimit limit;
	rlim_t n = OWN_DESCRIPTORS;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
		n = MIN(limit.rlim_cur, (rlim_t)INT_MAX);
	p->descriptors_max =
	    (unsigned)(MAX(n, 2 * OWN_DESCRIPTORS) - OWN_DESCRIPTORS) / 4 * 3;
}

void
hsrv_pool_add(struct hsrv_pool *p, struct hsrv *s)
{
	s->pool = p;
	p->servers = g_slist_prepend(p->servers, s);
	set_descriptors_max(p);
}

/* Returns whether a connection is better suited to be closed than another. */
typedef bool is_better_fn(const struct hsrv_tcp *, const struct hsrv_tcp *);

static bool
holds_more(const struct hsrv_tcp *t, const struct hsrv_tcp *other)
{
	return other == NULL || t->held > other->held;
}

static bool
is_handling(const struct hsrv_tcp *t)
{
	return t->conn != NULL ? hsrv_conn_is_handling(t->conn)
			       : t->h2 != NULL && hsrv_h2_is_handling(t);
}

static bool
is_silent_longer(const struct hsrv_tcp *t, const struct hsrv_tcp *other)
{
	return (other == NULL || t->read_at < other->read_at) &&
	    !is_handling(t);
}

/* Returns the connection to close; NULL if none is left. */
static struct hsrv_tcp *
find(const struct hsrv_pool *p, is_better_fn *is_better)
{
	struct hsrv_tcp *t, *best = NULL;
	const struct hsrv *s;
	const GSList *server;
	const GList *link;

	for (server = p->servers; server != NULL; server = server->next) {
		s = server->data;
		for (link = s->connections.head; link != NULL;
		     link = link->next) {
			t = link->data;
			if (!t->ending &&
			    !uv_is_closing((uv_handle_t *)&t->tcp) &&
			    is_better(t, best))
				best = t;
		}
	}
	return best;
}

static void
end(struct hsrv_pool *p, struct hsrv_tcp *t, const char *why, bool in_use)
{
	slog_decision(SLOG_GATE, "a connection is closed for a limit of all",
	    "why=%s bytes=%zu held=%zu held_max=%zu descriptors=%u "
	    "descriptors_max=%u",
	    why, t->held, p->held, p->held_max, p->descriptors,
	    p->descriptors_max);
	p->closed++;
	t->ending = true;
	p->ending += t->held;
	if (t->conn != NULL)
		hsrv_conn_end_now(t->conn, why, in_use);
	else
		hsrv_h2_end(t, in_use);
}

void
hsrv_tcp_set_held(struct hsrv_tcp *t, size_t n)
{
	struct hsrv_pool *p = t->srv->pool;
	size_t before = t->held;
	struct hsrv_tcp *largest;

	t->held = n;
	if (p == NULL)
		return;
	p->held += n - before;
	if (t->ending)
		p->ending += n - before;
	if (t->ending || n <= before)
		return;
	while (p->held - p->ending > p->held_max &&
	    (largest = find(p, holds_more)) != NULL)
		end(p, largest, "memory", largest == t);
}

void
hsrv_pool_count_descriptors(struct hsrv *s, int n)
{
	if (s->pool != NULL)
		s->pool->descriptors += (unsigned)n;
}

void
hsrv_pool_bound_descriptors(struct hsrv *s)
{
	struct hsrv_pool *p = s->pool;
	struct hsrv_tcp *t;
	unsigned excess;

	if (p == NULL)
		return;
	if (p->accepted++ % LIMIT_INTERVAL == 0)
		set_descriptors_max(p);
	if (p->descriptors <= p->descriptors_max)
		return;
	for (excess = p->descriptors - p->descriptors_max; excess > 0;
	     excess--) {
		t = find(p, is_silent_longer);
		if (t == NULL)
			return;
		end(p, t, "descriptors", false);
	}
}

bool
hsrv_pool_must_wait(const struct hsrv_tcp *t)
{
	const struct hsrv_pool *p = t->srv->pool;

	/* One that is being closed has to read its end. */
	return p != NULL && !t->ending && p->ending > 0 &&
	    p->held > p->held_max;
}

void
hsrv_tcp_leave_pool(struct hsrv_tcp *t)
{
	struct hsrv_pool *p = t->srv->pool;

	if (p == NULL)
		return;
	p->held -= t->held;
	if (t->ending)
		p->ending -= t->held;
}

void
hsrv_set_held(struct hsrv *s, h2o_req_t *req, size_t *held, size_t n)
{
	struct hsrv_tcp *t = hsrv_conn_tcp(req);
	size_t before = *held;

	if (t == NULL)
		t = hsrv_h2_tcp(s, req);
	*held = n;
	if (t == NULL || n == before)
		return;
	t->handler_held += n - before;
	hsrv_tcp_set_held(t, t->held + n - before);
}
