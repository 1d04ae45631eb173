#include "private/scheduler_state.h"

static wwh_load_t inherited_load(const wwh_scheduler_t *scheduler,
				 const char *workspace);
static void add_inherited(const sched_job_t *job, wwh_load_t *reserved);

void wwh_scheduler_clear_limits(wwh_scheduler_t *scheduler)
{
	wwh_workspace_quota_clear_limits(scheduler->quota);
	g_hash_table_remove_all(scheduler->weights);
}

void wwh_scheduler_limit_workspace(wwh_scheduler_t *scheduler,
				   const char *workspace,
				   const wwh_load_t *limit, int64_t weight)
{
	int64_t *value = g_new(int64_t, 1);

	wwh_workspace_quota_set_limit(scheduler->quota, workspace, limit);
	*value = weight;
	g_hash_table_insert(scheduler->weights, g_strdup(workspace), value);
}

bool sched_quota_allows(wwh_scheduler_t *scheduler, const sched_step_t *step,
			int32_t count)
{
	const char *workspace = step->occurrence->job->workspace;
	wwh_load_t need = { 0 };
	wwh_load_t reserved;

	if (!wwh_workspace_quota_is_limited(scheduler->quota, workspace))
		return true;
	reserved = inherited_load(scheduler, workspace);
	for (int32_t i = 0; i < count; i++)
		wwh_load_add(&need, &step->spec->need);
	return wwh_workspace_quota_allows(scheduler->quota, workspace, &need,
					  &reserved);
}

/*
 * After a change of holder, tasks may run that no upstream has listed yet. They
 * count towards the limit until all upstreams of their pool have answered.
 */
static wwh_load_t inherited_load(const wwh_scheduler_t *scheduler,
				 const char *workspace)
{
	wwh_load_t reserved = { 0 };

	if (wwh_scheduler_counts(scheduler).unsettled == 0)
		return reserved;
	for (guint i = 0; i < scheduler->live->len; i++) {
		const sched_job_t *job = g_ptr_array_index(scheduler->live, i);

		if (g_strcmp0(job->workspace, workspace) == 0 &&
		    !sched_pool_is_settled(scheduler, job->pool))
			add_inherited(job, &reserved);
	}
	return reserved;
}

static void add_inherited(const sched_job_t *job, wwh_load_t *reserved)
{
	for (guint k = 0; sched_job_is_live(job) && k < job->occurrences->len;
	     k++) {
		const sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, k);

		for (int32_t i = 0; i < job->spec->step_count; i++) {
			const sched_step_t *step = &occurrence->steps[i];

			for (int32_t j = 0; j < step->spec->task_count; j++) {
				const sched_task_t *task = &step->tasks[j];

				if (task->inherited &&
				    sched_task_state(task) == TASK_WAITING)
					wwh_load_add(reserved,
						     &step->spec->need);
			}
		}
	}
}
