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
#include <functional>
#include <future>
#include <stdexcept>

#include "objects.h"

namespace
{

const char *const answer_type = "application/json";

std::string
text_of(struct str s)
{
	return std::string(s.p == nullptr ? "" : s.p, s.n);
}

/* The texts that stand for strings in responses; each stand-in has a thread. */
thread_local std::map<std::string, std::string> raw_texts;

void
send(h2o_req_t *req, int status, json_t *body)
{
	char *dumped = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);
	std::string text = dumped;

	for (auto &raw : raw_texts)
		for (size_t at = text.find(raw.first); at != std::string::npos;
		     at = text.find(raw.first, at + raw.second.size()))
			text.replace(at, raw.first.size(), raw.second);
	hsrv_send_response(
	    req, status, answer_type, str_n(text.data(), text.size()));
	free(dumped);
	json_decref(body);
}

void
add_header(h2o_req_t *req, const char *name, const std::string &value)
{
	h2o_iovec_t copy = h2o_strdup(&req->pool, value.data(), value.size());

	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
	    1, nullptr, copy.base, copy.len);
}

std::string
unescaped(struct str s)
{
	char *text = g_uri_unescape_string(text_of(s).c_str(), nullptr);
	std::string out = text == nullptr ? "" : text;

	g_free(text);
	return out;
}

/* Returns "KIND[/NAME]" of the path "/api/objects/KIND[/NAME]". */
std::string
key_of(const h2o_req_t *req)
{
	static const std::string head = "/api/objects/";
	std::string path = text_of(hsrv_path(req));

	return path.compare(0, head.size(), head) == 0
	    ? path.substr(head.size())
	    : "";
}

} // namespace

Objects::Objects(const std::string &address)
{
	GError *err = nullptr;

	uv_loop_init(&loop);
	uv_async_init(&loop, &async, on_wake);
	async.data = this;
	tmr_open(&tmr, &loop, clk_system());
	if (hsrv_open(&loop, str_n(address.data(), address.size()), 1 << 20,
		on_store, this, &err) == nullptr)
		throw std::runtime_error(err->message);
	thread = std::thread([this] { run_loop(); });
}

Objects::~Objects()
{
	in_loop([this] { uv_stop(&loop); });
	thread.join();
}

void
Objects::run_loop()
{
	uv_run(&loop, UV_RUN_DEFAULT);
}

void
Objects::on_wake(uv_async_t *async)
{
	Objects *o = static_cast<Objects *>(async->data);
	std::vector<std::function<void()>> todo;

	{
		std::lock_guard<std::mutex> hold(o->lock);
		todo.swap(o->todo);
	}
	for (auto &fn : todo)
		fn();
}

/* Runs a function on the stand-in's thread and waits until it returns. */
void
Objects::in_loop(const std::function<void()> &fn)
{
	std::promise<void> done;

	{
		std::lock_guard<std::mutex> hold(lock);
		todo.push_back([&] {
			fn();
			done.set_value();
		});
	}
	uv_async_send(&async);
	done.get_future().wait();
}

json_t *
Objects::object(const std::string &kind, const std::string &name)
{
	auto it = objects.find(kind + "/" + name);

	return it == objects.end() ? nullptr : it->second;
}

void
Objects::store(
    const std::string &kind, const std::string &name, json_t *o, bool tombstone)
{
	json_t *meta = json_object_get(o, "metadata");
	std::string key = kind + "/" + name;

	json_object_set_new(
	    meta, "rev", json_integer(static_cast<json_int_t>(++rev)));
	history.push_back({rev, kind, tombstone, json_deep_copy(o), key,
	    clk_ns(clk_system())});
	log.push_back(history.back());
	if (tombstone)
		objects.erase(key);
	else
		objects[key] = o;
	answer_watches();
}

