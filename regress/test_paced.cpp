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
#include <set>

#include "disp_world.h"

using disp_world::Req;
using disp_world::World;

/*
 * Unit tests of the dispatcher with the policy "pace", which queries backend
 * servers for their load and chooses by their latency factor (100: usual).
 */

namespace
{

/*
 * A dispatcher whose n backend servers are warm, after requests with a target
 * of 100 ms that took 20 ms each.
 */
struct Paced : World {
	explicit Paced(int n) : World("pace")
	{
		backends(n, 3);
		for (int i = 0; i < 12 * n; i++) {
			Req r;

			answer(100);
			aim(&r);
			answer(100);
			now += 20 * NS_MS;
			if (r.d.backend != nullptr)
				done(&r, DISP_OK);
			now += NS_S;
		}
		asked.clear();
	}

	Req *aim(Req *r, bool repeatable = true, int attempts = 2,
	    int64_t target_ms = 100)
	{
		r->d.target = now + target_ms * NS_MS;
		r->d.kind = 1;
		r->d.max_attempts = attempts;
		return arrive(r, 400, CLASS_INTERACTIVE, repeatable);
	}

	/* Answers all open load queries with the given latency factor. */
	void answer(int pace)
	{
		std::vector<std::string> names;

		names.swap(asked);
		for (auto &b : names)
			disp_load_query_done(
			    disp, str_n(b.data(), b.size()), true, 0, 0, pace);
	}
};

} // namespace

TEST(Paced, ARequestWaitsForAFastServerButNotTooLong)
{
	Paced w(3);
	Req r;

	w.aim(&r);
	EXPECT_EQ(nullptr, r.d.backend);
	EXPECT_EQ(3u, w.asked.size());
	w.answer(500);
	EXPECT_EQ(nullptr, r.d.backend);
	w.now += 15 * NS_MS;
	disp_tick(w.disp);
	EXPECT_FALSE(w.asked.empty()); /* new load queries */
	w.answer(100);
	ASSERT_NE(nullptr, r.d.backend);
	w.now += 20 * NS_MS;
	w.done(&r, DISP_OK);

	/*
	 * If all servers stay slow, it starts while it can still meet its
	 * target.
	 */
	Req late;
	int64_t began = w.now += NS_S;
	w.aim(&late);
	while (late.d.backend == nullptr && w.now < began + NS_S) {
		w.answer(500);
		w.now += 5 * NS_MS;
		disp_tick(w.disp);
	}
	ASSERT_NE(nullptr, late.d.backend);
	EXPECT_GT(w.now - began, 40 * NS_MS);
	EXPECT_LT(w.now - began, 100 * NS_MS);
	w.done(&late, DISP_OK);
}

TEST(Paced, ASlowAttemptIsMovedIfAllowedAndInTime)
{
	Paced w(3);
	Req r, pay;
	struct pick_backend *first;

	/*
	 * 500 reports of a latency factor of 500 teach the policy that a slow
	 * period multiplies the 20 ms by five.
	 */
	for (int i = 0; i < 500; i++)
		disp_load_query_done(w.disp, STR_LIT("b0"), true, 0, 0, 500);
	w.now += NS_S;
	w.aim(&r, true, 2, 80);
	w.answer(100);
	w.aim(&pay, false, 2, 80);
	w.answer(100);
	ASSERT_NE(nullptr, r.d.backend);
	ASSERT_NE(nullptr, pay.d.backend);
	first = r.d.backend;
	w.now += 25 * NS_MS;
	disp_tick(w.disp);
	w.answer(100);
	EXPECT_EQ(first, r.d.backend); /* not overdue yet */
	w.now += 16 * NS_MS;
	disp_tick(w.disp);
	w.answer(100);
	EXPECT_NE(first, r.d.backend);
	EXPECT_EQ(2, r.sends);
	EXPECT_EQ(1, pay.sends);
	/* Its rule allows two attempts. */
	w.now += 50 * NS_MS;
	disp_tick(w.disp);
	w.answer(100);
	EXPECT_EQ(2, r.sends);
	w.done(&r, DISP_OK);
	w.done(&pay, DISP_OK);
}

