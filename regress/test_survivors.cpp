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
#include <numeric>

#include "box.h"

/* Tests of weak boxes that live on while the strong ones of their hall die. */

namespace
{

const char *const hall_names[] = {"north", "south", "east"};

/* Halls with strong and weak boxes, with one box each per port range. */
struct Halls : box::World {
	std::vector<std::unique_ptr<box::Further>> strong, weak;

	Halls(int halls, int strong_each, int weak_each)
	    : World(
		  true, "", "", std::string(box::as_deployed) + "power = 0.5\n")
	{
		int digit = 10;

		if (halls > 1)
			enter(1, "ready", "south");
		for (int hall = 0; hall < halls; hall++) {
			for (int i = hall == 0; i < strong_each; i++)
				add(strong, "s", hall, digit++, "0.5");
			for (int i = 0; i < weak_each; i++)
				add(weak, "w", hall, digit++, "0.1");
		}
		EXPECT_TRUE(until([&] { return ready() && all_serve(); }));
		EXPECT_TRUE(until([&] {
			return knows(
			    1 + static_cast<int>(strong.size() + weak.size()));
		}));
	}

	void add(std::vector<std::unique_ptr<box::Further>> &to,
	    const std::string &kind, int hall, int digit,
	    const std::string &power)
	{
		to.push_back(std::make_unique<box::Further>(*this,
		    kind + std::to_string(digit), hall_names[hall],
		    std::to_string(digit),
		    std::string(box::as_deployed) + "power = " + power + "\n"));
		to.back()->box.start();
	}

	bool all_serve() const
	{
		for (auto &b : weak)
			if (!b->serves())
				return false;
		return true;
	}

	void start_strong()
	{
		box.start();
		for (auto &b : strong)
			b->box.start();
	}

	void kill_strong()
	{
		box.kill9();
		for (auto &b : strong)
			b->box.kill9();
	}

	/*
	 * Asks each weak box in turn, and returns for each second how many of
	 * the requests were not served.
	 */
	std::vector<int> refused_by_second(int seconds)
	{
		std::vector<int> refused(static_cast<size_t>(seconds));
		double start = now_ms();

		for (double t = 0; t < seconds * 1000; t = now_ms() - start) {
			for (auto &b : weak)
				refused[static_cast<size_t>(t / 1000)] +=
				    !b->serves();
			pump(20);
		}
		return refused;
	}
};

/*
 * Time after a loss of the strong boxes, or after their return, from which all
 * requests are served, in s.
 */
const int recover_s = 6;

void
expect_served(Halls &w, int seconds)
{
	std::vector<int> refused = w.refused_by_second(seconds);
	std::string series;

	for (int n : refused)
		series += " " + std::to_string(n);
	std::printf("not served, by second:%s\n", series.c_str());
	EXPECT_EQ(
	    0, std::accumulate(refused.begin() + recover_s, refused.end(), 0));
}

void
expect_recovery(int halls, int strong_each, int weak_each)
{
	Halls w(halls, strong_each, weak_each);

	w.kill_strong();
	expect_served(w, 25);
}

} // namespace

/*
 * Two weak boxes live on.  Each message between them took back the deaths of
 * the others, which were the only hubs again: nothing was served for 30 s.
 */
TEST(Survivors, TwoWeakBoxesOfOneHallServe)
{
	expect_recovery(1, 2, 2);
}

/* The same; every 9 s, a third to two thirds of a second were refused. */
TEST(Survivors, OneWeakBoxOfEachHallServes)
{
	expect_recovery(2, 2, 1);
}

TEST(Survivors, TheWeakBoxesOfThreeHallsServe)
{
	expect_recovery(3, 1, 2);
}

/* They come back before, while and after the weak ones take over. */
TEST(Survivors, TheStrongBoxesTakeOverAgain)
{
	Halls w(2, 2, 2);

	for (int ms : {1000, 3500, 6000}) {
		w.kill_strong();
		pump(ms);
		w.start_strong();
		expect_served(w, 8);
	}
}

/* One of them is replaced at the same time, and knows only who is listed. */
TEST(Survivors, AWeakBoxThatIsReplacedServes)
{
	Halls w(2, 2, 1);

	w.kill_strong();
	w.weak.pop_back();
	w.add(w.weak, "n", 1, 30, "0.1");
	expect_served(w, 25);
}

/*
 * All others stand still for longer than the time after which they count as
 * lost.  They are not taken for alive before they answer, and then at once.
 */
TEST(Survivors, ABoxThatHeardOfNobodyFindsTheOthersAgain)
{
	Halls w(1, 2, 2);
	Process &other_weak = w.weak[1]->box;

	for (Process *p : {&w.box, &w.strong[0]->box, &other_weak})
		p->signal(SIGSTOP);
	EXPECT_TRUE(until([&] { return w.weak[0]->serves(); }));
	EXPECT_EQ(1, w.weak[0]->boxes());
	for (Process *p : {&w.box, &w.strong[0]->box, &other_weak})
		p->signal(SIGCONT);
	EXPECT_TRUE(
	    until([&] { return w.weak[0]->boxes() == 4; }, recover_s * 1000));
	EXPECT_TRUE(until([&] { return w.knows(4); }, recover_s * 1000));
	expect_served(w, 8);
}
