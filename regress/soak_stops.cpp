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
 * A randomized soak of planned work alone: stops of boxes and of whole halls,
 * restarts, reloads and changes of real processes, in series that overlap.
 * Callers keep using their connections until these end: one request after
 * another, in batches, or with a slow reader, at servers with slow periods; or
 * with requests always outstanding, some of them uploads in parts, at servers
 * that take longer.
 *
 *	soak_stops SECONDS [SEED [BOXES [fernbox]]]
 *
 * With "fernbox", boxes are single processes with the settings of
 * deploy/box.toml, under which an owner that pauses briefly is not given up.
 *
 * The exit status is 1 if a caller did not get what planned work leaves it: an
 * answer to each request that was read, which is that of a backend server, or
 * says truly that it has not run.  What is behind an answer that closes the
 * connection was not read, and must not have run.
 */
#include <csignal>
#include <cstdio>
#include <cstring>
#include <deque>
#include <list>
#include <memory>
#include <random>

#include "fleet.h"
#include "soak_conn.h"
#include "version.h"

namespace
{

/* In ms: a request sent so long before the end had been read. */
const double READ_BY = 500;
/* In ms: how long answers are waited for at the end. */
const int DRAIN = 15000;

/* The time of a request that was not sent whole. */
const double NEVER = 1e18;

enum {
	CALLERS_PER_BOX = 10,
	BACKENDS = 4, /* of each service */
	LARGE = 200000,
	OUTSTANDING_MAX = 6,
	PARTS = 4, /* of an upload */
	PART = 1000
};

/* A STEADY caller never waits for its last response. */
enum Kind { ONE, BATCH, SLOW, STEADY, KIND_MAX };

const char *const kind_names[KIND_MAX] = {"one", "batch", "slow", "steady"};

struct Conn : SoakConn {
	Kind kind;
	std::deque<std::string> parts; /* of the last request, unsent */

	Conn(const Box &b, Kind k)
	    : SoakConn(b.listen, b.name, k == SLOW ? 16384 : 0), kind(k)
	{
	}

	/* Except STEADY ones, callers send once more after a close. */
	bool sends() const
	{
		if (kind == STEADY)
			return !closing &&
			    (!parts.empty() || unanswered < OUTSTANDING_MAX);
		return sent.empty() || sent.back().answered;
	}

	bool is_done() const
	{
		return closing || (unanswered == 0 && parts.empty());
	}
};

struct Soak {
	Fleet f;
	std::mt19937 rng;
	std::list<std::unique_ptr<Conn>> open, ended;
	std::vector<bool> stopping;
	std::map<std::string, int> done; /* planned work */
	long id = 0;
	int violations = 0;

	static FleetOptions options_of(int boxes, bool one_process)
	{
		FleetOptions o = soak_options(boxes, one_process);

		for (int i = 0; i < BACKENDS * 2; i++) {
			BackendOptions b;

			b.name = "b" + std::to_string(i);
			b.hall = i % 2 == 0 ? "north" : "south";
			b.app = i < BACKENDS ? "dir" : "long";
			b.slots = i < BACKENDS ? 8 + boxes * 2 : boxes * 10;
			b.keys = i < BACKENDS
			    ? "ms=25 spread=1 spell_every=1500 spell_ms=400"
			    : "ms=220 spread=1";
			o.backends.push_back(b);
		}
		if (one_process)
			o.gate_settings += "policy = \"pace\"\n"
					   "silent_ms = 400\n"
					   "ping_wait_ms = 600\n"
					   "summary_ms = 100\n";
		return o;
	}

	Soak(unsigned seed, int boxes, bool one_process)
	    : f(options_of(boxes, one_process)), rng(seed)
	{
	}

	int any(int n)
	{
		return static_cast<int>(rng() % static_cast<unsigned>(n));
	}

