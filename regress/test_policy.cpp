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
 * The policy "pace" in virtual time: arrivals, backend servers that slow when
 * full or in spells, callers that come back.  What is looked at is how many
 * requests are answered in time.
 */
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "caller.h"
#include "disp.h"
}

namespace
{

struct Sim;

/* One attempt of a caller. */
struct Attempt {
	struct disp_req d = {};
	Sim *sim = nullptr;
	int64_t first = 0, deadline = 0; /* of the caller, over all attempts */
	int64_t work = 0;
	int left = 0; /* times that it may come back */
	uint64_t run = 0; /* the try whose end counts; 0: none */
	int64_t came = 0, began = 0;
};

struct Server {
	std::string name;
	int running = 0, pace = 100;
	std::vector<int> beside; /* of each request that began here */
};

struct Fleet {
	int servers = 4, slots = 6;
	bool tells = true;
	double mean_ms = 200;
	int64_t target_ms = 600, deadline_ms = 4000;
	uint64_t seed = 7;
	double spells = 0; /* share of time that a server is 5 times slower */
};

struct Count {
	int arrived = 0, in_time = 0, late = 0, refused = 0;
};

/* What a home and its backend servers do, event by event. */
struct Sim {
	Fleet fleet;
	int64_t now = NS_S;
	uint64_t seed, runs = 0;
	bool spelling = true; /* servers are in and out of spells */
	struct clk clk;
	struct rnd rnd;
	struct disp *disp;
	std::multimap<int64_t, std::function<void()>> events;
	std::map<std::string, Server> servers;
	std::vector<std::unique_ptr<Attempt>> attempts;
	std::map<int64_t, Count> seconds; /* by the second of first attempts */
	std::function<double(double)> slowdown; /* by the share in use */

	static struct timespec mono(void *ctx)
	{
		int64_t t = static_cast<Sim *>(ctx)->now;

		return {t / NS_S, t % NS_S};
	}

	static uint64_t next(void *ctx)
	{
		return rnd_splitmix64(&static_cast<Sim *>(ctx)->seed);
	}

	double uniform()
	{
		return static_cast<double>(rnd_splitmix64(&seed) >> 11) *
		    0x1p-53;
	}

	void in(int64_t ns, std::function<void()> fn)
	{
		events.emplace(now + ns, std::move(fn));
	}

	static Attempt *of(struct disp_req *d)
	{
		return reinterpret_cast<Attempt *>(d);
	}

	Server &server(const struct pick_backend *b)
	{
		return servers[std::string(b->name.p, b->name.n)];
	}

	static void send(void *ctx, struct disp_req *d, struct pick_backend *b)
	{
		Sim *s = static_cast<Sim *>(ctx);
		Attempt *a = of(d);
		Server &v = s->server(b);
		double full;
		uint64_t run = ++s->runs;

		v.beside.push_back(v.running);
		full = static_cast<double>(++v.running) / s->fleet.slots;
		a->run = run;
		s->in(static_cast<int64_t>(static_cast<double>(a->work) *
			  s->slowdown(full) * v.pace / 100),
		    [s, a, run, &v] {
			    v.running--;
			    if (a->run != run)
				    return;
			    a->run = 0;
			    s->ended(a, v);
		    });
	}

	void ended(Attempt *a, Server &v)
	{
		struct pick_backend *b = a->d.backend;

		if (fleet.tells)
			disp_load_reported(disp, b, v.running, 0, v.pace);
		if (now - a->first <= fleet.target_ms * NS_MS)
			seconds[a->first / NS_S].in_time++;
		else if (now <= a->deadline)
			seconds[a->first / NS_S].late++;
		disp_attempt_done(disp, &a->d, DISP_OK);
	}

	static void pass(void *, struct disp_req *, struct str)
	{
	}

	static void
	give_up(void *ctx, struct disp_req *d, enum err_kind, int64_t after)
	{
		Sim *s = static_cast<Sim *>(ctx);
		Attempt *a = of(d);

		s->seconds[a->first / NS_S].refused++;
		after = std::max(after, 10 * NS_MS);
		if (a->left == 0 || s->now + after >= a->deadline)
			return;
		s->in(after, [s, a] { s->attempt(a, a->left - 1); });
	}

	static void stop(void *ctx, struct disp_req *d)
	{
		Sim *s = static_cast<Sim *>(ctx);

		of(d)->run = 0;
		EXPECT_TRUE(disp_attempt_done(s->disp, d, DISP_STOPPED_SLOW));
	}

