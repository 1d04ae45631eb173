/*
 * A minion crashes and starts again under the id that it had: it holds and knows
 * nothing, and its counts and its clock begin anew.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define PROCS 3
#define MINIONS 3
#define TASK_MS 800
#define JOBS_FROM_MS 2000
#define JOB_EVERY_MS 500
#define JOBS 50
#define CRASH_MS 12000
#define DOWN_MS 1000
#define END_MS 45000

static bool trouble;
static int32_t ready;
static int32_t sent;
static int32_t accepted;
static int32_t completed;
static int32_t asked;

static void submit(void *data);

static void on_state(int32_t status, const char *body, void *data)
{
	(void)data;
	completed += status == 200 && strstr(body, "completed") != NULL;
}

static void ask_states(void *data)
{
	(void)data;
	for (int32_t i = 0; i < sent; i++) {
		char *path = g_strdup_printf(WORLD_PREFIX "%016x", 0xc000 + i);

		asked++;
		world_call(i % PROCS, "GET", path, NULL, on_state, NULL);
		g_free(path);
	}
}

static void finish(void *data)
{
	int32_t twice = world_check_twice();

	(void)data;
	world_record("check TWICE: %d pairs; %d jobs sent, %d accepted, %d "
		     "completed",
		     twice, sent, accepted, completed);
	if (accepted < JOBS / 2)
		world_finish(2);
	else
		world_finish(twice > 0 ? 1 : 0);
}

static void start_again(void *data)
{
	(void)data;
	world_start_minion(0, true);
}

static void crash(void *data)
{
	(void)data;
	if (!trouble)
		return;
	world_crash_minion(0, true);
	world_after(DOWN_MS, start_again, NULL);
}

static void on_accepted(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	accepted += status == 200;
}

static void submit(void *data)
{
	char *path = g_strdup_printf(WORLD_PREFIX "%016x", 0xc000 + sent);

	(void)data;
	if (sent++ == 0)
		world_record("clients begin");
	world_call(sent % PROCS, "POST", path,
		   "{\"spec\":\"work\",\"phases\":[{\"count\":6,\"cpu\":2000,"
		   "\"memMb\":256,\"estimateMs\":800}]}",
		   on_accepted, NULL);
	g_free(path);
	if (sent < JOBS)
		world_after(JOB_EVERY_MS, submit, NULL);
}

static void ask_ready(void *data);

static void on_ready(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	if (status == 200 && ++ready == PROCS) {
		world_after(JOBS_FROM_MS, submit, NULL);
		return;
	}
	world_after(100, ask_ready, NULL);
}

static void ask_ready(void *data)
{
	(void)data;
	world_call(ready, "GET", "/waxwinghollow/readyz", NULL, on_ready, NULL);
}

int main(int argc, char **argv)
{
	const world_options_t options = {
		.procs = PROCS,
		.minions = MINIONS,
		.task_ms = TASK_MS,
		.hold_max_ms = 6000,
		.heartbeat_ms = 1500,
	};

	if (argc != 2)
		return 2;
	trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	world_init(&options, argv[1]);
	world_record("a minion starts again under its id: %s",
		     trouble ? "yes" : "no");
	for (int32_t i = 0; i < PROCS; i++)
		world_start_proc(i);
	world_after(1000, ask_ready, NULL);
	world_after(CRASH_MS, crash, NULL);
	world_after(END_MS - 4000, ask_states, NULL);
	world_after(END_MS, finish, NULL);
	world_run();
	return world_exit_code();
}
