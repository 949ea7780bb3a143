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
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>

#include "load.h"

namespace load
{

namespace
{

constexpr double LATE_WORTH = 0.1;
/* Requests per second to a cold backend server, */
constexpr double COLD_RATE = 3.75;
/* and their burst: both as the product's gate sets them. */
constexpr double COLD_BURST = 4;
/* Requests/s above which a cold server fails, and how long it is down then. */
constexpr size_t COLD_BEARS = 11;
constexpr int64_t FALLEN_NS = 2 * NS_S;
/* The gate's timeouts of a connection attempt and of a load query. */
constexpr int64_t CONNECT_NS = 300 * NS_MS, PEEK_NS = 60 * NS_MS;
/* How long a backend server is cold. */
constexpr int64_t COLD_NS = 3 * NS_S;
/* Delay of a retry without Retry-After, and the shortest delay of any retry. */
constexpr int64_t NO_WORD_NS = 10 * NS_MS;

double
unit(uint64_t *seed)
{
	return static_cast<double>(rnd_splitmix64(seed) >> 11) * 0x1p-53;
}

/* Returns a pseudo-random number in 0 to 1 that depends only on the arguments.
 */
double
noise(uint64_t seed, uint64_t a, uint64_t b)
{
	uint64_t s =
	    seed ^ (a * 0x9e3779b97f4a7c15u) ^ (b * 0xc2b2ae3d27d4eb4fu);

	rnd_splitmix64(&s);
	return unit(&s);
}

/* One caller's request, over all its attempts. */
struct Wish {
	int64_t at;
	int hall;
	const Kind *kind;
	int64_t work;
	int customer = -1;
	int64_t leaves = INT64_MAX; /* when its caller leaves */
	bool insists = false; /* the caller retries at once */
	int copies = 0; /* duplicates sent at once, worth nothing */
};

struct Server {
	std::string name;
	int hall = 0, index = 0;
	int running = 0, queued = 0;
	bool gone = false;
	int64_t cold_until = 0;
	std::deque<int64_t> cold_got; /* arrivals in the last second */
	int64_t down_until = 0; /* after a failure from overload */
	struct cold bucket = {}; /* used by the reference */
};

/* The simulated environment, common to the product and the reference. */
struct World {
	const Setting &set;
	const Pattern &pat;
	int64_t now = 0;
	std::multimap<int64_t, std::function<void()>> events;
	std::vector<Wish> wishes;
	std::vector<std::unique_ptr<Server>> servers;
	std::map<std::string, Count> counts;
	std::map<int, Count> by_customer;
	std::vector<std::string> customer_names;
	std::map<int64_t, std::pair<int, int>> seconds; /* in time, asked */
	double owed = 0, earned = 0;
	int worst_cold = 0, fell_over = 0;

	World(const Setting &s, const Pattern &p) : set(s), pat(p)
	{
		for (int h = 0; h < s.halls; h++)
			for (int i = 0; i < s.servers; i++)
				add_server(h);
		make_wishes();
	}

	Server &add_server(int hall)
	{
		auto v = std::make_unique<Server>();

		v->hall = hall;
		v->index = static_cast<int>(servers.size());
		v->name = "b" + std::to_string(v->index);
		servers.push_back(std::move(v));
		return *servers.back();
	}

	void in(int64_t ns, std::function<void()> fn)
	{
		events.emplace(now + std::max<int64_t>(ns, 0), std::move(fn));
	}

	void run_to(int64_t end)
	{
		while (!events.empty() && events.begin()->first <= end) {
			auto ev = events.begin();
			auto fn = std::move(ev->second);

			now = ev->first;
			events.erase(ev);
			fn();
		}
		now = end;
	}

	/* A cold server that gets more than COLD_BEARS requests/s goes down. */
	void count_cold(Server *v)
	{
		auto &got = v->cold_got;

		while (!got.empty() && got.front() <= now - NS_S)
			got.pop_front();
		if (now >= v->cold_until)
			return;
		got.push_back(now);
		worst_cold = std::max(worst_cold, static_cast<int>(got.size()));
		if (got.size() <= COLD_BEARS || pat.cold_rate == 0)
			return;
		v->down_until = now + FALLEN_NS;
		fell_over++;
	}

	/* Makes the servers that the event affects cold. */
	void chill(const Event &e)
	{
		for (auto &v : servers)
			if (hit(e, *v))
				v->cold_until = now + COLD_NS;
		for (auto &v : servers)
			if (hit(e, *v))
				v->bucket = {};
	}

	/* Returns whether the event affects this server. */
	bool hit(const Event &e, const Server &v) const
	{
		return (e.hall < 0 || e.hall == v.hall) &&
		    noise(set.seed, 77 + static_cast<uint64_t>(e.what),
			static_cast<uint64_t>(v.index)) < e.share;
	}

