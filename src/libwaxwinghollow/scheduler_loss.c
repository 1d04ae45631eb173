#include "private/scheduler_state.h"

/* Losses after which a task is given up if enough of them are crashes. */
#define MAX_LOSSES 5

/*
 * A task is given up after this many crashes that it may have caused, all but
 * one of which no other job can have caused. The larger number applies while
 * upstreams of its pool also crash by themselves. Each start without an answer among
 * the crashes may not have reached its upstream, so it adds one, up to the last
 * number: a task that crashes upstreams before they answer must not go on for long.
 */
#define MAX_CRASHES 2
#define MAX_CRASHES_UNSURE 3
#define MAX_CRASHES_UNANSWERED 4

/*
 * The least time between two starts of a lasting task that would be given up if it
 * didn't last. Crashed upstreams are mostly back by then, so that such a task keeps
 * one of them down at a time.
 */
#define LASTING_START_INTERVAL_MS 5000

/* How long the larger number applies after a crash without a young run. */
#define UNPROVOKED_FOR_MS 20000

/*
 * Weights of a crash that the task may have caused and of other losses, and the
 * sums from which the task is suspect.
 */
#define SUSPECT_WEIGHT 2
#define OTHER_WEIGHT 1
#define SUSPECT_SUM 2
#define REPEAT_SUSPECT_SUM 4

/* The runs on an upstream that may have caused its crash. */
typedef struct {
	bool young_only; /* some runs are young, and only these are suspect */
	bool of_one_job;
} suspects_t;

static suspects_t find_suspects(const sched_upstream_t *upstream);
static bool is_suspect(const suspects_t *suspects, const sched_task_t *task);
static bool has_too_many_losses(const wwh_scheduler_t *scheduler,
				const sched_task_t *task);
static int32_t count_suspect_crashes(const sched_losses_t *losses);
static int32_t max_crashes(const wwh_scheduler_t *scheduler,
			   const sched_task_t *task);
static int32_t min_crashes(const sched_losses_t *losses);
static bool is_presumed(const sched_upstream_t *upstream);
static uint32_t crash_flags(const suspects_t *suspects,
			    const sched_task_t *task);
static uint32_t attribute(const suspects_t *suspects, sched_task_t *task,
			  wwh_termination_t termination);
static sched_loss_t *find_row(const sched_losses_t *losses, int64_t run);
static void explain_lost(const wwh_scheduler_t *scheduler,
			 const sched_task_t *task,
			 wwh_termination_t termination, const char *why,
			 uint32_t flags);
static bool has_exhausted_losses(const sched_task_t *task);
static void count_row(sched_step_t *step, uint32_t flags, int32_t amount);
static int32_t count_with(const sched_losses_t *losses, uint32_t flags);
static int32_t weight_of(const sched_task_t *task);

void sched_losses_attribute(wwh_scheduler_t *scheduler,
			    sched_upstream_t *upstream,
			    wwh_termination_t termination, const char *why)
{
	suspects_t suspects = find_suspects(upstream);

	if (termination == WWH_TERMINATION_CRASH && !suspects.young_only &&
	    upstream->unclear_losses->len == 0)
		upstream->pool->unprovoked_crash_ms = scheduler->now_ms;
	for (guint i = 0; i < upstream->tasks->len; i++) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);
		sched_job_t *job = task->step->occurrence->job;
		uint32_t flags = 0;

		if (termination != WWH_TERMINATION_ORDERED &&
		    !sched_run_is_mature(task)) {
			flags = attribute(&suspects, task, termination);
			if (sched_job_is_live(job))
				sched_job_mark_dirty(scheduler, job);
		}
		explain_lost(scheduler, task, termination, why, flags);
	}
}

void sched_losses_confirm_crash(wwh_scheduler_t *scheduler,
				const sched_upstream_t *upstream)
{
	for (guint i = 0; i < upstream->unclear_losses->len; i++) {
		const sched_unclear_loss_t *loss = &g_array_index(
			upstream->unclear_losses, sched_unclear_loss_t, i);
		sched_task_t *task = sched_job_task(scheduler, loss->task);

		if (task == NULL ||
		    !sched_job_is_live(task->step->occurrence->job) ||
		    sched_losses_find(&task->losses, loss->run) == NULL)
			continue;
		sched_losses_add(task, loss->run, loss->crash_flags);
		sched_job_mark_dirty(scheduler, task->step->occurrence->job);
		sched_losses_give_up(scheduler, task);
	}
}

