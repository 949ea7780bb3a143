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

#include "dial.h"
#include "json_mend.h"
#include "plat.h"
#include "platform/platform.h"

/* The adapters by name, and parsing of the platform's JSON. */

extern const struct plat_codec plat_fern_codec;

static const char *const result_names[] = {
    "ok", "conflict", "none", "too-old", "unsure", "down", "bad"};

static const char *const fern_feeds[] = {
    "backend,service,rule,listener,bundle,evacuation,rollout", NULL};

static const struct plat_adapter fern_adapter = {
    "fern", &plat_fern_codec, &fern_dialect, fern_feeds, false, NULL, NULL};

static const struct plat_adapter *const adapters[] = {
    &fern_adapter, &pf_adapter};

const char *
plat_result_name(enum plat_result r)
{
	return result_names[r];
}

const struct plat_adapter *
plat_adapter_by_name(struct str name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(adapters); i++)
		if (str_eq(str_c(adapters[i]->name), name))
			return adapters[i];
	return NULL;
}

static json_t *
load(const char *p, size_t n)
{
	return json_loadb(p, n, JSON_ALLOW_NUL, NULL);
}

json_t *
plat_parse_mended(struct str text, struct json_mends *mends)
{
	json_t *body = json_mend_is_deep(text) ? NULL : load(text.p, text.n);
	GString *mended;
	char *valid;

	memset(mends, 0, sizeof(*mends));
	if (body != NULL)
		return body;
	valid = g_utf8_make_valid(text.p, (gssize)text.n);
	mended = json_mend(str_c(valid), mends);
	body = load(mended->str, mended->len);
	g_string_free(mended, TRUE);
	g_free(valid);
	return body;
}

json_t *
plat_parse_json(struct str text)
{
	struct json_mends mends;

	return plat_parse_mended(text, &mends);
}
