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
#ifndef DAEMON_H
#define DAEMON_H

#include <glib.h>
#include <stdbool.h>

/* Common main function of the daemons: command line, log and exit status. */
struct daemon_ops {
	const char *program; /* name of the program */
	const char *about; /* description in the output of --help */
	/* Reads and checks the settings file. */
	bool (*load)(void *, const char *file, GError **);
	/* Opens sockets and other resources. */
	bool (*open)(void *, GError **);
	/* Runs the event loop until the daemon stops. */
	void (*run)(void *);
	void *ctx; /* first argument of the functions above */
};

/* Runs a daemon and returns its exit status. */
int daemon_main(int argc, char **argv, const struct daemon_ops *);

#endif
