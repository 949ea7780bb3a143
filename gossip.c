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
#include "gossip.h"

enum {
	UPDATES_MAX = 12, /* updates about other boxes in one announcement */
	/*
	 * Once hubs are known, all boxes together send seeds one request in
	 * this many rounds.
	 */
	SEED_IDLE_ROUNDS = 10,
	/* Maximum rounds between requests to seeds while no hub is known. */
	SEED_ROUNDS_MAX = 16,
	/*
	 * Requests a second that a hub gets from leaves.  With the replies
	 * this takes about 5 kB/s of the 6 kB/s that a box may use for control
	 * traffic.
	 */
	HUB_REQUESTS_PER_S = 24,
	/* Listed boxes of our hall that are contacted at once. */
	CONTACT_OWN_HALL_MAX = 8,
	/* Listed boxes of each other hall that are contacted at once. */
	CONTACT_OTHER_HALL_MAX = 4,
	/* Hubs of other halls contacted at once if one of ours is silent. */
	FALLBACK_REQUESTS = 2,
	LOST_REQUESTS_MAX = 8, /* dead hubs contacted in one round */
	/* Announcements sent in one go, before other I/O is handled. */
	ANNOUNCE_BATCH = 32
};

/* A live box replies to a request within this time. */
#define REPLY_WAIT_NS (300 * NS_MS)
/* Time for a request in our hall and one to other halls to get no reply. */
#define UNATTENDED_NS (2 * REPLY_WAIT_NS)
/* If the platform has not listed boxes by then, it may be unreachable. */
#define LIST_WAIT_NS (2 * NS_S)
/* Delay before listing again if no hub of our hall is known; then doubled. */
#define RELIST_NS (1 * NS_S)
#define RELIST_MAX_NS (16 * NS_S)
#define ANNOUNCE_GAP_NS (20 * NS_MS)
/*
 * If the platform lists no other box of the hall, a box cannot know if it is a
 * strong one, and waits for stronger ones to announce themselves.  A box with
 * the fraction p of a processor waits for POWER_WAIT_NS * (1 / p - 1).  A box
 * with a tenth of a processor waits for 3.6 s, longer than a stale list lags
 * behind, so that only strong boxes write to the platform and list backend
 * servers when boxes of mixed power start together.
 */
#define POWER_WAIT_NS (400 * NS_MS)
#define POWER_WAIT_MAX_NS (5 * NS_S)

struct gossip {
	struct gossip_ops ops;
	struct gossip_settings settings;
	struct memb *memb;
	const struct clk *clk;
	const struct rnd *rnd;
	/* All times are monotonic ns. */
	int64_t started;
	int64_t round_at; /* when to check if a round is due */
	int64_t turn_at; /* when the next round is due */
	/* When to send requests to other halls instead; 0: not needed. */
	int64_t fallback_at;
	/*
	 * Since when this box waits for a message of a hub that can reach the
	 * platform; 0: it does not wait.
	 */
	int64_t awaiting_hub_since;
	/* Last message of a hub that cannot reach the platform; 0: none. */
	int64_t platform_down_reported;
	unsigned rounds;
	bool is_hub; /* in the last round */
	bool seed_contacted; /* as the first list had no other box */
	unsigned seed_round; /* in which a seed is contacted next */
	unsigned seed_round_gap; /* rounds from then to the next time */
	/* The platform's list of boxes. */
	int64_t list_at; /* 0: it is being listed, or is not needed */
	int64_t list_gap;
	bool listing;
	bool list_received; /* at least once */
	bool hall_listed; /* it contained other boxes of our hall */
	/* The discovery at the start. */
	GHashTable *contacted; /* set of char *, names of boxes */
	int64_t contacted_at; /* 0: no replies are waited for */
	int64_t settle_at; /* when the discovery ends at the latest */
	bool settled;
	/* Incarnation of the own state that was announced; 0: none. */
	uint64_t announced;
	int64_t announce_at; /* the next batch; 0: sent to all */
	int64_t recheck_at; /* the next batch of rechecks; 0: none are due */
};

