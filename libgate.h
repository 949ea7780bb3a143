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
#ifndef LIBGATE_H
#define LIBGATE_H

#include <uv.h>

#include "caller.h"
#include "chart.h"
#include "clk.h"
#include "cnt.h"
#include "conf.h"
#include "dial.h"
#include "disp.h"
#include "hsrv.h"
#include "wire.h"
#include "plat.h"
#include "region.h"
#include "reload.h"
#include "returns.h"
#include "route.h"
#include "sync.h"
#include "tmr.h"
#include "up.h"

/* What ferngate's settings file holds; ferngate(8) describes each key. */
struct gate_settings {
	struct str box;
	struct str hall;
	struct str listen;
	struct str pass_listen;
	struct str admin_listen;
	struct str inbox;
	struct str agent;
	struct str platform;
	struct str charts;
	struct str policy;
	int route; /* enum gate_route */
	int64_t body_max;
	int64_t leave_wait_ms;
	int64_t grace_ms;
	int64_t summary_ms;
	int64_t silent_ms;
	int64_t early_ms; /* a request may wait for the first configuration */
	double power; /* share of a processor that the box has */
	int64_t ping_wait_ms;
	json_t *regions; /* of halls, by their names */
	struct str bounds; /* the platform's, in its own words */
	struct str platform_form; /* the platform's form, by name */
};

/* Where a request is decided: at its service's home, or where it came in. */
enum gate_route { ROUTE_HOME, ROUTE_ALONE };

/* States and events of the box's gate, as charts/box.toml has them. */
enum box_state {
	BOX_EMPTY,
	BOX_READY,
	BOX_LEAVING,
	BOX_CLOSING,
	BOX_GONE,
	BOX_STATE_MAX
};

enum box_event {
	BOX_EV_CONFIGURED,
	BOX_EV_LEAVE,
	BOX_EV_WAITED,
	BOX_EV_EMPTIED,
	BOX_EV_ENDED,
	BOX_EVENT_MAX
};

/* Counters, in the order of the table in gate_stat.c. */
enum gate_cnt {
	GC_REQUESTS,
	GC_FORWARDED_IN,
	GC_FORWARDED_OUT,
	GC_RESPONSES_COMPLETE,
	GC_REFUSED,
	GC_RETRIES,
	GC_ATTEMPTS_STOPPED,
	GC_ATTEMPTS_BROKEN,
	GC_SERVERS_CRASHED,
	GC_REPORT_OVERRIDDEN,
	GC_RETRY_AFTER_PAUSES,
	GC_MALFORMED_REPORTS,
	GC_POISON,
	GC_NO_KEY,
	GC_OVER_RATE,
	GC_RATE_QUERIES,
	GC_RATE_QUERIES_LOST,
	GC_RESPONSES_CUT,
	GC_CALLERS_GONE,
	GC_CLAIMS,
	GC_CLAIM_CALLS,
	GC_DUPLICATES,
	GC_OWNERS_SUSPECTED,
	GC_BOXES,
	GC_INFLIGHT,
	GC_OBJECTS,
	GC_LOG_DROPPED,
	GC_CONTROL_IN,
	GC_CONTROL_OUT,
	GC_LOAD_QUERIES,
	GC_LOAD_QUERIES_LOST,
	GC_EVACUATED,
	GC_CONF_AGE,
	GC_VERSIONS_REVERTED,
	GC_LATENCY,
	GC_HELD,
	GC_MAX
};

/* Another box's gate. */
struct gate_peer {
	struct memb_info info;
	int64_t suspect_until; /* nothing is passed to it before that */
	int64_t last_seen; /* last sign of life */
	int64_t ping_sent; /* 0: no ping is out */
	unsigned outstanding; /* requests passed to it and not answered */
	bool listed; /* by the agent's last word */
};

