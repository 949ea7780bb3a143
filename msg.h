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
 * Messages between the agents and gates of the fleet, as msgpack arrays.  The
 * first element is the kind and the second the inbox of the sender; the others
 * are the fields of the kind, in the order that msg.c defines.
 */
enum msg_kind {
	/* Agent to agent, and agent to its gate: state of the sender. */
	MSG_ANNOUNCEMENT,
	MSG_HEARTBEAT, /* agent to agent: the same if nothing has changed */
	MSG_BUCKETS, /* digests of all buckets of the configuration */
	MSG_VERSIONS, /* versions of all objects in some buckets */
	MSG_OBJECT_REQUEST, /* requests objects */
	MSG_OBJECTS, /* objects */
	MSG_MEMBERS, /* live boxes; from an agent to its gate: the hubs */
	MSG_GATE_STATUS, /* gate to its agent: state of the gate */
	MSG_HEALTH, /* results of probes, to agents and gates */
	MSG_CAPACITY, /* owner to owner of a service: capacity of its hall */
	MSG_PING, /* gate to gate: liveness check */
	MSG_PONG, /* its reply */
	MSG_DEFLATED, /* another message, compressed */
	MSG_SUSPECTS, /* gates, agents: requests that may crash servers */
	MSG_REPORTS, /* gate to gate: reports of backend servers */
	MSG_ROLLOUT, /* owner to owner of a service: state of a roll-out */
	MSG_RATE_QUERY, /* gate to gate: does a rate limit allow a request? */
	MSG_RATE_GRANT, /* its reply */
	MSG_SHARD_STATE, /* owner of a shard to the next one: its state */
	MSG_RATE_USAGE, /* gate to gate: what customers were granted */
	MSG_ATTEMPT_END, /* gate to owner: an attempt that it assigned ended */
	MSG_KIND_MAX
};

/* A list of records of one type. */
struct msg_list {
	void *items; /* array; each list says of which type */
	size_t n;
};

/* Summary of the configuration that a process holds. */
struct msg_conf_summary {
	uint64_t digest; /* conf_digest() */
	uint64_t rules_digest; /* conf_digest_of() its rules */
	uint64_t floor; /* of all that it holds */
	bool rules_only; /* it holds rules only, no backend servers */
	/* 1 + ms since the platform confirmed its rules; 0: never */
	uint64_t confirmed_age;
	uint64_t epoch; /* of the floor; 0: not told */
};

struct msg_announcement {
	struct memb_info self;
	struct msg_conf_summary conf_summary;
	uint64_t hubs_digest; /* memb_digest_hubs() of the sender */
	uint64_t hall_digest; /* memb_digest_hall() of the sender */
	bool expects_reply;
	struct msg_list updates; /* struct memb_info, of other boxes */
};

struct msg_heartbeat {
	struct str box;
	uint64_t started_ms, incarnation; /* of the sender's state */
	uint64_t hubs_digest, hall_digest; /* as in struct msg_announcement */
	struct msg_conf_summary conf_summary;
	bool expects_reply;
};

struct msg_u64 {
	uint64_t v;
};

struct msg_buckets {
	bool rules_only; /* the buckets of backend servers do not count */
	struct msg_list digests; /* struct msg_u64, CONF_BUCKETS of them */
};

/*
 * Versions are sent as their revision and, behind all other elements, their
 * epoch, which boxes of older builds do not have.
 */
struct msg_version {
	struct str key;
	uint64_t version; /* in force */
	uint64_t rejected_version; /* rejected; 0: none */
	uint64_t hash; /* `hash` of struct conf_entry; 0 for a deletion */
	/* Epochs of the versions; 0: not told. */
	uint64_t epoch, rejected_epoch;
};

struct msg_versions {
	uint64_t buckets; /* one bit for each bucket that is listed */
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
	struct str spec; /* JSON text, compressed if `size` is not 0 */
	uint64_t size; /* bytes of the text if it is compressed */
	uint64_t hash; /* `hash` of struct conf_entry */
	uint64_t epoch; /* of the version; 0: not told */
	uint64_t serial; /* of struct conf_object */
};

struct msg_objects {
	struct msg_list objects; /* struct msg_object */
};

struct msg_members {
	struct msg_list members; /* struct memb_info */
	uint64_t serving_gates; /* to a gate: serving gates of the fleet */
	bool is_hub; /* to a gate: its box is a hub */
};

struct msg_gate_status {
	struct str box;
	uint64_t started_ms; /* start of the gate, ms since 1970 */
	struct msg_conf_summary conf_summary;
	uint64_t object_count; /* in its configuration */
	bool leaving;
	bool ready; /* it serves */
	struct str suspect_box; /* its gate does not reply; empty: none */
};

/* The state of a backend server as found by probes. */
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
	uint64_t cold_ms; /* remaining time of its slow start; 0: warm */
};

struct msg_health {
	struct msg_list states; /* struct msg_backend_health */
};

struct msg_capacity {
	struct str service;
	struct str hall;
	uint64_t slot_tenths; /* usable slots, in use or free, times ten */
	uint64_t free_slots;
	uint64_t queued; /* requests in the queue */
};

/* struct poison_record, with ages in place of times. */
struct msg_suspect {
	uint64_t fingerprint_hi, fingerprint_lo, fingerprint_caller;
	uint64_t trials[POISON_TRIALS];
	uint64_t crash_age_ms; /* since the last crash; 0: none */
	uint64_t cleared_age_ms; /* since the last response; 0: none */
};