struct gossip *
gossip_new(const struct gossip_ops *ops, struct memb *mb, const struct clk *clk,
    const struct rnd *rnd)
{
	struct gossip *g = g_new0(struct gossip, 1);

	g->ops = *ops;
	g->memb = mb;
	g->clk = clk;
	g->rnd = rnd;
	g->started = g->round_at = g->list_at = clk_ns(clk);
	g->settle_at = g->started + LIST_WAIT_NS;
	g->list_gap = RELIST_NS;
	g->seed_round_gap = 1;
	g->contacted =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return g;
}

void
gossip_free(struct gossip *g)
{
	g_hash_table_destroy(g->contacted);
	g_free(g);
}

void
gossip_configure(struct gossip *g, const struct gossip_settings *settings)
{
	g->settings = *settings;
}

static bool
self_is_hub(struct gossip *g)
{
	return memb_is_hub(g->memb, memb_self(g->memb)->box);
}

static struct str
own_hall(struct gossip *g)
{
	return memb_self(g->memb)->hall;
}

/* Counts the other hubs of our hall. */
static size_t
count_other_hubs(struct gossip *g)
{
	const struct memb_info *hubs[MEMB_HUBS_MAX];

	return memb_hubs(g->memb, own_hall(g), hubs) - self_is_hub(g);
}

/*
 * Returns whether this box knows no other hub of its hall, or the platform has
 * not listed any other box of its hall yet.  Until it has, known hubs may be
 * wrong: if all boxes start at once, leaves that know only each other consider
 * each other hubs.
 */
static bool
lacks_listed_hub(struct gossip *g)
{
	return !g->hall_listed || count_other_hubs(g) == 0;
}

/* Sending. */

/* Starts the wait for a hub, unless the request goes to a weak box, a leaf. */
static void
start_hub_wait(struct gossip *g, struct str box)
{
	const struct memb_member *m = memb_find(g->memb, box);

	if (g->awaiting_hub_since == 0 && (m == NULL || m->strong))
		g->awaiting_hub_since = clk_ns(g->clk);
}

static void
send_announcement(
    struct gossip *g, struct str to, struct str box, bool expects_reply)
{
	const struct memb_member *members[UPDATES_MAX];
	struct memb_info infos[UPDATES_MAX];
	struct msg_announcement msg = {
	    .self = *memb_self(g->memb), .expects_reply = expects_reply};
	size_t i, n;

	n = memb_collect_updates(g->memb, g->rnd, box, members, UPDATES_MAX);
	for (i = 0; i < n; i++)
		infos[i] = members[i]->info;
	msg.hubs_digest = memb_digest_hubs(g->memb);
	msg.hall_digest = memb_digest_hall(g->memb);
	msg.conf_summary = g->ops.conf_summary(g->ops.ctx);
	msg.updates.items = infos;
	msg.updates.n = n;
	if (expects_reply) {
		memb_request_sent(g->memb, box, clk_ns(g->clk));
		start_hub_wait(g, box);
	}
	memb_self_sent(g->memb, box);
	g->ops.send_announcement(g->ops.ctx, to, &msg);
}

static void
send_heartbeat(
    struct gossip *g, struct str to, struct str box, bool expects_reply)
{
	const struct memb_info *self = memb_self(g->memb);
	struct msg_heartbeat msg = {
	    .box = self->box,
	    .started_ms = self->started_ms,
	    .incarnation = self->incarnation,
	    .hubs_digest = memb_digest_hubs(g->memb),
	    .hall_digest = memb_digest_hall(g->memb),
	    .conf_summary = g->ops.conf_summary(g->ops.ctx),
	    .expects_reply = expects_reply,
	};

	if (expects_reply) {
		memb_request_sent(g->memb, box, clk_ns(g->clk));
		start_hub_wait(g, box);
	}
	g->ops.send_heartbeat(g->ops.ctx, to, &msg);
}

/*
 * Returns whether a box was sent our present state and no updates remain to be
 * relayed to it.
 */
static bool
heartbeat_suffices(struct gossip *g, const struct memb_member *m)
{
	return memb_is_alive(m) &&
	    m->sent_incarnation == memb_self(g->memb)->incarnation &&
	    !memb_has_updates(g->memb, m);
}

