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
#include "once.h"
#include "plat.h"
#include "probe.h"
#include "reload.h"
#include "route.h"
#include "sync.h"
#include "tmr.h"
#include "up.h"

/* The settings of fernagent; fernagent(8) describes each key. */
struct agent_settings {
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
	struct str platform_form; /* name of the platform's API */
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
	unsigned kind_mask; /* bit 1 << kind is set for each kind */
	struct tmr_item timer; /* starts the next call */
	struct plat_call *call; /* in flight; NULL: none */
	bool is_watch; /* the call is a watch, not a list */
	bool may_be_stale; /* the list in flight may be stale */
	uint64_t reached_revision; /* revision up to which changes are known */
	uint64_t listed_revision; /* revision of the last complete list */
	int64_t listed_at; /* its monotonic time, ns; 0: a list is needed */
	int64_t call_started_at; /* start of the last call, monotonic ns */
	/* Runs after a change arrived by another way than the watch. */
	struct tmr_item bypass_timer;
	int failures; /* consecutive calls that failed */
};

enum { AGENT_FEEDS_MAX = 4 };

/*
 * Delay before a call that could not start is tried again, because the call
 * budget was spent or this box does not watch the platform.
 */
#define AGENT_RECHECK_NS (1 * NS_S)

/*
 * After a restore of the platform, what it lost is kept for so long.  Backend
 * servers write their entries at intervals of 1.5 s.
 */
#define AGENT_RESTORE_NS (3 * NS_S)

/* Counters and gauges; agent_stat.c describes each. */
enum agent_cnt {
	AC_PLATFORM_CALLS,
	AC_PLATFORM_DEFERRED,
	AC_PLATFORM_DOWN,
	AC_PLATFORM_POLLS,
	AC_WATCHES_BROKEN,
	AC_CONF_AGE,
	AC_UNATTENDED,
	AC_WATCHING,
	AC_MEMBERS,
	AC_OBJECTS,
	AC_CHANGES,
	AC_SYNC_MESSAGES,
	AC_PROBES,
	AC_PROBES_DEFERRED,
	AC_PROBE_TARGETS,
	AC_CONTROL_IN,
	AC_CONTROL_OUT,
	AC_CONTROL_DROPPED,
	AC_MALFORMED,
	AC_MAX
};

