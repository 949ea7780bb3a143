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
#include <cstring>
#include <map>
#include <memory>

#include "disp_world.h"

extern "C" {
#include "tally.h"
#include "usage.h"
}

using disp_world::Req;
using disp_world::World;

/*
 * Tests of what operators see: the slots of a shard by why they are left out,
 * the lines about reduced capacity, and the largest customers.
 */

namespace
{

/* Tallies, and checks that each slot counts exactly once. */
struct tally
tally_of(const World &w)
{
	struct tally t;
	int sum;

	disp_tally(w.disp, &t);
	sum = t.usable;
	for (int n : t.left_out) {
		EXPECT_GE(n, 0);
		sum += n;
	}
	EXPECT_EQ(t.slots, sum);
	EXPECT_GE(t.usable, 0);
	return t;
}

/* What is left out, as text: "" if all slots are usable. */
std::string
left_out(const World &w)
{
	struct tally t = tally_of(w);
	char text[TALLY_TEXT_MAX];

	tally_print_left_out(&t, text, sizeof(text));
	return text;
}

/* Two warm backend servers of three slots each. */
struct Two : World {
	Two()
	{
		set_backends(2, 3);
		warm_up(2);
	}

	struct pick_backend *server(const char *name)
	{
		return disp_find_backend(disp, str_c(name));
	}
};

struct tally
sample(int slots, int usable, size_t waiting)
{
	struct tally t = {};

	t.slots = slots;
	t.usable = usable;
	t.left_out[LEFT_COLD] = slots - usable;
	t.waiting[WAITING_LATE] = waiting;
	return t;
}

/* A tally_alarm with its clock, and the reports so far. */
struct Alarm {
	struct tally_alarm alarm = {};
	int64_t now = NS_S, lasted = 0;
	std::vector<std::pair<int64_t, enum tally_change>> reports;

	/* Samples each 10 ms, as the gate does while requests are queued. */
	void run(int64_t ms, const struct tally &t)
	{
		for (; ms > 0; ms -= 10, now += 10 * NS_MS) {
			enum tally_change change =
			    tally_alarm_update(&alarm, &t, now, &lasted);

			if (change != TALLY_UNCHANGED)
				reports.push_back({now, change});
		}
	}
};

struct usage_report
report_of(struct usage *u, int64_t now)
{
	struct usage_report report;

	usage_summarize(u, now, &report);
	return report;
}

std::string
name_of(const struct usage_row &row)
{
	return std::string(row.name.p, row.name.n);
}

} // namespace

TEST(Tally, AllSlotsOfWarmServersAreUsableFreeOrNot)
{
	Two w;
	std::vector<Req> r(7);

	EXPECT_EQ("", left_out(w));
	for (auto &one : r)
		w.arrive(&one);
	EXPECT_EQ("", left_out(w));
	EXPECT_EQ(6, tally_of(w).usable);
	EXPECT_EQ(1u, tally_of(w).waiting[WAITING_INTERACTIVE]);
	disp_cancel(w.disp, &r[6].d);
	for (int i = 0; i < 6; i++)
		w.end_attempt(&r[static_cast<size_t>(i)], DISP_OK);
}

TEST(Tally, AServerThatWarmsUpGetsOneRequestAtATime)
{
	World w;

	w.set_backends(2, 3);
	EXPECT_EQ("cold=4", left_out(w));
	w.warm_up(2);
	EXPECT_EQ("", left_out(w));
}

TEST(Tally, ASlowStartLeavesOutWhatItsRateDoesNotAllow)
{
	Two w;
	struct cold_limit limit = {0.001, 1, 10 * NS_S};
	struct pick_backend *b = w.server("b0");

	b->cold_limit = &limit;
	cold_set_suspected(&b->cold, 10 * NS_S, w.now);
	cold_record_send(&b->cold, &limit, w.now);
	EXPECT_EQ("cold=3", left_out(w));
	w.now += 11 * NS_S;
	EXPECT_EQ("", left_out(w));
}

