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

#include "duration.h"
#include "libreq.h"

/*
 * Admission of a request: finds its rule and service, its deadline and its
 * target, applies the rate limits that it counts against, and starts the claim
 * that it needs.
 */

/*
 * Shortest deadline that is applied.  A gate that forwards a request shortens
 * its deadline a little, which may leave nothing of it.
 */
enum { DEADLINE_MIN_MS = 1 };

static struct str
query_header(void *ctx, struct str name)
{
	const h2o_req_t *req = ctx;
	ssize_t at =
	    h2o_find_header_by_str(&req->headers, name.p, name.n, SIZE_MAX);

	if (at < 0)
		return str_c(NULL);
	return str_n(req->headers.entries[at].value.base,
	    req->headers.entries[at].value.len);
}

static const struct route_rule *
match_rule(struct gate *g, const h2o_req_t *req)
{
	struct route_query q = {
	    .host = str_n(req->input.authority.base, req->input.authority.len),
	    .method = str_n(req->input.method.base, req->input.method.len),
	    .path = str_n(req->input.path.base, req->input.path.len),
	    .header = query_header,
	    .ctx = (void *)req,
	};
	const char *port = memrchr(q.host.p, ':', q.host.n);

	if (port != NULL)
		q.host.n = (size_t)(port - q.host.p);
	return route_match(g->routes, &q);
}

static const char *const limit_names[LIMIT_SOURCE_MAX] = {
    "none", "rule", "default", "caller", "gate"};

struct gate_limit_text
gate_admit_limit(const struct gate_req *r)
{
	struct gate_limit_text limit;

	snprintf(limit.text, sizeof(limit.text), "limit_ms=%lld limit_from=%s",
	    (long long)r->limit_ms, limit_names[r->limit_from]);
	return limit;
}

static void
set_limit(struct gate_req *r, int64_t limit_ms, enum limit_source from)
{
	r->limit_ms = MAX(limit_ms, DEADLINE_MIN_MS);
	r->limit_from = from;
	r->disp.deadline = r->arrived_at + r->limit_ms * NS_MS;
	gate_req_set_deadline(r);
}

/*
 * The limit is that of the rule or else the service, or the caller's own where
 * that is shorter.
 */
static void
set_limit_by_rule(struct gate_req *r, const struct route_rule *rule,
    const struct route_service *service)
{
	int64_t limit_ms = rule->obj->deadline_ms;
	enum limit_source from = LIMIT_RULE;
	unsigned long long caller_ms;

	if (limit_ms == 0) {
		limit_ms = service->obj->deadline_ms;
		from = LIMIT_DEFAULT;
	}
	if (str_u64(hsrv_header(r->req, r->gate->dialect->deadline.p),
		&caller_ms) &&
	    caller_ms < (unsigned long long)limit_ms) {
		limit_ms = (int64_t)caller_ms;
		from = LIMIT_CALLER;
	}
	set_limit(r, limit_ms, from);
}

/*
 * The gate that forwarded the request has applied the rule, which may allow
 * more time than the service's default here.
 */
static void
set_limit_by_gate(struct gate_req *r, const struct route_service *service)
{
	unsigned long long left_ms;

	if (str_u64(
		hsrv_header(r->req, r->gate->dialect->deadline.p), &left_ms) &&
	    left_ms <= OBJ_DEADLINE_MAX_MS)
		set_limit(r, (int64_t)left_ms, LIMIT_GATE);
	else
		set_limit(r, service->obj->deadline_ms, LIMIT_DEFAULT);
}

/*
 * Returns the gate that owns the shard by now if this gate is leaving and that
 * one is not, else NULL.  What is sent on from here would be cut when this gate
 * exits, so that the gate that forwarded it is to route it itself.
 */
static struct gate_peer *
handed_over_to(const struct gate_req *r)
{
	struct gate *g = r->gate;
	struct gate_peer *p;
	bool self;

	if (!gate_box_leaving(g) ||
	    gate_handover_is_holding(g, r->service, r->hall))
		return NULL;
	p = gate_owner_in_regions(g, r->service, r->hall, r->regions, &self);
	return self || p->info.leaving ? NULL : p;
}

/*
 * Admits a request that another gate forwarded.  That gate has applied the
 * rule, so that both gates agree even while their configurations differ.
 */