/* Returns whether a write changes nothing, so that the revision stays. */
bool
Objects::is_same(const std::string &kind, const std::string &name, json_t *spec)
{
	json_t *old = object(kind, name);

	return old != nullptr && json_equal(json_object_get(old, "spec"), spec);
}

void
Objects::put(
    const std::string &kind, const std::string &name, const std::string &spec)
{
	in_loop([&] {
		json_t *own =
		    json_loads(spec.c_str(), JSON_DECODE_ANY, nullptr);

		if (!is_same(kind, name, own))
			store(kind, name,
			    json_pack("{s:{s:s}, s:O}", "metadata", "name",
				name.c_str(), "spec", own),
			    false);
		json_decref(own);
	});
}

void
Objects::remove(const std::string &kind, const std::string &name)
{
	in_loop([&] {
		json_t *o = object(kind, name);

		if (o != nullptr)
			store(kind, name, o, true);
	});
}

void
Objects::pass_raw(const std::string &value, const std::string &text)
{
	in_loop([&] { raw_texts["\"" + value + "\""] = text; });
}

void
Objects::answer_all(int with)
{
	in_loop([&] { status = with; });
}

void
Objects::cut_waiters()
{
	auto cut = waiters;

	for (Waiter *w : cut)
		hsrv_abort(w->req);
}

void
Objects::cut_watches()
{
	in_loop([&] { cut_waiters(); });
}

void
Objects::forget()
{
	kept = rev;
	history.clear();
}

void
Objects::compact()
{
	in_loop([&] {
		forget();
		answer_watches();
	});
}

void
Objects::deafen(bool on)
{
	in_loop([&] {
		deaf = on;
		if (on)
			return;
		forget();
		cut_waiters();
	});
}

size_t
Objects::calls()
{
	size_t n = 0;

	in_loop([&] { n = ncalls; });
	return n;
}

size_t
Objects::looks()
{
	size_t n = 0;

	in_loop([&] { n = nlooks; });
	return n;
}

json_t *
Objects::events(const std::string &kind, uint64_t since, uint64_t upto)
{
	json_t *list = json_array();

	for (auto &e : history)
		if (e.rev > since && e.rev <= upto && e.kind == kind)
			json_array_append_new(list,
			    json_pack("{s:b, s:O}", "tombstone", e.tombstone,
				"object", e.object));
	return list;
}

/* Returns the newest revision that a stale response includes. */
uint64_t
Objects::rev_of_copy() const
{
	int64_t then = clk_ns(clk_system()) - lag_ms * NS_MS;
	uint64_t known = 1;

	if (lag_ms == 0)
		return rev;
	for (auto &e : log)
		if (e.at <= then)
			known = e.rev;
	return known;
}

/* Returns the objects of a stale list. */
std::map<std::string, json_t *>
Objects::copy() const
{
	std::map<std::string, json_t *> all;
	uint64_t upto = rev_of_copy();

	for (auto &e : log) {
		if (e.rev > upto)
			break;
		if (e.tombstone)
			all.erase(e.key);
		else
			all[e.key] = e.object;
	}
	return all;
}

/* Returns whether the changes since a revision are known. */
bool
Objects::has_revision(uint64_t since) const
{
	return since >= kept && since <= rev;
}

void
Objects::answer_watches()
{
	std::vector<Waiter *> ready;

	if (deaf)
		return;
	for (Waiter *w : waiters) {
		json_t *list =
		    events(w->kind, w->since, w->copy ? rev_of_copy() : rev);

		if (json_array_size(list) > 0 || !has_revision(w->since))
			ready.push_back(w);
		json_decref(list);
	}
	for (Waiter *w : ready)
		on_wait_over(w);
}

