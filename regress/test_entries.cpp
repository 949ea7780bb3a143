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
 * What another writer left on the platform, with real processes: one odd value
 * costs at most the entry that has it.
 */
#include <csignal>
#include <gtest/gtest.h>

#include "box.h"

using box::World;

namespace
{

std::string
nested(size_t depth)
{
	return std::string(depth, '[') + "1" + std::string(depth, ']');
}

/* Values that a JSON parser may refuse, by what is odd about them. */
const struct {
	const char *name;
	std::string text;
} odd[] = {
    {"a usual number", "7"},
    {"a real number out of range", "1e999"},
    {"an integer out of range", "99999999999999999999"},
    {"a negative integer out of range", "-99999999999999999999"},
    {"nested 2,000 deep", nested(2000)},
    {"nested 100,000 deep", nested(100000)},
    {"half a surrogate pair", R"("\ud800")"},
    {"a NUL in the name of a member", R"({"a\u0000b":1})"},
    {"a word that JSON lacks", "NaN"},
};

/* Those that are tried where each takes seconds. */
const size_t few[] = {1, 5, 6};

/* An entry of a server of another service, with further members. */
std::string
entry(const std::string &more, const std::string &service = "other")
{
	return R"({"service":")" + service +
	    R"(","addr":"127.0.0.1:1","zone":"north","slots":3,)"
	    R"("state":"ready")" +
	    more + "}";
}

bool
is_ready(World &w)
{
	return until([&] { return w.ready(); }) &&
	    until([&] { return w.ask("/look/1").status == 200; });
}

bool
serves(World &w, const std::string &path, int timeout_ms)
{
	return until([&] { return w.ask(path).status == 200; }, timeout_ms);
}

size_t
count(const std::string &text, const std::string &part)
{
	size_t n = 0, at = 0;

	for (; (at = text.find(part, at)) != std::string::npos; at++)
		n++;
	return n;
}

/* Adds a route for a path. */
void
add_route(World &w, const std::string &name)
{
	w.number++;
	w.configure("till",
	    R"({"resourceType":"routes","metadata":{"name":")" + name +
		R"("},"spec":{"host":"shop.example","pathPrefix":"/)" + name +
		R"(/","routeType":"safe","timeout":"900ms",
		"targetLatency":"300ms","priority":1,"maxAttempts":2,
		"service":"till"}},)");
}

} // namespace

/*
 * The whole list was refused for one value of one entry: a box followed
 * nothing any more, and one that started never served.
 */
TEST(Entries, AnOddValueDoesNotEndTheListOfTheStore)
{
	for (auto &o : odd) {
		SCOPED_TRACE(o.name);
		World w;

		ASSERT_TRUE(is_ready(w));
		w.platform.pass_raw("@odd", o.text);
		w.platform.put("servers", "i-odd", entry(R"(,"x":"@odd")"));
		w.enter(0, "draining");
		EXPECT_TRUE(until(
		    [&] { return w.in_force("backend/i-0") == 2; }, 5000));
		add_route(w, "new");
		EXPECT_TRUE(serves(w, "/new/1", 5000));
		w.box.kill9();
		w.box.start();
		EXPECT_TRUE(serves(w, "/look/1", 8000));
	}
}

/*
 * The value is that of a known field: the entry is rejected alone, is named in
 * the log, and not with each list, and is in force again once it is right.
 */
