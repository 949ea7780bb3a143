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

/* States and events of a request, in the order of charts/request.toml. */
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

/* Where the time limit of a request comes from. */
enum limit_source {
	LIMIT_NONE, /* it was not admitted */
	LIMIT_RULE,
	LIMIT_DEFAULT, /* of the service */
	LIMIT_CALLER,
	LIMIT_GATE, /* the gate that forwarded it */
	LIMIT_SOURCE_MAX
};

/*
 * Largest number of gates that forward a request; the next one dispatches it
 * itself.
 */
enum { HOPS_MAX = 2 };

extern const struct chart_names req_chart_names;

/* A request in the gate, from its arrival until h2o disposes of it. */
struct gate_req {
	struct disp_req disp;
	h2o_generator_t generator;
	struct gate *gate;
	h2o_req_t *req; /* NULL once h2o has disposed of it */
	GList link; /* in gate->reqs */
	uint64_t seq;
	enum req_state state;
	int hops; /* gates that forwarded it before this one */
	/* Times that it was forwarded to an owner, HOPS_MAX + 1 at most. */
	int forwards;
	/* From its caller, or else a number; a copy, for the log. */
	struct str request_id;
	bool maybe_ran; /* an earlier attempt may have run */
	int stopped; /* attempts that this gate stopped */
	/* The response being sent says that the request did not run. */
	bool response_not_run;
	bool has_idempotency_key;
	bool waits_for_conf; /* waits for the first configuration */
	bool forwarded; /* it came from another gate */
	bool takes_next; /* that gate understands GATE_NEXT_HEADER */
	bool is_last_owner; /* that gate will ask no other owner */
	int64_t arrived_at;
	unsigned ahead; /* hsrv_count_ahead() when it arrived */
	/* Time limit that its caller gave; 0: none. */
	int64_t caller_deadline_ms;
	int64_t limit_ms; /* that applies, from arrived_at; 0: none yet */
	enum limit_source limit_from;
	/*
	 * Time that its caller had waited before, as far as is known; 0: none.
	 */
	int64_t waited_ms;
	/* Version of the routes that it was admitted by. */
	uint64_t conf_version;
	struct str rule, service; /* copies */
	struct str hall; /* hall of the shard that it is assigned to; a copy */
	struct str regions; /* regions that may serve it; a copy */
	struct str customer; /* customer that it is made for; a copy */
	/* gate_rate.c: number of the rate query in flight; 0: none */
	uint64_t rate_query;
	unsigned rate_owners_tried; /* owners that were queried */
	struct str rate_owner; /* inbox of the one queried last; a copy */
	int64_t rate_queried_at; /* monotonic ns */
	/* A grant was received, and was not given back. */
	bool rate_granted;
	/* Timeout of the query, or the wait that was granted. */
	struct tmr_item rate_timer;
	bool allow_outage;
	struct gate_claim *claim;
	struct gate_shard *shard; /* where it is queued or was sent from */
	/* Owner that it was forwarded to; NULL: none. */
	struct gate_peer *owner;
	/*
	 * The attempt at an owner that answers no ping, beside the current one;
	 * NULL: none.
	 */
	struct up_call *kept_call;
	struct gate_peer *kept_owner;
	bool was_kept; /* `call` is such an attempt, as no other was possible */
	bool at_deputy; /* `owner` is the deputy of `shard`, see deputy.h */
	/*
	 * Backend server that an owner has assigned and this gate sends it to,
	 * if it has neither an owner nor a backend; a copy.
	 */
	struct str assigned_server;
	struct str lease_inbox; /* of that owner; a copy, empty if it ended */
	uint64_t lease;
	struct up_call *call;
	/* The deadline; cleared once the response is complete here. */
	struct tmr_item timer;
	/* The response being sent to the caller. */
	h2o_doublebuffer_t send_buffer;
	/* Body left to send after the upstream call has ended. */
	h2o_buffer_t *unsent_body;
	/* The head of a response was received, and was sent. */
	bool response_started, head_sent;
	bool body_ended, body_cut, final_sent;
	size_t held; /* bytes of its buffers; see hsrv_set_held() */
	/* Reading was paused once, as the caller had not taken enough of it. */
	bool caller_is_slow;
	int64_t last_part_at; /* when a part of it arrived, monotonic ns */
};

/*
 * Data that one gate sends to another with a request that it forwards.  It is
 * sent as one header, which is never accepted from callers nor sent to backend
 * servers.
 */
