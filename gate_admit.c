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

#include "libreq.h"

/*
 * What holds for a request: its rule and service, its deadline, its target,
 * the limits it counts against and the claim that it needs.
 */

/* A gate that passes a request on gives up a little before the deadline. */
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
match(struct gate *g, const h2o_req_t *req)
{
	struct route_query q = {
	    .host = str_n(req->input.authority.base, req->input.authority.len),
	    .method = str_n(req->input.method.base, req->input.method.len),
	    .path = str_n(req->input.path.base, req->input.path.len),
	    .header = query_header,
	    .ctx = (void *)req,
	};
	const char *colon = memrchr(q.host.p, ':', q.host.n);

	if (colon != NULL)
		q.host.n = (size_t)(colon - q.host.p);
	return route_match(g->routes, &q);
}

/* The caller's own deadline counts where it is the shorter one. */
static int64_t
shorter_deadline(const struct gate_req *r, int64_t own)
{
	unsigned long long ms;

	if (str_u64(hsrv_header(r->req, r->gate->dialect->deadline.p), &ms) &&
	    (int64_t)ms < own)
		own = MAX((int64_t)ms, DEADLINE_MIN_MS);
	return r->arrived_at + own * NS_MS;
}

static int64_t
deadline_of(const struct gate_req *r, const struct route_rule *rule,
    const struct route_service *svc)
{
	int64_t own = rule->obj->deadline_ms;

	if (own == 0)
		own = svc->obj->deadline_ms;
	return shorter_deadline(r, own);
}

/*
 * A request that another gate passed to us: what its rule says was found
 * there, so that both gates agree even while their configurations differ.
 */
static void
admit_passed(struct gate_req *r)
{
	struct gate *g = r->gate;
	struct gate_forward pass;
	const struct route_service *svc;

	if (!gate_forward_read(
		hsrv_header(r->req, GATE_FORWARD_HEADER), &pass)) {
		gate_respond(r, ERR_BAD_REQUEST, RAN_NO, 0);
		return;
	}
	svc = route_service(g->routes, pass.service);
	if (svc == NULL) {
		gate_respond(r, ERR_NO_SERVICE, RAN_NO, 0);
		return;
	}
	r->hops = (int)MIN(pass.hops, HOPS_MAX);
	r->service = str_dup(svc->name);
	r->hall = str_dup(pass.target_hall);
	r->regions = r->disp.allowed_regions = str_dup(pass.regions);
	r->customer = str_dup(pass.customer);
	r->disp.cls = pass.bulk ? CLASS_BULK : CLASS_INTERACTIVE;
	r->disp.repeatable = pass.repeatable;
	r->disp.can_retry = true;
	r->disp.is_retry = pass.retried;
	r->disp.attempt_count = (int)pass.tries;
	r->disp.budget_charged = pass.within_retry_budget;
	r->caller_deadline_ms = pass.caller_deadline_ms;
	r->waited_ms = pass.waited_ms;
	r->disp.max_attempts = (int)pass.max_attempts;
	r->disp.rank = (int)pass.rank;
	r->disp.kind = pass.kind;
	r->disp.fingerprint = pass.fingerprint;
	if (pass.suspect)
		poison_mark_suspect(g->poison, pass.fingerprint);
	r->maybe_ran = pass.retried;
	if (pass.target_ms > 0)
		r->disp.target = r->arrived_at + pass.target_ms * NS_MS;
	r->disp.deadline = shorter_deadline(r, svc->obj->deadline_ms);
	gate_req_set_deadline(r);
	gate_req_route(r);
}

static bool
rule_limited(struct gate_req *r, const struct route_rule *rule, double share)
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

/* The address that a request comes from; valid until *sa goes. */
static struct str
address_of(const struct gate_req *r, struct sockaddr_storage *sa)
{
	memset(sa, 0, sizeof(*sa));
	r->req->conn->callbacks->get_peername(
	    r->req->conn, (struct sockaddr *)sa);
	if (sa->ss_family == AF_INET6)
		return str_n(
		    (char *)&((struct sockaddr_in6 *)sa)->sin6_addr, 16);
	return str_n((char *)&((struct sockaddr_in *)sa)->sin_addr, 4);
}

