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
#include <fstream>
#include <csignal>
#include <sys/wait.h>

#include <gtest/gtest.h>
#include <unistd.h>

#include "box.h"

extern "C" {
#include "err.h"
}

using box::replaced;
using box::settings;
using box::World;

TEST(Box, ServesByTheConfigurationInTheStore)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	Reply r = w.ask("/look/1");
	EXPECT_EQ(200, r.status);
	EXPECT_EQ("the answer", r.body);
	EXPECT_NE("", r.header("fernjunction-response-signature"));
	EXPECT_EQ(200, w.ask("/buy/1", "POST").status);
	EXPECT_EQ(404, w.ask("/nothing/1").status);
	EXPECT_EQ(2u, w.ran(0, 1));
	EXPECT_EQ(0u, w.ran(2, 3));
	/* Changes to another service, within the time allowed for a change. */
	w.configure("shelf");
	EXPECT_TRUE(until(
	    [&] {
		    w.ask("/look/2");
		    return w.ran(2, 3) > 0;
	    },
	    2000));
}

/* A box that cannot listen exits and logs the address and its setting. */
TEST(Box, AnAddressThatIsTakenIsNamedWithItsSetting)
{
	struct {
		const char *port, *setting;
	} cases[] = {{"8080", "listen"}, {"8180", "pass_listen"},
	    {"8280", "admin_listen"}, {"8380", "inbox"}, {"8480", "inbox"}};

	for (auto &c : cases) {
		box::Taken taken(net::own_ip(), c.port);
		World w(true, "", "", "", taken.ip);

		EXPECT_EQ(err_lookup(ERR_SYSTEM)->exit_code, w.box.wait_exit())
		    << c.port;
		EXPECT_TRUE(w.logged("fernbox: " + std::string(c.setting) +
		    ": " + taken.ip + ":" + c.port))
		    << w.box.read_log();
	}
}

/*
 * A box that was killed within its start, while others send it what they know,
 * was not back in one run of a soak.
 */
TEST(Box, ABoxThatIsKilledAtAnyMomentStartsAgain)
{
	const std::string set = "boxes_ms = 15000\nstatus_by = \"hubs\"\n";
	World w(true, "", "", set);
	box::Further second(w, "b2", "north", "7", set),
	    third(w, "b3", "south", "6", set);
	std::vector<Process *> boxes = {&w.box, &second.box, &third.box};
	uint64_t seed = 126;

	second.box.start();
	third.box.start();
	ASSERT_TRUE(until([&] { return w.knows(3); }, 10000));
	for (int i = 0; i < 60; i++) {
		Process &p = *boxes[rnd_splitmix64(&seed) % 3];
		int signo = rnd_splitmix64(&seed) % 3 == 0 ? SIGTERM : SIGKILL;

		p.signal(signo);
		pump(static_cast<int>(rnd_splitmix64(&seed) % 60));
		p.kill9();
		p.start();
		pump(static_cast<int>(rnd_splitmix64(&seed) % 60));
		for (Process *b : boxes)
			ASSERT_EQ(0, waitpid(b->pid, nullptr, WNOHANG))
			    << i << b->read_log();
	}
	EXPECT_TRUE(until([&] { return w.ready() && w.knows(3); }, 10000));
	EXPECT_TRUE(
	    until([&] { return second.serves() && third.serves(); }, 10000));
}

/* What led to the end of a process was lost with its buffer. */
TEST(Box, AFatalSignalEndsTheLogWithItsName)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	EXPECT_EQ(200, w.ask("/look/last").status);
	w.box.signal(SIGSEGV);
	EXPECT_EQ(128 + SIGSEGV, w.box.wait_exit());
	/* Logged before the request was sent, so before its answer came. */
	EXPECT_TRUE(w.logged("msg=\"sent\""));
	EXPECT_TRUE(w.logged("ended by a fatal signal\" signal=11"));
}

TEST(Box, WhatACallerMaySendIsBounded)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	EXPECT_EQ(200, w.ask("/buy/1", "POST").status);
	w.configure("till", R"({"resourceType":"limits","metadata":{},
	    "spec":{"maxBodyBytes":3,"idleTimeout":"15s"}},)");
	EXPECT_TRUE(
	    until([&] { return w.ask("/buy/1", "POST").status == 413; }));
}

