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
#include "share.h"

/* The capacity that another hall reported is not used after this time. */
#define HALL_CAPACITY_TTL_NS (1200 * NS_MS)
/* Assumed latency of a request as long as no response was measured. */
#define DEFAULT_LATENCY_NS (5 * NS_MS)
/* Bounds of the Retry-After of a request that is refused for lack of time. */
#define RETRY_AFTER_MIN_NS (50 * NS_MS)
#define RETRY_AFTER_MAX_NS (300 * NS_MS)

/* Another hall: its configuration and the last capacity report. */
struct disp_remote_hall {
	struct str hall;
	struct str region;
	bool other_region; /* not in the region of the own hall */
	int configured_slots;
	struct disp_capacity capacity;
	int64_t reported_at; /* time of the report, monotonic ns; 0: none yet */
};

/* The measured service times of one kind of request at the usual speed. */
struct disp_service_times {
	unsigned kind;
	struct conc times; /* ns, by the number of other requests in flight */
};

/*
 * The queues: one for each class for requests that can meet their targets, one
 * for requests that cannot, one for requests that must run isolated, and one
 * for requests beyond their customers' shares.
 */
enum { QUEUE_LATE = CLASS_MAX, QUEUE_TRIAL, QUEUE_OVER, QUEUE_COUNT };

/*
 * A request that was in flight at a backend server when the connection broke,
 * and that may have crashed it.
 */
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
	/* Moving averages of latency factors: 1 is the usual speed. */
	double mean_latency_factor; /* over all backend servers */
	double start_latency_factor; /* expected at the start of attempts */
	double slow_latency_factor; /* over reports from slow periods */
	int64_t mean_service_time; /* moving average, ns; 0: unknown */
	struct conc conc; /* slowdown by concurrency, over all kinds */
	int64_t limits_set_at; /* last update of concurrency limits */
	GArray *remote_halls; /* struct disp_remote_hall */
	struct share *share; /* of customers; NULL: no request had one */
	int64_t share_updated_at; /* last update of its capacity */
	/* Mean of 1 - speed of the servers, and its number of samples. */
	double slowness;
	int speed_samples;
	double mean_others_use; /* of the capacity: disp_share.c */
	double unslowed_capacity; /* of all usable servers, see disp_share.c */
	struct retry_budget retry_budget;
	struct limit rate_limit;
	int64_t last_return_at; /* last arrival of a request refused before */
	GQueue inflight; /* struct disp_req *, oldest first */
	/* Gets no requests, so that it becomes idle for a trial; or NULL. */
	struct pick_backend *trial_reserved;
	bool cold_unconfirmed; /* some backend servers are presumed cold */
	int64_t requested_at; /* last request, monotonic ns; 0: none yet */
	uint64_t refused[ERR_MAX]; /* requests failed by disp_fail() */
	guint query_next; /* index of the next one for round-robin queries */
	/* What the roll-out allows, as the backend servers are marked. */
	bool new_allowed, old_allowed, prefer_new;
	/* Members of disp_state.c. */
	bool is_owner; /* see disp_set_owner() */
	int handover; /* enum disp_handover */
	int64_t inherited_until; /* latest use of `inherited`; 0: none */
	int64_t sending_since; /* first request sent as owner; 0: none */
	bool serving; /* disp_serve_queues() is running */
	bool serve_again; /* and has to repeat its loop */
};

/* disp.c */
/*
 * Sends or forwards a request if that is possible now; returns false if it has
 * to wait.
 */
bool disp_try_send(struct disp *, struct disp_req *);
/* Sends a request to a backend server. */
void disp_send(struct disp *, struct disp_req *, struct pick_backend *);
/* Answers a request with an error; `after` is the Retry-After in ns. */
void disp_fail(struct disp *, struct disp_req *, enum err_kind, int64_t after);
/* Sends as many queued requests as possible. */
void disp_serve_queues(struct disp *);

