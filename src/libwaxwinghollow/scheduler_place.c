#include "private/scheduler_state.h"

#include <string.h>

#include "private/scheduler_policy.h"

/*
 * Each holder has its own range of run numbers, above those that previous
 * holders can have used. So no task gets the same run number twice, although
 * starts aren't recorded.
 */
#define RUN_NUMBERS_PER_HOLDER 1000

/* The time between two passes over a pool for which no event arrived. */
#define POOL_RETRY_MS 200

/*
 * The limit of starts in one pass, shared by the pools that are due. A pass that
 * started a whole backlog would take seconds on a small share of a processor, in
 * which leases would lapse and probes would go unanswered.
 */
#define STARTS_PER_PASS 64

typedef struct {
	sched_step_t *step;
	int64_t order;
} candidate_t;

static bool is_pass_due(const wwh_scheduler_t *scheduler,
			const sched_pool_t *pool);
static int32_t starts_allowed(const wwh_scheduler_t *scheduler);
static int32_t count_due_pools(const wwh_scheduler_t *scheduler);
static void place_pool(wwh_scheduler_t *scheduler, sched_pool_t *pool,
		       int32_t max_starts);
static void collect_candidates(wwh_scheduler_t *scheduler, sched_pool_t *pool,
			       GArray *candidates);
static void collect_occurrence(const wwh_scheduler_t *scheduler,
			       sched_occurrence_t *occurrence,
			       GArray *candidates);
static void count_starts(wwh_scheduler_t *scheduler, const sched_step_t *step,
			 int32_t count);
static void place_candidates(wwh_scheduler_t *scheduler,
			     const GArray *candidates);
static void measure_free(const wwh_scheduler_t *scheduler, sched_pool_t *pool);
static bool may_fit_somewhere(const sched_step_t *step);
static gint compare_candidates(gconstpointer a, gconstpointer b);
static void place_step(wwh_scheduler_t *scheduler, sched_step_t *step);
static void explain_started(const wwh_scheduler_t *scheduler,
			    const sched_step_t *step, int32_t count);
static void place_tasks(wwh_scheduler_t *scheduler, sched_step_t *step);
static bool place_suspect(wwh_scheduler_t *scheduler, sched_task_t *task);
static sched_upstream_t *find_isolated_upstream(wwh_scheduler_t *scheduler,
						sched_task_t *task,
						const char **ticket);
static bool is_mostly_used(const sched_pool_t *pool);
static bool waits_for_room(const wwh_scheduler_t *scheduler,
			   const sched_step_t *step);
static void place_gang(wwh_scheduler_t *scheduler, sched_step_t *step);
static bool may_start(wwh_scheduler_t *scheduler, sched_task_t *task);
static sched_upstream_t *find_upstream(wwh_scheduler_t *scheduler,
				       sched_task_t *task, const char **ticket);

void sched_place(wwh_scheduler_t *scheduler)
{
	int32_t due = count_due_pools(scheduler);
	int32_t allowed = starts_allowed(scheduler);
	GHashTableIter iterator;
	gpointer value;
	int32_t share;

	if (due == 0)
		return;
	share = MIN(allowed, MAX(allowed / due, 1));
	g_hash_table_iter_init(&iterator, scheduler->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		sched_pool_t *pool = value;

		if (!is_pass_due(scheduler, pool))
			continue;
		pool->dirty = false;
		pool->next_try_ms = scheduler->now_ms + POOL_RETRY_MS;
		place_pool(scheduler, pool, share);
	}
}

/*
 * Starts that the holder's link can't carry wait in its sockets, beyond the time in
 * which they are of use. Held here, they count as a backlog, by which jobs are refused.
 */
static int32_t starts_allowed(const wwh_scheduler_t *scheduler)
{
	int32_t max = scheduler->options.max_unanswered_starts;

	if (max == 0)
		return STARTS_PER_PASS;
	return CLAMP(max - scheduler->unanswered_starts, 0, STARTS_PER_PASS);
}