/* Requests that arrive before the first configuration wait for it. */
TEST(Box, EarlyRequestsWaitForTheFirstConfiguration)
{
	World w(false);

	ASSERT_TRUE(
	    until([&] { return w.logged("part=gate msg=\"started\""); }));
	EXPECT_FALSE(w.ready());
	/*
	 * No configuration arrives, so the request is refused as not run (503)
	 * rather than with the answer for an unknown route.
	 */
	EXPECT_EQ(503, w.ask("/look/1").status);
	w.configure("till");
	EXPECT_TRUE(until([&] { return w.ask("/look/1").status == 200; }));
}

/*
 * A request that is held until the configuration arrives gets exactly one
 * response although its client disconnects: h2o aborts the process when a
 * request is answered twice.
 */
TEST(Box, AnEarlyRequestWhoseCallerGoesAwayIsForgotten)
{
	World w(false);

	ASSERT_TRUE(
	    until([&] { return w.logged("part=gate msg=\"started\""); }));
	/* The client's timeout is shorter than the gate's. */
	http("GET", w.ip + ":8080", "/look/1", {{"Host", "shop.example"}}, "",
	    300);
	EXPECT_TRUE(until([&] { return w.logged("why=gone"); }));
	w.configure("till");
	EXPECT_TRUE(until([&] { return w.ready(); }));
	EXPECT_TRUE(w.box.running());
	EXPECT_EQ(200, w.ask("/look/1").status);
}

/* A backend server that is draining gets no new requests. */
TEST(Box, ADrainedBackendServerGetsNothingNew)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.enter(0, "draining");
	ASSERT_TRUE(until(
	    [&] { return w.logged("key=backend/i-0 " + box::version_at(7)); }));
	size_t before = w.ran(0, 0);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, w.ask("/look/1").status);
	EXPECT_EQ(before, w.ran(0, 0));
}

/*
 * A queued request that moved to a hall without a shard added one while the
 * shards were walked, and those behind it kept their servers until the next
 * change.  Which shard comes first depends on the names of services.
 */
TEST(Box, ARequestThatMovesToANewHallDelaysNoOtherShard)
{
	for (int moved : {0, 2}) {
		World w;
		int drained = 2 - moved, answered = 0;
		std::string service = moved == 0 ? "till" : "shelf";
		std::string other = moved == 0 ? "shelf" : "till";

		w.target = "3000ms";
		w.timeout = "4000ms";
		w.configure(service,
		    R"({"resourceType":"routes","metadata":{"name":"other"},
			"spec":{"host":"shop.example","pathPrefix":"/other/",
			"routeType":"safe","timeout":"900ms",
			"targetLatency":"300ms","priority":1,"maxAttempts":2,
			"service":")" +
			other + "\"}},");
		ASSERT_TRUE(until([&] {
			return w.ask("/other/1").status == 200 &&
			    w.ask("/look/1").status == 200;
		}));
		for (int i = 0; i < 9; i++)
			http_start("GET", w.ip + ":8080", "/look/x?ms=600",
			    {{"Host", "shop.example"},
				{"fernjunction-request-id",
				    "q" + std::to_string(i)},
				{"fernjunction-deadline-ms", "4000"}},
			    "", 5000, [&answered](const Reply &r) {
				    answered += r.status == 200;
			    });
		pump(150);
		std::string key = "backend/i-" + std::to_string(drained);
		size_t versions = w.in_force(key);
		w.enter(moved, "ready", "south");
		w.enter(moved + 1, "ready", "south");
		w.enter(drained, "draining");
		ASSERT_TRUE(
		    until([&] { return w.in_force(key) > versions; }, 2000));
		pump(300);
		size_t before = w.ran(drained, drained);
		for (int i = 0; i < 12; i++)
			EXPECT_EQ(200, w.ask("/other/2").status);
		EXPECT_EQ(before, w.ran(drained, drained)) << service;
		EXPECT_TRUE(until([&] { return answered == 9; }, 5000))
		    << answered;
	}
}

/* The deletion of an entry is held for a second, in case it comes back. */
TEST(Box, ALapsedEntryThatComesBackIsNotMissed)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	/* Put back within the second for which a deletion is held. */
	w.platform.remove("servers", "i-0");
	pump(100);
	w.enter(0, "ready");
	ASSERT_TRUE(until([&] { return w.logged("deletion is held"); }));
	ASSERT_TRUE(until([&] { return w.logged("lapsed entry came back"); }));
	EXPECT_FALSE(w.logged("deletion is in force"));
	/* An entry that stays away is deleted. */
	w.platform.remove("servers", "i-1");
	EXPECT_TRUE(
	    until([&] { return w.logged("lapsed entry is gone"); }, 3000));
	/* Requests follow the deletion once the gate has rebuilt its routes. */
	EXPECT_TRUE(until([&] { return w.logged("deletion is in force"); }));
	size_t before = w.ran(1, 1);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, w.ask("/look/1").status);
	EXPECT_EQ(before, w.ran(1, 1));
}

