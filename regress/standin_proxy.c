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
 * A TCP proxy that injects faults.
 *
 *	standin_proxy LISTEN TARGET CONTROL
 *	POST /standin/set?mode=M&delay_ms=N&bytes=N&process=N
 *						on the control address
 *
 * Modes: pass; cut (all connections are reset, new ones too); blackhole
 * (connections stay open, but all data is dropped); freeze (as blackhole, but
 * data is held and delivered later); truncate (connections are reset after
 * `bytes` bytes from the target); drop_answers (data from callers is forwarded,
 * and the connection is reset instead of delivering the first response);
 * refuse_new (nothing listens, and open connections go on).  If `process` is
 * set, the modes but refuse_new apply only to the connections of the process
 * with this id; 0: to all.
 */
#include <arpa/inet.h>
#include <dirent.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "field.h"
#include "hsrv.h"
#include "tmr.h"

enum mode {
	M_PASS,
	M_CUT,
	M_BLACKHOLE,
	M_FREEZE,
	M_TRUNCATE,
	M_DROP_ANSWERS,
	M_REFUSE_NEW,
	M_MAX
};

static const char *const mode_names[M_MAX] = {"pass", "cut", "blackhole",
    "freeze", "truncate", "drop_answers", "refuse_new"};

/* One side of a proxied connection. */
struct end {
	uv_tcp_t tcp;
	struct conn *conn;
	struct end *other;
	bool target; /* the side of the target */
};

struct conn {
	struct end ends[2];
	uv_connect_t connect;
	uint64_t answered; /* bytes from the target */
	int open; /* handles not closed yet */
	int parcels; /* parcels not delivered yet */
	bool closing;
	bool exempt; /* the mode does not apply to it */
	GList link;
};

/* Data to be delivered, possibly after a delay. */
struct parcel {
	struct tmr_item timer;
	uv_write_t write;
	struct end *to;
	char *bytes;
	size_t n;
	bool is_end;
};

static struct {
	uv_loop_t *loop;
	struct tmr tmr;
	uv_tcp_t listener;
	struct sockaddr_storage listen, target;
	bool listening, closing; /* the state of the listener */
	enum mode mode;
	int64_t delay_ms;
	uint64_t bytes, connections;
	unsigned long long process; /* whose connections fail; 0: all */
	GQueue conns, frozen; /* struct conn *, struct parcel * */
} st;

static void conn_close(struct conn *, bool);
static void deliver(void *);

/* Returns the mode that applies to a connection. */
static enum mode
mode_of(const struct conn *c)
{
	return c->exempt ? M_PASS : st.mode;
}

/*
 * Returns the inode of the socket of this host that is connected from one
 * address to another; 0: unknown.  /proc/net/tcp lists all sockets of the
 * host, which takes too long for each connection.
 */
static unsigned long
inode_of(const struct sockaddr_in *from, const struct sockaddr_in *to)
{
	struct {
		struct nlmsghdr head;
		struct inet_diag_req_v2 diag;
	} req = {
	    .head = {.nlmsg_len = sizeof(req),
		.nlmsg_type = SOCK_DIAG_BY_FAMILY,
		.nlmsg_flags = NLM_F_REQUEST},
	    .diag = {.sdiag_family = AF_INET,
		.sdiag_protocol = IPPROTO_TCP,
		.idiag_states = ~0U,
		.id = {.idiag_sport = from->sin_port,
		    .idiag_dport = to->sin_port,
		    .idiag_src = {from->sin_addr.s_addr},
		    .idiag_dst = {to->sin_addr.s_addr},
		    .idiag_cookie = {INET_DIAG_NOCOOKIE, INET_DIAG_NOCOOKIE}}},
	};
	struct {
		struct nlmsghdr head;
		struct inet_diag_msg diag;
		char rest[4096];
	} reply;
	int fd =
	    socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
	unsigned long inode = 0;

	if (fd < 0)
		return 0;
	if (send(fd, &req, sizeof(req), 0) == (ssize_t)sizeof(req) &&
	    recv(fd, &reply, sizeof(reply), 0) > 0 &&
	    reply.head.nlmsg_type == SOCK_DIAG_BY_FAMILY)
		inode = reply.diag.idiag_inode;
	close(fd);
	return inode;
}

