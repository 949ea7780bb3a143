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
 * The table of docs/POLICY.md: patterns of load at its worst, our dispatchers
 * beside a reference that knows all.  Virtual time, so that it repeats.
 * usage: bench_load [SEEDS] [PATTERN]
 */
#include <cstdio>
#include <cstdlib>

#include "load.h"

namespace
{

struct Row {
	double worth = 0, in_time = 0, reference = 0;
	load::Count all;
	int recovers = 0;
};

int64_t
end_of(const load::Pattern &p)
{
	int64_t end = 0;

	for (auto &e : p.events)
		end = std::max(end, e.to_ms);
	return end;
}

Row
row(load::Setting (*setting)(uint64_t), const load::Pattern &p, int seeds)
{
	Row row;

	for (int seed = 1; seed <= seeds; seed++) {
		load::Setting s = setting(static_cast<uint64_t>(seed));
		load::Result r = load::run(s, p);

		row.worth += r.worth / seeds;
		row.in_time += r.in_time / seeds;
		row.reference += load::reference(s, p).worth / seeds;
		for (auto &c : r.kinds)
			row.all.add(c.second);
		row.recovers =
		    std::max(row.recovers, r.recovers_after(end_of(p)));
	}
	return row;
}

void
print(const char *service, const load::Pattern &p, const Row &r)
{
	double all = r.all.asked;

	printf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f | %.0f | "
	       "%d |\n",
	    service, p.name.c_str(), r.reference, r.worth, r.in_time,
	    r.all.unserved / all, r.all.refused / all,
	    r.all.refused == 0 ? 0 : r.all.refused_ms / r.all.refused,
	    r.all.waited_ms, r.recovers);
	fflush(stdout);
}

} // namespace

int
main(int argc, char **argv)
{
	int seeds = argc > 1 ? atoi(argv[1]) : 3;
	std::string only = argc > 2 ? argv[2] : "";

	printf(
	    "| service | pattern | reference | worth | in time | not served | "
	    "refused attempts | after ms | longest of the unserved, ms | "
	    "seconds "
	    "until 0.9 |\n|---|---|---|---|---|---|---|---|---|---|\n");
	for (auto &p : load::patterns()) {
		if (!only.empty() && p.name != only)
			continue;
		print("one kind", p, row(load::one_kind, p, seeds));
		print("three kinds", p, row(load::three_kinds, p, seeds));
	}
	return 0;
}
