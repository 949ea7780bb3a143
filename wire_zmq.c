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
#include <zmq.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "err.h"
#include "slog.h"
#include "wire.h"
#include "zip.h"

/* Messages between inboxes: over ZeroMQ, or in memory within one process. */

enum {
	QUEUE_MAX = 1000, /* messages waiting for one peer */
	INBOX_MAX = 10000,
	MESSAGE_MAX = 4 << 20,
	/*
	 * Twice the longest way there and back.  A box without power says
	 * nothing, and the network knocks again after a second only: for so
	 * long boxes that are back would not know each other.
	 */
	CONNECT_MS = 250,
	RECONNECT_MIN_MS = 50,
	RECONNECT_MAX_MS = 200, /* while another box is without power */
	SWEEP_MS = 500, /* a look at the inbox even without an event */
	IDLE_SWEEPS = 60, /* 30 s without a message closes a peer */
	/*
	 * Messages of so many bytes go out deflated.  Gain: with 296 boxes and
	 * 3,000 backend servers 0.037 GB cross between halls in a day instead
	 * of 0.127, with a least size of 4096; 0.019 with this one and what
	 * spread.c holds back (counted by kind and receiver, one day each).
	 */
	DEFLATE_MIN = 1024,
	DEFLATED_MAX = 64, /* of those, kept for the next receiver */
	UNACKED_MS = 2000 /* then a connection is given up and made anew */
};

struct peer {
	void *sock;
	uint64_t used; /* the sweep in which it was last written to */
};

struct wire {
	void *inbox;
	GQueue local; /* GBytes * from inboxes of this process */
	uv_timer_t local_timer;
	struct str address;
	GHashTable *peers; /* char * address to struct peer * */
	/* What was deflated lately: hash of the bytes to GBytes *. */
	GHashTable *deflated;
	uv_poll_t poll;
	uv_timer_t sweep;
	uint64_t sweeps;
	wire_receive_fn *take;
	void *ctx;
	struct wire_totals counts;
};

/* Inboxes of one process share ZeroMQ's threads. */
static struct {
	void *zmq;
	GPtrArray *wires; /* struct wire * */
} shared;

static void on_local(uv_timer_t *);
static void on_event(uv_poll_t *, int, int);
static void on_sweep(uv_timer_t *);
static void read_all(struct wire *);
static void take_one(struct wire *, const char *, size_t);
static struct peer *peer_of(struct wire *, struct str);
static void peer_free(void *);
static gboolean is_idle(gpointer, gpointer, gpointer);

static void
set_int(void *sock, int option, int value)
{
	zmq_setsockopt(sock, option, &value, sizeof(value));
}

static void
peer_free(void *p)
{
	struct peer *peer = p;

	zmq_close(peer->sock);
	g_free(peer);
}

static void
shared_open(void)
{
	if (shared.zmq != NULL)
		return;
	shared.zmq = zmq_ctx_new();
	zmq_ctx_set(shared.zmq, ZMQ_IO_THREADS, 1);
	zmq_ctx_set(shared.zmq, ZMQ_BLOCKY, 0);
	shared.wires = g_ptr_array_new();
}

static void
shared_close(void)
{
	if (shared.wires->len > 0)
		return;
	zmq_ctx_term(shared.zmq);
	g_ptr_array_free(shared.wires, TRUE);
	shared.zmq = NULL;
}

struct wire *
wire_open(uv_loop_t *loop, struct str inbox, wire_receive_fn *take, void *ctx,
    GError **err)
{
	struct wire *l = g_new0(struct wire, 1);
	char *url = g_strdup_printf("tcp://%.*s", STR_ARG(inbox));
	size_t len = sizeof(int);
	int fd;

	shared_open();
	l->inbox = zmq_socket(shared.zmq, ZMQ_PULL);
	set_int(l->inbox, ZMQ_RCVHWM, INBOX_MAX);
	set_int(l->inbox, ZMQ_LINGER, 0);
	if (zmq_bind(l->inbox, url) != 0) {
		err_set(err, ERR_SYSTEM, "%.*s: %s", STR_ARG(inbox),
		    zmq_strerror(zmq_errno()));
		zmq_close(l->inbox);
		shared_close();
		g_free(url);
		g_free(l);
		return NULL;
	}
	g_free(url);
	l->address = str_dup(inbox);
	l->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_free);
	l->deflated = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)g_bytes_unref);
	l->take = take;
	l->ctx = ctx;
	zmq_getsockopt(l->inbox, ZMQ_FD, &fd, &len);
	uv_poll_init(loop, &l->poll, fd);
	l->poll.data = l;
	uv_poll_start(&l->poll, UV_READABLE, on_event);
	g_queue_init(&l->local);
	uv_timer_init(loop, &l->local_timer);
	l->local_timer.data = l;
	g_ptr_array_add(shared.wires, l);
	uv_timer_init(loop, &l->sweep);
	l->sweep.data = l;
	uv_timer_start(&l->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	return l;
}

