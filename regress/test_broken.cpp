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
 * Responses of backend servers that break off, or that cannot be parsed: a
 * caller must never take a part of one for a whole response.
 */
#include <atomic>
#include <csignal>
#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <mutex>
#include <poll.h>
#include <thread>

#include "raw_caller.h"

namespace
{

enum End { FIN, RESET };
enum Protocol {
	HTTP11,
	HTTP10,
	HTTP2,
	PROTOCOLS,
	HTTP12 = PROTOCOLS,
	HTTP09,
	HTTP20,
	ALL_PROTOCOLS
};

/* The last one is a version in a request of HTTP/1.1. */
const char *const protocol_names[] = {
    "HTTP/1.1", "HTTP/1.0", "HTTP/2", "HTTP/1.2", "HTTP/0.9", "HTTP/2.0"};

/* A response, in which "$ID" stands for six characters of the request. */
struct Response {
	const char *what;
	std::string text;
	int status; /* for the caller; 0: it must not get a whole 2xx */
	std::string body;
	bool close_delimited = false;
	const char *method = "GET";
};

std::string
with_id(std::string text, const std::string &id)
{
	for (size_t at; (at = text.find("$ID")) != std::string::npos;)
		text.replace(at, 3, id);
	return text;
}

/* What a backend server sends, and how it ends the connection. */
struct Play {
	std::string text;
	End end = FIN;
	bool keeps = false; /* the connection */
	bool waits = false; /* with the end, until the connection ends */
};

/* Plays a response to each request, by the id that its path ends with. */
class BrokenServer
{
      public:
	/* Gets the id and how often that was requested before. */
	using Choose = std::function<Play(const std::string &id, int before)>;

	std::atomic<int> served{0}, on_kept{0};

	explicit BrokenServer(const std::string &address)
	{
		struct sockaddr_in sin = net::parse(address);
		int on = 1;

		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		if (bind(fd, reinterpret_cast<struct sockaddr *>(&sin),
			sizeof(sin)) != 0 ||
		    listen(fd, 256) != 0)
			abort();
		thread = std::thread([this] { run(); });
	}

	~BrokenServer()
	{
		stopping = true;
		shutdown(fd, SHUT_RDWR);
		thread.join();
		while (open > 0)
			usleep(1000);
		close(fd);
	}

	void set(Choose fn)
	{
		std::lock_guard<std::mutex> lock(mutex);
		choose = std::move(fn);
		counts.clear();
	}

	int count(const std::string &id)
	{
		std::lock_guard<std::mutex> lock(mutex);
		return counts[id];
	}