void
Objects::on_wait_over(void *ctx)
{
	Waiter *w = static_cast<Waiter *>(ctx);
	Objects *o = w->owner;
	h2o_req_t *req = w->req;

	if (req == nullptr)
		return;
	w->req = nullptr;
	tmr_clear(&o->tmr, &w->timer);
	o->waiters.erase(w);
	if (o->swallows) {
		o->nhung++;
		return;
	}
	uint64_t upto = w->copy ? o->rev_of_copy() : o->rev;
	if (!o->has_revision(w->since))
		send(req, 410, json_object());
	else
		send(req, 200,
		    json_pack("{s:o, s:I}", "events",
			o->events(w->kind, w->since, upto), "currentRev",
			static_cast<json_int_t>(upto)));
}

void
Objects::on_gone(void *p)
{
	Waiter *w = *static_cast<Waiter **>(p);

	tmr_clear(&w->owner->tmr, &w->timer);
	w->owner->waiters.erase(w);
	delete w;
}

void
Objects::watch(h2o_req_t *req, const std::string &kind)
{
	int64_t wait = atoll(text_of(hsrv_query(req, "waitMs")).c_str());
	Waiter *w = new Waiter{req, kind,
	    strtoull(text_of(hsrv_query(req, "watch")).c_str(), nullptr, 10),
	    {}, this, hsrv_query(req, "allowStale").n > 0};
	Waiter **guard = static_cast<Waiter **>(
	    h2o_mem_alloc_shared(&req->pool, sizeof(w), on_gone));

	*guard = w;
	waiters.insert(w);
	tmr_set(&tmr, &w->timer, clk_ns(clk_system()) + wait * NS_MS,
	    on_wait_over, w);
	answer_watches();
}

/* Pages hold two objects, so that three objects already need a second page. */
void
Objects::list(h2o_req_t *req, const std::string &kind)
{
	std::string after = unescaped(hsrv_query(req, "after"));
	json_t *items = json_array();
	bool more = false;
	bool may_be_old = hsrv_query(req, "allowStale").n > 0;
	bool old = stale_rev > 0 && may_be_old;
	bool lags = lag_ms > 0 && may_be_old;
	uint64_t at = old ? stale_rev : lags ? rev_of_copy() : rev;

	for (auto &o : old ? stale : lags ? copy() : objects) {
		if (o.first.compare(0, kind.size() + 1, kind + "/") != 0 ||
		    o.first.substr(kind.size() + 1) <= after)
			continue;
		if (json_array_size(items) == 2) {
			more = true;
			break;
		}
		json_array_append(items, o.second);
	}
	send(req, 200,
	    json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", more,
		"currentRev", static_cast<json_int_t>(at)));
}

void
Objects::lag(int ms)
{
	in_loop([&] { lag_ms = ms; });
}

void
Objects::hang(bool on)
{
	in_loop([&] { hangs = on; });
}

void
Objects::silence(bool on)
{
	in_loop([&] { hangs = swallows = on; });
}

size_t
Objects::hung()
{
	size_t n = 0;

	in_loop([&] { n = nhung; });
	return n;
}

uint64_t
Objects::revision()
{
	uint64_t last = 0;

	in_loop([&] { last = rev; });
	return last;
}

void
Objects::keep_copy()
{
	in_loop([&] { copy_rev = rev; });
}

/* Forgets what was written after the copy. */
void
Objects::load_copy()
{
	auto is_newer = [&](const Event &e) {
		return e.rev > copy_rev;
	};

	log.erase(std::remove_if(log.begin(), log.end(), is_newer), log.end());
	history.erase(std::remove_if(history.begin(), history.end(), is_newer),
	    history.end());
	objects.clear();
	for (auto &e : log)
		if (e.tombstone)
			objects.erase(e.key);
		else
			objects[e.key] = json_deep_copy(e.object);
	rev = copy_rev;
	kept = std::min(kept, rev);
	if (stale_rev > rev)
		stale_rev = 0;
}

void
Objects::restore()
{
	in_loop([&] {
		load_copy();
		era++;
		cut_waiters();
	});
}

void
Objects::hide_era()
{
	in_loop([&] { hides_era = true; });
}

