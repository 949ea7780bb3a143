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
#include <sys/socket.h>

#include "clk.h"
#include "libhsrv.h"
#include "limit.h"

/*
 * What the HTTP/2 connections hold.  h2o collects heads and bodies of requests
 * itself and tells nobody how many bytes of them it has.  So the heads of the
 * frames are read as they come from the socket, before h2o gets them, and a
 * connection that is over a limit is ended instead.
 */

#define PREFACE "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

enum frame_type {
	FRAME_DATA = 0,
	FRAME_HEADERS = 1,
	FRAME_RST_STREAM = 3,
	FRAME_SETTINGS = 4,
	FRAME_PING = 6,
	FRAME_CONTINUATION = 9
};

enum {
	FRAME_HEAD = 9, /* bytes of the head of a frame */
	FLAG_ACK = 1, /* of SETTINGS and PING */
	FLAG_END_STREAM = 1,
	FLAG_END_HEADERS = 4,
	CONN_SIZE = 16 * 1024, /* about the bytes of a connection */
	STREAM_SIZE = 8 * 1024, /* about the bytes of a request */
	/*
	 * Bytes in h2o's list for each byte of a compressed head: a reference
	 * to a header takes one byte, its entry this many, as a list that grows
	 * leaves its former sizes in the memory pool.
	 */
	HEADER_SIZE = 112,
	ANSWERS_KEPT = 64 * 1024, /* bytes that are not looked after */
	/*
	 * Requests that a client may cancel on a connection: at once, which is
	 * twice as many as it may have open, and in each second.  Each costs
	 * the gate a request, and the client two frames.
	 */
	CANCELS_AT_ONCE = 200,
	CANCELS_PER_S = 50
};

/* A request, from its head until it is freed. */
struct stream {
	struct hsrv_h2 *h2;
	uint32_t id;
	size_t body, held; /* bytes */
	bool whole; /* its last part has come */
	bool handled; /* it is freed with its request */
	/* In the memory pool of the request, for on_freed(); NULL: none. */
	struct stream **guard;
};

struct hsrv_h2 {
	struct hsrv_tcp *tcp;
	h2o_socket_t *sock;
	GList link; /* in hsrv.h2_conns */
	/* h2o's callbacks of the stream. */
	uv_alloc_cb alloc;
	uv_read_cb read;
	size_t preface_len; /* bytes of the preface that have come */
	uint8_t head[FRAME_HEAD];
	size_t head_len; /* bytes of the head of the frame that have come */
	uint32_t left; /* bytes of the frame that are to come */
	GHashTable *streams; /* uint32_t * to struct stream */
	size_t held; /* by streams */
	unsigned handling; /* requests that are being handled */
	struct stream *opening; /* whose head is not complete; NULL: none */
	size_t block; /* bytes of its head so far, with those of frames */
	struct bucket cancels;
	size_t answers; /* bytes of answers to frames, perhaps not sent yet */
	h2o_timeout_entry_t head_timeout;
	bool invalid;
};

static void
update_held(struct hsrv_h2 *h)
{
	struct hsrv_tcp *t = h->tcp;

	hsrv_tcp_set_held(t,
	    CONN_SIZE + h->held + h->answers + t->handler_held +
		uv_stream_get_write_queue_size((uv_stream_t *)&t->tcp));
}

static void
report_end(const struct hsrv_h2 *h, const char *why)
{
	const struct hsrv *s = h->tcp->srv;
	struct hsrv_end end = {
	    .why = why, .unanswered = g_hash_table_size(h->streams)};

	if (s->on_end != NULL)
		s->on_end(s->end_ctx, &end);
}

static void
on_head_timeout(h2o_timeout_entry_t *e)
{
	struct hsrv_h2 *h = (struct hsrv_h2 *)((char *)e -
	    offsetof(struct hsrv_h2, head_timeout));

	report_end(h, "slow-head");
	hsrv_h2_end(h->tcp, false);
}

static void
hold(struct stream *s, size_t n)
{
	s->held += n;
	s->h2->held += n;
}

static void
free_stream(void *p)
{
	struct stream *s = p;

	if (s->guard != NULL)
		*s->guard = NULL;
	g_free(s);
}

static struct stream *
open_stream(struct hsrv_h2 *h, uint32_t id)
{
	struct stream *s = g_hash_table_lookup(h->streams, &id);

	if (s != NULL)
		return s;
	s = g_new0(struct stream, 1);
	s->h2 = h;
	s->id = id;
	hold(s, STREAM_SIZE);
	g_hash_table_insert(h->streams, &s->id, s);
	return s;
}

static void
close_stream(struct stream *s)
{
	struct hsrv_h2 *h = s->h2;

	h->held -= s->held;
	if (h->opening == s)
		h->opening = NULL;
	g_hash_table_remove(h->streams, &s->id);
}

/*
 * Counts a part of a head, which h2o has as a whole before it reads it. Returns
 * false if it is larger than the limit.
 */