TEST(Tally, AFailingServerIsEjectedThenOnTrial)
{
	Two w;
	struct pick_backend *b = w.server("b0");
	std::vector<Req> r(12);

	/* The other servers are full, so that failures are consecutive. */
	w.set_backends(3, 3);
	for (auto &one : r) {
		w.arrive(&one, 1000, CLASS_INTERACTIVE, false);
		if (one.d.backend == b)
			w.end_attempt(&one, DISP_SERVER_ERROR);
	}
	ASSERT_EQ(PICK_EJECTED, b->state);
	EXPECT_EQ(3, tally_of(w).left_out[LEFT_EJECTED]);
	for (auto &one : r) {
		if (one.d.queued)
			disp_cancel(w.disp, &one.d);
		else if (one.d.backend != nullptr)
			w.end_attempt(&one, DISP_CANCELED);
	}
	w.now = b->eject_until + NS_MS;
	disp_tick(w.disp);
	ASSERT_EQ(PICK_TRIAL, b->state);
	EXPECT_EQ(2, tally_of(w).left_out[LEFT_EJECTED]);
	/* The ejection comes before a pause, which takes what it leaves. */
	b->pause_until = w.now + NS_S;
	EXPECT_EQ(2, tally_of(w).left_out[LEFT_EJECTED]);
	EXPECT_EQ(1, tally_of(w).left_out[LEFT_PAUSE]);
}

TEST(Tally, ALearnedLimitLeavesOutTheSlotsAboveIt)
{
	Two w;

	w.server("b0")->max_inflight = 2;
	EXPECT_EQ("limit=1", left_out(w));
}

/* A limit that falls must not count slots that are in use as left out. */
TEST(Tally, SlotsInUseStayUsableWhenALimitFalls)
{
	Two w;
	std::vector<Req> r(6);

	for (auto &one : r)
		w.arrive(&one);
	w.server("b0")->max_inflight = 1;
	w.server("b1")->pause_until = w.now + NS_S;
	EXPECT_EQ("", left_out(w));
	for (auto &one : r)
		w.end_attempt(&one, DISP_OK);
	EXPECT_EQ("pause=3 limit=2", left_out(w));
}

TEST(Tally, ARateThatIsUsedUpLeavesOutTheFreeSlots)
{
	Two w;
	struct pick_backend *b = w.server("b0");

	disp_quota_reported(w.disp, b, 1, w.now);
	while (quota_available(&b->quota, w.now) > 0)
		quota_consume(&b->quota, w.now);
	EXPECT_EQ("rate=3", left_out(w));
	b->inflight = 1;
	EXPECT_EQ("rate=2", left_out(w));
	b->inflight = 0;
	w.now += 10 * NS_S;
	EXPECT_LT(tally_of(w).left_out[LEFT_RATE], 3);
}

TEST(Tally, APauseEnds)
{
	Two w;

	disp_pause_reported(w.disp, w.server("b0"), NS_S);
	EXPECT_EQ("pause=3", left_out(w));
	w.now += NS_S;
	EXPECT_EQ("", left_out(w));
}

TEST(Tally, AServerThatRefusedBacksOff)
{
	Two w;
	Req r;

	w.arrive(&r, 1000, CLASS_INTERACTIVE, false);
	w.end_attempt(&r, DISP_REFUSED);
	EXPECT_EQ(3, tally_of(w).left_out[LEFT_BACKOFF]);
	w.now += NS_S;
	EXPECT_EQ("", left_out(w));
	if (r.d.backend != nullptr)
		w.end_attempt(&r, DISP_OK);
}