static void
send_request(struct gossip *g, const struct memb_member *m)
{
	if (heartbeat_suffices(g, m))
		send_heartbeat(g, m->info.inbox, m->info.box, true);
	else
		send_announcement(g, m->info.inbox, m->info.box, true);
}

static bool
request_random(struct gossip *g, enum memb_target target)
{
	const struct memb_member *m = memb_pick_target(g->memb, g->rnd, target);

	if (m != NULL)
		send_request(g, m);
	return m != NULL;
}

/* Collects the members that a box must know. */
struct relevant_members {
	struct gossip *gossip;
	const struct memb_member *to;
	GArray *infos; /* struct memb_info */
};

static void
add_if_relevant(void *ctx, const struct memb_member *m)
{
	struct relevant_members *c = ctx;

	if (m != c->to && memb_should_list(c->gossip->memb, m) &&
	    memb_must_know(c->gossip->memb, c->to, m))
		g_array_append_val(c->infos, m->info);
}

static void
send_members(struct gossip *g, struct str to, struct str box)
{
	struct relevant_members c = {g, memb_find(g->memb, box),
	    g_array_new(FALSE, FALSE, sizeof(struct memb_info))};
	struct msg_members list = {0};

	memb_each(g->memb, add_if_relevant, &c);
	list.members.items = (struct memb_info *)c.infos->data;
	list.members.n = c.infos->len;
	if (list.members.n > 0)
		g->ops.send_members(g->ops.ctx, to, &list);
	g_array_free(c.infos, TRUE);
}

/* Rounds of requests. */

/*
 * Returns whether a seed is to be contacted in this round.  While no listed hub
 * is known, this starts with the second round, so that the platform's list has
 * time to arrive, and the gap doubles each time.  Later it is rare enough that
 * seeds get few requests from the whole fleet.
 */
static bool
should_contact_seed(struct gossip *g)
{
	if (json_array_size(g->settings.seeds) == 0 || g->rounds == 0)
		return false;
	if (!lacks_listed_hub(g)) {
		g->seed_round_gap = 1;
		g->seed_round = g->rounds;
		return rnd_below(g->rnd,
			   SEED_IDLE_ROUNDS *
			       memb_count_fleet_serving(g->memb)) == 0;
	}
	if (g->rounds < g->seed_round)
		return false;
	g->seed_round = g->rounds + g->seed_round_gap;
	g->seed_round_gap = MIN(g->seed_round_gap * 2, SEED_ROUNDS_MAX);
	return true;
}

/* Returns whether a seed other than this box was contacted. */
static bool
contact_random_seed(struct gossip *g)
{
	size_t n = json_array_size(g->settings.seeds), i, first;
	struct str seed;

	first = n == 0 ? 0 : rnd_below(g->rnd, n);
	for (i = 0; i < n; i++) {
		seed = str_c(json_string_value(
		    json_array_get(g->settings.seeds, (first + i) % n)));
		if (str_eq(seed, memb_self(g->memb)->inbox))
			continue;
		send_announcement(g, seed, str_c(NULL), true);
		return true;
	}
	return false;
}

static void
contact_seed(struct gossip *g)
{
	if (should_contact_seed(g))
		contact_random_seed(g);
}

/*
 * Contacts one dead hub of each hall.  They may have returned, or this box may
 * have been cut off from them.  As this happens in each round, they are known
 * again within a few seconds of their return.
 */
static void
contact_lost(struct gossip *g)
{
	const struct memb_member *members[LOST_REQUESTS_MAX];
	size_t n = memb_pick_lost(g->memb, g->rnd, members, LOST_REQUESTS_MAX),
	       i;

	for (i = 0; i < n; i++)
		send_announcement(
		    g, members[i]->info.inbox, members[i]->info.box, true);
}

/* Publishes the serving gates of our hall if they changed by over a quarter. */
static void
update_serving_gates(struct gossip *g)
{
	struct memb_info *self = memb_self(g->memb);
	uint64_t gates = memb_count_serving(g->memb);
	uint64_t change = gates > self->serving_gates
	    ? gates - self->serving_gates
	    : self->serving_gates - gates;

	if (change * 4 <= self->serving_gates)
		return;
	self->serving_gates = gates;
	memb_self_changed(g->memb);
}

