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
#ifndef QUEUE_H
#define QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A priority queue of requests, ordered by rank, then by deadline, then by
 * insertion.  It is a binary heap of pointers from which any item can be
 * removed.  The items belong to the caller and are not copied.
 */
struct queue_item {
	int rank; /* lower is served first */
	int64_t deadline; /* monotonic ns */
	uint64_t seq; /* number of the insertion, set by queue_push() */
	size_t heap_index; /* index in the heap, for queue_remove() */
	void *data; /* the caller's */
};

struct queue {
	struct queue_item **heap;
	size_t n, capacity;
	uint64_t next_seq;
};

void queue_init(struct queue *);
/* Removes all items and frees the heap. */
void queue_clear(struct queue *);
void queue_push(struct queue *, struct queue_item *);
/* Returns the first item and keeps it in the queue; NULL: empty. */
struct queue_item *queue_first(const struct queue *);
/* Removes and returns the first item; NULL: empty. */
struct queue_item *queue_pop(struct queue *);
/* Removes an item, which must be in the queue. */
void queue_remove(struct queue *, struct queue_item *);

#endif
