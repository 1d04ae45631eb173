#ifndef WAXWINGHOLLOW_COMMANDS_H
#define WAXWINGHOLLOW_COMMANDS_H

/*
 * NAME
 *	commands - the subcommands of waxwinghollow
 *
 * USE
 *	argv[0] is the subcommand's name. Each returns a wwh_exit_t.
 */

/* Exit codes of every subcommand. */
typedef enum {
	WWH_EXIT_OK = 0,
	WWH_EXIT_FAILED, /* the reason is on standard error */
	WWH_EXIT_USAGE, /* invalid options */
	WWH_EXIT_BAD_INPUT, /* a file or argument was rejected */
	WWH_EXIT_CONFLICT, /* another change was made first */
	WWH_EXIT_UNAVAILABLE, /* not run, safe to retry */
	WWH_EXIT_UNKNOWN, /* may have taken effect: check before a retry */
	WWH_EXIT_INCOMPLETE, /* published, but not in force everywhere yet */
	WWH_EXIT_COUNT
} wwh_exit_t;

/* Descriptions of the exit codes for --help, indexed by wwh_exit_t. */
extern const char *const wwh_exit_texts[WWH_EXIT_COUNT];

int wwh_cmd_serve(int argc, char **argv);
int wwh_cmd_check(int argc, char **argv);
int wwh_cmd_publish(int argc, char **argv);
int wwh_cmd_status(int argc, char **argv);
int wwh_cmd_dump(int argc, char **argv);
int wwh_cmd_wave(int argc, char **argv);
int wwh_cmd_rehearse(int argc, char **argv);
int wwh_cmd_move(int argc, char **argv);
int wwh_cmd_job(int argc, char **argv);
int wwh_cmd_explain(int argc, char **argv);

#endif
