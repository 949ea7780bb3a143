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
 * Tests boxes on the users' platform under random faults, from a printed seed.
 * Boxes are separate processes; the store and the backend servers are behind
 * proxies that inject faults.  Further faults are signals and a store that
 * refuses calls, drops its history, is stale, or is restored from a copy, after
 * which everyone writes again what it lost.  Configurations change meanwhile.
 * Faults come in series and overlap.  The guarantees are checked from what
 * callers and backend servers observe.  Two customers have rates; now and then
 * one of them sends many times its rate while boxes are killed.
 *
 *	soak_box SECONDS [SEED [BOXES [restores]]]
 *
 * With a number of boxes the setup is as deployed: two boxes of each hall are
 * strong.  Stale responses lag, the configuration changes every quarter of a
 * second, also during faults, and all strong boxes, or all boxes, are lost at
 * once.  Boxes that no fault separates are continuously checked for the version
 * in force.
 */
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <random>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet.h"
#include "net.h"
#include "objects.h"

namespace
{

enum { FEW = 4, BACKENDS = 8, SLOTS = 3, DEADLINE_MS = 800 };
/*
 * Strong boxes per hall; number of earlier configurations whose routes are kept
 * in later ones; every THIRD-th box uses a second proxy to the store.
 */
enum { STRONG = 2, KEPT = 60, THIRD = 3 };

/*
 * The operators' bounds, in ms: time without faults after which a box counts as
 * connected, and time within which an acknowledged change is in force there.
 */
const double CONTACT = 3000, APPLY = 2000;
/*
 * In ms: time after which a server's report must be respected by all boxes, and
 * the period over which a reported rate limit is checked.
 */
const double TOLD = 500, SPAN = 4000;
/* In ms: time between two calm phases; interval of changes in these. */
const double ROUGH_MS = 4000, CHANGE_MS = 400;
/*
 * With many boxes, in ms: interval of changes, the operators' bound for them,
 * and the interval of checks.
 */
const double STORM_MS = 250, APPLY_MANY = 2500, TEST_MS = 60;
/*
 * In ms: when all boxes are lost after a change; greatest age of stale
 * responses.
 */
const int LOST_AFTER_MS[] = {5, 400}, LAG_MAX_MS = 5000;

/*
 * Customers, with the requests that they may have run per second and the burst,
 * and the window in which that is checked.
 */
struct Customer {
	const char *name;
	int rate, burst;
};
const Customer CUSTOMERS[] = {{"calm", 20, 20}, {"loud", 20, 20}};
const int64_t WINDOW_NS = 5 * NS_S;
/*
 * One in so many steps of the traffic sends a request of each customer, about
 * half of its rate.  In a rush of RUSH_MS, which begins with so long a pause
 * after the last, the loud one sends RUSH_FACTOR in each step, about ten times
 * its rate.
 */
enum { CUSTOMER_STEPS = 12, RUSH_FACTOR = 2 };
const double RUSH_MS = 4000, RUSH_PAUSE_MS = 6000;

/*
 * In ms: greatest age of the copy that the store is restored from, time within
 * which what it lost is written again, and time after a restore in calm in
 * which nothing older may be in force.
 */
const int COPY_MAX_MS = 4000, REWRITE_MS = 1000;
const double RESTORED_MS = 5000;

/* One request as its caller observed it. */
struct Seen {
	std::string id;
	bool unsafe = false;
	Reply reply;
	bool ended = false;
	double took_ms = 0;
};

/* An active fault, and when and how it is ended. */
struct Trouble {
	std::string what;
	double until;
	std::function<void()> mend;
};

struct Soak {
	std::mt19937 rng;
	std::string net, dir;
	Objects store;
	int nboxes;
	bool many; /* as deployed */
	std::vector<Process> boxes;
	std::vector<std::unique_ptr<Proxy>> backend_proxies;
	std::unique_ptr<Proxy> store_proxy;
	std::unique_ptr<Proxy> some_proxy; /* for every THIRD-th box */
	std::vector<Trouble> troubles;
	std::map<std::string, int> faults;
	std::vector<std::unique_ptr<Seen>> seen;
	std::array<int, BACKENDS> lives{};
	int version = 0; /* the newest valid configuration */
	int invalid = 0; /* minus the number of invalid ones */
	std::vector<std::string> broken; /* violated guarantees */
	bool tidy = false; /* no violation, so logs are deleted */

	/* Used with many boxes. */
	std::mt19937 draw;
	std::vector<double> changed; /* when each version was acknowledged */
	std::vector<double> hit; /* when a fault of each box ends or ended */
	double store_hit = 0, next_change = 0, next_test = 0;
	int late = 0; /* newest version that a box applied too late */

