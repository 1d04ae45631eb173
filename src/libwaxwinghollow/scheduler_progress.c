#include "private/scheduler_state.h"

#include "waxwinghollow/task_progress.h"

#define PERCENT 100

static const char *class_of(const sched_task_t *task);
static int32_t class_permille(const wwh_scheduler_t *scheduler,
			      const sched_task_t *task);

/* A run that continues from a checkpoint begins at a percent that isn't known. */
void sched_progress_begin(const wwh_scheduler_t *scheduler, sched_task_t *task,
			  bool adopted)
{
	bool continues =
		task->checkpoint != NULL && task->checkpoint[0] != '\0';

	task->percent = 0;
	task->percent_ms = scheduler->now_ms;
	task->percent_is_known = !adopted && !continues;
	task->one_percent_ms = 0;
}

void sched_progress_listed(wwh_scheduler_t *scheduler, sched_task_t *task,
			   int32_t percent)
{
	int64_t took_ms = scheduler->now_ms - task->percent_ms;
	bool advanced = percent > task->percent && percent < PERCENT;

	if (percent == task->percent)
		return;
	if (task->percent_is_known && advanced && took_ms > 0 &&
	    !task->step->spec->lasting) {
		int64_t each_ms = MAX(took_ms / (percent - task->percent), 1);
		int32_t permille = wwh_task_progress_add(
			class_permille(scheduler, task),
			wwh_job_estimate_ms(task->step->spec), each_ms);

		task->one_percent_ms = MAX(each_ms, task->one_percent_ms / 2);
		g_hash_table_replace(scheduler->progress_classes,
				     g_strdup(class_of(task)),
				     GINT_TO_POINTER(permille));
	}
	task->percent = percent;
	task->percent_ms = scheduler->now_ms;
	task->percent_is_known = true;
}

bool sched_progress_hangs(const wwh_scheduler_t *scheduler,
			  const sched_task_t *task, int64_t since_ms)
{
	const wwh_task_progress_t progress = {
		.estimate_ms = wwh_job_estimate_ms(task->step->spec),
		.one_percent_ms = task->one_percent_ms,
		.class_permille = class_permille(scheduler, task),
		.hangs = task->hangs,
	};

	return scheduler->now_ms - since_ms >=
	       wwh_task_progress_limit_ms(&progress);
}

/* Queues are as many as the configuration has, images as many as callers name. */
static const char *class_of(const sched_task_t *task)
{
	return task->step->occurrence->job->spec->queue.name;
}

static int32_t class_permille(const wwh_scheduler_t *scheduler,
			      const sched_task_t *task)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(scheduler->progress_classes,
						   class_of(task)));
}
