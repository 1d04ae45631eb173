#include "private/scheduler_policy.h"
#include "private/scheduler_state.h"

/* A guess below this says nothing of a task. */
#define LEAST_ESTIMATE_MS 100

/* Above this it draws all hosts anyway, and sums of it could run over. */
#define MOST_ESTIMATE_MS 60000

/* No host has more: 10,000 cores. Bounds sums while no host is known. */
#define MOST_MILLICORES 10000000

/* Work that was handed in within this time tells what comes next. */
#define ARRIVAL_WINDOW_MS 500

static void add_occurrence(const wwh_scheduler_t *scheduler,
			   const sched_occurrence_t *occurrence,
			   wwh_pool_demand_t *figures);
static int32_t hosts_for_homeless(wwh_scheduler_t *scheduler,
				  const sched_pool_t *pool,
				  int64_t host_millicores);
static int32_t hosts_for_step(wwh_scheduler_t *scheduler, sched_step_t *step,
			      int64_t host_millicores);
static void add_lasting(const sched_step_t *step, wwh_pool_demand_t *figures);
static void add_step(const wwh_scheduler_t *scheduler, const sched_step_t *step,
		     wwh_pool_demand_t *figures);
static void give_all_away(wwh_scheduler_t *scheduler,
			  sched_upstream_t *upstream);
static void give_away_one_by_one(wwh_scheduler_t *scheduler,
				 sched_upstream_t *upstream);
static int32_t away(const wwh_scheduler_t *scheduler, const sched_step_t *step);
static int32_t away_elsewhere(const wwh_scheduler_t *scheduler,
			      const sched_step_t *step,
			      const sched_upstream_t *upstream);
static int32_t here(const sched_step_t *step, const sched_upstream_t *upstream);
static int32_t lost_with(const wwh_scheduler_t *scheduler,
			 const sched_step_t *step,
			 const sched_upstream_t *upstream);
static bool holds_the_only_ends(const sched_upstream_t *upstream);
static bool at_work(const wwh_scheduler_t *scheduler, const sched_task_t *task);
static bool may_be_stopping(const wwh_scheduler_t *scheduler,
			    const sched_task_t *task);

bool wwh_scheduler_cordon(wwh_scheduler_t *scheduler, const char *id,
			  bool urgent, int64_t now_ms)
{
	sched_upstream_t *upstream = sched_upstream_find(scheduler, id);

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (upstream == NULL)
		return true;
	if (!upstream->cordoned)
		sched_explain(scheduler, "upstream-cordoned", id, "tasks=%u",
			      upstream->tasks->len);
	upstream->cordoned = true;
	upstream->ending = false;
	if (holds_the_only_ends(upstream))
		return false;
	for (guint i = 0; i < upstream->tasks->len && !urgent; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);

		if (!task->step->spec->lasting)
			return false;
	}
	/*
	 * What runs at an upstream that hasn't answered this holder isn't
	 * known: it may be all that a step can miss.
	 *
	 * From here on its tasks count as away: two hosts that are taken down
	 * in the same moment would each find the other's tasks at work.
	 */
	upstream->ending = upstream->settled &&
			   sched_upstream_may_terminate(scheduler, upstream);
	return upstream->ending;
}

/*
 * Ends that aren't durable are known to the upstream and to this holder only.
 * With its host taken down and this process killed, as when the store is away
 * for seconds, the next holder finds their tasks nowhere and runs them again.
 * The upstream keeps them for as long as its host stays. Tasks that last, and
 * those that were stopped, start again in any case. Work that is thrown away
 * falls from 392 to 254 core-seconds a day (means of 27 plays each of nine days
 * with an outage of the store).
 */
static bool holds_the_only_ends(const sched_upstream_t *upstream)
{
	return upstream->last_progress_end > upstream->ends_acked;
}

void wwh_scheduler_uncordon(wwh_scheduler_t *scheduler, const char *id)
{
	sched_upstream_t *upstream = sched_upstream_find(scheduler, id);

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
	load.tasks = (int32_t)upstream->tasks->len;
	load.busy_millicores = upstream->used.cpu_millicores;
	load.cpu_millicores = upstream->info.size.cpu_millicores;
	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);

		load.lasting += task->step->spec->lasting;
	}
	return load;
}

