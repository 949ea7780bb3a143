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
/*
 * Stand-in for a backend server with slots, a queue or load shedding, service
 * times, slow periods and drain.  It writes a journal of the requests that it
 * executed directly to a file, so that the journal survives SIGKILL.
 *
 *	standin_backend ADDRESS JOURNAL [KEY=VALUE ...]
 *	POST /standin/set?KEY=VALUE&...	change the same keys at run time
 *	GET /standin/counts
 *
 * Keys: slots, shed (0|1), ms (mean service time), spread (0: fixed, 1:
 * exponential), slow (factor), spell_every and spell_ms (mean interval and
 * length of random slow periods, in ms), fail (0|1: 500 at once), refuse (0|1:
 * 503 with Fern-Ran: no), drain (0|1), sick (0|1: health checks fail), lie
 * (0|1: health checks always pass), cut (bytes after which a response is cut
 * off), cold (number of first requests that take five times as long), chunked
 * (0|1: no Content-Length), deadline (0|1: 504 at the deadline of a request,
 * 503 with Fern-Ran: no if it is still queued), part (bytes of a response that
 * are sent at once; 0: all), pause (ms between the parts; 0: nothing follows
 * the first one), bare (0|1: the first part is the head alone), bodyless (0:
 * no; else the status of all responses, which have a Content-Length and no
 * body).
 */
#include <fcntl.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hsrv.h"
#include "tmr.h"

enum key {
	K_SLOTS,
	K_SHED,
	K_MS,
	K_SPREAD,
	K_SLOW,
	K_SPELL_EVERY,
	K_SPELL_MS,
	K_FAIL,
	K_REFUSE,
	K_DRAIN,
	K_SICK,
	K_LIE,
	K_CUT,
	K_COLD,
	K_CHUNKED,
	K_DEADLINE,
	K_PART,
	K_PAUSE,
	K_BARE,
	K_BODYLESS,
	K_MAX
};

static const char *const key_names[K_MAX] = {"slots", "shed", "ms", "spread",
    "slow", "spell_every", "spell_ms", "fail", "refuse", "drain", "sick", "lie",
    "cut", "cold", "chunked", "deadline", "part", "pause", "bare", "bodyless"};

enum { CHUNK = 65536, SPELL_SLOW = 10, COLD_SLOW = 5 };

/* One request; freed when h2o disposes of it. */
struct work {
	h2o_req_t *req;
	h2o_generator_t gen;
	struct tmr_item timer;
	bool queued, running, head_sent;
	uint64_t size, sent, ms;
	int64_t deadline; /* INT64_MAX: none */
	char *chunk; /* the bytes being sent */
	GList link;
	char id[64];
};

static struct {
	uv_loop_t *loop;
	struct tmr tmr;
	int journal;
	uint64_t v[K_MAX];
	GQueue queue; /* struct work * */
	GQueue works; /* all of them */
	unsigned running, peak;
	uint64_t ran, shed, probes, cancelled;
	struct tmr_item spell;
	bool in_spell;
	char chunk[CHUNK];
} st;

static void start_next(void);

static double
random_unit(void)
{
	return (double)(rnd_system()->next(rnd_system()->ctx) >> 11) /
	    (double)(UINT64_C(1) << 53);
}

static void
finish(struct work *w)
{
	if (!w->running)
		return;
	w->running = false;
	st.running--;
	start_next();
}

/* Releases a request, also one whose caller went away before a response. */
static void
on_dispose(void *p)
{
	struct work *w = *(struct work **)p;

	tmr_clear(&st.tmr, &w->timer);
	if (w->queued || (w->running && w->sent == 0))
		st.cancelled++;
	if (w->queued)
		g_queue_remove(&st.queue, w);
	w->req = NULL;
	finish(w);
	g_queue_unlink(&st.works, &w->link);
	g_free(w->chunk);
	g_free(w);
}

static void
add_header(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t copy = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
	    0, NULL, copy.base, copy.len);
}

static void
refuse(struct work *w, int status, bool not_run)
{
	if (not_run)
		add_header(w->req, "fern-ran", "no");
	if (st.v[K_DRAIN])
		add_header(w->req, "fern-drain", "yes");
	hsrv_send_response(w->req, status, "text/plain", str_c("refused\n"));
}

/* Records a request in the journal, before its work starts. */
static void
note_run(struct work *w)
{
	char line[80];
	int n = snprintf(line, sizeof(line), "%s\n", w->id);

	st.ran++;
	if (write(st.journal, line, (size_t)n) != n)
		abort();
}