struct gate_forward {
	unsigned hops; /* gates that have forwarded it, the sender included */
	bool bulk, repeatable;
	bool is_retry; /* the caller or a gate has sent it before */
	bool maybe_ran; /* an earlier attempt of a gate may have run */
	/* Its attempts so far are within a retry budget. */
	bool within_retry_budget;
	unsigned attempts; /* backend servers that it was sent to */
	unsigned max_attempts; /* how many it may be sent to; 0: the default */
	unsigned rank;
	unsigned kind; /* requests of one kind take about the same time */
	int64_t target_ms; /* time left until its target; 0: none */
	/* Time limit that its caller gave; 0: none. */
	int64_t caller_deadline_ms;
	/*
	 * Time its caller had waited before, already subtracted from target_ms.
	 */
	int64_t waited_ms;
	struct fprint fingerprint; /* all zero: unknown */
	/* A backend server crashed while running it, see poison.h. */
	bool suspect;
	/* Where it is to go.  These strings point into the header. */
	struct str target_hall; /* hall whose slots it is to use */
	struct str regions; /* regions that may serve it; empty: any */
	struct str customer; /* customer that it is made for; empty: unknown */
	struct str service;
};

#define GATE_FORWARD_HEADER "fern-pass"
/*
 * Longest such header in bytes, with its NUL: the numbers, three names of the
 * greatest length, and a list of ten such regions.
 */
enum { GATE_FORWARD_MAX = 2048 };

/*
 * gate_forward.c: reads and writes the header of a forwarded request.  Reading
 * returns false if it is malformed; writing returns its length.
 */
bool gate_forward_read(struct str, struct gate_forward *);
size_t gate_forward_write(const struct gate_forward *, char *, size_t);

/*
 * Where another gate is to send a request that it has forwarded to an owner
 * that leaves: to a backend server, or to another owner.  It is sent as a
 * header of the response, to gates whose request has that header with any
 * value.
 */
struct gate_next {
	bool to_server; /* else to an owner */
	bool within_retry_budget; /* see struct gate_forward */
	unsigned attempts; /* backend servers it was sent to, this one too */
	/* Number to report the end of the attempt at a backend server with. */
	uint64_t lease;
	/* These strings point into the header. */
	struct str name; /* of the backend server or the owner's box */
	struct str address;
	struct str inbox; /* of the gate that has the lease, or of the owner */
	/* Of an owner: its hall and the shard's hall. */
	struct str hall, target_hall;
	uint64_t started_ms; /* of an owner: start of its box */
};

#define GATE_NEXT_HEADER "fern-next"
/* Values of that header in a request. */
#define GATE_NEXT_ANY "any"
#define GATE_NEXT_LAST "server" /* no further owner will be asked */

/*
 * gate_forward.c: reads and writes that header.  Reading returns false if it is
 * malformed; writing returns its length.
 */
bool gate_next_read(struct str, struct gate_next *);
size_t gate_next_write(const struct gate_next *, char *, size_t);

/* gate_next.c: requests that may outlast the owner of their shard. */
/*
 * Returns whether the gate that forwarded the request is to send it itself,
 * instead of this one.
 */
bool gate_next_is_due(const struct gate_req *);
/* At the owner: tells that gate where to send it. */
void gate_next_assign_server(struct gate_req *, const struct pick_backend *);
void gate_next_name_owner(
    struct gate_req *, struct str target_hall, const struct gate_peer *);
/*
 * At the gate that forwarded the request: sends it where its owner says.
 * Returns false if the owner's response does not say that.
 */
bool gate_next_take(struct gate_req *, const h2o_header_t *, size_t);
/* Reports to the owner that the attempt it assigned has ended, if any. */
void gate_next_end(struct gate_req *, enum disp_outcome);
/* The same as gate_attempt_head() and gate_attempt_failed() for it. */
bool gate_next_head(struct gate_req *, enum disp_outcome);
void gate_next_failed(struct gate_req *, enum err_kind);

/* gate_req.c: steps of a request's life cycle. */
/* Moves the state by charts/request.toml. */
void gate_req_event(struct gate_req *, enum req_event);
/* Sends the request to the owner of its shard. */
void gate_req_route(struct gate_req *);
void gate_req_set_hall(struct gate_req *, struct str);
void gate_req_set_deadline(struct gate_req *);
/* Ends the claim and the customer's grant of the request, if it has one. */
void gate_req_settle_claim(struct gate_req *, bool not_run);
/* Returns whether the request may have run, for an error response. */
enum err_ran gate_req_ran(const struct gate_req *);
/* Returns the server that a request came to. */
struct hsrv *gate_req_server(const struct gate_req *);

/*
 * gate_admit.c: applies the rule of a request, or what the forwarding gate
 * found.
 */
void gate_admit(struct gate_req *);
/* At the owner: finds out how long the caller has waited before. */
void gate_admit_set_waited(struct gate_req *);
/* The response of a backend server is complete. */
void gate_admit_answered(const struct gate_req *);

/*
 * gate_rate.c: applies the rate limit of the request's customer.  Goes on with
 * gate_admit_continue() once a token is granted, or answers the request with an
 * error.
 */
