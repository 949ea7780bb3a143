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
#define XXH_INLINE_ALL
#include <string.h>
#include <xxhash.h>

#include "memb.h"

/* One question in so many goes to a box that is dead or only listed. */
enum { ASK_LOST_ONE_IN = 6 };

/* A hall that some member is in. */
struct hall {
	struct str name;
	uint64_t most; /* the greatest power there, of dead boxes too */
	struct memb_member *hubs[MEMB_HUBS_MAX];
	unsigned nhubs;
};

struct memb {
	struct memb_member own;
	GPtrArray *members; /* struct memb_member *, ourselves not among them */
	GHashTable *by_name; /* struct str * to struct memb_member * of these */
	GPtrArray *halls; /* struct hall * */
	int64_t contact; /* monotonic ns of the last word of any box */
	bool dirty; /* who is a hub has to be found out anew */
};

static struct memb_member *find(const struct memb *, struct str);
static struct memb_member *add(struct memb *, struct str);
static void member_free(void *);
static void refresh(struct memb *);

void
memb_info_copy(struct memb_info *to, const struct memb_info *from)
{
	*to = *from;
	to->box = str_dup(from->box);
	to->hall = str_dup(from->hall);
	to->inbox = str_dup(from->inbox);
	to->forward_address = str_dup(from->forward_address);
	to->gate_inbox = str_dup(from->gate_inbox);
}

void
memb_info_clear(struct memb_info *info)
{
	str_free(&info->box);
	str_free(&info->hall);
	str_free(&info->inbox);
	str_free(&info->forward_address);
	str_free(&info->gate_inbox);
}

static void
member_free(void *p)
{
	struct memb_member *m = p;

	memb_info_clear(&m->info);
	g_free(m);
}

static void
hall_free(void *p)
{
	struct hall *h = p;

	str_free(&h->name);
	g_free(h);
}

static guint
name_hash(gconstpointer p)
{
	const struct str *name = p;

	return (guint)XXH3_64bits(name->p, name->n);
}

static gboolean
name_equal(gconstpointer a, gconstpointer b)
{
	return str_eq(*(const struct str *)a, *(const struct str *)b);
}

static uint64_t
hub_weight(struct str box)
{
	return memb_weight(STR_LIT("hub"), box);
}

struct memb *
memb_new(const struct memb_info *self)
{
	struct memb *mb = g_new0(struct memb, 1);

	memb_info_copy(&mb->own.info, self);
	/* Beat 0 stands for never: see memb_self_sent(). */
	mb->own.info.incarnation = MAX(self->incarnation, 1);
	mb->own.weight = hub_weight(self->box);
	mb->members = g_ptr_array_new_with_free_func(member_free);
	mb->by_name = g_hash_table_new(name_hash, name_equal);
	mb->halls = g_ptr_array_new_with_free_func(hall_free);
	mb->dirty = true;
	return mb;
}

void
memb_free(struct memb *mb)
{
	memb_info_clear(&mb->own.info);
	g_hash_table_destroy(mb->by_name);
	g_ptr_array_free(mb->members, TRUE);
	g_ptr_array_free(mb->halls, TRUE);
	g_free(mb);
}

struct memb_info *
memb_self(struct memb *mb)
{
	return &mb->own.info;
}

void
memb_self_changed(struct memb *mb)
{
	mb->own.info.incarnation++;
	mb->dirty = true;
}

static struct memb_member *
find(const struct memb *mb, struct str box)
{
	return g_hash_table_lookup(mb->by_name, &box);
}

const struct memb_member *
memb_find(const struct memb *mb, struct str box)
{
	return find(mb, box);
}

static struct memb_member *
add(struct memb *mb, struct str box)
{
	struct memb_member *m = g_new0(struct memb_member, 1);
	struct memb_info empty = {.box = box};

	memb_info_copy(&m->info, &empty);
	m->weight = hub_weight(box);
	m->hub_rank = -1;
	g_ptr_array_add(mb->members, m);
	g_hash_table_insert(mb->by_name, &m->info.box, m);
	mb->dirty = true;
	return m;
}

