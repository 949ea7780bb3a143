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

/*
 * Requests that crash backend servers: the records of suspects that boxes keep
 * and exchange, and the trials by which the dispatcher proves or clears one.
 */

namespace
{

/* One box's records of suspects; boxes may share a clock. */
struct Records {
	int64_t *now;
	uint64_t seed;
	struct clk clk;
	struct rnd rnd;
	struct poison *p;

	static struct timespec mono(void *ctx)
	{
		int64_t t = *static_cast<Records *>(ctx)->now;

		return {t / NS_S, t % NS_S};
	}

	static uint64_t next(void *ctx)
	{
		return rnd_splitmix64(&static_cast<Records *>(ctx)->seed);
	}

	Records(int64_t *at, uint64_t seed_value)
	    : now(at), seed(seed_value), clk{mono, mono, this}, rnd{next, this},
	      p(poison_new(&clk, &rnd))
	{
	}

	~Records()
	{
		poison_free(p);
	}

	/* Sends all records to another box; `delay` is added to their times. */
	void send_records(Records *other, int64_t delay = 0)
	{
		struct poison_record list[POISON_MSG_RECORDS_MAX];
		unsigned n = poison_records(p, list);

		for (unsigned i = 0; i < n; i++) {
			list[i].crashed_at += delay;
			if (list[i].cleared_at != 0)
				list[i].cleared_at += delay;
			poison_merge(other->p, &list[i]);
		}
	}
};

constexpr struct fprint CRASHING = {1, 2, 5}, OTHER = {3, 4, 5};

/*
 * A dispatcher with backend servers that crash under some requests, in virtual
 * time.  Servers that run answer load queries after a millisecond.
 */
struct Servers : World {
	Records records{&now, 7};
	std::multimap<int64_t, std::function<void()>> events;
	std::map<std::string, int64_t> down_until, full_until;
	std::map<std::string, std::set<Req *>> running;
	std::set<uint64_t> crashing; /* `lo` of the fingerprints */
	std::map<uint64_t, int> crashes; /* crashes by fingerprint */
	std::vector<std::unique_ptr<Req>> reqs;
	int64_t work = 40 * NS_MS, restart_ns = 3 * NS_S;
	size_t requests_beside_trials = 0;
	/*
	 * Instead of a crash only the request's connection breaks; whether the
	 * servers answer load queries then.
	 */
	bool only_connections_break = false, answers_queries = true;
	/* A crash breaks no connection: the requests time out. */
	bool silent_crashes = false;

	explicit Servers(int n) : World("pace")
	{
		struct disp_params prm = {};

		prm.policy = pick_by_name(STR_LIT("pace"));
		prm.chart = chart;
		prm.queue_max = 1000;
		prm.bulk_percent = 40;
		prm.retry_percent = 20;
		prm.retry_budget_max = 60;
		prm.poison = records.p;
		prm.hall = STR_LIT("north");
		disp_configure(disp, &prm);
		set_backends(n, 3);
		on_send = [this](Req *r, struct pick_backend *b) {
			start_attempt(r, std::string(b->name.p, b->name.n));
		};
	}

	~Servers()
	{
		on_send = nullptr;
	}

	void schedule(int64_t ns, std::function<void()> fn)
	{
		events.emplace(now + ns, std::move(fn));
	}

	void start_attempt(Req *r, const std::string &b)
	{
		int sends = r->sends;

		if (down_until[b] > now) {
			schedule(0, [=] {
				finish_attempt(
				    r, sends, b, DISP_CONNECT_FAILED);
			});
			return;
		}
		running[b].insert(r);
		for (Req *other : running[b])
			requests_beside_trials +=
			    other->d.in_trial && running[b].size() > 1;
		schedule(work, [=] {
			if (running[b].count(r) == 0 || r->sends != sends)
				return;
			if (crashing.count(r->d.fingerprint.lo) != 0)
				crash(r, b);
			else
				finish_attempt(r, sends, b, DISP_OK);
		});
	}

	void finish_attempt(
	    Req *r, int sends, const std::string &b, enum disp_outcome outcome)
	{
		running[b].erase(r);
		if (r->d.backend != nullptr && r->sends == sends)
			end_attempt(r, outcome);
	}

