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
#include <signal.h>

#include "reload.h"

/* Looks whether a settings file is to be read anew. */

/* Soon enough for an operator, and cheap: one stat. */
#define LOOK_NS (2 * NS_S)

static void on_hup(uv_signal_t *, int);
static void on_look(void *);

/* Has the file changed since it was last read? */
static bool
has_changed(struct reload *r)
{
	struct stat st;

	if (stat(r->file, &st) != 0)
		return false;
	if (st.st_mtim.tv_sec == r->mtime.tv_sec &&
	    st.st_mtim.tv_nsec == r->mtime.tv_nsec)
		return false;
	r->mtime = st.st_mtim;
	return true;
}

static void
on_hup(uv_signal_t *sig, int signum)
{
	struct reload *r = sig->data;

	(void)signum;
	has_changed(r);
	r->on_change(r->ctx);
}

static void
look_later(struct reload *r)
{
	tmr_set(r->tmr, &r->timer, clk_ns(r->tmr->clk) + LOOK_NS, on_look, r);
}

static void
on_look(void *ctx)
{
	struct reload *r = ctx;

	if (has_changed(r))
		r->on_change(r->ctx);
	look_later(r);
}

void
reload_open(struct reload *r, uv_loop_t *loop, struct tmr *tmr,
    const char *file, reload_fn *fn, void *ctx)
{
	r->tmr = tmr;
	r->file = file;
	r->on_change = fn;
	r->ctx = ctx;
	has_changed(r);
	uv_signal_init(loop, &r->hup);
	r->hup.data = r;
	uv_signal_start(&r->hup, on_hup, SIGHUP);
	look_later(r);
}
