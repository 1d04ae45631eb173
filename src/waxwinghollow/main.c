#include <glib.h>
#include <locale.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"

#ifndef WWH_VERSION
#define WWH_VERSION "0.1.0"
#endif

typedef struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary; /* for --help */
} command_t;

static const command_t commands[] = {
	{ "serve", wwh_cmd_serve, "run one entry process" },
	{ "check", wwh_cmd_check, "check settings, inventory and rules" },
	{ "publish", wwh_cmd_publish, "put inventory and rules in force" },
	{ "status", wwh_cmd_status, "processes, pools and waves" },
	{ "dump", wwh_cmd_dump, "the complete state of one process" },
	{ "wave", wwh_cmd_wave, "plan and run maintenance waves" },
	{ "rehearse", wwh_cmd_rehearse, "cause a failure on purpose" },
	{ "move", wwh_cmd_move, "move a worker to another pool" },
	{ "job", wwh_cmd_job, "submit and cancel jobs" },
	{ "explain", wwh_cmd_explain, "list the log lines of a job or task" },
};

const char *const wwh_exit_texts[WWH_EXIT_COUNT] = {
	"done",
	"failed, the reason is on standard error",
	"bad options",
	"a file or argument is refused",
	"someone else's change came first",
	"not run, safe to retry",
	"outcome unknown, look before repeating",
	"published, but not in force everywhere within the time limit",
};

static void print_help(FILE *out);
static int unknown_command(const char *name);

int main(int argc, char **argv)
{
	(void)setlocale(LC_ALL, "");
	if (argc < 2) {
		print_help(stderr);
		return WWH_EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0 ||
	    strcmp(argv[1], "help") == 0) {
		print_help(stdout);
		return WWH_EXIT_OK;
	}
	if (strcmp(argv[1], "--version") == 0) {
		printf("waxwinghollow %s\n", WWH_VERSION);
		return WWH_EXIT_OK;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, argv[1]) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	return unknown_command(argv[1]);
}

static void print_help(FILE *out)
{
	fprintf(out, "Usage: waxwinghollow COMMAND [OPTION...]\n\n"
		     "Commands (each has --help):\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].summary);
	fprintf(out, "\nOptions:\n  --help     show help\n"
		     "  --version  the version\n\nExit codes:\n");
	for (int code = 0; code < WWH_EXIT_COUNT; code++)
		fprintf(out, "  %d  %s\n", code, wwh_exit_texts[code]);
}

static int unknown_command(const char *name)
{
	fprintf(stderr,
		"waxwinghollow: unknown command '%s', expected one of:", name);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stderr, "%s %s", i == 0 ? "" : ",", commands[i].name);
	fprintf(stderr, "\n");
	return WWH_EXIT_USAGE;
}
