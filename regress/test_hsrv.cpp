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
 * Unit tests of the HTTP/1.1 server as a caller sees it: pipelined requests,
 * bodies in pieces, malformed heads, callers that disconnect.
 */
#include <algorithm>
#include <fcntl.h>
#include <functional>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "net.h"

extern "C" {
#include "libhsrv.h"
}

namespace
{

constexpr uint16_t PORT = 7000;

/* A server whose requests are answered by the test. */
struct Server {
	uv_loop_t loop;
	std::string ip = net::own_ip();
	struct hsrv *srv;
	std::vector<h2o_req_t *> reqs; /* NULL: freed */
	std::vector<std::string> requests; /* method, path and body */
	int freed = 0;
	bool responds_at_once = false; /* else the test responds */

	struct Guard {
		Server *server;
		size_t at;
	};

	static void on_freed(void *p)
	{
		Guard *g = static_cast<Guard *>(p);

		g->server->reqs[g->at] = nullptr;
		g->server->freed++;
	}

	static void on_request(void *ctx, h2o_req_t *req)
	{
		Server *s = static_cast<Server *>(ctx);
		Guard *g = static_cast<Guard *>(
		    h2o_mem_alloc_shared(&req->pool, sizeof(Guard), on_freed));

		*g = {s, s->reqs.size()};
		s->reqs.push_back(req);
		s->requests.push_back(
		    std::string(req->method.base, req->method.len) + " " +
		    std::string(req->path.base, req->path.len) + " " +
		    std::string(req->entity.base ? req->entity.base : "",
			req->entity.len));
		if (s->responds_at_once)
			s->respond(g->at, "answer.");
	}

	/* GET requests may run concurrently. */
	static bool may_run_concurrently(void *, const h2o_req_t *req)
	{
		return std::string(req->input.method.base,
			   req->input.method.len) == "GET";
	}

	explicit Server(size_t body_max = 1000)
	{
		std::string address = ip + ":" + std::to_string(PORT);
		GError *err = nullptr;

		uv_loop_init(&loop);
		srv = hsrv_open(&loop, str_n(address.data(), address.size()),
		    body_max, on_request, this, &err);
		if (srv == nullptr)
			throw std::runtime_error(err->message);
		hsrv_allow_concurrent(srv, may_run_concurrently);
	}

	/* Runs the loop until a condition holds, for about `ms` at most. */
	bool run_until(const std::function<bool()> &done, int ms = 3000)
	{
		for (int i = 0; i < ms && !done(); i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(1000);
		}
		return done();
	}

	void run_for(int ms = 30)
	{
		run_until([] { return false; }, ms);
	}

	void respond(size_t i, const std::string &body, bool keep_alive = true)
	{
		ASSERT_LT(i, reqs.size());
		ASSERT_NE(nullptr, reqs[i]);
		if (!keep_alive)
			reqs[i]->http1_is_persistent = 0;
		hsrv_send_response(reqs[i], 200, "text/plain",
		    str_n(body.data(), body.size()));
	}
};

/* A connection to the server, and what it received from there. */
struct Caller {
	int fd;
	std::string received;
	bool closed = false;

	explicit Caller(const Server &s, int receive = 0)
	{
		struct sockaddr_in sa = {};

		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (receive > 0)
			setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive,
			    sizeof(receive));
		sa.sin_family = AF_INET;
		inet_pton(AF_INET, s.ip.c_str(), &sa.sin_addr);
		sa.sin_port = htons(PORT);
		EXPECT_EQ(0, connect(fd, (struct sockaddr *)&sa, sizeof(sa)));
		fcntl(fd, F_SETFL, O_NONBLOCK);
	}

	~Caller()
	{
		if (fd >= 0)
			close(fd);
	}

	void send_text(const std::string &text)
	{
		EXPECT_EQ(static_cast<ssize_t>(text.size()),
		    write(fd, text.data(), text.size()));
	}

	bool read_available()
	{
		char buf[65536];
		ssize_t n;

		while ((n = read(fd, buf, sizeof(buf))) > 0)
			received.append(buf, static_cast<size_t>(n));
		closed = closed || n == 0;
		return true;
	}

	int count(const std::string &what) const
	{
		int n = 0;

		for (size_t at = received.find(what); at != std::string::npos;
		     at = received.find(what, at + 1))
			n++;
		return n;
	}

	/* Returns whether the server sends a text exactly once, in time. */
	bool receives_once(Server &s, const std::string &text)
	{
		return s.run_until(
		    [&] { return read_available() && count(text) == 1; });
	}

	/* Sends the first request of all; returns whether it is answered. */
	bool is_served_first(Server &s)
	{
		send_text("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
		if (!s.run_until([&] { return s.reqs.size() == 1; }))
			return false;
		s.respond(0, "first.");
		return receives_once(s, "first.");
	}

	/* Returns whether the server ends the connection in time. */
	bool is_closed(Server &s)
	{
		return s.run_until([&] { return read_available() && closed; });
	}
};

std::string
get(const std::string &path, const std::string &extra = "")
{
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + extra + "\r\n";
}

std::string
post(const std::string &path, const std::string &body)
{
	return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
	    std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST(Pipeline, RequestsRunConcurrentlyAndResponsesKeepTheirOrder)
{
	Server s;
	Caller c(s);

	c.send_text(get("/1") + get("/2") + get("/3"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 3; }));
	s.respond(2, "third.");
	s.respond(1, "second.");
	s.run_for();
	c.read_available();
	EXPECT_EQ("", c.received);
	s.respond(0, "first.");
	ASSERT_TRUE(c.receives_once(s, "third."));
	EXPECT_LT(c.received.find("first."), c.received.find("second."));
	EXPECT_LT(c.received.find("second."), c.received.find("third."));
	EXPECT_EQ(3, c.count("connection: keep-alive"));
	EXPECT_EQ(3, s.freed);
	EXPECT_FALSE(c.closed);
}

TEST(Pipeline, ARequestThatIsNotRepeatableRunsAloneAndInOrder)
{
	Server s;
	Caller c(s);

	c.send_text(get("/1") + post("/2", "pay") + get("/3"));
	s.run_for();
	ASSERT_EQ(1u, s.reqs.size());
	s.respond(0, "first.");
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() >= 2; }));
	EXPECT_EQ("POST /2 pay", s.requests[1]);
	/* The GET behind it may start: it can safely be sent again. */
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 3; }));
	s.respond(2, "third.");
	s.respond(1, "second.");
	EXPECT_TRUE(c.receives_once(s, "third."));
}

