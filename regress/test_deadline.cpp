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
/* Which clock ends a request whose backend server is at work. */
#include <csignal>
#include <gtest/gtest.h>

#include "fleet.h"
#include "net.h"
#include "version.h"

namespace
{

FleetOptions
options_of(const std::string &settings = "leave_wait_ms = 200\n")
{
	FleetOptions o;

	o.boxes = 2;
	o.backends = {BackendOptions()};
	o.gate_settings = settings;
	return o;
}

/*
 * Two boxes of one hall, one of which owns the shard.  The service allows less
 * time by default than the rules.
 */
struct World : Fleet {
	explicit World(const FleetOptions &o = options_of()) : Fleet(o)
	{
	}

	/* `ms`: the time that the rules allow. */
	void put_rules(const std::string &service, int ms)
	{
		std::string rest = R"(","service":")" + service +
		    R"(","deadline_ms":)" + std::to_string(ms);

		put("rule/dir",
		    R"({"path":"/dir)" + rest + R"(,"repeatable":"no"})");
		rules_revision = put("rule/twice",
		    R"({"path":"/twice)" + rest +
			R"(,"repeatable":"yes","attempts":3})");
	}

	/* The same for the service "dir", and waits until all boxes have it. */
	void enforce_rules(int ms)
	{
		put_rules("dir", ms);
		std::string line = "key=rule/twice version=" +
		    std::to_string(
			version_make(1, static_cast<uint64_t>(rules_revision)));
		EXPECT_TRUE(until([&] {
			for (auto &b : boxes)
				if (b.gate.read_log().find(line) ==
				    std::string::npos)
					return false;
			return true;
		}));
	}

	long rules_revision = 0; /* of the rule that was put last */

	bool open()
	{
		for (size_t i = 0; i < options.backends.size(); i++)
			options.backends[i].name = "b" + std::to_string(i);
		start();
		put("service/dir", R"({"select":"app=dir","deadline_ms":300})");
		put_rules("dir", 3000);
		return wait_ready() &&
		    until([&] { return in_force(3 + backends.size()); });
	}

	/* The box to which others forward; the one asked last is not it. */
	size_t owner()
	{
		for (size_t i = 0; i < boxes.size(); i++)
			http("POST", boxes[i].listen, "/dir/x", {}, "body");
		for (size_t i = 0; i < boxes.size(); i++)
			if (metric(i, "fern_passed_in_total") > 0)
				return i;
		return 0;
	}
};

/* Requests in flight, of the kind that may be repeated and of the other. */
struct Pending {
	struct Answer {
		std::string what, id;
		Reply reply;
	};
	std::vector<Answer> replies;
	size_t sent = 0;

	void send_one(const Box &box, const std::string &path, int ms)
	{
		std::string what = path + " at " + box.name;
		std::string id = "r" + std::to_string(++sent);

		http_start("POST", box.listen,
		    path + "?ms=" + std::to_string(ms), {{"x-request-id", id}},
		    "body", 10000, [this, what, id](const Reply &r) {
			    replies.push_back({what, id, r});
		    });
	}

	void send(const Box &box, int ms)
	{
		send_one(box, "/dir/x", ms);
		send_one(box, "/twice/x", ms);
	}

	bool done() const
	{
		return replies.size() == sent;
	}

	void expect(int status, const std::string &when) const
	{
		EXPECT_TRUE(done()) << when;
		for (auto &r : replies) {
			EXPECT_EQ(status, r.reply.status)
			    << when << ": " << r.what << " " << r.reply.body;
			EXPECT_TRUE(r.reply.complete) << when;
		}
	}
};

/* A caller that reads its response only when the test does. */
struct SlowCaller {
	int fd = net::small_socket(536, 4096);

	/* Most of a response is left at the box. */
	SlowCaller(const std::string &address, const std::string &path)
	{
		struct sockaddr_in sin = net::parse(address);
		std::string request = "POST " + path +
		    " HTTP/1.1\r\nhost: x\r\nx-request-id: slow\r\n"
		    "content-length: 0\r\nconnection: close\r\n\r\n";

		EXPECT_EQ(0,
		    connect(fd, reinterpret_cast<struct sockaddr *>(&sin),
			sizeof(sin)));
		EXPECT_EQ(static_cast<ssize_t>(request.size()),
		    write(fd, request.data(), request.size()));
	}

