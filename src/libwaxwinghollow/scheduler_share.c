#include "private/scheduler_state.h"

/* A larger need fits nowhere, and sums of it must not overflow. */
#define MAX_LOAD (INT64_C(1) << 40)

static wwh_load_t load_of(const sched_step_t *step, int64_t count);

void sched_shares_add_waiting(const wwh_scheduler_t *scheduler,
			      const sched_step_t *step)
{
	const sched_job_t *job = step->occurrence->job;
	wwh_load_t need = load_of(step, step->spec->task_count - step->done -
						step->outstanding);
	const int64_t *weight;

	if (job->workspace == NULL)
		return;
	weight = g_hash_table_lookup(scheduler->weights, job->workspace);
	wwh_workspace_share_wait(job->pool->shares, job->workspace,
				 weight == NULL ? 0 : *weight, &need);
}

bool sched_shares_allow(wwh_scheduler_t *scheduler, const sched_step_t *step,
			int32_t count)
{
	const sched_job_t *job = step->occurrence->job;
	wwh_load_t need = load_of(step, count);

	if (!scheduler->keeps_shares)
		return true;
	if (!wwh_workspace_share_exceeds(job->pool->shares, job->workspace,
					 &need))
		return true;
	scheduler->has_skipped_shares = true;
	return false;
}

static wwh_load_t load_of(const sched_step_t *step, int64_t count)
{
	wwh_load_t one = sched_step_reserved_load(step->spec);
	int64_t bounded = MAX(count, 1);

	return (wwh_load_t){
		.cpu_millicores =
			MIN(one.cpu_millicores, MAX_LOAD / bounded) * bounded,
		.memory_mb = MIN(one.memory_mb, MAX_LOAD / bounded) * bounded,
		.gpus = MIN(one.gpus, MAX_LOAD / bounded) * bounded,
	};
}
