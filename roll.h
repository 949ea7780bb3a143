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
#ifndef ROLL_H
#define ROLL_H

#include <stdbool.h>
#include <stdint.h>

#include "chart.h"
#include "obj.h"
#include "str.h"
#include "verdict.h"

/*
 * A roll-out of a service's new version, as one home of the service sees it:
 * which share of the requests the new version may get, whether it is worse than
 * the old one, and what the platform is to be told.  Pure.
 *
 * All homes of a service decide alike: by the age of the order, which the
 * oldest among them tells the others, and by the verdict of any of them.  So no
 * home has to be asked, and one that dies or starts takes nothing with it.
 */

/* States and events, as charts/rollout.toml has them. */
enum roll_state {
	ROLL_WAITING, /* no server of the new version is usable yet */
	ROLL_SMALL,
	ROLL_WIDER,
	ROLL_ALL, /* the old version gets nothing new */
	ROLL_COMPLETED,
	ROLL_ROLLED_BACK, /* the new version gets nothing more */
	ROLL_STATE_MAX
};

enum roll_event {
	ROLL_EV_SERVERS,
	ROLL_EV_PROVEN,
	ROLL_EV_BAD,
	ROLL_EV_COMPLETED,
	ROLL_EVENT_MAX
};

extern const struct chart_names roll_chart_names;

/* What a home tells the service's other homes. */
struct roll_report {
	int64_t age; /* of the order, ns */
	enum roll_state state;
	uint64_t answers, failures; /* of the new version */
	unsigned old_in_flight; /* requests at servers of the old one */
};

struct roll;

/* An order, its chart, and the share of the first step. */
struct roll *roll_new(const struct obj_rollout *, const struct chart *,
    double share, int64_t now);
void roll_free(struct roll *);

/* Is it still the same order? */
bool roll_matches(const struct roll *, const struct obj_rollout *);

/* The platform has this state of it. */
void roll_set_platform_state(struct roll *, enum obj_rollout_state);

/* May a server of the new version, or of the old one, get a request now? */
bool roll_allows(const struct roll *, bool to_new);

/* Is it counted on for what will come? */
bool roll_counts_as_capacity(const struct roll *, bool is_new);

/* Is it not decided yet which version stays? */
bool roll_is_undecided(const struct roll *);

enum roll_state roll_state(const struct roll *);

/* Why the new version is rolled back; NULL: it is not. */
const char *roll_reason(const struct roll *);

/* A request is sent to a server. */
void roll_request_sent(struct roll *, bool to_new);

/* And has ended there. */
void roll_request_ended(
    struct roll *, bool at_new, unsigned kind, enum verdict_outcome);

/* Time passes; are there usable servers of the new version here? */
void roll_tick(struct roll *, bool has_new, int64_t now);

/* What to tell, and what another box told of its home in a hall. */
struct roll_report
roll_make_report(const struct roll *, unsigned old_out, int64_t);
void roll_merge_report(struct roll *, struct str box, struct str hall,
    const struct roll_report *, int64_t now);

/*
 * What the platform is to be told, if its state is not that already: completed
 * only once no home of the halls has a request at the old version.
 */
enum obj_rollout_state roll_state_to_write(const struct roll *,
    const struct str *halls, unsigned n, unsigned old_out, int64_t now);

#endif
