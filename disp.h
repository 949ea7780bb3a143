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
#include "word.h"

/*
 * The dispatcher of one shard: one service's backend servers in one hall.
 * It runs at the shard's home and holds requests until a slot is free.
 * Pure: events come in by calls, actions go out by callbacks, clock and
 * random numbers are passed in; one order of events gives one result.
 */

/* How one try at a backend server ended. */
enum disp_outcome {
	DISP_OK, /* a whole answer */
	DISP_REFUSED, /* the backend server says it did not run it */
	DISP_CONNECT_FAILED, /* nothing could be sent */
	DISP_SERVER_ERROR, /* an answer that tells a failure, 5xx */
	DISP_CONN_BROKEN, /* the connection broke; it may have run */
	DISP_TIMED_OUT, /* the deadline passed while it was there */
	DISP_CANCELED, /* the caller went away while it was there */
	DISP_STOPPED_SLOW, /* it takes far longer than usual, and was stopped */
	DISP_WRONG_INSTANCE, /* another backend server has its address now */
	DISP_OUTCOME_MAX
};

/* A request is sent against what its backend server said of itself. */
enum disp_violation {
	VIOLATION_NONE,
	VIOLATION_QUOTA, /* it takes fewer requests a second */
	VIOLATION_PAUSE, /* it wants none from us for a while */
	VIOLATION_LEAVING, /* it leaves */
	VIOLATION_MAX
};

/* One request, embedded in its owner's. */
struct disp_req {
	enum obj_class cls;
	bool repeatable;
	bool can_forward; /* may go to another hall's home */
	bool can_retry; /* nothing of an answer has gone out yet */
	int64_t deadline; /* monotonic ns */
	int64_t sent_at; /* start of the try under way */
	int attempt_count;
	int max_attempts; /* how many tries it may have; 0: the default */
	int rank; /* the lower, the more urgent */
	int64_t target; /* an answer is worth most before; 0: unsaid */
	unsigned kind; /* requests of one kind take alike */
	struct str allowed_regions; /* where it may be served: region.h */
	struct fprint fingerprint; /* is it the same again? */
	/* The rest is the dispatcher's own. */
	int64_t
	    service_time; /* ns that it is thought to take at the usual speed */
	double
	    latency_factor; /* that was expected when the try under way began */
	int concurrent; /* others that ran there then */
	double slowdown; /* that these are thought to cause */
	bool load_report_fresh; /* and that rested on a fresh word */
	enum disp_violation violation; /* what its backend server had said */
	bool queried; /* backend servers were asked for it once */
	bool budget_charged; /* its tries so far are within a retry budget */
	bool wait_decided; /* it was decided that it may wait */
	int queue; /* where it is held */
	struct pick_backend *backend; /* where it is now; NULL: held or done */
	struct pick_backend *avoid; /* where it failed last */
	/* The connection broke there, and it may have ended. */
	const struct pick_backend *maybe_crashed;
	bool queued;
	bool in_trial; /* it runs by itself: poison.h */
	bool stopped; /* a try of it was stopped as too slow */
	bool is_retry; /* it is a retry already, by whoever sent it to us */
	bool previously_refused; /* its caller was turned away before */
	struct queue_item item;
	GList
	    inflight_link; /* among the requests that are out, by their start */
};

struct disp_ops {
	/* Send the request to a backend server. */
	void (*send)(void *, struct disp_req *, struct pick_backend *);
	/* Pass the request to the home in another hall. */
	void (*forward)(void *, struct disp_req *, struct str hall);
	/* Answer the request with an error; retry_after in ns, 0: unsaid. */
	void (*fail)(
	    void *, struct disp_req *, enum err_kind, int64_t retry_after);
	/*
	 * Stop the try under way, which is far too slow, and then call
	 * disp_attempt_done() with DISP_STOPPED_SLOW.
	 */
	void (*stop)(void *, struct disp_req *);
	/* Ask a backend server how fast it is, and call disp_load_query_done().
	 */
	void (*query_load)(void *, struct pick_backend *);
	/* A backend server ended with so many requests there. */
	void (*crashed)(void *, const struct pick_backend *, unsigned);
	/* A backend server is no longer used and will be freed. */
	void (*release)(void *, struct pick_backend *);
	void *ctx;
};

/*
 * What a shard can take, as homes tell each other.  A backend server that says
 * what it takes is worth a part of its slots, in tenths of one: with finer
 * parts homes would have news all the time.
 */
enum { SLOT_TENTHS = 10 };
struct disp_capacity {
	/* Of the backend servers that may be used, taken or free. */
	double slots;
	int free_slots; /* of these, the free ones */
	int queued; /* requests that are held */
};

struct disp_params {
	const struct pick_policy *policy;
	const struct chart *chart;
	int64_t queue_max;
	int bulk_percent;
	int64_t retry_percent;
	double
	    retry_budget_max; /* tries that may be saved up; 0: the default */
	struct cold_limit cold;
	struct poison *poison; /* what all shards know; NULL: not looked at */
	const struct backend_reports *reports; /* the same of backend servers */
	struct str hall; /* the shard's; must outlive it */
	struct roll *rollout; /* of the service; NULL: none */
	double rate; /* this shard's part of the service's rate; 0: none */
};

