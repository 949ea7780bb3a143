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
 * Unit tests of the merge of configuration objects and of their exchange
 * between boxes (anti-entropy).
 */
#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>

extern "C" {
#include "conf.h"
#include "libsync.h"
#include "sync.h"
#include "version.h"
}

namespace
{

const char *const VALID = R"({"select":"app=%"})";
const char *const INVALID = R"({"selekt":"app=%"})";

struct str
view(const std::string &s)
{
	return str_n(s.data(), s.size());
}

/* An object, a deletion or a list that is offered to a merge. */
struct Offer {
	std::string key;
	uint64_t version;
	char type; /* 'g'ood, 'b'ad, 'd'eletion, 'l'ist without the key */
	uint64_t serial = 0;
	bool drain = false; /* of a backend server */
	uint64_t contents = 0; /* 0: those of the revision */
};

void
offer(struct conf *c, const Offer &o)
{
	std::string text = o.type == 'b' ? INVALID : VALID;

	text.replace(text.find('%'), 1,
	    std::to_string(
		o.contents > 0 ? o.contents : version_revision(o.version)));
	if (o.key.compare(0, 8, "backend/") == 0)
		text = R"({"address":"127.0.0.1:9","hall":"n","slots":3,)"
		       R"("drain":)" +
		    std::string(o.drain ? "true}" : "false}");
	if (o.type == 'l') {
		GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

		conf_apply_list(c, o.version, keys);
		g_hash_table_destroy(keys);
		return;
	}
	json_t *spec =
	    o.type == 'd' ? nullptr : json_loads(text.c_str(), 0, nullptr);

	struct conf_object object = {
	    view(o.key), o.version, o.serial, o.type == 'd', spec};

	conf_offer(c, &object, STR_LIT("t"), nullptr);
	json_decref(spec);
}

/* Returns as text the version in force for a key, and the rejected one. */
std::string
state(const struct conf *c, const std::string &key)
{
	const struct conf_entry *e = conf_get(c, view(key));

	if (e == nullptr || e->version == 0 || e->deleted)
		return e != nullptr && e->rejected_version > 0
		    ? "none, bad " + std::to_string(e->rejected_version)
		    : "none";
	return std::to_string(e->version) +
	    (e->rejected_version > 0
		    ? ", bad " + std::to_string(e->rejected_version)
		    : "");
}

} // namespace

TEST(Conf, OffersInAnyOrderLeadToTheSameState)
{
	/* Versions 1 to 6 of an object, some deleted, some not valid. */
	const std::vector<std::vector<Offer>> sets = {
	    {{"service/a", 1, 'g'}, {"service/a", 3, 'g'},
		{"service/a", 2, 'g'}, {"service/a", 5, 'd'},
		{"service/a", 4, 'b'}, {"service/a", 6, 'b'}},
	    {{"service/a", 1, 'g'}, {"service/a", 2, 'b'},
		{"service/a", 3, 'd'}, {"service/a", 4, 'g'},
		{"service/a", 5, 'b'}, {"service/a", 5, 'b'}},
	    {{"service/a", 2, 'g'}, {"", 3, 'l'}, {"service/a", 1, 'g'},
		{"service/a", 3, 'g'}, {"service/a", 2, 'b'}},
	    {{"service/a", 2, 'g'}, {"", 3, 'l'}, {"service/a", 5, 'g'},
		{"", 1, 'l'}, {"service/a", 4, 'd'}},
	};
	const std::vector<std::string> expected = {
	    "none, bad 6", "4, bad 5", "none", "5"};

	for (size_t s = 0; s < sets.size(); s++) {
		std::vector<size_t> order(sets[s].size());

		for (size_t i = 0; i < order.size(); i++)
			order[i] = i;
		do {
			struct conf *c = conf_new(nullptr, nullptr);
			uint64_t highest = 0;

			for (size_t i : order) {
				const struct conf_entry *e;

				offer(c, sets[s][i]);
				e = conf_get(c, STR_LIT("service/a"));
				/* The version in force never falls. */
				if (e != nullptr && !e->deleted) {
					ASSERT_GE(e->version, highest);
					highest = e->version;
				}
			}
			ASSERT_EQ(expected[s], state(c, "service/a"));
			conf_free(c);
		} while (std::next_permutation(order.begin(), order.end()));
	}
}

namespace
{

/* A version of the first or second epoch. */
uint64_t
first(uint64_t revision)
{
	return version_make(1, revision);
}

uint64_t
second(uint64_t revision)
{
	return version_make(2, revision);
}

/* Returns whether the contents of a revision are in force for a key. */
bool
holds(const struct conf *c, const std::string &key, uint64_t revision)
{
	const struct conf_entry *e = conf_get(c, view(key));
	std::string select = "app=" + std::to_string(revision);
	const char *text = e == nullptr
	    ? nullptr
	    : json_string_value(json_object_get(e->spec, "select"));

	return text != nullptr && select == text;
}

bool
drains(const struct conf *c, const std::string &key)
{
	const struct conf_entry *e = conf_get(c, view(key));

	return e != nullptr && json_is_true(json_object_get(e->spec, "drain"));
}

void
count_restores(void *ctx, uint64_t epoch)
{
	(void)epoch;
	++*static_cast<int *>(ctx);
}

/* A configuration in a process that reads the platform, in the first epoch. */
struct Restored {
	struct conf *c = conf_new(nullptr, nullptr);
	int restores = 0;

	Restored()
	{
		conf_on_restore(c, count_restores, &restores);
		conf_note_epoch(c, 1);
	}

	~Restored()
	{
		conf_free(c);
	}
};

/*
 * Sets of offers of two epochs, with the version, the revision whose contents
 * are in force (0: none), and the serial that each leads to.
 */
struct Epochs {
	std::vector<Offer> offers;
	uint64_t version, contents, serial;
};

} // namespace

TEST(Conf, OffersOfTwoEpochsInAnyOrderLeadToTheSameState)
{
	const std::string a = "service/a";
	const std::vector<Epochs> sets = {
	    /* The copy has an older serial. */
	    {{{a, first(70), 'g', 58}, {a, first(76), 'g', 60},
		 {a, second(70), 'g', 58}},
		second(70), 76, 60},
	    /* Revisions are used again. */
	    {{{a, first(76), 'g', 60}, {a, second(70), 'g', 58},
		 {a, second(75), 'g', 64}, {a, second(76), 'g', 66}},
		second(76), 76, 66},
	    {{{a, first(76), 'g', 60}, {a, second(76), 'g', 60},
		 {a, second(70), 'g', 58}},
		second(76), 76, 60},
	    /* The same contents and revision have another serial. */
	    {{{a, first(76), 'g', 60}, {a, second(76), 'g', 66},
		 {a, second(75), 'g', 64}},
		second(76), 76, 66},
	    /* Without serials the later epoch decides. */
	    {{{a, first(70), 'g'}, {a, first(76), 'g'}, {a, second(70), 'g'}},
		second(70), 70, 0},
	    {{{a, first(70), 'g'}, {a, first(75), 'd'}, {a, second(70), 'g'}},
		second(70), 70, 0},
	    {{{a, first(70), 'g'}, {a, first(76), 'g'}, {a, second(71), 'd'}},
		0, 0, 0},
	    {{{a, first(70), 'g'}, {a, first(76), 'b'}, {a, second(70), 'g'},
		 {a, second(75), 'g'}},
		second(75), 75, 0},
	    /* A list of the later epoch lacks the object. */
	    {{{a, first(70), 'g'}, {"", second(65), 'l'}, {a, first(76), 'g'}},
		0, 0, 0},
	    {{{a, first(70), 'g'}, {"", second(65), 'l'}, {a, second(66), 'g'},
		 {a, first(76), 'd'}},
		second(66), 66, 0},
	};

	for (const Epochs &set : sets) {
		std::vector<size_t> order(set.offers.size());

		for (size_t i = 0; i < order.size(); i++)
			order[i] = i;
		do {
			struct conf *c = conf_new(nullptr, nullptr);
			const struct conf_entry *e;
			std::string text;

			for (size_t i : order) {
				offer(c, set.offers[i]);
				text += " " + std::to_string(i);
			}
			e = conf_get(c, view(a));
			if (set.version == 0) {
				EXPECT_EQ("none", state(c, a)) << text;
			} else {
				ASSERT_NE(nullptr, e);
				EXPECT_EQ(set.version, e->version) << text;
				EXPECT_EQ(set.serial, e->serial) << text;
				EXPECT_EQ(0u, e->rejected_version) << text;
				EXPECT_TRUE(holds(c, a, set.contents)) << text;
			}
			conf_free(c);
		} while (std::next_permutation(order.begin(), order.end()));
	}
}

