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
#include "deputy.h"

static struct deputy_failure *
find_failure(const struct deputy *d, struct str box)
{
	struct deputy_failure *f;
	guint i;

	for (i = 0; d->failed != NULL && i < d->failed->len; i++) {
		f = &g_array_index(d->failed, struct deputy_failure, i);
		if (str_eq(f->box, box))
			return f;
	}
	return NULL;
}

static void
add_failure(struct deputy *d, struct str box, int64_t now)
{
	struct deputy_failure *f = find_failure(d, box), add;

	if (f != NULL) {
		f->until = now + DEPUTY_RETRY_NS;
		return;
	}
	if (d->failed == NULL)
		d->failed =
		    g_array_new(FALSE, FALSE, sizeof(struct deputy_failure));
	add = (struct deputy_failure){str_dup(box), now + DEPUTY_RETRY_NS};
	g_array_append_val(d->failed, add);
}

static void
forget_failures(struct deputy *d)
{
	guint i;

	if (d->failed == NULL)
		return;
	for (i = 0; i < d->failed->len; i++)
		str_free(
		    &g_array_index(d->failed, struct deputy_failure, i).box);
	g_array_free(d->failed, TRUE);
	d->failed = NULL;
}

static void
set_box(struct deputy *d, enum deputy_state state, struct str box)
{
	struct str copy = box.n > 0 ? str_dup(box) : str_c(NULL);

	str_free(&d->box);
	d->box = copy;
	d->state = state;
}

void
deputy_clear(struct deputy *d)
{
	set_box(d, DEPUTY_NONE, str_c(NULL));
	forget_failures(d);
	*d = (struct deputy){0};
}

/* The servers respond to the owner again; returns whether it dispatches. */
static bool
respond_again(struct deputy *d, int64_t now)
{
	bool served = d->state == DEPUTY_SERVING;

	if (d->responding_since == 0)
		d->responding_since = now;
	if (now - d->responding_since < DEPUTY_RETURN_NS)
		return false;
	deputy_clear(d);
	return served;
}

bool
deputy_update(struct deputy *d, bool none_responds, int64_t now)
{
	if (!none_responds)
		return d->needed && respond_again(d, now);
	d->needed = true;
	d->responding_since = 0;
	if (d->state == DEPUTY_TRIAL && now - d->trial_at >= DEPUTY_TRIAL_NS) {
		add_failure(d, d->box, now);
		set_box(d, DEPUTY_NONE, str_c(NULL));
	}
	return false;
}

bool
deputy_is_wanted(const struct deputy *d)
{
	return d->needed && d->responding_since == 0 && d->state == DEPUTY_NONE;
}

bool
deputy_may_try(const struct deputy *d, struct str box, int64_t now)
{
	const struct deputy_failure *f = find_failure(d, box);

	return f == NULL || now >= f->until;
}

void
deputy_start_trial(struct deputy *d, struct str box, int64_t now)
{
	set_box(d, DEPUTY_TRIAL, box);
	d->trial_at = now;
}

/*
 * A response that comes after the end of its trial counts as well: requests may
 * take longer than a trial.
 */
bool
deputy_responded(
    struct deputy *d, struct str box, enum deputy_result result, int64_t now)
{
	bool current = d->state != DEPUTY_NONE && str_eq(d->box, box);

	if (!d->needed)
		return false;
	if (result == DEPUTY_REACHES) {
		if (d->state == DEPUTY_SERVING)
			return false;
		set_box(d, DEPUTY_SERVING, box);
		return true;
	}
	if (result == DEPUTY_FAILED)
		add_failure(d, box, now);
	if (!current ||
	    (result == DEPUTY_UNDECIDED && d->state == DEPUTY_SERVING))
		return false;
	set_box(d, DEPUTY_NONE, str_c(NULL));
	return result == DEPUTY_FAILED;
}
