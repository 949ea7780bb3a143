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
#ifndef LIBDISP_H
#define LIBDISP_H

#include "disp.h"

/* A remote home's word is worth nothing after this long. */
#define REMOTE_FRESH_NS (1200 * NS_MS)
/* What a request takes where nothing is known yet. */
#define USUAL_UNKNOWN_NS (5 * NS_MS)

/* What another hall's home said last. */
struct disp_remote_hall {
	struct str hall;
	int slots; /* by configuration */
	int free, waiting;
	int64_t told; /* 0: never */
};

struct disp {
	struct disp_ops ops;
	const struct clk *clk;
	const struct rnd *rnd;
	struct disp_params params;
	GPtrArray *backends; /* struct pick_backend * */
	struct queue queues[CLASS_MAX];
	GArray *remotes; /* struct disp_remote_hall */
	struct retry_budget budget;
	struct limit limit;
	GQueue out; /* struct disp_req *, the longest out first */
	bool serving; /* serve() is under way */
	bool again; /* and must look once more */
};

/* disp.c */
void disp_serve(struct disp *);

/* disp_set.c: the shard's backend servers. */
struct pick_set disp_set_of(const struct disp *);
void disp_sweep(struct disp *);
void disp_set_free(struct disp *);
int64_t disp_usual(const struct disp *);

/* disp_pass.c: other halls.  True if the request was passed on. */
bool disp_pass(struct disp *, struct disp_req *);
bool disp_pass_to_shorter(struct disp *, struct disp_req *, int64_t wait);

#endif
