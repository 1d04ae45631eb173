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
#define TIMES_MAX 3
#define FIRST_MAX_MS 3000
#define INTERVAL_MIN_MS 700
#define INTERVAL_MAX_MS 2500

static int64_t submitted;

static int32_t draw(int32_t from, int32_t to)
{
	return g_rand_int_range(soak.rand, from, to);
}

/* A planted fault that only jobs of one kind show is found in any draw. */
static const soak_kind_t planted_kinds[SOAK_PLANT_COUNT] = {
	[SOAK_PLANT_LOST_CANCEL] = SOAK_KIND_CANCELLED,
	[SOAK_PLANT_LASTING_LOST] = SOAK_KIND_LASTING,
	[SOAK_PLANT_GANG_ALONE] = SOAK_KIND_GANG,
	[SOAK_PLANT_LATE_TIMES] = SOAK_KIND_TIMED,
	[SOAK_PLANT_HIDDEN_FAILURE] = SOAK_KIND_FAILING,
};

static soak_kind_t draw_kind(void)
{
	static const soak_kind_t kinds[] = {
		SOAK_KIND_PLAIN,     SOAK_KIND_PLAIN, SOAK_KIND_PLAIN,
		SOAK_KIND_PLAIN,     SOAK_KIND_PLAIN, SOAK_KIND_PLAIN,
		SOAK_KIND_CANCELLED, SOAK_KIND_PLAIN, SOAK_KIND_LASTING,
		SOAK_KIND_GANG,	     SOAK_KIND_TIMED, SOAK_KIND_FAILING,
	};

	if (planted_kinds[soak.options.plant] != SOAK_KIND_PLAIN)
		return planted_kinds[soak.options.plant];
	return kinds[draw(0, G_N_ELEMENTS(kinds))];
}

static const char *const step_fields[SOAK_KIND_COUNT] = {
	[SOAK_KIND_PLAIN] = "\"cpu\":3100,\"estimateMs\":1000",
	[SOAK_KIND_CANCELLED] = "\"cpu\":3100,\"estimateMs\":1000",
	[SOAK_KIND_LASTING] = "\"cpu\":500,\"longRunning\":true",
	[SOAK_KIND_TIMED] = "\"cpu\":3100,\"estimateMs\":1000",
	[SOAK_KIND_FAILING] = "\"cpu\":3100,\"estimateMs\":1000",
	[SOAK_KIND_GANG] = "\"cpu\":3100,\"estimateMs\":1000,\"gang\":true",
};

static char *make_body(const soak_job_t *job)
{
	GString *body = g_string_new("{\"spec\":\"work\",");

	if (job->times > 0)
		g_string_append_printf(
			body,
			"\"repeatCount\":%d,\"firstMs\":%" G_GINT64_FORMAT
			",\"intervalMs\":%" G_GINT64_FORMAT ",",
			job->times, job->first_wall_ms, job->interval_ms);
	g_string_append(body, "\"phases\":[");
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
	if (job->kind == SOAK_KIND_TIMED) {
		job->times = draw(2, TIMES_MAX + 1);
		job->first_wall_ms = soak_wall_ms() + draw(0, FIRST_MAX_MS);
		job->interval_ms = draw(INTERVAL_MIN_MS, INTERVAL_MAX_MS);
	}
	job->body = make_body(job);
	/* planted: the client takes the times for later ones */
	if (soak.options.plant == SOAK_PLANT_LATE_TIMES)
		job->first_wall_ms += job->interval_ms;
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

int32_t soak_job_count(const soak_job_t *job)
{
	return MAX(job->times, 1) * job->steps * job->tasks;
}

char *soak_job_task_name(const soak_job_t *job, int32_t number)
{
	int32_t step = number / job->tasks;

	return g_strdup_printf("%s.%d.%d.%d", job->id, step / job->steps,
			       step % job->steps, number % job->tasks);
}

int32_t soak_job_step_of(const soak_job_t *job, const char *task)
{
	char **parts = g_strsplit(task, ".", -1);
	int64_t step = g_ascii_strtoll(parts[1], NULL, 10) * job->steps +
		       g_ascii_strtoll(parts[2], NULL, 10);

	g_strfreev(parts);
	return (int32_t)step;
}

void soak_job_draw_end(soak_run_t *run, int32_t slowness)
{
	const soak_job_t *job = soak_job_of_task(run->task);
	bool lasts = job != NULL && job->kind == SOAK_KIND_LASTING;
	bool fails = job != NULL && job->kind == SOAK_KIND_FAILING;

	run->works_ms = run->begun_ms;
	run->lasts = lasts;
	if (job != NULL && job->kind == SOAK_KIND_GANG) {
		soak_gang_join(run);
		return;
	}
	run->due_how = (lasts || fails) && draw(0, 2) == 0 ? "failed" : "done";
	run->due_ms =
		run->begun_ms +
		(lasts ? draw(LASTING_RUN_MIN_MS, LASTING_RUN_MAX_MS)
		       : slowness * draw(SOAK_TASK_MIN_MS, SOAK_TASK_MAX_MS));
	if (!lasts || soak.options.plant != SOAK_PLANT_LASTING_LOST)
		return;
	/* planted: the run is listed, and isn't there */
	run->due_ms = INT64_MAX;
	run->ended_ms = run->begun_ms;
	run->how = "crashed";
}
