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
#include <algorithm>
#include <atomic>
#include <chrono>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

#include "box.h"

extern "C" {
#include "customer.h"
#include "limit.h"
}

/*
 * Tests of customers, their keys and rate limits, with a real box and of the
 * functions alone.
 */

namespace
{

std::string
tenant(const std::string &name, const std::string &keys,
    const std::string &more = "")
{
	return "{\"resourceType\":\"tenants\",\"metadata\":{\"name\":\"" +
	    name + "\"},\"spec\":{\"apiKeys\":[" + keys + "]" + more + "}},";
}

/* A box whose rules require a customer's key. */
struct Customers : box::World {
	int n = 0;

	explicit Customers(
	    const std::string &tenants, const std::string &bounds = "")
	    : box::World(false, "", bounds)
	{
		allow(tenants);
		EXPECT_TRUE(until([&] { return ready(); }));
		EXPECT_TRUE(until([&] { return by("key-a").status == 200; }));
	}

	void allow(const std::string &tenants)
	{
		configure("till", tenants);
	}

	/* Sends a request with additional headers; its id is "c" and n. */
	Reply with(const std::vector<std::pair<std::string, std::string>> &more,
	    const std::string &address = "")
	{
		std::vector<std::pair<std::string, std::string>> all = {
		    {"Host", "shop.example"},
		    {"fernjunction-request-id", "c" + std::to_string(++n)},
		    {"fernjunction-deadline-ms", "800"}};

		all.insert(all.end(), more.begin(), more.end());
		return http("GET", address.empty() ? ip + ":8080" : address,
		    "/look/1", all, "", 2000);
	}

	Reply by(const std::string &key, const std::string &address = "")
	{
		return with({{"Fernjunction-Credential", key}}, address);
	}

	std::string heard()
	{
		return platform.headers_of("c" + std::to_string(n));
	}
};

/*
 * Sends one request on a new connection and returns the response. May be called
 * from any thread.
 */
std::string
exchange(const std::string &address, const std::string &id,
    const std::string &key, const std::string &path = "/look/1")
{
	size_t colon = address.find(':');
	std::string rq = "GET " + path +
	    " HTTP/1.1\r\nhost: shop.example\r\n"
	    "connection: close\r\nfernjunction-request-id: " +
	    id + "\r\nfernjunction-deadline-ms: 800\r\n" +
	    "fernjunction-credential: " + key + "\r\n\r\n";
	std::string text;
	struct sockaddr_in sin = {};
	struct timeval tv = {2, 0};
	char buf[4096];
	ssize_t n;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sin.sin_family = AF_INET;
	sin.sin_port = htons(
	    static_cast<uint16_t>(atoi(address.substr(colon + 1).c_str())));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &sin.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	if (connect(fd, reinterpret_cast<struct sockaddr *>(&sin),
		sizeof(sin)) == 0 &&
	    send(fd, rq.data(), rq.size(), MSG_NOSIGNAL) > 0)
		while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
			text.append(buf, static_cast<size_t>(n));
	close(fd);
	return text;
}

/*
 * Counts the outcomes of requests that many clients send at once for one
 * customer.
 */
struct Rush {
	std::atomic<int> let_in{0}, refused{0}, others{0};
	std::mutex lock;
	std::vector<int64_t> times; /* of those that were let in */
	std::vector<std::thread> callers;
	int64_t from = clk_ns(clk_system());

	Rush(std::vector<std::string> boxes, int64_t ns, int n = 8)
	{
		for (int i = 0; i < n; i++)
			callers.emplace_back([this, boxes, ns, i] {
				call(boxes[static_cast<size_t>(i) %
					 boxes.size()],
				    ns, i);
			});
	}

	void call(const std::string &box, int64_t ns, int caller)
	{
		for (int j = 0; clk_ns(clk_system()) - from < ns; j++) {
			std::string text = exchange(
			    box, std::to_string(caller * 1000 + j), "key-a");
			bool over = text.find(" 429 ") == 8;

			if (text.find(" 200 ") == 8) {
				std::lock_guard<std::mutex> guard(lock);

				times.push_back(clk_ns(clk_system()));
				let_in++;
			}
			refused += over &&
			    text.find("retry-after") != std::string::npos;
			others += text.find(" 200 ") != 8 && !over;
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(20));
		}
	}

