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
 * Polls that detect a watch whose connection is silent.  A watch waits for a
 * change, so that a dead connection looks the same as a time without changes.
 * So some of the boxes that watch also poll at intervals, with a call that
 * does not wait for a change.  The changes that a poll returns are applied like
 * those of the watch, and a poll that times out shows that the platform does
 * not answer.
 *
 * A poll must return the current state.  A stale answer, which costs a tenth,
 * cannot show that nothing changed in the last seconds, and no other call
 * checks that.
 */

enum {
	/*
	 * More boxes poll if the platform answers fewer than
	 * MEMB_WATCHERS_WITH_PLATFORM_MIN of them.
	 */
	POLLERS = 1,
	/* The first feed is polled each time, the others each third time. */
	OTHER_FEEDS_EVERY = 3,
	POLL_TIMEOUT_MS = 1000 /* a slow platform answers in about 300 ms */
};

struct poll {
	struct agent *agent;
	struct agent_feed *feed;
	int64_t started_at;
};

static void on_poll_timer(void *);

/* During a silence of the platform polls go on, to detect its end. */
static bool
is_poller(struct agent *a)
{
	return a->platform_silent ||
	    (agent_is_watcher(a) &&
		memb_is_watcher(a->memb, a->settings.box, POLLERS));
}

/*
 * An early failure is a refusal, not a silence: a platform that refuses calls
 * also closes its watches.  Polls overlap, so that a later one may already have
 * been answered.
 */
static void
record_timeout(const struct poll *poll)
{
	struct agent *a = poll->agent;

	if (clk_ns(a->clk) - poll->started_at < POLL_TIMEOUT_MS * NS_MS ||
	    poll->started_at < a->poll_answered_at)
		return;
	a->platform_silent = true;
	agent_platform_call_ended(a, PLAT_UNAVAILABLE);
}

static void
record_answer(const struct poll *poll)
{
	struct agent *a = poll->agent;

	a->poll_answered_at = MAX(a->poll_answered_at, poll->started_at);
	if (!a->platform_silent)
		return;
	a->platform_silent = false;
	agent_platform_call_ended(a, PLAT_OK);
}

static void
on_poll_done(void *ctx, enum plat_result result, json_t *body)
{
	struct poll *poll = ctx;

	if (result == PLAT_UNAVAILABLE)
		record_timeout(poll);
	else
		record_answer(poll);
	if (result == PLAT_OK)
		agent_watch_apply(poll->feed, body);
	else if (result == PLAT_TOO_OLD)
		agent_watch_history_lost(poll->feed);
	g_free(poll);
}

static void
poll_feed(struct agent_feed *f)
{
	struct agent *a = f->agent;
	struct plat_request rq = {.op = PLAT_WATCH,
	    .kind = str_c(f->kinds),
	    .version = f->reached_revision,
	    .timeout_ms = POLL_TIMEOUT_MS};
	struct poll *poll;

	if (f->reached_revision == 0 || !agent_scope_includes(a, f))
		return;
	poll = g_new0(struct poll, 1);
	poll->agent = a;
	poll->feed = f;
	poll->started_at = clk_ns(a->clk);
	cnt_add(a->cnt, AC_PLATFORM_POLLS, 1);
	if (agent_platform_call(a, &rq, on_poll_done, poll) == NULL)
		g_free(poll);
}

/* The timer runs even if polls are disabled, as a reload may enable them. */
static void
schedule_poll(struct agent *a)
{
	int64_t delay = a->settings.look_ms > 0 ? a->settings.look_ms * NS_MS
						: AGENT_RECHECK_NS;

	tmr_set(&a->tmr, &a->poll_timer,
	    clk_ns(a->clk) + rnd_jitter(a->rnd, delay), on_poll_timer, a);
}

static void
on_poll_timer(void *ctx)
{
	struct agent *a = ctx;
	unsigned i, n;

	schedule_poll(a);
	if (a->settings.look_ms == 0 || a->leaving || !is_poller(a))
		return;
	n = a->polls++ % OTHER_FEEDS_EVERY == 0 ? a->nfeeds : 1;
	for (i = 0; i < n; i++)
		poll_feed(&a->feeds[i]);
}

void
agent_poll_open(struct agent *a)
{
	schedule_poll(a);
}
