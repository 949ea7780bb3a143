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

/* Tests of roll-outs with a real box and the platform's stand-in. */

namespace
{

/* A service with two servers of the old version and two of the new one. */
struct Rollout : box::World {
	explicit Rollout(bool fails)
	    : box::World(true, "", "\"exposeShare\":0.4,\"exposeSlack\":5,")
	{
		EXPECT_TRUE(until([&] { return ready(); }));
		for (int i : {5, 6}) {
			std::string id = "n-" + std::to_string(i);
			std::string at = ip + ":" + std::to_string(9100 + i);

			platform.start_backend(id, "till", at);
			if (fails)
				platform.fail(id);
			platform.put("servers", id,
			    "{\"service\":\"till\",\"addr\":\"" + at +
				"\",\"zone\":\"north\",\"slots\":3,"
				"\"version\":\"v2\",\"state\":\"ready\"}");
		}
	}

	void order(const std::string &duration)
	{
		platform.put("rollouts", "till",
		    R"({"service":"till","targetVersion":"v2","duration":")" +
			duration + "\"}");
	}

	std::string state()
	{
		return platform.status_of("rollouts", "till");
	}

	size_t ran_new()
	{
		return platform.ran("n-5") + platform.ran("n-6");
	}

	/*
	 * Sends requests until the roll-out has the state. Returns false after
	 * a time-out.
	 */
	bool reaches(const std::string &wanted)
	{
		return until(
		    [&] {
			    for (int i = 0; i < 5; i++)
				    ask("/look/1");
			    return state() == wanted;
		    },
		    6000);
	}
};

} // namespace

TEST(Rollout, AGoodVersionIsCompletedAndTheOldOneLeftBefore)
{
	Rollout r(false);

	r.order("4s");
	ASSERT_TRUE(r.reaches("running"));
	ASSERT_TRUE(r.reaches("completed")) << r.state();
	size_t old = r.ran(0, 1), all = r.ran_new();
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, r.ask("/look/1").status);
	EXPECT_EQ(old, r.ran(0, 1));
	EXPECT_EQ(all + 20, r.ran_new());
}

TEST(Rollout, ABadVersionIsRolledBackAfterFewRequests)
{
	Rollout r(true);

	r.order("4s");
	ASSERT_TRUE(r.reaches("rolled_back")) << r.state();
	size_t got = r.ran_new();
	EXPECT_LE(got, 30u);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, r.ask("/look/1").status);
	EXPECT_EQ(got, r.ran_new());
}

/*
 * A decision holds for a box that has just started, also while the platform is
 * unreachable.
 */
TEST(Rollout, ABoxThatStartsKeepsToWhatWasDecided)
{
	Rollout r(true);

	r.order("4s");
	ASSERT_TRUE(r.reaches("rolled_back")) << r.state();
	r.box.kill9();
	r.box.start();
	ASSERT_TRUE(until([&] { return r.ready(); }));
	size_t got = r.ran_new();
	r.platform.answer_all(503);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, r.ask("/look/1").status);
	EXPECT_EQ(got, r.ran_new());
	r.platform.answer_all(0);
}

/*
 * A write that the platform refused is repeated, with the precondition that
 * holds then.
 */
TEST(Rollout, AStoreThatRefusesIsToldLater)
{
	Rollout r(true);

	r.order("20s");
	ASSERT_TRUE(r.reaches("running"));
	r.platform.answer_all(503);
	until([&] { return r.ask("/look/1").status != 200; }, 1500);
	r.platform.answer_all(0);
	EXPECT_TRUE(r.reaches("rolled_back")) << r.state() << r.box.read_log();
}

/*
 * A box that first owns shards in two halls and later in one stops reporting on
 * the other. The roll-out must not wait for its report.
 */
TEST(Rollout, ABoxThatIsHomeNoMoreDoesNotHoldItUp)
{
	Rollout r(false);
	box::Further second(r, "b2", "south", "7");

	r.enter(1, "ready", "south");
	second.box.start();
	ASSERT_TRUE(until([&] { return second.serves(); }, 10000));
	pump(1000);
	r.order("4s");
	ASSERT_TRUE(r.reaches("completed"))
	    << r.state() << r.box.read_log() << second.box.read_log();
}

/*
 * The platform was restored from a copy in which the roll-out is undecided. It
 * must not start again, and the decision is written again.
 */
TEST(Rollout, ADecisionThatARestoreLostIsKept)
{
	Rollout r(false);

	r.order("8s");
	ASSERT_TRUE(r.reaches("running"));
	r.platform.keep_copy();
	r.platform.fail("n-5");
	r.platform.fail("n-6");
	ASSERT_TRUE(r.reaches("rolled_back")) << r.state();
	size_t got = r.ran_new();
	pump(1000);
	r.platform.restore();
	EXPECT_TRUE(r.reaches("rolled_back")) << r.state();
	for (int i = 0; i < 50; i++) {
		EXPECT_EQ(200, r.ask("/look/1").status);
		pump(100);
	}
	EXPECT_EQ(got, r.ran_new());
	EXPECT_EQ("rolled_back", r.state());
}

/* The same if the order itself was lost, which the operator writes again. */
TEST(Rollout, ADecisionIsKeptIfItsOrderIsWrittenAgain)
{
	Rollout r(true);

	pump(500);
	r.platform.keep_copy();
	r.order("8s");
	ASSERT_TRUE(r.reaches("rolled_back")) << r.state();
	size_t got = r.ran_new();
	pump(1000);
	r.platform.restore();
	pump(500);
	r.order("8s");
	EXPECT_TRUE(r.reaches("rolled_back")) << r.state();
	for (int i = 0; i < 50; i++) {
		EXPECT_EQ(200, r.ask("/look/1").status);
		pump(100);
	}
	EXPECT_EQ(got, r.ran_new());
	EXPECT_EQ("rolled_back", r.state());
}

/*
 * The copy has the order as it is, at a version of an earlier epoch. A decision
 * after the restore is written soon.
 */
TEST(Rollout, ADecisionAfterARestoreIsWritten)
{
	Rollout r(false);

	r.order("5s");
	ASSERT_TRUE(r.reaches("running"));
	r.platform.keep_copy();
	r.platform.restore();
	pump(1000);
	EXPECT_TRUE(r.reaches("completed")) << r.state() << r.box.read_log();
}
