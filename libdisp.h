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
/* When a refused request may come back: no sooner, and no later. */
#define COME_BACK_MIN_NS (50 * NS_MS)
#define COME_BACK_NS (300 * NS_MS)

/* What another hall's home said last. */
struct disp_remote_hall {
	struct str hall;
	struct str region;
	bool far; /* in another region */
	int slots; /* by configuration */
	struct disp_room room;
	int64_t told; /* 0: never */
};

/* What requests of one kind take at the usual pace, as far as is known. */
struct disp_work {
	unsigned kind;
	struct conc times; /* ns, by how many ran beside it */
};

/*
 * Where requests are held: those in time by class, those that are late, and
 * those that have to run by themselves.
 */
enum { QUEUE_LATE = CLASS_MAX, QUEUE_TRIAL, QUEUES };

/* A request that was at a backend server when a connection broke. */
struct disp_doubt {
	struct fprint print;
	bool trial;
};

struct disp {
	struct disp_ops ops;
	const struct clk *clk;
	const struct rnd *rnd;
	struct disp_params params;
	GPtrArray *backends; /* struct pick_backend * */
	struct queue queues[QUEUES];
	GArray *works; /* struct disp_work */
	double mean_pace; /* of the backend servers, over time */
	double begin_pace; /* at which requests began, over time */
	double slow_pace; /* of those in slow spells, over time */
	int64_t mean_work; /* of all requests, over time; 0: not known */
	struct conc conc; /* how work slows beside other work, of all kinds */
	int64_t limited; /* when limits were set last */
	GArray *remotes; /* struct disp_remote_hall */
	struct retry_budget budget;
	struct limit limit;
	int64_t came_back; /* the last request of one turned away before */
	GQueue out; /* struct disp_req *, the longest out first */
	struct pick_backend *emptied; /* for a trial; NULL: none */
	bool in_doubt; /* some backend servers may be cold */
	guint ask_from; /* whose turn it is, of those that are asked in turn */
	/* By the roll-out, as servers are marked. */
	bool new_may, old_may, new_first;
	bool serving; /* serve() is under way */
	bool again; /* and must look once more */
};

/* disp.c */
/* Try to start a request now; false if it has to wait. */
bool disp_start(struct disp *, struct disp_req *);
/* Send a request to a backend server. */
void disp_begin(struct disp *, struct disp_req *, struct pick_backend *);
void disp_drop(struct disp *, struct disp_req *, enum err_kind, int64_t after);
void disp_serve(struct disp *);

/* disp_hold.c: the requests that are held. */
bool disp_is_in_time(const struct disp_req *, int64_t now);
void disp_hold(struct disp *, struct disp_req *);
void disp_unhold(struct disp *, struct disp_req *);
void disp_sort_late(struct disp *);
void disp_expire(struct disp *, int queue, int64_t now);
void disp_give_up_all(struct disp *, int queue);

/* disp_pace.c: arrivals under the policy that goes by pace. */
void disp_pace_arrive(struct disp *, struct disp_req *);
bool disp_pace_may_wait(struct disp *, struct disp_req *);
/* It cannot be served in time: tell its caller when to come back. */
void disp_pace_refuse(struct disp *, struct disp_req *, int64_t wait);
bool disp_pace_should_wait(
    struct disp *, const struct disp_req *, struct pick_backend *, int64_t now);
bool disp_pace_better_elsewhere(const struct disp *, const struct disp_req *,
    const struct pick_backend *, int64_t now);

/* disp_stop.c: tries that are far too slow, where no pace is told. */
void disp_stop_stuck(struct disp *, int64_t now);

/* disp_set.c: the shard's backend servers. */
struct pick_set disp_set_of(const struct disp *);
void disp_sweep(struct disp *);
void disp_set_free(struct disp *);
int64_t disp_usual(const struct disp *);
/* The slots worth using of the backend servers that may be used. */
double disp_slots(const struct disp *);

