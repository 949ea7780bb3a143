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

extern "C" {
#include "cold.h"
}

/* Backend servers that have just started: the bound, and the real program. */

namespace
{

constexpr struct cold_limit BOUND = {3.75, 4, 3 * NS_S};
/* What one bears in any second: 2.5 a second, half as much again, and 8. */
constexpr size_t BEARS = 11;

/* Send whatever may be sent, each 5 ms; the most in any second. */
size_t
worst(std::vector<int64_t> *sent)
{
	size_t most = 0;

	for (size_t i = 0, j = 0; i < sent->size(); i++) {
		while ((*sent)[i] - (*sent)[j] >= NS_S)
			j++;
		most = std::max(most, i - j + 1);
	}
	return most;
}

void
send_all(struct cold *c, int64_t from, int64_t to, std::vector<int64_t> *sent)
{
	for (int64_t now = from; now < to; now += 5 * NS_MS)
		if (cold_can_send(c, &BOUND, now)) {
			cold_record_send(c, &BOUND, now);
			sent->push_back(now);
		}
}

/* Two services' worth of settings: one backend server of two is cold. */
struct Pair : box::World {
	Pair() : World(false, "", R"("slowStartOver":1.5,"slowStartSlack":8,)")
	{
		of_service = R"(,"coldPerS":2.5,"slowStart":"3s")";
		configure("till");
	}

	/* Sequential requests for a while; all are served. */
	void ask_for(int64_t ms)
	{
		int64_t end = clk_ns(clk_system()) + ms * NS_MS;

		while (clk_ns(clk_system()) < end)
			EXPECT_EQ(200, ask("/look/1").status);
	}
};

} // namespace

TEST(Cold, OneGetsNoMoreThanItBearsInAnySecond)
{
	struct cold c = {};
	std::vector<int64_t> sent;

	cold_set_suspected(&c, 3 * NS_S, NS_S);
	send_all(&c, NS_S, 4 * NS_S, &sent);
	EXPECT_LT(8u, sent.size()); /* nor is it starved */
	EXPECT_GE(BEARS, worst(&sent));
	EXPECT_FALSE(cold_is_cold(&c, 4 * NS_S));
}

/* The old home's burst and the new one's rate; neither knows of the other. */
TEST(Cold, TwoHomesTogetherKeepTheBound)
{
	for (int64_t moved = NS_S; moved < 4 * NS_S; moved += 50 * NS_MS) {
		struct cold a = {}, b = {};
		std::vector<int64_t> sent;

		cold_set_reported(&a, 3 * NS_S, NS_S);
		/* It rested, and then is asked for all at once. */
		send_all(&a, moved - 40 * NS_MS, moved, &sent);
		cold_set_suspected(&b, 3 * NS_S, moved);
		send_all(&b, moved, 4 * NS_S, &sent);
		EXPECT_GE(BEARS, worst(&sent)) << moved;
	}
}

/* One that was warm has got its share of the second in which it turns cold. */
TEST(Cold, OneThatTurnsColdHasNothingSaved)
{
	struct cold c = {};
	std::vector<int64_t> sent;

	send_all(&c, NS_S, 2 * NS_S, &sent);
	EXPECT_EQ(200u, sent.size());
	cold_set_reported(&c, NS_S, 2 * NS_S);
	EXPECT_FALSE(cold_can_send(&c, &BOUND, 2 * NS_S));
	EXPECT_TRUE(cold_can_send(&c, &BOUND, 2 * NS_S + 300 * NS_MS));
}

TEST(Cold, ItsOwnWordEndsTheDoubt)
{
	struct cold c = {};

	cold_set_suspected(&c, 3 * NS_S, NS_S);
	EXPECT_TRUE(cold_is_unconfirmed(&c, NS_S));
	cold_set_reported(&c, 0, NS_S);
	EXPECT_FALSE(cold_is_cold(&c, NS_S));
	cold_set_reported(&c, NS_S, NS_S);
	EXPECT_TRUE(cold_is_cold(&c, NS_S));
	EXPECT_FALSE(cold_is_unconfirmed(&c, NS_S));
	cold_set_suspected(&c, 3 * NS_S, NS_S);
	EXPECT_TRUE(cold_is_unconfirmed(&c, NS_S));
}

/* Where a service has no bound, nothing is held back. */
TEST(Cold, WithoutABoundNothingChanges)
{
	struct cold_limit none = {};
	struct cold c = {};

	cold_set_reported(&c, NS_S, NS_S);
	for (int i = 0; i < 100; i++) {
		EXPECT_TRUE(cold_can_send(&c, &none, NS_S));
		cold_record_send(&c, &none, NS_S);
	}
}

/* It is asked before the first request, by a home that knows nothing yet. */
TEST(Cold, AHomeThatStartsAsksBeforeItSends)
{
	Pair p;

	p.platform.chill("i-0", 60000);
	ASSERT_TRUE(until([&] { return p.ready(); }));
	p.ask_for(1000);
	EXPECT_GE(BEARS, p.ran(0, 0));
	EXPECT_LT(2 * BEARS, p.ran(1, 1));
	EXPECT_TRUE(p.logged("a backend server is cold"));
	/* A home that takes its place does not begin anew with a burst. */
	size_t before = p.ran(0, 0);
	p.box.kill9();
	p.box.start();
	ASSERT_TRUE(until([&] { return p.ready(); }));
	p.ask_for(500);
	EXPECT_GE(4u, p.ran(0, 0) - before);
}

/* It may turn cold at any moment; a return is such a moment. */
TEST(Cold, AHallThatReturnsIsAskedFirst)
{
	Pair p;

	ASSERT_TRUE(until([&] { return p.ready(); }));
	p.ask_for(300);
	p.platform.put("evacuations", "north", "{}");
	ASSERT_TRUE(until([&] { return p.ask("/look/1").status == 503; }));
	p.platform.chill("i-0", 2000);
	p.platform.remove("evacuations", "north");
	ASSERT_TRUE(until([&] { return p.ask("/look/1").status == 200; }));
	size_t before = p.ran(0, 0);
	p.ask_for(1000);
	EXPECT_GE(BEARS, p.ran(0, 0) - before);
	/* Once that time is over it may do all alone. */
	p.enter(1, "draining");
	pump(1500);
	before = p.ran(0, 0);
	p.ask_for(1000);
	EXPECT_LT(2 * BEARS, p.ran(0, 0) - before);
}