static void
forget(struct memb *mb, guint at)
{
	struct memb_member *m = g_ptr_array_index(mb->members, at);

	g_hash_table_remove(mb->by_name, &m->info.box);
	g_ptr_array_remove_index_fast(mb->members, at);
	mb->dirty = true;
}

/* Who is a hub. */

static struct hall *
hall_of(struct memb *mb, struct str name)
{
	struct hall *h;
	guint i;

	for (i = 0; i < mb->halls->len; i++) {
		h = g_ptr_array_index(mb->halls, i);
		if (str_eq(h->name, name))
			return h;
	}
	h = g_new0(struct hall, 1);
	h->name = str_dup(name);
	g_ptr_array_add(mb->halls, h);
	return h;
}

static bool
is_alive(const struct memb *mb, const struct memb_member *m)
{
	return m == &mb->own ? !m->info.leaving : memb_is_alive(m);
}

/* Put a strong box in its place among the first of its hall. */
static void
enter_hub(struct hall *h, struct memb_member *m)
{
	unsigned at = h->nhubs;

	while (at > 0 && h->hubs[at - 1]->weight < m->weight)
		at--;
	if (at == MEMB_HUBS_MAX)
		return;
	if (h->nhubs < MEMB_HUBS_MAX)
		h->nhubs++;
	memmove(&h->hubs[at + 1], &h->hubs[at],
	    (h->nhubs - 1 - at) * sizeof(h->hubs[0]));
	h->hubs[at] = m;
}

static void
measure(struct memb *mb, const struct memb_member *m)
{
	struct hall *h = hall_of(mb, m->info.hall);

	h->most = MAX(h->most, m->info.power);
}

static void
judge(struct memb *mb, struct memb_member *m)
{
	struct hall *h = hall_of(mb, m->info.hall);

	m->hub_rank = -1;
	m->strong = m->info.power * MEMB_STRONG_RATIO >= h->most;
	if (!is_alive(mb, m))
		return;
	m->was_hub = false;
	if (m->strong)
		enter_hub(h, m);
}

static void
number_hubs(struct hall *h)
{
	unsigned i;

	for (i = 0; i < h->nhubs; i++) {
		h->hubs[i]->hub_rank = (int)i;
		h->hubs[i]->was_hub = true;
	}
}

/* Find out anew who is a hub, after members have changed. */
static void
refresh(struct memb *mb)
{
	struct hall *h;
	guint i;

	if (!mb->dirty)
		return;
	mb->dirty = false;
	for (i = 0; i < mb->halls->len; i++) {
		h = g_ptr_array_index(mb->halls, i);
		h->most = h->nhubs = 0;
	}
	measure(mb, &mb->own);
	for (i = 0; i < mb->members->len; i++)
		measure(mb, g_ptr_array_index(mb->members, i));
	judge(mb, &mb->own);
	for (i = 0; i < mb->members->len; i++)
		judge(mb, g_ptr_array_index(mb->members, i));
	for (i = 0; i < mb->halls->len; i++)
		number_hubs(g_ptr_array_index(mb->halls, i));
}

bool
memb_is_hub(struct memb *mb, struct str box)
{
	const struct memb_member *m = find(mb, box);

	refresh(mb);
	if (str_eq(box, mb->own.info.box))
		return mb->own.hub_rank >= 0;
	return m != NULL && m->hub_rank >= 0;
}

bool
memb_is_strong(struct memb *mb)
{
	refresh(mb);
	return mb->own.strong;
}

size_t
memb_count_hubs(struct memb *mb)
{
	size_t n = 0;
	guint i;

	refresh(mb);
	for (i = 0; i < mb->halls->len; i++)
		n += ((struct hall *)g_ptr_array_index(mb->halls, i))->nhubs;
	return n;
}

bool
memb_has_hub_with_platform(struct memb *mb)
{
	const struct hall *h;
	guint i;
	unsigned j;

	refresh(mb);
	for (i = 0; i < mb->halls->len; i++) {
		h = g_ptr_array_index(mb->halls, i);
		for (j = 0; j < h->nhubs; j++)
			if (!h->hubs[j]->info.platform_unreachable)
				return true;
	}
	return false;
}