	std::mt19937 who; /* for requests of customers */
	double rush_until = 0;
	int steps = 0; /* of the traffic */

	bool restores = false; /* the store is restored now and then */
	std::mt19937 copies; /* for these restores */
	std::string config; /* as written last */
	std::array<std::string, BACKENDS> states; /* the same, of servers */
	/* When lost objects are written again, and how. */
	std::vector<std::pair<double, std::function<void()>>> rewrites;

	Soak(unsigned seed, int n)
	    : rng(seed), net(net::own()), store(net + "1:9000"),
	      nboxes(n > 0 ? n : FEW), many(n > 0), boxes(at(nboxes)),
	      draw(seed), hit(at(nboxes), now_ms()), who(seed), copies(seed)
	{
		char name[] = "/tmp/fernsoak.XXXXXX";

		dir = mkdtemp(name);
		store_proxy = proxy(net + "2:9000", net + "1:9000");
		if (many)
			some_proxy = proxy(net + "3:9000", net + "1:9000");
		for (int i = 0; i < BACKENDS; i++) {
			std::string own = net + std::to_string(100 + i);
			std::string id = "i-" + std::to_string(i);

			store.start_backend(id, service(i), own + ":9100");
			backend_proxies.push_back(
			    proxy(own + ":9101", own + ":9100"));
			enter(i, "ready");
		}
		configure();
		for (int i = 0; i < nboxes; i++) {
			write_settings(i);
			boxes[at(i)].argv = {root() + "/fernbox", file(i)};
			boxes[at(i)].log = dir + "/log" + std::to_string(i);
			boxes[at(i)].start();
		}
	}

	~Soak()
	{
		for (auto &b : boxes)
			b.kill9();
		for (auto &p : backend_proxies)
			p->process.kill9();
		store_proxy->process.kill9();
		if (many)
			some_proxy->process.kill9();
		for (int i = 0; i < nboxes && tidy; i++) {
			unlink(file(i).c_str());
			unlink(boxes[at(i)].log.c_str());
		}
		unlink((dir + "/proxy.log").c_str());
		rmdir(dir.c_str());
	}

	static size_t at(int i)
	{
		return static_cast<size_t>(i);
	}

	/* Separate from any(), so that kept seeds give the same faults. */
	int drawn(int from, int to)
	{
		return from +
		    static_cast<int>(
			draw() % static_cast<unsigned>(to - from + 1));
	}

	static void start_again(Process &p)
	{
		if (!p.running())
			p.start();
	}

	/* Boxes that the platform may refuse while it serves the others. */
	bool is_some(int box) const
	{
		return many && box % THIRD == 0;
	}

	bool is_strong(int box) const
	{
		return box % (nboxes / 2) < STRONG;
	}

	int any(int n)
	{
		return static_cast<int>(rng() % static_cast<unsigned>(n));
	}

	static std::string root()
	{
		const char *r = getenv("FERN_ROOT");

		return r != nullptr ? r : ".";
	}

	static std::string service(int i)
	{
		return i % 2 == 0 ? "till" : "shelf";
	}

	static std::string hall(int i)
	{
		return i / 2 % 2 == 0 ? "north" : "south";
	}

	std::string file(int box) const
	{
		return dir + "/box" + std::to_string(box) + ".toml";
	}

	std::string ip(int box) const
	{
		return net + std::to_string(10 + box);
	}

	std::unique_ptr<Proxy>
	proxy(const std::string &listen, const std::string &target)
	{
		auto p = std::make_unique<Proxy>();

		p->address = listen;
		p->control = listen.substr(0, listen.rfind(':')) + ":7000";
		p->process.argv = {root() + "/regress/standin_proxy", listen,
		    target, p->control};
		p->process.log = dir + "/proxy.log";
		p->process.start();
		until([&] {
			return http("GET", p->control, "/", {}, "", 500)
				   .status == 200;
		});
		return p;
	}