      private:
	void run()
	{
		int conn;

		while (
		    (conn = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
			open++;
			std::thread([this, conn] {
				for (int n = 0; !stopping && serve(conn, n);
				     n++)
					;
				close(conn);
				open--;
			}).detach();
		}
	}

	static bool has_request(const std::string &in)
	{
		size_t end = in.find("\r\n\r\n"),
		       at = in.find("content-length: ");

		return end != std::string::npos &&
		    (at == std::string::npos || at > end ||
			in.size() >= end + 4 + std::stoul(in.substr(at + 16)));
	}

	Play chosen(const std::string &in, int n)
	{
		std::string path = in.substr(0, in.find(" HTTP/"));
		std::string id = path.substr(path.rfind('/') + 1);
		std::lock_guard<std::mutex> lock(mutex);

		if (path.find(" /dir") == std::string::npos || id == "warm" ||
		    !choose)
			return {"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
			    FIN, true};
		served++;
		on_kept += n > 0;
		return choose(id, counts[id]++);
	}

	/* Serves a request; returns whether another one may follow. */
	bool serve(int conn, int n)
	{
		struct timeval limit = {0, 100000};
		struct linger reset = {1, 0};
		char buf[4096];
		std::string in;
		ssize_t got;
		Play play;

		setsockopt(
		    conn, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		while (!has_request(in)) {
			got = read(conn, buf, sizeof(buf));
			if (got == 0 || (got < 0 && errno != EAGAIN) ||
			    stopping)
				return false;
			if (got > 0)
				in.append(buf, static_cast<size_t>(got));
		}
		play = chosen(in, n);
		(void)!send(
		    conn, play.text.data(), play.text.size(), MSG_NOSIGNAL);
		while (play.waits && !stopping &&
		    ((got = read(conn, buf, 1)) > 0 ||
			(got < 0 && errno == EAGAIN)))
			;
		if (play.end == RESET && !play.keeps)
			setsockopt(
			    conn, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		return play.keeps;
	}

	std::atomic<bool> stopping{false};
	std::atomic<int> open{0};
	std::mutex mutex;
	Choose choose;
	std::map<std::string, int> counts;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	std::thread thread;
};

/* What a caller can tell of a response. */
struct Seen {
	int status = 0;
	bool whole = false;
	std::string body, raw;
};

std::string
h2_frame(int type, int flags, uint32_t stream, const std::string &payload)
{
	size_t n = payload.size();
	const char head[] = {static_cast<char>(n >> 16),
	    static_cast<char>(n >> 8), static_cast<char>(n),
	    static_cast<char>(type), static_cast<char>(flags), 0, 0, 0,
	    static_cast<char>(stream)};

	return std::string(head, sizeof(head)) + payload;
}

std::string
h2_text(const std::string &s)
{
	return std::string(1, static_cast<char>(s.size())) + s;
}

/* The preface, windows of 16 MiB, and a request on stream 1. */
std::string
h2_request(const std::string &method, const std::string &path)
{
	const std::string window("\x00\x04\x01\x00\x00\x00", 6);
	std::string headers = "\x02" + h2_text(method) + "\x86\x04" +
	    h2_text(path) + "\x01" + h2_text("x");

	return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + h2_frame(4, 0, 0, window) +
	    h2_frame(8, 0, 0, std::string("\x01\x00\x00\x00", 4)) +
	    h2_frame(1, 5, 1, headers);
}

/* Statuses but those of the static table are taken for 500. */
int
h2_status(const std::string &payload)
{
	static const int statuses[] = {200, 204, 206, 304, 400, 404, 500};
	size_t at = 0;
	int index;

	while (at < payload.size() && (payload[at] & 0xe0) == 0x20)
		at++;
	index = at < payload.size() ? payload[at] & 0xff : 0;
	return index >= 0x88 && index <= 0x8e ? statuses[index - 0x88] : 500;
}

/* Returns whether the stream has ended, be it whole or not. */
bool
parse_h2(const Caller &c, Seen *seen)
{
	const std::string &in = c.received;
	size_t at = 0, n;
	int type, flags;

	*seen = Seen();
	for (; at + 9 <= in.size(); at += 9 + n) {
		n = (in[at] & 0xffU) << 16 | (in[at + 1] & 0xffU) << 8 |
		    (in[at + 2] & 0xffU);
		type = in[at + 3];
		flags = in[at + 4];
		if (at + 9 + n > in.size())
			break;
		if (in[at + 8] != 1)
			continue;
		if (type == 1)
			seen->status = h2_status(in.substr(at + 9, n));
		if (type == 0)
			seen->body += in.substr(at + 9, n);
		if (type == 3)
			return true;
		if (type <= 1 && (flags & 1) != 0) {
			seen->whole = true;
			return true;
		}
	}
	return c.ended;
}

/* Returns whether the last chunk and the trailer are there. */
bool
parse_chunks(const std::string &in, std::string *body)
{
	size_t at = 0, end, n;

	while ((end = in.find("\r\n", at)) != std::string::npos) {
		n = std::stoul("0" + in.substr(at, end - at), nullptr, 16);
		if (n == 0)
			return in.find("\r\n\r\n", at) != std::string::npos;
		*body += in.substr(end + 2, n);
		at = end + 2 + n + 2;
		if (at > in.size())
			return false;
	}
	return false;
}

std::string
header_of(const std::string &head, const std::string &name)
{
	size_t at = head.find("\r\n" + name + ":");

	if (at == std::string::npos)
		return "";
	at = head.find_first_not_of(' ', at + name.size() + 3);
	return head.substr(at, head.find("\r\n", at) - at);
}

bool
parse_h1(const Caller &c, const std::string &method, Seen *seen)
{
	const std::string &in = c.received;
	size_t end = in.find("\r\n\r\n");
	std::string head, length;

	*seen = Seen();
	if (end == std::string::npos)
		return c.ended;
	head = in.substr(0, end + 2);
	seen->status = std::stoi(head.substr(9, 3));
	length = header_of(head, "content-length");
	if (method == "HEAD" || seen->status == 204 || seen->status == 304) {
		seen->whole = true;
	} else if (header_of(head, "transfer-encoding") == "chunked") {
		seen->whole = parse_chunks(in.substr(end + 4), &seen->body);
	} else if (!length.empty()) {
		seen->body = in.substr(end + 4, std::stoul(length));
		seen->whole = seen->body.size() == std::stoul(length);
	} else {
		seen->body = in.substr(end + 4);
		seen->whole = c.ended && c.error == 0;
	}
	return seen->whole || c.ended;
}

/* A request, until its response has ended. */
struct Asking {
	Protocol protocol;
	std::string method;
	Caller caller;
	Seen seen;

	Asking(const std::string &address, Protocol p, const std::string &m,
	    const std::string &path)
	    : protocol(p), method(m), caller(address)
	{
		if (protocol == HTTP2)
			caller.send_text(h2_request(method, path));
		else
			caller.send_text(method + " " + path + " " +
			    protocol_names[protocol] + "\r\nhost: x\r\n" +
			    (method == "POST" ? "content-length: 0\r\n" : "") +
			    "\r\n");
	}

	bool ends()
	{
		size_t had;
		bool done;

		do {
			had = caller.received.size();
			caller.read_some(16384);
		} while (caller.received.size() > had);
		done = protocol == HTTP2 ? parse_h2(caller, &seen)
					 : parse_h1(caller, method, &seen);
		if (done)
			seen.raw = caller.received;
		return done;
	}
};

/* A rule of each lane; the id of a request follows. */
enum Rule { ONCE, KEPT, RETRIED, RULES };

struct Ask {
	Protocol protocol;
	size_t box;
	std::string method;
	Rule rule;
	std::string id;
};

/*
 * Boxes with services that have a backend server each, all of them in this
 * process.  A lane has one request at a time for its service.  A whole response
 * comes before each other one, as servers that fail three times in a row get
 * no requests.
 */
struct World {
	static constexpr size_t LANES = 16;

	std::unique_ptr<Fleet> fleet;
	std::vector<std::unique_ptr<BrokenServer>> servers;
	int next_id = 100000;

	explicit World(int deadline_ms, const std::string &settings = "")
	{
		static const char *const rules[RULES] = {
		    "once", "kept", "retried"};
		static const char *const policies[RULES] = {
		    R"("repeatable":"no")",
		    R"("repeatable":"yes","attempts":1)",
		    R"("repeatable":"yes","attempts":3)"};
		FleetOptions o;

		o.gate_settings = settings;
		for (size_t i = 0; i < LANES; i++) {
			o.backends.push_back(BackendOptions());
			o.backends[i].name = "b" + std::to_string(i);
			o.backends[i].app = "dir" + std::to_string(i);
		}
		fleet = std::make_unique<Fleet>(o);
		fleet->start();
		for (auto &b : fleet->backends) {
			const std::string &dir = b->options.app;

			fleet->put("service/" + dir,
			    R"({"select":"app=)" + dir + "\"}");
			for (int i = 0; i < RULES; i++)
				fleet->put("rule/" + dir + "-" + rules[i],
				    R"({"path":"/)" + dir + "/" + rules[i] +
					R"(","service":")" + dir +
					R"(","deadline_ms":)" +
					std::to_string(deadline_ms) + "," +
					policies[i] + "}");
		}
		EXPECT_TRUE(fleet->wait_ready());
		EXPECT_TRUE(until(
		    [&] { return fleet->in_force(LANES * (2 + RULES)); }));
		for (auto &b : fleet->backends) {
			b->process.kill9();
			servers.push_back(
			    std::make_unique<BrokenServer>(b->public_address));
		}
	}

	std::string new_id()
	{
		return std::to_string(next_id++);
	}

	void set(const BrokenServer::Choose &fn)
	{
		for (auto &s : servers)
			s->set(fn);
	}

	int count(const std::string &id)
	{
		int n = 0;

		for (auto &s : servers)
			n += s->count(id);
		return n;
	}

