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
 * Unit tests of small modules: errors, selectors, settings, objects, charts,
 * queues, limits, membership, probes, messages, fingerprints and returns.
 */
#include <cstring>
#include <gtest/gtest.h>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "refusal.h"
#include "fprint.h"
#include "chart.h"
#include "doc.h"
#include "err.h"
#include "field.h"
#include "limit.h"
#include "memb.h"
#include "msg.h"
#include "obj.h"
#include "pick.h"
#include "probe.h"
#include "queue.h"
#include "sel.h"
}

namespace
{

struct str
view(const std::string &s)
{
	return str_n(s.data(), s.size());
}

bool
matches(const std::string &selector, const std::string &labels)
{
	GError *err = nullptr;
	struct sel *s = sel_parse(view(selector), &err);
	json_t *l = json_loads(labels.c_str(), 0, nullptr);
	bool ok;

	EXPECT_NE(nullptr, s)
	    << selector << ": " << (err != nullptr ? err->message : "");
	g_clear_error(&err);
	if (s == nullptr)
		return false;
	ok = sel_match(s, l);
	sel_free(s);
	json_decref(l);
	return ok;
}

/* Returns the error message for a selector that is not valid. */
std::string
error_of(const std::string &selector)
{
	GError *err = nullptr;
	struct sel *s = sel_parse(view(selector), &err);
	std::string text = err != nullptr ? err->message : "";

	EXPECT_EQ(nullptr, s) << selector;
	sel_free(s);
	g_clear_error(&err);
	return text;
}

uint64_t
next_random(void *ctx)
{
	return rnd_splitmix64(static_cast<uint64_t *>(ctx));
}

} // namespace

TEST(Err, EachKindHasARowAndAName)
{
	for (int i = 0; i < ERR_MAX; i++) {
		const struct err_info *a = err_lookup((enum err_kind)i);

		ASSERT_NE(nullptr, a->name) << i;
		EXPECT_NE(nullptr, a->sentence) << i;
		EXPECT_EQ(i, err_by_name(str_c(a->name)));
		if (i > ERR_NONE && i <= ERR_RESPONSE_LAST) {
			EXPECT_GE(a->status, 400) << a->name;
		}
	}
	EXPECT_STREQ("system", err_lookup((enum err_kind)999)->name);
}

TEST(Str, NumbersAndDistances)
{
	unsigned long long v;

	EXPECT_TRUE(str_u64(STR_LIT("120"), &v));
	EXPECT_EQ(120u, v);
	EXPECT_FALSE(str_u64(STR_LIT(""), &v));
	EXPECT_FALSE(str_u64(STR_LIT("-1"), &v));
	EXPECT_FALSE(str_u64(STR_LIT("1234567890123456789"), &v));
	EXPECT_EQ(0u, str_distance(STR_LIT("hall"), STR_LIT("hall")));
	EXPECT_EQ(1u, str_distance(STR_LIT("hal"), STR_LIT("hall")));
	EXPECT_EQ(3u, str_distance(STR_LIT("kitten"), STR_LIT("sitting")));
}

TEST(Sel, EachFormMatches)
{
	const char *labels = R"({"app":"directory","hall":"north"})";

	EXPECT_TRUE(matches("app", labels));
	EXPECT_FALSE(matches("cold", labels));
	EXPECT_TRUE(matches("!cold", labels));
	EXPECT_FALSE(matches("!app", labels));
	EXPECT_TRUE(matches("app=directory", labels));
	EXPECT_TRUE(matches("app == directory", labels));
	EXPECT_FALSE(matches("app=other", labels));
	EXPECT_TRUE(matches("app!=other", labels));
	EXPECT_TRUE(matches("cold!=yes", labels));
	EXPECT_TRUE(matches("hall in (north,south)", labels));
	EXPECT_FALSE(matches("hall in (east)", labels));
	EXPECT_TRUE(matches("hall notin (east, west)", labels));
	EXPECT_TRUE(matches("zone notin (a)", labels));
	EXPECT_TRUE(
	    matches("app=directory,hall in (north,south),!cold", labels));
	EXPECT_FALSE(matches("app=directory,hall=south", labels));
	EXPECT_FALSE(matches("", labels));
}

TEST(Sel, ErrorsNameTheColumn)
{
	EXPECT_NE(std::string::npos, error_of("app=").find("column 5"));
	EXPECT_NE(std::string::npos, error_of("app in north").find("'('"));
	EXPECT_NE(std::string::npos, error_of("app in (a").find("',' or ')'"));
	EXPECT_NE(std::string::npos, error_of("a,,b").find("column 3"));
	EXPECT_NE(std::string::npos, error_of("a b").find("column 3"));
	EXPECT_NE(std::string::npos, error_of("a=b,").find("a label's name"));
	EXPECT_NE(std::string::npos, error_of("(").find("column 1"));
}

TEST(Field, AddressesAndNames)
{
	char ip[64];
	uint16_t port;

	EXPECT_TRUE(field_parse_address(
	    STR_LIT("127.0.0.1:80"), ip, sizeof(ip), &port));
	EXPECT_EQ(80, port);
	EXPECT_TRUE(
	    field_parse_address(STR_LIT("[::1]:8080"), ip, sizeof(ip), &port));
	EXPECT_STREQ("::1", ip);
	for (const char *bad : {"", ":", "127.0.0.1", "127.0.0.1:", "x:80",
		 "127.0.0.1:0", "127.0.0.1:65536", "localhost:80", "[::1:80"})
		EXPECT_FALSE(
		    field_parse_address(str_c(bad), ip, sizeof(ip), &port))
		    << bad;
	EXPECT_TRUE(field_is_name(STR_LIT("a-b_c.9")));
	EXPECT_FALSE(field_is_name(STR_LIT("a/b")));
	EXPECT_FALSE(field_is_name(STR_LIT("")));
}

