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
/*
 * What boxes wrote themselves to the platform's store, and a restore of the
 * store from an older copy lost: nobody else writes it again.
 */
#include <gtest/gtest.h>

#include "box.h"

using box::Further;
using box::World;

namespace
{

/* Longer than keys are refused after a restore, in ms. */
const int hold_ms = 4000;

bool
is_ready(World &w)
{
	return until([&] { return w.ready(); }) &&
	    until([&] { return w.ask("/look/1").status == 200; });
}

/* Headers of a request that may run once for its key. */
Headers
with_key(const std::string &key)
{
	static int n;

	return {{"Host", "shop.example"}, {"idempotency-key", key},
	    {"fernjunction-request-id", "own" + std::to_string(++n)},
	    {"fernjunction-deadline-ms", "800"}};
}

Reply
buy(const std::string &address, const std::string &key)
{
	return http("POST", address, "/buy/1", with_key(key), "body", 2000);
}

/* Has requests in all slots of the first service for a time. */
void
occupy(World &w, int ms)
{
	static int n;

	for (int i = 0; i < 6; i++)
		http_start("GET", w.ip + ":8080",
		    "/look/1?ms=" + std::to_string(ms),
		    {{"Host", "shop.example"},
			{"fernjunction-request-id",
			    "slot" + std::to_string(++n)},
			{"fernjunction-deadline-ms", "800"}},
		    "", 2000, [](const Reply &) {});
	pump(50);
}

/* The store is older by what a few changes of the operator write. */
void
raise_revision(World &w)
{
	for (int i = 0; i < 4; i++) {
		w.target = std::to_string(300 + i) + "ms";
		w.number++;
		w.configure("till");
	}
	pump(300);
}

} // namespace

/*
 * The claim of a key that has run was lost, so that any box could run the key
 * again.
 */
TEST(RestoreOwn, AKeyThatRanDoesNotRunAgain)
{
	World w;
	Further second(w, "b2", "north", "7");
	std::string boxes[] = {w.ip + ":8080", second.address};

	ASSERT_TRUE(is_ready(w));
	second.box.start();
	ASSERT_TRUE(until([&] { return second.serves(); }, 10000));
	raise_revision(w);
	w.platform.keep_copy();
	ASSERT_EQ(200, buy(boxes[0], "first").status);
	ASSERT_EQ(200, buy(boxes[1], "second").status);
	size_t before = w.ran(0, 3);
	for (int i = 0; i < 2 * hold_ms / 50; i++) {
		/* The second restore is from the same copy. */
		if (i % (hold_ms / 50) == 0)
			w.platform.restore();
		Reply r = buy(boxes[i % 2], i % 4 < 2 ? "first" : "second");

		EXPECT_TRUE(r.status == 503 || r.status == 409) << r.status;
		if (r.status == 503) {
			EXPECT_NE("", r.header("retry-after"));
		}
		pump(50);
	}
	EXPECT_EQ(before, w.ran(0, 3));
	EXPECT_EQ(409, buy(boxes[1], "first").status);
	EXPECT_EQ(409, buy(boxes[0], "second").status);
	EXPECT_EQ(200, buy(boxes[0], "third").status);
}

/*
 * A key was given back as its request had not run, but the copy has its claim:
 * the caller would be told that the key was used.
 */
TEST(RestoreOwn, AKeyThatDidNotRunCanBeUsed)
{
	World w;
	int status = 0;

	ASSERT_TRUE(is_ready(w));
	occupy(w, 500);
	http_start("POST", w.ip + ":8080", "/buy/1", with_key("key"), "body",
	    2000, [&](const Reply &r) { status = r.status; });
	ASSERT_TRUE(until([&] { return w.has("claims", "name"); }, 400));
	w.platform.keep_copy();
	for (auto id : {"i-0", "i-1"})
		w.platform.set(id, 100, true, false);
	ASSERT_TRUE(until([&] { return status != 0; }));
	EXPECT_EQ(503, status);
	pump(300);
	w.platform.restore();
	for (auto id : {"i-0", "i-1"})
		w.platform.set(id, 100, false, false);
	EXPECT_TRUE(until(
	    [&] { return buy(w.ip + ":8080", "key").status == 200; }, hold_ms));
}

/* Claims are made and given back as before. */
TEST(RestoreOwn, ClaimsOfALaterEpochAreMadeAndGivenBack)
{
	World w;

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	w.platform.restore();
	ASSERT_TRUE(until(
	    [&] { return buy(w.ip + ":8080", "one").status == 200; }, hold_ms));
	EXPECT_EQ(409, buy(w.ip + ":8080", "one").status);
	for (auto id : {"i-0", "i-1"})
		w.platform.set(id, 100, true, false);
	EXPECT_EQ(503, buy(w.ip + ":8080", "two").status);
	for (auto id : {"i-0", "i-1"})
		w.platform.set(id, 100, false, false);
	EXPECT_TRUE(until(
	    [&] { return buy(w.ip + ":8080", "two").status == 200; }, 1000));
}

/*
 * A hub writes its status once.  If that is lost, boxes that start do not find
 * the hub.  It is written again once, as calls to the store are expensive.
 */
TEST(RestoreOwn, ABoxThatWasListedIsListedAgain)
{
	const char *hubs = "status_by = \"hubs\"\nstatus_ms = 3600000\n";
	World w(true, "", "", hubs);
	Further second(w, "b2", "north", "7", hubs);

	ASSERT_TRUE(is_ready(w));
	ASSERT_TRUE(until([&] { return w.has("boxes", "b1"); }));
	w.platform.keep_copy();
	second.box.start();
	ASSERT_TRUE(until([&] { return w.has("boxes", "b2"); }, 10000));
	w.platform.restore();
	EXPECT_FALSE(w.has("boxes", "b2"));
	uint64_t revision = w.platform.revision();
	EXPECT_TRUE(until([&] { return w.has("boxes", "b2"); }, 4000));
	pump(1500);
	EXPECT_EQ(revision + 1, w.platform.revision());
}
