/*
 * A box whose log has lost its reader is stopped as planned.  It must end
 * within `grace`, and hand back the processor.
 */
#include "lab.hpp"

using namespace lab;

/* Reads the log of a box, as the platform does, until it is told to end. */
struct LogReader {
	int fd = -1;
	std::atomic<bool> ended{false};
	std::thread thread;

	/* Returns the end that the box writes to. */
	int open()
	{
		int ends[2];

		if (pipe2(ends, O_CLOEXEC) != 0)
			exit(2);
		fd = ends[0];
		fcntl(fd, F_SETFL, O_NONBLOCK);
		thread = std::thread([this] {
			char part[65536];

			while (!ended) {
				if (read(fd, part, sizeof(part)) <= 0)
					nap(.01);
			}
			close(fd);
		});
		return ends[1];
	}
	void end()
	{
		ended = true;
		if (thread.joinable())
			thread.join();
	}
};

int
main(int argc, char **argv)
{
	Record record(argc > 1 ? argv[1] : "record.txt");
	Deployment d(3, 4, .02);
	std::vector<LogReader> readers(d.boxes.size());
	const double grace = 6;
	bool broken = false;

	if (!d.ok) {
		record("the stand-ins could not listen");
		d.finish(2);
	}
	for (size_t i = 0; i < d.boxes.size(); i++) {
		int out = readers[i].open();

		d.boxes[i].start(out);
		close(out);
	}
	for (Box &b : d.boxes)
		if (!b.await_ready(15)) {
			record(b.name + " did not become ready");
			d.finish(2);
		}
	record("three boxes are ready");
	for (int i = 0; i < 30; i++) {
		std::string rid = "q" + std::to_string(i);
		Answer a = d.ask(d.boxes[(size_t)i % 3], "/buy/x", rid, true);

		record("request " + rid + " to front-" + std::to_string(i % 3) +
		    ": " + std::to_string(a.status));
	}
	/* The other boxes go on; only the box that is stopped counts. */
	if (trouble()) {
		readers[1].end();
		record("the reader of the log of front-1 has ended");
	}
	nap(1.5);
	record("SIGTERM to front-1");
	kill(d.boxes[1].pid, SIGTERM);
	double cpu = 0, half = grace - 2;
	if (!d.boxes[1].ends_within(half))
		cpu = d.boxes[1].cpu();
	if (d.boxes[1].ends_within(grace - half)) {
		record("front-1 has ended by itself, exit status " +
		    std::to_string(WEXITSTATUS(d.boxes[1].status)));
	} else {
		broken = true;
		cpu = d.boxes[1].cpu() - cpu;
		record("front-1 still runs " + std::to_string((int)grace) +
		    " s after SIGTERM; processor seconds in the last 2 s: " +
		    std::to_string(cpu));
	}
	for (size_t i = 0; i < d.boxes.size(); i++) {
		d.boxes[i].kill9();
		readers[i].end();
	}
	d.finish(broken ? 1 : 0);
}
