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
	GOSSIP_MEMBERS = 12, /* news in one announcement */
	SEEDS_ONE_IN = 10, /* of the fleet asks seeds in a round, at rest */
	SEED_ROUNDS_MAX = 16, /* between questions to seeds that lead nowhere */
	/*
	 * Questions a second that a hub gets from leaves: with their answers
	 * some 5 kB/s, of the 6 kB/s that a box may spend on control.
	 */
	HUB_ASKED_MAX = 24,
	GREET_NEAR_MAX =
	    8, /* listed boxes of our hall that are asked at once */
	GREET_FAR_MAX = 4, /* and, by strong boxes, of each other hall */
	OTHERS_ASKED = 2, /* hubs of other halls at once where ours is silent */
	LOST_MAX = 8, /* hubs that are dead for us, asked in one round */
	ANNOUNCE_BATCH = 32 /* boxes told at once, before I/O gets its turn */
};

/* Boxes that are there answer sooner than this. */
#define ANSWERS_NS (300 * NS_MS)
/* Those of our hall, and then two of others, had their time to answer. */
#define UNATTENDED_NS (2 * ANSWERS_NS)
/* A platform that has not listed boxes by then may be away. */
#define UNLISTED_NS (2 * NS_S)
/* The first list after one that showed no hub of our hall; then doubled. */
#define RELIST_NS (1 * NS_S)
#define RELIST_MAX_NS (16 * NS_S)
#define ANNOUNCE_GAP_NS (20 * NS_MS)
/*
 * Where the platform lists nobody a box cannot know whether it is a strong
 * one.  It waits for stronger ones, the longer the weaker it is, so much for
 * each time that its power is missing to a whole processor.  A tenth then
 * waits for 3.6 s, which is more than stale lists are behind; with it, of 473
 * boxes of a tenth and a half of a processor that start together, only the
 * strong ones write to the platform and list backend servers.
 */
#define PATIENCE_NS (400 * NS_MS)
#define PATIENCE_MAX_NS (5 * NS_S)

struct gossip {
	struct gossip_ops ops;
	struct gossip_settings set;
	struct memb *memb;
	const struct clk *clk;
	const struct rnd *rnd;
	int64_t started;
	int64_t round_at; /* the next round, or a look whether it is due */
	int64_t turn_at; /* our turn among the leaves of the hall */
	int64_t answer_at; /* then a leaf asks elsewhere; 0: it need not */
	int64_t waits_since; /* for a word of a hub that sees; 0: not */
	int64_t blind_at; /* the last word of a blind hub; 0: none */
	unsigned rounds;
	unsigned seeds_at; /* the round in which seeds are asked next */
	unsigned seeds_gap; /* rounds until the time after that */
	/* The list of boxes. */
	int64_t list_at; /* 0: is being fetched, or is not needed */
	int64_t list_gap;
	bool fetching;
	bool listed; /* it has been read */
	bool known; /* it named others of our hall */
	/* The first questions. */
	GHashTable *greeted; /* char * box: was asked */
	int64_t greeted_at; /* 0: no answer is waited for */
	int64_t settle_at; /* then we go on with whom we know */
	bool settled;
	/* Our word of this beat is for all whom it concerns. */
	uint64_t announced;
	int64_t announce_at; /* 0: all have been told */
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
	g->settle_at = g->started + UNLISTED_NS;
	g->list_gap = RELIST_NS;
	g->seeds_gap = 1;
	g->greeted =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return g;
}

void
gossip_free(struct gossip *g)
{
	g_hash_table_destroy(g->greeted);
	g_free(g);
}

void
gossip_configure(struct gossip *g, const struct gossip_settings *set)
{
	g->set = *set;
}

static bool
is_own_hub(struct gossip *g)
{
	return memb_is_hub(g->memb, memb_self(g->memb)->box);
}

static struct str
own_hall(struct gossip *g)
{
	return memb_self(g->memb)->hall;
}

/* Hubs of our hall beside ourselves. */
static size_t
count_near_hubs(struct gossip *g)
{
	const struct memb_info *hubs[MEMB_HUBS_MAX];

	return memb_hubs(g->memb, own_hall(g), hubs) - is_own_hub(g);
}

/*
 * Do we lack company: do we know no other hub of our hall, or only such as the
 * platform does not list?  Where all boxes start at once, leaves that have
 * heard of each other only would take each other for hubs.
 */
static bool
is_lonely(struct gossip *g)
{
	return !g->known || count_near_hubs(g) == 0;
}

