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
 * Unit tests of the platform adapter (encoding of calls, decoding of replies
 * and of backend servers' headers) and of a few formats used beside it.
 */
#include <gtest/gtest.h>
#include <string>

/* In C++ a function that has a struct's name hides its constructor. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
extern "C" {
#include "conf.h"
#include "dial.h"
#include "json_mend.h"
#include "libreq.h"
#include "once.h"
#include "pace.h"
#include "plat.h"
#include "platform/platform.h"
#include "route.h"
}
#pragma GCC diagnostic pop

namespace
{

const char *const config = R"({"version": "r7", "newField": 1, "resources": [
  {"resourceType": "routes", "metadata": {"name": "buy"}, "spec": {
     "host": "shop.example", "pathPrefix": "/buy/", "routeType": "unsafe",
     "timeout": "1.2s", "targetLatency": "300ms", "priority": 1,
     "service": "till", "maxAttempts": 2, "novel": true}},
  {"resourceType": "routes", "metadata": {"name": "look"}, "spec": {
     "host": "shop.example", "pathPrefix": "/", "routeType": "safe",
     "timeout": "1000ms", "targetLatency": "250ms", "priority": 2,
     "trafficSplit": [{"service": "old", "weight": 90},
                      {"service": "new", "weight": 10}], "maxAttempts": 3}},
  {"resourceType": "services", "metadata": {"name": "till"},
     "spec": {"healthPath": "/h", "maxConns": 260}},
  {"resourceType": "services", "metadata": {"name": "old"},
     "spec": {"healthPath": "/h", "maxConns": 260}},
  {"resourceType": "services", "metadata": {"name": "new"},
     "spec": {"healthPath": "/h", "maxConns": 260}},
  {"resourceType": "limits", "metadata": {},
     "spec": {"maxBodyBytes": 1000, "idleTimeout": "15s"}}]})";

struct Json {
	json_t *v;

	explicit Json(const std::string &text)
	    : v(json_loads(text.c_str(), JSON_DECODE_ANY, nullptr))
	{
	}
	explicit Json(json_t *value) : v(value)
	{
	}
	~Json()
	{
		json_decref(v);
	}
	Json(const Json &) = delete;
	Json &operator=(const Json &) = delete;
	std::string text() const
	{
		char *p = json_dumps(
		    v, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
		std::string s = p == nullptr ? "" : p;

		free(p);
		return s;
	}
};

/* The route table of one bundle and some backend servers. */
struct Table {
	struct conf *conf = conf_new(nullptr, nullptr);
	struct route_table *routes = nullptr;

	enum conf_result offer(const char *key, uint64_t version, json_t *spec)
	{
		struct conf_object o = {str_c(key), version, 0, false, spec};

		return conf_offer(conf, &o, STR_LIT("test"), nullptr);
	}
	void build()
	{
		route_free(routes);
		routes = route_build(conf);
	}
	std::string match(const char *host, const char *path)
	{
		struct route_query q = {};

		q.host = str_c(host);
		q.method = STR_LIT("GET");
		q.path = str_c(path);
		q.header = [](void *, struct str) {
			return str_c(nullptr);
		};
		const struct route_rule *r = route_match(routes, &q);
		return r == nullptr ? "" : std::string(r->name.p, r->name.n);
	}
	~Table()
	{
		route_free(routes);
		conf_free(conf);
	}
};

struct plat_exchange
encode(enum plat_op op, const char *kind, const char *name, uint64_t version,
    const json_t *value = nullptr, const char *after = nullptr)
{
	struct plat_request rq = {};
	struct plat_exchange ex = {};

	rq.op = op;
	rq.kind = str_c(kind);
	rq.name = str_c(name);
	rq.version = version;
	rq.value = value;
	rq.wait_ms = 20000;
	pf_codec.encode(&rq, str_c(after), &ex);
	return ex;
}

std::string
request_line(enum plat_op op, const char *kind, const char *name,
    uint64_t version, const char *after = nullptr)
{
	struct plat_exchange ex =
	    encode(op, kind, name, version, nullptr, after);
	std::string s = std::string(ex.method) + " " + ex.path;

	g_free(ex.path);
	g_free(ex.header_value);
	free(ex.body);
	return s;
}

std::string
decode(enum plat_op op, const char *kind, enum plat_result res,
    const std::string &body, std::string *after = nullptr)
{
	struct plat_request rq = {};
	char *next = nullptr;
	Json in(body);

	rq.op = op;
	rq.kind = str_c(kind);
	Json out(pf_codec.decode(&rq, res, in.v, &next));
	if (after != nullptr)
		*after = next == nullptr ? "" : next;
	g_free(next);
	return out.text();
}

/* Returns a text nested so deep. */
std::string
nested(size_t depth)
{
	return std::string(depth, '[') + "1" + std::string(depth, ']');
}

} // namespace

TEST(Platform, AConfigurationBecomesABundle)
{
	Json in{std::string(config)};
	Json spec(pf_bundle_spec(in.v));
	GError *err = nullptr;
	Table t;

	struct obj *o =
	    obj_read(OBJ_BUNDLE, STR_LIT("main"), spec.v, nullptr, &err);
	ASSERT_NE(nullptr, o) << err->message;
	EXPECT_EQ(6u, o->u.bundle.objects->len);
	obj_free(o);
	EXPECT_EQ(CONF_APPLIED, t.offer("bundle/main", 7, spec.v));
	t.build();
	EXPECT_EQ("buy", t.match("shop.example", "/buy/1"));
	EXPECT_EQ("look", t.match("SHOP.example", "/other"));
	EXPECT_EQ("", t.match("else.example", "/buy/1"));
	struct route_query q = {};
	q.host = STR_LIT("shop.example");
	q.method = STR_LIT("POST");
	q.path = STR_LIT("/buy/1");
	const struct route_rule *r = route_match(t.routes, &q);
	EXPECT_EQ(1200, r->obj->deadline_ms);
	EXPECT_EQ(300, r->obj->target_ms);
	EXPECT_EQ(2, r->obj->attempts);
	EXPECT_EQ(1, r->obj->rank);
	EXPECT_FALSE(route_is_repeatable(r->obj, STR_LIT("GET"), false));
	EXPECT_EQ(1000, route_listener(t.routes)->body_max);
	EXPECT_EQ(15000, route_listener(t.routes)->idle_ms);
}

TEST(Platform, SplitsAreDrawnByTheirWeights)
{
	Json in{std::string(config)};
	Json spec(pf_bundle_spec(in.v));
	struct route_query q = {};
	int old = 0;
	Table t;

	t.offer("bundle/main", 7, spec.v);
	t.build();
	q.host = STR_LIT("shop.example");
	q.method = STR_LIT("GET");
	q.path = STR_LIT("/");
	const struct route_rule *r = route_match(t.routes, &q);
	for (int i = 0; i < 10000; i++)
		old += str_eq(route_choose_service(r, rnd_system())->name,
		    STR_LIT("old"));
	EXPECT_NEAR(9000, old, 200);
}

/* A version with one value out of our own ranges was rejected whole. */
TEST(Platform, ValuesThatAnOperatorMayChooseAreAccepted)
{
	const std::pair<const char *, const char *> changes[] = {
	    {"\"15s\"", "\"800ms\""}, {"\"15s\"", "\"0.5s\""},
	    {"\"weight\": 90", "\"weight\": 0.9"},
	    {"\"weight\": 10", "\"weight\": 62.5"},
	    {"\"maxBodyBytes\": 1000", "\"maxBodyBytes\": 536870912"},
	    {"\"priority\": 1", "\"priority\": 2000"},
	    {"\"maxAttempts\": 2", "\"maxAttempts\": 1000"}};

	for (auto &change : changes) {
		std::string text = config;
		size_t at = text.find(change.first);

		ASSERT_NE(std::string::npos, at) << change.first;
		text.replace(at, strlen(change.first), change.second);
		Json in{text};
		Json spec(pf_bundle_spec(in.v));
		Table t;

		EXPECT_EQ(CONF_APPLIED, t.offer("bundle/main", 7, spec.v))
		    << change.second;
	}
}

