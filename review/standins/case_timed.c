/*
 * A job that runs at two set times. Each time the process that leads is stopped and
 * started again (SIGTERM) while the tasks of that time are at work: at first in their
 * middle, then when they are nearly done. A plain job with the same step is beside it.
 */
#include <signal.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "world.h"

#define TIMED_ID "00000000000000a1"
#define PLAIN_ID "00000000000000b2"
#define PROCS 3
#define MINIONS 4
#define TASK_MS 3000
#define FIRST_AFTER_MS 5000
#define INTERVAL_MS 8000
#define TIMES 2
#define STOP_AFTER_MS 1000 /* the first time is in the middle of its tasks */
#define LATE_STOP_AFTER_MS 2900 /* the second one's tasks are nearly done */
#define RESTART_MS 500
#define END_MS 26000

static bool trouble;
static int32_t stops;
static int32_t ready;
static int32_t accepted;

static void finish(void *data)
{
	int32_t twice = world_check_twice();
	int32_t timed = 0;
	int32_t done = 0;

	(void)data;
	for (guint i = 0; i < world_runs()->len; i++) {
		const world_run_t *run = g_ptr_array_index(world_runs(), i);

		if (strncmp(run->task, TIMED_ID, strlen(TIMED_ID)) != 0)
			continue;
		timed++;
		done += g_strcmp0(run->how, "done") == 0;
	}
	world_record(
		"check TWICE: %d pairs; %d runs of the timed job's 8 tasks, "
		"%d of them done",
		twice, timed, done);
	if (accepted < 2 || timed < 8)
		world_finish(2);
	else
		world_finish(twice > 0 ? 1 : 0);
}

static void restart(void *data)
{
	int32_t proc = GPOINTER_TO_INT(data);

	if (world_proc_is_up(proc))
		world_after(RESTART_MS, restart, data);
	else
		world_start_proc(proc);
}

static void stop_holder(void *data)
{
	int32_t holder = world_holder();

	(void)data;
	if (holder < 0 || !world_proc_is_up(holder)) {
		world_finish(2);
		return;
	}
	/* planned work: SIGTERM, and a start once the process has ended */
	world_signal_proc(holder, SIGTERM);
	world_after(RESTART_MS, restart, GINT_TO_POINTER(holder));
}

static void on_start(const world_run_t *run)
{
	int32_t occurrence = run->task[strlen(TIMED_ID) + 1] - '0';

	if (!trouble || occurrence != stops ||
	    strncmp(run->task, TIMED_ID, strlen(TIMED_ID)) != 0)
		return;
	stops++;
	world_after(occurrence == 0 ? STOP_AFTER_MS : LATE_STOP_AFTER_MS,
		    stop_holder, NULL);
}

static void on_accepted(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	accepted += status == 200;
}

static void submit(const char *id, const char *times)
{
	char *path = g_strconcat(WORLD_PREFIX, id, NULL);
	char *body =
		g_strdup_printf("{\"spec\":\"work of "
				"%s\",\"phases\":[{\"count\":4,\"cpu\":1000,"
				"\"memMb\":256,\"estimateMs\":%d}]%s}",
				id, TASK_MS, times);

	world_call(1, "POST", path, body, on_accepted, NULL);
	g_free(body);
	g_free(path);
}

static void submit_plain(void *data)
{
	(void)data;
	submit(PLAIN_ID, "");
}

static void submit_timed(void)
{
	int64_t first = world_wall_ms() + FIRST_AFTER_MS;
	char *times = g_strdup_printf(
		",\"repeatCount\":%d,\"firstMs\":%" G_GINT64_FORMAT
		",\"intervalMs\":%d",
		TIMES, first, INTERVAL_MS);

	submit(TIMED_ID, times);
	g_free(times);
	/* so that both jobs are at work when the process is stopped */
	world_after(FIRST_AFTER_MS, submit_plain, NULL);
}

static void ask_ready(void *data);

static void on_ready(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	if (status == 200 && ++ready == PROCS) {
		submit_timed();
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
	world_record("timed jobs: a process is stopped and started again: %s",
		     trouble ? "yes" : "no");
	world_on_start(on_start);
	for (int32_t i = 0; i < PROCS; i++)
		world_start_proc(i);
	world_after(1000, ask_ready, NULL);
	world_after(END_MS, finish, NULL);
	world_run();
	return world_exit_code();
}