/* What is sent. */

/* A question to a leaf does not lead to a word of the platform. */
static void
note_question(struct gossip *g, struct str box)
{
	const struct memb_member *m = memb_find(g->memb, box);

	if (g->waits_since == 0 && (m == NULL || m->strong))
		g->waits_since = clk_ns(g->clk);
}

static void
send_hello(struct gossip *g, struct str to, struct str box, bool asks)
{
	const struct memb_member *some[GOSSIP_MEMBERS];
	struct memb_info infos[GOSSIP_MEMBERS];
	struct msg_announcement h = {
	    .self = *memb_self(g->memb), .expects_reply = asks};
	size_t i, n;

	n = memb_collect_updates(g->memb, g->rnd, box, some, GOSSIP_MEMBERS);
	for (i = 0; i < n; i++)
		infos[i] = some[i]->info;
	h.hubs_digest = memb_digest_hubs(g->memb);
	h.hall_digest = memb_digest_hall(g->memb);
	h.conf_summary = g->ops.conf_summary(g->ops.ctx);
	h.updates.items = infos;
	h.updates.n = n;
	if (asks) {
		memb_request_sent(g->memb, box, clk_ns(g->clk));
		note_question(g, box);
	}
	memb_self_sent(g->memb, box);
	g->ops.announcement(g->ops.ctx, to, &h);
}

static void
send_beat(struct gossip *g, struct str to, struct str box, bool asks)
{
	const struct memb_info *self = memb_self(g->memb);
	struct msg_heartbeat b = {
	    .box = self->box,
	    .started_ms = self->started_ms,
	    .incarnation = self->incarnation,
	    .hubs_digest = memb_digest_hubs(g->memb),
	    .hall_digest = memb_digest_hall(g->memb),
	    .conf_summary = g->ops.conf_summary(g->ops.ctx),
	    .expects_reply = asks,
	};

	if (asks) {
		memb_request_sent(g->memb, box, clk_ns(g->clk));
		note_question(g, box);
	}
	g->ops.send_heartbeat(g->ops.ctx, to, &b);
}

/* Does a box know our present word, and have we nothing else to tell it? */
static bool
beat_will_do(struct gossip *g, const struct memb_member *m)
{
	return memb_is_alive(m) &&
	    m->sent_incarnation == memb_self(g->memb)->incarnation &&
	    !memb_has_updates(g->memb, m);
}

static void
ask_one(struct gossip *g, const struct memb_member *m)
{
	if (beat_will_do(g, m))
		send_beat(g, m->info.inbox, m->info.box, true);
	else
		send_hello(g, m->info.inbox, m->info.box, true);
}

static bool
ask(struct gossip *g, enum memb_target who)
{
	const struct memb_member *m = memb_pick_target(g->memb, g->rnd, who);

	if (m != NULL)
		ask_one(g, m);
	return m != NULL;
}

/* Members that concern a box. */
struct choice {
	struct gossip *gossip;
	const struct memb_member *to;
	GArray *infos; /* struct memb_info */
};

static void
choose(void *ctx, const struct memb_member *m)
{
	struct choice *c = ctx;

	if (m != c->to && memb_should_list(c->gossip->memb, m) &&
	    memb_must_know(c->gossip->memb, c->to, m))
		g_array_append_val(c->infos, m->info);
}

static void
send_members(struct gossip *g, struct str to, struct str box)
{
	struct choice c = {g, memb_find(g->memb, box),
	    g_array_new(FALSE, FALSE, sizeof(struct memb_info))};
	struct msg_members list = {0};

	memb_each(g->memb, choose, &c);
	list.members.items = (struct memb_info *)c.infos->data;
	list.members.n = c.infos->len;
	if (list.members.n > 0)
		g->ops.send_members(g->ops.ctx, to, &list);
	g_array_free(c.infos, TRUE);
}

/* Rounds of questions. */

/*
 * One of the seeds is asked while we lack company and the platform's list had
 * time to come, each time later; and then so seldom that they get few
 * questions from the whole fleet.
 */
static bool
should_ask_seed(struct gossip *g)
{
	if (json_array_size(g->set.seeds) == 0 || g->rounds == 0)
		return false;
	if (!is_lonely(g)) {
		g->seeds_gap = 1;
		g->seeds_at = g->rounds;
		return rnd_below(g->rnd,
			   SEEDS_ONE_IN * memb_count_fleet_serving(g->memb)) ==
		    0;
	}
	if (g->rounds < g->seeds_at)
		return false;
	g->seeds_at = g->rounds + g->seeds_gap;
	g->seeds_gap = MIN(g->seeds_gap * 2, SEED_ROUNDS_MAX);
	return true;
}

