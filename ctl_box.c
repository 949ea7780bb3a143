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
#include <stdio.h>

#include "libctl.h"

/* Reads admin pages of boxes, which need no platform. */

/*
 * A box answers its pages within some ms.  One that is overloaded gets as long
 * as the platform does.
 */
#define TIMEOUT_NS (3 * NS_S)
/* A page of 1,000 shards has 500 KB. */
enum { PAGE_MAX = 8 << 20 };

/* The page of one box. */
struct page {
	const char *address;
	json_t *value; /* NULL: it could not be read */
	char *error; /* why; NULL: it was read */
};

/* One page that is being read. */
struct page_call {
	struct ctl *ctl;
	struct page *page;
	struct up_call *up; /* NULL: it has ended */
	struct tmr_item timer;
	GString *body;
	int status; /* of the response; 0: none yet */
	unsigned *pending; /* calls that have not ended */
};

static void
on_head(void *, struct up_call *, int status, const h2o_header_t *, size_t);
static void on_body(void *, struct up_call *);
static void on_end(void *, struct up_call *);
static void on_fail(void *, struct up_call *, enum err_kind);

static const struct up_ops ops = {up_ignore, on_head, on_body, on_end, on_fail};

/* Ends a call; `error` is NULL if the page has been read, else it is freed. */
static void
finish(struct page_call *call, char *error)
{
	call->up = NULL;
	call->page->error = error;
	tmr_clear(&call->ctl->tmr, &call->timer);
	g_string_free(call->body, TRUE);
	if (--*call->pending == 0)
		uv_stop(call->ctl->loop);
}

static void
on_head(void *ctx, struct up_call *up, int status, const h2o_header_t *headers,
    size_t n)
{
	struct page_call *call = ctx;

	(void)up;
	(void)headers;
	(void)n;
	call->status = status;
}

static void
append_body(struct page_call *call, struct up_call *up)
{
	h2o_buffer_t **buf = up_body(up);

	if (call->body->len + (*buf)->size <= PAGE_MAX)
		g_string_append_len(
		    call->body, (*buf)->bytes, (gssize)(*buf)->size);
	h2o_buffer_consume(buf, (*buf)->size);
}

static void
on_body(void *ctx, struct up_call *up)
{
	append_body(ctx, up);
}

static void
on_end(void *ctx, struct up_call *up)
{
	struct page_call *call = ctx;
	char *error = NULL;

	append_body(call, up);
	if (call->status == 404)
		error = g_strdup("it has no such page: not an admin address, "
				 "or an older version");
	else if (call->status != 200)
		error = g_strdup_printf("status %d", call->status);
	else
		call->page->value =
		    json_loadb(call->body->str, call->body->len, 0, NULL);
	if (error == NULL && call->page->value == NULL)
		error = g_strdup("its answer is not JSON");
	finish(call, error);
}

static void
on_fail(void *ctx, struct up_call *up, enum err_kind kind)
{
	(void)up;
	finish(ctx,
	    g_strdup(kind == ERR_CONNECT
		    ? "no connection"
		    : "the connection broke before the answer"));
}

static void
on_timeout(void *ctx)
{
	struct page_call *call = ctx;

	up_cancel(call->up);
	finish(call,
	    g_strdup_printf("no answer within %d s", (int)(TIMEOUT_NS / NS_S)));
}

static void
start(struct page_call *call, const char *path)
{
	struct ctl *c = call->ctl;
	struct str address = str_c(call->page->address);
	struct up_request rq = {
	    .address = address,
	    .host = address,
	    .method = STR_LIT("GET"),
	    .path = str_c(path),
	    .new_connection = true,
	    .connect_timeout_ns = TIMEOUT_NS,
	};

	call->body = g_string_new(NULL);
	tmr_set(&c->tmr, &call->timer, clk_ns(c->clk) + TIMEOUT_NS, on_timeout,
	    call);
	call->up = up_start(c->up, &rq, &ops, call);
}

static bool
check_addresses(const struct ctl *c, GError **err)
{
	char ip[64];
	uint16_t port;
	int i;

	if (c->nadmin == 0)
		return err_set(err, ERR_USAGE,
		    "expected the admin address of a box in --admin; the "
		    "option may be repeated");
	for (i = 0; i < c->nadmin; i++)
		if (!field_parse_address(
			str_c(c->admin[i]), ip, sizeof(ip), &port))
			return err_set(err, ERR_USAGE,
			    "--admin: expected IP:PORT, found \"%s\"",
			    c->admin[i]);
	return true;
}

/* Reads a page of all boxes at once.  end_pages() frees the result. */
static bool
read_pages(struct ctl *c, const char *path, struct page **pages, GError **err)
{
	unsigned pending = (unsigned)c->nadmin;
	struct page_call *calls;
	int i;

	*pages = NULL;
	if (!check_addresses(c, err))
		return false;
	*pages = g_new0(struct page, c->nadmin);
	calls = g_new0(struct page_call, c->nadmin);
	for (i = 0; i < c->nadmin; i++) {
		(*pages)[i].address = c->admin[i];
		calls[i] = (struct page_call){
		    .ctl = c, .page = &(*pages)[i], .pending = &pending};
		start(&calls[i], path);
	}
	while (pending > 0)
		uv_run(c->loop, UV_RUN_DEFAULT);
	g_free(calls);
	return true;
}