/* One service's backend servers in one hall, where this gate is home. */
struct gate_shard {
	struct gate *gate;
	struct str service;
	struct str hall;
	struct disp *disp;
	struct disp_capacity sent_capacity; /* in the last summary */
	int64_t capacity_sent_at;
	bool is_owner; /* we take ourselves for its home */
	/* gate_roll.c */
	struct roll *roll; /* the service's roll-out; NULL: none */
	enum roll_state roll_logged_state; /* in the log */
	int64_t roll_sent_at,
	    roll_written_at; /* to other homes; to the platform */
	struct plat_call *roll_call; /* a write on its way */
	uint64_t roll_version; /* of the order, by the last one's answer */
	enum obj_rollout_state roll_written_state; /* that the last one told */
};

struct gate {
	struct gate_settings settings;
	char *settings_file; /* of the settings */
	const char *settings_section; /* its table; NULL: the whole file */
	struct reload reload;
	uv_loop_t *loop;
	const struct clk *clk;
	const struct rnd *rnd;
	struct tmr tmr;
	struct tmr_item tick;
	int64_t last_report; /* last, by the tick */
	uv_signal_t term, intr;
	struct up *up;
	struct wire *wire;
	struct plat *plat;
	const struct plat_adapter *form;
	const struct dialect *dialect;
	struct plat_bounds bounds;
	struct conf *conf; /* set before gate_open(): the agent's too */
	struct sync sync;
	struct cnt *cnt;
	struct chart *chart_backend, *chart_request, *chart_box, *chart_roll;
	struct hsrv *caller_server, *forward_server, *admin_server;
	struct route_table *routes;
	struct tmr_item rebuild;
	GPtrArray *pending_changes; /* struct news *, not in the routes yet */
	struct str rules_source; /* who gave the rules that the routes have */
	int64_t rules_since; /* monotonic ns; 0: there are none yet */
	GHashTable
	    *rule_versions; /* char * key of a rule to uint64_t * last told */
	GHashTable *shards; /* char * "service/hall" to struct gate_shard * */
	GPtrArray *peers; /* struct gate_peer *, hubs of all halls */
	GHashTable *owners; /* char * "service/hall" to struct home * */
	bool is_hub; /* our box is a hub of its hall, and may be home */
	struct poison *poison; /* requests that end backend servers */
	int64_t poison_sent_at; /* to some hub, last */
	struct backend_reports
	    *reports; /* what backend servers said of themselves */
	int64_t reports_sent_at,
	    reports_gossiped_at; /* to hubs near, and to any one, last */
	struct limit_table *caller_limits;
	struct returns *returns; /* requests that we refused as their home */
	GHashTable
	    *callers_by_kind; /* char * service/kind to struct callers * */
	GHashTable *rule_limits; /* char * rule to struct limit * */
	/* gate_rate.c */
	GHashTable
	    *customer_buckets; /* char * customer to struct bucket *: our own */
	GHashTable
	    *rate_queries; /* uint64_t * in a request to struct gate_req * */
	uint64_t rate_owners_hash; /* hash of what decides whose home we are */
	GQueue reqs; /* struct gate_req * that are live */
	uint64_t boot, seq;
	int64_t last_tick, last_forwarded_in, leaving_since;
	unsigned live_boxes; /* gates that are alive, ours among them */
	enum box_state state;
};

/*
 * gate_open.c: settings, all that a gate opens, and its tick.  `section` is
 * the table of the settings file, NULL for the whole file.
 */
bool gate_load(struct gate *, const char *file, const char *section, GError **);
bool gate_open(struct gate *, GError **);
void gate_start(struct gate *);
void gate_reload(struct gate *);
void gate_tick_soon(struct gate *);

/* gate_box.c: the life of the gate, up to its planned end. */
extern const struct chart_names gate_box_chart_names;
void gate_box_open(struct gate *);
void gate_box_configured(struct gate *);
void gate_box_tick(struct gate *, int64_t now);
bool gate_box_leaving(const struct gate *);

/* gate_conf.c: configuration from the agent, and what is built of it. */
bool gate_conf_open(struct gate *, GError **);
void gate_conf_on_message(void *, const struct msg *);
void gate_conf_report(struct gate *);
long long gate_conf_in_force_ms(const struct gate *);
void gate_conf_report_suspect(struct gate *, struct str box);
void gate_conf_update_owners(struct gate *);
struct gate_shard *
gate_conf_shard(struct gate *, const struct route_service *, struct str hall);

