#include "private/scheduler_state.h"

#include "private/scheduler_policy.h"

/* Time between pace changes on a host, so that each takes visible effect. */
#define PACE_INTERVAL_MS 700

/* A pace order without an answer is resent after this time. */
#define PACE_RESEND_MS 1000

static int32_t worst_tail_percent(const wwh_scheduler_t *scheduler,
				  const sched_upstream_t *upstream);
static int32_t wanted_pace(const sched_upstream_t *upstream);
static void order_pace(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
		       int32_t percent);

/*
 * Fillers use processor time that serving tasks on the same host may need at
 * any moment. They are slowed as soon as a serving task gets near its latency
 * target, and their pace is raised again step by step.
 */
void sched_pace_fillers(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	int32_t tail_percent = worst_tail_percent(scheduler, upstream);
	int32_t pace = wanted_pace(upstream);
	int32_t wanted;

	if (pace < 0)
		return; /* no fillers */
	wanted = tail_percent < 0 ? 100 : wwh_policy_pace(pace, tail_percent);
	if (wanted == pace || scheduler->now_ms < upstream->next_pace_ms) {
		order_pace(scheduler, upstream, pace);
		return;
	}
	upstream->next_pace_ms = scheduler->now_ms + PACE_INTERVAL_MS;
	sched_explain(scheduler, "fillers-paced", upstream->info.id,
		      "from=%d to=%d tail_percent=%d", pace, wanted,
		      tail_percent);
	order_pace(scheduler, upstream, wanted);
}

/* Returns the worst tail latency in percent of the target; -1: none serves. */
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

/* Returns the wanted pace of the upstream's fillers; -1: it has no fillers. */
static int32_t wanted_pace(const sched_upstream_t *upstream)
{
	int32_t pace = -1;

	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);

		if (!task->step->spec->filler ||
		    sched_task_state(task) != TASK_RUNNING)
			continue;
		/* new fillers have the full pace, so the minimum is wanted */
		pace = pace < 0 ? task->pace_wanted
				: MIN(pace, task->pace_wanted);
	}
	return pace;
}

static void order_pace(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
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
		    scheduler->now_ms - task->pace_sent_ms < PACE_RESEND_MS)
			continue;
		task->pace_wanted = percent;
		task->pace_sent_ms = scheduler->now_ms;
		sched_task_name(task, order.task);
		scheduler->callbacks.pace(&order,
					  scheduler->callbacks.client_data);
	}
}