	/* The backend server crashes; all of its requests break off. */
	void crash(Req *r, const std::string &b)
	{
		std::set<Req *> broken;

		crashes[r->d.fingerprint.lo]++;
		full_until[b] = now + 3 * NS_MS;
		if (only_connections_break)
			broken.insert(r);
		else
			broken.swap(running[b]);
		if (!only_connections_break)
			down_until[b] = now + restart_ns;
		for (Req *one : broken)
			if (!silent_crashes)
				finish_attempt(
				    one, one->sends, b, DISP_CONN_BROKEN);
			else
				schedule(one->d.deadline - now,
				    [=, sends = one->sends] {
					    finish_attempt(
						one, sends, b, DISP_TIMED_OUT);
				    });
	}

	void answer_load_queries()
	{
		std::vector<std::string> names;

		names.swap(load_queries);
		for (auto &b : names)
			schedule(NS_MS, [this, b] {
				bool is_running = down_until[b] <= now;

				if (is_running)
					disp_load_query_connected(
					    disp, str_n(b.data(), b.size()));
				is_running = is_running &&
				    (answers_queries || full_until[b] <= now);
				disp_load_query_done(disp,
				    str_n(b.data(), b.size()), is_running, 0, 0,
				    is_running ? 100 : 0);
			});
	}

	void run(int64_t ns)
	{
		int64_t to = now + ns;

		while (now < to) {
			answer_load_queries();
			while (
			    !events.empty() && events.begin()->first <= now) {
				auto fn = std::move(events.begin()->second);

				events.erase(events.begin());
				fn();
				answer_load_queries();
			}
			disp_tick(disp);
			now += NS_MS;
		}
	}

	Req *send(struct fprint fingerprint, int attempts = 2)
	{
		reqs.push_back(std::make_unique<Req>());
		Req *r = reqs.back().get();

		r->id = static_cast<int>(reqs.size());
		r->d.fingerprint = fingerprint;
		r->d.kind = 1;
		r->d.max_attempts = attempts;
		r->d.target = now + 300 * NS_MS;
		arrive(r, 800);
		return r;
	}

	/* Counts the requests with a fingerprint that ended with `kind`. */
	size_t ended_as(struct fprint fingerprint, enum err_kind kind)
	{
		size_t n = 0;

		for (auto &r : reqs)
			n += fprint_eq(r->d.fingerprint, fingerprint) &&
			    r->ended && r->kind == kind;
		return n;
	}

	/* Counts the requests with a fingerprint that got no response. */
	size_t unserved(struct fprint fingerprint)
	{
		size_t n = 0;

		for (auto &r : reqs)
			n += fprint_eq(r->d.fingerprint, fingerprint) &&
			    (r->kind != ERR_NONE ||
				r->possible_runs == r->sends);
		return n;
	}
};

/*
 * Checks that a fingerprint whose connections break at backend servers that run
 * on is not suspected.  A full server may break off the load query as well.
 */
void
expect_no_suspect(bool answers_queries)
{
	Servers w(5);

	w.crashing = {CRASHING.lo};
	w.only_connections_break = true;
	w.answers_queries = answers_queries;
	w.run(NS_S);
	for (int i = 0; i < 15; i++) {
		w.send(CRASHING);
		w.run(200 * NS_MS);
	}
	EXPECT_EQ(30, w.crashes[CRASHING.lo]);
	EXPECT_EQ(POISON_NONE, poison_status_of(w.records.p, CRASHING));
	EXPECT_EQ(0u, w.ended_as(CRASHING, ERR_POISON));
}

} // namespace

TEST(Poison, ACrashMakesASuspectAndTwoTrialsProveIt)
{
	int64_t now = NS_S;
	Records m(&now, 1);

	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, CRASHING));
	for (int i = 0; i < 5; i++)
		poison_record_crash(m.p, CRASHING, false);
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, CRASHING));
	EXPECT_FALSE(poison_has_unsent_trial(m.p));
	poison_record_crash(m.p, CRASHING, true);
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, CRASHING));
	EXPECT_TRUE(poison_has_unsent_trial(m.p));
	poison_record_crash(m.p, CRASHING, true);
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, CRASHING));
	EXPECT_EQ(1u, poison_count_proved(m.p));
	EXPECT_EQ(now + POISON_HOLD_NS, poison_retry_at(m.p, CRASHING));
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, OTHER));
	/* A request without a fingerprint is never a suspect. */
	poison_record_crash(m.p, {}, true);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, {}));
}

TEST(Poison, AResponseClearsASuspect)
{
	int64_t now = NS_S;
	Records m(&now, 1);

	poison_record_crash(m.p, CRASHING, true);
	now += NS_S;
	poison_record_success(m.p, CRASHING);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, CRASHING));
	/* The crash before the response does not count any more. */
	now += NS_S;
	poison_record_crash(m.p, CRASHING, true);
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, CRASHING));
}

