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
 * All kinds of error.  Those up to ERR_RESPONSE_LAST are sent to callers; the
 * ones after it are seen by operators and developers only.
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
	ERR_NO_ROOM,
	ERR_RESPONSE_LAST = ERR_NO_ROOM,
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

/* Whether a backend server executed a request: certainly not, or unknown. */
enum err_ran { RAN_NO, RAN_UNKNOWN };

/* How an error kind is reported to callers and operators. */
struct err_info {
	const char *name; /* the kind's name on the wire and in logs */
	int status; /* HTTP status; 0 for kinds not sent to callers */
	int retry_after_s; /* Retry-After in seconds; 0 for none */
	int exit_code; /* exit status of a command that fails with it */
	const char *sentence; /* the text of the HTTP response */
};

/* Looks up a kind.  An unknown kind gives the entry of ERR_SYSTEM. */
const struct err_info *err_lookup(enum err_kind);

/*
 * Returns the HTTP status of an error for callers that conclude from the status
 * alone whether the request was executed.  A request that was not executed
 * never gets a 5xx status other than 503; one that may have been executed never
 * gets 503 or 429.
 */
int err_status_for_ran(enum err_kind, enum err_ran);

/* Finds a kind by its name; ERR_NONE if there is none. */
enum err_kind err_by_name(struct str);

/* Returns the name of an err_ran value: "no" or "unknown". */
const char *err_ran_name(enum err_ran);

/* The domain of every GError of this project; its code is an err_kind. */
#define ERR_DOMAIN err_quark()
GQuark err_quark(void);

/*
 * Sets a GError with a kind and a message, and returns false, for "return
 * err_set(...)".  Does nothing if the pointer is NULL or an error is set.
 */
bool err_set(GError **, enum err_kind, const char *, ...) G_GNUC_PRINTF(3, 4);

/* Prefixes an error's message with the setting's name; returns false. */
bool err_prefix_setting(GError **, const char *setting);

#endif
