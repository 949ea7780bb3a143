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

#include <memory>

#include "disp_world.h"

extern "C" {
#include "roll.h"
}

/*
 * Unit tests of roll-outs in virtual time: the statistical verdict on the
 * responses of the new version, the share of requests that it gets, and when
 * the result is written to the platform.
 */

namespace
{

struct chart *
roll_chart()
{
	static struct chart *loaded;
	const char *root = getenv("FERN_ROOT");
	std::string file =
	    std::string(root ? root : ".") + "/charts/rollout.toml";

	if (loaded == nullptr)
		loaded = chart_load(file.c_str(), &roll_chart_names, nullptr);
	return loaded;
}

double
uniform(uint64_t *seed)
{
	return static_cast<double>(rnd_splitmix64(seed) >> 11) * 0x1p-53;
}

/*
 * The shares of bad responses of each version, and how many responses of the
 * new version are counted at most.
 */
struct Case {
	enum verdict_outcome bad;
	double old_share, new_share;
	int responses;
};

/*
 * Returns whether the new version is found bad.  For each of its responses
 * there are 20 of the old version, after 400 of that.
 */
bool
finds_bad(const Case &t, uint64_t seed, int *after = nullptr)
{
	struct verdict v;
	bool found = false;

	verdict_open(&v);
	for (int i = 0; i < 400; i++)
		verdict_add_old(
		    &v, 1, uniform(&seed) < t.old_share ? t.bad : VERDICT_GOOD);
	for (int i = 0; i < t.responses && !found; i++) {
		for (int j = 0; j < 20; j++)
			verdict_add_old(&v, 1,
			    uniform(&seed) < t.old_share ? t.bad
							 : VERDICT_GOOD);
		found =
		    verdict_add_new(&v, 1,
			uniform(&seed) < t.new_share ? t.bad : VERDICT_GOOD) !=
		    nullptr;
		if (after != nullptr)
			*after = i + 1;
	}
	verdict_close(&v);
	return found;
}

/* Returns for how many seeds the new version is found bad. */
int
count(const Case &t, int seeds)
{
	int n = 0;

	for (int i = 0; i < seeds; i++)
		n += finds_bad(t, static_cast<uint64_t>(i) + 1);
	return n;
}

struct obj_rollout
make_rollout(const char *version, int64_t ms)
{
	struct obj_rollout o = {};

	o.version = str_c(version);
	o.duration_ms = ms;
	return o;
}

struct RollFree {
	void operator()(struct roll *r) const
	{
		roll_free(r);
	}
};
using Roll = std::unique_ptr<struct roll, RollFree>;

/* A roll-out after 40 good responses of the new version, at a time `at`. */
Roll
proved_rollout(int64_t at, const struct obj_rollout &o)
{
	Roll r(roll_new(&o, roll_chart(), 0.05, 0));

	roll_tick(r.get(), true, 1);
	for (int i = 0; i < 40; i++)
		roll_request_ended(r.get(), true, 1, VERDICT_GOOD);
	roll_tick(r.get(), true, at);
	return r;
}

/* A shard with servers of the old and the new version in a roll-out. */
struct Shard : disp_world::World {
	struct obj_rollout o = make_rollout("v2", 10000);
	Roll roll{roll_new(&o, roll_chart(), 0.05, now)};
	struct disp_params p = {};
	int sent_new = 0, sent = 0;
	std::function<enum disp_outcome(bool is_new)> outcome = [](bool) {
		return DISP_OK;
	};

