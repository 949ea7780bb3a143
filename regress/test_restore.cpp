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
 * The platform's store is restored from a copy some seconds old: what it
 * acknowledged since is gone, and its revisions are used again.
 */
#include <gtest/gtest.h>

#include "box.h"

using box::World;

namespace
{

/* Time in which a change must be in force, in ms. */
const int apply_ms = 2000;

/* Returns whether requests reach the first service and no other. */
bool
serves_till(World &w)
{
	size_t before = w.ran(0, 1);

	return w.ask("/look/1").status == 200 && w.ran(0, 1) > before;
}

bool
serves_shelf(World &w)
{
	size_t before = w.ran(2, 3);

	return w.ask("/look/1").status == 200 && w.ran(2, 3) > before;
}

/* Writes the configuration with the next number. */
void
configure(World &w, const std::string &service)
{
	w.number++;
	w.configure(service);
}

bool
is_ready(World &w)
{
	return until([&] { return w.ready(); }) &&
	    until([&] { return serves_till(w); });
}

/* Has the store acknowledge some changes, which a restore loses. */
void
raise_revision(World &w)
{
	size_t n = w.in_force("bundle/main");

	for (int i = 0; i < 4; i++) {
		w.target = std::to_string(300 + i) + "ms";
		configure(w, "till");
	}
	EXPECT_TRUE(until([&] { return w.in_force("bundle/main") > n; }));
	pump(300);
}

} // namespace

/* A change was ignored until its revision was above the one held. */
TEST(Restore, AChangeAtARevisionThatWasUsedBeforeIsInForceInTime)
{
	World w;

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	raise_revision(w);
	w.platform.restore();
	w.configure("till"); /* written again */
	configure(w, "shelf");
	EXPECT_TRUE(until([&] { return serves_shelf(w); }, apply_ms));
	configure(w, "till");
	EXPECT_TRUE(until([&] { return serves_till(w); }, apply_ms));
}

/* The copy has an older configuration, which the operator has replaced. */
TEST(Restore, AnOlderConfigurationDoesNotComeBack)
{
	World w;

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	configure(w, "shelf");
	ASSERT_TRUE(until([&] { return serves_shelf(w); }));
	w.platform.restore();
	for (int i = 0; i < 40; i++) {
		EXPECT_TRUE(serves_shelf(w)) << i;
		pump(100);
	}
	configure(w, "till");
	EXPECT_TRUE(until([&] { return serves_till(w); }, apply_ms));
}

/* The copy has the entry of a server as it was before its drain. */
TEST(Restore, ADrainIsKept)
{
	World w;
	size_t before;

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	w.enter(0, "draining");
	pump(1000);
	before = w.platform.ran("i-0");
	w.platform.restore();
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(200, w.ask("/look/1").status);
		pump(100);
	}
	w.enter(0, "draining"); /* written again */
	for (int i = 0; i < 30; i++) {
		EXPECT_EQ(200, w.ask("/look/1").status);
		pump(100);
	}
	EXPECT_EQ(before, w.platform.ran("i-0"));
}

/*
 * A backend server that started after the copy writes its entry again, with the
 * revision below that of the lost one.
 */
TEST(Restore, AServerThatWroteItsEntryAgainIsNotWithdrawn)
{
	World w;

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	raise_revision(w);
	std::string entry = "{\"service\":\"till\",\"addr\":\"" + w.ip +
	    ":9109\",\"zone\":\"north\",\"slots\":3,\"state\":\"ready\"}";
	w.platform.start_backend("i-9", "till", w.ip + ":9109");
	w.platform.put("servers", "i-9", entry);
	ASSERT_TRUE(until([&] { return w.in_force("backend/i-9") > 0; }));
	w.platform.restore();
	ASSERT_TRUE(until([&] { return w.logged("restored from a copy"); }));
	pump(1200);
	w.platform.put("servers", "i-9", entry);
	pump(4000);
	EXPECT_FALSE(w.logged("deletion is in force\" key=backend/i-9"));
}

/*
 * The copy has the entry of a server that was deleted since.  The server gets
 * nothing while its entry may be out of date, and is used if it stays listed.
 */
TEST(Restore, AServerThatTheCopyHasAgainIsUsedOnceItIsKnownToBeListed)
{
	World w;
	size_t before;

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	w.platform.remove("servers", "i-0");
	ASSERT_TRUE(until([&] {
		return w.logged("\"deletion is in force\" key=backend/i-0");
	}));
	before = w.platform.ran("i-0");
	w.platform.restore();
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ(200, w.ask("/look/1").status);
		pump(100);
	}
	EXPECT_EQ(before, w.platform.ran("i-0"));
	EXPECT_TRUE(until(
	    [&] {
		    w.ask("/look/1");
		    return w.platform.ran("i-0") > before;
	    },
	    5000));
}
