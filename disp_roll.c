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
#include "libdisp.h"

/*
 * Two versions of a service, while a roll-out replaces one by the other.
 *
 * Load pattern: the new version's servers start beside the old ones, empty and
 * quick to answer, and would draw most of the requests at once; or nobody asks
 * them how fast they are, and they get none.  So they may be chosen only while
 * the roll-out owes them a request, and are chosen first then; their room is
 * not counted on before they get all.
 */

enum {
	/*
	 * Of so many there is a good one at each moment, for nearly all; where
	 * there are fewer in all, these must do, or nothing would be learned.
	 */
	FIRST_FREE_MIN = 3,
	/* No more requests wait for a server of the new version. */
	FIRST_HELD_MAX = 3
};

/* An answer that took so many times what was expected is slow. */
static const double SLOW_FACTOR = 3;
/* And so much more: servers that are new cost a connection each at first. */
#define SLOW_LEAST_NS (10 * NS_MS)

static void
mark(struct pick_backend *b, const struct disp *d)
{
	const struct roll *roll = d->params.roll;

	b->excluded = !(b->is_new ? d->new_may : d->old_may);
	b->passed_over = d->new_first && !b->is_new;
	b->uncounted = roll != NULL && !roll_counts_on(roll, b->is_new);
}

/* Does the next request go to the new version, if that has a good server? */
static bool
is_new_first(const struct disp *d)
{
	int64_t now = clk_ns(d->clk);
	const struct pick_backend *b;
	unsigned all = 0, n = 0;
	guint i;

	if (d->queues[CLASS_INTERACTIVE].n > FIRST_HELD_MAX)
		return false;
	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		all += b->is_new && pick_usable(b, now);
		n += b->is_new && pick_free(b, now) > 0;
	}
	return n > 0 && n >= MIN(all, FIRST_FREE_MIN);
}

void
disp_roll_mark(struct disp *d)
{
	const struct roll *roll = d->params.roll;
	guint i;

	d->new_may = roll == NULL || roll_may_send(roll, true);
	d->old_may = roll == NULL || roll_may_send(roll, false);
	d->new_first = false;
	for (i = 0; i < d->backends->len; i++)
		mark(g_ptr_array_index(d->backends, i), d);
}

/* A request is about to be placed. */
void
disp_roll_look(struct disp *d)
{
	const struct roll *roll = d->params.roll;
	bool first;
	guint i;

	if (roll == NULL)
		return;
	if (d->new_may != roll_may_send(roll, true) ||
	    d->old_may != roll_may_send(roll, false))
		disp_roll_mark(d);
	first = d->new_may && d->old_may && is_new_first(d);
	if (first == d->new_first)
		return;
	d->new_first = first;
	for (i = 0; i < d->backends->len; i++)
		mark(g_ptr_array_index(d->backends, i), d);
}

void
disp_roll_sent(struct disp *d, const struct pick_backend *b)
{
	if (d->params.roll == NULL)
		return;
	roll_sent(d->params.roll, b->is_new);
	disp_roll_look(d);
}

/* Where no pace was told, the time may be that of a slow spell. */
static bool
is_slow(const struct disp *d, const struct disp_req *r,
    const struct pick_backend *b)
{
	double took = (double)(clk_ns(d->clk) - r->sent);
	double expected = (double)r->work * r->slowdown;

	if (r->work == 0 || (!r->told && !b->mute))
		return false;
	if (r->told)
		expected *= r->pace;
	return took > SLOW_FACTOR * expected && took - expected > SLOW_LEAST_NS;
}

static enum verdict_answer
answer_of(const struct disp *d, const struct disp_req *r,
    const struct pick_backend *b, enum disp_outcome outcome)
{
	switch (outcome) {
	case DISP_FAILED:
	case DISP_CUT:
		return VERDICT_FAILED;
	case DISP_OK:
		return is_slow(d, r, b) ? VERDICT_SLOW : VERDICT_GOOD;
	case DISP_SLOW:
		return r->told || b->mute ? VERDICT_SLOW : VERDICT_NOTHING;
	case DISP_LATE:
	case DISP_GONE:
		return is_slow(d, r, b) ? VERDICT_SLOW : VERDICT_NOTHING;
	default:
		return VERDICT_NOTHING;
	}
}

void
disp_roll_done(struct disp *d, const struct disp_req *r,
    const struct pick_backend *b, enum disp_outcome outcome)
{
	struct roll *roll = d->params.roll;

	if (roll == NULL)
		return;
	roll_ended(roll, b->is_new, r->kind, answer_of(d, r, b, outcome));
	disp_roll_look(d);
}

bool
disp_roll_is_trial(const struct disp *d, const struct pick_backend *b)
{
	const struct roll *roll = d->params.roll;

	return roll != NULL && b->is_new && !roll_counts_on(roll, true);
}

unsigned
disp_old_inflight(const struct disp *d)
{
	const struct pick_backend *b;
	unsigned n = 0;
	guint i;

	for (i = 0; i < d->backends->len; i++) {
		b = g_ptr_array_index(d->backends, i);
		n += b->is_new ? 0 : (unsigned)b->inflight;
	}
	return n;
}
