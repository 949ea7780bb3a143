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
#include <stdio.h>

#include "libreq.h"

/* The header that a gate sends with a request that it passes on. */

enum { FIELDS = 10, TEXT_MAX = 384 };

/* Numbers divided by blanks, the hall's name, and the service's last. */
bool
gate_pass_read(struct str text, struct gate_pass *out)
{
	char copy[TEXT_MAX];
	unsigned bulk, repeatable, retried, paid;
	long long target;
	const char *blank;
	int at = 0, n;

	if (text.n == 0 || text.n >= sizeof(copy))
		return false;
	memcpy(copy, text.p, text.n);
	copy[text.n] = '\0';
	n = sscanf(copy, "%u %u %u %u %u %u %u %u %u %lld %n", &out->hops,
	    &bulk, &repeatable, &retried, &paid, &out->tries, &out->attempts,
	    &out->rank, &out->kind, &target, &at);
	if (n != FIELDS || at == 0)
		return false;
	out->bulk = bulk != 0;
	out->repeatable = repeatable != 0;
	out->retried = retried != 0;
	out->paid = paid != 0;
	out->target_ms = target;
	out->hall = str_n(text.p + at, text.n - (size_t)at);
	blank = memchr(out->hall.p, ' ', out->hall.n);
	if (blank == NULL)
		return false;
	out->hall.n = (size_t)(blank - out->hall.p);
	out->service = str_n(blank + 1, (size_t)(text.p + text.n - blank - 1));
	return out->hall.n > 0 && out->service.n > 0;
}

size_t
gate_pass_write(const struct gate_pass *p, char *out, size_t size)
{
	int n = snprintf(out, size, "%u %u %u %u %u %u %u %u %u %lld %.*s %.*s",
	    p->hops, p->bulk, p->repeatable, p->retried, p->paid, p->tries,
	    p->attempts, p->rank, p->kind, (long long)p->target_ms,
	    STR_ARG(p->hall), STR_ARG(p->service));

	return MIN((size_t)n, size - 1);
}
