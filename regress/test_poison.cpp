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
#include <map>
#include <memory>
#include <set>

#include "disp_world.h"

using disp_world::Req;
using disp_world::World;

/* Requests that end backend servers: what is remembered, and the trials. */

namespace
{

/* One box's memory, in a time that may be shared. */
struct Memory {
	int64_t *now;
	uint64_t seed;
	struct clk clk;
	struct rnd rnd;
	struct poison *p;

	static struct timespec mono(void *ctx)
	{
		int64_t t = *static_cast<Memory *>(ctx)->now;

		return {t / NS_S, t % NS_S};
	}

	static uint64_t next(void *ctx)
	{
		return rnd_splitmix64(&static_cast<Memory *>(ctx)->seed);
	}

	Memory(int64_t *at, uint64_t with)
	    : now(at), seed(with), clk{mono, mono, this}, rnd{next, this},
	      p(poison_new(&clk, &rnd))
	{
	}

	~Memory()
	{
		poison_free(p);
	}

	/* Tell another box all; its times are a little later there. */
	void tell(Memory *other, int64_t delay = 0)
	{
		struct poison_record words[POISON_MSG_RECORDS_MAX];
		unsigned n = poison_records(p, words);

		for (unsigned i = 0; i < n; i++) {
			words[i].crashed_at += delay;
			if (words[i].cleared_at != 0)
				words[i].cleared_at += delay;
			poison_merge(other->p, &words[i]);
		}
	}
};

constexpr struct fprint BAD = {1, 2, 5}, OTHER = {3, 4, 5};

/*
 * A dispatcher with backend servers that end under some requests, in virtual
 * time.  Questions are answered after a millisecond by those that live.
 */
struct Servers : World {
	Memory memory{&now, 7};
	std::multimap<int64_t, std::function<void()>> events;
	std::map<std::string, int64_t> dead_until, full_until;
	std::map<std::string, std::set<Req *>> there;
	std::set<uint64_t> poison; /* fingerprints, their `lo` */
	std::map<uint64_t, int> ends; /* by fingerprint */
	std::vector<std::unique_ptr<Req>> reqs;
	int64_t work = 40 * NS_MS, back = 3 * NS_S;
	size_t trials_beside = 0; /* requests at a server with a trial */
	/* Connections break, the servers live, and answer questions or not. */
	bool cuts_only = false, answers = true;
	bool dark = false; /* they end without a word */

	explicit Servers(int n) : World("pace")
	{
		struct disp_params prm = {};

		prm.policy = pick_by_name(STR_LIT("pace"));
		prm.chart = chart;
		prm.queue_max = 1000;
		prm.bulk_percent = 40;
		prm.retry_percent = 20;
		prm.retry_budget_max = 60;
		prm.poison = memory.p;
		prm.hall = STR_LIT("north");
		disp_configure(disp, &prm);
		backends(n, 3);
		on_send = [this](Req *r, struct pick_backend *b) {
			sent(r, std::string(b->name.p, b->name.n));
		};
	}

	~Servers()
	{
		on_send = nullptr;
	}

	void in(int64_t ns, std::function<void()> fn)
	{
		events.emplace(now + ns, std::move(fn));
	}

	void sent(Req *r, const std::string &b)
	{
		int sends = r->sends;

		if (dead_until[b] > now) {
			in(0,
			    [=] { finish(r, sends, b, DISP_CONNECT_FAILED); });
			return;
		}
		there[b].insert(r);
		for (Req *other : there[b])
			trials_beside +=
			    other->d.in_trial && there[b].size() > 1;
		in(work, [=] {
			if (there[b].count(r) == 0 || r->sends != sends)
				return;
			if (poison.count(r->d.fingerprint.lo) != 0)
				end(r, b);
			else
				finish(r, sends, b, DISP_OK);
		});
	}

	void finish(
	    Req *r, int sends, const std::string &b, enum disp_outcome outcome)
	{
		there[b].erase(r);
		if (r->d.backend != nullptr && r->sends == sends)
			done(r, outcome);
	}

