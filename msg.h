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
#ifndef MSG_H
#define MSG_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "memb.h"
#include "poison.h"
#include "str.h"

/*
 * Messages between our own processes, as msgpack arrays.  The first element
 * is the kind, the second the sender's inbox; the rest follows the shape
 * that msg.c gives for the kind.
 */
enum msg_kind {
	MSG_ANNOUNCEMENT, /* who I am, what I have, whom I know */
	MSG_HEARTBEAT, /* the same where nothing has changed, in few bytes */
	MSG_BUCKETS, /* digests of all buckets */
	MSG_VERSIONS, /* versions of all objects in some buckets */
	MSG_OBJECT_REQUEST, /* please send these objects */
	MSG_OBJECTS, /* objects */
	MSG_MEMBERS, /* boxes that are alive; to a gate: the hubs */
	MSG_GATE_STATUS, /* gate to its agent: what the gate has */
	MSG_HEALTH, /* what probes found */
	MSG_CAPACITY, /* home to home: room for a service in a hall */
	MSG_PING, /* gate to gate: are you there? */
	MSG_PONG,
	MSG_DEFLATED, /* another message, in fewer bytes */
	MSG_SUSPECTS, /* gate to gate: requests that end backend servers */
	MSG_REPORTS, /* gate to gate: what backend servers said of themselves */
	MSG_ROLLOUT, /* home to home: how far a roll-out is there */
	MSG_RATE_QUERY, /* gate to gate: may a customer make a request? */
	MSG_RATE_GRANT, /* the answer */
	MSG_KIND_MAX
};

/* A list of records of one shape. */
struct msg_list {
	void *items;
	size_t n;
};

/* Which configuration a process has. */
struct msg_conf_summary {
	uint64_t digest; /* of all that it holds */
	uint64_t rules_digest; /* of its rules */
	uint64_t floor; /* of all that it holds */
	bool rules_only; /* it holds no backend servers */
	/* ms since the platform said that its rules hold, plus 1; 0: never */
	uint64_t confirmed_age;
};

struct msg_announcement {
	struct memb_info self;
	struct msg_conf_summary conf_summary;
	uint64_t hubs_digest; /* memb_digest_hubs() of the sender */
	uint64_t hall_digest; /* memb_digest_hall() */
	bool expects_reply; /* an answer is wanted */
	struct msg_list updates; /* struct memb_info */
};

struct msg_heartbeat {
	struct str box;
	uint64_t started_ms, incarnation; /* of its last announcement */
	uint64_t hubs_digest, hall_digest; /* as in an announcement */
	struct msg_conf_summary conf_summary;
	bool expects_reply; /* an answer is wanted */
};

struct msg_u64 {
	uint64_t v;
};

struct msg_buckets {
	bool rules_only; /* those of backend servers are not to be compared */
	struct msg_list digests; /* struct msg_u64 */
};

struct msg_version {
	struct str key;
	uint64_t version;
	uint64_t rejected_version;
	uint64_t hash; /* of the contents; 0 for a deletion */
};

struct msg_versions {
	uint64_t buckets; /* a bit for each bucket listed */
	struct msg_list versions; /* struct msg_version */
};

struct msg_key {
	struct str key;
};

struct msg_object_request {
	struct msg_list keys; /* struct msg_key */
};

struct msg_object {
	struct str key;
	uint64_t version;
	bool deleted;
	struct str spec; /* JSON text, deflated if `size` is not 0 */
	uint64_t size; /* of the text, where it is deflated */
	uint64_t hash; /* of the contents, as conf_entry has it */
};

struct msg_objects {
	struct msg_list objects; /* struct msg_object */
};

struct msg_members {
	struct msg_list members; /* struct memb_info */
	uint64_t serving_gates; /* to a gate: gates that serve, of all halls */
	bool is_hub; /* to a gate: its box is a hub */
};

struct msg_gate_status {
	struct str box;
	uint64_t started_ms;
	struct msg_conf_summary conf_summary;
	uint64_t object_count;
	bool leaving;
	bool ready;
	struct str suspect_box; /* a box whose gate does not answer, or empty */
};

/* What probes found of one backend server. */
enum msg_health_state {
	HEALTH_UNKNOWN,
	HEALTH_UP,
	HEALTH_DOWN,
	HEALTH_DRAINING
};

struct msg_backend_health {
	struct str backend;
	uint64_t state; /* enum msg_health_state */
	uint64_t probed_ms; /* wall time of the probe at the prober */
};

struct msg_health {
	struct msg_list states; /* struct msg_backend_health */
};

struct msg_capacity {
	struct str service;
	struct str hall;
	uint64_t slot_tenths; /* of slots that may be used, taken or free */
	uint64_t free_slots;
	uint64_t queued;
};

/* struct poison_record, with ages in place of times. */
struct msg_suspect {
	uint64_t fingerprint_hi, fingerprint_lo, fingerprint_caller;
	uint64_t trials[POISON_TRIALS];
	uint64_t crash_age_ms; /* ago; 0: never */
	uint64_t cleared_age_ms; /* ago; 0: never */
};

struct msg_suspects {
	struct msg_list suspects; /* struct msg_suspect */
};

/* struct backend_report, with an age in place of a time. */
struct msg_report {
	struct str backend;
	uint64_t started_ms;
	bool leaving;
	uint64_t rate_milli; /* requests in a thousand seconds */
	uint64_t age_ms; /* ago */
};

struct msg_reports {
	struct msg_list reports; /* struct msg_report */
};

/* struct roll_report, of one home of a service. */
struct msg_rollout {
	struct str service;
	struct str hall;
	struct str box;
	struct str version; /* that the order brings in */
	uint64_t age_ms; /* of the order */
	uint64_t state; /* enum roll_state */
	uint64_t answers, failures; /* of the new version */
	uint64_t old_in_flight; /* requests at servers of the old one */
};

struct msg_rate_query {
	uint64_t seq;
	struct str customer;
	struct str
	    requester; /* its inbox, if the sender hands it on; else empty */
	bool is_retry; /* its usual home did not answer */
};

struct msg_rate_grant {
	uint64_t seq;
	bool granted;
	uint64_t wait_us; /* until it may begin, or there will be room */
};

struct msg_ping {
	uint64_t nonce;
};

struct msg_deflated {
	uint64_t size; /* of the message in it */
	struct str data;
};

/* One message; which member of the union holds is told by the kind. */
struct msg {
	enum msg_kind kind;
	struct str from; /* sender's inbox address */
	union {
		struct msg_announcement announcement;
		struct msg_heartbeat heartbeat;
		struct msg_buckets buckets;
		struct msg_versions versions;
		struct msg_object_request object_request;
		struct msg_objects objects;
		struct msg_members members;
		struct msg_gate_status gate_status;
		struct msg_health health;
		struct msg_capacity capacity;
		struct msg_ping ping;
		struct msg_suspects suspects;
		struct msg_reports reports;
		struct msg_rollout rollout;
		struct msg_rate_query rate_query;
		struct msg_rate_grant rate_grant;
		struct msg_deflated deflated;
	} u;
	msgpack_unpacked raw; /* what the strings point into */
	GPtrArray *arrays; /* what the lists point into */
};

/* Append the bytes of a message to a buffer. */
void msg_encode(const struct msg *, msgpack_sbuffer *);

/*
 * Read a message; strings point into `p`, which must outlive it.  False and
 * ERR_MESSAGE on anything that does not have the shape.  Call msg_release()
 * after use, on success only.
 */
bool msg_decode(const char *p, size_t n, struct msg *, GError **);
void msg_release(struct msg *);

const char *msg_kind_name(enum msg_kind);

#endif