/*
 * The reason of a rejection goes into the status of each box, which the
 * platform refuses if it is too long: the box was not listed then.
 */
TEST(Obj, TheReasonOfARejectionIsShort)
{
	std::string umlauts;

	for (int i = 0; i < 100000; i++)
		umlauts += "\xc3\xa4";
	for (std::string shift : {"", "a"}) {
		const std::string text = "\"" + shift + umlauts + "\"";

		for (std::string spec : {"{\"address\":" + text + "}",
			 "{\"hall\":" + text + ",\"address\":\"1.2.3.4:5\"}",
			 "{" + text + ":1}", "{\"address\":[" + text + "]}",
			 R"({"hall":"n","address":"1.2.3.4:5","labels":{)" +
			     text + R"(:"x"}})"}) {
			json_t *json = json_loads(spec.c_str(), 0, nullptr);
			GError *err = nullptr;

			ASSERT_NE(nullptr, json);
			EXPECT_EQ(nullptr,
			    obj_read(OBJ_BACKEND, STR_LIT("b"), json, nullptr,
				&err));
			EXPECT_LT(strlen(err->message), 400u);
			EXPECT_TRUE(g_utf8_validate(err->message, -1, nullptr));
			g_error_free(err);
			json_decref(json);
		}
	}
}

TEST(Obj, ValidAndInvalidObjects)
{
	struct {
		enum obj_kind kind;
		const char *spec, *expected_error; /* NULL: valid */
	} cases[] = {
	    {OBJ_SERVICE, R"({"select":"app=a"})", nullptr},
	    {OBJ_SERVICE, R"({})", "select: is missing"},
	    {OBJ_SERVICE, R"({"select":"app="})", "column"},
	    {OBJ_SERVICE, R"({"select":"a","deadline_ms":0})",
		"from 1 to 86400000"},
	    {OBJ_SERVICE, R"({"select":"a","probe_path":"x"})", "'/'"},
	    {OBJ_BACKEND, R"({"address":"127.0.0.1:1","hall":"n"})", nullptr},
	    {OBJ_BACKEND, R"({"address":"nowhere","hall":"n"})",
		"an IP number and a port"},
	    {OBJ_BACKEND, R"({"address":"127.0.0.1:1","hall":"n","slot":1})",
		"the nearest known name is slots"},
	    {OBJ_BACKEND,
		R"({"address":"127.0.0.1:1","hall":"n","labels":{"a":1}})",
		"names to strings"},
	    {OBJ_RULE, R"({"service":"s"})", nullptr},
	    {OBJ_RULE, R"({"service":"s","class":"bulky"})",
		"interactive or bulk"},
	    {OBJ_RULE, R"({"service":"s","path":"x"})", "'/'"},
	    {OBJ_RULE, R"({"service":"s","header":"x"})", "name: value"},
	    {OBJ_RULE, R"([])", "is not a table"},
	    {OBJ_RULE, R"({"service":"s","regions":"a,b"})", nullptr},
	    {OBJ_RULE, R"({"service":"s","regions":"a,,b"})", "names joined"},
	    {OBJ_EVACUATION, R"({})", nullptr},
	    {OBJ_EVACUATION, R"({"why":"a cable"})", nullptr},
	    {OBJ_EVACUATION, R"({"why":3})", "why"},
	    {OBJ_ROLLOUT, R"({"version":"v2","duration_ms":5000})", nullptr},
	    {OBJ_ROLLOUT,
		R"({"version":"v2","duration_ms":5000,"state":"running"})",
		nullptr},
	    {OBJ_ROLLOUT, R"({"version":"","duration_ms":5000})", "version"},
	    {OBJ_ROLLOUT, R"({"version":2,"duration_ms":5000})", "version"},
	    {OBJ_ROLLOUT, R"({"duration_ms":5000})", "version"},
	    {OBJ_ROLLOUT, R"({"version":"v2"})", "duration_ms"},
	    {OBJ_ROLLOUT, R"({"version":"v2","duration_ms":0})", "duration_ms"},
	    {OBJ_ROLLOUT, R"({"version":"v2","duration_ms":-5})",
		"duration_ms"},
	    {OBJ_ROLLOUT, R"({"version":"v2","duration_ms":9e12})",
		"duration_ms"},
	    {OBJ_ROLLOUT,
		R"({"version":"v2","duration_ms":5000,"state":"done"})",
		"state"},
	    {OBJ_CUSTOMER, R"({"keys":"ab,cd","rate":2.5,"burst":3})", nullptr},
	    {OBJ_CUSTOMER, R"({"rate":-1})", "rate"},
	    {OBJ_CUSTOMER, R"({"keys":["ab"]})", "keys"},
	    {OBJ_BUNDLE, R"({"evacuation":{"north":{}}})", "a bundle holds"},
	};

	for (auto &c : cases) {
		GError *err = nullptr;
		json_t *spec = json_loads(c.spec, 0, nullptr);
		struct obj *o =
		    obj_read(c.kind, STR_LIT("x"), spec, nullptr, &err);

		EXPECT_EQ(c.expected_error == nullptr, o != nullptr) << c.spec;
		if (c.expected_error != nullptr && err != nullptr) {
			EXPECT_NE(
			    nullptr, strstr(err->message, c.expected_error))
			    << err->message;
		}
		obj_free(o);
		g_clear_error(&err);
		json_decref(spec);
	}
}