size_t
memb_hubs(struct memb *mb, struct str hall,
    const struct memb_info *out[MEMB_HUBS_MAX])
{
	const struct hall *h;
	unsigned i;

	refresh(mb);
	h = hall_of(mb, hall);
	for (i = 0; i < h->nhubs; i++)
		out[i] = &h->hubs[i]->info;
	return h->nhubs;
}

static bool
is_near(const struct memb *mb, const struct memb_member *m)
{
	return str_eq(m->info.hall, mb->own.info.hall);
}

static bool
is_for_all(const struct memb_member *m)
{
	return m->hub_rank >= 0 || m->was_hub;
}

bool
memb_must_know(
    struct memb *mb, const struct memb_member *to, const struct memb_member *m)
{
	refresh(mb);
	if (is_for_all(m) || to == NULL)
		return true;
	return to->hub_rank >= 0 && str_eq(to->info.hall, m->info.hall);
}

/*
 * Is it news that we pass on to a box?  Of leaves hubs alone tell: a leaf that
 * was taken for a hub while its hall started knows the whole hall, and else
 * tells hubs for minutes, at 1 kB a second, what they know.
 */
static bool
is_news(
    struct memb *mb, const struct memb_member *to, const struct memb_member *m)
{
	return m->sends_left > 0 && m != to && memb_must_know(mb, to, m) &&
	    (mb->own.hub_rank >= 0 || is_for_all(m));
}

/* A death that is kept to ourselves; see memb_tick(). */
static bool
is_private(const struct memb *mb, const struct memb_member *m)
{
	return m->info.dead && m->found_dead_here &&
	    (m->death_uncertain || !is_near(mb, m));
}

bool
memb_should_list(const struct memb *mb, const struct memb_member *m)
{
	return memb_is_alive(m) ||
	    (m->last_update != 0 && m->was_hub && !is_private(mb, m));
}

/* What is heard, and what is passed on. */

/* Every news reaches all with near certainty after so many tellings. */
static unsigned
tellings(const struct memb *mb)
{
	unsigned n = 4, boxes;

	for (boxes = mb->members->len; boxes > 0; boxes /= 2)
		n += 2;
	return n;
}

/* Of two words with one beat, the worse one counts. */
static int
badness(const struct memb_info *info)
{
	return info->dead ? 2 : info->leaving ? 1 : 0;
}

/* We are told dead, or by an earlier start of ours: say the contrary. */
static bool
refute(struct memb *mb, const struct memb_info *info)
{
	struct memb_info *self = &mb->own.info;

	if (info->started_ms > self->started_ms)
		self->started_ms = info->started_ms + 1;
	else if (info->started_ms < self->started_ms || !info->dead ||
	    info->incarnation < self->incarnation)
		return false;
	self->incarnation = MAX(self->incarnation, info->incarnation);
	memb_self_changed(mb);
	return true;
}

/*
 * A later boot wins, then a later beat, then the worse word.  Of a box that
 * is not known a death is no news.
 */
bool
memb_update(struct memb *mb, const struct memb_info *info, int64_t now)
{
	struct memb_member *m;

	if (info->box.n == 0)
		return false;
	if (str_eq(info->box, mb->own.info.box))
		return refute(mb, info);
	m = find(mb, info->box);
	if (m == NULL && info->dead)
		return false;
	if (m == NULL)
		m = add(mb, info->box);
	if (m->last_update != 0 &&
	    (info->started_ms < m->info.started_ms ||
		(info->started_ms == m->info.started_ms &&
		    (info->incarnation < m->info.incarnation ||
			(info->incarnation == m->info.incarnation &&
			    badness(info) <= badness(&m->info))))))
		return false;
	/* A new start has heard nothing of us. */
	if (info->started_ms != m->info.started_ms)
		m->sent_incarnation = 0;
	memb_info_clear(&m->info);
	memb_info_copy(&m->info, info);
	m->found_dead_here = m->death_uncertain = false;
	m->last_update = now;
	m->unanswered_since = 0;
	m->sends_left = tellings(mb);
	mb->dirty = true;
	return true;
}

void
memb_request_sent(struct memb *mb, struct str box, int64_t now)
{
	struct memb_member *m = find(mb, box);

	if (m != NULL && m->unanswered_since == 0 && m->last_update != 0)
		m->unanswered_since = now;
}

