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
#ifndef LIBAGENT_H
#define LIBAGENT_H

#include <uv.h>

#include "clk.h"
#include "cnt.h"
#include "conf.h"
#include "dial.h"
#include "gossip.h"
#include "hsrv.h"
#include "wire.h"
#include "memb.h"
#include "plat.h"
#include "probe.h"
#include "reload.h"
#include "route.h"
#include "sync.h"
#include "tmr.h"
#include "up.h"

/* The settings of fernagent; fernagent(8) describes each key. */
struct agent_set {
	struct str box;
	struct str hall;
	struct str inbox;
	struct str gate_inbox;
	struct str pass;
	struct str admin_listen;
	struct str platform;
	json_t *seeds;
	double power; /* number of processors that the box may use */
	int64_t watchers;
	int64_t probe_rate;
	int64_t platform_rate;
	int64_t hello_ms;
	int64_t list_ms;
	int64_t watch_ms;
	int64_t gather_ms;
	int64_t first_ms;
	int64_t boxes_ms;
	int64_t look_ms;
	int64_t retry_ms;
	int64_t status_ms;
	int status_by; /* enum agent_status_by */
	struct str form; /* name of the platform's API */
	struct str contracts; /* API parts that exist there; empty: all */
};

/* The parts of the configuration that a box stores. */
enum agent_scope { SCOPE_UNKNOWN, SCOPE_RULES, SCOPE_ALL };

/* Which boxes write their status to the platform. */
enum agent_status_by { STATUS_BY_ALL, STATUS_BY_HUBS };

/* A set of object kinds that are listed and watched with the same calls. */
struct agent_feed {
	struct agent *agent;
	const char *kinds; /* comma-separated names */
	unsigned mask; /* bit 1 << kind is set for each kind */
	struct tmr_item timer; /* starts the next call */
	struct plat_call *call; /* in flight; NULL: none */
	bool watches; /* the call is a watch, not a list */
	bool copy; /* the list in flight may be stale */
	uint64_t since; /* revision up to which changes are known */
	uint64_t complete; /* revision of the last complete list */
	int64_t listed_at; /* its monotonic time, ns; 0: a list is needed */
	int64_t asked_at; /* start of the last call, monotonic ns */
	/* Runs after a change arrived by another way than the watch. */
	struct tmr_item passed_timer;
	int fails; /* consecutive calls that failed */
};

enum { AGENT_FEEDS_MAX = 4 };

/*
 * Delay before a call that could not start is tried again, because the call
 * budget was spent or this box does not watch the platform.
 */
#define AGENT_RECHECK_NS (1 * NS_S)

/* Counters and gauges; agent_stat.c describes each. */
enum agent_cnt {
	AC_PLATFORM_CALLS,
	AC_PLATFORM_PUT_OFF,
	AC_PLATFORM_DOWN,
	AC_LOOKS,
	AC_WATCHES_BROKEN,
	AC_CONF_AGE,
	AC_UNATTENDED,
	AC_WATCHING,
	AC_MEMBERS,
	AC_OBJECTS,
	AC_CHANGES,
	AC_SYNC_MESSAGES,
	AC_PROBES,
	AC_PROBES_PUT_OFF,
	AC_PROBE_TARGETS,
	AC_CONTROL_IN,
	AC_CONTROL_OUT,
	AC_CONTROL_DROPPED,
	AC_MALFORMED,
	AC_MAX
};

struct agent {
	struct agent_set set;
	char *file;
	const char *section; /* table in it; NULL: the whole file */
	struct reload reload;
	uv_loop_t *loop;
	const struct clk *clk;
	const struct rnd *rnd;
	struct tmr tmr;
	struct tmr_item tick;
	uv_signal_t term, intr;
	struct up *up;
	struct wire *wire;
	struct plat *plat;
	const struct plat_form *form;
	struct limit plat_budget; /* rate limit of calls to the platform */
	struct conf *conf; /* if set before agent_open(): the gate's */
	bool shares_conf; /* the gate uses the same conf */
	struct sync sync;
	struct memb *memb;
	struct probe *probe;
	struct cnt *cnt;
	struct hsrv *admin;
	/* agent_watch.c */
	struct agent_feed feeds[AGENT_FEEDS_MAX];
	unsigned nfeeds;
	bool from_platform; /* objects offered now come from the platform */
	bool from_copy; /* from a list that may be stale */
	bool platform_up; /* the platform answers, as far as is known */
	/* Monotonic ns of the end of the last outage; 0: there was none. */
	int64_t platform_back;
	int64_t platform_lost; /* last call without an answer, monotonic ns */
	enum agent_scope scope;
	/* agent_box.c */
	struct tmr_item boxes_timer, status_timer;
	struct plat_call *boxes_call, *status_call;
	bool boxes_wanted; /* the list of boxes has yet to be fetched */
	bool is_listed; /* the platform lists this box as it is now */
	int boxes_fails, status_fails; /* consecutive failed calls */
	int64_t status_at; /* last write, monotonic ns; 0: never */
	uint64_t status_version; /* on the platform; 0: none is known */
	uint64_t status_digest; /* of the status that was sent last */
	/* Digest of the configuration when a status was last scheduled. */
	uint64_t status_told;
	/* agent_look.c */
	struct tmr_item look_timer;
	unsigned looks; /* rounds of polls since the start */
	/* Start of the latest poll that was answered, monotonic ns. */
	int64_t look_answered;
	bool unheard; /* a poll timed out, and no later one was answered */
	/* agent_poison.c */
	struct poison *poison;
	bool poison_unsaved; /* the written status lacks a new record */
	/* agent_lapse.c */
	GHashTable *lapses; /* char * key to struct held_deletion * */
	/* agent_push.c */
	struct tmr_item push_timer;
	/* char * key to a bool: whether the platform sent the change */
	GHashTable *unsent;
	/* agent_peer.c */
	struct gossip *gossip;
	struct tmr_item gossip_timer;
	bool settled; /* the boxes of the hall are known */
	/* No box that has contact with the platform answers this one. */
	bool unattended;
	/*
	 * Since when another hall's configuration differs from ours, in
	 * monotonic ns; 0: it does not.
	 */
	int64_t differs_since;
	/* agent_gate.c */
	bool told_ready; /* the gate was notified that it may serve */
	uint64_t gate_boot; /* start time that the gate reported */
	uint64_t gate_digest; /* of the gate's configuration */
	int64_t gate_heard; /* last message from the gate, monotonic ns */
	int64_t gate_greeted; /* last status sent to it, monotonic ns */
	bool gate_ready; /* the gate reported that it serves */
	uint64_t members_hash; /* of the members that the gate was sent */
	int64_t members_sent; /* monotonic ns; 0: send them again */
	struct tmr_item members_timer;
	/* agent_probe.c */
	GHashTable *health; /* char * backend to struct health * */
	bool targets_dirty; /* the configuration changed since `routes` */
	struct route_table *routes;
	int64_t targets_at; /* last update of the targets, monotonic ns */
	int64_t health_at; /* last resend of probe results, monotonic ns */
	/* agent_open.c */
	int64_t last_tick; /* monotonic ns; 0: none yet */
	bool leaving;
};

