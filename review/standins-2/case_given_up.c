/*
 * A sound job of one task runs on a minion that crashes; so does the next one, and
 * the one after that. LOST: the job is shown as failed, though no run of it has
 * ended so.
 */
#include "deployment.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROCS 3
#define MINIONS 8
#define BEGIN_MS 6000
#define CRASHES 3
#define CRASH_AFTER_MS 700
#define DOWN_MS 3000
#define ASK_EVERY_MS 200
#define END_MS 24000
#define JOB_ID "7be3673b010899f6"
#define JOB_PATH DEP_PREFIX JOB_ID

static bool accepted;
static int32_t crashes;
static guint seen;
static char state[32];

static void on_submitted(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	accepted = status == 200;
	dep_record("POST %s is answered %d", JOB_ID, status);
}

static void submit(void *data)
{
	(void)data;
	dep_call(0, "POST", JOB_PATH,
		 "{\"spec\":\"dedupe\",\"phases\":[{\"count\":1,\"cpu\":5000,"
		 "\"memMb\":512,\"estimateMs\":1300}]}",
		 3000, on_submitted, NULL);
}

static void crash(void *data)
{
	const dep_run_t *run = data;

	if (run->how == NULL)
		dep_crash_minion(run->minion, DOWN_MS, false);
}

static void watch(void *data)
{
	(void)data;
	for (; seen < dep_runs()->len; seen++) {
		if (dep_has_trouble() && crashes++ < CRASHES)
			dep_after(CRASH_AFTER_MS, crash,
				  g_ptr_array_index(dep_runs(), seen));
	}
	dep_after(20, watch, NULL);
}

static void on_state(int32_t status, const char *body, void *data)
{
	(void)data;
	if (status != 200 || strcmp(body, state) == 0)
		return;
	g_strlcpy(state, body, sizeof(state));
	dep_record("GET %s is answered %s", JOB_ID, body);
}

static void ask(void *data)
{
	(void)data;
	dep_call(1, "GET", JOB_PATH, NULL, 3000, on_state, NULL);
	dep_after(ASK_EVERY_MS, ask, NULL);
}

static void report(void *data)
{
	bool shown_as_failed = strstr(state, "failed") != NULL;
	int32_t failed = 0;

	(void)data;
	for (guint i = 0; i < dep_runs()->len; i++) {
		const dep_run_t *run = g_ptr_array_index(dep_runs(), i);

		failed += g_strcmp0(run->how, "failed") == 0;
		dep_record("run %" PRId64
			   " on minion %d from %.3f to %.3f s: %s",
			   run->run, run->minion, (double)run->begun_ms / 1000,
			   (double)run->ended_ms / 1000,
			   run->how == NULL ? "it runs" : run->how);
	}
	dep_record("%d of %u runs ended as failed; the job is shown as %s",
		   failed, dep_runs()->len, state);
	dep_record("LOST: %s",
		   shown_as_failed && failed == 0 ? "broken" : "kept");
	dep_finish(!accepted ? 2 : shown_as_failed && failed == 0);
}

int main(int argc, char **argv)
{
	dep_options_t options = {
		.record = argv[argc - 1],
		.procs = PROCS,
		.minions = MINIONS,
	};

	if (argc != 2)
		return 2;
	dep_init(&options);
	dep_after(BEGIN_MS, submit, NULL);
	dep_after(BEGIN_MS, watch, NULL);
	dep_after(BEGIN_MS + ASK_EVERY_MS, ask, NULL);
	dep_after(END_MS, report, NULL);
	dep_loop();
	return dep_exit_code();
}
