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
#include <algorithm>
#include <climits>
#include <cmath>
#include <csignal>
#include <gtest/gtest.h>
#include <set>

#include "box.h"

extern "C" {
#include "quota.h"
#include "report.h"
}

/*
 * Tests of what backend servers report of themselves in their responses: a rate
 * limit, that they are leaving, and a Retry-After pause.
 */

using box::World;

namespace
{

/* Clients that send requests to the boxes in turn, at a given rate. */
struct Callers {
	std::vector<std::string>
	    boxes; /* addresses of the boxes that receive requests */
	std::map<int, int> answers; /* by status; 0: no response */
	size_t asked = 0, answered = 0;
	double slowest_refusal_ms = 0;

	explicit Callers(const std::vector<std::string> &to) : boxes(to)
	{
	}

	/*
	 * The callbacks of requests in flight refer to this object, so wait for
	 * them.
	 */
	~Callers()
	{
		finish();
	}

	void ask(const std::string &path)
	{
		std::string id = "c" + std::to_string(++asked);
		double from = now_ms();

		http_start("GET", boxes[asked % boxes.size()], path,
		    {{"Host", "shop.example"}, {"fernjunction-request-id", id},
			{"fernjunction-deadline-ms", "800"}},
		    "", 2000, [this, from](const Reply &r) {
			    answers[r.status]++;
			    answered++;
			    if (r.status == 503)
				    slowest_refusal_ms = std::max(
					slowest_refusal_ms, now_ms() - from);
		    });
	}

	void ask_for(int ms, int a_second)
	{
		int gap = 1000 / a_second;

		for (double end = now_ms() + ms; now_ms() < end;) {
			ask("/look/1?ms=60");
			pump(gap);
		}
	}

	bool finish()
	{
		return until([this] { return answered == asked; }, 3000);
	}
};

/*
 * Returns the largest number of arrivals at or after from within any period of
 * the length span.
 */
size_t
most_in(const std::vector<int64_t> &came, int64_t span, int64_t from)
{
	size_t most = 0;

	for (size_t i = 0, j = 0; i < came.size(); i++) {
		while (came[i] - came[j] >= span || came[j] < from)
			if (++j > i)
				break;
		if (j <= i)
			most = std::max(most, i - j + 1);
	}
	return most;
}

size_t
count_from(const std::vector<int64_t> &came, int64_t from)
{
	return static_cast<size_t>(std::count_if(
	    came.begin(), came.end(), [&](int64_t at) { return at >= from; }));
}

constexpr int64_t SPAN_NS = 4 * NS_S;
/*
 * The time after which a box that forwarded a response has applied the report
 * in it.
 */
constexpr int64_t TOLD_NS = 500 * NS_MS;

} // namespace

/*
 * Backend servers under load report in their responses how many requests a
 * second they accept. Guards against an owner that reads only the load from
 * these responses: it then sends as many requests as before, bounded only by
 * the slots, and quick servers have free slots. With that fault the log showed
 * that the box that had received every report also sent all of the requests. In
 * a test like this one 64 requests arrived in four seconds where 12 are
 * accepted:
 *
 *	a backend server says how many requests it takes a_second=3.00
 *	sent backend=i-0 in_use=1 limit=2 a_second=3.00 against=quota
 *	sent backend=i-0 in_use=0 limit=2 a_second=3.00 against=quota
 */
TEST(Word, AServerThatNamesALimitGetsNoMore)
{
	World w;
	Callers c({w.ip + ":8080"});
	int64_t told;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	c.ask_for(1000, 35);
	EXPECT_LT(3u, w.platform.came("i-0").size());
	w.platform.say("i-0", "server-limit", "3.0");
	told = clk_ns(clk_system()) + TOLD_NS;
	c.ask_for(6000, 35);
	/* In any span as many as the rate allows, and one at its start. */
	EXPECT_GE(13u, most_in(w.platform.came("i-0"), SPAN_NS, told));
	/* The other server has free capacity, so no request is refused. */
	EXPECT_TRUE(c.finish());
	EXPECT_EQ(c.asked, static_cast<size_t>(c.answers[200]));
	/* The limit of the first server ends, and it gets its share again. */
	w.platform.say("i-0", "server-limit", "");
	w.platform.say("i-1", "server-limit", "0.5");
	c.ask_for(2000, 35);
	EXPECT_LT(20u,
	    count_from(w.platform.came("i-0"), clk_ns(clk_system()) - NS_S));
}