	std::unique_ptr<Asking> start(const Ask &a, size_t lane)
	{
		static const char *const rules[RULES] = {
		    "/once/", "/kept/", "/retried/"};

		return std::make_unique<Asking>(fleet->boxes[a.box].listen,
		    a.protocol, a.method,
		    "/dir" + std::to_string(lane) + rules[a.rule] + a.id);
	}

	/* Sends all requests; returns what the callers saw. */
	std::vector<Seen> ask_all(const std::vector<Ask> &asks)
	{
		std::vector<Seen> all(asks.size());
		std::vector<std::unique_ptr<Asking>> open(LANES);
		std::vector<size_t> next(LANES);
		std::vector<bool> is_warm(LANES);
		double limit = now_ms() + 60000;
		size_t ended = 0;

		for (size_t i = 0; i < LANES; i++)
			next[i] = i;
		while (ended < asks.size() && now_ms() < limit) {
			std::vector<struct pollfd> fds;

			for (size_t i = 0; i < LANES; i++) {
				if (open[i] == nullptr &&
				    next[i] < asks.size()) {
					Ask a = asks[next[i]];

					if (!is_warm[i])
						a = {HTTP11, a.box, "GET", KEPT,
						    "warm"};
					open[i] = start(a, i);
				}
				fds.push_back(
				    {open[i] != nullptr ? open[i]->caller.fd
							: -1,
					POLLIN, 0});
			}
			poll(fds.data(), fds.size(), 1000);
			for (size_t i = 0; i < LANES; i++) {
				if (fds[i].revents == 0 || !open[i]->ends())
					continue;
				if (is_warm[i]) {
					all[next[i]] = open[i]->seen;
					next[i] += LANES;
					ended++;
				}
				is_warm[i] = !is_warm[i];
				open[i].reset();
			}
		}
		EXPECT_EQ(asks.size(), ended) << "some had no end";
		return all;
	}
};

const std::string OK = "HTTP/1.1 200 OK\r\nfern-x: $ID\r\n";
const std::string LENGTH = OK + "content-length: 11\r\n\r\nbody-$ID";
const std::string CHUNKS = "\r\n5\r\nbody-\r\n06;x=y\r\n$ID\r\n0\r\nx-t: "
			   "v\r\n\r\n";
const std::string CHUNKED = OK + "transfer-encoding: chunked\r\n" + CHUNKS;
const std::string UNTIL_CLOSE = OK + "connection: close\r\n\r\nbody-$ID";

const Response responses[] = {
    {"a length", LENGTH, 200, "body-$ID"},
    {"chunks", CHUNKED, 200, "body-$ID"},
    {"connection: close", UNTIL_CLOSE, 200, "body-$ID", true},
    {"neither", OK + "\r\nbody-$ID", 200, "body-$ID", true},
    {"a length behind a 100", "HTTP/1.1 100 Continue\r\n\r\n" + LENGTH, 200,
	"body-$ID"},
    {"chunks behind a 103",
	"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + CHUNKED, 200,
	"body-$ID"},
    {"connection: close behind two 102",
	"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" +
	    UNTIL_CLOSE,
	200, "body-$ID", true},
    {"a length, bare line feeds",
	"HTTP/1.1 200 OK\nfern-x: $ID\ncontent-length: 11\n\nbody-$ID", 200,
	"body-$ID"},
    {"neither, bare line feeds",
	"HTTP/1.1 200 OK\nfern-x: $ID\nx: y\n\nbody-$ID", 200, "body-$ID",
	true},
    {"a folded header", OK + "x: a\r\n b\r\n\tc\r\n" + LENGTH.substr(OK.size()),
	200, "body-$ID"},
    {"a length, HTTP/1.0",
	"HTTP/1.0 200 OK\r\ncontent-length: 11\r\n\r\nbody-$ID", 200,
	"body-$ID"},
    {"neither, HTTP/1.0", "HTTP/1.0 200 OK\r\nx: y\r\n\r\nbody-$ID", 200,
	"body-$ID", true},
    {"204", "HTTP/1.1 204 No Content\r\nfern-x: $ID\r\n\r\n", 204, ""},
    {"304 with a length",
	"HTTP/1.1 304 Not Modified\r\ncontent-length: 11\r\n\r\n", 304, ""},
    {"HEAD with a length", OK + "content-length: 11\r\n\r\n", 200, "", false,
	"HEAD"},
    {"HEAD, chunked", OK + "transfer-encoding: chunked\r\n\r\n", 200, "", false,
	"HEAD"},
    {"HEAD, neither", OK + "\r\n", 200, "", false, "HEAD"},
    {"POST with a length", LENGTH, 200, "body-$ID", false, "POST"},
    {"POST, chunks", CHUNKED, 200, "body-$ID", false, "POST"},
    {"POST, connection: close", UNTIL_CLOSE, 200, "body-$ID", true, "POST"},
};

/* Header lines with which no whole response can be told, and those that do. */
std::string
with_length(const std::string &line, const std::string &body = "body-$ID")
{
	return OK + line + "\r\n\r\n" + body;
}

std::string
with_chunks(const std::string &line, const std::string &chunks = CHUNKS)
{
	return OK + line + "\r\n" + chunks;
}

/* A status of 0: the caller must not get a whole 2xx, else it may. */
const Response odd_responses[] = {
    /* Of a body of 11 bytes five come. */
    {"space before the colon", with_length("content-length : 11", "body-"), 0,
	""},
    {"space behind the length", with_length("content-length: 11 ", "body-"), 0,
	""},
    {"tab", with_length("content-length:\t11", "body-"), 0, ""},
    {"folded length", with_length("content-length:\r\n 11", "body-"), 0, ""},
    {"folded after 1", with_length("content-length: 1\r\n 1", "b"), 0, ""},
    {"folded end", with_length("content-length: 11\r\n ", "body-"), 0, ""},
    {"19 digits", with_length("content-length: 0000000000000000011", "body-"),
	0, ""},
    {"twice", with_length("content-length: 11\r\ncontent-length: 11", "body-"),
	0, ""},
    {"upper case", with_length("CONTENT-LENGTH: 11", "body-"), 0, ""},
    /* All of the body comes. */
    {"space before the colon", with_length("content-length : 11"), 200,
	"body-$ID"},
    {"space behind the length", with_length("content-length: 11 "), 200,
	"body-$ID"},
    {"folded length", with_length("content-length:\r\n 11"), 200, "body-$ID"},
    {"folded end", with_length("content-length: 11\r\n "), 200, "body-$ID"},
    {"19 digits", with_length("content-length: 0000000000000000011"), 200,
	"body-$ID"},
    {"twice", with_length("content-length: 11\r\ncontent-length: 11"), 200,
	"body-$ID"},
    {"two", with_length("content-length: 11\r\ncontent-length: 5"), 0, ""},
    {"two", with_length("content-length: 5\r\ncontent-length: 11"), 0, ""},
    {"too short", with_length("content-length: 5"), 200, "body-"},
    /* Lengths that are not valid. */
    {"empty", with_length("content-length:"), 0, ""},
    {"blank", with_length("content-length:  "), 0, ""},
    {"empty, then a length",
	with_length("content-length:\r\ncontent-length: 11"), 200, "body-$ID"},
    {"blank fold", with_length("content-length:\r\n "), 0, ""},
    {"-5", with_length("content-length: -5"), 0, ""},
    {"+11", with_length("content-length: +11"), 0, ""},
    {"11, 11", with_length("content-length: 11, 11"), 0, ""},
    {"1 1", with_length("content-length: 1 1"), 0, ""},
    {"0x0b", with_length("content-length: 0x0b"), 0, ""},
    {"eleven", with_length("content-length: eleven"), 0, ""},
    {"11.0", with_length("content-length: 11.0"), 0, ""},
    {"2^64-1", with_length("content-length: 18446744073709551615"), 0, ""},
    {"2^64+11", with_length("content-length: 18446744073709551627"), 0, ""},
    {"10^20", with_length("content-length: 99999999999999999999"), 0, ""},
    /* Transfer codings. */
    {"length and chunked",
	with_chunks("content-length: 11\r\ntransfer-encoding: chunked"), 200,
	"body-$ID"},
    {"chunked and length",
	with_chunks("transfer-encoding: chunked\r\ncontent-length: 11"), 200,
	"body-$ID"},
    {"gzip, chunked", with_chunks("transfer-encoding: gzip, chunked"), 0, ""},
    {"gzip and chunked",
	with_chunks("transfer-encoding: gzip\r\ntransfer-encoding: chunked"), 0,
	""},
    {"gzip", with_length("transfer-encoding: gzip"), 0, ""},
    {"gzip and length",
	with_length("transfer-encoding: gzip\r\ncontent-length: 11"), 0, ""},
    {"identity", with_length("transfer-encoding: identity"), 200, "body-$ID"},
    {"identity and a length, short",
	with_length(
	    "transfer-encoding: identity\r\ncontent-length: 11", "body-"),
	0, ""},
    {"chunked, gzip", with_chunks("transfer-encoding: chunked, gzip"), 0, ""},
    {"chunked twice", with_chunks("transfer-encoding: chunked, chunked"), 0,
	""},
    {"xchunked", with_chunks("transfer-encoding: xchunked"), 0, ""},
    {"chunkedx", with_chunks("transfer-encoding: chunkedx"), 0, ""},
    {"chunked;q=1", with_chunks("transfer-encoding: chunked;q=1"), 0, ""},
    {"no coding", with_chunks("transfer-encoding:"), 0, ""},
    {"Chunked", with_chunks("Transfer-Encoding: Chunked"), 200, "body-$ID"},
    {"space behind chunked", with_chunks("transfer-encoding: chunked "), 200,
	"body-$ID"},
    {"folded chunked", with_chunks("transfer-encoding:\r\n chunked"), 200,
	"body-$ID"},
    {"chunked, folded within", with_chunks("transfer-encoding: chun\r\n ked"),
	0, ""},
    {"space before the colon, chunked",
	with_chunks("transfer-encoding : chunked"), 200, "body-$ID"},
    {"space before the colon, chunked, cut",
	with_chunks("transfer-encoding : chunked", "\r\n5\r\nbody-\r\n"), 0,
	""},
    {"HTTP/1.0, chunked, cut",
	"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nbody-"
	"\r\n",
	0, ""},
    /* Chunks. */
    {"size -5", with_chunks("transfer-encoding: chunked", "\r\n-5\r\nbody-"), 0,
	""},
    {"size +5",
	with_chunks(
	    "transfer-encoding: chunked", "\r\n+5\r\nbody-\r\n0\r\n\r\n"),
	0, ""},
    {"size 0x5",
	with_chunks(
	    "transfer-encoding: chunked", "\r\n0x5\r\nbody-\r\n0\r\n\r\n"),
	0, ""},
    {"no size",
	with_chunks("transfer-encoding: chunked", "\r\n\r\nbody-\r\n0\r\n\r\n"),
	0, ""},
    {"size of 17 digits",
	with_chunks("transfer-encoding: chunked",
	    "\r\n10000000000000005\r\nbody-\r\n0\r\n\r\n"),
	0, ""},
    {"a chunk of two bytes more",
	with_chunks("transfer-encoding: chunked",
	    "\r\n5\r\nbody-zz6\r\n$ID\r\n0\r\n\r\n"),
	0, ""},
    {"a chunk without its end",
	with_chunks("transfer-encoding: chunked",
	    "\r\n5\r\nbody-06\r\n$ID\r\n0\r\n\r\n"),
	0, ""},
    {"a last chunk without its end",
	with_chunks("transfer-encoding: chunked", "\r\n5\r\nbody-\r\n0zz"), 0,
	""},
    {"a length in the trailer",
	with_chunks("transfer-encoding: chunked",
	    "\r\n5\r\nbody-\r\n0\r\ncontent-length: 9\r\n\r\n"),
	200, "body-"},
    /* Statuses and versions. */
    {"101", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + LENGTH, 0, ""},
    {"101 with an upgrade",
	"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n"
	"connection: upgrade\r\n\r\n" +
	    LENGTH,
	0, ""},
    {"100 with a body",
	"HTTP/1.1 100 Continue\r\ncontent-length: 11\r\n\r\nbody-$ID", 0, ""},
    {"100 alone", "HTTP/1.1 100 Continue\r\n\r\n", 0, ""},
    {"status 000", "HTTP/1.1 000 No\r\ncontent-length: 11\r\n\r\nbody-$ID", 0,
	""},
    {"status 99", "HTTP/1.1 99 No\r\ncontent-length: 11\r\n\r\nbody-$ID", 0,
	""},
    {"status 20", "HTTP/1.1 20 No\r\ncontent-length: 11\r\n\r\nbody-$ID", 0,
	""},
    {"status 999", "HTTP/1.1 999 No\r\ncontent-length: 11\r\n\r\nbody-$ID", 0,
	""},
    {"status 2000", "HTTP/1.1 2000 OK\r\ncontent-length: 11\r\n\r\nbody-$ID", 0,
	""},
    {"status -200", "HTTP/1.1 -200 OK\r\ncontent-length: 11\r\n\r\nbody-$ID", 0,
	""},
    {"no status", "HTTP/1.1\r\ncontent-length: 11\r\n\r\nbody-$ID", 0, ""},
    {"HTTP/0.9", "HTTP/0.9 200 OK\r\ncontent-length: 11\r\n\r\nbody-$ID", 200,
	"body-$ID"},
    {"HTTP/2.0", "HTTP/2.0 200 OK\r\ncontent-length: 11\r\n\r\nbody-$ID", 200,
	"body-$ID"},
    {"http/1.1", "http/1.1 200 OK\r\ncontent-length: 11\r\n\r\nbody-$ID", 0,
	""},
    {"ICY", "ICY 200 OK\r\ncontent-length: 11\r\n\r\nbody-$ID", 0, ""},
    {"a body without a head", "<html>hello</html>\n", 0, ""},
    {"empty lines first", "\r\n\r\n" + LENGTH, 200, "body-$ID"},
    {"a header without a colon", with_length("xyz\r\ncontent-length: 11"), 0,
	""},
    {"a NUL", with_length(std::string("x: a\0b", 6)), 0, ""},
    {"another end of the head", OK + "content-length: 11\r\n\rXbody-$ID", 0,
	""},
    {"another end of a head without a length", OK + "x: y\r\n\rXbody-$ID", 0,
	""},
    {"line feeds before carriage returns",
	"HTTP/1.1 200 OK\n\rcontent-length: 500\n\r\n\rbody", 0, ""},
    {"a carriage return in a header", OK + "x: a\rcontent-length: 5\r\n\r\n", 0,
	""},
    {"a head of 100 KB",
	with_length(
	    "x: " + std::string(100000, 'x') + "\r\ncontent-length: 11"),
	0, ""},
    /* More than the response. */
    {"twice", LENGTH + LENGTH, 200, "body-$ID"},
    {"204 with a body", "HTTP/1.1 204 No\r\ncontent-length: 11\r\n\r\nbody-$ID",
	204, ""},
    {"304 with a body",
	"HTTP/1.1 304 No\r\ntransfer-encoding: chunked\r\n" + CHUNKS, 304, ""},
    {"HEAD with a body", LENGTH, 200, "", false, "HEAD"},
};

/* Answers of a server in trouble, whose heads are not valid. */
const Response invalid_heads[] = {
    {"000, then a response", "HTTP/1.1 000 Odd\r\n\r\n" + LENGTH, 502, ""},
    {"000 alone", "HTTP/1.1 000 Odd\r\n\r\n", 502, ""},
    {"000 with a length", "HTTP/1.1 000 Odd\r\ncontent-length: 2\r\n\r\nno",
	502, ""},
    {"50, then a response", "HTTP/1.1 50 Odd\r\n\r\n" + LENGTH, 502, ""},
    {"099, then a response", "HTTP/1.1 099 Odd\r\n\r\n" + LENGTH, 502, ""},
    {"0200", "HTTP/1.1 0200 OK\r\ncontent-length: 11\r\n\r\nbody-$ID", 502, ""},
    {"0100, then a response", "HTTP/1.1 0100 Continue\r\n\r\n" + LENGTH, 502,
	""},
    {"600", "HTTP/1.1 600 Odd\r\ncontent-length: 11\r\n\r\nbody-$ID", 502, ""},
    {"999", "HTTP/1.1 999 Odd\r\ncontent-length: 11\r\n\r\nbody-$ID", 502, ""},
    {"a blank in a name", with_length("x a: b\r\ncontent-length: 11"), 502, ""},
    {"a blank in the only length", with_length("Content Length: 2"), 502, ""},
    {"a blank before a name", OK.substr(0, 17) + " x: b\r\n\r\nbody-$ID", 502,
	""},
    {"a blank before the colon", with_length("x : b\r\ncontent-length: 11"),
	502, ""},
    {"a blank as a name", with_length("content-length: 11\r\n : b"), 502, ""},
    {"a blank in a name of a 100",
	"HTTP/1.1 100 Continue\r\nx a: b\r\n\r\n" + LENGTH, 502, ""},
    {"a control byte in a name", with_length("x\1a: b\r\ncontent-length: 11"),
	502, ""},
    {"a tab in a name", with_length("x\ta: b\r\ncontent-length: 11"), 502, ""},
    {"DEL in a name", with_length("x\x7f: b\r\ncontent-length: 11"), 502, ""},
    {"a byte above 0x7f in a name",
	with_length("x\xe4: b\r\ncontent-length: 11"), 502, ""},
    {"a quote in a name", with_length("x\"a\": b\r\ncontent-length: 11"), 502,
	""},
    {"no name", with_length(": b\r\ncontent-length: 11"), 502, ""},
};

/* Returns the offset of the body. */
size_t
body_at(const std::string &text)
{
	size_t at = text.rfind("bod");

	return at == std::string::npos ? text.size() : at;
}

std::string
printable(std::string s)
{
	for (char &c : s)
		if (c != '\n' && (c < ' ' || c > '~'))
			c = '.';
	return s;
}

/* A response that ends after `cut` bytes. */
struct Cut {
	const Response *response;
	std::string text; /* all of it, for this id */
	size_t cut;
	End end;
	Ask ask;

