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
#include "mem.h"
#include "once.h"
#include "plat.h"
#include "slog.h"
#include "tmr.h"
#include "up.h"
#include "version.h"

/* The platform client: sends calls over HTTP and joins the pages of lists. */

enum {
	/* Bytes of the responses, or pages, of all calls together. */
	RESPONSES_MAX = 64 << 20,
	/* And this part of the memory. */
	RESPONSES_PART = 8,
	PAGES_MAX = 4096, /* of a list */
	TIMEOUT_MS = 2000 /* default time limit of a call or page */
};
#define CONNECT_TIMEOUT_NS (1 * NS_S)

struct plat_http {
	struct plat plat;
	struct up *up;
	struct tmr *tmr;
	const struct clk *clk;
	struct str address;
	const struct plat_codec *codec;
	size_t held, held_max; /* bytes of responses */
	struct once logged; /* faults in responses */
};

struct plat_call {
	struct plat_http *http;
	struct plat_request rq; /* owns copies of its strings */
	struct plat_exchange ex;
	struct up_call *up;
	struct tmr_item timer;
	int64_t timeout_ns; /* for a response, or one page of a list */
	plat_done_fn *done;
	void *ctx;
	bool sent, read_only;
	int status;
	uint64_t epoch; /* of the last response */
	bool epoch_changed; /* between two pages */
	GString *response;
	json_t *pages; /* the decoded pages so far, joined */
	char *after; /* where the last page that was asked for begins */
	unsigned npages; /* that were asked for after the first */
};

static struct plat_call *
start(void *, const struct plat_request *, plat_done_fn *, void *);
static void cancel(void *, struct plat_call *);
static void send_request(struct plat_call *, struct str after);
static void on_connected(void *, struct up_call *);
static void
on_head(void *, struct up_call *, int, const h2o_header_t *, size_t);
static void on_body(void *, struct up_call *);
static void on_end(void *, struct up_call *);
static void on_fail(void *, struct up_call *, enum err_kind);
static void on_timeout(void *);
static void on_earlier_epoch(void *);
static void finish(struct plat_call *, enum plat_result, json_t *);

static const struct up_ops ops = {
    on_connected, on_head, on_body, on_end, on_fail};

struct plat *
plat_http_open(struct up *up, struct tmr *tmr, const struct clk *clk,
    struct str address, const struct plat_codec *codec)
{
	struct plat_http *h = g_new0(struct plat_http, 1);

	h->plat.start = start;
	h->plat.cancel = cancel;
	h->plat.ctx = h;
	h->up = up;
	h->tmr = tmr;
	h->clk = clk;
	h->address = str_dup(address);
	h->codec = codec;
	h->held_max =
	    (size_t)MIN(RESPONSES_MAX, mem_allowed() / RESPONSES_PART);
	return &h->plat;
}

void
plat_http_close(struct plat *p)
{
	struct plat_http *h = p->ctx;

	str_free(&h->address);
	g_free(h);
}

/*
 * Returns whether a write has a condition of an earlier epoch.  The platform
 * compares revisions only, and may have given this one to another version.
 */
static bool
has_stale_condition(const struct plat_call *c)
{
	return (c->rq.op == PLAT_UPDATE || c->rq.op == PLAT_UPDATE_STATUS ||
		   c->rq.op == PLAT_DELETE) &&
	    version_epoch(c->rq.version) < c->http->plat.epoch;
}

static struct plat_call *
start(void *ctx, const struct plat_request *rq, plat_done_fn *done, void *arg)
{
	struct plat_http *h = ctx;
	struct plat_call *c = g_new0(struct plat_call, 1);
	int64_t ms = rq->timeout_ms > 0 ? rq->timeout_ms : TIMEOUT_MS;

	c->http = h;
	c->done = done;
	c->ctx = arg;
	c->rq = *rq;
	c->rq.kind = str_dup(rq->kind);
	c->rq.name = str_dup(rq->name);
	c->response = g_string_new(NULL);
	c->timeout_ns = (ms + rq->wait_ms) * NS_MS;
	if (has_stale_condition(c))
		tmr_set(h->tmr, &c->timer, clk_ns(h->clk), on_earlier_epoch, c);
	else
		send_request(c, str_c(NULL));
	c->rq.value = NULL;
	return c;
}

