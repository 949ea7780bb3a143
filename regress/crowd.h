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
#ifndef CROWD_H
#define CROWD_H

#include <algorithm>
#include <cerrno>
#include <dirent.h>
#include <functional>
#include <memory>
#include <poll.h>
#include <string>
#include <vector>

#include "raw_caller.h"

/* What a caller sends: a beginning, then a part again and again. */
struct Talk {
	std::string first, again;
	size_t total; /* bytes, after which it is silent */
	bool reads = true; /* what comes back */
	int receive = 0; /* size of the socket's buffer; 0: the default */
	size_t awaits = 0; /* bytes that come back before it repeats the part */
	int every_ms = 0; /* between two times that it repeats it; 0: none */
	/* If set, makes the n-th part, in place of one that is repeated. */
	std::function<std::string(size_t n)> part = nullptr;
};

/* HTTP/2 as bytes. */
namespace h2
{

enum {
	DATA,
	HEADERS,
	PRIORITY,
	RST_STREAM,
	SETTINGS,
	PING = 6,
	CONTINUATION = 9
};
enum { END_STREAM = 1, END_HEADERS = 4 };

inline std::string
number(uint32_t n, int bytes)
{
	std::string s;

	for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
		s += static_cast<char>(n >> shift);
	return s;
}

inline std::string
frame(int type, int flags, uint32_t stream, const std::string &payload)
{
	return number(static_cast<uint32_t>(payload.size()), 3) +
	    static_cast<char>(type) + static_cast<char>(flags) +
	    number(stream, 4) + payload;
}

inline std::string
preface()
{
	return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(SETTINGS, 0, 0, "");
}

/* A literal without indexing; strings of up to 126 bytes. */
inline std::string
field(const std::string &name, const std::string &value)
{
	return std::string(1, '\0') + static_cast<char>(name.size()) + name +
	    static_cast<char>(value.size()) + value;
}

inline std::string
head(const std::string &method, const std::string &path, const std::string &id)
{
	return field(":method", method) + field(":scheme", "http") +
	    field(":path", path) + field(":authority", "shop.example") +
	    field("fernjunction-request-id", id);
}

} // namespace h2

/* Many callers at once, each with a connection of its own. */
class Crowd
{
      public:
	void add(const std::string &address, const Talk &talk)
	{
		members.push_back(std::make_unique<Member>(address, talk));
	}

	/*
	 * Lets all of them talk until each has sent everything or its
	 * connection has ended, or none makes progress for `quiet_ms`.
	 */
	void talk(int quiet_ms = 2000)
	{
		double last = now_ms();

		while (now_ms() - last < quiet_ms && talking() > 0)
			if (step())
				last = now_ms();
	}

	/* Goes on for some time. */
	void go_on(int ms)
	{
		double end = now_ms() + ms;

		while (now_ms() < end)
			step();
	}

	size_t talking() const
	{
		size_t n = 0;

		for (auto &m : members)
			n += !m->caller.ended && m->sent < m->talk.total;
		return n;
	}

	size_t ended() const
	{
		size_t n = 0;

		for (auto &m : members)
			n += m->caller.ended;
		return n;
	}

	/* How many of them have received a text. */
	size_t received(const std::string &text) const
	{
		size_t n = 0;

		for (auto &m : members)
			n += m->caller.count(text) > 0;
		return n;
	}

      private:
	enum { PART = 16384, KEPT = 4096 };

	struct Member {
		Caller caller;
		Talk talk;
		size_t sent = 0, parts = 0;
		std::string made; /* of a part that was made, not sent yet */
		double due = 0;

		Member(const std::string &address, const Talk &t)
		    : caller(address, t.receive), talk(t)
		{
		}

		bool waits() const
		{
			return sent >= talk.first.size() &&
			    (caller.received.size() < talk.awaits ||
				now_ms() < due);
		}

		/* Returns the next bytes to be sent. */
		std::string next() const
		{
			size_t most = std::min<size_t>(PART, talk.total - sent);
			std::string part;

			if (sent < talk.first.size())
				return talk.first.substr(sent, most);
			if (talk.again.empty())
				return "";
			size_t at =
			    (sent - talk.first.size()) % talk.again.size();
			if (talk.every_ms > 0)
				most = std::min(most, talk.again.size() - at);
			for (part = talk.again.substr(at); part.size() < most;)
				part += talk.again;
			return part.substr(0, most);
		}

		bool write_made()
		{
			ssize_t n;

			if (made.empty())
				made = talk.part(parts++);
			n = send(
			    caller.fd, made.data(), made.size(), MSG_NOSIGNAL);
			if (n < 0 && errno != EAGAIN)
				caller.ended = true;
			if (n > 0)
				made.erase(0, static_cast<size_t>(n));
			sent += n > 0 ? static_cast<size_t>(n) : 0;
			return n > 0 || caller.ended;
		}

		bool write()
		{
			if (talk.part && sent >= talk.first.size())
				return write_made();
			std::string part = next();
			ssize_t n;

			if (part.empty()) {
				sent = talk.total;
				return true;
			}
			n = send(
			    caller.fd, part.data(), part.size(), MSG_NOSIGNAL);
			if (n < 0 && errno != EAGAIN)
				caller.ended = true;
			sent += n > 0 ? static_cast<size_t>(n) : 0;
			due = now_ms() + talk.every_ms;
			return n > 0 || caller.ended;
		}

		bool read()
		{
			size_t had = caller.received.size();
			bool some;

			caller.read_some(PART);
			some = caller.received.size() > had || caller.ended;
			if (caller.received.size() > 2 * KEPT)
				caller.received.erase(
				    KEPT, caller.received.size() - 2 * KEPT);
			return some;
		}
	};

	/* Returns whether any of them sent or received something. */
	bool step()
	{
		std::vector<struct pollfd> fds;
		bool some = false;

		for (auto &m : members) {
			short events = m->talk.reads ? POLLIN : 0;

			if (m->sent < m->talk.total && !m->waits())
				events |= POLLOUT;
			fds.push_back(
			    {m->caller.ended ? -1 : m->caller.fd, events, 0});
		}
		if (poll(fds.data(), fds.size(), 50) <= 0)
			return false;
		for (size_t i = 0; i < fds.size(); i++) {
			Member &m = *members[i];

			if ((fds[i].revents & POLLOUT) != 0)
				some = m.write() || some;
			if ((fds[i].revents & POLLIN) != 0)
				some = m.read() || some;
			if ((fds[i].revents & (POLLERR | POLLHUP)) != 0 &&
			    (fds[i].revents & POLLIN) == 0)
				m.caller.ended = some = true;
		}
		return some;
	}

	std::vector<std::unique_ptr<Member>> members;
};

/* Returns how many descriptors a process has open. */
inline size_t
open_descriptors(const Process &p)
{
	std::string dir = "/proc/" + std::to_string(p.pid) + "/fd";
	DIR *d = opendir(dir.c_str());
	size_t n = 0;

	while (d != nullptr && readdir(d) != nullptr)
		n++;
	if (d != nullptr)
		closedir(d);
	return n > 2 ? n - 2 : 0; /* without "." and ".." */
}

#endif
