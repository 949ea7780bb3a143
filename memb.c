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
#include <xxhash.h>

#include "memb.h"

/* One question in so many goes to a box that is dead or only listed. */
enum { ASK_LOST_ONE_IN = 6 };

struct memb {
	struct memb_info self;
	GPtrArray *members; /* struct memb_member *, ourselves not among them */
};

static struct memb_member *find(const struct memb *, struct str);
static struct memb_member *add(struct memb *, struct str);
static void member_free(void *);

void
memb_info_copy(struct memb_info *to, const struct memb_info *from)
{
	*to = *from;
	to->box = str_dup(from->box);
	to->hall = str_dup(from->hall);
	to->inbox = str_dup(from->inbox);
	to->pass = str_dup(from->pass);
	to->gate_inbox = str_dup(from->gate_inbox);
}

void
memb_info_clear(struct memb_info *info)
{
	str_free(&info->box);
	str_free(&info->hall);
	str_free(&info->inbox);
	str_free(&info->pass);
	str_free(&info->gate_inbox);
}

static void
member_free(void *p)
{
	struct memb_member *m = p;

	memb_info_clear(&m->info);
	g_free(m);
}

struct memb *
memb_new(const struct memb_info *self)
{
	struct memb *mb = g_new0(struct memb, 1);

	memb_info_copy(&mb->self, self);
	mb->members = g_ptr_array_new_with_free_func(member_free);
	return mb;
}

void
memb_free(struct memb *mb)
{
	memb_info_clear(&mb->self);
	g_ptr_array_free(mb->members, TRUE);
	g_free(mb);
}

struct memb_info *
memb_self(struct memb *mb)
{
	return &mb->self;
}

static struct memb_member *
find(const struct memb *mb, struct str box)
{
	struct memb_member *m;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (str_eq(m->info.box, box))
			return m;
	}
	return NULL;
}

static struct memb_member *
add(struct memb *mb, struct str box)
{
	struct memb_member *m = g_new0(struct memb_member, 1);
	struct memb_info empty = {.box = box};

	memb_info_copy(&m->info, &empty);
	g_ptr_array_add(mb->members, m);
	return m;
}

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
	if (info->boot > mb->self.boot)
		mb->self.boot = info->boot + 1;
	else if (info->boot < mb->self.boot || !info->dead ||
	    info->beat < mb->self.beat)
		return false;
	mb->self.beat = MAX(mb->self.beat, info->beat) + 1;
	return true;
}

/*
 * A later boot wins, then a later beat, then the worse word.  Of a box that
 * is not known a death is no news.
 */
bool
memb_heard(struct memb *mb, const struct memb_info *info, int64_t now)
{
	struct memb_member *m;

	if (info->box.n == 0)
		return false;
	if (str_eq(info->box, mb->self.box))
		return refute(mb, info);
	m = find(mb, info->box);
	if (m == NULL && info->dead)
		return false;
	if (m == NULL)
		m = add(mb, info->box);
	if (m->heard != 0 &&
	    (info->boot < m->info.boot ||
		(info->boot == m->info.boot &&
		    (info->beat < m->info.beat ||
			(info->beat == m->info.beat &&
			    badness(info) <= badness(&m->info))))))
		return false;
	memb_info_clear(&m->info);
	memb_info_copy(&m->info, info);
	m->heard = now;
	m->asked = 0;
	m->untold = tellings(mb);
	return true;
}

void
memb_asked(struct memb *mb, struct str box, int64_t now)
{
	struct memb_member *m = find(mb, box);

	if (m != NULL && m->asked == 0 && m->heard != 0)
		m->asked = now;
}

void
memb_answered(struct memb *mb, struct str box)
{
	struct memb_member *m = find(mb, box);

	if (m != NULL)
		m->asked = 0;
}

static bool
may_ask(const struct memb_member *m, struct str hall, bool lost)
{
	if (m->info.inbox.n == 0 || m->info.leaving)
		return false;
	if (hall.n > 0 && !str_eq(hall, m->info.hall))
		return false;
	return lost == (m->info.dead || m->heard == 0);
}

const struct memb_member *
memb_ask_next(const struct memb *mb, const struct rnd *rnd, struct str hall)
{
	const struct memb_member *m, *chosen = NULL;
	bool lost = rnd_below(rnd, ASK_LOST_ONE_IN) == 0;
	unsigned seen = 0;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (may_ask(m, hall, lost) && rnd_below(rnd, ++seen) == 0)
			chosen = m;
	}
	if (chosen != NULL || !lost)
		return chosen;
	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (may_ask(m, hall, false) && rnd_below(rnd, ++seen) == 0)
			chosen = m;
	}
	return chosen;
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
memb_listed(struct memb *mb, const struct memb_info *info)
{
	struct memb_member *m;

	if (str_eq(info->box, mb->self.box))
		return;
	m = find(mb, info->box);
	if (m == NULL)
		m = add(mb, info->box);
	m->listed = true;
	if (m->heard != 0)
		return;
	str_free(&m->info.hall);
	str_free(&m->info.inbox);
	m->info.hall = str_dup(info->hall);
	m->info.inbox = str_dup(info->inbox);
	m->info.power = info->power;
	m->info.leaving = info->leaving;
}

