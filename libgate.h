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

#include "busy.h"
#include "caller.h"
#include "chart.h"
#include "clk.h"
#include "cnt.h"
#include "conf.h"
#include "deputy.h"
#include "dial.h"
#include "disp.h"
#include "hsrv.h"
#include "wire.h"
#include "plat.h"
#include "region.h"
#include "reload.h"
#include "refusal.h"
#include "route.h"
#include "sync.h"
#include "tmr.h"
#include "up.h"
#include "usage.h"

/* Contents of ferngate's settings file; ferngate(8) describes each key. */
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
	int route; /* one of enum gate_route */
	int64_t body_max;
	int64_t bodies_max; /* bytes of all bodies together */
	int64_t memory_mb; /* of the process, MiB; 0: mem_allowed() */
	int64_t held_max; /* bytes for all connections; 0: by bodies_max */
	int64_t leave_wait_ms;
	int64_t grace_ms;
	int64_t summary_ms;
	int64_t silent_ms;
	/* How long a request may wait for the first configuration. */
	int64_t early_ms;
	double power; /* CPUs that the box has, possibly a fraction */
	int64_t ping_wait_ms;
	json_t *regions; /* maps the name of a hall to its region */
	struct str bounds; /* the platform's limits, unparsed */
	struct str platform_form; /* name of the platform adapter */
};

/*
 * Where a request is scheduled: at the gate that owns its shard, or at the gate
 * that received it.
 */
enum gate_route { ROUTE_HOME, ROUTE_ALONE };

/* States and events of the gate, in the order of charts/box.toml. */
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

/* Metrics; descs[] in gate_stat.c has their names and help texts. */
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
	GC_OVER_SHARE_SENT,
	GC_OVER_SHARE_REFUSED,
	GC_RATE_QUERIES,
	GC_RATE_QUERIES_LOST,
	GC_RATE_TAKEOVERS,
	GC_RATE_TAKEOVERS_UNKNOWN,
	GC_RATE_RECORDS,
	GC_RATE_RETURNED,
	GC_RATE_SHARES,
	GC_RESPONSES_CUT,
	GC_CALLERS_GONE,
	GC_CLAIMS,
	GC_CLAIM_CALLS,
	GC_DUPLICATES,
	GC_STATES_SENT,
	GC_STATES_RECEIVED,
	GC_STATES_IGNORED,
	GC_OWNERS_SUSPECTED,
	GC_BOXES,
	GC_INFLIGHT,
	GC_OBJECTS,
	GC_BODY_BYTES,
	GC_LOG_DROPPED,
	GC_CONTROL_IN,
	GC_CONTROL_OUT,
	GC_LOAD_QUERIES,
	GC_LOAD_QUERIES_LOST,
	GC_EVACUATED,
	GC_CONF_AGE,
	GC_VERSIONS_REVERTED,
	GC_IDLE_CLOSED,
	GC_CLOSE_CROSSED,
	GC_LOOP_BUSY,
	GC_LATENCY,
	GC_QUEUE_TIME,
	GC_MAX
};

/* The gate of another box. */
struct gate_peer {
	struct memb_info info;
	/* No request is forwarded to it before this time. */
	int64_t suspect_until;
	int64_t last_seen; /* time of the last sign of life, monotonic ns */
	/*
	 * Time of the unanswered ping, later by the time for which this gate
	 * was stopped or busy since, monotonic ns; 0: none.
	 */
	int64_t ping_sent;
	unsigned outstanding; /* requests forwarded to it and not finished */
	bool listed; /* it is in the agent's latest member list */
	/* Start and number of the last state of a shard that it sent. */
	uint64_t state_started_ms, state_seq;
};

/*
 * A shard: the backend servers of one service in one hall.  Its owner is the
 * gate that queues and dispatches all requests for it.  A gate has one of these
 * for each shard that it owns or has owned.
 */