static void
exchange_clear(struct plat_call *c)
{
	g_free(c->ex.path);
	g_free(c->ex.header_value);
	free(c->ex.body);
	memset(&c->ex, 0, sizeof(c->ex));
}

static void
drop_response(struct plat_call *c)
{
	c->http->held -= c->response->len;
	g_string_truncate(c->response, 0);
}

/* Sends the request of a call, or the request for its next page. */
static void
send_request(struct plat_call *c, struct str after)
{
	struct plat_http *h = c->http;
	struct plat_request rq = c->rq;
	struct up_request up = {0};
	h2o_header_t header;
	h2o_iovec_t name;

	exchange_clear(c);
	drop_response(c);
	tmr_set(
	    h->tmr, &c->timer, clk_ns(h->clk) + c->timeout_ns, on_timeout, c);
	rq.version = version_revision(rq.version);
	h->codec->encode(&rq, after, &c->ex);
	c->read_only = strcmp(c->ex.method, "GET") == 0;
	up.address = h->address;
	up.host = h->address;
	up.method = str_c(c->ex.method);
	up.path = str_c(c->ex.path);
	up.body = str_c(c->ex.body);
	up.connect_timeout_ns = CONNECT_TIMEOUT_NS;
	if (c->ex.header_name != NULL) {
		name = h2o_iovec_init(
		    c->ex.header_name, strlen(c->ex.header_name));
		header.name = &name;
		header.value = h2o_iovec_init(
		    c->ex.header_value, strlen(c->ex.header_value));
		up.headers = &header;
		up.nheaders = 1;
	}
	c->up = up_start(h->up, &up, &ops, c);
}

static void
call_free(struct plat_call *c)
{
	tmr_clear(c->http->tmr, &c->timer);
	drop_response(c);
	g_string_free(c->response, TRUE);
	exchange_clear(c);
	json_decref(c->pages);
	g_free(c->after);
	str_free(&c->rq.kind);
	str_free(&c->rq.name);
	g_free(c);
}

static void
cancel(void *ctx, struct plat_call *c)
{
	(void)ctx;
	if (c->up != NULL)
		up_cancel(c->up);
	call_free(c);
}

static void
finish(struct plat_call *c, enum plat_result result, json_t *body)
{
	c->done(c->ctx, result, body);
	call_free(c);
}

/* Leaves a call whose response has not ended, in time or within its size. */
static void
leave(struct plat_call *c)
{
	up_cancel(c->up);
	c->up = NULL;
	finish(c, c->sent && !c->read_only ? PLAT_UNKNOWN : PLAT_UNAVAILABLE,
	    NULL);
}

static void
on_timeout(void *ctx)
{
	leave(ctx);
}

static void
on_earlier_epoch(void *ctx)
{
	finish(ctx, PLAT_CONFLICT, NULL);
}

static void
on_connected(void *ctx, struct up_call *up)
{
	struct plat_call *c = ctx;

	(void)up;
	c->sent = true;
}

static void
on_head(void *ctx, struct up_call *up, int status, const h2o_header_t *headers,
    size_t n)
{
	struct plat_call *c = ctx;
	struct plat *p = &c->http->plat;
	const struct plat_codec *codec = c->http->codec;
	unsigned long long epoch;

	(void)up;
	/*
	 * Without the header, the platform is taken to be as it was: some tell
	 * their epoch only once they have been restored.
	 */
	if (str_u64(dial_find_header(headers, n, codec->epoch_header), &epoch))
		epoch = MIN(epoch + codec->epoch_offset, VERSION_EPOCH_MAX);
	else
		epoch = MAX(p->epoch, VERSION_EPOCH_FIRST);
	c->status = status;
	/* The pages of a list must all be of the same epoch. */
	c->epoch_changed = c->pages != NULL && epoch != c->epoch;
	c->epoch = epoch;
	if (epoch <= p->epoch)
		return;
	p->epoch = epoch;
	if (p->on_epoch != NULL)
		p->on_epoch(p->epoch_ctx, epoch);
}