TEST(Poison, AProvedOneExpiresAndOneMoreTrialDecides)
{
	int64_t now = NS_S;
	Records m(&now, 1);

	poison_record_crash(m.p, OTHER, false);
	poison_record_crash(m.p, CRASHING, true);
	poison_record_crash(m.p, CRASHING, true);
	now += POISON_HOLD_NS - 1;
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, OTHER));
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, CRASHING));
	now++;
	poison_expire(m.p);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, OTHER));
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, CRASHING));
	poison_record_crash(m.p, CRASHING, true);
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, CRASHING));
	now += 2 * POISON_HOLD_NS;
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, CRASHING));
	poison_expire(m.p);
	struct poison_record list[POISON_MSG_RECORDS_MAX];
	EXPECT_EQ(0u, poison_records(m.p, list));
}

/*
 * A crash depends on the request, not on its caller: trials of two callers
 * prove a request for all callers.
 */
TEST(Poison, TrialsOfTwoCallersProveItForAllCallers)
{
	int64_t now = NS_S;
	Records m(&now, 1);
	const struct fprint second = {1, 2, 6}, third = {1, 2, 7};

	poison_record_crash(m.p, CRASHING, false);
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, second));
	poison_record_crash(m.p, CRASHING, true);
	poison_record_crash(m.p, CRASHING, true);
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, CRASHING));
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, second));
	poison_record_crash(m.p, second, true);
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, second));
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, third));
	EXPECT_EQ(now + POISON_HOLD_NS, poison_retry_at(m.p, third));
}

/*
 * A caller whose request was answered is not refused because the same request
 * of other callers crashed servers.
 */
TEST(Poison, ACallerThatWasServedIsNotRefusedForOthers)
{
	int64_t now = NS_S;
	Records m(&now, 1), other(&now, 2);
	const struct fprint served = {1, 2, 6};

	poison_record_crash(m.p, CRASHING, true);
	now += NS_S;
	poison_record_success(m.p, served);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, served));
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, CRASHING));
	now += NS_S;
	poison_record_crash(m.p, CRASHING, true);
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, CRASHING));
	/* After that crash it needs a trial again, but is not refused. */
	now += NS_S;
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, served));
	poison_record_success(m.p, served);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, served));
	/* Another box receives both records. */
	m.send_records(&other);
	EXPECT_EQ(POISON_NONE, poison_status_of(other.p, served));
	EXPECT_EQ(POISON_PROVED, poison_status_of(other.p, CRASHING));
}

/* Records merged in any order, each of them twice, give the same status. */
TEST(Poison, RecordsMayBeMergedInAnyOrder)
{
	int64_t now = NS_S;
	std::vector<struct poison_record> list;
	struct poison_record all[POISON_MSG_RECORDS_MAX];

	for (uint64_t box = 1; box <= 3; box++) {
		Records m(&now, box);

		now += NS_S;
		poison_record_crash(m.p, CRASHING, box > 1);
		if (box == 1)
			poison_record_success(m.p, CRASHING);
		ASSERT_EQ(1u, poison_records(m.p, all));
		list.push_back(all[0]);
		list.push_back(all[0]);
	}
	std::vector<size_t> order = {0, 1, 2, 3, 4, 5};
	do {
		Records m(&now, 9);

		for (size_t i : order)
			poison_merge(m.p, &list[i]);
		EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, CRASHING));
	} while (std::next_permutation(order.begin(), order.end()));
}

/* A request cleared at one box stays cleared when older records arrive. */
TEST(Poison, AnOldRecordDoesNotUndoAResponse)
{
	int64_t now = NS_S;
	Records a(&now, 1), b(&now, 2);

	poison_record_crash(a.p, CRASHING, true);
	a.send_records(&b);
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(b.p, CRASHING));
	now += NS_S;
	poison_record_success(b.p, CRASHING);
	a.send_records(&b);
	EXPECT_EQ(POISON_NONE, poison_status_of(b.p, CRASHING));
	b.send_records(&a);
	EXPECT_EQ(POISON_NONE, poison_status_of(a.p, CRASHING));
}

/*
 * Records that two boxes send to and fro, with a delay each time, must not
 * renew each other: the suspect expires.
 */