	/* The backend server ends, and all that is there breaks off. */
	void end(Req *r, const std::string &b)
	{
		std::set<Req *> cut;

		ends[r->d.fingerprint.lo]++;
		full_until[b] = now + 3 * NS_MS;
		if (cuts_only)
			cut.insert(r);
		else
			cut.swap(there[b]);
		if (!cuts_only)
			dead_until[b] = now + back;
		for (Req *one : cut)
			if (!dark)
				finish(one, one->sends, b, DISP_CONN_BROKEN);
			else
				in(one->d.deadline - now,
				    [=, sends = one->sends] {
					    finish(
						one, sends, b, DISP_TIMED_OUT);
				    });
	}

	void answer_questions()
	{
		std::vector<std::string> names;

		names.swap(asked);
		for (auto &b : names)
			in(NS_MS, [this, b] {
				bool lives = dead_until[b] <= now;

				if (lives)
					disp_load_query_connected(
					    disp, str_n(b.data(), b.size()));
				lives =
				    lives && (answers || full_until[b] <= now);
				disp_load_query_done(disp,
				    str_n(b.data(), b.size()), lives, 0, 0,
				    lives ? 100 : 0);
			});
	}

	void run(int64_t ns)
	{
		int64_t to = now + ns;

		while (now < to) {
			answer_questions();
			while (
			    !events.empty() && events.begin()->first <= now) {
				auto fn = std::move(events.begin()->second);

				events.erase(events.begin());
				fn();
				answer_questions();
			}
			disp_tick(disp);
			now += NS_MS;
		}
	}

	Req *send(struct fprint print, int attempts = 2)
	{
		reqs.push_back(std::make_unique<Req>());
		Req *r = reqs.back().get();

		r->id = static_cast<int>(reqs.size());
		r->d.fingerprint = print;
		r->d.kind = 1;
		r->d.max_attempts = attempts;
		r->d.target = now + 300 * NS_MS;
		arrive(r, 800);
		return r;
	}

	/* Requests with a fingerprint that ended so. */
	size_t ended_as(struct fprint print, enum err_kind kind)
	{
		size_t n = 0;

		for (auto &r : reqs)
			n += fprint_eq(r->d.fingerprint, print) && r->ended &&
			    r->kind == kind;
		return n;
	}

	/* Those that nothing answered, for whatever reason. */
	size_t unserved(struct fprint print)
	{
		size_t n = 0;

		for (auto &r : reqs)
			n += fprint_eq(r->d.fingerprint, print) &&
			    (r->kind != ERR_NONE || r->maybe_runs == r->sends);
		return n;
	}
};

/*
 * Requests break off at backend servers that live.  A full one may break the
 * question off as well.
 */
void
expect_no_blame(bool answers)
{
	Servers w(5);

	w.poison = {BAD.lo};
	w.cuts_only = true;
	w.answers = answers;
	w.run(NS_S);
	for (int i = 0; i < 15; i++) {
		w.send(BAD);
		w.run(200 * NS_MS);
	}
	EXPECT_EQ(30, w.ends[BAD.lo]);
	EXPECT_EQ(POISON_NONE, poison_status_of(w.memory.p, BAD));
	EXPECT_EQ(0u, w.ended_as(BAD, ERR_POISON));
}

} // namespace

TEST(Poison, AnEndMakesASuspectAndTwoTrialsProveIt)
{
	int64_t now = NS_S;
	Memory m(&now, 1);

	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, BAD));
	for (int i = 0; i < 5; i++)
		poison_record_crash(m.p, BAD, false);
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, BAD));
	EXPECT_FALSE(poison_has_unsent_trial(m.p));
	poison_record_crash(m.p, BAD, true);
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, BAD));
	EXPECT_TRUE(poison_has_unsent_trial(m.p));
	poison_record_crash(m.p, BAD, true);
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, BAD));
	EXPECT_EQ(1u, poison_count_proved(m.p));
	EXPECT_EQ(now + POISON_HOLD_NS, poison_retry_at(m.p, BAD));
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, OTHER));
	/* One that is not known is never blamed. */
	poison_record_crash(m.p, {}, true);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, {}));
}

TEST(Poison, AnAnswerClears)
{
	int64_t now = NS_S;
	Memory m(&now, 1);

	poison_record_crash(m.p, BAD, true);
	now += NS_S;
	poison_record_success(m.p, BAD);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, BAD));
	/* What was before does not count any more. */
	now += NS_S;
	poison_record_crash(m.p, BAD, true);
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, BAD));
}

