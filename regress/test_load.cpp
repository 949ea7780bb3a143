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
 * Simulations of the worst load patterns (load.h): how many requests are served
 * in time, late or not at all.  The bounds apply to means of four seeds; `make
 * bench-load` prints the whole table.
 */
#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>

#include "load.h"

namespace
{

struct Totals {
	std::map<std::string, load::Count> kinds;
	load::Count all;
	int sent_evacuated = 0, worst_cold = 0, fell_over = 0;
	double worth = 0, reference = 0;

	double share(const std::string &kind, int load::Count::*what) const
	{
		const load::Count &c = kinds.at(kind);

		return static_cast<double>(c.*what) / c.asked;
	}

	double unserved() const
	{
		return static_cast<double>(all.unserved) / all.asked;
	}
};

Totals
replay(load::Setting (*setting)(uint64_t), const std::string &name)
{
	constexpr int SEEDS = 4;
	Totals sum;

	for (auto &p : load::patterns()) {
		if (p.name != name)
			continue;
		for (uint64_t seed = 1; seed <= SEEDS; seed++) {
			load::Setting s = setting(seed);
			load::Result r = load::run(s, p);

			for (auto &k : r.kinds) {
				sum.kinds[k.first].add(k.second);
				sum.all.add(k.second);
			}
			sum.sent_evacuated += r.sent_evacuated;
			sum.worst_cold = std::max(sum.worst_cold, r.worst_cold);
			sum.fell_over += r.fell_over;
			sum.worth += r.worth / SEEDS;
			sum.reference += load::reference(s, p).worth / SEEDS;
		}
	}
	EXPECT_LT(0, sum.all.asked) << name;
	return sum;
}

} // namespace

/* Urgent requests are not refused in favour of less urgent ones. */
TEST(Load, InASurgeTheUrgentAreServedFirst)
{
	Totals s = replay(load::three_kinds, "surge 3");

	EXPECT_LT(0.985, s.share("write", &load::Count::in_time));
	EXPECT_GT(0.002, s.share("write", &load::Count::unserved));
	/* This costs the other kinds little. */
	EXPECT_LT(0.88, s.share("view", &load::Count::in_time));
	EXPECT_LT(0.82, s.share("pull", &load::Count::in_time));
	EXPECT_LT(0.92, s.worth);
}

TEST(Load, InASurgeTheUrgentAreServedWithoutLoadReportsToo)
{
	Totals s = replay(load::three_kinds, "mute, surge 1.7");

	EXPECT_LT(0.70, s.share("write", &load::Count::in_time));
	EXPECT_GT(0.02, s.share("write", &load::Count::unserved));
}

/* Requests refused in a surge are retried and served once capacity is free. */
TEST(Load, RequestsRefusedInASurgeAreServedLater)
{
	Totals three = replay(load::three_kinds, "surge 3");
	Totals one = replay(load::one_kind, "surge 3");

	EXPECT_GT(0.02, three.unserved());
	EXPECT_GT(0.125, one.unserved());
	EXPECT_LT(0.80, one.worth);
}

TEST(Load, AfterALossOfAllBoxesCallersAreServedThoughLate)
{
	Totals three = replay(load::three_kinds, "dark");
	Totals one = replay(load::one_kind, "dark");

	EXPECT_GT(0.01, three.unserved());
	EXPECT_GT(0.04, one.unserved());
	EXPECT_LT(0.88, three.worth);
	EXPECT_LT(0.88, one.worth);
}

/*
 * Once the owners know of an evacuation, no request starts in that hall,
 * neither a new one nor a retry or a moved one.  The other halls take over its
 * load.
 */
TEST(Load, AnEvacuatedHallGetsNothingAndItsLoadIsServedElsewhere)
{
	struct {
		const char *name;
		double unserved;
	} cases[] = {
	    {"a hall evacuated under load, back cold", 0.01},
	    /* For a second one hall of three serves all requests. */
	    {"two halls evacuated, one in the other's load", 0.03},
	};

	for (auto &c : cases)
		for (auto setting : {load::one_kind, load::three_kinds}) {
			Totals s = replay(setting, c.name);

			EXPECT_EQ(0, s.sent_evacuated) << c.name;
			EXPECT_GT(c.unserved, s.unserved()) << c.name;
		}
}

/*
 * Servers refuse requests at random although they have free capacity.  A
 * request that two of them refused is still in time if it is retried at once.
 */
TEST(Load, RequestsRefusedAtRandomAreRetriedInTime)
{
	Totals s = replay(load::two_slots, "half turned away at random");

	EXPECT_LT(0.955, s.worth);
	EXPECT_GT(0.022, static_cast<double>(s.all.late) / s.all.asked);
}

/*
 * The retry budget allows less than one second attempt for each request.  If it
 * is spent on requests whose callers have no retry left, a request stays
 * unserved only after four refusals in a row: three calls and one second
 * attempt.
 */
TEST(Load, RetriedRequestsGoFirstIfTheBudgetIsShort)
{
	const char *name = "most turned away at random, with room";

	for (auto setting : {load::three_kinds, load::one_kind}) {
		Totals s = replay(setting, name);

		EXPECT_GT(std::pow(0.55, 4) * 8500 / 14000, s.unserved());
	}
}

/*
 * If no server of a hall answers, its requests are forwarded to other halls at
 * once.  When they were queued until their deadline they were refused two
 * seconds late.
 */
TEST(Load, RequestsOfASilentHallAreServedElsewhere)
{
	Totals three =
	    replay(load::three_kinds, "a hall's servers silent under load");
	Totals one =
	    replay(load::one_kind, "a hall's servers silent under load");

	EXPECT_LT(0.965, three.worth);
	EXPECT_LT(0.935, one.worth);
	EXPECT_GT(0.01, three.unserved());
	for (Totals *s : {&three, &one})
		EXPECT_GT(400, s->all.refused_ms / std::max(s->all.refused, 1));
}

/*
 * Cold servers must not be overloaded by a hall that returns in a surge, by
 * retries of attempts that were reset, by owners that move, or by all of these.
 * No server falls over, and the requests are served elsewhere or later.
 */
TEST(Load, AColdServerIsNotOverloaded)
{
	for (auto name : {"evacuated, back cold in a surge, bounded",
		 "a hall down and back cold, homes move",
		 "replaced by cold ones that break off, bounded",
		 "all dark, servers too, back cold, bounded"})
		for (auto setting : {load::one_kind, load::three_kinds}) {
			Totals s = replay(setting, name);

			EXPECT_GE(11, s.worst_cold) << name;
			EXPECT_LT(0, s.worst_cold) << name;
			EXPECT_EQ(0, s.fell_over) << name;
		}
}

/*
 * The dispatcher comes within a tenth of a reference with perfect knowledge, or
 * within the bound of a pattern that has its own.
 */
TEST(Load, NoPatternFallsFarBehindTheReference)
{
	for (auto &p : load::patterns()) {
		if (!p.tells)
			continue;
		for (auto setting : {load::one_kind, load::three_kinds}) {
			Totals s = replay(setting, p.name);

			EXPECT_LT(s.reference - p.far, s.worth) << p.name;
		}
	}
}