	static void peek(void *ctx, struct pick_backend *b)
	{
		Sim *s = static_cast<Sim *>(ctx);
		Server &v = s->server(b);

		s->in(400 * NS_US, [s, &v] {
			disp_load_query_done(s->disp, str_c(v.name.c_str()),
			    true, v.running, 0, s->fleet.tells ? v.pace : 0);
		});
	}

	static void release(void *, struct pick_backend *)
	{
	}

	/*
	 * An attempt is a request of its own; the old one is left as it is.
	 * Its target counts from the first, as the gate finds out (caller.h).
	 */
	void attempt(const Attempt *old, int left)
	{
		Attempt *a = new Attempt;

		attempts.emplace_back(a);
		a->sim = this;
		a->first = old->first;
		a->deadline = old->deadline;
		a->work = old->work;
		a->left = left;
		a->d.cls = CLASS_INTERACTIVE;
		a->d.repeatable = true;
		a->d.can_retry = true;
		a->d.max_attempts = 3;
		a->d.kind = 1;
		a->d.target = a->first + fleet.target_ms * NS_MS;
		a->d.deadline = a->deadline;
		disp_submit(disp, &a->d);
	}

	void arrive()
	{
		Attempt first;

		first.first = now;
		first.deadline = now + fleet.deadline_ms * NS_MS;
		first.work = static_cast<int64_t>(
		    fleet.mean_ms * (0.5 + uniform()) * NS_MS);
		seconds[now / NS_S].arrived++;
		attempt(&first, 2);
	}

	/* Arrivals until `end`, so many a second. */
	void load(double per_s, int64_t end)
	{
		if (now >= end)
			return;
		in(static_cast<int64_t>(-std::log(1 - uniform()) / per_s *
		       static_cast<double>(NS_S)),
		    [this, per_s, end] {
			    if (now < end)
				    arrive();
			    load(per_s, end);
		    });
	}

	void tick()
	{
		disp_tick(disp);
		in(10 * NS_MS, [this] { tick(); });
	}

	void every(int64_t ns, std::function<void()> fn)
	{
		fn();
		in(ns, [this, ns, fn] { every(ns, fn); });
	}

	void spell()
	{
		for (auto &v : servers)
			if (spelling)
				v.second.pace =
				    uniform() < fleet.spells ? 500 : 100;
		in(150 * NS_MS, [this] { spell(); });
	}

	void run_to(int64_t end)
	{
		while (!events.empty() && events.begin()->first <= end) {
			auto ev = events.begin();
			auto fn = std::move(ev->second);

			now = ev->first;
			events.erase(ev);
			fn();
		}
		now = end;
	}

	explicit Sim(const Fleet &with)
	    : fleet(with),
	      seed(with.seed), clk{mono, mono, this}, rnd{next, this},
	      slowdown([](double) { return 1; })
	{
		struct disp_ops ops = {
		    send, pass, give_up, stop, peek, nullptr, release, this};
		struct disp_params p = {};
		GError *err = nullptr;
		const char *root = getenv("FERN_ROOT");
		std::string file =
		    std::string(root ? root : ".") + "/charts/backend.toml";
		static struct chart *chart =
		    chart_load(file.c_str(), &pick_chart_names, &err);

		disp = disp_new(&ops, &clk, &rnd);
		p.policy = pick_by_name(STR_LIT("pace"));
		p.chart = chart;
		p.queue_max = 1000;
		p.bulk_percent = 40;
		p.retry_percent = 20;
		p.retry_budget_max = 60;
		disp_configure(disp, &p);
		for (int i = 0; i < fleet.servers; i++)
			name_server();
		list_servers();
		tick();
		spell();
	}

	void name_server()
	{
		std::string name = "b" + std::to_string(servers.size());

		servers[name].name = name;
	}

	void list_servers()
	{
		std::vector<struct disp_backend_conf> v;

		for (auto &s : servers)
			v.push_back({str_c(s.second.name.c_str()),
			    STR_LIT("127.0.0.1:1"), fleet.slots, false, false,
			    0, 0, false});
		disp_set_backends(
		    disp, v.data(), static_cast<unsigned>(v.size()));
	}

	void add_server()
	{
		name_server();
		list_servers();
	}

