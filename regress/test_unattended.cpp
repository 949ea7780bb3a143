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
#include <sstream>

#include "box.h"

/* Tests of rules on weak boxes while no strong box informs them of changes. */

namespace
{

/*
 * The longest time from the acknowledgement of a change until it is in force,
 * in ms.
 */
const double apply_ms = 2000;
/* The time after its start from which the bound holds for a box, in ms. */
const double contact_ms = 3000;
/* The time after which requests are served again after a loss, in ms. */
const double recover_ms = 15000;
/* The age of stale responses, in ms. */
const int lag_ms = 3000;

/*
 * A strong box that reaches the platform through a proxy, and a weak box in the
 * same hall.
 */
struct Hall : box::World {
	Proxy platform_proxy;
	std::unique_ptr<box::Further> weak;

	Hall() : World(true, "", "", box::as_deployed)
	{
		const char *root = getenv("FERN_ROOT");

		platform_proxy.address = ip + ":9001";
		platform_proxy.control = ip + ":9002";
		platform_proxy.process.argv = {
		    std::string(root ? root : ".") + "/regress/standin_proxy",
		    platform_proxy.address, ip + ":9000",
		    platform_proxy.control};
		platform_proxy.process.log = dir + "/proxy.log";
		platform_proxy.process.start();
		std::string weak_set =
		    std::string(box::as_deployed) + "power = 0.1\n";

		EXPECT_TRUE(until([&] { return ready(); }));
		EXPECT_TRUE(until([&] { return has("boxes", "b1"); }));
		weak = std::make_unique<box::Further>(
		    *this, "w1", "north", "7", weak_set);
		weak->box.start();
		EXPECT_TRUE(until([&] { return weak->serves(); }));
	}

	/*
	 * Restarts the strong box behind the proxy, which then resets all of
	 * its connections to the platform.
	 */
	void turn_strong_away()
	{
		std::string text = read(file);
		size_t before;

		box.kill9();
		std::ofstream(file)
		    << box::replaced(text, "platform = \"" + ip + ":9000\"",
			   "platform = \"" + platform_proxy.address + "\"");
		before = ran(0, 3);
		box.start();
		ASSERT_TRUE(until([&] {
			weak->serves();
			return ran(0, 3) > before;
		}));
		pump(contact_ms);
		platform_proxy.set("mode=cut");
	}

	/* Adds a route, by which a test sees that a version is in force. */
	void add_route(const std::string &name)
	{
		configure("till",
		    R"({"resourceType":"routes","metadata":
		    {"name":")" +
			name +
			R"("},"spec":{"host":"shop.example","pathPrefix":"/)" +
			name + R"(/","routeType":"safe","timeout":"900ms",
		    "targetLatency":"300ms","priority":1,"maxAttempts":2,
		    "service":"till"}},)");
	}

	~Hall()
	{
		platform_proxy.process.kill9();
		unlink((dir + "/proxy.log").c_str());
	}

	static std::string read(const std::string &path)
	{
		std::ifstream in(path);

		return {std::istreambuf_iterator<char>(in), {}};
	}

	bool weak_has_route(const std::string &name) const
	{
		int status = weak->ask("/" + name + "/1").status;

		return status != 404 && status > 0;
	}

	void expect_in_time(const std::string &name, double ms = apply_ms)
	{
		add_route(name);
		EXPECT_TRUE(until([&] { return weak_has_route(name); }, ms));
	}
};

/* Three equal boxes, of which two watch, each with a proxy to the platform. */
struct Watchers : box::World {
	struct Path {
		Proxy proxy;
		Process *box;
		std::string admin;
	};
	std::vector<std::unique_ptr<box::Further>> further;
	std::vector<Path> paths;

	static std::string agent_settings(const std::string &digit)
	{
		return box::as_deployed + ("admin_listen = \"@:" + digit) +
		    "580\"\nwatch_ms = 1000\n";
	}

	Watchers() : World(true, "", "", agent_settings("8"))
	{
		box.kill9();
		add_path(box, file, ip + ":8580");
		for (const char *digit : {"6", "7"}) {
			further.push_back(std::make_unique<box::Further>(*this,
			    std::string("b") + digit, "north", digit,
			    agent_settings(digit)));
			add_path(further.back()->box, further.back()->file,
			    ip + ":" + digit + "580");
		}
		for (Path &p : paths)
			p.box->start();
		EXPECT_TRUE(until([&] { return knows(3); }));
		EXPECT_TRUE(until([&] { return watching().size() == 2; }));
	}

	~Watchers()
	{
		for (Path &p : paths) {
			p.proxy.process.kill9();
			unlink(p.proxy.process.log.c_str());
		}
	}