static void
ask_seed(struct gossip *g)
{
	size_t n = json_array_size(g->set.seeds);
	struct str seed;

	if (!should_ask_seed(g))
		return;
	seed = str_c(json_string_value(
	    json_array_get(g->set.seeds, rnd_below(g->rnd, n))));
	if (!str_eq(seed, memb_self(g->memb)->inbox))
		send_hello(g, seed, str_c(NULL), true);
}

/*
 * Hubs that are dead for us may be back, or it was we that were cut off: one of
 * each hall is asked in each round, so that they are known again within some
 * seconds of their return.
 */
static void
ask_lost(struct gossip *g)
{
	const struct memb_member *some[LOST_MAX];
	size_t n = memb_pick_lost(g->memb, g->rnd, some, LOST_MAX), i;

	for (i = 0; i < n; i++)
		send_hello(g, some[i]->info.inbox, some[i]->info.box, true);
}

/* How many gates serve in our hall is told when it has changed by a quarter. */
static void
tell_crowd(struct gossip *g)
{
	struct memb_info *self = memb_self(g->memb);
	uint64_t crowd = memb_count_serving(g->memb);
	uint64_t change = crowd > self->serving_gates
	    ? crowd - self->serving_gates
	    : self->serving_gates - crowd;

	if (change * 4 <= self->serving_gates)
		return;
	self->serving_gates = crowd;
	memb_self_changed(g->memb);
}

uint64_t
gossip_serving_gates(struct gossip *g)
{
	const struct memb_info *hubs[MEMB_HUBS_MAX];
	size_t n = memb_hubs(g->memb, own_hall(g), hubs), i;
	uint64_t crowd = 0;

	for (i = 0; i < n; i++)
		crowd = MAX(crowd, hubs[i]->serving_gates);
	return crowd;
}

/*
 * The leaves of a hall take turns, so that its hubs get no more questions than
 * they can answer beside their work.
 */
static int64_t
round_gap(struct gossip *g)
{
	size_t n = count_near_hubs(g) + is_own_hub(g);
	uint64_t crowd = gossip_serving_gates(g);
	uint64_t may = (uint64_t)MAX(n, 1u) * HUB_ASKED_MAX;

	if (is_own_hub(g) || crowd <= may)
		return g->set.announce_interval_ns;
	return (int64_t)((double)g->set.announce_interval_ns * (double)crowd /
	    (double)may);
}

static void
round_due(struct gossip *g, int64_t now)
{
	bool hub, near;

	g->round_at = now + rnd_jitter(g->rnd, g->set.announce_interval_ns);
	/* No turn is waited for while a hub of our hall is silent. */
	if (now < g->turn_at && memb_oldest_unanswered(g->memb) == 0) {
		g->round_at = g->turn_at;
		return;
	}
	hub = is_own_hub(g);
	near = ask(g, MEMB_OWN_HALL_HUB);
	if (hub)
		ask(g, MEMB_OWN_HALL_LEAF);
	if (hub || !near)
		ask(g, MEMB_OTHER_HALL_HUB);
	else
		g->answer_at = now + ANSWERS_NS;
	if (hub)
		ask_lost(g);
	ask_seed(g);
	if (hub)
		tell_crowd(g);
	if (g->list_at == 0 && !g->fetching && is_lonely(g))
		g->list_at = now + rnd_jitter(g->rnd, g->list_gap);
	g->rounds++;
	g->turn_at = now + rnd_jitter(g->rnd, round_gap(g));
	g->round_at = MIN(g->round_at, g->turn_at);
}

bool
gossip_has_unresponsive_peer(const struct gossip *g)
{
	int64_t since = memb_oldest_unanswered(g->memb);

	return since != 0 && clk_ns(g->clk) - since >= ANSWERS_NS;
}

bool
gossip_is_unattended(const struct gossip *g)
{
	return g->waits_since != 0 &&
	    clk_ns(g->clk) - g->waits_since >= UNATTENDED_NS;
}

bool
gossip_hubs_lost_platform(const struct gossip *g)
{
	return g->blind_at != 0 && g->blind_at >= g->waits_since;
}

