#ifndef WAXWINGHOLLOW_CLI_H
#define WAXWINGHOLLOW_CLI_H

/*
 * NAME
 *	cli - options, calls and output common to the subcommands
 *
 * USE
 *	Parses the common options, calls the entry processes given by them,
 *	and turns an answer into output and an exit code.
 *
 * ORDER OF CALLS
 *	wwh_cli_init; wwh_cli_parse; wwh_cli_call; wwh_cli_finish.
 */

#include <glib.h>
#include <stdbool.h>

#include "commands.h"
#include "waxwinghollow/operator_client.h"

#define WWH_SERVER_VARIABLE "WAXWINGHOLLOW_SERVER"

typedef struct {
	char **servers; /* "IP:port" of operator listeners */
	gboolean json;
	gint timeout_ms; /* of each call */
	char *author; /* logged as the author of a change */
} wwh_cli_t;

void wwh_cli_init(wwh_cli_t *cli);
void wwh_cli_finish(wwh_cli_t *cli);

/*
 * Parses the common options into cli, and those of extra (may be NULL). The
 * arguments that are not options remain in argv. On an error it prints the
 * reason and returns false; the command then exits with WWH_EXIT_USAGE.
 */
bool wwh_cli_parse(wwh_cli_t *cli, int *argc, char ***argv,
		   const char *arguments, const char *summary,
		   const GOptionEntry *extra);

/* wwh_cli_parse for commands that call no server. */
bool wwh_cli_parse_without_server(int *argc, char ***argv, const char *summary,
				  const GOptionEntry *options);

/*
 * Sends the request to the servers in their order, until one gives an answer
 * other than 503. A POST goes to the next server only if the previous one
 * surely did not run it, that is, could not be connected to or answered 503; a
 * GET goes to the next server after any failure. An answer of 503 is returned
 * from the last server only. *server is the last server called.
 */
wwh_status_t wwh_cli_call(const wwh_cli_t *cli,
			  const wwh_operator_request_t *request,
			  wwh_operator_answer_t *answer, const char **server,
			  wwh_message_t *message);

/* Prints why a call failed and returns the exit code for it. */
int wwh_cli_report_call_failure(wwh_status_t status,
				const wwh_message_t *message);

/* Prints an answer, as JSON or as text, and returns its exit code. */
int wwh_cli_print_answer(const wwh_cli_t *cli,
			 const wwh_operator_answer_t *answer);

/* Sends a GET of path, prints the answer and returns the exit code. */
int wwh_cli_get_and_print(const wwh_cli_t *cli, const char *path);

/* False, after printing a usage error, when arguments remain in argv. */
bool wwh_cli_check_no_arguments(int argc, char **argv);

/*
 * A wwh_config_error_t. Prints "file:line: text" on standard error, without the
 * line if it is 0.
 */
void wwh_cli_print_error(const char *file, int32_t line, const char *text,
			 void *unused);

#endif
