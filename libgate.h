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
struct gate_set {
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
	struct str form; /* the platform's form, by name */
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
	GC_PASSED_IN,
	GC_PASSED_OUT,
	GC_ANSWERED,
	GC_REFUSED,
	GC_RETRIES,
	GC_STOPPED,
	GC_BROKEN,
	GC_ENDED,
	GC_AGAINST,
	GC_RESTS,
	GC_MALFORMED,
	GC_POISON,
	GC_NO_KEY,
	GC_OVER_RATE,
	GC_ASKS,
	GC_ASKS_LOST,
	GC_CUT,
	GC_GONE,
	GC_CLAIMS,
	GC_CLAIM_CALLS,
	GC_DUPLICATES,
	GC_SUSPECTS,
	GC_BOXES,
	GC_INFLIGHT,
	GC_OBJECTS,
	GC_LOG_DROPPED,
	GC_CONTROL_IN,
	GC_CONTROL_OUT,
	GC_PEEKS,
	GC_PEEKS_LOST,
	GC_EVACUATED,
	GC_CONF_AGE,
	GC_REVERTS,
	GC_LATENCY,
	GC_HELD,
	GC_MAX
};

/* Another box's gate. */
struct gate_peer {
	struct memb_info info;
	int64_t suspect_until; /* nothing is passed to it before that */
	int64_t heard; /* last sign of life */
	int64_t pinged; /* 0: no ping is out */
	unsigned outstanding; /* requests passed to it and not answered */
	bool listed; /* by the agent's last word */
};

/* One service's backend servers in one hall, where this gate is home. */
struct gate_shard {
	struct gate *gate;
	struct str service;
	struct str hall;
	struct disp *disp;
	struct disp_room told; /* in the last summary */
	int64_t told_at;
	bool home; /* we take ourselves for its home */
	/* gate_roll.c */
	struct roll *roll; /* the service's roll-out; NULL: none */
	enum roll_state roll_seen; /* in the log */
	int64_t roll_told, roll_written; /* to other homes; to the platform */
	struct plat_call *roll_call; /* a write on its way */
	uint64_t roll_version; /* of the order, by the last one's answer */
	enum obj_rolled roll_state; /* that the last one told */
};