TEST(Pipeline, NothingStartsBehindAResponseThatEndsTheConnection)
{
	Server s;
	Caller c(s);

	c.send_text(get("/1") + post("/2", "pay"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	s.respond(0, "first.", false);
	ASSERT_TRUE(c.is_closed(s));
	EXPECT_EQ(1u, s.reqs.size());
	EXPECT_EQ(1, c.count("connection: close"));
}

/*
 * A request that runs already when an earlier response announces the end of the
 * connection is answered too; later ones are not started.
 */
TEST(Pipeline, RunningRequestsBehindAClosingResponseAreAnsweredToo)
{
	Server s;
	Caller c(s);

	c.send_text(get("/1") + get("/2"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }));
	s.respond(0, "first.", false);
	s.run_for();
	c.send_text(get("/3"));
	s.run_for();
	EXPECT_EQ(2u, s.reqs.size());
	s.respond(1, "second.");
	ASSERT_TRUE(c.is_closed(s));
	EXPECT_EQ(1, c.count("connection: keep-alive"));
	EXPECT_EQ(1, c.count("connection: close"));
	EXPECT_EQ(1, c.count("second."));
}

TEST(Pipeline, ADisconnectEndsAllRequestsOfTheCallerAtOnce)
{
	Server s;
	Caller c(s);

	c.send_text(get("/1") + get("/2") + post("/3", "x"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }));
	s.respond(1, "second.");
	close(c.fd);
	c.fd = -1;
	EXPECT_TRUE(s.run_until([&] { return s.freed == 2; }, 200));
	s.run_for();
	EXPECT_EQ(2u, s.reqs.size());
}

TEST(Pipeline, AMalformedHeadIsRefusedAfterEarlierResponses)
{
	Server s;
	Caller c(s);

	c.send_text(get("/1") + "GET nothing of HTTP\r\n\r\n" + get("/3"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	s.run_for();
	s.respond(0, "first.");
	ASSERT_TRUE(c.is_closed(s));
	EXPECT_EQ(1u, s.reqs.size());
	EXPECT_LT(c.received.find("first."), c.received.find("HTTP/1.1 400"));
	EXPECT_EQ(1, c.count("fern-ran: no"));
}

/* The line was passed on, and a backend server may take it for a length. */
TEST(Pipeline, AHeaderWhoseNameIsNoneIsRefused)
{
	for (const char *line : {"content length: 5", "content-length : 5",
		 "x y: z", "transfer-encoding : chunked"}) {
		Server s;
		Caller c(s);

		c.send_text("GET /1 HTTP/1.1\r\nhost: x\r\na: b\r\n" +
		    std::string(line) + "\r\nc: d\r\n\r\n");
		ASSERT_TRUE(c.receives_once(s, "HTTP/1.1 400")) << line;
		EXPECT_EQ(1, c.count("fern-ran: no"));
		EXPECT_EQ(0u, s.reqs.size());
	}
}

TEST(Pipeline, ConcurrentRequestsAreLimited)
{
	Server s;
	Caller c(s);
	std::string all;

	for (int i = 0; i < 30; i++)
		all += get("/" + std::to_string(i));
	c.send_text(all);
	s.run_for();
	EXPECT_GE(s.reqs.size(), 4u);
	EXPECT_LE(s.reqs.size(), 8u);
	for (size_t i = 0; i < 30; i++) {
		ASSERT_TRUE(s.run_until([&] { return s.reqs.size() > i; }));
		s.respond(i, "answer " + std::to_string(i) + ".");
		s.run_for(2);
		EXPECT_LE(s.reqs.size(), i + 9);
	}
	EXPECT_TRUE(c.receives_once(s, "answer 29."));
}

/*
 * The server bounds the bytes that it reads ahead while a request runs; the
 * rest stays in the network.
 */
TEST(Pipeline, ReadingAheadIsBounded)
{
	Server s(100 << 20);
	Caller c(s);
	std::string some(65536, 'x');
	ssize_t n, sent = 0;

	c.send_text(get("/1") +
	    "POST /2 HTTP/1.1\r\nHost: a\r\n"
	    "Content-Length: 10\r\n\r\n0123456789");
	s.run_for();
	for (int i = 0; i < 2000; i++) {
		n = write(c.fd, some.data(), some.size());
		sent += std::max(n, static_cast<ssize_t>(0));
		uv_run(&s.loop, UV_RUN_NOWAIT);
	}
	EXPECT_LT(sent, 16 << 20);
	EXPECT_EQ(1u, s.reqs.size());
}

TEST(Conn, BodiesMayArriveInPiecesAndChunks)
{
	Server s;
	Caller c(s);
	std::string text = "POST /a?b=c HTTP/1.1\r\nHost: a\r\nX-Empty:\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n"
			   "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n" +
	    post("/2", "body");

	for (char byte : text) {
		c.send_text(std::string(1, byte));
		uv_run(&s.loop, UV_RUN_NOWAIT);
	}
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	EXPECT_EQ("POST /a?b=c abcdefg", s.requests[0]);
	s.respond(0, "first.");
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }));
	EXPECT_EQ("POST /2 body", s.requests[1]);
	s.respond(1, "second.");
	EXPECT_TRUE(c.receives_once(s, "second."));
}

