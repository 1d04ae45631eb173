/*
 * A small service with little to do. The minion that runs a client's only task
 * crashes, and so does the one that runs it next. Nothing fails.
 */
#include "world.h"

#include <stdio.h>
#include <string.h>

#define JOBS 4
#define LEAD_MS 4000
#define JOB_EVERY_MS 16000
#define WORK_MS 1700
#define CRASH_AFTER_MIN_MS 300
#define CRASH_AFTER_MAX_MS 900
#define DOWN_MS 300
#define CRASHES_MAX 3
#define RUN_MS 74000

typedef struct {
	world_minion_t *minion;
	int32_t life;
	world_job_t *job;
} crash_t;

static void crash(void *data)
{
	crash_t *crash = data;

	if (crash->minion->up && crash->minion->life == crash->life) {
		crash->job->crashes++;
		world_minion_crash(crash->minion, DOWN_MS);
	}
	g_free(crash);
}

static void on_begun(world_minion_t *minion, world_job_t *job,
		     const world_run_t *run)
{
	crash_t *data;

	(void)run;
	if (!world.trouble || job->crashes >= CRASHES_MAX)
		return;
	data = g_new0(crash_t, 1);
	data->minion = minion;
	data->life = minion->life;
	data->job = job;
	world_after(g_rand_int_range(world.rand, CRASH_AFTER_MIN_MS,
				     CRASH_AFTER_MAX_MS),
		    crash, data);
}

static void on_state(int32_t status, const char *body, void *data)
{
	world_job_t *job = data;
	bool failed = strstr(body, "\"failed\"") != NULL;

	if (status != 200)
		return;
	if (strcmp(body, job->state) != 0)
		world_record("client: job %s is shown as %s", job->id, body);
	if (failed && job->state[10] != 'f' && job->failed_ends == 0)
		world_break("LOST: job %s is shown as failed; of its %d runs "
			    "none has ended as failed, %d were lost in "
			    "crashes",
			    job->id, job->starts, job->crashes);
	g_strlcpy(job->state, body, sizeof(job->state));
}

static void look(void *data)
{
	GHashTableIter iterator;
	gpointer value;

	(void)data;
	g_hash_table_iter_init(&iterator, world.jobs);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		world_job_t *job = value;
		char *path = g_strconcat(WORLD_PREFIX, job->id, NULL);

		if (job->accepted_ms != 0)
			world_call(0, EVHTTP_REQ_GET, path, NULL, on_state,
				   job);
		g_free(path);
	}
}

static void submit(void *data)
{
	(void)data;
	world_job_submit(world_job_new(1, 3800, WORK_MS));
}

int main(int argc, char **argv)
{
	const world_hooks_t hooks = { .on_begun = on_begun };
	int32_t completed = 0;
	GHashTableIter iterator;
	gpointer value;

	if (argc != 2)
		return 2;
	world_begin(argv[1], &hooks);
	for (int32_t i = 0; i < JOBS; i++)
		world_after(LEAD_MS + i * JOB_EVERY_MS, submit, NULL);
	world_every(1000, look, NULL);
	world_run(RUN_MS);
	g_hash_table_iter_init(&iterator, world.jobs);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		completed += strstr(((world_job_t *)value)->state,
				    "completed") != NULL;
	world_record("%d jobs, %d shown as completed, rule broken %d times",
		     JOBS, completed, world.broken);
	printf("%d jobs, %d shown as completed, rule broken %d times\n", JOBS,
	       completed, world.broken);
	world_end();
	if (world.broken > 0)
		return 1;
	return completed == JOBS && world.unexpected == 0 ? 0 : 2;
}
