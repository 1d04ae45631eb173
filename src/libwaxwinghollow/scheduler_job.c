#include "private/scheduler_state.h"

#include <string.h>

#define PERMILLE 1000

/* How often ended jobs are scanned for those that expire. */
#define EXPIRY_INTERVAL_MS 1000

/* Where a task is in its job. */
typedef struct {
	int64_t occurrence;
	int32_t step;
	int32_t index;
} task_position_t;

static void set_objective(sched_job_t *job);
static sched_job_t *find_position(const wwh_scheduler_t *scheduler,
				  const char *name, task_position_t *at);
static sched_task_t *task_at(const sched_job_t *job, const task_position_t *at);
static void end_tasks(wwh_scheduler_t *scheduler, sched_job_t *job);
static void release_spec(sched_job_t *job);

sched_job_t *sched_job_find(const wwh_scheduler_t *scheduler, const char *id)
{
	return g_hash_table_lookup(scheduler->jobs, id);
}

sched_job_t *sched_job_add(wwh_scheduler_t *scheduler, wwh_job_t *spec,
			   int64_t accepted_ms)
{
	sched_job_t *job = g_new0(sched_job_t, 1);

	g_strlcpy(job->id, spec->id, sizeof(job->id));
	job->spec = spec;
	job->workspace = g_strdup(spec->workspace);
	job->state = WWH_PROGRESS_QUEUED;
	job->accepted_ms = accepted_ms;
	job->inherited = !scheduler->restored;
	job->expected_start_ms = -1;
	job->expected_end_ms = -1;
	job->pool = sched_pool_get(scheduler, spec->queue.pool);
	job->occurrences =
		g_ptr_array_new_with_free_func(sched_occurrence_delete);
	job->unopened = g_array_new(FALSE, FALSE, sizeof(sched_span_t));
	job->record_max_bytes = scheduler->options.record_max_bytes;
	for (int32_t i = 0; i < spec->step_count; i++)
		job->occurrence_tasks += spec->steps[i].task_count;
	set_objective(job);
	g_hash_table_insert(scheduler->jobs, job->id, job);
	g_ptr_array_add(scheduler->live, job);
	g_ptr_array_add(job->pool->live, job);
	if (spec->repeat_count == 0)
		(void)sched_occurrence_open(scheduler, job, 0);
	job->pool->dirty = true;
	return job;
}

sched_job_t *sched_job_add_ended(wwh_scheduler_t *scheduler, const char *id)
{
	sched_job_t *job = g_new0(sched_job_t, 1);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->started = true;
	g_hash_table_insert(scheduler->jobs, job->id, job);
	return job;
}

void sched_job_delete(gpointer data)
{
	sched_job_t *job = data;

	release_spec(job);
	g_free(job->workspace);
	g_free(job);
}

bool sched_job_is_live(const sched_job_t *job)
{
	return job->state == WWH_PROGRESS_QUEUED;
}

sched_task_t *sched_job_task(const wwh_scheduler_t *scheduler, const char *name)
{
	task_position_t at;
	sched_job_t *job = find_position(scheduler, name, &at);

	return job == NULL ? NULL : task_at(job, &at);
}

sched_task_t *sched_job_listed_task(wwh_scheduler_t *scheduler,
				    const char *name)
{
	task_position_t at;
	sched_job_t *job = find_position(scheduler, name, &at);

	if (job == NULL)
		return NULL;
	sched_occurrence_open_listed(scheduler, job, at.occurrence);
	return task_at(job, &at);
}

/* Returns NULL if no job that is known in full has such a task. */
static sched_job_t *find_position(const wwh_scheduler_t *scheduler,
				  const char *name, task_position_t *at)
{
	char id[WWH_JOB_ID_CHARS + 1];
	sched_job_t *job;

	if (!sched_task_parse(name, id, &at->occurrence, &at->step, &at->index))
		return NULL;
	job = sched_job_find(scheduler, id);
	if (job == NULL || job->spec == NULL ||
	    at->step >= job->spec->step_count ||
	    at->index >= job->spec->steps[at->step].task_count)
		return NULL;
	return job;
}

