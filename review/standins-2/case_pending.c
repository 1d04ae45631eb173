/*
 * All minions but one are full. That one is unhealthy for some seconds: it
 * answers starts with 503 and has then done nothing. MIXED: of the jobs that wait
 * and haven't begun, the queue's "pending" says that there are none.
 */
#include "deployment.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROCS 3
#define MINIONS 10
#define SICK (MINIONS - 1)
#define PER_MINION 8
#define LONG_JOBS (MINIONS - 1)
#define BEGIN_MS 6000
#define SICK_MS 8000
#define SICK_FOR_MS 6500
#define JOBS_MS 8200
#define JOBS PER_MINION
#define VISIBLE_MS 3000
#define MARGIN_MS 2000
#define ASK_EVERY_MS 100
#define END_MS 30000

typedef struct {
	char id[17];
	char *body;
	int64_t accepted_ms; /* 0: not accepted */
} job_t;

static job_t jobs[LONG_JOBS + JOBS];
static int32_t count;
static int32_t wrong;
static int32_t most_waiting;
static int32_t answers;

static bool has_begun(const job_t *job)
{
	for (guint i = 0; i < dep_runs()->len; i++) {
		const dep_run_t *run = g_ptr_array_index(dep_runs(), i);

		if (strcmp(run->job, job->id) == 0)
			return true;
	}
	return false;
}

/* Accepted over visible_ms + 2 s before at_ms, and not begun. */
static int32_t count_waiting(int64_t at_ms)
{
	int32_t waiting = 0;

	for (int32_t i = 0; i < count; i++)
		waiting +=
			jobs[i].accepted_ms != 0 &&
			jobs[i].accepted_ms + VISIBLE_MS + MARGIN_MS < at_ms &&
			!has_begun(&jobs[i]);
	return waiting;
}

static void on_submitted(int32_t status, const char *body, void *data)
{
	job_t *job = data;

	(void)body;
	if (status == 200)
		job->accepted_ms = dep_now_ms();
	dep_record("POST %s is answered %d", job->id, status);
}

static void submit(const char *body)
{
	job_t *job = &jobs[count];
	char *path;

	g_snprintf(job->id, sizeof(job->id), "%016x", 0x4000 + count);
	job->body = g_strdup(body);
	path = g_strconcat(DEP_PREFIX, job->id, NULL);
	dep_call(count % PROCS, "POST", path, job->body, 3000, on_submitted,
		 job);
	g_free(path);
	count++;
}

static void fill_minions(void *data)
{
	char *body = g_strdup_printf(
		"{\"spec\":\"long\",\"phases\":[{\"count\":%d,\"cpu\":3800,"
		"\"memMb\":256,\"estimateMs\":60000,\"antiAffinity\":%d}]}",
		PER_MINION, PER_MINION);

	(void)data;
	for (int32_t i = 0; i < LONG_JOBS; i++)
		submit(body);
	g_free(body);
}

static void submit_jobs(void *data)
{
	(void)data;
	for (int32_t i = 0; i < JOBS; i++)
		submit("{\"spec\":\"quote\",\"phases\":[{\"count\":1,"
		       "\"cpu\":3800,\"memMb\":256,\"estimateMs\":1700}]}");
}

static void fall_sick(void *data)
{
	(void)data;
	if (dep_has_trouble())
		dep_set_shedding(SICK, true);
}

static void recover(void *data)
{
	(void)data;
	if (dep_has_trouble())
		dep_set_shedding(SICK, false);
}

/* Only jobs that wait when the question is sent and when it is answered count. */
static void on_pending(int32_t status, const char *body, void *data)
{
	int32_t waiting =
		MIN(GPOINTER_TO_INT(data), count_waiting(dep_now_ms()));
	const char *at = strstr(body, "\"pending\":");
	int32_t pending;

	if (status != 200 || at == NULL)
		return;
	answers++;
	pending = atoi(at + strlen("\"pending\":"));
	most_waiting = MAX(most_waiting, waiting);
	if (2 * pending >= waiting)
		return;
	if (wrong++ < 5)
		dep_record("GET " DEP_PREFIX " is answered %d pending, where "
			   "%d jobs were accepted over %d ms before and "
			   "haven't begun",
			   pending, waiting, VISIBLE_MS + MARGIN_MS);
}

static void ask(void *data)
{
	static int32_t asked;

	(void)data;
	dep_call(asked++ % PROCS, "GET", DEP_PREFIX, NULL, 3000, on_pending,
		 GINT_TO_POINTER(count_waiting(dep_now_ms())));
	dep_after(ASK_EVERY_MS, ask, NULL);
}

static void report(void *data)
{
	(void)data;
	dep_record(
		"%d answers, %d of them wrong; at most %d jobs waited so long",
		answers, wrong, most_waiting);
	dep_record("MIXED: %s", wrong > 0 ? "broken" : "kept");
	dep_finish(answers == 0 ? 2 : wrong > 0);
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
	dep_after(BEGIN_MS, fill_minions, NULL);
	dep_after(SICK_MS, fall_sick, NULL);
	dep_after(SICK_MS + SICK_FOR_MS, recover, NULL);
	dep_after(JOBS_MS, submit_jobs, NULL);
	dep_after(JOBS_MS, ask, NULL);
	dep_after(END_MS, report, NULL);
	dep_loop();
	return dep_exit_code();
}