	explicit Shard(int new_servers = 4)
	{
		std::vector<struct disp_backend_conf> v;
		static const char *const names[] = {
		    "o0", "o1", "o2", "o3", "n0", "n1", "n2", "n3"};

		p.policy = pick_by_name(STR_LIT("fern"));
		p.chart = World::chart;
		p.queue_max = 1000;
		p.retry_percent = 10;
		p.rollout = roll.get();
		for (int i = 0; i < 4 + new_servers; i++) {
			struct disp_backend_conf b = {};

			b.name = str_c(names[i]);
			b.address = STR_LIT("127.0.0.1:1");
			b.slots = 3;
			b.is_new_version = i >= 4;
			v.push_back(b);
		}
		disp_configure(disp, &p);
		disp_set_backends(
		    disp, v.data(), static_cast<unsigned>(v.size()));
		roll_tick(roll.get(), true, now);
		on_send = [this](disp_world::Req *, struct pick_backend *b) {
			sent++;
			sent_new += b->is_new_version;
		};
	}

	void send_requests(int n)
	{
		for (int i = 0; i < n; i++) {
			disp_world::Req r;

			arrive(&r);
			now += 2 * NS_MS;
			while (r.d.backend != nullptr)
				end_attempt(
				    &r, outcome(r.d.backend->is_new_version));
			disp_tick(disp);
		}
	}
};

/*
 * The owners of three halls bring in a version of a service.  They get
 * `per_second` requests together and report to each other four times a second.
 */
struct Owners {
	static constexpr int HALLS = 3, STEP_MS = 5, REPORT_STEPS = 50;
	struct obj_rollout o = make_rollout("v2", 10000);
	std::vector<Roll> rolls;
	uint64_t seed;
	int sent = 0, sent_new = 0; /* between the order and its deadline */

	explicit Owners(uint64_t own, double share) : seed(own)
	{
		for (int i = 0; i < HALLS; i++)
			rolls.emplace_back(
			    roll_new(&o, roll_chart(), share, NS_S));
	}

	static struct str hall(int i)
	{
		static const char *const names[HALLS] = {"a", "b", "c"};

		return str_c(names[i]);
	}

	void report(int64_t now)
	{
		for (int i = 0; i < HALLS; i++) {
			struct roll_report r = roll_make_report(
			    rolls[static_cast<size_t>(i)].get(), 0, now);

			for (int j = 0; j < HALLS; j++)
				if (j != i)
					roll_merge_report(
					    rolls[static_cast<size_t>(j)].get(),
					    hall(i), hall(i), &r, now);
		}
	}

	void request(struct roll *r, double old_share, double new_share)
	{
		bool to_new = roll_allows(r, true);
		bool slow = uniform(&seed) < (to_new ? new_share : old_share);

		sent++;
		sent_new += to_new;
		roll_request_sent(r, to_new);
		roll_request_ended(
		    r, to_new, 1, slow ? VERDICT_SLOW : VERDICT_GOOD);
	}

	/* Returns the state at the deadline; the shares are of slow answers. */
	enum obj_rollout_state
	play(int per_second, double old_share, double new_share)
	{
		struct str others[] = {hall(1), hall(2)};
		enum obj_rollout_state state = ROLLOUT_RUNNING;
		int64_t end = NS_S + o.duration_ms * NS_MS;
		double due = 0;
		int step = 0;

		for (int64_t t = NS_S; t < end; t += STEP_MS * NS_MS, step++) {
			for (auto &r : rolls)
				roll_tick(r.get(), true, t);
			due += per_second * STEP_MS / 1000.0;
			for (; due >= 1; due--)
				request(rolls[static_cast<size_t>(
						  uniform(&seed) * HALLS)]
					    .get(),
				    old_share, new_share);
			if (step % REPORT_STEPS == 0)
				report(t);
			state = roll_state_to_write(
			    rolls[0].get(), others, 2, 0, t);
			for (auto &r : rolls)
				roll_set_platform_state(r.get(), state);
		}
		return state;
	}
};

/* How many of some roll-outs, by seeds, end as `state`. */
int
count_ended(enum obj_rollout_state state, double old_share, double new_share,
    int seeds, int *exposed = nullptr)
{
	int n = 0;

	for (int i = 0; i < seeds; i++) {
		Owners w(static_cast<uint64_t>(i) + 1, 0.08);

		n += w.play(200, old_share, new_share) == state;
		if (exposed != nullptr)
			*exposed += w.sent_new > 0.1 * w.sent + 50;
	}
	return n;
}

} // namespace