TEST(Conn, ContinueIsSentInOrderForExpect100)
{
	Server s;
	Caller c(s);

	c.send_text(get("/1") +
	    "POST /2 HTTP/1.1\r\nHost: a\r\n"
	    "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	s.run_for();
	c.read_available();
	EXPECT_EQ("", c.received);
	s.respond(0, "first.");
	ASSERT_TRUE(c.receives_once(s, "100 Continue"));
	EXPECT_LT(c.received.find("first."), c.received.find("100 Continue"));
	c.send_text("ok");
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }));
	EXPECT_EQ("POST /2 ok", s.requests[1]);
}

/*
 * The rest of a response filled the socket, so that "100 Continue" behind it
 * could not be written at once, and the connection was closed.
 */
TEST(Conn, ContinueWaitsForRoomInTheSocket)
{
	const int SEND_BUFFER = 4608, SIZES = 120;
	const size_t FIRST = 2000, STEP = 100;
	int fd;

	for (int i = 0; i < SIZES; i++) {
		Server s;

		ASSERT_EQ(0, uv_fileno((uv_handle_t *)&s.srv->listener, &fd));
		setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &SEND_BUFFER,
		    sizeof(SEND_BUFFER));
		Caller c(s, 1024);
		c.send_text(get("/1") +
		    "POST /2 HTTP/1.1\r\nHost: a\r\n"
		    "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
		ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
		s.respond(0, std::string(FIRST + STEP * i, 'x'));
		s.run_for(5);
		ASSERT_TRUE(s.run_until([&] {
			c.read_available();
			return c.closed || c.count("100 Continue") == 1;
		}));
		EXPECT_EQ(1, c.count("100 Continue")) << i;
	}
}

TEST(Conn, TooLargeBodiesAreRefused)
{
	for (bool chunked : {false, true}) {
		Server s;
		Caller c(s);
		std::string body(2000, 'x');

		c.send_text(chunked ? "POST / HTTP/1.1\r\nHost: a\r\nTransfer-"
				      "Encoding: chunked\r\n\r\n7d0\r\n" +
			    body
				    : post("/", body));
		ASSERT_TRUE(c.is_closed(s));
		EXPECT_EQ(1, c.count("HTTP/1.1 413")) << chunked;
		EXPECT_EQ(1, c.count("fern-ran: no"));
		EXPECT_EQ(0u, s.reqs.size());
	}
}