TEST(Conf, AnEarlierEpochNeverWins)
{
	struct conf *c = conf_new(nullptr, nullptr);

	offer(c, {"service/a", second(5), 'g'});
	offer(c, {"service/b", second(6), 'd'});
	offer(c, {"service/a", first(1000), 'g'});
	offer(c, {"service/a", first(1001), 'd'});
	offer(c, {"service/a", first(1002), 'b'});
	offer(c, {"service/b", first(1003), 'g'});
	offer(c, {"", first(2000), 'l'});
	EXPECT_EQ(std::to_string(second(5)), state(c, "service/a"));
	EXPECT_EQ("none", state(c, "service/b"));
	conf_free(c);
}

TEST(Conf, ALowerSerialNeverReplacesAHigherOne)
{
	struct conf *c = conf_new(nullptr, nullptr);

	offer(c, {"service/a", first(76), 'g', 60});
	for (uint64_t epoch = 1; epoch < 4; epoch++)
		for (uint64_t revision = 70; revision < 90; revision++) {
			offer(c,
			    {"service/a", version_make(epoch, revision), 'g',
				59});
			ASSERT_TRUE(holds(c, "service/a", 76));
		}
	offer(c, {"service/a", version_make(4, 72), 'g', 61});
	EXPECT_TRUE(holds(c, "service/a", 72));
	conf_free(c);
}

/* A change from an operator without serials. */
TEST(Conf, AnOlderVersionIsHeldBackUntilTheEndOfTheRestore)
{
	Restored r;

	offer(r.c, {"service/a", first(70), 'g'});
	offer(r.c, {"service/a", first(76), 'g'});
	offer(r.c, {"service/a", second(70), 'g'});
	EXPECT_EQ(1, r.restores);
	EXPECT_TRUE(holds(r.c, "service/a", 76));
	conf_end_restore(r.c);
	offer(r.c, {"service/a", second(70), 'g'});
	EXPECT_TRUE(holds(r.c, "service/a", 70));
}

TEST(Conf, AVersionWrittenAfterTheRestoreIsNotHeldBack)
{
	Restored r;

	offer(r.c, {"service/a", first(95), 'g'});
	offer(r.c, {"service/b", first(96), 'g'});
	conf_note_revision(r.c, second(80));
	offer(r.c, {"service/a", second(81), 'g'});
	offer(r.c, {"service/b", second(80), 'g'});
	EXPECT_TRUE(holds(r.c, "service/a", 81));
	EXPECT_TRUE(holds(r.c, "service/b", 96));
	/* A revision of the epoch before says nothing about the copy. */
	offer(r.c, {"service/c", second(90), 'g'});
	conf_note_epoch(r.c, 3);
	conf_note_revision(r.c, second(81));
	offer(r.c, {"service/c", version_make(3, 85), 'g'});
	EXPECT_TRUE(holds(r.c, "service/c", 90));
	EXPECT_EQ(2, r.restores);
}

TEST(Conf, ADrainOfTheCopyIsNotHeldBack)
{
	Restored r;

	offer(r.c, {"backend/a", first(70), 'g', 0, true});
	offer(r.c, {"backend/a", first(75), 'g', 0, false});
	offer(r.c, {"backend/a", second(70), 'g', 0, true});
	EXPECT_TRUE(drains(r.c, "backend/a"));
}

TEST(Conf, ADrainThatTheCopyLacksIsKept)
{
	Restored r;

	offer(r.c, {"backend/a", first(70), 'g', 0, false});
	offer(r.c, {"backend/a", first(75), 'g', 0, true});
	offer(r.c, {"backend/a", second(70), 'g', 0, false});
	EXPECT_TRUE(drains(r.c, "backend/a"));
	offer(r.c, {"backend/a", second(75), 'g', 0, true});
	conf_end_restore(r.c);
	offer(r.c, {"backend/a", second(70), 'g', 0, false});
	EXPECT_TRUE(drains(r.c, "backend/a"));
}

/*
 * Whatever the revision of the list, as others have written since the restore.
 */
TEST(Conf, ObjectsThatAListLacksAreKeptUntilTheEndOfTheRestore)
{
	for (uint64_t listed : {73, 90}) {
		Restored r;

		offer(r.c, {"service/a", first(75), 'g'});
		offer(r.c, {"", second(listed), 'l'});
		EXPECT_TRUE(holds(r.c, "service/a", 75)) << listed;
		conf_end_restore(r.c);
		offer(r.c, {"", second(listed + 1), 'l'});
		EXPECT_EQ("none", state(r.c, "service/a")) << listed;
	}
}

/*
 * Lists during the restore leave the floor below the versions that were held
 * back.
 */
TEST(Conf, ADeletedObjectThatThePlatformHasAgainComesBack)
{
	Restored r;
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

	g_hash_table_add(keys, const_cast<char *>("service/a"));
	offer(r.c, {"service/a", first(70), 'g'});
	offer(r.c, {"service/a", first(75), 'd'});
	conf_apply_list(r.c, first(76), keys);
	offer(r.c, {"service/a", second(70), 'g'});
	conf_apply_list(r.c, second(73), keys);
	EXPECT_EQ("none", state(r.c, "service/a"));
	conf_end_restore(r.c);
	offer(r.c, {"service/a", second(70), 'g'});
	conf_apply_list(r.c, second(73), keys);
	EXPECT_TRUE(holds(r.c, "service/a", 70));
	EXPECT_EQ(second(73), conf_floor(r.c));
	g_hash_table_destroy(keys);
}

/* A list that is applied up to there says nothing about the copy. */
TEST(Conf, AFloorAtTheStartOfAnEpochEndsNoHold)
{
	Restored r;

	offer(r.c, {"service/a", first(76), 'g'});
	conf_note_epoch(r.c, 2);
	conf_raise_floor(
	    r.c, CONF_RULES, conf_applied_revision(r.c, second(80)));
	conf_note_revision(r.c, conf_applied_revision(r.c, second(80)));
	offer(r.c, {"service/a", second(70), 'g'});
	EXPECT_TRUE(holds(r.c, "service/a", 76));
}