/* Frees the pages, and prints which boxes could not be read. */
static bool
end_pages(struct ctl *c, struct page *pages, GError **err)
{
	int i, failed = 0;

	for (i = 0; i < c->nadmin; i++) {
		if (pages[i].error != NULL) {
			fprintf(stderr, "fernctl: box %s: %s\n",
			    pages[i].address, pages[i].error);
			failed++;
		}
		g_free(pages[i].error);
		json_decref(pages[i].value);
	}
	g_free(pages);
	if (failed == 0)
		return true;
	return err_set(err, ERR_PLATFORM, "%d of %d boxes could not be read",
	    failed, c->nadmin);
}

/* Prints an array with the page, or the error, of each box. */
static void
print_json(const struct ctl *c, const struct page *pages)
{
	json_t *list = json_array();
	char *text;
	int i;

	for (i = 0; i < c->nadmin; i++)
		json_array_append_new(list,
		    pages[i].error == NULL
			? json_pack("{s:s, s:O}", "admin", pages[i].address,
			      "page", pages[i].value)
			: json_pack("{s:s, s:s}", "admin", pages[i].address,
			      "error", pages[i].error));
	text = json_dumps(list, JSON_INDENT(2) | JSON_SORT_KEYS);
	printf("%s\n", text);
	free(text);
	json_decref(list);
}

static const char *
string_member(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s == NULL ? "" : s;
}

static long long
integer_member(const json_t *o, const char *key)
{
	return (long long)json_integer_value(json_object_get(o, key));
}

/* Writes the members above 0 as "cold=3,limit=12", or "-" if there are none. */
static char *
counts_text(json_t *counts)
{
	GString *text = g_string_new(NULL);
	const char *key;
	json_t *n;

	json_object_foreach (counts, key, n)
		if (json_integer_value(n) > 0)
			g_string_append_printf(text, "%s%s=%lld",
			    text->len == 0 ? "" : ",", key,
			    (long long)json_integer_value(n));
	if (text->len == 0)
		g_string_append_c(text, '-');
	return g_string_free(text, FALSE);
}

static void
print_shard(const char *admin, json_t *shard)
{
	char *left_out = counts_text(json_object_get(shard, "left_out"));
	char *waiting = counts_text(json_object_get(shard, "waiting"));
	char *refused = counts_text(json_object_get(shard, "refused"));

	printf("%-21s %-14s %-10s %-5s %5lld %6lld %-28s %-20s %s\n", admin,
	    string_member(shard, "service"), string_member(shard, "hall"),
	    json_is_true(json_object_get(shard, "owner")) ? "yes" : "no",
	    integer_member(shard, "slots"), integer_member(shard, "usable"),
	    left_out, waiting, refused);
	g_free(left_out);
	g_free(waiting);
	g_free(refused);
}

static void
print_shards(const struct page *page)
{
	json_t *shard;
	size_t i;

	json_array_foreach (page->value, i, shard)
		print_shard(page->address, shard);
}

static void
print_customer(const char *admin, const char *name, const json_t *row)
{
	printf("%-21s %-24s %8lld %9lld %7lld %7lld %5lld %6lld\n", admin, name,
	    integer_member(row, "requests"), integer_member(row, "over_rate"),
	    integer_member(row, "refused"), integer_member(row, "in_time"),
	    integer_member(row, "late"), integer_member(row, "failed"));
}

static void
print_customers(const struct page *page)
{
	json_t *row;
	size_t i;

	json_array_foreach (json_object_get(page->value, "customers"), i, row)
		print_customer(
		    page->address, string_member(row, "customer"), row);
	print_customer(
	    page->address, "(others)", json_object_get(page->value, "others"));
}

/*
 * Reads a page of each box and prints the answers, also if some boxes do not
 * answer.
 */
static bool
show(struct ctl *c, const char *path, const char *header,
    void (*print)(const struct page *), GError **err)
{
	struct page *pages;
	int i;

	if (c->nargs > 0)
		return err_set(err, ERR_USAGE,
		    "\"%s\": expected no word; boxes are given by --admin",
		    c->args[0]);
	if (!read_pages(c, path, &pages, err))
		return false;
	if (c->json)
		print_json(c, pages);
	else
		printf("%s\n", header);
	for (i = 0; i < c->nadmin && !c->json; i++)
		if (pages[i].error == NULL)
			print(&pages[i]);
	return end_pages(c, pages, err);
}

bool
ctl_shards(struct ctl *c, GError **err)
{
	char header[160];

	snprintf(header, sizeof(header),
	    "%-21s %-14s %-10s %-5s %5s %6s %-28s "
	    "%-20s %s",
	    "BOX", "SERVICE", "HALL", "OWNER", "SLOTS", "USABLE", "LEFT OUT",
	    "WAITING", "REFUSED");
	return show(c, "/shards", header, print_shards, err);
}

bool
ctl_customers(struct ctl *c, GError **err)
{
	char header[160];

	snprintf(header, sizeof(header), "%-21s %-24s %8s %9s %7s %7s %5s %6s",
	    "BOX", "CUSTOMER", "REQUESTS", "OVER RATE", "REFUSED", "IN TIME",
	    "LATE", "FAILED");
	return show(c, "/customers", header, print_customers, err);
}
