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
#ifndef BOX_H
#define BOX_H

#include <fstream>
#include <unistd.h>

#include "fleet.h"
#include "net.h"
#include "objects.h"
#include "version.h"

/* Test fixture: one fernbox on the stand-in platform, with two services. */
namespace box
{

inline const char *const settings = R"([gate]
box = "b1"
hall = "north"
listen = "@:8080"
admin_listen = "@:8280"
pass_listen = "@:8180"
inbox = "@:8380"
agent = "@:8480"
platform = "@:9000"
platform_form = "objects"
policy = "pace"
charts = "@root/charts"
early_ms = 1000
leave_wait_ms = 100
bounds = '{@bounds"retryBudgetRatio":0.2,"retryBudgetSlack":60}'
[agent]
box = "b1"
hall = "north"
inbox = "@:8480"
gate_inbox = "@:8380"
pass = "@:8180"
platform = "@:9000"
platform_form = "objects"
seeds = []
watchers = 8
probe_rate = 0
platform_rate = 50
first_ms = 10
retry_ms = 300
)";

/* Intervals of agents in deployed fleets. */
inline const char *const as_deployed =
    "boxes_ms = 15000\ngather_ms = 600\nlook_ms = 1250\nlist_ms = 3600000\n"
    "status_ms = 3600000\nstatus_by = \"hubs\"\n";

inline std::string
replaced(std::string text, const std::string &what, const std::string &with)
{
	for (size_t at = text.find(what); at != std::string::npos;
	     at = text.find(what, at + with.size()))
		text.replace(at, what.size(), with);
	return text;
}

/*
 * Returns the version of a revision of the stand-in as the log tells it; the
 * stand-in starts with era 1.
 */
inline std::string
version_at(uint64_t revision)
{
	return "version=" + std::to_string(version_make(1, revision));
}

/* Returns how many serving boxes a box counts, -1 if it does not answer. */
inline int
counted_boxes(const std::string &admin)
{
	static const std::string name = "\nfern_boxes ";
	std::string page = http("GET", admin, "/metrics", {}, "", 500).body;
	size_t at = page.find(name);

	return at == std::string::npos ? -1 : atoi(&page[at + name.size()]);
}

/* Occupies a port of an address with another listener. */
struct Taken {
	std::string ip;
	int fd;

	Taken(const std::string &own, const std::string &port) : ip(own)
	{
		struct sockaddr_in sin = {};

		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		sin.sin_family = AF_INET;
		sin.sin_port = htons(static_cast<uint16_t>(atoi(port.c_str())));
		inet_pton(AF_INET, ip.c_str(), &sin.sin_addr);
		(void)!bind(
		    fd, reinterpret_cast<struct sockaddr *>(&sin), sizeof(sin));
		listen(fd, 1);
	}

	~Taken()
	{
		close(fd);
	}
};

/* A box, its platform, and two services with two backend servers each. */
struct World {
	std::string ip; /* used by no other test; stand-ins hold its ports */
	std::string dir, file;
	std::string of_gate; /* additional settings of the gate */
	std::string of_bounds; /* additional bounds of the platform */
	std::string of_agent; /* additional settings of the agent */
	Objects platform{ip + ":9000"};
	Process box;

	explicit World(bool configured = true, const std::string &gate = "",
	    const std::string &bounds = "", const std::string &agent = "",
	    const std::string &at = net::own_ip())
	    : ip(at), of_gate(gate), of_bounds(bounds), of_agent(agent)
	{
		std::string name = test_dir() + "/fernbox.XXXXXX";

		dir = mkdtemp(name.data());
		file = dir + "/settings.toml";
		write_settings("");
		for (int i = 0; i < 4; i++) {
			std::string id = "i-" + std::to_string(i);

			platform.start_backend(id, i < 2 ? "till" : "shelf",
			    ip + ":" + std::to_string(9100 + i));
			enter(i, "ready");
		}
		if (configured)
			configure("till");
		const char *root = getenv("FERN_ROOT");
		box.argv = {std::string(root ? root : ".") + "/fernbox", file};
		box.log = dir + "/log";
		box.start();
	}

	~World()
	{
		box.kill9();
		if (keeps_files())
			return;
		unlink(box.log.c_str());
		unlink(file.c_str());
		rmdir(dir.c_str());
	}

	void write_settings(const std::string &more)
	{
		const char *root = getenv("FERN_ROOT");
		std::string text =
		    replaced(settings, "@root", root != nullptr ? root : ".");
		std::ofstream out(file);

		text = replaced(text, "@bounds", of_bounds);
		text = replaced(text, "[agent]", of_gate + "[agent]");
		text += of_agent;
		out << more << replaced(text, "@", ip);
	}

	void enter(
	    int i, const std::string &state, const std::string &hall = "north")
	{
		platform.put("servers", "i-" + std::to_string(i),
		    "{\"service\":\"" + std::string(i < 2 ? "till" : "shelf") +
			"\",\"addr\":\"" + ip + ":" + std::to_string(9100 + i) +
			"\",\"zone\":\"" + hall +
			"\",\"slots\":3,\"state\":\"" + state + "\"}");
	}