/* A stale list may be older than the copy, and a floor come from one. */
TEST(Conf, AFloorEndsNoHold)
{
	Restored r;

	offer(r.c, {"service/a", first(76), 'g'});
	offer(r.c, {"", second(60), 'l'});
	conf_raise_floor(r.c, CONF_RULES, second(61));
	offer(r.c, {"service/a", second(70), 'g'});
	EXPECT_TRUE(holds(r.c, "service/a", 76));
}

/* A box that starts is complete, though a restore is going on. */
TEST(Conf, TheFirstListDuringARestoreIsComplete)
{
	Restored r;

	offer(r.c, {"service/a", second(70), 'g'});
	offer(r.c, {"", second(73), 'l'});
	EXPECT_GT(conf_floor(r.c), first(1000));
}

/* The copy had the object; only a deletion explains that a list lacks it. */
TEST(Conf, AnObjectOfTheCopyIsDeletedDuringTheRestore)
{
	Restored r;

	offer(r.c, {"service/a", first(70), 'g'});
	offer(r.c, {"service/a", second(70), 'g'});
	EXPECT_TRUE(holds(r.c, "service/a", 70));
	offer(r.c, {"", second(80), 'l'});
	EXPECT_EQ("none", state(r.c, "service/a"));
}

/* Also below the floor, where other deletions are dropped. */
TEST(Conf, ADeletedObjectOfTheCopyIsRecognized)
{
	Restored r;

	offer(r.c, {"service/a", first(70), 'g'});
	offer(r.c, {"service/a", first(75), 'd'});
	offer(r.c, {"", first(76), 'l'});
	offer(r.c, {"service/a", second(70), 'g'});
	EXPECT_EQ("none", state(r.c, "service/a"));
	conf_end_restore(r.c);
	offer(r.c, {"service/a", second(70), 'g'});
	EXPECT_TRUE(holds(r.c, "service/a", 70));
}

TEST(Conf, TheFirstEpochIsNoRestore)
{
	struct conf *c = conf_new(nullptr, nullptr);
	int restores = 0;

	conf_on_restore(c, count_restores, &restores);
	offer(c, {"service/a", version_make(7, 70), 'g'});
	EXPECT_EQ(0, restores);
	EXPECT_EQ(7u, conf_first_epoch(c));
	offer(c, {"service/a", version_make(6, 90), 'g'});
	EXPECT_EQ(0, restores);
	offer(c, {"service/b", version_make(8, 60), 'g'});
	EXPECT_EQ(1, restores);
	EXPECT_EQ(8u, conf_epoch(c));
	conf_free(c);
}

TEST(Conf, DigestsDoNotDependOnTheEpoch)
{
	struct conf *one = conf_new(nullptr, nullptr);
	struct conf *two = conf_new(nullptr, nullptr);

	offer(one, {"service/a", first(70), 'g'});
	offer(one, {"service/b", first(71), 'b'});
	offer(two, {"service/a", second(70), 'g'});
	offer(two, {"service/b", second(71), 'b'});
	EXPECT_EQ(conf_digest(one), conf_digest(two));
	offer(one, {"service/a", second(70), 'g'});
	EXPECT_EQ(conf_digest(one), conf_digest(two));
	offer(one, {"service/a", second(72), 'g'});
	EXPECT_NE(conf_digest(one), conf_digest(two));
	conf_free(one);
	conf_free(two);
}

TEST(Conf, RepeatedAndOldOffersChangeNothing)
{
	struct conf *c = conf_new(nullptr, nullptr);
	uint64_t digest;

	offer(c, {"service/a", 4, 'g'});
	digest = conf_digest(c);
	for (uint64_t v : {4, 3, 2, 1, 4})
		offer(c, {"service/a", v, 'g'});
	offer(c, {"service/a", 2, 'd'});
	EXPECT_EQ(digest, conf_digest(c));
	EXPECT_EQ("4", state(c, "service/a"));
	/* A list older than the object does not delete it. */
	offer(c, {"", 3, 'l'});
	EXPECT_EQ("4", state(c, "service/a"));
	offer(c, {"", 4, 'l'});
	EXPECT_EQ("none", state(c, "service/a"));
	conf_free(c);
}

TEST(Conf, AnInvalidObjectLeavesTheLastValidOneInForce)
{
	struct conf *c = conf_new(nullptr, nullptr);
	const struct conf_entry *e;

	offer(c, {"service/a", 1, 'g'});
	offer(c, {"service/a", 2, 'b'});
	e = conf_get(c, STR_LIT("service/a"));
	EXPECT_EQ(1u, e->version);
	EXPECT_EQ(2u, e->rejected_version);
	EXPECT_NE(
	    nullptr, strstr(e->rejected_reason, "the nearest known name"));
	offer(c, {"service/a", 3, 'g'});
	EXPECT_EQ("3", state(c, "service/a"));
	conf_free(c);
}

/*
 * An object that the platform lost when it was restored stays until the end of
 * the restore, however high the revision is that a list or a peer tells.
 */
TEST(Conf, WhatARestoreMayHaveLostIsNotDeletedBeforeItsEnd)
{
	struct conf *c = conf_new(nullptr, nullptr);
	const uint64_t first = version_make(1, 0), second = version_make(2, 0);
	uint64_t told = 0;

	conf_on_restore(
	    c,
	    [](void *ctx, uint64_t epoch) {
		    *static_cast<uint64_t *>(ctx) = epoch;
	    },
	    &told);
	offer(c, {"service/a", first + 75, 'g'});
	offer(c, {"", second + 80, 'l'});
	EXPECT_EQ(2u, told);
	/* A peer that has this list tells it as a deletion. */
	offer(c, {"service/a", second + 80, 'd'});
	EXPECT_EQ(std::to_string(first + 75), state(c, "service/a"));
	conf_end_restore(c);
	offer(c, {"", second + 82, 'l'});
	EXPECT_EQ("none", state(c, "service/a"));
	conf_free(c);
}

namespace
{

/* Peers over a network that loses, repeats and reorders messages. */
struct Net {
	struct Peer {
		Net *net;
		std::string name;
		struct conf *conf;
		struct sync sync;
	};
	std::deque<std::pair<std::string, std::string>> in_transit;
	std::map<std::string, Peer> peers;
	std::mt19937 rng;
	unsigned sent = 0;

	static void on_send(void *ctx, struct str to, const struct msg *m)
	{
		Peer *p = static_cast<Peer *>(ctx);
		struct msg copy = *m;
		msgpack_sbuffer buf;

		copy.from = view(p->name);
		msgpack_sbuffer_init(&buf);
		msg_encode(&copy, &buf);
		p->net->in_transit.push_back(
		    {std::string(to.p, to.n), std::string(buf.data, buf.size)});
		p->net->sent++;
		msgpack_sbuffer_destroy(&buf);
	}

	void add(const std::string &name)
	{
		Peer &p = peers[name];

		p.net = this;
		p.name = name;
		p.conf = conf_new(nullptr, nullptr);
		p.sync = {p.conf, on_send, &p, false, 0, nullptr, 0};
	}

