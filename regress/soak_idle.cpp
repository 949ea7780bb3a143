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
 * A randomized soak of connections that rest up to the idle timeout of busy
 * boxes.  An operator changes the timeout and writes rules in series, while
 * boxes are suspended, once or most of the time, reloaded, stopped and killed.
 * Callers reuse their connections within the time that Keep-Alive states, or
 * about when the timeout passes; some read large responses slowly, some sit
 * behind a slow link, and some never send again.
 *
 *	soak_idle SECONDS [SEED [BOXES [fernbox]]]
 *
 * The exit status is 1 if a request was sent on an open connection and got no
 * answer, while the connection only ended much later; if a connection was
 * closed earlier than stated; if one outlived the timeout; or if an answer was
 * wrong.  Where a box stops, a reset tells that a request was not read.  Times
 * at which a connection is known to be open count, so that a slow caller proves
 * nothing.
 */
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <list>
#include <memory>
#include <random>
#include <thread>
#include <unistd.h>

#include "fleet.h"
#include "soak_conn.h"

namespace
{

/*
 * In ms: until a caller that sent a request learns of a close that it crossed,
 * directly and where a proxy, which may be kept waiting, is the link; until a
 * change of the timeout is in force; beyond the timeout, until an idle
 * connection has ended.
 */
const double CROSSED = 200, CROSSED_LINK = 1000, APPLY = 5000, ENDED_BY = 2000;
/* In ms: how long answers are waited for at the end; limit of a request. */
const double DRAIN = 15000, DEADLINE = 6000;

enum {
	CALLERS_MAX = 320, /* all together */
	CALLERS_PER_BOX = 40,
	BACKENDS = 6,
	LARGE = 200000,
	RULES_MAX = 4000,
	EDGE_MS = 20,
	LATE_MS = 400
};

/* In ms.  Responses state no idle time with the shorter ones. */
const int TIMEOUTS[] = {300, 500, 900, 2000, 2300, 3000};

/* Which callers rest how long: only HEED goes by Keep-Alive. */
enum Habit { EDGE, HEED, LATE, BELOW, SLOW, SILENT, HABIT_MAX };

const char *const habit_names[HABIT_MAX] = {
    "edge", "heed", "late", "below", "slow", "silent"};

struct Period {
	double from, to;
};

double
overlap(const std::vector<Period> &periods, double from, double to)
{
	double sum = 0;

	for (auto &p : periods)
		sum +=
		    std::max(0.0, std::min(p.to, to) - std::max(p.from, from));
	return sum;
}

/* What the operator did to a box. */
struct Trouble {
	std::vector<Period> stops, kills, suspended;
	bool stopping = false;
	double resume = 0; /* 0: it is not suspended */
	int series = 0; /* of suspensions to come */
	double next = 0;
	std::string address; /* for callers */
	std::unique_ptr<Proxy> link;

	~Trouble()
	{
		if (link)
			link->process.kill9();
	}
};

struct Conn : SoakConn {
	size_t of;
	Habit habit;
	double opened;
	/* When the connection was last found open, with nothing to read. */
	double quiet;
	/* Bounds of the time at which the last response came. */
	double after, before;
	double stated = -1; /* in ms; -1: by no response */
	bool last = false; /* nothing more is sent */

	Conn(size_t i, const std::string &address, Habit h)
	    : SoakConn(
		  address, "box" + std::to_string(i), h == SLOW ? 16384 : 0),
	      of(i), habit(h), opened(now_ms()), quiet(opened), after(opened),
	      before(opened)
	{
	}

	void read(size_t most = 1 << 20)
	{
		double now = now_ms();
		size_t had = caller.received.size(), was = parsed;

		caller.read_some(most);
		parse();
		if (parsed != was) {
			std::string text = header(last_head, "keep-alive");

			stated = text.compare(0, 8, "timeout=") == 0
			    ? atof(text.c_str() + 8) * 1000
			    : -1;
			after = quiet;
			before = now_ms();
			caller.received.erase(0, parsed);
			parsed = 0;
		} else if (!caller.ended && caller.received.size() == had) {
			quiet = now;
		}
	}
};

struct Soak {
	Fleet f;
	std::mt19937 rng;
	std::vector<Trouble> troubles;
	std::vector<std::pair<double, int>> limits; /* when written, in ms */
	std::map<std::string, int> done;
	int rules = 0, rules_due = 0;
	double next_limit = 0;
	std::atomic<int> timeout_ms{TIMEOUTS[0]};
	std::atomic<bool> sending{true};
	std::vector<std::thread> busy;
	std::list<std::unique_ptr<Conn>> conns; /* all there were */
	std::map<std::string, int> broken;
	int violations = 0;