/* Appends received bytes.  Returns false if there is no room for them. */
static bool
append_body(struct plat_call *c, struct up_call *up)
{
	h2o_buffer_t **buf = up_body(up);
	size_t n = (*buf)->size;
	bool fits = c->http->held + n <= c->http->held_max;

	if (fits) {
		g_string_append_len(c->response, (*buf)->bytes, (gssize)n);
		c->http->held += n;
	}
	h2o_buffer_consume(buf, n);
	return fits;
}

static void
log_too_large(struct plat_call *c)
{
	struct plat_http *h = c->http;
	char *fault = g_strdup_printf("%.*s too large", STR_ARG(c->rq.kind));

	if (once_is_new(&h->logged, clk_ns(h->clk), str_c(fault)))
		slog_warn(SLOG_WATCH, "a response of the platform is too large",
		    "kind=%.*s size=%zu held=%zu held_max=%zu",
		    STR_ARG(c->rq.kind), c->response->len, h->held,
		    h->held_max);
	g_free(fault);
}

static void
on_body(void *ctx, struct up_call *up)
{
	struct plat_call *c = ctx;

	if (append_body(c, up))
		return;
	log_too_large(c);
	leave(c);
}

/*
 * Adds the epoch to a version or revision of a response.  One that no write can
 * have becomes 0, which is that of none: it would tell of another epoch.
 */
static void
add_epoch(json_t *o, const char *key, uint64_t epoch)
{
	const json_t *value = json_object_get(o, key);
	json_int_t revision = json_integer_value(value);

	if (value == NULL)
		return;
	if (revision <= 0 || (uint64_t)revision >= VERSION_EPOCH_STEP)
		json_object_set_new(o, key, json_integer(0));
	else
		json_object_set_new(o, key,
		    json_integer(
			(json_int_t)version_make(epoch, (uint64_t)revision)));
}

/* Adds the epoch to all versions and revisions of a decoded page. */
static void
add_epoch_to_page(json_t *page, uint64_t epoch)
{
	json_t *o;
	size_t i;

	add_epoch(page, "revision", epoch);
	add_epoch(page, "version", epoch);
	add_epoch(json_object_get(page, "current"), "version", epoch);
	json_array_foreach (json_object_get(page, "objects"), i, o)
		add_epoch(o, "version", epoch);
}

/*
 * Returns the result of a response by its epoch too.  A watch compares with a
 * revision, which is another one in another epoch.  A write that succeeded in
 * an epoch that has ended may be lost.
 */
static enum plat_result
result_by_epoch(const struct plat_call *c, enum plat_result result)
{
	if (result != PLAT_OK)
		return result;
	if (c->rq.op == PLAT_WATCH && c->epoch != version_epoch(c->rq.version))
		return PLAT_TOO_OLD;
	if (c->epoch_changed)
		return PLAT_TOO_OLD;
	if (!c->read_only && c->epoch < c->http->plat.epoch)
		return PLAT_UNKNOWN;
	return PLAT_OK;
}

/*
 * Appends the objects or boxes of a page to those of earlier pages.  The list
 * is only complete at the oldest revision of its pages, and a stale page may be
 * older than the one before it.
 */
static void
add_page(struct plat_call *c, json_t *page)
{
	json_t *oldest_rev = json_object_get(c->pages, "revision");
	json_t *page_rev = json_object_get(page, "revision");

	if (c->pages == NULL) {
		c->pages = json_incref(page);
		return;
	}
	json_array_extend(json_object_get(c->pages, "objects"),
	    json_object_get(page, "objects"));
	json_array_extend(
	    json_object_get(c->pages, "boxes"), json_object_get(page, "boxes"));
	if (json_integer_value(page_rev) < json_integer_value(oldest_rev))
		json_object_set(c->pages, "revision", page_rev);
}

/* Returns the name of an entry of a response, or "" if it has none. */
static const char *
entry_name(const json_t *entry)
{
	const json_t *event = json_object_get(entry, "object");
	const json_t *object = event != NULL ? event : entry;
	const json_t *meta = json_object_get(object, "metadata");
	const char *name = json_string_value(
	    json_object_get(meta != NULL ? meta : object, "name"));

	return name == NULL ? "" : name;
}