	void deliver(bool faults)
	{
		if (faults && in_transit.size() > 1)
			std::swap(in_transit[0],
			    in_transit[rng() % in_transit.size()]);
		auto w = in_transit.front();
		in_transit.pop_front();
		if (faults && rng() % 5 == 0)
			return;
		if (faults && rng() % 5 == 0)
			in_transit.push_back(w);
		struct msg m;

		ASSERT_TRUE(
		    msg_decode(w.second.data(), w.second.size(), &m, nullptr));
		sync_on_message(&peers[w.first].sync, &m);
		msg_release(&m);
	}

	void compare(const std::string &a, const std::string &b)
	{
		struct msg_conf_summary summary =
		    sync_conf_summary(&peers[b].sync);

		sync_compare(&peers[a].sync, view(b), &summary);
	}

	~Net()
	{
		for (auto &p : peers)
			conf_free(p.second.conf);
	}
};

} // namespace

TEST(Sync, PeersConvergeOverABadNetworkAndVersionsNeverFall)
{
	for (unsigned seed = 0; seed < 60; seed++) {
		Net net;
		std::map<std::string, std::map<std::string, uint64_t>> seen;
		uint64_t version = 0;
		const char *names[] = {"p0", "p1", "p2"};

		net.rng.seed(seed);
		for (auto n : names)
			net.add(n);
		for (int step = 0; step < 300; step++) {
			auto &p = net.peers[names[net.rng() % 3]];

			if (net.rng() % 4 == 0 && step < 200)
				offer(p.conf,
				    {"service/s" +
					    std::to_string(net.rng() % 8),
					++version, "ggggdb"[net.rng() % 6]});
			net.compare(names[net.rng() % 3], names[net.rng() % 3]);
			for (int k = 0; k < 3 && !net.in_transit.empty(); k++)
				net.deliver(step < 250);
			for (auto &q : net.peers) {
				for (int s = 0; s < 8; s++) {
					std::string key =
					    "service/s" + std::to_string(s);
					auto *e =
					    conf_get(q.second.conf, view(key));

					if (e == nullptr)
						continue;
					ASSERT_GE(
					    e->version, seen[q.first][key]);
					seen[q.first][key] = e->version;
				}
			}
		}
		for (int k = 0; k < 40; k++) {
			net.compare("p0", "p1");
			net.compare("p1", "p2");
			net.compare("p2", "p0");
			while (!net.in_transit.empty())
				net.deliver(false);
		}
		uint64_t d = conf_digest(net.peers["p0"].conf);
		EXPECT_EQ(d, conf_digest(net.peers["p1"].conf)) << seed;
		EXPECT_EQ(d, conf_digest(net.peers["p2"].conf)) << seed;
	}
}

TEST(Sync, ADeletedObjectDoesNotComeBackFromAnOldPeer)
{
	Net net;

	net.add("fresh");
	net.add("old");
	offer(net.peers["old"].conf, {"service/gone", 5, 'g'});
	offer(net.peers["old"].conf, {"service/kept", 6, 'g'});
	/* "fresh" gets a list of revision 9 that has service/kept only. */
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_add(keys, const_cast<char *>("service/kept"));
	offer(net.peers["fresh"].conf, {"service/kept", 6, 'g'});
	conf_apply_list(net.peers["fresh"].conf, 9, keys);
	g_hash_table_destroy(keys);
	for (int i = 0; i < 4; i++) {
		net.compare("old", "fresh");
		net.compare("fresh", "old");
		while (!net.in_transit.empty())
			net.deliver(false);
	}
	EXPECT_EQ("none", state(net.peers["fresh"].conf, "service/gone"));
	EXPECT_EQ("none", state(net.peers["old"].conf, "service/gone"));
	EXPECT_EQ("6", state(net.peers["old"].conf, "service/kept"));
	EXPECT_EQ(9u, conf_floor(net.peers["old"].conf));
}

namespace
{

/* A platform that can be restored from a copy, and what it stores. */
struct Store {
	struct Object {
		uint64_t revision, contents, serial;
	};
	using Objects = std::map<std::string, Object>;

	uint64_t epoch = 1, revision = 0, writes = 0;
	Objects objects;
	std::vector<Objects> copies{{}}; /* of each revision */

	uint64_t version() const
	{
		return version_make(epoch, revision);
	}

	/* Returns the change as it is offered to a peer that watches. */
	Offer write(const std::string &key, bool deleted, bool has_serial)
	{
		Offer o = {key, 0, deleted ? 'd' : 'g'};

		revision++;
		o.version = version();
		o.contents = ++writes;
		o.serial = has_serial && !deleted ? writes : 0;
		if (deleted)
			objects.erase(key);
		else
			objects[key] = {revision, o.contents, o.serial};
		copies.push_back(objects);
		return o;
	}

	void restore(uint64_t lost)
	{
		revision -= std::min(lost, revision - 1);
		copies.resize(revision + 1);
		objects = copies.back();
		epoch++;
	}

	/* Lists all objects for a peer. */
	void list(struct conf *c) const
	{
		GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

		for (auto &o : objects) {
			offer(c,
			    {o.first, version_make(epoch, o.second.revision),
				'g', o.second.serial, false,
				o.second.contents});
			g_hash_table_add(
			    keys, const_cast<char *>(o.first.c_str()));
		}
		conf_apply_list(c, version(), keys);
		g_hash_table_destroy(keys);
	}
};

const char *const peer_names[] = {"p0", "p1", "p2", "p3"};

/* Exchanges all that differs between all peers. */
void
settle(Net &net)
{
	for (int k = 0; k < 10; k++)
		for (auto a : peer_names)
			for (auto b : peer_names) {
				if (a == b)
					continue;
				net.compare(a, b);
				while (!net.in_transit.empty())
					net.deliver(false);
			}
}

/* Checks that a peer has what the platform stores, and nothing else. */
void
expect_stored(const Store &store, const struct conf *c, unsigned seed)
{
	EXPECT_EQ(store.objects.size(), conf_count(c)) << seed;
	for (auto &o : store.objects)
		EXPECT_TRUE(holds(c, o.first, o.second.contents))
		    << seed << " " << o.first;
}

} // namespace

/*
 * The platform is restored now and then.  Peers notice it at different times,
 * and end the restore at different times.  The last list is complete.  The
 * object service/s0 has serials.
 */
TEST(Sync, PeersInTwoEpochsConvergeOverABadNetwork)
{
	for (unsigned seed = 0; seed < 60; seed++) {
		Net net;
		Store store;
		std::map<std::string, uint64_t> serials;
		int restores = 0;

		net.rng.seed(seed);
		store.write("service/s0", false, true);
		for (auto n : peer_names) {
			net.add(n);
			conf_on_restore(
			    net.peers[n].conf, count_restores, &restores);
		}
		for (int step = 0; step < 400; step++) {
			auto &p = net.peers[peer_names[net.rng() % 4]];
			unsigned key = static_cast<unsigned>(net.rng() % 8);

			if (net.rng() % 3 == 0)
				offer(p.conf,
				    store.write(
					"service/s" + std::to_string(key),
					key > 0 && net.rng() % 4 == 0,
					key == 0));
			if (net.rng() % 40 == 0)
				store.restore(net.rng() % 12);
			if (net.rng() % 10 == 0)
				store.list(p.conf);
			if (net.rng() % 10 == 0)
				conf_end_restore(p.conf);
			net.compare(peer_names[net.rng() % 4],
			    peer_names[net.rng() % 4]);
			for (int k = 0; k < 3 && !net.in_transit.empty(); k++)
				net.deliver(true);
			for (auto &q : net.peers) {
				auto *e = conf_get(
				    q.second.conf, STR_LIT("service/s0"));

				if (e == nullptr)
					continue;
				ASSERT_GE(e->serial, serials[q.first]) << seed;
				serials[q.first] = e->serial;
			}
		}
		net.in_transit.clear();
		store.write("service/s0", false, true);
		for (auto n : peer_names)
			conf_end_restore(net.peers[n].conf);
		store.list(net.peers["p0"].conf);
		settle(net);
		for (auto n : peer_names)
			conf_end_restore(net.peers[n].conf);
		store.list(net.peers["p0"].conf);
		settle(net);
		EXPECT_GT(restores, 0) << seed;
		for (auto n : peer_names) {
			EXPECT_EQ(conf_digest(net.peers["p0"].conf),
			    conf_digest(net.peers[n].conf))
			    << seed;
			expect_stored(store, net.peers[n].conf, seed);
		}
	}
}