	bool on(const Event &e, int64_t t) const
	{
		return t >= e.from_ms * NS_MS && t < e.to_ms * NS_MS;
	}

	/* Returns the server's latency factor now, in percent. */
	int pace(const Server &v) const
	{
		int64_t spell = set.spell_ms * NS_MS;
		auto at =
		    static_cast<uint64_t>((now + v.index * spell / 16) / spell);
		double x = noise(set.seed, static_cast<uint64_t>(v.index), at) <
			set.spells
		    ? set.spell_x
		    : 1;

		return static_cast<int>(100 * x);
	}

	/* Returns the slowdown that the server does not report. */
	double hidden(const Server &v) const
	{
		double x = now < v.cold_until ? 2 : 1;

		if (v.running > 0.8 * set.slots)
			x *= pat.knee;
		for (auto &e : pat.events)
			if (e.what == Event::SLOW && on(e, now) && hit(e, v))
				x *= e.x;
		return x;
	}

	bool is_down(const Server &v) const
	{
		if (now < v.down_until)
			return true;
		for (auto &e : pat.events)
			if ((e.what == Event::CRASH ||
				e.what == Event::SILENT ||
				e.what == Event::RETURN) &&
			    on(e, now) && hit(e, v))
				return true;
		return false;
	}

	bool is_evacuated(int hall) const
	{
		for (auto &e : pat.events)
			if (e.what == Event::EVACUATE && on(e, now) &&
			    e.hall == hall)
				return true;
		return false;
	}

	/* Returns how long an attempt at a server that is down takes. */
	int64_t gives_up(const Server &v) const
	{
		for (auto &e : pat.events)
			if (e.what == Event::SILENT && on(e, now) && hit(e, v))
				return CONNECT_NS;
		return 2 * NS_MS;
	}

	double rate(int hall, int64_t t) const
	{
		double slots = set.servers * std::floor(2.0 * set.slots / 3);
		double work = 0;

		for (auto &k : set.kinds)
			work += k.share * k.work_ms / 1000;
		double r = pat.load * slots / work;
		for (auto &e : pat.events)
			if (e.what == Event::SURGE && on(e, t) &&
			    (e.hall < 0 || e.hall == hall))
				r *= e.x;
		return r;
	}

	const Kind *draw_kind(double u) const
	{
		for (auto &k : set.kinds) {
			if (u < k.share)
				return &k;
			u -= k.share;
		}
		return &set.kinds.back();
	}

	/* Sets the caller's behaviour by the events at its arrival time. */
	void behave(Wish *w, uint64_t *seed) const
	{
		for (auto &e : pat.events) {
			if (!on(e, w->at))
				continue;
			bool is = unit(seed) < e.share;

			if (e.what == Event::LEAVE && is)
				w->leaves =
				    w->at + w->kind->target_ms * NS_MS / 2;
			if (e.what == Event::REPEAT && is) {
				w->insists = true;
				w->copies = static_cast<int>(e.x) - 1;
			}
		}
	}

	/* Returns a customer that depends only on the request's number. */
	int draw_customer(uint64_t number) const
	{
		double u = noise(set.seed, 991, number);
		int c = 0;

		while (c + 1 < static_cast<int>(set.customers.size()) &&
		    u >= set.customers[static_cast<size_t>(c)])
			u -= set.customers[static_cast<size_t>(c++)];
		return set.customers.empty() ? -1 : c;
	}

	/*
	 * Adds the requests of a customer beyond its usual ones.  All others
	 * stay the same, so that a run can be compared to one without them.
	 */
	void make_excess(const Event &e, int hall)
	{
		uint64_t seed = set.seed * 104729 +
		    static_cast<uint64_t>(e.customer * set.halls + hall);
		double t = static_cast<double>(e.from_ms) / 1000, more;

		while (e.x > 1) {
			more = (e.x - 1) *
			    set.customers[static_cast<size_t>(e.customer)];
			t += -std::log(1 - unit(&seed)) /
			    (more * rate(hall, static_cast<int64_t>(t * NS_S)));
			if (t * 1000 >= static_cast<double>(e.to_ms))
				return;
			Wish w = {};
			w.at = static_cast<int64_t>(t * NS_S);
			w.hall = hall;
			w.kind = draw_kind(unit(&seed));
			w.work = static_cast<int64_t>(
			    w.kind->work_ms * (0.5 + unit(&seed)) * NS_MS);
			w.customer = e.customer;
			w.leaves = INT64_MAX;
			wishes.push_back(w);
		}
	}

	bool in_excess(int64_t t) const
	{
		for (auto &e : pat.events)
			if (e.what == Event::EXCESS && on(e, t))
				return true;
		return false;
	}