TEST(Doc, LinesOfTablesAndKeys)
{
	const char *text = "a = 1\n[[rule]]\nname = \"x\"\nflag = true\n";
	struct doc *d = doc_parse(text, strlen(text), "f", nullptr);
	json_t *rule = json_array_get(json_object_get(d->root, "rule"), 0);

	EXPECT_EQ(1, doc_line(d, d->root, "a"));
	EXPECT_EQ(4, doc_line(d, rule, "flag"));
	EXPECT_EQ(0, doc_line(d, rule, "none"));
	doc_free(d);
}

TEST(Doc, NonAsciiCharactersInEachPlace)
{
	struct {
		const char *text;
		bool valid;
	} cases[] = {
	    {"# \xc3\xa5\xc3\xa4\na = \"\xc3\xb6\" # \xc3\xa9\n", true},
	    {"\xc3\xa9 = 1\n", false},
	    {"a = \xc3\xa9\n", false},
	    {"a = 1 \xc3\xa9\n", false},
	    {"a = \"\xc3\x28\"\n", false},
	};

	for (auto &c : cases) {
		struct doc *d = doc_parse(c.text, strlen(c.text), "f", nullptr);

		EXPECT_EQ(c.valid, d != nullptr) << c.text;
		doc_free(d);
	}
}

TEST(Chart, InvalidChartsAreRejected)
{
	static const char *const states[] = {"a", "b"};
	static const char *const events[] = {"x"};
	struct chart_names names = {"t", states, 2, events, 1};
	struct {
		const char *text, *expected_error;
	} cases[] = {
	    {"start = \"a\"\n[state.a]\nx = \"b\"\n[state.b]\nx = \"a\"\n",
		nullptr},
	    {"start = \"c\"\n", "names no known state"},
	    {"start = \"a\"\n[state.a]\nx = \"b\"\n", "state b is missing"},
	    {"start = \"a\"\n[state.a]\nx = \"b\"\n[state.b]\n",
		"event x leads to no known state"},
	    {"start = \"a\"\n[state.a]\nx = \"a\"\n[state.b]\nx = \"a\"\n",
		"state b cannot be reached"},
	    {"start = \"a\"\n[state.a]\nx = \"b\"\ny = \"b\"\n[state.b]\n"
	     "x = \"a\"\n",
		"unknown event y"},
	    {"start = \"a\"\n[state.q]\nx = \"a\"\n", "unknown state q"},
	};

	for (auto &c : cases) {
		GError *err = nullptr;
		struct chart *ch =
		    chart_parse(c.text, strlen(c.text), "f", &names, &err);

		EXPECT_EQ(c.expected_error == nullptr, ch != nullptr);
		if (c.expected_error != nullptr) {
			ASSERT_NE(nullptr, err);
			EXPECT_NE(
			    nullptr, strstr(err->message, c.expected_error))
			    << err->message;
		} else {
			EXPECT_EQ(1, chart_step(ch, 0, 0));
		}
		chart_free(ch);
		g_clear_error(&err);
	}
}

TEST(Queue, RandomChangesKeepTheOrder)
{
	std::mt19937 rng(3);
	std::vector<struct queue_item> items(200);
	std::vector<struct queue_item *> queued;
	struct queue q;

	queue_init(&q);
	for (int step = 0; step < 20000; step++) {
		if (queued.size() < items.size() && rng() % 2 == 0) {
			for (auto &i : items) {
				if (i.data != nullptr)
					continue;
				i.deadline = static_cast<int64_t>(rng() % 50);
				i.data = &i;
				queue_push(&q, &i);
				queued.push_back(&i);
				break;
			}
		} else if (!queued.empty()) {
			size_t at = rng() % queued.size();
			struct queue_item *i =
			    rng() % 2 == 0 ? queued[at] : queue_first(&q);

			queue_remove(&q, i);
			i->data = nullptr;
			queued.erase(
			    std::find(queued.begin(), queued.end(), i));
		}
		ASSERT_EQ(queued.size(), q.n);
		for (auto *i : queued)
			ASSERT_LE(queue_first(&q)->deadline, i->deadline);
	}
	queue_clear(&q);
}

TEST(Limit, RateAndBurst)
{
	struct limit l = {0, 0};
	int64_t now = NS_S;
	int allowed = 0;

	for (int ms = 0; ms < 10000; ms++, now += NS_MS)
		allowed += limit_allow(&l, 50, now);
	EXPECT_GE(allowed, 500);
	EXPECT_LE(allowed, 511);
	EXPECT_TRUE(limit_allow(&l, 0, now));
}

TEST(Limit, TableEvictsTheLeastRecentlyUsed)
{
	struct limit_table *t = limit_table_new(2);
	int64_t now = NS_S;

	EXPECT_TRUE(limit_table_allow(t, STR_LIT("a"), 1, now));
	EXPECT_FALSE(limit_table_allow(t, STR_LIT("a"), 1, now));
	EXPECT_TRUE(limit_table_allow(t, STR_LIT("b"), 1, now));
	EXPECT_TRUE(limit_table_allow(t, STR_LIT("c"), 1, now));
	EXPECT_FALSE(limit_table_allow(t, STR_LIT("c"), 1, now));
	EXPECT_TRUE(limit_table_allow(t, STR_LIT("a"), 1, now));
	limit_table_free(t);
}

