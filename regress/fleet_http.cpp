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
#include <algorithm>
#include <cstring>

#include "fleet.h"

extern "C" {
#include "tmr.h"
#include "up.h"
}

namespace
{

struct Net {
	uv_loop_t *loop = uv_default_loop();
	struct tmr tmr;
	struct up *up;

	Net()
	{
		signal(SIGPIPE, SIG_IGN);
		tmr_open(&tmr, loop, clk_system());
		up = up_open(loop, &tmr, clk_system());
	}
};

Net &
net()
{
	static Net *the_net = new Net;

	return *the_net;
}

struct Call {
	Reply reply;
	struct up_call *up = nullptr;
	struct tmr_item timer = {};
	std::function<void(const Reply &)> done;
	std::string method, address, path, body;
	Headers headers;
	std::vector<h2o_iovec_t> names;
	std::vector<h2o_header_t> list;
	bool keep_body = true;
};

void
finish(Call *c)
{
	tmr_clear(&net().tmr, &c->timer);
	c->done(c->reply);
	delete c;
}

void
take(Call *c, struct up_call *up)
{
	h2o_buffer_t **buf = up_body(up);

	if (c->keep_body)
		c->reply.body.append((*buf)->bytes, (*buf)->size);
	h2o_buffer_consume(buf, (*buf)->size);
}

void
on_connected(void *ctx, struct up_call *)
{
	static_cast<Call *>(ctx)->reply.connected = true;
}

void
on_head(void *ctx, struct up_call *, int status, const h2o_header_t *headers,
    size_t n)
{
	Call *c = static_cast<Call *>(ctx);

	c->reply.status = status;
	for (size_t i = 0; i < n; i++) {
		std::string name(headers[i].name->base, headers[i].name->len);

		std::transform(
		    name.begin(), name.end(), name.begin(), ::tolower);
		c->reply.headers[name] =
		    std::string(headers[i].value.base, headers[i].value.len);
	}
}

void
on_body(void *ctx, struct up_call *up)
{
	take(static_cast<Call *>(ctx), up);
}

void
on_end(void *ctx, struct up_call *up)
{
	Call *c = static_cast<Call *>(ctx);

	take(c, up);
	c->reply.complete = true;
	finish(c);
}

void
on_fail(void *ctx, struct up_call *, enum err_kind)
{
	finish(static_cast<Call *>(ctx));
}

void
on_timeout(void *ctx)
{
	Call *c = static_cast<Call *>(ctx);

	up_cancel(c->up);
	finish(c);
}

const struct up_ops ops = {on_connected, on_head, on_body, on_end, on_fail};

struct str
view(const std::string &s)
{
	return str_n(s.data(), s.size());
}

} // namespace

std::string
Reply::header(const std::string &name) const
{
	auto it = headers.find(name);

	return it == headers.end() ? "" : it->second;
}

void
http_start(const std::string &method, const std::string &address,
    const std::string &path, const Headers &headers, const std::string &body,
    int timeout_ms, std::function<void(const Reply &)> done, bool keep_body)
{
	Call *c = new Call;
	struct up_request rq;

	c->method = method;
	c->address = address;
	c->path = path;
	c->body = body;
	c->headers = headers;
	c->done = std::move(done);
	c->keep_body = keep_body;
	for (auto &h : c->headers)
		c->names.push_back(
		    h2o_iovec_init(h.first.data(), h.first.size()));
	for (size_t i = 0; i < c->headers.size(); i++) {
		h2o_header_t header;

		memset(&header, 0, sizeof(header));
		header.name = &c->names[i];
		header.value = h2o_iovec_init(
		    c->headers[i].second.data(), c->headers[i].second.size());
		c->list.push_back(header);
	}
	memset(&rq, 0, sizeof(rq));
	rq.address = rq.host = view(c->address);
	rq.method = view(c->method);
	rq.path = view(c->path);
	rq.body = view(c->body);
	rq.headers = c->list.data();
	rq.nheaders = c->list.size();
	rq.connect_timeout_ns = NS_S;
	/* A request that must not be repeated is sent on a new connection. */
	rq.new_connection = method != "GET";
	tmr_set(&net().tmr, &c->timer,
	    clk_ns(clk_system()) + timeout_ms * NS_MS, on_timeout, c);
	c->up = up_start(net().up, &rq, &ops, c);
}

