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
#ifndef FLEET_H
#define FLEET_H

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <sys/types.h>
#include <vector>

/*
 * Runs a small fleet of real processes on loopback addresses that nothing else
 * uses: the product's gates and agents, and stand-ins for the platform, the
 * backend servers and the network.  Tests wait for events and do not rely on
 * fixed delays.
 */

/* An HTTP response, or how far a request without a response got. */
struct Reply {
	int status = 0; /* 0: no response */
	bool complete = false;
	std::map<std::string, std::string> headers; /* names in lower case */
	std::string body;
	bool connected = false;

	std::string header(const std::string &name) const;
	bool not_run() const
	{
		return header("fern-ran") == "no";
	}
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/* Sends one HTTP request and runs the event loop until it has ended. */
Reply http(const std::string &method, const std::string &address,
    const std::string &path, const Headers &headers = {},
    const std::string &body = "", int timeout_ms = 10000);

/* Starts an HTTP request and returns at once; `done` gets its reply. */
void http_start(const std::string &method, const std::string &address,
    const std::string &path, const Headers &headers, const std::string &body,
    int timeout_ms, std::function<void(const Reply &)> done,
    bool keep_body = true);

/*
 * Run the event loop for some milliseconds, or until a condition holds;
 * until() returns false if it does not hold within the timeout.
 */
void pump(int ms);
bool until(const std::function<bool()> &, int timeout_ms = 30000);
double now_ms();

/*
 * The directory for files of tests: FERN_KEEP, where they are kept, or /tmp,
 * where each test removes its own.
 */
std::string test_dir();
bool keeps_files();

/* A child process, restartable with the same arguments. */
struct Process {
	pid_t pid = 0; /* 0: not running */
	std::vector<std::string> argv;
	std::string log; /* file that gets its output */

	void start();
	void signal(int signo) const;
	/* Sends SIGKILL and reaps the process. */
	void kill9();
	/*
	 * Waits for the end and reaps the process.  Returns the exit status,
	 * or -1 if the process still runs after the timeout.
	 */
	int wait_exit(int timeout_ms = 30000);
	bool running() const
	{
		return pid > 0;
	}
	/* CPU seconds used; current and peak resident memory in kilobytes. */
	double cpu() const;
	long rss_kb() const;
	long peak_kb() const;
	std::string read_log() const;
};

struct BackendOptions {
	std::string name, hall = "north", app = "dir";
	std::string keys =
	    "ms=5"; /* the stand-in's KEY=VALUE, with spaces between */
	int slots = 3;
	bool proxied = false;
};

struct FleetOptions {
	int boxes = 2;
	std::vector<std::string> halls = {
	    "north"}; /* assigned to boxes in turn */
	std::vector<BackendOptions> backends;
	std::string gate_settings, agent_settings; /* appended verbatim */
	bool platform_proxied = false;
	bool pass_proxied = false;
	bool one_process = false; /* each box's gate and agent are a fernbox */
	bool quiet = true;
	int pass_delay_ms = 0;
};

/* A proxy that injects faults in front of an address. */
struct Proxy {
	Process process;
	std::string address, control;

	void set(const std::string &query) const;
};

struct Box {
	std::string name, hall;
	std::string listen, pass_listen, pass, admin, inbox, agent, agent_admin;
	Process gate, agent_process;
	std::unique_ptr<Proxy> pass_proxy;
};

struct Backend {
	BackendOptions options;
	std::string address, public_address, journal;
	Process process;
	std::unique_ptr<Proxy> proxy;

	void set(const std::string &query) const;
	long count(const std::string &key) const;
};

class Fleet
{
      public:
	explicit Fleet(const FleetOptions &);
	~Fleet();

	FleetOptions options;
	Process platform;
	std::string platform_address, platform_public;
	std::unique_ptr<Proxy> platform_proxy;
	std::vector<Box> boxes;
	std::vector<std::unique_ptr<Backend>> backends;
	std::string dir;

	/*
	 * Starts all processes, registers the backends, applies the rules and
	 * waits until the boxes are ready.
	 */
	void start();
	void start_box(size_t);
	void stop_box_hard(size_t);
	void add_backend(const BackendOptions &);
	std::unique_ptr<Proxy> proxy(const std::string &target);

	/* Creates or updates an object on the platform. */
	long put(const std::string &key, const std::string &spec);
	long remove(const std::string &key);
	std::string
	backend_spec(const Backend &, const std::string &extra = "");
	void set_platform(const std::string &query) const;
	void list_boxes(const std::vector<std::string> &leaving = {});
	long platform_count(const std::string &key) const;

	bool ready(size_t box) const;
	bool wait_ready(int timeout_ms = 30000);
	/*
	 * Returns whether the gates of all boxes have this many objects and
	 * the same digest.
	 */
	bool in_force(size_t objects) const;
	std::string metrics(size_t box) const;
	double metric(size_t box, const std::string &name) const;
	double agent_metric(size_t box, const std::string &name) const;
	/* Runs fernctl; returns its exit status and stores its output. */
	int ctl(const std::vector<std::string> &args, std::string *out);

	/* How often each request id was run, according to all journals. */
	std::map<std::string, int> runs() const;

	std::string ip(int host) const;

      private:
	std::string net; /* "127.A.B." */
	int next_proxy = 200;
};

/* The outcome of one request of a load. */
struct Outcome {
	std::string id, kind, ran;
	int status = 0;
	bool complete = false, right = false, not_repeatable = false;
	bool connected = false;
	int cls = 0;
	double intended_ms = 0, latency_ms = 0;
};

/* One stream of requests in a load. */
struct Stream {
	double rate = 100; /* requests per second, a Poisson process */
	std::string method = "GET", path = "/dir/x";
	bool keyed = false;
	int cls = 0;
	int size = 1024;
	int ms = 0; /* service time to request; 0: the stand-in's own */
	int deadline_ms = 0;
};

/*
 * Generates an open-loop load on the boxes.  Latency is measured from the time
 * at which a request was scheduled to be sent.  Each response is checked to
 * belong to its own request.
 */
class Load
{
      public:
	Load(std::vector<std::string> targets, std::vector<Stream> streams,
	    unsigned seed);
	~Load();

	void start();
	void stop(); /* no new requests; those in flight continue */
	bool drained() const;
	std::vector<Outcome> outcomes;
	std::function<bool(size_t)>
	    target_up; /* whether the platform's balancer uses a box */
	/*
	 * Busy-wait to send at the exact time, since libuv's timers have a
	 * resolution of one millisecond.
	 */
	bool spin = false;
	/* Changes the rate of a stream while the load runs. */
	void rate(size_t stream, double);

	/* Latencies of a class, sorted; failed requests count as failed_ms. */
	std::vector<double>
	latencies(int cls, double from_ms = 0, double to_ms = 1e18) const;
	static double percentile(const std::vector<double> &, double p);

      private:
	struct Impl;
	std::unique_ptr<Impl> impl;
};

/* Checks guarantees that hold under every fault; returns violations. */
std::vector<std::string> violations(
    const std::vector<Outcome> &, const std::map<std::string, int> &runs);

#endif
