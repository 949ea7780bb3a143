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
#ifndef DISP_WORLD_H
#define DISP_WORLD_H

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "disp.h"
}

/* A dispatcher in virtual time, for unit tests of its decisions. */
namespace disp_world
{

struct World;

/* A request; the dispatcher's part comes first, see World::request_of(). */
struct Req {
	struct disp_req d = {};
	World *world = nullptr;
	int id = 0;
	int sends = 0, possible_runs = 0;
	bool ended = false, forwarded = false;
	enum err_kind kind = ERR_NONE;
	int64_t arrived = 0;
};

/*
 * A dispatcher, its clock, and a trace of the operations it called.  A test
 * ends attempts itself, or sets on_send, on_end and on_stop.
 */
struct World {
	int64_t now = NS_S;
	uint64_t seed = 1;
	struct clk clk;
	struct rnd rnd;
	struct chart *chart;
	struct disp *disp;
	std::vector<std::string> trace;
	std::vector<std::string> load_queries; /* not answered */
	std::function<void(Req *, struct pick_backend *)> on_send;
	std::function<void(Req *)> on_end, on_stop;

	static Req *request_of(struct disp_req *d)
	{
		return reinterpret_cast<Req *>(d);
	}

	static struct timespec mono(void *ctx)
	{
		int64_t t = static_cast<World *>(ctx)->now;

		return {t / NS_S, t % NS_S};
	}

	static uint64_t next(void *ctx)
	{
		return rnd_splitmix64(&static_cast<World *>(ctx)->seed);
	}

	static void send(void *ctx, struct disp_req *d, struct pick_backend *b)
	{
		World *w = static_cast<World *>(ctx);
		Req *r = request_of(d);

		r->sends++;
		w->trace.push_back("send " + std::to_string(r->id) + " " +
		    std::string(b->name.p, b->name.n));
		if (w->on_send)
			w->on_send(r, b);
	}

	static void forward(void *ctx, struct disp_req *d, struct str hall)
	{
		World *w = static_cast<World *>(ctx);

		request_of(d)->forwarded = request_of(d)->ended = true;
		w->trace.push_back("forward " +
		    std::to_string(request_of(d)->id) + " " +
		    std::string(hall.p, hall.n));
	}

	static void
	fail(void *ctx, struct disp_req *d, enum err_kind kind, int64_t)
	{
		World *w = static_cast<World *>(ctx);

		EXPECT_FALSE(request_of(d)->ended);
		request_of(d)->ended = true;
		request_of(d)->kind = kind;
		w->trace.push_back("fail " + std::to_string(request_of(d)->id) +
		    " " + err_lookup(kind)->name);
		if (w->on_end)
			w->on_end(request_of(d));
	}

	static void stop(void *ctx, struct disp_req *d)
	{
		World *w = static_cast<World *>(ctx);

		EXPECT_TRUE(d->repeatable);
		w->trace.push_back("stop " + std::to_string(request_of(d)->id));
		if (w->on_stop)
			w->on_stop(request_of(d));
		EXPECT_TRUE(disp_attempt_done(w->disp, d, DISP_STOPPED_SLOW));
	}

	static void query_load(void *ctx, struct pick_backend *b)
	{
		World *w = static_cast<World *>(ctx);

		w->load_queries.push_back(std::string(b->name.p, b->name.n));
	}

	static void crashed(void *ctx, const struct pick_backend *b, unsigned n)
	{
		static_cast<World *>(ctx)->trace.push_back("crashed " +
		    std::string(b->name.p, b->name.n) + " " +
		    std::to_string(n));
	}

	static void release(void *, struct pick_backend *)
	{
	}

	explicit World(const char *policy = "fern", int64_t queue = 1000)
	    : clk{mono, mono, this}, rnd{next, this}
	{
		struct disp_ops ops = {send, forward, fail, stop, query_load,
		    crashed, release, this};
		struct disp_params p = {};
		GError *err = nullptr;
		const char *root = getenv("FERN_ROOT");
		std::string file =
		    std::string(root ? root : ".") + "/charts/backend.toml";

		static struct chart *loaded =
		    chart_load(file.c_str(), &pick_chart_names, &err);

		EXPECT_EQ(nullptr, err);
		chart = loaded;
		disp = disp_new(&ops, &clk, &rnd);
		p.policy = pick_by_name(str_c(policy));
		p.chart = chart;
		p.queue_max = queue;
		p.bulk_percent = 40;
		p.retry_percent = 10;
		disp_configure(disp, &p);
	}

	~World()
	{
		disp_free(disp);
	}

	/*
	 * Configures n backend servers "b0", "b1", ...; the one with the
	 * number `drained` (-1: none) drains.
	 */
	void
	set_backends(int n, int slots, int drained = -1, bool evacuated = false)
	{
		std::vector<struct disp_backend_conf> v;
		static std::vector<std::string> names;

		if (names.empty())
			for (int i = 0; i < 1000; i++)
				names.push_back("b" + std::to_string(i));
		for (int i = 0; i < n; i++)
			v.push_back(
			    {str_c(names[static_cast<size_t>(i)].c_str()),
				STR_LIT("127.0.0.1:1"), slots, i == drained,
				evacuated, 0, 0, 0, false, false});
		disp_set_backends(disp, v.data(), static_cast<unsigned>(n));
	}

	/* Submits a request to the dispatcher. */
	Req *arrive(Req *r, int64_t deadline_ms = 1000,
	    enum obj_class cls = CLASS_INTERACTIVE, bool repeatable = true)
	{
		r->world = this;
		r->arrived = now;
		r->d.cls = cls;
		r->d.repeatable = repeatable;
		r->d.can_retry = true;
		r->d.deadline = now + deadline_ms * NS_MS;
		disp_submit(disp, &r->d);
		return r;
	}

	/* Ends a request's attempt; returns true if it will be retried. */
	bool end_attempt(Req *r, enum disp_outcome outcome)
	{
		if (outcome == DISP_CONN_BROKEN || outcome == DISP_SERVER_ERROR)
			r->possible_runs++;
		bool again = disp_attempt_done(disp, &r->d, outcome);

		if (!again && !r->ended)
			r->ended = true;
		return again;
	}

	/* Serves requests until no backend server counts as cold. */
	void warm_up(int n)
	{
		for (int i = 0; i < n * 12; i++) {
			Req r;

			arrive(&r);
			now += 5 * NS_MS;
			if (r.d.backend != nullptr)
				end_attempt(&r, DISP_OK);
		}
	}
};

} // namespace disp_world

#endif
