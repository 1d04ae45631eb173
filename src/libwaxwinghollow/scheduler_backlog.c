#include "private/scheduler_state.h"

bool wwh_scheduler_is_behind(const wwh_scheduler_t *scheduler)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, scheduler->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		if (((sched_pool_t *)value)->has_deferred_starts)
			return true;
	}
	return false;
}

/*
 * Pools share the starts of a pass, so a pool with a short backlog waits less. So
 * does a workspace that has less waiting than its share of the pool's backlog.
 */
int32_t wwh_scheduler_backlog(const wwh_scheduler_t *scheduler,
			      const char *name, const char *workspace)
{
	const sched_pool_t *own = g_hash_table_lookup(scheduler->pools, name);
	GHashTableIter iterator;
	gpointer value;
	int32_t all = 0;
	int32_t pools = 0;

	if (own == NULL || !own->has_deferred_starts)
		return 0;
	g_hash_table_iter_init(&iterator, scheduler->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const sched_pool_t *pool = value;

		all += pool->has_deferred_starts ? pool->unstarted_tasks : 0;
		pools += pool->has_deferred_starts;
	}
	all = MIN(all, own->unstarted_tasks * pools);
	/* the shares are those of the last pass, and none is made meanwhile */
	if (scheduler->starts_held)
		return all;
	return (int32_t)wwh_workspace_share_tasks_ahead(own->shares, workspace,
							all);
}

void sched_backlog_add_job(const wwh_scheduler_t *scheduler, sched_job_t *job)
{
	for (int32_t i = 0; i < job->spec->step_count; i++)
		job->pool->unstarted_tasks += job->spec->steps[i].task_count;
	job->pool->has_deferred_starts =
		job->pool->has_deferred_starts || scheduler->starts_held;
}

int32_t sched_count_unsettled(const wwh_scheduler_t *scheduler)
{
	GHashTableIter iterator;
	gpointer value;
	int32_t count = 0;

	g_hash_table_iter_init(&iterator, scheduler->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		count += ((sched_pool_t *)value)->unsettled;
	return count;
}

int64_t wwh_scheduler_recovery_ms(const wwh_scheduler_t *scheduler,
				  int64_t now_ms)
{
	int64_t took_ms = now_ms - scheduler->taken_over_ms;
	int32_t left = sched_count_unsettled(scheduler);
	int32_t settled = scheduler->inherited_upstreams - left;

	return left == 0 ? 0 : left * took_ms / MAX(settled, 1);
}