TEST(Poison, RecordsSentToAndFroExpire)
{
	int64_t now = NS_S;
	Records a(&now, 1), b(&now, 2);

	poison_record_crash(a.p, CRASHING, false);
	for (int i = 0; i < 1210; i++) {
		a.send_records(&b, 5 * NS_MS);
		b.send_records(&a, 5 * NS_MS);
		now += 500 * NS_MS;
	}
	EXPECT_EQ(POISON_NONE, poison_status_of(a.p, CRASHING));
	EXPECT_EQ(POISON_NONE, poison_status_of(b.p, CRASHING));
}

/*
 * The number of suspects kept and sent is bounded.  The oldest are dropped
 * first, and proved ones are kept.
 */
TEST(Poison, RecordsKeptAndSentAreBounded)
{
	int64_t now = NS_S;
	Records m(&now, 1);
	struct poison_record list[POISON_MSG_RECORDS_MAX];

	poison_record_crash(m.p, CRASHING, true);
	poison_record_crash(m.p, CRASHING, true);
	for (uint64_t i = 10; i < 10000; i++) {
		now += NS_MS;
		poison_record_crash(m.p, {i, i, 0}, false);
	}
	EXPECT_EQ(POISON_PROVED, poison_status_of(m.p, CRASHING));
	EXPECT_EQ(POISON_SUSPECT, poison_status_of(m.p, {9999, 9999, 0}));
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, {10, 10, 0}));
	EXPECT_EQ(static_cast<unsigned>(POISON_MSG_RECORDS_MAX),
	    poison_records(m.p, list));
	EXPECT_TRUE(fprint_eq(CRASHING, list[0].fingerprint));
}

/* Records with a time in the future or no fingerprint are ignored. */
TEST(Poison, InvalidRecordsAreIgnored)
{
	int64_t now = NS_S;
	Records m(&now, 1);
	struct poison_record record = {CRASHING, {5, 6}, now + NS_S, 0};

	poison_merge(m.p, &record);
	EXPECT_EQ(POISON_NONE, poison_status_of(m.p, CRASHING));
	record = {{}, {5, 6}, now, 0};
	poison_merge(m.p, &record);
	EXPECT_EQ(0u, poison_count_proved(m.p));
}

TEST(Trial, AfterThreeCrashesItIsRefusedAtOnce)
{
	Servers w(7);

	w.crashing = {CRASHING.lo};
	w.run(NS_S);
	for (int i = 0; i < 10; i++) {
		w.send(CRASHING);
		w.run(300 * NS_MS);
	}
	EXPECT_EQ(3, w.crashes[CRASHING.lo]);
	EXPECT_EQ(9u, w.ended_as(CRASHING, ERR_POISON));
	Req *r = w.send(CRASHING);
	EXPECT_TRUE(r->ended);
	EXPECT_EQ(ERR_POISON, r->kind);
	EXPECT_EQ(0, r->sends);
}

/* A request that is not repeatable is sent at most once per arrival. */
TEST(Trial, ARequestThatIsNotRepeatableCrashesThreeServersToo)
{
	Servers w(7);

	w.crashing = {CRASHING.lo};
	for (int i = 0; i < 6; i++) {
		w.reqs.push_back(std::make_unique<Req>());
		Req *r = w.reqs.back().get();

		r->d.fingerprint = CRASHING;
		r->d.target = w.now + 300 * NS_MS;
		w.arrive(r, 800, CLASS_INTERACTIVE, false);
		w.run(300 * NS_MS);
		EXPECT_GE(1, r->sends);
	}
	EXPECT_EQ(3, w.crashes[CRASHING.lo]);
}

/* The bound of three crashes holds if each copy has another caller. */
TEST(Trial, ThreeCrashesAreEnoughWhoeverSendsIt)
{
	Servers w(7);

	w.crashing = {CRASHING.lo};
	w.run(NS_S);
	for (uint64_t caller = 1; caller <= 10; caller++) {
		w.send({CRASHING.hi, CRASHING.lo, caller});
		w.run(300 * NS_MS);
	}
	EXPECT_EQ(3, w.crashes[CRASHING.lo]);
}

/*
 * The request crashes the whole machine: connections are not reset, and the
 * requests time out instead.
 */
TEST(Trial, ACrashWithoutAResetCountsToo)
{
	Servers w(7);

	w.crashing = {CRASHING.lo};
	w.silent_crashes = true;
	w.run(NS_S);
	for (int i = 0; i < 12; i++) {
		w.send(CRASHING);
		w.run(NS_S);
	}
	EXPECT_GE(3, w.crashes[CRASHING.lo]);
	EXPECT_LE(8u, w.ended_as(CRASHING, ERR_POISON));
}