/* Finds the entry of a path such as "items/3/spec/slots". */
static const json_t *
find_entry(const json_t *body, const char *path)
{
	char **steps = g_strsplit(path, "/", 3);
	const json_t *list = json_object_get(body, steps[0]);
	unsigned long long index;

	if (json_is_array(list) && str_u64(str_c(steps[1]), &index))
		body = json_array_get(list, (size_t)index);
	g_strfreev(steps);
	return body;
}

/* Logs what was replaced in a response, and in which of its entries. */
static void
log_mends(
    struct plat_call *c, const json_t *body, const struct json_mends *mends)
{
	struct plat_http *h = c->http;
	const struct json_mend *mend;
	const char *name;
	char *fault;
	size_t i;

	for (i = 0; i < MIN(mends->count, JSON_MENDS_KEPT); i++) {
		mend = &mends->first[i];
		name = entry_name(find_entry(body, mend->path));
		fault = g_strdup_printf("%.*s %s %s", STR_ARG(c->rq.kind),
		    name[0] != '\0' ? name : mend->path, mend->why);
		if (once_is_new(&h->logged, clk_ns(h->clk), str_c(fault)))
			slog_warn(SLOG_WATCH,
			    "a value of the platform is replaced",
			    "kind=%.*s at=%s replaced=%zu why=\"%s\" name=%s",
			    STR_ARG(c->rq.kind), slog_quote(mend->path),
			    mends->count, mend->why, slog_quote(name));
		g_free(fault);
	}
}

static void
log_ignored(struct plat_call *c, const json_t *page)
{
	struct plat_http *h = c->http;
	long long count = json_integer_value(json_object_get(page, "ignored"));
	char *fault;

	if (count == 0)
		return;
	fault = g_strdup_printf("%.*s no name", STR_ARG(c->rq.kind));
	if (once_is_new(&h->logged, clk_ns(h->clk), str_c(fault)))
		slog_warn(SLOG_WATCH,
		    "entries without a valid name are ignored",
		    "kind=%.*s count=%lld", STR_ARG(c->rq.kind), count);
	g_free(fault);
}

static void
log_malformed(struct plat_call *c)
{
	struct plat_http *h = c->http;
	char *fault = g_strdup_printf("%.*s malformed", STR_ARG(c->rq.kind));

	if (once_is_new(&h->logged, clk_ns(h->clk), str_c(fault)))
		slog_warn(SLOG_WATCH, "a response of the platform is malformed",
		    "kind=%.*s size=%zu", STR_ARG(c->rq.kind),
		    c->response->len);
	g_free(fault);
}

static void
on_end(void *ctx, struct up_call *up)
{
	struct plat_call *c = ctx;
	const struct plat_codec *codec = c->http->codec;
	enum plat_result result = codec->result_from_status(&c->rq, c->status);
	json_t *body, *page = NULL;
	struct json_mends mends;
	char *after = NULL;

	append_body(c, up);
	c->up = NULL;
	body = plat_parse_mended(
	    str_n(c->response->str, c->response->len), &mends);
	if (body != NULL)
		log_mends(c, body, &mends);
	if (body != NULL)
		page = codec->decode(&c->rq, result, body, &after);
	json_decref(body);
	if (page == NULL && result == PLAT_OK && c->rq.op != PLAT_DELETE) {
		log_malformed(c);
		result = c->read_only ? PLAT_UNAVAILABLE : PLAT_UNKNOWN;
	}
	log_ignored(c, page);
	result = result_by_epoch(c, result);
	add_epoch_to_page(page, c->epoch);
	if (page != NULL)
		add_page(c, page);
	json_decref(page);
	if (after != NULL && result == PLAT_OK &&
	    g_strcmp0(after, c->after) != 0 && c->npages < PAGES_MAX) {
		c->npages++;
		g_free(c->after);
		c->after = after;
		send_request(c, str_c(after));
		return;
	}
	/* Pages that come again would be asked for forever. */
	if (after != NULL && result == PLAT_OK)
		result = PLAT_UNAVAILABLE;
	g_free(after);
	finish(c, result, c->pages);
}

static void
on_fail(void *ctx, struct up_call *up, enum err_kind kind)
{
	struct plat_call *c = ctx;

	(void)up;
	c->up = NULL;
	finish(c,
	    kind == ERR_CONNECT || c->read_only ? PLAT_UNAVAILABLE
						: PLAT_UNKNOWN,
	    NULL);
}
