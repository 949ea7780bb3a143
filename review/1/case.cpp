/*
 * Case 1: a backend rejects long requests before they are in and reads on.
 * Which bytes does it get where the rest of the body is due?
 *
 * Each body consists of blocks of 32 bytes that name the request and the
 * block's place, so a backend knows what it has to get.
 */
#include "../standin/world.h"

using namespace world;

enum {
	BLOCK = 32,
	BODY = 48000 * BLOCK,
	LONG = 65536, /* a request that is longer may be rejected early */
	CLIENTS = 8,
	BACKENDS = 4,
	GARBLING = 2, /* share 0.5 of them */
	EVERY = 50, /* each rejects one in 50 of its answers, x 0.02 */
	EPISODE_MS = 5000, /* for_s 5 */
	PAUSE_MS = 1000, /* between two episodes */
	EPISODES = 6,
	LATER_MS = 150 /* until such a backend reads on */
};

static std::atomic<int> sent, answered, served, ran, rejected, foreign, whole,
    broken;
static std::atomic<bool> stop, garbles;

static std::string
block_of(const std::string &id, size_t at)
{
	char text[BLOCK + 1];

	snprintf(text, sizeof(text), "%-16.16s:%014zu\n", id.c_str(), at);
	return text;
}

static std::string
body_of(const std::string &id)
{
	std::string s;

	s.reserve(BODY);
	for (size_t at = 0; at < BODY; at += BLOCK)
		s += block_of(id, at);
	return s;
}

static std::string
printable(std::string s)
{
	for (auto &c : s)
		if (c < ' ' || c > '~')
			c = '.';
	return s;
}

struct Backend {
	std::string id, service;
	bool rejects;
	std::atomic<int> count{0};
	Listener listener;

	std::string common(const std::string &req_id) const
	{
		return "Fernjunction-Request-Id: " + req_id +
		    "\r\nFernjunction-Instance-Id: " + id +
		    "\r\nFernjunction-Backend-Load: 0,0,3,100\r\n";
	}

	/* Answers before the body is in, reads on, and ends its answer then. */
	void reject(int fd, Reader &in, const std::string &req_id, size_t len)
	{
		std::string body = "this backend takes no long requests now\n";
		std::string head = "HTTP/1.1 503 Service Unavailable\r\n" +
		    common(req_id) +
		    "Fernjunction-Not-Executed: 1\r\nContent-Length: " +
		    std::to_string(body.size()) + "\r\n\r\n";
		std::string want = body_of(req_id);
		int64_t until = now_ms() + 3000;
		size_t at = 0;
		bool ok = true;

		rejected++;
		record.line("backend %s rejects %s, %zu bytes are due",
		    id.c_str(), req_id.c_str(), len);
		send_all(fd, head);
		sleep_ms(LATER_MS);
		while (at < len && ok) {
			size_t n;

			if (in.buf.empty() && in.more(until, 16384) <= 0)
				break;
			n = std::min(in.buf.size(), len - at);
			for (size_t i = 0; i < n; i++) {
				size_t b, from, to;

				if (in.buf[i] == want[at + i])
					continue;
				b = (at + i) / BLOCK * BLOCK;
				from = b > at ? b - at : 0;
				to = std::min(from + 2 * BLOCK, n);
				foreign++;
				ok = false;
				record.line("backend %s: at byte %zu of the "
					    "body of %s it got \"%s\"",
				    id.c_str(), at + i, req_id.c_str(),
				    printable(in.buf.substr(from, to - from))
					.c_str());
				break;
			}
			at += n;
			in.buf.erase(0, n);
		}
		if (ok)
			(at == len ? whole : broken)++;
		send_all(fd, body);
	}

	void serve(int fd)
	{
		Reader in(fd);
		std::string head, body, id_of;

		while (in.head(head, now_ms() + 10000) > 0) {
			size_t len = (size_t)atoll(
			    header(head, "content-length").c_str());

			id_of = header(head, "fernjunction-request-id");
			if (path_of(head) == "/health") {
				if (!send_all(fd,
					"HTTP/1.1 200 OK\r\n" + common("") +
					    "Content-Length: 0\r\n\r\n"))
					return;
				continue;
			}
			if (header(head, "fernjunction-expect-instance") !=
			    id) {
				send_all(fd,
				    "HTTP/1.1 421 Misdirected Request\r\n" +
					common(id_of) +
					"Content-Length: 0\r\n\r\n");
				return;
			}
			if (rejects && garbles && len > LONG &&
			    ++count % EVERY == 0) {
				reject(fd, in, id_of, len);
				return;
			}
			if (in.body(body, len, now_ms() + 5000) <= 0)
				return;
			ran++;
			if (body != body_of(id_of)) {
				foreign++;
				record.line("backend %s ran %s with another "
					    "body",
				    id.c_str(), id_of.c_str());
			} else {
				record.line("backend %s ran %s", id.c_str(),
				    id_of.c_str());
			}
			sleep_ms(20);
			if (!send_all(fd,
				"HTTP/1.1 200 OK\r\n" + common(id_of) +
				    "Fernjunction-Response-Signature: s." +
				    id_of +
				    "\r\nContent-Length: 2\r\n"
				    "Connection: close\r\n\r\nok"))
				return;
			return;
		}
	}