TEST(Paced, NoMoreAttemptsThanItsRuleAllows)
{
	Paced w(4);
	Req r;

	w.aim(&r, true, 2);
	w.answer(100);
	EXPECT_TRUE(w.done(&r, DISP_REFUSED));
	w.answer(100);
	ASSERT_NE(nullptr, r.d.backend);
	EXPECT_FALSE(w.done(&r, DISP_REFUSED));
	EXPECT_EQ(2, r.sends);
}

TEST(Paced, ARequestThatWouldBeLateIsRefusedAtOnce)
{
	Paced w(1);
	std::vector<Req> r(60);
	int refused = 0;

	for (auto &q : r) {
		w.aim(&q);
		w.answer(100);
		refused += q.kind == ERR_BUSY;
	}
	/* Three slots serve about 15 requests of 20 ms within 100 ms. */
	EXPECT_GE(refused, 35);
	EXPECT_LE(refused, 55);
	for (auto &q : r)
		if (q.d.queued)
			disp_cancel(w.disp, &q.d);
	for (auto &q : r)
		if (q.d.backend != nullptr)
			w.done(&q, DISP_CANCELED);
}

/*
 * Rank goes before the order of arrival and the deadline: a request of a lower
 * rank number starts first although it came later and has a later deadline.
 */
TEST(Paced, TheMoreUrgentRequestStartsFirst)
{
	Paced w(1);
	std::vector<Req> full(3);
	Req common, urgent;

	for (auto &q : full) {
		w.aim(&q);
		w.answer(100);
	}
	common.d.rank = 2;
	urgent.d.rank = 1;
	w.aim(&common, true, 2, 90);
	urgent.d.target = w.now + 100 * NS_MS;
	urgent.d.kind = 1;
	w.arrive(&urgent, 2000);
	w.answer(100);
	ASSERT_TRUE(common.d.queued);
	ASSERT_TRUE(urgent.d.queued);
	w.now += 20 * NS_MS;
	for (auto &q : full)
		if (q.d.backend != nullptr && common.d.queued &&
		    urgent.d.queued) {
			w.done(&q, DISP_OK);
			w.answer(100);
		}
	EXPECT_NE(nullptr, urgent.d.backend);
	EXPECT_EQ(nullptr, common.d.backend);
	for (auto &q : {&full[0], &full[1], &full[2], &common, &urgent})
		if (q->d.backend != nullptr)
			w.done(q, DISP_CANCELED);
		else if (q->d.queued)
			disp_cancel(w.disp, &q->d);
}

/*
 * A request whose deadline passes while more urgent ones with later deadlines
 * are queued before it must still be ended at its deadline.
 */
TEST(Paced, ARequestThatExpiresBehindMoreUrgentOnesEndsInTime)
{
	Paced w(1);
	std::vector<Req> full(3), urgent(2);
	Req common;

	for (auto &q : full) {
		w.aim(&q);
		w.answer(100);
	}
	for (auto &q : urgent) {
		q.d.rank = 1;
		w.arrive(&q, 9000);
	}
	common.d.rank = 2;
	w.arrive(&common, 400);
	ASSERT_TRUE(common.d.queued);
	w.now += 400 * NS_MS;
	disp_tick(w.disp);
	EXPECT_EQ(ERR_DEADLINE, common.kind);
	EXPECT_TRUE(urgent[0].d.queued && urgent[1].d.queued);
	for (auto &q : urgent)
		disp_cancel(w.disp, &q.d);
	for (auto &q : full)
		if (q.d.backend != nullptr)
			w.done(&q, DISP_CANCELED);
}

TEST(Paced, NoSlotIsLeftIdleWhileALateRequestWaits)
{
	Paced w(2);
	Req r;

	r.d.target = w.now + 100 * NS_MS;
	r.d.kind = 1;
	w.now += 95 * NS_MS; /* it can no longer meet its target */
	w.arrive(&r, 300);
	EXPECT_NE(nullptr, r.d.backend);
	w.done(&r, DISP_OK);
}