/* A request that may have run is not answered as refused, and not repeated. */
TEST(Box, WhatMayHaveRunIsNeverRefused)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.platform.set("i-0", 100, false, true);
	w.platform.set("i-1", 100, false, true);
	Reply r = w.ask("/buy/1", "POST");
	EXPECT_EQ(502, r.status);
	EXPECT_EQ(1u, w.ran(0, 1));
	/* Nothing was run, so the request is refused with a Retry-After. */
	w.platform.set("i-0", 100, true, false);
	w.platform.set("i-1", 100, true, false);
	r = w.ask("/buy/1", "POST");
	EXPECT_EQ(503, r.status);
	EXPECT_NE("", r.header("retry-after"));
	EXPECT_EQ(1u, w.ran(0, 1));
}

namespace
{

/* An entry of i-2, which is not a backend server of this service. */
std::string
foreign(const World &w, const std::string &what, const std::string &with)
{
	std::string entry = "{\"service\":\"till\",\"addr\":\"" + w.ip +
	    ":9102\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":3,"
	    "\"state\":\"ready\",\"seq\":4}";

	return replaced(entry, what, with);
}

} // namespace

/*
 * Other programs may write to the same table: fields may be missing or of
 * another type, and a state may be unknown. Such an entry defines no backend
 * server. All other entries stay in force, also those on later pages.
 */
TEST(Box, AnEntryOfAnotherWriterNamesNoBackendServer)
{
	World w(false);
	const std::string bad[] = {"{}", "[]", "7", "\"text\"", "null",
	    foreign(w, "\"ready\"", "\"resting\""),
	    foreign(w, "\"ready\"", "true"), foreign(w, "\"state\"", "\"s\""),
	    foreign(w, "\"slots\":3", "\"slots\":\"3\""),
	    foreign(w, "\"slots\":3", "\"slots\":-1"),
	    foreign(w, "\"slots\":3,", ""), foreign(w, "\"addr\"", "\"a\""),
	    foreign(w, w.ip + ":9102", "nowhere"),
	    foreign(w, "\"zone\":\"north\"", "\"zone\":5"),
	    foreign(w, "\"service\":\"till\"", "\"service\":[\"till\"]")};
	int n = 0;

	/* Their names sort before, between and after the valid entries. */
	for (const std::string &spec : bad)
		for (const char *name : {"a-", "i-1x", "z-"})
			w.platform.put(
			    "servers", name + std::to_string(n++), spec);
	w.configure("till");
	ASSERT_TRUE(until([&] { return w.ready(); }));
	for (int i = 0; i < 40; i++)
		EXPECT_EQ(200, w.ask("/look/1").status);
	EXPECT_EQ(40u, w.ran(0, 1));
	/*
	 * A valid entry that becomes invalid is treated as deleted, and later
	 * changes are still applied.
	 */
	w.platform.put(
	    "servers", "i-0", foreign(w, "\"ready\"", "\"resting\""));
	ASSERT_TRUE(until(
	    [&] { return w.logged("deletion is in force\" key=backend/i-0"); },
	    3000));
	size_t before = w.ran(0, 0), other = w.ran(1, 1);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, w.ask("/look/1").status);
	EXPECT_EQ(before, w.ran(0, 0));
	EXPECT_EQ(other + 20, w.ran(1, 1));
	/* The first entry becomes valid again, the other one invalid. */
	w.enter(0, "ready");
	w.platform.put("servers", "i-1", "{}");
	EXPECT_TRUE(until([&] {
		w.ask("/look/1");
		return w.ran(0, 0) > before;
	}));
}