TEST(Platform, DurationsThatCannotBeReadAreCounted)
{
	const char *first = nullptr;
	const json_t *value = nullptr;
	Json good{std::string(config)};
	Json bad(std::string(R"({"resources":[
	    {"resourceType":"routes","spec":{"timeout":"6s","targetLatency":6}},
	    {"resourceType":"routes","spec":{"timeout":"6 min"}},
	    {"resourceType":"services","spec":{}}]})"));

	EXPECT_EQ(0u, pf_unread_durations(good.v, &first, &value));
	EXPECT_EQ(2u, pf_unread_durations(bad.v, &first, &value));
	EXPECT_STREQ("targetLatency", first);
	EXPECT_EQ(6, json_integer_value(value));
}

TEST(Platform, SplitsAreDrawnByWeightsThatAreFractions)
{
	for (const char *weights : {"0.9 0.1", "1.5 1.5", "62.5 37.5",
		 "0.0000009 0.0000001", "0 0.25", "0 0"}) {
		struct route_query q = {};
		double first, second;
		int old = 0;
		Table t;

		ASSERT_EQ(2, sscanf(weights, "%lf %lf", &first, &second));
		Json in(
		    std::string(R"({"resources":[)"
				R"({"resourceType":"services",)"
				R"("metadata":{"name":"old"},"spec":{}},)"
				R"({"resourceType":"services",)"
				R"("metadata":{"name":"new"},"spec":{}}]})"));
		Json part(json_pack("{s:s, s:{s:s}, s:{s:s, s:s, s:["
				    "{s:s, s:f}, {s:s, s:f}]}}",
		    "resourceType", "routes", "metadata", "name", "r", "spec",
		    "host", "a.example", "pathPrefix", "/", "trafficSplit",
		    "service", "old", "weight", first, "service", "new",
		    "weight", second));
		json_array_append(json_object_get(in.v, "resources"), part.v);
		Json spec(pf_bundle_spec(in.v));
		ASSERT_EQ(CONF_APPLIED, t.offer("bundle/main", 7, spec.v))
		    << weights;
		t.build();
		q.host = STR_LIT("a.example");
		q.method = STR_LIT("GET");
		q.path = STR_LIT("/");
		const struct route_rule *r = route_match(t.routes, &q);
		ASSERT_NE(nullptr, r) << weights;
		for (int i = 0; i < 10000; i++)
			old +=
			    str_eq(route_choose_service(r, rnd_system())->name,
				STR_LIT("old"));
		/* With no weight at all the last part gets everything. */
		double share =
		    first + second > 0 ? first / (first + second) : 0;
		EXPECT_NEAR(10000 * share, old, 200) << weights;
	}
}

TEST(Platform, ABundleIsAppliedWholeOrNotAtAll)
{
	Json in{std::string(config)};
	Json good(pf_bundle_spec(in.v));
	uint64_t version = 7;
	Table t;

	EXPECT_EQ(CONF_APPLIED, t.offer("bundle/main", version, good.v));
	/* One route without a service, one with a broken time-out. */
	for (const char *spec :
	    {R"({"host":"a.example","pathPrefix":"/","routeType":"safe"})",
		R"({"host":"a.example","pathPrefix":"/","service":"x",
		    "priority":-1})"}) {
		Json bad(std::string(R"({"resources":[
		    {"resourceType":"routes","metadata":{"name":"r"},"spec":)") +
		    spec + "}]}");
		Json bundle(pf_bundle_spec(bad.v));

		EXPECT_EQ(
		    CONF_REJECTED, t.offer("bundle/main", ++version, bundle.v));
		const struct conf_entry *e =
		    conf_get(t.conf, STR_LIT("bundle/main"));
		EXPECT_EQ(7u, e->version);
		EXPECT_NE(nullptr, strstr(e->rejected_reason, "rule r"));
		t.build();
		EXPECT_EQ("buy", t.match("shop.example", "/buy/1"));
	}
	/* An older version is never applied again. */
	Json newer(pf_bundle_spec(in.v));
	json_object_set_new(
	    json_object_get(newer.v, "rule"), "gone", json_null());
	json_object_del(json_object_get(newer.v, "rule"), "gone");
	json_object_del(json_object_get(newer.v, "rule"), "buy");
	EXPECT_EQ(CONF_APPLIED, t.offer("bundle/main", 10, newer.v));
	EXPECT_EQ(CONF_STALE, t.offer("bundle/main", 7, good.v));
	t.build();
	EXPECT_EQ("look", t.match("shop.example", "/buy/1"));
}

TEST(Platform, EntriesBecomeBackendServers)
{
	Json ready{std::string(R"({"service":"till","addr":"10.1.0.9:80",
	    "zone":"north","version":"v2","slots":5,"state":"ready",
	    "slowStart_time":"3s","seq":4,"born":1700000000123})")};
	Json leaving{std::string(R"({"service":"till","addr":"10.1.0.9:80",
	    "zone":"north","slots":5,"state":"draining"})")};
	Json a(pf_backend_spec(ready.v)), b(pf_backend_spec(leaving.v));

	EXPECT_EQ(R"({"address":"10.1.0.9:80","born_ms":1700000000123,)"
		  R"("drain":false,"hall":"north",)"
		  R"("labels":{"service":"till","version":"v2"},"slots":5,)"
		  R"("warm_ms":3000})",
	    a.text());
	EXPECT_TRUE(json_is_true(json_object_get(b.v, "drain")));
	/* A missing field is rejected as in any object, with its name. */
	Json cut{std::string(R"({"service":"till","zone":"north"})")};
	Json c(pf_backend_spec(cut.v));
	GError *err = nullptr;
	EXPECT_EQ(
	    nullptr, obj_read(OBJ_BACKEND, STR_LIT("b"), c.v, nullptr, &err));
	EXPECT_NE(nullptr, strstr(err->message, "address"));
	g_error_free(err);
}

/*
 * A value of a wrong type was taken for none: a route lost its regions or its
 * split, a tenant its keys, and a configuration all of its routes.  Of a time
 * that does not fit, the two kinds of processors made different ones.
 */
