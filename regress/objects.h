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
#ifndef OBJECTS_H
#define OBJECTS_H

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "hsrv.h"
#include "tmr.h"
}
#include <jansson.h>

/*
 * Stand-in for the users' platform: its object store and its backend servers.
 * They run on one thread with its own event loop, protected by one lock.
 */
class Objects
{
      public:
	/* The store at `store`; backend servers are added by start_backend().
	 */
	explicit Objects(const std::string &store);
	~Objects();

	struct Work;
	struct Backend {
		std::string id, service, address;
		int pace = 100;
		int64_t cold_until = 0; /* reported in health responses */
		bool refuse = false; /* respond that nothing was executed */
		bool lose = false; /* execute, and send no response */
		bool hold = false; /* execute, and never finish */
		bool fail = false; /* execute, and respond with 500 */
		/* Headers that its responses carry, with their values. */
		std::map<std::string, std::string> says;
		/* When requests addressed to it arrived; monotonic ns. */
		std::vector<int64_t> came;
		std::vector<std::string> ran; /* request ids */
		std::vector<int64_t> ran_at; /* of each; monotonic ns */
		std::set<Work *> works; /* in flight */
		struct hsrv *srv = nullptr;
		Objects *owner = nullptr;
		struct tmr_item back = {};
	};

	/* A request that a backend server is executing. */
	struct Work {
		h2o_req_t *req;
		Backend *backend;
		bool last; /* it makes the backend server crash */
		struct tmr_item timer;
	};

	void start_backend(const std::string &id, const std::string &service,
	    const std::string &address);
	void set(const std::string &id, int pace, bool refuse, bool lose);
	void hold(const std::string &id);
	/* Makes it respond to every request with 500 from now on. */
	void fail(const std::string &id);
	/* The state last written to an object's status; empty: none. */
	std::string status_of(const std::string &kind, const std::string &name);
	/* Adds a header to its responses from now on; empty: removes it. */
	void say(const std::string &id, const std::string &header,
	    const std::string &value);
	/* When requests arrived at it, executed or not; monotonic ns. */
	std::vector<int64_t> came(const std::string &id);
	/* Makes it cold for `ms`, which its health responses report. */
	void chill(const std::string &id, int64_t ms);
	/*
	 * From now on a request whose path contains `path` crashes each backend
	 * server that executes it, after `after_ms`: all its connections and
	 * requests in flight are cut, and it listens again after `back_ms`.
	 */
	void ends_servers(const std::string &path, int after_ms, int back_ms);
	/* When backend servers have crashed so far; monotonic ns. */
	std::vector<int64_t> ends();
	size_t ran(const std::string &id);
	/*
	 * When requests whose ids start with `prefix` were executed for the
	 * first time, sorted; monotonic ns.
	 */
	std::vector<int64_t> first_runs(const std::string &prefix);
	/* The headers with which a request reached a backend server. */
	std::string headers_of(const std::string &request);
	/* How often a backend server executed one request. */
	size_t ran_times(const std::string &id, const std::string &request);

	/* Write or remove an object of the store. */
	void put(const std::string &kind, const std::string &name,
	    const std::string &spec);
	void remove(const std::string &kind, const std::string &name);
	/*
	 * From now on responses have this text, which need not be JSON, where
	 * a member has the string `value` as its value.
	 */
	void pass_raw(const std::string &value, const std::string &text);
	/* Answers every call with this HTTP status; 0: normal operation. */
	void answer_all(int status);
	/* Drops the change history: watches from earlier revisions get 410. */
	void compact();
	/*
	 * While on, pending watches receive no events; when switched off, the
	 * history is dropped and pending watches are cut off.
	 */
	void deafen(bool);
	/* Cuts off all pending watches. */
	void cut_watches();
	/* Stops or resumes answering calls of the store. */
	void hang(bool);
	/*
	 * The same, and the responses to pending calls are lost meanwhile:
	 * their connections stay open, but carry nothing more.
	 */
	void silence(bool);
	/* How many calls got no response. */
	size_t hung();
	/* The revision of the last write. */
	uint64_t revision();
	/* Keeps a copy of the store for restore(). */
	void keep_copy();
	/*
	 * The store is restored from the copy: what was written since is gone,
	 * its revisions are used again, and its era rises by one.
	 */
	void restore();
	/* From now on responses do not tell the era. */
	void hide_era();
	/* Freezes the state that stale lists return at the current one. */
	void keep_stale();
	/* Responses that may be stale return the state of `ms` ago. */
	void lag(int ms);
	/*
	 * Counts of the calls of the store and, separately, of the watches
	 * that return at once.
	 */
	size_t calls();
	size_t looks();

      private:
	struct Event {
		uint64_t rev;
		std::string kind;
		bool tombstone;
		json_t *object;
		std::string key;
		int64_t at; /* monotonic ns */
	};
	struct Waiter {
		h2o_req_t *req;
		std::string kind;
		uint64_t since;
		struct tmr_item timer;
		Objects *owner;
		bool copy; /* accepts a stale response */
	};

	static void on_worked(void *);
	static void on_work_gone(void *);
	static void on_back(void *);
	static void work(Backend *, h2o_req_t *, int64_t ms, bool last);
	void listen(Backend *);
	void end(Backend *);

	static void on_store(void *, h2o_req_t *);
	static void on_backend(void *, h2o_req_t *);
	static void on_wake(uv_async_t *);
	static void on_wait_over(void *);
	static void on_gone(void *);
	void run_loop();
	void in_loop(const std::function<void()> &);
	void list(h2o_req_t *, const std::string &kind);
	void watch(h2o_req_t *, const std::string &kind);
	void get(h2o_req_t *, const std::string &key);
	void
	erase(h2o_req_t *, const std::string &kind, const std::string &name);
	void write(h2o_req_t *, const std::string &kind);
	uint64_t rev_of_copy() const;
	std::map<std::string, json_t *> copy() const;
	json_t *events(const std::string &kind, uint64_t since, uint64_t upto);
	void answer_watches();
	void cut_waiters();
	void forget();
	void load_copy();
	bool has_revision(uint64_t since) const;
	bool
	is_same(const std::string &kind, const std::string &name, json_t *spec);
	json_t *object(const std::string &kind, const std::string &name);
	void store(const std::string &kind, const std::string &name,
	    json_t *object, bool tombstone);

	uv_loop_t loop;
	uv_async_t async;
	struct tmr tmr;
	std::mutex lock;
	std::vector<std::function<void()>> todo;
	std::map<std::string, json_t *> objects; /* "kind/name" */
	std::map<std::string, json_t *> stale; /* frozen copy for stale lists */
	uint64_t stale_rev = 0; /* 0: stale lists are current */
	std::vector<Event> history, log; /* since compaction; all */
	int lag_ms = 0;
	std::set<Waiter *> waiters;
	std::map<std::string, std::unique_ptr<Backend>> backends;
	std::map<std::string, std::string> heard; /* headers by request id */
	std::string ending; /* path part of requests that crash servers */
	int ends_after_ms = 0, back_after_ms = 0;
	std::vector<int64_t> ended;
	uint64_t rev = 1, kept = 0;
	uint64_t copy_rev = 1; /* of the copy that restore() uses */
	uint64_t era = 0; /* rises with each restore() */
	int status = 0;
	bool hangs = false, swallows = false, deaf = false, hides_era = false;
	size_t nhung = 0;
	size_t ncalls = 0, nlooks = 0;
	std::thread thread;
};

#endif