	/* Returns the most requests that were let in during a window. */
	size_t most_in(int64_t window)
	{
		size_t most = 0;

		std::sort(times.begin(), times.end());
		for (size_t i = 0, j = 0; i < times.size(); i++) {
			while (times[i] - times[j] >= window)
				j++;
			most = std::max(most, i - j + 1);
		}
		return most;
	}

	/* Waits for all clients and returns the elapsed time in seconds. */
	double wait()
	{
		for (std::thread &t : callers)
			t.join();
		return static_cast<double>(clk_ns(clk_system()) - from) / NS_S;
	}
};

size_t
count(const std::string &text, const std::string &what)
{
	size_t n = 0;

	for (size_t at = text.find(what); at != std::string::npos;
	     at = text.find(what, at + 1))
		n++;
	return n;
}

struct obj_customer
with_keys(const std::string &keys)
{
	struct obj_customer c = {};

	c.keys = str_c(keys.c_str());
	return c;
}

std::string
digest(const std::string &key)
{
	char out[CUSTOMER_DIGEST_SIZE];

	EXPECT_TRUE(customer_digest(str_n(key.data(), key.size()), out));
	return out;
}

} // namespace

TEST(Customer, AKeyThatTwoHaveIsNobodys)
{
	struct customers *all = customers_new();
	std::string a = digest("a") + "," + digest("both"),
		    b = digest("both") + "," + digest("b");
	struct obj_customer ca = with_keys(a), cb = with_keys(b),
			    none = with_keys("");

	customers_add(all, STR_LIT("anna"), &ca);
	customers_add(all, STR_LIT("bert"), &cb);
	customers_add(all, STR_LIT("carl"), &none);
	EXPECT_EQ(3u, customers_count(all));
	EXPECT_STREQ("anna", customers_find(all, STR_LIT("a"))->name.p);
	EXPECT_STREQ("bert", customers_find(all, STR_LIT("b"))->name.p);
	EXPECT_EQ(nullptr, customers_find(all, STR_LIT("both")));
	EXPECT_EQ(nullptr, customers_find(all, STR_LIT("")));
	EXPECT_EQ(nullptr, customers_find(all, STR_LIT("c")));
	EXPECT_EQ(
	    nullptr, customers_find(all, str_c(std::string(600, 'a').c_str())));
	customers_free(all);
}

/*
 * No window contains more than the rate and the burst allow, however the
 * requests arrive.
 */
TEST(Customer, ABucketThatLendsKeepsToItsRate)
{
	struct bucket b = {0, NS_S};
	int64_t now = NS_S, wait;
	std::vector<int64_t> begun;
	uint64_t seed = 7;

	for (int i = 0; i < 20000; i++) {
		now +=
		    static_cast<int64_t>(rnd_splitmix64(&seed) % (5 * NS_MS));
		if (bucket_reserve(&b, 100, 50, 100 * NS_MS, now, &wait)) {
			begun.push_back(now + wait);
			continue;
		}
		EXPECT_GT(wait, 100 * NS_MS);
	}
	for (size_t i = 0, j = 0; i < begun.size(); i++) {
		while (begun[i] - begun[j] > 5 * NS_S)
			j++;
		EXPECT_LE(i - j + 1, 5u * 100 + 50 + 1);
	}
	EXPECT_GE(begun.size(), 0.95 * 100 * (now - NS_S) / NS_S);
}

