/*
 * Case: the only two large machines of a zone are lost for good, and smaller
 * ones with the same role come in their place.
 *
 * Right after a configuration was acknowledged all processes are killed.  The
 * machines are back a second later, but for the two large ones, for which two
 * spares come at new addresses.  With TROUBLE=0 the large ones come back too.
 */
#include "world.hpp"

using namespace world;

namespace
{

/* recover, and the share of requests that has to be served after it. */
const double RECOVER_MS = 15000, SHARE = 0.25;
/* How long requests are counted, before the fault and after `recover`. */
const double BEFORE_MS = 8000, AFTER_MS = 15000;
enum { LARGE = 2, SMALL = 4, SPARES = 2, SERVERS = 6, CALLERS = 24 };
enum { DEADLINE_MS = 2000 };

struct Count {
	std::atomic<long> served{0}, not_served{0};

	double share() const
	{
		long all = served + not_served;
		return all == 0 ? 0 : (double)served / (double)all;
	}
};

Count before, after;
std::atomic<Count *> current{nullptr};
std::atomic<bool> stop{false};

/* A client that asks every box in turn, as the platform's balancer does. */
void
call(World *w, const std::vector<size_t> &at, unsigned seed)
{
	Caller c;

	while (!stop) {
		Count *count = current;
		Box *b = w->boxes[at[rand_r(&seed) % at.size()]].get();
		string id = new_id();
		Message m;

		c.drop();
		m = c.ask(b->front(), "GET", "/look/x", "shop.example", id,
		    DEADLINE_MS);
		record.line("asked %s of %s, answered %d", id.c_str(),
		    b->name.c_str(), m.status);
		if (count != nullptr && count == current)
			(m.status == 200 ? count->served
					 : count->not_served)++;
		sleep_ms(100 + rand_r(&seed) % 200);
	}
}

} // namespace

int
main(int argc, char **argv)
{
	static World w;
	std::vector<std::thread> threads;
	std::vector<size_t> at;
	std::vector<string> config;
	int ready = 0;

	the_world = &w;
	record.open(argc > 1 ? argv[1] : "record.txt");
	w.zones = {"hall-a"};
	if (!w.open_store())
		finish(2, "the store's address is not free");
	for (int i = 0; i < SERVERS; i++)
		w.add_server("i-" + std::to_string(i), "katalog", "hall-a", 3,
		    90);
	config = {World::route("r-look", "shop.example", "/look/", "safe",
		      1000, 250, "katalog"),
	    World::service("katalog")};
	w.configure(config);
	for (int i = 0; i < LARGE; i++)
		w.add_box("hall-a", 0.5);
	for (int i = 0; i < SMALL; i++) {
		at.push_back(w.boxes.size());
		w.add_box("hall-a", 0.1);
	}
	if (!w.start_boxes())
		finish(2, "the boxes do not start");
	sleep_ms(4000);
	for (int i = 0; i < CALLERS; i++)
		threads.emplace_back(call, &w, at, (unsigned)i);
	sleep_ms(1000);
	current = &before;
	sleep_ms(BEFORE_MS);
	current = nullptr;
	w.configure(config);
	for (auto &b : w.boxes)
		b->kill9();
	record.line("all processes are killed");
	sleep_ms(1000);
	for (int i = 0; with_trouble() && i < LARGE; i++)
		w.boxes[i]->lost = true;
	for (int i = 0; with_trouble() && i < SPARES; i++)
		w.add_box("hall-a", 0.1);
	for (auto &b : w.boxes) {
		if (b->lost)
			continue;
		w.write_settings(b.get());
		b->start();
	}
	record.line("the machines are back");
	sleep_ms(RECOVER_MS);
	current = &after;
	sleep_ms(AFTER_MS);
	current = nullptr;
	for (auto &b : w.boxes)
		ready += b->alive() && b->is_ready();
	stop = true;
	for (auto &t : threads)
		t.join();
	if (before.share() < SHARE)
		finish(2, "only %.2f were served before", before.share());
	finish(after.share() < SHARE ? 1 : 0,
	    "served before: %ld of %ld; later than 15 s after the machines "
	    "were back: %ld of %ld; %d boxes say that they are ready",
	    before.served.load(), before.served + before.not_served,
	    after.served.load(), after.served + after.not_served, ready);
}
