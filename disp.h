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
#ifndef DISP_H
#define DISP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "chart.h"
#include "clk.h"
#include "cold.h"
#include "err.h"
#include "limit.h"
#include "obj.h"
#include "pick.h"
#include "poison.h"
#include "queue.h"
#include "roll.h"
#include "report.h"
#include "tally.h"

/*
 * The dispatcher of one shard: the backend servers of one service in one hall,
 * which is a zone.  It runs in the gate (proxy process) that owns the shard.
 * A backend server has a number of slots, one for each concurrent request; the
 * dispatcher chooses a backend server for each request, and queues requests
 * until a slot is free.
 *
 * It does no I/O: events arrive as function calls, actions are callbacks, and
 * the clock and the random numbers are passed in.  The same sequence of events
 * therefore always gives the same result.
 */

/* How one attempt at a backend server ended. */
enum disp_outcome {
	DISP_OK, /* complete response */
	DISP_REFUSED, /* the backend server reported that it did not run it */
	DISP_CONNECT_FAILED, /* no connection, nothing was sent */
	DISP_SERVER_ERROR, /* response with a 5xx status */
	DISP_CONN_BROKEN, /* the connection broke; the request may have run */
	DISP_TIMED_OUT, /* the deadline passed before the response */
	DISP_CANCELED, /* the caller disconnected before the response */
	DISP_STOPPED_SLOW, /* stopped, as it took far longer than usual */
	DISP_WRONG_INSTANCE, /* another backend server has the address now */
	DISP_OUTCOME_MAX
};

/* Which limit reported by the backend server an attempt violates. */
enum disp_violation {
	VIOLATION_NONE,
	VIOLATION_QUOTA, /* its limit of requests per second */
	VIOLATION_PAUSE, /* its Retry-After pause */
	VIOLATION_LEAVING, /* it reported that it is shutting down */
	VIOLATION_MAX
};

/* One request, embedded in the gate's own structure for it. */
struct disp_req {
	enum obj_class cls;
	bool repeatable; /* may be sent again although it may have run */
	bool can_forward; /* may be forwarded to another hall */
	bool can_retry; /* no part of a response was sent to the caller yet */
	int64_t deadline; /* monotonic ns */
	int64_t sent_at; /* start of the current attempt; monotonic ns */
	int attempt_count; /* attempts so far, including the current one */
	int max_attempts; /* limit of attempts; 0: the default */
	int rank; /* priority; lower is more urgent */
	int64_t target; /* wanted time of the response, monotonic ns; 0: none */
	unsigned kind; /* requests of one kind have similar service times */
	struct str allowed_regions; /* where it may be served: region.h */
	struct fprint fingerprint; /* identifies retries of the same request */
	struct str customer; /* that it is made for; empty: none */
	/* The members below are private to the dispatcher. */
	int64_t service_time; /* estimate for the usual speed, ns */
	/* Estimates at the start of the current attempt. */
	double latency_factor; /* pace.h */
	int concurrent; /* other requests in flight at the backend server */
	double slowdown; /* expected from these; factor >= 1 */
	bool load_report_fresh; /* the latency factor is a recent report */
	enum disp_violation violation; /* of the current attempt */
	bool queried; /* load queries were sent for it */
	bool budget_charged; /* a retry budget allowed its attempts so far */
	int64_t share_cost; /* ns that count against its customer's share */
	bool over_share; /* it is beyond its customer's share */
	bool in_excess; /* its customer was lately beyond its share */
	bool wait_decided; /* it was decided whether it may wait */
	int queue; /* index of the queue that it waits in */
	struct pick_backend *backend; /* current one; NULL: queued or done */
	struct pick_backend *avoid; /* the one of the last attempt */
	struct pick_backend *next; /* the one it is moved to; else NULL */
	/* Its connection broke, and it may have crashed; NULL: none. */
	const struct pick_backend *maybe_crashed;
	bool queued; /* waits in a queue of the dispatcher */
	bool in_trial; /* runs isolated from other requests: poison.h */
	bool stopped; /* an attempt was stopped as too slow */
	bool is_retry; /* its sender marked it as a retry */
	bool previously_refused; /* its caller retries it after a refusal */
	struct queue_item item;
	GList inflight_link; /* in disp.inflight, by start time */
};

