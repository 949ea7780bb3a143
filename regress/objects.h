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
 * Stand-in for the users' platform: its store and its backend servers, on one
 * thread with a loop of its own, behind one lock.
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
		int64_t cold_until = 0; /* its health answers tell it */
		bool refuse = false; /* answer that nothing was run */
		bool lose = false; /* run, and answer nothing */
		bool hold = false; /* run, and take for ever */
		bool fail = false; /* run, and answer 500 */
		/* What its answers to requests say of it: header and value. */
		std::map<std::string, std::string> says;
		/* When requests that were meant for it came; monotonic ns. */
		std::vector<int64_t> came;
		std::vector<std::string> ran; /* request ids */
		std::set<Work *> works; /* that it is at */
		struct hsrv *srv = nullptr;
		Objects *owner = nullptr;
		struct tmr_item back = {};
	};

	/* A request that a backend server is at. */
	struct Work {
		h2o_req_t *req;
		Backend *backend;
		bool last; /* the backend server ends of it */
		struct tmr_item timer;
	};

	void start_backend(const std::string &id, const std::string &service,
	    const std::string &address);
	void set(const std::string &id, int pace, bool refuse, bool lose);
	void hold(const std::string &id);
	/* It answers all with 500 from now on. */
	void fail(const std::string &id);
	/* The state that was written to an object's status; empty: none. */
	std::string status_of(const std::string &kind, const std::string &name);
	/* Its answers to requests say this from now on; empty: no more. */
	void say(const std::string &id, const std::string &header,
	    const std::string &value);
	/* When requests came to it, whether it ran them or not. */
	std::vector<int64_t> came(const std::string &id);
	/* It is cold for so long, and says so. */
	void chill(const std::string &id, int64_t ms);
	/*
	 * From now on a request with this in its path ends each backend server
	 * that runs it, after a while: its connections break, with all that it
	 * is at, and nothing listens until it is back.
	 */
	void ends_servers(const std::string &path, int after_ms, int back_ms);
	/* When each backend server ended so far; monotonic ns. */
	std::vector<int64_t> ends();
	size_t ran(const std::string &id);
	/* The headers with which a request reached a backend server. */
	std::string headers_of(const std::string &request);
	/* How often a backend server ran one request. */
	size_t ran_times(const std::string &id, const std::string &request);

	/* Write, or remove, an object of the store. */
	void put(const std::string &kind, const std::string &name,
	    const std::string &spec);
	void remove(const std::string &kind, const std::string &name);
	/* Answer every call with this status; 0: as usual. */
	void answer_all(int status);
	/* Forget what changed so far: watches from before get 410. */
	void compact();
	/*
	 * Watches that wait hear of nothing; when that ends the history is
	 * gone, and they are broken off.
	 */
	void deafen(bool);
	/* Break off all watches that wait. */
	void cut_watches();
	/* Answer no call of the store at all, or again. */
	void hang(bool);
	/*
	 * The same, and what the calls that wait are owed meanwhile is lost:
	 * their connections stay open and say nothing more.
	 */
	void silence(bool);
	/* How many calls were left without an answer. */
	size_t hung();
	/* From now on stale lists tell what there is now. */
	void keep_stale();
	/* Answers that may be stale tell what there was so long ago. */
	void lag(int ms);
	/* Calls of the store, and watches that do not wait, beside them. */
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
		bool copy; /* a stale answer will do */
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
	void write(h2o_req_t *, const std::string &kind);
	uint64_t rev_of_copy() const;
	std::map<std::string, json_t *> copy() const;
	json_t *events(const std::string &kind, uint64_t since, uint64_t upto);
	void answer_watches();
	void cut_waiters();
	void forget();
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
	std::map<std::string, json_t *> stale; /* the same, as it was once */
	uint64_t stale_rev = 0; /* 0: stale lists are fresh */
	std::vector<Event> history, log; /* since it was compacted, and all */
	int lag_ms = 0;
	std::set<Waiter *> waiters;
	std::map<std::string, std::unique_ptr<Backend>> backends;
	std::map<std::string, std::string> heard; /* headers, by request */
	std::string ending; /* in the path of what ends backend servers */
	int ends_after_ms = 0, back_after_ms = 0;
	std::vector<int64_t> ended;
	uint64_t rev = 1, kept = 0;
	int status = 0;
	bool hangs = false, swallows = false, deaf = false;
	size_t nhung = 0;
	size_t ncalls = 0, nlooks = 0;
	std::thread thread;
};

#endif