static bool
process_has_socket(unsigned long long pid, unsigned long inode)
{
	char path[64], want[64], link[64];
	const struct dirent *entry;
	bool found = false;
	ssize_t n;
	DIR *dir;

	snprintf(path, sizeof(path), "/proc/%llu/fd", pid);
	snprintf(want, sizeof(want), "socket:[%lu]", inode);
	dir = opendir(path);
	if (dir == NULL)
		return false;
	while (!found && (entry = readdir(dir)) != NULL) {
		n = readlinkat(
		    dirfd(dir), entry->d_name, link, sizeof(link) - 1);
		if (n <= 0)
			continue;
		link[n] = '\0';
		found = strcmp(link, want) == 0;
	}
	closedir(dir);
	return found;
}

/* Determines whether the mode applies to a connection. */
static void
set_exempt(struct conn *c)
{
	struct sockaddr_in from, to;
	int from_len = sizeof(from), to_len = sizeof(to);
	uv_tcp_t *tcp = &c->ends[0].tcp;

	c->exempt = st.process != 0 &&
	    (uv_tcp_getpeername(tcp, (struct sockaddr *)&from, &from_len) !=
		    0 ||
		uv_tcp_getsockname(tcp, (struct sockaddr *)&to, &to_len) != 0 ||
		!process_has_socket(st.process, inode_of(&from, &to)));
}

static void
set_process(unsigned long long process)
{
	GList *at;

	st.process = process;
	for (at = st.conns.head; at != NULL; at = at->next)
		set_exempt(at->data);
}

static void
conn_free_if_done(struct conn *c)
{
	if (c->open > 0 || c->parcels > 0)
		return;
	g_queue_unlink(&st.conns, &c->link);
	g_free(c);
}

static void
on_close(uv_handle_t *h)
{
	struct end *e = h->data;

	e->conn->open--;
	conn_free_if_done(e->conn);
}

static void
conn_close(struct conn *c, bool reset)
{
	int i;

	if (c->closing)
		return;
	c->closing = true;
	for (i = 0; i < 2; i++) {
		if (!reset ||
		    uv_tcp_close_reset(&c->ends[i].tcp, on_close) != 0)
			uv_close((uv_handle_t *)&c->ends[i].tcp, on_close);
	}
}

static void
parcel_free(struct parcel *p)
{
	struct conn *c = p->to->conn;

	g_free(p->bytes);
	g_free(p);
	c->parcels--;
	conn_free_if_done(c);
}

static void
on_written(uv_write_t *wr, int status)
{
	(void)status;
	parcel_free(wr->data);
}

static void
deliver(void *ctx)
{
	struct parcel *p = ctx;
	uv_buf_t buf = uv_buf_init(p->bytes, (unsigned)p->n);

	if (mode_of(p->to->conn) == M_FREEZE) {
		g_queue_push_tail(&st.frozen, p);
		return;
	}
	if (p->to->conn->closing || mode_of(p->to->conn) == M_BLACKHOLE) {
		parcel_free(p);
		return;
	}
	if (p->is_end) {
		struct conn *c = p->to->conn;

		conn_close(c, false);
		parcel_free(p);
		return;
	}
	p->write.data = p;
	if (uv_write(&p->write, (uv_stream_t *)&p->to->tcp, &buf, 1,
		on_written) != 0)
		parcel_free(p);
}

static void
ship(struct end *to, const char *bytes, size_t n, bool is_end)
{
	struct parcel *p = g_new0(struct parcel, 1);

	p->to = to;
	p->bytes = g_memdup2(bytes, n);
	p->n = n;
	p->is_end = is_end;
	to->conn->parcels++;
	if (st.delay_ms == 0)
		deliver(p);
	else
		tmr_set(&st.tmr, &p->timer,
		    clk_ns(clk_system()) + st.delay_ms * NS_MS, deliver, p);
}

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	(void)h;
	*buf = uv_buf_init(g_malloc(size), (unsigned)size);
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct end *e = stream->data;
	struct conn *c = e->conn;
	size_t len = n > 0 ? (size_t)n : 0;

	if (n < 0) {
		uv_read_stop(stream);
		ship(e->other, NULL, 0, true);
	} else if (n > 0 && e->target && mode_of(c) == M_DROP_ANSWERS) {
		conn_close(c, true);
	} else if (n > 0 && e->target && mode_of(c) == M_TRUNCATE &&
	    c->answered + len >= st.bytes) {
		conn_close(c, true);
	} else if (n > 0) {
		if (e->target)
			c->answered += len;
		ship(e->other, buf->base, len, false);
	}
	g_free(buf->base);
}

