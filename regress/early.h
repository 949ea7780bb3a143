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
#ifndef EARLY_H
#define EARLY_H

#include <atomic>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.h"

namespace early
{

/* The body of each upload repeats one letter, by which it is known. */
constexpr size_t UPLOAD = 1500000;

inline std::string
upload_body(int number)
{
	return std::string(UPLOAD, static_cast<char>('a' + number % 26));
}

/*
 * A backend server that answers each upload at its head and reads on later,
 * with buffers as on a network between machines.
 */
class Server
{
      public:
	std::atomic<int> answered{0}, other_bytes{0};

	Server(const std::string &address, const std::string &response)
	    : reply(response)
	{
		struct sockaddr_in sin = net::parse(address);
		int on = 1;

		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		if (bind(fd, reinterpret_cast<struct sockaddr *>(&sin),
			sizeof(sin)) != 0 ||
		    listen(fd, 64) != 0)
			abort();
		thread = std::thread([this] { run(); });
	}

	~Server()
	{
		stopping = true;
		shutdown(fd, SHUT_RDWR);
		thread.join();
		for (auto &t : threads)
			t.join();
		close(fd);
	}

      private:
	void run()
	{
		int conn;

		while (
		    (conn = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0)
			threads.emplace_back([this, conn] {
				while (!stopping && serve(conn))
					;
				close(conn);
			});
	}

	void say(int conn, const std::string &text)
	{
		(void)!send(conn, text.data(), text.size(), MSG_NOSIGNAL);
	}

	/* Reads an upload, or what comes of it; returns whether it is whole. */
	bool read_upload(int conn)
	{
		std::set<char> letters;
		char buf[16384];
		size_t got = 0;
		ssize_t n;

		while (got < UPLOAD && (n = read(conn, buf, sizeof(buf))) > 0) {
			letters.insert(buf, buf + n);
			got += static_cast<size_t>(n);
		}
		other_bytes += letters.size() > 1;
		return got >= UPLOAD;
	}

	/* Serves a request; returns whether another one may follow. */
	bool serve(int conn)
	{
		struct timeval limit = {5, 0};
		std::string head;
		char byte;

		setsockopt(
		    conn, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		while (head.find("\r\n\r\n") == std::string::npos) {
			if (read(conn, &byte, 1) != 1)
				return false;
			head += byte;
		}
		if (head.compare(0, 4, "POST") != 0) {
			say(conn,
			    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
			return true;
		}
		answered++;
		say(conn, reply);
		usleep(150000);
		if (read_upload(conn))
			say(conn, "no");
		return false;
	}

	std::string reply;
	std::atomic<bool> stopping{false};
	int fd = net::small_socket(1400, 32768);
	std::thread thread;
	std::vector<std::thread> threads;
};

constexpr const char *REFUSAL =
    "HTTP/1.1 503 No\r\nfern-ran: no\r\ncontent-length: 2\r\n\r\n";

} // namespace early

#endif
