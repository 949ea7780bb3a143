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

enum { FIELDS = 16 };

/* No region is named: a word in the place of their names. */
static const char ANY_REGION[] = "-";

/* A customer's name stands behind this sign, as any word may be a name. */
enum { CUSTOMER_SIGN = '=' };

/* Cut the text up to the next blank off the rest; false if there is none. */
static bool
next_word(struct str *rest, struct str *word)
{
	const char *blank = memchr(rest->p, ' ', rest->n);

	if (blank == NULL)
		return false;
	*word = str_n(rest->p, (size_t)(blank - rest->p));
	*rest = str_n(blank + 1, rest->n - word->n - 1);
	return true;
}

/*
 * Numbers divided by blanks, then the names of the hall, of regions, of the
 * customer, and of the service.
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
	    &out->hops, &bulk, &repeatable, &retried, &paid, &out->tries,
	    &out->max_attempts, &out->rank, &out->kind, &target, &left, &waited,
	    &hi, &lo, &caller, &suspect, &at);
	if (n != FIELDS || at == 0)
		return false;
	out->bulk = bulk != 0;
	out->repeatable = repeatable != 0;
	out->retried = retried != 0;
	out->within_retry_budget = paid != 0;
	out->suspect = suspect != 0;
	out->target_ms = target;
	out->caller_deadline_ms = left;
	out->waited_ms = waited;
	out->fingerprint = (struct fprint){hi, lo, caller};
	out->service = str_n(text.p + at, text.n - (size_t)at);
	if (!next_word(&out->service, &out->target_hall) ||
	    !next_word(&out->service, &out->regions) ||
	    !next_word(&out->service, &out->customer) || out->customer.n == 0 ||
	    out->customer.p[0] != CUSTOMER_SIGN)
		return false;
	out->customer = str_n(out->customer.p + 1, out->customer.n - 1);
	if (str_eq(out->regions, str_c(ANY_REGION)))
		out->regions = str_c(NULL);
	return out->target_hall.n > 0 && out->service.n > 0;
}

size_t
gate_forward_write(const struct gate_forward *p, char *out, size_t size)
{
	struct str regions = p->regions.n > 0 ? p->regions : str_c(ANY_REGION);
	int n = snprintf(out, size,
	    "%u %u %u %u %u %u %u %u %u %lld %lld %lld %llx %llx %llx %u "
	    "%.*s %.*s %c%.*s %.*s",
	    p->hops, p->bulk, p->repeatable, p->retried, p->within_retry_budget,
	    p->tries, p->max_attempts, p->rank, p->kind,
	    (long long)p->target_ms, (long long)p->caller_deadline_ms,
	    (long long)p->waited_ms, (unsigned long long)p->fingerprint.hi,
	    (unsigned long long)p->fingerprint.lo,
	    (unsigned long long)p->fingerprint.caller, p->suspect,
	    STR_ARG(p->target_hall), STR_ARG(regions), CUSTOMER_SIGN,
	    STR_ARG(p->customer), STR_ARG(p->service));

	return MIN((size_t)n, size - 1);
}
