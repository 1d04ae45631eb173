#ifndef WAXWINGHOLLOW_CLI_H
#define WAXWINGHOLLOW_CLI_H

/*
 * NAME
 *	cli - what the subcommands share
 *
 * USE
 *	Options, the servers to ask and how an answer becomes output and exit
 *	code.
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
	gint timeout_ms; /* of one call */
	char *author; /* who asks, for the log */
} wwh_cli_t;

void wwh_cli_init(wwh_cli_t *cli);
void wwh_cli_finish(wwh_cli_t *cli);

/*
 * Reads the options of cli and of extra (may be NULL); the arguments stay in
 * argv. Prints what is wrong and returns false, which is WWH_EXIT_USAGE.
 */
bool wwh_cli_parse(wwh_cli_t *cli, int *argc, char ***argv,
		   const char *arguments, const char *summary,
		   const GOptionEntry *extra);

/* wwh_cli_parse for commands that ask no server. */
bool wwh_cli_parse_plain(int *argc, char ***argv, const char *summary,
			 const GOptionEntry *options);

/*
 * Asks the servers in their order. The next one is asked only while the one
 * before surely did nothing: no connection, or 503. *server is the one that
 * answered.
 */
wwh_status_t wwh_cli_call(const wwh_cli_t *cli,
			  const wwh_operator_request_t *request,
			  wwh_operator_answer_t *answer, const char **server,
			  wwh_message_t *message);

/* Prints why a call failed; gives the exit code for it. */
int wwh_cli_call_failed(wwh_status_t status, const wwh_message_t *message);

/* Prints an answer, as JSON or for people, and gives its exit code. */
int wwh_cli_print_answer(const wwh_cli_t *cli,
			 const wwh_operator_answer_t *answer);

/* GETs path and prints the answer; gives the exit code. */
int wwh_cli_show(const wwh_cli_t *cli, const char *path);

/* Prints what is wrong when there are arguments; false is a usage error. */
bool wwh_cli_no_arguments(int argc, char **argv);

/* "file:line: text" on standard error; a wwh_config_error_t. */
void wwh_cli_print_error(const char *file, int32_t line, const char *text,
			 void *unused);

#endif