uint64_t
gossip_serving_gates(struct gossip *g)
{
	const struct memb_info *hubs[MEMB_HUBS_MAX];
	size_t n = memb_hubs(g->memb, own_hall(g), hubs), i;
	uint64_t gates = 0;

	for (i = 0; i < n; i++)
		gates = MAX(gates, hubs[i]->serving_gates);
	return gates;
}

/*
 * Returns the interval between rounds.  Leaves stretch it so that all leaves of
 * a hall together send its hubs at most HUB_REQUESTS_PER_S each.
 */
static int64_t
round_interval(struct gossip *g)
{
	size_t n = count_other_hubs(g) + self_is_hub(g);
	uint64_t gates = gossip_serving_gates(g);
	uint64_t rate_max = (uint64_t)MAX(n, 1u) * HUB_REQUESTS_PER_S;

	if (self_is_hub(g) || gates <= rate_max)
		return g->settings.announce_interval_ns;
	return (int64_t)((double)g->settings.announce_interval_ns *
	    (double)gates / (double)rate_max);
}

/*
 * A box that becomes a hub, as the hubs of its hall are lost, is not the only
 * one: it looks for the others as often as at its start.
 */
static void
restart_discovery(struct gossip *g, int64_t now)
{
	g->list_gap = RELIST_NS;
	g->seed_round_gap = 1;
	g->seed_round = g->rounds;
	if (!g->listing)
		g->list_at = now + rnd_jitter(g->rnd, g->list_gap);
}

static void
run_round(struct gossip *g, int64_t now)
{
	bool is_hub, sent_to_hub;

	g->round_at =
	    now + rnd_jitter(g->rnd, g->settings.announce_interval_ns);
	/* The turn does not matter while a hub of our hall is silent. */
	if (now < g->turn_at && memb_oldest_unanswered(g->memb) == 0) {
		g->round_at = g->turn_at;
		return;
	}
	is_hub = self_is_hub(g);
	if (is_hub && !g->is_hub && g->rounds > 0 && lacks_listed_hub(g))
		restart_discovery(g, now);
	g->is_hub = is_hub;
	sent_to_hub = request_random(g, MEMB_OWN_HALL_HUB);
	if (is_hub)
		request_random(g, MEMB_OWN_HALL_LEAF);
	if (is_hub || !sent_to_hub)
		request_random(g, MEMB_OTHER_HALL_HUB);
	g->fallback_at = now + REPLY_WAIT_NS;
	if (is_hub)
		contact_lost(g);
	contact_seed(g);
	if (is_hub)
		update_serving_gates(g);
	if (g->list_at == 0 && !g->listing && lacks_listed_hub(g))
		g->list_at = now + rnd_jitter(g->rnd, g->list_gap);
	g->rounds++;
	g->turn_at = now + rnd_jitter(g->rnd, round_interval(g));
	g->round_at = MIN(g->round_at, g->turn_at);
}

bool
gossip_has_unresponsive_peer(const struct gossip *g)
{
	int64_t since = memb_oldest_unanswered(g->memb);

	return since != 0 && clk_ns(g->clk) - since >= REPLY_WAIT_NS;
}

bool
gossip_is_unattended(const struct gossip *g)
{
	return g->awaiting_hub_since != 0 &&
	    clk_ns(g->clk) - g->awaiting_hub_since >= UNATTENDED_NS;
}

bool
gossip_hubs_lost_platform(const struct gossip *g)
{
	return g->platform_down_reported != 0 &&
	    g->platform_down_reported >= g->awaiting_hub_since;
}

void
gossip_start_round_now(struct gossip *g)
{
	g->round_at = g->turn_at = clk_ns(g->clk);
}

/* Returns whether a request was sent to a box without an unanswered one. */
static bool
request_responsive(struct gossip *g, enum memb_target target)
{
	const struct memb_member *m =
	    memb_pick_responsive(g->memb, g->rnd, target);

	if (m != NULL)
		send_request(g, m);
	return m != NULL;
}

