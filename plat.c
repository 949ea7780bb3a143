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
#include "dial.h"
#include "plat.h"
#include "platform/platform.h"

/* The forms in which the platform is told, by name. */

extern const struct plat_codec plat_fern_codec;

static const char *const result_names[] = {
    "ok", "conflict", "none", "too-old", "unsure", "down", "bad"};

static const char *const fern_feeds[] = {
    "backend,service,rule,listener,bundle,evacuation,rollout", NULL};

static const struct plat_adapter fern_form = {
    "fern", &plat_fern_codec, &fern_dialect, fern_feeds, false, NULL, NULL};

static const struct plat_adapter *const forms[] = {&fern_form, &platform_form};

const char *
plat_result_name(enum plat_result r)
{
	return result_names[r];
}

const struct plat_adapter *
plat_adapter_by_name(struct str name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(forms); i++)
		if (str_eq(str_c(forms[i]->name), name))
			return forms[i];
	return NULL;
}

json_t *
plat_parse_json(struct str text)
{
	json_t *body = json_loadb(text.p, text.n, JSON_ALLOW_NUL, NULL);
	char *valid;

	if (body != NULL)
		return body;
	valid = g_utf8_make_valid(text.p, (gssize)text.n);
	body = json_loadb(valid, strlen(valid), JSON_ALLOW_NUL, NULL);
	g_free(valid);
	return body;
}
