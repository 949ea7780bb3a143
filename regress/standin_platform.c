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
/*
 * Stand-in for the platform's object API, as fernplatform(7) describes it,
 * with faults that can be switched on and off at run time:
 *
 *	POST /standin/set?mode=up|down|lost|hang&slow_ms=N&skip=0|1&repeat=0|1
 *	POST /standin/set?keep=1	keep a copy of all objects
 *	POST /standin/set?restore=1	restore the copy, with the next epoch
 *	POST /standin/set?restore_at_write=1	the same at the next write,
 *which is refused POST /standin/boxes	set the JSON document for GET /v1/boxes
 *	POST /standin/raw?value=STRING	responses have the text of the body,
 *which need not be JSON, in place of the string GET /standin/counts
 *counts of calls by kind since the start
 */
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "hsrv.h"
#include "tmr.h"

enum mode { MODE_UP, MODE_DOWN, MODE_LOST, MODE_HANG };

static const char *const mode_names[] = {"up", "down", "lost", "hang"};

/* A pending watch, or a delayed response. */
struct waiter {
	h2o_req_t *req; /* NULL after h2o has disposed of it */
	uint64_t since;
	char **kinds;
	struct tmr_item timer;
	json_t *answer;
	int status;
};

static struct {
	uv_loop_t *loop;
	struct tmr tmr;
	GHashTable *objects; /* char * "kind/name" to json_t * */
	uint64_t revision, epoch;
	GHashTable *copy; /* of `objects`; NULL: none is kept */
	uint64_t copy_revision;
	enum mode mode;
	int64_t slow_ms;
	bool skip, repeat, restores;
	uint64_t skipped; /* watches omit changes up to this revision */
	GPtrArray *watches; /* struct waiter * */
	json_t *boxes;
	char *raw_value, *raw_text; /* NULL: none */
	uint64_t reads, writes, waits;
} st;

static GHashTable *
objects_new(void)
{
	return g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
}

static void on_request(void *, h2o_req_t *);
static void answer(h2o_req_t *, int, json_t *);

/* Frees a waiter when h2o disposes of its request. */
static void
on_dispose(void *p)
{
	struct waiter *w = *(struct waiter **)p;

	tmr_clear(&st.tmr, &w->timer);
	g_ptr_array_remove_fast(st.watches, w);
	g_strfreev(w->kinds);
	json_decref(w->answer);
	g_free(w);
}

static struct waiter *
waiter_new(h2o_req_t *req)
{
	struct waiter *w = g_new0(struct waiter, 1), **guard;

	w->req = req;
	guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard), on_dispose);
	*guard = w;
	return w;
}

static void
add_epoch(h2o_req_t *req)
{
	char text[24];
	int n =
	    snprintf(text, sizeof(text), "%llu", (unsigned long long)st.epoch);
	h2o_iovec_t value = h2o_strdup(&req->pool, text, (size_t)n);

	h2o_add_header_by_str(&req->pool, &req->res.headers,
	    H2O_STRLIT("fern-epoch"), 0, NULL, value.base, value.len);
}

/* Replaces a string of a response by the raw text that stands for it. */
static char *
pass_raw(char *text)
{
	GString *out;

	if (st.raw_value == NULL)
		return text;
	out = g_string_new(text);
	g_string_replace(out, st.raw_value, st.raw_text, 0);
	free(text);
	text = strdup(out->str);
	g_string_free(out, TRUE);
	return text;
}

static void
send_json(h2o_req_t *req, int status, json_t *body)
{
	char *text = pass_raw(json_dumps(body, JSON_COMPACT));

	add_epoch(req);
	hsrv_send_response(req, status, "application/json", str_c(text));
	free(text);
	json_decref(body);
}

static void
on_late(void *ctx)
{
	struct waiter *w = ctx;

	send_json(w->req, w->status, json_incref(w->answer));
}