struct gate {
	struct gate_set set;
	char *file; /* of the settings */
	const char *section; /* its table; NULL: the whole file */
	struct reload reload;
	uv_loop_t *loop;
	const struct clk *clk;
	const struct rnd *rnd;
	struct tmr tmr;
	struct tmr_item tick;
	int64_t reported; /* last, by the tick */
	uv_signal_t term, intr;
	struct up *up;
	struct wire *wire;
	struct plat *plat;
	const struct plat_form *form;
	const struct dial *dial;
	struct plat_bounds bounds;
	struct conf *conf; /* set before gate_open(): the agent's too */
	struct sync sync;
	struct cnt *cnt;
	struct chart *chart_backend, *chart_request, *chart_box, *chart_roll;
	struct hsrv *callers, *pass, *admin;
	struct route_table *routes;
	struct tmr_item rebuild;
	GPtrArray *unrouted; /* struct news *, not in the routes yet */
	struct str rules_from; /* who gave the rules that the routes have */
	int64_t rules_since; /* monotonic ns; 0: there are none yet */
	GHashTable *versions; /* char * key of a rule to uint64_t * last told */
	GHashTable *shards; /* char * "service/hall" to struct gate_shard * */
	GPtrArray *peers; /* struct gate_peer *, hubs of all halls */
	GHashTable *homes; /* char * "service/hall" to struct home * */
	bool hub; /* our box is a hub of its hall, and may be home */
	struct poison *poison; /* requests that end backend servers */
	int64_t poison_told; /* to some hub, last */
	struct words *words; /* what backend servers said of themselves */
	int64_t words_told, words_turn; /* to hubs near, and to any one, last */
	struct limit_table *caller_limits;
	struct returns *returns; /* requests that we refused as their home */
	GHashTable *callers_of; /* char * service/kind to struct callers * */
	GHashTable *rule_limits; /* char * rule to struct limit * */
	/* gate_rate.c */
	GHashTable *rates; /* char * customer to struct bucket *: our own */
	GHashTable *asks; /* uint64_t * in a request to struct gate_req * */
	uint64_t rates_seen; /* hash of what decides whose home we are */
	GQueue reqs; /* struct gate_req * that are live */
	uint64_t boot, seq;
	int64_t last_tick, last_pass, leaving_since;
	unsigned boxes; /* gates that are alive, ours among them */
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
void gate_conf_take(void *, const struct msg *);
void gate_conf_report(struct gate *);
long long gate_conf_held_ms(const struct gate *);
void gate_conf_doubt(struct gate *, struct str box);
void gate_conf_homes(struct gate *);
struct gate_shard *
gate_conf_shard(struct gate *, const struct route_service *, struct str hall);

/* gate_home.c: which gate is home for a shard. */
struct gate_peer *
gate_home(struct gate *, struct str service, struct str hall, bool *self);
/* The gate that has something by name, of all hubs; the n-th choice. */
struct gate_peer *
gate_home_by_name(struct gate *, struct str name, unsigned nth, bool *self);
uint64_t gate_home_hubs(struct gate *);
struct gate_peer *gate_home_for(struct gate *, struct str service,
    struct str hall, struct str regions, bool *self);
void gate_home_members(struct gate *, const struct msg_members *);
void gate_home_deal(struct gate *);
void gate_home_suspect(struct gate *, struct gate_peer *, const char *why);
void gate_home_heard(struct gate *, struct str inbox);
void gate_home_tell(struct gate *, const struct gate_shard *,
    const struct route_service *, struct msg *);
void gate_home_tick(struct gate *, int64_t now);
void gate_home_summary(struct gate *, const struct msg_summary *);
void gate_home_ping(struct gate *, const struct msg *);
struct gate_shard *
gate_conf_find_shard(struct gate *, struct str service, struct str hall);

/* gate_req.c: the life of a request. */
struct gate_req;
bool gate_req_open(struct gate *, GError **);
void gate_req_caller(void *, h2o_req_t *);
void gate_req_passed(void *, h2o_req_t *);
void gate_req_home_lost(struct gate *, struct gate_peer *);
unsigned gate_req_count(const struct gate *);
/* The gate ends: answer what has no answer yet. */
void gate_req_end_all(struct gate *);

/* gate_admit.c: may a request run beside others of its connection? */
bool gate_admit_beside(void *, const h2o_req_t *);
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
void gate_poison_take(struct gate *, const struct msg_suspects *);
/* A hub has started, or was not known before. */
void gate_poison_greet(struct gate *, const struct gate_peer *);

/* gate_peek.c: questions for the load of backend servers. */
void gate_peek_start(struct gate_shard *, const struct pick_backend *);

/* gate_word.c: what backend servers say of themselves. */
void gate_word_peeked(
    struct gate_shard *, struct pick_backend *, const struct dial_word *);

/* gate_words.c: what gates tell one another of that. */
void gate_words_hear(struct gate *, const struct word *);
void gate_words_tick(struct gate *, int64_t now);
void gate_words_take(struct gate *, const struct msg_words *);
void gate_words_greet(struct gate *, const struct gate_peer *);

/* gate_roll.c: roll-outs, as homes tell one another and the platform. */
void gate_roll_update(
    struct gate *, struct gate_shard *, const struct route_service *);
void gate_roll_close(struct gate_shard *);
void gate_roll_tick(struct gate *, int64_t now);
void gate_roll_take(struct gate *, const struct msg_roll *);

/* gate_rate.c: what customers may have, counted at one gate for each. */
void gate_rate_open(struct gate *);
void gate_rate_homes(struct gate *);
void gate_rate_answer(struct gate *, struct str from, const struct msg_ask *);
void gate_rate_granted(struct gate *, const struct msg_grant *);

/* gate_stat.c: counters and the admin pages. */
struct cnt *gate_stat_open(void);
void gate_stat_page(void *, h2o_req_t *);

#endif