TEST(Tally, ASlowPeriodThatRequestsWaitOutIsSlow)
{
	World w("pace");
	struct pick_backend *b;
	Req r;

	w.set_backends(2, 3);
	w.arrive(&r);
	for (const std::string &name : w.load_queries)
		disp_load_query_done(
		    w.disp, str_c(name.c_str()), true, 0, 0, 100);
	ASSERT_NE(nullptr, r.d.backend);
	w.now += 300 * NS_MS;
	w.end_attempt(&r, DISP_OK);
	/* One of them explores a lower limit. */
	for (const char *name : {"b1", "b0"}) {
		b = disp_find_backend(w.disp, str_c(name));
		b->max_inflight = 0;
	}
	EXPECT_EQ("", left_out(w));
	disp_load_reported(w.disp, b, 0, 0, 500);
	EXPECT_EQ("slow=3", left_out(w));
	b->inflight = 1;
	EXPECT_EQ("slow=2", left_out(w));
	b->inflight = 0;
	w.now += NS_S;
	EXPECT_EQ("", left_out(w));
}

/* A policy without latency factors never waits for a slow period to end. */
TEST(Tally, NoServerIsSlowForAPolicyThatDoesNotWait)
{
	Two w;

	disp_load_reported(w.disp, w.server("b0"), 0, 0, 500);
	EXPECT_EQ("", left_out(w));
}

TEST(Tally, AnEvacuatedHallIsEvacuatedWhateverElseItIs)
{
	Two w;

	w.server("b0")->leaving = true;
	w.server("b1")->probe_down = true;
	w.set_backends(2, 3, -1, true);
	EXPECT_EQ("evacuated=6", left_out(w));
}

TEST(Tally, ServersThatDrainOrLeaveAreDraining)
{
	Two w;

	w.set_backends(2, 3, 0);
	EXPECT_EQ("draining=3", left_out(w));
	disp_leaving_reported(w.server("b1"));
	EXPECT_EQ("draining=6", left_out(w));
}

TEST(Tally, ServersThatAnswerNothingOrFailProbesAreDown)
{
	Two w;

	disp_probe_result(w.disp, STR_LIT("b0"), true, false);
	EXPECT_EQ("down=3", left_out(w));
	pick_mark_crashed(w.server("b1"), w.now);
	EXPECT_EQ("down=6", left_out(w));
}

TEST(Tally, AVersionWithoutRequestsIsLeftOut)
{
	Two w;

	w.server("b0")->version_excluded = true;
	EXPECT_EQ("version=3", left_out(w));
	w.server("b1")->version_deferred = true;
	EXPECT_EQ("version=6", left_out(w));
}

TEST(Tally, AServerReservedForATrialIsLeftOut)
{
	Two w;

	w.server("b0")->reserved_for_trial = true;
	EXPECT_EQ("trial=3", left_out(w));
	w.server("b0")->inflight = 1; /* the trial itself */
	EXPECT_EQ("trial=2", left_out(w));
	w.server("b0")->inflight = 0;
}

/* A server that is replaced must not count beside its successor. */
TEST(Tally, ServersNoLongerConfiguredAreNoCapacity)
{
	Two w;
	Req r;

	w.arrive(&r);
	w.set_backends(0, 3);
	EXPECT_EQ(0, tally_of(w).slots);
	w.end_attempt(&r, DISP_OK);
}

/*
 * Each server gets several reasons at random: a slot that counts twice or not
 * at all would hide capacity, and what is usable must be what the dispatcher
 * can use.
 */