void
Objects::keep_stale()
{
	std::lock_guard<std::mutex> hold(lock);

	for (auto &o : stale)
		json_decref(o.second);
	stale = objects;
	for (auto &o : stale)
		o.second = json_deep_copy(o.second);
	stale_rev = rev;
}

/* Returns a copy of `old` with the status of `written`, which is released. */
static json_t *
with_status(const json_t *old, json_t *written)
{
	json_t *o = json_deep_copy(old);

	json_object_set(o, "status", json_object_get(written, "status"));
	json_decref(written);
	return o;
}

static bool
has_suffix(const std::string &text, const std::string &end)
{
	return text.size() >= end.size() &&
	    text.compare(text.size() - end.size(), end.size(), end) == 0;
}

/* Answers with one object; "KIND/NAME" is its key. */
void
Objects::get(h2o_req_t *req, const std::string &key)
{
	auto it = objects.find(key);

	if (it == objects.end())
		send(req, 404, json_object());
	else
		send(req, 200, json_deep_copy(it->second));
}

/* Deletes an object that still has the revision in the query. */
void
Objects::erase(h2o_req_t *req, const std::string &kind, const std::string &name)
{
	json_t *old = object(kind, name);
	json_int_t have = json_integer_value(
	    json_object_get(json_object_get(old, "metadata"), "rev"));
	std::string want = text_of(hsrv_query(req, "rev"));

	if (old == nullptr) {
		send(req, 404, json_object());
	} else if (want != std::to_string(have)) {
		send(req, 409, json_deep_copy(old));
	} else {
		store(kind, name, json_deep_copy(old), true);
		send(req, 200, json_object());
	}
}

void
Objects::write(h2o_req_t *req, const std::string &kind)
{
	json_t *o = json_loadb(req->entity.base, req->entity.len, 0, nullptr);
	json_t *meta = json_object_get(o, "metadata");
	std::string name = json_string_value(json_object_get(meta, "name"));
	json_t *old = object(kind, name);
	json_int_t want = json_integer_value(json_object_get(meta, "rev"));
	json_int_t have = json_integer_value(
	    json_object_get(json_object_get(old, "metadata"), "rev"));
	bool creates =
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST"));

	if (creates ? old != nullptr : old == nullptr || want != have) {
		send(req, 409,
		    old != nullptr ? json_deep_copy(old) : json_object());
		json_decref(o);
		return;
	}
	if (has_suffix(key_of(req), "/status"))
		o = with_status(old, o);
	else if (is_same(kind, name, json_object_get(o, "spec"))) {
		send(req, 200, json_deep_copy(old));
		json_decref(o);
		return;
	}
	store(kind, name, o, false);
	send(req, 200, json_deep_copy(o));
}

void
Objects::on_store(void *ctx, h2o_req_t *req)
{
	Objects *o = static_cast<Objects *>(ctx);
	std::string key = key_of(req), kind = key.substr(0, key.find('/'));
	bool has_name = key.size() > kind.size();

	if (hsrv_query(req, "watch").n > 0 &&
	    str_eq(hsrv_query(req, "waitMs"), STR_LIT("0")))
		o->nlooks++;
	else
		o->ncalls++;
	if (!o->hides_era)
		add_header(req, "store-era", std::to_string(o->era));
	if (o->hangs) {
		o->nhung++;
		return;
	}
	if (o->status != 0)
		send(req, o->status, json_object());
	else if (h2o_memis(
		     req->method.base, req->method.len, H2O_STRLIT("DELETE")))
		o->erase(req, kind, key.substr(kind.size() + 1));
	else if (!h2o_memis(
		     req->method.base, req->method.len, H2O_STRLIT("GET")))
		o->write(req, kind);
	else if (hsrv_query(req, "watch").n > 0)
		o->watch(req, kind);
	else if (has_name)
		o->get(req, key);
	else
		o->list(req, kind);
}