wwh_pool_demand_t wwh_scheduler_pool_demand(wwh_scheduler_t *scheduler,
					    const char *name)
{
	sched_pool_t *pool = sched_pool_get(scheduler, name);
	wwh_pool_demand_t figures = { 0 };
	int32_t with_lasting = 0;
	GHashTableIter iterator;
	gpointer value;

	/* hosts are much alike; an empty pool has none to ask */
	g_hash_table_iter_init(&iterator, scheduler->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		figures.host_millicores = MAX(
			figures.host_millicores,
			((sched_upstream_t *)value)->info.size.cpu_millicores);
	for (guint i = 0; i < scheduler->live->len; i++) {
		const sched_job_t *job = g_ptr_array_index(scheduler->live, i);

		if (job->pool != pool || !sched_job_is_live(job))
			continue;
		for (guint k = 0; k < job->occurrences->len; k++)
			add_occurrence(scheduler,
				       g_ptr_array_index(job->occurrences, k),
				       &figures);
	}
	for (guint i = 0; i < pool->upstreams->len; i++) {
		const sched_upstream_t *upstream =
			g_ptr_array_index(pool->upstreams, i);

		for (guint k = 0; k < upstream->tasks->len; k++) {
			const sched_task_t *task =
				g_ptr_array_index(upstream->tasks, k);

			if (task->step->spec->lasting) {
				with_lasting++;
				break;
			}
		}
	}
	figures.min_hosts =
		MAX(figures.min_hosts,
		    with_lasting + hosts_for_homeless(scheduler, pool,
						      figures.host_millicores));
	return figures;
}

/*
 * Lasting tasks that fit on no host that takes work: those with lasting tasks
 * may be full, or have all that they may of the step. Not counted, a task whose
 * host is lost waits beside an idle one that is to leave, as its pool seems to
 * have enough.
 */
static int32_t hosts_for_homeless(wwh_scheduler_t *scheduler,
				  const sched_pool_t *pool,
				  int64_t host_millicores)
{
	int32_t hosts = 0;

	for (guint i = 0; i < scheduler->live->len; i++) {
		const sched_job_t *job = g_ptr_array_index(scheduler->live, i);

		if (job->pool != pool || !sched_job_is_live(job))
			continue;
		for (guint k = 0; k < job->occurrences->len; k++) {
			const sched_occurrence_t *occurrence =
				g_ptr_array_index(job->occurrences, k);

			for (int32_t n = 0; n < job->spec->step_count; n++)
				hosts += hosts_for_step(scheduler,
							&occurrence->steps[n],
							host_millicores);
		}
	}
	return hosts;
}

/* Tasks of a step are alike: one that waits speaks for all that do. */
static int32_t hosts_for_step(wwh_scheduler_t *scheduler, sched_step_t *step,
			      int64_t host_millicores)
{
	const wwh_job_step_t *spec = step->spec;
	sched_task_t *waits = NULL;
	int32_t count = 0;

	if (!spec->lasting || !sched_step_is_ready(step) ||
	    spec->need.cpu_millicores > host_millicores)
		return 0;
	for (int32_t i = 0; i < spec->task_count; i++) {
		sched_task_t *task = &step->tasks[i];

		if (sched_task_state(task) != TASK_WAITING || task->inherited)
			continue;
		waits = task;
		count++;
	}
	if (waits == NULL || sched_task_fits_elsewhere(scheduler, waits))
		return 0;
	return spec->max_per_upstream > 0 ? (count + spec->max_per_upstream -
					     1) / spec->max_per_upstream
					  : 1;
}

/*
 * Whether each lasting step on upstream can miss what runs there. What is
 * away for another reason counts: two causes at once would take more tasks
 * from a step than its users bear.
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
		if (away_elsewhere(scheduler, step, upstream) +
			    lost_with(scheduler, step, upstream) >
		    step->spec->max_unavailable)
			return false;
	}
	return true;
}

void sched_cordon_run(wwh_scheduler_t *scheduler)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, scheduler->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		sched_upstream_t *upstream = value;

		if (upstream->info.leaving)
			give_all_away(scheduler, upstream);
		else if (upstream->cordoned && !upstream->ending)
			give_away_one_by_one(scheduler, upstream);
	}
}

/*
 * A leaving upstream takes its tasks along when it goes. Lasting ones are
 * started elsewhere while it still serves: they are away only as long as a
 * start takes, and what they saved comes along.
 */
static void give_all_away(wwh_scheduler_t *scheduler,
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
 * taken down: its wave ends late, with that host undone. One task after the
 * other is started elsewhere, each once those before it are at work again,
 * until the rest may be missed at once.
 */
static void give_away_one_by_one(wwh_scheduler_t *scheduler,
				 sched_upstream_t *upstream)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);
		const sched_step_t *step = task->step;
		char name[WWH_TASK_NAME_BYTES];

		if (!step->spec->lasting || step->spec->gang ||
		    !at_work(scheduler, task) ||
		    here(step, upstream) <= step->spec->max_unavailable ||
		    away(scheduler, step) >= step->spec->max_unavailable ||
		    !sched_task_fits_elsewhere(scheduler, task))
			continue;
		sched_task_name(task, name);
		sched_explain(scheduler, "task-given-away", name,
			      "run=%" G_GINT64_FORMAT
			      " upstream=%s here=%d away=%d may_miss=%d",
			      task->run, upstream->info.id,
			      here(step, upstream), away(scheduler, step),
			      step->spec->max_unavailable);
		sched_task_order_stop(scheduler, task);
	}
}

