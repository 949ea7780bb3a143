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
 * What a gate adds to a call, and what it carries: make bench-gate.
 * The same load goes straight to a backend server and through one gate, in
 * turns, so that a noisy machine hurts both.
 */
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <arpa/inet.h>
#include <unistd.h>

#include "fleet.h"

namespace
{

struct Point {
	double p50, p99, p999;
	int bad;
};

Point
measure(const std::string &target, double rate, int seconds, unsigned seed)
{
	Stream s;

	s.rate = rate;
	Load load({target}, {s}, seed);
	load.spin = true;
	load.start();
	pump(500);
	double from = now_ms();
	pump(seconds * 1000);
	double to = now_ms();
	load.stop();
	until([&] { return load.drained(); });
	auto v = load.latencies(0, from, to);
	int bad = 0;

	for (auto &o : load.outcomes)
		bad += !o.right;
	return {Load::percentile(v, 50), Load::percentile(v, 99),
	    Load::percentile(v, 99.9), bad};
}

/* Idle connections to a gate, each of which has had one answer. */
size_t
open_connections(const std::string &address, size_t n)
{
	size_t colon = address.find(':'), ok = 0;
	struct sockaddr_in sa = {};
	const char *rq = "GET /dir/x?size=100 HTTP/1.1\r\nHost: a\r\n\r\n";
	char buf[4096];

	sa.sin_family = AF_INET;
	sa.sin_port =
	    htons(static_cast<uint16_t>(atoi(address.c_str() + colon + 1)));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &sa.sin_addr);
	for (size_t i = 0; i < n; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		if (fd < 0 ||
		    connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0)
			break;
		if (write(fd, rq, strlen(rq)) > 0 &&
		    read(fd, buf, sizeof(buf)) > 0)
			ok++;
	}
	return ok;
}

/* From the start of a box to its first right answer, in ms. */
double
cold_start(Fleet &f, size_t box)
{
	f.stop_box_hard(box);
	double from = now_ms();
	f.start_box(box);
	until([&] {
		return http("GET", f.boxes[box].listen, "/dir/x", {}, "", 500)
			   .status == 200;
	});
	return now_ms() - from;
}

void
cold_starts()
{
	FleetOptions o;

	o.boxes = 2;
	o.backends.resize(2);
	o.backends[0].keys = o.backends[1].keys = "ms=1";
	Fleet f(o);
	f.start();
	f.put("service/dir", R"({"select":"app=dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
	f.wait_ready();
	until([&] { return f.in_force(4); });
	printf("\ncold start to the first answer, ms, three runs\n");
	printf("platform up       %.0f %.0f %.0f\n", cold_start(f, 1),
	    cold_start(f, 1), cold_start(f, 1));
	f.set_platform("mode=hang");
	printf("platform down     %.0f %.0f %.0f\n", cold_start(f, 1),
	    cold_start(f, 1), cold_start(f, 1));
}

} // namespace

int
main()
{
	FleetOptions o;

	setvbuf(stdout, nullptr, _IOLBF, 0);
	o.boxes = 1;
	o.quiet = false; /* decision lines are part of the cost */
	for (int i = 0; i < 10; i++) {
		BackendOptions b;

		b.keys = "ms=0";
		b.slots = 100;
		o.backends.push_back(b);
	}
	Fleet f(o);
	f.start();
	f.put("service/dir", R"({"select":"app=dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
	f.wait_ready();
	until([&] { return f.in_force(12); });
	printf("calls/s  way     p50 ms  p99 ms  p99.9 ms  bad\n");
	for (double rate : {250.0, 2000.0}) {
		std::vector<double> add50, add99, add999;

		for (unsigned run = 0; run < 3; run++) {
			Point d =
			    measure(f.backends[0]->address, rate, 5, 10 + run);
			Point g = measure(f.boxes[0].listen, rate, 5, 20 + run);

			printf("%7.0f  direct  %6.3f  %6.3f  %8.3f  %d\n", rate,
			    d.p50, d.p99, d.p999, d.bad);
			printf("%7.0f  gate    %6.3f  %6.3f  %8.3f  %d\n", rate,
			    g.p50, g.p99, g.p999, g.bad);
			add50.push_back(g.p50 - d.p50);
			add99.push_back(g.p99 - d.p99);
			add999.push_back(g.p999 - d.p999);
		}
		printf("%7.0f  added, each run: p50 %.3f %.3f %.3f  "
		       "p99 %.3f %.3f %.3f  p99.9 %.3f %.3f %.3f\n",
		    rate, add50[0], add50[1], add50[2], add99[0], add99[1],
		    add99[2], add999[0], add999[1], add999[2]);
	}
	printf("\nprocessor time of the gate\ncalls/s  us/call  cores\n");
	for (double rate : {1000.0, 4000.0, 8000.0}) {
		Stream s;
		s.rate = rate;
		Load load({f.boxes[0].listen}, {s}, 5);
		load.start();
		pump(500);
		double cpu = f.boxes[0].gate.cpu(), at = now_ms();
		size_t n = load.outcomes.size();
		pump(4000);
		cpu = f.boxes[0].gate.cpu() - cpu;
		at = (now_ms() - at) / 1000;
		n = load.outcomes.size() - n;
		load.stop();
		until([&] { return load.drained(); });
		printf("%7.0f  %7.1f  %5.3f\n", static_cast<double>(n) / at,
		    cpu * 1e6 / static_cast<double>(n), cpu / at);
	}
	printf("\nopen connections  answered  resident kB\n");
	printf("%16d  %8s  %ld\n", 0, "-", f.boxes[0].gate.rss_kb());
	size_t sum = 0;
	for (size_t n : {1000u, 4000u}) {
		sum += open_connections(f.boxes[0].listen, n);
		printf(
		    "%16zu  %8zu  %ld\n", sum, sum, f.boxes[0].gate.rss_kb());
	}
	cold_starts();
	return 0;
}
