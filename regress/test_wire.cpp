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
/* Messages between inboxes, with a peer that is silent at first. */
#include <fcntl.h>
#include <functional>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "wire.h"
}

namespace
{

struct Inbox {
	struct wire *wire;
	int taken = 0;

	static void take(void *ctx, const struct msg *)
	{
		static_cast<Inbox *>(ctx)->taken++;
	}

	explicit Inbox(const std::string &address)
	{
		GError *err = nullptr;

		wire = wire_open(uv_default_loop(),
		    str_n(address.data(), address.size()), take, this, &err);
		EXPECT_NE(nullptr, wire);
	}

	~Inbox()
	{
		wire_close(wire);
		uv_run(uv_default_loop(), UV_RUN_NOWAIT);
	}
};

bool
until(const std::function<bool()> &done, int ms)
{
	uint64_t end = uv_hrtime() + static_cast<uint64_t>(ms) * 1000000;

	while (uv_hrtime() < end && !done()) {
		uv_run(uv_default_loop(), UV_RUN_NOWAIT);
		usleep(1000);
	}
	return done();
}

/*
 * A socket whose queue of connections is full: what knocks gets no word, as
 * at a machine without power.
 */
struct Silent {
	int listener;
	std::vector<int> fill;

	explicit Silent(const struct sockaddr_in &sa)
	{
		int on = 1;

		listener = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		EXPECT_EQ(0,
		    bind(listener, (const struct sockaddr *)&sa, sizeof(sa)));
		EXPECT_EQ(0, listen(listener, 0));
		for (int i = 0; i < 8; i++) {
			int fd =
			    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

			(void)!connect(
			    fd, (const struct sockaddr *)&sa, sizeof(sa));
			fill.push_back(fd);
		}
	}

	~Silent()
	{
		for (int fd : fill)
			close(fd);
		close(listener);
	}
};

} // namespace

/*
 * The first knocks are lost.  The network alone knocks again a second later
 * at the soonest, after two seconds' silence: 0.9 s after a box is back.
 */
TEST(Wire, APeerThatWasSilentIsFoundSoonAfterItIsBack)
{
	const uint16_t port = static_cast<uint16_t>(24000 + getpid() % 20000);
	std::string at = "127.0.0.1:" + std::to_string(port);
	struct sockaddr_in sa = {};
	struct msg m = {};
	Inbox own("127.0.0.1:" + std::to_string(port + 1));

	sa.sin_family = AF_INET;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons(port);
	m.kind = MSG_PING;
	{
		Silent silent(sa);

		EXPECT_TRUE(
		    wire_send(own.wire, str_n(at.data(), at.size()), &m));
		until([] { return false; }, 2100);
	}
	Inbox back(at);
	EXPECT_TRUE(until([&] { return back.taken == 1; }, 750));
}