/*
 * A box that starts lists the platform only and does not know what that lost.
 * The others keep it until the end of the restore.
 */
TEST(Sync, AStartingPeerDoesNotDeleteWhatThePlatformLost)
{
	Net net;
	int restores = 0;
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

	net.add("old");
	net.add("new");
	conf_on_restore(net.peers["old"].conf, count_restores, &restores);
	offer(net.peers["old"].conf, {"service/a", first(75), 'g'});
	conf_apply_list(net.peers["new"].conf, second(90), keys);
	g_hash_table_destroy(keys);
	for (bool ended : {false, true}) {
		if (ended)
			conf_end_restore(net.peers["old"].conf);
		for (int i = 0; i < 3; i++) {
			net.compare("old", "new");
			net.compare("new", "old");
			while (!net.in_transit.empty())
				net.deliver(false);
		}
		EXPECT_EQ(ended ? "none" : std::to_string(first(75)),
		    state(net.peers["old"].conf, "service/a"));
		EXPECT_EQ("none", state(net.peers["new"].conf, "service/a"));
	}
	EXPECT_EQ(1, restores);
}

/* The deletion that is kept is older than the object of the peer. */
TEST(Sync, AKeptDeletionDoesNotHideThatAnObjectIsGone)
{
	Net net;

	net.add("fresh");
	net.add("old");
	offer(net.peers["fresh"].conf, {"service/a", 5, 'd'});
	offer(net.peers["fresh"].conf, {"", 9, 'l'});
	offer(net.peers["old"].conf, {"service/a", 7, 'g'});
	net.compare("fresh", "old");
	net.compare("old", "fresh");
	while (!net.in_transit.empty())
		net.deliver(false);
	EXPECT_EQ("none", state(net.peers["old"].conf, "service/a"));
}

/* A box that starts lists a configuration that has been replaced. */
TEST(Sync, AStartingPeerGetsTheHigherSerial)
{
	Net net;

	net.add("old");
	net.add("new");
	offer(net.peers["old"].conf, {"service/a", first(76), 'g', 60});
	offer(net.peers["new"].conf, {"service/a", second(70), 'g', 58});
	for (int i = 0; i < 2; i++) {
		net.compare("new", "old");
		while (!net.in_transit.empty())
			net.deliver(false);
	}
	EXPECT_TRUE(holds(net.peers["old"].conf, "service/a", 76));
	EXPECT_TRUE(holds(net.peers["new"].conf, "service/a", 76));
	EXPECT_EQ(conf_digest(net.peers["old"].conf),
	    conf_digest(net.peers["new"].conf));
}

namespace
{

/*
 * Encodes a message like a build that has no epochs: `at` is the position of a
 * list of records that lack their last two elements; 0: the message itself
 * lacks its last element.
 */
std::string
encode_without_epochs(const struct msg &m, size_t at)
{
	msgpack_sbuffer in, out;
	msgpack_unpacked unpacked;
	msgpack_packer pk;
	size_t off = 0;

	msgpack_sbuffer_init(&in);
	msgpack_sbuffer_init(&out);
	msgpack_unpacked_init(&unpacked);
	msg_encode(&m, &in);
	EXPECT_EQ(MSGPACK_UNPACK_SUCCESS,
	    msgpack_unpack_next(&unpacked, in.data, in.size, &off));
	auto &root = unpacked.data.via.array;
	if (at == 0)
		root.size--;
	for (size_t i = 0; at > 0 && i < root.ptr[at].via.array.size; i++)
		root.ptr[at].via.array.ptr[i].via.array.size -= 2;
	msgpack_packer_init(&pk, &out, msgpack_sbuffer_write);
	msgpack_pack_object(&pk, unpacked.data);
	std::string text(out.data, out.size);
	msgpack_unpacked_destroy(&unpacked);
	msgpack_sbuffer_destroy(&in);
	msgpack_sbuffer_destroy(&out);
	return text;
}

/* Delivers an object as a peer of an older build sends it. */
void
send_old_object(Net &net, const std::string &to, uint64_t revision)
{
	std::string spec =
	    R"({"select":"app=)" + std::to_string(revision) + R"("})";
	struct msg_object object = {};
	struct msg m = {};

	object.key = STR_LIT("service/a");
	object.version = revision;
	object.spec = view(spec);
	object.epoch = 9; /* both are cut off */
	object.serial = 99;
	m.kind = MSG_OBJECTS;
	m.from = STR_LIT("older");
	m.u.objects.objects.items = &object;
	m.u.objects.objects.n = 1;
	net.in_transit.push_back({to, encode_without_epochs(m, 2)});
	net.deliver(false);
}

} // namespace

TEST(Sync, AnObjectOfAnOlderBuildIsOfTheFirstEpoch)
{
	Net net;
	struct conf *c;

	net.add("p");
	c = net.peers["p"].conf;
	offer(c, {"service/a", first(70), 'g', 58});
	send_old_object(net, "p", 76);
	EXPECT_TRUE(holds(c, "service/a", 76));
	EXPECT_EQ(std::to_string(first(76)), state(c, "service/a"));
	send_old_object(net, "p", 75);
	EXPECT_TRUE(holds(c, "service/a", 76));
	offer(c, {"service/a", second(75), 'g', 64});
	send_old_object(net, "p", 77);
	EXPECT_TRUE(holds(c, "service/a", 75));
	EXPECT_EQ(std::to_string(second(75)), state(c, "service/a"));
}

/* Its object is not requested if ours is of a later epoch, which is sent. */
TEST(Sync, VersionsOfAnOlderBuildAreOfTheFirstEpoch)
{
	for (uint64_t epoch : {1, 2}) {
		Net net;
		struct msg_version v = {};
		struct msg m = {}, reply;
		struct conf *c;

		net.add("p");
		c = net.peers["p"].conf;
		conf_note_epoch(c, 1);
		offer(c, {"service/a", version_make(epoch, 75), 'g'});
		v.key = STR_LIT("service/a");
		v.version = 76;
		v.hash = 1;
		v.epoch = 9;
		m.kind = MSG_VERSIONS;
		m.from = STR_LIT("older");
		m.u.versions.buckets = UINT64_MAX;
		m.u.versions.versions.items = &v;
		m.u.versions.versions.n = 1;
		net.in_transit.push_back({"p", encode_without_epochs(m, 3)});
		net.deliver(false);
		ASSERT_EQ(1u, net.in_transit.size());
		auto &text = net.in_transit.front().second;
		ASSERT_TRUE(
		    msg_decode(text.data(), text.size(), &reply, nullptr));
		EXPECT_EQ(
		    epoch == 1 ? MSG_OBJECT_REQUEST : MSG_OBJECTS, reply.kind);
		msg_release(&reply);
	}
}