TEST(Poison, ItEndsWithTimeAndOneMoreTrialDecides)
{
	int64_t now = NS_S;
	Memory m(&now, 1);

	poison_record_crash(m.p, OTHER, false);
	poison_record_crash(m.p, BAD, true);
	poison_record_crash(m.p, BAD, true);
	now += POISON_HOLD_NS - 1;
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, OTHER));
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, BAD));
	now++;
	poison_expire(m.p);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, OTHER));
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, BAD));
	poison_record_crash(m.p, BAD, true);
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, BAD));
	now += 2 * POISON_HOLD_NS;
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, BAD));
	poison_expire(m.p);
	struct poison_record words[POISON_MSG_RECORDS_MAX];
	EXPECT_EQ(0u, poison_records(m.p, words));
}

/* Backend servers do not see who sends it: two callers' trials will do. */
TEST(Poison, TrialsOfTwoCallersProveItForAll)
{
	int64_t now = NS_S;
	Memory m(&now, 1);
	const struct fprint second = {1, 2, 6}, third = {1, 2, 7};

	poison_record_crash(m.p, BAD, false);
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, second));
	poison_record_crash(m.p, BAD, true);
	poison_record_crash(m.p, BAD, true);
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, BAD));
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, second));
	poison_record_crash(m.p, second, true);
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, second));
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, third));
	EXPECT_EQ(now + POISON_HOLD_NS, poison_retry_at(m.p, third));
}

/* What others' requests do is not held against who gets answers to the same. */
TEST(Poison, WhoWasServedIsNotRefusedForOthers)
{
	int64_t now = NS_S;
	Memory m(&now, 1), other(&now, 2);
	const struct fprint served = {1, 2, 6};

	poison_record_crash(m.p, BAD, true);
	now += NS_S;
	poison_record_success(m.p, served);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, served));
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, BAD));
	now += NS_S;
	poison_record_crash(m.p, BAD, true);
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, BAD));
	/* After an end it has to run by itself once more, and is not refused.
	 */
	now += NS_S;
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, served));
	poison_record_success(m.p, served);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, served));
	/* Another box is told of both. */
	m.tell(&other);
	EXPECT_EQ(POISON_NONE, poison_status_of(other.p, served));
	EXPECT_EQ(POISON_PROVED, poison_status_of(other.p, BAD));
}

/* Each order, and each word twice: the verdict is the same. */
TEST(Poison, WordsMayComeInAnyOrder)
{
	int64_t now = NS_S;
	std::vector<struct poison_record> words;
	struct poison_record all[POISON_MSG_RECORDS_MAX];

	for (uint64_t box = 1; box <= 3; box++) {
		Memory m(&now, box);

		now += NS_S;
		poison_record_crash(m.p, BAD, box > 1);
		if (box == 1)
			poison_record_success(m.p, BAD);
		ASSERT_EQ(1u, poison_records(m.p, all));
		words.push_back(all[0]);
		words.push_back(all[0]);
	}
	std::vector<size_t> order = {0, 1, 2, 3, 4, 5};
	do {
		Memory m(&now, 9);

		for (size_t i : order)
			poison_merge(m.p, &words[i]);
		EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, BAD));
	} while (std::next_permutation(order.begin(), order.end()));
}

/* What is cleared at one box stays cleared, whatever old words come. */
TEST(Poison, AnOldWordUndoesNoAnswer)
{
	int64_t now = NS_S;
	Memory a(&now, 1), b(&now, 2);

	poison_record_crash(a.p, BAD, true);
	a.tell(&b);
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(b.p, BAD));
	now += NS_S;
	poison_record_success(b.p, BAD);
	a.tell(&b);
	EXPECT_EQ(POISON_NONE, poison_status_of(b.p, BAD));
	b.tell(&a);
	EXPECT_EQ(POISON_NONE, poison_status_of(a.p, BAD));
}