	bool open(const std::string &ip)
	{
		/* Windows and segments as on a network between machines. */
		if (!listener.open(ip, 1400, 32768))
			return false;
		listener.serve([this](int fd) { serve(fd); });
		return true;
	}
};

static void
run_client(const Fleet *f, int number)
{
	char id[32];

	for (int i = 0; !stop; i++) {
		const Box &box =
		    *f->boxes[(size_t)(number + i) % f->boxes.size()];
		int fd = dial(box.front);
		std::string head, body;
		int64_t until = now_ms() + 2500;

		snprintf(id, sizeof(id), "c%02dr%05d%06x", number, i,
		    (unsigned)getpid() & 0xffffff);
		if (fd < 0) {
			sleep_ms(50);
			continue;
		}
		Reader in(fd);
		sent++;
		if (send_all(fd,
			std::string("POST /buy/item HTTP/1.1\r\nHost: "
				    "shop.example\r\n"
				    "Fernjunction-Request-Id: ") +
			    id +
			    "\r\nFernjunction-Deadline-Ms: 2500\r\n"
			    "Content-Length: " +
			    std::to_string((int)BODY) + "\r\n\r\n") &&
		    send_all(fd, body_of(id)) && in.head(head, until) > 0 &&
		    in.body(body,
			(size_t)atoll(header(head, "content-length").c_str()),
			until) > 0) {
			answered++;
			served += status_of(head) == 200;
		}
		record.line("client %d: %s answered %d", number, id,
		    head.empty() ? 0 : status_of(head));
		close(fd);
		sleep_ms(30);
	}
}

int
main(int argc, char **argv)
{
	Fleet f;
	std::vector<std::unique_ptr<Backend>> backends;
	std::vector<std::thread> clients;

	record.open(argc > 1 ? argv[1] : "record.txt");
	if (!f.open({"hall-a", "hall-a", "hall-a"}))
		return 2;
	for (int i = 0; i < BACKENDS; i++) {
		backends.emplace_back(new Backend);
		backends.back()->id = "i-" + std::to_string(i);
		backends.back()->service = "ledger";
		backends.back()->rejects = i < GARBLING && trouble();
		if (!backends.back()->open(own_ip(100 + i)))
			return 2;
		f.store.put("servers", backends.back()->id,
		    server_text("ledger", backends.back()->listener.address,
			"hall-a", 3));
	}
	f.store.put("config", "main",
	    config_text(7,
		{{"r-buy", "/buy/", "unsafe", "2000ms", "1000ms", "ledger", 2}},
		{"ledger"}));
	if (!f.start()) {
		record.line("the boxes did not become ready");
		f.end();
		return 2;
	}
	sleep_ms(2000);
	for (int i = 0; i < CLIENTS; i++)
		clients.emplace_back(run_client, &f, i);
	for (int t = 0; t < EPISODES * (EPISODE_MS + PAUSE_MS); t += 100) {
		int status;

		garbles = t % (EPISODE_MS + PAUSE_MS) >= PAUSE_MS;
		sleep_ms(100);
		for (auto &b : f.boxes)
			if (b->ended(&status)) {
				record.line("box %s ended by itself, status %d",
				    b->name.c_str(), status);
				b->pid = -1;
			}
	}
	stop = true;
	for (auto &c : clients)
		c.join();
	sleep_ms(500);
	f.end();
	record.line("sent %d answered %d served %d, ran %d, rejected early %d: "
		    "rest as sent %d, connection ended %d; other bytes %d",
	    (int)sent, (int)answered, (int)served, (int)ran, (int)rejected,
	    (int)whole, (int)broken, (int)foreign);
	printf("sent %d served %d ran %d, rejected early %d: rest as sent %d, "
	       "connection ended %d, other bytes %d\n",
	    (int)sent, (int)served, (int)ran, (int)rejected, (int)whole,
	    (int)broken, (int)foreign);
	fflush(stdout);
	if (served == 0 || (trouble() && rejected == 0))
		_exit(2);
	_exit(foreign > 0 ? 1 : 0);
}