/* Bodies repeat the request's id, so that mixed-up responses are detected. */
static void
send_part(void *ctx)
{
	struct work *w = ctx;
	h2o_req_t *req = w->req;
	uint64_t left = w->size - w->sent, n = MIN(left, CHUNK);
	bool cut = st.v[K_CUT] > 0 && w->sent >= st.v[K_CUT];
	h2o_iovec_t vec = h2o_iovec_init(st.chunk, n);
	size_t idn = strlen(w->id), i;

	if (idn > 0) {
		if (w->chunk == NULL)
			w->chunk = g_malloc(CHUNK);
		for (i = 0; i < n; i++)
			w->chunk[i] = w->id[(w->sent + i) % idn];
		vec.base = w->chunk;
	}
	if (cut) {
		h2o_send(req, NULL, 0, H2O_SEND_STATE_ERROR);
		finish(w);
		return;
	}
	if (st.v[K_CUT] > 0)
		vec.len = n = MIN(n, st.v[K_CUT]);
	if (st.v[K_PART] > 0)
		vec.len = n = MIN(n, st.v[K_PART]);
	if (st.v[K_BARE] && !w->head_sent)
		vec.len = n = 0;
	w->head_sent = true;
	w->sent += n;
	if (w->sent == w->size)
		finish(w);
	h2o_send(req, &vec, 1,
	    w->sent == w->size ? H2O_SEND_STATE_FINAL
			       : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_proceed(h2o_generator_t *gen, h2o_req_t *req)
{
	struct work *w =
	    (struct work *)((char *)gen - offsetof(struct work, gen));

	(void)req;
	if (st.v[K_PART] == 0)
		send_part(w);
	else if (st.v[K_PAUSE] > 0)
		tmr_set(&st.tmr, &w->timer,
		    clk_ns(clk_system()) + (int64_t)st.v[K_PAUSE] * NS_MS,
		    send_part, w);
}

static void
on_stop(h2o_generator_t *gen, h2o_req_t *req)
{
	(void)gen;
	(void)req;
}

static void
on_served(void *ctx)
{
	struct work *w = ctx;
	h2o_req_t *req = w->req;
	char load[16];

	snprintf(load, sizeof(load), "%u", st.running);
	add_header(req, "fern-load", load);
	add_header(req, "x-request-id", w->id);
	if (st.v[K_DRAIN])
		add_header(req, "fern-drain", "yes");
	req->res.status = 200;
	req->res.reason = "OK";
	if (!st.v[K_CHUNKED])
		req->res.content_length = w->size;
	w->gen.proceed = on_proceed;
	w->gen.stop = on_stop;
	if (st.v[K_BODYLESS] > 0) {
		req->res.status = (int)st.v[K_BODYLESS];
		w->size = 0;
	}
	h2o_start_response(req, &w->gen);
	send_part(w);
}

static void
on_deadline(void *ctx)
{
	struct work *w = ctx;

	finish(w);
	refuse(w, 504, false);
}

static void
run(struct work *w)
{
	double ms = (double)(w->ms > 0 ? w->ms : st.v[K_MS]);
	int64_t end;

	w->running = true;
	st.running++;
	st.peak = MAX(st.peak, st.running);
	note_run(w);
	if (st.v[K_SPREAD])
		ms *= -log(1.0 - random_unit());
	if (st.v[K_SLOW] > 1)
		ms *= (double)st.v[K_SLOW];
	if (st.in_spell)
		ms *= SPELL_SLOW;
	if (st.v[K_COLD] > 0) {
		st.v[K_COLD]--;
		ms *= COLD_SLOW;
	}
	end = clk_ns(clk_system()) + (int64_t)(ms * (double)NS_MS);
	if (ms <= 0)
		on_served(w);
	else if (w->deadline < end)
		tmr_set(&st.tmr, &w->timer, w->deadline, on_deadline, w);
	else
		tmr_set(&st.tmr, &w->timer, end, on_served, w);
}

static void
on_queue_deadline(void *ctx)
{
	struct work *w = ctx;

	w->queued = false;
	g_queue_remove(&st.queue, w);
	st.shed++;
	refuse(w, 503, true);
}

static void
enqueue(struct work *w)
{
	w->queued = true;
	g_queue_push_tail(&st.queue, w);
	if (w->deadline != INT64_MAX)
		tmr_set(&st.tmr, &w->timer, w->deadline, on_queue_deadline, w);
}

static void
start_next(void)
{
	struct work *w;

	while (st.running < st.v[K_SLOTS]) {
		w = g_queue_pop_head(&st.queue);
		if (w == NULL)
			return;
		w->queued = false;
		tmr_clear(&st.tmr, &w->timer);
		if (clk_ns(clk_system()) < w->deadline) {
			run(w);
			continue;
		}
		st.shed++;
		refuse(w, 503, true);
	}
}

static void
take(h2o_req_t *req)
{
	struct work *w = g_new0(struct work, 1), **guard;
	struct str id = hsrv_header(req, "x-request-id");
	unsigned long long size = 0, ms = 0, deadline_ms = 0;

	guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard), on_dispose);
	*guard = w;
	w->req = req;
	w->link.data = w;
	g_queue_push_tail_link(&st.works, &w->link);
	snprintf(w->id, sizeof(w->id), "%.*s", STR_ARG(id));
	w->size =
	    str_u64(hsrv_query(req, "size"), &size) && size > 0 ? size : 1024;
	w->ms = str_u64(hsrv_query(req, "ms"), &ms) ? ms : 0;
	w->deadline = INT64_MAX;
	if (st.v[K_DEADLINE] &&
	    str_u64(hsrv_header(req, "fern-deadline-ms"), &deadline_ms))
		w->deadline =
		    clk_ns(clk_system()) + (int64_t)deadline_ms * NS_MS;
	if (st.v[K_REFUSE]) {
		refuse(w, 503, true);
	} else if (st.v[K_FAIL]) {
		note_run(w);
		refuse(w, 500, false);
	} else if (st.running < st.v[K_SLOTS]) {
		run(w);
	} else if (st.v[K_SHED]) {
		st.shed++;
		refuse(w, 503, true);
	} else {
		enqueue(w);
	}
}

