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
#include <gtest/gtest.h>

#include "box.h"

extern "C" {
#include "deputy.h"
}

/*
 * Tests of boxes that reach no backend server while callers, the platform and
 * the other boxes still reach them.  All requests for a shard go through its
 * owner, so if the owner is such a box, callers of all boxes of the hall are
 * refused although other boxes reach the servers.
 */

namespace
{

/* Time after the start of a cut from which callers are served again. */
constexpr int CONTACT_MS = 3000;
constexpr int FIRST_PORT = 9100, SERVERS = 4;
constexpr int PROXY_OFFSET = 100, CONTROL_OFFSET = 200;

/* Proxies between the boxes and all backend servers. */
struct Paths {
	std::vector<Process> proxies;
	std::string ip;

	Paths(const std::string &at, const std::string &dir) : ip(at)
	{
		const char *root = getenv("FERN_ROOT");

		for (int port = FIRST_PORT; port < FIRST_PORT + SERVERS;
		     port++) {
			Process p;

			p.argv = {std::string(root ? root : ".") +
				"/regress/standin_proxy",
			    address(port + PROXY_OFFSET), address(port),
			    address(port + CONTROL_OFFSET)};
			p.log = dir + "/proxy.log";
			p.start();
			proxies.push_back(p);
		}
	}

	~Paths()
	{
		for (Process &p : proxies)
			p.kill9();
		unlink(proxies[0].log.c_str());
	}

	std::string address(int port) const
	{
		return ip + ":" + std::to_string(port);
	}

	/* Controls the proxy of one server. */
	void set(int server, const std::string &query) const
	{
		std::string control =
		    address(FIRST_PORT + CONTROL_OFFSET + server);

		EXPECT_TRUE(until(
		    [&] {
			    return http("POST", control,
				       "/standin/set?" + query, {}, "", 500)
				       .status == 200;
		    },
		    5000));
	}

	void set(const std::string &query) const
	{
		for (int i = 0; i < SERVERS; i++)
			set(i, query);
	}

	/* Sets the mode of the connections of one box. */
	void set(const Process &box, const std::string &mode) const
	{
		set("process=" + std::to_string(box.pid) + "&mode=" + mode);
	}
};

struct Counts {
	int served = 0, refused = 0, other = 0;
	double slowest_ms = 0;
};

/* Two boxes, with proxies between them and the backend servers. */
struct Pair : box::World {
	Paths paths;
	box::Further further;

	explicit Pair(const std::string &hall)
	    : paths(ip, dir), further(*this, "b2", hall, "7")
	{
		for (int i = 0; i < SERVERS; i++)
			enter_proxy(i, "north");
		target = "700ms";
		configure("till");
		further.box.start();
		EXPECT_TRUE(until([&] { return ready() && knows(2); }));
		std::string service = owned();
		configure(service);
		EXPECT_TRUE(until([&] {
			(void)further.serves();
			return ask("/look/1").status == 200 &&
			    (service == "till" ? ran(0, 1) : ran(2, 3)) > 0;
		}));
		Counts here, there;
		send(20, here, there);
	}

	void enter_proxy(int i, const std::string &zone)
	{
		platform.put("servers", "i-" + std::to_string(i),
		    "{\"service\":\"" + std::string(i < 2 ? "till" : "shelf") +
			"\",\"addr\":\"" +
			paths.address(FIRST_PORT + PROXY_OFFSET + i) +
			"\",\"zone\":\"" + zone +
			"\",\"slots\":3,"
			"\"state\":\"ready\"}");
	}

	/* Returns the service whose shard this box owns in its hall. */
	std::string owned()
	{
		std::string name;

		EXPECT_TRUE(until([&] {
			for (const char *service : {"till", "shelf"})
				if (owns(service))
					name = service;
			return !name.empty();
		}));
		return name;
	}

	bool owns(const std::string &service)
	{
		std::string page =
		    http("GET", ip + ":8280", "/shards", {}, "", 500).body;
		json_t *list = json_loads(page.c_str(), 0, nullptr), *s;
		bool found = false;
		size_t i;

		json_array_foreach (list, i, s) {
			const char *name =
			    json_string_value(json_object_get(s, "service"));

			found = found ||
			    (name == service &&
				json_is_true(json_object_get(s, "owner")));
		}
		json_decref(list);
		return found;
	}