struct gate_shard {
	struct gate *gate;
	struct str service;
	struct str hall;
	struct disp *disp;
	/* Capacity sent in the last summary. */
	struct disp_capacity sent_capacity;
	int64_t capacity_sent_at;
	bool is_owner; /* this gate considers itself the owner */
	bool was_owner; /* before the last assignment of owners */
	/* When the state of the former owner came, monotonic ns; 0: never. */
	int64_t state_received_at;
	/*
	 * The ping that followed the state sent to the next owner: its number,
	 * 0 if none is unanswered, and the time, monotonic ns.
	 */
	uint64_t handover_ping;
	int64_t handover_at;
	struct tally_alarm alarm; /* used only by gate_stat_shards.c */
	struct deputy deputy; /* used only by gate_deputy.c */
	/* The members below are used only by gate_roll.c. */
	struct roll *rollout; /* roll-out of the service; NULL: none */
	enum roll_state roll_logged_state; /* state that was logged last */
	/*
	 * Times of the last report to the other owners and of the last write to
	 * the platform, monotonic ns.
	 */
	int64_t roll_sent_at, roll_written_at;
	/* Write to the platform in flight; NULL: none. */
	struct plat_call *roll_call;
	/* Version of the roll-out object in the response to the last call. */
	uint64_t roll_version;
	/*
	 * The latest epoch of a configuration with the outcome, and when the
	 * first one came, monotonic ns; 0: never.
	 */
	uint64_t roll_outcome_epoch;
	int64_t roll_outcome_at;
	/* The latest epoch in which the platform is known to have it. */
	uint64_t roll_confirmed_epoch;
	enum obj_rollout_state roll_written_state; /* state in the last write */
};

struct gate {
	struct gate_settings settings;
	char *settings_file; /* path of the settings file */
	/* Table of the settings file; NULL: the whole file. */
	const char *settings_section;
	struct reload reload;
	uv_loop_t *loop;
	const struct clk *clk;
	const struct rnd *rnd;
	struct tmr tmr;
	struct tmr_item tick;
	/* Time of the last report to the agent, monotonic ns. */
	int64_t last_report;
	uv_signal_t sigterm, sigint;
	struct busy busy;
	struct up *up;
	struct wire *wire;
	struct plat *plat;
	const struct plat_adapter *platform_adapter;
	const struct dialect *dialect;
	struct plat_bounds bounds;
	/* Shared with the agent if it is set before gate_open(). */
	struct conf *conf;
	struct sync sync;
	struct cnt *cnt;
	struct chart *chart_backend, *chart_request, *chart_box, *chart_roll;
	struct hsrv *caller_server, *forward_server, *admin_server;
	struct hsrv_room room; /* for the bodies of requests */
	struct hsrv_pool pool; /* what all connections hold */
	struct route_table *routes;
	struct tmr_item rebuild;
	GPtrArray *pending_changes; /* struct change *, not yet in the routes */
	/* Box or platform that the rules in the routes came from. */
	struct str rules_source;
	/* The rules that log_default_limits() has looked at. */
	uint64_t default_limits_version;
	/*
	 * When the routes got these rules, monotonic ns; 0: there are none yet.
	 */
	int64_t rules_since;
	/* Maps char * key of a rule to uint64_t *, its last version. */
	GHashTable *rule_versions;
	GHashTable *shards; /* char * "service/hall" to struct gate_shard * */
	GPtrArray *peers; /* struct gate_peer *, the hubs of all halls */
	GHashTable *owners; /* char * "service/hall" to struct shard_owner * */
	/* This box is a hub, which may own shards, and not a leaf. */
	bool is_hub;
	struct poison *poison; /* requests that crash backend servers */
	int64_t poison_sent_at; /* last periodic list to a hub, monotonic ns */
	/* What backend servers reported about themselves. */
	struct backend_reports *reports;
	/*
	 * Times of the last changes sent to the hubs of this hall, and of the
	 * last list sent to any hub, monotonic ns.
	 */
	int64_t reports_sent_at, reports_gossiped_at;
	struct limit_table *caller_limits;
	/* Requests that this gate refused as owner of their shards. */
	struct refusals *refusals;
	/* char * "service/kind" to struct callers *. */
	GHashTable *callers_by_kind;
	GHashTable *rule_limits; /* char * name of a rule to struct limit * */
	GHashTable *durations; /* char * name of a rule to struct duration * */
	struct claim_records *claim_records; /* used only by gate_renew.c */
	/* The next five members are used only by gate_rate.c. */
	struct granter *granter;
	struct tmr_item granter_timer;
	/*
	 * Maps the number of a query to its struct gate_req *.  The key, a
	 * uint64_t, is part of the request.
	 */
	GHashTable *rate_queries;
	GQueue rate_lost; /* struct lost_query *, oldest first */
	/* Hash of the hubs and the routes by which customers were assigned. */
	uint64_t rate_owners_hash;
	/* The largest customers; NULL until one of them sends a request. */
	struct usage *usage;
	GQueue reqs; /* struct gate_req *, all that are not disposed of */
	uint64_t started_ms, last_seq;
	uint64_t states_sent; /* number of the last MSG_SHARD_STATE */
	/* Attempts that other gates send, by number: gate_next.c */
	GHashTable *leases;
	uint64_t last_lease; /* number of the last one */
	/* Wall time of the first complete configuration; 0: none yet. */
	int64_t configured_ms;
	int64_t last_tick, last_forwarded_in, leaving_since;
	bool refuses_new; /* requests; the shutdown is about to end */
	bool refuses_callers; /* the same, of callers only, and earlier */
	uint64_t seq_at_end; /* last_seq when the gate decided to exit */
	unsigned live_boxes; /* gates that are alive, including this one */
	enum box_state state;
};