/*
 * With more demand than all servers accept, their rate limits are used up, and
 * all other requests are refused at once as not run, with a Retry-After.
 */
TEST(Word, WhatLimitedServersTakeIsUsedAndTheRestIsRefusedAtOnce)
{
	World w;
	Callers c({w.ip + ":8080"});
	int64_t told;
	size_t taken;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	c.ask_for(500, 30);
	w.platform.say("i-0", "server-limit", "4");
	w.platform.say("i-1", "server-limit", "2.5");
	told = clk_ns(clk_system()) + TOLD_NS;
	c.ask_for(6500, 30);
	EXPECT_GE(17u, most_in(w.platform.came("i-0"), SPAN_NS, told));
	EXPECT_GE(11u, most_in(w.platform.came("i-1"), SPAN_NS, told));
	taken = count_from(w.platform.came("i-0"), told) +
	    count_from(w.platform.came("i-1"), told);
	/* Nine tenths of 6.5 requests a second in six seconds. */
	EXPECT_LT(35u, taken);
	EXPECT_TRUE(c.finish());
	EXPECT_EQ(
	    c.asked, static_cast<size_t>(c.answers[200] + c.answers[503]));
	EXPECT_GT(300, c.slowest_refusal_ms);
}

/* A new owner must keep to the rate limit that the previous owner applied. */
TEST(Word, ALimitHoldsWhenItsHomeEnds)
{
	World w;
	box::Further other(w, "b2", "north", "7");
	Callers c({w.ip + ":8080", other.address});
	int64_t told;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	other.box.start();
	ASSERT_TRUE(until([&] { return other.serves(); }));
	pump(1500);
	w.platform.say("i-0", "server-limit", "3");
	c.ask_for(500, 30);
	told = clk_ns(clk_system()) + TOLD_NS;
	c.ask_for(3000, 30);
	/* Either of the two boxes may be the owner. */
	w.box.signal(SIGTERM);
	c.boxes.erase(c.boxes.begin());
	c.ask_for(3000, 30);
	/*
	 * What the limit allows, and what the new owner sends before it learns
	 * of it.
	 */
	EXPECT_GE(16u, most_in(w.platform.came("i-0"), SPAN_NS, told));
	EXPECT_TRUE(c.finish());
	EXPECT_LT(c.asked * 97 / 100, static_cast<size_t>(c.answers[200]));
}

namespace
{

/* Sends all that the quota allows, with a check every 5 ms. */
void
send_all(struct quota *q, int64_t from, int64_t to, std::vector<int64_t> *sent)
{
	for (int64_t now = from; now < to; now += 5 * NS_MS)
		while (quota_available(q, now) > 0) {
			quota_consume(q, now);
			sent->push_back(now);
		}
}

} // namespace

/* No span contains more requests than the rate allows, and the rate is used. */
TEST(Quota, OneGetsWhatItTakesInAnySpan)
{
	for (double rate : {0.3, 1.0, 2.8, 5.6, 40.0, 300.0}) {
		struct quota q = {};
		std::vector<int64_t> sent;

		EXPECT_EQ(INT_MAX, quota_available(&q, NS_S));
		EXPECT_TRUE(quota_update(&q, rate, 0, NS_S));
		/* Earlier requests are unknown, so the bucket starts empty. */
		EXPECT_EQ(0, quota_available(&q, NS_S));
		send_all(&q, NS_S, 21 * NS_S, &sent);
		/*
		 * 19 in 20 are used, and at most one check's worth is sent
		 * above the rate.
		 */
		EXPECT_LE(
		    std::floor(rate * 19), static_cast<double>(sent.size()))
		    << rate;
		for (int64_t span : {NS_S, 4 * NS_S})
			EXPECT_GE(rate * static_cast<double>(span) / NS_S +
				std::max(1.0, rate / 50) + 1e-6,
			    static_cast<double>(most_in(sent, span, 0)))
			    << rate;
	}
}

/*
 * A rate higher than any server can serve is bounded, so that the token count
 * stays within its range.
 */
