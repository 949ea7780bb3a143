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
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet.h"
#include "net.h"

extern char **environ;

namespace
{

std::string
root()
{
	const char *dir = getenv("FERN_ROOT");

	return dir == nullptr ? "." : dir;
}

std::string
slurp(const std::string &file)
{
	std::ifstream in(file, std::ios::binary);
	std::ostringstream out;

	out << in.rdbuf();
	return out.str();
}

long
json_number(const std::string &text, const std::string &key)
{
	size_t at = text.find("\"" + key + "\":");

	return at == std::string::npos
	    ? -1
	    : atol(text.c_str() + at + key.size() + 3);
}

double
metric_of(const std::string &text, const std::string &name)
{
	size_t at = text.find("\n" + name + " ");

	return at == std::string::npos
	    ? -1
	    : atof(text.c_str() + at + name.size() + 2);
}

std::vector<std::string>
words(const std::string &text)
{
	std::istringstream in(text);
	std::vector<std::string> v;
	std::string w;

	while (in >> w)
		v.push_back(w);
	return v;
}

long
status_kb(pid_t pid, const char *key)
{
	std::string text = slurp("/proc/" + std::to_string(pid) + "/status");
	size_t at = text.find(key);

	return at == std::string::npos ? 0
				       : atol(text.c_str() + at + strlen(key));
}

} // namespace

std::string
test_dir()
{
	return keeps_files() ? getenv("FERN_KEEP") : "/tmp";
}

bool
keeps_files()
{
	return getenv("FERN_KEEP") != nullptr;
}

void
Process::start()
{
	posix_spawn_file_actions_t actions;
	std::vector<char *> args;

	for (auto &a : argv)
		args.push_back(const_cast<char *>(a.c_str()));
	args.push_back(nullptr);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(
	    &actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&actions, 1, 2);
	if (posix_spawn(
		&pid, args[0], &actions, nullptr, args.data(), environ) != 0)
		throw std::runtime_error("cannot start " + argv[0]);
	posix_spawn_file_actions_destroy(&actions);
}

void
Process::signal(int signo) const
{
	if (pid > 0)
		::kill(pid, signo);
}

void
Process::kill9()
{
	if (pid <= 0)
		return;
	::kill(pid, SIGKILL);
	::kill(pid, SIGCONT);
	waitpid(pid, nullptr, 0);
	pid = 0;
}