/*
 * gate_open.c: settings, start-up and the periodic tick.  `section` is the
 * table of the settings file, NULL for the whole file; it is not copied.
 * Functions with a GError return false on errors and set it.
 */
bool gate_load(struct gate *, const char *file, const char *section, GError **);
bool gate_open(struct gate *, GError **);
void gate_start(struct gate *);
/* Reads the settings file again; see ferngate(8) for what may change. */
void gate_reload(struct gate *);
/* Makes sure that the next tick is soon, as there is work for it. */
void gate_tick_soon(struct gate *);

/*
 * gate_trace.c: log lines and metrics on the ends of callers' connections and
 * on the event loop.
 */
void gate_trace_open(struct gate *);

/* gate_box.c: the states of the gate, from start to planned shutdown. */
extern const struct chart_names gate_box_chart_names;
void gate_box_open(struct gate *);
/* The first configuration is in force; later calls have no effect. */
void gate_box_configured(struct gate *);
void gate_box_tick(struct gate *, int64_t now);
/* Logs what was left when the event loop had ended. */
void gate_box_log_exit(const struct gate *);
/* Returns whether a planned shutdown has begun. */
bool gate_box_leaving(const struct gate *);
/*
 * Returns whether this gate is leaving and may have exited before a request of
 * another gate with this deadline ends.
 */
bool gate_box_ends_before(const struct gate *, int64_t deadline);
/*
 * Returns whether the end of a planned shutdown cuts a response to a caller
 * that takes so long, in ns.
 */
bool gate_box_ends_within(const struct gate *, int64_t ns);

/*
 * gate_conf.c: configuration from the agent, and the routes, shards and limits
 * that are built from it.
 */
