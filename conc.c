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
#include <math.h>
#include <stdbool.h>

#include "clk.h"
#include "conc.h"

/*
 * With k requests at once that each take slowdown(k) times as long, k /
 * slowdown(k) are done in the time of one.  The limit is where this is
 * greatest, though a little throughput is not worth much time: what waits at
 * us can still be sent anywhere.  Up to half of the slots work is taken not to
 * slow other work, and no limit is below that: so the usual time is the mean
 * of many samples, and noise does not close slots that are needed.
 */

/* After so long without a sample the past counts as one sample. */
#define OLD_NS (3 * NS_S)

enum {
	KNOWN_SAMPLES = 4, /* the mean is within a sixth for a spread of 0.3 */
	WEIGHT = 32, /* of the past against one sample, some seconds of load */
	HALF_STEP = CONC_STEPS / 2 - 1
};

/* Throughput counts once, and the time that work takes a quarter of that. */
static const double TIME_WEIGHT = 1.25;
/* A lower limit must bring so much more, as the means are noisy. */
static const double GAIN = 1.05;
/* One sample counts for no more than this against what is known so far. */
static const double SAMPLE_MAX = 2;

/* The step that `running` requests on so many slots come to. */
static int
step_of(int running, int slots)
{
	int at = (running * CONC_STEPS + slots - 1) / slots - 1;

	return CLAMP(at, 0, CONC_STEPS - 1);
}

static int
half_of(int slots)
{
	return (slots + 1) / 2;
}

static bool
is_known(const struct conc_step *s)
{
	return s->samples >= KNOWN_SAMPLES;
}

void
conc_add_sample(struct conc *c, int beside, int slots, double time, int64_t now)
{
	struct conc_step *s;

	if (slots <= 0)
		return;
	s = &c->steps[step_of(beside + 1, slots)];
	if (s->samples > 0)
		time = CLAMP(
		    time, s->mean_time / SAMPLE_MAX, s->mean_time * SAMPLE_MAX);
	if (now - s->updated_at >= OLD_NS)
		s->recent_samples = MIN(s->samples, 1);
	s->samples = MIN(s->samples + 1, WEIGHT);
	s->recent_samples = MIN(s->recent_samples + 1, WEIGHT);
	s->mean_time += (time - s->mean_time) / s->recent_samples;
	s->updated_at = now;
}

/* The mean of all samples up to a step. */
static double
mean_time(const struct conc *c, int last)
{
	double sum = 0;
	unsigned n = 0;
	int i;

	for (i = 0; i <= last; i++) {
		sum += c->steps[i].mean_time * c->steps[i].samples;
		n += c->steps[i].samples;
	}
	return n == 0 ? 0 : sum / n;
}

double
conc_base_time(const struct conc *c)
{
	double half = mean_time(c, HALF_STEP);

	return half > 0 ? half : mean_time(c, CONC_STEPS - 1);
}

void
conc_merge(struct conc *c, const struct conc *other)
{
	double usual = conc_base_time(other), weight;
	const struct conc_step *o;
	struct conc_step *s;
	int i;

	for (i = 0; i < CONC_STEPS; i++) {
		o = &other->steps[i];
		s = &c->steps[i];
		if (o->samples == 0)
			continue;
		weight = (double)o->samples / (o->samples + s->samples);
		s->mean_time += (o->mean_time / usual - s->mean_time) * weight;
		s->samples += o->samples;
		s->recent_samples += o->recent_samples;
		s->updated_at = MAX(s->updated_at, o->updated_at);
	}
}

/* The time at a step or, where it is not known, at the nearest below. */
static double
time_at(const struct conc *c, int step)
{
	int i;

	for (i = step; i >= 0; i--)
		if (is_known(&c->steps[i]))
			return c->steps[i].mean_time;
	return 0;
}

double
conc_slowdown(const struct conc *c, int beside, int slots)
{
	double usual = conc_base_time(c);
	int step;

	if (slots <= 0 || usual == 0)
		return 1;
	step = step_of(beside + 1, slots);
	return step <= HALF_STEP ? 1 : MAX(time_at(c, step) / usual, 1);
}

/*
 * Until more is known two thirds of the slots are used: a limit that is too
 * high is learned from many requests, and makes each of them slow.
 */
static int
first_limit(int slots)
{
	return (2 * slots + 2) / 3;
}

int
conc_limit(const struct conc *c, int slots)
{
	int k, best = half_of(slots);
	double power, best_power = 0;

	for (k = slots; k >= half_of(slots); k--) {
		if (k > first_limit(slots) &&
		    !is_known(&c->steps[step_of(k, slots)]))
			continue;
		power = k / pow(conc_slowdown(c, k - 1, slots), TIME_WEIGHT);
		if (power <= best_power * GAIN)
			continue;
		best_power = power;
		best = k;
	}
	return best;
}

/* Is what is known of a step what the backend servers do now? */
static bool
is_current(const struct conc_step *s, int64_t now)
{
	return s->recent_samples > KNOWN_SAMPLES &&
	    now - s->updated_at < OLD_NS;
}

/*
 * First whether all slots can be used, and what half of them do; then what
 * shows whether the limit should move: its neighbours.
 */
int
conc_next_to_explore(const struct conc *c, int slots, int64_t now)
{
	int limit = conc_limit(c, slots), half = half_of(slots);

	if (!is_known(&c->steps[step_of(slots, slots)]))
		return slots;
	if (!is_known(&c->steps[step_of(half, slots)]))
		return half;
	if (limit < slots &&
	    !is_current(&c->steps[step_of(limit + 1, slots)], now))
		return limit + 1;
	if (limit > half &&
	    !is_current(&c->steps[step_of(limit - 1, slots)], now))
		return limit - 1;
	return 0;
}
