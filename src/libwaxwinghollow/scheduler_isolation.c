#include "private/scheduler_state.h"

/* One in this many upstreams of a pool may be isolated at the same time. */
#define UPSTREAMS_PER_ISOLATED 3

/* In any pool, as isolated upstreams are polled often. */
#define MAX_ISOLATED 32

/* Suspect tasks for which a pass over a pool looks for an upstream in vain. */
#define FAILED_ISOLATIONS_PER_PASS 8

/* More than all other costs of a start, for each task that a crash would end. */
#define TASK_COST (INT64_C(1) << 32)

/* How long an upstream is kept free of new starts, once it is reserved. */
#define RESERVATION_MS 400

/*
 * Where the only upstreams of a pool would be reserved, they are so for half of the
 * time: it may take long until what runs there leaves room for a large task.
 */
#define SMALL_POOL_PERIOD_MS 2000

/*
 * Once so many have failed, the next passes try other tasks first: passes are at most
 * 200 ms apart, so this doubles until each task has its turn.
 */
#define FIRST_GAP_MS 400
#define MAX_GAP_MS 6400

/*
 * Suspect tasks are held back for those that wait for room for so long. What waits
 * may do so for ever.
 */
#define HELD_MAX_MS 2000

/*
 * How long a start waits for its record to become durable, and its upstream is
 * kept for it. Longer than an append of a store that is slow.
 */
#define RECORD_WAIT_MS 400

static bool is_recorded_elsewhere(const sched_task_t *task,
				  const sched_upstream_t *upstream);
static bool is_reserved_for_other_job(const wwh_scheduler_t *scheduler,
				      const sched_upstream_t *upstream,
				      const sched_job_t *job);
static bool has_unproven_run_of_other_job(const sched_upstream_t *upstream,
					  const sched_job_t *job);
static bool fits_without_those_that_end(const sched_upstream_t *upstream,
					const wwh_load_t *need);
static bool is_held_back(wwh_scheduler_t *scheduler, const sched_task_t *task);
static void set_isolated(sched_task_t *task, bool isolated);
static bool has_proven_harmless(const sched_task_t *task);
static void count_isolations(wwh_scheduler_t *scheduler,
			     const sched_pool_t *pool);
static int32_t max_isolated(int32_t usable);
static bool is_set_apart(const wwh_scheduler_t *scheduler,
			 const sched_upstream_t *upstream);

/*
 * Without the record, a holder that is killed before it has learned of the crash
 * would leave its successor to start the task as if nothing had happened. Tasks
 * that can't have crashed an upstream before aren't delayed for that.
 */
bool sched_isolation_record(wwh_scheduler_t *scheduler, sched_task_t *task,
			    sched_upstream_t *upstream, int64_t run)
{
	sched_job_t *job = task->step->occurrence->job;

	if (task->pending_run <= task->run)
		sched_isolation_withdraw(scheduler, task);
	if (task->pending_run == 0 && !sched_task_needs_recorded_starts(task)) {
		task->pending_run = run;
		return true;
	}
	if (task->pending_run == 0) {
		sched_losses_add_pending(task, run, upstream);
		task->pending_run = run;
		task->pending_since_ms = scheduler->now_ms;
		sched_job_mark_dirty(scheduler, job);
		if (upstream != NULL) {
			upstream->reserved_until_ms =
				MAX(upstream->reserved_until_ms,
				    scheduler->now_ms + RECORD_WAIT_MS);
			upstream->reserved_job = job;
		}
	}
	return scheduler->now_ms - task->pending_since_ms >= RECORD_WAIT_MS ||
	       (!job->dirty &&
		job->progress_number <= scheduler->durable_record);
}

void sched_isolation_withdraw(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	sched_job_t *job = task->step->occurrence->job;
	const sched_loss_t *row =
		sched_losses_find(&task->losses, task->pending_run);

	task->pending_run = 0;
	if (row == NULL || (row->flags & SCHED_LOSS_PENDING) == 0)
		return;
	sched_losses_remove(task, row->run);
	if (sched_job_is_live(job))
		sched_job_mark_dirty(scheduler, job);
}