	void make_wishes()
	{
		for (size_t i = 0; i < set.customers.size(); i++)
			customer_names.push_back("c" + std::to_string(i));
		uint64_t seed = set.seed * 7919 + 13;

		for (int h = 0; h < set.halls; h++) {
			double t = 0;

			for (;;) {
				auto at = static_cast<int64_t>(t * NS_S);

				t += -std::log(1 - unit(&seed)) / rate(h, at);
				at = static_cast<int64_t>(t * NS_S);
				if (at >= pat.length_ms * NS_MS)
					break;
				Wish w = {};
				w.at = at;
				w.hall = h;
				w.kind = draw_kind(unit(&seed));
				w.work = static_cast<int64_t>(w.kind->work_ms *
				    (0.5 + unit(&seed)) * NS_MS);
				w.leaves = INT64_MAX;
				w.customer = draw_customer(wishes.size());
				behave(&w, &seed);
				wishes.push_back(w);
			}
		}
		for (auto &e : pat.events)
			for (int h = 0;
			     e.what == Event::EXCESS && h < set.halls; h++)
				make_excess(e, h);
		std::sort(wishes.begin(), wishes.end(),
		    [](const Wish &a, const Wish &b) { return a.at < b.at; });
	}

	/* Counts a finished request, unless unserved because its caller left.
	 */
	void ended(const Wish &w, bool served)
	{
		Count &c = counts[w.kind->name];
		bool in_time =
		    served && now - w.at <= w.kind->target_ms * NS_MS;

		if (!served && now >= w.leaves)
			return;
		if (in_excess(w.at)) {
			by_customer[w.customer].asked++;
			by_customer[w.customer].in_time += in_time;
		}
		c.asked++;
		c.in_time += in_time;
		c.late += served && !in_time;
		c.unserved += !served;
		if (!served)
			c.waited_ms = std::max(c.waited_ms,
			    static_cast<double>(now - w.at) / NS_MS);
		seconds[w.at / NS_S].first += in_time;
		seconds[w.at / NS_S].second++;
		owed += w.kind->worth;
		if (served)
			earned += w.kind->worth * (in_time ? 1 : LATE_WORTH);
	}

	Result result() const
	{
		Result r;
		int all = 0, good = 0;

		r.kinds = counts;
		r.customers = by_customer;
		for (auto &s : seconds)
			r.seconds[s.first] =
			    static_cast<double>(s.second.first) /
			    std::max(s.second.second, 1);
		for (auto &c : counts) {
			all += c.second.asked;
			good += c.second.in_time;
		}
		r.in_time = static_cast<double>(good) / std::max(all, 1);
		r.worth = earned / std::max(owed, 1e-9);
		return r;
	}
};

/* The simulation of the product's dispatchers. */

struct Product;

struct Attempt {
	struct disp_req d = {};
	Product *p = nullptr;
	const Wish *wish = nullptr;
	int home = 0;
	int left = 0; /* remaining retries */
	bool copy = false; /* a duplicate whose outcome is not counted */
	int64_t came = 0;
	uint64_t run = 0; /* current run, whose end counts; 0: none */
	bool over = false;
};

struct Home {
	Product *p = nullptr;
	int hall = 0;
	struct disp *disp = nullptr;
	struct disp_capacity told = {};
};

struct Product : World {
	uint64_t random, runs = 0, chance = 7;
	struct clk clk;
	struct rnd rnd;
	std::vector<std::unique_ptr<Home>> homes;
	std::vector<std::unique_ptr<Attempt>> attempts;
	std::vector<std::string> hall_names;
	uint64_t trace = 0;
	int sent_evacuated = 0;
	bool dark = false;

	static struct timespec mono(void *ctx)
	{
		int64_t t = static_cast<Product *>(ctx)->now + NS_S;

		return {t / NS_S, t % NS_S};
	}

	static uint64_t next(void *ctx)
	{
		return rnd_splitmix64(&static_cast<Product *>(ctx)->random);
	}

	static Attempt *of(struct disp_req *d)
	{
		return reinterpret_cast<Attempt *>(d);
	}

	Server &server(const struct pick_backend *b)
	{
		return *servers[static_cast<size_t>(
		    atoi(std::string(b->name.p + 1, b->name.n - 1).c_str()))];
	}

	/* Adds a decision to the hash of all decisions. */
	void record(const Attempt *a, uint64_t what)
	{
		trace ^= what + (static_cast<uint64_t>(now) << 8) +
		    static_cast<uint64_t>(a->wish - wishes.data());
		rnd_splitmix64(&trace);
		trace = trace * 0x9e3779b97f4a7c15u + (trace >> 29);
	}