/* A lasting task is started again however it ends, so it is never given up. */
void sched_losses_give_up(wwh_scheduler_t *scheduler, const sched_task_t *task)
{
	sched_job_t *job = task->step->occurrence->job;
	char name[WWH_TASK_NAME_BYTES];

	if (!sched_job_is_live(job) || task->step->spec->lasting ||
	    !has_too_many_losses(scheduler, task))
		return;
	sched_task_name(task, name);
	sched_explain(scheduler, "task-given-up", name,
		      "crashes=%d alone=%d losses=%d",
		      count_suspect_crashes(&task->losses),
		      count_with(&task->losses, SCHED_LOSS_ALONE),
		      task->losses.count);
	scheduler->tasks_given_up++;
	sched_job_end(scheduler, job, WWH_PROGRESS_FAILED);
}

bool sched_losses_delay_start(const wwh_scheduler_t *scheduler,
			      const sched_task_t *task)
{
	return task->step->spec->lasting && task->ordered_ms != 0 &&
	       scheduler->now_ms - task->ordered_ms <
		       LASTING_START_INTERVAL_MS &&
	       has_too_many_losses(scheduler, task);
}

static bool has_too_many_losses(const wwh_scheduler_t *scheduler,
				const sched_task_t *task)
{
	const sched_losses_t *losses = &task->losses;
	int32_t limit = max_crashes(scheduler, task);

	return has_exhausted_losses(task) ||
	       (count_suspect_crashes(losses) >= limit &&
		count_with(losses, SCHED_LOSS_ALONE) >= limit - 1);
}

static int32_t count_suspect_crashes(const sched_losses_t *losses)
{
	return count_with(losses, SCHED_LOSS_CRASH | SCHED_LOSS_SUSPECT);
}

/*
 * A task with MAX_LOSSES rows may have too few crashes to be given up. Then its
 * oldest row that is no crash makes room for the new one, or else its oldest row: a
 * lasting task may crash any number of upstreams.
 */
void sched_losses_add(sched_task_t *task, int64_t run, uint32_t flags)
{
	sched_losses_t *losses = &task->losses;

	for (int32_t i = 0; i < losses->count; i++) {
		if (losses->rows[i].run == run) {
			count_row(task->step, losses->rows[i].flags, -1);
			count_row(task->step, flags, 1);
			losses->rows[i].flags = flags;
			losses->rows[i].upstream = 0;
			losses->rows[i].starts_unrefused = 0;
			return;
		}
	}
	for (int32_t i = 0; i < losses->count && losses->count >= MAX_LOSSES;
	     i++) {
		if ((losses->rows[i].flags & SCHED_LOSS_CRASH) == 0)
			sched_losses_remove(task, losses->rows[i].run);
	}
	if (losses->count >= MAX_LOSSES)
		sched_losses_remove(task, losses->rows[0].run);
	losses->rows = g_renew(sched_loss_t, losses->rows, losses->count + 1);
	losses->rows[losses->count++] =
		(sched_loss_t){ .run = run, .flags = flags };
	count_row(task->step, flags, 1);
}

void sched_losses_add_pending(sched_task_t *task, int64_t run,
			      const sched_upstream_t *upstream)
{
	sched_losses_t *losses = &task->losses;

	sched_losses_add(task, run, SCHED_LOSS_PENDING);
	losses->rows[losses->count - 1].upstream =
		upstream == NULL ? 0 : sched_upstream_hash(upstream);
}

void sched_losses_remove(sched_task_t *task, int64_t run)
{
	sched_losses_t *losses = &task->losses;
	int32_t left = 0;

	for (int32_t i = 0; i < losses->count; i++) {
		if (losses->rows[i].run != run)
			losses->rows[left++] = losses->rows[i];
		else
			count_row(task->step, losses->rows[i].flags, -1);
	}
	losses->count = left;
}

