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
 * Tail latency of both users' fleets under each policy: make bench-tail.
 *
 *	bench_tail [RUNS [USER [POLICY [CASE]]]]
 *
 * naive: each box alone, round robin; alone: each box alone, by our policy;
 * home: requests go through their service's home; delayed: the same with
 * 1.5 ms each way on every pass between boxes, in the hall too, which is
 * more than halls cost; one: one box that sees all traffic.
 */
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>

#include "fleet.h"

namespace
{

struct Service {
	const char *name, *path, *method;
	int backends, ms, cls;
};

struct User {
	const char *name;
	std::vector<std::string> halls;
	std::vector<Service> services;
};

const std::vector<User> users = {
    {"alumnikrets", {"h1", "h2", "h3", "h4"},
	{{"dir", "/dir", "GET", 10, 20, 0},
	    {"ledger", "/ledger", "POST", 8, 30, 2},
	    {"events", "/events", "GET", 20, 20, 0}}},
    {"clydeport", {"h1", "h2", "h3"},
	{{"cat", "/cat", "GET", 7, 20, 0}, {"pay", "/pay", "POST", 6, 30, 2},
	    {"stock", "/stock", "GET", 14, 16, 0}}},
};

struct Policy {
	const char *name, *settings;
	int boxes;
	bool delayed;
};

const std::vector<Policy> policies = {
    {"naive", "policy = \"naive\"\nroute = \"alone\"\n", 15, false},
    {"alone", "route = \"alone\"\n", 15, false},
    {"home", "", 15, false},
    {"delayed", "", 15, true},
    {"one", "", 1, false},
};

/* Share of all slots that the traffic takes. */
const double UTILISATION = 0.5;
const int CASE_MS = 3000, SETTLE_MS = 700;

struct Bench {
	const User &user;
	const Policy &policy;
	std::unique_ptr<Fleet> f;
	std::vector<bool> in;

	Bench(const User &u, const Policy &p) : user(u), policy(p)
	{
	}

	void start()
	{
		FleetOptions o;

		o.boxes = policy.boxes;
		o.halls = user.halls;
		o.gate_settings = policy.settings;
		o.pass_proxied = policy.delayed;
		o.pass_delay_ms = 0;
		for (auto &s : user.services) {
			for (int i = 0; i < s.backends; i++) {
				BackendOptions b;

				b.name = s.name + std::to_string(i);
				b.app = s.name;
				b.hall = user.halls[static_cast<size_t>(i) %
				    user.halls.size()];
				b.keys = "spread=1 ms=" + std::to_string(s.ms);
				o.backends.push_back(b);
			}
		}
		f = std::make_unique<Fleet>(o);
		f->start();
		for (auto &s : user.services) {
			std::string n = s.name;

			f->put(
			    "service/" + n, "{\"select\":\"app=" + n + "\"}");
			f->put("rule/" + n,
			    std::string("{\"path\":\"") + s.path +
				"\",\"service\":\"" + n + "\"}");
		}
		f->put("rule/extracts",
		    std::string("{\"path\":\"/bulk\",\"class\":\"bulk\","
				"\"service\":\"") +
			user.services[2].name + "\"}");
		if (!f->wait_ready() ||
		    !until([&] { return f->in_force(f->backends.size() + 7); }))
			printf("the fleet is not ready\n");
		if (policy.delayed)
			for (auto &b : f->boxes)
				b.pass_proxy->set("delay_ms=2");
		in.assign(f->boxes.size(), true);
	}

	std::vector<Stream> streams(bool bulk) const
	{
		std::vector<Stream> v;

		for (auto &s : user.services) {
			Stream x;

			x.method = s.method;
			x.path = s.path;
			x.cls = s.cls;
			x.rate = s.backends * 3 / (s.ms / 1000.0) * UTILISATION;
			v.push_back(x);
		}
		if (bulk) {
			Stream x;

			x.path = "/bulk/x";
			x.cls = 1;
			x.size = 500000;
			x.ms = 200;
			x.rate = 60;
			v.push_back(x);
		}
		return v;
	}

	double control_bytes() const
	{
		double n = 0;

		for (size_t i = 0; i < f->boxes.size(); i++)
			n += f->metric(i, "fern_control_out_bytes_total") +
			    f->agent_metric(i, "fern_control_out_bytes_total");
		return n;
	}

	long probes() const
	{
		long n = 0;

		for (auto &b : f->backends)
			n += b->count("probes");
		return n;
	}