	~SlowCaller()
	{
		close(fd);
	}

	/* Reads to the end of the connection; returns the size of the body. */
	size_t read_body()
	{
		struct timeval limit = {5, 0};
		std::string in;
		char buf[4096];
		ssize_t n;

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		while ((n = read(fd, buf, sizeof(buf))) > 0)
			in.append(buf, static_cast<size_t>(n));
		EXPECT_FALSE(n < 0 && errno == EAGAIN) << "not closed";
		return in.size() - in.find("\r\n\r\n") - 4;
	}
};

/* Sum of a counter of the backend servers. */
long
count(const Fleet &f, const std::string &key)
{
	long n = 0;

	for (auto &b : f.backends)
		n += b->count(key);
	return n;
}

} // namespace

/* The owner cut forwarded requests at the default of the service. */
TEST(Deadline, AForwardedRequestHasTheTimeThatItsRuleAllows)
{
	World w;

	ASSERT_TRUE(w.open());
	for (auto &b : w.boxes) {
		Reply r = http("POST", b.listen, "/dir/x?ms=800", {}, "body");

		EXPECT_EQ(200, r.status) << b.name << " " << r.body;
		EXPECT_TRUE(r.complete);
	}
}

/* The same while the box that received the request stops. */
TEST(Deadline, AForwardedRequestIsFinishedWhileItsBoxStops)
{
	for (size_t stops = 0; stops < 2; stops++) {
		World w;
		Reply reply;
		bool done = false;

		ASSERT_TRUE(w.open());
		http_start("POST", w.boxes[stops].listen, "/dir/x?ms=1200", {},
		    "body", 10000, [&](const Reply &r) {
			    reply = r;
			    done = true;
		    });
		pump(200);
		w.boxes[stops].gate.signal(SIGTERM);
		ASSERT_TRUE(until([&] { return done; }));
		EXPECT_EQ(200, reply.status) << stops << " " << reply.body;
	}
}

/*
 * Boxes stop one after the other, with a change between, while a backend server
 * works on a forwarded request.
 */
TEST(Deadline, AForwardedRequestIsFinishedInEachOrderOfStops)
{
	for (bool owner_first : {true, false})
		for (bool changed : {false, true}) {
			FleetOptions o = options_of();
			Pending pending;

			o.boxes = 3;
			World w(o);
			ASSERT_TRUE(w.open());
			size_t owner = w.owner(), other = (owner + 1) % 3;

			pending.send(w.boxes[other], 1500);
			pump(200);
			w.boxes[owner_first ? owner : other].gate.signal(
			    SIGTERM);
			pump(150);
			if (changed)
				w.put_rules("none", 100);
			pump(150);
			w.boxes[owner_first ? other : owner].gate.signal(
			    SIGTERM);
			until([&] { return pending.done(); });
			pending.expect(200,
			    std::string(owner_first ? "owner" : "receiver") +
				" first" + (changed ? ", changed" : ""));
			for (auto &run : w.runs())
				EXPECT_TRUE(run.first == "" || run.second == 1)
				    << run.first << " " << run.second;
		}
}

/* The owner stops while requests wait there: the next owner runs them. */
TEST(Deadline, AQueuedRequestKeepsItsTimeWhenItsShardMoves)
{
	FleetOptions o = options_of();
	Pending first, second;

	o.backends[0].slots = 1;
	World w(o);
	ASSERT_TRUE(w.open());
	size_t owner = w.owner();

	w.enforce_rules(6000);

	first.send(w.boxes[1 - owner], 700);
	pump(100);
	second.send(w.boxes[1 - owner], 700);
	pump(100);
	w.boxes[owner].gate.signal(SIGTERM);
	until([&] { return first.done() && second.done(); });
	first.expect(200, "sent first");
	second.expect(200, "sent later");
}

/*
 * A caller's retry that has not run here is refused with that promise by its
 * owner too, as by the box that received it.
 */