TEST(Limit, RetriesAreAShareOfRequests)
{
	struct retry_budget b = {};
	int retries = 0;

	for (int i = 0; i < 10000; i++) {
		retry_budget_deposit(&b, 10);
		if (retry_budget_available(&b)) {
			retry_budget_withdraw(&b);
			retries++;
		}
	}
	EXPECT_GE(retries, 995);
	EXPECT_LE(retries, 1010);
}

TEST(Limit, ABudgetSpentToZeroIsNotRefilled)
{
	struct retry_budget b = {};
	int allowed = 0;

	/* Starts with a quarter of 20; there are no deposits. */
	for (int i = 0; i < 100; i++) {
		retry_budget_deposit(&b, 0);
		if (!retry_budget_available(&b))
			continue;
		retry_budget_withdraw(&b);
		allowed++;
	}
	EXPECT_EQ(5, allowed);
}

TEST(Limit, TheSumOfHallBudgetsStaysWithinTheFleetsBudget)
{
	/* Four halls use up their shares in the same window. */
	const double slack = 64, used = 0.75;
	const int halls = 4, requests = 1000;
	double sum = 0;

	for (int h = 0; h < halls; h++) {
		struct retry_budget b = {};

		b.max = slack * used / halls;
		/* Each budget is full before the window begins. */
		for (int i = 0; i < 10000; i++)
			retry_budget_deposit(&b, 15);
		for (int i = 0; i < requests / halls; i++) {
			retry_budget_deposit(&b, 15);
			while (retry_budget_available(&b)) {
				retry_budget_withdraw(&b);
				sum += 1;
			}
		}
	}
	EXPECT_LE(sum, 0.2 * requests + slack);
}

namespace
{

/* A box's membership table: its own entry and those it received. */
struct Membership {
	std::vector<std::string> names;
	std::vector<struct memb_info> infos;
	struct memb *mb;

	/* Boxes of equal power in each hall; the first is the own box. */
	Membership(const std::vector<std::string> &halls, int per_hall,
	    uint64_t power = 100)
	{
		for (size_t h = 0; h < halls.size(); h++)
			for (int i = 0; i < per_hall; i++)
				names.push_back(halls[h] + std::to_string(i));
		for (size_t i = 0; i < names.size(); i++) {
			struct memb_info m = {};

			m.box = view(names[i]);
			m.hall = view(halls[i / static_cast<size_t>(per_hall)]);
			m.started_ms = m.incarnation = 1;
			m.power = power;
			infos.push_back(m);
		}
		mb = memb_new(&infos[0]);
		receive_announcements();
	}

	~Membership()
	{
		memb_free(mb);
	}

	/* Receives a new announcement of each box but the own. */
	void receive_announcements()
	{
		for (size_t i = 1; i < infos.size(); i++) {
			infos[i].incarnation++;
			memb_update(mb, &infos[i], NS_S);
		}
	}

	std::vector<struct memb_info *> watchers(int k)
	{
		std::vector<struct memb_info *> found;

		for (auto &m : infos)
			if (memb_is_watcher(mb, m.box, k))
				found.push_back(&m);
		return found;
	}
};

} // namespace

TEST(Memb, FewBoxesWatchAndOneOfEachHallFirst)
{
	static const std::vector<std::string> halls = {"a", "b", "c", "d"};
	Membership v(halls, 20);
	std::set<std::string> seen;

	for (auto *m : v.watchers(4))
		seen.insert(std::string(m->hall.p, m->hall.n));
	EXPECT_EQ(4u, v.watchers(4).size());
	EXPECT_EQ(4u, seen.size());
	EXPECT_EQ(6u, v.watchers(6).size());
	/* No more than there are hubs. */
	EXPECT_EQ(4u * MEMB_HUBS_MAX, v.watchers(100).size());
}

TEST(Memb, MoreBoxesWatchIfThePlatformAnswersTooFew)
{
	static const std::vector<std::string> halls = {"a", "b"};
	Membership v(halls, 10);
	int with_platform = 0;

	for (auto *m : v.watchers(3))
		m->platform_unreachable = m != &v.infos[0];
	memb_self(v.mb)->platform_unreachable =
	    memb_is_watcher(v.mb, v.infos[0].box, 3);
	v.receive_announcements();
	for (auto *m : v.watchers(3))
		with_platform += !m->platform_unreachable && m != &v.infos[0];
	/* Each of the three has a replacement. */
	EXPECT_EQ(3u + 3u, v.watchers(3).size());
	EXPECT_EQ(3, with_platform);
	EXPECT_EQ(1u + MEMB_WATCHERS_WITH_PLATFORM_MIN, v.watchers(1).size());
	/* If no box reaches the platform, the first three go on trying. */
	for (auto &m : v.infos)
		m.platform_unreachable = true;
	memb_self(v.mb)->platform_unreachable = true;
	v.receive_announcements();
	EXPECT_EQ(3u, v.watchers(3).size());
}

