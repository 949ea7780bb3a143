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
#include <stdio.h>
#include <strings.h>

#include "libreq.h"
#include "slog.h"

/*
 * Sends a request to a backend server or another gate, and its response to the
 * caller.
 */

enum {
	/* Largest part of a response body that is buffered, in bytes. */
	BODY_BUFFER_MAX = 256 * 1024,
	ADDED_HEADERS_MAX = 5,
	DEADLINE_MARGIN_MS = 5 /* see request_headers() */
};

static void on_connected(void *, struct up_call *);
static void
on_head(void *, struct up_call *, int, const h2o_header_t *, size_t);
static void on_body(void *, struct up_call *);
static void on_end(void *, struct up_call *);
static void on_fail(void *, struct up_call *, enum err_kind);
static void on_stop(h2o_generator_t *, h2o_req_t *);
static void send_more(struct gate_req *);

static const struct up_ops flow_ops = {
    on_connected, on_head, on_body, on_end, on_fail};

static bool
names_match(const h2o_iovec_t *name, struct str other)
{
	return name->len == other.n &&
	    strncasecmp(name->base, other.p, other.n) == 0;
}

/*
 * Returns whether a header belongs to one connection only, or is written by the
 * gate itself.
 */
static bool
is_hop_by_hop_header(const h2o_iovec_t *name, const struct dialect *dialect)
{
	static const char *const names[] = {"connection", "keep-alive", "te",
	    "trailer", "transfer-encoding", "upgrade", "content-length", "host",
	    "proxy-connection", "http2-settings", "date", "server", "expect",
	    "fern-retried", GATE_FORWARD_HEADER, GATE_NEXT_HEADER};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		if (names_match(name, str_c(names[i])))
			return true;
	return names_match(name, dialect->deadline) ||
	    (dialect->instance.n > 0 && names_match(name, dialect->instance)) ||
	    (dialect->customer_key.n > 0 &&
		names_match(name, dialect->customer_key)) ||
	    (dialect->customer.n > 0 && names_match(name, dialect->customer));
}

/* Headers that the gate adds, with the buffers that they point to. */
struct added_headers {
	h2o_iovec_t names[ADDED_HEADERS_MAX];
	char deadline[24];
	char forward[GATE_FORWARD_MAX];
};

static h2o_header_t
added_header(struct added_headers *added, size_t index, struct str name,
    struct str value)
{
	added->names[index] = h2o_iovec_init(name.p, name.n);
	return (h2o_header_t){.name = &added->names[index],
	    .value = h2o_iovec_init(value.p, value.n)};
}

static struct str
forward_text(const struct gate_req *r, struct added_headers *added, int64_t now)
{
	struct gate_forward forward = {
	    /*
	     * A deputy dispatches the request itself: it must not forward it
	     * to the owner, nor to a deputy of its own.
	     */
	    .hops = r->at_deputy ? HOPS_MAX : (unsigned)r->hops + 1,
	    .bulk = r->disp.cls == CLASS_BULK,
	    .repeatable = r->disp.repeatable,
	    .is_retry = r->disp.is_retry,
	    .maybe_ran = r->maybe_ran,
	    .within_retry_budget = r->disp.budget_charged,
	    .caller_deadline_ms = r->caller_deadline_ms,
	    .waited_ms = r->waited_ms,
	    .attempts = (unsigned)r->disp.attempt_count,
	    .max_attempts = (unsigned)r->disp.max_attempts,
	    .rank = (unsigned)r->disp.rank,
	    .kind = r->disp.kind,
	    .fingerprint = r->disp.fingerprint,
	    .suspect = poison_status_of(r->gate->poison, r->disp.fingerprint) ==
		POISON_SUSPECT,
	    .target_hall = r->hall,
	    .regions = r->regions,
	    .customer = r->customer,
	    .service = r->service,
	};

	if (r->disp.target != 0)
		forward.target_ms = MAX((r->disp.target - now) / NS_MS, 1);
	return str_n(added->forward,
	    gate_forward_write(
		&forward, added->forward, sizeof(added->forward)));
}

/* Returns the name of the backend server that the request is sent to. */
static struct str
server_name(const struct gate_req *r)
{
	return r->disp.backend != NULL ? r->disp.backend->name
				       : r->assigned_server;
}

/*
 * Writes the headers of a request, at most ADDED_HEADERS_MAX more than it came
 * with, and returns their number.  The gate or
 * backend server that it is sent to gets a deadline that is a little earlier,
 * so that its response arrives before this gate's deadline.
 */
