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
 * Demonstrates the main functions in a minute: three boxes, ten backend
 * servers and traffic, with a rule added and a backend server drained at run
 * time: make demo.
 */
#include <cstdio>
#include <fstream>
#include <map>
#include <unistd.h>

#include "fleet.h"

namespace
{

int failures;

void
say(bool ok, const char *what)
{
	printf("%-6s %s\n", ok ? "ok" : "FAILED", what);
	failures += !ok;
}

void
report(const Load &load, double from, double to, const char *what)
{
	auto v = load.latencies(0, from, to);

	printf("       %s: %zu calls, p50 %.1f ms, p99 %.1f ms, worst %.1f "
	       "ms\n",
	    what, v.size(), Load::percentile(v, 50), Load::percentile(v, 99),
	    v.empty() ? 0 : v.back());
}

} // namespace

int
main()
{
	FleetOptions o;
	std::string out;

	setvbuf(stdout, nullptr, _IOLBF, 0);
	o.boxes = 3;
	o.halls = {"north", "south"};
	o.quiet = false;
	o.gate_settings = "leave_wait_ms = 500\n";
	for (int i = 0; i < 10; i++) {
		BackendOptions b;

		b.hall = i % 2 == 0 ? "north" : "south";
		b.keys = "ms=10 spread=1 spell_every=4000 spell_ms=300";
		o.backends.push_back(b);
	}
	printf("Three boxes, ten backend servers with three slots each, in two "
	       "halls.\n");
	Fleet f(o);
	f.start();
	std::string file = f.dir + "/ctl.log";
	std::ofstream(file)
	    << "[[service]]\nname = \"directory\"\nselect = \"app=dir\"\n"
	       "[[rule]]\nname = \"directory\"\npath = \"/dir\"\n"
	       "service = \"directory\"\n";
	say(f.ctl({"apply", file}, &out) == 0, "fernctl apply");
	say(f.wait_ready() && until([&] { return f.in_force(12); }),
	    "all boxes ready, configuration in force");
	Stream read, pay;
	read.rate = 400;
	pay.rate = 50;
	pay.method = "POST";
	pay.keyed = true;
	Load load({f.boxes[0].listen, f.boxes[1].listen, f.boxes[2].listen},
	    {read, pay}, 1);
	/* The platform's load balancer skips boxes that are not ready. */
	std::vector<bool> in(3, true);
	load.target_up = [&](size_t i) {
		return in[i];
	};
	load.start();
	double t0 = now_ms();
	pump(4000);
	double t1 = now_ms();
	std::ofstream(file) << "[[rule]]\nname = \"events\"\npath = "
			       "\"/events\"\nservice = \"directory\"\n";
	say(f.ctl({"apply", file}, &out) == 0, "a rule added under load");
	double began = now_ms();
	bool there = until([&] {
		for (auto &b : f.boxes)
			if (http("GET", b.listen, "/events/x").status != 200)
				return false;
		return true;
	});
	printf(
	    "       in force on all boxes after %.0f ms\n", now_ms() - began);
	say(there, "the new rule answers on each box");
	say(f.ctl({"drain", "b3"}, &out) == 0, "a backend server drained");
	pump(3000);
	long before = f.backends[3]->count("ran");
	pump(2000);
	say(f.backends[3]->count("ran") == before,
	    "it gets nothing new once three seconds have passed");
	double t2 = now_ms();
	f.boxes[1].gate.kill9();
	until([&] { return !f.ready(1); });
	in[1] = false;
	pump(3000);
	double t3 = now_ms();
	load.stop();
	say(until([&] { return load.drained(); }), "all calls have ended");
	report(load, t0, t1, "calm");
	report(load, t1, t2, "while the rule and the drain came");
	report(load, t2, t3, "after one box was killed");
	std::map<std::string, int> kinds;
	int good = 0;
	for (auto &r : load.outcomes) {
		good += r.right;
		if (!r.right)
			kinds[r.status == 0 ? "no answer from the killed box"
					    : r.kind]++;
	}
	printf("       %d of %zu calls answered right\n", good,
	    load.outcomes.size());
	for (auto &k : kinds)
		printf("       %d: %s\n", k.second, k.first.c_str());
	auto bad = violations(load.outcomes, f.runs());
	for (auto &v : bad)
		printf("       %s\n", v.c_str());
	say(bad.empty(),
	    "no answer mixed up, nothing run twice, no \"not "
	    "run\" that ran");
	f.ctl({"status"}, &out);
	printf("\n%s", out.c_str());
	printf("\n%s\n",
	    failures == 0 ? "The demonstration went well."
			  : "The demonstration failed.");
	return failures != 0;
}