/*
 * It may have taken an object whose revision no write can have.  The epochs of
 * its versions must not spread.
 */
TEST(Sync, VersionsThatCannotBeAreIgnored)
{
	const std::pair<uint64_t, uint64_t> odd[] = {{709551611, 18446744},
	    {7, VERSION_EPOCH_MAX + 1}, {7, UINT64_MAX},
	    {VERSION_EPOCH_STEP, 1}, {UINT64_MAX, 1}, {UINT64_MAX, UINT64_MAX}};

	for (auto &v : odd) {
		Net net;
		struct msg_conf_summary summary = {};
		struct msg_object o = {};
		struct msg m = {};

		net.add("p");
		struct conf *c = net.peers["p"].conf;
		conf_note_epoch(c, 1);
		offer(c, {"service/a", first(70), 'g'});
		summary.floor = v.first;
		summary.epoch = v.second;
		sync_compare(&net.peers["p"].sync, STR_LIT("older"), &summary);
		o.key = STR_LIT("service/b");
		o.version = v.first;
		o.epoch = v.second;
		o.deleted = true;
		m.kind = MSG_OBJECTS;
		m.from = STR_LIT("older");
		m.u.objects.objects = {&o, 1};
		sync_on_message(&net.peers["p"].sync, &m);
		EXPECT_EQ(1u, conf_epoch(c)) << v.first << " " << v.second;
		EXPECT_EQ(0u, conf_floor(c));
		EXPECT_EQ(std::to_string(first(70)), state(c, "service/a"));
	}
}

/* What is nested deeply, or states more elements than it has, is malformed. */
TEST(Sync, AnOddMessageIsMalformed)
{
	for (std::string bytes :
	    {std::string(1000000, '\x91'), std::string(1000000, '\x81'),
		std::string("\xdd\xff\xff\xff\xff"),
		std::string("\x93\x01\xa1x\xdd\xff\xff\xff\xff"),
		std::string("\x93\x01\xdb\xff\xff\xff\xff"),
		std::string("\xdf\xff\xff\xff\xff"), std::string("\xc1")}) {
		struct msg m;

		EXPECT_FALSE(
		    msg_decode(bytes.data(), bytes.size(), &m, nullptr));
	}
}

/* Its floor deletes nothing that is of a later epoch. */
TEST(Sync, SummariesOfAnOlderBuildAreOfTheFirstEpoch)
{
	const enum msg_kind kinds[] = {
	    MSG_ANNOUNCEMENT, MSG_HEARTBEAT, MSG_GATE_STATUS};

	for (auto kind : kinds) {
		struct msg m = {}, decoded;
		struct msg_conf_summary *sent = kind == MSG_ANNOUNCEMENT
		    ? &m.u.announcement.conf_summary
		    : kind == MSG_HEARTBEAT ? &m.u.heartbeat.conf_summary
					    : &m.u.gate_status.conf_summary;
		const struct msg_conf_summary *got = kind == MSG_ANNOUNCEMENT
		    ? &decoded.u.announcement.conf_summary
		    : kind == MSG_HEARTBEAT
		    ? &decoded.u.heartbeat.conf_summary
		    : &decoded.u.gate_status.conf_summary;
		std::string text;
		Net net;

		m.kind = kind;
		m.from = STR_LIT("older");
		sent->floor = 76;
		sent->epoch = 9;
		text = encode_without_epochs(m, 0);
		ASSERT_TRUE(
		    msg_decode(text.data(), text.size(), &decoded, nullptr));
		EXPECT_EQ(76u, got->floor);
		EXPECT_EQ(0u, got->epoch);
		net.add("p");
		struct conf *c = net.peers["p"].conf;
		struct msg_conf_summary summary = *got;
		conf_note_epoch(c, 1);
		offer(c, {"service/a", second(75), 'g'});
		summary.digest = conf_digest(c);
		summary.rules_digest = conf_digest_of(c, CONF_RULES);
		sync_compare(&net.peers["p"].sync, STR_LIT("older"), &summary);
		EXPECT_EQ(first(76), conf_floor(c));
		EXPECT_EQ(std::to_string(second(75)), state(c, "service/a"));
		msg_release(&decoded);
	}
}

/*
 * A box that stores rules only counts as equal to one that stores all objects
 * once their rules are equal.  The revision up to which its rules are complete
 * must not be applied to backend servers.
 */
TEST(Sync, APeerWithRulesOnlyIsSentNoBackendServers)
{
	Net net;

	net.add("all");
	net.add("rules");
	net.peers["rules"].sync.rules_only = true;
	struct conf *all = net.peers["all"].conf;
	struct conf *rules = net.peers["rules"].conf;
	offer(all, {"service/s", 1, 'g'});
	for (uint64_t i = 0; i < 40; i++)
		offer(all, {"backend/b" + std::to_string(i), 2 + i, 'g'});
	auto exchange = [&net] {
		for (int i = 0; i < 4; i++) {
			net.compare("all", "rules");
			net.compare("rules", "all");
			while (!net.in_transit.empty())
				net.deliver(false);
		}
	};
	exchange();
	EXPECT_EQ("1", state(rules, "service/s"));
	EXPECT_EQ(1u, conf_count(rules));
	struct msg_conf_summary summary =
	    sync_conf_summary(&net.peers["all"].sync);
	EXPECT_TRUE(sync_is_equal(&net.peers["rules"].sync, &summary));
	net.sent = 0;
	exchange();
	EXPECT_EQ(0u, net.sent);
	/* Rules complete up to revision 100; a server of 90 is still new. */
	conf_raise_floor(rules, CONF_RULES, 100);
	exchange();
	EXPECT_EQ(100u, conf_floor_of(all, CONF_RULES));
	EXPECT_EQ(0u, conf_floor_of(all, CONF_BACKENDS));
	offer(all, {"backend/late", 90, 'g'});
	EXPECT_EQ("90", state(all, "backend/late"));
	/* Now it stores all objects; those it lacked count as no deletions. */
	net.peers["rules"].sync.rules_only = false;
	exchange();
	EXPECT_EQ(42u, conf_count(rules));
	EXPECT_EQ(conf_digest(all), conf_digest(rules));
}

TEST(Sync, TheExchangeIsProportionalToTheDifference)
{
	Net net;

	net.add("a");
	net.add("b");
	for (uint64_t v = 1; v <= 1000; v++)
		for (auto n : {"a", "b"})
			offer(net.peers[n].conf,
			    {"service/s" + std::to_string(v), v, 'g'});
	offer(net.peers["a"].conf, {"service/s500", 2000, 'g'});
	net.compare("b", "a");
	while (!net.in_transit.empty())
		net.deliver(false);
	EXPECT_EQ("2000", state(net.peers["b"].conf, "service/s500"));
	EXPECT_LE(net.sent, 4u);
}

namespace
{

void
count_change(void *ctx, const struct conf_entry *)
{
	++*static_cast<int *>(ctx);
}

/* Records how many objects each sent message has. */
void
record_object_count(void *ctx, struct str, const struct msg *m)
{
	static_cast<std::vector<size_t> *>(ctx)->push_back(
	    m->u.objects.objects.n);
}

} // namespace