static bool
take_head(struct hsrv_h2 *h, struct stream *s, uint32_t n, int flags)
{
	struct hsrv *srv = h->tcp->srv;

	h->opening = s;
	h->block += n + FRAME_HEAD;
	hold(s, n);
	if (h->block > srv->head_max + FRAME_HEAD) {
		report_end(h, "large-head");
		return false;
	}
	if ((flags & FLAG_END_HEADERS) == 0) {
		if (!h2o_timeout_is_linked(&h->head_timeout))
			h2o_timeout_link(
			    srv->loop, &srv->head_timeout, &h->head_timeout);
		return true;
	}
	h2o_timeout_unlink(&h->head_timeout);
	hold(s, h->block * HEADER_SIZE);
	h->block = 0;
	h->opening = NULL;
	return true;
}

/* h2o resets a request whose body is larger than the limit. */
static void
take_data(struct hsrv_h2 *h, struct stream *s, uint32_t n)
{
	s->body += n;
	hold(s, n);
	if (s->body > h->tcp->srv->conf.max_request_entity_size && !s->handled)
		close_stream(s);
}

/* Returns false if the client has cancelled too many requests. */
static bool
take_cancel(struct hsrv_h2 *h)
{
	int64_t wait, now = (int64_t)h2o_now(h->tcp->srv->loop) * NS_MS;

	if (bucket_reserve(
		&h->cancels, CANCELS_PER_S, CANCELS_AT_ONCE, 0, now, &wait))
		return true;
	report_end(h, "cancels");
	return false;
}

/* Takes the head of a frame.  Returns false if the connection is to end. */
static bool
take_frame(struct hsrv_h2 *h)
{
	const uint8_t *p = h->head;
	uint32_t n = (uint32_t)p[0] << 16 | (uint32_t)p[1] << 8 | p[2];
	uint32_t id = (uint32_t)(p[5] & 0x7f) << 24 | (uint32_t)p[6] << 16 |
	    (uint32_t)p[7] << 8 | p[8];
	int type = p[3], flags = p[4];
	struct stream *s;

	h->left = n;
	if (type == FRAME_HEADERS) {
		s = open_stream(h, id);
		s->whole = s->whole || (flags & FLAG_END_STREAM) != 0;
		return take_head(h, s, n, flags);
	}
	if (type == FRAME_CONTINUATION)
		return h->opening != NULL && take_head(h, h->opening, n, flags);
	if ((type == FRAME_SETTINGS || type == FRAME_PING) &&
	    (flags & FLAG_ACK) == 0)
		h->answers += FRAME_HEAD + n;
	if (type == FRAME_RST_STREAM && !take_cancel(h))
		return false;
	s = g_hash_table_lookup(h->streams, &id);
	if (s == NULL || s->handled)
		return true;
	if (type == FRAME_RST_STREAM) {
		close_stream(s);
	} else if (type == FRAME_DATA) {
		s->whole = (flags & FLAG_END_STREAM) != 0;
		take_data(h, s, n);
	}
	return true;
}

/* Reads the heads of frames.  Returns false if the connection is to end. */
static bool
take_bytes(struct hsrv_h2 *h, const char *p, size_t n)
{
	size_t part;

	while (n > 0) {
		if (h->preface_len < strlen(PREFACE)) {
			if (*p != PREFACE[h->preface_len++])
				return false;
			part = 1;
		} else if (h->left > 0) {
			part = MIN(n, (size_t)h->left);
			h->left -= (uint32_t)part;
		} else {
			h->head[h->head_len++] = (uint8_t)*p;
			part = 1;
			if (h->head_len == FRAME_HEAD) {
				h->head_len = 0;
				if (!take_frame(h))
					return false;
			}
		}
		p += part;
		n -= part;
	}
	return true;
}

static struct hsrv_h2 *
h2_of(uv_handle_t *handle)
{
	return ((struct hsrv_tcp *)handle)->h2;
}

/* Without a buffer libuv reports UV_ENOBUFS and reads nothing. */
static void
on_alloc(uv_handle_t *handle, size_t n, uv_buf_t *buf)
{
	struct hsrv_h2 *h = h2_of(handle);

	if (hsrv_pool_must_wait(h->tcp))
		*buf = uv_buf_init(NULL, 0);
	else
		h->alloc(handle, n, buf);
}