static void
admit_forwarded(struct gate_req *r)
{
	struct gate *g = r->gate;
	struct gate_forward forward;
	const struct route_service *service;
	const struct gate_peer *next;
	struct str takes;

	if (!gate_forward_read(
		hsrv_header(r->req, GATE_FORWARD_HEADER), &forward)) {
		gate_respond(r, ERR_BAD_REQUEST, RAN_NO, 0);
		return;
	}
	service = route_service(g->routes, forward.service);
	if (service == NULL) {
		gate_respond(r, ERR_NO_SERVICE, RAN_NO, 0);
		return;
	}
	r->hops = (int)MIN(forward.hops, HOPS_MAX);
	r->service = str_dup(service->name);
	r->hall = str_dup(forward.target_hall);
	r->regions = r->disp.allowed_regions = str_dup(forward.regions);
	r->customer = r->disp.customer = str_dup(forward.customer);
	r->disp.cls = forward.bulk ? CLASS_BULK : CLASS_INTERACTIVE;
	r->disp.repeatable = forward.repeatable;
	r->disp.can_retry = true;
	r->disp.is_retry = forward.is_retry;
	r->disp.attempt_count = (int)forward.attempts;
	r->disp.budget_charged = forward.within_retry_budget;
	r->caller_deadline_ms = forward.caller_deadline_ms;
	r->waited_ms = forward.waited_ms;
	r->disp.max_attempts = (int)forward.max_attempts;
	r->disp.rank = (int)forward.rank;
	r->disp.kind = forward.kind;
	r->disp.fingerprint = forward.fingerprint;
	if (forward.suspect)
		poison_mark_suspect(g->poison, forward.fingerprint);
	r->maybe_ran = forward.maybe_ran;
	takes = hsrv_header(r->req, GATE_NEXT_HEADER);
	r->takes_next = takes.n > 0;
	r->is_last_owner = str_eq(takes, STR_LIT(GATE_NEXT_LAST));
	next = r->is_last_owner ? NULL : handed_over_to(r);
	if (next != NULL && r->takes_next && !r->maybe_ran) {
		gate_next_name_owner(r, r->hall, next);
		return;
	}
	if (next != NULL) {
		gate_respond(r, ERR_LEAVING, RAN_NO, 0);
		return;
	}
	if (forward.target_ms > 0)
		r->disp.target = r->arrived_at + forward.target_ms * NS_MS;
	set_limit_by_gate(r, service);
	gate_req_route(r);
}

static bool
is_over_rule_rate(
    struct gate_req *r, const struct route_rule *rule, double share)
{
	struct gate *g = r->gate;
	struct limit *l;

	if (rule->obj->rate == 0)
		return false;
	l = g_hash_table_lookup(g->rule_limits, rule->name.p);
	if (l == NULL) {
		l = g_new0(struct limit, 1);
		g_hash_table_insert(g->rule_limits, g_strdup(rule->name.p), l);
	}
	return !limit_allow(l, (double)rule->obj->rate * share, r->arrived_at);
}

/* Returns the address that a request comes from; it points into *addr. */
static struct str
address_of(const struct gate_req *r, struct sockaddr_storage *addr)
{
	memset(addr, 0, sizeof(*addr));
	r->req->conn->callbacks->get_peername(
	    r->req->conn, (struct sockaddr *)addr);
	if (addr->ss_family == AF_INET6)
		return str_n(
		    (char *)&((struct sockaddr_in6 *)addr)->sin6_addr, 16);
	return str_n((char *)&((struct sockaddr_in *)addr)->sin_addr, 4);
}

/*
 * Returns the caller's identity from the header that the rule names; empty if
 * there is none.
 */
static struct str
caller_from_header(const struct gate_req *r, const struct route_rule *rule)
{
	if (rule->obj->caller_header.n == 0)
		return str_c(NULL);
	return hsrv_header(r->req, rule->obj->caller_header.p);
}

/*
 * Returns the caller's identity, from the rule's header or else its address; it
 * may point into *addr.
 */
static struct str
caller_identity(const struct gate_req *r, const struct route_rule *rule,
    struct sockaddr_storage *addr)
{
	struct str caller = caller_from_header(r, rule);

	return caller.n > 0 ? caller : address_of(r, addr);
}

/*
 * Returns the fingerprint of a request: what it asks for, and who sends it.  A
 * request that is sent again has the same one.
 */
static struct fprint
fingerprint_of(const struct gate_req *r, const struct route_rule *rule)
{
	const h2o_req_t *req = r->req;
	struct str identity = caller_from_header(r, rule);
	struct sockaddr_storage addr;
	struct fprint_parts parts = {
	    .address = address_of(r, &addr),
	    .identity =
		identity.n > 0 ? identity : hsrv_header(req, "authorization"),
	    .method = str_n(req->method.base, req->method.len),
	    .host = str_n(req->authority.base, req->authority.len),
	    .path = str_n(req->path.base, req->path.len),
	    .body = str_n(req->entity.base, req->entity.len),
	};

	return fprint_compute(&parts);
}

static bool
is_over_caller_rate(
    struct gate_req *r, const struct route_rule *rule, double share)
{
	struct sockaddr_storage addr;
	struct str caller;
	char key[256];
	size_t n;

