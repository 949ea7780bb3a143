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
#ifndef LOAD_H
#define LOAD_H

/*
 * Simulates difficult load patterns in virtual time: one service with backend
 * servers in several halls and the real dispatcher at each hall's owner.
 * Arrivals are a Poisson process, callers retry as the users' callers do, and
 * backend servers slow down when full and have slow periods.  The same arrivals
 * are also given to a reference: a single dispatcher that always knows all
 * slots and each server's latency factor without delay, and serves the most
 * valuable requests first.
 */
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "disp.h"
}

namespace load
{

/* A kind of requests with the same service time, target and deadline. */
struct Kind {
	std::string name;
	double share; /* of all requests */
	double work_ms;
	int64_t target_ms, deadline_ms;
	int rank; /* lower is more urgent */
	double worth;
	bool repeatable;
};

/* A disturbance that lasts for some time. */
struct Event {
	enum What {
		SURGE, /* x times the requests, in one hall or all (-1) */
		SLOW, /* a share of the servers is x times slower */
		GONE, /* a share of the servers leaves for good, announced */
		SILENT, /* a share is silent for a while: attempts hang */
		REFUSE, /* all refuse a share x, with free slots or without */
		CRASH, /* a share is down for a while, unannounced */
		COLD, /* a share is replaced one by one, new ones start slow */
		EVACUATE, /* a hall gets nothing; x 2: cold at the end */
		RETURN, /* all servers are down, and cold at the end */
		MOVE, /* owners change, new ones start without state */
		DARK, /* all owners are lost, and back at the end */
		REPEAT, /* a share of the callers sends x copies at once */
		LEAVE, /* a share of the callers leaves after half the target */
		EXCESS /* a customer sends x times its usual requests */
	} what;
	int64_t from_ms, to_ms;
	double x = 1, share = 1;
	int hall = -1;
	int customer = 0; /* of EXCESS: index in Setting::customers */
};

struct Pattern {
	std::string name;
	std::vector<Event> events;
	double load =
	    0.45; /* share of what two thirds of all slots can serve */
	bool tells = true; /* servers report their load in responses */
	double knee = 1.7; /* slowdown factor above 4/5 of the slots */
	bool queues = true; /* a full server queues; else it cuts requests */
	int64_t length_ms = 14000;
	double cold_rate = 0; /* requests/s to a cold server; 0: no limit */
	/*
	 * Allowed distance of the product from the reference.  Under overload
	 * the reference prefers short requests, as it knows their length.
	 */
	double far = 0.08;
};

struct Setting {
	int halls = 3, servers = 16, slots = 3; /* servers per hall */
	double spells = 0.25; /* share of time in a slow period */
	double spell_x = 5; /* slowdown factor in a slow period */
	int64_t spell_ms = 150; /* length of a slow period */
	std::vector<Kind> kinds;
	uint64_t seed = 1;
	std::vector<double> customers; /* shares of the requests; may be none */
	int retries = 2; /* by a caller */
};

/* Outcomes of the requests of one kind, counted by first attempts. */
struct Count {
	int asked = 0, in_time = 0, late = 0, unserved = 0;
	int refused = 0; /* refused attempts */
	double refused_ms = 0; /* sum of the times from arrival to refusal */
	double waited_ms = 0; /* longest wait of an unserved request */

	void add(const Count &);
};

struct Result {
	std::map<std::string, Count> kinds;
	std::map<int64_t, double> seconds; /* share served in time, by second */
	double worth = 0; /* share of the possible; late ones count a tenth */
	double in_time = 0; /* share of all */
	int worst_cold = 0; /* most requests in one second at a cold server */
	int fell_over = 0; /* cold servers that failed from overload */
	int sent_evacuated = 0; /* attempts started in an evacuated hall */
	/* By customer, of the requests that arrived during an EXCESS. */
	std::map<int, Count> customers;
	uint64_t trace = 0; /* hash of all decisions and their times */

	/* Seconds after `ms` until nine in ten requests are in time again. */
	int recovers_after(int64_t ms) const;
};

/* Simulates the product's dispatchers. */
Result run(const Setting &, const Pattern &);

/* Simulates the reference dispatcher, which has complete information. */
Result reference(const Setting &, const Pattern &);

/* A service of three kinds, of a realistic size, and one of a single kind. */
Setting three_kinds(uint64_t seed);
Setting one_kind(uint64_t seed);
/*
 * Two slots per server and short deadlines: one kind that must not be repeated
 * and one that may be.
 */
Setting two_slots(uint64_t seed);

/* All load patterns. */
const std::vector<Pattern> &patterns();

} // namespace load

#endif
