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
#ifndef H2_CALLER_H
#define H2_CALLER_H

#include <map>
#include <string>

#include "raw_caller.h"

/* A caller with one HTTP/2 connection, whose frames the test controls. */
struct H2Caller {
	struct Stream {
		std::string id;
		bool ok = false; /* status 200 */
		bool answered = false; /* a response has begun */
		bool ended = false; /* the response is complete */
		bool reset = false;
		size_t body = 0;
	};

	Caller conn;
	std::map<uint32_t, Stream> streams;
	uint32_t last_processed = INT32_MAX; /* by the newest GOAWAY */
	int goaways = 0;
	bool opens_windows = true;

	explicit H2Caller(const std::string &address) : conn(address)
	{
		conn.send_text("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
		    frame(SETTINGS, 0, 0, ""));
	}

	/* Opens a stream; returns its number, 0 if none can be opened. */
	uint32_t begin(const std::string &method, const std::string &path,
	    const std::string &id, bool whole = true)
	{
		uint32_t n = next;
		std::string head;

		if (n > last_processed || conn.ended)
			return 0;
		head += method == "GET" ? '\x82' : '\x83';
		head += '\x86';
		head += '\x04' + counted(path) + '\x01' + counted("x");
		head += std::string(1, '\0') + counted("x-request-id") +
		    counted(id);
		next += 2;
		streams[n].id = id;
		conn.send_text(frame(
		    HEADERS, END_HEADERS | (whole ? END_STREAM : 0), n, head));
		return n;
	}

	void send_part(uint32_t n, const std::string &part, bool last)
	{
		conn.send_text(frame(DATA, last ? END_STREAM : 0, n, part));
	}

	void open_window(uint32_t n, uint32_t bytes)
	{
		conn.send_text(frame(WINDOW_UPDATE, 0, n, number(bytes)));
	}

	void step()
	{
		size_t size;

		conn.read_some();
		while (conn.received.size() >= HEAD_SIZE) {
			size = number_at(0) >> 8;
			if (conn.received.size() < HEAD_SIZE + size)
				return;
			take(conn.received.substr(0, HEAD_SIZE + size));
			conn.received.erase(0, HEAD_SIZE + size);
		}
	}

	int open_streams() const
	{
		int n = 0;

		for (auto &s : streams)
			n += s.first <= last_processed && !s.second.ended &&
			    !s.second.reset;
		return n;
	}

	int count_ok() const
	{
		int n = 0;

		for (auto &s : streams)
			n += s.second.ok && s.second.ended;
		return n;
	}

      private:
	enum {
		DATA = 0,
		HEADERS = 1,
		RST_STREAM = 3,
		SETTINGS = 4,
		PING = 6,
		GOAWAY = 7,
		WINDOW_UPDATE = 8,
		ACK = 1,
		END_STREAM = 1,
		END_HEADERS = 4,
		HEAD_SIZE = 9
	};
	static const char INDEXED_STATUS_200 = '\x88';
	uint32_t next = 1;

	static std::string counted(const std::string &s)
	{
		return static_cast<char>(s.size()) + s;
	}

	static std::string number(uint32_t n)
	{
		std::string s;

		for (int shift = 24; shift >= 0; shift -= 8)
			s += static_cast<char>(n >> shift);
		return s;
	}

	static std::string
	frame(int type, int flags, uint32_t stream, const std::string &payload)
	{
		return number(static_cast<uint32_t>(payload.size())).substr(1) +
		    static_cast<char>(type) + static_cast<char>(flags) +
		    number(stream) + payload;
	}

	static uint32_t number_in(const std::string &s, size_t at)
	{
		uint32_t n = 0;

		for (size_t i = at; i < at + 4 && i < s.size(); i++)
			n = n << 8 | static_cast<unsigned char>(s[i]);
		return n;
	}

	uint32_t number_at(size_t at) const
	{
		return number_in(conn.received, at);
	}

	void take(const std::string &f)
	{
		int type = f[3], flags = f[4];
		uint32_t stream = number_in(f, 5);
		size_t size = f.size() - HEAD_SIZE;

		if (type == SETTINGS && (flags & ACK) == 0)
			conn.send_text(frame(SETTINGS, ACK, 0, ""));
		else if (type == PING && (flags & ACK) == 0)
			conn.send_text(
			    frame(PING, ACK, 0, f.substr(HEAD_SIZE)));
		else if (type == GOAWAY) {
			goaways++;
			last_processed = number_in(f, HEAD_SIZE);
		} else if (type == RST_STREAM)
			streams[stream].reset = true;
		else if (type == HEADERS || type == DATA)
			take_response(streams[stream], type, flags, f);
		if (type == DATA && size > 0 && opens_windows) {
			open_window(0, static_cast<uint32_t>(size));
			open_window(stream, static_cast<uint32_t>(size));
		}
	}

	static void
	take_response(Stream &s, int type, int flags, const std::string &f)
	{
		if (type == HEADERS && !s.answered) {
			s.answered = true;
			s.ok = f.size() > HEAD_SIZE &&
			    f[HEAD_SIZE] == INDEXED_STATUS_200;
		}
		if (type == DATA)
			s.body += f.size() - HEAD_SIZE;
		s.ended = s.ended || (flags & END_STREAM) != 0;
	}
};

#endif