TEST(Deadline, ACallersRetryThatExpiresAtItsOwnerHasNotRun)
{
	FleetOptions o = options_of();
	Pending busy;

	o.backends[0].slots = 1;
	World w(o);
	ASSERT_TRUE(w.open());
	size_t owner = w.owner();

	busy.send_one(w.boxes[owner], "/dir/x", 2500);
	pump(100);
	w.enforce_rules(400);
	for (const Box *b : {&w.boxes[owner], &w.boxes[1 - owner]}) {
		Reply r = http("POST", b->listen, "/dir/x",
		    {{"x-request-id", "again"}, {"fern-retried", "yes"}},
		    "body");

		EXPECT_EQ(504, r.status) << b->name;
		EXPECT_NE(std::string::npos, r.body.find("\"ran\":\"no\""))
		    << b->name << " " << r.body;
	}
	until([&] { return busy.done(); });
	busy.expect(200, "at work");
}

/* The last line of that message in the log of a box. */
std::string
last_line(const Box &box, const std::string &msg)
{
	std::string log = box.gate.read_log();
	size_t at = log.rfind("msg=\"" + msg + "\"");

	return at == std::string::npos
	    ? ""
	    : log.substr(at, log.find('\n', at) - at);
}

/* The line did not say which limit applied, nor who had set it. */
TEST(Deadline, TheLineOfARequestThatExpiresNamesItsLimit)
{
	struct {
		int rule_ms;
		const char *caller_ms, *limit;
	} cases[] = {{800, "", "limit_ms=800 limit_from=rule"},
	    {800, "700", "limit_ms=700 limit_from=caller"},
	    {0, "", "limit_ms=300 limit_from=default"},
	    {0, "200", "limit_ms=200 limit_from=caller"}};
	FleetOptions o = options_of();

	o.quiet = false;
	World w(o);
	ASSERT_TRUE(w.open());
	size_t owner = w.owner();
	const Box &box = w.boxes[owner];

	/* The owner answers first, as the other box gives it less time. */
	w.enforce_rules(800);
	http("POST", w.boxes[1 - owner].listen, "/dir/x?ms=1500", {}, "body");
	EXPECT_TRUE(until([&] {
		return last_line(box, "refused").find("limit_from=gate") !=
		    std::string::npos;
	})) << last_line(box, "refused");
	for (bool cut : {false, true})
		for (auto &c : cases) {
			std::vector<std::pair<std::string, std::string>>
			    headers;
			std::string line;

			if (cut && c.rule_ms == 0)
				continue;
			w.enforce_rules(c.rule_ms);
			if (c.caller_ms[0] != '\0')
				headers.push_back(
				    {"fern-deadline-ms", c.caller_ms});
			/* A server that fails each time gets less. */
			w.backends[0]->set("part=0");
			ASSERT_TRUE(until([&] {
				return http("POST", box.listen, "/dir/x", {},
					   "body")
					   .status == 200;
			}));
			w.backends[0]->set(cut ? "part=300" : "part=0");
			http("POST", box.listen,
			    cut ? "/dir/x" : "/dir/x?ms=1500", headers, "body");
			EXPECT_TRUE(until([&] {
				line = last_line(
				    box, cut ? "answer was cut" : "refused");
				return line.find(c.limit) != std::string::npos;
			})) << c.limit
			    << ": " << line;
			for (const char *field :
			    {" why=deadline ", " rule=dir ", " conf="})
				EXPECT_NE(std::string::npos, line.find(field))
				    << field << ": " << line;
		}
}

