#ifndef WAXWINGHOLLOW_RUN_PROGRAM_H
#define WAXWINGHOLLOW_RUN_PROGRAM_H

/*
 * NAME
 *	run_program - runs the waxwinghollow binary and captures its output
 */

typedef struct {
	int exit_code; /* -1 if ended by a signal */
	char *out; /* standard output */
	char *err; /* standard error */
} run_t;

/* Runs it in the source directory; single spaces separate the arguments. */
run_t run_program(const char *arguments);
void run_clear(run_t *run);

/* Fails the test, and prints out and err, if the exit code differs. */
void run_expect_exit_code(const run_t *run, int exit_code);

#endif