TEST(Platform, AnOddValueInAConfigurationKeepsTheLastValidOne)
{
	const std::string name = R"({"resources":[{"resourceType":"routes",
	    "metadata":{"name":"r"},"spec":)";
	const std::string route =
	    name + R"({"host":"a.example","pathPrefix":"/","service":"x",)";
	const std::string tenant = R"({"resources":[{"resourceType":"tenants",
	    "metadata":{"name":"t"},"spec":{)";
	const std::string named = R"({"resources":[{"spec":{"host":"a.example",
	    "pathPrefix":"/","service":"x"},)";
	const std::string odd[] = {
	    "7",
	    "null",
	    "[]",
	    R"({"resources":{}})",
	    R"({"resources":"x"})",
	    R"({"resources":[7]})",
	    route + R"("timeout":"1e300s"}}]})",
	    route + R"("timeout":"-1e300s"}}]})",
	    route + R"("timeout":"infs"}}]})",
	    route + R"("timeout":"-infms"}}]})",
	    route + R"("timeout":"9223372036854775808ms"}}]})",
	    route + R"("targetLatency":"1e18ms"}}]})",
	    route + R"("timeout":1e999}}]})",
	    route + R"("timeout":6}}]})",
	    route + R"("host":1e999}}]})",
	    route + R"("allowedRegions":NaN}}]})",
	    route + R"("trafficSplit":NaN}}]})",
	    tenant + R"("apiKeys":NaN}}]})",
	    tenant + R"("apiKeys":[NaN]}}]})",
	    R"({"resources":[{"resourceType":"limits","spec":7}]})",
	    R"({"resources":[{"resourceType":"limits","spec":NaN}]})",
	    route + R"("priority":1e999}}]})",
	    route + R"("priority":99999999999999999999}}]})",
	    route + R"("priority":1.5}}]})",
	    route + R"("maxAttempts":-1}}]})",
	    route + R"("maxAttempts":"2"}}]})",
	    route + R"("noAuth":1}}]})",
	    route + R"("allowedRegions":"north"}}]})",
	    route + R"("allowedRegions":{"north":true}}}]})",
	    route + R"("allowedRegions":[7]}}]})",
	    route + R"("allowedRegions":["north",7]}}]})",
	    route + R"("trafficSplit":{"x":1}}}]})",
	    route + R"("trafficSplit":7}}]})",
	    name + R"({"trafficSplit":[{"service":"x"}]}}]})",
	    name + R"({"trafficSplit":[{"service":"x","weight":1},7]}}]})",
	    name + R"({"trafficSplit":[{"service":7,"weight":1},
		{"service":"x","weight":1}]}}]})",
	    name + R"({"trafficSplit":[{"service":"x","weight":1e999}]}}]})",
	    name + R"({"trafficSplit":[{"service":"x","weight":-1}]}}]})",
	    name + R"({"host":"a\u0000b","service":"x"}}]})",
	    name + R"({"host":)" + nested(100) + R"(,"service":"x"}}]})",
	    name + "7}]}",
	    tenant + R"("apiKeys":"key"}}]})",
	    tenant + R"("apiKeys":["key",7]}}]})",
	    tenant + R"("ratePerS":1e999}}]})",
	    tenant + R"("ratePerS":-1}}]})",
	    tenant + R"("burst":"1"}}]})",
	    R"({"resources":[{"resourceType":"limits",
		"spec":{"maxBodyBytes":99999999999999999999}}]})",
	    named + R"("resourceType":"routes"}]})",
	    named + R"("resourceType":"routes","metadata":7}]})",
	    named + R"("resourceType":"routes","metadata":{"name":7}}]})",
	    named + R"("resourceType":"routes","metadata":{"name":""}}]})",
	    named + R"("resourceType":"routes","metadata":{"name":"a b"}}]})",
	    named + R"("resourceType":"routes",
		"metadata":{"name":"r\u0000x"}}]})",
	    named + R"("resourceType":7,"metadata":{"name":"r"}}]})",
	    named + R"("metadata":{"name":"r"}}]})",
	};
	Json in{std::string(config)};
	Json good(pf_bundle_spec(in.v));
	uint64_t version = 7;
	Table t;

	ASSERT_EQ(CONF_APPLIED, t.offer("bundle/main", version, good.v));
	for (auto &text : odd) {
		std::string whole = "{\"spec\":" + text + "}";
		Json object(plat_parse_json(str_n(whole.data(), whole.size())));

		ASSERT_NE(nullptr, object.v) << text;
		Json spec(pf_bundle_spec(json_object_get(object.v, "spec")));
		EXPECT_EQ(
		    CONF_REJECTED, t.offer("bundle/main", ++version, spec.v))
		    << text;
	}
	t.build();
	EXPECT_EQ("buy", t.match("shop.example", "/buy/1"));
	Json nan(std::string(R"({"resources":[
	    {"resourceType":"routes","spec":{"timeout":"nans"}}]})"));
	const char *first;
	const json_t *value;
	EXPECT_EQ(1u, pf_unread_durations(nan.v, &first, &value));
}

/* Offers an entry of a backend server as a text; returns the result. */
static enum conf_result
offer_entry(Table &t, const std::string &text, uint64_t version)
{
	std::string whole = "{\"spec\":" + text + "}";
	Json object(plat_parse_json(str_n(whole.data(), whole.size())));

	if (object.v == nullptr) {
		ADD_FAILURE() << text;
		return CONF_STALE;
	}
	Json spec(pf_backend_spec(json_object_get(object.v, "spec")));
	return t.offer("backend/i-1", version, spec.v);
}

/*
 * Each known field with values that are out of its range or of a wrong type:
 * the entry is rejected, and no other value is taken in its place.
 */
TEST(Platform, AnOddFieldRejectsItsEntry)
{
	const std::pair<const char *, const char *> fields[] = {
	    {"addr", "\"127.0.0.1:80\""}, {"zone", "\"north\""}, {"slots", "3"},
	    {"state", "\"ready\""}, {"service", "\"till\""},
	    {"version", "\"v1\""}, {"born", "1700000000000"},
	    {"slowStart_time", "\"5s\""}};
	const std::string common[] = {"-1", "1.5", "1e999", "NaN", "null", "{}",
	    "[]", "true", "99999999999999999999", nested(100), "\"\\u0000\""};
	const std::pair<const char *, const char *> own[] = {
	    {"addr", "\"127.0.0.1:0\""}, {"addr", "\"127.0.0.1:65536\""},
	    {"addr", "\"127.0.0.1:99999\""}, {"addr", "\"127.0.0.1:-1\""},
	    {"addr", "\"127.0.0.1:4294967376\""},
	    {"addr", "\"127.0.0.1:80\\u00000\""}, {"addr", "\"127.0.0.1\""},
	    {"addr", "\"a.example:80\""}, {"addr", "\"\""}, {"addr", "80"},
	    {"addr", "\"\\ud800\""}, {"zone", "\"\""}, {"zone", "7"},
	    {"zone", "\"a b\""}, {"zone", "\"\\ud800\""}, {"slots", "0"},
	    {"slots", "4097"}, {"slots", "4294967299"}, {"slots", "\"3\""},
	    {"slots", "3.0"}, {"state", "\"odd\""}, {"state", "\"\""},
	    {"state", "7"}, {"service", "7"}, {"service", "\"till\\u0000x\""},
	    {"version", "7"}, {"born", "9223372036854775808"},
	    {"born", "\"7\""}, {"slowStart_time", "\"1e300s\""},
	    {"slowStart_time", "\"-1s\""}, {"slowStart_time", "\"infs\""}};
	uint64_t version = 1;
	Table t;

	auto entry = [&](const std::string &name, const std::string &value) {
		std::string text;

		for (auto &f : fields)
			text += std::string(text.empty() ? "{" : ",") + "\"" +
			    f.first +
			    "\":" + (name == f.first ? value : f.second);
		return text + "}";
	};
	/* A time that is no text, or none, is that of no slow start. */
	auto is_default = [](const std::string &name,
			      const std::string &value) {
		return name == "slowStart_time" &&
		    (value == "null" || value[0] == '"');
	};
	auto expect_rejected = [&](const char *name, const std::string &value) {
		ASSERT_EQ(
		    CONF_APPLIED, offer_entry(t, entry("", ""), ++version));
		EXPECT_EQ(CONF_REJECTED,
		    offer_entry(t, entry(name, value), ++version))
		    << name << ": " << value;
		EXPECT_TRUE(conf_get(t.conf, STR_LIT("backend/i-1"))->deleted);
	};

	for (auto &f : fields)
		for (auto &value : common)
			if (!is_default(f.first, value))
				expect_rejected(f.first, value);
	for (auto &o : own)
		expect_rejected(o.first, o.second);
	for (const char *spec : {"7", "null", "[]", "{}", "\"x\""})
		EXPECT_EQ(CONF_REJECTED, offer_entry(t, spec, ++version));
}