/* Sends a response, after the configured delay if there is one. */
static void
answer(h2o_req_t *req, int status, json_t *body)
{
	struct waiter *w;

	if (st.slow_ms == 0) {
		send_json(req, status, body);
		return;
	}
	w = waiter_new(req);
	w->answer = body;
	w->status = status;
	tmr_set(&st.tmr, &w->timer, clk_ns(clk_system()) + st.slow_ms * NS_MS,
	    on_late, w);
}

static bool
kind_in(char **kinds, const json_t *o)
{
	const char *kind = json_string_value(json_object_get(o, "kind"));

	return g_strv_contains((const char *const *)kinds, kind);
}

static json_t *
changes(char **kinds, uint64_t since, bool deleted_too)
{
	json_t *list = json_array();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, st.objects);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		json_t *o = value;
		uint64_t v =
		    (uint64_t)json_integer_value(json_object_get(o, "version"));

		if (v > since && kind_in(kinds, o) &&
		    (deleted_too ||
			!json_is_true(json_object_get(o, "deleted"))))
			json_array_append(list, o);
	}
	return json_pack(
	    "{s:I, s:o}", "revision", (json_int_t)st.revision, "objects", list);
}

static char **
kinds_of(const h2o_req_t *req)
{
	struct str kind = hsrv_query(req, "kind");
	char *text = g_strndup(kind.p, kind.n);
	char **kinds = g_strsplit(text, ",", 0);

	g_free(text);
	return kinds;
}

static uint64_t
query_u64(const h2o_req_t *req, const char *name)
{
	unsigned long long v = 0;

	str_u64(hsrv_query(req, name), &v);
	return v;
}

static void
on_watch_end(void *ctx)
{
	struct waiter *w = ctx;

	g_ptr_array_remove_fast(st.watches, w);
	send_json(w->req, 200, changes(w->kinds, w->since, true));
}

static void
watch(h2o_req_t *req)
{
	uint64_t since = MAX(query_u64(req, "since"), st.skipped);
	char **kinds;
	json_t *now;
	struct waiter *w;

	st.waits++;
	if (query_u64(req, "since") > st.revision) {
		answer(req, 410, json_object());
		return;
	}
	kinds = kinds_of(req);
	now = changes(kinds, st.repeat ? st.skipped : since, true);
	if (json_array_size(json_object_get(now, "objects")) > 0 &&
	    (st.revision > since)) {
		answer(req, 200, now);
		g_strfreev(kinds);
		return;
	}
	json_decref(now);
	w = waiter_new(req);
	w->since = since;
	w->kinds = kinds;
	tmr_set(&st.tmr, &w->timer,
	    clk_ns(clk_system()) + (int64_t)query_u64(req, "wait_ms") * NS_MS,
	    on_watch_end, w);
	g_ptr_array_add(st.watches, w);
}

/* Completes the watches of a changed object, unless `skip` is set. */
static void
wake(const json_t *changed)
{
	struct waiter *w;
	guint i;

	if (st.skip)
		st.skipped = st.revision;
	for (i = st.watches->len; i-- > 0;) {
		w = g_ptr_array_index(st.watches, i);
		if (!kind_in(w->kinds, changed))
			continue;
		if (st.skip) {
			w->since = st.revision;
			continue;
		}
		tmr_clear(&st.tmr, &w->timer);
		on_watch_end(w);
	}
}

static char *
key_of(struct str path)
{
	static const char head[] = "/v1/objects/";

	return g_strndup(
	    path.p + sizeof(head) - 1, path.n - (sizeof(head) - 1));
}

static uint64_t
version_of(const json_t *o)
{
	if (o == NULL || json_is_true(json_object_get(o, "deleted")))
		return 0;
	return (uint64_t)json_integer_value(json_object_get(o, "version"));
}

/*
 * Returns whether the If-Match or If-None-Match condition holds; sends a 412
 * response if not.
 */