	static void send(void *ctx, struct disp_req *d, struct pick_backend *b)
	{
		Product *p = static_cast<Home *>(ctx)->p;
		Attempt *a = of(d);
		Server &v = p->server(b);

		p->record(a, 1000 + static_cast<uint64_t>(v.index));
		a->run = ++p->runs;
		p->sent_evacuated += p->is_evacuated(v.hall);
		p->count_cold(&v);
		if (p->is_down(v)) {
			p->end_later(
			    a, p->gives_up(v), DISP_CONNECT_FAILED, nullptr);
			return;
		}
		if (p->refuses(v)) {
			p->end_later(a, NS_MS, DISP_REFUSED, nullptr);
			return;
		}
		if (v.running >= p->set.slots && !p->pat.queues) {
			p->end_later(a, NS_MS, DISP_CONN_BROKEN, nullptr);
			return;
		}
		p->begin(a, v);
	}

	bool refuses(const Server &v)
	{
		for (auto &e : pat.events)
			if (e.what == Event::REFUSE && on(e, now) &&
			    hit(e, v) && unit(&chance) < e.x)
				return true;
		return false;
	}

	void begin(Attempt *a, Server &v)
	{
		v.running++;
		double x = hidden(v) * pace(v) / 100;
		auto ns = static_cast<int64_t>(
		    static_cast<double>(a->wish->work) * x);

		end_later(a, ns, DISP_OK, &v);
	}

	/* A cancelled run keeps its slot until its end, which is then ignored.
	 */
	void end_later(Attempt *a, int64_t ns, enum disp_outcome how, Server *v)
	{
		uint64_t run = a->run;

		in(ns, [this, a, how, run, v] {
			if (v != nullptr)
				v->running--;
			if (a->run == run)
				end_run(a, how, v);
		});
	}

	void end_run(Attempt *a, enum disp_outcome how, const Server *v)
	{
		struct disp *d = homes[static_cast<size_t>(a->home)]->disp;

		a->run = 0;
		if (how == DISP_OK && pat.tells)
			disp_load_reported(
			    d, a->d.backend, v->running, 0, pace(*v));
		if (how == DISP_OK)
			finish(a, true);
		if (!disp_attempt_done(d, &a->d, how) && how != DISP_OK)
			come_back(
			    a, how == DISP_REFUSED ? DISP_REFUSED_RETRY_NS : 0);
	}

	void finish(Attempt *a, bool served)
	{
		if (a->over)
			return;
		a->over = true;
		if (!a->copy)
			ended(*a->wish, served);
	}

	/* Schedules the caller's retry after a refusal or a failure. */
	void come_back(Attempt *a, int64_t after)
	{
		int64_t end = a->wish->at + a->wish->kind->deadline_ms * NS_MS;

		if (a->over)
			return;
		if (a->wish->insists)
			after = 0;
		after = std::max(std::min(after, (end - now) / 3), NO_WORD_NS);
		if (a->copy || a->left == 0 || now + after >= end ||
		    now + after >= a->wish->leaves) {
			finish(a, false);
			return;
		}
		a->over = true;
		const Wish *w = a->wish;
		int left = a->left - 1;
		in(after, [this, w, left] { attempt(w, left, false); });
	}

	static void
	give_up(void *ctx, struct disp_req *d, enum err_kind, int64_t after)
	{
		Product *p = static_cast<Home *>(ctx)->p;
		Attempt *a = of(d);
		Count &c = p->counts[a->wish->kind->name];

		p->record(a, static_cast<uint64_t>(after) + 1);
		c.refused++;
		c.refused_ms += static_cast<double>(p->now - a->came) / NS_MS;
		p->come_back(a, after);
	}

	static void pass(void *ctx, struct disp_req *d, struct str hall)
	{
		Product *p = static_cast<Home *>(ctx)->p;
		Attempt *a = of(d);

		p->record(a, 2);
		d->can_forward = false;
		a->home = atoi(std::string(hall.p + 1, hall.n - 1).c_str());
		p->in(1400 * NS_US, [p, a] {
			if (!a->over)
				p->arrive(a);
		});
	}

	static void stop(void *ctx, struct disp_req *d)
	{
		Home *h = static_cast<Home *>(ctx);
		Attempt *a = of(d);

		a->run = 0;
		if (!disp_attempt_done(h->disp, d, DISP_STOPPED_SLOW))
			h->p->come_back(a, 0);
	}

	static void peek(void *ctx, struct pick_backend *b)
	{
		Home *h = static_cast<Home *>(ctx);
		Product *p = h->p;
		Server &v = p->server(b);
		struct disp *d = h->disp;

		p->in(p->is_down(v) ? std::min(p->gives_up(v), PEEK_NS)
				    : 400 * NS_US,
		    [p, h, d, &v] {
			    if (h->disp == d && !p->is_down(v))
				    disp_cold_reported(d, str_c(v.name.c_str()),
					std::max<int64_t>(
					    v.cold_until - p->now, 0));
			    if (h->disp == d)
				    disp_load_query_done(d,
					str_c(v.name.c_str()), !p->is_down(v),
					v.running, v.queued,
					p->pat.tells ? p->pace(v) : 0);
		    });
	}

	static void release(void *, struct pick_backend *)
	{
	}