/* A roll-out goes on by its last valid version, whatever is written there. */
TEST(Platform, AnOddRollOutKeepsTheLastValidOne)
{
	const std::string odd[] = {"7", "null", "[]", "{}",
	    R"({"targetVersion":"v3"})", R"({"duration":"9s"})",
	    R"({"targetVersion":7,"duration":"9s"})",
	    R"({"targetVersion":"","duration":"9s"})",
	    R"({"targetVersion":"v2\u0000x","duration":"9s"})",
	    R"({"targetVersion":1e999,"duration":"9s"})",
	    R"({"targetVersion":"v3","duration":9})",
	    R"({"targetVersion":"v3","duration":NaN})",
	    R"({"targetVersion":"v3","duration":"9"})",
	    R"({"targetVersion":"v3","duration":"-9s"})",
	    R"({"targetVersion":"v3","duration":"1e300s"})",
	    R"({"targetVersion":"v3","duration":"nans"})",
	    R"({"targetVersion":"v3","duration":[)" + nested(90) + "]}"};
	Json good{std::string(R"({"targetVersion":"v2","duration":"9s"})")};
	Json first(pf_rollout_spec(good.v, nullptr));
	uint64_t version = 1;
	Table t;

	ASSERT_EQ(CONF_APPLIED, t.offer("rollout/till", version, first.v));
	for (auto &text : odd) {
		std::string whole = "{\"spec\":" + text + "}";
		Json object(plat_parse_json(str_n(whole.data(), whole.size())));

		ASSERT_NE(nullptr, object.v) << text;
		Json spec(pf_rollout_spec(
		    json_object_get(object.v, "spec"), nullptr));
		EXPECT_EQ(
		    CONF_REJECTED, t.offer("rollout/till", ++version, spec.v))
		    << text;
		EXPECT_EQ(
		    1u, conf_get(t.conf, STR_LIT("rollout/till"))->version);
	}
	for (const char *status :
	    {"7", "{}", R"({"state":7,"targetVersion":"v2"})",
		R"({"state":"odd","targetVersion":"v2"})",
		R"({"state":"completed","targetVersion":7})"}) {
		Json in{std::string(status)};
		Json spec(pf_rollout_spec(good.v, in.v));

		EXPECT_STREQ("open",
		    json_string_value(json_object_get(spec.v, "state")));
	}
}

/*
 * One entry has bytes that are not UTF-8, another a NUL in its name.  Neither
 * may make the whole list unreadable.
 */
TEST(Platform, AMalformedEntryDoesNotEndAList)
{
	const std::string body = R"({"items":[
	    {"metadata":{"name":"i-1","rev":5},"spec":{"zone":")"
				 "\xff\xfe\xc3"
				 R"("}},
	    {"metadata":{"name":"i-2\u0000x","rev":6},"spec":{}},
	    {"metadata":{"name":"i-3","rev":7},"spec":{}}],
	    "hasMore":false,"currentRev":9})";
	struct plat_request rq = {};
	char *after = nullptr;

	rq.op = PLAT_LIST;
	rq.kind = STR_LIT("backend");
	Json in(plat_parse_json(str_n(body.data(), body.size())));
	ASSERT_NE(nullptr, in.v);
	Json out(pf_codec.decode(&rq, PLAT_OK, in.v, &after));
	std::string text = out.text();
	EXPECT_NE(std::string::npos, text.find("\"i-1\""));
	EXPECT_EQ(std::string::npos, text.find("\"i-2"));
	EXPECT_NE(std::string::npos, text.find("\"i-3\""));
	EXPECT_EQ(nullptr, plat_parse_json(STR_LIT("no JSON")));
}

/*
 * The parser refuses these values, and with one of them the whole list was
 * lost.  What is nested deeply overflows the stack where it is copied.
 */
TEST(Platform, AnOddValueCostsItsEntryOnly)
{
	const struct {
		std::string odd, mended;
	} values[] = {
	    {"99999999999999999999", R"([["99999999999999999999"]])"},
	    {"-99999999999999999999", R"([["-99999999999999999999"]])"},
	    {"9223372036854775808", R"([["9223372036854775808"]])"},
	    {"9223372036854775807", "9223372036854775807"},
	    {"-9223372036854775808", "-9223372036854775808"},
	    {"1e999", R"([["1e999"]])"},
	    {"-1.5E+400", R"([["-1.5E+400"]])"},
	    {"007", R"([["007"]])"},
	    {"NaN", R"([["NaN"]])"},
	    {"-Infinity", R"([["-Infinity"]])"},
	    {std::string(5000, '9'), "[[\"" + std::string(64, '9') + "\"]]"},
	    {R"("\ud800")", "\"\xef\xbf\xbd\""},
	    {R"("\udc00\ud800x")", "\"\xef\xbf\xbd\xef\xbf\xbdx\""},
	    {R"("\ud83d\ude00")", "\"\xf0\x9f\x98\x80\""},
	    {R"("\q\"\u00zz")",
		"\"\xef\xbf\xbd\\\"\xef\xbf\xbd"
		"00zz\""},
	    {"\"a\nb\"",
		"\"a\xef\xbf\xbd"
		"b\""},
	    {R"({"a\u0000b":1})",
		"{\"a\xef\xbf\xbd"
		"b\":1}"},
	    {nested(60), nested(60)},
	    {nested(61), nested(61)},
	    {nested(62),
		std::string(61, '[') + "\"too deep\"" + std::string(61, ']')},
	    {nested(1000000),
		std::string(61, '[') + "\"too deep\"" + std::string(61, ']')},
	    {R"({"a":)" + nested(2000) + R"(,"b":["]",{"c":1e999}]})",
		R"({"a":)" + std::string(60, '[') + "\"too deep\"" +
		    std::string(60, ']') + R"(,"b":["]",{"c":[["1e999"]]}]})"},
	};

	for (auto &v : values) {
		const std::string text =
		    R"({"items":[{"metadata":{"name":"odd"},"x":)" + v.odd +
		    R"(},{"metadata":{"name":"good"},"x":1}]})";
		Json in(plat_parse_json(str_n(text.data(), text.size())));

		ASSERT_NE(nullptr, in.v) << v.odd.substr(0, 100);
		json_t *items = json_object_get(in.v, "items");
		char *x =
		    json_dumps(json_object_get(json_array_get(items, 0), "x"),
			JSON_COMPACT | JSON_ENCODE_ANY);

		EXPECT_EQ(v.mended, x);
		free(x);
		EXPECT_EQ(1,
		    json_integer_value(
			json_object_get(json_array_get(items, 1), "x")));
	}
}

/* A log line names the entry by it. */
TEST(Platform, AReplacedValueIsToldWithItsPlace)
{
	const std::string text =
	    R"({"items":[{"a":[]},{"a":[0,{"b":1e999}],"c":NaN}],"d":[)" +
	    nested(100) + "]}";
	struct json_mends mends;
	Json in(plat_parse_mended(str_n(text.data(), text.size()), &mends));

	ASSERT_NE(nullptr, in.v);
	ASSERT_EQ(3u, mends.count);
	EXPECT_STREQ("items/1/a/1/b", mends.first[0].path);
	EXPECT_STREQ("a number out of range", mends.first[0].why);
	EXPECT_STREQ("items/1/c", mends.first[1].path);
	EXPECT_EQ(0, strncmp("d/0/0/", mends.first[2].path, 6));
	EXPECT_STREQ("nested too deeply", mends.first[2].why);
}

/* What ends within a value, or is no list at all, stays malformed. */
TEST(Platform, ATextThatIsNoJsonStaysMalformed)
{
	const std::string text =
	    R"({"items":[{"a":"\u12","b":1e999,"c":[[1]],"d":"\ud800"}]})";

	for (size_t n = 0; n < text.size(); n++)
		EXPECT_EQ(nullptr, plat_parse_json(str_n(text.data(), n))) << n;
	for (std::string bad : {"", "7", "NaN", "busy", "\"busy\"", "{",
		 "no JSON", "[1", "[1]]", "[1}", "{]", "[1] 2", "{\"a\":1,}",
		 "{\"a\" 1}", "\"", "\\", "[\"\\", "[\"\\u", "\x80", "[,]"})
		EXPECT_EQ(
		    nullptr, plat_parse_json(str_n(bad.data(), bad.size())))
		    << bad;
	std::string deep(1000000, '[');
	EXPECT_EQ(nullptr, plat_parse_json(str_n(deep.data(), deep.size())));
}

/* A fault that is there at each poll is not logged at each. */
TEST(Platform, LinesOnTheSameFaultAreBounded)
{
	struct once o = {};
	int64_t hour = 3600 * NS_S;
	int n = 0;

	EXPECT_TRUE(once_is_new(&o, 5, STR_LIT("a")));
	EXPECT_FALSE(once_is_new(&o, hour, STR_LIT("a")));
	EXPECT_TRUE(once_is_new(&o, hour, STR_LIT("b")));
	EXPECT_TRUE(once_is_new(&o, hour + 5, STR_LIT("a")));
	for (int i = 0; i < 1000; i++)
		n += once_is_new(
		    &o, hour + 6, str_c(("x" + std::to_string(i)).c_str()));
	EXPECT_EQ(ONCE_MAX - 1, n);
}