/* A default applied without a word. */
TEST(Deadline, RulesWithoutALimitAreLoggedOncePerVersion)
{
	const std::string msg = "msg=\"rules without a time limit\"";
	World w;

	ASSERT_TRUE(w.open());
	for (auto &b : w.boxes)
		EXPECT_EQ("", last_line(b, "rules without a time limit"));
	for (int i = 1; i <= 2; i++) {
		w.enforce_rules(0);
		w.put("backend/other" + std::to_string(i),
		    R"({"address":"127.0.0.1:1","hall":"other"})");
		pump(300);
		for (auto &b : w.boxes) {
			std::string log = b.gate.read_log();
			size_t lines = 0;

			for (size_t at = log.find(msg); at != std::string::npos;
			     at = log.find(msg, at + 1))
				lines++;
			EXPECT_GE(lines, static_cast<size_t>(i)) << b.name;
			/* The two rules may come into force one by one. */
			EXPECT_LE(lines, static_cast<size_t>(2 * i)) << b.name;
			EXPECT_NE(std::string::npos,
			    last_line(b, "rules without a time limit")
				.find("rules=2 first=twice service=dir "
				      "limit_ms=300 conf="))
			    << b.name;
		}
	}
}

/* A change of configuration does not reach a request that is at work. */
TEST(Deadline, ARunningRequestIsFinishedAfterEachChange)
{
	FleetOptions o = options_of();

	/* A server that is new gets one request at a time. */
	o.backends.resize(4);
	World w(o);
	const std::vector<std::pair<std::string, std::function<void()>>>
	    changes = {{"lowered",
			   [&] {
				   w.put_rules("dir", 100);
			   }},
		{"raised",
		    [&] {
			    w.put_rules("dir", 6000);
		    }},
		{"another service",
		    [&] {
			    w.put_rules("none", 3000);
		    }},
		{"rule removed",
		    [&] {
			    w.remove("rule/dir");
		    }},
		{"service removed", [&] {
			 w.remove("service/dir");
		 }}};

	ASSERT_TRUE(w.open());
	for (auto &change : changes) {
		Pending running;

		w.put_rules("dir", 3000);
		ASSERT_TRUE(until([&] {
			return http("POST", w.boxes[0].listen, "/dir/x?ms=400",
				   {}, "body")
				   .status == 200 &&
			    http("POST", w.boxes[1].listen, "/dir/x?ms=400", {},
				"body")
				.status == 200;
		}));
		for (auto &b : w.boxes)
			running.send(b, 1000);
		pump(200);
		change.second();
		until([&] { return running.done(); });
		running.expect(200, change.first);
	}
}

/*
 * An owner that stops ends before its backend server has answered.  The box
 * that forwarded the request says at once what it knows, and sends again only
 * what may be repeated.
 */
TEST(Deadline, ARequestAtAnOwnerWhoseGraceEndsIsAnsweredAtOnce)
{
	World w(options_of("leave_wait_ms = 200\ngrace_ms = 600\n"));
	Pending pending;
	double started;

	ASSERT_TRUE(w.open());
	size_t owner = w.owner();

	pending.send(w.boxes[1 - owner], 1500);
	pump(100);
	started = now_ms();
	w.boxes[owner].gate.signal(SIGTERM);
	ASSERT_TRUE(until([&] { return pending.replies.size() == 1; }));
	EXPECT_EQ(502, pending.replies[0].reply.status);
	EXPECT_EQ("unknown", pending.replies[0].reply.header("fern-ran"));
	EXPECT_LT(now_ms() - started, 1200);
	ASSERT_TRUE(until([&] { return pending.done(); }));
	EXPECT_EQ(200, pending.replies[1].reply.status);
	EXPECT_EQ(1, w.runs()["r1"]);
}

/* The limit of the box that received the request holds, not the owner's. */
TEST(Deadline, AForwardedBodyIsBoundedWhereItWasReceived)
{
	World w(options_of("body_max = 4000000\n"));
	std::string body(2000000, 'x');

	ASSERT_TRUE(w.open());
	size_t owner = w.owner();

	w.stop_box_hard(owner);
	w.options.gate_settings = "body_max = 100000\n";
	w.start_box(owner);
	ASSERT_TRUE(w.wait_ready());
	ASSERT_TRUE(until([&] { return w.owner() == owner; }));
	Reply r = http("POST", w.boxes[1 - owner].listen, "/dir/x", {}, body);
	EXPECT_EQ(200, r.status) << r.body;
	r = http("POST", w.boxes[owner].listen, "/dir/x", {}, body);
	EXPECT_EQ(413, r.status) << r.body;
}