TEST(Memb, StrongBoxesAreHubsAndWatch)
{
	static const std::vector<std::string> halls = {"north"};
	Membership v(halls, 12);

	v.infos[4].power = 500;
	v.infos[7].power = 300;
	v.receive_announcements();
	for (size_t i = 0; i < v.infos.size(); i++) {
		bool strong = v.infos[i].power > 100;

		EXPECT_EQ(strong, memb_is_hub(v.mb, v.infos[i].box)) << i;
		EXPECT_EQ(strong, memb_is_watcher(v.mb, v.infos[i].box, 5))
		    << i;
	}
	EXPECT_EQ(2u, memb_count_hubs(v.mb));
	/*
	 * Without these the weak boxes do not become hubs: they could not
	 * serve all requests of a hall, and other halls can.
	 */
	v.infos[4].dead = v.infos[7].dead = true;
	v.receive_announcements();
	EXPECT_EQ(0u, memb_count_hubs(v.mb));
}

/* Weak boxes waited for 5 s, though the process was known to have ended. */
TEST(Memb, ADeadBoxThatRefusesConnectionsIsLostAtOnce)
{
	static const std::vector<std::string> halls = {"north"};
	const struct memb_member *out[4];
	Membership v(halls, 3);

	v.infos[1].power = 500;
	v.receive_announcements();
	EXPECT_FALSE(memb_is_strong(v.mb));
	/* It only does not listen yet, or not any more. */
	EXPECT_FALSE(memb_connection_refused(v.mb, v.infos[1].box));
	EXPECT_EQ(0u, memb_dead_strong(v.mb, out, 4));
	v.infos[1].dead = true;
	v.receive_announcements();
	EXPECT_EQ(1u, memb_dead_strong(v.mb, out, 4));
	EXPECT_FALSE(memb_is_strong(v.mb));
	EXPECT_TRUE(memb_connection_refused(v.mb, out[0]->info.box));
	EXPECT_TRUE(memb_is_strong(v.mb));
	EXPECT_EQ(2u, memb_count_hubs(v.mb));
	EXPECT_EQ(0u, memb_dead_strong(v.mb, out, 4));
	EXPECT_FALSE(memb_connection_refused(v.mb, v.infos[1].box));
	/* It counts again with its first message. */
	v.infos[1].dead = false;
	v.infos[1].incarnation++;
	v.receive_announcements();
	EXPECT_FALSE(memb_is_strong(v.mb));
}

TEST(Memb, OnlyStrongBoxesThatLeaveAreOfUseWhereNoHubLives)
{
	static const std::vector<std::string> halls = {"north"};
	Membership v(halls, 12);

	v.infos[4].power = v.infos[5].power = v.infos[7].power = 500;
	v.receive_announcements();
	for (size_t i = 1; i < v.infos.size(); i++)
		EXPECT_FALSE(memb_is_leaving_strong(
		    v.mb, memb_find(v.mb, v.infos[i].box)));
	v.infos[3].leaving = v.infos[4].leaving = v.infos[5].leaving = true;
	v.receive_announcements();
	for (size_t i = 1; i < v.infos.size(); i++)
		EXPECT_EQ(i == 4 || i == 5,
		    memb_is_leaving_strong(
			v.mb, memb_find(v.mb, v.infos[i].box)))
		    << i;
	v.infos[5].dead = true;
	v.receive_announcements();
	EXPECT_TRUE(
	    memb_is_leaving_strong(v.mb, memb_find(v.mb, v.infos[4].box)));
	EXPECT_FALSE(
	    memb_is_leaving_strong(v.mb, memb_find(v.mb, v.infos[5].box)));
}

TEST(Memb, EqualBoxesReplaceDeadHubs)
{
	static const std::vector<std::string> halls = {"north"};
	Membership v(halls, 20);
	unsigned changed = 0;

	for (size_t i = 1; i < v.infos.size(); i++)
		if (memb_is_hub(v.mb, v.infos[i].box) && changed < 3) {
			v.infos[i].dead = true;
			changed++;
		}
	v.receive_announcements();
	EXPECT_EQ(3u, changed);
	EXPECT_EQ(static_cast<size_t>(MEMB_HUBS_MAX), memb_count_hubs(v.mb));
	for (auto &m : v.infos)
		EXPECT_FALSE(m.dead && memb_is_hub(v.mb, m.box));
}

TEST(Memb, OnlyHubsOfItsHallMustKnowALeaf)
{
	static const std::vector<std::string> halls = {"a", "b"};
	Membership v(halls, 10);
	const struct memb_member *hub = nullptr, *leaf = nullptr,
				 *other_hub = nullptr;

	for (size_t i = 1; i < v.infos.size(); i++) {
		const struct memb_member *m = memb_find(v.mb, v.infos[i].box);
		bool same_hall = str_eq(m->info.hall, STR_LIT("a"));

		if (memb_is_hub(v.mb, m->info.box))
			(same_hall ? hub : other_hub) = m;
		else if (same_hall)
			leaf = m;
	}
	EXPECT_TRUE(memb_must_know(v.mb, hub, leaf));
	EXPECT_FALSE(memb_must_know(v.mb, other_hub, leaf));
	EXPECT_FALSE(memb_must_know(v.mb, leaf, leaf));
	EXPECT_TRUE(memb_must_know(v.mb, leaf, other_hub));
	EXPECT_TRUE(memb_must_know(v.mb, other_hub, hub));
}