	/* Whether it is whole by the protocol. */
	bool is_whole() const
	{
		if (response->close_delimited)
			return end == FIN && cut >= body_at(text);
		return cut == text.size();
	}

	std::string body() const
	{
		if (response->close_delimited)
			return text.substr(body_at(text), cut - body_at(text));
		return with_id(response->body, ask.id);
	}

	std::string str() const
	{
		return std::string(response->what) + ", " + ask.method +
		    " by " + protocol_names[ask.protocol] + " to box " +
		    std::to_string(ask.box) + ", after byte " +
		    std::to_string(cut) + " of " + std::to_string(text.size()) +
		    (end == FIN ? ", closed" : ", reset");
	}
};

/* Half of the requests that may be repeated come on kept connections. */
std::vector<Cut>
all_cuts(World *w)
{
	std::vector<Cut> cuts;
	Cut c;

	for (const Response &r : responses)
		for (End end : {FIN, RESET})
			for (int p = 0; p < PROTOCOLS; p++)
				for (size_t cut = 0;; cut++) {
					bool kept = w->next_id / 2 % 2 == 0 &&
					    r.method != std::string("POST");

					c.response = &r;
					c.cut = cut;
					c.end = end;
					c.ask = {static_cast<Protocol>(p),
					    w->next_id % 2U, r.method,
					    kept ? KEPT : ONCE, w->new_id()};
					c.text = with_id(r.text, c.ask.id);
					if (cut > c.text.size())
						break;
					cuts.push_back(c);
				}
	return cuts;
}

/* What callers saw of cut responses, for the log. */
struct Tally {
	std::map<std::string, int> looks_whole;
	std::map<int, int> statuses;
	int whole = 0, broken = 0, errors = 0;