	void write_settings(int box)
	{
		std::ofstream out(file(box));
		std::string own = "box = \"b" + std::to_string(box) +
		    "\"\nhall = \"" + (box < nboxes / 2 ? "north" : "south") +
		    "\"\nplatform = \"" +
		    (is_some(box) ? some_proxy : store_proxy)->address +
		    "\"\nplatform_form = \"objects\"\n";

		out << "[gate]\n"
		    << own << "listen = \"" << ip(box) << ":8080\"\n"
		    << "admin_listen = \"" << ip(box) << ":8280\"\n"
		    << "pass_listen = \"" << ip(box) << ":8180\"\n"
		    << "inbox = \"" << ip(box) << ":8380\"\n"
		    << "agent = \"" << ip(box) << ":8480\"\n"
		    << "policy = \"pace\"\ncharts = \"" << root()
		    << "/charts\"\nearly_ms = 1000\nleave_wait_ms = 300\n"
		    << "grace_ms = 2000\nbounds = "
		    << "'{\"retryBudgetRatio\":0.2,\"retryBudgetSlack\":60}'\n"
		    << "[agent]\n"
		    << own << "inbox = \"" << ip(box) << ":8480\"\n"
		    << "gate_inbox = \"" << ip(box) << ":8380\"\n"
		    << "pass = \"" << ip(box) << ":8180\"\nseeds = [\"" << ip(0)
		    << ":8480\", \"" << ip(3) << ":8480\"]\n"
		    << "probe_rate = 0\nplatform_rate = 50\n"
		    << "first_ms = 10\nretry_ms = 300\nwatchers = "
		    << (many ? "6\nlook_ms = 1250\nlist_ms = 3600000\npower "
			       "= " +
				   std::string(is_strong(box) ? "0.5" : "0.1")
			     : "2")
		    << "\n"
		    /* As deployed: as few calls of the store as possible. */
		    << "gather_ms = 600\nboxes_ms = 15000\n"
		    << "status_ms = 3600000\nstatus_by = \"hubs\"\n";
	}

	/* Each incarnation of a backend server has its own start time. */
	void enter(int i, const std::string &state)
	{
		states[at(i)] = state;
		store.put("servers", "i-" + std::to_string(i),
		    "{\"service\":\"" + service(i) + "\",\"addr\":\"" +
			backend_proxies[at(i)]->address + "\",\"zone\":\"" +
			hall(i) + "\",\"slots\":" + std::to_string(SLOTS) +
			",\"state\":\"" + state + "\",\"born\":" +
			std::to_string(1000 + lives[at(i)]) + "}");
	}

