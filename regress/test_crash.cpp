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
#include <arpa/inet.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include "box.h"

/*
 * Guards against a request that crashes every backend server that runs it. If
 * its owner sees only a broken connection and holds that against the backend
 * server alone, it sends the request to the next server. The client then
 * retries through any box, and the retry is treated as a new request. So one
 * client can stop all backend servers of a service, and other requests on these
 * servers fail as well. The log then shows the same fingerprint for several
 * backend servers, and "connect" for other requests to the servers that
 * crashed:
 *
 *	connection lost print=3eac7d9839ae3376 why=cut backend=i-1 tries=1
 *	connection lost print=3eac7d9839ae3376 why=cut backend=i-2 tries=2
 *	connection lost print=3eac7d9839ae3376 why=cut backend=i-0 tries=1
 *	connection lost print=2bdae2a578f402e1 why=connect backend=i-0 tries=2
 */

namespace
{

constexpr int SERVERS = 6;
/* As on large fleets, a box announces its full state once and when needed. */
const char *const statuses = "status_by = \"hubs\"\nstatus_ms = 3600000\n"
			     "boxes_ms = 60000\n";
/* The time within which all boxes must know what one of them has learned. */
constexpr int64_t CONTACT_NS = 3 * NS_S;

/*
 * Six backend servers of one service, and a request that crashes each backend
 * server that runs it. A crashed server is back after a second.
 */
struct Ending : box::World {
	std::vector<Reply> others; /* responses to harmless requests */
	size_t sent = 0;

	/* Every other backend server is in the hall `second`. */
	explicit Ending(const std::string &second = "north")
	    : World(false, "", "", statuses)
	{
		for (int i = 4; i < SERVERS; i++)
			platform.start_backend("i-" + std::to_string(i), "till",
			    ip + ":" + std::to_string(9100 + i));
		for (int i = 0; i < SERVERS; i++)
			place(i, i % 2 == 0 ? "north" : second);
		configure("till");
		platform.ends_servers("/ends", 30, 1000);
	}

	void place(int i, const std::string &hall)
	{
		platform.put("servers", "i-" + std::to_string(i),
		    "{\"service\":\"till\",\"addr\":\"" + ip + ":" +
			std::to_string(9100 + i) + "\",\"zone\":\"" + hall +
			"\",\"slots\":3,\"state\":\"ready\"}");
	}

	/* Starts n harmless requests, each with a path of its own. */
	void start_others(int n)
	{
		static int id;

		for (int i = 0; i < n; i++) {
			std::string name = std::to_string(++id);

			sent++;
			http_start("GET", ip + ":8080",
			    "/look/" + name + "?ms=60",
			    {{"Host", "shop.example"},
				{"fernjunction-request-id", "other" + name},
				{"fernjunction-deadline-ms", "800"}},
			    "", 2000,
			    [this](const Reply &r) { others.push_back(r); });
		}
	}

	/*
	 * Returns the number of responses that do not come from a backend
	 * server.
	 */
	size_t unserved() const
	{
		size_t n = 0;

		for (const Reply &r : others)
			n += r.status != 200;
		return n;
	}

	/*
	 * Returns the number of crashes after all boxes had time to learn of
	 * it.
	 */
	size_t late_ends()
	{
		std::vector<int64_t> ends = platform.ends();
		size_t n = 0;

		for (size_t i = 3; i < ends.size(); i++)
			n += ends[i] > ends[2] + CONTACT_NS;
		return n;
	}
};

struct sockaddr_in
inet_address(const std::string &ip, uint16_t port)
{
	struct sockaddr_in sin = {};

	sin.sin_family = AF_INET;
	sin.sin_port = htons(port);
	inet_pton(AF_INET, ip.c_str(), &sin.sin_addr);
	return sin;
}

/* Sends a request from the address source. Returns its status, or 0. */
int
ask_from(const std::string &source, const std::string &ip, uint16_t port,
    const std::string &path)
{
	struct sockaddr_in from = inet_address(source, 0);
	struct sockaddr_in to = inet_address(ip, port);
	struct timeval wait = {2, 0};
	std::string request = "GET " + path +
	    " HTTP/1.1\r\nHost: shop.example\r\n"
	    "fernjunction-request-id: " +
	    source + "\r\nfernjunction-deadline-ms: 800\r\n\r\n";
	char answer[400] = "";
	int fd = socket(AF_INET, SOCK_STREAM, 0), status = 0;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	if (bind(fd, (struct sockaddr *)&from, sizeof(from)) == 0 &&
	    connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0 &&
	    write(fd, request.data(), request.size()) > 0 &&
	    read(fd, answer, sizeof(answer) - 1) > 0)
		sscanf(answer, "HTTP/1.1 %d", &status);
	close(fd);
	return status;
}

} // namespace

/*
 * The crashing request is repeated among other requests. After three crashes it
 * is refused, and the requests that ran beside it are all served.
 */
TEST(Crash, ARequestThatEndsServersIsRefusedAndWhoRanBesideItIsServed)
{
	Ending w;
	Reply last;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	for (int i = 0; i < 12; i++) {
		w.start_others(3);
		last = w.ask("/look/ends");
		EXPECT_NE(200, last.status);
		pump(20);
	}
	EXPECT_TRUE(until([&] { return w.others.size() == w.sent; }, 3000));
	EXPECT_EQ(0u, w.unserved());
	EXPECT_GE(4u, w.platform.ends().size());
	/* It is refused as not run, at once and with a Retry-After. */
	EXPECT_EQ(503, last.status);
	EXPECT_TRUE(last.not_run());
	EXPECT_NE("", last.header("retry-after"));
}

