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

/* One request in this many goes to a box that is dead or only listed. */
enum { LOST_TARGET_ONE_IN = 6 };

/* A hall that has at least one member. */
struct hall {
	struct str name;
	uint64_t max_power; /* greatest power of its boxes, without lost ones */
	struct memb_member *hubs[MEMB_HUBS_MAX];
	unsigned nhubs;
};

struct memb {
	struct memb_member own;
	GPtrArray *members; /* struct memb_member *, without `own` */
	GHashTable *by_name; /* struct str * to struct memb_member * of these */
	GPtrArray *halls; /* struct hall * */
	int64_t last_contact; /* monotonic ns of the last message of any box */
	bool hubs_stale; /* the hubs have to be computed again */
	bool has_rechecks; /* some members may have `to_recheck` set */
};

static struct memb_member *find_member(const struct memb *, struct str);
static struct memb_member *add_member(struct memb *, struct str);
static void member_free(void *);
static void refresh_hubs(struct memb *);

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
	/* In `sent_incarnation` of members 0 means that nothing was sent. */
	mb->own.info.incarnation = MAX(self->incarnation, 1);
	mb->own.weight = hub_weight(self->box);
	mb->members = g_ptr_array_new_with_free_func(member_free);
	mb->by_name = g_hash_table_new(name_hash, name_equal);
	mb->halls = g_ptr_array_new_with_free_func(hall_free);
	mb->hubs_stale = true;
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
	mb->hubs_stale = true;
}

static struct memb_member *
find_member(const struct memb *mb, struct str box)
{
	return g_hash_table_lookup(mb->by_name, &box);
}

const struct memb_member *
memb_find(const struct memb *mb, struct str box)
{
	return find_member(mb, box);
}

static struct memb_member *
add_member(struct memb *mb, struct str box)
{
	struct memb_member *m = g_new0(struct memb_member, 1);
	struct memb_info empty = {.box = box};

	memb_info_copy(&m->info, &empty);
	m->weight = hub_weight(box);
	m->hub_rank = -1;
	g_ptr_array_add(mb->members, m);
	g_hash_table_insert(mb->by_name, &m->info.box, m);
	mb->hubs_stale = true;
	return m;
}

static void
remove_member(struct memb *mb, guint at)
{
	struct memb_member *m = g_ptr_array_index(mb->members, at);

	g_hash_table_remove(mb->by_name, &m->info.box);
	g_ptr_array_remove_index_fast(mb->members, at);
	mb->hubs_stale = true;
}

/* Selection of hubs. */

static struct hall *
get_hall(struct memb *mb, struct str name)
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

/* Inserts a strong box into the hubs of its hall if its weight suffices. */
static void
insert_hub(struct hall *h, struct memb_member *m)
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

/* memb_tick() has not seen a box yet that has just come back. */
static bool
is_lost(const struct memb_member *m)
{
	return m->lost && !memb_is_alive(m);
}

static void
update_max_power(struct memb *mb, const struct memb_member *m)
{
	struct hall *h = get_hall(mb, m->info.hall);

	if (!is_lost(m))
		h->max_power = MAX(h->max_power, m->info.power);
}

static void
classify(struct memb *mb, struct memb_member *m)
{
	struct hall *h = get_hall(mb, m->info.hall);

	m->hub_rank = -1;
	m->strong = m->info.power * MEMB_STRONG_RATIO >= h->max_power;
	if (!is_alive(mb, m))
		return;
	m->was_hub = false;
	if (m->strong)
		insert_hub(h, m);
}

static void
rank_hubs(struct hall *h)
{
	unsigned i;

	for (i = 0; i < h->nhubs; i++) {
		h->hubs[i]->hub_rank = (int)i;
		h->hubs[i]->was_hub = true;
	}
}

/* Computes the hubs of all halls again if members have changed. */
static void
refresh_hubs(struct memb *mb)
{
	struct hall *h;
	guint i;

	if (!mb->hubs_stale)
		return;
	mb->hubs_stale = false;
	for (i = 0; i < mb->halls->len; i++) {
		h = g_ptr_array_index(mb->halls, i);
		h->max_power = h->nhubs = 0;
	}
	update_max_power(mb, &mb->own);
	for (i = 0; i < mb->members->len; i++)
		update_max_power(mb, g_ptr_array_index(mb->members, i));
	classify(mb, &mb->own);
	for (i = 0; i < mb->members->len; i++)
		classify(mb, g_ptr_array_index(mb->members, i));
	for (i = 0; i < mb->halls->len; i++)
		rank_hubs(g_ptr_array_index(mb->halls, i));
}

