/* Tasks that last are running at all times, but for a bound after each run. */
#include "soak.h"

#define CHECK_INTERVAL_MS 500
/* Without a run, after the last one has ended. */
#define RESTART_MAX_MS 6000
/* How long nothing runs, and how long there was calm before. */
#define IDLE_MS 3000
#define CALM_MS (IDLE_MS + 4000)

/* When the task has last run; 0: it runs. */
static int64_t last_run_ms(const soak_job_t *job, const char *task)
{
	const GPtrArray *runs = g_hash_table_lookup(soak.runs, task);
	int64_t last_ms = job->accepted_ms;

	for (guint i = 0; runs != NULL && i < runs->len; i++) {
		const soak_run_t *run = g_ptr_array_index(runs, i);

		if (run->how == NULL)
			return 0;
		last_ms = MAX(last_ms, run->ended_ms);
	}
	return last_ms;
}

static void check_job(soak_job_t *job)
{
	for (int32_t i = 0; i < job->tasks; i++) {
		char *task = soak_job_task_name(job, i);
		int64_t last_ms = last_run_ms(job, task);

		if (last_ms != 0 && !job->reported &&
		    soak_now_ms() - last_ms > RESTART_MAX_MS + IDLE_MS) {
			job->reported = true;
			soak_break("LOST",
				   "%s lasts, and has not run since "
				   "%" G_GINT64_FORMAT " ms",
				   task, last_ms);
		}
		g_free(task);
	}
}

static void check_all(void *data)
{
	GHashTableIter iterator;
	gpointer value;

	(void)data;
	if (!soak_is_calm_for(CALM_MS))
		return;
	g_hash_table_iter_init(&iterator, soak.jobs);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		soak_job_t *job = value;

		if (job->kind == SOAK_KIND_LASTING && job->accepted &&
		    !job->cancel_sent)
			check_job(job);
	}
}

void soak_check_lasting_start(void)
{
	soak_every(CHECK_INTERVAL_MS, check_all, NULL);
}
