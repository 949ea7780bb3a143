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

namespace
{

/*
 * Two boxes of one hall, one of which owns the shard.  The service allows less
 * time by default than the rule.
 */
struct World : Fleet {
	static FleetOptions options_of()
	{
		FleetOptions o;

		o.boxes = 2;
		o.backends = {BackendOptions()};
		o.gate_settings = "leave_wait_ms = 200\n";
		return o;
	}

	World() : Fleet(options_of())
	{
	}

	bool open()
	{
		start();
		put("service/dir", R"({"select":"app=dir","deadline_ms":300})");
		put("rule/dir",
		    R"({"path":"/dir","service":"dir","deadline_ms":3000,
			"repeatable":"no"})");
		return wait_ready() && until([&] { return in_force(3); });
	}
};

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