bool
memb_is_hub(struct memb *mb, struct str box)
{
	const struct memb_member *m = find_member(mb, box);

	refresh_hubs(mb);
	if (str_eq(box, mb->own.info.box))
		return mb->own.hub_rank >= 0;
	return m != NULL && m->hub_rank >= 0;
}

bool
memb_is_strong(struct memb *mb)
{
	refresh_hubs(mb);
	return mb->own.strong;
}

bool
memb_is_leaving_strong(struct memb *mb, const struct memb_member *m)
{
	refresh_hubs(mb);
	return m->strong && m->last_update != 0 && m->info.leaving &&
	    !m->info.dead;
}

size_t
memb_count_hubs(struct memb *mb)
{
	size_t n = 0;
	guint i;

	refresh_hubs(mb);
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

	refresh_hubs(mb);
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

	refresh_hubs(mb);
	h = get_hall(mb, hall);
	for (i = 0; i < h->nhubs; i++)
		out[i] = &h->hubs[i]->info;
	return h->nhubs;
}

static bool
is_in_own_hall(const struct memb *mb, const struct memb_member *m)
{
	return str_eq(m->info.hall, mb->own.info.hall);
}

static bool
is_or_was_hub(const struct memb_member *m)
{
	return m->hub_rank >= 0 || m->was_hub;
}

bool
memb_must_know(
    struct memb *mb, const struct memb_member *to, const struct memb_member *m)
{
	refresh_hubs(mb);
	if (is_or_was_hub(m) || to == NULL)
		return true;
	return to->hub_rank >= 0 && str_eq(to->info.hall, m->info.hall);
}

/*
 * Returns whether the state of a member remains to be relayed to a box.  Only
 * hubs relay the state of leaves.  A leaf that counted as a hub while its hall
 * started knows the whole hall, and would otherwise send hubs for minutes, at
 * 1 kB/s, what they already know.
 */
static bool
is_to_relay(
    struct memb *mb, const struct memb_member *to, const struct memb_member *m)
{
	return m->sends_left > 0 && m != to && memb_must_know(mb, to, m) &&
	    (mb->own.hub_rank >= 0 || is_or_was_hub(m));
}

/* Returns whether a death is not reported to other boxes; see memb_tick(). */
static bool
is_unreported_death(const struct memb *mb, const struct memb_member *m)
{
	return m->info.dead && m->found_dead_here &&
	    (m->death_uncertain || !is_in_own_hall(mb, m));
}

bool
memb_should_list(const struct memb *mb, const struct memb_member *m)
{
	return memb_is_alive(m) || (memb_is_running(m) && m->was_alive) ||
	    (m->last_update != 0 && m->was_hub && !is_unreported_death(mb, m));
}

/* Received state, and how often it is relayed. */

/*
 * Returns how often an update is relayed.  The number grows with the logarithm
 * of the members, so that an update reaches all boxes almost certainly.
 */
static unsigned
relay_count(const struct memb *mb)
{
	unsigned n = 4, boxes;

	for (boxes = mb->members->len; boxes > 0; boxes /= 2)
		n += 2;
	return n;
}

/* Of two states with the same incarnation, the more severe one wins. */
static int
severity(const struct memb_info *info)
{
	return info->dead ? 3 : info->leaving ? 1 : 0;
}

/* The report of another box confirms a death that was uncertain here. */
static int
known_severity(const struct memb_member *m)
{
	return m->death_uncertain ? 2 : severity(&m->info);
}

/*
 * Handles a received state of this box.  If it claims that this box is dead, or
 * has a later start time, raises the own start time or incarnation above it, so
 * that the present state wins at the other boxes.
 */
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
 * The later start time wins, then the higher incarnation, then the more severe
 * state.  The death of an unknown box is ignored.
 */
bool
memb_update(struct memb *mb, const struct memb_info *info, int64_t now)
{
	struct memb_member *m;

	if (info->box.n == 0)
		return false;
	if (str_eq(info->box, mb->own.info.box))
		return refute(mb, info);
	m = find_member(mb, info->box);
	if (m == NULL && info->dead)
		return false;
	if (m == NULL)
		m = add_member(mb, info->box);
	if (m->last_update != 0 &&
	    (info->started_ms < m->info.started_ms ||
		(info->started_ms == m->info.started_ms &&
		    (info->incarnation < m->info.incarnation ||
			(info->incarnation == m->info.incarnation &&
			    severity(info) <= known_severity(m))))))
		return false;
	/* A restarted box has not received our state. */
	if (info->started_ms != m->info.started_ms)
		m->sent_incarnation = 0;
	memb_info_clear(&m->info);
	memb_info_copy(&m->info, info);
	m->found_dead_here = m->death_uncertain = m->to_recheck = false;
	m->was_alive = m->was_alive || (!info->leaving && !info->dead);
	m->last_update = now;
	m->unanswered_since = 0;
	m->sends_left = relay_count(mb);
	mb->hubs_stale = true;
	return true;
}