/* Told to and fro for hours, an end does not become younger. */
TEST(Poison, WordsThatGoToAndFroDoNotLast)
{
	int64_t now = NS_S;
	Memory a(&now, 1), b(&now, 2);

	poison_record_crash(a.p, BAD, false);
	for (int i = 0; i < 1210; i++) {
		a.tell(&b, 5 * NS_MS);
		b.tell(&a, 5 * NS_MS);
		now += 500 * NS_MS;
	}
	EXPECT_EQ(POISON_NONE, poison_status_of(a.p, BAD));
	EXPECT_EQ(POISON_NONE, poison_status_of(b.p, BAD));
}

/* However many there are, and what is proved is kept. */
TEST(Poison, MemoryAndWordsAreBounded)
{
	int64_t now = NS_S;
	Memory m(&now, 1);
	struct poison_record words[POISON_MSG_RECORDS_MAX];

	poison_record_crash(m.p, BAD, true);
	poison_record_crash(m.p, BAD, true);
	for (uint64_t i = 10; i < 10000; i++) {
		now += NS_MS;
		poison_record_crash(m.p, {i, i, 0}, false);
	}
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, BAD));
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, {9999, 9999, 0}));
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, {10, 10, 0}));
	EXPECT_EQ(static_cast<unsigned>(POISON_MSG_RECORDS_MAX),
	    poison_records(m.p, words));
	EXPECT_TRUE(fprint_eq(BAD, words[0].fingerprint));
}

/* A word from the future, or one of nothing, is not taken. */
TEST(Poison, WordsThatMakeNoSenseAreLeft)
{
	int64_t now = NS_S;
	Memory m(&now, 1);
	struct poison_record word = {BAD, {5, 6}, now + NS_S, 0};

	poison_merge(m.p, &word);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, BAD));
	word = {{}, {5, 6}, now, 0};
	poison_merge(m.p, &word);
	EXPECT_EQ(0u, poison_count_proved(m.p));
}

TEST(Trial, ThreeEndsAndThenItIsRefusedAtOnce)
{
	Servers w(7);

	w.poison = {BAD.lo};
	w.run(NS_S);
	for (int i = 0; i < 10; i++) {
		w.send(BAD);
		w.run(300 * NS_MS);
	}
	EXPECT_EQ(3, w.ends[BAD.lo]);
	EXPECT_EQ(9u, w.ended_as(BAD, ERR_POISON));
	Req *r = w.send(BAD);
	EXPECT_TRUE(r->ended);
	EXPECT_EQ(ERR_POISON, r->kind);
	EXPECT_EQ(0, r->sends);
}

/* One that must not repeat is tried once each time that it comes. */
TEST(Trial, WhatMustNotRepeatEndsThreeToo)
{
	Servers w(7);

	w.poison = {BAD.lo};
	for (int i = 0; i < 6; i++) {
		w.reqs.push_back(std::make_unique<Req>());
		Req *r = w.reqs.back().get();

		r->d.fingerprint = BAD;
		r->d.target = w.now + 300 * NS_MS;
		w.arrive(r, 800, CLASS_INTERACTIVE, false);
		w.run(300 * NS_MS);
		EXPECT_GE(1, r->sends);
	}
	EXPECT_EQ(3, w.ends[BAD.lo]);
}

/* Each copy comes from another caller. */
TEST(Trial, ThreeEndsAreEnoughWhoeverSendsIt)
{
	Servers w(7);

	w.poison = {BAD.lo};
	w.run(NS_S);
	for (uint64_t caller = 1; caller <= 10; caller++) {
		w.send({BAD.hi, BAD.lo, caller});
		w.run(300 * NS_MS);
	}
	EXPECT_EQ(3, w.ends[BAD.lo]);
}

/* It ends machines with their power: nothing is reset, all is silent. */
TEST(Trial, ASilentEndIsOneToo)
{
	Servers w(7);

	w.poison = {BAD.lo};
	w.dark = true;
	w.run(NS_S);
	for (int i = 0; i < 12; i++) {
		w.send(BAD);
		w.run(NS_S);
	}
	EXPECT_GE(3, w.ends[BAD.lo]);
	EXPECT_LE(8u, w.ended_as(BAD, ERR_POISON));
}