	static void count(Counts &c, const Reply &r, double began)
	{
		c.served += r.status == 200;
		c.refused += r.status == 503 && r.header("retry-after") != "";
		c.other += r.status != 200 && r.status != 503;
		c.slowest_ms = std::max(c.slowest_ms, now_ms() - began);
	}

	/* Sends requests through both boxes in turn. */
	void send(int n, Counts &here, Counts &there)
	{
		for (int i = 0; i < n; i++) {
			double began = now_ms();

			count(here, ask("/look/1"), began);
			began = now_ms();
			count(there, further.ask("/look/1"), began);
			pump(5);
		}
	}

	/* Sends requests while a cut begins and for as long as it may show. */
	void send_until_contact()
	{
		double end = now_ms() + CONTACT_MS;
		Counts here, there;

		while (now_ms() < end)
			send(1, here, there);
	}

	void expect_served(int n)
	{
		Counts here, there;

		send(n, here, there);
		EXPECT_EQ(n, here.served) << here.refused << " refused";
		EXPECT_EQ(n, there.served) << there.refused << " refused";
	}
};

/* Names the current deputy, or the gate on trial. */
std::string
box_of(const struct deputy &d)
{
	return std::string(d.box.p == nullptr ? "" : d.box.p, d.box.n);
}

} // namespace

TEST(Deputy, IsWantedOnlyWhileNoServerResponds)
{
	struct deputy d = {};

	EXPECT_FALSE(deputy_update(&d, false, NS_S));
	EXPECT_FALSE(deputy_is_wanted(&d));
	EXPECT_FALSE(deputy_update(&d, true, 2 * NS_S));
	EXPECT_TRUE(deputy_is_wanted(&d));
	EXPECT_FALSE(deputy_update(&d, false, 3 * NS_S));
	EXPECT_FALSE(deputy_is_wanted(&d));
	deputy_clear(&d);
}

TEST(Deputy, GetsOneRequestUntilAServerHasAnsweredIt)
{
	struct deputy d = {};

	deputy_update(&d, true, NS_S);
	deputy_start_trial(&d, STR_LIT("b2"), NS_S);
	EXPECT_FALSE(deputy_is_wanted(&d));
	EXPECT_EQ(DEPUTY_TRIAL, d.state);
	EXPECT_TRUE(
	    deputy_responded(&d, STR_LIT("b2"), DEPUTY_REACHES, NS_S + 1));
	EXPECT_EQ(DEPUTY_SERVING, d.state);
	EXPECT_EQ("b2", box_of(d));
	/* A refusal for lack of time does not end it. */
	EXPECT_FALSE(
	    deputy_responded(&d, STR_LIT("b2"), DEPUTY_UNDECIDED, NS_S + 2));
	EXPECT_EQ(DEPUTY_SERVING, d.state);
	deputy_clear(&d);
}

TEST(Deputy, AGateThatFailedItsTrialGetsNoOtherSoon)
{
	struct deputy d = {};

	deputy_update(&d, true, NS_S);
	deputy_start_trial(&d, STR_LIT("b2"), NS_S);
	deputy_responded(&d, STR_LIT("b2"), DEPUTY_FAILED, NS_S);
	EXPECT_TRUE(deputy_is_wanted(&d));
	EXPECT_FALSE(deputy_may_try(&d, STR_LIT("b2"), NS_S));
	EXPECT_TRUE(deputy_may_try(&d, STR_LIT("b3"), NS_S));
	EXPECT_TRUE(deputy_may_try(&d, STR_LIT("b2"), NS_S + DEPUTY_RETRY_NS));
	deputy_clear(&d);
}

/* A request may take longer than a trial. */
TEST(Deputy, ATrialWithoutResponseEndsAndALateResponseCounts)
{
	struct deputy d = {};

	deputy_update(&d, true, NS_S);
	deputy_start_trial(&d, STR_LIT("b2"), NS_S);
	deputy_update(&d, true, NS_S + DEPUTY_TRIAL_NS);
	EXPECT_TRUE(deputy_is_wanted(&d));
	deputy_start_trial(&d, STR_LIT("b3"), NS_S + DEPUTY_TRIAL_NS);
	EXPECT_TRUE(deputy_responded(
	    &d, STR_LIT("b2"), DEPUTY_REACHES, NS_S + 2 * DEPUTY_TRIAL_NS));
	EXPECT_EQ("b2", box_of(d));
	deputy_clear(&d);
}