TEST(Tally, EachSlotCountsOnceUnderAnyMixOfReasons)
{
	uint64_t seed = 11;
	auto odds = [&](unsigned n) {
		return rnd_splitmix64(&seed) % n == 0;
	};

	for (int round = 0; round < 300; round++) {
		World w("pace");
		struct tally t;
		int usable = 0;

		w.set_backends(5, 3);
		for (int i = 0; i < 5; i++) {
			struct pick_backend *b = disp_find_backend(
			    w.disp, str_c(("b" + std::to_string(i)).c_str()));
			int free;

			b->evacuated = odds(8);
			b->leaving = odds(8);
			b->probe_down = odds(8);
			b->version_excluded = odds(8);
			b->version_deferred = odds(8);
			b->reserved_for_trial = odds(8);
			b->state = odds(4) ? PICK_COLD
			    : odds(4)	   ? PICK_EJECTED
			    : odds(4)	   ? PICK_TRIAL
					   : PICK_UP;
			b->pause_until = odds(6) ? w.now + 1 : 0;
			b->full_until = odds(6) ? w.now + 1 : 0;
			b->max_inflight = odds(2) ? 2 : 0;
			b->inflight = odds(2) ? 2 : 0;
			if (odds(3))
				disp_quota_reported(w.disp, b, 1, w.now);
			free = pick_free_slots(b, w.now);
			if (pick_is_usable(b, w.now))
				usable += b->inflight + free;
			EXPECT_LE(b->inflight + free, 3);
		}
		t = tally_of(w);
		EXPECT_EQ(15, t.slots);
		EXPECT_EQ(usable, t.usable);
		for (int i = 0; i < 5; i++)
			disp_find_backend(
			    w.disp, str_c(("b" + std::to_string(i)).c_str()))
			    ->inflight = 0;
	}
}

TEST(Tally, RefusalsCountByReason)
{
	World w("fern", 1);
	std::vector<Req> r(5);

	w.arrive(&r[0]);
	EXPECT_EQ(1u, tally_of(w).refused[ERR_NO_BACKEND]);
	w.set_backends(1, 1);
	w.arrive(&r[1]);
	w.arrive(&r[2]);
	w.arrive(&r[3]);
	EXPECT_EQ(1u, tally_of(w).refused[ERR_BUSY]);
	w.now += 2 * NS_S;
	disp_tick(w.disp);
	EXPECT_EQ(1u, tally_of(w).refused[ERR_DEADLINE]);
	w.end_attempt(&r[1], DISP_OK);
}

TEST(Tally, CapacityIsReducedAfterAThirdIsLeftOutFor100Ms)
{
	Alarm a;

	a.run(2000, sample(9, 7, 5)); /* less than a third */
	a.run(2000, sample(9, 0, 0)); /* nothing waits */
	a.run(2000, sample(0, 0, 5)); /* no capacity at all */
	a.run(90, sample(9, 6, 1));
	EXPECT_TRUE(a.reports.empty());
	a.run(20, sample(9, 6, 1));
	ASSERT_EQ(1u, a.reports.size());
	EXPECT_EQ(TALLY_REDUCED, a.reports[0].second);
	a.run(3000, sample(9, 6, 1));
	EXPECT_EQ(1u, a.reports.size());
}

TEST(Tally, TheEndSaysHowLongItLasted)
{
	Alarm a;

	a.run(2500, sample(9, 3, 5));
	a.run(500, sample(9, 9, 5));
	ASSERT_EQ(2u, a.reports.size());
	EXPECT_EQ(TALLY_RESTORED, a.reports[1].second);
	EXPECT_EQ(2500 * NS_MS, a.lasted);
	/* Waiting requests that are gone end it, too. */
	a.run(2500, sample(9, 3, 5));
	a.run(500, sample(9, 3, 0));
	ASSERT_EQ(4u, a.reports.size());
}

/* Capacity that comes and goes must not fill the log. */
TEST(Tally, ReportsAreASecondApart)
{
	uint64_t seed = 3;
	Alarm a;

	for (int i = 0; i < 2000; i++)
		a.run(static_cast<int64_t>(rnd_splitmix64(&seed) % 40) * 10,
		    sample(9, i % 2 ? 9 : 3, 5));
	EXPECT_GT(a.reports.size(), 20u);
	for (size_t i = 1; i < a.reports.size(); i++) {
		EXPECT_GE(a.reports[i].first - a.reports[i - 1].first, NS_S);
		EXPECT_NE(a.reports[i].second, a.reports[i - 1].second);
	}
}