/* Without a configuration it is not known whether a rule exists. */
TEST(Deadline, ABoxThatStopsBeforeItsFirstConfigurationRefuses)
{
	FleetOptions o = options_of("leave_wait_ms = 2000\nearly_ms = 4000\n");
	Pending early, late;
	double started;

	o.boxes = 1;
	World w(o);
	ASSERT_TRUE(w.open());
	w.stop_box_hard(0);
	w.set_platform("mode=down");
	w.start_box(0);
	ASSERT_TRUE(until([&] { return w.metrics(0) != ""; }));
	early.send(w.boxes[0], 100);
	pump(200);
	ASSERT_TRUE(early.replies.empty());
	started = now_ms();
	w.boxes[0].gate.signal(SIGTERM);
	pump(100);
	late.send(w.boxes[0], 100);
	until([&] { return early.done() && late.done(); });
	EXPECT_LT(now_ms() - started, 1000);
	early.expect(503, "before the signal");
	late.expect(503, "after it");
}

/*
 * The service of queued requests is removed.  The box is the owner in both
 * halls and would forward them to the other one.
 */
TEST(Deadline, ABoxThatOwnsAllHallsOutlivesTheRemovalOfAService)
{
	FleetOptions o = options_of();
	Pending pending;
	int refused = 0;

	o.boxes = 1;
	o.backends.resize(2);
	o.backends[1].hall = "south";
	for (auto &b : o.backends)
		b.slots = 1;
	World w(o);
	ASSERT_TRUE(w.open());
	pending.send(w.boxes[0], 1000);
	pending.send(w.boxes[0], 1000);
	pump(200);
	ASSERT_GE(count(w, "running"), 1);
	w.remove("service/dir");
	ASSERT_TRUE(until([&] { return pending.done(); }));
	auto runs = w.runs();
	for (auto &r : pending.replies) {
		int ran = runs[r.id];

		EXPECT_EQ(ran ? 200 : 503, r.reply.status) << r.what;
		EXPECT_LE(ran, 1) << r.what;
		refused += !ran;
	}
	EXPECT_GE(refused, 1);
	EXPECT_TRUE(w.ready(0));
}

/*
 * The same where the other hall has another owner, and the request comes back
 * to one that has nothing left of the service.
 */
TEST(Deadline, ARequestThatComesBackOutlivesTheRemovalOfItsService)
{
	FleetOptions o = options_of();
	Pending running, queued;

	o.boxes = 3;
	o.halls = {"north", "south", "north"};
	o.backends.resize(2);
	o.backends[1].hall = "south";
	o.backends[1].slots = 1;
	World w(o);
	ASSERT_TRUE(w.open());
	w.backends[0]->process.kill9();
	ASSERT_TRUE(until([&] {
		http("POST", w.boxes[0].listen, "/dir/x", {}, "body");
		http("POST", w.boxes[2].listen, "/dir/x", {}, "body");
		return w.metric(1, "fern_passed_in_total") > 20;
	}));
	running.send(w.boxes[1], 1000);
	pump(100);
	queued.send(w.boxes[0], 1000);
	queued.send(w.boxes[2], 1000);
	pump(100);
	w.remove("service/dir");
	until([&] { return running.done() && queued.done(); });
	queued.expect(503, "queued");
	for (size_t i = 0; i < w.boxes.size(); i++)
		EXPECT_TRUE(w.ready(i)) << i;
}

/*
 * A box that has not heard that the owner leaves forwards to it for as long as
 * it runs; what is still at work there when it exits was cut.
 */
TEST(Deadline, AnOwnerThatLeavesTakesNoForwardedRequestsForLong)
{
	World w(options_of("leave_wait_ms = 200\ngrace_ms = 2500\n"));
	Reply own, late;
	int done = 0;

	ASSERT_TRUE(w.open());
	size_t owner = w.owner(), other = 1 - owner;
	/* Keeps the owner from exiting early. */
	http_start("POST", w.boxes[owner].listen, "/dir/x?ms=2400", {}, "body",
	    10000, [&](const Reply &r) {
		    own = r;
		    done++;
	    });
	pump(100);
	w.boxes[other].agent_process.signal(SIGSTOP);
	w.boxes[owner].gate.signal(SIGTERM);
	pump(900);
	http_start("POST", w.boxes[other].listen, "/dir/x?ms=2400", {}, "body",
	    10000, [&](const Reply &r) {
		    late = r;
		    done++;
	    });
	EXPECT_TRUE(until([&] { return done == 2; }));
	w.boxes[other].agent_process.signal(SIGCONT);
	EXPECT_EQ(200, own.status) << own.body;
	EXPECT_EQ(200, late.status) << late.body;
}

