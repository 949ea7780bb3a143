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
 * How well the dispatcher decides which requests wait for a slot and which are
 * refused, by replay of the load patterns of load.h, and unit tests of wait.h.
 */
#include <gtest/gtest.h>

#include "load.h"

namespace
{

constexpr uint64_t SEEDS = 4;

struct Service {
	const char *name;
	load::Setting (*setting)(uint64_t);
};

const Service services[] = {{"three kinds", load::three_kinds},
    {"one kind", load::one_kind}, {"two slots", load::two_slots}};

load::Waits
replay(load::Setting (*setting)(uint64_t), const load::Pattern &p)
{
	load::Waits sum;

	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		sum.add(load::run(setting(seed), p).waits);
	return sum;
}

double
share(int part, int all)
{
	return all == 0 ? 0 : static_cast<double>(part) / all;
}

void
print(const char *service, const std::string &pattern, const load::Waits &w)
{
	printf("%s, %s: let wait %d, too late %.4f; refused %d, avoidable "
	       "%.4f; at deadline %d\n",
	    service, pattern.c_str(), w.let_wait, share(w.too_late, w.let_wait),
	    w.refused, share(w.avoidable, w.refused), w.at_deadline);
}

} // namespace

/*
 * Requests that were let wait started too late, and others were refused while
 * slots were left: the expected wait was never compared with the real one.
 */
TEST(Waits, FewWaitInVainOrAreRefusedInVain)
{
	for (auto &s : services) {
		load::Waits all;

		for (auto &p : load::patterns()) {
			load::Waits w = replay(s.setting, p);

			print(s.name, p.name, w);
			all.add(w);
		}
		print(s.name, "all patterns", all);
		EXPECT_GE(0.03, share(all.too_late, all.let_wait)) << s.name;
		EXPECT_GE(0.03, share(all.avoidable, all.refused)) << s.name;
	}
}

/*
 * After a start of all boxes the learned limit fell to 3 of 6 slots in a surge,
 * as samples of servers that were cold or met a slow period were used.  Four of
 * the slots cost nothing here.
 */
TEST(Waits, ColdAndSlowServersDoNotLowerTheLearnedLimit)
{
	const load::Pattern patterns[] = {
	    {"started", {{load::Event::SURGE, 0, 6000, 1.7}}},
	    {"restarted",
		{{load::Event::DARK, 3000, 4300},
		    {load::Event::SURGE, 4300, 9000, 1.7}}},
	    {"restarted with cold servers",
		{{load::Event::DARK, 3000, 4300},
		    {load::Event::RETURN, 3000, 4300},
		    {load::Event::SURGE, 4300, 9000, 1.7}}},
	};

	for (auto &p : patterns)
		EXPECT_LE(4, replay(load::six_slots, p).lowest_limit) << p.name;
}