/* gate_owner.c: which gate is home for a shard. */
struct gate_peer *
gate_owner(struct gate *, struct str service, struct str hall, bool *self);
/* The gate that has something by name, of all hubs; the n-th choice. */
struct gate_peer *
gate_owner_by_name(struct gate *, struct str name, unsigned nth, bool *self);
uint64_t gate_owner_hash_hubs(struct gate *);
struct gate_peer *gate_owner_in_regions(struct gate *, struct str service,
    struct str hall, struct str regions, bool *self);
void gate_owner_set_members(struct gate *, const struct msg_members *);
void gate_owner_assign(struct gate *);
void gate_owner_suspect(struct gate *, struct gate_peer *, const char *why);
void gate_owner_mark_alive(struct gate *, struct str inbox);
void gate_owner_send_others(struct gate *, const struct gate_shard *,
    const struct route_service *, struct msg *);
void gate_owner_tick(struct gate *, int64_t now);
void gate_owner_on_summary(struct gate *, const struct msg_capacity *);
void gate_owner_on_ping(struct gate *, const struct msg *);
struct gate_shard *
gate_conf_find_shard(struct gate *, struct str service, struct str hall);

/* gate_req.c: the life of a request. */
struct gate_req;
bool gate_req_open(struct gate *, GError **);
void gate_req_from_caller(void *, h2o_req_t *);
void gate_req_from_gate(void *, h2o_req_t *);
void gate_req_owner_lost(struct gate *, struct gate_peer *);
unsigned gate_req_count(const struct gate *);
/* The gate ends: answer what has no answer yet. */
void gate_req_end_all(struct gate *);

/* gate_admit.c: may a request run beside others of its connection? */
bool gate_admit_pipelined(void *, const h2o_req_t *);
extern const struct disp_ops gate_req_disp_ops;

/* gate_early.c: the first configuration is here. */
void gate_early_admit(struct gate *);

/* gate_claim.c: requests with a key, claimed on the platform. */
struct gate_claim;
typedef void gate_claim_fn(void *, enum err_kind, bool claimed);
struct gate_claim *gate_claim_start(struct gate *, struct str rule,
    struct str key, bool allow_outage, gate_claim_fn *, void *);
/* The request did not run: give the key back.  Frees the claim. */
void gate_claim_release(struct gate_claim *);
/* The request ran or may have run: the claim stays.  Frees the claim. */
void gate_claim_keep(struct gate_claim *);

/* gate_poison.c: what gates tell one another of requests that end servers. */
void gate_poison_open(struct gate *);
void gate_poison_tick(struct gate *, int64_t now);
void gate_poison_merge(struct gate *, const struct msg_suspects *);
/* A hub has started, or was not known before. */
void gate_poison_send_to(struct gate *, const struct gate_peer *);

/* gate_peek.c: questions for the load of backend servers. */
void gate_load_query_start(struct gate_shard *, const struct pick_backend *);

/* gate_word.c: what backend servers say of themselves. */
void gate_report_from_query(
    struct gate_shard *, struct pick_backend *, const struct dial_report *);

/* gate_words.c: what gates tell one another of that. */
void gate_reports_add(struct gate *, const struct backend_report *);
void gate_reports_tick(struct gate *, int64_t now);
void gate_reports_merge(struct gate *, const struct msg_reports *);
void gate_reports_send_to(struct gate *, const struct gate_peer *);

/* gate_roll.c: roll-outs, as homes tell one another and the platform. */
void gate_roll_update(
    struct gate *, struct gate_shard *, const struct route_service *);
void gate_roll_close(struct gate_shard *);
void gate_roll_tick(struct gate *, int64_t now);
void gate_roll_merge(struct gate *, const struct msg_rollout *);

/* gate_rate.c: what customers may have, counted at one gate for each. */
void gate_rate_open(struct gate *);
void gate_rate_update_owned(struct gate *);
void
gate_rate_answer(struct gate *, struct str from, const struct msg_rate_query *);
void gate_rate_granted(struct gate *, const struct msg_rate_grant *);

/* gate_stat.c: counters and the admin pages. */
struct cnt *gate_stat_open(void);
void gate_stat_page(void *, h2o_req_t *);

#endif
