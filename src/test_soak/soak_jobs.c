/* The jobs of the clients, drawn from the seed. */
#include "soak.h"

#include <string.h>

#define TASKS_MAX 8
#define CANCELS_AFTER_MIN_MS 100
#define CANCELS_AFTER_MAX_MS 5000

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
		SOAK_KIND_CANCELLED,
	};

	return kinds[draw(0, G_N_ELEMENTS(kinds))];
}

static char *make_body(const soak_job_t *job)
{
	const char *step = "{\"count\":%d,\"cpu\":3100,\"memMb\":256,"
			   "\"estimateMs\":1000%s}";
	GString *body = g_string_new("{\"spec\":\"work\",\"phases\":[");

	g_string_append_printf(body, step, job->tasks, "");
	if (job->steps > 1) {
		g_string_append_c(body, ',');
		g_string_append_printf(body, step, job->tasks,
				       ",\"dependsOn\":[0]");
	}
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