void
memb_request_sent(struct memb *mb, struct str box, int64_t now)
{
	struct memb_member *m = find_member(mb, box);

	if (m == NULL || m->unanswered_since != 0 || m->last_update == 0)
		return;
	m->unanswered_since = now;
	m->asked_in_isolation = false;
}

static void
mark_alive(struct memb *mb, struct memb_member *m)
{
	m->info.dead = m->found_dead_here = m->death_uncertain = false;
	mb->hubs_stale = true;
}

/*
 * With the first message after a time without any, the boxes that did not reply
 * meanwhile are to be asked again.  Those that are dead are not taken for alive
 * before they reply: few boxes may be left, which hear of each other seldom.
 */
static void
end_isolation(struct memb *mb)
{
	struct memb_member *m;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		m->asked_in_isolation = m->unanswered_since != 0;
		m->to_recheck = m->death_uncertain || m->asked_in_isolation;
		mb->has_rechecks = mb->has_rechecks || m->to_recheck;
	}
}

void
memb_message_received(struct memb *mb, struct str box, int64_t now)
{
	struct memb_member *m = find_member(mb, box);

	if (now - mb->last_contact > MEMB_REPLY_TIMEOUT_NS)
		end_isolation(mb);
	mb->last_contact = now;
	if (m == NULL)
		return;
	m->unanswered_since = 0;
	m->to_recheck = false;
	if (m->info.dead && m->found_dead_here)
		mark_alive(mb, m);
}

size_t
memb_take_rechecks(struct memb *mb, const struct memb_member **out, size_t max)
{
	struct memb_member *m;
	size_t n = 0;
	guint i;

	if (!mb->has_rechecks)
		return 0;
	for (i = 0; i < mb->members->len && n < max; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (!m->to_recheck)
			continue;
		m->to_recheck = false;
		out[n++] = m;
	}
	mb->has_rechecks = n == max;
	return n;
}

int64_t
memb_oldest_unanswered(const struct memb *mb)
{
	const struct memb_member *m;
	int64_t since = 0;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (m->unanswered_since != 0 && is_in_own_hall(mb, m) &&
		    (since == 0 || m->unanswered_since < since))
			since = m->unanswered_since;
	}
	return since;
}

bool
memb_has_silent_hub(struct memb *mb, int64_t since)
{
	const struct memb_member *m;
	guint i;

	refresh_hubs(mb);
	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (m->hub_rank >= 0 && m->unanswered_since != 0 &&
		    m->unanswered_since <= since)
			return true;
	}
	return false;
}

void
memb_self_sent(struct memb *mb, struct str box)
{
	struct memb_member *m = find_member(mb, box);

	if (m != NULL)
		m->sent_incarnation = mb->own.info.incarnation;
}

static bool
is_target(const struct memb *mb, const struct memb_member *m,
    enum memb_target target, bool lost)
{
	bool hub = lost ? m->strong : m->hub_rank >= 0;

	if (m->info.inbox.n == 0 || m->info.leaving ||
	    lost != (m->info.dead || m->last_update == 0))
		return false;
	if (is_in_own_hall(mb, m))
		return hub ? target == MEMB_OWN_HALL_HUB
			   : target == MEMB_OWN_HALL_LEAF;
	return hub && target == MEMB_OTHER_HALL_HUB;
}

static const struct memb_member *
pick_random(const struct memb *mb, const struct rnd *rnd,
    enum memb_target target, bool lost, bool with_unanswered)
{
	const struct memb_member *m, *chosen = NULL;
	unsigned seen = 0;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (!is_target(mb, m, target, lost) ||
		    (!with_unanswered && m->unanswered_since != 0))
			continue;
		if (rnd_below(rnd, ++seen) == 0)
			chosen = m;
	}
	return chosen;
}

const struct memb_member *
memb_pick_target(
    struct memb *mb, const struct rnd *rnd, enum memb_target target)
{
	bool lost = rnd_below(rnd, LOST_TARGET_ONE_IN) == 0;
	const struct memb_member *chosen;

