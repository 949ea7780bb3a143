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

/* Messages over ZeroMQ, or in memory between inboxes of one process. */

enum {
	QUEUE_MAX = 1000, /* messages queued for one peer */
	INBOX_MAX = 10000, /* messages queued in the inbox */
	MESSAGE_MAX = 4 << 20, /* bytes of a message as it is sent */
	/*
	 * Twice the longest round trip.  A box that is powered off does not
	 * answer, and TCP retransmits the first SYN only after a second.
	 * Without this timeout boxes could not reach each other for that time
	 * after power is back.
	 */
	CONNECT_TIMEOUT_MS = 250,
	RECONNECT_MIN_MS = 50,
	RECONNECT_MAX_MS = 200, /* while a peer is powered off */
	SWEEP_MS = 500, /* interval of on_sweep() */
	IDLE_SWEEPS = 60, /* a peer is closed 30 s after the last message */
	/*
	 * Messages of this many bytes or more are deflated, which reduces the
	 * traffic between halls several times.
	 */
	DEFLATE_MIN = 1024,
	DEFLATED_MAX = 64, /* deflated messages cached for more receivers */
	HANDSHAKE_MS = 5000, /* for a peer to greet */
	/* Messages that are read in one iteration of the event loop. */
	READ_MAX = 1000,
	UNACKED_MS = 2000 /* then a connection is closed and made again */
};

struct peer {
	void *sock;
	uint64_t last_sent; /* number of the sweep at the last message */
};

struct wire {
	void *inbox;
	GQueue local_queue; /* GBytes *, from inboxes of this process */
	/* Active while messages are to be read behind the next events. */
	uv_check_t read_check;
	uv_idle_t no_wait; /* meanwhile the loop does not wait for events */
	struct str address;
	GHashTable *peers; /* char * address to struct peer * */
	/* Deflated messages: uint64_t * hash of the message to GBytes *. */
	GHashTable *deflated;
	uv_poll_t poll;
	uv_timer_t sweep_timer;
	uint64_t sweeps; /* number of sweeps so far */
	wire_receive_fn *receive;
	void *ctx;
	struct wire_totals totals;
};

/* The inboxes of a process share a ZeroMQ context and its I/O thread. */
static struct {
	void *zmq;
	GPtrArray *wires; /* struct wire * */
} shared;

static void deliver_local(struct wire *);
static void on_readable(uv_poll_t *, int, int);
static void on_sweep(uv_timer_t *);
static void on_read_check(uv_check_t *);
static void read_inbox(struct wire *);
static void read_soon(struct wire *);
static void receive(struct wire *, const char *, size_t);
static struct peer *get_peer(struct wire *, struct str);
static void peer_free(void *);
static gboolean is_idle(gpointer, gpointer, gpointer);

static void
set_option(void *sock, int option, int value)
{
	zmq_setsockopt(sock, option, &value, sizeof(value));
}

/* A peer that sends a larger message is disconnected. */
static void
set_message_max(void *sock)
{
	int64_t max = MESSAGE_MAX;

	zmq_setsockopt(sock, ZMQ_MAXMSGSIZE, &max, sizeof(max));
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
wire_open(uv_loop_t *loop, struct str inbox, wire_receive_fn *receive_fn,
    void *ctx, GError **err)
{
	struct wire *w = g_new0(struct wire, 1);
	char *url = g_strdup_printf("tcp://%.*s", STR_ARG(inbox));
	size_t len = sizeof(int);
	int fd;

	shared_open();
	w->inbox = zmq_socket(shared.zmq, ZMQ_PULL);
	set_option(w->inbox, ZMQ_RCVHWM, INBOX_MAX);
	set_message_max(w->inbox);
	set_option(w->inbox, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
	set_option(w->inbox, ZMQ_LINGER, 0);
	if (zmq_bind(w->inbox, url) != 0) {
		err_set(err, ERR_SYSTEM, "%.*s: %s", STR_ARG(inbox),
		    zmq_strerror(zmq_errno()));
		zmq_close(w->inbox);
		shared_close();
		g_free(url);
		g_free(w);
		return NULL;
	}
	g_free(url);
	w->address = str_dup(inbox);
	w->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_free);
	w->deflated = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)g_bytes_unref);
	w->receive = receive_fn;
	w->ctx = ctx;
	zmq_getsockopt(w->inbox, ZMQ_FD, &fd, &len);
	uv_poll_init(loop, &w->poll, fd);
	w->poll.data = w;
	uv_poll_start(&w->poll, UV_READABLE, on_readable);
	g_queue_init(&w->local_queue);
	uv_check_init(loop, &w->read_check);
	w->read_check.data = w;
	uv_idle_init(loop, &w->no_wait);
	g_ptr_array_add(shared.wires, w);
	uv_timer_init(loop, &w->sweep_timer);
	w->sweep_timer.data = w;
	uv_timer_start(&w->sweep_timer, on_sweep, SWEEP_MS, SWEEP_MS);
	return w;
}