bool gate_conf_open(struct gate *, GError **);
/* Handles a message from the agent or another gate; ctx is the gate. */
void gate_conf_on_message(void *, const struct msg *);
/* Reports the state of this gate to the agent. */
void gate_conf_report(struct gate *);
/* Time since the rules came into force, in ms; -1: there are none. */
long long gate_conf_in_force_ms(const struct gate *);
/* The same as gate_conf_report(), and that a box's gate does not answer. */
void gate_conf_report_suspect(struct gate *, struct str box);
/*
 * Calls a function for each shard that there is now.  The function, or requests
 * that go on because of it, may add shards.
 */
typedef void gate_shard_fn(void *, struct gate_shard *);
void gate_conf_each_shard(struct gate *, gate_shard_fn *, void *);
/* Determines anew which shards and rate limits this gate owns. */
void gate_conf_update_owners(struct gate *);
/* The same for shards only. */
void gate_conf_update_shard_owners(struct gate *);
/* Tells the dispatcher of a shard whether this gate owns it. */
void gate_conf_set_owner(struct gate_shard *);
/* Returns a shard of this gate, which is created if there is none. */
struct gate_shard *
gate_conf_shard(struct gate *, const struct route_service *, struct str hall);

/*
 * gate_owner.c: which gate owns a shard.  Functions that return an owner return
 * NULL and set *self if it is this gate.
 */
struct gate_peer *
gate_owner(struct gate *, struct str service, struct str hall, bool *self);
/*
 * Ranks the hubs of all halls for a name, whether they answer or not, and
 * returns how many of the first `max` there are.  NULL stands for this gate.
 */
unsigned gate_owner_rank(
    struct gate *, struct str name, struct gate_peer **, unsigned max);
/* Returns a hash of the gates that may be owners. */
uint64_t gate_owner_hash_hubs(struct gate *);
/* The owner for a request that only some regions may serve. */
struct gate_peer *gate_owner_in_regions(struct gate *, struct str service,
    struct str hall, struct str regions, bool *self);
/*
 * Returns whether a gate may own a shard of a hall for requests that only some
 * regions may serve.
 */
bool gate_owner_is_allowed(const struct gate *, const struct gate_peer *,
    struct str hall, struct str regions);
/* Returns the gate of a box; NULL if it is not known. */
struct gate_peer *gate_owner_find_peer(struct gate *, struct str box);
/*
 * Returns the gate that another one has named as the owner of a shard, which is
 * added if it or its last start is not known; NULL if it cannot be used
 * now.
 */
struct gate_next;
struct gate_peer *gate_owner_learn(struct gate *, const struct gate_next *);
/* Returns whether requests may be forwarded to a gate now. */
bool gate_owner_peer_is_usable(const struct gate_peer *, int64_t now);
/*
 * Returns the gate that a shard would go to next among the other hubs of its
 * hall, or else of its region, that serve, are usable, and that a function
 * accepts; NULL if there is none.
 */
typedef bool gate_owner_filter_fn(void *, const struct gate_peer *);
struct gate_peer *gate_owner_other(struct gate *, struct str service,
    struct str hall, gate_owner_filter_fn *, void *);
/* Applies the agent's member list. */
void gate_owner_set_members(struct gate *, const struct msg_members *);
/* Assigns the owners of all shards anew. */
void gate_owner_assign(struct gate *);
/*
 * A gate does not respond: it is not used for a while, and the agent is
 * informed.  Requests that it has are left there.
 */
void gate_owner_suspect(struct gate *, struct gate_peer *, const char *reason);
/* A gate is leaving: no new request is forwarded to it for a while. */
void gate_owner_avoid(struct gate *, struct gate_peer *);
/* A message from the gate with this inbox has arrived. */
void gate_owner_mark_alive(struct gate *, struct str inbox);
/* Sends a message to the owners of the service's shards in other halls. */
void gate_owner_send_others(struct gate *, const struct gate_shard *,
    const struct route_service *, struct msg *);
/*
 * The tick was late by this time, for which the process was stopped or busy.
 * What other gates sent meanwhile is not read yet, so the time does not count
 * as their silence.
 */