TEST(Conn, AnHttp10ResponseWithoutLengthEndsWithTheConnection)
{
	Server s;
	Caller c(s);

	c.send_text("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	s.reqs[0]->res.status = 200;
	s.reqs[0]->res.reason = "OK";
	h2o_send_inline(s.reqs[0], H2O_STRLIT("all of it"));
	ASSERT_TRUE(c.is_closed(s));
	EXPECT_EQ(1, c.count("connection: close"));
	EXPECT_EQ(1, c.count("\r\n\r\nall of it"));
}

TEST(Conn, AnAbsoluteUrlGivesHostAndPath)
{
	Server s;
	Caller c(s);

	c.send_text("GET http://b.example/x/y HTTP/1.1\r\nHost: a\r\n\r\n");
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	EXPECT_EQ("GET /x/y ", s.requests[0]);
	EXPECT_EQ("b.example",
	    std::string(s.reqs[0]->authority.base, s.reqs[0]->authority.len));
	s.respond(0, "first.");
	s.run_for();
}

/* An upload was cut where it took longer than a connection may rest. */
TEST(Conn, ABodyThatArrivesSlowlyIsRead)
{
	Server s;
	Caller c(s);

	hsrv_set_limits(s.srv, 1000, 200);
	c.send_text("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n");
	for (char byte : std::string("upload")) {
		s.run_for(80);
		ASSERT_EQ(1, send(c.fd, &byte, 1, MSG_NOSIGNAL));
	}
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	EXPECT_EQ("POST /a upload", s.requests[0]);
}

/* A request was cut that began shortly before the end of the rest. */
TEST(Conn, ARequestThatBeginsAfterARestIsRead)
{
	Server s;
	Caller c(s);
	std::string head = get("/a");

	hsrv_set_limits(s.srv, 1000, 200);
	s.run_for(150);
	c.send_text(head.substr(0, 10));
	s.run_for(100);
	c.send_text(head.substr(10));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	s.respond(0, "yes");
	EXPECT_TRUE(c.receives_once(s, "yes"));
}

TEST(Conn, ASlowHeadTimesOutThoughBytesKeepArriving)
{
	Server s;
	Caller c(s);
	std::string head = "GET / HTTP/1.1\r\nHost: a\r\nX-Slow: ";

	hsrv_set_limits(s.srv, 1000, 150);
	c.send_text(head);
	EXPECT_TRUE(s.run_until(
	    [&] {
		    send(c.fd, "x", 1, MSG_NOSIGNAL);
		    c.read_available();
		    return c.closed || send(c.fd, "x", 1, MSG_NOSIGNAL) < 0;
	    },
	    1500));
	EXPECT_EQ(0u, s.reqs.size());
}

namespace
{

void
proceed(h2o_generator_t *, h2o_req_t *)
{
}

} // namespace

/*
 * A response that is cut must just lack its end.  Any other bytes, such as an
 * error text, would make what was sent before unreadable.
 */
TEST(Conn, AResponseThatIsCutEndsWithoutOtherBytes)
{
	/* Cut with the first bytes, after them, or after they were sent. */
	for (int when : {0, 1, 2})
		for (size_t extra : {0, 1}) {
			Server s;
			Caller c(s);
			h2o_generator_t gen = {proceed, nullptr};
			h2o_iovec_t first = h2o_iovec_init(H2O_STRLIT("first"));
			h2o_iovec_t last = h2o_iovec_init(H2O_STRLIT("last"));

			c.send_text(get("/a"));
			ASSERT_TRUE(
			    s.run_until([&] { return s.reqs.size() == 1; }));
			h2o_req_t *req = s.reqs[0];
			req->res.status = 200;
			req->res.reason = "OK";
			req->res.content_length = SIZE_MAX;
			h2o_start_response(req, &gen);
			if (when > 0)
				h2o_send(
				    req, &first, 1, H2O_SEND_STATE_IN_PROGRESS);
			if (when > 1) {
				ASSERT_TRUE(c.receives_once(s, "first\r\n"));
				s.run_for();
			}
			h2o_send(req, &last, extra, H2O_SEND_STATE_ERROR);
			ASSERT_TRUE(c.is_closed(s));
			size_t at = c.received.find("\r\n\r\n");
			std::string body = at == std::string::npos
			    ? ""
			    : c.received.substr(at + 4);
			std::string whole = "5\r\nfirst\r\n4\r\nlast\r\n";
			if (when == 0)
				whole = "4\r\nlast\r\n";
			/* A prefix of the body, and nothing else. */
			EXPECT_EQ(0u, whole.find(body))
			    << when << extra << body;
		}
}

namespace
{

/* A response that is sent as one part, which is not the last one. */
struct Part {
	std::string body;
	h2o_generator_t gen = {proceed, nullptr};
	h2o_iovec_t vec;

	Part(h2o_req_t *req, size_t size)
	    : body(size, 'x'), vec(h2o_iovec_init(body.data(), size))
	{
		req->res.status = 200;
		req->res.reason = "OK";
		req->res.content_length = 2 * size;
		h2o_start_response(req, &gen);
		h2o_send(req, &vec, 1, H2O_SEND_STATE_IN_PROGRESS);
	}
};

constexpr size_t MORE_THAN_BUFFERS = 32 << 20;

} // namespace

/* A response whose caller did not read could not be ended. */
TEST(Conn, AResponseThatIsCutWhileItIsWrittenEndsAtOnce)
{
	Server s;
	Caller c(s, 4096);

	c.send_text(get("/a"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	Part part(s.reqs[0], MORE_THAN_BUFFERS);
	s.run_for();
	EXPECT_TRUE(hsrv_cut(s.reqs[0]));
	EXPECT_EQ(0, s.freed);
	EXPECT_TRUE(s.run_until([&] { return s.freed == 1; }, 100));
	EXPECT_TRUE(c.is_closed(s) || errno == ECONNRESET);
	EXPECT_LT(c.received.size(), MORE_THAN_BUFFERS);
}

/* Guards against losing the response before one that is cut. */
TEST(Pipeline, AResponseThatIsCutLeavesTheOneBeforeItWhole)
{
	Server s;
	Caller c(s);

	c.send_text(get("/1") + get("/2"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }));
	Part part(s.reqs[1], 10);
	EXPECT_TRUE(hsrv_cut(s.reqs[1]));
	s.run_for();
	s.respond(0, "first.");
	EXPECT_TRUE(c.is_closed(s));
	EXPECT_EQ(1, c.count("first."));
	EXPECT_EQ(2, s.freed);
}

/* Nothing ended the connection of a caller that stopped reading. */
TEST(Conn, ACallerThatTakesNothingIsLeft)
{
	Server s;
	Caller idle(s, 4096), slow(s, 4096);
	char buf[4096];

	hsrv_set_stall_limit(s.srv, 150);
	for (Caller *c : {&idle, &slow})
		c->send_text(get("/a"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }));
	Part first(s.reqs[0], MORE_THAN_BUFFERS);
	Part second(s.reqs[1], MORE_THAN_BUFFERS);
	for (int i = 0; i < 20; i++) {
		EXPECT_GT(read(slow.fd, buf, sizeof(buf)), 0);
		s.run_for(40);
	}
	EXPECT_EQ(1, s.freed);
	EXPECT_EQ(nullptr, s.reqs[0]);
}

/*
 * The connection was closed while the rest of a response was in its socket, and
 * bytes from the caller reset it.
 */
TEST(Conn, TheRestOfAResponseOutlivesTheIdleTimeout)
{
	const size_t SIZE = 1000000;
	Server s;
	Caller c(s, 4096);

	c.send_text(get("/1"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	s.respond(0, std::string(SIZE, 'x'));
	ASSERT_TRUE(s.run_until([&] {
		char buf[1000];
		ssize_t n = s.freed == 0 ? read(c.fd, buf, sizeof(buf)) : 0;

		if (n > 0)
			c.received.append(buf, static_cast<size_t>(n));
		return s.freed == 1;
	}));
	ASSERT_LT(c.received.size(), SIZE - 10000) << "nothing is left";
	s.run_for(20);
	hsrv_close_idle(s.srv, 1);
	s.run_for(20);
	c.send_text(get("/2"));
	/* It takes longer than a connection lingers otherwise. */
	EXPECT_TRUE(s.run_until([&] {
		char buf[20000];
		ssize_t n = read(c.fd, buf, sizeof(buf));

		usleep(10000);
		if (n > 0)
			c.received.append(buf, static_cast<size_t>(n));
		return n == 0;
	}));
	EXPECT_GE(c.received.size(), SIZE);
	EXPECT_EQ(1u, s.reqs.size());
}

/*
 * Timers run before the sockets are read: a connection whose idle timeout
 * passed while the loop was busy was closed, and the request in its socket
 * dropped.
 */
TEST(Conn, ARequestThatCameWhileTheLoopWasBusyIsAnswered)
{
	Server s;
	Caller kept(s), fresh(s);

	hsrv_set_limits(s.srv, 1000, 200);
	kept.send_text(get("/1"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	s.respond(0, "first.");
	ASSERT_TRUE(kept.receives_once(s, "first."));
	kept.send_text(get("/2"));
	fresh.send_text(get("/3"));
	usleep(300000);
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 3; }, 300));
	s.respond(1, "second.");
	s.respond(2, "third.");
	EXPECT_TRUE(kept.receives_once(s, "second."));
	EXPECT_TRUE(fresh.receives_once(s, "third."));
}

/* The same where a stop or a changed setting makes the timeout shorter. */
TEST(Conn, ARequestThatCameBeforeTheIdleTimeoutWasCutIsAnswered)
{
	Server s;
	Caller c(s);

	ASSERT_TRUE(c.is_served_first(s));
	s.run_for(50);
	c.send_text(get("/2"));
	uv_update_time(&s.loop);
	hsrv_close_idle(s.srv, 1);
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }, 300));
	s.respond(1, "second.");
	EXPECT_TRUE(c.receives_once(s, "second."));
}

