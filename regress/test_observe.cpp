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
#include <csignal>
#include <fstream>
#include <gtest/gtest.h>
#include <jansson.h>
#include <sstream>

#include "box.h"

/*
 * Tests, with real processes, of what operators see of a box: the pages /shards
 * and /customers, the commands that read them, and the log lines about reduced
 * capacity.
 */

namespace
{

std::string
text_in(const std::string &file)
{
	std::ifstream in(file);
	std::ostringstream out;

	out << in.rdbuf();
	unlink(file.c_str());
	return out.str();
}

/* What fernctl printed, and its exit status. */
struct Printed {
	int status;
	std::string out, err;

	/* A fernctl that knows no platform. */
	Printed(const std::vector<std::string> &admin,
	    const std::vector<std::string> &words)
	{
		char name[] = "/tmp/fernctl.XXXXXX";
		const char *root = getenv("FERN_ROOT");
		std::string dir = mkdtemp(name);
		Process p;

		p.argv = {"/bin/sh", "-c",
		    "unset FERN_PLATFORM; exec \"$@\" >" + dir + "/out 2>" +
			dir + "/err",
		    "sh", std::string(root ? root : ".") + "/fernctl"};
		for (auto &a : admin) {
			p.argv.push_back("--admin");
			p.argv.push_back(a);
		}
		p.argv.insert(p.argv.end(), words.begin(), words.end());
		p.log = "/dev/null";
		p.start();
		status = p.wait_exit();
		out = text_in(dir + "/out");
		err = text_in(dir + "/err");
		rmdir(dir.c_str());
	}

	bool says(const std::string &text) const
	{
		return (out + err).find(text) != std::string::npos;
	}
};

/* A JSON value that is released at the end. */
struct Json {
	json_t *v;