TEST(Entries, AnOddEntryIsFollowedOnceItIsRight)
{
	const char *listed = "msg=\"listed\" kinds=backend";

	for (size_t i : few) {
		SCOPED_TRACE(odd[i].name);
		World w(true, "", "", "list_ms = 1000\n");

		ASSERT_TRUE(is_ready(w));
		w.platform.pass_raw("@odd", odd[i].text);
		w.platform.put("servers", "i-1",
		    R"({"service":"till","addr":")" + w.ip +
			R"(:9101","zone":"north","slots":"@odd",)"
			R"("state":"ready"})");
		EXPECT_TRUE(until(
		    [&] { return w.logged("object is rejected"); }, 5000));
		size_t ran = w.ran(1, 1);
		for (int n = 0; n < 20; n++)
			EXPECT_EQ(200, w.ask("/look/1").status);
		EXPECT_EQ(ran, w.ran(1, 1));
		size_t lists = count(w.box.read_log(), listed);
		EXPECT_TRUE(until(
		    [&] { return count(w.box.read_log(), listed) > lists + 1; },
		    10000));
		std::string log = w.box.read_log();
		EXPECT_EQ(1u, count(log, "msg=\"object is rejected"));
		EXPECT_EQ(
		    1u, count(log, "a value of the platform is replaced"));
		EXPECT_EQ(1u, count(log, "name=\"i-1\""));
		w.enter(1, "ready");
		EXPECT_TRUE(until(
		    [&] {
			    w.ask("/look/1");
			    return w.ran(1, 1) > ran;
		    },
		    5000));
	}
}

/* There one feed has all kinds, so that no rule came into force either. */
TEST(Entries, AnOddValueDoesNotEndAListOfAllKinds)
{
	for (size_t i : few) {
		SCOPED_TRACE(odd[i].name);
		FleetOptions options;

		options.boxes = 1;
		options.backends.resize(1);
		options.agent_settings = "hello_ms = 200\nlist_ms = 1000\n";
		Fleet f(options);
		auto serves = [&](const std::string &path) {
			return until(
			    [&] {
				    return http("GET", f.boxes[0].listen, path)
					       .status == 200;
			    },
			    5000);
		};

		f.start();
		f.put("service/dir", R"({"select":"app=dir"})");
		f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
		ASSERT_TRUE(serves("/dir"));
		http("POST", f.platform_address, "/standin/raw?value=@odd", {},
		    odd[i].text);
		f.put("backend/odd",
		    R"({"address":"127.0.0.1:1","hall":"north",)"
		    R"("slots":3,"x":"@odd"})");
		f.put("rule/new", R"({"path":"/new","service":"dir"})");
		EXPECT_TRUE(serves("/new"));
		f.boxes[0].gate.kill9();
		f.boxes[0].agent_process.kill9();
		f.start_box(0);
		EXPECT_TRUE(serves("/dir"));
		EXPECT_TRUE(serves("/new"));
	}
}

/* Revisions that no write has, by which a box would misjudge all others. */
const char *const odd_revisions[] = {
    "-1",
    "0",
    "1000000000000",
    "5000000000007",
    "9223372036854775807",
    "-9223372036854775808",
    "1.5",
    "\"7\"",
    "null",
    "{}",
};

/* Makes a request that may run once for its key. */
Reply
buy(World &w, const std::string &key)
{
	return http("POST", w.ip + ":8080", "/buy/1",
	    {{"Host", "shop.example"}, {"idempotency-key", key},
		{"fernjunction-request-id", key},
		{"fernjunction-deadline-ms", "800"}},
	    "body", 2000);
}

/*
 * The revision told of an epoch that has not begun: the platform was taken to
 * have been restored, and what it told was out of date from then on.
 */
TEST(Entries, AnOddRevisionCostsItsEntryOnly)
{
	for (std::string odd : odd_revisions) {
		SCOPED_TRACE(odd);
		World w(true, "", "", "list_ms = 1000\n");

		ASSERT_TRUE(is_ready(w));
		w.platform.pass_raw("@odd",
		    entry("") + R"(,"metadata":{"name":"i-odd","rev":)" + odd +
			"}");
		w.platform.put("servers", "i-odd", "\"@odd\"");
		w.enter(0, "draining");
		EXPECT_TRUE(until(
		    [&] { return w.in_force("backend/i-0") == 2; }, 5000));
		EXPECT_TRUE(
		    until([&] { return w.logged("backend/i-odd"); }, 5000));
		EXPECT_FALSE(w.logged("restored")) << "taken for restored";
		EXPECT_EQ(200, buy(w, "k1").status);
		add_route(w, "new");
		EXPECT_TRUE(serves(w, "/new/1", 5000));
		w.platform.remove("servers", "i-0");
		w.box.kill9();
		w.box.start();
		EXPECT_TRUE(serves(w, "/new/1", 5000));
		EXPECT_EQ(200, buy(w, "k2").status);
		EXPECT_FALSE(w.logged("restored")) << "taken for restored";
		w.platform.remove("servers", "i-1");
		EXPECT_TRUE(until(
		    [&] { return w.ask("/look/1").status == 503; }, 8000));
	}
}