/* Returns NULL if its occurrence isn't open. */
static sched_task_t *task_at(const sched_job_t *job, const task_position_t *at)
{
	sched_occurrence_t *occurrence =
		sched_occurrence_find(job, at->occurrence);

	return occurrence == NULL
		       ? NULL
		       : &occurrence->steps[at->step].tasks[at->index];
}

void sched_job_mark_dirty(wwh_scheduler_t *scheduler, sched_job_t *job)
{
	if (job->dirty)
		return;
	job->dirty = true;
	g_ptr_array_add(scheduler->dirty, job);
}

void sched_job_end(wwh_scheduler_t *scheduler, sched_job_t *job,
		   wwh_job_progress_t state)
{
	g_assert(sched_job_is_live(job));
	job->state = state;
	job->ended_ms = scheduler->now_ms;
	job->end_record_number = G_MAXINT64;
	sched_job_mark_dirty(scheduler, job);
	sched_explain(scheduler, "job-ended", job->id, "state=%s out=%d",
		      wwh_job_progress_names[state], job->outstanding);
	end_tasks(scheduler, job);
}

bool sched_step_is_ready(const sched_step_t *step)
{
	const sched_occurrence_t *occurrence = step->occurrence;

	for (int32_t i = 0; i < step->spec->after_count; i++) {
		const sched_step_t *before =
			&occurrence->steps[step->spec->after[i]];

		if (before->done < before->spec->task_count)
			return false;
	}
	return true;
}

wwh_load_t sched_step_reserved_load(const wwh_job_step_t *spec)
{
	wwh_load_t taken = spec->need;

	if (spec->filler)
		taken.cpu_millicores = 0;
	return taken;
}

void sched_step_task_done(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	sched_step_t *step = task->step;
	sched_occurrence_t *occurrence = step->occurrence;
	sched_job_t *job = occurrence->job;

	step->done++;
	g_assert(step->done <= step->spec->task_count);
	g_clear_pointer(&task->checkpoint, g_free);
	sched_job_mark_dirty(scheduler, job);
	job->pool->dirty = true;
	if (step->done < step->spec->task_count)
		return;
	occurrence->steps_done++;
	if (!sched_occurrence_is_completed(occurrence))
		return;
	job->occurrences_done++;
	job->completed_end = MAX(job->completed_end, occurrence->number + 1);
	if (job->occurrences_done == sched_job_occurrence_total(job) &&
	    sched_job_is_live(job)) {
		sched_room_job_done(scheduler, job);
		sched_job_end(scheduler, job, WWH_PROGRESS_COMPLETED);
	}
}

/*
 * A failed run counts once, even if its end is listed again to a later holder.
 * Otherwise a job would fail before its attempts are used up. The ends of one
 * task come from several upstreams in any order, so all failed runs are stored,
 * not just the highest.
 */
bool sched_failures_add(sched_failures_t *failures, int64_t run)
{
	for (int32_t i = 0; i < failures->count; i++) {
		if (failures->runs[i] == run)
			return false;
	}
	failures->runs = g_renew(int64_t, failures->runs, failures->count + 1);
	failures->runs[failures->count++] = run;
	return true;
}

void sched_step_task_failed(wwh_scheduler_t *scheduler, sched_task_t *task,
			    int64_t run)
{
	sched_step_t *step = task->step;
	sched_job_t *job = step->occurrence->job;
	sched_failures_t *failures =
		step->spec->gang ? &step->gang_failures : &task->failures;

	if (step->spec->lasting || !sched_failures_add(failures, run))
		return;
	sched_job_mark_dirty(scheduler, job);
	if (failures->count >= job->spec->queue.max_attempts &&
	    sched_job_is_live(job))
		sched_job_end(scheduler, job, WWH_PROGRESS_FAILED);
}

void sched_job_remove_live(wwh_scheduler_t *scheduler, sched_job_t *job)
{
	g_ptr_array_remove_fast(scheduler->live, job);
	g_ptr_array_remove_fast(job->pool->live, job);
}