void sched_losses_absolve(wwh_scheduler_t *scheduler, sched_task_t *task,
			  int64_t run)
{
	const sched_loss_t *row = sched_losses_find(&task->losses, run);
	sched_job_t *job = task->step->occurrence->job;

	if (row == NULL || (task->pending_run == run &&
			    (row->flags & SCHED_LOSS_PENDING) != 0))
		return;
	sched_losses_remove(task, run);
	if (sched_job_is_live(job))
		sched_job_mark_dirty(scheduler, job);
}

void sched_losses_start_refused(wwh_scheduler_t *scheduler, const char *name,
				int64_t run)
{
	sched_task_t *task = sched_job_task(scheduler, name);
	sched_loss_t *row = task == NULL ? NULL : find_row(&task->losses, run);

	if (row == NULL || row->starts_unrefused == 0)
		return;
	row->starts_unrefused--;
	if (row->starts_unrefused > 0)
		return;
	sched_explain(scheduler, "lost-run-refused", name,
		      "run=%" G_GINT64_FORMAT " losses=%d", run,
		      task->losses.count - 1);
	sched_losses_absolve(scheduler, task, run);
}

const sched_loss_t *sched_losses_find(const sched_losses_t *losses, int64_t run)
{
	return find_row(losses, run);
}

static sched_loss_t *find_row(const sched_losses_t *losses, int64_t run)
{
	for (int32_t i = 0; i < losses->count; i++) {
		if (losses->rows[i].run == run)
			return &losses->rows[i];
	}
	return NULL;
}

void sched_losses_clear(sched_task_t *task)
{
	while (task->losses.count > 0)
		sched_losses_remove(task, task->losses.rows[0].run);
	g_clear_pointer(&task->losses.rows, g_free);
}

bool sched_task_needs_recorded_starts(const sched_task_t *task)
{
	return count_with(&task->losses, SCHED_LOSS_CRASH) > 0 ||
	       count_with(&task->losses, SCHED_LOSS_INHERITED) > 0;
}

bool sched_task_is_suspect(const sched_task_t *task)
{
	return task->step->alone_losses > 0 || weight_of(task) >= SUSPECT_SUM;
}

bool sched_task_is_repeat_suspect(const sched_task_t *task)
{
	return weight_of(task) >= REPEAT_SUSPECT_SUM;
}

/*
 * A task that crashes its upstream as it starts doesn't let a run grow old. So
 * while there are young runs, the others are bystanders.
 */
static suspects_t find_suspects(const sched_upstream_t *upstream)
{
	suspects_t suspects = { .of_one_job = true };
	const sched_job_t *job = NULL;

	for (guint i = 0; i < upstream->tasks->len; i++)
		suspects.young_only |= sched_run_is_young(
			g_ptr_array_index(upstream->tasks, i));
	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);

		if (!is_suspect(&suspects, task))
			continue;
		suspects.of_one_job =
			suspects.of_one_job &&
			(job == NULL || job == task->step->occurrence->job);
		job = task->step->occurrence->job;
	}
	return suspects;
}

static bool is_suspect(const suspects_t *suspects, const sched_task_t *task)
{
	return suspects->young_only ? sched_run_is_young(task)
				    : !sched_run_is_mature(task);
}

static int32_t max_crashes(const wwh_scheduler_t *scheduler,
			   const sched_task_t *task)
{
	const sched_pool_t *pool = task->step->occurrence->job->pool;

	if (pool->unprovoked_crash_ms != 0 &&
	    scheduler->now_ms - pool->unprovoked_crash_ms < UNPROVOKED_FOR_MS)
		return MAX(MAX_CRASHES_UNSURE, min_crashes(&task->losses));
	return min_crashes(&task->losses);
}

/* A task with fewer crashes is never given up, however many losses it has. */
static int32_t min_crashes(const sched_losses_t *losses)
{
	return MIN(MAX_CRASHES +
			   count_with(losses,
				      SCHED_LOSS_CRASH | SCHED_LOSS_UNANSWERED),
		   MAX_CRASHES_UNANSWERED);
}

/* No list has shown its end, and its address may have been given away as it ran on. */
static bool is_presumed(const sched_upstream_t *upstream)
{
	return upstream->reach == WWH_REACH_OTHER_ANSWERS &&
	       upstream->termination_reason == NULL;
}

/*
 * A start that got no answer may have run and crashed the upstream, so it counts
 * like the others.
 */