static bool
condition(h2o_req_t *req, json_t *old)
{
	struct str none = hsrv_header(req, "if-none-match");
	struct str match = hsrv_header(req, "if-match");
	unsigned long long v = 0;
	uint64_t have = version_of(old);
	bool ok = none.n > 0 ? have == 0
			     : str_u64(match, &v) && v == have && have != 0;

	if (ok)
		return true;
	answer(req, 412,
	    have == 0 ? json_pack("{s:n}", "current")
		      : json_pack("{s:O}", "current", old));
	return false;
}

static void
write_object(h2o_req_t *req, char *key, bool deleted)
{
	json_t *old = g_hash_table_lookup(st.objects, key), *body, *o;
	char **parts = g_strsplit(key, "/", 2);

	st.writes++;
	body = deleted ? json_object()
		       : json_loadb(req->entity.base, req->entity.len, 0, NULL);
	if (body == NULL || parts[0] == NULL || parts[1] == NULL) {
		answer(req, 400, json_pack("{s:s}", "error", "malformed"));
	} else if (condition(req, old)) {
		o = json_pack("{s:s, s:s, s:I, s:b}", "kind", parts[0], "name",
		    parts[1], "version", (json_int_t)++st.revision, "deleted",
		    (int)deleted);
		json_object_set(o, "spec", json_object_get(body, "spec"));
		json_object_set(o, "change", json_object_get(body, "change"));
		g_hash_table_insert(st.objects, g_strdup(key), o);
		if (st.mode == MODE_LOST)
			waiter_new(req); /* stored, but no response */
		else
			answer(req, 200,
			    json_pack("{s:I, s:O}", "version",
				(json_int_t)st.revision, "change",
				json_object_get(o, "change") != NULL
				    ? json_object_get(o, "change")
				    : json_null()));
		wake(o);
	}
	json_decref(body);
	g_strfreev(parts);
}

static void
object(h2o_req_t *req)
{
	char *key = key_of(hsrv_path(req));
	json_t *o = g_hash_table_lookup(st.objects, key);

	if (h2o_memis(req->method.base, req->method.len, H2O_STRLIT("PUT"))) {
		write_object(req, key, false);
	} else if (h2o_memis(req->method.base, req->method.len,
		       H2O_STRLIT("DELETE"))) {
		write_object(req, key, true);
	} else {
		st.reads++;
		if (version_of(o) == 0)
			answer(req, 404, json_object());
		else
			answer(req, 200, json_incref(o));
	}
	g_free(key);
}

static void
list(h2o_req_t *req)
{
	char **kinds = kinds_of(req);

	st.reads++;
	answer(req, 200, changes(kinds, 0, false));
	g_strfreev(kinds);
}

static void
keep_copy(void)
{
	GHashTableIter it;
	gpointer key, value;

	if (st.copy != NULL)
		g_hash_table_destroy(st.copy);
	st.copy = objects_new();
	g_hash_table_iter_init(&it, st.objects);
	while (g_hash_table_iter_next(&it, &key, &value))
		g_hash_table_insert(st.copy, g_strdup(key), json_incref(value));
	st.copy_revision = st.revision;
}

/* Watches from revisions that the copy does not have are answered 410. */
static void
restore_copy(void)
{
	struct waiter *w;
	guint i;

	if (st.copy == NULL)
		return;
	g_hash_table_destroy(st.objects);
	st.objects = st.copy;
	st.copy = NULL;
	st.revision = st.copy_revision;
	st.skipped = MIN(st.skipped, st.revision);
	st.epoch++;
	keep_copy();
	for (i = st.watches->len; i-- > 0;) {
		w = g_ptr_array_index(st.watches, i);
		if (w->since <= st.revision)
			continue;
		tmr_clear(&st.tmr, &w->timer);
		g_ptr_array_remove_fast(st.watches, w);
		send_json(w->req, 410, json_object());
	}
}