/*
 * A page of the list ended with an entry whose name broke the request for the
 * next one, or with entries that count for nothing: the list ended there.
 */
TEST(Entries, EntriesWithOddNamesDoNotEndTheList)
{
	const std::string names[] = {"a a", "a&b", "a\"c", "a#d",
	    "a" + std::string(300, 'e'), "a\nf", "\xc3\xa4", "b?g"};
	World w(true, "", "", "list_ms = 1000\n");
	const char *listed = "msg=\"listed\" kinds=backend";

	ASSERT_TRUE(is_ready(w));
	for (auto &name : names)
		w.platform.put("servers", name, entry(""));
	w.platform.pass_raw(
	    "@odd", entry("") + R"(,"metadata":{"name":"c\u0000d","rev":7})");
	w.platform.put("servers", "cd", "\"@odd\"");
	w.box.kill9();
	w.box.start();
	EXPECT_TRUE(serves(w, "/look/1", 5000));
	add_route(w, "new");
	EXPECT_TRUE(serves(w, "/new/1", 5000));
	EXPECT_TRUE(
	    until([&] { return count(w.box.read_log(), listed) >= 4; }, 10000));
	std::string log = w.box.read_log();
	size_t told = count(log, "key=\"backend/a a\" ");
	EXPECT_TRUE(told == 1 || told == 2) << told << " from two starts";
	EXPECT_EQ(0u, count(log, "msg=\"a watch failed"));
	EXPECT_EQ(1u,
	    count(log.substr(log.rfind("part=gate msg=\"started\"")),
		"msg=\"entries without a valid name are ignored\" "
		"kind=backend"));
}

/*
 * Of the list of boxes only the first page was read, so that entries of other
 * writers, or many boxes, hid the boxes on the others.
 */
TEST(Entries, StatusesOfOthersDoNotHideABox)
{
	const char *hubs = "status_by = \"hubs\"\nstatus_ms = 3600000\n";
	World w(true, "", "", hubs);
	box::Further second(w, "b2", "north", "7", hubs);

	ASSERT_TRUE(is_ready(w));
	ASSERT_TRUE(until([&] { return w.has("boxes", "b1"); }));
	for (auto name : {"a1", "a2", "a3", "a4"})
		w.platform.put("boxes", name, "{}");
	second.box.start();
	EXPECT_TRUE(until([&] { return second.serves(); }, 5000));
	EXPECT_TRUE(until([&] { return w.knows(2); }, 5000));
}

/* Statuses that no box writes, by their members. */
const char *const odd_statuses[] = {
    R"("box":"x1","hall":"north","inbox":"nowhere","power":-1)",
    R"("box":"x2","hall":"north","inbox":"127.0.0.1:99999","power":1e999)",
    R"("box":"x3","hall":"north","inbox":"","power":-1)",
    R"("box":"x4","hall":7,"inbox":"127.0.0.1:1","power":-1)",
    R"("box":"x 5","hall":"north","inbox":"127.0.0.1:1","power":-1)",
    R"("box":"b2\u0000x","hall":"south","inbox":"127.0.0.1:1","power":-1)",
    R"("box":"x7","hall":"nor\u0000th","inbox":"127.0.0.1:1","power":-1)",
    R"("box":7,"hall":"north","inbox":"127.0.0.1:1","power":-1)",
    R"("box":"x9","hall":"north","inbox":"a.example:80","power":-1)",
    R"("box":"x0","hall":"north","inbox":"127.0.0.1:1","power":-1,
	"poison":[7,{"ended_s":9223372036854775807,"hi":7,"lo":[1]}])",
};