	/* All that waits is forgotten, what runs ends. */
	~Sim()
	{
		for (auto &a : attempts)
			if (a->d.queued)
				disp_cancel(disp, &a->d);
		for (auto &a : attempts)
			if (a->d.backend != nullptr)
				disp_attempt_done(disp, &a->d, DISP_CANCELED);
		disp_free(disp);
	}

	void forget_starts()
	{
		for (auto &v : servers)
			v.second.beside.clear();
	}

	/* The share of requests that began beside `least` others or more. */
	double began_beside(int least)
	{
		double n = 0, all = 0;

		for (auto &v : servers)
			for (int b : v.second.beside) {
				all++;
				n += b >= least;
			}
		return all == 0 ? 0 : n / all;
	}

	double share_in_time(int64_t from_s, int64_t to_s)
	{
		double n = 0, all = 0;

		for (auto &s : seconds) {
			if (s.first < from_s || s.first >= to_s)
				continue;
			n += s.second.in_time;
			all += s.second.arrived;
		}
		return all == 0 ? 1 : n / all;
	}
};

/* Beyond four fifths of the slots work takes 1.7 times as long. */
double
knee(double full)
{
	return full > 0.8 ? 1.7 : 1;
}

} // namespace

TEST(Policy, ServersThatSlowWhenFullAreNotFilled)
{
	Sim sim((Fleet()));

	sim.slowdown = knee;
	sim.load(90, 12 * NS_S); /* of 80 that 4 of 6 slots can do */
	sim.run_to(5 * NS_S);
	sim.forget_starts();
	sim.run_to(12 * NS_S);
	EXPECT_LT(sim.began_beside(4), 0.15);
	EXPECT_GT(sim.began_beside(3), 0.5);
}

TEST(Policy, ServersThatDoNotSlowAreFilled)
{
	for (int slots : {1, 2, 3, 6, 16}) {
		Fleet fleet;

		fleet.slots = slots;
		Sim sim(fleet);

		sim.load(22 * slots, 12 * NS_S); /* of 20 a slot */
		sim.run_to(5 * NS_S);
		sim.forget_starts();
		sim.run_to(12 * NS_S);
		EXPECT_GT(sim.began_beside(slots * 7 / 8 - 1), 0.6) << slots;
	}
}

TEST(Policy, AChangeOfHowServersSlowIsFollowedWithinSeconds)
{
	Sim sim((Fleet()));

	sim.load(110, 30 * NS_S);
	sim.run_to(8 * NS_S);
	sim.slowdown = knee;
	sim.run_to(14 * NS_S);
	sim.forget_starts();
	sim.run_to(18 * NS_S);
	EXPECT_LT(sim.began_beside(4), 0.2);
	sim.slowdown = [](double) {
		return 1;
	};
	sim.run_to(26 * NS_S);
	sim.forget_starts();
	sim.run_to(30 * NS_S);
	EXPECT_GT(sim.began_beside(5), 0.5);
}

/* The mean over some runs of what is answered in time. */
double
mean_in_time(Fleet fleet, double per_s, std::function<double(double)> slowdown)
{
	const int RUNS = 5;
	double sum = 0;

	for (int i = 0; i < RUNS; i++) {
		fleet.seed = 100 + static_cast<uint64_t>(i);
		Sim sim(fleet);

		sim.slowdown = slowdown;
		sim.load(per_s, 20 * NS_S);
		sim.run_to(20 * NS_S);
		sum += sim.share_in_time(4, 18);
	}
	return sum / RUNS;
}

TEST(Policy, ALearnedLimitServesMoreInTime)
{
	EXPECT_GT(mean_in_time(Fleet(), 70, knee), 0.98);
	EXPECT_GT(mean_in_time(Fleet(), 76, knee), 0.85);
}

/* A gate that becomes home does not know since when its servers run. */
TEST(Policy, WhatServedBeforeWeCameIsNotColdForUs)
{
	Fleet fleet;

	fleet.servers = 2;
	Sim sim(fleet);

	for (int i = 0; i < 6; i++)
		sim.arrive();
	sim.run_to(sim.now + 50 * NS_MS);
	EXPECT_EQ(6u, disp_inflight(sim.disp));
}