TEST(Memb, TheFleetIsCountedFromAnnouncementsOfHubs)
{
	static const std::vector<std::string> halls = {"a", "b"};
	Membership v(halls, 3);

	for (auto &m : v.infos)
		m.ready = true;
	memb_self(v.mb)->ready = true;
	v.receive_announcements();
	EXPECT_EQ(6u, memb_count_fleet_serving(v.mb));
	/* A hub of the other hall announces more than the own box knows. */
	v.infos[4].serving_gates = 40;
	v.receive_announcements();
	EXPECT_EQ(43u, memb_count_fleet_serving(v.mb));
}

TEST(Memb, LaterStartThenIncarnationThenWorseStateWins)
{
	struct memb_info self = {}, b = {};
	struct memb *m;

	self.box = STR_LIT("a");
	self.hall = STR_LIT("n");
	m = memb_new(&self);
	b.box = STR_LIT("b");
	b.hall = STR_LIT("n");
	b.started_ms = 5;
	b.incarnation = 10;
	EXPECT_TRUE(memb_update(m, &b, NS_S));
	EXPECT_EQ(2u, memb_count_alive(m));
	EXPECT_FALSE(memb_update(m, &b, 2 * NS_S));
	b.leaving = true;
	EXPECT_TRUE(memb_update(m, &b, 2 * NS_S));
	EXPECT_EQ(1u, memb_count_alive(m));
	/* An announcement from before it left changes nothing. */
	b.leaving = false;
	EXPECT_FALSE(memb_update(m, &b, 2 * NS_S));
	EXPECT_EQ(1u, memb_count_alive(m));
	/* A new start does. */
	b.started_ms = 6;
	b.incarnation = 1;
	EXPECT_TRUE(memb_update(m, &b, 3 * NS_S));
	EXPECT_EQ(2u, memb_count_alive(m));
	b.started_ms = 4;
	b.incarnation = 99;
	EXPECT_FALSE(memb_update(m, &b, 3 * NS_S));
	memb_free(m);
}

TEST(Memb, ABoxThatDoesNotAnswerIsDeadUntilItRefutes)
{
	struct memb_info self = {}, b = {}, suspected = {};
	struct memb *m;
	int64_t now = NS_S;

	self.box = STR_LIT("a");
	self.started_ms = 3;
	m = memb_new(&self);
	b.box = STR_LIT("b");
	b.started_ms = b.incarnation = 1;
	memb_update(m, &b, now);
	/* Not silence alone but a request without a reply makes it dead. */
	EXPECT_FALSE(memb_tick(m, now += 60 * NS_S));
	memb_request_sent(m, b.box, now);
	memb_message_received(m, b.box, now);
	EXPECT_FALSE(memb_tick(m, now += 10 * NS_S));
	memb_request_sent(m, b.box, now);
	/* If the own box was suspended, open requests do not count. */
	memb_cancel_requests(m);
	EXPECT_FALSE(memb_tick(m, now += 10 * NS_S));
	memb_request_sent(m, b.box, now);
	EXPECT_TRUE(memb_tick(m, now += 10 * NS_S));
	EXPECT_EQ(1u, memb_count_alive(m));
	EXPECT_FALSE(memb_update(m, &b, now));
	EXPECT_EQ(1u, memb_count_alive(m));
	b.incarnation = 2;
	EXPECT_TRUE(memb_update(m, &b, now));
	EXPECT_EQ(2u, memb_count_alive(m));
	/* The own box is reported dead and refutes that. */
	suspected.box = self.box;
	suspected.started_ms = 3;
	suspected.incarnation = 7;
	suspected.dead = true;
	EXPECT_TRUE(memb_update(m, &suspected, now));
	EXPECT_EQ(8u, memb_self(m)->incarnation);
	EXPECT_FALSE(memb_update(m, &suspected, now));
	memb_free(m);
}

TEST(Memb, UpdatesAreSentALimitedNumberOfTimes)
{
	uint64_t seed = 5;
	struct rnd rnd = {next_random, &seed};
	const struct memb_member *out[6];
	struct memb_info self = {}, b = {};
	std::vector<std::string> names;
	struct memb *m;
	size_t sent = 0, last;

	self.box = STR_LIT("a");
	m = memb_new(&self);
	for (int i = 0; i < 100; i++)
		names.push_back("b" + std::to_string(i));
	for (auto &n : names) {
		b.box = view(n);
		b.started_ms = b.incarnation = 1;
		memb_update(m, &b, NS_S);
	}
	for (int i = 0; i < 2000; i++)
		sent += memb_collect_updates(m, &rnd, str_c(NULL), out, 6);
	/* 100 updates, each sent about ten times, then one a message. */
	EXPECT_LT(sent, 100u * 20 + 2000);
	last = memb_collect_updates(m, &rnd, str_c(NULL), out, 6);
	EXPECT_LE(last, 1u);
	memb_free(m);
}

TEST(Memb, ExactlyKBoxesAreTopHubs)
{
	const int N = 12, K = 2;
	std::vector<std::string> names;
	int first = 0;

	for (int i = 0; i < N; i++)
		names.push_back("box" + std::to_string(i));
	for (int i = 0; i < N; i++) {
		struct memb_info self = {};
		struct memb *m;

		self.box = view(names[static_cast<size_t>(i)]);
		self.hall = STR_LIT("n");
		m = memb_new(&self);
		for (int j = 0; j < N; j++) {
			struct memb_info o = {};

			o.box = view(names[static_cast<size_t>(j)]);
			o.hall = STR_LIT("n");
			o.started_ms = o.incarnation = 1;
			memb_update(m, &o, NS_S);
		}
		first +=
		    memb_is_in_top_hubs(m, STR_LIT("watch"), STR_LIT("n"), K);
		memb_free(m);
	}
	EXPECT_EQ(K, first);
}

