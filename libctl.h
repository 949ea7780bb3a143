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

/* The state of one run of fernctl. */
struct ctl {
	uv_loop_t *loop;
	const struct clk *clk;
	const struct rnd *rnd;
	struct tmr tmr;
	struct up *up;
	struct plat *plat;
	bool json; /* print JSON in place of tables */
	char **args; /* the arguments after the command; NULL-terminated */
	int nargs;
	char *method, *host, *header; /* for explain; header may be NULL */
	const char **admin; /* admin addresses of boxes */
	int nadmin;
};

/* A command; returns true, or false with an error set. */
typedef bool ctl_fn(struct ctl *, GError **);

ctl_fn ctl_apply, ctl_diff, ctl_get, ctl_label, ctl_drain, ctl_undrain,
    ctl_evacuate, ctl_return, ctl_limits, ctl_delete, ctl_status, ctl_explain,
    ctl_shards, ctl_customers;

/* ctl_call.c: synchronous calls to the platform. */

/* Makes one call and waits for it; *body is a new reference or NULL. */
enum plat_result
ctl_call(struct ctl *, const struct plat_request *, json_t **body);

/*
 * Reads an object; the result is a new reference.  Returns NULL with no error
 * set if the object does not exist, NULL with ERR_PLATFORM on failure.
 */
json_t *ctl_read(struct ctl *, struct str kind, struct str name, GError **);

/*
 * Lists all objects of some kinds, separated by commas.  The result is a new
 * reference; NULL with ERR_PLATFORM on failure.
 */
json_t *ctl_list(struct ctl *, struct str kinds, GError **);

/*
 * Writes an object on the condition that it still has the version of `old`
 * (NULL: that it does not exist yet).  `spec` NULL deletes it.  If the reply is
 * lost, the object is read back: the change id in it shows whether the write
 * took effect.  *version is the new version.  Returns false with ERR_CONFLICT
 * if another change came first, with ERR_PLATFORM if the platform rejects the
 * write or does not reply.
 */
bool ctl_write(struct ctl *, struct str kind, struct str name, json_t *old,
    json_t *spec, uint64_t *version, GError **);

/*
 * Splits "kind/name"; `name` points into the text.  Returns false with
 * ERR_USAGE if the kind is unknown or the name is not valid.
 */
bool ctl_parse_key(const char *, enum obj_kind *, struct str *name, GError **);

#endif