/* One that joins later is cold: one request until it has answered some. */
TEST(Policy, WhatJoinsLaterGetsOneRequestAtATime)
{
	Fleet fleet;

	fleet.servers = 1;
	Sim sim(fleet);

	for (int i = 0; i < 2; i++)
		sim.add_server();
	for (int i = 0; i < 12; i++)
		sim.arrive();
	sim.run_to(sim.now + 50 * NS_MS);
	EXPECT_EQ(1u, sim.servers["b1"].beside.size());
	EXPECT_EQ(1u, sim.servers["b2"].beside.size());
}

/* One that is slow is free, and asked more often than those at work. */
TEST(Policy, OneSlowServerDoesNotMakeAllLookSlow)
{
	Sim sim((Fleet()));
	int64_t second;

	sim.load(20, 3 * NS_S);
	sim.run_to(4 * NS_S);
	for (int i = 0; i < 300; i++)
		disp_load_query_done(sim.disp, STR_LIT("b0"), true, 0, 0, 500);
	second = sim.now / NS_S;
	for (int i = 0; i < 30; i++)
		sim.arrive();
	sim.run_to(sim.now + NS_S);
	EXPECT_EQ(0, sim.seconds[second].refused);
	EXPECT_EQ(30, sim.seconds[second].in_time);
}

/* A spell passes sooner than the work would be done in it. */
TEST(Policy, ARequestWaitsForASpellToPassThoughItWillBeLate)
{
	Fleet fleet;

	fleet.servers = 2;
	fleet.target_ms = 300;
	Sim sim(fleet);

	sim.load(5, 3 * NS_S);
	sim.run_to(4 * NS_S + 300 * NS_MS); /* the work is known */
	for (auto &v : sim.servers)
		v.second.pace = 500;
	sim.in(149 * NS_MS, [&] {
		for (auto &v : sim.servers)
			v.second.pace = 100;
	});
	sim.spelling = false;
	sim.arrive();
	sim.forget_starts();
	sim.run_to(sim.now + 700 * NS_MS);
	EXPECT_EQ(1, sim.seconds[4].late + sim.seconds[4].in_time);
}

TEST(Caller, WhatIsMissingToACommonDeadlineHasPassed)
{
	struct callers c = {};

	for (int i = 0; i < 100; i++) {
		EXPECT_EQ(0, callers_elapsed_ms(&c, 4000));
		EXPECT_EQ(0, callers_elapsed_ms(&c, 900));
	}
	EXPECT_EQ(1234, callers_elapsed_ms(&c, 4000 - 1234));
	/* The least that it can have been. */
	EXPECT_EQ(200, callers_elapsed_ms(&c, 700));
	EXPECT_EQ(0, callers_elapsed_ms(&c, 6000));
	/* Many that come again do not hide the first attempts. */
	for (int i = 0; i < 2000; i++)
		callers_elapsed_ms(&c, i % 3 == 0 ? 4000 : 100 + i);
	EXPECT_EQ(0, callers_elapsed_ms(&c, 4000));
	EXPECT_EQ(500, callers_elapsed_ms(&c, 3500));
}

TEST(Caller, WithoutACommonDeadlineNothingIsKnown)
{
	struct callers c = {};

	for (int i = 0; i < 1000; i++)
		EXPECT_EQ(0, callers_elapsed_ms(&c, 1000 + (i * 37) % 997));
}

/* Callers that change their deadline are followed. */
TEST(Caller, ANewCommonDeadlineTakesTheOldOnesPlace)
{
	struct callers c = {};

	for (int i = 0; i < 1000; i++)
		callers_elapsed_ms(&c, 4000);
	for (int i = 0; i < 3000; i++)
		callers_elapsed_ms(&c, 1000);
	EXPECT_EQ(0, callers_elapsed_ms(&c, 1000));
	EXPECT_EQ(100, callers_elapsed_ms(&c, 900));
}

/*
 * An overload ends with the load: what came too late for its target neither
 * delays the others nor keeps the backend servers full.
 */
TEST(Policy, ASurgeIsOverSoonAfterItsEnd)
{
	for (bool tells : {true, false}) {
		Fleet fleet;

		fleet.tells = tells;
		fleet.spells = 0.1;
		Sim sim(fleet);

		sim.slowdown = knee;
		sim.load(40, 20 * NS_S);
		sim.in(7 * NS_S, [&] { sim.load(240, 11 * NS_S); });
		sim.run_to(21 * NS_S);
		EXPECT_GT(
		    sim.share_in_time(12, 19), 0.9 * sim.share_in_time(3, 8))
		    << tells;
	}
}