TEST(Box, AnAddressThatBelongsToAnotherIsLeft)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	/* The entry of i-0 has the address of i-2, which answers 421. */
	w.platform.put("servers", "i-0",
	    "{\"service\":\"till\",\"addr\":\"" + w.ip +
		":9102\",\"zone\":\"north\",\"slots\":3,\"state\":\"ready\"}");
	ASSERT_TRUE(until(
	    [&] { return w.logged("key=backend/i-0 " + box::version_at(7)); }));
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, w.ask("/buy/1", "POST").status);
	EXPECT_EQ(0u, w.ran(2, 2));
}

TEST(Box, AConfigurationThatIsNotValidLeavesTheLastGoodOne)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.platform.put("config", "main",
	    R"({"version":"r9","resources":[{"resourceType":"routes",
		"metadata":{"name":"bad"},"spec":{"host":"h",
		"pathPrefix":"/"}}]})");
	EXPECT_TRUE(until([&] { return w.logged("object is rejected"); }));
	EXPECT_TRUE(
	    w.logged("rule bad: must have either a service or a split"));
	EXPECT_EQ(200, w.ask("/look/1").status);
}

TEST(Box, AnOutageAndALostHistoryAreHealed)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.platform.answer_all(503);
	w.platform.compact();
	ASSERT_TRUE(
	    until([&] { return w.logged("platform does not answer"); }));
	EXPECT_EQ(200, w.ask("/look/1").status);
	w.configure("shelf");
	w.platform.answer_all(0);
	EXPECT_TRUE(until(
	    [&] {
		    w.ask("/look/2");
		    return w.ran(2, 3) > 0;
	    },
	    4000));
	EXPECT_TRUE(until([&] { return w.logged("platform answers again"); }));
}

/*
 * The first list is a cheap read that may be stale. The watch continues from
 * its version and must deliver the changes that the list missed.
 */
TEST(Box, AStaleFirstListIsCaughtUp)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.platform.keep_stale();
	w.box.kill9();
	w.configure("shelf");
	w.enter(2, "draining");
	w.box.start();
	ASSERT_TRUE(until([&] { return w.ready(); }));
	/* Rules and backend servers are brought up to date independently. */
	EXPECT_TRUE(until(
	    [&] {
		    w.ask("/look/1");
		    return w.ran(3, 3) > 0 && w.in_force("backend/i-2") > 1;
	    },
	    2000));
	size_t before = w.ran(0, 2);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(200, w.ask("/look/1").status);
	EXPECT_EQ(before, w.ran(0, 2));
}

/*
 * A list request that the platform never answers must not delay the next one
 * for long.
 */
TEST(Box, ACallThatIsNeverAnsweredIsGivenUpSoon)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.box.kill9();
	w.platform.hang(true);
	w.box.start();
	ASSERT_TRUE(until([&] { return w.platform.hung() >= 2; }));
	w.platform.hang(false);
	EXPECT_TRUE(until([&] { return w.ready(); }, 3500));
}

/* A successful call while the platform works must not restart other calls. */
TEST(Box, ACalmPlatformIsAskedSeldom)
{
	/* The platform holds rules and backend servers and no other kinds. */
	World w(true, "", "", "contracts = \"base\"\n");

	ASSERT_TRUE(until([&] { return w.ready(); }));
	pump(1500);
	size_t before = w.platform.calls(), looks = w.platform.looks();
	pump(4500);
	/* Two or three reads of the list of boxes; watches last 20 s. */
	EXPECT_LE(w.platform.calls() - before, 4u);
	EXPECT_GE(w.platform.calls() - before, 1u);
	/*
	 * One poll a second, with a jitter of a quarter, on one or two feeds.
	 */
	EXPECT_LE(w.platform.looks() - looks, 9u);
	EXPECT_GE(w.platform.looks() - looks, 3u);
}

/*
 * Each call to the platform has a cost. While it is unreachable, a single feed
 * retries to find out whether it is back.
 */
TEST(Box, OneFeedAsksWhileThePlatformIsAway)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.platform.answer_all(503);
	w.platform.compact();
	ASSERT_TRUE(
	    until([&] { return w.logged("platform does not answer"); }));
	pump(1000);
	size_t before = w.platform.calls();
	pump(3000);
	/*
	 * One call every 300 ms, with a jitter of a quarter, and a few others
	 * for calls that ended otherwise.
	 */
	EXPECT_LE(w.platform.calls() - before, 16u);
	EXPECT_GE(w.platform.calls() - before, 6u);
	w.configure("shelf");
	w.enter(0, "draining");
	w.platform.answer_all(0);
	EXPECT_TRUE(until(
	    [&] {
		    return w.logged("key=bundle/main " + box::version_at(7)) ||
			w.logged("platform answers again");
	    },
	    2000));
}