	static FleetOptions options_of(int boxes, bool one_process)
	{
		FleetOptions o = soak_options(boxes, one_process);

		for (int i = 0; i < BACKENDS; i++) {
			BackendOptions b;

			b.name = "b" + std::to_string(i);
			b.hall = o.halls[static_cast<size_t>(i % 2)];
			b.slots = 16 + boxes * 2;
			b.keys = "ms=15 spread=1";
			o.backends.push_back(b);
		}
		return o;
	}

	Soak(unsigned seed, int boxes, bool one_process)
	    : f(options_of(boxes, one_process)), rng(seed),
	      troubles(static_cast<size_t>(boxes))
	{
	}

	static int any(std::mt19937 &r, int n)
	{
		return static_cast<int>(r() % static_cast<unsigned>(n));
	}

	int any(int n)
	{
		return any(rng, n);
	}

	void change_limit()
	{
		int ms = TIMEOUTS[any(sizeof(TIMEOUTS) / sizeof(*TIMEOUTS))];

		/* It may be in force before the write has returned. */
		limits.push_back({now_ms(), ms});
		f.put("listener/main",
		    "{\"idle_ms\":" + std::to_string(ms) + "}");
		limits.push_back({now_ms(), ms});
		timeout_ms = ms;
		next_limit = now_ms() + 2000 + any(6000);
	}