TEST(Conf, EachListenerIsCalledOnAChange)
{
	int first = 0, second = 0;
	struct conf *c = conf_new(count_change, &first);

	conf_add_listener(c, count_change, &second);
	offer(c, {"service/s1", 1, 'g'});
	offer(c, {"service/s1", 1, 'g'});
	EXPECT_EQ(1, first);
	EXPECT_EQ(1, second);
	conf_free(c);
}

TEST(Sync, ManyObjectsAreSentInFewMessages)
{
	std::vector<size_t> sent;
	struct conf *c = conf_new(nullptr, nullptr);
	struct sync s = {c, record_object_count, &sent, false, 0, nullptr, 0};
	struct sync_pack *pack = sync_pack_new();

	sync_pack_send(&s, pack, STR_LIT("p1"));
	EXPECT_TRUE(sent.empty());
	for (int i = 0; i < 300; i++) {
		std::string key = "service/s" + std::to_string(i);

		offer(c, {key, static_cast<uint64_t>(i + 1), 'g'});
		sync_pack_add(pack, conf_get(c, view(key)));
	}
	sync_pack_send(&s, pack, STR_LIT("p1"));
	EXPECT_EQ((std::vector<size_t>{128, 128, 44}), sent);
	sync_pack_free(pack);
	conf_free(c);
}

/*
 * An object without a spec is rejected, and told to others as such; its text
 * was taken for one of a table, which ended the process.
 */
TEST(Sync, AnObjectWhoseSpecIsNoTableIsSent)
{
	for (json_t *spec : {json_null(), json_true(), json_integer(7),
		 json_string("x"), json_array()}) {
		std::vector<size_t> sent;
		struct conf *c = conf_new(nullptr, nullptr);
		struct sync s = {
		    c, record_object_count, &sent, false, 0, nullptr, 0};
		struct sync_pack *pack = sync_pack_new();
		struct conf_object o = {};
		struct msg_object m = {};
		GError *err = nullptr;
		json_t *restored;

		o.key = STR_LIT("service/s1");
		o.version = 1;
		o.spec = spec;
		EXPECT_EQ(CONF_REJECTED,
		    conf_offer(c, &o, STR_LIT("platform"), &err));
		g_clear_error(&err);
		sync_pack_add(pack, conf_get(c, STR_LIT("service/s1")));
		sync_pack_send(&s, pack, STR_LIT("p1"));
		EXPECT_EQ((std::vector<size_t>{1}), sent);
		char *text = json_dumps(spec, JSON_COMPACT | JSON_ENCODE_ANY);
		m.spec = str_c(text);
		restored = sync_decode_spec(&m);
		EXPECT_TRUE(json_equal(spec, restored)) << text;
		json_decref(restored);
		free(text);
		sync_pack_free(pack);
		conf_free(c);
		json_decref(spec);
	}
}

/*
 * A large object is sent compressed.  The receiver restores it, and ignores it
 * when it is sent again.
 */
TEST(Sync, LargeObjectsAreCompressedAndRestored)
{
	Net net;
	json_t *labels = json_object();
	json_t *spec = json_pack("{s:s, s:s, s:i, s:o}", "address",
	    "127.0.0.1:80", "hall", "north", "slots", 3, "labels", labels);

	for (int i = 0; i < 400; i++)
		json_object_set_new(labels,
		    ("label" + std::to_string(i)).c_str(), json_string("yes"));
	for (auto n : {"p0", "p1"})
		net.add(n);
	auto &from = net.peers["p0"], &to = net.peers["p1"];
	struct conf_object object = {STR_LIT("backend/b1"), 7, 0, false, spec};
	EXPECT_EQ(CONF_APPLIED,
	    conf_offer(from.conf, &object, STR_LIT("platform"), nullptr));
	json_decref(spec);
	struct sync_pack *pack = sync_pack_new();
	size_t text = json_dumpb(
	    conf_get(from.conf, STR_LIT("backend/b1"))->spec, nullptr, 0, 0);
	size_t bytes =
	    sync_pack_add(pack, conf_get(from.conf, STR_LIT("backend/b1")));
	EXPECT_LT(bytes, text / 3);
	for (int i = 0; i < 2; i++) {
		sync_pack_send(&from.sync, pack, STR_LIT("p1"));
		net.deliver(false);
		EXPECT_EQ(conf_digest(from.conf), conf_digest(to.conf));
		EXPECT_EQ(1u, conf_count(to.conf));
	}
	sync_pack_free(pack);
}

namespace
{

struct timespec
time_of(void *ctx)
{
	return *static_cast<struct timespec *>(ctx);
}

} // namespace

/*
 * The age of a box's last confirmation by the platform is valid for each box
 * with equal rules.
 */
TEST(Sync, TheAgeOfAConfirmationIsSharedByEqualRules)
{
	struct timespec now = {1000, 0};
	struct clk clk = {time_of, time_of, &now};
	struct conf *a = conf_new(nullptr, nullptr);
	struct conf *b = conf_new(nullptr, nullptr);
	struct sync confirmed = {a, nullptr, nullptr, false, 0, &clk, 0};
	struct sync receiver = {b, nullptr, nullptr, true, 0, &clk, 0};
	struct msg_conf_summary summary = sync_conf_summary(&confirmed);

	offer(a, {"service/s1", 1, 'g'});
	/* No box has a confirmation yet. */
	sync_confirm_from_peer(&receiver, &summary);
	EXPECT_EQ(-1, sync_age_ms(&confirmed));
	EXPECT_EQ(-1, sync_age_ms(&receiver));
	sync_confirm(&confirmed);
	now.tv_sec += 2;
	/* The rules differ, so the peer's confirmation does not count. */
	summary = sync_conf_summary(&confirmed);
	sync_confirm_from_peer(&receiver, &summary);
	EXPECT_EQ(-1, sync_age_ms(&receiver));
	offer(b, {"service/s1", 1, 'g'});
	offer(b, {"backend/b1", 2, 'g'});
	sync_confirm_from_peer(&receiver, &summary);
	EXPECT_EQ(2000, sync_age_ms(&receiver));
	/* An older confirmation does not replace a newer one. */
	now.tv_sec += 1;
	sync_confirm(&receiver);
	sync_confirm_from_peer(&receiver, &summary);
	EXPECT_EQ(0, sync_age_ms(&receiver));
	summary.confirmed_age = UINT64_MAX;
	sync_confirm_from_peer(&receiver, &summary);
	EXPECT_EQ(0, sync_age_ms(&receiver));
	conf_free(a);
	conf_free(b);
}

namespace
{

/* Offers a service with a label, at a revision of an epoch. */
void
offer_label(struct conf *c, uint64_t epoch, uint64_t revision, uint64_t serial,
    const char *spec)
{
	json_t *json = json_loads(spec, 0, nullptr);
	struct conf_object o = {STR_LIT("service/a"),
	    version_make(epoch, revision), serial, json == nullptr, json};

	conf_offer(c, &o, STR_LIT("t"), nullptr);
	json_decref(json);
}

void
ignore_restore(void *, uint64_t)
{
}

/* A configuration that keeps what a restore may have lost. */
struct conf *
conf_that_restores()
{
	struct conf *c = conf_new(nullptr, nullptr);

	conf_on_restore(c, ignore_restore, nullptr);
	return c;
}

const char *const OLD = R"({"select":"app=old"})";
const char *const NEW = R"({"select":"app=new"})";

} // namespace

