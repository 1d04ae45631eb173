#include "private/scheduler_state.h"

#include "private/scheduler_policy.h"

/*
 * Tasks of a job's first steps that nothing but room keeps waiting. With as many,
 * no more occurrences are opened, as it takes several passes to start these.
 */
#define MAX_WAITING_TASKS 256

/*
 * Of a job's open occurrences. What upstreams list is opened beyond that, as an end
 * whose occurrence isn't open would be acknowledged without effect.
 */
#define MAX_OPEN_TASKS WWH_JOB_MAX_TASKS
#define MAX_LISTED_TASKS (10 * WWH_JOB_MAX_TASKS)

/* Parts of the above, and of a record, that occurrences opened late may take. */
#define BACKLOG_DIVISOR 2

/* The part of a record that open occurrences may take, if all their tasks fail. */
#define RECORD_DIVISOR 2

/* No holder's clock is further ahead of another one's. */
#define MAX_CLOCK_AHEAD_MS 60000

/* What opening more occurrences of a job goes by. */
typedef struct {
	int64_t waiting; /* tasks of first steps */
	int64_t waiting_in_time; /* those of them that are still of use */
	int64_t first_tasks; /* of one occurrence */
} waiting_t;

static sched_occurrence_t *occurrence_new(wwh_scheduler_t *scheduler,
					  sched_job_t *job, int64_t number);
static bool may_have_runs(const wwh_scheduler_t *scheduler,
			  const sched_job_t *job);
static void forget_completed(sched_job_t *job);
static bool has_outstanding_runs(const sched_occurrence_t *occurrence);
static waiting_t count_waiting(const wwh_scheduler_t *scheduler,
			       const sched_job_t *job);
static int64_t count_waiting_tasks(const wwh_scheduler_t *scheduler,
				   const sched_step_t *step);
static bool is_due(const wwh_scheduler_t *scheduler, const sched_job_t *job,
		   int64_t number);
static bool is_useful(const wwh_scheduler_t *scheduler, const sched_job_t *job,
		      int64_t due_wall_ms);
static void open_newest(wwh_scheduler_t *scheduler, sched_job_t *job,
			waiting_t *waiting);
static void open_backlog(wwh_scheduler_t *scheduler, sched_job_t *job,
			 waiting_t *waiting);
static bool has_room_for_one(const sched_job_t *job, int64_t divisor);
static bool has_room_for_listed(const sched_job_t *job);
static bool claim_listed(sched_job_t *job, int64_t number);

sched_occurrence_t *sched_occurrence_open(wwh_scheduler_t *scheduler,
					  sched_job_t *job, int64_t number)
{
	sched_occurrence_t *occurrence = occurrence_new(scheduler, job, number);
	guint at = job->occurrences->len;

	while (at > 0 && ((sched_occurrence_t *)g_ptr_array_index(
				  job->occurrences, at - 1))
					 ->number > number)
		at--;
	g_ptr_array_insert(job->occurrences, (gint)at, occurrence);
	job->next_occurrence = MAX(job->next_occurrence, number + 1);
	return occurrence;
}

/*
 * Occurrences may overlap: each is opened when due, even if others still run. Of a
 * backlog only as many are opened as can be started soon, since all that are open
 * are in memory, in each pass and in the job's record. One that is due now doesn't
 * wait behind those whose results have become useless.
 */
void sched_occurrences_open_due(wwh_scheduler_t *scheduler, sched_job_t *job)
{
	waiting_t waiting;

	if (job->spec->repeat_count == 0 || !sched_job_is_live(job))
		return;
	forget_completed(job);
	if (job->unopened->len == 0 &&
	    !is_due(scheduler, job, job->next_occurrence))
		return;
	waiting = count_waiting(scheduler, job);
	open_newest(scheduler, job, &waiting);
	open_backlog(scheduler, job, &waiting);
}

/*
 * Openings aren't recorded: the previous holder may have opened the occurrence by a
 * clock that is ahead of this one's.
 */
void sched_occurrence_open_listed(wwh_scheduler_t *scheduler, sched_job_t *job,
				  int64_t number)
{
	sched_occurrence_t *occurrence;

	if (!job->inherited || !sched_job_is_live(job) ||
	    number >= job->spec->repeat_count ||
	    wwh_job_due_wall_ms(job->spec, number) >
		    scheduler->wall_ms + MAX_CLOCK_AHEAD_MS ||
	    !has_room_for_listed(job) || !claim_listed(job, number))
		return;
	occurrence = sched_occurrence_open(scheduler, job, number);
	occurrence->due = false;
	sched_explain(scheduler, "occurrence-found", job->id,
		      "occurrence=%" G_GINT64_FORMAT
		      " due_in_ms=%" G_GINT64_FORMAT,
		      occurrence->number,
		      occurrence->due_wall_ms - scheduler->wall_ms);
}