static uint32_t crash_flags(const suspects_t *suspects,
			    const sched_task_t *task)
{
	uint32_t flags = SCHED_LOSS_CRASH;

	if (task->accepted_ms == 0 || is_presumed(task->upstream))
		flags |= SCHED_LOSS_UNANSWERED;
	if (!is_suspect(suspects, task))
		return flags;
	flags |= SCHED_LOSS_SUSPECT;
	return suspects->of_one_job ? flags | SCHED_LOSS_ALONE : flags;
}

/*
 * Returns the flags of the row that is added to task's losses. An upstream whose
 * lease lapses may be found to have crashed later.
 */
static uint32_t attribute(const suspects_t *suspects, sched_task_t *task,
			  wwh_termination_t termination)
{
	sched_unclear_loss_t loss = {
		.run = task->run,
		.crash_flags = crash_flags(suspects, task),
	};
	uint32_t flags = loss.crash_flags;

	if (termination != WWH_TERMINATION_CRASH) {
		sched_task_name(task, loss.task);
		g_array_append_val(task->upstream->unclear_losses, loss);
		flags &= ~(uint32_t)(SCHED_LOSS_CRASH | SCHED_LOSS_ALONE);
	}
	sched_losses_add(task, task->run, flags);
	find_row(&task->losses, task->run)->starts_unrefused =
		task->starts_unrefused;
	return flags;
}

static void explain_lost(const wwh_scheduler_t *scheduler,
			 const sched_task_t *task,
			 wwh_termination_t termination, const char *why,
			 uint32_t flags)
{
	char name[WWH_TASK_NAME_BYTES];

	sched_task_name(task, name);
	sched_explain(scheduler, "run-lost", name,
		      "run=%" G_GINT64_FORMAT
		      " upstream=%s why=%s termination=%s accepted=%d"
		      " since_start_ms=%" G_GINT64_FORMAT
		      " min_age_ms=%" G_GINT64_FORMAT
		      " suspect=%d alone=%d losses=%d",
		      task->run, task->upstream->info.id, why,
		      wwh_termination_names[termination],
		      task->accepted_ms != 0,
		      scheduler->now_ms - task->ordered_ms, task->min_age_ms,
		      (flags & SCHED_LOSS_SUSPECT) != 0,
		      (flags & SCHED_LOSS_ALONE) != 0, task->losses.count);
}

static void count_row(sched_step_t *step, uint32_t flags, int32_t amount)
{
	step->losses += amount;
	if ((flags & SCHED_LOSS_ALONE) != 0)
		step->alone_losses += amount;
}

/*
 * The row of a start that is about to be ordered is no loss. A recorded start
 * counts as a crash if no holder learned of its outcome.
 */
static bool has_exhausted_losses(const sched_task_t *task)
{
	const sched_losses_t *losses = &task->losses;
	int32_t ordered =
		sched_losses_find(losses, task->pending_run) != NULL ? 1 : 0;
	int32_t unclear = count_with(losses, SCHED_LOSS_PENDING) - ordered;

	return losses->count - ordered >= MAX_LOSSES &&
	       count_with(losses, SCHED_LOSS_CRASH) + unclear >=
		       min_crashes(losses);
}

/* Counts the rows that have all of these flags. */
static int32_t count_with(const sched_losses_t *losses, uint32_t flags)
{
	int32_t count = 0;

	for (int32_t i = 0; i < losses->count; i++)
		count += (losses->rows[i].flags & flags) == flags;
	return count;
}

/*
 * A recorded start whose outcome no holder learned may have crashed its upstream.
 * An upstream that is out of reach seldom has crashed.
 */
static int32_t weight_of(const sched_task_t *task)
{
	int32_t sum = 0;

	for (int32_t i = 0; i < task->losses.count; i++) {
		const sched_loss_t *row = &task->losses.rows[i];
		bool crashed = (row->flags & SCHED_LOSS_CRASH) != 0 &&
			       (row->flags & SCHED_LOSS_SUSPECT) != 0;

		if (row->run == task->pending_run ||
		    row->flags == SCHED_LOSS_INHERITED)
			continue;
		sum += crashed || (row->flags & SCHED_LOSS_PENDING) != 0
			       ? SUSPECT_WEIGHT
			       : OTHER_WEIGHT;
	}
	return sum;
}