static void
health(h2o_req_t *req)
{
	st.probes++;
	if (st.v[K_DRAIN])
		add_header(req, "fern-drain", "yes");
	hsrv_send_response(req, st.v[K_SICK] && !st.v[K_LIE] ? 500 : 200,
	    "text/plain", str_c("health\n"));
}

static void
counts(h2o_req_t *req)
{
	char text[200];
	int n = snprintf(text, sizeof(text),
	    "{\"ran\":%llu,\"shed\":%llu,\"probes\":%llu,\"running\":%u,"
	    "\"queued\":%u,\"peak\":%u,\"cancelled\":%llu}\n",
	    (unsigned long long)st.ran, (unsigned long long)st.shed,
	    (unsigned long long)st.probes, st.running, st.queue.length, st.peak,
	    (unsigned long long)st.cancelled);

	hsrv_send_response(
	    req, 200, "application/json", str_n(text, (size_t)n));
}

static void
control(h2o_req_t *req)
{
	unsigned long long v;
	int i;

	for (i = 0; i < K_MAX; i++)
		if (str_u64(hsrv_query(req, key_names[i]), &v))
			st.v[i] = v;
	hsrv_send_response(req, 200, "text/plain", str_c("set\n"));
	start_next();
}

static void
on_request(void *ctx, h2o_req_t *req)
{
	struct str path = hsrv_path(req);

	(void)ctx;
	if (str_eq(path, STR_LIT("/health")))
		health(req);
	else if (str_eq(path, STR_LIT("/standin/counts")))
		counts(req);
	else if (str_eq(path, STR_LIT("/standin/set")))
		control(req);
	else
		take(req);
}

/* Toggles random slow periods; the first one does not start immediately. */
static void
on_spell(void *ctx)
{
	static bool begun;
	double ms = 100;

	(void)ctx;
	if (st.v[K_SPELL_EVERY] > 0) {
		st.in_spell = begun && !st.in_spell;
		ms = st.in_spell
		    ? (double)st.v[K_SPELL_MS] * (0.5 + random_unit())
		    : -log(1.0 - random_unit()) * (double)st.v[K_SPELL_EVERY];
	} else {
		st.in_spell = false;
	}
	begun = st.v[K_SPELL_EVERY] > 0;
	tmr_set(&st.tmr, &st.spell,
	    clk_ns(clk_system()) + (int64_t)(ms * (double)NS_MS), on_spell,
	    NULL);
}

static bool
read_keys(int argc, char **argv)
{
	const char *eq;
	int i, k;

	st.v[K_SLOTS] = 3;
	st.v[K_MS] = 10;
	for (i = 3; i < argc; i++) {
		eq = strchr(argv[i], '=');
		for (k = 0; eq != NULL && k < K_MAX; k++)
			if (str_eq(str_n(argv[i], (size_t)(eq - argv[i])),
				str_c(key_names[k])))
				break;
		if (eq == NULL || k == K_MAX)
			return false;
		st.v[k] = strtoull(eq + 1, NULL, 10);
	}
	return true;
}

int
main(int argc, char **argv)
{
	GError *err = NULL;

	if (argc < 3 || !read_keys(argc, argv)) {
		fprintf(stderr,
		    "usage: standin_backend ADDRESS JOURNAL [KEY=VALUE ...]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	memset(st.chunk, 'x', sizeof(st.chunk));
	st.journal = open(argv[2], O_WRONLY | O_CREAT | O_APPEND, 0644);
	st.loop = uv_default_loop();
	tmr_open(&st.tmr, st.loop, clk_system());
	g_queue_init(&st.queue);
	g_queue_init(&st.works);
	if (st.journal < 0 ||
	    hsrv_open(st.loop, str_c(argv[1]), 16 << 20, on_request, NULL,
		&err) == NULL) {
		fprintf(stderr, "standin_backend: %s\n",
		    err != NULL ? err->message : "journal");
		return 1;
	}
	on_spell(NULL);
	return uv_run(st.loop, UV_RUN_DEFAULT);
}
