/* The jobs of the clients, drawn from the seed. */
#include "soak.h"

#include <string.h>

#define TASKS_MAX 8
#define CANCELS_AFTER_MIN_MS 100
#define CANCELS_AFTER_MAX_MS 5000
#define LASTING_MIN_MS 6000
#define LASTING_MAX_MS 20000
#define LASTING_RUN_MIN_MS 1000
#define LASTING_RUN_MAX_MS 15000
#define LASTING_TASKS_MAX 3
#define GANG_TASKS_MAX 5

static int64_t submitted;

static int32_t draw(int32_t from, int32_t to)
{
	return g_rand_int_range(soak.rand, from, to);
}

static soak_kind_t draw_kind(void)
{
	static const soak_kind_t kinds[] = {
		SOAK_KIND_PLAIN,     SOAK_KIND_PLAIN, SOAK_KIND_PLAIN,
		SOAK_KIND_PLAIN,     SOAK_KIND_PLAIN, SOAK_KIND_PLAIN,
		SOAK_KIND_CANCELLED, SOAK_KIND_PLAIN, SOAK_KIND_LASTING,
		SOAK_KIND_GANG,
	};

	return kinds[draw(0, G_N_ELEMENTS(kinds))];
}

static const char *const step_fields[SOAK_KIND_COUNT] = {
	[SOAK_KIND_PLAIN] = "\"cpu\":3100,\"estimateMs\":1000",
	[SOAK_KIND_CANCELLED] = "\"cpu\":3100,\"estimateMs\":1000",
	[SOAK_KIND_LASTING] = "\"cpu\":500,\"longRunning\":true",
	[SOAK_KIND_GANG] = "\"cpu\":3100,\"estimateMs\":1000,\"gang\":true",
};

static char *make_body(const soak_job_t *job)
{
	GString *body = g_string_new("{\"spec\":\"work\",\"phases\":[");

	for (int32_t i = 0; i < job->steps; i++)
		g_string_append_printf(
			body, "%s{\"count\":%d,\"memMb\":256,%s%s}",
			i > 0 ? "," : "", job->tasks, step_fields[job->kind],
			i > 0 ? ",\"dependsOn\":[0]" : "");
	g_string_append(body, "]}");
	return g_string_free(body, FALSE);
}

soak_job_t *soak_job_new(void)
{
	soak_job_t *job = g_new0(soak_job_t, 1);

	g_snprintf(job->id, sizeof(job->id), "%016" G_GINT64_MODIFIER "x",
		   0xc0000 + submitted++);
	job->kind = draw_kind();
	job->pool = draw(0, SOAK_POOLS);
	job->steps = draw(1, 3);
	job->tasks = draw(1, TASKS_MAX + 1);
	if (job->kind == SOAK_KIND_CANCELLED)
		job->cancels_after_ms =
			draw(CANCELS_AFTER_MIN_MS, CANCELS_AFTER_MAX_MS);
	if (job->kind == SOAK_KIND_LASTING) {
		job->steps = 1;
		job->tasks = draw(1, LASTING_TASKS_MAX + 1);
		job->cancels_after_ms = draw(LASTING_MIN_MS, LASTING_MAX_MS);
	}
	if (job->kind == SOAK_KIND_GANG)
		job->tasks = draw(2, GANG_TASKS_MAX);
	job->body = make_body(job);
	g_hash_table_insert(soak.jobs, job->id, job);
	return job;
}

soak_job_t *soak_job_of_task(const char *task)
{
	char *id = g_strndup(task, strcspn(task, "."));
	soak_job_t *job = g_hash_table_lookup(soak.jobs, id);

	g_free(id);
	return job;
}

char *soak_job_task_name(const soak_job_t *job, int32_t step, int32_t index)
{
	return g_strdup_printf("%s.0.%d.%d", job->id, step, index);
}

void soak_job_draw_end(soak_run_t *run)
{
	const soak_job_t *job = soak_job_of_task(run->task);
	bool lasts = job != NULL && job->kind == SOAK_KIND_LASTING;

	run->works_ms = run->begun_ms;
	run->lasts = lasts;
	if (job != NULL && job->kind == SOAK_KIND_GANG) {
		soak_gang_join(run);
		return;
	}
	run->due_how = lasts && draw(0, 2) == 0 ? "failed" : "done";
	run->due_ms = run->begun_ms +
		      (lasts ? draw(LASTING_RUN_MIN_MS, LASTING_RUN_MAX_MS)
			     : draw(SOAK_TASK_MIN_MS, SOAK_TASK_MAX_MS));
	if (!lasts || soak.options.plant != SOAK_PLANT_LASTING_LOST)
		return;
	/* planted: the run is listed, and isn't there */
	run->due_ms = INT64_MAX;
	run->ended_ms = run->begun_ms;
	run->how = "crashed";
}