/*
 * If both versions fail equally often, the new one is found bad for at most two
 * of 2000 seeds.
 */
TEST(Verdict, EqualFailureSharesRarelyConvictTheNewVersion)
{
	for (double share : {0.0, 0.01, 0.05, 0.2, 0.5}) {
		EXPECT_LE(
		    count({VERDICT_FAILED, share, share, 500}, 10000 / 5), 2)
		    << share;
		EXPECT_LE(
		    count({VERDICT_SLOW, share, share, 500}, 10000 / 5), 2)
		    << share;
	}
}

TEST(Verdict, AWorseVersionIsFoundWithinFewResponses)
{
	const struct {
		Case t;
		int found; /* minimum, of 1000 seeds */
	} table[] = {
	    {{VERDICT_FAILED, 0.005, 0.5, 40}, 990},
	    {{VERDICT_FAILED, 0.005, 0.2, 150}, 990},
	    {{VERDICT_FAILED, 0.005, 0.1, 600}, 990},
	    {{VERDICT_FAILED, 0.05, 0.5, 60}, 990},
	    {{VERDICT_SLOW, 0.02, 1.0, 10}, 990},
	    {{VERDICT_SLOW, 0.02, 0.5, 60}, 990},
	};

	for (const auto &row : table)
		EXPECT_GE(count(row.t, 1000), row.found)
		    << row.t.old_share << " " << row.t.new_share;
}

/*
 * The new version fails on one kind of request only, among many good responses
 * to another kind.
 */
TEST(Verdict, EachKindOfRequestIsJudgedSeparately)
{
	struct verdict v;
	const char *why = nullptr;
	int responses = 0;

	verdict_open(&v);
	for (int i = 0; i < 300; i++) {
		verdict_add_old(&v, 1, VERDICT_GOOD);
		verdict_add_old(&v, 2, VERDICT_GOOD);
	}
	for (; why == nullptr && responses < 200; responses++) {
		for (int j = 0; j < 9 && why == nullptr; j++)
			why = verdict_add_new(&v, 1, VERDICT_GOOD);
		if (why == nullptr)
			why = verdict_add_new(&v, 2, VERDICT_FAILED);
	}
	EXPECT_NE(nullptr, why);
	EXPECT_LE(responses, 12);
	verdict_close(&v);
}

TEST(Roll, StepsAreTakenInTheirTime)
{
	struct obj_rollout o = make_rollout("v2", 10000);

	EXPECT_EQ(ROLL_SMALL, roll_state(proved_rollout(4 * NS_S, o).get()));
	Roll r = proved_rollout(5 * NS_S, o);
	EXPECT_EQ(ROLL_WIDER, roll_state(r.get()));
	roll_tick(r.get(), true, 5 * NS_S + 500 * NS_MS);
	EXPECT_EQ(ROLL_WIDER, roll_state(r.get()));
	roll_tick(r.get(), true, 5 * NS_S + 700 * NS_MS);
	EXPECT_EQ(ROLL_ALL, roll_state(r.get()));
}

/* Without responses the old version stays, as that is known to work. */
TEST(Roll, WithoutResponsesItIsRolledBackInTime)
{
	struct obj_rollout o = make_rollout("v2", 10000);
	Roll r(roll_new(&o, roll_chart(), 0.05, 0));

	roll_tick(r.get(), false, 8 * NS_S);
	EXPECT_EQ(ROLL_WAITING, roll_state(r.get()));
	roll_tick(r.get(), false, 9 * NS_S);
	EXPECT_EQ(ROLL_ROLLED_BACK, roll_state(r.get()));
	EXPECT_EQ(ROLLOUT_ROLLED_BACK,
	    roll_state_to_write(r.get(), nullptr, 0, 0, 9 * NS_S));
}