Reply
http(const std::string &method, const std::string &address,
    const std::string &path, const Headers &headers, const std::string &body,
    int timeout_ms)
{
	Reply reply;
	bool done = false;

	http_start(method, address, path, headers, body, timeout_ms,
	    [&](const Reply &r) {
		    reply = r;
		    done = true;
	    });
	while (!done)
		uv_run(net().loop, UV_RUN_ONCE);
	return reply;
}

double
now_ms()
{
	return static_cast<double>(clk_ns(clk_system())) / NS_MS;
}

bool
until(const std::function<bool()> &holds, int timeout_ms)
{
	double end = now_ms() + timeout_ms;
	struct tmr_item wake = {};

	for (;;) {
		if (holds())
			return true;
		if (now_ms() > end)
			return false;
		tmr_set(
		    &net().tmr, &wake, clk_ns(clk_system()) + 5 * NS_MS,
		    [](void *) {}, nullptr);
		uv_run(net().loop, UV_RUN_ONCE);
		tmr_clear(&net().tmr, &wake);
	}
}

void
pump(int ms)
{
	double end = now_ms() + ms;

	until([&] { return now_ms() >= end; }, ms + 1000);
}

struct Load::Impl {
	std::vector<std::string> targets;
	std::vector<Stream> streams;
	std::vector<struct tmr_item> timers;
	std::vector<double> next;
	std::mt19937_64 rng;
	std::string prefix;
	size_t turn = 0, sent = 0, out = 0;
	bool stopped = false;
	Load *load = nullptr;
	uv_idle_t *idle = nullptr;

	struct Tick {
		Impl *impl;
		size_t stream;
	};
	std::vector<Tick> ticks;

	double gap(size_t i)
	{
		std::exponential_distribution<double> d(
		    std::max(streams[i].rate, 0.001) / 1000.0);

		return d(rng);
	}

	void arm(size_t i)
	{
		tmr_set(&net().tmr, &timers[i],
		    static_cast<int64_t>(next[i] * NS_MS), fire, &ticks[i]);
	}

	static void fire(void *ctx)
	{
		Tick *t = static_cast<Tick *>(ctx);

		t->impl->due(t->stream);
	}

	void due(size_t i)
	{
		if (stopped)
			return;
		while (next[i] <= now_ms()) {
			send(streams[i], next[i]);
			next[i] += gap(i);
		}
		if (idle == nullptr)
			arm(i);
	}

	static void on_idle(uv_idle_t *handle)
	{
		Impl *self = static_cast<Impl *>(handle->data);

		for (size_t i = 0; i < self->streams.size(); i++)
			self->due(i);
	}

	void start_spinning()
	{
		idle = new uv_idle_t;
		idle->data = this;
		uv_idle_init(net().loop, idle);
		uv_idle_start(idle, on_idle);
	}

	size_t pick_target()
	{
		for (size_t k = 0; k < targets.size(); k++) {
			size_t at = turn++ % targets.size();

			if (!load->target_up || load->target_up(at))
				return at;
		}
		return turn++ % targets.size();
	}

	void send(const Stream &s, double intended)
	{
		std::string id = prefix + std::to_string(sent++);
		std::string path = s.path + "?size=" + std::to_string(s.size) +
		    (s.ms > 0 ? "&ms=" + std::to_string(s.ms) : "");
		Headers headers = {{"x-request-id", id}};
		Outcome o;

		o.id = id;
		o.cls = s.cls;
		o.not_repeatable = s.method != "GET" || s.keyed;
		o.intended_ms = intended;
		if (s.keyed)
			headers.push_back({"idempotency-key", id});
		if (s.deadline_ms > 0)
			headers.push_back({"fern-deadline-ms",
			    std::to_string(s.deadline_ms)});
		out++;
		http_start(s.method, targets[pick_target()], path, headers,
		    s.method == "GET" ? "" : "body", 20000,
		    [this, o, size = s.size](
			const Reply &r) { got(o, r, size); });
	}