struct disp_ops {
	/* Send the request to a backend server. */
	void (*send)(void *, struct disp_req *, struct pick_backend *);
	/* Forward the request to the shard's owner in another hall. */
	void (*forward)(void *, struct disp_req *, struct str hall);
	/* Answer the request with an error; retry_after in ns, 0: none. */
	void (*fail)(
	    void *, struct disp_req *, enum err_kind, int64_t retry_after);
	/*
	 * Stop the current attempt, which is far too slow, and then call
	 * disp_attempt_done() with DISP_STOPPED_SLOW, which sends the request
	 * to the backend server that was chosen for it.
	 */
	void (*stop)(void *, struct disp_req *);
	/*
	 * Query the load of a backend server, and then call
	 * disp_load_query_done().
	 */
	void (*query_load)(void *, struct pick_backend *);
	/* A backend server crashed with this many requests in flight. */
	void (*crashed)(void *, const struct pick_backend *, unsigned);
	/* A backend server is no longer used and is freed after the call. */
	void (*release)(void *, struct pick_backend *);
	void *ctx;
};

/*
 * The capacity of a shard, as the owners in different halls exchange it.  A
 * backend server that reports a rate limit counts for a fraction of its slots,
 * rounded to tenths of a slot: with finer fractions the value would change, and
 * be sent, all the time.
 */
enum { SLOT_TENTHS = 10 };
struct disp_capacity {
	/* Of all usable backend servers, occupied or free. */
	double slots;
	int free_slots;
	int queued; /* requests */
};

struct disp_params {
	const struct pick_policy *policy;
	const struct chart *chart;
	int64_t queue_max; /* longest queue of a class, requests */
	int bulk_percent; /* largest share of slots for class bulk */
	int64_t retry_percent; /* retries allowed, percent of requests */
	double retry_budget_max; /* size of the retry budget; 0: the default */
	struct cold_limit cold;
	struct poison *poison; /* shared by all shards; NULL: no check */
	const struct backend_reports *reports; /* of all shards; NULL: none */
	struct str hall; /* of the shard; must outlive the dispatcher */
	struct roll *rollout; /* of the service; NULL: none */
	double rate; /* limit of the shard, requests per second; 0: none */
	/* Wall time of the gate's first complete configuration; 0: unknown. */
	int64_t configured_ms;
};

/* A backend server as the configuration describes it. */
struct disp_backend_conf {
	struct str name;
	struct str address;
	int slots;
	bool drain; /* gets no new requests */
	bool evacuated; /* its hall must get no new requests */
	int64_t slow_start_ns; /* duration of its slow start */
	uint64_t entry_version; /* version of its entry, see version.h */
	int64_t started_ms; /* start time, ms since 1970; 0: unknown */
	bool is_new_version; /* of the new version of a roll-out */
	bool existed; /* before the gate's first complete configuration */
};

/*
 * The Retry-After of a request that backend servers refused.  It is short, as
 * backend servers may refuse requests at random although they have free slots:
 * with 100 ms the next two attempts of a request with a target of 400 ms would
 * be late.  Backend servers that are full report that beforehand, and get no
 * requests.
 */
#define DISP_REFUSED_RETRY_NS (10 * NS_MS)

struct disp;

struct disp *
disp_new(const struct disp_ops *, const struct clk *, const struct rnd *);

/* Frees the dispatcher.  It must have no requests, queued or in flight. */
void disp_free(struct disp *);

/*
 * Sets whether this gate owns the shard; initially it does.  Only the owner
 * knows which slots are free, so others do not move attempts.
 */
void disp_set_owner(struct disp *, bool);

/* Sets the parameters; the structure is copied. */
void disp_configure(struct disp *, const struct disp_params *);

/*
 * Replaces the list of backend servers.  The state of those that are in the old
 * and in the new list is kept.
 */
void
disp_set_backends(struct disp *, const struct disp_backend_conf *, unsigned);

/*
 * Accepts a new request.  One of the operations send, pass and give_up is
 * called for it, during this call or later.
 */
void disp_submit(struct disp *, struct disp_req *);

/*
 * Returns whether disp_attempt_done() would queue the request for a retry after
 * an attempt with this outcome.
 */
bool disp_can_retry(struct disp *, const struct disp_req *, enum disp_outcome);

/*
 * Reports the end of an attempt.  Returns true if the request is retried by the
 * dispatcher; otherwise the gate has to answer it.
 */
bool disp_attempt_done(struct disp *, struct disp_req *, enum disp_outcome);

/*
 * Moves the attempt of a request that is being sent to a copy, for which
 * disp_attempt_done() is called in its place.
 */
