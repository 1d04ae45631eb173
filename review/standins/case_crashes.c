/*
 * A job whose tasks last. The minion that has begun its first task half a second ago
 * crashes, and so does the one on which that task is started next, three at most.
 */
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define JOB_ID "00000000000000a1"
#define CRASH_TASK JOB_ID ".0.0.0"
#define PROCS 3
#define MINIONS 20
#define ESTIMATE_MS 2000
#define TASKS 4
#define MAY_MISS 1
#define NOTICE_MS 4500
#define CRASH_AFTER_MS 500
#define DOWN_MS 4000
#define CRASHES 3 /* at most */
#define SUBMIT_MS 4000
#define ASK_MS 20000
#define END_MS 24000

static bool trouble;
static int32_t ready;
static bool accepted;
static int32_t crashes;
static int32_t failed_ends;
static char *state; /* as the client was told; NULL: no answer */

/* At work at that moment, but for a stop that ends it then. */
static bool is_at_work(const world_run_t *run, int64_t at_ms)
{
	return run->begun_ms + WORLD_STARTUP_MS <= at_ms &&
	       (run->how == NULL || run->ended_ms >= at_ms);
}

static bool is_stopped(const world_run_t *run)
{
	return run->how != NULL && strcmp(run->how, "stopped") == 0;
}

/*
 * Whether the task was away when the stop of the run numbered before took effect: ended
 * by a stop, or not at work for NOTICE_MS. Stops that take effect in the same
 * millisecond count one after the other.
 */
static bool is_away(const char *task, int64_t at_ms, guint before)
{
	int64_t since = 1;

	for (guint i = 0; i < world_runs()->len; i++) {
		const world_run_t *run = g_ptr_array_index(world_runs(), i);
		bool earlier = run->ended_ms < at_ms ||
			       (run->ended_ms == at_ms && i < before);

		if (strcmp(run->task, task) != 0)
			continue;
		if (is_stopped(run) && earlier)
			return true;
		if (is_at_work(run, at_ms))
			return false;
		if (run->ended_ms >= run->begun_ms + WORLD_STARTUP_MS)
			since = MAX(since, run->ended_ms);
	}
	return at_ms - since >= NOTICE_MS;
}

/* AVAIL: a stop ends a task that is at work while MAY_MISS others are away. */
static int32_t check_avail(void)
{
	int32_t broken = 0;

	for (guint i = 0; i < world_runs()->len; i++) {
		const world_run_t *run = g_ptr_array_index(world_runs(), i);
		int32_t away = 0;

		if (!is_stopped(run) || !is_at_work(run, run->ended_ms))
			continue;
		for (int32_t k = 0; k < TASKS; k++) {
			char *other = g_strdup_printf("%s.0.0.%d", JOB_ID, k);

			away += strcmp(other, run->task) != 0 &&
				is_away(other, run->ended_ms, i);
			g_free(other);
		}
		if (away < MAY_MISS)
			continue;
		broken++;
		world_record("AVAIL: %s, at work on %s since "
			     "%" G_GINT64_FORMAT " ms, is ended by a stop at "
			     "%" G_GINT64_FORMAT " ms; %d others are away",
			     run->task, run->life,
			     run->begun_ms + WORLD_STARTUP_MS, run->ended_ms,
			     away);
	}
	return broken;
}

/* LOST: shown as failed, though no task of it has ended so. */
static int32_t check_lost(void)
{
	if (state == NULL || strstr(state, "failed") == NULL || failed_ends > 0)
		return 0;
	world_record("LOST: %s is shown as %s, and no task of it has ended "
		     "failed",
		     JOB_ID, state);
	return 1;
}

/* The tasks that run when the script ends. */
static int32_t count_running(void)
{
	int32_t count = 0;

	for (guint i = 0; i < world_runs()->len; i++) {
		const world_run_t *run = g_ptr_array_index(world_runs(), i);

		count += run->how == NULL;
	}
	return count;
}

static void finish(void *data)
{
	int32_t avail = check_avail();
	int32_t lost = check_lost();

	(void)data;
	world_record("check AVAIL: %d; check LOST: %d; %d crashes, %d tasks of "
		     "%d run",
		     avail, lost, crashes, count_running(), TASKS);
	if (!accepted || state == NULL)
		world_finish(2);
	else
		world_finish(avail > 0 || lost > 0 ? 1 : 0);
}

static void start_again(void *data)
{
	world_start_minion(GPOINTER_TO_INT(data), false);
}

static void crash(void *data)
{
	world_crash_minion(GPOINTER_TO_INT(data), false);
	world_after(DOWN_MS, start_again, data);
}

static void on_start(const world_run_t *run)
{
	if (!trouble || strcmp(run->task, CRASH_TASK) != 0 ||
	    crashes == CRASHES)
		return;
	crashes++;
	world_after(CRASH_AFTER_MS, crash, GINT_TO_POINTER(run->minion));
}

static void on_end(const world_run_t *run)
{
	failed_ends += strcmp(run->how, "failed") == 0;
}

static void on_accepted(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	accepted = status == 200;
}

static void submit(void *data)
{
	char *body = g_strdup_printf(
		"{\"spec\":\"work of %s\",\"phases\":[{\"count\":%d,"
		"\"cpu\":1000,\"memMb\":256,\"estimateMs\":%d,"
		"\"longRunning\":true,\"antiAffinity\":1,\"mayMiss\":%d}]}",
		JOB_ID, TASKS, ESTIMATE_MS, MAY_MISS);

	(void)data;
	world_call(1, "POST", WORLD_PREFIX JOB_ID, body, on_accepted, NULL);
	g_free(body);
}

static void on_state(int32_t status, const char *body, void *data)
{
	(void)data;
	if (status == 200)
		state = g_strdup(body);
}

static void ask_state(void *data)
{
	(void)data;
	world_call(2, "GET", WORLD_PREFIX JOB_ID, NULL, on_state, NULL);
}

static void ask_ready(void *data);

static void on_ready(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	ready += status == 200;
	if (ready < PROCS)
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
		.task_ms = ESTIMATE_MS,
		.hold_max_ms = 6000,
		.heartbeat_ms = 1500,
		.lasting_id = JOB_ID,
	};

	if (argc != 2)
		return 2;
	trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	world_init(&options, argv[1]);
	world_record("minions crash under a task that lasts: %s",
		     trouble ? "yes" : "no");
	world_on_start(on_start);
	world_on_end(on_end);
	for (int32_t i = 0; i < PROCS; i++)
		world_start_proc(i);
	world_after(1000, ask_ready, NULL);
	world_after(SUBMIT_MS, submit, NULL);
	world_after(ASK_MS, ask_state, NULL);
	world_after(END_MS, finish, NULL);
	world_run();
	return world_exit_code();
}