TEST(Customer, OnlyAKeyThatIsHeldLetsARequestIn)
{
	Customers w(tenant("anna", "\"key-a\",\"key-b\"") +
	    tenant("bert", "\"key-c\""));

	EXPECT_EQ(401, w.by("key-x").status);
	EXPECT_EQ(401, w.by("").status);
	EXPECT_EQ(401, w.with({}).status);
	EXPECT_EQ(200, w.by("key-b").status);
	/* One key is removed and one is added. */
	w.allow(tenant("anna", "\"key-b\"") +
	    tenant("bert", "\"key-c\",\"key-d\""));
	EXPECT_TRUE(until([&] { return w.by("key-d").status == 200; }, 2000));
	EXPECT_EQ(401, w.by("key-a").status);
	EXPECT_FALSE(w.logged("key-"));
}

TEST(Customer, TheServerIsToldTheNameAndNeverTheKey)
{
	Customers w(tenant("anna", "\"key-a\"") + tenant("bert", "\"key-c\""));

	ASSERT_EQ(200,
	    w.with({{"fernjunction-credential", "key-c"},
		       {"Fernjunction-Tenant-Id", "anna"},
		       {"fernjunction-tenant-id", "carl"}})
		.status);
	EXPECT_EQ(1u, count(w.heard(), "fernjunction-tenant-id: "));
	EXPECT_EQ(1u, count(w.heard(), "fernjunction-tenant-id: bert\n"));
	EXPECT_EQ(0u, count(w.heard(), "key-c"));
}

TEST(Customer, AnOpenRouteNeedsNoKeyAndNamesNobody)
{
	Customers w(tenant("anna", "\"key-a\""));

	w.of_route = ",\"noAuth\":true";
	w.allow(tenant("anna", "\"key-a\""));
	ASSERT_TRUE(until([&] { return w.with({}).status == 200; }, 2000));
	ASSERT_EQ(200, w.with({{"Fernjunction-Tenant-Id", "anna"}}).status);
	EXPECT_EQ(0u, count(w.heard(), "fernjunction-tenant-id"));
	ASSERT_EQ(200, w.by("key-a").status);
	EXPECT_EQ(1u, count(w.heard(), "fernjunction-tenant-id: anna\n"));
}

/* Both boxes receive requests at once, far more than the rate allows. */
TEST(Customer, ARateHoldsOverAllBoxesAndIsUsed)
{
	std::string tenants =
	    tenant("anna", "\"key-a\"", ",\"ratePerS\":20,\"burst\":5");
	Customers w(tenants);
	box::Further second(w, "b2", "north", "7");
	second.box.start();
	ASSERT_TRUE(until(
	    [&] { return w.by("key-a", second.address).status == 200; }, 5000));
	/* Owners move when a box joins; that is over here. */
	ASSERT_TRUE(until([&] { return w.knows(2); }, 5000));
	pump(500);
	Rush rush({w.ip + ":8080", second.address}, 3 * NS_S);

	double s = rush.wait();
	EXPECT_EQ(0, rush.others);
	EXPECT_GT(rush.refused, 0);
	EXPECT_LE(rush.let_in, s * 20 + 5 + 1) << s;
	EXPECT_GE(rush.let_in, 0.95 * 3 * 20);
}

/* A box that may become the owner of the customer starts and stops. */
TEST(Customer, ARateHoldsWhileItsHomeMoves)
{
	std::string tenants =
	    tenant("anna", "\"key-a\"", ",\"ratePerS\":20,\"burst\":5");
	Customers w(tenants);
	box::Further second(w, "b2", "north", "7");

	pump(500);
	Rush rush({w.ip + ":8080"}, 5 * NS_S);
	for (int i = 0; i < 2; i++) {
		second.box.start();
		pump(1500);
		second.box.kill9();
		pump(500);
	}
	double s = rush.wait();
	EXPECT_GT(rush.refused, 0);
	/* Each move of the owner starts a bucket with one token. */
	EXPECT_LE(rush.let_in, s * 20 + 5 + 4 + 1) << s;
}

/* Returns how many rate queries the box has sent; the owner sends none. */
int
rate_queries(const std::string &admin)
{
	std::string text = http("GET", admin, "/metrics", {}, "", 500).body;
	size_t at = text.find("\nfern_rate_asks_total ");

	return at == std::string::npos ? 0 : atoi(text.c_str() + at + 22);
}

