#include "private/scheduler_state.h"

/* A task that crashes its upstream as it starts does so within this time. */
#define YOUNG_MS 150

/* After this time, a crash is no longer attributed to the start of a run. */
#define MATURE_MS 1000

void sched_run_begin(const wwh_scheduler_t *scheduler, sched_task_t *task)
{
	task->ordered_ms = scheduler->now_ms;
	task->accepted_ms = 0;
	task->first_listed_remote_ms = 0;
	task->min_age_ms = 0;
	task->speed_remote_ms = 0;
	task->speed_percent = 0;
	task->from_checkpoint = task->checkpoint != NULL;
	task->held_since_ms = 0;
}

void sched_run_accepted(const wwh_scheduler_t *scheduler, sched_task_t *task)
{
	if (task->accepted_ms == 0)
		task->accepted_ms = scheduler->now_ms;
}

/*
 * Answers may be read late, so the time of reading says nothing about the age
 * of a run. Two readings of the upstream's clock do, and so does a poll that was
 * sent after the start had been confirmed.
 */
void sched_run_listed(wwh_scheduler_t *scheduler, sched_task_t *task,
		      int64_t sent_ms)
{
	sched_job_t *job = task->step->occurrence->job;
	int64_t remote_ms = task->upstream->clock_base_remote_ms;

	sched_run_accepted(scheduler, task);
	if (task->first_listed_remote_ms == 0)
		task->first_listed_remote_ms = remote_ms;
	task->min_age_ms =
		MAX(task->min_age_ms, remote_ms - task->first_listed_remote_ms);
	task->min_age_ms = MAX(task->min_age_ms, sent_ms - task->accepted_ms);
	if (!sched_run_is_mature(task) || task->losses.count == 0)
		return;
	sched_losses_clear(task);
	task->pending_run = 0;
	if (sched_job_is_live(job))
		sched_job_mark_dirty(scheduler, job);
}

bool sched_run_is_young(const sched_task_t *task)
{
	return task->min_age_ms < YOUNG_MS;
}

bool sched_run_is_mature(const sched_task_t *task)
{
	return task->min_age_ms >= MATURE_MS;
}
