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
#ifndef ERR_H
#define ERR_H

#include <glib.h>
#include <stdbool.h>

#include "str.h"

/*
 * The closed list of error kinds.  Kinds up to ERR_ANSWER_LAST are answers
 * to callers; those behind it are met by operators and developers only.
 */
enum err_kind {
	ERR_NONE,
	ERR_BAD_REQUEST,
	ERR_TOO_LARGE,
	ERR_NO_RULE,
	ERR_NO_SERVICE,
	ERR_NO_BACKEND,
	ERR_OVER_LIMIT,
	ERR_BUSY,
	ERR_DEADLINE,
	ERR_CONNECT,
	ERR_CUT,
	ERR_REFUSED,
	ERR_DUPLICATE,
	ERR_CLAIM,
	ERR_LEAVING,
	ERR_NOT_READY,
	ERR_POISON,
	ERR_NO_KEY,
	ERR_ANSWER_LAST = ERR_NO_KEY,
	ERR_USAGE,
	ERR_SETTINGS,
	ERR_SELECTOR,
	ERR_OBJECT,
	ERR_CHART,
	ERR_MESSAGE,
	ERR_PLATFORM,
	ERR_CONFLICT,
	ERR_SYSTEM,
	ERR_MAX
};

/* Whether a request was acted on by a backend server. */
enum err_ran { RAN_NO, RAN_UNKNOWN };

/* What a kind means to the one who meets it. */
struct err_row {
	const char *name; /* the kind's name on the wire and in logs */
	int status; /* HTTP status; 0 for kinds not sent to callers */
	int retry_after_s; /* Retry-After in seconds; 0 for none */
	int exit_code; /* exit status of a command that ends on it */
	const char *sentence; /* the answer's text */
};

/* Look up a kind.  Never fails: an unknown kind gives ERR_SYSTEM's. */
const struct err_row *err_answer(enum err_kind);

/*
 * The status of an answer where statuses promise by themselves whether a
 * request has run: one that did not run is never told as a failure on the
 * way, and one that may have run never as refused.
 */
int err_promise_status(enum err_kind, enum err_ran);

/* Find a kind by its name; ERR_NONE if there is none. */
enum err_kind err_by_name(struct str);

/* The name of a ran value: "no" or "unknown". */
const char *err_ran_name(enum err_ran);

/* Domain of every GError of ours; the code is an enum err_kind. */
#define ERR_DOMAIN err_quark()
GQuark err_quark(void);

/* Set a GError of ours and return false, for "return err_set(...)". */
bool err_set(GError **, enum err_kind, const char *, ...) G_GNUC_PRINTF(3, 4);

/* Put the setting that it is about in front of an error; false as well. */
bool err_at(GError **, const char *setting);

#endif
