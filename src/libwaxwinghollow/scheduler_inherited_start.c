#include "private/scheduler_state.h"

/* Stored in the upper half of a signed number that must not be negative. */
#define HASH_MASK 0x7fffffffU

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