	static std::string
	route(const std::string &path, const char *type, const std::string &to)
	{
		return R"({"resourceType":"routes","metadata":{"name":"r)" +
		    path +
		    R"("},"spec":{"host":"shop.example","pathPrefix":"/)" +
		    path + R"(/","routeType":")" + type +
		    R"(","timeout":"900ms","targetLatency":"300ms",)" +
		    R"("priority":1,"maxAttempts":2,"noAuth":true)" + to +
		    "}},";
	}

	static std::string tenants()
	{
		std::string text;

		for (const Customer &c : CUSTOMERS)
			text += R"({"resourceType":"tenants","metadata":
			    {"name":")" +
			    std::string(c.name) +
			    R"("},"spec":{"apiKeys":["key-)" + c.name +
			    R"("],"ratePerS":)" + std::to_string(c.rate) +
			    ",\"burst\":" + std::to_string(c.burst) + "}},";
		return text;
	}

	/* Returns the routes that identify earlier configurations. */
	std::string kept(int own) const
	{
		std::string text;

		for (int v = std::max(own - KEPT, 1); many && v < own; v++)
			text += route("is" + std::to_string(v), "safe",
			    R"(,"service":"till")");
		return text;
	}

	/*
	 * Writes a configuration.  Each has a route that identifies it, which
	 * only later configurations repeat, and only with many boxes.  An
	 * invalid one also has a route without a service.
	 */
	void configure(bool valid = true)
	{
		int own = valid ? ++version : --invalid;
		std::string till = R"(,"service":"till")";
		std::string shelf = R"(,"service":"shelf")";

		config = "{\"version\":\"r" +
		    std::to_string(version - invalid) + "\",\"resources\":[" +
		    route("look", "safe", till) +
		    route("buy", "unsafe", shelf) +
		    route("is" + std::to_string(own), "safe", till) +
		    kept(own) + tenants() +
		    (valid ? "" : route("nowhere", "safe", "")) +
		    R"({"resourceType":"services","metadata":
			    {"name":"till"},"spec":{"healthPath":"/health"}},
			   {"resourceType":"services","metadata":
			    {"name":"shelf"},"spec":{"healthPath":"/health"}}
			   ]})";
		store.put("config", "main", config);
		if (valid)
			changed.push_back(now_ms());
	}

	/*
	 * Requests the route that identifies a configuration: 200 if it is in
	 * force at the box, 404 if not.  Any other status, as from a busy box,
	 * says nothing about it.
	 */
	int status_of(int box, int configuration)
	{
		return http("GET", ip(box) + ":8080",
		    "/is" + std::to_string(configuration) + "/x",
		    {{"Host", "shop.example"},
			{"fernjunction-request-id", "probe"},
			{"fernjunction-deadline-ms", "800"}},
		    "", 2000)
		    .status;
	}

	void expect(int box, int configuration, bool found, const char *what)
	{
		int status = status_of(box, configuration);

		if (found ? status != 404 : status != 200)
			return;
		broken.push_back(std::string(what) + ": box " +
		    std::to_string(box) + ", configuration " +
		    std::to_string(configuration) + " of " +
		    std::to_string(version) + ", status " +
		    std::to_string(status));
	}

	/* Returns the newest version that must be in force now; 0: none. */
	int due() const
	{
		int v = version;

		while (v > 0 && changed[at(v - 1)] > now_ms() - APPLY_MANY)
			v--;
		return v;
	}

	bool in_touch(int box) const
	{
		double since = std::max(hit[at(box)], store_hit);

		return boxes[at(box)].running() && now_ms() - since >= CONTACT;
	}

	/* Makes the next change and checks one connected box for changes. */
	void storm()
	{
		int box = drawn(0, nboxes - 1), v;

		if (now_ms() >= next_change) {
			configure();
			next_change = now_ms() + STORM_MS;
		}
		if (now_ms() < next_test || !in_touch(box))
			return;
		next_test = now_ms() + TEST_MS;
		v = due();
		/* Each late version is recorded only once. */
		if (v <= late || v <= version - KEPT)
			return;
		size_t before = broken.size();
		expect(box, v, true, "late, in touch");
		if (broken.size() > before)
			late = v;
	}

	/* Injects a fault into several boxes: `how` starts, `mend` ends it. */
	void harm(const std::string &what, double ms, bool strong_only,
	    const std::function<void(Process &)> &how,
	    const std::function<void(Process &)> &mend)
	{
		auto each = [this, strong_only](
				const std::function<void(Process &)> &fn,
				double until) {
			for (int i = 0; i < nboxes; i++) {
				if (strong_only && !is_strong(i))
					continue;
				hit[at(i)] = std::max(hit[at(i)], until);
				fn(boxes[at(i)]);
			}
		};

		for (auto &t : troubles)
			if (t.what.find("box") != std::string::npos)
				return;
		trouble(
		    what, ms, [&] { each(how, now_ms() + ms); },
		    [each, mend] { each(mend, now_ms()); });
	}

	/* Makes all strong boxes unavailable for `ms`. */
	void lose_strong(double ms)
	{
		if (drawn(0, 1) == 0)
			harm(
			    "strong-boxes-die", ms, true,
			    [](Process &p) { p.kill9(); }, start_again);
		else
			harm(
			    "strong-boxes-freeze", ms, true,
			    [](Process &p) { p.signal(SIGSTOP); },
			    [](Process &p) { p.signal(SIGCONT); });
	}

	void turn_some_away(double ms)
	{
		static const char *const modes[] = {"cut", "blackhole"};
		std::string mode = modes[drawn(0, 1)];
		auto set = [this](const std::string &to, double until) {
			for (int i = 0; i < nboxes; i += THIRD)
				hit[at(i)] = std::max(hit[at(i)], until);
			some_proxy->set("mode=" + to);
		};

		trouble(
		    "some-" + mode, ms, [&] { set(mode, now_ms() + ms); },
		    [set] { set("pass", now_ms()); });
	}

	void many_fault()
	{
		double ms = drawn(100, 5000);

		switch (drawn(0, 8)) {
		case 0:
		case 1:
			lose_strong(ms);
			break;
		case 2:
			configure();
			pump(drawn(LOST_AFTER_MS[0], LOST_AFTER_MS[1]));
			harm(
			    "all-boxes-die", ms / 4, false,
			    [](Process &p) { p.kill9(); }, start_again);
			break;
		case 3:
			store.lag(drawn(0, LAG_MAX_MS));
			faults["store-lags"]++;
			break;
		case 5:
			trouble(
			    "store-slow", ms,
			    [&] { store_proxy->set("delay_ms=300"); },
			    [this] { store_proxy->set("delay_ms=0"); });
			break;
		case 6:
			trouble(
			    "store-late", ms / 2,
			    [&] { store_proxy->set("mode=freeze"); },
			    [this] { store_proxy->set("mode=pass"); });
			break;
		case 7:
			trouble(
			    "store-deaf", 1000, [&] { store.deafen(true); },
			    [this] { store.deafen(false); });
			break;
		case 8:
			turn_some_away(ms);
			break;
		default:
			store.cut_watches();
			faults["store-cuts-watches"]++;
		}
	}

	/*
	 * Makes the store silent after all boxes watch it, so that responses to
	 * their watches are lost.
	 */
	void last_silence()
	{
		configure();
		traffic(100 + any(700));
		store.silence(true);
		faults["last-silence"]++;
		note_hit("store-silence", now_ms());
		traffic(300 + any(700));
		configure();
		traffic(100);
		store.silence(false);
		note_hit("store-silence", now_ms());
	}

	/*
	 * Ends all faults, in half of the cases followed by a silence of the
	 * store, while changes go on.  Then each box must use the newest
	 * configuration, and no older or invalid one.
	 */
	void calm()
	{
		double until_touch;

		if (!heals())
			return;
		if (any(2) == 0)
			last_silence();
		until_touch = now_ms() + CONTACT;
		while (now_ms() < until_touch) {
			configure();
			traffic(CHANGE_MS);
		}
		if (restores && !many && copied(2) == 0)
			restore_in_calm();
		if (many) {
			lose_strong(2 * CONTACT);
			traffic(3 * CONTACT);
		} else
			word();
		next_change = now_ms() + 2 * APPLY_MANY;
		traffic(many ? APPLY_MANY : APPLY);
		for (int i = 0; i < nboxes; i++) {
			expect(i, version, true, "late");
			expect(i, many ? version - KEPT - 1 : version - 1,
			    false, "back to an older one");
			if (invalid < 0)
				expect(i, invalid, false, "not valid");
		}
	}

	/* Counts the requests that a backend server got in a period, in ms. */
	size_t came(const std::string &id, double from, double to)
	{
		size_t n = 0;

		for (int64_t ns : store.came(id)) {
			double ms = static_cast<double>(ns) / NS_MS;

			n += ms >= from && ms < to;
		}
		return n;
	}

	/*
	 * Sends traffic until a request reaches the server.  Returns false if
	 * none does within SPAN, as its owner prefers other servers.
	 */
	bool tell(const std::string &id)
	{
		double from = now_ms();

		while (came(id, from, now_ms()) == 0) {
			if (now_ms() > from + SPAN)
				return false;
			traffic(20);
		}
		return true;
	}

	/*
	 * Injects a fault into a box that has received a server's report.
	 * Returns true if the box restarts: it has then lost the report and
	 * sends as many requests as there are slots, until a response or
	 * another box informs it.
	 */
	bool lose_a_box()
	{
		int i = any(nboxes);

		faults["word-box"]++;
		switch (any(4)) {
		case 0:
			boxes[at(i)].kill9();
			traffic(any(1500));
			boxes[at(i)].start();
			return true;
		case 1:
			boxes[at(i)].signal(SIGSTOP);
			traffic(any(1500));
			boxes[at(i)].signal(SIGCONT);
			return false;
		case 2:
			store.silence(true);
			traffic(any(1500));
			store.silence(false);
			return false;
		default:
			traffic(any(1500));
			return false;
		}
	}

	void expect_came(const char *what, const std::string &id, double from,
	    double to, size_t most)
	{
		size_t n = came(id, from, to);

		if (n <= most)
			return;
		broken.push_back(std::string(what) + ": " + id + " got " +
		    std::to_string(n) + " requests in " +
		    std::to_string(static_cast<int>(to - from)) +
		    " ms, allowed " + std::to_string(most));
	}

	/* Checks that a report, known to all boxes since `told`, is respected.
	 */
	void check_word(int kind, const std::string &id, double told, int value,
	    bool restarted)
	{
		double end = now_ms();

		if (kind == 0)
			expect_came(
			    "leaves", id, told, end, restarted ? SLOTS : 0);
		if (kind == 2)
			expect_came("rest", id, told,
			    std::min(told - TOLD + value * 1000.0, end), 2);
		for (; kind == 1 && told + SPAN < end; told += 100)
			expect_came("limit", id, told, told + SPAN,
			    static_cast<size_t>(value * SPAN / 1000 * 1.5 + 5));
	}

	/*
	 * Makes a backend server report that it leaves, a rate limit or a
	 * Retry-After pause.  From half a second after the first box received
	 * the report, all boxes together must respect it, whatever fault one
	 * box has.
	 */
	void word()
	{
		static const char *const headers[] = {
		    "server-leaving", "server-limit", "retry-after"};
		int i = any(BACKENDS), kind = any(3), value = 1 + any(4);
		std::string id = "i-" + std::to_string(i);

		faults[headers[kind]]++;
		store.set(id, 100, kind == 2, false);
		store.say(id, headers[kind], std::to_string(value));
		if (tell(id)) {
			double told = now_ms() + TOLD;
			bool restarted = false;

			traffic(TOLD / 2);
			if (kind != 2)
				restarted = lose_a_box();
			traffic(kind == 1 ? SPAN + TOLD : 2 * TOLD);
			check_word(kind, id, told, value, restarted);
		}
		store.set(id, 100, false, false);
		store.say(id, headers[kind], "");
		lives[at(i)]++;
		enter(i, "ready");
	}

	bool ready(int box) const
	{
		return http("GET", ip(box) + ":8280", "/ready", {}, "", 500)
			   .status == 200;
	}

	/* Sends a request, of a customer unless the name is empty. */
	void ask(const std::string &customer = "")
	{
		auto own = std::make_unique<Seen>();
		Seen *s = own.get();
		double began = now_ms();
		auto random = [&](int n) {
			return customer.empty() ? any(n)
						: static_cast<int>(who() %
						      static_cast<unsigned>(n));
		};
		bool unsafe = random(3) == 0;

		s->id = customer + "s" + std::to_string(seen.size());
		s->unsafe = unsafe;
		seen.push_back(std::move(own));
		http_start(unsafe ? "POST" : "GET",
		    ip(random(nboxes)) + ":8080", unsafe ? "/buy/x" : "/look/x",
		    {{"Host", "shop.example"},
			{"fernjunction-request-id", s->id},
			{"fernjunction-credential", "key-" + customer},
			{"fernjunction-deadline-ms",
			    std::to_string(DEADLINE_MS)}},
		    unsafe ? "body" : "", 5000, [s, began](const Reply &r) {
			    s->reply = r;
			    s->ended = true;
			    s->took_ms = now_ms() - began;
		    });
	}

	/* Sends the requests of customers that are due in a step. */
	void ask_as_customers()
	{
		if (++steps % CUSTOMER_STEPS == 0)
			for (const Customer &c : CUSTOMERS)
				ask(c.name);
		for (int i = 0; i < RUSH_FACTOR && now_ms() < rush_until; i++)
			ask("loud");
	}

	/*
	 * Begins a rush of a customer if the last is over for long enough, and
	 * kills a box twice in it: its owner may be there.
	 */
	void rush()
	{
		int box = static_cast<int>(who() % at(nboxes));

		if (now_ms() < rush_until)
			trouble(
			    "kill box" + std::to_string(box), 700,
			    [&] { boxes[at(box)].kill9(); },
			    [this, box] { start_again(boxes[at(box)]); });
		if (now_ms() < rush_until + RUSH_PAUSE_MS)
			return;
		faults["rush"]++;
		rush_until = now_ms() + RUSH_MS;
	}

	/*
	 * Checks that no window has more requests of a customer executed than
	 * its rate and burst allow, with the operators' tolerance.
	 */
	void check_rates()
	{
		for (const Customer &c : CUSTOMERS) {
			std::vector<int64_t> at_ns =
			    store.first_runs(std::string(c.name) + "s");
			double most = 1.1 * (c.rate * 5 + c.burst) + 20;
			size_t worst = 0;

			for (size_t i = 0, j = 0; i < at_ns.size(); i++) {
				while (at_ns[i] - at_ns[j] >= WINDOW_NS)
					j++;
				worst = std::max(worst, i - j + 1);
			}
			printf("customer %s: %zu requests ran, %zu at most in "
			       "5 s, %.0f allowed\n",
			    c.name, at_ns.size(), worst, most);
			if (static_cast<double>(worst) > most)
				broken.push_back(std::string("rate of ") +
				    c.name + ": " + std::to_string(worst) +
				    " ran in 5 s");
		}
	}

	int copied(int n)
	{
		return static_cast<int>(copies() % static_cast<unsigned>(n));
	}

	/* Restores the store; the operator and all servers write again. */
	void restore()
	{
		auto later = [this](std::function<void()> write) {
			rewrites.emplace_back(
			    now_ms() + copied(REWRITE_MS), std::move(write));
		};

		store.restore();
		later([this] { store.put("config", "main", config); });
		for (int i = 0; i < BACKENDS; i++)
			later([this, i] { enter(i, states[at(i)]); });
	}

	/* Now and then restores the store from a copy as it is now. */
	void copy()
	{
		if (restores && copied(5) == 0)
			trouble(
			    "store-restored", copied(COPY_MAX_MS),
			    [&] { store.keep_copy(); }, [this] { restore(); });
	}

	/*
	 * Restores the store from a copy that lacks a drain and the newest
	 * configuration, both in force on all boxes.  They must stay so.
	 */
	void restore_in_calm()
	{
		int i = copied(BACKENDS);
		double from, end;

		store.keep_copy();
		enter(i, "draining");
		configure();
		traffic(APPLY);
		faults["calm-restore"]++;
		from = now_ms();
		end = from + RESTORED_MS;
		restore();
		while (now_ms() < end) {
			traffic(100);
			int box = copied(nboxes);
			expect(box, version, true, "lost by a restore");
			expect(box, version - 1, false, "older by a restore");
		}
		expect_came("drained", "i-" + std::to_string(i), from, end, 0);
		lives[at(i)]++;
		enter(i, "ready");
	}

	/* Writes again what is due. */
	void rewrite()
	{
		for (size_t i = rewrites.size(); i-- > 0;) {
			if (now_ms() < rewrites[i].first)
				continue;
			rewrites[i].second();
			rewrites.erase(
			    rewrites.begin() + static_cast<std::ptrdiff_t>(i));
		}
	}

	/* Sends requests at a steady rate for `ms` and ends expired faults. */
	void traffic(double ms)
	{
		double end = now_ms() + ms;

		while (now_ms() < end) {
			ask();
			ask_as_customers();
			pump(8);
			rewrite();
			if (many)
				storm();
			for (size_t i = troubles.size(); i-- > 0;) {
				if (now_ms() < troubles[i].until)
					continue;
				note_hit(troubles[i].what, now_ms());
				troubles[i].mend();
				troubles.erase(troubles.begin() +
				    static_cast<std::ptrdiff_t>(i));
			}
		}
	}

	/* Records which box, or the store, a fault affects, and until when. */
	void note_hit(const std::string &what, double until)
	{
		size_t box = what.find(" box");

		if (what.compare(0, 6, "store-") == 0)
			store_hit = std::max(store_hit, until);
		if (box != std::string::npos) {
			double &h = hit[at(atoi(what.c_str() + box + 4))];

			h = std::max(h, until);
		}
	}

	/* Starts a fault, unless the same one is active already. */
	void trouble(const std::string &what, double ms,
	    const std::function<void()> &cause, std::function<void()> mend)
	{
		for (auto &t : troubles)
			if (t.what == what)
				return;
		faults[what.substr(0, what.find(' '))]++;
		note_hit(what, now_ms() + ms);
		cause();
		troubles.push_back({what, now_ms() + ms, std::move(mend)});
	}

	void box_fault(int i, double ms)
	{
		Process &p = boxes[at(i)];
		std::string what = "box" + std::to_string(i);

		switch (any(4)) {
		case 0:
			trouble(
			    "kill " + what, ms, [&] { p.kill9(); },
			    [&p] { start_again(p); });
			break;
		case 1:
			trouble(
			    "pause " + what, ms, [&] { p.signal(SIGSTOP); },
			    [&p] { p.signal(SIGCONT); });
			break;
		case 2:
			trouble(
			    "stop " + what, 3000, [&] { p.signal(SIGTERM); },
			    [&p] {
				    p.kill9();
				    start_again(p);
			    });
			break;
		default:
			trouble(
			    "reload " + what, ms, [&] { p.signal(SIGHUP); },
			    [] {});
		}
	}

	void backend_fault(int i, double ms)
	{
		static const char *const modes[] = {
		    "cut", "blackhole", "freeze", "drop_answers"};
		std::string id = "i-" + std::to_string(i);
		Proxy *p = backend_proxies[at(i)].get();
		std::string mode;

		switch (any(4)) {
		case 0:
			mode = modes[any(4)];
			trouble(
			    "net-" + mode + " " + id, ms,
			    [&] { p->set("mode=" + mode); },
			    [p] { p->set("mode=pass"); });
			break;
		case 1:
			trouble(
			    "slow " + id, ms,
			    [&] { store.set(id, 500, false, false); },
			    [this, id] { store.set(id, 100, false, false); });
			break;
		case 2:
			trouble(
			    "lose " + id, ms,
			    [&] { store.set(id, 100, false, true); },
			    [this, id] { store.set(id, 100, false, false); });
			break;
		default:
			trouble(
			    "drain " + id, ms, [&] { enter(i, "draining"); },
			    [this, i] { enter(i, "ready"); });
		}
	}

	void store_fault(double ms)
	{
		static const char *const modes[] = {
		    "cut", "blackhole", "drop_answers"};
		std::string mode = modes[any(3)];

		switch (any(6)) {
		case 0:
			trouble(
			    "store-refuses", ms, [&] { store.answer_all(503); },
			    [this] { store.answer_all(0); });
			break;
		case 1:
			trouble(
			    "store-" + mode, ms,
			    [&] { store_proxy->set("mode=" + mode); },
			    [this] { store_proxy->set("mode=pass"); });
			break;
		case 2:
			trouble(
			    "store-forgets", ms, [&] { store.compact(); },
			    [] {});
			break;
		case 3:
			trouble(
			    "store-stale", ms, [&] { store.keep_stale(); },
			    [] {});
			break;
		case 4:
			trouble(
			    "store-silent", ms,
			    [&] {
				    store.silence(true);
				    configure();
			    },
			    [this] { store.silence(false); });
			break;
		default:
			trouble(
			    "configure", ms, [&] { configure(any(4) > 0); },
			    [] {});
		}
	}

	void fault()
	{
		double ms = 100 + any(1500);

		if (many && drawn(0, 2) == 0) {
			many_fault();
			return;
		}
		switch (any(3)) {
		case 0:
			box_fault(any(nboxes), ms);
			break;
		case 1:
			backend_fault(any(BACKENDS), ms);
			break;
		default:
			store_fault(ms);
		}
	}

	/* Ends all faults; returns whether every box serves again in time. */
	bool heals()
	{
		for (auto &t : troubles) {
			note_hit(t.what, now_ms());
			t.mend();
		}
		troubles.clear();
		return until(
		    [&] {
			    for (int i = 0; i < nboxes; i++)
				    if (!ready(i))
					    return false;
			    return true;
		    },
		    8000);
	}

	/* Prints for each box whether its process runs and whether it is ready.
	 */
	void tell_boxes()
	{
		for (int i = 0; i < nboxes; i++) {
			Process &p = boxes[at(i)];
			int status = 0;
			bool gone = p.running() &&
			    waitpid(p.pid, &status, WNOHANG) == p.pid;

			printf("box %d: pid %d, %s %d, %s\n", i,
			    static_cast<int>(p.pid),
			    gone ? "ended with status" : "lives",
			    gone ? status : 0, ready(i) ? "ready" : "not");
			if (gone)
				p.pid = 0;
		}
	}

	size_t ran(const std::string &id)
	{
		size_t n = 0;

		for (int i = 0; i < BACKENDS; i++)
			n += store.ran_times("i-" + std::to_string(i), id);
		return n;
	}

	/* Returns which guarantee a request violates; empty: none. */
	std::string violation(const Seen &s)
	{
		static const int promises[] = {408, 421, 429, 503};
		int status = s.reply.status;
		size_t n = ran(s.id);

		if (!s.ended)
			return "never ended";
		if (s.unsafe && n > 1)
			return "ran twice";
		for (int p : promises)
			if (status == p && n > 0 && s.unsafe)
				return "was refused and ran";
		if (status == 200 && s.reply.complete && n == 0)
			return "was answered and never ran";
		if (status == 200 && s.reply.complete &&
		    (s.reply.body != "the answer" ||
			s.reply.header("fernjunction-request-id") != s.id))
			return "got another answer";
		return "";
	}
};

} // namespace