	void arrive(Attempt *a)
	{
		if (homes[static_cast<size_t>(a->home)]->disp == nullptr) {
			a->over = true;
			lost(a->wish, a->left, a->copy);
			return;
		}
		disp_submit(homes[static_cast<size_t>(a->home)]->disp, &a->d);
	}

	/* No owner is reachable: the caller retries every half second. */
	void lost(const Wish *w, int left, bool copy)
	{
		if (copy)
			return;
		if (now >= w->at + w->kind->deadline_ms * NS_MS) {
			ended(*w, false);
			return;
		}
		in(500 * NS_MS, [this, w, left] { attempt(w, left, false); });
	}

	void attempt(const Wish *w, int left, bool copy)
	{
		if (dark) {
			lost(w, left, copy);
			return;
		}
		Attempt *a = new Attempt;

		attempts.emplace_back(a);
		a->p = this;
		a->wish = w;
		a->left = left;
		a->copy = copy;
		a->came = now;
		a->home = w->hall;
		a->d.cls = CLASS_INTERACTIVE;
		a->d.repeatable = w->kind->repeatable;
		a->d.can_retry = a->d.can_forward = true;
		a->d.max_attempts = 2;
		a->d.previously_refused = !copy && left < set.retries;
		a->d.rank = w->kind->rank;
		a->d.kind = static_cast<unsigned>(w->kind->target_ms);
		if (w->customer >= 0)
			a->d.customer = str_c(
			    customer_names[static_cast<size_t>(w->customer)]
				.c_str());
		a->d.target = NS_S + w->at + w->kind->target_ms * NS_MS;
		a->d.deadline = NS_S + w->at + w->kind->deadline_ms * NS_MS;
		if (w->leaves != INT64_MAX)
			in(w->leaves - now, [this, a] { leave(a); });
		arrive(a);
	}

	void leave(Attempt *a)
	{
		Home *h = homes[static_cast<size_t>(a->home)].get();

		if (a->over || h->disp == nullptr)
			return;
		a->over = true;
		a->run = 0;
		if (a->d.queued)
			disp_cancel(h->disp, &a->d);
		else if (a->d.backend != nullptr)
			disp_attempt_done(h->disp, &a->d, DISP_CANCELED);
	}

	void open_home(Home *h)
	{
		struct disp_ops ops = {
		    send, pass, give_up, stop, peek, nullptr, release, h};
		struct disp_params prm = {};
		GError *err = nullptr;
		const char *root = getenv("FERN_ROOT");
		std::string file =
		    std::string(root ? root : ".") + "/charts/backend.toml";
		static struct chart *chart =
		    chart_load(file.c_str(), &pick_chart_names, &err);

		h->disp = disp_new(&ops, &clk, &rnd);
		prm.policy = pick_by_name(STR_LIT("pace"));
		prm.chart = chart;
		prm.queue_max = 1000;
		prm.bulk_percent = 40;
		prm.retry_percent = 15;
		prm.retry_budget_max = 60;
		prm.cold = {pat.cold_rate, COLD_BURST, COLD_NS};
		disp_configure(h->disp, &prm);
		for (int o = 0; o < set.halls; o++)
			if (o != h->hall)
				disp_set_hall_slots(h->disp,
				    str_c(hall_names[static_cast<size_t>(o)]
					      .c_str()),
				    is_evacuated(o) ? 0
						    : set.servers * set.slots);
		list_servers(h);
	}

	void list_servers(Home *h)
	{
		std::vector<struct disp_backend_conf> v;

		if (h->disp == nullptr)
			return;
		for (auto &s : servers)
			if (s->hall == h->hall && !s->gone)
				v.push_back({str_c(s->name.c_str()),
				    STR_LIT("127.0.0.1:1"), set.slots, false,
				    is_evacuated(h->hall), 0, 0, 0, false,
				    false});
		disp_set_backends(
		    h->disp, v.data(), static_cast<unsigned>(v.size()));
	}

	/* An owner is lost with its state and all its requests. */
	void lose_home(Home *h)
	{
		std::vector<Attempt *> its;

		for (auto &a : attempts)
			if (a->home == h->hall &&
			    (a->d.queued || a->d.backend != nullptr))
				its.push_back(a.get());
		for (Attempt *a : its) {
			bool was = a->over;

			a->over = true;
			a->run = 0;
			if (a->d.queued)
				disp_cancel(h->disp, &a->d);
			if (!was)
				lost(a->wish, a->left, a->copy);
		}
		for (Attempt *a : its)
			if (a->d.backend != nullptr)
				disp_attempt_done(
				    h->disp, &a->d, DISP_CANCELED);
		disp_free(h->disp);
		h->disp = nullptr;
	}

