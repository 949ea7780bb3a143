/*
 * Case 3: a box that owns the shard of a service stands still while it hands
 * on answers.  Do the boxes in touch end the requests whose answers have begun
 * at their route's timeout?
 *
 * Backends send their answers while they work: the head and the first quarter
 * after a quarter of the work, the rest at its end.
 */
#include "../standin/world.h"

#include <algorithm>

using namespace world;

enum {
	BOXES = 10,
	BACKENDS = 12,
	CLIENTS = 40,
	WORK_MS = 220,
	TIMEOUT_MS = 2000, /* of the route */
	DEADLINE_MS = 4000, /* of the client */
	LATE_MS = 500, /* the rule's half second */
	FREEZE_MS = 5000,
	CONTACT_MS = 3000
};

static std::atomic<bool> stop;
static std::mutex lock;

struct Result {
	int box;
	int64_t sent, final_at; /* 0: no final answer */
	int status;
	bool begun;
};
static std::vector<Result> results;

static std::string
body_of(const std::string &id)
{
	std::string s;

	while (s.size() < 4096)
		s += id + "\n";
	return s;
}

static void
serve_backend(int fd, const std::string &own)
{
	Reader in(fd);
	std::string head;

	while (in.head(head, now_ms() + 10000) > 0) {
		std::string id = header(head, "fernjunction-request-id");
		std::string common = "Fernjunction-Request-Id: " + id +
		    "\r\nFernjunction-Instance-Id: " + own +
		    "\r\nFernjunction-Backend-Load: 0,0,3,100\r\n";
		std::string body = body_of(id);

		if (path_of(head) == "/health") {
			if (!send_all(fd,
				"HTTP/1.1 200 OK\r\n" + common +
				    "Content-Length: 0\r\n\r\n"))
				return;
			continue;
		}
		if (header(head, "fernjunction-expect-instance") != own) {
			if (!send_all(fd,
				"HTTP/1.1 421 Misdirected Request\r\n" +
				    common + "Content-Length: 0\r\n\r\n"))
				return;
			continue;
		}
		sleep_ms(WORK_MS / 4);
		if (!send_all(fd,
			"HTTP/1.1 200 OK\r\n" + common +
			    "Fernjunction-Response-Signature: s." + id +
			    "\r\nContent-Length: " +
			    std::to_string(body.size()) + "\r\n\r\n" +
			    body.substr(0, body.size() / 4)))
			return;
		sleep_ms(WORK_MS - WORK_MS / 4);
		if (!send_all(fd, body.substr(body.size() / 4)))
			return;
	}
}

static void
run_client(const Fleet *f, int number)
{
	for (int i = 0; !stop; i++) {
		int at = (number + i) % (int)f->boxes.size();
		char id[32];
		std::string head, body;
		Result r = {at, now_ms(), 0, 0, false};
		int64_t until = r.sent + DEADLINE_MS;
		int fd = dial(f->boxes[(size_t)at]->front);

		snprintf(id, sizeof(id), "c%02dr%05d%06x", number, i,
		    (unsigned)getpid() & 0xffffff);
		if (fd < 0) {
			sleep_ms(50);
			continue;
		}
		Reader in(fd);
		if (send_all(fd,
			std::string("GET /events/1 HTTP/1.1\r\nHost: "
				    "shop.example\r\n"
				    "Fernjunction-Request-Id: ") +
			    id + "\r\nFernjunction-Deadline-Ms: " +
			    std::to_string((int)DEADLINE_MS) + "\r\n\r\n")) {
			ssize_t n = in.head(head, until);

			if (n > 0) {
				r.begun = true;
				r.status = status_of(head);
				n = in.body(body,
				    (size_t)atoll(
					header(head, "content-length").c_str()),
				    until);
			}
			/* A connection that ends is a final answer, too. */
			if (n > 0 || n == 0 || n == -1)
				r.final_at = now_ms();
		}
		close(fd);
		if (r.final_at == 0 || r.final_at - r.sent > TIMEOUT_MS)
			record.line("client %d: %s through box %d: answer %s, "
				    "%s after %lld ms",
			    number, id, at + 1, r.begun ? "begun" : "not begun",
			    r.final_at == 0 ? "gave up" : "ended",
			    (long long)(now_ms() - r.sent));
		{
			std::lock_guard<std::mutex> hold(lock);
			results.push_back(r);
		}
		sleep_ms(40);
	}
}