/* A short relapse must neither report twice nor shorten what lasted. */
TEST(Tally, ABreakOfLessThan100MsChangesNothing)
{
	Alarm a;

	for (int i = 0; i < 20; i++) {
		a.run(200, sample(9, 3, 5));
		a.run(50, sample(9, 9, 5));
	}
	EXPECT_EQ(1u, a.reports.size());
	a.run(200, sample(9, 9, 5));
	ASSERT_EQ(2u, a.reports.size());
	EXPECT_EQ(4950 * NS_MS, a.lasted);
}

/*
 * A load of 0.8 of the slots in virtual time; for 1.5 s half of the servers
 * leave.  Guards against a report that does not come, comes twice, or names
 * another reason or duration.
 */
TEST(Tally, ALoadThatLosesHalfOfItsServersIsReportedOnceWithItsEnd)
{
	const int64_t began = 1000, ended = 2500; /* ms */
	std::vector<std::unique_ptr<Req>> requests;
	std::multimap<int64_t, Req *> ends;
	std::vector<std::pair<int64_t, enum tally_change>> reports;
	struct tally_alarm alarm = {};
	int64_t lasted = 0, ms;
	uint64_t seed = 17;
	World w;

	auto each_of_half = [&](const std::function<void(struct str)> &fn) {
		for (int i = 0; i < 10; i++) {
			std::string name = "b" + std::to_string(i);

			fn(str_c(name.c_str()));
		}
	};
	w.set_backends(20, 2);
	w.warm_up(20);
	w.on_send = [&](Req *r, struct pick_backend *) {
		ends.insert({w.now + 100 * NS_MS, r});
	};
	/* The attempt is sent elsewhere, and ends there. */
	w.on_stop = [&](Req *r) {
		for (auto it = ends.begin(); it != ends.end();)
			it = it->second == r ? ends.erase(it) : std::next(it);
	};
	for (ms = 0; ms < 5000 || !ends.empty(); ms++, w.now += NS_MS) {
		if (ms < 4000 && rnd_splitmix64(&seed) % 100 < 32) {
			requests.push_back(std::make_unique<Req>());
			w.arrive(requests.back().get());
		}
		while (!ends.empty() && ends.begin()->first <= w.now) {
			Req *r = ends.begin()->second;

			ends.erase(ends.begin());
			w.end_attempt(r, DISP_OK);
		}
		if (ms == began)
			each_of_half([&](struct str name) {
				disp_leaving_reported(
				    disp_find_backend(w.disp, name));
			});
		if (ms == ended)
			each_of_half([&](struct str name) {
				disp_probe_result(w.disp, name, false, false);
			});
		if (ms % 10 != 0)
			continue;
		disp_tick(w.disp);
		struct tally t = tally_of(w);
		enum tally_change change =
		    tally_alarm_update(&alarm, &t, w.now, &lasted);
		if (change == TALLY_UNCHANGED)
			continue;
		reports.push_back({ms, change});
		EXPECT_EQ(
		    change == TALLY_REDUCED ? "draining=20" : "", left_out(w));
	}
	ASSERT_EQ(2u, reports.size());
	EXPECT_EQ(TALLY_REDUCED, reports[0].second);
	EXPECT_GE(reports[0].first, began + 100);
	EXPECT_LE(reports[0].first, began + 250);
	EXPECT_EQ(TALLY_RESTORED, reports[1].second);
	EXPECT_GE(reports[1].first, ended + 100);
	EXPECT_LE(reports[1].first, ended + 200);
	EXPECT_GE(lasted, 1350 * NS_MS);
	EXPECT_LE(lasted, 1500 * NS_MS);
}

TEST(Tally, TheTextOfAllReasonsFits)
{
	struct tally t = {};
	char text[TALLY_TEXT_MAX];

	for (int &n : t.left_out)
		n = 1000000000;
	tally_print_left_out(&t, text, sizeof(text));
	EXPECT_NE(nullptr, strstr(text, "slow=1000000000"));
	for (int i = 0; i < LEFT_MAX; i++)
		EXPECT_STRNE(
		    "", tally_reason_name(static_cast<tally_reason>(i)));
	for (int i = 0; i < WAITING_MAX; i++)
		EXPECT_STRNE("", tally_queue_name(static_cast<tally_queue>(i)));
}

