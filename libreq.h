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
#ifndef LIBREQ_H
#define LIBREQ_H

#include "libgate.h"

/* States and events of a request, as charts/request.toml has them. */
enum req_state {
	REQ_NEW,
	REQ_CLAIMING,
	REQ_HELD,
	REQ_CONNECTING,
	REQ_SENT,
	REQ_STREAMING,
	REQ_DONE,
	REQ_BROKEN,
	REQ_STATE_MAX
};

enum req_event {
	REQ_EV_CLAIM,
	REQ_EV_HOLD,
	REQ_EV_TRY,
	REQ_EV_CONNECTED,
	REQ_EV_HEAD,
	REQ_EV_RETRY,
	REQ_EV_END,
	REQ_EVENT_MAX
};

/* Gates that a request comes through before the one that must keep it. */
enum { HOPS_MAX = 2 };

extern const struct chart_names req_chart_names;

/* One request in the gate, from its arrival until h2o lets go of it. */
struct gate_req {
	struct disp_req disp;
	h2o_generator_t gen;
	struct gate *gate;
	h2o_req_t *req; /* NULL once h2o has let go of it */
	GList link; /* in gate->reqs */
	uint64_t seq;
	enum req_state state;
	int hops; /* gates it came through before us */
	int forwards; /* tries at homes, HOPS_MAX + 1 at most */
	struct str request_id; /* as its caller names it, for the log; a copy */
	bool maybe_ran; /* an earlier try may have run */
	bool response_not_run; /* the answer on its way says that it did not run
				*/
	bool has_idempotency_key;
	bool waits_for_conf; /* it waits for the first configuration */
	bool forwarded; /* by another gate */
	int64_t arrived_at;
	int64_t caller_deadline_ms; /* until its deadline, as its caller said;
				       0: unsaid */
	int64_t waited_ms; /* before it came to us, as far as is known */
	uint64_t conf_version; /* version of the routes that decided it */
	struct str rule, service; /* copies */
	struct str
	    hall; /* whose home it is with, or is on its way to; a copy */
	struct str regions; /* where it may be served; a copy */
	struct str customer; /* for whom it is made; a copy */
	/* gate_rate.c: what the customer's home is asked; 0: nothing */
	uint64_t rate_query;
	unsigned rate_owners_tried; /* homes that were asked */
	struct tmr_item rate_timer; /* their answer, or the wait it tells */
	bool allow_outage;
	struct gate_claim *claim;
	struct gate_shard *shard; /* where it is held or was sent from */
	struct gate_peer *owner; /* the home it was passed to */
	struct up_call *call;
	struct tmr_item timer; /* the deadline; later, silence */
	/* The answer on its way to the caller. */
	h2o_doublebuffer_t send_buffer;
	h2o_buffer_t
	    *unsent_body; /* what came after the connection went back */
	bool response_started, body_ended, body_cut, final_sent;
};

/*
 * What one gate tells another with a request that it passes on.  Sent as one
 * header, which is never taken from callers nor sent to backend servers.
 */
struct gate_forward {
	unsigned hops; /* gates it came through */
	bool bulk, repeatable, retried;
	bool within_retry_budget; /* its tries are within a retry budget */
	unsigned tries; /* backend servers that it was sent to */
	unsigned max_attempts; /* how many it may be sent to; 0: unsaid */
	unsigned rank;
	unsigned kind; /* requests of one kind take alike */
	int64_t target_ms; /* left until its target; 0: unsaid */
	int64_t caller_deadline_ms; /* until its deadline, as its caller said;
				       0: unsaid */
	int64_t waited_ms; /* before, of what the target leaves out already */
	struct fprint fingerprint; /* none: unsaid */
	bool suspect; /* a backend server ended under it: poison.h */
	/* Where it is to go; these point into the header. */
	struct str target_hall; /* whose slots it is to use */
	struct str regions; /* which may serve it; empty: any */
	struct str customer; /* for whom it is made; empty: unsaid */
	struct str service;
};

#define GATE_FORWARD_HEADER "fern-pass"
/* The longest such header, with its NUL. */
enum { GATE_FORWARD_MAX = 600 };

/* gate_forward.c */
bool gate_forward_read(struct str, struct gate_forward *);
size_t gate_forward_write(const struct gate_forward *, char *, size_t);

/* gate_req.c */
void gate_req_event(struct gate_req *, enum req_event);
void gate_req_route(struct gate_req *);
void gate_req_set_hall(struct gate_req *, struct str);
void gate_req_set_deadline(struct gate_req *);
void gate_req_settle_claim(struct gate_req *, bool not_run);
enum err_ran gate_req_ran(const struct gate_req *);

/* gate_admit.c: what holds for a request, by its rule or the gate before. */
void gate_admit(struct gate_req *);
/* At its home: how long has its caller waited before? */
void gate_admit_set_waited(struct gate_req *);

/*
 * gate_rate.c: may the request's customer make it now?  Goes on with
 * gate_admit_continue() once it may, or answers it.
 */
void gate_rate_query(struct gate_req *);
void gate_rate_cancel(struct gate_req *);

/* gate_admit.c: what is left once the customer's rate is kept. */
void gate_admit_continue(struct gate_req *);

/* gate_early.c: requests that wait for the first configuration. */
void gate_early_wait(struct gate_req *);

/* gate_respond.c: our own answer; retry_after in ns, 0: the kind's own. */
void gate_respond(
    struct gate_req *, enum err_kind, enum err_ran, int64_t retry_after);

/* gate_flow.c: the request's way to the other side, and the answer's back. */
void gate_flow_send(struct gate_req *, struct str address, bool fresh);
void gate_flow_stop(struct gate_req *);
void gate_flow_dispose(struct gate_req *);
void gate_flow_proceed(h2o_generator_t *, h2o_req_t *);

/* What the flow tells of a try; gate_try.c decides what follows. */
void gate_try_failed(struct gate_req *, enum err_kind);
/* True if the head is to be dropped, as the request is tried again. */
bool gate_try_head(struct gate_req *, int status, const h2o_header_t *, size_t);
void gate_try_end(struct gate_req *);
/* The try is over without an answer: the caller or the deadline ended it. */
void gate_try_abandon(struct gate_req *, enum disp_outcome);
void gate_try_owner(struct gate_req *);

/* gate_word.c: what the backend server says of itself with an answer. */
void gate_report_from_answer(
    struct gate_req *, int status, const h2o_header_t *, size_t);

#endif
