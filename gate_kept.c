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
#include "libreq.h"
#include "slog.h"

/*
 * Attempts at owners that answer no ping.  Such an owner may only be slow, and
 * nothing is certain of the next attempt, which a retry budget or a gate that
 * leaves may refuse.  So the attempt at the owner is kept until another one is
 * answered by a backend server: the request ends with whichever comes first.
 */

void
gate_kept_begin(struct gate_req *r)
{
	r->kept_call = r->call;
	r->kept_owner = r->owner;
	r->call = NULL;
	r->owner = NULL;
}

static void
forget(struct gate_req *r)
{
	r->kept_call = NULL;
	r->kept_owner->outstanding--;
	r->kept_owner = NULL;
}

void
gate_kept_end(struct gate_req *r)
{
	struct up_call *call = r->kept_call;

	if (call == NULL)
		return;
	forget(r);
	up_cancel(call);
}

/* Makes the kept attempt the current one, which must have ended. */
static void
take_back(struct gate_req *r)
{
	if (r->state != REQ_HELD)
		gate_req_event(r, REQ_EV_RETRY);
	gate_req_event(r, REQ_EV_TRY);
	gate_req_event(r, REQ_EV_CONNECTED);
	r->call = r->kept_call;
	r->owner = r->kept_owner;
	r->kept_call = NULL;
	r->kept_owner = NULL;
	r->was_kept = true;
}

bool
gate_kept_resume(struct gate_req *r)
{
	if (r->kept_call == NULL)
		return false;
	slog_decision(SLOG_ROUTE, "left to the owner that is suspected",
	    "id=%.*s box=%.*s tries=%d", STR_ARG(r->request_id),
	    STR_ARG(r->kept_owner->info.box), r->disp.attempt_count);
	gate_attempt_leave_owner(r);
	take_back(r);
	return true;
}

bool
gate_kept_head(struct gate_req *r, const struct up_call *call, int status,
    const h2o_header_t *headers, size_t n)
{
	bool can_retry = r->disp.can_retry;

	if (call != r->kept_call)
		return false;
	if (fern_dialect.not_executed(status, headers, n) ||
	    dial_find_header(headers, n, STR_LIT("fern-error")).n > 0) {
		forget(r);
		return true;
	}
	gate_attempt_stop(r, DISP_CANCELED);
	r->disp.can_retry = can_retry;
	take_back(r);
	return false;
}

bool
gate_kept_failed(struct gate_req *r, const struct up_call *call)
{
	if (call == NULL || call != r->kept_call)
		return false;
	forget(r);
	return true;
}
