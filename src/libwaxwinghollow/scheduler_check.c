#include "private/scheduler_state.h"

static void check_job(const wwh_scheduler_t *scheduler, const sched_job_t *job);
static void check_step(const wwh_scheduler_t *scheduler,
		       const sched_step_t *step, int32_t *outstanding);
static void check_task(const wwh_scheduler_t *scheduler,
		       const sched_task_t *task);
static void check_upstream(const sched_upstream_t *upstream);
static void check_run_order(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream);

void wwh_scheduler_check(const wwh_scheduler_t *scheduler)
{
	GHashTableIter iterator;
	gpointer value;
	int32_t slow = 0;

	g_hash_table_iter_init(&iterator, scheduler->jobs);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		check_job(scheduler, value);
	g_hash_table_iter_init(&iterator, scheduler->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		check_upstream(value);
		check_run_order(scheduler, value);
		slow += sched_upstream_is_slow(value);
	}
	g_assert(slow == scheduler->slow_upstreams);
	g_assert(scheduler->run_order->len ==
		 g_hash_table_size(scheduler->upstreams));
	g_assert(scheduler->wake_ms->len == scheduler->run_order->len);
	g_assert(scheduler->unanswered_starts >= 0);
}

static void check_job(const wwh_scheduler_t *scheduler, const sched_job_t *job)
{
	int32_t outstanding = 0;

	if (job->spec == NULL) {
		g_assert(job->outstanding == 0);
		return;
	}
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		for (int32_t s = 0; s < job->spec->step_count; s++)
			check_step(scheduler, &occurrence->steps[s],
				   &outstanding);
	}
	g_assert(outstanding == job->outstanding);
	if (job->state == WWH_PROGRESS_COMPLETED)
		g_assert(job->occurrences_done ==
			 sched_job_occurrence_total(job));
}

static void check_step(const wwh_scheduler_t *scheduler,
		       const sched_step_t *step, int32_t *outstanding)
{
	int32_t over = 0;
	int32_t step_outstanding = 0;
	int32_t losses = 0;
	int32_t alone_losses = 0;

	for (int32_t i = 0; i < step->spec->task_count; i++) {
		const sched_task_t *task = &step->tasks[i];

		check_task(scheduler, task);
		over += sched_task_state(task) == TASK_OVER;
		step_outstanding += task->upstream != NULL;
		losses += task->losses.count;
		for (int32_t k = 0; k < task->losses.count; k++)
			alone_losses += (task->losses.rows[k].flags &
					 SCHED_LOSS_ALONE) != 0;
	}
	g_assert(losses == step->losses);
	g_assert(alone_losses == step->alone_losses);
	g_assert(step_outstanding == step->outstanding);
	if (sched_job_is_live(step->occurrence->job))
		g_assert(over == step->done);
	*outstanding += step_outstanding;
}

static void check_task(const wwh_scheduler_t *scheduler,
		       const sched_task_t *task)
{
	const sched_job_t *job = task->step->occurrence->job;

	g_assert(sched_task_is_outstanding(scheduler, task) ==
		 (task->upstream != NULL));
	g_assert(!task->isolated || task->upstream != NULL);
	if (task->upstream == NULL)
		return;
	g_assert(g_ptr_array_find(task->upstream->tasks, task, NULL));
	if (sched_job_is_live(job) && !task->step->spec->lasting)
		g_assert(task->failures.count < job->spec->queue.max_attempts);
}

static void check_upstream(const sched_upstream_t *upstream)
{
	wwh_load_t used = { 0 };
	int32_t isolated = 0;

	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);
		wwh_load_t taken = sched_step_reserved_load(task->step->spec);

		g_assert(task->upstream == upstream);
		wwh_load_add(&used, &taken);
		isolated += task->isolated;
	}
	g_assert(isolated == upstream->isolated_runs);
	g_assert(used.cpu_millicores == upstream->used.cpu_millicores);
	g_assert(used.memory_mb == upstream->used.memory_mb);
	g_assert(used.gpus == upstream->used.gpus);
	g_assert(upstream->ends_acked <= upstream->ends_received);
}

/* Passes leave out only idle upstreams, about which nothing is pending. */
static void check_run_order(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream)
{
	g_assert(upstream ==
		 g_ptr_array_index(scheduler->run_order, upstream->run_index));
	g_assert(upstream->awaits_ack ||
		 upstream->ends_acked == upstream->ends_received);
	if (g_array_index(scheduler->wake_ms, int64_t, upstream->run_index) ==
	    0)
		return;
	g_assert(sched_upstream_is_idle(upstream) && !upstream->cordoned &&
		 !upstream->info.leaving && upstream->record_written &&
		 upstream->termination_reason == NULL);
}