/* disp_queue.c: queued requests. */
/* Returns whether the target can be met if the request starts now. */
bool disp_can_meet_target(const struct disp_req *, int64_t now);
void disp_enqueue(struct disp *, struct disp_req *);
void disp_dequeue(struct disp *, struct disp_req *);
/* Takes requests that cannot meet their targets out of their queue. */
void disp_separate_late(struct disp *);
/* Fails the requests of a queue whose deadlines passed or will be missed. */
void disp_expire(struct disp *, int queue, int64_t now);
/* Forwards or fails all requests of a queue. */
void disp_fail_all(struct disp *, int queue);

/* disp_pace.c: admission under the latency-aware policy. */
void disp_latency_submit(struct disp *, struct disp_req *);
/* Returns whether a request may be queued; if not, it has been failed. */
bool disp_latency_admit(struct disp *, struct disp_req *);
/* Refuses a request for lack of time; `wait` is the queueing time in ns. */
void disp_latency_refuse(struct disp *, struct disp_req *, int64_t wait);
bool disp_latency_should_wait(
    struct disp *, const struct disp_req *, struct pick_backend *, int64_t now);
bool disp_latency_remote_better(const struct disp *, const struct disp_req *,
    const struct pick_backend *, int64_t now);

/* disp_share.c: fair shares of customers. */
/* Returns true if the request is beyond its customer's share and handled. */
bool disp_share_submit(struct disp *, struct disp_req *);
/* Learns the mean speed of the servers from a load report that follows. */
void disp_share_load_reported(
    struct disp *, const struct pick_backend *, int percent, int64_t now);
/* Returns the rank in the queue of requests beyond shares. */
int disp_share_rank(const struct disp_req *);
/* A request is refused: it no longer counts against its customer's share. */
void disp_share_refused(struct disp *, struct disp_req *);
/* Returns whether the first request beyond a share is served next. */
bool disp_share_is_next(struct disp *);
/* Returns whether a hall has capacity for requests beyond shares. */
bool
disp_share_hall_has_spare(const struct disp *, const struct disp_remote_hall *);

/* disp.c */
/* Returns whether a running attempt may be moved to another server. */
bool disp_can_move(struct disp *, const struct disp_req *);
/*
 * Stops the attempt of a request and begins one at a server that has a free
 * slot.  The request must not be queued in between: it would compete for the
 * slot, be forwarded or be refused, and what runs is given up only for an
 * attempt that is certain.
 */
void disp_move(struct disp *, struct disp_req *, struct pick_backend *);

/* disp_stop.c: slow attempts under policies that are not latency-aware. */
void disp_stop_slow(struct disp *, int64_t now);

/* disp_set.c: the shard's backend servers. */
struct pick_set disp_pick_set(const struct disp *);
/* Frees the removed backend servers that have no request in flight. */
void disp_free_removed(struct disp *);
void disp_free_backends(struct disp *);
/* Returns the usual latency of a request in this shard, ns. */
int64_t disp_usual_latency(const struct disp *);
/* Returns the slots of all usable backend servers, for wait estimates. */
double disp_usable_slots(const struct disp *);

/* disp_work.c: estimates of service times. */
/* Returns the estimate for a kind in ns; 0: unknown. */
int64_t disp_work_estimate(const struct disp *, unsigned kind);
/* Fills in the estimates of an attempt that is about to be sent. */
void disp_work_attempt_sent(struct disp *, struct disp_req *);
/* Updates the average of slow periods from a reported latency factor. */
void disp_work_load_reported(struct disp *, int percent);
/* Updates the mean latency factor of all backend servers. */
void disp_work_update_mean(struct disp *);
/* Learns from the duration of a successful attempt. */
void disp_work_learn(
    struct disp *, const struct disp_req *, struct pick_backend *, int64_t now);

struct disp_state;
/* Applies the service times that a former owner measured, unless known. */
void disp_work_import(struct disp *, const struct disp_state *, int64_t now);
void disp_work_import_ratio(struct pick_backend *, double ratio);

/* disp_state.c: state that one owner hands over to the next. */
/* Queries servers that run requests of the former owner, or forgets these. */
void disp_state_tick(struct disp *, int64_t now);
/*
 * Updates the number of such requests from a load report, which came with the
 * response to a request that is still counted in flight (`ended` 1), or to a
 * load query (0).
 */
void disp_state_load_reported(struct disp *, struct pick_backend *, int ended);
/*
 * If the shard is handed over, forwards the request or leaves it in its queue.
 * Returns false if it is to be sent by this gate.
 */