/* ZeroMQ's descriptor tells of edges only, so the inbox is read dry. */
static void
on_event(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	read_all(poll->data);
}

static void
on_sweep(uv_timer_t *timer)
{
	struct wire *l = timer->data;

	l->sweeps++;
	read_all(l);
	g_hash_table_remove_all(l->deflated);
	if (l->sweeps % IDLE_SWEEPS == 0)
		g_hash_table_foreach_remove(l->peers, is_idle, l);
}

static gboolean
is_idle(gpointer key, gpointer value, gpointer ctx)
{
	const struct peer *peer = value;
	const struct wire *l = ctx;

	(void)key;
	return l->sweeps - peer->used > IDLE_SWEEPS;
}

static void
read_all(struct wire *l)
{
	zmq_msg_t zm;

	zmq_msg_init(&zm);
	while (zmq_msg_recv(&zm, l->inbox, ZMQ_DONTWAIT) >= 0)
		take_one(l, zmq_msg_data(&zm), zmq_msg_size(&zm));
	zmq_msg_close(&zm);
}

static void
on_after_send(uv_timer_t *timer)
{
	on_local(timer);
	read_all(timer->data);
}

/* What another inbox of this process has sent. */
static void
on_local(uv_timer_t *timer)
{
	struct wire *l = timer->data;
	GBytes *bytes;
	gconstpointer p;
	gsize n;

	while ((bytes = g_queue_pop_head(&l->local)) != NULL) {
		p = g_bytes_get_data(bytes, &n);
		take_one(l, p, n);
		g_bytes_unref(bytes);
	}
}

static struct wire *
local_inbox(struct str address)
{
	struct wire *l;
	guint i;

	for (i = 0; i < shared.wires->len; i++) {
		l = g_ptr_array_index(shared.wires, i);
		if (str_eq(l->address, address))
			return l;
	}
	return NULL;
}

static void
drop_malformed(struct wire *l, GError *err)
{
	l->counts.malformed++;
	slog(SLOG_PEER, "a message is dropped", "why=%s",
	    slog_quote(err->message));
	g_error_free(err);
}

/* Take the message in a deflated one; one in another is not well-formed. */
static void
take_deflated(struct wire *l, const struct msg *outer)
{
	const struct msg_deflated *d = &outer->u.deflated;
	struct str text = zip_inflate(d->data, d->size);
	GError *err = NULL;
	struct msg m;

	if (!msg_decode(text.p, text.n, &m, &err)) {
		drop_malformed(l, err);
		str_free(&text);
		return;
	}
	if (m.kind == MSG_DEFLATED) {
		err_set(&err, ERR_MESSAGE, "one deflated within another");
		drop_malformed(l, err);
	} else {
		l->take(l->ctx, &m);
	}
	msg_release(&m);
	str_free(&text);
}

static void
take_one(struct wire *l, const char *p, size_t n)
{
	GError *err = NULL;
	struct msg m;

	l->counts.messages_in++;
	l->counts.bytes_in += n;
	if (!msg_decode(p, n, &m, &err)) {
		drop_malformed(l, err);
		return;
	}
	if (m.kind == MSG_DEFLATED)
		take_deflated(l, &m);
	else
		l->take(l->ctx, &m);
	msg_release(&m);
}

