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
 * Injects random faults under a mixed load for some minutes, from a printed
 * seed: make soak MINUTES=n.  Prints counts of requests, faults and violations
 * at the end.
 */
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <random>

#include "fleet.h"

namespace
{

struct Soak {
	Fleet &f;
	std::mt19937 rng;
	std::map<std::string, int> faults;

	size_t any(size_t n)
	{
		return rng() % n;
	}

	void fault()
	{
		size_t box = any(f.boxes.size());
		size_t b = any(f.backends.size());
		int ms = 50 + static_cast<int>(any(900));

		switch (any(10)) {
		case 0:
			note("gate killed");
			f.boxes[box].gate.kill9();
			pump(ms);
			break;
		case 1:
			note("agent killed");
			f.boxes[box].agent_process.kill9();
			pump(ms);
			break;
		case 2:
			note("backend server killed");
			f.backends[b]->process.kill9();
			pump(ms);
			f.backends[b]->process.start();
			break;
		case 3:
			note("gate frozen");
			f.boxes[box].gate.signal(SIGSTOP);
			pump(ms * 2);
			f.boxes[box].gate.signal(SIGCONT);
			break;
		case 4:
			note("agent frozen");
			f.boxes[box].agent_process.signal(SIGSTOP);
			pump(ms * 3);
			f.boxes[box].agent_process.signal(SIGCONT);
			break;
		case 5:
			note("backend server frozen");
			f.backends[b]->process.signal(SIGSTOP);
			pump(ms * 2);
			f.backends[b]->process.signal(SIGCONT);
			break;
		case 6: {
			const char *modes[] = {"mode=cut", "mode=blackhole",
			    "mode=freeze", "mode=drop_answers",
			    "mode=truncate&bytes=700", "delay_ms=30"};
			const char *mode = modes[any(6)];

			note(std::string("network ") + mode);
			f.backends[b]->proxy->set(mode);
			pump(ms);
			f.backends[b]->proxy->set("mode=pass&delay_ms=0");
			break;
		}
		case 7: {
			const char *modes[] = {
			    "down", "lost", "hang", "up&slow_ms=300"};
			const char *mode = modes[any(4)];

			note(std::string("platform ") + mode);
			f.set_platform(std::string("mode=") + mode);
			pump(ms);
			f.set_platform("mode=up&slow_ms=0");
			break;
		}
		case 8:
			note("pass network cut");
			f.boxes[box].pass_proxy->set("mode=cut");
			pump(ms);
			f.boxes[box].pass_proxy->set("mode=pass");
			break;
		default:
			note("drain and undrain");
			f.backends[b]->set("drain=1");
			pump(ms);
			f.backends[b]->set("drain=0");
			break;
		}
		for (size_t i = 0; i < f.boxes.size(); i++)
			f.start_box(i);
	}

	void note(const std::string &what)
	{
		faults[what]++;
	}
};

} // namespace

int
main(int argc, char **argv)
{
	double minutes = argc > 1 ? atof(argv[1]) : 1;
	unsigned seed = argc > 2 ? static_cast<unsigned>(atol(argv[2]))
				 : static_cast<unsigned>(time(nullptr));
	FleetOptions o;

	setvbuf(stdout, nullptr, _IOLBF, 0);
	printf("seed %u, %.1f minutes\n", seed, minutes);
	o.boxes = 4;
	o.halls = {"north", "south"};
	o.pass_proxied = true;
	o.agent_settings = "list_ms = 3000\n";
	for (int i = 0; i < 6; i++) {
		BackendOptions b;

		b.hall = i % 2 == 0 ? "north" : "south";
		b.keys = "ms=8 spread=1";
		b.proxied = true;
		o.backends.push_back(b);
	}
	Fleet f(o);
	f.start();
	f.put("service/dir", R"({"select":"app=dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
	f.put(
	    "rule/pay", R"({"path":"/pay","service":"dir","repeatable":"no"})");
	f.put(
	    "rule/bulk", R"({"path":"/bulk","service":"dir","class":"bulk"})");
	if (!f.wait_ready())
		return 1;
	Stream read, pay, keyed, bulk;
	read.rate = 150;
	pay.rate = keyed.rate = 30;
	pay.method = keyed.method = "POST";
	pay.path = keyed.path = "/pay/x";
	keyed.keyed = true;
	bulk.rate = 10;
	bulk.path = "/bulk/x";
	bulk.size = 300000;
	bulk.cls = 1;
	std::vector<std::string> doors;
	for (auto &b : f.boxes)
		doors.push_back(b.listen);
	Load load(doors, {read, pay, keyed, bulk}, seed);
	Soak soak{f, std::mt19937(seed), {}};
	load.start();
	double end = now_ms() + minutes * 60000;
	while (now_ms() < end) {
		soak.fault();
		pump(100 + static_cast<int>(soak.any(400)));
	}
	load.stop();
	bool ended = until([&] { return load.drained(); }, 60000);
	auto bad = violations(load.outcomes, f.runs());
	std::map<std::string, int> results;
	for (auto &r : load.outcomes)
		results[r.right		  ? "right"
			: r.status == 0	  ? "no answer"
			: r.status == 200 ? "broken off, told so"
					  : r.kind + ", ran " + r.ran]++;
	int faults = 0;
	for (auto &x : soak.faults) {
		printf("fault    %-36s %d\n", x.first.c_str(), x.second);
		faults += x.second;
	}
	for (auto &x : results)
		printf("result   %-36s %d\n", x.first.c_str(), x.second);
	for (auto &v : bad)
		printf("VIOLATION %s\n", v.c_str());
	printf("seed %u: %zu requests, %d faults, %zu violations%s\n", seed,
	    load.outcomes.size(), faults, bad.size(),
	    ended ? "" : ", and some request never ended");
	return !bad.empty() || !ended;
}