/*
 * Sends requests to hubs of other halls, a few at a time until one replies, if
 * a hub does not reply or our hall has none.  Frozen hubs relay nothing, and
 * are declared dead only after three seconds: without this, changes of the
 * configuration reached the leaves of a hall with frozen hubs 2.7 s after they
 * were acknowledged, instead of within two seconds.  The other hubs of our hall
 * are asked as well: several that died at once are found at about the same
 * time.
 */
static void
run_fallback(struct gossip *g, int64_t now)
{
	bool sent;
	unsigned i;

	g->fallback_at = 0;
	if (!memb_has_silent_hub(g->memb, now - REPLY_WAIT_NS) &&
	    count_other_hubs(g) > 0)
		return;
	sent = request_responsive(g, MEMB_OWN_HALL_HUB);
	for (i = 0; i < FALLBACK_REQUESTS; i++)
		sent = request_responsive(g, MEMB_OTHER_HALL_HUB) || sent;
	if (sent)
		g->fallback_at = now + REPLY_WAIT_NS;
}

/*
 * Ends the fallback if a box of another hall has replied, or if no other hall
 * has hubs.
 */
static void
end_fallback(struct gossip *g, struct str box)
{
	const struct memb_member *m = memb_find(g->memb, box);

	if (m == NULL)
		return;
	if (!str_eq(m->info.hall, own_hall(g)) ||
	    memb_count_hubs(g->memb) == count_other_hubs(g) + self_is_hub(g))
		g->fallback_at = 0;
}

/* Discovery: the first requests, to boxes that the platform lists. */

struct discovery {
	struct gossip *gossip;
	GPtrArray *boxes; /* const struct memb_member * */
	bool has_own_hall; /* some of them are in our hall */
};

static void
add_candidate(void *ctx, const struct memb_member *m)
{
	struct discovery *disc = ctx;
	struct gossip *g = disc->gossip;

	if (!m->listed || !m->strong || m->last_update != 0 ||
	    m->info.leaving || m->info.inbox.n == 0 ||
	    g_hash_table_contains(g->contacted, m->info.box.p))
		return;
	disc->has_own_hall =
	    disc->has_own_hall || str_eq(m->info.hall, own_hall(g));
	g_ptr_array_add(disc->boxes, (void *)m);
}

static int
by_weight(const void *pa, const void *pb)
{
	const struct memb_member *const *a = pa, *const *b = pb;

	return (*a)->weight > (*b)->weight ? -1 : (*a)->weight < (*b)->weight;
}

/* Number of boxes contacted in one hall. */
struct quota {
	struct str hall;
	unsigned n;
};

static unsigned *
quota_of(GArray *quotas, struct str hall)
{
	struct quota add = {hall, 0};
	guint i;

	for (i = 0; i < quotas->len; i++)
		if (str_eq(g_array_index(quotas, struct quota, i).hall, hall))
			return &g_array_index(quotas, struct quota, i).n;
	g_array_append_val(quotas, add);
	return &g_array_index(quotas, struct quota, quotas->len - 1).n;
}

/*
 * Counts a box and returns whether it may be contacted now.  Leaves contact
 * boxes of other halls only if the list has none of their own hall.
 */
static bool
use_quota(
    const struct discovery *disc, GArray *quotas, const struct memb_member *m)
{
	struct gossip *g = disc->gossip;
	bool in_own_hall = str_eq(m->info.hall, own_hall(g));
	unsigned max =
	    in_own_hall ? CONTACT_OWN_HALL_MAX : CONTACT_OTHER_HALL_MAX;
	unsigned *n = quota_of(quotas, m->info.hall);

	if (*n >= max ||
	    (!in_own_hall && disc->has_own_hall && !self_is_hub(g)))
		return false;
	++*n;
	return true;
}