/*
 * A status with the name of another box, or of one whose address is none, was
 * taken for that of a box; with a power below zero it became a hub.
 */
TEST(Entries, AnOddStatusCostsItsBoxOnly)
{
	World w(false);
	box::Further second(w, "b2", "north", "7");
	int n = 0;

	w.box.kill9();
	for (auto &status : odd_statuses) {
		std::string raw = "@odd" + std::to_string(++n);

		w.platform.pass_raw(
		    raw, std::string("{\"spec\":{") + status + "}}");
		w.platform.put(
		    "boxes", "x" + std::to_string(n), "\"" + raw + "\"");
	}
	w.configure("till");
	w.box.start();
	second.box.start();
	EXPECT_TRUE(serves(w, "/look/1", 5000));
	EXPECT_TRUE(until([&] { return second.serves(); }, 5000));
	add_route(w, "new");
	EXPECT_TRUE(serves(w, "/new/1", 3000));
	EXPECT_TRUE(
	    until([&] { return second.ask("/new/1").status == 200; }, 3000));
	EXPECT_TRUE(until(
	    [&] {
		    return count(w.box.read_log(),
			       "msg=\"status of a box is ignored\"") ==
			sizeof(odd_statuses) / sizeof(odd_statuses[0]);
	    },
	    3000));
}

/* The configuration is one object: there the last valid version holds. */
TEST(Entries, AnOddConfigurationKeepsTheLastValidOne)
{
	for (auto &o : odd) {
		SCOPED_TRACE(o.name);
		World w(true, "", "", "list_ms = 1000\n");

		ASSERT_TRUE(is_ready(w));
		w.platform.pass_raw("@odd", o.text == "7" ? "-7" : o.text);
		w.number++;
		w.of_route = R"(,"maxAttempts":"@odd")";
		w.configure("till");
		EXPECT_TRUE(until(
		    [&] { return w.logged("object is rejected"); }, 5000));
		EXPECT_EQ(200, w.ask("/look/1").status);
		/* Its copy of the last valid version. */
		ASSERT_TRUE(until(
		    [&] { return w.has("lastvalid", "bundle-main"); }, 5000));
		w.enter(0, "draining");
		EXPECT_TRUE(until(
		    [&] { return w.in_force("backend/i-0") == 2; }, 5000));
		w.box.kill9();
		w.box.start();
		EXPECT_TRUE(serves(w, "/look/1", 8000));
		w.number++;
		w.of_route = "";
		add_route(w, "new");
		EXPECT_TRUE(serves(w, "/new/1", 5000));
	}
}

/* A name with a NUL was cut off there, and the entry replaced another one. */
TEST(Entries, ANameWithANulIsNotThatOfAnother)
{
	FleetOptions options;

	options.boxes = 1;
	options.backends.resize(1);
	options.agent_settings = "hello_ms = 200\nlist_ms = 1000\n";
	Fleet f(options);
	auto serves = [&](const std::string &path) {
		return http("GET", f.boxes[0].listen, path).status == 200;
	};

	f.start();
	f.put("service/dir", R"({"select":"app=dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
	ASSERT_TRUE(until([&] { return serves("/dir"); }, 5000));
	http("POST", f.platform_address, "/standin/raw?value=@odd", {},
	    R"({"address":"127.0.0.1:1","hall":"north","labels":{"app":"dir"}},)"
	    "\"name\":\"" +
		f.backends[0]->options.name + R"(\u0000x")");
	f.put("backend/odd", "\"@odd\"");
	f.put("rule/new", R"({"path":"/new","service":"dir"})");
	EXPECT_TRUE(until([&] { return serves("/new"); }, 5000));
	for (int i = 0; i < 20; i++)
		EXPECT_TRUE(serves("/dir"));
}
