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
#include "libreq.h"

/*
 * Requests that arrive before the first configuration are queued until it
 * arrives.
 */

/* Retry-After of a request that was queued for too long. */
#define EARLY_RETRY_AFTER_NS (200 * NS_MS)

static void
refuse(struct gate_req *r)
{
	r->waits_for_conf = false;
	gate_respond(r, ERR_NOT_READY, RAN_NO, EARLY_RETRY_AFTER_NS);
}

static void
on_wait_timeout(void *ctx)
{
	refuse(ctx);
}

/* A gate that is leaving waits for no configuration any more. */
void
gate_early_wait(struct gate_req *r)
{
	struct gate *g = r->gate;

	if (gate_box_leaving(g)) {
		refuse(r);
		return;
	}
	if (g->settings.early_ms == 0) {
		gate_respond(r, ERR_NOT_READY, RAN_NO, 0);
		return;
	}
	r->waits_for_conf = true;
	tmr_set(&g->tmr, &r->timer,
	    r->arrived_at + g->settings.early_ms * NS_MS, on_wait_timeout, r);
}

static void
end_waits(struct gate *g, void (*fn)(struct gate_req *))
{
	GPtrArray *early = g_ptr_array_new();
	struct gate_req *r;
	GList *link;
	guint i;

	for (link = g->reqs.head; link != NULL; link = link->next) {
		r = link->data;
		if (r->waits_for_conf)
			g_ptr_array_add(early, r);
	}
	for (i = 0; i < early->len; i++) {
		r = g_ptr_array_index(early, i);
		r->waits_for_conf = false;
		fn(r);
	}
	g_ptr_array_free(early, TRUE);
}

/* Admits the queued requests once the first configuration is in force. */
void
gate_early_admit(struct gate *g)
{
	end_waits(g, gate_admit);
}

void
gate_early_refuse(struct gate *g)
{
	end_waits(g, refuse);
}
