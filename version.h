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
#ifndef VERSION_H
#define VERSION_H

#include <stdint.h>

/*
 * Versions of objects and revisions of the platform.  A platform that is
 * restored from a copy loses its last writes and uses their revisions again.
 * It then has a new epoch, a counter of restores.  A version holds both, the
 * epoch in its higher decimal digits, so that any version of a later epoch is
 * higher.  Epochs count from 1, also on a platform that does not tell them; 0
 * stands in versions from boxes of builds that know no epochs.
 */
#define VERSION_EPOCH_STEP UINT64_C(1000000000000)

#define VERSION_EPOCH_FIRST UINT64_C(1)

/* So that a version fits into a signed number. */
#define VERSION_EPOCH_MAX (INT64_MAX / VERSION_EPOCH_STEP - 1)

/* Greatest age of a copy from which the platform is restored, in ms. */
#define VERSION_COPY_AGE_MAX_MS (20 * 1000)

static inline uint64_t
version_make(uint64_t epoch, uint64_t revision)
{
	return epoch * VERSION_EPOCH_STEP + revision;
}

static inline uint64_t
version_epoch(uint64_t version)
{
	return version / VERSION_EPOCH_STEP;
}

static inline uint64_t
version_revision(uint64_t version)
{
	return version % VERSION_EPOCH_STEP;
}

#endif
