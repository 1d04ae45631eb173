#include "private/scheduler_state.h"

void sched_run_begin(const wwh_scheduler_t *scheduler, sched_task_t *task)
{
	task->ordered_ms = scheduler->now_ms;
	task->accepted_ms = 0;
	task->first_listed_remote_ms = 0;
	task->min_age_ms = 0;
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
void sched_run_listed(const wwh_scheduler_t *scheduler, sched_task_t *task,
		      int64_t sent_ms)
{
	int64_t remote_ms = task->upstream->clock_base_remote_ms;

	sched_run_accepted(scheduler, task);
	if (task->first_listed_remote_ms == 0)
		task->first_listed_remote_ms = remote_ms;
	task->min_age_ms =
		MAX(task->min_age_ms, remote_ms - task->first_listed_remote_ms);
	task->min_age_ms = MAX(task->min_age_ms, sent_ms - task->accepted_ms);
}

void sched_run_lost(wwh_scheduler_t *scheduler, const sched_task_t *task,
		    wwh_termination_t termination, const char *why)
{
	char name[WWH_TASK_NAME_BYTES];

	sched_task_name(task, name);
	sched_explain(scheduler, "run-lost", name,
		      "run=%" G_GINT64_FORMAT
		      " upstream=%s why=%s termination=%s accepted=%d"
		      " since_start_ms=%" G_GINT64_FORMAT
		      " min_age_ms=%" G_GINT64_FORMAT,
		      task->run, task->upstream->info.id, why,
		      wwh_termination_names[termination],
		      task->accepted_ms != 0,
		      scheduler->now_ms - task->ordered_ms, task->min_age_ms);
}
