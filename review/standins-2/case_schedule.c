/*
 * A client hands in a schedule of which many times are due already, beside the
 * jobs of other clients. LOST: finish_s after the end of the traffic the schedule
 * has nothing running for 3 s, while its tasks' turn has come and all is free.
 */
#include "deployment.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROCS 3
#define MINIONS 4
#define SETTLED_MS 5000
#define SCHEDULE_MS 10000
#define TRAFFIC_END_MS 40000
#define SUBMIT_EVERY_MS 250
#define SCHEDULE_ID "5c0e7a21d94b36f8"
/* A schedule of three days, each minute, handed in as two days are over. */
#define INTERVAL_MS 60000
#define REPEATS (3 * 24 * 60)
#define DUE_TIMES (2 * 24 * 60)
#define STEPS 20
#define CALM_MS 3000

typedef struct {
	char id[17];
	char *body;
	int32_t attempts;
	bool accepted;
	bool rejected;
	int64_t accepted_ms;
	char state[16];
} job_t;

static GPtrArray *jobs;
static job_t schedule = { .id = SCHEDULE_ID };
static int64_t idle_since_ms;
static int64_t longest_idle_ms;
static int32_t unanswered;
static int32_t asked;
static int32_t open_questions;

static const char *path_of(const char *id)
{
	static char path[64];

	g_snprintf(path, sizeof(path), DEP_PREFIX "%s", id);
	return path;
}

static void submit(void *data);

static void on_submitted(int32_t status, const char *body, void *data)
{
	job_t *job = data;

	(void)body;
	if (status == 200) {
		job->accepted = true;
		job->accepted_ms = dep_now_ms();
	}
	if (job == &schedule || status != 200)
		dep_record("POST %s is answered %d", job->id, status);
	if (status != 200 && ++job->attempts < 4)
		dep_after(1000, submit, job);
}

static void submit(void *data)
{
	job_t *job = data;

	dep_call((job->id[15] + job->attempts) % PROCS, "POST",
		 path_of(job->id), job->body, 3000, on_submitted, job);
}

static void submit_next(void *data)
{
	job_t *job = g_new0(job_t, 1);

	(void)data;
	if (dep_now_ms() > TRAFFIC_END_MS)
		return;
	g_snprintf(job->id, sizeof(job->id), "%016x", 0x1000 + jobs->len);
	job->body = g_strdup("{\"spec\":\"small\",\"phases\":[{\"count\":2,"
			     "\"cpu\":1000,\"memMb\":64,\"estimateMs\":400},{"
			     "\"count\":2,\"cpu\":1000,\"memMb\":64,"
			     "\"estimateMs\":400,\"dependsOn\":[0]}]}");
	g_ptr_array_add(jobs, job);
	submit(job);
	dep_after(SUBMIT_EVERY_MS, submit_next, NULL);
}

static void submit_schedule(void *data)
{
	GString *text;

	(void)data;
	if (!dep_has_trouble())
		return;
	text = g_string_new(NULL);
	g_string_printf(text,
			"{\"spec\":\"each minute\",\"repeatCount\":%d,"
			"\"firstMs\":%" PRId64 ",\"intervalMs\":%d,"
			"\"phases\":[",
			REPEATS,
			dep_wall_ms() - (int64_t)DUE_TIMES * INTERVAL_MS,
			INTERVAL_MS);
	for (int32_t i = 0; i < STEPS; i++) {
		g_string_append(text, i == 0 ? "{" : ",{");
		if (i > 0)
			g_string_append_printf(text, "\"dependsOn\":[%d],",
					       i - 1);
		g_string_append(text, "\"count\":1,\"cpu\":500,\"memMb\":64,"
				      "\"estimateMs\":200}");
	}
	g_string_append(text, "]}");
	schedule.body = g_string_free(text, FALSE);
	dep_record("a client hands in the schedule: %s", schedule.body);
	submit(&schedule);
}

