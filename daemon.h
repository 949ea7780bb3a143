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

/* What the two daemons have in common: command line, log and exit status. */
struct daemon_ops {
	const char *program;
	const char *about;
	/* Read and check the settings file. */
	bool (*load)(void *, const char *file, GError **);
	/* Open everything. */
	bool (*open)(void *, GError **);
	/* Run until the end. */
	void (*run)(void *);
	void *ctx;
};

/* Run a daemon's main; returns its exit status. */
int daemon_main(int argc, char **argv, const struct daemon_ops *);

#endif
