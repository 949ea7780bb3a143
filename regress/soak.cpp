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
 *
 *	soak MINUTES [SEED [responses]]
 *
 * With `responses`, half of the faults are responses that stop or drip after
 * their head or a part, and uploads go to servers some of which refuse them
 * early.  No box is frozen, so that each request must end soon after its
 * deadline, and early servers must get no bytes of other uploads.
 */
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <random>

#include "early.h"
#include "fleet.h"

namespace
{

constexpr int DEADLINE_MS = 1500, AFTER_DEADLINE_MS = 500;

struct Soak {
	Fleet &f;
	std::mt19937 rng;
	bool responses;
	std::map<std::string, int> faults;

	/* Breaks the responses of a backend server, and of a second one. */
	void break_responses()
	{
		const char *kinds[] = {"part=300", "part=50&pause=40",
		    "bare=1&part=300", "cut=200", "part=100&pause=200"};
		int ms = 50 + static_cast<int>(any(1500));
		size_t hit[] = {any(f.backends.size()), any(f.backends.size())};

		for (size_t b : hit) {
			const char *kind = kinds[any(5)];

			note(std::string("responses ") + kind);
			f.backends[b]->set(kind);
		}
		pump(ms);
		for (size_t b : hit)
			f.backends[b]->set("part=0&pause=0&bare=0&cut=0");
	}

	void any_fault()
	{
		if (responses && any(2) == 0)
			break_responses();
		else
			fault();
	}

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
			if (responses)
				break;
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

/* Keeps some uploads in flight through all boxes. */
struct Uploads {
	explicit Uploads(Fleet &fleet) : f(fleet)
	{
	}

	Fleet &f;
	bool stopped = false;
	int sent = 0, open = 0;
	std::map<int, int> statuses;

	void send()
	{
		const Box &b =
		    f.boxes[static_cast<size_t>(sent) % f.boxes.size()];

		sent++;
		open++;
		http_start("POST", b.listen, "/up/x",
		    {{"x-request-id", "up" + std::to_string(sent)}},
		    early::upload_body(sent), 10000, [this](const Reply &r) {
			    open--;
			    statuses[r.status]++;
			    if (!stopped)
				    send();
		    });
	}
};

} // namespace

int
main(int argc, char **argv)
{
	double minutes = argc > 1 ? atof(argv[1]) : 1;
	unsigned seed = argc > 2 ? static_cast<unsigned>(atol(argv[2]))
				 : static_cast<unsigned>(time(nullptr));
	bool responses = argc > 3 && std::string(argv[3]) == "responses";
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
	for (int i = 0; responses && i < 2; i++) {
		BackendOptions b;

		b.hall = i == 0 ? "north" : "south";
		b.app = "up";
		b.proxied = true;
		o.backends.push_back(b);
	}
	if (responses)
		o.gate_settings = "body_max = 4000000\n";
	Fleet f(o);
	std::vector<std::unique_ptr<early::Server>> servers;
	std::string deadline = responses
	    ? R"(,"deadline_ms":)" + std::to_string(DEADLINE_MS) + "}"
	    : "}";
	f.start();
	f.put("service/dir", R"({"select":"app=dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir")" + deadline);
	f.put("rule/pay",
	    R"({"path":"/pay","service":"dir","repeatable":"no")" + deadline);
	f.put("rule/bulk",
	    R"({"path":"/bulk","service":"dir","class":"bulk")" + deadline);
	for (int i = 0; responses && i < 2; i++) {
		std::string at = f.ip(230 + i) + ":9100";

		servers.push_back(
		    std::make_unique<early::Server>(at, early::REFUSAL));
		f.put("backend/early" + std::to_string(i),
		    R"({"address":")" + at + R"(","hall":")" +
			(i == 0 ? "north" : "south") +
			R"(","slots":3,"labels":{"app":"up"}})");
	}
	if (responses) {
		f.put("service/up", R"({"select":"app=up"})");
		f.put("rule/up",
		    R"({"path":"/up","service":"up","repeatable":"yes")" +
			deadline);
	}
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
	Soak soak{f, std::mt19937(seed), responses, {}};
	Uploads uploads(f);
	load.start();
	for (int i = 0; responses && i < 4; i++)
		uploads.send();
	double end = now_ms() + minutes * 60000;
	while (now_ms() < end) {
		soak.any_fault();
		pump(100 + static_cast<int>(soak.any(400)));
	}
	load.stop();
	uploads.stopped = true;
	bool ended =
	    until([&] { return load.drained() && uploads.open == 0; }, 60000);
	auto bad = violations(load.outcomes, f.runs());
	for (auto &r : load.outcomes)
		if (responses && r.latency_ms > DEADLINE_MS + AFTER_DEADLINE_MS)
			bad.push_back(r.id + " ended after " +
			    std::to_string(r.latency_ms) + " ms");
	for (auto &s : servers) {
		printf("early    refused %d, other bytes %d\n",
		    s->answered.load(), s->other_bytes.load());
		if (s->other_bytes > 0)
			bad.push_back("bytes of other uploads");
	}
	for (auto &s : uploads.statuses)
		printf("uploads  %d: %d\n", s.first, s.second);
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