	/* Lets a box reach the platform through a proxy of its own. */
	void add_path(Process &process, const std::string &settings,
	    const std::string &admin)
	{
		const char *root = getenv("FERN_ROOT");
		size_t port = 9001 + 2 * paths.size();
		Path path = {{}, &process, admin};
		std::string text = Hall::read(settings);

		path.proxy.address = ip + ":" + std::to_string(port);
		path.proxy.control = ip + ":" + std::to_string(port + 1);
		path.proxy.process.argv = {
		    std::string(root ? root : ".") + "/regress/standin_proxy",
		    path.proxy.address, ip + ":9000", path.proxy.control};
		path.proxy.process.log = dir + "/proxy" + std::to_string(port);
		path.proxy.process.start();
		text = box::replaced(text, "platform = \"" + ip + ":9000\"",
		    "platform = \"" + path.proxy.address + "\"");
		std::ofstream(settings)
		    << box::replaced(text, "watchers = 8", "watchers = 1");
		paths.push_back(path);
	}

	std::vector<Path *> watching()
	{
		std::vector<Path *> found;

		for (Path &p : paths)
			if (http("GET", p.admin, "/metrics", {}, "", 500)
				.body.find("\nfern_watching 1\n") !=
			    std::string::npos)
				found.push_back(&p);
		return found;
	}

	/*
	 * Returns the time of the first line of a box's log with a text that is
	 * not earlier than `after`, in s since 1970; 0 if there is none.
	 */
	static double
	logged_at(Process &process, const std::string &text, double after)
	{
		std::istringstream log(process.read_log());
		std::string line;

		while (std::getline(log, line)) {
			double at = atof(&line[line.find("time=") + 5]);

			if (line.find(text) != std::string::npos && at >= after)
				return at;
		}
		return 0;
	}
};

/* Time for a box to hear of a silence that another one has noticed, in s. */
const double hear_s = 0.4;

} // namespace

TEST(Unattended, ARuleThatChangesWhileNoStrongBoxLivesIsInForceInTime)
{
	Hall w;

	w.box.kill9();
	w.expect_in_time("first");
	w.expect_in_time("second");
}

TEST(Unattended, ARuleThatChangesWhileStrongBoxesAreFrozenIsInForceInTime)
{
	Hall w;

	w.box.signal(SIGSTOP);
	w.expect_in_time("first");
	w.expect_in_time("second");
	w.box.signal(SIGCONT);
	w.expect_in_time("third");
}

/* The platform refuses the strong box, but would not refuse the weak one. */
TEST(Unattended, ARuleThatChangesWhileStrongBoxesAreTurnedAwayIsInForceInTime)
{
	Hall w;

	w.turn_strong_away();
	w.expect_in_time("first");
	w.expect_in_time("second");
}

/*
 * The first list that the weak box reads is stale, and no other box has a newer
 * version.
 */
TEST(Unattended, AWeakBoxThatStartsWhileNoStrongBoxLivesGoesByNoStaleRules)
{
	Hall w;
	size_t answered = 0, refused = 0;

	w.platform.lag(lag_ms);
	pump(lag_ms);
	w.add_route("first");
	w.box.kill9();
	w.weak->box.kill9();
	w.weak->box.start();
	double end = now_ms() + contact_ms;
	while (now_ms() < end) {
		int status = w.weak->ask("/first/1").status;

		answered += status > 0;
		refused += status == 404;
		pump(50);
	}
	EXPECT_GT(answered, 0u);
	EXPECT_EQ(0u, refused);
}

/*
 * The strong box is gone for good, and its entry stays on the platform: the
 * weak one refused all requests for ever, whether it started anew or not.
 */
TEST(Unattended, AWeakBoxServesWhereTheStrongOnesAreLostForGood)
{
	Hall w;

	w.box.kill9();
	EXPECT_TRUE(until([&] { return w.weak->serves(); }, recover_ms));
	w.weak->box.kill9();
	w.weak->box.start();
	EXPECT_TRUE(until([&] { return w.weak->serves(); }, recover_ms));
}

/*
 * A box that had to replace a watcher without an answer of the platform began
 * up to a second after it was told so, and rules were late.
 */
TEST(Unattended, AWatcherWithoutAnAnswerIsReplacedAtOnce)
{
	for (int round = 0; round < 4; round++) {
		Watchers w;
		std::vector<Watchers::Path *> silent = w.watching();
		Process *next = nullptr;
		double told = 0, listed = 0;

		ASSERT_EQ(2u, silent.size());
		for (Watchers::Path &p : w.paths)
			if (&p != silent[0] && &p != silent[1])
				next = p.box;
		pump(1500);
		double frozen =
		    static_cast<double>(g_get_real_time()) / G_USEC_PER_SEC;
		for (Watchers::Path *p : silent)
			p->proxy.set("mode=freeze");
		ASSERT_TRUE(until([&] {
			listed = w.logged_at(*next, "msg=\"listed\"", frozen);
			return listed != 0;
		}));
		/* Logs are written with a delay. */
		pump(1500);
		for (Watchers::Path *p : silent) {
			double at = w.logged_at(
			    *p->box, "platform does not answer", frozen);

			if (at != 0 && (told == 0 || at < told))
				told = at;
		}
		ASSERT_NE(0, told);
		EXPECT_GT(hear_s, listed - told);
	}
}