	if (rule->obj->caller_rate == 0)
		return false;
	caller = caller_identity(r, rule, &addr);
	n = (size_t)snprintf(key, sizeof(key), "%.*s ", STR_ARG(rule->name));
	caller.n = MIN(caller.n, sizeof(key) - n);
	memcpy(key + n, caller.p, caller.n);
	return !limit_table_allow(r->gate->caller_limits,
	    str_n(key, n + caller.n), (double)rule->obj->caller_rate * share,
	    r->arrived_at);
}

/*
 * Each gate that serves enforces its share of the limits, which are for the
 * whole fleet.
 */
static bool
over_limit(struct gate_req *r, const struct route_rule *rule)
{
	double share = 1.0 / MAX(r->gate->live_boxes, 1u);

	return is_over_rule_rate(r, rule, share) ||
	    is_over_caller_rate(r, rule, share);
}

static void
on_claimed(void *ctx, enum err_kind kind, bool claimed)
{
	struct gate_req *r = ctx;

	if (!claimed)
		r->claim = NULL;
	if (kind == ERR_NONE)
		gate_req_route(r);
	else if (kind == ERR_DUPLICATE)
		gate_respond(r, kind, RAN_UNKNOWN, 0);
	else
		gate_respond(r, kind, RAN_NO, gate_renew_hold_left(r->gate));
}

enum {
	/* A customer's rank takes precedence over the ranks of rules. */
	CUSTOMER_RANK_WEIGHT = 1000,
	CUSTOMER_RANK_MAX = 1000 /* greater ranks count as this one */
};

/* Greater ranks of rules count as the greatest that has an order. */
static int
combined_rank(const struct obj_rule *rule, const struct obj_customer *customer)
{
	int64_t rank = MIN(rule->rank, CUSTOMER_RANK_WEIGHT - 1);

	if (customer != NULL)
		rank += MIN(customer->rank, CUSTOMER_RANK_MAX) *
		    CUSTOMER_RANK_WEIGHT;
	return (int)rank;
}

/*
 * Finds the customer of a request by its key.  If any customers are configured,
 * a rule that is not public requires the key of one.  Returns false if the key
 * is required and is missing or unknown.  *found is NULL if there is no
 * customer.
 */
static bool
identify_customer(struct gate_req *r, const struct route_rule *rule,
    const struct customer **found)
{
	const struct customers *customers = route_customers(r->gate->routes);
	const struct dialect *dialect = r->gate->dialect;

	*found = NULL;
	if (dialect->customer_key.n == 0 || customers_count(customers) == 0)
		return true;
	*found = customers_find(
	    customers, hsrv_header(r->req, dialect->customer_key.p));
	if (*found == NULL)
		return rule->obj->is_public;
	r->customer = r->disp.customer = str_dup((*found)->name);
	return true;
}

void
gate_admit_continue(struct gate_req *r)
{
	struct str key = hsrv_header(r->req, "idempotency-key");

	if (!r->has_idempotency_key) {
		gate_req_route(r);
		return;
	}
	gate_req_event(r, REQ_EV_CLAIM);
	r->claim = gate_claim_start(
	    r->gate, r->rule, key, r->allow_outage, on_claimed, r);
}

static struct duration *
duration_of_rule(struct gate *g, struct str rule)
{
	char *key = g_strndup(rule.p, rule.n);
	struct duration *d = g_hash_table_lookup(g->durations, key);

	if (d == NULL) {
		d = g_new0(struct duration, 1);
		g_hash_table_insert(g->durations, key, d);
	} else {
		g_free(key);
	}
	return d;
}

void
gate_admit_answered(const struct gate_req *r)
{
	if (!r->forwarded && !r->response_not_run)
		duration_add(duration_of_rule(r->gate, r->rule),
		    clk_ns(r->gate->clk) - r->arrived_at);
}

/*
 * Admits a request that came from a caller.  Customers' keys, rate limits and
 * claims are handled by the gate that receives a request; the owner does not
 * check them again.
 */