TEST(Paced, RequestsOfALostOwnerAreChargedOnce)
{
	Paced w(2);
	int sent = 0;

	/* Received from an owner that was lost; no retry budget charged. */
	for (int i = 0; i < 40; i++) {
		Req r;

		r.d.attempt_count = 1;
		w.aim(&r, true, 3);
		w.answer(100);
		sent += r.d.backend != nullptr;
		if (r.d.backend != nullptr)
			w.done(&r, DISP_CANCELED);
	}
	EXPECT_GT(sent, 0);
	EXPECT_LT(sent, 30);
	/* A request that another owner moved here was charged there. */
	Req paid;
	paid.d.attempt_count = 1;
	paid.d.budget_charged = true;
	w.aim(&paid, true, 3);
	w.answer(100);
	EXPECT_NE(nullptr, paid.d.backend);
	w.done(&paid, DISP_CANCELED);
}

TEST(Paced, AServerThatReportsNoLoadIsQueriedOnce)
{
	World w("pace");
	Req r, next;

	w.backends(2, 3);
	r.d.target = w.now + 100 * NS_MS;
	w.arrive(&r, 400);
	EXPECT_EQ(2u, w.asked.size());
	for (auto &b : std::vector<std::string>(w.asked))
		disp_load_query_done(
		    w.disp, str_n(b.data(), b.size()), true, 0, 0, 0);
	EXPECT_NE(nullptr, r.d.backend);
	w.asked.clear();
	w.now += NS_S;
	next.d.target = w.now + 100 * NS_MS;
	w.arrive(&next, 400);
	EXPECT_TRUE(w.asked.empty());
	EXPECT_NE(nullptr, next.d.backend);
	w.done(&r, DISP_OK);
	w.done(&next, DISP_OK);
}

TEST(Paced, AServerThatReportsNoLoadIsRatedByItsServiceTimes)
{
	World w("pace");
	int there = 0;

	w.backends(2, 3);
	for (int i = 0; i < 60; i++) {
		Req r;

		for (auto &b : std::vector<std::string>(w.asked))
			disp_load_query_done(
			    w.disp, str_n(b.data(), b.size()), true, 0, 0, 0);
		w.asked.clear();
		r.d.target = w.now + 300 * NS_MS;
		r.d.kind = 1;
		w.arrive(&r, 1000);
		for (auto &b : std::vector<std::string>(w.asked))
			disp_load_query_done(
			    w.disp, str_n(b.data(), b.size()), true, 0, 0, 0);
		ASSERT_NE(nullptr, r.d.backend);
		bool slow = str_eq(r.d.backend->name, STR_LIT("b0"));

		there += slow && i >= 20;
		w.now += (slow ? 80 : 20) * NS_MS;
		w.done(&r, DISP_OK);
	}
	EXPECT_LT(there, 8);
}

/*
 * A new owner of the shard does not know which backend servers are cold.  A
 * request that is too late to wait for a load query must not be sent to one
 * before that is known.
 */
