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
#ifndef POISON_H
#define POISON_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "fprint.h"

/*
 * Detects requests that crash the backend servers which run them.  Requests are
 * identified by their fingerprints.
 *
 * All requests in flight at a backend server that crashes become suspects, and
 * so do the same requests of other callers.  A suspect is retried only on a
 * backend server that runs no other request.  Such an attempt is a trial: if
 * the backend server crashes, no other request is the cause.  After
 * POISON_TRIALS trials with a crash the request is proved to be poison for its
 * caller, and after such trials of POISON_CALLERS callers it is proved for all,
 * as backend servers do not see where a request comes from.  An answer clears
 * the request for the caller that received it, so that no caller is refused
 * because of the requests of others.
 *
 * Boxes exchange their records, which may arrive in any order and more than
 * once.  No I/O is done here.
 */

enum {
	/*
	 * With the crash that made the request a suspect this makes three
	 * crashes.  One may be chance, as backend servers also crash for other
	 * reasons.
	 */
	POISON_TRIALS = 2,
	POISON_CALLERS = 2,
	/* Records that a box stores: 56 bytes each, searched linearly. */
	POISON_RECORDS_MAX = 256,
	/* Records in one message: 70 bytes each. */
	POISON_MSG_RECORDS_MAX = 32
};

/*
 * Time after the last crash for which poison is refused, and for which a
 * request is a suspect.  After it, a request that has had a trial gets one more
 * trial, as the software of the backend servers may have been repaired.  So a
 * request whose callers keep retrying costs one backend server in ten minutes.
 */
#define POISON_HOLD_NS (600 * NS_S)

enum poison_status { POISON_NONE, POISON_SUSPECT, POISON_PROVED };

/* What is known of one request of one caller; boxes exchange these. */
struct poison_record {
	struct fprint fingerprint;
	/* Random ids of the trials with a crash; 0: unused. */
	uint64_t trial_ids[POISON_TRIALS];
	int64_t crashed_at; /* last crash, in ns of the local monotonic clock */
	int64_t cleared_at; /* last answer, likewise; 0: none */
};

/* Called when the status of a request has changed. */
typedef void poison_changed_fn(void *, struct fprint, enum poison_status);

struct poison;

struct poison *poison_new(const struct clk *, const struct rnd *);
void poison_free(struct poison *);

/* Sets the callback for changes of status by an event or a record. */
void poison_listen(struct poison *, poison_changed_fn *, void *);

/* Returns the present status of a request. */
enum poison_status poison_status_of(const struct poison *, struct fprint);

/*
 * Returns when a request that is proved to be poison may be tried again, in
 * monotonic ns; 0 if it is no suspect.
 */
int64_t poison_retry_at(const struct poison *, struct fprint);

/*
 * The request was in flight at a backend server that crashed; `trial`: as the
 * only request there.
 */
void poison_record_crash(struct poison *, struct fprint, bool trial);

/* The box that forwarded the request here marked it as a suspect. */
void poison_mark_suspect(struct poison *, struct fprint);

/* A backend server answered the request with a status below 500. */
void poison_record_success(struct poison *, struct fprint);

/* Merges a record of another box, with times converted to the local clock. */
void poison_merge(struct poison *, const struct poison_record *);

/*
 * Writes up to POISON_MSG_RECORDS_MAX records to an array and returns their
 * number: those with the most trials first, then the newest.
 */
unsigned poison_records(struct poison *, struct poison_record *);

/* Returns whether a local trial ended in a crash since the last call. */
bool poison_has_unsent_trial(struct poison *);

/* Removes expired records. */
void poison_expire(struct poison *);

/* Returns the number of requests that are refused now, counted per caller. */
unsigned poison_count_proved(const struct poison *);

#endif