/* Who calls, by the rule's header; empty where that says nothing. */
static struct str
named_caller(const struct gate_req *r, const struct route_rule *rule)
{
	if (rule->obj->caller_header.n == 0)
		return str_c(NULL);
	return hsrv_header(r->req, rule->obj->caller_header.p);
}

/* Who calls: by the rule's header, else by address; valid until *sa goes. */
static struct str
caller_of(const struct gate_req *r, const struct route_rule *rule,
    struct sockaddr_storage *sa)
{
	struct str caller = named_caller(r, rule);

	return caller.n > 0 ? caller : address_of(r, sa);
}

/* Is it the same request again?  By what it asks for, and from where. */
static struct fprint
print_of(const struct gate_req *r, const struct route_rule *rule)
{
	const h2o_req_t *req = r->req;
	struct str named = named_caller(r, rule);
	struct sockaddr_storage sa;
	struct fprint_parts parts = {
	    .address = address_of(r, &sa),
	    .identity = named.n > 0 ? named : hsrv_header(req, "authorization"),
	    .method = str_n(req->method.base, req->method.len),
	    .host = str_n(req->authority.base, req->authority.len),
	    .path = str_n(req->path.base, req->path.len),
	    .body = str_n(req->entity.base, req->entity.len),
	};

	return fprint_compute(&parts);
}

static bool
caller_limited(struct gate_req *r, const struct route_rule *rule, double share)
{
	struct sockaddr_storage sa;
	struct str caller;
	char key[256];
	size_t n;

	if (rule->obj->caller_rate == 0)
		return false;
	caller = caller_of(r, rule, &sa);
	n = (size_t)snprintf(key, sizeof(key), "%.*s ", STR_ARG(rule->name));
	caller.n = MIN(caller.n, sizeof(key) - n);
	memcpy(key + n, caller.p, caller.n);
	return !limit_table_allow(r->gate->caller_limits,
	    str_n(key, n + caller.n), (double)rule->obj->caller_rate * share,
	    r->arrived_at);
}

/* Each gate that serves enforces its share of the fleet's limits. */
static bool
over_limit(struct gate_req *r, const struct route_rule *rule)
{
	double share = 1.0 / MAX(r->gate->live_boxes, 1u);

	return rule_limited(r, rule, share) || caller_limited(r, rule, share);
}

static void
on_claimed(void *ctx, enum err_kind kind, bool claimed)
{
	struct gate_req *r = ctx;

	if (!claimed)
		r->claim = NULL;
	if (kind == ERR_NONE)
		gate_req_route(r);
	else
		gate_respond(
		    r, kind, kind == ERR_DUPLICATE ? RAN_UNKNOWN : RAN_NO, 0);
}

/* Customers' ranks go before those of rules. */
enum { RULE_RANKS = 1000 };

/*
 * For whom is it?  Where there are customers, a rule that is not open asks for
 * the key of one.  False if there is none, or nobody has it.
 */
