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
 * Uploads that a backend server answers before it has read them.  It then reads
 * on, and must get the bytes of that upload or the end of its connection.
 */
#include <gtest/gtest.h>

#include "early.h"
#include "fleet.h"

namespace
{

/*
 * Sends uploads of different letters through two boxes, three at a time.
 * Returns how many got each status; 0: refused and not run.
 */
std::map<int, int>
upload(Fleet &f, int count)
{
	std::map<int, int> statuses;
	int sent = 0, open = 0;

	while (sent < count || open > 0) {
		while (sent < count && open < 3) {
			const Box &b =
			    f.boxes[static_cast<size_t>(sent) % f.boxes.size()];

			sent++;
			open++;
			http_start("POST", b.listen, "/dir/x",
			    {{"x-request-id", "u" + std::to_string(sent)}},
			    early::upload_body(sent), 5000,
			    [&](const Reply &r) {
				    statuses[r.not_run() ? 0 : r.status]++;
				    open--;
			    });
		}
		pump(5);
	}
	return statuses;
}

struct World : Fleet {
	explicit World(const std::string &settings = "")
	    : Fleet(options_of(settings))
	{
		start();
		put("service/dir", R"({"select":"app=dir"})");
		put("rule/dir",
		    R"({"path":"/dir","service":"dir","repeatable":"yes"})");
		EXPECT_TRUE(wait_ready());
		EXPECT_TRUE(until([&] { return in_force(3); }));
		for (int i = 0; i < 20; i++)
			http("POST", boxes[0].listen, "/dir/x", {}, "body");
		early_address = ip(230) + ":9100";
	}

	static FleetOptions options_of(const std::string &settings)
	{
		FleetOptions o;

		o.backends = {BackendOptions()};
		o.gate_settings = "body_max = 4000000\n" + settings;
		return o;
	}

	void add_early()
	{
		put("backend/early",
		    R"({"address":")" + early_address +
			R"(","hall":"north","slots":3,)"
			R"("labels":{"app":"dir"}})");
		EXPECT_TRUE(until([&] { return in_force(4); }));
	}

	std::string early_address;
};

} // namespace

/* A server that refuses an upload early got bytes of other callers' uploads. */
TEST(Upload, AServerThatRefusesEarlyGetsNoBytesOfOthers)
{
	World w;
	early::Server server(w.early_address, early::REFUSAL);

	w.add_early();
	std::map<int, int> statuses = upload(w, 60);
	EXPECT_GT(server.answered, 0);
	EXPECT_EQ(0, server.other_bytes);
	EXPECT_EQ(60, statuses[200] + statuses[0]);
	EXPECT_GT(statuses[200], statuses[0]);
}

/* One box, which owns the shard, held the bodies of all without a bound. */
TEST(Upload, BodiesBeyondTheRoomOfABoxAreRefusedAsNotRun)
{
	World w("bodies_max = 4000000\n");

	w.backends[0]->set("ms=200");
	std::map<int, int> statuses = upload(w, 12);
	EXPECT_EQ(12, statuses[200] + statuses[0]);
	EXPECT_GT(statuses[200], 0);
	EXPECT_GT(statuses[0], 0);
	for (size_t i = 0; i < w.boxes.size(); i++)
		EXPECT_TRUE(until([&] {
			return w.metric(i, "fern_body_bytes") == 0;
		})) << i;
}
