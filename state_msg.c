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

#include "state_msg.h"

enum {
	MILLI = 1000,
	/* Values beyond these are errors: half an hour, a million requests. */
	WORK_MAX_US = 1800 * 1000 * 1000,
	INFLIGHT_MAX = 1 << 20,
	SAMPLES_MAX = 1 << 20
};

static uint64_t
to_milli(double v)
{
	return (uint64_t)llround(MAX(v, 0) * MILLI);
}

/* A remaining time is rounded up, so that it does not end too early. */
static uint64_t
to_ms(int64_t ns)
{
	return (uint64_t)((MAX(ns, 0) + NS_MS - 1) / NS_MS);
}

static int64_t
from_ms(uint64_t ms)
{
	return (int64_t)MIN(ms, (uint64_t)(DISP_STATE_TIME_MAX_NS / NS_MS)) *
	    NS_MS;
}

static void
write_server(struct msg_server_state *out, const struct disp_server_state *in)
{
	*out = (struct msg_server_state){.name = in->name,
	    .started_ms = (uint64_t)in->started_ms,
	    .inflight = (uint64_t)MAX(in->inflight, 0),
	    .state = (uint64_t)in->state,
	    .eject_ms = to_ms(in->eject_ns),
	    .cold_ms = to_ms(in->cold_ns),
	    .cold_reported = in->cold_reported,
	    .pause_ms = to_ms(in->pause_ns),
	    .ratio_milli = to_milli(in->service_time_ratio)};
}

void
state_msg_write(struct msg_shard_state *out, const struct disp_state *in)
{
	struct msg_server_state *servers =
	    g_new0(struct msg_server_state, in->nservers + 1);
	struct msg_work_state *work =
	    g_new0(struct msg_work_state, in->nwork + 1);
	unsigned i;

	for (i = 0; i < in->nservers; i++)
		write_server(&servers[i], &in->servers[i]);
	for (i = 0; i < in->nwork; i++)
		work[i] = (struct msg_work_state){in->work[i].kind,
		    in->work[i].step, (uint64_t)(in->work[i].mean_time / NS_US),
		    in->work[i].samples};
	out->retry_milli = to_milli(in->retry_tokens);
	out->mean_us = (uint64_t)(in->mean_service_time / NS_US);
	out->servers = (struct msg_list){servers, in->nservers};
	out->work = (struct msg_list){work, in->nwork};
}

void
state_msg_clear(struct msg_shard_state *m)
{
	g_free(m->servers.items);
	g_free(m->work.items);
	m->servers = m->work = (struct msg_list){NULL, 0};
}

static bool
read_server(struct disp_server_state *out, const struct msg_server_state *in)
{
	*out = (struct disp_server_state){.name = in->name,
	    .started_ms = (int64_t)in->started_ms,
	    .inflight = (int)in->inflight,
	    .state = (enum pick_state)in->state,
	    .eject_ns = from_ms(in->eject_ms),
	    .cold_ns = from_ms(in->cold_ms),
	    .cold_reported = in->cold_reported,
	    .pause_ns = from_ms(in->pause_ms),
	    .service_time_ratio = (double)in->ratio_milli / MILLI};
	return in->started_ms <= INT64_MAX && in->inflight <= INFLIGHT_MAX &&
	    in->state < PICK_STATE_MAX;
}

static bool
read_work(struct disp_work_state *out, const struct msg_work_state *in)
{
	*out = (struct disp_work_state){(unsigned)in->kind, (unsigned)in->step,
	    (double)in->mean_us * NS_US, (unsigned)in->samples};
	return in->kind <= UINT32_MAX && in->step < CONC_STEPS &&
	    in->mean_us > 0 && in->mean_us <= WORK_MAX_US && in->samples > 0 &&
	    in->samples <= SAMPLES_MAX;
}

static bool
read_lists(const struct msg_shard_state *m, struct disp_state *out)
{
	const struct msg_server_state *servers = m->servers.items;
	const struct msg_work_state *work = m->work.items;
	size_t i;

	if (m->servers.n > DISP_STATE_SERVERS_MAX ||
	    m->work.n > DISP_STATE_WORK_MAX || m->mean_us > WORK_MAX_US)
		return false;
	out->servers = g_new0(struct disp_server_state, m->servers.n + 1);
	out->work = g_new0(struct disp_work_state, m->work.n + 1);
	for (i = 0; i < m->servers.n; i++)
		if (!read_server(&out->servers[out->nservers++], &servers[i]))
			return false;
	for (i = 0; i < m->work.n; i++)
		if (!read_work(&out->work[out->nwork++], &work[i]))
			return false;
	return true;
}

bool
state_msg_read(const struct msg_shard_state *m, struct disp_state *out)
{
	*out =
	    (struct disp_state){.retry_tokens = (double)m->retry_milli / MILLI,
		.mean_service_time =
		    (int64_t)MIN(m->mean_us, (uint64_t)WORK_MAX_US) * NS_US};
	if (read_lists(m, out))
		return true;
	disp_state_clear(out);
	return false;
}
