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

/* Changes, drains and evacuations around silences of the platform. */

namespace
{

/* The operators' bound for a change, from its acknowledgement on, in ms. */
const double apply_ms = 2000;
/* So long after a silence the platform counts as calm again, in ms. */
const int calm_ms = 3000;
/* Answers that may be stale are so old, in ms. */
const int lag_ms = 3000;
enum { LOOK_MS = 1250 };

struct Silent : box::World {
	/* As where they are deployed: lists are seldom, changes gathered. */
	Silent()
	    : World(true, "", "",
		  "boxes_ms = 15000\ngather_ms = 600\nlook_ms = " +
		      std::to_string(LOOK_MS) + "\n")
	{
		EXPECT_TRUE(until([&] { return ready(); }));
		EXPECT_TRUE(
		    until([&] { return ask("/look/1").status == 200; }));
	}

	/* The platform is silent, and something changes meanwhile. */
	void change_in_silence(const std::function<void()> &change, int ms)
	{
		size_t before = platform.hung();

		platform.silence(true);
		change();
		pump(ms);
		platform.silence(false);
		/* The answer that told of it was swallowed. */
		EXPECT_GT(platform.hung(), before);
	}

	void expect_drain_after_silence()
	{
		size_t before;

		change_in_silence([&] { enter(2, "draining"); }, 100);
		pump(calm_ms);
		enter(0, "draining");
		ASSERT_TRUE(until(
		    [&] { return in_force("backend/i-0") > 1; }, apply_ms));
		before = ran(0, 0);
		for (int i = 0; i < 20; i++)
			EXPECT_EQ(200, ask("/look/1").status);
		EXPECT_EQ(before, ran(0, 0));
	}

	bool leads_to_shelf()
	{
		size_t before = ran(2, 3);

		ask("/look/1");
		return ran(2, 3) > before;
	}
};

} // namespace

TEST(Silent, ARuleThatChangedInAShortSilenceIsInForceSoonAfterIt)
{
	Silent w;

	w.change_in_silence([&] { w.configure("shelf"); }, 100);
	EXPECT_TRUE(until([&] { return w.leads_to_shelf(); }, apply_ms));
}

/* The call for the next change goes out into the silence. */
TEST(Silent, ARuleThatChangedAfterASilenceIsInForceInTime)
{
	Silent w;

	w.configure("shelf");
	ASSERT_TRUE(until([&] { return w.leads_to_shelf(); }, apply_ms));
	w.change_in_silence([] {}, 1000);
	w.configure("till");
	EXPECT_TRUE(until([&] { return !w.leads_to_shelf(); }, apply_ms));
}

TEST(Silent, ARuleThatChangedInALongSilenceIsInForceSoonAfterIt)
{
	Silent w;

	w.change_in_silence([&] { w.configure("shelf"); }, 3500);
	EXPECT_TRUE(until([&] { return w.leads_to_shelf(); }, apply_ms));
}

/* Twice, and the second one just when all has come back. */
TEST(Silent, ASecondSilenceIsNotedLikeTheFirst)
{
	Silent w;

	w.change_in_silence([&] { w.configure("shelf"); }, 300);
	ASSERT_TRUE(until([&] { return w.leads_to_shelf(); }, apply_ms));
	w.change_in_silence([&] { w.configure("till"); }, 2500);
	EXPECT_TRUE(until([&] { return !w.leads_to_shelf(); }, apply_ms));
}

/*
 * What backend servers and operators state once the platform is calm again
 * holds within the bound, though a change before it was swallowed.
 */
TEST(Silent, ADrainAfterASilenceIsKept)
{
	Silent w;

	w.expect_drain_after_silence();
}

TEST(Silent, AnEvacuationAfterASilenceIsKept)
{
	Silent w;

	w.change_in_silence(
	    [&] { w.platform.put("evacuations", "south", "{}"); }, 100);
	pump(calm_ms);
	w.platform.put("evacuations", "north", "{}");
	EXPECT_TRUE(
	    until([&] { return w.ask("/look/1").status == 503; }, apply_ms));
}

/* A look whose answer is old tells neither of a change nor that there is none.
 */
TEST(Silent, ARuleThatChangedInASilenceIsInForceSoonThoughCopiesAreOld)
{
	Silent w;

	w.platform.lag(lag_ms);
	w.change_in_silence([&] { w.configure("shelf"); }, 100);
	EXPECT_TRUE(until([&] { return w.leads_to_shelf(); }, apply_ms));
}

TEST(Silent, ADrainAfterASilenceIsKeptThoughCopiesAreOld)
{
	Silent w;

	w.platform.lag(lag_ms);
	w.expect_drain_after_silence();
}

/* The first look is over; rules, evacuations and roll-outs are watched too. */
TEST(Silent, ADrainAfterASilenceIsKeptHoweverManyKindsAreWatched)
{
	Silent w;

	pump(2 * LOOK_MS);
	w.expect_drain_after_silence();
}
