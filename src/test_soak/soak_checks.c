#include "soak.h"

#include <string.h>

/* After its last time a job with times is to be completed. */
#define LAST_TIME_MS 5000

/* A job whose tasks can start has something at work within this time. */
#define IDLE_MS 3000

/* Both on upstreams that are up, or a start after an acknowledged end as done. */
static bool is_second_run(const soak_run_t *first)
{
	const soak_job_t *job = soak_job_of_task(first->task);

	/* tasks that last are restarted however they end */
	if (job != NULL && job->kind == SOAK_KIND_LASTING)
		return first->how == NULL;
	return first->how == NULL ||
	       (strcmp(first->how, "done") == 0 && first->acked_ms != 0 &&
		!first->lapsed_unacked);
}

static void check_twice(const GPtrArray *earlier, const soak_run_t *run)
{
	for (guint i = 0; i < earlier->len; i++) {
		const soak_run_t *first = g_ptr_array_index(earlier, i);

		if (!is_second_run(first))
			continue;
		soak_break("TWICE",
			   "run %" G_GINT64_FORMAT " of %s on %s after run "
			   "%" G_GINT64_FORMAT " on %s (%s, acknowledged at "
			   "%" G_GINT64_FORMAT " ms)",
			   run->run, run->task, run->incarnation, first->run,
			   first->incarnation,
			   first->how == NULL ? "runs" : first->how,
			   first->acked_ms);
	}
}

void soak_check_end(const soak_run_t *run)
{
	const soak_job_t *job = soak_job_of_task(run->task);

	if (strcmp(run->how, "alone") == 0 && !job->cancel_sent &&
	    soak_is_calm_for(SOAK_GANG_MS + SOAK_CONTACT_MS))
		soak_break("GANG",
			   "run %" G_GINT64_FORMAT " of %s on %s was "
			   "alone",
			   run->run, run->task, run->incarnation);
}

static bool is_done(const char *task)
{
	const GPtrArray *runs = g_hash_table_lookup(soak.runs, task);

	for (guint i = 0; runs != NULL && i < runs->len; i++) {
		const soak_run_t *run = g_ptr_array_index(runs, i);

		if (g_strcmp0(run->how, "done") == 0)
			return true;
	}
	return false;
}

static int32_t count_undone(const soak_job_t *job, int32_t step)
{
	int32_t count = 0;

	for (int32_t i = 0; i < job->tasks; i++) {
		char *name = soak_job_task_name(job, step * job->tasks + i);

		count += !is_done(name);
		g_free(name);
	}
	/* the end of one stands for the others of a gang */
	if (job->kind == SOAK_KIND_GANG && count < job->tasks)
		return 0;
	return count;
}

static void check_order(const soak_job_t *job, const soak_run_t *run)
{
	int32_t step = soak_job_step_of(job, run->task);
	int64_t due_ms =
		job->first_wall_ms + step / job->steps * job->interval_ms;

	if (step % job->steps > 0 && count_undone(job, step - 1) > 0)
		soak_break("ORDER", "run of %s before the first step is done",
			   run->task);
	if (job->times > 0 && soak_wall_ms() < due_ms - SOAK_EARLY_MS)
		soak_break("ORDER",
			   "run of %s %" G_GINT64_FORMAT " ms before its time",
			   run->task, due_ms - soak_wall_ms());
}

/* Orders that an upstream carries out late don't count. */
static void check_cancelled(const soak_job_t *job, const soak_run_t *run)
{
	int64_t allowed_ms = job->cancel_acked_ms + SOAK_CANCEL_MS;

	if (job->cancel_acked_ms != 0 && run->begun_ms > allowed_ms &&
	    !run->is_late && soak_in_touch())
		soak_break("UNASKED",
			   "run of %s, whose cancelling was acknowledged at "
			   "%" G_GINT64_FORMAT " ms",
			   run->task, job->cancel_acked_ms);
}

void soak_check_start(const soak_run_t *run)
{
	GPtrArray *runs = g_hash_table_lookup(soak.runs, run->task);
	const soak_job_t *job = soak_job_of_task(run->task);

	if (runs == NULL) {
		runs = g_ptr_array_new();
		g_hash_table_insert(soak.runs, run->task, runs);
	}
	check_twice(runs, run);
	g_ptr_array_add(runs, (gpointer)run);
	if (job == NULL)
		soak_break("UNASKED", "run of %s, which no client submitted",
			   run->task);
	else if (job->given_up && !job->unanswered)
		soak_break("REFUSED", "run of %s, whose job was rejected",
			   run->task);
	else {
		check_order(job, run);
		check_cancelled(job, run);
	}
}

void soak_check_completed(const char *id)
{
	const soak_job_t *job = g_hash_table_lookup(soak.jobs, id);

	if (job->kind == SOAK_KIND_LASTING)
		soak_break("MIXED", "job %s lasts, and is shown as completed",
			   id);
	for (int32_t step = 0; step * job->tasks < soak_job_count(job);
	     step++) {
		int32_t undone = count_undone(job, step);

		if (undone > 0)
			soak_break("MIXED",
				   "job %s is shown as completed, %d tasks of "
				   "step %d haven't ended so",
				   id, undone, step);
	}
}