	void add(const Cut &c, const Seen &s)
	{
		statuses[s.status]++;
		whole += s.whole && s.status < 400;
		broken += !s.whole;
		errors += s.whole && s.status >= 400;
		if (!c.is_whole() && s.whole && s.status < 400)
			looks_whole[protocol_names[c.ask.protocol]]++;
	}

	void print(World &w)
	{
		int served = 0, on_kept = 0;

		for (auto &s : w.servers) {
			served += s->served.exchange(0);
			on_kept += s->on_kept.exchange(0);
		}
		std::cerr << served << " served, " << on_kept
			  << " on kept connections; whole " << whole
			  << ", broken " << broken << ", errors " << errors;
		for (auto &e : statuses)
			std::cerr << "; status " << e.first << ": " << e.second;
		std::cerr << "\n";
		for (auto &e : looks_whole)
			std::cerr << e.first << ": " << e.second
				  << " look whole and aren't\n";
	}
};

/* Checks what the caller saw of a response that was cut, or of a whole one. */
void
check(const Cut &c, const Seen &s)
{
	bool whole = s.whole && s.status < 400;

	if (!c.is_whole() && whole)
		ADD_FAILURE() << "looks whole: " << c.str() << "\n"
			      << printable(s.raw);
	if (whole && c.is_whole() &&
	    (s.body != c.body() || s.status != c.response->status))
		ADD_FAILURE() << "other bytes: " << c.str() << "\n"
			      << printable(s.raw);
	if (!whole && c.is_whole() && c.end == FIN)
		ADD_FAILURE() << "not whole: " << c.str() << "\n"
			      << printable(s.raw);
	if (!whole && s.whole && s.status != 502 && s.status != 500)
		ADD_FAILURE() << "status: " << c.str() << "\n"
			      << printable(s.raw);
}

/* Tests that share their boxes. */
class Broken : public testing::Test
{
      protected:
	static void SetUpTestSuite()
	{
		world = std::make_unique<World>(3000);
	}
	static void TearDownTestSuite()
	{
		world.reset();
	}
	/* A late attempt would use what the test has freed. */
	void TearDown() override
	{
		w.set(nullptr);
	}
	static std::unique_ptr<World> world;
	World &w = *world;
};

std::unique_ptr<World> Broken::world;

} // namespace