void gate_owner_extend_pings(struct gate *, int64_t late);
/* Pings silent owners that have requests, and sends capacity summaries. */
void gate_owner_tick(struct gate *, int64_t now);
/* Applies the capacity that the owner of another hall's shard reports. */
void gate_owner_on_summary(struct gate *, const struct msg_capacity *);
void gate_owner_on_ping(struct gate *, const struct msg *);
/* Returns a shard of this gate; NULL if there is none. */
struct gate_shard *
gate_conf_find_shard(struct gate *, struct str service, struct str hall);

/*
 * gate_deputy.c: gates that dispatch for this one while none of a shard's
 * backend servers responds to it.
 */
/*
 * Returns the gate that a new request for the shard is to be forwarded to; NULL
 * if this gate is to dispatch it.
 */
struct gate_peer *gate_deputy_choose(struct gate *, struct gate_shard *);
void gate_deputy_tick(struct gate *, int64_t now);

/* gate_req.c: the life cycle of a request. */
struct gate_req;
bool gate_req_open(struct gate *, GError **);
/* Requests from callers and from other gates arrive; ctx is the gate. */
void gate_req_from_caller(void *, h2o_req_t *);
void gate_req_from_gate(void *, h2o_req_t *);
/* Routes again the requests at an owner that does not respond. */
void gate_req_owner_lost(struct gate *, struct gate_peer *);
/* Returns whether a request was queued at a shard or was sent from there. */
bool gate_req_uses_shard(const struct gate *, const struct gate_shard *);
/* Returns whether requests that other gates forwarded have no response yet. */
bool gate_req_has_forwarded(const struct gate *);
/* Number of requests that are not disposed of. */
unsigned gate_req_count(const struct gate *);
/* Before the gate exits: answers the requests that have no response yet. */
void gate_req_end_all(struct gate *);

/*
 * gate_admit.c: whether a request may run concurrently with others of its
 * connection.
 */
bool gate_admit_pipelined(void *, const h2o_req_t *);
extern const struct disp_ops gate_req_disp_ops;

/*
 * gate_early.c: admits or refuses the requests that wait for the first
 * configuration.
 */
void gate_early_admit(struct gate *);
void gate_early_refuse(struct gate *);

/*
 * gate_claim.c: requests with an idempotency key, which are claimed in the
 * platform's store.  The callback gets ERR_NONE if the request may run.
 * `claimed` is true if the claim still exists; its owner then ends it by
 * gate_claim_release() or gate_claim_keep().
 */
struct gate_claim;
typedef void gate_claim_fn(void *, enum err_kind, bool claimed);
struct gate_claim *gate_claim_start(struct gate *, struct str rule,
    struct str key, bool allow_outage, gate_claim_fn *, void *);
/* The request did not run: deletes the claim from the store, and frees it. */
void gate_claim_release(struct gate_claim *);
/*
 * The request ran or may have run: leaves the claim in the store, and frees it.
 */
void gate_claim_keep(struct gate_claim *);
/* Returns the value of a claim with this id, which the caller owns. */
json_t *gate_claim_value(const struct gate *, const char *id);

/*
 * gate_renew.c: writes claims again that a restore of the platform may have
 * lost.
 */
struct claim_record;
struct claim_records;
void gate_renew_open(struct gate *);
void gate_renew_tick(struct gate *, int64_t now);
/*
 * Records a claim in the store.  *holder points to the record until it is freed
 * or gate_renew_forget_holder() is called.
 */
void gate_renew_add(struct gate *, const char *name, const char *id,
    struct claim_record **holder);
void gate_renew_forget_holder(struct claim_record *);
/* The claim is being deleted; the record may be NULL. */
void gate_renew_released(struct claim_record *);
/* Returns for how long no key can be claimed yet, in ns; 0: it can. */
int64_t gate_renew_hold_left(struct gate *);

/*
 * gate_poison.c: exchanges with other gates which requests crash backend
 * servers.
 */