static size_t
request_headers(
    struct gate_req *r, h2o_header_t *out, struct added_headers *added)
{
	const struct dialect *dialect = r->gate->dialect;
	const h2o_headers_t *in = &r->req->headers;
	int64_t now = clk_ns(r->gate->clk);
	int64_t left_ms = (r->disp.deadline - now) / NS_MS - DEADLINE_MARGIN_MS;
	struct str forward;
	size_t i, n = 0;

	for (i = 0; i < in->size; i++)
		if (!is_hop_by_hop_header(in->entries[i].name, dialect))
			out[n++] = in->entries[i];
	snprintf(added->deadline, sizeof(added->deadline), "%lld",
	    (long long)MAX(left_ms, 1));
	out[n] =
	    added_header(added, 0, dialect->deadline, str_c(added->deadline));
	n++;
	if (r->owner != NULL) {
		forward = forward_text(r, added, now);
		out[n] = added_header(
		    added, 1, STR_LIT(GATE_FORWARD_HEADER), forward);
		n++;
		out[n] = added_header(added, 2, STR_LIT(GATE_NEXT_HEADER),
		    r->forwards > HOPS_MAX ? STR_LIT(GATE_NEXT_LAST)
					   : STR_LIT(GATE_NEXT_ANY));
		n++;
		return n;
	}
	if (dialect->retried.n > 0 && (r->maybe_ran || r->disp.is_retry)) {
		out[n] =
		    added_header(added, 2, dialect->retried, STR_LIT("yes"));
		n++;
	}
	if (dialect->instance.n > 0) {
		out[n] =
		    added_header(added, 3, dialect->instance, server_name(r));
		n++;
	}
	if (dialect->customer.n > 0 && r->customer.n > 0) {
		out[n] = added_header(added, 4, dialect->customer, r->customer);
		n++;
	}
	return n;
}

void
gate_flow_send(struct gate_req *r, struct str address, bool new_connection)
{
	h2o_req_t *req = r->req;
	h2o_header_t *headers =
	    g_new(h2o_header_t, req->headers.size + ADDED_HEADERS_MAX);
	struct added_headers added;
	struct up_request up_req = {
	    .address = address,
	    .method = str_n(req->method.base, req->method.len),
	    .path = str_n(req->path.base, req->path.len),
	    .host = str_n(req->authority.base, req->authority.len),
	    .headers = headers,
	    .body = str_n(req->entity.base, req->entity.len),
	    .new_connection = new_connection,
	};

	up_req.nheaders = request_headers(r, headers, &added);
	gate_req_event(r, REQ_EV_TRY);
	r->call = up_start(r->gate->up, &up_req, &flow_ops, r);
	g_free(headers);
}

void
gate_flow_stop(struct gate_req *r)
{
	struct up_call *call = r->call;

	r->call = NULL;
	if (call != NULL)
		up_cancel(call);
}

void
gate_flow_dispose(struct gate_req *r)
{
	gate_flow_stop(r);
	gate_kept_end(r);
	h2o_doublebuffer_dispose(&r->send_buffer);
	h2o_buffer_dispose(&r->unsent_body);
}

struct gate_flow_wait
gate_flow_wait(const struct gate_req *r)
{
	int64_t now = clk_ns(r->gate->clk);
	struct gate_flow_wait wait;
	size_t unsent = r->send_buffer.bytes_inflight +
	    (r->call == NULL ? r->unsent_body : *up_body(r->call))->size;

	snprintf(wait.text, sizeof(wait.text),
	    "left_ms=%lld silent_ms=%lld unsent=%zu",
	    (long long)((r->disp.deadline - now) / NS_MS),
	    r->response_started ? (long long)((now - r->last_part_at) / NS_MS)
				: -1LL,
	    unsent);
	return wait;
}

static void
on_connected(void *ctx, struct up_call *call)
{
	(void)call;
	gate_req_event(ctx, REQ_EV_CONNECTED);
}

static void
copy_response_headers(struct gate_req *r, const h2o_header_t *headers, size_t n)
{
	h2o_req_t *req = r->req;
	unsigned long long len;
	h2o_iovec_t name, value;
	size_t i;

	req->res.content_length = SIZE_MAX;
	for (i = 0; i < n; i++) {
		name = *headers[i].name;
		value = headers[i].value;
		/* A 204 must not state a length, as no body is ever meant. */
		if (req->res.status != 204 &&
		    h2o_lcstris(
			name.base, name.len, H2O_STRLIT("content-length")) &&
		    str_u64(str_n(value.base, value.len), &len))
			req->res.content_length = (size_t)len;
		if (is_hop_by_hop_header(&name, r->gate->dialect))
			continue;
		name = h2o_strdup(&req->pool, name.base, name.len);
		value = h2o_strdup(&req->pool, value.base, value.len);
		h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
		    name.len, 1, NULL, value.base, value.len);
	}
}

