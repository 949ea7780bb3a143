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

/* A later boot wins, then a later beat; leaving stays said for a boot. */
bool
memb_heard(struct memb *mb, const struct memb_info *info, int64_t now)
{
	struct memb_member *m;
	bool leaving;

	if (info->box.n == 0 || str_eq(info->box, mb->self.box))
		return false;
	m = find(mb, info->box);
	if (m == NULL)
		m = add(mb, info->box);
	if (info->boot < m->info.boot)
		return false;
	if (info->boot == m->info.boot && info->beat <= m->info.beat)
		return false;
	leaving =
	    info->leaving || (info->boot == m->info.boot && m->info.leaving);
	memb_info_clear(&m->info);
	memb_info_copy(&m->info, info);
	m->info.leaving = leaving;
	m->heard = now;
	return true;
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
memb_listed(struct memb *mb, struct str box, struct str hall, struct str inbox,
    bool leaving, int64_t now)
{
	struct memb_member *m;

	(void)now;
	if (str_eq(box, mb->self.box))
		return;
	m = find(mb, box);
	if (m == NULL)
		m = add(mb, box);
	m->listed = true;
	if (m->heard != 0)
		return;
	str_free(&m->info.hall);
	str_free(&m->info.inbox);
	m->info.hall = str_dup(hall);
	m->info.inbox = str_dup(inbox);
	m->info.leaving = leaving;
}

void
memb_tick(struct memb *mb, int64_t now)
{
	struct memb_member *m;
	guint i;

	for (i = mb->members->len; i-- > 0;) {
		m = g_ptr_array_index(mb->members, i);
		if (!m->listed && now - m->heard > MEMB_FORGET_NS)
			g_ptr_array_remove_index_fast(mb->members, i);
	}
}

void
memb_paused(struct memb *mb, int64_t away)
{
	struct memb_member *m;
	guint i;

	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (m->heard != 0)
			m->heard += away;
	}
}

bool
memb_alive(const struct memb *mb, const struct memb_member *m, int64_t now)
{
	(void)mb;
	return m->heard != 0 && now - m->heard <= MEMB_ALIVE_NS &&
	    !m->info.leaving;
}

void
memb_each(const struct memb *mb, memb_visit_fn *visit, void *ctx)
{
	guint i;

	for (i = 0; i < mb->members->len; i++)
		visit(ctx, g_ptr_array_index(mb->members, i));
}

size_t
memb_count_alive(const struct memb *mb, int64_t now)
{
	size_t n = 1;
	guint i;

	for (i = 0; i < mb->members->len; i++)
		n += memb_alive(mb, g_ptr_array_index(mb->members, i), now);
	return n;
}

uint64_t
memb_weight(struct str key, struct str box)
{
	return XXH3_64bits_withSeed(key.p, key.n, XXH3_64bits(box.p, box.n));
}

bool
memb_is_first(
    const struct memb *mb, struct str key, struct str hall, int k, int64_t now)
{
	uint64_t own = memb_weight(key, mb->self.box);
	const struct memb_member *m;
	guint i;

	if (mb->self.leaving)
		return false;
	if (hall.n > 0 && !str_eq(hall, mb->self.hall))
		return false;
	for (i = 0; i < mb->members->len; i++) {
		m = g_ptr_array_index(mb->members, i);
		if (!memb_alive(mb, m, now))
			continue;
		if (hall.n > 0 && !str_eq(hall, m->info.hall))
			continue;
		if (memb_weight(key, m->info.box) > own)
			k--;
	}
	return k > 0;
}

size_t
memb_sample(const struct memb *mb, const struct rnd *rnd, int64_t now,
    const struct memb_member **out, size_t n)
{
	const struct memb_member *m;
	size_t got = 0;
	guint i, at;

	if (mb->members->len == 0)
		return 0;
	at = (guint)rnd_below(rnd, mb->members->len);
	for (i = 0; i < mb->members->len && got < n; i++) {
		m = g_ptr_array_index(mb->members, (at + i) % mb->members->len);
		if (m->heard != 0 && now - m->heard <= MEMB_ALIVE_NS)
			out[got++] = m;
	}
	return got;
}
