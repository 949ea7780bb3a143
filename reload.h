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
#ifndef RELOAD_H
#define RELOAD_H

#include <sys/stat.h>
#include <uv.h>

#include "tmr.h"

/*
 * Tells that a settings file is to be read anew: on SIGHUP, or because the
 * file has changed, which is looked at every few seconds.
 */
typedef void reload_fn(void *);

struct reload {
	struct tmr *tmr;
	uv_signal_t hup;
	struct tmr_item timer;
	const char *file;
	struct timespec mtime; /* the file's time when it was last read */
	reload_fn *on_change;
	void *ctx;
};

/* `file` must outlive the struct. */
void reload_open(struct reload *, uv_loop_t *, struct tmr *, const char *file,
    reload_fn *, void *);

#endif