sched_occurrence_t *sched_occurrence_find(const sched_job_t *job,
					  int64_t number)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		if (occurrence->number == number)
			return occurrence;
	}
	return NULL;
}

bool sched_occurrence_is_completed(const sched_occurrence_t *occurrence)
{
	return occurrence->steps_done == occurrence->job->spec->step_count;
}

void sched_occurrence_update_due(const wwh_scheduler_t *scheduler,
				 sched_occurrence_t *occurrence)
{
	if (occurrence->due_wall_ms <= scheduler->wall_ms)
		occurrence->due = true;
}

int64_t sched_occurrence_remaining_ms(const sched_occurrence_t *occurrence)
{
	const wwh_job_t *spec = occurrence->job->spec;
	int64_t ends[WWH_JOB_MAX_STEPS];
	int64_t longest = 0;

	for (int32_t i = 0; i < spec->step_count; i++) {
		const wwh_job_step_t *step = &spec->steps[i];

		ends[i] = 0;
		for (int32_t j = 0; j < step->after_count; j++)
			ends[i] = MAX(ends[i], ends[step->after[j]]);
		if (occurrence->steps[i].done < step->task_count)
			ends[i] += wwh_job_estimate_ms(step);
		longest = MAX(longest, ends[i]);
	}
	return longest;
}

void sched_occurrence_delete(gpointer data)
{
	sched_occurrence_t *occurrence = data;

	for (int32_t i = 0; i < occurrence->job->spec->step_count; i++) {
		sched_step_t *step = &occurrence->steps[i];

		for (int32_t j = 0; j < step->spec->task_count; j++) {
			g_free(step->tasks[j].checkpoint);
			g_free(step->tasks[j].failures.runs);
			sched_losses_clear(&step->tasks[j]);
		}
		g_free(step->gang_failures.runs);
		g_free(step->tasks);
		if (step->tickets != NULL)
			g_hash_table_destroy(step->tickets);
		if (step->advice_requested != NULL)
			g_hash_table_destroy(step->advice_requested);
	}
	g_free(occurrence->steps);
	g_free(occurrence);
}

static sched_occurrence_t *occurrence_new(wwh_scheduler_t *scheduler,
					  sched_job_t *job, int64_t number)
{
	sched_occurrence_t *occurrence = g_new0(sched_occurrence_t, 1);
	const wwh_job_t *spec = job->spec;
	bool inherited = may_have_runs(scheduler, job);

	occurrence->job = job;
	occurrence->number = number;
	occurrence->due = true;
	occurrence->due_ms = job->accepted_ms;
	if (spec->repeat_count > 0) {
		occurrence->due_wall_ms = wwh_job_due_wall_ms(spec, number);
		occurrence->due_ms = scheduler->now_ms - scheduler->wall_ms +
				     occurrence->due_wall_ms;
	}
	occurrence->steps = g_new0(sched_step_t, (gsize)spec->step_count);
	for (int32_t i = 0; i < spec->step_count; i++) {
		sched_step_t *step = &occurrence->steps[i];

		step->occurrence = occurrence;
		step->spec = &spec->steps[i];
		step->number = i;
		step->tasks =
			g_new0(sched_task_t, (gsize)step->spec->task_count);
		for (int32_t j = 0; j < step->spec->task_count; j++) {
			step->tasks[j].step = step;
			step->tasks[j].index = j;
			step->tasks[j].machine =
				wwh_chart_start(scheduler->task_chart);
			step->tasks[j].inherited = inherited;
		}
	}
	return occurrence;
}

/*
 * Returns whether tasks of an occurrence that is opened now may run already. The
 * previous holder may have opened it without a record of that, so its runs are
 * known once all upstreams of the pool have answered.
 */
static bool may_have_runs(const wwh_scheduler_t *scheduler,
			  const sched_job_t *job)
{
	return job->inherited && (!scheduler->restored ||
				  !sched_pool_is_settled(scheduler, job->pool));
}

/* A later listing of one of its runs is that of an orphan. */
static void forget_completed(sched_job_t *job)
{
	for (guint i = 0; i < job->occurrences->len;) {
		const sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		if (sched_occurrence_is_completed(occurrence) &&
		    !has_outstanding_runs(occurrence))
			g_ptr_array_remove_index(job->occurrences, i);
		else
			i++;
	}
}