static void
contact_listed(struct gossip *g)
{
	struct discovery disc = {g, g_ptr_array_new(), false};
	GArray *quotas = g_array_new(FALSE, FALSE, sizeof(struct quota));
	int64_t now = clk_ns(g->clk);
	const struct memb_member *m;
	guint i;

	self_is_hub(g); /* updates `strong` of all members */
	memb_each(g->memb, add_candidate, &disc);
	g_ptr_array_sort(disc.boxes, by_weight);
	g->contacted_at = 0;
	for (i = 0; i < disc.boxes->len; i++) {
		m = g_ptr_array_index(disc.boxes, i);
		if (!use_quota(&disc, quotas, m))
			continue;
		g_hash_table_add(
		    g->contacted, g_strndup(m->info.box.p, m->info.box.n));
		send_announcement(g, m->info.inbox, m->info.box, true);
		g->contacted_at = now;
	}
	g_array_free(quotas, TRUE);
	g_ptr_array_free(disc.boxes, TRUE);
}

unsigned
gossip_initial_requests(const struct gossip *g)
{
	return g_hash_table_size(g->contacted);
}

static void
count_known(void *ctx, const struct memb_member *m)
{
	*(unsigned *)ctx += m->last_update != 0;
}

/*
 * Ends the discovery once the list was received and at least half as many boxes
 * are known as were contacted.
 */
static void
check_settled(struct gossip *g)
{
	unsigned known = 0,
		 requests = gossip_initial_requests(g) + g->seed_contacted;

	if (g->settled || !g->list_received)
		return;
	memb_each(g->memb, count_known, &known);
	g->settled = known * 2 >= requests;
}

/*
 * If all boxes start at once, or the platform lost their statuses, the first
 * list has no other box.  Without a seed, each of them would serve as if it was
 * the only one until the next list.
 */
static void
contact_first_seed(struct gossip *g)
{
	unsigned known = 0;

	memb_each(g->memb, count_known, &known);
	if (known == 0 && gossip_initial_requests(g) == 0 && !g->seed_contacted)
		g->seed_contacted = contact_random_seed(g);
}

/* Contacts further listed boxes if no hub of our hall has replied. */
static void
contact_more(struct gossip *g)
{
	g->contacted_at = 0;
	if (count_other_hubs(g) == 0)
		contact_listed(g);
}

static void
note_own_hall_listed(void *ctx, const struct memb_member *m)
{
	struct gossip *g = ctx;

	g->hall_listed =
	    g->hall_listed || (m->listed && str_eq(m->info.hall, own_hall(g)));
}

/*
 * Schedules the next listing of the platform's boxes.  Hubs list periodically,
 * watchers most often; leaves list only while they know no listed hub.
 */
static void
schedule_list(struct gossip *g)
{
	int64_t delay;

	g->list_at = 0;
	if (lacks_listed_hub(g)) {
		delay = MIN(g->list_gap, g->settings.list_interval_ns);
		g->list_gap = MIN(g->list_gap * 2, RELIST_MAX_NS);
		g->list_at = clk_ns(g->clk) + rnd_jitter(g->rnd, delay);
		return;
	}
	g->list_gap = RELIST_NS;
	if (!self_is_hub(g))
		return;
	delay = memb_is_watcher(
		    g->memb, memb_self(g->memb)->box, g->settings.watchers)
	    ? g->settings.list_interval_ns
	    : g->settings.hub_list_interval_ns;
	g->list_at = clk_ns(g->clk) + rnd_jitter(g->rnd, delay);
}

void
gossip_list_received(struct gossip *g)
{
	g->listing = false;
	g->list_received = true;
	memb_each(g->memb, note_own_hall_listed, g);
	if (!g->settled)
		g->settle_at = clk_ns(g->clk) + REPLY_WAIT_NS;
	if (!g->settled || count_other_hubs(g) == 0)
		contact_listed(g);
	if (!g->settled)
		contact_first_seed(g);
	check_settled(g);
	schedule_list(g);
}

bool
gossip_is_settled(const struct gossip *g)
{
	return g->settled;
}

bool
gossip_knows_relative_power(const struct gossip *g)
{
	double power = (double)memb_self(g->memb)->power / MEMB_POWER_ONE_CPU;
	double wait = (double)POWER_WAIT_MAX_NS;

	if (power > 0)
		wait = CLAMP((double)POWER_WAIT_NS * (1 / power - 1), 0,
		    (double)POWER_WAIT_MAX_NS);
	return g->hall_listed || clk_ns(g->clk) >= g->started + (int64_t)wait;
}