namespace
{

/* Records the probes that were started and the changes of health. */
struct Probing {
	struct probe *probe = nullptr;
	std::vector<std::string> started;
	std::vector<enum msg_health_state> states;

	static void
	on_probe(void *ctx, struct str backend, struct str, struct str)
	{
		static_cast<Probing *>(ctx)->started.push_back(
		    std::string(backend.p, backend.n));
	}

	static void
	on_change(void *ctx, struct str, enum msg_health_state state)
	{
		static_cast<Probing *>(ctx)->states.push_back(state);
	}
};

} // namespace

TEST(Probe, StaysInItsBudgetAndReportsChanges)
{
	uint64_t seed = 9;
	struct rnd rnd = {next_random, &seed};
	Probing p;
	struct probe_ops ops = {Probing::on_probe, Probing::on_change, &p};
	int64_t now = NS_S;

	p.probe = probe_new(&ops, &rnd, 10);
	for (int ms = 0; ms < 10000; ms += 100, now += 100 * NS_MS) {
		probe_targets_begin(p.probe);
		for (int i = 0; i < 100; i++)
			probe_targets_add(p.probe,
			    view("b" + std::to_string(i)),
			    STR_LIT("127.0.0.1:1"), STR_LIT("/"), NS_S, now);
		probe_targets_commit(p.probe);
		probe_tick(p.probe, now);
		for (auto &name : p.started)
			probe_record_outcome(
			    p.probe, view(name), PROBE_OK, now);
	}
	/* 100 targets are due once a second; the budget is 10 a second. */
	EXPECT_GE(p.started.size(), 95u);
	EXPECT_LE(p.started.size(), 105u);
	EXPECT_GT(probe_deferred_count(p.probe), 0u);
	std::string b = p.started[0];
	p.states.clear();
	probe_record_outcome(p.probe, view(b), PROBE_FAILED, now);
	EXPECT_TRUE(p.states.empty());
	probe_record_outcome(p.probe, view(b), PROBE_FAILED, now);
	probe_record_outcome(p.probe, view(b), PROBE_DRAINING, now);
	probe_record_outcome(p.probe, view(b), PROBE_OK, now);
	EXPECT_EQ((std::vector<enum msg_health_state>{
		      HEALTH_DOWN, HEALTH_DRAINING, HEALTH_UP}),
	    p.states);
	probe_free(p.probe);
}

