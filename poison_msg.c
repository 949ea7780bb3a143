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
#include "poison_msg.h"

/* Ages are in ms, and 0 stands for a time that there is not. */
static int64_t
ns_ago(int64_t now, uint64_t ms)
{
	return ms == 0
	    ? 0
	    : now - (int64_t)MIN(ms, (uint64_t)(now / NS_MS)) * NS_MS;
}

static uint64_t
ms_ago(int64_t now, int64_t at)
{
	return at == 0 ? 0 : (uint64_t)((now - at) / NS_MS + 1);
}

static void
write_word(struct msg_suspect *out, const struct poison_record *w, int64_t now)
{
	out->fingerprint_hi = w->fingerprint.hi;
	out->fingerprint_lo = w->fingerprint.lo;
	out->fingerprint_caller = w->fingerprint.caller;
	memcpy(out->trials, w->trial_ids, sizeof(out->trials));
	out->crash_age_ms = ms_ago(now, w->crashed_at);
	out->cleared_age_ms = ms_ago(now, w->cleared_at);
}

static void
read_word(struct poison_record *out, const struct msg_suspect *in, int64_t now)
{
	*out = (struct poison_record){
	    .fingerprint = {in->fingerprint_hi, in->fingerprint_lo,
		in->fingerprint_caller},
	    .crashed_at = ns_ago(now, in->crash_age_ms),
	    .cleared_at = ns_ago(now, in->cleared_age_ms)};
	memcpy(out->trial_ids, in->trials, sizeof(out->trial_ids));
}

unsigned
poison_msg_encode(struct poison *p, int64_t now, struct msg_suspect *out)
{
	struct poison_record words[POISON_MSG_RECORDS_MAX];
	unsigned i, n = poison_records(p, words);

	for (i = 0; i < n; i++)
		write_word(&out[i], &words[i], now);
	return n;
}

void
poison_msg_merge(struct poison *p, int64_t now, const struct msg_suspects *m)
{
	const struct msg_suspect *v = m->suspects.items;
	struct poison_record word;
	size_t i;

	for (i = 0; i < MIN(m->suspects.n, (size_t)POISON_MSG_RECORDS_MAX);
	     i++) {
		read_word(&word, &v[i], now);
		poison_merge(p, &word);
	}
}
