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

/*
 * Tests of changes, drains and evacuations that are written while the platform
 * does not respond, or shortly afterwards.
 */

namespace
{

/*
 * The longest time from the acknowledgement of a change until it is in force,
 * in ms.
 */
const double apply_ms = 2000;
/* The time after a silence until the platform counts as calm again, in ms. */
const int calm_ms = 3000;
/* The age of stale responses, in ms. */
const int lag_ms = 3000;
enum { LOOK_MS = 1250 };

struct Silent : box::World {
	/*
	 * Settings as in a deployment: lists are rare and changes are batched.
	 */
	Silent()
	    : World(true, "", "",
		  "boxes_ms = 15000\ngather_ms = 600\nlook_ms = " +
		      std::to_string(LOOK_MS) + "\n")
	{
		EXPECT_TRUE(until([&] { return ready(); }));
		EXPECT_TRUE(
		    until([&] { return ask("/look/1").status == 200; }));
	}

	/*
	 * Applies a change while the platform does not respond for ms
	 * milliseconds.
	 */
	void change_in_silence(const std::function<void()> &change, int ms)
	{
		size_t before = platform.hung();

		platform.silence(true);
		change();
		pump(ms);
		platform.silence(false);
		/* The response that reported the change was lost. */
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

/* The call that waits for the next change is sent during the silence. */
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

/* A second silence begins just when everything has recovered from the first. */
TEST(Silent, ASecondSilenceIsNotedLikeTheFirst)
{
	Silent w;

	w.change_in_silence([&] { w.configure("shelf"); }, 300);
	ASSERT_TRUE(until([&] { return w.leads_to_shelf(); }, apply_ms));
	w.change_in_silence([&] { w.configure("till"); }, 2500);
	EXPECT_TRUE(until([&] { return !w.leads_to_shelf(); }, apply_ms));
}

/*
 * Changes by backend servers and operators after the platform is calm again are
 * in force within the bound, although an earlier change was lost.
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

/*
 * A poll with a stale response shows neither that there was a change nor that
 * there was none.
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

/*
 * The first poll is over; rules, evacuations and roll-outs are watched as well
 * as backend servers.
 */
TEST(Silent, ADrainAfterASilenceIsKeptHoweverManyKindsAreWatched)
{
	Silent w;

	pump(2 * LOOK_MS);
	w.expect_drain_after_silence();
}