/* A backend server as configuration has it. */
struct disp_backend_conf {
	struct str name;
	struct str address;
	int slots;
	bool drain;
	bool evacuated; /* its hall is to get nothing new */
	int64_t slow_start_ns; /* it is cold for so long after its start */
	int64_t started_ms; /* its start, ms since 1970; 0: unsaid */
	bool is_new_version; /* of the version that a roll-out brings in */
};

/*
 * When a request that backend servers refused may come back: at once, which
 * callers take for some milliseconds.
 *
 * Load pattern: backend servers that have room turn half of the requests away
 * at random, and two tries meet the same.  Gain: 0.016 of worth on days with
 * that, with a standard error of 0.003 (six seeds), none elsewhere; told 100 ms
 * the next two tries of a request with a target of 400 ms come late.  Where
 * backend servers are full they say so beforehand, and requests are not sent.
 */
#define DISP_REFUSED_RETRY_NS (10 * NS_MS)

struct disp;

struct disp *
disp_new(const struct disp_ops *, const struct clk *, const struct rnd *);

/* Only when no request is left in it. */
void disp_free(struct disp *);

void disp_configure(struct disp *, const struct disp_params *);

/* The backend servers from now on; state of those that stay is kept. */
void
disp_set_backends(struct disp *, const struct disp_backend_conf *, unsigned);

/* A request arrives: one of the ops is called, now or later. */
void disp_submit(struct disp *, struct disp_req *);

/* Would disp_attempt_done() take the request back after such an end of its try?
 */
bool disp_can_retry(struct disp *, const struct disp_req *, enum disp_outcome);

/*
 * A try has ended.  True if the request was taken back to be tried again;
 * otherwise its owner answers it.
 */
bool disp_attempt_done(struct disp *, struct disp_req *, enum disp_outcome);

/*
 * When the caller of a request that was refused by backend servers may come
 * back: as above, or when they will take it, if they say that.
 */
int64_t disp_refused_retry_after(struct disp *, const struct disp_req *);

/* A held request's caller went away. */
void disp_cancel(struct disp *, struct disp_req *);

/* Time passes: deadlines of held requests, ends of ejections. */
void disp_tick(struct disp *);

/*
 * What a backend server says with an answer: requests that it works on, those
 * that wait there, and the time that work takes now in percent of the usual.
 */
void disp_load_reported(
    struct disp *, struct pick_backend *, int running, int waiting, int pace);

/* Go by what other boxes tell that backend servers said. */
void disp_apply_reports(struct disp *);

/* A backend server by its name; NULL if there is none. */
struct pick_backend *disp_find_backend(const struct disp *, struct str backend);

/*
 * What it says of itself, with an answer to a request or to a question; for a
 * question, called before disp_load_query_done().  True if that is news.
 */
/* It leaves. */
bool disp_leaving_reported(struct pick_backend *);
/* It wants no requests from us for so many ns. */
bool disp_pause_reported(struct disp *, struct pick_backend *, int64_t ns);
/*
 * It takes so many requests a second from all boxes; 0: any.  The time is that
 * of the sending of what it answers.
 */
bool disp_quota_reported(
    struct disp *, struct pick_backend *, double rate, int64_t sent);

/*
 * An answer to a question that peek() sent, or that none has come.  A pace of
 * 0 says that the backend server does not tell its load.
 */
void disp_load_query_done(struct disp *, struct str backend, bool answered,
    int running, int waiting, int pace);

/*
 * The connection for such a question stands, so something listens there.
 * Called before disp_load_query_done().
 */
void disp_load_query_connected(struct disp *, struct str backend);

/*
 * With such an answer it tells for how many ns it stays cold; 0: it is warm.
 * Called before disp_load_query_done().  True if that is news.
 */
bool disp_cold_reported(struct disp *, struct str backend, int64_t ns);

/* What probes say of a backend server. */
void
disp_probe_result(struct disp *, struct str backend, bool down, bool drain);

/* Another hall has so many slots for the service. */
void disp_set_hall_slots(struct disp *, struct str hall, int slots);

/* The region of another hall, and whether that is ours. */
void disp_set_hall_region(
    struct disp *, struct str hall, struct str region, bool near);

/* Another hall's home tells its room. */
void disp_set_hall_capacity(
    struct disp *, struct str hall, const struct disp_capacity *);

/* Free slots and requests held, for other homes. */
struct disp_capacity disp_capacity_of(const struct disp *);

unsigned disp_inflight(const struct disp *);

/* Those at servers of the version that a roll-out ends. */
unsigned disp_old_version_inflight(const struct disp *);

/* Backend servers to which something new may be sent. */
unsigned disp_usable_backends(const struct disp *);

/* Visit the backend servers, for status and explain. */
typedef void disp_backend_fn(void *, const struct pick_backend *);
void disp_foreach_backend(const struct disp *, disp_backend_fn *, void *);

#endif