/*
 * The end of an idle connection was only carried out when the loop polled next:
 * a request that came meanwhile was read and got no answer.
 */
TEST(Conn, ARequestBetweenAnIdleCloseAndTheNextPollIsNotSwallowed)
{
	Server s;
	Caller c(s);

	ASSERT_TRUE(c.is_served_first(s));
	s.run_for(50);
	uv_update_time(&s.loop);
	hsrv_close_idle(s.srv, 1);
	c.read_available();
	EXPECT_TRUE(c.closed) << "the caller may still send a request";
}

/* Lets a caller send a request unless it sees that its connection has ended. */
struct LateCaller {
	uv_timer_t timer;
	Caller *caller;
	bool ran = false, sent = false;

	LateCaller(Server &s, Caller &c, uint64_t in_ms) : caller(&c)
	{
		uv_timer_init(&s.loop, &timer);
		timer.data = this;
		uv_timer_start(&timer, run, in_ms, 0);
	}

	static void run(uv_timer_t *handle)
	{
		LateCaller *l = static_cast<LateCaller *>(handle->data);

		l->ran = true;
		l->caller->read_available();
		if (l->caller->closed)
			return;
		l->caller->send_text(get("/2"));
		l->sent = true;
	}
};

/*
 * The same by the timeout, where another timer that is due keeps the loop busy,
 * as one that applies a change of the configuration does.
 */
TEST(Conn, ARequestBetweenAnIdleTimeoutAndTheNextPollIsNotSwallowed)
{
	Server s;
	Caller c(s);

	hsrv_set_limits(s.srv, 1000, 60);
	ASSERT_TRUE(c.is_served_first(s));
	s.run_for(5);

	LateCaller late(s, c, 70);
	usleep(100000);
	ASSERT_TRUE(s.run_until([&] { return late.ran; }));
	EXPECT_FALSE(late.sent) << "the caller may still send a request";
	EXPECT_TRUE(c.is_closed(s));
}

/*
 * A request that was sent before its caller saw the end of the connection was
 * read without an answer, so that the caller could not know that it had not
 * run.
 */
TEST(Conn, ARequestThatCrossesAnIdleCloseIsNotRead)
{
	for (uint64_t rest_ms : {50, 600}) {
		Server s;
		Caller c(s);
		size_t discarded = SIZE_MAX;

		hsrv_watch_ends(
		    s.srv, clk_system(),
		    [](void *ctx, const struct hsrv_end *end) {
			    *static_cast<size_t *>(ctx) = end->discarded;
		    },
		    &discarded);
		ASSERT_TRUE(c.is_served_first(s));
		s.run_for(static_cast<int>(rest_ms));
		uv_update_time(&s.loop);
		hsrv_close_idle(s.srv, 1);
		c.send_text(get("/2"));
		EXPECT_TRUE(s.run_until([&] { return discarded != SIZE_MAX; }));
		EXPECT_EQ(0u, discarded) << "after a rest of " << rest_ms;
		EXPECT_EQ(1u, s.reqs.size());
	}
}

/*
 * Callers used connections up to the moment at which the idle timeout closed
 * them, as nothing told them of it.
 */
TEST(Conn, ResponsesStateAnIdleTimeBelowTheTimeout)
{
	Server s;
	Caller c(s);

	ASSERT_TRUE(c.is_served_first(s));
	EXPECT_EQ(0, c.count("keep-alive: "));
	hsrv_set_limits(s.srv, 1000, 15000);
	c.send_text(get("/2"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }));
	s.respond(1, "second.");
	ASSERT_TRUE(c.receives_once(s, "second."));
	EXPECT_EQ(1, c.count("keep-alive: timeout=12\r\n"));
	hsrv_set_limits(s.srv, 1000, 1500);
	c.send_text(get("/3") + get("/4"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 4; }));
	s.respond(2, "third.");
	s.respond(3, "last.", false);
	ASSERT_TRUE(c.receives_once(s, "last."));
	EXPECT_EQ(1, c.count("keep-alive: "));
}

/*
 * The idle time began when a response was handed to the kernel.  A caller that
 * took longer to read it met the close right after, though it had been told an
 * idle time.
 */
TEST(Conn, ASlowReaderHasTheStatedIdleTimeAfterItsResponse)
{
	Server s;
	Caller c(s, 4096);
	std::string body(300000, 'x');

	hsrv_set_limits(s.srv, 1000, 2500);
	c.send_text(get("/1"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	s.respond(0, body + "first.");
	ASSERT_TRUE(s.run_until([&] { return s.freed == 1; }))
	    << "the kernel holds the whole response";
	s.run_for(2800);
	ASSERT_TRUE(c.receives_once(s, "first."));
	ASSERT_EQ(1, c.count("keep-alive: timeout=1\r\n"));
	s.run_for(100);
	c.read_available();
	EXPECT_FALSE(c.closed) << "closed after 100 ms, 1 s was stated";
	if (!c.closed) {
		c.send_text(get("/2"));
		ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }));
		s.respond(1, "second.");
		EXPECT_TRUE(c.receives_once(s, "second."));
	}
}

/*
 * Nothing was read from a connection that had been closed as idle, not even
 * that its caller had closed it too: a stop waited for the whole linger time.
 */