TEST(Quota, AHugeRateIsBounded)
{
	struct quota q = {};

	EXPECT_TRUE(quota_update(&q, 9999999999999999.0, 0, NS_S));
	EXPECT_DOUBLE_EQ(QUOTA_RATE_MAX, q.rate);
	EXPECT_FALSE(quota_update(&q, 1e300, 0, NS_S));
	EXPECT_EQ(QUOTA_RATE_MAX / 50, quota_available(&q, 1000 * NS_S));
}

/*
 * A lower limit holds at once. A higher one, or none, is accepted only from the
 * response to a request that was sent after the lower one was reported.
 */
TEST(Quota, LessHoldsAtOnceAndMoreOnlyByALaterAnswer)
{
	struct quota q = {};

	EXPECT_TRUE(quota_update(&q, 5, 0, 2 * NS_S));
	EXPECT_TRUE(quota_update(&q, 3, 0, 3 * NS_S));
	/*
	 * Responses to requests that were sent before the lower limit was
	 * reported.
	 */
	EXPECT_FALSE(quota_update(&q, 5, 3 * NS_S - 1, 4 * NS_S));
	EXPECT_FALSE(quota_update(&q, 0, 3 * NS_S - 1, 4 * NS_S));
	EXPECT_DOUBLE_EQ(3, q.rate);
	EXPECT_TRUE(quota_update(&q, 5, 3 * NS_S, 4 * NS_S));
	EXPECT_TRUE(quota_update(&q, 0, 4 * NS_S, 5 * NS_S));
	EXPECT_EQ(INT_MAX, quota_available(&q, 5 * NS_S));
	/*
	 * An old report of a limit is accepted: the next response ends the
	 * limit again.
	 */
	EXPECT_TRUE(quota_update(&q, 5, 3 * NS_S, 6 * NS_S));
	EXPECT_EQ(0, quota_available(&q, 6 * NS_S));
	EXPECT_EQ(0, quota_available_by(&q, 6 * NS_S, 6 * NS_S + 199 * NS_MS));
	EXPECT_EQ(1, quota_available_by(&q, 6 * NS_S, 6 * NS_S + 201 * NS_MS));
}

/*
 * A backend server that is leaving reports so in its responses and to the
 * platform. Guards against an owner that uses only the platform's entry: while
 * the platform is silent, the server then receives requests for as long as its
 * entry says that it is ready. That was 37 in thirteen seconds, although the
 * responses had reached the very box that sent all of these requests:
 *
 *	a backend server says that it leaves backend=i-0
 *	sent backend=i-0 in_use=0 limit=2 slots=3 against=leaving
 */
TEST(Word, AServerThatSaysThatItLeavesGetsNothingMore)
{
	World w;
	Callers c({w.ip + ":8080"});
	int64_t told;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	/*
	 * The platform accepts no update and still lists the server as ready.
	 */
	w.platform.silence(true);
	w.platform.say("i-0", "server-leaving", "1");
	c.ask_for(500, 35);
	told = clk_ns(clk_system());
	c.ask_for(3000, 35);
	EXPECT_EQ(0u, count_from(w.platform.came("i-0"), told));
	w.platform.silence(false);
	c.ask_for(3000, 35);
	EXPECT_EQ(0u, count_from(w.platform.came("i-0"), told));
	EXPECT_TRUE(c.finish());
	EXPECT_EQ(c.asked, static_cast<size_t>(c.answers[200]));
}

/*
 * A backend server that refuses a request may ask for a pause by Retry-After.
 * Guards against an owner that ignores this and stops sending only for a time
 * of its own, 5 ms to a third of a second. A server that had asked for two
 * seconds got 7 requests within them, and each of these lost an attempt:
 *
 *	a backend server asks for a rest backend=i-0 rest_ms=2000
 *	sent backend=i-0 in_use=0 limit=3 slots=3 against=rest
 *	sent backend=i-0 in_use=0 limit=3 slots=3 against=rest
 */
