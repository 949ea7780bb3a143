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

/* What fernagent's settings file holds; fernagent(8) describes each key. */
struct agent_settings {
	struct str box;
	struct str hall;
	struct str inbox;
	struct str gate_inbox;
	struct str pass;
	struct str admin_listen;
	struct str platform;
	json_t *seeds;
	double power; /* share of a processor that the box has */
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
	struct str form; /* the platform's form, by name */
	struct str contracts; /* what it has, in its own words; empty: all */
};

/* What a box holds of the configuration. */
enum agent_scope { SCOPE_UNKNOWN, SCOPE_RULES, SCOPE_ALL };

/* Which boxes tell of themselves on the platform. */
enum agent_status_by { STATUS_BY_ALL, STATUS_BY_HUBS };

/* Kinds of configuration that are listed and watched together. */
struct agent_feed {
	struct agent *agent;
	const char *kinds; /* joined by commas */
	unsigned kind_mask; /* a bit 1 << kind for each */
	struct tmr_item timer;
	struct plat_call *call;
	bool is_watch; /* the call is a watch */
	bool may_be_stale; /* its list may be stale */
	uint64_t reached_revision; /* revision that the watch has reached */
	uint64_t listed_revision; /* revision of the last complete list */
	int64_t listed_at; /* monotonic ns of it; 0: list anew */
	int64_t call_started_at; /* the call on its way; monotonic ns */
	struct tmr_item bypass_timer; /* news came past the watch */
	int failures; /* calls in a row without an answer */
};

enum { AGENT_FEEDS_MAX = 4 };

/* What had to wait, for the budget or for us to watch, looks again after it. */
#define AGENT_RECHECK_NS (1 * NS_S)

/* Counters, in the order of the table in agent_stat.c. */
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
	char *settings_file; /* of the settings */
	const char *settings_section; /* its table; NULL: the whole file */
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
	const struct plat_adapter *form;
	struct limit plat_budget;
	struct conf *conf; /* set before agent_open(): the gate's too */
	bool shares_conf;
	struct sync sync;
	struct memb *memb;
	struct probe *probe;
	struct cnt *cnt;
	struct hsrv *admin;
	/* agent_watch.c */
	struct agent_feed feeds[AGENT_FEEDS_MAX];
	unsigned nfeeds;
	bool offer_from_platform; /* offers of now come from the platform */
	bool offer_may_be_stale; /* by an answer that may be stale */
	bool platform_up;
	int64_t
	    platform_up_at; /* it answered again after an outage; 0: never */
	int64_t platform_down_at; /* it did not answer, as far as we know */
	enum agent_scope scope;
	/* agent_box.c */
	struct tmr_item boxes_timer, status_timer;
	struct plat_call *boxes_call, *status_call;
	bool boxes_pending; /* the list of boxes has not come yet */
	bool is_listed; /* the platform lists our box as it is */
	int boxes_failures, status_failures;
	int64_t status_written_at; /* the last status was written; 0: never */
	uint64_t status_version;
	uint64_t status_digest; /* of what the last status told */
	uint64_t
	    status_conf_digest; /* the configuration it was asked for last */
	/* agent_look.c */
	struct tmr_item poll_timer;
	unsigned polls;
	int64_t poll_answered_at; /* when the last answered one was asked; ns */
	bool platform_silent; /* one was not answered, and none after it */
	/* agent_poison.c */
	struct poison *poison;
	bool poison_unsaved; /* our status does not tell it all yet */
	/* agent_lapse.c */
	GHashTable *held_deletions; /* char * key to struct agent_lapse * */
	/* agent_push.c */
	struct tmr_item push_timer;
	GHashTable
	    *unsent_changes; /* char * key to whether the platform told it */
	/* agent_peer.c */
	struct gossip *gossip;
	struct tmr_item gossip_timer;
	bool peers_known; /* it was told that the boxes near are known */
	bool unattended; /* nobody who hears from the platform answers */
	/* our digest differs from another hall's; 0: it does not */
	int64_t differs_since;
	/* agent_gate.c */
	bool ready_sent; /* the gate knows that it may serve */
	uint64_t gate_boot, gate_digest;
	int64_t gate_received_at;
	int64_t gate_sent_at; /* it was told what we have */
	bool gate_ready;
	uint64_t members_sent_hash; /* of what the gate was told last */
	int64_t members_sent_at;
	struct tmr_item members_timer;
	/* agent_probe.c */
	GHashTable *health; /* char * backend to struct agent_health * */
	bool targets_dirty;
	struct route_table *routes;
	int64_t targets_refreshed_at, health_sent_at;
	/* agent_open.c */
	int64_t last_tick_at;
	bool leaving;
};