void gate_rate_query(struct gate_req *);
/* Cancels the rate query in flight, if there is one. */
void gate_rate_cancel(struct gate_req *);
/* The request did not and will not run: gives its grant back. */
void gate_rate_give_back(struct gate_req *);
void gate_rate_dispose(struct gate_req *);

/* gate_admit.c: the steps after the customer's rate limit. */
void gate_admit_continue(struct gate_req *);

/* gate_early.c: queues a request until the first configuration. */
void gate_early_wait(struct gate_req *);

/* gate_admit.c: describes for the log the time limit of a request. */
struct gate_limit_text {
	char text[64];
};
struct gate_limit_text gate_admit_limit(const struct gate_req *);

/*
 * gate_box.c: log fields that say when the handling of a request began: in ms
 * after the stop signal, negative if before it, and behind how many requests of
 * its connection.  Empty if the gate is not leaving.
 */
struct gate_arrival_text {
	char text[56];
};
struct gate_arrival_text gate_box_arrival(const struct gate_req *);

/*
 * gate_answer.c: ends a request with an error response.  retry_after is in ns;
 * 0: the default of the error kind.
 */
void gate_respond(
    struct gate_req *, enum err_kind, enum err_ran, int64_t retry_after);

/*
 * gate_stat_shards.c: counts a request of a customer that ends here, with an
 * error response of this gate, with the response of a backend server or another
 * gate, or without a response.
 */
void gate_stat_refused(const struct gate_req *, enum err_kind, enum err_ran);
void gate_stat_answered(const struct gate_req *, bool in_time);
void gate_stat_abandoned(const struct gate_req *);

/* gate_flow.c: sends the request upstream, and its response to the caller. */
void gate_flow_send(struct gate_req *, struct str address, bool new_connection);
/* Cancels the attempt under way. */
void gate_flow_stop(struct gate_req *);
/*
 * Ends a response that has begun and is not complete at the deadline, by
 * closing the caller's connection.
 */
void gate_flow_expire(struct gate_req *);
/* Frees what the flow of a request holds. */
void gate_flow_dispose(struct gate_req *);
/*
 * Describes for the log what a request waits for: the time left, how long the
 * other side has sent nothing of its response (-1: it has not begun), and how
 * many bytes of it the caller has not taken.
 */
struct gate_flow_wait {
	char text[96];
};
struct gate_flow_wait gate_flow_wait(const struct gate_req *);
/* h2o has sent the last part of the response. */
void gate_flow_proceed(h2o_generator_t *, h2o_req_t *);

/* The flow reports how an attempt goes; gate_try.c decides what follows. */
void gate_attempt_failed(struct gate_req *, enum err_kind);
/* Returns whether the head is to be dropped, as the request is retried. */
bool
gate_attempt_head(struct gate_req *, int status, const h2o_header_t *, size_t);
/* The response is complete. */
void gate_attempt_done(struct gate_req *);
/*
 * The attempt ended without a response: the caller is gone or the deadline
 * passed.
 */
void gate_attempt_abandon(struct gate_req *, enum disp_outcome);
/* The same for the current attempt only, see gate_kept_begin(). */
void gate_attempt_stop(struct gate_req *, enum disp_outcome);
/* Forwards the request to its owner. */
void gate_attempt_forward(struct gate_req *);
/* The request is not at the owner that it was forwarded to any more. */
void gate_attempt_leave_owner(struct gate_req *);
/* Routes the request again after an attempt; always returns true. */
bool gate_attempt_route_again(struct gate_req *);

/* gate_kept.c: attempts at owners that answer no ping. */
/* Keeps the current attempt; the request is routed again meanwhile. */
void gate_kept_begin(struct gate_req *);
/* Cancels the kept attempt, if there is one. */
void gate_kept_end(struct gate_req *);
/*
 * The attempt beside the kept one has ended without the response of a backend
 * server: makes the kept one the current one.  Returns false if there is none.
 */
bool gate_kept_resume(struct gate_req *);
/*
 * A call has received the head of its response.  If it is the kept one, either
 * the current attempt is stopped and that call takes its place, or it is
 * dropped and true is returned, as the response is an error of its owner.
 */
bool gate_kept_head(struct gate_req *, const struct up_call *, int status,
    const h2o_header_t *, size_t);
/* A call has failed.  Returns whether it was the kept one. */
bool gate_kept_failed(struct gate_req *, const struct up_call *);

/*
 * gate_deputy.c: a response to a request that this gate has forwarded to a
 * deputy: its error, or ERR_NONE if it is that of a backend server.  Has no
 * effect on other requests.
 */
void gate_deputy_responded(const struct gate_req *, enum err_kind);

/* gate_report.c: what the backend server reports about itself in a response. */
void gate_report_from_response(
    struct gate_req *, int status, const h2o_header_t *, size_t);

#endif