static void
control(h2o_req_t *req)
{
	struct str path = hsrv_path(req), mode = hsrv_query(req, "mode");
	size_t i;

	if (str_eq(path, STR_LIT("/standin/counts"))) {
		send_json(req, 200,
		    json_pack("{s:I, s:I, s:I, s:I}", "reads",
			(json_int_t)st.reads, "writes", (json_int_t)st.writes,
			"waits", (json_int_t)st.waits, "waiting",
			(json_int_t)st.watches->len));
		return;
	}
	if (str_eq(path, STR_LIT("/standin/boxes"))) {
		json_decref(st.boxes);
		st.boxes =
		    json_loadb(req->entity.base, req->entity.len, 0, NULL);
	}
	if (str_eq(path, STR_LIT("/standin/raw"))) {
		g_free(st.raw_value);
		g_free(st.raw_text);
		st.raw_value = g_strdup_printf(
		    "\"%.*s\"", STR_ARG(hsrv_query(req, "value")));
		st.raw_text = g_strndup(req->entity.base, req->entity.len);
	}
	for (i = 0; i < G_N_ELEMENTS(mode_names); i++)
		if (str_eq(mode, str_c(mode_names[i])))
			st.mode = (enum mode)i;
	if (hsrv_query(req, "slow_ms").n > 0)
		st.slow_ms = (int64_t)query_u64(req, "slow_ms");
	if (hsrv_query(req, "skip").n > 0)
		st.skip = query_u64(req, "skip") != 0;
	if (hsrv_query(req, "repeat").n > 0)
		st.repeat = query_u64(req, "repeat") != 0;
	if (query_u64(req, "keep") != 0)
		keep_copy();
	if (query_u64(req, "restore") != 0)
		restore_copy();
	if (query_u64(req, "restore_at_write") != 0)
		st.restores = true;
	send_json(req, 200, json_object());
}

static bool
is_write(const h2o_req_t *req)
{
	return !h2o_memis(req->method.base, req->method.len, H2O_STRLIT("GET"));
}

/* Returns whether this request is refused because of a restore. */
static bool
restores_now(const h2o_req_t *req)
{
	if (!st.restores || !is_write(req))
		return false;
	st.restores = false;
	restore_copy();
	return true;
}

static void
on_request(void *ctx, h2o_req_t *req)
{
	struct str path = hsrv_path(req);
	bool is_control = str_has_prefix(path, STR_LIT("/standin/"));
	bool restores = !is_control && restores_now(req);

	(void)ctx;
	if (is_control) {
		control(req);
	} else if (restores) {
		send_json(req, 503, json_object());
	} else if (st.mode == MODE_HANG) {
		waiter_new(req);
	} else if (st.mode == MODE_DOWN) {
		st.reads++;
		send_json(req, 503, json_object());
	} else if (str_has_prefix(path, STR_LIT("/v1/objects/"))) {
		object(req);
	} else if (str_eq(path, STR_LIT("/v1/objects"))) {
		list(req);
	} else if (str_eq(path, STR_LIT("/v1/watch"))) {
		watch(req);
	} else if (str_eq(path, STR_LIT("/v1/boxes"))) {
		st.reads++;
		answer(req, 200, json_incref(st.boxes));
	} else {
		send_json(req, 404, json_object());
	}
}

int
main(int argc, char **argv)
{
	GError *err = NULL;

	if (argc != 2) {
		fprintf(stderr, "usage: standin_platform ADDRESS\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	st.loop = uv_default_loop();
	tmr_open(&st.tmr, st.loop, clk_system());
	st.objects = objects_new();
	st.epoch = 1;
	st.watches = g_ptr_array_new();
	st.boxes = json_pack("{s:[]}", "boxes");
	if (hsrv_open(st.loop, str_c(argv[1]), 1 << 20, on_request, NULL,
		&err) == NULL) {
		fprintf(stderr, "standin_platform: %s\n", err->message);
		return 1;
	}
	return uv_run(st.loop, UV_RUN_DEFAULT);
}
