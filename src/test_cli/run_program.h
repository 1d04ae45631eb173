#ifndef WAXWINGHOLLOW_RUN_PROGRAM_H
#define WAXWINGHOLLOW_RUN_PROGRAM_H

/*
 * NAME
 *	run_program - runs the binary as an operator does
 */

typedef struct {
	int code; /* exit code */
	char *out;
	char *err;
} run_t;

/* arguments are separated by single spaces. */
run_t run_program(const char *arguments);
void run_clear(run_t *run);

/* Fails the test, showing both streams, when the exit code is another. */
void run_expect(const run_t *run, int code);

#endif