/* Copies that come at once do not end a backend server each. */
TEST(Trial, OfManyCopiesOneIsTriedAtATime)
{
	Servers w(12);

	w.poison = {BAD.lo};
	w.run(NS_S);
	w.send(BAD);
	w.run(10 * NS_MS);
	for (int i = 0; i < 40; i++) {
		w.send(BAD);
		w.run(10 * NS_MS);
	}
	w.run(NS_S);
	/* Five were under way before the first end was known; two trials. */
	EXPECT_EQ(7, w.ends[BAD.lo]);
	EXPECT_EQ(0u, w.trials_beside);
}

/*
 * One caller's request runs beside one that ends servers after the other, each
 * of them new.  It comes again and again itself, and is never refused for it.
 */
TEST(Trial, WhoRunsBesideIsNeverRefused)
{
	Servers w(9);
	uint64_t next = 100;

	w.run(NS_S);
	for (int i = 0; i < 400; i++) {
		if (i % 20 == 0) {
			w.poison.insert(++next);
			w.send({next, next, 0});
		}
		w.send(OTHER);
		w.send({7, static_cast<uint64_t>(10000 + i), 0});
		w.run(25 * NS_MS);
	}
	w.run(2 * NS_S);
	EXPECT_EQ(0u, w.ended_as(OTHER, ERR_POISON));
	for (auto &r : w.reqs)
		EXPECT_TRUE(r->kind != ERR_POISON ||
		    w.poison.count(r->d.fingerprint.lo) != 0);
	EXPECT_EQ(0u, w.trials_beside);
	/* Each of the twenty ended two backend servers: its rule allows two. */
	for (uint64_t bad : w.poison)
		EXPECT_GE(2, w.ends[bad]);
}

/* A broken connection to a backend server that lives makes no suspect. */
TEST(Trial, AConnectionThatBreaksBlamesNobody)
{
	for (bool answers : {true, false})
		expect_no_blame(answers);
}

/* After a loss of many at once the others' room does not go to suspects. */
TEST(Trial, ManySuspectsLeaveRoomForOthers)
{
	Servers w(12);
	size_t late = 0;

	w.run(NS_S);
	for (int i = 0; i < 18; i++)
		w.send({1, static_cast<uint64_t>(1000 + i), 0});
	w.run(20 * NS_MS);
	for (int b = 0; b < 6; b++) {
		std::string name = "b" + std::to_string(b);
		std::set<Req *> cut;

		cut.swap(w.there[name]);
		w.dead_until[name] = w.now + 3 * NS_S;
		for (Req *one : cut)
			w.finish(one, one->sends, name, DISP_CONN_BROKEN);
	}
	for (int i = 0; i < 40; i++) {
		w.send({2, static_cast<uint64_t>(2000 + i), 0});
		w.run(5 * NS_MS);
	}
	w.run(NS_S);
	for (auto &r : w.reqs)
		late += r->kind != ERR_NONE;
	EXPECT_EQ(0u, late);
	EXPECT_EQ(0u, w.trials_beside);
}

/* All halls bring a suspect to the same one. */
TEST(Trial, OneHallTriesIt)
{
	int passed = 0, tried = 0;

	for (uint64_t i = 1; i <= 40; i++) {
		struct fprint print = {i, i * 977, 0};
		std::string to[2];
		const char *halls[] = {"north", "south"};

		for (int at = 0; at < 2; at++) {
			Servers w(3);
			struct disp_params prm = {};
			struct disp_capacity room = {9, 9, 0};
			std::string other = halls[1 - at];

			prm.policy = pick_by_name(STR_LIT("pace"));
			prm.chart = w.chart;
			prm.poison = w.memory.p;
			prm.hall = str_c(halls[at]);
			disp_configure(w.disp, &prm);
			disp_set_hall_slots(w.disp, str_c(other.c_str()), 9);
			disp_set_hall_capacity(
			    w.disp, str_c(other.c_str()), &room);
			poison_record_crash(w.memory.p, print, false);
			w.reqs.push_back(std::make_unique<Req>());
			Req *r = w.reqs.back().get();

			r->d.fingerprint = print;
			r->d.can_forward = true;
			w.arrive(r, 800);
			to[at] = r->passed ? other : halls[at];
			passed += r->passed;
			tried += r->sends;
		}
		EXPECT_EQ(to[0], to[1]);
	}
	EXPECT_EQ(40, passed);
	EXPECT_EQ(40, tried);
}
