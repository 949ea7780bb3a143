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
/* Tests of configuration and membership under faults, with real processes. */
#include <algorithm>
#include <csignal>
#include <fstream>
#include <gtest/gtest.h>

#include "fleet.h"

namespace
{

FleetOptions
fleet(int boxes)
{
	FleetOptions o;

	o.boxes = boxes;
	o.halls = {"north", "south"};
	o.agent_settings = "hello_ms = 200\nlist_ms = 1000\n";
	o.backends.resize(2);
	o.backends[1].hall = "south";
	return o;
}

bool
up(Fleet &f)
{
	f.start();
	f.put("service/dir", R"({"select":"app=dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
	return f.wait_ready() && until([&] { return f.in_force(4); });
}

/*
 * Returns whether the box answers a request to path with 200, which shows
 * whether a rule for path is in force there.
 */
bool
serves(Fleet &f, size_t box, const std::string &path)
{
	return http("GET", f.boxes[box].listen, path).status == 200;
}

bool
all_serve(Fleet &f, const std::string &path, bool want = true)
{
	for (size_t i = 0; i < f.boxes.size(); i++)
		if (serves(f, i, path) != want)
			return false;
	return true;
}

} // namespace

TEST(Config, AChangeIsInForceOnAllBoxesWithinSeconds)
{
	Fleet f(fleet(4));

	ASSERT_TRUE(up(f));
	f.put("rule/new", R"({"path":"/new","service":"dir"})");
	double began = now_ms();
	ASSERT_TRUE(until([&] { return all_serve(f, "/new"); }));
	EXPECT_LT(now_ms() - began, 10000);
	f.remove("rule/new");
	EXPECT_TRUE(until([&] { return all_serve(f, "/new", false); }));
}

TEST(Config, AWatchThatSkipsOrRepeatsIsHealedByLists)
{
	Fleet f(fleet(3));

	ASSERT_TRUE(up(f));
	f.set_platform("skip=1");
	f.put("rule/new", R"({"path":"/new","service":"dir"})");
	EXPECT_TRUE(until([&] { return all_serve(f, "/new"); }));
	f.set_platform("skip=0&repeat=1");
	f.put("rule/two", R"({"path":"/two","service":"dir"})");
	EXPECT_TRUE(until([&] { return all_serve(f, "/two"); }));
	EXPECT_TRUE(all_serve(f, "/new"));
}

/* Its watchers and their gates are processes of their own. */
TEST(Config, AChangeIsInForceAfterARestoreOfThePlatform)
{
	Fleet f(fleet(4));
	double began;

	ASSERT_TRUE(up(f));
	f.set_platform("keep=1");
	f.put("rule/lost", R"({"path":"/lost","service":"dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir","rank":2})");
	ASSERT_TRUE(until([&] { return all_serve(f, "/lost"); }));
	f.set_platform("restore=1");
	/* Its revision was that of rule/lost. */
	f.put("rule/new", R"({"path":"/new","service":"dir"})");
	began = now_ms();
	EXPECT_TRUE(until([&] { return all_serve(f, "/new"); }, 2000));
	/* What was lost is kept for a time, to be written again. */
	while (now_ms() < began + 1500) {
		EXPECT_TRUE(all_serve(f, "/lost"));
		pump(100);
	}
	f.put("rule/lost", R"({"path":"/lost","service":"dir"})");
	while (now_ms() < began + 6000) {
		EXPECT_TRUE(all_serve(f, "/lost"));
		EXPECT_TRUE(all_serve(f, "/new"));
		pump(100);
	}
	f.remove("rule/new");
	EXPECT_TRUE(until([&] { return all_serve(f, "/new", false); }, 2000));
	EXPECT_TRUE(all_serve(f, "/lost"));
}

/* Nobody writes it again: what the platform stores is final. */
TEST(Config, WhatTheRestoredPlatformLostIsDroppedInTheEnd)
{
	Fleet f(fleet(3));

	ASSERT_TRUE(up(f));
	f.set_platform("keep=1");
	f.put("rule/lost", R"({"path":"/lost","service":"dir"})");
	f.remove("rule/dir");
	ASSERT_TRUE(until([&] { return all_serve(f, "/lost"); }));
	ASSERT_TRUE(until([&] { return all_serve(f, "/dir", false); }));
	f.set_platform("restore=1");
	pump(1000);
	EXPECT_TRUE(all_serve(f, "/lost"));
	EXPECT_TRUE(all_serve(f, "/dir", false));
	EXPECT_TRUE(until([&] { return all_serve(f, "/lost", false); }, 9000));
	EXPECT_TRUE(until([&] { return all_serve(f, "/dir"); }, 9000));
}

TEST(Config, ABoxStartsEmptyWhileThePlatformIsDown)
{
	Fleet f(fleet(3));

	ASSERT_TRUE(up(f));
	f.set_platform("mode=hang");
	f.stop_box_hard(1);
	f.start_box(1);
	ASSERT_TRUE(until([&] { return f.ready(1); }));
	EXPECT_TRUE(until([&] { return serves(f, 1, "/dir/x"); }));
	/* The box logs where it received the configuration from. */
	EXPECT_TRUE(until([&] {
		return f.boxes[1].agent_process.read_log().find(
			   "key=service/dir version=1000000000003 from=" +
			   f.ip(10)) != std::string::npos ||
		    f.boxes[1].agent_process.read_log().find(
			"key=service/dir version=1000000000003 from=" +
			f.ip(12)) != std::string::npos;
	}));
}

TEST(Config, ABoxWithoutPlatformAndPeersIsNotReady)
{
	FleetOptions o = fleet(1);
	Fleet f(o);

	f.start();
	f.set_platform("mode=down");
	f.stop_box_hard(0);
	f.start_box(0);
	ASSERT_TRUE(until([&] {
		return f.boxes[0].agent_process.read_log().find(
			   "msg=\"platform does not answer\"") !=
		    std::string::npos;
	}));
	EXPECT_FALSE(f.ready(0));
	Reply r = http("GET", f.boxes[0].listen, "/dir/x");
	EXPECT_EQ(503, r.status);
	EXPECT_EQ("not-ready", r.header("fern-error"));
	f.set_platform("mode=up");
	EXPECT_TRUE(until([&] { return f.ready(0); }));
}

TEST(Config, AnObjectThatIsNotValidIsRejectedAndTold)
{
	Fleet f(fleet(2));
	std::string out;

	ASSERT_TRUE(up(f));
	/* Written directly to the platform, without the checks of fernctl. */
	f.put("service/dir", R"({"select":"app=dir","deadline":5})");
	EXPECT_TRUE(until([&] {
		f.ctl({"status"}, &out);
		return out.find("rejected: service/dir version") !=
		    std::string::npos &&
		    out.find("the nearest known name is deadline_ms") !=
		    std::string::npos;
	}));
	EXPECT_TRUE(all_serve(f, "/dir/x"));
	f.put("service/dir", R"({"select":"app=dir","deadline_ms":500})");
	EXPECT_TRUE(until([&] {
		f.ctl({"status"}, &out);
		return out.find("rejected") == std::string::npos;
	}));
}

TEST(Config, OfTwoOperatorsThatRaceOneIsTold)
{
	Fleet f(fleet(1));

	ASSERT_TRUE(up(f));
	/*
	 * Both writers read the same version, as the platform responds slowly.
	 */
	f.set_platform("slow_ms=200");
	Process a, b;
	std::string outs[2] = {f.dir + "/ctl.out", f.dir + "/ctl.log"};
	Process *both[2] = {&a, &b};
	const char *names[2] = {"who=a", "who=b"};
	const char *dir = getenv("FERN_ROOT");

	for (int i = 0; i < 2; i++) {
		both[i]->argv = {std::string(dir ? dir : ".") + "/fernctl",
		    "--platform", f.platform_address, "label", "b0", names[i]};
		both[i]->log = outs[i];
		both[i]->start();
	}
	int ea = a.wait_exit(), eb = b.wait_exit();
	EXPECT_EQ(6, std::max(ea, eb));
	EXPECT_EQ(0, std::min(ea, eb));
	std::string told = (ea == 6 ? a : b).read_log();
	EXPECT_NE(std::string::npos,
	    told.find("another change came first: yours was based on version"))
	    << told;
}

TEST(Config, AWriteWhoseAnswerIsLostIsReadBack)
{
	Fleet f(fleet(1));
	std::string out;

	ASSERT_TRUE(up(f));
	f.set_platform("mode=lost");
	EXPECT_EQ(0, f.ctl({"label", "b0", "seen=yes"}, &out)) << out;
	f.set_platform("mode=up");
	EXPECT_EQ(0, f.ctl({"get", "backend/b0"}, &out));
	EXPECT_NE(std::string::npos, out.find("seen"));
}

/*
 * The platform is restored between the read and the write of an edit.  The
 * version that was read is of an earlier epoch, but the object is the same.
 */
TEST(Config, AnEditGoesOnAfterARestore)
{
	Fleet f(fleet(1));
	std::string out;

	ASSERT_TRUE(up(f));
	f.set_platform("keep=1");
	f.set_platform("restore_at_write=1");
	EXPECT_EQ(0, f.ctl({"label", "b0", "seen=yes"}, &out)) << out;
	EXPECT_EQ(0, f.ctl({"get", "backend/b0"}, &out));
	EXPECT_NE(std::string::npos, out.find("seen"));
}

TEST(Config, ADeletionThatRacesAnUpdateEndsTheSameEverywhere)
{
	Fleet f(fleet(3));

	ASSERT_TRUE(up(f));
	for (int i = 0; i < 5; i++) {
		f.put("rule/x", R"({"path":"/x","service":"dir"})");
		f.remove("rule/x");
	}
	f.put("rule/x", R"({"path":"/x","service":"dir"})");
	EXPECT_TRUE(until([&] { return all_serve(f, "/x"); }));
	f.remove("rule/x");
	EXPECT_TRUE(until([&] { return all_serve(f, "/x", false); }));
}

TEST(Config, AnAgentThatWasPausedBringsNothingBack)
{
	FleetOptions o = fleet(3);

	/*
	 * Lists are far apart, so that only other boxes could report a change.
	 */
	Fleet f(o);
	ASSERT_TRUE(up(f));
	f.put("rule/x", R"({"path":"/x","service":"dir"})");
	ASSERT_TRUE(until([&] { return all_serve(f, "/x"); }));
	f.boxes[1].agent_process.signal(SIGSTOP);
	f.remove("rule/x");
	ASSERT_TRUE(
	    until([&] { return !serves(f, 0, "/x") && !serves(f, 2, "/x"); }));
	/*
	 * Longer than the gap after which an agent assumes that it was paused.
	 */
	pump(3000);
	f.boxes[1].agent_process.signal(SIGCONT);
	ASSERT_TRUE(until([&] {
		return f.boxes[1].agent_process.read_log().find(
			   "msg=\"was paused, looks anew\" gap_ms=") !=
		    std::string::npos;
	}));
	EXPECT_TRUE(until([&] { return !serves(f, 1, "/x"); }));
	for (int i = 0; i < 20; i++) {
		pump(50);
		ASSERT_TRUE(all_serve(f, "/x", false));
	}
}

TEST(Config, AnOutageCostsFewCallsAndIsFollowedByNoStampede)
{
	Fleet f(fleet(6));

	ASSERT_TRUE(up(f));
	pump(1000);
	f.set_platform("mode=down");
	long before = f.platform_count("reads");
	double began = now_ms();
	pump(6000);
	double seconds = (now_ms() - began) / 1000;
	long during = f.platform_count("reads") - before;
	/* Six boxes, four of them watchers; backoff limits their calls. */
	EXPECT_LT(during / seconds, 6 * 3.0);
	f.set_platform("mode=up");
	before = f.platform_count("reads") + f.platform_count("writes");
	pump(2000);
	long after =
	    f.platform_count("reads") + f.platform_count("writes") - before;
	EXPECT_LT(after, 6 * 5 * 2);
	EXPECT_TRUE(all_serve(f, "/dir/x"));
}

TEST(Measuring, ProbesDoNotGrowWithBoxesOrTraffic)
{
	FleetOptions o = fleet(4);

	o.backends.resize(6);
	Fleet f(o);
	f.start();
	f.put("service/dir", R"({"select":"app=dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
	ASSERT_TRUE(f.wait_ready());
	ASSERT_TRUE(until([&] { return f.in_force(8); }));
	auto probes = [&] {
		long n = 0;

		for (auto &b : f.backends)
			n += b->count("probes");
		return n;
	};
	Stream s;
	s.rate = 40;
	Load load({f.boxes[0].listen, f.boxes[1].listen}, {s}, 3);
	load.start();
	long before = probes();
	double began = now_ms();
	pump(4000);
	double calm =
	    static_cast<double>(probes() - before) / (now_ms() - began) * 1000;
	load.rate(0, 400);
	before = probes();
	began = now_ms();
	pump(4000);
	double surge =
	    static_cast<double>(probes() - before) / (now_ms() - began) * 1000;
	load.stop();
	EXPECT_TRUE(until([&] { return load.drained(); }));
	/*
	 * One a second for each of six servers, whatever the traffic and the
	 * number of boxes.
	 */
	EXPECT_LT(calm, 9);
	EXPECT_LT(surge, 9);
	EXPECT_GT(surge, 3);
}

/*
 * A gate that starts to serve learns which other gates serve without waiting
 * for the next announcements.
 */
TEST(Config, GatesKnowWhoServesBeforeTheNextHello)
{
	FleetOptions o = fleet(4);

	o.agent_settings = "hello_ms = 2000\nlist_ms = 1000\n";
	Fleet f(o);

	f.start();
	ASSERT_TRUE(until([&] {
		for (size_t i = 0; i < f.boxes.size(); i++)
			if (!f.ready(i))
				return false;
		return true;
	}));
	EXPECT_TRUE(f.wait_ready(600));
}
