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
 * Requests that end the backend servers which run them, by their fingerprints.
 *
 * A request that was at a backend server when it ended is a suspect, as all
 * are that ran beside it, and so is the same request of other callers.  A
 * suspect is sent again by itself only: such a try is a trial, and what ends
 * in it was not ended by another request.  After POISON_TRIALS trials of one
 * caller that ended so the request is proved to be poison for that caller, and
 * after trials of POISON_CALLERS callers for all: backend servers do not see
 * from where it comes.  An answer of a backend server clears it for the caller
 * who got it, so that nobody is refused for what others' requests do.
 *
 * What one box learns the others take as words; these may come in any order,
 * and more than once.  No I/O is done here.
 */

enum {
	/*
	 * With the end that made it a suspect that makes three: one may be
	 * chance, as backend servers end for reasons of their own too.
	 */
	POISON_TRIALS = 2,
	POISON_CALLERS = 2,
	/* Words that a box remembers: 56 bytes each, looked through in turn. */
	POISON_RECORDS_MAX = 256,
	/* Of these, how many a message carries: 70 bytes each. */
	POISON_MSG_RECORDS_MAX = 32
};

/*
 * How long after the last end poison is refused, and a suspect is one.  After
 * that one more trial of what was tried before decides, as the backend servers'
 * software may have been mended.  So a request whose callers do not give up
 * costs a backend server each ten minutes.
 */
#define POISON_HOLD_NS (600 * NS_S)

enum poison_status { POISON_NONE, POISON_SUSPECT, POISON_PROVED };

/* What is known of one request, as boxes tell each other. */
struct poison_record {
	struct fprint fingerprint;
	/* Numbers of the trials that ended so; 0: none. */
	uint64_t trial_ids[POISON_TRIALS];
	int64_t
	    crashed_at; /* the last end; monotonic ns of whoever holds this */
	int64_t cleared_at; /* the last answer; 0: none */
};

/* What is thought of a request has changed. */
typedef void poison_changed_fn(void *, struct fprint, enum poison_status);

struct poison;

struct poison *poison_new(const struct clk *, const struct rnd *);
void poison_free(struct poison *);

/* Call this whenever a word or an event changes what is thought. */
void poison_listen(struct poison *, poison_changed_fn *, void *);

/* What is thought of a request now. */
enum poison_status poison_status_of(const struct poison *, struct fprint);

/* When a request that is proved to be poison may be tried again; ns. */
int64_t poison_retry_at(const struct poison *, struct fprint);

/* It was at a backend server when that ended; in a trial, or beside others. */
void poison_record_crash(struct poison *, struct fprint, bool trial);

/* A box that passed it on takes it for a suspect. */
void poison_mark_suspect(struct poison *, struct fprint);

/* A backend server answered it, below 500. */
void poison_record_success(struct poison *, struct fprint);

/* Take another box's word, its times in ns of our own clock. */
void poison_merge(struct poison *, const struct poison_record *);

/*
 * The words worth telling, at most POISON_MSG_RECORDS_MAX: those with trials
 * first, then the newest.
 */
unsigned poison_records(struct poison *, struct poison_record *);

/* Has a trial ended, here, since this was asked last? */
bool poison_has_unsent_trial(struct poison *);

/* Forget what is too old. */
void poison_expire(struct poison *);

/* Requests that are refused now, by caller. */
unsigned poison_count_proved(const struct poison *);

#endif
