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
#ifndef NET_H
#define NET_H

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Allocates addresses for the listeners of a test that no other test, run or
 * program uses at the same time.
 *
 * A process reserves networks of 250 addresses each in 127/8 by keeping a
 * socket bound in each of them.  Outgoing connections come from 127.0.0.1, so
 * their ports cannot collide with those of a listener in a reserved network.
 */
namespace net
{

constexpr int HOSTS = 250; /* addresses allocated from one network */
/* Networks 127.64.0 to 127.255.254; lower addresses are not reserved. */
constexpr unsigned NETS = 192 * 255, FIRST = 64;
constexpr uint16_t GUARD_PORT = 4007;

inline std::string
name(unsigned net)
{
	return "127." + std::to_string(FIRST + net / 255) + "." +
	    std::to_string(net % 255) + ".";
}

/* Reserves a network; returns false if another process has it. */
inline bool
take(unsigned net)
{
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in sin = {};

	sin.sin_family = AF_INET;
	sin.sin_port = htons(GUARD_PORT);
	inet_pton(AF_INET, (name(net) + "254").c_str(), &sin.sin_addr);
	if (bind(fd, reinterpret_cast<struct sockaddr *>(&sin), sizeof(sin)) ==
	    0)
		return true;
	close(fd);
	return false;
}

/* Reserves a network for this process; returns its prefix, "127.A.B.". */
inline std::string
own()
{
	static unsigned next = static_cast<unsigned>(getpid()) * 7 % NETS;

	for (unsigned i = 0; i < NETS; i++) {
		unsigned net = next;

		next = (next + 1) % NETS;
		if (take(net))
			return name(net);
	}
	abort();
}

/* Reads "127.0.0.1:80". */
inline struct sockaddr_in
parse(const std::string &address)
{
	size_t colon = address.find(':');
	struct sockaddr_in sin = {};

	sin.sin_family = AF_INET;
	sin.sin_port =
	    htons(static_cast<uint16_t>(atoi(address.c_str() + colon + 1)));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &sin.sin_addr);
	return sin;
}

/*
 * Returns a TCP socket with small segments and a small receive buffer, in
 * bytes, as between machines; on loopback the kernel buffers megabytes
 * otherwise.
 */
inline int
small_socket(int segment, int receive)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive, sizeof(receive));
	return fd;
}

/* Returns an address that only this process uses, for its listeners. */
inline std::string
own_ip()
{
	static std::string net;
	static int host = HOSTS;

	if (host == HOSTS) {
		net = own();
		host = 0;
	}
	return net + std::to_string(++host);
}

} // namespace net

#endif
