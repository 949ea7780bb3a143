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
#include <map>
#include <set>

#include "box.h"

/* Functions that are named like their structs hide C++ constructors. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
extern "C" {
#include "region.h"
}
#pragma GCC diagnostic pop

/*
 * Tests of requests that only some regions may serve: the choice of a hall by
 * itself, and with a real box.
 */

namespace
{

/*
 * Two halls in one region and one in another, with the given numbers of slots
 * of one service.
 */
struct Choice {
	json_t *halls = json_pack(
	    "{s:s, s:s, s:s}", "a", "here", "b", "here", "c", "there");
	struct route_hall v[3] = {};
	struct route_service svc = {};

	Choice(int a, int b, int c)
	{
		int slots[] = {a, b, c};
		const char *names[] = {"a", "b", "c"};

		for (int i = 0; i < 3; i++) {
			v[i].hall = str_c(names[i]);
			v[i].slots = slots[i];
			svc.slots += slots[i];
		}
		svc.halls = v;
		svc.nhalls = 3;
	}

	~Choice()
	{
		json_decref(halls);
	}

	/*
	 * Returns all halls that a request may be sent to from a box in the
	 * hall own.
	 */
	std::set<std::string> drawn(const char *own, const char *list)
	{
		std::set<std::string> all;

		for (int i = 0; i < 200; i++) {
			struct str h = region_choose_hall(
			    halls, str_c(own), &svc, str_c(list), rnd_system());
			all.insert(std::string(h.p == nullptr ? "" : h.p, h.n));
		}
		return all;
	}
};

using Halls = std::set<std::string>;

/* The backend servers of the other hall are in another region. */
struct Regions : box::World {
	Regions()
	    : World(
		  false, "regions = { north = \"here\", south = \"there\" }\n")
	{
		for (int i : {1, 3})
			enter(i, "ready", "south");
	}

	void allow(const std::string &regions)
	{
		of_route = ",\"allowedRegions\":[" + regions + "]";
		configure("till");
	}
};

} // namespace

TEST(Region, ListsOfNames)
{
	struct {
		const char *list, *region;
		bool allows;
	} cases[] = {{"", "a", true}, {"", "", true}, {"a", "a", true},
	    {"a,b", "b", true}, {"a,b", "c", false}, {"ab", "a", false},
	    {"a", "ab", false}, {"a", "", false}};

	for (auto &c : cases)
		EXPECT_EQ(
		    c.allows, region_allows(str_c(c.list), str_c(c.region)))
		    << c.list << " " << c.region;
}

TEST(Region, NearHallsGoFirstAndForbiddenOnesNever)
{
	EXPECT_EQ(Halls{"a"}, Choice(1, 1, 1).drawn("a", ""));
	EXPECT_EQ(Halls{"b"}, Choice(0, 1, 1).drawn("a", ""));
	EXPECT_EQ(Halls{"c"}, Choice(0, 0, 1).drawn("a", ""));
	EXPECT_EQ((Halls{"a", "b"}), Choice(1, 1, 1).drawn("c", "here"));
	EXPECT_EQ(Halls{"c"}, Choice(1, 1, 1).drawn("a", "there"));
	EXPECT_EQ(Halls{"a"}, Choice(1, 1, 1).drawn("a", "there,here"));
	/* No hall that is allowed has free capacity. */
	EXPECT_EQ(Halls{""}, Choice(0, 0, 1).drawn("a", "here"));
	EXPECT_EQ(Halls{""}, Choice(1, 1, 0).drawn("a", "there"));
	EXPECT_EQ(Halls{""}, Choice(1, 1, 1).drawn("a", "nowhere"));
}

/*
 * A box that holds no backend servers knows the halls only from the table of
 * regions.
 */
TEST(Region, ABoxWithoutBackendServersGoesByTheTable)
{
	Choice none(0, 0, 0);

	none.svc.nhalls = 0;
	EXPECT_EQ(Halls{"a"}, none.drawn("a", ""));
	EXPECT_EQ(Halls{"a"}, none.drawn("a", "here"));
	EXPECT_EQ(Halls{"c"}, none.drawn("a", "there"));
	EXPECT_EQ((Halls{"a", "b"}), none.drawn("c", "here"));
	EXPECT_EQ(Halls{""}, none.drawn("c", "nowhere"));
}

TEST(Region, ARequestIsServedWhereItsRuleAllowsAndNowhereElse)
{
	Regions r;

	r.allow("\"here\"");
	ASSERT_TRUE(until([&] { return r.ready(); }));
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(200, r.ask("/look/1").status);
	EXPECT_EQ(10u, r.ran(0, 0));
	/*
	 * No allowed hall can serve the request: it is refused at once and not
	 * sent to another region.
	 */
	r.platform.put("evacuations", "north", "{}");
	ASSERT_TRUE(until([&] { return r.ask("/look/1").status == 503; }));
	EXPECT_EQ(503, r.ask("/buy/1", "POST").status);
	EXPECT_EQ(0u, r.ran(1, 1));
	/* Only the other region is allowed, for a box that is not in it. */
	r.platform.remove("evacuations", "north");
	r.allow("\"there\"");
	ASSERT_TRUE(until([&] {
		r.ask("/look/2");
		return r.ran(1, 1) > 0;
	}));
	size_t before = r.ran(0, 0);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(200, r.ask("/look/2").status);
	EXPECT_EQ(before, r.ran(0, 0));
}