static void
shut_down(const struct hsrv_h2 *h)
{
	int fd;

	if (uv_fileno((uv_handle_t *)&h->tcp->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct hsrv_h2 *h = h2_of((uv_handle_t *)stream);

	if (n == UV_ENOBUFS)
		return;
	if (n > 0) {
		h->tcp->read_at = h2o_now(h->tcp->srv->loop);
		if (h->answers > ANSWERS_KEPT &&
		    hsrv_tcp_unacked(&h->tcp->tcp) == 0)
			h->answers = 0;
		h->invalid = h->invalid || !take_bytes(h, buf->base, (size_t)n);
		update_held(h);
		if (h->invalid || h->tcp->ending) {
			shut_down(h);
			n = UV_ECONNABORTED;
		}
	}
	h->read(stream, n, buf);
}

/*
 * h2o closes a connection whose read fails, but not while a write is pending,
 * which the shutdown lets fail.
 */
void
hsrv_h2_end(struct hsrv_tcp *t, bool in_use)
{
	uv_stream_t *stream = (uv_stream_t *)&t->tcp;
	uv_buf_t none = uv_buf_init(NULL, 0);

	shut_down(t->h2);
	if (!in_use && stream->read_cb == on_read)
		t->h2->read(stream, UV_ECONNABORTED, &none);
}

/*
 * Puts this file's callbacks before h2o's, which libuv takes from the handle at
 * each read.  h2o sets its own whenever it starts reading, which takes effect
 * in the next iteration.
 */
static void
intercept(struct hsrv_h2 *h)
{
	uv_stream_t *stream = (uv_stream_t *)&h->tcp->tcp;

	if (stream->read_cb == NULL || stream->read_cb == on_read)
		return;
	h->alloc = stream->alloc_cb;
	h->read = stream->read_cb;
	stream->alloc_cb = on_alloc;
	stream->read_cb = on_read;
}

static void
on_prepare(uv_prepare_t *prepare)
{
	struct hsrv *s = prepare->data;
	GList *link;

	for (link = s->h2_conns.head; link != NULL; link = link->next)
		intercept(link->data);
	if (s->h2_conns.head == NULL)
		uv_prepare_stop(prepare);
}

void
hsrv_h2_open(struct hsrv_tcp *t, h2o_socket_t *sock)
{
	struct hsrv *s = t->srv;
	struct hsrv_h2 *h = g_new0(struct hsrv_h2, 1);

	if (s->h2_socks == NULL) {
		s->h2_socks = g_hash_table_new(NULL, NULL);
		uv_prepare_init(s->loop, &s->h2_prepare);
		uv_unref((uv_handle_t *)&s->h2_prepare);
		s->h2_prepare.data = s;
	}
	h->tcp = t;
	h->sock = sock;
	h->link.data = h;
	h->streams =
	    g_hash_table_new_full(g_int_hash, g_int_equal, NULL, free_stream);
	h->head_timeout.cb = on_head_timeout;
	h->cancels =
	    (struct bucket){CANCELS_AT_ONCE, (int64_t)h2o_now(s->loop) * NS_MS};
	t->h2 = h;
	t->handler_held = 0;
	g_queue_push_tail_link(&s->h2_conns, &h->link);
	g_hash_table_insert(s->h2_socks, sock, t);
	uv_prepare_start(&s->h2_prepare, on_prepare);
	update_held(h);
}

void
hsrv_h2_free(struct hsrv_tcp *t)
{
	struct hsrv_h2 *h = t->h2;

	if (h == NULL)
		return;
	t->h2 = NULL;
	h2o_timeout_unlink(&h->head_timeout);
	g_queue_unlink(&t->srv->h2_conns, &h->link);
	g_hash_table_remove(t->srv->h2_socks, h->sock);
	g_hash_table_destroy(h->streams);
	g_free(h);
}

bool
hsrv_h2_is_handling(const struct hsrv_tcp *t)
{
	return t->h2->handling > 0;
}

struct hsrv_tcp *
hsrv_h2_tcp(const struct hsrv *s, const h2o_req_t *req)
{
	if (s->h2_socks == NULL || req->conn->callbacks->get_socket == NULL)
		return NULL;
	return g_hash_table_lookup(
	    s->h2_socks, req->conn->callbacks->get_socket(req->conn));
}

/*
 * Returns whether a stream may be that of a request, and more likely than
 * another one.  A body is smaller than its frames if they are padded.
 */
static bool
fits_better(const struct stream *s, const struct stream *other, size_t body)
{
	if (!s->whole || s->handled || s->body < body)
		return false;
	if (other == NULL || s->body != other->body)
		return other == NULL || s->body < other->body;
	return s->id < other->id;
}

/*
 * Returns the stream of a request.  h2o does not tell its number; of several
 * with bodies of one size, any counts alike.
 */
static struct stream *
find_stream(const struct hsrv_h2 *h, const h2o_req_t *req)
{
	struct stream *s, *found = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->streams);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (fits_better(s, found, req->entity.len))
			found = s;
	}
	return found;
}

static void
on_freed(void *p)
{
	struct stream *s = *(struct stream **)p;
	struct hsrv_h2 *h;

	if (s == NULL)
		return;
	h = s->h2;
	h->handling--;
	close_stream(s);
	update_held(h);
}

bool
hsrv_h2_begin(struct hsrv *s, h2o_req_t *req)
{
	struct hsrv_tcp *t = hsrv_h2_tcp(s, req);
	struct stream *stream;
	size_t i, size = 0;

	for (i = 0; i < req->headers.size; i++)
		size += req->headers.entries[i].name->len +
		    req->headers.entries[i].value.len;
	stream = t != NULL ? find_stream(t->h2, req) : NULL;
	if (stream != NULL) {
		stream->guard =
		    h2o_mem_alloc_shared(&req->pool, sizeof(stream), on_freed);
		*stream->guard = stream;
		stream->handled = true;
		t->h2->handling++;
	}
	return size <= s->head_max;
}