/*
 * The end of a connection also ends a response without a length, so that a
 * caller by HTTP/1.0 took each part of one for whole.
 */
TEST_F(Broken, NoPartOfAResponseLooksWhole)
{
	std::vector<Cut> cuts = all_cuts(&w);
	std::map<std::string, const Cut *> by_id;
	std::vector<Ask> asks;
	Tally tally;

	for (const Cut &c : cuts) {
		by_id[c.ask.id] = &c;
		asks.push_back(c.ask);
	}
	w.set([&](const std::string &id, int) -> Play {
		const Cut *c = by_id.at(id);

		return {c->text.substr(0, c->cut), c->end};
	});
	std::vector<Seen> seen = w.ask_all(asks);
	for (size_t i = 0; i < cuts.size(); i++) {
		tally.add(cuts[i], seen[i]);
		check(cuts[i], seen[i]);
		EXPECT_EQ(1, w.count(cuts[i].ask.id)) << cuts[i].str();
	}
	std::cerr << cuts.size() << " sent, ";
	tally.print(w);
}

/*
 * A response is being sent when its deadline passes, the caller has closed its
 * side, or the process of a box ends.  Callers by HTTP/1.0 took what they had
 * of it for whole.
 */
TEST(BrokenByABox, AResponseThatABoxEndsDoesNotLookWhole)
{
	enum Way { DEADLINE, HALF_CLOSED, TERMINATED, KILLED, WAYS };
	static const char *const names[WAYS] = {
	    "deadline", "half closed", "SIGTERM", "SIGKILL"};
	const std::string large = std::string(4 << 20, 'x');
	const std::string texts[] = {UNTIL_CLOSE, UNTIL_CLOSE + large,
	    CHUNKED.substr(0, CHUNKED.rfind("0\r\n")),
	    OK + "transfer-encoding: chunked\r\n\r\n40000b\r\nbody-$ID" +
		large + "\r\n"};
	World w(1500, "leave_wait_ms = 100\ngrace_ms = 300\n");

	w.set([&](const std::string &id, int) -> Play {
		return {
		    with_id(texts[std::stoul(id) % 4], id), FIN, false, true};
	});
	for (int way = 0; way < WAYS; way++) {
		std::vector<std::unique_ptr<Asking>> open;
		size_t box = way == KILLED;

		for (int p = 0; p < PROTOCOLS; p++)
			for (size_t t = 0; t < 4; t++)
				open.push_back(w.start(
				    {static_cast<Protocol>(p), box, "GET", ONCE,
					std::to_string(100000 + way * 1000 +
					    p * 100 + static_cast<int>(t))},
				    open.size()));
		for (auto &o : open)
			EXPECT_TRUE(until([&] {
				o->caller.read_some(512);
				return o->caller.received.find("body-") !=
				    std::string::npos;
			}));
		Process &gate = w.fleet->boxes[box].gate;
		if (way == DEADLINE) {
			pump(1800);
		} else if (way == HALF_CLOSED) {
			for (auto &o : open)
				shutdown(o->caller.fd, SHUT_WR);
		} else if (way == KILLED) {
			gate.kill9();
		} else {
			gate.signal(SIGTERM);
			EXPECT_EQ(0, gate.wait_exit());
		}
		for (auto &o : open) {
			EXPECT_TRUE(until([&] { return o->ends(); }));
			EXPECT_FALSE(o->seen.whole)
			    << names[way] << ", " << protocol_names[o->protocol]
			    << ", " << o->caller.received.size() << " bytes, "
			    << printable(o->caller.received.substr(0, 300));
		}
	}
}

