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
#include <string.h>

#include "plat.h"

/* The codec of fernplatform(7), whose bodies need no conversion. */

static void
encode(const struct plat_request *, struct str, struct plat_exchange *);
static enum plat_result result_from_status(const struct plat_request *, int);
static json_t *
decode(const struct plat_request *, enum plat_result, json_t *, char **);

const struct plat_codec plat_fern_codec = {
    STR_LIT("fern-epoch"), 0, encode, result_from_status, decode};

static const char *const methods[] = {[PLAT_LIST] = "GET",
    [PLAT_GET] = "GET",
    [PLAT_CREATE] = "PUT",
    [PLAT_UPDATE] = "PUT",
    [PLAT_UPDATE_STATUS] = "PUT",
    [PLAT_DELETE] = "DELETE",
    [PLAT_WATCH] = "GET",
    [PLAT_LIST_BOXES] = "GET"};

static char *
build_path(const struct plat_request *rq)
{
	switch (rq->op) {
	case PLAT_LIST:
		return g_strdup_printf(
		    "/v1/objects?kind=%.*s", STR_ARG(rq->kind));
	case PLAT_WATCH:
		return g_strdup_printf(
		    "/v1/watch?kind=%.*s&since=%llu&wait_ms=%lld",
		    STR_ARG(rq->kind), (unsigned long long)rq->version,
		    (long long)rq->wait_ms);
	case PLAT_LIST_BOXES:
		return g_strdup("/v1/boxes");
	case PLAT_UPDATE_STATUS:
		return g_strdup_printf("/v1/objects/%.*s/%.*s/status",
		    STR_ARG(rq->kind), STR_ARG(rq->name));
	default:
		return g_strdup_printf("/v1/objects/%.*s/%.*s",
		    STR_ARG(rq->kind), STR_ARG(rq->name));
	}
}

static void
encode(
    const struct plat_request *rq, struct str after, struct plat_exchange *out)
{
	(void)after;
	out->method = methods[rq->op];
	out->path = build_path(rq);
	if (rq->value != NULL)
		out->body = json_dumps(rq->value, JSON_COMPACT);
	if (rq->op == PLAT_CREATE) {
		out->header_name = "if-none-match";
		out->header_value = g_strdup("*");
	} else if (rq->op == PLAT_UPDATE || rq->op == PLAT_UPDATE_STATUS ||
	    rq->op == PLAT_DELETE) {
		out->header_name = "if-match";
		out->header_value =
		    g_strdup_printf("%llu", (unsigned long long)rq->version);
	}
}

static enum plat_result
result_from_status(const struct plat_request *rq, int status)
{
	if (status >= 200 && status < 300)
		return PLAT_OK;
	if (status == 412)
		return PLAT_CONFLICT;
	if (status == 404)
		return PLAT_NOT_FOUND;
	if (status == 410)
		return PLAT_TOO_OLD;
	if (status == 503 || status == 429)
		return PLAT_UNAVAILABLE;
	if (status >= 500)
		return strcmp(methods[rq->op], "GET") == 0 ? PLAT_UNAVAILABLE
							   : PLAT_UNKNOWN;
	return PLAT_BAD_REQUEST;
}

static json_t *
decode(const struct plat_request *rq, enum plat_result result, json_t *body,
    char **after)
{
	(void)rq;
	(void)result;
	(void)after;
	return json_incref(body);
}
