#include "run_program.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <sys/wait.h>

run_t run_program(const char *arguments)
{
	char *line = g_strdup_printf("%s/waxwinghollow %s", WWH_BINARY_DIR,
				     arguments);
	char **argv = g_strsplit(line, " ", -1);
	run_t run = { .exit_code = -1 };
	int status = 0;

	assert_true(g_spawn_sync(WWH_SOURCE_DIR, argv, NULL, G_SPAWN_DEFAULT,
				 NULL, NULL, &run.out, &run.err, &status,
				 NULL));
	if (WIFEXITED(status))
		run.exit_code = WEXITSTATUS(status);
	g_strfreev(argv);
	g_free(line);
	return run;
}

void run_clear(run_t *run)
{
	g_free(run->out);
	g_free(run->err);
}

void run_expect_exit_code(const run_t *run, int exit_code)
{
	if (run->exit_code != exit_code)
		fail_msg("exit code %d, expected %d\n%s%s", run->exit_code,
			 exit_code, run->out, run->err);
}