void
gossip_start_round_now(struct gossip *g)
{
	g->round_at = g->turn_at = clk_ns(g->clk);
}

/*
 * Hubs that stand still hand nothing on, and count as dead after three seconds
 * only: until then a leaf whose hub does not answer asks those of other halls,
 * a few at a time until one answers, as they may stand still as well.
 * Failure prevented: with both hubs of a hall frozen a rule reached its leaves
 * 2.7 s after its acknowledgement; with it all of 72 leaves hear of it within
 * two seconds (300 boxes, in virtual time).
 */
static void
answer_due(struct gossip *g, int64_t now)
{
	const struct memb_member *m;
	unsigned i;

	g->answer_at = 0;
	if (!gossip_has_unresponsive_peer(g))
		return;
	for (i = 0; i < OTHERS_ASKED; i++) {
		m = memb_pick_responsive(g->memb, g->rnd, MEMB_OTHER_HALL_HUB);
		if (m == NULL)
			return;
		ask_one(g, m);
		g->answer_at = now + ANSWERS_NS;
	}
}

/* A box of another hall has answered. */
static void
note_answer(struct gossip *g, struct str box)
{
	const struct memb_member *m = memb_find(g->memb, box);

	if (m != NULL && !str_eq(m->info.hall, own_hall(g)))
		g->answer_at = 0;
}

/* The first questions, to those that the platform lists. */

struct greeting {
	struct gossip *gossip;
	GPtrArray *boxes; /* const struct memb_member * */
	bool near; /* some of them are in our hall */
};

static void
gather(void *ctx, const struct memb_member *m)
{
	struct greeting *gr = ctx;
	struct gossip *g = gr->gossip;

	if (!m->listed || !m->strong || m->last_update != 0 ||
	    m->info.leaving || m->info.inbox.n == 0 ||
	    g_hash_table_contains(g->greeted, m->info.box.p))
		return;
	gr->near = gr->near || str_eq(m->info.hall, own_hall(g));
	g_ptr_array_add(gr->boxes, (void *)m);
}

static int
by_weight(const void *pa, const void *pb)
{
	const struct memb_member *const *a = pa, *const *b = pb;

	return (*a)->weight > (*b)->weight ? -1 : (*a)->weight < (*b)->weight;
}

/* Boxes that were asked in one hall. */
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
 * May one more box of a hall be asked now?  Those that will be leaves ask
 * others only where their hall has none that is listed.
 */
static bool
takes(const struct greeting *gr, GArray *quotas, const struct memb_member *m)
{
	struct gossip *g = gr->gossip;
	bool near = str_eq(m->info.hall, own_hall(g));
	unsigned most = near ? GREET_NEAR_MAX : GREET_FAR_MAX;
	unsigned *n = quota_of(quotas, m->info.hall);

	if (*n >= most || (!near && gr->near && !is_own_hub(g)))
		return false;
	++*n;
	return true;
}

static void
greet(struct gossip *g)
{
	struct greeting gr = {g, g_ptr_array_new(), false};
	GArray *quotas = g_array_new(FALSE, FALSE, sizeof(struct quota));
	int64_t now = clk_ns(g->clk);
	const struct memb_member *m;
	guint i;

	is_own_hub(g); /* finds out who is strong */
	memb_each(g->memb, gather, &gr);
	g_ptr_array_sort(gr.boxes, by_weight);
	g->greeted_at = 0;
	for (i = 0; i < gr.boxes->len; i++) {
		m = g_ptr_array_index(gr.boxes, i);
		if (!takes(&gr, quotas, m))
			continue;
		g_hash_table_add(
		    g->greeted, g_strndup(m->info.box.p, m->info.box.n));
		send_hello(g, m->info.inbox, m->info.box, true);
		g->greeted_at = now;
	}
	g_array_free(quotas, TRUE);
	g_ptr_array_free(gr.boxes, TRUE);
}

unsigned
gossip_initial_requests(const struct gossip *g)
{
	return g_hash_table_size(g->greeted);
}

static void
count_heard(void *ctx, const struct memb_member *m)
{
	*(unsigned *)ctx += m->last_update != 0;
}

/* Have half of those that were asked told of themselves, if any? */
static void
look_settled(struct gossip *g)
{
	unsigned heard = 0, asked = gossip_initial_requests(g);

	if (g->settled || !g->listed)
		return;
	memb_each(g->memb, count_heard, &heard);
	g->settled = heard * 2 >= asked;
}