/* The request arrives at any box, and each hall has its own owner. */
TEST(Crash, OtherHallsAndBoxesThatStartKnowItWithinContact)
{
	Ending w("south");
	box::Further south(w, "b2", "south", "7", statuses);
	box::Further fresh(w, "b3", "north", "6", statuses);

	ASSERT_TRUE(until([&] { return w.ready(); }));
	south.box.start();
	ASSERT_TRUE(until([&] { return south.serves(); }));
	for (int i = 0; i < 30; i++) {
		w.ask("/look/ends");
		south.ask("/look/ends");
		pump(150);
	}
	ASSERT_LE(3u, w.platform.ends().size());
	EXPECT_GE(3u, w.late_ends());
	/* Each box knows the request, whichever one saw the crashes. */
	EXPECT_TRUE(w.logged("it ends servers"));
	EXPECT_NE(
	    std::string::npos, south.box.read_log().find("it ends servers"));
	/* The first box is killed, and a new one replaces it. */
	size_t before = w.platform.ends().size();
	fresh.box.start();
	ASSERT_TRUE(until([&] { return fresh.serves(); }));
	pump(CONTACT_NS / NS_MS);
	w.box.kill9();
	for (int i = 0; i < 10; i++) {
		EXPECT_EQ(503, fresh.ask("/look/ends").status);
		pump(50);
	}
	EXPECT_EQ(before, w.platform.ends().size());
	EXPECT_TRUE(until([&] { return fresh.serves(); }, 3000));
}

/*
 * The client's address does not change what a request does to a backend server,
 * so it must not be part of the fingerprint. Otherwise each client starts with
 * a new fingerprint:
 *
 *	connection lost print=a7c9076e4879d549 why=cut backend=i-2 tries=1
 *	connection lost print=a7c9076e4879d549 why=cut backend=i-3 tries=2
 *	connection lost print=93917993291e6218 why=cut backend=i-5 tries=1
 *	connection lost print=93917993291e6218 why=cut backend=i-0 tries=2
 */
TEST(Crash, ItMayComeFromSeveralCallers)
{
	Ending w;
	int last = 0;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	for (int i = 1; i <= 8; i++)
		last = ask_from("127.0.0." + std::to_string(100 + i), w.ip,
		    8080, "/look/ends");
	EXPECT_EQ(503, last);
	EXPECT_GE(4u, w.platform.ends().size());
	EXPECT_EQ(200, ask_from("127.0.0.1", w.ip, 8080, "/look/1"));
}

/* All boxes stop at once, so that none is left to inform the new ones. */
TEST(Crash, ItIsKnownWhenAllBoxesStartAnew)
{
	Ending w;

	/*
	 * The box has announced itself, and does not do so again for an hour.
	 */
	ASSERT_TRUE(until([&] { return w.ready() && w.has("boxes", "b1"); }));
	for (int i = 0; i < 4; i++)
		w.ask("/look/ends");
	EXPECT_EQ(3u, w.platform.ends().size());
	pump(1000);
	w.box.kill9();
	w.box.start();
	ASSERT_TRUE(until([&] { return w.ready(); }));
	ASSERT_TRUE(until([&] { return w.ask("/look/1").status == 200; }));
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(503, w.ask("/look/ends").status);
	EXPECT_EQ(3u, w.platform.ends().size());
}

/*
 * The platform was restored from a copy that lacks what the box had written of
 * the request, before all boxes stopped at once.
 */
TEST(Crash, ItIsKnownWhenAllBoxesStartAnewAfterARestore)
{
	Ending w;

	ASSERT_TRUE(until([&] { return w.ready() && w.has("boxes", "b1"); }));
	w.platform.keep_copy();
	for (int i = 0; i < 4; i++)
		w.ask("/look/ends");
	EXPECT_EQ(3u, w.platform.ends().size());
	pump(1000);
	w.platform.restore();
	pump(3000);
	w.box.kill9();
	w.box.start();
	ASSERT_TRUE(until([&] { return w.ready(); }));
	ASSERT_TRUE(until([&] { return w.ask("/look/1").status == 200; }));
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(503, w.ask("/look/ends").status);
	EXPECT_EQ(3u, w.platform.ends().size());
}

/*
 * While the platform is unreachable, a box that starts learns of crashing
 * requests from the other boxes.
 */
TEST(Crash, ABoxThatStartsInAnOutageIsToldByOthers)
{
	Ending w;
	box::Further fresh(w, "b3", "north", "6", statuses);

	fresh.seed(w.ip + ":8480");
	ASSERT_TRUE(until([&] { return w.ready() && w.has("boxes", "b1"); }));
	w.platform.answer_all(503);
	for (int i = 0; i < 4; i++)
		w.ask("/look/ends");
	EXPECT_EQ(3u, w.platform.ends().size());
	fresh.box.start();
	ASSERT_TRUE(until([&] { return fresh.serves(); }));
	pump(CONTACT_NS / NS_MS);
	w.box.kill9();
	EXPECT_TRUE(until([&] { return fresh.serves(); }, 3000));
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(503, fresh.ask("/look/ends").status);
	EXPECT_EQ(3u, w.platform.ends().size());
}
