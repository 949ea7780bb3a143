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
#define HALL_CAPACITY_TTL_NS (1200 * NS_MS)
/* What a request takes where nothing is known yet. */
#define DEFAULT_LATENCY_NS (5 * NS_MS)
/* When a refused request may come back: no sooner, and no later. */
#define RETRY_AFTER_MIN_NS (50 * NS_MS)
#define RETRY_AFTER_MAX_NS (300 * NS_MS)

/* What another hall's home said last. */
struct disp_remote_hall {
	struct str hall;
	struct str region;
	bool other_region; /* in another region */
	int configured_slots; /* by configuration */
	struct disp_capacity capacity;
	int64_t reported_at; /* 0: never */
};

/* What requests of one kind take at the usual pace, as far as is known. */
struct disp_service_times {
	unsigned kind;
	struct conc times; /* ns, by how many ran beside it */
};

/*
 * Where requests are held: those in time by class, those that are late, and
 * those that have to run by themselves.
 */
enum { QUEUE_LATE = CLASS_MAX, QUEUE_TRIAL, QUEUE_COUNT };

/* A request that was at a backend server when a connection broke. */
struct disp_crash_suspect {
	struct fprint fingerprint;
	bool in_trial;
};

struct disp {
	struct disp_ops ops;
	const struct clk *clk;
	const struct rnd *rnd;
	struct disp_params params;
	GPtrArray *backends; /* struct pick_backend * */
	struct queue queues[QUEUE_COUNT];
	GArray *service_times; /* struct disp_service_times */
	double mean_latency_factor; /* of the backend servers, over time */
	double start_latency_factor; /* at which requests began, over time */
	double slow_latency_factor; /* of those in slow spells, over time */
	int64_t
	    mean_service_time; /* of all requests, over time; 0: not known */
	struct conc conc; /* how work slows beside other work, of all kinds */
	int64_t limits_set_at; /* when limits were set last */
	GArray *remote_halls; /* struct disp_remote_hall */
	struct retry_budget retry_budget;
	struct limit rate_limit;
	int64_t last_return_at; /* the last request of one turned away before */
	GQueue inflight; /* struct disp_req *, the longest out first */
	struct pick_backend *trial_reserved; /* for a trial; NULL: none */
	bool cold_unconfirmed; /* some backend servers may be cold */
	guint
	    query_next; /* whose turn it is, of those that are asked in turn */
	/* By the roll-out, as servers are marked. */
	bool new_allowed, old_allowed, prefer_new;
	bool serving; /* serve() is under way */
	bool serve_again; /* and must look once more */
};

/* disp.c */
/* Try to start a request now; false if it has to wait. */
bool disp_try_send(struct disp *, struct disp_req *);
/* Send a request to a backend server. */
void disp_send(struct disp *, struct disp_req *, struct pick_backend *);
void disp_fail(struct disp *, struct disp_req *, enum err_kind, int64_t after);
void disp_serve_queues(struct disp *);

/* disp_enqueue.c: the requests that are held. */
bool disp_can_meet_target(const struct disp_req *, int64_t now);
void disp_enqueue(struct disp *, struct disp_req *);
void disp_dequeue(struct disp *, struct disp_req *);
void disp_separate_late(struct disp *);
void disp_expire(struct disp *, int queue, int64_t now);
void disp_fail_all(struct disp *, int queue);

/* disp_pace.c: arrivals under the policy that goes by pace. */
void disp_latency_submit(struct disp *, struct disp_req *);
bool disp_latency_admit(struct disp *, struct disp_req *);
/* It cannot be served in time: tell its caller when to come back. */
void disp_latency_refuse(struct disp *, struct disp_req *, int64_t wait);
bool disp_latency_should_wait(
    struct disp *, const struct disp_req *, struct pick_backend *, int64_t now);
bool disp_latency_remote_better(const struct disp *, const struct disp_req *,
    const struct pick_backend *, int64_t now);

/* disp_stop.c: tries that are far too slow, where no pace is told. */
void disp_stop_slow(struct disp *, int64_t now);

/* disp_set.c: the shard's backend servers. */
struct pick_set disp_pick_set(const struct disp *);
void disp_free_removed(struct disp *);
void disp_free_backends(struct disp *);
int64_t disp_usual_latency(const struct disp *);
/* The slots worth using of the backend servers that may be used. */
double disp_usable_slots(const struct disp *);