	void got(Outcome o, const Reply &r, int size)
	{
		out--;
		o.status = r.status;
		o.complete = r.complete;
		o.connected = r.connected;
		o.kind = r.header("fern-error");
		o.ran = r.header("fern-ran");
		o.latency_ms = now_ms() - o.intended_ms;
		if (r.status == 200 && r.complete) {
			o.right = r.header("x-request-id") == o.id &&
			    r.body.size() == static_cast<size_t>(size);
			for (size_t i = 0; o.right && i < r.body.size(); i++)
				o.right = r.body[i] == o.id[i % o.id.size()];
		}
		load->outcomes.push_back(o);
	}
};

Load::Load(std::vector<std::string> targets, std::vector<Stream> streams,
    unsigned seed)
    : impl(new Impl)
{
	static int serial;

	impl->targets = std::move(targets);
	impl->streams = std::move(streams);
	impl->rng.seed(seed);
	impl->load = this;
	impl->prefix = "r" + std::to_string(getpid()) + "." +
	    std::to_string(++serial) + "-";
	impl->timers.resize(impl->streams.size());
	for (size_t i = 0; i < impl->streams.size(); i++) {
		impl->timers[i] = {};
		impl->ticks.push_back({impl.get(), i});
	}
}

Load::~Load()
{
	stop();
	until([&] { return drained(); }, 30000);
}

void
Load::start()
{
	for (size_t i = 0; i < impl->streams.size(); i++) {
		impl->next.push_back(now_ms() + impl->gap(i));
		if (!spin)
			impl->arm(i);
	}
	if (spin)
		impl->start_spinning();
}

void
Load::stop()
{
	impl->stopped = true;
	if (impl->idle != nullptr)
		uv_close(reinterpret_cast<uv_handle_t *>(impl->idle),
		    [](uv_handle_t *h) {
			    delete reinterpret_cast<uv_idle_t *>(h);
		    });
	impl->idle = nullptr;
	for (auto &t : impl->timers)
		tmr_clear(&net().tmr, &t);
}

bool
Load::drained() const
{
	return impl->out == 0;
}

void
Load::rate(size_t stream, double rate)
{
	impl->streams[stream].rate = rate;
	impl->next[stream] = now_ms() + impl->gap(stream);
	impl->arm(stream);
}

std::vector<double>
Load::latencies(int cls, double from_ms, double to_ms) const
{
	std::vector<double> v;

	for (auto &o : outcomes)
		if (o.cls == cls && o.intended_ms >= from_ms &&
		    o.intended_ms < to_ms)
			v.push_back(o.right ? o.latency_ms : 20000.0);
	std::sort(v.begin(), v.end());
	return v;
}

double
Load::percentile(const std::vector<double> &v, double p)
{
	if (v.empty())
		return 0;
	size_t at = static_cast<size_t>(p / 100.0 * v.size());

	return v[std::min(at, v.size() - 1)];
}

std::vector<std::string>
violations(const std::vector<Outcome> &outcomes,
    const std::map<std::string, int> &runs)
{
	std::vector<std::string> bad;

	for (auto &o : outcomes) {
		auto it = runs.find(o.id);
		int n = it == runs.end() ? 0 : it->second;

		if (o.not_repeatable && n > 1)
			bad.push_back(
			    o.id + " ran " + std::to_string(n) + " times");
		if (o.ran == "no" && n > 0)
			bad.push_back(o.id + " was told as not run, and ran");
		if (o.status == 200 && o.complete && !o.right)
			bad.push_back(o.id + " got a wrong answer");
		if (o.status == 200 && o.complete && n == 0)
			bad.push_back(o.id + " was answered, and never ran");
	}
	return bad;
}
