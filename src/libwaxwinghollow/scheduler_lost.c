#include "private/scheduler_state.h"

/*
 * Both the job's record and its progress record are needed: without either, it
 * isn't known which tasks are done, and a done task would run a second time.
 */
void sched_job_mark_unreadable(wwh_scheduler_t *scheduler, const char *id,
			       bool accepted)
{
	sched_job_t *job = sched_job_find(scheduler, id);
	sched_unreadable_job_t *lost;

	if (!wwh_job_id_valid(id) || (job != NULL && !sched_job_is_live(job)))
		return;
	lost = g_new0(sched_unreadable_job_t, 1);
	lost->accepted = accepted || job != NULL;
	lost->since_ms = scheduler->now_ms;
	g_hash_table_replace(scheduler->lost_jobs, g_strdup(id), lost);
	if (job == NULL)
		return;
	sched_job_remove_live(scheduler, job);
	g_ptr_array_remove_fast(scheduler->dirty, job);
	g_hash_table_remove(scheduler->jobs, id);
}

/*
 * To be called when the job is known to have ended or is cancelled: its
 * unreadable record isn't needed any more.
 */
void sched_job_clear_unreadable(wwh_scheduler_t *scheduler, const char *id)
{
	g_hash_table_remove(scheduler->lost_jobs, id);
}

bool wwh_scheduler_job_is_unreadable(const wwh_scheduler_t *scheduler,
				     const char *id)
{
	return g_hash_table_contains(scheduler->lost_jobs, id);
}

bool sched_task_has_unreadable_job(const wwh_scheduler_t *scheduler,
				   const char *name)
{
	char id[WWH_JOB_ID_CHARS + 1];
	int64_t number;
	int32_t step;
	int32_t index;

	return sched_task_parse(name, id, &number, &step, &index) &&
	       wwh_scheduler_job_is_unreadable(scheduler, id);
}

/*
 * An unreadable progress record without a job record belongs to a job that has
 * ended. It is deleted once the retention time of ended jobs is over.
 */
void sched_unreadable_jobs_expire(wwh_scheduler_t *scheduler)
{
	GHashTableIter iterator;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iterator, scheduler->lost_jobs);
	while (g_hash_table_iter_next(&iterator, &id, &value)) {
		const sched_unreadable_job_t *lost = value;

		if (lost->accepted ||
		    scheduler->now_ms - lost->since_ms <
			    scheduler->options.ended_job_retention_ms)
			continue;
		scheduler->newest_record = scheduler->callbacks.write_record(
			WWH_SCHEDULER_RECORD_PROGRESS, id, NULL,
			scheduler->callbacks.client_data);
		g_hash_table_iter_remove(&iterator);
	}
}

/*
 * The key of the unreadable record shows that tasks may run at this upstream,
 * but neither its endpoint nor its pool is known. If it were ignored, its tasks
 * would be started a second time, so every pool waits for it.
 */
void sched_upstream_add_unlocated(wwh_scheduler_t *scheduler, const char *id)
{
	wwh_upstream_info_t info = {
		.id = (char *)id,
		.endpoint = "",
		.pool = SCHED_POOL_UNKNOWN,
	};
	sched_upstream_t *upstream;

	if (sched_upstream_find(scheduler, id) != NULL)
		return;
	upstream = sched_upstream_add(scheduler, &info);
	upstream->inherited = true;
	upstream->record_written = true;
	/* its lease can't be read either, so the longest is assumed */
	upstream->recorded_lease_ms = scheduler->options.lease_max_ms;
	upstream->pool->unsettled++;
}

bool sched_upstream_is_located(const sched_upstream_t *upstream)
{
	return upstream->info.endpoint[0] != '\0';
}

/* The announcement names the pool; from now on only this pool waits for it. */
void sched_upstream_locate(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream, const char *pool)
{
	upstream->pool->unsettled--;
	g_ptr_array_remove_fast(upstream->pool->upstreams, upstream);
	upstream->pool = sched_pool_get(scheduler, pool);
	upstream->pool->unsettled++;
	g_ptr_array_add(upstream->pool->upstreams, upstream);
}

bool sched_pool_is_settled(const wwh_scheduler_t *scheduler,
			   const sched_pool_t *pool)
{
	const sched_pool_t *unknown =
		g_hash_table_lookup(scheduler->pools, SCHED_POOL_UNKNOWN);

	return sched_previous_is_fenced(scheduler) && pool->unsettled == 0 &&
	       (unknown == NULL || unknown->unsettled == 0);
}
