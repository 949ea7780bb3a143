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
 * Requests held until a slot is free, ordered by rank and then by deadline: a
 * binary heap that holds pointers and can take one out of its middle.
 */
struct queue_item {
	int rank; /* the lower, the sooner; 0 where all are alike */
	int64_t deadline; /* monotonic ns */
	uint64_t seq; /* ties go to the earlier */
	size_t heap_index; /* place in the heap, for queue_remove() */
	void *data;
};

struct queue {
	struct queue_item **heap;
	size_t n, capacity;
	uint64_t next_seq;
};

void queue_init(struct queue *);
void queue_clear(struct queue *);
void queue_push(struct queue *, struct queue_item *);
struct queue_item *queue_first(const struct queue *);
struct queue_item *queue_pop(struct queue *);
void queue_remove(struct queue *, struct queue_item *);

#endif