/* Copies that arrive at once must not each crash a backend server. */
TEST(Trial, OneOfManyCopiesIsTriedAtATime)
{
	Servers w(12);

	w.crashing = {CRASHING.lo};
	w.run(NS_S);
	w.send(CRASHING);
	w.run(10 * NS_MS);
	for (int i = 0; i < 40; i++) {
		w.send(CRASHING);
		w.run(10 * NS_MS);
	}
	w.run(NS_S);
	/* Five were in flight before the first crash was seen; two trials. */
	EXPECT_EQ(7, w.crashes[CRASHING.lo]);
	EXPECT_EQ(0u, w.requests_beside_trials);
}

/*
 * A harmless request that is sent again and again often runs beside one of
 * twenty different requests that crash servers.  It must never be refused for
 * that.
 */
TEST(Trial, ARequestThatRunsBesideASuspectIsNeverRefused)
{
	Servers w(9);
	uint64_t next = 100;

	w.run(NS_S);
	for (int i = 0; i < 400; i++) {
		if (i % 20 == 0) {
			w.crashing.insert(++next);
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
		    w.crashing.count(r->d.fingerprint.lo) != 0);
	EXPECT_EQ(0u, w.requests_beside_trials);
	/* Each crashed at most two servers, as its rule allows two attempts. */
	for (uint64_t bad : w.crashing)
		EXPECT_GE(2, w.crashes[bad]);
}

/* A broken connection to a backend server that runs makes no suspect. */
TEST(Trial, ABrokenConnectionMakesNoSuspect)
{
	for (bool answers_queries : {true, false})
		expect_no_suspect(answers_queries);
}

/*
 * After half of the servers were lost at once, many harmless requests are
 * suspects.  Their trials must not take the capacity that others need.
 */
TEST(Trial, ManySuspectsLeaveCapacityForOthers)
{
	Servers w(12);
	size_t late = 0;

	w.run(NS_S);
	for (int i = 0; i < 18; i++)
		w.send({1, static_cast<uint64_t>(1000 + i), 0});
	w.run(20 * NS_MS);
	for (int b = 0; b < 6; b++) {
		std::string name = "b" + std::to_string(b);
		std::set<Req *> broken;

		broken.swap(w.running[name]);
		w.down_until[name] = w.now + 3 * NS_S;
		for (Req *one : broken)
			w.finish_attempt(
			    one, one->sends, name, DISP_CONN_BROKEN);
	}
	for (int i = 0; i < 40; i++) {
		w.send({2, static_cast<uint64_t>(2000 + i), 0});
		w.run(5 * NS_MS);
	}
	w.run(NS_S);
	for (auto &r : w.reqs)
		late += r->kind != ERR_NONE;
	EXPECT_EQ(0u, late);
	EXPECT_EQ(0u, w.requests_beside_trials);
}

/* All halls forward a suspect to the same hall for its trial. */
TEST(Trial, OneHallTriesASuspect)
{
	int forwarded = 0, trials = 0;

	for (uint64_t i = 1; i <= 40; i++) {
		struct fprint fingerprint = {i, i * 977, 0};
		std::string to[2];
		const char *halls[] = {"north", "south"};

		for (int at = 0; at < 2; at++) {
			Servers w(3);
			struct disp_params prm = {};
			struct disp_capacity capacity = {9, 9, 0};
			std::string other = halls[1 - at];

			prm.policy = pick_by_name(STR_LIT("pace"));
			prm.chart = w.chart;
			prm.poison = w.records.p;
			prm.hall = str_c(halls[at]);
			disp_configure(w.disp, &prm);
			disp_set_hall_slots(w.disp, str_c(other.c_str()), 9);
			disp_set_hall_capacity(
			    w.disp, str_c(other.c_str()), &capacity);
			poison_record_crash(w.records.p, fingerprint, false);
			w.reqs.push_back(std::make_unique<Req>());
			Req *r = w.reqs.back().get();

			r->d.fingerprint = fingerprint;
			r->d.can_forward = true;
			w.arrive(r, 800);
			to[at] = r->forwarded ? other : halls[at];
			forwarded += r->forwarded;
			trials += r->sends;
		}
		EXPECT_EQ(to[0], to[1]);
	}
	EXPECT_EQ(40, forwarded);
	EXPECT_EQ(40, trials);
}