/* An owner that starts continues at the step of the other owners. */
TEST(Roll, AgeAndABadVerdictAreTakenFromOtherOwners)
{
	struct obj_rollout o = make_rollout("v2", 10000);
	struct roll_report report = {4 * NS_S, ROLL_SMALL, 100, 0, 3, {}};
	Roll r(roll_new(&o, roll_chart(), 0.05, 10 * NS_S));

	roll_merge_report(
	    r.get(), STR_LIT("b2"), STR_LIT("south"), &report, 10 * NS_S);
	roll_tick(r.get(), true, 10 * NS_S);
	roll_tick(r.get(), true, 11 * NS_S);
	EXPECT_EQ(ROLL_WIDER, roll_state(r.get()));
	report.state = ROLL_ROLLED_BACK;
	roll_merge_report(
	    r.get(), STR_LIT("b2"), STR_LIT("south"), &report, 11 * NS_S);
	EXPECT_EQ(ROLL_ROLLED_BACK, roll_state(r.get()));
	EXPECT_FALSE(roll_allows(r.get(), true));
	EXPECT_TRUE(roll_allows(r.get(), false));
}

/*
 * The platform stops the old servers as soon as the state is "completed", so no
 * owner may still have a request in flight there.
 */
TEST(Roll, CompletedIsWrittenOnceNoOwnerUsesTheOldVersion)
{
	struct obj_rollout o = make_rollout("v2", 10000);
	struct str halls[] = {STR_LIT("south")};
	struct roll_report finished = {6 * NS_S, ROLL_ALL, 9, 0, 0, {}};
	struct roll_report busy = finished, before = finished;
	Roll r = proved_rollout(5 * NS_S, o);
	int64_t t = 6 * NS_S;

	busy.old_in_flight = 1;
	before.state = ROLL_WIDER;
	roll_tick(r.get(), true, t);
	ASSERT_EQ(ROLL_ALL, roll_state(r.get()));
	t += NS_S;
	EXPECT_EQ(
	    ROLLOUT_RUNNING, roll_state_to_write(r.get(), halls, 1, 0, t));
	roll_merge_report(r.get(), STR_LIT("b2"), halls[0], &busy, t);
	EXPECT_EQ(
	    ROLLOUT_RUNNING, roll_state_to_write(r.get(), halls, 1, 0, t));
	roll_merge_report(r.get(), STR_LIT("b2"), halls[0], &before, t);
	EXPECT_EQ(
	    ROLLOUT_RUNNING, roll_state_to_write(r.get(), halls, 1, 0, t));
	roll_merge_report(r.get(), STR_LIT("b2"), halls[0], &finished, t);
	EXPECT_EQ(
	    ROLLOUT_RUNNING, roll_state_to_write(r.get(), halls, 1, 2, t));
	EXPECT_EQ(
	    ROLLOUT_COMPLETED, roll_state_to_write(r.get(), halls, 1, 0, t));
	/* An outdated report does not count. */
	EXPECT_EQ(ROLLOUT_RUNNING,
	    roll_state_to_write(r.get(), halls, 1, 0, t + 2 * NS_S));
}

/*
 * Each owner sees few of the responses.  What they see together decides, and a
 * version in doubt gets no larger share.
 */
TEST(Roll, AVersionOfWhichATenthIsSlowGetsFewRequests)
{
	int exposed = 0;

	EXPECT_GE(
	    count_ended(ROLLOUT_ROLLED_BACK, 0.005, 0.1, 300, &exposed), 297);
	EXPECT_LE(exposed, 3);
	EXPECT_GE(count_ended(ROLLOUT_ROLLED_BACK, 0.005, 0.5, 300), 300);
}

TEST(Roll, AVersionAsGoodAsTheOldOneIsCompletedInTime)
{
	for (double share : {0.0, 0.005, 0.02})
		EXPECT_GE(
		    count_ended(ROLLOUT_COMPLETED, share, share, 300), 297)
		    << share;
}

