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
#ifndef LIBCTL_H
#define LIBCTL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "clk.h"
#include "err.h"
#include "obj.h"
#include "plat.h"
#include "tmr.h"
#include "up.h"

/* What one run of fernctl works with. */
struct ctl {
	uv_loop_t *loop;
	const struct clk *clk;
	const struct rnd *rnd;
	struct tmr tmr;
	struct up *up;
	struct plat *plat;
	bool json; /* print JSON in place of tables */
	char **args; /* the words behind the command's name */
	int nargs;
	char *method, *host, *header; /* for explain */
};

/* A command returns true, or false with an error set. */
typedef bool ctl_fn(struct ctl *, GError **);

ctl_fn ctl_apply, ctl_diff, ctl_get, ctl_label, ctl_drain, ctl_undrain,
    ctl_evacuate, ctl_return, ctl_limits, ctl_delete, ctl_status, ctl_explain;

/* ctl_call.c: calls to the platform that wait for their answer. */

/* One call; *body is a new reference or NULL. */
enum plat_result
ctl_call(struct ctl *, const struct plat_request *, json_t **body);

/* Read an object: NULL with no error set if it is not there. */
json_t *ctl_read(struct ctl *, struct str kind, struct str name, GError **);

/* All objects of some kinds, as the platform lists them. */
json_t *ctl_list(struct ctl *, struct str kinds, GError **);

/*
 * Write an object on the condition that it is still in the version that
 * `old` shows (NULL: that it is not there).  A lost answer is settled by
 * reading back the change id that the write carries.  `spec` NULL deletes.
 */
bool ctl_write(struct ctl *, struct str kind, struct str name, json_t *old,
    json_t *spec, uint64_t *version, GError **);

/* The parts of "kind/name"; false with an error set if it is not that. */
bool ctl_key(const char *, enum obj_kind *, struct str *name, GError **);

#endif
