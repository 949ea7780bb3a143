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
#ifndef TALLY_H
#define TALLY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"

/*
 * The state of a shard for operators: how much of its capacity can be used, why
 * the rest cannot, what waits, and what was refused.  disp_tally() fills it in;
 * there is no I/O here, and the time is passed in.
 */

/*
 * Why a slot is left out.  A slot counts under the first reason that applies:
 * those that take out the whole backend server come first, orders of operators
 * before what the gate found itself; then those that leave a part of its slots.
 */
enum tally_reason {
	LEFT_EVACUATED, /* its hall is evacuated */
	LEFT_DRAINING, /* it drains, or reported that it is shutting down */
	LEFT_DOWN, /* health probes fail, or it answers nothing */
	LEFT_EJECTED, /* failing, or one request at a time after an ejection */
	LEFT_VERSION, /* a roll-out gives its version no requests now */
	LEFT_TRIAL, /* reserved for an isolated run: poison.h */
	LEFT_PAUSE, /* it asked for a pause */
	LEFT_BACKOFF, /* it refused a request a moment ago */
	LEFT_COLD, /* slow start, or one request at a time until it is warm */
	LEFT_RATE, /* the requests per second that it accepts are used up */
	LEFT_LIMIT, /* above its learned concurrency limit */
	LEFT_SLOW, /* requests end sooner if they wait for its slow period */
	LEFT_MAX
};

/* The queues in which requests wait. */
enum tally_queue {
	WAITING_INTERACTIVE,
	WAITING_BULK,
	WAITING_LATE, /* cannot meet their targets */
	WAITING_TRIAL, /* must run isolated */
	WAITING_OVER_SHARE, /* beyond the share of their customer */
	WAITING_MAX
};

struct tally {
	int slots; /* of all configured backend servers */
	/*
	 * Slots that are in use at usable backend servers, or may get a request
	 * now.  Together with left_out[] they are all slots.
	 */
	int usable;
	int left_out[LEFT_MAX];
	size_t waiting[WAITING_MAX];
	uint64_t refused[ERR_MAX]; /* since the shard was opened, by error */
};

/* The names of reasons and queues in logs, pages and tables. */
const char *tally_reason_name(enum tally_reason);
const char *tally_queue_name(enum tally_queue);

size_t tally_waiting(const struct tally *);

/*
 * Writes the slots that are left out as "cold=3 limit=12", only reasons with
 * any; "" if all are usable.  TALLY_TEXT_MAX bytes are enough.
 */
void tally_print_left_out(const struct tally *, char *, size_t);
enum { TALLY_TEXT_MAX = LEFT_MAX * 24 };

/*
 * Whether the capacity of a shard counts as reduced: a third or more of it is
 * left out while requests wait.  All zero at the start.
 */
struct tally_alarm {
	bool reduced;
	int64_t bad_since; /* monotonic ns; 0: it is not so now */
	int64_t good_since; /* monotonic ns; 0: it is so now */
	int64_t reduced_since; /* start of what was reported last */
	int64_t changed_at; /* time of the last report; 0: none */
};

enum tally_change { TALLY_UNCHANGED, TALLY_REDUCED, TALLY_RESTORED };

/*
 * Applies a sample and returns what is to be reported.  Each state must have
 * held for TALLY_HOLD_NS in all samples, and reports are TALLY_GAP_NS apart or
 * more.  *lasted is set for TALLY_RESTORED: how long the capacity was reduced,
 * ns.
 */
enum tally_change tally_alarm_update(
    struct tally_alarm *, const struct tally *, int64_t now, int64_t *lasted);

/*
 * The shortest targets are 400 ms for work of 160 ms, which takes 272 ms at a
 * full server: such a request is late if it waits longer than 128 ms.
 */
#define TALLY_HOLD_NS (100 * INT64_C(1000000))
/* One line each second says as much as one each 10 ms. */
#define TALLY_GAP_NS (1 * INT64_C(1000000000))

#endif