static void
on_connected(uv_connect_t *rq, int status)
{
	struct conn *c = rq->data;

	if (status != 0) {
		conn_close(c, true);
		return;
	}
	uv_read_start((uv_stream_t *)&c->ends[0].tcp, on_alloc, on_read);
	uv_read_start((uv_stream_t *)&c->ends[1].tcp, on_alloc, on_read);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct conn *c = g_new0(struct conn, 1);
	int i;

	(void)status;
	st.connections++;
	for (i = 0; i < 2; i++) {
		uv_tcp_init(st.loop, &c->ends[i].tcp);
		uv_tcp_nodelay(&c->ends[i].tcp, 1);
		c->ends[i].tcp.data = &c->ends[i];
		c->ends[i].conn = c;
		c->ends[i].other = &c->ends[1 - i];
	}
	c->ends[1].target = true;
	c->open = 2;
	c->link.data = c;
	g_queue_push_tail_link(&st.conns, &c->link);
	if (uv_accept(listener, (uv_stream_t *)&c->ends[0].tcp) != 0) {
		conn_close(c, true);
		return;
	}
	set_exempt(c);
	if (mode_of(c) == M_CUT) {
		conn_close(c, true);
		return;
	}
	c->connect.data = c;
	uv_tcp_connect(&c->connect, &c->ends[1].tcp,
	    (struct sockaddr *)&st.target, on_connected);
}

/* Starts to listen; returns false on an error. */
static bool
start_listening(void)
{
	uv_tcp_init(st.loop, &st.listener);
	st.listening = true;
	return uv_tcp_bind(&st.listener, (struct sockaddr *)&st.listen, 0) ==
	    0 &&
	    uv_listen((uv_stream_t *)&st.listener, 1024, on_connection) == 0;
}

static void
on_listener_closed(uv_handle_t *h)
{
	(void)h;
	st.closing = false;
	if (st.mode != M_REFUSE_NEW && !start_listening())
		exit(1);
}

static void
set_mode(enum mode mode)
{
	GList *at, *next;
	struct parcel *p;

	st.mode = mode;
	if (mode == M_REFUSE_NEW && st.listening) {
		st.listening = false;
		st.closing = true;
		uv_close((uv_handle_t *)&st.listener, on_listener_closed);
	} else if (mode != M_REFUSE_NEW && !st.listening && !st.closing &&
	    !start_listening()) {
		exit(1);
	}
	if (mode == M_CUT) {
		for (at = st.conns.head; at != NULL; at = next) {
			next = at->next;
			if (mode_of(at->data) == M_CUT)
				conn_close(at->data, true);
		}
	}
	while (mode != M_FREEZE && (p = g_queue_pop_head(&st.frozen)) != NULL)
		deliver(p);
}

static void
on_control(void *ctx, h2o_req_t *req)
{
	struct str mode = hsrv_query(req, "mode");
	unsigned long long v;
	char text[80];
	int i, n;

	(void)ctx;
	if (str_u64(hsrv_query(req, "delay_ms"), &v))
		st.delay_ms = (int64_t)v;
	if (str_u64(hsrv_query(req, "bytes"), &v))
		st.bytes = v;
	if (str_u64(hsrv_query(req, "process"), &v))
		set_process(v);
	for (i = 0; i < M_MAX; i++)
		if (str_eq(mode, str_c(mode_names[i])))
			set_mode((enum mode)i);
	n = snprintf(text, sizeof(text), "{\"connections\":%llu,\"open\":%u}\n",
	    (unsigned long long)st.connections, st.conns.length);
	hsrv_send_response(
	    req, 200, "application/json", str_n(text, (size_t)n));
}

static bool
to_sockaddr(const char *address, struct sockaddr_storage *sa)
{
	char ip[INET6_ADDRSTRLEN];
	uint16_t port;

	return field_parse_address(str_c(address), ip, sizeof(ip), &port) &&
	    uv_ip4_addr(ip, port, (struct sockaddr_in *)sa) == 0;
}

int
main(int argc, char **argv)
{
	GError *err = NULL;

	if (argc != 4 || !to_sockaddr(argv[1], &st.listen) ||
	    !to_sockaddr(argv[2], &st.target)) {
		fprintf(stderr, "usage: standin_proxy LISTEN TARGET CONTROL\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	st.loop = uv_default_loop();
	tmr_open(&st.tmr, st.loop, clk_system());
	if (!start_listening() ||
	    hsrv_open(st.loop, str_c(argv[3]), 4096, on_control, NULL, &err) ==
		NULL) {
		fprintf(stderr, "standin_proxy: cannot listen\n");
		return 1;
	}
	return uv_run(st.loop, UV_RUN_DEFAULT);
}