static bool has_outstanding_runs(const sched_occurrence_t *occurrence)
{
	for (int32_t i = 0; i < occurrence->job->spec->step_count; i++) {
		if (occurrence->steps[i].outstanding > 0)
			return true;
	}
	return false;
}

/*
 * A task that waits for a retry or an isolated start isn't counted: others would
 * wait behind it although there is room for them.
 */
static waiting_t count_waiting(const wwh_scheduler_t *scheduler,
			       const sched_job_t *job)
{
	waiting_t waiting = { 0 };

	for (int32_t i = 0; i < job->spec->step_count; i++) {
		if (job->spec->steps[i].after_count == 0)
			waiting.first_tasks += job->spec->steps[i].task_count;
	}
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);
		int64_t count = 0;

		for (int32_t k = 0; k < job->spec->step_count; k++)
			count += count_waiting_tasks(scheduler,
						     &occurrence->steps[k]);
		waiting.waiting += count;
		if (is_useful(scheduler, job, occurrence->due_wall_ms))
			waiting.waiting_in_time += count;
	}
	return waiting;
}

static int64_t count_waiting_tasks(const wwh_scheduler_t *scheduler,
				   const sched_step_t *step)
{
	int64_t count = 0;

	if (step->spec->after_count > 0 ||
	    step->done + step->outstanding >= step->spec->task_count)
		return 0;
	for (int32_t i = 0; i < step->spec->task_count; i++) {
		const sched_task_t *task = &step->tasks[i];

		count += sched_task_state(task) == TASK_WAITING &&
			 scheduler->now_ms >= task->retry_ms &&
			 !sched_task_is_suspect(task);
	}
	return count;
}

static bool is_due(const wwh_scheduler_t *scheduler, const sched_job_t *job,
		   int64_t number)
{
	return number < job->spec->repeat_count &&
	       wwh_job_due_wall_ms(job->spec, number) <= scheduler->wall_ms;
}

static bool is_useful(const wwh_scheduler_t *scheduler, const sched_job_t *job,
		      int64_t due_wall_ms)
{
	return wwh_policy_is_useful(scheduler->wall_ms - due_wall_ms,
				    job->objective_ms);
}

/* Those that aren't of use any more are left for open_backlog. */
static void open_newest(wwh_scheduler_t *scheduler, sched_job_t *job,
			waiting_t *waiting)
{
	while (is_due(scheduler, job, job->next_occurrence)) {
		int64_t number = job->next_occurrence;

		if (!is_useful(scheduler, job,
			       wwh_job_due_wall_ms(job->spec, number))) {
			if (!sched_unopened_append(job, number, number + 1))
				return;
			job->next_occurrence++;
			continue;
		}
		if (waiting->waiting_in_time >= MAX_WAITING_TASKS ||
		    !has_room_for_one(job, 1))
			return;
		(void)sched_occurrence_open(scheduler, job, number);
		waiting->waiting_in_time += waiting->first_tasks;
		waiting->waiting += waiting->first_tasks;
	}
}

static void open_backlog(wwh_scheduler_t *scheduler, sched_job_t *job,
			 waiting_t *waiting)
{
	while (job->unopened->len > 0 && waiting->waiting < MAX_WAITING_TASKS &&
	       has_room_for_one(job, BACKLOG_DIVISOR)) {
		int64_t number = sched_unopened_first(job);

		/* one before those that were listed, by a clock that is ahead */
		if (!is_due(scheduler, job, number))
			return;
		(void)sched_unopened_remove(job, number);
		(void)sched_occurrence_open(scheduler, job, number);
		waiting->waiting += waiting->first_tasks;
	}
}

static bool has_room_for_one(const sched_job_t *job, int64_t divisor)
{
	int64_t count = (int64_t)job->occurrences->len + 1;

	return count == 1 ||
	       (count * job->occurrence_tasks <= MAX_OPEN_TASKS / divisor &&
		count * sched_occurrence_most_bytes(job->spec) <=
			job->record_max_bytes / RECORD_DIVISOR / divisor);
}

static bool has_room_for_listed(const sched_job_t *job)
{
	int64_t count = (int64_t)job->occurrences->len + 1;

	return count == 1 ||
	       (count * job->occurrence_tasks <= MAX_LISTED_TASKS &&
		count * sched_occurrence_least_bytes(job->spec) <=
			job->record_max_bytes / RECORD_DIVISOR);
}

/* Returns whether the occurrence hasn't been opened, and may be now. */
static bool claim_listed(sched_job_t *job, int64_t number)
{
	if (number < job->next_occurrence)
		return sched_unopened_remove(job, number);
	return number == job->next_occurrence ||
	       sched_unopened_append(job, job->next_occurrence, number);
}
