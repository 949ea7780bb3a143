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
#include "libagent.h"
#include "slog.h"

/*
 * The first words with other boxes.  The platform lists who was there at some
 * time; those that are asked and answer tell of the rest.  After a fault that
 * took all boxes this brings them together at once, without each of them
 * talking to each: a weak box would be busy with that for a second.
 */

enum {
	GREET_ALL_MAX = 32, /* so few boxes are all asked */
	GREET_HALL_MAX = 8, /* else so many strong ones of our hall */
	GREET_AWAY_MAX = 24 /* and, by strong boxes, of all other halls */
};

/* Boxes that are there answer sooner; then the gate may serve anyway. */
#define ANSWERS_NS (300 * NS_MS)

/* The boxes on the platform's list. */
struct choice {
	struct agent *agent;
	GPtrArray *boxes; /* const struct memb_member * */
	uint64_t strong; /* so much power counts as strong */
	unsigned own, away; /* how many more may be asked */
};

static void on_due(void *);

void
agent_greet_open(struct agent *a)
{
	tmr_set(
	    &a->tmr, &a->greet.timer, clk_ns(a->clk) + ANSWERS_NS, on_due, a);
}

static void
be_over(struct agent *a)
{
	if (a->greet.over)
		return;
	a->greet.over = true;
	tmr_clear(&a->tmr, &a->greet.timer);
	slog(SLOG_PEER, "knows the other boxes", "asked=%u alive=%zu",
	    a->greet.asked, memb_count_alive(a->memb));
	agent_gate_tell_ready(a);
}

static void
on_due(void *ctx)
{
	be_over(ctx);
}

static void
gather(void *ctx, const struct memb_member *m)
{
	struct choice *c = ctx;

	if (m->info.inbox.n == 0 || m->info.leaving)
		return;
	c->strong = MAX(c->strong, m->info.power / MEMB_STRONG_RATIO);
	g_ptr_array_add(c->boxes, (void *)m);
}

static int
by_weight(const void *pa, const void *pb)
{
	const struct memb_member *const *a = pa, *const *b = pb;
	uint64_t wa = memb_weight(STR_LIT("greet"), (*a)->info.box);
	uint64_t wb = memb_weight(STR_LIT("greet"), (*b)->info.box);

	return wa < wb ? -1 : wa > wb;
}

/* May one more box be asked? */
static bool
takes(struct choice *c, const struct memb_info *info)
{
	unsigned *left =
	    str_eq(info->hall, c->agent->set.hall) ? &c->own : &c->away;

	if (info->power < c->strong || *left == 0)
		return false;
	--*left;
	return true;
}

static void
ask(struct choice *c)
{
	struct agent *a = c->agent;
	const struct memb_member *m;
	guint i;

	g_ptr_array_sort(c->boxes, by_weight);
	for (i = 0; i < c->boxes->len; i++) {
		m = g_ptr_array_index(c->boxes, i);
		if (m->heard != 0 || !takes(c, &m->info))
			continue;
		a->greet.asked++;
		agent_peer_hello(a, m->info.inbox, m->info.box, true);
	}
}

/* The platform has told which boxes there are: ask some, once. */
void
agent_greet_listed(struct agent *a)
{
	struct choice c = {a, NULL, 0, GREET_HALL_MAX, 0};

	if (a->greet.listed)
		return;
	a->greet.listed = true;
	c.boxes = g_ptr_array_new();
	memb_each(a->memb, gather, &c);
	a->greet.strong =
	    c.boxes->len > 0 && memb_self(a->memb)->power >= c.strong;
	if (c.boxes->len <= GREET_ALL_MAX) {
		c.strong = 0;
		c.own = c.away = GREET_ALL_MAX;
	} else if (a->greet.strong) {
		c.away = GREET_AWAY_MAX;
	}
	ask(&c);
	g_ptr_array_free(c.boxes, TRUE);
	agent_greet_answered(a);
}

static void
count_heard(void *ctx, const struct memb_member *m)
{
	*(unsigned *)ctx += m->heard != 0;
}

/* A box has told of itself: have half of those that were asked? */
void
agent_greet_answered(struct agent *a)
{
	unsigned heard = 0;

	if (!a->greet.listed || a->greet.over)
		return;
	memb_each(a->memb, count_heard, &heard);
	if (heard * 2 >= a->greet.asked)
		be_over(a);
}