static std::string
headers_text(const h2o_req_t *req)
{
	std::string text;

	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t &h = req->headers.entries[i];

		text += std::string(h.name->base, h.name->len) + ": " +
		    std::string(h.value.base, h.value.len) + "\n";
	}
	return text;
}

void
Objects::on_backend(void *ctx, h2o_req_t *req)
{
	Backend *b = static_cast<Backend *>(ctx);
	std::string id = text_of(hsrv_header(req, "fernjunction-request-id"));
	std::string want =
	    text_of(hsrv_header(req, "fernjunction-expect-instance"));

	add_header(req, "fernjunction-backend-load",
	    "0,0,3," + std::to_string(b->pace));
	if (text_of(hsrv_path(req)) == "/health") {
		int64_t left = b->cold_until - clk_ns(clk_system());

		if (left > 0)
			add_header(req, "fernjunction-slow-start-ms",
			    std::to_string(left / NS_MS));
		hsrv_send_response(req, 200, "text/plain", STR_LIT("well"));
		return;
	}
	add_header(req, "fernjunction-request-id", id);
	if (want != b->id) {
		hsrv_send_response(req, 421, "text/plain", STR_LIT("another"));
		return;
	}
	b->came.push_back(clk_ns(clk_system()));
	for (auto &s : b->says)
		add_header(req, s.first.c_str(), s.second);
	if (b->refuse) {
		add_header(req, "fernjunction-not-executed", "1");
		hsrv_send_response(req, 503, "text/plain", STR_LIT("full"));
		return;
	}
	b->ran.push_back(id);
	b->ran_at.push_back(clk_ns(clk_system()));
	b->owner->heard[id] = headers_text(req);
	if (b->fail) {
		hsrv_send_response(req, 500, "text/plain", STR_LIT("failed"));
		return;
	}
	if (b->hold)
		return;
	if (b->lose) {
		hsrv_abort(req);
		return;
	}
	Objects *o = b->owner;
	bool last = !o->ending.empty() &&
	    text_of(hsrv_path(req)).find(o->ending) != std::string::npos;
	work(b, req,
	    last ? o->ends_after_ms
		 : atoll(text_of(hsrv_query(req, "ms")).c_str()),
	    last);
}

void
Objects::on_work_gone(void *p)
{
	Work *w = *static_cast<Work **>(p);

	tmr_clear(&w->backend->owner->tmr, &w->timer);
	w->backend->works.erase(w);
	delete w;
}

void
Objects::work(Backend *b, h2o_req_t *req, int64_t ms, bool last)
{
	Work *w = new Work{req, b, last, {}};
	Work **guard = static_cast<Work **>(
	    h2o_mem_alloc_shared(&req->pool, sizeof(w), on_work_gone));

	*guard = w;
	b->works.insert(w);
	if (ms <= 0)
		on_worked(w);
	else
		tmr_set(&b->owner->tmr, &w->timer,
		    clk_ns(clk_system()) + ms * NS_MS, on_worked, w);
}

void
Objects::on_worked(void *ctx)
{
	Work *w = static_cast<Work *>(ctx);
	Backend *b = w->backend;
	std::string id =
	    text_of(hsrv_header(w->req, "fernjunction-request-id"));
	std::string body;

	if (w->last) {
		b->owner->end(b);
		return;
	}
	add_header(w->req, "fernjunction-response-signature", b->id + "-" + id);
	body = std::string(
	    strtoul(text_of(hsrv_query(w->req, "bytes")).c_str(), nullptr, 10),
	    'x');
	hsrv_send_response(w->req, 200, "text/plain",
	    body.empty() ? STR_LIT("the answer")
			 : str_n(body.data(), body.size()));
}

/* Crashes a backend server: cuts its requests and its idle connections. */
void
Objects::end(Backend *b)
{
	auto cut = b->works;

	ended.push_back(clk_ns(clk_system()));
	hsrv_stop_accepting(b->srv);
	for (Work *w : cut) {
		tmr_clear(&tmr, &w->timer);
		hsrv_abort(w->req);
	}
	hsrv_close_idle(b->srv, 0);
	tmr_set(&tmr, &b->back, clk_ns(clk_system()) + back_after_ms * NS_MS,
	    on_back, b);
}