/* disp_service_times.c: how long requests take. */
int64_t disp_work_estimate(const struct disp *, unsigned kind);
void disp_work_attempt_sent(struct disp *, struct disp_req *);
void disp_work_load_reported(struct disp *, int pace);
void disp_work_update_mean(struct disp *);
void disp_work_learn(
    struct disp *, const struct disp_req *, struct pick_backend *, int64_t now);

/* disp_conc.c: how many requests at once each backend server gets. */
void disp_conc_attempt_sent(const struct disp *, struct disp_req *);
void disp_conc_update_limits(struct disp *, int64_t now);

/* disp_cold.c: backend servers that have just started, or may have. */
void disp_cold_suspect(struct disp *, struct pick_backend *, int64_t lasts);
void disp_cold_query(struct disp *, int64_t now);
bool disp_cold_query_pending(const struct disp *, int64_t now);
double
disp_cold_slots(const struct disp *, const struct pick_backend *, int64_t);

/* disp_roll.c: two versions of a service, while one replaces the other. */
void disp_roll_update(struct disp *);
void disp_roll_update_if_changed(struct disp *);
void disp_roll_attempt_sent(struct disp *, const struct pick_backend *);
void disp_roll_attempt_done(struct disp *, const struct disp_req *,
    const struct pick_backend *, enum disp_outcome);
/* Is what the server does no measure of the service's work? */
bool disp_roll_is_canary(const struct disp *, const struct pick_backend *);

/* disp_word.c: backend servers that say what they take, and when. */
/* The slots worth counting when the wait for one is reckoned. */
double disp_report_slots(const struct disp *, const struct pick_backend *);
/*
 * The time until a request is sent that has so many ahead of it, where all that
 * may be used say what they take, or rest; false if one does neither.
 */
bool disp_report_wait(const struct disp *, size_t ahead, int64_t *wait);
/* Is one that turns late refused, rather than held on? */
bool disp_report_refuses_late(const struct disp *, const struct disp_req *);

/* disp_peek.c: questions for the load of backend servers. */
bool disp_query_before_send(struct disp *, struct disp_req *, int64_t now);
bool disp_query_after_gap(
    struct disp *, struct pick_backend *, int64_t gap, int64_t now);
bool disp_query_one(struct disp *, struct pick_backend *, int64_t now);
void disp_query_best(struct disp *, int64_t work, int64_t now);
void disp_query_round_robin(struct disp *,
    bool (*)(const struct pick_backend *, int64_t now), int64_t gap,
    int64_t now);
void disp_query_unresponsive(struct disp *, int64_t now);

/* disp_reassign_slow.c: tries that are begun elsewhere. */
void disp_reassign_slow(struct disp *, int64_t now);

/* disp_forward.c: other halls.  True if the request was passed on. */
void disp_forward_free(struct disp *);
bool disp_forward(struct disp *, struct disp_req *);
bool disp_forward_has_capacity(
    const struct disp *, const struct disp_req *, int64_t now);
bool disp_forward_to_shorter(struct disp *, struct disp_req *, int64_t wait);

bool disp_forward_can_serve(
    const struct disp_remote_hall *, const struct disp_req *, int64_t now);

/* disp_trial.c: requests under which a backend server ended. */
bool disp_trial_submit(struct disp *, struct disp_req *);
bool disp_trial_required(const struct disp *, const struct disp_req *);
bool disp_trial_intercept(struct disp *, struct disp_req *);
void disp_trial_serve_queue(struct disp *);
void disp_trial_attempt_done(
    struct disp *, struct disp_req *, struct pick_backend *, enum disp_outcome);

/* disp_crash_suspect.c: backend servers that may have ended with what was
 * there. */
void disp_crash_attempt_done(
    struct disp *, struct disp_req *, struct pick_backend *, enum disp_outcome);
void disp_crash_query_done(struct disp *, struct pick_backend *, bool answered);
void disp_crash_resolve(struct disp *, struct pick_backend *, bool ended);
bool disp_crash_trial_pending(const struct pick_backend *, struct fprint);

#endif