/*
 * Returns whether a response belongs to this request.  In dialects with request
 * ids a response repeats the id, which only those with a status of 300 or more
 * may omit.  One with another id is a late response to an earlier request.
 */
static bool
is_own_response(
    const struct gate_req *r, int status, const h2o_header_t *headers, size_t n)
{
	const struct dialect *dialect = r->gate->dialect;
	struct str id;

	if (dialect->request_id.n == 0 || r->request_id.n == 0)
		return true;
	id = dial_find_header(headers, n, dialect->request_id);
	if (id.n == 0)
		return status >= 300;
	return str_eq(id, r->request_id);
}

static void
log_early_response(
    const struct gate_req *r, const struct up_call *call, int status)
{
	struct str to = r->owner != NULL ? r->owner->info.box : server_name(r);

	if (up_unsent(call) == 0)
		return;
	slog_decision(SLOG_GATE, "answered before all of the request was sent",
	    "id=%.*s to=%.*s status=%d unsent=%zu", STR_ARG(r->request_id),
	    STR_ARG(to), status, up_unsent(call));
}

static void
on_head(void *ctx, struct up_call *call, int status,
    const h2o_header_t *headers, size_t n)
{
	struct gate_req *r = ctx;
	h2o_req_t *req = r->req;
	struct gate *g = r->gate;

	if (gate_kept_head(r, call, status, headers, n)) {
		up_drain(call);
		return;
	}
	if (r->owner == NULL && !is_own_response(r, status, headers, n)) {
		gate_flow_stop(r);
		on_fail(r, NULL, ERR_CUT);
		return;
	}
	log_early_response(r, call, status);
	/*
	 * The call is cleared before gate_attempt_head(), as that may send the
	 * request again at once.
	 */
	r->call = NULL;
	if (r->state == REQ_SENT && gate_attempt_head(r, status, headers, n)) {
		up_drain(call);
		return;
	}
	r->call = call;
	gate_kept_end(r);
	gate_req_event(r, REQ_EV_HEAD);
	cnt_sample(g->cnt, GC_LATENCY, clk_ns(g->clk) - r->arrived_at);
	req->res.status = status;
	req->res.reason = status < 400 ? "OK" : "Error";
	copy_response_headers(r, headers, n);
	r->generator.proceed = gate_flow_proceed;
	r->generator.stop = on_stop;
	r->response_started = true;
	r->last_part_at = clk_ns(g->clk);
	r->disp.can_retry = false;
}

/* Returns whether the target is met; without a target it always is. */
static bool
meets_target(const struct gate_req *r)
{
	return r->disp.target == 0 || clk_ns(r->gate->clk) <= r->disp.target;
}

/* The end of the response is being sent, be it whole or cut. */
static void
end_response(struct gate_req *r)
{
	r->final_sent = true;
	gate_req_event(r, REQ_EV_END);
	gate_req_settle_claim(r, r->response_not_run && !r->body_cut);
	cnt_add(r->gate->cnt,
	    r->body_cut ? GC_RESPONSES_CUT : GC_RESPONSES_COMPLETE, 1);
	gate_stat_answered(r, meets_target(r));
	slog_decision(SLOG_ROUTE, "answered",
	    "id=%.*s service=%.*s status=%d whole=%d in_time=%d "
	    "ms=%lld tries=%d",
	    STR_ARG(r->request_id), STR_ARG(r->service), r->req->res.status,
	    !r->body_cut, meets_target(r),
	    (long long)((clk_ns(r->gate->clk) - r->arrived_at) / NS_MS),
	    r->disp.attempt_count);
	tmr_clear(&r->gate->tmr, &r->timer);
}

/*
 * Sends the caller the body received so far, and the end of the response once
 * that is reached.
 */
static void
send_more(struct gate_req *r)
{
	h2o_buffer_t **src =
	    r->call == NULL ? &r->unsent_body : up_body(r->call);
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	h2o_iovec_t vec;

	if (r->req == NULL || r->final_sent ||
	    r->send_buffer.bytes_inflight > 0)
		return;
	vec = h2o_doublebuffer_prepare(
	    &r->send_buffer, src, r->req->preferred_chunk_size);
	if (r->body_ended &&
	    r->send_buffer.buf->size == r->send_buffer.bytes_inflight &&
	    (*src)->size == 0) {
		state =
		    r->body_cut ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
		end_response(r);
	}
	if (vec.len == 0 && !r->final_sent)
		return;
	if (!r->head_sent)
		h2o_start_response(r->req, &r->generator);
	r->head_sent = true;
	h2o_send(r->req, &vec, vec.len > 0, state);
}