static struct peer *
peer_of(struct wire *l, struct str to)
{
	char *key = g_strndup(to.p, to.n), *url;
	struct peer *peer = g_hash_table_lookup(l->peers, key);

	if (peer == NULL) {
		url = g_strdup_printf("tcp://%s", key);
		peer = g_new0(struct peer, 1);
		peer->sock = zmq_socket(shared.zmq, ZMQ_PUSH);
		set_int(peer->sock, ZMQ_SNDHWM, QUEUE_MAX);
		set_int(peer->sock, ZMQ_LINGER, 0);
		set_int(peer->sock, ZMQ_TCP_MAXRT, UNACKED_MS);
		set_int(peer->sock, ZMQ_CONNECT_TIMEOUT, CONNECT_MS);
		set_int(peer->sock, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
		set_int(peer->sock, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
		zmq_connect(peer->sock, url);
		g_hash_table_insert(l->peers, g_strdup(key), peer);
		g_free(url);
	}
	g_free(key);
	peer->used = l->sweeps;
	return peer;
}

static GBytes *
deflate(struct wire *l, const msgpack_sbuffer *buf)
{
	struct str data = zip_deflate(str_n(buf->data, buf->size));
	struct msg m = {.kind = MSG_DEFLATED, .from = l->address};
	msgpack_sbuffer out;
	GBytes *bytes;

	m.u.deflated.size = buf->size;
	m.u.deflated.data = data;
	msgpack_sbuffer_init(&out);
	msg_encode(&m, &out);
	bytes = g_bytes_new(out.data, out.size);
	msgpack_sbuffer_destroy(&out);
	str_free(&data);
	return bytes;
}

/*
 * The bytes that go out for a large message.  What goes to many boxes is
 * deflated once: the last ones are kept.
 */
static GBytes *
deflated(struct wire *l, const msgpack_sbuffer *buf)
{
	uint64_t hash = XXH3_64bits(buf->data, buf->size);
	GBytes *bytes = g_hash_table_lookup(l->deflated, &hash);

	if (bytes != NULL)
		return bytes;
	if (g_hash_table_size(l->deflated) >= DEFLATED_MAX)
		g_hash_table_remove_all(l->deflated);
	bytes = deflate(l, buf);
	g_hash_table_insert(l->deflated, g_memdup2(&hash, sizeof(hash)), bytes);
	return bytes;
}

static bool
send_bytes(struct wire *l, struct str to, const void *p, size_t n)
{
	if (n > MESSAGE_MAX ||
	    zmq_send(peer_of(l, to)->sock, p, n, ZMQ_DONTWAIT) < 0) {
		l->counts.dropped++;
		return false;
	}
	l->counts.messages_out++;
	l->counts.bytes_out += n;
	return true;
}

static bool
send_far(struct wire *l, struct str to, const msgpack_sbuffer *buf)
{
	gconstpointer p = buf->data;
	gsize n = buf->size;

	if (n >= DEFLATE_MIN)
		p = g_bytes_get_data(deflated(l, buf), &n);
	return send_bytes(l, to, p, n);
}

bool
wire_send(struct wire *l, struct str to, struct msg *m)
{
	struct wire *local;
	msgpack_sbuffer buf;
	bool ok = true;

	if (to.n == 0)
		return false;
	m->from = l->address;
	msgpack_sbuffer_init(&buf);
	msg_encode(m, &buf);
	local = local_inbox(to);
	if (local != NULL) {
		g_queue_push_tail(
		    &local->local, g_bytes_new(buf.data, buf.size));
		uv_timer_start(&local->local_timer, on_after_send, 0, 0);
	} else {
		ok = send_far(l, to, &buf);
		/* Sending may swallow the event of a message come in. */
		uv_timer_start(&l->local_timer, on_after_send, 0, 0);
	}
	msgpack_sbuffer_destroy(&buf);
	return ok;
}

void
wire_close(struct wire *l)
{
	uv_poll_stop(&l->poll);
	uv_timer_stop(&l->sweep);
	uv_timer_stop(&l->local_timer);
	g_hash_table_destroy(l->deflated);
	g_queue_clear_full(&l->local, (GDestroyNotify)g_bytes_unref);
	g_hash_table_destroy(l->peers);
	zmq_close(l->inbox);
	g_ptr_array_remove(shared.wires, l);
	shared_close();
	str_free(&l->address);
	g_free(l);
}

const struct wire_totals *
wire_get_totals(const struct wire *l)
{
	return &l->counts;
}