TEST(Platform, CallsOfTheStore)
{
	EXPECT_EQ("GET /api/objects/servers",
	    request_line(PLAT_LIST, "backend", nullptr, 0));
	EXPECT_EQ("GET /api/objects/servers?after=i-9",
	    request_line(PLAT_LIST, "backend", nullptr, 0, "i-9"));
	EXPECT_EQ("GET /api/objects/config?watch=12&waitMs=20000",
	    request_line(PLAT_WATCH, "bundle", nullptr, 12));
	struct plat_request stale = {};
	struct plat_exchange first = {};
	stale.op = PLAT_LIST;
	stale.kind = STR_LIT("backend");
	stale.allow_stale = true;
	pf_codec.encode(&stale, STR_LIT("i-9"), &first);
	EXPECT_STREQ("/api/objects/servers?allowStale=1&after=i-9", first.path);
	g_free(first.path);
	EXPECT_EQ("GET /api/objects/boxes?allowStale=1",
	    request_line(PLAT_LIST_BOXES, nullptr, nullptr, 0));
	EXPECT_EQ("POST /api/objects/boxes",
	    request_line(PLAT_CREATE, "status", "b1", 0));
	EXPECT_EQ("PUT /api/objects/boxes/b1",
	    request_line(PLAT_UPDATE, "status", "b1", 3));
	EXPECT_EQ("DELETE /api/objects/claims/k?rev=3",
	    request_line(PLAT_DELETE, "claim", "k", 3));
	Json value{std::string(R"({"spec":{"a":1},"change":"c"})")};
	struct plat_exchange ex = encode(PLAT_UPDATE, "claim", "k", 3, value.v);
	EXPECT_STREQ(R"({"metadata":{"name":"k","rev":3},)"
		     R"("spec":{"spec":{"a":1},"change":"c"}})",
	    ex.body);
	g_free(ex.path);
	g_free(ex.header_value);
	free(ex.body);
}

/*
 * Returns where the next page begins after a page of items, "-" if there is
 * none, or "malformed".
 */
static std::string
next_page(const std::string &items)
{
	struct plat_request rq = {};
	char *after = nullptr;
	std::string text =
	    "{\"items\":[" + items + "],\"hasMore\":true,\"currentRev\":9}";

	rq.op = PLAT_LIST;
	rq.kind = STR_LIT("backend");
	Json in(plat_parse_json(str_n(text.data(), text.size())));
	Json out(pf_codec.decode(&rq, PLAT_OK, in.v, &after));
	std::string next = out.v == nullptr ? "malformed"
	    : after == nullptr		    ? "-"
					    : after;
	g_free(after);
	return next;
}

/*
 * A list of entries without valid names at the end of a page ended early, as if
 * it were complete: what is on the further pages was withdrawn.
 */
TEST(Platform, APageOfOddNamesDoesNotEndAList)
{
	const std::string good = R"({"metadata":{"name":"i-1"}})";
	const std::string nul = R"({"metadata":{"name":"i-\u0000x"}})";
	const std::string none = R"({"metadata":7},{"x":1},7)";

	EXPECT_EQ("i-1", next_page(good));
	EXPECT_EQ("i-", next_page(good + "," + nul));
	EXPECT_EQ("i-", next_page(nul));
	EXPECT_EQ("i-1", next_page(good + "," + none));
	EXPECT_EQ("malformed", next_page(none));
	EXPECT_EQ("malformed", next_page(""));
}

/* An empty list would withdraw all that is in force. */
TEST(Platform, AResponseWithoutItsListIsMalformed)
{
	for (const char *list : {"7", "{}", "\"x\"", "null", "true"}) {
		std::string text = std::string("{\"items\":") + list +
		    ",\"events\":" + list + ",\"currentRev\":9}";

		for (enum plat_op op : {PLAT_LIST, PLAT_WATCH, PLAT_LIST_BOXES})
			EXPECT_EQ("", decode(op, "backend", PLAT_OK, text));
	}
	for (enum plat_op op : {PLAT_LIST, PLAT_WATCH, PLAT_LIST_BOXES}) {
		EXPECT_EQ("", decode(op, "backend", PLAT_OK, "[[7]]"));
		EXPECT_NE(
		    "", decode(op, "backend", PLAT_OK, R"({"currentRev":9})"));
	}
}

/* A name is any text, and must not break the request for the next page. */
TEST(Platform, TheNameBeforeAPageIsEscaped)
{
	for (std::string name : {"a b", "a&allowStale=0", "a#b", "a%00",
		 "a\\r\\nx: y", "\xc3\xa4", "../x"}) {
		std::string after =
		    next_page("{\"metadata\":{\"name\":\"" + name + "\"}}");

		EXPECT_EQ(std::string::npos, after.find_first_of(" &#\r\n/"))
		    << after;
		char *back = g_uri_unescape_string(after.c_str(), nullptr);
		Json told("\"" + name + "\"");
		EXPECT_STREQ(json_string_value(told.v), back);
		g_free(back);
	}
}

TEST(Platform, RepliesOfTheStore)
{
	std::string after;

	EXPECT_EQ(R"({"objects":[{"deleted":false,"kind":"backend",)"
		  R"("name":"i-1","spec":{"address":null,"drain":null,)"
		  R"("hall":null,"labels":{},"slots":null},)"
		  R"("version":5}],"revision":9})",
	    decode(PLAT_LIST, "backend", PLAT_OK,
		R"({"items":[{"metadata":{"name":"i-1","rev":5},"spec":{}}],
		    "hasMore":true,"currentRev":9})",
		&after));
	EXPECT_EQ("i-1", after);
	/* Entries without a name at the end of a page don't end the list. */
	decode(PLAT_LIST, "backend", PLAT_OK,
	    R"({"items":[{"metadata":{"name":"i-2","rev":5},"spec":{}},{},
		7,null],"hasMore":true,"currentRev":9})",
	    &after);
	EXPECT_EQ("i-2", after);
	after = "";
	EXPECT_EQ(R"({"objects":[{"deleted":true,"kind":"backend",)"
		  R"("name":"i-1","version":10}],"revision":11})",
	    decode(PLAT_WATCH, "backend", PLAT_OK,
		R"({"events":[{"tombstone":true,"object":
		    {"metadata":{"name":"i-1","rev":10}}}],"currentRev":11})",
		&after));
	EXPECT_EQ("", after);
	EXPECT_EQ(R"({"current":{"change":"c","deleted":false,"kind":"claim",)"
		  R"("name":"k","spec":{"a":1},"version":4}})",
	    decode(PLAT_CREATE, "claim", PLAT_CONFLICT,
		R"({"metadata":{"name":"k","rev":4},
		    "spec":{"spec":{"a":1},"change":"c"}})"));
	EXPECT_EQ(R"({"boxes":[{"hall":"n","inbox":"10.0.0.1:1",)"
		  R"("leaving":false,"name":"b1"}]})",
	    decode(PLAT_LIST_BOXES, "", PLAT_OK,
		R"({"items":[{"metadata":{"name":"b1","rev":4},"spec":{"spec":
		    {"box":"b1","hall":"n","inbox":"10.0.0.1:1",
		     "leaving":false}}}],"hasMore":false})"));
}

/* Only a configuration has a serial, the operator's number. */
TEST(Platform, SerialOfAConfiguration)
{
	const struct {
		const char *version;
		json_int_t serial;
	} cases[] = {{R"("r12")", 12}, {R"("r0")", 0}, {R"("r")", 0},
	    {R"("12")", 0}, {R"("r12x")", 0}, {R"("r-1")", 0}, {R"(" r12")", 0},
	    {R"("R12")", 0}, {"12", 0}, {"null", 0}, {"{}", 0}};

	for (auto &c : cases) {
		std::string config =
		    R"({"version":)" + std::string(c.version) + "}";
		Json spec{config};
		std::string text = decode(PLAT_GET, "bundle", PLAT_OK,
		    R"({"metadata":{"name":"main","rev":5},"spec":)" + config +
			"}");

		EXPECT_EQ(c.serial, pf_bundle_serial(spec.v)) << c.version;
		EXPECT_NE(std::string::npos,
		    text.find("\"serial\":" + std::to_string(c.serial) + ","))
		    << text;
	}
	EXPECT_EQ(std::string::npos,
	    decode(PLAT_GET, "backend", PLAT_OK,
		R"({"metadata":{"name":"i-1","rev":5},
		    "spec":{"version":"r12"}})")
		.find("serial"));
}