void
Objects::on_back(void *ctx)
{
	Backend *b = static_cast<Backend *>(ctx);

	b->owner->listen(b);
}

void
Objects::ends_servers(const std::string &path, int after_ms, int back_ms)
{
	in_loop([&] {
		ending = path;
		ends_after_ms = after_ms;
		back_after_ms = back_ms;
	});
}

std::vector<int64_t>
Objects::ends()
{
	std::vector<int64_t> all;

	in_loop([&] { all = ended; });
	return all;
}

void
Objects::listen(Backend *b)
{
	GError *err = nullptr;

	b->srv = hsrv_open(&loop, str_n(b->address.data(), b->address.size()),
	    1 << 27, on_backend, b, &err);
	if (b->srv == nullptr)
		throw std::runtime_error(err->message);
}

void
Objects::start_backend(const std::string &id, const std::string &service,
    const std::string &address)
{
	in_loop([&] {
		auto b = std::make_unique<Backend>();

		b->id = id;
		b->service = service;
		b->address = address;
		b->owner = this;
		listen(b.get());
		backends[id] = std::move(b);
	});
}

void
Objects::set(const std::string &id, int pace, bool refuse, bool lose)
{
	in_loop([&] {
		backends[id]->pace = pace;
		backends[id]->refuse = refuse;
		backends[id]->lose = lose;
	});
}

void
Objects::fail(const std::string &id)
{
	in_loop([&] { backends[id]->fail = true; });
}

std::string
Objects::headers_of(const std::string &request)
{
	std::string text;

	in_loop([&] { text = heard[request]; });
	return text;
}

std::string
Objects::status_of(const std::string &kind, const std::string &name)
{
	std::string text;

	in_loop([&] {
		const char *state = json_string_value(json_object_get(
		    json_object_get(object(kind, name), "status"), "state"));

		text = state != nullptr ? state : "";
	});
	return text;
}

void
Objects::hold(const std::string &id)
{
	in_loop([&] { backends[id]->hold = true; });
}

void
Objects::say(
    const std::string &id, const std::string &header, const std::string &value)
{
	in_loop([&] {
		if (value.empty())
			backends[id]->says.erase(header);
		else
			backends[id]->says[header] = value;
	});
}

std::vector<int64_t>
Objects::came(const std::string &id)
{
	std::vector<int64_t> all;

	in_loop([&] { all = backends[id]->came; });
	return all;
}

void
Objects::chill(const std::string &id, int64_t ms)
{
	in_loop([&] {
		backends[id]->cold_until =
		    ms == 0 ? 0 : clk_ns(clk_system()) + ms * NS_MS;
	});
}

size_t
Objects::ran(const std::string &id)
{
	size_t n = 0;

	in_loop([&] { n = backends[id]->ran.size(); });
	return n;
}

std::vector<int64_t>
Objects::first_runs(const std::string &prefix)
{
	std::map<std::string, int64_t> first;
	std::vector<int64_t> sorted;

	in_loop([&] {
		for (auto &b : backends)
			for (size_t i = 0; i < b.second->ran.size(); i++) {
				const std::string &id = b.second->ran[i];
				int64_t at = b.second->ran_at[i];

				if (id.compare(0, prefix.size(), prefix) != 0)
					continue;
				auto it = first.emplace(id, at).first;
				it->second = std::min(it->second, at);
			}
	});
	for (auto &f : first)
		sorted.push_back(f.second);
	std::sort(sorted.begin(), sorted.end());
	return sorted;
}

size_t
Objects::ran_times(const std::string &id, const std::string &request)
{
	size_t n = 0;

	in_loop([&] {
		for (auto &r : backends[id]->ran)
			n += r == request;
	});
	return n;
}