	void tell_room()
	{
		for (auto &h : homes) {
			if (h->disp == nullptr)
				continue;
			struct disp_capacity room = disp_capacity_of(h->disp);
			int hall = h->hall;
			in(1400 * NS_US, [this, room, hall] {
				for (auto &o : homes)
					if (o->hall != hall &&
					    o->disp != nullptr)
						disp_set_hall_capacity(o->disp,
						    str_c(
							hall_names[static_cast<
								       size_t>(
								       hall)]
							    .c_str()),
						    &room);
			});
		}
		in(100 * NS_MS, [this] { tell_room(); });
	}

	void tick()
	{
		for (auto &h : homes)
			if (h->disp != nullptr)
				disp_tick(h->disp);
		in(10 * NS_MS, [this] { tick(); });
	}

	/* A share of the servers leaves at once, or is replaced one by one. */
	void replace(const Event &e, bool with_new)
	{
		int64_t gap = 0, at = 0;
		std::vector<Server *> all;

		for (auto &v : servers)
			if (!v->gone && hit(e, *v))
				all.push_back(v.get());
		if (with_new && !all.empty())
			gap = (e.to_ms - e.from_ms) * NS_MS /
			    static_cast<int64_t>(all.size());
		for (Server *v : all) {
			in(at, [this, v, with_new] {
				v->gone = true;
				if (with_new)
					add_server(v->hall).cold_until =
					    now + COLD_NS;
				for (auto &h : homes)
					list_servers(h.get());
			});
			at += gap;
		}
	}

	/* Reports an evacuation to all owners; with x 2 servers return cold. */
	void tell_evacuation(const Event &e, bool begins)
	{
		const std::string &hall =
		    hall_names[static_cast<size_t>(e.hall)];

		if (!begins && e.x > 1)
			chill(e);
		for (auto &h : homes) {
			if (h->disp == nullptr)
				continue;
			if (h->hall == e.hall)
				list_servers(h.get());
			else
				disp_set_hall_slots(h->disp,
				    str_c(hall.c_str()),
				    begins ? 0 : set.servers * set.slots);
		}
	}

	void move_homes()
	{
		for (auto &h : homes) {
			if (h->disp == nullptr)
				continue;
			lose_home(h.get());
			open_home(h.get());
		}
	}

	void start(const Event &e)
	{
		if (e.what == Event::MOVE)
			move_homes();
		if (e.what == Event::RETURN)
			in((e.to_ms - e.from_ms) * NS_MS,
			    [this, &e] { chill(e); });
		if (e.what == Event::EVACUATE) {
			tell_evacuation(e, true);
			in((e.to_ms - e.from_ms) * NS_MS,
			    [this, &e] { tell_evacuation(e, false); });
			return;
		}
		if (e.what == Event::GONE || e.what == Event::COLD)
			replace(e, e.what == Event::COLD);
		if (e.what != Event::DARK)
			return;
		dark = true;
		for (auto &h : homes)
			if (h->disp != nullptr)
				lose_home(h.get());
		in((e.to_ms - e.from_ms) * NS_MS, [this] {
			dark = false;
			for (auto &h : homes)
				open_home(h.get());
		});
	}

	Product(const Setting &s, const Pattern &pt)
	    : World(s, pt),
	      random(s.seed * 31 + 5), clk{mono, mono, this}, rnd{next, this}
	{
		for (int h = 0; h < s.halls; h++)
			hall_names.push_back("h" + std::to_string(h));
		for (int h = 0; h < s.halls; h++) {
			homes.push_back(std::make_unique<Home>());
			homes.back()->p = this;
			homes.back()->hall = h;
		}
		for (auto &h : homes)
			open_home(h.get());
		for (auto &w : wishes)
			in(w.at, [this, &w] {
				attempt(&w, set.retries, false);
				for (int i = 0; i < w.copies; i++)
					attempt(&w, 0, true);
			});
		for (auto &e : pat.events)
			in(e.from_ms * NS_MS, [this, &e] { start(e); });
		tick();
		tell_room();
	}

	~Product()
	{
		for (auto &h : homes)
			if (h->disp != nullptr)
				lose_home(h.get());
	}
};

/* The reference: one dispatcher with complete, current information. */

struct Reference : World {
	std::vector<const Wish *> waiting;
	std::map<const Wish *, uint64_t> out; /* current run; 0: none */
	uint64_t runs = 0;
	bool dark = false;

	/* Returns the worth of a request per unit of service time. */
	static double density(const Wish *w)
	{
		return w->kind->worth / static_cast<double>(w->work);
	}

	bool can_be_in_time(const Wish *w, double x) const
	{
		return now +
		    static_cast<int64_t>(static_cast<double>(w->work) * x) <=
		    w->at + w->kind->target_ms * NS_MS;
	}

	/* Applies the product's rate limit for cold servers. */
	bool may_get(Server *v) const
	{
		struct cold_limit bound = {pat.cold_rate, COLD_BURST, COLD_NS};

		cold_set_reported(
		    &v->bucket, std::max<int64_t>(v->cold_until - now, 0), now);
		return cold_can_send(&v->bucket, &bound, now);
	}

