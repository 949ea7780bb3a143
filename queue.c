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
#include <glib.h>

#include "queue.h"

static bool before(const struct queue_item *, const struct queue_item *);
static void put(struct queue *, size_t, struct queue_item *);
static void sift_up(struct queue *, size_t);
static void sift_down(struct queue *, size_t);

void
queue_init(struct queue *q)
{
	*q = (struct queue){0};
}

void
queue_clear(struct queue *q)
{
	g_free(q->heap);
	queue_init(q);
}

static bool
before(const struct queue_item *a, const struct queue_item *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	if (a->deadline != b->deadline)
		return a->deadline < b->deadline;
	return a->seq < b->seq;
}

static void
put(struct queue *q, size_t at, struct queue_item *item)
{
	q->heap[at] = item;
	item->heap_index = at;
}

static void
sift_up(struct queue *q, size_t at)
{
	struct queue_item *item = q->heap[at];
	size_t parent;

	while (at > 0) {
		parent = (at - 1) / 2;
		if (!before(item, q->heap[parent]))
			break;
		put(q, at, q->heap[parent]);
		at = parent;
	}
	put(q, at, item);
}

static void
sift_down(struct queue *q, size_t at)
{
	struct queue_item *item = q->heap[at];
	size_t child;

	for (;;) {
		child = 2 * at + 1;
		if (child >= q->n)
			break;
		if (child + 1 < q->n &&
		    before(q->heap[child + 1], q->heap[child]))
			child++;
		if (!before(q->heap[child], item))
			break;
		put(q, at, q->heap[child]);
		at = child;
	}
	put(q, at, item);
}

void
queue_push(struct queue *q, struct queue_item *item)
{
	if (q->n == q->capacity) {
		q->capacity = MAX(16, 2 * q->capacity);
		q->heap = g_renew(struct queue_item *, q->heap, q->capacity);
	}
	item->seq = q->next_seq++;
	put(q, q->n++, item);
	sift_up(q, item->heap_index);
}

struct queue_item *
queue_first(const struct queue *q)
{
	return q->n == 0 ? NULL : q->heap[0];
}

struct queue_item *
queue_pop(struct queue *q)
{
	struct queue_item *item = queue_first(q);

	if (item != NULL)
		queue_remove(q, item);
	return item;
}

void
queue_remove(struct queue *q, struct queue_item *item)
{
	size_t at = item->heap_index;
	struct queue_item *last = q->heap[--q->n];

	if (last == item)
		return;
	put(q, at, last);
	sift_up(q, at);
	sift_down(q, last->heap_index);
}