/* Sums of two owners that each would not decide by itself. */
TEST(Roll, ResponsesToAllOwnersAreJudgedTogether)
{
	struct obj_rollout o = make_rollout("v2", 10000);
	struct roll_report report = {NS_S, ROLL_SMALL, 40, 4, 0, {}};
	Roll r(roll_new(&o, roll_chart(), 0.05, 0));

	roll_tick(r.get(), true, 1);
	report.sums.of[VERDICT_SLOW_MORE] = 7;
	roll_merge_report(
	    r.get(), STR_LIT("b2"), STR_LIT("south"), &report, NS_S);
	EXPECT_EQ(ROLL_SMALL, roll_state(r.get()));
	roll_tick(r.get(), true, 6 * NS_S);
	EXPECT_EQ(ROLL_SMALL, roll_state(r.get()));
	roll_merge_report(
	    r.get(), STR_LIT("b3"), STR_LIT("east"), &report, 7 * NS_S);
	EXPECT_EQ(ROLL_ROLLED_BACK, roll_state(r.get()));
}

TEST(Roll, ARolloutIsNewIfThePlatformHadEndedTheOther)
{
	struct obj_rollout o = make_rollout("v2", 10000), again = o;
	Roll r(roll_new(&o, roll_chart(), 0.05, 0));

	o.state = ROLLOUT_ROLLED_BACK;
	EXPECT_TRUE(roll_matches(r.get(), &o));
	roll_set_platform_state(r.get(), ROLLOUT_ROLLED_BACK);
	EXPECT_TRUE(roll_matches(r.get(), &o));
	EXPECT_FALSE(roll_matches(r.get(), &again));
}

/*
 * The new version's servers are idle and fast, so that without a limit the
 * policy would send them most requests.
 */
TEST(RollDisp, TheNewVersionGetsItsShareAndNoMore)
{
	Shard s;

	s.send_requests(2000);
	EXPECT_GE(s.sent_new, 60);
	EXPECT_LE(s.sent_new, 2000 * 0.05 + 3);
}

TEST(RollDisp, AVersionThatFailsGetsNoMoreRequests)
{
	Shard s;
	int before;

	s.send_requests(200);
	s.outcome = [](bool is_new) {
		return is_new ? DISP_SERVER_ERROR : DISP_OK;
	};
	s.send_requests(400);
	EXPECT_EQ(ROLL_ROLLED_BACK, roll_state(s.roll.get()));
	before = s.sent_new;
	EXPECT_LE(before, 200 * 0.05 + 3 + 10);
	s.send_requests(400);
	EXPECT_EQ(before, s.sent_new);
}

/*
 * Outlier ejection excludes the failing servers, but enough requests must reach
 * them for a verdict.
 */
TEST(RollDisp, AFailingVersionWithFewServersIsFound)
{
	for (int servers : {1, 2}) {
		Shard s(servers);

		s.outcome = [](bool is_new) {
			return is_new ? DISP_SERVER_ERROR : DISP_OK;
		};
		s.send_requests(3000);
		EXPECT_EQ(ROLL_ROLLED_BACK, roll_state(s.roll.get()))
		    << servers;
		EXPECT_LE(s.sent_new, 15) << servers;
	}
}

TEST(RollDisp, OnceTheNewVersionGetsAllTheOldGetsNothing)
{
	Shard s;

	s.send_requests(2000);
	s.now = NS_S + 5 * NS_S;
	roll_tick(s.roll.get(), true, s.now);
	s.now += NS_S;
	roll_tick(s.roll.get(), true, s.now);
	ASSERT_EQ(ROLL_ALL, roll_state(s.roll.get()));
	disp_tick(s.disp);
	s.sent = s.sent_new = 0;
	s.send_requests(100);
	EXPECT_EQ(100, s.sent);
	EXPECT_EQ(100, s.sent_new);
	EXPECT_EQ(0u, disp_old_version_inflight(s.disp));
}
