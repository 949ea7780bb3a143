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
#include <gtest/gtest.h>
#include <sstream>
#include <sys/resource.h>

#include "box.h"

/*
 * Tests of the template of a box's settings as it is deployed, and of what a
 * box derives where its settings say nothing.
 */

namespace
{

std::string
root()
{
	const char *r = getenv("FERN_ROOT");

	return r != nullptr ? r : ".";
}

/* A placeholder, and what is put in its place. */
struct Filling {
	const char *name, *value; /* `@` in a value is the address */
};

/* The placeholders whose values do not depend on the kind of box. */
const Filling fillings[] = {
    {"{{nodeName}}", "b1"},
    {"{{zone}}", "north"},
    {"{{listen.front}}", "@:8080"},
    {"{{listen.ready}}", "@:8280"},
    {"{{listen.control}}", "@:8480"},
    {"{{ip}}:{{portRange.0}}", "@:8180"},
    {"{{ip}}:{{portRange.1}}", "@:8380"},
    {"{{platform.addr}}", "@:9000"},
    {"{{contracts}}", "base,drain,config,cost,retry,recover,health,platform"},
};

/* A kind of box, by the values that the operator fills in for it. */
struct Kind {
	const char *power, *halls, *seeds;
	const char *bounds;
};

const char *const zones = "{{#zones}}\"{{@}}\" = \"{{.}}\"{{,}}{{/zones}}";
const char *const seeds = "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}";
const char *const all_bounds =
    R"({"seedLag":"3s","reuseAfter":"2s","contact":"3000ms","ack":"4000ms",)"
    R"("catchUp":"4s","drain":"2000ms","grace":"6s","lossSlack":"200ms",)"
    R"("configApply":"2000ms","revertSlack":"250ms","maxStretch":"5000ms",)"
    R"("retryBudgetRatio":0.2,"budgetWindow":"10s","retryBudgetSlack":60,)"
    R"("recover":"15s","probesPerS":60})";

const Kind kinds[] = {
    {"0.07", "\"north\" = \"r\"", "", "{}"},
    {"0.1", "\"north\" = \"r\"", "", all_bounds},
    {"0.2", "\"north\" = \"r\",\"south\" = \"r\"", "\"@:8480\"", all_bounds},
    {"0.5", "\"north\" = \"r\",\"east\" = \"r\",\"south\" = \"q\"",
	"\"@:8481\",\"@:8482\",\"@:8483\"", all_bounds},
    {"1.0", "\"north\" = \"\"", "", all_bounds},
};

std::string
filled_in(const Kind &kind, const std::string &ip)
{
	std::ifstream in(root() + "/deploy/box.toml");
	std::string text{std::istreambuf_iterator<char>(in), {}};

	for (const Filling &f : fillings)
		text = box::replaced(text, f.name, f.value);
	text = box::replaced(text, "{{limits.cpuShare}}", kind.power);
	text = box::replaced(text, "{{bounds}}", kind.bounds);
	text = box::replaced(text, zones, kind.halls);
	text = box::replaced(text, seeds, kind.seeds);
	text = box::replaced(text, "\"charts\"", "\"" + root() + "/charts\"");
	return box::replaced(text, "@", ip);
}

/* Settings that end a box at its start, and what its message has to contain. */
struct Fault {
	const char *settings; /* nullptr: there is no such file */
	const char *message; /* `@` is the file */
};

const Fault faults[] = {
    {nullptr, "@: cannot be read: No such file or directory"},
    {"", "@: [gate]: is missing; the file has no settings"},
    {"[gate]\nbox = \"b1\"\nmemory_mb = {{limits.memoryMb}}\n",
	"@:3: Error while parsing inline table: expected key or closing '}', "
	"saw '{'; found: memory_mb = {{limits.memoryMb}}"},
    {"[gate]\nbox = \"b1\"\n  power = \n", "; found: power ="},
    {"[gate]\nbox = \"b1\"\nmemory_max = 5\n",
	"@:3: memory_max: unknown; the nearest known name is memory_mb"},
    {"[gate]\nbox = \"{{nodeName}}\"\n", "@:2: box: found \"{{nodeName}}\""},
};

} // namespace

/*
 * A placeholder that an operator does not fill in ends a box at its start with
 * status 3: one for the memory kept all boxes of other operators from starting.
 */
TEST(Deploy, EachKindOfBoxStartsByTheTemplateWithTheCommonPlaceholders)
{
	box::World w;

	for (const Kind &kind : kinds) {
		std::string text = filled_in(kind, w.ip);

		EXPECT_EQ(std::string::npos, text.find("{{"));
		w.box.kill9();
		std::ofstream(w.file) << text;
		w.box.start();
		EXPECT_TRUE(until([&] { return w.ready(); })) << kind.power;
		EXPECT_TRUE(until([&] {
			return w.ask("/look/1").status == 200;
		})) << kind.power;
	}
}

/*
 * Boxes ended with status 3, and whoever had started them could not tell which
 * file, line and key it was.  The message goes to both outputs.
 */
TEST(Deploy, ABoxThatEndsForItsSettingsSaysWhichAndWhatWasFound)
{
	box::World w;

	for (const Fault &fault : faults) {
		std::string message = box::replaced(fault.message, "@", w.file);

		w.box.kill9();
		unlink(w.box.log.c_str());
		unlink(w.file.c_str());
		if (fault.settings != nullptr)
			std::ofstream(w.file) << fault.settings;
		w.box.start();
		EXPECT_EQ(3, w.box.wait_exit()) << message;
		EXPECT_TRUE(w.logged(message)) << w.box.read_log();
		EXPECT_TRUE(w.logged("level=warning part=daemon "
				     "msg=\"cannot start\" program=fernbox "
				     "status=3 why="))
		    << message;
	}
}

/* A box that nobody told its memory held more than the system allows it. */
TEST(Deploy, TheMemoryThatTheSystemAllowsBoundsABoxByDefault)
{
	struct rlimit before, low;
	box::World w;

	w.box.kill9();
	ASSERT_EQ(0, getrlimit(RLIMIT_DATA, &before));
	low = before;
	low.rlim_cur = 256 << 20;
	ASSERT_EQ(0, setrlimit(RLIMIT_DATA, &low));
	w.box.start();
	EXPECT_EQ(0, setrlimit(RLIMIT_DATA, &before));
	EXPECT_TRUE(until([&] { return w.ready(); }));
	EXPECT_TRUE(w.logged("half_mb=128 bodies_max=100663296 "
			     "held_max=134217728"));
}