	explicit Json(const std::string &text)
	    : v(json_loads(text.c_str(), 0, nullptr))
	{
		EXPECT_NE(nullptr, v) << text;
	}
	Json(const Json &) = delete;
	Json &operator=(const Json &) = delete;
	~Json()
	{
		json_decref(v);
	}
};

long long
number(const json_t *o, const char *key)
{
	const json_t *n = json_object_get(o, key);

	EXPECT_TRUE(json_is_integer(n)) << key;
	return json_integer_value(n);
}

/* The page of one box as fernctl prints it with --json. */
json_t *
page_of(const Json &list, size_t i)
{
	return json_object_get(json_array_get(list.v, i), "page");
}

/* The shard of a service that the box with this page owns, or NULL. */
json_t *
owned_shard(json_t *page, const std::string &hall)
{
	size_t i;
	json_t *s;

	json_array_foreach (page, i, s)
		if (json_is_true(json_object_get(s, "owner")) &&
		    json_string_value(json_object_get(s, "hall")) == hall)
			return s;
	return nullptr;
}

json_t *
row_of(json_t *page, const std::string &customer)
{
	size_t i;
	json_t *row;

	json_array_foreach (json_object_get(page, "customers"), i, row)
		if (json_string_value(json_object_get(row, "customer")) ==
		    customer)
			return row;
	return nullptr;
}

/* Boxes of two halls with one backend server of three slots each. */
FleetOptions
options()
{
	FleetOptions o;

	o.boxes = 2;
	o.halls = {"north", "south"};
	o.agent_settings = "hello_ms = 200\nlist_ms = 1000\n";
	o.backends.resize(2);
	o.backends[1].hall = "south";
	return o;
}

bool
up(Fleet &f, size_t objects)
{
	f.start();
	f.put("service/dir", R"({"select":"app=dir","deadline_ms":8000})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
	return f.wait_ready() && until([&] { return f.in_force(objects); });
}

std::string
tenant(const std::string &name, const std::string &more = "")
{
	return "{\"resourceType\":\"tenants\",\"metadata\":{\"name\":\"" +
	    name + "\"},\"spec\":{\"apiKeys\":[\"key-" + name + "\"]" + more +
	    "}},";
}

/* Two boxes whose rules require a customer's key. */
struct Customers : box::World {
	box::Further second{*this, "b2", "north", "7"};
	int n = 0;

	Customers() : box::World(false)
	{
		second.box.start();
		configure("till",
		    tenant("anna", ",\"ratePerS\":1,\"burst\":3") +
			tenant("bert"));
		EXPECT_TRUE(until([&] { return ready(); }));
		EXPECT_TRUE(until([&] { return knows(2); }));
		EXPECT_TRUE(until([&] {
			return by("dora", ip + ":8080") == 401 &&
			    by("dora", second.address) == 401;
		}));
		/* Until the owners of shards have moved. */
		pump(1000);
	}

	int by(const std::string &customer, const std::string &address,
	    const std::string &path = "/look/1")
	{
		return http("GET", address, path,
		    {{"Host", "shop.example"},
			{"fernjunction-request-id", "c" + std::to_string(++n)},
			{"fernjunction-deadline-ms", "800"},
			{"Fernjunction-Credential", "key-" + customer}},
		    "", 2000)
		    .status;
	}

	std::vector<std::string> admins() const
	{
		return {ip + ":8280", ip + ":7280"};
	}
};

} // namespace

TEST(Observe, ShardsOfAllBoxesGivenAreShown)
{
	Fleet f(options());
	std::vector<std::string> admin;

	ASSERT_TRUE(up(f, 4));
	for (auto &b : f.boxes)
		admin.push_back(b.admin);
	EXPECT_TRUE(until([&] {
		Printed p(admin, {"--json", "shards"});
		Json list(p.out);

		return p.status == 0 && json_array_size(list.v) == 2 &&
		    owned_shard(page_of(list, 0), "north") != nullptr &&
		    owned_shard(page_of(list, 1), "south") != nullptr;
	}));
	Printed p(admin, {"--json", "shards"});
	Json list(p.out);
	for (size_t i = 0; i < 2; i++) {
		json_t *s = owned_shard(page_of(list, i), f.boxes[i].hall);

		ASSERT_NE(nullptr, s) << p.out;
		EXPECT_EQ(3, number(s, "slots"));
		EXPECT_EQ(3,
		    number(s, "usable") +
			number(json_object_get(s, "left_out"), "cold"));
	}
	Printed table(admin, {"shards"});
	EXPECT_EQ(0, table.status) << table.err;
	EXPECT_TRUE(table.says("LEFT OUT")) << table.out;
	EXPECT_TRUE(table.says(f.boxes[0].admin)) << table.out;
	EXPECT_TRUE(table.says(f.boxes[1].admin)) << table.out;
	/* What an operator does to a server is seen in its shard. */
	EXPECT_EQ(0, f.ctl({"drain", "b0"}, nullptr));
	EXPECT_TRUE(until(
	    [&] { return Printed(admin, {"shards"}).says("draining=3"); }));
}

/* Without these an operator would take a box that is not read for idle. */
TEST(Observe, ABoxThatCannotBeReadIsNamedAndTheOthersAreShown)
{
	Fleet f(options());

	ASSERT_TRUE(up(f, 4));
	std::string alive = f.boxes[0].admin, dead = f.boxes[1].admin;
	f.boxes[1].gate.signal(SIGSTOP);
	Printed hung({alive, dead}, {"shards"});
	EXPECT_EQ(5, hung.status);
	EXPECT_TRUE(hung.says("box " + dead + ": no answer within 3 s"))
	    << hung.err;
	EXPECT_TRUE(hung.says("1 of 2 boxes could not be read")) << hung.err;
	EXPECT_NE(std::string::npos, hung.out.find(alive)) << hung.out;
	f.boxes[1].gate.signal(SIGCONT);
	f.stop_box_hard(1);
	for (auto &command : {"shards", "customers"}) {
		Printed gone({alive, dead}, {"-j", command});
		Json list(gone.out);

		EXPECT_EQ(5, gone.status);
		EXPECT_TRUE(gone.says("box " + dead + ": no connection"))
		    << gone.err;
		ASSERT_EQ(2u, json_array_size(list.v)) << gone.out;
		EXPECT_NE(nullptr, page_of(list, 0));
		EXPECT_STREQ("no connection",
		    json_string_value(
			json_object_get(json_array_get(list.v, 1), "error")));
	}
	/* Another address of the box is no admin address. */
	Printed wrong({f.boxes[0].listen}, {"shards"});
	EXPECT_EQ(5, wrong.status);
	EXPECT_TRUE(wrong.says("not an admin address")) << wrong.err;
}

TEST(Observe, AWrongCommandLineIsTold)
{
	Printed none({}, {"shards"});
	Printed bad({"127.0.0.1"}, {"customers"});
	Printed word({"127.0.0.1:1"}, {"shards", "dir"});

	EXPECT_EQ(2, none.status);
	EXPECT_TRUE(none.says("expected the admin address of a box"));
	EXPECT_EQ(2, bad.status);
	EXPECT_TRUE(bad.says("expected IP:PORT, found \"127.0.0.1\""));
	EXPECT_EQ(2, word.status);
	EXPECT_TRUE(word.says("expected no word"));
}

/*
 * Each request counts once, at the box that it came to, with what became of it:
 * one box at least forwards requests to the owner of the shard, which must not
 * count them again.
 */
TEST(Observe, CustomersAreShownWithWhatBecameOfTheirRequests)
{
	Customers w;
	int over = 0, served = 0;

	for (int i = 0; i < 8; i++) {
		int status = w.by("anna", w.ip + ":8080");

		over += status == 429;
		served += status == 200;
	}
	EXPECT_GT(over, 0);
	EXPECT_EQ(8, over + served);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(200, w.by("bert", w.second.address));
	EXPECT_EQ(200, w.by("bert", w.second.address, "/look/1?ms=400"));
	w.platform.set("i-0", 100, true, false);
	w.platform.set("i-1", 100, true, false);
	EXPECT_EQ(503, w.by("bert", w.second.address));
	w.platform.set("i-0", 100, false, false);
	w.platform.set("i-1", 100, false, false);
	w.platform.fail("i-0");
	w.platform.fail("i-1");
	EXPECT_EQ(500, w.by("bert", w.second.address));

	Printed p(w.admins(), {"--json", "customers"});
	Json list(p.out);
	ASSERT_EQ(0, p.status) << p.err;
	json_t *anna = row_of(page_of(list, 0), "anna");
	json_t *bert = row_of(page_of(list, 1), "bert");
	ASSERT_NE(nullptr, anna) << p.out;
	ASSERT_NE(nullptr, bert) << p.out;
	EXPECT_EQ(nullptr, row_of(page_of(list, 0), "bert")) << p.out;
	EXPECT_EQ(nullptr, row_of(page_of(list, 1), "anna")) << p.out;
	EXPECT_EQ(8, number(anna, "requests"));
	EXPECT_EQ(over, number(anna, "over_rate"));
	EXPECT_EQ(served, number(anna, "in_time") + number(anna, "late"));
	EXPECT_EQ(8, number(bert, "requests")) << p.out;
	EXPECT_EQ(6, number(bert, "in_time") + number(bert, "late"));
	EXPECT_GE(number(bert, "late"), 1);
	EXPECT_EQ(1, number(bert, "refused"));
	EXPECT_EQ(1, number(bert, "failed"));
	EXPECT_EQ(
	    0, number(json_object_get(page_of(list, 0), "others"), "requests"));
	Printed table(w.admins(), {"customers"});
	EXPECT_TRUE(table.says("OVER RATE")) << table.out;
	EXPECT_TRUE(table.says("anna")) << table.out;
	EXPECT_TRUE(table.says("(others)")) << table.out;
	EXPECT_FALSE(table.says("key-")) << table.out;
}

/* Deployments without customers must see a page, and no figures. */
TEST(Observe, WithoutCustomersThePageIsEmpty)
{
	Fleet f(options());

	ASSERT_TRUE(up(f, 4));
	EXPECT_EQ(200, http("GET", f.boxes[0].listen, "/dir/x").status);
	Json page(http("GET", f.boxes[0].admin, "/customers").body);
	EXPECT_EQ(0u, json_array_size(json_object_get(page.v, "customers")));
	EXPECT_EQ(0, number(json_object_get(page.v, "others"), "requests"));
}

/*
 * Half of the capacity drains while requests wait for the other half: the log
 * says so once, with the reason, and when that is over.
 */
TEST(Observe, ReducedCapacityIsLoggedWithItsReasonAndItsEnd)
{
	FleetOptions o = options();
	std::string log;
	int open = 0;

	o.boxes = 1;
	o.backends[1].hall = "north";
	o.backends[0].keys = o.backends[1].keys = "ms=150";
	Fleet f(o);
	ASSERT_TRUE(up(f, 4));
	EXPECT_EQ(0, f.ctl({"drain", "b0"}, nullptr));
	ASSERT_TRUE(until([&] {
		return Printed({f.boxes[0].admin}, {"shards"})
		    .says("draining=3");
	}));
	for (int i = 0; i < 24; i++) {
		open++;
		http_start("GET", f.boxes[0].listen, "/dir/x", {}, "", 20000,
		    [&](const Reply &) { open--; });
	}
	EXPECT_TRUE(until([&] { return open == 0; }));
	EXPECT_TRUE(until([&] {
		log = f.boxes[0].gate.read_log();
		return log.find("shard capacity is restored") !=
		    std::string::npos;
	}));
	size_t at = log.find("part=pick msg=\"shard capacity is reduced\" "
			     "service=dir hall=north slots=6 usable=");
	ASSERT_NE(std::string::npos, at) << log;
	std::string line = log.substr(at, log.find('\n', at) - at);
	EXPECT_NE(std::string::npos, line.find(" draining=3")) << line;
	EXPECT_EQ(std::string::npos, line.find(" waiting=0 ")) << line;
	EXPECT_EQ(std::string::npos,
	    log.find("shard capacity is reduced", at + line.size()));
	at = log.find("msg=\"shard capacity is restored\"");
	line = log.substr(at, log.find('\n', at) - at);
	EXPECT_NE(std::string::npos, line.find(" for_ms=")) << line;
}
