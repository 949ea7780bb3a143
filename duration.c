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
#include <math.h>

#include "duration.h"

/* Weight of the newest value. */
static const double NEWEST = 0.125;
/* Most requests end within so many deviations of the mean. */
static const double DEVIATIONS = 2;

void
duration_add(struct duration *d, int64_t ns)
{
	double error = (double)ns - d->mean;

	if (d->count == 0) {
		d->mean = (double)ns;
		d->count = 1;
		return;
	}
	d->mean += error * NEWEST;
	d->deviation += (fabs(error) - d->deviation) * NEWEST;
	if (d->count < DURATION_KNOWN)
		d->count++;
}

int64_t
duration_most(const struct duration *d)
{
	if (d->count < DURATION_KNOWN)
		return 0;
	return (int64_t)(d->mean + DEVIATIONS * d->deviation);
}