	void write_rule()
	{
		std::string n = std::to_string(rules++ % RULES_MAX);

		f.put("rule/many-" + n,
		    R"({"path":"/many/)" + n +
			R"(","service":"dir","deadline_ms":)" +
			std::to_string(4000 + any(2000)) + "}");
	}

	void start()
	{
		f.start();
		f.put("service/dir", R"({"select":"app=dir"})");
		for (std::string repeatable : {"yes", "no"})
			f.put("rule/dir-" + repeatable,
			    R"({"path":"/dir/)" + repeatable +
				R"(","repeatable":")" + repeatable +
				R"(","service":"dir","deadline_ms":)" +
				std::to_string((int)DEADLINE) + "}");
		change_limit();
		for (int n = any(4) * 1000; n > 0; n--)
			write_rule();
		f.wait_ready();
		until([&] { return f.in_force(size_t(4 + BACKENDS + rules)); });
		for (size_t i = 0; i < f.boxes.size(); i++) {
			troubles[i].address = f.boxes[i].listen;
			if (any(4) > 0)
				continue;
			troubles[i].link = f.proxy(f.boxes[i].listen);
			troubles[i].link->set(
			    "delay_ms=" + std::to_string(1 + any(40)));
			troubles[i].address = troubles[i].link->address;
		}
		for (int n = any(4) == 0 ? 4 : 0; n > 0; n--)
			busy.emplace_back([&] {
				while (sending)
					;
			});
	}

	/* Work of several kinds, in series that overlap. */
	void work()
	{
		size_t i = static_cast<size_t>(any((int)f.boxes.size()));
		Trouble &t = troubles[i];
		int what = any(40);

		if (what < 10) {
			done["suspensions"]++;
			t.series = std::max(t.series, 1);
		} else if (what < 18) {
			done["series of suspensions"]++;
			t.series = 5 + any(15);
		} else if (what < 26) {
			done["series of rules"]++;
			rules_due += 20 + any(200);
		} else if (what < 30) {
			done["reloads"]++;
			f.boxes[i].gate.signal(SIGHUP);
		} else if (what < 33) {
			done["restarts of agents"]++;
			f.boxes[i].agent_process.signal(SIGTERM);
		} else if (!t.stopping && what < 38) {
			done["stops"]++;
			t.stops.push_back({now_ms(), 1e18});
			t.stopping = true;
			f.boxes[i].gate.signal(SIGTERM);
		} else if (!t.stopping && what == 39) {
			done["kills"]++;
			t.kills.push_back({now_ms(), 1e18});
			f.boxes[i].gate.kill9();
		}
	}

	/* Returns whether the end of a process was planned. */
	static bool planned(int status)
	{
		/* One that has just begun handles no signals. */
		return status == 0 || status == 128 + SIGTERM ||
		    status == 128 + SIGHUP;
	}

	void restart(size_t i, Process &p, Trouble *t)
	{
		int status = p.running() ? p.wait_exit(-1) : 0;

		if (status == -1)
			return;
		if (!planned(status)) {
			printf("violated: box%zu ended with %d\n", i, status);
			violations++;
		}
		p.start();
		if (t == nullptr)
			return;
		/* An end by a signal is like a kill, and has no period yet. */
		if (status != 0)
			t->kills.push_back({now_ms() - 1000, 1e18});
		for (auto *list : {&t->stops, &t->kills})
			if (!list->empty())
				list->back().to =
				    std::min(list->back().to, now_ms());
		t->stopping = false;
	}

	void suspend(size_t i)
	{
		Trouble &t = troubles[i];
		Process &p = f.boxes[i].gate;

		if (t.resume > 0 && now_ms() >= t.resume) {
			p.signal(SIGCONT);
			t.suspended.back().to = now_ms();
			t.resume = 0;
			/* Little time to run, as with a small share. */
			t.next = now_ms() + any(6);
		} else if (t.resume == 0 && t.series > 0 &&
		    now_ms() >= t.next) {
			t.series--;
			t.suspended.push_back({now_ms(), 1e18});
			t.resume = now_ms() + 50 + any(350);
			p.signal(SIGSTOP);
		}
	}

	void tend()
	{
		for (size_t i = 0; i < f.boxes.size(); i++) {
			suspend(i);
			restart(i, f.boxes[i].gate, &troubles[i]);
			if (!f.options.one_process)
				restart(i, f.boxes[i].agent_process, nullptr);
		}
	}

	/* Callers' thread. */

	void send_on(Conn &c, std::mt19937 &r, long id)
	{
		bool repeatable = any(r, 2) == 0;
		std::string name = "i" + std::to_string(id);
		std::string path = repeatable ? "/dir/yes/x" : "/dir/no/x";

		if (c.habit == SLOW)
			path += "?size=" + std::to_string(LARGE);
		c.add(name, repeatable, 0);
		if (!c.caller.send_text(Caller::request(
			repeatable ? "GET" : "POST", path, name)))
			c.sent.back().behind_close = true;
		c.sent.back().at = now_ms();
		c.last = c.habit == SILENT;
	}

	/* Returns how long a connection rests after a response, in ms. */
	double rest(const Conn &c, std::mt19937 &r) const
	{
		int limit = timeout_ms;

		if (any(r, 3) == 0)
			return any(r, 60);
		if (c.habit == EDGE)
			return std::max(
			    0, limit + any(r, EDGE_MS * 2 + 1) - EDGE_MS);
		if (c.habit == LATE)
			return limit + any(r, LATE_MS);
		if (c.habit == HEED)
			return c.stated < 0 ? any(r, 60)
					    : c.stated - any(r, EDGE_MS * 5);
		return any(r, limit);
	}

	/* Returns whether a connection may still be used. */
	bool step(Conn &c, std::mt19937 &r, long *id)
	{
		int was = c.unanswered;

		c.read(c.habit == SLOW ? size_t(1000 + any(r, 4000)) : 1 << 20);
		if (c.unanswered < was)
			c.next = now_ms() + rest(c, r);
		if (c.caller.ended || (c.closing && c.unanswered == 0)) {
			c.ended_at = now_ms();
			return false;
		}
		if (c.unanswered > 0)
			return true;
		if (!sending)
			return c.last;
		if (c.last || now_ms() < c.next)
			return true;
		if (c.habit == HEED && !c.sent.empty() && c.stated > 0 &&
		    now_ms() >= c.after + c.stated)
			return false;
		send_on(c, r, ++*id);
		return true;
	}

	void call(unsigned seed)
	{
		std::mt19937 r(seed);
		std::list<Conn *> open;
		size_t want = std::min(
		    f.boxes.size() * CALLERS_PER_BOX, (size_t)CALLERS_MAX);
		double until_ms = 1e18;
		long id = 0;

		while (now_ms() < until_ms && (sending || !open.empty())) {
			for (int n = 0; sending && open.size() < want && n < 4;
			     n++) {
				size_t box = r() % f.boxes.size();
				auto habit = (Habit)std::max(0, any(r, 9) - 3);
				/* The proxy cuts what is not taken yet. */
				auto c = std::make_unique<Conn>(box,
				    habit == SLOW ? f.boxes[box].listen
						  : troubles[box].address,
				    habit);

				if (c->caller.ended)
					continue;
				c->last = c->habit == SILENT && any(r, 2) == 0;
				open.push_back(c.get());
				conns.push_back(std::move(c));
			}
			for (auto it = open.begin(); it != open.end();) {
				if (step(**it, r, &id)) {
					++it;
					continue;
				}
				close((*it)->caller.fd);
				(*it)->caller.fd = -1;
				it = open.erase(it);
			}
			if (!sending && until_ms == 1e18)
				until_ms = now_ms() + DRAIN;
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(1));
		}
	}

	/* What was found. */

	static double end_of(const Conn &c)
	{
		return c.ended_at > 0 ? c.ended_at : now_ms();
	}

	void violated(const Conn &c, const char *what, double ms)
	{
		const Sent *s = c.sent.empty() ? nullptr : &c.sent.back();

		violations++;
		if (++broken[what] > 10)
			return;
		printf("violated: %s: %.0f ms, %s %s%s %s stopped=%d "
		       "partial=%zu at=%.0f\n",
		    what, ms, habit_names[c.habit], c.box.c_str(),
		    troubles[c.of].link ? " (link)" : "",
		    s ? s->id.c_str() : "-",
		    overlap(troubles[c.of].stops, c.opened, end_of(c)) > 0,
		    c.caller.received.size(), c.quiet);
	}

	/* Returns the highest limit that may have applied, in ms. */
	double limit_between(double from, double to) const
	{
		int highest = 0;

		for (size_t i = 0; i < limits.size(); i++)
			if (limits[i].first <= to &&
			    (i + 1 == limits.size() ||
				limits[i + 1].first + APPLY >= from))
				highest = std::max(highest, limits[i].second);
		return highest;
	}

	bool any_kill(double from, double to) const
	{
		for (auto &t : troubles)
			if (overlap(t.kills, from, to) > 0)
				return true;
		return false;
	}

	void check_conn(const Conn &c)
	{
		const Trouble &t = troubles[c.of];
		double end = end_of(c);
		bool ended = c.caller.ended;
		bool linked = t.link && c.habit != SLOW;
		bool killed = overlap(t.kills, c.opened, end) > 0;
		bool planned = killed || overlap(t.stops, c.opened, end) > 0;
		bool no_answer = !c.sent.empty() && !c.sent.back().answered &&
		    !c.sent.back().behind_close;
		double sent_at = no_answer ? c.sent.back().at : 0;
		/*
		 * A response that has begun ends with the box of its owner, and
		 * at its deadline.
		 */
		bool cut = !c.caller.received.empty() &&
		    (any_kill(sent_at, end) || end - sent_at > DEADLINE);
		double bound = limit_between(c.before, c.quiet) + ENDED_BY +
		    overlap(t.suspended, c.before, c.quiet);

		if (c.stray > 0)
			violated(c, "got an answer too many", c.stray);
		/* At a stop resets are allowed; the proxy hides them. */
		if (no_answer && !killed && !cut &&
		    c.quiet - sent_at > (linked ? CROSSED_LINK : CROSSED) &&
		    (!planned || (c.caller.error == 0 && !linked)))
			violated(c, "was sent, and got no answer",
			    c.quiet - sent_at);
		if (no_answer && !planned && ended && c.stated > 0 &&
		    sent_at < c.after + c.stated)
			violated(c, "ended though it was used as stated",
			    sent_at - c.before);
		if (!no_answer && !planned && ended && !c.closing &&
		    c.stated > 0 && end < c.after + c.stated)
			violated(c, "was closed before the time stated",
			    end - c.before);
		if (!no_answer && !planned && c.quiet - c.before > bound)
			violated(c, "outlived the timeout", c.quiet - c.before);
	}

	int check()
	{
		auto runs = f.runs();
		std::map<std::string, size_t> n;

		for (auto &c : conns) {
			check_conn(*c);
			n["connections"]++;
			for (auto &s : c->sent) {
				for (auto *what : s.broken(s.runs_in(runs)))
					violated(*c, what, 0);
				n["requests"]++;
				n["answered"] += s.status == 200;
				n["refused as not run"] += s.ran == "no";
				n["given up"] += s.answered &&
				    s.status != 200 && s.ran != "no";
				n["crossed a close"] +=
				    !s.answered && s.runs_in(runs) == 0;
				n["reset"] +=
				    !s.answered && c->caller.error != 0;
			}
		}
		for (auto &k : n)
			printf("%zu %s, ", k.second, k.first.c_str());
		for (auto &d : done)
			printf("%d %s, ", d.second, d.first.c_str());
		for (auto &b : broken)
			printf("%d \"%s\", ", b.second, b.first.c_str());
		printf("%d rules, %d violations\n", rules, violations);
		return violations > 0 || n["answered"] == 0;
	}

	int run(double seconds)
	{
		double began, next = 0;

		start();
		began = now_ms();
		std::thread callers([&, seed = rng()] { call(seed); });
		while (now_ms() < began + seconds * 1000) {
			tend();
			if (now_ms() >= next) {
				work();
				next = now_ms() +
				    any(1600 / (int)f.boxes.size() + 50);
			}
			if (now_ms() >= next_limit)
				change_limit();
			if (rules_due > 0) {
				write_rule();
				rules_due--;
			}
			pump(1);
		}
		for (auto &t : troubles)
			t.series = 0;
		sending = false;
		until([&] {
			tend();
			for (auto &t : troubles)
				if (t.resume > 0)
					return false;
			return true;
		});
		callers.join();
		for (auto &b : busy)
			b.join();
		return check();
	}
};

} // namespace

int
main(int argc, char **argv)
{
	return run_soak<Soak>(argc, argv);
}