bool
memb_tick(struct memb *mb, int64_t now)
{
	struct memb_member *m;
	bool died = false;
	guint i;

	for (i = mb->members->len; i-- > 0;) {
		m = g_ptr_array_index(mb->members, i);
		if (m->asked != 0 && now - m->asked > MEMB_ANSWER_NS &&
		    !m->info.dead) {
			m->info.dead = true;
			m->asked = 0;
			m->heard = now;
			m->untold = tellings(mb);
			died = true;
		}
		if (!m->listed && (m->info.dead || m->info.leaving) &&
		    now - m->heard > MEMB_FORGET_NS)
			g_ptr_array_remove_index_fast(mb->members, i);
	}
	return died;
}

void
memb_paused(struct memb *mb)
{
	struct memb_member *m;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		m->asked = 0;
	}
}

bool
memb_alive(const struct memb_member *m)
{
	return m->heard != 0 && !m->info.dead && !m->info.leaving;
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
		n += memb_alive(g_ptr_array_index(mb->members, i));
	return n;
}

uint64_t
memb_weight(struct str key, struct str box)
{
	return XXH3_64bits_withSeed(key.p, key.n, XXH3_64bits(box.p, box.n));
}

bool
memb_is_first(const struct memb *mb, struct str key, struct str hall, int k)
{
	return memb_ranks_first(mb, &mb->self, key, hall, k, false);
}

/* Those that come before a box in a ranking, and all that are in it. */
struct ranking {
	const struct memb_info *who;
	struct str key, hall;
	bool seeing; /* only those that the platform answers */
	bool by_power; /* the strong ones first */
	uint64_t strong; /* so much power counts as strong */
	uint64_t own;
	int before, all, nstrong;
};

typedef void rank_fn(struct ranking *, const struct memb_info *);

static bool
is_ranked(const struct ranking *rk, const struct memb_info *info)
{
	return !info->leaving && !(rk->seeing && info->blind) &&
	    (rk->hall.n == 0 || str_eq(rk->hall, info->hall));
}

static void
find_strong(struct ranking *rk, const struct memb_info *info)
{
	rk->strong = MAX(rk->strong, info->power / MEMB_STRONG_RATIO);
}

static bool
comes_before(const struct ranking *rk, const struct memb_info *info)
{
	bool strong = info->power >= rk->strong;

	if (rk->by_power && strong != (rk->who->power >= rk->strong))
		return strong;
	return memb_weight(rk->key, info->box) > rk->own;
}

static void
rank(struct ranking *rk, const struct memb_info *info)
{
	rk->all++;
	rk->nstrong += info->power >= rk->strong;
	rk->before += info != rk->who && comes_before(rk, info);
}

static void
rank_each(const struct memb *mb, struct ranking *rk, rank_fn *fn)
{
	const struct memb_member *m;
	guint i;

	if (is_ranked(rk, &mb->self))
		fn(rk, &mb->self);
	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (memb_alive(m) && is_ranked(rk, &m->info))
			fn(rk, &m->info);
	}
}

static void
rank_all(const struct memb *mb, struct ranking *rk)
{
	rk->own = memb_weight(rk->key, rk->who->box);
	if (rk->by_power)
		rank_each(mb, rk, find_strong);
	rank_each(mb, rk, rank);
}

bool
memb_ranks_first(const struct memb *mb, const struct memb_info *who,
    struct str key, struct str hall, int k, bool by_power)
{
	struct ranking rk = {
	    .who = who, .key = key, .hall = hall, .by_power = by_power};

	if (who->leaving || (hall.n > 0 && !str_eq(hall, who->hall)))
		return false;
	rank_all(mb, &rk);
	return rk.before < k;
}

int
memb_rank_seeing(const struct memb *mb, const struct memb_info *who,
    struct str key, struct str hall, int *strong)
{
	struct ranking rk = {.who = who,
	    .key = key,
	    .hall = hall,
	    .seeing = true,
	    .by_power = true};

	rank_all(mb, &rk);
	*strong = rk.nstrong;
	return rk.before;
}

bool
memb_ranks_first_seeing(const struct memb *mb, const struct memb_info *who,
    struct str key, struct str hall, int k)
{
	struct ranking rk = {
	    .who = who, .key = key, .hall = hall, .seeing = true};

	if (who->leaving || (hall.n > 0 && !str_eq(hall, who->hall)))
		return false;
	rank_all(mb, &rk);
	if (!who->blind && rk.before < k)
		return true;
	return rk.all < k && memb_ranks_first(mb, who, key, hall, k, false);
}

size_t
memb_news(struct memb *mb, const struct rnd *rnd, struct str to,
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
		if (m->untold == 0 || m == own)
			continue;
		m->untold--;
		out[got++] = m;
	}
	m = g_ptr_array_index(mb->members, at);
	if (got == 0 && m->heard != 0 && m != own)
		out[got++] = m;
	return got;
}