	/* Returns the fastest free server and its slowdown; NULL: none. */
	Server *best_server(double *x)
	{
		int most =
		    std::max(1, static_cast<int>(std::floor(0.8 * set.slots)));
		Server *best = nullptr;

		for (auto &v : servers) {
			if (v->gone || is_down(*v) || is_evacuated(v->hall) ||
			    v->running >= most || !may_get(v.get()))
				continue;
			v->running++;
			double t = hidden(*v) * pace(*v) / 100;
			v->running--;
			if (best == nullptr || t < *x) {
				best = v.get();
				*x = t;
			}
		}
		return best;
	}

	/* Returns the request with the highest density that can be in time. */
	std::vector<const Wish *>::iterator choose(double x)
	{
		auto best = waiting.end();

		for (auto it = waiting.begin(); it != waiting.end(); ++it)
			if (can_be_in_time(*it, x) &&
			    (best == waiting.end() ||
				density(*it) > density(*best)))
				best = it;
		return best;
	}

	void drop_hopeless()
	{
		auto it = waiting.begin();

		while (it != waiting.end()) {
			const Wish *w = *it;

			if (now < w->leaves &&
			    now + w->work <=
				w->at + w->kind->deadline_ms * NS_MS) {
				++it;
				continue;
			}
			it = waiting.erase(it);
			ended(*w, false);
		}
	}

	void serve()
	{
		double x = 0;
		Server *v;

		if (dark)
			return;
		drop_hopeless();
		while (!waiting.empty() && (v = best_server(&x)) != nullptr) {
			auto it = choose(x);

			/*
			 * If no request can be in time, a slow server is left
			 * free until it is faster.
			 */
			if (it == waiting.end() && x > 1.5)
				return;
			if (it == waiting.end())
				it = waiting.begin();
			start(*it, v, x);
			waiting.erase(it);
		}
	}

	void start(const Wish *w, Server *v, double x)
	{
		struct cold_limit bound = {pat.cold_rate, COLD_BURST, COLD_NS};
		uint64_t run = ++runs;

		v->running++;
		cold_record_send(&v->bucket, &bound, now);
		out[w] = run;
		in(static_cast<int64_t>(static_cast<double>(w->work) * x),
		    [this, w, v, run] {
			    v->running--;
			    if (out[w] == run) {
				    out.erase(w);
				    ended(*w, true);
			    }
			    serve();
		    });
	}

	/* All requests in flight are lost and wait again. */
	void darken()
	{
		dark = true;
		for (auto &o : out)
			if (o.second != 0) {
				o.second = 0;
				waiting.push_back(o.first);
			}
	}

	void look()
	{
		serve();
		in(5 * NS_MS, [this] { look(); });
	}