/*
 * A watch connection that is cut does not show that the platform is
 * unreachable, so the watch is renewed without backoff.
 */
TEST(Box, AWatchThatIsCutIsRenewedAtOnce)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	/* The watch is established by now. */
	w.configure("shelf");
	ASSERT_TRUE(until(
	    [&] {
		    w.ask("/look/1");
		    return w.ran(2, 3) > 0;
	    },
	    3000));
	pump(200);
	w.platform.cut_watches();
	w.configure("till");
	size_t before = w.ran(0, 1);
	EXPECT_TRUE(until(
	    [&] {
		    w.ask("/look/2");
		    return w.ran(0, 1) > before;
	    },
	    2000));
	EXPECT_FALSE(w.logged("platform does not answer"));
}

TEST(Box, SettingsAreReadAnewOnSighup)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.write_settings("# changed\n");
	w.box.signal(SIGHUP);
	EXPECT_TRUE(until([&] { return w.logged("settings are read anew"); }));
	w.write_settings("[gate\n");
	w.box.signal(SIGHUP);
	EXPECT_TRUE(until([&] { return w.logged("settings are kept"); }));
	EXPECT_TRUE(w.box.running());
	EXPECT_EQ(200, w.ask("/look/1").status);
}

TEST(Box, APlannedStopEndsInTime)
{
	World w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.box.signal(SIGTERM);
	EXPECT_TRUE(until([&] { return !w.ready(); }, 2000));
	EXPECT_EQ(0, w.box.wait_exit(5000));
	EXPECT_TRUE(w.logged(" requests_cut=0\n"));
}

/*
 * On a planned stop each earlier request gets a response, even if it is an
 * error.
 */
TEST(Box, NobodyIsLeftWithoutAnAnswerAtAPlannedStop)
{
	World w(true, "grace_ms = 500\n");
	std::vector<Reply> replies;
	const int SLOTS = 6, ALL = SLOTS + 2;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.platform.hold("i-0");
	w.platform.hold("i-1");
	for (int i = 0; i < ALL; i++)
		http_start("GET", w.ip + ":8080", "/look/1",
		    {{"Host", "shop.example"},
			{"fernjunction-request-id", "h" + std::to_string(i)}},
		    "", 5000, [&](const Reply &r) { replies.push_back(r); });
	ASSERT_TRUE(until([&] { return w.ran(0, 1) > 0; }));
	pump(100);
	w.box.signal(SIGTERM);
	EXPECT_EQ(0, w.box.wait_exit(5000));
	ASSERT_TRUE(until([&] { return replies.size() == ALL; }, 2000));
	for (const Reply &r : replies)
		EXPECT_GE(r.status, 500);
}

/*
 * The platform reports how long a box may take to stop. A request that runs on
 * a backend server is not given up until that time is nearly over, whatever the
 * setting for platforms that report no such time.
 */
TEST(Box, APlannedStopLastsAsLongAsThePlatformAllows)
{
	World w(true, "grace_ms = 100\n", "\"grace\":\"3s\",");
	Reply got;
	bool answered = false;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.platform.hold("i-0");
	w.platform.hold("i-1");
	http_start("GET", w.ip + ":8080", "/look/1",
	    {{"Host", "shop.example"}, {"fernjunction-request-id", "long"}}, "",
	    5000, [&](const Reply &r) {
		    got = r;
		    answered = true;
	    });
	ASSERT_TRUE(until([&] { return w.ran(0, 1) > 0; }));
	w.box.signal(SIGTERM);
	/* The rule of this request allows 900 ms. */
	pump(600);
	EXPECT_FALSE(answered);
	EXPECT_EQ(0, w.box.wait_exit(5000));
	ASSERT_TRUE(until([&] { return answered; }, 2000));
	EXPECT_FALSE(w.logged("why=leaving"));
}

namespace
{

/* A strong box, and a weak box in the same hall that receives the requests. */
struct Pair : World {
	std::string weak_file;
	Process weak;

