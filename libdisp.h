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

/* The capacity that another hall reported is not used after this time. */
#define REMOTE_FRESH_NS (1200 * NS_MS)
/* Assumed latency of a request as long as no answer was measured. */
#define USUAL_UNKNOWN_NS (5 * NS_MS)
/* Bounds of the Retry-After of a request that is refused for lack of time. */
#define COME_BACK_MIN_NS (50 * NS_MS)
#define COME_BACK_NS (300 * NS_MS)

/* Another hall: its configuration and the last capacity report. */
struct disp_remote_hall {
	struct str hall;
	struct str region;
	bool far; /* in another region */
	int slots; /* by configuration */
	struct disp_room room;
	int64_t told; /* time of the report, monotonic ns; 0: none yet */
};

/* The measured service times of one kind of request at the usual speed. */
struct disp_work {
	unsigned kind;
	struct conc times; /* ns, by the number of other requests in flight */
};

/*
 * The queues: one for each class for requests that can meet their targets, one
 * for requests that cannot, and one for requests that must run isolated.
 */
enum { QUEUE_LATE = CLASS_MAX, QUEUE_TRIAL, QUEUES };

/*
 * A request that was in flight at a backend server when the connection broke,
 * and that may have crashed it.
 */
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
	/* Moving averages of latency factors: 1 is the usual speed. */
	double mean_pace; /* over all backend servers */
	double begin_pace; /* expected at the start of attempts */
	double slow_pace; /* over reports from slow periods */
	int64_t mean_work; /* moving average, ns; 0: unknown */
	struct conc conc; /* slowdown by concurrency, over all kinds */
	int64_t limited; /* last update of concurrency limits; monotonic ns */
	GArray *remotes; /* struct disp_remote_hall */
	struct retry_budget budget;
	struct limit limit;
	int64_t came_back; /* last arrival of a request refused before */
	GQueue out; /* struct disp_req *, oldest first */
	struct pick_backend *emptied; /* until it is idle; NULL: none */
	bool in_doubt; /* backend servers may be in slow start, unconfirmed */
	guint ask_from; /* index of the next one for round-robin queries */
	/* What the roll-out allows, as the backend servers are marked. */
	bool new_may, old_may, new_first;
	bool serving; /* disp_serve() is running */
	bool again; /* and has to repeat its loop */
};

/* disp.c */
/*
 * Sends or forwards a request if that is possible now; returns false if it has
 * to wait.
 */
bool disp_start(struct disp *, struct disp_req *);
/* Sends a request to a backend server. */
void disp_begin(struct disp *, struct disp_req *, struct pick_backend *);
/* Answers a request with an error; `after` is the Retry-After in ns. */
void disp_drop(struct disp *, struct disp_req *, enum err_kind, int64_t after);
/* Sends as many queued requests as possible. */
void disp_serve(struct disp *);

/* disp_hold.c: queued requests. */
/* Returns whether the target can be met if the request starts now. */
bool disp_is_in_time(const struct disp_req *, int64_t now);
void disp_hold(struct disp *, struct disp_req *);
void disp_unhold(struct disp *, struct disp_req *);
/* Takes requests that cannot meet their targets out of their queue. */
void disp_sort_late(struct disp *);
/* Fails the requests of a queue whose deadlines passed or will be missed. */
void disp_expire(struct disp *, int queue, int64_t now);
/* Forwards or fails all requests of a queue. */
void disp_give_up_all(struct disp *, int queue);

/* disp_pace.c: admission under the latency-aware policy. */
void disp_pace_arrive(struct disp *, struct disp_req *);
/* Returns whether a request may be queued; if not, it has been failed. */
bool disp_pace_may_wait(struct disp *, struct disp_req *);
/* Refuses a request for lack of time; `wait` is the queueing time in ns. */
void disp_pace_refuse(struct disp *, struct disp_req *, int64_t wait);
bool disp_pace_should_wait(
    struct disp *, const struct disp_req *, struct pick_backend *, int64_t now);
bool disp_pace_better_elsewhere(const struct disp *, const struct disp_req *,
    const struct pick_backend *, int64_t now);

/* disp_stop.c: slow attempts under policies that are not latency-aware. */
void disp_stop_stuck(struct disp *, int64_t now);

/* disp_set.c: the shard's backend servers. */
struct pick_set disp_set_of(const struct disp *);
/* Frees the removed backend servers that have no request in flight. */
void disp_sweep(struct disp *);
void disp_set_free(struct disp *);
/* Returns the usual latency of a request in this shard, ns. */
int64_t disp_usual(const struct disp *);
/* Returns the slots of all usable backend servers, for wait estimates. */
double disp_slots(const struct disp *);

