/*
 * Case: all boxes are killed at once while a tenant sends more than its limit,
 * and are back a second later.
 */
#include "world.hpp"

#include <algorithm>

using namespace world;

namespace
{

const double RATE = 60, BURST = 60, WINDOW_MS = 5000, OVER = 0.1, SLACK = 20;
const double BOUND = (RATE * WINDOW_MS / 1000 + BURST) * (1 + OVER) + SLACK;
enum { BOXES = 3, CALLERS = 100, PAUSE_MS = 1250, ROUNDS = 4, DOWN_MS = 1000 };
enum { SERVERS = 12, DEADLINE_MS = 2500 };

struct Sent {
	double at, answered;
	int status;
};

std::mutex lock;
std::map<string, Sent> sent;
std::atomic<bool> stop{false};

/* A client of the tenant: an order, then a pause. */
void
call(const string &front, unsigned seed)
{
	Caller c;

	sleep_ms(rand_r(&seed) % PAUSE_MS);
	while (!stop) {
		string id = new_id();
		double at = now_ms();
		Message m;

		{
			std::lock_guard<std::mutex> guard(lock);
			sent[id] = {at, 0, -1};
		}
		m = c.ask(front, "POST", "/order/x", "shop.example", id,
		    DEADLINE_MS, {{"Fernjunction-Credential", "key-of-choir"}},
		    "one order");
		{
			std::lock_guard<std::mutex> guard(lock);
			sent[id] = {at, now_ms(), m.status};
		}
		sleep_ms(PAUSE_MS / 2 + rand_r(&seed) % PAUSE_MS);
	}
}

/* The most requests that were sent and ran in any window from `from` on. */
size_t
worst_window(const std::vector<std::pair<double, double>> &ran, double from,
    double *when)
{
	size_t worst = 0, n;

	for (const auto &first : ran) {
		if (first.first < from)
			continue;
		n = 0;
		for (const auto &r : ran)
			n += r.first >= first.first &&
			    r.second < first.first + WINDOW_MS;
		if (n > worst) {
			worst = n;
			*when = first.first;
		}
	}
	return worst;
}

} // namespace

int
main(int argc, char **argv)
{
	static World w;
	std::vector<std::thread> threads;
	std::vector<std::pair<double, double>> ran;
	double from, when = 0;
	size_t worst;

	the_world = &w;
	record.open(argc > 1 ? argv[1] : "record.txt");
	w.zones = {"hall-a"};
	w.bounds +=
	    ",\"quotaWindow\":\"5s\",\"quotaOver\":0.1,\"quotaSlack\":20";
	w.contracts = "base,drain,config,cost,retry,recover,health,pool,"
	    "tenants,quota,platform";
	if (!w.open_store())
		finish(2, "the store's address is not free");
	for (int i = 0; i < SERVERS; i++)
		w.add_server("i-" + std::to_string(i), "order-ledger",
		    "hall-a", 2, 40);
	w.configure({World::route("r-order", "shop.example", "/order/",
			 "unsafe", DEADLINE_MS, 500, "order-ledger"),
	    World::service("order-ledger"),
	    "{\"resourceType\":\"tenants\",\"metadata\":{\"name\":\"choir\"},"
	    "\"spec\":{\"apiKeys\":[\"key-of-choir\"],\"priority\":1,"
	    "\"ratePerS\":60,\"burst\":60}}"});
	for (int i = 0; i < BOXES; i++)
		w.add_box("hall-a", 0.5);
	if (!w.start_boxes())
		finish(2, "the boxes do not start");
	sleep_ms(4000);
	for (int i = 0; i < BOXES * CALLERS; i++)
		threads.emplace_back(
		    call, w.boxes[i % BOXES]->front(), (unsigned)i);
	sleep_ms(3000);
	from = now_ms();
	sleep_ms(5000);
	for (int i = 0; i < ROUNDS; i++) {
		if (with_trouble()) {
			for (auto &b : w.boxes)
				b->kill9();
			record.line("all processes are killed");
			sleep_ms(DOWN_MS);
			for (auto &b : w.boxes)
				b->start();
		}
		sleep_ms(7000);
	}
	stop = true;
	for (auto &t : threads)
		t.join();
	for (const auto &s : sent)
		record.line("sent %s at %.1f, answered %d at %.1f",
		    s.first.c_str(), s.second.at - start_ms, s.second.status,
		    s.second.answered - start_ms);
	for (const Run &r : runs.copy()) {
		record.line("ran %s at %.1f on %s", r.id.c_str(),
		    r.at - start_ms, r.server.c_str());
		ran.push_back({sent[r.id].at, r.at});
	}
	worst = worst_window(ran, from, &when);
	finish((double)worst > BOUND ? 1 : 0,
	    "%zu requests, %zu ran; at most %zu in 5 s, from %.0f on; %.0f "
	    "are allowed",
	    sent.size(), ran.size(), worst, when - start_ms, BOUND);
}