bool
gossip_is_hub(struct gossip *g)
{
	return self_is_hub(g) && gossip_knows_relative_power(g);
}

/*
 * Asks boxes again that are dead here, but perhaps only as this box was cut
 * off.
 */
static void
send_rechecks(struct gossip *g, int64_t now)
{
	const struct memb_member *members[ANNOUNCE_BATCH];
	size_t n = memb_take_rechecks(g->memb, members, ANNOUNCE_BATCH), i;

	for (i = 0; i < n; i++)
		send_announcement(
		    g, members[i]->info.inbox, members[i]->info.box, true);
	g->recheck_at = n == ANNOUNCE_BATCH ? now + ANNOUNCE_GAP_NS : 0;
}

/* Announcements of a changed state. */

struct announce_targets {
	struct gossip *gossip;
	GPtrArray *boxes; /* const struct memb_member * */
	bool self_is_hub;
};

static void
add_target(void *ctx, const struct memb_member *m)
{
	struct announce_targets *targets = ctx;
	struct gossip *g = targets->gossip;
	bool in_own_hall = str_eq(m->info.hall, own_hall(g));
	bool must_know = targets->self_is_hub ? in_own_hall || m->hub_rank >= 0
					      : in_own_hall && m->hub_rank >= 0;

	if (memb_is_running(m) && must_know &&
	    m->sent_incarnation < g->announced)
		g_ptr_array_add(targets->boxes, (void *)m);
}

static void
send_announcements(struct gossip *g, int64_t now, guint max)
{
	struct announce_targets targets = {
	    g, g_ptr_array_new(), self_is_hub(g)};
	const struct memb_member *m;
	guint i;

	memb_each(g->memb, add_target, &targets);
	for (i = 0; i < MIN(targets.boxes->len, max); i++) {
		m = g_ptr_array_index(targets.boxes, i);
		send_announcement(g, m->info.inbox, m->info.box, false);
	}
	g->announce_at = targets.boxes->len > max ? now + ANNOUNCE_GAP_NS : 0;
	g_ptr_array_free(targets.boxes, TRUE);
}

void
gossip_announce(struct gossip *g, bool at_once)
{
	int64_t now = clk_ns(g->clk);

	g->announced = memb_self(g->memb)->incarnation;
	g->announce_at = now;
	if (at_once)
		send_announcements(g, now, G_MAXUINT);
}

/* Sends the announced state to newly known boxes, too. */
static void
announce_to_new_boxes(struct gossip *g)
{
	if (g->announced > 0 && g->announce_at == 0)
		g->announce_at = clk_ns(g->clk) + ANNOUNCE_GAP_NS;
}

/* Receiving. */

/*
 * Evaluates a message of a hub.  If the hub can reach the platform, the wait
 * for such a hub ends.  If it cannot, and no other hub is known that can, the
 * wait starts at once.
 */
static void
note_hub_state(struct gossip *g, const struct memb_info *box)
{
	if (!memb_is_hub(g->memb, box->box))
		return;
	if (!box->platform_unreachable) {
		g->awaiting_hub_since = 0;
		return;
	}
	g->platform_down_reported = clk_ns(g->clk);
	if (g->awaiting_hub_since == 0 && !memb_has_hub_with_platform(g->memb))
		g->awaiting_hub_since = g->platform_down_reported;
}

static bool
merge_updates(struct gossip *g, const struct msg_list *list)
{
	const struct memb_info *infos = list->items;
	int64_t now = clk_ns(g->clk);
	bool changed = false;
	size_t i;

	for (i = 0; i < list->n; i++)
		changed = memb_update(g->memb, &infos[i], now) || changed;
	return changed;
}

/*
 * Returns whether the digests of a box differ from ours.  Those of the hall
 * count between two hubs of one hall only.
 */
static bool
digests_differ(struct gossip *g, const struct memb_info *box,
    uint64_t hubs_digest, uint64_t hall_digest)
{
	if (hubs_digest != memb_digest_hubs(g->memb))
		return true;
	return self_is_hub(g) && str_eq(box->hall, own_hall(g)) &&
	    memb_is_hub(g->memb, box->box) &&
	    hall_digest != memb_digest_hall(g->memb);
}