/*
 * ZeroMQ's descriptor is edge-triggered, so the inbox is read until it is
 * empty, if need be in several iterations.
 */
static void
on_readable(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	read_inbox(poll->data);
}

/*
 * Reads the inbox, in case an event was missed, empties the cache of deflated
 * messages and closes idle peers.
 */
static void
on_sweep(uv_timer_t *timer)
{
	struct wire *w = timer->data;

	w->sweeps++;
	read_soon(w);
	g_hash_table_remove_all(w->deflated);
	if (w->sweeps % IDLE_SWEEPS == 0)
		g_hash_table_foreach_remove(w->peers, is_idle, w);
}

static gboolean
is_idle(gpointer key, gpointer value, gpointer ctx)
{
	const struct peer *peer = value;
	const struct wire *w = ctx;

	(void)key;
	return w->sweeps - peer->last_sent > IDLE_SWEEPS;
}

/* Reads messages, and the rest behind the next events if there are many. */
static void
read_inbox(struct wire *w)
{
	zmq_msg_t zm;
	unsigned n = 0;

	zmq_msg_init(&zm);
	while (n < READ_MAX && zmq_msg_recv(&zm, w->inbox, ZMQ_DONTWAIT) >= 0) {
		receive(w, zmq_msg_data(&zm), zmq_msg_size(&zm));
		n++;
	}
	zmq_msg_close(&zm);
	if (n == READ_MAX)
		read_soon(w);
}

static void
on_no_wait(uv_idle_t *idle)
{
	(void)idle;
}

/*
 * Reads all messages once the loop has handled its next events.  A timer would
 * run before the other ones that are due, and a large message takes long.
 */
static void
read_soon(struct wire *w)
{
	uv_check_start(&w->read_check, on_read_check);
	uv_idle_start(&w->no_wait, on_no_wait);
}

static void
on_read_check(uv_check_t *check)
{
	struct wire *w = check->data;

	uv_check_stop(check);
	uv_idle_stop(&w->no_wait);
	deliver_local(w);
	read_inbox(w);
}

/* Receives the messages that other inboxes of this process have sent. */
static void
deliver_local(struct wire *w)
{
	GBytes *bytes;
	gconstpointer p;
	gsize n;

	while ((bytes = g_queue_pop_head(&w->local_queue)) != NULL) {
		p = g_bytes_get_data(bytes, &n);
		receive(w, p, n);
		g_bytes_unref(bytes);
	}
}

static struct wire *
find_local(struct str address)
{
	struct wire *w;
	guint i;

	for (i = 0; i < shared.wires->len; i++) {
		w = g_ptr_array_index(shared.wires, i);
		if (str_eq(w->address, address))
			return w;
	}
	return NULL;
}

static void
drop_malformed(struct wire *w, GError *err)
{
	w->totals.malformed++;
	slog(SLOG_PEER, "a malformed message is dropped", "why=%s",
	    slog_quote(err->message));
	g_error_free(err);
}

/* Receives the message in a deflated one, which must not be deflated itself. */
static void
receive_deflated(struct wire *w, const struct msg *outer)
{
	const struct msg_deflated *d = &outer->u.deflated;
	struct str text = zip_inflate(d->data, d->size);
	GError *err = NULL;
	struct msg m;

	if (!msg_decode(text.p, text.n, &m, &err)) {
		drop_malformed(w, err);
		str_free(&text);
		return;
	}
	if (m.kind == MSG_DEFLATED) {
		err_set(&err, ERR_MESSAGE,
		    "a deflated message contains a deflated message");
		drop_malformed(w, err);
	} else {
		w->receive(w->ctx, &m);
	}
	msg_release(&m);
	str_free(&text);
}