static bool is_pass_due(const wwh_scheduler_t *scheduler,
			const sched_pool_t *pool)
{
	return !pool->standby &&
	       (pool->dirty || scheduler->now_ms >= pool->next_try_ms);
}

static int32_t count_due_pools(const wwh_scheduler_t *scheduler)
{
	GHashTableIter iterator;
	gpointer value;
	int32_t due = 0;

	g_hash_table_iter_init(&iterator, scheduler->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		due += is_pass_due(scheduler, value);
	return due;
}

static void place_pool(wwh_scheduler_t *scheduler, sched_pool_t *pool,
		       int32_t max_starts)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));

	sched_pool_count_avoided(scheduler, pool);
	measure_free(scheduler, pool);
	wwh_workspace_share_begin(pool->shares, &pool->total_free);
	collect_candidates(scheduler, pool, candidates);
	wwh_workspace_share_divide(pool->shares);
	g_array_sort(candidates, compare_candidates);
	scheduler->starts_left = max_starts;
	sched_isolation_begin_pass(scheduler);
	sched_speed_begin_pass(pool);
	scheduler->keeps_shares = true;
	scheduler->has_skipped_shares = false;
	place_candidates(scheduler, candidates);
	scheduler->keeps_shares = false;
	/* the room that is left goes to whoever can use it */
	if (scheduler->has_skipped_shares)
		place_candidates(scheduler, candidates);
	/* the next pass starts the rest */
	pool->has_deferred_starts =
		scheduler->starts_left <= 0 && candidates->len > 0;
	pool->dirty = pool->dirty || pool->has_deferred_starts;
	pool->unstarted_tasks -= max_starts - scheduler->starts_left;
	sched_isolation_end_pass(scheduler, pool);
	sched_room_end_pass(pool);
	g_array_free(candidates, TRUE);
}

static void place_candidates(wwh_scheduler_t *scheduler,
			     const GArray *candidates)
{
	for (guint i = 0; i < candidates->len && scheduler->starts_left > 0;
	     i++) {
		sched_step_t *step =
			g_array_index(candidates, candidate_t, i).step;

		/* the placement of another step may have ended the job */
		if (!sched_job_is_live(step->occurrence->job))
			continue;
		if (step->spec->gang)
			place_gang(scheduler, step);
		else
			place_step(scheduler, step);
	}
}

/*
 * At a peak, hundreds of jobs wait for a pool that is full. With these maxima, a
 * pass skips the jobs that fit on no upstream instead of trying each of them on
 * each upstream.
 */
static void measure_free(const wwh_scheduler_t *scheduler, sched_pool_t *pool)
{
	wwh_load_t *max_free = &pool->max_free;

	*max_free = (wwh_load_t){ -1, -1, -1 };
	pool->total_free = (wwh_load_t){ 0 };
	pool->usable_size = (wwh_load_t){ 0 };
	for (guint i = 0; i < pool->upstreams->len; i++) {
		const sched_upstream_t *upstream =
			g_ptr_array_index(pool->upstreams, i);
		wwh_load_t free = sched_upstream_free_load(upstream);

		if (!sched_upstream_usable(scheduler, upstream))
			continue;
		max_free->cpu_millicores =
			MAX(max_free->cpu_millicores, free.cpu_millicores);
		max_free->memory_mb = MAX(max_free->memory_mb, free.memory_mb);
		max_free->gpus = MAX(max_free->gpus, free.gpus);
		wwh_load_add(&pool->total_free, &free);
		wwh_load_add(&pool->usable_size, &upstream->info.size);
	}
}

static bool may_fit_somewhere(const sched_step_t *step)
{
	const sched_pool_t *pool = step->occurrence->job->pool;
	wwh_load_t need = sched_step_reserved_load(step->spec);

	return wwh_load_fits(&need, &pool->max_free);
}