TEST(Platform, EachCodecHasAnEpochHeader)
{
	EXPECT_TRUE(str_eq(pf_codec.epoch_header, STR_LIT("store-era")));
	EXPECT_TRUE(
	    str_eq(plat_adapter_by_name(STR_LIT("fern"))->codec->epoch_header,
		STR_LIT("fern-epoch")));
}

TEST(Platform, ResultsFromStatusesOfTheStore)
{
	struct plat_request read = {}, write = {};

	read.op = PLAT_LIST;
	write.op = PLAT_UPDATE;
	for (int down : {429, 503}) {
		EXPECT_EQ(
		    PLAT_UNAVAILABLE, pf_codec.result_from_status(&read, down));
		/* The write was not done, so it need not be read back. */
		EXPECT_EQ(PLAT_UNAVAILABLE,
		    pf_codec.result_from_status(&write, down));
	}
	EXPECT_EQ(PLAT_UNKNOWN, pf_codec.result_from_status(&write, 500));
	EXPECT_EQ(PLAT_UNAVAILABLE, pf_codec.result_from_status(&read, 500));
	EXPECT_EQ(PLAT_TOO_OLD, pf_codec.result_from_status(&read, 410));
	EXPECT_EQ(PLAT_CONFLICT, pf_codec.result_from_status(&write, 409));
	EXPECT_EQ(PLAT_NOT_FOUND, pf_codec.result_from_status(&write, 404));
}

TEST(Platform, HeadersOfBackendServers)
{
	const struct dialect *d = pf_adapter.dialect;
	h2o_iovec_t name = {
	    const_cast<char *>("fernjunction-not-executed"), 25};
	h2o_iovec_t load = {
	    const_cast<char *>("fernjunction-backend-load"), 25};
	h2o_header_t h = {};
	struct dial_report report = {};
	const struct dial_load &l = report.load;

	h.name = &name;
	h.value = h2o_iovec_init("1", 1);
	EXPECT_TRUE(d->not_executed(503, &h, 1));
	EXPECT_FALSE(d->not_executed(503, &h, 0));
	EXPECT_TRUE(d->not_executed(421, &h, 0));
	EXPECT_TRUE(d->address_reassigned(421, &h, 0));
	EXPECT_FALSE(d->address_reassigned(503, &h, 1));
	h.name = &load;
	h.value = h2o_iovec_init("3,1,8,250", 9);
	d->parse_report(200, &h, 1, &report);
	ASSERT_TRUE(report.has_load);
	EXPECT_EQ(3, l.running);
	EXPECT_EQ(1, l.waiting);
	EXPECT_EQ(8, l.slots);
	EXPECT_EQ(250, l.latency_percent);
	h.value = h2o_iovec_init("3,0,8", 5);
	d->parse_report(200, &h, 1, &report);
	ASSERT_TRUE(report.has_load);
	EXPECT_EQ(100, l.latency_percent);
	for (const char *odd : {"3, 0, 8, 100", "3,0,8,100.5", "3,0,8,100,7",
		 "3,0,8,", "3,0,8,x"}) {
		h.value = h2o_iovec_init(odd, strlen(odd));
		d->parse_report(200, &h, 1, &report);
		EXPECT_TRUE(report.has_load) << odd;
		EXPECT_EQ(8, l.slots) << odd;
		EXPECT_EQ(100, l.latency_percent) << odd;
	}
	/* Beyond an int, each kind of processor could make another number. */
	for (const char *bad : {"", "3,0", "3,0,0", "a,b,c", "3,0,8,0",
		 "99999999999,0,8", "3,4294967297,8", "3,0,2147483648",
		 "3,0,8,2147483647", "2147483647,2147483647,8", "3,-1,8",
		 "3,,8", "1000001,0,8", "3,0,8,999999999999"}) {
		h.value = h2o_iovec_init(bad, strlen(bad));
		d->parse_report(200, &h, 1, &report);
		EXPECT_FALSE(report.has_load) << bad;
	}
}

/* The rate limit (requests a second) that a backend server reports. */
TEST(Platform, RateLimitOfABackendServer)
{
	const struct dialect *d = pf_adapter.dialect;
	h2o_iovec_t name = {const_cast<char *>("server-limit"), 12};
	h2o_header_t h = {};
	struct dial_report report = {};

	h.name = &name;
	struct {
		const char *text;
		double rate;
	} good[] = {{"2.8", 2.8}, {"300", 300}, {".5", 0.5}, {"0.3", 0.3},
	    {"7.", 7}, {"0", DIAL_RATE_MIN}, {"0.0001", DIAL_RATE_MIN}};
	for (auto &g : good) {
		h.value = h2o_iovec_init(g.text, strlen(g.text));
		d->parse_report(200, &h, 1, &report);
		EXPECT_FALSE(report.malformed) << g.text;
		EXPECT_DOUBLE_EQ(g.rate, report.rate_limit) << g.text;
	}
	const std::string digits(100, '9');
	for (const char *bad :
	    {"", " ", "-1", "+1", "nan", "inf", "1e308", "0x10", "1,5", "1.2.3",
		".", "5/s", "Thu, 01 Jan 2026", digits.c_str()}) {
		h.value = h2o_iovec_init(bad, strlen(bad));
		d->parse_report(200, &h, 1, &report);
		EXPECT_TRUE(report.malformed) << bad;
		EXPECT_EQ(0, report.rate_limit) << bad;
	}
	d->parse_report(200, &h, 0, &report);
	EXPECT_FALSE(report.malformed);
	EXPECT_EQ(0, report.rate_limit);
}

/* The pause (Retry-After) that a backend server reports with a refusal. */
TEST(Platform, PauseOfABackendServer)
{
	const struct dialect *d = pf_adapter.dialect;
	h2o_iovec_t name = {const_cast<char *>("retry-after"), 11};
	h2o_header_t h = {};
	struct dial_report report = {};

	h.name = &name;
	struct {
		const char *text;
		int64_t ms;
	} good[] = {{"3", 3000}, {"0.25", 250}, {"0", 0}, {".5", 500},
	    {"31536000", DIAL_MS_MAX}, {"9999999999999999", DIAL_MS_MAX}};
	for (auto &g : good) {
		h.value = h2o_iovec_init(g.text, strlen(g.text));
		d->parse_report(503, &h, 1, &report);
		EXPECT_FALSE(report.malformed) << g.text;
		EXPECT_EQ(g.ms, report.retry_after_ms) << g.text;
	}
	const std::string digits(100, '9');
	for (const char *bad : {"", "-1", "nan", "inf", "1e308", "3s", "3,5",
		 digits.c_str(), "Thu, 01 Jan 2026 00:00:00 GMT"}) {
		h.value = h2o_iovec_init(bad, strlen(bad));
		d->parse_report(503, &h, 1, &report);
		EXPECT_TRUE(report.malformed) << bad;
		EXPECT_EQ(0, report.retry_after_ms) << bad;
		/* With other statuses the header is ignored. */
		d->parse_report(200, &h, 1, &report);
		EXPECT_FALSE(report.malformed) << bad;
	}
}

TEST(Platform, LeavingHeaderOfABackendServer)
{
	const struct dialect *d = pf_adapter.dialect;
	h2o_iovec_t name = {const_cast<char *>("server-leaving"), 14};
	h2o_header_t h = {};
	struct dial_report report = {};

	h.name = &name;
	h.value = h2o_iovec_init("1", 1);
	for (int status : {200, 421, 500, 503}) {
		d->parse_report(status, &h, 1, &report);
		EXPECT_TRUE(report.leaving) << status;
		d->parse_report(status, &h, 0, &report);
		EXPECT_FALSE(report.leaving) << status;
	}
}