void sched_jobs_expire(wwh_scheduler_t *scheduler)
{
	GHashTableIter iterator;
	gpointer value;

	for (guint i = 0; i < scheduler->live->len;) {
		sched_job_t *job = g_ptr_array_index(scheduler->live, i);

		if (!sched_job_is_live(job) && job->outstanding == 0 &&
		    !job->dirty) {
			release_spec(job);
			g_ptr_array_remove_fast(job->pool->live, job);
			g_ptr_array_remove_index_fast(scheduler->live, i);
		} else {
			i++;
		}
	}
	if (scheduler->now_ms < scheduler->next_expiry_ms)
		return;
	scheduler->next_expiry_ms = scheduler->now_ms + EXPIRY_INTERVAL_MS;
	sched_unreadable_jobs_expire(scheduler);
	g_hash_table_iter_init(&iterator, scheduler->jobs);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		sched_job_t *job = value;

		if (sched_job_is_live(job) || job->spec != NULL || job->dirty ||
		    scheduler->now_ms - job->ended_ms <
			    scheduler->options.ended_job_retention_ms)
			continue;
		scheduler->newest_record = scheduler->callbacks.write_record(
			WWH_SCHEDULER_RECORD_PROGRESS, job->id, NULL,
			scheduler->callbacks.client_data);
		sched_tombstone_count(scheduler, job, -1);
		g_hash_table_iter_remove(&iterator);
	}
}

int64_t wwh_scheduler_slack_ms(const wwh_job_t *job)
{
	if (job->repeat_count > 0)
		return -1;
	for (int32_t i = 0; i < job->step_count; i++) {
		if (job->steps[i].lasting)
			return -1;
	}
	return MAX(sched_objective_ms(job) - sched_critical_path_ms(job), 0);
}

static void set_objective(sched_job_t *job)
{
	job->critical_path_ms = sched_critical_path_ms(job->spec);
	job->objective_ms = sched_objective_ms(job->spec);
}

int64_t sched_objective_ms(const wwh_job_t *spec)
{
	return sched_critical_path_ms(spec) * spec->queue.stretch_permille /
		       PERMILLE +
	       spec->queue.latency_ms;
}

int64_t sched_critical_path_ms(const wwh_job_t *spec)
{
	int64_t *ends = g_new0(int64_t, (gsize)spec->step_count);
	int64_t longest = 0;

	for (int32_t i = 0; i < spec->step_count; i++) {
		const wwh_job_step_t *step = &spec->steps[i];

		for (int32_t j = 0; j < step->after_count; j++)
			ends[i] = MAX(ends[i], ends[step->after[j]]);
		ends[i] += wwh_job_estimate_ms(step);
		longest = MAX(longest, ends[i]);
	}
	g_free(ends);
	return longest;
}

int64_t sched_job_occurrence_total(const sched_job_t *job)
{
	return MAX(1, job->spec->repeat_count);
}

static void end_tasks(wwh_scheduler_t *scheduler, sched_job_t *job)
{
	if (job->spec == NULL)
		return; /* its runs are unknown; they are stopped as orphans */
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		for (int32_t s = 0; s < job->spec->step_count; s++) {
			sched_step_t *step = &occurrence->steps[s];

			for (int32_t t = 0; t < step->spec->task_count; t++) {
				sched_task_t *task = &step->tasks[t];

				if (sched_task_state(task) == TASK_WAITING)
					sched_task_event(scheduler, task,
							 TASK_DROP);
				else if (sched_task_is_outstanding(scheduler,
								   task) &&
					 sched_task_state(task) !=
						 TASK_STOPPING)
					sched_task_order_stop(scheduler, task);
			}
		}
	}
}

static void release_spec(sched_job_t *job)
{
	if (job->occurrences != NULL)
		g_ptr_array_unref(job->occurrences);
	job->occurrences = NULL;
	g_clear_pointer(&job->unopened, g_array_unref);
	g_clear_pointer(&job->spec, wwh_job_delete);
}