TEST(Conn, AnIdleConnectionThatItsCallerClosedDoesNotDelayAStop)
{
	Server s;
	Caller c(s);

	ASSERT_TRUE(c.is_served_first(s));
	s.run_for(100);
	uv_update_time(&s.loop);
	hsrv_shutdown(s.srv);
	hsrv_close_idle(s.srv, 50);
	ASSERT_TRUE(c.is_closed(s));
	close(c.fd);
	c.fd = -1;
	EXPECT_TRUE(s.run_until(
	    [&] { return hsrv_count_open(s.srv).connections == 0; }, 200))
	    << "both sides have closed it";
}

/*
 * A lower limit closed all connections that had rested for longer at once, and
 * the requests of callers that had been told a longer time met the close.
 */
TEST(Conn, AShorterIdleTimeoutKeepsWhatWasStated)
{
	Server s;
	Caller older(s), c(s);

	hsrv_set_limits(s.srv, 1000, 2500);
	s.run_for(1000);
	c.send_text(get("/1"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	s.respond(0, "first.");
	ASSERT_TRUE(c.receives_once(s, "keep-alive: timeout=1\r\n"));
	s.run_for(100);
	hsrv_set_limits(s.srv, 1000, 50);
	/* The new limit is applied when the timeout of an older one passes. */
	ASSERT_TRUE(older.is_closed(s));
	c.read_available();
	EXPECT_FALSE(c.closed);
	c.send_text(get("/2"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }));
	s.respond(1, "second.");
	ASSERT_TRUE(c.receives_once(s, "second."));
	EXPECT_EQ(1, c.count("keep-alive: "));
	EXPECT_TRUE(
	    s.run_until([&] { return c.read_available() && c.closed; }, 1500))
	    << "the new limit is not stated, and holds";
}

/*
 * A request that came before the idle timeout was to be read at the next poll,
 * at the latest 500 ms later.  A timer that kept the loop busy for longer let
 * that time pass first, and the connection was cut with the request unread.
 */
TEST(Conn, ARequestBeforeTheIdleTimeoutIsReadAfterALongTimer)
{
	Server s;
	Caller c(s);
	uv_timer_t timer;

	hsrv_set_limits(s.srv, 1000, 60);
	ASSERT_TRUE(c.is_served_first(s));
	s.run_for(5);
	uv_timer_init(&s.loop, &timer);
	uv_timer_start(
	    &timer,
	    [](uv_timer_t *t) {
		    usleep(700000);
		    uv_update_time(t->loop);
	    },
	    70, 0);
	c.send_text(get("/2"));
	usleep(100000);
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }, 2000));
	s.respond(1, "second.");
	EXPECT_TRUE(c.receives_once(s, "second."));
}

/*
 * The idle time was counted from the loop's time, which is that of the last
 * poll, so that a connection could end right after a response where the loop
 * was busy.
 */
TEST(Conn, TheIdleTimeoutBeginsAfterAResponseInABusyTime)
{
	Server s;
	Caller c(s);
	uv_timer_t timer;

	hsrv_set_limits(s.srv, 1000, 1000);
	c.send_text(get("/1"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	uv_timer_init(&s.loop, &timer);
	uv_timer_start(
	    &timer, [](uv_timer_t *) { usleep(1200000); }, 0, 0);
	s.respond(0, "first.");
	ASSERT_TRUE(c.receives_once(s, "first."));
	s.run_for(100);
	c.read_available();
	EXPECT_FALSE(c.closed);
	EXPECT_TRUE(c.is_closed(s));
}

/*
 * The limit was lowered, but the timer still ran for the former one, and idle
 * connections stayed open until then.
 */
TEST(Conn, AShorterIdleTimeoutDoesNotWaitForTheFormerOne)
{
	Server s;

	hsrv_set_limits(s.srv, 1000, 10000);
	Caller before(s);
	s.run_for(50);
	hsrv_set_limits(s.srv, 1000, 200);
	Caller after(s);
	EXPECT_TRUE(before.is_closed(s));
	EXPECT_TRUE(after.is_closed(s));
}

/* The same at a stop, for a connection that has not been idle for long. */
TEST(Conn, AConnectionThatJustBecameIdleIsClosedSoonAtAStop)
{
	Server s;

	hsrv_set_limits(s.srv, 1000, 10000);
	Caller c(s);
	s.run_for(20);
	hsrv_close_idle(s.srv, 200);
	EXPECT_TRUE(c.is_closed(s));
}

/* What is in the socket does not keep a connection open without an end. */
TEST(Conn, AnIncompleteRequestInTheSocketIsNotWaitedFor)
{
	Server s;
	Caller c(s);

	hsrv_set_limits(s.srv, 1000, 100);
	s.run_for(20);
	c.send_text("GET /1 HTTP/1.1\r\nHost");
	usleep(150000);
	EXPECT_TRUE(c.is_closed(s));
	EXPECT_EQ(0u, s.reqs.size());
}

/* The last response ended the connection before the socket was read. */
TEST(Pipeline, ARequestInTheSocketBehindTheLastResponseIsAnswered)
{
	Server s;
	Caller c(s);

	c.send_text(post("/1", "one"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	hsrv_shutdown(s.srv);
	s.run_for();
	c.send_text(post("/2", "two"));
	s.respond(0, "first.");
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }, 300));
	s.respond(1, "second.");
	EXPECT_TRUE(c.is_closed(s));
	EXPECT_EQ(1, c.count("first."));
	EXPECT_EQ(1, c.count("second."));
}

/*
 * At a shutdown a connection ended only with a response behind which nothing
 * had come, so never if its caller always had a request outstanding.
 */
TEST(Pipeline, AConnectionThatIsNeverIdleEndsAtAShutdown)
{
	const size_t ROUNDS = 20;
	Server s;
	Caller c(s);
	size_t i;

	c.send_text(get("/0"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	hsrv_shutdown(s.srv);
	hsrv_end_input(s.srv);
	for (i = 0; i < ROUNDS && i < s.reqs.size(); i++) {
		c.send_text(get("/" + std::to_string(i + 1)));
		s.run_for();
		s.respond(i, "answer.");
		s.run_for();
	}
	EXPECT_TRUE(c.is_closed(s));
	EXPECT_LE(s.reqs.size(), 3u);
	EXPECT_EQ(static_cast<int>(s.reqs.size()), c.count("answer."));
	EXPECT_EQ(1, c.count("connection: close"));
}

/*
 * The end of the input freed a request that had come in part, while its rest
 * was in the input: the next parse had no request, and the process crashed.
 */
TEST(Pipeline, ARequestInPartsBehindAFullConnectionSurvivesAShutdown)
{
	const size_t AHEAD = 7;
	Server s;
	Caller c(s);
	std::string all;

	for (size_t i = 0; i < AHEAD; i++)
		all += get("/" + std::to_string(i));
	c.send_text(all + "GET /last HTTP/1.1\r\nHo");
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == AHEAD; }));
	c.send_text("st: a\r\n\r\n");
	s.run_for();
	hsrv_shutdown(s.srv);
	for (size_t i = 0; i < s.reqs.size(); i++) {
		s.respond(i, "answer.");
		s.run_for();
	}
	EXPECT_TRUE(c.is_closed(s));
	EXPECT_EQ(static_cast<int>(s.reqs.size()), c.count("answer."));
	EXPECT_EQ(1, c.count("connection: close"));
}

