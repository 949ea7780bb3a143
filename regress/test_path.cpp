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
/* End-to-end tests of the whole path of a request, with real processes. */
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>

#include "fleet.h"

namespace
{

FleetOptions
two_halls(int boxes, int backends)
{
	FleetOptions o;

	o.boxes = boxes;
	o.halls = {"north", "south"};
	for (int i = 0; i < backends; i++) {
		BackendOptions b;

		b.hall = i % 2 == 0 ? "north" : "south";
		o.backends.push_back(b);
	}
	return o;
}

void
add_rules(Fleet &f)
{
	f.put("service/dir", R"({"select":"app=dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
}

bool
wait_force(Fleet &f, size_t objects)
{
	return f.wait_ready() && until([&] { return f.in_force(objects); });
}

} // namespace

TEST(Path, RequestReachesABackendServerThroughEachBox)
{
	Fleet f(two_halls(3, 4));

	f.start();
	add_rules(f);
	ASSERT_TRUE(wait_force(f, 6));
	for (auto &b : f.boxes) {
		Reply r = http("GET", b.listen, "/dir/x?size=5000",
		    {{"x-request-id", "id-7"}});

		EXPECT_EQ(200, r.status);
		EXPECT_TRUE(r.complete);
		EXPECT_EQ("id-7", r.header("x-request-id"));
		EXPECT_EQ(5000u, r.body.size());
	}
}

/* A 304 with a Content-Length was only answered at the deadline, or never. */
TEST(Path, AResponseWithoutABodyIsPassedOnAtOnce)
{
	Fleet f(two_halls(3, 2));

	f.start();
	add_rules(f);
	ASSERT_TRUE(wait_force(f, 4));
	for (int status : {304, 204}) {
		for (auto &b : f.backends)
			b->set("bodyless=" + std::to_string(status));
		for (auto &b : f.boxes) {
			double started = now_ms();
			Reply r = http("GET", b.listen, "/dir/x");

			EXPECT_EQ(status, r.status) << b.name;
			EXPECT_TRUE(r.complete) << b.name;
			EXPECT_LT(now_ms() - started, 1000) << b.name;
			EXPECT_EQ(status == 304 ? "1024" : "",
			    r.header("content-length"))
			    << b.name;
		}
	}
}

TEST(Path, OwnAnswersCarryKindAndWhetherItRan)
{
	FleetOptions o = two_halls(1, 1);

	o.gate_settings = "body_max = 1000\n";
	Fleet f(o);
	f.start();
	add_rules(f);
	f.put("rule/lost", R"({"path":"/lost","service":"gone"})");
	ASSERT_TRUE(wait_force(f, 4));
	Reply r = http("GET", f.boxes[0].listen, "/none");
	EXPECT_EQ(404, r.status);
	EXPECT_EQ("no-rule", r.header("fern-error"));
	EXPECT_EQ("no", r.header("fern-ran"));
	r = http("GET", f.boxes[0].listen, "/lost");
	EXPECT_EQ(503, r.status);
	EXPECT_EQ("no-service", r.header("fern-error"));
	EXPECT_EQ("2", r.header("retry-after"));
	r = http("POST", f.boxes[0].listen, "/dir", {}, std::string(2000, 'x'));
	EXPECT_EQ(413, r.status);
	EXPECT_EQ("too-large", r.header("fern-error"));
	EXPECT_EQ("no", r.header("fern-ran"));
}

TEST(Path, CurlServesAsACallerInBothVersionsOfHttp)
{
	Fleet f(two_halls(2, 2));

	f.start();
	add_rules(f);
	ASSERT_TRUE(wait_force(f, 4));
	for (const char *flag :
	    {"--http1.1", "--http2", "--http2-prior-knowledge"}) {
		Process p;

		p.argv = {"/usr/bin/curl", "-s", "--fail", "-o", "/dev/null",
		    flag, "--max-time", "10",
		    "http://" + f.boxes[0].listen + "/dir/x?size=300000"};
		p.log = f.dir + "/ctl.log";
		p.start();
		EXPECT_EQ(0, p.wait_exit()) << flag;
	}
}

TEST(Path, AGigabyteDoesNotSitInMemory)
{
	Fleet f(two_halls(2, 2));
	struct {
		const char *size, *rate;
	} pulls[] = {{"1000000000", "10G"}, {"300000000", "60M"}};

	f.start();
	add_rules(f);
	ASSERT_TRUE(wait_force(f, 4));
	for (auto &pull : pulls) {
		Process p;

		p.argv = {"/usr/bin/curl", "-s", "--fail", "-o", "/dev/null",
		    "--limit-rate", pull.rate, "--max-time", "60",
		    "http://" + f.boxes[0].listen + "/dir/x?size=" + pull.size};
		p.log = f.dir + "/ctl.log";
		p.start();
		EXPECT_EQ(0, p.wait_exit(60000));
		EXPECT_LT(f.boxes[0].gate.peak_kb(), 64 * 1024);
	}
}

TEST(Path, HeldUntilASlotIsFree)
{
	FleetOptions o;

	o.boxes = 2;
	o.backends.resize(1);
	o.backends[0].keys = "ms=30 shed=1";
	Fleet f(o);
	f.start();
	add_rules(f);
	ASSERT_TRUE(wait_force(f, 3));
	/* Warm up, as a cold backend server gets one request at a time. */
	for (int i = 0; i < 4; i++)
		http("GET", f.boxes[0].listen, "/dir/x");
	int done = 0, good = 0;
	for (int i = 0; i < 20; i++)
		http_start("GET", f.boxes[static_cast<size_t>(i) % 2].listen,
		    "/dir/x", {}, "", 10000, [&](const Reply &r) {
			    done++;
			    good += r.status == 200;
		    });
	EXPECT_TRUE(until([&] { return done == 20; }));
	EXPECT_EQ(20, good);
	/*
	 * One owner knows every slot, so nothing was shed and no slot stayed
	 * unused.
	 */
	EXPECT_EQ(0, f.backends[0]->count("shed"));
	EXPECT_EQ(3, f.backends[0]->count("peak"));
}

TEST(Path, GivenUpAtOnceWhenTheDeadlineCannotBeMet)
{
	FleetOptions o;

	o.boxes = 1;
	o.backends.resize(1);
	o.backends[0].keys = "ms=200";
	Fleet f(o);
	f.start();
	add_rules(f);
	ASSERT_TRUE(wait_force(f, 3));
	for (int i = 0; i < 4; i++)
		http("GET", f.boxes[0].listen, "/dir/x");
	int done = 0;
	for (int i = 0; i < 9; i++)
		http_start("GET", f.boxes[0].listen, "/dir/x", {}, "", 10000,
		    [&](const Reply &) { done++; });
	until([&] { return f.metric(0, "fern_requests_inflight") >= 9; });
	double began = now_ms();
	Reply r = http(
	    "GET", f.boxes[0].listen, "/dir/x", {{"fern-deadline-ms", "300"}});
	EXPECT_EQ(503, r.status);
	EXPECT_EQ("busy", r.header("fern-error"));
	EXPECT_EQ("no", r.header("fern-ran"));
	EXPECT_NE("", r.header("retry-after"));
	/* At once, which is well before the deadline of 300 ms. */
	EXPECT_LT(now_ms() - began, 250);
	EXPECT_TRUE(until([&] { return done == 9; }));
}

TEST(Path, LimitsOfARuleHoldForTheFleet)
{
	FleetOptions o;

	o.boxes = 2;
	o.backends.resize(2);
	Fleet f(o);
	f.start();
	f.put("service/dir", R"({"select":"app=dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir","rate":20})");
	ASSERT_TRUE(wait_force(f, 4));
	Stream s;
	s.rate = 200;
	Load load({f.boxes[0].listen, f.boxes[1].listen}, {s}, 1);
	load.start();
	pump(3000);
	load.stop();
	ASSERT_TRUE(until([&] { return load.drained(); }));
	int good = 0, limited = 0;
	for (auto &out : load.outcomes) {
		good += out.status == 200;
		limited += out.kind == "over-limit";
	}
	/* 20 a second for 3 s, and a burst of 200 ms' worth at each box. */
	EXPECT_GE(good, 45);
	EXPECT_LE(good, 20 * 3 + 2 * 4 + 8);
	EXPECT_GT(limited, 300);
}

TEST(Ctl, ApplyDiffLabelDrainStatusExplain)
{
	Fleet f(two_halls(2, 2));
	std::string out, file;

	f.start();
	file = f.dir + "/box0-gate.log.toml";
	std::ofstream(file) << "[[service]]\nname = \"dir\"\n"
			       "select = \"app=dir,!cold\"\n"
			       "[[rule]]\nname = \"dir\"\npath = \"/dir\"\n"
			       "service = \"dir\"\n";
	EXPECT_EQ(0, f.ctl({"apply", file}, &out));
	EXPECT_NE(std::string::npos, out.find("service/dir created"));
	EXPECT_EQ(0, f.ctl({"apply", file}, &out));
	EXPECT_NE(std::string::npos, out.find("rule/dir unchanged"));
	ASSERT_TRUE(wait_force(f, 4));
	EXPECT_EQ(0, f.ctl({"explain", "/dir/x"}, &out));
	EXPECT_NE(std::string::npos, out.find("b0 in north"));
	EXPECT_NE(std::string::npos, out.find("b1 in south"));
	EXPECT_EQ(0, f.ctl({"label", "b0", "cold=yes"}, &out));
	EXPECT_EQ(0, f.ctl({"explain", "/dir/x"}, &out));
	EXPECT_EQ(std::string::npos, out.find("b0 in north"));
	EXPECT_EQ(0, f.ctl({"label", "b0", "cold-"}, &out));
	EXPECT_EQ(0, f.ctl({"drain", "b1"}, &out));
	EXPECT_EQ(0, f.ctl({"explain", "/dir/x"}, &out));
	EXPECT_NE(std::string::npos, out.find("draining"));
	EXPECT_EQ(0, f.ctl({"undrain", "b1"}, &out));
	EXPECT_EQ(0, f.ctl({"limits", "service/dir", "rate=50"}, &out));
	EXPECT_EQ(4, f.ctl({"limits", "service/dir", "rate=999999999"}, &out));
	EXPECT_EQ(0, f.ctl({"get", "service/dir"}, &out));
	EXPECT_NE(std::string::npos, out.find("\"rate\":50"));
	EXPECT_TRUE(until([&] {
		f.ctl({"status"}, &out);
		return out.find("box0") != std::string::npos &&
		    out.find("box1") != std::string::npos;
	}));
	std::ofstream(file) << "[[service]]\nname = \"dir\"\n"
			       "selekt = \"app=dir\"\n";
	EXPECT_EQ(4, f.ctl({"apply", file}, &out));
	EXPECT_NE(std::string::npos,
	    out.find(":3: selekt: unknown; the nearest known name is select"));
	unlink(file.c_str());
}

TEST(Settings, EachMistakeIsNamed)
{
	const char *root = getenv("FERN_ROOT");
	std::string dir = root == nullptr ? "." : root;
	std::string file =
	    "/tmp/fern-settings-" + std::to_string(getpid()) + ".toml";
	struct {
		const char *text, *found;
	} cases[] = {
	    {"box = \"a\"\nhal = \"n\"\n",
		":2: hal: unknown; the nearest known name is hall"},
	    {"box = 3\n", ":1: box: found 3; allowed is a name"},
	    {"box = \"a\"\nhall = \"n\"\nlisten = \"x\"\n",
		":3: listen: found \"x\"; allowed is an IP number and a port"},
	    {"box = \n", ":1:"},
	    {"box = \"a\"\n", "hall: is missing"},
	};

	for (auto &c : cases) {
		Process p;

		std::ofstream(file) << c.text;
		p.argv = {dir + "/ferngate", "--check", file};
		p.log = file + ".log";
		unlink(p.log.c_str());
		p.start();
		EXPECT_EQ(3, p.wait_exit());
		EXPECT_NE(std::string::npos, p.read_log().find(c.found))
		    << p.read_log();
		unlink(p.log.c_str());
	}
	unlink(file.c_str());
}