TEST(Platform, Bounds)
{
	struct plat_bounds b = {};

	pf_parse_bounds(
	    STR_LIT(R"({"retryBudgetRatio":0.2,"retryBudgetSlack":56,)"
		    R"("grace":"6s","quotaWindow":"5s","later":"1ms"})"),
	    &b);
	EXPECT_DOUBLE_EQ(0.2, b.retry_ratio);
	EXPECT_EQ(56, b.retry_slack);
	EXPECT_EQ(6000, b.stop_grace_ms);
	EXPECT_EQ(5000, b.quota_window_ms);
	struct plat_bounds none = {};
	pf_parse_bounds(STR_LIT("not a table"), &none);
	EXPECT_EQ(0, none.retry_slack);
	EXPECT_EQ(0, none.quota_window_ms);
}

/*
 * A roll-out with the state that was written for it.  The state of an earlier
 * roll-out (another version) does not count.
 */
TEST(Platform, ARolloutAndItsState)
{
	Json order(R"({"service":"till","targetVersion":"v2",
	    "duration":"12s"})");
	Json done(R"({"state":"rolled_back","targetVersion":"v2"})");
	Json other(R"({"state":"completed","targetVersion":"v1"})");
	Json a(pf_rollout_spec(order.v, nullptr)),
	    b(pf_rollout_spec(order.v, done.v));
	Json c(pf_rollout_spec(order.v, other.v));

	EXPECT_EQ(
	    R"({"duration_ms":12000,"state":"open","version":"v2"})", a.text());
	EXPECT_EQ(
	    R"({"duration_ms":12000,"state":"rolled-back","version":"v2"})",
	    b.text());
	EXPECT_EQ(a.text(), c.text());
	Json written(R"({"state":"completed","version":"v2"})");
	struct plat_exchange ex =
	    encode(PLAT_UPDATE_STATUS, "rollout", "till", 7, written.v);
	EXPECT_STREQ("PUT", ex.method);
	EXPECT_STREQ("/api/objects/rollouts/till/status", ex.path);
	Json body(ex.body);
	EXPECT_EQ(R"({"metadata":{"name":"till","rev":7},)"
		  R"("status":{"state":"completed","targetVersion":"v2"}})",
	    body.text());
	g_free(ex.path);
	g_free(ex.header_value);
	free(ex.body);
}

TEST(Platform, MissingFeedsAreNotWatched)
{
	const struct plat_adapter *f = &pf_adapter;

	EXPECT_TRUE(f->has_feed(STR_LIT("base,rollout"), "rollout"));
	EXPECT_FALSE(f->has_feed(STR_LIT("base,rollouts"), "rollout"));
	EXPECT_FALSE(f->has_feed(STR_LIT("base,rollout"), "evacuation"));
	EXPECT_TRUE(f->has_feed(STR_LIT("base,places"), "evacuation"));
	EXPECT_TRUE(f->has_feed(STR_LIT("base"), "backend"));
	EXPECT_TRUE(f->has_feed(str_c(nullptr), "rollout"));
}

TEST(Forward, NextHeaderRoundTrip)
{
	struct gate_next in = {}, out = {};
	char text[GATE_FORWARD_MAX];
	size_t n;

	in.to_server = true;
	in.within_retry_budget = true;
	in.attempts = 2;
	in.lease = 999999999999999999; /* the longest */
	in.name = STR_LIT("b7");
	in.inbox = STR_LIT("10.0.0.9:7200");
	in.address = STR_LIT("10.0.0.1:8000");
	n = gate_next_write(&in, text, sizeof(text));
	ASSERT_TRUE(gate_next_read(str_n(text, n), &out));
	EXPECT_TRUE(out.to_server);
	EXPECT_TRUE(out.within_retry_budget);
	EXPECT_EQ(2u, out.attempts);
	EXPECT_EQ(999999999999999999u, out.lease);
	EXPECT_TRUE(str_eq(in.inbox, out.inbox));
	EXPECT_TRUE(str_eq(in.name, out.name));
	EXPECT_TRUE(str_eq(in.address, out.address));
	/* No shorter text is one with another server. */
	for (size_t i = 0; i + in.address.n <= n; i++)
		EXPECT_FALSE(gate_next_read(str_n(text, i), &out)) << i;

	in.to_server = in.within_retry_budget = false;
	in.attempts = 0;
	in.started_ms = 1796398047000;
	in.name = STR_LIT("s1");
	in.hall = STR_LIT("south");
	in.inbox = STR_LIT("10.0.0.2:7200");
	in.target_hall = STR_LIT("north");
	n = gate_next_write(&in, text, sizeof(text));
	ASSERT_TRUE(gate_next_read(str_n(text, n), &out));
	EXPECT_FALSE(out.to_server);
	EXPECT_FALSE(out.within_retry_budget);
	EXPECT_EQ(0u, out.attempts);
	EXPECT_EQ(0u, out.lease);
	EXPECT_EQ(1796398047000u, out.started_ms);
	EXPECT_TRUE(str_eq(in.name, out.name));
	EXPECT_TRUE(str_eq(in.hall, out.hall));
	EXPECT_TRUE(str_eq(in.inbox, out.inbox));
	EXPECT_TRUE(str_eq(in.target_hall, out.target_hall));
	EXPECT_TRUE(str_eq(in.address, out.address));
	for (size_t i = 0; i + in.address.n <= n; i++)
		EXPECT_FALSE(gate_next_read(str_n(text, i), &out)) << i;
}

TEST(Forward, AMalformedNextHeaderIsNotRead)
{
	struct gate_next out;

	for (const char *bad :
	    {"", "server", "other 1 0 b7 10.0.0.9:7200 5 10.0.0.1:8000",
		"server x 0 b7 10.0.0.9:7200 5 10.0.0.1:8000",
		"server -1 0 b7 10.0.0.9:7200 5 10.0.0.1:8000",
		"server 2147483648 0 b7 10.0.0.9:7200 5 10.0.0.1:8000",
		"server 1 x b7 10.0.0.9:7200 5 10.0.0.1:8000",
		"server 1 0  10.0.0.9:7200 5 10.0.0.1:8000",
		"server 1 0 b7 5 10.0.0.1:8000",
		"server 1 0 b7 10.0.0.9:7200 x 10.0.0.1:8000",
		"server 1 0 b7 10.0.0.9:7200 18446744073709551616 "
		"10.0.0.1:8000",
		"server 1 0 b7 10.0.0.9:7200 5 ",
		"owner 1 0 s1 south north 10.0.0.2:7200 7 ",
		"owner 1 0 s1 south north 10.0.0.2:7200 x 10.0.0.2:7100"})
		EXPECT_FALSE(gate_next_read(str_c(bad), &out)) << bad;
}

/* Of a text that is too long, no more is written than there is room for. */
TEST(Forward, ANextHeaderStaysInItsBound)
{
	struct gate_next in = {};
	std::string name(100, 'n'), text(200, '#');
	size_t whole, n;

	in.to_server = true;
	in.name = str_c(name.c_str());
	in.address = STR_LIT("10.0.0.1:8000");
	whole = gate_next_write(&in, text.data(), text.size());
	ASSERT_LT(whole, text.size());
	for (size_t size = 1; size <= whole + 1; size++) {
		text.assign(200, '#');
		n = gate_next_write(&in, text.data(), size);
		EXPECT_EQ(std::min(size - 1, whole), n);
		EXPECT_EQ(std::string(200 - size, '#'), text.substr(size));
	}
}

