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

/* An age is in ms plus 1, and 0 stands for no time. */
static int64_t
to_time(int64_t now, uint64_t ms)
{
	return ms == 0
	    ? 0
	    : now - (int64_t)MIN(ms, (uint64_t)(now / NS_MS)) * NS_MS;
}

static uint64_t
to_age_ms(int64_t now, int64_t at)
{
	return at == 0 ? 0 : (uint64_t)((now - at) / NS_MS + 1);
}

static void
encode_record(struct msg_suspect *out, const struct poison_word *w, int64_t now)
{
	out->print_hi = w->print.hi;
	out->print_lo = w->print.lo;
	out->print_caller = w->print.caller;
	memcpy(out->trials, w->trials, sizeof(out->trials));
	out->ended_ms = to_age_ms(now, w->ended);
	out->cleared_ms = to_age_ms(now, w->cleared);
}

static void
decode_record(
    struct poison_word *out, const struct msg_suspect *in, int64_t now)
{
	*out = (struct poison_word){
	    .print = {in->print_hi, in->print_lo, in->print_caller},
	    .ended = to_time(now, in->ended_ms),
	    .cleared = to_time(now, in->cleared_ms)};
	memcpy(out->trials, in->trials, sizeof(out->trials));
}

unsigned
poison_msg_write(struct poison *p, int64_t now, struct msg_suspect *out)
{
	struct poison_word records[POISON_WORDS];
	unsigned i, n = poison_words(p, records);

	for (i = 0; i < n; i++)
		encode_record(&out[i], &records[i], now);
	return n;
}

void
poison_msg_take(struct poison *p, int64_t now, const struct msg_suspects *m)
{
	const struct msg_suspect *v = m->suspects.items;
	struct poison_word record;
	size_t i;

	for (i = 0; i < MIN(m->suspects.n, (size_t)POISON_WORDS); i++) {
		decode_record(&record, &v[i], now);
		poison_take(p, &record);
	}
}
