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
 * The slopes that docs/CAPACITY.md is worked out from: make bench-capacity.
 * Real processes at several sizes; each table ends with a straight line
 * fitted to it and the rest that the line leaves.
 */
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>

#include "fleet.h"

namespace
{

const int REST_MS = 6000;

struct Fit {
	double at0, slope, rest;
};

Fit
fit(const std::vector<double> &x, const std::vector<double> &y)
{
	double n = static_cast<double>(x.size()), sx = 0, sy = 0, sxx = 0,
	       sxy = 0, rest = 0;

	for (size_t i = 0; i < x.size(); i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	double at0 = (sy - slope * sx) / n;
	for (size_t i = 0; i < x.size(); i++)
		rest += std::pow(y[i] - at0 - slope * x[i], 2);
	return {at0, slope, std::sqrt(rest / n)};
}

void
print_fit(const char *what, const std::vector<double> &x,
    const std::vector<double> &y)
{
	Fit f = fit(x, y);

	printf("  %-34s = %.4g + %.4g * x, rest %.2g\n", what, f.at0, f.slope,
	    f.rest);
}

struct Sums {
	double agent_cpu = 0, gate_cpu = 0, agent_bytes = 0, gate_bytes = 0,
	       calls = 0;
};

Sums
sums(const Fleet &f)
{
	Sums s;

	for (size_t i = 0; i < f.boxes.size(); i++) {
		s.agent_cpu += f.boxes[i].agent_process.cpu();
		s.gate_cpu += f.boxes[i].gate.cpu();
		s.agent_bytes +=
		    f.agent_metric(i, "fern_control_out_bytes_total");
		s.gate_bytes += f.metric(i, "fern_control_out_bytes_total");
		s.calls += f.agent_metric(i, "fern_platform_calls_total");
	}
	return s;
}

/* What one box spends for a while, on average. */
struct Spent {
	double agent_cpu, gate_cpu, agent_bytes, gate_bytes, calls;
};

Spent
spend(Fleet &f, int ms, const std::function<void()> &during)
{
	Sums a = sums(f);
	double from = now_ms();

	during();
	while (now_ms() < from + ms)
		pump(100);
	Sums b = sums(f);
	double s = (now_ms() - from) / 1000;
	double n = static_cast<double>(f.boxes.size());

	return {(b.agent_cpu - a.agent_cpu) / s / n * 100,
	    (b.gate_cpu - a.gate_cpu) / s / n * 100,
	    (b.agent_bytes - a.agent_bytes) / s / n,
	    (b.gate_bytes - a.gate_bytes) / s / n, (b.calls - a.calls) / s};
}

FleetOptions
options(int boxes)
{
	FleetOptions o;

	o.boxes = boxes;
	o.halls = {"h1", "h2", "h3", "h4", "h5", "h6"};
	return o;
}

/* Objects that select nothing, so that nothing is probed. */
void
fill(Fleet &f, int n)
{
	for (int i = 0; i < n; i++)
		f.put("backend/x" + std::to_string(i),
		    "{\"address\":\"127.0.0.1:1\",\"hall\":\"h1\",\"labels\":"
		    "{\"app\":\"none\",\"version\":\"v" +
			std::to_string(i) + "\"}}");
}

double
rss_mb(const Fleet &f, bool gate)
{
	long most = 0;

	for (auto &b : f.boxes)
		most = std::max(
		    most, gate ? b.gate.rss_kb() : b.agent_process.rss_kb());
	return static_cast<double>(most) / 1024;
}

/* Time for a change to be in force on all boxes, in ms. */
double
change_ms(Fleet &f, const std::string &key, size_t objects)
{
	f.put(key, R"({"path":"/c","service":"dir"})");
	double from = now_ms();

	until([&] { return f.in_force(objects); }, 20000);
	return now_ms() - from;
}

void
by_boxes()
{
	std::vector<double> x, ac, gc, ab, gb, calls, change, restart;

	printf(
	    "Against boxes, 60 objects, six halls; at rest for %d s, per "
	    "box\n"
	    "boxes  agent%%  gate%%  agent B/s  gate B/s  agent MB  gate MB  "
	    "platform/s  change ms (worst of 5)  restart: calls in 5 s, "
	    "ready ms\n",
	    REST_MS / 1000);
	for (int boxes : {4, 8, 16, 32, 48}) {
		Fleet f(options(boxes));

		f.start();
		f.put("service/dir", R"({"select":"app=dir"})");
		fill(f, 59);
		if (!f.wait_ready(60000) ||
		    !until([&] { return f.in_force(60); }, 60000)) {
			printf("%5d  not ready\n", boxes);
			continue;
		}
		pump(3000);
		Spent s = spend(f, REST_MS, [] {});
		std::vector<double> c;
		for (int k = 0; k < 5; k++)
			c.push_back(change_ms(f, "rule/c" + std::to_string(k),
			    static_cast<size_t>(61 + k)));
		std::sort(c.begin(), c.end());
		for (auto &b : f.boxes)
			b.agent_process.kill9();
		double before = static_cast<double>(f.platform_count("reads") +
		    f.platform_count("writes") + f.platform_count("waits"));
		double from = now_ms(), ready = 0;
		for (size_t i = 0; i < f.boxes.size(); i++)
			f.start_box(i);
		until(
		    [&] {
			    for (size_t i = 0; i < f.boxes.size(); i++)
				    if (f.agent_metric(i, "fern_objects") < 65)
					    return false;
			    return true;
		    },
		    30000);
		ready = now_ms() - from;
		while (now_ms() < from + 5000)
			pump(50);
		double again = static_cast<double>(f.platform_count("reads") +
				   f.platform_count("writes") +
				   f.platform_count("waits")) -
		    before;
		printf("%5d  %6.3f  %5.3f  %9.0f  %8.0f  %8.1f  %7.1f  %10.2f  "
		       "%.0f (%.0f)  %.0f  %.0f\n",
		    boxes, s.agent_cpu, s.gate_cpu, s.agent_bytes, s.gate_bytes,
		    rss_mb(f, false), rss_mb(f, true), s.calls, c[2], c[4],
		    again, ready);
		x.push_back(boxes);
		ac.push_back(s.agent_cpu);
		gc.push_back(s.gate_cpu);
		ab.push_back(s.agent_bytes);
		gb.push_back(s.gate_bytes);
		calls.push_back(s.calls);
		change.push_back(c[4]);
		restart.push_back(again);
	}
	print_fit("agent, % of a core", x, ac);
	print_fit("gate at rest, % of a core", x, gc);
	print_fit("agent, bytes/s out", x, ab);
	print_fit("gate, bytes/s out", x, gb);
	print_fit("platform calls/s, fleet", x, calls);
	print_fit("worst change, ms", x, change);
	print_fit("calls in 5 s after a restart of all", x, restart);
}

void
by_objects()
{
	std::vector<double> x, am, gm, ac, gc, ab;
	const int CHANGES = 40;

	printf("\nAgainst objects, 8 boxes; 40 changes in 6 s\n"
	       "objects  agent MB  gate MB  agent%% at rest  agent%% changing  "
	       "gate%% at rest  gate%% changing  agent B/s at rest  "
	       "changing\n");
	for (int objects : {60, 300, 600, 1200}) {
		Fleet f(options(8));

		f.start();
		f.put("service/dir", R"({"select":"app=dir"})");
		fill(f, objects - 1);
		if (!f.wait_ready(60000) ||
		    !until(
			[&] {
				return f.in_force(static_cast<size_t>(objects));
			},
			60000)) {
			printf("%7d  not ready\n", objects);
			continue;
		}
		pump(2000);
		Spent rest = spend(f, REST_MS, [] {});
		Spent busy = spend(f, REST_MS, [&] {
			for (int k = 0; k < CHANGES; k++) {
				f.put("backend/x0",
				    "{\"address\":\"127.0.0.1:1\",\"hall\":"
				    "\"h1\",\"labels\":{\"k\":\"" +
					std::to_string(k) + "\"}}");
				pump(100);
			}
		});
		printf("%7d  %8.1f  %7.1f  %14.3f  %15.3f  %13.3f  %14.3f  "
		       "%17.0f  %8.0f\n",
		    objects, rss_mb(f, false), rss_mb(f, true), rest.agent_cpu,
		    busy.agent_cpu, rest.gate_cpu, busy.gate_cpu,
		    rest.agent_bytes, busy.agent_bytes);
		x.push_back(objects);
		am.push_back(rss_mb(f, false));
		gm.push_back(rss_mb(f, true));
		double per = REST_MS / 1000.0 / CHANGES * 10;
		ac.push_back((busy.agent_cpu - rest.agent_cpu) * per);
		gc.push_back((busy.gate_cpu - rest.gate_cpu) * per);
		ab.push_back((busy.agent_bytes - rest.agent_bytes) * REST_MS /
		    1000.0 / CHANGES);
	}
	print_fit("agent MB", x, am);
	print_fit("gate MB", x, gm);
	print_fit("agent, ms of processor a change", x, ac);
	print_fit("gate, ms of processor a change", x, gc);
	print_fit("agent, bytes out a change", x, ab);
}

/* Probes: real backend servers, on a single box. */
void
by_probes()
{
	std::vector<double> x, ac, pr;

	printf("\nAgainst backend servers probed each second, 2 boxes\n"
	       "backends  agent%%  probes/s\n");
	for (int n : {5, 20, 40, 80}) {
		FleetOptions o = options(2);

		for (int i = 0; i < n; i++) {
			BackendOptions b;

			b.hall = i % 2 == 0 ? "h1" : "h2";
			o.backends.push_back(b);
		}
		Fleet f(o);
		f.start();
		f.put("service/dir", R"({"select":"app=dir"})");
		f.wait_ready();
		until([&] { return f.in_force(static_cast<size_t>(n) + 1); });
		pump(2000);
		auto probes = [&] {
			return f.agent_metric(0, "fern_probes_total") +
			    f.agent_metric(1, "fern_probes_total");
		};
		double p = probes(), from = now_ms();
		Spent s = spend(f, REST_MS, [] {});
		p = (probes() - p) / (now_ms() - from) * 1000;
		printf("%8d  %6.3f  %8.1f\n", n, s.agent_cpu, p);
		x.push_back(n);
		ac.push_back(s.agent_cpu);
		pr.push_back(p);
	}
	print_fit("agent, % of a core", x, ac);
	print_fit("probes/s", x, pr);
}

/* Calls through homes: what a pass costs the gates. */
void
by_calls()
{
	std::vector<double> x, cpu, bytes;

	printf("\nAgainst calls, 4 boxes, 12 backend servers, through homes\n"
	       "calls/s  gate us/call  control B/call  p50 ms  p99 ms\n");
	FleetOptions o = options(4);
	o.halls = {"h1", "h2"};
	for (int i = 0; i < 12; i++) {
		BackendOptions b;

		b.hall = i % 2 == 0 ? "h1" : "h2";
		b.keys = "ms=1";
		b.slots = 16;
		o.backends.push_back(b);
	}
	Fleet f(o);
	f.start();
	f.put("service/dir", R"({"select":"app=dir"})");
	f.put("rule/dir", R"({"path":"/dir","service":"dir"})");
	f.wait_ready();
	until([&] { return f.in_force(14); });
	for (double rate : {250.0, 500.0, 1000.0, 2000.0, 4000.0}) {
		std::vector<std::string> doors;
		Stream s;

		for (auto &b : f.boxes)
			doors.push_back(b.listen);
		s.rate = rate;
		Load load(doors, {s}, 5);
		load.start();
		pump(500);
		Sums a = sums(f);
		double from = now_ms();
		size_t n = load.outcomes.size();
		pump(4000);
		Sums b = sums(f);
		double calls = static_cast<double>(load.outcomes.size() - n);
		auto v = load.latencies(0, from, now_ms());
		load.stop();
		until([&] { return load.drained(); });
		printf("%7.0f  %12.1f  %14.1f  %6.2f  %6.2f\n", calls / 4,
		    (b.gate_cpu - a.gate_cpu) * 1e6 / calls,
		    (b.gate_bytes - a.gate_bytes) / calls,
		    Load::percentile(v, 50), Load::percentile(v, 99));
		x.push_back(calls / 4);
		cpu.push_back((b.gate_cpu - a.gate_cpu) / 4);
		bytes.push_back((b.gate_bytes - a.gate_bytes) / 4);
	}
	print_fit("gates, cores", x, cpu);
	print_fit("gates, control bytes/s", x, bytes);
}

} // namespace

int
main()
{
	setvbuf(stdout, nullptr, _IOLBF, 0);
	by_boxes();
	by_objects();
	by_probes();
	by_calls();
	return 0;
}
