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
#include <stdio.h>

#include "doc.h"
#include "err.h"
#include "set.h"

enum { ERRORS_MAX = 8 };

bool
set_load(const char *file, const struct field *tab, size_t n, void *out,
    GError **err)
{
	struct doc *doc = doc_load(file, err);
	bool ok;

	if (doc == NULL)
		return false;
	ok = field_read(tab, n, doc->root, doc, file, ERR_SETTINGS, out, err);
	doc_free(doc);
	return ok;
}

static void
usage(const char *program, const char *about, void **table)
{
	printf("Usage: %s", program);
	arg_print_syntax(stdout, table, "\n");
	printf("%s\n", about);
	arg_print_glossary(stdout, table, "  %-24s %s\n");
}

bool
set_parse_args(int argc, char **argv, const char *program, const char *about,
    struct set_args *args, int *status)
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
	bool go = false;

	*status = 0;
	if (help->count > 0)
		usage(program, about, table);
	else if (version->count > 0)
		printf("%s %s\n", program, SET_VERSION);
	else if (errors > 0 || file->count == 0) {
		if (errors > 0)
			arg_print_errors(stderr, end, program);
		else
			fprintf(
			    stderr, "%s: a settings file is wanted\n", program);
		fprintf(stderr, "Try '%s --help'.\n", program);
		*status = err_answer(ERR_USAGE)->exit_code;
	} else {
		args->settings = g_strdup(file->filename[0]);
		args->check = check->count > 0;
		args->quiet = quiet->count > 0;
		go = true;
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return go;
}