struct agent {
	struct agent_settings settings;
	char *settings_file;
	const char *settings_section; /* table in it; NULL: the whole file */
	struct reload reload;
	uv_loop_t *loop;
	const struct clk *clk;
	const struct rnd *rnd;
	struct tmr tmr;
	struct tmr_item tick;
	uv_signal_t sigterm, sigint;
	struct up *up;
	struct wire *wire;
	struct plat *plat;
	const struct plat_adapter *adapter;
	struct limit plat_budget; /* rate limit of calls to the platform */
	struct conf *conf; /* if set before agent_open(): the gate's */
	bool shares_conf; /* the gate uses the same conf */
	struct sync sync;
	struct memb *memb;
	struct probe *probe;
	struct cnt *cnt;
	struct hsrv *admin;
	struct hsrv_pool admin_pool; /* what its connections hold */
	/* agent_watch.c */
	struct agent_feed feeds[AGENT_FEEDS_MAX];
	unsigned nfeeds;
	/* The objects that are offered now come from the platform. */
	bool offer_from_platform;
	bool offer_may_be_stale; /* from a list that may be stale */
	struct once logged; /* faults of objects */
	bool was_watcher; /* when its role was last checked */
	bool platform_up; /* the platform answers, as far as is known */
	/* Monotonic ns of the end of the last outage; 0: there was none. */
	int64_t platform_up_at;
	int64_t platform_down_at; /* last unanswered call, monotonic ns */
	enum agent_scope scope;
	/* agent_box.c */
	struct tmr_item boxes_timer, status_timer;
	struct plat_call *boxes_call, *status_call;
	bool boxes_pending; /* the list of boxes has yet to be fetched */
	bool is_listed; /* the platform lists this box as it is now */
	int64_t listed_at; /* when that became known, monotonic ns */
	int boxes_failures, status_failures; /* consecutive failed calls */
	int64_t status_written_at; /* last write, monotonic ns; 0: never */
	uint64_t status_version; /* on the platform; 0: none is known */
	uint64_t status_digest; /* of the status that was sent last */
	/* Digest of the configuration when a status was last scheduled. */
	uint64_t status_conf_digest;
	/* agent_look.c */
	struct tmr_item poll_timer;
	unsigned polls; /* rounds of polls since the start */
	/* Start of the latest poll that was answered, monotonic ns. */
	int64_t poll_answered_at;
	bool platform_silent; /* a poll timed out, none since was answered */
	/* agent_restore.c */
	struct tmr_item restore_timer;
	int64_t restored_at; /* last restore noticed, monotonic ns; 0: none */
	/* agent_poison.c */
	struct poison *poison;
	bool poison_unsaved; /* the written status lacks a new record */
	/* agent_lapse.c */
	GHashTable *held_deletions; /* char * key to struct held_deletion * */
	/* agent_lastvalid.c */
	GHashTable *copies; /* char * key to struct copy * */
	/* agent_push.c */
	struct tmr_item push_timer;
	/* char * key to a bool: whether the platform sent the change */
	GHashTable *unsent_changes;
	/* agent_peer.c */
	struct gossip *gossip;
	struct tmr_item gossip_timer;
	bool peers_known; /* the boxes of the hall are known */
	/* No box that has contact with the platform answers this one. */
	bool unattended;
	struct spread_halls *halls; /* whose configuration differs from ours */
	/* agent_reach.c */
	GPtrArray *attempts; /* connections in progress */
	/* agent_gate.c */
	bool ready_sent; /* the gate was notified that it may serve */
	uint64_t gate_started_ms; /* start time that the gate reported */
	uint64_t gate_conf_digest; /* of the gate's configuration */
	int64_t gate_received_at; /* last message from the gate, monotonic ns */
	int64_t gate_sent_at; /* last announcement to it, monotonic ns */
	bool gate_ready; /* the gate reported that it serves */
	uint64_t members_sent_hash; /* of the members that the gate was sent */
	int64_t members_sent_at; /* monotonic ns; 0: send them again */
	struct tmr_item members_timer;
	/* agent_probe.c */
	GHashTable *health; /* char * backend to struct health * */
	bool targets_dirty; /* the configuration changed since `routes` */
	struct route_table *routes;
	int64_t targets_refreshed_at; /* monotonic ns */
	int64_t health_sent_at; /* all probe results, monotonic ns */
	/* agent_open.c */
	int64_t last_tick_at; /* monotonic ns; 0: none yet */
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
void agent_handle_signals(struct agent *);
void agent_reload(struct agent *);

/*
 * agent_watch.c: lists and watches of the platform's objects, and the budget,
 * backoff and outage detection that all calls to the platform share.
 */
void agent_watch_open(struct agent *);
void agent_watch_restart(struct agent *);
bool agent_is_watcher(struct agent *);
bool agent_watches_platform(struct agent *);
void agent_watch_start_unattended(struct agent *);
void agent_watch_now(struct agent_feed *);
/* Starts lists at once if this box has become a watcher. */
void agent_watch_update_role(struct agent *);
struct plat_call *agent_platform_call(
    struct agent *, const struct plat_request *, plat_done_fn *, void *);
void agent_platform_call_ended(struct agent *, enum plat_result);
int64_t agent_backoff(struct agent *, int failures);
bool agent_first_feed_only(struct agent *);

/* Applies the changes that a poll of the feed's kinds returned. */
void agent_watch_apply(struct agent_feed *, json_t *body);

/* The platform no longer has the changes since the feed's last answer. */
void agent_watch_history_lost(struct agent_feed *);

/* A change has come into force; detects watches that should have sent it. */
void agent_watch_bypassed(struct agent *, const struct conf_entry *);

/* agent_look.c: short polls that detect silent watches. */
void agent_poll_open(struct agent *);

/* agent_restore.c: keeps what the platform lost when it was restored. */
void agent_restore_open(struct agent *);

/*
 * agent_poison.c: requests that crash backend servers, stored in the box's
 * status on the platform.
 */
void agent_poison_open(struct agent *);
void agent_poison_merge(struct agent *, const struct msg_suspects *);
json_t *agent_poison_spec(struct agent *);
void agent_poison_merge_listed(struct agent *, const json_t *);
void agent_poison_send_to_gate(struct agent *);

/* agent_box.c: the platform's list of boxes, and the status of this box. */
void agent_box_fetch_list(struct agent *);
void agent_box_tick(struct agent *);
void agent_box_resume_calls(struct agent *);
void agent_box_schedule_status(struct agent *);
/* The platform was restored: writes the status again if it may be lost. */
void agent_box_on_restore(struct agent *);

/* agent_lapse.c: delayed deletions of backend servers' entries. */
void agent_deletion_open(struct agent *);
bool agent_deletion_hold(
    struct agent *, const struct conf_entry *, uint64_t version);

/*
 * agent_lastvalid.c: copies on the platform of the last valid versions of
 * objects whose newest version is not valid.
 */
void agent_lastvalid_open(struct agent *);
/* The platform sent a version of an object, which has been offered. */
void agent_lastvalid_check(struct agent *, struct str key);
/* A list has been applied, which may have deleted objects. */
void agent_lastvalid_check_all(struct agent *);
void agent_lastvalid_on_restore(struct agent *);

/* agent_peer.c: messages between boxes. */
void agent_peer_open(struct agent *);
void agent_peer_configure(struct agent *);
void agent_peer_on_message(void *, const struct msg *);
void agent_peer_tick(struct agent *, int64_t now);
void agent_peer_on_boxes_listed(struct agent *);
void agent_peer_announce_ready(struct agent *);
void agent_peer_announce_leaving(struct agent *);
void agent_peer_suspect(struct agent *, struct str box);
struct msg agent_peer_own_announcement(const struct agent *);
void agent_peer_announce_outage(struct agent *, bool unreachable);

/* agent_reach.c: connections that show whether dead boxes have ended. */
void agent_reach_open(struct agent *);
void agent_reach_tick(struct agent *, int64_t now);

/* agent_gate.c: messages between the agent and the gate of its box. */
void agent_gate_send_announcement(struct agent *);
void agent_gate_send_ready(struct agent *);
void agent_gate_schedule_members(struct agent *);
void agent_gate_on_status(struct agent *, const struct msg *);
void agent_gate_tick(struct agent *, int64_t now);

/* agent_scope.c: the parts of the configuration that the box stores. */
void agent_scope_open(struct agent *);
void agent_scope_update(struct agent *);
bool agent_scope_is_split(struct agent *);
bool agent_scope_includes(struct agent *, const struct agent_feed *);
bool agent_conf_is_complete(const struct agent *);

/* agent_push.c: messages to many boxes. */
void agent_push_open(struct agent *);
void agent_push_to_all(struct agent *, struct msg *);
void agent_push_queue_change(struct agent *, const struct conf_entry *);

/* agent_probe.c: probes of backend servers, and results from other boxes. */
void agent_probe_open(struct agent *);
void agent_probe_tick(struct agent *, int64_t now);
void agent_probe_on_health(struct agent *, const struct msg_health *);
void agent_probe_send_to_gate(struct agent *);

/* agent_stat.c: counters and the page /metrics. */
struct cnt *agent_stat_open(void);
void agent_stat_page(void *, h2o_req_t *);

#endif