namespace
{

std::string
encode(struct msg *m)
{
	msgpack_sbuffer buf;
	std::string s;

	msgpack_sbuffer_init(&buf);
	m->from = STR_LIT("127.0.0.1:1");
	msg_encode(m, &buf);
	s.assign(buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	return s;
}

std::string
sample_announcement()
{
	struct memb_info other = {};
	struct msg m = {};

	other.box = STR_LIT("b");
	other.incarnation = UINT64_MAX;
	m.kind = MSG_ANNOUNCEMENT;
	m.u.announcement.self.box = STR_LIT("a");
	m.u.announcement.self.leaving = true;
	m.u.announcement.conf_summary.digest = 77;
	m.u.announcement.updates.items = &other;
	m.u.announcement.updates.n = 1;
	return encode(&m);
}

} // namespace

TEST(Msg, RoundTrip)
{
	std::string bytes = sample_announcement();
	struct msg m;

	ASSERT_TRUE(msg_decode(bytes.data(), bytes.size(), &m, nullptr));
	EXPECT_EQ(MSG_ANNOUNCEMENT, m.kind);
	EXPECT_TRUE(str_eq(m.u.announcement.self.box, STR_LIT("a")));
	EXPECT_TRUE(m.u.announcement.self.leaving);
	EXPECT_EQ(77u, m.u.announcement.conf_summary.digest);
	ASSERT_EQ(1u, m.u.announcement.updates.n);
	EXPECT_EQ(UINT64_MAX,
	    static_cast<struct memb_info *>(m.u.announcement.updates.items)
		->incarnation);
	msg_release(&m);
}

TEST(Msg, SuspectsRoundTrip)
{
	struct msg_suspect v[2] = {
	    {1, 2, 3, {4, 5}, 6, 7}, {8, 9, 10, {0, 11}, 12, 0}};
	struct msg m = {}, out;

	m.kind = MSG_SUSPECTS;
	m.from = STR_LIT("here");
	m.u.suspects.suspects = {v, 2};
	std::string bytes = encode(&m);
	ASSERT_TRUE(msg_decode(bytes.data(), bytes.size(), &out, nullptr));
	ASSERT_EQ(2u, out.u.suspects.suspects.n);
	EXPECT_EQ(0, memcmp(v, out.u.suspects.suspects.items, sizeof(v)));
	msg_release(&out);
}

/* A hub may send two messages of the largest size a second. */
TEST(Msg, ASuspectsMessageIsSmall)
{
	struct msg_suspect v[POISON_MSG_RECORDS_MAX];
	struct msg m = {};

	memset(v, 0xff, sizeof(v));
	m.kind = MSG_SUSPECTS;
	m.from = STR_LIT("10.128.100.100:7200");
	m.u.suspects.suspects = {v, POISON_MSG_RECORDS_MAX};
	EXPECT_GE(2200u, encode(&m).size());
}

TEST(Fuzz, MessagesSelectorsDocumentsAndObjects)
{
	std::mt19937 rng(4);
	std::string announcement = sample_announcement();
	const std::string sel = "app=directory,hall in (north,south),!cold";
	const std::string toml =
	    "[[rule]]\nname = \"x\"\npath = \"/\"\nrate = 3\n";
	const std::string json =
	    R"({"address":"127.0.0.1:1","hall":"n","labels":{"a":"b"}})";

	for (int i = 0; i < 20000; i++) {
		auto corrupt = [&](std::string s) {
			size_t n = 1 + rng() % 4;

			for (size_t k = 0; k < n && !s.empty(); k++) {
				size_t at = rng() % s.size();

				if (rng() % 4 == 0)
					s.erase(at);
				else
					s[at] = static_cast<char>(rng());
			}
			return s;
		};
		std::string b = corrupt(announcement);
		struct msg m;

		if (msg_decode(b.data(), b.size(), &m, nullptr))
			msg_release(&m);
		b = corrupt(sel);
		sel_free(sel_parse(view(b), nullptr));
		b = corrupt(toml);
		doc_free(doc_parse(b.data(), b.size(), "f", nullptr));
		b = corrupt(json);
		json_t *spec = json_loadb(b.data(), b.size(), 0, nullptr);
		if (spec != nullptr)
			obj_free(obj_read(
			    OBJ_BACKEND, STR_LIT("x"), spec, nullptr, nullptr));
		json_decref(spec);
		chart_free(chart_parse(
		    b.data(), b.size(), "f", &pick_chart_names, nullptr));
	}
}

TEST(Fprint, IdentifiesARequestAndItsCaller)
{
	struct fprint_parts a = {STR_LIT("10.0.0.1"), STR_LIT("me"),
	    STR_LIT("GET"), STR_LIT("shop.example"), STR_LIT("/look/1"),
	    STR_LIT("body")};
	struct fprint_parts b = a;

	EXPECT_TRUE(fprint_eq(fprint_compute(&a), fprint_compute(&b)));
	EXPECT_FALSE(fprint_is_none(fprint_compute(&a)));
	EXPECT_TRUE(fprint_is_none({}));
	/* Each part counts, and so does the boundary between two parts. */
	struct str *parts[] = {
	    &b.identity, &b.method, &b.host, &b.path, &b.body};
	for (struct str *part : parts) {
		b = a;
		part->n--;
		EXPECT_FALSE(fprint_same_request(
		    fprint_compute(&a), fprint_compute(&b)));
	}
	a.host = STR_LIT("ab");
	a.path = STR_LIT("c");
	b = a;
	b.host = STR_LIT("a");
	b.path = STR_LIT("bc");
	EXPECT_FALSE(
	    fprint_same_request(fprint_compute(&a), fprint_compute(&b)));
	/* With another address it is the same request of another caller. */
	b = a;
	b.address = STR_LIT("10.0.0.2");
	EXPECT_TRUE(
	    fprint_same_request(fprint_compute(&a), fprint_compute(&b)));
	EXPECT_FALSE(fprint_eq(fprint_compute(&a), fprint_compute(&b)));
}

/*
 * A refused request that comes again is recognised once for each refusal.  Its
 * waiting time counts from its first arrival.
 */
TEST(Returns, ARefusedRequestIsRecognisedUntilItExpires)
{
	struct refusals *r = refusals_new(3);
	struct fprint a = {1, 2, 3}, other_caller = {1, 2, 4};
	int64_t t = 100 * NS_S;

	EXPECT_EQ(0, refusals_consume(r, a, t));
	refusals_record_refusal(r, a, t, t + NS_MS);
	EXPECT_EQ(0, refusals_consume(r, other_caller, t + 2 * NS_MS));
	EXPECT_EQ(t, refusals_consume(r, a, t + 60 * NS_MS));
	EXPECT_EQ(0, refusals_consume(r, a, t + 60 * NS_MS));
	EXPECT_EQ(60 * NS_MS, refusals_mean_wait(r, t + 60 * NS_MS));
	/* After a second refusal the wait counts from the first arrival. */
	refusals_record_refusal(r, a, t, t + 61 * NS_MS);
	EXPECT_EQ(t, refusals_consume(r, a, t + 120 * NS_MS));
	EXPECT_GT(refusals_mean_wait(r, t + 120 * NS_MS), 60 * NS_MS);
	refusals_record_refusal(r, a, t, t + 121 * NS_MS);
	EXPECT_EQ(
	    0, refusals_consume(r, a, t + 121 * NS_MS + REFUSALS_TTL_NS + 1));
	EXPECT_EQ(0, refusals_mean_wait(r, t + 60 * NS_S));
	refusals_free(r);
}

TEST(Returns, NoMoreAreKeptThanTheCapacity)
{
	struct refusals *r = refusals_new(3);
	struct fprint none = {};

	for (uint64_t i = 1; i <= 10; i++)
		refusals_record_refusal(r, {i, i, i}, NS_S, NS_S);
	refusals_record_refusal(r, none, NS_S, NS_S);
	for (uint64_t i = 1; i <= 10; i++)
		EXPECT_EQ(
		    i > 7 ? NS_S : 0, refusals_consume(r, {i, i, i}, 2 * NS_S))
		    << i;
	refusals_free(r);
}