static void collect_candidates(wwh_scheduler_t *scheduler, sched_pool_t *pool,
			       GArray *candidates)
{
	pool->unstarted_tasks = 0;
	pool->waiting_tasks = 0;
	pool->waiting_load = (wwh_load_t){ 0 };
	pool->undurable_load = (wwh_load_t){ 0 };
	for (guint i = 0; i < pool->live->len; i++) {
		sched_job_t *job = g_ptr_array_index(pool->live, i);

		if (!sched_job_is_live(job))
			continue;
		if (job->record_number > scheduler->durable_record) {
			sched_room_count_undurable(pool, job);
			continue;
		}
		sched_occurrences_open_due(scheduler, job);
		for (guint k = 0; k < job->occurrences->len; k++)
			collect_occurrence(
				scheduler,
				g_ptr_array_index(job->occurrences, k),
				candidates);
	}
}

static void collect_occurrence(const wwh_scheduler_t *scheduler,
			       sched_occurrence_t *occurrence,
			       GArray *candidates)
{
	const wwh_job_t *spec = occurrence->job->spec;
	wwh_policy_order_input_t input = {
		.priority = spec->queue.priority,
		.waited_ms = scheduler->now_ms - occurrence->due_ms,
		.objective_ms = occurrence->job->objective_ms,
	};

	sched_occurrence_update_due(scheduler, occurrence);
	if (occurrence->steps_done == spec->step_count || !occurrence->due)
		return;
	input.remaining_ms = sched_occurrence_remaining_ms(occurrence);
	for (int32_t i = 0; i < spec->step_count; i++) {
		sched_step_t *step = &occurrence->steps[i];
		candidate_t candidate = { .step = step };

		occurrence->job->pool->unstarted_tasks +=
			step->spec->task_count - step->done - step->outstanding;
		if (step->done + step->outstanding >= step->spec->task_count ||
		    !sched_step_is_ready(step))
			continue;
		sched_shares_add_waiting(scheduler, step);
		sched_room_count_ready(occurrence->job->pool, step);
		input.lasting = step->spec->lasting;
		candidate.order = wwh_policy_order_key(&input);
		g_array_append_val(candidates, candidate);
	}
}

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const candidate_t *left = a;
	const candidate_t *right = b;

	if (left->order != right->order)
		return left->order < right->order ? -1 : 1;
	return strcmp(left->step->occurrence->job->id,
		      right->step->occurrence->job->id);
}

static void place_step(wwh_scheduler_t *scheduler, sched_step_t *step)
{
	int32_t before = step->outstanding;

	place_tasks(scheduler, step);
	if (step->outstanding > before)
		explain_started(scheduler, step, step->outstanding - before);
}

static void explain_started(const wwh_scheduler_t *scheduler,
			    const sched_step_t *step, int32_t count)
{
	const sched_occurrence_t *occurrence = step->occurrence;

	sched_explain(scheduler, "tasks-started", occurrence->job->id,
		      "occurrence=%" G_GINT64_FORMAT
		      " step=%d started=%d waiting=%d done=%d"
		      " since_due_ms=%" G_GINT64_FORMAT,
		      occurrence->number, step->number, count,
		      step->spec->task_count - step->done - step->outstanding,
		      step->done, scheduler->now_ms - occurrence->due_ms);
}