void disp_transfer(struct disp *, struct disp_req *from, struct disp_req *to);

/*
 * Returns the Retry-After in ns for a request that backend servers refused:
 * DISP_REFUSED_RETRY_NS, or a longer time where the limits that all of them
 * reported show that they can accept it only later.
 */
int64_t disp_refused_retry_after(struct disp *, const struct disp_req *);

/* Removes a queued request whose caller disconnected. */
void disp_cancel(struct disp *, struct disp_req *);

/* Handles deadlines of queued requests, ends of ejections and other timers. */
void disp_tick(struct disp *);

/*
 * Records the load that a backend server reported with a response: the number
 * of requests that it processes, the number that wait in it, and its latency
 * factor in percent (100: as fast as usual).
 */
void disp_load_reported(struct disp *, struct pick_backend *, int running,
    int waiting, int percent);

/*
 * Applies the reports of backend servers in params.reports, after reports from
 * other boxes were merged into them.
 */
void disp_apply_reports(struct disp *);

/* Returns the backend server with this name, or NULL. */
struct pick_backend *disp_find_backend(const struct disp *, struct str backend);

/*
 * The next three functions record what a backend server reported with a
 * response to a request or to a load query; for a load query, they must be
 * called before disp_load_query_done().  They return true if the report changed
 * the state.
 */
/* It is shutting down. */
bool disp_leaving_reported(struct pick_backend *);
/* It asks this gate for a pause of this many ns (Retry-After). */
bool disp_pause_reported(struct disp *, struct pick_backend *, int64_t ns);
/*
 * It accepts this many requests per second from all boxes together; 0: no
 * limit.  `sent` is the time at which the answered request was sent.
 */
bool disp_quota_reported(
    struct disp *, struct pick_backend *, double rate, int64_t sent);

/*
 * Reports the result of a load query that query_load() sent.  A `percent` of 0
 * means that the backend server does not report its load.
 */
void disp_load_query_done(struct disp *, struct str backend, bool answered,
    int running, int waiting, int percent);

/*
 * Reports that the connection for a load query was established, which means
 * that the backend server's process is running.  Must be called before
 * disp_load_query_done().
 */
void disp_load_query_connected(struct disp *, struct str backend);

/*
 * Records the remaining slow start in ns, as the response to a load query
 * reports it; 0: the backend server is warm.  Must be called before
 * disp_load_query_done(). Returns true if that changed the state.
 */
bool disp_cold_reported(struct disp *, struct str backend, int64_t ns);

/*
 * A probe found that a backend server is cold for `ns` more.  Returns whether
 * it was not known to be.
 */
bool disp_cold_probed(struct disp *, struct str backend, int64_t ns);

/* This process was suspended; another owner may have acted meanwhile. */
void disp_resumed(struct disp *);

/* Records the result of health probes of a backend server. */
void
disp_probe_result(struct disp *, struct str backend, bool down, bool drain);

/* Sets how many slots the service has in another hall by configuration. */
void disp_set_hall_slots(struct disp *, struct str hall, int slots);

/* Sets the region of another hall, and whether it is the region of this one. */
void disp_set_hall_region(
    struct disp *, struct str hall, struct str region, bool same_region);

/* Records the capacity that the shard's owner in another hall reported. */
void disp_set_hall_capacity(
    struct disp *, struct str hall, const struct disp_capacity *);

/* Another hall has no usable backend server, until it reports anew. */
void disp_set_hall_unusable(struct disp *, struct str hall);

/* Returns the capacity of this shard, for the owners in other halls. */
struct disp_capacity disp_capacity_of(const struct disp *);

/* Fills in the slots, usable or left out, the queues and the refusals. */
void disp_tally(const struct disp *, struct tally *);

/* Returns the number of requests in flight. */
unsigned disp_inflight(const struct disp *);

/* Returns the number of requests in all queues. */
unsigned disp_queued(const struct disp *);

/* Returns the number in flight at servers of a roll-out's old version. */
unsigned disp_old_version_inflight(const struct disp *);

/* Returns the number of backend servers that may get new requests. */
unsigned disp_usable_backends(const struct disp *);

/*
 * Returns whether none of the backend servers that are to get requests has
 * responded lately.
 */
bool disp_none_responds(const struct disp *);

/* Calls a function for each backend server. */
typedef void disp_backend_fn(void *, const struct pick_backend *);
void disp_foreach_backend(const struct disp *, disp_backend_fn *, void *);

#endif
