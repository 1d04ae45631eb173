/*
 * A lasting task that needs a whole minion waits for room, as each minion has some
 * work that lasts. Beside it small jobs come and go. One minion crashes. LOST:
 * finish_s after the end of the traffic, jobs that had just been started there
 * still have nothing running, though nearly all is free.
 */
#include "deployment.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROCS 3
#define MINIONS 8
#define BEGIN_MS 6000
#define WIDE_MS 9000
#define TRAFFIC_MS 10000
#define CRASH_MS 20000
#define DOWN_MS 3500
#define TRAFFIC_END_MS 26000
#define SUBMIT_EVERY_MS 50
#define MAX_JOBS 400
#define CALM_MS 3000
#define LASTING_ID "00000000000a1a57"
#define WIDE_ID "0000000000001a1e"

typedef struct {
	char id[17];
	int32_t attempts;
	int64_t accepted_ms; /* 0: not accepted */
	int64_t idle_since_ms;
	int64_t longest_idle_ms;
	char state[16];
	int32_t done; /* tasks */
} job_t;

static job_t jobs[MAX_JOBS];
static int32_t count;
static job_t lasting = { .id = LASTING_ID };
static job_t wide = { .id = WIDE_ID };

static const char *body_of(const job_t *job)
{
	if (job == &lasting)
		return "{\"spec\":\"lasts\",\"phases\":[{\"count\":8,"
		       "\"cpu\":1000,\"memMb\":512,\"estimateMs\":900,"
		       "\"longRunning\":true,\"antiAffinity\":1}]}";
	if (job == &wide)
		return "{\"spec\":\"wide\",\"phases\":[{\"count\":1,"
		       "\"cpu\":32000,\"memMb\":512,\"estimateMs\":900,"
		       "\"longRunning\":true}]}";
	return "{\"spec\":\"check\",\"phases\":[{\"count\":1,\"cpu\":2300,"
	       "\"memMb\":256,\"estimateMs\":800}]}";
}

static void submit(void *data);

static void on_submitted(int32_t status, const char *body, void *data)
{
	job_t *job = data;

	(void)body;
	if (status == 200)
		job->accepted_ms = dep_now_ms();
	else
		dep_record("POST %s is answered %d", job->id, status);
	if (status != 200 && ++job->attempts < 4)
		dep_after(1000, submit, job);
}

static void submit(void *data)
{
	job_t *job = data;
	char *path = g_strconcat(DEP_PREFIX, job->id, NULL);

	dep_call((job->id[15] + job->attempts) % PROCS, "POST", path,
		 body_of(job), 3000, on_submitted, job);
	g_free(path);
}

static void submit_next(void *data)
{
	job_t *job = &jobs[count];

	(void)data;
	if (dep_now_ms() > TRAFFIC_END_MS || count == MAX_JOBS)
		return;
	g_snprintf(job->id, sizeof(job->id), "%016x", 0x5000 + count++);
	submit(job);
	dep_after(SUBMIT_EVERY_MS, submit_next, NULL);
}

static void crash(void *data)
{
	(void)data;
	if (dep_has_trouble())
		dep_crash_minion(0, DOWN_MS, false);
}

static int32_t count_done(const char *id)
{
	int32_t done = 0;

	for (guint i = 0; i < dep_runs()->len; i++) {
		const dep_run_t *run = g_ptr_array_index(dep_runs(), i);

		done += strcmp(run->job, id) == 0 &&
			g_strcmp0(run->how, "done") == 0;
	}
	return done;
}

/* Room in use, in thousandths of a core. */
static int64_t used(void)
{
	int64_t cpu = 0;

	for (guint i = 0; i < dep_runs()->len; i++) {
		const dep_run_t *run = g_ptr_array_index(dep_runs(), i);

		cpu += run->how == NULL ? run->cpu : 0;
	}
	return cpu;
}

static void watch(void *data)
{
	int64_t now = dep_now_ms();
	bool has_room = used() < MINIONS * DEP_MINION_CPU / 2;

	(void)data;
	for (int32_t i = 0; i < count; i++) {
		job_t *job = &jobs[i];

		if (job->accepted_ms == 0 || !has_room ||
		    now < TRAFFIC_END_MS + DEP_FINISH_MS ||
		    dep_running_of(job->id) > 0 || count_done(job->id) > 0) {
			job->idle_since_ms = 0;
			continue;
		}
		if (job->idle_since_ms == 0)
			job->idle_since_ms = now;
		job->longest_idle_ms =
			MAX(job->longest_idle_ms, now - job->idle_since_ms);
	}
	dep_after(100, watch, NULL);
}

static void on_asked(int32_t status, const char *body, void *data)
{
	job_t *job = data;

	dep_record("GET %s is answered %d %s", job->id, status, body);
}

static void ask(void *data)
{
	(void)data;
	for (int32_t i = 0; i < count; i++) {
		char *path = g_strconcat(DEP_PREFIX, jobs[i].id, NULL);

		if (jobs[i].accepted_ms != 0 && count_done(jobs[i].id) == 0)
			dep_call(i % PROCS, "GET", path, NULL, 3000, on_asked,
				 &jobs[i]);
		g_free(path);
	}
}

static void report(void *data)
{
	int32_t accepted = 0;
	int32_t done = 0;
	int32_t stuck = 0;

	(void)data;
	for (int32_t i = 0; i < count; i++) {
		const job_t *job = &jobs[i];

		accepted += job->accepted_ms != 0;
		done += count_done(job->id) > 0;
		if (job->longest_idle_ms < CALM_MS)
			continue;
		stuck++;
		for (guint k = 0; k < dep_runs()->len; k++) {
			const dep_run_t *run = g_ptr_array_index(dep_runs(), k);

			if (strcmp(run->job, job->id) == 0)
				dep_record(
					"job %s was accepted at %.3f s; its "
					"run %" PRId64
					" from %.3f to %.3f s: %s",
					job->id,
					(double)job->accepted_ms / 1000,
					run->run, (double)run->begun_ms / 1000,
					(double)run->ended_ms / 1000, run->how);
		}
		dep_record("job %s has had nothing running for %.1f s on end, "
			   "with %" PRId64 " of %d cores in use",
			   job->id, (double)job->longest_idle_ms / 1000,
			   used() / 1000, MINIONS * DEP_MINION_CPU / 1000);
	}
	dep_record("%d jobs were sent, %d accepted, %d done, %d stuck", count,
		   accepted, done, stuck);
	dep_record("LOST: %s", stuck > 0 ? "broken" : "kept");
	dep_finish(accepted == 0 ? 2 : stuck > 0);
}

static void submit_job(void *data)
{
	submit(data);
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
	dep_after(BEGIN_MS, submit_job, &lasting);
	dep_after(WIDE_MS, submit_job, &wide);
	dep_after(TRAFFIC_MS, submit_next, NULL);
	dep_after(CRASH_MS, crash, NULL);
	dep_after(TRAFFIC_MS, watch, NULL);
	dep_after(TRAFFIC_END_MS + DEP_FINISH_MS + 3500, ask, NULL);
	dep_after(TRAFFIC_END_MS + DEP_FINISH_MS + 5000, report, NULL);
	dep_loop();
	return dep_exit_code();
}