static void
revive(struct memb *mb, struct memb_member *m)
{
	m->info.dead = m->found_dead_here = m->death_uncertain = false;
	mb->dirty = true;
}

/* The first word after a while in which nobody spoke to us. */
static void
end_isolation(struct memb *mb)
{
	struct memb_member *m;
	guint i;

	memb_cancel_requests(mb);
	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (m->death_uncertain)
			revive(mb, m);
	}
}

void
memb_message_received(struct memb *mb, struct str box, int64_t now)
{
	struct memb_member *m = find(mb, box);

	if (now - mb->contact > MEMB_ANSWER_TIMEOUT_NS)
		end_isolation(mb);
	mb->contact = now;
	if (m == NULL)
		return;
	m->unanswered_since = 0;
	if (m->info.dead && m->found_dead_here)
		revive(mb, m);
}

int64_t
memb_oldest_unanswered(const struct memb *mb)
{
	const struct memb_member *m;
	int64_t since = 0;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (m->unanswered_since != 0 && is_near(mb, m) &&
		    (since == 0 || m->unanswered_since < since))
			since = m->unanswered_since;
	}
	return since;
}

void
memb_self_sent(struct memb *mb, struct str box)
{
	struct memb_member *m = find(mb, box);

	if (m != NULL)
		m->sent_incarnation = mb->own.info.incarnation;
}

static bool
may_ask(const struct memb *mb, const struct memb_member *m,
    enum memb_target who, bool lost)
{
	bool hub = lost ? m->strong : m->hub_rank >= 0;

	if (m->info.inbox.n == 0 || m->info.leaving ||
	    lost != (m->info.dead || m->last_update == 0))
		return false;
	if (is_near(mb, m))
		return hub ? who == MEMB_OWN_HALL_HUB
			   : who == MEMB_OWN_HALL_LEAF;
	return hub && who == MEMB_OTHER_HALL_HUB;
}

static const struct memb_member *
ask_any(const struct memb *mb, const struct rnd *rnd, enum memb_target who,
    bool lost, bool owing)
{
	const struct memb_member *m, *chosen = NULL;
	unsigned seen = 0;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (!may_ask(mb, m, who, lost) ||
		    (!owing && m->unanswered_since != 0))
			continue;
		if (rnd_below(rnd, ++seen) == 0)
			chosen = m;
	}
	return chosen;
}

const struct memb_member *
memb_pick_target(struct memb *mb, const struct rnd *rnd, enum memb_target who)
{
	bool lost = rnd_below(rnd, ASK_LOST_ONE_IN) == 0;
	const struct memb_member *chosen;

	refresh(mb);
	chosen = ask_any(mb, rnd, who, lost, true);
	if (chosen == NULL)
		chosen = ask_any(mb, rnd, who, !lost, true);
	return chosen;
}

const struct memb_member *
memb_pick_responsive(
    struct memb *mb, const struct rnd *rnd, enum memb_target who)
{
	refresh(mb);
	return ask_any(mb, rnd, who, false, false);
}

static const struct memb_member *
lost_of(const struct memb *mb, const struct hall *h, guint from)
{
	const struct memb_member *m;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(
		    mb->members, (from + i) % mb->members->len);
		if (str_eq(m->info.hall, h->name) &&
		    (may_ask(mb, m, MEMB_OWN_HALL_HUB, true) ||
			may_ask(mb, m, MEMB_OTHER_HALL_HUB, true)))
			return m;
	}
	return NULL;
}

size_t
memb_pick_lost(struct memb *mb, const struct rnd *rnd,
    const struct memb_member **out, size_t n)
{
	const struct memb_member *m;
	size_t got = 0;
	guint i;

	refresh(mb);
	for (i = 0; i < mb->halls->len && got < n; i++) {
		m = lost_of(mb, g_ptr_array_index(mb->halls, i),
		    (guint)rnd_below(rnd, MAX(mb->members->len, 1)));
		if (m != NULL)
			out[got++] = m;
	}
	return got;
}