/* The box that got most requests from others, by its metrics. */
static int
find_owner(const Fleet &f)
{
	static const char name[] = "\nfern_passed_in_total ";
	int best = -1;
	long long most = -1;

	for (size_t i = 0; i < f.boxes.size(); i++) {
		std::string text = f.boxes[i]->metrics();
		size_t at = text.find(name);
		long long n = at == std::string::npos
		    ? -1
		    : atoll(text.c_str() + at + sizeof(name) - 1);

		if (n > most) {
			most = n;
			best = (int)i;
		}
	}
	return most > 0 ? best : -1;
}

int
main(int argc, char **argv)
{
	struct Freeze {
		int box;
		int64_t from, to;
	};
	Fleet f;
	std::vector<std::unique_ptr<Listener>> listeners;
	std::vector<std::thread> clients;
	std::vector<Freeze> freezes;
	int outlasted = 0, late = 0, lost = 0, served = 0, judged = 0;

	record.open(argc > 1 ? argv[1] : "record.txt");
	if (!f.open(std::vector<std::string>(BOXES, "hall-a")))
		return 2;
	for (int i = 0; i < BACKENDS; i++) {
		std::string id = "i-" + std::to_string(i);

		listeners.emplace_back(new Listener);
		if (!listeners.back()->open(own_ip(100 + i)))
			return 2;
		listeners.back()->serve(
		    [id](int fd) { serve_backend(fd, id); });
		f.store.put("servers", id,
		    server_text(
			"events", listeners.back()->address, "hall-a", 3));
	}
	f.store.put("config", "main",
	    config_text(7,
		{{"r-events", "/events/", "safe", "2000ms", "600ms", "events",
		    2}},
		{"events"}));
	if (!f.start()) {
		record.line("the boxes did not become ready");
		f.end();
		return 2;
	}
	sleep_ms(2000);
	for (int i = 0; i < CLIENTS; i++)
		clients.emplace_back(run_client, &f, i);
	sleep_ms(6000);
	for (int round = 0; round < 3; round++) {
		int owner = find_owner(f);

		if (owner < 0) {
			record.line("no box tells that it is an owner");
			stop = true;
			for (auto &c : clients)
				c.join();
			f.end();
			_exit(2);
		}
		freezes.push_back({owner, now_ms(), now_ms() + FREEZE_MS});
		if (trouble()) {
			record.line("box %d stands still", owner + 1);
			kill(f.boxes[(size_t)owner]->pid, SIGSTOP);
		}
		sleep_ms(FREEZE_MS);
		if (trouble()) {
			kill(f.boxes[(size_t)owner]->pid, SIGCONT);
			record.line("box %d goes on", owner + 1);
		}
		sleep_ms(6000);
	}
	stop = true;
	for (auto &c : clients)
		c.join();
	f.end();
	for (auto &r : results) {
		bool touched = true;
		int64_t end = r.final_at ? r.final_at : r.sent + DEADLINE_MS;

		for (auto &z : freezes)
			if (z.box == r.box && r.sent < z.to + CONTACT_MS &&
			    end > z.from)
				touched = false;
		if (!touched && trouble())
			continue;
		judged++;
		served += r.status == 200 && r.final_at != 0;
		outlasted +=
		    r.final_at == 0 || r.final_at - r.sent > TIMEOUT_MS;
		late += r.final_at == 0 ||
		    r.final_at - r.sent > TIMEOUT_MS + LATE_MS;
		lost += r.final_at == 0;
	}
	record.line("at boxes in touch: %d requests, %d served, %d outlasted "
		    "the route's timeout, %d of them had no final answer half "
		    "a second later, %d none at the client's deadline",
	    judged, served, outlasted, late, lost);
	printf("requests %d, served %d, outlasted the timeout %d, no final "
	       "answer 0.5 s later %d, none at the client's deadline %d\n",
	    judged, served, outlasted, late, lost);
	fflush(stdout);
	if (served == 0)
		_exit(2);
	_exit(late >= 8 && late * 4 > outlasted ? 1 : 0);
}