static size_t
size_of(const h2o_buffer_t *buf)
{
	return buf->bytes != NULL ? buf->capacity : 0;
}

/* Counts what the request holds of its response for its connection. */
static void
count_held(struct gate_req *r)
{
	size_t n = size_of(r->send_buffer.buf) + size_of(r->unsent_body);

	if (r->req == NULL)
		return;
	if (r->call != NULL)
		n += size_of(*up_body(r->call));
	hsrv_set_held(gate_req_server(r), r->req, &r->held, n);
}

void
gate_flow_proceed(h2o_generator_t *gen, h2o_req_t *req)
{
	struct gate_req *r = (struct gate_req *)((char *)gen -
	    offsetof(struct gate_req, generator));

	(void)req;
	if (r->send_buffer.bytes_inflight > 0)
		h2o_doublebuffer_consume(&r->send_buffer);
	count_held(r);
	if (r->call != NULL && (*up_body(r->call))->size < BODY_BUFFER_MAX / 2)
		up_resume(r->call);
	send_more(r);
}

/* h2o aborts the response; on_dispose() follows. */
static void
on_stop(h2o_generator_t *gen, h2o_req_t *req)
{
	struct gate_req *r = (struct gate_req *)((char *)gen -
	    offsetof(struct gate_req, generator));

	(void)req;
	gate_attempt_abandon(r, DISP_CANCELED);
}

static void
on_body(void *ctx, struct up_call *call)
{
	struct gate_req *r = ctx;

	r->last_part_at = clk_ns(r->gate->clk);
	send_more(r);
	count_held(r);
	if (r->call == call && (*up_body(call))->size >= BODY_BUFFER_MAX) {
		r->caller_is_slow = true;
		up_pause(call);
	}
}

static void
detach_body(struct gate_req *r, struct up_call *call)
{
	h2o_buffer_t **body = up_body(call), *spare = r->unsent_body;

	r->unsent_body = *body;
	*body = spare;
	r->call = NULL;
	r->body_ended = true;
}

/*
 * The response is whole.  The deadline does not end it any more: what the
 * caller has not read of it yet is delivered, even if late.
 */
static void
on_end(void *ctx, struct up_call *call)
{
	struct gate_req *r = ctx;

	tmr_clear(&r->gate->tmr, &r->timer);
	detach_body(r, call);
	count_held(r);
	gate_attempt_done(r);
	send_more(r);
}

/*
 * Ends a response of which the caller has received nothing with an error
 * response, and returns true; returns false for others.
 */
static bool
respond_instead(struct gate_req *r, enum err_kind kind)
{
	h2o_req_t *req = r->req;

	if (r->head_sent || r->unsent_body->size > 0)
		return false;
	req->res.headers = (h2o_headers_t){0};
	gate_respond(r, kind, RAN_UNKNOWN, 0);
	return true;
}

static void
cut(struct gate_req *r, enum err_kind kind)
{
	slog_decision(SLOG_GATE, "answer was cut",
	    "id=%.*s why=%s %s rule=%.*s conf=%llu %s%s",
	    STR_ARG(r->request_id), err_lookup(kind)->name,
	    gate_flow_wait(r).text, STR_ARG(r->rule),
	    (unsigned long long)r->conf_version, gate_admit_limit(r).text,
	    gate_box_arrival(r).text);
	r->body_ended = true;
	r->body_cut = true;
}

static void
on_fail(void *ctx, struct up_call *call, enum err_kind kind)
{
	struct gate_req *r = ctx;

	if (gate_kept_failed(r, call))
		return;
	r->call = NULL;
	if (!r->response_started) {
		gate_attempt_failed(r, kind);
		return;
	}
	if (call != NULL)
		detach_body(r, call);
	cut(r, kind);
	gate_attempt_failed(r, kind);
	if (!respond_instead(r, kind))
		send_more(r);
}

void
gate_flow_expire(struct gate_req *r)
{
	if (!r->body_cut)
		cut(r, ERR_DEADLINE);
	/* What its caller held up speaks against no backend server. */
	gate_attempt_abandon(
	    r, r->caller_is_slow ? DISP_CANCELED : DISP_TIMED_OUT);
	if (respond_instead(r, ERR_DEADLINE))
		return;
	/* A caller that does not read would keep back the end. */
	if (r->send_buffer.bytes_inflight > 0 && hsrv_cut(r->req))
		end_response(r);
	else
		send_more(r);
}
