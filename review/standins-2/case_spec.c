/*
 * Clients hand in jobs whose spec has the character U+0000, which a text of JSON
 * may have. UNASKED: minions are told to start tasks with another spec.
 */
#include "deployment.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROCS 3
#define MINIONS 3
#define JOBS 6
#define BEGIN_MS 6000
#define EVERY_MS 300
#define END_MS 14000

typedef struct {
	char id[17];
	char *body;
	int32_t status;
} job_t;

static job_t jobs[JOBS];
static int32_t sent;

static void on_submitted(int32_t status, const char *body, void *data)
{
	job_t *job = data;

	(void)body;
	job->status = status;
	dep_record("POST %s is answered %d", job->id, status);
}

static void submit_next(void *data)
{
	job_t *job = &jobs[sent];
	char *path;

	(void)data;
	g_snprintf(job->id, sizeof(job->id), "%016x", 0x3000 + sent);
	job->body = g_strdup_printf(
		"{\"spec\":\"plat 17%slot %d\",\"phases\":[{\"count\":1,"
		"\"cpu\":2300,\"memMb\":256,\"estimateMs\":800}]}",
		dep_has_trouble() ? "\\u0000" : "\\u0020", sent);
	dep_record("a client sends POST %s %s", job->id, job->body);
	path = g_strconcat(DEP_PREFIX, job->id, NULL);
	dep_call(sent % PROCS, "POST", path, job->body, 3000, on_submitted,
		 job);
	g_free(path);
	if (++sent < JOBS)
		dep_after(EVERY_MS, submit_next, NULL);
}

static void report(void *data)
{
	int32_t wrong = 0;
	int32_t starts = 0;

	(void)data;
	for (guint i = 0; i < dep_runs()->len; i++) {
		const dep_run_t *run = g_ptr_array_index(dep_runs(), i);

		for (int32_t k = 0; k < JOBS; k++) {
			char *end;

			if (strcmp(run->job, jobs[k].id) != 0)
				continue;
			starts++;
			end = g_strdup_printf("lot %d\"", k);
			if (strstr(run->order, end) == NULL) {
				wrong++;
				dep_record("the order without the end of the "
					   "spec: %s",
					   run->order);
			}
			g_free(end);
		}
	}
	dep_record("%d starts, %d of them with another spec", starts, wrong);
	dep_record("UNASKED: %s", wrong > 0 ? "broken" : "kept");
	/* a job that was refused is none that was started with another spec */
	dep_finish(starts == 0 && jobs[0].status == 0 ? 2 : wrong > 0);
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
	dep_after(END_MS, report, NULL);
	dep_loop();
	return dep_exit_code();
}