static void place_tasks(wwh_scheduler_t *scheduler, sched_step_t *step)
{
	bool full = false;
	bool suspects_full = false;

	for (int32_t i = 0; i < step->spec->task_count; i++) {
		sched_task_t *task = &step->tasks[i];
		sched_upstream_t *upstream;
		const char *ticket = NULL;

		if (scheduler->starts_left <= 0)
			return;
		if (sched_task_state(task) != TASK_WAITING ||
		    !may_start(scheduler, task))
			continue;
		if (!sched_quota_allows(scheduler, step, 1) ||
		    !sched_shares_allow(scheduler, step, 1))
			return;
		if (sched_task_is_suspect(task)) {
			/* the others of the step have the same needs */
			if (suspects_full)
				sched_isolation_withdraw(scheduler, task);
			else
				suspects_full = !place_suspect(scheduler, task);
			continue;
		}
		if (full)
			continue;
		upstream = find_upstream(scheduler, task, &ticket);
		if (upstream == NULL) {
			if (sched_step_needs_advice(step))
				sched_advice_request(scheduler, step);
			sched_speed_left_waiting(step);
			scheduler->has_room_shortage =
				scheduler->has_room_shortage ||
				(is_mostly_used(step->occurrence->job->pool) &&
				 waits_for_room(scheduler, step));
			/* only suspects may fit where others of the step don't */
			if (step->losses == 0)
				return;
			full = true;
			continue;
		}
		if (!sched_isolation_record(
			    scheduler, task, NULL,
			    sched_next_run(scheduler, task->run)))
			continue;
		sched_task_start(scheduler, task, upstream, task->pending_run,
				 ticket);
		count_starts(scheduler, step, 1);
	}
}

/*
 * Once an upstream can be isolated for a suspect task, its start is recorded, and
 * sent when the record is durable. Tasks of higher rank that wait for room go
 * first, as an isolated upstream has less of it. Returns false if there is no
 * upstream for it now.
 */
static bool place_suspect(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	const char *ticket = NULL;
	sched_upstream_t *upstream;

	sched_losses_give_up(scheduler, task);
	if (sched_task_state(task) != TASK_WAITING)
		return true;
	upstream = find_isolated_upstream(scheduler, task, &ticket);
	if (upstream == NULL) {
		sched_isolation_withdraw(scheduler, task);
		return false;
	}
	if (!sched_isolation_record(scheduler, task, upstream,
				    sched_next_run(scheduler, task->run)))
		return true;
	sched_task_start(scheduler, task, upstream, task->pending_run, ticket);
	count_starts(scheduler, task->step, 1);
	return true;
}

static sched_upstream_t *find_isolated_upstream(wwh_scheduler_t *scheduler,
						sched_task_t *task,
						const char **ticket)
{
	sched_upstream_t *upstream;

	if (!sched_isolation_is_due(scheduler, task))
		return NULL;
	upstream = sched_choose_upstream(scheduler, task, ticket);
	if (upstream == NULL) {
		if (sched_step_needs_advice(task->step))
			sched_advice_request(scheduler, task->step);
		sched_isolation_reserve(scheduler, task);
		return NULL;
	}
	if (upstream->isolated_runs == 0 && scheduler->isolations_left <= 0)
		return NULL;
	return upstream;
}

/* A large task may wait for room in a pool that has plenty. */
static bool is_mostly_used(const sched_pool_t *pool)
{
	const wwh_load_t *free = &pool->total_free;
	const wwh_load_t *size = &pool->usable_size;

	return free->cpu_millicores < size->cpu_millicores / 2 ||
	       free->memory_mb < size->memory_mb / 2 ||
	       free->gpus < size->gpus / 2;
}

/*
 * Whether a task of step would fit on an upstream that runs nothing else. Where
 * advice is needed, it may wait for that instead.
 */
static bool waits_for_room(const wwh_scheduler_t *scheduler,
			   const sched_step_t *step)
{
	const GPtrArray *upstreams = step->occurrence->job->pool->upstreams;
	wwh_load_t need = sched_step_reserved_load(step->spec);

	if (sched_step_needs_advice(step))
		return false;
	for (guint i = 0; i < upstreams->len; i++) {
		const sched_upstream_t *upstream =
			g_ptr_array_index(upstreams, i);

		if (sched_upstream_usable(scheduler, upstream) &&
		    wwh_load_fits(&need, &upstream->info.size) &&
		    sched_upstream_accepts_step(upstream, step))
			return true;
	}
	return false;
}

/*
 * Members that are started one by one wait for each other and occupy their hosts
 * meanwhile; two gangs that each occupy half of a pool would deadlock. So a
 * gang is first placed tentatively, and started only if all members fit.
 */
