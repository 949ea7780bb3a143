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
#ifndef RAW_CALLER_H
#define RAW_CALLER_H

#include <cerrno>
#include <fcntl.h>
#include <string>

#include "fleet.h"
#include "net.h"

/* A caller with one connection, which it reads only when the test does. */
struct Caller {
	int fd;
	std::string received;
	bool ended = false; /* by an end of file or an error */
	int error = 0;

	/* `receive`: size of the socket's buffer in bytes; 0: the default. */
	explicit Caller(const std::string &address, int receive = 0)
	    : fd(receive > 0 ? net::small_socket(536, receive)
			     : socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
	{
		struct sockaddr_in sin = net::parse(address);

		if (connect(fd, reinterpret_cast<struct sockaddr *>(&sin),
			sizeof(sin)) != 0)
			ended = true;
		fcntl(fd, F_SETFL, O_NONBLOCK);
	}

	Caller(const Caller &) = delete;
	Caller &operator=(const Caller &) = delete;

	~Caller()
	{
		close(fd);
	}

	static std::string request(const std::string &method,
	    const std::string &path, const std::string &id)
	{
		return method + " " + path +
		    " HTTP/1.1\r\nhost: x\r\nx-request-id: " + id +
		    (method == "POST" ? "\r\ncontent-length: 0" : "") +
		    "\r\n\r\n";
	}

	bool send_text(const std::string &text)
	{
		return send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
		    static_cast<ssize_t>(text.size());
	}

	/* Reads up to `most` bytes of what is there. */
	void read_some(size_t most = 1 << 20)
	{
		std::string buf(most, '\0');
		ssize_t n = ended ? 0 : recv(fd, buf.data(), most, 0);

		if (n > 0)
			received.append(buf, 0, static_cast<size_t>(n));
		else if (n == 0 || errno != EAGAIN)
			ended = true;
		if (n < 0 && errno != EAGAIN)
			error = errno;
	}

	bool reads_to_end(int timeout_ms = 10000)
	{
		return until(
		    [&] {
			    read_some();
			    return ended;
		    },
		    timeout_ms);
	}

	int count(const std::string &what) const
	{
		int n = 0;

		for (size_t at = received.find(what); at != std::string::npos;
		     at = received.find(what, at + 1))
			n++;
		return n;
	}
};

#endif