/*
 * Responses whose end cannot be told, or whose bytes are not those that the
 * server meant.
 */
TEST_F(Broken, AnOddResponseIsWholeAndRightOrAnError)
{
	std::map<std::string, std::pair<const Response *, End>> by_id;
	std::vector<Ask> asks;

	for (const Response &r : odd_responses)
		for (End end : {FIN, RESET})
			for (int p = 0; p < PROTOCOLS; p++)
				for (size_t box = 0; box < 2; box++) {
					asks.push_back(
					    {static_cast<Protocol>(p), box,
						r.method, ONCE, w.new_id()});
					by_id[asks.back().id] = {&r, end};
				}
	w.set([&](const std::string &id, int) -> Play {
		auto &c = by_id.at(id);

		return {with_id(c.first->text, id), c.second};
	});
	std::vector<Seen> seen = w.ask_all(asks);
	for (size_t i = 0; i < asks.size(); i++) {
		const Response &r = *by_id.at(asks[i].id).first;
		const Seen &s = seen[i];
		bool whole = s.whole && s.status < 400;

		EXPECT_EQ(1, w.count(asks[i].id)) << r.what;
		EXPECT_EQ(std::string::npos, s.raw.find(" : "))
		    << r.what << "\n"
		    << printable(s.raw);
		EXPECT_FALSE(whole &&
		    (s.status != r.status ||
			s.body != with_id(r.body, asks[i].id)))
		    << r.what << " of " << printable(r.text.substr(0, 160))
		    << "\nby " << protocol_names[asks[i].protocol] << "\n"
		    << printable(s.raw);
	}
}

/*
 * A status of 000 was taken for that of an interim response, one of 600 was
 * passed on, and so was a line whose name held a blank.  "Content Length" was
 * no length, so that the body had another end.
 */
TEST_F(Broken, AnAnswerWhoseHeadIsNotValidIsAnError)
{
	std::map<std::string, const Response *> by_id;
	std::vector<Ask> asks;

	for (const Response &r : invalid_heads)
		for (int p = 0; p < PROTOCOLS; p++)
			for (size_t box = 0; box < 2; box++) {
				asks.push_back({static_cast<Protocol>(p), box,
				    r.method, ONCE, w.new_id()});
				by_id[asks.back().id] = &r;
			}
	w.set([&](const std::string &id, int) -> Play {
		return {with_id(by_id.at(id)->text, id), FIN};
	});
	std::vector<Seen> seen = w.ask_all(asks);
	for (size_t i = 0; i < asks.size(); i++) {
		const Response &r = *by_id.at(asks[i].id);

		EXPECT_EQ(1, w.count(asks[i].id)) << r.what;
		/* The parser of HTTP/2 responses here knows no 502. */
		EXPECT_EQ(
		    asks[i].protocol == HTTP2 ? 500 : r.status, seen[i].status)
		    << r.what << "\nby " << protocol_names[asks[i].protocol]
		    << "\n"
		    << printable(seen[i].raw);
	}
}

/*
 * A second attempt begins with its own head.  Each attempt has another body, so
 * that a response of two attempts is told from a whole one.
 */
TEST_F(Broken, ASecondAttemptGivesAWholeResponseOrAnError)
{
	std::vector<Cut> all = all_cuts(&w), cuts;
	std::map<std::string, const Cut *> by_id;
	std::vector<Ask> asks;
	Tally tally;
	int repeated = 0, whole_later = 0;
	/* The text that an attempt gets, and how much of it. */
	auto text_of = [](const Cut &c, int before) {
		std::string text = c.text;

		if (body_at(text) < text.size())
			text[body_at(text) + 3] =
			    static_cast<char>('0' + before);
		return text;
	};
	auto cut_of = [](const Cut &c, int before) {
		return before == 0			      ? c.cut
		    : before == 1 && c.ask.id.back() % 2 == 0 ? c.cut / 2
							      : c.text.size();
	};

	for (size_t i = 0; i < all.size(); i++)
		if ((i + i / 3) % 3 == 0)
			cuts.push_back(all[i]);
	for (Cut &c : cuts) {
		if (c.ask.method == "GET")
			c.ask.rule = RETRIED;
		by_id[c.ask.id] = &c;
		asks.push_back(c.ask);
	}
	w.set([&](const std::string &id, int before) -> Play {
		const Cut &c = *by_id.at(id);
		size_t n = cut_of(c, before);

		return {text_of(c, before).substr(0, n),
		    n == c.text.size() ? FIN : c.end};
	});
	std::vector<Seen> seen = w.ask_all(asks);
	for (size_t i = 0; i < cuts.size(); i++) {
		const Cut &c = cuts[i];
		const Seen &s = seen[i];
		int attempts = w.count(c.ask.id);
		bool whole = s.whole && s.status < 400, right = false;

		tally.add(c, s);
		repeated += attempts > 1;
		whole_later += attempts > 1 && whole;
		EXPECT_GE(attempts, 1) << c.str();
		EXPECT_LE(attempts, c.ask.rule == RETRIED ? 3 : 1) << c.str();
		for (int before = 0; before < attempts; before++) {
			Cut one = c;

			one.cut = cut_of(c, before);
			one.end = one.cut == c.text.size() ? FIN : c.end;
			one.text = text_of(c, before);
			std::string body = one.body();
			if (!c.response->close_delimited && !body.empty())
				body[3] = static_cast<char>('0' + before);
			right = right || (one.is_whole() && s.body == body);
		}
		EXPECT_TRUE(!whole || right)
		    << attempts << " attempts, " << c.str() << "\n"
		    << printable(s.raw);
	}
	EXPECT_GT(whole_later, 0);
	std::cerr << cuts.size() << " sent, " << repeated << " repeated, "
		  << whole_later << " of these whole; ";
	tally.looks_whole.clear();
	tally.print(w);
}