void
memb_list_begin(struct memb *mb)
{
	struct memb_member *m;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		m->listed = false;
	}
}

void
memb_list_add(struct memb *mb, const struct memb_info *info)
{
	struct memb_member *m;

	if (str_eq(info->box, mb->own.info.box))
		return;
	m = find(mb, info->box);
	if (m == NULL)
		m = add(mb, info->box);
	m->listed = true;
	if (m->last_update != 0)
		return;
	str_free(&m->info.hall);
	str_free(&m->info.inbox);
	m->info.hall = str_dup(info->hall);
	m->info.inbox = str_dup(info->inbox);
	m->info.power = info->power;
	m->info.leaving = info->leaving;
	mb->dirty = true;
}

static bool
is_overdue(const struct memb_member *m, int64_t now)
{
	return m->unanswered_since != 0 &&
	    now - m->unanswered_since > MEMB_ANSWER_TIMEOUT_NS && !m->info.dead;
}

static void
find_dead(struct memb *mb, struct memb_member *m, int64_t now)
{
	m->found_dead_here = true;
	m->death_uncertain = mb->contact <= m->unanswered_since;
	m->info.dead = true;
	m->unanswered_since = 0;
	m->last_update = now;
	m->sends_left = is_private(mb, m) ? 0 : tellings(mb);
	mb->dirty = true;
}

bool
memb_tick(struct memb *mb, int64_t now)
{
	struct memb_member *m;
	bool died = false;
	guint i;

	for (i = mb->members->len; i-- > 0;) {
		m = g_ptr_array_index(mb->members, i);
		if (is_overdue(m, now)) {
			find_dead(mb, m, now);
			died = true;
		}
		if (!m->listed && (m->info.dead || m->info.leaving) &&
		    now - m->last_update > MEMB_DEAD_RETENTION_NS)
			forget(mb, i);
	}
	return died;
}

void
memb_cancel_requests(struct memb *mb)
{
	struct memb_member *m;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		m->unanswered_since = 0;
	}
}

bool
memb_is_alive(const struct memb_member *m)
{
	return m->last_update != 0 && !m->info.dead && !m->info.leaving;
}

void
memb_each(const struct memb *mb, memb_visit_fn *visit, void *ctx)
{
	guint i;

	for (i = 0; i < mb->members->len; i++)
		visit(ctx, g_ptr_array_index(mb->members, i));
}

size_t
memb_count_alive(const struct memb *mb)
{
	size_t n = 1;
	guint i;

	for (i = 0; i < mb->members->len; i++)
		n += memb_is_alive(g_ptr_array_index(mb->members, i));
	return n;
}

size_t
memb_count_hall(const struct memb *mb, struct str hall)
{
	const struct memb_member *m;
	size_t n = str_eq(hall, mb->own.info.hall);
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		n += memb_is_alive(m) && str_eq(m->info.hall, hall);
	}
	return n;
}

/* What of a member others have to know as well. */
static uint64_t
digest(const struct memb_member *m)
{
	uint64_t state = m->info.started_ms * 2 + m->info.ready;

	return XXH3_64bits_withSeed(&m->weight, sizeof(m->weight), state);
}

uint64_t
memb_digest_hubs(struct memb *mb)
{
	const struct hall *h;
	uint64_t sum = 0;
	guint i, j;

	refresh(mb);
	for (i = 0; i < mb->halls->len; i++) {
		h = g_ptr_array_index(mb->halls, i);
		for (j = 0; j < h->nhubs; j++)
			sum += digest(h->hubs[j]);
	}
	return sum;
}

uint64_t
memb_digest_hall(const struct memb *mb)
{
	const struct memb_member *m;
	uint64_t sum = digest(&mb->own);
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (memb_is_alive(m) && is_near(mb, m))
			sum += digest(m);
	}
	return sum;
}

/* Gates known to serve in a hall. */
static uint64_t
count_serving(const struct memb *mb, struct str hall)
{
	const struct memb_member *m;
	uint64_t n = mb->own.info.ready && str_eq(mb->own.info.hall, hall);
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		n += memb_is_alive(m) && m->info.ready &&
		    str_eq(m->info.hall, hall);
	}
	return n;
}