	/* Additional members of each service's and each route's spec. */
	std::string of_service, of_route;
	std::string target = "300ms"; /* of each route */
	std::string timeout = "900ms"; /* of each route */
	int number = 1; /* the operator's number of the configuration */

	/* Writes one route for safe and one for unsafe requests to a service.
	 */
	void configure(const std::string &service, const std::string &more = "")
	{
		std::string route = R"({"resourceType":"routes",
		    "metadata":{"name":"NAME"},"spec":{"host":"shop.example",
		    "pathPrefix":"/NAME/","routeType":"TYPE","timeout":"TIMEOUT",
		    "targetLatency":"TARGET","priority":1,"maxAttempts":2,
		    "service":"SERVICE"MORE}},)";
		route = replaced(route, "TARGET", target);
		route = replaced(route, "TIMEOUT", timeout);
		std::string safe =
		    replaced(replaced(route, "NAME", "look"), "TYPE", "safe");
		std::string unsafe =
		    replaced(replaced(route, "NAME", "buy"), "TYPE", "unsafe");

		platform.put("config", "main",
		    "{\"version\":\"r" + std::to_string(number) +
			"\",\"resources\":[" +
			replaced(replaced(safe + unsafe, "SERVICE", service),
			    "MORE", of_route) +
			more +
			R"({"resourceType":"services","metadata":{"name":"till"},
			    "spec":{"healthPath":"/health")" +
			of_service + R"(}},
			   {"resourceType":"services","metadata":{"name":"shelf"},
			    "spec":{"healthPath":"/health"}}]})");
	}

	Reply ask(const std::string &path, const std::string &method = "GET")
	{
		static int n;
		std::string id = "req" + std::to_string(++n);

		return http(method, ip + ":8080", path,
		    {{"Host", "shop.example"}, {"fernjunction-request-id", id},
			{"fernjunction-deadline-ms", "800"}},
		    method == "POST" ? "body" : "");
	}

	bool ready()
	{
		return http("GET", ip + ":8280", "/ready", {}, "", 500)
			   .status == 200;
	}

	/*
	 * Returns whether the box counts so many serving boxes; the owners of
	 * shards have moved by then.
	 */
	bool knows(int boxes)
	{
		return counted_boxes(ip + ":8280") == boxes;
	}

	/* Returns whether an object is in the store. */
	bool has(const std::string &kind, const std::string &name)
	{
		return http("GET", ip + ":9000",
			   "/api/objects/" + kind + "?allowStale=1", {}, "",
			   500)
			   .body.find("\"" + name + "\"") != std::string::npos;
	}

	bool logged(const std::string &text)
	{
		return box.read_log().find(text) != std::string::npos;
	}

	/*
	 * Returns how many versions of an object have come into force since
	 * the gate last started.
	 */
	size_t in_force(const std::string &key)
	{
		std::string log = box.read_log();
		std::string line = "msg=\"in force\" key=" + key + " ";
		size_t at = log.rfind("part=gate msg=\"started\""), n = 0;

		while ((at = log.find(line, at)) != std::string::npos) {
			at += line.size();
			n++;
		}
		return n;
	}

	size_t ran(int from, int to)
	{
		size_t n = 0;

		for (int i = from; i <= to; i++)
			n += platform.ran("i-" + std::to_string(i));
		return n;
	}
};

/* Another box on the same address; its ports start with `digit`. */
struct Further {
	std::string address, admin, file;
	Process box;

	Further(const World &w, const std::string &name,
	    const std::string &hall, const std::string &digit,
	    const std::string &agent = "", const std::string &bounds = "")
	    : address(w.ip + ":" + digit + "080"),
	      admin(w.ip + ":" + digit + "280"),
	      file(w.dir + "/" + name + ".toml")
	{
		const char *root = getenv("FERN_ROOT");
		std::string text =
		    replaced(settings, "@root", root != nullptr ? root : ".");

		text = replaced(text, "@bounds", bounds);
		text = replaced(text, "\"@:8", "\"@:" + digit);
		text = replaced(text, "\"b1\"", "\"" + name + "\"");
		text = replaced(text, "\"north\"", "\"" + hall + "\"");
		text += agent;
		std::ofstream(file) << replaced(text, "@", w.ip);
		box.argv = {std::string(root ? root : ".") + "/fernbox", file};
		box.log = w.dir + "/" + name + ".log";
	}

	~Further()
	{
		box.kill9();
		if (keeps_files())
			return;
		unlink(box.log.c_str());
		unlink(file.c_str());
	}

	/* Sets the seed box to use while the platform does not respond. */
	void seed(const std::string &inbox) const
	{
		std::ifstream in(file);
		std::string text{std::istreambuf_iterator<char>(in), {}};

		in.close();
		std::ofstream(file) << replaced(
		    text, "seeds = []", "seeds = [\"" + inbox + "\"]");
	}

	Reply ask(const std::string &path) const
	{
		static int n;

		return http("GET", address, path,
		    {{"Host", "shop.example"},
			{"fernjunction-request-id", "f" + std::to_string(++n)},
			{"fernjunction-deadline-ms", "800"}},
		    "", 2000);
	}

	int boxes() const
	{
		return counted_boxes(admin);
	}

	bool serves() const
	{
		return ask("/look/1").status == 200;
	}
};

} // namespace box

#endif
