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
 * Load at its worst, in virtual time: one service whose backend servers stand
 * in several halls, the real dispatcher at each hall's home, arrivals by
 * Poisson, callers that come back as the users' do, backend servers that slow
 * when full and have slow spells.  The same arrivals meet a reference beside
 * it: one dispatcher that knows all slots and each server's pace at each
 * moment, without any delay, and serves what is worth most.
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

/* Requests that take alike and want their answer in the same time. */
struct Kind {
	std::string name;
	double share; /* of all requests */
	double work_ms;
	int64_t target_ms, deadline_ms;
	int rank; /* the lower, the more urgent */
	double worth;
	bool repeatable;
};

/* Something that happens for a while. */
struct Event {
	enum What {
		SURGE, /* x times the requests, in one hall or all (-1) */
		SLOW, /* a share of the servers is x times slower */
		GONE, /* a share of the servers leaves for good, told */
		SILENT, /* the same, and nothing answers: tries hang */
		REFUSE, /* all turn a share x away, with room or without */
		CRASH, /* a share is down, untold, for a while */
		COLD, /* a share is replaced one by one, new ones slow at first
		       */
		EVACUATE, /* a hall gets nothing; x 2: it is cold at the end */
		RETURN, /* all servers are down, and cold at its end */
		MOVE, /* the homes change, each new one knows nothing */
		DARK, /* all homes are lost, and back at its end */
		REPEAT, /* a share of the callers sends x times as much, at once
			 */
		LEAVE /* a share of the callers leaves after half its target */
	} what;
	int64_t from_ms, to_ms;
	double x = 1, share = 1;
	int hall = -1;
};

struct Pattern {
	std::string name;
	std::vector<Event> events;
	double load = 0.45; /* of what two thirds of the slots do, all well */
	bool tells = true;
	double knee = 1.7; /* how much slower beyond four fifths of the slots */
	bool queues = true; /* a full server queues; else it breaks off */
	int64_t length_ms = 14000;
	double cold_rate = 0; /* requests a second to a cold server; 0: any */
	/*
	 * How far the product may be from the reference.  Where the servers
	 * cannot do all, the reference takes the short requests: it knows them.
	 */
	double far = 0.08;
};

struct Setting {
	int halls = 3, servers = 16, slots = 3; /* servers of each hall */
	double spells = 0.25; /* share of time that a server is in one */
	double spell_x = 5;
	int64_t spell_ms = 150;
	std::vector<Kind> kinds;
	uint64_t seed = 1;
};

/* What became of the requests of one kind, by their first attempts. */
struct Count {
	int asked = 0, in_time = 0, late = 0, unserved = 0;
	int refused = 0; /* attempts that were turned away */
	double refused_ms = 0; /* when, since they came, in all */
	double waited_ms = 0; /* the longest of an unserved request's waits */

	void add(const Count &);
};

struct Result {
	std::map<std::string, Count> kinds;
	std::map<int64_t, double> seconds; /* share in time, by second */
	double worth = 0; /* earned of what was owed, late answers a tenth */
	double in_time = 0; /* share of all */
	int worst_cold = 0; /* requests in a second that a cold server got */
	int fell_over = 0; /* cold servers that got too many */
	int sent_evacuated = 0; /* tries begun in an evacuated hall */

	/* Seconds after a moment until nine in ten are in time again. */
	int recovers_after(int64_t ms) const;
};

/* The dispatchers of the product. */
Result run(const Setting &, const Pattern &);

/* One dispatcher that knows all. */
Result reference(const Setting &, const Pattern &);

/* A service of three kinds, sized as a user's, and one of a single kind. */
Setting three_kinds(uint64_t seed);
Setting one_kind(uint64_t seed);
/* Two slots a server and little time: a kind that must not repeat, and one. */
Setting two_slots(uint64_t seed);

/* The patterns that the table has. */
const std::vector<Pattern> &patterns();

} // namespace load

#endif
