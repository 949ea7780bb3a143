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

#include "disp_world.h"
#include "load.h"

extern "C" {
#include "refusal.h"
#include "wait.h"
}

using disp_world::Req;
using disp_world::World;

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

/* Replays all patterns, once for each service, and prints the figures. */
load::Waits
replay_all(const Service &s)
{
	static std::map<std::string, load::Waits> done;
	load::Waits all;

	if (done.count(s.name) > 0)
		return done[s.name];
	for (auto &p : load::patterns()) {
		load::Waits w = replay(s.setting, p);

		print(s.name, p.name, w);
		all.add(w);
	}
	print(s.name, "all patterns", all);
	return done[s.name] = all;
}

/*
 * A dispatcher with one warm server of one slot, for requests that take 20 ms.
 */
struct OneSlot : World {
	OneSlot() : World("pace")
	{
		set_backends(1, 1);
		for (int i = 0; i < 12; i++) {
			Req r;

			submit(&r, 100, 400);
			end(&r, 20);
			now += NS_S;
		}
		trace.clear();
	}

	Req *submit(Req *r, int64_t target_ms, int64_t deadline_ms)
	{
		report();
		r->d.target = now + target_ms * NS_MS;
		r->d.kind = 1;
		r->d.max_attempts = 2;
		arrive(r, deadline_ms);
		report();
		return r;
	}

	void end(Req *r, int64_t after_ms, enum disp_outcome how = DISP_OK)
	{
		now += after_ms * NS_MS;
		report();
		if (r->d.backend != nullptr)
			end_attempt(r, how);
		report();
	}

	/* The server reports the usual speed. */
	void report()
	{
		load_queries.clear();
		disp_load_query_done(disp, STR_LIT("b0"), true, 0, 0, 100);
	}
};

} // namespace

/* An estimate that proves too low is corrected, and too high again later. */
TEST(Waits, ARatioIsLearnedAndForgotten)
{
	struct wait_ratio w = {};
	int64_t now = NS_S;

	EXPECT_EQ(100 * NS_MS, wait_expected(&w, 100 * NS_MS, now));
	EXPECT_EQ(100 * NS_MS, wait_bound(&w, 100 * NS_MS, now));
	for (int i = 0; i < 200; i++)
		wait_learn(&w, 100 * NS_MS, 200 * NS_MS, false, now += NS_MS);
	EXPECT_NEAR(200, wait_expected(&w, 100 * NS_MS, now) / NS_MS, 5);
	EXPECT_GE(wait_bound(&w, 100 * NS_MS, now),
	    wait_expected(&w, 100 * NS_MS, now));
	/* Short waits are compared with a floor. */
	EXPECT_LT(wait_expected(&w, 0, now), 15 * NS_MS);
	now += 20 * NS_S;
	EXPECT_NEAR(100, wait_expected(&w, 100 * NS_MS, now) / NS_MS, 1);
}

/* A request that still waits counts only if it waits longer than expected. */
TEST(Waits, AWaitThatHasNotEndedIsALowerBound)
{
	struct wait_ratio w = {}, before;
	int64_t now = NS_S;

	for (int i = 0; i < 50; i++)
		wait_learn(&w, 100 * NS_MS, 100 * NS_MS, false, now += NS_MS);
	before = w;
	wait_learn(&w, 100 * NS_MS, 50 * NS_MS, true, now);
	EXPECT_EQ(before.mean, w.mean);
	wait_learn(&w, 100 * NS_MS, 300 * NS_MS, true, now);
	EXPECT_LT(before.mean, w.mean);
	EXPECT_LT(before.high, w.high);
}

/* The end of a surge is noticed: the rate follows within about a second. */
TEST(Waits, ARateCountsOnlyTimeWithWaitingRequests)
{
	struct wait_rate r = {};
	int64_t now = NS_S;

	EXPECT_EQ(50, wait_rate_get(&r, 50));
	for (int i = 0; i < 200; i++, now += 10 * NS_MS)
		wait_rate_update(&r, true, now);
	EXPECT_GT(2, wait_rate_get(&r, 50));
	for (int i = 0; i < 300; i++, now += 10 * NS_MS) {
		wait_rate_update(&r, true, now);
		wait_rate_start(&r);
	}
	EXPECT_NEAR(100, wait_rate_get(&r, 50), 10);
	wait_rate_update(&r, false, now);
	wait_rate_update(&r, false, now + 20 * NS_S);
	EXPECT_NEAR(50, wait_rate_get(&r, 50), 1);
}

/* Less urgent requests wait longer by what the more urgent ones take. */
TEST(Waits, TheRateOfMoreUrgentRequestsIsKnownByRank)
{
	struct wait_mix m = {};
	int64_t now = NS_S;

	EXPECT_EQ(0, wait_mix_urgent(&m, 3, now));
	for (int i = 0; i < 300; i++, now += 10 * NS_MS)
		wait_mix_start(&m, i % 2 == 0 ? 1 : 2, now);
	EXPECT_EQ(0, wait_mix_urgent(&m, 1, now));
	EXPECT_NEAR(50, wait_mix_urgent(&m, 2, now), 3);
	EXPECT_NEAR(100, wait_mix_urgent(&m, 3, now), 5);
	EXPECT_NEAR(100, wait_mix_urgent(&m, 1000, now), 5);
	EXPECT_NEAR(0, wait_mix_urgent(&m, 3, now + 10 * NS_S), 1);
}

