/*
 * A minion leaves the order to start a task without an answer and carries it out
 * seconds later. Before that it crashes, and starts again under its id. TWICE: the
 * task has been started elsewhere and has ended done; then the late order is
 * carried out.
 */
#include "deployment.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROCS 3
#define MINIONS 8
#define BEGIN_MS 6000
#define CRASH_AFTER_MS 300
#define DOWN_MS 3500
#define LATE_MS 8000
#define END_MS 20000
#define JOB_ID "b4dfcc263e56c066"
#define JOB_PATH DEP_PREFIX JOB_ID
#define OTHERS_MS 4000
#define OTHERS 20
#define OTHERS_EVERY_MS 150

static int32_t delayed = -1; /* minion */
static int32_t accepted;
static int32_t others;

static void crash(void *data)
{
	(void)data;
	dep_crash_minion(delayed, DOWN_MS, true);
}

static int64_t delay_order(int32_t minion, const char *task, int64_t run)
{
	(void)run;
	if (!dep_has_trouble() || delayed >= 0 ||
	    !g_str_has_prefix(task, JOB_ID))
		return 0;
	delayed = minion;
	dep_after(CRASH_AFTER_MS, crash, NULL);
	return LATE_MS;
}

static void on_submitted(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	accepted = status == 200;
	dep_record("POST %s is answered %d", JOB_ID, status);
}

static const char *const job_body =
	"{\"spec\":\"assign a number\",\"phases\":[{\"count\":1,\"cpu\":2300,"
	"\"memMb\":256,\"estimateMs\":800}]}";

static void submit(void *data)
{
	(void)data;
	dep_call(0, "POST", JOB_PATH, job_body, 3000, on_submitted, NULL);
}

static void on_other_submitted(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	if (status != 200)
		dep_record("POST of another job is answered %d", status);
}

/* So that one start of many is late: 1 of 21. */
static void submit_other(void *data)
{
	char *path = g_strdup_printf(DEP_PREFIX "%016x", 0x7000 + others);

	(void)data;
	dep_call(others % PROCS, "POST", path, job_body, 3000,
		 on_other_submitted, NULL);
	g_free(path);
	if (++others < OTHERS)
		dep_after(OTHERS_EVERY_MS, submit_other, NULL);
}

static void on_state(int32_t status, const char *body, void *data)
{
	(void)data;
	dep_record("GET %s is answered %d %s", JOB_ID, status, body);
}

static void ask(void *data)
{
	(void)data;
	dep_call(1, "GET", JOB_PATH, NULL, 3000, on_state, NULL);
}

/* TWICE, over all tasks. */
static int32_t count_twice(void)
{
	int32_t pairs = 0;

	for (guint i = 0; i < dep_runs()->len; i++) {
		const dep_run_t *one = g_ptr_array_index(dep_runs(), i);

		dep_record(
			"%s run %" PRId64 " on minion %d from %.3f to %.3f s: "
			"%s, taken note of: %d",
			one->task, one->run, one->minion,
			(double)one->begun_ms / 1000,
			(double)one->ended_ms / 1000,
			one->how == NULL ? "it runs" : one->how, one->is_noted);
		for (guint k = 0; k < dep_runs()->len; k++) {
			const dep_run_t *other =
				g_ptr_array_index(dep_runs(), k);
			bool at_once;
			bool after_done;

			if (k == i || strcmp(one->task, other->task) != 0 ||
			    other->begun_ms < one->begun_ms)
				continue;
			at_once = one->how == NULL ||
				  one->ended_ms > other->begun_ms;
			after_done = g_strcmp0(one->how, "done") == 0 &&
				     one->is_noted;
			if (!at_once && !after_done)
				continue;
			pairs++;
			dep_record("run %" PRId64 " of %s begins at %.3f s %s",
				   other->run, other->task,
				   (double)other->begun_ms / 1000,
				   at_once ? "while another one is at work"
					   : "after one has ended done, an end "
					     "that is taken note of");
		}
	}
	return pairs;
}

static void report(void *data)
{
	int32_t pairs = count_twice();

	(void)data;
	dep_record("TWICE: %s", pairs > 0 ? "broken" : "kept");
	dep_finish(!accepted ? 2 : pairs > 0);
}

int main(int argc, char **argv)
{
	dep_options_t options = {
		.record = argv[argc - 1],
		.procs = PROCS,
		.minions = MINIONS,
		.tells_born = true,
	};

	if (argc != 2)
		return 2;
	dep_init(&options);
	dep_on_start_order(delay_order);
	dep_after(OTHERS_MS, submit_other, NULL);
	dep_after(BEGIN_MS, submit, NULL);
	dep_after(BEGIN_MS + LATE_MS - 1000, ask, NULL);
	dep_after(END_MS, report, NULL);
	dep_loop();
	return dep_exit_code();
}