TEST(Deputy, TheOwnerReturnsWhenServersHaveRespondedForAWhile)
{
	struct deputy d = {};
	int64_t now = NS_S;

	deputy_update(&d, true, now);
	deputy_start_trial(&d, STR_LIT("b2"), now);
	deputy_responded(&d, STR_LIT("b2"), DEPUTY_REACHES, now);
	EXPECT_FALSE(deputy_update(&d, false, now));
	EXPECT_EQ(DEPUTY_SERVING, d.state);
	now += DEPUTY_RETURN_NS - 1;
	EXPECT_FALSE(deputy_update(&d, false, now));
	/* A single response is no return. */
	EXPECT_FALSE(deputy_update(&d, true, now));
	EXPECT_FALSE(deputy_update(&d, false, now + 1));
	EXPECT_EQ(DEPUTY_SERVING, d.state);
	EXPECT_TRUE(deputy_update(&d, false, now + 1 + DEPUTY_RETURN_NS));
	EXPECT_EQ(DEPUTY_NONE, d.state);
	EXPECT_FALSE(deputy_is_wanted(&d));
	deputy_clear(&d);
}

TEST(Cutoff, AnOwnerWhoseConnectionsHangLetsAnotherBoxOfItsHallServe)
{
	Pair p("north");

	p.paths.set(p.box, "blackhole");
	p.send_until_contact();
	p.expect_served(50);
}

TEST(Cutoff, AnOwnerWhoseConnectionsAreResetLetsAnotherBoxOfItsHallServe)
{
	Pair p("north");

	p.paths.set(p.box, "cut");
	p.send_until_contact();
	p.expect_served(50);
}

/* All boxes of a hall are cut off: the boxes of another hall reach it. */
TEST(Cutoff, WhereAWholeHallIsCutOffAnotherHallServesItsBackendServers)
{
	Pair p("south");

	p.paths.set(p.box, "blackhole");
	p.send_until_contact();
	p.expect_served(50);
}

TEST(Cutoff, TheOwnerServesAgainOnceItReachesItsBackendServers)
{
	Pair p("north");

	p.paths.set(p.box, "cut");
	p.send_until_contact();
	p.paths.set(p.box, "pass");
	EXPECT_TRUE(until(
	    [&] {
		    p.ask("/look/1");
		    return p.logged("shard is dispatched here again");
	    },
	    5000));
	p.expect_served(50);
}

/*
 * Where no box reaches the servers they are down: requests are refused, and
 * soon.
 */
TEST(Cutoff, WhereNoBoxReachesTheBackendServersRequestsAreRefusedSoon)
{
	Pair p("north");
	Counts here, there;

	p.paths.set("mode=cut");
	p.send_until_contact();
	p.send(50, here, there);
	EXPECT_EQ(50, here.refused) << here.other << " others";
	EXPECT_EQ(50, there.refused) << there.other << " others";
	EXPECT_LT(here.slowest_ms, 400);
	EXPECT_LT(there.slowest_ms, 400);
}

/*
 * Connections to the backend servers of a hall that were kept go on, and new
 * ones are refused.  Requests that must not repeat are sent on new ones, so
 * they are not served there, although load queries would be answered on kept
 * ones.
 */
TEST(Cutoff, WhereNewConnectionsAreRefusedAnotherHallServes)
{
	Pair p("south");
	int served = 0;

	p.configure("till");
	p.enter_proxy(1, "south");
	ASSERT_TRUE(until([&] {
		p.ask("/look/1");
		p.further.serves();
		return p.ran(0, 0) > 0 && p.ran(1, 1) > 0;
	}));
	p.paths.set(0, "mode=refuse_new");
	for (double end = now_ms() + CONTACT_MS; now_ms() < end; pump(5)) {
		p.ask("/look/1");
		p.ask("/buy/1", "POST");
	}
	for (int i = 0; i < 100; i++) {
		p.ask("/look/1");
		served += p.ask("/buy/1", "POST").status == 200;
		pump(5);
	}
	EXPECT_GE(served, 98);
}
