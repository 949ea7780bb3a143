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
#include <stdarg.h>

#include "err.h"

static const struct err_info kinds[ERR_MAX] = {
    [ERR_NONE] = {"none", 200, 0, 0, "no error"},
    [ERR_BAD_REQUEST] = {"bad-request", 400, 0, 1, "the request is malformed"},
    [ERR_TOO_LARGE] = {"too-large", 413, 0, 1, "the body is too large"},
    [ERR_NO_RULE] = {"no-rule", 404, 0, 1, "no rule takes this request"},
    [ERR_NO_SERVICE] = {"no-service", 503, 2, 1,
	"the rule's service is unknown"},
    [ERR_NO_BACKEND] = {"no-backend", 503, 2, 1,
	"no backend server can serve this now"},
    [ERR_OVER_LIMIT] = {"over-limit", 429, 1, 1, "a limit is reached"},
    [ERR_BUSY] = {"busy", 503, 1, 1, "no slot can be free in time"},
    [ERR_DEADLINE] = {"deadline", 504, 0, 1, "the deadline passed"},
    [ERR_CONNECT] = {"connect", 502, 1, 1, "no connection could be made"},
    [ERR_CUT] = {"cut", 502, 0, 1, "the connection broke before the answer"},
    [ERR_REFUSED] = {"refused", 503, 1, 1, "the backend servers refused it"},
    [ERR_DUPLICATE] = {"duplicate", 409, 0, 1,
	"a request with this key was taken before"},
    [ERR_CLAIM] = {"claim", 503, 2, 1, "the key could not be claimed now"},
    [ERR_LEAVING] = {"leaving", 503, 1, 1, "this box is leaving"},
    [ERR_NOT_READY] = {"not-ready", 503, 2, 1,
	"this box has no configuration yet"},
    [ERR_POISON] = {"poison", 503, 600, 1,
	"backend servers ended each time that they ran this request"},
    [ERR_NO_KEY] = {"no-key", 401, 0, 1,
	"the request needs the key of a customer"},
    [ERR_NO_ROOM] = {"no-room", 503, 1, 1,
	"the box has no memory for its body now"},
    [ERR_USAGE] = {"usage", 0, 0, 2, "wrong command line"},
    [ERR_SETTINGS] = {"settings", 0, 0, 3, "wrong settings"},
    [ERR_SELECTOR] = {"selector", 0, 0, 4, "wrong selector"},
    [ERR_OBJECT] = {"object", 0, 0, 4, "wrong object"},
    [ERR_CHART] = {"chart", 0, 0, 3, "wrong state chart"},
    [ERR_MESSAGE] = {"message", 0, 0, 1, "wrong message"},
    [ERR_PLATFORM] = {"platform", 0, 0, 5, "the platform did not answer"},
    [ERR_CONFLICT] = {"conflict", 0, 0, 6, "another change came first"},
    [ERR_SYSTEM] = {"system", 500, 0, 7, "the system refused a call"},
};

const struct err_info *
err_lookup(enum err_kind kind)
{
	if ((unsigned)kind >= ERR_MAX)
		kind = ERR_SYSTEM;
	return &kinds[kind];
}

int
err_status_for_ran(enum err_kind kind, enum err_ran ran)
{
	int status = err_lookup(kind)->status;

	if (ran == RAN_NO && status >= 500)
		return 503;
	if (ran == RAN_UNKNOWN && (status == 503 || status == 429))
		return kind == ERR_BUSY || kind == ERR_NO_BACKEND ? 504 : 502;
	return status;
}

enum err_kind
err_by_name(struct str name)
{
	int i;

	for (i = 0; i < ERR_MAX; i++)
		if (str_eq(str_c(kinds[i].name), name))
			return (enum err_kind)i;
	return ERR_NONE;
}

const char *
err_ran_name(enum err_ran ran)
{
	return ran == RAN_NO ? "no" : "unknown";
}

GQuark
err_quark(void)
{
	return g_quark_from_static_string("fernjunction");
}

bool
err_set(GError **err, enum err_kind kind, const char *fmt, ...)
{
	va_list ap;

	if (err == NULL || *err != NULL)
		return false;
	va_start(ap, fmt);
	*err = g_error_new_valist(ERR_DOMAIN, (int)kind, fmt, ap);
	va_end(ap);
	return false;
}

bool
err_prefix_setting(GError **err, const char *setting)
{
	g_prefix_error(err, "%s: ", setting);
	return false;
}