/* The same where the input ends as the listener closes, and with a body. */
TEST(Pipeline, ABodyInPartsBehindAFullConnectionSurvivesTheEndOfTheInput)
{
	const size_t AHEAD = 7;
	Server s;
	Caller c(s);
	std::string all, last = post("/last", std::string(500, 'b'));

	for (size_t i = 0; i < AHEAD; i++)
		all += get("/" + std::to_string(i));
	c.send_text(all + last.substr(0, last.size() - 100));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == AHEAD; }));
	s.run_for();
	c.send_text(std::string(100, 'b'));
	s.run_for();
	hsrv_shutdown(s.srv);
	hsrv_end_input(s.srv);
	for (size_t i = 0; i < s.reqs.size(); i++) {
		s.respond(i, "answer.");
		s.run_for();
	}
	EXPECT_TRUE(c.is_closed(s));
	EXPECT_EQ(static_cast<int>(s.reqs.size()), c.count("answer."));
	EXPECT_EQ(1, c.count("connection: close"));
}

/*
 * Behind two requests, of which the second had to wait, came a part of a third
 * before the end of the input and its rest later.  That was discarded; the
 * second response, which came at once, did not say so, as there was input left,
 * and what was sent behind it was taken for the rest and never answered.
 */
TEST(Pipeline, ARequestInPartsBehindAWaitingOneDoesNotOutliveTheEndOfTheInput)
{
	std::string last = post("/3", std::string(500, 'b'));
	Server s;
	Caller c(s);

	c.send_text(get("/1") + post("/2", "two"));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	c.send_text(last.substr(0, last.size() - 100));
	s.run_for();
	hsrv_shutdown(s.srv);
	hsrv_end_input(s.srv);
	c.send_text(std::string(100, 'b') + get("/4"));
	s.run_for();
	s.responds_at_once = true;
	s.respond(0, "answer.");
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }));
	s.run_for();
	c.send_text(get("/5") + get("/6"));
	EXPECT_TRUE(c.is_closed(s));
	EXPECT_EQ(2u, s.reqs.size());
	EXPECT_EQ(2, c.count("answer."));
	EXPECT_EQ(1, c.count("connection: close"));
}

/*
 * The idle timeout of a connection was started after "100 Continue" could not
 * be sent, and outlived the connection.
 */
TEST(Conn, ACallerThatResetsBeforeItIsToldToContinueIsLeft)
{
	const struct linger reset = {1, 0};
	Server s;

	hsrv_set_limits(s.srv, 1000, 50);
	for (int i = 0; i < 20; i++) {
		Caller c(s);

		s.run_for(3);
		c.send_text("POST /1 HTTP/1.1\r\nHost: a\r\n"
			    "Content-Length: 5\r\n"
			    "Expect: 100-continue\r\n\r\n");
		setsockopt(c.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		close(c.fd);
		c.fd = -1;
		s.run_for(10);
	}
	s.run_for(200);
	EXPECT_EQ(0u, hsrv_count_open(s.srv).connections);
	EXPECT_EQ(0u, s.reqs.size());
}

/*
 * A caller of HTTP/2 that always has a request outstanding, on a connection
 * opened before or after the shutdown.  Returns how long it stays open, in ms.
 */
static int
http2_outlasts(bool opened_before)
{
	const std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
				  "\0\0\0\4\0\0\0\0\0",
	    33);
	const int STEPS = 200, STEP_MS = 25, ALL_ANSWERED = 80;
	const size_t OUTSTANDING = 4;
	Server s;
	std::string frame("\0\0\6\1\5\0\0\0\1\x82\x86\x84\x41\1a", 15);
	size_t answered = 0, left;
	int step;

	if (!opened_before)
		hsrv_shutdown(s.srv);
	Caller c(s);
	c.send_text(preface);
	s.run_for();
	for (step = 0; step < STEPS && !c.closed; step++) {
		if (step == 4 && opened_before)
			hsrv_shutdown(s.srv);
		frame[7] = static_cast<char>((2 * step + 1) >> 8);
		frame[8] = static_cast<char>(2 * step + 1);
		if (write(c.fd, frame.data(), frame.size()) < 0)
			break;
		s.run_for(STEP_MS);
		/* Until no more requests can come. */
		left = step < ALL_ANSWERED ? OUTSTANDING : 0;
		for (; answered + left < s.reqs.size(); answered++)
			s.respond(answered, "answer.");
		c.read_available();
	}
	return step * STEP_MS;
}

TEST(Conn, AnHttp2ConnectionThatIsNeverIdleEndsAtAShutdown)
{
	EXPECT_LT(http2_outlasts(true), 4000);
	EXPECT_LT(http2_outlasts(false), 4000);
}