TEST(Word, ARestIsKeptToItsEnd)
{
	World w;
	Callers c({w.ip + ":8080"});
	std::vector<int64_t> came;
	int64_t now;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	c.ask_for(500, 35);
	w.platform.say("i-0", "retry-after", "2");
	w.platform.set("i-0", 100, true, false);
	now = clk_ns(clk_system());
	c.ask_for(3500, 35);
	came = w.platform.came("i-0");
	came.erase(came.begin(),
	    std::find_if(came.begin(), came.end(),
		[&](int64_t at) { return at > now; }));
	ASSERT_FALSE(came.empty());
	/* Requests that were in flight, then the pause, then new requests. */
	EXPECT_EQ(0u,
	    count_from(came, came[0] + 100 * NS_MS) -
		count_from(came, came[0] + 2 * NS_S));
	EXPECT_LT(0u, count_from(came, came[0] + 2 * NS_S));
	/*
	 * The server accepts requests again, and gets them once the pause is
	 * over.
	 */
	w.platform.say("i-0", "retry-after", "");
	w.platform.set("i-0", 100, false, false);
	c.ask_for(3000, 35);
	EXPECT_LT(10u,
	    count_from(w.platform.came("i-0"), clk_ns(clk_system()) - NS_S));
	EXPECT_TRUE(c.finish());
	EXPECT_EQ(c.asked, static_cast<size_t>(c.answers[200]));
}

namespace
{

/* Two boxes of one hall; the test can find out which one is the owner. */
struct TwoBoxes : World {
	box::Further other;
	Callers callers;

	TwoBoxes()
	    : other(*this, "b2", "north", "7"),
	      callers({ip + ":8080", other.address})
	{
	}

	bool start()
	{
		bool up = until([this] { return ready(); });

		other.box.start();
		return up && until([this] { return other.serves(); });
	}

	Process &home()
	{
		return logged("part=pick msg=\"sent\"") ? box : other.box;
	}

	/* Kills the owner and sends all requests to the other box. */
	void lose_home()
	{
		bool first = &home() == &box;

		home().kill9();
		callers.boxes = {first ? other.address : ip + ":8080"};
	}
};

} // namespace

/*
 * The new owner knows that a server is leaving, whether or not it forwarded the
 * responses that reported so.
 */
TEST(Word, TheNextHomeKnowsWhoLeaves)
{
	TwoBoxes w;
	int64_t told;

	ASSERT_TRUE(w.start());
	pump(1500);
	w.callers.ask_for(500, 35);
	w.platform.silence(true);
	w.platform.say("i-0", "server-leaving", "1");
	w.callers.ask_for(1500, 35);
	told = clk_ns(clk_system());
	w.lose_home();
	w.callers.ask_for(2000, 35);
	EXPECT_EQ(0u, count_from(w.platform.came("i-0"), told));
	EXPECT_TRUE(w.callers.finish());
	EXPECT_LT(0, w.callers.answers[200]);
}

/*
 * A new owner keeps to a rate limit that was reported before it was the owner.
 */
TEST(Word, TheNextHomeKnowsALimit)
{
	TwoBoxes w;
	int64_t told;

	ASSERT_TRUE(w.start());
	pump(1500);
	w.callers.ask_for(500, 35);
	w.platform.say("i-0", "server-limit", "0.5");
	w.callers.ask_for(2500, 35);
	told = clk_ns(clk_system());
	w.lose_home();
	for (int i = 0; i < 6; i++)
		w.callers.ask("/look/1?ms=60");
	w.callers.ask_for(1900, 35);
	/* The bucket starts empty: one request every two seconds. */
	EXPECT_GE(1u, count_from(w.platform.came("i-0"), told));
}

/*
 * A report stays in force when the server's entry is deleted, as may happen in
 * an outage, and returns unchanged.
 */
TEST(Word, WhatAServerSaidOutlivesItsEntry)
{
	World w;
	Callers c({w.ip + ":8080"});
	int64_t told;

	ASSERT_TRUE(until([&] { return w.ready(); }));
	w.platform.say("i-0", "server-leaving", "1");
	c.ask_for(500, 35);
	told = clk_ns(clk_system());
	w.platform.remove("servers", "i-0");
	ASSERT_TRUE(
	    until([&] { return w.logged("deletion is in force"); }, 5000));
	w.enter(0, "ready");
	ASSERT_TRUE(until([&] { return w.in_force("backend/i-0") > 1; }));
	c.ask_for(1000, 35);
	EXPECT_EQ(0u, count_from(w.platform.came("i-0"), told));
}