TEST(Usage, FewCustomersAreCountedExactly)
{
	struct usage *u = usage_new(0);
	struct usage_report report;

	for (int i = 0; i < 30; i++)
		usage_add(u, STR_LIT("anna"),
		    i % 3 == 0 ? USAGE_LATE : USAGE_IN_TIME, i * NS_MS);
	usage_add(u, STR_LIT("bert"), USAGE_OVER_RATE, 40 * NS_MS);
	report = report_of(u, 50 * NS_MS);
	ASSERT_EQ(2u, report.n);
	EXPECT_EQ("anna", name_of(report.rows[0]));
	EXPECT_EQ(30u, report.rows[0].requests);
	EXPECT_EQ(10u, report.rows[0].ends[USAGE_LATE]);
	EXPECT_EQ(20u, report.rows[0].ends[USAGE_IN_TIME]);
	EXPECT_EQ("bert", name_of(report.rows[1]));
	EXPECT_EQ(1u, report.rows[1].ends[USAGE_OVER_RATE]);
	EXPECT_EQ(0u, report.rows[0].error + report.rows[1].error);
	EXPECT_EQ(0u, report.others.requests);
	EXPECT_EQ(50 * NS_MS, report.length);
	usage_free(u);
}

/*
 * 5,000 customers, of which 10 have half of the requests: they must be those
 * shown, with figures within the error that is stated, and the sum must hold.
 */
TEST(Usage, TheLargestAmongManyAreFound)
{
	struct usage *u = usage_new(0);
	std::map<std::string, uint64_t> sent;
	struct usage_report report;
	uint64_t seed = 5, sum = 0;
	int64_t now = 0;

	for (int i = 0; i < 40000; i++, now += NS_MS / 10) {
		uint64_t n = rnd_splitmix64(&seed);
		std::string name =
		    "c" + std::to_string(n % 2 ? n / 2 % 10 : n / 2 % 5000);

		sent[name]++;
		usage_add(u, str_c(name.c_str()),
		    static_cast<usage_end>(n / 7 % USAGE_END_MAX), now);
	}
	report = report_of(u, now);
	ASSERT_EQ(10u, report.n);
	for (unsigned i = 0; i < report.n; i++) {
		const struct usage_row &row = report.rows[i];
		uint64_t real = sent[name_of(row)], ends = 0;

		EXPECT_EQ(2u, name_of(row).size()) << name_of(row);
		EXPECT_LE(row.requests, real);
		EXPECT_GE(row.requests + row.error, real);
		EXPECT_GE(row.requests, real * 9 / 10);
		for (uint64_t end : row.ends)
			ends += end;
		EXPECT_EQ(ends, row.requests);
		sum += row.requests;
	}
	EXPECT_EQ(40000u, sum + report.others.requests);
	usage_free(u);
}

/* Figures of minutes ago must not hide who sends many requests now. */
TEST(Usage, OldRequestsAreForgotten)
{
	struct usage *u = usage_new(0);
	struct usage_report report;

	for (int i = 0; i < 100; i++)
		usage_add(u, STR_LIT("anna"), USAGE_IN_TIME, i * 50 * NS_MS);
	usage_add(u, STR_LIT("bert"), USAGE_IN_TIME, 6 * NS_S);
	report = report_of(u, 7 * NS_S);
	ASSERT_EQ(2u, report.n);
	EXPECT_EQ(100u, report.rows[0].requests);
	EXPECT_EQ(7 * NS_S, report.length);
	report = report_of(u, 11 * NS_S + NS_MS);
	ASSERT_EQ(1u, report.n);
	EXPECT_EQ("bert", name_of(report.rows[0]));
	report = report_of(u, 30 * NS_S);
	EXPECT_EQ(0u, report.n);
	EXPECT_EQ(0u, report.others.requests);
	usage_free(u);
}