namespace
{

/* Returns the last stream by the newest GOAWAY that was received; -1: none. */
int
last_stream(const std::string &received)
{
	const size_t HEAD = 9;
	const int GOAWAY = 7;
	size_t at, size;
	int last = -1;
	auto byte = [&](size_t i) {
		return static_cast<unsigned char>(received[i]);
	};

	for (at = 0; at + HEAD <= received.size(); at += HEAD + size) {
		size = static_cast<size_t>(
		    byte(at) << 16 | byte(at + 1) << 8 | byte(at + 2));
		if (byte(at + 3) == GOAWAY && at + HEAD + 4 < received.size())
			last = byte(at + HEAD + 2) << 8 | byte(at + HEAD + 3);
	}
	return last;
}

} // namespace

/*
 * The idle timeout of an HTTP/2 connection passes while the loop is busy, and a
 * request comes before or after it is noticed.  GOAWAY tells that the request
 * was not processed, or there is a response.
 */
TEST(Conn, AnHttp2RequestThatMeetsTheIdleTimeoutIsNamedOrAnswered)
{
	const std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
				  "\0\0\0\4\0\0\0\0\0",
	    33);
	const int IDLE_MS = 100;
	std::string frame("\0\0\6\1\5\0\0\0\1\x82\x86\x84\x41\1a", 15);

	for (int late_ms : {0, 60, 130}) {
		Server s;

		s.srv->ctx.http2.idle_timeout.timeout = IDLE_MS;
		Caller c(s);
		c.send_text(preface);
		frame[8] = 1;
		c.send_text(frame);
		ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
		s.respond(0, "answer.");
		s.run_for(50);
		/* The loop is busy for 130 ms. */
		frame[8] = 3;
		usleep(static_cast<unsigned>(late_ms) * 1000);
		if (late_ms < 130)
			c.send_text(frame);
		usleep(static_cast<unsigned>(130 - late_ms) * 1000);
		if (late_ms == 130) {
			uv_run(&s.loop, UV_RUN_NOWAIT);
			c.send_text(frame);
		}
		EXPECT_TRUE(s.run_until([&] {
			c.read_available();
			return c.closed || s.reqs.size() == 2;
		})) << late_ms;
		if (s.reqs.size() == 2)
			continue;
		EXPECT_EQ(1, last_stream(c.received)) << late_ms;
	}
}

/*
 * Where no descriptors are left, connections were accepted and closed, and the
 * callers of the requests on them got no answer.
 */
TEST(Conn, ARequestBeyondTheDescriptorsIsRefusedAsNotRun)
{
	const size_t CALLERS = 60, LEFT = 48;
	struct rlimit before, few;
	std::vector<std::unique_ptr<Caller>> all;
	size_t refused = 0;
	Server s;

	for (size_t i = 0; i < CALLERS; i++) {
		all.push_back(std::make_unique<Caller>(s));
		all.back()->send_text(get("/x"));
	}
	ASSERT_EQ(0, getrlimit(RLIMIT_NOFILE, &before));
	few = before;
	few.rlim_cur = static_cast<rlim_t>(all.back()->fd) + 1 + LEFT;
	ASSERT_EQ(0, setrlimit(RLIMIT_NOFILE, &few));
	s.run_for(50);
	for (size_t i = 0; i < s.reqs.size(); i++)
		s.respond(i, "answer.");
	s.run_for(50);
	for (auto &c : all) {
		c->read_available();
		EXPECT_EQ(1, c->count("HTTP/1.1 "));
		refused += c->count("fern-ran: no") > 0;
	}
	EXPECT_EQ(CALLERS, s.reqs.size() + refused);
	EXPECT_GT(refused, 0u);
	EXPECT_EQ(0, setrlimit(RLIMIT_NOFILE, &before));
}

/* Connections that the kernel had accepted were reset with the listener. */
TEST(Conn, AConnectionThatWaitsWhenTheListenerClosesIsServed)
{
	Server s;
	Caller first(s), second(s);

	for (Caller *c : {&first, &second})
		c->send_text(get("/1"));
	hsrv_stop_accepting(s.srv);
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }, 300));
	s.respond(0, "yes");
	s.respond(1, "yes");
	EXPECT_TRUE(first.receives_once(s, "yes"));
	EXPECT_TRUE(second.receives_once(s, "yes"));
}

/* Bodies took all memory of a box, as each was bounded by itself only. */
TEST(Conn, BodiesBeyondTheRoomForAllAreRefusedAsNotRun)
{
	Server s;
	Caller first(s), second(s), chunked(s), third(s);
	struct hsrv_room room = {250, 0};
	std::string body(150, 'x');

	hsrv_limit_room(s.srv, &room);
	first.send_text(post("/1", body));
	ASSERT_TRUE(s.run_until([&] { return s.reqs.size() == 1; }));
	second.send_text(post("/2", body));
	ASSERT_TRUE(second.receives_once(s, "HTTP/1.1 503"));
	EXPECT_EQ(1, second.count("fern-error: no-room"));
	EXPECT_EQ(1, second.count("fern-ran: no"));
	EXPECT_EQ(1, second.count("retry-after: 1"));
	chunked.send_text("POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
			  "chunked\r\n\r\n40\r\n" +
	    std::string(64, 'x') + "\r\n40\r\n" + std::string(64, 'x') +
	    "\r\n");
	ASSERT_TRUE(chunked.receives_once(s, "HTTP/1.1 503"));
	EXPECT_EQ(150u, room.held);
	s.respond(0, "first.");
	ASSERT_TRUE(first.receives_once(s, "first."));
	ASSERT_TRUE(s.run_until([&] { return room.held == 0; }));
	third.send_text(post("/4", body));
	EXPECT_TRUE(s.run_until([&] { return s.reqs.size() == 2; }));
	/* More than there can ever be. */
	Caller large(s);
	large.send_text(post("/5", body + body));
	EXPECT_TRUE(large.receives_once(s, "HTTP/1.1 413"));
}