TEST(Paced, ANewOwnerSendsNothingBeforeItKnowsWhichServersAreCold)
{
	World w("pace");
	struct disp_params p = {};
	std::vector<Req> r(8);

	p.policy = pick_by_name(STR_LIT("pace"));
	p.chart = w.chart;
	p.queue_max = 100;
	p.bulk_percent = 40;
	p.cold = {3.75, 4, 3 * NS_S};
	disp_configure(w.disp, &p);
	w.backends(2, 3);
	EXPECT_EQ(2u, w.asked.size());
	for (auto &q : r) {
		q.d.target = w.now - NS_MS;
		q.d.kind = 1;
		w.arrive(&q, 400);
		EXPECT_EQ(nullptr, q.d.backend);
	}
	/* b0 is warm and gets them at once; b1 is cold, at a low rate. */
	disp_cold_reported(w.disp, STR_LIT("b0"), 0);
	disp_load_query_done(w.disp, STR_LIT("b0"), true, 0, 0, 100);
	disp_cold_reported(w.disp, STR_LIT("b1"), 3 * NS_S);
	disp_load_query_done(w.disp, STR_LIT("b1"), true, 0, 0, 100);
	size_t sent = 0;
	for (auto &q : r) {
		sent += q.d.backend != nullptr;
		EXPECT_TRUE(q.d.backend == nullptr ||
		    str_eq(q.d.backend->name, STR_LIT("b0")));
	}
	EXPECT_LT(0u, sent);
	/* An unreachable server may have restarted cold: it is queried. */
	w.asked.clear();
	w.now += 60 * NS_MS;
	for (auto &q : r)
		if (q.d.backend != nullptr) {
			w.done(&q, DISP_CONNECT_FAILED);
			break;
		}
	disp_tick(w.disp);
	EXPECT_EQ(std::vector<std::string>{"b0"}, w.asked);
	for (auto &q : r)
		if (q.d.queued)
			disp_cancel(w.disp, &q.d);
	for (auto &q : r)
		if (q.d.backend != nullptr)
			w.done(&q, DISP_CANCELED);
}

/*
 * When hundreds of backend servers of a hall stop answering, the owner limits
 * its load queries: 32 at once, 600 a second.  All servers are queried in turn.
 */
TEST(Paced, LoadQueriesAreLimitedAndReachAllServers)
{
	const int n = 200;
	World w("pace");
	struct disp_params p = {};
	std::set<std::string> all;
	size_t most = 0, asked = 0;

	p.policy = pick_by_name(STR_LIT("pace"));
	p.chart = w.chart;
	p.cold = {3.75, 4, 3 * NS_S};
	disp_configure(w.disp, &p);
	w.backends(n, 2);
	/* At the start each reply allows the next query, without a tick. */
	while (!w.asked.empty() && all.size() < n) {
		most = std::max(most, w.asked.size());
		std::string b = w.asked.front();
		w.asked.erase(w.asked.begin());
		all.insert(b);
		disp_cold_reported(w.disp, str_c(b.c_str()), 0);
		disp_load_query_done(w.disp, str_c(b.c_str()), true, 0, 0, 100);
	}
	EXPECT_EQ(static_cast<size_t>(n), all.size());
	EXPECT_GE(32u, most);
	/* For ten seconds no server answers. */
	all.clear();
	w.asked.clear();
	for (int i = 0; i < n; i++)
		for (int k = 0; k < 2; k++)
			disp_load_query_done(w.disp,
			    str_c(("b" + std::to_string(i)).c_str()), false, 0,
			    0, 0);
	most = w.asked.size();
	for (int t = 0; t < 1000; t++) {
		w.now += 10 * NS_MS;
		disp_tick(w.disp);
		most = std::max(most, w.asked.size());
		if (t % 6 != 5)
			continue;
		std::vector<std::string> out;
		out.swap(w.asked);
		asked += out.size();
		for (auto &b : out) {
			all.insert(b);
			disp_load_query_done(
			    w.disp, str_c(b.c_str()), false, 0, 0, 0);
		}
	}
	EXPECT_EQ(static_cast<size_t>(n), all.size());
	EXPECT_GE(32u, most);
	EXPECT_GE(600u, asked / 10); /* a second */
}

TEST(Paced, AServerThatDoesNotAnswerIsChosenLast)
{
	Paced w(2);
	Req r;

	w.aim(&r);
	ASSERT_EQ(2u, w.asked.size());
	std::string silent = w.asked[0], good = w.asked[1];
	disp_load_query_done(
	    w.disp, str_n(silent.data(), silent.size()), false, 0, 0, 0);
	disp_load_query_done(
	    w.disp, str_n(good.data(), good.size()), true, 0, 0, 100);
	ASSERT_NE(nullptr, r.d.backend);
	EXPECT_EQ(good, std::string(r.d.backend->name.p, r.d.backend->name.n));
	w.done(&r, DISP_OK);
}