	explicit Pair(const std::string &bounds = "")
	    : World(true, "power = 0.5\n", bounds, "power = 0.5\n")
	{
		const char *root = getenv("FERN_ROOT");
		std::string text =
		    replaced(settings, "@root", root != nullptr ? root : ".");

		weak_file = dir + "/weak.toml";
		text = replaced(text, "@bounds", "");
		text = replaced(text, "\"@:8", "\"@:7");
		text = replaced(text, "\"b1\"", "\"b2\"");
		text = replaced(text, "[agent]", "power = 0.1\n[agent]");
		text += "power = 0.1\n";
		std::ofstream(weak_file) << replaced(text, "@", ip);
		weak.argv = {
		    std::string(root ? root : ".") + "/fernbox", weak_file};
		weak.log = dir + "/weak.log";
	}

	~Pair()
	{
		weak.kill9();
		unlink(weak.log.c_str());
		unlink(weak_file.c_str());
	}

	bool weak_ready()
	{
		return http("GET", ip + ":7280", "/ready", {}, "", 500)
			   .status == 200;
	}

	bool weak_logged(const std::string &text)
	{
		return weak.read_log().find(text) != std::string::npos;
	}

	Reply ask_weak(const std::string &path)
	{
		static int n;

		return http("GET", ip + ":7080", path,
		    {{"Host", "shop.example"},
			{"fernjunction-request-id",
			    "weak" + std::to_string(++n)},
			{"fernjunction-deadline-ms", "800"}});
	}
};

} // namespace

/*
 * A box that forwarded a request waits for its answer, and needs no last word
 * of the owner: this exits as late as the platform allows.
 */
TEST(Box, AForwardedRequestIsFinishedUntilTheEndOfItsOwnersGrace)
{
	Pair w("\"grace\":\"6s\",");
	Reply got;
	bool answered = false;

	w.timeout = "8s";
	w.configure("till");
	w.weak.start();
	ASSERT_TRUE(until([&] { return w.ready() && w.weak_ready(); }));
	ASSERT_TRUE(until([&] { return w.ask_weak("/look/1").status == 200; }));
	/* Ends 5.65 s after the signal; nine tenths of the grace are 5.4 s. */
	http_start("POST", w.ip + ":7080", "/buy/1?ms=5750",
	    {{"Host", "shop.example"}, {"fernjunction-request-id", "long"},
		{"fernjunction-deadline-ms", "8000"}},
	    "body", 10000, [&](const Reply &r) {
		    got = r;
		    answered = true;
	    });
	pump(100);
	w.box.signal(SIGTERM);
	ASSERT_TRUE(until([&] { return answered; }));
	EXPECT_EQ(200, got.status) << got.body;
}

/*
 * A weak box needs the rules to forward requests to owners, but no backend
 * servers.
 */
TEST(Box, AWeakBoxHoldsRulesAndPassesRequestsOn)
{
	Pair p;

	/*
	 * The strong box must be on the platform's list, where other boxes find
	 * it.
	 */
	ASSERT_TRUE(until([&] { return p.ready() && p.has("boxes", "b1"); }));
	p.weak.start();
	/*
	 * The first request waits until the weak box knows the owners, and is
	 * served.
	 */
	Reply first;
	ASSERT_TRUE(until([&] {
		first = p.ask_weak("/look/1");
		return first.status != 0;
	}));
	EXPECT_EQ(200, first.status);
	EXPECT_TRUE(until([&] {
		return p.weak_logged("configuration scope is set\" backends=0");
	}));
	EXPECT_FALSE(p.weak_logged("key=backend/"));
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, p.ask_weak("/look/1").status);
	EXPECT_EQ(21u, p.ran(0, 1));
	EXPECT_FALSE(p.weak_logged("msg=\"sent\""));
	/*
	 * The weak box receives a change of rules but not one of backend
	 * servers.
	 */
	p.enter(1, "draining");
	p.configure("shelf");
	EXPECT_TRUE(until(
	    [&] {
		    p.ask_weak("/look/2");
		    return p.ran(2, 3) > 0;
	    },
	    2500));
	EXPECT_FALSE(p.weak_logged("key=backend/"));
}

/*
 * A box that does not yet know what it has to hold receives configuration from
 * other boxes. It must accept no backend servers then, as it would keep the few
 * that it received.
 */