uint64_t
memb_count_serving(const struct memb *mb)
{
	return count_serving(mb, mb->own.info.hall);
}

/* The same, or as its hubs tell. */
static uint64_t
serving(const struct memb *mb, const struct hall *h)
{
	uint64_t n = count_serving(mb, h->name);
	unsigned i;

	for (i = 0; i < h->nhubs; i++)
		if (h->hubs[i] != &mb->own)
			n = MAX(n, h->hubs[i]->info.serving_gates);
	return n;
}

uint64_t
memb_count_fleet_serving(struct memb *mb)
{
	uint64_t n = !mb->own.info.ready;
	guint i;

	refresh(mb);
	for (i = 0; i < mb->halls->len; i++)
		n += serving(mb, g_ptr_array_index(mb->halls, i));
	return n;
}

/* Rankings among hubs. */

uint64_t
memb_weight(struct str key, struct str box)
{
	return XXH3_64bits_withSeed(key.p, key.n, XXH3_64bits(box.p, box.n));
}

bool
memb_is_in_top_hubs(struct memb *mb, struct str key, struct str hall, int k)
{
	uint64_t own = memb_weight(key, mb->own.info.box);
	const struct hall *h;
	int before = 0;
	unsigned i, j;

	refresh(mb);
	if (mb->own.hub_rank < 0 ||
	    (hall.n > 0 && !str_eq(hall, mb->own.info.hall)))
		return false;
	for (i = 0; i < mb->halls->len; i++) {
		h = g_ptr_array_index(mb->halls, i);
		if (hall.n > 0 && !str_eq(hall, h->name))
			continue;
		for (j = 0; j < h->nhubs; j++)
			before += h->hubs[j] != &mb->own &&
			    memb_weight(key, h->hubs[j]->info.box) > own;
	}
	return before < k;
}

static bool
watches_before(const struct memb_member *a, const struct memb_member *b)
{
	return a->hub_rank != b->hub_rank ? a->hub_rank < b->hub_rank
					  : a->weight > b->weight;
}

/* Hubs that come before a box; of these, those that the platform answers. */
static int
count_before(struct memb *mb, const struct memb_member *m, int *seeing)
{
	const struct hall *h;
	int before = 0;
	unsigned i, j;

	*seeing = 0;
	for (i = 0; i < mb->halls->len; i++) {
		h = g_ptr_array_index(mb->halls, i);
		for (j = 0; j < h->nhubs; j++) {
			if (!watches_before(h->hubs[j], m))
				continue;
			before++;
			*seeing += !h->hubs[j]->info.platform_unreachable;
		}
	}
	return before;
}

bool
memb_is_watcher(struct memb *mb, struct str box, int k)
{
	const struct memb_member *m = find(mb, box);
	int before, seeing;

	refresh(mb);
	if (str_eq(box, mb->own.info.box))
		m = &mb->own;
	if (m == NULL || m->hub_rank < 0)
		return false;
	before = count_before(mb, m, &seeing);
	return before < k ||
	    (!m->info.platform_unreachable &&
		seeing < MEMB_WATCHERS_WITH_PLATFORM_MIN);
}

bool
memb_has_updates(struct memb *mb, const struct memb_member *to)
{
	const struct memb_member *m;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (is_news(mb, to, m))
			return true;
	}
	return false;
}

size_t
memb_collect_updates(struct memb *mb, const struct rnd *rnd, struct str to,
    const struct memb_member **out, size_t n)
{
	struct memb_member *m, *own = find(mb, to);
	size_t got = 0;
	guint i, at, len = mb->members->len;

	if (len == 0 || n == 0)
		return 0;
	if (own != NULL && own->info.dead)
		out[got++] = own;
	at = (guint)rnd_below(rnd, len);
	for (i = 0; i < len && got < n; i++) {
		m = g_ptr_array_index(mb->members, (at + i) % len);
		if (!is_news(mb, own, m))
			continue;
		m->sends_left--;
		out[got++] = m;
	}
	m = g_ptr_array_index(mb->members, at);
	if (got == 0 && m->last_update != 0 && m != own &&
	    memb_must_know(mb, own, m))
		out[got++] = m;
	return got;
}