	refresh_hubs(mb);
	chosen = pick_random(mb, rnd, target, lost, true);
	if (chosen == NULL)
		chosen = pick_random(mb, rnd, target, !lost, true);
	return chosen;
}

const struct memb_member *
memb_pick_responsive(
    struct memb *mb, const struct rnd *rnd, enum memb_target target)
{
	refresh_hubs(mb);
	return pick_random(mb, rnd, target, false, false);
}

static const struct memb_member *
find_lost(const struct memb *mb, const struct hall *h, guint from)
{
	const struct memb_member *m;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(
		    mb->members, (from + i) % mb->members->len);
		if (str_eq(m->info.hall, h->name) &&
		    (is_target(mb, m, MEMB_OWN_HALL_HUB, true) ||
			is_target(mb, m, MEMB_OTHER_HALL_HUB, true)))
			return m;
	}
	return NULL;
}

size_t
memb_pick_lost(struct memb *mb, const struct rnd *rnd,
    const struct memb_member **out, size_t n)
{
	const struct memb_member *m;
	size_t count = 0;
	guint i;

	refresh_hubs(mb);
	for (i = 0; i < mb->halls->len && count < n; i++) {
		m = find_lost(mb, g_ptr_array_index(mb->halls, i),
		    (guint)rnd_below(rnd, MAX(mb->members->len, 1)));
		if (m != NULL)
			out[count++] = m;
	}
	return count;
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
	m = find_member(mb, info->box);
	if (m == NULL)
		m = add_member(mb, info->box);
	m->listed = true;
	if (m->last_update != 0)
		return;
	str_free(&m->info.hall);
	str_free(&m->info.inbox);
	m->info.hall = str_dup(info->hall);
	m->info.inbox = str_dup(info->inbox);
	m->info.power = info->power;
	m->info.leaving = info->leaving;
	mb->hubs_stale = true;
}

/* A death that is uncertain becomes certain by another unanswered request. */
static bool
has_timed_out(const struct memb_member *m, int64_t now)
{
	return m->unanswered_since != 0 &&
	    now - m->unanswered_since > MEMB_REPLY_TIMEOUT_NS &&
	    (!m->info.dead || m->death_uncertain);
}

static void
mark_dead(struct memb *mb, struct memb_member *m, int64_t now)
{
	if (!m->info.dead)
		m->last_update = now;
	m->found_dead_here = true;
	m->death_uncertain =
	    m->asked_in_isolation || mb->last_contact <= m->unanswered_since;
	m->info.dead = true;
	m->unanswered_since = 0;
	m->to_recheck = m->asked_in_isolation;
	mb->has_rechecks = mb->has_rechecks || m->to_recheck;
	m->sends_left = is_unreported_death(mb, m) ? 0 : relay_count(mb);
	mb->hubs_stale = true;
}

/* Returns whether the member counts as lost from now on. */
static bool
update_absence(struct memb *mb, struct memb_member *m, int64_t now)
{
	if (memb_is_alive(m)) {
		m->absent_since = 0;
		m->lost = false;
		return false;
	}
	if (m->absent_since == 0)
		m->absent_since = now;
	if (m->lost || now - m->absent_since < MEMB_LOSS_TIMEOUT_NS)
		return false;
	m->lost = mb->hubs_stale = true;
	return true;
}

bool
memb_tick(struct memb *mb, int64_t now)
{
	struct memb_member *m;
	bool changed = false;
	guint i;

	for (i = mb->members->len; i-- > 0;) {
		m = g_ptr_array_index(mb->members, i);
		if (has_timed_out(m, now)) {
			changed = changed || !m->info.dead;
			mark_dead(mb, m, now);
		}
		changed = update_absence(mb, m, now) || changed;
		if (!m->listed && (m->info.dead || m->info.leaving) &&
		    now - m->last_update > MEMB_DEAD_RETENTION_NS)
			remove_member(mb, i);
	}
	return changed;
}

size_t
memb_dead_strong(struct memb *mb, const struct memb_member **out, size_t max)
{
	const struct memb_member *m;
	size_t n = 0;
	guint i;

	refresh_hubs(mb);
	for (i = 0; i < mb->members->len && n < max; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (m->info.dead && m->strong && !m->lost)
			out[n++] = m;
	}
	return n;
}

bool
memb_connection_refused(struct memb *mb, struct str box)
{
	struct memb_member *m = find_member(mb, box);

	if (m == NULL || !m->info.dead || m->lost)
		return false;
	m->lost = mb->hubs_stale = true;
	return true;
}