/* Where no hub of our hall has answered, others that are listed are asked. */
static void
answers_due(struct gossip *g)
{
	g->greeted_at = 0;
	if (count_near_hubs(g) == 0)
		greet(g);
}

static void
name_near(void *ctx, const struct memb_member *m)
{
	struct gossip *g = ctx;

	g->known = g->known || (m->listed && str_eq(m->info.hall, own_hall(g)));
}

/*
 * Those that watch list anew now and then; the rest only while they lack
 * company.
 */
static void
plan_list(struct gossip *g)
{
	int64_t in;

	g->list_at = 0;
	if (is_lonely(g)) {
		in = MIN(g->list_gap, g->set.list_interval_ns);
		g->list_gap = MIN(g->list_gap * 2, RELIST_MAX_NS);
		g->list_at = clk_ns(g->clk) + rnd_jitter(g->rnd, in);
		return;
	}
	g->list_gap = RELIST_NS;
	if (!is_own_hub(g))
		return;
	in = memb_is_watcher(g->memb, memb_self(g->memb)->box, g->set.watchers)
	    ? g->set.list_interval_ns
	    : g->set.hub_list_interval_ns;
	g->list_at = clk_ns(g->clk) + rnd_jitter(g->rnd, in);
}

void
gossip_list_received(struct gossip *g)
{
	g->fetching = false;
	g->listed = true;
	memb_each(g->memb, name_near, g);
	if (!g->settled)
		g->settle_at = clk_ns(g->clk) + ANSWERS_NS;
	if (!g->settled || count_near_hubs(g) == 0)
		greet(g);
	look_settled(g);
	plan_list(g);
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
	double patience = (double)PATIENCE_MAX_NS;

	if (power > 0)
		patience = CLAMP((double)PATIENCE_NS * (1 / power - 1), 0,
		    (double)PATIENCE_MAX_NS);
	return g->known || clk_ns(g->clk) >= g->started + (int64_t)patience;
}

bool
gossip_is_hub(struct gossip *g)
{
	return is_own_hub(g) && gossip_knows_relative_power(g);
}

/* Announcements. */

struct audience {
	struct gossip *gossip;
	GPtrArray *boxes; /* const struct memb_member * */
	bool hub; /* we are one */
};

static void
invite(void *ctx, const struct memb_member *m)
{
	struct audience *au = ctx;
	struct gossip *g = au->gossip;
	bool near = str_eq(m->info.hall, own_hall(g));
	bool concerned =
	    au->hub ? near || m->hub_rank >= 0 : near && m->hub_rank >= 0;

	if (memb_is_alive(m) && concerned && m->sent_incarnation < g->announced)
		g_ptr_array_add(au->boxes, (void *)m);
}

static void
announce_due(struct gossip *g, int64_t now, guint most)
{
	struct audience au = {g, g_ptr_array_new(), is_own_hub(g)};
	const struct memb_member *m;
	guint i;

	memb_each(g->memb, invite, &au);
	for (i = 0; i < MIN(au.boxes->len, most); i++) {
		m = g_ptr_array_index(au.boxes, i);
		send_hello(g, m->info.inbox, m->info.box, false);
	}
	g->announce_at = au.boxes->len > most ? now + ANNOUNCE_GAP_NS : 0;
	g_ptr_array_free(au.boxes, TRUE);
}

void
gossip_announce(struct gossip *g, bool at_once)
{
	int64_t now = clk_ns(g->clk);

	g->announced = memb_self(g->memb)->incarnation;
	g->announce_at = now;
	if (at_once)
		announce_due(g, now, G_MAXUINT);
}

/* Boxes that are new to us have not heard what was announced before. */
static void
announce_to_new(struct gossip *g)
{
	if (g->announced > 0 && g->announce_at == 0)
		g->announce_at = clk_ns(g->clk) + ANNOUNCE_GAP_NS;
}

/* What comes in. */

/*
 * A hub that the platform answers knows what there is.  Where no hub is left
 * that it answers, the word of one tells us at once.
 */
static void
note_word(struct gossip *g, const struct memb_info *box)
{
	if (!memb_is_hub(g->memb, box->box))
		return;
	if (!box->platform_unreachable) {
		g->waits_since = 0;
		return;
	}
	g->blind_at = clk_ns(g->clk);
	if (g->waits_since == 0 && !memb_has_hub_with_platform(g->memb))
		g->waits_since = g->blind_at;
}