void sched_isolation_begin(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	char name[WWH_TASK_NAME_BYTES];

	if (sched_losses_find(&task->losses, task->run) != NULL)
		task->pending_run = task->run;
	if (!sched_task_is_suspect(task))
		return;
	if (task->upstream->isolated_runs == 0)
		scheduler->isolations_left--;
	set_isolated(task, true);
	task->upstream->reserved_until_ms = 0;
	scheduler->isolated_starts++;
	sched_task_name(task, name);
	sched_explain(scheduler, "task-isolated", name,
		      "run=%" G_GINT64_FORMAT " upstream=%s losses=%d",
		      task->run, task->upstream->info.id, task->losses.count);
}

void sched_isolation_end(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	if (task->isolated)
		set_isolated(task, false);
	sched_isolation_withdraw(scheduler, task);
}

void sched_isolation_update(sched_upstream_t *upstream)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);

		if (upstream->isolated_runs == 0)
			return;
		if (!task->isolated || !has_proven_harmless(task))
			continue;
		set_isolated(task, false);
		upstream->pool->dirty = true;
	}
}

bool sched_isolation_allows(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream,
			    const sched_task_t *task)
{
	const sched_job_t *job = task->step->occurrence->job;

	if (!sched_task_is_suspect(task))
		return upstream->isolated_runs == 0 &&
		       scheduler->now_ms >= upstream->reserved_until_ms;
	return !is_recorded_elsewhere(task, upstream) &&
	       !is_reserved_for_other_job(scheduler, upstream, job) &&
	       !has_unproven_run_of_other_job(upstream, job);
}

void sched_isolation_begin_pass(wwh_scheduler_t *scheduler)
{
	scheduler->isolations_counted = false;
	scheduler->failed_isolations_left = FAILED_ISOLATIONS_PER_PASS;
	scheduler->has_room_shortage = false;
	scheduler->suspects_held = false;
}

void sched_isolation_end_pass(const wwh_scheduler_t *scheduler,
			      sched_pool_t *pool)
{
	if (scheduler->failed_isolations_left <= 0)
		pool->isolation_gap_ms = CLAMP(2 * pool->isolation_gap_ms,
					       FIRST_GAP_MS, MAX_GAP_MS);
	else if (pool->isolation_gap_ms > FIRST_GAP_MS)
		pool->isolation_gap_ms /= 2;
	else
		pool->isolation_gap_ms = 0;
	if (!scheduler->suspects_held)
		pool->suspects_held_ms = 0;
	else if (pool->suspects_held_ms == 0)
		pool->suspects_held_ms = scheduler->now_ms;
}

/* The suspect tasks of one job share an upstream, as they fail together. */
bool sched_isolation_is_due(wwh_scheduler_t *scheduler,
			    const sched_task_t *task)
{
	const sched_pool_t *pool = task->step->occurrence->job->pool;

	if (is_held_back(scheduler, task))
		return false;
	/* a start that waits for its record has its upstream already */
	if (task->pending_run <= task->run &&
	    (scheduler->failed_isolations_left <= 0 ||
	     scheduler->now_ms - task->isolation_failed_ms <
		     pool->isolation_gap_ms))
		return false;
	if (!scheduler->isolations_counted)
		count_isolations(scheduler, pool);
	return scheduler->isolations_left > 0 ||
	       task->step->occurrence->job->isolated_runs > 0;
}

/*
 * Lasting tasks don't wait for others to find room, which may take as long as the
 * lasting tasks that cause the shortage. The others do so for a limited time.
 */
static bool is_held_back(wwh_scheduler_t *scheduler, const sched_task_t *task)
{
	const sched_pool_t *pool = task->step->occurrence->job->pool;

	if (!scheduler->has_room_shortage || task->step->spec->lasting)
		return false;
	scheduler->suspects_held = true;
	return pool->suspects_held_ms == 0 ||
	       scheduler->now_ms - pool->suspects_held_ms < HELD_MAX_MS;
}

int64_t sched_isolation_cost(const sched_upstream_t *upstream)
{
	if (upstream->isolated_runs > 0)
		return 0;
	return (upstream->tasks->len + 1) * TASK_COST;
}