/*
 * Work that will be of no use to its caller draws no hosts, and none that no
 * host can hold: called for it, they would be missing where callers wait.
 */
static void add_occurrence(const wwh_scheduler_t *scheduler,
			   const sched_occurrence_t *occurrence,
			   wwh_pool_demand_t *figures)
{
	const sched_job_t *job = occurrence->job;
	bool of_use = wwh_policy_is_useful(
		scheduler->now_ms - occurrence->due_ms, job->objective_ms);
	int64_t most = figures->host_millicores > 0 ? figures->host_millicores
						    : MOST_MILLICORES;

	for (int32_t i = 0; i < job->spec->step_count; i++) {
		const sched_step_t *step = &occurrence->steps[i];

		if (step->spec->need.cpu_millicores > most)
			continue;
		if (step->spec->lasting)
			add_lasting(step, figures);
		else if (of_use)
			add_step(scheduler, step, figures);
	}
}

static void add_lasting(const sched_step_t *step, wwh_pool_demand_t *figures)
{
	const wwh_job_step_t *spec = step->spec;
	int32_t left = spec->task_count - step->done;
	int32_t most = MAX(spec->max_per_upstream, 1);

	if (!spec->filler)
		figures->lasting += left * spec->need.cpu_millicores;
	if (spec->max_per_upstream > 0)
		figures->min_hosts =
			MAX(figures->min_hosts, (left + most - 1) / most);
}

static void add_step(const wwh_scheduler_t *scheduler, const sched_step_t *step,
		     wwh_pool_demand_t *figures)
{
	const wwh_job_step_t *spec = step->spec;
	int32_t left = spec->task_count - step->done;
	int64_t cpu = spec->need.cpu_millicores;
	int64_t estimate_ms =
		CLAMP(spec->estimate_ms, LEAST_ESTIMATE_MS, MOST_ESTIMATE_MS);
	bool ready = sched_step_is_ready(step);

	if (scheduler->now_ms - step->occurrence->due_ms < ARRIVAL_WINDOW_MS) {
		figures->recent_work += spec->task_count * cpu * estimate_ms;
		if (ready)
			figures->recent_millicores += spec->task_count * cpu;
	}
	/* of what runs about half is done */
	figures->remaining_work +=
		(2 * left - step->outstanding) * cpu * estimate_ms / 2;
	if (ready)
		figures->usable_millicores += left * cpu;
}

static int32_t away(const wwh_scheduler_t *scheduler, const sched_step_t *step)
{
	return away_elsewhere(scheduler, step, NULL);
}

/* Tasks of step that aren't at work, but for those on upstream. */
static int32_t away_elsewhere(const wwh_scheduler_t *scheduler,
			      const sched_step_t *step,
			      const sched_upstream_t *upstream)
{
	int32_t count = 0;

	for (int32_t i = 0; i < step->spec->task_count; i++) {
		const sched_task_t *task = &step->tasks[i];
		bool there = upstream != NULL && task->upstream == upstream;

		count += !there && !at_work(scheduler, task);
	}
	return count;
}

static int32_t here(const sched_step_t *step, const sched_upstream_t *upstream)
{
	int32_t count = 0;

	for (int32_t i = 0; i < step->spec->task_count; i++)
		count += step->tasks[i].upstream == upstream;
	return count;
}

/* Tasks of step that end with upstream; the end of one member ends a gang. */
static int32_t lost_with(const wwh_scheduler_t *scheduler,
			 const sched_step_t *step,
			 const sched_upstream_t *upstream)
{
	if (step->spec->gang)
		return step->spec->task_count -
		       away_elsewhere(scheduler, step, upstream);
	return here(step, upstream);
}

/* What wasn't heard of lately may be away. */
static bool at_work(const wwh_scheduler_t *scheduler, const sched_task_t *task)
{
	return sched_task_state(task) == TASK_RUNNING &&
	       task->unavailable_since_ms == 0 &&
	       !may_be_stopping(scheduler, task) && !task->upstream->ending &&
	       task->upstream->failed_polls == 0 &&
	       scheduler->now_ms - task->upstream->answered_ms <
		       scheduler->options.unavailable_after_ms;
}

/*
 * The holder before may have ordered a stop that is still under way. Its task
 * is listed as at work, and with another that this holder ends the step would
 * miss two. Stops that reached the upstream before this holder did are over
 * within the limit, and later ones are refused.
 */
static bool may_be_stopping(const wwh_scheduler_t *scheduler,
			    const sched_task_t *task)
{
	return task->adopted_ms != 0 &&
	       task->upstream->answered_ms - task->adopted_ms <=
		       scheduler->options.stop_limit_ms;
}