static bool
take_infos(struct gossip *g, const struct msg_list *list)
{
	const struct memb_info *infos = list->items;
	int64_t now = clk_ns(g->clk);
	bool news = false;
	size_t i;

	for (i = 0; i < list->n; i++)
		news = memb_update(g->memb, &infos[i], now) || news;
	return news;
}

/* Does a box know otherwise than we do what it should know? */
static bool
differs(
    struct gossip *g, const struct memb_info *box, uint64_t hubs, uint64_t near)
{
	if (hubs != memb_digest_hubs(g->memb))
		return true;
	return is_own_hub(g) && str_eq(box->hall, own_hall(g)) &&
	    memb_is_hub(g->memb, box->box) && near != memb_digest_hall(g->memb);
}

void
gossip_on_announcement(
    struct gossip *g, struct str from, const struct msg_announcement *h)
{
	int64_t now = clk_ns(g->clk);
	const struct memb_member *m;
	bool news;

	memb_message_received(g->memb, h->self.box, now);
	note_answer(g, h->self.box);
	news = memb_update(g->memb, &h->self, now);
	news = take_infos(g, &h->updates) || news;
	note_word(g, &h->self);
	m = memb_find(g->memb, h->self.box);
	if (h->expects_reply || (m != NULL && m->sent_incarnation == 0))
		send_hello(g, from, h->self.box, false);
	if (differs(g, &h->self, h->hubs_digest, h->hall_digest))
		send_members(g, from, h->self.box);
	if (news)
		announce_to_new(g);
	look_settled(g);
}

/*
 * The sender is known, and nothing has changed there or here: another beat is
 * answer enough.  Else hellos tell what has.
 */
void
gossip_on_heartbeat(
    struct gossip *g, struct str from, const struct msg_heartbeat *b)
{
	const struct memb_member *m = memb_find(g->memb, b->box);

	memb_message_received(g->memb, b->box, clk_ns(g->clk));
	note_answer(g, b->box);
	if (m != NULL && memb_is_alive(m))
		note_word(g, &m->info);
	if (m == NULL || !memb_is_alive(m) ||
	    m->info.started_ms != b->started_ms ||
	    m->info.incarnation != b->incarnation ||
	    differs(g, &m->info, b->hubs_digest, b->hall_digest))
		send_hello(g, from, b->box, true);
	else if (b->expects_reply && beat_will_do(g, m))
		send_beat(g, from, b->box, false);
	else if (b->expects_reply)
		send_hello(g, from, b->box, false);
}

void
gossip_on_members(struct gossip *g, const struct msg_members *list)
{
	if (take_infos(g, &list->members))
		announce_to_new(g);
	look_settled(g);
}

static int64_t
sooner(int64_t a, int64_t b)
{
	return b == 0 ? a : MIN(a, b);
}

/* Company may have come since the list was planned. */
static void
list_due(struct gossip *g)
{
	g->list_at = 0;
	if (!is_lonely(g) && !is_own_hub(g))
		return;
	g->fetching = true;
	g->ops.list_boxes(g->ops.ctx);
}

void
gossip_check_suspect(struct gossip *g, struct str box)
{
	const struct memb_member *m = memb_find(g->memb, box);

	if (m != NULL && memb_is_alive(m) && m->unanswered_since == 0)
		send_hello(g, m->info.inbox, m->info.box, true);
	g->round_at =
	    MIN(g->round_at, clk_ns(g->clk) + g->set.announce_interval_ns);
}

int64_t
gossip_run(struct gossip *g)
{
	int64_t now = clk_ns(g->clk), next;

	if (now >= g->round_at)
		round_due(g, now);
	if (g->answer_at != 0 && now >= g->answer_at)
		answer_due(g, now);
	if (g->greeted_at != 0 && now >= g->greeted_at + ANSWERS_NS)
		answers_due(g);
	g->settled = g->settled || now >= g->settle_at;
	if (g->list_at != 0 && now >= g->list_at)
		list_due(g);
	if (g->announce_at != 0 && now >= g->announce_at)
		announce_due(g, now, ANNOUNCE_BATCH);
	next = sooner(sooner(g->round_at, g->list_at), g->announce_at);
	next = sooner(next, g->answer_at);
	if (g->greeted_at != 0)
		next = MIN(next, g->greeted_at + ANSWERS_NS);
	if (g->waits_since != 0 && !gossip_is_unattended(g))
		next = MIN(next, g->waits_since + UNATTENDED_NS);
	return g->settled ? next : MIN(next, g->settle_at);
}