int
main(int argc, char **argv)
{
	double seconds = argc > 1 ? atof(argv[1]) : 20;
	unsigned seed = argc > 2 ? static_cast<unsigned>(atol(argv[2]))
				 : static_cast<unsigned>(time(nullptr));
	int n = argc > 3 ? atoi(argv[3]) : 0;
	size_t bad = 0, good = 0;
	int faults = 0;

	setvbuf(stdout, nullptr, _IOLBF, 0);
	printf("seed %u, %.0f seconds, %d boxes\n", seed, seconds,
	    n > 0 ? n : FEW);
	if (n != 0 && n < 2 * (STRONG + 1)) {
		fprintf(stderr, "soak_box: %d boxes are too few, %d at least\n",
		    n, 2 * (STRONG + 1));
		return 1;
	}
	Soak soak(seed, n);
	soak.restores = argc > 4 && strcmp(argv[4], "restores") == 0;
	if (!soak.heals()) {
		printf("the boxes never served\n");
		return 1;
	}
	double end = now_ms() + seconds * 1000;
	double rough = now_ms() + ROUGH_MS;
	while (now_ms() < end) {
		soak.fault();
		soak.rush();
		soak.copy();
		soak.traffic(30 + soak.any(600));
		if (now_ms() < rough)
			continue;
		soak.calm();
		rough = now_ms() + ROUGH_MS;
	}
	soak.calm();
	bool healed = soak.heals();
	if (!healed)
		soak.tell_boxes();
	soak.traffic(500);
	pump(5500);
	soak.check_rates();
	for (auto &s : soak.seen) {
		std::string what = soak.violation(*s);

		good += s->reply.status == 200;
		bad += !what.empty();
		if (!what.empty())
			printf("VIOLATION %s (%s) %s, status %d, %.0f ms\n",
			    s->id.c_str(), s->unsafe ? "unsafe" : "safe",
			    what.c_str(), s->reply.status, s->took_ms);
	}
	for (auto &b : soak.broken)
		printf("VIOLATION %s\n", b.c_str());
	bad += soak.broken.size();
	for (auto &f : soak.faults) {
		printf("fault %-18s %d\n", f.first.c_str(), f.second);
		faults += f.second;
	}
	printf("seed %u: %zu requests, %zu answered, %d faults, %zu "
	       "violations%s; logs in %s\n",
	    seed, soak.seen.size(), good, faults, bad,
	    healed ? "" : ", and some box did not serve again",
	    soak.dir.c_str());
	soak.tidy = bad == 0 && healed;
	return !soak.tidy;
}