static void place_gang(wwh_scheduler_t *scheduler, sched_step_t *step)
{
	wwh_load_t taken = sched_step_reserved_load(step->spec);
	int32_t count = step->spec->task_count;
	sched_upstream_t **chosen;
	const char **tickets;
	const char *checkpoint = NULL;
	int32_t placed = 0;

	if (step->outstanding > 0 || step->done > 0)
		return;
	for (int32_t i = 0; i < count; i++) {
		if (!may_start(scheduler, &step->tasks[i]))
			return;
		step->gang_run = MAX(step->gang_run, step->tasks[i].run);
		if (step->tasks[i].checkpoint != NULL)
			checkpoint = step->tasks[i].checkpoint;
	}
	if (!sched_quota_allows(scheduler, step, count) ||
	    !sched_shares_allow(scheduler, step, count))
		return;
	chosen = g_new0(sched_upstream_t *, (guint)count);
	tickets = g_new0(const char *, (guint)count);
	while (placed < count) {
		sched_upstream_t *upstream = find_upstream(
			scheduler, &step->tasks[placed], &tickets[placed]);

		if (upstream == NULL)
			break;
		chosen[placed++] = upstream;
		wwh_load_add(&upstream->used, &taken);
		/* counts towards max_per_upstream for the next members */
		g_ptr_array_add(upstream->tasks, &step->tasks[placed - 1]);
	}
	for (int32_t i = 0; i < placed; i++) {
		wwh_load_subtract(&chosen[i]->used, &taken);
		g_ptr_array_remove_fast(chosen[i]->tasks, &step->tasks[i]);
	}
	/* the load that was reserved tentatively is free again */
	if (placed < count)
		measure_free(scheduler, step->occurrence->job->pool);
	if (placed == count) {
		char *common_checkpoint = g_strdup(checkpoint);

		step->gang_run = sched_next_run(scheduler, step->gang_run);
		for (int32_t i = 0; i < count; i++) {
			sched_task_set_checkpoint(&step->tasks[i],
						  common_checkpoint);
			sched_task_start(scheduler, &step->tasks[i], chosen[i],
					 step->gang_run, tickets[i]);
		}
		count_starts(scheduler, step, count);
		explain_started(scheduler, step, count);
		g_free(common_checkpoint);
	} else if (sched_step_needs_advice(step)) {
		sched_advice_request(scheduler, step);
	}
	g_free(chosen);
	g_free(tickets);
}

static void count_starts(wwh_scheduler_t *scheduler, const sched_step_t *step,
			 int32_t count)
{
	scheduler->starts_left -= count;
	sched_room_count_start(step->occurrence->job->pool, step, count);
}

static bool may_start(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	if ((task->inherited || task->awaits_pool) &&
	    !sched_pool_is_settled(scheduler,
				   task->step->occurrence->job->pool))
		return false;
	task->awaits_pool = false;
	if (task->inherited) {
		task->inherited = false;
		sched_inherited_task_settled(scheduler, task);
	}
	return scheduler->now_ms >= task->retry_ms &&
	       !sched_losses_delay_start(scheduler, task) &&
	       !sched_task_is_orphaned(scheduler, task);
}

static sched_upstream_t *find_upstream(wwh_scheduler_t *scheduler,
				       sched_task_t *task, const char **ticket)
{
	sched_upstream_t *upstream;

	if (!may_fit_somewhere(task->step))
		return NULL;
	upstream = sched_choose_upstream(scheduler, task, ticket);
	/* the maxima only decrease while tasks are placed */
	if (upstream == NULL)
		measure_free(scheduler, task->step->occurrence->job->pool);
	return upstream;
}

int64_t sched_next_run(const wwh_scheduler_t *scheduler, int64_t run)
{
	int64_t base = (scheduler->options.holder_count - 1) *
		       (int64_t)RUN_NUMBERS_PER_HOLDER;

	return MAX(run, base) + 1;
}
