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
 * A second call that notices what a watch cannot: a watch waits for a change,
 * and where its connection has gone silent that looks like a day without any.
 * So the first two of those that watch ask now and then, with a call that does
 * not wait, whether there is anything new.  What it brings is as good as what
 * the watch would have brought, and one without an answer tells of the silence.
 *
 * The answer must be of now: a stale one, which costs a tenth, cannot tell that
 * nothing has changed in the last seconds, and nothing else looks there.
 */

enum {
	LOOKERS = 1, /* and as many as it takes that two see */
	/* The rules at each look, the other feeds at one in so many. */
	OTHERS_ONE_IN = 3,
	WAIT_MS = 1000 /* a slow platform takes some 300 ms */
};

struct look {
	struct agent *agent;
	struct agent_feed *feed;
	int64_t asked_at;
};

static void on_due(void *);

/* While the platform is silent we go on, to know when it is back. */
static bool
is_looker(struct agent *a)
{
	return a->platform_silent ||
	    (agent_is_watcher(a) &&
		memb_is_watcher(a->memb, a->settings.box, LOOKERS));
}

/*
 * A platform that refuses is not silent: its watches are cut.  Looks overlap,
 * so that a later one may have been answered before.
 */
static void
note_silence(const struct look *l)
{
	struct agent *a = l->agent;

	if (clk_ns(a->clk) - l->asked_at < WAIT_MS * NS_MS ||
	    l->asked_at < a->poll_answered_at)
		return;
	a->platform_silent = true;
	agent_platform_call_ended(a, PLAT_UNAVAILABLE);
}

static void
note_answer(const struct look *l)
{
	struct agent *a = l->agent;

	a->poll_answered_at = MAX(a->poll_answered_at, l->asked_at);
	if (!a->platform_silent)
		return;
	a->platform_silent = false;
	agent_platform_call_ended(a, PLAT_OK);
}

static void
on_looked(void *ctx, enum plat_result result, json_t *body)
{
	struct look *l = ctx;

	if (result == PLAT_UNAVAILABLE)
		note_silence(l);
	else
		note_answer(l);
	if (result == PLAT_OK)
		agent_watch_apply(l->feed, body);
	else if (result == PLAT_TOO_OLD)
		agent_watch_history_lost(l->feed);
	g_free(l);
}

static void
look_at(struct agent_feed *f)
{
	struct agent *a = f->agent;
	struct plat_request rq = {.op = PLAT_WATCH,
	    .kind = str_c(f->kinds),
	    .version = f->reached_revision,
	    .timeout_ms = WAIT_MS};
	struct look *l;

	if (f->reached_revision == 0 || !agent_scope_includes(a, f))
		return;
	l = g_new0(struct look, 1);
	l->agent = a;
	l->feed = f;
	l->asked_at = clk_ns(a->clk);
	cnt_add(a->cnt, AC_PLATFORM_POLLS, 1);
	if (agent_platform_call(a, &rq, on_looked, l) == NULL)
		g_free(l);
}

/* Without a setting we wake up all the same, as it may be read anew. */
static void
look_later(struct agent *a)
{
	int64_t in = a->settings.look_ms > 0 ? a->settings.look_ms * NS_MS
					     : AGENT_RECHECK_NS;

	tmr_set(&a->tmr, &a->poll_timer,
	    clk_ns(a->clk) + rnd_jitter(a->rnd, in), on_due, a);
}

static void
on_due(void *ctx)
{
	struct agent *a = ctx;
	unsigned i, n;

	look_later(a);
	if (a->settings.look_ms == 0 || a->leaving || !is_looker(a))
		return;
	n = a->polls++ % OTHERS_ONE_IN == 0 ? a->nfeeds : 1;
	for (i = 0; i < n; i++)
		look_at(&a->feeds[i]);
}

void
agent_poll_open(struct agent *a)
{
	look_later(a);
}