/*
 * Where all backend servers reported a rate limit the waiting time is known: a
 * request that would miss its target is refused at once.
 */
TEST(Paced, ARequestThatARateLimitMakesLateIsRefusedAtOnce)
{
	Paced w(1);
	Req r[4];

	w.aim(&r[0]);
	w.answer(100);
	ASSERT_NE(nullptr, r[0].d.backend);
	/* At 20 a second the next may start in 50 ms, another in 100. */
	EXPECT_TRUE(
	    disp_quota_reported(w.disp, r[0].d.backend, 20, r[0].d.sent_at));
	w.now += 20 * NS_MS;
	w.done(&r[0], DISP_OK);
	w.aim(&r[1]);
	w.aim(&r[2]);
	EXPECT_TRUE(r[1].d.queued);
	EXPECT_TRUE(r[2].ended);
	EXPECT_EQ(ERR_BUSY, r[2].kind);
	w.now += 25 * NS_MS;
	disp_tick(w.disp);
	EXPECT_TRUE(r[1].d.queued);
	w.now += 10 * NS_MS;
	disp_tick(w.disp);
	w.answer(100);
	ASSERT_NE(nullptr, r[1].d.backend);
	EXPECT_EQ(VIOLATION_NONE, r[1].d.violation);
	w.now += 20 * NS_MS;
	w.done(&r[1], DISP_OK);
	/* A lower limit makes a queued request late: it is refused. */
	w.aim(&r[3], true, 2, 60);
	EXPECT_TRUE(r[3].d.queued);
	EXPECT_TRUE(disp_quota_reported(
	    w.disp, disp_find_backend(w.disp, STR_LIT("b0")), 2, 0));
	w.now += 85 * NS_MS;
	disp_tick(w.disp);
	EXPECT_TRUE(r[3].ended);
	EXPECT_EQ(ERR_BUSY, r[3].kind);
}

/*
 * While all backend servers pause (Retry-After), a request is queued if the
 * pause ends early enough for its target, and is refused otherwise.
 */
TEST(Paced, ARequestInAPauseIsQueuedIfItCanBeServedInTime)
{
	Paced w(2);
	Req r[4];

	for (const char *b : {"b0", "b1"})
		EXPECT_TRUE(disp_pause_reported(
		    w.disp, disp_find_backend(w.disp, str_c(b)), 50 * NS_MS));
	w.aim(&r[0]);
	EXPECT_TRUE(r[0].d.queued);
	w.now += 45 * NS_MS;
	disp_tick(w.disp);
	EXPECT_TRUE(r[0].d.queued);
	w.now += 10 * NS_MS;
	disp_tick(w.disp);
	w.answer(100);
	ASSERT_NE(nullptr, r[0].d.backend);
	w.now += 20 * NS_MS;
	w.done(&r[0], DISP_OK);
	/* A shorter pause does not cut a longer one that was reported. */
	for (const char *b : {"b0", "b1"}) {
		EXPECT_TRUE(disp_pause_reported(
		    w.disp, disp_find_backend(w.disp, str_c(b)), 3 * NS_S));
		EXPECT_FALSE(disp_pause_reported(
		    w.disp, disp_find_backend(w.disp, str_c(b)), 10 * NS_MS));
	}
	w.now += 20 * NS_MS;
	w.aim(&r[1]);
	EXPECT_TRUE(r[1].ended);
	EXPECT_EQ(ERR_BUSY, r[1].kind);
	/* No load queries in a pause; one server is enough to end it. */
	EXPECT_TRUE(w.asked.empty());
	w.now += 3 * NS_S;
	EXPECT_TRUE(disp_pause_reported(
	    w.disp, disp_find_backend(w.disp, STR_LIT("b0")), 3 * NS_S));
	w.aim(&r[2]);
	w.answer(100);
	ASSERT_NE(nullptr, r[2].d.backend);
	EXPECT_TRUE(str_eq(r[2].d.backend->name, STR_LIT("b1")));
	w.now += 20 * NS_MS;
	w.done(&r[2], DISP_OK);
}