/*
 * A backend server ends its work at the deadline that it was given, and says
 * so.  Its caller gets that answer rather than one of the gate's, and no other
 * server gets the request when there is no time left for it.
 */
TEST(Deadline, TheServersAnswerAtItsDeadlineIsPassedOn)
{
	FleetOptions o = options_of("leave_wait_ms = 200\npolicy = \"pace\"\n");
	const int ROUNDS = 5;

	o.backends.resize(2);
	for (auto &b : o.backends)
		b.keys = "ms=5 deadline=1";
	World w(o);
	ASSERT_TRUE(w.open());
	w.enforce_rules(200);
	for (int i = 0; i < ROUNDS; i++)
		for (auto &b : w.boxes) {
			Pending pending;

			pending.send(b, 1000);
			ASSERT_TRUE(until([&] { return pending.done(); }));
			pending.expect(504, "late");
			for (auto &r : pending.replies)
				EXPECT_EQ("refused\n", r.reply.body) << r.what;
		}
	EXPECT_EQ(2 * 2 * ROUNDS, count(w, "ran"));
}

/*
 * A request that was in a server's queue until its deadline has not run.  No
 * other server gets it for the last milliseconds, so this remains true.
 */
TEST(Deadline, ARequestRefusedAtItsDeadlineIsNotSentAgain)
{
	FleetOptions o = options_of("leave_wait_ms = 200\npolicy = \"pace\"\n");
	const int ROUNDS = 5;
	int refused = 0;

	o.backends.resize(2);
	for (auto &b : o.backends)
		b.keys = "ms=5 deadline=1";
	World w(o);
	ASSERT_TRUE(w.open());
	for (int i = 0; i < 20; i++)
		http("POST", w.boxes[0].listen, "/dir/x", {}, "body");
	w.enforce_rules(200);
	for (auto &b : w.backends)
		b->set("slots=1");
	for (int i = 0; i < ROUNDS; i++) {
		long before = count(w, "ran");
		Pending pending;

		pending.send(w.boxes[0], 1000);
		pending.send_one(w.boxes[0], "/dir/x", 1000);
		ASSERT_TRUE(until([&] { return pending.done(); }));
		for (auto &r : pending.replies) {
			refused += r.reply.status == 503;
			before += !r.reply.not_run();
		}
		EXPECT_EQ(before, count(w, "ran"));
	}
	EXPECT_GT(refused, 0);
	EXPECT_EQ(refused, count(w, "shed"));
}

/* The head of a response replaced the deadline by a limit for silence. */
TEST(Deadline, AResponseThatHasBegunEndsAtTheDeadline)
{
	/* The backend server falls silent, or sends a little now and then. */
	for (const char *keys : {"part=300", "part=10&pause=50"}) {
		World w;

		ASSERT_TRUE(w.open());
		w.enforce_rules(800);
		for (auto &b : w.boxes)
			for (const char *path : {"/dir/x", "/twice/x"}) {
				std::string what = b.name + path + keys;

				w.backends[0]->set(keys);
				double started = now_ms();
				Reply r =
				    http("POST", b.listen, path, {}, "body");
				EXPECT_LT(now_ms() - started, 1050) << what;
				EXPECT_GT(now_ms() - started, 700) << what;
				EXPECT_EQ(200, r.status) << what;
				EXPECT_FALSE(r.complete) << what;
				/* A server that fails each time gets less. */
				w.backends[0]->set("part=0");
				r = http("POST", b.listen, path, {}, "body");
				EXPECT_TRUE(r.complete) << what;
			}
		EXPECT_EQ(8, count(w, "ran"));
		EXPECT_TRUE(
		    until([&] { return count(w, "running") == 0; }, 500));
	}
}