TEST(Box, AWeakBoxTakesNoBackendServersBeforeItKnowsItsScope)
{
	Pair p;
	std::ifstream in(p.weak_file);
	std::string text{std::istreambuf_iterator<char>(in), {}};

	text = replaced(text, "seeds = []", "seeds = [\"" + p.ip + ":8480\"]");
	std::ofstream(p.weak_file) << text;
	ASSERT_TRUE(until([&] { return p.ready() && p.has("boxes", "b1"); }));
	/*
	 * Without the list the weak box cannot know that there is a stronger
	 * one.
	 */
	p.platform.hang(true);
	p.weak.start();
	ASSERT_TRUE(until(
	    [&] {
		    return p.weak_logged(
			"configuration scope is set\" backends=0");
	    },
	    8000));
	EXPECT_FALSE(p.weak_logged("key=backend/"));
	p.enter(1, "draining");
	EXPECT_EQ(200, p.ask_weak("/look/1").status);
	p.platform.hang(false);
}

/* When the owner is gone, a weak box refuses a request as not run. */
TEST(Box, AWeakBoxWhoseHomeIsGoneRefusesAsNotRun)
{
	Pair p;

	ASSERT_TRUE(until([&] { return p.ready() && p.has("boxes", "b1"); }));
	p.weak.start();
	ASSERT_TRUE(until([&] { return p.weak_ready(); }));
	ASSERT_EQ(200, p.ask_weak("/look/1").status);
	p.box.kill9();
	Reply r = p.ask_weak("/look/1");
	EXPECT_EQ(503, r.status);
	EXPECT_NE("", r.header("retry-after"));
	/* The owner is back and has just started; requests are served again. */
	p.box.start();
	EXPECT_TRUE(
	    until([&] { return p.ask_weak("/look/1").status == 200; }, 4000));
}

/*
 * In a large fleet each box sees only about a dozen requests of a kind a
 * minute. A client that retries after a refusal is still recognised by the
 * owner, which receives the requests of all boxes.
 */
TEST(Box, WhoCameBackIsKnownToTheHomeOfManyBoxes)
{
	box::World w;
	box::Further second(w, "b2", "north", "7");

	ASSERT_TRUE(until([&] { return w.ready(); }));
	second.box.start();
	ASSERT_TRUE(until([&] { return second.serves(); }, 10000));
	ASSERT_TRUE(until([&] { return w.knows(2); }, 5000));
	for (int i = 0; i < 30; i++)
		ASSERT_EQ(200, w.ask("/look/1").status);
	ASSERT_EQ(200,
	    http("GET", second.address, "/look/1",
		{{"Host", "shop.example"}, {"fernjunction-request-id", "back"},
		    {"fernjunction-deadline-ms", "700"}},
		"", 2000)
		.status);
	EXPECT_TRUE(until(
	    [&] {
		    return (w.box.read_log() + second.box.read_log())
			       .find("waited_ms=100 ") != std::string::npos;
	    },
	    2000))
	    << w.box.read_log() << second.box.read_log();
}

/*
 * A retry whose deadline is only a third of the first one is still recognised
 * as a retry of the refused request.
 */
TEST(Box, WhoWasRefusedIsKnownAgainWhateverItsDeadline)
{
	box::World w;
	auto ask = [&](const char *id, const char *left) {
		return http("GET", w.ip + ":8080", "/look/7",
		    {{"Host", "shop.example"}, {"fernjunction-request-id", id},
			{"fernjunction-deadline-ms", left}},
		    "", 2000)
		    .status;
	};

	ASSERT_TRUE(until([&] { return w.ready(); }));
	for (int i = 0; i < 30; i++)
		ASSERT_EQ(200, w.ask("/look/1").status);
	for (int i : {0, 1})
		w.platform.set("i-" + std::to_string(i), 100, true, false);
	ASSERT_EQ(503, ask("first", "800"));
	for (int i : {0, 1})
		w.platform.set("i-" + std::to_string(i), 100, false, false);
	ASSERT_EQ(200, ask("second", "260"));
	ASSERT_TRUE(
	    until([&] { return w.logged("msg=\"sent\" id=second"); }, 2000));
	std::string log = w.box.read_log();
	size_t at = log.find("msg=\"sent\" id=second");
	long waited = atol(log.c_str() + log.find("waited_ms=", at) + 10);
	EXPECT_LE(1, waited);
	EXPECT_GT(300, waited);
}