/* disp_work.c: how long requests take. */
int64_t disp_work_of(const struct disp *, unsigned kind);
void disp_work_begin(struct disp *, struct disp_req *);
void disp_work_told(struct disp *, int pace);
void disp_work_mean_pace(struct disp *);
void disp_work_done(
    struct disp *, const struct disp_req *, struct pick_backend *, int64_t now);

/* disp_conc.c: how many requests at once each backend server gets. */
void disp_conc_begin(const struct disp *, struct disp_req *);
void disp_conc_set(struct disp *, int64_t now);

/* disp_cold.c: backend servers that have just started, or may have. */
void disp_cold_suspect(struct disp *, struct pick_backend *, int64_t lasts);
void disp_cold_ask(struct disp *, int64_t now);
bool disp_cold_asks(const struct disp *, int64_t now);
double
disp_cold_slots(const struct disp *, const struct pick_backend *, int64_t);

/* disp_roll.c: two versions of a service, while one replaces the other. */
void disp_roll_mark(struct disp *);
void disp_roll_look(struct disp *);
void disp_roll_sent(struct disp *, const struct pick_backend *);
void disp_roll_done(struct disp *, const struct disp_req *,
    const struct pick_backend *, enum disp_outcome);
/* Is what the server does no measure of the service's work? */
bool disp_roll_is_trial(const struct disp *, const struct pick_backend *);

/* disp_word.c: backend servers that say what they take, and when. */
/* The slots worth counting when the wait for one is reckoned. */
double disp_word_slots(const struct disp *, const struct pick_backend *);
/*
 * The time until a request is sent that has so many ahead of it, where all that
 * may be used say what they take, or rest; false if one does neither.
 */
bool disp_word_wait(const struct disp *, size_t ahead, int64_t *wait);
/* Is one that turns late refused, rather than held on? */
bool disp_word_refuses_late(const struct disp *, const struct disp_req *);

/* disp_peek.c: questions for the load of backend servers. */
bool disp_peek_first(struct disp *, struct disp_req *, int64_t now);
bool
disp_peek_after(struct disp *, struct pick_backend *, int64_t gap, int64_t now);
bool disp_peek_one(struct disp *, struct pick_backend *, int64_t now);
void disp_peek_some(struct disp *, int64_t work, int64_t now);
void disp_peek_in_turn(struct disp *,
    bool (*)(const struct pick_backend *, int64_t now), int64_t gap,
    int64_t now);
void disp_peek_silent(struct disp *, int64_t now);

/* disp_move.c: tries that are begun elsewhere. */
void disp_move(struct disp *, int64_t now);

/* disp_pass.c: other halls.  True if the request was passed on. */
void disp_pass_free(struct disp *);
bool disp_pass(struct disp *, struct disp_req *);
bool disp_has_room_elsewhere(
    const struct disp *, const struct disp_req *, int64_t now);
bool disp_pass_to_shorter(struct disp *, struct disp_req *, int64_t wait);

bool disp_pass_may_try(
    const struct disp_remote_hall *, const struct disp_req *, int64_t now);

/* disp_trial.c: requests under which a backend server ended. */
bool disp_trial_arrive(struct disp *, struct disp_req *);
bool disp_trial_holds(const struct disp *, const struct disp_req *);
bool disp_trial_takes(struct disp *, struct disp_req *);
void disp_trial_serve(struct disp *);
void disp_trial_done(
    struct disp *, struct disp_req *, struct pick_backend *, enum disp_outcome);

/* disp_doubt.c: backend servers that may have ended with what was there. */
void disp_doubt_done(
    struct disp *, struct disp_req *, struct pick_backend *, enum disp_outcome);
void disp_doubt_peeked(struct disp *, struct pick_backend *, bool answered);
void disp_doubt_settle(struct disp *, struct pick_backend *, bool ended);
bool disp_doubt_waits(const struct pick_backend *, struct fprint);

#endif