/*
 * agent_open.c: settings, start, shutdown and the periodic tick.  `section`
 * is the table of the settings file, NULL for the whole file.  The caller sets
 * clk and rnd, and conf if it is shared, before agent_open().
 */
bool
agent_load(struct agent *, const char *file, const char *section, GError **);
bool agent_open(struct agent *, GError **);
void agent_start(struct agent *);
void agent_on_signals(struct agent *);
void agent_reload(struct agent *);

/*
 * agent_watch.c: lists and watches of the platform's objects, and the budget,
 * backoff and outage detection that all calls to the platform share.
 */
void agent_watch_open(struct agent *);
void agent_watch_resume(struct agent *);
bool agent_is_watcher(struct agent *);
bool agent_asks_platform(struct agent *);
void agent_watch_unattended(struct agent *);
void agent_watch_now(struct agent_feed *);
struct plat_call *
agent_call(struct agent *, const struct plat_request *, plat_done_fn *, void *);
void agent_call_ended(struct agent *, enum plat_result);
int64_t agent_backoff(struct agent *, int failures);
bool agent_first_feed_asks(struct agent *);

/* Applies the changes that a poll of the feed's kinds returned. */
void agent_watch_told(struct agent_feed *, json_t *body);

/* The platform no longer has the changes since the feed's last answer. */
void agent_watch_missed(struct agent_feed *);

/* A change has come into force; detects watches that should have sent it. */
void agent_watch_passed(struct agent *, const struct conf_entry *);

/* agent_look.c: short polls that detect silent watches. */
void agent_look_open(struct agent *);

/*
 * agent_poison.c: requests that crash backend servers, stored in the box's
 * status on the platform.
 */
void agent_poison_open(struct agent *);
void agent_poison_take(struct agent *, const struct msg_suspects *);
json_t *agent_poison_spec(struct agent *);
void agent_poison_listed(struct agent *, const json_t *);
void agent_poison_tell(struct agent *);

/* agent_box.c: the platform's list of boxes, and the status of this box. */
void agent_box_list(struct agent *);
void agent_box_tick(struct agent *);
void agent_box_resume_calls(struct agent *);
void agent_box_status_soon(struct agent *);

/* agent_lapse.c: delayed deletions of backend servers' entries. */
void agent_lapse_open(struct agent *);
bool
agent_lapse_hold(struct agent *, const struct conf_entry *, uint64_t version);

/* agent_peer.c: messages between boxes. */
void agent_peer_open(struct agent *);
void agent_peer_configure(struct agent *);
void agent_peer_take(void *, const struct msg *);
void agent_peer_tick(struct agent *, int64_t now);
void agent_peer_listed(struct agent *);
void agent_peer_ready(struct agent *);
void agent_peer_leave(struct agent *);
void agent_peer_doubt(struct agent *, struct str box);
struct msg agent_peer_hello_of(const struct agent *);
void agent_peer_blind(struct agent *, bool blind);

/* agent_gate.c: messages between the agent and the gate of its box. */
void agent_gate_hello(struct agent *);
void agent_gate_tell_ready(struct agent *);
void agent_gate_members_soon(struct agent *);
void agent_gate_take(struct agent *, const struct msg *);
void agent_gate_tick(struct agent *, int64_t now);

/* agent_scope.c: the parts of the configuration that the box stores. */
void agent_scope_open(struct agent *);
void agent_scope_look(struct agent *);
bool agent_scope_divides(struct agent *);
bool agent_scope_has(struct agent *, const struct agent_feed *);
bool agent_is_complete(const struct agent *);

/* agent_push.c: messages to many boxes. */
void agent_push_open(struct agent *);
void agent_push_all(struct agent *, struct msg *);
void agent_push_change(struct agent *, const struct conf_entry *);

/* agent_probe.c: probes of backend servers, and results from other boxes. */
void agent_probe_open(struct agent *);
void agent_probe_tick(struct agent *, int64_t now);
void agent_probe_take(struct agent *, const struct msg_health *);
void agent_probe_tell_gate(struct agent *);

/* agent_stat.c: counters and the page /metrics. */
struct cnt *agent_stat_open(void);
void agent_stat_page(void *, h2o_req_t *);

#endif