TEST(Waits, ACallerIsOnTimeFromTheTimeItWasTold)
{
	struct refusals *r = refusals_new(3);
	struct fprint a = {1, 2, 3}, other = {4, 5, 6};

	refusals_record_refusal(r, a, NS_S, NS_S);
	EXPECT_FALSE(refusals_is_on_time(r, a, 2 * NS_S));
	refusals_set_retry_at(r, a, NS_S + 100 * NS_MS);
	refusals_set_retry_at(r, other, NS_S);
	EXPECT_FALSE(refusals_is_on_time(r, a, NS_S + 99 * NS_MS));
	EXPECT_TRUE(refusals_is_on_time(r, a, NS_S + 100 * NS_MS));
	EXPECT_FALSE(refusals_is_on_time(r, other, 2 * NS_S));
	EXPECT_FALSE(refusals_is_on_time(r, a, NS_S + REFUSALS_TTL_NS + NS_MS));
	refusals_consume(r, a, NS_S + 100 * NS_MS);
	EXPECT_FALSE(refusals_is_on_time(r, a, NS_S + 100 * NS_MS));
	refusals_free(r);
}

/*
 * A request that returned as told waited behind new ones with less time left,
 * as any other, and so could be refused again and again.
 */
TEST(Waits, ARequestThatReturnsAsToldIsServedBeforeNewOnes)
{
	for (bool on_time : {true, false}) {
		OneSlot w;
		Req busy, fresh, back;

		w.submit(&busy, 100, 400);
		ASSERT_NE(nullptr, busy.d.backend);
		w.submit(&fresh, 200, 800);
		EXPECT_TRUE(fresh.d.queued);
		back.d.previously_refused = true;
		back.d.returned_on_time = on_time;
		w.submit(&back, 250, 800);
		EXPECT_TRUE(back.d.queued);
		w.end(&busy, 20);
		EXPECT_EQ(on_time, back.d.backend != nullptr);
		EXPECT_EQ(!on_time, fresh.d.backend != nullptr);
		w.end(&back, 20);
		w.end(&fresh, 20);
		w.end(&back, 20);
	}
}

/* It may also wait if it is late, but only if it came as told. */
TEST(Waits, ALateRequestWaitsOnlyIfItReturnsAsTold)
{
	for (bool on_time : {true, false}) {
		OneSlot w;
		Req busy, back;

		w.submit(&busy, 100, 400);
		back.d.previously_refused = true;
		back.d.returned_on_time = on_time;
		w.submit(&back, 10, 800);
		EXPECT_EQ(on_time, back.d.queued);
		EXPECT_EQ(!on_time, back.ended);
		w.end(&busy, 20);
		w.end(&back, 20);
	}
}

/*
 * A late request was held until shortly before its deadline while those in time
 * took all slots.  It is refused when that is known.
 */
TEST(Waits, ALateRequestThatGetsNoSlotIsRefusedBeforeItsDeadline)
{
	OneSlot w;
	Req busy, back[2];
	int64_t began;

	w.submit(&busy, 100, 60000);
	for (Req &r : back) {
		r.d.previously_refused = r.d.returned_on_time = true;
		w.submit(&r, 10, 2000);
		ASSERT_TRUE(r.d.queued);
	}
	began = w.now;
	while (w.now < began + 2 * NS_S && !back[1].ended) {
		w.now += 10 * NS_MS;
		w.report();
		disp_tick(w.disp);
	}
	EXPECT_TRUE(back[1].ended);
	EXPECT_EQ(ERR_BUSY, back[1].kind);
	EXPECT_GT(began + 1500 * NS_MS, w.now);
	disp_cancel(w.disp, &back[0].d);
	w.end(&busy, 20);
}

/*
 * Late requests took the retry budget from those that a retry could still
 * complete in time.
 */
TEST(Waits, TheRetryBudgetGoesFirstToRequestsThatCanBeInTime)
{
	OneSlot w;
	/* The budget starts with five tokens, a quarter of its size. */
	Req in_time[4], late[2];

	for (Req &r : in_time) {
		w.submit(&r, 100, 400);
		ASSERT_NE(nullptr, r.d.backend);
		w.now += NS_MS;
		EXPECT_TRUE(w.end_attempt(&r, DISP_REFUSED));
		w.now += 20 * NS_MS;
		disp_tick(w.disp);
		w.end(&r, 1);
		w.now += 20 * NS_MS;
	}
	w.submit(&late[0], 10, 400);
	ASSERT_NE(nullptr, late[0].d.backend);
	EXPECT_FALSE(disp_can_retry(w.disp, &late[0].d, DISP_REFUSED));
	w.end(&late[0], 1);
	/* Without requests that can be in time a late one gets what is left. */
	w.now += 2 * NS_S;
	w.submit(&late[1], 10, 400);
	ASSERT_NE(nullptr, late[1].d.backend);
	EXPECT_TRUE(disp_can_retry(w.disp, &late[1].d, DISP_REFUSED));
	w.end(&late[1], 1);
}

/*
 * Requests that were let wait started too late, as the expected wait was never
 * compared with the real one, and some were held until their deadlines.
 */
TEST(Waits, FewWaitInVain)
{
	for (auto &s : services) {
		load::Waits all = replay_all(s);

		EXPECT_GE(0.03, share(all.too_late, all.let_wait)) << s.name;
		EXPECT_EQ(0, all.at_deadline) << s.name;
	}
}

/*
 * Requests were refused although slots were left idle or were given to late or
 * less urgent ones.
 */
TEST(Waits, FewAreRefusedInVain)
{
	for (auto &s : services) {
		load::Waits all = replay_all(s);

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
