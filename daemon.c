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
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

#include "clk.h"
#include "daemon.h"
#include "err.h"
#include "set.h"
#include "slog.h"

/* The main function of a daemon, from its command line to its exit status. */

enum { ERRORS_MAX = 8 }; /* errors of the command line that are printed */

/* The command line. */
struct args {
	char *settings; /* path of the settings file */
	bool check; /* check the settings and exit */
	bool quiet; /* do not log each decision */
};

static bool
parse_args(int, char **, const struct daemon_ops *, struct args *, int *);
static int report_error(const char *, GError *);

static void
usage(const char *program, const char *about, void **table)
{
	printf("Usage: %s", program);
	arg_print_syntax(stdout, table, "\n");
	printf("%s\n", about);
	arg_print_glossary(stdout, table, "  %-24s %s\n");
}

/*
 * Returns whether the daemon is to run.  If not, the program exits with
 * *status.
 */
static bool
parse_args(int argc, char **argv, const struct daemon_ops *ops,
    struct args *args, int *status)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *version = arg_lit0("V", "version", "print the version");
	struct arg_lit *check =
	    arg_lit0("c", "check", "check the settings and exit");
	struct arg_lit *quiet =
	    arg_lit0("q", "quiet", "no log line for each decision");
	struct arg_file *file =
	    arg_file0(NULL, NULL, "SETTINGS", "a TOML file");
	struct arg_end *end = arg_end(ERRORS_MAX);
	void *table[] = {help, version, check, quiet, file, end};
	int errors = arg_parse(argc, argv, table);
	bool run = false;

	*status = 0;
	if (help->count > 0)
		usage(ops->program, ops->about, table);
	else if (version->count > 0)
		printf("%s %s\n", ops->program, SET_VERSION);
	else if (errors > 0 || file->count == 0) {
		if (errors > 0)
			arg_print_errors(stderr, end, ops->program);
		else
			fprintf(stderr, "%s: no settings file given\n",
			    ops->program);
		fprintf(stderr, "Try '%s --help'.\n", ops->program);
		*status = err_lookup(ERR_USAGE)->exit_code;
	} else {
		args->settings = g_strdup(file->filename[0]);
		args->check = check->count > 0;
		args->quiet = quiet->count > 0;
		run = true;
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return run;
}

/*
 * Prints and logs an error, if there is one, and frees it; returns the exit
 * status.
 */
static int
report_error(const char *program, GError *err)
{
	int status;

	if (err == NULL)
		return 0;
	status = err_lookup((enum err_kind)err->code)->exit_code;
	fprintf(stderr, "%s: %s\n", program, err->message);
	slog_warn(SLOG_DAEMON, "cannot start", "program=%s status=%d why=%s",
	    program, status, slog_quote(err->message));
	g_error_free(err);
	return status;
}

int
daemon_main(int argc, char **argv, const struct daemon_ops *ops)
{
	struct args args = {0};
	GError *err = NULL;
	int status;

	if (!parse_args(argc, argv, ops, &args, &status))
		return status;
	signal(SIGPIPE, SIG_IGN);
	slog_open(clk_system(), args.quiet);
	slog_on_fatal_signals();
	if (ops->load(ops->ctx, args.settings, &err)) {
		if (args.check)
			printf("%s: the settings are valid\n", args.settings);
		else if (ops->open(ops->ctx, &err))
			ops->run(ops->ctx);
	}
	status = report_error(ops->program, err);
	slog_close();
	g_free(args.settings);
	return status;
}