static int32_t count_ends(const char *task, const char *how)
{
	const GPtrArray *runs = g_hash_table_lookup(soak.runs, task);
	int32_t count = 0;

	for (guint i = 0; runs != NULL && i < runs->len; i++) {
		const soak_run_t *run = g_ptr_array_index(runs, i);

		count += g_strcmp0(run->how, how) == 0;
	}
	return count;
}

/*
 * A job fails with a task that has failed SOAK_ATTEMPTS_MAX times, and may be given
 * up once two upstreams have crashed under one of its tasks.
 */
void soak_check_failed(const char *id)
{
	const soak_job_t *job = g_hash_table_lookup(soak.jobs, id);
	const int32_t crashes_allowed = 2;
	int32_t most = 0;
	int32_t failures = 0;

	for (int32_t i = 0; i < soak_job_count(job); i++) {
		char *name = soak_job_task_name(job, i);

		most = MAX(most, count_ends(name, "crashed"));
		failures = MAX(failures, count_ends(name, "failed"));
		g_free(name);
	}
	if (failures < SOAK_ATTEMPTS_MAX && most < crashes_allowed)
		soak_break("LOST",
			   "job %s has failed after %d crashes and %d failures",
			   id, most, failures);
	else
		soak_record("job %s ends after %d crashes and %d failures", id,
			    most, failures);
}

/* An end as done that was acknowledged only after a later run had begun. */
static void check_late_acks(const GPtrArray *runs)
{
	for (guint i = 0; i + 1 < runs->len; i++) {
		const soak_run_t *first = g_ptr_array_index(runs, i);
		const soak_run_t *next = g_ptr_array_index(runs, i + 1);

		if (!is_second_run(first) || first->how == NULL ||
		    first->ended_ms > next->begun_ms ||
		    first->acked_ms <= next->begun_ms)
			continue;
		soak_break("TWICE",
			   "run %" G_GINT64_FORMAT " of %s on %s after run "
			   "%" G_GINT64_FORMAT " on %s, acknowledged later at "
			   "%" G_GINT64_FORMAT " ms",
			   next->run, next->task, next->incarnation, first->run,
			   first->incarnation, first->acked_ms);
	}
}

/* Counts the ends as failed that were acknowledged, before run began. */
static int32_t count_failures_before(const GPtrArray *runs,
				     const soak_run_t *run)
{
	int32_t count = 0;

	for (guint i = 0; i < runs->len; i++) {
		const soak_run_t *first = g_ptr_array_index(runs, i);

		count += g_strcmp0(first->how, "failed") == 0 &&
			 first->ended_ms <= run->begun_ms &&
			 first->acked_ms != 0 && !first->lapsed_unacked;
	}
	return count;
}

static void check_budget(const GPtrArray *runs)
{
	for (guint i = 0; i < runs->len; i++) {
		const soak_run_t *run = g_ptr_array_index(runs, i);
		const soak_job_t *job = soak_job_of_task(run->task);

		if ((job != NULL && job->kind == SOAK_KIND_LASTING) ||
		    count_failures_before(runs, run) < SOAK_ATTEMPTS_MAX)
			continue;
		soak_break("BUDGET",
			   "run %" G_GINT64_FORMAT " of %s on %s after %d that "
			   "failed",
			   run->run, run->task, run->incarnation,
			   SOAK_ATTEMPTS_MAX);
	}
}

void soak_check_runs_at_end(void)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, soak.runs);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		check_late_acks(value);
		check_budget(value);
	}
}

static bool ran_lately(const char *task)
{
	const GPtrArray *runs = g_hash_table_lookup(soak.runs, task);

	for (guint i = 0; runs != NULL && i < runs->len; i++) {
		const soak_run_t *run = g_ptr_array_index(runs, i);

		if (run->how == NULL || soak_now_ms() - run->ended_ms < IDLE_MS)
			return true;
	}
	return false;
}

/* Work that goes on at the end isn't lost. */
static bool is_at_work(const soak_job_t *job)
{
	bool found = false;

	for (int32_t i = 0; i < soak_job_count(job) && !found; i++) {
		char *name = soak_job_task_name(job, i);

		found = ran_lately(name);
		g_free(name);
	}
	return found;
}

static bool is_owed(const soak_job_t *job)
{
	int64_t last_due_ms =
		job->first_wall_ms + (job->times - 1) * job->interval_ms;

	return job->accepted && !job->completed && !job->failed &&
	       !job->cancel_sent && job->kind != SOAK_KIND_LASTING &&
	       (job->times == 0 || soak_wall_ms() - last_due_ms > LAST_TIME_MS);
}

void soak_check_jobs_at_end(void)
{
	int32_t accepted = 0;
	int32_t completed = 0;
	int32_t cancelled = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, soak.jobs);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const soak_job_t *job = value;

		accepted += job->accepted;
		completed += job->completed;
		cancelled += job->cancel_acked_ms != 0;
		if (is_owed(job) && !is_at_work(job))
			soak_break("LOST",
				   "job %s was accepted at %" G_GINT64_FORMAT
				   " ms and isn't shown as completed",
				   job->id, job->accepted_ms);
	}
	soak_record(
		"%u jobs submitted, %d accepted, %d completed, %d cancelled",
		g_hash_table_size(soak.jobs), accepted, completed, cancelled);
	if (accepted < (int32_t)g_hash_table_size(soak.jobs) / 4)
		soak_break("SERVED", "%d of %u jobs accepted", accepted,
			   g_hash_table_size(soak.jobs));
}