void
gossip_on_announcement(
    struct gossip *g, struct str from, const struct msg_announcement *msg)
{
	int64_t now = clk_ns(g->clk);
	const struct memb_member *m;
	bool changed;

	memb_message_received(g->memb, msg->self.box, now);
	end_fallback(g, msg->self.box);
	changed = memb_update(g->memb, &msg->self, now);
	changed = merge_updates(g, &msg->updates) || changed;
	note_hub_state(g, &msg->self);
	m = memb_find(g->memb, msg->self.box);
	if (msg->expects_reply || (m != NULL && m->sent_incarnation == 0))
		send_announcement(g, from, msg->self.box, false);
	if (digests_differ(g, &msg->self, msg->hubs_digest, msg->hall_digest))
		send_members(g, from, msg->self.box);
	if (changed)
		announce_to_new_boxes(g);
	check_settled(g);
}

/*
 * A heartbeat suffices as reply if the sender is known and nothing has changed
 * on either side.  Otherwise full announcements are exchanged.
 */
void
gossip_on_heartbeat(
    struct gossip *g, struct str from, const struct msg_heartbeat *msg)
{
	const struct memb_member *m = memb_find(g->memb, msg->box);

	memb_message_received(g->memb, msg->box, clk_ns(g->clk));
	end_fallback(g, msg->box);
	if (m != NULL && memb_is_alive(m))
		note_hub_state(g, &m->info);
	if (m == NULL || !memb_is_alive(m) ||
	    m->info.started_ms != msg->started_ms ||
	    m->info.incarnation != msg->incarnation ||
	    digests_differ(g, &m->info, msg->hubs_digest, msg->hall_digest))
		send_announcement(g, from, msg->box, true);
	else if (msg->expects_reply && heartbeat_suffices(g, m))
		send_heartbeat(g, from, msg->box, false);
	else if (msg->expects_reply)
		send_announcement(g, from, msg->box, false);
}

void
gossip_on_members(struct gossip *g, const struct msg_members *list)
{
	if (merge_updates(g, &list->members))
		announce_to_new_boxes(g);
	check_settled(g);
}

static int64_t
earlier(int64_t a, int64_t b)
{
	return b == 0 ? a : MIN(a, b);
}

/* The list may no longer be needed, as a hub became known meanwhile. */
static void
start_list(struct gossip *g)
{
	g->list_at = 0;
	if (!lacks_listed_hub(g) && !self_is_hub(g))
		return;
	g->listing = true;
	g->ops.list_boxes(g->ops.ctx);
}

void
gossip_check_suspect(struct gossip *g, struct str box)
{
	const struct memb_member *m = memb_find(g->memb, box);

	if (m != NULL && memb_is_alive(m) && m->unanswered_since == 0)
		send_announcement(g, m->info.inbox, m->info.box, true);
	g->round_at =
	    MIN(g->round_at, clk_ns(g->clk) + g->settings.announce_interval_ns);
}

int64_t
gossip_run(struct gossip *g)
{
	int64_t now = clk_ns(g->clk), next;

	if (now >= g->round_at)
		run_round(g, now);
	if (g->fallback_at != 0 && now >= g->fallback_at)
		run_fallback(g, now);
	if (g->contacted_at != 0 && now >= g->contacted_at + REPLY_WAIT_NS)
		contact_more(g);
	if (now >= g->recheck_at)
		send_rechecks(g, now);
	g->settled = g->settled || now >= g->settle_at;
	if (g->list_at != 0 && now >= g->list_at)
		start_list(g);
	if (g->announce_at != 0 && now >= g->announce_at)
		send_announcements(g, now, ANNOUNCE_BATCH);
	next = earlier(earlier(g->round_at, g->list_at), g->announce_at);
	next = earlier(earlier(next, g->fallback_at), g->recheck_at);
	if (g->contacted_at != 0)
		next = MIN(next, g->contacted_at + REPLY_WAIT_NS);
	if (g->awaiting_hub_since != 0 && !gossip_is_unattended(g))
		next = MIN(next, g->awaiting_hub_since + UNATTENDED_NS);
	return g->settled ? next : MIN(next, g->settle_at);
}