	void fault(const std::string &name, Load &load)
	{
		double dir = streams(false)[0].rate;

		if (name == "surge") {
			pump(1000);
			load.rate(0, dir * 10);
			pump(200);
			load.rate(0, dir);
		} else if (name == "drain") {
			pump(500);
			f->put("backend/" + f->backends[0]->options.name,
			    f->backend_spec(
				*f->backends[0], ",\"drain\":true"));
		} else if (name == "box lost") {
			pump(500);
			f->boxes[1].gate.kill9();
			pump(200);
			in[1] = false;
		}
	}

	void before(const std::string &name)
	{
		if (name == "noisy")
			for (auto &b : f->backends)
				b->set("spell_every=8000&spell_ms=350");
		if (name == "failing fast")
			f->backends[0]->set("fail=1");
	}

	void after(const std::string &name)
	{
		if (name == "noisy")
			for (auto &b : f->backends)
				b->set("spell_every=0");
		if (name == "failing fast")
			f->backends[0]->set("fail=0");
		if (name == "drain")
			f->put("backend/" + f->backends[0]->options.name,
			    f->backend_spec(*f->backends[0]));
		if (name == "box lost") {
			f->start_box(1);
			f->wait_ready();
			in[1] = true;
		}
		pump(1500);
	}

	void run(const std::string &name, unsigned seed)
	{
		std::vector<std::string> doors;

		if (name == "box lost" && policy.boxes == 1)
			return;
		for (auto &b : f->boxes)
			doors.push_back(b.listen);
		before(name);
		Load load(doors, streams(name == "extracts"), seed);
		load.target_up = [&](size_t i) {
			return in[i];
		};
		load.start();
		pump(SETTLE_MS);
		double from = now_ms(), bytes = control_bytes();
		long probed = probes();
		fault(name, load);
		until([&] { return now_ms() >= from + CASE_MS; });
		double to = now_ms();
		bytes = control_bytes() - bytes;
		probed = probes() - probed;
		load.stop();
		until([&] { return load.drained(); });
		print(name, load, from, to, bytes, probed);
		after(name);
	}

	void print(const std::string &name, const Load &load, double from,
	    double to, double bytes, long probed) const
	{
		std::vector<double> v[3];
		size_t all = 0, right = 0, refused = 0;

		for (auto &o : load.outcomes) {
			if (o.intended_ms < from || o.intended_ms >= to)
				continue;
			all++;
			right += o.right;
			refused += !o.kind.empty();
			if (o.right)
				v[o.cls].push_back(o.latency_ms);
		}
		for (auto &x : v)
			std::sort(x.begin(), x.end());
		printf(
		    "%-11s %-8s %-12s", user.name, policy.name, name.c_str());
		for (auto &x : v)
			printf(" %6.1f %7.1f %7.1f |", Load::percentile(x, 50),
			    Load::percentile(x, 99), Load::percentile(x, 99.9));
		printf(" %6zu %6zu %5zu %5.1f %6.1f\n", all, all - right,
		    refused, static_cast<double>(probed) * 1000 / (to - from),
		    bytes / static_cast<double>(all));
	}
};

} // namespace

int
main(int argc, char **argv)
{
	const std::vector<std::string> cases = {"calm", "surge", "noisy",
	    "failing fast", "drain", "box lost", "extracts"};
	int runs = argc > 1 ? atoi(argv[1]) : 3;

	setvbuf(stdout, nullptr, _IOLBF, 0);
	printf(
	    "                                 interactive ms          | bulk "
	    "ms                 | not repeatable ms       | calls  wrong "
	    "refus probe  control\n"
	    "user        policy   case            p50     p99   p99.9 |    "
	    "p50     p99   p99.9 |    p50     p99   p99.9 |               "
	    "    /s    B/call\n");
	for (int run = 0; run < runs; run++) {
		for (auto &u : users) {
			if (argc > 2 && std::string(argv[2]) != u.name)
				continue;
			for (auto &p : policies) {
				if (argc > 3 && std::string(argv[3]) != p.name)
					continue;
				Bench b(u, p);

				b.start();
				for (size_t i = 0; i < cases.size(); i++) {
					if (argc > 4 && cases[i] != argv[4])
						continue;
					b.run(cases[i],
					    static_cast<unsigned>(100 * run +
						7 + static_cast<int>(i)));
				}
			}
		}
	}
	return 0;
}