static bool
take_customer(struct gate_req *r, const struct route_rule *rule,
    const struct customer **found)
{
	const struct customers *all = route_customers(r->gate->routes);
	const struct dialect *dialect = r->gate->dialect;

	*found = NULL;
	if (dialect->customer_key.n == 0 || customers_count(all) == 0)
		return true;
	*found =
	    customers_find(all, hsrv_header(r->req, dialect->customer_key.p));
	if (*found == NULL)
		return rule->obj->is_public;
	r->customer = str_dup((*found)->name);
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

/*
 * Keys, limits and claims are for the gate where a request comes in; a home
 * takes all as done.
 */
static void
admit(struct gate_req *r, const struct route_rule *rule)
{
	struct gate *g = r->gate;
	const struct customer *customer;
	struct str key = hsrv_header(r->req, "idempotency-key");
	struct str method = str_n(r->req->method.base, r->req->method.len);
	const struct route_service *svc = route_choose_service(rule, g->rnd);
	unsigned long long left = 0;

	if (!take_customer(r, rule, &customer)) {
		cnt_add(g->cnt, GC_NO_KEY, 1);
		gate_respond(r, ERR_NO_KEY, RAN_NO, 0);
		return;
	}
	if (svc == NULL) {
		gate_respond(r, ERR_NO_SERVICE, RAN_NO, 0);
		return;
	}
	(void)str_u64(hsrv_header(r->req, g->dialect->deadline.p), &left);
	r->rule = str_dup(rule->name);
	r->disp.fingerprint = print_of(r, rule);
	r->service = str_dup(svc->name);
	r->regions = r->disp.allowed_regions = str_dup(rule->obj->regions);
	r->has_idempotency_key = key.n > 0;
	r->allow_outage = rule->obj->on_outage == OUTAGE_ALLOW;
	r->disp.cls = (enum obj_class)rule->obj->request_class;
	r->disp.repeatable =
	    route_is_repeatable(rule->obj, method, r->has_idempotency_key);
	r->disp.can_retry = true;
	r->disp.is_retry = hsrv_header(r->req, "fern-retried").n > 0;
	r->disp.max_attempts = (int)rule->obj->attempts;
	r->disp.rank = (int)rule->obj->rank;
	if (customer != NULL)
		r->disp.rank += (int)customer->obj->rank * RULE_RANKS;
	r->disp.kind = (unsigned)rule->obj->target_ms;
	r->caller_deadline_ms = (int64_t)left;
	if (rule->obj->target_ms > 0)
		r->disp.target = r->arrived_at + rule->obj->target_ms * NS_MS;
	r->disp.deadline = deadline_of(r, rule, svc);
	gate_req_set_deadline(r);
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
callers_of(struct gate_req *r)
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
 * How long has its caller waited?  We know it if we refused it.  If not, it may
 * show by its deadline, for which first attempts have a common value; that is
 * known where many requests of a kind meet, as in a large fleet a box may take
 * a dozen of them a minute.  Some callers give a second attempt less time than
 * they have, so it is thought to have waited no longer than others did.
 */
static int64_t
waited_of(struct gate_req *r)
{
	struct returns *back = r->gate->returns;
	int64_t first =
	    returns_consume(back, r->disp.fingerprint, r->arrived_at);
	int64_t usual = returns_mean_wait(back, r->arrived_at) / NS_MS,
		waited = 0;

	if (r->caller_deadline_ms > 0)
		waited =
		    callers_elapsed_ms(callers_of(r), r->caller_deadline_ms);
	if (first > 0)
		return MAX((r->arrived_at - first) / NS_MS, 1);
	return usual > 0 ? MIN(waited, usual) : waited;
}

/*
 * What its caller has waited counts against the target, and one that was turned
 * away before has fewer chances left.  Another home may have found it already.
 */
void
gate_admit_set_waited(struct gate_req *r)
{
	if (r->waited_ms == 0) {
		r->waited_ms = waited_of(r);
		if (r->disp.target > 0)
			r->disp.target -= r->waited_ms * NS_MS;
	}
	r->disp.previously_refused = r->waited_ms > 0;
}

/*
 * A request may run beside others of its connection if it may be repeated:
 * its caller sends it again where an answer before it ends the connection.
 */
bool
gate_admit_pipelined(void *ctx, const h2o_req_t *req)
{
	struct str method =
	    str_n(req->input.method.base, req->input.method.len);
	const struct route_rule *rule = match(ctx, req);

	return rule != NULL && hsrv_header(req, "idempotency-key").n == 0 &&
	    route_is_repeatable(rule->obj, method, false);
}

/* The gate has a configuration: what its rule says is found out now. */
void
gate_admit(struct gate_req *r)
{
	const struct route_rule *rule;

	r->conf_version = route_version(r->gate->routes);
	if (r->forwarded) {
		admit_passed(r);
		return;
	}
	rule = match(r->gate, r->req);
	if (rule == NULL)
		gate_respond(r, ERR_NO_RULE, RAN_NO, 0);
	else
		admit(r, rule);
}
