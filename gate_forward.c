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

/* Format of the header that a gate sends with a request that it forwards. */

enum { NUMBERS = 16 };

/* Placeholder where no regions are named. */
static const char ANY_REGION[] = "-";

/*
 * Whether the request is a retry.  A caller's own retry has not run by what we
 * know; builds without RETRY_NOT_RUN take any number but 0 for one that may
 * have.
 */
enum { RETRY_NONE, RETRY_MAYBE_RAN, RETRY_NOT_RUN };

/* Prefix of the customer's name, which may be empty or any text. */
enum { CUSTOMER_PREFIX = '=' };

/*
 * Cuts the text up to the next blank off `text`.  Returns false if there is no
 * blank.
 */
static bool
next_field(struct str *text, struct str *field)
{
	const char *blank = memchr(text->p, ' ', text->n);

	if (blank == NULL)
		return false;
	*field = str_n(text->p, (size_t)(blank - text->p));
	*text = str_n(blank + 1, text->n - field->n - 1);
	return true;
}

/*
 * Numbers separated by blanks, then the names of the hall, the regions, the
 * customer and the service.
 */
bool
gate_forward_read(struct str text, struct gate_forward *out)
{
	char copy[GATE_FORWARD_MAX];
	unsigned bulk, repeatable, retried, paid, suspect;
	unsigned long long hi, lo, caller;
	long long target, left, waited;
	int at = 0, n;

	if (text.n == 0 || text.n >= sizeof(copy))
		return false;
	memcpy(copy, text.p, text.n);
	copy[text.n] = '\0';
	n = sscanf(copy,
	    "%u %u %u %u %u %u %u %u %u %lld %lld %lld %llx %llx %llx %u %n",
	    &out->hops, &bulk, &repeatable, &retried, &paid, &out->attempts,
	    &out->max_attempts, &out->rank, &out->kind, &target, &left, &waited,
	    &hi, &lo, &caller, &suspect, &at);
	if (n != NUMBERS || at == 0)
		return false;
	out->bulk = bulk != 0;
	out->repeatable = repeatable != 0;
	out->is_retry = retried != 0;
	out->maybe_ran = retried == RETRY_MAYBE_RAN;
	out->within_retry_budget = paid != 0;
	out->suspect = suspect != 0;
	out->target_ms = target;
	out->caller_deadline_ms = left;
	out->waited_ms = waited;
	out->fingerprint = (struct fprint){hi, lo, caller};
	out->service = str_n(text.p + at, text.n - (size_t)at);
	if (!next_field(&out->service, &out->target_hall) ||
	    !next_field(&out->service, &out->regions) ||
	    !next_field(&out->service, &out->customer) ||
	    out->customer.n == 0 || out->customer.p[0] != CUSTOMER_PREFIX)
		return false;
	out->customer = str_n(out->customer.p + 1, out->customer.n - 1);
	if (str_eq(out->regions, str_c(ANY_REGION)))
		out->regions = str_c(NULL);
	return out->target_hall.n > 0 && out->service.n > 0;
}

/* First fields of the header of a response that names the next receiver. */
static const char TO_SERVER[] = "server", TO_OWNER[] = "owner";

/* Cuts a number off `text`; returns false if there is none. */
static bool
next_number(struct str *text, unsigned long long *out)
{
	struct str field;

	return next_field(text, &field) && str_u64(field, out);
}

/*
 * "server", the number of attempts, whether they are within a retry budget, the
 * name of the backend server, the inbox of the gate that has the lease, the
 * number of the lease, and the address.  Or "owner", the same two, the names of
 * its box, its hall and the hall of the shard, its inbox, the start of its box
 * in ms since 1970, and its address.
 */
bool
gate_next_read(struct str text, struct gate_next *out)
{
	unsigned long long attempts, paid, number;
	struct str kind;

	*out = (struct gate_next){0};
	if (text.n == 0 || !next_field(&text, &kind) ||
	    !next_number(&text, &attempts) || attempts > G_MAXINT ||
	    !next_number(&text, &paid) || !next_field(&text, &out->name))
		return false;
	out->attempts = (unsigned)attempts;
	out->within_retry_budget = paid != 0;
	out->to_server = str_eq(kind, str_c(TO_SERVER));
	if (!out->to_server &&
	    (!str_eq(kind, str_c(TO_OWNER)) || !next_field(&text, &out->hall) ||
		!next_field(&text, &out->target_hall)))
		return false;
	if (!next_field(&text, &out->inbox) || !next_number(&text, &number))
		return false;
	*(out->to_server ? &out->lease : &out->started_ms) = number;
	out->address = text;
	return out->name.n > 0 && out->address.n > 0;
}

size_t
gate_next_write(const struct gate_next *next, char *out, size_t size)
{
	int n;

	if (next->to_server)
		n = snprintf(out, size, "%s %u %u %.*s %.*s %llu %.*s",
		    TO_SERVER, next->attempts, next->within_retry_budget,
		    STR_ARG(next->name), STR_ARG(next->inbox),
		    (unsigned long long)next->lease, STR_ARG(next->address));
	else
		n = snprintf(out, size,
		    "%s %u %u %.*s %.*s %.*s %.*s %llu %.*s", TO_OWNER,
		    next->attempts, next->within_retry_budget,
		    STR_ARG(next->name), STR_ARG(next->hall),
		    STR_ARG(next->target_hall), STR_ARG(next->inbox),
		    (unsigned long long)next->started_ms,
		    STR_ARG(next->address));
	return MIN((size_t)n, size - 1);
}

static unsigned
retry_number(const struct gate_forward *forward)
{
	if (forward->maybe_ran)
		return RETRY_MAYBE_RAN;
	return forward->is_retry ? RETRY_NOT_RUN : RETRY_NONE;
}

size_t
gate_forward_write(const struct gate_forward *forward, char *out, size_t size)
{
	struct str regions =
	    forward->regions.n > 0 ? forward->regions : str_c(ANY_REGION);
	int n = snprintf(out, size,
	    "%u %u %u %u %u %u %u %u %u %lld %lld %lld %llx %llx %llx %u "
	    "%.*s %.*s %c%.*s %.*s",
	    forward->hops, forward->bulk, forward->repeatable,
	    retry_number(forward), forward->within_retry_budget,
	    forward->attempts, forward->max_attempts, forward->rank,
	    forward->kind, (long long)forward->target_ms,
	    (long long)forward->caller_deadline_ms,
	    (long long)forward->waited_ms,
	    (unsigned long long)forward->fingerprint.hi,
	    (unsigned long long)forward->fingerprint.lo,
	    (unsigned long long)forward->fingerprint.caller, forward->suspect,
	    STR_ARG(forward->target_hall), STR_ARG(regions), CUSTOMER_PREFIX,
	    STR_ARG(forward->customer), STR_ARG(forward->service));

	return MIN((size_t)n, size - 1);
}