struct msg_suspects {
	struct msg_list suspects; /* struct msg_suspect */
};

/* struct backend_report, with an age in place of a time. */
struct msg_report {
	struct str backend;
	uint64_t started_ms; /* its start, ms since 1970; 0: unknown */
	bool leaving; /* it accepts no new requests */
	uint64_t rate_milli; /* requests in 1000 s; 0: no limit */
	uint64_t age_ms; /* age of the report of the rate */
};

struct msg_reports {
	struct msg_list reports; /* struct msg_report */
};

/* struct roll_report of the owner of a service in a hall. */
struct msg_rollout {
	struct str service;
	struct str hall;
	struct str box;
	struct str version; /* the new one */
	uint64_t age_ms;
	uint64_t state; /* enum roll_state */
	uint64_t responses, failures;
	uint64_t old_in_flight;
	/* Sums of verdict.h, in 1/1000; 0 in those of older builds. */
	uint64_t fails_more_milli, slow_more_milli, slow_often_milli;
};

/* Asks the gate that owns a customer's rate limit to allow one request. */
struct msg_rate_query {
	uint64_t seq; /* repeated in the reply */
	struct str customer;
	struct str requester; /* inbox for the reply if forwarded, or empty */
	bool is_retry; /* the first owner did not reply */
	struct str hall; /* of the box that took the request; may be empty */
	/*
	 * What that box was granted by other gates, as allowance_pack() encodes
	 * it; empty: nothing, or the receiver was told before.
	 */
	struct str counts;
};

struct msg_rate_grant {
	uint64_t seq;
	bool granted;
	uint64_t wait_us; /* delay of the request, or until the next query */
	uint64_t started_ms; /* start of the gate that decided; 0: not told */
};

/* struct disp_server_state, in ms and thousandths. */
struct msg_server_state {
	struct str name;
	uint64_t started_ms; /* its start, ms since 1970; 0: unknown */
	uint64_t inflight;
	uint64_t state; /* enum pick_state */
	uint64_t eject_ms, cold_ms, pause_ms; /* remaining; 0: none */
	bool cold_reported;
	uint64_t ratio_milli;
};

/* struct disp_work_state. */
struct msg_work_state {
	uint64_t kind, step, mean_us, samples;
};

/* The state of a shard for its next owner; sent once for each move. */
struct msg_shard_state {
	struct str service;
	struct str hall;
	uint64_t started_ms; /* start of the sending gate */
	uint64_t seq; /* of its messages of this kind, from 1 */
	uint64_t retry_milli; /* tokens of the retry budget, thousandths */
	uint64_t mean_us; /* mean service time; 0: unknown */
	struct msg_list servers; /* struct msg_server_state */
	struct msg_list work; /* struct msg_work_state */
};

/* What a struct msg_rate_usage is for. */
enum msg_rate_usage_kind {
	RATE_USAGE_REPORT, /* what the sender granted to customers */
	RATE_USAGE_REQUEST, /* requests such reports, and a reply */
	RATE_USAGE_REPLY, /* the reply; the reports went before it */
	RATE_USAGE_RETURN /* grants of the receiver that were not used */
};

/*
 * A gate's grants to a customer.  In a return, `returned` is the number of
 * grants that were not used, and only the customer and the age are set besides.
 */
struct msg_rate_record {
	struct str customer;
	struct str granter; /* inbox of the gate; empty: the sender */
	uint64_t started_ms; /* its start; 0 if it is the sender */
	/* Requests granted by it, and returned to it, since its start. */
	uint64_t granted, returned;
	uint64_t age_us; /* of a return: since the grant was requested */
	/*
	 * Those that count, as allowance_pack() encodes them; empty if the
	 * receiver was told them before.
	 */
	struct str counts;
};

struct msg_rate_usage {
	uint64_t kind; /* enum msg_rate_usage_kind */
	uint64_t started_ms; /* start of the sender */
	bool is_listed; /* of a reply: the sender knows the receiver as a hub */
	bool is_informed; /* of a reply: the reports are all there is to know */
	struct msg_list records; /* struct msg_rate_record */
};

struct msg_ping {
	uint64_t nonce;
};

struct msg_attempt_end {
	uint64_t lease; /* by which the owner knows the attempt */
	uint64_t outcome; /* enum disp_outcome */
};

struct msg_deflated {
	uint64_t size; /* bytes of the message before compression */
	struct str data;
};

/* One message; the kind selects the member of the union. */
struct msg {
	enum msg_kind kind;
	struct str from; /* address of the sender's inbox */
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
		struct msg_shard_state shard_state;
		struct msg_rate_usage rate_usage;
		struct msg_attempt_end attempt_end;
		struct msg_deflated deflated;
	} u;
	msgpack_unpacked raw; /* owns the decoded objects */
	GPtrArray *arrays; /* owns the items of the lists */
};

/* Appends the encoded message to a buffer. */
void msg_encode(const struct msg *, msgpack_sbuffer *);

/*
 * Decodes a message of n bytes.  The strings of the message point into `p`,
 * which must outlive it.  Returns false and sets ERR_MESSAGE if the message is
 * malformed.  After success, call msg_release() to free what it allocated.
 */
bool msg_decode(const char *p, size_t n, struct msg *, GError **);
void msg_release(struct msg *);

/* Returns the struct tag of the kind's fields. */
const char *msg_kind_name(enum msg_kind);

#endif