/* disp_work.c: estimates of service times. */
/* Returns the estimate for a kind in ns; 0: unknown. */
int64_t disp_work_of(const struct disp *, unsigned kind);
/* Fills in the estimates of an attempt that is about to be sent. */
void disp_work_begin(struct disp *, struct disp_req *);
/* Updates the average of slow periods from a reported latency factor. */
void disp_work_told(struct disp *, int percent);
/* Updates the mean latency factor of all backend servers. */
void disp_work_mean_pace(struct disp *);
/* Learns from the duration of a successful attempt. */
void disp_work_done(
    struct disp *, const struct disp_req *, struct pick_backend *, int64_t now);

/* disp_conc.c: concurrency limits of the backend servers. */
void disp_conc_begin(const struct disp *, struct disp_req *);
void disp_conc_set(struct disp *, int64_t now);

/* disp_cold.c: slow start of backend servers that may have just started. */
void disp_cold_suspect(struct disp *, struct pick_backend *, int64_t lasts);
void disp_cold_ask(struct disp *, int64_t now);
bool disp_cold_asks(const struct disp *, int64_t now);
double
disp_cold_slots(const struct disp *, const struct pick_backend *, int64_t);

/* disp_roll.c: two versions of a service during a roll-out. */
void disp_roll_mark(struct disp *);
void disp_roll_look(struct disp *);
void disp_roll_sent(struct disp *, const struct pick_backend *);
void disp_roll_done(struct disp *, const struct disp_req *,
    const struct pick_backend *, enum disp_outcome);
/*
 * Returns whether the server is a canary of the new version, whose latencies
 * are not used for the estimates of the service.
 */
bool disp_roll_is_trial(const struct disp *, const struct pick_backend *);

/* disp_word.c: limits that backend servers reported. */
/* Returns how many slots of one count in estimates of the queueing time. */
double disp_word_slots(const struct disp *, const struct pick_backend *);
/*
 * Estimates the time in ns until a request is sent that has `ahead` others
 * before it in the queue.  Returns false if a usable backend server has
 * reported neither a rate limit nor a pause that is still in force.
 */
bool disp_word_wait(const struct disp *, size_t ahead, int64_t *wait);
/* Returns whether a request that became late is refused, not kept queued. */
bool disp_word_refuses_late(const struct disp *, const struct disp_req *);

/* disp_peek.c: queries for the load of backend servers. */
bool disp_peek_first(struct disp *, struct disp_req *, int64_t now);
bool
disp_peek_after(struct disp *, struct pick_backend *, int64_t gap, int64_t now);
bool disp_peek_one(struct disp *, struct pick_backend *, int64_t now);
void disp_peek_some(struct disp *, int64_t work, int64_t now);
void disp_peek_in_turn(struct disp *,
    bool (*)(const struct pick_backend *, int64_t now), int64_t gap,
    int64_t now);
void disp_peek_silent(struct disp *, int64_t now);

/* disp_move.c: slow attempts that are repeated at another backend server. */
void disp_move(struct disp *, int64_t now);

/*
 * disp_pass.c: forwarding to other halls.  disp_pass() and
 * disp_pass_to_shorter() return whether they forwarded the request.
 */
void disp_pass_free(struct disp *);
bool disp_pass(struct disp *, struct disp_req *);
bool disp_has_room_elsewhere(
    const struct disp *, const struct disp_req *, int64_t now);
bool disp_pass_to_shorter(struct disp *, struct disp_req *, int64_t wait);

bool disp_pass_may_try(
    const struct disp_remote_hall *, const struct disp_req *, int64_t now);

/* disp_trial.c: isolated runs of requests that may crash backend servers. */
bool disp_trial_arrive(struct disp *, struct disp_req *);
bool disp_trial_holds(const struct disp *, const struct disp_req *);
bool disp_trial_takes(struct disp *, struct disp_req *);
void disp_trial_serve(struct disp *);
void disp_trial_done(
    struct disp *, struct disp_req *, struct pick_backend *, enum disp_outcome);

/* disp_doubt.c: detection of crashed backend servers. */
void disp_doubt_done(
    struct disp *, struct disp_req *, struct pick_backend *, enum disp_outcome);
void disp_doubt_peeked(struct disp *, struct pick_backend *, bool answered);
void disp_doubt_settle(struct disp *, struct pick_backend *, bool crashed);
bool disp_doubt_waits(const struct pick_backend *, struct fprint);

#endif