static void
receive(struct wire *w, const char *p, size_t n)
{
	GError *err = NULL;
	struct msg m;

	w->totals.messages_in++;
	w->totals.bytes_in += n;
	if (!msg_decode(p, n, &m, &err)) {
		drop_malformed(w, err);
		return;
	}
	if (m.kind == MSG_DEFLATED)
		receive_deflated(w, &m);
	else
		w->receive(w->ctx, &m);
	msg_release(&m);
}

static struct peer *
get_peer(struct wire *w, struct str to)
{
	char *key = g_strndup(to.p, to.n), *url;
	struct peer *peer = g_hash_table_lookup(w->peers, key);

	if (peer == NULL) {
		url = g_strdup_printf("tcp://%s", key);
		peer = g_new0(struct peer, 1);
		peer->sock = zmq_socket(shared.zmq, ZMQ_PUSH);
		set_option(peer->sock, ZMQ_SNDHWM, QUEUE_MAX);
		set_option(peer->sock, ZMQ_LINGER, 0);
		set_option(peer->sock, ZMQ_TCP_MAXRT, UNACKED_MS);
		set_option(peer->sock, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
		set_option(peer->sock, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
		set_option(peer->sock, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
		zmq_connect(peer->sock, url);
		g_hash_table_insert(w->peers, g_strdup(key), peer);
		g_free(url);
	}
	g_free(key);
	peer->last_sent = w->sweeps;
	return peer;
}

static GBytes *
encode_deflated(struct wire *w, const msgpack_sbuffer *buf)
{
	struct str data = zip_deflate(str_n(buf->data, buf->size));
	struct msg m = {.kind = MSG_DEFLATED, .from = w->address};
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
 * Returns the deflated form of an encoded message.  A message that is sent to
 * many boxes is deflated only once, because the result is cached.
 */
static GBytes *
get_deflated(struct wire *w, const msgpack_sbuffer *buf)
{
	uint64_t hash = XXH3_64bits(buf->data, buf->size);
	GBytes *bytes = g_hash_table_lookup(w->deflated, &hash);

	if (bytes != NULL)
		return bytes;
	if (g_hash_table_size(w->deflated) >= DEFLATED_MAX)
		g_hash_table_remove_all(w->deflated);
	bytes = encode_deflated(w, buf);
	g_hash_table_insert(w->deflated, g_memdup2(&hash, sizeof(hash)), bytes);
	return bytes;
}

static bool
send_bytes(struct wire *w, struct str to, const void *p, size_t n)
{
	if (n > MESSAGE_MAX ||
	    zmq_send(get_peer(w, to)->sock, p, n, ZMQ_DONTWAIT) < 0) {
		w->totals.dropped++;
		return false;
	}
	w->totals.messages_out++;
	w->totals.bytes_out += n;
	return true;
}

static bool
send_remote(struct wire *w, struct str to, const msgpack_sbuffer *buf)
{
	gconstpointer p = buf->data;
	gsize n = buf->size;

	if (n >= DEFLATE_MIN)
		p = g_bytes_get_data(get_deflated(w, buf), &n);
	return send_bytes(w, to, p, n);
}

bool
wire_send(struct wire *w, struct str to, struct msg *m)
{
	struct wire *local;
	msgpack_sbuffer buf;
	bool ok = true;

	if (to.n == 0)
		return false;
	m->from = w->address;
	msgpack_sbuffer_init(&buf);
	msg_encode(m, &buf);
	local = find_local(to);
	if (local != NULL) {
		g_queue_push_tail(
		    &local->local_queue, g_bytes_new(buf.data, buf.size));
		read_soon(local);
	} else {
		ok = send_remote(w, to, &buf);
		/*
		 * Sending may consume the event of a received message, so the
		 * inbox is read afterwards.
		 */
		read_soon(w);
	}
	msgpack_sbuffer_destroy(&buf);
	return ok;
}

void
wire_close(struct wire *w)
{
	uv_poll_stop(&w->poll);
	uv_timer_stop(&w->sweep_timer);
	uv_check_stop(&w->read_check);
	uv_idle_stop(&w->no_wait);
	g_hash_table_destroy(w->deflated);
	g_queue_clear_full(&w->local_queue, (GDestroyNotify)g_bytes_unref);
	g_hash_table_destroy(w->peers);
	zmq_close(w->inbox);
	g_ptr_array_remove(shared.wires, w);
	shared_close();
	str_free(&w->address);
	g_free(w);
}

const struct wire_totals *
wire_get_totals(const struct wire *w)
{
	return &w->totals;
}
