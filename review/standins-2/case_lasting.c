/*
 * A service runs jobs that last, and nothing else. Each of their tasks fails once
 * a minute on average, by its own fault, as tasks that last may. LOST: tasks have
 * nothing running for 3 s, from 6 s after their last run on, though nearly all of
 * the service is free and nothing is disturbed.
 */
#include "deployment.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROCS 3
#define MINIONS 4
#define JOBS 8
#define TASKS 5
#define BEGIN_MS 6000
#define FAILURES_MS 15000
#define MEAN_RUN_MS 60000
#define LEAST_RUN_MS 5000
#define AFTER_RUN_MS 6000
#define WITHOUT_MS 3000
#define END_MS 95000

typedef struct {
	char id[17];
	int32_t attempts;
	int64_t accepted_ms; /* 0: not accepted */
} job_t;

typedef struct {
	int64_t idle_since_ms; /* 0: it runs */
	bool late;
} task_t;

static job_t jobs[JOBS];
static task_t tasks[JOBS][TASKS];
static int32_t count;
static int32_t failures;
static int32_t late;
static int64_t longest_ms;
static int32_t least_running = JOBS * TASKS;

static void submit(void *data);

static void on_submitted(int32_t status, const char *body, void *data)
{
	job_t *job = data;

	(void)body;
	dep_record("POST %s is answered %d", job->id, status);
	if (status == 200)
		job->accepted_ms = dep_now_ms();
	else if (++job->attempts < 4)
		dep_after(1000, submit, job);
}

static void submit(void *data)
{
	job_t *job = data;
	char *path = g_strconcat(DEP_PREFIX, job->id, NULL);

	dep_call((job->id[15] + job->attempts) % PROCS, "POST", path,
		 "{\"spec\":\"keep\",\"phases\":[{\"count\":5,\"cpu\":1000,"
		 "\"memMb\":512,\"estimateMs\":900,\"longRunning\":true,"
		 "\"mayMiss\":1}]}",
		 3000, on_submitted, job);
	g_free(path);
}

static void submit_next(void *data)
{
	job_t *job = &jobs[count];

	(void)data;
	g_snprintf(job->id, sizeof(job->id), "%016x", 0x6000 + count++);
	submit(job);
	if (count < JOBS)
		dep_after(300, submit_next, NULL);
}

/* The one that has run for longest fails. */
static void fail_one(void *data)
{
	dep_run_t *oldest = NULL;

	(void)data;
	for (guint i = 0; i < dep_runs()->len && oldest == NULL; i++) {
		dep_run_t *run = g_ptr_array_index(dep_runs(), i);

		if (run->how == NULL &&
		    dep_now_ms() - run->begun_ms >= LEAST_RUN_MS)
			oldest = run;
	}
	if (oldest != NULL) {
		failures++;
		dep_fail_run(oldest);
		dep_record("%s run %" PRId64 " fails after %.1f s; %d run",
			   oldest->task, oldest->run,
			   (double)(oldest->ended_ms - oldest->begun_ms) / 1000,
			   dep_running());
	}
	dep_after(MEAN_RUN_MS / MAX(dep_running(), 1), fail_one, NULL);
}

static void watch_task(int32_t job, int32_t index)
{
	task_t *task = &tasks[job][index];
	int64_t now = dep_now_ms();
	int64_t last_ms = 0;
	bool running = false;
	char name[64];

	g_snprintf(name, sizeof(name), "%s.0.0.%d", jobs[job].id, index);
	for (guint i = 0; i < dep_runs()->len; i++) {
		const dep_run_t *run = g_ptr_array_index(dep_runs(), i);

		if (strcmp(run->task, name) != 0)
			continue;
		running = running || run->how == NULL;
		last_ms = MAX(last_ms, run->ended_ms);
	}
	if (running || last_ms == 0) {
		task->late = false;
		return;
	}
	longest_ms = MAX(longest_ms, now - last_ms);
	if (now - last_ms < AFTER_RUN_MS + WITHOUT_MS || task->late)
		return;
	task->late = true;
	if (late++ < 10)
		dep_record("%s has had nothing running for %.1f s, with %d of "
			   "%d cores in use",
			   name, (double)(now - last_ms) / 1000, dep_running(),
			   MINIONS * DEP_MINION_CPU / 1000);
}

static void watch(void *data)
{
	(void)data;
	for (int32_t i = 0; i < JOBS; i++) {
		for (int32_t k = 0; k < TASKS; k++)
			watch_task(i, k);
	}
	if (dep_now_ms() > FAILURES_MS)
		least_running = MIN(least_running, dep_running());
	dep_after(100, watch, NULL);
}

static void report(void *data)
{
	int32_t accepted = 0;

	(void)data;
	for (int32_t i = 0; i < JOBS; i++)
		accepted += jobs[i].accepted_ms != 0;
	dep_record(
		"%d of %d jobs were accepted; %d runs failed; %d of %d tasks "
		"run, %d at the least",
		accepted, JOBS, failures, dep_running(), JOBS * TASKS,
		least_running);
	dep_record(
		"%d times a task had nothing running for 3 s, from 6 s after "
		"its last run on; %.1f s after it at the most",
		late, (double)longest_ms / 1000);
	dep_record("LOST: %s", late > 0 ? "broken" : "kept");
	dep_finish(accepted == 0 ? 2 : late > 0);
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
	dep_after(BEGIN_MS, submit_next, NULL);
	dep_after(BEGIN_MS, watch, NULL);
	if (dep_has_trouble())
		dep_after(FAILURES_MS, fail_one, NULL);
	dep_after(END_MS, report, NULL);
	dep_loop();
	return dep_exit_code();
}
