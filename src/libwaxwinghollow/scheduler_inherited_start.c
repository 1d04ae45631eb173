#include "private/scheduler_state.h"

/* Stored in the upper half of a signed number that must not be negative. */
#define HASH_MASK 0x7fffffffU

static void note_lost_runs(wwh_scheduler_t *scheduler, sched_job_t *job);
static int64_t lost_run(const wwh_scheduler_t *scheduler);
static bool note_lost_run(wwh_scheduler_t *scheduler, sched_task_t *task);
static bool is_unlocated_start(const sched_loss_t *row);
static void collect_job(wwh_scheduler_t *scheduler, sched_job_t *job);
static void collect_step(wwh_scheduler_t *scheduler, sched_step_t *step);
static void resolve(wwh_scheduler_t *scheduler,
		    const sched_inherited_start_t *start, bool crashed);

uint32_t sched_upstream_hash(const sched_upstream_t *upstream)
{
	return g_str_hash(upstream->info.id) & HASH_MASK;
}

void sched_inherited_starts_collect(wwh_scheduler_t *scheduler)
{
	for (guint i = 0; i < scheduler->live->len; i++) {
		sched_job_t *job = g_ptr_array_index(scheduler->live, i);

		if (sched_job_is_live(job))
			collect_job(scheduler, job);
	}
}

void sched_inherited_starts_resolve(wwh_scheduler_t *scheduler,
				    const sched_upstream_t *upstream,
				    bool crashed)
{
	uint32_t hash = sched_upstream_hash(upstream);

	for (guint i = scheduler->inherited_starts->len; i-- > 0;) {
		sched_inherited_start_t start =
			g_array_index(scheduler->inherited_starts,
				      sched_inherited_start_t, i);

		if (start.upstream != hash)
			continue;
		g_array_remove_index_fast(scheduler->inherited_starts, i);
		resolve(scheduler, &start, crashed);
	}
}

/*
 * What the upstream ran isn't known, as starts aren't recorded. Without a trace of
 * it, a task that crashes its upstreams would be started for the first time by
 * each holder that is killed before it learns of the crash. A loss that may be
 * another task's doesn't isolate a task, but its next starts are recorded.
 */
void sched_inherited_runs_lost(wwh_scheduler_t *scheduler,
			       const sched_upstream_t *inherited)
{
	bool is_located = sched_upstream_is_located(inherited);
	sched_pool_t *pool = inherited->pool;

	if (pool->has_lost_inherited)
		return;
	pool->has_lost_inherited = true;
	for (guint i = 0; i < scheduler->live->len; i++) {
		sched_job_t *job = g_ptr_array_index(scheduler->live, i);

		if (sched_job_is_live(job) &&
		    (job->pool == pool || !is_located))
			note_lost_runs(scheduler, job);
	}
}

void sched_inherited_run_found(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	sched_job_t *job = task->step->occurrence->job;

	if (sched_losses_find(&task->losses, lost_run(scheduler)) == NULL)
		return;
	sched_losses_remove(task, lost_run(scheduler));
	if (sched_job_is_live(job))
		sched_job_mark_dirty(scheduler, job);
}

/*
 * A start that was recorded without its upstream was never sent, or is over, if
 * all upstreams have answered. Otherwise it may have crashed one of them, and its
 * row stays: the next holder finds no trace of that upstream.
 */
void sched_inherited_task_settled(wwh_scheduler_t *scheduler,
				  sched_task_t *task)
{
	sched_job_t *job = task->step->occurrence->job;
	int32_t before = task->losses.count;

	if (job->pool->has_lost_inherited)
		return;
	for (int32_t i = task->losses.count; i-- > 0;) {
		const sched_loss_t *row = &task->losses.rows[i];

		if (is_unlocated_start(row))
			sched_losses_remove(task, row->run);
	}
	if (task->losses.count != before)
		sched_job_mark_dirty(scheduler, job);
}

static void note_lost_runs(wwh_scheduler_t *scheduler, sched_job_t *job)
{
	bool noted = false;

	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		for (int32_t k = 0; k < job->spec->step_count; k++) {
			sched_step_t *step = &occurrence->steps[k];

			for (int32_t t = 0; t < step->spec->task_count; t++)
				noted |= note_lost_run(scheduler,
						       &step->tasks[t]);
		}
	}
	if (noted)
		sched_job_mark_dirty(scheduler, job);
}

static bool note_lost_run(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	bool noted = false;

	if (!task->inherited || sched_task_state(task) != TASK_WAITING)
		return false;
	for (int32_t i = 0; i < task->losses.count; i++) {
		sched_loss_t *row = &task->losses.rows[i];

		if (!is_unlocated_start(row))
			continue;
		row->flags |= SCHED_LOSS_INHERITED;
		noted = true;
	}
	if (noted || sched_task_needs_recorded_starts(task))
		return noted;
	sched_losses_add(task, lost_run(scheduler), SCHED_LOSS_INHERITED);
	return true;
}

/* Whether row is that of a start which was recorded without its upstream. */
static bool is_unlocated_start(const sched_loss_t *row)
{
	return (row->flags & SCHED_LOSS_PENDING) != 0 && row->upstream == 0 &&
	       (row->flags & SCHED_LOSS_INHERITED) == 0;
}

/* Stands for the lost run, whose number is unknown. It is never ordered. */
static int64_t lost_run(const wwh_scheduler_t *scheduler)
{
	return sched_next_run(scheduler, 0) - 1;
}

static void collect_job(wwh_scheduler_t *scheduler, sched_job_t *job)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		for (int32_t k = 0; k < job->spec->step_count; k++) {
			if (occurrence->steps[k].losses > 0)
				collect_step(scheduler, &occurrence->steps[k]);
		}
	}
}

static void collect_step(wwh_scheduler_t *scheduler, sched_step_t *step)
{
	for (int32_t i = 0; i < step->spec->task_count; i++) {
		const sched_losses_t *losses = &step->tasks[i].losses;

		for (int32_t k = 0; k < losses->count; k++) {
			sched_inherited_start_t start = {
				.run = losses->rows[k].run,
				.upstream = losses->rows[k].upstream,
			};

			if ((losses->rows[k].flags & SCHED_LOSS_PENDING) == 0 ||
			    start.upstream == 0)
				continue;
			sched_task_name(&step->tasks[i], start.task);
			g_array_append_val(scheduler->inherited_starts, start);
		}
	}
}

/* A run that was found on the upstream is watched like those of this holder. */
static void resolve(wwh_scheduler_t *scheduler,
		    const sched_inherited_start_t *start, bool crashed)
{
	sched_task_t *task = sched_job_task(scheduler, start->task);

	if (task == NULL || !sched_job_is_live(task->step->occurrence->job) ||
	    task->pending_run == start->run ||
	    sched_losses_find(&task->losses, start->run) == NULL)
		return;
	if (crashed)
		sched_losses_add(task, start->run,
				 SCHED_LOSS_CRASH | SCHED_LOSS_SUSPECT |
					 SCHED_LOSS_ALONE |
					 SCHED_LOSS_UNANSWERED);
	else
		sched_losses_remove(task, start->run);
	sched_job_mark_dirty(scheduler, task->step->occurrence->job);
	if (crashed)
		sched_losses_give_up(scheduler, task);
}