int
Process::wait_exit(int timeout_ms)
{
	int status = 0;
	bool gone = until(
	    [&] { return waitpid(pid, &status, WNOHANG) == pid; }, timeout_ms);

	if (!gone)
		return -1;
	pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

double
Process::cpu() const
{
	std::string text = slurp("/proc/" + std::to_string(pid) + "/stat");
	size_t at = text.rfind(')');
	unsigned long user = 0, sys = 0;

	if (at == std::string::npos)
		return 0;
	sscanf(text.c_str() + at + 1,
	    " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
	    &sys);
	return static_cast<double>(user + sys) /
	    static_cast<double>(sysconf(_SC_CLK_TCK));
}

long
Process::rss_kb() const
{
	return status_kb(pid, "VmRSS:");
}

long
Process::peak_kb() const
{
	return status_kb(pid, "VmHWM:");
}

std::string
Process::read_log() const
{
	return slurp(log);
}

void
Proxy::set(const std::string &query) const
{
	http("POST", control, "/standin/set?" + query);
}

void
Backend::set(const std::string &query) const
{
	http("POST", address, "/standin/set?" + query);
}

long
Backend::count(const std::string &key) const
{
	return json_number(http("GET", address, "/standin/counts").body, key);
}

Fleet::Fleet(const FleetOptions &o) : options(o)
{
	static int serial;

	net = net::own();
	dir = test_dir() + "/fern-regress-" + std::to_string(getpid()) + "-" +
	    std::to_string(++serial);
	mkdir(dir.c_str(), 0755);
}

Fleet::~Fleet()
{
	for (auto &b : boxes) {
		b.gate.kill9();
		b.agent_process.kill9();
		if (b.pass_proxy)
			b.pass_proxy->process.kill9();
	}
	for (auto &b : backends) {
		b->process.kill9();
		if (b->proxy)
			b->proxy->process.kill9();
	}
	platform.kill9();
	if (platform_proxy)
		platform_proxy->process.kill9();
	if (!keeps_files()) {
		std::string rm = dir;

		for (auto &b : boxes)
			for (const char *s : {"-gate.toml", "-agent.toml",
				 "-gate.log", "-agent.log"})
				unlink((dir + "/" + b.name + s).c_str());
		for (auto &b : backends) {
			unlink(b->journal.c_str());
			unlink(b->process.log.c_str());
		}
		unlink((dir + "/platform.log").c_str());
		unlink((dir + "/proxy.log").c_str());
		unlink((dir + "/ctl.log").c_str());
		unlink((dir + "/ctl.out").c_str());
		rmdir(dir.c_str());
	}
}

std::string
Fleet::ip(int host) const
{
	return net + std::to_string(host);
}

std::unique_ptr<Proxy>
Fleet::proxy(const std::string &target)
{
	auto p = std::make_unique<Proxy>();
	int host = next_proxy++;
	std::string at =
	    ip(host % 250) + ":" + std::to_string(7000 + host / 250 * 10);

	p->address = at;
	p->control =
	    ip(host % 250) + ":" + std::to_string(7001 + host / 250 * 10);
	p->process.argv = {
	    root() + "/regress/standin_proxy", p->address, target, p->control};
	p->process.log = dir + "/proxy.log";
	p->process.start();
	until([&] {
		return http("GET", p->control, "/", {}, "", 500).status == 200;
	});
	return p;
}

void
Fleet::add_backend(const BackendOptions &o)
{
	auto b = std::make_unique<Backend>();

	b->options = o;
	if (b->options.name.empty())
		b->options.name = "b" + std::to_string(backends.size());
	b->address = ip(100 + static_cast<int>(backends.size()) % 90) + ":" +
	    std::to_string(9100 + backends.size() / 90);
	b->journal = dir + "/" + b->options.name + ".journal";
	b->process.argv = {
	    root() + "/regress/standin_backend", b->address, b->journal};
	for (auto &w : words(o.keys))
		b->process.argv.push_back(w);
	b->process.argv.push_back("slots=" + std::to_string(o.slots));
	b->process.log = dir + "/" + b->options.name + ".log";
	b->process.start();
	if (o.proxied)
		b->proxy = proxy(b->address);
	b->public_address = o.proxied ? b->proxy->address : b->address;
	backends.push_back(std::move(b));
}

std::string
Fleet::backend_spec(const Backend &b, const std::string &extra)
{
	return "{\"address\":\"" + b.public_address + "\",\"hall\":\"" +
	    b.options.hall + "\",\"slots\":" + std::to_string(b.options.slots) +
	    ",\"labels\":{\"app\":\"" + b.options.app + "\"}" + extra + "}";
}

long
Fleet::put(const std::string &key, const std::string &spec)
{
	std::string path = "/v1/objects/" + key;
	Reply old = http("GET", platform_address, path);
	Headers h = {{"if-none-match", "*"}};

	if (old.status == 200)
		h = {{"if-match",
		    std::to_string(json_number(old.body, "version"))}};
	return json_number(http("PUT", platform_address, path, h,
			       "{\"spec\":" + spec + ",\"change\":\"t\"}")
			       .body,
	    "version");
}

long
Fleet::remove(const std::string &key)
{
	std::string path = "/v1/objects/" + key;
	Reply old = http("GET", platform_address, path);

	return json_number(
	    http("DELETE", platform_address, path,
		{{"if-match",
		    std::to_string(json_number(old.body, "version"))}})
		.body,
	    "version");
}

void
Fleet::set_platform(const std::string &query) const
{
	http("POST", platform_address, "/standin/set?" + query);
}

long
Fleet::platform_count(const std::string &key) const
{
	return json_number(
	    http("GET", platform_address, "/standin/counts").body, key);
}

void
Fleet::list_boxes(const std::vector<std::string> &leaving)
{
	std::string list;

	for (auto &b : boxes) {
		bool leaves = std::find(leaving.begin(), leaving.end(),
				  b.name) != leaving.end();

		list += (list.empty() ? "" : ",");
		list += "{\"name\":\"" + b.name + "\",\"hall\":\"" + b.hall +
		    "\",\"inbox\":\"" + b.agent +
		    "\",\"leaving\":" + (leaves ? "true" : "false") + "}";
	}
	http("POST", platform_address, "/standin/boxes", {},
	    "{\"boxes\":[" + list + "]}");
}

void
Fleet::start_box(size_t i)
{
	Box &b = boxes[i];
	std::string gate = dir + "/" + b.name + "-gate.toml";
	std::string agent = dir + "/" + b.name + "-agent.toml";

	std::ofstream(gate, std::ios::trunc)
	    << (options.one_process ? "[gate]\n" : "") << "box = \"" << b.name
	    << "\"\nhall = \"" << b.hall << "\"\nlisten = \"" << b.listen
	    << "\"\npass_listen = \"" << b.pass_listen
	    << "\"\nadmin_listen = \"" << b.admin << "\"\ninbox = \"" << b.inbox
	    << "\"\nagent = \"" << b.agent << "\"\nplatform = \""
	    << platform_public << "\"\ncharts = \"" << root() << "/charts\"\n"
	    << options.gate_settings;
	if (options.one_process)
		std::ofstream(gate, std::ios::app) << "[agent]\n";
	else
		std::ofstream(agent, std::ios::trunc);
	std::ofstream(options.one_process ? gate : agent, std::ios::app)
	    << "box = \"" << b.name << "\"\nhall = \"" << b.hall
	    << "\"\ninbox = \"" << b.agent << "\"\ngate_inbox = \"" << b.inbox
	    << "\"\npass = \"" << b.pass << "\"\nadmin_listen = \""
	    << b.agent_admin << "\"\nplatform = \"" << platform_public
	    << "\"\nseeds = [\"" << boxes[0].agent << "\", \""
	    << boxes[boxes.size() - 1].agent << "\"]\n"
	    << options.agent_settings;
	b.gate.argv = {
	    root() + (options.one_process ? "/fernbox" : "/ferngate")};
	b.agent_process.argv = {root() + "/fernagent"};
	if (options.quiet) {
		if (!keeps_files()) {
			b.gate.argv.push_back("--quiet");
			b.agent_process.argv.push_back("--quiet");
		}
	}
	b.gate.argv.push_back(gate);
	b.agent_process.argv.push_back(agent);
	b.gate.log = dir + "/" + b.name + "-gate.log";
	b.agent_process.log = dir + "/" + b.name + "-agent.log";
	if (!b.gate.running())
		b.gate.start();
	if (!options.one_process && !b.agent_process.running())
		b.agent_process.start();
}

void
Fleet::stop_box_hard(size_t i)
{
	boxes[i].gate.kill9();
	boxes[i].agent_process.kill9();
}

void
Fleet::start()
{
	platform_address = ip(1) + ":9000";
	platform.argv = {
	    root() + "/regress/standin_platform", platform_address};
	platform.log = dir + "/platform.log";
	platform.start();
	until([&] {
		return http("GET", platform_address, "/standin/counts", {}, "",
			   500)
			   .status == 200;
	});
	if (options.platform_proxied)
		platform_proxy = proxy(platform_address);
	platform_public = options.platform_proxied ? platform_proxy->address
						   : platform_address;
	for (auto &o : options.backends)
		add_backend(o);
	for (auto &b : backends) {
		until([&] {
			return http("GET", b->address, "/health", {}, "", 500)
				   .status != 0;
		});
		put("backend/" + b->options.name, backend_spec(*b));
	}
	for (int i = 0; i < options.boxes; i++) {
		Box b;
		std::string at = ip(10 + i);

		b.name = "box" + std::to_string(i);
		b.hall =
		    options
			.halls[static_cast<size_t>(i) % options.halls.size()];
		b.listen = at + ":8080";
		b.pass_listen = b.pass = at + ":8180";
		b.admin = at + ":8280";
		b.inbox = at + ":8380";
		b.agent = at + ":8480";
		b.agent_admin = at + ":8580";
		if (options.pass_proxied) {
			b.pass_proxy = proxy(b.pass_listen);
			b.pass = b.pass_proxy->address;
			if (options.pass_delay_ms > 0)
				b.pass_proxy->set("delay_ms=" +
				    std::to_string(options.pass_delay_ms));
		}
		boxes.push_back(std::move(b));
	}
	list_boxes();
	for (size_t i = 0; i < boxes.size(); i++)
		start_box(i);
}

bool
Fleet::ready(size_t i) const
{
	return http("GET", boxes[i].admin, "/ready", {}, "", 500).status == 200;
}

bool
Fleet::wait_ready(int timeout_ms)
{
	return until(
	    [&] {
		    for (size_t i = 0; i < boxes.size(); i++)
			    if (!ready(i) ||
				metric(i, "fern_boxes") !=
				    static_cast<double>(boxes.size()))
				    return false;
		    return true;
	    },
	    timeout_ms);
}

std::string
Fleet::metrics(size_t i) const
{
	return http("GET", boxes[i].admin, "/metrics", {}, "", 1000).body;
}

double
Fleet::metric(size_t i, const std::string &name) const
{
	return metric_of(metrics(i), name);
}

double
Fleet::agent_metric(size_t i, const std::string &name) const
{
	return metric_of(
	    http("GET", boxes[i].agent_admin, "/metrics", {}, "", 1000).body,
	    name);
}

bool
Fleet::in_force(size_t objects) const
{
	for (size_t i = 0; i < boxes.size(); i++)
		if (metric(i, "fern_objects") != static_cast<double>(objects))
			return false;
	return true;
}

int
Fleet::ctl(const std::vector<std::string> &args, std::string *out)
{
	Process p;
	int status;

	p.argv = {"/bin/sh", "-c", "exec \"$@\" >" + dir + "/ctl.out 2>&1",
	    "sh", root() + "/fernctl", "--platform", platform_public};
	p.argv.insert(p.argv.end(), args.begin(), args.end());
	p.log = dir + "/ctl.log";
	p.start();
	status = p.wait_exit();
	if (out != nullptr)
		*out = slurp(dir + "/ctl.out");
	return status;
}

std::map<std::string, int>
Fleet::runs() const
{
	std::map<std::string, int> n;

	for (auto &b : backends) {
		std::ifstream in(b->journal);
		std::string id;

		while (std::getline(in, id))
			n[id]++;
	}
	return n;
}