/* A response of an owner that stands still had no end until it went on. */
TEST(Deadline, AResponseOfAnOwnerThatStandsStillEndsAtTheDeadline)
{
	World w;
	Pending pending;

	ASSERT_TRUE(w.open());
	size_t owner = w.owner();

	w.enforce_rules(800);
	w.backends[0]->set("part=300&pause=200");
	double started = now_ms();

	pending.send_one(w.boxes[1 - owner], "/dir/x", 0);
	pump(100);
	w.boxes[owner].gate.signal(SIGSTOP);
	until([&] { return pending.done(); });
	EXPECT_LT(now_ms() - started, 1050);
	w.boxes[owner].gate.signal(SIGCONT);
	for (auto &r : pending.replies) {
		EXPECT_EQ(200, r.reply.status) << r.what;
		EXPECT_FALSE(r.reply.complete) << r.what;
	}
}

/* A caller that did not read held a slot of a server for ever. */
TEST(Deadline, AResponseThatIsNotReadEndsAtTheDeadline)
{
	World w;

	ASSERT_TRUE(w.open());
	w.enforce_rules(800);
	for (int i = 0; i < 4; i++) {
		const Box &b = w.boxes[static_cast<size_t>(i) % 2];
		SlowCaller caller(b.listen, "/dir/x?size=64000000");

		pump(500);
		EXPECT_EQ(1, count(w, "running")) << b.name;
		pump(700);
		EXPECT_EQ(0, count(w, "running")) << b.name;
		for (size_t j = 0; j < w.boxes.size(); j++)
			EXPECT_EQ(0, w.metric(j, "fern_requests_inflight"))
			    << b.name;
		EXPECT_LT(caller.read_body(), 64000000u) << b.name;
	}
	/* None of this speaks against the backend server. */
	for (auto &b : w.boxes)
		EXPECT_EQ(
		    200, http("POST", b.listen, "/dir/x", {}, "body").status);
}

/* Guards against ending responses that only their caller has yet to read. */
TEST(Deadline, AWholeResponseIsDeliveredAfterTheDeadline)
{
	World w;

	ASSERT_TRUE(w.open());
	w.enforce_rules(800);
	for (auto &b : w.boxes) {
		SlowCaller caller(b.listen, "/dir/x?size=200000");

		pump(1600);
		EXPECT_EQ(200000u, caller.read_body()) << b.name;
	}
}

/* A box was suspected, and its requests moved, for a response that it cut. */
TEST(Deadline, AnOwnerIsNotSuspectedForAResponseThatItEnds)
{
	for (const char *keys : {"part=300", "cut=300"}) {
		World w;

		ASSERT_TRUE(w.open());
		size_t other = 1 - w.owner();

		w.enforce_rules(500);
		w.backends[0]->set(keys);
		for (int i = 0; i < 3; i++) {
			Reply r = http("POST", w.boxes[other].listen, "/dir/x",
			    {}, "body");

			EXPECT_EQ(200, r.status) << keys;
			EXPECT_FALSE(r.complete) << keys;
		}
		EXPECT_EQ(0, w.metric(other, "fern_homes_left_total")) << keys;
	}
}

/* A connection was closed without a byte after the head of a response. */
TEST(Deadline, AResponseOfWhichNothingWasSentBecomesAnError)
{
	World w;
	Pending pending;

	ASSERT_TRUE(w.open());
	size_t owner = w.owner();

	w.enforce_rules(800);
	w.backends[0]->set("bare=1&part=300");
	for (auto &b : w.boxes) {
		Reply r = http("POST", b.listen, "/dir/x", {}, "body");

		EXPECT_EQ(504, r.status) << b.name;
		EXPECT_EQ("unknown", r.header("fern-ran")) << b.name;
		EXPECT_EQ("", r.header("x-request-id")) << b.name;
	}
	w.enforce_rules(5000);
	pending.send_one(w.boxes[1 - owner], "/dir/x", 0);
	pump(200);
	w.backends[0]->process.kill9();
	until([&] { return pending.done(); }, 1000);
	pending.expect(502, "killed");
}
