/*
 * The owners of two halls' servers freeze and wake again, one at a time, while
 * backend servers that have just started are cold.  A cold server must get no more requests in any second
 * than the bound allows, whichever boxes send them.
 */
#include "lab.hpp"

using namespace lab;

/* As on the sheet of krets-gw-now-grown, but for the rounds. */
static const double COLD_PER_S = 2.5, OVER = 1.5, SLACK = 8, SLOW_START_S = 3,
		    FREEZE_S = 1.2;
enum { SLOTS = 2, CALLERS = 40, BOXES = 4, WARM = 3, COLD = 4, ROUNDS = 20 };

/* By their names, front-2 owns the servers of hall-a, front-3 those of hall-b. */
static const size_t owners[] = {2, 3};

static std::mutex lock;
/* Times of one request: when its caller sent it, and when a server began it. */
struct Run {
	double sent, arrived;
};

static std::map<std::string, double> sent;
static std::map<std::string, std::vector<Run>> runs;
static std::atomic<bool> going{true};
static std::atomic<unsigned> served{0}, refused{0}, others{0};

/* Returns the status of a request on a connection; 0: no answer in time. */
static int
ask(Stream &s, const std::string &rid, bool &keeps)
{
	std::map<std::string, std::string> f;
	std::string first, body;

	{
		std::lock_guard<std::mutex> guard(lock);
		sent[rid] = now();
	}
	keeps = s.write("GET /look/x HTTP/1.1\r\nHost: shop.example\r\n"
			"Fernjunction-Request-Id: " +
		    rid + "\r\nFernjunction-Deadline-Ms: 3000\r\n\r\n") &&
	    s.head(first, f) && s.body(f, body);
	if (!keeps)
		return 0;
	keeps = f["connection"] != "close";
	return atoi(first.c_str() + 9);
}

/*
 * A client of a zone with two boxes.  It keeps a connection for ten requests.
 * Where a request is not answered after a second, a third of its time, it gives
 * up that attempt and makes one more, on a new connection to the other box.
 */
static void
call(const Box &box, const Box &other, int number)
{
	unsigned n = 0, on_conn = 0, seed = (unsigned)number;
	std::unique_ptr<Stream> s;
	bool keeps, second = false;

	while (going) {
		std::string rid =
		    "q" + std::to_string(number) + "-" + std::to_string(n++);

		if (s == nullptr) {
			int fd = dial(second ? other.ip : box.ip, 8381);
			if (fd < 0) {
				nap(.05);
				continue;
			}
			s.reset(new Stream(fd));
			s->timeout(1);
			on_conn = 0;
		}
		int status = ask(*s, rid, keeps);
		served += status == 200;
		refused += status == 503;
		others += status != 200 && status != 503;
		if (!keeps || ++on_conn == 10)
			s.reset();
		second = status == 0 && !second;
		if (!second)
			nap(.25 * (double)rand_r(&seed) / RAND_MAX);
	}
}

/*
 * The most requests that were sent and arrived inside one second, at a server
 * that was cold all the while.
 */
static size_t
worst_second(const Backend &b)
{
	std::lock_guard<std::mutex> guard(lock);
	const std::vector<Run> &all = runs[b.id];
	size_t worst = 0;

	for (const Run &from : all) {
		size_t n = 0;
		for (const Run &r : all)
			n += r.sent >= from.sent &&
			    r.arrived <= from.sent + 1 &&
			    r.arrived < b.cold_until;
		worst = std::max(worst, n);
	}
	return worst;
}

static void
note_run(Backend &b, const std::string &rid, const std::string &)
{
	std::lock_guard<std::mutex> guard(lock);
	runs[b.id].push_back({sent[rid], now()});
}

/* Servers that have just started, and are cold. */
static std::vector<Backend *>
start_servers(Deployment &d, int round)
{
	std::vector<Backend *> started;

	for (int i = 0; i < COLD; i++) {
		d.backends.emplace_back(new Backend(
		    d.net + "." + std::to_string(150 + i), 9200 + round,
		    "c-" + std::to_string(round) + "-" + std::to_string(i),
		    "gava", SLOTS, .03));
		Backend &b = *d.backends.back();
		b.zone = d.zone(i);
		b.ran = note_run;
		b.cold_until = now() + SLOW_START_S;
		d.store->put("servers", b.id, b.entry(b.zone, "ready"));
		started.push_back(&b);
	}
	return started;
}

int
main(int argc, char **argv)
{
	Record record(argc > 1 ? argv[1] : "record.txt");
	Deployment d(BOXES, WARM, .03, SLOTS, "",
	    ",\"slowStartOver\":1.5,\"slowStartSlack\":8",
	    ",\"slowStart\":\"3s\",\"coldPerS\":2.5");
	int out = open("/dev/null", O_WRONLY | O_CLOEXEC), broken = 0;
	const double limit = COLD_PER_S * OVER + SLACK;
	std::vector<std::thread> callers;
	std::vector<Backend *> leaving; /* those of the round before */

	if (!d.ok) {
		record("the stand-ins could not listen");
		d.finish(2);
	}
	for (Box &b : d.boxes)
		b.start(out);
	for (Box &b : d.boxes)
		if (!b.await_ready(15)) {
			record(b.name + " did not become ready");
			d.finish(2);
		}
	record("four boxes are ready");
	for (int i = 0; i < CALLERS; i++)
		callers.emplace_back(call, std::cref(d.boxes[i % BOXES]),
		    std::cref(d.boxes[(i + 2) % BOXES]), i);
	nap(3);
	for (int round = 0; round < ROUNDS; round++) {
		Box &box = d.boxes[owners[round % 2]];
		std::vector<Backend *> cold = start_servers(d, round);
		std::string counts;
		size_t worst = 0;

		record("four servers start, cold for 3 s");
		nap(.6);
		if (trouble()) {
			record(box.name + " freezes");
			kill(box.pid, SIGSTOP);
		}
		nap(FREEZE_S);
		if (trouble()) {
			kill(box.pid, SIGCONT);
			record(box.name + " wakes");
		}
		nap(SLOW_START_S - .6 - FREEZE_S + .2);
		for (Backend *b : cold) {
			counts += " " + std::to_string(worst_second(*b));
			worst = std::max(worst, worst_second(*b));
			b->leaving = true;
			d.store->put(
			    "servers", b->id, b->entry(b->zone, "draining"));
		}
		record("most requests in a second while cold:" + counts +
		    "; the bound is " + std::to_string(limit));
		broken += (double)worst > limit;
		for (Backend *b : leaving) {
			b->end();
			d.store->remove("servers", b->id);
		}
		leaving = cold;
		nap(.8);
	}
	going = false;
	for (std::thread &t : callers)
		t.join();
	record("answers: " + std::to_string(served) + " of 200, " +
	    std::to_string(refused) + " of 503, " + std::to_string(others) +
	    " others");
	record(std::to_string(broken) + " of " + std::to_string((int)ROUNDS) +
	    " rounds are over the bound");
	d.finish(broken > 0 ? 1 : 0);
}
