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
 * Tests of an evacuation, in which the backend servers of a hall get no new
 * requests, with a real box: how it is received, missed and ended.
 */

namespace
{

/* Each service has one backend server in another hall. */
struct Halls : box::World {
	Halls()
	{
		for (int i : {1, 3})
			enter(i, "ready", "south");
		EXPECT_TRUE(until([&] { return ready(); }));
		EXPECT_TRUE(until([&] { return serves("south"); }));
	}

	void evacuate(const std::string &hall)
	{
		platform.put("evacuations", hall, "{}");
	}

	void take_back(const std::string &hall)
	{
		platform.remove("evacuations", hall);
	}

	size_t ran_in(const std::string &hall)
	{
		return hall == "north" ? ran(0, 0) : ran(1, 1);
	}

	/*
	 * Returns whether requests reach the hall. Some dozens of requests are
	 * enough to show it where they are allowed.
	 */
	bool serves(const std::string &hall)
	{
		size_t before = ran_in(hall);

		/*
		 * Requests stay in the box's own hall while it has free slots.
		 */
		if (hall == "south")
			evacuate("north");
		bool does = until(
		    [&] {
			    ask("/look/1");
			    return ran_in(hall) > before;
		    },
		    2000);
		if (hall == "south")
			take_back("north");
		return does;
	}

	/* Sends some requests, all of which must be served in another hall. */
	void expect_empty(const std::string &hall)
	{
		size_t before = ran_in(hall);

		for (int i = 0; i < 20; i++)
			EXPECT_EQ(200, ask("/look/1").status);
		EXPECT_EQ(before, ran_in(hall));
	}
};

} // namespace

TEST(Evacuation, ItsHallGetsNothingNewUntilItIsTakenBack)
{
	Halls h;

	h.evacuate("north");
	ASSERT_TRUE(
	    until([&] { return h.in_force("evacuation/north") == 2; }, 2000));
	h.expect_empty("north");
	EXPECT_NE(std::string::npos,
	    http("GET", h.ip + ":8280", "/metrics", {}, "", 500)
		.body.find("fern_halls_evacuated 1"));
	h.take_back("north");
	EXPECT_TRUE(h.serves("north"));
}

/* Requests that cannot be served are refused at once, as not run. */
TEST(Evacuation, WithAllHallsEvacuatedRequestsAreRefusedAtOnce)
{
	Halls h;

	h.evacuate("north");
	h.evacuate("south");
	ASSERT_TRUE(until([&] { return h.ask("/look/1").status == 503; }));
	size_t before = h.ran(0, 1);
	Reply r = h.ask("/buy/1", "POST");
	EXPECT_EQ(503, r.status);
	EXPECT_NE("", r.header("retry-after"));
	EXPECT_EQ(before, h.ran(0, 1));
	size_t north = h.ran_in("north");
	h.take_back("south");
	EXPECT_TRUE(until([&] { return h.ask("/look/1").status == 200; }));
	EXPECT_EQ(north, h.ran_in("north"));
}

TEST(Evacuation, OneThatIsThereAlreadyHoldsFromTheFirstRequest)
{
	Halls h;

	h.box.kill9();
	h.evacuate("north");
	size_t before = h.ran_in("north");
	h.box.start();
	ASSERT_TRUE(until([&] { return h.ready(); }));
	h.expect_empty("north");
	EXPECT_EQ(before, h.ran_in("north"));
}

/*
 * The evacuation is written while the platform responds to no call, and the
 * history of changes is lost.
 */
TEST(Evacuation, AnOutageAndALostHistoryDoNotHideIt)
{
	Halls h;

	h.platform.answer_all(503);
	h.platform.compact();
	ASSERT_TRUE(
	    until([&] { return h.logged("platform does not answer"); }));
	h.evacuate("north");
	h.platform.answer_all(0);
	ASSERT_TRUE(
	    until([&] { return h.in_force("evacuation/north") == 2; }, 4000));
	h.expect_empty("north");
	/* The end of the evacuation must not be missed either. */
	h.platform.answer_all(503);
	h.platform.compact();
	pump(700);
	h.take_back("north");
	h.platform.answer_all(0);
	EXPECT_TRUE(h.serves("north"));
}

/*
 * A stale list that a restarted box reads does not undo an evacuation that was
 * written later.
 */
TEST(Evacuation, AStaleListDoesNotUndoIt)
{
	Halls h;

	h.platform.keep_stale();
	h.evacuate("north");
	h.box.kill9();
	h.box.start();
	ASSERT_TRUE(until([&] { return h.ready(); }));
	ASSERT_TRUE(
	    until([&] { return h.logged("key=evacuation/north"); }, 2000));
	h.expect_empty("north");
}