bool disp_state_pass_on(struct disp *, struct disp_req *);
/* Returns whether the request has to wait for the handover. */
bool disp_state_holds(const struct disp *, const struct disp_req *);

/* disp_conc.c: concurrency limits of the backend servers. */
void disp_conc_attempt_sent(const struct disp *, struct disp_req *);
void disp_conc_update_limits(struct disp *, int64_t now);

/* disp_cold.c: slow start of backend servers that may have just started. */
void disp_cold_suspect(struct disp *, struct pick_backend *, int64_t duration);
void disp_cold_query(struct disp *, int64_t now);
void disp_cold_note_request(struct disp *, int64_t now);
bool disp_cold_query_pending(const struct disp *, int64_t now);
double
disp_cold_slots(const struct disp *, const struct pick_backend *, int64_t);

/* disp_roll.c: two versions of a service during a roll-out. */
void disp_roll_update(struct disp *);
void disp_roll_update_if_changed(struct disp *);
void disp_roll_attempt_sent(struct disp *, const struct pick_backend *);
void disp_roll_attempt_done(struct disp *, const struct disp_req *,
    const struct pick_backend *, enum disp_outcome);
/*
 * Returns whether the server is a canary of the new version, whose latencies
 * are not used for the estimates of the service.
 */
bool disp_roll_is_canary(const struct disp *, const struct pick_backend *);

/* disp_report.c: limits that backend servers reported. */
/* Returns how many slots of one count in estimates of the queueing time. */
double disp_report_slots(const struct disp *, const struct pick_backend *);
/*
 * Estimates the time in ns until a request is sent that has `ahead` others
 * before it in the queue.  Returns false if a usable backend server has
 * reported neither a rate limit nor a pause that is still in force.
 */
bool disp_report_wait(const struct disp *, size_t ahead, int64_t *wait);
/* Returns whether a request that became late is refused, not kept queued. */
bool disp_report_refuses_late(const struct disp *, const struct disp_req *);

/* disp_query.c: queries for the load of backend servers. */
bool disp_query_before_send(struct disp *, struct disp_req *, int64_t now);
bool disp_query_after_gap(
    struct disp *, struct pick_backend *, int64_t gap, int64_t now);
bool disp_query_one(struct disp *, struct pick_backend *, int64_t now);
void disp_query_best(struct disp *, int64_t service_time, int64_t now);
void disp_query_round_robin(struct disp *,
    bool (*)(const struct pick_backend *, int64_t now), int64_t gap,
    int64_t now);
void disp_query_unresponsive(struct disp *, int64_t now);

/* disp_reassign.c: slow attempts that are repeated at another backend server.
 */
void disp_reassign_slow(struct disp *, int64_t now);

/*
 * disp_forward.c: forwarding to other halls.  disp_forward() and
 * disp_forward_to_shorter() return whether they forwarded the request.
 */
void disp_forward_free(struct disp *);
bool disp_forward(struct disp *, struct disp_req *);
bool disp_forward_has_capacity(
    const struct disp *, const struct disp_req *, int64_t now);
bool disp_forward_to_shorter(struct disp *, struct disp_req *, int64_t wait);

bool disp_forward_can_serve(
    const struct disp_remote_hall *, const struct disp_req *, int64_t now);

/* disp_trial.c: isolated runs of requests that may crash backend servers. */
bool disp_trial_submit(struct disp *, struct disp_req *);
bool disp_trial_required(const struct disp *, const struct disp_req *);
bool disp_trial_intercept(struct disp *, struct disp_req *);
void disp_trial_serve_queue(struct disp *);
void disp_trial_attempt_done(
    struct disp *, struct disp_req *, struct pick_backend *, enum disp_outcome);

/* disp_crash.c: detection of crashed backend servers. */
void disp_crash_attempt_done(
    struct disp *, struct disp_req *, struct pick_backend *, enum disp_outcome);
void disp_crash_query_done(struct disp *, struct pick_backend *, bool answered);
void disp_crash_resolve(struct disp *, struct pick_backend *, bool crashed);
bool disp_crash_trial_pending(const struct pick_backend *, struct fprint);

#endif