/* Parts of a response that is larger than what is buffered. */
TEST_F(Broken, NoPartOfALargeResponseLooksWhole)
{
	const size_t SIZE = 700000;
	const std::string bytes = "body-" + std::string(SIZE - 5, 'y');
	const std::string chunk(100000, 'y');
	std::string chunks;

	for (size_t i = 0; i < SIZE / chunk.size(); i++)
		chunks += "186a0\r\n" + chunk + "\r\n";
	const Response large[] = {
	    {"a large length",
		OK + "content-length: " + std::to_string(SIZE) + "\r\n\r\n" +
		    bytes,
		200, bytes},
	    {"large chunks",
		OK + "transfer-encoding: chunked\r\n\r\n" + chunks +
		    "0\r\n\r\n",
		200, bytes},
	    {"large until the close", OK + "connection: close\r\n\r\n" + bytes,
		200, bytes, true},
	};
	std::vector<Cut> cuts;
	std::map<std::string, const Cut *> by_id;
	std::vector<Ask> asks;

	for (const Response &r : large)
		for (End end : {FIN, RESET})
			for (int p = 0; p < PROTOCOLS; p++)
				for (size_t cut : {size_t(100), size_t(65536),
					 size_t(131072), size_t(262144),
					 size_t(500000), r.text.size() - 7,
					 r.text.size() - 1, r.text.size()}) {
					Cut c;

					c.response = &r;
					c.cut = cut;
					c.end = end;
					c.ask = {static_cast<Protocol>(p),
					    w.next_id / 2 % 2U, "GET", ONCE,
					    w.new_id()};
					c.text = with_id(r.text, c.ask.id);
					c.cut = std::min(cut, c.text.size());
					if (cut == r.text.size())
						c.cut = c.text.size();
					cuts.push_back(c);
				}
	for (const Cut &c : cuts) {
		by_id[c.ask.id] = &c;
		asks.push_back(c.ask);
	}
	w.set([&](const std::string &id, int) -> Play {
		const Cut *c = by_id.at(id);

		return {c->text.substr(0, c->cut), c->end};
	});
	std::vector<Seen> seen = w.ask_all(asks);
	for (size_t i = 0; i < cuts.size(); i++) {
		bool whole = seen[i].whole && seen[i].status < 400;
		size_t n = seen[i].body.size();

		EXPECT_FALSE(whole && !cuts[i].is_whole()) << cuts[i].str();
		EXPECT_FALSE(!whole && cuts[i].is_whole() && cuts[i].end == FIN)
		    << cuts[i].str();
		EXPECT_TRUE(
		    !whole || n == SIZE || cuts[i].response->close_delimited)
		    << n << " bytes, " << cuts[i].str();
		EXPECT_EQ(1, w.count(asks[i].id)) << cuts[i].str();
	}
}

/*
 * Callers of HTTP/1.2 got a response of unknown length neither chunked nor with
 * the end of the connection, and those of "HTTP/2.0" took a cut one for whole.
 */
TEST_F(Broken, CallersOfAnyVersionSeeWhetherAResponseIsWhole)
{
	std::map<std::string, bool> is_cut;
	std::vector<Ask> asks;

	for (int p = 0; p < ALL_PROTOCOLS; p++)
		for (size_t box = 0; box < 2; box++)
			for (bool cut : {false, true}) {
				asks.push_back({static_cast<Protocol>(p), box,
				    "GET", ONCE, w.new_id()});
				is_cut[asks.back().id] = cut;
			}
	w.set([&](const std::string &id, int) -> Play {
		return {with_id(CHUNKED, id)
			    .substr(0, is_cut.at(id) ? 80 : std::string::npos),
		    FIN};
	});
	std::vector<Seen> seen = w.ask_all(asks);
	for (size_t i = 0; i < asks.size(); i++) {
		bool whole = seen[i].whole && seen[i].status < 400;

		EXPECT_NE(is_cut.at(asks[i].id) || seen[i].status >= 400, whole)
		    << protocol_names[asks[i].protocol] << "\n"
		    << printable(seen[i].raw);
		EXPECT_TRUE(!whole || seen[i].body == "body-" + asks[i].id)
		    << printable(seen[i].raw);
	}
}

/*
 * The rest of a response that is not passed on is discarded, and its connection
 * is used again: the second response there is cut, or the discarded one.
 */
TEST_F(Broken, NoPartOfAResponseBehindADiscardedOneLooksWhole)
{
	const std::string busy =
	    "HTTP/1.1 500 No\r\ncontent-length: 11\r\n\r\nbusy-$ID";
	std::vector<Cut> all = all_cuts(&w), cuts;
	std::map<std::string, const Cut *> by_id;
	std::vector<Ask> asks;
	Tally tally;
	int repeated = 0;

	for (size_t i = 0; i < all.size(); i++)
		if ((i + i / 4) % 4 == 0 && all[i].ask.method == "GET")
			cuts.push_back(all[i]);
	for (Cut &c : cuts) {
		c.ask.rule = RETRIED;
		by_id[c.ask.id] = &c;
		asks.push_back(c.ask);
	}
	w.set([&](const std::string &id, int before) -> Play {
		const Cut &c = *by_id.at(id);
		std::string first = with_id(busy, id);

		if (before == 0 && c.cut % 8 == 0)
			return {first.substr(0, first.size() - 1 - c.cut % 9),
			    c.end};
		if (before == 0)
			return {first, FIN, true};
		if (before == 1)
			return {c.text.substr(0, c.cut), c.end};
		return {c.text, FIN};
	});
	std::vector<Seen> seen = w.ask_all(asks);
	for (size_t i = 0; i < cuts.size(); i++) {
		const Cut &c = cuts[i];
		const Seen &s = seen[i];
		bool whole = s.whole && s.status < 400;

		tally.add(c, s);
		repeated += w.count(c.ask.id) > 1;
		EXPECT_TRUE(!whole || (c.is_whole() && s.body == c.body()) ||
		    (w.count(c.ask.id) > 2 &&
			s.body == with_id(c.response->body, c.ask.id)))
		    << c.str() << "\n"
		    << printable(s.raw);
	}
	EXPECT_GT(repeated, 0);
	std::cerr << cuts.size() << " sent, " << repeated << " repeated; ";
	tally.looks_whole.clear();
	tally.print(w);
}
