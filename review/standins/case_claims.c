/*
 * While the store is slow, all processes are killed at once and start again. Both
 * the one that led and the one that the group names claim the shard. Later the one
 * that leads is removed for good (SIGTERM): the jobs that were accepted have to be
 * known, and new ones have to be taken, at the machines that are left.
 *
 * It depends on the order of two claims whether one process is left behind. So the
 * same is done again, with the removed machine back, until the time is over.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define PROCS 3
#define MINIONS 4
#define TASK_MS 500
#define SLOW_MS 160 /* 40 times as long as the 4 ms of an answer */
#define KILL_MS 300
#define RESTART_MS 300 /* after the kill; the others a little later */
#define SLOW_FOR_MS 3000
#define CALM_MS 1000
#define ASK_EVERY_MS 250
#define RECOVER_MS 12000
#define PRESS_MS 14000
#define FINISH_MS 14000 /* finish_s, after the end of the traffic */
#define LAST_ATTEMPT_MS 76000

static bool trouble;
static int32_t ready;
static int32_t attempt;
static int32_t removed = -1;
static int64_t removed_ms;
static int32_t jobs;
static int32_t served; /* since the removal */
static int32_t late_asked; /* later than recoverS after it */
static int32_t late_served;
static int32_t states_asked;
static int32_t states_answered;
static bool watching;

static void begin_attempt(void *data);
static void ask_ready(void *data);

static void submit(int32_t proc, world_answered_t done, void *data)
{
	char *path = g_strdup_printf(WORLD_PREFIX "%016x", 0xd000 + jobs++);

	world_call(proc, "POST", path,
		   "{\"spec\":\"work\",\"phases\":[{\"count\":2,\"cpu\":1000,"
		   "\"memMb\":256,\"estimateMs\":500}]}",
		   done, data);
	g_free(path);
}

static int32_t other_proc(int32_t not_this, int32_t number)
{
	int32_t proc = number % PROCS;

	return proc == not_this ? (proc + 1) % PROCS : proc;
}

static void start_removed(void *data)
{
	(void)data;
	if (world_proc_is_up(removed)) {
		world_after(100, start_removed, NULL);
		return;
	}
	world_start_proc(removed);
	removed = -1;
	ready = 0;
	world_after(300, ask_ready, NULL);
}

static void on_last_state(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	states_answered += status == 200 || status == 410;
}

static void judge(void *data)
{
	(void)data;
	world_record(
		"check RECOVER: later than 12 s after the removal %d calls, "
		"%d served",
		late_asked, late_served);
	world_record(
		"check LOST: asked %d times for an accepted job, %d answers",
		states_asked, states_answered);
	world_finish(states_answered == 0 && late_served * 4 < late_asked ? 1
									  : 0);
}

static void ask_states(void *data)
{
	int32_t left = GPOINTER_TO_INT(data);

	states_asked++;
	/* the first job was accepted and run before any disruption */
	world_call(other_proc(removed, left), "GET",
		   WORLD_PREFIX "000000000000d000", NULL, on_last_state, NULL);
	if (left > 0)
		world_after(300, ask_states, GINT_TO_POINTER(left - 1));
	else
		world_after(3500, judge, NULL);
}

static void on_served(int32_t status, const char *body, void *data)
{
	bool late = GPOINTER_TO_INT(data) != 0;

	(void)body;
	if (status != 200)
		return;
	served++;
	late_served += late;
	if (!watching || late)
		return;
	watching = false;
	world_record("attempt %d: a job is taken %d ms after the removal began",
		     attempt, (int)(world_now_ms() - removed_ms));
	if (world_now_ms() > LAST_ATTEMPT_MS)
		world_finish(0);
	else
		start_removed(NULL);
}

static void press(void *data)
{
	int64_t since = world_now_ms() - removed_ms;
	bool late = since > RECOVER_MS;

	(void)data;
	if (!watching)
		return;
	if (since > PRESS_MS) {
		watching = false;
		world_record("the traffic ends");
		world_after(FINISH_MS, ask_states, GINT_TO_POINTER(5));
		return;
	}
	late_asked += late;
	submit(other_proc(removed, jobs), on_served, GINT_TO_POINTER(late));
	world_after(ASK_EVERY_MS, press, NULL);
}

static void remove_holder(void *data)
{
	(void)data;
	removed = world_holder();
	if (removed < 0) {
		world_finish(2);
		return;
	}
	removed_ms = world_now_ms();
	watching = true;
	world_record("attempt %d: process %d leads and is removed, the group "
		     "names process %d",
		     attempt, removed + 1, world_assigned() + 1);
	world_signal_proc(removed, SIGTERM);
	world_after(ASK_EVERY_MS, press, NULL);
}

static void end_slow(void *data)
{
	(void)data;
	if (trouble)
		world_set_store_delay(0);
	world_after(CALM_MS, remove_holder, NULL);
}

static void restart(void *data)
{
	world_start_proc(GPOINTER_TO_INT(data));
}

static void kill_all(void *data)
{
	int32_t holder = world_holder();
	int32_t assigned = world_assigned();

	(void)data;
	if (holder < 0) {
		world_finish(2);
		return;
	}
	for (int32_t i = 0; i < PROCS; i++)
		world_signal_proc(i, SIGKILL);
	/* in any order, as on the platform: here the one that led comes last */
	for (int32_t i = 0; i < PROCS; i++)
		world_after(RESTART_MS + (i == holder	  ? 120
					  : i == assigned ? 0
							  : 30),
			    restart, GINT_TO_POINTER(i));
}

static void begin_attempt(void *data)
{
	(void)data;
	attempt++;
	world_record("attempt %d: process %d leads, the group names process %d",
		     attempt, world_holder() + 1, world_assigned() + 1);
	submit(other_proc(-1, attempt), NULL, NULL);
	if (trouble) {
		world_set_store_delay(SLOW_MS);
		world_after(KILL_MS, kill_all, NULL);
	}
	world_after(SLOW_FOR_MS, end_slow, NULL);
}

static void on_ready(int32_t status, const char *body, void *data)
{
	(void)body;
	(void)data;
	if (status == 200 && ++ready == PROCS) {
		/* time for the group to deal the partitions */
		world_after(1200, begin_attempt, NULL);
		return;
	}
	world_after(100, ask_ready, NULL);
}

static void ask_ready(void *data)
{
	(void)data;
	world_call(ready, "GET", "/waxwinghollow/readyz", NULL, on_ready, NULL);
}

static void start_others(void *data)
{
	(void)data;
	world_start_proc(1);
	world_start_proc(2);
	world_after(300, ask_ready, NULL);
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
	world_record("two claims at once: %s", trouble ? "yes" : "no");
	world_start_proc(0);
	world_after(280, start_others, NULL);
	world_run();
	return world_exit_code();
}