void gate_poison_open(struct gate *);
void gate_poison_tick(struct gate *, int64_t now);
void gate_poison_merge(struct gate *, const struct msg_suspects *);
/* Sends what is known to a hub that is new or has restarted. */
void gate_poison_send_to(struct gate *, const struct gate_peer *);

/* gate_query.c: load queries to backend servers. */
void gate_load_query_start(struct gate_shard *, const struct pick_backend *);

/* gate_report.c: what backend servers report about themselves. */
void gate_report_from_query(
    struct gate_shard *, struct pick_backend *, const struct dial_report *);

/* gate_report_sync.c: exchanges these reports with other gates. */
/* Stores a report that this gate received, and sends it to others. */
void gate_reports_add(struct gate *, const struct backend_report *);
void gate_reports_tick(struct gate *, int64_t now);
/* Merges the reports in a message of another gate. */
void gate_reports_merge(struct gate *, const struct msg_reports *);
/* Sends a list of reports to a hub that is new or has restarted. */
void gate_reports_send_to(struct gate *, const struct gate_peer *);

/*
 * gate_roll.c: roll-outs, reported to the other owners of the service's shards
 * and to the platform.
 */
/* Creates, updates or ends the roll-out of a shard. */
void gate_roll_update(
    struct gate *, struct gate_shard *, const struct route_service *);
void gate_roll_close(struct gate_shard *);
void gate_roll_tick(struct gate *, int64_t now);
/* Applies the report of another owner. */
void gate_roll_merge(struct gate *, const struct msg_rollout *);

/* gate_next.c: attempts that other gates send for this one. */
void gate_next_open(struct gate *);
/* An attempt has ended. */
void gate_next_end_lease(struct gate *, const struct msg_attempt_end *);

/* gate_handover.c: the state of a shard, from one owner to the next. */
/*
 * Owners have been assigned anew: hands over the shards that this gate owned
 * before, and starts those that it owns now.
 */
void gate_handover_update(struct gate *);
/* Applies the state that the former owner of a shard sent. */
void gate_handover_receive(
    struct gate *, struct str from, const struct msg_shard_state *);

/* A ping was answered. */
void gate_handover_on_pong(struct gate *, uint64_t nonce);
void gate_handover_tick(struct gate *, int64_t now);
/*
 * Returns whether requests for a shard wait here until its next owner has its
 * state.
 */
bool
gate_handover_is_holding(struct gate *, struct str service, struct str hall);

/* gate_rate.c: rate limits of customers, each counted at one gate. */
void gate_rate_open(struct gate *);
/* Hubs or customers may have changed. */
void gate_rate_update_owned(struct gate *);
/* Replies to a rate query of another gate, or forwards it to the owner. */
void
gate_rate_reply(struct gate *, struct str from, const struct msg_rate_query *);
/* The reply to a rate query of this gate has arrived. */
void gate_rate_on_grant(
    struct gate *, struct str from, const struct msg_rate_grant *);
/* What another gate granted, or requests of it. */
void gate_rate_on_usage(
    struct gate *, struct str from, const struct msg_rate_usage *);
/* A message from this gate has arrived. */
void gate_rate_heard(struct gate *, struct str from);

/* gate_stat.c: metrics and the admin pages. */
/* Returns the counters of the gate. */
struct cnt *gate_stat_open(void);
void gate_stat_page(void *, h2o_req_t *);
/* Responds with a JSON value, which it frees. */
void gate_stat_respond_json(h2o_req_t *, json_t *);

/* gate_stat_shards.c: the state of shards, and the largest customers. */
void gate_stat_page_shards(struct gate *, h2o_req_t *);
void gate_stat_page_customers(struct gate *, h2o_req_t *);
/* Logs when the capacity of a shard is reduced, and when that ends. */
void gate_stat_shards_tick(struct gate *, int64_t now);

#endif
