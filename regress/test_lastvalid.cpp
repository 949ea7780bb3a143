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
 * Boxes that start while the newest configuration on the platform is not valid.
 * The last valid one is known to other boxes only, or to none.
 */

namespace
{

const char *const as_deployed = "boxes_ms = 15000\ngather_ms = 600\n"
				"status_ms = 3600000\nstatus_by = \"hubs\"\n";

/* The time within which a box that starts has to serve, in ms. */
const int start_ms = 10000;

struct Boxes : box::World {
	Boxes() : World(true, "", "", as_deployed)
	{
	}

	void put_invalid()
	{
		platform.put("config", "main",
		    "{\"version\":\"r" + std::to_string(++number) +
			R"(","resources":[{"resourceType":"routes",
			"metadata":{"name":"bad"},"spec":{"host":"h",
			"pathPrefix":"/"}}]})");
	}

	/* Writes a valid configuration and waits until it is in force. */
	void put_valid(const std::string &service)
	{
		size_t before = in_force("bundle/main");

		number++;
		configure(service);
		EXPECT_TRUE(
		    until([&] { return in_force("bundle/main") > before; }));
	}

	/* Starts the box again, without anything that it knew. */
	void restart()
	{
		box.kill9();
		box.start();
	}

	bool has_copy()
	{
		return has("lastvalid", "bundle-main");
	}
};

/* The boxes b1 and b2 in one hall, s1 and s2 in the other. */
struct Halls : Boxes {
	std::vector<std::unique_ptr<box::Further>> more;

	Halls()
	{
		add("b2", "north", "5");
		add("s1", "south", "6");
		add("s2", "south", "7");
		EXPECT_TRUE(until([&] { return ready() && knows(4); }, 8000));
	}

	void add(const std::string &name, const std::string &hall,
	    const std::string &digit)
	{
		more.push_back(std::make_unique<box::Further>(
		    *this, name, hall, digit, as_deployed));
		more.back()->box.start();
	}
};

} // namespace

/*
 * Each message of the other box of the hall, which lacks the same, reset the
 * time for which the other hall differed, and that hall was never asked.
 */
TEST(LastValid, AHallThatStartsGetsItFromAnotherHall)
{
	Halls w;

	w.put_invalid();
	ASSERT_TRUE(until([&] { return w.logged("object is rejected"); }));
	ASSERT_TRUE(until([&] { return w.has_copy(); }));
	/* Neither a copy nor the changes on the platform have it. */
	w.platform.remove("lastvalid", "bundle-main");
	w.platform.compact();
	for (int round = 0; round < 3; round++) {
		w.more[1]->box.kill9();
		w.more[2]->box.kill9();
		w.more[1]->box.start();
		w.more[2]->box.start();
		EXPECT_TRUE(
		    until([&] { return w.more[1]->serves(); }, start_ms))
		    << round;
		EXPECT_TRUE(
		    until([&] { return w.more[2]->serves(); }, start_ms))
		    << round;
	}
}

/* The platform had the version that is not valid, and no box another one. */
TEST(LastValid, IsThereAfterALossOfAllBoxes)
{
	Boxes w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.put_invalid();
	ASSERT_TRUE(until([&] { return w.has_copy(); }));
	w.restart();
	EXPECT_TRUE(until([&] { return w.ready(); }, start_ms));
	EXPECT_EQ(200, w.ask("/look/1").status);
	/* It is again as at the first start. */
	w.restart();
	EXPECT_TRUE(until([&] { return w.ready(); }, start_ms));
	EXPECT_EQ(200, w.ask("/look/2").status);
}

/*
 * The platform refuses calls from when it has the version that is not valid
 * until the last box has ended, so that there is no copy.
 */
TEST(LastValid, IsFoundAmongTheChangesWithoutACopy)
{
	Boxes w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.put_valid("shelf");
	w.box.kill9();
	for (int i = 0; i < 5; i++)
		w.enter(3, "ready", i % 2 == 0 ? "south" : "north");
	w.put_invalid();
	w.box.start();
	EXPECT_TRUE(until([&] { return w.ready(); }, start_ms));
	EXPECT_EQ(200, w.ask("/look/1").status);
	EXPECT_EQ(0U, w.ran(0, 1));
	/* The platform has lost its changes, but has the copy by now. */
	ASSERT_TRUE(until([&] { return w.has_copy(); }));
	w.platform.compact();
	w.restart();
	EXPECT_TRUE(until([&] { return w.ready(); }, start_ms));
}

/* Changes of which the platform has lost the first ones are searched, too. */
TEST(LastValid, IsFoundAmongFewChanges)
{
	Boxes w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.box.kill9();
	w.platform.compact();
	w.number++;
	w.configure("till");
	w.platform.remove("config", "main");
	w.number++;
	w.configure("shelf");
	w.put_invalid();
	w.box.start();
	EXPECT_TRUE(until([&] { return w.ready(); }, start_ms));
	EXPECT_EQ(200, w.ask("/look/1").status);
	EXPECT_EQ(0U, w.ran(0, 1));
}

/* A copy that stayed could bring back what was changed or deleted since. */
TEST(LastValid, ItsCopyGoesWithTheNextValidVersion)
{
	Boxes w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.put_invalid();
	ASSERT_TRUE(until([&] { return w.has_copy(); }));
	w.put_valid("shelf");
	EXPECT_TRUE(until([&] { return !w.has_copy(); }));
	/* The next one that is not valid is preceded by the newer version. */
	w.put_invalid();
	ASSERT_TRUE(until([&] { return w.has_copy(); }));
	w.restart();
	EXPECT_TRUE(until([&] { return w.ready(); }, start_ms));
	EXPECT_EQ(200, w.ask("/look/2").status);
	EXPECT_EQ(0U, w.ran(0, 1));
}

/* The platform refuses calls when the copy is due, and loses it later. */
TEST(LastValid, IsWrittenAfterAnOutageAndAfterARestore)
{
	Boxes w;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.platform.keep_copy();
	w.put_invalid();
	ASSERT_TRUE(until([&] { return w.has_copy(); }));
	w.platform.restore();
	w.put_invalid();
	EXPECT_TRUE(until([&] { return w.has_copy(); }));
	w.put_valid("shelf");
	EXPECT_TRUE(until([&] { return !w.has_copy(); }));
	w.put_invalid();
	w.platform.answer_all(503);
	pump(700);
	w.platform.answer_all(0);
	EXPECT_TRUE(until([&] { return w.has_copy(); }));
}

/*
 * A copy that another writer left, with a version that no object can have yet,
 * or with contents that are not valid: it is not taken, and the changes have
 * the right one.
 */
TEST(LastValid, AnOddCopyIsNotTaken)
{
	for (std::string copy :
	    {R"("version":9000000000000000000,"spec":{"rule":{}})",
		R"("version":-1,"spec":{"rule":{}})", R"("version":"7")",
		R"("version":1000000000003,"spec":{"rule":7})"}) {
		SCOPED_TRACE(copy);
		Boxes w;

		ASSERT_TRUE(until([&] { return w.ready(); }));
		w.put_valid("till");
		w.box.kill9();
		w.platform.put("lastvalid", "bundle-main",
		    R"({"spec":{"key":"bundle/main",)" + copy +
			R"(},"change":"lastvalid"})");
		w.put_invalid();
		w.box.start();
		EXPECT_TRUE(until(
		    [&] { return w.ask("/look/1").status == 200; }, start_ms));
		EXPECT_FALSE(w.logged("restored from a copy"));
	}
}
