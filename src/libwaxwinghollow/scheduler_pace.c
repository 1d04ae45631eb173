#include "private/scheduler_state.h"

#include "private/scheduler_policy.h"

/* Between two changes of the pace of a host's fillers: what one does shows. */
#define PACE_EVERY_MS 700

/* A pace order without an answer is sent again after this. */
#define PACE_REPEAT_MS 1000

static int32_t worst_tail_percent(const wwh_scheduler_t *scheduler,
				  const sched_upstream_t *upstream);
static int32_t pace_of(const sched_upstream_t *upstream);
static void set_pace(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
		     int32_t percent);

/*
 * Fillers take processor time that serving tasks on the same host need from
 * one moment to the next. They are slowed as soon as a serving task comes
 * near its target, and let go again step by step.
 */
void sched_pace_fillers(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	int32_t tail_percent = worst_tail_percent(scheduler, upstream);
	int32_t pace = pace_of(upstream);
	int32_t wanted;

	if (pace < 0)
		return; /* no fillers */
	wanted = tail_percent < 0 ? 100 : wwh_policy_pace(pace, tail_percent);
	if (wanted == pace || scheduler->now_ms < upstream->next_pace_ms) {
		set_pace(scheduler, upstream, pace);
		return;
	}
	upstream->next_pace_ms = scheduler->now_ms + PACE_EVERY_MS;
	sched_explain(scheduler, "fillers-paced", upstream->info.id,
		      "from=%d to=%d tail_percent=%d", pace, wanted,
		      tail_percent);
	set_pace(scheduler, upstream, wanted);
}

/* Of their targets; -1: nothing serves there. */
static int32_t worst_tail_percent(const wwh_scheduler_t *scheduler,
				  const sched_upstream_t *upstream)
{
	int32_t worst = -1;

	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);
		int64_t target_ms = task->step->spec->latency_target_ms;

		if (target_ms <= 0 || sched_task_state(task) != TASK_RUNNING ||
		    !sched_job_is_live(task->step->occurrence->job))
			continue;
		worst = MAX(worst, (int32_t)MIN(task->tail_ms * 100 / target_ms,
						1000));
	}
	(void)scheduler;
	return worst;
}

/* What is wanted of the fillers there; -1: there are none. */
static int32_t pace_of(const sched_upstream_t *upstream)
{
	int32_t pace = -1;

	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);

		if (!task->step->spec->filler ||
		    sched_task_state(task) != TASK_RUNNING)
			continue;
		/* a new one has its full pace; the others tell what is wanted */
		pace = pace < 0 ? task->pace_wanted
				: MIN(pace, task->pace_wanted);
	}
	return pace;
}

static void set_pace(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
		     int32_t percent)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);
		wwh_pace_order_t order = {
			.upstream = upstream->info.id,
			.endpoint = upstream->info.endpoint,
			.run = task->run,
			.percent = percent,
		};

		if (!task->step->spec->filler ||
		    sched_task_state(task) != TASK_RUNNING ||
		    (task->pace == percent && task->pace_wanted == percent))
			continue;
		if (task->pace_wanted == percent &&
		    scheduler->now_ms - task->pace_sent_ms < PACE_REPEAT_MS)
			continue;
		task->pace_wanted = percent;
		task->pace_sent_ms = scheduler->now_ms;
		sched_task_name(task, order.task);
		scheduler->callbacks.pace(&order,
					  scheduler->callbacks.client_data);
	}
}
