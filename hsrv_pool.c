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
#include "libhsrv.h"
#include "slog.h"

/*
 * What the connections of several servers hold together.  A limit of each
 * connection would not bound their sum, so the one that holds most is closed
 * when the sum exceeds the limit.  An ordinary request holds little and is
 * served beside connections that hold much.
 */

void
hsrv_pool_add(struct hsrv_pool *p, struct hsrv *s)
{
	s->pool = p;
	p->servers = g_slist_prepend(p->servers, s);
}

/* Returns the connection that holds most; NULL if all are being closed. */
static struct hsrv_tcp *
find_largest(const struct hsrv_pool *p)
{
	struct hsrv_tcp *t, *largest = NULL;
	const struct hsrv *s;
	const GSList *server;
	const GList *link;

	for (server = p->servers; server != NULL; server = server->next) {
		s = server->data;
		for (link = s->connections.head; link != NULL;
		     link = link->next) {
			t = link->data;
			if (!t->ending &&
			    (largest == NULL || t->held > largest->held))
				largest = t;
		}
	}
	return largest;
}

static void
end(struct hsrv_pool *p, struct hsrv_tcp *t, bool in_use)
{
	slog_decision(SLOG_GATE, "a connection is closed for its memory",
	    "bytes=%zu held=%zu max=%zu", t->held, p->held, p->held_max);
	p->closed++;
	t->ending = true;
	p->ending += t->held;
	if (t->conn != NULL)
		hsrv_conn_end_now(t->conn, "memory", in_use);
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
	    (largest = find_largest(p)) != NULL)
		end(p, largest, largest == t);
}

bool
hsrv_pool_must_wait(const struct hsrv_tcp *t)
{
	const struct hsrv_pool *p = t->srv->pool;

	return p != NULL && p->ending > 0 && p->held > p->held_max;
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