TEST(Forward, ForwardHeaderRoundTrip)
{
	struct gate_forward in = {}, out = {};
	char text[320];

	in.hops = 1;
	in.repeatable = true;
	in.within_retry_budget = true;
	in.caller_deadline_ms = 780;
	in.waited_ms = 20;
	in.attempts = 1;
	in.max_attempts = 3;
	in.rank = 2;
	in.kind = 250;
	in.target_ms = 140;
	in.fingerprint = {0xfeed, 0xffffffffffffffff, 0xcafe};
	in.suspect = true;
	in.target_hall = STR_LIT("north");
	in.regions = STR_LIT("here,there");
	in.customer = STR_LIT("-anna");
	in.service = STR_LIT("till");
	size_t n = gate_forward_write(&in, text, sizeof(text));
	ASSERT_TRUE(gate_forward_read(str_n(text, n), &out));
	EXPECT_EQ(1u, out.hops);
	EXPECT_TRUE(out.repeatable);
	EXPECT_FALSE(out.bulk);
	EXPECT_FALSE(out.is_retry);
	EXPECT_TRUE(out.within_retry_budget);
	EXPECT_EQ(780, out.caller_deadline_ms);
	EXPECT_EQ(20, out.waited_ms);
	EXPECT_EQ(1u, out.attempts);
	EXPECT_EQ(3u, out.max_attempts);
	EXPECT_EQ(2u, out.rank);
	EXPECT_EQ(250u, out.kind);
	EXPECT_EQ(140, out.target_ms);
	EXPECT_TRUE(fprint_eq(in.fingerprint, out.fingerprint));
	EXPECT_TRUE(out.suspect);
	EXPECT_TRUE(str_eq(STR_LIT("north"), out.target_hall));
	EXPECT_TRUE(str_eq(STR_LIT("here,there"), out.regions));
	EXPECT_TRUE(str_eq(STR_LIT("till"), out.service));
	EXPECT_TRUE(str_eq(STR_LIT("-anna"), out.customer));
	in.customer = str_c(nullptr);
	n = gate_forward_write(&in, text, sizeof(text));
	ASSERT_TRUE(gate_forward_read(str_n(text, n), &out));
	EXPECT_EQ(0u, out.customer.n);
	for (const char *bad : {"", "1", "1 0 1 0 1 1 3 2 250 140 780 20",
		 "x 0 1 0 1 1 3 2 250 140 780 20 north till",
		 "1 0 1 0 1 1 3 2 250 140 780 20 till",
		 "1 0 1 0 1 1 3 2 250 140 780 20 north ",
		 "1 0 1 0 1 1 3 2 250 140 780 20 beef north - till",
		 "1 0 1 0 1 1 3 2 250 140 780 20 feed beef - till",
		 "1 0 1 0 1 1 3 2 250 140 780 20 feed beef north - ",
		 "1 0 1 0 1 1 3 2 250 140 780 20 feed beef 1 - till",
		 "1 0 1 0 1 1 3 2 250 140 780 20 feed beef cafe 1 - till",
		 "1 0 1 0 1 1 3 2 250 140 780 20 feed beef cafe 1 north - ",
		 "1 0 1 0 1 1 3 2 250 140 780 20 feed beef 1 north - ",
		 "1 0 1 0 1 1 3 2 250 140 780 20 fe be ca 1 north - till",
		 "1 0 1 0 1 1 3 2 250 140 780 20 fe be ca 1 north - anna till"})
		EXPECT_FALSE(gate_forward_read(str_c(bad), &out)) << bad;
}

/*
 * A caller's own retry was taken for one that may have run here, and refused
 * without the promise that it did not.
 */
TEST(Forward, ACallersRetryIsNotOneThatMayHaveRun)
{
	const struct {
		bool is_retry, maybe_ran, read_as_retry;
	} cases[] = {{false, false, false}, {true, false, true},
	    {true, true, true}, {false, true, true}};

	for (auto &c : cases) {
		struct gate_forward in = {}, out = {};
		char text[GATE_FORWARD_MAX];

		in.target_hall = in.service = STR_LIT("n");
		in.is_retry = c.is_retry;
		in.maybe_ran = c.maybe_ran;
		size_t n = gate_forward_write(&in, text, sizeof(text));
		ASSERT_TRUE(gate_forward_read(str_n(text, n), &out));
		EXPECT_EQ(c.read_as_retry, out.is_retry);
		EXPECT_EQ(c.maybe_ran, out.maybe_ran);
	}
}

/*
 * The longest names that a configuration may have.  Cut short, a service's name
 * may be that of another one.
 */
TEST(Forward, LongNamesAreForwardedWhole)
{
	struct gate_forward in = {}, out = {};
	std::string name(128, 'n'), regions = name;
	char text[GATE_FORWARD_MAX];

	for (int i = 0; i < 5; i++)
		regions += "," + name;
	in.rank = in.kind = in.attempts = in.max_attempts = UINT_MAX;
	in.target_ms = in.caller_deadline_ms = in.waited_ms = INT64_MAX;
	in.fingerprint = {UINT64_MAX, UINT64_MAX, UINT64_MAX};
	in.target_hall = in.customer = in.service = str_c(name.c_str());
	in.regions = str_c(regions.c_str());
	size_t n = gate_forward_write(&in, text, sizeof(text));
	ASSERT_TRUE(gate_forward_read(str_n(text, n), &out));
	EXPECT_TRUE(str_eq(in.service, out.service));
	EXPECT_TRUE(str_eq(in.regions, out.regions));
	EXPECT_TRUE(str_eq(in.customer, out.customer));
}

TEST(Err, AStatusThatMeansNotExecutedIsTrue)
{
	for (int k = ERR_NO_BACKEND; k <= ERR_RESPONSE_LAST; k++) {
		enum err_kind kind = static_cast<enum err_kind>(k);
		int unknown_status = err_status_for_ran(kind, RAN_UNKNOWN);

		/* These promise that a request has not run. */
		EXPECT_NE(503, unknown_status) << k;
		EXPECT_NE(429, unknown_status) << k;
		EXPECT_NE(408, unknown_status) << k;
		EXPECT_NE(421, unknown_status) << k;
	}
	EXPECT_EQ(503, err_status_for_ran(ERR_DEADLINE, RAN_NO));
	EXPECT_EQ(504, err_status_for_ran(ERR_DEADLINE, RAN_UNKNOWN));
	EXPECT_EQ(503, err_status_for_ran(ERR_CONNECT, RAN_NO));
	EXPECT_EQ(404, err_status_for_ran(ERR_NO_RULE, RAN_NO));
}

TEST(Pace, AReportLosesWeightWithAge)
{
	struct pick_backend b = {};

	b.slots = 3;
	EXPECT_DOUBLE_EQ(2, pace_latency_factor(&b, 2, NS_S));
	b.reported_latency_percent = 500;
	b.reported_at = NS_S;
	EXPECT_DOUBLE_EQ(5, pace_latency_factor(&b, 2, NS_S));
	EXPECT_LT(pace_latency_factor(&b, 2, NS_S + 100 * NS_MS), 4);
	EXPECT_NEAR(2, pace_latency_factor(&b, 2, 3 * NS_S), 0.01);
	EXPECT_EQ(50 * NS_MS, pace_service_time(&b, 10 * NS_MS, 2, NS_S));
	EXPECT_TRUE(pace_report_is_fresh(&b, NS_S));
	EXPECT_FALSE(pace_is_near_usual(&b, NS_S));
	b.reported_latency_percent = 100;
	EXPECT_TRUE(pace_is_near_usual(&b, NS_S));
	EXPECT_FALSE(pace_is_near_usual(&b, NS_S + 100 * NS_MS));
}

/*
 * A change below the highest version, as after a restore of the platform or if
 * objects arrive out of order.  The rates of customers were not assigned anew,
 * as the highest version was the same.
 */
TEST(Platform, RoutesShowAChangeBelowTheHighestVersion)
{
	Json old(R"({"select":"app=a"})"), changed(R"({"select":"app=b"})");
	uint64_t version, digest;
	Table t;

	t.offer("service/a", 9, old.v);
	t.offer("service/b", 5, old.v);
	t.build();
	version = route_version(t.routes);
	digest = route_digest(t.routes);
	t.offer("service/b", 6, changed.v);
	t.build();
	EXPECT_EQ(version, route_version(t.routes));
	EXPECT_NE(digest, route_digest(t.routes));
}
