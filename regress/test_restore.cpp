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

#include <csignal>
#include <cstring>

#include "box.h"

using box::Further;
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

/* Asks the box for `ms` and expects each request to reach a server. */
void
ask_for(World &w, int ms)
{
	for (int i = 0; i < ms / 100; i++) {
		EXPECT_EQ(200, w.ask("/look/1").status) << i;
		pump(100);
	}
}

/* Has the platform acknowledge changes that concern no request. */
void
write_others(World &w, int n)
{
	for (int i = 0; i < n; i++)
		w.enter(3, i % 2 == 0 ? "draining" : "ready");
}

/* Returns whether a request to another box reaches the second service. */
bool
serves_shelf(World &w, const Further &f)
{
	size_t before = w.ran(2, 3);

	return f.serves() && w.ran(2, 3) > before;
}

bool
serves_till(World &w, const Further &f)
{
	size_t before = w.ran(0, 1);

	return f.serves() && w.ran(0, 1) > before;
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

/* The same of an object that has no number of its own. */
TEST(Restore, ADrainAtARevisionThatWasUsedBeforeIsInForceInTime)
{
	World w;
	size_t before;

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	for (int i = 0; i < 3; i++) {
		w.enter(0, "ready", "south");
		w.enter(0, "ready", "north");
	}
	pump(500);
	w.platform.restore();
	w.enter(0, "draining");
	pump(apply_ms);
	before = w.platform.ran("i-0");
	ask_for(w, 3000);
	EXPECT_EQ(before, w.platform.ran("i-0"));
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

/* The copy has the entry of a server that has been removed since. */
TEST(Restore, ARemovedServerGetsNothing)
{
	World w;
	size_t before;

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	w.platform.remove("servers", "i-0");
	pump(1500);
	before = w.platform.ran("i-0");
	w.platform.restore();
	ask_for(w, 2000);
	w.platform.remove("servers", "i-0"); /* removed again */
	ask_for(w, 4000);
	EXPECT_EQ(before, w.platform.ran("i-0"));
}

/* It was removed while the store was down, and writes an unchanged entry. */
TEST(Restore, AServerThatIsThereAgainServes)
{
	World w;
	size_t before;

	ASSERT_TRUE(is_ready(w));
	w.enter(1, "draining");
	w.platform.keep_copy();
	w.platform.remove("servers", "i-0");
	pump(1500);
	before = w.platform.ran("i-0");
	w.platform.restore();
	pump(5000);
	ask_for(w, 500);
	EXPECT_LT(before, w.platform.ran("i-0"));
}

/* The platform lost the entry; its server writes it again. */
TEST(Restore, AServerWhoseEntryWasLostKeepsServing)
{
	World w;

	ASSERT_TRUE(is_ready(w));
	w.platform.remove("servers", "i-1");
	pump(1500);
	w.platform.keep_copy();
	w.enter(1, "ready");
	pump(500);
	w.enter(0, "draining");
	pump(500);
	w.platform.restore();
	write_others(w, 8);
	w.enter(0, "draining"); /* written again, and soon */
	ask_for(w, 1500);
	w.enter(1, "ready");
	ask_for(w, 4000);
	EXPECT_EQ(2u, w.in_force("backend/i-0"))
	    << "the drain is in force, and what it had before is not";
}

TEST(Restore, AnEvacuationThatWasLostIsKept)
{
	World w;
	size_t before;

	w.enter(1, "ready", "south");
	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	w.platform.put("evacuations", "north", "{}");
	pump(1000);
	before = w.platform.ran("i-0");
	w.platform.restore();
	write_others(w, 8);
	ask_for(w, 1500);
	w.platform.put("evacuations", "north", "{}"); /* written again */
	ask_for(w, 4000);
	EXPECT_EQ(before, w.platform.ran("i-0"));
	w.platform.remove("evacuations", "north");
	EXPECT_TRUE(until(
	    [&] {
		    w.ask("/look/1");
		    return w.platform.ran("i-0") > before;
	    },
	    apply_ms));
}

TEST(Restore, AnEvacuationThatWasTakenBackStaysSo)
{
	World w;
	size_t before;

	w.enter(1, "ready", "south");
	ASSERT_TRUE(is_ready(w));
	w.platform.put("evacuations", "north", "{}");
	pump(500);
	w.platform.keep_copy();
	w.platform.remove("evacuations", "north");
	pump(500);
	w.platform.restore();
	before = w.platform.ran("i-1");
	ask_for(w, 1500);
	w.platform.remove("evacuations", "north"); /* taken back again */
	ask_for(w, 4000);
	EXPECT_EQ(before, w.platform.ran("i-1"));
}

/* The others know a configuration that the platform has lost. */
TEST(Restore, ABoxThatStartsGetsTheNewestConfiguration)
{
	World w;
	Further b2(w, "b2", "north", "7");

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	configure(w, "shelf");
	ASSERT_TRUE(until([&] { return serves_shelf(w); }));
	w.platform.restore();
	b2.box.start();
	ASSERT_TRUE(until([&] { return b2.serves(); }));
	pump(apply_ms);
	for (int i = 0; i < 20; i++) {
		EXPECT_TRUE(serves_shelf(w, b2)) << i;
		EXPECT_TRUE(serves_shelf(w)) << i;
		pump(100);
	}
	configure(w, "till");
	EXPECT_TRUE(until(
	    [&] { return serves_till(w, b2) && serves_till(w); }, apply_ms));
}

/* It wakes with the lost configuration, whose revision was used again. */
TEST(Restore, AFrozenBoxThatWakesGetsTheNewestConfiguration)
{
	World w;
	Further b2(w, "b2", "north", "7");

	ASSERT_TRUE(is_ready(w));
	b2.box.start();
	ASSERT_TRUE(until([&] { return b2.serves() && w.knows(2); }));
	w.platform.keep_copy();
	raise_revision(w);
	ASSERT_TRUE(until([&] { return serves_till(w, b2); }));
	b2.box.signal(SIGSTOP);
	w.platform.restore();
	configure(w, "shelf");
	EXPECT_TRUE(until([&] { return serves_shelf(w); }, apply_ms));
	pump(4000);
	b2.box.signal(SIGCONT);
	EXPECT_TRUE(until([&] { return serves_shelf(w, b2); }, apply_ms));
	for (int i = 0; i < 20; i++) {
		EXPECT_TRUE(serves_shelf(w, b2)) << i;
		EXPECT_TRUE(serves_shelf(w)) << i;
		pump(100);
	}
}

TEST(Restore, TwoRestoresOneSoonAfterTheOther)
{
	World w;

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	raise_revision(w);
	configure(w, "shelf");
	ASSERT_TRUE(until([&] { return serves_shelf(w); }));
	for (int i = 0; i < 2; i++) {
		w.platform.restore();
		pump(400);
		EXPECT_TRUE(serves_shelf(w));
	}
	for (int i = 0; i < 40; i++) {
		EXPECT_TRUE(serves_shelf(w)) << i;
		pump(100);
	}
	configure(w, "till");
	EXPECT_TRUE(until([&] { return serves_till(w); }, apply_ms));
	w.platform.restore();
	for (int i = 0; i < 40; i++) {
		EXPECT_TRUE(serves_till(w)) << i;
		pump(100);
	}
	configure(w, "shelf");
	EXPECT_TRUE(until([&] { return serves_shelf(w); }, apply_ms));
}

/* The connections of the watches stay open, but carry nothing more. */
TEST(Restore, AChangeAfterASilentRestoreIsInForceInTime)
{
	World w;

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	raise_revision(w);
	w.platform.silence(true);
	w.platform.restore();
	pump(700);
	w.platform.silence(false);
	configure(w, "shelf");
	EXPECT_TRUE(until([&] { return serves_shelf(w); }, apply_ms));
}

/* Watches were answered 410 and lists changed nothing, 80 calls a second. */
TEST(Restore, CallsOfThePlatformDoNotLoop)
{
	World w;
	size_t before;

	ASSERT_TRUE(is_ready(w));
	w.platform.keep_copy();
	raise_revision(w);
	w.platform.restore();
	pump(500);
	before = w.platform.calls();
	pump(5000);
	EXPECT_GE(20u, w.platform.calls() - before);
	w.enter(0, "draining");
	before = w.platform.calls();
	pump(2000);
	EXPECT_GE(10u, w.platform.calls() - before);
}

/* Returns the times at which the box logged a text, in ms. */
std::vector<double>
times_of(World &w, const std::string &text)
{
	std::string log = w.box.read_log();
	std::vector<double> times;
	size_t at = 0, line;

	while ((at = log.find(text, at)) != std::string::npos) {
		line = log.rfind('\n', at) + 1; /* npos + 1 is 0 */
		times.push_back(
		    1000 * atof(log.c_str() + line + strlen("time=")));
		at += text.size();
	}
	return times;
}

/*
 * Each list is then older than what was reached, and each watch too old.  The
 * calls came in bursts, as many as the budget allows.
 */
TEST(Restore, CallsDoNotLoopIfTheEpochIsNotTold)
{
	World w;
	size_t shorts = 0;

	ASSERT_TRUE(is_ready(w));
	w.platform.hide_era();
	w.platform.keep_copy();
	raise_revision(w);
	w.platform.restore();
	pump(5000);
	std::vector<double> times = times_of(w, "msg=\"listed\" kinds=bundle ");
	EXPECT_LT(5u, times.size());
	/* A poll may have the feed listed again at any time. */
	for (size_t i = 1; i < times.size(); i++)
		if (times[i] - times[i - 1] < 5)
			shorts++;
	EXPECT_GE(times.size(), 5 * shorts);
	for (int i = 0; i < 6; i++)
		configure(w, "shelf");
	EXPECT_TRUE(until([&] { return serves_shelf(w); }, apply_ms));
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
