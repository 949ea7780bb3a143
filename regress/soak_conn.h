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
#ifndef SOAK_CONN_H
#define SOAK_CONN_H

#include <cstring>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "fleet.h"
#include "raw_caller.h"

/* Boxes in two halls, without backend servers; short times at a stop. */
inline FleetOptions
soak_options(int boxes, bool one_process)
{
	FleetOptions o;

	o.boxes = boxes;
	o.halls = {"north", "south"};
	o.one_process = one_process;
	o.gate_settings = "leave_wait_ms = 300\ngrace_ms = 5100\n";
	return o;
}

/* A request that a soak sent, and its answer. */
struct Sent {
	std::string id;
	bool repeatable;
	double at;
	/* An answer before it closed the connection. */
	bool behind_close = false;
	bool answered = false;
	int status = 0;
	std::string ran = "", error = "", answer_of = "";

	int runs_in(const std::map<std::string, int> &runs) const
	{
		auto it = runs.find(id);

		return it == runs.end() ? 0 : it->second;
	}

	/* Which guarantees are broken that hold under every fault. */
	std::vector<const char *> broken(int runs) const
	{
		std::vector<const char *> list;

		if (!repeatable && runs > 1)
			list.push_back("ran twice");
		if (ran == "no" && runs > 0)
			list.push_back("ran, and was refused as not run");
		if (status == 200 && answer_of != id)
			list.push_back("got the answer of another");
		return list;
	}
};

/* A connection of a soak and what was sent on it. */
struct SoakConn {
	Caller caller;
	std::string box;
	std::list<Sent> sent;
	size_t parsed = 0; /* bytes of caller.received */
	int unanswered = 0, stray = 0;
	bool closing = false; /* an answer said so */
	double next = 0, ended_at = 0;
	std::string last_head; /* of the last whole response */

	/* `receive`: as that of a Caller. */
	SoakConn(
	    const std::string &address, const std::string &name, int receive)
	    : caller(address, receive), box(name)
	{
	}

	static std::string
	header(const std::string &head, const std::string &name)
	{
		size_t at = head.find("\r\n" + name + ": ");

		if (at == std::string::npos)
			return "";
		at += name.size() + 4;
		return head.substr(at, head.find("\r\n", at) - at);
	}

	void add(const std::string &id, bool repeatable, double at)
	{
		sent.push_back({id, repeatable, at, closing});
		unanswered += !closing;
	}

	void answer(const std::string &head)
	{
		auto s = sent.begin();

		while (s != sent.end() && (s->answered || s->behind_close))
			++s;
		if (s == sent.end()) {
			stray++;
			return;
		}
		last_head = head;
		s->answered = true;
		s->status = atoi(head.c_str() + strlen("HTTP/1.1 "));
		s->ran = header(head, "fern-ran");
		s->error = header(head, "fern-error");
		s->answer_of = header(head, "x-request-id");
		unanswered--;
		if (header(head, "connection") != "close")
			return;
		closing = true;
		unanswered = 0;
		while (++s != sent.end())
			s->behind_close = true;
	}

	/* Assigns the complete responses to their requests, in order. */
	void parse()
	{
		const std::string &in = caller.received;
		size_t end, body;

		while (
		    (end = in.find("\r\n\r\n", parsed)) != std::string::npos) {
			std::string head = in.substr(parsed, end + 2 - parsed);

			body = static_cast<size_t>(
			    atol(header(head, "content-length").c_str()));
			if (in.size() < end + 4 + body)
				return;
			answer(head);
			parsed = end + 4 + body;
		}
	}
};

/* Runs a soak with the arguments SECONDS [SEED [BOXES [fernbox]]]. */
template <class Soak>
int
run_soak(int argc, char **argv)
{
	double seconds = argc > 1 ? atof(argv[1]) : 10;
	unsigned seed = argc > 2 ? static_cast<unsigned>(atoi(argv[2])) : 1;
	int boxes = argc > 3 ? atoi(argv[3]) : 4;
	bool one_process = argc > 4 && strcmp(argv[4], "fernbox") == 0;
	Soak soak(seed, boxes, one_process);

	return soak.run(seconds);
}

#endif
