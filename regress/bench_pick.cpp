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
/* What one decision costs, without any I/O: make bench-pick. */
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <malloc.h>

extern "C" {
#include "disp.h"
}

namespace
{

void
ignore_send(void *, struct disp_req *, struct pick_backend *)
{
}

void
ignore_pass(void *, struct disp_req *, struct str)
{
}

void
ignore_give_up(void *, struct disp_req *, enum err_kind, int64_t)
{
}

void
ignore_stop(void *, struct disp_req *)
{
}

void
ignore_release(void *, struct pick_backend *)
{
}

/* A decision is the arrival of a request and the end of one before it. */
double
decision_us(const char *policy, int backends, size_t *allocated)
{
	const int ROUNDS = 200000;
	struct disp_ops ops = {ignore_send, ignore_pass, ignore_give_up,
	    ignore_stop, nullptr, nullptr, ignore_release, nullptr};
	struct disp_params p = {};
	struct disp *d = disp_new(&ops, clk_system(), rnd_system());
	std::vector<std::string> names;
	std::vector<struct disp_backend_conf> list;
	std::vector<struct disp_req> reqs(static_cast<size_t>(backends));

	p.policy = pick_by_name(str_c(policy));
	p.chart = chart_load("charts/backend.toml", &pick_chart_names, nullptr);
	p.queue_max = 100000;
	p.bulk_percent = 40;
	disp_configure(d, &p);
	for (int i = 0; i < backends; i++)
		names.push_back("b" + std::to_string(i));
	for (auto &n : names)
		list.push_back({str_c(n.c_str()), STR_LIT("127.0.0.1:1"), 3,
		    false, false, 0, 0, 0, false, false});
	disp_set_backends(d, list.data(), static_cast<unsigned>(backends));
	auto step = [&](struct disp_req &r) {
		if (r.backend != nullptr)
			disp_attempt_done(d, &r, DISP_OK);
		r.attempt_count = 0;
		r.repeatable = true;
		r.deadline = clk_ns(clk_system()) + 1000 * NS_S;
		if (!r.queued)
			disp_submit(d, &r);
	};
	for (int k = 0; k < 20; k++)
		for (auto &r : reqs)
			step(r);
	size_t before = mallinfo2().uordblks;
	int64_t began = clk_ns(clk_system());
	for (int k = 0; k < ROUNDS; k++)
		step(reqs[static_cast<size_t>(k) % reqs.size()]);
	int64_t took = clk_ns(clk_system()) - began;
	*allocated = mallinfo2().uordblks - before;
	return static_cast<double>(took) / ROUNDS / NS_US;
}

} // namespace

int
main()
{
	printf("policy backends us/decision bytes kept after 200000\n");
	for (const char *policy : {"fern", "naive"}) {
		for (int n : {6, 20, 100, 920}) {
			std::vector<double> us;
			size_t kept = 0;

			for (int run = 0; run < 3; run++)
				us.push_back(decision_us(policy, n, &kept));
			std::sort(us.begin(), us.end());
			printf("%-6s %8d  %.3f (%.3f to %.3f)  %zu\n", policy,
			    n, us[1], us[0], us[2], kept);
		}
	}
	return 0;
}