namespace
{

struct backend_report
said(const char *backend, int64_t born_ms, bool leaves, double rate, int64_t at)
{
	struct backend_report w = {};

	w.backend = str_c(backend);
	w.started_ms = born_ms;
	w.leaving = leaves;
	w.rate = rate;
	w.reported_at = at;
	return w;
}

struct Words {
	struct backend_reports *ws = reports_new();

	~Words()
	{
		reports_free(ws);
	}

	bool take(const struct backend_report &w)
	{
		return reports_merge(ws, &w);
	}

	const struct backend_report *find(const char *backend, int64_t born_ms)
	{
		return reports_find(ws, str_c(backend), born_ms);
	}
};

} // namespace

/*
 * Whatever the order of arrival, the latest rate and the latest incarnation
 * hold.
 */
TEST(Words, OlderWordsAndEarlierLivesUndoNothing)
{
	Words w;

	EXPECT_TRUE(w.take(said("a", 5, false, 3, 10)));
	EXPECT_FALSE(w.take(said("a", 5, false, 3, 20)));
	EXPECT_FALSE(w.take(said("a", 5, false, 7, 15)));
	EXPECT_DOUBLE_EQ(3, w.find("a", 5)->rate);
	EXPECT_TRUE(w.take(said("a", 5, true, 3, 12)));
	EXPECT_FALSE(w.take(said("a", 5, false, 3, 30)));
	EXPECT_TRUE(w.find("a", 5)->leaving);
	/* A server whose start time is not reported may be this incarnation. */
	EXPECT_TRUE(w.find("a", 0)->leaving);
	EXPECT_EQ(nullptr, w.find("a", 6));
	EXPECT_TRUE(w.take(said("a", 6, false, 2, 31)));
	EXPECT_FALSE(w.take(said("a", 5, true, 1, 40)));
	EXPECT_EQ(nullptr, w.find("a", 5));
	EXPECT_FALSE(w.find("a", 6)->leaving);
	EXPECT_DOUBLE_EQ(2, w.find("a", 6)->rate);
}

/* A changed report is sent once and soon, also among many unchanged ones. */
TEST(Words, WhatHasChangedIsToldByItself)
{
	Words w;
	struct backend_report out[4];

	for (int i = 0; i < 100; i++)
		w.take(
		    said(("b" + std::to_string(i)).c_str(), 0, false, 1, NS_S));
	EXPECT_EQ(0u, reports_pop_unsent(w.ws, out, 4));
	for (const char *name : {"b7", "b8", "b7"})
		reports_mark_unsent(w.ws, str_c(name));
	EXPECT_EQ(2u, reports_pop_unsent(w.ws, out, 4));
	EXPECT_EQ(0u, reports_pop_unsent(w.ws, out, 4));
	reports_mark_unsent(w.ws, STR_LIT("nobody"));
	reports_mark_unsent(w.ws, STR_LIT("b9"));
	reports_expire(w.ws, 1000 * NS_S);
	EXPECT_EQ(0u, reports_pop_unsent(w.ws, out, 4));
}

/* At most 1024 reports are held, each is sent in turn, and they expire. */
TEST(Words, TheyAreBoundedAndAllAreToldInTurn)
{
	Words w;
	struct backend_report out[32];
	std::set<std::string> told;

	EXPECT_EQ(0u, reports_next(w.ws, out, 32));
	for (int i = 0; i < 2000; i++)
		w.take(said(
		    ("b" + std::to_string(i)).c_str(), 0, true, 0, NS_S + i));
	EXPECT_EQ(nullptr, w.find("b975", 0));
	EXPECT_NE(nullptr, w.find("b976", 0));
	for (int i = 0; i < 32; i++)
		for (unsigned j = reports_next(w.ws, out, 32); j-- > 0;)
			told.insert(
			    std::string(out[j].backend.p, out[j].backend.n));
	EXPECT_EQ(1024u, told.size());
	reports_expire(w.ws, 600 * NS_S);
	EXPECT_NE(nullptr, w.find("b1999", 0));
	reports_expire(w.ws, 602 * NS_S);
	EXPECT_EQ(nullptr, w.find("b1999", 0));
}