/*
 * The owner of a customer is stopped for 500 ms several times, and then killed
 * and restarted.  A second choice that counts by itself while the owner is only
 * slow, or an owner that does not know what was granted meanwhile, lets more
 * requests in than a window may have.
 */
TEST(Customer, ARateHoldsInEachWindowWhileTheOwnerIsSlowAndKilled)
{
	const std::string bounds = "\"quotaWindow\":\"5s\",";
	std::string tenants =
	    tenant("anna", "\"key-a\"", ",\"ratePerS\":30,\"burst\":30");
	const size_t limit = 30 * 5 + 30;
	Customers w(tenants, bounds);
	box::Further second(w, "b2", "north", "7", "", bounds),
	    third(w, "b3", "north", "6", "", bounds);
	std::vector<Process *> boxes = {&w.box, &second.box, &third.box};
	std::vector<std::string> listen = {w.ip + ":8080", second.address,
				     third.address},
				 admin = {w.ip + ":8280", w.ip + ":7280",
				     w.ip + ":6280"};
	size_t owner = 0;

	second.box.start();
	third.box.start();
	ASSERT_TRUE(until([&] { return w.knows(3); }, 10000));
	ASSERT_TRUE(until([&] { return second.box.running(); }));
	pump(6000);
	for (int i = 0; i < 30; i++)
		w.by("key-a", listen[static_cast<size_t>(i) % 3]);
	for (size_t i = 1; i < 3; i++)
		if (rate_queries(admin[i]) < rate_queries(admin[owner]))
			owner = i;
	Rush rush(listen, 14 * NS_S, 24);
	for (int i = 0; i < 8; i++) {
		boxes[owner]->signal(SIGSTOP);
		pump(500);
		boxes[owner]->signal(SIGCONT);
		pump(500);
	}
	for (int i = 0; i < 3; i++) {
		boxes[owner]->kill9();
		pump(500);
		boxes[owner]->start();
		pump(1000);
	}
	rush.wait();
	size_t most = rush.most_in(5 * NS_S);
	std::printf("limit %zu, most in 5 s %zu, in all %d\n", limit, most,
	    rush.let_in.load());
	EXPECT_LE(most, limit * 11 / 10 + 20);
	/* Of the 14 s two windows' worth at least is used. */
	EXPECT_GE(rush.let_in, 2 * static_cast<int>(limit));
}

/* The owner knows whose a request is, and the log says what is beyond a share.
 */
TEST(Customer, ARequestBeyondAShareIsLoggedAndCounted)
{
	Customers w(tenant("anna", "\"key-a\"") + tenant("bert", "\"key-c\""));
	std::vector<std::thread> callers;

	/* Longer than a burst may wait, which would be refused first. */
	w.target = "700ms";
	w.allow(tenant("anna", "\"key-a\"") + tenant("bert", "\"key-c\""));
	ASSERT_TRUE(
	    until([&] { return w.in_force("bundle/main") == 2; }, 2000));
	/* The box learns how long the requests take. */
	for (int i = 0; i < 50; i++)
		exchange(w.ip + ":8080", "w" + std::to_string(i), "key-c",
		    "/look/1?ms=40");
	for (int i = 0; i < 100; i++)
		callers.emplace_back([&w, i] {
			exchange(w.ip + ":8080", "x" + std::to_string(i),
			    "key-a", "/look/1?ms=40");
		});
	for (std::thread &t : callers)
		t.join();
	EXPECT_EQ(200, w.by("key-c").status);
	EXPECT_TRUE(w.logged("customer=anna over_share=1"));
	EXPECT_FALSE(w.logged("customer=bert over_share=1"));
	std::string metrics =
	    http("GET", w.ip + ":8280", "/metrics", {}, "", 500).body;

	EXPECT_EQ(std::string::npos,
	    metrics.find("\nfern_over_share_refused_total 0\n"));
	EXPECT_NE(std::string::npos,
	    metrics.find("\nfern_over_share_refused_total "));
}
