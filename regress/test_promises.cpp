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
/* Tests of what must always hold under faults, with real processes. */
#include <csignal>
#include <gtest/gtest.h>

#include "fleet.h"

namespace
{

FleetOptions
small_fleet(int boxes, int backends, const std::string &keys)
{
	FleetOptions o;

	o.boxes = boxes;
	o.halls = {"north", "south"};
	o.gate_settings = "leave_wait_ms = 300\n";
	o.agent_settings = "hello_ms = 200\nlist_ms = 2000\n";
	for (int i = 0; i < backends; i++) {
		BackendOptions b;

		b.hall = i % 2 == 0 ? "north" : "south";
		b.keys = keys;
		o.backends.push_back(b);
	}
	return o;
}

/* The number of objects that put_rules() adds. */
const size_t RULES = 4;

void
put_rules(Fleet &f)
{
	f.put("service/dir", R"({"select":"app=dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
	f.put(
	    "rule/pay", R"({"path":"/pay","service":"dir","repeatable":"no"})");
	f.put(
	    "rule/bulk", R"({"path":"/bulk","service":"dir","class":"bulk"})");
}

bool
up(Fleet &f)
{
	f.start();
	put_rules(f);
	size_t n = RULES + f.backends.size();

	return f.wait_ready() && until([&] { return f.in_force(n); });
}

std::vector<std::string>
doors(const Fleet &f)
{
	std::vector<std::string> v;

	for (auto &b : f.boxes)
		v.push_back(b.listen);
	return v;
}

std::vector<Stream>
mixed(double rate)
{
	Stream read, pay, keyed, bulk;

	read.rate = rate;
	pay.rate = keyed.rate = rate / 4;
	pay.method = keyed.method = "POST";
	pay.path = keyed.path = "/pay/x";
	keyed.keyed = true;
	bulk.rate = rate / 8;
	bulk.path = "/bulk/x";
	bulk.size = 200000;
	bulk.cls = 1;
	return {read, pay, keyed, bulk};
}

/*
 * Stops the load, waits until all requests are answered and checks the recorded
 * outcomes for violations.
 */
void
settle(Fleet &f, Load &load)
{
	load.stop();
	ASSERT_TRUE(until([&] { return load.drained(); }, 40000));
	for (auto &v : violations(load.outcomes, f.runs()))
		ADD_FAILURE() << v;
}

int
count_good(const Load &load)
{
	int n = 0;

	for (auto &o : load.outcomes)
		n += o.right;
	return n;
}

} // namespace

TEST(Promise, KillsOfGatesAgentsAndBackendServersUnderLoad)
{
	Fleet f(small_fleet(3, 4, "ms=8 spread=1"));

	ASSERT_TRUE(up(f));
	Load load(doors(f), mixed(120), 11);
	load.start();
	for (int round = 0; round < 3; round++) {
		pump(400);
		f.boxes[static_cast<size_t>(round)].gate.kill9();
		pump(200);
		f.start_box(static_cast<size_t>(round));
		f.boxes[static_cast<size_t>(round + 1) % 3]
		    .agent_process.kill9();
		pump(200);
		f.start_box(static_cast<size_t>(round + 1) % 3);
		f.backends[static_cast<size_t>(round)]->process.kill9();
		pump(300);
		f.backends[static_cast<size_t>(round)]->process.start();
		ASSERT_TRUE(f.wait_ready());
	}
	settle(f, load);
	EXPECT_GT(count_good(load), 300);
}

TEST(Promise, FreezesOfGatesAndBackendServers)
{
	Fleet f(small_fleet(3, 4, "ms=8 spread=1"));

	ASSERT_TRUE(up(f));
	Load load(doors(f), mixed(100), 12);
	load.start();
	for (size_t i = 0; i < 3; i++) {
		pump(300);
		f.boxes[i].gate.signal(SIGSTOP);
		f.backends[i]->process.signal(SIGSTOP);
		pump(1500);
		f.boxes[i].gate.signal(SIGCONT);
		f.backends[i]->process.signal(SIGCONT);
	}
	settle(f, load);
	EXPECT_GT(count_good(load), 300);
}

TEST(Promise, CutTruncatedAndUnansweredConnections)
{
	FleetOptions o = small_fleet(2, 4, "ms=5 spread=1");

	for (auto &b : o.backends)
		b.proxied = true;
	Fleet f(o);
	ASSERT_TRUE(up(f));
	Load load(doors(f), mixed(120), 13);
	load.start();
	const char *modes[] = {"mode=cut", "mode=truncate&bytes=600",
	    "mode=drop_answers", "mode=blackhole", "mode=freeze"};
	for (size_t i = 0; i < 5; i++) {
		f.backends[i % 4]->proxy->set(modes[i]);
		pump(600);
		f.backends[i % 4]->proxy->set("mode=pass");
		pump(200);
	}
	settle(f, load);
	EXPECT_GT(count_good(load), 250);
}

TEST(Promise, AnIncompleteAnswerIsAnErrorAndNoCleanEnd)
{
	FleetOptions o = small_fleet(1, 1, "ms=2 cut=100000 chunked=1");
	Fleet f(o);

	/*
	 * Without a length, only the end of the body shows whether it is
	 * complete.
	 */
	ASSERT_TRUE(up(f));
	for (const char *flag : {"--http1.1", "--http2-prior-knowledge"}) {
		Process p;

		p.argv = {"/usr/bin/curl", "-s", "-o", "/dev/null", flag,
		    "--max-time", "10",
		    "http://" + f.boxes[0].listen + "/dir/x?size=500000"};
		p.log = f.dir + "/ctl.log";
		p.start();
		EXPECT_NE(0, p.wait_exit()) << flag;
	}
}

TEST(Promise, NotRunIsSaidOnlyWhenItIsCertain)
{
	FleetOptions o = small_fleet(1, 1, "ms=2");

	o.backends[0].proxied = true;
	Fleet f(o);
	ASSERT_TRUE(up(f));
	std::string door = f.boxes[0].listen;
	Headers id1 = {{"x-request-id", "one"}},
		id2 = {{"x-request-id", "two"}};

	/* The request arrives and runs, but its response is lost. */
	f.backends[0]->proxy->set("mode=drop_answers");
	Reply r = http("POST", door, "/pay/x", id1, "pay");
	EXPECT_EQ(502, r.status);
	EXPECT_EQ("cut", r.header("fern-error"));
	EXPECT_EQ("unknown", r.header("fern-ran"));
	EXPECT_EQ(1, f.runs()["one"]);
	/* Nothing listens, so nothing was sent, and the response says so. */
	f.backends[0]->proxy->process.kill9();
	r = http("POST", door, "/pay/x", id2, "pay");
	/* The error depends on whether a probe failed before the request. */
	EXPECT_TRUE(r.header("fern-error") == "connect" ||
	    r.header("fern-error") == "no-backend")
	    << r.header("fern-error");
	EXPECT_EQ("no", r.header("fern-ran"));
	EXPECT_EQ(0, f.runs()["two"]);
}

TEST(Promise, ARefusalBeforeRunningIsTriedElsewhere)
{
	Fleet f(small_fleet(1, 4, "ms=2"));

	ASSERT_TRUE(up(f));
	f.backends[0]->set("refuse=1");
	f.backends[2]->set("refuse=1");
	f.backends[1]->set("refuse=1");
	for (int i = 0; i < 10; i++) {
		Reply r = http("POST", f.boxes[0].listen, "/pay/x",
		    {{"x-request-id", "p" + std::to_string(i)}}, "pay");

		EXPECT_EQ(200, r.status) << r.header("fern-error");
		EXPECT_EQ(1, f.runs()["p" + std::to_string(i)]);
	}
}

TEST(Promise, RetriesDoNotMultiplyDownAChain)
{
	Fleet f(small_fleet(2, 4, "ms=2 fail=1"));

	ASSERT_TRUE(up(f));
	http("GET", f.boxes[0].listen, "/dir/x",
	    {{"x-request-id", "retry"}, {"fern-retried", "yes"}});
	EXPECT_EQ(1, f.runs()["retry"]);
	http("GET", f.boxes[0].listen, "/dir/x", {{"x-request-id", "first"}});
	EXPECT_GT(f.runs()["first"], 1);
}

TEST(Promise, OneKeyRunsOnceThroughWhicheverBox)
{
	Fleet f(small_fleet(3, 2, "ms=20"));
	int answered = 0, ran = 0, duplicates = 0;

	ASSERT_TRUE(up(f));
	for (int i = 0; i < 12; i++)
		http_start("POST", f.boxes[static_cast<size_t>(i) % 3].listen,
		    "/pay/x",
		    {{"x-request-id", "same"}, {"idempotency-key", "k"}}, "pay",
		    10000, [&](const Reply &r) {
			    answered++;
			    ran += r.status == 200;
			    duplicates += r.status == 409;
		    });
	ASSERT_TRUE(until([&] { return answered == 12; }));
	EXPECT_EQ(1, ran);
	EXPECT_EQ(11, duplicates);
	EXPECT_EQ(1, f.runs()["same"]);
}

TEST(Promise, AClaimWhoseAnswerIsLostIsReadBack)
{
	Fleet f(small_fleet(1, 2, "ms=2"));

	ASSERT_TRUE(up(f));
	f.set_platform("mode=lost");
	Reply r = http("POST", f.boxes[0].listen, "/pay/x",
	    {{"x-request-id", "lost"}, {"idempotency-key", "lost"}}, "pay");
	EXPECT_EQ(200, r.status);
	EXPECT_EQ(1, f.runs()["lost"]);
	f.set_platform("mode=up");
	r = http("POST", f.boxes[0].listen, "/pay/x",
	    {{"x-request-id", "lost"}, {"idempotency-key", "lost"}}, "pay");
	EXPECT_EQ(409, r.status);
	EXPECT_EQ(1, f.runs()["lost"]);
}

TEST(Promise, WithThePlatformDownAKeyIsRefusedAsNotRun)
{
	Fleet f(small_fleet(1, 2, "ms=2"));

	ASSERT_TRUE(up(f));
	f.set_platform("mode=down");
	Headers h = {{"x-request-id", "out"}, {"idempotency-key", "out"}};
	Reply r = http("POST", f.boxes[0].listen, "/pay/x", h, "pay");
	EXPECT_EQ(503, r.status);
	EXPECT_EQ("claim", r.header("fern-error"));
	EXPECT_EQ("no", r.header("fern-ran"));
	EXPECT_NE("", r.header("retry-after"));
	EXPECT_EQ(0, f.runs()["out"]);
	/* Reads continue, and the key works once the platform is back. */
	EXPECT_EQ(200, http("GET", f.boxes[0].listen, "/dir/x").status);
	f.set_platform("mode=up");
	EXPECT_EQ(
	    200, http("POST", f.boxes[0].listen, "/pay/x", h, "pay").status);
	EXPECT_EQ(1, f.runs()["out"]);
}

TEST(Promise, ADrainIsKeptInEachWayItIsTold)
{
	Fleet f(small_fleet(2, 4, "ms=3"));
	std::string out;

	ASSERT_TRUE(up(f));
	/*
	 * A server drains by its object, by a label, by its own responses, and
	 * by its health.
	 */
	EXPECT_EQ(0, f.ctl({"drain", "b0"}, &out));
	EXPECT_EQ(0, f.ctl({"label", "b1", "drain=yes"}, &out));
	f.backends[2]->set("drain=1");
	Load load(doors(f), mixed(100), 14);
	load.start();
	pump(3000);
	long before[3];
	for (size_t i = 0; i < 3; i++)
		before[i] = f.backends[i]->count("ran");
	pump(1000);
	for (size_t i = 0; i < 3; i++)
		EXPECT_EQ(before[i], f.backends[i]->count("ran")) << i;
	settle(f, load);
	for (auto &o : load.outcomes)
		EXPECT_EQ(200, o.status) << o.kind;
	EXPECT_EQ(0, f.ctl({"undrain", "b0"}, &out));
	EXPECT_TRUE(until([&] {
		http("GET", f.boxes[0].listen, "/dir/x");
		return f.backends[0]->count("ran") > before[0];
	}));
}

/*
 * The servers of a hall were full and those of the other one had just drained,
 * which that hall had not reported yet: it was sent the request three times,
 * and its refusal ended the request.
 */
TEST(Promise, ARequestWaitsWhereTheOtherHallHasJustDrained)
{
	FleetOptions o = small_fleet(2, 2, "ms=3");
	bool done[3] = {};

	o.gate_settings += "summary_ms = 1000\n";
	Fleet f(o);
	ASSERT_TRUE(up(f));
	/* Reports come each second, and servers are cold before. */
	for (double end = now_ms() + 2500; now_ms() < end;)
		for (auto &b : f.boxes)
			EXPECT_EQ(200, http("GET", b.listen, "/dir/x").status);
	f.backends[1]->set("ms=500");
	for (bool &d : done)
		http_start("GET", f.boxes[1].listen, "/dir/x", {}, "", 5000,
		    [&](const Reply &r) {
			    EXPECT_EQ(200, r.status) << r.body;
			    d = true;
		    });
	f.backends[0]->set("drain=1");
	long before = f.backends[0]->count("ran");
	EXPECT_EQ(200, http("GET", f.boxes[0].listen, "/dir/x").status);
	EXPECT_EQ(before + 1, f.backends[0]->count("ran"));
	Reply r = http("GET", f.boxes[0].listen, "/dir/x");
	EXPECT_EQ(200, r.status) << r.body;
	EXPECT_EQ(before + 1, f.backends[0]->count("ran"));
	EXPECT_TRUE(until([&] { return done[0] && done[1] && done[2]; }));
}

TEST(Promise, ADrainIsKeptByItsOwnAnswers)
{
	FleetOptions o = small_fleet(1, 4, "ms=3");

	/* Probes are far too rare to discover the drain. */
	Fleet f(o);
	f.start();
	f.put("service/dir", R"({"select":"app=dir","probe_ms":600000})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
	ASSERT_TRUE(f.wait_ready());
	ASSERT_TRUE(until([&] { return f.in_force(6); }));
	ASSERT_TRUE(until([&] {
		http("GET", f.boxes[0].listen, "/dir/x");
		return f.backends[0]->count("ran") > 0;
	}));
	f.backends[0]->set("drain=1");
	long before = f.backends[0]->count("ran");
	for (int i = 0; i < 60; i++)
		http("GET", f.boxes[0].listen, "/dir/x");
	/* The response that reports the drain is the last one. */
	EXPECT_LE(f.backends[0]->count("ran"), before + 1);
}

TEST(Promise, AFrozenHomeIsLeftWithinMilliseconds)
{
	FleetOptions o = small_fleet(2, 2, "ms=3");

	o.halls = {"north"};
	for (auto &b : o.backends)
		b.hall = "north";
	Fleet f(o);
	ASSERT_TRUE(up(f));
	/* The box that is not the owner forwards; its counter identifies it. */
	for (auto &b : f.boxes)
		http("GET", b.listen, "/dir/x");
	size_t home = f.metric(0, "fern_passed_out_total") > 0 ? 1 : 0;
	for (int i = 0; i < 10; i++)
		http("GET", f.boxes[1 - home].listen, "/dir/x");
	f.boxes[home].gate.signal(SIGSTOP);
	double began = now_ms();
	Reply r = http("GET", f.boxes[1 - home].listen, "/dir/x");
	double took = now_ms() - began;
	f.boxes[home].gate.signal(SIGCONT);
	EXPECT_EQ(200, r.status);
	/*
	 * The other box sends a query after 20 ms and gives up the owner 40 ms
	 * later. The bound leaves time for slow machines and is far below the
	 * deadline of 5 s.
	 */
	EXPECT_LT(took, 1000);
}

TEST(Promise, ALeavingBoxIsPassedNothingMore)
{
	FleetOptions o = small_fleet(2, 2, "ms=3");

	o.halls = {"north"};
	for (auto &b : o.backends)
		b.hall = "north";
	o.gate_settings = "leave_wait_ms = 4000\n";
	Fleet f(o);
	ASSERT_TRUE(up(f));
	for (auto &b : f.boxes)
		http("GET", b.listen, "/dir/x");
	size_t home = f.metric(0, "fern_passed_out_total") > 0 ? 1 : 0;
	f.boxes[home].gate.signal(SIGTERM);
	/*
	 * The other box knows long before the leaving box closes its listeners.
	 */
	EXPECT_TRUE(
	    until([&] { return f.metric(1 - home, "fern_boxes") == 1; }, 3000));
	double passed = f.metric(1 - home, "fern_passed_out_total");
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(200,
		    http("GET", f.boxes[1 - home].listen, "/dir/x").status);
	EXPECT_EQ(passed, f.metric(1 - home, "fern_passed_out_total"));
	EXPECT_EQ(0, f.boxes[home].gate.wait_exit());
}

/*
 * The next owner of a shard is told which requests the leaving one has in
 * flight.  Without that it would send each server as many requests again as the
 * server has slots.
 */
TEST(Promise, AfterAPlannedMoveNoServerGetsMoreThanItsSlots)
{
	FleetOptions o = small_fleet(2, 4, "ms=400");

	o.halls = {"north"};
	for (auto &b : o.backends)
		b.hall = "north";
	/*
	 * With the usual 40 ms a busy machine makes the boxes suspect each
	 * other before the move, and both then send to the servers.
	 */
	o.gate_settings = "leave_wait_ms = 2000\nping_wait_ms = 5000\n";
	Fleet f(o);
	ASSERT_TRUE(up(f));
	/* The servers would run more than they are configured for. */
	for (auto &b : f.backends)
		b->set("slots=20");
	for (auto &b : f.boxes)
		http("GET", b.listen, "/dir/x");
	size_t home = f.metric(0, "fern_passed_out_total") > 0 ? 1 : 0;
	Stream s;
	s.rate = 40; /* 12 slots can serve 30 a second */
	Load load({f.boxes[1 - home].listen}, {s}, 16);
	load.start();
	pump(2500);
	f.boxes[home].gate.signal(SIGTERM);
	pump(1500);
	settle(f, load);
	EXPECT_EQ(0, f.boxes[home].gate.wait_exit());
	EXPECT_EQ(0, f.metric(1 - home, "fern_homes_left_total"));
	for (auto &b : f.backends) {
		EXPECT_LE(2, b->count("peak"));
		EXPECT_GE(b->options.slots, b->count("peak"));
	}
	EXPECT_NE(std::string::npos,
	    f.boxes[1 - home].gate.read_log().find(
		"msg=\"shard state received\" service=dir"));
	EXPECT_EQ(1, f.metric(1 - home, "fern_shard_states_received_total"));
	for (auto &out : load.outcomes)
		EXPECT_TRUE(
		    out.right || out.not_repeatable || out.status == 503)
		    << out.id << " " << out.status << " " << out.kind;
}

/* The same holds when the box comes back and owns the shard again. */
TEST(Promise, AfterAShardGoesBackNoServerGetsMoreThanItsSlots)
{
	FleetOptions o = small_fleet(2, 4, "ms=400");

	o.halls = {"north"};
	for (auto &b : o.backends)
		b.hall = "north";
	o.gate_settings = "ping_wait_ms = 5000\n"; /* as above */
	Fleet f(o);
	ASSERT_TRUE(up(f));
	for (auto &b : f.backends)
		b->set("slots=20");
	for (auto &b : f.boxes)
		http("GET", b.listen, "/dir/x");
	size_t home = f.metric(0, "fern_passed_out_total") > 0 ? 1 : 0;
	f.boxes[home].gate.signal(SIGTERM);
	EXPECT_EQ(0, f.boxes[home].gate.wait_exit());
	Stream s;
	s.rate = 40;
	Load load({f.boxes[1 - home].listen}, {s}, 17);
	load.start();
	pump(1500);
	f.start_box(home);
	EXPECT_TRUE(until(
	    [&] {
		    return f.ready(home) &&
			f.metric(home, "fern_shard_states_received_total") == 1;
	    },
	    10000));
	pump(1500);
	settle(f, load);
	EXPECT_EQ(0, f.metric(1 - home, "fern_homes_left_total"));
	for (auto &b : f.backends) {
		EXPECT_LE(2, b->count("peak"));
		EXPECT_GE(b->options.slots, b->count("peak"));
	}
	for (auto &out : load.outcomes)
		EXPECT_TRUE(out.right || out.status == 503)
		    << out.id << " " << out.status << " " << out.kind;
}

TEST(Promise, ARollingRestartOfAllBoxesCutsOffNothing)
{
	Fleet f(small_fleet(3, 4, "ms=8 spread=1"));
	std::vector<bool> in(3, true);

	ASSERT_TRUE(up(f));
	Load load(doors(f), mixed(100), 15);
	/*
	 * The platform's balancer uses the boxes that report themselves ready.
	 */
	load.target_up = [&](size_t i) {
		return in[i];
	};
	load.start();
	for (size_t i = 0; i < 3; i++) {
		f.boxes[i].gate.signal(SIGTERM);
		until([&] { return !f.ready(i); });
		in[i] = false;
		EXPECT_EQ(0, f.boxes[i].gate.wait_exit());
		f.boxes[i].agent_process.signal(SIGTERM);
		EXPECT_EQ(0, f.boxes[i].agent_process.wait_exit());
		EXPECT_NE(std::string::npos,
		    f.boxes[i].gate.read_log().find(" requests_cut=0\n"));
		f.start_box(i);
		ASSERT_TRUE(f.wait_ready());
		in[i] = true;
		pump(200);
	}
	settle(f, load);
	for (auto &o : load.outcomes)
		EXPECT_TRUE(o.right)
		    << o.id << " " << o.status << " " << o.kind;
	EXPECT_GT(count_good(load), 200);
}

TEST(Promise, APlannedStopLetsALongExtractEnd)
{
	Fleet f(small_fleet(2, 2, "ms=2"));
	Process p;

	ASSERT_TRUE(up(f));
	p.argv = {"/usr/bin/curl", "-s", "--fail", "-o", "/dev/null",
	    "--limit-rate", "20M", "--max-time", "60",
	    "http://" + f.boxes[0].listen + "/bulk/x?size=50000000"};
	p.log = f.dir + "/ctl.log";
	p.start();
	ASSERT_TRUE(
	    until([&] { return f.metric(0, "fern_requests_inflight") >= 1; }));
	f.boxes[0].gate.signal(SIGTERM);
	EXPECT_EQ(0, p.wait_exit(60000));
	EXPECT_EQ(0, f.boxes[0].gate.wait_exit());
}

TEST(Promise, ASecondSignalEndsAndSaysWhatWasCut)
{
	Fleet f(small_fleet(1, 1, "ms=20000"));
	bool ended = false;

	ASSERT_TRUE(up(f));
	http_start("GET", f.boxes[0].listen, "/dir/x", {}, "", 20000,
	    [&](const Reply &) { ended = true; });
	ASSERT_TRUE(
	    until([&] { return f.metric(0, "fern_requests_inflight") >= 1; }));
	f.boxes[0].gate.signal(SIGTERM);
	ASSERT_TRUE(until([&] { return !f.ready(0); }));
	f.boxes[0].gate.signal(SIGTERM);
	EXPECT_EQ(0, f.boxes[0].gate.wait_exit());
	EXPECT_NE(std::string::npos,
	    f.boxes[0].gate.read_log().find(" requests_cut=1\n"));
	EXPECT_TRUE(until([&] { return ended; }));
}

TEST(Promise, TheGateServesWhenItsAgentIsGone)
{
	Fleet f(small_fleet(1, 2, "ms=2"));

	ASSERT_TRUE(up(f));
	f.boxes[0].agent_process.kill9();
	f.platform.kill9();
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, http("GET", f.boxes[0].listen, "/dir/x").status);
}
