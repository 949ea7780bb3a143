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

#include "libctl.h"
#include "set.h"

enum { MAX_ARGS = 256, MAX_PARSE_ERRORS = 8 };

static const struct {
	const char *name;
	ctl_fn *fn;
	const char *args;
	const char *summary;
} commands[] = {
    {"apply", ctl_apply, "FILE...", "create or change the files' objects"},
    {"diff", ctl_diff, "FILE...", "show what apply would change"},
    {"get", ctl_get, "[KIND | KIND/NAME]", "print objects"},
    {"delete", ctl_delete, "KIND/NAME", "delete an object"},
    {"label", ctl_label, "BACKEND NAME=VALUE | NAME- ...",
	"set or take away labels"},
    {"drain", ctl_drain, "BACKEND", "let a backend server run empty"},
    {"undrain", ctl_undrain, "BACKEND", "use it again"},
    {"evacuate", ctl_evacuate, "HALL [WHY]",
	"send nothing new to a hall's backend servers"},
    {"return", ctl_return, "HALL", "use them again"},
    {"limits", ctl_limits, "KIND/NAME FIELD=NUMBER ...", "change limits"},
    {"status", ctl_status, "", "what is in force on which box"},
    {"explain", ctl_explain, "PATH", "what a request would meet, and why"},
    {"shards", ctl_shards, "", "capacity of the shards of boxes"},
    {"customers", ctl_customers, "", "the largest customers at boxes"},
};

/* The command line, as argtable2 parses it. */
struct command_line {
	struct arg_lit *help, *version, *json;
	struct arg_str *platform, *admin, *method, *host, *header, *args;
	struct arg_end *end;
};

static int run(struct ctl *, struct command_line *);
static void usage(void **);

static void
usage(void **table)
{
	size_t i;

	printf("Usage: fernctl");
	arg_print_syntax(stdout, table, "\n");
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	printf("Commands:\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		printf("  %-9s %-31s %s\n", commands[i].name, commands[i].args,
		    commands[i].summary);
}

/* Returns the function of a command, NULL if there is no such command. */
static ctl_fn *
find_command(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (strcmp(commands[i].name, name) == 0)
			return commands[i].fn;
	return NULL;
}

/* Returns whether a command reads the pages of boxes, and not the platform. */
static bool
reads_boxes(ctl_fn *fn)
{
	return fn == ctl_shards || fn == ctl_customers;
}

/* Returns the known command whose name is most similar. */
static const char *
nearest_command(const char *name)
{
	size_t i, d, best = SIZE_MAX;
	const char *nearest = "";

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		d = str_distance(str_c(commands[i].name), str_c(name));
		if (d < best) {
			best = d;
			nearest = commands[i].name;
		}
	}
	return nearest;
}

/* Returns the platform's address from the option or else the environment. */
static const char *
platform_address(const struct command_line *l)
{
	const char *env = getenv("FERN_PLATFORM");

	return l->platform->count > 0 ? l->platform->sval[0]
	    : env != NULL	      ? env
				      : "";
}

static void
open_client(struct ctl *c)
{
	c->loop = uv_default_loop();
	c->clk = clk_system();
	c->rnd = rnd_system();
	tmr_open(&c->tmr, c->loop, c->clk);
	c->up = up_open(c->loop, &c->tmr, c->clk);
}

static bool
open_platform(struct ctl *c, const struct command_line *l, GError **err)
{
	struct str address = str_c(platform_address(l));
	char ip[64];
	uint16_t port;

	if (!field_parse_address(address, ip, sizeof(ip), &port))
		return err_set(err, ERR_USAGE,
		    "expected the platform's address in --platform or "
		    "FERN_PLATFORM, found \"%s\"",
		    address.p);
	c->plat = plat_http_open(c->up, &c->tmr, c->clk, address,
	    plat_adapter_by_name(STR_LIT("fern"))->codec);
	return true;
}

/* Runs the command of the command line; returns the exit status. */
static int
run(struct ctl *c, struct command_line *l)
{
	GError *err = NULL;
	ctl_fn *fn;
	int status;

	open_client(c);
	if (l->args->count == 0)
		err_set(&err, ERR_USAGE, "expected a command; try --help");
	else if ((fn = find_command(l->args->sval[0])) == NULL)
		err_set(&err, ERR_USAGE,
		    "%s: no such command; the nearest is %s", l->args->sval[0],
		    nearest_command(l->args->sval[0]));
	else if (reads_boxes(fn) || open_platform(c, l, &err)) {
		c->json = l->json->count > 0;
		c->nargs = l->args->count - 1;
		c->args = g_new0(char *, c->nargs + 1);
		memcpy(c->args, l->args->sval + 1,
		    sizeof(char *) * (size_t)c->nargs);
		c->method =
		    (char *)(l->method->count > 0 ? l->method->sval[0] : "GET");
		c->host = (char *)(l->host->count > 0 ? l->host->sval[0] : "");
		c->header =
		    (char *)(l->header->count > 0 ? l->header->sval[0] : NULL);
		c->admin = l->admin->sval;
		c->nadmin = l->admin->count;
		fn(c, &err);
	}
	fflush(stdout);
	g_free(c->args);
	if (err == NULL)
		return 0;
	fprintf(stderr, "fernctl: %s\n", err->message);
	status = err_lookup((enum err_kind)err->code)->exit_code;
	g_error_free(err);
	return status;
}

int
main(int argc, char **argv)
{
	static struct ctl ctl;
	struct command_line l = {
	    arg_lit0("h", "help", "print this and exit"),
	    arg_lit0("V", "version", "print the version"),
	    arg_lit0("j", "json", "print JSON"),
	    arg_str0("p", "platform", "ADDRESS", "the platform's address"),
	    arg_strn("a", "admin", "ADDRESS", 0, MAX_ARGS,
		"shards, customers: the admin address of a box"),
	    arg_str0(NULL, "method", "METHOD", "explain: the method"),
	    arg_str0(NULL, "host", "HOST", "explain: the host"),
	    arg_str0(NULL, "header", "HEADER", "explain: \"name: value\""),
	    arg_strn(NULL, NULL, "WORD", 0, MAX_ARGS, "command and its words"),
	    arg_end(MAX_PARSE_ERRORS),
	};
	void *table[] = {l.help, l.version, l.json, l.platform, l.admin,
	    l.method, l.host, l.header, l.args, l.end};
	int errors = arg_parse(argc, argv, table), status = 0;

	signal(SIGPIPE, SIG_IGN);
	if (l.help->count > 0) {
		usage(table);
	} else if (l.version->count > 0) {
		printf("fernctl %s\n", SET_VERSION);
	} else if (errors > 0) {
		arg_print_errors(stderr, l.end, "fernctl");
		status = err_lookup(ERR_USAGE)->exit_code;
	} else {
		status = run(&ctl, &l);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
