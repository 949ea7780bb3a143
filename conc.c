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
 * If k concurrent requests each take slowdown(k) times as long, the throughput
 * is proportional to k / slowdown(k).  The limit is near the maximum of this,
 * with some preference for short service times over the last bit of throughput,
 * as a request that waits in the dispatcher can still be sent to any server.
 *
 * Requests on up to half of the slots are presumed not to slow each other, and
 * the limit is never lower than that.  The base time is therefore a mean of
 * many samples, and noise does not close slots that are needed.
 */

/* After this time without a sample all older samples count as one. */
#define OLD_NS (3 * NS_S)

enum {
	/* Samples for a usable mean: error 1/6 at a deviation of 0.3. */
	MIN_SAMPLES = 4,
	MAX_WEIGHT = 32, /* of the past against one sample; some seconds */
	HALF_STEP = CONC_STEPS / 2 - 1
};

/* Weight of the slowdown in the power of a limit; 1: throughput alone. */
static const double SLOWDOWN_WEIGHT = 1.25;
/* A lower limit must be better by this factor, as the means are noisy. */
static const double MIN_GAIN = 1.05;
/* A sample is clamped to this factor above and below the mean so far. */
static const double SAMPLE_CLAMP = 2;

/* Returns the step for this many running requests. */
static int
step_of(int running, int slots)
{
	int step = (running * CONC_STEPS + slots - 1) / slots - 1;

	return CLAMP(step, 0, CONC_STEPS - 1);
}

static int
half_of(int slots)
{
	return (slots + 1) / 2;
}

static bool
is_known(const struct conc_step *s)
{
	return s->samples >= MIN_SAMPLES;
}

void
conc_add_sample(
    struct conc *c, int concurrent, int slots, double time, int64_t now)
{
	struct conc_step *s;

	if (slots <= 0)
		return;
	s = &c->steps[step_of(concurrent + 1, slots)];
	if (s->samples > 0)
		time = CLAMP(time, s->mean_time / SAMPLE_CLAMP,
		    s->mean_time * SAMPLE_CLAMP);
	if (now - s->updated_at >= OLD_NS)
		s->recent_samples = MIN(s->samples, 1);
	s->samples = MIN(s->samples + 1, MAX_WEIGHT);
	s->recent_samples = MIN(s->recent_samples + 1, MAX_WEIGHT);
	s->mean_time += (time - s->mean_time) / s->recent_samples;
	s->updated_at = now;
}

void
conc_set_step(
    struct conc *c, unsigned step, double mean, unsigned samples, int64_t now)
{
	samples = MIN(samples, MAX_WEIGHT);
	c->steps[step % CONC_STEPS] =
	    (struct conc_step){mean, samples, samples, now};
}

/* Returns the mean of all samples up to a step; 0: none. */
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

/* Returns the time at a step or, if unknown, at the nearest known one below. */
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
conc_slowdown(const struct conc *c, int concurrent, int slots)
{
	double usual = conc_base_time(c);
	int step;

	if (slots <= 0 || usual == 0)
		return 1;
	step = step_of(concurrent + 1, slots);
	return step <= HALF_STEP ? 1 : MAX(time_at(c, step) / usual, 1);
}

bool
conc_is_known(const struct conc *c, int concurrent, int slots)
{
	int step = step_of(concurrent + 1, slots);

	return step <= HALF_STEP || is_known(&c->steps[step]);
}

/*
 * Until more is known, two thirds of the slots are used: with a limit that is
 * too high, many requests would be slow until that is learned.
 */
static int
initial_limit(int slots)
{
	return (2 * slots + 2) / 3;
}

int
conc_limit(const struct conc *c, int slots)
{
	int k, best = half_of(slots);
	double power, best_power = 0;

	for (k = slots; k >= half_of(slots); k--) {
		if (k > initial_limit(slots) &&
		    !is_known(&c->steps[step_of(k, slots)]))
			continue;
		power =
		    k / pow(conc_slowdown(c, k - 1, slots), SLOWDOWN_WEIGHT);
		if (power <= best_power * MIN_GAIN)
			continue;
		best_power = power;
		best = k;
	}
	return best;
}

/* Returns whether a step has enough recent samples. */
static bool
is_current(const struct conc_step *s, int64_t now)
{
	return s->recent_samples > MIN_SAMPLES && now - s->updated_at < OLD_NS;
}

/*
 * All slots and half of the slots are explored first.  After that the
 * neighbours of the limit are kept up to date, which shows whether it should
 * move.
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
