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
#include "libagent.h"

/* The agent's counters and its admin page. */

static const struct cnt_desc descs[AC_MAX] = {
    [AC_PLATFORM_CALLS] = {"fern_platform_calls_total",
	"Calls to the platform, a waiting watch as one.", CNT_COUNTER},
    [AC_PLATFORM_DEFERRED] = {"fern_platform_put_off_total",
	"Calls put off because the box's budget was spent.", CNT_COUNTER},
    [AC_PLATFORM_POLLS] = {"fern_looks_total",
	"Looks at the platform beside the watches.", CNT_COUNTER},
    [AC_WATCHES_BROKEN] = {"fern_watches_broken_total",
	"Watches that were cut or refused, or were silent.", CNT_COUNTER},
    [AC_CONF_AGE] = {"fern_conf_age_ms",
	"Time since the rules here were confirmed by the platform.", CNT_GAUGE},
    [AC_UNATTENDED] = {"fern_unattended",
	"1 while no box that hears from the platform answers this one.",
	CNT_GAUGE},
    [AC_PLATFORM_DOWN] = {"fern_platform_down_total",
	"Calls that the platform did not answer.", CNT_COUNTER},
    [AC_WATCHING] = {"fern_watching", "1 if this box watches the platform.",
	CNT_GAUGE},
    [AC_MEMBERS] = {"fern_members", "Boxes alive, this one among them.",
	CNT_GAUGE},
    [AC_OBJECTS] = {"fern_objects", "Objects in force.", CNT_GAUGE},
    [AC_CHANGES] = {"fern_objects_changed_total",
	"Changes of objects that came into force.", CNT_COUNTER},
    [AC_SYNC_MESSAGES] = {"fern_sync_messages_total",
	"Messages sent to bring configurations together.", CNT_COUNTER},
    [AC_PROBES] = {"fern_probes_total", "Probes started.", CNT_COUNTER},
    [AC_PROBES_DEFERRED] = {"fern_probes_put_off_total",
	"Rounds in which probes waited for the budget.", CNT_COUNTER},
    [AC_PROBE_TARGETS] = {"fern_probe_targets",
	"Backend servers that this box probes.", CNT_GAUGE},
    [AC_CONTROL_IN] = {"fern_control_in_bytes_total",
	"Bytes of messages from other processes.", CNT_COUNTER},
    [AC_CONTROL_OUT] = {"fern_control_out_bytes_total",
	"Bytes of messages to other processes.", CNT_COUNTER},
    [AC_CONTROL_DROPPED] = {"fern_control_dropped_total",
	"Messages that a peer could not take.", CNT_COUNTER},
    [AC_MALFORMED] = {"fern_control_malformed_total",
	"Messages that did not have the shape.", CNT_COUNTER},
};

struct cnt *
agent_stat_open(void)
{
	return cnt_new(descs, G_N_ELEMENTS(descs));
}

static void
refresh(struct agent *a)
{
	const struct wire_totals *lc = wire_get_totals(a->wire);

	cnt_set(a->cnt, AC_MEMBERS, memb_count_alive(a->memb));
	cnt_set(a->cnt, AC_OBJECTS, conf_count(a->conf));
	cnt_set(a->cnt, AC_SYNC_MESSAGES, a->sync.messages_sent);
	cnt_set(a->cnt, AC_PROBES, probe_started_count(a->probe));
	cnt_set(a->cnt, AC_PROBES_DEFERRED, probe_deferred_count(a->probe));
	cnt_set(a->cnt, AC_PROBE_TARGETS, probe_target_count(a->probe));
	cnt_set(a->cnt, AC_CONTROL_IN, lc->bytes_in);
	cnt_set(a->cnt, AC_CONTROL_OUT, lc->bytes_out);
	cnt_set(a->cnt, AC_CONTROL_DROPPED, lc->dropped);
	cnt_set(a->cnt, AC_MALFORMED, lc->malformed);
	cnt_set(a->cnt, AC_CONF_AGE, (uint64_t)MAX(sync_age_ms(&a->sync), 0));
}

void
agent_stat_page(void *ctx, h2o_req_t *req)
{
	struct agent *a = ctx;
	GString *out;

	if (!str_eq(hsrv_path(req), STR_LIT("/metrics"))) {
		hsrv_send_response(
		    req, 404, "text/plain", str_c("pages: /metrics\n"));
		return;
	}
	refresh(a);
	out = g_string_new(NULL);
	cnt_print(a->cnt, out);
	hsrv_send_response(
	    req, 200, "text/plain; version=0.0.4", str_n(out->str, out->len));
	g_string_free(out, TRUE);
}