/*
 * agent_open.c: settings, all that an agent opens, and its tick.  `section`
 * is the table of the settings file, NULL for the whole file.
 */
bool
agent_load(struct agent *, const char *file, const char *section, GError **);
bool agent_open(struct agent *, GError **);
void agent_start(struct agent *);
void agent_handle_signals(struct agent *);
void agent_reload(struct agent *);

/* agent_watch.c: the platform's objects, and what all calls to it share. */
void agent_watch_open(struct agent *);
void agent_watch_restart(struct agent *);
bool agent_is_watcher(struct agent *);
bool agent_watches_platform(struct agent *);
void agent_watch_start_unattended(struct agent *);
void agent_watch_now(struct agent_feed *);
struct plat_call *agent_platform_call(
    struct agent *, const struct plat_request *, plat_done_fn *, void *);
void agent_platform_call_ended(struct agent *, enum plat_result);
int64_t agent_backoff(struct agent *, int fails);
bool agent_first_feed_only(struct agent *);

/*
 * What another call than a feed's watch brought; that the platform no longer
 * has what changed since the feed's last answer; and that a peer brought what
 * the watch should have.
 */
void agent_watch_apply(struct agent_feed *, json_t *body);
void agent_watch_history_lost(struct agent_feed *);
void agent_watch_bypassed(struct agent *, const struct conf_entry *);

/* agent_look.c: a second look at what watches wait for. */
void agent_poll_open(struct agent *);

/* agent_poison.c: requests that end backend servers, kept on the platform. */
void agent_poison_open(struct agent *);
void agent_poison_merge(struct agent *, const struct msg_suspects *);
json_t *agent_poison_spec(struct agent *);
void agent_poison_merge_listed(struct agent *, const json_t *);
void agent_poison_send_to_gate(struct agent *);

/* agent_box.c: the platform's list of boxes, and the status of ours. */
void agent_box_fetch_list(struct agent *);
void agent_box_tick(struct agent *);
void agent_box_resume_calls(struct agent *);
void agent_box_schedule_status(struct agent *);

/* agent_lapse.c: backend servers whose entries have gone from the platform. */
void agent_deletion_open(struct agent *);
bool agent_deletion_hold(struct agent *, const struct conf_entry *, uint64_t);

/* agent_peer.c: what goes between boxes. */
void agent_peer_open(struct agent *);
void agent_peer_configure(struct agent *);
void agent_peer_on_message(void *, const struct msg *);
void agent_peer_tick(struct agent *, int64_t now);
void agent_peer_on_boxes_listed(struct agent *);
void agent_peer_announce_ready(struct agent *);
void agent_peer_announce_leaving(struct agent *);
void agent_peer_suspect(struct agent *, struct str box);
struct msg agent_peer_own_state(const struct agent *);
void agent_peer_announce_outage(struct agent *, bool blind);

/* agent_gate.c: what goes between us and our gate. */
void agent_gate_send_state(struct agent *);
void agent_gate_send_ready(struct agent *);
void agent_gate_schedule_members(struct agent *);
void agent_gate_on_status(struct agent *, const struct msg *);
void agent_gate_tick(struct agent *, int64_t now);

/* agent_scope.c: what the box holds of the configuration. */
void agent_scope_open(struct agent *);
void agent_scope_update(struct agent *);
bool agent_scope_is_split(struct agent *);
bool agent_scope_includes(struct agent *, const struct agent_feed *);
bool agent_conf_is_complete(const struct agent *);

/* agent_push.c: messages to many boxes. */
void agent_push_open(struct agent *);
void agent_push_to_all(struct agent *, struct msg *);
void agent_push_queue_change(struct agent *, const struct conf_entry *);

/* agent_probe.c: probes of backend servers, and what others found. */
void agent_probe_open(struct agent *);
void agent_probe_tick(struct agent *, int64_t now);
void agent_probe_on_health(struct agent *, const struct msg_health *);
void agent_probe_send_to_gate(struct agent *);

/* agent_stat.c */
struct cnt *agent_stat_open(void);
void agent_stat_page(void *, h2o_req_t *);

#endif