	Reference(const Setting &s, const Pattern &pt) : World(s, pt)
	{
		for (auto &w : wishes)
			in(w.at, [this, &w] {
				waiting.push_back(&w);
				serve();
			});
		for (auto &e : pat.events) {
			if (e.what == Event::RETURN ||
			    (e.what == Event::EVACUATE && e.x > 1))
				in(e.to_ms * NS_MS, [this, &e] { chill(e); });
			if (e.what == Event::GONE)
				in(e.from_ms * NS_MS, [this, &e] {
					for (auto &v : servers)
						v->gone = v->gone || hit(e, *v);
				});
			if (e.what != Event::DARK)
				continue;
			in(e.from_ms * NS_MS, [this] { darken(); });
			in(e.to_ms * NS_MS, [this] { dark = false; });
		}
		look();
	}
};

constexpr int64_t AFTER_NS = 12 * NS_S; /* the longest deadline */

} // namespace

void
Count::add(const Count &o)
{
	asked += o.asked;
	in_time += o.in_time;
	late += o.late;
	unserved += o.unserved;
	refused += o.refused;
	refused_ms += o.refused_ms;
	waited_ms = std::max(waited_ms, o.waited_ms);
}

int
Result::recovers_after(int64_t ms) const
{
	int64_t last = ms / 1000 - 1;

	for (auto &s : seconds)
		if (s.first >= ms / 1000 && s.second < 0.9)
			last = s.first;
	return static_cast<int>(last + 1 - ms / 1000);
}

Result
run(const Setting &s, const Pattern &p)
{
	Product w(s, p);
	Result r;

	w.run_to(p.length_ms * NS_MS + AFTER_NS);
	r = w.result();
	r.sent_evacuated = w.sent_evacuated;
	r.trace = w.trace;
	r.worst_cold = w.worst_cold;
	r.fell_over = w.fell_over;
	return r;
}

Result
reference(const Setting &s, const Pattern &p)
{
	Reference w(s, p);

	w.run_to(p.length_ms * NS_MS + AFTER_NS);
	return w.result();
}

Setting
three_kinds(uint64_t seed)
{
	Setting s;

	s.servers = 20;
	s.seed = seed;
	s.kinds = {{"write", 0.2, 190, 500, 4000, 1, 2, false},
	    {"view", 0.5, 360, 1000, 6000, 2, 1, true},
	    {"pull", 0.3, 580, 1500, 10000, 2, 1, true}};
	return s;
}

Setting
one_kind(uint64_t seed)
{
	Setting s;

	s.seed = seed;
	s.kinds = {{"lookup", 1, 150, 400, 3000, 2, 1, true}};
	return s;
}

Setting
two_slots(uint64_t seed)
{
	Setting s;

	s.slots = 2;
	s.spells = 0.3;
	s.seed = seed;
	s.kinds = {{"pledge", 0.6, 160, 400, 4000, 1, 2, false},
	    {"lookup", 0.4, 120, 300, 3000, 2, 1, true}};
	return s;
}

const std::vector<Pattern> &
patterns()
{
	static const std::vector<Pattern> all = {
	    {"calm", {}},
	    {"surge 1.7", {{Event::SURGE, 4000, 7000, 1.7}}},
	    {"surge 3", {{Event::SURGE, 4000, 7000, 3}}},
	    {"surge 3 in one hall", {{Event::SURGE, 4000, 7000, 3, 1, 0}}},
	    {"surges over slow ones",
		{{Event::SURGE, 4000, 8000, 1.5},
		    {Event::SURGE, 5000, 7000, 1.5},
		    {Event::SLOW, 4500, 9000, 5, 0.15}}},
	    {"a third gone under load",
		{{Event::SURGE, 3000, 9000, 1.4},
		    {Event::GONE, 5000, 5001, 1, 0.33}}},
	    {"replaced by cold ones",
		{{Event::SURGE, 3000, 9000, 1.4},
		    {Event::COLD, 4000, 8000, 1, 0.4}}},
	    {"a tenth down", {{Event::CRASH, 4000, 8000, 1, 0.1}}},
	    {"half turned away at random", {{Event::REFUSE, 4000, 9000, 0.5}}},
	    {"most turned away at random, with room",
		{{Event::REFUSE, 4000, 12500, 0.55}}, 0.15},
	    {"a hall's servers silent under load",
		{{Event::SURGE, 3000, 9000, 1.4},
		    {Event::SILENT, 4000, 8000, 1, 1, 0}}},
	    {"a tenth silent", {{Event::SILENT, 4000, 8000, 1, 0.1}}},
	    {"dark", {{Event::DARK, 5000, 6300}}},
	    {"dark under load",
		{{Event::SURGE, 3000, 10000, 1.5}, {Event::DARK, 5000, 6300}}},
	    {"callers repeat", {{Event::REPEAT, 4000, 8000, 3, 0.3}}},
	    {"callers leave",
		{{Event::SURGE, 4000, 8000, 1.7},
		    {Event::LEAVE, 4000, 8000, 1, 0.3}}},
	    {"mute", {}, 0.45, false},
	    {"mute, surge 1.7", {{Event::SURGE, 4000, 7000, 1.7}}, 0.45, false},
	    {"steep, surge 1.7", {{Event::SURGE, 4000, 7000, 1.7}}, 0.45, true,
		2.5},
	    {"full ones break off, surge 1.7",
		{{Event::SURGE, 4000, 7000, 1.7}}, 0.45, true, 1.7, false},
	    {"a hall evacuated under load, back cold",
		{{Event::SURGE, 3000, 10000, 1.3},
		    {Event::EVACUATE, 4000, 8000, 2, 1, 0}}},
	    {"two halls evacuated, one in the other's load",
		{{Event::EVACUATE, 3000, 7000, 2, 1, 0},
		    {Event::EVACUATE, 6000, 9000, 1, 1, 1}}},
	    {"evacuated, back cold in a surge, bounded",
		{{Event::SURGE, 3000, 12000, 1.7},
		    {Event::EVACUATE, 4000, 6000, 2, 1, 0}},
		0.45, true, 1.7, true, 14000, COLD_RATE},
	    {"a hall down and back cold, homes move",
		{{Event::RETURN, 3000, 4500, 1, 1, 1},
		    {Event::MOVE, 5000, 5001}, {Event::MOVE, 5300, 5301}},
		0.45, true, 1.7, true, 14000, COLD_RATE},
	    {"replaced by cold ones that break off, bounded",
		{{Event::SURGE, 3000, 9000, 1.7},
		    {Event::COLD, 4000, 8000, 1, 0.4}},
		0.45, true, 1.7, false, 14000, COLD_RATE},
	    {"all dark, servers too, back cold, bounded",
		{{Event::DARK, 5000, 6300}, {Event::RETURN, 5000, 6300}}, 0.45,
		true, 1.7, true, 14000, COLD_RATE, 0.15},
	};

	return all;
}

} // namespace load