static void on_asked(int32_t status, const char *body, void *data)
{
	job_t *job = data;
	const char *at = strstr(body, "\"state\":\"");

	open_questions--;
	if (status == 200 && at != NULL)
		g_snprintf(job->state, sizeof(job->state), "%.*s",
			   (int)strcspn(at + 9, "\""), at + 9);
	else
		g_snprintf(job->state, sizeof(job->state), "%d", status);
	unanswered += status != 200;
}

static void ask_all(void *data)
{
	(void)data;
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = g_ptr_array_index(jobs, i);

		if (!job->accepted)
			continue;
		asked++;
		open_questions++;
		dep_call((int32_t)i % PROCS, "GET", path_of(job->id), NULL,
			 5000, on_asked, job);
	}
}

/* More times of the schedule are due than can have run. Whether nothing of the schedule runs, and under half of the room is in use. */
static void watch(void *data)
{
	int64_t now = dep_now_ms();
	bool idle = schedule.accepted && dep_running_of(SCHEDULE_ID) == 0 &&
		    dep_running() * 1000 < MINIONS * DEP_MINION_CPU / 2;

	(void)data;
	if (!idle || now < TRAFFIC_END_MS + DEP_FINISH_MS) {
		idle_since_ms = 0;
	} else {
		if (idle_since_ms == 0)
			idle_since_ms = now;
		longest_idle_ms = MAX(longest_idle_ms, now - idle_since_ms);
	}
	dep_after(20, watch, NULL);
}

static void report(void *data)
{
	int32_t done = 0;
	int32_t accepted = 0;
	int32_t open = 0;
	int32_t of_schedule = 0;
	bool broken;

	(void)data;
	for (guint i = 0; i < jobs->len; i++) {
		const job_t *job = g_ptr_array_index(jobs, i);

		accepted += job->accepted;
		done += strcmp(job->state, "completed") == 0;
		if (job->accepted && strcmp(job->state, "completed") != 0 &&
		    open++ < 8)
			dep_record("job %s, accepted at %.3f s, is shown as %s",
				   job->id, (double)job->accepted_ms / 1000,
				   job->state);
	}
	for (guint i = 0; i < dep_runs()->len; i++) {
		const dep_run_t *run = g_ptr_array_index(dep_runs(), i);

		of_schedule += strcmp(run->job, SCHEDULE_ID) == 0 &&
			       g_strcmp0(run->how, "done") == 0;
	}
	dep_record(
		"%u small jobs were sent, %d accepted, %d of these are shown "
		"as completed, %d not; %d questions of %d got no state",
		jobs->len, accepted, done, open, unanswered, asked);
	dep_record("%d runs of the schedule ended done; %d appends were "
		   "rejected for the size of a record; %d processes ended by "
		   "themselves; memory %" PRId64 ", %" PRId64 ", %" PRId64
		   " MB",
		   of_schedule, dep_oversized_appends(), dep_own_ends(),
		   dep_memory_mb(0), dep_memory_mb(1), dep_memory_mb(2));
	dep_record(
		"from %d s after the end of the traffic on, the schedule "
		"has had nothing running for %.1f s on end, with room for it",
		DEP_FINISH_MS / 1000, (double)longest_idle_ms / 1000);
	broken = longest_idle_ms >= CALM_MS;
	dep_record("LOST: %s", broken ? "broken" : "kept");
	dep_finish(accepted == 0 ? 2 : broken);
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
	jobs = g_ptr_array_new();
	dep_init(&options);
	dep_after(SETTLED_MS, submit_next, NULL);
	dep_after(SCHEDULE_MS, submit_schedule, NULL);
	dep_after(SCHEDULE_MS, watch, NULL);
	dep_after(TRAFFIC_END_MS + DEP_FINISH_MS, ask_all, NULL);
	dep_after(TRAFFIC_END_MS + DEP_FINISH_MS + 8000, report, NULL);
	dep_loop();
	return dep_exit_code();
}