/* A version that equals the one in force is as new as its own epoch. */
TEST(ConfRestore, ContentsWrittenAgainAreNotReplacedByOlderOnesOfTheEpoch)
{
	struct conf *c = conf_that_restores();
	const struct conf_entry *e;

	offer_label(c, 1, 76, 0, NEW);
	offer_label(c, 2, 74, 0, OLD); /* held back */
	offer_label(c, 2, 76, 0, NEW); /* written again at the same revision */
	conf_end_restore(c);
	offer_label(c, 2, 74, 0, OLD); /* from a peer that is behind */
	e = conf_get(c, STR_LIT("service/a"));
	EXPECT_STREQ(
	    "app=new", json_string_value(json_object_get(e->spec, "select")));
	conf_free(c);
}

/* A lost object that was written again is not deleted by the earlier list. */
TEST(ConfRestore, AnObjectThatWasWrittenAgainIsNotDeletedAsOfAnEarlierList)
{
	struct conf *c = conf_that_restores();

	offer_label(c, 1, 76, 0, NEW);
	offer_label(c, 2, 74, 0, NEW); /* written again after a list at 73 */
	conf_end_restore(c);
	offer_label(c, 2, 73, 0, ""); /* the held deletion of that list */
	EXPECT_FALSE(conf_get(c, STR_LIT("service/a"))->deleted);
	conf_free(c);
}

/*
 * Other objects have been written since the restore, so that the revision is
 * above that of the lost one.
 */
TEST(ConfRestore, AnObjectThatAListLacksIsKeptWhateverTheRevisionOfTheList)
{
	struct conf *c = conf_that_restores();
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

	offer_label(c, 1, 75, 0, NEW);
	conf_apply_list_of_kinds(c, ~0u, version_make(2, 77), keys);
	EXPECT_FALSE(conf_get(c, STR_LIT("service/a"))->deleted);
	g_hash_table_destroy(keys);
	conf_free(c);
}

/* A box that has just started knows the restored platform only. */
TEST(ConfRestore, AStartingPeerDoesNotDeleteWhatIsKept)
{
	for (uint64_t revision : {73, 77}) {
		Net net;
		GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

		net.add("old");
		net.add("fresh");
		conf_on_restore(net.peers["old"].conf, ignore_restore, nullptr);
		offer_label(net.peers["old"].conf, 1, 75, 0, NEW);
		conf_apply_list(
		    net.peers["fresh"].conf, version_make(2, revision), keys);
		for (int k = 0; k < 4; k++) {
			net.compare("old", "fresh");
			net.compare("fresh", "old");
			while (!net.in_transit.empty())
				net.deliver(false);
		}
		EXPECT_FALSE(
		    conf_get(net.peers["old"].conf, STR_LIT("service/a"))
			->deleted)
		    << revision;
		g_hash_table_destroy(keys);
	}
}

/*
 * One box gets the older contents from the platform, the other gets the entry
 * from this box; both had rejected a later version.
 */
TEST(ConfRestore, PeersWithARejectedVersionAreEqualAfterARestore)
{
	Net net;

	for (auto n : {"p0", "p1"}) {
		net.add(n);
		offer_label(net.peers[n].conf, 1, 76, 60, NEW);
		offer_label(net.peers[n].conf, 1, 78, 62, INVALID);
	}
	offer_label(net.peers["p0"].conf, 2, 73, 58, OLD);
	for (int k = 0; k < 10; k++) {
		net.compare("p0", "p1");
		net.compare("p1", "p0");
		while (!net.in_transit.empty())
			net.deliver(false);
	}
	EXPECT_EQ(conf_digest(net.peers["p0"].conf),
	    conf_digest(net.peers["p1"].conf));
	net.sent = 0;
	net.compare("p0", "p1");
	while (!net.in_transit.empty())
		net.deliver(false);
	EXPECT_EQ(0u, net.sent);
}

/*
 * The platform may tell of a NUL in a string.  Peers could not read what they
 * were sent, had other digests for it and exchanged it without end.
 */
TEST(Sync, PeersWithANulInAStringBecomeEqual)
{
	Net net;
	const std::string texts[] = {R"({"path":"/a","service":"s"})",
	    R"({"path":"/a\u0000b","service":"s"})"};
	uint64_t version = 70;

	for (auto n : {"p0", "p1"})
		net.add(n);
	for (auto &text : texts) {
		json_t *spec = json_loadb(
		    text.data(), text.size(), JSON_ALLOW_NUL, nullptr);
		struct conf_object o = {
		    STR_LIT("rule/r"), ++version, 0, false, spec};

		conf_offer(
		    net.peers["p0"].conf, &o, STR_LIT("platform"), nullptr);
		json_decref(spec);
	}
	for (int k = 0; k < 3; k++) {
		net.compare("p0", "p1");
		net.compare("p1", "p0");
		while (!net.in_transit.empty())
			net.deliver(false);
	}
	const struct conf_entry *e =
	    conf_get(net.peers["p1"].conf, STR_LIT("rule/r"));
	ASSERT_NE(nullptr, e);
	EXPECT_EQ(71u, e->version);
	EXPECT_EQ(72u, e->rejected_version);
	EXPECT_EQ(conf_digest(net.peers["p0"].conf),
	    conf_digest(net.peers["p1"].conf));
	net.sent = 0;
	net.compare("p0", "p1");
	while (!net.in_transit.empty())
		net.deliver(false);
	EXPECT_EQ(0u, net.sent);
}

namespace
{

/*
 * Two peers deleted the same servers below their floors, and live ones differ.
 * Returns the bytes that a comparison takes.
 */
size_t
bytes_compared(uint64_t ndeleted, bool is_new, int nlive)
{
	Net net;
	size_t bytes = 0;

	for (auto n : {"a", "b"}) {
		net.add(n);
		if (is_new && strcmp(n, "b") == 0)
			continue;
		for (uint64_t v = 1; v <= ndeleted; v++)
			offer(net.peers[n].conf,
			    {"backend/b" + std::to_string(v), v, 'g'});
		for (uint64_t v = 1; v <= ndeleted; v++)
			offer(net.peers[n].conf,
			    {"backend/b" + std::to_string(v), 1000 + v, 'd'});
		for (int part = 0; part < CONF_PARTS; part++)
			conf_raise_floor(net.peers[n].conf,
			    static_cast<enum conf_part>(part), 2000);
	}
	for (int i = 0; i < nlive; i++)
		offer(net.peers["a"].conf,
		    {"backend/n" + std::to_string(i),
			static_cast<uint64_t>(2001 + i), 'g'});
	net.compare("b", "a");
	while (!net.in_transit.empty()) {
		bytes += net.in_transit.front().second.size();
		net.deliver(false);
	}
	EXPECT_EQ(
	    conf_digest(net.peers["a"].conf), conf_digest(net.peers["b"].conf));
	return bytes;
}

} // namespace

/* Deletions at or below the floor follow from it, and are not exchanged. */
TEST(Sync, DeletionsBelowTheFloorAreNotExchanged)
{
	EXPECT_EQ(bytes_compared(0, false, 1), bytes_compared(1000, false, 1));
	EXPECT_EQ(
	    bytes_compared(0, false, 100), bytes_compared(1000, false, 100));
	EXPECT_EQ(
	    bytes_compared(0, true, 100), bytes_compared(1000, true, 100));
}