static void
admit(struct gate_req *r, const struct route_rule *rule)
{
	struct gate *g = r->gate;
	const struct customer *customer;
	struct str key = hsrv_header(r->req, "idempotency-key");
	struct str method = str_n(r->req->method.base, r->req->method.len);
	const struct route_service *service =
	    route_choose_service(rule, g->rnd);
	unsigned long long caller_limit_ms = 0;

	if (!identify_customer(r, rule, &customer)) {
		cnt_add(g->cnt, GC_NO_KEY, 1);
		gate_respond(r, ERR_NO_KEY, RAN_NO, 0);
		return;
	}
	if (service == NULL) {
		gate_respond(r, ERR_NO_SERVICE, RAN_NO, 0);
		return;
	}
	(void)str_u64(
	    hsrv_header(r->req, g->dialect->deadline.p), &caller_limit_ms);
	r->rule = str_dup(rule->name);
	/* Its response would be cut, and whether it ran be unknown. */
	if (gate_box_ends_within(
		g, duration_most(duration_of_rule(g, r->rule)))) {
		gate_respond(r, ERR_LEAVING, RAN_NO, 0);
		return;
	}
	r->disp.fingerprint = fingerprint_of(r, rule);
	r->service = str_dup(service->name);
	r->regions = r->disp.allowed_regions = str_dup(rule->obj->regions);
	r->has_idempotency_key = key.n > 0;
	r->allow_outage = rule->obj->on_outage == OUTAGE_ALLOW;
	r->disp.cls = (enum obj_class)rule->obj->request_class;
	r->disp.repeatable =
	    route_is_repeatable(rule->obj, method, r->has_idempotency_key);
	r->disp.can_retry = true;
	r->disp.is_retry = hsrv_header(r->req, "fern-retried").n > 0;
	r->disp.max_attempts = (int)rule->obj->attempts;
	r->disp.rank =
	    combined_rank(rule->obj, customer == NULL ? NULL : customer->obj);
	r->disp.kind = (unsigned)rule->obj->target_ms;
	r->caller_deadline_ms = (int64_t)caller_limit_ms;
	if (rule->obj->target_ms > 0)
		r->disp.target = r->arrived_at + rule->obj->target_ms * NS_MS;
	set_limit_by_rule(r, rule, service);
	if (over_limit(r, rule)) {
		gate_respond(r, ERR_OVER_LIMIT, RAN_NO, 0);
		return;
	}
	if (customer != NULL && customer->obj->rate > 0)
		gate_rate_query(r);
	else
		gate_admit_continue(r);
}

static struct callers *
callers_of_kind(struct gate_req *r)
{
	char *key =
	    g_strdup_printf("%.*s/%u", STR_ARG(r->service), r->disp.kind);
	struct callers *c = g_hash_table_lookup(r->gate->callers_by_kind, key);

	if (c != NULL) {
		g_free(key);
		return c;
	}
	c = g_new0(struct callers, 1);
	g_hash_table_insert(r->gate->callers_by_kind, key, c);
	return c;
}

/*
 * Returns how long the caller has waited before, in ms.  This is known if this
 * gate refused the request before.  If not, the caller's time limit may tell
 * it, as first attempts of a kind have a common limit.  That common value is
 * only known where many requests of a kind meet, as a box of a large fleet may
 * receive just a dozen of them a minute.  Some callers give a second attempt
 * less time than they have left, so the estimate is bounded by the usual wait
 * of callers that came back.
 */
static int64_t
time_waited(struct gate_req *r)
{
	struct refusals *refusals = r->gate->refusals;
	int64_t first_sent =
	    refusals_consume(refusals, r->disp.fingerprint, r->arrived_at);
	int64_t mean_ms = refusals_mean_wait(refusals, r->arrived_at) / NS_MS,
		waited = 0;

	if (r->caller_deadline_ms > 0)
		waited = callers_elapsed_ms(
		    callers_of_kind(r), r->caller_deadline_ms);
	if (first_sent > 0)
		return MAX((r->arrived_at - first_sent) / NS_MS, 1);
	return mean_ms > 0 ? MIN(waited, mean_ms) : waited;
}

/*
 * The time that its caller has waited is subtracted from the target, and a
 * request that was refused before has fewer attempts left.  Another owner may
 * have determined the time already.
 */
void
gate_admit_set_waited(struct gate_req *r)
{
	if (r->waited_ms == 0) {
		r->waited_ms = time_waited(r);
		if (r->disp.target > 0)
			r->disp.target -= r->waited_ms * NS_MS;
	}
	r->disp.previously_refused = r->waited_ms > 0;
}

/*
 * A request may run concurrently with others of its connection if it may be
 * repeated, as its caller sends it again where an earlier response closes the
 * connection.
 */
bool
gate_admit_pipelined(void *ctx, const h2o_req_t *req)
{
	struct str method =
	    str_n(req->input.method.base, req->input.method.len);
	const struct route_rule *rule = match_rule(ctx, req);

	return rule != NULL && hsrv_header(req, "idempotency-key").n == 0 &&
	    route_is_repeatable(rule->obj, method, false);
}

/* Admits a request by the routes that are in force now. */
void
gate_admit(struct gate_req *r)
{
	const struct route_rule *rule;

	r->conf_version = route_version(r->gate->routes);
	if (r->forwarded) {
		admit_forwarded(r);
		return;
	}
	rule = match_rule(r->gate, r->req);
	if (rule == NULL)
		gate_respond(r, ERR_NO_RULE, RAN_NO, 0);
	else
		admit(r, rule);
}