void
memb_cancel_requests(struct memb *mb)
{
	struct memb_member *m;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		m->unanswered_since = 0;
		if (!m->lost)
			m->absent_since = 0;
	}
}

bool
memb_is_alive(const struct memb_member *m)
{
	return m->last_update != 0 && !m->info.dead && !m->info.leaving;
}

bool
memb_is_running(const struct memb_member *m)
{
	return m->last_update != 0 && !m->info.dead;
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
memb_count_lost(const struct memb *mb)
{
	size_t n = 0;
	guint i;

	for (i = 0; i < mb->members->len; i++)
		n += is_lost(g_ptr_array_index(mb->members, i));
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

/* Hashes name, start time and readiness of a member. */
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

	refresh_hubs(mb);
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
		if (memb_is_alive(m) && is_in_own_hall(mb, m))
			sum += digest(m);
	}
	return sum;
}

/* Counts the gates of a hall that this box knows to be serving. */
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

/* The same, or the highest number that a hub of the hall reported. */
static uint64_t
max_serving(const struct memb *mb, const struct hall *h)
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

	refresh_hubs(mb);
	for (i = 0; i < mb->halls->len; i++)
		n += max_serving(mb, g_ptr_array_index(mb->halls, i));
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
	uint64_t own_weight = memb_weight(key, mb->own.info.box);
	const struct hall *h;
	int before = 0;
	unsigned i, j;

	refresh_hubs(mb);
	if (mb->own.hub_rank < 0 ||
	    (hall.n > 0 && !str_eq(hall, mb->own.info.hall)))
		return false;
	for (i = 0; i < mb->halls->len; i++) {
		h = g_ptr_array_index(mb->halls, i);
		if (hall.n > 0 && !str_eq(hall, h->name))
			continue;
		for (j = 0; j < h->nhubs; j++)
			before += h->hubs[j] != &mb->own &&
			    memb_weight(key, h->hubs[j]->info.box) > own_weight;
	}
	return before < k;
}

static bool
ranks_before(const struct memb_member *a, const struct memb_member *b)
{
	return a->hub_rank != b->hub_rank ? a->hub_rank < b->hub_rank
					  : a->weight > b->weight;
}

/* Counts the hubs before a box, and those of them that reach the platform. */
static int
count_before(struct memb *mb, const struct memb_member *m, int *with_platform)
{
	const struct hall *h;
	int before = 0;
	unsigned i, j;

	*with_platform = 0;
	for (i = 0; i < mb->halls->len; i++) {
		h = g_ptr_array_index(mb->halls, i);
		for (j = 0; j < h->nhubs; j++) {
			if (!ranks_before(h->hubs[j], m))
				continue;
			before++;
			*with_platform +=
			    !h->hubs[j]->info.platform_unreachable;
		}
	}
	return before;
}

bool
memb_is_watcher(struct memb *mb, struct str box, int k)
{
	const struct memb_member *m = find_member(mb, box);
	int before, with_platform;

	refresh_hubs(mb);
	if (str_eq(box, mb->own.info.box))
		m = &mb->own;
	if (m == NULL || m->hub_rank < 0)
		return false;
	before = count_before(mb, m, &with_platform);
	return before < k ||
	    (!m->info.platform_unreachable &&
		with_platform < MAX(k, MEMB_WATCHERS_WITH_PLATFORM_MIN));
}

bool
memb_has_updates(struct memb *mb, const struct memb_member *to)
{
	const struct memb_member *m;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (is_to_relay(mb, to, m))
			return true;
	}
	return false;
}

size_t
memb_collect_updates(struct memb *mb, const struct rnd *rnd, struct str to,
    const struct memb_member **out, size_t n)
{
	struct memb_member *m, *recipient = find_member(mb, to);
	size_t count = 0;
	guint i, start, len = mb->members->len;

	if (len == 0 || n == 0)
		return 0;
	if (recipient != NULL && recipient->info.dead &&
	    !recipient->death_uncertain)
		out[count++] = recipient;
	start = (guint)rnd_below(rnd, len);
	for (i = 0; i < len && count < n; i++) {
		m = g_ptr_array_index(mb->members, (start + i) % len);
		if (!is_to_relay(mb, recipient, m))
			continue;
		m->sends_left--;
		out[count++] = m;
	}
	m = g_ptr_array_index(mb->members, start);
	if (count == 0 && m->last_update != 0 && m != recipient &&
	    memb_must_know(mb, recipient, m))
		out[count++] = m;
	return count;
}