/*
 * In a pool that is full, each upstream gets a start as soon as it has room, so
 * one that runs no young task is never found. The upstream with the fewest tasks
 * is reserved, as these are lost if it crashes.
 */
void sched_isolation_reserve(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	const sched_pool_t *pool = task->step->occurrence->job->pool;
	wwh_load_t need = sched_step_reserved_load(task->step->spec);
	sched_upstream_t *best = NULL;
	int32_t set_apart = 0;
	int32_t usable = 0;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		sched_upstream_t *upstream =
			g_ptr_array_index(pool->upstreams, i);

		if (!sched_upstream_usable(scheduler, upstream))
			continue;
		usable++;
		if (is_set_apart(scheduler, upstream))
			set_apart++;
		else if (sched_upstream_accepts_step(upstream, task->step) &&
			 fits_without_those_that_end(upstream, &need) &&
			 (best == NULL ||
			  upstream->tasks->len < best->tasks->len))
			best = upstream;
	}
	scheduler->failed_isolations_left--;
	task->isolation_failed_ms = scheduler->now_ms;
	if (best == NULL || set_apart >= max_isolated(usable) ||
	    (usable < UPSTREAMS_PER_ISOLATED &&
	     scheduler->now_ms / SMALL_POOL_PERIOD_MS % 2 != 0))
		return;
	best->reserved_until_ms = scheduler->now_ms + RESERVATION_MS;
	best->reserved_job = NULL;
}

/* Lasting tasks don't end to make room. */
static bool fits_without_those_that_end(const sched_upstream_t *upstream,
					const wwh_load_t *need)
{
	wwh_load_t room = upstream->info.size;

	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);
		wwh_load_t taken = sched_step_reserved_load(task->step->spec);

		if (task->step->spec->lasting)
			wwh_load_subtract(&room, &taken);
	}
	return wwh_load_fits(need, &room);
}

/* The record of the start that is due names another upstream. */
static bool is_recorded_elsewhere(const sched_task_t *task,
				  const sched_upstream_t *upstream)
{
	const sched_loss_t *row =
		sched_losses_find(&task->losses, task->pending_run);

	return row != NULL && (row->flags & SCHED_LOSS_PENDING) != 0 &&
	       row->upstream != sched_upstream_hash(upstream);
}

static bool is_reserved_for_other_job(const wwh_scheduler_t *scheduler,
				      const sched_upstream_t *upstream,
				      const sched_job_t *job)
{
	return scheduler->now_ms < upstream->reserved_until_ms &&
	       upstream->reserved_job != NULL && upstream->reserved_job != job;
}

static bool has_unproven_run_of_other_job(const sched_upstream_t *upstream,
					  const sched_job_t *job)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);

		if (task->step->occurrence->job != job &&
		    (task->isolated || sched_run_is_young(task)))
			return true;
	}
	return false;
}

static void set_isolated(sched_task_t *task, bool isolated)
{
	int32_t amount = isolated ? 1 : -1;

	task->isolated = isolated;
	task->upstream->isolated_runs += amount;
	task->step->occurrence->job->isolated_runs += amount;
}

static bool has_proven_harmless(const sched_task_t *task)
{
	return sched_task_is_repeat_suspect(task) ? sched_run_is_mature(task)
						  : !sched_run_is_young(task);
}

/* Most passes meet no suspect task, and pools may have thousands of upstreams. */
static void count_isolations(wwh_scheduler_t *scheduler,
			     const sched_pool_t *pool)
{
	int32_t isolated = 0;
	int32_t usable = 0;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		const sched_upstream_t *upstream =
			g_ptr_array_index(pool->upstreams, i);

		usable += sched_upstream_usable(scheduler, upstream);
		isolated += upstream->isolated_runs > 0;
	}
	scheduler->isolations_counted = true;
	scheduler->isolations_left = max_isolated(usable) - isolated;
}

static int32_t max_isolated(int32_t usable)
{
	return CLAMP(usable / UPSTREAMS_PER_ISOLATED, 1, MAX_ISOLATED);
}

static bool is_set_apart(const wwh_scheduler_t *scheduler,
			 const sched_upstream_t *upstream)
{
	return upstream->isolated_runs > 0 ||
	       scheduler->now_ms < upstream->reserved_until_ms;
}