	void configure(int ms)
	{
		for (std::string service : {"dir", "long"})
			for (std::string repeatable : {"yes", "no"})
				f.put("rule/" + service + "-" + repeatable,
				    R"({"path":"/)" + service + "/" +
					repeatable + R"(","repeatable":")" +
					repeatable + R"(","service":")" +
					service + R"(","deadline_ms":)" +
					std::to_string(ms) + "}");
	}

	void start()
	{
		f.start();
		stopping.assign(f.boxes.size(), false);
		for (std::string service : {"dir", "long"})
			f.put("service/" + service,
			    R"({"select":"app=)" + service + R"("})");
		configure(6000);
		f.wait_ready();
		until([&] { return f.in_force(6 + BACKENDS * 2); });
	}

	/* Planned work, of which several kinds overlap. */
	void work()
	{
		size_t box = static_cast<size_t>(any((int)f.boxes.size()));
		Box &b = f.boxes[box];
		int what = any(13);

		if (what < 6) {
			if (!all_stopping(b.hall, box))
				stop(box, "stops");
		} else if (what < 8) {
			done["reloads"]++;
			b.gate.signal(SIGHUP);
		} else if (what < 10) {
			restart_agent(b);
		} else if (what < 12) {
			done["changes"]++;
			configure(5000 + any(2000));
		} else if (any(2) == 0) {
			stop_hall("north", "south");
		} else {
			stop_hall("south", "north");
		}
	}

	void stop(size_t box, const char *what)
	{
		if (stopping[box])
			return;
		done[what]++;
		f.boxes[box].gate.signal(SIGTERM);
		stopping[box] = true;
	}

	/* The other hall keeps a box that does not stop. */
	void stop_hall(const std::string &hall, const std::string &other)
	{
		if (all_stopping(other, f.boxes.size()))
			return;
		for (size_t i = 0; i < f.boxes.size(); i++)
			if (f.boxes[i].hall == hall)
				stop(i, "stops with a hall");
	}

	void restart_agent(Box &b)
	{
		if (!b.agent_process.running())
			return;
		done["restarts of agents"]++;
		b.agent_process.signal(SIGTERM);
		b.agent_process.wait_exit();
		b.agent_process.start();
	}

	/* Returns whether all but one box of a hall stop. */
	bool all_stopping(const std::string &hall, size_t box) const
	{
		for (size_t i = 0; i < f.boxes.size(); i++)
			if (i != box && f.boxes[i].hall == hall && !stopping[i])
				return false;
		return true;
	}

	void restart_ended()
	{
		for (size_t i = 0; i < f.boxes.size(); i++) {
			int status = f.boxes[i].gate.wait_exit(0);

			if (status == -1)
				continue;
			/* One that has just begun handles no signals. */
			if (status != 0 && status != 128 + SIGTERM &&
			    status != 128 + SIGHUP) {
				printf("violated: %s ended with %d\n",
				    f.boxes[i].name.c_str(), status);
				violations++;
			}
			f.boxes[i].gate.start();
			stopping[i] = false;
		}
	}

	void connect_callers()
	{
		size_t want = f.boxes.size() * CALLERS_PER_BOX;

		for (int tries = 0; open.size() < want && tries < 8; tries++) {
			size_t box =
			    static_cast<size_t>(any((int)f.boxes.size()));
			/* STEADY ones are two in five. */
			auto c = std::make_unique<Conn>(f.boxes[box],
			    static_cast<Kind>(
				std::min(any(KIND_MAX + 1), (int)STEADY)));

			if (!c->caller.ended)
				open.push_back(std::move(c));
		}
	}

	std::string request(Conn &c, bool repeatable)
	{
		std::string path = c.kind == STEADY ? "/long/" : "/dir/";
		std::string name = "s" + std::to_string(++id);

		path += repeatable ? "yes/x" : "no/x";
		if (c.kind == SLOW)
			path += "?size=" + std::to_string(LARGE);
		c.add(name, repeatable, now_ms());
		return Caller::request(repeatable ? "GET" : "POST", path, name);
	}

	void send_part(Conn &c)
	{
		if (!c.caller.send_text(c.parts.front())) {
			c.parts.clear();
			return;
		}
		c.parts.pop_front();
		if (c.parts.empty())
			c.sent.back().at = now_ms();
	}

	void begin_upload(Conn &c)
	{
		std::string head = request(c, false);
		std::string none = "content-length: 0";

		c.sent.back().at = NEVER;
		head.replace(head.find(none), none.size(),
		    "content-length: " + std::to_string(PARTS * PART));
		c.parts.assign(PARTS, std::string(PART, 'u'));
		c.parts.push_front(head);
		send_part(c);
	}

	void send_on(Conn &c)
	{
		size_t n = c.kind == BATCH ? 2 + (size_t)any(6) : 1;
		std::string text;

		c.next = now_ms() + any(120);
		if (!c.parts.empty()) {
			send_part(c);
			return;
		}
		if (c.kind == STEADY && any(8) == 0) {
			begin_upload(c);
			return;
		}
		for (size_t i = 0; i < n; i++)
			text += request(c, any(3) > 0);
		if (c.caller.send_text(text))
			return;
		for (auto s = c.sent.rbegin(); n-- > 0; ++s)
			s->at = NEVER;
	}

	void step(bool sending)
	{
		for (auto it = open.begin(); it != open.end();) {
			Conn &c = **it;

			if (c.kind == SLOW)
				c.caller.read_some(
				    static_cast<size_t>(1000 + any(4000)));
			else
				c.caller.read_some();
			c.parse();
			if (c.caller.ended || (!sending && c.is_done())) {
				c.ended_at = now_ms();
				ended.push_back(std::move(*it));
				it = open.erase(it);
				continue;
			}
			if ((sending || !c.parts.empty()) && c.sends() &&
			    now_ms() >= c.next)
				send_on(c);
			++it;
		}
	}

	void violated(const Conn &c, const Sent &s, const char *what)
	{
		violations++;
		printf("violated: %s: %s status=%d ran=%s error=%s %s %s\n",
		    s.id.c_str(), what, s.status, s.ran.c_str(),
		    s.error.c_str(), kind_names[c.kind], c.box.c_str());
	}

	void check(const Conn &c, const Sent &s,
	    const std::map<std::string, int> &runs)
	{
		int n = s.runs_in(runs);

		if (s.behind_close) {
			if (n > 0)
				violated(c, s, "ran, behind a close");
			return;
		}
		for (auto *what : s.broken(n))
			violated(c, s, what);
		if (!s.answered && n > 0)
			violated(c, s, "ran, and got no answer");
		else if (!s.answered && c.ended_at - s.at > READ_BY)
			violated(c, s, "was read, and got no answer");
		if (s.answered && s.status != 200 && s.ran != "no")
			violated(c, s, "was given up");
	}

	int run(double seconds)
	{
		double began, next = 0;

		start();
		began = now_ms();
		while (now_ms() < began + seconds * 1000) {
			connect_callers();
			step(true);
			restart_ended();
			if (now_ms() >= next) {
				work();
				next = now_ms() +
				    any(800 / static_cast<int>(f.boxes.size()) +
					50);
			}
			pump(2);
		}
		until(
		    [&] {
			    step(false);
			    return open.empty();
		    },
		    DRAIN);
		auto runs = f.runs();
		size_t requests = 0, answered = 0, refused = 0;
		size_t behind = 0, unread = 0;
		for (auto *list : {&ended, &open})
			for (auto &c : *list) {
				violations += c->stray;
				for (auto &s : c->sent) {
					check(*c, s, runs);
					requests++;
					answered += s.status == 200;
					refused += s.ran == "no";
					behind += s.behind_close;
					unread +=
					    !s.behind_close && !s.answered;
				}
			}
		printf("%zu requests, %zu answered, %zu refused as not run, "
		       "%zu behind a close, %zu not read;",
		    requests, answered, refused, behind, unread);
		for (auto &d : done)
			printf(" %d %s,", d.second, d.first.c_str());
		printf(" %d violations\n", violations);
		return violations > 0 || answered == 0;
	}
};

} // namespace

int
main(int argc, char **argv)
{
	return run_soak<Soak>(argc, argv);
}
