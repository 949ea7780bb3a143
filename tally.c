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
#include <stdio.h>

#include "tally.h"

/* The capacity counts as reduced if one slot in so many is left out. */
enum { REDUCED_SHARE = 3 };

static const char *const reason_names[LEFT_MAX] = {
    [LEFT_EVACUATED] = "evacuated",
    [LEFT_DRAINING] = "draining",
    [LEFT_DOWN] = "down",
    [LEFT_EJECTED] = "ejected",
    [LEFT_VERSION] = "version",
    [LEFT_TRIAL] = "trial",
    [LEFT_PAUSE] = "pause",
    [LEFT_BACKOFF] = "backoff",
    [LEFT_COLD] = "cold",
    [LEFT_RATE] = "rate",
    [LEFT_LIMIT] = "limit",
    [LEFT_SLOW] = "slow",
};

static const char *const queue_names[WAITING_MAX] = {
    [WAITING_INTERACTIVE] = "interactive",
    [WAITING_BULK] = "bulk",
    [WAITING_LATE] = "late",
    [WAITING_TRIAL] = "trial",
    [WAITING_OVER_SHARE] = "over_share",
};

const char *
tally_reason_name(enum tally_reason reason)
{
	return reason_names[reason];
}

const char *
tally_queue_name(enum tally_queue queue)
{
	return queue_names[queue];
}

size_t
tally_waiting(const struct tally *t)
{
	size_t n = 0;
	int i;

	for (i = 0; i < WAITING_MAX; i++)
		n += t->waiting[i];
	return n;
}

void
tally_print_left_out(const struct tally *t, char *text, size_t size)
{
	size_t used = 0;
	int i, n;

	text[0] = '\0';
	for (i = 0; i < LEFT_MAX; i++) {
		if (t->left_out[i] == 0)
			continue;
		n = snprintf(text + used, size - used, "%s%s=%d",
		    used == 0 ? "" : " ", reason_names[i], t->left_out[i]);
		if (n < 0 || (size_t)n >= size - used)
			return;
		used += (size_t)n;
	}
}

static bool
is_reduced(const struct tally *t)
{
	return t->slots > 0 && tally_waiting(t) > 0 &&
	    (t->slots - t->usable) * REDUCED_SHARE >= t->slots;
}

/* Starts the time of the state that holds now, and ends that of the other. */
static void
record_state(struct tally_alarm *a, bool bad, int64_t now)
{
	int64_t *starts = bad ? &a->bad_since : &a->good_since;

	if (*starts == 0)
		*starts = now;
	if (bad)
		a->good_since = 0;
	else
		a->bad_since = 0;
}

enum tally_change
tally_alarm_update(
    struct tally_alarm *a, const struct tally *t, int64_t now, int64_t *lasted)
{
	bool bad = is_reduced(t);
	int64_t since;

	record_state(a, bad, now);
	since = bad ? a->bad_since : a->good_since;
	if (bad == a->reduced || now - since < TALLY_HOLD_NS ||
	    (a->changed_at != 0 && now - a->changed_at < TALLY_GAP_NS))
		return TALLY_UNCHANGED;
	a->reduced = bad;
	a->changed_at = now;
	if (bad) {
		a->reduced_since = since;
		return TALLY_REDUCED;
	}
	*lasted = since - a->reduced_since;
	return TALLY_RESTORED;
}
